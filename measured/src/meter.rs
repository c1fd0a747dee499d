//! Counts the traffic on the trunk groups of one exchange. The caller reports call events and group states with
//! their times and collects each interval when it has elapsed. Memory is bounded: events of groups and tandems beyond
//! the limits are only counted in [`Interval::uncounted`], and dialled numbers beyond the limit are forgotten.

use std::collections::{BTreeMap, HashMap};

use hdrhistogram::Histogram;

use crate::calendar::{Calendar, Span};
use crate::record::{ClassFigures, GroupFigures, HoldingFigures, Interval};

/// Maximum number of groups.
const MAX_GROUPS: usize = 1024;
/// Maximum number of tandems of one class on one group.
const MAX_TANDEMS_PER_CLASS: usize = 32;
/// Maximum number of dialled numbers in one period of the redial detection.
const MAX_DIALLED_NUMBERS: usize = 20_000;

/// A class of call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Class {
    /// Name.
    pub name: String,
    /// Circuits that one call takes.
    pub width: u32,
}

/// The properties of a call by which it is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// Index of its class in the list given to [`Meter::new`].
    pub class: usize,
    /// Number of the destination exchange.
    pub destination: u32,
    /// Whether it is in transit at this exchange.
    pub transit: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct GroupState {
    /// Time up to which this state has been accumulated, in Unix milliseconds.
    accumulated_until: i64,
    circuits_in_use: f64,
    circuits: f64,
}

#[derive(Debug)]
struct GroupCounters {
    figures: GroupFigures,
    /// Indexed by class, so that counting a call needs no look-up by name and no copy.
    classes: Vec<Option<ClassFigures>>,
    state: Option<GroupState>,
}

#[derive(Debug)]
struct HoldingCounters {
    calls: u64,
    seconds: f64,
    squares: f64,
    histogram_ms: Histogram<u64>,
}

/// Traffic counters of one exchange.
#[derive(Debug)]
pub struct Meter {
    exchange: u32,
    classes: Vec<Class>,
    calendar: Calendar,
    /// Time after the first try within which a call to the same number is a redial, in milliseconds.
    redial_window_ms: i64,
    span: Span,
    counting_since: i64,
    groups: BTreeMap<u32, GroupCounters>,
    holding: Vec<HoldingCounters>,
    uncounted: u64,
    /// Time of the first try to each dialled number that has not been reached since, as far as known; in the current
    /// and the previous period.
    first_tries: [HashMap<u64, i64>; 2],
    period_start: i64,
}

fn empty_holding() -> HoldingCounters {
    // 1 ms to 24 h with two significant digits.
    let histogram_ms =
        Histogram::new_with_bounds(1, 86_400_000, 2).expect("constant histogram bounds are valid");
    HoldingCounters { calls: 0, seconds: 0.0, squares: 0.0, histogram_ms }
}

impl Meter {
    /// Creates a meter that counts from `now` on. All times are Unix milliseconds.
    pub fn new(
        exchange: u32,
        classes: Vec<Class>,
        calendar: Calendar,
        redial_window_ms: i64,
        now: i64,
    ) -> Meter {
        let (span, count) = (calendar.span_containing(now), classes.len());
        Meter {
            exchange,
            classes,
            calendar,
            redial_window_ms,
            span,
            counting_since: now,
            groups: BTreeMap::new(),
            holding: (0..count).map(|_| empty_holding()).collect(),
            uncounted: 0,
            first_tries: Default::default(),
            period_start: now,
        }
    }

    /// End of the current interval.
    pub fn interval_end(&self) -> i64 {
        self.span.to
    }

    fn group_mut(&mut self, to: u32) -> Option<&mut GroupCounters> {
        if !self.groups.contains_key(&to) && self.groups.len() >= MAX_GROUPS {
            self.uncounted += 1;
            return None;
        }
        let count = self.classes.len();
        Some(self.groups.entry(to).or_insert_with(|| GroupCounters {
            figures: GroupFigures { to, ..GroupFigures::default() },
            classes: vec![None; count],
            state: None,
        }))
    }

    fn class_figures_mut(&mut self, to: u32, class: usize) -> Option<&mut ClassFigures> {
        self.group_mut(to)?.classes.get_mut(class).map(|c| c.get_or_insert_with(ClassFigures::default))
    }

    /// Whether a call to `number` is a redial: within the redial window, there was a try that is not known to
    /// stand. Records the try.
    fn is_redial(&mut self, now: i64, number: u64) -> bool {
        if now >= self.period_start + self.redial_window_ms
            || self.first_tries[0].len() >= MAX_DIALLED_NUMBERS
        {
            self.first_tries[1] = std::mem::take(&mut self.first_tries[0]);
            self.period_start = now;
        }
        let earlier = self.first_tries[0].get(&number).or_else(|| self.first_tries[1].get(&number)).copied();
        let redialled = earlier.filter(|first| now < first + self.redial_window_ms);
        // The window starts at the first try, so that a call after the window counts as a fresh call, even
        // if the caller has redialled all the time.
        self.first_tries[0].insert(number, redialled.unwrap_or(now));
        redialled.is_some()
    }

