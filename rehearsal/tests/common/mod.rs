//! A minimal controller that replaces the real one in tests of the auditor. Without incidents it keeps all rules; with
//! a [`Fault`] it breaks one of them on purpose.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use dillhold::codec::{binary, http, sip};
use dillhold::engine::{ConnId, Interest, Output};
use dillhold::session::ReadBuffer;
use pitchgw::interface::Nanos;
use rehearsal::virtual_clock::Controller;
use serde_json::Value;

const MS: Nanos = 1_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    SecondFinalAnswer,
    NoFinalAnswer,
    TwoAttemptsOut,
    UnlimitedAttempts,
    SetUpAfterEnd,
    IgnoresDrain,
    SkipsReleaseWait,
    MisroutesTransit,
    DropsReleases,
    ChangesDescriptions,
    WritesGarbage,
}

#[derive(Clone, PartialEq)]
enum Peer {
    Caller,
    Machine(String),
    Journal,
}

struct Connection {
    peer: Peer,
    read_buffer: ReadBuffer,
    output: Vec<u8>,
    established: bool,
}

struct Machine {
    address: SocketAddr,
    number: u64,
    serving: bool,
    conn: Option<ConnId>,
}

struct Call {
    caller: ConnId,
    /// Parameters of the caller's set-up, by code.
    parameters: Vec<(u8, Vec<u8>)>,
    timeout_ms: u64,
    destination: u64,
    attempts: u32,
    /// The machine at which an attempt is pending, or at which the call stands.
    machine: Option<String>,
    stands: bool,
    answered: bool,
}

/// Codes of a set-up's parameters, written out independently of the codec.
mod parameter_code {
    pub const CLASS: u8 = 100;
    pub const TIMEOUT: u8 = 101;
    pub const CALLED_NUMBER: u8 = 104;
    pub const ATTRIBUTES: u8 = 105;
    pub const DESCRIPTION: u8 = 115;
}

/// Timer id: reconnect to the machines.
const RECONNECT_MACHINES: u64 = 0;
/// Timer id: reconnect to the journal service.
const RECONNECT_JOURNAL: u64 = 1;

pub struct FaultyController {
    fault: Fault,
    own_number: u64,
    now: Nanos,
    tick: Nanos,
    journal: SocketAddr,
    position: u64,
    last_conn: ConnId,
    connections: BTreeMap<ConnId, Connection>,
    machines: BTreeMap<String, Machine>,
    calls: BTreeMap<u64, Call>,
    /// Time and call id, or one of the ids below.
    timers: BTreeSet<(Nanos, u64)>,
    outputs: VecDeque<Output>,
    /// Connections with new output.
    pending_writes: BTreeSet<ConnId>,
}

impl FaultyController {
    pub fn start(fault: Fault, now: Nanos, config: &str) -> Result<Box<dyn Controller>, String> {
        let config: Value = serde_json::from_str(config).map_err(|e| e.to_string())?;
        let address = |v: &Value| v.as_str().and_then(|t| t.parse().ok()).ok_or("an address");
        let mut controller = FaultyController {
            fault,
            own_number: config["settings"]["my-number"].as_u64().ok_or("a number")?,
            now,
            tick: config["settings"]["tick"].as_u64().ok_or("a tick")?,
            journal: address(&config["journal"])?,
            position: 0,
            last_conn: 100,
            connections: BTreeMap::new(),
            machines: BTreeMap::new(),
            calls: BTreeMap::new(),
            timers: BTreeSet::new(),
            outputs: VecDeque::from([Output::Listen(address(&config["listen"])?)]),
            pending_writes: BTreeSet::new(),
        };
        controller.apply_journal_answer(&config["known"]);
        controller.connect(controller.journal, Peer::Journal);
        Ok(Box::new(controller))
    }

    fn apply_journal_answer(&mut self, answer: &Value) {
        for entry in answer["entries"].as_array().into_iter().flatten() {
            self.position = entry["pos"].as_u64().unwrap_or(0);
            for host in entry["hosts"]["targets"].as_array().into_iter().flatten() {
                let uid = host["uid"].as_str().unwrap_or_default().to_string();
                let number = host["pod_group"].as_u64().unwrap_or(0);
                let serving = host["state"] == "SERVING" || self.fault == Fault::IgnoresDrain;
                let address = host["endpoint"].as_str().and_then(|t| t.parse().ok()).expect("an address");
                let machine = Machine { address, number, serving, conn: None };
                self.machines.entry(uid.clone()).or_insert(machine).serving = serving;
                if number != self.own_number && serving {
                    self.connect_machine(&uid);
                }
            }
        }
    }

    fn connect_machine(&mut self, uid: &str) {
        let address = self.machines.get(uid).filter(|m| m.conn.is_none()).map(|m| m.address);
        if let Some(address) = address {
            let conn = self.connect(address, Peer::Machine(uid.into()));
            self.machines.get_mut(uid).expect("a known machine or call").conn = Some(conn);
        }
    }

