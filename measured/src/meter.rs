//! Counts what happens on the groups of one exchange. It is told of calls and of groups' states with their times,
//! and gives out an interval when that has passed. What it keeps is bounded: groups, tandems and numbers beyond the
//! bounds are counted as uncounted.

use std::collections::{BTreeMap, HashMap};

use hdrhistogram::Histogram;

use crate::calendar::{Calendar, Span};
use crate::record::{ClassFigures, GroupFigures, HoldingFigures, Interval};

/// Groups that are kept at the most, tandems of one class on one group, and numbers of callers to come back.
const GROUPS: usize = 1024;
const TANDEMS: usize = 32;
const NUMBERS: usize = 20_000;

/// A class of call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Circuits that one of its calls takes.
    pub width: u32,
}

/// A call, as far as it is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// Index of its class.
    pub class: usize,
    /// Number of the exchange that it is for.
    pub destination: u32,
    /// Whether it is in transit here.
    pub transit: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct State {
    /// When it was told, in Unix milliseconds, or counting began.
    at: i64,
    used: f64,
    size: f64,
}

#[derive(Debug)]
struct Group {
    figures: GroupFigures,
    /// By class; nothing is looked up by name and nothing copied for a call.
    classes: Vec<Option<ClassFigures>>,
    state: Option<State>,
}

#[derive(Debug)]
struct Held {
    calls: u64,
    seconds: f64,
    squares: f64,
    millis: Histogram<u64>,
}

/// Counts for one exchange.
#[derive(Debug)]
pub struct Meter {
    exchange: u32,
    classes: Vec<Class>,
    calendar: Calendar,
    /// How long a caller persists, in milliseconds: whoever dials a number again within it is the same one.
    persists: i64,
    span: Span,
    since: i64,
    groups: BTreeMap<u32, Group>,
    held: Vec<Held>,
    uncounted: u64,
    /// Numbers whose last try came to nothing or is not known to have, in the present span and the one before.
    tried: [HashMap<u64, i64>; 2],
    turned: i64,
}

fn held() -> Held {
    // From a millisecond to a day with two digits: constants that the library takes.
    let millis = Histogram::new_with_bounds(1, 86_400_000, 2).expect("sound bounds");
    Held { calls: 0, seconds: 0.0, squares: 0.0, millis }
}

impl Meter {
    /// A meter that begins now (Unix milliseconds).
    pub fn new(exchange: u32, classes: Vec<Class>, calendar: Calendar, persists: i64, now: i64) -> Meter {
        let (span, count) = (calendar.span(now), classes.len());
        Meter {
            exchange,
            classes,
            calendar,
            persists,
            span,
            since: now,
            groups: BTreeMap::new(),
            held: (0..count).map(|_| held()).collect(),
            uncounted: 0,
            tried: Default::default(),
            turned: now,
        }
    }

    /// When the present interval ends.
    pub fn interval_end(&self) -> i64 {
        self.span.to
    }

    fn group(&mut self, to: u32) -> Option<&mut Group> {
        if !self.groups.contains_key(&to) && self.groups.len() >= GROUPS {
            self.uncounted += 1;
            return None;
        }
        let count = self.classes.len();
        Some(self.groups.entry(to).or_insert_with(|| Group {
            figures: GroupFigures { to, ..GroupFigures::default() },
            classes: vec![None; count],
            state: None,
        }))
    }

    fn figures(&mut self, to: u32, class: usize) -> Option<&mut ClassFigures> {
        self.group(to)?.classes.get_mut(class).map(|c| c.get_or_insert_with(ClassFigures::default))
    }

    /// Whether the caller of a number comes back: a try of its was not known to stand a short while ago.
    fn comes_back(&mut self, now: i64, number: u64) -> bool {
        if now >= self.turned + self.persists || self.tried[0].len() >= NUMBERS {
            self.tried[1] = std::mem::take(&mut self.tried[0]);
            self.turned = now;
        }
        let first = self.tried[0].get(&number).or_else(|| self.tried[1].get(&number)).copied();
        let back = first.filter(|first| now < first + self.persists);
        // A caller's first try counts, so that one who persists for long is offered load again.
        self.tried[0].insert(number, back.unwrap_or(now));
        back.is_some()
    }

    /// A call came. `number` names who is called, where that is told; `again`: it was cut and comes again.
    pub fn record_offered(&mut self, now: i64, call: Call, number: Option<u64>, again: bool) {
        let back = number.is_some_and(|n| !call.transit && self.comes_back(now, n));
        let Some(f) = self.figures(call.destination, call.class) else { return };
        match (call.transit, back || again) {
            (true, _) => f.transit_in += 1,
            (false, true) => f.redials += 1,
            (false, false) => f.offered += 1,
        }
    }

