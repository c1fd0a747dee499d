//! The driver: sockets, epoll, signals and nothing else. It reads into the engine's buffers and writes what they
//! hold; what is said and when, and what becomes of connections, is settled in [`crate::engine`].

pub mod archive;
mod conn;

use std::collections::BTreeMap;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::os::fd::AsFd;
use std::os::unix::net::UnixStream;
use std::time::{Duration, Instant};

use pitchgw::interface::Nanos;
use rustix::buffer::spare_capacity;
use rustix::event::{epoll, Timespec};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};

use crate::clock::{Clock, MS};
use crate::directory::{self, Config, ControllerSettings};
use crate::engine::{ConnId, Engine, Output, FIRST_CONN_ID};
use crate::operator::Operator;
use archive::Archive;
use conn::Conn;

/// Tokens of what is no connection; those of connections come after.
const LISTENER: u64 = 0;
const SIGNAL_END: u64 = 1;
const SIGNAL_PRINT: u64 = 2;
const SIGNAL_RELOAD: u64 = 3;
const _: () = assert!(SIGNAL_RELOAD < FIRST_CONN_ID);

/// Turns are no further apart than this on account of the tick, whatever the settings say.
const MOST_TICK: Nanos = 10 * MS;
/// Connections that wait to be let in; the system has a bound of its own. Past it the system drops what comes,
/// and a caller that meets a crowd tries again a second later, when its call is too late.
const BACKLOG: i32 = 4096;
/// At the start the address may still be in use, by a predecessor that leaves. It is waited for so long, which is
/// what a restart may take, and tried so often.
const ADDRESS_WAIT: Duration = Duration::from_secs(10);
const ADDRESS_RETRY: Duration = Duration::from_millis(20);
/// Connections taken in within one turn; the others wait for the next.
const ACCEPTS: usize = 256;
/// Reads of one connection in a turn, by whether a caller is at its other end. Epoll tells again of what is left.
const READS: [usize; 2] = [16, 4];

/// How long it is too early for the next turn. The module is promised that events come no more often than once
/// a tick, and its round trips are those of a controller that looks once a tick. Measured against turns as
/// events come, one fleet day gained 0.02 of the simulator's result and another lost 0.01.
fn early(last: Nanos, tick: Nanos, now: Nanos) -> Nanos {
    (last + tick.min(MOST_TICK)).saturating_sub(now)
}

/// All sockets with the engine that they serve.
pub struct Driver {
    epoll: std::os::fd::OwnedFd,
    listener: Option<TcpListener>,
    /// A listener that a new configuration asks for, bound before that is applied.
    prepared: Option<TcpListener>,
    listen: SocketAddr,
    signals: [UnixStream; 3],
    /// Where the configuration is read from, again on SIGHUP.
    path: String,
    clock: Clock,
    now: Nanos,
    engine: Engine,
    archive: Option<Archive>,
    conns: BTreeMap<ConnId, Conn>,
    leave: bool,
}

fn text(what: &'static str) -> impl Fn(io::Error) -> String {
    move |e| format!("{what}: {e}")
}

/// Reads a configuration with its settings. The error is one plain line.
pub fn read_config(path: &str) -> Result<(Config, ControllerSettings), String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("configuration: {path}: {e}"))?;
    let config = directory::read_config(&text)?;
    let told = directory::read_settings(&config)?;
    Ok((config, told))
}

/// Binds the address of the start, and waits for it while it is in use.
fn bind_when_free(at: SocketAddr) -> io::Result<TcpListener> {
    let give_up = Instant::now() + ADDRESS_WAIT;
    let mut said = false;
    loop {
        match TcpListener::bind(at) {
            Err(e) if e.kind() == io::ErrorKind::AddrInUse && Instant::now() < give_up => {
                if !std::mem::replace(&mut said, true) {
                    eprintln!("dillhold: listen: {at} is in use; waits for it");
                }
                std::thread::sleep(ADDRESS_RETRY);
            }
            bound => return bound,
        }
    }
}

fn listen(epoll: &std::os::fd::OwnedFd, listener: TcpListener) -> Result<TcpListener, String> {
    rustix::net::listen(&listener, BACKLOG).map_err(|e| format!("listen: {e}"))?;
    listener.set_nonblocking(true).map_err(text("listen"))?;
    watch(epoll, listener.as_fd(), LISTENER)?;
    Ok(listener)
}

fn watch(epoll: &std::os::fd::OwnedFd, fd: std::os::fd::BorrowedFd<'_>, token: u64) -> Result<(), String> {
    let data = epoll::EventData::new_u64(token);
    epoll::add(epoll, fd, data, epoll::EventFlags::IN).map_err(|e| format!("epoll: {e}"))
}

