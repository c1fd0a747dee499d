//! Calls whose connection has ended while the journal is not heard.
//!
//! No connection owns a call that stands, and a process that lives on may close its connections. That its process has ended
//! is reported by the journal; while that is in contact, no report means that the calls stand. If its requests fail,
//! nothing is known, and the calls end before their callers would have to be told of the end of their process.

use pitchgw::interface::{ExchangeId, Nanos};

use super::failure_detector::DEAD_AFTER;
use super::{ConnId, Disconnect, Engine};
use crate::call::{Deadline, EngineDeadline};

impl Engine {
    /// Schedules the review of the calls that were answered on a connection which has ended.
    pub(super) fn connection_with_calls_ended(
        &mut self,
        exchange: ExchangeId,
        conn_id: ConnId,
        disconnect: Disconnect,
    ) {
        if !self.calls.has_calls_answered_on(conn_id) {
            return;
        }
        let review_at = self.last_sign_of_life(exchange, disconnect) + DEAD_AFTER;
        self.calls.deadlines.add(review_at, Deadline::Engine(EngineDeadline::ReviewLostConnection(conn_id)));
    }

    /// When the process behind a connection may have ended at the earliest. A connection that this process has closed may
    /// have been silent for a while.
    fn last_sign_of_life(&self, exchange: ExchangeId, disconnect: Disconnect) -> Nanos {
        let link = self.links.get(&exchange).filter(|_| disconnect == Disconnect::Closed);
        link.map_or(self.now, |link| link.last_heard_at)
    }

    /// Ends the calls that were answered on a connection which has ended, unless the journal would have reported the end of
    /// their process.
    pub(super) fn review_lost_connection(&mut self, conn_id: ConnId) {
        if self.journal_client.is_out_of_contact(self.now) {
            self.calls.end_calls_answered_on(self.now, conn_id);
        }
    }
}
