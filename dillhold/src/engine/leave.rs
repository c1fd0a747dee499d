//! Carries out the shutdown planned by [`super::shutdown`]: gives open set-ups their final answers, lets standing calls
//! end, and closes unused connections.

use pitchgw::interface::Nanos;

use super::close_reason::CloseReason;
use super::shutdown::Phase;
use super::{ConnId, Engine, Output, Peer};
use crate::call::{Deadline, EngineDeadline};
use crate::clock::MS;

/// While leaving, an unused connection is closed after this time without input, so that a set-up on its way is still
/// refused.
const QUIET_BEFORE_CLOSE: Nanos = 100 * MS;
/// Interval between checks for unused connections.
const CLOSE_CHECK_INTERVAL: Nanos = 50 * MS;

impl Engine {
    /// Handles the shutdown signal: keeps serving for a grace period, then stops accepting callers. The shutdown is
    /// complete when no set-up is open and no connection has a standing call, or shortly after the longest deadline.
    pub fn shut_down(&mut self) {
        let longest = self.calls.settings().module.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
        let Some(plan) = self.shutdown.signal_received(self.now, longest) else { return };
        tracing::info!(open = self.calls.open_set_ups(), ?plan, "shutdown signal received");
        self.calls.answer_all_by(plan.answer_by);
        self.calls.deadlines.add(plan.stop_listening, Deadline::Engine(EngineDeadline::StopListening));
        self.calls.deadlines.add(plan.leave, Deadline::Engine(EngineDeadline::ForcedExit));
    }

    /// Stops accepting callers once they have had time to learn of the shutdown.
    pub(super) fn stop_listening(&mut self) {
        if self.shutdown.phase() != Phase::GracePeriod {
            return;
        }
        tracing::info!(
            open = self.calls.open_set_ups(),
            callers = self.callers.count,
            "listener closed: leaving"
        );
        self.shutdown.listener_closed();
        self.calls.refuse_new_set_ups();
        self.outputs.push_back(Output::StopListening);
        self.close_unused_callers();
    }

    /// While leaving, closes unused connections from callers.
    pub(super) fn close_unused_callers(&mut self) {
        if self.shutdown.phase() != Phase::Leaving {
            return;
        }
        // Final answers of this turn are queued first: without them, a connection may look unused.
        self.run_commands();
        let unused: Vec<ConnId> =
            self.conns.keys().copied().filter(|conn_id| self.is_unused(*conn_id)).collect();
        for conn_id in unused {
            self.shut_down_write(conn_id, CloseReason::Leaving);
        }
        self.calls
            .deadlines
            .add(self.now + CLOSE_CHECK_INTERVAL, Deadline::Engine(EngineDeadline::CloseUnused));
    }

    fn is_unused(&self, conn_id: ConnId) -> bool {
        let Some(conn) = self.conns.get(&conn_id) else { return false };
        let Peer::Caller(caller) = &conn.peer else { return false };
        let quiet = self.now >= conn.last_read_at + QUIET_BEFORE_CLOSE;
        quiet
            && caller.read_buffer.unread().is_empty()
            && self.may_close_caller(conn_id)
            && !conn.write_closed
            && !self.calls.has_calls(conn_id)
    }

    /// Whether no set-up is open, no caller's connection is in use and nothing is left to write to callers.
    pub(super) fn can_finish_shutdown(&self) -> bool {
        let in_use = |conn: &super::Conn| matches!(conn.peer, Peer::Caller(_)) && !conn.write_closed;
        self.shutdown.phase() == Phase::Leaving
            && self.calls.open_set_ups() == 0
            && !self.conns.values().any(in_use)
            && self
                .conns
                .keys()
                .all(|conn_id| self.pending_bytes(*conn_id).is_empty() || !self.is_caller(*conn_id))
    }

    pub(super) fn finish_shutdown(&mut self) {
        if self.shutdown.set_stopped() {
            tracing::info!(
                open = self.calls.open_set_ups(),
                callers = self.callers.count,
                "shutdown complete"
            );
            self.calls.close_intervals(self.now, true);
            self.outputs.push_back(Output::Stop);
        }
    }
}
