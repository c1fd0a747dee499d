//! A whole controller without a socket: time and what happens to connections in, what to do with them out.

mod common;

use common::{journal_target, test_config, DESCRIPTION};
use dillhold::codec::{binary, sip};
use dillhold::directory::{read_config, read_settings};
use dillhold::engine::{ConnId, Engine, Interest, Output};
use pitchgw::interface::Nanos;

const MS: Nanos = 1_000_000;
const START: Nanos = 1_796_136_000_000 * MS;

struct Bench {
    engine: Engine,
    now: Nanos,
    outputs: Vec<Output>,
    /// What was written, by connection, in order.
    written: Vec<(ConnId, Vec<u8>)>,
    interest: Vec<(ConnId, Interest)>,
}

impl Bench {
    /// Exchange 0 that knows exchanges 1 and 2 at the ports of these numbers, and the journal at port 9.
    fn new() -> Bench {
        let at = |port: usize| format!("127.0.0.1:{port}").parse().unwrap();
        let targets = [1, 2].map(|n| journal_target(n, &format!("s-{n}"), at(n), "SERVING"));
        let config = read_config(&test_config(at(5), at(9), &targets).to_string()).unwrap();
        let told = read_settings(&config).unwrap();
        let engine = Engine::new(START, config, told).unwrap();
        let (outputs, written, interest) = (Vec::new(), Vec::new(), Vec::new());
        let mut bench = Bench { engine, now: START, outputs, written, interest };
        bench.settle();
        bench
    }

    fn settle(&mut self) {
        loop {
            self.engine.run_commands();
            while let Some(output) = self.engine.poll_output() {
                self.outputs.push(output);
            }
            while let Some(conn) = self.engine.poll_write() {
                let bytes = self.engine.pending_bytes(conn).to_vec();
                self.engine.bytes_written(conn, bytes.len());
                if !bytes.is_empty() {
                    assert!(
                        !self.outputs.contains(&Output::ShutdownWrite(conn)),
                        "its writing side is closed"
                    );
                    self.written.push((conn, bytes));
                }
                self.interest.extend(self.engine.flushed(conn).map(|i| (conn, i)));
            }
            if self.engine.is_turn_complete() {
                break;
            }
        }
        self.engine.end_turn();
        while let Some(output) = self.engine.poll_output() {
            self.outputs.push(output);
        }
    }

    /// Lets time pass, deadline by deadline.
    fn wait(&mut self, span: Nanos) {
        let until = self.now + span;
        while let Some(due) = self.engine.next_deadline().filter(|due| *due <= until) {
            self.now = self.now.max(due);
            self.turn(|_| {});
        }
        self.now = until;
    }

    fn turn(&mut self, happens: impl FnOnce(&mut Engine)) {
        self.engine.begin_turn(self.now);
        happens(&mut self.engine);
        self.engine.handle_deadlines();
        self.settle();
    }

    /// The newest connection dialled to a port.
    fn dialled(&self, port: u16) -> Option<ConnId> {
        let to = |o: &Output| match o {
            Output::Connect { conn, to } if to.port() == port => Some(*conn),
            _ => None,
        };
        self.outputs.iter().rev().find_map(to)
    }

    fn closed(&self, conn: ConnId) -> bool {
        self.outputs.contains(&Output::Close(conn))
    }

    fn up(&mut self, port: u16) -> ConnId {
        let conn = self.dialled(port).expect("it was dialled");
        self.turn(|e| e.connected(conn));
        conn
    }

    fn caller(&mut self) -> ConnId {
        let mut conn = None;
        self.turn(|e| conn = e.accepted());
        conn.expect("there is room")
    }

    fn comes(&mut self, conn: ConnId, bytes: &[u8]) {
        self.turn(|e| {
            for part in bytes.chunks(64) {
                let Some(room) = e.read_buffer(conn) else { return };
                room[..part.len()].copy_from_slice(part);
                e.bytes_read(conn, part.len());
            }
        });
    }

    fn set_up(&mut self, caller: ConnId, id: u64) {
        self.comes(caller, &set_up_message(id, b"view"));
    }

    /// What was written on a connection since the last look at it.
    fn said(&mut self, conn: ConnId) -> Vec<u8> {
        let said = self.written.iter().filter(|w| w.0 == conn).flat_map(|w| w.1.clone()).collect();
        self.written.retain(|w| w.0 != conn);
        said
    }
}

