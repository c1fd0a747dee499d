//! The wall's clock: real controller processes, spoken to over loopback sockets, in real time. The world is the
//! one of the virtual clock; here it is driven by epoll (mio) and the time of day.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use dillhold::directory::SOCKET_DELAY_ALLOWANCE;
use mio::{Events, Interest, Poll, Token};
use pitchgw::interface::Nanos;
use rustix::net::{AddressFamily, SocketType};

use crate::report::RunReport;
use crate::script::Script;
use crate::world::{seconds_to_nanos, Act, Party, Reach, Signal, WireId, World, MS, SEC};

/// From the start of the processes to the first call.
const HEAD_START: Nanos = 2 * SEC;
/// Nodes that this is offered for: each pair takes a listener and a connection.
const MOST_NODES: u32 = 30;
/// A program that ends again and again is not started any more.
const MOST_CRASHES: u32 = 20;
/// What processes take of the machine is read so often.
const READ_USAGE: Nanos = SEC / 2;
/// The driver looks after processes and listeners at least so often.
const LOOK: Duration = Duration::from_millis(5);
/// What controllers log where their logs are kept.
const LOGGED: &str = "dillhold=debug";
/// Tokens of wires come after those of listeners.
const FIRST_WIRE: usize = 1 << 20;
/// A rehearsal that ran later than this, in more than one of a hundred steps, is not to be relied on.
const LATE: Nanos = 20 * MS;

fn text<'a, E: std::fmt::Display>(what: &'a str) -> impl Fn(E) -> String + 'a {
    move |e| format!("{what}: {e}")
}

/// The parties' listeners, each for one controller. The address of a party is kept when nothing listens there.
struct Doors {
    /// The loopback address of this rehearsal: several at once do not meet on one port.
    host: Ipv4Addr,
    addresses: BTreeMap<(usize, Party), SocketAddr>,
    fresh: Vec<(usize, Party, TcpListener)>,
    reserved: Vec<OwnedFd>,
    failed: Option<String>,
}

impl Doors {
    fn new() -> Doors {
        static REHEARSALS: AtomicU32 = AtomicU32::new(0);
        let number = REHEARSALS.fetch_add(1, Ordering::Relaxed);
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let host = Ipv4Addr::new(127, 64 + (number % 128) as u8, high, low.max(1));
        Doors { host, addresses: BTreeMap::new(), fresh: Vec::new(), reserved: Vec::new(), failed: None }
    }

    fn address(&mut self, controller: usize, party: Party) -> SocketAddr {
        if let Some(address) = self.addresses.get(&(controller, party)) {
            return *address;
        }
        // The controller itself listens where callers connect.
        let made = match party {
            Party::Callers | Party::BadCaller => self.reserve(),
            Party::Machine(_) | Party::Journal => self.listen(controller, party),
        };
        let address = made.unwrap_or_else(|e| {
            self.failed = Some(format!("a port on loopback: {e}"));
            SocketAddr::from(([127, 0, 0, 1], 9))
        });
        self.addresses.insert((controller, party), address);
        address
    }
}

impl Doors {
    fn listen(&mut self, controller: usize, party: Party) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind((self.host, 0))?;
        let address = listener.local_addr()?;
        self.fresh.push((controller, party, listener));
        Ok(address)
    }

    /// Keeps a port for a controller, which may listen there while this socket does not: without, another listener
    /// could be given it before the controller starts.
    fn reserve(&mut self) -> io::Result<SocketAddr> {
        let socket = rustix::net::socket(AddressFamily::INET, SocketType::STREAM, None)?;
        rustix::net::sockopt::set_socket_reuseaddr(&socket, true)?;
        rustix::net::bind(&socket, &SocketAddr::from((self.host, 0)))?;
        let address = rustix::net::getsockname(&socket)?;
        self.reserved.push(socket);
        address.try_into().map_err(|_| io::Error::other("no address of the internet"))
    }
}

struct Door {
    controller: usize,
    party: Party,
    address: SocketAddr,
    entrance: Entrance,
}

