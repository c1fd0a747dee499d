//! All decisions of one exchange. The types that come in and go out are in `src/interface.rs`.
//!
//! The mechanism is Profit Optimal Congestion Control (Arvidsson, Pettersson, Angelin) as `docs/design.md`
//! tells it: predict the set-up's completion from this exchange's own recent round-trip delays, send the
//! call only when the expected payoff of trying beats refusing.

use std::collections::{BTreeMap, BTreeSet};

use rand_chacha::ChaCha8Rng;
use rand_core::{RngCore, SeedableRng};

use crate::interface::*;

// ---------------------------------------------------------------------------------------------------------
// Tuned constants
// ---------------------------------------------------------------------------------------------------------

/// Routes kept for each exchange listed: the direct one and the tandems that carry most of what is blocked.
/// When the table is full, the half that has been unused longest is forgotten.
const ROUTES_KEPT: usize = 24;
/// Longest aims after which a route that nothing was sent on is tried again, and the share of an aim that
/// its least round trip is then taken for at the most.
const UNTRIED_AIMS: f64 = 5.0;
const UNTRIED_LEAST: f64 = 0.5;
/// Multiples of the aim that a full, turned-back or timed-out set-up counts for as a round trip.
const FAILED_AIMS: f64 = 2.0;
/// One busy route in so many takes rho times its least or less.
const LOAD_QUANTILE: usize = 3;
/// Aims that a failure holds at the most on a route that is seldom asked for.
const HOLD_AIMS: f64 = 4.0;
/// Weight of the newest gap between two calls for one destination.
const GAP_GAIN: f64 = 0.25;
/// Share of the longest aim after which a set-up out tells of its own route and no more of the load.
const SILENT_AIMS: f64 = 0.5;
/// Weight of the newest set-up in the running time per set-up out.
const PACE_GAIN: f64 = 0.05;
/// Time per set-up out, in longest aims, that is assumed before any answer: an agent that starts
/// in the middle of trouble (its predecessor's calls cut, all dialling again) must not send them all unseen.
const START_PACE: f64 = 0.1;
/// Weight of the newest set-up in the running shares: of those not turned back by tandems, and of those that
/// an exchange fails for no cause told.
const SHARE_GAIN: f64 = 0.05;
/// Seconds that a timer must be overdue to tell of an own pause.
const PAUSE: f64 = 0.1;
/// Weight of the newest error in the running spread of errors.
const SPREAD_GAIN: f64 = 0.05;
/// Least spread, as a share of the limit.
const SPREAD_FLOOR: f64 = 0.1;
/// What failing costs more than refusing, as a share of the call's worth.
const FAIL_COST: f64 = 0.2;
/// What a set-up costs the calls behind it for each aim of predicted time, in mean worths.
const TIME_COST: f64 = 0.8;
/// Weight of the newest call in the running means of worth and circuit-seconds.
const MEAN_GAIN: f64 = 0.01;
/// What a call displaces on a group with none to spare, as a share of what its circuits earn on average.
const CIRCUIT_COST: f64 = 0.6;
/// Free circuits, in square roots of the group's size, at which a seized circuit displaces nothing.
const SCARCE_ROOTS: f64 = 1.0;
/// Circuits of a group kept from tandem calls, in square roots of its size.
const RESERVE_ROOTS: f64 = 0.4;
/// A call worth this multiple of the mean per circuit-second may take the reserved circuits.
const URGENT_DENSITY: f64 = 3.0;
/// Seconds that a number is left alone after its lines were all engaged; doubled each time, to the second.
const CROWD_GAP: (f64, f64) = (1.0, 8.0);
/// Dialled numbers remembered at the most; the longest untouched goes first.
const NUMBERS_KEPT: usize = 5000;
/// Seconds over which the rate of standing calls is averaged (guess of an exchange's capacity).
const RATE_SPAN: f64 = 15.0;
/// Set-ups a second that a warm exchange surely bears for each call a second that comes to stand: it looks at
/// that call, sets it up, answers and releases it, and does the same for about one that ends there.
const WARM_SET_UPS: f64 = 3.0;
/// Least share of that span that must be measured before its rate is taken for whole.
const RATE_START: f64 = 0.2;
/// Seconds over which the highest such rate fades.
const PEAK_SPAN: f64 = 600.0;
/// Above this share the exchange is at fault and not the call: another attempt may do.
const FAULTY: f64 = 0.1;
/// Aims that a refused caller is asked to stay away: while it can still be in time, and after that.
const PAUSE_AIMS: [f64; 2] = [0.15, 1.0];
/// Ticks before the caller's deadline at which an answer is given whatever happens.
const ANSWER_TICKS: u64 = 2;
/// Seconds between two tries to get the list where it must be asked for.
const ASK_AGAIN: f64 = 1.0;
/// The token of the timer that asks for the list; calls use their own number.
const ASK_TOKEN: u64 = u64::MAX;

/// Chance that a standard normal value is at most `x`.
fn normal(x: f64) -> f64 {
    0.5 * libm::erfc(-x / std::f64::consts::SQRT_2)
}

// ---------------------------------------------------------------------------------------------------------
// Predictor
// ---------------------------------------------------------------------------------------------------------

/// A route: the destination's number and the exchange the set-up is sent to first.
type RouteKey = (u32, ExchangeId);

