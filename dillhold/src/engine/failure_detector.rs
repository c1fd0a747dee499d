//! Tells an exchange that has vanished from one that is only quiet, without word of discovery.
//!
//! A machine that vanishes or is cut off says nothing: its open connections stay open and silent, and new ones never
//! come up. Calls that stand on it are over, and nobody says so. An exchange is therefore watched while calls stand
//! on it. After a silence it is checked with a connection of its own, again and again; when nothing has come of that
//! for [`DEAD_AFTER`], the exchange is taken for dead.

use pitchgw::interface::Nanos;

use crate::clock::MS;

/// An exchange that has given no sign of life for so long is checked.
const CHECK_AFTER: Nanos = 2_000 * MS;
/// Time from one look at an exchange under suspicion to the next.
pub const LOOK_AGAIN: Nanos = 250 * MS;
/// A connection that checks an exchange may take so long to come up. Some come up late, by up to a second.
pub const CHECK_TIMEOUT: Nanos = 1_000 * MS;
/// An exchange that has given no sign of life for so long is dead. A caller has to be told within 8 s of the end of
/// its call, which may have come right after the last sign; what is left is for a release that has to wait for a
/// connection, and for this process being late.
const DEAD_AFTER: Nanos = 7_250 * MS;
/// What comes on a new connection within this time, before anything was asked there, is a greeting.
const GREETING_WITHIN: Nanos = 500 * MS;

/// What is to be thought of an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It gave a sign of life lately. The next look is due then.
    Alive(Nanos),
    /// It has been silent for long enough to be checked. The next look is due then.
    Suspect(Nanos),
    /// It is taken for dead.
    Dead,
}

/// The signs of life of one exchange.
#[derive(Debug)]
pub struct FailureDetector {
    last_sign: Nanos,
    /// It says something on each new connection unasked, so a connection on which it does not proves nothing.
    greets: bool,
    /// A look is among the deadlines.
    pub watching: bool,
}

impl FailureDetector {
    /// A detector of an exchange that was heard of now.
    pub fn new(now: Nanos) -> FailureDetector {
        FailureDetector { last_sign: now, greets: false, watching: false }
    }

    /// Bytes came from the exchange.
    pub fn heard(&mut self, now: Nanos) {
        self.last_sign = now;
    }

    /// Bytes came on a connection that came up at `up_at`, and nothing had been asked there.
    pub fn heard_unasked(&mut self, now: Nanos, up_at: Nanos) {
        if !self.greets && now < up_at + GREETING_WITHIN {
            tracing::debug!("exchange greets new connections");
            self.greets = true;
        }
        self.heard(now);
    }

    /// A connection to the exchange came up. Of one that greets the greeting is waited for: a machine may take
    /// connections in while the process behind them is gone or stands still.
    pub fn connected(&mut self, now: Nanos) {
        if !self.greets {
            self.last_sign = now;
        }
    }

    /// Whether the exchange says something on each new connection unasked.
    pub fn greets(&self) -> bool {
        self.greets
    }

    /// How long nothing has come.
    pub fn silent_for(&self, now: Nanos) -> Nanos {
        now.saturating_sub(self.last_sign)
    }

    /// What is to be thought of the exchange now.
    pub fn verdict(&self, now: Nanos) -> Verdict {
        let silent = self.silent_for(now);
        if silent >= DEAD_AFTER {
            Verdict::Dead
        } else if silent >= CHECK_AFTER {
            Verdict::Suspect((now + LOOK_AGAIN).min(self.last_sign + DEAD_AFTER))
        } else {
            Verdict::Alive(self.last_sign + CHECK_AFTER)
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn silence_brings_suspicion_and_then_the_verdict() {
        let mut detector = FailureDetector::new(0);
        assert_eq!(detector.verdict(0), Verdict::Alive(CHECK_AFTER));
        assert_eq!(detector.verdict(CHECK_AFTER), Verdict::Suspect(CHECK_AFTER + LOOK_AGAIN));
        let last = DEAD_AFTER - MS;
        assert_eq!(detector.verdict(last), Verdict::Suspect(DEAD_AFTER), "no later than it is due");
        assert_eq!(detector.verdict(DEAD_AFTER), Verdict::Dead);
        detector.connected(last);
        assert_eq!(detector.verdict(DEAD_AFTER), Verdict::Alive(last + CHECK_AFTER));
    }

    #[test]
    fn where_an_exchange_greets_a_connection_alone_is_no_sign_of_life() {
        let mut detector = FailureDetector::new(0);
        detector.heard_unasked(GREETING_WITHIN, 0);
        detector.connected(CHECK_AFTER);
        assert_eq!(detector.silent_for(CHECK_AFTER), 0, "what came was too late to be a greeting");
        detector.heard_unasked(CHECK_AFTER, CHECK_AFTER);
        detector.connected(DEAD_AFTER);
        assert_eq!(detector.silent_for(DEAD_AFTER), DEAD_AFTER - CHECK_AFTER);
    }
}
