//! The client of the journal service: sends the requests that [`super::discovery`] schedules.
//!
//! The connection of a request whose answer has timed out is kept for a while beside the next one, for that answer only.

use std::net::SocketAddr;

use pitchgw::interface::Nanos;

use super::close_reason::CloseReason;
use super::discovery::{Failure, JournalPoll};
use super::{ConnId, Engine, Peer};
use crate::call::{Deadline, EngineDeadline};
use crate::clock::MS;
use crate::directory;
use crate::session::journal::JournalSession;

/// The journal service and the connection to it.
pub struct JournalClient {
    poll: JournalPoll,
    conn: Option<ConnId>,
    late_request: Option<LateRequest>,
    /// When the last answer came.
    heard_at: Nanos,
}

/// A request whose answer has timed out and may still come.
#[derive(Clone, Copy)]
struct LateRequest {
    conn: ConnId,
    requested_at: Nanos,
}

impl JournalClient {
    /// Creates a client that has sent no request yet.
    pub fn new(address: SocketAddr) -> JournalClient {
        JournalClient { poll: JournalPoll::new(address), conn: None, late_request: None, heard_at: 0 }
    }

    /// Whether no answer has come since a request failed, so that updates may be missing.
    pub fn is_failing(&self) -> bool {
        self.poll.is_failing()
    }

    /// When the last answer came.
    pub fn heard_at(&self) -> Nanos {
        self.heard_at
    }
}

impl Engine {
    pub(super) fn poll_journal(&mut self) {
        if self.journal_client.poll.is_awaiting_answer() {
            return;
        }
        let address = self.journal_client.poll.address();
        if self.journal_client.conn.is_none() {
            self.journal_client.conn = self.connect(address, Peer::Journal(JournalSession::default()));
        }
        let position = self.calls.directory.position;
        let conn = self.journal_client.conn.and_then(|conn_id| self.conns.get_mut(&conn_id));
        let Some((conn_id, Peer::Journal(journal))) = self.journal_client.conn.zip(conn.map(|c| &mut c.peer))
        else {
            return self.journal_request_failed(Failure::NotConnected);
        };
        journal.send_poll(position, address);
        self.needs_flush.insert(conn_id);
        let times_out_at = self.journal_client.poll.request_sent(self.now);
        self.schedule_journal_timeout(conn_id, times_out_at);
    }

    /// Applies an answer of the journal service, and schedules the next request after one that was awaited.
    pub(super) fn handle_journal_answer(
        &mut self,
        conn_id: ConnId,
        answer: directory::JournalAnswer,
        keep_connection: bool,
    ) {
        self.calls.counters.increment("taken journal answers");
        self.journal_client.heard_at = self.now;
        let has_events = !answer.entries.is_empty();
        let applied = self.calls.directory.apply(answer);
        let is_complete = applied.is_ok();
        if !is_complete {
            self.calls.counters.increment("errors journal events missing");
        }
        let update = applied.unwrap_or_else(|missing| missing.0);
        self.calls.apply_directory_update(self.now, update);
        if let Some(late) = self.journal_client.late_request.filter(|late| late.conn == conn_id) {
            return self.handle_late_answer(late, has_events);
        }
        if !keep_connection {
            let conn_id = self.journal_client.conn.take();
            conn_id.and_then(|conn_id| self.remove_conn(conn_id));
        }
        let delay = self.journal_client.poll.answer_received(self.now, has_events, is_complete);
        self.calls.deadlines.add(self.now + delay, Deadline::Engine(EngineDeadline::PollJournal));
    }

    /// Gives the outstanding request as long as the answer of an earlier one took.
    fn handle_late_answer(&mut self, late: LateRequest, has_events: bool) {
        let elapsed = self.now - late.requested_at;
        tracing::info!(elapsed_ms = elapsed / MS, "journal answer after its time-out: the service is slow");
        self.calls.counters.increment("taken journal answers late");
        self.drop_late_request();
        self.journal_client.poll.record_response_time(elapsed, has_events);
        if let Some((conn_id, (_, times_out_at))) =
            self.journal_client.conn.zip(self.journal_client.poll.outstanding())
        {
            self.schedule_journal_timeout(conn_id, times_out_at);
        }
    }

    fn schedule_journal_timeout(&mut self, conn_id: ConnId, at: Nanos) {
        self.calls.deadlines.replace(at, Deadline::Engine(EngineDeadline::JournalTimeout(conn_id)));
    }

    /// Closes the connection of a request whose answer had timed out, if there is one.
    fn drop_late_request(&mut self) {
        if let Some(late) = self.journal_client.late_request.take() {
            self.remove_conn(late.conn);
        }
    }

    /// Handles a journal connection that was lost or could not be established.
    pub(super) fn journal_disconnected(&mut self, conn_id: ConnId, connect_failed: bool) {
        if self.journal_client.late_request.is_some_and(|late| late.conn == conn_id) {
            self.journal_client.late_request = None;
            return;
        }
        self.journal_client.conn = None;
        let overdue = self.journal_client.poll.is_overdue(self.now);
        self.journal_request_failed(match (connect_failed, overdue) {
            (true, _) => Failure::NotConnected,
            (_, true) => Failure::Overdue,
            _ => Failure::BrokenOff,
        });
    }

    fn journal_request_failed(&mut self, failure: Failure) {
        let delay = self.journal_client.poll.request_failed(failure);
        self.calls.deadlines.add(self.now + delay, Deadline::Engine(EngineDeadline::PollJournal));
    }

    /// Handles the timeout of a request. It is repeated on another connection, so that the events are requested again
    /// before they count as known.
    pub(super) fn handle_journal_timeout(&mut self, conn_id: ConnId) {
        if self.journal_client.late_request.is_some_and(|late| late.conn == conn_id) {
            return self.drop_late_request();
        }
        let outstanding = self.journal_client.poll.outstanding().filter(|(_, at)| self.now >= *at);
        let Some((requested_at, _)) = outstanding.filter(|_| self.journal_client.conn == Some(conn_id))
        else {
            return;
        };
        if self.journal_client.late_request.is_some() {
            return self.close(conn_id, CloseReason::JournalSilent);
        }
        self.count_close(CloseReason::JournalSilent);
        self.journal_client.conn = None;
        self.journal_client.late_request = Some(LateRequest { conn: conn_id, requested_at });
        self.schedule_journal_timeout(conn_id, JournalPoll::late_answer_deadline(requested_at));
        self.journal_request_failed(Failure::Overdue);
    }

    /// Requests the journal at another address at once, from the last event known.
    pub(super) fn change_journal_address(&mut self, address: SocketAddr) {
        if address == self.journal_client.poll.address() {
            return;
        }
        self.journal_client.conn.take().and_then(|conn_id| self.remove_conn(conn_id));
        self.drop_late_request();
        self.journal_client.poll.set_address(address);
        self.poll_journal();
    }
}