/// What a connection to a listening address meets.
enum Entrance {
    /// It is accepted.
    Open(mio::net::TcpListener),
    /// It never comes up: the queue of the listener is full, so the system drops what asks to connect.
    Blocked { _listener: mio::net::TcpListener, _filler: mio::net::TcpStream },
    /// It is refused.
    Closed,
}

impl Entrance {
    /// How a party is reached by way of this.
    fn reach(&self) -> Reach {
        match self {
            Entrance::Open(_) => Reach::Up,
            Entrance::Blocked { .. } => Reach::Never,
            Entrance::Closed => Reach::Refused,
        }
    }
}

struct Sock {
    stream: mio::net::TcpStream,
    up: bool,
    out: Vec<u8>,
    /// Its writing side is to be closed once all is written.
    finishes: bool,
}

impl Sock {
    fn new(stream: mio::net::TcpStream, up: bool) -> Sock {
        Sock { stream, up, out: Vec::new(), finishes: false }
    }
}

/// The controllers' processes; all are killed when this goes.
struct Processes(Vec<Option<Child>>);

impl Drop for Processes {
    fn drop(&mut self) {
        for child in self.0.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

struct Driver<'a> {
    poll: Poll,
    world: World,
    doors: Rc<RefCell<Doors>>,
    listeners: Vec<Door>,
    socks: BTreeMap<WireId, Sock>,
    /// Connections that never come up, as far as their controller can tell.
    dead: Vec<mio::net::TcpStream>,
    processes: Processes,
    ending: Vec<bool>,
    crashes: u32,
    /// When the processes' use of the machine is read next.
    usage_due: Nanos,
    program: &'a Path,
    logs: Option<PathBuf>,
    folder: tempfile::TempDir,
    begun: (Instant, Nanos),
}

/// How a script is played.
#[derive(Clone, Debug, Default)]
pub struct RunOptions {
    /// Its short form.
    pub short: bool,
    /// A call of which everything is written down.
    pub trace: Option<u64>,
    /// The controllers' structured logs go into this folder.
    pub logs: Option<PathBuf>,
}

/// How far the driver was behind its own clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lateness {
    /// Steps of the driver, and how many of them came late.
    pub steps: u64,
    /// See [`Lateness::steps`].
    pub late_steps: u64,
    /// The longest that a step came late.
    pub max_lateness: Nanos,
}

impl Lateness {
    fn step(&mut self, late_by: Nanos) {
        self.steps += 1;
        self.late_steps += u64::from(late_by > LATE);
        self.max_lateness = self.max_lateness.max(late_by);
    }

    /// Whether what the machine did to the driver may have broken a rule: the slack of the rules was used up.
    pub fn is_unreliable(&self) -> bool {
        self.max_lateness > SOCKET_DELAY_ALLOWANCE || self.late_steps * 100 > self.steps
    }
}

/// A script that was played.
pub struct RunResult {
    /// What it came to.
    pub run: RunReport,
    /// What was written down of the call that was asked for.
    pub trace: Vec<String>,
    /// How far behind the driver was.
    pub lateness: Lateness,
}

