//! The wall's clock: real controller processes, spoken to over loopback sockets, in real time. The world is the
//! one of the virtual clock; here it is driven by epoll (mio) and the time of day.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use mio::{Events, Interest, Poll, Token};
use pitchgw::interface::Nanos;

use crate::report::Run;
use crate::script::Script;
use crate::world::{nanos, Act, Party, Reach, WireId, World, MS, SEC};

/// From the start of the processes to the first call.
const HEAD_START: Nanos = 2 * SEC;
/// Nodes that this is offered for: each pair takes a listener and a connection.
const MOST_NODES: u32 = 30;
/// The driver looks after processes and listeners at least so often.
const LOOK: Duration = Duration::from_millis(5);
/// Tokens of wires come after those of listeners.
const FIRST_WIRE: usize = 1 << 20;
/// A rehearsal that ran later than this, in more than one of a hundred steps, is not to be relied on.
const LATE: Nanos = 20 * MS;

fn text<'a, E: std::fmt::Display>(what: &'a str) -> impl Fn(E) -> String + 'a {
    move |e| format!("{what}: {e}")
}

/// The parties' listeners, each for one controller. The address of a party is kept when nothing listens there.
#[derive(Default)]
struct Doors {
    addresses: BTreeMap<(usize, Party), SocketAddr>,
    fresh: Vec<(usize, Party, TcpListener)>,
    failed: Option<String>,
}

impl Doors {
    fn address(&mut self, controller: usize, party: Party) -> SocketAddr {
        if let Some(address) = self.addresses.get(&(controller, party)) {
            return *address;
        }
        let made = TcpListener::bind("127.0.0.1:0").and_then(|l| Ok((l.local_addr()?, l)));
        let address = match made {
            Ok((address, listener)) => {
                // The controller itself listens where callers connect.
                if party != Party::Callers {
                    self.fresh.push((controller, party, listener));
                }
                address
            }
            Err(e) => {
                self.failed = Some(format!("a port on loopback: {e}"));
                SocketAddr::from(([127, 0, 0, 1], 9))
            }
        };
        self.addresses.insert((controller, party), address);
        address
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
    program: &'a Path,
    folder: tempfile::TempDir,
    begun: (Instant, Nanos),
}

/// Plays a script once against real processes of `program`.
pub fn rehearse_once(
    script: &Script,
    seed: u64,
    short: bool,
    trace: Option<u64>,
    program: &Path,
) -> Result<(Run, Vec<String>), String> {
    if script.nodes > MOST_NODES {
        return Err(format!("{} nodes: --clock wall plays up to {MOST_NODES}", script.nodes));
    }
    if !program.is_file() {
        let hint = "build it with `cargo build --release`, or name it with --program";
        return Err(format!("{}: no such program; {hint}", program.display()));
    }
    let doors = Rc::new(RefCell::new(Doors::default()));
    let addresses = {
        let doors = doors.clone();
        Box::new(move |controller, party| doors.borrow_mut().address(controller, party))
    };
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_err(text("the time"))?.as_nanos() as Nanos;
    let offers = nanos(crate::seconds(script, short));
    let mut world = World::new(script.clone(), seed, unix + HEAD_START, offers, addresses);
    trace.into_iter().for_each(|call| world.audit.trace(call));
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
        program,
        folder: tempfile::tempdir().map_err(text("a folder"))?,
        begun: (Instant::now(), unix),
    };
    let (steps, late) = driver.play()?;
    if late * 100 > steps {
        eprintln!("dillholdctl: this machine was too busy: {late} of {steps} steps came late");
    }
    let world = &mut driver.world;
    world.close_books();
    Ok((Run::new(script, seed, &world.books, &world.audit, world.digest()), world.audit.traced().to_vec()))
}

impl Driver<'_> {
    fn now(&self) -> Nanos {
        self.begun.1 + self.begun.0.elapsed().as_nanos() as Nanos
    }

    /// Plays to the end; tells how many steps there were, and how many of them came late.
    fn play(&mut self) -> Result<(u64, u64), String> {
        let (mut steps, mut late) = (0, 0);
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
            steps += 1;
            late += u64::from(now > due.saturating_add(LATE));
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
        }
        Ok((steps, late))
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
                        self.socks.insert(wire, Sock { stream, up: true, out: Vec::new() });
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
        true
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
                            self.socks.insert(wire, Sock { stream, up: false, out: Vec::new() });
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
                Act::End(controller) => {
                    if let Some(child) = &self.processes.0[controller] {
                        let pid = rustix::process::Pid::from_child(child);
                        let sent = rustix::process::kill_process(pid, rustix::process::Signal::TERM);
                        sent.map_err(text("a signal"))?;
                        self.ending[controller] = true;
                    }
                }
                Act::Kill(controller) => {
                    if let Some(mut child) = self.processes.0[controller].take() {
                        child.kill().and_then(|()| child.wait()).map_err(text("a kill"))?;
                    }
                }
            }
        }
        Ok(())
    }

    fn start(&mut self, controller: usize, config: &str) -> Result<(), String> {
        let path: PathBuf = self.folder.path().join(format!("n{controller}.json"));
        std::fs::write(&path, config).map_err(text("a configuration"))?;
        let mut command = Command::new(self.program);
        command.env("EDGE_CONFIG", &path).stdin(Stdio::null()).stdout(Stdio::null());
        if std::env::var_os("DILLHOLD_LOG").is_none() {
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
            if !std::mem::take(&mut self.ending[controller]) {
                return Err(format!("controller n{controller} ended by itself: {status}"));
            }
            self.world.stopped(now, controller);
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
