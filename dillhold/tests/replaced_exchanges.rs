//! Tests of the program with exchanges whose process dies, vanishes or is cut off, and is replaced at its address: callers
//! are told of every call that ended with it, and those of the new process stand.

mod common;

use std::collections::BTreeSet;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use common::exchange::ExchangeProcess;
use common::journal::JournalService;
use common::*;

/// A caller is told of the end of a call within a second of the news.
const TOLD_WITHIN: Duration = Duration::from_millis(1_050);
/// Time in which everything that follows the news has been sent.
const SETTLED_AFTER: Duration = Duration::from_millis(4_000);

/// The program with a caller, the journal service, and a first process at the address of exchange 1.
struct Network {
    program: Program,
    caller: Connection,
    journal: JournalService,
    listener: TcpListener,
    address: SocketAddr,
    process: ExchangeProcess,
    /// The other exchange, which takes no part.
    _other: ExchangeProcess,
}

impl Network {
    fn start(name: &str) -> Network {
        Network::start_with_group(name, None)
    }

    fn start_with_group(name: &str, group: Option<(u32, u32)>) -> Network {
        let [journal, listener, other] = [bind_listener(), bind_listener(), bind_listener()];
        let address = listener.local_addr().unwrap();
        let process = ExchangeProcess::start_with_group(&listener, group);
        let other_process = ExchangeProcess::start(&other);
        let journal_address = journal.local_addr().unwrap();
        let journal = JournalService::start(journal);
        let program = start_program(name, journal_address, &[&listener, &other]);
        process.wait_for_connections(1);
        let caller = program.connect_caller();
        Network { program, caller, journal, listener, address, process, _other: other_process }
    }

    /// Sets up calls that stand at the exchange.
    fn establish(&mut self, ids: impl IntoIterator<Item = u64>) {
        for id in ids {
            self.caller.send_set_up(id);
            assert_eq!(self.caller.read_binary(), (ANSWER, id, 0, DESCRIPTION.to_vec()));
        }
    }

    /// Starts another process at the address of exchange 1. Returns the process before.
    fn start_successor(&mut self) -> ExchangeProcess {
        self.start_successor_with_group(None)
    }

    fn start_successor_with_group(&mut self, group: Option<(u32, u32)>) -> ExchangeProcess {
        let successor = ExchangeProcess::start_with_group(&self.listener, group);
        std::mem::replace(&mut self.process, successor)
    }

    /// Kills the process and starts another one, to which the program is connected.
    fn replace_process(&mut self) {
        self.process.kill();
        self.start_successor();
        self.process.wait_for_connections(1);
    }

    fn target(&self, uid: &str, state: &str, boot_ms: u64) -> serde_json::Value {
        journal_target_started(1, uid, self.address, state, boot_ms)
    }

    /// Reports that `s-1` is gone and `s-9` is in service at its address.
    fn report_replacement(&mut self, boot_ms: u64) {
        let targets = [self.target("s-1", "DELETED", 0), self.target("s-9", "SERVING", boot_ms)];
        self.journal.report(&targets);
    }

    /// The calls whose caller is told within `span` that they were released.
    fn released_within(&mut self, span: Duration) -> BTreeSet<u64> {
        let until = Instant::now() + span;
        let mut released = BTreeSet::new();
        while let Some(left) = until.checked_duration_since(Instant::now()).filter(|left| !left.is_zero()) {
            match self.caller.read_binary_within(left) {
                Ok((kind, id, _, _)) => {
                    assert_eq!(kind, RELEASE);
                    assert!(released.insert(id), "call {id:x} is released once");
                }
                Err(kind) => assert!(matches!(kind, ErrorKind::WouldBlock | ErrorKind::TimedOut), "{kind}"),
            }
        }
        released
    }

    /// Waits for the calls that end, all in time, and checks that every other call stands at both sides.
    fn expect_only_these_end(&mut self, ended: impl IntoIterator<Item = u64>, standing: &[u64]) {
        let ended: BTreeSet<u64> = ended.into_iter().collect();
        let released = self.released_within(TOLD_WITHIN);
        assert_eq!(released, ended, "told in time");
        assert_eq!(self.released_within(SETTLED_AFTER), BTreeSet::new(), "told later");
        for id in standing {
            assert!(self.process.standing().contains(id), "call {id:x} stands at the exchange");
        }
        assert!(self.program.child.try_wait().unwrap().is_none(), "the program runs");
    }
}

/// Guards against callers that are never told of the end of their call: the old process answered after the start of the
/// process that replaced it, and its calls were taken for those of the new one (report 040f40).
#[test]
fn calls_answered_by_the_old_process_after_the_start_of_its_successor_are_released() {
    let mut network = Network::start("boot-before-death");
    network.establish(1..=3);
    std::thread::sleep(Duration::from_millis(10));
    let boot_ms = unix_now_ms();
    std::thread::sleep(Duration::from_millis(10));
    network.establish(4..=8);
    network.replace_process();
    std::thread::sleep(Duration::from_millis(450));
    network.report_replacement(boot_ms);
    network.expect_only_these_end(1..=8, &[]);
}