/// The last round trip of a route.
#[derive(Clone, Copy, Debug)]
struct RoundTrip {
    took: f64,
    at: Nanos,
    /// Whether it tells how long a set-up takes: an answer or a silence, but no turning away.
    timed: bool,
    /// Whether it counts as twice the aim, for the call did not stand.
    failed: bool,
    /// Longest time in seconds that it stays valid: one aim, so that one pause cannot close a route for long.
    valid: f64,
    /// Time in seconds that a failure of the far side holds on this route, past that.
    holds: f64,
}

/// The present load as this exchange sees it.
#[derive(Clone, Copy, Debug)]
struct Load {
    /// How many times its least a busy route takes, one at least.
    rho: f64,
    /// Set-ups of this exchange out, one more included.
    out: f64,
    /// The least round trip, in seconds, taken for a route that has none yet.
    typical: f64,
    /// The longest aim, in seconds.
    aim: f64,
}

/// What is remembered of one route.
#[derive(Clone, Debug, Default)]
struct Route {
    least: Option<f64>,
    last: Option<RoundTrip>,
    /// Set-ups that were sent and have shown no sign yet.
    out: Vec<(Nanos, CallId)>,
    /// Failures in a row, each sent after the one before was known; two at the most.
    failures: u32,
    /// When the newest answered set-up had been sent: older ones still out are strays.
    answered_sent: Nanos,
    used: Nanos,
}

impl Route {
    fn waiting_since(&self) -> Option<Nanos> {
        self.out.iter().map(|s| s.0).find(|s| *s >= self.answered_sent)
    }

    fn valid_last(&self, now: Nanos, rho: f64) -> Option<RoundTrip> {
        self.last.filter(|l| secs(now - l.at) < (l.took * rho).min(l.valid))
    }

    /// The least round trip in seconds, as far as it may be trusted. Only an answer lowers it: one that came
    /// late after a hang once closed its route for good, for nothing was sent to be answered sooner. So on a
    /// route that nothing was sent on for long a call tries again. The load keeps its say.
    fn trusted_least(&self, now: Nanos, load: Load) -> f64 {
        let untried = secs(now - self.used) > UNTRIED_AIMS * load.aim;
        let most = if untried { UNTRIED_LEAST * load.aim } else { f64::INFINITY };
        self.least.unwrap_or(load.typical).min(most)
    }

    /// Predicted time in seconds of a set-up sent now.
    fn predict(&self, now: Nanos, load: Load) -> f64 {
        let rho = load.rho;
        let scaled = self.trusted_least(now, load) * rho;
        if let Some(sent) = self.waiting_since() {
            return secs(now - sent) + scaled; // state 2: a set-up is out
        }
        let held = self.last.filter(|l| secs(now - l.at) < l.holds);
        match self.valid_last(now, rho).or(held) {
            Some(last) => last.took, // state 3: a recent round trip
            None => scaled,          // state 1: idle
        }
    }
}

// ---------------------------------------------------------------------------------------------------------
// State
// ---------------------------------------------------------------------------------------------------------

#[derive(Clone, Debug)]
struct Exchange {
    number: u32,
    since: Option<Nanos>,
    standing: ExchangeState,
    /// While it is cold: nothing is sent to it before.
    next: Nanos,
    /// Running share of set-ups that it fails for no cause told.
    faults: f64,
}

/// What is remembered of a destination's number.
#[derive(Clone, Debug, Default)]
struct Destination {
    /// The tandem that worked last.
    tandem: Option<ExchangeId>,
    /// When a call for it came last, and the running gap in seconds between two.
    asked: Option<Nanos>,
    gap: f64,
}

/// A trunk group from here. It belongs to a number, not to the machine that bears it: one that takes the
/// place of another has the same circuits, and nothing is told of them until one is seized or freed.
#[derive(Clone, Copy, Debug)]
struct Group {
    free: f64,
    size: f64,
}

/// Nothing was told of a group yet.
const UNKNOWN: Group = Group { free: f64::INFINITY, size: 0.0 };

#[derive(Clone, Copy, Debug)]
struct Attempt {
    number: u32,
    exchange: ExchangeId,
    sent: Nanos,
    predicted: Option<f64>,
    /// Set-ups of this exchange out when it was sent, itself included.
    load: f64,
    /// Whether by the advised tandem: 1, else 0.
    advised: usize,
}

/// How an attempt ended.
struct Ending {
    call: CallId,
    attempt: u32,
    outcome: Outcome,
    cause: Cause,
    call_over: bool,
}

#[derive(Clone, Debug)]
struct Call {
    new: NewCall,
    aim_at: Nanos,
    answer_by: Nanos,
    attempts: u32,
    out: Option<Attempt>,
    stands: bool,
    /// The final answer was given, or is owed no more.
    over: bool,
    /// Not to be sent before this time (release wait).
    not_before: Nanos,
    /// An ended attempt has no outcome proving that it never ran.
    may_have_run: bool,
    tried: Vec<ExchangeId>,
}

/// What is remembered of a number that was dialled and not reached.
#[derive(Clone, Copy, Debug)]
struct Number {
    /// When the caller's first try came.
    first: Nanos,
    /// Lines all engaged: left alone until then, and for how many seconds next time.
    engaged_until: Nanos,
    gap: f64,
}

