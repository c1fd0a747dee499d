//! A naive controller that stands in for the real one: it keeps the rules as long as nothing goes wrong, and
//! breaks one of them on purpose when it is told to.

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
    AnswersTwice,
    AnswersNever,
    TwoAttemptsOut,
    AttemptsWithoutEnd,
    SendsAfterTheEnd,
    HeedsNoDrain,
    WaitsForNoRelease,
    SendsTransitAstray,
    PassesNoRelease,
    ChangesDescriptions,
    WritesNoise,
}

#[derive(Clone, PartialEq)]
enum Peer {
    Caller,
    Machine(String),
    Journal,
}

struct Conn {
    peer: Peer,
    inbox: ReadBuffer,
    out: Vec<u8>,
    up: bool,
}

struct Machine {
    address: SocketAddr,
    number: u64,
    serving: bool,
    conn: Option<ConnId>,
}

struct Call {
    caller: ConnId,
    fields: Vec<(u8, Vec<u8>)>,
    wait: u64,
    destination: u64,
    attempts: u32,
    /// The machine where an attempt is out, or the call stands.
    at: Option<String>,
    stands: bool,
    answered: bool,
}

pub struct Naive {
    fault: Fault,
    own: u64,
    now: Nanos,
    tick: Nanos,
    journal: SocketAddr,
    position: u64,
    next: ConnId,
    conns: BTreeMap<ConnId, Conn>,
    machines: BTreeMap<String, Machine>,
    calls: BTreeMap<u64, Call>,
    timers: BTreeSet<(Nanos, u64)>,
    outputs: VecDeque<Output>,
    touched: BTreeSet<ConnId>,
}

impl Naive {
    pub fn start(fault: Fault, now: Nanos, config: &str) -> Result<Box<dyn Controller>, String> {
        let config: Value = serde_json::from_str(config).map_err(|e| e.to_string())?;
        let address = |v: &Value| v.as_str().and_then(|t| t.parse().ok()).ok_or("an address");
        let mut naive = Naive {
            fault,
            own: config["settings"]["my-number"].as_u64().ok_or("a number")?,
            now,
            tick: config["settings"]["tick"].as_u64().ok_or("a tick")?,
            journal: address(&config["journal"])?,
            position: 0,
            next: 100,
            conns: BTreeMap::new(),
            machines: BTreeMap::new(),
            calls: BTreeMap::new(),
            timers: BTreeSet::new(),
            outputs: VecDeque::from([Output::Listen(address(&config["listen"])?)]),
            touched: BTreeSet::new(),
        };
        naive.news(&config["known"]);
        naive.dial(naive.journal, Peer::Journal);
        Ok(Box::new(naive))
    }

    fn news(&mut self, answer: &Value) {
        for entry in answer["entries"].as_array().into_iter().flatten() {
            self.position = entry["pos"].as_u64().unwrap_or(0);
            for host in entry["hosts"]["targets"].as_array().into_iter().flatten() {
                let uid = host["uid"].as_str().unwrap_or_default().to_string();
                let number = host["pod_group"].as_u64().unwrap_or(0);
                let serving = host["state"] == "SERVING" || self.fault == Fault::HeedsNoDrain;
                let address = host["endpoint"].as_str().and_then(|t| t.parse().ok()).expect("an address");
                let machine = Machine { address, number, serving, conn: None };
                self.machines.entry(uid.clone()).or_insert(machine).serving = serving;
                if number != self.own && serving {
                    self.connect(&uid);
                }
            }
        }
    }

    fn connect(&mut self, uid: &str) {
        let address = self.machines.get(uid).filter(|m| m.conn.is_none()).map(|m| m.address);
        if let Some(address) = address {
            let conn = self.dial(address, Peer::Machine(uid.into()));
            self.machines.get_mut(uid).expect("known").conn = Some(conn);
        }
    }

    fn add(&mut self, peer: Peer, up: bool) -> ConnId {
        self.next += 1;
        self.conns.insert(self.next, Conn { peer, inbox: ReadBuffer::default(), out: Vec::new(), up });
        self.next
    }

