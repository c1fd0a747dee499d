//! A stand-in for the process of an exchange. It answers every request at once, and can die, vanish and reset connections
//! as a real one does. Several processes can use one listener in turn, like machines that take over an address.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use dillhold::codec::sip::{self, Message, StartLine};

use super::DESCRIPTION;

const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// How the process ends, or that it has not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Life {
    Running,
    /// Connections are reset.
    Dead,
    /// Connections stay open and silent.
    Vanished,
}

#[derive(Debug)]
struct State {
    life: Life,
    /// Connections by number.
    connections: BTreeMap<usize, TcpStream>,
    next_connection: usize,
    /// Calls that stand, with the connection of their set-up.
    standing: BTreeMap<u64, usize>,
    /// Calls that the controller released.
    released: BTreeSet<u64>,
    /// Set-ups that are neither answered nor given up: call, number of `CSeq` and connection.
    pending: BTreeMap<u64, (u32, usize)>,
    holds_answers: bool,
    listens: bool,
    /// Free circuits and size of the group, sent on each new connection.
    group: Option<(u32, u32)>,
}

/// A process of an exchange.
pub struct ExchangeProcess {
    state: Arc<Mutex<State>>,
    threads: Arc<Mutex<Vec<JoinHandle<()>>>>,
}

impl ExchangeProcess {
    /// Starts a process that accepts connections at a listener.
    pub fn start(listener: &TcpListener) -> ExchangeProcess {
        ExchangeProcess::start_with_group(listener, None)
    }

