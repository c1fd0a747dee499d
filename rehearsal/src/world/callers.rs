//! Callers: calls that arrive, tries, patience, redials. Also the calls in transit that a node hands to its own
//! controller, which come the same way.

use std::collections::BTreeMap;

use dillhold::codec::binary::{self, kind, param};
use dillhold::session::ReadBuffer;
use pitchgw::interface::Nanos;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1};

use super::processor::What;
use super::{seconds_to_nanos, Act, Due, Party, WireId, World, MS, RECONNECT};
use crate::audit::{Observation, ANSWER_GRACE};
use crate::report::{CallOutcome, LostCall};
use crate::script::Script;

/// A set-up that crosses the close of its connection by less than this is sent again, once.
const CROSSED: Nanos = 50 * MS;
/// A set-up that is written in pieces has so many, so much time apart.
const PIECES: Nanos = 3;
const PIECE_GAP: Nanos = 30 * MS;
/// Arrivals are drawn afresh at least so often, for the rate may have changed.
const REDRAW: f64 = 0.25;
/// Causes that tell a caller that it was refused and may try again.
const REFUSED: [u8; 3] = [34, 42, 102];

/// A caller that wants a call set up, across its tries.
#[derive(Clone, Debug)]
pub(super) struct Intent {
    pub class: usize,
    pub origin: usize,
    pub destination: usize,
    pub first: Nanos,
    hold: Nanos,
    number: u64,
    heeds: bool,
    again: bool,
    tries: u32,
    /// The id of the present try.
    pub id: u64,
    cut_before: bool,
    /// When the call came to stand.
    pub stood: Option<Nanos>,
    last: CallOutcome,
}

/// Whose call a side is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Owner {
    Caller(u64),
    /// A call in transit: the leg that brought it.
    Transit(u64),
}

/// A call as it is known on the callers' side of a controller.
#[derive(Clone, Debug)]
pub(super) struct Side {
    pub owner: Owner,
    pub destination: usize,
    pub class: usize,
    pub stands: bool,
    wire: WireId,
    sent: Nanos,
    resent: bool,
    message: Vec<u8>,
}

/// How a set-up is brought to a controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Delivery {
    /// On one of the connections that callers share.
    Pooled,
    /// On a connection of its own, whose writing side is closed behind it.
    HalfClosed,
    /// On a connection of its own, in pieces.
    Pieces,
}

impl Delivery {
    /// The time from its first byte to its last.
    fn takes(self) -> Nanos {
        match self {
            Delivery::Pooled | Delivery::HalfClosed => 0,
            Delivery::Pieces => PIECE_GAP * (PIECES - 1),
        }
    }
}

/// The books on callers.
pub(super) struct Callers {
    streams: Vec<ChaCha8Rng>,
    /// Whether the next arrival of a node is one, and not only the time to draw again.
    real: Vec<bool>,
    /// Connections of each controller's callers.
    pool: Vec<Vec<Option<WireId>>>,
    /// By controller and call.
    pub sides: BTreeMap<(usize, u64), Side>,
    next_intent: u64,
    /// Multiples of the calls offered by each node, by event.
    pub demand: Vec<BTreeMap<usize, f64>>,
    /// Events that make callers ignore advice.
    pub ignoring: u32,
}

impl Callers {
    pub fn new(script: &Script, seed: u64) -> Callers {
        let nodes = script.nodes as usize;
        let stream = |n| {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            rng.set_stream(1000 + n as u64);
            rng
        };
        Callers {
            streams: (0..nodes).map(stream).collect(),
            real: vec![false; nodes],
            pool: vec![vec![None; script.callers.connections as usize]; nodes],
            sides: BTreeMap::new(),
            next_intent: 0,
            demand: vec![BTreeMap::new(); nodes],
            ignoring: 0,
        }
    }
}

impl World {
    /// Draws when the next call of a node comes. The time to the next is memoryless, so drawing again after a
    /// while follows a rate that changes.
    pub(super) fn schedule_arrival(&mut self, origin: usize) {
        let demand: f64 = self.callers.demand[origin].values().product();
        let s = &self.script;
        let rate = s.planned_calls.0 / f64::from(s.nodes) * s.load.0 * s.profile_at(self.seconds()) * demand;
        let draw: f64 = Exp1.sample(&mut self.callers.streams[origin]);
        let gap = draw / rate.max(1e-9);
        self.callers.real[origin] = gap <= REDRAW;
        self.later(seconds_to_nanos(gap.min(REDRAW)), Due::Arrival(origin));
    }

