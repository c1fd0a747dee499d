//! Tests of the engine without sockets: time and connection events are its input, socket operations its output.

mod common;

use common::harness::*;
use common::{journal_target, DESCRIPTION};
use dillhold::codec::binary;
use dillhold::engine::{Engine, Interest, Output};
use pitchgw::interface::Nanos;

#[test]
fn listens_and_connects_at_start_and_passes_a_call() {
    let mut harness = EngineHarness::new();
    assert_eq!(harness.outputs[0], Output::Listen("127.0.0.1:5".parse().unwrap()));
    let journal = harness.establish(9);
    assert!(starts_with_text(&harness.take_written(journal), "GET /journal?tail=1&"));
    let exchange = harness.establish(1);
    let caller = harness.accept_caller();
    harness.receive_set_up(caller, 7);
    let invite = harness.take_written(exchange);
    assert!(starts_with_text(&invite, "INVITE sip:77@net ") && invite.ends_with(DESCRIPTION));
    harness.advance(20 * MS);
    harness.receive(exchange, &ok_response(7));
    assert!(starts_with_text(&harness.take_written(exchange), "ACK "));
    let written = harness.take_written(caller);
    let (answer, _) = binary::parse(&written).unwrap().unwrap();
    assert_eq!((answer.kind, answer.call_id), (binary::kind::ANSWER, 7));
    assert_eq!(answer.parameter(binary::param::DESCRIPTION), Some(DESCRIPTION));
}

#[test]
fn writes_answer_before_closing_connection_with_unreadable_input() {
    let mut harness = EngineHarness::new();
    let caller = harness.accept_caller();
    let mut bytes = Vec::new();
    binary::write(&mut bytes, binary::kind::TEST, 3, &[(binary::param::CAUSE, &[0])]);
    bytes.extend([0, 1, 2, 3]);
    harness.receive(caller, &bytes);
    let written = harness.take_written(caller);
    assert_eq!(binary::parse(&written).unwrap().unwrap().0.kind, binary::kind::TEST_RESPONSE);
    assert!(harness.is_closed(caller));
    let mut has_read_buffer = true;
    harness.run_turn(|e| has_read_buffer = e.read_buffer(caller).is_some());
    assert!(!has_read_buffer, "the connection is not read any more");
}

#[test]
fn answers_half_closed_caller_before_closing() {
    let mut harness = EngineHarness::new();
    let (exchange, caller) = (harness.establish(1), harness.accept_caller());
    harness.receive_set_up(caller, 7);
    harness.run_turn(|e| e.read_closed(caller));
    assert!(!harness.is_closed(caller), "an answer is pending");
    assert_eq!(harness.interest.last(), Some(&(caller, Interest { readable: false, writable: false })));
    harness.receive(exchange, &ok_response(7));
    assert!(!harness.take_written(caller).is_empty() && harness.is_closed(caller));
}

#[test]
fn shutdown_serves_then_stops_listening_then_stops_when_unused() {
    let mut harness = EngineHarness::new();
    let (exchange, caller) = (harness.establish(1), harness.accept_caller());
    harness.run_turn(Engine::shut_down);
    harness.advance(600 * MS);
    assert!(!harness.outputs.contains(&Output::StopListening), "callers still connect");
    harness.receive_set_up(caller, 7);
    harness.receive(exchange, b"OPTIONS sip:x@net SIP/2.0\r\nCall-ID: 1\r\nCSeq: 1 OPTIONS\r\nl: 0\r\n\r\n");
    harness.advance(200 * MS);
    assert!(harness.outputs.contains(&Output::StopListening));
    harness.advance(200 * MS);
    assert!(!harness.outputs.contains(&Output::ShutdownWrite(caller)), "a set-up is open");
    harness.receive(exchange, &ok_response(7));
    assert_eq!(take_notifications(&mut harness, caller), [(binary::kind::ANSWER, 7, None)]);
    harness.advance(1_000 * MS);
    assert!(!harness.outputs.contains(&Output::ShutdownWrite(caller)), "a call stands");
    harness.receive(exchange, &bye_request(7));
    assert_eq!(take_notifications(&mut harness, caller), [(binary::kind::RELEASE, 7, Some(16))]);
    harness.advance(200 * MS);
    assert!(harness.outputs.contains(&Output::ShutdownWrite(caller)), "the connection is unused");
    assert!(harness.outputs.contains(&Output::Stop));
}