fn starts(bytes: &[u8], text: &str) -> bool {
    bytes.starts_with(text.as_bytes())
}

/// A set-up of three seconds for exchange 1.
fn set_up_message(id: u64, class: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    let figures =
        [(100, class), (101, b"3000"), (104, b"77"), (105, b"dest:1;width:1;via:-1"), (115, DESCRIPTION)];
    binary::write(&mut out, binary::kind::SET_UP, id, &figures);
    out
}

fn bye(id: u64) -> Vec<u8> {
    format!("BYE sip:x@net SIP/2.0\r\nCall-ID: {id:016x}\r\nCSeq: 2 BYE\r\nl: 0\r\n\r\n").into_bytes()
}

fn ok(id: u64) -> Vec<u8> {
    let mut out = Vec::new();
    let (line, call) = (format_args!("SIP/2.0 200 OK"), format!("{id:016x}"));
    sip::write(&mut out, line, call.as_bytes(), (1, "INVITE"), format_args!(""), DESCRIPTION);
    out
}

#[test]
fn it_listens_dials_and_asks_at_its_start_and_passes_a_call() {
    let mut bench = Bench::new();
    assert_eq!(bench.outputs[0], Output::Listen("127.0.0.1:5".parse().unwrap()));
    let journal = bench.up(9);
    assert!(starts(&bench.said(journal), "GET /journal?tail=1&"));
    let exchange = bench.up(1);
    let caller = bench.caller();
    bench.set_up(caller, 7);
    let invite = bench.said(exchange);
    assert!(starts(&invite, "INVITE sip:77@net ") && invite.ends_with(DESCRIPTION));
    bench.wait(20 * MS);
    bench.comes(exchange, &ok(7));
    assert!(starts(&bench.said(exchange), "ACK "));
    let told = bench.said(caller);
    let (answer, _) = binary::parse(&told).unwrap().unwrap();
    assert_eq!((answer.kind, answer.call_id), (binary::kind::ANSWER, 7));
    assert_eq!(answer.parameter(binary::param::DESCRIPTION), Some(DESCRIPTION));
}

#[test]
fn a_connection_that_never_comes_up_is_dialled_again_after_a_pause() {
    let mut bench = Bench::new();
    let first = bench.dialled(1).unwrap();
    bench.wait(499 * MS);
    assert!(!bench.closed(first), "the time that the settings give it is not over");
    bench.wait(MS);
    assert!(bench.closed(first));
    bench.wait(249 * MS);
    assert_eq!(bench.dialled(1), Some(first));
    bench.wait(MS);
    assert_ne!(bench.dialled(1), Some(first));
}

#[test]
fn a_connection_that_stays_silent_after_a_set_up_is_replaced_and_the_next_has_twice_the_time() {
    let mut bench = Bench::new();
    let (first, caller) = (bench.up(1), bench.caller());
    bench.wait(1_000 * MS);
    bench.set_up(caller, 7);
    assert!(starts(&bench.said(first), "INVITE "));
    bench.wait(199 * MS);
    assert!(!bench.closed(first));
    bench.wait(MS);
    assert!(bench.closed(first), "nothing at all came for 200 ms");
    bench.wait(MS);
    let second = bench.up(1);
    assert_ne!(first, second);
    // The attempt may have left something behind: the call waits for the release before it is sent again.
    bench.wait(348 * MS);
    assert!(bench.said(second).is_empty());
    bench.wait(MS);
    assert!(starts(&bench.said(second), "INVITE "));
    bench.wait(399 * MS);
    assert!(!bench.closed(second));
    bench.wait(MS);
    assert!(bench.closed(second));
}

#[test]
fn what_a_caller_was_answered_leaves_before_its_connection_is_closed_for_noise() {
    let mut bench = Bench::new();
    let caller = bench.caller();
    let mut bytes = Vec::new();
    binary::write(&mut bytes, binary::kind::TEST, 3, &[(binary::param::CAUSE, &[0])]);
    bytes.extend([0, 1, 2, 3]);
    bench.comes(caller, &bytes);
    let told = bench.said(caller);
    assert_eq!(binary::parse(&told).unwrap().unwrap().0.kind, binary::kind::TEST_RESPONSE);
    assert!(bench.closed(caller));
    let mut room = true;
    bench.turn(|e| room = e.read_buffer(caller).is_some());
    assert!(!room, "nothing more is read from it");
}

