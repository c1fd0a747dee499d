//! Standing calls, indexed by exchange, and how they end, including when the exchange reports nothing.

use std::collections::hash_map::{Entry, HashMap};
use std::hash::Hash;

use pitchgw::interface::{Cause, ExchangeId, LoadReport, Nanos, Outcome};

use super::recent::EndedCall;
use super::{
    unix_ms, Attempt, Call, CallerConnId, CallerNotification, Calls, Command, ExchangeConnId,
    ExchangeRequest, CAUSE_TEMPORARY_FAILURE,
};

/// State of the trunk group towards an exchange.
#[derive(Clone, Copy, Debug)]
pub struct GroupState {
    /// When the report was received.
    pub received_at: Nanos,
    /// Circuits in use by calls of both ends.
    pub in_use: f64,
}

/// A call that stands.
#[derive(Clone, Copy, Debug)]
pub(super) struct StandingCall {
    pub id: u64,
    pub exchange: ExchangeId,
    pub caller_conn: CallerConnId,
    pub answered_on: ExchangeConnId,
}

/// Decrements a count, which has no entry once it is zero.
fn decrement<K: Eq + Hash>(counts: &mut HashMap<K, usize>, key: K) {
    if let Entry::Occupied(mut count) = counts.entry(key) {
        *count.get_mut() -= 1;
        if *count.get() == 0 {
            count.remove();
        }
    }
}

impl Calls {
    /// Counts a call that stands on an exchange, which is watched from the first one on, and was answered on a connection.
    pub(super) fn increment_standing_calls(&mut self, exchange: ExchangeId, answered_on: ExchangeConnId) {
        *self.standing_by_connection.entry(answered_on).or_default() += 1;
        let standing_calls = self.standing_by_exchange.entry(exchange).or_default();
        *standing_calls += 1;
        if *standing_calls == 1 {
            self.commands.push_back(Command::StartLivenessChecks(exchange));
        }
    }

    /// Releases a standing call at its exchange because its answer could not be delivered to the caller.
    pub fn answer_lost(&mut self, now: Nanos, id: u64) {
        if let Some(attempt) = self.calls_by_id.get(&id).and_then(|c| c.answered_attempt) {
            self.counters.increment("errors answers lost with their caller");
            self.request_exchange(attempt.exchange, id, ExchangeRequest::Release(16));
            self.end_standing_call(now, id, Outcome::CalledOff);
        }
    }

    /// Whether the release of this call by an exchange is news about a call from before this process started.
    pub fn is_release_of_unknown_call(&self, id: u64) -> bool {
        !self.calls_by_id.contains_key(&id) && !self.ended_calls.contains(id)
    }

    pub(super) fn handle_exchange_release(&mut self, now: Nanos, exchange: ExchangeId, id: u64, cause: u8) {
        self.counters.increment("taken releases from exchanges");
        let Some(call) = self.calls_by_id.get(&id) else {
            // A call from before this process started: its caller still has to be notified.
            if !self.ended_calls.contains(id) {
                self.counters.increment("taken releases of unknown calls");
                self.remember_ended_call(now, id, EndedCall { retired: true, sent_on: true });
                self.notify_caller(None, id, CallerNotification::Released(cause));
            }
            return;
        };
        if call.answered_attempt.is_some_and(|a| self.is_same_endpoint(exchange, a.exchange)) {
            let outcome = if cause == 16 { Outcome::Completed } else { Outcome::Cut };
            let conn = call.caller_conn;
            self.notify_caller(Some(conn), id, CallerNotification::Released(cause));
            self.end_standing_call(now, id, outcome);
        }
    }

    /// The calls that match and stand, ordered by id.
    pub(super) fn standing_calls(&self, is_match: impl Fn(&Call, Attempt) -> bool) -> Vec<StandingCall> {
        let mut calls = Vec::new();
        for (id, call) in &self.calls_by_id {
            let Some(attempt) = call.answered_attempt.filter(|attempt| is_match(call, *attempt)) else {
                continue;
            };
            let (exchange, caller_conn) = (attempt.exchange, call.caller_conn);
            calls.push(StandingCall { id: *id, exchange, caller_conn, answered_on: call.answered_on });
        }
        calls.sort_unstable_by_key(|call| call.id);
        calls
    }

