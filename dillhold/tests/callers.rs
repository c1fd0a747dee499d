//! Tests of connections from callers: limits and idle time-outs, reloaded configurations, and misbehaving
//! clients.

mod common;

use common::*;
use std::net::TcpListener;

/// Starts the program as exchange 0, with an exchange 1 and a caller whose call 1 stands there. Returns the
/// program, the connections of the caller and of the exchange, and the listeners of the journal and of the
/// exchange.
fn start_with_standing_call(name: &str) -> (Program, Connection, Connection, [TcpListener; 2]) {
    let listeners = [bind_listener(), bind_listener()];
    let program = start_program(name, listeners[0].local_addr().unwrap(), &[&listeners[1]]);
    let mut exchange = accept(&listeners[1]);
    let mut caller = program.connect_caller();
    establish_call(&mut caller, &mut exchange, 1);
    (program, caller, exchange, listeners)
}

fn establish_call(caller: &mut Connection, exchange: &mut Connection, id: u64) {
    caller.send_set_up(id);
    let (call_id, number, _) = exchange.read_sip("INVITE ");
    assert_eq!(call_id, id);
    exchange.send_sip("SIP/2.0 200 OK", id, (number, "INVITE"), "", b"stands");
    assert_eq!(caller.read_binary(), (ANSWER, id, 0, b"stands".to_vec()));
    exchange.read_sip("ACK ");
}

fn release_call(exchange: &mut Connection, id: u64) {
    exchange.send_sip("BYE sip:x@net SIP/2.0", id, (2, "BYE"), "Reason: Q.850;cause=16\r\n", b"");
    exchange.read_sip("SIP/2.0 200 ");
}

/// The oldest connection was once evicted even if calls stood on it, and connections that send nothing, or
/// only tests, were never closed.
#[test]
fn evicts_and_closes_idle_connections_but_keeps_one_with_a_call() {
    let (program, mut caller, mut exchange, _listeners) = start_with_standing_call("idle");
    let mut idle: Vec<Connection> = (0..40).map(|_| program.connect_caller()).collect();
    idle[0].wait_for_close();
    idle[39].expect_nothing_else();
    for mut connection in idle {
        connection.wait_for_close();
    }
    release_call(&mut exchange, 1);
    assert_eq!(caller.read_binary(), (RELEASE, 1, 16, vec![]));
}

/// With a backlog of 128, callers beyond it had to retry their connection a second later.
#[test]
fn burst_of_connections_waits_in_backlog() {
    let (program, mut caller, mut exchange, _listeners) = start_with_standing_call("backlog");
    program.send_signal("-STOP");
    let timeout = std::time::Duration::from_secs(10);
    // The connections are made one after the other, and each that is dropped is retried after a second or
    // more.
    let started = std::time::Instant::now();
    let connections =
        (0..200).map(|_| std::net::TcpStream::connect_timeout(&program.listen, timeout).unwrap());
    let connections: Vec<_> = connections.collect();
    assert!(started.elapsed() < timeout, "no connection was dropped");
    program.send_signal("-CONT");
    drop(connections);
    establish_call(&mut caller, &mut exchange, 2);
}

/// Such a release was once sent on the newest connection, whose client may never read it.
#[test]
fn sends_release_on_confirmed_connection_when_its_own_is_closed() {
    let (program, first, mut exchange, _listeners) = start_with_standing_call("release");
    let mut second = program.connect_caller();
    establish_call(&mut second, &mut exchange, 2);
    let mut unconfirmed = program.connect_caller();
    unconfirmed.expect_nothing_else();
    drop(first);
    // Once this call stands, the program has noticed that the first connection is closed.
    establish_call(&mut second, &mut exchange, 3);
    release_call(&mut exchange, 1);
    assert_eq!(second.read_binary(), (RELEASE, 1, 16, vec![]));
    unconfirmed.expect_nothing_else();
}

/// SIGHUP once terminated the program.
#[test]
fn sighup_applies_valid_configuration_and_rejects_invalid_one() {
    let (mut program, mut caller, mut exchange, listeners) = start_with_standing_call("reload");
    let mut old_journal = accept(&listeners[0]);
    std::fs::write(&program.path, "{\"listen\":").unwrap();
    program.send_signal("-HUP");
    let printed = program.read_stderr_until("\n");
    assert!(
        printed.starts_with("dillhold: not applied: configuration: ") && printed.lines().count() == 1,
        "{printed}"
    );
    let (new_journal, new_exchange) = (bind_listener(), bind_listener());
    program.config["journal"] = serde_json::json!(new_journal.local_addr().unwrap());
    let targets = [journal_target(1, "s-9", new_exchange.local_addr().unwrap(), "SERVING")];
    program.config["known"]["pos"] = 2.into();
    let event = serde_json::json!({"pos": 2, "hosts": {"rev": 2, "all": false, "targets": targets}});
    program.config["known"]["entries"].as_array_mut().unwrap().push(event);
    std::fs::write(&program.path, program.config.to_string()).unwrap();
    program.send_signal("-HUP");
    let mut buffer = [0; 512];
    let count = std::io::Read::read(&mut accept(&new_journal).stream, &mut buffer).unwrap();
    let request = String::from_utf8_lossy(&buffer[..count]).into_owned();
    assert!(request.starts_with("GET /journal?tail=2&max_wait="), "{request}");
    old_journal.wait_for_close();
    release_call(&mut exchange, 1);
    assert_eq!(caller.read_binary(), (RELEASE, 1, 16, vec![]), "calls and connections are kept");
    establish_call(&mut caller, &mut accept(&new_exchange), 2);
}