#[test]
fn a_caller_that_writes_no_more_is_answered_and_then_closed() {
    let mut bench = Bench::new();
    let (exchange, caller) = (bench.up(1), bench.caller());
    bench.set_up(caller, 7);
    bench.turn(|e| e.read_closed(caller));
    assert!(!bench.closed(caller), "it is owed an answer");
    assert_eq!(bench.interest.last(), Some(&(caller, Interest { readable: false, writable: false })));
    bench.comes(exchange, &ok(7));
    assert!(!bench.said(caller).is_empty() && bench.closed(caller));
}

#[test]
fn told_to_end_it_serves_on_stops_listening_and_stops_when_nothing_is_left() {
    let mut bench = Bench::new();
    let (exchange, caller) = (bench.up(1), bench.caller());
    bench.turn(Engine::shut_down);
    bench.wait(600 * MS);
    assert!(!bench.outputs.contains(&Output::StopListening), "callers are still sent here");
    bench.set_up(caller, 7);
    bench.comes(exchange, b"OPTIONS sip:x@net SIP/2.0\r\nCall-ID: 1\r\nCSeq: 1 OPTIONS\r\nl: 0\r\n\r\n");
    bench.wait(200 * MS);
    assert!(bench.outputs.contains(&Output::StopListening));
    bench.wait(200 * MS);
    assert!(!bench.outputs.contains(&Output::ShutdownWrite(caller)), "a set-up is open");
    bench.comes(exchange, &ok(7));
    assert_eq!(told(&mut bench, caller), [(binary::kind::ANSWER, 7, None)]);
    bench.wait(1_000 * MS);
    assert!(!bench.outputs.contains(&Output::ShutdownWrite(caller)), "a call stands on it");
    bench.comes(exchange, &bye(7));
    assert_eq!(told(&mut bench, caller), [(binary::kind::RELEASE, 7, Some(16))]);
    bench.wait(200 * MS);
    assert!(bench.outputs.contains(&Output::ShutdownWrite(caller)), "nothing is left on it");
    assert!(bench.outputs.contains(&Output::Stop));
}

/// Set-ups that were still open at the end were once left without an answer, and those that came on open connections
/// were taken until the last moment.
#[test]
fn told_to_end_it_refuses_what_comes_late_and_answers_all_before_the_kill() {
    let mut bench = Bench::new();
    let (exchange, caller) = (bench.up(1), bench.caller());
    stand(&mut bench, caller, exchange, 1);
    bench.turn(Engine::shut_down);
    bench.set_up(caller, 7);
    // A second signal begins nothing anew.
    bench.wait(500 * MS);
    bench.turn(Engine::shut_down);
    bench.wait(250 * MS);
    let _ = told(&mut bench, caller);
    for (id, wait) in [(8, 0), (9, 2_000)] {
        bench.wait(wait * MS);
        bench.set_up(caller, id);
        let refusal = told(&mut bench, caller).into_iter().find(|t| t.1 == id);
        assert_eq!(refusal, Some((binary::kind::RELEASE, id, Some(42))), "at once");
    }
    // The longest deadline is 9 s and counts as 3 s: the kill may come 3.7 s after the signal.
    bench.wait(850 * MS);
    assert!(bench.outputs.contains(&Output::Stop), "3.6 s after the signal");
}

#[test]
fn a_set_up_that_is_open_at_the_end_has_its_answer_before() {
    let mut bench = Bench::new();
    let (exchange, caller) = (bench.up(1), bench.caller());
    bench.wait(1_000 * MS);
    bench.turn(Engine::shut_down);
    bench.wait(650 * MS);
    bench.set_up(caller, 7); // it waits 3 s: 50 ms past the end
    let mut answers = Vec::new();
    for _ in 0..58 {
        // The exchange lives and answers nothing.
        let at = bench.dialled(1).unwrap();
        if at == exchange {
            bench.comes(at, &notify(3));
        } else {
            bench.up(1);
        }
        bench.wait(50 * MS);
        answers.extend(told(&mut bench, caller));
    }
    assert_eq!(answers.len(), 1, "{answers:?}");
    assert_eq!((answers[0].0, answers[0].1), (binary::kind::RELEASE, 7));
}