    fn dial(&mut self, to: SocketAddr, peer: Peer) -> ConnId {
        let conn = self.add(peer, false);
        self.outputs.push_back(Output::Connect { conn, to });
        conn
    }

    fn write(&mut self, conn: ConnId, bytes: &[u8]) {
        if let Some(c) = self.conns.get_mut(&conn) {
            c.out.extend(bytes);
            self.touched.insert(conn);
        }
    }

    fn ask(&mut self, conn: ConnId) {
        let mut out = Vec::new();
        http::write_get(&mut out, &format!("/journal?tail={}&max_wait=2000", self.position), "journal");
        self.write(conn, &out);
    }

    fn say(&mut self, uid: &str, method: &str, id: u64, further: &str, body: &[u8]) {
        let Some(conn) = self.machines.get(uid).and_then(|m| m.conn) else { return };
        let mut out = Vec::new();
        let (line, call) = (format!("{method} sip:call@net SIP/2.0"), format!("{id:016x}"));
        sip::write(
            &mut out,
            format_args!("{line}"),
            call.as_bytes(),
            (1, method),
            format_args!("{further}"),
            body,
        );
        self.write(conn, &out);
    }

    fn tell(&mut self, id: u64, kind: u8, parameters: &[(u8, &[u8])]) {
        let Some(call) = self.calls.get(&id) else { return };
        let (caller, mut out) = (call.caller, Vec::new());
        binary::write(&mut out, kind, id, parameters);
        self.write(caller, &out);
    }

    fn set_up(&mut self, id: u64) {
        let Some(call) = self.calls.get(&id) else { return };
        let astray = self.fault == Fault::SendsTransitAstray;
        // Astray: fresh calls go by a tandem, and the tandem sends them to anybody but their destination.
        let fits = |m: &Machine| {
            m.serving && m.number != self.own && (m.number == call.destination) != astray && m.conn.is_some()
        };
        let up = |m: &Machine| m.conn.is_some_and(|c| self.conns.get(&c).is_some_and(|c| c.up));
        let newest = self.machines.iter().rev();
        let mut fitting = newest.filter(|(_, m)| fits(m) && up(m)).map(|(uid, _)| uid.clone());
        let (first, second) = (fitting.next(), fitting.next());
        let other = self.machines.iter().find(|(_, m)| m.number != call.destination && m.number != self.own);
        let other = other.map(|(uid, _)| uid.clone());
        let Some(uid) = first else { return self.refuse(id) };
        let get = |code| call.fields.iter().find(|f| f.0 == code).map(|f| f.1.clone()).unwrap_or_default();
        let (class, number, mut description) = (get(100), get(104), get(115));
        if self.fault == Fault::ChangesDescriptions {
            description[0] ^= 1;
        }
        let further =
            format!("X-Service: {}\r\nX-Setup-Ms: {}\r\n", String::from_utf8_lossy(&class), call.wait);
        let uri = format!("INVITE sip:{}@net SIP/2.0", String::from_utf8_lossy(&number));
        let call_id = format!("{id:016x}");
        let call = self.calls.get_mut(&id).expect("known");
        call.attempts += 1;
        call.at = Some(uid.clone());
        let mut to = vec![uid];
        to.extend(other.or(second).filter(|_| self.fault == Fault::TwoAttemptsOut));
        for uid in to {
            let Some(conn) = self.machines.get(&uid).and_then(|m| m.conn) else { continue };
            let mut out = Vec::new();
            sip::write(
                &mut out,
                format_args!("{uri}"),
                call_id.as_bytes(),
                (1, "INVITE"),
                format_args!("{further}"),
                &description,
            );
            if self.fault == Fault::WritesNoise {
                out = b"\xff\xfe nothing that can be read\r\n\r\n".to_vec();
            }
            self.write(conn, &out);
        }
    }

    fn refuse(&mut self, id: u64) {
        let Some(call) = self.calls.get_mut(&id).filter(|c| !c.answered) else { return };
        call.answered = true;
        call.at = None;
        if self.fault != Fault::AnswersNever {
            self.tell(id, binary::kind::RELEASE, &[(binary::param::CAUSE, &[42])]);
        }
        if self.fault == Fault::SendsAfterTheEnd {
            self.timers.insert((self.now + 50 * MS, id));
        }
    }

