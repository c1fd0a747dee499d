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

/// The program is stopped while the old process answers and dies, so that it reads the answers after the start of the new one.
#[test]
fn calls_whose_answer_was_under_way_at_the_death_of_the_process_are_released() {
    let mut network = Network::start("under-way");
    network.establish(1..=2);
    network.process.hold_answers();
    (3..=6).for_each(|id| network.caller.send_set_up(id));
    network.process.wait_for_pending(4);
    network.program.send_signal("-STOP");
    network.process.answer_held();
    std::thread::sleep(Duration::from_millis(10));
    let boot_ms = unix_now_ms();
    network.process.kill();
    network.start_successor();
    std::thread::sleep(Duration::from_millis(20));
    network.program.send_signal("-CONT");
    for id in 3..=6 {
        assert_eq!(network.caller.read_binary(), (ANSWER, id, 0, DESCRIPTION.to_vec()));
    }
    network.process.wait_for_connections(1);
    network.report_replacement(boot_ms);
    network.expect_only_these_end(1..=6, &[]);
}

#[test]
fn calls_of_a_vanished_machine_are_released_although_its_connection_was_lost_before() {
    let mut network = Network::start("vanishes-after-loss");
    network.establish(1..=1);
    network.process.reset_connections();
    network.process.wait_for_connections(1);
    network.establish(2..=20);
    network.process.vanish();
    let _vanished = network.start_successor();
    std::thread::sleep(Duration::from_millis(300));
    network.report_replacement(0);
    network.expect_only_these_end(1..=20, &[]);
}

/// The circuits in use at a successor are those of others too, and say nothing about the calls of the old process.
#[test]
fn calls_of_a_vanished_machine_are_released_although_its_successor_is_busy() {
    let mut network = Network::start_with_group("busy-successor", Some((50, 100)));
    network.establish(1..=1);
    network.process.reset_connections();
    network.process.wait_for_connections(1);
    network.establish(2..=10);
    std::thread::sleep(Duration::from_millis(1_200));
    network.process.vanish();
    let _vanished = network.start_successor_with_group(Some((50, 100)));
    network.report_replacement(unix_now_ms());
    network.expect_only_these_end(1..=10, &[]);
}

#[test]
fn calls_of_a_process_that_is_restarted_under_its_id_are_released() {
    let mut network = Network::start("same-id");
    network.establish(1..=2);
    std::thread::sleep(Duration::from_millis(10));
    let boot_ms = unix_now_ms();
    std::thread::sleep(Duration::from_millis(10));
    network.establish(3..=6);
    network.replace_process();
    network.establish(7..=9);
    network.journal.report(&[network.target("s-1", "SERVING", boot_ms)]);
    network.expect_only_these_end(1..=6, &[7, 8, 9]);
}

/// The rule of picture (d) of issue 33: calls that are known to stand at the new process live on.
#[test]
fn calls_of_the_new_process_live_on() {
    for (name, boot_after_death) in [("lives-on-unknown", None), ("lives-on-late", Some(5_000))] {
        let mut network = Network::start(name);
        network.establish(1..=20);
        network.replace_process();
        network.establish(21..=50);
        let boot_ms = boot_after_death.map_or(0, |after| unix_now_ms() + after);
        network.report_replacement(boot_ms);
        let standing: Vec<u64> = (21..=50).collect();
        network.expect_only_these_end(1..=20, &standing);
    }
}

#[test]
fn calls_of_a_new_process_that_is_listed_later_live_on() {
    let mut network = Network::start("listed-later");
    network.establish(1..=5);
    network.replace_process();
    network.establish(6..=9);
    network.journal.report(&[network.target("s-1", "DELETED", 0)]);
    network.expect_only_these_end(1..=5, &[6, 7, 8, 9]);
    network.journal.report(&[network.target("s-9", "SERVING", unix_now_ms())]);
    network.expect_only_these_end([], &[6, 7, 8, 9]);
    network.process.release(6);
    network.expect_only_these_end([6], &[7, 8, 9]);
    network.caller.send_binary(RELEASE, 7, &[(PARAM_CAUSE, &[16])]);
    network.expect_only_these_end([], &[8, 9]);
    assert!(network.process.was_released(7));
}

/// The successor is on the list before the process at its address has ended.
#[test]
fn calls_of_a_process_whose_successor_is_listed_before_its_end_are_released() {
    let mut network = Network::start("listed-before");
    network.establish(1..=2);
    network.journal.report(&[network.target("s-9", "SERVING", unix_now_ms())]);
    std::thread::sleep(Duration::from_millis(300));
    network.establish(3..=6);
    network.replace_process();
    network.establish(7..=9);
    network.journal.report(&[network.target("s-1", "DELETED", 0)]);
    network.expect_only_these_end(1..=6, &[7, 8, 9]);
}

#[test]
fn calls_of_two_processes_in_a_row_are_released_and_those_of_the_third_live_on() {
    let mut network = Network::start("two-in-a-row");
    network.establish(1..=3);
    network.replace_process();
    let first_boot_ms = unix_now_ms();
    network.establish(4..=6);
    std::thread::sleep(Duration::from_millis(300));
    network.replace_process();
    network.establish(7..=9);
    network.report_replacement(first_boot_ms);
    std::thread::sleep(Duration::from_millis(400));
    let targets = [network.target("s-9", "DELETED", 0), network.target("s-10", "SERVING", unix_now_ms())];
    network.journal.report(&targets);
    network.expect_only_these_end(1..=6, &[7, 8, 9]);
}