/// An answer that was decided in the turn in which its connection was looked at was once never written.
#[test]
fn an_answer_leaves_before_its_connection_is_closed_as_unused() {
    let mut bench = Bench::new();
    let (exchange, caller) = (bench.up(1), bench.caller());
    bench.turn(Engine::shut_down);
    bench.wait(400 * MS);
    bench.set_up(caller, 7);
    bench.comes(exchange, &notify(3));
    bench.wait(350 * MS);
    assert!(bench.outputs.contains(&Output::StopListening) && told(&mut bench, caller).is_empty());
    // The exchange lives and answers nothing: the call's time is up 3.4 s after the signal.
    for _ in 0..26 {
        bench.comes(exchange, &notify(3));
        bench.wait(100 * MS);
    }
    bench.wait(30 * MS);
    assert_eq!(told(&mut bench, caller), [], "3.38 s after the signal");
    // Its answer and the look at its connection are due in one turn.
    bench.now += 40 * MS;
    bench.turn(|_| {});
    let answers = told(&mut bench, caller);
    assert_eq!(answers.len(), 1, "{answers:?}");
    assert_eq!((answers[0].0, answers[0].1), (binary::kind::RELEASE, 7));
}

/// A service that is only slow was once given up and asked again and again, and answered no call.
#[test]
fn a_slow_journal_is_waited_for_and_a_silent_one_is_asked_again_before_its_news_count_as_told() {
    let mut bench = Bench::new();
    let journal = bench.up(9);
    bench.wait(3_300 * MS);
    assert!(!bench.closed(journal), "its wait of 2 s ended 1.3 s ago");
    bench.comes(journal, b"HTTP/1.1 200 OK\r\nContent-Length: 22\r\n\r\n{\"pos\":1,\"entries\":[]}");
    bench.wait(5 * MS);
    let asked = bench.said(journal);
    assert!(asked.ends_with(b"\r\n\r\n") && starts(&asked, "GET /journal?tail=1&"));
    bench.wait(3_400 * MS);
    assert!(bench.closed(journal));
    bench.wait(500 * MS);
    let again = bench.up(9);
    assert!(starts(&bench.said(again), "GET /journal?tail=1&"), "3.9 s after it was asked");
}

/// Right after a start nobody is known to be a caller, and the release of a call of before went to a stranger.
#[test]
fn a_release_for_nobody_known_is_told_to_all_who_may_be_callers() {
    let mut bench = Bench::new();
    let (exchange, callers) = (bench.up(1), [bench.caller(), bench.caller()]);
    let noisy = bench.caller();
    bench.comes(noisy, &set_up_message(3, b"none"));
    bench.said(noisy);
    bench.comes(exchange, &bye(99));
    bench.wait(500 * MS);
    for caller in callers {
        assert_eq!(told(&mut bench, caller), [(binary::kind::RELEASE, 99, Some(16))]);
    }
    assert_eq!(told(&mut bench, noisy), []);
}

/// A refusal that followed in the turn in which the caller's stream ended was once never written.
#[test]
fn a_set_up_and_the_end_of_its_stream_in_one_turn_are_answered() {
    let mut bench = Bench::new();
    bench.up(1);
    let caller = bench.caller();
    let bytes = set_up_message(7, b"none");
    bench.turn(|e| {
        for part in bytes.chunks(64) {
            e.read_buffer(caller).unwrap()[..part.len()].copy_from_slice(part);
            e.bytes_read(caller, part.len());
        }
        e.read_closed(caller);
    });
    assert_eq!(told(&mut bench, caller), [(binary::kind::RELEASE, 7, Some(41))]);
    assert!(bench.closed(caller));
    // The same with nothing to be answered.
    let silent = bench.caller();
    bench.turn(|e| e.read_closed(silent));
    assert!(bench.closed(silent));
}

/// What a caller was told on a connection since the last look: types and causes, in order.
fn told(bench: &mut Bench, caller: ConnId) -> Vec<(u8, u64, Option<u8>)> {
    let bytes = bench.said(caller);
    let (mut rest, mut told) = (&bytes[..], Vec::new());
    while let Some((message, taken)) = binary::parse(rest).unwrap() {
        told.push((message.kind, message.call_id, message.cause()));
        rest = &rest[taken..];
    }
    told
}

