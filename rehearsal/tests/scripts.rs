//! Invalid scripts are rejected with an error that names the position and the key.

use std::path::Path;

use rehearsal::script::{EventKind, Script};

/// The error of a script that has these lines from the fourth on.
fn parse_error(lines: &str) -> String {
    let text = format!("{{\n  name: 'x',\n  seconds: 60,\n{lines}\n}}");
    Script::parse("x.json5", &text).expect_err("the script is invalid").to_string()
}

#[test]
fn rejects_invalid_scripts_with_position_and_key() {
    for (lines, position, message) in [
        (
            "  events: [{ at: 5, for: 5, kind: 'hang', nodes: ['n1', 'n9'] }]",
            "x.json5:4:50: events[0].nodes: ",
            "no node 'n9', only n0 to n5",
        ),
        (
            "  events: [\n    { at: -1, for: 5, kind: 'hang' }]",
            "x.json5:5:11: events[0].at: ",
            "-1 is not between",
        ),
        (
            "  events: [\n    { at: 1, for: 1e400, kind: 'hang' }]",
            "x.json5:5:19: events[0].for: ",
            "inf is not between",
        ),
        (
            "  events: [\n    { at: 1, for: 100, kind: 'hang' }]",
            "x.json5:5:19: events[0].for: ",
            "past the end of the script",
        ),
        (
            "  events: [\n    { at: 1, for: 5, kind: 'hang', share: 1.5 }]",
            "x.json5:5:43: events[0].share: ",
            "1.5 is no share",
        ),
        (
            "  events: [\n    { at: 1, kind: 'hang' }]",
            "x.json5:5:5: events[0]: ",
            "'hang' needs the key `for`",
        ),
        (
            "  events: [\n    { at: 1, for: 2, kind: 'hang', factor: 2 }]",
            "x.json5:5:44: events[0].factor: ",
            "'hang' has no such key",
        ),
        ("  events: [\n    { at: 1, for: 2, kind: 'hung' }]", "x.json5:5:", "unknown variant `hung`"),
        (
            "  events: [\n    { at: 1, for: 2, kind: 'hang', regions: ['wien'] }]",
            "x.json5:5:45: events[0].regions: ",
            "no region 'wien'",
        ),
        (
            "  events: [\n    { at: 1, for: 2, kind: 'hang', share: 1, nodes: ['n1'] }]",
            "x.json5:5:5: events[0]: ",
            "not two",
        ),
        (
            "  events: [\n    { at: 1, for: 9, kind: 'pauses', every: 1, length: 2 }]",
            "events[0].length",
            "longer than the time",
        ),
        ("  colour: 3", "x.json5:4:11: colour: ", "unknown field `colour`"),
        ("  callers: { redails: 3 }", "x.json5:4:", "unknown field `redails`"),
        ("  nodes: 2", "x.json5:4:10: nodes: ", "between 3 and 200"),
        ("  load: 0", "x.json5:4:9: load: ", "0 is no factor"),
        ("  load: 'high'", "x.json5:4:9: load: ", "expected number"),
        ("  profile: [[0, 1], [0, 2]]", "x.json5:4:21: profile[1]: ", "no later than the point before"),
        ("  journal: { notice: [4, 1] }", "journal.notice: ", "from is later than to"),
        ("  classes: [{ name: 'a b', share: 1, worth: 1, hold: 3 }]", "classes[0].name: ", "letters, digits"),
        ("  load: 1,,", "x.json5:4:", "expected"),
    ] {
        let error = parse_error(lines);
        assert!(error.contains(position), "{lines}: {error} is not at {position}");
        assert!(error.contains(message), "{lines}: {error} does not say {message}");
    }
    let missing = Script::load(Path::new("no/such.json5")).unwrap_err().to_string();
    assert!(missing.starts_with("no/such.json5: cannot be read"), "{missing}");
}

#[test]
fn profile_interpolates_between_points_and_is_constant_outside() {
    let text = "{ name: 'x', seconds: 60, profile: [[10, 1], [20, 3]] }";
    let script = Script::parse("x", text).unwrap();
    assert_eq!([0.0, 10.0, 15.0, 20.0, 50.0].map(|t| script.profile_at(t)), [1.0, 1.0, 2.0, 3.0, 3.0]);
    assert_eq!(Script::parse("x", "{ name: 'x', seconds: 60 }").unwrap().profile_at(7.0), 1.0);
}

#[test]
fn event_kinds_are_reported_under_their_names_in_scripts() {
    let values = "for: 9, factor: 2, kept: 0.5, every: 2, length: 1, times: 2";
    for kind in ["restart-cold", "hang", "pauses", "slow", "lose-circuits", "journal-silent", "demand"] {
        let pairs: Vec<&str> = values.split(", ").collect();
        // Adds the keys that the error message asks for until the script is valid.
        let mut keys = String::new();
        let script = loop {
            let text = format!("{{ name: 'x', seconds: 60, events: [{{ at: 1, kind: '{kind}'{keys} }}] }}");
            match Script::parse("x", &text) {
                Ok(script) => break script,
                Err(e) => {
                    let e = e.to_string();
                    let key = e.split('`').nth(1).expect("the error names a key").to_string();
                    let pair = pairs
                        .iter()
                        .find(|p| p.starts_with(&format!("{key}:")))
                        .expect("a value for the key");
                    keys.push_str(&format!(", {pair}"));
                }
            }
        };
        assert_eq!(script.events[0].kind.name(), kind);
        assert_ne!(script.events[0].kind, EventKind::Vanish);
    }
}
