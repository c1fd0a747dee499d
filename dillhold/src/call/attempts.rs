//! Attempts: sent, lost with their connections, given up, and how they ended.

use pitchgw::interface::{CallId, Cause, Event, ExchangeId, ExchangeState, LoadReport, Nanos, Outcome};

use super::{AttemptProgress, Call, Calls, Command, Deadline, ExchangeRequest, Out};

impl Calls {
    /// The attempt that is out for a call, if it is at this exchange. Exchanges name the call and not which of
    /// its attempts they speak of: by the release wait, or by its final response, an earlier attempt at the same
    /// exchange has had its last word before the next one is sent.
    pub(super) fn out_at(&self, id: u64, exchange: ExchangeId) -> Option<Out> {
        self.table.get(&id)?.out.filter(|o| self.speaks_for(exchange, o.exchange))
    }

    /// Whether what comes from one machine's connection may be another's word. Where a machine has the address of
    /// one that has gone, the link to the old one ends at the new one until the journal tells, and no connection
    /// owns a call: a release heard there was once dropped, and its call left standing.
    pub(super) fn speaks_for(&self, heard: ExchangeId, exchange: ExchangeId) -> bool {
        let address = |id| self.directory.machine(id).map(|m| m.address);
        heard == exchange || address(heard).is_some_and(|a| address(exchange) == Some(a))
    }

    /// The connection to an exchange is gone. `unsent` are the attempts whose set-up never left. One that is still
    /// to be carried out has not left either: taken for cut it was once written to the next connection all the same,
    /// and the call sent again beside it.
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
        let here = |c: &Call| c.out.filter(|o| o.exchange == exchange);
        let out = self.table.iter().filter_map(|(id, c)| here(c).map(|o| (*id, o)));
        // In the order of ids: the table's own order differs from run to run.
        let mut out: Vec<_> = out.collect();
        out.sort_unstable_by_key(|(id, _)| *id);
        for (id, out) in out {
            let came = if unsent.contains(&(id, out.attempt)) {
                AttemptProgress::NeverSent
            } else {
                AttemptProgress::Sent
            };
            self.attempt_lost(now, id, out.attempt, came);
        }
    }

    /// An attempt's connection failed it.
    pub fn attempt_lost(&mut self, now: Nanos, id: u64, attempt: u32, came: AttemptProgress) {
        let Some(out) = self.table.get(&id).and_then(|c| c.out).filter(|o| o.attempt == attempt) else {
            return;
        };
        let (outcome, name) = match came {
            AttemptProgress::NeverSent => (Outcome::Unreachable, "errors attempts never sent"),
            AttemptProgress::Sent => (Outcome::Cut, "errors attempts cut"),
        };
        self.counters.increment(name);
        self.ended(now, id, out, (outcome, Cause::Untold, LoadReport::default()));
    }

    /// Whether an attempt is out at an exchange.
    pub fn has_pending_attempts(&self, exchange: ExchangeId) -> bool {
        self.table.values().any(|c| c.out.is_some_and(|o| o.exchange == exchange))
    }

    pub(super) fn send(&mut self, now: Nanos, handle: CallId, to: ExchangeId, timeout: Nanos) {
        let Some(id) = self.ids.get(&handle).copied() else { return };
        let machine = self.directory.machine(to).map(|m| (m.number, m.standing));
        let Some(call) = self.table.get_mut(&id) else { return };
        let attempt = call.attempts;
        call.attempts += 1;
        let (number, standing) = machine.unwrap_or((u32::MAX, ExchangeState::Gone));
        let allowed = call.owed
            && call.out.is_none()
            && attempt < self.set.max_attempts
            && now >= call.not_before
            && now < call.deadline
            && standing == ExchangeState::Up
            && Some(number) != self.set.home_exchange
            && (!call.transit || number == call.destination);
        if !allowed {
            self.counters.increment("errors attempts not allowed");
            return self.later.push_back(Event::AttemptEnded {
                call: handle,
                attempt,
                exchange: to,
                outcome: Outcome::NotSent,
                cause: Cause::Untold,
                elapsed: 0,
                call_over: !call.owed,
                report: LoadReport::default(),
            });
        }
        tracing::debug!(call = format_args!("{id:016x}"), attempt, exchange = to, "attempt");
        let until = now.saturating_add(timeout).min(call.deadline);
        call.out = Some(Out { exchange: to, attempt, sent: now });
        let say = ExchangeRequest::SetUp {
            attempt,
            wait: until - now,
            class: self.told.classes[call.class].clone().into_bytes(),
            number: call.number.clone(),
            description: call.description.clone(),
        };
        self.counters.increment("sent set-ups");
        self.deadlines.add(until, Deadline::AttemptTimeout(id, handle, attempt));
        self.request_exchange(to, id, say);
    }

    /// Gives up the attempt that is out, if there is one.
    pub(super) fn give_up(&mut self, now: Nanos, id: u64, outcome: Outcome) {
        let Some(out) = self.table.get(&id).and_then(|c| c.out) else { return };
        self.counters.increment("sent set-ups given up");
        self.request_exchange(out.exchange, id, ExchangeRequest::GiveUp { attempt: out.attempt });
        self.ended(now, id, out, (outcome, Cause::Untold, LoadReport::default()));
    }

    pub(super) fn ended(&mut self, now: Nanos, id: u64, out: Out, how: (Outcome, Cause, LoadReport)) {
        let (outcome, cause, report) = how;
        let (call, attempt, exchange) = (format_args!("{id:016x}"), out.attempt, out.exchange);
        tracing::debug!(call, attempt, exchange, ?outcome, ?cause, "attempt ended");
        self.counters.increment("taken endings");
        let Some(call) = self.table.get_mut(&id) else { return };
        call.out = None;
        if matches!(outcome, Outcome::TimedOut | Outcome::Cut | Outcome::CalledOff) {
            call.not_before = now + self.set.release_wait;
        }
        self.later.push_back(Event::AttemptEnded {
            call: call.handle,
            attempt: out.attempt,
            exchange: out.exchange,
            outcome,
            cause,
            elapsed: now - out.sent,
            call_over: !call.owed,
            report,
        });
    }
}
