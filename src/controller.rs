//! All routing and admission decisions of one exchange. `src/interface.rs` has the input and output types.
//!
//! The mechanism is Profit Optimal Congestion Control (Arvidsson, Pettersson, Angelin), described in
//! `docs/design.md`: predict how long a set-up takes from this exchange's own recent round-trip delays, and
//! send the call only when the expected payoff of sending exceeds that of refusing.
//!
//! Spans in "targets" are multiples of a delay target: the time within which a call has to stand to earn its
//! full worth.

use std::collections::{BTreeMap, BTreeSet};

use rand_chacha::ChaCha8Rng;
use rand_core::{RngCore, SeedableRng};

use crate::interface::*;
use crate::pause_detector::PauseDetector;

/// Capacity of the route table per listed machine. When the table is full, the less recently used half is
/// evicted, except routes with pending set-ups.
const MAX_ROUTES_PER_EXCHANGE: usize = 24;
/// After this many longest targets without use, the minimum round trip of a route is no longer trusted (see
/// [`Route::trusted_min_rtt_secs`]).
const UNUSED_ROUTE_TARGETS: f64 = 5.0;
/// Upper limit of the minimum round trip assumed for such a route, in longest targets.
const UNUSED_ROUTE_RTT_CAP_TARGETS: f64 = 0.5;
/// Round trip recorded for a set-up that was rejected or timed out, in targets of its class.
const FAILED_SET_UP_RTT_TARGETS: f64 = 2.0;
/// The delay ratio is taken at the first 1/n of the active routes in ascending order.
const DELAY_RATIO_QUANTILE: usize = 3;
/// Longest time that a failure stays in force on its route, in targets of the class.
const MAX_FAILURE_VALIDITY_TARGETS: f64 = 4.0;
/// Smoothing factor of the interval between calls for one destination.
const CALL_INTERVAL_SMOOTHING: f64 = 0.25;
/// A set-up pending for longer than this, in longest targets, counts as evidence on its own route only and no
/// longer towards the load.
const SILENCE_THRESHOLD_TARGETS: f64 = 0.5;
/// Smoothing factor of the time per pending set-up and of the typical minimum round trip.
const ROUND_TRIP_SMOOTHING: f64 = 0.05;
/// Time per pending set-up assumed before any answer, in longest targets. A controller that starts during a
/// mass redial (its predecessor's calls were cut) must not send every call before the first answer.
const INITIAL_TIME_PER_PENDING_TARGETS: f64 = 0.1;
/// Smoothing factor of the shares: tandem set-ups accepted, and set-ups that fail without a stated cause.
const SHARE_SMOOTHING: f64 = 0.05;
/// Smoothing factor of the variance of prediction errors.
const ERROR_VARIANCE_SMOOTHING: f64 = 0.05;
/// Least standard deviation assumed for prediction errors, in targets of the call's class.
const MIN_ERROR_DEVIATION_TARGETS: f64 = 0.1;
/// Cost of a failure over that of a refusal, as a share of the call's worth.
const FAILURE_COST_SHARE: f64 = 0.2;
/// Cost that a set-up imposes on the calls behind it, in mean worths per target of predicted time.
const SET_UP_TIME_COST_MEAN_WORTHS: f64 = 0.8;
/// Smoothing factor of the mean worth and circuit-seconds per call.
const CALL_MEAN_SMOOTHING: f64 = 0.01;
/// What a call displaces on a fully scarce trunk group, as a share of what its circuits earn on average.
const CIRCUIT_COST_SHARE: f64 = 0.6;
/// Free circuits, in square roots of the group size, from which a seized circuit displaces nothing.
const AMPLE_CIRCUITS_SQRT_SIZES: f64 = 1.0;
/// Circuits of a group reserved against tandem calls, in square roots of the group size.
const TANDEM_RESERVE_SQRT_SIZES: f64 = 0.4;
/// A call worth this multiple of the mean per circuit-second may use the reserved circuits.
const URGENT_WORTH_DENSITY_RATIO: f64 = 3.0;
/// First backoff of a number whose lines were all engaged; it doubles with each further busy result.
const BUSY_NUMBER_FIRST_BACKOFF_SECS: f64 = 1.0;
/// Longest backoff of a busy number.
const BUSY_NUMBER_MAX_BACKOFF_SECS: f64 = 8.0;
/// Capacity of the table of dialled numbers. When it is full, expired entries are removed; if it is still
/// full, it is cleared.
const MAX_DIALLED_NUMBERS: usize = 5000;
/// Time constant of the rate of carried calls, from which an exchange's capacity is estimated.
const CARRIED_RATE_SPAN_SECS: f64 = 15.0;
/// Set-ups per second that a warm exchange can take per call per second carried here. For each such call it
/// processes the set-up, the answer and the release, and as much again for about one call that ends there.
const WARM_SET_UPS_PER_CARRIED_CALL: f64 = 3.0;
/// Lower limit of the bias correction of a rate that has been measured for less than the averaging span.
const MIN_RATE_BIAS_CORRECTION: f64 = 0.2;
/// Time constant of the decay of the peak carried rate. Destinations without a call for as long are removed.
const PEAK_RATE_DECAY_SECS: f64 = 600.0;
/// Above this share of unexplained failures the exchange is at fault, not the call: another attempt may
/// succeed.
const FAULTY_EXCHANGE_SHARE: f64 = 0.1;
/// Retry-after time of a refused call that can still be on time, in longest targets.
const RETRY_AFTER_ON_TIME_TARGETS: f64 = 0.15;
/// Retry-after time of a refused call that can only be late, in longest targets.
const RETRY_AFTER_LATE_TARGETS: f64 = 1.0;
/// A final answer is given this many ticks before the caller's deadline in any case.
const FINAL_ANSWER_MARGIN_TICKS: u64 = 2;
/// Interval between requests for the list of exchanges after one failed.
const LIST_RETRY_SECS: f64 = 1.0;
/// Timer token of the list request; the timers of calls use the call's id.
const LIST_RETRY_TOKEN: u64 = u64::MAX;
/// Timer token of the watch that detects pauses of this process.
const PAUSE_WATCH_TOKEN: u64 = u64::MAX - 1;

/// Cumulative distribution function of the standard normal distribution.
fn normal_cdf(x: f64) -> f64 {
    0.5 * libm::erfc(-x / std::f64::consts::SQRT_2)
}

/// Identifies a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RouteKey {
    /// Number of the destination.
    destination: u32,
    /// The exchange that the set-up is sent to.
    first_hop: ExchangeId,
}

/// A set-up that has not been answered yet, ordered by time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PendingSetUp {
    sent_at: Nanos,
    call: CallId,
}

