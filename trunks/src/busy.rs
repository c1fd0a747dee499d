//! Finds the busy hour whose load a group is sized for. A daily average or a mean over all days hides a peak that
//! occurs on some days only, such as Saturdays. Days are therefore classified by kind, and the busy hour is found
//! for each kind: either the time-consistent busy hour (ITU-T E.600: the hour of the day with the highest mean load
//! over the days of the kind) or the n-th highest hour of all its days.

use std::collections::BTreeMap;

use measured::calendar::Calendar;
use serde::Serialize;

use crate::offered::{GroupLoad, LoadEstimate};

/// Minimum number of days of a kind for a reliable mean: the Saturdays of four weeks, for example.
pub const MIN_DAYS: usize = 4;
/// Minimum measured time for an hour to be used.
const MIN_MEASURED_SECONDS: f64 = 50.0 * 60.0;

/// A kind of day.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DayKind {
    /// Monday to Friday.
    Weekday,
    /// Saturday.
    Saturday,
    /// Sunday.
    Sunday,
    /// A day named by the operator, such as a race or a holiday.
    Named(String),
}

impl DayKind {
    /// Name of the kind.
    pub fn name(&self) -> &str {
        match self {
            DayKind::Weekday => "weekday",
            DayKind::Saturday => "saturday",
            DayKind::Sunday => "sunday",
            DayKind::Named(name) => name,
        }
    }
}

/// How the busy hour is selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BusyHourRule {
    /// The hour of the day with the highest mean load over the days of the kind.
    TimeConsistent,
    /// The n-th highest hour of all days of the kind; 1 is the highest.
    NthHighest(usize),
}

/// Names of days named by the operator, by date (year, month, day).
pub type NamedDays = BTreeMap<(i16, i8, i8), String>;

/// The busy hour of a kind of day.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BusyHour {
    /// Kind of day.
    pub kind: DayKind,
    /// Minute of the day at which the hour starts.
    pub minute: u32,
    /// Width and load (in erlang of calls) of each class, by name.
    pub classes: BTreeMap<String, (u32, LoadEstimate)>,
    /// Load of all classes, in erlang of circuits.
    pub load: LoadEstimate,
    /// Load of calls in transit, in erlang of circuits.
    pub transit: f64,
    /// Number of days with a measurement of this hour.
    pub days: usize,
    /// Share of the hour with no circuit free, maximum over the days.
    pub full: f64,
    /// Whether the measurements of both ends were present on all days.
    pub both_ends: bool,
    /// Redials per fresh call.
    pub redials: f64,
}

impl BusyHour {
    /// Whether the number of days suffices for a reliable mean; a named day needs no minimum.
    pub fn has_enough_days(&self) -> bool {
        self.days >= MIN_DAYS || matches!(self.kind, DayKind::Named(_))
    }
}

/// Sums over the intervals of one hour of one day.
#[derive(Clone, Debug, Default)]
struct Hour {
    seconds: f64,
    classes: BTreeMap<String, (u32, LoadEstimate)>,
    transit: f64,
    full: f64,
    one_end: bool,
    calls: u64,
    redials: u64,
}

impl Hour {
    fn add(&mut self, load: &GroupLoad) {
        let seconds = load.seconds;
        self.seconds += seconds;
        for (name, class) in &load.classes {
            let sum = self.classes.entry(name.clone()).or_default();
            sum.0 = class.width;
            // In erlang-seconds; the deviations of the intervals add in squares.
            let fresh = class.fresh;
            sum.1 = sum.1.plus(LoadEstimate {
                mean: fresh.mean * seconds,
                low: fresh.low * seconds,
                high: fresh.high * seconds,
            });
            self.transit += class.transit * f64::from(class.width) * seconds;
            self.calls += class.calls;
            self.redials += class.redials;
        }
        self.full += load.full * seconds;
        self.one_end |= !load.both_ends;
    }

    /// Divides the sums by the measured time, which gives erlang.
    fn into_erlang(mut self) -> Hour {
        for (_, load) in self.classes.values_mut() {
            *load = scale(*load, 1.0 / self.seconds);
        }
        self.transit /= self.seconds;
        self.full /= self.seconds;
        self
    }

    fn load_in_circuits(&self) -> LoadEstimate {
        let in_circuits = self.classes.values().map(|(w, l)| scale(*l, f64::from(*w)));
        in_circuits.fold(LoadEstimate::default(), LoadEstimate::plus)
    }
}

fn scale(load: LoadEstimate, factor: f64) -> LoadEstimate {
    LoadEstimate { mean: load.mean * factor, low: load.low * factor, high: load.high * factor }
}

