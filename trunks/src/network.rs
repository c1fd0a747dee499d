//! Erlang fixed-point approximation of a network of groups with tandem alternatives (alternative routing: Katz 1967,
//! Akinpelu 1984). A call rejected by its direct group is offered to its tandems in turn, as an
//! alternative call: an overflow call on a tandem route. There it occupies a circuit of both groups and is rejected if
//! either group has no more free circuits than it reserves for its own calls. The streams on a group are assumed to be
//! Poisson, and the groups to be independent.
//!
//! Without reservation such a network can be bistable: for the same load, it has one state that carries most calls
//! directly and one in which alternative calls displace direct calls (Krupp 1982, Akinpelu 1984). The iteration
//! therefore starts both from an empty and from a full network, and both results are returned if they differ.

use crate::erlang::{check_circuits, check_load};
use crate::InvalidInput;

/// Maximum number of iterations.
const MAX_ITERATIONS: usize = 2_000;
/// The iteration has converged when no loss changes by this much or more.
const CONVERGENCE_TOLERANCE: f64 = 1e-10;
/// Two solutions are distinct if a loss differs by more than this.
const MIN_SOLUTION_DIFFERENCE: f64 = 1e-3;
/// Weights of the new losses in each iteration, tried in turn until the iteration converges without oscillating.
const DAMPING_FACTORS: [f64; 3] = [0.7, 0.35, 0.1];

/// A trunk group between two nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Group {
    /// Its two nodes.
    pub ends: (usize, usize),
    /// Number of circuits.
    pub circuits: u32,
    /// Trunk reservation: circuits not available to calls that use the group as part of a tandem route.
    pub reserve: u32,
}

/// Calls between two nodes, in both directions.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// The two nodes.
    pub ends: (usize, usize),
    /// Load offered, in erlang.
    pub load: f64,
    /// Tandems tried in turn when the direct group is full.
    pub tandems: Vec<usize>,
}

/// A network of trunk groups and the calls offered to it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Network {
    /// Number of nodes.
    pub nodes: usize,
    /// Groups, at most one between two nodes.
    pub groups: Vec<Group>,
    /// Offered calls.
    pub demands: Vec<Demand>,
}

/// Values of one group for its direct calls and for alternative calls, which use it as part of a tandem route.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ByRoute {
    /// Value for direct calls.
    pub direct: f64,
    /// Value for alternative calls.
    pub alternative: f64,
}

/// A fixed point of the network.
#[derive(Clone, Debug, PartialEq)]
pub struct Solution {
    /// Lost share of the calls, by demand.
    pub loss: Vec<f64>,
    /// Rejected shares of direct calls and of alternative calls, by group.
    pub blocked: Vec<ByRoute>,
    /// Loads offered by direct calls and by alternative calls in erlang, by group.
    pub offered: Vec<ByRoute>,
    /// Lost share of all calls.
    pub total_loss: f64,
    /// Share of all calls carried over tandems.
    pub by_tandem: f64,
    /// Number of iterations.
    pub iterations: usize,
    /// Whether the iteration converged; if not, the values are those of the last iteration.
    pub converged: bool,
}

/// The fixed points that were found.
#[derive(Clone, Debug, PartialEq)]
pub struct Solutions {
    /// The fixed point reached from an empty network.
    pub from_empty: Solution,
    /// The fixed point reached from a full network, if it is a different one.
    pub from_full: Option<Solution>,
}

impl Solutions {
    /// Whether the network has two stable states under this load.
    pub fn bistable(&self) -> bool {
        self.from_full.is_some()
    }
}

/// Losses of direct and of alternative calls on a group, as a birth-death process. The group is offered `direct`
/// erlang, and `alternative` erlang while more circuits are free than it reserves. Direct calls are lost when all
/// circuits are busy, alternative calls when at most the reserve is free.
pub fn group_loss(direct: f64, alternative: f64, circuits: u32, reserve: u32) -> ByRoute {
    let (size, unreserved) = (circuits as usize, circuits.saturating_sub(reserve) as usize);
    if size == 0 {
        return ByRoute { direct: 1.0, alternative: 1.0 };
    }
    // State probabilities relative to the empty group, each computed from its neighbour. All sums are scaled down
    // together before they overflow.
    let (mut p, mut total, mut reserved) = (1.0f64, 1.0f64, if unreserved == 0 { 1.0 } else { 0.0 });
    for n in 1..=size {
        let rate = if n <= unreserved { direct + alternative } else { direct };
        p *= rate / n as f64;
        total += p;
        if n >= unreserved {
            reserved += p;
        }
        if total > 1e250 {
            (p, total, reserved) = (p * 1e-250, total * 1e-250, reserved * 1e-250);
        }
    }
    ByRoute { direct: p / total, alternative: reserved / total }
}

/// The groups that each demand uses, as indices into [`Network::groups`].
struct RoutePlan {
    /// The direct group, by demand.
    direct: Vec<Option<usize>>,
    /// The two groups of each tandem route, by demand; tandems without a group to both ends are left out.
    tandem_routes: Vec<Vec<(usize, usize)>>,
}