/// Plays a script once against real processes of `program`.
pub fn rehearse_once(
    script: &Script,
    seed: u64,
    program: &Path,
    options: &RunOptions,
) -> Result<RunResult, String> {
    if script.nodes > MOST_NODES {
        return Err(format!("{} nodes: --clock wall plays up to {MOST_NODES}", script.nodes));
    }
    if !program.is_file() {
        let hint = "build it with `cargo build --release`, or name it with --program";
        return Err(format!("{}: no such program; {hint}", program.display()));
    }
    if let Some(folder) = &options.logs {
        std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    }
    let doors = Rc::new(RefCell::new(Doors::new()));
    let addresses = {
        let doors = doors.clone();
        Box::new(move |controller, party| doors.borrow_mut().address(controller, party))
    };
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_err(text("the time"))?.as_nanos() as Nanos;
    let offers = seconds_to_nanos(crate::offering_seconds(script, options.short));
    let mut world = World::new(script.clone(), seed, unix + HEAD_START, offers, addresses);
    options.trace.into_iter().for_each(|call| world.auditor.trace_call(call));
    let nodes = world.controllers();
    let mut driver = Driver {
        poll: Poll::new().map_err(text("epoll"))?,
        world,
        doors,
        listeners: Vec::new(),
        socks: BTreeMap::new(),
        dead: Vec::new(),
        processes: Processes((0..nodes).map(|_| None).collect()),
        ending: vec![false; nodes],
        crashes: 0,
        usage_due: 0,
        program,
        logs: options.logs.clone(),
        folder: tempfile::tempdir().map_err(text("a folder"))?,
        begun: (Instant::now(), unix),
    };
    let lateness = driver.play()?;
    let world = &mut driver.world;
    world.close_books();
    let run = RunReport::new(script, seed, &world.statistics, &world.auditor, world.digest());
    Ok(RunResult { run, trace: world.auditor.trace_lines().to_vec(), lateness })
}

