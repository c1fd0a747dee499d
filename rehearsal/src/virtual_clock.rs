//! The virtual clock: whole controllers in this process, byte by byte, as fast as they go and the same every
//! time.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};

use dillhold::directory::{read_config, read_settings};
use dillhold::engine::{ConnId, Engine, Interest, Output};
use measured::calendar::Calendar;
use measured::record::Interval;
use pitchgw::interface::Nanos;

use crate::world::{Act, Party, Reach, Signal, WireId, World, MS};

/// The Unix time at which every rehearsal begins.
pub const START_TIME: Nanos = 1_800_000_000_000 * MS;
/// The time that bytes take between a controller and a party of the world.
const LATENCY: Nanos = MS / 20;
/// Turns are no further apart than this on account of the tick, as in the real driver.
const MOST_TICK: Nanos = 10 * MS;
/// Ports of the parties' made-up addresses: callers, the journal, then the machines.
const PORTS: [u16; 3] = [1, 2, 16];

/// What a rehearsal drives: the engine, or a stand-in that breaks a rule on purpose. The methods are those of
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
    /// The next closed interval of what it measures; `running`: the present one too.
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

/// Starts a controller from its configuration.
pub type ControllerFactory<'a> = &'a mut dyn FnMut(Nanos, &str) -> Result<Box<dyn Controller>, String>;

/// Starts the real thing.
pub fn new_engine(now: Nanos, config: &str) -> Result<Box<dyn Controller>, String> {
    let config = read_config(config)?;
    let told = read_settings(&config)?;
    Ok(Box::new(Engine::new(now, config, told)?))
}

/// Starts the real thing, which measures by a calendar.
pub fn new_measuring_engine(
    calendar: Calendar,
) -> impl FnMut(Nanos, &str) -> Result<Box<dyn Controller>, String> {
    move |now, config| {
        let config = read_config(config)?;
        let told = read_settings(&config)?;
        let mut engine = Engine::new(now, config, told)?;
        engine.start_measuring(calendar.clone());
        Ok(Box::new(engine))
    }
}

/// The made-up address of a party as a controller reaches it.
pub fn endpoint_address(controller: usize, party: Party) -> SocketAddr {
    let port = match party {
        Party::Callers | Party::BadCaller => PORTS[0],
        Party::Journal => PORTS[1],
        Party::Machine(m) => PORTS[2] + m as u16,
    };
    (Ipv4Addr::new(127, 77, (controller / 250) as u8, (controller % 250) as u8), port).into()
}

fn party(address: SocketAddr) -> Party {
    match address.port() {
        p if p == PORTS[0] => Party::Callers,
        p if p == PORTS[1] => Party::Journal,
        p => Party::Machine(usize::from(p - PORTS[2])),
    }
}

enum Inbound {
    Accept(WireId),
    Bytes(WireId, Vec<u8>),
    Ended(WireId),
    Connected(ConnId, WireId),
    ConnectFailed(ConnId),
}

enum Delivery {
    /// For a controller, if it is still the one that was meant.
    Inbound(usize, u32, Inbound),
    Bytes(WireId, Vec<u8>),
    Closed(WireId),
    Dialled(usize, u32, ConnId, Party),
}

#[derive(Default)]
struct Host {
    controller: Option<Box<dyn Controller>>,
    generation: u32,
    listening: bool,
    last_turn: Nanos,
    planned: Option<Nanos>,
    inbound: VecDeque<Inbound>,
    wires: BTreeMap<WireId, ConnId>,
    conns: BTreeMap<ConnId, WireId>,
    dialling: BTreeSet<ConnId>,
}

struct Clock<'a> {
    now: Nanos,
    world: World,
    hosts: Vec<Host>,
    turns: BTreeSet<(Nanos, usize)>,
    /// All take equally long, so they arrive in the order in which they were sent.
    deliveries: VecDeque<(Nanos, Delivery)>,
    make: ControllerFactory<'a>,
    intervals: Vec<Interval>,
}

/// Plays a world to its end; tells the intervals that controllers measured, too.
pub fn run(world: World, make: ControllerFactory<'_>) -> Result<(World, Vec<Interval>), String> {
    let hosts = (0..world.controllers()).map(|_| Host::default()).collect();
    let (turns, deliveries) = (BTreeSet::new(), VecDeque::new());
    let mut clock = Clock { now: START_TIME, world, hosts, turns, deliveries, make, intervals: Vec::new() };
    clock.acts()?;
    while clock.step()? {}
    let until = clock.world.until();
    clock.world.advance(until);
    clock.world.close_books();
    for controller in clock.hosts.iter_mut().filter_map(|h| h.controller.as_mut()) {
        controller.begin_turn(until);
        clock.intervals.extend(std::iter::from_fn(|| controller.poll_interval(true)));
    }
    Ok((clock.world, clock.intervals))
}

