//! Load estimates, busy hours and plans computed from measured intervals.

use std::collections::BTreeMap;

use measured::calendar::Calendar;
use measured::record::{ClassFigures, GroupFigures, HoldingFigures, Interval};
use trunks::busy::{busy_hours, BusyHourRule, DayKind, NamedDays};
use trunks::offered::{load_from_arrivals, load_from_usage, loads_by_group, HoldingStats};
use trunks::plan::{self, distribute_circuits, size_group, LossTarget, Verdict};
use trunks::{erlang, overflow};

const QUARTER_HOUR_MS: i64 = 900_000;
/// 2026-05-04 00:00 in Prague, a Monday.
const MONDAY_MS: i64 = 1_777_845_600_000;
const DAY_MS: i64 = 86_400_000;

/// A quarter of an hour measured at one end, with calls of 100 s each to the other end.
fn interval(exchange: u32, to: u32, from: i64, offered: u64, circuits: f64) -> Interval {
    let class =
        ClassFigures { class: "view".into(), width: 1, offered, carried: offered, ..ClassFigures::default() };
    let in_use = offered as f64 * 100.0 / 900.0;
    Interval {
        exchange,
        from,
        to: from + QUARTER_HOUR_MS,
        measured: (from, from + QUARTER_HOUR_MS),
        time_zone: "Europe/Prague".into(),
        groups: vec![GroupFigures {
            to,
            circuits,
            observed: 900.0,
            circuit_seconds: 2.0 * in_use * 900.0,
            full: 0.0,
            classes: vec![class],
        }],
        holding: vec![HoldingFigures {
            class: "view".into(),
            calls: offered,
            seconds: offered as f64 * 100.0,
            squares: offered as f64 * 2.0 * 10_000.0,
            quantiles: [69.0, 230.0, 460.0],
        }],
        uncounted: 0,
    }
}

/// Four weeks of light load with a peak from 10:00 to 12:00 on Saturdays; the clock of one end is 90 s off.
fn four_weeks() -> Vec<Interval> {
    let mut all = Vec::new();
    for day in 0..28 {
        for quarter in 0..96 {
            let saturday = day % 7 == 5;
            let peak = saturday && (40..48).contains(&quarter); // 10:00 to 12:00
            let calls = if peak { 270 } else { 27 + u64::from((36..72).contains(&quarter)) * 9 };
            let from = MONDAY_MS + day * DAY_MS + quarter * QUARTER_HOUR_MS;
            all.push(interval(1, 2, from, calls, 60.0));
            all.push(interval(2, 1, from + 90_000, calls, 60.0));
        }
    }
    all
}

#[test]
fn sizes_group_for_saturday_peak_hidden_in_average() {
    let calendar = Calendar::new("Europe/Prague", 15).unwrap();
    let intervals = four_weeks();
    let loads = loads_by_group(&intervals);
    let group = &loads[&(1, 2)];
    assert_eq!(group.len(), 28 * 96, "intervals of both ends are matched despite different clocks");
    assert!(group.iter().all(|l| l.both_ends));
    let hours = busy_hours(group, &calendar, &NamedDays::new(), BusyHourRule::TimeConsistent);
    let kinds: Vec<&DayKind> = hours.iter().map(|h| &h.kind).collect();
    assert_eq!(kinds, [&DayKind::Weekday, &DayKind::Saturday, &DayKind::Sunday]);
    let saturday = &hours[1];
    // 2 x 270 calls of 100 s in 900 s.
    assert!(
        (saturday.load.mean - 60.0).abs() < 1e-6 && (600..=660).contains(&saturday.minute),
        "{saturday:?}"
    );
    assert!(
        saturday.load.low > 55.0
            && saturday.load.high < 65.0
            && saturday.days == 4
            && saturday.has_enough_days()
    );
    let target = LossTarget { loss: 0.01, by_class: BTreeMap::new(), peakedness: 1.0, price: 2.0 };
    let plan = size_group((1, 2), 60, &hours, &target).unwrap().unwrap();
    assert_eq!(plan.needed as u64, erlang::circuits(60.0, 0.01).unwrap());
    assert_eq!((&plan.hour.kind, plan.verdict), (&DayKind::Saturday, Verdict::Enlarge));
    assert!((plan.cost - 2.0 * f64::from(plan.needed - 60)).abs() < 1e-9);
    // The loss in the peak if the group is sized for the average load.
    let average = group.iter().map(|l| l.circuits_offered().mean).sum::<f64>() / group.len() as f64;
    let circuits_for_average = erlang::circuits(average, 0.01).unwrap();
    let peak_loss = erlang::loss(60.0, circuits_for_average as f64).unwrap();
    assert!(
        peak_loss > 50.0 * 0.01,
        "{circuits_for_average} circuits for the average load: a loss of {peak_loss} in the peak"
    );
}

