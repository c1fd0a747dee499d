//! Tests of the engine without sockets: links to exchanges, liveness checks, and whose calls end with what.

mod common;

use common::harness::*;
use common::{journal_target, DESCRIPTION};
use dillhold::codec::{binary, sip};
use dillhold::engine::{ConnId, Output};
use pitchgw::interface::Nanos;

/// Advances the time in steps and establishes each connection opened to a port. Returns their number.
fn advance_with_port_up(harness: &mut EngineHarness, port: u16, span: Nanos) -> usize {
    let (until, mut up, mut count) = (harness.now + span, harness.last_connect_to(port), 0);
    while harness.now < until {
        harness.advance(50 * MS);
        if harness.last_connect_to(port) != up {
            up = harness.last_connect_to(port);
            harness.establish(port);
            count += 1;
        }
    }
    count
}

/// An event of the journal about machines at the port of exchange 1: uids and states.
fn journal_event(pos: u64, targets: &[(&str, &str)]) -> Vec<u8> {
    let address = "127.0.0.1:1".parse().unwrap();
    let targets: Vec<_> = targets.iter().map(|(uid, state)| journal_target(1, uid, address, state)).collect();
    let event = serde_json::json!({"pos": pos, "hosts": {"rev": pos, "all": false, "targets": targets}});
    journal_answer(&event.to_string())
}

/// Sets up a call at an exchange that was just connected, and loses the connection to its process. Returns the connection
/// to the process that comes up at the same address, where a second call stands.
fn replace_process(harness: &mut EngineHarness, caller: ConnId) -> ConnId {
    let exchange = harness.establish(1);
    establish_call(harness, caller, exchange, 7);
    harness.advance(1_000 * MS);
    harness.run_turn(|e| e.connection_lost(exchange));
    harness.advance(MS);
    let successor = harness.establish(1);
    // Not reported: how many circuits are in use.
    establish_call(harness, caller, successor, 8);
    // A report of the circuits in use includes the call from now on.
    harness.advance(1_001 * MS);
    harness.take_written(successor);
    successor
}

/// Takes the set-ups that were written on the connection of an exchange: call ids and numbers of `CSeq`.
fn take_set_ups(harness: &mut EngineHarness, exchange: ConnId) -> Vec<(u64, u32)> {
    let bytes = harness.take_written(exchange);
    let (mut rest, mut set_ups) = (&bytes[..], Vec::new());
    while let Some((message, length)) = sip::parse(rest).unwrap() {
        let cseq = message.cseq().filter(|(_, method)| *method == b"INVITE");
        set_ups.extend(
            message.call_id().zip(cseq.map(|(number, _)| number)).filter(|_| message.uri().is_some()),
        );
        rest = &rest[length..];
    }
    set_ups
}

/// Answers the tests that were sent on the connection of an exchange, at least one.
fn answer_tests(harness: &mut EngineHarness, exchange: ConnId) {
    assert!(answer_tests_if_any(harness, exchange), "a test was sent");
}

/// Answers the tests that were sent on the connection of an exchange. Returns whether there were any.
fn answer_tests_if_any(harness: &mut EngineHarness, exchange: ConnId) -> bool {
    let bytes = harness.take_written(exchange);
    let (mut rest, mut answers) = (&bytes[..], Vec::new());
    while let Some((message, length)) = sip::parse(rest).unwrap() {
        if let (Some(id), Some((number, b"OPTIONS"))) = (message.call_id(), message.cseq()) {
            let (line, call) = (format_args!("SIP/2.0 200 OK"), format!("{id:016x}"));
            sip::write(&mut answers, line, call.as_bytes(), (number, "OPTIONS"), format_args!(""), b"");
        }
        rest = &rest[length..];
    }
    harness.receive(exchange, &answers);
    !answers.is_empty()
}

fn error_response(id: u64, number: u32) -> Vec<u8> {
    format!("SIP/2.0 500 Error\r\nCall-ID: {id:016x}\r\nCSeq: {number} INVITE\r\nl: 0\r\n\r\n").into_bytes()
}

