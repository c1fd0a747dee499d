//! Estimates the offered load from the controllers' measurements.
//!
//! A controller counts every fresh call of its own callers, including those that found no free circuit. The load
//! offered by its end is therefore the rate of fresh calls times the mean holding time; redials are not offered load.
//! The calls of the other end are in the other end's files. If those are missing, the other end's carried load is the
//! circuits in use beyond the own calls, and its offered load follows from the loss of a group of that size. Near
//! saturation, the circuits in use hardly depend on the offered load, and the confidence interval becomes wide.

use std::collections::BTreeMap;

use measured::record::{ClassFigures, GroupFigures, Interval};
use serde::{Deserialize, Serialize};
use statrs::distribution::{ChiSquared, ContinuousCDF};

use crate::erlang;

/// Confidence level of all intervals.
pub const CONFIDENCE_LEVEL: f64 = 0.95;
/// Quantile of the standard normal distribution for a two-sided interval at [`CONFIDENCE_LEVEL`].
const NORMAL_QUANTILE: f64 = 1.959_963_984_540_054;

/// Exchange numbers of the two ends of a group, the lower one first.
pub type Ends = (u32, u32);

/// A load with its confidence interval, in erlang.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadEstimate {
    /// The estimate.
    pub mean: f64,
    /// Lower bound of the interval.
    pub low: f64,
    /// Upper bound of the interval; infinite if the group was too full to estimate the offered load.
    pub high: f64,
}

impl LoadEstimate {
    /// The sum of two independent estimates, whose deviations add in squares.
    pub fn plus(self, other: LoadEstimate) -> LoadEstimate {
        let mean = self.mean + other.mean;
        let down = (self.mean - self.low).hypot(other.mean - other.low);
        let up = (self.high - self.mean).hypot(other.high - other.mean);
        LoadEstimate { mean, low: (mean - down).max(0.0), high: mean + up }
    }
}

/// Holding-time statistics of a class, over all files.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HoldingStats {
    /// Number of calls.
    pub calls: u64,
    /// Sum of the holding times, in seconds.
    pub seconds: f64,
    /// Sum of the squares of the holding times, in seconds squared.
    pub squares: f64,
}

impl HoldingStats {
    /// Mean holding time, in seconds; `None` without calls.
    pub fn mean(&self) -> Option<f64> {
        (self.calls > 0).then(|| self.seconds / self.calls as f64)
    }

    /// Squared coefficient of variation of the estimated mean.
    fn relative_variance(&self) -> f64 {
        let n = self.calls as f64;
        let Some(mean) = self.mean().filter(|m| *m > 0.0) else { return 1.0 };
        let variance = (self.squares / n - mean * mean).max(0.0);
        // Fewer than 10 calls do not show the spread; an exponential distribution is assumed.
        let squared_variation = if self.calls < 10 { 1.0 } else { variance / (mean * mean) };
        squared_variation / n
    }
}

/// Estimates the offered load from the number of Poisson arrivals in a time: Garwood's exact interval for the count,
/// widened by the uncertainty of the mean holding time.
pub fn load_from_arrivals(calls: u64, seconds: f64, holding: &HoldingStats) -> LoadEstimate {
    let Some(mean) = holding.mean().filter(|_| seconds > 0.0) else {
        return LoadEstimate { mean: 0.0, low: 0.0, high: if calls == 0 { 0.0 } else { f64::INFINITY } };
    };
    let n = calls as f64;
    let tail = (1.0 - CONFIDENCE_LEVEL) / 2.0;
    let half_chi_squared = |p: f64, degrees_of_freedom: f64| {
        ChiSquared::new(degrees_of_freedom).map_or(0.0, |d| d.inverse_cdf(p) / 2.0)
    };
    let low = if calls == 0 { 0.0 } else { half_chi_squared(tail, 2.0 * n) };
    let high = half_chi_squared(1.0 - tail, 2.0 * n + 2.0);
    let (load_per_call, log_deviation) =
        (mean / seconds, NORMAL_QUANTILE * holding.relative_variance().sqrt());
    if calls == 0 {
        return LoadEstimate { mean: 0.0, low: 0.0, high: high * load_per_call * log_deviation.exp() };
    }
    // Count and holding time are independent, so the deviations of their logarithms add in squares.
    let down = (n / low).ln().hypot(log_deviation);
    let up = (high / n).ln().hypot(log_deviation);
    LoadEstimate {
        mean: n * load_per_call,
        low: n * load_per_call * (-down).exp(),
        high: n * load_per_call * up.exp(),
    }
}