/// The decision module of one exchange.
pub struct Controller {
    set: Settings,
    rng: ChaCha8Rng,
    exchanges: BTreeMap<ExchangeId, Exchange>,
    groups: BTreeMap<u32, Group>,
    /// The machine in service that bears a number.
    serving: BTreeMap<u32, ExchangeId>,
    routes: BTreeMap<RouteKey, Route>,
    /// Routes with a set-up out or a round trip that is still valid: no others count in rho.
    busy: BTreeSet<RouteKey>,
    /// When each set-up out was sent, those out for too long to tell of the load left out.
    loud: BTreeSet<(Nanos, CallId)>,
    calls: BTreeMap<CallId, Call>,
    numbers: BTreeMap<NumberId, Number>,
    destinations: BTreeMap<u32, Destination>,
    /// Running share of tandem set-ups that are not turned back: by other tandems, and by advised ones.
    through: [f64; 2],
    started: Option<Nanos>,
    /// When an answer last came soon.
    soon: Nanos,
    spread2: f64,
    /// Running seconds that a set-up takes for each one out.
    pace: f64,
    /// Running mean of the least round trips of routes that answer.
    typical: f64,
    /// The longest aim of the classes, in seconds: what is silence to it is silence to all.
    aim: f64,
    mean_worth: f64,
    /// Running mean of circuit-seconds per call.
    mean_use: f64,
    /// Calls that come to stand here, a second: now, and the most there was (fading).
    rate: f64,
    peak: f64,
    rate_at: Nanos,
    asked: bool,
    /// When timers are due; how long this agent has stood still so far, and when it last woke.
    due: BTreeSet<Nanos>,
    paused: Nanos,
    woke: Nanos,
}

impl Controller {
    /// A controller that has seen nothing yet.
    pub fn new(set: Settings, seed: u64) -> Result<Controller, SettingsError> {
        set.validate()?;
        let least = set.classes.iter().map(|c| c.worth).fold(f64::INFINITY, f64::min);
        let use_ = set.classes.iter().map(Class::circuit_seconds).fold(f64::INFINITY, f64::min);
        Ok(Controller {
            rng: ChaCha8Rng::seed_from_u64(seed),
            exchanges: BTreeMap::new(),
            groups: BTreeMap::new(),
            serving: BTreeMap::new(),
            busy: BTreeSet::new(),
            loud: BTreeSet::new(),
            routes: BTreeMap::new(),
            calls: BTreeMap::new(),
            numbers: BTreeMap::new(),
            destinations: BTreeMap::new(),
            through: [1.0; 2],
            started: None,
            soon: 0,
            spread2: 0.0,
            pace: START_PACE * set.longest_aim(),
            aim: set.longest_aim(),
            set,
            typical: 0.0,
            mean_worth: least,
            mean_use: use_,
            rate: 0.0,
            peak: 0.0,
            rate_at: 0,
            asked: false,
            due: BTreeSet::new(),
            paused: 0,
            woke: 0,
        })
    }

    /// Goes on with other settings of the same exchange, layout and classes; bad ones change nothing.
    pub fn reconfigure(&mut self, set: Settings) {
        if set.validate().is_ok() {
            self.aim = set.longest_aim();
            self.set = set;
        }
    }

    /// Takes in one event and adds to `actions` what follows from it.
    pub fn handle_event(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        let (from, due) = (actions.len(), self.due.first().map_or(now, |due| now.min(*due)));
        // Timers come at their time: an overdue one tells that this agent itself has stood still since then.
        if secs(now - due) > PAUSE {
            self.paused += now - due;
            self.woke = now;
        }
        self.due = self.due.split_off(&(now + 1));
        match event {
            Event::ListUpdated(kind, entries) => self.list(now, kind, entries, actions),
            Event::CallOffered(new) => self.arrive(now, new, actions),
            Event::CallStands { call, attempt, .. } => self.stands(now, call, attempt),
            Event::AttemptEnded { call, attempt, exchange, outcome, cause, call_over, report, .. } => {
                self.report(exchange, &report);
                self.ended(now, Ending { call, attempt, outcome, cause, call_over }, actions);
            }
            Event::CallerHungUp(call) => {
                self.calls.entry(call).and_modify(|c| c.over = true);
                self.forget_if_over(call);
            }
            Event::TimerExpired(ASK_TOKEN) => self.ask(actions),
            Event::TimerExpired(call) => self.look(now, call, actions),
            Event::LoadReported { exchange, report, .. } => self.report(exchange, &report),
        }
        let timers = actions[from..].iter();
        self.due
            .extend(timers.filter_map(|a| if let Action::SetTimer(_, at) = a { Some(*at) } else { None }));
    }

    /// The clock of the predictor, which leaves the own pauses out: they are no delay of a route.
    fn awake(&self, now: Nanos) -> Nanos {
        now - self.paused
    }

    fn report(&mut self, exchange: ExchangeId, report: &LoadReport) {
        let Some(number) = self.number(exchange) else { return };
        let group = self.groups.entry(number).or_insert(UNKNOWN);
        // What cannot be a number of circuits counts as not reported.
        let told = |f: Option<f64>, known| f.filter(|f| f.is_finite() && *f >= 0.0).unwrap_or(known);
        group.free = told(report.free_circuits, group.free);
        group.size = told(report.group_size, group.size);
    }

    // -----------------------------------------------------------------------------------------------------
    // Predictor, over all routes
    // -----------------------------------------------------------------------------------------------------

