//! A network of a hundred nodes. Its time is in docs/design/dimensioning.md.

use trunks::network::{Demand, Group, Network};

#[test]
fn a_hundred_nodes_with_4950_groups_come_to_a_fixed_point() {
    let nodes = 100;
    let pairs: Vec<(usize, usize)> = (0..nodes).flat_map(|a| (a + 1..nodes).map(move |b| (a, b))).collect();
    // Loads from 4 to 12 E on groups of one size: some overflow much, some have room for others' calls.
    let load = |(a, b): (usize, usize)| 4.0 + 8.0 * (((a * 31 + b * 17) % 97) as f64 / 96.0);
    let tandems = |(a, b): (usize, usize)| {
        let all = (0..nodes).map(move |k| (k + a * 7 + b * 3) % nodes).filter(move |t| *t != a && *t != b);
        all.take(5).collect::<Vec<_>>()
    };
    let network = Network {
        nodes,
        groups: pairs.iter().map(|ends| Group { ends: *ends, circuits: 12, reserve: 2 }).collect(),
        demands: pairs.iter().map(|e| Demand { ends: *e, load: load(*e), tandems: tandems(*e) }).collect(),
    };
    let found = network.solve().unwrap();
    let best = found.from_empty;
    println!("{} rounds, loss {:.5}, by tandem {:.5}", best.iterations, best.total_loss, best.by_tandem);
    assert!(best.converged && best.total_loss > 0.0 && best.total_loss < 0.1 && best.by_tandem > 0.0);
    assert!(best.loss.iter().all(|b| (0.0..=1.0).contains(b)));
}
