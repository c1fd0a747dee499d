//! Carries out the shutdown that [`super::shutdown`] plans: answers what is open, lets calls that stand come to their
//! ends, and closes connections on which nothing is left.

use pitchgw::interface::Nanos;

use super::close_reason::CloseReason;
use super::shutdown::Phase;
use super::{ConnId, Engine, Output, Peer};
use crate::call::{Deadline, EngineDeadline};
use crate::clock::MS;

/// While leaving, a connection is closed when nothing has come on it for so long and nothing is left on it. A set-up
/// that is on its way meanwhile is still refused.
const QUIET_BEFORE_CLOSE: Nanos = 100 * MS;
/// Time from one look at the connections to the next.
const LOOK: Nanos = 50 * MS;

impl Engine {
    /// The signal to end: goes on serving for a while, then takes no more callers and leaves once no set-up is open
    /// and no connection has a call that stands, at the latest some time after the longest deadline.
    pub fn shut_down(&mut self) {
        let longest = self.calls.settings().module.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
        let Some(plan) = self.shutdown.signalled(self.now, longest) else { return };
        tracing::info!(open = self.calls.open_set_ups(), ?plan, "told to end: draining");
        self.calls.answer_all_by(plan.answer_by);
        self.calls.deadlines.add(plan.stop_listening, Deadline::Engine(EngineDeadline::StopListening));
        self.calls.deadlines.add(plan.leave, Deadline::Engine(EngineDeadline::ForcedExit));
    }

    /// Callers have had their time to learn of the end: nobody is let in any more.
    pub(super) fn stop_listening(&mut self) {
        if self.shutdown.phase() != Phase::Draining {
            return;
        }
        tracing::info!(open = self.calls.open_set_ups(), callers = self.callers.count, "leaving");
        self.shutdown.listener_closed();
        self.calls.refuse_new_set_ups();
        self.outputs.push_back(Output::StopListening);
        self.close_unused();
    }

    /// While leaving: closes the connections from callers on which nothing is left.
    pub(super) fn close_unused(&mut self) {
        if self.shutdown.phase() != Phase::Leaving {
            return;
        }
        // What was decided in this turn is written first: a connection may look unused with its answer on the way.
        self.run_commands();
        let unused: Vec<ConnId> = self.conns.keys().copied().filter(|token| self.is_unused(*token)).collect();
        for token in unused {
            self.finish(token, CloseReason::Leaving);
        }
        self.calls.deadlines.add(self.now + LOOK, Deadline::Engine(EngineDeadline::CloseUnused));
    }

    fn is_unused(&self, token: ConnId) -> bool {
        let Some(conn) = self.conns.get(&token) else { return false };
        let Peer::Caller(caller) = &conn.peer else { return false };
        let quiet = self.now >= conn.read + QUIET_BEFORE_CLOSE;
        let whole = caller.read_buffer.unread().is_empty() && caller.write_buffer.pending().is_empty();
        quiet && whole && !conn.finishing && !self.calls.has_calls(token)
    }

    /// Whether the last connection on which something was left is gone.
    pub(super) fn has_left(&self) -> bool {
        let in_use = |conn: &super::Conn| matches!(conn.peer, Peer::Caller(_)) && !conn.finishing;
        self.shutdown.phase() == Phase::Leaving
            && self.calls.open_set_ups() == 0
            && !self.conns.values().any(in_use)
            && self.conns.keys().all(|token| self.pending_bytes(*token).is_empty() || !self.is_caller(*token))
    }

    pub(super) fn stop(&mut self) {
        if self.shutdown.stopped() {
            tracing::info!(open = self.calls.open_set_ups(), callers = self.callers.count, "left");
            self.calls.close_intervals(self.now, true);
            self.outputs.push_back(Output::Stop);
        }
    }
}
