//! The laboratory itself: the same file and seed give the same report, byte for byte, and every script of the
//! repository plays without a broken rule.

use std::path::{Path, PathBuf};

use rehearsal::report::Report;
use rehearsal::script::Script;
use rehearsal::{plots, rehearse};

fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../rehearsals")
}

fn scripts() -> Vec<Script> {
    let files = std::fs::read_dir(folder()).unwrap().map(|f| f.unwrap().path());
    let mut files: Vec<PathBuf> = files.filter(|f| f.extension().is_some_and(|e| e == "json5")).collect();
    files.sort();
    files.iter().map(|f| Script::load(f).unwrap()).collect()
}

fn text(report: &Report) -> String {
    serde_json::to_string(report).unwrap()
}

#[test]
fn the_same_seed_gives_the_same_report_with_any_number_of_threads() {
    let script = Script::load(&folder().join("hang-while-two-drain.json5")).unwrap();
    let one = rehearse(&script, 5, 3, 1, true).unwrap();
    let four = rehearse(&script, 5, 3, 4, true).unwrap();
    assert_eq!(text(&one), text(&four));
    let digests: Vec<&String> = one.runs.iter().map(|r| &r.digest).collect();
    assert!(digests[0] != digests[1] && digests[1] != digests[2], "another seed is another day");
    assert_eq!(rehearse(&script, 6, 1, 1, true).unwrap().runs[0].digest, *digests[1]);
}

#[test]
fn every_script_plays_in_its_short_form_and_no_rule_is_broken() {
    let scripts = scripts();
    assert!(scripts.len() >= 8);
    std::thread::scope(|scope| {
        let plays = scripts.iter().map(|script| {
            scope.spawn(move || {
                let report = rehearse(script, 1, 1, 1, true).unwrap();
                let breaches = &report.runs[0].breaches;
                assert!(!report.has_breaches(), "{}: {:#?}", script.name, breaches.first());
                assert!(report.calls.offered > 100, "{}: {:?}", script.name, report.calls);
                let c = &report.calls;
                let ends = c.stood + c.late + c.refused + c.failed + c.cut;
                assert_eq!(ends, c.offered, "{}: every call has one end", script.name);
                assert!(report.service_worth > 0.3, "{}: {}", script.name, report.service_worth);
            })
        });
        let plays: Vec<_> = plays.collect();
        plays.into_iter().for_each(|p| p.join().unwrap());
    });
}

#[test]
fn incidents_leave_their_mark() {
    let worth = |events: &str| {
        let text = format!("{{ name: 'x', seconds: 20, nodes: 4, planned_calls: 30, load: 0.7, {events} }}");
        rehearse(&Script::parse("x", &text).unwrap(), 2, 1, 1, false).unwrap()
    };
    let calm = worth("events: []");
    assert!(calm.service_worth > 0.95, "{}", calm.service_worth);
    assert!(calm.runs[0].nodes.iter().all(|n| n.cold.is_empty()));
    for event in [
        "at: 5, for: 10, kind: 'hang', nodes: ['n1', 'n2']",
        "at: 5, for: 10, kind: 'slow', factor: 8",
        "at: 5, for: 10, kind: 'lose-circuits', kept: 0.2",
        "at: 5, for: 10, kind: 'vanish', nodes: ['n1']",
        "at: 5, for: 10, kind: 'demand', times: 5",
        "at: 5, kind: 'restart-cold', nodes: ['n1'], down: 4",
    ] {
        let struck = worth(&format!("events: [{{ {event} }}]"));
        assert!(struck.service_worth < calm.service_worth - 0.03, "{event}: {}", struck.service_worth);
    }
    let cold = worth("events: [{ at: 5, kind: 'restart-cold', nodes: ['n1'] }]");
    let n1 = &cold.runs[0].nodes[1];
    assert!(n1.cold.iter().all(|(at, came, budget)| *at >= 6.0 && came <= budget), "{:?}", n1.cold);
    assert!(!n1.cold.is_empty());
    // Two losses multiply, and slow under pause is both.
    let one = worth("events: [{ at: 5, for: 10, kind: 'lose-circuits', kept: 0.6 }]");
    let both = "{ at: 5, for: 10, kind: 'lose-circuits', kept: 0.6 }";
    let two = worth(&format!("events: [{both}, {both}]"));
    assert!(two.service_worth < one.service_worth, "{} {}", two.service_worth, one.service_worth);
    // Two events that end at the same moment leave nothing behind.
    let pair = "{ at: 2, for: 3, kind: 'hang' }, { at: 3, for: 2, kind: 'pauses', every: 1, length: 0.9 }";
    let after = worth(&format!("events: [{pair}]"));
    let late: Vec<_> = after.runs[0].windows.iter().skip(12).collect();
    let share = late.iter().map(|w| w.earned).sum::<f64>() / late.iter().map(|w| w.offered).sum::<f64>();
    assert!(share > 0.9, "{share}");
}

#[test]
fn pictures_are_drawn_with_the_incident_in_them() {
    let script = Script::load(&folder().join("peak-third-cold.json5")).unwrap();
    let report = rehearse(&script, 1, 1, 1, true).unwrap();
    let out = tempfile::tempdir().unwrap();
    let files = plots::draw(&report, out.path()).unwrap();
    assert_eq!(files.len(), 3);
    for file in files {
        let svg = std::fs::read_to_string(&file).unwrap();
        assert!(svg.starts_with("<svg") && svg.contains("restart-cold"), "{}", file.display());
    }
}