    pub(super) fn arrival(&mut self, origin: usize) {
        if self.now >= self.offers_until {
            return;
        }
        if self.callers.real[origin] {
            let script = &self.script;
            let rng = &mut self.callers.streams[origin];
            let shares: f64 = script.classes.iter().map(|c| c.share.0).sum();
            let mut left = rng.random::<f64>() * shares;
            let found = script.classes.iter().position(|c| {
                left -= c.share.0;
                left < 0.0
            });
            let class = found.unwrap_or(0);
            let hold: f64 = Exp1.sample(rng);
            let intent = Intent {
                class,
                origin,
                destination: self.network.destination(origin, rng.random()),
                first: self.now,
                hold: seconds_to_nanos(hold * script.classes[class].hold.0),
                number: rng.random(),
                heeds: rng.random::<f64>() < script.callers.heed.0,
                again: rng.random::<f64>() < script.callers.cut_again.0,
                tries: 0,
                id: 0,
                cut_before: false,
                stood: None,
                last: CallOutcome::Failed,
            };
            let id = self.callers.next_intent;
            self.callers.next_intent += 1;
            self.statistics.record_offered(class, self.seconds());
            self.intents.insert(id, intent);
            self.dial(id);
        }
        self.schedule_arrival(origin);
    }

    /// A caller tries.
    pub(super) fn dial(&mut self, intent: u64) {
        let Some(i) = self.intents.get_mut(&intent) else { return };
        let class = &self.script.classes[i.class];
        let gives_up = i.first + seconds_to_nanos(class.deadline.0);
        let (now, patience) = (self.now, seconds_to_nanos(class.deadline.0 * self.script.callers.patience.0));
        let wait = patience.min(gives_up.saturating_sub(now));
        i.tries += 1;
        i.id = self.rng.random::<u64>().max(1);
        let (id, origin, tries) = (i.id, i.origin, i.tries);
        let (number, destination, class_no, again) = (i.number, i.destination, i.class, i.cut_before);
        if !self.takes_callers(origin) {
            return self.try_ended(intent, CallOutcome::Failed, None);
        }
        self.job(origin, self.script.processor.look.0, What::Other);
        let advice = if self.script.advice.given { self.network.advice(origin, destination) } else { None };
        let via = advice.map_or(-1, |t| t as i64);
        let mut figures =
            format!("dest:{destination};width:{};via:{via}", self.script.classes[class_no].width);
        if again {
            figures.push_str(";again:1");
        }
        let number = format!("{number:016x}");
        let owner = Owner::Caller(intent);
        self.offer(origin, id, owner, (class_no, destination, wait), &number, &figures, &describe(id));
        // An answer still counts for a moment after the deadline; the auditor reckons with the deadline itself.
        let longest_delivery = Delivery::Pieces.takes();
        let grace =
            if self.script.callers.pieces.0 > 0.0 { ANSWER_GRACE + longest_delivery } else { ANSWER_GRACE };
        self.later(wait + grace, Due::GiveUp(intent, tries));
    }