/// The last round trip of a route.
#[derive(Clone, Copy, Debug)]
struct RoundTrip {
    duration_secs: f64,
    ended_at: Nanos,
    /// Whether it shows how long a set-up takes: true for an answer or a silence, false for a rejection.
    measures_delay: bool,
    /// The call did not stand; the duration is the fixed one of failures.
    failed: bool,
    /// Upper limit of its validity: one target, so that a single pause cannot close a route for long.
    max_validity_secs: f64,
    /// How long after its end a far-side failure stays in force on this route, even past `max_validity_secs`.
    failure_validity_secs: f64,
}

/// Estimate of the present load.
#[derive(Clone, Copy, Debug)]
struct LoadEstimate {
    /// Present delay of active routes as a multiple of their minimum, at least 1 (rho in the paper).
    delay_ratio: f64,
    /// Pending set-ups of this exchange, including the one being decided.
    pending_set_ups: f64,
    /// Minimum round trip assumed for a route without one.
    typical_min_rtt_secs: f64,
    longest_target_secs: f64,
}

/// State of one route.
#[derive(Clone, Debug, Default)]
struct Route {
    min_rtt_secs: Option<f64>,
    last_round_trip: Option<RoundTrip>,
    pending: Vec<PendingSetUp>,
    /// Consecutive failures, each of a set-up sent after the previous failure was known; counts to two.
    consecutive_failures: u32,
    /// When the newest answered set-up was sent. Older set-ups that are still pending do not count.
    newest_answered_sent_at: Nanos,
    last_used: Nanos,
}

impl Route {
    fn oldest_pending_sent_at(&self) -> Option<Nanos> {
        self.pending.iter().map(|p| p.sent_at).find(|sent| *sent >= self.newest_answered_sent_at)
    }

    fn valid_round_trip(&self, now: Nanos, delay_ratio: f64) -> Option<RoundTrip> {
        self.last_round_trip.filter(|last| {
            nanos_to_secs(now - last.ended_at)
                < (last.duration_secs * delay_ratio).min(last.max_validity_secs)
        })
    }

    /// The minimum round trip as far as it can be relied on. Only an answer lowers the minimum: after a
    /// processor hang, one late first answer closed its route permanently, because nothing was sent that
    /// could have been answered sooner. A route unused for long therefore gets a lower assumed minimum, so
    /// that a call is sent on it again. The delay ratio still applies.
    fn trusted_min_rtt_secs(&self, now: Nanos, load: LoadEstimate) -> f64 {
        let unused = nanos_to_secs(now - self.last_used) > UNUSED_ROUTE_TARGETS * load.longest_target_secs;
        let cap =
            if unused { UNUSED_ROUTE_RTT_CAP_TARGETS * load.longest_target_secs } else { f64::INFINITY };
        self.min_rtt_secs.unwrap_or(load.typical_min_rtt_secs).min(cap)
    }

    /// Predicted duration of a set-up sent now.
    fn predict_secs(&self, now: Nanos, load: LoadEstimate) -> f64 {
        let delay_ratio = load.delay_ratio;
        let scaled_min_rtt = self.trusted_min_rtt_secs(now, load) * delay_ratio;
        if let Some(sent) = self.oldest_pending_sent_at() {
            return nanos_to_secs(now - sent) + scaled_min_rtt; // state 2: a set-up is pending
        }
        let failure_in_force = self
            .last_round_trip
            .filter(|last| nanos_to_secs(now - last.ended_at) < last.failure_validity_secs);
        match self.valid_round_trip(now, delay_ratio).or(failure_in_force) {
            Some(last) => last.duration_secs, // state 3: a recent round trip
            None => scaled_min_rtt,           // state 1: idle
        }
    }
}

/// A listed machine of an exchange.
#[derive(Clone, Debug)]
struct Exchange {
    number: u32,
    since: Option<Nanos>,
    state: ExchangeState,
    /// During the cold start: earliest time of the next set-up to it.
    next_cold_send: Nanos,
    /// Smoothed share of set-ups that it fails without stating a cause.
    fault_share: f64,
}

/// State of a destination's number.
#[derive(Clone, Debug, Default)]
struct Destination {
    /// The tandem of the last overflow call, if that call stood.
    last_good_tandem: Option<ExchangeId>,
    last_call_at: Option<Nanos>,
    mean_call_interval_secs: f64,
}

/// A trunk group of this exchange. It belongs to the number of the far exchange, not to the machine in
/// service there: a replacement machine has the same circuits, and its first report comes only when a
/// circuit is seized or freed.
#[derive(Clone, Copy, Debug)]
struct TrunkGroup {
    free: f64,
    size: f64,
}

/// A group without any report.
const UNREPORTED_GROUP: TrunkGroup = TrunkGroup { free: f64::INFINITY, size: 0.0 };

/// An attempt that has not ended: it is pending, or its call stands.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    number: u32,
    exchange: ExchangeId,
    sent_at: Nanos,
    /// `None` on a route without a minimum round trip.
    predicted_secs: Option<f64>,
    /// Pending set-ups of this exchange when it was sent, including itself.
    pending_when_sent: f64,
    /// Index into [`Controller::tandem_acceptance`].
    acceptance_index: usize,
}

/// The end of an attempt, as reported.
struct AttemptEnd {
    call: CallId,
    attempt: u32,
    outcome: Outcome,
    cause: Cause,
    call_over: bool,
}

/// Where to send a call.
#[derive(Clone, Copy, Debug)]
struct RouteChoice {
    exchange: ExchangeId,
    predicted_secs: f64,
    /// How long to wait before sending.
    wait: Nanos,
}

/// A call that awaits its final answer or whose current attempt has not ended (calls that stand included).
#[derive(Clone, Debug)]
struct Call {
    request: NewCall,
    on_time_until: Nanos,
    final_answer_by: Nanos,
    attempt_count: u32,
    current_attempt: Option<Attempt>,
    stands: bool,
    /// The final answer was given or is no longer due.
    final_answer_given: bool,
    /// Earliest time of the next attempt (release wait).
    not_before: Nanos,
    /// An attempt ended with an outcome that does not rule out that it ran.
    may_have_run: bool,
    attempted_exchanges: Vec<ExchangeId>,
}

/// State of a dialled number that has not been reached.
#[derive(Clone, Copy, Debug)]
struct DialledNumber {
    first_try_at: Nanos,
    /// All lines were engaged: no set-up before this time.
    busy_until: Nanos,
    next_backoff_secs: f64,
}

/// Number of entries of each table that grows with traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableSizes {
    /// Calls that await a final answer or stand.
    pub calls: usize,
    /// Routes with a round trip or a pending set-up.
    pub routes: usize,
    /// Destinations that were called recently.
    pub destinations: usize,
    /// Dialled numbers that were not reached.
    pub dialled_numbers: usize,
}

