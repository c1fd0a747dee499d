//! Callers: call arrivals, tries, timeouts and redials. Also the calls in transit that a tandem offers to its own
//! controller, which use the same connections and messages.

use std::collections::BTreeMap;

use dillhold::codec::binary::{self, kind, param};
use dillhold::session::ReadBuffer;
use pitchgw::interface::Nanos;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1};

use super::nodes::LegState;
use super::processor::JobKind;
use super::{
    seconds_to_nanos, Action, Endpoint, Event, SimConnectionId, World, CAUSE_NORMAL_CLEARING, MS,
    RECONNECT_DELAY,
};
use crate::audit::{Observation, ANSWER_GRACE};
use crate::report::{CallOutcome, LostCall};
use crate::script::Script;

/// A set-up sent less than this before its connection closed is sent again, once.
const RESEND_WINDOW: Nanos = 50 * MS;
/// Number of pieces of a set-up that is sent in pieces.
const PIECE_COUNT: Nanos = 3;
/// Time between two pieces.
const PIECE_INTERVAL: Nanos = 30 * MS;
/// Inter-arrival times are drawn again at least this often, because the arrival rate may have changed.
const MAX_ARRIVAL_GAP_SECONDS: f64 = 0.25;
/// Q.850 causes that count as a refusal rather than a failure: no circuit available, switching
/// equipment congestion, recovery on timer expiry.
const REFUSAL_CAUSES: [u8; 3] = [34, 42, 102];

/// A call that a caller wants to make, over all its tries.
#[derive(Clone, Debug)]
pub(super) struct CallIntent {
    pub class: usize,
    pub origin: usize,
    pub destination: usize,
    pub first_try_at: Nanos,
    hold_time: Nanos,
    called_number: u64,
    follows_retry_advice: bool,
    redials_after_cut: bool,
    tries: u32,
    /// Id of the current try.
    pub call_id: u64,
    was_cut: bool,
    pub stands_since: Option<Nanos>,
    last_outcome: CallOutcome,
}

/// Where a call offered to a controller comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallOwner {
    /// A caller, by intent id.
    Caller(u64),
    /// A call in transit, by the id of the leg that brought it.
    Transit(u64),
}

/// A call offered to a controller, as the caller's side sees it.
#[derive(Clone, Debug)]
pub(super) struct OfferedCall {
    pub owner: CallOwner,
    pub destination: usize,
    pub class: usize,
    pub stands: bool,
    connection_id: SimConnectionId,
    sent_at: Nanos,
    resent: bool,
    /// The encoded set-up, kept for sending it again.
    message: Vec<u8>,
}

/// How a set-up is sent to a controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DeliveryMode {
    /// On one of the shared connections.
    Pooled,
    /// On a dedicated connection, whose sending direction is shut down after the set-up.
    HalfClosed,
    /// On a dedicated connection, in several pieces.
    Pieces,
}

impl DeliveryMode {
    /// Returns the time from the first byte of the set-up to the last.
    fn duration(self) -> Nanos {
        match self {
            DeliveryMode::Pooled | DeliveryMode::HalfClosed => 0,
            DeliveryMode::Pieces => PIECE_INTERVAL * (PIECE_COUNT - 1),
        }
    }
}

/// State of all callers.
pub(super) struct CallerState {
    /// By node, the random numbers of its call arrivals.
    arrival_rngs: Vec<ChaCha8Rng>,
    /// By node, whether its next arrival event is a call, rather than only the time to draw again.
    next_is_call: Vec<bool>,
    /// By controller, the shared connections of its callers.
    connection_pools: Vec<Vec<Option<SimConnectionId>>>,
    /// By controller and call id.
    pub offered_calls: BTreeMap<(usize, u64), OfferedCall>,
    next_intent: u64,
    /// By node, the load factors of active script events, by event.
    pub demand_factors: Vec<BTreeMap<usize, f64>>,
    /// Number of active script events in which callers ignore retry advice.
    pub ignore_advice_events: u32,
}

impl CallerState {
    pub fn new(script: &Script, seed: u64) -> CallerState {
        let nodes = script.nodes as usize;
        let stream = |n| {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            rng.set_stream(1000 + n as u64);
            rng
        };
        CallerState {
            arrival_rngs: (0..nodes).map(stream).collect(),
            next_is_call: vec![false; nodes],
            connection_pools: vec![vec![None; script.callers.connections as usize]; nodes],
            offered_calls: BTreeMap::new(),
            next_intent: 0,
            demand_factors: vec![BTreeMap::new(); nodes],
            ignore_advice_events: 0,
        }
    }
}