/// A set-up with valid parameters except for the overrides, by parameter code; `None` leaves a parameter out.
fn set_up_with(id: u64, overrides: &[(u8, Option<&[u8]>)]) -> Vec<u8> {
    let defaults: [(u8, &[u8]); 5] = [
        (PARAM_CLASS, b"view"),
        (PARAM_TIMEOUT_MS, b"3000"),
        (PARAM_CALLED_NUMBER, b"77"),
        (PARAM_ATTRIBUTES, b"dest:1;width:1;via:-1"),
        (PARAM_DESCRIPTION, DESCRIPTION),
    ];
    let parameter = |(code, default)| match overrides.iter().find(|(c, _)| *c == code) {
        Some((_, value)) => value.map(|v| (code, v)),
        None => Some((code, default)),
    };
    let mut out = Vec::new();
    let parameters: Vec<_> = defaults.into_iter().filter_map(parameter).collect();
    dillhold::codec::binary::write(&mut out, SET_UP, id, &parameters);
    out
}

/// Each invalid message is answered or closes its connection, no invalid set-up reaches an exchange, and
/// valid callers are served meanwhile.
#[test]
fn rejects_invalid_set_ups_and_closes_connections_with_invalid_messages() {
    let (program, mut caller, mut exchange, _listeners) = start_with_standing_call("invalid");
    let invalid_attributes: [&[u8]; 9] = [
        b"x",
        b"dest:x;width:1;via:-1",
        b"dest:-1;width:1;via:-1",
        b"dest:1;width:0;via:-1",
        b"dest:1;width:-3;via:-1",
        b"dest:1;width:1e3;via:-1",
        b"dest:1;width:nan;via:-1",
        b"dest:1;width:1;via:99999999999999999999",
        b"dest:99;width:1;via:-1",
    ];
    let invalid_timeouts: [Option<&[u8]>; 6] =
        [None, Some(b"0"), Some(b"-5"), Some(b"soon"), Some(b"999999999999999"), Some(b"20000")];
    let mut invalid_set_ups: Vec<Vec<u8>> =
        invalid_attributes.iter().map(|a| set_up_with(8, &[(PARAM_ATTRIBUTES, Some(a))])).collect();
    invalid_set_ups.extend(invalid_timeouts.iter().map(|t| set_up_with(8, &[(PARAM_TIMEOUT_MS, *t)])));
    invalid_set_ups.push(set_up_with(8, &[(PARAM_CLASS, Some(b"view_x"))]));
    invalid_set_ups.push(set_up_with(8, &[(PARAM_CALLED_NUMBER, Some(b"a b"))]));
    invalid_set_ups.push(set_up_with(8, &[(PARAM_CALLED_NUMBER, Some(b"a@b"))]));
    invalid_set_ups.push(set_up_with(8, &[(PARAM_CALLED_NUMBER, Some(&[b'7'; 200]))]));
    invalid_set_ups.push(set_up_with(8, &[(PARAM_DESCRIPTION, None)]));
    invalid_set_ups.push(set_up_with(8, &[(PARAM_DESCRIPTION, Some(&[b'd'; 16_100]))]));
    invalid_set_ups.push(set_up_with(0, &[]));
    for bytes in invalid_set_ups {
        let id = u64::from(bytes[10]);
        let mut client = program.connect_caller();
        client.send(&bytes);
        let (kind, call, cause, _) = client.read_binary();
        assert!(kind == RELEASE && call == id && cause > 0, "{bytes:?}");
    }
    let mut unknown_kind = set_up_with(8, &[]);
    unknown_kind[2] = 123;
    let incomplete = &set_up_with(8, &[])[..40];
    let short_length = [&[0, 5], &set_up_with(8, &[])[2..]].concat();
    let bad_parameter = [&[0, 12, 1], &[0; 8][..], &[100, 255, 255]].concat();
    for bytes in
        [&unknown_kind[..], incomplete, &short_length, &bad_parameter, &[0xff; 70_000], b"noise\r\n\r\n", b""]
    {
        let mut client = program.connect_caller();
        let _ = std::io::Write::write_all(&mut client.stream, bytes); // it may be closed meanwhile
        client.wait_for_close();
    }
    // Too many rejected set-ups close the connection.
    let mut repeating = program.connect_caller();
    let _ = std::io::Write::write_all(
        &mut repeating.stream,
        &set_up_with(8, &[(PARAM_CLASS, Some(b"none"))]).repeat(300),
    );
    repeating.wait_for_close();
    // An incomplete message, followed by a close.
    program.connect_caller().send(incomplete);
    establish_call(&mut caller, &mut exchange, 2);
}