/// The decision module of one exchange.
pub struct Controller {
    settings: Settings,
    rng: ChaCha8Rng,
    exchanges: BTreeMap<ExchangeId, Exchange>,
    /// Trunk groups by the number of the far exchange.
    trunk_groups: BTreeMap<u32, TrunkGroup>,
    /// The machine in service for each number.
    machines_in_service: BTreeMap<u32, ExchangeId>,
    routes: BTreeMap<RouteKey, Route>,
    /// Routes with a pending set-up or a valid round trip: the ones that determine the delay ratio.
    active_routes: BTreeSet<RouteKey>,
    /// Pending set-ups that count towards the load; those pending beyond the silence threshold are left out.
    counted_set_ups: BTreeSet<PendingSetUp>,
    calls: BTreeMap<CallId, Call>,
    dialled_numbers: BTreeMap<NumberId, DialledNumber>,
    destinations: BTreeMap<u32, Destination>,
    /// Smoothed share of tandem set-ups that are not turned back: by other tandems (0), by advised ones (1).
    tandem_acceptance: [f64; 2],
    first_call_at: Option<Nanos>,
    /// When the last answer within the silence threshold came.
    last_prompt_answer_at: Nanos,
    /// Smoothed square of the prediction error, in seconds squared.
    error_variance: f64,
    /// Smoothed duration of a set-up divided by the number pending.
    secs_per_pending_set_up: f64,
    /// Smoothed minimum round trip of the routes that answer.
    typical_min_rtt_secs: f64,
    /// Longest delay target of all classes; the silence threshold is the same for every class.
    longest_target_secs: f64,
    mean_worth: f64,
    mean_circuit_secs: f64,
    /// Calls carried per second, smoothed.
    carried_rate: f64,
    /// Highest such rate, decaying.
    peak_carried_rate: f64,
    carried_rate_updated_at: Nanos,
    list_requested: bool,
    pauses: PauseDetector,
}

impl Controller {
    /// Creates a controller without any observations.
    pub fn new(settings: Settings, seed: u64) -> Result<Controller, SettingsError> {
        settings.validate()?;
        let least_worth = settings.classes.iter().map(|c| c.worth).fold(f64::INFINITY, f64::min);
        let least_circuit_secs =
            settings.classes.iter().map(Class::circuit_seconds).fold(f64::INFINITY, f64::min);
        Ok(Controller {
            rng: ChaCha8Rng::seed_from_u64(seed),
            exchanges: BTreeMap::new(),
            trunk_groups: BTreeMap::new(),
            machines_in_service: BTreeMap::new(),
            active_routes: BTreeSet::new(),
            counted_set_ups: BTreeSet::new(),
            routes: BTreeMap::new(),
            calls: BTreeMap::new(),
            dialled_numbers: BTreeMap::new(),
            destinations: BTreeMap::new(),
            tandem_acceptance: [1.0; 2],
            first_call_at: None,
            last_prompt_answer_at: 0,
            error_variance: 0.0,
            secs_per_pending_set_up: INITIAL_TIME_PER_PENDING_TARGETS * settings.longest_target_secs(),
            longest_target_secs: settings.longest_target_secs(),
            settings,
            typical_min_rtt_secs: 0.0,
            mean_worth: least_worth,
            mean_circuit_secs: least_circuit_secs,
            carried_rate: 0.0,
            peak_carried_rate: 0.0,
            carried_rate_updated_at: 0,
            list_requested: false,
            pauses: PauseDetector::default(),
        })
    }

    /// Applies new settings of the same exchange, topology and classes. Invalid settings are ignored.
    pub fn reconfigure(&mut self, settings: Settings) {
        if settings.validate().is_ok() {
            self.longest_target_secs = settings.longest_target_secs();
            self.settings = settings;
        }
    }

    /// Processes one event and appends the resulting actions to `actions`.
    pub fn handle_event(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        self.pauses.event_at(now);
        match event {
            Event::ListUpdated(kind, entries) => self.handle_list_update(now, kind, entries, actions),
            Event::CallOffered(request) => self.handle_call_offered(now, request, actions),
            Event::CallStands { call, attempt, .. } => self.handle_call_stands(now, call, attempt),
            Event::AttemptEnded { call, attempt, exchange, outcome, cause, call_over, report, .. } => {
                self.record_load_report(exchange, &report);
                let end = AttemptEnd { call, attempt, outcome, cause, call_over };
                self.handle_attempt_ended(now, end, actions);
            }
            Event::CallerGaveUp(call) => {
                self.calls.entry(call).and_modify(|c| c.final_answer_given = true);
                self.remove_if_ended(call);
            }
            Event::TimerExpired(PAUSE_WATCH_TOKEN) => {
                self.pauses.watch_expired();
                self.watch_for_pauses(now, actions);
            }
            Event::TimerExpired(LIST_RETRY_TOKEN) => self.request_list(actions),
            Event::TimerExpired(call) => self.advance_call(now, call, actions),
            Event::LoadReported { exchange, report, .. } => self.record_load_report(exchange, &report),
        }
    }

    /// Sizes of the tables, for the operator.
    pub fn table_sizes(&self) -> TableSizes {
        TableSizes {
            calls: self.calls.len(),
            routes: self.routes.len(),
            destinations: self.destinations.len(),
            dialled_numbers: self.dialled_numbers.len(),
        }
    }

    fn watch_for_pauses(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        if let Some(at) = self.pauses.set_watch(now) {
            actions.push(Action::SetTimer(PAUSE_WATCH_TOKEN, at));
        }
    }

    /// Clock of the predictor. It excludes the pauses of this process, which are no delay of a route.
    fn predictor_time(&self, now: Nanos) -> Nanos {
        self.pauses.time_without_pauses(now)
    }

    fn record_load_report(&mut self, exchange: ExchangeId, report: &LoadReport) {
        let Some(number) = self.exchange_number(exchange) else { return };
        let group = self.trunk_groups.entry(number).or_insert(UNREPORTED_GROUP);
        // A value that cannot be a number of circuits counts as not reported.
        let reported_or =
            |value: Option<f64>, known| value.filter(|v| v.is_finite() && *v >= 0.0).unwrap_or(known);
        group.free = reported_or(report.free_circuits, group.free);
        group.size = reported_or(report.group_size, group.size);
    }

