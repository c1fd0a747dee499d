//! Rehearsals with randomly generated, overlapping events: each one ends, every call has exactly one outcome, and no rule
//! is broken. The cases are the same on every run; the environment variable OVERLAPS sets their number.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rehearsal::rehearse;
use rehearsal::script::Script;

const NODES: u32 = 4;

fn event() -> impl Strategy<Value = String> {
    let kinds = prop_oneof![
        Just("kind: 'restart-cold', down: 0.7"),
        Just("kind: 'replace', drain: 2.5, down: 0.5"),
        Just("kind: 'replace', drain: 1, down: 0, same_address: true"),
        Just("kind: 'drain', for: FOR, drain: 2"),
        Just("kind: 'hang', for: FOR"),
        Just("kind: 'pauses', for: FOR, every: 1, length: 0.4"),
        Just("kind: 'slow', for: FOR, factor: 3"),
        Just("kind: 'vanish', for: FOR"),
        Just("kind: 'silent-connections'"),
        Just("kind: 'reset-connections'"),
        Just("kind: 'journal-broken', for: FOR"),
        Just("kind: 'journal-silent', for: FOR"),
        Just("kind: 'controller-killed', down: 0.4"),
        Just("kind: 'controller-restarted'"),
        Just("kind: 'demand', for: FOR, times: 3"),
        Just("kind: 'ignore-advice', for: FOR"),
    ];
    (kinds, 0..NODES, 1u32..60, 1u32..60).prop_map(|(kind, node, at_tenths, duration_tenths)| {
        let kind = kind.replace("FOR", &format!("{}", f64::from(duration_tenths) / 10.0));
        let nodes_key = if kind.contains("ignore") { String::new() } else { format!(", nodes: ['n{node}']") };
        format!("{{ at: {}, {kind}{nodes_key} }}", f64::from(at_tenths) / 10.0)
    })
}

#[test]
fn overlapping_events_break_no_rule_and_give_each_call_one_outcome() {
    let cases = std::env::var("OVERLAPS").ok().and_then(|n| n.parse().ok()).unwrap_or(24);
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = Config { cases, failure_persistence: None, max_shrink_iters: 200, ..Config::default() };
    let events = (prop::collection::vec(event(), 1..7), 1u64..1000);
    let played = TestRunner::new_with_rng(config, rng).run(&events, |(events, seed)| {
        let events = events.join(", ");
        let text = format!(
            "{{ name: 'x', seconds: 13, nodes: {NODES}, planned_calls: 30, load: 0.9, events: [{events}], \
             callers: {{ cut_again: 0.5 }}, journal: {{ silent: [2, 4], notice: [0.3, 1] }} }}"
        );
        let script = Script::parse("x", &text).map_err(|e| TestCaseError::fail(e.to_string()))?;
        let report = rehearse(&script, seed, 1, 1, false).map_err(TestCaseError::fail)?;
        let c = &report.calls;
        prop_assert_eq!(
            c.stood + c.late + c.refused + c.failed + c.cut,
            c.offered,
            "seed {}, {}",
            seed,
            text
        );
        let breach = report.runs[0].breaches.first();
        prop_assert!(!report.has_breaches(), "seed {}, {}: {:#?}", seed, text, breach);
        Ok(())
    });
    played.unwrap_or_else(|e| panic!("{e}"));
}