    /// The same with a group whose free circuits and size are sent on each new connection.
    pub fn start_with_group(listener: &TcpListener, group: Option<(u32, u32)>) -> ExchangeProcess {
        let state = State {
            life: Life::Running,
            connections: BTreeMap::new(),
            next_connection: 0,
            standing: BTreeMap::new(),
            released: BTreeSet::new(),
            pending: BTreeMap::new(),
            holds_answers: false,
            listens: true,
            group,
        };
        let (state, threads) = (Arc::new(Mutex::new(state)), Arc::new(Mutex::new(Vec::new())));
        let listener = listener.try_clone().unwrap();
        listener.set_nonblocking(true).unwrap();
        let acceptor = {
            let (state, threads) = (state.clone(), threads.clone());
            std::thread::spawn(move || accept_connections(&listener, &state, &threads))
        };
        threads.lock().unwrap().push(acceptor);
        ExchangeProcess { state, threads }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Ends the process: its connections are reset, and its calls end without a word.
    pub fn kill(&self) {
        self.end(Life::Dead);
    }

    /// Ends the machine: its connections stay open and silent.
    pub fn vanish(&self) {
        self.end(Life::Vanished);
    }

    fn end(&self, life: Life) {
        let connections = {
            let mut state = self.state();
            state.life = life;
            if life == Life::Vanished {
                state.connections.values().for_each(|stream| {
                    let _ = stream.shutdown(Shutdown::Read);
                });
                Vec::new()
            } else {
                std::mem::take(&mut state.connections).into_values().collect()
            }
        };
        connections.into_iter().for_each(reset);
        let threads = std::mem::take(&mut *self.threads.lock().unwrap());
        threads.into_iter().for_each(|thread| thread.join().unwrap());
    }

    /// Takes no more connections.
    pub fn stop_listening(&self) {
        self.state().listens = false;
        let acceptor = self.threads.lock().unwrap().remove(0);
        acceptor.join().unwrap();
    }

    /// Resets all connections; the process lives on.
    pub fn reset_connections(&self) {
        let connections = std::mem::take(&mut self.state().connections);
        connections.into_values().for_each(reset);
    }

    /// Answers no set-up from now on.
    pub fn hold_answers(&self) {
        self.state().holds_answers = true;
    }

    /// Answers all set-ups that were held.
    pub fn answer_held(&self) {
        let mut state = self.state();
        state.holds_answers = false;
        for (call_id, (number, connection)) in std::mem::take(&mut state.pending) {
            answer_set_up(&mut state, call_id, number, connection);
        }
    }

    /// Releases a call on the newest connection.
    pub fn release(&self, call_id: u64) {
        let mut state = self.state();
        state.standing.remove(&call_id);
        let bye = message("BYE sip:x@net SIP/2.0", call_id, (2, "BYE"), "Reason: Q.850;cause=16\r\n", b"");
        let newest = state.connections.values_mut().next_back().expect("an open connection");
        newest.write_all(&bye).unwrap();
    }

    /// The calls that stand.
    pub fn standing(&self) -> Vec<u64> {
        self.state().standing.keys().copied().collect()
    }

    /// Whether the controller released a call.
    pub fn was_released(&self, call_id: u64) -> bool {
        self.state().released.contains(&call_id)
    }

    /// Waits until set-ups are pending, with `hold_answers`.
    pub fn wait_for_pending(&self, count: usize) {
        self.wait_for("pending set-ups", |state| state.pending.len() == count);
    }

    /// Waits until connections are open.
    pub fn wait_for_connections(&self, count: usize) {
        self.wait_for("connections", |state| state.connections.len() >= count);
    }

    fn wait_for(&self, what: &str, is_met: impl Fn(&State) -> bool) {
        let until = Instant::now() + Duration::from_secs(10);
        while !is_met(&self.state()) {
            assert!(Instant::now() < until, "no {what}: {:?}", self.state());
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

impl Drop for ExchangeProcess {
    fn drop(&mut self) {
        if self.state().life == Life::Running {
            self.kill();
        }
    }
}

/// Closes a connection with a reset, as the system does when a process dies.
fn reset(stream: TcpStream) {
    let _ = rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO));
    let _ = stream.shutdown(Shutdown::Read);
}

fn accept_connections(
    listener: &TcpListener,
    state: &Arc<Mutex<State>>,
    threads: &Arc<Mutex<Vec<JoinHandle<()>>>>,
) {
    loop {
        let mut locked = state.lock().unwrap();
        if locked.life != Life::Running || !locked.listens {
            return;
        }
        match listener.accept() {
            Ok((mut stream, _)) => {
                stream.set_nonblocking(false).unwrap();
                stream.set_nodelay(true).unwrap();
                if let Some((free, size)) = locked.group {
                    let report = format!("X-Group: spare:{free};total:{size}\r\n");
                    let _ = stream.write_all(&message(
                        "NOTIFY sip:g@net SIP/2.0",
                        0,
                        (1, "NOTIFY"),
                        &report,
                        b"",
                    ));
                }
                let number = locked.next_connection;
                locked.next_connection += 1;
                locked.connections.insert(number, stream.try_clone().unwrap());
                let state = state.clone();
                let reader = std::thread::spawn(move || read_requests(stream, number, &state));
                threads.lock().unwrap().push(reader);
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                drop(locked);
                std::thread::sleep(POLL_INTERVAL);
            }
            Err(e) => panic!("accept: {e}"),
        }
    }
}

fn read_requests(mut stream: TcpStream, connection: usize, state: &Arc<Mutex<State>>) {
    let (mut input, mut chunk) = (Vec::new(), [0; 4096]);
    loop {
        match stream.read(&mut chunk) {
            Ok(0) => break,
            Ok(count) => input.extend_from_slice(&chunk[..count]),
            Err(e) if e.kind() == ErrorKind::Interrupted => continue,
            Err(_) => break,
        }
        let mut state = state.lock().unwrap();
        if state.life != Life::Running {
            return;
        }
        while let Some((message, length)) = sip::parse(&input).unwrap() {
            handle_request(&mut state, connection, &message);
            input.drain(..length);
        }
    }
    let mut state = state.lock().unwrap();
    if state.life == Life::Running {
        state.connections.remove(&connection);
        state.pending.retain(|_, (_, on)| *on != connection);
    }
}

fn handle_request(state: &mut State, connection: usize, request: &Message<'_>) {
    let StartLine::Request(method) = request.start_line else { return };
    let (call_id, (number, _)) = (request.call_id().unwrap(), request.cseq().unwrap());
    let method = String::from_utf8_lossy(method).into_owned();
    match method.as_str() {
        "INVITE" if state.holds_answers => {
            state.pending.insert(call_id, (number, connection));
        }
        "INVITE" => answer_set_up(state, call_id, number, connection),
        "BYE" | "CANCEL" | "OPTIONS" => {
            if method == "BYE" {
                state.standing.remove(&call_id);
                state.released.insert(call_id);
            }
            if method == "CANCEL" {
                state.pending.remove(&call_id);
            }
            let response = message("SIP/2.0 200 OK", call_id, (number, &method), "", b"");
            send(state, connection, &response);
        }
        _ => {}
    }
}

fn answer_set_up(state: &mut State, call_id: u64, number: u32, connection: usize) {
    state.standing.insert(call_id, connection);
    let answer = message("SIP/2.0 200 OK", call_id, (number, "INVITE"), "", DESCRIPTION);
    send(state, connection, &answer);
}

fn send(state: &mut State, connection: usize, bytes: &[u8]) {
    if let Some(stream) = state.connections.get_mut(&connection) {
        let _ = stream.write_all(bytes);
    }
}

fn message(line: &str, call_id: u64, cseq: (u32, &str), headers: &str, body: &[u8]) -> Vec<u8> {
    let (mut out, call) = (Vec::new(), format!("{call_id:016x}"));
    sip::write(&mut out, format_args!("{line}"), call.as_bytes(), cseq, format_args!("{headers}"), body);
    out
}
