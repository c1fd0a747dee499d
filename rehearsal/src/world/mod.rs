//! Discrete-event simulation of everything around the controllers: callers, trunk groups, exchange nodes, the
//! journal services and the advice centre.
//!
//! The simulation does no I/O and reads no clock: a driver passes in the current time and the bytes that
//! controllers sent, and carries out the [`Action`]s that the simulation queues. The same [`World`] therefore runs
//! on the virtual clock and on the wall clock.

mod bad_callers;
mod callers;
mod controllers;
mod incidents;
mod journal;
mod network;
mod nodes;
mod processor;
mod settings;
mod takeovers;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;

use dillhold::session::ReadBuffer;
use pitchgw::interface::Nanos;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::audit::Auditor;
use crate::report::RunStatistics;
use crate::script::Script;
use callers::{CallIntent, CallerState};
use journal::JournalService;
use network::Network;
use nodes::{Leg, Machine};
use processor::{Job, Processor};
use takeovers::{Takeover, TakeoverStep};

/// One second.
pub const SEC: Nanos = 1_000_000_000;
pub use dillhold::clock::MS;

/// Q.850 cause of a normal release.
const CAUSE_NORMAL_CLEARING: u8 = 16;
/// Q.850 cause of the release of a call that was cut.
const CAUSE_TEMPORARY_FAILURE: u8 = 41;

/// Delay after which callers with standing calls reconnect to a controller once all their connections are closed.
const RECONNECT_DELAY: Nanos = SEC / 5;

/// Converts seconds to nanoseconds.
pub fn seconds_to_nanos(seconds: f64) -> Nanos {
    (seconds * 1e9).round() as Nanos
}

/// Identifies a connection between a controller and a simulated endpoint. Ids are never reused.
pub type SimConnectionId = u64;

/// The simulated end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Endpoint {
    /// Callers of the controller's exchange, and the source of calls in transit.
    Callers,
    /// A client that connects to the callers' address and violates the protocol.
    BadCaller,
    /// The machine of a node, by its index among all machines created so far.
    Machine(usize),
    /// The controller's journal service.
    Journal,
}

/// A request of the simulation to its driver.
#[derive(Clone, Debug)]
pub enum Action {
    /// Connect to a controller. The driver reports the result with [`World::connection_established`] or
    /// [`World::connection_closed`].
    Connect {
        /// Id of the connection.
        connection_id: SimConnectionId,
        /// Index of the controller at its other end.
        controller: usize,
    },
    /// Send bytes to the controller.
    Send {
        /// Id of the connection.
        connection_id: SimConnectionId,
        /// Index of the controller at its other end.
        controller: usize,
        /// Bytes to send.
        bytes: Vec<u8>,
    },
    /// Close the connection.
    Close {
        /// Id of the connection.
        connection_id: SimConnectionId,
        /// Index of the controller at its other end.
        controller: usize,
    },
    /// Shut down the sending direction, once the connection is established and its output is written.
    ShutdownWrite {
        /// Id of the connection.
        connection_id: SimConnectionId,
        /// Index of the controller at its other end.
        controller: usize,
    },
    /// Start a controller with this configuration.
    StartController {
        /// Index of the controller.
        controller: usize,
        /// Content of its configuration file.
        config: String,
    },
    /// Send a signal to a controller. The driver reports its exit with [`World::controller_stopped`].
    SignalController {
        /// Index of the controller.
        controller: usize,
        /// Signal to send.
        signal: Signal,
    },
    /// Kill a controller.
    KillController {
        /// Index of the controller.
        controller: usize,
    },
}

/// A signal to a controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM: shut down.
    Terminate,
    /// SIGINT: shut down, as for SIGTERM.
    Interrupt,
    /// SIGHUP: reload the configuration.
    Reload,
}

/// Result of a controller's attempt to connect to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectOutcome {
    /// The connection is established.
    Accepted,
    /// The connection is refused.
    Refused,
    /// The connection is neither established nor refused.
    TimesOut,
}

/// Returns the address at which a controller reaches an endpoint.
pub type EndpointAddresses = Box<dyn FnMut(usize, Endpoint) -> SocketAddr>;

