//! The driver: sockets, epoll and signals. It reads into the engine's buffers and writes from them; protocol and
//! connection policy are in [`crate::engine`].

pub mod archive;
mod conn;
mod signals;

use std::collections::BTreeMap;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::os::fd::AsFd;
use std::time::{Duration, Instant};

use pitchgw::interface::Nanos;
use rustix::buffer::spare_capacity;
use rustix::event::{epoll, Timespec};

use crate::clock::{Clock, MS};
use crate::directory::{self, Config, ControllerSettings};
use crate::engine::{ConnId, Engine, Output, FIRST_CONN_ID};
use crate::operator::Operator;
use archive::IntervalArchive;
use conn::Conn;
use signals::Request;
pub use signals::Signals;

/// Epoll tokens of the listener and the signal pipes. Those of connections are their ids, which start above.
const LISTENER: u64 = 0;
const SIGNAL_SHUTDOWN: u64 = 1;
const SIGNAL_PRINT: u64 = 2;
const SIGNAL_RELOAD: u64 = 3;
const _: () = assert!(SIGNAL_RELOAD < FIRST_CONN_ID);

/// The longest interval between turns that the tick of the settings can cause.
const MAX_TICK: Nanos = 10 * MS;
/// Connections that wait to be accepted, subject to the system's own limit. Above it the system drops connections,
/// and a caller's system repeats the connect a second later, when its call is too late.
const LISTEN_BACKLOG: i32 = 4096;
/// How long to wait at the start for the listen address, which a terminating predecessor may still use; a restart may
/// take that long.
const ADDRESS_IN_USE_TIMEOUT: Duration = Duration::from_secs(10);
const ADDRESS_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Further connections are accepted in the next turn.
const MAX_ACCEPTS_PER_TURN: usize = 256;
/// Reads of one connection per turn. Epoll reports remaining input again.
const MAX_EXCHANGE_READS_PER_TURN: usize = 16;
const MAX_CALLER_READS_PER_TURN: usize = 4;

/// The delay before the next turn. The decision module is promised at most one turn of events per tick, and its round
/// trips are those of a controller that polls once per tick.
fn turn_delay(last_turn: Nanos, tick: Nanos, now: Nanos) -> Nanos {
    (last_turn + tick.min(MAX_TICK)).saturating_sub(now)
}

/// The sockets, and the engine that they serve.
pub struct Driver {
    epoll: std::os::fd::OwnedFd,
    listener: Option<TcpListener>,
    /// The listener of a new configuration, bound before that is applied.
    pending_listener: Option<TcpListener>,
    listen_address: SocketAddr,
    signals: Signals,
    /// The configuration file, which is read again on SIGHUP.
    config_path: String,
    clock: Clock,
    now: Nanos,
    engine: Engine,
    archive: Option<IntervalArchive>,
    conns: BTreeMap<ConnId, Conn>,
    stopped: bool,
}

fn error_context(context: &'static str) -> impl Fn(io::Error) -> String {
    move |e| format!("{context}: {e}")
}

/// Reads a configuration and its settings. The error is a single line.
pub fn read_config(path: &str) -> Result<(Config, ControllerSettings), String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("configuration: {path}: {e}"))?;
    let config = directory::read_config(&text)?;
    let settings = directory::read_settings(&config)?;
    Ok((config, settings))
}

/// Binds the listen address, waiting while it is in use. Returns `None` if a shutdown is requested meanwhile.
fn bind_when_free(address: SocketAddr, signals: &Signals) -> io::Result<Option<TcpListener>> {
    let wait_until = Instant::now() + ADDRESS_IN_USE_TIMEOUT;
    let mut reported = false;
    loop {
        match TcpListener::bind(address) {
            Err(e) if e.kind() == io::ErrorKind::AddrInUse && Instant::now() < wait_until => {
                if !std::mem::replace(&mut reported, true) {
                    eprintln!("dillhold: listen: {address} is in use; waiting for it");
                }
                std::thread::sleep(ADDRESS_RETRY_INTERVAL);
                if signals.take(Request::Shutdown) {
                    return Ok(None);
                }
            }
            result => return result.map(Some),
        }
    }
}

fn listen(epoll: &std::os::fd::OwnedFd, listener: TcpListener) -> Result<TcpListener, String> {
    rustix::net::listen(&listener, LISTEN_BACKLOG).map_err(|e| format!("listen: {e}"))?;
    listener.set_nonblocking(true).map_err(error_context("listen"))?;
    register(epoll, listener.as_fd(), LISTENER)?;
    Ok(listener)
}