/// Guards against set-ups left without an answer at the exit: those still open, and those that came on open
/// connections and were accepted until the end.
#[test]
fn shutdown_refuses_late_set_ups_and_stops_before_sigkill() {
    let mut harness = EngineHarness::new();
    let (exchange, caller) = (harness.establish(1), harness.accept_caller());
    establish_call(&mut harness, caller, exchange, 1);
    harness.run_turn(Engine::shut_down);
    harness.receive_set_up(caller, 7);
    // A second signal does not restart the shutdown.
    harness.advance(500 * MS);
    harness.run_turn(Engine::shut_down);
    harness.advance(250 * MS);
    let _ = take_notifications(&mut harness, caller);
    for (id, wait) in [(8, 0), (9, 2_000)] {
        harness.advance(wait * MS);
        harness.receive_set_up(caller, id);
        let refusal = take_notifications(&mut harness, caller).into_iter().find(|t| t.1 == id);
        assert_eq!(refusal, Some((binary::kind::RELEASE, id, Some(42))), "at once");
    }
    // The longest deadline is 9 s and counts as 3 s: SIGKILL may come 3.7 s after the signal.
    harness.advance(850 * MS);
    assert!(harness.outputs.contains(&Output::Stop), "3.6 s after the signal");
}

#[test]
fn shutdown_answers_set_up_whose_timeout_ends_later() {
    let mut harness = EngineHarness::new();
    let (exchange, caller) = (harness.establish(1), harness.accept_caller());
    harness.advance(1_000 * MS);
    harness.run_turn(Engine::shut_down);
    harness.advance(650 * MS);
    harness.receive_set_up(caller, 7); // its timeout ends 50 ms after the shutdown
    let mut answers = Vec::new();
    for _ in 0..58 {
        // The exchange is alive but does not answer.
        let at = harness.last_connect_to(1).unwrap();
        if at == exchange {
            harness.receive(at, &group_report(3));
        } else {
            harness.establish(1);
        }
        harness.advance(50 * MS);
        answers.extend(take_notifications(&mut harness, caller));
    }
    assert_eq!(answers.len(), 1, "{answers:?}");
    assert_eq!((answers[0].0, answers[0].1), (binary::kind::RELEASE, 7));
}

/// Guards against closing a connection in the turn in which its answer was decided, before the answer was written.
#[test]
fn writes_answer_before_closing_unused_connection() {
    let mut harness = EngineHarness::new();
    let (exchange, caller) = (harness.establish(1), harness.accept_caller());
    harness.run_turn(Engine::shut_down);
    harness.advance(400 * MS);
    harness.receive_set_up(caller, 7);
    harness.receive(exchange, &group_report(3));
    harness.advance(350 * MS);
    assert!(
        harness.outputs.contains(&Output::StopListening)
            && take_notifications(&mut harness, caller).is_empty()
    );
    // The exchange is alive but does not answer: the call's time is up 3.4 s after the signal.
    for _ in 0..26 {
        harness.receive(exchange, &group_report(3));
        harness.advance(100 * MS);
    }
    harness.advance(30 * MS);
    assert_eq!(take_notifications(&mut harness, caller), [], "3.38 s after the signal");
    // The answer and the check for unused connections are due in one turn.
    harness.now += 40 * MS;
    harness.run_turn(|_| {});
    let answers = take_notifications(&mut harness, caller);
    assert_eq!(answers.len(), 1, "{answers:?}");
    assert_eq!((answers[0].0, answers[0].1), (binary::kind::RELEASE, 7));
}