    /// Hands a set-up to a controller.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn offer(
        &mut self,
        controller: usize,
        id: u64,
        owner: Owner,
        (class, destination, wait): (usize, usize, Nanos),
        number: &str,
        figures: &str,
        description: &[u8],
    ) {
        let name = self.script.classes[class].name.clone();
        let mut message = Vec::new();
        let ms = (wait / MS).max(1).to_string();
        binary::write(
            &mut message,
            kind::SET_UP,
            id,
            &[
                (param::CLASS, name.as_bytes()),
                (param::TIMEOUT_MS, ms.as_bytes()),
                (param::CALLED_NUMBER, number.as_bytes()),
                (param::ATTRIBUTES, figures.as_bytes()),
                (param::DESCRIPTION, description),
            ],
        );
        let delivery = self.draw_delivery(controller, owner);
        let transit = match owner {
            Owner::Transit(leg) => self.legs.get(&leg).map(|l| l.call),
            Owner::Caller(_) => None,
        };
        let wire = match delivery {
            Delivery::Pooled => self.caller_wire(controller, id),
            Delivery::HalfClosed | Delivery::Pieces => self.own_wire(controller),
        };
        let sent = self.now + delivery.takes();
        let side =
            Side { owner, destination, class, stands: false, wire, sent, resent: false, message: Vec::new() };
        self.callers.sides.insert((controller, id), side);
        self.auditor.observe(
            self.now,
            Observation::SetUpFromCaller {
                controller,
                id,
                class: &name,
                number,
                description,
                timeout: wait + delivery.takes(),
                destination,
                parent_call: transit,
            },
        );
        self.deliver(wire, delivery, controller, &message);
        if let Some(side) = self.callers.sides.get_mut(&(controller, id)) {
            side.message = message;
        }
    }

    /// How a set-up is brought to a controller.
    fn draw_delivery(&mut self, controller: usize, owner: Owner) -> Delivery {
        let callers = &self.script.callers;
        let (half_close, pieces) = (callers.half_close.0, callers.pieces.0);
        if half_close + pieces == 0.0 || matches!(owner, Owner::Transit(_)) || !self.fronted[controller] {
            return Delivery::Pooled;
        }
        match self.rng.random::<f64>() {
            draw if draw < half_close => Delivery::HalfClosed,
            draw if draw < half_close + pieces => Delivery::Pieces,
            _ => Delivery::Pooled,
        }
    }

    /// A connection for one caller.
    fn own_wire(&mut self, controller: usize) -> WireId {
        let wire = self.new_wire(controller, Party::Callers, false);
        self.acts.push_back(Act::Connect(wire, controller));
        wire
    }

    fn deliver(&mut self, wire: WireId, delivery: Delivery, controller: usize, message: &[u8]) {
        if delivery != Delivery::Pieces {
            self.send(wire, message);
        }
        match delivery {
            Delivery::Pooled => {}
            Delivery::HalfClosed => self.acts.push_back(Act::Finish(wire, controller)),
            Delivery::Pieces => {
                let pieces = message.chunks(message.len().div_ceil(PIECES as usize));
                for (number, piece) in pieces.enumerate() {
                    self.later(PIECE_GAP * number as Nanos, Due::Bytes(wire, piece.to_vec()));
                }
            }
        }
    }

    /// Whether a caller has a way to a controller: one that ends is sent no new connections, but open ones are used.
    pub(super) fn takes_callers(&self, controller: usize) -> bool {
        self.fronted[controller] || self.running[controller] && self.open_wire(controller).is_some()
    }

    fn open_wire(&self, controller: usize) -> Option<WireId> {
        let mut open = self.callers.pool[controller].iter().flatten().copied();
        open.find(|wire| self.wires.get(wire).is_some_and(|w| w.up))
    }

    fn caller_wire(&mut self, controller: usize, id: u64) -> WireId {
        if let Some(open) = self.open_wire(controller).filter(|_| !self.fronted[controller]) {
            return open;
        }
        let slot = id as usize % self.callers.pool[controller].len();
        if let Some(wire) = self.callers.pool[controller][slot].filter(|w| self.wires.contains_key(w)) {
            return wire;
        }
        let wire = self.new_wire(controller, Party::Callers, false);
        self.callers.pool[controller][slot] = Some(wire);
        self.acts.push_back(Act::Connect(wire, controller));
        wire
    }

    /// Callers whose calls stand keep a connection, for what ends their calls to be told on.
    pub(super) fn reconnect(&mut self, controller: usize) {
        let within = (controller, 0)..=(controller, u64::MAX);
        let stands = self.callers.sides.range(within).find(|(_, s)| s.stands).map(|((_, id), _)| *id);
        let open = self.callers.pool[controller].iter().flatten().any(|w| self.wires.contains_key(w));
        if let (Some(id), false, true) = (stands, open, self.running[controller]) {
            self.caller_wire(controller, id);
        }
    }

    /// Takes in what a controller says to callers; false: it cannot be read.
    pub(super) fn callers_hear(&mut self, controller: usize, inbox: &mut ReadBuffer) -> bool {
        loop {
            let (kind, id, cause, pause, description, taken) = match binary::parse(inbox.unread()) {
                Err(_) => return false,
                Ok(None) => return true,
                Ok(Some((m, taken))) => {
                    let pause = m
                        .parameter(param::RETRY_AFTER_MS)
                        .and_then(|p| std::str::from_utf8(p).ok()?.parse().ok());
                    let description = m.parameter(param::DESCRIPTION).unwrap_or_default().to_vec();
                    (m.kind, m.call_id, m.cause().unwrap_or(0), pause, description, taken)
                }
            };
            inbox.consume(taken);
            match kind {
                kind::ANSWER => {
                    let description = &description;
                    self.auditor
                        .observe(self.now, Observation::AnswerToCaller { controller, id, description });
                    self.side_answered(controller, id, description);
                }
                kind::RELEASE => {
                    let pause = pause.map(|ms: u64| ms * MS);
                    self.auditor.observe(
                        self.now,
                        Observation::ReleaseToCaller { controller, id, cause, retry_after: pause },
                    );
                    self.side_released(controller, id, cause, pause);
                }
                _ => {}
            }
        }
    }

    fn side_answered(&mut self, controller: usize, id: u64, description: &[u8]) {
        let Some(side) = self.callers.sides.get_mut(&(controller, id)).filter(|s| !s.stands) else { return };
        side.stands = true;
        let took = self.now - side.sent;
        if matches!(side.owner, Owner::Caller(_)) {
            self.statistics.record_set_up_time(took);
        }
        match side.owner {
            Owner::Transit(leg) => self.child_answered(leg, description),
            Owner::Caller(intent) => {
                if let Some(i) = self.intents.get_mut(&intent) {
                    i.stood = Some(self.now);
                    let hold = i.hold;
                    self.later(hold, Due::HoldEnds(intent));
                }
            }
        }
    }

    fn side_released(&mut self, controller: usize, id: u64, cause: u8, pause: Option<Nanos>) {
        let Some(side) = self.callers.sides.remove(&(controller, id)) else { return };
        match (side.owner, side.stands) {
            (Owner::Transit(leg), false) => self.child_refused(leg),
            (Owner::Transit(_), true) => {}
            (Owner::Caller(intent), true) => self.call_cut(intent),
            (Owner::Caller(intent), false) => {
                let refused = REFUSED.contains(&cause);
                self.try_ended(
                    intent,
                    if refused { CallOutcome::Refused } else { CallOutcome::Failed },
                    pause,
                );
            }
        }
    }

    pub(super) fn caller_gives_up(&mut self, intent: u64, tries: u32) {
        let Some(i) = self.intents.get(&intent).filter(|i| i.tries == tries && i.stood.is_none()) else {
            return;
        };
        let (controller, id) = (i.origin, i.id);
        let Some(side) = self.callers.sides.remove(&(controller, id)) else { return };
        self.auditor.observe(self.now, Observation::CallerGaveUp { controller, id });
        self.release_to(controller, side.wire, id);
        self.try_ended(intent, CallOutcome::Failed, None);
    }

    /// Tells a controller that a call is given up or over.
    fn release_to(&mut self, controller: usize, wire: WireId, id: u64) {
        let wire = if self.wires.contains_key(&wire) { wire } else { self.caller_wire(controller, id) };
        let mut message = Vec::new();
        binary::write(&mut message, kind::RELEASE, id, &[(param::CAUSE, &[16])]);
        self.send(wire, &message);
    }

    /// A call in transit is given up by the node that handed it over, or is over.
    pub(super) fn release_transit(&mut self, controller: usize, id: u64) {
        if let Some(side) = self.callers.sides.remove(&(controller, id)) {
            if !side.stands {
                self.auditor.observe(self.now, Observation::CallerGaveUp { controller, id });
            }
            self.release_to(controller, side.wire, id);
        }
    }

    /// A try came to nothing: the caller dials again, or gives it up for good.
    fn try_ended(&mut self, intent: u64, how: CallOutcome, advice: Option<Nanos>) {
        let Some(i) = self.intents.get_mut(&intent) else { return };
        i.last = how;
        let heeds = i.heeds && self.callers.ignoring == 0;
        let own = seconds_to_nanos(self.script.callers.pause.0);
        let pause = advice.filter(|_| heeds).unwrap_or(own);
        let gives_up = i.first + seconds_to_nanos(self.script.classes[i.class].deadline.0);
        if i.tries <= self.script.callers.redials && self.now + pause < gives_up {
            self.statistics.record_redial();
            self.later(pause, Due::Redial(intent));
        } else {
            self.finish(intent, how);
        }
    }

    /// A call that stood was cut.
    pub(super) fn call_cut(&mut self, intent: u64) {
        let Some(i) = self.intents.get_mut(&intent) else { return };
        self.callers.sides.remove(&(i.origin, i.id));
        if i.again && !i.cut_before {
            (i.cut_before, i.stood, i.tries, i.first) = (true, None, 0, self.now);
            let pause = seconds_to_nanos(self.script.callers.pause.0);
            return self.later(pause, Due::Redial(intent));
        }
        self.finish(intent, CallOutcome::Cut);
    }

    /// What became of a caller's call is known.
    fn finish(&mut self, intent: u64, how: CallOutcome) {
        if let Some(i) = self.intents.remove(&intent) {
            let class = &self.script.classes[i.class];
            let took = i.stood.map(|at| (at - i.first) as f64 * 1e-9);
            let worth = match (how, took) {
                (CallOutcome::Stood, Some(t)) if t <= class.aim.0 => class.worth.0,
                (CallOutcome::Stood, Some(t)) if t <= class.deadline.0 => class.worth.0 * class.late_worth.0,
                _ => 0.0,
            };
            if how != CallOutcome::Stood {
                let at = (i.first - self.base) as f64 * 1e-9;
                self.statistics.record_lost_call(|| LostCall {
                    call: format!("{:016x}", i.id),
                    controller: format!("n{}", i.origin),
                    class: class.name.clone(),
                    at: (at * 1e4).round() / 1e4,
                    how: format!("{how:?}").to_lowercase(),
                });
            }
            let late = how == CallOutcome::Stood && took.is_some_and(|t| t > class.aim.0);
            let how = if late { CallOutcome::Late } else { how };
            self.statistics.record_outcome(i.class, (i.first - self.base) as f64 * 1e-9, how, worth);
        }
    }

    /// A call comes to its natural end.
    pub(super) fn hold_ends(&mut self, intent: u64) {
        let Some(i) = self.intents.get(&intent).filter(|i| i.stood.is_some()) else { return };
        let (origin, id) = (i.origin, i.id);
        if let Some(leg) = self.leg_of.get(&(origin, id)).copied() {
            self.release_chain(leg, 16);
        }
        // The caller does not know yet: it keeps a way to be told.
        self.finish(intent, CallOutcome::Stood);
    }

    /// Ends the books: what is still open has come to nothing, what stands has stood.
    pub fn close_books(&mut self) {
        for id in self.intents.keys().copied().collect::<Vec<_>>() {
            let how = self.intents[&id].stood.map_or(self.intents[&id].last, |_| CallOutcome::Stood);
            self.finish(id, how);
        }
        self.auditor.finish(self.now);
    }

    /// A connection of callers is gone: what was open on it has no answer.
    pub(super) fn callers_wire_gone(&mut self, controller: usize, wire: WireId, up: bool) {
        self.later(RECONNECT, Due::Reconnect(controller));
        self.starts[controller].missed |= !up;
        let on = |s: &Side| s.wire == wire && !s.stands;
        let within = (controller, 0)..=(controller, u64::MAX);
        let open: Vec<u64> =
            self.callers.sides.range(within).filter(|(_, s)| on(s)).map(|((_, id), _)| *id).collect();
        for id in open {
            let Some(mut side) = self.callers.sides.remove(&(controller, id)) else { continue };
            let crossed = !side.resent && self.now < side.sent + CROSSED;
            if crossed && self.running[controller] && self.fronted[controller] {
                side.resent = true;
                let (message, wire) = (side.message.clone(), self.caller_wire(controller, id));
                side.wire = wire;
                self.callers.sides.insert((controller, id), side);
                self.send(wire, &message);
                continue;
            }
            // What crossed the close goes to another controller, and what never came up was never taken.
            let ends = self.terminated[controller].is_some() || !self.running[controller];
            if !up || ends && crossed {
                self.auditor.observe(self.now, Observation::CallerGaveUp { controller, id });
            } else {
                self.auditor.observe(self.now, Observation::CallerDisconnected { controller, id });
            }
            match side.owner {
                Owner::Transit(leg) => self.child_broke(leg),
                Owner::Caller(intent) => self.try_ended(intent, CallOutcome::Failed, None),
            }
        }
    }
}

/// The description of a call: free bytes that have to pass unchanged.
pub(super) fn describe(id: u64) -> Vec<u8> {
    let mut text =
        format!("{:016x}\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n", !id).into_bytes();
    text.extend(id.to_be_bytes());
    text
}