    /// Counts an arriving call. `number` identifies the called party, if known; `after_cut`: the call repeats one that
    /// was cut.
    pub fn record_offered(&mut self, now: i64, call: Call, number: Option<u64>, after_cut: bool) {
        let is_redial = number.is_some_and(|n| !call.transit && self.is_redial(now, n));
        let Some(figures) = self.class_figures_mut(call.destination, call.class) else { return };
        match (call.transit, is_redial || after_cut) {
            (true, _) => figures.transit_in += 1,
            (false, true) => figures.redials += 1,
            (false, false) => figures.offered += 1,
        }
    }

    /// Counts a call that now stands. `via` is the destination for a direct call, the tandem otherwise.
    pub fn record_standing(&mut self, call: Call, via: u32, number: Option<u64>) {
        if let Some(n) = number {
            for period in &mut self.first_tries {
                period.remove(&n);
            }
        }
        let Some(figures) = self.class_figures_mut(call.destination, call.class) else { return };
        if call.transit {
            figures.transit_in_carried += 1;
        } else if via == call.destination {
            figures.carried += 1;
        } else {
            if figures.overflowed.len() < MAX_TANDEMS_PER_CLASS || figures.overflowed.contains_key(&via) {
                *figures.overflowed.entry(via).or_insert(0) += 1;
            } else {
                self.uncounted += 1;
            }
            if let Some(figures) = self.class_figures_mut(via, call.class) {
                figures.transit_out += 1;
            }
        }
    }

    /// Counts a call that was lost.
    pub fn record_lost(&mut self, call: Call) {
        if let (false, Some(figures)) = (call.transit, self.class_figures_mut(call.destination, call.class)) {
            figures.lost += 1;
        }
    }

    /// Records the holding time of a call that completed normally.
    pub fn record_holding_time(&mut self, class: usize, holding_ms: i64) {
        if let Some(counters) = self.holding.get_mut(class) {
            let seconds = holding_ms.max(0) as f64 * 1e-3;
            counters.calls += 1;
            counters.seconds += seconds;
            counters.squares += seconds * seconds;
            counters.histogram_ms.saturating_record(holding_ms.max(0) as u64);
        }
    }

    /// Records the state of the group to an exchange. Negative and non-finite numbers are ignored.
    pub fn record_group_state(&mut self, now: i64, to: u32, free: f64, circuits: f64) {
        if !(free.is_finite() && circuits.is_finite() && free >= 0.0 && circuits >= 0.0) {
            return;
        }
        let Some(group) = self.group_mut(to) else { return };
        group.accumulate(now);
        group.state = Some(GroupState {
            accumulated_until: now,
            circuits_in_use: (circuits - free).max(0.0),
            circuits,
        });
        group.figures.circuits = circuits;
    }

    /// Closes the current interval if it has elapsed. Call this until it returns `None`: after a long pause, several
    /// intervals have elapsed.
    pub fn close_elapsed(&mut self, now: i64) -> Option<Interval> {
        if now < self.span.to {
            return None;
        }
        Some(self.close(self.span.to))
    }

    /// Closes the current interval before its end, because counting ends. Returns `None` if nothing has been measured
    /// in it.
    pub fn close_partial(&mut self, now: i64) -> Option<Interval> {
        (now > self.counting_since.max(self.span.from) && now < self.span.to).then(|| self.close(now))
    }

    fn close(&mut self, until: i64) -> Interval {
        let span = self.span;
        let mut groups = Vec::new();
        for group in self.groups.values_mut() {
            group.accumulate(until);
            let reset = GroupFigures {
                to: group.figures.to,
                circuits: group.figures.circuits,
                ..GroupFigures::default()
            };
            let mut figures = std::mem::replace(&mut group.figures, reset);
            let counted = group.classes.iter_mut().zip(&self.classes);
            figures.classes.extend(counted.filter_map(|(counted, class)| {
                Some(ClassFigures { class: class.name.clone(), width: class.width, ..counted.take()? })
            }));
            groups.push(figures);
        }
        let counters =
            std::mem::replace(&mut self.holding, (0..self.classes.len()).map(|_| empty_holding()).collect());
        let holding =
            self.classes.iter().zip(counters).filter(|(_, h)| h.calls > 0).map(|(class, h)| HoldingFigures {
                class: class.name.clone(),
                calls: h.calls,
                seconds: h.seconds,
                squares: h.squares,
                quantiles: [0.5, 0.9, 0.99].map(|q| h.histogram_ms.value_at_quantile(q) as f64 * 1e-3),
            });
        let interval = Interval {
            exchange: self.exchange,
            from: span.from,
            to: span.to,
            measured: (self.counting_since.max(span.from), until),
            time_zone: self.calendar.zone().into(),
            groups,
            holding: holding.collect(),
            uncounted: std::mem::take(&mut self.uncounted),
        };
        self.span = self.calendar.span_containing(until);
        self.counting_since = until;
        // Groups without a known state are dropped; a later event adds them again.
        self.groups.retain(|_, g| g.state.is_some());
        interval
    }

    /// Number of groups held in memory.
    pub fn group_count(&self) -> usize {
        self.groups.len()
    }
}

impl GroupCounters {
    /// Adds the time since the last accumulation, in the current state, to the figures.
    fn accumulate(&mut self, now: i64) {
        let Some(state) = &mut self.state else { return };
        let seconds = (now - state.accumulated_until).max(0) as f64 * 1e-3;
        self.figures.observed += seconds;
        self.figures.circuit_seconds += state.circuits_in_use * seconds;
        if state.circuits > 0.0 && state.circuits_in_use >= state.circuits {
            self.figures.full += seconds;
        }
        state.accumulated_until = state.accumulated_until.max(now);
    }
}
