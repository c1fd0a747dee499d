//! Calls whose connection has ended while the journal is not heard.
//!
//! No connection owns a call that stands, and a process that lives on may close its connections. That its process has ended
//! is reported by the journal; while that is in contact, no report means that the calls stand. If its requests fail,
//! nothing is known, and the calls end before their callers would have to be told of the end of their process.

use pitchgw::interface::{ExchangeId, Nanos};

use super::failure_detector::DEAD_AFTER;
use super::{ConnId, Engine};
use crate::call::{Deadline, EngineDeadline};
use crate::clock::MS;

/// How old the end of a process may be that the journal has not reported at the last contact. Its calls end
/// [`DEAD_AFTER`] after that.
const MAX_REPORT_AGE: Nanos = 3_750 * MS;
/// Interval between reviews of the calls of a lost connection.
const REVIEW_INTERVAL: Nanos = 250 * MS;

impl Engine {
    /// Starts reviewing the calls that were answered on a connection which has ended.
    pub(super) fn connection_with_calls_ended(&mut self, exchange: ExchangeId, conn_id: ConnId) {
        // What came last on it was the last sign of life of its process, whoever has closed it.
        let last_heard_at = self.links.get(&exchange).map_or(self.now, |link| link.last_heard_at);
        let review_at = self.now.max(last_heard_at + DEAD_AFTER);
        self.schedule_lost_connection_review(conn_id, review_at);
    }

    fn schedule_lost_connection_review(&mut self, conn_id: ConnId, at: Nanos) {
        if self.calls.has_calls_answered_on(conn_id) {
            self.calls.deadlines.add(at, Deadline::Engine(EngineDeadline::ReviewLostConnection(conn_id)));
        }
    }

    /// Ends the calls that were answered on a connection which has ended, unless the journal would have reported the end of
    /// their process.
    pub(super) fn review_lost_connection(&mut self, conn_id: ConnId) {
        let journal = &self.journal_client;
        if journal.is_failing() && self.now >= journal.heard_at() + DEAD_AFTER - MAX_REPORT_AGE {
            return self.calls.end_calls_answered_on(self.now, conn_id);
        }
        self.schedule_lost_connection_review(conn_id, self.now + REVIEW_INTERVAL);
    }
}