#[test]
fn named_days_are_a_kind_of_their_own_and_nth_highest_hour_is_selected() {
    let calendar = Calendar::new("Europe/Prague", 15).unwrap();
    let loads = loads_by_group(&four_weeks());
    let named: NamedDays = BTreeMap::from([((2026, 5, 9), "race".to_string())]);
    let hours = busy_hours(&loads[&(1, 2)], &calendar, &named, BusyHourRule::TimeConsistent);
    let race = hours.iter().find(|h| h.kind == DayKind::Named("race".into())).unwrap();
    assert!((race.load.mean - 60.0).abs() < 1e-6 && race.days == 1 && race.has_enough_days());
    let saturday = hours.iter().find(|h| h.kind == DayKind::Saturday).unwrap();
    assert!(saturday.days == 3 && !saturday.has_enough_days(), "three Saturdays are fewer than the minimum");
    let nth_highest = |n| {
        let hours = busy_hours(&loads[&(1, 2)], &calendar, &NamedDays::new(), BusyHourRule::NthHighest(n));
        hours.into_iter().find(|h| h.kind == DayKind::Saturday).unwrap().load.mean
    };
    assert!(
        (nth_highest(1) - 60.0).abs() < 1e-6 && (nth_highest(8) - 60.0).abs() < 1e-6 && nth_highest(9) < 10.0
    );
}

#[test]
fn load_from_usage_of_full_group_has_infinite_upper_bound() {
    let load = load_from_usage(20.0, 20.0, 100.0, 3_600.0);
    assert!(load.high.is_infinite() && load.low > 10.0 && load.mean > 20.0, "{load:?}");
    let moderate = load_from_usage(10.0, 20.0, 100.0, 36_000.0);
    assert!(moderate.low < 10.0 && moderate.high > 10.0 && moderate.high < 13.0, "{moderate:?}");
    // The load of which 17 E are carried on 20 circuits.
    let tight = load_from_usage(17.0, 20.0, 10.0, 360_000.0);
    assert!((tight.mean * (1.0 - erlang::loss(tight.mean, 20.0).unwrap()) - 17.0).abs() < 1e-6);
    let one_end = loads_by_group(&[interval(1, 2, MONDAY_MS, 90, 60.0)]);
    let load = one_end[&(1, 2)][0].circuits_offered();
    assert!((load.mean - 20.0).abs() < 0.5, "10 E of the known end and 10 E of the other end: {load:?}");
    let hours = busy_hours(
        &one_end[&(1, 2)],
        &Calendar::new("UTC", 15).unwrap(),
        &NamedDays::new(),
        BusyHourRule::NthHighest(1),
    );
    assert!(hours.is_empty(), "a quarter of an hour is below the minimum measured time");
}

#[test]
fn load_from_arrivals_uses_garwood_interval_and_widens_with_holding_time_variance() {
    let long = HoldingStats { calls: 1_000_000, seconds: 1e8, squares: 2e10 };
    let load = load_from_arrivals(10, 1_000.0, &long);
    // Garwood's exact limits for 10 are 4.795 and 18.390.
    assert!((load.mean - 1.0).abs() < 1e-12);
    assert!((load.low - 0.4795).abs() < 1e-3 && (load.high - 1.839).abs() < 1e-3, "{load:?}");
    let few = load_from_arrivals(10, 1_000.0, &HoldingStats { calls: 5, seconds: 500.0, squares: 1e5 });
    assert!(few.low < load.low && few.high > load.high);
    let none = load_from_arrivals(0, 1_000.0, &long);
    assert!(none.mean == 0.0 && none.low == 0.0 && (none.high - 0.3689).abs() < 1e-3, "{none:?}");
}

