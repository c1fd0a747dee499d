//! Interval boundaries, the meter's counts, and the file format of intervals.

use measured::calendar::{Calendar, CalendarError, Span};
use measured::meter::{Call, Class, Meter};
use measured::record::{decode, encode, Interval, RecordError};
use proptest::prelude::*;

const MINUTE_MS: i64 = 60_000;
/// 2026-05-09 10:00 in Prague, a Saturday.
const SATURDAY_MS: i64 = 1_778_313_600_000;

fn classes() -> Vec<Class> {
    [("view", 1), ("wide", 4)].map(|(name, width)| Class { name: name.into(), width }).to_vec()
}

fn new_meter(minutes: u32, now: i64) -> Meter {
    Meter::new(7, classes(), Calendar::new("Europe/Prague", minutes).unwrap(), 9_000, now)
}

fn call_to(destination: u32) -> Call {
    Call { class: 0, destination, transit: false }
}

#[test]
fn aligns_intervals_to_wall_clock_and_splits_them_at_utc_offset_changes() {
    let prague = Calendar::new("Europe/Prague", 15).unwrap();
    let at = |ms| prague.span_containing(ms);
    assert_eq!(at(SATURDAY_MS + 7 * MINUTE_MS), Span { from: SATURDAY_MS, to: SATURDAY_MS + 15 * MINUTE_MS });
    let local = prague.local(SATURDAY_MS);
    assert_eq!((local.date, local.weekday, local.hour, local.minute), ((2026, 5, 9), 6, 10, 0));
    // The UTC offset of Kathmandu is 5 h 45 min: its full hours are a quarter of an hour off those of UTC.
    let nepal = Calendar::new("Asia/Kathmandu", 60).unwrap();
    assert_eq!(nepal.span_containing(SATURDAY_MS).from.rem_euclid(60 * MINUTE_MS), 15 * MINUTE_MS);
    // Daylight-saving time starts at 2026-03-29 01:00 UTC and ends at 2026-10-25 01:00 UTC.
    for transition in [1_774_746_000_000i64, 1_792_890_000_000] {
        for minutes in [15, 60, 120] {
            let calendar = Calendar::new("Europe/Prague", minutes).unwrap();
            let (before, after) =
                (calendar.span_containing(transition - 1), calendar.span_containing(transition));
            assert_eq!((before.to, after.from), (transition, transition), "{minutes}");
        }
    }
    assert_eq!(
        Calendar::new("Europe/Prag", 15).unwrap_err(),
        CalendarError::UnknownZone("Europe/Prag".into())
    );
    assert_eq!(Calendar::new("UTC", 7).unwrap_err(), CalendarError::InvalidMinutes(7));
}

#[test]
fn intervals_of_a_year_are_contiguous() {
    for minutes in [15, 120] {
        let calendar = Calendar::new("Europe/Prague", minutes).unwrap();
        let (mut at, end) = (1_767_222_000_000i64, 1_798_758_000_000i64);
        while at < end {
            let span = calendar.span_containing(at);
            assert!(span.from == at && span.to > at && span.to - at <= i64::from(minutes) * MINUTE_MS);
            assert_eq!(calendar.span_containing(span.to - 1), span);
            at = span.to;
        }
    }
}