/// Estimates the offered load from the mean number of circuits in use: the load of which `carried` erlang are carried
/// on `circuits`. The variance of an average over `seconds` (T) is at most 2 A h / T (Riordan 1951), where h is
/// `mean_hold`, the mean holding time in seconds.
pub fn load_from_usage(carried: f64, circuits: f64, mean_hold: f64, seconds: f64) -> LoadEstimate {
    if carried <= 0.0 || seconds <= 0.0 {
        return LoadEstimate::default();
    }
    let margin = NORMAL_QUANTILE * (2.0 * carried * mean_hold / seconds).sqrt();
    let offered = |carried: f64| -> f64 {
        if carried <= 0.0 {
            return 0.0;
        }
        if carried >= circuits * (1.0 - 1e-6) {
            return f64::INFINITY;
        }
        // The carried load increases with the offered load and never exceeds it.
        let (mut low, mut high) = (carried, carried.max(1.0));
        let carried_of = |a: f64| a * (1.0 - erlang::loss_unchecked(a, circuits));
        while carried_of(high) < carried {
            high *= 2.0;
            if high > erlang::MAX_LOAD_ERLANG {
                return f64::INFINITY;
            }
        }
        for _ in 0..100 {
            let middle = 0.5 * (low + high);
            if carried_of(middle) < carried {
                low = middle;
            } else {
                high = middle;
            }
        }
        0.5 * (low + high)
    };
    let (low, high) = (offered(carried - margin), offered(carried + margin));
    let mean = offered(carried.min(circuits * 0.999));
    LoadEstimate { mean, low: low.min(mean), high: high.max(mean) }
}

/// The load of one class on one group in one interval.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ClassLoad {
    /// Circuits that one call takes.
    pub width: u32,
    /// Fresh calls of both ends, in erlang of calls.
    pub fresh: LoadEstimate,
    /// Carried calls in transit, in erlang of calls. They are not part of the offered load of the pair of exchanges.
    pub transit: f64,
    /// Number of fresh calls.
    pub calls: u64,
    /// Number of redials.
    pub redials: u64,
}

/// The load of one group in one interval.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct GroupLoad {
    /// Start of the interval, in Unix milliseconds.
    pub from: i64,
    /// Measured time at the end that measured longer, in seconds.
    pub seconds: f64,
    /// Circuits of the group.
    pub circuits: f64,
    /// Mean number of circuits in use, by calls of both ends and calls in transit.
    pub in_use: f64,
    /// Share of the time with no circuit free.
    pub full: f64,
    /// Whether the files of both ends are present; if not, the other end's load is estimated from the circuits in use.
    pub both_ends: bool,
    /// Loads by class name.
    pub classes: BTreeMap<String, ClassLoad>,
}

impl GroupLoad {
    /// Fresh load of all classes, in erlang of circuits.
    pub fn circuits_offered(&self) -> LoadEstimate {
        let in_circuits = |class: &ClassLoad| {
            let width = f64::from(class.width);
            LoadEstimate {
                mean: width * class.fresh.mean,
                low: width * class.fresh.low,
                high: width * class.fresh.high,
            }
        };
        self.classes.values().map(in_circuits).fold(LoadEstimate::default(), LoadEstimate::plus)
    }
}

/// Holding-time statistics by class, over all intervals.
pub fn holding_stats(intervals: &[Interval]) -> BTreeMap<String, HoldingStats> {
    let mut found: BTreeMap<String, HoldingStats> = BTreeMap::new();
    for h in intervals.iter().flat_map(|i| &i.holding) {
        let sum = found.entry(h.class.clone()).or_default();
        sum.calls += h.calls;
        sum.seconds += h.seconds;
        sum.squares += h.squares;
    }
    found
}

/// Combines the intervals of all exchanges into the loads of each group, in order of time. An interval of one end is
/// matched with the interval of the other end whose start is nearest, within half its length, because the clocks of the
/// two ends may differ.
pub fn loads_by_group(intervals: &[Interval]) -> BTreeMap<Ends, Vec<GroupLoad>> {
    let holding = holding_stats(intervals);
    let mut sides: BTreeMap<(u32, u32), Vec<Side<'_>>> = BTreeMap::new();
    for interval in intervals.iter().filter(|i| i.seconds() > 0.0) {
        for group in &interval.groups {
            sides.entry((interval.exchange, group.to)).or_default().push(Side { interval, figures: group });
        }
    }
    sides.values_mut().for_each(|side| side.sort_by_key(|s| s.interval.from));
    let mut found = BTreeMap::new();
    let ends: std::collections::BTreeSet<Ends> = sides.keys().map(|(a, b)| (*a.min(b), *a.max(b))).collect();
    for (a, b) in ends {
        let empty = Vec::new();
        let (side_a, side_b) = (sides.get(&(a, b)).unwrap_or(&empty), sides.get(&(b, a)).unwrap_or(&empty));
        let mut matched = vec![false; side_b.len()];
        let mut loads = Vec::new();
        for side in side_a {
            let half_length = (side.interval.to - side.interval.from) / 2;
            let near = |j: &usize| {
                !matched[*j] && (side_b[*j].interval.from - side.interval.from).abs() <= half_length
            };
            let opposite = (0..side_b.len())
                .filter(near)
                .min_by_key(|j| (side_b[*j].interval.from - side.interval.from).abs());
            if let Some(j) = opposite {
                matched[j] = true;
            }
            loads.push(group_load(side, opposite.map(|j| &side_b[j]), &holding));
        }
        let unmatched = side_b.iter().zip(matched).filter(|(_, matched)| !matched);
        loads.extend(unmatched.map(|(side, _)| group_load(side, None, &holding)));
        loads.sort_by_key(|l| l.from);
        found.insert((a, b), loads);
    }
    found
}

