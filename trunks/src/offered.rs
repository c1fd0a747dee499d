//! The load that was offered, from what controllers measured.
//!
//! A controller sees every fresh call of its own callers, also those that found no circuit, so its own side's load
//! is the rate of fresh calls times the mean holding time; redials are not offered load. The other end's calls are
//! in the other end's files. Where those are missing, what the other side carried is what the circuits in use show
//! beyond the own calls, and what it offered follows from how a group of that size loses: near saturation hardly
//! anything of it is seen, and the interval says so.

use std::collections::BTreeMap;

use measured::record::{ClassFigures, Interval};
use serde::{Deserialize, Serialize};
use statrs::distribution::{ChiSquared, ContinuousCDF};

use crate::erlang;

/// Level of the intervals that are given.
pub const CONFIDENCE_LEVEL: f64 = 0.95;
/// The point of the normal distribution that goes with it.
const POINT: f64 = 1.959_963_984_540_054;

/// Two ends of a group, the lower number first.
pub type Ends = (u32, u32);

/// A load with its interval, in erlang.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadEstimate {
    /// The estimate.
    pub mean: f64,
    /// The interval's lower end.
    pub low: f64,
    /// Its upper end; without end where a group was too full to see how much was offered.
    pub high: f64,
}

impl LoadEstimate {
    /// The sum of loads that do not depend on each other: their deviations add in squares.
    pub fn plus(self, other: LoadEstimate) -> LoadEstimate {
        let mean = self.mean + other.mean;
        let down = (self.mean - self.low).hypot(other.mean - other.low);
        let up = (self.high - self.mean).hypot(other.high - other.mean);
        LoadEstimate { mean, low: (mean - down).max(0.0), high: mean + up }
    }
}

/// What is known of a class's holding times, over all files.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HoldingStats {
    /// Calls.
    pub calls: u64,
    /// Their sum and sum of squares, in seconds.
    pub seconds: f64,
    /// See [`HoldingStats::seconds`].
    pub squares: f64,
}

impl HoldingStats {
    /// The mean, in seconds.
    pub fn mean(&self) -> Option<f64> {
        (self.calls > 0).then(|| self.seconds / self.calls as f64)
    }

    /// The squared coefficient of variation of the mean.
    fn relative_variance(&self) -> f64 {
        let n = self.calls as f64;
        let Some(mean) = self.mean().filter(|m| *m > 0.0) else { return 1.0 };
        let variance = (self.squares / n - mean * mean).max(0.0);
        // With a handful of calls their spread is not known: held to be exponential.
        let cv2 = if self.calls < 10 { 1.0 } else { variance / (mean * mean) };
        cv2 / n
    }
}

/// The load that so many Poisson arrivals in this time tell of: Garwood's exact interval for the count, widened by
/// what is not known of the holding time.
pub fn load_from_arrivals(calls: u64, seconds: f64, holding: &HoldingStats) -> LoadEstimate {
    let Some(mean) = holding.mean().filter(|_| seconds > 0.0) else {
        return LoadEstimate { mean: 0.0, low: 0.0, high: if calls == 0 { 0.0 } else { f64::INFINITY } };
    };
    let n = calls as f64;
    let tail = (1.0 - CONFIDENCE_LEVEL) / 2.0;
    let chi = |p: f64, freedom: f64| ChiSquared::new(freedom).map_or(0.0, |d| d.inverse_cdf(p) / 2.0);
    let low = if calls == 0 { 0.0 } else { chi(tail, 2.0 * n) };
    let high = chi(1.0 - tail, 2.0 * n + 2.0);
    let (scale, spread) = (mean / seconds, POINT * holding.relative_variance().sqrt());
    if calls == 0 {
        return LoadEstimate { mean: 0.0, low: 0.0, high: high * scale * spread.exp() };
    }
    // Count and holding time do not depend on each other: the logarithms' deviations add in squares.
    let down = (n / low).ln().hypot(spread);
    let up = (high / n).ln().hypot(spread);
    LoadEstimate { mean: n * scale, low: n * scale * (-down).exp(), high: n * scale * up.exp() }
}