    /// Present delay of active routes as a multiple of their minimum, taken at the lower third of the routes'
    /// ratios: only a delay that most routes share is caused by the own processor, which all set-ups pass.
    /// Slow, silent or unreachable exchanges, even if they are the majority, must not close healthy routes.
    fn current_delay_ratio(&mut self, now: Nanos) -> f64 {
        let (mut ratios, mut any_answer) = (Vec::new(), false);
        // A single pass over the routes used within the last target, however many routes there are.
        let routes = &self.routes;
        self.active_routes.retain(|key| {
            let Some(route) = routes.get(key) else { return false };
            let last = route.valid_round_trip(now, f64::INFINITY);
            let measured = last.filter(|l| l.measures_delay).map_or(0.0, |l| l.duration_secs);
            any_answer |= last.is_some_and(|l| !l.failed);
            if let Some(min_rtt) = route.min_rtt_secs.filter(|min| *min > 0.0) {
                // A set-up pending for less than the minimum gives no information yet.
                let waited = route.oldest_pending_sent_at().map(|sent| nanos_to_secs(now - sent));
                let overdue = waited.filter(|waited| *waited > min_rtt);
                let delay = measured.max(overdue.map_or(0.0, |waited| waited + min_rtt));
                ratios.extend(Some(delay / min_rtt).filter(|r| *r > 0.0));
            }
            last.is_some() || !route.pending.is_empty()
        });
        ratios.sort_unstable_by(f64::total_cmp);
        let quantile = ratios.get(ratios.len().saturating_sub(1) / DELAY_RATIO_QUANTILE);
        // A single silent route is evidence on that route only.
        quantile.filter(|_| any_answer || ratios.len() > 1).map_or(1.0, |r| r.max(1.0))
    }

    /// Gets or creates a route and marks it as used and active.
    fn touch_route(&mut self, now: Nanos, key: RouteKey) -> &mut Route {
        let capacity = MAX_ROUTES_PER_EXCHANGE * self.exchanges.len().max(1);
        if self.routes.len() >= capacity && !self.routes.contains_key(&key) {
            let mut last_used: Vec<Nanos> = self.routes.values().map(|r| r.last_used).collect();
            let median = *last_used.select_nth_unstable(capacity / 2).1;
            self.routes.retain(|_, r| !r.pending.is_empty() || r.last_used > median);
        }
        self.active_routes.insert(key);
        let route = self.routes.entry(key).or_default();
        route.last_used = now;
        route
    }

    /// Records the answer to a set-up. Nothing else lowers the minimum round trip.
    fn record_answer(&mut self, now: Nanos, key: RouteKey, sent: Nanos, target_secs: f64) {
        let duration_secs = nanos_to_secs(now - sent);
        let route = self.touch_route(now, key);
        route.newest_answered_sent_at = route.newest_answered_sent_at.max(sent);
        let min_rtt = route.min_rtt_secs.map_or(duration_secs, |min| min.min(duration_secs));
        route.min_rtt_secs = Some(min_rtt);
        route.last_round_trip = Some(RoundTrip {
            duration_secs,
            ended_at: now,
            measures_delay: true,
            failed: false,
            max_validity_secs: target_secs,
            failure_validity_secs: 0.0,
        });
        route.consecutive_failures = 0;
        self.typical_min_rtt_secs += ROUND_TRIP_SMOOTHING * (min_rtt - self.typical_min_rtt_secs);
        if duration_secs < SILENCE_THRESHOLD_TARGETS * target_secs {
            self.last_prompt_answer_at = now;
        }
    }

    /// Records a rejected or unanswered set-up. In a large network a controller has a call for one
    /// destination only once in many targets. If failures expired after one target, each of these calls would
    /// be sent without any knowledge, and all controllers together would jam a slow exchange. A failure that
    /// is not due to the own processor therefore stays in force until the next call for that destination is
    /// expected, and twice as long once confirmed. The price: calls to an exchange that has recovered in the
    /// meantime.
    fn record_failure(
        &mut self,
        now: Nanos,
        key: RouteKey,
        sent: Nanos,
        target_secs: f64,
        measures_delay: bool,
    ) {
        // A silence while other routes answer promptly is not caused by the own processor.
        let far_side = !measures_delay || nanos_to_secs(now - self.last_prompt_answer_at) < target_secs;
        let interval_secs =
            self.destinations.get(&key.destination).map_or(0.0, |d| d.mean_call_interval_secs);
        let route = self.touch_route(now, key);
        let confirmed =
            route.consecutive_failures > 0 && sent >= route.last_round_trip.map_or(0, |l| l.ended_at);
        route.consecutive_failures = if confirmed { 2 } else { route.consecutive_failures.max(1) };
        let failure_validity_secs = if far_side {
            (interval_secs * f64::from(route.consecutive_failures))
                .min(MAX_FAILURE_VALIDITY_TARGETS * target_secs)
        } else {
            0.0
        };
        let duration_secs = FAILED_SET_UP_RTT_TARGETS * target_secs;
        route.last_round_trip = Some(RoundTrip {
            duration_secs,
            ended_at: now,
            measures_delay,
            failed: true,
            max_validity_secs: target_secs,
            failure_validity_secs,
        });
    }

    /// Pending set-ups of this exchange, plus the one being decided. All pass the own processor, so many sent
    /// at once (a mass redial) are slow before any has been answered. Those on a route that has stopped
    /// answering wait elsewhere and do not count.
    fn pending_set_ups(&mut self, now: Nanos) -> f64 {
        while self.counted_set_ups.first().is_some_and(|oldest| self.is_silent(now, oldest.sent_at)) {
            self.counted_set_ups.pop_first();
        }
        1.0 + self.counted_set_ups.len() as f64
    }

    /// Whether a set-up has been pending for longer than the silence threshold.
    fn is_silent(&self, now: Nanos, sent: Nanos) -> bool {
        nanos_to_secs(now - sent) > SILENCE_THRESHOLD_TARGETS * self.longest_target_secs
    }

    /// Predicted duration of a set-up to `destination` by `exchange`. A tandem call is no faster than either
    /// of its legs.
    fn predict_secs(&self, now: Nanos, destination: u32, exchange: ExchangeId, load: LoadEstimate) -> f64 {
        let unknown = Route::default();
        let predict = |destination: u32, first_hop: ExchangeId| {
            self.routes.get(&RouteKey { destination, first_hop }).unwrap_or(&unknown).predict_secs(now, load)
        };
        let whole_route =
            predict(destination, exchange).max(load.pending_set_ups * self.secs_per_pending_set_up);
        let number = self.exchange_number(exchange).unwrap_or(destination);
        if number == destination {
            return whole_route;
        }
        let second_leg =
            self.machine_in_service(destination).map_or(0.0, |machine| predict(destination, machine));
        whole_route.max(predict(number, exchange)).max(second_leg)
    }