    fn add_connection(&mut self, peer: Peer, established: bool) -> ConnId {
        self.last_conn += 1;
        self.connections.insert(
            self.last_conn,
            Connection { peer, read_buffer: ReadBuffer::default(), output: Vec::new(), established },
        );
        self.last_conn
    }

    fn connect(&mut self, to: SocketAddr, peer: Peer) -> ConnId {
        let conn = self.add_connection(peer, false);
        self.outputs.push_back(Output::Connect { conn, to });
        conn
    }

    fn write(&mut self, conn: ConnId, bytes: &[u8]) {
        if let Some(c) = self.connections.get_mut(&conn) {
            c.output.extend(bytes);
            self.pending_writes.insert(conn);
        }
    }

    fn poll_journal(&mut self, conn: ConnId) {
        let mut out = Vec::new();
        http::write_get(&mut out, &format!("/journal?tail={}&max_wait=2000", self.position), "journal");
        self.write(conn, &out);
    }

    fn send_sip_request(&mut self, uid: &str, method: &str, id: u64, headers: &str, body: &[u8]) {
        let Some(conn) = self.machines.get(uid).and_then(|m| m.conn) else { return };
        let mut out = Vec::new();
        let (line, call) = (format!("{method} sip:call@net SIP/2.0"), format!("{id:016x}"));
        sip::write(
            &mut out,
            format_args!("{line}"),
            call.as_bytes(),
            (1, method),
            format_args!("{headers}"),
            body,
        );
        self.write(conn, &out);
    }

    fn send_to_caller(&mut self, id: u64, kind: u8, parameters: &[(u8, &[u8])]) {
        let Some(call) = self.calls.get(&id) else { return };
        let (caller, mut out) = (call.caller, Vec::new());
        binary::write(&mut out, kind, id, parameters);
        self.write(caller, &out);
    }

    fn send_set_up(&mut self, id: u64) {
        let Some(call) = self.calls.get(&id) else { return };
        let misrouted = self.fault == Fault::MisroutesTransit;
        // A misrouted call goes to a tandem first, and the tandem sends it to any node but its destination.
        let is_candidate = |m: &Machine| {
            m.serving
                && m.number != self.own_number
                && (m.number == call.destination) != misrouted
                && m.conn.is_some()
        };
        let is_connected =
            |m: &Machine| m.conn.is_some_and(|c| self.connections.get(&c).is_some_and(|c| c.established));
        let newest_first = self.machines.iter().rev();
        let mut candidates =
            newest_first.filter(|(_, m)| is_candidate(m) && is_connected(m)).map(|(uid, _)| uid.clone());
        let (first, second) = (candidates.next(), candidates.next());
        let other =
            self.machines.iter().find(|(_, m)| m.number != call.destination && m.number != self.own_number);
        let other = other.map(|(uid, _)| uid.clone());
        let Some(uid) = first else { return self.refuse(id) };
        let get =
            |code| call.parameters.iter().find(|f| f.0 == code).map(|f| f.1.clone()).unwrap_or_default();
        let (class, number, mut description) = (
            get(parameter_code::CLASS),
            get(parameter_code::CALLED_NUMBER),
            get(parameter_code::DESCRIPTION),
        );
        if self.fault == Fault::ChangesDescriptions {
            description[0] ^= 1;
        }
        let headers =
            format!("X-Service: {}\r\nX-Setup-Ms: {}\r\n", String::from_utf8_lossy(&class), call.timeout_ms);
        let uri = format!("INVITE sip:{}@net SIP/2.0", String::from_utf8_lossy(&number));
        let call_id = format!("{id:016x}");
        let call = self.calls.get_mut(&id).expect("a known machine or call");
        call.attempts += 1;
        call.machine = Some(uid.clone());
        let mut recipients = vec![uid];
        recipients.extend(other.or(second).filter(|_| self.fault == Fault::TwoAttemptsOut));
        for uid in recipients {
            let Some(conn) = self.machines.get(&uid).and_then(|m| m.conn) else { continue };
            let mut out = Vec::new();
            sip::write(
                &mut out,
                format_args!("{uri}"),
                call_id.as_bytes(),
                (1, "INVITE"),
                format_args!("{headers}"),
                &description,
            );
            if self.fault == Fault::WritesGarbage {
                out = b"\xff\xfe not a SIP message\r\n\r\n".to_vec();
            }
            self.write(conn, &out);
        }
    }

    fn refuse(&mut self, id: u64) {
        let Some(call) = self.calls.get_mut(&id).filter(|c| !c.answered) else { return };
        call.answered = true;
        call.machine = None;
        if self.fault != Fault::NoFinalAnswer {
            self.send_to_caller(id, binary::kind::RELEASE, &[(binary::param::CAUSE, &[42])]);
        }
        if self.fault == Fault::SetUpAfterEnd {
            self.timers.insert((self.now + 50 * MS, id));
        }
    }

