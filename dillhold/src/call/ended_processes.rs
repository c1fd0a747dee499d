//! What follows when the end of a process is reported: the processes at its address are tested, and the calls end whose
//! process may have ended. This is the only place that decides whether a call outlives such a report; what is known is in
//! [`super::answering_process`].
//!
//! A call whose process is known to run stands on, at the machine that it was sent to, even if that has left the list: the
//! link of a machine that is gone is kept for as long as calls stand or attempts are pending there. All others end at both
//! sides, so that nothing is left standing.

use std::net::SocketAddr;

use pitchgw::interface::{ExchangeId, Nanos};

use super::answering_process::{ExchangeConnId, ProcessState, TestNumber};
use super::{Calls, Command, Deadline, MessageSource};
use crate::clock::MS;

/// How long a process may take to answer a test after a report. Releases from it are still accepted meanwhile. The
/// journal reports up to 7 s late, and the calls have to be released towards their callers within 8 s of their end.
const TEST_TIMEOUT: Nanos = 250 * MS;
/// How much earlier than the end of the process its report may come.
const MAX_REPORT_LEAD: Nanos = 2_000 * MS;
/// How long a process may take to answer the second test: its calls, if they have ended, did so less than
/// [`MAX_REPORT_LEAD`] ago.
const RETEST_TIMEOUT: Nanos = 1_000 * MS;
/// Time between the end of a machine's calls and the removal of its link, in which their releases are written.
const MACHINE_REMOVAL_DELAY: Nanos = 50 * MS;
/// When a machine whose link is still needed is looked at again.
const MACHINE_REMOVAL_RETRY_DELAY: Nanos = 500 * MS;
/// How long releases may wait for a connection to a machine that is gone: it may have been cut off, and come back with its
/// calls. A successor at its address gets them at once.
const GONE_MACHINE_RELEASE_RETENTION: Nanos = 10_000 * MS;

impl Calls {
    /// Records an established connection to an exchange.
    pub fn exchange_connection_established(&mut self, conn: ExchangeConnId, address: SocketAddr) {
        self.processes.connection_established(conn, address);
    }

    /// Records that a connection to an exchange has ended.
    pub fn exchange_connection_closed(&mut self, conn: ExchangeConnId) {
        self.processes.connection_closed(conn);
    }

    /// Records the response to a test.
    pub fn handle_test_response(&mut self, from: MessageSource, number: TestNumber) {
        self.processes.test_answered(from.conn, number);
    }

    /// The journal reports that the process of a machine has ended.
    pub(super) fn handle_reported_end(&mut self, now: Nanos, exchange: ExchangeId) {
        let Some(machine) = self.directory.machine(exchange) else { return };
        let (address, state) = (machine.address, machine.state);
        let (standing, successor) = (self.standing_calls_at(exchange), self.directory.successor(exchange));
        let successor = successor.map(|(id, _)| id);
        tracing::info!(exchange, %address, ?state, ?successor, standing, "end of a process reported");
        self.test_processes(now, address, TEST_TIMEOUT);
        self.deadlines.add(now + MAX_REPORT_LEAD, Deadline::RetestProcesses(address));
    }

    pub(super) fn retest_processes(&mut self, now: Nanos, address: SocketAddr) {
        self.test_processes(now, address, RETEST_TIMEOUT);
    }

    fn test_processes(&mut self, now: Nanos, address: SocketAddr, timeout: Nanos) {
        let due_at = now + timeout;
        let tests = self.processes.question(address, due_at);
        tracing::debug!(%address, ?tests, "processes tested");
        self.commands.extend(tests.into_iter().map(Command::SendTest));
        self.deadlines.add(due_at, Deadline::ReviewProcesses(address));
    }

