//! Tests of the engine without sockets: bounds on memory and work, and clients that exceed them.

mod common;

use common::harness::*;
use dillhold::codec::binary;
use dillhold::engine::{ConnId, Output};

fn deadline_count(harness: &EngineHarness) -> usize {
    table_size(harness, "deadlines")
}

fn buffer_bytes(harness: &EngineHarness) -> usize {
    table_size(harness, "bytes of buffers")
}

/// Memory for buffers with the least limit on memory.
const LEAST_BUFFER_BYTES: usize = 4 * 1024 * 1024;

/// Passes input of several connections in one turn, as far as they are read. Returns the number of commands that it
/// caused.
fn receive_at_once(harness: &mut EngineHarness, input: &[(ConnId, Vec<u8>)]) -> usize {
    harness.engine.begin_turn(harness.now);
    for (conn, bytes) in input {
        for part in bytes.chunks(64) {
            let Some(buffer) = harness.engine.read_buffer(*conn) else { continue };
            buffer[..part.len()].copy_from_slice(part);
            harness.engine.bytes_read(*conn, part.len());
        }
    }
    let commands = table_size(harness, "commands");
    harness.engine.handle_deadlines();
    harness.finish_turn();
    commands
}

/// Guards against memory that grows with every connection made: the first check of a connection stayed among the
/// deadlines after its connection was closed.
#[test]
fn deadlines_end_with_their_connection() {
    let mut harness = EngineHarness::new();
    let at_first = deadline_count(&harness);
    for _ in 0..1_000 {
        let caller = harness.accept_caller();
        harness.run_turn(|e| e.connection_lost(caller));
    }
    assert_eq!(deadline_count(&harness), at_first);
}

/// Guards against a queue that grows with every message of an exchange: each set-up after a reply added a reply timeout,
/// and each message in pieces a timeout for its rest.
#[test]
fn connection_has_one_deadline_of_each_kind() {
    let mut harness = EngineHarness::new();
    let (exchange, caller) = (harness.establish(1), harness.accept_caller());
    let mut highest = Vec::new();
    for first_id in [1_000, 2_000] {
        for id in first_id..first_id + 50 {
            harness.receive_set_up(caller, id);
            let report = group_report(20);
            harness.receive(exchange, &report[..report.len() / 2]);
            harness.receive(exchange, &report[report.len() / 2..]);
            harness.receive(caller, &release_message(id));
        }
        highest.push(deadline_count(&harness));
    }
    assert_eq!(highest[0], highest[1]);
}

/// Guards against set-ups lost with their connection when memory is short: a crowd that stops half way through messages
/// held the memory, and callers that came on top were closed for it.
#[test]
fn crowd_with_half_messages_is_closed_before_callers_with_open_set_ups() {
    let mut harness = EngineHarness::with_limits(1024, 16);
    let (exchange, caller) = (harness.establish(1), harness.accept_caller());
    let crowd: Vec<ConnId> = (0..300).map(|_| harness.accept_caller()).collect();
    for conn in &crowd {
        harness.receive(*conn, &half_message());
    }
    harness.receive_set_up(caller, 1);
    let post = set_up_message_with(2, "3000", &[b'y'; 12_000]);
    harness.receive(caller, &post[..9_000]);
    harness.advance(20 * MS);
    harness.receive(caller, &post[9_000..]);
    assert!(!harness.is_closed(caller), "set-ups are open on it");
    harness.receive(exchange, &[ok_response(1), ok_response(2)].concat());
    let answers = take_notifications(&mut harness, caller);
    assert_eq!(answers, [(binary::kind::ANSWER, 1, None), (binary::kind::ANSWER, 2, None)]);
    assert!(crowd.iter().any(|conn| harness.is_closed(*conn)), "the crowd is closed instead");
    assert!(buffer_bytes(&harness) <= LEAST_BUFFER_BYTES);
}

/// The bound holds also if set-ups are open on every connection that takes memory. They are failed, not lost.
#[test]
fn open_set_ups_are_failed_before_their_connection_is_closed_for_memory() {
    let mut harness = EngineHarness::with_limits(1024, 16);
    let (exchange, usual) = (harness.establish(1), harness.accept_caller());
    // Prompt answers, so that the decision module goes on sending.
    for id in 1_000..1_200 {
        establish_call(&mut harness, usual, exchange, id);
        harness.receive(exchange, &bye_request(id));
        take_notifications(&mut harness, usual);
    }
    let mut crowd = Vec::new();
    for id in 1..=300 {
        let conn = harness.accept_caller();
        harness.receive(conn, &[set_up_message(id, b"view"), half_message()].concat());
        harness.receive(exchange, &group_report(20));
        crowd.push((conn, id));
        assert!(buffer_bytes(&harness) <= LEAST_BUFFER_BYTES);
    }
    harness.advance(100 * MS);
    let mut failed = 0;
    for (conn, id) in crowd {
        let ended = harness.is_closed(conn) || harness.outputs.contains(&Output::ShutdownWrite(conn));
        let answers = take_notifications(&mut harness, conn);
        assert!(answers.len() == 1 || answers.is_empty() && !ended, "one final answer, before the close");
        failed += usize::from(ended && answers == [(binary::kind::RELEASE, id, Some(41))]);
    }
    assert!(failed > 0, "memory was short");
}

