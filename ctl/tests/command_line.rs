//! The command line as operators meet it.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn ctl(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_dillholdctl")).args(arguments).output().unwrap()
}

fn script(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../rehearsals").join(name);
    path.to_str().unwrap().into()
}

fn error(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn a_rehearsal_is_reported_written_and_compared() {
    let folder = tempfile::tempdir().unwrap();
    let file = |name: &str| folder.path().join(name).to_str().unwrap().to_string();
    let (a, b, again) = (file("a.json"), file("b.json"), file("again.json"));
    let calm = script("calm.json5");
    for (out, seed) in [(&a, "1"), (&again, "1"), (&b, "9")] {
        let played = ctl(&["rehearse", &calm, "--short", "--seed", seed, "--runs", "2", "--json", out]);
        assert!(played.status.success(), "{}", error(&played));
        assert!(String::from_utf8_lossy(&played.stdout).contains("service worth"));
    }
    assert_eq!(std::fs::read(&a).unwrap(), std::fs::read(&again).unwrap());
    let same = ctl(&["compare", &a, &again]);
    let text = String::from_utf8_lossy(&same.stdout).into_owned();
    assert!(text.contains("pair by pair") && text.contains("within the noise"), "{text}");
    assert!(!text.contains("beyond the noise"), "{text}");
    let other = ctl(&["compare", &a, &b]);
    assert!(String::from_utf8_lossy(&other.stdout).contains("different seeds"));
    let plots: PathBuf = folder.path().join("plots");
    let drawn = ctl(&["rehearse", &calm, "--short", "--plots", plots.to_str().unwrap()]);
    assert!(drawn.status.success() && plots.join("worth.svg").is_file());
}

#[test]
fn what_cannot_be_played_is_refused_with_its_place_and_code_2() {
    let folder = tempfile::tempdir().unwrap();
    let bad = folder.path().join("bad.json5");
    let bad = bad.to_str().unwrap();
    std::fs::write(bad, "{ name: 'x', seconds: 30,\n  events: [{ at: 1, for: 2, kind: 'hang', share: 7 }] }")
        .unwrap();
    let output = ctl(&["rehearse", bad]);
    assert_eq!(output.status.code(), Some(2));
    assert!(error(&output).contains("bad.json5:2:") && error(&output).contains("events[0].share"));
    for arguments in [
        &["rehearse", "no-such-file.json5"][..],
        &["rehearse", bad, "--trace", "xyz"],
        &["rehearse", bad, "--runs", "0"],
        &["compare", bad, bad],
        &["rehearse", &script("calm.json5"), "--clock", "wall", "--program", "no-such-program"],
    ] {
        let output = ctl(arguments);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}: {}", error(&output));
        assert!(!error(&output).is_empty());
    }
}

#[test]
fn a_trace_shows_the_messages_of_a_call() {
    let hang = script("hang-while-two-drain.json5");
    let folder = tempfile::tempdir().unwrap();
    let out = folder.path().join("x.json");
    let played = ctl(&["rehearse", &hang, "--short", "--json", out.to_str().unwrap()]);
    assert!(played.status.success());
    let report: serde_json::Value = serde_json::from_slice(&std::fs::read(&out).unwrap()).unwrap();
    let lost = report["runs"][0]["lost"].as_array().unwrap();
    let lost = lost.iter().find(|l| l["how"] == "cut").expect("calls of the nodes that drain are cut");
    let call = lost["call"].as_str().unwrap();
    let traced = ctl(&["rehearse", &hang, "--short", "--trace", call]);
    let text = String::from_utf8_lossy(&traced.stdout).into_owned();
    let line = |what: &str| text.lines().position(|l| l.contains(call) && l.contains(what));
    let order =
        ["set-up of", "INVITE to", "response 200", "caller told: stands", "over at its node"].map(line);
    assert!(order.iter().all(Option::is_some) && order.is_sorted(), "{order:?} in {text}");
}