    /// Expected payoff of a set-up predicted to take `predicted_secs`, relative to refusing the call. `work`
    /// is its processor work in direct set-ups, `scarcity` the summed scarcity of the trunk groups it
    /// crosses, `acceptance` the probability that it is not turned back.
    fn expected_payoff(
        &self,
        now: Nanos,
        call: &Call,
        predicted_secs: f64,
        work: f64,
        scarcity: f64,
        acceptance: f64,
    ) -> f64 {
        let class = &self.settings.classes[call.request.class];
        let target_secs = nanos_to_secs(class.delay_target);
        let deviation = self.error_variance.sqrt().max(MIN_ERROR_DEVIATION_TARGETS * target_secs);
        let secs_left = |until: Nanos| until as f64 * 1e-9 - now as f64 * 1e-9;
        let on_time = normal_cdf((secs_left(call.on_time_until) - predicted_secs) / deviation);
        let late =
            (normal_cdf((secs_left(call.final_answer_by) - predicted_secs) / deviation) - on_time).max(0.0);
        let failed = 1.0 - on_time - late;
        let gain = class.worth * (on_time + class.late_worth_share * late);
        let loss = class.worth * (FAILURE_COST_SHARE + self.settings.late_failure_penalty) * failed;
        // Capped at the call's own worth, so that circuit cost never prices a class off its direct route.
        let displaced_worth =
            (class.circuit_seconds() / self.mean_circuit_secs * self.mean_worth).min(class.worth);
        let work_cost = SET_UP_TIME_COST_MEAN_WORTHS * work * predicted_secs / target_secs * self.mean_worth;
        acceptance * (gain - loss - CIRCUIT_COST_SHARE * scarcity * displaced_worth) - work_cost
    }

    /// Scarcity of circuits in a group for a call of `width` circuits: 0 ample, 1 none to spare.
    fn circuit_scarcity(&self, group: TrunkGroup, width: u32) -> f64 {
        (1.0 - (group.free - f64::from(width)) / (AMPLE_CIRCUITS_SQRT_SIZES * group.size.max(1.0).sqrt()))
            .clamp(0.0, 1.0)
    }

    /// The own trunk group to an exchange.
    fn trunk_group(&self, exchange: ExchangeId) -> TrunkGroup {
        self.exchange_number(exchange)
            .and_then(|n| self.trunk_groups.get(&n))
            .copied()
            .unwrap_or(UNREPORTED_GROUP)
    }

    fn trunk_group_mut(&mut self, exchange: ExchangeId) -> &mut TrunkGroup {
        let number = self.exchange_number(exchange).unwrap_or(u32::MAX);
        self.trunk_groups.entry(number).or_insert(UNREPORTED_GROUP)
    }

    fn exchange_number(&self, exchange: ExchangeId) -> Option<u32> {
        self.exchanges.get(&exchange).map(|x| x.number)
    }

    fn machine_in_service(&self, number: u32) -> Option<ExchangeId> {
        self.machines_in_service.get(&number).copied()
    }

    /// Whether the trunk group to an exchange has room for a call. The last circuits are reserved against
    /// tandem calls that are not urgent.
    fn has_room(&self, exchange: ExchangeId, call: &Call, tandem: bool) -> bool {
        let (group, class) = (self.trunk_group(exchange), &self.settings.classes[call.request.class]);
        let urgent = class.worth * self.mean_circuit_secs
            >= URGENT_WORTH_DENSITY_RATIO * self.mean_worth * class.circuit_seconds();
        let reserve = if tandem && !urgent { TANDEM_RESERVE_SQRT_SIZES } else { 0.0 };
        group.free >= f64::from(call.request.width) + (reserve * group.size.sqrt()).ceil()
    }

    /// Selects a route for a call without a current attempt; `None` if no route has a positive payoff.
    fn select_route(&mut self, now: Nanos, call: &Call) -> Option<RouteChoice> {
        let destination = call.request.destination;
        let direct =
            self.machine_in_service(destination).filter(|_| Some(destination) != self.settings.home_exchange);
        let candidates = match self.settings.topology {
            Topology::Pools => self.candidate_pools(call),
            Topology::Mesh => vec![direct?],
        };
        let predictor_now = self.predictor_time(now);
        let (delay_ratio, pending_set_ups) =
            (self.current_delay_ratio(predictor_now), self.pending_set_ups(predictor_now));
        let load = LoadEstimate {
            delay_ratio,
            pending_set_ups,
            typical_min_rtt_secs: self.typical_min_rtt_secs,
            longest_target_secs: self.longest_target_secs,
        };
        let mut blocked = false;
        for exchange in candidates {
            let predicted_secs =
                self.predict_secs(predictor_now, self.exchanges[&exchange].number, exchange, load);
            let scarcity = self.circuit_scarcity(self.trunk_group(exchange), call.request.width);
            let wait = self.cold_start_wait(now, exchange);
            if self.expected_payoff(now + wait, call, predicted_secs, 1.0, scarcity, 1.0) <= 0.0 {
                continue;
            }
            if self.has_room(exchange, call, call.request.in_transit)
                && !call.attempted_exchanges.contains(&exchange)
            {
                return Some(RouteChoice { exchange, predicted_secs, wait });
            }
            blocked = true;
        }
        if !blocked || call.request.in_transit || self.settings.topology == Topology::Pools {
            return None; // a call in transit goes to its destination or is turned back
        }
        self.select_tandem(now, call, load)
    }

    /// Pools that can serve the call: its first choice, the advised one, then all others.
    fn candidate_pools(&self, call: &Call) -> Vec<ExchangeId> {
        let serving_pools = &self.settings.classes[call.request.class].pools;
        let preferred = [Some(call.request.destination), call.request.advised_route].into_iter().flatten();
        let mut candidates = Vec::new();
        for number in preferred.chain(self.exchanges.values().map(|x| x.number)) {
            let can_serve = serving_pools.is_empty() || serving_pools.contains(&number);
            let new = self.machine_in_service(number).filter(|x| can_serve && !candidates.contains(x));
            candidates.extend(new);
        }
        candidates
    }

