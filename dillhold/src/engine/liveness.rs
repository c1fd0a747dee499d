//! Liveness checks of exchanges with standing calls: checks silent exchanges, and ends the calls of those that have
//! vanished or that lost their calls while they were unreachable.

use pitchgw::interface::{ExchangeId, Nanos};

use super::close_reason::CloseReason;
use super::failure_detector::{Liveness, LIVENESS_CHECK_INTERVAL, LIVENESS_CHECK_TIMEOUT};
use super::{ConnId, Engine, Peer};
use crate::call::{Deadline, EngineDeadline, MessageSource, TestNumber};
use crate::clock::MS;
use crate::session::exchange::ExchangeSession;

/// Delay from an exchange's first report of its group state until calls are compared with it. Meanwhile the exchange
/// sends the releases of calls that ended while it was unreachable.
const COMPARE_DELAY: Nanos = 600 * MS;
/// Delay until the comparison is exact: at a busy exchange releases are queued, and are sent after the circuits that
/// they free. Until then up to twice the reported circuits are accepted.
const EXACT_COMPARE_DELAY: Nanos = 3_000 * MS;
/// The greatest age of a reported group state: calls younger than this need not be included in it.
const GROUP_STATE_MAX_AGE: Nanos = 1_000 * MS;
/// An exchange that has not reported its group state within this time after it became reachable will not do so.
const GROUP_STATE_TIMEOUT: Nanos = 2_000 * MS;

/// A connection without input for this long while calls stand is replaced even if the exchange is alive: the
/// connection may be dead, and what the exchange sends on it is lost. It is sent again on the next connection;
/// callers have to be notified within 8 s.
const QUIET_CONNECTION_TIMEOUT: Nanos = 5_000 * MS;

/// How long the test on a quiet connection may go unanswered while attempts are pending there.
const TEST_TIMEOUT: Nanos = 1_000 * MS;
/// The number of a test that shows whether a connection still works, and nothing else.
const LIVENESS_TEST: TestNumber = 0;

/// A connection that is only used to check whether an exchange is alive. No set-up is sent on it; its input is
/// processed like that of any other connection.
pub struct LivenessCheck {
    pub exchange: ExchangeId,
    pub session: ExchangeSession,
    connected_at: Nanos,
}

impl Engine {
    /// Starts watching an exchange, for as long as calls stand on it.
    pub(super) fn start_liveness_checks(&mut self, id: ExchangeId) {
        let Some(link) = self.links.get_mut(&id) else { return };
        if !std::mem::replace(&mut link.detector.check_scheduled, true) {
            // A call was just answered, over this link or over another one to the same address.
            link.detector.record_input(self.now);
            self.check_liveness(id);
        }
    }

    /// Checks an exchange on which calls stand, or stood at the previous check.
    pub(super) fn check_liveness(&mut self, id: ExchangeId) {
        let standing = self.calls.standing_calls_at(id);
        let Some(link) = self.links.get_mut(&id) else { return };
        if standing == 0 {
            link.detector.check_scheduled = false;
            return self.stop_check(id);
        }
        let replace_at = link.last_heard_at + QUIET_CONNECTION_TIMEOUT;
        match link.detector.liveness(self.now) {
            Liveness::Alive(next_check_at) => {
                self.replace_quiet_connection(id);
                self.schedule_liveness_check(
                    id,
                    next_check_at.min(replace_at).max(self.now + LIVENESS_CHECK_INTERVAL),
                );
            }
            Liveness::Suspect(next_check_at) => {
                self.test_quiet_connection(id);
                self.start_check(id);
                self.schedule_liveness_check(id, next_check_at);
            }
            Liveness::Dead => {
                link.detector.check_scheduled = false;
                self.declare_vanished(id);
            }
        }
    }

    fn schedule_liveness_check(&mut self, id: ExchangeId, at: Nanos) {
        self.calls.deadlines.add(at, Deadline::Engine(EngineDeadline::LivenessCheck(id)));
    }

