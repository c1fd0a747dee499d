//! From what controllers measured to circuits: the load that was offered is found again, and a network of the sizes
//! reckoned from it loses what was chosen.

use measured::calendar::Calendar;
use rehearsal::rehearse_measured;
use rehearsal::script::Script;
use trunks::erlang;
use trunks::offered::{by_group, holding};

/// Four nodes with nothing in their way but circuits.
fn network(seconds: u32, more: &str) -> Script {
    let text = format!(
        "{{ name: 'known', seconds: {seconds}, nodes: 4, planned_calls: 12, load: 1, {more}
           callers: {{ redials: 2 }}, processor: {{ use_at_plan: 0.2 }},
           classes: [{{ name: 'view', share: 1, worth: 1, hold: 6 }}] }}"
    );
    Script::parse("known", &text).unwrap()
}

#[test]
fn the_offered_load_is_found_again_within_its_interval_and_redials_are_none_of_it() {
    let calendar = Calendar::new("Europe/Prague", 1).unwrap();
    // Few circuits: many calls are lost and dialled again, which must not count.
    let script = network(600, "groups: { drift: 0, spare_roots: 0 },");
    let (mut inside, mut all, mut redials) = (0, 0, 0);
    for seed in 1..=4 {
        let found = rehearse_measured(&script, seed, &calendar).unwrap();
        assert!(found.run.rules_broken.values().all(|n| *n == 0));
        let whole: Vec<_> = found.intervals.into_iter().filter(|i| i.measured == (i.from, i.to)).collect();
        let within = 1_800_000_000_000 + 600_000;
        let whole: Vec<_> = whole.into_iter().filter(|i| i.to <= within).collect();
        assert_eq!(whole.len(), 4 * 10, "ten whole minutes at each of four exchanges");
        let hold = holding(&whole)["view"].mean().unwrap();
        assert!((hold - 6.0).abs() < 0.6, "{hold}");
        for (ends, loads) in by_group(&whole) {
            assert!(loads.iter().all(|l| l.both_ends && l.circuits > 0.0));
            let calls: u64 = loads.iter().map(|l| l.classes["view"].calls).sum();
            redials += loads.iter().map(|l| l.classes["view"].redials).sum::<u64>();
            let seconds: f64 = loads.iter().map(|l| l.seconds).sum();
            let load = trunks::offered::from_arrivals(calls, seconds, &holding(&whole)["view"]);
            let truth = found.offered[&("view".to_string(), ends)];
            inside += u32::from(load.low <= truth && truth <= load.high);
            all += 1;
        }
    }
    assert!(redials > 100, "calls were lost and dialled again: {redials}");
    assert_eq!(all, 24);
    assert!(inside >= 21, "the 95% interval held the truth {inside} times of {all}");
}

#[test]
fn what_one_end_measured_tells_less_and_says_so() {
    let calendar = Calendar::new("UTC", 5).unwrap();
    let script = network(600, "groups: { drift: 0, spare_roots: 3 },");
    let found = rehearse_measured(&script, 7, &calendar).unwrap();
    let within = 1_800_000_000_000 + 600_000;
    let whole: Vec<_> =
        found.intervals.into_iter().filter(|i| i.measured == (i.from, i.to) && i.to <= within).collect();
    let both = by_group(&whole);
    let alone: Vec<_> = whole.iter().filter(|i| i.exchange == 0).cloned().collect();
    for (ends, loads) in by_group(&alone) {
        let (one, two) = (loads[0].circuits_offered(), both[&ends][0].circuits_offered());
        assert!(!loads[0].both_ends && both[&ends][0].both_ends);
        assert!(one.high - one.low > two.high - two.low, "{one:?} {two:?}");
        let truth = found.offered[&("view".to_string(), ends)];
        assert!(one.low < truth * 1.15 && one.high > truth * 0.85, "{one:?} for {truth}");
    }
}

#[test]
fn groups_of_the_sizes_reckoned_lose_what_was_chosen() {
    // A network in which every pair is offered the same, sized by the formula for what it was measured to be
    // offered: 12 calls a second, 6 s each, over six groups are 12 E to each.
    let calendar = Calendar::new("UTC", 10).unwrap();
    let probe = network(600, "groups: { drift: 0, pair_spread: 0, missed: 0, local: 1, spare_roots: 6 },");
    let found = rehearse_measured(&probe, 11, &calendar).unwrap();
    let whole: Vec<_> = found.intervals.into_iter().filter(|i| i.measured == (i.from, i.to)).collect();
    let loads = by_group(&whole);
    let mean = loads.values().map(|l| l[0].circuits_offered().mean).sum::<f64>() / loads.len() as f64;
    assert!((mean - 12.0).abs() < 0.6, "{mean}");
    let needed = erlang::circuits(12.0, 0.05).unwrap();
    let measured = erlang::circuits(mean, 0.05).unwrap();
    assert!(needed.abs_diff(measured) <= 1, "{needed} at the true load, {measured} at the measured one");
    let loss = erlang::loss(12.0, needed as f64).unwrap();
    // Groups of this size; each pair's calls find them full as often as the formula says, redials left out.
    let spare = (needed as f64 - 12.0) / 12f64.sqrt();
    let sized = format!(
        "groups: {{ drift: 0, pair_spread: 0, missed: 0, local: 1, spare_roots: {} }}, \
         controllers: {{ attempts: 1 }}, advice: {{ given: false }},",
        spare - 1e-9
    );
    let script = network(1200, &sized);
    let played = rehearse_measured(&script, 5, &calendar).unwrap();
    let figures = played.intervals.iter().filter(|i| i.measured == (i.from, i.to));
    let (full, observed) =
        figures.flat_map(|i| &i.groups).fold((0.0, 0.0), |s, g| (s.0 + g.full, s.1 + g.observed));
    let share = full / observed;
    // Twelve states of six groups over 1,200 s; redials add a little to the load.
    assert!(share > 0.5 * loss && share < 2.0 * loss, "full for {share} of the time, {loss} chosen");
}
