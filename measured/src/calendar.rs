//! Measurement interval boundaries, aligned to the wall clock of a time zone, including daylight-saving changes.

use std::fmt;

use jiff::tz::TimeZone;
use jiff::Timestamp;

/// Permitted interval lengths in minutes: divisors of a day, so that each day has the same intervals.
pub const ALLOWED_INTERVAL_MINUTES: [u32; 12] = [1, 2, 3, 5, 6, 10, 12, 15, 20, 30, 60, 120];

/// Why a [`Calendar`] cannot be created.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CalendarError {
    /// The time zone name is not in the time zone database.
    UnknownZone(String),
    /// The interval length is not one of [`ALLOWED_INTERVAL_MINUTES`].
    InvalidMinutes(u32),
}

impl fmt::Display for CalendarError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownZone(name) => {
                write!(f, "there is no time zone '{name}' (one like Europe/Prague is needed)")
            }
            Self::InvalidMinutes(n) => {
                write!(f, "intervals of {n} minutes: one of {ALLOWED_INTERVAL_MINUTES:?} is needed")
            }
        }
    }
}

impl std::error::Error for CalendarError {}

/// Divides time into intervals.
#[derive(Clone, Debug)]
pub struct Calendar {
    zone: TimeZone,
    zone_name: String,
    interval_ms: i64,
}

/// One interval in Unix milliseconds, including `from` and excluding `to`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// Start, inclusive.
    pub from: i64,
    /// End, exclusive.
    pub to: i64,
}

impl Calendar {
    /// Creates a calendar with intervals of `minutes` in the named time zone.
    pub fn new(zone: &str, minutes: u32) -> Result<Calendar, CalendarError> {
        let found = TimeZone::get(zone).map_err(|_| CalendarError::UnknownZone(zone.into()))?;
        if !ALLOWED_INTERVAL_MINUTES.contains(&minutes) {
            return Err(CalendarError::InvalidMinutes(minutes));
        }
        Ok(Calendar { zone: found, zone_name: zone.into(), interval_ms: i64::from(minutes) * 60_000 })
    }

    /// Name of the time zone.
    pub fn zone(&self) -> &str {
        &self.zone_name
    }

    fn utc_offset_ms(&self, unix_ms: i64) -> i64 {
        let at = Timestamp::from_millisecond(unix_ms).unwrap_or(Timestamp::UNIX_EPOCH);
        i64::from(self.zone.to_offset(at).seconds()) * 1_000
    }

    /// Returns the interval that contains a point in time. An interval ends early at a change of the UTC offset, so
    /// that none spans two offsets: a repeated hour of the wall clock is two intervals, a skipped hour is none.
    pub fn span_containing(&self, unix_ms: i64) -> Span {
        let offset = self.utc_offset_ms(unix_ms);
        let start = (unix_ms + offset).div_euclid(self.interval_ms) * self.interval_ms - offset;
        let mut span = Span { from: start, to: start + self.interval_ms };
        let at = Timestamp::from_millisecond(unix_ms).unwrap_or(Timestamp::UNIX_EPOCH);
        if let Some(transition) = self.zone.following(at).next() {
            span.to = span.to.min(transition.timestamp().as_millisecond());
        }
        // `preceding` is exclusive, so 1 ms is added: a change at exactly `unix_ms` starts this interval.
        let after = Timestamp::from_millisecond(unix_ms + 1).unwrap_or(at);
        if let Some(transition) = self.zone.preceding(after).next() {
            span.from = span.from.max(transition.timestamp().as_millisecond());
        }
        span
    }

    /// Converts a point in time to the zone's local time.
    pub fn local(&self, unix_ms: i64) -> LocalTime {
        let at = Timestamp::from_millisecond(unix_ms).unwrap_or(Timestamp::UNIX_EPOCH);
        let local = self.zone.to_datetime(at);
        LocalTime {
            date: (local.year(), local.month(), local.day()),
            weekday: local.weekday().to_monday_one_offset(),
            hour: local.hour(),
            minute: local.minute(),
        }
    }
}

/// Date and time of day in a time zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LocalTime {
    /// Year, month and day.
    pub date: (i16, i8, i8),
    /// Day of the week, 1 (Monday) to 7 (Sunday).
    pub weekday: i8,
    /// Hour, 0 to 23.
    pub hour: i8,
    /// Minute, 0 to 59.
    pub minute: i8,
}