    /// Selects a tandem: the advised one, the last good one, or a random one.
    fn select_tandem(&mut self, now: Nanos, call: &Call, load: LoadEstimate) -> Option<RouteChoice> {
        let destination = call.request.destination;
        // The tandem's group to the destination is unknown; the mean of the own groups stands in for it.
        let groups = self.trunk_groups.values().filter(|g| g.size > 0.0);
        let group_count = groups.clone().count().max(1) as f64;
        let second_leg_scarcity =
            groups.map(|g| self.circuit_scarcity(*g, call.request.width)).sum::<f64>() / group_count;
        let advised = call.request.advised_route.and_then(|n| self.machine_in_service(n));
        let suitable = |id: ExchangeId| {
            let exchange = self.exchanges.get(&id)?;
            let other =
                exchange.number != destination && Some(exchange.number) != self.settings.home_exchange;
            if !other
                || self.machine_in_service(exchange.number) != Some(id)
                || call.attempted_exchanges.contains(&id)
            {
                return None;
            }
            if !self.has_room(id, call, true) || self.cold_start_wait(now, id) > 0 {
                return None;
            }
            let predicted_secs = self.predict_secs(self.predictor_time(now), destination, id, load);
            let scarcity =
                self.circuit_scarcity(self.trunk_group(id), call.request.width) + second_leg_scarcity;
            let acceptance = self.tandem_acceptance[usize::from(Some(id) == advised)];
            Some(RouteChoice { exchange: id, predicted_secs, wait: 0 })
                .filter(|_| self.expected_payoff(now, call, predicted_secs, 1.5, scarcity, acceptance) > 0.0)
        };
        let last_good = self.destinations.get(&destination).and_then(|d| d.last_good_tandem);
        if let Some(preferred) = [advised, last_good].into_iter().flatten().find_map(suitable) {
            return Some(preferred);
        }
        let candidates: Vec<_> = self.exchanges.keys().copied().filter_map(suitable).collect();
        if candidates.is_empty() {
            return None;
        }
        let index = self.rng.next_u64() % candidates.len() as u64;
        Some(candidates[index as usize])
    }

    /// Interval between set-ups to a cold exchange: this controller's share of the set-ups that the exchange
    /// can certainly take, evenly spaced. With a share of less than one set-up per overload window, the
    /// interval is longer than the window.
    fn cold_send_interval(&self) -> Nanos {
        // The capacity of a warm exchange is estimated from the peak rate carried here. The present rate is
        // lowest just when exchanges have failed and come back cold.
        let cold_start = &self.settings.cold_start;
        let sends_per_sec = cold_start.overload_factor
            * cold_start.initial_capacity_share
            * WARM_SET_UPS_PER_CARRIED_CALL
            * self.peak_carried_rate
            / f64::from(self.settings.controller_count);
        secs_to_nanos(
            (1.0 / sends_per_sec)
                .min(nanos_to_secs(cold_start.overload_window) * f64::from(self.settings.controller_count)),
        )
    }

    /// How long a set-up to an exchange has to wait for its turn in the cold-start budget.
    fn cold_start_wait(&self, now: Nanos, exchange: ExchangeId) -> Nanos {
        let rule = &self.settings.cold_start;
        let exchange = self.exchanges.get(&exchange).filter(|_| rule.overload_window > 0);
        let cold = exchange.filter(|x| x.since.is_some_and(|start| now < start + rule.max_duration));
        cold.map_or(0, |x| x.next_cold_send.saturating_sub(now))
    }

    fn is_number_busy(&self, now: Nanos, number: Option<NumberId>) -> bool {
        number.and_then(|n| self.dialled_numbers.get(&n)).is_some_and(|n| now < n.busy_until)
    }

    fn back_off_busy_number(&mut self, now: Nanos, number: Option<NumberId>) {
        if let Some(number) = number.and_then(|n| self.dialled_numbers.get_mut(&n)) {
            number.busy_until = now + secs_to_nanos(number.next_backoff_secs);
            number.next_backoff_secs = (2.0 * number.next_backoff_secs).min(BUSY_NUMBER_MAX_BACKOFF_SECS);
        }
    }

    /// Returns when the caller first tried: a number dialled before and not reached is taken for a redial.
    /// Otherwise each redial would get a new delay target here although the caller counts from its first try,
    /// and calls that can only be late would take the circuits of calls on time. Two callers of one number
    /// are taken for one; the second call then merely seems later than it is.
    fn track_first_try(&mut self, now: Nanos, request: &NewCall, redial_span: Nanos) -> Nanos {
        let Some(number) = request.dialled.filter(|_| !request.after_cut && !request.in_transit) else {
            return now;
        };
        if self.dialled_numbers.len() >= MAX_DIALLED_NUMBERS {
            self.dialled_numbers.retain(|_, n| now < n.first_try_at + redial_span || now < n.busy_until);
            if self.dialled_numbers.len() >= MAX_DIALLED_NUMBERS {
                self.dialled_numbers.clear();
            }
        }
        let new = DialledNumber {
            first_try_at: now,
            busy_until: 0,
            next_backoff_secs: BUSY_NUMBER_FIRST_BACKOFF_SECS,
        };
        let number = self.dialled_numbers.entry(number).or_insert(new);
        if now >= number.first_try_at + redial_span {
            number.first_try_at = now;
        }
        number.first_try_at
    }

    fn handle_list_update(
        &mut self,
        now: Nanos,
        kind: ListUpdate,
        entries: Vec<Entry>,
        actions: &mut Vec<Action>,
    ) {
        if kind == ListUpdate::Unavailable {
            return actions.push(Action::SetTimer(LIST_RETRY_TOKEN, now + secs_to_nanos(LIST_RETRY_SECS)));
        }
        if kind != ListUpdate::Changes {
            let listed: BTreeSet<ExchangeId> = entries.iter().map(|e| e.exchange).collect();
            self.exchanges.retain(|id, _| listed.contains(id));
        }
        let interval = self.cold_send_interval();
        for Entry { exchange, number, since, standing: state, .. } in entries {
            let known = self.exchanges.get(&exchange).filter(|x| x.since == since);
            // All controllers learn of a start at once, so each draws its own first moment in the interval.
            let initial = || (now + self.rng.next_u64() % interval.max(1), 0.0);
            let (next_cold_send, fault_share) =
                known.map_or_else(initial, |x| (x.next_cold_send, x.fault_share));
            self.exchanges.insert(exchange, Exchange { number, since, state, next_cold_send, fault_share });
        }
        self.exchanges.retain(|_, x| x.state != ExchangeState::Gone);
        // Machines and numbers that are gone for good must not accumulate in a long run.
        self.routes.retain(|key, r| self.exchanges.contains_key(&key.first_hop) || !r.pending.is_empty());
        self.destinations
            .retain(|_, d| nanos_to_secs(now - d.last_call_at.unwrap_or(now)) < PEAK_RATE_DECAY_SECS);
        // A draining machine gets no set-up. Of several machines in service with the same number, the last
        // started is used.
        self.machines_in_service.clear();
        for (id, exchange) in self.exchanges.iter().filter(|(_, x)| x.state == ExchangeState::Up) {
            let in_service = self.machines_in_service.entry(exchange.number).or_insert(*id);
            if self.exchanges[in_service].since <= exchange.since {
                *in_service = *id;
            }
        }
        if !self.list_requested {
            self.request_list(actions);
        }
    }

    fn request_list(&mut self, actions: &mut Vec<Action>) {
        if self.settings.list_on_request {
            self.list_requested = true;
            actions.push(Action::Subscribe);
        }
    }

