//! Fixtures: the program, and its callers, exchanges and journal service on loopback sockets.
#![allow(dead_code)] // no test file uses every fixture

pub mod exchange;
pub mod harness;
pub mod journal;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use dillhold::codec::{binary, sip};
use dillhold::session::ReadBuffer;
use serde_json::{json, Value};

pub const DESCRIPTION: &[u8] = b"5f716a7cc1d37084\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0\r\n\xff\0";

/// The kinds of binary messages. Literal numbers, so that the tests also check those of the codec.
pub const SET_UP: u8 = 1;
pub const ANSWER: u8 = 9;
pub const RELEASE: u8 = 12;
pub const TEST: u8 = 52;
pub const TEST_RESPONSE: u8 = 53;

/// The parameters of binary messages, literal as well.
pub const PARAM_CLASS: u8 = 100;
pub const PARAM_TIMEOUT_MS: u8 = 101;
pub const PARAM_CALLED_NUMBER: u8 = 104;
pub const PARAM_ATTRIBUTES: u8 = 105;
pub const PARAM_CAUSE: u8 = 114;
pub const PARAM_DESCRIPTION: u8 = 115;

/// Only a failing test waits this long for a message; it allows for slow machines.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// A binary message: its kind, call id, cause (0 if it has none) and description.
pub type ReceivedMessage = (u8, u64, u8, Vec<u8>);

/// The test's end of a connection, with the input that is not parsed yet.
pub struct Connection {
    pub stream: TcpStream,
    read_buffer: ReadBuffer,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        stream.set_nodelay(true).unwrap();
        Connection { stream, read_buffer: ReadBuffer::default() }
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    /// Reads a message, for which `parse` returns its value and its length once it is complete.
    fn read_message<T>(&mut self, parse: impl Fn(&[u8]) -> Option<(T, usize)>) -> T {
        loop {
            if let Some((message, length)) = parse(self.read_buffer.unread()) {
                self.read_buffer.consume(length);
                return message;
            }
            let count = match self.stream.read(self.read_buffer.unfilled()) {
                // A signal to the test, for instance while the machine is paused, says nothing about the program.
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => continue,
                result => result.expect("a message before the timeout"),
            };
            assert!(count > 0, "connection closed instead of a message");
            self.read_buffer.advance(count);
        }
    }

