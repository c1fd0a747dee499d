//! The wall clock: runs the simulated world against real controller processes over loopback sockets, in real time.
//! The world is the same as on the virtual clock; here it is driven by epoll (mio) and the system time.

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
use crate::world::{
    seconds_to_nanos, Action, ConnectOutcome, Endpoint, Signal, SimConnectionId, World, MS, SEC,
};

/// Time from the start of the processes to the first call.
const START_DELAY: Nanos = 2 * SEC;
/// Maximum number of nodes, because each pair of nodes takes a listener and a connection.
const MAX_NODES: u32 = 30;
/// A run is aborted after more than this number of crashes, instead of restarting the program forever.
const MAX_CRASHES: u32 = 20;
/// Interval at which the resource usage of the processes is read.
const USAGE_INTERVAL: Nanos = SEC / 2;
/// Maximum wait for socket events, so that processes and listeners are polled at least this often.
const MAX_POLL_WAIT: Duration = Duration::from_millis(5);
/// Log filter of the controllers if their logs are kept.
const LOG_FILTER: &str = "dillhold=debug";
/// First poll token of connections; lower tokens are indices of listeners.
const FIRST_CONNECTION_TOKEN: usize = 1 << 20;
/// A run is unreliable if more than one in a hundred steps were later than this.
const LATENESS_THRESHOLD: Nanos = 20 * MS;

/// Returns a function that prefixes an error with what failed.
fn error_context<'a, E: std::fmt::Display>(what: &'a str) -> impl Fn(E) -> String + 'a {
    move |e| format!("{what}: {e}")
}

/// Addresses and new listeners of the simulated endpoints, separate for each controller. An endpoint keeps its address
/// while nothing listens there.
struct EndpointAddressBook {
    /// Loopback address of this rehearsal, so that concurrent rehearsals do not compete for ports.
    host: Ipv4Addr,
    addresses: BTreeMap<(usize, Endpoint), SocketAddr>,
    new_listeners: Vec<(usize, Endpoint, TcpListener)>,
    reserved_sockets: Vec<OwnedFd>,
    error: Option<String>,
}

impl EndpointAddressBook {
    fn new() -> EndpointAddressBook {
        static REHEARSALS: AtomicU32 = AtomicU32::new(0);
        let number = REHEARSALS.fetch_add(1, Ordering::Relaxed);
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let host = Ipv4Addr::new(127, 64 + (number % 128) as u8, high, low.max(1));
        EndpointAddressBook {
            host,
            addresses: BTreeMap::new(),
            new_listeners: Vec::new(),
            reserved_sockets: Vec::new(),
            error: None,
        }
    }

    fn address(&mut self, controller: usize, endpoint: Endpoint) -> SocketAddr {
        if let Some(address) = self.addresses.get(&(controller, endpoint)) {
            return *address;
        }
        // The controller itself listens at the callers' address.
        let allocated = match endpoint {
            Endpoint::Callers | Endpoint::BadCaller => self.reserve(),
            Endpoint::Machine(_) | Endpoint::Journal => self.listen(controller, endpoint),
        };
        let address = allocated.unwrap_or_else(|e| {
            self.error = Some(format!("cannot allocate a loopback port: {e}"));
            SocketAddr::from(([127, 0, 0, 1], 9))
        });
        self.addresses.insert((controller, endpoint), address);
        address
    }
}

impl EndpointAddressBook {
    fn listen(&mut self, controller: usize, endpoint: Endpoint) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind((self.host, 0))?;
        let address = listener.local_addr()?;
        self.new_listeners.push((controller, endpoint, listener));
        Ok(address)
    }

    /// Reserves a port for a controller with a bound socket that does not listen, so that the controller can.
    /// Otherwise another listener could be assigned the port before the controller starts.
    fn reserve(&mut self) -> io::Result<SocketAddr> {
        let socket = rustix::net::socket(AddressFamily::INET, SocketType::STREAM, None)?;
        rustix::net::sockopt::set_socket_reuseaddr(&socket, true)?;
        rustix::net::bind(&socket, &SocketAddr::from((self.host, 0)))?;
        let address = rustix::net::getsockname(&socket)?;
        self.reserved_sockets.push(socket);
        address.try_into().map_err(|_| io::Error::other("not an IPv4 or IPv6 address"))
    }
}

/// Address of an endpoint for one controller, and its listener.
struct EndpointListener {
    controller: usize,
    endpoint: Endpoint,
    address: SocketAddr,
    state: ListenerState,
}