type Day = (i16, i8, i8);

/// Finds the busy hour of each kind of day in a group's loads. An hour starts at the start of any interval and lies
/// within one day.
pub fn busy_hours(
    loads: &[GroupLoad],
    calendar: &Calendar,
    named: &NamedDays,
    rule: BusyHourRule,
) -> Vec<BusyHour> {
    let mut days: BTreeMap<(DayKind, Day), Vec<(u32, &GroupLoad)>> = BTreeMap::new();
    for load in loads {
        let local = calendar.local(load.from);
        let minute = local.hour as u32 * 60 + local.minute as u32;
        let kind = match named.get(&local.date) {
            Some(name) => DayKind::Named(name.clone()),
            None if local.weekday == 6 => DayKind::Saturday,
            None if local.weekday == 7 => DayKind::Sunday,
            None => DayKind::Weekday,
        };
        days.entry((kind, local.date)).or_default().push((minute, load));
    }
    // The hours of all days, by kind of day and start minute.
    let mut hours: BTreeMap<DayKind, BTreeMap<u32, Vec<Hour>>> = BTreeMap::new();
    for ((kind, _), intervals) in &days {
        let starts: std::collections::BTreeSet<u32> = intervals.iter().map(|(m, _)| *m).collect();
        for start in starts {
            let mut hour = Hour::default();
            let within = intervals.iter().filter(|(m, _)| (start..start + 60).contains(m));
            within.for_each(|(_, load)| hour.add(load));
            if hour.seconds >= MIN_MEASURED_SECONDS {
                let by_minute = hours.entry(kind.clone()).or_default();
                by_minute.entry(start).or_default().push(hour.into_erlang());
            }
        }
    }
    hours.into_iter().filter_map(|(kind, by_minute)| find_busy_hour(kind, by_minute, rule)).collect()
}

fn find_busy_hour(
    kind: DayKind,
    by_minute: BTreeMap<u32, Vec<Hour>>,
    rule: BusyHourRule,
) -> Option<BusyHour> {
    match rule {
        BusyHourRule::TimeConsistent => {
            let max_days = by_minute.values().map(Vec::len).max()?;
            // An hour measured on half of the days or fewer does not represent the kind.
            let common = by_minute.into_iter().filter(|(_, hours)| 2 * hours.len() > max_days);
            let means = common.map(|(minute, hours)| mean_over_days(kind.clone(), minute, hours));
            // The earliest of equal hours wins.
            means
                .reduce(|best, hour| if hour.load.mean > best.load.mean * (1.0 + 1e-9) { hour } else { best })
        }
        BusyHourRule::NthHighest(n) => {
            let days = by_minute.values().map(Vec::len).max()?;
            let all = by_minute.into_iter().flat_map(|(m, hours)| hours.into_iter().map(move |h| (m, h)));
            // Overlapping hours show the same peak, so only full clock hours are ranked.
            let mut all: Vec<(u32, Hour)> = all.filter(|(m, _)| m % 60 == 0).collect();
            all.sort_by(|a, b| b.1.load_in_circuits().mean.total_cmp(&a.1.load_in_circuits().mean));
            let (minute, hour) = all.into_iter().nth(n.max(1) - 1)?;
            Some(BusyHour { days, ..mean_over_days(kind, minute, vec![hour]) })
        }
    }
}

/// Averages the same hour over several days.
fn mean_over_days(kind: DayKind, minute: u32, hours: Vec<Hour>) -> BusyHour {
    let days = hours.len();
    let share = 1.0 / days as f64;
    let mut classes: BTreeMap<String, (u32, LoadEstimate)> = BTreeMap::new();
    for hour in &hours {
        for (name, (width, load)) in &hour.classes {
            let sum = classes.entry(name.clone()).or_default();
            *sum = (*width, sum.1.plus(*load));
        }
    }
    classes.values_mut().for_each(|(_, load)| *load = scale(*load, share));
    let call_sums = hours.iter().fold((0, 0), |s, h| (s.0 + h.calls, s.1 + h.redials));
    let in_circuits = classes.values().map(|(w, l)| scale(*l, f64::from(*w)));
    BusyHour {
        kind,
        minute,
        load: in_circuits.fold(LoadEstimate::default(), LoadEstimate::plus),
        classes,
        transit: hours.iter().map(|h| h.transit).sum::<f64>() * share,
        days,
        full: hours.iter().map(|h| h.full).fold(0.0, f64::max),
        both_ends: !hours.iter().any(|h| h.one_end),
        redials: call_sums.1 as f64 / (call_sums.0.max(1)) as f64,
    }
}