impl Driver<'_> {
    fn now(&self) -> Nanos {
        self.begun.1 + self.begun.0.elapsed().as_nanos() as Nanos
    }

    /// Plays to the end; tells how far behind it was.
    fn play(&mut self) -> Result<Lateness, String> {
        let mut lateness = Lateness::default();
        let mut events = Events::with_capacity(1024);
        self.acts()?;
        while self.now() < self.world.until() {
            let due = self.world.next_due().unwrap_or(Nanos::MAX);
            let wait = Duration::from_nanos(due.saturating_sub(self.now())).min(LOOK);
            match self.poll.poll(&mut events, Some(wait)) {
                Err(e) if e.kind() != io::ErrorKind::Interrupted => return Err(format!("epoll: {e}")),
                _ => {}
            }
            let now = self.now();
            lateness.step(now.saturating_sub(due));
            for event in &events {
                let token = event.token().0;
                if token < FIRST_WIRE {
                    self.accept(token);
                } else {
                    self.ready((token - FIRST_WIRE) as WireId, event.is_writable());
                }
            }
            self.world.advance(now);
            self.acts()?;
            self.look_after()?;
            if now >= self.usage_due {
                self.usage_due = now + READ_USAGE;
                self.read_usage();
            }
        }
        Ok(lateness)
    }

    fn register(&mut self, stream: &mut mio::net::TcpStream, wire: WireId) -> Result<(), String> {
        let interest = Interest::READABLE | Interest::WRITABLE;
        let token = Token(FIRST_WIRE + wire as usize);
        self.poll.registry().register(stream, token, interest).map_err(text("epoll"))
    }

    fn accept(&mut self, token: usize) {
        loop {
            let door = &self.listeners[token];
            let (controller, party) = (door.controller, door.party);
            let Entrance::Open(listener) = &door.entrance else { return };
            let Ok((mut stream, _)) = listener.accept() else { return };
            let _ = stream.set_nodelay(true);
            match self.world.reach(controller, party) {
                Reach::Up => {
                    let now = self.now();
                    let wire = self.world.accepted(now, controller, party);
                    if self.register(&mut stream, wire).is_ok() {
                        self.socks.insert(wire, Sock::new(stream, true));
                    } else {
                        self.world.closed(now, wire);
                    }
                }
                Reach::Never => self.dead.push(stream),
                Reach::Refused => {}
            }
        }
    }

    fn ready(&mut self, wire: WireId, writable: bool) {
        let now = self.now();
        let Some(sock) = self.socks.get_mut(&wire) else { return };
        if !sock.up {
            let failed = !matches!(sock.stream.take_error(), Ok(None)) || sock.stream.peer_addr().is_err();
            if failed {
                return self.gone(now, wire);
            }
            sock.up = true;
            self.world.connected(now, wire);
        }
        if writable && !self.flush(wire) {
            return self.gone(now, wire);
        }
        let mut bytes = [0; 16 * 1024];
        loop {
            let Some(sock) = self.socks.get_mut(&wire) else { return };
            match sock.stream.read(&mut bytes) {
                Ok(0) => return self.gone(now, wire),
                Ok(count) => self.world.received(now, wire, &bytes[..count]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return self.gone(now, wire),
            }
        }
    }

    fn gone(&mut self, now: Nanos, wire: WireId) {
        self.socks.remove(&wire);
        self.world.closed(now, wire);
    }

    /// Writes what waits on a wire; false: it is gone.
    fn flush(&mut self, wire: WireId) -> bool {
        let Some(sock) = self.socks.get_mut(&wire).filter(|s| s.up) else { return true };
        while !sock.out.is_empty() {
            match sock.stream.write(&sock.out) {
                Ok(count) => drop(sock.out.drain(..count)),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return true,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
        if std::mem::take(&mut sock.finishes) {
            let _ = sock.stream.shutdown(std::net::Shutdown::Write);
        }
        true
    }

    fn signal(&mut self, controller: usize, signal: Signal) -> Result<(), String> {
        let Some(child) = &self.processes.0[controller] else { return Ok(()) };
        let number = match signal {
            Signal::Terminate => rustix::process::Signal::TERM,
            Signal::Interrupt => rustix::process::Signal::INT,
            Signal::Reload => rustix::process::Signal::HUP,
        };
        self.ending[controller] |= signal != Signal::Reload;
        let sent = rustix::process::kill_process(rustix::process::Pid::from_child(child), number);
        sent.map_err(text("a signal"))
    }

    fn acts(&mut self) -> Result<(), String> {
        while let Some(act) = self.world.poll() {
            match act {
                Act::Connect(wire, controller) => {
                    let address = self.doors.borrow_mut().address(controller, Party::Callers);
                    let now = self.now();
                    match mio::net::TcpStream::connect(address) {
                        Ok(mut stream) => {
                            let _ = stream.set_nodelay(true);
                            self.register(&mut stream, wire)?;
                            self.socks.insert(wire, Sock::new(stream, false));
                        }
                        Err(_) => self.world.closed(now, wire),
                    }
                }
                Act::Send(wire, _, bytes) => {
                    if let Some(sock) = self.socks.get_mut(&wire) {
                        sock.out.extend(bytes);
                    }
                    if !self.flush(wire) {
                        let now = self.now();
                        self.gone(now, wire);
                    }
                }
                Act::Close(wire, _) => {
                    self.flush(wire);
                    self.socks.remove(&wire);
                }
                Act::Start(controller, config) => self.start(controller, &config)?,
                Act::Signal(controller, signal) => self.signal(controller, signal)?,
                Act::Finish(wire, _) => {
                    if let Some(sock) = self.socks.get_mut(&wire) {
                        sock.finishes = true;
                    }
                    self.flush(wire);
                }
                Act::Kill(controller) => {
                    self.ending[controller] = false;
                    if let Some(mut child) = self.processes.0[controller].take() {
                        child.kill().and_then(|()| child.wait()).map_err(text("a kill"))?;
                    }
                }
            }
        }
        Ok(())
    }

    /// Reads what the processes take of the machine.
    fn read_usage(&mut self) {
        for controller in 0..self.processes.0.len() {
            let Some(child) = &self.processes.0[controller] else { continue };
            let folder = PathBuf::from(format!("/proc/{}", child.id()));
            let resident = std::fs::read_to_string(folder.join("statm")).ok().and_then(|text| {
                let pages: u64 = text.split_whitespace().nth(1)?.parse().ok()?;
                Some(pages * rustix::param::page_size() as u64 / (1024 * 1024))
            });
            let descriptors = std::fs::read_dir(folder.join("fd")).map(|entries| entries.count() as u64);
            if let (Some(memory_mb), Ok(descriptors)) = (resident, descriptors) {
                self.world.uses(self.now(), controller, memory_mb, descriptors);
            }
        }
    }

    fn start(&mut self, controller: usize, config: &str) -> Result<(), String> {
        let path: PathBuf = self.folder.path().join(format!("n{controller}.json"));
        std::fs::write(&path, config).map_err(text("a configuration"))?;
        let mut command = Command::new(self.program);
        command.env("EDGE_CONFIG", &path).stdin(Stdio::null()).stdout(Stdio::null());
        if let Some(logs) = &self.logs {
            let log = std::fs::File::options()
                .create(true)
                .append(true)
                .open(logs.join(format!("n{controller}.log")));
            command.env("DILLHOLD_LOG", LOGGED).stderr(log.map_err(text("a log"))?);
        } else if std::env::var_os("DILLHOLD_LOG").is_none() {
            command.stderr(Stdio::null());
        }
        let child = command.spawn().map_err(|e| format!("{}: {e}", self.program.display()))?;
        self.processes.0[controller] = Some(child);
        Ok(())
    }

    /// Looks after processes that end and listeners that open and close.
    fn look_after(&mut self) -> Result<(), String> {
        let now = self.now();
        for controller in 0..self.ending.len() {
            let Some(child) = &mut self.processes.0[controller] else { continue };
            let Some(status) = child.try_wait().map_err(text("a process"))? else { continue };
            self.processes.0[controller] = None;
            if std::mem::take(&mut self.ending[controller]) && status.success() {
                self.world.stopped(now, controller);
            } else {
                self.crashes += 1;
                if self.crashes > MOST_CRASHES {
                    return Err(format!("controller n{controller} ended by itself: {status}"));
                }
                self.world.crashed(now, controller, &status.to_string());
            }
            self.acts()?;
        }
        let (fresh, failed) = {
            let mut doors = self.doors.borrow_mut();
            (std::mem::take(&mut doors.fresh), doors.failed.take())
        };
        if let Some(failed) = failed {
            return Err(failed);
        }
        for (controller, party, listener) in fresh {
            let address = listener.local_addr().map_err(text("a listener"))?;
            self.listeners.push(Door { controller, party, address, entrance: Entrance::Closed });
            self.open(self.listeners.len() - 1, listener)?;
        }
        for door in 0..self.listeners.len() {
            let d = &self.listeners[door];
            let (wanted, present) = (self.world.reach(d.controller, d.party), d.entrance.reach());
            match wanted {
                _ if wanted == present => {}
                Reach::Up => self.reopen(door)?,
                Reach::Refused => self.listeners[door].entrance = Entrance::Closed,
                Reach::Never => self.block(door)?,
            }
        }
        Ok(())
    }

    /// Listens again at the address of a party.
    fn reopen(&mut self, door: usize) -> Result<(), String> {
        let d = &mut self.listeners[door];
        d.entrance = Entrance::Closed;
        let listener = TcpListener::bind(d.address).map_err(text("a listener"))?;
        self.open(door, listener)
    }

    /// Lets no connection come up any more, nor be refused: the listener's queue takes one connection, and that
    /// one is ours.
    fn block(&mut self, door: usize) -> Result<(), String> {
        if matches!(self.listeners[door].entrance, Entrance::Closed) {
            self.reopen(door)?;
        }
        self.accept(door);
        let d = &mut self.listeners[door];
        let Entrance::Open(mut listener) = std::mem::replace(&mut d.entrance, Entrance::Closed) else {
            return Ok(());
        };
        self.poll.registry().deregister(&mut listener).map_err(text("epoll"))?;
        rustix::net::listen(&listener, 0).map_err(text("a listener"))?;
        let filler = mio::net::TcpStream::connect(d.address).map_err(text("a connection"))?;
        d.entrance = Entrance::Blocked { _listener: listener, _filler: filler };
        Ok(())
    }

    fn open(&mut self, door: usize, listener: TcpListener) -> Result<(), String> {
        listener.set_nonblocking(true).map_err(text("a listener"))?;
        let mut listener = mio::net::TcpListener::from_std(listener);
        let registry = self.poll.registry();
        registry.register(&mut listener, Token(door), Interest::READABLE).map_err(text("epoll"))?;
        self.listeners[door].entrance = Entrance::Open(listener);
        Ok(())
    }
}
