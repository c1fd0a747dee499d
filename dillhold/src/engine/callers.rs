//! Connections from callers: admission and eviction, timeouts, and notifications.

use pitchgw::interface::Nanos;

use super::close_reason::CloseReason;
use super::{ConnId, Engine, Peer};
use crate::call::{CallerConnId, CallerNotification, Deadline, EngineDeadline};
use crate::clock::MS;
use crate::session::caller::CallerSession;

/// A connection on which nothing was sent within this time is closed unless a set-up is open on it. A client that
/// sends nothing, or nothing that can be answered, must get an answer or a close within 3 s.
const UNANSWERED_TIMEOUT: Nanos = 2_500 * MS;
/// How long a caller's message may stay incomplete.
const INCOMPLETE_CALLER_MESSAGE_TIMEOUT: Nanos = 2_500 * MS;
/// A connection without open or standing calls is closed after this time. Callers close such connections after 4 s
/// themselves; without the timeout, those that never do would use up all file descriptors.
const IDLE_TIMEOUT: Nanos = 5_000 * MS;
/// Idle connections are not closed while there are at most this many: after a restart, one of them may be the only
/// way to send the release of a call that this process does not know.
const MIN_IDLE_CONNECTIONS: usize = 8;
/// Interval between checks of a connection.
const CALLER_CHECK_INTERVAL: Nanos = 500 * MS;
/// State of the connections from callers.
#[derive(Default)]
pub struct Callers {
    /// The number of connections.
    pub count: usize,
}

impl Engine {
    /// Admits a connection from a caller; `None` if there is no capacity for it.
    pub fn accepted(&mut self) -> Option<ConnId> {
        let full =
            self.callers.count >= self.bounds.max_callers || self.conns.len() >= self.bounds.max_connections;
        if full && !self.evict_caller() {
            self.calls.counters.increment("errors callers over the limit");
            return None;
        }
        let conn_id = self.add_conn(Peer::Caller(CallerSession::default()), false);
        self.callers.count += 1;
        self.calls.counters.increment("taken caller connections");
        self.calls
            .deadlines
            .add(self.now + UNANSWERED_TIMEOUT, Deadline::Engine(EngineDeadline::CallerCheck(conn_id)));
        self.needs_flush.insert(conn_id);
        Some(conn_id)
    }

    /// Closes the least useful connection that may be closed: the oldest without a confirmed caller, otherwise the
    /// longest quiet one. A connection with standing calls is kept: their releases would go to other callers.
    fn evict_caller(&mut self) -> bool {
        // Final answers of this turn are queued first: without them, a connection may look idle.
        self.run_commands();
        let can_close = |conn_id: &u64| self.may_close_caller(*conn_id) && !self.calls.has_calls(*conn_id);
        let callers = self.conns.iter().filter_map(|(conn_id, conn)| match &conn.peer {
            Peer::Caller(caller) => {
                let confirmed = caller.is_confirmed();
                Some((confirmed, if confirmed { caller.last_message_at } else { 0 }, *conn_id))
            }
            _ => None,
        });
        let least_useful = callers.filter(|(.., conn_id)| can_close(conn_id)).min();
        if let Some((.., conn_id)) = least_useful {
            self.close(conn_id, CloseReason::MakeRoom);
        }
        least_useful.is_some()
    }

    /// Checks a caller's connection and closes it on a timeout.
    pub(super) fn check_caller(&mut self, conn_id: ConnId) {
        // A notification queued in this turn counts as sent.
        self.run_commands();
        if !self.conns.contains_key(&conn_id) || self.close_finished_caller(conn_id) {
            return;
        }
        let reason = self.caller_timeout(conn_id);
        if reason.is_some_and(|reason| self.close_settled_caller(conn_id, reason)) {
            return;
        }
        self.calls
            .deadlines
            .add(self.now + CALLER_CHECK_INTERVAL, Deadline::Engine(EngineDeadline::CallerCheck(conn_id)));
    }

    /// The timeout that has passed on a caller's connection, if any.
    fn caller_timeout(&self, conn_id: ConnId) -> Option<CloseReason> {
        let conn = self.conns.get(&conn_id).filter(|conn| !conn.write_closed)?;
        let Peer::Caller(caller) = &conn.peer else { return None };
        let elapsed_since = |at: Nanos| self.now.saturating_sub(at);
        let incomplete = !caller.read_buffer.unread().is_empty()
            && elapsed_since(conn.last_read_at) >= INCOMPLETE_CALLER_MESSAGE_TIMEOUT;
        let quiet = elapsed_since(caller.last_message_at.max(conn.opened_at)) >= IDLE_TIMEOUT;
        let idle = quiet && !self.calls.has_calls(conn_id) && self.callers.count > MIN_IDLE_CONNECTIONS;
        match (incomplete, !caller.notified, idle) {
            (true, _, _) => Some(CloseReason::CallerMessageIncomplete),
            (_, true, _) => Some(CloseReason::CallerUnanswered),
            (_, _, true) => Some(CloseReason::CallerIdle),
            _ => None,
        }
    }

    pub(super) fn notify_caller(
        &mut self,
        conn: Option<CallerConnId>,
        call_id: u64,
        notification: &CallerNotification,
    ) {
        let own_conn = conn.filter(|conn_id| self.is_caller(*conn_id));
        let (recipient, release_cause) = match notification {
            CallerNotification::Released(cause) => (self.release_recipient(own_conn), Some(*cause)),
            _ => (own_conn, None),
        };
        if let Some(conn_id) = recipient {
            self.write_caller(conn_id, call_id, notification);
        } else if release_cause.is_some_and(|cause| self.queue_release(call_id, cause)) {
            return;
        } else {
            self.calls.counters.increment("errors answers without a connection");
        }
        if release_cause.is_some() && conn.is_none() {
            self.acknowledge_release(call_id);
        }
    }

    /// Whether a caller's connection can be written to, and its caller is still heard.
    pub(super) fn can_write_to_caller(&self, conn_id: ConnId) -> bool {
        let conn = self.conns.get(&conn_id);
        conn.is_some_and(|c| matches!(c.peer, Peer::Caller(_)) && c.is_read() && !c.write_closed)
    }

    pub(super) fn write_caller(&mut self, conn_id: ConnId, call_id: u64, notification: &CallerNotification) {
        let Some(Peer::Caller(caller)) = self.conns.get_mut(&conn_id).map(|c| &mut c.peer) else { return };
        let was_confirmed = caller.is_confirmed();
        caller.send(self.now, call_id, notification);
        let is_confirmed = caller.is_confirmed();
        self.needs_flush.insert(conn_id);
        if is_confirmed && !was_confirmed {
            self.deliver_releases_to(conn_id);
        }
    }
}