/// A caller that reads nothing does not keep its connection with what was written for it.
#[test]
fn answers_that_are_not_read_keep_a_connection_for_a_limited_time() {
    let mut harness = EngineHarness::new();
    let (exchange, caller) = (harness.establish(1), harness.accept_caller());
    harness.blocked.insert(caller);
    harness.receive(caller, &[set_up_message(7, b"view"), vec![0, 1, 2, 3]].concat());
    harness.receive(exchange, &ok_response(7));
    harness.advance(4_900 * MS);
    assert!(!harness.is_closed(caller), "an answer is unwritten");
    harness.advance(700 * MS);
    assert!(harness.is_closed(caller));
}

/// Guards against a process that is killed for its memory: a crowd that released unknown calls made it collect a command
/// for each release and exchange before the first of them was carried out.
#[test]
fn crowd_that_releases_unknown_calls_causes_a_bounded_number_of_commands() {
    const MAX_COMMANDS: usize = 1_000;
    const MAX_UNKNOWN_RELEASES: usize = 4_096;
    let mut harness = EngineHarness::with_limits(1024, 32);
    let exchange = harness.establish(1);
    let crowd: Vec<ConnId> = (0..300).map(|_| harness.accept_caller()).collect();
    let releases_of = |conn: &ConnId| (0..600).flat_map(|n| release_message((conn << 20) + n)).collect();
    let input: Vec<(ConnId, Vec<u8>)> = crowd.iter().map(|conn| (*conn, releases_of(conn))).collect();
    let commands = receive_at_once(&mut harness, &input);
    assert!(commands <= MAX_COMMANDS, "{commands} commands in one turn");
    for _ in 0..400 {
        harness.now += 5 * MS;
        let commands = receive_at_once(&mut harness, &[]);
        assert!(commands <= MAX_COMMANDS, "{commands} commands in a later turn");
        assert!(table_size(&harness, "releases of unknown calls") <= MAX_UNKNOWN_RELEASES);
    }
    let to_exchange = String::from_utf8(harness.take_written(exchange)).unwrap();
    let byes = to_exchange.matches("BYE ").count();
    assert!((400..=1_000).contains(&byes), "{byes} requests to an exchange in 2 s");
}

/// Guards against callers whose releases and set-ups wait in line at the exchanges behind those of a client that sends at
/// full speed.
#[test]
fn client_at_full_speed_does_not_delay_callers() {
    const BURST_TURNS: u64 = 100;
    const MAX_BYTES_AHEAD: usize = 1_024;
    let mut harness = EngineHarness::with_limits(1024, 32);
    let (exchange, caller) = (harness.establish(1), harness.accept_caller());
    establish_call(&mut harness, caller, exchange, 7);
    let mut bad = harness.accept_caller();
    let mut flood = ((1u64 << 40)..).map(release_message);
    for turn in 0..2 * BURST_TURNS {
        if turn % 4 == 0 {
            harness.run_turn(|e| e.connection_lost(bad));
            bad = harness.accept_caller();
        }
        harness.now += 5 * MS;
        let unknown: Vec<u8> = flood.by_ref().take(1_000).flatten().collect();
        // Half as many releases as are sent of all clients together.
        let releases_call = turn % 2 == 0;
        let mut requests = set_up_message(5_000 + turn, b"view");
        requests.extend(if releases_call { release_message(1_000 + turn) } else { Vec::new() });
        receive_at_once(&mut harness, &[(bad, unknown), (caller, requests)]);
        let to_exchange = String::from_utf8_lossy(&harness.take_written(exchange)).into_owned();
        let invite = to_exchange.find("INVITE ").expect("the set-up is not delayed");
        let release = to_exchange.find(&format!("Call-ID: {:016x}\r\nCSeq: 2147483647 BYE", 1_000 + turn));
        if turn >= BURST_TURNS {
            assert!(invite <= MAX_BYTES_AHEAD, "{invite} bytes ahead of a set-up");
            assert_eq!(release.is_some(), releases_call, "confirmed callers come first");
        }
        harness.receive(exchange, &ok_response(5_000 + turn));
    }
}

