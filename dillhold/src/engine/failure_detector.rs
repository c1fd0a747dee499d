//! Detects exchanges that have vanished, independently of the journal.
//!
//! A machine that vanishes or is cut off sends nothing: its open connections stay open and silent, and new ones are
//! never established. Its calls have ended, but nothing reports that. An exchange is therefore monitored while
//! calls stand on it. After a silence it is checked repeatedly over a separate connection; when no sign
//! of life follows within [`DEAD_AFTER`], the exchange is declared dead.

use pitchgw::interface::Nanos;

use crate::clock::MS;

/// Silence after which an exchange is checked.
const SUSPECT_AFTER: Nanos = 2_000 * MS;
/// Interval between checks of a suspect exchange.
pub const LIVENESS_CHECK_INTERVAL: Nanos = 250 * MS;
/// Timeout for establishing a liveness check connection. Some take up to a second.
pub const LIVENESS_CHECK_TIMEOUT: Nanos = 1_000 * MS;
/// Silence after which an exchange is dead. A caller has to be notified within 8 s of the end of its call, which may
/// follow directly on the last sign of life; the remaining time is for a release that waits for a connection and for
/// delays of this process.
pub const DEAD_AFTER: Nanos = 7_250 * MS;
/// Input within this time on a new connection, before anything was requested there, is a greeting.
const GREETING_WINDOW: Nanos = 500 * MS;

/// The state of an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// It gave a recent sign of life. The next check is due at this time.
    Alive(Nanos),
    /// It has been silent for long enough to be checked. The next check is due at this time.
    Suspect(Nanos),
    /// It is considered dead.
    Dead,
}

/// Tracks the signs of life of one exchange.
#[derive(Debug)]
pub struct FailureDetector {
    last_heard_at: Nanos,
    /// It sends a message on each new connection unprompted, so that establishing a connection alone proves nothing.
    sends_greeting: bool,
    /// Whether a check is among the deadlines.
    pub check_scheduled: bool,
}

impl FailureDetector {
    /// Creates a detector for an exchange that gave a sign of life at `now`.
    pub fn new(now: Nanos) -> FailureDetector {
        FailureDetector { last_heard_at: now, sends_greeting: false, check_scheduled: false }
    }

    /// Records input from the exchange.
    pub fn record_input(&mut self, now: Nanos) {
        self.last_heard_at = now;
    }

    /// Records input on a connection established at `connected_at` on which nothing had been requested.
    pub fn record_unsolicited_input(&mut self, now: Nanos, connected_at: Nanos) {
        if !self.sends_greeting && now < connected_at + GREETING_WINDOW {
            tracing::debug!("exchange greets new connections");
            self.sends_greeting = true;
        }
        self.record_input(now);
    }

    /// Records an established connection. From an exchange that greets, the greeting is required as a sign of life: a
    /// machine may accept connections while its process is gone or suspended.
    pub fn connected(&mut self, now: Nanos) {
        if !self.sends_greeting {
            self.last_heard_at = now;
        }
    }

    /// Whether the exchange sends a message on each new connection unprompted.
    pub fn sends_greeting(&self) -> bool {
        self.sends_greeting
    }

    /// The time since the last sign of life.
    pub fn silent_for(&self, now: Nanos) -> Nanos {
        now.saturating_sub(self.last_heard_at)
    }

    /// The state of the exchange at `now`.
    pub fn liveness(&self, now: Nanos) -> Liveness {
        let silent = self.silent_for(now);
        if silent >= DEAD_AFTER {
            Liveness::Dead
        } else if silent >= SUSPECT_AFTER {
            Liveness::Suspect((now + LIVENESS_CHECK_INTERVAL).min(self.last_heard_at + DEAD_AFTER))
        } else {
            Liveness::Alive(self.last_heard_at + SUSPECT_AFTER)
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn silent_exchange_becomes_suspect_then_dead() {
        let mut detector = FailureDetector::new(0);
        assert_eq!(detector.liveness(0), Liveness::Alive(SUSPECT_AFTER));
        assert_eq!(
            detector.liveness(SUSPECT_AFTER),
            Liveness::Suspect(SUSPECT_AFTER + LIVENESS_CHECK_INTERVAL)
        );
        let last = DEAD_AFTER - MS;
        assert_eq!(detector.liveness(last), Liveness::Suspect(DEAD_AFTER), "check due no later than death");
        assert_eq!(detector.liveness(DEAD_AFTER), Liveness::Dead);
        detector.connected(last);
        assert_eq!(detector.liveness(DEAD_AFTER), Liveness::Alive(last + SUSPECT_AFTER));
    }

    #[test]
    fn connection_without_greeting_is_no_sign_of_life_if_exchange_greets() {
        let mut detector = FailureDetector::new(0);
        detector.record_unsolicited_input(GREETING_WINDOW, 0);
        detector.connected(SUSPECT_AFTER);
        assert_eq!(detector.silent_for(SUSPECT_AFTER), 0, "input after the greeting window is no greeting");
        detector.record_unsolicited_input(SUSPECT_AFTER, SUSPECT_AFTER);
        detector.connected(DEAD_AFTER);
        assert_eq!(detector.silent_for(DEAD_AFTER), DEAD_AFTER - SUSPECT_AFTER);
    }
}
