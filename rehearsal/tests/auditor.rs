//! The auditor detects each rule that a faulty controller breaks on purpose, and reports nothing for the same controller
//! without the fault.

mod common;

use common::{Fault, FaultyController};
use rehearsal::audit::Rule;
use rehearsal::report::RunReport;
use rehearsal::script::Script;

/// Plays controllers with a fault; `keys` are further keys of the script.
fn play(fault: Fault, keys: &str) -> RunReport {
    let text = format!("{{ name: 'faulty', seconds: 12, nodes: 4, planned_calls: 24, load: 0.5, {keys} }}");
    let script = Script::parse("faulty", &text).unwrap();
    let make = &mut |now, config: &str| FaultyController::start(fault, now, config);
    rehearsal::rehearse_once(&script, 3, false, None, make).unwrap().0
}

fn breach_count(run: &RunReport, rule: Rule) -> u64 {
    let name = serde_json::to_value(rule).unwrap();
    run.rules_broken[name.as_str().unwrap()]
}

#[test]
fn reports_no_breach_without_a_fault() {
    let run = play(Fault::None, "");
    assert!(run.rules_broken.values().all(|n| *n == 0), "{:#?}", run.breaches.first());
    assert!(run.calls.stood * 10 > run.calls.offered * 9, "{:?}", run.calls);
}

#[test]
fn detects_and_reports_each_broken_rule() {
    let drains = "events: [{ at: 2, kind: 'replace', nodes: ['n1'], drain: 8 }]";
    let hangs = "events: [{ at: 2, for: 6, kind: 'hang', nodes: ['n1'] }]";
    let cold = "events: [{ at: 2, kind: 'restart-cold', nodes: ['n1'], down: 0.5 }, \
                { at: 4, for: 5, kind: 'demand', times: 4 }], groups: { spare_roots: 50 }, \
                processor: { cold_from: 0.05, cold_for: 40 }";
    let bad_callers = "events: [{ at: 2, for: 6, kind: 'bad-callers', every: 0.2, nodes: ['n1'] }]";
    let overload = "groups: { spare_roots: 0 }, events: [{ at: 1, for: 8, kind: 'demand', times: 4 }]";
    for (fault, keys, rule) in [
        (Fault::SecondFinalAnswer, "", Rule::OneFinalAnswer),
        (Fault::NoFinalAnswer, "", Rule::AnswerInTime),
        (Fault::TwoAttemptsOut, "", Rule::OneAttemptOut),
        (Fault::UnlimitedAttempts, overload, Rule::AttemptsCapped),
        (Fault::SetUpAfterEnd, overload, Rule::NothingAfterTheEnd),
        (Fault::IgnoresDrain, drains, Rule::DrainKept),
        (Fault::SkipsReleaseWait, hangs, Rule::ReleaseWaited),
        (Fault::None, cold, Rule::ColdBudget),
        (Fault::MisroutesTransit, "", Rule::Transit),
        (Fault::DropsReleases, "", Rule::ReleasePassed),
        (Fault::ChangesDescriptions, "", Rule::Unchanged),
        (Fault::WritesGarbage, "", Rule::Readable),
        (Fault::None, bad_callers, Rule::BadCallerTold),
    ] {
        let run = play(fault, keys);
        assert!(
            breach_count(&run, rule) > 0,
            "{fault:?} is not detected as {rule:?}: {:?}",
            run.rules_broken
        );
        let name = serde_json::to_value(rule).unwrap();
        let reported =
            run.breaches.iter().find(|b| b["rule"] == name).expect("the breach is reported in full");
        let without_call = matches!(rule, Rule::ColdBudget | Rule::Readable | Rule::BadCallerTold);
        assert!(
            without_call || !reported["messages"].as_array().unwrap().is_empty(),
            "no messages: {reported}"
        );
        assert!(
            without_call
                || reported["call"].is_string() && reported["at"].as_f64().is_some_and(|at| at > 0.0)
        );
    }
}
