//! The command line `dillholdctl`, run as a process.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn run_ctl(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_dillholdctl")).args(arguments).output().unwrap()
}

fn script_path(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../rehearsals").join(name);
    path.to_str().unwrap().into()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn rehearse_writes_report_and_plots_and_compare_reads_reports() {
    let folder = tempfile::tempdir().unwrap();
    let file = |name: &str| folder.path().join(name).to_str().unwrap().to_string();
    let (a, b, again) = (file("a.json"), file("b.json"), file("again.json"));
    let calm = script_path("calm.json5");
    for (out, seed) in [(&a, "1"), (&again, "1"), (&b, "9")] {
        let played = run_ctl(&["rehearse", &calm, "--short", "--seed", seed, "--runs", "2", "--json", out]);
        assert!(played.status.success(), "{}", stderr(&played));
        assert!(String::from_utf8_lossy(&played.stdout).contains("service worth"));
    }
    assert_eq!(std::fs::read(&a).unwrap(), std::fs::read(&again).unwrap());
    let same = run_ctl(&["compare", &a, &again]);
    let text = String::from_utf8_lossy(&same.stdout).into_owned();
    assert!(text.contains("pair by pair") && text.contains("within the noise"), "{text}");
    assert!(!text.contains("beyond the noise"), "{text}");
    let other = run_ctl(&["compare", &a, &b]);
    assert!(String::from_utf8_lossy(&other.stdout).contains("different seeds"));
    let plots: PathBuf = folder.path().join("plots");
    let drawn = run_ctl(&["rehearse", &calm, "--short", "--plots", plots.to_str().unwrap()]);
    assert!(drawn.status.success() && plots.join("worth.svg").is_file());
}

#[test]
fn rejects_invalid_input_with_position_and_exit_code_2() {
    let folder = tempfile::tempdir().unwrap();
    let bad = folder.path().join("bad.json5");
    let bad = bad.to_str().unwrap();
    std::fs::write(bad, "{ name: 'x', seconds: 30,\n  events: [{ at: 1, for: 2, kind: 'hang', share: 7 }] }")
        .unwrap();
    let output = run_ctl(&["rehearse", bad]);
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr(&output).contains("bad.json5:2:") && stderr(&output).contains("events[0].share"));
    for arguments in [
        &["rehearse", "no-such-file.json5"][..],
        &["rehearse", bad, "--trace", "xyz"],
        &["rehearse", bad, "--runs", "0"],
        &["compare", bad, bad],
        &["rehearse", &script_path("calm.json5"), "--clock", "wall", "--program", "no-such-program"],
    ] {
        let output = run_ctl(arguments);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}: {}", stderr(&output));
        assert!(!stderr(&output).is_empty());
    }
}

#[test]
fn trace_prints_the_messages_of_a_call_in_order() {
    let hang = script_path("hang-while-two-drain.json5");
    let folder = tempfile::tempdir().unwrap();
    let out = folder.path().join("x.json");
    let played = run_ctl(&["rehearse", &hang, "--short", "--json", out.to_str().unwrap()]);
    assert!(played.status.success());
    let report: serde_json::Value = serde_json::from_slice(&std::fs::read(&out).unwrap()).unwrap();
    let lost = report["runs"][0]["lost"].as_array().unwrap();
    let lost = lost.iter().find(|l| l["how"] == "cut").expect("a call that was cut at a draining node");
    let call = lost["call"].as_str().unwrap();
    let traced = run_ctl(&["rehearse", &hang, "--short", "--trace", call]);
    let text = String::from_utf8_lossy(&traced.stdout).into_owned();
    let line = |what: &str| text.lines().position(|l| l.contains(call) && l.contains(what));
    let order =
        ["set-up of", "INVITE to", "response 200", "caller told: stands", "over at its node"].map(line);
    assert!(order.iter().all(Option::is_some) && order.is_sorted(), "{order:?} in {text}");
}