#[test]
fn releases_calls_of_vanished_exchange_without_journal_update() {
    let mut harness = EngineHarness::new();
    let (exchange, caller) = (harness.establish(1), harness.accept_caller());
    establish_call(&mut harness, caller, exchange, 7);
    // The connection stays open and silent, and no connection opened from now on is established.
    harness.advance(4_000 * MS);
    assert_eq!(take_notifications(&mut harness, caller), [], "a network may be cut for some seconds");
    harness.advance(4_000 * MS);
    assert_eq!(take_notifications(&mut harness, caller), [(binary::kind::RELEASE, 7, Some(41))]);
}

#[test]
fn keeps_calls_of_idle_reachable_exchange_with_few_checks() {
    let mut harness = EngineHarness::new();
    let (exchange, caller) = (harness.establish(1), harness.accept_caller());
    establish_call(&mut harness, caller, exchange, 7);
    let checks = advance_with_port_up(&mut harness, 1, 30_000 * MS);
    assert_eq!(take_notifications(&mut harness, caller), []);
    assert!((4..=15).contains(&checks), "{checks} checks in 30 s");
    let connections = harness.outputs.iter().filter_map(|o| match o {
        Output::Connect { conn, to } if to.port() == 1 => Some(*conn),
        _ => None,
    });
    assert_eq!(connections.filter(|conn| !harness.is_closed(*conn)).count(), 2, "one check at a time");
    // After the release of the only call the exchange is not checked any more.
    let newest = harness.last_connect_to(1).unwrap();
    harness.receive(newest, &bye_request(7));
    assert_eq!(take_notifications(&mut harness, caller), [(binary::kind::RELEASE, 7, Some(16))]);
    assert_eq!(advance_with_port_up(&mut harness, 1, 10_000 * MS), 0);
}

/// A machine may accept connections while its process is gone or suspended.
#[test]
fn releases_calls_of_exchange_that_accepts_connections_without_greeting() {
    let mut harness = EngineHarness::new();
    let (exchange, caller) = (harness.establish(1), harness.accept_caller());
    harness.receive(exchange, &group_report(9));
    establish_call(&mut harness, caller, exchange, 7);
    advance_with_port_up(&mut harness, 1, 8_000 * MS);
    assert_eq!(take_notifications(&mut harness, caller), [(binary::kind::RELEASE, 7, Some(41))]);
}

#[test]
fn processes_input_on_liveness_check_and_releases_calls_at_returning_exchange() {
    let mut harness = EngineHarness::new();
    let (exchange, caller) = (harness.establish(1), harness.accept_caller());
    establish_call(&mut harness, caller, exchange, 7);
    establish_call(&mut harness, caller, exchange, 8);
    harness.advance(2_500 * MS);
    let check = harness.establish(1);
    assert_ne!(check, exchange);
    harness
        .receive(check, b"BYE sip:x@net SIP/2.0\r\nCall-ID: 0000000000000007\r\nCSeq: 2 BYE\r\nl: 0\r\n\r\n");
    assert_eq!(take_notifications(&mut harness, caller), [(binary::kind::RELEASE, 7, Some(16))]);
    assert!(starts_with_text(&harness.take_written(check), "SIP/2.0 200 OK"));
    harness.advance(8_000 * MS);
    assert_eq!(take_notifications(&mut harness, caller), [(binary::kind::RELEASE, 8, Some(41))]);
    assert!(harness.is_closed(exchange) && harness.is_closed(check));
    let again = harness.establish(1);
    assert!(
        starts_with_text(&harness.take_written(again), "BYE "),
        "the call may still stand at the exchange"
    );
}