/// The load that so many circuits in use on average tell of, on a group of so many: that which carries just this.
/// `mean_hold` and `seconds` say how far an average over the time can be off (Riordan 1951: 2 A h / T at the most).
pub fn load_from_usage(carried: f64, circuits: f64, mean_hold: f64, seconds: f64) -> LoadEstimate {
    if carried <= 0.0 || seconds <= 0.0 {
        return LoadEstimate::default();
    }
    let off = POINT * (2.0 * carried * mean_hold / seconds).sqrt();
    let offered = |carried: f64| -> f64 {
        if carried <= 0.0 {
            return 0.0;
        }
        if carried >= circuits * (1.0 - 1e-6) {
            return f64::INFINITY;
        }
        // What is carried grows with what is offered, and never beyond it.
        let (mut low, mut high) = (carried, carried.max(1.0));
        let through = |a: f64| a * (1.0 - erlang::loss_unchecked(a, circuits));
        while through(high) < carried {
            high *= 2.0;
            if high > erlang::MAX_LOAD_ERLANG {
                return f64::INFINITY;
            }
        }
        for _ in 0..100 {
            let middle = 0.5 * (low + high);
            if through(middle) < carried {
                low = middle;
            } else {
                high = middle;
            }
        }
        0.5 * (low + high)
    };
    let (low, high) = (offered(carried - off), offered(carried + off));
    let mean = offered(carried.min(circuits * 0.999));
    LoadEstimate { mean, low: low.min(mean), high: high.max(mean) }
}

/// What was offered to one group by one class in one interval.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ClassLoad {
    /// Circuits of one call.
    pub width: u32,
    /// Fresh calls of both ends, in erlang of calls.
    pub fresh: LoadEstimate,
    /// Calls in transit, carried, in erlang of calls. They are no load of the pair's own.
    pub transit: f64,
    /// Fresh calls counted, and further tries beside them.
    pub calls: u64,
    /// See [`ClassLoad::calls`].
    pub redials: u64,
}

/// What was offered to one group in one interval.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct GroupLoad {
    /// Where the interval begins, in Unix milliseconds.
    pub from: i64,
    /// Seconds that were measured at the end that measured longest.
    pub seconds: f64,
    /// Circuits that there are.
    pub circuits: f64,
    /// Mean of the circuits in use, of whomever.
    pub in_use: f64,
    /// Share of the time with no circuit free.
    pub full: f64,
    /// Whether both ends' files are there; if not, the other side is reckoned from the circuits in use.
    pub both_ends: bool,
    /// By class.
    pub classes: BTreeMap<String, ClassLoad>,
}

impl GroupLoad {
    /// All classes' fresh load, in circuits.
    pub fn circuits_offered(&self) -> LoadEstimate {
        let wide = |c: &ClassLoad| {
            let w = f64::from(c.width);
            LoadEstimate { mean: w * c.fresh.mean, low: w * c.fresh.low, high: w * c.fresh.high }
        };
        self.classes.values().map(wide).fold(LoadEstimate::default(), LoadEstimate::plus)
    }
}

/// HoldingStats times by class, over all intervals.
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

/// Puts the files of all exchanges together: for each group its loads, interval by interval. An interval of one end
/// belongs to that of the other whose beginning is nearest, within half its length: clocks may differ.
pub fn loads_by_group(intervals: &[Interval]) -> BTreeMap<Ends, Vec<GroupLoad>> {
    let holding = holding_stats(intervals);
    let mut sides: BTreeMap<(u32, u32), Vec<(&Interval, &measured::record::GroupFigures)>> = BTreeMap::new();
    for interval in intervals.iter().filter(|i| i.seconds() > 0.0) {
        for group in &interval.groups {
            sides.entry((interval.exchange, group.to)).or_default().push((interval, group));
        }
    }
    sides.values_mut().for_each(|s| s.sort_by_key(|(i, _)| i.from));
    let mut found = BTreeMap::new();
    let ends: std::collections::BTreeSet<Ends> = sides.keys().map(|(a, b)| (*a.min(b), *a.max(b))).collect();
    for (a, b) in ends {
        let empty = Vec::new();
        let (one, two) = (sides.get(&(a, b)).unwrap_or(&empty), sides.get(&(b, a)).unwrap_or(&empty));
        let mut taken = vec![false; two.len()];
        let mut loads = Vec::new();
        for side in one {
            let half = (side.0.to - side.0.from) / 2;
            let near = |j: &usize| !taken[*j] && (two[*j].0.from - side.0.from).abs() <= half;
            let mate = (0..two.len()).filter(near).min_by_key(|j| (two[*j].0.from - side.0.from).abs());
            if let Some(j) = mate {
                taken[j] = true;
            }
            loads.push(group_load(side, mate.map(|j| &two[j]), &holding));
        }
        let alone = two.iter().zip(taken).filter(|(_, t)| !t);
        loads.extend(alone.map(|(side, _)| group_load(side, None, &holding)));
        loads.sort_by_key(|l| l.from);
        found.insert((a, b), loads);
    }
    found
}