    /// Ends calls without word of their exchange. It may still hold them, so that releases are queued for it as well.
    pub(super) fn end_at_both_sides(&mut self, now: Nanos, calls: Vec<StandingCall>) {
        for call in calls {
            // The link of a machine that is gone is removed once its calls have ended.
            let to =
                self.directory.successor(call.exchange).map_or(call.exchange, |(successor, _)| successor);
            self.request_exchange(to, call.id, ExchangeRequest::Release(CAUSE_TEMPORARY_FAILURE));
            self.cut_standing_call(now, call.id, call.caller_conn);
        }
    }

    /// Ends all calls that stand on an exchange: it has vanished.
    pub fn end_calls_of_exchange(&mut self, now: Nanos, exchange: ExchangeId) {
        let calls = self.standing_calls(|_, attempt| attempt.exchange == exchange);
        self.end_at_both_sides(now, calls);
    }

    /// Ends the calls that stand at the address of an exchange and were answered before it became reachable again: it has
    /// lost them. Both times are those of this process.
    pub fn end_calls_from_before(&mut self, now: Nanos, exchange: ExchangeId, reachable_since: Nanos) {
        let calls = self.standing_calls(|call, attempt| {
            self.is_same_endpoint(exchange, attempt.exchange) && call.stands_since < reachable_since
        });
        self.end_at_both_sides(now, calls);
    }

    pub(super) fn cut_standing_call(&mut self, now: Nanos, id: u64, conn: CallerConnId) {
        tracing::debug!(call = format_args!("{id:016x}"), "standing call cut: its exchange failed");
        self.counters.increment("errors calls cut with their exchange");
        self.notify_caller(Some(conn), id, CallerNotification::Released(CAUSE_TEMPORARY_FAILURE));
        self.end_standing_call(now, id, Outcome::Cut);
    }

    /// Number of calls that stand on an exchange.
    pub fn standing_calls_at(&self, exchange: ExchangeId) -> usize {
        self.standing_by_exchange.get(&exchange).copied().unwrap_or(0)
    }

    pub(super) fn decrement_standing_calls(&mut self, exchange: ExchangeId, answered_on: ExchangeConnId) {
        decrement(&mut self.standing_by_exchange, exchange);
        decrement(&mut self.standing_by_connection, answered_on);
    }

    /// Circuits seized by the calls that stand at the address of an exchange and were sent there before a time.
    pub fn circuits_of_standing_calls(&self, exchange: ExchangeId, sent_before: Nanos) -> u32 {
        let is_match = |c: &&Call| {
            c.answered_attempt
                .is_some_and(|a| a.sent_at < sent_before && self.is_same_endpoint(exchange, a.exchange))
        };
        self.calls_by_id.values().filter(is_match).map(|c| c.width).sum()
    }

    /// The first group state reported by an exchange since [`Calls::clear_group_state`].
    pub fn group_state(&self, exchange: ExchangeId) -> Option<GroupState> {
        self.group_states.get(&exchange).copied()
    }

    /// Discards the group state of an exchange, so that its next report is recorded.
    pub fn clear_group_state(&mut self, exchange: ExchangeId) {
        self.group_states.remove(&exchange);
    }

    /// Discards all state of an exchange that is permanently gone.
    pub fn remove_exchange(&mut self, exchange: ExchangeId) {
        self.directory.remove_gone(exchange);
        self.group_states.remove(&exchange);
        self.machine_removals.remove(&exchange);
        self.response_matcher.remove(exchange);
    }

    pub(super) fn end_standing_call(&mut self, now: Nanos, id: u64, outcome: Outcome) {
        let Some(call) = self.calls_by_id.get(&id) else { return };
        let Some(attempt) = call.answered_attempt else { return };
        if let (Some(meter), Outcome::Completed) = (&mut self.meter, outcome) {
            meter.record_holding_time(call.class, unix_ms(now - call.stands_since));
        }
        self.end_attempt(now, id, attempt, (outcome, Cause::Untold, LoadReport::default()));
        self.remove_call(now, id, true);
    }
}