impl Driver {
    /// Reads the configuration and opens the listener, and the operator's folder if he has named one.
    pub fn start(path: String, operator: &Operator) -> Result<Driver, String> {
        let (config, told) = read_config(&path)?;
        let at = config.listen;
        let listener = bind_when_free(at).map_err(text("listen"))?;
        let mut clock = Clock::start();
        let now = clock.read();
        let mut engine = Engine::new(now, config, told)?;
        let mut archive = None;
        if let Some(measure) = &operator.measure {
            engine.start_measuring(measure.calendar().map_err(|e| e.to_string())?);
            archive = Some(Archive::open(&measure.folder)?);
        }

        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC).map_err(|e| format!("epoll: {e}"))?;
        let prepared = Some(listen(&epoll, listener)?);
        let mut ends = Vec::new();
        let signals =
            [(SIGNAL_END, &[SIGTERM, SIGINT][..]), (SIGNAL_PRINT, &[SIGUSR1]), (SIGNAL_RELOAD, &[SIGHUP])];
        for (token, signals) in signals {
            let (ours, theirs) = UnixStream::pair().map_err(text("signals"))?;
            ours.set_nonblocking(true).map_err(text("signals"))?;
            for signal in signals {
                let end = theirs.try_clone().map_err(text("signals"))?;
                signal_hook::low_level::pipe::register(*signal, end).map_err(text("signals"))?;
            }
            watch(&epoll, ours.as_fd(), token)?;
            ends.push(ours);
        }
        let signals = ends.try_into().map_err(|_| "signals")?;
        let (conns, leave) = (BTreeMap::new(), false);
        let mut driver = Driver {
            epoll,
            listener: None,
            prepared,
            listen: at,
            signals,
            path,
            clock,
            now,
            engine,
            archive,
            conns,
            leave,
        };
        driver.perform();
        Ok(driver)
    }

    /// Serves until the end.
    pub fn run(mut self) -> Result<(), String> {
        let mut events = Vec::with_capacity(1024);
        while !self.leave {
            self.turn(&mut events)?;
        }
        for conn in self.conns.values() {
            // What was written must arrive; a close with bytes unread would cut it off.
            let _ = conn.stream.shutdown(Shutdown::Write);
        }
        std::thread::sleep(Duration::from_millis(50));
        self.print();
        Ok(())
    }

    fn print(&self) {
        eprint!("{}", self.engine.counters());
    }

    fn turn(&mut self, events: &mut Vec<epoll::Event>) -> Result<(), String> {
        events.clear();
        std::thread::sleep(Duration::from_nanos(early(self.now, self.engine.tick(), self.clock.read())));
        // Reckoned after that sleep, or a deadline within it would come late by as much again.
        let due = self.engine.next_deadline();
        let wait = due.map_or(1_000 * MS, |at| at.saturating_sub(self.clock.read()));
        let timeout =
            Timespec { tv_sec: (wait / 1_000_000_000) as i64, tv_nsec: (wait % 1_000_000_000) as i64 };
        match epoll::wait(&self.epoll, spare_capacity(events), Some(&timeout)) {
            Ok(_) | Err(rustix::io::Errno::INTR) => {}
            Err(e) => return Err(format!("epoll: {e}")),
        }
        self.now = self.clock.read();
        self.engine.begin_turn(self.now);
        for event in events.iter() {
            let flags = event.flags;
            match event.data.u64() {
                LISTENER => self.accept(),
                SIGNAL_END => {
                    conn::swallow(&self.signals[0]);
                    self.engine.shut_down();
                }
                SIGNAL_PRINT => {
                    conn::swallow(&self.signals[1]);
                    self.print();
                }
                SIGNAL_RELOAD => {
                    conn::swallow(&self.signals[2]);
                    if let Err(text) = self.reload() {
                        eprintln!("dillhold: not applied: {}", text.replace(char::is_control, " "));
                    }
                }
                token => self.ready(token, flags),
            }
        }
        self.engine.handle_deadlines();
        loop {
            self.engine.run_commands();
            self.perform();
            while let Some(token) = self.engine.poll_write() {
                self.flush(token);
            }
            if self.engine.is_turn_complete() {
                break;
            }
        }
        self.engine.end_turn();
        self.perform();
        while let Some(interval) = self.engine.poll_interval() {
            if !self.archive.as_ref().is_some_and(|a| a.take(interval)) {
                self.engine.count_error("errors intervals dropped");
            }
        }
        Ok(())
    }

    /// Does what the engine asks for.
    fn perform(&mut self) {
        while let Some(output) = self.engine.poll_output() {
            match output {
                Output::Connect { conn, to } => {
                    let made = conn::connect(to).and_then(|fd| Conn::new(&self.epoll, fd, conn, true));
                    match made {
                        Ok(made) => {
                            self.conns.insert(conn, made);
                        }
                        Err(e) => {
                            self.engine.connect_failed(conn, e.kind() == io::ErrorKind::ConnectionRefused)
                        }
                    }
                }
                Output::Close(conn) => {
                    self.conns.remove(&conn);
                }
                Output::ShutdownWrite(conn) => {
                    if let Some(conn) = self.conns.get(&conn) {
                        let _ = conn.stream.shutdown(Shutdown::Write);
                    }
                }
                Output::Listen(_) => {
                    self.listener = self.prepared.take().or(self.listener.take());
                }
                Output::StopListening => {
                    self.accept();
                    self.listener = None;
                }
                Output::Stop => self.leave = true,
            }
        }
    }

    fn accept(&mut self) {
        for _ in 0..ACCEPTS {
            let Some(listener) = &self.listener else { return };
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                // Of descriptors run out, say: the next turn tries again, a tick later.
                Err(_) => return self.engine.count_error("errors accepting"),
            };
            let Some(token) = self.engine.accepted() else { continue };
            match Conn::new(&self.epoll, stream.into(), token, false) {
                Ok(conn) => {
                    self.conns.insert(token, conn);
                }
                Err(_) => {
                    self.engine.count_error("errors opening");
                    self.engine.connection_lost(token);
                }
            }
        }
    }

    fn ready(&mut self, token: ConnId, flags: epoll::EventFlags) {
        let Some(conn) = self.conns.get_mut(&token) else { return };
        if conn.connecting {
            return match conn.connected() {
                Ok(()) => self.engine.connected(token),
                Err(e) => self.engine.connect_failed(token, e.kind() == io::ErrorKind::ConnectionRefused),
            };
        }
        if flags.intersects(epoll::EventFlags::HUP | epoll::EventFlags::ERR) {
            self.engine.peer_closed(token);
        }
        self.engine.writable(token);
        if flags.intersects(epoll::EventFlags::IN | epoll::EventFlags::HUP | epoll::EventFlags::ERR) {
            self.read(token);
        }
    }

    fn read(&mut self, token: ConnId) {
        let Some(conn) = self.conns.get_mut(&token) else { return };
        for _ in 0..READS[usize::from(conn.caller)] {
            let Some(room) = self.engine.read_buffer(token) else { return };
            match io::Read::read(&mut conn.stream, room) {
                Ok(0) => return self.engine.read_closed(token),
                Ok(count) => self.engine.bytes_read(token, count),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(_) => return self.engine.connection_lost(token),
            }
        }
    }

    fn flush(&mut self, token: ConnId) {
        let Some(conn) = self.conns.get_mut(&token).filter(|c| !c.connecting) else { return };
        loop {
            let pending = self.engine.pending_bytes(token);
            if pending.is_empty() {
                break;
            }
            match io::Write::write(&mut conn.stream, pending) {
                Ok(count) => self.engine.bytes_written(token, count),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(_) => return self.engine.connection_lost(token),
            }
        }
        if let Some(interest) = self.engine.flushed(token) {
            if conn.watch(&self.epoll, token, interest.readable, interest.writable).is_err() {
                self.engine.connection_lost(token);
            }
        }
    }

    /// Reads the configuration again and applies it whole, or not at all. Calls and connections stay.
    fn reload(&mut self) -> Result<(), String> {
        let (config, told) = read_config(&self.path)?;
        if !self.engine.can_reconfigure(&told) {
            return Err("configuration: settings: own exchange, layout or classes differ: start anew".into());
        }
        if config.listen != self.listen && self.listener.is_some() {
            let listener = TcpListener::bind(config.listen).map_err(text("listen"))?;
            self.prepared = Some(listen(&self.epoll, listener)?);
            self.listen = config.listen;
        }
        self.engine.reconfigure(config, told);
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn turns_are_a_tick_apart_and_no_turn_waits_for_longer() {
        let at = |now| early(100 * MS, 5 * MS, now);
        assert_eq!([at(100 * MS), at(103 * MS), at(105 * MS), at(900 * MS)], [5 * MS, 2 * MS, 0, 0]);
        assert_eq!(early(100 * MS, 900 * MS, 100 * MS), MOST_TICK);
    }
}