type Side<'a> = (&'a Interval, &'a measured::record::GroupFigures);

fn group_load(
    side: &Side<'_>,
    mate: Option<&Side<'_>>,
    holding: &BTreeMap<String, HoldingStats>,
) -> GroupLoad {
    // The state of a shared group is told to both ends alike: the end that saw more of it is believed.
    let seen = |s: &Side<'_>| s.1.observed;
    let better = mate.filter(|m| seen(m) > seen(side)).unwrap_or(side);
    let observed = better.1.observed.max(1e-9);
    let mut load = GroupLoad {
        from: side.0.from,
        seconds: mate.map_or(0.0, |m| m.0.seconds()).max(side.0.seconds()),
        circuits: better.1.circuits,
        in_use: better.1.circuit_seconds / observed,
        full: (better.1.full / observed).min(1.0),
        both_ends: mate.is_some(),
        classes: BTreeMap::new(),
    };
    let none = HoldingStats::default();
    let hold = |class: &str| holding.get(class).unwrap_or(&none);
    let mut own_use = 0.0;
    for (interval, figures) in [Some(side), mate].into_iter().flatten() {
        let seconds = interval.seconds();
        for c in &figures.classes {
            let entry = load.classes.entry(c.class.clone()).or_default();
            entry.width = c.width;
            entry.fresh = entry.fresh.plus(load_from_arrivals(c.offered, seconds, hold(&c.class)));
            // A call in transit takes two groups; on each it is in the file of one end only: of its own exchange
            // on the first, of its tandem on the second.
            let per_call = hold(&c.class).mean().unwrap_or(0.0) / seconds;
            entry.transit += (c.transit_in_carried + c.transit_out) as f64 * per_call;
            entry.calls += c.offered;
            entry.redials += c.redials;
            own_use += carried(c) as f64 * per_call * f64::from(c.width);
        }
    }
    if mate.is_none() {
        other_side(&mut load, own_use, holding);
    }
    load
}

fn carried(c: &ClassFigures) -> u64 {
    c.carried + c.transit_in_carried + c.transit_out
}

/// Adds what the end whose files are missing offered, as far as the circuits in use show it, shared over the classes
/// as the known end's calls are.
fn other_side(load: &mut GroupLoad, own_use: f64, holding: &BTreeMap<String, HoldingStats>) {
    let rest = (load.in_use - own_use).max(0.0);
    let known: f64 = load.classes.values().map(|c| c.fresh.mean * f64::from(c.width)).sum();
    if rest <= 0.0 || load.circuits <= 0.0 {
        return;
    }
    let means: Vec<f64> = holding.values().filter_map(HoldingStats::mean).collect();
    let mean_hold = means.iter().sum::<f64>() / means.len().max(1) as f64;
    // The whole group's load from its use, less the side that is known.
    let all = load_from_usage(load.in_use, load.circuits, mean_hold, load.seconds);
    let other = LoadEstimate {
        mean: (all.mean - known).max(rest.min(all.mean)),
        low: (rest - (all.mean - all.low)).max(0.0),
        high: (all.high - known).max(rest),
    };
    let count = load.classes.len().max(1) as f64;
    for class in load.classes.values_mut() {
        let width = f64::from(class.width.max(1));
        let share = if known > 0.0 { class.fresh.mean * width / known } else { 1.0 / count };
        let part = |v: f64| if share > 0.0 { v * share / width } else { 0.0 };
        class.fresh = class.fresh.plus(LoadEstimate {
            mean: part(other.mean),
            low: part(other.low),
            high: part(other.high),
        });
    }
}
