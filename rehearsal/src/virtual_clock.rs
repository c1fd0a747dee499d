//! The virtual clock: runs the simulated world with complete controllers in this process, deterministically and
//! without waiting. Controllers receive and send the same bytes as over sockets.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};

use dillhold::directory::{read_config, read_settings};
use dillhold::engine::{ConnId, Engine, Interest, Output};
use measured::calendar::Calendar;
use measured::record::Interval;
use pitchgw::interface::Nanos;

use crate::world::{Action, ConnectOutcome, Endpoint, Signal, SimConnectionId, World, MS};

/// Unix time at which every rehearsal begins.
pub const START_TIME: Nanos = 1_800_000_000_000 * MS;
/// Delay of bytes between a controller and a simulated endpoint.
const NETWORK_LATENCY: Nanos = MS / 20;
/// Upper limit of the tick, as in the real driver: a longer tick does not delay turns further.
const MAX_TICK: Nanos = 10 * MS;
/// Port of callers in the made-up addresses of endpoints.
const CALLERS_PORT: u16 = 1;
/// Port of the journal service.
const JOURNAL_PORT: u16 = 2;
/// Port of the first machine; the others follow in the order of their indices.
const FIRST_MACHINE_PORT: u16 = 16;

/// A controller under test: the engine, or a substitute that breaks a rule on purpose. The methods are those of
/// [`Engine`].
#[allow(missing_docs)]
pub trait Controller {
    fn begin_turn(&mut self, now: Nanos);
    fn tick(&self) -> Nanos;
    fn next_deadline(&self) -> Option<Nanos>;
    fn accepted(&mut self) -> Option<ConnId>;
    fn connected(&mut self, conn: ConnId);
    fn connect_failed(&mut self, conn: ConnId, refused: bool);
    fn read_closed(&mut self, conn: ConnId);
    fn read_buffer(&mut self, conn: ConnId) -> Option<&mut [u8]>;
    fn bytes_read(&mut self, conn: ConnId, count: usize);
    fn handle_deadlines(&mut self);
    fn run_commands(&mut self);
    fn poll_output(&mut self) -> Option<Output>;
    fn poll_write(&mut self) -> Option<ConnId>;
    fn pending_bytes(&self, conn: ConnId) -> &[u8];
    fn bytes_written(&mut self, conn: ConnId, count: usize);
    fn flushed(&mut self, conn: ConnId) -> Option<Interest>;
    fn is_turn_complete(&self) -> bool;
    fn end_turn(&mut self);
    fn shut_down(&mut self);
    /// Returns the next closed measurement interval; with `running`, closes the current interval first.
    fn poll_interval(&mut self, _running: bool) -> Option<Interval> {
        None
    }
}

macro_rules! forward {
    ($($name:ident(&mut self $(, $arg:ident: $type:ty)*) $(-> $out:ty)?;)* | $($get:ident(&self $(, $garg:ident: $gtype:ty)*) -> $gout:ty;)*) => {
        impl Controller for Engine {
            fn poll_interval(&mut self, running: bool) -> Option<Interval> {
                if running {
                    self.close_interval();
                }
                Engine::poll_interval(self)
            }
            $(fn $name(&mut self $(, $arg: $type)*) $(-> $out)? { Engine::$name(self $(, $arg)*) })*
            $(fn $get(&self $(, $garg: $gtype)*) -> $gout { Engine::$get(self $(, $garg)*) })*
        }
    };
}

forward! {
    begin_turn(&mut self, now: Nanos);
    accepted(&mut self) -> Option<ConnId>;
    connected(&mut self, conn: ConnId);
    connect_failed(&mut self, conn: ConnId, refused: bool);
    read_closed(&mut self, conn: ConnId);
    read_buffer(&mut self, conn: ConnId) -> Option<&mut [u8]>;
    bytes_read(&mut self, conn: ConnId, count: usize);
    handle_deadlines(&mut self);
    run_commands(&mut self);
    poll_output(&mut self) -> Option<Output>;
    poll_write(&mut self) -> Option<ConnId>;
    bytes_written(&mut self, conn: ConnId, count: usize);
    flushed(&mut self, conn: ConnId) -> Option<Interest>;
    end_turn(&mut self);
    shut_down(&mut self);
    |
    tick(&self) -> Nanos;
    next_deadline(&self) -> Option<Nanos>;
    pending_bytes(&self, conn: ConnId) -> &[u8];
    is_turn_complete(&self) -> bool;
}

