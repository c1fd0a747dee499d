//! A closed interval as it is kept: one line that says what follows and how to check it, then the figures as JSON.
//! A file that was cut off, changed, or written by a later version is told from a whole one.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

/// What the first line calls such a file.
const FORMAT: &str = "dillhold-interval";
/// The version that is written, and the newest that is read.
pub const VERSION: u32 = 1;
/// A file longer than this is none of ours.
const LONGEST: usize = 16 * 1024 * 1024;

/// What one class did on one group.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassFigures {
    /// Name of the class.
    pub class: String,
    /// Circuits that one of its calls takes.
    pub width: u32,
    /// Fresh calls for the group's other end.
    pub offered: u64,
    /// Further tries of callers whose try came to nothing.
    pub redials: u64,
    /// Of both, those that stood on this group itself.
    pub carried: u64,
    /// Of both, those that came to nothing.
    pub lost: u64,
    /// Those that stood over a tandem instead, by the tandem's number.
    pub overflowed: BTreeMap<u32, u64>,
    /// Calls in transit offered here on their way to the other end, and those of them that stood.
    pub transit_in: u64,
    /// See [`ClassFigures::transit_in`].
    pub transit_in_carried: u64,
    /// Own calls for elsewhere that stood with the other end as their tandem.
    pub transit_out: u64,
}

/// What one group did.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GroupFigures {
    /// Number of the exchange at its other end.
    pub to: u32,
    /// Its circuits, as last told; 0: never told.
    pub circuits: f64,
    /// Seconds for which its state was known.
    pub observed: f64,
    /// Circuits in use, summed over those seconds. Both ends' calls and calls in transit are in it.
    pub circuit_seconds: f64,
    /// Seconds with no circuit free.
    pub full: f64,
    /// By class.
    pub classes: Vec<ClassFigures>,
}

/// How long calls of one class held.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HoldingFigures {
    /// Name of the class.
    pub class: String,
    /// Calls that came to their natural end.
    pub calls: u64,
    /// Seconds that they held, summed, and the sum of their squares.
    pub seconds: f64,
    /// See [`HoldingFigures::seconds`].
    pub squares: f64,
    /// Half of them, nine of ten and ninety-nine of a hundred held no longer than so many seconds.
    pub quantiles: [f64; 3],
}

/// One interval at one exchange.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Interval {
    /// Number of the exchange that measured.
    pub exchange: u32,
    /// Where it begins and ends, in Unix milliseconds.
    pub from: i64,
    /// See [`Interval::from`].
    pub to: i64,
    /// From when to when it was measured: less than the whole after a start.
    pub measured: (i64, i64),
    /// The time zone that it is aligned to.
    pub time_zone: String,
    /// Its groups.
    pub groups: Vec<GroupFigures>,
    /// Its holding times.
    pub holding: Vec<HoldingFigures>,
    /// What was not counted for want of room.
    pub uncounted: u64,
}

impl Interval {
    /// Seconds that were measured.
    pub fn seconds(&self) -> f64 {
        (self.measured.1 - self.measured.0) as f64 * 1e-3
    }

    /// The name of its file: sorts by exchange and time.
    pub fn file_name(&self) -> String {
        format!("n{:05}-{:015}.interval", self.exchange, self.from)
    }
}

#[derive(Serialize, Deserialize)]
struct Head {
    format: String,
    version: u32,
    bytes: usize,
    checksum: String,
}

/// Why a file is not used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordError {
    /// It is no interval of a controller at all.
    UnknownFormat,
    /// It was written by a later version.
    NewerVersion(u32),
    /// It ends before its end.
    Truncated {
        /// Bytes that there are.
        actual: usize,
        /// Bytes that there should be.
        expected: usize,
    },
    /// It was changed since it was written.
    ChecksumMismatch,
    /// Its checksum holds, but its figures cannot be.
    InvalidFigures(String),
}

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownFormat => write!(f, "no interval that a controller measured"),
            Self::NewerVersion(v) => {
                write!(f, "written by a later version (form {v}, {VERSION} is the newest known)")
            }
            Self::Truncated { actual, expected } => write!(f, "cut off: {actual} of {expected} bytes"),
            Self::ChecksumMismatch => write!(f, "changed since it was written: the checksum does not hold"),
            Self::InvalidFigures(what) => write!(f, "figures that cannot be: {what}"),
        }
    }
}

impl std::error::Error for RecordError {}

/// Writes an interval down.
pub fn encode(interval: &Interval) -> Vec<u8> {
    // Maps have text or number keys only and no figure is beyond a float, so this cannot fail.
    let body = serde_json::to_vec(interval).unwrap_or_default();
    let checksum = blake3::hash(&body).to_hex().to_string();
    let head = Head { format: FORMAT.into(), version: VERSION, bytes: body.len(), checksum };
    let mut out = serde_json::to_vec(&head).unwrap_or_default();
    out.push(b'\n');
    out.extend(body);
    out
}

/// Reads an interval.
pub fn decode(bytes: &[u8]) -> Result<Interval, RecordError> {
    let line = bytes.iter().take(1024).position(|b| *b == b'\n');
    let head: Option<Head> = line.and_then(|end| serde_json::from_slice(&bytes[..end]).ok());
    let Some((head, end)) = head.zip(line).filter(|(h, _)| h.format == FORMAT && h.bytes <= LONGEST) else {
        return Err(RecordError::UnknownFormat);
    };
    if head.version > VERSION {
        return Err(RecordError::NewerVersion(head.version));
    }
    let body = &bytes[end + 1..];
    if body.len() < head.bytes {
        return Err(RecordError::Truncated { actual: body.len(), expected: head.bytes });
    }
    if body.len() > head.bytes || blake3::hash(body).to_hex().as_str() != head.checksum {
        return Err(RecordError::ChecksumMismatch);
    }
    let interval: Interval =
        serde_json::from_slice(body).map_err(|e| RecordError::InvalidFigures(e.to_string()))?;
    check(&interval).map_err(RecordError::InvalidFigures)?;
    Ok(interval)
}

fn check(i: &Interval) -> Result<(), String> {
    if !(i.from <= i.measured.0 && i.measured.0 <= i.measured.1 && i.measured.1 <= i.to) {
        return Err("measured outside of its own interval".into());
    }
    for g in &i.groups {
        let figures = [g.circuits, g.observed, g.circuit_seconds, g.full];
        if figures.iter().any(|f| !f.is_finite() || *f < 0.0) || g.full > g.observed + 1e-6 {
            return Err(format!("group to {}", g.to));
        }
    }
    let held = i.holding.iter().find(|h| !(h.seconds.is_finite() && h.seconds >= 0.0 && h.squares >= 0.0));
    held.map_or(Ok(()), |h| Err(format!("holding times of {}", h.class)))
}