    fn caller_said(&mut self, conn: ConnId, message: binary::Message<'_>) {
        let id = message.call_id;
        match message.kind {
            binary::kind::SET_UP => {
                let get = |code| message.parameter(code).unwrap_or_default().to_vec();
                let figures = String::from_utf8(get(105)).expect("text");
                let destination = figures.split(';').find_map(|f| f.strip_prefix("dest:")?.parse().ok());
                let wait = String::from_utf8(get(101)).expect("text").parse().expect("a number");
                let call = Call {
                    caller: conn,
                    fields: [100, 104, 115].map(|code| (code, get(code))).to_vec(),
                    wait,
                    destination: destination.expect("a destination"),
                    attempts: 0,
                    at: None,
                    stands: false,
                    answered: false,
                };
                self.calls.insert(id, call);
                let soon = self.fault == Fault::WaitsForNoRelease;
                let patience = if soon { 40 } else { wait.saturating_sub(20) };
                self.timers.insert((self.now + patience * MS, id));
                self.set_up(id);
            }
            binary::kind::RELEASE => {
                let Some(call) = self.calls.remove(&id) else { return };
                if let Some(uid) = call.at {
                    self.say(&uid, if call.stands { "BYE" } else { "CANCEL" }, id, "", b"");
                }
            }
            _ => {}
        }
    }

    fn machine_said(&mut self, uid: &str, message: sip::Message<'_>) {
        let id = message.call_id().unwrap_or(0);
        match message.start_line {
            sip::StartLine::Request(b"BYE") => {
                self.say(uid, "ACK", id, "", b"");
                if self.fault != Fault::PassesNoRelease {
                    self.tell(id, binary::kind::RELEASE, &[(binary::param::CAUSE, &[16])]);
                }
                self.calls.remove(&id);
            }
            sip::StartLine::Response(code) if message.cseq().is_some_and(|s| s.1 == b"INVITE") => {
                let here = |c: &&mut Call| !c.answered && c.at.as_deref() == Some(uid);
                let Some(call) = self.calls.get_mut(&id).filter(here) else { return };
                if code == 200 {
                    (call.stands, call.answered) = (true, true);
                    let answer = [(binary::param::DESCRIPTION, message.body)];
                    match self.fault {
                        Fault::AnswersNever => {}
                        _ => self.tell(id, binary::kind::ANSWER, &answer),
                    }
                    if self.fault == Fault::AnswersTwice {
                        self.tell(id, binary::kind::ANSWER, &answer);
                    }
                } else if self.fault == Fault::AttemptsWithoutEnd && call.attempts < 9 {
                    self.set_up(id);
                } else {
                    self.refuse(id);
                }
            }
            _ => {}
        }
    }

    /// An attempt's time is up.
    fn due(&mut self, id: u64) {
        let sends_on = |c: &Call| !c.stands && c.attempts < 3;
        if self.fault == Fault::SendsAfterTheEnd && self.calls.get(&id).is_some_and(sends_on) {
            return self.set_up(id);
        }
        let Some(call) = self.calls.get_mut(&id).filter(|c| !c.answered) else { return };
        if let Some(uid) = call.at.take() {
            self.say(&uid, "CANCEL", id, "", b"");
        }
        if self.fault == Fault::WaitsForNoRelease && self.calls[&id].attempts < 3 {
            self.timers.insert((self.now + 500 * MS, id));
            return self.set_up(id);
        }
        self.refuse(id);
    }

    fn take_in(&mut self, conn: ConnId) {
        let Some(mut c) = self.conns.remove(&conn) else { return };
        let peer = c.peer.clone();
        let inbox = std::mem::take(&mut c.inbox);
        self.conns.insert(conn, c);
        let mut rest = inbox.unread();
        loop {
            let taken = match &peer {
                Peer::Caller => match binary::parse(rest) {
                    Ok(found) => found.map(|(m, taken)| {
                        self.caller_said(conn, m);
                        taken
                    }),
                    // A bad caller is closed.
                    Err(_) => return self.gone(conn),
                },
                Peer::Machine(uid) => sip::parse(rest).expect("readable").map(|(m, taken)| {
                    self.machine_said(uid, m);
                    taken
                }),
                Peer::Journal => http::parse(rest).expect("readable").map(|(m, taken)| {
                    self.news(&serde_json::from_slice(&m.body).expect("news"));
                    self.ask(conn);
                    taken
                }),
            };
            let Some(taken) = taken else { break };
            rest = &rest[taken..];
        }
        let left = rest.to_vec();
        if let Some(c) = self.conns.get_mut(&conn) {
            c.inbox.append(&left);
        }
    }