/// Guards against a set-up that is never answered: another client released its id.
#[test]
fn open_set_up_is_given_up_on_its_own_connection_only() {
    let mut harness = EngineHarness::new();
    let (exchange, caller, bad) = (harness.establish(1), harness.accept_caller(), harness.accept_caller());
    harness.receive_set_up(caller, 7);
    harness.receive_set_up(caller, 8);
    harness.take_written(exchange);
    let foreign_set_up = set_up_message_with(7, "3000", b"another description");
    harness.receive(bad, &[foreign_set_up, release_message(7)].concat());
    harness.receive(caller, &release_message(8));
    let to_exchange = String::from_utf8_lossy(&harness.take_written(exchange)).into_owned();
    assert!(!to_exchange.contains(&format!("{:016x}", 7)), "{to_exchange}");
    assert!(to_exchange.starts_with("CANCEL ") && to_exchange.contains(&format!("{:016x}", 8)));
    assert_eq!(take_notifications(&mut harness, bad), [(binary::kind::RELEASE, 7, Some(41))]);
    harness.receive(exchange, &ok_response(7));
    assert_eq!(take_notifications(&mut harness, caller), [(binary::kind::ANSWER, 7, None)]);
    // No connection owns a call that stands.
    harness.receive(bad, &release_message(7));
    assert!(harness.take_written(exchange).windows(4).any(|w| w == b"BYE "));
}

/// Guards against set-ups that are sent on although their client has closed its connection, with much of what it sent
/// still unread. Its releases count: a call that stands belongs to no connection.
#[test]
fn set_ups_of_a_client_that_left_are_not_sent_on_and_its_releases_are() {
    let mut harness = EngineHarness::new();
    let (exchange, caller) = (harness.establish(1), harness.accept_caller());
    establish_call(&mut harness, caller, exchange, 7);
    harness.receive_set_up(caller, 8);
    harness.take_written(exchange);
    harness.run_turn(|e| e.peer_closed(caller));
    let to_exchange = String::from_utf8_lossy(&harness.take_written(exchange)).into_owned();
    assert!(to_exchange.starts_with("CANCEL "), "nobody awaits its answer: {to_exchange}");
    let unread = [set_up_message(9, b"view"), release_message(7)].concat();
    harness.receive(caller, &unread);
    harness.run_turn(|e| e.read_closed(caller));
    let to_exchange = String::from_utf8_lossy(&harness.take_written(exchange)).into_owned();
    assert!(to_exchange.contains("BYE ") && !to_exchange.contains("INVITE "), "{to_exchange}");
    assert!(harness.is_closed(caller));
    // An id that has run does not run again, and one that has not is accepted.
    let other = harness.accept_caller();
    harness.receive_set_up(other, 8);
    assert_eq!(take_notifications(&mut harness, other), [(binary::kind::RELEASE, 8, Some(41))]);
    harness.receive_set_up(other, 9);
    assert!(starts_with_text(&harness.take_written(exchange), "INVITE "));
}

/// Guards against a release that is lost in the buffer of a connection whose input waits for a later turn.
#[test]
fn deferred_releases_of_a_lost_connection_are_carried_out() {
    let mut harness = EngineHarness::new();
    let (exchange, caller) = (harness.establish(1), harness.accept_caller());
    establish_call(&mut harness, caller, exchange, 7);
    let mut input: Vec<u8> = (0..200).flat_map(|n| set_up_message(1_000 + n, b"none")).collect();
    input.extend([set_up_message(9, b"view"), release_message(7)].concat());
    harness.take_written(exchange);
    receive_at_once(&mut harness, &[(caller, input)]);
    assert!(harness.take_written(exchange).is_empty(), "the rest waits for its turn");
    harness.run_turn(|e| e.connection_lost(caller));
    let to_exchange = String::from_utf8_lossy(&harness.take_written(exchange)).into_owned();
    assert!(to_exchange.contains("BYE ") && !to_exchange.contains("INVITE "), "{to_exchange}");
}

/// Guards against a caller with a backlog that is never served while ever new connections use up the budget of each turn.
#[test]
fn ever_new_connections_do_not_starve_one_with_a_backlog() {
    let mut harness = EngineHarness::with_limits(1024, 32);
    let exchange = harness.establish(1);
    let caller = harness.accept_caller();
    let backlog: Vec<u8> = (0..100).flat_map(|n| set_up_message(1_000 + n, b"none")).collect();
    receive_at_once(&mut harness, &[(caller, [backlog, set_up_message(7, b"view")].concat())]);
    harness.take_written(exchange);
    let mut crowd: Vec<ConnId> = Vec::new();
    for _ in 0..100 {
        harness.now += 5 * MS;
        harness.engine.begin_turn(harness.now);
        for conn in crowd.drain(..) {
            harness.engine.connection_lost(conn);
        }
        for _ in 0..40 {
            let conn = harness.engine.accepted().expect("capacity for a caller");
            for n in 0..20 {
                let message = set_up_message((conn << 20) + n, b"none");
                harness.engine.read_buffer(conn).unwrap()[..message.len()].copy_from_slice(&message);
                harness.engine.bytes_read(conn, message.len());
            }
            crowd.push(conn);
        }
        harness.engine.handle_deadlines();
        harness.finish_turn();
        if starts_with_text(&harness.take_written(exchange), "INVITE ") {
            return;
        }
    }
    panic!("the set-up behind the backlog was not carried out in 500 ms");
}
