//! A network of groups with tandem alternatives, as a fixed point (Erlang's, with alternative routing: Katz 1967,
//! Akinpelu 1984). A call that its direct group turns away is offered to tandems, in turn; it takes a circuit of
//! both groups there, and finds one only above what each keeps for its own calls. The streams on a group are taken
//! for Poisson and the groups for independent.
//!
//! Without reservation such networks can have two states for the same load, one that carries most calls directly
//! and one in which alternatives crowd out direct calls (Krupp 1982, Akinpelu 1984). The iteration is run from an
//! empty network and from a full one; where it ends in different places both are named.

use crate::erlang::{check_circuits, check_load};
use crate::InvalidInput;

/// Iterations after which a fixed point is given up.
const MOST_ROUNDS: usize = 2_000;
/// It is held to be reached when no loss moves by more than this.
const SETTLED: f64 = 1e-10;
/// Two solutions are two if a loss differs by more than this.
const APART: f64 = 1e-3;
/// Weight of the new figures in each round; less where they would swing.
const DAMPING: [f64; 3] = [0.7, 0.35, 0.1];

/// A group between two nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Group {
    /// Its ends.
    pub ends: (usize, usize),
    /// Its circuits.
    pub circuits: u32,
    /// Circuits kept from calls that are not its own.
    pub reserve: u32,
}

/// Calls between two nodes, both directions together.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// Its ends.
    pub ends: (usize, usize),
    /// Load offered, in erlang.
    pub load: f64,
    /// Tandems that are tried in turn when the direct group is full.
    pub tandems: Vec<usize>,
}

/// The network.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Network {
    /// How many nodes there are.
    pub nodes: usize,
    /// Groups, at most one between two nodes.
    pub groups: Vec<Group>,
    /// What is offered.
    pub demands: Vec<Demand>,
}

/// A state of the network that holds itself up.
#[derive(Clone, Debug, PartialEq)]
pub struct Solution {
    /// By demand: the share of its calls that find no way.
    pub loss: Vec<f64>,
    /// By group: the share of its own calls, and of others', that it turns away.
    pub blocked: Vec<(f64, f64)>,
    /// By group: load offered by its own calls and by others', in erlang.
    pub offered: Vec<(f64, f64)>,
    /// Share of all calls that is lost.
    pub total_loss: f64,
    /// Share of all calls that is carried over tandems.
    pub by_tandem: f64,
    /// Rounds that it took.
    pub iterations: usize,
    /// Whether it settled; if not, the figures are those of the last round.
    pub converged: bool,
}

/// What the network comes to.
#[derive(Clone, Debug, PartialEq)]
pub struct Solutions {
    /// The state that is reached from an empty network.
    pub from_empty: Solution,
    /// The one that is reached from a full network, where that is another.
    pub from_full: Option<Solution>,
}

impl Solutions {
    /// Whether the network can stay in two states under this load.
    pub fn bistable(&self) -> bool {
        self.from_full.is_some()
    }
}

/// Losses of a group that is offered `own` erlang, and `others` while more than its reserve is free: a chain of
/// births and deaths. Own calls lose when all is busy, others when what is free is kept.
pub fn group_loss(own: f64, others: f64, circuits: u32, reserve: u32) -> (f64, f64) {
    let (size, open) = (circuits as usize, circuits.saturating_sub(reserve) as usize);
    if size == 0 {
        return (1.0, 1.0);
    }
    // Shares of time, relative to the state at `open`, summed outwards from there: nothing overflows downwards
    // or upwards, for each term is formed from its neighbour and the terms fall off on both sides of the mode.
    // Scaled against the largest so far.
    let (mut p, mut total, mut kept) = (1.0f64, 1.0f64, if open == 0 { 1.0 } else { 0.0 });
    for n in 1..=size {
        let rate = if n <= open { own + others } else { own };
        p *= rate / n as f64;
        total += p;
        if n >= open {
            kept += p;
        }
        if total > 1e250 {
            (p, total, kept) = (p * 1e-250, total * 1e-250, kept * 1e-250);
        }
    }
    (p / total, kept / total)
}

struct Plan {
    /// By demand: its direct group.
    direct: Vec<Option<usize>>,
    /// By demand: pairs of groups, one for each tandem that has both.
    ways: Vec<Vec<(usize, usize)>>,
}

