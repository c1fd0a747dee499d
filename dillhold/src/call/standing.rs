//! Standing calls, indexed by exchange, and how they end, including when the exchange reports nothing.

use std::collections::hash_map::Entry;

use pitchgw::interface::{Cause, ExchangeId, ExchangeState, LoadReport, Nanos, Outcome};

use super::recent::EndedCall;
use super::{
    unix_ms, Call, CallerConnId, CallerNotification, Calls, Command, Deadline, ExchangeRequest,
    CAUSE_TEMPORARY_FAILURE,
};
use crate::clock::MS;

/// State of the trunk group towards an exchange.
#[derive(Clone, Copy, Debug)]
pub struct GroupState {
    /// When the report was received.
    pub received_at: Nanos,
    /// Circuits in use by calls of both ends.
    pub in_use: f64,
}

/// Time between the end of a machine's calls and the removal of its link, in which their releases are written.
const MACHINE_REMOVAL_DELAY: Nanos = 50 * MS;

/// The process behind the link to an exchange, as far as connections tell: a process that dies resets them and refuses
/// others, so that what is answered after that may come from another process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Incarnation {
    /// How often the process may have ended.
    possible_ends: u32,
}

impl Calls {
    /// Ends the calls of a machine whose process has ended according to the journal, as far as they stood at that process.
    /// If the machine was restarted, those are the calls from before. If another one has taken over its address, the link
    /// to the old one reached the new one meanwhile: what the new process answered stands there.
    pub(super) fn end_calls_of_machine(&mut self, now: Nanos, exchange: ExchangeId) {
        let restarted = self.directory.machine(exchange).filter(|m| m.state != ExchangeState::Gone);
        if let Some(started_at) = restarted.map(|m| m.started_at.unwrap_or(0)) {
            return self.cut_calls_of_exchange(now, exchange, started_at);
        }
        self.move_or_end_calls(now, exchange);
        self.deadlines.add(now + MACHINE_REMOVAL_DELAY, Deadline::MachineRemoval(exchange));
    }

    /// Removes a machine that is gone, and ends the calls that were answered on its link until now.
    pub(super) fn remove_machine(&mut self, now: Nanos, exchange: ExchangeId) {
        self.move_or_end_calls(now, exchange);
        self.commands.push_back(Command::RemoveExchange(exchange));
    }

    fn move_or_end_calls(&mut self, now: Nanos, exchange: ExchangeId) {
        let number = self.directory.machine(exchange).map(|m| m.number);
        let successor = self.directory.successor(exchange).map(|(id, m)| (id, m.number, m.started_at));
        for (id, conn) in self.standing_calls_answered_before(exchange, Nanos::MAX) {
            match successor {
                Some((successor, successor_number, started_at))
                    if Some(successor_number) == number && self.is_answered_by_successor(id, started_at) =>
                {
                    self.move_standing_call(id, successor);
                }
                _ => {
                    // It is not certain which process answered it: nothing is left standing at the new one.
                    let at = successor.map_or(exchange, |(successor, ..)| successor);
                    self.request_exchange(at, id, ExchangeRequest::Release(CAUSE_TEMPORARY_FAILURE));
                    self.cut_standing_call(now, id, conn);
                }
            }
        }
        // A machine that vanished resets nothing, so that its last calls may be taken for its successor's.
        if let Some((successor, ..)) = successor.filter(|(id, ..)| self.standing_calls_at(*id) > 0) {
            self.commands.push_back(Command::CompareCircuits(successor));
        }
    }

    /// Logs that the journal reported the end of a machine's process.
    pub(super) fn log_reported_end(&self, exchange: ExchangeId) {
        let Some(machine) = self.directory.machine(exchange) else { return };
        let started_at_ms = machine.started_at.map(|at| at / MS);
        let successor =
            self.directory.successor(exchange).map(|(id, m)| (id, m.started_at.map(|at| at / MS)));
        let (address, state, standing) = (machine.address, machine.state, self.standing_calls_at(exchange));
        tracing::info!(exchange, %address, ?state, started_at_ms, ?successor, standing, "end of a process reported");
    }

