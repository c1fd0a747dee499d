//! Discovery, as the journal service gives it: when it is asked, and what follows from each way in which a call to it can
//! fail. One question is out at a time.
//!
//! - *asking*: a question is out, and its answer is waited for;
//! - *waiting*: an answer came sooner than was asked for and had nothing in it; the next question waits a little;
//! - *backing off*: a call has failed; the next one waits a little, and longer if it fails again.

use std::net::SocketAddr;

use pitchgw::interface::Nanos;

use crate::clock::MS;
use crate::session::journal::LONG_POLL_MS;

/// Pause before the next question after an answer that came too soon, or after a first failure.
const FIRST_PAUSE: Nanos = 200 * MS;
/// The same after a failure that follows a failure: a service that is down or crowded is asked less often.
const NEXT_PAUSE: Nanos = 400 * MS;
/// The wait that is asked for.
const HOLD: Nanos = LONG_POLL_MS * MS;
/// An answer is overdue so long after the service should have given it at the latest. What a silent service would have
/// told counts as told 2 s after the end of the wait; 0.6 s are left to ask again. Given up sooner, a service that is
/// only slow would be asked more often, and answer no call.
const OVERDUE: Nanos = 1_400 * MS;

/// A way in which a call can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection came up: refused, timed out, or none to spare.
    NotConnected,
    /// The connection ended with the answer outstanding or incomplete, or the answer cannot be read.
    BrokenOff,
    /// Nothing came in time.
    Overdue,
    /// The service has another address now.
    Moved,
}

impl Failure {
    /// The time by which a change counts as told, however the next calls go: after a failed, refused or given-up call
    /// 6 s from when the service had it and could be reached; where the pages give an earlier time, that one. It is
    /// 2 s from a break, 2 s from the end of the wait of a silent call, and 4 s from a new configuration.
    pub fn counts_as_told_after(self) -> Nanos {
        match self {
            Failure::NotConnected => 6_000 * MS,
            Failure::BrokenOff => 2_000 * MS,
            Failure::Overdue => HOLD + 2_000 * MS,
            Failure::Moved => 4_000 * MS,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Asking { since: Nanos },
    Waiting,
    BackingOff,
}

/// What is known of the journal service.
#[derive(Debug)]
pub struct Discovery {
    address: SocketAddr,
    state: State,
    /// Calls that failed in a row.
    failures: u32,
}

impl Discovery {
    /// A service that was not asked yet.
    pub fn new(address: SocketAddr) -> Discovery {
        Discovery { address, state: State::Waiting, failures: 0 }
    }

    /// Where the service is.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether a question is out. A second one would never be caught up with.
    pub fn is_asking(&self) -> bool {
        matches!(self.state, State::Asking { .. })
    }

    /// A question goes out. Tells when its answer is overdue.
    pub fn asked(&mut self, now: Nanos) -> Nanos {
        self.state = State::Asking { since: now };
        now + HOLD + OVERDUE
    }

    /// An answer came. Tells how long to wait with the next question: not at all, but after an answer without news that
    /// came sooner than was asked for, or with events missing, or the two sides would keep each other busy.
    pub fn answered(&mut self, now: Nanos, has_news: bool, is_complete: bool) -> Nanos {
        let early = matches!(self.state, State::Asking { since } if now < since + HOLD / 2);
        self.state = State::Waiting;
        self.failures = 0;
        if !is_complete || early && !has_news {
            FIRST_PAUSE
        } else {
            0
        }
    }

    /// A call has failed. Tells how long to wait with the next question.
    pub fn failed(&mut self, failure: Failure) -> Nanos {
        self.state = State::BackingOff;
        self.failures += 1;
        let told_after_ms = failure.counts_as_told_after() / MS;
        tracing::warn!(?failure, failures = self.failures, told_after_ms, "call to discovery failed");
        if self.failures == 1 {
            FIRST_PAUSE
        } else {
            NEXT_PAUSE
        }
    }

    /// Whether the answer is overdue.
    pub fn is_overdue(&self, now: Nanos) -> bool {
        matches!(self.state, State::Asking { since } if now >= since + HOLD + OVERDUE)
    }

    /// The service has another address. It is asked there at once, from the last event known.
    pub fn moved(&mut self, address: SocketAddr) {
        let told_after_ms = Failure::Moved.counts_as_told_after() / MS;
        tracing::info!(%address, told_after_ms, "discovery moved");
        *self = Discovery::new(address);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn discovery() -> Discovery {
        Discovery::new("127.0.0.1:9".parse().unwrap())
    }

    #[test]
    fn answers_are_followed_at_once_unless_they_came_early_with_nothing() {
        let mut discovery = discovery();
        for (after, has_news, is_complete, pause) in [
            (HOLD, false, true, 0),
            (MS, true, true, 0),
            (MS, false, true, FIRST_PAUSE),
            (MS, true, false, FIRST_PAUSE),
        ] {
            discovery.asked(0);
            assert!(discovery.is_asking());
            assert_eq!(discovery.answered(after, has_news, is_complete), pause, "{after} {has_news}");
            assert!(!discovery.is_asking());
        }
    }

    #[test]
    fn after_every_failure_there_is_time_to_ask_again_before_news_count_as_told() {
        // A connection may take half a second, and fail once more.
        const CONNECT: Nanos = 500 * MS;
        let again = FIRST_PAUSE + CONNECT + NEXT_PAUSE + CONNECT;
        for failure in [Failure::NotConnected, Failure::BrokenOff, Failure::Moved] {
            assert!(again < failure.counts_as_told_after(), "{failure:?}");
        }
        let overdue = discovery().asked(0);
        assert!(overdue + FIRST_PAUSE < Failure::Overdue.counts_as_told_after());
    }

    #[test]
    fn failures_in_a_row_are_followed_less_often_and_an_answer_ends_the_row() {
        let mut discovery = discovery();
        let mut fail = || discovery.failed(Failure::NotConnected);
        assert_eq!([fail(), fail(), fail()], [FIRST_PAUSE, NEXT_PAUSE, NEXT_PAUSE]);
        discovery.asked(0);
        discovery.answered(HOLD, false, true);
        assert_eq!(discovery.failed(Failure::BrokenOff), FIRST_PAUSE);
        discovery.moved("127.0.0.1:10".parse().unwrap());
        assert!(!discovery.is_asking() && !discovery.is_overdue(Nanos::MAX));
    }
}