    /// Reads a binary message, for so long at most.
    pub fn read_binary_within(&mut self, span: Duration) -> Result<ReceivedMessage, std::io::ErrorKind> {
        let until = std::time::Instant::now() + span;
        loop {
            if let Some((message, length)) = binary::parse(self.read_buffer.unread()).unwrap() {
                let description = message.parameter(binary::param::DESCRIPTION).unwrap_or_default().to_vec();
                let received = (message.kind, message.call_id, message.cause().unwrap_or(0), description);
                self.read_buffer.consume(length);
                return Ok(received);
            }
            let left = until.saturating_duration_since(std::time::Instant::now());
            self.stream.set_read_timeout(Some(left.max(Duration::from_millis(1)))).unwrap();
            let read = self.stream.read(self.read_buffer.unfilled());
            self.stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
            match read {
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e.kind()),
                Ok(count) => {
                    assert!(count > 0, "connection closed instead of a message");
                    self.read_buffer.advance(count);
                }
            }
        }
    }

    /// Reads a binary message.
    pub fn read_binary(&mut self) -> ReceivedMessage {
        self.read_message(|bytes| {
            let (m, length) = binary::parse(bytes).unwrap()?;
            let description = m.parameter(binary::param::DESCRIPTION).unwrap_or_default().to_vec();
            Some(((m.kind, m.call_id, m.cause().unwrap_or(0), description), length))
        })
    }

    /// Reads a SIP message that has to begin with `start`. Returns the call id, the `CSeq` number and the whole
    /// message. Tests before it are passed at once, as an exchange does.
    pub fn read_sip(&mut self, start: &str) -> (u64, u32, Vec<u8>) {
        let (id, number, text) = loop {
            let (id, number, text) = self.read_any_sip();
            if !text.starts_with(b"OPTIONS ") || start.starts_with("OPTIONS ") {
                break (id, number, text);
            }
            self.send_sip("SIP/2.0 200 OK", id, (number, "OPTIONS"), "", b"");
        };
        let printable = String::from_utf8_lossy(&text);
        assert!(printable.starts_with(start), "expected {start}, got {printable}");
        (id, number, text)
    }

    fn read_any_sip(&mut self) -> (u64, u32, Vec<u8>) {
        self.read_message(|bytes| {
            let (m, length) = sip::parse(bytes).unwrap()?;
            let number = m.cseq().expect("a CSeq").0;
            Some(((m.call_id().expect("a Call-ID"), number, bytes[..length].to_vec()), length))
        })
    }

    /// Sends a SIP request or response with this start line.
    pub fn send_sip(&mut self, line: &str, id: u64, cseq: (u32, &str), headers: &str, body: &[u8]) {
        let mut out = Vec::new();
        let call = format!("{id:016x}");
        sip::write(&mut out, format_args!("{line}"), call.as_bytes(), cseq, format_args!("{headers}"), body);
        self.send(&out);
    }

    pub fn send_binary(&mut self, kind: u8, id: u64, parameters: &[(u8, &[u8])]) {
        let mut out = Vec::new();
        binary::write(&mut out, kind, id, parameters);
        self.send(&out);
    }

    /// Sends a set-up for exchange 1 with a timeout of 3 s and exchange 2 as the advised tandem.
    pub fn send_set_up(&mut self, id: u64) {
        self.send_binary(
            SET_UP,
            id,
            &[
                (PARAM_CLASS, b"view"),
                (PARAM_TIMEOUT_MS, b"3000"),
                (PARAM_CALLED_NUMBER, b"7f3a9c21e0b4d655"),
                (PARAM_ATTRIBUTES, b"dest:1;width:1;via:2"),
                (PARAM_DESCRIPTION, DESCRIPTION),
            ],
        );
    }

    /// Waits until the peer has closed the connection.
    pub fn wait_for_close(&mut self) {
        let mut bytes = [0; 4096];
        while !matches!(self.stream.read(&mut bytes), Ok(0)) {
            // Input before the close is ignored; a reset counts as a close.
            if let Err(e) = self.stream.read(&mut bytes) {
                assert_eq!(
                    e.kind(),
                    std::io::ErrorKind::ConnectionReset,
                    "connection still open at the timeout"
                );
                return;
            }
        }
    }

    /// Checks that no message is pending: the next one is the response to a test status now.
    pub fn expect_nothing_else(&mut self) {
        self.send_binary(TEST, 99, &[(PARAM_CAUSE, &[0])]);
        assert_eq!(self.read_binary(), (TEST_RESPONSE, 99, 1, Vec::new()));
    }
}

/// The program under test; it is killed when dropped.
pub struct Program {
    pub child: Child,
    pub listen: SocketAddr,
    /// Its configuration, and the file that holds it.
    pub config: Value,
    pub path: PathBuf,
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.path);
    }
}

impl Program {
    pub fn connect_caller(&self) -> Connection {
        Connection::new(TcpStream::connect(self.listen).unwrap())
    }

    /// Reads the program's standard error until it contains `until`.
    pub fn read_stderr_until(&mut self, until: &str) -> String {
        let stderr = self.child.stderr.as_mut().unwrap();
        let mut printed = String::new();
        while !printed.contains(until) {
            let mut bytes = [0; 1024];
            let count = stderr.read(&mut bytes).unwrap();
            assert!(count > 0, "program exited: {printed}");
            printed.push_str(&String::from_utf8_lossy(&bytes[..count]));
        }
        printed
    }

    pub fn send_signal(&self, name: &str) {
        let status = Command::new("kill").args([name, &self.child.id().to_string()]).status().unwrap();
        assert!(status.success());
    }
}

pub fn bind_listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