    /// Records that a connection of an exchange was lost or refused.
    pub fn exchange_process_may_have_ended(&mut self, exchange: ExchangeId) {
        self.incarnations.entry(exchange).or_default().possible_ends += 1;
    }

    /// Whether a call was answered by the process that took over the address of its exchange: that process had started
    /// before, or connections had shown that the earlier one may have ended.
    fn is_answered_by_successor(&self, id: u64, started_at: Option<Nanos>) -> bool {
        let Some(call) = self.calls_by_id.get(&id) else { return false };
        let Some(attempt) = call.answered_attempt else { return false };
        let present = self.incarnations.get(&attempt.exchange).copied().unwrap_or_default();
        started_at.is_some_and(|at| call.stands_since >= at)
            || present != Incarnation::default() && call.answered_by == present
    }

    /// Records that a call stands at another machine than the one that it was sent to.
    fn move_standing_call(&mut self, id: u64, to: ExchangeId) {
        let Some(call) = self.calls_by_id.get_mut(&id) else { return };
        let call_stands_since = call.stands_since;
        let Some(attempt) = call.answered_attempt.as_mut() else { return };
        let from = std::mem::replace(&mut attempt.exchange, to);
        let stands_since_ms = call_stands_since / MS;
        tracing::debug!(
            call = format_args!("{id:016x}"),
            from,
            to,
            stands_since_ms,
            "standing call moved to the successor"
        );
        self.counters.increment("taken calls over to a successor");
        self.decrement_standing_calls(from);
        self.increment_standing_calls(to);
    }

    /// Counts a call that stands on an exchange, which is watched from the first one on.
    pub(super) fn increment_standing_calls(&mut self, exchange: ExchangeId) {
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

    /// Ids and caller connections of the calls that stand on an exchange and were answered before a time,
    /// ordered by id.
    pub(super) fn standing_calls_answered_before(
        &self,
        exchange: ExchangeId,
        answered_before: Nanos,
    ) -> Vec<(u64, CallerConnId)> {
        let is_match = |c: &Call| {
            c.answered_attempt.is_some_and(|a| a.exchange == exchange) && c.stands_since < answered_before
        };
        let calls = self.calls_by_id.iter().filter(|(_, c)| is_match(c)).map(|(id, c)| (*id, c.caller_conn));
        let mut calls: Vec<_> = calls.collect();
        calls.sort_unstable();
        calls
    }

    /// Ends the calls that an exchange has lost, as its process ended: those that stand there and were answered
    /// before a time.
    pub fn cut_calls_of_exchange(&mut self, now: Nanos, exchange: ExchangeId, answered_before: Nanos) {
        for (id, conn) in self.standing_calls_answered_before(exchange, answered_before) {
            self.cut_standing_call(now, id, conn);
        }
    }

    /// Ends the calls that stand on an exchange and were answered before a time, without word of the exchange. It may still
    /// hold some of them, so that releases are queued for it as well.
    pub fn cut_and_release_calls_of_exchange(
        &mut self,
        now: Nanos,
        exchange: ExchangeId,
        answered_before: Nanos,
    ) {
        for (id, conn) in self.standing_calls_answered_before(exchange, answered_before) {
            self.request_exchange(exchange, id, ExchangeRequest::Release(CAUSE_TEMPORARY_FAILURE));
            self.cut_standing_call(now, id, conn);
        }
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

    pub(super) fn decrement_standing_calls(&mut self, exchange: ExchangeId) {
        if let Entry::Occupied(mut count) = self.standing_by_exchange.entry(exchange) {
            *count.get_mut() -= 1;
            if *count.get() == 0 {
                count.remove();
            }
        }
    }

    /// Circuits seized by the calls that stand on an exchange and were sent there before a time.
    pub fn circuits_of_standing_calls(&self, exchange: ExchangeId, sent_before: Nanos) -> u32 {
        let is_match =
            |c: &&Call| c.answered_attempt.is_some_and(|a| a.exchange == exchange && a.sent_at < sent_before);
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
        self.incarnations.remove(&exchange);
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
