//! Tests of the engine without sockets: on which connections callers are told that their calls were released.

mod common;

use common::harness::*;
use common::DESCRIPTION;
use dillhold::codec::binary;
use dillhold::engine::ConnId;

/// Right after a start no caller is confirmed. Guards against sending the release of an older call to a single
/// connection, which may belong to another client.
#[test]
fn sends_release_to_all_possible_callers_if_none_is_confirmed() {
    let mut harness = EngineHarness::new();
    let (exchange, callers) = (harness.establish(1), [harness.accept_caller(), harness.accept_caller()]);
    let noisy = harness.accept_caller();
    harness.receive(noisy, &set_up_message(3, b"none"));
    harness.take_written(noisy);
    harness.receive(exchange, &bye_request(99));
    harness.advance(500 * MS);
    for caller in callers {
        assert_eq!(take_notifications(&mut harness, caller), [(binary::kind::RELEASE, 99, Some(16))]);
    }
    assert_eq!(take_notifications(&mut harness, noisy), []);
}

/// Guards against a release of a call from before the start that is told to nobody: callers that had released another
/// such call, or a set-up refused at the same moment, were taken for bad clients.
#[test]
fn caller_that_released_calls_from_before_the_start_is_told_of_others() {
    let mut harness = EngineHarness::new();
    let (exchange, caller) = (harness.establish(1), harness.accept_caller());
    for id in 1_000..1_400 {
        harness.receive(caller, &release_message(id));
    }
    for id in 2_000..2_400 {
        harness.receive(caller, &[set_up_message_with(id, "4", DESCRIPTION), release_message(id)].concat());
    }
    let mut progress = Vec::new();
    binary::write(&mut progress, 6, 1, &[]);
    harness.receive(caller, &progress.repeat(400));
    assert_eq!(take_notifications(&mut harness, caller).len(), 400, "too little time: refused");
    let to_exchange = String::from_utf8(harness.take_written(exchange)).unwrap();
    assert_eq!(to_exchange.matches("BYE ").count(), 400, "only those that may stand there");
    harness.receive(exchange, &bye_request(99));
    harness.advance(800 * MS);
    assert_eq!(take_notifications(&mut harness, caller), [(binary::kind::RELEASE, 99, Some(16))]);
}

/// Guards against a release that finds nobody and is never tried again.
#[test]
fn release_waits_for_a_connection_and_is_sent_on_further_ones() {
    let mut harness = EngineHarness::new();
    let (exchange, bad) = (harness.establish(1), harness.accept_caller());
    harness.receive(bad, &set_up_message(3, b"none"));
    harness.receive(exchange, &bye_request(99));
    harness.advance(20_000 * MS);
    let caller = harness.accept_caller();
    harness.advance(500 * MS);
    assert_eq!(take_notifications(&mut harness, caller), [(binary::kind::RELEASE, 99, Some(16))]);
    // Nobody knows whether that was a caller: one that comes after it is told too.
    let next = harness.accept_caller();
    harness.advance(500 * MS);
    assert_eq!(take_notifications(&mut harness, next), [(binary::kind::RELEASE, 99, Some(16))]);
    assert_eq!(take_notifications(&mut harness, caller), [], "once on each connection");
}

/// Guards against a crowd of silent clients that is told of calls in place of their callers.
#[test]
fn release_goes_to_clients_that_behave_like_callers_first() {
    let mut harness = EngineHarness::with_limits(256, 32);
    let (exchange, caller) = (harness.establish(1), harness.accept_caller());
    harness.receive(caller, &set_up_message_with(7, "4", DESCRIPTION));
    take_notifications(&mut harness, caller);
    for _ in 0..40 {
        harness.accept_caller();
    }
    harness.receive(exchange, &bye_request(99));
    harness.advance(500 * MS);
    assert_eq!(take_notifications(&mut harness, caller), [(binary::kind::RELEASE, 99, Some(16))]);
}

