//! The call table by itself: events in, commands out, no sockets.

mod common;

use common::{journal_target, test_config, DESCRIPTION};
use dillhold::call::*;
use dillhold::directory::{read_config, read_settings, Directory};
use pitchgw::interface::{Cause, LoadReport, Nanos, Outcome};
use serde_json::json;

const MS: Nanos = 1_000_000;
const START: Nanos = 1_796_136_000_000 * MS;

/// A table that knows exchanges 1 and 2 by the handles 0 and 1.
fn table() -> Calls {
    table_within(None)
}

/// The same, with so many bytes for open set-ups.
fn table_within(open_bytes: Option<usize>) -> Calls {
    let address = "127.0.0.1:9".parse().unwrap();
    let at = |n: usize| format!("127.0.0.1:{n}").parse().unwrap();
    let targets = [1, 2].map(|n| journal_target(n, &format!("s-{n}"), at(n), "SERVING"));
    let config = read_config(&test_config(address, address, &targets).to_string()).unwrap();
    let directory = Directory::new(&config.settings);
    let mut bounds = config.limits.bounds();
    bounds.max_open_bytes = open_bytes.unwrap_or(bounds.max_open_bytes);
    let mut calls = Calls::new(read_settings(&config).unwrap(), bounds, directory).unwrap();
    let news = calls.directory.apply(config.known).unwrap();
    calls.apply_directory_update(START, news);
    calls.commands.clear();
    calls
}

fn plain(in_transit: bool) -> SetUp<'static> {
    SetUp {
        call_id: 1,
        class: b"view",
        timeout: 3_000 * MS,
        called_number: b"77",
        destination: 1,
        width: None,
        advised_tandem: Some(2),
        in_transit,
        is_redial: false,
        description: DESCRIPTION,
    }
}

fn set_up(calls: &mut Calls, now: Nanos, link: CallerConnId, call_id: u64, in_transit: bool) {
    calls.handle_caller_request(now, link, CallerRequest::SetUp(SetUp { call_id, ..plain(in_transit) }));
    calls.dispatch_queued_events(now);
}

/// Lets the deadlines up to a time come due and gives what was commanded, with the time.
fn run(calls: &mut Calls, until: Nanos) -> Vec<(Nanos, Command)> {
    let mut said: Vec<_> = calls.commands.drain(..).map(|c| (0, c)).collect();
    while let Some(at) = calls.deadlines.earliest().filter(|at| *at <= until) {
        for due in calls.deadlines.take_expired(at) {
            calls.handle_deadline(at, due);
            calls.dispatch_queued_events(at);
        }
        said.extend(calls.commands.drain(..).map(|c| (at, c)));
    }
    said
}

fn sent_to(said: &[(Nanos, Command)]) -> Vec<(Nanos, u32)> {
    let set_up = |c: &Command| match c {
        Command::RequestExchange { to, request: ExchangeRequest::SetUp { .. }, .. } => Some(*to),
        _ => None,
    };
    said.iter().filter_map(|(at, c)| set_up(c).map(|to| (*at, to))).collect()
}

fn finals(said: &[(Nanos, Command)]) -> Vec<(Nanos, &CallerNotification)> {
    let mut found = Vec::new();
    for (at, command) in said {
        if let Command::NotifyCaller { notification, .. } = command {
            found.push((*at, notification));
        }
    }
    found
}

/// The table's guard once stood in for the module: it came before the module's own last moment.
#[test]
fn a_silent_exchange_ends_with_the_modules_own_answer_just_before_the_deadline() {
    let mut calls = table();
    set_up(&mut calls, START, 7, 1, true);
    let said = run(&mut calls, START + 4_000 * MS);
    assert_eq!(sent_to(&said).len(), 1);
    let given_up = |c: &Command| {
        matches!(c, Command::RequestExchange { request: ExchangeRequest::CancelAttempt { attempt: 0 }, .. })
    };
    assert_eq!(said.iter().filter(|(_, c)| given_up(c)).count(), 1);
    assert_eq!(finals(&said), vec![(START + 2_990 * MS, &CallerNotification::Failed)]);
    assert_eq!(calls.counters.get("errors answers overdue"), 0);
    assert_eq!(calls.open_set_ups(), 0);
}

