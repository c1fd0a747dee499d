//! When a connection from callers may be closed, and which ones are closed when memory for buffers runs out.
//!
//! The rule is [`Engine::may_close_caller`]: this process closes a caller's connection only when no set-up is open on it
//! and nothing is left to write. Every close of a caller's connection that this process decides on passes through
//! this module. A caller that cannot be read any further is not closed at once either: it is not read any more
//! ([`Engine::stop_reading`]), its set-ups get their answers, and then it is closed.
//!
//! Two bounds remain for a caller that does not read what it is sent: its connection is closed with more than
//! [`MAX_UNSENT_BYTES`](super::MAX_UNSENT_BYTES) unsent, and bytes that its socket has not accepted for
//! [`WRITE_STALL_TIMEOUT`] do not keep it open.

use pitchgw::interface::Nanos;

use super::close_reason::CloseReason;
use super::{Conn, ConnId, Engine, Peer};
use crate::clock::MS;

/// Unsent bytes of which the socket accepted none for this time do not keep a connection open.
const WRITE_STALL_TIMEOUT: Nanos = 5_000 * MS;

/// How much is lost by closing a caller's connection when memory is short; the least is closed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ShedClass {
    /// Nothing: the connection may be closed.
    Settled,
    /// Answers that the caller does not read.
    NotReading,
    /// Set-ups are open on it. They are failed, which needs little memory, and its input is discarded.
    Open,
}

impl Conn {
    /// Whether the socket has accepted nothing of what is to be written for [`WRITE_STALL_TIMEOUT`].
    fn write_stalled(&self, now: Nanos) -> bool {
        self.unsent_since.is_some_and(|since| now >= since + WRITE_STALL_TIMEOUT)
    }
}

impl Engine {
    /// Whether a caller's connection may be closed: no set-up is open on it, and every answer is written, as far as the
    /// caller accepts them. Commands must have been carried out before, as one of them may be an answer.
    pub(super) fn may_close_caller(&self, conn_id: ConnId) -> bool {
        let written = self.pending_bytes(conn_id).is_empty()
            || self.conns.get(&conn_id).is_some_and(|conn| conn.write_stalled(self.now));
        written && !self.calls.has_open_set_ups(conn_id)
    }

    /// Closes a caller's connection if it may be closed; otherwise it is kept. Returns whether it was closed.
    pub(super) fn close_settled_caller(&mut self, conn_id: ConnId, reason: CloseReason) -> bool {
        self.run_commands();
        let may_close = self.may_close_caller(conn_id);
        if may_close {
            self.close_caller(conn_id, reason);
        }
        may_close
    }

    /// Stops reading a caller's connection, for the given reason. It is closed once it may be.
    pub(super) fn stop_reading(&mut self, conn_id: ConnId, reason: CloseReason) {
        let Some(conn) = self.conns.get_mut(&conn_id) else { return };
        let Peer::Caller(caller) = &mut conn.peer else { return };
        conn.reading_stopped = Some(reason);
        caller.discard_input();
        tracing::info!(conn = conn_id, ?reason, "caller is not read any more: closing once it is answered");
        self.needs_flush.insert(conn_id);
    }

    /// Closes a connection on which nothing can come any more, once it may be closed. Returns whether it was closed.
    pub(super) fn close_finished_caller(&mut self, conn_id: ConnId) -> bool {
        let Some(conn) = self.conns.get(&conn_id).filter(|conn| !conn.write_closed) else { return false };
        if conn.has_deferred_input() {
            return false;
        }
        match (conn.reading_stopped, conn.read_closed) {
            (Some(reason), _) => self.close_settled_caller(conn_id, reason),
            (None, true) => self.close_settled_caller(conn_id, CloseReason::Finished),
            (None, false) => false,
        }
    }

    /// Closes a caller's connection. After final answers on a connection with unread input only its writing side is
    /// closed at first, so that they arrive.
    fn close_caller(&mut self, conn_id: ConnId, reason: CloseReason) {
        let has_unread_answers = self.conns.get(&conn_id).is_some_and(|conn| {
            let notified = matches!(&conn.peer, Peer::Caller(caller) if caller.notified);
            notified && conn.reading_stopped.is_some() && !conn.write_stalled(self.now)
        });
        if has_unread_answers {
            self.shut_down_write(conn_id, reason);
        } else {
            self.close(conn_id, reason);
        }
    }

    /// Keeps the buffers of all connections within their bound: callers whose buffers exceed their share are closed, in
    /// the order of [`ShedClass`], and within a class the one whose message has been incomplete for longest.
    pub(super) fn shed_buffers(&mut self) {
        if self.buffer_bytes <= self.bounds.max_buffered_bytes {
            return;
        }
        self.run_commands();
        while self.buffer_bytes > self.bounds.max_buffered_bytes {
            let Some((class, conn_id)) = self.next_to_shed() else { return };
            if class == ShedClass::Open {
                self.calls.fail_open_set_ups(self.now, conn_id);
                self.stop_reading(conn_id, CloseReason::OutOfMemory);
                self.count_buffers(conn_id);
            } else {
                self.close(conn_id, CloseReason::OutOfMemory);
            }
        }
    }

    fn next_to_shed(&self) -> Option<(ShedClass, ConnId)> {
        let share = self.bounds.max_buffered_bytes / self.bounds.max_connections;
        let over_share = self.conns.iter().filter(|(_, conn)| conn.buffer_bytes > share);
        let candidates = over_share.filter_map(|(conn_id, conn)| {
            let Peer::Caller(caller) = &conn.peer else { return None };
            let class = if self.may_close_caller(*conn_id) {
                ShedClass::Settled
            } else if conn.unsent_since.is_some() {
                ShedClass::NotReading
            } else if conn.reading_stopped.is_none() {
                ShedClass::Open
            } else {
                return None;
            };
            Some((class, caller.incomplete_since.unwrap_or(Nanos::MAX), *conn_id))
        });
        candidates.min().map(|(class, _, conn_id)| (class, conn_id))
    }
}
