//! The engine without sockets, as a test drives it: turns, time, the bytes that it writes, and messages to it.
#![allow(dead_code)] // no test file uses every fixture

use std::collections::BTreeSet;

use dillhold::codec::{binary, sip};
use dillhold::directory::{read_config, read_settings};
use dillhold::engine::{ConnId, Engine, Interest, Output};
use pitchgw::interface::Nanos;

use super::{journal_target, test_config, DESCRIPTION};

pub const MS: Nanos = 1_000_000;

pub const START: Nanos = 1_796_136_000_000 * MS;

pub struct EngineHarness {
    pub engine: Engine,
    pub now: Nanos,
    pub outputs: Vec<Output>,
    /// The bytes written, by connection, in order.
    pub written: Vec<(ConnId, Vec<u8>)>,
    pub interest: Vec<(ConnId, Interest)>,
    /// Connections whose peer reads nothing.
    pub blocked: BTreeSet<ConnId>,
}

impl EngineHarness {
    /// Exchange 0 that knows exchanges 1 and 2 at the ports of their numbers, and the journal at port 9.
    pub fn new() -> EngineHarness {
        EngineHarness::with_limits(64, 32)
    }

    /// The same with other limits on file descriptors and memory.
    pub fn with_limits(sockets: usize, memory_mb: usize) -> EngineHarness {
        let at = |port: usize| format!("127.0.0.1:{port}").parse().unwrap();
        let targets = [1, 2].map(|n| journal_target(n, &format!("s-{n}"), at(n), "SERVING"));
        let mut config = test_config(at(5), at(9), &targets);
        config["limits"] = serde_json::json!({"sockets": sockets, "memory_mb": memory_mb});
        let config = read_config(&config.to_string()).unwrap();
        let settings = read_settings(&config).unwrap();
        let engine = Engine::new(START, config, settings).unwrap();
        let (outputs, written, interest) = (Vec::new(), Vec::new(), Vec::new());
        let blocked = BTreeSet::new();
        let mut harness = EngineHarness { engine, now: START, outputs, written, interest, blocked };
        harness.finish_turn();
        harness
    }

    pub fn finish_turn(&mut self) {
        loop {
            self.engine.run_commands();
            while let Some(output) = self.engine.poll_output() {
                self.outputs.push(output);
            }
            while let Some(conn) = self.engine.poll_write() {
                let mut bytes = self.engine.pending_bytes(conn).to_vec();
                bytes.truncate(if self.blocked.contains(&conn) { 0 } else { bytes.len() });
                self.engine.bytes_written(conn, bytes.len());
                if !bytes.is_empty() {
                    assert!(
                        !self.outputs.contains(&Output::ShutdownWrite(conn)),
                        "its writing side is closed"
                    );
                    self.written.push((conn, bytes));
                }
                self.interest.extend(self.engine.flushed(conn).map(|i| (conn, i)));
            }
            if self.engine.is_turn_complete() {
                break;
            }
        }
        self.engine.end_turn();
        while let Some(output) = self.engine.poll_output() {
            self.outputs.push(output);
        }
    }

    /// Advances the time, handling each deadline when it is due.
    pub fn advance(&mut self, span: Nanos) {
        let until = self.now + span;
        while let Some(due) = self.engine.next_deadline().filter(|due| *due <= until) {
            self.now = self.now.max(due);
            self.run_turn(|_| {});
        }
        self.now = until;
    }

    pub fn run_turn(&mut self, event: impl FnOnce(&mut Engine)) {
        self.engine.begin_turn(self.now);
        event(&mut self.engine);
        self.engine.handle_deadlines();
        self.finish_turn();
    }

    /// The newest connection opened to a port.
    pub fn last_connect_to(&self, port: u16) -> Option<ConnId> {
        let to = |o: &Output| match o {
            Output::Connect { conn, to } if to.port() == port => Some(*conn),
            _ => None,
        };
        self.outputs.iter().rev().find_map(to)
    }

    pub fn is_closed(&self, conn: ConnId) -> bool {
        self.outputs.contains(&Output::Close(conn))
    }

    pub fn establish(&mut self, port: u16) -> ConnId {
        let conn = self.last_connect_to(port).expect("a connection to the port");
        self.run_turn(|e| e.connected(conn));
        conn
    }

    pub fn accept_caller(&mut self) -> ConnId {
        let mut conn = None;
        self.run_turn(|e| conn = e.accepted());
        conn.expect("capacity for a caller")
    }

