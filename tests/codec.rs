//! Tests of the line codec and of the host program, including invalid input.

use std::io::Write;
use std::process::{Command, Stdio};

use pitchgw::interface::*;
use pitchgw::wire::{ListPages, Message, NameTable};

const SETTINGS: &str = r#"{"az":"north","dcs":["north","south"],"charges":{"late-fail":0.05},"family-info":
{"circuits-by-class":[1,4],"class-cells":[],"home-no":0,"mean-hold":[10000000000,null],"release":300000000,
"resend":0,"shape":"meshed"},"grades":[{"aim":2000000000,"deadline":9000000000,"late-worth":0.1,"name":"plain",
"worth":1.0},{"aim":1000000000,"deadline":9000000000,"name":"wide","worth":3}],"instances":3,"my-number":0,
"permissions":{"attempts-cap":4,"cancel":true,"may-probe":null},"registry-mode":"pushed","report":{"how":"none"},
"rules":{"cold":14000000000,"cold-from":0.3,"overload-factor":2.0,"overload-for":2000000000},"tick":5000000,
"something-new":[1,2,{"x":null}]}"#;

fn launch_line() -> String {
    format!("[\"LAUNCH\",\"agent/0\",42,{}]", SETTINGS.replace('\n', ""))
}

fn launched() -> (NameTable, Settings) {
    let (names, settings, seed) = NameTable::from_launch(&Message::parse(&launch_line()).unwrap()).unwrap();
    assert_eq!(seed, 42);
    (names, settings)
}

fn pages() -> ListPages {
    let mut pages = ListPages::default();
    let line = r#"["PAGE",3,[["h:1",null,"north","IN",1,"k",0],["h:2",77,"south","LAME",1,"k",1]]]"#;
    pages.insert(&Message::parse(line).unwrap()).unwrap();
    pages
}

fn parse_event(names: &mut NameTable, line: &str) -> Option<Event> {
    names.parse_event(&Message::parse(line).unwrap(), &pages()).unwrap()
}

const CALL_OFFER: &str = r#"["KNOCK","agent/0","id-1","wide",null,"n/1",9000,null,1,4,-1,24,"extra"]"#;

#[test]
fn parses_settings_and_ignores_unknown_keys() {
    let (_, settings) = launched();
    assert_eq!(
        (settings.controller_count, settings.home_exchange, settings.topology, settings.zone),
        (3, Some(0), Topology::Mesh, 0)
    );
    assert_eq!(
        (settings.classes[1].width, settings.classes[1].mean_duration, settings.classes[0].worth),
        (4, 0, 1.0)
    );
    assert!(settings.may_cancel && !settings.may_probe && settings.classes[0].idempotent);
}