    /// The present load as this exchange sees it: how many times its least a busy route takes. The lower
    /// third of the routes tells, not their sum. All pass the own processor: what all show is its doing,
    /// while slow, silent or cut-off exchanges, even most of them, would close sound routes.
    fn rho(&mut self, now: Nanos) -> f64 {
        let (mut ratios, mut answered) = (Vec::new(), false);
        // One pass over the routes that a call was sent on within the last aim, however many there are.
        let routes = &self.routes;
        self.busy.retain(|key| {
            let Some(route) = routes.get(key) else { return false };
            let last = route.valid_last(now, f64::INFINITY);
            let timed = last.filter(|l| l.timed).map_or(0.0, |l| l.took);
            answered |= last.is_some_and(|l| !l.failed);
            if let Some(least) = route.least.filter(|l| *l > 0.0) {
                // A set-up out for less than the least tells nothing yet.
                let waits = route.waiting_since().map(|sent| secs(now - sent)).filter(|w| *w > least);
                let time = timed.max(waits.map_or(0.0, |w| w + least));
                ratios.extend(Some(time / least).filter(|r| *r > 0.0));
            }
            last.is_some() || !route.out.is_empty()
        });
        ratios.sort_unstable_by(f64::total_cmp);
        let lowest = ratios.get(ratios.len().saturating_sub(1) / LOAD_QUANTILE);
        // One silent route alone tells of itself.
        lowest.filter(|_| answered || ratios.len() > 1).map_or(1.0, |r| r.max(1.0))
    }

    /// A route that something happens on now.
    fn route(&mut self, now: Nanos, key: RouteKey) -> &mut Route {
        let kept = ROUTES_KEPT * self.exchanges.len().max(1);
        if self.routes.len() >= kept && !self.routes.contains_key(&key) {
            let mut used: Vec<Nanos> = self.routes.values().map(|r| r.used).collect();
            let median = *used.select_nth_unstable(kept / 2).1;
            self.routes.retain(|_, r| !r.out.is_empty() || r.used > median);
        }
        self.busy.insert(key);
        let route = self.routes.entry(key).or_default();
        route.used = now;
        route
    }

    /// A first sign of progress: ends the round trip and alone lowers the least.
    fn progressed(&mut self, now: Nanos, key: RouteKey, sent: Nanos, aim: f64) {
        let took = secs(now - sent);
        let route = self.route(now, key);
        route.answered_sent = route.answered_sent.max(sent);
        let least = route.least.map_or(took, |l| l.min(took));
        route.least = Some(least);
        route.last = Some(RoundTrip { took, at: now, timed: true, failed: false, valid: aim, holds: 0.0 });
        route.failures = 0;
        self.typical += PACE_GAIN * (least - self.typical);
        if took < SILENT_AIMS * aim {
            self.soon = now;
        }
    }

    /// A failure on a route; `far` when not of the own processor's making. In a large fleet an agent has
    /// a call for a destination once in many aims: were failures forgotten after one, each of its calls would
    /// be sent unseen, and all agents together would jam a slow exchange. So a failure holds as long as the
    /// next call for that destination is to be expected, twice as long when confirmed. It hurts calls to an
    /// exchange that is mended in the meantime.
    fn failed(&mut self, now: Nanos, key: RouteKey, sent: Nanos, aim: f64, timed: bool) {
        // A silence while others answer soon is not this exchange's own doing.
        let far = !timed || secs(now - self.soon) < aim;
        let gap = self.destinations.get(&key.0).map_or(0.0, |d| d.gap);
        let route = self.route(now, key);
        let again = route.failures > 0 && sent >= route.last.map_or(0, |l| l.at);
        route.failures = if again { 2 } else { route.failures.max(1) };
        let holds = if far { (gap * f64::from(route.failures)).min(HOLD_AIMS * aim) } else { 0.0 };
        let took = FAILED_AIMS * aim;
        route.last = Some(RoundTrip { took, at: now, timed, failed: true, valid: aim, holds });
    }

    // -----------------------------------------------------------------------------------------------------
    // Payoff
    // -----------------------------------------------------------------------------------------------------

    /// Set-ups of this exchange out, one more included. All pass its own processor, so many sent at once (a
    /// mass reconnect) are slow before any of them has been answered. Those on a route that has stopped
    /// answering wait elsewhere and do not count.
    fn load(&mut self, now: Nanos) -> f64 {
        while self.loud.first().is_some_and(|(sent, _)| self.silent(now, *sent)) {
            self.loud.pop_first();
        }
        1.0 + self.loud.len() as f64
    }

    fn silent(&self, now: Nanos, sent: Nanos) -> bool {
        secs(now - sent) > SILENT_AIMS * self.aim
    }

    /// Predicted time of a call to `destination` by `exchange`. A tandem call is no faster than its parts.
    fn predict(&self, now: Nanos, destination: u32, exchange: ExchangeId, load: Load) -> f64 {
        let none = Route::default();
        let at = |key: RouteKey| self.routes.get(&key).unwrap_or(&none).predict(now, load);
        let own = at((destination, exchange)).max(load.out * self.pace);
        let number = self.number(exchange).unwrap_or(destination);
        if number == destination {
            return own;
        }
        let second = self.machine(destination).map_or(0.0, |d| at((destination, d)));
        own.max(at((number, exchange))).max(second)
    }