    fn handle_caller_message(&mut self, conn: ConnId, message: binary::Message<'_>) {
        let id = message.call_id;
        match message.kind {
            binary::kind::SET_UP => {
                let get = |code| message.parameter(code).unwrap_or_default().to_vec();
                let attributes = String::from_utf8(get(parameter_code::ATTRIBUTES)).expect("text");
                let destination = attributes.split(';').find_map(|f| f.strip_prefix("dest:")?.parse().ok());
                let caller_timeout_ms =
                    String::from_utf8(get(parameter_code::TIMEOUT)).expect("text").parse().expect("a number");
                let call = Call {
                    caller: conn,
                    parameters: [
                        parameter_code::CLASS,
                        parameter_code::CALLED_NUMBER,
                        parameter_code::DESCRIPTION,
                    ]
                    .map(|code| (code, get(code)))
                    .to_vec(),
                    timeout_ms: caller_timeout_ms,
                    destination: destination.expect("a destination"),
                    attempts: 0,
                    machine: None,
                    stands: false,
                    answered: false,
                };
                self.calls.insert(id, call);
                let times_out_early = self.fault == Fault::SkipsReleaseWait;
                let timeout_ms = if times_out_early { 40 } else { caller_timeout_ms.saturating_sub(20) };
                self.timers.insert((self.now + timeout_ms * MS, id));
                self.send_set_up(id);
            }
            binary::kind::RELEASE => {
                let Some(call) = self.calls.remove(&id) else { return };
                if let Some(uid) = call.machine {
                    self.send_sip_request(&uid, if call.stands { "BYE" } else { "CANCEL" }, id, "", b"");
                }
            }
            _ => {}
        }
    }

    fn handle_machine_message(&mut self, uid: &str, message: sip::Message<'_>) {
        let id = message.call_id().unwrap_or(0);
        match message.start_line {
            sip::StartLine::Request(b"BYE") => {
                self.send_sip_request(uid, "ACK", id, "", b"");
                if self.fault != Fault::DropsReleases {
                    self.send_to_caller(id, binary::kind::RELEASE, &[(binary::param::CAUSE, &[16])]);
                }
                self.calls.remove(&id);
            }
            sip::StartLine::Response(code) if message.cseq().is_some_and(|s| s.1 == b"INVITE") => {
                let is_at_machine = |c: &&mut Call| !c.answered && c.machine.as_deref() == Some(uid);
                let Some(call) = self.calls.get_mut(&id).filter(is_at_machine) else { return };
                if code == 200 {
                    (call.stands, call.answered) = (true, true);
                    let answer = [(binary::param::DESCRIPTION, message.body)];
                    match self.fault {
                        Fault::NoFinalAnswer => {}
                        _ => self.send_to_caller(id, binary::kind::ANSWER, &answer),
                    }
                    if self.fault == Fault::SecondFinalAnswer {
                        self.send_to_caller(id, binary::kind::ANSWER, &answer);
                    }
                } else if self.fault == Fault::UnlimitedAttempts && call.attempts < 9 {
                    self.send_set_up(id);
                } else {
                    self.refuse(id);
                }
            }
            _ => {}
        }
    }

    fn attempt_timed_out(&mut self, id: u64) {
        let sends_again = |c: &Call| !c.stands && c.attempts < 3;
        if self.fault == Fault::SetUpAfterEnd && self.calls.get(&id).is_some_and(sends_again) {
            return self.send_set_up(id);
        }
        let Some(call) = self.calls.get_mut(&id).filter(|c| !c.answered) else { return };
        if let Some(uid) = call.machine.take() {
            self.send_sip_request(&uid, "CANCEL", id, "", b"");
        }
        if self.fault == Fault::SkipsReleaseWait && self.calls[&id].attempts < 3 {
            self.timers.insert((self.now + 500 * MS, id));
            return self.send_set_up(id);
        }
        self.refuse(id);
    }

    fn process_input(&mut self, conn: ConnId) {
        let Some(mut c) = self.connections.remove(&conn) else { return };
        let peer = c.peer.clone();
        let read_buffer = std::mem::take(&mut c.read_buffer);
        self.connections.insert(conn, c);
        let mut rest = read_buffer.unread();
        loop {
            let taken = match &peer {
                Peer::Caller => match binary::parse(rest) {
                    Ok(found) => found.map(|(m, taken)| {
                        self.handle_caller_message(conn, m);
                        taken
                    }),
                    // A caller that sends garbage is disconnected.
                    Err(_) => return self.connection_closed(conn),
                },
                Peer::Machine(uid) => sip::parse(rest).expect("a valid message").map(|(m, taken)| {
                    self.handle_machine_message(uid, m);
                    taken
                }),
                Peer::Journal => http::parse(rest).expect("a valid message").map(|(m, taken)| {
                    self.apply_journal_answer(&serde_json::from_slice(&m.body).expect("JSON"));
                    self.poll_journal(conn);
                    taken
                }),
            };
            let Some(taken) = taken else { break };
            rest = &rest[taken..];
        }
        let unparsed = rest.to_vec();
        if let Some(c) = self.connections.get_mut(&conn) {
            c.read_buffer.append(&unparsed);
        }
    }

