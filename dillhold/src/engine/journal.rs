//! The client of the journal service: sends the requests that [`super::discovery`] schedules.

use std::net::SocketAddr;

use super::close_reason::CloseReason;
use super::discovery::{Failure, JournalPoll};
use super::{ConnId, Engine, Peer};
use crate::call::{Deadline, EngineDeadline};
use crate::directory;
use crate::session::journal::JournalSession;

/// The journal service and the connection to it.
pub struct JournalClient {
    poll: JournalPoll,
    conn: Option<ConnId>,
}

impl JournalClient {
    /// Creates a client that has sent no request yet.
    pub fn new(address: SocketAddr) -> JournalClient {
        JournalClient { poll: JournalPoll::new(address), conn: None }
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
        let overdue_at = self.journal_client.poll.request_sent(self.now);
        self.calls.deadlines.replace(overdue_at, Deadline::Engine(EngineDeadline::JournalTimeout(conn_id)));
    }

    pub(super) fn handle_journal_answer(&mut self, answer: directory::JournalAnswer, keep_connection: bool) {
        self.calls.counters.increment("taken journal answers");
        let has_events = !answer.entries.is_empty();
        let applied = self.calls.directory.apply(answer);
        let is_complete = applied.is_ok();
        if !is_complete {
            self.calls.counters.increment("errors journal events missing");
        }
        let update = applied.unwrap_or_else(|missing| missing.0);
        self.calls.apply_directory_update(self.now, update);
        if !keep_connection {
            let conn_id = self.journal_client.conn.take();
            conn_id.and_then(|conn_id| self.remove_conn(conn_id));
        }
        let delay = self.journal_client.poll.answer_received(self.now, has_events, is_complete);
        self.calls.deadlines.add(self.now + delay, Deadline::Engine(EngineDeadline::PollJournal));
    }

    /// Handles a journal connection that was lost or could not be established.
    pub(super) fn journal_disconnected(&mut self, connect_failed: bool) {
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

    /// Handles the timeout of a request. A connection that stays open and silent is closed, so that the events are
    /// requested again before they count as known.
    pub(super) fn handle_journal_timeout(&mut self, conn_id: ConnId) {
        if self.journal_client.poll.is_overdue(self.now) && self.journal_client.conn == Some(conn_id) {
            self.close(conn_id, CloseReason::JournalSilent);
        }
    }

    /// Requests the journal at another address at once, from the last event known.
    pub(super) fn change_journal_address(&mut self, address: SocketAddr) {
        if address == self.journal_client.poll.address() {
            return;
        }
        self.journal_client.conn.take().and_then(|conn_id| self.remove_conn(conn_id));
        self.journal_client.poll.set_address(address);
        self.poll_journal();
    }
}