    pub fn receive(&mut self, conn: ConnId, bytes: &[u8]) {
        self.run_turn(|e| {
            for part in bytes.chunks(64) {
                let Some(buffer) = e.read_buffer(conn) else { return };
                buffer[..part.len()].copy_from_slice(part);
                e.bytes_read(conn, part.len());
            }
        });
    }

    pub fn receive_set_up(&mut self, caller: ConnId, id: u64) {
        self.receive(caller, &set_up_message(id, b"view"));
    }

    /// Takes what was written on a connection since the last call.
    pub fn take_written(&mut self, conn: ConnId) -> Vec<u8> {
        let written = self.written.iter().filter(|w| w.0 == conn).flat_map(|w| w.1.clone()).collect();
        self.written.retain(|w| w.0 != conn);
        written
    }
}

pub fn starts_with_text(bytes: &[u8], text: &str) -> bool {
    bytes.starts_with(text.as_bytes())
}

/// A set-up for exchange 1 with a timeout of 3 s.
pub fn set_up_message(id: u64, class: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    let parameters =
        [(100, class), (101, b"3000"), (104, b"77"), (105, b"dest:1;width:1;via:-1"), (115, DESCRIPTION)];
    binary::write(&mut out, binary::kind::SET_UP, id, &parameters);
    out
}

/// A set-up for exchange 1 with another timeout and description.
pub fn set_up_message_with(id: u64, timeout_ms: &str, description: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    let parameters = [
        (100, &b"view"[..]),
        (101, timeout_ms.as_bytes()),
        (104, b"77"),
        (105, b"dest:1;width:1;via:-1"),
        (115, description),
    ];
    binary::write(&mut out, binary::kind::SET_UP, id, &parameters);
    out
}

pub fn release_message(id: u64) -> Vec<u8> {
    let mut out = Vec::new();
    binary::write(&mut out, binary::kind::RELEASE, id, &[(114, &[16])]);
    out
}

pub fn bye_request(id: u64) -> Vec<u8> {
    format!("BYE sip:x@net SIP/2.0\r\nCall-ID: {id:016x}\r\nCSeq: 2 BYE\r\nl: 0\r\n\r\n").into_bytes()
}

pub fn bye_response(id: u64) -> Vec<u8> {
    format!("SIP/2.0 200 OK\r\nCall-ID: {id:016x}\r\nCSeq: 2147483647 BYE\r\nl: 0\r\n\r\n").into_bytes()
}

pub fn ok_response(id: u64) -> Vec<u8> {
    let mut out = Vec::new();
    let (line, call) = (format_args!("SIP/2.0 200 OK"), format!("{id:016x}"));
    sip::write(&mut out, line, call.as_bytes(), (1, "INVITE"), format_args!(""), DESCRIPTION);
    out
}

pub fn journal_answer(events: &str) -> Vec<u8> {
    let body = format!("{{\"pos\":1,\"entries\":[{events}]}}");
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// Takes the notifications that were sent to a caller since the last call: kinds, call ids and causes, in order.
pub fn take_notifications(harness: &mut EngineHarness, caller: ConnId) -> Vec<(u8, u64, Option<u8>)> {
    let bytes = harness.take_written(caller);
    let (mut rest, mut notifications) = (&bytes[..], Vec::new());
    while let Some((message, length)) = binary::parse(rest).unwrap() {
        notifications.push((message.kind, message.call_id, message.cause()));
        rest = &rest[length..];
    }
    notifications
}

/// Sets up a call that stands at an exchange.
pub fn establish_call(harness: &mut EngineHarness, caller: ConnId, exchange: ConnId, id: u64) {
    harness.receive_set_up(caller, id);
    harness.receive(exchange, &ok_response(id));
    assert_eq!(take_notifications(harness, caller), [(binary::kind::ANSWER, id, None)]);
}

pub fn group_report(free: u32) -> Vec<u8> {
    let text = format!(
        "NOTIFY sip:group@net SIP/2.0\r\nCall-ID: 0\r\nCSeq: 1 NOTIFY\r\nX-Group: spare:{free};total:9\r\n"
    );
    [text.as_bytes(), b"Content-Length: 0\r\n\r\n"].concat()
}

pub fn table_size(harness: &EngineHarness, table: &str) -> usize {
    let sizes = harness.engine.table_sizes().0;
    sizes.iter().find(|(name, _)| *name == table).expect("the size of the table").1
}

/// Half of a set-up of nearly the greatest size.
pub fn half_message() -> Vec<u8> {
    set_up_message_with(1 << 40, "3000", &[b'x'; 16_000])[..8_300].to_vec()
}
