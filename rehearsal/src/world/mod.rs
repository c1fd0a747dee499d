//! The world round the controllers, in discrete events: callers, trunk groups, results nodes, the node register
//! and the centre. It knows no socket and no clock but the time it is given, so that the same world is played on
//! a virtual clock and on the wall's: it is told what came on which wire and says what is to be done with wires.

mod bad_callers;
mod callers;
mod controllers;
mod incidents;
mod journal;
mod network;
mod nodes;
mod processor;
mod settings;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;

use dillhold::session::ReadBuffer;
use pitchgw::interface::Nanos;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::audit::Auditor;
use crate::report::RunStatistics;
use crate::script::Script;
use callers::{Callers, Intent};
use journal::Service;
use network::Network;
use nodes::{Leg, Machine};
use processor::{Job, Node};

/// One second.
pub const SEC: Nanos = 1_000_000_000;
pub use dillhold::clock::MS;

/// Callers whose calls stand connect again after so long when their connections are gone.
const RECONNECT: Nanos = SEC / 5;

/// A span of so many seconds.
pub fn seconds_to_nanos(seconds: f64) -> Nanos {
    (seconds * 1e9).round() as Nanos
}

/// A connection between a controller and somebody of the world. Numbers are never used again.
pub type WireId = u64;

/// Who of the world is at the other end of a wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Party {
    /// Callers of the controller's exchange, and calls in transit.
    Callers,
    /// Somebody who connects where callers do and keeps to no protocol.
    BadCaller,
    /// A results node's machine; its place in the list of all machines there ever were.
    Machine(usize),
    /// The journal service.
    Journal,
}

/// What is to be done with wires and controllers.
#[derive(Clone, Debug)]
pub enum Act {
    /// Callers connect to a controller: [`World::connected`] or [`World::closed`] tells what came of it.
    Connect(WireId, usize),
    /// Bytes on a wire, for the controller at its other end.
    Send(WireId, usize, Vec<u8>),
    /// A wire to that controller is closed.
    Close(WireId, usize),
    /// The writing side of a wire to that controller is closed, once it is up.
    Finish(WireId, usize),
    /// A controller is started with this configuration.
    Start(usize, String),
    /// A controller gets a signal. Told to end, [`World::stopped`] tells when it has.
    Signal(usize, Signal),
    /// A controller is killed.
    Kill(usize),
}

/// A signal to a controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM: end.
    Terminate,
    /// SIGINT: the same.
    Interrupt,
    /// SIGHUP: read the configuration again.
    Reload,
}

/// What becomes of a connection to a party of the world.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// It comes up.
    Up,
    /// It is refused.
    Refused,
    /// It never comes up.
    Never,
}

/// Gives the address of a party as one controller reaches it.
pub type Addresses = Box<dyn FnMut(usize, Party) -> SocketAddr>;

struct Wire {
    controller: usize,
    party: Party,
    up: bool,
    /// Nothing passes any more, though it stays open.
    mute: bool,
    /// The network is cut: what passed to the controller waits here for the cut to end, and what came from it.
    held: Option<Held>,
    inbox: ReadBuffer,
    /// What waits for it to come up.
    waiting: Vec<u8>,
}

/// The latest start of a controller.
#[derive(Clone, Copy, Default)]
struct Start {
    at: Nanos,
    /// A caller's connection has come up since.
    reached: bool,
    /// A caller's connection did not come up since.
    missed: bool,
}

/// What waits on a wire for a cut of the network to end.
#[derive(Default)]
struct Held {
    to_controller: Vec<u8>,
    from_controller: Vec<u8>,
}