/// Brings a call to stand at an exchange.
fn stand(bench: &mut Bench, caller: ConnId, exchange: ConnId, id: u64) {
    bench.set_up(caller, id);
    bench.comes(exchange, &ok(id));
    assert_eq!(told(bench, caller), [(binary::kind::ANSWER, id, None)]);
}

#[test]
fn callers_of_a_vanished_exchange_are_told_in_time_though_discovery_says_nothing() {
    let mut bench = Bench::new();
    let (exchange, caller) = (bench.up(1), bench.caller());
    stand(&mut bench, caller, exchange, 7);
    // The connection stays open and silent, and none that is dialled from now on comes up.
    bench.wait(4_000 * MS);
    assert_eq!(told(&mut bench, caller), [], "a network may be cut for some seconds");
    bench.wait(4_000 * MS);
    assert_eq!(told(&mut bench, caller), [(binary::kind::RELEASE, 7, Some(41))]);
}

/// Lets time pass in steps, in which the connections that are dialled to a port come up.
fn wait_with_port_up(bench: &mut Bench, port: u16, span: Nanos) -> usize {
    let (until, mut up, mut count) = (bench.now + span, bench.dialled(port), 0);
    while bench.now < until {
        bench.wait(50 * MS);
        if bench.dialled(port) != up {
            up = bench.dialled(port);
            bench.up(port);
            count += 1;
        }
    }
    count
}

#[test]
fn calls_of_a_quiet_exchange_that_can_be_reached_stand_and_it_is_not_crowded() {
    let mut bench = Bench::new();
    let (exchange, caller) = (bench.up(1), bench.caller());
    stand(&mut bench, caller, exchange, 7);
    let checks = wait_with_port_up(&mut bench, 1, 30_000 * MS);
    assert_eq!(told(&mut bench, caller), []);
    assert!((4..=15).contains(&checks), "{checks} checks in 30 s");
    let dialled = bench.outputs.iter().filter_map(|o| match o {
        Output::Connect { conn, to } if to.port() == 1 => Some(*conn),
        _ => None,
    });
    assert_eq!(dialled.filter(|conn| !bench.closed(*conn)).count(), 2, "one check at a time");
    // The call ends, and nobody is watched any more.
    let newest = bench.dialled(1).unwrap();
    bench.comes(newest, &bye(7));
    assert_eq!(told(&mut bench, caller), [(binary::kind::RELEASE, 7, Some(16))]);
    assert_eq!(wait_with_port_up(&mut bench, 1, 10_000 * MS), 0);
}

fn notify(free: u32) -> Vec<u8> {
    let text = format!(
        "NOTIFY sip:group@net SIP/2.0\r\nCall-ID: 0\r\nCSeq: 1 NOTIFY\r\nX-Group: spare:{free};total:9\r\n"
    );
    [text.as_bytes(), b"Content-Length: 0\r\n\r\n"].concat()
}

/// A machine may take connections in while the process behind them is gone or stands still.
#[test]
fn an_exchange_that_greets_and_then_only_takes_connections_in_has_vanished() {
    let mut bench = Bench::new();
    let (exchange, caller) = (bench.up(1), bench.caller());
    bench.comes(exchange, &notify(9));
    stand(&mut bench, caller, exchange, 7);
    wait_with_port_up(&mut bench, 1, 8_000 * MS);
    assert_eq!(told(&mut bench, caller), [(binary::kind::RELEASE, 7, Some(41))]);
}

#[test]
fn what_an_exchange_says_on_a_check_is_heard_and_one_that_was_cut_off_is_told_what_is_over() {
    let mut bench = Bench::new();
    let (exchange, caller) = (bench.up(1), bench.caller());
    stand(&mut bench, caller, exchange, 7);
    stand(&mut bench, caller, exchange, 8);
    bench.wait(2_500 * MS);
    let check = bench.up(1);
    assert_ne!(check, exchange);
    bench.comes(check, b"BYE sip:x@net SIP/2.0\r\nCall-ID: 0000000000000007\r\nCSeq: 2 BYE\r\nl: 0\r\n\r\n");
    assert_eq!(told(&mut bench, caller), [(binary::kind::RELEASE, 7, Some(16))]);
    assert!(starts(&bench.said(check), "SIP/2.0 200 OK"));
    bench.wait(8_000 * MS);
    assert_eq!(told(&mut bench, caller), [(binary::kind::RELEASE, 8, Some(41))]);
    assert!(bench.closed(exchange) && bench.closed(check));
    let again = bench.up(1);
    assert!(starts(&bench.said(again), "BYE "), "it may still stand there");
}

