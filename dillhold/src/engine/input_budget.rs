//! How much input from callers is processed in one turn, and whose.
//!
//! Each message has a cost and each turn a budget, so that neither many clients nor one that sends at full speed make a
//! turn collect more commands than memory allows. What exceeds the budget is deferred to later turns; meanwhile the
//! connection is not read, and the rest of its input stays in the socket. Connections with deferred input take turns with
//! a small share each. They cannot use up the budget: input on a connection without a backlog is processed at once.

use std::collections::{HashMap, VecDeque};

use pitchgw::interface::Nanos;

use super::{Conn, ConnId, Engine};
use crate::call::Calls;
use crate::codec::ParseError;
use crate::session::caller::{CallerSession, Cost};

/// The budget of a turn.
const MAX_COST_PER_TURN: Cost = 1_024;
/// The part of it that is for deferred input.
const MAX_DEFERRED_COST_PER_TURN: Cost = 512;
/// The part of it that one connection may use.
const MAX_COST_PER_CONNECTION: Cost = 64;

/// The budget of the current turn, and the connections whose input waits for the next one.
#[derive(Debug, Default)]
pub struct InputBudget {
    used: Cost,
    used_by_connection: HashMap<ConnId, Cost>,
    /// Connections with deferred input, in the order in which they are served.
    deferred: VecDeque<ConnId>,
}

impl InputBudget {
    /// Whether input waits for the next turn.
    pub fn has_deferred_input(&self) -> bool {
        !self.deferred.is_empty()
    }

    /// Processes the input of a caller as far as the budget allows.
    pub fn process(
        &mut self,
        now: Nanos,
        conn_id: ConnId,
        caller: &mut CallerSession,
        calls: &mut Calls,
    ) -> Result<(), ParseError> {
        let used_here = self.used_by_connection.entry(conn_id).or_default();
        let left_here = MAX_COST_PER_CONNECTION.saturating_sub(*used_here);
        let allowance = left_here.min(MAX_COST_PER_TURN.saturating_sub(self.used));
        let mut remaining = allowance;
        let result = caller.process_input(now, conn_id, calls, &mut remaining);
        *used_here += allowance - remaining;
        self.used += allowance - remaining;
        if caller.deferred {
            self.deferred.push_back(conn_id);
        }
        result
    }

    fn begin_turn(&mut self) {
        self.used = 0;
        self.used_by_connection.clear();
    }
}

impl Engine {
    /// Begins the budget of a turn, and processes input that earlier turns have deferred.
    pub(super) fn process_deferred_input(&mut self) {
        self.input_budget.begin_turn();
        for _ in 0..self.input_budget.deferred.len() {
            if self.input_budget.used >= MAX_DEFERRED_COST_PER_TURN {
                return;
            }
            let Some(conn_id) = self.input_budget.deferred.pop_front() else { return };
            if self.conns.get(&conn_id).is_some_and(Conn::has_deferred_input) {
                self.process_input(conn_id);
            }
        }
    }
}
