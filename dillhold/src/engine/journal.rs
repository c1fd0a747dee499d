//! The journal service: one question is out at a time, on one connection.

use std::net::SocketAddr;

use pitchgw::interface::Nanos;

use super::close_reason::CloseReason;
use super::{ConnId, Engine, Peer};
use crate::call::{Due, LinkDue};
use crate::clock::MS;
use crate::directory;
use crate::session::journal::{Journal, HOLD_MS};

/// Pause before the journal is asked again after a bad answer or a lost connection. What it would have told
/// counts as told 2 s after a break.
const ASK_AGAIN: Nanos = 200 * MS;
/// An answer is overdue so long after the service should have given it at the latest. What a silent service would have
/// told counts as told 2 s after the end of the wait that was asked for; 0.6 s are left to ask again. Given up sooner,
/// a service that is only slow would be asked more often, and answer no call.
const OVERDUE: Nanos = 1_400 * MS;

/// What is known of the journal service.
pub struct Feed {
    address: SocketAddr,
    conn: Option<ConnId>,
    /// When it was last asked, and whether its answer is still to come.
    asked: Nanos,
    asking: bool,
}

impl Feed {
    /// A service that was not asked yet.
    pub fn new(address: SocketAddr) -> Feed {
        Feed { address, conn: None, asked: 0, asking: false }
    }
}

impl Engine {
    pub(super) fn ask_journal(&mut self) {
        if self.feed.asking {
            return; // a second question would never be caught up with
        }
        if self.feed.conn.is_none() {
            self.feed.conn = self.dial(self.feed.address, Peer::Journal(Journal::default()));
        }
        let (after, host, now) = (self.calls.directory.position, self.feed.address, self.now);
        let conn = self.feed.conn.and_then(|token| self.conns.get_mut(&token));
        let Some((token, Peer::Journal(journal))) = self.feed.conn.zip(conn.map(|c| &mut c.peer)) else {
            return self.calls.deadlines.add(now + ASK_AGAIN, Due::Link(LinkDue::Ask));
        };
        journal.ask(after, host);
        self.touched.insert(token);
        (self.feed.asked, self.feed.asking) = (now, true);
        let until = now + HOLD_MS * MS + OVERDUE;
        self.calls.deadlines.add(until, Due::Link(LinkDue::Journal(token)));
    }

    pub(super) fn journal_answered(&mut self, answer: directory::Answer, kept: bool) {
        self.calls.counters.up("taken journal answers");
        self.feed.asking = false;
        // An answer with nothing in it comes after the time asked for. One that comes sooner is not asked for
        // again at once, or the two would keep each other busy.
        let mut hasty = answer.entries.is_empty() && self.now < self.feed.asked + HOLD_MS * MS / 2;
        let news = self.calls.directory.take(answer).unwrap_or_else(|missing| {
            self.calls.counters.up("errors journal events missing");
            hasty = true;
            missing.0
        });
        self.calls.news(self.now, news);
        if !kept {
            let token = self.feed.conn.take();
            token.and_then(|token| self.forget(token));
        }
        let pause = if hasty { ASK_AGAIN } else { 0 };
        self.calls.deadlines.add(self.now + pause, Due::Link(LinkDue::Ask));
    }

    /// The connection to the journal is gone.
    pub(super) fn journal_lost(&mut self) {
        (self.feed.conn, self.feed.asking) = (None, false);
        self.calls.deadlines.add(self.now + ASK_AGAIN, Due::Link(LinkDue::Ask));
    }

    /// The journal must have answered by now. One that is silent and stays open is left: its events are asked
    /// for again before they count as told.
    pub(super) fn journal_due(&mut self, token: ConnId) {
        let overdue = self.feed.asking && self.now >= self.feed.asked + HOLD_MS * MS + OVERDUE;
        if overdue && self.feed.conn == Some(token) {
            self.close(token, CloseReason::JournalSilent);
        }
    }

    /// Goes on with the journal at another address at once, from the last event known.
    pub(super) fn move_journal(&mut self, address: SocketAddr) {
        if address == self.feed.address {
            return;
        }
        self.feed.conn.take().and_then(|token| self.forget(token));
        (self.feed.address, self.feed.asking) = (address, false);
        self.ask_journal();
    }
}