#[test]
fn counts_redials_apart_from_fresh_calls() {
    let mut meter = new_meter(15, SATURDAY_MS);
    // Number 1 is lost twice, stands at the third try, and is called again over a tandem; number 9 is called
    // again after the redial window; number 4 repeats a cut call.
    for (at, number) in [(0, 1), (1_500, 1), (3_000, 1)] {
        meter.record_offered(SATURDAY_MS + at, call_to(2), Some(number), false);
    }
    meter.record_lost(call_to(2));
    meter.record_lost(call_to(2));
    meter.record_standing(call_to(2), 2, Some(1));
    meter.record_offered(SATURDAY_MS + 4_000, call_to(2), Some(1), false); // stood before: a fresh call
    meter.record_standing(call_to(2), 5, Some(1)); // over a tandem
    meter.record_offered(SATURDAY_MS + 5_000, call_to(2), Some(9), false);
    meter.record_offered(SATURDAY_MS + 14_500, call_to(2), Some(9), false); // after the redial window
    meter.record_offered(SATURDAY_MS + 15_000, call_to(2), Some(4), true); // repeats a cut call
    meter.record_offered(SATURDAY_MS + 15_000, Call { transit: true, ..call_to(2) }, None, false);
    meter.record_standing(Call { transit: true, ..call_to(2) }, 2, None);
    assert!(meter.close_elapsed(SATURDAY_MS + 15 * MINUTE_MS - 1).is_none(), "the interval has not elapsed");
    let interval = meter.close_elapsed(SATURDAY_MS + 15 * MINUTE_MS).unwrap();
    assert_eq!(
        (interval.exchange, interval.from, interval.to, interval.measured),
        (7, SATURDAY_MS, SATURDAY_MS + 15 * MINUTE_MS, (interval.from, interval.to))
    );
    let group = |n| &interval.groups.iter().find(|g| g.to == n).unwrap().classes[0];
    let class = group(2);
    assert_eq!((class.offered, class.redials, class.carried, class.lost), (4, 3, 1, 2));
    assert_eq!((class.overflowed[&5], group(5).transit_out), (1, 1));
    assert_eq!((class.transit_in, class.transit_in_carried), (1, 1));
    let next = meter.close_elapsed(SATURDAY_MS + 30 * MINUTE_MS).unwrap();
    assert!(next.groups.is_empty(), "groups without a known state are dropped: {:?}", next.groups);
}

#[test]
fn integrates_circuits_in_use_over_time_and_across_intervals() {
    let mut meter = new_meter(1, SATURDAY_MS + 30_000);
    meter.record_group_state(SATURDAY_MS + 30_000, 3, 10.0, 10.0);
    meter.record_group_state(SATURDAY_MS + 40_000, 3, 4.0, 10.0);
    meter.record_group_state(SATURDAY_MS + 50_000, 3, 0.0, 10.0);
    meter.record_group_state(SATURDAY_MS + 55_000, 3, f64::NAN, 10.0);
    let first = meter.close_elapsed(SATURDAY_MS + 90_000).unwrap();
    let group = &first.groups[0];
    assert_eq!(
        (group.observed, group.circuit_seconds, group.full, group.circuits),
        (30.0, 60.0 + 100.0, 10.0, 10.0)
    );
    assert_eq!(
        first.measured,
        (SATURDAY_MS + 30_000, SATURDAY_MS + 60_000),
        "counting started within the interval"
    );
    meter.record_holding_time(0, 2_000);
    meter.record_holding_time(0, 4_000);
    meter.record_group_state(SATURDAY_MS + 90_000, 3, 8.0, 12.0);
    let second = meter.close_partial(SATURDAY_MS + 100_000).unwrap();
    let group = &second.groups[0];
    assert_eq!(
        (group.observed, group.circuit_seconds, group.full, group.circuits),
        (40.0, 300.0 + 40.0, 30.0, 12.0)
    );
    let holding = &second.holding[0];
    assert_eq!((holding.calls, holding.seconds, holding.squares), (2, 6.0, 20.0));
    assert!((holding.quantiles[0] - 2.0).abs() < 0.05 && (holding.quantiles[2] - 4.0).abs() < 0.05);
    assert_eq!(second.measured.1, SATURDAY_MS + 100_000);
    assert!(
        meter.close_partial(SATURDAY_MS + 100_000).is_none(),
        "nothing has been measured since the last close"
    );
}