#[test]
fn distribute_circuits_maximizes_carried_load() {
    let loads = [3.0, 30.0, 12.0, 0.0];
    let assigned = distribute_circuits(&loads, 55).unwrap();
    assert_eq!(assigned.iter().sum::<u32>(), 55);
    let carried = |n: &[u32]| -> f64 {
        let one = |(a, n): (&f64, &u32)| a * (1.0 - erlang::loss(*a, f64::from(*n)).unwrap());
        loads.iter().zip(n).map(one).sum()
    };
    let best = carried(&assigned);
    for from in 0..4 {
        for to in (0..4).filter(|to| *to != from && assigned[from] > 0) {
            let mut moved = assigned.clone();
            (moved[from], moved[to]) = (moved[from] - 1, moved[to] + 1);
            assert!(carried(&moved) <= best + 1e-12, "{assigned:?} {moved:?}");
        }
    }
    assert_eq!(assigned[3], 0, "a group without load gets no circuits");
}

#[test]
fn sizes_groups_for_peaked_traffic_and_wide_calls() {
    let calendar = Calendar::new("Europe/Prague", 15).unwrap();
    let loads = loads_by_group(&four_weeks());
    let hours = busy_hours(&loads[&(1, 2)], &calendar, &NamedDays::new(), BusyHourRule::TimeConsistent);
    let needed = |peakedness| {
        let target = LossTarget { loss: 0.01, by_class: BTreeMap::new(), peakedness, price: 0.0 };
        size_group((1, 2), 60, &hours, &target).unwrap().unwrap().needed
    };
    let stream = overflow::Stream::peaked(60.0, 2.0);
    assert_eq!(u64::from(needed(2.0)), overflow::circuits(stream, 0.01).unwrap());
    let mut wide = hours[1].clone();
    wide.classes.insert("wide".into(), (8, trunks::offered::LoadEstimate { mean: 2.0, low: 1.5, high: 2.5 }));
    wide.load = wide.load.plus(trunks::offered::LoadEstimate { mean: 16.0, low: 12.0, high: 20.0 });
    let mut target = LossTarget { loss: 0.01, by_class: BTreeMap::new(), peakedness: 1.0, price: 0.0 };
    let plan = size_group((1, 2), 60, std::slice::from_ref(&wide), &target).unwrap().unwrap();
    assert!(plan.needed > 100, "a wide call needs eight free circuits: {}", plan.needed);
    assert!(plan.loss_now[1].1 > plan.loss_now[0].1);
    // A higher target loss of the wide class needs fewer circuits; a loss above 1 is rejected.
    target.by_class = BTreeMap::from([("wide".to_string(), 0.1)]);
    let relaxed = size_group((1, 2), 60, std::slice::from_ref(&wide), &target).unwrap().unwrap();
    assert!(relaxed.needed < plan.needed, "{} {}", relaxed.needed, plan.needed);
    target.by_class = BTreeMap::from([("wide".to_string(), 1.5)]);
    assert!(size_group((1, 2), 60, std::slice::from_ref(&wide), &target).is_err());
}

#[test]
fn build_network_adds_tandems_and_reserves() {
    let calendar = Calendar::new("Europe/Prague", 15).unwrap();
    let mut intervals = Vec::new();
    for (a, b, calls) in [(0, 1, 100), (0, 2, 20), (1, 2, 20)] {
        for quarter in 40..44 {
            intervals.push(interval(a, b, MONDAY_MS + quarter * QUARTER_HOUR_MS, calls, 20.0));
            intervals.push(interval(b, a, MONDAY_MS + quarter * QUARTER_HOUR_MS, calls, 20.0));
        }
    }
    let target = LossTarget { loss: 0.01, by_class: BTreeMap::new(), peakedness: 1.0, price: 0.0 };
    let plans: Vec<_> = loads_by_group(&intervals)
        .iter()
        .map(|(ends, loads)| {
            let hours = busy_hours(loads, &calendar, &NamedDays::new(), BusyHourRule::TimeConsistent);
            size_group(*ends, 20, &hours, &target).unwrap().unwrap()
        })
        .collect();
    let network = plan::build_network(&plans, 0.4);
    assert_eq!(
        (network.nodes, network.groups[0].reserve, network.demands[0].tandems.clone()),
        (3, 2, vec![2])
    );
    let found = network.solve().unwrap().from_empty;
    let loss_without_tandems = erlang::loss(plans[0].hour.load.mean, 20.0).unwrap();
    assert!(
        found.converged && found.loss[0] < 0.7 * loss_without_tandems,
        "the third node carries overflow calls: {found:?}"
    );
}