struct SimConnection {
    controller: usize,
    endpoint: Endpoint,
    established: bool,
    /// The connection stays open, but bytes in both directions are dropped.
    silenced: bool,
    /// Half of a message was sent to the controller, which cannot read anything behind it.
    unreadable: bool,
    /// Present while the network to the node is partitioned.
    partition_buffer: Option<PartitionBuffer>,
    read_buffer: ReadBuffer,
    /// Output queued until the connection is established.
    unsent: Vec<u8>,
}

/// State of a controller's latest start, for the readiness check.
#[derive(Clone, Copy, Default)]
struct ControllerStart {
    at: Nanos,
    /// At least one caller connection was established since.
    connected: bool,
    /// At least one caller connection could not be established since.
    connect_failed: bool,
}

/// Bytes of a connection held back until a network partition ends.
#[derive(Default)]
struct PartitionBuffer {
    to_controller: Vec<u8>,
    from_controller: Vec<u8>,
}

/// A scheduled event of the simulation.
#[derive(Clone, Debug)]
enum Event {
    /// The next call of a node, or the time to draw its inter-arrival time again.
    Arrival {
        node: usize,
    },
    Redial {
        intent_id: u64,
    },
    /// The caller gives up a try, identified by the number of tries so far.
    CallerTimeout {
        intent_id: u64,
        tries: u32,
    },
    /// A standing call comes to its end.
    HoldTimeEnds {
        intent_id: u64,
    },
    JobCompleted {
        node: usize,
        job_generation: u64,
    },
    SetUpArrives {
        leg_id: u64,
    },
    RefusalArrives {
        leg_id: u64,
        cause: &'static str,
        code: u16,
    },
    AnswerArrives {
        leg_id: u64,
    },
    /// The network retransmits an unprocessed set-up, and again after the next interval.
    RetransmitSetUp {
        leg_id: u64,
        next_interval: Nanos,
    },
    CancelArrives {
        leg_id: u64,
    },
    FreeCircuits {
        leg_id: u64,
    },
    /// The retention time of an ended leg is over.
    ExpireLeg {
        leg_id: u64,
    },
    /// A journal service learns of a change of a machine, by its index among all changes.
    JournalUpdate {
        controller: usize,
        change_index: usize,
    },
    /// The maximum wait of a long poll is over.
    PollTimeout {
        controller: usize,
        connection_id: SimConnectionId,
        poll_number: u64,
    },
    AdviceSnapshot,
    TrafficDrift,
    Sample,
    /// Callers open no new connections to a terminating controller from now on.
    LeaveRotation {
        controller: usize,
    },
    /// Callers with standing calls reconnect to a controller.
    Reconnect {
        controller: usize,
    },
    /// Deadline by which a controller started at that time has to accept connections.
    ReadyDeadline {
        controller: usize,
        started_at: Nanos,
    },
    /// A slow journal service has finished the answer to a long poll.
    SlowAnswerReady {
        controller: usize,
        poll_number: u64,
    },
    /// Sends bytes on a connection, if it is still open.
    SendBytes {
        connection_id: SimConnectionId,
        bytes: Vec<u8>,
    },
    /// Delivers bytes that were under way.
    DelayedBytes {
        connection_id: SimConnectionId,
        bytes: Vec<u8>,
    },
    Takeover {
        takeover: Takeover,
        step: TakeoverStep,
    },
    BadCallerConnects {
        event_index: usize,
        controller: usize,
    },
    /// Deadline by which a bad caller has to be answered or disconnected.
    BadCallerDeadline {
        connection_id: SimConnectionId,
    },
    /// A script event reaches its next phase at a node.
    ScriptEventPhase {
        event_index: usize,
        node: usize,
        phase: incidents::Phase,
    },
}

