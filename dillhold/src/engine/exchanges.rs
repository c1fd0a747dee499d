//! Connections to exchanges: connecting, reconnecting and sending, and detection of dead connections.

use std::collections::btree_map::Entry;
use std::net::SocketAddr;

use pitchgw::interface::{ExchangeId, ExchangeState, Nanos};

use super::close_reason::CloseReason;
use super::failure_detector::FailureDetector;
use super::{ConnId, Disconnect, Engine, Peer};
use crate::call::{AttemptProgress, Deadline, EngineDeadline, ExchangeRequest, MessageSource, ProcessTest};
use crate::clock::MS;
use crate::session::exchange::ExchangeSession;

/// Delay before reconnecting to an exchange that could not be reached.
const RECONNECT_DELAY: Nanos = 250 * MS;
/// The same for a machine that has left the list and may still hold calls that were released.
const GONE_RECONNECT_DELAY: Nanos = 1_000 * MS;
/// Refused connections in a row after which the exchange's process is known to have ended, and its calls with it. A
/// single refusal may come from a listener that is being restarted, and standing calls are worth waiting for.
const REFUSALS_UNTIL_ENDED: u32 = 3;

/// How long an exchange's message may stay incomplete. After that it never completes, and what follows it cannot be
/// parsed.
const INCOMPLETE_EXCHANGE_MESSAGE_TIMEOUT: Nanos = 500 * MS;

/// How long after a set-up the first reply of any kind may take. An exchange reports the state of its group at once,
/// even while its processor answers nothing, so a connection that stays silent is dead although it looks open. The
/// timeout doubles for each new connection that stays silent too, because then the exchange, not the connection, is
/// slow.
const REPLY_TIMEOUT: Nanos = 200 * MS;
const MAX_REPLY_TIMEOUT_DOUBLINGS: u32 = 4;

/// The link to an exchange. It outlives its connections.
pub struct ExchangeLink {
    pub session: ExchangeSession,
    pub(super) address: SocketAddr,
    pub(super) conn: Option<ConnId>,
    /// The connection that is used for a liveness check.
    pub(super) check_conn: Option<ConnId>,
    pub(super) detector: FailureDetector,
    /// Refused connections in a row, and when the last one was counted.
    refusals: u32,
    last_refusal_at: Nanos,
    /// When the connection was last established, and when input last came on one.
    connected_at: Nanos,
    pub(super) last_heard_at: Nanos,
    /// When the first test was sent on the connection after the last input.
    pub(super) tested_at: Option<Nanos>,
    /// Whether a reconnect is among the deadlines.
    reconnect_scheduled: bool,
    /// When the first set-up was sent after the last input.
    awaiting_reply_since: Option<Nanos>,
    /// Connections in a row that stayed silent after a set-up.
    silent_connections: u32,
}

impl ExchangeLink {
    /// Records that bytes were read.
    fn record_input(&mut self, now: Nanos) {
        self.awaiting_reply_since = None;
        self.silent_connections = 0;
        self.last_heard_at = now;
        self.tested_at = None;
        if self.session.has_requests {
            self.detector.record_input(now);
        } else {
            self.detector.record_unsolicited_input(now, self.connected_at);
        }
    }

    /// Counts a refused connection; returns true if the exchange's process has ended. Sending a set-up also connects,
    /// so refusals within [`RECONNECT_DELAY`] count once.
    pub(super) fn count_refusal(&mut self, now: Nanos) -> bool {
        if now >= self.last_refusal_at + RECONNECT_DELAY {
            self.refusals += 1;
            self.last_refusal_at = now;
        }
        self.refusals >= REFUSALS_UNTIL_ENDED
    }
}

impl Engine {
    /// Creates links for the listed exchanges. A machine keeps its address.
    pub(super) fn update_links(&mut self) {
        let home_exchange = self.calls.settings().module.home_exchange;
        let listed = self.calls.directory.machines().filter(|(_, m)| Some(m.number) != home_exchange);
        let listed: Vec<_> = listed.map(|(id, m)| (id, m.address, m.state)).collect();
        for (id, address, state) in listed {
            if state == ExchangeState::Gone {
                continue;
            }
            if let Entry::Vacant(entry) = self.links.entry(id) {
                let session = ExchangeSession::default();
                entry.insert(ExchangeLink {
                    session,
                    address,
                    conn: None,
                    check_conn: None,
                    detector: FailureDetector::new(self.now),
                    refusals: 0,
                    last_refusal_at: 0,
                    connected_at: 0,
                    last_heard_at: self.now,
                    tested_at: None,
                    reconnect_scheduled: false,
                    awaiting_reply_since: None,
                    silent_connections: 0,
                });
                self.connect_exchange(id);
                if self.calls.standing_calls_at(id) > 0 {
                    self.start_liveness_checks(id);
                }
            }
        }
    }

