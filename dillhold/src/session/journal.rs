//! Session of the connection to the journal service, which is long-polled for new events.

use std::net::SocketAddr;

use crate::codec::http;
use crate::directory::JournalAnswer;
use crate::session::{ReadBuffer, WriteBuffer};

/// How long the service may delay an answer. A longer delay would detect a silent connection later; this one
/// leaves time for one more poll before an update counts as known to the controller.
pub const LONG_POLL_MS: u64 = 2_000;

/// State of one connection.
#[derive(Debug, Default)]
pub struct JournalSession {
    /// Received bytes.
    pub read_buffer: ReadBuffer,
    /// Bytes to be written.
    pub write_buffer: WriteBuffer,
}

/// The service sent an error status or an invalid answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidAnswer;

impl JournalSession {
    /// Writes a poll for the events after a position.
    pub fn send_poll(&mut self, position: u64, host: SocketAddr) {
        let path = format!("/journal?tail={position}&max_wait={LONG_POLL_MS}");
        http::write_get(self.write_buffer.buffer(), &path, &host.to_string());
    }

    /// Processes the read buffer. Returns the answer once it is complete, and whether the connection can be
    /// reused.
    pub fn process_input(&mut self) -> Result<Option<(JournalAnswer, bool)>, InvalidAnswer> {
        let Some((response, consumed)) = http::parse(self.read_buffer.unread()).map_err(|_| InvalidAnswer)?
        else {
            return Ok(None);
        };
        if response.status != 200 {
            return Err(InvalidAnswer);
        }
        let answer = serde_json::from_slice(&response.body).map_err(|_| InvalidAnswer)?;
        let reusable = !response.closes_connection;
        self.read_buffer.consume(consumed);
        Ok(Some((answer, reusable)))
    }
}