/// What is due in the world.
#[derive(Clone, Debug)]
enum Due {
    Arrival(usize),
    Redial(u64),
    GiveUp(u64, u32),
    HoldEnds(u64),
    JobDone(usize, u64),
    Arrive(u64),
    Refused(u64, &'static str, u16),
    Answered(u64),
    Repeat(u64, Nanos),
    Cancelled(u64),
    Freed(u64),
    Forget(u64),
    Told(usize, usize),
    PollEnds(usize, WireId, u64),
    Look,
    Drift,
    Sample,
    /// The front has noticed that a controller is about to end.
    Front(usize),
    /// Callers whose calls stand connect again.
    Reconnect(usize),
    /// A controller that was started then must be ready by now.
    Ready(usize, Nanos),
    /// A slow journal service has worked on its answer to this request.
    PollWorked(usize, u64),
    /// Bytes are sent on a wire, if it is still there.
    Bytes(WireId, Vec<u8>),
    /// Another bad caller connects; one that did must have heard something, or must have been closed.
    BadCaller(usize, usize),
    EndBadCaller(WireId),
    Event(usize, usize, incidents::Phase),
}

/// The world of one rehearsal.
pub struct World {
    script: Script,
    base: Nanos,
    now: Nanos,
    /// Arrivals end, and all ends.
    offers_until: Nanos,
    until: Nanos,
    queue: BTreeMap<(Nanos, u64), Due>,
    next: u64,
    acts: VecDeque<Act>,
    addresses: Addresses,
    wires: BTreeMap<WireId, Wire>,
    next_wire: WireId,
    network: Network,
    nodes: Vec<Node>,
    machines: Vec<Machine>,
    /// The machine that bears a node now.
    serving: Vec<usize>,
    jobs: HashMap<u64, Job>,
    next_job: u64,
    legs: BTreeMap<u64, Leg>,
    next_leg: u64,
    /// The newest leg of a call at a controller.
    leg_of: HashMap<(usize, u64), u64>,
    callers: Callers,
    intents: BTreeMap<u64, Intent>,
    services: Vec<Service>,
    /// Whether a controller runs.
    running: Vec<bool>,
    /// Whether callers are sent to it.
    fronted: Vec<bool>,
    /// How it came up.
    starts: Vec<Start>,
    /// When it was told to end.
    terminated: Vec<Option<Nanos>>,
    /// Events that cut a node off from the network.
    cut_off: Vec<u32>,
    /// Events in which new connections to a node do not come up.
    unreachable: Vec<u32>,
    /// Events in which a node spoils answers, or gives them twice.
    spoils: Vec<u32>,
    /// Connections of bad callers, and whether they were told anything.
    bad_callers: BTreeMap<WireId, bool>,
    struck: Vec<Vec<usize>>,
    /// Random numbers of what reacts; arrivals have streams of their own.
    rng: ChaCha8Rng,
    hash: blake3::Hasher,
    /// What is written down for the report.
    pub statistics: RunStatistics,
    /// What watches the rules.
    pub auditor: Auditor,
}

impl World {
    /// A world at its start. `base` is the Unix time in nanoseconds at which it begins; `offers` how long calls
    /// are offered.
    pub fn new(script: Script, seed: u64, base: Nanos, offers: Nanos, addresses: Addresses) -> World {
        let stream = |n| {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            rng.set_stream(n);
            rng
        };
        let nodes = script.nodes as usize;
        let network = Network::new(&script, stream(1));
        let callers = Callers::new(&script, seed);
        let unit = processor::unit(&script);
        let auditor = Auditor::new(&script);
        let statistics = RunStatistics::new(&script, offers);
        let struck = incidents::struck(&script, stream(2));
        let mut world = World {
            base,
            now: base,
            offers_until: base + offers,
            until: base + offers + seconds_to_nanos(script.run_out.0),
            queue: BTreeMap::new(),
            next: 0,
            acts: VecDeque::new(),
            addresses,
            wires: BTreeMap::new(),
            next_wire: 1,
            network,
            nodes: (0..nodes).map(|_| Node::new(unit)).collect(),
            machines: (0..nodes).map(Machine::first).collect(),
            serving: (0..nodes).collect(),
            jobs: HashMap::new(),
            next_job: 0,
            legs: BTreeMap::new(),
            next_leg: 0,
            leg_of: HashMap::new(),
            callers,
            intents: BTreeMap::new(),
            services: (0..nodes).map(|_| Service::default()).collect(),
            running: vec![false; nodes],
            fronted: vec![false; nodes],
            starts: vec![Start::default(); nodes],
            terminated: vec![None; nodes],
            cut_off: vec![0; nodes],
            unreachable: vec![0; nodes],
            spoils: vec![0; nodes],
            bad_callers: BTreeMap::new(),
            struck,
            rng: stream(3),
            hash: blake3::Hasher::new(),
            statistics,
            auditor,
            script,
        };
        for controller in 0..nodes {
            world.start_controller(controller);
            world.schedule_arrival(controller);
        }
        world.later(0, Due::Look);
        world.later(seconds_to_nanos(world.script.groups.drift_every.0), Due::Drift);
        world.later(SEC / 2, Due::Sample);
        world.schedule_events();
        world
    }

    /// The script that is played.
    pub fn script(&self) -> &Script {
        &self.script
    }

    /// How many controllers there are.
    pub fn controllers(&self) -> usize {
        self.nodes.len()
    }

    /// The load of fresh calls that is offered at the plan's rate times the load, without drift, in erlang of calls:
    /// by class and the two ends of a group, the lower first.
    pub fn offered_load(&self) -> BTreeMap<(String, (u32, u32)), f64> {
        let s = &self.script;
        let shares: f64 = s.classes.iter().map(|c| c.share.0).sum();
        let rate = s.planned_calls.0 / f64::from(s.nodes) * s.load.0;
        let mut loads = BTreeMap::new();
        for class in &s.classes {
            for a in 0..self.nodes.len() {
                for b in (0..self.nodes.len()).filter(|b| *b != a) {
                    let load = rate * self.network.share(a, b) * class.share.0 / shares * class.hold.0;
                    let ends = (a.min(b) as u32, a.max(b) as u32);
                    *loads.entry((class.name.clone(), ends)).or_insert(0.0) += load;
                }
            }
        }
        loads
    }

