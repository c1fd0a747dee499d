//! Attempts: sending and cancelling them, and handling their ends, including lost connections.

use pitchgw::interface::{CallId, Cause, Event, ExchangeId, ExchangeState, LoadReport, Nanos, Outcome};

use super::{Attempt, AttemptProgress, Call, Calls, Command, Deadline, ExchangeRequest};

impl Calls {
    /// The pending attempt of a call, if it was sent to this exchange. Messages of an exchange name the call
    /// but not always the attempt. They can be attributed to the pending one, because the release wait or a final
    /// response ensures that an earlier attempt at the same exchange is over before the next one is sent; of a
    /// response that comes twice, [`Calls::is_repeated_response`] tells the second copy.
    pub(super) fn pending_attempt_at(&self, id: u64, exchange: ExchangeId) -> Option<Attempt> {
        self.calls_by_id
            .get(&id)?
            .pending_attempt
            .filter(|attempt| self.is_same_endpoint(exchange, attempt.exchange))
    }

    /// Whether a response to a set-up is another copy of one that has ended an earlier attempt of the call. `sequence` is
    /// the number that the response has.
    pub fn is_repeated_response(&mut self, exchange: ExchangeId, id: u64, sequence: u32) -> bool {
        let Some(pending) = self.pending_attempt_at(id, exchange) else { return false };
        let ended = self.calls_by_id.get(&id).map_or(&[][..], |call| &call.ended_sequences);
        self.response_matcher.is_repeated(exchange, sequence, pending.sequence, ended)
    }

    /// Whether messages received from `sender` may come from `exchange`: both are the same machine or have
    /// the same address. When a machine takes over the address of one that is gone, the link to the old one
    /// reaches the new one until the journal reports the change, and calls are not bound to a connection.
    /// Without this check, a release received on the old link was dropped and its call left standing.
    pub(super) fn is_same_endpoint(&self, sender: ExchangeId, exchange: ExchangeId) -> bool {
        let address = |id| self.directory.machine(id).map(|m| m.address);
        sender == exchange || address(sender).is_some_and(|a| address(exchange) == Some(a))
    }

    /// Ends the pending attempts at an exchange whose connection was lost. `unsent` lists those whose set-up
    /// was not sent, by call id and number of the attempt. Set-ups still in the command queue are removed and
    /// count as unsent too: otherwise the attempt would count as cut and the call would be sent again, while
    /// the queued set-up is written to the next connection.
    pub fn exchange_disconnected(&mut self, now: Nanos, exchange: ExchangeId, unsent: &[(u64, u32)]) {
        let mut unsent = unsent.to_vec();
        self.commands.retain(|command| match command {
            Command::RequestExchange { to, call_id, request: ExchangeRequest::SetUp { attempt, .. } }
                if *to == exchange =>
            {
                unsent.push((*call_id, *attempt));
                false
            }
            _ => true,
        });
        let pending_here = |c: &Call| c.pending_attempt.filter(|a| a.exchange == exchange);
        let pending = self.calls_by_id.iter().filter_map(|(id, c)| pending_here(c).map(|a| (*id, a)));
        // Ordered by id, as the iteration order of the table differs between runs.
        let mut pending: Vec<_> = pending.collect();
        pending.sort_unstable_by_key(|(id, _)| *id);
        for (id, attempt) in pending {
            let progress = if unsent.contains(&(id, attempt.number)) {
                AttemptProgress::NeverSent
            } else {
                AttemptProgress::Sent
            };
            self.attempt_lost(now, id, attempt.number, progress);
        }
    }

    /// Ends a pending attempt whose connection failed.
    pub fn attempt_lost(&mut self, now: Nanos, id: u64, attempt: u32, progress: AttemptProgress) {
        let Some(pending) =
            self.calls_by_id.get(&id).and_then(|c| c.pending_attempt).filter(|a| a.number == attempt)
        else {
            return;
        };
        let (outcome, counter) = match progress {
            AttemptProgress::NeverSent => (Outcome::Unreachable, "errors attempts never sent"),
            AttemptProgress::Sent => (Outcome::Cut, "errors attempts cut"),
        };
        self.counters.increment(counter);
        self.end_attempt(now, id, pending, (outcome, Cause::Untold, LoadReport::default()));
    }