/// How an endpoint's address handles connections.
enum ListenerState {
    /// Connections are accepted.
    Listening(mio::net::TcpListener),
    /// Connections are neither established nor refused: the listener's queue is full, so the system drops connection
    /// requests.
    Blocked { _listener: mio::net::TcpListener, _queue_filler: mio::net::TcpStream },
    /// Connections are refused.
    Closed,
}

impl ListenerState {
    /// Returns the result of connecting in this state.
    fn connect_outcome(&self) -> ConnectOutcome {
        match self {
            ListenerState::Listening(_) => ConnectOutcome::Accepted,
            ListenerState::Blocked { .. } => ConnectOutcome::TimesOut,
            ListenerState::Closed => ConnectOutcome::Refused,
        }
    }
}

/// Socket of a connection to a controller, with pending output.
struct ControllerSocket {
    stream: mio::net::TcpStream,
    established: bool,
    unsent: Vec<u8>,
    /// Shut down the sending direction once all output is written.
    shutdown_when_flushed: bool,
}

impl ControllerSocket {
    fn new(stream: mio::net::TcpStream, established: bool) -> ControllerSocket {
        ControllerSocket { stream, established, unsent: Vec::new(), shutdown_when_flushed: false }
    }
}

/// The controller processes, by controller. All are killed on drop.
struct ControllerProcesses(Vec<Option<Child>>);

impl Drop for ControllerProcesses {
    fn drop(&mut self) {
        for child in self.0.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Event loop of a run on the wall clock.
struct Driver<'a> {
    poll: Poll,
    world: World,
    address_book: Rc<RefCell<EndpointAddressBook>>,
    listeners: Vec<EndpointListener>,
    sockets: BTreeMap<SimConnectionId, ControllerSocket>,
    /// Connections that were accepted by the system but must look as if they were never established.
    timed_out_connections: Vec<mio::net::TcpStream>,
    processes: ControllerProcesses,
    /// By controller, whether it was sent SIGTERM or SIGINT, so that its exit is expected.
    terminating: Vec<bool>,
    crashes: u32,
    /// Next time at which the resource usage of the processes is read.
    usage_due: Nanos,
    program: &'a Path,
    logs: Option<PathBuf>,
    folder: tempfile::TempDir,
    /// Start of the driver on the monotonic clock and as Unix time.
    start_times: (Instant, Nanos),
}

/// Options of a run on the wall clock.
#[derive(Clone, Debug, Default)]
pub struct RunOptions {
    /// Run the short form of the script.
    pub short: bool,
    /// Id of a call to trace.
    pub trace: Option<u64>,
    /// Directory for the controllers' structured logs.
    pub logs: Option<PathBuf>,
}

/// How late the driver ran its steps, because the machine was busy.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lateness {
    /// Number of steps.
    pub steps: u64,
    /// Number of steps that were later than 20 ms.
    pub late_steps: u64,
    /// Largest lateness of a step.
    pub max_lateness: Nanos,
}

impl Lateness {
    fn record_step(&mut self, late_by: Nanos) {
        self.steps += 1;
        self.late_steps += u64::from(late_by > LATENESS_THRESHOLD);
        self.max_lateness = self.max_lateness.max(late_by);
    }

    /// Whether the delays of the driver may themselves have broken a rule, because they used up the time that the rules
    /// allow for delays.
    pub fn is_unreliable(&self) -> bool {
        self.max_lateness > SOCKET_DELAY_ALLOWANCE || self.late_steps * 100 > self.steps
    }
}

/// Result of a run on the wall clock.
pub struct RunResult {
    /// The report of the run.
    pub run: RunReport,
    /// Trace of the call requested with [`RunOptions::trace`].
    pub trace: Vec<String>,
    /// How late the driver was.
    pub lateness: Lateness,
}

