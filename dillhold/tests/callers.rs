//! Callers of all kinds: connections that come and go, new configurations, and clients that know no manners.

mod common;

use common::*;
use std::net::TcpListener;

/// The program as exchange 0, an exchange 1 and a caller with a call that stands there.
fn scene(name: &str) -> (Program, Connection, Connection, [TcpListener; 2]) {
    let sockets = [bind_listener(), bind_listener()];
    let program = start_program(name, sockets[0].local_addr().unwrap(), &[&sockets[1]]);
    let mut exchange = accept(&sockets[1]);
    let mut caller = program.connect_caller();
    stand(&mut caller, &mut exchange, 1);
    (program, caller, exchange, sockets)
}

fn stand(caller: &mut Connection, exchange: &mut Connection, id: u64) {
    caller.send_set_up(id);
    let (told, number, _) = exchange.read_sip("INVITE ");
    assert_eq!(told, id);
    exchange.send_sip("SIP/2.0 200 OK", id, (number, "INVITE"), "", b"stands");
    assert_eq!(caller.read_binary(), (9, id, 0, b"stands".to_vec()));
    exchange.read_sip("ACK ");
}

fn release(exchange: &mut Connection, id: u64) {
    exchange.send_sip("BYE sip:x@net SIP/2.0", id, (2, "BYE"), "Reason: Q.850;cause=16\r\n", b"");
    exchange.read_sip("SIP/2.0 200 ");
}

/// The oldest connection once had to make room, whatever stood on it; connections that never say anything, or
/// only test, once stayed for good.
#[test]
fn idle_connections_make_room_and_end_and_one_with_a_call_stays() {
    let (program, mut caller, mut exchange, _sockets) = scene("room");
    let mut idle: Vec<Connection> = (0..40).map(|_| program.connect_caller()).collect();
    idle[0].wait_for_close();
    idle[39].expect_nothing_else();
    for mut connection in idle {
        connection.wait_for_close();
    }
    release(&mut exchange, 1);
    assert_eq!(caller.read_binary(), (12, 1, 16, vec![]));
}

/// Past 128 connections that waited to be let in, callers once had to try again a second later.
#[test]
fn a_crowd_waits_to_be_let_in() {
    let (program, mut caller, mut exchange, _sockets) = scene("crowd");
    program.send_signal("-STOP");
    let soon = std::time::Duration::from_secs(10);
    // Each that had to try again would take a second or more, and they come one after the other.
    let begun = std::time::Instant::now();
    let crowd = (0..200).map(|_| std::net::TcpStream::connect_timeout(&program.listen, soon).unwrap());
    let crowd: Vec<_> = crowd.collect();
    assert!(begun.elapsed() < soon, "none was dropped");
    program.send_signal("-CONT");
    drop(crowd);
    stand(&mut caller, &mut exchange, 2);
}

/// Releases once went to the newest connection, which may be that of somebody who will never listen.
#[test]
fn a_release_without_its_connection_goes_to_one_that_had_a_call() {
    let (program, first, mut exchange, _sockets) = scene("whom");
    let mut second = program.connect_caller();
    stand(&mut second, &mut exchange, 2);
    let mut stranger = program.connect_caller();
    stranger.expect_nothing_else();
    drop(first);
    // Only once the program has seen the end of that connection.
    stand(&mut second, &mut exchange, 3);
    release(&mut exchange, 1);
    assert_eq!(second.read_binary(), (12, 1, 16, vec![]));
    stranger.expect_nothing_else();
}