impl World {
    /// Draws the time of a node's next call. Inter-arrival times are exponential and so memoryless: drawing again
    /// after a while follows a changing rate.
    pub(super) fn schedule_arrival(&mut self, origin: usize) {
        let demand: f64 = self.callers.demand_factors[origin].values().product();
        let script = &self.script;
        let rate = script.planned_calls.0 / f64::from(script.nodes)
            * script.load.0
            * script.profile_at(self.elapsed_seconds())
            * demand;
        let draw: f64 = Exp1.sample(&mut self.callers.arrival_rngs[origin]);
        let gap = draw / rate.max(1e-9);
        self.callers.next_is_call[origin] = gap <= MAX_ARRIVAL_GAP_SECONDS;
        self.schedule_in(seconds_to_nanos(gap.min(MAX_ARRIVAL_GAP_SECONDS)), Event::Arrival { node: origin });
    }

    pub(super) fn arrival(&mut self, origin: usize) {
        if self.now >= self.arrivals_end {
            return;
        }
        if self.callers.next_is_call[origin] {
            let script = &self.script;
            let rng = &mut self.callers.arrival_rngs[origin];
            let shares: f64 = script.classes.iter().map(|c| c.share.0).sum();
            let mut remaining = rng.random::<f64>() * shares;
            let drawn_class = script.classes.iter().position(|c| {
                remaining -= c.share.0;
                remaining < 0.0
            });
            let class = drawn_class.unwrap_or(0);
            let hold: f64 = Exp1.sample(rng);
            let intent = CallIntent {
                class,
                origin,
                destination: self.network.draw_destination(origin, rng.random()),
                first_try_at: self.now,
                hold_time: seconds_to_nanos(hold * script.classes[class].hold.0),
                called_number: rng.random(),
                follows_retry_advice: rng.random::<f64>() < script.callers.heed.0,
                redials_after_cut: rng.random::<f64>() < script.callers.cut_again.0,
                tries: 0,
                call_id: 0,
                was_cut: false,
                stands_since: None,
                last_outcome: CallOutcome::Failed,
            };
            let intent_id = self.callers.next_intent;
            self.callers.next_intent += 1;
            self.statistics.record_offered(class, self.elapsed_seconds());
            self.intents.insert(intent_id, intent);
            self.start_try(intent_id);
        }
        self.schedule_arrival(origin);
    }

    /// Starts a caller's next try.
    pub(super) fn start_try(&mut self, intent_id: u64) {
        let Some(intent) = self.intents.get_mut(&intent_id) else { return };
        let class = &self.script.classes[intent.class];
        let gives_up_at = intent.first_try_at + seconds_to_nanos(class.deadline.0);
        let (now, try_timeout) =
            (self.now, seconds_to_nanos(class.deadline.0 * self.script.callers.patience.0));
        let wait = try_timeout.min(gives_up_at.saturating_sub(now));
        intent.tries += 1;
        intent.call_id = self.rng.random::<u64>().max(1);
        let (call_id, origin, tries) = (intent.call_id, intent.origin, intent.tries);
        let (number, destination, class_index, redial_after_cut) =
            (intent.called_number, intent.destination, intent.class, intent.was_cut);
        if !self.is_reachable_by_callers(origin) {
            return self.handle_failed_try(intent_id, CallOutcome::Failed, None);
        }
        self.enqueue_job(origin, self.script.processor.look.0, JobKind::Other);
        let tandem =
            if self.script.advice.given { self.network.advised_tandem(origin, destination) } else { None };
        let via = tandem.map_or(-1, |t| t as i64);
        let mut attributes =
            format!("dest:{destination};width:{};via:{via}", self.script.classes[class_index].width);
        if redial_after_cut {
            attributes.push_str(";again:1");
        }
        let number = format!("{number:016x}");
        let owner = CallOwner::Caller(intent_id);
        self.offer_call(
            origin,
            call_id,
            owner,
            (class_index, destination, wait),
            &number,
            &attributes,
            &session_description(call_id),
        );
        // The caller accepts answers for a grace period after the deadline; the auditor checks the deadline itself.
        let longest_delivery = DeliveryMode::Pieces.duration();
        let grace =
            if self.script.callers.pieces.0 > 0.0 { ANSWER_GRACE + longest_delivery } else { ANSWER_GRACE };
        self.schedule_in(wait + grace, Event::CallerTimeout { intent_id, tries });
    }

