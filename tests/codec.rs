//! The codec and the host: what comes in, what goes out, and how bad input ends.

use std::io::Write;
use std::process::{Command, Stdio};

use pitchgw::interface::*;
use pitchgw::wire::{Message, NameTable, Pages};

const BOOT: &str = r#"{"az":"north","dcs":["north","south"],"charges":{"late-fail":0.05},"family-info":
{"circuits-by-class":[1,4],"class-cells":[],"home-no":0,"mean-hold":[10000000000,null],"release":300000000,
"resend":0,"shape":"meshed"},"grades":[{"aim":2000000000,"deadline":9000000000,"late-worth":0.1,"name":"plain",
"worth":1.0},{"aim":1000000000,"deadline":9000000000,"name":"wide","worth":3}],"instances":3,"my-number":0,
"permissions":{"attempts-cap":4,"cancel":true,"may-probe":null},"registry-mode":"pushed","report":{"how":"none"},
"rules":{"cold":14000000000,"cold-from":0.3,"overload-factor":2.0,"overload-for":2000000000},"tick":5000000,
"something-new":[1,2,{"x":null}]}"#;

fn launch_line() -> String {
    format!("[\"LAUNCH\",\"agent/0\",42,{}]", BOOT.replace('\n', ""))
}

fn names() -> (NameTable, Settings) {
    let (names, settings, seed) = NameTable::from_launch(&Message::parse(&launch_line()).unwrap()).unwrap();
    assert_eq!(seed, 42);
    (names, settings)
}

fn pages() -> Pages {
    let mut pages = Pages::default();
    let line = r#"["PAGE",3,[["h:1",null,"north","IN",1,"k",0],["h:2",77,"south","LAME",1,"k",1]]]"#;
    pages.put(&Message::parse(line).unwrap()).unwrap();
    pages
}

fn read(names: &mut NameTable, line: &str) -> Option<Event> {
    names.event(&Message::parse(line).unwrap(), &pages()).unwrap()
}

const KNOCK: &str = r#"["KNOCK","agent/0","id-1","wide",null,"n/1",9000,null,1,4,-1,24,"extra"]"#;

#[test]
fn settings_are_read_and_unknown_keys_ignored() {
    let (_, s) = names();
    assert_eq!((s.controller_count, s.home_exchange, s.topology, s.zone), (3, Some(0), Topology::Mesh, 0));
    assert_eq!((s.classes[1].width, s.classes[1].hold, s.classes[0].worth), (4, 0, 1.0));
    assert!(s.may_cancel && !s.may_probe && s.classes[0].repeatable);
}

