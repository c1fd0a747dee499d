//! Circuits for a chosen loss, group by group, and the best use of the circuits there are.

use serde::Serialize;

use crate::busy::BusyHour;
use crate::offered::Ends;
use crate::overflow::Stream;
use crate::widths::{self, Class};
use crate::{erlang, overflow, BadFigure};

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
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Aim {
    /// The loss of any class, at the most.
    pub loss: f64,
    /// Peakedness of the traffic; 1 is Poisson.
    pub peakedness: f64,
    /// Price of a circuit.
    pub price: f64,
}

/// Circuits for loads of several classes.
fn needed(loads: &[(u32, f64)], aim: &Aim) -> Result<Option<u32>, BadFigure> {
    if loads.iter().any(|(_, a)| !a.is_finite()) {
        return Ok(None);
    }
    let wide = loads.iter().any(|(w, _)| *w != 1);
    if !wide {
        let mean = loads.iter().map(|(_, a)| a).sum();
        let circuits = overflow::circuits(Stream::peaked(mean, aim.peakedness), aim.loss)?;
        return Ok(u32::try_from(circuits).ok());
    }
    // Peaked calls of several widths: Hayward's approximation scales loads and circuits alike.
    let z = aim.peakedness;
    let class = |(width, load): &(u32, f64)| Class { load: load / z, width: *width, reserve: 0 };
    let classes: Vec<Class> = loads.iter().map(class).collect();
    let found = widths::circuits(&classes, &vec![aim.loss; classes.len()], MOST)?;
    Ok(found.map(|n| (f64::from(n) * z).ceil() as u32))
}

/// Sizes one group for the highest of its kinds of day.
pub fn size(ends: Ends, present: u32, hours: &[BusyHour], aim: &Aim) -> Result<Option<GroupPlan>, BadFigure> {
    erlang::check_loss(aim.loss)?;
    let highest = hours.iter().max_by(|a, b| a.load.mean.total_cmp(&b.load.mean));
    let Some(hour) = highest.cloned() else { return Ok(None) };
    // Each end of the whole load's interval moves all classes by the same share.
    let at = |of: f64| -> Vec<(u32, f64)> {
        let share = if hour.load.mean > 0.0 { of / hour.load.mean } else { 0.0 };
        let scaled =
            hour.classes.values().map(|(w, l)| (*w, if l.mean > 0.0 { l.mean * share } else { 0.0 }));
        scaled.collect()
    };
    let middle = needed(&at(hour.load.mean), aim)?.unwrap_or(MOST);
    let low = needed(&at(hour.load.low), aim)?.unwrap_or(MOST);
    let high = needed(&at(hour.load.high), aim)?;
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
pub fn spread(loads: &[f64], circuits: u32) -> Result<Vec<u32>, BadFigure> {
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