impl Clock<'_> {
    /// Goes on to the next moment at which anything happens; false: nothing more does.
    fn step(&mut self) -> Result<bool, String> {
        let next =
            [self.world.next_due(), self.deliveries.front().map(|d| d.0), self.turns.first().map(|t| t.0)];
        let Some(now) = next.into_iter().flatten().min().filter(|at| *at <= self.world.until()) else {
            return Ok(false);
        };
        self.now = self.now.max(now);
        while self.deliveries.front().is_some_and(|d| d.0 <= now) {
            if let Some((_, delivery)) = self.deliveries.pop_front() {
                self.deliver(delivery);
            }
        }
        self.world.advance(self.now);
        self.acts()?;
        while let Some(&(at, host)) = self.turns.first().filter(|t| t.0 <= self.now) {
            self.turns.remove(&(at, host));
            self.hosts[host].planned = None;
            self.turn(host);
            self.acts()?;
        }
        Ok(true)
    }

    fn later(&mut self, delivery: Delivery) {
        self.deliveries.push_back((self.now + LATENCY, delivery));
    }

    fn inbound(&mut self, host: usize, what: Inbound) {
        let generation = self.hosts[host].generation;
        self.later(Delivery::Inbound(host, generation, what));
    }

    fn acts(&mut self) -> Result<(), String> {
        while let Some(act) = self.world.poll() {
            match act {
                Act::Connect(wire, host) => self.inbound(host, Inbound::Accept(wire)),
                Act::Send(wire, controller, bytes) => self.inbound(controller, Inbound::Bytes(wire, bytes)),
                Act::Close(wire, controller) => self.inbound(controller, Inbound::Ended(wire)),
                Act::Start(host, config) => {
                    let controller = (self.make)(self.now, &config)?;
                    let h = &mut self.hosts[host];
                    let generation = h.generation + 1;
                    if let Some(at) = h.planned {
                        self.turns.remove(&(at, host));
                    }
                    *h = Host { controller: Some(controller), generation, ..Host::default() };
                    self.plan(host, self.now);
                }
                Act::Signal(host, Signal::Terminate | Signal::Interrupt) => {
                    if let Some(controller) = &mut self.hosts[host].controller {
                        controller.begin_turn(self.now);
                        controller.shut_down();
                    }
                    self.plan(host, self.now);
                }
                // Here a configuration is read at the start only.
                Act::Signal(_, Signal::Reload) => {}
                Act::Finish(wire, controller) => self.inbound(controller, Inbound::Ended(wire)),
                Act::Kill(host) => self.remove(host),
            }
        }
        Ok(())
    }

    fn remove(&mut self, host: usize) {
        let h = &mut self.hosts[host];
        if let Some(at) = h.planned {
            self.turns.remove(&(at, host));
        }
        let generation = h.generation + 1;
        *h = Host { generation, ..Host::default() };
    }

    fn plan(&mut self, host: usize, at: Nanos) {
        let h = &mut self.hosts[host];
        let Some(controller) = &h.controller else { return };
        let at = at.max(self.now).max(h.last_turn + controller.tick().min(MOST_TICK));
        if h.planned.is_none_or(|planned| at < planned) {
            if let Some(before) = h.planned.replace(at) {
                self.turns.remove(&(before, host));
            }
            self.turns.insert((at, host));
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        let now = self.now;
        match delivery {
            Delivery::Inbound(host, generation, what) => {
                if self.hosts[host].generation == generation && self.hosts[host].controller.is_some() {
                    self.hosts[host].inbound.push_back(what);
                    self.plan(host, now);
                } else if let Inbound::Accept(wire) | Inbound::Connected(_, wire) = what {
                    self.world.closed(now, wire); // nobody is there any more
                }
            }
            Delivery::Bytes(wire, bytes) => self.world.received(now, wire, &bytes),
            Delivery::Closed(wire) => self.world.closed(now, wire),
            Delivery::Dialled(host, generation, conn, party) => {
                if self.hosts[host].generation != generation {
                    return;
                }
                let what = match self.world.reach(host, party) {
                    Reach::Up => Inbound::Connected(conn, self.world.accepted(now, host, party)),
                    Reach::Refused => Inbound::ConnectFailed(conn),
                    Reach::Never => return,
                };
                self.inbound(host, what);
            }
        }
    }

    fn turn(&mut self, host: usize) {
        let Some(mut controller) = self.hosts[host].controller.take() else { return };
        self.hosts[host].last_turn = self.now;
        controller.begin_turn(self.now);
        while let Some(what) = self.hosts[host].inbound.pop_front() {
            self.take_in(host, controller.as_mut(), what);
        }
        controller.handle_deadlines();
        let mut stopped = false;
        loop {
            controller.run_commands();
            stopped |= self.perform(host, controller.as_mut());
            while let Some(conn) = controller.poll_write() {
                let wire = self.hosts[host].conns.get(&conn).copied();
                let pending = controller.pending_bytes(conn);
                if let (Some(wire), false) = (wire, pending.is_empty()) {
                    let bytes = pending.to_vec();
                    controller.bytes_written(conn, bytes.len());
                    self.later(Delivery::Bytes(wire, bytes));
                }
                controller.flushed(conn);
            }
            if controller.is_turn_complete() {
                break;
            }
        }
        controller.end_turn();
        stopped |= self.perform(host, controller.as_mut());
        self.intervals.extend(std::iter::from_fn(|| controller.poll_interval(false)));
        if stopped {
            self.remove(host);
            return self.world.stopped(self.now, host);
        }
        let due = controller.next_deadline();
        self.hosts[host].controller = Some(controller);
        if let Some(due) = due {
            self.plan(host, due);
        }
    }

    fn take_in(&mut self, host: usize, controller: &mut dyn Controller, what: Inbound) {
        match what {
            Inbound::Accept(wire) => {
                let conn = if self.hosts[host].listening { controller.accepted() } else { None };
                let Some(conn) = conn else { return self.later(Delivery::Closed(wire)) };
                self.hosts[host].wires.insert(wire, conn);
                self.hosts[host].conns.insert(conn, wire);
                self.world.connected(self.now, wire);
            }
            Inbound::Connected(conn, wire) => {
                if !self.hosts[host].dialling.remove(&conn) {
                    return self.later(Delivery::Closed(wire));
                }
                self.hosts[host].wires.insert(wire, conn);
                self.hosts[host].conns.insert(conn, wire);
                controller.connected(conn);
            }
            Inbound::ConnectFailed(conn) => {
                self.hosts[host].dialling.remove(&conn);
                controller.connect_failed(conn, true);
            }
            Inbound::Bytes(wire, bytes) => {
                let Some(conn) = self.hosts[host].wires.get(&wire).copied() else { return };
                let mut rest = &bytes[..];
                while let Some(room) = controller.read_buffer(conn).filter(|_| !rest.is_empty()) {
                    let count = room.len().min(rest.len());
                    room[..count].copy_from_slice(&rest[..count]);
                    rest = &rest[count..];
                    controller.bytes_read(conn, count);
                }
            }
            Inbound::Ended(wire) => {
                if let Some(conn) = self.hosts[host].wires.remove(&wire) {
                    self.hosts[host].conns.remove(&conn);
                    controller.read_closed(conn);
                }
            }
        }
    }

    /// Does what a controller asks for; whether it has come to its end.
    fn perform(&mut self, host: usize, controller: &mut dyn Controller) -> bool {
        let mut stopped = false;
        while let Some(output) = controller.poll_output() {
            match output {
                Output::Connect { conn, to } => {
                    self.hosts[host].dialling.insert(conn);
                    let generation = self.hosts[host].generation;
                    self.later(Delivery::Dialled(host, generation, conn, party(to)));
                }
                Output::Close(conn) => {
                    self.hosts[host].dialling.remove(&conn);
                    if let Some(wire) = self.hosts[host].conns.remove(&conn) {
                        self.hosts[host].wires.remove(&wire);
                        self.later(Delivery::Closed(wire));
                    }
                }
                Output::ShutdownWrite(conn) => {
                    if let Some(wire) = self.hosts[host].conns.get(&conn).copied() {
                        self.later(Delivery::Closed(wire));
                        self.inbound(host, Inbound::Ended(wire));
                    }
                }
                Output::Listen(_) => self.hosts[host].listening = true,
                Output::StopListening => self.hosts[host].listening = false,
                Output::Stop => stopped = true,
            }
        }
        stopped
    }
}