    /// Expected payoff of trying, over that of refusing, for a set-up predicted to take `time` seconds.
    /// `work` is its processor work in direct set-ups, `scarce` the summed scarcity of the groups it crosses,
    /// `through` the chance that it is not turned back.
    fn payoff(&self, now: Nanos, call: &Call, time: f64, work: f64, scarce: f64, through: f64) -> f64 {
        let class = &self.set.classes[call.new.class];
        let aim = secs(class.aim);
        let spread = self.spread2.sqrt().max(SPREAD_FLOOR * aim);
        let left = |until: Nanos| until as f64 * 1e-9 - now as f64 * 1e-9;
        let in_time = normal((left(call.aim_at) - time) / spread);
        let late = (normal((left(call.answer_by) - time) / spread) - in_time).max(0.0);
        let fail = 1.0 - in_time - late;
        let gain = class.worth * (in_time + class.late_worth * late);
        let loss = class.worth * (FAIL_COST + self.set.late_fail_price) * fail;
        // No class is priced off its direct route: what it displaces counts up to its own worth.
        let displaced = (class.circuit_seconds() / self.mean_use * self.mean_worth).min(class.worth);
        let worked = TIME_COST * work * time / aim * self.mean_worth;
        through * (gain - loss - CIRCUIT_COST * scarce * displaced) - worked
    }

    /// How far a group is from having circuits to spare: 0 plenty, 1 none.
    fn scarcity(&self, group: Group, width: u32) -> f64 {
        (1.0 - (group.free - f64::from(width)) / (SCARCE_ROOTS * group.size.max(1.0).sqrt())).clamp(0.0, 1.0)
    }

    /// The own group towards an exchange.
    fn group(&self, exchange: ExchangeId) -> Group {
        self.number(exchange).and_then(|n| self.groups.get(&n)).copied().unwrap_or(UNKNOWN)
    }

    fn group_mut(&mut self, exchange: ExchangeId) -> &mut Group {
        let number = self.number(exchange).unwrap_or(u32::MAX);
        self.groups.entry(number).or_insert(UNKNOWN)
    }

    fn number(&self, exchange: ExchangeId) -> Option<u32> {
        self.exchanges.get(&exchange).map(|x| x.number)
    }

    // -----------------------------------------------------------------------------------------------------
    // Routing
    // -----------------------------------------------------------------------------------------------------

    fn machine(&self, number: u32) -> Option<ExchangeId> {
        self.serving.get(&number).copied()
    }

    /// Whether the group has room for a call, the last circuits kept from tandem calls that are not urgent.
    fn room(&self, exchange: ExchangeId, call: &Call, tandem: bool) -> bool {
        let (group, class) = (self.group(exchange), &self.set.classes[call.new.class]);
        let urgent =
            class.worth * self.mean_use >= URGENT_DENSITY * self.mean_worth * class.circuit_seconds();
        let kept = if tandem && !urgent { RESERVE_ROOTS } else { 0.0 };
        group.free >= f64::from(call.new.width) + (kept * group.size.sqrt()).ceil()
    }

    /// Finds a way for a call that has no attempt out: where to send it, the time predicted there, and how
    /// long it has to wait first.
    fn way(&mut self, now: Nanos, call: &Call) -> Option<(ExchangeId, f64, Nanos)> {
        let destination = call.new.destination;
        let direct = self.machine(destination).filter(|_| Some(destination) != self.set.home_exchange);
        let candidates = match self.set.topology {
            Topology::Pools => self.pools(call),
            Topology::Mesh => vec![direct?],
        };
        let at = self.awake(now);
        let (rho, out) = (self.rho(at), self.load(at));
        let load = Load { rho, out, typical: self.typical, aim: self.aim };
        let mut blocked = false;
        for x in candidates {
            let time = self.predict(at, self.exchanges[&x].number, x, load);
            let scarce = self.scarcity(self.group(x), call.new.width);
            let wait = self.cold_wait(now, x);
            if self.payoff(now + wait, call, time, 1.0, scarce, 1.0) <= 0.0 {
                continue;
            }
            if self.room(x, call, call.new.in_transit) && !call.tried.contains(&x) {
                return Some((x, time, wait));
            }
            blocked = true;
        }
        if !blocked || call.new.in_transit || self.set.topology == Topology::Pools {
            return None; // transit goes on or turns back
        }
        self.tandem(now, call, load).map(|(x, time)| (x, time, 0))
    }

    /// Pools that may serve the call: its first choice, the advised one, then the others.
    fn pools(&self, call: &Call) -> Vec<ExchangeId> {
        let skilled = &self.set.classes[call.new.class].pools;
        let wishes = [Some(call.new.destination), call.new.advised_route].into_iter().flatten();
        let mut found = Vec::new();
        for n in wishes.chain(self.exchanges.values().map(|x| x.number)) {
            let skill = skilled.is_empty() || skilled.contains(&n);
            let fresh = self.machine(n).filter(|x| skill && !found.contains(x));
            found.extend(fresh);
        }
        found
    }