/// One end's measurement of a group in one interval.
#[derive(Clone, Copy)]
struct Side<'a> {
    interval: &'a Interval,
    figures: &'a GroupFigures,
}

fn group_load(
    side: &Side<'_>,
    opposite: Option<&Side<'_>>,
    holding: &BTreeMap<String, HoldingStats>,
) -> GroupLoad {
    // Both ends receive the same states of the shared group; the end that observed it for longer is used.
    let observed_seconds = |s: &Side<'_>| s.figures.observed;
    let better = opposite.filter(|o| observed_seconds(o) > observed_seconds(side)).unwrap_or(side);
    let observed = better.figures.observed.max(1e-9);
    let mut load = GroupLoad {
        from: side.interval.from,
        seconds: opposite.map_or(0.0, |o| o.interval.seconds()).max(side.interval.seconds()),
        circuits: better.figures.circuits,
        in_use: better.figures.circuit_seconds / observed,
        full: (better.figures.full / observed).min(1.0),
        both_ends: opposite.is_some(),
        classes: BTreeMap::new(),
    };
    let unknown = HoldingStats::default();
    let holding_of = |class: &str| holding.get(class).unwrap_or(&unknown);
    let mut known_circuits = 0.0;
    for Side { interval, figures } in [Some(side), opposite].into_iter().flatten() {
        let seconds = interval.seconds();
        for class in &figures.classes {
            let entry = load.classes.entry(class.class.clone()).or_default();
            entry.width = class.width;
            entry.fresh =
                entry.fresh.plus(load_from_arrivals(class.offered, seconds, holding_of(&class.class)));
            // A call in transit occupies two groups. On each it is counted by one end only: on the first by its own
            // exchange, on the second by its tandem.
            let load_per_call = holding_of(&class.class).mean().unwrap_or(0.0) / seconds;
            entry.transit += (class.transit_in_carried + class.transit_out) as f64 * load_per_call;
            entry.calls += class.offered;
            entry.redials += class.redials;
            known_circuits += carried_calls(class) as f64 * load_per_call * f64::from(class.width);
        }
    }
    if opposite.is_none() {
        add_other_end(&mut load, known_circuits, holding);
    }
    load
}

fn carried_calls(class: &ClassFigures) -> u64 {
    class.carried + class.transit_in_carried + class.transit_out
}

/// Adds the load of the end whose files are missing, estimated from the circuits in use, and divides it over the
/// classes in proportion to the known end's load.
fn add_other_end(load: &mut GroupLoad, known_circuits: f64, holding: &BTreeMap<String, HoldingStats>) {
    let carried_by_other = (load.in_use - known_circuits).max(0.0);
    let known: f64 = load.classes.values().map(|c| c.fresh.mean * f64::from(c.width)).sum();
    if carried_by_other <= 0.0 || load.circuits <= 0.0 {
        return;
    }
    let means: Vec<f64> = holding.values().filter_map(HoldingStats::mean).collect();
    let mean_hold = means.iter().sum::<f64>() / means.len().max(1) as f64;
    // The load of the whole group, estimated from the circuits in use, less the load of the known end.
    let total = load_from_usage(load.in_use, load.circuits, mean_hold, load.seconds);
    let other = LoadEstimate {
        mean: (total.mean - known).max(carried_by_other.min(total.mean)),
        low: (carried_by_other - (total.mean - total.low)).max(0.0),
        high: (total.high - known).max(carried_by_other),
    };
    let count = load.classes.len().max(1) as f64;
    for class in load.classes.values_mut() {
        let width = f64::from(class.width.max(1));
        let share = if known > 0.0 { class.fresh.mean * width / known } else { 1.0 / count };
        let class_share = |v: f64| if share > 0.0 { v * share / width } else { 0.0 };
        class.fresh = class.fresh.plus(LoadEstimate {
            mean: class_share(other.mean),
            low: class_share(other.low),
            high: class_share(other.high),
        });
    }
}
