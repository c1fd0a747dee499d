//! How much input from callers is processed in one turn, and whose.
//!
//! Each message has a cost, each turn a budget and each connection an allowance that is restored with time, so that neither
//! many clients nor one that sends at full speed make a turn collect more commands than memory allows. What exceeds them
//! is deferred to later turns; meanwhile the connection is not read, and the rest of its input stays in the socket.
//! Connections that exceed their allowance take turns with a share of the budget each. They cannot use it up: other
//! connections are served at once, within their allowances, and first in the next turn if a budget was used up.

use std::collections::VecDeque;

use pitchgw::interface::Nanos;

use super::{Conn, ConnId, Engine};
use crate::call::Calls;
use crate::clock::MS;
use crate::codec::ParseError;
use crate::session::caller::{CallerSession, Cost};

/// The budget of a turn.
const MAX_COST_PER_TURN: Cost = 1_024;
/// What of it is used before only connections over their allowance are served among those with deferred input, so that
/// neither kind waits for ever.
const MAX_COST_WITHIN_ALLOWANCE: Cost = 512;
/// What of it is used before no more deferred input is processed.
const MAX_DEFERRED_COST_PER_TURN: Cost = 768;
/// The allowance of a connection, and what it gets when it is its turn.
const MAX_COST_PER_CONNECTION: Cost = 64;
/// The time in which one unit of an allowance is restored.
const RESTORE_INTERVAL: Nanos = MS / 2;

/// The budget of the current turn, and the connections with deferred input in the order in which they are served.
#[derive(Debug, Default)]
pub struct InputBudget {
    used: Cost,
    /// Connections within their allowance.
    within_allowance: VecDeque<ConnId>,
    /// Connections that have exceeded it.
    over_allowance: VecDeque<ConnId>,
}

/// What is left of the allowance of a connection.
fn remaining_allowance(now: Nanos, caller: &CallerSession) -> Cost {
    let used = caller.allowance_restored_at.saturating_sub(now).div_ceil(RESTORE_INTERVAL);
    MAX_COST_PER_CONNECTION.saturating_sub(used as Cost)
}

impl InputBudget {
    /// Whether connections wait for the next turn.
    pub fn has_waiting_connections(&self) -> bool {
        !self.within_allowance.is_empty() || !self.over_allowance.is_empty()
    }

    /// Processes the input of a caller as far as the budget allows and, unless it is the connection's turn, its allowance.
    pub fn process(
        &mut self,
        now: Nanos,
        conn_id: ConnId,
        caller: &mut CallerSession,
        calls: &mut Calls,
    ) -> Result<(), ParseError> {
        let own_allowance =
            if caller.deferred { MAX_COST_PER_CONNECTION } else { remaining_allowance(now, caller) };
        let allowance = own_allowance.min(MAX_COST_PER_TURN.saturating_sub(self.used));
        let mut remaining = allowance;
        let result = caller.process_input(now, conn_id, calls, &mut remaining);
        let used = allowance - remaining;
        self.used += used;
        caller.allowance_restored_at = (caller.allowance_restored_at.max(now)
            + Nanos::from(used) * RESTORE_INTERVAL)
            .min(now + Nanos::from(MAX_COST_PER_CONNECTION) * RESTORE_INTERVAL);
        if caller.deferred && allowance < own_allowance {
            self.within_allowance.push_back(conn_id);
        } else if caller.deferred {
            self.over_allowance.push_back(conn_id);
        }
        result
    }

    /// Takes the next connection with deferred input that can be served in this turn.
    fn next_waiting(&mut self) -> Option<ConnId> {
        if self.used >= MAX_DEFERRED_COST_PER_TURN {
            return None;
        }
        let within_allowance =
            if self.used < MAX_COST_WITHIN_ALLOWANCE { self.within_allowance.pop_front() } else { None };
        within_allowance.or_else(|| self.over_allowance.pop_front())
    }
}

impl Engine {
    /// Begins the budget of a turn, and processes input that earlier turns have deferred.
    pub(super) fn process_deferred_input(&mut self) {
        self.input_budget.used = 0;
        let waiting = self.input_budget.within_allowance.len() + self.input_budget.over_allowance.len();
        for _ in 0..waiting {
            let Some(conn_id) = self.input_budget.next_waiting() else { return };
            if self.conns.get(&conn_id).is_some_and(Conn::has_deferred_input) {
                self.process_input(conn_id);
            }
        }
    }
}