/// The simulated world of one rehearsal: state, event queue and pending actions.
pub struct World {
    script: Script,
    start_time: Nanos,
    now: Nanos,
    /// No new calls are offered from this time on.
    arrivals_end: Nanos,
    /// The simulation ends.
    end_time: Nanos,
    /// By time, then in the order of scheduling.
    event_queue: BTreeMap<(Nanos, u64), Event>,
    next_sequence: u64,
    actions: VecDeque<Action>,
    addresses: EndpointAddresses,
    connections: BTreeMap<SimConnectionId, SimConnection>,
    next_connection: SimConnectionId,
    network: Network,
    processors: Vec<Processor>,
    machines: Vec<Machine>,
    /// By node, the index of the machine that currently serves it.
    machine_of_node: Vec<usize>,
    jobs: HashMap<u64, Job>,
    next_job: u64,
    legs: BTreeMap<u64, Leg>,
    next_leg: u64,
    /// The latest leg of each call, by controller and call id.
    latest_leg: HashMap<(usize, u64), u64>,
    callers: CallerState,
    intents: BTreeMap<u64, CallIntent>,
    journal_services: Vec<JournalService>,
    /// By controller, whether its process runs.
    running: Vec<bool>,
    /// By controller, whether callers open new connections to it.
    in_rotation: Vec<bool>,
    controller_starts: Vec<ControllerStart>,
    /// By controller, when SIGTERM was sent to it.
    terminated_at: Vec<Option<Nanos>>,
    /// By node, number of active script events that cut it off from the network.
    active_partitions: Vec<u32>,
    /// By node, number of active script events that block new connections to it.
    active_connect_blocks: Vec<u32>,
    /// By node, number of active script events in which it truncates or duplicates answers.
    active_answer_faults: Vec<u32>,
    /// Open connections of bad callers, and whether the controller has sent anything on them.
    bad_callers: BTreeMap<SimConnectionId, bool>,
    /// By script event, the nodes that it affects.
    affected_nodes: Vec<Vec<usize>>,
    /// Random numbers for reactions to controllers. Call arrivals use separate streams, so that they do not
    /// depend on what controllers do.
    rng: ChaCha8Rng,
    hasher: blake3::Hasher,
    /// Statistics for the report.
    pub statistics: RunStatistics,
    /// Checks the rules against the observed messages.
    pub auditor: Auditor,
}

impl World {
    /// Creates a world that begins at `start_time` (Unix time in nanoseconds) and offers calls for
    /// `arrival_period`.
    pub fn new(
        script: Script,
        seed: u64,
        start_time: Nanos,
        arrival_period: Nanos,
        addresses: EndpointAddresses,
    ) -> World {
        let stream = |n| {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            rng.set_stream(n);
            rng
        };
        let nodes = script.nodes as usize;
        let network = Network::new(&script, stream(1));
        let callers = CallerState::new(&script, seed);
        let seconds_per_set_up = processor::seconds_per_set_up(&script);
        let auditor = Auditor::new(&script);
        let statistics = RunStatistics::new(&script, arrival_period);
        let affected_nodes = incidents::draw_affected_nodes(&script, stream(2));
        let mut world = World {
            start_time,
            now: start_time,
            arrivals_end: start_time + arrival_period,
            end_time: start_time + arrival_period + seconds_to_nanos(script.run_out.0),
            event_queue: BTreeMap::new(),
            next_sequence: 0,
            actions: VecDeque::new(),
            addresses,
            connections: BTreeMap::new(),
            next_connection: 1,
            network,
            processors: (0..nodes).map(|_| Processor::new(seconds_per_set_up)).collect(),
            machines: (0..nodes).map(Machine::first).collect(),
            machine_of_node: (0..nodes).collect(),
            jobs: HashMap::new(),
            next_job: 0,
            legs: BTreeMap::new(),
            next_leg: 0,
            latest_leg: HashMap::new(),
            callers,
            intents: BTreeMap::new(),
            journal_services: (0..nodes).map(|_| JournalService::default()).collect(),
            running: vec![false; nodes],
            in_rotation: vec![false; nodes],
            controller_starts: vec![ControllerStart::default(); nodes],
            terminated_at: vec![None; nodes],
            active_partitions: vec![0; nodes],
            active_connect_blocks: vec![0; nodes],
            active_answer_faults: vec![0; nodes],
            bad_callers: BTreeMap::new(),
            affected_nodes,
            rng: stream(3),
            hasher: blake3::Hasher::new(),
            statistics,
            auditor,
            script,
        };
        for controller in 0..nodes {
            world.start_controller(controller);
            world.schedule_arrival(controller);
        }
        world.schedule_in(0, Event::AdviceSnapshot);
        world.schedule_in(seconds_to_nanos(world.script.groups.drift_every.0), Event::TrafficDrift);
        world.schedule_in(SEC / 2, Event::Sample);
        world.schedule_events();
        world
    }

    /// Returns the script of this rehearsal.
    pub fn script(&self) -> &Script {
        &self.script
    }