    /// When something is due next; `None`: all is over.
    pub fn next_due(&self) -> Option<Nanos> {
        let first = self.queue.first_key_value().map(|((at, _), _)| *at);
        first.filter(|at| *at <= self.until)
    }

    /// When all is over at the latest.
    pub fn until(&self) -> Nanos {
        self.until
    }

    /// The time since the start, in seconds.
    fn seconds(&self) -> f64 {
        (self.now - self.base) as f64 * 1e-9
    }

    /// Lets time pass and carries out what is due.
    pub fn advance(&mut self, now: Nanos) {
        while let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= now) {
            let ((at, _), due) = entry.remove_entry();
            self.now = self.now.max(at);
            self.due(due);
        }
        self.now = self.now.max(now);
        self.auditor.advance(self.now);
    }

    /// What is to be done next.
    pub fn poll(&mut self) -> Option<Act> {
        self.acts.pop_front()
    }

    /// The digest of everything that passed.
    pub fn digest(&self) -> String {
        self.hash.finalize().to_hex().to_string()
    }

    fn later(&mut self, span: Nanos, due: Due) {
        self.at(self.now + span, due);
    }

    fn at(&mut self, at: Nanos, due: Due) {
        self.queue.insert((at, self.next), due);
        self.next += 1;
    }

    fn due(&mut self, due: Due) {
        match due {
            Due::Arrival(origin) => self.arrival(origin),
            Due::Redial(intent) => self.dial(intent),
            Due::GiveUp(intent, tries) => self.caller_gives_up(intent, tries),
            Due::HoldEnds(intent) => self.hold_ends(intent),
            Due::JobDone(node, run) => self.job_done(node, run),
            Due::Arrive(leg) => self.leg_arrives(leg),
            Due::Refused(leg, cause, code) => self.leg_refused(leg, cause, code),
            Due::Answered(leg) => self.answer_comes_back(leg),
            Due::Repeat(leg, gap) => self.repeat(leg, gap),
            Due::Cancelled(leg) => self.cancel_arrives(leg),
            Due::Freed(leg) => self.free_circuits(leg),
            Due::Forget(leg) => self.forget_leg(leg),
            Due::Told(controller, event) => self.journal_learns(controller, event),
            Due::PollEnds(controller, wire, number) => self.poll_ends(controller, wire, number),
            Due::Look => self.centre_looks(),
            Due::Drift => {
                self.network.drift(&self.script);
                self.later(seconds_to_nanos(self.script.groups.drift_every.0), Due::Drift);
            }
            Due::Sample => self.sample(),
            Due::Front(controller) => self.fronted[controller] = false,
            Due::Reconnect(controller) => self.reconnect(controller),
            Due::PollWorked(controller, number) => self.poll_worked(controller, number),
            Due::Bytes(wire, bytes) => self.send(wire, &bytes),
            Due::Ready(controller, started) => self.ready_due(controller, started),
            Due::BadCaller(event, controller) => self.bad_caller(event, controller),
            Due::EndBadCaller(wire) => self.bad_caller_due(wire),
            Due::Event(event, node, phase) => self.event(event, node, phase),
        }
    }

    // -----------------------------------------------------------------------------------------------------
    // Wires
    // -----------------------------------------------------------------------------------------------------

    fn new_wire(&mut self, controller: usize, party: Party, up: bool) -> WireId {
        let id = self.next_wire;
        self.next_wire += 1;
        let (inbox, waiting) = (ReadBuffer::default(), Vec::new());
        self.wires.insert(id, Wire { controller, party, up, mute: false, held: None, inbox, waiting });
        id
    }

    /// Whether a controller's connection to a party comes up.
    pub fn reach(&self, controller: usize, party: Party) -> Reach {
        match party {
            Party::Machine(m) => {
                let machine = &self.machines[self.bears(m)];
                let cut = self.cut_off[machine.node] + self.unreachable[machine.node] > 0;
                if cut {
                    Reach::Never
                } else {
                    machine.reach
                }
            }
            Party::Journal if self.services[controller].broken > 0 => Reach::Refused,
            _ => Reach::Up,
        }
    }

    /// A controller has connected to a party.
    pub fn accepted(&mut self, now: Nanos, controller: usize, party: Party) -> WireId {
        self.advance(now);
        let wire = self.new_wire(controller, party, true);
        if let Party::Machine(m) = party {
            self.machine_connected(controller, m, wire);
        }
        wire
    }