/// Liveness checks that succeed must not hide that the exchange's connection is dead: releases of its calls sent
/// there would be lost.
#[test]
fn replaces_silent_connection_while_liveness_checks_succeed() {
    let mut harness = EngineHarness::new();
    let (silent, caller) = (harness.establish(1), harness.accept_caller());
    harness.receive(silent, &group_report(9));
    establish_call(&mut harness, caller, silent, 7);
    harness.advance(2_100 * MS);
    let check = harness.establish(1);
    for _ in 0..5 {
        harness.receive(check, &group_report(8));
        harness.advance(600 * MS);
    }
    assert!(harness.is_closed(silent) && !harness.is_closed(check));
    let again = harness.establish(1);
    assert!(again != silent && again != check);
    harness.receive(again, &bye_request(7));
    assert_eq!(take_notifications(&mut harness, caller), [(binary::kind::RELEASE, 7, Some(16))]);
}

/// Guards against the same while an attempt is pending that is never answered, for as long as its caller waits. A process that
/// answers a test on the connection keeps it.
#[test]
fn replaces_silent_connection_with_a_pending_attempt_unless_a_test_is_answered() {
    for passes_tests in [false, true] {
        let mut harness = EngineHarness::new();
        let (silent, caller) = (harness.establish(1), harness.accept_caller());
        harness.receive(silent, &group_report(9));
        establish_call(&mut harness, caller, silent, 7);
        harness.receive(caller, &set_up_message_with(8, "9000", DESCRIPTION));
        harness.receive(silent, &group_report(8));
        harness.take_written(silent);
        harness.advance(2_100 * MS);
        let check = harness.establish(1);
        for _ in 0..8 {
            harness.receive(check, &group_report(8));
            if passes_tests {
                answer_tests_if_any(&mut harness, silent);
            }
            harness.advance(500 * MS);
        }
        assert_eq!(harness.is_closed(silent), !passes_tests);
    }
}

/// Guards against taking an exchange that lost its calls while unreachable, and keeps its address and id, for one
/// that was only cut off; the calls would stand until the journal reports its start.
#[test]
fn releases_calls_only_if_returning_exchange_has_lost_them() {
    // Free circuits of nine, whether a connect fails before, and when the nine calls are released, if they are.
    let (at_first_comparison, at_exact_comparison) = (Some(700), Some(3_100));
    for (free, connect_fails, released_after_ms) in [
        (9, true, at_first_comparison),
        (5, true, at_first_comparison),
        (4, true, at_exact_comparison),
        (0, true, None),
        (9, false, at_first_comparison),
        (0, false, None),
    ] {
        let mut harness = EngineHarness::new();
        let (exchange, caller) = (harness.establish(1), harness.accept_caller());
        harness.receive(exchange, &group_report(9));
        for id in 1..=9 {
            establish_call(&mut harness, caller, exchange, id);
        }
        harness.receive(exchange, &group_report(0));
        harness.advance(1_100 * MS);
        harness.run_turn(|e| e.connection_lost(exchange));
        harness.advance(300 * MS);
        if connect_fails {
            let refused = harness.last_connect_to(1).unwrap();
            harness.run_turn(|e| e.connect_failed(refused, true));
            harness.advance(300 * MS);
        }
        let again = harness.establish(1);
        harness.receive(again, &group_report(free));
        harness.advance(500 * MS);
        assert_eq!(take_notifications(&mut harness, caller), [], "the exchange may still send releases");
        harness.advance((released_after_ms.unwrap_or(4_000) - 500) * MS);
        let cut = take_notifications(&mut harness, caller);
        assert_eq!(cut.len(), if released_after_ms.is_some() { 9 } else { 0 }, "{free} of 9 free: {cut:?}");
    }
}

/// Unacknowledged releases are sent again on a new connection. Guards against sending so many that the connection is
/// closed for its unsent bytes.
#[test]
fn limits_releases_repeated_to_returning_exchange() {
    const CALLS: u64 = 3_000;
    const MAX_REPEATED: usize = 1_024;
    let mut harness = EngineHarness::new();
    let (exchange, caller) = (harness.establish(1), harness.accept_caller());
    for id in 1..=CALLS {
        harness.receive_set_up(caller, id);
        harness.receive(exchange, &ok_response(id));
    }
    harness.advance(8_000 * MS);
    let again = harness.establish(1);
    harness.advance(10 * MS);
    assert!(!harness.is_closed(again));
    let written = harness.take_written(again);
    let byes = written.windows(4).filter(|w| w == b"BYE ").count();
    assert_eq!(byes, MAX_REPEATED, "as many as the unsent bytes of a connection allow");
    assert!(written.len() <= 256 * 1024, "{} bytes at once", written.len());
}