    /// Opens a connection to check an exchange, unless one is being opened or the link itself is connecting.
    fn start_check(&mut self, id: ExchangeId) {
        let Some(link) = self.links.get(&id) else { return };
        let (address, conn, check_conn) = (link.address, link.conn, link.check_conn);
        if !conn.is_some_and(|conn| self.is_connected(conn))
            || check_conn.is_some_and(|conn| !self.is_connected(conn))
        {
            return;
        }
        // An exchange repeats unsent messages on its next connection, so the old one is closed first.
        self.stop_check(id);
        let check = LivenessCheck { exchange: id, session: ExchangeSession::default(), connected_at: 0 };
        let conn = self.connect_within(address, Peer::Check(check), LIVENESS_CHECK_TIMEOUT);
        tracing::debug!(exchange = id, conn, "exchange is silent: liveness check started");
        if let Some(link) = self.links.get_mut(&id) {
            link.check_conn = conn;
        }
    }

    /// Closes the liveness check connection of an exchange, if there is one.
    pub(super) fn stop_check(&mut self, id: ExchangeId) {
        let check_conn = self.links.get_mut(&id).and_then(|link| link.check_conn.take());
        if let Some(conn) = check_conn {
            self.remove_conn(conn);
        }
    }

    /// Handles an established liveness check connection.
    pub(super) fn check_connected(&mut self, conn_id: ConnId) {
        let now = self.now;
        let Some(Peer::Check(check)) = self.conns.get_mut(&conn_id).map(|c| &mut c.peer) else {
            return;
        };
        check.connected_at = now;
        let id = check.exchange;
        if let Some(link) = self.links.get_mut(&id) {
            link.detector.connected(now);
        }
        self.schedule_call_comparison(id);
    }

    /// Processes input on a liveness check connection. Returns false if it cannot be parsed.
    pub(super) fn process_check_input(&mut self, conn_id: ConnId) -> bool {
        let Some(Peer::Check(check)) = self.conns.get_mut(&conn_id).map(|c| &mut c.peer) else {
            return true;
        };
        let id = check.exchange;
        if let Some(link) = self.links.get_mut(&id) {
            link.detector.record_unsolicited_input(self.now, check.connected_at);
        }
        let from = MessageSource { exchange: id, conn: conn_id };
        check.session.process_input(self.now, from, &mut self.calls).is_ok()
    }

    /// Sends a test on the connection of a silent exchange, once for each silence: a check shows that some process is alive
    /// at the address, but not that the connection still reaches it.
    fn test_quiet_connection(&mut self, id: ExchangeId) {
        let untested = self.links.get(&id).filter(|link| link.tested_at.is_none());
        let conn = untested.and_then(|link| link.conn).filter(|conn| self.is_connected(*conn));
        if let (Some(conn_id), Some(link)) = (conn, self.links.get_mut(&id)) {
            link.tested_at = Some(self.now);
            link.session.send_test(LIVENESS_TEST);
            self.needs_flush.insert(conn_id);
        }
    }

    /// Replaces a connection without recent input to an exchange that is alive. While attempts are pending, only if a test
    /// on it goes unanswered, and not if the exchange sends no greeting: such an exchange may be idle, and its checks go on
    /// for as long as it is.
    fn replace_quiet_connection(&mut self, id: ExchangeId) {
        let Some(link) = self.links.get(&id) else { return };
        let Some(conn) = link.conn.filter(|conn| self.is_connected(*conn)) else { return };
        let quiet =
            link.detector.sends_greeting() && self.now >= link.last_heard_at + QUIET_CONNECTION_TIMEOUT;
        let is_unanswered = link.tested_at.is_some_and(|at| self.now >= at + TEST_TIMEOUT);
        if quiet && (is_unanswered || !self.calls.has_pending_attempts(id)) {
            self.close(conn, CloseReason::ExchangeQuiet);
        }
    }