    pub(super) fn drop_link(&mut self, id: ExchangeId) {
        self.stop_check(id);
        if let Some(link) = self.links.remove(&id) {
            link.conn.and_then(|conn_id| self.remove_conn(conn_id));
            self.calls.exchange_disconnected(self.now, id, &[]);
        }
    }

    fn connect_exchange(&mut self, id: ExchangeId) {
        let Some(link) = self.links.get(&id).filter(|l| l.conn.is_none()) else { return };
        let opened = self.connect(link.address, Peer::Exchange(id));
        match (opened, self.links.get_mut(&id)) {
            (Some(conn_id), Some(link)) => link.conn = Some(conn_id),
            _ => self.exchange_disconnected(id, Disconnect::ConnectFailed { refused: false }),
        }
    }

    /// Handles an established connection to an exchange.
    pub(super) fn exchange_connected(&mut self, id: ExchangeId) {
        let conn = self.links.get(&id).and_then(|link| link.conn);
        tracing::info!(exchange = id, conn, "exchange connected");
        if let Some(link) = self.links.get_mut(&id) {
            link.refusals = 0;
            link.connected_at = self.now;
            link.last_heard_at = self.now;
            link.tested_at = None;
            link.detector.connected(self.now);
            if link.session.has_unsent_set_ups() {
                self.expect_reply(id);
            }
            self.schedule_call_comparison(id);
        }
        self.calls.counters.increment("sent exchange connections");
    }

    /// Processes input from an exchange. Returns false if it cannot be parsed.
    pub(super) fn process_exchange_input(&mut self, id: ExchangeId, conn_id: ConnId) -> bool {
        let Some(link) = self.links.get_mut(&id) else { return false };
        link.record_input(self.now);
        let incomplete_before = link.session.incomplete_since;
        let from = MessageSource { exchange: id, conn: conn_id };
        let readable = link.session.process_input(self.now, from, &mut self.calls).is_ok();
        if link.session.incomplete_since.is_some() && link.session.incomplete_since != incomplete_before {
            self.calls.deadlines.replace(
                self.now + INCOMPLETE_EXCHANGE_MESSAGE_TIMEOUT,
                Deadline::Engine(EngineDeadline::IncompleteMessage(id, conn_id)),
            );
        }
        readable
    }

    pub(super) fn reconnect_exchange(&mut self, id: ExchangeId) {
        if let Some(link) = self.links.get_mut(&id) {
            link.reconnect_scheduled = false;
            if self.needs_connection(id) {
                self.connect_exchange(id);
            }
        }
    }

    /// Whether a link is to be connected. That of a machine which is gone is for its calls and their releases only.
    fn needs_connection(&self, id: ExchangeId) -> bool {
        let has_releases = self.links.get(&id).is_some_and(|link| link.session.has_unacked_releases());
        !self.calls.directory.is_gone(id) || self.calls.standing_calls_at(id) > 0 || has_releases
    }

    /// Sends a test on a connection to an exchange.
    pub(super) fn send_process_test(&mut self, test: ProcessTest) {
        let session = match self.conns.get_mut(&test.conn).map(|conn| &mut conn.peer) {
            Some(Peer::Exchange(id)) => self.links.get_mut(id).map(|link| &mut link.session),
            Some(Peer::Check(check)) => Some(&mut check.session),
            Some(Peer::Caller(_) | Peer::Journal(_)) | None => None,
        };
        if let Some(session) = session {
            session.send_test(test.number);
            self.needs_flush.insert(test.conn);
        }
    }

    /// Closes the link of a machine that has left the list, unless it is still needed. Releases that the exchange has not
    /// acknowledged are left to a successor at its address.
    pub(super) fn remove_exchange(&mut self, id: ExchangeId) {
        let has_releases = self.links.get(&id).is_some_and(|link| link.session.has_unacked_releases());
        if !self.calls.can_remove_exchange(self.now, id, has_releases) {
            return;
        }
        let link = self.links.get_mut(&id);
        let releases = link.map(|link| link.session.take_unacked_releases()).unwrap_or_default();
        if let Some((successor, _)) = self.calls.directory.successor(id) {
            for (call_id, cause) in releases {
                self.request_exchange(successor, call_id, &ExchangeRequest::Release(cause));
            }
        }
        self.drop_link(id);
        self.calls.remove_exchange(id);
    }