/// Writes the intervals of four weeks at both ends of one group with 60 circuits: 5 E, and 60 E on Saturdays from 10 to
/// 12 o'clock.
fn write_four_weeks(folder: &Path) {
    use measured::record::{encode, ClassFigures, GroupFigures, HoldingFigures, Interval};
    let (quarter_hour_ms, monday_ms) = (900_000i64, 1_777_845_600_000i64); // 2026-05-04 00:00 in Prague
    for n in 0..28 * 96i64 {
        let (day, quarter) = (n / 96, n % 96);
        let peak = day % 7 == 5 && (40..48).contains(&quarter);
        let calls = if peak { 270 } else { 22 };
        for (exchange, to) in [(1, 2), (2, 1)] {
            let from = monday_ms + n * quarter_hour_ms;
            let class =
                ClassFigures { class: "result-view".into(), width: 1, offered: calls, ..Default::default() };
            let group = GroupFigures {
                to,
                circuits: 60.0,
                observed: 900.0,
                classes: vec![class],
                ..Default::default()
            };
            let held = HoldingFigures {
                class: "result-view".into(),
                calls,
                seconds: 100.0 * calls as f64,
                squares: 20_000.0 * calls as f64,
                quantiles: [69.0, 230.0, 460.0],
            };
            let interval = Interval {
                exchange,
                from,
                to: from + quarter_hour_ms,
                measured: (from, from + quarter_hour_ms),
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
fn dimension_calculates_circuits_and_skips_bad_files_by_name() {
    let folder = tempfile::tempdir().unwrap();
    let files = folder.path().join("intervals");
    std::fs::create_dir(&files).unwrap();
    write_four_weeks(&files);
    let (out, plots) = (folder.path().join("plan.json"), folder.path().join("plots"));
    let text = |p: &Path| p.to_str().unwrap().to_string();
    let arguments =
        ["dimension", &text(&files), "--loss", "0.01", "--json", &text(&out), "--plots", &text(&plots)];
    let output = run_ctl(&arguments);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
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
    let output = run_ctl(&arguments);
    assert_eq!(output.status.code(), Some(3));
    assert!(stderr(&output).contains("n00001-000000000000000.interval: cut off"), "{}", stderr(&output));
    let only_bad = run_ctl(&["dimension", &text(&bad)]);
    assert_eq!(only_bad.status.code(), Some(2));
    assert_eq!(run_ctl(&["dimension", &text(&files), "--loss", "1.5"]).status.code(), Some(2));
    assert_eq!(run_ctl(&["dimension", &text(&files), "--day", "sunday"]).status.code(), Some(2));
}

#[test]
fn erlang_prints_a_plain_number_on_the_last_line() {
    let last_line = |arguments: &[&str]| {
        let output = run_ctl(&[&["erlang"], arguments].concat());
        assert!(output.status.success(), "{}", stderr(&output));
        String::from_utf8_lossy(&output.stdout).lines().last().unwrap().to_string()
    };
    assert_eq!(last_line(&["--offered", "60", "--loss", "0.01"]), "75");
    let loss: f64 = last_line(&["--offered", "12.031", "--circuits", "20"]).parse().unwrap();
    assert!((loss - 0.01).abs() < 1e-4);
    let peaked: u32 = last_line(&["--offered", "60", "--loss", "0.01", "--peakedness", "2"]).parse().unwrap();
    assert!(peaked > 80);
    assert_eq!(last_line(&["--offered", "0", "--loss", "0.01"]), "0");
    for bad in
        [&["--offered", "-1", "--loss", "0.01"][..], &["--offered", "5"], &["--offered", "5", "--loss", "2"]]
    {
        assert_eq!(run_ctl(&[&["erlang"], bad].concat()).status.code(), Some(2), "{bad:?}");
    }
}

#[test]
fn dimension_reads_intervals_measured_in_a_rehearsal() {
    let folder = tempfile::tempdir().unwrap();
    let (script, files) = (folder.path().join("hour.json5"), folder.path().join("intervals"));
    let calm = "{ name: 'hour', seconds: 3700, nodes: 3, planned_calls: 3, load: 1, processor: { use_at_plan: 0.1 } }";
    std::fs::write(&script, calm).unwrap();
    let text = |p: &Path| p.to_str().unwrap().to_string();
    let played = run_ctl(&["rehearse", &text(&script), "--measure", &text(&files)]);
    assert!(played.status.success(), "{}", stderr(&played));
    let output = run_ctl(&["dimension", &text(&files), "--class-loss", "result-post=0.002"]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    let printed = String::from_utf8_lossy(&output.stdout).into_owned();
    for part in
        ["n0-n1", "n0-n2", "n1-n2", "tandems tried", "note: 1 days of the kind 'weekday'", "(settled after"]
    {
        assert!(printed.contains(part), "{part} in {printed}");
    }
    let refused = run_ctl(&["rehearse", &text(&script), "--measure", &text(&files), "--runs", "2"]);
    assert_eq!(refused.status.code(), Some(2));
}