    /// Handles a liveness check connection that was lost or could not be established.
    pub(super) fn check_disconnected(&mut self, id: ExchangeId, refused: bool) {
        tracing::debug!(exchange = id, refused, "liveness check connection lost");
        let now = self.now;
        let Some(link) = self.links.get_mut(&id) else { return };
        link.check_conn = None;
        if !refused {
            return;
        }
        // A process that dies resets its connections: as long as the link has one, nothing has ended. A request shows.
        match link.conn.filter(|conn_id| self.conns.get(conn_id).is_some_and(|conn| !conn.connecting)) {
            Some(conn_id) => {
                link.session.send_test(LIVENESS_TEST);
                self.needs_flush.insert(conn_id);
            }
            None if link.count_refusal(now) => {
                let address = link.address;
                self.calls.end_calls_of_ended_processes(now, address);
            }
            None => {}
        }
    }

    /// Ends the calls of an exchange that has been silent for too long.
    fn declare_vanished(&mut self, id: ExchangeId) {
        let Some(link) = self.links.get(&id) else { return };
        let (conn, silent) = (link.conn, link.detector.silent_for(self.now));
        tracing::warn!(exchange = id, silent_ms = silent / MS, "exchange vanished: its calls are released");
        self.calls.counters.increment("errors exchanges vanished");
        self.calls.end_calls_of_exchange(self.now, id);
        self.stop_check(id);
        if let Some(conn) = conn {
            self.close(conn, CloseReason::ExchangeVanished);
        }
    }

    /// Schedules a comparison after an exchange became reachable again. Its calls may still stand, or it may have
    /// restarted without them; the number of circuits that it reports as in use tells which.
    pub(super) fn schedule_call_comparison(&mut self, id: ExchangeId) {
        self.calls.clear_group_state(id);
        if self.calls.standing_calls_at(id) > 0 {
            let deadline = EngineDeadline::CompareCircuits { exchange: id, since: self.now };
            self.calls.deadlines.add(self.now + COMPARE_DELAY, Deadline::Engine(deadline));
        }
    }

    /// Compares the calls at the address of an exchange with the circuits that it has reported, or will report.
    pub(super) fn compare_earlier_calls(&mut self, id: ExchangeId) {
        let since = self.calls.group_state(id).map_or(self.now, |group| group.received_at);
        self.compare_calls_with_circuits(id, since);
    }

    /// If the calls that stood before an exchange became reachable again need more circuits than its first report shows
    /// in use, the exchange has lost them, and they end.
    pub(super) fn compare_calls_with_circuits(&mut self, id: ExchangeId, since: Nanos) {
        if !self.links.contains_key(&id) {
            return;
        }
        let deadline = Deadline::Engine(EngineDeadline::CompareCircuits { exchange: id, since });
        let Some(group) = self.calls.group_state(id) else {
            if self.now < since + GROUP_STATE_TIMEOUT {
                self.calls.deadlines.add(self.now + COMPARE_DELAY, deadline);
            }
            return;
        };
        if self.now < group.received_at + COMPARE_DELAY {
            return self.calls.deadlines.add(group.received_at + COMPARE_DELAY, deadline);
        }
        let counted_before = since.saturating_sub(GROUP_STATE_MAX_AGE);
        let standing = f64::from(self.calls.circuits_of_standing_calls(id, counted_before));
        let exact = self.now >= group.received_at + EXACT_COMPARE_DELAY;
        if !exact && group.in_use < standing {
            self.calls.deadlines.add(group.received_at + EXACT_COMPARE_DELAY, deadline);
        }
        let accounted_for = if exact { group.in_use } else { 2.0 * group.in_use };
        if accounted_for < standing {
            tracing::warn!(exchange = id, standing, in_use = group.in_use, "exchange lost its calls");
            self.calls.counters.increment("errors exchanges without their calls");
            self.calls.end_calls_from_before(self.now, id, since);
        }
    }
}