/// Guards against a call from before the start that is left standing: its release was lost when the connection to its
/// exchange was.
#[test]
fn repeats_release_of_unknown_call_on_the_next_connection() {
    let mut harness = EngineHarness::new();
    let caller = harness.accept_caller();
    harness.receive(caller, &release_message(99));
    harness.advance(600 * MS); // the connection did not come up in time
    harness.advance(250 * MS);
    let exchange = harness.establish(1);
    assert!(starts_with_text(&harness.take_written(exchange), "BYE "));
    harness.run_turn(|e| e.connection_lost(exchange));
    harness.advance(300 * MS);
    let exchange = harness.establish(1);
    assert!(starts_with_text(&harness.take_written(exchange), "BYE "));
    harness.receive(exchange, &bye_response(99));
    harness.run_turn(|e| e.connection_lost(exchange));
    harness.advance(300 * MS);
    let exchange = harness.establish(1);
    assert!(harness.take_written(exchange).is_empty(), "the exchange has heard it");
}

/// Guards against calls of a new process that are released when the journal reports the end of the old one, at whose
/// address it came up, and that are left standing there.
#[test]
fn calls_of_a_successor_at_the_same_address_outlive_its_predecessor() {
    let mut harness = EngineHarness::new();
    let (journal, caller) = (harness.establish(9), harness.accept_caller());
    let link = replace_process(&mut harness, caller);
    harness.receive(journal, &journal_event(2, &[("s-1", "DELETED"), ("s-9", "SERVING")]));
    answer_tests(&mut harness, link);
    harness.establish(1);
    harness.advance(500 * MS);
    let cut = take_notifications(&mut harness, caller);
    assert_eq!(cut, [(binary::kind::RELEASE, 7, Some(41))], "only the call of the old process has ended");
    harness.receive(caller, &release_message(8));
    let to_exchange = String::from_utf8_lossy(&harness.take_written(link)).into_owned();
    assert!(to_exchange.contains(&format!("Call-ID: {:016x}\r\nCSeq: 2147483647 BYE", 8)), "{to_exchange}");
}

/// A process that does not answer a test may be the one that has ended. The callers are told that their calls are over, and
/// then nothing may be left standing.
#[test]
fn calls_of_a_machine_that_is_gone_are_released_at_its_address_too() {
    let mut harness = EngineHarness::new();
    let (journal, caller) = (harness.establish(9), harness.accept_caller());
    let link = replace_process(&mut harness, caller);
    harness.receive(journal, &journal_event(2, &[("s-1", "DELETED")]));
    harness.advance(500 * MS);
    assert_eq!(take_notifications(&mut harness, caller).len(), 2);
    assert!(harness.is_closed(link), "what comes on it may be from the process that has ended");
    let again = harness.establish(1);
    let to_exchange = String::from_utf8_lossy(&harness.take_written(again)).into_owned();
    for id in [7, 8] {
        assert!(
            to_exchange.contains(&format!("Call-ID: {id:016x}\r\nCSeq: 2147483647 BYE")),
            "{to_exchange}"
        );
        harness.receive(again, &bye_response(id));
    }
    harness.advance(1_000 * MS);
    assert!(harness.is_closed(again), "the machine is removed");
}