    /// Sends a set-up to a controller.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn offer_call(
        &mut self,
        controller: usize,
        id: u64,
        owner: CallOwner,
        (class, destination, wait): (usize, usize, Nanos),
        number: &str,
        attributes: &str,
        description: &[u8],
    ) {
        let class_name = self.script.classes[class].name.clone();
        let mut message = Vec::new();
        let timeout_ms = (wait / MS).max(1).to_string();
        binary::write(
            &mut message,
            kind::SET_UP,
            id,
            &[
                (param::CLASS, class_name.as_bytes()),
                (param::TIMEOUT_MS, timeout_ms.as_bytes()),
                (param::CALLED_NUMBER, number.as_bytes()),
                (param::ATTRIBUTES, attributes.as_bytes()),
                (param::DESCRIPTION, description),
            ],
        );
        let delivery_mode = self.draw_delivery_mode(controller, owner);
        let parent_call = match owner {
            CallOwner::Transit(leg_id) => self.legs.get(&leg_id).map(|leg| leg.call_id),
            CallOwner::Caller(_) => None,
        };
        let connection_id = match delivery_mode {
            DeliveryMode::Pooled => self.pool_connection(controller, id),
            DeliveryMode::HalfClosed | DeliveryMode::Pieces => self.dedicated_connection(controller),
        };
        let sent_at = self.now + delivery_mode.duration();
        let call = OfferedCall {
            owner,
            destination,
            class,
            stands: false,
            connection_id,
            sent_at,
            resent: false,
            message: Vec::new(),
        };
        self.callers.offered_calls.insert((controller, id), call);
        self.auditor.observe(
            self.now,
            Observation::SetUpFromCaller {
                controller,
                id,
                class: &class_name,
                number,
                description,
                timeout: wait + delivery_mode.duration(),
                destination,
                parent_call,
            },
        );
        self.send_set_up(connection_id, delivery_mode, controller, &message);
        if let Some(call) = self.callers.offered_calls.get_mut(&(controller, id)) {
            call.message = message;
        }
    }

    /// Draws how a set-up is sent. Calls in transit always use the shared connections.
    fn draw_delivery_mode(&mut self, controller: usize, owner: CallOwner) -> DeliveryMode {
        let callers = &self.script.callers;
        let (half_close, pieces) = (callers.half_close.0, callers.pieces.0);
        if half_close + pieces == 0.0
            || matches!(owner, CallOwner::Transit(_))
            || !self.in_rotation[controller]
        {
            return DeliveryMode::Pooled;
        }
        match self.rng.random::<f64>() {
            draw if draw < half_close => DeliveryMode::HalfClosed,
            draw if draw < half_close + pieces => DeliveryMode::Pieces,
            _ => DeliveryMode::Pooled,
        }
    }

    /// Opens a connection for a single call.
    fn dedicated_connection(&mut self, controller: usize) -> SimConnectionId {
        let connection_id = self.new_connection(controller, Endpoint::Callers, false);
        self.actions.push_back(Action::Connect { connection_id, controller });
        connection_id
    }

    fn send_set_up(
        &mut self,
        connection_id: SimConnectionId,
        delivery_mode: DeliveryMode,
        controller: usize,
        message: &[u8],
    ) {
        if delivery_mode != DeliveryMode::Pieces {
            self.send(connection_id, message);
        }
        match delivery_mode {
            DeliveryMode::Pooled => {}
            DeliveryMode::HalfClosed => {
                self.actions.push_back(Action::ShutdownWrite { connection_id, controller })
            }
            DeliveryMode::Pieces => {
                let pieces = message.chunks(message.len().div_ceil(PIECE_COUNT as usize));
                for (number, piece) in pieces.enumerate() {
                    self.schedule_in(
                        PIECE_INTERVAL * number as Nanos,
                        Event::SendBytes { connection_id, bytes: piece.to_vec() },
                    );
                }
            }
        }
    }

    /// Whether callers can reach a controller. One that is shutting down gets no new connections, but open ones are
    /// still used.
    pub(super) fn is_reachable_by_callers(&self, controller: usize) -> bool {
        self.in_rotation[controller]
            || self.running[controller] && self.open_pool_connection(controller).is_some()
    }

    fn open_pool_connection(&self, controller: usize) -> Option<SimConnectionId> {
        let mut pool = self.callers.connection_pools[controller].iter().flatten().copied();
        pool.find(|connection_id| {
            self.connections.get(connection_id).is_some_and(|connection| connection.established)
        })
    }

    fn pool_connection(&mut self, controller: usize, call_id: u64) -> SimConnectionId {
        if let Some(open) = self.open_pool_connection(controller).filter(|_| !self.in_rotation[controller]) {
            return open;
        }
        let slot = call_id as usize % self.callers.connection_pools[controller].len();
        if let Some(connection_id) =
            self.callers.connection_pools[controller][slot].filter(|id| self.connections.contains_key(id))
        {
            return connection_id;
        }
        let connection_id = self.new_connection(controller, Endpoint::Callers, false);
        self.callers.connection_pools[controller][slot] = Some(connection_id);
        self.actions.push_back(Action::Connect { connection_id, controller });
        connection_id
    }

    /// Opens a connection if the controller has standing calls and none is open, so that it can release them.
    pub(super) fn reconnect(&mut self, controller: usize) {
        let call_range = (controller, 0)..=(controller, u64::MAX);
        let standing_call =
            self.callers.offered_calls.range(call_range).find(|(_, s)| s.stands).map(|((_, id), _)| *id);
        let has_open_connection = self.callers.connection_pools[controller]
            .iter()
            .flatten()
            .any(|id| self.connections.contains_key(id));
        if let (Some(id), false, true) = (standing_call, has_open_connection, self.running[controller]) {
            self.pool_connection(controller, id);
        }
    }

    /// Handles messages from a controller to callers. Returns false if they cannot be parsed.
    pub(super) fn handle_caller_messages(&mut self, controller: usize, read_buffer: &mut ReadBuffer) -> bool {
        loop {
            let (kind, id, cause, retry_after_ms, description, consumed) =
                match binary::parse(read_buffer.unread()) {
                    Err(_) => return false,
                    Ok(None) => return true,
                    Ok(Some((m, consumed))) => {
                        let retry_after_ms = m
                            .parameter(param::RETRY_AFTER_MS)
                            .and_then(|p| std::str::from_utf8(p).ok()?.parse().ok());
                        let description = m.parameter(param::DESCRIPTION).unwrap_or_default().to_vec();
                        (m.kind, m.call_id, m.cause().unwrap_or(0), retry_after_ms, description, consumed)
                    }
                };
            read_buffer.consume(consumed);
            match kind {
                kind::ANSWER => {
                    let description = &description;
                    self.auditor
                        .observe(self.now, Observation::AnswerToCaller { controller, id, description });
                    self.call_answered(controller, id, description);
                }
                kind::RELEASE => {
                    let retry_after = retry_after_ms.map(|ms: u64| ms * MS);
                    self.auditor.observe(
                        self.now,
                        Observation::ReleaseToCaller { controller, id, cause, retry_after },
                    );
                    self.call_released(controller, id, cause, retry_after);
                }
                _ => {}
            }
        }
    }

    fn call_answered(&mut self, controller: usize, id: u64, description: &[u8]) {
        let Some(call) = self.callers.offered_calls.get_mut(&(controller, id)).filter(|s| !s.stands) else {
            return;
        };
        call.stands = true;
        let set_up_time = self.now - call.sent_at;
        if matches!(call.owner, CallOwner::Caller(_)) {
            self.statistics.record_set_up_time(set_up_time);
        }
        let owner = call.owner;
        let leg = self.latest_leg.get(&(controller, id)).and_then(|leg_id| self.legs.get(leg_id));
        let has_ended = leg.is_none_or(|leg| leg.state == LegState::Ended);
        match owner {
            CallOwner::Transit(leg_id) => self.transit_call_answered(leg_id, description),
            // The answer was under way when the call ended: the caller waits until it is told.
            CallOwner::Caller(intent_id) if has_ended => self.handle_cut_call(intent_id),
            CallOwner::Caller(intent_id) => {
                if let Some(intent) = self.intents.get_mut(&intent_id) {
                    intent.stands_since = Some(self.now);
                    let hold = intent.hold_time;
                    self.schedule_in(hold, Event::HoldTimeEnds { intent_id });
                }
            }
        }
    }

    fn call_released(&mut self, controller: usize, id: u64, cause: u8, retry_after: Option<Nanos>) {
        let Some(call) = self.callers.offered_calls.remove(&(controller, id)) else { return };
        match (call.owner, call.stands) {
            (CallOwner::Transit(leg_id), false) => self.transit_call_refused(leg_id),
            (CallOwner::Transit(_), true) => {}
            (CallOwner::Caller(intent_id), true) => self.handle_cut_call(intent_id),
            (CallOwner::Caller(intent_id), false) => {
                let is_refusal = REFUSAL_CAUSES.contains(&cause);
                self.handle_failed_try(
                    intent_id,
                    if is_refusal { CallOutcome::Refused } else { CallOutcome::Failed },
                    retry_after,
                );
            }
        }
    }

    pub(super) fn caller_times_out(&mut self, intent_id: u64, tries: u32) {
        let Some(intent) = self
            .intents
            .get(&intent_id)
            .filter(|intent| intent.tries == tries && intent.stands_since.is_none())
        else {
            return;
        };
        let (controller, id) = (intent.origin, intent.call_id);
        let Some(call) = self.callers.offered_calls.remove(&(controller, id)) else { return };
        self.auditor.observe(self.now, Observation::CallerGaveUp { controller, id });
        self.send_caller_release(controller, call.connection_id, id);
        self.handle_failed_try(intent_id, CallOutcome::Failed, None);
    }

    /// Sends a release to a controller, for a call that was given up or has ended.
    fn send_caller_release(&mut self, controller: usize, connection_id: SimConnectionId, id: u64) {
        let connection_id = if self.connections.contains_key(&connection_id) {
            connection_id
        } else {
            self.pool_connection(controller, id)
        };
        let mut message = Vec::new();
        binary::write(&mut message, kind::RELEASE, id, &[(param::CAUSE, &[CAUSE_NORMAL_CLEARING])]);
        self.send(connection_id, &message);
    }

    /// Releases a call in transit that was cancelled or released by the previous node.
    pub(super) fn release_transit(&mut self, controller: usize, id: u64) {
        if let Some(call) = self.callers.offered_calls.remove(&(controller, id)) {
            let observation = match call.stands {
                true => Observation::ReleaseFromCaller { controller, id },
                false => Observation::CallerGaveUp { controller, id },
            };
            self.auditor.observe(self.now, observation);
            self.send_caller_release(controller, call.connection_id, id);
        }
    }

    /// Handles a failed try: the caller redials, or gives the call up.
    fn handle_failed_try(&mut self, intent_id: u64, outcome: CallOutcome, retry_after: Option<Nanos>) {
        let Some(intent) = self.intents.get_mut(&intent_id) else { return };
        intent.last_outcome = outcome;
        let follows_advice = intent.follows_retry_advice && self.callers.ignore_advice_events == 0;
        let default_pause = seconds_to_nanos(self.script.callers.pause.0);
        let pause = retry_after.filter(|_| follows_advice).unwrap_or(default_pause);
        let gives_up_at =
            intent.first_try_at + seconds_to_nanos(self.script.classes[intent.class].deadline.0);
        if intent.tries <= self.script.callers.redials && self.now + pause < gives_up_at {
            self.statistics.record_redial();
            self.schedule_in(pause, Event::Redial { intent_id });
        } else {
            self.record_outcome(intent_id, outcome);
        }
    }

    /// Handles the cut of a standing call.
    pub(super) fn handle_cut_call(&mut self, intent_id: u64) {
        let Some(intent) = self.intents.get_mut(&intent_id) else { return };
        self.callers.offered_calls.remove(&(intent.origin, intent.call_id));
        if intent.redials_after_cut && !intent.was_cut {
            (intent.was_cut, intent.stands_since, intent.tries, intent.first_try_at) =
                (true, None, 0, self.now);
            let pause = seconds_to_nanos(self.script.callers.pause.0);
            return self.schedule_in(pause, Event::Redial { intent_id });
        }
        self.record_outcome(intent_id, CallOutcome::Cut);
    }

    /// Removes a call intent and records its final outcome.
    fn record_outcome(&mut self, intent_id: u64, outcome: CallOutcome) {
        if let Some(intent) = self.intents.remove(&intent_id) {
            let class = &self.script.classes[intent.class];
            let set_up_seconds = intent.stands_since.map(|at| (at - intent.first_try_at) as f64 * 1e-9);
            let worth = match (outcome, set_up_seconds) {
                (CallOutcome::Stood, Some(t)) if t <= class.aim.0 => class.worth.0,
                (CallOutcome::Stood, Some(t)) if t <= class.deadline.0 => class.worth.0 * class.late_worth.0,
                _ => 0.0,
            };
            if outcome != CallOutcome::Stood {
                let at = (intent.first_try_at - self.start_time) as f64 * 1e-9;
                self.statistics.record_lost_call(|| LostCall {
                    call: format!("{:016x}", intent.call_id),
                    controller: format!("n{}", intent.origin),
                    class: class.name.clone(),
                    at: (at * 1e4).round() / 1e4,
                    how: format!("{outcome:?}").to_lowercase(),
                });
            }
            let late = outcome == CallOutcome::Stood && set_up_seconds.is_some_and(|t| t > class.aim.0);
            let outcome = if late { CallOutcome::Late } else { outcome };
            self.statistics.record_outcome(
                intent.class,
                (intent.first_try_at - self.start_time) as f64 * 1e-9,
                outcome,
                worth,
            );
        }
    }

    /// Ends a standing call after its hold time.
    pub(super) fn end_call(&mut self, intent_id: u64) {
        let Some(intent) = self.intents.get(&intent_id).filter(|intent| intent.stands_since.is_some()) else {
            return;
        };
        let (origin, id) = (intent.origin, intent.call_id);
        if let Some(leg_id) = self.latest_leg.get(&(origin, id)).copied() {
            self.release_chain(leg_id, CAUSE_NORMAL_CLEARING);
        }
        // The offered call stays, because its controller has yet to send the release.
        self.record_outcome(intent_id, CallOutcome::Stood);
    }

    /// Records the outcome of all remaining calls at the end of the run: standing calls count as completed, others
    /// with the result of their last try.
    pub fn finalize(&mut self) {
        for id in self.intents.keys().copied().collect::<Vec<_>>() {
            let outcome =
                self.intents[&id].stands_since.map_or(self.intents[&id].last_outcome, |_| CallOutcome::Stood);
            self.record_outcome(id, outcome);
        }
        self.auditor.finish(self.now);
    }

    /// Handles the end of a callers' connection: set-ups without an answer are sent again or fail.
    pub(super) fn caller_connection_closed(
        &mut self,
        controller: usize,
        connection_id: SimConnectionId,
        established: bool,
    ) {
        self.schedule_in(RECONNECT_DELAY, Event::Reconnect { controller });
        self.controller_starts[controller].connect_failed |= !established;
        let unanswered = |s: &OfferedCall| s.connection_id == connection_id && !s.stands;
        let call_range = (controller, 0)..=(controller, u64::MAX);
        let unanswered_calls: Vec<u64> = self
            .callers
            .offered_calls
            .range(call_range)
            .filter(|(_, s)| unanswered(s))
            .map(|((_, id), _)| *id)
            .collect();
        for id in unanswered_calls {
            let Some(mut call) = self.callers.offered_calls.remove(&(controller, id)) else { continue };
            let crossed = !call.resent && self.now < call.sent_at + RESEND_WINDOW;
            if crossed && self.running[controller] && self.in_rotation[controller] {
                call.resent = true;
                let (message, connection_id) = (call.message.clone(), self.pool_connection(controller, id));
                call.connection_id = connection_id;
                self.callers.offered_calls.insert((controller, id), call);
                self.send(connection_id, &message);
                continue;
            }
            // A set-up that crossed the close of a controller shutting down goes to another controller, and one on a
            // connection that was never established was never taken: this controller lost neither.
            let shutting_down = self.terminated_at[controller].is_some() || !self.running[controller];
            if !established || shutting_down && crossed {
                self.auditor.observe(self.now, Observation::CallerGaveUp { controller, id });
            } else {
                self.auditor.observe(self.now, Observation::CallerDisconnected { controller, id });
            }
            match call.owner {
                CallOwner::Transit(leg_id) => self.transit_call_lost(leg_id),
                CallOwner::Caller(intent_id) => self.handle_failed_try(intent_id, CallOutcome::Failed, None),
            }
        }
    }
}

/// Builds a session description for a call: arbitrary bytes that controllers have to pass on unchanged.
pub(super) fn session_description(id: u64) -> Vec<u8> {
    let mut text =
        format!("{:016x}\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n", !id).into_bytes();
    text.extend(id.to_be_bytes());
    text
}
