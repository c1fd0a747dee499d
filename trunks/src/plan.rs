//! Circuits for a chosen loss, group by group, and the best use of the circuits there are.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::busy::BusyHour;
use crate::network::{Demand, Group, Network};
use crate::offered::Ends;
use crate::overflow::Stream;
use crate::widths::{self, Class};
use crate::{erlang, overflow, InvalidInput};

/// The most circuits that a group is sized for.
const MOST: u32 = 2_000_000;

/// How a group stands to what it needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// More circuits are needed, whatever the load is within its interval.
    Enlarge,
    /// It has what it needs, or more.
    Enough,
    /// The interval of the load spans the decision: more has to be measured.
    Unsure,
}

/// One group of a plan.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct GroupPlan {
    /// Its ends.
    pub ends: Ends,
    /// The hour it is sized for.
    pub hour: BusyHour,
    /// Circuits that it has.
    pub present: u32,
    /// Circuits that it needs for the loss: at the load, and at the ends of its interval (`None`: without end).
    pub needed: u32,
    /// See [`GroupPlan::needed`].
    pub needed_low: u32,
    /// See [`GroupPlan::needed`].
    pub needed_high: Option<u32>,
    /// The loss of each class on the circuits there are, at the load.
    pub loss_now: Vec<(String, f64)>,
    /// Cost of the difference, at the price of a circuit.
    pub cost: f64,
    /// What follows.
    pub verdict: Verdict,
}

/// What a plan aims at.
#[derive(Clone, Debug, PartialEq)]
pub struct LossTarget {
    /// The loss of any class, at the most.
    pub loss: f64,
    /// Losses of classes that have one of their own, by name.
    pub by_class: BTreeMap<String, f64>,
    /// Peakedness of the traffic; 1 is Poisson.
    pub peakedness: f64,
    /// Price of a circuit.
    pub price: f64,
}

impl LossTarget {
    fn of(&self, class: &str) -> f64 {
        self.by_class.get(class).copied().unwrap_or(self.loss)
    }
}

/// Circuits for loads of several classes, each with the loss it may have.
fn needed(loads: &[(u32, f64)], losses: &[f64], aim: &LossTarget) -> Result<Option<u32>, InvalidInput> {
    if loads.iter().any(|(_, a)| !a.is_finite()) {
        return Ok(None);
    }
    let wide = loads.iter().any(|(w, _)| *w != 1);
    if !wide {
        // Calls of one width lose alike: the strictest class decides.
        let mean = loads.iter().map(|(_, a)| a).sum();
        let strictest = losses.iter().copied().fold(1.0, f64::min);
        let circuits = overflow::circuits(Stream::peaked(mean, aim.peakedness), strictest)?;
        return Ok(u32::try_from(circuits).ok());
    }
    // Peaked calls of several widths: Hayward's approximation scales loads and circuits alike.
    let z = aim.peakedness;
    let class = |(width, load): &(u32, f64)| Class { load: load / z, width: *width, reserve: 0 };
    let classes: Vec<Class> = loads.iter().map(class).collect();
    let found = widths::circuits(&classes, losses, MOST)?;
    Ok(found.map(|n| (f64::from(n) * z).ceil() as u32))
}

/// Sizes one group for the highest of its kinds of day.
pub fn size_group(
    ends: Ends,
    present: u32,
    hours: &[BusyHour],
    aim: &LossTarget,
) -> Result<Option<GroupPlan>, InvalidInput> {
    erlang::check_loss(aim.loss)?;
    aim.by_class.values().try_for_each(|loss| erlang::check_loss(*loss))?;
    let highest = hours.iter().max_by(|a, b| a.load.mean.total_cmp(&b.load.mean));
    let Some(hour) = highest.cloned() else { return Ok(None) };
    // Each end of the whole load's interval moves all classes by the same share.
    let at = |of: f64| -> Vec<(u32, f64)> {
        let share = if hour.load.mean > 0.0 { of / hour.load.mean } else { 0.0 };
        let scaled =
            hour.classes.values().map(|(w, l)| (*w, if l.mean > 0.0 { l.mean * share } else { 0.0 }));
        scaled.collect()
    };
    let losses: Vec<f64> = hour.classes.keys().map(|name| aim.of(name)).collect();
    let middle = needed(&at(hour.load.mean), &losses, aim)?.unwrap_or(MOST);
    let low = needed(&at(hour.load.low), &losses, aim)?.unwrap_or(MOST);
    let high = needed(&at(hour.load.high), &losses, aim)?;
    let classes: Vec<Class> = at(hour.load.mean)
        .into_iter()
        .map(|(width, load)| Class { load: load / aim.peakedness, width, reserve: 0 })
        .collect();
    let now = widths::usage(&classes, (f64::from(present) / aim.peakedness).floor() as u32)?;
    let verdict = match (low > present, high.is_some_and(|h| h <= present)) {
        (true, _) => Verdict::Enlarge,
        (false, true) => Verdict::Enough,
        (false, false) => Verdict::Unsure,
    };
    Ok(Some(GroupPlan {
        ends,
        present,
        needed: middle,
        needed_low: low,
        needed_high: high,
        loss_now: hour.classes.keys().cloned().zip(now.loss).collect(),
        cost: aim.price * (f64::from(middle) - f64::from(present)),
        verdict,
        hour,
    }))
}