    /// Returns the number of controllers.
    pub fn controller_count(&self) -> usize {
        self.processors.len()
    }

    /// Returns the load of fresh calls in erlang of calls, by class and by the two ends of a trunk group, the lower
    /// node first. Demand events, the load profile and traffic drift are not included.
    pub fn offered_load(&self) -> BTreeMap<(String, (u32, u32)), f64> {
        let script = &self.script;
        let shares: f64 = script.classes.iter().map(|c| c.share.0).sum();
        let rate = script.planned_calls.0 / f64::from(script.nodes) * script.load.0;
        let mut loads = BTreeMap::new();
        for class in &script.classes {
            for a in 0..self.processors.len() {
                for b in (0..self.processors.len()).filter(|b| *b != a) {
                    let load =
                        rate * self.network.traffic_share(a, b) * class.share.0 / shares * class.hold.0;
                    let ends = (a.min(b) as u32, a.max(b) as u32);
                    *loads.entry((class.name.clone(), ends)).or_insert(0.0) += load;
                }
            }
        }
        loads
    }

    /// Returns the time of the next event, or `None` once no event is left before the end.
    pub fn next_event_time(&self) -> Option<Nanos> {
        let first = self.event_queue.first_key_value().map(|((at, _), _)| *at);
        first.filter(|at| *at <= self.end_time)
    }

    /// Returns the time at which the simulation ends.
    pub fn end_time(&self) -> Nanos {
        self.end_time
    }

    fn elapsed_seconds(&self) -> f64 {
        (self.now - self.start_time) as f64 * 1e-9
    }

    /// Advances the time to `now` and runs all events that are due.
    pub fn advance(&mut self, now: Nanos) {
        while let Some(entry) = self.event_queue.first_entry().filter(|e| e.key().0 <= now) {
            let ((at, _), event) = entry.remove_entry();
            self.now = self.now.max(at);
            self.dispatch(event);
        }
        self.now = self.now.max(now);
        self.auditor.advance(self.now);
    }

    /// Removes and returns the next action for the driver.
    pub fn poll_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// Returns the digest of all messages so far, with their times and connections.
    pub fn digest(&self) -> String {
        self.hasher.finalize().to_hex().to_string()
    }

    fn schedule_in(&mut self, delay: Nanos, event: Event) {
        self.schedule_at(self.now + delay, event);
    }