fn register(epoll: &std::os::fd::OwnedFd, fd: std::os::fd::BorrowedFd<'_>, token: u64) -> Result<(), String> {
    let data = epoll::EventData::new_u64(token);
    epoll::add(epoll, fd, data, epoll::EventFlags::IN).map_err(|e| format!("epoll: {e}"))
}

/// The token of the pipe on which a request arrives.
fn token_of(request: Request) -> u64 {
    match request {
        Request::Shutdown => SIGNAL_SHUTDOWN,
        Request::Print => SIGNAL_PRINT,
        Request::Reload => SIGNAL_RELOAD,
    }
}

impl Driver {
    /// Reads the configuration, opens the listener and, if the operator's file names one, the measuring folder. Returns
    /// `None` if a shutdown is requested while the listen address is in use.
    pub fn start(
        config_path: String,
        operator: &Operator,
        signals: Signals,
    ) -> Result<Option<Driver>, String> {
        let (config, settings) = read_config(&config_path)?;
        let listen_address = config.listen;
        let listener = bind_when_free(listen_address, &signals).map_err(error_context("listen"))?;
        let Some(listener) = listener else { return Ok(None) };
        let mut clock = Clock::start();
        let now = clock.read();
        let mut engine = Engine::new(now, config, settings)?;
        let mut archive = None;
        if let Some(measure) = &operator.measure {
            engine.start_measuring(measure.calendar().map_err(|e| e.to_string())?);
            archive = Some(IntervalArchive::open(&measure.folder)?);
        }

        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC).map_err(|e| format!("epoll: {e}"))?;
        let pending_listener = Some(listen(&epoll, listener)?);
        for (request, pipe) in signals.pipes() {
            register(&epoll, pipe, token_of(request))?;
        }
        let (conns, stopped) = (BTreeMap::new(), false);
        let mut driver = Driver {
            epoll,
            listener: None,
            pending_listener,
            listen_address,
            signals,
            config_path,
            clock,
            now,
            engine,
            archive,
            conns,
            stopped,
        };
        driver.apply_outputs();
        Ok(Some(driver))
    }

    /// Serves until the shutdown is complete.
    pub fn run(mut self) -> Result<(), String> {
        let mut events = Vec::with_capacity(1024);
        while !self.stopped {
            self.run_turn(&mut events)?;
        }
        for conn in self.conns.values() {
            // Closing a socket with unread input would discard bytes that are not sent yet.
            let _ = conn.stream.shutdown(Shutdown::Write);
        }
        std::thread::sleep(Duration::from_millis(50));
        self.print_counters();
        Ok(())
    }

    fn print_counters(&self) {
        eprint!("{}{}", self.engine.table_sizes(), self.engine.counters());
    }

    fn run_turn(&mut self, events: &mut Vec<epoll::Event>) -> Result<(), String> {
        events.clear();
        std::thread::sleep(Duration::from_nanos(turn_delay(self.now, self.engine.tick(), self.clock.read())));
        // Computed after the sleep, or a deadline within it would be late by as much again.
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
                SIGNAL_SHUTDOWN => {
                    self.signals.take(Request::Shutdown);
                    self.engine.shut_down();
                }
                SIGNAL_PRINT => {
                    self.signals.take(Request::Print);
                    self.print_counters();
                }
                SIGNAL_RELOAD => {
                    self.signals.take(Request::Reload);
                    if let Err(error) = self.reload() {
                        eprintln!("dillhold: not applied: {}", error.replace(char::is_control, " "));
                    }
                }
                token => self.handle_event(token, flags),
            }
        }
        self.engine.handle_deadlines();
        loop {
            self.engine.run_commands();
            self.apply_outputs();
            while let Some(conn_id) = self.engine.poll_write() {
                self.flush(conn_id);
            }
            if self.engine.is_turn_complete() {
                break;
            }
        }
        self.engine.end_turn();
        self.apply_outputs();
        while let Some(interval) = self.engine.poll_interval() {
            if !self.archive.as_ref().is_some_and(|archive| archive.enqueue(interval)) {
                self.engine.count_error("errors intervals dropped");
            }
        }
        Ok(())
    }

    /// Carries out the engine's outputs.
    fn apply_outputs(&mut self) {
        while let Some(output) = self.engine.poll_output() {
            match output {
                Output::Connect { conn, to } => {
                    let opened = conn::connect(to).and_then(|fd| Conn::new(&self.epoll, fd, conn, true));
                    match opened {
                        Ok(opened) => {
                            self.conns.insert(conn, opened);
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
                    self.listener = self.pending_listener.take().or(self.listener.take());
                }
                Output::StopListening => {
                    self.accept();
                    self.listener = None;
                }
                Output::Stop => self.stopped = true,
            }
        }
    }

    fn accept(&mut self) {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            let Some(listener) = &self.listener else { return };
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                // For example out of file descriptors: retried in the next turn, a tick later.
                Err(_) => return self.engine.count_error("errors accepting"),
            };
            let Some(conn_id) = self.engine.accepted() else { continue };
            match Conn::new(&self.epoll, stream.into(), conn_id, false) {
                Ok(conn) => {
                    self.conns.insert(conn_id, conn);
                }
                Err(_) => {
                    self.engine.count_error("errors opening");
                    self.engine.connection_lost(conn_id);
                }
            }
        }
    }

    fn handle_event(&mut self, conn_id: ConnId, flags: epoll::EventFlags) {
        let Some(conn) = self.conns.get_mut(&conn_id) else { return };
        if conn.connecting {
            return match conn.finish_connect() {
                Ok(()) => self.engine.connected(conn_id),
                Err(e) => self.engine.connect_failed(conn_id, e.kind() == io::ErrorKind::ConnectionRefused),
            };
        }
        if flags.intersects(epoll::EventFlags::HUP | epoll::EventFlags::ERR) {
            self.engine.peer_closed(conn_id);
        }
        self.engine.writable(conn_id);
        if flags.intersects(epoll::EventFlags::IN | epoll::EventFlags::HUP | epoll::EventFlags::ERR) {
            self.read(conn_id);
        }
    }

    fn read(&mut self, conn_id: ConnId) {
        let Some(conn) = self.conns.get_mut(&conn_id) else { return };
        let max_reads = if conn.is_caller { MAX_CALLER_READS_PER_TURN } else { MAX_EXCHANGE_READS_PER_TURN };
        for _ in 0..max_reads {
            if !self.engine.wants_input(conn_id) {
                return;
            }
            let Some(buffer) = self.engine.read_buffer(conn_id) else { return };
            match io::Read::read(&mut conn.stream, buffer) {
                Ok(0) => return self.engine.read_closed(conn_id),
                Ok(count) => self.engine.bytes_read(conn_id, count),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(_) => return self.engine.connection_lost(conn_id),
            }
        }
    }

    fn flush(&mut self, conn_id: ConnId) {
        let Some(conn) = self.conns.get_mut(&conn_id).filter(|c| !c.connecting) else { return };
        loop {
            let pending = self.engine.pending_bytes(conn_id);
            if pending.is_empty() {
                break;
            }
            match io::Write::write(&mut conn.stream, pending) {
                Ok(count) => self.engine.bytes_written(conn_id, count),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(_) => return self.engine.connection_lost(conn_id),
            }
        }
        if let Some(interest) = self.engine.flushed(conn_id) {
            if conn.set_interest(&self.epoll, conn_id, interest.readable, interest.writable).is_err() {
                self.engine.connection_lost(conn_id);
            }
        }
    }

    /// Reads the configuration again and applies all of it or nothing. Calls and connections are kept.
    fn reload(&mut self) -> Result<(), String> {
        let (config, settings) = read_config(&self.config_path)?;
        if !self.engine.can_reconfigure(&settings) {
            return Err(
                "configuration: settings: own exchange, layout or classes differ: restart required".into()
            );
        }
        if config.listen != self.listen_address && self.listener.is_some() {
            let listener = TcpListener::bind(config.listen).map_err(error_context("listen"))?;
            self.pending_listener = Some(listen(&self.epoll, listener)?);
            self.listen_address = config.listen;
        }
        self.engine.reconfigure(config, settings);
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn turns_are_one_tick_apart_and_at_most_the_maximum() {
        let delay_at = |now| turn_delay(100 * MS, 5 * MS, now);
        assert_eq!(
            [delay_at(100 * MS), delay_at(103 * MS), delay_at(105 * MS), delay_at(900 * MS)],
            [5 * MS, 2 * MS, 0, 0]
        );
        assert_eq!(turn_delay(100 * MS, 900 * MS, 100 * MS), MAX_TICK);
    }
}
