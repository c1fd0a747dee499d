//! Rehearsals on the virtual clock: the same script and seed give the same report, byte for byte, and no script of the
//! repository breaks a rule.

use std::path::{Path, PathBuf};

use rehearsal::report::Report;
use rehearsal::script::Script;
use rehearsal::{plots, rehearse};

fn script_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../rehearsals")
}

fn scripts() -> Vec<Script> {
    let files = std::fs::read_dir(script_folder()).unwrap().map(|f| f.unwrap().path());
    let mut files: Vec<PathBuf> = files.filter(|f| f.extension().is_some_and(|e| e == "json5")).collect();
    files.sort();
    files.iter().map(|f| Script::load(f).unwrap()).collect()
}

fn to_json(report: &Report) -> String {
    serde_json::to_string(report).unwrap()
}

#[test]
fn report_depends_on_the_seed_and_not_on_the_number_of_threads() {
    let script = Script::load(&script_folder().join("hang-while-two-drain.json5")).unwrap();
    let one_thread = rehearse(&script, 5, 3, 1, true).unwrap();
    let four_threads = rehearse(&script, 5, 3, 4, true).unwrap();
    assert_eq!(to_json(&one_thread), to_json(&four_threads));
    let digests: Vec<&String> = one_thread.runs.iter().map(|r| &r.digest).collect();
    assert!(digests[0] != digests[1] && digests[1] != digests[2], "different seeds give different runs");
    assert_eq!(rehearse(&script, 6, 1, 1, true).unwrap().runs[0].digest, *digests[1]);
}

#[test]
fn no_script_breaks_a_rule_in_its_short_form() {
    let scripts = scripts();
    assert!(scripts.len() >= 8);
    std::thread::scope(|scope| {
        let threads = scripts.iter().map(|script| {
            scope.spawn(move || {
                let report = rehearse(script, 1, 1, 1, true).unwrap();
                let breaches = &report.runs[0].breaches;
                assert!(!report.has_breaches(), "{}: {:#?}", script.name, breaches.first());
                assert!(report.calls.offered > 100, "{}: {:?}", script.name, report.calls);
                let c = &report.calls;
                let outcomes = c.stood + c.late + c.refused + c.failed + c.cut;
                assert_eq!(outcomes, c.offered, "{}: every call has one outcome", script.name);
                assert!(report.service_worth > 0.3, "{}: {}", script.name, report.service_worth);
            })
        });
        let threads: Vec<_> = threads.collect();
        threads.into_iter().for_each(|thread| thread.join().unwrap());
    });
}

#[test]
fn incidents_reduce_the_service_worth_while_they_last() {
    let play = |events: &str| {
        let text = format!("{{ name: 'x', seconds: 20, nodes: 4, planned_calls: 30, load: 0.7, {events} }}");
        rehearse(&Script::parse("x", &text).unwrap(), 2, 1, 1, false).unwrap()
    };
    let calm = play("events: []");
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
        let disturbed = play(&format!("events: [{{ {event} }}]"));
        assert!(disturbed.service_worth < calm.service_worth - 0.03, "{event}: {}", disturbed.service_worth);
    }
    let cold = play("events: [{ at: 5, kind: 'restart-cold', nodes: ['n1'] }]");
    let n1 = &cold.runs[0].nodes[1];
    assert!(n1.cold.iter().all(|(at, arrived, budget)| *at >= 6.0 && arrived <= budget), "{:?}", n1.cold);
    assert!(!n1.cold.is_empty());
    // Losses of circuits from overlapping events multiply.
    let one = play("events: [{ at: 5, for: 10, kind: 'lose-circuits', kept: 0.6 }]");
    let event = "{ at: 5, for: 10, kind: 'lose-circuits', kept: 0.6 }";
    let two = play(&format!("events: [{event}, {event}]"));
    assert!(two.service_worth < one.service_worth, "{} {}", two.service_worth, one.service_worth);
    // Two events that end at the same moment are both undone.
    let events_with_one_end =
        "{ at: 2, for: 3, kind: 'hang' }, { at: 3, for: 2, kind: 'pauses', every: 1, length: 0.9 }";
    let after = play(&format!("events: [{events_with_one_end}]"));
    let windows_after: Vec<_> = after.runs[0].windows.iter().skip(12).collect();
    let share = windows_after.iter().map(|w| w.earned).sum::<f64>()
        / windows_after.iter().map(|w| w.offered).sum::<f64>();
    assert!(share > 0.9, "{share}");
}

#[test]
fn plots_show_the_incident() {
    let script = Script::load(&script_folder().join("peak-third-cold.json5")).unwrap();
    let report = rehearse(&script, 1, 1, 1, true).unwrap();
    let out = tempfile::tempdir().unwrap();
    let files = plots::draw(&report, out.path()).unwrap();
    assert_eq!(files.len(), 3);
    for file in files {
        let svg = std::fs::read_to_string(&file).unwrap();
        assert!(svg.starts_with("<svg") && svg.contains("restart-cold"), "{}", file.display());
    }
}