    /// A connection of callers is up.
    pub fn connected(&mut self, now: Nanos, wire: WireId) {
        self.advance(now);
        if let Some(w) = self.wires.get_mut(&wire) {
            w.up = true;
            self.starts[w.controller].reached = true;
            let waiting = std::mem::take(&mut w.waiting);
            if !waiting.is_empty() {
                self.send(wire, &waiting);
            }
        }
    }

    /// A wire is gone: the controller closed it, or refused it, or died.
    pub fn closed(&mut self, now: Nanos, wire: WireId) {
        self.advance(now);
        self.wire_gone(wire);
    }

    fn wire_gone(&mut self, wire: WireId) {
        let Some(gone) = self.wires.remove(&wire) else { return };
        match gone.party {
            Party::Callers => self.callers_wire_gone(gone.controller, wire, gone.up),
            Party::BadCaller => {
                self.bad_callers.remove(&wire);
            }
            Party::Machine(m) => self.machine_wire_gone(gone.controller, m, wire),
            Party::Journal => self.services[gone.controller].wire_gone(wire),
        }
    }

    /// Whether what is said on a wire passes.
    fn passes(&self, wire: WireId) -> bool {
        self.wires.get(&wire).is_some_and(|w| !w.mute && w.held.is_none())
    }

    /// Whether what is said on a wire arrives, now or once a cut of the network is over.
    fn arrives(&self, wire: WireId) -> bool {
        self.wires.get(&wire).is_some_and(|w| !w.mute)
    }

    /// The world closes a wire of its own accord.
    fn hang_up(&mut self, wire: WireId) {
        if let Some(w) = self.wires.get(&wire) {
            self.acts.push_back(Act::Close(wire, w.controller));
            self.wire_gone(wire);
        }
    }

    fn send(&mut self, wire: WireId, bytes: &[u8]) {
        let Some(w) = self.wires.get_mut(&wire).filter(|w| !w.mute) else { return };
        if !w.up {
            return w.waiting.extend(bytes);
        }
        if let Some(held) = &mut w.held {
            return held.to_controller.extend(bytes);
        }
        let controller = w.controller;
        passed(&mut self.hash, self.now, wire, 0, bytes);
        match self.acts.back_mut() {
            Some(Act::Send(last, _, more)) if *last == wire => more.extend(bytes),
            _ => self.acts.push_back(Act::Send(wire, controller, bytes.to_vec())),
        }
    }

    /// Bytes came from a controller.
    pub fn received(&mut self, now: Nanos, wire: WireId, bytes: &[u8]) {
        self.advance(now);
        let Some(w) = self.wires.get_mut(&wire).filter(|w| !w.mute) else { return };
        if let Some(held) = &mut w.held {
            return held.from_controller.extend(bytes);
        }
        passed(&mut self.hash, self.now, wire, 1, bytes);
        w.inbox.append(bytes);
        let mut inbox = std::mem::take(&mut w.inbox);
        let (controller, party) = (w.controller, w.party);
        let readable = match party {
            Party::Callers => self.callers_hear(controller, &mut inbox),
            Party::BadCaller => {
                self.bad_callers.insert(wire, true);
                true
            }
            Party::Machine(m) => self.machine_hears(controller, m, wire, &mut inbox),
            Party::Journal => self.journal_asked(controller, wire, &mut inbox),
        };
        if !readable {
            self.auditor.malformed_output(self.now, controller);
            return self.hang_up(wire);
        }
        if let Some(w) = self.wires.get_mut(&wire) {
            w.inbox = inbox;
        }
    }

    fn sample(&mut self) {
        for n in 0..self.nodes.len() {
            let (wait, cold) = (self.nodes[n].wait(), self.nodes[n].cold_state(self.now, &self.script));
            self.statistics.sample_node(self.seconds(), n, wait, cold);
        }
        if self.now < self.offers_until {
            self.later(SEC / 2, Due::Sample);
        }
    }

    fn centre_looks(&mut self) {
        self.network.look();
        // The look advised by is between one and two spans old.
        let [from, to] = self.script.advice.age;
        self.later(seconds_to_nanos((to.0 - from.0).max(0.5)), Due::Look);
    }

    /// The end of the books.
    fn forget_leg(&mut self, leg: u64) {
        if let Some(l) = self.legs.remove(&leg) {
            if self.leg_of.get(&(l.controller, l.call)) == Some(&leg) {
                self.leg_of.remove(&(l.controller, l.call));
            }
        }
    }
}

/// Adds a message to the digest.
fn passed(hash: &mut blake3::Hasher, now: Nanos, wire: WireId, direction: u8, bytes: &[u8]) {
    hash.update(&now.to_le_bytes());
    hash.update(&wire.to_le_bytes());
    hash.update(&[direction]);
    hash.update(&(bytes.len() as u64).to_le_bytes());
    hash.update(bytes);
}