/// Spreads circuits over groups so that together they carry most: each circuit goes where it carries most more
/// (Moe's principle, K. Moe 1923: the improvements of all groups end up alike). Tells the circuits of each group.
pub fn distribute_circuits(loads: &[f64], circuits: u32) -> Result<Vec<u32>, InvalidInput> {
    /// What the next circuit carries at a group, ordered by it.
    #[derive(PartialEq)]
    struct Next(f64, usize);
    impl Eq for Next {}
    impl PartialOrd for Next {
        fn partial_cmp(&self, other: &Next) -> Option<std::cmp::Ordering> {
            Some(self.cmp(other))
        }
    }
    impl Ord for Next {
        fn cmp(&self, other: &Next) -> std::cmp::Ordering {
            self.0.total_cmp(&other.0).then(other.1.cmp(&self.1))
        }
    }
    let mut given = vec![0; loads.len()];
    // The loss at what each group has so far: one step of the recursion for each circuit given.
    let mut losses = vec![1.0; loads.len()];
    let step = |load: f64, n: u32, b: f64| {
        let ab = load * b;
        ab / (f64::from(n) + 1.0 + ab)
    };
    let mut heap = std::collections::BinaryHeap::new();
    for (i, load) in loads.iter().enumerate() {
        erlang::check_load(*load)?;
        heap.push(Next(load * (1.0 - step(*load, 0, 1.0)), i));
    }
    for _ in 0..circuits {
        let Some(Next(_, i)) = heap.pop() else { break };
        losses[i] = step(loads[i], given[i], losses[i]);
        given[i] += 1;
        heap.push(Next(loads[i] * (losses[i] - step(loads[i], given[i], losses[i])), i));
    }
    Ok(given)
}

/// Tandems that a call is offered to in turn, at the most.
const TANDEMS: usize = 5;

/// The network that these groups make at their present circuits, each pair at its busy hour and all at once: blocked
/// calls try the tandems with the widest way, and each group keeps `reserve_roots` roots of its circuits from them.
/// Loads are in circuits, for the fixed point knows one width.
pub fn build_network(plans: &[GroupPlan], reserve_roots: f64) -> Network {
    let nodes = plans.iter().map(|p| p.ends.1 as usize + 1).max().unwrap_or(0);
    let present: BTreeMap<Ends, u32> = plans.iter().map(|p| (p.ends, p.present)).collect();
    let room = |a: u32, b: u32| present.get(&(a.min(b), a.max(b))).copied().unwrap_or(0);
    let ends = |p: &GroupPlan| (p.ends.0 as usize, p.ends.1 as usize);
    let groups = plans.iter().map(|p| Group {
        ends: ends(p),
        circuits: p.present,
        reserve: (reserve_roots * f64::from(p.present).sqrt()).ceil() as u32,
    });
    let demands = plans.iter().map(|p| {
        let (a, b) = p.ends;
        let way = |t: &u32| room(a, *t).min(room(*t, b));
        let mut tandems: Vec<u32> = (0..nodes as u32).filter(|t| *t != a && *t != b && way(t) > 0).collect();
        tandems.sort_by_key(|t| std::cmp::Reverse(way(t)));
        let tandems = tandems.into_iter().take(TANDEMS).map(|t| t as usize).collect();
        Demand { ends: ends(p), load: p.hour.load.mean, tandems }
    });
    Network { nodes, groups: groups.collect(), demands: demands.collect() }
}
