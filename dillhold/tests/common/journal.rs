//! A stand-in for the journal service, which answers when the test reports an event.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::Duration;

use dillhold::session::journal::LONG_POLL_MS;
use serde_json::{json, Value};

/// Position of the events in the configuration.
const KNOWN_POSITION: u64 = 1;
/// How long a request is held before it is answered without an event, as requested.
const MAX_WAIT: Duration = Duration::from_millis(LONG_POLL_MS);

/// The journal service.
pub struct JournalService {
    events: Sender<String>,
    position: u64,
}

impl JournalService {
    /// Serves the connections that are made to a listener, one after another.
    pub fn start(listener: TcpListener) -> JournalService {
        let (events, reported) = channel();
        std::thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                if serve(stream, &reported).is_none() {
                    return;
                }
            }
        });
        JournalService { events, position: KNOWN_POSITION }
    }

    /// Reports changes of the list.
    pub fn report(&mut self, targets: &[Value]) {
        self.report_event(false, targets);
    }

    /// Reports the complete list.
    pub fn report_complete_list(&mut self, targets: &[Value]) {
        self.report_event(true, targets);
    }

    fn report_event(&mut self, is_complete: bool, targets: &[Value]) {
        self.position += 1;
        let position = self.position;
        let hosts = json!({"rev": position, "all": is_complete, "targets": targets});
        let answer = json!({"pos": position, "entries": [{"pos": position, "hosts": hosts}]});
        self.events.send(answer.to_string()).unwrap();
    }
}

/// Answers the requests on a connection. Returns `None` when the test has ended.
fn serve(mut stream: TcpStream, reported: &Receiver<String>) -> Option<()> {
    use std::sync::mpsc::RecvTimeoutError;
    let (mut request, mut chunk) = (Vec::new(), [0; 512]);
    loop {
        while !request.ends_with(b"\r\n\r\n") {
            match stream.read(&mut chunk) {
                Ok(count) if count > 0 => request.extend_from_slice(&chunk[..count]),
                _ => return Some(()),
            }
        }
        request.clear();
        let body = match reported.recv_timeout(MAX_WAIT) {
            Ok(body) => body,
            Err(RecvTimeoutError::Timeout) => json!({"pos": KNOWN_POSITION, "entries": []}).to_string(),
            Err(RecvTimeoutError::Disconnected) => return None,
        };
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        if stream.write_all(format!("{head}{body}").as_bytes()).is_err() {
            return Some(());
        }
    }
}
