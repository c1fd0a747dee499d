//! The auditor can fail: for each rule a naive controller that breaks it on purpose is caught, and the same
//! controller without the fault is not.

mod common;

use common::{Fault, Naive};
use rehearsal::audit::Rule;
use rehearsal::report::RunReport;
use rehearsal::script::Script;

/// Plays naive controllers with a fault through some seconds.
fn play(fault: Fault, more: &str) -> RunReport {
    let text = format!("{{ name: 'faulty', seconds: 12, nodes: 4, planned_calls: 24, load: 0.5, {more} }}");
    let script = Script::parse("faulty", &text).unwrap();
    let make = &mut |now, config: &str| Naive::start(fault, now, config);
    rehearsal::rehearse_once(&script, 3, false, None, make).unwrap().0
}

fn count(run: &RunReport, rule: Rule) -> u64 {
    let name = serde_json::to_value(rule).unwrap();
    run.rules_broken[name.as_str().unwrap()]
}

#[test]
fn a_controller_that_keeps_the_rules_is_not_blamed() {
    let run = play(Fault::None, "");
    assert!(run.rules_broken.values().all(|n| *n == 0), "{:#?}", run.breaches.first());
    assert!(run.calls.stood * 10 > run.calls.offered * 9, "{:?}", run.calls);
}

#[test]
fn each_rule_that_is_broken_is_found_and_shown() {
    let drains = "events: [{ at: 2, kind: 'replace', nodes: ['n1'], drain: 8 }]";
    let hangs = "events: [{ at: 2, for: 6, kind: 'hang', nodes: ['n1'] }]";
    let cold = "events: [{ at: 2, kind: 'restart-cold', nodes: ['n1'], down: 0.5 }, \
                { at: 4, for: 5, kind: 'demand', times: 4 }], groups: { spare_roots: 50 }, \
                processor: { cold_from: 0.05, cold_for: 40 }";
    let strangers = "events: [{ at: 2, for: 6, kind: 'bad-callers', every: 0.2, nodes: ['n1'] }]";
    let crowded = "groups: { spare_roots: 0 }, events: [{ at: 1, for: 8, kind: 'demand', times: 4 }]";
    for (fault, more, rule) in [
        (Fault::AnswersTwice, "", Rule::OneFinalAnswer),
        (Fault::AnswersNever, "", Rule::AnswerInTime),
        (Fault::TwoAttemptsOut, "", Rule::OneAttemptOut),
        (Fault::AttemptsWithoutEnd, crowded, Rule::AttemptsCapped),
        (Fault::SendsAfterTheEnd, crowded, Rule::NothingAfterTheEnd),
        (Fault::HeedsNoDrain, drains, Rule::DrainKept),
        (Fault::WaitsForNoRelease, hangs, Rule::ReleaseWaited),
        (Fault::None, cold, Rule::ColdBudget),
        (Fault::SendsTransitAstray, "", Rule::Transit),
        (Fault::PassesNoRelease, "", Rule::ReleasePassed),
        (Fault::ChangesDescriptions, "", Rule::Unchanged),
        (Fault::WritesNoise, "", Rule::Readable),
        (Fault::None, strangers, Rule::BadCallerTold),
    ] {
        let run = play(fault, more);
        assert!(count(&run, rule) > 0, "{fault:?} is not caught as {rule:?}: {:?}", run.rules_broken);
        let name = serde_json::to_value(rule).unwrap();
        let shown = run.breaches.iter().find(|b| b["rule"] == name).expect("it is written out");
        let bare = matches!(rule, Rule::ColdBudget | Rule::Readable | Rule::BadCallerTold);
        assert!(bare || !shown["messages"].as_array().unwrap().is_empty(), "with its messages: {shown}");
        assert!(bare || shown["call"].is_string() && shown["at"].as_f64().is_some_and(|at| at > 0.0));
    }
}
