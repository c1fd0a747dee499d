//! Connections from callers: admission and eviction, timeouts, and the connection on which a release is sent.

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
/// How long a release waits for a connection with a confirmed caller. It must reach the caller within a second.
const CONFIRMED_CALLER_WAIT: Nanos = 400 * MS;

/// The number of other connections that a release is sent on if no confirmed caller appears.
const MAX_RELEASE_RECIPIENTS: usize = 16;

/// State of the connections from callers.
#[derive(Default)]
pub struct Callers {
    /// The number of connections.
    pub count: usize,
    /// Releases that wait for a connection.
    undelivered: Vec<UndeliveredRelease>,
}

struct UndeliveredRelease {
    since: Nanos,
    call_id: u64,
    cause: u8,
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
        self.deliver_releases(None);
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
                Some((caller.confirmed, if caller.confirmed { caller.last_message_at } else { 0 }, *conn_id))
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
        let conn_id = match notification {
            // A release is sent on the connection of the call's set-up, otherwise on any with a confirmed caller: one
            // that was sent an answer for a standing call. Clients that only send tests or nothing may ignore it.
            CallerNotification::Released(_) => {
                let confirmed = |conn_id: &u64| self.can_write_to_caller(*conn_id, true);
                own_conn
                    .filter(|conn_id| self.can_write_to_caller(*conn_id, false))
                    .or_else(|| self.conns.keys().rev().copied().find(confirmed))
            }
            _ => own_conn,
        };
        match (conn_id, notification) {
            (Some(conn_id), notification) => self.write_caller(conn_id, call_id, notification),
            (None, CallerNotification::Released(cause))
                if self.callers.undelivered.len() < self.bounds.max_standing_calls =>
            {
                self.callers.undelivered.push(UndeliveredRelease { since: self.now, call_id, cause: *cause });
                self.calls
                    .deadlines
                    .add(self.now + CONFIRMED_CALLER_WAIT, Deadline::Engine(EngineDeadline::DeliverReleases));
            }
            _ => self.calls.counters.increment("errors answers without a connection"),
        }
    }

    /// Whether a caller's connection can be written to; with `confirmed`, also whether its caller is confirmed.
    fn can_write_to_caller(&self, conn_id: ConnId, confirmed: bool) -> bool {
        let conn = self.conns.get(&conn_id).filter(|c| c.is_read() && !c.write_closed);
        conn.is_some_and(|c| matches!(&c.peer, Peer::Caller(caller) if caller.confirmed || !confirmed))
    }

    fn write_caller(&mut self, conn_id: ConnId, call_id: u64, notification: &CallerNotification) {
        let Some(Peer::Caller(caller)) = self.conns.get_mut(&conn_id).map(|c| &mut c.peer) else { return };
        let was_unconfirmed = !caller.confirmed;
        caller.send(self.now, call_id, notification);
        self.needs_flush.insert(conn_id);
        if was_unconfirmed && matches!(notification, CallerNotification::Answer(_)) {
            self.deliver_releases(Some(conn_id));
        }
    }

    /// Sends the waiting releases on the connection `confirmed`, which has a confirmed caller. Without one, sends those
    /// that have waited for [`CONFIRMED_CALLER_WAIT`] on several connections that may have one.
    pub(super) fn deliver_releases(&mut self, confirmed: Option<ConnId>) {
        if self.callers.undelivered.is_empty() {
            return;
        }
        let to = confirmed.map_or_else(|| self.possible_callers(), |conn_id| vec![conn_id]);
        if to.is_empty() {
            return;
        }
        let now = self.now;
        let keeps_waiting = |since: Nanos| confirmed.is_none() && now < since + CONFIRMED_CALLER_WAIT;
        let undelivered = std::mem::take(&mut self.callers.undelivered);
        for release in undelivered {
            if keeps_waiting(release.since) {
                self.callers.undelivered.push(release);
            } else {
                let UndeliveredRelease { call_id, cause, .. } = release;
                tracing::debug!(
                    call = format_args!("{call_id:016x}"),
                    cause,
                    ?to,
                    "release sent on other connections"
                );
                to.iter().for_each(|conn_id| {
                    self.write_caller(*conn_id, call_id, &CallerNotification::Released(cause))
                });
            }
        }
    }

    /// The newest connections that may have a caller. None of them is confirmed and other clients connect too, so a
    /// release is sent on several.
    fn possible_callers(&self) -> Vec<ConnId> {
        let eligible = |conn_id: &ConnId| match self.conns.get(conn_id).map(|c| &c.peer) {
            Some(Peer::Caller(caller)) => {
                self.can_write_to_caller(*conn_id, false) && caller.is_well_behaved()
            }
            _ => false,
        };
        self.conns.keys().rev().copied().filter(eligible).take(MAX_RELEASE_RECIPIENTS).collect()
    }
}