/// Runs a script once against real processes of `program`.
pub fn rehearse_once(
    script: &Script,
    seed: u64,
    program: &Path,
    options: &RunOptions,
) -> Result<RunResult, String> {
    if script.nodes > MAX_NODES {
        return Err(format!("{} nodes: --clock wall supports at most {MAX_NODES}", script.nodes));
    }
    if !program.is_file() {
        let hint = "build it with `cargo build --release`, or name it with --program";
        return Err(format!("{}: no such program; {hint}", program.display()));
    }
    if let Some(folder) = &options.logs {
        std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    }
    let address_book = Rc::new(RefCell::new(EndpointAddressBook::new()));
    let addresses = {
        let address_book = address_book.clone();
        Box::new(move |controller, endpoint| address_book.borrow_mut().address(controller, endpoint))
    };
    let unix_now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_err(error_context("cannot read the system time"))?
        .as_nanos() as Nanos;
    let arrival_period = seconds_to_nanos(crate::offering_seconds(script, options.short));
    let mut world = World::new(script.clone(), seed, unix_now + START_DELAY, arrival_period, addresses);
    options.trace.into_iter().for_each(|call| world.auditor.trace_call(call));
    let nodes = world.controller_count();
    let mut driver = Driver {
        poll: Poll::new().map_err(error_context("epoll"))?,
        world,
        address_book,
        listeners: Vec::new(),
        sockets: BTreeMap::new(),
        timed_out_connections: Vec::new(),
        processes: ControllerProcesses((0..nodes).map(|_| None).collect()),
        terminating: vec![false; nodes],
        crashes: 0,
        usage_due: 0,
        program,
        logs: options.logs.clone(),
        folder: tempfile::tempdir().map_err(error_context("cannot create a temporary directory"))?,
        start_times: (Instant::now(), unix_now),
    };
    let lateness = driver.run()?;
    let world = &mut driver.world;
    world.finalize();
    let run = RunReport::new(script, seed, &world.statistics, &world.auditor, world.digest());
    Ok(RunResult { run, trace: world.auditor.trace_lines().to_vec(), lateness })
}

