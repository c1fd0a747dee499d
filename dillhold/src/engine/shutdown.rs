//! The shutdown: from the signal until the process leaves.
//!
//! SIGKILL may come as early as the longest deadline of the classes (counted as 3 s at the most) and 0.7 s after the
//! signal, and callers go on sending on open connections until then. Whatever is taken is therefore answered before:
//!
//! - *draining*: callers still connect and are served, but nothing is waited for past [`Plan::answer_by`];
//! - *leaving*: nobody is let in any more, and new set-ups are refused at once. A connection stays for the calls that
//!   stand on it, so that their ends can be told, and is closed when nothing is left on it;
//! - *stopped*: no connection is left, or the time is up.

use pitchgw::interface::Nanos;

use crate::clock::MS;

/// Callers keep connecting for so long after the signal.
const DRAIN_FOR: Nanos = 700 * MS;
/// The longest deadline is counted as this where it is longer.
const LONGEST_DEADLINE: Nanos = 3_000 * MS;
/// Past the longest deadline no set-up stays without its final answer for longer than this ...
const ANSWER_WITHIN: Nanos = 500 * MS;
/// ... and the process leaves after this. SIGKILL may come 100 ms later.
const LEAVE_WITHIN: Nanos = 600 * MS;

/// When what has to happen, once the signal has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Callers are let in until then.
    pub stop_listening: Nanos,
    /// Each set-up has its final answer by then.
    pub answer_by: Nanos,
    /// The process leaves at the latest.
    pub leave: Nanos,
}

/// How far the shutdown has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No signal has come.
    Serving,
    /// Callers are still let in and served.
    Draining,
    /// Only what is open and stands is still served.
    Leaving,
    /// Nothing is left to be done.
    Stopped,
}

/// The state of the shutdown.
#[derive(Debug)]
pub struct Shutdown {
    phase: Phase,
}

impl Shutdown {
    /// No signal has come yet.
    pub fn new() -> Shutdown {
        Shutdown { phase: Phase::Serving }
    }

    /// How far it has come.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The signal has come. The first one gives the plan; further ones change nothing.
    pub fn signalled(&mut self, now: Nanos, longest_deadline: Nanos) -> Option<Plan> {
        if self.phase != Phase::Serving {
            return None;
        }
        self.phase = Phase::Draining;
        let longest = longest_deadline.min(LONGEST_DEADLINE);
        let leave = now + longest + LEAVE_WITHIN;
        Some(Plan {
            stop_listening: (now + DRAIN_FOR).min(leave),
            answer_by: now + longest + ANSWER_WITHIN,
            leave,
        })
    }

    /// Nobody is let in any more.
    pub fn listener_closed(&mut self) {
        self.phase = Phase::Leaving;
    }

    /// Nothing is left to be done. False: that was known.
    pub fn stopped(&mut self) -> bool {
        std::mem::replace(&mut self.phase, Phase::Stopped) != Phase::Stopped
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_the_first_signal_makes_a_plan_and_it_ends_before_the_kill() {
        for (deadline, kill) in [(1_000, 1_700), (3_000, 3_700), (9_000, 3_700), (50, 750)] {
            let mut shutdown = Shutdown::new();
            let plan = shutdown.signalled(0, deadline * MS).unwrap();
            assert!(plan.stop_listening <= plan.leave && plan.answer_by < plan.leave, "{plan:?}");
            assert!(plan.leave + 100 * MS <= kill * MS, "{plan:?}");
            assert_eq!(shutdown.signalled(900 * MS, deadline * MS), None);
            shutdown.listener_closed();
            assert_eq!(shutdown.phase(), Phase::Leaving);
            assert!(shutdown.stopped() && !shutdown.stopped());
        }
    }
}
