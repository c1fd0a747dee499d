//! The connection to the journal service, which is asked for the next events again and again.

use std::net::SocketAddr;

use crate::codec::http;
use crate::directory::JournalAnswer;
use crate::session::{ReadBuffer, WriteBuffer};

/// How long the service may hold an answer back. A silent connection shows this much later at the most, which
/// leaves time to ask again before unheard events count as told.
pub const LONG_POLL_MS: u64 = 2_000;

/// The state of one connection.
#[derive(Debug, Default)]
pub struct JournalSession {
    /// What came.
    pub read_buffer: ReadBuffer,
    /// What is to be written.
    pub write_buffer: WriteBuffer,
}

/// An answer that cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadAnswer;

impl JournalSession {
    /// Asks for what comes after an event.
    pub fn send_poll(&mut self, after: u64, host: SocketAddr) {
        let path = format!("/journal?tail={after}&max_wait={LONG_POLL_MS}");
        http::write_get(self.write_buffer.buffer(), &path, &host.to_string());
    }

    /// Takes in what is in the read_buffer; tells the answer once it is whole, and whether the connection can
    /// be kept.
    pub fn process_input(&mut self) -> Result<Option<(JournalAnswer, bool)>, BadAnswer> {
        let Some((response, taken)) = http::parse(self.read_buffer.unread()).map_err(|_| BadAnswer)? else {
            return Ok(None);
        };
        if response.status != 200 {
            return Err(BadAnswer);
        }
        let answer = serde_json::from_slice(&response.body).map_err(|_| BadAnswer)?;
        let kept = !response.closes;
        self.read_buffer.consume(taken);
        Ok(Some((answer, kept)))
    }
}