    fn gone(&mut self, conn: ConnId) {
        let Some(c) = self.conns.remove(&conn) else { return };
        self.outputs.push_back(Output::Close(conn));
        match c.peer {
            Peer::Machine(uid) => {
                self.machines.get_mut(&uid).expect("known").conn = None;
                let open = |c: &Call| c.at.as_deref() == Some(&uid) && !c.answered;
                let lost: Vec<u64> = self.calls.iter().filter(|(_, c)| open(c)).map(|(id, _)| *id).collect();
                lost.into_iter().for_each(|id| self.refuse(id));
                self.timers.insert((self.now + 250 * MS, 0));
            }
            Peer::Journal => {
                self.timers.insert((self.now + 250 * MS, 1));
            }
            Peer::Caller => {}
        }
    }
}

impl Controller for Naive {
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
        Some(self.add(Peer::Caller, true))
    }
    fn connected(&mut self, conn: ConnId) {
        self.conns.get_mut(&conn).expect("dialled").up = true;
        self.touched.insert(conn);
        if self.conns[&conn].peer == Peer::Journal {
            self.ask(conn);
        }
    }
    fn connect_failed(&mut self, conn: ConnId, _refused: bool) {
        self.gone(conn);
    }
    fn read_closed(&mut self, conn: ConnId) {
        self.gone(conn);
    }
    fn read_buffer(&mut self, conn: ConnId) -> Option<&mut [u8]> {
        Some(self.conns.get_mut(&conn)?.inbox.unfilled())
    }
    fn bytes_read(&mut self, conn: ConnId, count: usize) {
        self.conns.get_mut(&conn).expect("open").inbox.advance(count);
        self.take_in(conn);
    }
    fn handle_deadlines(&mut self) {
        while let Some((_, id)) = self.timers.pop_first_if(|t| t.0 <= self.now) {
            match id {
                0 => {
                    let again = self.machines.iter().filter(|(_, m)| m.serving && m.number != self.own);
                    let again: Vec<String> = again.map(|(uid, _)| uid.clone()).collect();
                    again.iter().for_each(|uid| self.connect(uid));
                }
                1 => drop(self.dial(self.journal, Peer::Journal)),
                id => self.due(id),
            }
        }
    }
    fn run_commands(&mut self) {}
    fn poll_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }
    fn poll_write(&mut self) -> Option<ConnId> {
        self.touched.pop_first()
    }
    fn pending_bytes(&self, conn: ConnId) -> &[u8] {
        self.conns.get(&conn).filter(|c| c.up).map_or(&[], |c| &c.out)
    }
    fn bytes_written(&mut self, conn: ConnId, count: usize) {
        self.conns.get_mut(&conn).expect("open").out.drain(..count);
    }
    fn flushed(&mut self, _conn: ConnId) -> Option<Interest> {
        Some(Interest { readable: true, writable: false })
    }
    fn is_turn_complete(&self) -> bool {
        self.outputs.is_empty() && self.touched.is_empty()
    }
    fn end_turn(&mut self) {}
    fn shut_down(&mut self) {}
}

/// `BTreeSet::pop_first` under a condition.
trait PopFirstIf<T> {
    fn pop_first_if(&mut self, fits: impl Fn(&T) -> bool) -> Option<T>;
}

impl<T: Ord + Copy> PopFirstIf<T> for BTreeSet<T> {
    fn pop_first_if(&mut self, fits: impl Fn(&T) -> bool) -> Option<T> {
        let first = *self.first()?;
        if !fits(&first) {
            return None;
        }
        self.remove(&first);
        Some(first)
    }
}
