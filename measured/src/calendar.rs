//! Where intervals begin and end: aligned to the wall clock of a time zone, a change of summer time included.

use std::fmt;

use jiff::tz::TimeZone;
use jiff::Timestamp;

/// Minutes that an interval may have: divisors of a day, so that each day has the same ones.
pub const ALLOWED_INTERVAL_MINUTES: [u32; 12] = [1, 2, 3, 5, 6, 10, 12, 15, 20, 30, 60, 120];

/// A calendar that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CalendarError {
    /// No time zone has this name.
    UnknownZone(String),
    /// An interval cannot have so many minutes.
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

/// Cuts time into intervals.
#[derive(Clone, Debug)]
pub struct Calendar {
    zone: TimeZone,
    name: String,
    millis: i64,
}

/// One interval, in Unix milliseconds: the first belongs to it, the last does not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// Where it begins.
    pub from: i64,
    /// Where it ends.
    pub to: i64,
}

impl Calendar {
    /// Intervals of so many minutes by the clocks of a time zone.
    pub fn new(zone: &str, minutes: u32) -> Result<Calendar, CalendarError> {
        let found = TimeZone::get(zone).map_err(|_| CalendarError::UnknownZone(zone.into()))?;
        if !ALLOWED_INTERVAL_MINUTES.contains(&minutes) {
            return Err(CalendarError::InvalidMinutes(minutes));
        }
        Ok(Calendar { zone: found, name: zone.into(), millis: i64::from(minutes) * 60_000 })
    }

    /// The name of the time zone.
    pub fn zone(&self) -> &str {
        &self.name
    }

    fn offset(&self, unix_ms: i64) -> i64 {
        let at = Timestamp::from_millisecond(unix_ms).unwrap_or(Timestamp::UNIX_EPOCH);
        i64::from(self.zone.to_offset(at).seconds()) * 1_000
    }

    /// The interval that a moment is in. Where the clocks are changed within one it ends there, so none spans two
    /// offsets: an hour of the clock that comes twice is two intervals, one that is left out is none.
    pub fn span(&self, unix_ms: i64) -> Span {
        let offset = self.offset(unix_ms);
        let start = (unix_ms + offset).div_euclid(self.millis) * self.millis - offset;
        let mut span = Span { from: start, to: start + self.millis };
        let at = Timestamp::from_millisecond(unix_ms).unwrap_or(Timestamp::UNIX_EPOCH);
        if let Some(change) = self.zone.following(at).next() {
            span.to = span.to.min(change.timestamp().as_millisecond());
        }
        // A moment before the last change counts by the old clock.
        let after = Timestamp::from_millisecond(unix_ms + 1).unwrap_or(at);
        if let Some(change) = self.zone.preceding(after).next() {
            span.from = span.from.max(change.timestamp().as_millisecond());
        }
        span
    }

    /// A moment on the zone's clock: year, month, day, weekday (Monday is 1), hour and minute.
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

/// A moment on a zone's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LocalTime {
    /// Year, month and day.
    pub date: (i16, i8, i8),
    /// Day of the week; Monday is 1.
    pub weekday: i8,
    /// Hour.
    pub hour: i8,
    /// Minute.
    pub minute: i8,
}