pub fn accept(listener: &TcpListener) -> Connection {
    Connection::new(listener.accept().unwrap().0)
}

/// Makes further connections to a listener hang, as if its machine had vanished: its backlog takes one connection,
/// which is returned.
pub fn make_unreachable(listener: &TcpListener) -> TcpStream {
    rustix::net::listen(listener, 0).unwrap();
    TcpStream::connect(listener.local_addr().unwrap()).unwrap()
}

/// A target of a journal event.
pub fn journal_target(number: usize, uid: &str, address: SocketAddr, state: &str) -> Value {
    journal_target_started(number, uid, address, state, 0)
}

/// The same with the time at which the machine started, in Unix milliseconds.
pub fn journal_target_started(
    number: usize,
    uid: &str,
    address: SocketAddr,
    state: &str,
    boot_ms: u64,
) -> Value {
    json!({"uid": uid, "endpoint": address, "az": "east", "model": "std", "pod_group": number,
           "state": state, "capacity_hint": 1, "boot_ms": boot_ms})
}

/// The present time, in Unix milliseconds.
pub fn unix_now_ms() -> u64 {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn config_path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("dillhold-test-{}-{name}.json", std::process::id()))
}

pub fn spawn_program(config: &str, name: &str) -> Child {
    let path = config_path(name);
    std::fs::write(&path, config).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_dillhold"));
    command.env("EDGE_CONFIG", &path).stderr(Stdio::piped()).spawn().unwrap()
}

/// A configuration for exchange 0 whose initial journal lists these targets.
pub fn test_config(listen: SocketAddr, journal: SocketAddr, targets: &[Value]) -> Value {
    json!({
        "name": "n0", "listen": listen, "seed": "8c1f30d27a5be964", "journal": journal,
        "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 64},
        "known": {"pos": 1, "entries": [{"pos": 1, "hosts": {"rev": 1, "all": true, "targets": targets}}]},
        "settings": {
            "az": "east", "dcs": ["east"], "instances": 3, "my-number": 0, "tick": 5_000_000,
            "family-info": {"shape": "meshed", "home-no": 0, "release": 300_000_000, "resend": 500_000_000,
                            "circuits-by-class": [1], "mean-hold": [11_400_000_000u64]},
            "grades": [{"name": "view", "aim": 1_200_000_000, "deadline": 9_000_000_000u64, "worth": 1.0,
                        "late-worth": 0.25, "idempotency": "safe"}],
            "permissions": {"attempts-cap": 5, "cancel": true, "connect-timeout": 500_000_000},
            "report": {"fields": ["spare", "total"], "how": "probe"},
            "rules": {"answer-slack": 20_000_000, "cold": 15_000_000_000u64, "cold-from": 0.34,
                      "drain-grace": 500_000_000, "overload-factor": 2.0, "overload-for": 2_000_000_000}
        }
    })
}

/// Starts the program as exchange 0 with the other exchanges in its journal, and waits until it answers a test.
pub fn start_program(name: &str, journal: SocketAddr, others: &[&TcpListener]) -> Program {
    let listen = bind_listener().local_addr().unwrap();
    let targets = others.iter().enumerate().map(|(i, l)| {
        let number = i + 1;
        journal_target(number, &format!("s-{number}"), l.local_addr().unwrap(), "SERVING")
    });
    let targets: Vec<Value> =
        targets.chain([journal_target(0, "s-0", "127.0.0.1:1".parse().unwrap(), "SERVING")]).collect();
    let config = test_config(listen, journal, &targets);
    let child = spawn_program(&config.to_string(), name);
    let mut program = Program { child, listen, config, path: config_path(name) };
    let connections = std::iter::repeat_with(|| {
        std::thread::sleep(Duration::from_millis(5));
        assert!(program.child.try_wait().unwrap().is_none(), "program exited at the start");
        TcpStream::connect(listen)
    });
    let stream = connections.take(4000).find_map(Result::ok).expect("the program to listen");
    Connection::new(stream).expect_nothing_else();
    program
}