    fn tandem(&mut self, now: Nanos, call: &Call, load: Load) -> Option<(ExchangeId, f64)> {
        let destination = call.new.destination;
        // The tandem's second group is not seen from here: the own groups stand for it.
        let groups = self.groups.values().filter(|g| g.size > 0.0);
        let count = groups.clone().count().max(1) as f64;
        let beyond = groups.map(|g| self.scarcity(*g, call.new.width)).sum::<f64>() / count;
        let advised = call.new.advised_route.and_then(|n| self.machine(n));
        let fits = |id: ExchangeId| {
            let x = self.exchanges.get(&id)?;
            let other = x.number != destination && Some(x.number) != self.set.home_exchange;
            if !other || self.machine(x.number) != Some(id) || call.tried.contains(&id) {
                return None;
            }
            if !self.room(id, call, true) || self.cold_wait(now, id) > 0 {
                return None;
            }
            let time = self.predict(self.awake(now), destination, id, load);
            let scarce = self.scarcity(self.group(id), call.new.width) + beyond;
            let through = self.through[usize::from(Some(id) == advised)];
            Some((id, time)).filter(|_| self.payoff(now, call, time, 1.5, scarce, through) > 0.0)
        };
        let last = self.destinations.get(&destination).and_then(|d| d.tandem);
        if let Some(wish) = [advised, last].into_iter().flatten().find_map(fits) {
            return Some(wish);
        }
        let fit: Vec<_> = self.exchanges.keys().copied().filter_map(fits).collect();
        if fit.is_empty() {
            return None;
        }
        let i = self.rng.next_u64() % fit.len() as u64;
        Some(fit[i as usize])
    }

    // -----------------------------------------------------------------------------------------------------
    // Guards
    // -----------------------------------------------------------------------------------------------------

    /// Rule 4: a cold exchange gets this agent's share of what it can surely take, at even gaps. A share may
    /// be under one set-up a window: the gap is then longer than that. Tells the gap.
    fn cold_gap(&self) -> Nanos {
        // What a warm exchange surely bears follows from the most calls carried here. The present rate would
        // not do: it is lowest just when exchanges have failed and come back cold.
        let cold = &self.set.cold;
        let least =
            cold.multiple * cold.from * WARM_SET_UPS * self.peak / f64::from(self.set.controller_count);
        nanos((1.0 / least).min(secs(cold.window) * f64::from(self.set.controller_count)))
    }

    /// How long a set-up to an exchange has to wait for that.
    fn cold_wait(&self, now: Nanos, exchange: ExchangeId) -> Nanos {
        let cold = &self.set.cold;
        let x = self.exchanges.get(&exchange).filter(|_| cold.window > 0);
        let cold = x.filter(|x| x.since.is_some_and(|s| now < s + cold.lasts));
        cold.map_or(0, |x| x.next.saturating_sub(now))
    }

    fn crowded(&self, now: Nanos, number: Option<NumberId>) -> bool {
        number.and_then(|n| self.numbers.get(&n)).is_some_and(|n| now < n.engaged_until)
    }

    fn found_crowded(&mut self, now: Nanos, number: Option<NumberId>) {
        if let Some(n) = number.and_then(|n| self.numbers.get_mut(&n)) {
            n.engaged_until = now + nanos(n.gap);
            n.gap = (2.0 * n.gap).min(CROWD_GAP.1);
        }
    }

    /// When the caller first tried: a number that was dialled and not reached before is dialled again.
    /// Without this every redial has a new aim here, though the caller counts from the first try, and calls
    /// that can only be late take the circuits of calls in time. Two callers of one number are taken for
    /// one; the second then only seems later than it is.
    fn first_try(&mut self, now: Nanos, new: &NewCall, persists: Nanos) -> Nanos {
        let Some(number) = new.dialled.filter(|_| !new.after_cut && !new.in_transit) else { return now };
        if self.numbers.len() >= NUMBERS_KEPT {
            self.numbers.retain(|_, n| now < n.first + persists || now < n.engaged_until);
            if self.numbers.len() >= NUMBERS_KEPT {
                self.numbers.clear();
            }
        }
        let fresh = Number { first: now, engaged_until: 0, gap: CROWD_GAP.0 };
        let n = self.numbers.entry(number).or_insert(fresh);
        if now >= n.first + persists {
            n.first = now;
        }
        n.first
    }

    fn list(&mut self, now: Nanos, kind: ListUpdate, entries: Vec<Entry>, actions: &mut Vec<Action>) {
        if kind == ListUpdate::Unavailable {
            return actions.push(Action::SetTimer(ASK_TOKEN, now + nanos(ASK_AGAIN)));
        }
        if kind != ListUpdate::Changes {
            let named: BTreeSet<ExchangeId> = entries.iter().map(|e| e.exchange).collect();
            self.exchanges.retain(|id, _| named.contains(id));
        }
        let gap = self.cold_gap();
        for Entry { exchange, number, since, standing, .. } in entries {
            let known = self.exchanges.get(&exchange).filter(|x| x.since == since);
            // All agents learn of a start at once: each begins at a moment of its own within the gap.
            let new = || (now + self.rng.next_u64() % gap.max(1), 0.0);
            let (next, faults) = known.map_or_else(new, |x| (x.next, x.faults));
            self.exchanges.insert(exchange, Exchange { number, since, standing, next, faults });
        }
        self.exchanges.retain(|_, x| x.standing != ExchangeState::Gone);
        // On a long day machines and numbers come and go for good.
        self.routes.retain(|key, r| self.exchanges.contains_key(&key.1) || !r.out.is_empty());
        self.destinations.retain(|_, d| secs(now - d.asked.unwrap_or(now)) < PEAK_SPAN);
        // Of several machines in service that bear a number, the one that started last.
        self.serving.clear();
        for (id, x) in self.exchanges.iter().filter(|(_, x)| x.standing == ExchangeState::Up) {
            let serving = self.serving.entry(x.number).or_insert(*id);
            if self.exchanges[serving].since <= x.since {
                *serving = *id;
            }
        }
        if !self.asked {
            self.ask(actions);
        }
    }

