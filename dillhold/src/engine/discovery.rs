//! Requests to the journal service: when the next one is sent, how long its answer may take, and the backoff after each
//! kind of failure. One request is awaited at a time.
//!
//! A service that is silent and one that is slow look alike until the answer comes. A request whose answer times out is
//! therefore repeated at once, before its updates count as known, but its own answer is read if it still comes
//! ([`super::journal`]). It tells how long the service takes, and later requests are given as long
//! ([`JournalPoll::record_response_time`]): otherwise a slow service would be asked again and again and never heard.
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
/// How long after [`REQUESTED_WAIT`] an answer times out, if the service is not known to take longer. Events of a silent
/// service count as known 2 s after the end of the wait; 0.6 s of that are left for a retry.
const ANSWER_TIMEOUT_MARGIN: Nanos = 1_400 * MS;
/// What a service that is known to take longer may take in addition.
const SLOW_ANSWER_ALLOWANCE: Nanos = 500 * MS;
/// The longest margin for a slow service: its updates count as known after 7 s, whatever it does.
const MAX_ANSWER_TIMEOUT_MARGIN: Nanos = 5_000 * MS;

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
    /// How long the service takes for an answer once it is due, as far as known.
    response_time: Nanos,
}

impl JournalPoll {
    /// The state before the first request.
    pub fn new(address: SocketAddr) -> JournalPoll {
        JournalPoll { address, state: State::Idle, failures: 0, response_time: 0 }
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
        now + self.answer_timeout()
    }

    /// How long after a request its answer times out.
    fn answer_timeout(&self) -> Nanos {
        if self.response_time <= ANSWER_TIMEOUT_MARGIN {
            return REQUESTED_WAIT + ANSWER_TIMEOUT_MARGIN;
        }
        REQUESTED_WAIT + (self.response_time + SLOW_ANSWER_ALLOWANCE).min(MAX_ANSWER_TIMEOUT_MARGIN)
    }

    /// When the answer of the outstanding request was requested, and when it times out.
    pub fn outstanding(&self) -> Option<(Nanos, Nanos)> {
        match self.state {
            State::AwaitingAnswer { since } => Some((since, since + self.answer_timeout())),
            State::Idle | State::BackingOff => None,
        }
    }

    /// Until when an answer to a request is read after it has timed out.
    pub fn late_answer_deadline(requested_at: Nanos) -> Nanos {
        requested_at + REQUESTED_WAIT + MAX_ANSWER_TIMEOUT_MARGIN
    }

    /// Records how long an answer took from its request. It was due after the requested wait if it has no events, and at
    /// some time until then if it has.
    pub fn record_response_time(&mut self, elapsed: Nanos, has_events: bool) {
        let shortest = elapsed.saturating_sub(REQUESTED_WAIT);
        let longest = if has_events { elapsed } else { shortest };
        self.response_time = self.response_time.clamp(shortest, longest);
    }

    /// Records an answer. Returns the delay of the next request: none, except after an early answer without events or
    /// after one with events missing, where an immediate request would make a busy loop.
    pub fn answer_received(&mut self, now: Nanos, has_events: bool, is_complete: bool) -> Nanos {
        let early = matches!(self.state, State::AwaitingAnswer { since } if now < since + REQUESTED_WAIT / 2);
        if let State::AwaitingAnswer { since } = self.state {
            self.record_response_time(now - since, has_events);
        }
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

    /// Whether no answer has come since a request failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Whether the answer has timed out.
    pub fn is_overdue(&self, now: Nanos) -> bool {
        self.outstanding().is_some_and(|(_, times_out_at)| now >= times_out_at)
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

    /// Guards against a service that is slow all the time and whose answers are never awaited.
    #[test]
    fn slow_service_is_given_as_long_as_it_takes_and_a_prompt_one_the_least() {
        let mut poll = journal_poll();
        let least = REQUESTED_WAIT + ANSWER_TIMEOUT_MARGIN;
        assert_eq!(poll.request_sent(0), least);
        // The answer of a request that had timed out.
        poll.record_response_time(REQUESTED_WAIT + 3_000 * MS, false);
        let slow = REQUESTED_WAIT + 3_000 * MS + SLOW_ANSWER_ALLOWANCE;
        assert_eq!(poll.outstanding(), Some((0, slow)));
        assert!(!poll.is_overdue(slow - 1) && poll.is_overdue(slow));
        // Events may have come at any time of the wait, so that this tells no more.
        poll.answer_received(REQUESTED_WAIT + 2_000 * MS, true, true);
        assert_eq!(poll.request_sent(0), slow);
        poll.answer_received(1_500 * MS, true, true);
        assert_eq!(poll.request_sent(0), REQUESTED_WAIT + 1_500 * MS + SLOW_ANSWER_ALLOWANCE);
        poll.answer_received(REQUESTED_WAIT, false, true);
        assert_eq!(poll.request_sent(0), least);
        poll.record_response_time(60_000 * MS, false);
        assert_eq!(poll.request_sent(0), REQUESTED_WAIT + MAX_ANSWER_TIMEOUT_MARGIN);
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