    fn handle_call_offered(&mut self, now: Nanos, request: NewCall, actions: &mut Vec<Action>) {
        let id = request.call;
        let Some(class) = self.settings.classes.get(request.class) else {
            return actions.push(Action::Fail(id));
        };
        if !request.in_transit {
            self.mean_worth += CALL_MEAN_SMOOTHING * (class.worth - self.mean_worth);
            self.mean_circuit_secs +=
                CALL_MEAN_SMOOTHING * (class.circuit_seconds() - self.mean_circuit_secs);
        }
        let first_call_at = *self.first_call_at.get_or_insert(now);
        if self.machines_in_service.contains_key(&request.destination) {
            let destination = self.destinations.entry(request.destination).or_default();
            let interval_secs = nanos_to_secs(now - destination.last_call_at.unwrap_or(first_call_at));
            destination.mean_call_interval_secs += if destination.last_call_at.is_some() {
                CALL_INTERVAL_SMOOTHING * (interval_secs - destination.mean_call_interval_secs)
            } else {
                interval_secs
            };
            destination.last_call_at = Some(now);
        }
        let final_answer_by =
            request.deadline.saturating_sub(FINAL_ANSWER_MARGIN_TICKS * self.settings.tick).max(now);
        let (delay_target, redial_span) = (class.delay_target, class.deadline);
        let on_time_until =
            (self.track_first_try(now, &request, redial_span) + delay_target).min(final_answer_by);
        let call = Call {
            request,
            on_time_until,
            final_answer_by,
            attempt_count: 0,
            current_attempt: None,
            stands: false,
            final_answer_given: false,
            not_before: now,
            may_have_run: false,
            attempted_exchanges: Vec::new(),
        };
        actions.push(Action::SetTimer(id, final_answer_by));
        self.pauses.call_offered_at(now);
        self.watch_for_pauses(now, actions);
        self.calls.insert(id, call);
        if self.pauses.pause_ended_at(now) {
            // Part of the backlog of a pause, which may also hold list updates behind this call. Deciding by
            // timer puts the call after all events of this moment.
            return actions.push(Action::SetTimer(id, now));
        }
        self.advance_call(now, id, actions);
    }

    /// Takes the next step of a call: sends it, waits, or gives the final answer.
    fn advance_call(&mut self, now: Nanos, id: CallId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get(&id).filter(|c| !c.final_answer_given && !c.stands) else { return };
        if now >= call.final_answer_by {
            if let (Some(attempt), true) = (call.current_attempt, self.settings.may_cancel) {
                actions.push(Action::CancelAttempt { call: id, attempt: attempt.number });
            }
            return self.give_final_answer(now, id, false, actions);
        }
        if call.current_attempt.is_some() {
            return;
        }
        if now < call.not_before {
            return actions.push(Action::SetTimer(id, call.not_before));
        }
        let may_send = call.attempt_count < self.settings.max_attempts
            && !self.is_number_busy(now, call.request.dialled);
        let call = call.clone();
        match if may_send { self.select_route(now, &call) } else { None } {
            Some(RouteChoice { exchange, predicted_secs, wait: 0 }) => {
                self.send_set_up(now, id, exchange, predicted_secs, actions)
            }
            Some(RouteChoice { wait, .. }) => actions.push(Action::SetTimer(id, now + wait)),
            None => self.give_final_answer(now, id, true, actions),
        }
    }

    fn send_set_up(
        &mut self,
        now: Nanos,
        id: CallId,
        exchange: ExchangeId,
        predicted_secs: f64,
        actions: &mut Vec<Action>,
    ) {
        let number = self.exchange_number(exchange);
        let Some(call) = self.calls.get_mut(&id) else { return };
        let acceptance_index =
            usize::from(call.request.advised_route.is_some() && call.request.advised_route == number);
        let timeout = call.final_answer_by - now;
        let attempt = call.attempt_count;
        call.attempt_count += 1;
        call.attempted_exchanges.push(exchange);
        let key = RouteKey { destination: call.request.destination, first_hop: exchange };
        self.trunk_group_mut(exchange).free -= f64::from(call.request.width);
        let interval = self.cold_send_interval();
        self.exchanges.entry(exchange).and_modify(|x| x.next_cold_send = now + interval);
        let sent_at = self.predictor_time(now);
        let pending_when_sent = self.pending_set_ups(sent_at);
        let route = self.touch_route(sent_at, key);
        let predicted_secs = route.min_rtt_secs.map(|_| predicted_secs);
        route.pending.push(PendingSetUp { sent_at, call: id });
        self.counted_set_ups.insert(PendingSetUp { sent_at, call: id });
        if let Some(call) = self.calls.get_mut(&id) {
            call.current_attempt = Some(Attempt {
                number: attempt,
                exchange,
                sent_at,
                predicted_secs,
                pending_when_sent,
                acceptance_index,
            });
        }
        actions.push(Action::SendSetUp { call: id, exchange, timeout });
    }

    fn remove_pending_set_up(&mut self, key: RouteKey, set_up: PendingSetUp) {
        self.counted_set_ups.remove(&set_up);
        if let Some(route) = self.routes.get_mut(&key) {
            route.pending.retain(|p| *p != set_up);
        }
    }

    /// Updates an exchange's share of unexplained failures: 1 for such a failure, 0 for a call that stands.
    fn update_fault_share(&mut self, exchange: ExchangeId, fault: f64) {
        self.exchanges
            .entry(exchange)
            .and_modify(|x| x.fault_share += SHARE_SMOOTHING * (fault - x.fault_share));
    }

    /// Gives the final answer of a call. A refusal lets the caller redial, so a call that must not run twice
    /// and may have run fails instead.
    fn give_final_answer(&mut self, now: Nanos, id: CallId, refuse: bool, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.final_answer_given = true;
        let still_on_time = now < call.on_time_until;
        let targets = if still_on_time { RETRY_AFTER_ON_TIME_TARGETS } else { RETRY_AFTER_LATE_TARGETS };
        let retry_after =
            secs_to_nanos(targets * self.longest_target_secs).min(self.settings.max_retry_after.unwrap_or(0));
        let safe_to_redial = self.settings.classes[call.request.class].idempotent
            || !(call.may_have_run || call.current_attempt.is_some());
        actions.push(if refuse && safe_to_redial {
            Action::Refuse { call: id, retry_after }
        } else {
            Action::Fail(id)
        });
        self.remove_if_ended(id);
    }

    fn remove_if_ended(&mut self, id: CallId) {
        if self.calls.get(&id).is_some_and(|c| c.final_answer_given && c.current_attempt.is_none()) {
            self.calls.remove(&id);
        }
    }