#[test]
fn parses_events_and_formats_actions_with_matching_ids() {
    let (mut names, _) = launched();
    let Some(Event::ListUpdated(ListUpdate::Restored, entries)) =
        parse_event(&mut names, r#"["MEMBERS","agent/0","restored",1,3]"#)
    else {
        panic!("expected a restored list")
    };
    assert_eq!(
        (entries[1].since, entries[1].standing, entries[1].zone),
        (Some(77), ExchangeState::Draining, 1)
    );
    let Some(Event::CallOffered(call)) = parse_event(&mut names, CALL_OFFER) else {
        panic!("expected a call")
    };
    assert_eq!(
        (call.class, call.width, call.advised_route, call.in_transit, call.after_cut),
        (1, 4, None, true, true)
    );
    let send = Action::SendSetUp { call: call.call, exchange: entries[1].exchange, timeout: 80 };
    assert_eq!(names.format_action("agent/0", &send).unwrap(), r#"["SEND","agent/0","id-1","h:2",80]"#);
    let done = r#"["DONE","agent/0","id-1",0,"h:2","overloaded",18,false,18,{"spare":-1,"total":9,"new":1}]"#;
    let Some(Event::AttemptEnded { cause, outcome, report, call_over, .. }) = parse_event(&mut names, done)
    else {
        panic!("expected the end of an attempt")
    };
    assert_eq!((outcome, cause, call_over), (Outcome::Rejected, Cause::FullBeyond, false));
    assert_eq!((report.free_circuits, report.group_size, report.processor_load), (None, Some(9.0), None));
    let refuse = Action::Refuse { call: call.call, retry_after: 0 };
    assert_eq!(names.format_action("agent/0", &refuse).unwrap(), r#"["DECLINE","agent/0","id-1",0]"#);
    assert_eq!(parse_event(&mut names, r#"["HANGUP","agent/0","id-1"]"#), None, "the call has already ended");
    assert_eq!(names.format_action("agent/0", &refuse), None);
}

#[test]
fn parses_processor_wait_from_clear_code() {
    let (mut names, _) = launched();
    parse_event(&mut names, CALL_OFFER);
    let done = r#"["DONE","agent/0","id-1",0,"h:2","overloaded",18,false,4003,null]"#;
    let Some(Event::AttemptEnded { cause, .. }) = parse_event(&mut names, done) else {
        panic!("expected the end of an attempt")
    };
    assert_eq!(cause, Cause::ProcessorFull(Some(250_000_000)));
}

#[test]
fn parse_errors_name_event_field_and_expected_value() {
    let (mut names, _) = launched();
    let mut parse = |line: &str| {
        let message = Message::parse(line)?;
        names.parse_event(&message, &pages()).map(|_| ())
    };
    let text = |e: Result<(), pitchgw::wire::WireError>| e.unwrap_err().to_string();
    assert!(text(parse("nonsense")).starts_with("line: JSON: expected an array"));
    assert_eq!(text(parse(r#"["WHAT","agent/0"]"#)), "WHAT: name: expected an event of the protocol");
    assert_eq!(text(parse(r#"["HANGUP","agent/0"]"#)), "HANGUP: op-id: expected a string");
    let bad = CALL_OFFER.replace("9000", "\"soon\"");
    assert_eq!(text(parse(&bad)), "KNOCK: deadline: expected a non-negative integer");
    let bad = CALL_OFFER.replace("wide", "none");
    assert_eq!(text(parse(&bad)), "KNOCK: priority: expected a class of the settings");
}

fn run_host(input: &str) -> (bool, String, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_pitchgw-wirehost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The host may exit before it has read all input; the write error is expected then.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    let output = child.wait_with_output().unwrap();
    let text = |b: Vec<u8>| String::from_utf8(b).unwrap();
    (output.status.success(), text(output.stdout), text(output.stderr))
}

#[test]
fn host_replies_per_batch_and_exits_successfully_at_end_of_input() {
    let page = r#"["PAGE",3,[["h:1",null,"north","IN",1,"k",0],["h:2",null,"south","IN",1,"k",1]]]"#;
    let list = r#"["MEMBERS","agent/0","restored",1,3]"#;
    let call_offer = CALL_OFFER.replace(",24,", ",0,").replace("9000", "9000000000");
    let input = format!(
        "[\"SYNC\",1]\n[\"FLUSH\"]\n[\"SYNC\",5]\n{}\n{page}\n{list}\n{call_offer}\n[\"FLUSH\"]\n",
        launch_line()
    );
    let (success, stdout, stderr) = run_host(&input);
    assert!(success && stderr.is_empty(), "{stderr}");
    let lines: Vec<_> = stdout.lines().collect();
    assert_eq!((lines[0], *lines.last().unwrap()), ("[\"YIELD\"]", "[\"YIELD\"]"));
    assert!(lines.iter().any(|l| l.starts_with(r#"["SEND","agent/0","id-1","h:2","#)), "{stdout}");
}

#[test]
fn host_exits_with_one_error_line_on_invalid_input() {
    let cases = [
        ("{}\n", "line: JSON: expected an array"),
        ("[\"SYNC\",1]\n[\"BELL\",\"agent/9\",\"1\"]\n", "BELL: i: expected an instance launched before"),
        ("[\"SYNC\",1]\n", "input: end: expected FLUSH before the end of input"),
        ("[\"SYNC\",1]\n[\"LAUNCH\",\"agent/0\",1,{\"instances\":1}]\n", "LAUNCH: boot-info: expected"),
        ("[\"FLUSH\"]\n", "FLUSH: order: expected SYNC first"),
    ];
    for (input, expected) in cases {
        let (success, _, stderr) = run_host(input);
        assert!(!success, "{input}");
        assert!(stderr.contains(expected) && stderr.lines().count() == 1, "{input}: {stderr}");
    }
    assert!(run_host("").0, "empty input is valid");
}