    /// A call stands by way of an exchange: that it is for, or a tandem.
    pub fn record_standing(&mut self, call: Call, by: u32, number: Option<u64>) {
        if let Some(n) = number {
            for tried in &mut self.tried {
                tried.remove(&n);
            }
        }
        let Some(f) = self.figures(call.destination, call.class) else { return };
        if call.transit {
            f.transit_in_carried += 1;
        } else if by == call.destination {
            f.carried += 1;
        } else {
            if f.overflowed.len() < TANDEMS || f.overflowed.contains_key(&by) {
                *f.overflowed.entry(by).or_insert(0) += 1;
            } else {
                self.uncounted += 1;
            }
            if let Some(f) = self.figures(by, call.class) {
                f.transit_out += 1;
            }
        }
    }

    /// A call came to nothing.
    pub fn record_lost(&mut self, call: Call) {
        if let (false, Some(f)) = (call.transit, self.figures(call.destination, call.class)) {
            f.lost += 1;
        }
    }

    /// A call came to its natural end after so many milliseconds.
    pub fn record_holding_time(&mut self, class: usize, millis: i64) {
        if let Some(h) = self.held.get_mut(class) {
            let seconds = millis.max(0) as f64 * 1e-3;
            h.calls += 1;
            h.seconds += seconds;
            h.squares += seconds * seconds;
            h.millis.saturating_record(millis.max(0) as u64);
        }
    }

    /// The state of the group to an exchange.
    pub fn record_group_state(&mut self, now: i64, to: u32, free: f64, size: f64) {
        if !(free.is_finite() && size.is_finite() && free >= 0.0 && size >= 0.0) {
            return;
        }
        let Some(group) = self.group(to) else { return };
        group.settle(now);
        group.state = Some(State { at: now, used: (size - free).max(0.0), size });
        group.figures.circuits = size;
    }

    /// Closes the present interval if it is over. To be called again until it gives nothing: after a long pause
    /// several intervals are over.
    pub fn close_elapsed(&mut self, now: i64) -> Option<Interval> {
        if now < self.span.to {
            return None;
        }
        Some(self.close(self.span.to))
    }

    /// Closes the present interval before it is over, for counting ends.
    pub fn close_partial(&mut self, now: i64) -> Option<Interval> {
        (now > self.since.max(self.span.from) && now < self.span.to).then(|| self.close(now))
    }

    fn close(&mut self, until: i64) -> Interval {
        let span = self.span;
        let mut groups = Vec::new();
        for group in self.groups.values_mut() {
            group.settle(until);
            let fresh = GroupFigures {
                to: group.figures.to,
                circuits: group.figures.circuits,
                ..GroupFigures::default()
            };
            let mut figures = std::mem::replace(&mut group.figures, fresh);
            let counted = group.classes.iter_mut().zip(&self.classes);
            figures.classes.extend(counted.filter_map(|(counted, class)| {
                Some(ClassFigures { class: class.name.clone(), width: class.width, ..counted.take()? })
            }));
            groups.push(figures);
        }
        let held = std::mem::replace(&mut self.held, (0..self.classes.len()).map(|_| held()).collect());
        let holding =
            self.classes.iter().zip(held).filter(|(_, h)| h.calls > 0).map(|(class, h)| HoldingFigures {
                class: class.name.clone(),
                calls: h.calls,
                seconds: h.seconds,
                squares: h.squares,
                quantiles: [0.5, 0.9, 0.99].map(|q| h.millis.value_at_quantile(q) as f64 * 1e-3),
            });
        let interval = Interval {
            exchange: self.exchange,
            from: span.from,
            to: span.to,
            measured: (self.since.max(span.from), until),
            time_zone: self.calendar.zone().into(),
            groups,
            holding: holding.collect(),
            uncounted: std::mem::take(&mut self.uncounted),
        };
        self.span = self.calendar.span(until);
        self.since = until;
        // A group that nothing was said of for a whole interval is kept no longer.
        self.groups.retain(|_, g| g.state.is_some());
        interval
    }

    /// Groups that are kept now.
    pub fn group_count(&self) -> usize {
        self.groups.len()
    }
}

impl Group {
    /// Books the present state up to now.
    fn settle(&mut self, now: i64) {
        let Some(state) = &mut self.state else { return };
        let seconds = (now - state.at).max(0) as f64 * 1e-3;
        self.figures.observed += seconds;
        self.figures.circuit_seconds += state.used * seconds;
        if state.size > 0.0 && state.used >= state.size {
            self.figures.full += seconds;
        }
        state.at = state.at.max(now);
    }
}