/// Creates a controller at a time from the text of its configuration.
pub type ControllerFactory<'a> = &'a mut dyn FnMut(Nanos, &str) -> Result<Box<dyn Controller>, String>;

/// Creates an [`Engine`].
pub fn new_engine(now: Nanos, config: &str) -> Result<Box<dyn Controller>, String> {
    let config = read_config(config)?;
    let settings = read_settings(&config)?;
    Ok(Box::new(Engine::new(now, config, settings)?))
}

/// Returns a factory of [`Engine`]s that measure their load according to a calendar.
pub fn new_measuring_engine(
    calendar: Calendar,
) -> impl FnMut(Nanos, &str) -> Result<Box<dyn Controller>, String> {
    move |now, config| {
        let config = read_config(config)?;
        let settings = read_settings(&config)?;
        let mut engine = Engine::new(now, config, settings)?;
        engine.start_measuring(calendar.clone());
        Ok(Box::new(engine))
    }
}

/// Returns the made-up address at which a controller reaches an endpoint.
pub fn endpoint_address(controller: usize, endpoint: Endpoint) -> SocketAddr {
    let port = match endpoint {
        Endpoint::Callers | Endpoint::BadCaller => CALLERS_PORT,
        Endpoint::Journal => JOURNAL_PORT,
        Endpoint::Machine(m) => FIRST_MACHINE_PORT + m as u16,
    };
    (Ipv4Addr::new(127, 77, (controller / 250) as u8, (controller % 250) as u8), port).into()
}

fn endpoint_at(address: SocketAddr) -> Endpoint {
    match address.port() {
        CALLERS_PORT => Endpoint::Callers,
        JOURNAL_PORT => Endpoint::Journal,
        port => Endpoint::Machine(usize::from(port - FIRST_MACHINE_PORT)),
    }
}

/// Input for a controller.
enum Inbound {
    Accept(SimConnectionId),
    Bytes(SimConnectionId, Vec<u8>),
    ReadClosed(SimConnectionId),
    Connected(ConnId, SimConnectionId),
    ConnectFailed(ConnId),
}

/// Anything on its way between a controller and the world.
enum Delivery {
    /// For a controller, unless it has been restarted since, which increments the generation.
    Inbound {
        controller_index: usize,
        generation: u32,
        inbound: Inbound,
    },
    Bytes(SimConnectionId, Vec<u8>),
    Closed(SimConnectionId),
    ConnectRequested {
        controller_index: usize,
        generation: u32,
        conn: ConnId,
        endpoint: Endpoint,
    },
}

/// A controller with its connections and its next turn.
#[derive(Default)]
struct ControllerSlot {
    controller: Option<Box<dyn Controller>>,
    /// Incremented at each start and stop, so that deliveries to an earlier controller are dropped.
    generation: u32,
    listening: bool,
    last_turn: Nanos,
    scheduled_turn: Option<Nanos>,
    inbound: VecDeque<Inbound>,
    engine_connections: BTreeMap<SimConnectionId, ConnId>,
    sim_connections: BTreeMap<ConnId, SimConnectionId>,
    connecting: BTreeSet<ConnId>,
}

/// Event loop of a run on the virtual clock.
struct VirtualClock<'a> {
    now: Nanos,
    world: World,
    slots: Vec<ControllerSlot>,
    /// Scheduled turns: time and controller index.
    turns: BTreeSet<(Nanos, usize)>,
    /// Pending deliveries. All have the same delay, so they arrive in the order in which they were sent.
    deliveries: VecDeque<(Nanos, Delivery)>,
    create_controller: ControllerFactory<'a>,
    intervals: Vec<Interval>,
}