    fn ask(&mut self, actions: &mut Vec<Action>) {
        if self.set.list_on_request {
            self.asked = true;
            actions.push(Action::Subscribe);
        }
    }

    // -----------------------------------------------------------------------------------------------------
    // Call life cycle
    // -----------------------------------------------------------------------------------------------------

    fn arrive(&mut self, now: Nanos, new: NewCall, actions: &mut Vec<Action>) {
        let id = new.call;
        let Some(class) = self.set.classes.get(new.class) else {
            return actions.push(Action::Fail(id));
        };
        if !new.in_transit {
            self.mean_worth += MEAN_GAIN * (class.worth - self.mean_worth);
            self.mean_use += MEAN_GAIN * (class.circuit_seconds() - self.mean_use);
        }
        let started = *self.started.get_or_insert(now);
        if self.serving.contains_key(&new.destination) {
            let d = self.destinations.entry(new.destination).or_default();
            let gap = secs(now - d.asked.unwrap_or(started));
            d.gap += if d.asked.is_some() { GAP_GAIN * (gap - d.gap) } else { gap };
            d.asked = Some(now);
        }
        let answer_by = new.deadline.saturating_sub(ANSWER_TICKS * self.set.tick).max(now);
        let (aim, persists) = (class.aim, class.deadline);
        let aim_at = (self.first_try(now, &new, persists) + aim).min(answer_by);
        let call = Call {
            new,
            aim_at,
            answer_by,
            attempts: 0,
            out: None,
            stands: false,
            over: false,
            not_before: now,
            may_have_run: false,
            tried: Vec::new(),
        };
        actions.push(Action::SetTimer(id, answer_by));
        self.calls.insert(id, call);
        if now == self.woke {
            // Found with all that came during a pause, news behind it included: decided after these.
            return actions.push(Action::SetTimer(id, now));
        }
        self.look(now, id, actions);
    }

    /// Decides what is due for a call.
    fn look(&mut self, now: Nanos, id: CallId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get(&id).filter(|c| !c.over && !c.stands) else { return };
        if now >= call.answer_by {
            if let (Some(out), true) = (call.out, self.set.may_cancel) {
                actions.push(Action::CancelAttempt { call: id, attempt: out.number });
            }
            return self.answer(now, id, false, actions);
        }
        if call.out.is_some() {
            return;
        }
        if now < call.not_before {
            return actions.push(Action::SetTimer(id, call.not_before));
        }
        let sendable = call.attempts < self.set.max_attempts && !self.crowded(now, call.new.dialled);
        let call = call.clone();
        match if sendable { self.way(now, &call) } else { None } {
            Some((exchange, time, 0)) => self.send(now, id, exchange, time, actions),
            Some((_, _, wait)) => actions.push(Action::SetTimer(id, now + wait)),
            None => self.answer(now, id, true, actions),
        }
    }

    fn send(&mut self, now: Nanos, id: CallId, to: ExchangeId, time: f64, actions: &mut Vec<Action>) {
        let number = self.number(to);
        let Some(call) = self.calls.get_mut(&id) else { return };
        let advised = usize::from(call.new.advised_route.is_some() && call.new.advised_route == number);
        let timeout = call.answer_by - now;
        let attempt = call.attempts;
        call.attempts += 1;
        call.tried.push(to);
        let key = (call.new.destination, to);
        self.group_mut(to).free -= f64::from(call.new.width);
        let gap = self.cold_gap();
        self.exchanges.entry(to).and_modify(|x| x.next = now + gap);
        let at = self.awake(now);
        let load = self.load(at);
        let route = self.route(at, key);
        let predicted = route.least.map(|_| time);
        route.out.push((at, id));
        self.loud.insert((at, id));
        if let Some(call) = self.calls.get_mut(&id) {
            call.out = Some(Attempt { number: attempt, exchange: to, sent: at, predicted, load, advised });
        }
        actions.push(Action::SendSetUp { call: id, exchange: to, timeout });
    }

    fn forget_set_up(&mut self, key: RouteKey, id: CallId, sent: Nanos) {
        self.loud.remove(&(sent, id));
        if let Some(route) = self.routes.get_mut(&key) {
            route.out.retain(|s| *s != (sent, id));
        }
    }

    fn faulted(&mut self, exchange: ExchangeId, fault: f64) {
        self.exchanges.entry(exchange).and_modify(|x| x.faults += SHARE_GAIN * (fault - x.faults));
    }

    /// Gives the final answer of a call.
    fn answer(&mut self, now: Nanos, id: CallId, refuse: bool, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.over = true;
        let aims = PAUSE_AIMS[usize::from(now >= call.aim_at)];
        let pause = nanos(aims * self.aim).min(self.set.max_retry_after.unwrap_or(0));
        let safe = self.set.classes[call.new.class].repeatable || !(call.may_have_run || call.out.is_some());
        actions.push(if refuse && safe {
            Action::Refuse { call: id, retry_after: pause }
        } else {
            Action::Fail(id)
        });
        self.forget_if_over(id);
    }

