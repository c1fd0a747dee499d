//! File format of a closed interval: a header line in JSON with format, version, length and checksum, then the
//! figures as JSON. Truncated or changed files and files of a newer version are detected.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

/// Format name in the header.
const FORMAT: &str = "dillhold-interval";
/// Format version that is written, and the newest that is read.
pub const VERSION: u32 = 1;
/// Maximum length of the body; a header that states more is not of this format.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Counts of one class on one group.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassFigures {
    /// Name of the class.
    pub class: String,
    /// Circuits that one call takes.
    pub width: u32,
    /// Fresh calls to the exchange at the group's other end, without redials.
    pub offered: u64,
    /// Redials: further tries of callers whose earlier try did not stand or whose call was cut.
    pub redials: u64,
    /// Fresh calls and redials that stood on this group itself.
    pub carried: u64,
    /// Fresh calls and redials that were lost.
    pub lost: u64,
    /// Fresh calls and redials that stood over a tandem instead, by the tandem's number.
    pub overflowed: BTreeMap<u32, u64>,
    /// Calls in transit offered to this group on their way to the other end.
    pub transit_in: u64,
    /// Calls of [`ClassFigures::transit_in`] that stood.
    pub transit_in_carried: u64,
    /// Own calls to other exchanges that stood with the other end as their tandem.
    pub transit_out: u64,
}

/// Counts of one group.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GroupFigures {
    /// Number of the exchange at its other end.
    pub to: u32,
    /// Circuits, as last reported; 0 if never reported.
    pub circuits: f64,
    /// Time for which its state was known, in seconds.
    pub observed: f64,
    /// Circuits in use, integrated over the observed time. Includes both ends' calls and calls in transit.
    pub circuit_seconds: f64,
    /// Time with no circuit free, in seconds.
    pub full: f64,
    /// By class.
    pub classes: Vec<ClassFigures>,
}

/// Holding times of the calls of one class.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HoldingFigures {
    /// Name of the class.
    pub class: String,
    /// Calls that completed normally.
    pub calls: u64,
    /// Sum of their holding times, in seconds.
    pub seconds: f64,
    /// Sum of the squares of their holding times, in seconds squared.
    pub squares: f64,
    /// Median, 90th and 99th percentile of the holding time, in seconds.
    pub quantiles: [f64; 3],
}

/// One interval at one exchange.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Interval {
    /// Number of the exchange that measured.
    pub exchange: u32,
    /// Start, in Unix milliseconds.
    pub from: i64,
    /// End, in Unix milliseconds.
    pub to: i64,
    /// Start and end of the measurement, in Unix milliseconds; less than the whole interval after a start and before a
    /// shutdown.
    pub measured: (i64, i64),
    /// The time zone that it is aligned to.
    pub time_zone: String,
    /// Trunk groups.
    pub groups: Vec<GroupFigures>,
    /// Holding times by class.
    pub holding: Vec<HoldingFigures>,
    /// Events that were not counted because a limit of the meter was reached.
    pub uncounted: u64,
}

impl Interval {
    /// Measured time, in seconds.
    pub fn seconds(&self) -> f64 {
        (self.measured.1 - self.measured.0) as f64 * 1e-3
    }

    /// Name of its file; names sort by exchange and time.
    pub fn file_name(&self) -> String {
        format!("n{:05}-{:015}.interval", self.exchange, self.from)
    }
}

#[derive(Serialize, Deserialize)]
struct Header {
    format: String,
    version: u32,
    bytes: usize,
    checksum: String,
}

/// Why a file is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordError {
    /// The header is missing or belongs to another format.
    UnknownFormat,
    /// Written in a newer format version.
    NewerVersion(u32),
    /// The body is shorter than the header states.
    Truncated {
        /// Length of the body, in bytes.
        actual: usize,
        /// Length stated in the header, in bytes.
        expected: usize,
    },
    /// The body does not match the checksum or is longer than the header states.
    ChecksumMismatch,
    /// The checksum matches, but the figures are impossible.
    InvalidFigures(String),
}

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownFormat => write!(f, "not a measured interval of a controller"),
            Self::NewerVersion(v) => {
                write!(f, "written by a newer version (format {v}, {VERSION} is the newest known)")
            }
            Self::Truncated { actual, expected } => write!(f, "cut off: {actual} of {expected} bytes"),
            Self::ChecksumMismatch => write!(f, "changed since it was written: checksum mismatch"),
            Self::InvalidFigures(what) => write!(f, "impossible figures: {what}"),
        }
    }
}

impl std::error::Error for RecordError {}

/// Encodes an interval as the contents of its file.
pub fn encode(interval: &Interval) -> Vec<u8> {
    // All map keys are strings or numbers and all figures fit a float, so serialization cannot fail.
    let body = serde_json::to_vec(interval).unwrap_or_default();
    let checksum = blake3::hash(&body).to_hex().to_string();
    let header = Header { format: FORMAT.into(), version: VERSION, bytes: body.len(), checksum };
    let mut bytes = serde_json::to_vec(&header).unwrap_or_default();
    bytes.push(b'\n');
    bytes.extend(body);
    bytes
}

/// Decodes the contents of an interval's file.
pub fn decode(bytes: &[u8]) -> Result<Interval, RecordError> {
    let header_end = bytes.iter().take(1024).position(|b| *b == b'\n');
    let header: Option<Header> = header_end.and_then(|end| serde_json::from_slice(&bytes[..end]).ok());
    let Some((header, end)) =
        header.zip(header_end).filter(|(h, _)| h.format == FORMAT && h.bytes <= MAX_BODY_BYTES)
    else {
        return Err(RecordError::UnknownFormat);
    };
    if header.version > VERSION {
        return Err(RecordError::NewerVersion(header.version));
    }
    let body = &bytes[end + 1..];
    if body.len() < header.bytes {
        return Err(RecordError::Truncated { actual: body.len(), expected: header.bytes });
    }
    if body.len() > header.bytes || blake3::hash(body).to_hex().as_str() != header.checksum {
        return Err(RecordError::ChecksumMismatch);
    }
    let interval: Interval =
        serde_json::from_slice(body).map_err(|e| RecordError::InvalidFigures(e.to_string()))?;
    check_figures(&interval).map_err(RecordError::InvalidFigures)?;
    Ok(interval)
}

fn check_figures(interval: &Interval) -> Result<(), String> {
    if !(interval.from <= interval.measured.0
        && interval.measured.0 <= interval.measured.1
        && interval.measured.1 <= interval.to)
    {
        return Err("measured time outside the interval".into());
    }
    for group in &interval.groups {
        let figures = [group.circuits, group.observed, group.circuit_seconds, group.full];
        if figures.iter().any(|f| !f.is_finite() || *f < 0.0) || group.full > group.observed + 1e-6 {
            return Err(format!("group to exchange {}", group.to));
        }
    }
    let invalid =
        interval.holding.iter().find(|h| !(h.seconds.is_finite() && h.seconds >= 0.0 && h.squares >= 0.0));
    invalid.map_or(Ok(()), |h| Err(format!("holding times of class {}", h.class)))
}
