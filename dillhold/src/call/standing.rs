//! Calls that stand, by the exchange that they stand on: how they end, also without a word from it.

use std::collections::hash_map::Entry;

use pitchgw::interface::{Cause, ExchangeId, LoadReport, Nanos, Outcome};

use super::{unix_ms, Call, CallerConnId, CallerNotification, Calls, ExchangeRequest, CUT};

/// The state of the group to an exchange.
#[derive(Clone, Copy, Debug)]
pub struct GroupState {
    /// When the exchange told it.
    pub at: Nanos,
    /// Circuits in use, by calls of either end.
    pub in_use: f64,
}

impl Calls {
    /// A call's answer could not be brought to its caller: what stands at the exchange serves nobody.
    pub fn answer_lost(&mut self, now: Nanos, id: u64) {
        if let Some(stood) = self.table.get(&id).and_then(|c| c.stands) {
            self.counters.increment("errors answers lost with their caller");
            self.request_exchange(stood.exchange, id, ExchangeRequest::Release(16));
            self.over_standing(now, id, Outcome::CalledOff);
        }
    }

    pub(super) fn released(&mut self, now: Nanos, exchange: ExchangeId, id: u64, cause: u8) {
        self.counters.increment("taken releases from exchanges");
        let Some(call) = self.table.get(&id) else {
            // A call of before this program started: its caller still waits for the release.
            if !self.ended_calls.knows(id) {
                self.counters.increment("taken releases of unknown calls");
                self.remember(now, id, true);
                self.notify_caller(None, id, CallerNotification::Released(cause));
            }
            return;
        };
        if call.stands.is_some_and(|s| self.speaks_for(exchange, s.exchange)) {
            let outcome = if cause == 16 { Outcome::Completed } else { Outcome::Cut };
            let link = call.link;
            self.notify_caller(Some(link), id, CallerNotification::Released(cause));
            self.over_standing(now, id, outcome);
        }
    }

    /// Calls that stand on an exchange and were sent before a time, with the connections of their set-ups, in the
    /// order of ids.
    pub(super) fn standing_before(&self, exchange: ExchangeId, before: Nanos) -> Vec<(u64, CallerConnId)> {
        let here = |c: &Call| c.stands.is_some_and(|s| s.exchange == exchange && s.sent < before);
        let stood = self.table.iter().filter(|(_, c)| here(c)).map(|(id, c)| (*id, c.link));
        let mut stood: Vec<_> = stood.collect();
        stood.sort_unstable();
        stood
    }

    /// The exchange's process has ended, and with it the calls that stood there and were sent before.
    pub fn exchange_ended(&mut self, now: Nanos, exchange: ExchangeId, before: Nanos) {
        for (id, link) in self.standing_before(exchange, before) {
            self.cut_standing(now, id, link);
        }
    }

    /// The exchange has vanished, and with it the calls that stood there. Should it have been cut off only, it is
    /// told that they are over once it can be reached.
    pub fn exchange_vanished(&mut self, now: Nanos, exchange: ExchangeId) {
        for (id, link) in self.standing_before(exchange, Nanos::MAX) {
            self.request_exchange(exchange, id, ExchangeRequest::Release(CUT));
            self.cut_standing(now, id, link);
        }
    }

    pub(super) fn cut_standing(&mut self, now: Nanos, id: u64, link: CallerConnId) {
        tracing::debug!(call = format_args!("{id:016x}"), "call cut with its exchange");
        self.counters.increment("errors calls cut with their exchange");
        self.notify_caller(Some(link), id, CallerNotification::Released(CUT));
        self.over_standing(now, id, Outcome::Cut);
    }

    /// How many calls stand on an exchange.
    pub fn standing_calls_at(&self, exchange: ExchangeId) -> usize {
        self.standing_at.get(&exchange).copied().unwrap_or(0)
    }

    pub(super) fn stands_no_more(&mut self, exchange: ExchangeId) {
        if let Entry::Occupied(mut standing) = self.standing_at.entry(exchange) {
            *standing.get_mut() -= 1;
            if *standing.get() == 0 {
                standing.remove();
            }
        }
    }

    /// Circuits of the calls that stand on an exchange and were sent before a time.
    pub fn circuits_of_standing_calls(&self, exchange: ExchangeId, before: Nanos) -> u32 {
        let here = |c: &&Call| c.stands.is_some_and(|s| s.exchange == exchange && s.sent < before);
        self.table.values().filter(here).map(|c| c.width).sum()
    }

    /// The state of the group to an exchange, as it first told it since [`Calls::clear_group_state`].
    pub fn group_state(&self, exchange: ExchangeId) -> Option<GroupState> {
        self.groups.get(&exchange).copied()
    }

    /// Forgets the state of the group to an exchange: the next one that it tells is kept.
    pub fn clear_group_state(&mut self, exchange: ExchangeId) {
        self.groups.remove(&exchange);
    }

    /// Forgets what is known of an exchange that is gone for good.
    pub fn remove_exchange(&mut self, exchange: ExchangeId) {
        self.directory.remove_gone(exchange);
        self.groups.remove(&exchange);
    }

    pub(super) fn over_standing(&mut self, now: Nanos, id: u64, outcome: Outcome) {
        let Some(call) = self.table.get(&id) else { return };
        let Some(stood) = call.stands else { return };
        if let (Some(meter), Outcome::Completed) = (&mut self.meter, outcome) {
            meter.held(call.class, unix_ms(now - call.stood_at));
        }
        self.ended(now, id, stood, (outcome, Cause::Untold, LoadReport::default()));
        self.forget(now, id, true);
    }
}
