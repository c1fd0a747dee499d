//! The load to dimension for. A daily average hides a peak that comes on some days only, and a mean over all days
//! one that comes on Saturdays. So days are told apart by kind, and the hour is sought within each kind: either the
//! time-consistent busy hour (ITU-T E.600: the hour of the clock with the highest mean load over the days of the
//! kind) or the n-th highest hour of them all.

use std::collections::BTreeMap;

use measured::calendar::Calendar;
use serde::Serialize;

use crate::offered::{GroupLoad, LoadEstimate};

/// Days of a kind that make a mean worth relying on: four weeks have four of each weekday.
pub const MIN_DAYS: usize = 4;
/// Minutes of an hour that must have been measured for the hour to count.
const MEASURED: f64 = 50.0 * 60.0;

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
    /// A day that the operator has named: a race, a holiday.
    Named(String),
}

impl DayKind {
    /// What it is called.
    pub fn name(&self) -> &str {
        match self {
            DayKind::Weekday => "weekday",
            DayKind::Saturday => "saturday",
            DayKind::Sunday => "sunday",
            DayKind::Named(name) => name,
        }
    }
}

/// Which hour is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BusyHourRule {
    /// The hour of the clock that is highest on the mean over the days of its kind.
    TimeConsistent,
    /// The n-th highest hour of all days of the kind; 1 is the highest.
    NthHighest(usize),
}

/// Days that have a name of their own, by date.
pub type NamedDays = BTreeMap<(i16, i8, i8), String>;

/// The hour that was found for a kind of day.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BusyHour {
    /// The kind of day.
    pub kind: DayKind,
    /// Minute of the day at which it begins.
    pub minute: u32,
    /// LoadEstimate of each class in calls, by name, with its interval.
    pub classes: BTreeMap<String, (u32, LoadEstimate)>,
    /// All classes together, in circuits.
    pub load: LoadEstimate,
    /// Calls in transit over it, in circuits.
    pub transit: f64,
    /// Days of the kind that had this hour.
    pub days: usize,
    /// Share of the hour with no circuit free, at the most over the days.
    pub full: f64,
    /// Whether both ends' figures were there on all days.
    pub both_ends: bool,
    /// Further tries for each fresh call.
    pub redials: f64,
}

impl BusyHour {
    /// Whether there are enough days to rely on it.
    pub fn has_enough_days(&self) -> bool {
        self.days >= MIN_DAYS || matches!(self.kind, DayKind::Named(_))
    }
}

/// One hour of one day: sums over its intervals.
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
        let s = load.seconds;
        self.seconds += s;
        for (name, class) in &load.classes {
            let sum = self.classes.entry(name.clone()).or_default();
            sum.0 = class.width;
            // Erlang-seconds: deviations of intervals add in squares.
            let f = class.fresh;
            sum.1 = sum.1.plus(LoadEstimate { mean: f.mean * s, low: f.low * s, high: f.high * s });
            self.transit += class.transit * f64::from(class.width) * s;
            self.calls += class.calls;
            self.redials += class.redials;
        }
        self.full += load.full * s;
        self.one_end |= !load.both_ends;
    }

    /// In erlang, over the time that was measured.
    fn scaled(mut self) -> Hour {
        for (_, load) in self.classes.values_mut() {
            *load = scale(*load, 1.0 / self.seconds);
        }
        self.transit /= self.seconds;
        self.full /= self.seconds;
        self
    }

    fn circuits(&self) -> LoadEstimate {
        let wide = self.classes.values().map(|(w, l)| scale(*l, f64::from(*w)));
        wide.fold(LoadEstimate::default(), LoadEstimate::plus)
    }
}

fn scale(load: LoadEstimate, by: f64) -> LoadEstimate {
    LoadEstimate { mean: load.mean * by, low: load.low * by, high: load.high * by }
}

type Day = (i16, i8, i8);

/// Finds the busy hour of each kind of day in a group's loads. Hours begin at any interval's beginning and lie
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
    // By kind and by the minute at which they begin, the hours of all days.
    let mut hours: BTreeMap<DayKind, BTreeMap<u32, Vec<Hour>>> = BTreeMap::new();
    for ((kind, _), intervals) in &days {
        let starts: std::collections::BTreeSet<u32> = intervals.iter().map(|(m, _)| *m).collect();
        for start in starts {
            let mut hour = Hour::default();
            let within = intervals.iter().filter(|(m, _)| (start..start + 60).contains(m));
            within.for_each(|(_, load)| hour.add(load));
            if hour.seconds >= MEASURED {
                let by_minute = hours.entry(kind.clone()).or_default();
                by_minute.entry(start).or_default().push(hour.scaled());
            }
        }
    }
    hours.into_iter().filter_map(|(kind, by_minute)| find(kind, by_minute, rule)).collect()
}

fn find(kind: DayKind, by_minute: BTreeMap<u32, Vec<Hour>>, rule: BusyHourRule) -> Option<BusyHour> {
    match rule {
        BusyHourRule::TimeConsistent => {
            let most = by_minute.values().map(Vec::len).max()?;
            // An hour that few of the days have tells of those few.
            let common = by_minute.into_iter().filter(|(_, hours)| 2 * hours.len() > most);
            let means = common.map(|(minute, hours)| mean(kind.clone(), minute, hours));
            // Of equal hours the first.
            means
                .reduce(|best, hour| if hour.load.mean > best.load.mean * (1.0 + 1e-9) { hour } else { best })
        }
        BusyHourRule::NthHighest(n) => {
            let days = by_minute.values().map(Vec::len).max()?;
            let all = by_minute.into_iter().flat_map(|(m, hours)| hours.into_iter().map(move |h| (m, h)));
            // Hours that overlap are one peak: only those that begin on the hour are ranked.
            let mut all: Vec<(u32, Hour)> = all.filter(|(m, _)| m % 60 == 0).collect();
            all.sort_by(|a, b| b.1.circuits().mean.total_cmp(&a.1.circuits().mean));
            let (minute, hour) = all.into_iter().nth(n.max(1) - 1)?;
            Some(BusyHour { days, ..mean(kind, minute, vec![hour]) })
        }
    }
}

/// The mean of the same hour over several days.
fn mean(kind: DayKind, minute: u32, hours: Vec<Hour>) -> BusyHour {
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
    let sums = hours.iter().fold((0, 0), |s, h| (s.0 + h.calls, s.1 + h.redials));
    let all = classes.values().map(|(w, l)| scale(*l, f64::from(*w)));
    BusyHour {
        kind,
        minute,
        load: all.fold(LoadEstimate::default(), LoadEstimate::plus),
        classes,
        transit: hours.iter().map(|h| h.transit).sum::<f64>() * share,
        days,
        full: hours.iter().map(|h| h.full).fold(0.0, f64::max),
        both_ends: !hours.iter().any(|h| h.one_end),
        redials: sums.1 as f64 / (sums.0.max(1)) as f64,
    }
}
