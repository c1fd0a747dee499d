//! The connection to the journal service: carries out what [`super::discovery`] decides.

use std::net::SocketAddr;

use super::close_reason::CloseReason;
use super::discovery::{Discovery, Failure};
use super::{ConnId, Engine, Peer};
use crate::call::{Deadline, EngineDeadline};
use crate::directory;
use crate::session::journal::JournalSession;

/// The journal service with the connection to it.
pub struct Feed {
    discovery: Discovery,
    conn: Option<ConnId>,
}

impl Feed {
    /// A service that was not asked yet.
    pub fn new(address: SocketAddr) -> Feed {
        Feed { discovery: Discovery::new(address), conn: None }
    }
}

impl Engine {
    pub(super) fn ask_journal(&mut self) {
        if self.feed.discovery.is_asking() {
            return;
        }
        let host = self.feed.discovery.address();
        if self.feed.conn.is_none() {
            self.feed.conn = self.dial(host, Peer::Journal(JournalSession::default()));
        }
        let after = self.calls.directory.position;
        let conn = self.feed.conn.and_then(|token| self.conns.get_mut(&token));
        let Some((token, Peer::Journal(journal))) = self.feed.conn.zip(conn.map(|c| &mut c.peer)) else {
            return self.call_failed(Failure::NotConnected);
        };
        journal.send_poll(after, host);
        self.touched.insert(token);
        let overdue_at = self.feed.discovery.asked(self.now);
        self.calls.deadlines.add(overdue_at, Deadline::Engine(EngineDeadline::JournalTimeout(token)));
    }

    pub(super) fn journal_answered(&mut self, answer: directory::JournalAnswer, kept: bool) {
        self.calls.counters.increment("taken journal answers");
        let has_news = !answer.entries.is_empty();
        let taken = self.calls.directory.apply(answer);
        let is_complete = taken.is_ok();
        if !is_complete {
            self.calls.counters.increment("errors journal events missing");
        }
        let news = taken.unwrap_or_else(|missing| missing.0);
        self.calls.apply_directory_update(self.now, news);
        if !kept {
            let token = self.feed.conn.take();
            token.and_then(|token| self.forget(token));
        }
        let pause = self.feed.discovery.answered(self.now, has_news, is_complete);
        self.calls.deadlines.add(self.now + pause, Deadline::Engine(EngineDeadline::PollJournal));
    }

    /// The connection to the journal is gone, or did not come up.
    pub(super) fn journal_lost(&mut self, connect_failed: bool) {
        self.feed.conn = None;
        let overdue = self.feed.discovery.is_overdue(self.now);
        self.call_failed(match (connect_failed, overdue) {
            (true, _) => Failure::NotConnected,
            (_, true) => Failure::Overdue,
            _ => Failure::BrokenOff,
        });
    }

    fn call_failed(&mut self, failure: Failure) {
        let pause = self.feed.discovery.failed(failure);
        self.calls.deadlines.add(self.now + pause, Deadline::Engine(EngineDeadline::PollJournal));
    }

    /// The journal must have answered by now. One that is silent and stays open is left: its events are asked
    /// for again before they count as told.
    pub(super) fn journal_due(&mut self, token: ConnId) {
        if self.feed.discovery.is_overdue(self.now) && self.feed.conn == Some(token) {
            self.close(token, CloseReason::JournalSilent);
        }
    }

    /// Goes on with the journal at another address at once, from the last event known.
    pub(super) fn move_journal(&mut self, address: SocketAddr) {
        if address == self.feed.discovery.address() {
            return;
        }
        self.feed.conn.take().and_then(|token| self.forget(token));
        self.feed.discovery.moved(address);
        self.ask_journal();
    }
}
