//! Groups with tandem alternatives: the fixed point, and the second one.

use trunks::erlang;
use trunks::network::{group_loss, Demand, Group, Network};
use trunks::InvalidInput;

/// Every node joined to every other by a group of the same size and load.
fn mesh(nodes: usize, load: f64, circuits: u32, reserve: u32, tandems: usize) -> Network {
    let pairs: Vec<(usize, usize)> = (0..nodes).flat_map(|a| (a + 1..nodes).map(move |b| (a, b))).collect();
    let other = |(a, b): (usize, usize)| {
        // Different pairs begin at different tandems, so that all groups are offered alike.
        let all = (0..nodes).map(move |k| (k + a * 7 + b * 3) % nodes).filter(move |t| *t != a && *t != b);
        all.take(tandems).collect::<Vec<_>>()
    };
    Network {
        nodes,
        groups: pairs.iter().map(|ends| Group { ends: *ends, circuits, reserve }).collect(),
        demands: pairs.iter().map(|ends| Demand { ends: *ends, load, tandems: other(*ends) }).collect(),
    }
}

#[test]
fn a_group_with_a_reserve_is_a_chain_of_births_and_deaths() {
    let (own, others) = group_loss(12.0, 0.0, 15, 4);
    assert!((own / erlang::loss(12.0, 15.0).unwrap() - 1.0).abs() < 1e-12 && others > own);
    let (own, others) = group_loss(6.0, 6.0, 15, 0);
    assert!((own / erlang::loss(12.0, 15.0).unwrap() - 1.0).abs() < 1e-12 && own == others);
    // By hand: two circuits, one kept, loads 1 and 1. Weights 1, 2, 1: others lose with 1 or 2 in use.
    let (own, others) = group_loss(1.0, 1.0, 2, 1);
    assert!((own - 0.25).abs() < 1e-15 && (others - 0.75).abs() < 1e-15);
    assert_eq!(group_loss(5.0, 5.0, 0, 0), (1.0, 1.0));
    let (own, _) = group_loss(9_000.0, 0.0, 9_100, 3);
    assert!((own / erlang::loss(9_000.0, 9_100.0).unwrap() - 1.0).abs() < 1e-9, "no overflow: {own}");
}

#[test]
fn without_alternatives_every_group_is_erlangs() {
    let found = mesh(5, 20.0, 25, 0, 0).solve().unwrap();
    let erlang = erlang::loss(20.0, 25.0).unwrap();
    assert!(found.from_empty.converged && !found.bistable());
    assert!(found.from_empty.loss.iter().all(|b| (b / erlang - 1.0).abs() < 1e-9));
}

#[test]
fn alternatives_help_a_light_load_and_a_reserve_guards_a_heavy_one() {
    let total = |load, reserve, tandems| {
        let found = mesh(8, load, 100, reserve, tandems).solve().unwrap();
        assert!(found.from_empty.converged);
        found.from_empty.total_loss
    };
    assert!(total(85.0, 0, 3) < 0.1 * total(85.0, 0, 0), "a call that is blocked finds another way");
    assert!(total(110.0, 0, 3) > total(110.0, 0, 0), "under overload alternatives cost more than they carry");
    assert!(total(110.0, 8, 3) < total(110.0, 0, 3), "and a reserve keeps them out");
}

#[test]
fn both_states_of_a_network_without_a_reserve_are_found_and_named() {
    let loads = (80..110).map(f64::from);
    let two: Vec<f64> =
        loads.clone().filter(|a| mesh(6, *a, 100, 0, 4).solve().unwrap().bistable()).collect();
    assert!(!two.is_empty(), "some load has two states");
    let found = mesh(6, two[0], 100, 0, 4).solve().unwrap();
    let (good, bad) = (found.from_empty, found.from_full.unwrap());
    assert!(good.converged && bad.converged);
    assert!(bad.total_loss > 3.0 * good.total_loss, "{} {}", good.total_loss, bad.total_loss);
    assert!(bad.by_tandem > good.by_tandem, "alternatives crowd out direct calls");
    for load in loads {
        assert!(
            !mesh(6, load, 100, 10, 4).solve().unwrap().bistable(),
            "a reserve leaves one state at {load}"
        );
    }
}

#[test]
fn what_is_not_there_is_refused() {
    let mut network = mesh(4, 1.0, 2, 0, 1);
    network.groups[0].ends = (0, 4);
    assert_eq!(network.solve(), Err(InvalidInput::Unknown("node", 4)));
    let mut network = mesh(4, 1.0, 2, 0, 1);
    network.demands[0].tandems = vec![9];
    assert_eq!(network.solve(), Err(InvalidInput::Unknown("node", 9)));
    let mut network = mesh(4, 1.0, 2, 0, 1);
    network.demands[0].load = f64::NAN;
    assert!(matches!(network.solve(), Err(InvalidInput::Load(_))));
}

#[test]
fn a_group_that_is_missing_sends_its_calls_by_tandem() {
    let mut network = mesh(4, 5.0, 20, 0, 2);
    network.groups.remove(0);
    let found = network.solve().unwrap().from_empty;
    assert!(found.converged && found.loss[0] < 0.05 && found.by_tandem > 0.15, "{found:?}");
}