#[test]
fn bounds_memory_and_reports_uncounted_events() {
    let mut meter = new_meter(15, SATURDAY_MS);
    for n in 0..5_000u32 {
        meter.record_offered(SATURDAY_MS, call_to(n), Some(u64::from(n)), false);
        meter.record_standing(call_to(1), 100_000 + n, None);
    }
    assert_eq!(meter.group_count(), 1024);
    let interval = meter.close_elapsed(SATURDAY_MS + 15 * MINUTE_MS).unwrap();
    assert!(interval.uncounted > 5_000 && interval.groups.len() == 1024, "{}", interval.uncounted);
    for n in 0..200_000u64 {
        meter.record_offered(SATURDAY_MS + 15 * MINUTE_MS, call_to(1), Some(n), false);
    }
    let interval = meter.close_elapsed(SATURDAY_MS + 30 * MINUTE_MS).unwrap();
    assert_eq!(interval.groups[0].classes[0].offered, 200_000, "calls to forgotten numbers count as fresh");
}

fn interval() -> Interval {
    let mut meter = new_meter(15, SATURDAY_MS);
    meter.record_offered(SATURDAY_MS, call_to(2), Some(3), false);
    meter.record_standing(call_to(2), 4, Some(3));
    meter.record_group_state(SATURDAY_MS, 2, 3.0, 9.0);
    meter.record_holding_time(1, 777);
    meter.close_elapsed(SATURDAY_MS + 15 * MINUTE_MS).unwrap()
}

#[test]
fn decode_rejects_truncated_changed_newer_and_foreign_files() {
    let interval_written = interval();
    let bytes = encode(&interval_written);
    assert_eq!(decode(&bytes), Ok(interval_written.clone()));
    assert_eq!(interval_written.file_name(), format!("n00007-{SATURDAY_MS:015}.interval"));
    for end in 0..bytes.len() {
        let error = decode(&bytes[..end]).unwrap_err();
        assert!(
            matches!(error, RecordError::UnknownFormat | RecordError::Truncated { .. }),
            "{end}: {error}"
        );
    }
    let body = bytes.iter().position(|b| *b == b'\n').unwrap() + 1;
    for index in body..bytes.len() {
        let mut changed = bytes.clone();
        changed[index] ^= 1;
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
    let mut impossible = interval_written;
    impossible.measured.1 += 1;
    assert!(matches!(decode(&encode(&impossible)), Err(RecordError::InvalidFigures(_))));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn decode_rejects_arbitrary_bytes_without_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = decode(&bytes);
        let mut bytes_after_header = encode(&interval());
        let end = bytes_after_header.iter().position(|b| *b == b'\n').unwrap() + 1;
        bytes_after_header.truncate(end);
        bytes_after_header.extend(&bytes);
        prop_assert!(decode(&bytes_after_header).is_err());
    }
}

/// Memory use of a meter under load: `cargo test --release -p measured -- --ignored --nocapture`.
#[test]
#[ignore = "a measurement; its figure is in docs/design/dimensioning.md"]
fn memory_with_100_groups_and_4_classes_stays_below_8_mib() {
    let resident_kib = || {
        let text = std::fs::read_to_string("/proc/self/statm").unwrap();
        text.split(' ').nth(1).unwrap().parse::<i64>().unwrap() * 4
    };
    let before = resident_kib();
    let classes = (0..4).map(|n| Class { name: format!("class-{n}"), width: 1 }).collect();
    let mut meter = Meter::new(7, classes, Calendar::new("Europe/Prague", 15).unwrap(), 9_000, SATURDAY_MS);
    for n in 0..100_000u64 {
        let call = Call { class: (n % 4) as usize, destination: (n / 4 % 100) as u32, transit: false };
        meter.record_offered(SATURDAY_MS + n as i64, call, Some(n), false);
        meter.record_standing(call, if n % 10 == 0 { (n / 40 % 100) as u32 } else { call.destination }, None);
        meter.record_group_state(SATURDAY_MS + n as i64, call.destination, 3.0, 9.0);
        meter.record_holding_time(call.class, 11_000);
    }
    println!("{} KiB", resident_kib() - before);
    assert!(resident_kib() - before < 8_192);
}