/// Guards against a timeout so short that a slow service is sent request after request and its answers are never
/// read.
#[test]
fn waits_for_slow_journal_and_retries_silent_one_before_updates_count_as_known() {
    let mut harness = EngineHarness::new();
    let journal = harness.establish(9);
    harness.advance(3_300 * MS);
    assert!(!harness.is_closed(journal), "the requested wait of 2 s ended 1.3 s ago");
    harness.receive(journal, b"HTTP/1.1 200 OK\r\nContent-Length: 22\r\n\r\n{\"pos\":1,\"entries\":[]}");
    harness.advance(5 * MS);
    let request = harness.take_written(journal);
    assert!(request.ends_with(b"\r\n\r\n") && starts_with_text(&request, "GET /journal?tail=1&"));
    harness.advance(3_395 * MS);
    assert_eq!(harness.last_connect_to(9), Some(journal), "the request has not timed out");
    harness.advance(205 * MS);
    let again = harness.establish(9);
    assert!(
        again != journal && starts_with_text(&harness.take_written(again), "GET /journal?tail=1&"),
        "3.6 s after the request"
    );
    // The old connection is kept for its answer only, and for a limited time.
    harness.advance(3_300 * MS);
    assert!(!harness.is_closed(journal));
    harness.advance(200 * MS);
    assert!(harness.is_closed(journal) && harness.take_written(journal).is_empty());
    let open = harness.outputs.iter().filter_map(|output| match output {
        Output::Connect { conn, to } if to.port() == 9 => Some(*conn),
        _ => None,
    });
    assert!(open.filter(|conn| !harness.is_closed(*conn)).count() <= 2, "one request, and one that is late");
}

/// Guards against a service that is slow all the time and never heard: each request was abandoned before its answer came.
#[test]
fn hears_a_slow_journal_service_and_sends_it_one_request_at_a_time() {
    const ANSWER_TAKES: Nanos = 6_000 * MS; // 2 s of the requested wait and 4 s
    let mut harness = EngineHarness::new();
    let first = harness.establish(9);
    harness.advance(3_650 * MS);
    let second = harness.establish(9);
    assert_ne!(first, second);
    assert!(starts_with_text(&harness.take_written(second), "GET /journal?tail=1&"));
    harness.advance(ANSWER_TAKES - 3_650 * MS);
    let drain = journal_target(1, "s-1", "127.0.0.1:1".parse().unwrap(), "DRAINING");
    let event = serde_json::json!({"pos": 2, "hosts": {"rev": 2, "all": false, "targets": [drain]}});
    harness.receive(first, &journal_answer(&event.to_string()));
    assert!(harness.is_closed(first));
    // The event was applied: nothing is sent to an exchange that drains.
    let (exchange, caller) = (harness.establish(1), harness.accept_caller());
    harness.receive_set_up(caller, 7);
    harness.advance(50 * MS);
    assert!(!harness.take_written(exchange).windows(7).any(|w| w == b"INVITE "));
    // From now on requests are given that time.
    harness.advance(3_550 * MS);
    assert_eq!(harness.last_connect_to(9), Some(second), "the second request goes on");
    for _ in 0..3 {
        harness.receive(second, &journal_answer(""));
        harness.advance(ANSWER_TAKES);
        assert!(starts_with_text(&harness.take_written(second), "GET /journal?tail=2&"));
        assert_eq!(harness.last_connect_to(9), Some(second), "one request at a time");
    }
}

/// Guards against closing the connection before a refusal is written that follows in the turn of the half-close.
#[test]
fn answers_set_up_followed_by_half_close_in_same_turn() {
    let mut harness = EngineHarness::new();
    harness.establish(1);
    let caller = harness.accept_caller();
    let bytes = set_up_message(7, b"none");
    harness.run_turn(|e| {
        for part in bytes.chunks(64) {
            e.read_buffer(caller).unwrap()[..part.len()].copy_from_slice(part);
            e.bytes_read(caller, part.len());
        }
        e.read_closed(caller);
    });
    assert_eq!(take_notifications(&mut harness, caller), [(binary::kind::RELEASE, 7, Some(41))]);
    assert!(harness.is_closed(caller));
    // The same without anything to answer.
    let silent = harness.accept_caller();
    harness.run_turn(|e| e.read_closed(silent));
    assert!(harness.is_closed(silent));
}