    fn forget_if_over(&mut self, id: CallId) {
        if self.calls.get(&id).is_some_and(|c| c.over && c.out.is_none()) {
            self.calls.remove(&id);
        }
    }

    fn stands(&mut self, now: Nanos, id: CallId, attempt: u32) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Some(out) = call.out.filter(|o| o.number == attempt) else { return };
        call.stands = true;
        call.over = true;
        let class = &self.set.classes[call.new.class];
        let (destination, dialled, aim) = (call.new.destination, call.new.dialled, secs(class.aim));
        // A set-up that was repeated on the way carries the gaps of the repeats: it counts for its own route
        // but tells neither the load nor the spread (compare Karn's rule).
        self.forget_set_up((destination, out.exchange), id, out.sent);
        let at = self.awake(now);
        let took = at - out.sent;
        let clean = self.set.resend == 0 || took < self.set.resend;
        self.progressed(at, (destination, out.exchange), out.sent, aim);
        self.faulted(out.exchange, 0.0);
        if let (Some(predicted), true) = (out.predicted, clean) {
            let error = secs(took) - predicted;
            self.pace += PACE_GAIN * (secs(took) / out.load - self.pace);
            self.spread2 += SPREAD_GAIN * (error * error - self.spread2);
        }
        if let Some(n) = dialled.filter(|n| self.numbers.get(n).is_some_and(|n| n.engaged_until == 0)) {
            self.numbers.remove(&n);
        }
        let since = secs(now - self.rate_at);
        self.rate = self.rate * libm::exp(-since / RATE_SPAN) + 1.0 / RATE_SPAN;
        // A rate that has not been measured for the whole span yet is that much too low.
        let measured = secs(now - self.started.unwrap_or(now));
        let rate = self.rate / (1.0 - libm::exp(-measured / RATE_SPAN)).max(RATE_START);
        self.peak = rate.max(self.peak * libm::exp(-since / PEAK_SPAN));
        self.rate_at = now;
        if self.number(out.exchange).is_some_and(|n| n != destination) {
            self.destinations.entry(destination).or_default().tandem = Some(out.exchange);
            self.through[out.advised] += SHARE_GAIN * (1.0 - self.through[out.advised]);
        }
    }

    fn ended(&mut self, now: Nanos, ending: Ending, actions: &mut Vec<Action>) {
        let Ending { call: id, attempt, outcome, cause, call_over } = ending;
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Some(out) = call.out.filter(|o| o.number == attempt) else { return };
        call.out = None;
        call.over |= call_over;
        let (destination, dialled, stood) = (call.new.destination, call.new.dialled, call.stands);
        let (aim, width) = (secs(self.set.classes[call.new.class].aim), f64::from(call.new.width));
        let never_ran = matches!(outcome, Outcome::Rejected | Outcome::Unreachable | Outcome::NotSent);
        call.may_have_run |= !never_ran;
        if matches!(outcome, Outcome::TimedOut | Outcome::Cut | Outcome::CalledOff) {
            call.not_before = now + self.set.release_wait;
        }
        let key = (destination, out.exchange);
        self.forget_set_up(key, id, out.sent);
        if !stood {
            let silent = matches!(outcome, Outcome::TimedOut | Outcome::CalledOff);
            let rejected = matches!(outcome, Outcome::Rejected | Outcome::Unreachable);
            // A silence cut short tells nothing.
            let at = self.awake(now);
            if rejected || silent && self.silent(at, out.sent) {
                self.failed(at, key, out.sent, aim, silent);
                if let Some(d) = self.machine(destination).filter(|_| cause == Cause::FullBeyond) {
                    self.failed(at, (destination, d), out.sent, aim, false);
                }
            }
            match (outcome, cause) {
                (Outcome::Failed, Cause::NumberBusy) => self.found_crowded(now, dialled),
                (Outcome::Failed, Cause::Untold) => self.faulted(out.exchange, 1.0),
                // Less than the call's width is free, whatever was believed, until told otherwise.
                (Outcome::NotSent, Cause::NoCircuit) => self.group_mut(out.exchange).free = width - 1.0,
                _ => {}
            }
            if self.number(out.exchange).is_some_and(|n| n != destination) {
                self.destinations.entry(destination).or_default().tandem = None;
                self.through[out.advised] -=
                    if rejected { SHARE_GAIN * self.through[out.advised] } else { 0.0 };
            }
        }
        let fault = (outcome, cause) == (Outcome::Failed, Cause::Untold);
        let fault = fault && self.exchanges.get(&out.exchange).is_some_and(|x| x.faults > FAULTY);
        let Some(call) = self.calls.get_mut(&id) else { return };
        if call.over {
            return self.forget_if_over(id);
        }
        // A fault or a connection that broke is no reason to leave the route.
        call.tried.retain(|x| *x != out.exchange || !fault && outcome != Outcome::Cut);
        if call.may_have_run && !self.set.classes[call.new.class].repeatable {
            return self.answer(now, id, false, actions);
        }
        let own_down = outcome == Outcome::NotSent && matches!(cause, Cause::ProcessorFull(_));
        if stood || own_down || outcome == Outcome::Failed && !fault {
            return self.answer(now, id, true, actions);
        }
        self.look(now, id, actions);
    }
}
