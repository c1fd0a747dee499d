//! Intervals by the clock, counts within them, and the form they are kept in.

use measured::calendar::{Calendar, CalendarError, Span};
use measured::meter::{Call, Class, Meter};
use measured::record::{decode, encode, Interval, RecordError};
use proptest::prelude::*;

const MINUTE: i64 = 60_000;
/// 2026-05-09 10:00 in Prague, a Saturday.
const SATURDAY: i64 = 1_778_313_600_000;

fn classes() -> Vec<Class> {
    [("view", 1), ("wide", 4)].map(|(name, width)| Class { name: name.into(), width }).to_vec()
}

fn meter(minutes: u32, now: i64) -> Meter {
    Meter::new(7, classes(), Calendar::new("Europe/Prague", minutes).unwrap(), 9_000, now)
}

fn to(destination: u32) -> Call {
    Call { class: 0, destination, transit: false }
}

#[test]
fn intervals_lie_on_the_wall_clock_and_none_spans_a_change_of_it() {
    let prague = Calendar::new("Europe/Prague", 15).unwrap();
    let at = |ms| prague.span(ms);
    assert_eq!(at(SATURDAY + 7 * MINUTE), Span { from: SATURDAY, to: SATURDAY + 15 * MINUTE });
    let local = prague.local(SATURDAY);
    assert_eq!((local.date, local.weekday, local.hour, local.minute), ((2026, 5, 9), 6, 10, 0));
    // Zones that are a quarter of an hour off the others, with hours of their own clock.
    let nepal = Calendar::new("Asia/Kathmandu", 60).unwrap();
    assert_eq!(nepal.span(SATURDAY).from.rem_euclid(60 * MINUTE), 15 * MINUTE);
    // The clocks go forward at 2026-03-29 01:00 UTC and back at 2026-10-25 01:00 UTC.
    for change in [1_774_746_000_000i64, 1_792_890_000_000] {
        for minutes in [15, 60, 120] {
            let calendar = Calendar::new("Europe/Prague", minutes).unwrap();
            let (before, after) = (calendar.span(change - 1), calendar.span(change));
            assert_eq!((before.to, after.from), (change, change), "{minutes}");
        }
    }
    assert_eq!(
        Calendar::new("Europe/Prag", 15).unwrap_err(),
        CalendarError::UnknownZone("Europe/Prag".into())
    );
    assert_eq!(Calendar::new("UTC", 7).unwrap_err(), CalendarError::InvalidMinutes(7));
}

#[test]
fn intervals_join_without_a_gap_through_a_year() {
    for minutes in [15, 120] {
        let calendar = Calendar::new("Europe/Prague", minutes).unwrap();
        let (mut at, end) = (1_767_222_000_000i64, 1_798_758_000_000i64);
        while at < end {
            let span = calendar.span(at);
            assert!(span.from == at && span.to > at && span.to - at <= i64::from(minutes) * MINUTE);
            assert_eq!(calendar.span(span.to - 1), span);
            at = span.to;
        }
    }
}

#[test]
fn fresh_calls_are_told_from_those_that_come_back() {
    let mut m = meter(15, SATURDAY);
    // One caller who is refused twice and stands at the third try; another number; the first again, later on.
    for (at, number) in [(0, 1), (1_500, 1), (3_000, 1)] {
        m.record_offered(SATURDAY + at, to(2), Some(number), false);
    }
    m.record_lost(to(2));
    m.record_lost(to(2));
    m.record_standing(to(2), 2, Some(1));
    m.record_offered(SATURDAY + 4_000, to(2), Some(1), false); // it stood: this is a new call
    m.record_standing(to(2), 5, Some(1)); // over a tandem
    m.record_offered(SATURDAY + 5_000, to(2), Some(9), false);
    m.record_offered(SATURDAY + 14_500, to(2), Some(9), false); // longer than a caller persists
    m.record_offered(SATURDAY + 15_000, to(2), Some(4), true); // cut, and comes again
    m.record_offered(SATURDAY + 15_000, Call { transit: true, ..to(2) }, None, false);
    m.record_standing(Call { transit: true, ..to(2) }, 2, None);
    assert!(m.close_elapsed(SATURDAY + 15 * MINUTE - 1).is_none(), "it is not over");
    let i = m.close_elapsed(SATURDAY + 15 * MINUTE).unwrap();
    assert_eq!((i.exchange, i.from, i.to, i.measured), (7, SATURDAY, SATURDAY + 15 * MINUTE, (i.from, i.to)));
    let group = |n| &i.groups.iter().find(|g| g.to == n).unwrap().classes[0];
    let c = group(2);
    assert_eq!((c.offered, c.redials, c.carried, c.lost), (4, 3, 1, 2));
    assert_eq!((c.overflowed[&5], group(5).transit_out), (1, 1));
    assert_eq!((c.transit_in, c.transit_in_carried), (1, 1));
    let next = m.close_elapsed(SATURDAY + 30 * MINUTE).unwrap();
    assert!(next.groups.is_empty(), "nothing was said of them: {:?}", next.groups);
}