/// A connection that breaks says nothing against its exchange: the call once tried tandems only after it.
#[test]
fn a_cut_attempt_is_followed_by_the_release_wait_and_another_on_the_same_route() {
    for transit in [false, true] {
        let mut calls = table();
        set_up(&mut calls, START, 7, 1, transit);
        assert_eq!(sent_to(&run(&mut calls, START)), vec![(0, 0)]);
        calls.exchange_disconnected(START + MS, 0, &[]);
        calls.dispatch_queued_events(START + MS);
        let said = run(&mut calls, START + 1_000 * MS);
        let after = START + 351 * MS;
        assert_eq!(sent_to(&said), vec![(after, 0)], "300 ms of the settings, 50 of the sockets");
    }
}

#[test]
fn an_attempt_that_never_left_needs_no_wait() {
    let mut calls = table();
    set_up(&mut calls, START, 7, 1, false);
    run(&mut calls, START);
    calls.exchange_disconnected(START + MS, 0, &[(1, 0)]);
    calls.dispatch_queued_events(START + MS);
    // The module, told so, turns the call away at once.
    assert_eq!(finals(&run(&mut calls, START + MS)), vec![(0, &CallerNotification::Refused(0))]);
}

/// Found by a rehearsal: a connection was reset in the turn in which the set-up was decided. The attempt
/// counted as cut, its set-up was written to the next connection, and the call was sent again beside it.
#[test]
fn a_set_up_that_is_still_to_be_written_when_its_connection_ends_never_left() {
    let mut calls = table();
    set_up(&mut calls, START, 7, 1, true);
    calls.exchange_disconnected(START, 0, &[]);
    calls.dispatch_queued_events(START);
    assert_eq!(calls.counters.get("errors attempts never sent"), 1);
    assert_eq!(sent_to(&run(&mut calls, START + 3_000 * MS)), vec![], "nothing is left to be written");
}

#[test]
fn an_answer_that_cannot_reach_its_caller_is_released_at_the_exchange() {
    let mut calls = table();
    set_up(&mut calls, START, 7, 1, false);
    calls.handle_exchange_event(START, 0, ExchangeEvent::Answered { call_id: 1, description: b"d" });
    run(&mut calls, START);
    calls.answer_lost(START + MS, 1);
    let released = Command::RequestExchange { to: 0, call_id: 1, request: ExchangeRequest::Release(16) };
    assert_eq!(calls.commands, vec![released]);
}

/// Both set-ups of one id once went on as one call, and the second was told nothing.
#[test]
fn an_id_in_use_is_not_served_twice() {
    let mut calls = table();
    set_up(&mut calls, START, 7, 1, false);
    run(&mut calls, START);
    let failed = |link| Command::NotifyCaller {
        conn: Some(link),
        call_id: 1,
        notification: CallerNotification::Failed,
    };
    set_up(&mut calls, START, 8, 1, false);
    assert_eq!(calls.commands, vec![failed(8)], "another connection's set-up is no matter of the call");
    calls.commands.clear();
    set_up(&mut calls, START, 7, 1, false);
    let given_up = Command::RequestExchange {
        to: 0,
        call_id: 1,
        request: ExchangeRequest::CancelAttempt { attempt: 0 },
    };
    assert_eq!(calls.commands, vec![failed(7), given_up], "one answer for both");
    assert_eq!((calls.open_set_ups(), calls.has_calls(7)), (0, false));
    calls.commands.clear();
    set_up(&mut calls, START + MS, 9, 1, false);
    assert_eq!(calls.commands, vec![failed(9)], "late words on the first would be taken for the second's");
    run(&mut calls, START + 31_000 * MS);
    set_up(&mut calls, START + 31_000 * MS, 9, 1, false);
    assert_eq!(sent_to(&run(&mut calls, START + 31_000 * MS)).len(), 1, "in the end an id is forgotten");
}