impl Network {
    fn route_plan(&self) -> Result<RoutePlan, InvalidInput> {
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
        let (mut direct, mut tandem_routes) = (Vec::new(), Vec::new());
        for demand in &self.demands {
            check_load(demand.load)?;
            let (a, b) = demand.ends;
            let all = demand.tandems.iter().copied().chain([a, b]);
            if let Some(unknown) = all.filter(|n| *n >= self.nodes).max() {
                return Err(InvalidInput::Unknown("node", unknown));
            }
            direct.push(between[a * self.nodes + b]);
            let route_over = |t: &usize| between[a * self.nodes + t].zip(between[t * self.nodes + b]);
            tandem_routes.push(demand.tandems.iter().filter_map(route_over).collect());
        }
        Ok(RoutePlan { direct, tandem_routes })
    }

    /// Finds the fixed point reached from an empty network, and the one reached from a full network if it differs.
    pub fn solve(&self) -> Result<Solutions, InvalidInput> {
        let plan = self.route_plan()?;
        let from_empty = self.iterate(&plan, 0.0);
        let from_full = self.iterate(&plan, 0.9);
        let differs =
            from_empty.loss.iter().zip(&from_full.loss).any(|(a, b)| (a - b).abs() > MIN_SOLUTION_DIFFERENCE);
        let is_distinct = differs && from_full.converged && from_empty.converged;
        Ok(Solutions { from_empty, from_full: Some(from_full).filter(|_| is_distinct) })
    }

    fn iterate(&self, plan: &RoutePlan, initial_loss: f64) -> Solution {
        let mut last = None;
        for damping in DAMPING_FACTORS {
            let solution = self.iterate_damped(plan, initial_loss, damping);
            if solution.converged {
                return solution;
            }
            last = Some(solution);
        }
        last.expect("DAMPING_FACTORS is not empty")
    }

    fn iterate_damped(&self, plan: &RoutePlan, initial_loss: f64, damping: f64) -> Solution {
        let mut blocked =
            vec![ByRoute { direct: initial_loss, alternative: initial_loss }; self.groups.len()];
        let (mut iterations, mut converged) = (0, false);
        let mut offered = Vec::new();
        while iterations < MAX_ITERATIONS && !converged {
            iterations += 1;
            offered = self.offered_loads(plan, &blocked);
            let mut max_change: f64 = 0.0;
            for ((group, load), old) in self.groups.iter().zip(&offered).zip(&mut blocked) {
                let new = group_loss(load.direct, load.alternative, group.circuits, group.reserve);
                let change = ByRoute {
                    direct: new.direct - old.direct,
                    alternative: new.alternative - old.alternative,
                };
                max_change = max_change.max(change.direct.abs()).max(change.alternative.abs());
                *old = ByRoute {
                    direct: old.direct + damping * change.direct,
                    alternative: old.alternative + damping * change.alternative,
                };
            }
            converged = max_change < CONVERGENCE_TOLERANCE;
        }
        self.solution(plan, blocked, offered, iterations, converged)
    }

    /// The loads offered to each group, given the shares that the groups reject.
    fn offered_loads(&self, plan: &RoutePlan, blocked: &[ByRoute]) -> Vec<ByRoute> {
        let mut offered = vec![ByRoute::default(); self.groups.len()];
        for ((demand, direct), tandem_routes) in
            self.demands.iter().zip(&plan.direct).zip(&plan.tandem_routes)
        {
            let mut remaining = demand.load;
            if let Some(group) = direct {
                offered[*group].direct += remaining;
                remaining *= blocked[*group].direct;
            }
            for (first, second) in tandem_routes {
                if remaining <= 0.0 {
                    break;
                }
                // Each group of the route is offered only the calls that the other group accepts.
                let accepted_by_first = 1.0 - blocked[*first].alternative;
                let accepted_by_second = 1.0 - blocked[*second].alternative;
                offered[*first].alternative += remaining * accepted_by_second;
                offered[*second].alternative += remaining * accepted_by_first;
                remaining *= 1.0 - accepted_by_first * accepted_by_second;
            }
        }
        offered
    }

    fn solution(
        &self,
        plan: &RoutePlan,
        blocked: Vec<ByRoute>,
        offered: Vec<ByRoute>,
        iterations: usize,
        converged: bool,
    ) -> Solution {
        let (mut lost, mut by_tandem, mut total) = (0.0, 0.0, 0.0);
        let losses = self.demands.iter().zip(&plan.direct).zip(&plan.tandem_routes).map(
            |((demand, direct), tandem_routes)| {
                let after_direct = direct.map_or(1.0, |g| blocked[g].direct);
                let accepted = |(a, b): &(usize, usize)| {
                    (1.0 - blocked[*a].alternative) * (1.0 - blocked[*b].alternative)
                };
                let loss = tandem_routes
                    .iter()
                    .fold(after_direct, |remaining, route| remaining * (1.0 - accepted(route)));
                lost += demand.load * loss;
                by_tandem += demand.load * (after_direct - loss);
                total += demand.load;
                loss
            },
        );
        let loss: Vec<f64> = losses.collect();
        let share = |load: f64| if total > 0.0 { load / total } else { 0.0 };
        let (total_loss, by_tandem) = (share(lost), share(by_tandem));
        Solution { loss, blocked, offered, total_loss, by_tandem, iterations, converged }
    }
}
