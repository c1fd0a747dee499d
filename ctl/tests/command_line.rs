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

/// Four weeks at both ends of one group: 5 E by day, 60 E on Saturday late mornings, on 60 circuits.
fn four_weeks(folder: &Path) {
    use measured::record::{encode, ClassFigures, GroupFigures, Holding, Interval};
    let (quarter, monday) = (900_000i64, 1_777_845_600_000i64); // 2026-05-04 00:00 in Prague
    for n in 0..28 * 96i64 {
        let (day, part) = (n / 96, n % 96);
        let peak = day % 7 == 5 && (40..48).contains(&part);
        let calls = if peak { 270 } else { 22 };
        for (exchange, to) in [(1, 2), (2, 1)] {
            let from = monday + n * quarter;
            let class =
                ClassFigures { class: "result-view".into(), width: 1, offered: calls, ..Default::default() };
            let group = GroupFigures {
                to,
                circuits: 60.0,
                observed: 900.0,
                classes: vec![class],
                ..Default::default()
            };
            let held = Holding {
                class: "result-view".into(),
                calls,
                seconds: 100.0 * calls as f64,
                squares: 20_000.0 * calls as f64,
                quantiles: [69.0, 230.0, 460.0],
            };
            let interval = Interval {
                exchange,
                from,
                to: from + quarter,
                measured: (from, from + quarter),
                time_zone: "Europe/Prague".into(),
                groups: vec![group],
                holding: vec![held],
                uncounted: 0,
            };
            std::fs::write(folder.join(interval.file_name()), encode(&interval)).unwrap();
        }
    }
}

#[test]
fn circuits_are_reckoned_from_files_and_a_bad_file_is_named_and_skipped() {
    let folder = tempfile::tempdir().unwrap();
    let files = folder.path().join("intervals");
    std::fs::create_dir(&files).unwrap();
    four_weeks(&files);
    let (out, plots) = (folder.path().join("plan.json"), folder.path().join("plots"));
    let text = |p: &Path| p.to_str().unwrap().to_string();
    let arguments =
        ["dimension", &text(&files), "--loss", "0.01", "--json", &text(&out), "--plots", &text(&plots)];
    let output = ctl(&arguments);
    assert_eq!(output.status.code(), Some(0), "{}", error(&output));
    let plan: serde_json::Value = serde_json::from_slice(&std::fs::read(&out).unwrap()).unwrap();
    let group = &plan["groups"][0];
    assert_eq!((&group["needed"], &group["present"]), (&75.into(), &60.into()), "{group}");
    assert_eq!(group["hour"]["kind"], "saturday");
    assert_eq!(group["verdict"], "enlarge");
    assert!(plots.join("load-n1-n2.svg").is_file() && plots.join("loss-n1-n2.svg").is_file());
    let printed = String::from_utf8_lossy(&output.stdout).into_owned();
    println!("{printed}");
    assert!(printed.contains("n1-n2") && printed.contains("sat 10:"), "{printed}");

    let bad = files.join("n00001-000000000000000.interval");
    let whole = std::fs::read(std::fs::read_dir(&files).unwrap().next().unwrap().unwrap().path()).unwrap();
    std::fs::write(&bad, &whole[..whole.len() / 2]).unwrap();
    let output = ctl(&arguments);
    assert_eq!(output.status.code(), Some(3));
    assert!(error(&output).contains("n00001-000000000000000.interval: cut off"), "{}", error(&output));
    let only_bad = ctl(&["dimension", &text(&bad)]);
    assert_eq!(only_bad.status.code(), Some(2));
    assert_eq!(ctl(&["dimension", &text(&files), "--loss", "1.5"]).status.code(), Some(2));
    assert_eq!(ctl(&["dimension", &text(&files), "--day", "sunday"]).status.code(), Some(2));
}

#[test]
fn single_figures_are_bare_on_the_last_line() {
    let last = |arguments: &[&str]| {
        let output = ctl(&[&["erlang"], arguments].concat());
        assert!(output.status.success(), "{}", error(&output));
        String::from_utf8_lossy(&output.stdout).lines().last().unwrap().to_string()
    };
    assert_eq!(last(&["--offered", "60", "--loss", "0.01"]), "75");
    let loss: f64 = last(&["--offered", "12.031", "--circuits", "20"]).parse().unwrap();
    assert!((loss - 0.01).abs() < 1e-4);
    let peaked: u32 = last(&["--offered", "60", "--loss", "0.01", "--peakedness", "2"]).parse().unwrap();
    assert!(peaked > 80);
    assert_eq!(last(&["--offered", "0", "--loss", "0.01"]), "0");
    for bad in
        [&["--offered", "-1", "--loss", "0.01"][..], &["--offered", "5"], &["--offered", "5", "--loss", "2"]]
    {
        assert_eq!(ctl(&[&["erlang"], bad].concat()).status.code(), Some(2), "{bad:?}");
    }
}

#[test]
fn what_controllers_measured_in_a_rehearsal_can_be_reckoned_with() {
    let folder = tempfile::tempdir().unwrap();
    let (script, files) = (folder.path().join("hour.json5"), folder.path().join("intervals"));
    let calm = "{ name: 'hour', seconds: 3700, nodes: 3, planned_calls: 3, load: 1, processor: { use_at_plan: 0.1 } }";
    std::fs::write(&script, calm).unwrap();
    let text = |p: &Path| p.to_str().unwrap().to_string();
    let played = ctl(&["rehearse", &text(&script), "--measure", &text(&files)]);
    assert!(played.status.success(), "{}", error(&played));
    let output = ctl(&["dimension", &text(&files), "--class-loss", "result-post=0.002"]);
    assert_eq!(output.status.code(), Some(0), "{}", error(&output));
    let printed = String::from_utf8_lossy(&output.stdout).into_owned();
    for part in
        ["n0-n1", "n0-n2", "n1-n2", "tandems tried", "note: 1 days of the kind 'weekday'", "(settled after"]
    {
        assert!(printed.contains(part), "{part} in {printed}");
    }
    let refused = ctl(&["rehearse", &text(&script), "--measure", &text(&files), "--runs", "2"]);
    assert_eq!(refused.status.code(), Some(2));
}