#[test]
fn events_are_read_with_their_handles() {
    let (mut names, _) = names();
    let Some(Event::ListUpdated(ListUpdate::Restored, entries)) =
        read(&mut names, r#"["MEMBERS","agent/0","restored",1,3]"#)
    else {
        panic!("a list")
    };
    assert_eq!(
        (entries[1].since, entries[1].standing, entries[1].zone),
        (Some(77), ExchangeState::Draining, 1)
    );
    let Some(Event::CallOffered(call)) = read(&mut names, KNOCK) else { panic!("a call") };
    assert_eq!(
        (call.class, call.width, call.advised_route, call.in_transit, call.after_cut),
        (1, 4, None, true, true)
    );
    let send = Action::SendSetUp { call: call.call, exchange: entries[1].exchange, timeout: 80 };
    assert_eq!(names.action("agent/0", &send).unwrap(), r#"["SEND","agent/0","id-1","h:2",80]"#);
    let done = r#"["DONE","agent/0","id-1",0,"h:2","overloaded",18,false,18,{"spare":-1,"total":9,"new":1}]"#;
    let Some(Event::AttemptEnded { cause, outcome, report, call_over, .. }) = read(&mut names, done) else {
        panic!("an end")
    };
    assert_eq!((outcome, cause, call_over), (Outcome::Rejected, Cause::FullBeyond, false));
    assert_eq!((report.free_circuits, report.group_size, report.busy), (None, Some(9.0), None));
    let refuse = Action::Refuse { call: call.call, retry_after: 0 };
    assert_eq!(names.action("agent/0", &refuse).unwrap(), r#"["DECLINE","agent/0","id-1",0]"#);
    assert_eq!(read(&mut names, r#"["HANGUP","agent/0","id-1"]"#), None, "it is over here already");
    assert_eq!(names.action("agent/0", &refuse), None);
}

#[test]
fn a_stated_wait_is_read_from_the_clear_code() {
    let (mut names, _) = names();
    read(&mut names, KNOCK);
    let done = r#"["DONE","agent/0","id-1",0,"h:2","overloaded",18,false,4003,null]"#;
    let Some(Event::AttemptEnded { cause, .. }) = read(&mut names, done) else { panic!("an end") };
    assert_eq!(cause, Cause::ProcessorFull(Some(250_000_000)));
}

#[test]
fn faults_name_event_field_and_expectation() {
    let (mut names, _) = names();
    let mut fault = |line: &str| {
        let m = Message::parse(line)?;
        names.event(&m, &pages()).map(|_| ())
    };
    let text = |e: Result<(), pitchgw::wire::WireError>| e.unwrap_err().to_string();
    assert!(text(fault("nonsense")).starts_with("line: JSON: expected an array"));
    assert_eq!(text(fault(r#"["WHAT","agent/0"]"#)), "WHAT: name: expected an event of the protocol");
    assert_eq!(text(fault(r#"["HANGUP","agent/0"]"#)), "HANGUP: op-id: expected a text");
    let bad = KNOCK.replace("9000", "\"soon\"");
    assert_eq!(text(fault(&bad)), "KNOCK: deadline: expected a whole number, 0 or above");
    let bad = KNOCK.replace("wide", "none");
    assert_eq!(text(fault(&bad)), "KNOCK: priority: expected a class of the settings");
}

fn host(input: &str) -> (bool, String, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_pitchgw-wirehost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The host may end before all is read; that is not this end's fault.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    let out = child.wait_with_output().unwrap();
    let text = |b: Vec<u8>| String::from_utf8(b).unwrap();
    (out.status.success(), text(out.stdout), text(out.stderr))
}

#[test]
fn the_host_answers_batches_and_ends_cleanly() {
    let page = r#"["PAGE",3,[["h:1",null,"north","IN",1,"k",0],["h:2",null,"south","IN",1,"k",1]]]"#;
    let list = r#"["MEMBERS","agent/0","restored",1,3]"#;
    let knock = KNOCK.replace(",24,", ",0,").replace("9000", "9000000000");
    let input = format!(
        "[\"SYNC\",1]\n[\"FLUSH\"]\n[\"SYNC\",5]\n{}\n{page}\n{list}\n{knock}\n[\"FLUSH\"]\n",
        launch_line()
    );
    let (good, out, err) = host(&input);
    assert!(good && err.is_empty(), "{err}");
    let lines: Vec<_> = out.lines().collect();
    assert_eq!((lines[0], *lines.last().unwrap()), ("[\"YIELD\"]", "[\"YIELD\"]"));
    assert!(lines.iter().any(|l| l.starts_with(r#"["SEND","agent/0","id-1","h:2","#)), "{out}");
}

#[test]
fn the_host_ends_with_one_plain_line_on_bad_input() {
    let cases = [
        ("{}\n", "line: JSON: expected an array"),
        ("[\"SYNC\",1]\n[\"BELL\",\"agent/9\",\"1\"]\n", "BELL: i: expected an instance launched before"),
        ("[\"SYNC\",1]\n", "input: end: expected FLUSH before the end of input"),
        ("[\"SYNC\",1]\n[\"LAUNCH\",\"agent/0\",1,{\"instances\":1}]\n", "LAUNCH: boot-info: expected"),
        ("[\"FLUSH\"]\n", "FLUSH: order: expected SYNC first"),
    ];
    for (input, expected) in cases {
        let (good, _, err) = host(input);
        assert!(!good, "{input}");
        assert!(err.contains(expected) && err.lines().count() == 1, "{input}: {err}");
    }
    assert!(host("").0, "a clean end is no fault");
}