    fn schedule_at(&mut self, at: Nanos, event: Event) {
        self.event_queue.insert((at, self.next_sequence), event);
        self.next_sequence += 1;
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::Arrival { node: origin } => self.arrival(origin),
            Event::Redial { intent_id } => self.start_try(intent_id),
            Event::CallerTimeout { intent_id, tries } => self.caller_times_out(intent_id, tries),
            Event::HoldTimeEnds { intent_id } => self.end_call(intent_id),
            Event::JobCompleted { node, job_generation: run } => self.complete_job(node, run),
            Event::SetUpArrives { leg_id } => self.set_up_arrives(leg_id),
            Event::RefusalArrives { leg_id, cause, code } => self.refusal_arrives(leg_id, cause, code),
            Event::AnswerArrives { leg_id } => self.answer_arrives(leg_id),
            Event::RetransmitSetUp { leg_id, next_interval: gap } => self.retransmit_set_up(leg_id, gap),
            Event::CancelArrives { leg_id } => self.cancel_arrives(leg_id),
            Event::FreeCircuits { leg_id } => self.free_circuits(leg_id),
            Event::ExpireLeg { leg_id } => self.expire_leg(leg_id),
            Event::JournalUpdate { controller, change_index: event } => {
                self.update_journal(controller, event)
            }
            Event::PollTimeout { controller, connection_id, poll_number: number } => {
                self.expire_poll(controller, connection_id, number)
            }
            Event::AdviceSnapshot => self.take_advice_snapshot(),
            Event::TrafficDrift => {
                self.network.drift(&self.script);
                self.schedule_in(seconds_to_nanos(self.script.groups.drift_every.0), Event::TrafficDrift);
            }
            Event::Sample => self.sample(),
            Event::LeaveRotation { controller } => self.in_rotation[controller] = false,
            Event::Reconnect { controller } => self.reconnect(controller),
            Event::SlowAnswerReady { controller, poll_number: number } => {
                self.finish_slow_answer(controller, number)
            }
            Event::SendBytes { connection_id, bytes } => self.send(connection_id, &bytes),
            Event::DelayedBytes { connection_id, bytes } => self.deliver(connection_id, &bytes),
            Event::Takeover { takeover, step } => self.run_takeover(takeover, step),
            Event::ReadyDeadline { controller, started_at: started } => self.check_ready(controller, started),
            Event::BadCallerConnects { event_index: event, controller } => {
                self.connect_bad_caller(event, controller)
            }
            Event::BadCallerDeadline { connection_id } => self.check_bad_caller_answered(connection_id),
            Event::ScriptEventPhase { event_index: event, node, phase } => {
                self.run_script_event(event, node, phase)
            }
        }
    }

    fn new_connection(
        &mut self,
        controller: usize,
        endpoint: Endpoint,
        established: bool,
    ) -> SimConnectionId {
        let id = self.next_connection;
        self.next_connection += 1;
        let (read_buffer, unsent) = (ReadBuffer::default(), Vec::new());
        self.connections.insert(
            id,
            SimConnection {
                controller,
                endpoint,
                established,
                silenced: false,
                unreadable: false,
                partition_buffer: None,
                read_buffer,
                unsent,
            },
        );
        id
    }

    /// Returns what a controller's attempt to connect to an endpoint leads to at this time.
    pub fn connect_outcome(&self, controller: usize, endpoint: Endpoint) -> ConnectOutcome {
        match endpoint {
            Endpoint::Machine(m) => {
                let machine = &self.machines[self.machine_at_address(m)];
                let cut = self.active_partitions[machine.node] + self.active_connect_blocks[machine.node] > 0;
                if cut {
                    ConnectOutcome::TimesOut
                } else {
                    machine.connect_outcome
                }
            }
            Endpoint::Journal if self.journal_services[controller].broken_events > 0 => {
                ConnectOutcome::Refused
            }
            _ => ConnectOutcome::Accepted,
        }
    }

    /// Handles a new connection from a controller to an endpoint.
    pub fn controller_connected(
        &mut self,
        now: Nanos,
        controller: usize,
        endpoint: Endpoint,
    ) -> SimConnectionId {
        self.advance(now);
        let connection_id = self.new_connection(controller, endpoint, true);
        if let Endpoint::Machine(m) = endpoint {
            self.accept_machine_connection(controller, m, connection_id);
        }
        connection_id
    }

    /// Handles the establishment of a connection that was requested by [`Action::Connect`].
    pub fn connection_established(&mut self, now: Nanos, connection_id: SimConnectionId) {
        self.advance(now);
        if let Some(connection) = self.connections.get_mut(&connection_id) {
            connection.established = true;
            self.controller_starts[connection.controller].connected = true;
            let unsent = std::mem::take(&mut connection.unsent);
            if !unsent.is_empty() {
                self.send(connection_id, &unsent);
            }
        }
    }

    /// Handles the end of a connection: the controller closed or refused it, or exited.
    pub fn connection_closed(&mut self, now: Nanos, connection_id: SimConnectionId) {
        self.advance(now);
        self.remove_connection(connection_id);
    }

    fn remove_connection(&mut self, connection_id: SimConnectionId) {
        let Some(gone) = self.connections.remove(&connection_id) else { return };
        match gone.endpoint {
            Endpoint::Callers => {
                self.caller_connection_closed(gone.controller, connection_id, gone.established)
            }
            Endpoint::BadCaller => {
                self.bad_callers.remove(&connection_id);
            }
            Endpoint::Machine(m) => self.machine_connection_closed(gone.controller, m, connection_id),
            Endpoint::Journal => self.journal_services[gone.controller].connection_closed(connection_id),
        }
    }

    /// Whether bytes sent on a connection are delivered at once.
    fn delivers_now(&self, connection_id: SimConnectionId) -> bool {
        self.connections.get(&connection_id).is_some_and(|connection| {
            !connection.silenced && !connection.unreadable && connection.partition_buffer.is_none()
        })
    }

    /// Whether bytes sent on a connection are delivered, at once or after a network partition.
    fn delivers_eventually(&self, connection_id: SimConnectionId) -> bool {
        self.connections.get(&connection_id).is_some_and(|connection| !connection.silenced)
    }

    /// Closes a connection from the endpoint's side.
    fn close_connection(&mut self, connection_id: SimConnectionId) {
        if let Some(connection) = self.connections.get(&connection_id) {
            self.actions.push_back(Action::Close { connection_id, controller: connection.controller });
            self.remove_connection(connection_id);
        }
    }

    fn send(&mut self, connection_id: SimConnectionId, bytes: &[u8]) {
        let Some(connection) = self.connections.get(&connection_id).filter(|connection| !connection.silenced)
        else {
            return;
        };
        let delay = match connection.endpoint {
            Endpoint::Machine(machine) => self.machines[machine].send_delay,
            Endpoint::Callers | Endpoint::BadCaller | Endpoint::Journal => 0,
        };
        if delay > 0 {
            return self.schedule_in(delay, Event::DelayedBytes { connection_id, bytes: bytes.to_vec() });
        }
        self.deliver(connection_id, bytes);
    }

    /// Hands bytes to the driver, also those that were sent before the connection fell silent.
    fn deliver(&mut self, connection_id: SimConnectionId, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(&connection_id) else { return };
        if !connection.established {
            return connection.unsent.extend(bytes);
        }
        if let Some(held) = &mut connection.partition_buffer {
            return held.to_controller.extend(bytes);
        }
        let controller = connection.controller;
        update_digest(&mut self.hasher, self.now, connection_id, 0, bytes);
        match self.actions.back_mut() {
            Some(Action::Send { connection_id: last, bytes: more, .. }) if *last == connection_id => {
                more.extend(bytes)
            }
            _ => self.actions.push_back(Action::Send { connection_id, controller, bytes: bytes.to_vec() }),
        }
    }

    /// Handles bytes from a controller.
    pub fn bytes_received(&mut self, now: Nanos, connection_id: SimConnectionId, bytes: &[u8]) {
        self.advance(now);
        let Some(connection) =
            self.connections.get_mut(&connection_id).filter(|connection| !connection.silenced)
        else {
            return;
        };
        if let Some(held) = &mut connection.partition_buffer {
            return held.from_controller.extend(bytes);
        }
        update_digest(&mut self.hasher, self.now, connection_id, 1, bytes);
        connection.read_buffer.append(bytes);
        let mut read_buffer = std::mem::take(&mut connection.read_buffer);
        let (controller, endpoint) = (connection.controller, connection.endpoint);
        let readable = match endpoint {
            Endpoint::Callers => self.handle_caller_messages(controller, &mut read_buffer),
            Endpoint::BadCaller => {
                self.bad_callers.insert(connection_id, true);
                true
            }
            Endpoint::Machine(m) => self.handle_sip_messages(controller, m, connection_id, &mut read_buffer),
            Endpoint::Journal => self.handle_journal_request(controller, connection_id, &mut read_buffer),
        };
        if !readable {
            self.auditor.malformed_output(self.now, controller);
            return self.close_connection(connection_id);
        }
        if let Some(connection) = self.connections.get_mut(&connection_id) {
            connection.read_buffer = read_buffer;
        }
    }

    fn sample(&mut self) {
        for n in 0..self.processors.len() {
            let (wait, cold) = (
                self.processors[n].queue_wait_seconds(),
                self.processors[n].cold_load(self.now, &self.script),
            );
            self.statistics.sample_node(self.elapsed_seconds(), n, wait, cold);
        }
        if self.now < self.arrivals_end {
            self.schedule_in(SEC / 2, Event::Sample);
        }
    }

    fn take_advice_snapshot(&mut self) {
        self.network.take_snapshot();
        // Advice uses the snapshot before the latest one, which is one to two intervals old.
        let [from, to] = self.script.advice.age;
        self.schedule_in(seconds_to_nanos((to.0 - from.0).max(0.5)), Event::AdviceSnapshot);
    }
}

/// Adds bytes to the digest. Direction: 0 towards the controller, 1 from it.
fn update_digest(
    hasher: &mut blake3::Hasher,
    now: Nanos,
    connection_id: SimConnectionId,
    direction: u8,
    bytes: &[u8],
) {
    hasher.update(&now.to_le_bytes());
    hasher.update(&connection_id.to_le_bytes());
    hasher.update(&[direction]);
    hasher.update(&(bytes.len() as u64).to_le_bytes());
    hasher.update(bytes);
}