impl Network {
    fn plan(&self) -> Result<Plan, InvalidInput> {
        let mut between = vec![None; self.nodes * self.nodes];
        for (i, group) in self.groups.iter().enumerate() {
            let (a, b) = group.ends;
            if a >= self.nodes || b >= self.nodes || a == b {
                return Err(InvalidInput::Unknown("node", a.max(b)));
            }
            check_circuits(f64::from(group.circuits))?;
            between[a * self.nodes + b] = Some(i);
            between[b * self.nodes + a] = Some(i);
        }
        let (mut direct, mut ways) = (Vec::new(), Vec::new());
        for demand in &self.demands {
            check_load(demand.load)?;
            let (a, b) = demand.ends;
            let all = demand.tandems.iter().copied().chain([a, b]);
            if let Some(none) = all.filter(|n| *n >= self.nodes).max() {
                return Err(InvalidInput::Unknown("node", none));
            }
            direct.push(between[a * self.nodes + b]);
            let pair = |t: &usize| between[a * self.nodes + t].zip(between[t * self.nodes + b]);
            ways.push(demand.tandems.iter().filter_map(pair).collect());
        }
        Ok(Plan { direct, ways })
    }

    /// Finds the state that is reached from an empty network, and the one from a full network if that is another.
    pub fn solve(&self) -> Result<Solutions, InvalidInput> {
        let plan = self.plan()?;
        let from_empty = self.iterate(&plan, 0.0);
        let from_full = self.iterate(&plan, 0.9);
        let far = from_empty.loss.iter().zip(&from_full.loss).any(|(a, b)| (a - b).abs() > APART);
        let apart = far && from_full.converged && from_empty.converged;
        Ok(Solutions { from_empty, from_full: Some(from_full).filter(|_| apart) })
    }

    fn iterate(&self, plan: &Plan, start: f64) -> Solution {
        let mut last = None;
        for damping in DAMPING {
            let solution = self.iterate_damped(plan, start, damping);
            if solution.converged {
                return solution;
            }
            last = Some(solution);
        }
        last.expect("there is a damping")
    }

    fn iterate_damped(&self, plan: &Plan, start: f64, damping: f64) -> Solution {
        let mut blocked = vec![(start, start); self.groups.len()];
        let (mut iterations, mut converged) = (0, false);
        let mut offered = Vec::new();
        while iterations < MOST_ROUNDS && !converged {
            iterations += 1;
            offered = self.offered(plan, &blocked);
            let mut moved: f64 = 0.0;
            for ((group, load), old) in self.groups.iter().zip(&offered).zip(&mut blocked) {
                let new = group_loss(load.0, load.1, group.circuits, group.reserve);
                let step = (new.0 - old.0, new.1 - old.1);
                moved = moved.max(step.0.abs()).max(step.1.abs());
                *old = (old.0 + damping * step.0, old.1 + damping * step.1);
            }
            converged = moved < SETTLED;
        }
        self.solution(plan, blocked, offered, iterations, converged)
    }

    /// What each group is offered when the groups turn away these shares.
    fn offered(&self, plan: &Plan, blocked: &[(f64, f64)]) -> Vec<(f64, f64)> {
        let mut offered = vec![(0.0, 0.0); self.groups.len()];
        for ((demand, direct), ways) in self.demands.iter().zip(&plan.direct).zip(&plan.ways) {
            let mut left = demand.load;
            if let Some(group) = direct {
                offered[*group].0 += left;
                left *= blocked[*group].0;
            }
            for (first, second) in ways {
                if left <= 0.0 {
                    break;
                }
                // A group is offered only what the other one of the pair lets through.
                let open = (1.0 - blocked[*first].1, 1.0 - blocked[*second].1);
                offered[*first].1 += left * open.1;
                offered[*second].1 += left * open.0;
                left *= 1.0 - open.0 * open.1;
            }
        }
        offered
    }

    fn solution(
        &self,
        plan: &Plan,
        blocked: Vec<(f64, f64)>,
        offered: Vec<(f64, f64)>,
        iterations: usize,
        converged: bool,
    ) -> Solution {
        let (mut lost, mut by_tandem, mut total) = (0.0, 0.0, 0.0);
        let shares = self.demands.iter().zip(&plan.direct).zip(&plan.ways).map(|((demand, direct), ways)| {
            let after_direct = direct.map_or(1.0, |g| blocked[g].0);
            let open = |(a, b): &(usize, usize)| (1.0 - blocked[*a].1) * (1.0 - blocked[*b].1);
            let loss = ways.iter().fold(after_direct, |left, way| left * (1.0 - open(way)));
            lost += demand.load * loss;
            by_tandem += demand.load * (after_direct - loss);
            total += demand.load;
            loss
        });
        let loss: Vec<f64> = shares.collect();
        let share = |of: f64| if total > 0.0 { of / total } else { 0.0 };
        let (total_loss, by_tandem) = (share(lost), share(by_tandem));
        Solution { loss, blocked, offered, total_loss, by_tandem, iterations, converged }
    }
}