    fn handle_call_stands(&mut self, now: Nanos, id: CallId, attempt: u32) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Some(attempt) = call.current_attempt.filter(|a| a.number == attempt) else { return };
        call.stands = true;
        call.final_answer_given = true;
        let class = &self.settings.classes[call.request.class];
        let (destination, dialled, target_secs) =
            (call.request.destination, call.request.dialled, nanos_to_secs(class.delay_target));
        let key = RouteKey { destination, first_hop: attempt.exchange };
        self.remove_pending_set_up(key, PendingSetUp { sent_at: attempt.sent_at, call: id });
        let answered_at = self.predictor_time(now);
        let elapsed = answered_at - attempt.sent_at;
        // The duration of a retransmitted set-up includes the retransmission intervals: it counts for its own
        // route, but not for the load or the prediction error (compare Karn's algorithm).
        let not_retransmitted =
            self.settings.retransmit_interval == 0 || elapsed < self.settings.retransmit_interval;
        self.record_answer(answered_at, key, attempt.sent_at, target_secs);
        self.update_fault_share(attempt.exchange, 0.0);
        if let (Some(predicted_secs), true) = (attempt.predicted_secs, not_retransmitted) {
            let error_secs = nanos_to_secs(elapsed) - predicted_secs;
            self.secs_per_pending_set_up += ROUND_TRIP_SMOOTHING
                * (nanos_to_secs(elapsed) / attempt.pending_when_sent - self.secs_per_pending_set_up);
            self.error_variance += ERROR_VARIANCE_SMOOTHING * (error_secs * error_secs - self.error_variance);
        }
        if let Some(n) = dialled.filter(|n| self.dialled_numbers.get(n).is_some_and(|n| n.busy_until == 0)) {
            self.dialled_numbers.remove(&n);
        }
        let since_update = nanos_to_secs(now - self.carried_rate_updated_at);
        self.carried_rate = self.carried_rate * libm::exp(-since_update / CARRIED_RATE_SPAN_SECS)
            + 1.0 / CARRIED_RATE_SPAN_SECS;
        // Corrects the bias of a rate that has been measured for less than the averaging span.
        let measured_secs = nanos_to_secs(now - self.first_call_at.unwrap_or(now));
        let corrected_rate = self.carried_rate
            / (1.0 - libm::exp(-measured_secs / CARRIED_RATE_SPAN_SECS)).max(MIN_RATE_BIAS_CORRECTION);
        self.peak_carried_rate =
            corrected_rate.max(self.peak_carried_rate * libm::exp(-since_update / PEAK_RATE_DECAY_SECS));
        self.carried_rate_updated_at = now;
        if self.exchange_number(attempt.exchange).is_some_and(|n| n != destination) {
            self.destinations.entry(destination).or_default().last_good_tandem = Some(attempt.exchange);
            self.tandem_acceptance[attempt.acceptance_index] +=
                SHARE_SMOOTHING * (1.0 - self.tandem_acceptance[attempt.acceptance_index]);
        }
    }

    fn handle_attempt_ended(&mut self, now: Nanos, end: AttemptEnd, actions: &mut Vec<Action>) {
        let AttemptEnd { call: id, attempt, outcome, cause, call_over } = end;
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Some(attempt) = call.current_attempt.filter(|a| a.number == attempt) else { return };
        call.current_attempt = None;
        call.final_answer_given |= call_over;
        let (destination, dialled, stood) = (call.request.destination, call.request.dialled, call.stands);
        let (target_secs, width) = (
            nanos_to_secs(self.settings.classes[call.request.class].delay_target),
            f64::from(call.request.width),
        );
        let never_ran = matches!(outcome, Outcome::Rejected | Outcome::Unreachable | Outcome::NotSent);
        call.may_have_run |= !never_ran;
        if matches!(outcome, Outcome::TimedOut | Outcome::Cut | Outcome::CalledOff) {
            call.not_before = now + self.settings.release_wait;
        }
        let key = RouteKey { destination, first_hop: attempt.exchange };
        self.remove_pending_set_up(key, PendingSetUp { sent_at: attempt.sent_at, call: id });
        if !stood {
            let unanswered = matches!(outcome, Outcome::TimedOut | Outcome::CalledOff);
            let rejected = matches!(outcome, Outcome::Rejected | Outcome::Unreachable);
            let ended_at = self.predictor_time(now);
            // An unanswered set-up that ended before the silence threshold is no evidence.
            if rejected || unanswered && self.is_silent(ended_at, attempt.sent_at) {
                self.record_failure(ended_at, key, attempt.sent_at, target_secs, unanswered);
                let full_machine =
                    self.machine_in_service(destination).filter(|_| cause == Cause::FullBeyond);
                if let Some(machine) = full_machine {
                    let direct_route = RouteKey { destination, first_hop: machine };
                    self.record_failure(ended_at, direct_route, attempt.sent_at, target_secs, false);
                }
            }
            match (outcome, cause) {
                (Outcome::Failed, Cause::NumberBusy) => self.back_off_busy_number(now, dialled),
                (Outcome::Failed, Cause::Untold) => self.update_fault_share(attempt.exchange, 1.0),
                // Until the next report, fewer circuits than this call needs are assumed to be free.
                (Outcome::NotSent, Cause::NoCircuit) => {
                    self.trunk_group_mut(attempt.exchange).free = width - 1.0
                }
                _ => {}
            }
            if self.exchange_number(attempt.exchange).is_some_and(|n| n != destination) {
                self.destinations.entry(destination).or_default().last_good_tandem = None;
                self.tandem_acceptance[attempt.acceptance_index] -= if rejected {
                    SHARE_SMOOTHING * self.tandem_acceptance[attempt.acceptance_index]
                } else {
                    0.0
                };
            }
        }
        let unexplained = (outcome, cause) == (Outcome::Failed, Cause::Untold);
        let exchange_fault = unexplained
            && self.exchanges.get(&attempt.exchange).is_some_and(|x| x.fault_share > FAULTY_EXCHANGE_SHARE);
        let Some(call) = self.calls.get_mut(&id) else { return };
        if call.final_answer_given {
            return self.remove_if_ended(id);
        }
        // An exchange fault or a broken connection does not rule out the same route for the next attempt.
        call.attempted_exchanges
            .retain(|x| *x != attempt.exchange || !exchange_fault && outcome != Outcome::Cut);
        if call.may_have_run && !self.settings.classes[call.request.class].idempotent {
            return self.give_final_answer(now, id, false, actions);
        }
        // `ProcessorFull` with `NotSent` means that the own processor is down.
        let own_processor_down = outcome == Outcome::NotSent && matches!(cause, Cause::ProcessorFull(_));
        if stood || own_processor_down || outcome == Outcome::Failed && !exchange_fault {
            return self.give_final_answer(now, id, true, actions);
        }
        self.advance_call(now, id, actions);
    }
}