/// Runs a world to its end. Also returns the measurement intervals of the controllers.
pub fn run(world: World, create_controller: ControllerFactory<'_>) -> Result<(World, Vec<Interval>), String> {
    let slots = (0..world.controller_count()).map(|_| ControllerSlot::default()).collect();
    let (turns, deliveries) = (BTreeSet::new(), VecDeque::new());
    let mut clock = VirtualClock {
        now: START_TIME,
        world,
        slots,
        turns,
        deliveries,
        create_controller,
        intervals: Vec::new(),
    };
    clock.perform_actions()?;
    while clock.step()? {}
    let end_time = clock.world.end_time();
    clock.world.advance(end_time);
    clock.world.finalize();
    for controller in clock.slots.iter_mut().filter_map(|slot| slot.controller.as_mut()) {
        controller.begin_turn(end_time);
        clock.intervals.extend(std::iter::from_fn(|| controller.poll_interval(true)));
    }
    Ok((clock.world, clock.intervals))
}

impl VirtualClock<'_> {
    /// Advances to the next scheduled event, delivery or turn. Returns false if there is none.
    fn step(&mut self) -> Result<bool, String> {
        let next = [
            self.world.next_event_time(),
            self.deliveries.front().map(|d| d.0),
            self.turns.first().map(|t| t.0),
        ];
        let Some(now) = next.into_iter().flatten().min().filter(|at| *at <= self.world.end_time()) else {
            return Ok(false);
        };
        self.now = self.now.max(now);
        while self.deliveries.front().is_some_and(|d| d.0 <= now) {
            if let Some((_, delivery)) = self.deliveries.pop_front() {
                self.deliver(delivery);
            }
        }
        self.world.advance(self.now);
        self.perform_actions()?;
        while let Some(&(at, controller_index)) = self.turns.first().filter(|t| t.0 <= self.now) {
            self.turns.remove(&(at, controller_index));
            self.slots[controller_index].scheduled_turn = None;
            self.run_turn(controller_index);
            self.perform_actions()?;
        }
        Ok(true)
    }

    fn schedule_delivery(&mut self, delivery: Delivery) {
        self.deliveries.push_back((self.now + NETWORK_LATENCY, delivery));
    }

    fn schedule_inbound(&mut self, controller_index: usize, inbound: Inbound) {
        let generation = self.slots[controller_index].generation;
        self.schedule_delivery(Delivery::Inbound { controller_index, generation, inbound });
    }

    fn perform_actions(&mut self) -> Result<(), String> {
        while let Some(action) = self.world.poll_action() {
            match action {
                Action::Connect { connection_id: sim_connection, controller: controller_index } => {
                    self.schedule_inbound(controller_index, Inbound::Accept(sim_connection))
                }
                Action::Send { connection_id: sim_connection, controller, bytes } => {
                    self.schedule_inbound(controller, Inbound::Bytes(sim_connection, bytes))
                }
                Action::Close { connection_id: sim_connection, controller } => {
                    self.schedule_inbound(controller, Inbound::ReadClosed(sim_connection))
                }
                Action::StartController { controller: controller_index, config } => {
                    let controller = (self.create_controller)(self.now, &config)?;
                    let slot = &mut self.slots[controller_index];
                    let generation = slot.generation + 1;
                    if let Some(at) = slot.scheduled_turn {
                        self.turns.remove(&(at, controller_index));
                    }
                    *slot = ControllerSlot {
                        controller: Some(controller),
                        generation,
                        ..ControllerSlot::default()
                    };
                    self.schedule_turn(controller_index, self.now);
                }
                Action::SignalController {
                    controller: controller_index,
                    signal: Signal::Terminate | Signal::Interrupt,
                } => {
                    if let Some(controller) = &mut self.slots[controller_index].controller {
                        controller.begin_turn(self.now);
                        controller.shut_down();
                    }
                    self.schedule_turn(controller_index, self.now);
                }
                // Controllers in this process read their configuration only at the start.
                Action::SignalController { signal: Signal::Reload, .. } => {}
                Action::ShutdownWrite { connection_id: sim_connection, controller } => {
                    self.schedule_inbound(controller, Inbound::ReadClosed(sim_connection))
                }
                Action::KillController { controller: controller_index } => {
                    self.remove_controller(controller_index)
                }
            }
        }
        Ok(())
    }

    fn remove_controller(&mut self, controller_index: usize) {
        let slot = &mut self.slots[controller_index];
        if let Some(at) = slot.scheduled_turn {
            self.turns.remove(&(at, controller_index));
        }
        let generation = slot.generation + 1;
        *slot = ControllerSlot { generation, ..ControllerSlot::default() };
    }

    fn schedule_turn(&mut self, controller_index: usize, at: Nanos) {
        let slot = &mut self.slots[controller_index];
        let Some(controller) = &slot.controller else { return };
        let at = at.max(self.now).max(slot.last_turn + controller.tick().min(MAX_TICK));
        if slot.scheduled_turn.is_none_or(|scheduled_turn| at < scheduled_turn) {
            if let Some(before) = slot.scheduled_turn.replace(at) {
                self.turns.remove(&(before, controller_index));
            }
            self.turns.insert((at, controller_index));
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        let now = self.now;
        match delivery {
            Delivery::Inbound { controller_index, generation, inbound } => {
                if self.slots[controller_index].generation == generation
                    && self.slots[controller_index].controller.is_some()
                {
                    self.slots[controller_index].inbound.push_back(inbound);
                    self.schedule_turn(controller_index, now);
                } else if let Inbound::Accept(sim_connection) | Inbound::Connected(_, sim_connection) =
                    inbound
                {
                    self.world.connection_closed(now, sim_connection); // the controller is gone
                }
            }
            Delivery::Bytes(sim_connection, bytes) => self.world.bytes_received(now, sim_connection, &bytes),
            Delivery::Closed(sim_connection) => self.world.connection_closed(now, sim_connection),
            Delivery::ConnectRequested { controller_index, generation, conn, endpoint } => {
                if self.slots[controller_index].generation != generation {
                    return;
                }
                let inbound = match self.world.connect_outcome(controller_index, endpoint) {
                    ConnectOutcome::Accepted => Inbound::Connected(
                        conn,
                        self.world.controller_connected(now, controller_index, endpoint),
                    ),
                    ConnectOutcome::Refused => Inbound::ConnectFailed(conn),
                    ConnectOutcome::TimesOut => return,
                };
                self.schedule_inbound(controller_index, inbound);
            }
        }
    }

    fn run_turn(&mut self, controller_index: usize) {
        let Some(mut controller) = self.slots[controller_index].controller.take() else { return };
        self.slots[controller_index].last_turn = self.now;
        controller.begin_turn(self.now);
        while let Some(inbound) = self.slots[controller_index].inbound.pop_front() {
            self.handle_inbound(controller_index, controller.as_mut(), inbound);
        }
        controller.handle_deadlines();
        let mut stopped = false;
        loop {
            controller.run_commands();
            stopped |= self.handle_outputs(controller_index, controller.as_mut());
            while let Some(conn) = controller.poll_write() {
                let sim_connection = self.slots[controller_index].sim_connections.get(&conn).copied();
                let pending = controller.pending_bytes(conn);
                if let (Some(sim_connection), false) = (sim_connection, pending.is_empty()) {
                    let bytes = pending.to_vec();
                    controller.bytes_written(conn, bytes.len());
                    self.schedule_delivery(Delivery::Bytes(sim_connection, bytes));
                }
                controller.flushed(conn);
            }
            if controller.is_turn_complete() {
                break;
            }
        }
        controller.end_turn();
        stopped |= self.handle_outputs(controller_index, controller.as_mut());
        self.intervals.extend(std::iter::from_fn(|| controller.poll_interval(false)));
        if stopped {
            self.remove_controller(controller_index);
            return self.world.controller_stopped(self.now, controller_index);
        }
        let deadline = controller.next_deadline();
        self.slots[controller_index].controller = Some(controller);
        if let Some(deadline) = deadline {
            self.schedule_turn(controller_index, deadline);
        }
    }

    fn handle_inbound(&mut self, controller_index: usize, controller: &mut dyn Controller, inbound: Inbound) {
        match inbound {
            Inbound::Accept(sim_connection) => {
                let conn = if self.slots[controller_index].listening { controller.accepted() } else { None };
                let Some(conn) = conn else {
                    return self.schedule_delivery(Delivery::Closed(sim_connection));
                };
                self.slots[controller_index].engine_connections.insert(sim_connection, conn);
                self.slots[controller_index].sim_connections.insert(conn, sim_connection);
                self.world.connection_established(self.now, sim_connection);
            }
            Inbound::Connected(conn, sim_connection) => {
                if !self.slots[controller_index].connecting.remove(&conn) {
                    return self.schedule_delivery(Delivery::Closed(sim_connection));
                }
                self.slots[controller_index].engine_connections.insert(sim_connection, conn);
                self.slots[controller_index].sim_connections.insert(conn, sim_connection);
                controller.connected(conn);
            }
            Inbound::ConnectFailed(conn) => {
                self.slots[controller_index].connecting.remove(&conn);
                controller.connect_failed(conn, true);
            }
            Inbound::Bytes(sim_connection, bytes) => {
                let Some(conn) =
                    self.slots[controller_index].engine_connections.get(&sim_connection).copied()
                else {
                    return;
                };
                let mut remaining = &bytes[..];
                while let Some(free_space) = controller.read_buffer(conn).filter(|_| !remaining.is_empty()) {
                    let count = free_space.len().min(remaining.len());
                    free_space[..count].copy_from_slice(&remaining[..count]);
                    remaining = &remaining[count..];
                    controller.bytes_read(conn, count);
                }
            }
            Inbound::ReadClosed(sim_connection) => {
                if let Some(conn) = self.slots[controller_index].engine_connections.remove(&sim_connection) {
                    self.slots[controller_index].sim_connections.remove(&conn);
                    controller.read_closed(conn);
                }
            }
        }
    }

    /// Carries out the outputs of a controller. Returns whether the controller has stopped.
    fn handle_outputs(&mut self, controller_index: usize, controller: &mut dyn Controller) -> bool {
        let mut stopped = false;
        while let Some(output) = controller.poll_output() {
            match output {
                Output::Connect { conn, to } => {
                    self.slots[controller_index].connecting.insert(conn);
                    let generation = self.slots[controller_index].generation;
                    self.schedule_delivery(Delivery::ConnectRequested {
                        controller_index,
                        generation,
                        conn,
                        endpoint: endpoint_at(to),
                    });
                }
                Output::Close(conn) => {
                    self.slots[controller_index].connecting.remove(&conn);
                    if let Some(sim_connection) = self.slots[controller_index].sim_connections.remove(&conn) {
                        self.slots[controller_index].engine_connections.remove(&sim_connection);
                        self.schedule_delivery(Delivery::Closed(sim_connection));
                    }
                }
                Output::ShutdownWrite(conn) => {
                    if let Some(sim_connection) =
                        self.slots[controller_index].sim_connections.get(&conn).copied()
                    {
                        self.schedule_delivery(Delivery::Closed(sim_connection));
                        self.schedule_inbound(controller_index, Inbound::ReadClosed(sim_connection));
                    }
                }
                Output::Listen(_) => self.slots[controller_index].listening = true,
                Output::StopListening => self.slots[controller_index].listening = false,
                Output::Stop => stopped = true,
            }
        }
        stopped
    }
}
