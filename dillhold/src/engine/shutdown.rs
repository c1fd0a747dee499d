//! The phases and deadlines of a shutdown.
//!
//! SIGKILL may come as early as 0.7 s plus the longest deadline of the classes (counted as 3 s at most) after the
//! shutdown signal, and callers go on sending on open connections until then. Every set-up accepted needs
//! its final answer earlier:
//!
//! - *grace period*: callers are still accepted and served, but no final answer is later than [`Plan::answer_by`];
//! - *leaving*: no connection is accepted, and new set-ups are refused at once. A connection is kept for its standing
//!   calls, so that their releases can be sent, and is closed when it is unused;
//! - *stopped*: no connection is left, or the time is up.

use pitchgw::interface::Nanos;

use crate::clock::MS;

/// How long callers are accepted after the signal.
const LISTEN_GRACE: Nanos = 700 * MS;
/// The longest deadline counts as at most this.
const MAX_COUNTED_DEADLINE: Nanos = 3_000 * MS;
/// The latest final answer to a set-up, after the longest deadline.
const ANSWER_MARGIN: Nanos = 500 * MS;
/// The latest exit of the process, after the longest deadline. SIGKILL may come 100 ms later.
const LEAVE_MARGIN: Nanos = 600 * MS;

/// The schedule of a shutdown. Its fields are logged by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Callers are accepted until then.
    pub stop_listening: Nanos,
    /// Every set-up has its final answer by then.
    pub answer_by: Nanos,
    /// The process exits by then.
    pub leave: Nanos,
}

/// The phase of the shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No shutdown signal yet.
    Serving,
    /// Callers are still accepted and served.
    GracePeriod,
    /// Only open set-ups and standing calls are served.
    Leaving,
    /// The shutdown is complete.
    Stopped,
}

/// The state of the shutdown.
#[derive(Debug)]
pub struct Shutdown {
    phase: Phase,
}

impl Shutdown {
    /// The state before the shutdown signal.
    pub fn new() -> Shutdown {
        Shutdown { phase: Phase::Serving }
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Handles the shutdown signal. Returns the plan at the first one; later ones have no effect.
    pub fn signal_received(&mut self, now: Nanos, longest_deadline: Nanos) -> Option<Plan> {
        if self.phase != Phase::Serving {
            return None;
        }
        self.phase = Phase::GracePeriod;
        let longest = longest_deadline.min(MAX_COUNTED_DEADLINE);
        let leave = now + longest + LEAVE_MARGIN;
        Some(Plan {
            stop_listening: (now + LISTEN_GRACE).min(leave),
            answer_by: now + longest + ANSWER_MARGIN,
            leave,
        })
    }

    /// Records that no more callers are accepted.
    pub fn listener_closed(&mut self) {
        self.phase = Phase::Leaving;
    }

    /// Records that the shutdown is complete. Returns false if it already was.
    pub fn set_stopped(&mut self) -> bool {
        std::mem::replace(&mut self.phase, Phase::Stopped) != Phase::Stopped
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn plans_at_first_signal_only_and_exits_before_sigkill() {
        for (deadline, kill) in [(1_000, 1_700), (3_000, 3_700), (9_000, 3_700), (50, 750)] {
            let mut shutdown = Shutdown::new();
            let plan = shutdown.signal_received(0, deadline * MS).unwrap();
            assert!(plan.stop_listening <= plan.leave && plan.answer_by < plan.leave, "{plan:?}");
            assert!(plan.leave + 100 * MS <= kill * MS, "{plan:?}");
            assert_eq!(shutdown.signal_received(900 * MS, deadline * MS), None);
            shutdown.listener_closed();
            assert_eq!(shutdown.phase(), Phase::Leaving);
            assert!(shutdown.set_stopped() && !shutdown.set_stopped());
        }
    }
}