/// A process that runs may have lost its calls all the same: its successor on the list reports how many circuits are in use.
#[test]
fn calls_at_the_address_of_a_successor_that_has_none_end() {
    for (free, calls_end) in [(9, true), (8, false)] {
        let mut harness = EngineHarness::new();
        let (journal, caller) = (harness.establish(9), harness.accept_caller());
        let link = replace_process(&mut harness, caller);
        harness.receive(journal, &journal_event(2, &[("s-1", "DELETED"), ("s-9", "SERVING")]));
        answer_tests(&mut harness, link);
        let successor = harness.establish(1);
        harness.receive(successor, &group_report(free));
        harness.advance(1_000 * MS);
        let cut = take_notifications(&mut harness, caller);
        let expected = [(binary::kind::RELEASE, 7, Some(41)), (binary::kind::RELEASE, 8, Some(41))];
        assert_eq!(cut, &expected[..if calls_end { 2 } else { 1 }], "{free} of 9 free");
    }
}

/// Guards against a call that stands at a machine which is not known any more, so that its release is not passed on: it was
/// answered on the link to the old machine just before that was removed (seed 5000 of the soak). That link is kept while
/// calls stand there.
#[test]
fn call_answered_before_its_machine_is_removed_is_released() {
    let mut harness = EngineHarness::new();
    let (journal, caller) = (harness.establish(9), harness.accept_caller());
    let link = replace_process(&mut harness, caller);
    harness.receive_set_up(caller, 9);
    harness.receive(journal, &journal_event(2, &[("s-1", "DELETED"), ("s-9", "SERVING")]));
    let successor = harness.establish(1);
    harness.receive(link, &group_report(1));
    answer_tests(&mut harness, link);
    harness.advance(260 * MS);
    harness.receive(link, &ok_response(9));
    harness.advance(500 * MS);
    assert!(!harness.is_closed(link));
    take_notifications(&mut harness, caller);
    harness.receive(successor, &bye_request(9));
    assert_eq!(take_notifications(&mut harness, caller), [(binary::kind::RELEASE, 9, Some(16))]);
    harness.receive(successor, &bye_request(8));
    harness.advance(1_000 * MS);
    assert!(harness.is_closed(link), "no call stands there any more");
}

/// Guards against calls that are left standing at a machine that was cut off: the releases of its calls wait for a connection
/// after it has left the list.
#[test]
fn releases_reach_a_machine_that_comes_back_after_it_was_reported_gone() {
    let mut harness = EngineHarness::new();
    let (journal, caller) = (harness.establish(9), harness.accept_caller());
    let link = replace_process(&mut harness, caller);
    harness.receive(journal, &journal_event(2, &[("s-1", "DELETED")]));
    harness.advance(5_000 * MS);
    assert!(harness.is_closed(link), "it does not answer");
    assert_eq!(take_notifications(&mut harness, caller).len(), 2);
    let again = (0..20).find_map(|_| {
        harness.advance(100 * MS);
        let last = harness.last_connect_to(1).unwrap();
        Some(last).filter(|conn| !harness.is_closed(*conn))
    });
    assert_eq!(again, harness.last_connect_to(1), "it is tried again");
    let again = harness.establish(1);
    let to_exchange = String::from_utf8_lossy(&harness.take_written(again)).into_owned();
    assert_eq!(to_exchange.matches("BYE ").count(), 2, "{to_exchange}");
}

/// Guards against connections that are tried for seconds at every machine that has gone with calls.
#[test]
fn machine_that_is_gone_and_refuses_connections_is_removed() {
    let mut harness = EngineHarness::new();
    let (journal, caller) = (harness.establish(9), harness.accept_caller());
    let link = replace_process(&mut harness, caller);
    harness.run_turn(|e| e.connection_lost(link));
    harness.receive(journal, &journal_event(2, &[("s-1", "DELETED")]));
    let mut refused = 0;
    for _ in 0..100 {
        let last = harness.last_connect_to(1).unwrap();
        if !harness.is_closed(last) {
            harness.run_turn(|e| e.connect_failed(last, true));
            refused += 1;
        }
        harness.advance(100 * MS);
    }
    assert_eq!(take_notifications(&mut harness, caller).len(), 2);
    assert!(refused <= 4, "{refused} connections refused");
}

