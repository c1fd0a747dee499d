//! Which process answered a call, and whether it may have ended.
//!
//! The journal lists machines, and the link to an exchange goes by address. What answers calls, and ends with them, is a
//! process: several may follow one another at an address, and the journal reports that earlier or later than it happens.
//! One thing is certain: a connection reaches the same process for as long as it lasts. A call therefore records the
//! connection that brought its answer, and a process is known by its connections.
//!
//! - *Known to run*: the process behind an open connection, as long as no end is reported at its address. After a report,
//!   the process behind a connection on which it passed a test that was sent later: whichever process has ended, it is
//!   another one.
//! - *Not known*: the process of a connection that was closed, by whom ever, or on which a test goes unanswered. It may
//!   have ended.
//!
//! Times prove nothing here, neither the start of a machine in the journal nor the time at which an answer was read; and
//! neither do lost connections or circuits in use.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use pitchgw::interface::Nanos;

/// Identifies a connection to an exchange. Ids are never reused.
pub type ExchangeConnId = u64;
/// Identifies a test, as its `Call-ID`. Numbers are never reused.
pub type TestNumber = u64;

/// What is known about the process that answered on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// It runs.
    Running,
    /// The end of a process is reported at its address, and the answer to a test is awaited.
    UnderTest,
    /// Nothing shows that it still runs.
    MayHaveEnded,
}

/// What an open connection has shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Evidence {
    /// No end of a process was reported at the address since the connection was established.
    Unquestioned,
    /// A test is unanswered, and due at this time.
    AwaitsTest { number: TestNumber, due_at: Nanos },
    /// The last test was passed.
    PassedTest,
}

#[derive(Debug)]
struct ExchangeConnection {
    address: SocketAddr,
    evidence: Evidence,
}

/// A test to be sent on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessTest {
    /// The connection.
    pub conn: ExchangeConnId,
    /// The number of the test.
    pub number: TestNumber,
}

/// The open connections to exchanges, and what they show about the processes behind them.
#[derive(Debug, Default)]
pub struct AnsweringProcesses {
    connections: BTreeMap<ExchangeConnId, ExchangeConnection>,
    last_test: TestNumber,
}

impl AnsweringProcesses {
    /// Records an established connection.
    pub fn connection_established(&mut self, conn: ExchangeConnId, address: SocketAddr) {
        self.connections.insert(conn, ExchangeConnection { address, evidence: Evidence::Unquestioned });
    }

    /// Records that a connection has ended.
    pub fn connection_closed(&mut self, conn: ExchangeConnId) {
        self.connections.remove(&conn);
    }

    /// The end of a process is reported at an address: the process behind each connection has to pass a test until `due_at`.
    /// Returns the tests to be sent.
    pub fn question(&mut self, address: SocketAddr, due_at: Nanos) -> Vec<ProcessTest> {
        let mut tests = Vec::new();
        for (conn, connection) in self.connections.iter_mut().filter(|(_, c)| c.address == address) {
            self.last_test += 1;
            let number = self.last_test;
            connection.evidence = Evidence::AwaitsTest { number, due_at };
            tests.push(ProcessTest { conn: *conn, number });
        }
        tests
    }

    /// Records the response to a test. One that was sent before the last report proves nothing.
    pub fn test_answered(&mut self, conn: ExchangeConnId, number: TestNumber) {
        let Some(connection) = self.connections.get_mut(&conn) else { return };
        if matches!(connection.evidence, Evidence::AwaitsTest { number: awaited, .. } if awaited == number) {
            connection.evidence = Evidence::PassedTest;
        }
    }

    /// Takes out the connections to an address whose test is overdue.
    pub fn take_unproven(&mut self, address: SocketAddr, now: Nanos) -> Vec<ExchangeConnId> {
        let is_overdue = |c: &ExchangeConnection| {
            c.address == address && matches!(c.evidence, Evidence::AwaitsTest { due_at, .. } if due_at <= now)
        };
        let overdue = self.connections.iter().filter(|(_, c)| is_overdue(c)).map(|(conn, _)| *conn);
        let overdue: Vec<_> = overdue.collect();
        overdue.iter().for_each(|conn| self.connection_closed(*conn));
        overdue
    }

    /// The state of the process that answered on a connection.
    pub fn state(&self, conn: ExchangeConnId) -> ProcessState {
        match self.connections.get(&conn).map(|c| c.evidence) {
            Some(Evidence::Unquestioned | Evidence::PassedTest) => ProcessState::Running,
            Some(Evidence::AwaitsTest { .. }) => ProcessState::UnderTest,
            None => ProcessState::MayHaveEnded,
        }
    }

    /// Number of open connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn address(port: u16) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], port))
    }

    #[test]
    fn process_is_known_to_run_until_an_end_is_reported_and_after_a_later_test() {
        let mut processes = AnsweringProcesses::default();
        assert_eq!(processes.state(7), ProcessState::MayHaveEnded, "no such connection");
        processes.connection_established(7, address(1));
        processes.connection_established(8, address(2));
        assert_eq!(processes.state(7), ProcessState::Running);
        let [first] = processes.question(address(1), 100)[..] else { panic!("one connection") };
        assert_eq!(
            [processes.state(7), processes.state(8)],
            [ProcessState::UnderTest, ProcessState::Running]
        );
        let [second] = processes.question(address(1), 200)[..] else { panic!("one connection") };
        processes.test_answered(7, first.number);
        processes.test_answered(8, second.number);
        assert_eq!(
            processes.state(7),
            ProcessState::UnderTest,
            "the first test was before the second report"
        );
        processes.test_answered(7, second.number);
        assert_eq!(processes.state(7), ProcessState::Running);
        processes.connection_closed(7);
        assert_eq!(processes.state(7), ProcessState::MayHaveEnded);
    }

    #[test]
    fn connection_is_unproven_once_its_test_is_overdue() {
        let mut processes = AnsweringProcesses::default();
        (7..=9).for_each(|conn| processes.connection_established(conn, address(1)));
        let tests = processes.question(address(1), 100);
        processes.test_answered(8, tests[1].number);
        assert!(processes.take_unproven(address(1), 99).is_empty());
        assert!(processes.take_unproven(address(2), 100).is_empty());
        assert_eq!(processes.take_unproven(address(1), 100), [7, 9]);
        assert_eq!(
            [7, 8, 9].map(|conn| processes.state(conn) == ProcessState::Running),
            [false, true, false]
        );
        assert_eq!(processes.len(), 1);
    }
}