/// A connection that falls silent once hid behind the checks that showed that its exchange lived: what the exchange
/// had to say of calls set up there was never heard.
#[test]
fn a_silent_connection_is_replaced_though_checks_show_that_its_exchange_lives() {
    let mut bench = Bench::new();
    let (silent, caller) = (bench.up(1), bench.caller());
    bench.comes(silent, &notify(9));
    stand(&mut bench, caller, silent, 7);
    bench.wait(2_100 * MS);
    let check = bench.up(1);
    for _ in 0..5 {
        bench.comes(check, &notify(8));
        bench.wait(600 * MS);
    }
    assert!(bench.closed(silent) && !bench.closed(check));
    let again = bench.up(1);
    assert!(again != silent && again != check);
    bench.comes(again, &bye(7));
    assert_eq!(told(&mut bench, caller), [(binary::kind::RELEASE, 7, Some(16))]);
}

/// An exchange that lost its calls while it could not be reached, and has its old address and id, was once taken for
/// one that was only cut off, until discovery told of its start.
#[test]
fn calls_are_over_when_an_exchange_comes_back_without_them_and_stand_when_it_still_has_them() {
    // Free circuits of nine, whether a dial fails before, and when the nine calls are over, if they are.
    let (soon, later) = (Some(700), Some(3_100));
    for (free, dial_fails, over) in [
        (9, true, soon),
        (5, true, soon),
        (4, true, later),
        (0, true, None),
        (9, false, soon),
        (0, false, None),
    ] {
        let mut bench = Bench::new();
        let (exchange, caller) = (bench.up(1), bench.caller());
        bench.comes(exchange, &notify(9));
        for id in 1..=9 {
            stand(&mut bench, caller, exchange, id);
        }
        bench.comes(exchange, &notify(0));
        bench.wait(1_100 * MS);
        bench.turn(|e| e.connection_lost(exchange));
        bench.wait(300 * MS);
        if dial_fails {
            let refused = bench.dialled(1).unwrap();
            bench.turn(|e| e.connect_failed(refused, true));
            bench.wait(300 * MS);
        }
        let again = bench.up(1);
        bench.comes(again, &notify(free));
        bench.wait(500 * MS);
        assert_eq!(told(&mut bench, caller), [], "what it has to say of them comes meanwhile");
        bench.wait((over.unwrap_or(4_000) - 500) * MS);
        let cut = told(&mut bench, caller);
        assert_eq!(cut.len(), if over.is_some() { 9 } else { 0 }, "{free} of 9 free: {cut:?}");
    }
}

/// All releases that were not heard are said again on a new connection, and it was once closed for holding too many.
#[test]
fn an_exchange_that_was_cut_off_hears_of_its_calls_when_it_is_back() {
    const CALLS: u64 = 3_000;
    const KEPT: usize = 1_024;
    let mut bench = Bench::new();
    let (exchange, caller) = (bench.up(1), bench.caller());
    for id in 1..=CALLS {
        bench.set_up(caller, id);
        bench.comes(exchange, &ok(id));
    }
    bench.wait(8_000 * MS);
    let again = bench.up(1);
    bench.wait(10 * MS);
    assert!(!bench.closed(again));
    let said = bench.said(again);
    let byes = said.windows(4).filter(|w| w == b"BYE ").count();
    assert_eq!(byes, KEPT, "as many as fit in what may wait on a connection");
    assert!(said.len() <= 256 * 1024, "{} bytes at once", said.len());
}

#[test]
fn the_same_feed_gives_the_same_bytes() {
    let play = || {
        let mut bench = Bench::new();
        let exchanges = [bench.up(1), bench.up(2)];
        let caller = bench.caller();
        for id in 1..40u64 {
            bench.set_up(caller, 0x9e37_79b9_7f4a_7c15u64.wrapping_mul(id));
        }
        bench.wait(30 * MS);
        // All attempts end at once: in which order they do must not differ from run to run.
        bench.turn(|e| exchanges.into_iter().for_each(|x| e.connection_lost(x)));
        bench.wait(2_000 * MS);
        (bench.outputs, bench.written)
    };
    assert_eq!(play(), play());
}
