//! Requests to the journal service: when the next one is sent, and the backoff after each kind of failure. One
//! request is outstanding at a time.
//!
//! - *awaiting answer*: a request is outstanding;
//! - *idle*: an answer has come, and the next request is sent at once or, if the answer was early and empty or had
//!   events missing, after a delay;
//! - *backing off*: a request has failed, and is retried after a delay that grows if it fails again.

use std::net::SocketAddr;

use pitchgw::interface::Nanos;

use crate::clock::MS;
use crate::session::journal::LONG_POLL_MS;

/// Delay of the next request after an answer that was early and empty or had events missing, or after a first failure.
const FIRST_RETRY_DELAY: Nanos = 200 * MS;
/// Delay after repeated failures, to send a service that is down or overloaded fewer requests.
const REPEATED_RETRY_DELAY: Nanos = 400 * MS;
/// How long the service is asked to hold a request when it has no event.
const REQUESTED_WAIT: Nanos = LONG_POLL_MS * MS;
/// How long after [`REQUESTED_WAIT`] an answer times out. Events of a silent service count as known 2 s after the end
/// of the wait; 0.6 s of that are left for a retry. A shorter timeout would send a slow service more requests and
/// get no answer to any of them.
const ANSWER_TIMEOUT_MARGIN: Nanos = 1_400 * MS;

/// The ways in which a request can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection was established: refused, timed out, or at the connection limit.
    NotConnected,
    /// The connection ended before a complete answer, or the answer cannot be parsed.
    BrokenOff,
    /// The answer timed out.
    Overdue,
    /// The service has moved to another address.
    Moved,
}

impl Failure {
    /// For logs and tests: the time after which a journal update counts as known to the controller, whatever becomes
    /// of later requests. In general that is 6 s after a failed, refused or abandoned request, counted from when the
    /// service had the update and could be reached. It is less in three cases: 2 s after a broken connection, 2 s
    /// after the end of the wait of a request without an answer, and 4 s after a new configuration.
    pub fn counts_as_known_after(self) -> Nanos {
        match self {
            Failure::NotConnected => 6_000 * MS,
            Failure::BrokenOff => 2_000 * MS,
            Failure::Overdue => REQUESTED_WAIT + 2_000 * MS,
            Failure::Moved => 4_000 * MS,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    AwaitingAnswer { since: Nanos },
    Idle,
    BackingOff,
}

/// The state of the requests to the journal service.
#[derive(Debug)]
pub struct JournalPoll {
    address: SocketAddr,
    state: State,
    /// Consecutive failed requests.
    failures: u32,
}

impl JournalPoll {
    /// The state before the first request.
    pub fn new(address: SocketAddr) -> JournalPoll {
        JournalPoll { address, state: State::Idle, failures: 0 }
    }

    /// The address of the service.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether a request is outstanding. Each answer triggers the next request, so a second one would be repeated
    /// forever beside the first.
    pub fn is_awaiting_answer(&self) -> bool {
        matches!(self.state, State::AwaitingAnswer { .. })
    }

    /// Records a request. Returns the time at which its answer times out.
    pub fn request_sent(&mut self, now: Nanos) -> Nanos {
        self.state = State::AwaitingAnswer { since: now };
        now + REQUESTED_WAIT + ANSWER_TIMEOUT_MARGIN
    }

    /// Records an answer. Returns the delay of the next request: none, except after an early answer without events or
    /// after one with events missing, where an immediate request would make a busy loop.
    pub fn answer_received(&mut self, now: Nanos, has_events: bool, is_complete: bool) -> Nanos {
        let early = matches!(self.state, State::AwaitingAnswer { since } if now < since + REQUESTED_WAIT / 2);
        self.state = State::Idle;
        self.failures = 0;
        if !is_complete || early && !has_events {
            FIRST_RETRY_DELAY
        } else {
            0
        }
    }

    /// Records a failed request. Returns the delay of the next one.
    pub fn request_failed(&mut self, failure: Failure) -> Nanos {
        self.state = State::BackingOff;
        self.failures += 1;
        let told_after_ms = failure.counts_as_known_after() / MS;
        tracing::warn!(?failure, failures = self.failures, told_after_ms, "journal request failed");
        if self.failures == 1 {
            FIRST_RETRY_DELAY
        } else {
            REPEATED_RETRY_DELAY
        }
    }

    /// Whether the answer has timed out.
    pub fn is_overdue(&self, now: Nanos) -> bool {
        matches!(self.state, State::AwaitingAnswer { since } if now >= since + REQUESTED_WAIT + ANSWER_TIMEOUT_MARGIN)
    }

    /// Changes the address of the service, which may be sent a request at once.
    pub fn set_address(&mut self, address: SocketAddr) {
        let told_after_ms = Failure::Moved.counts_as_known_after() / MS;
        tracing::info!(%address, told_after_ms, "journal address changed");
        *self = JournalPoll::new(address);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn journal_poll() -> JournalPoll {
        JournalPoll::new("127.0.0.1:9".parse().unwrap())
    }

    #[test]
    fn next_request_is_immediate_unless_answer_was_early_and_empty_or_incomplete() {
        let mut poll = journal_poll();
        for (after, has_events, is_complete, delay) in [
            (REQUESTED_WAIT, false, true, 0),
            (MS, true, true, 0),
            (MS, false, true, FIRST_RETRY_DELAY),
            (MS, true, false, FIRST_RETRY_DELAY),
        ] {
            poll.request_sent(0);
            assert!(poll.is_awaiting_answer());
            assert_eq!(poll.answer_received(after, has_events, is_complete), delay, "{after} {has_events}");
            assert!(!poll.is_awaiting_answer());
        }
    }

    #[test]
    fn retry_is_possible_after_each_failure_before_updates_count_as_known() {
        // Connecting may take half a second, and fail once more.
        const CONNECT: Nanos = 500 * MS;
        let again = FIRST_RETRY_DELAY + CONNECT + REPEATED_RETRY_DELAY + CONNECT;
        for failure in [Failure::NotConnected, Failure::BrokenOff, Failure::Moved] {
            assert!(again < failure.counts_as_known_after(), "{failure:?}");
        }
        let overdue = journal_poll().request_sent(0);
        assert!(overdue + FIRST_RETRY_DELAY < Failure::Overdue.counts_as_known_after());
    }

    #[test]
    fn backoff_grows_after_repeated_failures_and_resets_after_an_answer() {
        let mut poll = journal_poll();
        let mut fail = || poll.request_failed(Failure::NotConnected);
        assert_eq!([fail(), fail(), fail()], [FIRST_RETRY_DELAY, REPEATED_RETRY_DELAY, REPEATED_RETRY_DELAY]);
        poll.request_sent(0);
        poll.answer_received(REQUESTED_WAIT, false, true);
        assert_eq!(poll.request_failed(Failure::BrokenOff), FIRST_RETRY_DELAY);
        poll.set_address("127.0.0.1:10".parse().unwrap());
        assert!(!poll.is_awaiting_answer() && !poll.is_overdue(Nanos::MAX));
    }
}