    /// Whether any attempt is pending at an exchange.
    pub fn has_pending_attempts(&self, exchange: ExchangeId) -> bool {
        self.calls_by_id.values().any(|c| c.pending_attempt.is_some_and(|a| a.exchange == exchange))
    }

    pub(super) fn send_attempt(&mut self, now: Nanos, handle: CallId, to: ExchangeId, timeout: Nanos) {
        let Some(id) = self.ids_by_handle.get(&handle).copied() else { return };
        let machine = self.directory.machine(to).map(|m| (m.number, m.state));
        let Some(call) = self.calls_by_id.get_mut(&id) else { return };
        let attempt = call.attempt_count;
        call.attempt_count += 1;
        let (exchange_number, state) = machine.unwrap_or((u32::MAX, ExchangeState::Gone));
        let is_allowed = call.awaits_final_answer
            && call.pending_attempt.is_none()
            && attempt < self.module_settings.max_attempts
            && now >= call.next_attempt_at
            && now < call.deadline
            && state == ExchangeState::Up
            && Some(exchange_number) != self.module_settings.home_exchange
            && (!call.in_transit || exchange_number == call.destination);
        if !is_allowed {
            self.counters.increment("errors attempts not allowed");
            return self.queued_events.push_back(Event::AttemptEnded {
                call: handle,
                attempt,
                exchange: to,
                outcome: Outcome::NotSent,
                cause: Cause::Untold,
                elapsed: 0,
                call_over: !call.awaits_final_answer,
                report: LoadReport::default(),
            });
        }
        tracing::debug!(call = format_args!("{id:016x}"), attempt, exchange = to, "attempt started");
        let expires_at = now.saturating_add(timeout).min(call.deadline);
        let sequence = self.response_matcher.next_sequence();
        call.pending_attempt = Some(Attempt { exchange: to, number: attempt, sequence, sent_at: now });
        call.sent_on = true;
        let request = ExchangeRequest::SetUp {
            attempt,
            sequence,
            timeout: expires_at - now,
            class: self.settings.classes[call.class].clone().into_bytes(),
            called_number: call.called_number.clone(),
            description: call.description.clone(),
        };
        self.counters.increment("sent set-ups");
        self.deadlines.add(expires_at, Deadline::AttemptTimeout(id, handle, attempt));
        self.request_exchange(to, id, request);
    }

    /// Cancels the pending attempt of a call, if there is one.
    pub(super) fn cancel_attempt(&mut self, now: Nanos, id: u64, outcome: Outcome) {
        let Some(pending) = self.calls_by_id.get(&id).and_then(|c| c.pending_attempt) else { return };
        self.counters.increment("sent set-ups given up");
        self.request_exchange(
            pending.exchange,
            id,
            ExchangeRequest::CancelAttempt { attempt: pending.number, sequence: pending.sequence },
        );
        self.end_attempt(now, id, pending, (outcome, Cause::Untold, LoadReport::default()));
    }

    pub(super) fn end_attempt(
        &mut self,
        now: Nanos,
        id: u64,
        ended_attempt: Attempt,
        ending: (Outcome, Cause, LoadReport),
    ) {
        let (outcome, cause, report) = ending;
        let (call, attempt, exchange) =
            (format_args!("{id:016x}"), ended_attempt.number, ended_attempt.exchange);
        tracing::debug!(call, attempt, exchange, ?outcome, ?cause, "attempt ended");
        self.counters.increment("taken endings");
        let Some(call) = self.calls_by_id.get_mut(&id) else { return };
        call.pending_attempt = None;
        call.ended_sequences.push(ended_attempt.sequence);
        if matches!(outcome, Outcome::TimedOut | Outcome::Cut | Outcome::CalledOff) {
            call.next_attempt_at = now + self.module_settings.release_wait;
        }
        self.queued_events.push_back(Event::AttemptEnded {
            call: call.handle,
            attempt: ended_attempt.number,
            exchange: ended_attempt.exchange,
            outcome,
            cause,
            elapsed: now - ended_attempt.sent_at,
            call_over: !call.awaits_final_answer,
            report,
        });
    }
}
