//! The circuits that each group needs for a target loss, and the best distribution of the present circuits.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::busy::BusyHour;
use crate::network::{Demand, Group, Network};
use crate::offered::Ends;
use crate::overflow::Stream;
use crate::widths::{self, Class};
use crate::{erlang, overflow, InvalidInput};

/// Maximum number of circuits that a group is sized for.
const MAX_GROUP_CIRCUITS: u32 = 2_000_000;

/// Whether a group has the circuits that it needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// More circuits are needed for every load within the confidence interval.
    Enlarge,
    /// The present circuits suffice for every load within the confidence interval.
    Enough,
    /// The decision depends on where in the confidence interval the load is: more measurements are needed.
    Unsure,
}

/// The plan of one group.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct GroupPlan {
    /// The exchanges at its ends.
    pub ends: Ends,
    /// The busy hour that it is sized for.
    pub hour: BusyHour,
    /// Present circuits.
    pub present: u32,
    /// Circuits needed for the target loss at the estimated load.
    pub needed: u32,
    /// Circuits needed at the lower bound of the load's interval.
    pub needed_low: u32,
    /// Circuits needed at the upper bound of the load's interval; `None` if that is infinite.
    pub needed_high: Option<u32>,
    /// Loss of each class on the present circuits, at the estimated load, by class name.
    pub loss_now: Vec<(String, f64)>,
    /// Cost of the circuits to add; negative for circuits to remove.
    pub cost: f64,
    /// Whether the group has enough circuits.
    pub verdict: Verdict,
}

/// The target of a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct LossTarget {
    /// Maximum loss of a class without an entry in `by_class`.
    pub loss: f64,
    /// Maximum losses of individual classes, by name.
    pub by_class: BTreeMap<String, f64>,
    /// Peakedness of the traffic; 1 is Poisson.
    pub peakedness: f64,
    /// Price of a circuit.
    pub price: f64,
}

impl LossTarget {
    fn max_loss(&self, class: &str) -> f64 {
        self.by_class.get(class).copied().unwrap_or(self.loss)
    }
}

/// The circuits needed for the loads of several classes (width and load of each), given the maximum loss of each;
/// `None` if a load is infinite or the result exceeds the supported range.
fn circuits_needed(
    loads: &[(u32, f64)],
    losses: &[f64],
    target: &LossTarget,
) -> Result<Option<u32>, InvalidInput> {
    if loads.iter().any(|(_, a)| !a.is_finite()) {
        return Ok(None);
    }
    let is_multirate = loads.iter().any(|(w, _)| *w != 1);
    if !is_multirate {
        // Calls of width 1 all have the same loss: the strictest class decides.
        let mean = loads.iter().map(|(_, a)| a).sum();
        let strictest = losses.iter().copied().fold(1.0, f64::min);
        let circuits = overflow::circuits(Stream::peaked(mean, target.peakedness), strictest)?;
        return Ok(u32::try_from(circuits).ok());
    }
    // Peaked traffic of several widths: Hayward's approximation divides loads and circuits by the peakedness.
    let z = target.peakedness;
    let class = |(width, load): &(u32, f64)| Class { load: load / z, width: *width, reserve: 0 };
    let classes: Vec<Class> = loads.iter().map(class).collect();
    let found = widths::circuits(&classes, losses, MAX_GROUP_CIRCUITS)?;
    Ok(found.map(|n| (f64::from(n) * z).ceil() as u32))
}

/// Sizes one group for the kind of day with the highest load; `None` if `hours` is empty.
pub fn size_group(
    ends: Ends,
    present: u32,
    hours: &[BusyHour],
    target: &LossTarget,
) -> Result<Option<GroupPlan>, InvalidInput> {
    erlang::check_loss(target.loss)?;
    target.by_class.values().try_for_each(|loss| erlang::check_loss(*loss))?;
    let highest = hours.iter().max_by(|a, b| a.load.mean.total_cmp(&b.load.mean));
    let Some(hour) = highest.cloned() else { return Ok(None) };
    // The loads of all classes, scaled so that their sum is `total`.
    let class_loads = |total: f64| -> Vec<(u32, f64)> {
        let share = if hour.load.mean > 0.0 { total / hour.load.mean } else { 0.0 };
        let scaled =
            hour.classes.values().map(|(w, l)| (*w, if l.mean > 0.0 { l.mean * share } else { 0.0 }));
        scaled.collect()
    };
    let losses: Vec<f64> = hour.classes.keys().map(|name| target.max_loss(name)).collect();
    let mean = circuits_needed(&class_loads(hour.load.mean), &losses, target)?.unwrap_or(MAX_GROUP_CIRCUITS);
    let low = circuits_needed(&class_loads(hour.load.low), &losses, target)?.unwrap_or(MAX_GROUP_CIRCUITS);
    let high = circuits_needed(&class_loads(hour.load.high), &losses, target)?;
    let classes: Vec<Class> = class_loads(hour.load.mean)
        .into_iter()
        .map(|(width, load)| Class { load: load / target.peakedness, width, reserve: 0 })
        .collect();
    let present_usage = widths::usage(&classes, (f64::from(present) / target.peakedness).floor() as u32)?;
    let verdict = match (low > present, high.is_some_and(|h| h <= present)) {
        (true, _) => Verdict::Enlarge,
        (false, true) => Verdict::Enough,
        (false, false) => Verdict::Unsure,
    };
    Ok(Some(GroupPlan {
        ends,
        present,
        needed: mean,
        needed_low: low,
        needed_high: high,
        loss_now: hour.classes.keys().cloned().zip(present_usage.loss).collect(),
        cost: target.price * (f64::from(mean) - f64::from(present)),
        verdict,
        hour,
    }))
}