impl Driver<'_> {
    fn now(&self) -> Nanos {
        self.start_times.1 + self.start_times.0.elapsed().as_nanos() as Nanos
    }

    /// Runs the world to its end.
    fn run(&mut self) -> Result<Lateness, String> {
        let mut lateness = Lateness::default();
        let mut events = Events::with_capacity(1024);
        self.perform_actions()?;
        while self.now() < self.world.end_time() {
            let next_event = self.world.next_event_time().unwrap_or(Nanos::MAX);
            let wait = Duration::from_nanos(next_event.saturating_sub(self.now())).min(MAX_POLL_WAIT);
            match self.poll.poll(&mut events, Some(wait)) {
                Err(e) if e.kind() != io::ErrorKind::Interrupted => return Err(format!("epoll: {e}")),
                _ => {}
            }
            let now = self.now();
            lateness.record_step(now.saturating_sub(next_event));
            for event in &events {
                let token = event.token().0;
                if token < FIRST_CONNECTION_TOKEN {
                    self.accept(token);
                } else {
                    self.handle_ready(
                        (token - FIRST_CONNECTION_TOKEN) as SimConnectionId,
                        event.is_writable(),
                    );
                }
            }
            self.world.advance(now);
            self.perform_actions()?;
            self.poll_processes_and_listeners()?;
            if now >= self.usage_due {
                self.usage_due = now + USAGE_INTERVAL;
                self.read_usage();
            }
        }
        Ok(lateness)
    }

    fn register(
        &mut self,
        stream: &mut mio::net::TcpStream,
        connection: SimConnectionId,
    ) -> Result<(), String> {
        let interest = Interest::READABLE | Interest::WRITABLE;
        let token = Token(FIRST_CONNECTION_TOKEN + connection as usize);
        self.poll.registry().register(stream, token, interest).map_err(error_context("epoll"))
    }

    fn accept(&mut self, listener_index: usize) {
        loop {
            let endpoint_listener = &self.listeners[listener_index];
            let (controller, endpoint) = (endpoint_listener.controller, endpoint_listener.endpoint);
            let ListenerState::Listening(listener) = &endpoint_listener.state else { return };
            let Ok((mut stream, _)) = listener.accept() else { return };
            let _ = stream.set_nodelay(true);
            match self.world.connect_outcome(controller, endpoint) {
                ConnectOutcome::Accepted => {
                    let now = self.now();
                    let connection = self.world.controller_connected(now, controller, endpoint);
                    if self.register(&mut stream, connection).is_ok() {
                        self.sockets.insert(connection, ControllerSocket::new(stream, true));
                    } else {
                        self.world.connection_closed(now, connection);
                    }
                }
                ConnectOutcome::TimesOut => self.timed_out_connections.push(stream),
                ConnectOutcome::Refused => {}
            }
        }
    }

    fn handle_ready(&mut self, connection: SimConnectionId, writable: bool) {
        let now = self.now();
        let Some(socket) = self.sockets.get_mut(&connection) else { return };
        if !socket.established {
            let failed =
                !matches!(socket.stream.take_error(), Ok(None)) || socket.stream.peer_addr().is_err();
            if failed {
                return self.remove_connection(now, connection);
            }
            socket.established = true;
            self.world.connection_established(now, connection);
        }
        if writable && !self.flush(connection) {
            return self.remove_connection(now, connection);
        }
        let mut bytes = [0; 16 * 1024];
        loop {
            let Some(socket) = self.sockets.get_mut(&connection) else { return };
            match socket.stream.read(&mut bytes) {
                Ok(0) => return self.remove_connection(now, connection),
                Ok(count) => self.world.bytes_received(now, connection, &bytes[..count]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return self.remove_connection(now, connection),
            }
        }
    }

    fn remove_connection(&mut self, now: Nanos, connection: SimConnectionId) {
        self.sockets.remove(&connection);
        self.world.connection_closed(now, connection);
    }

    /// Writes pending output of a connection. Returns false if the connection is broken.
    fn flush(&mut self, connection: SimConnectionId) -> bool {
        let Some(socket) = self.sockets.get_mut(&connection).filter(|s| s.established) else { return true };
        while !socket.unsent.is_empty() {
            match socket.stream.write(&socket.unsent) {
                Ok(count) => drop(socket.unsent.drain(..count)),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return true,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
        if std::mem::take(&mut socket.shutdown_when_flushed) {
            let _ = socket.stream.shutdown(std::net::Shutdown::Write);
        }
        true
    }

    fn send_signal(&mut self, controller: usize, signal: Signal) -> Result<(), String> {
        let Some(child) = &self.processes.0[controller] else { return Ok(()) };
        let number = match signal {
            Signal::Terminate => rustix::process::Signal::TERM,
            Signal::Interrupt => rustix::process::Signal::INT,
            Signal::Reload => rustix::process::Signal::HUP,
        };
        self.terminating[controller] |= signal != Signal::Reload;
        let sent = rustix::process::kill_process(rustix::process::Pid::from_child(child), number);
        sent.map_err(error_context("cannot send a signal"))
    }

    fn perform_actions(&mut self) -> Result<(), String> {
        while let Some(action) = self.world.poll_action() {
            match action {
                Action::Connect { connection_id: connection, controller } => {
                    let address = self.address_book.borrow_mut().address(controller, Endpoint::Callers);
                    let now = self.now();
                    match mio::net::TcpStream::connect(address) {
                        Ok(mut stream) => {
                            let _ = stream.set_nodelay(true);
                            self.register(&mut stream, connection)?;
                            self.sockets.insert(connection, ControllerSocket::new(stream, false));
                        }
                        Err(_) => self.world.connection_closed(now, connection),
                    }
                }
                Action::Send { connection_id: connection, bytes, .. } => {
                    if let Some(socket) = self.sockets.get_mut(&connection) {
                        socket.unsent.extend(bytes);
                    }
                    if !self.flush(connection) {
                        let now = self.now();
                        self.remove_connection(now, connection);
                    }
                }
                Action::Close { connection_id: connection, .. } => {
                    self.flush(connection);
                    self.sockets.remove(&connection);
                }
                Action::StartController { controller, config } => self.start_process(controller, &config)?,
                Action::SignalController { controller, signal } => self.send_signal(controller, signal)?,
                Action::ShutdownWrite { connection_id: connection, .. } => {
                    if let Some(socket) = self.sockets.get_mut(&connection) {
                        socket.shutdown_when_flushed = true;
                    }
                    self.flush(connection);
                }
                Action::KillController { controller } => {
                    self.terminating[controller] = false;
                    if let Some(mut child) = self.processes.0[controller].take() {
                        child
                            .kill()
                            .and_then(|()| child.wait())
                            .map_err(error_context("cannot kill a controller"))?;
                    }
                }
            }
        }
        Ok(())
    }

    /// Reads memory and descriptor usage of the processes and reports them to the world.
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
                self.world.report_resource_usage(self.now(), controller, memory_mb, descriptors);
            }
        }
    }

    fn start_process(&mut self, controller: usize, config: &str) -> Result<(), String> {
        let path: PathBuf = self.folder.path().join(format!("n{controller}.json"));
        std::fs::write(&path, config).map_err(error_context("cannot write a configuration"))?;
        let mut command = Command::new(self.program);
        command.env("EDGE_CONFIG", &path).stdin(Stdio::null()).stdout(Stdio::null());
        if let Some(logs) = &self.logs {
            let log = std::fs::File::options()
                .create(true)
                .append(true)
                .open(logs.join(format!("n{controller}.log")));
            command
                .env("DILLHOLD_LOG", LOG_FILTER)
                .stderr(log.map_err(error_context("cannot open a log file"))?);
        } else if std::env::var_os("DILLHOLD_LOG").is_none() {
            command.stderr(Stdio::null());
        }
        let child = command.spawn().map_err(|e| format!("{}: {e}", self.program.display()))?;
        self.processes.0[controller] = Some(child);
        Ok(())
    }

    /// Handles exited processes, and opens, closes and blocks listeners as the world requires.
    fn poll_processes_and_listeners(&mut self) -> Result<(), String> {
        let now = self.now();
        for controller in 0..self.terminating.len() {
            let Some(child) = &mut self.processes.0[controller] else { continue };
            let Some(status) =
                child.try_wait().map_err(error_context("cannot get the status of a controller"))?
            else {
                continue;
            };
            self.processes.0[controller] = None;
            if std::mem::take(&mut self.terminating[controller]) && status.success() {
                self.world.controller_stopped(now, controller);
            } else {
                self.crashes += 1;
                if self.crashes > MAX_CRASHES {
                    return Err(format!("controller n{controller} exited unexpectedly: {status}"));
                }
                self.world.controller_crashed(now, controller, &status.to_string());
            }
            self.perform_actions()?;
        }
        let (new_listeners, failed) = {
            let mut address_book = self.address_book.borrow_mut();
            (std::mem::take(&mut address_book.new_listeners), address_book.error.take())
        };
        if let Some(failed) = failed {
            return Err(failed);
        }
        for (controller, endpoint, listener) in new_listeners {
            let address = listener.local_addr().map_err(error_context("cannot set up a listener"))?;
            self.listeners.push(EndpointListener {
                controller,
                endpoint,
                address,
                state: ListenerState::Closed,
            });
            self.register_listener(self.listeners.len() - 1, listener)?;
        }
        for listener_index in 0..self.listeners.len() {
            let endpoint_listener = &self.listeners[listener_index];
            let (wanted, present) = (
                self.world.connect_outcome(endpoint_listener.controller, endpoint_listener.endpoint),
                endpoint_listener.state.connect_outcome(),
            );
            match wanted {
                _ if wanted == present => {}
                ConnectOutcome::Accepted => self.reopen(listener_index)?,
                ConnectOutcome::Refused => self.listeners[listener_index].state = ListenerState::Closed,
                ConnectOutcome::TimesOut => self.block_connections(listener_index)?,
            }
        }
        Ok(())
    }

    /// Listens again at the address of an endpoint.
    fn reopen(&mut self, listener_index: usize) -> Result<(), String> {
        let endpoint_listener = &mut self.listeners[listener_index];
        endpoint_listener.state = ListenerState::Closed;
        let listener = TcpListener::bind(endpoint_listener.address)
            .map_err(error_context("cannot set up a listener"))?;
        self.register_listener(listener_index, listener)
    }

    /// Makes new connections neither succeed nor be refused: the listener's queue holds a single connection, and this
    /// function fills it.
    fn block_connections(&mut self, listener_index: usize) -> Result<(), String> {
        if matches!(self.listeners[listener_index].state, ListenerState::Closed) {
            self.reopen(listener_index)?;
        }
        self.accept(listener_index);
        let endpoint_listener = &mut self.listeners[listener_index];
        let ListenerState::Listening(mut listener) =
            std::mem::replace(&mut endpoint_listener.state, ListenerState::Closed)
        else {
            return Ok(());
        };
        self.poll.registry().deregister(&mut listener).map_err(error_context("epoll"))?;
        rustix::net::listen(&listener, 0).map_err(error_context("cannot set up a listener"))?;
        let queue_filler = mio::net::TcpStream::connect(endpoint_listener.address)
            .map_err(error_context("cannot fill the queue of a listener"))?;
        endpoint_listener.state = ListenerState::Blocked { _listener: listener, _queue_filler: queue_filler };
        Ok(())
    }

    fn register_listener(&mut self, listener_index: usize, listener: TcpListener) -> Result<(), String> {
        listener.set_nonblocking(true).map_err(error_context("cannot set up a listener"))?;
        let mut listener = mio::net::TcpListener::from_std(listener);
        let registry = self.poll.registry();
        registry
            .register(&mut listener, Token(listener_index), Interest::READABLE)
            .map_err(error_context("epoll"))?;
        self.listeners[listener_index].state = ListenerState::Listening(listener);
        Ok(())
    }
}