/// The new process is listed once the old machine's calls were released: it may hold those of a lost connection.
#[test]
fn releases_for_a_machine_that_is_gone_are_left_to_its_successor() {
    let mut harness = EngineHarness::new();
    let (journal, caller) = (harness.establish(9), harness.accept_caller());
    let link = replace_process(&mut harness, caller);
    harness.run_turn(|e| e.connection_lost(link));
    harness.receive(journal, &journal_event(2, &[("s-1", "DELETED")]));
    harness.advance(600 * MS);
    assert_eq!(take_notifications(&mut harness, caller).len(), 2);
    harness.receive(journal, &journal_event(3, &[("s-9", "SERVING")]));
    let successor = harness.establish(1);
    harness.advance(600 * MS);
    let to_exchange = String::from_utf8_lossy(&harness.take_written(successor)).into_owned();
    for id in [7, 8] {
        assert!(
            to_exchange.contains(&format!("Call-ID: {id:016x}\r\nCSeq: 2147483647 BYE")),
            "{to_exchange}"
        );
    }
}

/// Guards against calls that are ended as their exchange does not report their circuits: they were answered after its report.
#[test]
fn calls_answered_after_the_report_of_circuits_in_use_stand() {
    let mut harness = EngineHarness::new();
    let (journal, caller) = (harness.establish(9), harness.accept_caller());
    let link = replace_process(&mut harness, caller);
    harness.receive(journal, &journal_event(2, &[("s-1", "DELETED"), ("s-9", "SERVING")]));
    answer_tests(&mut harness, link);
    let successor = harness.establish(1);
    harness.receive(successor, &group_report(8));
    harness.advance(300 * MS);
    assert_eq!(take_notifications(&mut harness, caller), [(binary::kind::RELEASE, 7, Some(41))]);
    for id in 20..26 {
        establish_call(&mut harness, caller, successor, id);
    }
    harness.take_written(successor);
    harness.advance(1_800 * MS);
    answer_tests(&mut harness, link);
    answer_tests(&mut harness, successor);
    harness.advance(4_000 * MS);
    assert_eq!(take_notifications(&mut harness, caller), []);
}

/// Guards against calls of a dead process that stand until the journal is heard again: its successor at the address has
/// calls of others, so that the circuits in use tell nothing. A process that lives on may lose connections.
#[test]
fn calls_of_a_lost_connection_end_if_the_journal_is_not_heard_and_stand_if_it_is() {
    for journal_answers in [false, true] {
        let mut harness = EngineHarness::new();
        let (journal, caller) = (harness.establish(9), harness.accept_caller());
        let exchange = harness.establish(1);
        harness.receive(exchange, &group_report(9));
        establish_call(&mut harness, caller, exchange, 7);
        harness.advance(1_100 * MS);
        harness.run_turn(|e| e.connection_lost(exchange));
        harness.advance(10 * MS);
        let again = harness.establish(1);
        for _ in 0..8 {
            harness.receive(again, &group_report(0));
            harness.advance(1_000 * MS);
            if journal_answers && !harness.take_written(journal).is_empty() {
                harness.receive(journal, &journal_answer(""));
            }
        }
        let cut = take_notifications(&mut harness, caller);
        let to_exchange = String::from_utf8_lossy(&harness.take_written(again)).into_owned();
        assert_eq!(cut.is_empty(), journal_answers, "{cut:?}");
        assert_eq!(to_exchange.contains("BYE "), !journal_answers, "{to_exchange}");
    }
}