/// A set-up that crosses the close of its connection comes again on another, under the same id.
#[test]
fn a_set_up_lost_with_its_connection_may_come_again() {
    let mut calls = table();
    set_up(&mut calls, START, 7, 1, false);
    calls.caller_disconnected(START, 7);
    run(&mut calls, START);
    set_up(&mut calls, START + MS, 8, 1, false);
    assert_eq!(sent_to(&run(&mut calls, START + MS)).len(), 1);
}

#[test]
fn what_a_connection_bears_is_known_until_its_last_call_is_over() {
    let mut calls = table();
    set_up(&mut calls, START, 7, 1, false);
    assert!(calls.has_open_set_ups(7) && calls.has_calls(7));
    calls.handle_exchange_event(START, 0, ExchangeEvent::Answered { call_id: 1, description: b"d" });
    assert!(!calls.has_open_set_ups(7) && calls.has_calls(7));
    calls.handle_exchange_event(START, 0, ExchangeEvent::Released { call_id: 1, cause: 16 });
    assert!(!calls.has_calls(7));
}

/// An answer under an id that was never sent from here was once answered with a release.
#[test]
fn second_copies_and_answers_under_unknown_ids_change_nothing() {
    let mut calls = table();
    calls.handle_exchange_event(START, 0, ExchangeEvent::Answered { call_id: 5, description: b"odd" });
    assert_eq!(calls.commands, vec![]);
    set_up(&mut calls, START, 7, 1, false);
    for description in [b"good", b"copy"] {
        calls.handle_exchange_event(START, 0, ExchangeEvent::Answered { call_id: 1, description });
    }
    let said = run(&mut calls, START);
    assert_eq!(finals(&said), vec![(0, &CallerNotification::Answer(b"good".to_vec()))]);
    let commands: Vec<&Command> = said.iter().map(|(_, command)| command).collect();
    let set_up = |c: &Command| {
        matches!(c, Command::RequestExchange { call_id: 1, request: ExchangeRequest::SetUp { .. }, .. })
    };
    assert!(set_up(commands[0]), "{commands:?}");
    let answer = Command::NotifyCaller {
        conn: Some(7),
        call_id: 1,
        notification: CallerNotification::Answer(b"good".to_vec()),
    };
    assert_eq!(commands[1..], [&Command::StartLivenessChecks(0), &answer], "and nothing of the copy");
}

/// What is kept for open set-ups once knew no bound but their number.
#[test]
fn set_ups_beyond_the_memory_are_refused() {
    let big = [b'x'; 15_000];
    let mut calls = table_within(Some(20_000));
    for call_id in [1, 2] {
        let s = SetUp { call_id, description: &big, ..plain(false) };
        calls.handle_caller_request(START, 7, CallerRequest::SetUp(s));
    }
    assert_eq!(calls.open_set_ups(), 1);
    let last = calls.commands.pop_back();
    assert!(
        matches!(last, Some(Command::NotifyCaller { notification: CallerNotification::Refused(_), .. })),
        "{last:?}"
    );
}

#[test]
fn a_drain_withholds_what_has_not_left_and_stops_what_would_come() {
    let mut calls = table();
    let address = "127.0.0.1:1".parse().unwrap();
    let hosts = json!({"all": false, "targets": [journal_target(1, "s-1", address, "DRAINING")]});
    let answer = json!({"pos": 2, "entries": [{"pos": 2, "hosts": hosts}]});
    let news = calls.directory.apply(serde_json::from_value(answer).unwrap()).unwrap();
    calls.apply_directory_update(START, news);
    assert!(calls.commands.contains(&Command::WithdrawSetUps(0)));
    set_up(&mut calls, START, 7, 1, true);
    assert!(sent_to(&run(&mut calls, START + 100 * MS)).is_empty());
}

/// A machine that stopped after its drain once left its connections open and said nothing of its calls.
#[test]
fn calls_on_a_machine_that_is_gone_are_released_soon_after_the_news() {
    let mut calls = table();
    set_up(&mut calls, START, 7, 1, false);
    calls.handle_exchange_event(START, 0, ExchangeEvent::Answered { call_id: 1, description: b"d" });
    run(&mut calls, START);
    let address = "127.0.0.1:1".parse().unwrap();
    let hosts = json!({"all": false, "targets": [journal_target(1, "s-1", address, "DELETED")]});
    let answer = json!({"pos": 2, "entries": [{"pos": 2, "hosts": hosts}]});
    let news = calls.directory.apply(serde_json::from_value(answer).unwrap()).unwrap();
    calls.apply_directory_update(START, news);
    let said = run(&mut calls, START + 900 * MS);
    assert_eq!(
        finals(&said).iter().map(|f| f.1).collect::<Vec<_>>(),
        vec![&CallerNotification::Released(41)]
    );
    assert!(said.iter().any(|(_, c)| *c == Command::RemoveExchange(0)));
}