#[test]
fn calls_of_a_machine_that_a_complete_list_replaces_are_released() {
    let mut network = Network::start("complete-list");
    network.establish(1..=2);
    std::thread::sleep(Duration::from_millis(10));
    let boot_ms = unix_now_ms();
    std::thread::sleep(Duration::from_millis(10));
    network.establish(3..=4);
    network.replace_process();
    network.establish(5..=6);
    network.journal.report_complete_list(&[network.target("s-9", "SERVING", boot_ms)]);
    network.expect_only_these_end(1..=4, &[5, 6]);
}

#[test]
fn calls_of_a_new_process_under_another_number_live_on() {
    let mut network = Network::start("another-number");
    network.establish(1..=2);
    network.replace_process();
    network.establish(3..=4);
    let boot_ms = unix_now_ms();
    let successor = journal_target_started(2, "s-9", network.address, "SERVING", boot_ms);
    network.journal.report(&[network.target("s-1", "DELETED", 0), successor]);
    network.expect_only_these_end(1..=2, &[3, 4]);
}

#[test]
fn calls_live_on_if_the_connection_to_their_process_is_lost() {
    let mut network = Network::start("lost-connection");
    network.establish(1..=3);
    network.process.reset_connections();
    network.process.wait_for_connections(1);
    network.expect_only_these_end([], &[1, 2, 3]);
    network.process.release(2);
    network.expect_only_these_end([2], &[1, 3]);
}

/// It is not known at which process a call stands whose connection was lost, so that it ends at both sides.
#[test]
fn calls_that_may_stand_at_either_process_end_at_both_sides() {
    let mut network = Network::start("either");
    network.establish(1..=2);
    network.replace_process();
    network.establish(3..=5);
    network.process.reset_connections();
    network.process.wait_for_connections(1);
    network.establish(6..=7);
    network.report_replacement(unix_now_ms());
    network.expect_only_these_end(1..=5, &[6, 7]);
    assert_eq!(network.process.standing(), [6, 7]);
}

#[test]
fn set_ups_that_are_pending_at_the_report_stand_at_the_new_process() {
    let mut network = Network::start("pending");
    network.establish(1..=2);
    network.replace_process();
    network.establish(3..=3);
    network.process.hold_answers();
    (4..=6).for_each(|id| network.caller.send_set_up(id));
    network.process.wait_for_pending(3);
    network.report_replacement(unix_now_ms());
    std::thread::sleep(Duration::from_millis(100));
    // One is given up while its answer is under way.
    network.program.send_signal("-STOP");
    network.caller.send_binary(RELEASE, 6, &[(PARAM_CAUSE, &[16])]);
    network.process.answer_held();
    std::thread::sleep(Duration::from_millis(20));
    network.program.send_signal("-CONT");
    let mut told = BTreeSet::new();
    while let Ok((kind, id, _, _)) = network.caller.read_binary_within(TOLD_WITHIN) {
        assert!(told.insert((kind, id)), "{kind} {id}");
    }
    assert!(
        told.is_superset(&BTreeSet::from([(RELEASE, 1), (RELEASE, 2), (ANSWER, 4), (ANSWER, 5)])),
        "{told:?}"
    );
    network.expect_only_these_end([], &[3, 4, 5]);
    assert!(!network.process.standing().contains(&6), "nothing is left standing");
}

/// The process takes no more connections, while the one that it has is in order.
#[test]
fn calls_of_a_process_that_refuses_connections_live_on_while_their_connection_is_open() {
    let mut network = Network::start("refuses");
    network.establish(1..=2);
    network.replace_process();
    network.establish(3..=5);
    network.process.stop_listening();
    let closed = std::mem::replace(&mut network.listener, bind_listener());
    drop(closed);
    network.report_replacement(unix_now_ms());
    network.expect_only_these_end(1..=2, &[3, 4, 5]);
    network.process.release(4);
    network.expect_only_these_end([4], &[3, 5]);
}

/// A machine that moves to another address is another process there.
#[test]
fn calls_at_an_address_that_a_machine_has_left_are_released_if_their_process_has_ended() {
    let mut network = Network::start("moves");
    network.establish(1..=3);
    network.process.kill();
    let moved = bind_listener();
    let new_process = ExchangeProcess::start(&moved);
    let target = journal_target_started(1, "s-1", moved.local_addr().unwrap(), "SERVING", 0);
    network.journal.report(&[target]);
    new_process.wait_for_connections(1);
    assert_eq!(network.released_within(TOLD_WITHIN), (1..=3).collect());
}

/// The list has the new machine at the address, and never tells that the old one has gone.
#[test]
fn calls_of_a_process_whose_address_is_taken_over_are_released() {
    let mut network = Network::start("taken-over");
    network.establish(1..=3);
    network.replace_process();
    network.establish(4..=5);
    network.journal.report(&[network.target("s-9", "SERVING", unix_now_ms())]);
    network.expect_only_these_end(1..=3, &[4, 5]);
}

/// The list is ahead of the process: it reports the replacement, and the old process ends half a second later.
#[test]
fn calls_of_a_process_that_ends_after_the_report_are_released() {
    for (name, vanishes) in [("early-news", false), ("early-news-vanish", true)] {
        let mut network = Network::start(name);
        network.establish(1..=4);
        // Its start is unknown: set-ups to a machine that has just started would wait for up to a second each.
        network.report_replacement(0);
        std::thread::sleep(Duration::from_millis(500));
        network.establish(5..=6);
        if vanishes {
            network.process.vanish();
        } else {
            network.process.kill();
        }
        let _old = network.start_successor();
        assert_eq!(network.released_within(Duration::from_millis(7_500)), (1..=6).collect(), "{name}");
    }
}