/// Guards against the same with a connection that was lost while the journal was heard: the process may have ended since.
#[test]
fn calls_of_a_connection_lost_before_the_journal_fell_silent_end() {
    let mut harness = EngineHarness::new();
    let (journal, caller) = (harness.establish(9), harness.accept_caller());
    let exchange = harness.establish(1);
    establish_call(&mut harness, caller, exchange, 7);
    harness.advance(1_100 * MS);
    harness.run_turn(|e| e.connection_lost(exchange));
    harness.advance(10 * MS);
    let again = harness.establish(1);
    let mut cut = Vec::new();
    for second in 0..18 {
        harness.receive(again, &group_report(0));
        harness.advance(1_000 * MS);
        if second < 10 && !harness.take_written(journal).is_empty() {
            harness.receive(journal, &journal_answer(""));
        }
        cut.extend(take_notifications(&mut harness, caller));
        assert!(second >= 10 || cut.is_empty(), "the journal is heard");
    }
    assert_eq!(cut, [(binary::kind::RELEASE, 7, Some(41))]);
}

/// Guards against two attempts out at once: an exchange that fails set-ups is tried again at once, and the second copy of
/// its answer, some milliseconds later, was taken for the end of the next attempt.
#[test]
fn second_copy_of_a_failure_names_an_attempt_that_has_ended() {
    let mut harness = EngineHarness::new();
    let (exchange, caller) = (harness.establish(1), harness.accept_caller());
    // The exchange is known to repeat the numbers of requests, and to fail.
    for id in 1..=4 {
        harness.receive_set_up(caller, id);
        let (call, number) = take_set_ups(&mut harness, exchange)[0];
        harness.receive(exchange, &error_response(call, number));
        harness.receive(caller, &release_message(id));
    }
    harness.take_written(exchange);
    harness.receive_set_up(caller, 9);
    let (_, first) = take_set_ups(&mut harness, exchange)[0];
    harness.advance(20 * MS);
    harness.receive(exchange, &error_response(9, first));
    harness.advance(10 * MS);
    let second = take_set_ups(&mut harness, exchange);
    assert_eq!(second.len(), 1, "the exchange is at fault: one more attempt, which is out");
    harness.receive(exchange, &error_response(9, first));
    harness.advance(150 * MS);
    assert_eq!(take_set_ups(&mut harness, exchange), [], "the copy ends no attempt");
    // Its own answer ends it.
    harness.receive(exchange, &ok_response(9));
    assert!(take_notifications(&mut harness, caller).contains(&(binary::kind::ANSWER, 9, None)));
}

/// Guards against calls that are released although they stand: an exchange that takes no more connections refuses liveness
/// checks, while its own connection is in order.
#[test]
fn refused_liveness_checks_end_no_calls_while_the_connection_of_the_exchange_lives() {
    for answers_tests in [true, false] {
        let mut harness = EngineHarness::new();
        let (exchange, caller) = (harness.establish(1), harness.accept_caller());
        establish_call(&mut harness, caller, exchange, 7);
        harness.take_written(exchange);
        let (mut checks, mut tests) = (0, 0);
        for _ in 0..200 {
            let check = harness.last_connect_to(1).unwrap();
            if check != exchange && !harness.is_closed(check) {
                harness.run_turn(|e| e.connect_failed(check, true));
                checks += 1;
            }
            if starts_with_text(&harness.take_written(exchange), "OPTIONS sip:ping@net ") {
                tests += 1;
                let passed = "SIP/2.0 200 OK\r\nCall-ID: 0000000000000000\r\nCSeq: 1 OPTIONS\r\nl: 0\r\n\r\n";
                harness.receive(exchange, if answers_tests { passed.as_bytes() } else { b"" });
            }
            harness.advance(50 * MS);
        }
        assert!(tests >= 3 && (tests == checks || !answers_tests), "{checks} refused checks, {tests} tests");
        let cut = take_notifications(&mut harness, caller);
        // An exchange that does not answer has vanished for this process.
        assert_eq!(cut.is_empty(), answers_tests, "{cut:?}");
    }
}

