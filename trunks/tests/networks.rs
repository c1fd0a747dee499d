//! Fixed points of networks with tandem alternatives.

use trunks::erlang;
use trunks::network::{group_loss, ByRoute, Demand, Group, Network};
use trunks::InvalidInput;

/// A full mesh in which all groups have the same size and load.
fn full_mesh(nodes: usize, load: f64, circuits: u32, reserve: u32, tandems: usize) -> Network {
    let pairs: Vec<(usize, usize)> = (0..nodes).flat_map(|a| (a + 1..nodes).map(move |b| (a, b))).collect();
    let tandems_of = |(a, b): (usize, usize)| {
        // The pairs start with different tandems, so that all groups are offered the same load.
        let all = (0..nodes).map(move |k| (k + a * 7 + b * 3) % nodes).filter(move |t| *t != a && *t != b);
        all.take(tandems).collect::<Vec<_>>()
    };
    Network {
        nodes,
        groups: pairs.iter().map(|ends| Group { ends: *ends, circuits, reserve }).collect(),
        demands: pairs.iter().map(|ends| Demand { ends: *ends, load, tandems: tandems_of(*ends) }).collect(),
    }
}

#[test]
fn group_loss_with_reserve_follows_birth_death_process() {
    let ByRoute { direct, alternative } = group_loss(12.0, 0.0, 15, 4);
    assert!((direct / erlang::loss(12.0, 15.0).unwrap() - 1.0).abs() < 1e-12 && alternative > direct);
    let ByRoute { direct, alternative } = group_loss(6.0, 6.0, 15, 0);
    assert!((direct / erlang::loss(12.0, 15.0).unwrap() - 1.0).abs() < 1e-12 && direct == alternative);
    // Two circuits, one reserved, loads 1 and 1: the states have weights 1, 2 and 1, and alternative calls are lost
    // with 1 or 2 circuits in use.
    let ByRoute { direct, alternative } = group_loss(1.0, 1.0, 2, 1);
    assert!((direct - 0.25).abs() < 1e-15 && (alternative - 0.75).abs() < 1e-15);
    assert_eq!(group_loss(5.0, 5.0, 0, 0), ByRoute { direct: 1.0, alternative: 1.0 });
    let ByRoute { direct, .. } = group_loss(9_000.0, 0.0, 9_100, 3);
    assert!((direct / erlang::loss(9_000.0, 9_100.0).unwrap() - 1.0).abs() < 1e-9, "no overflow: {direct}");
}

#[test]
fn without_alternatives_losses_follow_erlang() {
    let found = full_mesh(5, 20.0, 25, 0, 0).solve().unwrap();
    let erlang = erlang::loss(20.0, 25.0).unwrap();
    assert!(found.from_empty.converged && !found.bistable());
    assert!(found.from_empty.loss.iter().all(|b| (b / erlang - 1.0).abs() < 1e-9));
}

#[test]
fn alternatives_reduce_loss_under_light_load_and_reserve_protects_under_overload() {
    let total_loss = |load, reserve, tandems| {
        let found = full_mesh(8, load, 100, reserve, tandems).solve().unwrap();
        assert!(found.from_empty.converged);
        found.from_empty.total_loss
    };
    assert!(total_loss(85.0, 0, 3) < 0.1 * total_loss(85.0, 0, 0), "rejected calls use tandem routes");
    assert!(
        total_loss(110.0, 0, 3) > total_loss(110.0, 0, 0),
        "under overload alternatives cost more than they carry"
    );
    assert!(total_loss(110.0, 8, 3) < total_loss(110.0, 0, 3), "a reserve limits alternative calls");
}

#[test]
fn solve_finds_both_states_of_bistable_network() {
    let loads = (80..110).map(f64::from);
    let bistable_loads: Vec<f64> =
        loads.clone().filter(|a| full_mesh(6, *a, 100, 0, 4).solve().unwrap().bistable()).collect();
    assert!(!bistable_loads.is_empty(), "some load has two states");
    let found = full_mesh(6, bistable_loads[0], 100, 0, 4).solve().unwrap();
    let (good, bad) = (found.from_empty, found.from_full.unwrap());
    assert!(good.converged && bad.converged);
    assert!(bad.total_loss > 3.0 * good.total_loss, "{} {}", good.total_loss, bad.total_loss);
    assert!(bad.by_tandem > good.by_tandem, "alternative calls displace direct calls");
    for load in loads {
        assert!(
            !full_mesh(6, load, 100, 10, 4).solve().unwrap().bistable(),
            "a reserve leaves one state at {load}"
        );
    }
}

#[test]
fn solve_rejects_unknown_nodes_and_invalid_loads() {
    let mut network = full_mesh(4, 1.0, 2, 0, 1);
    network.groups[0].ends = (0, 4);
    assert_eq!(network.solve(), Err(InvalidInput::Unknown("node", 4)));
    let mut network = full_mesh(4, 1.0, 2, 0, 1);
    network.demands[0].tandems = vec![9];
    assert_eq!(network.solve(), Err(InvalidInput::Unknown("node", 9)));
    let mut network = full_mesh(4, 1.0, 2, 0, 1);
    network.demands[0].load = f64::NAN;
    assert!(matches!(network.solve(), Err(InvalidInput::Load(_))));
}

#[test]
fn calls_without_direct_group_use_tandems() {
    let mut network = full_mesh(4, 5.0, 20, 0, 2);
    network.groups.remove(0);
    let found = network.solve().unwrap().from_empty;
    assert!(found.converged && found.loss[0] < 0.05 && found.by_tandem > 0.15, "{found:?}");
}