#[test]
fn circuits_in_use_are_summed_over_time_and_across_intervals() {
    let mut m = meter(1, SATURDAY + 30_000);
    m.record_group_state(SATURDAY + 30_000, 3, 10.0, 10.0);
    m.record_group_state(SATURDAY + 40_000, 3, 4.0, 10.0);
    m.record_group_state(SATURDAY + 50_000, 3, 0.0, 10.0);
    m.record_group_state(SATURDAY + 55_000, 3, f64::NAN, 10.0);
    let first = m.close_elapsed(SATURDAY + 90_000).unwrap();
    let g = &first.groups[0];
    assert_eq!((g.observed, g.circuit_seconds, g.full, g.circuits), (30.0, 60.0 + 100.0, 10.0, 10.0));
    assert_eq!(first.measured, (SATURDAY + 30_000, SATURDAY + 60_000), "counting began within it");
    m.record_holding_time(0, 2_000);
    m.record_holding_time(0, 4_000);
    m.record_group_state(SATURDAY + 90_000, 3, 8.0, 12.0);
    let second = m.close_partial(SATURDAY + 100_000).unwrap();
    let g = &second.groups[0];
    assert_eq!((g.observed, g.circuit_seconds, g.full, g.circuits), (40.0, 300.0 + 40.0, 30.0, 12.0));
    let h = &second.holding[0];
    assert_eq!((h.calls, h.seconds, h.squares), (2, 6.0, 20.0));
    assert!((h.quantiles[0] - 2.0).abs() < 0.05 && (h.quantiles[2] - 4.0).abs() < 0.05);
    assert_eq!(second.measured.1, SATURDAY + 100_000);
    assert!(m.close_partial(SATURDAY + 100_000).is_none(), "nothing has been measured since");
}

#[test]
fn what_is_kept_is_bounded_and_what_is_not_counted_is_told() {
    let mut m = meter(15, SATURDAY);
    for n in 0..5_000u32 {
        m.record_offered(SATURDAY, to(n), Some(u64::from(n)), false);
        m.record_standing(to(1), 100_000 + n, None);
    }
    assert_eq!(m.group_count(), 1024);
    let i = m.close_elapsed(SATURDAY + 15 * MINUTE).unwrap();
    assert!(i.uncounted > 5_000 && i.groups.len() == 1024, "{}", i.uncounted);
    for n in 0..200_000u64 {
        m.record_offered(SATURDAY + 15 * MINUTE, to(1), Some(n), false);
    }
    let i = m.close_elapsed(SATURDAY + 30 * MINUTE).unwrap();
    assert_eq!(i.groups[0].classes[0].offered, 200_000, "numbers that are forgotten are fresh ones");
}

fn interval() -> Interval {
    let mut m = meter(15, SATURDAY);
    m.record_offered(SATURDAY, to(2), Some(3), false);
    m.record_standing(to(2), 4, Some(3));
    m.record_group_state(SATURDAY, 2, 3.0, 9.0);
    m.record_holding_time(1, 777);
    m.close_elapsed(SATURDAY + 15 * MINUTE).unwrap()
}

#[test]
fn a_file_that_is_not_whole_is_told_from_one_that_is() {
    let whole = interval();
    let bytes = encode(&whole);
    assert_eq!(decode(&bytes), Ok(whole.clone()));
    assert_eq!(whole.file_name(), format!("n00007-{SATURDAY:015}.interval"));
    for end in 0..bytes.len() {
        let error = decode(&bytes[..end]).unwrap_err();
        assert!(
            matches!(error, RecordError::UnknownFormat | RecordError::Truncated { .. }),
            "{end}: {error}"
        );
    }
    let body = bytes.iter().position(|b| *b == b'\n').unwrap() + 1;
    for place in body..bytes.len() {
        let mut changed = bytes.clone();
        changed[place] ^= 1;
        assert_eq!(decode(&changed), Err(RecordError::ChecksumMismatch));
    }
    let mut longer = bytes.clone();
    longer.push(b' ');
    assert_eq!(decode(&longer), Err(RecordError::ChecksumMismatch));
    let text = String::from_utf8(bytes).unwrap();
    assert_eq!(
        decode(text.replacen("\"version\":1", "\"version\":2", 1).as_bytes()),
        Err(RecordError::NewerVersion(2))
    );
    assert_eq!(decode(b"{\"format\":\"x\"}\n{}"), Err(RecordError::UnknownFormat));
    let mut senseless = whole;
    senseless.measured.1 += 1;
    assert!(matches!(decode(&encode(&senseless)), Err(RecordError::InvalidFigures(_))));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_bytes_are_read_without_harm(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = decode(&bytes);
        let mut after_a_head = encode(&interval());
        let end = after_a_head.iter().position(|b| *b == b'\n').unwrap() + 1;
        after_a_head.truncate(end);
        after_a_head.extend(&bytes);
        prop_assert!(decode(&after_a_head).is_err());
    }
}

/// Memory of a meter in service: `cargo test --release -p measured -- --ignored --nocapture`.
#[test]
#[ignore = "a measurement; its figure is in docs/design/dimensioning.md"]
fn memory_of_a_hundred_groups_and_four_classes() {
    let resident = || {
        let text = std::fs::read_to_string("/proc/self/statm").unwrap();
        text.split(' ').nth(1).unwrap().parse::<i64>().unwrap() * 4
    };
    let before = resident();
    let four = (0..4).map(|n| Class { name: format!("class-{n}"), width: 1 }).collect();
    let mut m = Meter::new(7, four, Calendar::new("Europe/Prague", 15).unwrap(), 9_000, SATURDAY);
    for n in 0..100_000u64 {
        let call = Call { class: (n % 4) as usize, destination: (n / 4 % 100) as u32, transit: false };
        m.record_offered(SATURDAY + n as i64, call, Some(n), false);
        m.record_standing(call, if n % 10 == 0 { (n / 40 % 100) as u32 } else { call.destination }, None);
        m.record_group_state(SATURDAY + n as i64, call.destination, 3.0, 9.0);
        m.record_holding_time(call.class, 11_000);
    }
    println!("{} KB", resident() - before);
    assert!(resident() - before < 8_192);
}