/// SIGHUP once ended the program.
#[test]
fn a_new_configuration_is_applied_and_a_bad_one_is_not() {
    let (mut program, mut caller, mut exchange, sockets) = scene("hup");
    let mut old = accept(&sockets[0]);
    std::fs::write(&program.path, "{\"listen\":").unwrap();
    program.send_signal("-HUP");
    let said = program.read_stderr_until("\n");
    assert!(
        said.starts_with("dillhold: not applied: configuration: ") && said.lines().count() == 1,
        "{said}"
    );
    let (new, newcomer) = (bind_listener(), bind_listener());
    program.config["journal"] = serde_json::json!(new.local_addr().unwrap());
    let replaced = [journal_target(1, "s-9", newcomer.local_addr().unwrap(), "SERVING")];
    program.config["known"]["pos"] = 2.into();
    let event = serde_json::json!({"pos": 2, "hosts": {"rev": 2, "all": false, "targets": replaced}});
    program.config["known"]["entries"].as_array_mut().unwrap().push(event);
    std::fs::write(&program.path, program.config.to_string()).unwrap();
    program.send_signal("-HUP");
    let mut seen = [0; 512];
    let count = std::io::Read::read(&mut accept(&new).stream, &mut seen).unwrap();
    let asked = String::from_utf8_lossy(&seen[..count]).into_owned();
    assert!(asked.starts_with("GET /journal?tail=2&max_wait="), "{asked}");
    old.wait_for_close();
    release(&mut exchange, 1);
    assert_eq!(caller.read_binary(), (12, 1, 16, vec![]), "calls and connections stay");
    stand(&mut caller, &mut accept(&newcomer), 2);
}

/// A set-up of these parameters, changed by code; `None` leaves one out.
fn odd(id: u64, changed: &[(u8, Option<&[u8]>)]) -> Vec<u8> {
    let usual: [(u8, &[u8]); 5] =
        [(100, b"view"), (101, b"3000"), (104, b"77"), (105, b"dest:1;width:1;via:-1"), (115, DESCRIPTION)];
    let value = |(code, usual)| match changed.iter().find(|(c, _)| *c == code) {
        Some((_, value)) => value.map(|v| (code, v)),
        None => Some((code, usual)),
    };
    let mut out = Vec::new();
    let parameters: Vec<_> = usual.into_iter().filter_map(value).collect();
    dillhold::codec::binary::write(&mut out, 1, id, &parameters);
    out
}

/// Every kind of client that cannot be served gets a word or a close, none of its set-ups reaches an
/// exchange, and usual callers are served all the while.
#[test]
fn clients_that_cannot_be_served_are_told_so_or_closed() {
    let (program, mut caller, mut exchange, _sockets) = scene("odd");
    let figures: [&[u8]; 9] = [
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
    let waits: [Option<&[u8]>; 6] =
        [None, Some(b"0"), Some(b"-5"), Some(b"soon"), Some(b"999999999999999"), Some(b"20000")];
    let mut told: Vec<Vec<u8>> = figures.iter().map(|f| odd(8, &[(105, Some(f))])).collect();
    told.extend(waits.iter().map(|w| odd(8, &[(101, *w)])));
    told.push(odd(8, &[(100, Some(b"view_x"))]));
    told.push(odd(8, &[(104, Some(b"a b"))]));
    told.push(odd(8, &[(104, Some(b"a@b"))]));
    told.push(odd(8, &[(104, Some(&[b'7'; 200]))]));
    told.push(odd(8, &[(115, None)]));
    told.push(odd(8, &[(115, Some(&[b'd'; 16_100]))]));
    told.push(odd(0, &[]));
    for bytes in told {
        let id = u64::from(bytes[10]);
        let mut client = program.connect_caller();
        client.send(&bytes);
        let (kind, call, cause, _) = client.read_binary();
        assert!(kind == 12 && call == id && cause > 0, "{bytes:?}");
    }
    let mut unknown = odd(8, &[]);
    unknown[2] = 123;
    let half = &odd(8, &[])[..40];
    let short_length = [&[0, 5], &odd(8, &[])[2..]].concat();
    let bad_parameter = [&[0, 12, 1], &[0; 8][..], &[100, 255, 255]].concat();
    for bytes in [&unknown[..], half, &short_length, &bad_parameter, &[0xff; 70_000], b"noise\r\n\r\n", b""] {
        let mut client = program.connect_caller();
        let _ = std::io::Write::write_all(&mut client.stream, bytes); // it may be closed half way
        client.wait_for_close();
    }
    // The same again and again is closed in the end.
    let mut again = program.connect_caller();
    let _ = std::io::Write::write_all(&mut again.stream, &odd(8, &[(100, Some(b"none"))]).repeat(300));
    again.wait_for_close();
    // Half a message and a close, and set-ups taken back at once.
    program.connect_caller().send(half);
    stand(&mut caller, &mut exchange, 2);
}
