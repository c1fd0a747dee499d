//! Solves a network of 100 nodes. Its run time is in docs/design/dimensioning.md.

use trunks::network::{Demand, Group, Network};

#[test]
fn solve_converges_for_100_nodes_with_4950_groups() {
    let nodes = 100;
    let pairs: Vec<(usize, usize)> = (0..nodes).flat_map(|a| (a + 1..nodes).map(move |b| (a, b))).collect();
    // Loads from 4 to 12 E on groups of one size: some overflow heavily, some have free circuits for alternative calls.
    let load_of = |(a, b): (usize, usize)| 4.0 + 8.0 * (((a * 31 + b * 17) % 97) as f64 / 96.0);
    let tandems_of = |(a, b): (usize, usize)| {
        let all = (0..nodes).map(move |k| (k + a * 7 + b * 3) % nodes).filter(move |t| *t != a && *t != b);
        all.take(5).collect::<Vec<_>>()
    };
    let network = Network {
        nodes,
        groups: pairs.iter().map(|ends| Group { ends: *ends, circuits: 12, reserve: 2 }).collect(),
        demands: pairs
            .iter()
            .map(|ends| Demand { ends: *ends, load: load_of(*ends), tandems: tandems_of(*ends) })
            .collect(),
    };
    let found = network.solve().unwrap();
    let solution = found.from_empty;
    println!(
        "{} iterations, loss {:.5}, by tandem {:.5}",
        solution.iterations, solution.total_loss, solution.by_tandem
    );
    assert!(
        solution.converged
            && solution.total_loss > 0.0
            && solution.total_loss < 0.1
            && solution.by_tandem > 0.0
    );
    assert!(solution.loss.iter().all(|b| (0.0..=1.0).contains(b)));
}