/// Guards against closing the connection of an exchange that drains, for want of a reply to a set-up that was withdrawn.
#[test]
fn no_reply_is_due_to_a_set_up_that_was_withdrawn() {
    let mut harness = EngineHarness::new();
    let (journal, exchange) = (harness.establish(9), harness.establish(1));
    let caller = harness.accept_caller();
    let drain = journal_event(2, &[("s-1", "DRAINING")]);
    harness.blocked.insert(exchange);
    harness.receive_set_up(caller, 7);
    harness.receive(journal, &drain);
    harness.advance(500 * MS);
    assert!(!harness.is_closed(exchange));
}

#[test]
fn reconnects_after_connect_timeout_and_delay() {
    let mut harness = EngineHarness::new();
    let first = harness.last_connect_to(1).unwrap();
    harness.advance(499 * MS);
    assert!(!harness.is_closed(first), "before the connect timeout of the settings");
    harness.advance(MS);
    assert!(harness.is_closed(first));
    harness.advance(249 * MS);
    assert_eq!(harness.last_connect_to(1), Some(first));
    harness.advance(MS);
    assert_ne!(harness.last_connect_to(1), Some(first));
}

#[test]
fn replaces_connection_silent_after_set_up_and_doubles_its_timeout() {
    let mut harness = EngineHarness::new();
    let (first, caller) = (harness.establish(1), harness.accept_caller());
    harness.advance(1_000 * MS);
    harness.receive_set_up(caller, 7);
    assert!(starts_with_text(&harness.take_written(first), "INVITE "));
    harness.advance(199 * MS);
    assert!(!harness.is_closed(first));
    harness.advance(MS);
    assert!(harness.is_closed(first), "no input for 200 ms");
    harness.advance(MS);
    let second = harness.establish(1);
    assert_ne!(first, second);
    // The exchange may still hold circuits for the attempt: the call waits for their release before it is sent again.
    harness.advance(348 * MS);
    assert!(harness.take_written(second).is_empty());
    harness.advance(MS);
    assert!(starts_with_text(&harness.take_written(second), "INVITE "));
    harness.advance(399 * MS);
    assert!(!harness.is_closed(second));
    harness.advance(MS);
    assert!(harness.is_closed(second));
}

/// Guards against calls that are left standing: an exchange whose release waits in line reports one circuit less than calls
/// stand, and all of them were ended without a word to it.
#[test]
fn calls_that_end_by_comparison_with_circuits_are_released_at_the_exchange() {
    let mut harness = EngineHarness::new();
    let (exchange, caller) = (harness.establish(1), harness.accept_caller());
    for id in 1..=5 {
        establish_call(&mut harness, caller, exchange, id);
    }
    harness.advance(1_100 * MS);
    harness.run_turn(|e| e.connection_lost(exchange));
    harness.advance(300 * MS);
    let again = harness.establish(1);
    harness.receive(again, &group_report(5));
    harness.advance(4_000 * MS);
    assert_eq!(take_notifications(&mut harness, caller).len(), 5, "four circuits in use");
    let to_exchange = String::from_utf8_lossy(&harness.take_written(again)).into_owned();
    assert_eq!(to_exchange.matches("BYE ").count(), 5);
}

/// Guards against releases that a strict exchange rejects as out of order, and calls that are left standing.
#[test]
fn release_has_a_higher_number_than_the_set_up_of_its_call() {
    let mut harness = EngineHarness::new();
    let (exchange, caller) = (harness.establish(1), harness.accept_caller());
    for id in 1..=1_100 {
        establish_call(&mut harness, caller, exchange, id);
        harness.receive(caller, &release_message(id));
        harness.advance(20 * MS);
    }
    let written = harness.take_written(exchange);
    let (mut rest, mut set_up_numbers, mut releases) = (&written[..], [0; 1_101], 0);
    while let Some((message, length)) = sip::parse(rest).unwrap() {
        let call = message.call_id().unwrap() as usize;
        match message.cseq() {
            Some((number, b"INVITE")) => set_up_numbers[call] = number,
            Some((number, b"BYE")) => {
                assert!(number > set_up_numbers[call], "call {call}");
                releases += 1;
            }
            _ => {}
        }
        rest = &rest[length..];
    }
    assert_eq!(releases, 1_100);
}