#[test]
fn same_input_gives_same_output() {
    let run = || {
        let mut harness = EngineHarness::new();
        let exchanges = [harness.establish(1), harness.establish(2)];
        let caller = harness.accept_caller();
        for id in 1..40u64 {
            harness.receive_set_up(caller, 0x9e37_79b9_7f4a_7c15u64.wrapping_mul(id));
        }
        harness.advance(30 * MS);
        // All attempts end in one turn, and their order must not differ between runs.
        harness.run_turn(|e| exchanges.into_iter().for_each(|x| e.connection_lost(x)));
        harness.advance(2_000 * MS);
        (harness.outputs, harness.written)
    };
    assert_eq!(run(), run());
}

/// Guards against a caller that loses the answers to its set-ups because it sent something unreadable after them.
#[test]
fn unreadable_caller_gets_its_answers_and_is_closed_then() {
    let mut harness = EngineHarness::new();
    let (exchange, caller) = (harness.establish(1), harness.accept_caller());
    harness.receive(caller, &[set_up_message(7, b"view"), vec![0, 1, 2, 3]].concat());
    assert!(!harness.is_closed(caller), "a set-up is open");
    assert_eq!(harness.interest.last(), Some(&(caller, Interest { readable: false, writable: false })));
    harness.receive(exchange, &ok_response(7));
    assert_eq!(take_notifications(&mut harness, caller), [(binary::kind::ANSWER, 7, None)]);
    // What it sent afterwards was not read: closing the socket at once could discard the answer.
    assert!(harness.outputs.contains(&Output::ShutdownWrite(caller)));
    harness.advance(1_000 * MS);
    assert!(harness.is_closed(caller));
}

/// Guards against a caller that is closed in the middle of a message while its set-up is open.
#[test]
fn caller_silent_in_the_middle_of_a_message_gets_its_answer() {
    let mut harness = EngineHarness::new();
    let (exchange, caller) = (harness.establish(1), harness.accept_caller());
    harness.receive(caller, &[set_up_message_with(7, "9000", DESCRIPTION), half_message()].concat());
    harness.receive(exchange, &group_report(20));
    harness.advance(3_250 * MS);
    assert!(!harness.is_closed(caller), "a set-up is open");
    harness.receive(exchange, &ok_response(7));
    assert_eq!(take_notifications(&mut harness, caller), [(binary::kind::ANSWER, 7, None)]);
    harness.advance(500 * MS);
    assert!(harness.is_closed(caller), "its message was incomplete for too long");
}

/// Guards against an answer that is decided in the turn in which its quiet connection is closed as idle (seed 50058 of
/// the soak): it was in the buffer, but not written.
#[test]
fn writes_answer_before_closing_idle_connection() {
    let mut harness = EngineHarness::new();
    let (exchange, caller) = (harness.establish(1), harness.accept_caller());
    harness.receive(caller, &set_up_message_with(7, "9000", DESCRIPTION));
    harness.receive(exchange, &group_report(20));
    harness.advance(8_000 * MS);
    for id in 100..110 {
        let other = harness.accept_caller();
        harness.receive(other, &set_up_message(id, b"none"));
    }
    harness.advance(980 * MS);
    assert_eq!(take_notifications(&mut harness, caller), []);
    // The answer is due at 8.99 s, a check of the connection at 9 s.
    harness.now += 30 * MS;
    harness.run_turn(|_| {});
    assert_eq!(take_notifications(&mut harness, caller).len(), 1, "the final answer");
    harness.advance(1_000 * MS);
    assert!(harness.is_closed(caller), "idle");
}