    fn connection_closed(&mut self, conn: ConnId) {
        let Some(c) = self.connections.remove(&conn) else { return };
        self.outputs.push_back(Output::Close(conn));
        match c.peer {
            Peer::Machine(uid) => {
                self.machines.get_mut(&uid).expect("a known machine or call").conn = None;
                let open = |c: &Call| c.machine.as_deref() == Some(&uid) && !c.answered;
                let lost: Vec<u64> = self.calls.iter().filter(|(_, c)| open(c)).map(|(id, _)| *id).collect();
                lost.into_iter().for_each(|id| self.refuse(id));
                self.timers.insert((self.now + 250 * MS, RECONNECT_MACHINES));
            }
            Peer::Journal => {
                self.timers.insert((self.now + 250 * MS, RECONNECT_JOURNAL));
            }
            Peer::Caller => {}
        }
    }
}

impl Controller for FaultyController {
    fn begin_turn(&mut self, now: Nanos) {
        self.now = now;
    }
    fn tick(&self) -> Nanos {
        self.tick
    }
    fn next_deadline(&self) -> Option<Nanos> {
        self.timers.first().map(|t| t.0)
    }
    fn accepted(&mut self) -> Option<ConnId> {
        Some(self.add_connection(Peer::Caller, true))
    }
    fn connected(&mut self, conn: ConnId) {
        self.connections.get_mut(&conn).expect("a known connection").established = true;
        self.pending_writes.insert(conn);
        if self.connections[&conn].peer == Peer::Journal {
            self.poll_journal(conn);
        }
    }
    fn connect_failed(&mut self, conn: ConnId, _refused: bool) {
        self.connection_closed(conn);
    }
    fn read_closed(&mut self, conn: ConnId) {
        self.connection_closed(conn);
    }
    fn read_buffer(&mut self, conn: ConnId) -> Option<&mut [u8]> {
        Some(self.connections.get_mut(&conn)?.read_buffer.unfilled())
    }
    fn bytes_read(&mut self, conn: ConnId, count: usize) {
        self.connections.get_mut(&conn).expect("an open connection").read_buffer.advance(count);
        self.process_input(conn);
    }
    fn handle_deadlines(&mut self) {
        while let Some((_, id)) = self.timers.pop_first_if(|t| t.0 <= self.now) {
            match id {
                RECONNECT_MACHINES => {
                    let reconnecting =
                        self.machines.iter().filter(|(_, m)| m.serving && m.number != self.own_number);
                    let uids: Vec<String> = reconnecting.map(|(uid, _)| uid.clone()).collect();
                    uids.iter().for_each(|uid| self.connect_machine(uid));
                }
                RECONNECT_JOURNAL => drop(self.connect(self.journal, Peer::Journal)),
                id => self.attempt_timed_out(id),
            }
        }
    }
    fn run_commands(&mut self) {}
    fn poll_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }
    fn poll_write(&mut self) -> Option<ConnId> {
        self.pending_writes.pop_first()
    }
    fn pending_bytes(&self, conn: ConnId) -> &[u8] {
        self.connections.get(&conn).filter(|c| c.established).map_or(&[], |c| &c.output)
    }
    fn bytes_written(&mut self, conn: ConnId, count: usize) {
        self.connections.get_mut(&conn).expect("an open connection").output.drain(..count);
    }
    fn flushed(&mut self, _conn: ConnId) -> Option<Interest> {
        Some(Interest { readable: true, writable: false })
    }
    fn is_turn_complete(&self) -> bool {
        self.outputs.is_empty() && self.pending_writes.is_empty()
    }
    fn end_turn(&mut self) {}
    fn shut_down(&mut self) {}
}

/// [`BTreeSet::pop_first`] with a condition.
trait PopFirstIf<T> {
    fn pop_first_if(&mut self, condition: impl Fn(&T) -> bool) -> Option<T>;
}

impl<T: Ord + Copy> PopFirstIf<T> for BTreeSet<T> {
    fn pop_first_if(&mut self, condition: impl Fn(&T) -> bool) -> Option<T> {
        let first = *self.first()?;
        if !condition(&first) {
            return None;
        }
        self.remove(&first);
        Some(first)
    }
}