    /// The time for the tests at an address is over.
    pub(super) fn review_processes(&mut self, now: Nanos, address: SocketAddr) {
        // What comes on such a connection from now on would be from a process that may have ended.
        let unproven = self.processes.take_unproven(address, now);
        self.commands.extend(unproven.into_iter().map(Command::CloseUnprovenConnection));
        self.end_calls_of_ended_processes(now, address);
        let machines = self.directory.machines().filter(|(_, machine)| machine.address == address);
        let (gone, listed): (Vec<_>, Vec<_>) =
            machines.map(|(id, _)| id).partition(|id| self.directory.is_gone(*id));
        gone.iter().for_each(|exchange| self.schedule_removal(now, *exchange));
        if gone.iter().any(|exchange| self.standing_calls_at(*exchange) > 0) {
            self.commands.extend(listed.into_iter().map(Command::CompareCircuits));
        }
    }

    fn schedule_removal(&mut self, now: Nanos, exchange: ExchangeId) {
        let release_deadline = now + GONE_MACHINE_RELEASE_RETENTION;
        if self.machine_removals.insert(exchange, release_deadline).is_none() {
            self.deadlines.add(now + MACHINE_REMOVAL_DELAY, Deadline::MachineRemoval(exchange));
        }
    }

    /// Whether the link of a machine that has left the list can be closed now. If not, that is asked again later.
    pub fn can_remove_exchange(&mut self, now: Nanos, exchange: ExchangeId, has_releases: bool) -> bool {
        let Some(release_deadline) = self.machine_removals.get(&exchange).copied() else { return false };
        if !self.directory.is_gone(exchange) {
            self.machine_removals.remove(&exchange);
            return false;
        }
        let has_calls = self.standing_calls_at(exchange) > 0 || self.has_pending_attempts(exchange);
        let has_successor = self.directory.successor(exchange).is_some();
        let awaits_connection = has_releases && !has_successor && now < release_deadline;
        let is_needed = has_calls || awaits_connection;
        if is_needed {
            self.deadlines.add(now + MACHINE_REMOVAL_RETRY_DELAY, Deadline::MachineRemoval(exchange));
        }
        !is_needed
    }

    /// Ends the calls at an address whose process may have ended.
    pub fn end_calls_of_ended_processes(&mut self, now: Nanos, address: SocketAddr) {
        let at_address = |exchange| self.directory.machine(exchange).is_some_and(|m| m.address == address);
        let calls = self.standing_calls(|_, attempt| at_address(attempt.exchange));
        let mut ended = Vec::new();
        for call in calls {
            let state = self.processes.state(call.answered_on);
            let (call_id, conn) = (format_args!("{:016x}", call.id), call.answered_on);
            tracing::debug!(
                call = call_id,
                exchange = call.exchange,
                conn,
                ?state,
                "answering process reviewed"
            );
            if state == ProcessState::MayHaveEnded {
                ended.push(call);
            }
        }
        self.end_at_both_sides(now, ended);
    }

    /// Whether a call stands that was answered on a connection.
    pub fn has_calls_answered_on(&self, conn: ExchangeConnId) -> bool {
        self.standing_by_connection.contains_key(&conn)
    }

    /// Ends the calls that were answered on a connection which has ended, as nothing tells whether their process lives on.
    pub fn end_calls_answered_on(&mut self, now: Nanos, conn: ExchangeConnId) {
        let calls = self.standing_calls(|call, _| call.answered_on == conn);
        tracing::warn!(conn, calls = calls.len(), "calls of a lost connection end: the journal is not heard");
        self.end_at_both_sides(now, calls);
    }

    /// The machine that messages from a link are about: the one on the list, if the link is that of a machine which is gone
    /// and the connection reaches another process at its address.
    pub(super) fn listed_exchange(&self, from: MessageSource) -> ExchangeId {
        let is_running = self.processes.state(from.conn) == ProcessState::Running;
        if !is_running || !self.directory.is_gone(from.exchange) {
            return from.exchange;
        }
        self.directory.successor(from.exchange).map_or(from.exchange, |(successor, _)| successor)
    }
}