/// Exchanges answer with a number of `CSeq` of their own: every second attempt was once taken for an earlier
/// one, and its call released at the exchange.
#[test]
fn words_count_for_the_attempt_that_is_out_at_their_exchange_and_late_ones_for_none() {
    let mut calls = table();
    set_up(&mut calls, START, 7, 1, false);
    run(&mut calls, START);
    calls.exchange_disconnected(START, 0, &[]);
    calls.dispatch_queued_events(START);
    let (outcome, cause, report) = (Outcome::Failed, Cause::Untold, LoadReport::default());
    let ended = || ExchangeEvent::AttemptEnded { call_id: 1, outcome, cause, report };
    let late = START + 100 * MS;
    calls.handle_exchange_event(late, 0, ended());
    calls.handle_exchange_event(late, 0, ExchangeEvent::Answered { call_id: 1, description: b"old" });
    calls.dispatch_queued_events(late);
    let release = Command::RequestExchange { to: 0, call_id: 1, request: ExchangeRequest::Release(16) };
    assert_eq!(calls.commands, vec![release.clone()], "what stands there for the first serves nobody");
    calls.commands.clear();
    let now = START + 400 * MS;
    assert_eq!(sent_to(&run(&mut calls, now)).len(), 1);
    calls.handle_exchange_event(now, 1, ended());
    calls.handle_exchange_event(now, 1, ExchangeEvent::Answered { call_id: 1, description: b"elsewhere" });
    assert!(finals(&run(&mut calls, now)).is_empty());
    calls.handle_exchange_event(now, 0, ExchangeEvent::Answered { call_id: 1, description: b"new" });
    assert_eq!(finals(&run(&mut calls, now)), vec![(0, &CallerNotification::Answer(b"new".to_vec()))]);
}

/// Found by a rehearsal with events drawn at random: a machine was replaced twice at its address. The link to
/// the old one ended at the new one, and what that said there of its own calls was dropped.
#[test]
fn a_release_heard_on_the_link_of_a_machine_that_had_the_address_before_is_passed_on() {
    let mut calls = table();
    let host = |uid: &str, state| journal_target(1, uid, "127.0.0.1:1".parse().unwrap(), state);
    let targets = [host("s-1", "DRAINING"), host("s-9", "SERVING")];
    let event = json!({"pos": 2, "hosts": {"rev": 2, "all": false, "targets": targets}});
    let answer = serde_json::from_value(json!({"pos": 2, "entries": [event]})).unwrap();
    let news = calls.directory.apply(answer).unwrap();
    calls.apply_directory_update(START, news);
    calls.commands.clear();
    set_up(&mut calls, START, 7, 1, false);
    assert_eq!(sent_to(&run(&mut calls, START)), vec![(0, 2)], "the new machine has the handle 2");
    calls.handle_exchange_event(START + MS, 0, ExchangeEvent::Answered { call_id: 1, description: b"d" });
    calls.handle_exchange_event(START + 2 * MS, 1, ExchangeEvent::Released { call_id: 1, cause: 16 });
    let told = |calls: &mut Calls| {
        let said = run(calls, START + 2 * MS);
        finals(&said).into_iter().map(|(_, say)| say.clone()).collect::<Vec<_>>()
    };
    assert_eq!(
        told(&mut calls),
        vec![CallerNotification::Answer(b"d".to_vec())],
        "exchange 2 speaks for itself only"
    );
    calls.handle_exchange_event(START + 2 * MS, 0, ExchangeEvent::Released { call_id: 1, cause: 16 });
    assert_eq!(told(&mut calls), vec![CallerNotification::Released(16)]);
}