    pub(super) fn exchange_disconnected(&mut self, id: ExchangeId, disconnect: Disconnect) {
        let Some(link) = self.links.get_mut(&id) else { return };
        let (connect_failed, refused) = (disconnect.is_connect_failure(), disconnect.is_refusal());
        let address = link.address;
        (link.conn, link.awaiting_reply_since) = (None, None);
        let unsent = link.session.connection_lost(self.now);
        let process_ended = refused && link.count_refusal(self.now);
        if !refused {
            link.refusals = 0;
        }
        if !link.reconnect_scheduled {
            // An established connection is replaced at once, as the exchange may have something to send. One that was
            // lost right after it was established is not, to avoid a tight reconnect loop.
            link.reconnect_scheduled = true;
            let is_prompt = !connect_failed && self.now >= link.connected_at + RECONNECT_DELAY;
            let delay = match is_prompt {
                true => 0,
                false if self.calls.directory.is_gone(id) => GONE_RECONNECT_DELAY,
                false => RECONNECT_DELAY,
            };
            self.calls.deadlines.add(self.now + delay, Deadline::Engine(EngineDeadline::Reconnect(id)));
        }
        self.calls.exchange_disconnected(self.now, id, &unsent);
        if process_ended {
            self.calls.end_calls_of_ended_processes(self.now, address);
            self.drop_releases_if_gone(id);
        }
    }

    /// Drops the releases for a machine that is gone: no process is at its address any more.
    fn drop_releases_if_gone(&mut self, id: ExchangeId) {
        if let Some(link) = self.links.get_mut(&id).filter(|_| self.calls.directory.is_gone(id)) {
            link.session.take_unacked_releases();
        }
    }

    /// Starts the reply timeout for a set-up sent on an established connection.
    fn expect_reply(&mut self, id: ExchangeId) {
        let Some(link) = self.links.get_mut(&id) else { return };
        if let (Some(conn_id), None) = (link.conn, link.awaiting_reply_since) {
            link.awaiting_reply_since = Some(self.now);
            let deadline = Deadline::Engine(EngineDeadline::ReplyTimeout(id, conn_id));
            self.calls.deadlines.replace(self.now + (REPLY_TIMEOUT << link.silent_connections), deadline);
        }
    }

    /// Withdraws the set-ups to an exchange that have not been sent. If none is pending there any more, no reply is due.
    pub(super) fn withdraw_set_ups(&mut self, id: ExchangeId) {
        let withdrawn = self.links.get_mut(&id).map(|l| l.session.withdraw_set_ups()).unwrap_or_default();
        for (call_id, attempt) in withdrawn {
            self.calls.attempt_lost(self.now, call_id, attempt, AttemptProgress::NeverSent);
        }
        if !self.calls.has_pending_attempts(id) {
            if let Some(link) = self.links.get_mut(&id) {
                link.awaiting_reply_since = None;
            }
        }
    }

    pub(super) fn handle_reply_timeout(&mut self, id: ExchangeId, conn_id: ConnId) {
        let Some(link) = self.links.get_mut(&id).filter(|l| l.conn == Some(conn_id)) else { return };
        if link
            .awaiting_reply_since
            .is_some_and(|since| self.now >= since + (REPLY_TIMEOUT << link.silent_connections))
        {
            link.silent_connections = (link.silent_connections + 1).min(MAX_REPLY_TIMEOUT_DOUBLINGS);
            self.close(conn_id, CloseReason::ExchangeSilent);
        }
    }

    pub(super) fn handle_incomplete_message(&mut self, id: ExchangeId, conn_id: ConnId) {
        let link = self.links.get(&id).filter(|l| l.conn == Some(conn_id));
        if link
            .and_then(|l| l.session.incomplete_since)
            .is_some_and(|since| self.now >= since + INCOMPLETE_EXCHANGE_MESSAGE_TIMEOUT)
        {
            self.close(conn_id, CloseReason::ExchangeMessageIncomplete);
        }
    }

    pub(super) fn request_exchange(&mut self, to: ExchangeId, call_id: u64, request: &ExchangeRequest) {
        let Some(link) = self.links.get_mut(&to) else {
            if let ExchangeRequest::SetUp { attempt, .. } = request {
                self.calls.attempt_lost(self.now, call_id, *attempt, AttemptProgress::NeverSent);
            }
            return;
        };
        let accepted = link.session.send(self.now, call_id, request);
        let conn = link.conn;
        if let (ExchangeRequest::SetUp { attempt, .. }, false) = (request, accepted) {
            self.calls.attempt_lost(self.now, call_id, *attempt, AttemptProgress::NeverSent);
        }
        match conn {
            Some(conn_id) => {
                self.needs_flush.insert(conn_id);
                if matches!(request, ExchangeRequest::SetUp { .. }) && self.is_connected(conn_id) {
                    self.expect_reply(to);
                }
            }
            None if !self.needs_connection(to) => {}
            None => self.connect_exchange(to),
        }
    }
}