/// Guards against a release that is told to a crowd of idle clients in place of its caller, who came later than the crowd.
#[test]
fn release_waits_for_its_caller_beside_a_crowd_of_idle_clients() {
    let mut harness = EngineHarness::with_limits(512, 32);
    let exchange = harness.establish(1);
    let crowd: Vec<ConnId> = (0..100).map(|_| harness.accept_caller()).collect();
    harness.receive(exchange, &bye_request(99));
    harness.advance(2_400 * MS);
    let copies = crowd.iter().map(|conn| take_notifications(&mut harness, *conn).len()).collect::<Vec<_>>();
    assert!(copies.iter().all(|count| *count <= 1) && copies.contains(&1), "{copies:?}");
    harness.advance(3_000 * MS);
    let caller = harness.accept_caller();
    harness.receive_set_up(caller, 7);
    harness.receive(exchange, &ok_response(7));
    let expected = [(binary::kind::ANSWER, 7, None), (binary::kind::RELEASE, 99, Some(16))];
    assert_eq!(take_notifications(&mut harness, caller), expected);
    assert_eq!(table_size(&harness, "releases that wait for a caller"), 0);
}

/// Guards against copies that multiply: a connection that was sent one and closed within a second had the release queued
/// again, once for each connection, and the caller was told of it as often.
#[test]
fn crowd_that_comes_and_goes_does_not_multiply_a_release() {
    let mut harness = EngineHarness::with_limits(512, 32);
    let exchange = harness.establish(1);
    harness.receive(exchange, &[bye_request(98), bye_request(99)].concat());
    for _ in 0..8 {
        let crowd: Vec<ConnId> = (0..100).map(|_| harness.accept_caller()).collect();
        harness.advance(700 * MS);
        for conn in crowd {
            harness.run_turn(|e| e.connection_lost(conn));
        }
        assert_eq!(table_size(&harness, "releases that wait for a caller"), 2);
    }
    let caller = harness.accept_caller();
    harness.receive_set_up(caller, 7);
    harness.receive(exchange, &ok_response(7));
    let expected = [(binary::kind::ANSWER, 7, None), (12, 98, Some(16)), (12, 99, Some(16))];
    assert_eq!(take_notifications(&mut harness, caller), expected);
    // A connection that closes right after it was told has perhaps not received it: the next caller is told.
    harness.run_turn(|e| e.connection_lost(caller));
    assert_eq!(table_size(&harness, "releases that wait for a caller"), 2);
}

/// Guards against a release that is lost with the process, as it was acknowledged to its exchange before any caller was told:
/// an exchange sends what was not acknowledged to the next process too.
#[test]
fn release_of_a_call_from_before_the_start_is_acknowledged_once_its_wait_ends() {
    for a_caller_comes in [true, false] {
        let mut harness = EngineHarness::new();
        let (exchange, idle) = (harness.establish(1), harness.accept_caller());
        harness.receive(exchange, &bye_request(99));
        harness.advance(2_000 * MS);
        assert_eq!(take_notifications(&mut harness, idle), [(binary::kind::RELEASE, 99, Some(16))], "a copy");
        assert!(harness.take_written(exchange).is_empty(), "it still waits for a caller");
        if a_caller_comes {
            let caller = harness.accept_caller();
            harness.receive_set_up(caller, 7);
            harness.receive(exchange, &ok_response(7));
        } else {
            harness.advance(8_000 * MS);
        }
        let to_exchange = String::from_utf8_lossy(&harness.take_written(exchange)).into_owned();
        let acknowledgement = format!("SIP/2.0 200 OK\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {:016x}", 99);
        assert!(to_exchange.contains(&acknowledgement), "{to_exchange}");
        // Another copy of the release crosses its end.
        harness.receive(exchange, &bye_request(99));
        assert!(harness.take_written(exchange).starts_with(b"SIP/2.0 200 OK"));
    }
}