/// Distributes circuits over groups so that the total carried load is maximal: each circuit goes to the group where it
/// increases the carried load most (Moe's principle, K. Moe 1923: the improvements of all groups become equal). Returns
/// the circuits of each group.
pub fn distribute_circuits(loads: &[f64], circuits: u32) -> Result<Vec<u32>, InvalidInput> {
    /// Load that the next circuit of a group would carry, and the group's index; ordered by the load, equal loads by
    /// the lower index first.
    #[derive(PartialEq)]
    struct Candidate(f64, usize);
    impl Eq for Candidate {}
    impl PartialOrd for Candidate {
        fn partial_cmp(&self, other: &Candidate) -> Option<std::cmp::Ordering> {
            Some(self.cmp(other))
        }
    }
    impl Ord for Candidate {
        fn cmp(&self, other: &Candidate) -> std::cmp::Ordering {
            self.0.total_cmp(&other.0).then(other.1.cmp(&self.1))
        }
    }
    let mut assigned = vec![0; loads.len()];
    // The loss of each group on its assigned circuits: one step of Erlang's recursion for each circuit.
    let mut losses = vec![1.0; loads.len()];
    let next_loss = |load: f64, n: u32, b: f64| {
        let ab = load * b;
        ab / (f64::from(n) + 1.0 + ab)
    };
    let mut candidates = std::collections::BinaryHeap::new();
    for (i, load) in loads.iter().enumerate() {
        erlang::check_load(*load)?;
        candidates.push(Candidate(load * (1.0 - next_loss(*load, 0, 1.0)), i));
    }
    for _ in 0..circuits {
        let Some(Candidate(_, i)) = candidates.pop() else { break };
        losses[i] = next_loss(loads[i], assigned[i], losses[i]);
        assigned[i] += 1;
        candidates.push(Candidate(loads[i] * (losses[i] - next_loss(loads[i], assigned[i], losses[i])), i));
    }
    Ok(assigned)
}

/// Maximum number of tandems that a call is offered to.
const MAX_TANDEMS: usize = 5;

/// Builds the network of the planned groups with their present circuits, with the busy-hour loads of all pairs at the
/// same time. Rejected calls try the tandems with the largest routes, and each group reserves `reserve_roots` times the
/// square root of its circuits against them. Loads are in erlang of circuits, because the fixed point has one width.
pub fn build_network(plans: &[GroupPlan], reserve_roots: f64) -> Network {
    let nodes = plans.iter().map(|p| p.ends.1 as usize + 1).max().unwrap_or(0);
    let present: BTreeMap<Ends, u32> = plans.iter().map(|p| (p.ends, p.present)).collect();
    let circuits_between = |a: u32, b: u32| present.get(&(a.min(b), a.max(b))).copied().unwrap_or(0);
    let ends = |p: &GroupPlan| (p.ends.0 as usize, p.ends.1 as usize);
    let groups = plans.iter().map(|p| Group {
        ends: ends(p),
        circuits: p.present,
        reserve: (reserve_roots * f64::from(p.present).sqrt()).ceil() as u32,
    });
    let demands = plans.iter().map(|p| {
        let (a, b) = p.ends;
        let route_circuits = |t: &u32| circuits_between(a, *t).min(circuits_between(*t, b));
        let mut tandems: Vec<u32> =
            (0..nodes as u32).filter(|t| *t != a && *t != b && route_circuits(t) > 0).collect();
        tandems.sort_by_key(|t| std::cmp::Reverse(route_circuits(t)));
        let tandems = tandems.into_iter().take(MAX_TANDEMS).map(|t| t as usize).collect();
        Demand { ends: ends(p), load: p.hour.load.mean, tandems }
    });
    Network { nodes, groups: groups.collect(), demands: demands.collect() }
}
