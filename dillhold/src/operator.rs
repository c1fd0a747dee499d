//! The operator's file, `deploy/dillhold.json5`, which enables optional features. Without it all of them are off.

use std::path::{Path, PathBuf};

use measured::calendar::{Calendar, CalendarError};
use serde::Deserialize;
use settings::{key, FileError};

/// The default path of the file, relative to the working directory.
pub const DEFAULT_PATH: &str = "deploy/dillhold.json5";

/// The features that the operator has enabled.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    /// Measuring of trunk groups.
    pub measure: Option<Measure>,
}

/// Settings for measuring trunk groups in intervals.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Measure {
    /// The folder to which intervals are written.
    pub folder: PathBuf,
    /// The length of an interval in minutes.
    #[serde(default = "default_interval_minutes")]
    pub interval_minutes: u32,
    /// The time zone to which intervals are aligned.
    pub time_zone: String,
}

fn default_interval_minutes() -> u32 {
    15
}

impl Measure {
    /// The calendar of the intervals.
    pub fn calendar(&self) -> Result<Calendar, CalendarError> {
        Calendar::new(&self.time_zone, self.interval_minutes)
    }
}

/// Reads the operator's file. A file named explicitly must exist; the one at the default path need not.
pub fn read(explicit_path: Option<&str>) -> Result<Operator, FileError> {
    let path = Path::new(explicit_path.unwrap_or(DEFAULT_PATH));
    if explicit_path.is_none() && !path.exists() {
        return Ok(Operator::default());
    }
    parse(&path.display().to_string(), &settings::read_text(path)?)
}

/// Parses the text of an operator's file. Errors name `file`.
pub fn parse(file: &str, text: &str) -> Result<Operator, FileError> {
    let operator: Operator = settings::parse(file, text)?;
    if let Some(measure) = &operator.measure {
        measure.calendar().map_err(|e| {
            let setting = match e {
                CalendarError::UnknownZone(_) => "time_zone",
                CalendarError::InvalidMinutes(_) => "interval_minutes",
            };
            settings::invalid_value(file, text, &[key("measure"), key(setting)], e.to_string())
        })?;
        if measure.folder.as_os_str().is_empty() {
            let path = [key("measure"), key("folder")];
            return Err(settings::invalid_value(file, text, &path, "no folder is named".into()));
        }
    }
    Ok(operator)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn errors_name_position_and_key() {
        let error = |text: &str| parse("o.json5", text).unwrap_err().to_string();
        let message = error("{ measure: { folder: 'x',\n  time_zone: 'Europe/Atlantis' } }");
        assert_eq!(
            message,
            "o.json5:2:14: measure.time_zone: there is no time zone 'Europe/Atlantis' (one like Europe/Prague is \
             needed)"
        );
        let message = error("{ measure: { folder: 'x', interval_minutes: 7, time_zone: 'UTC' } }");
        assert!(
            message.starts_with("o.json5:1:45: measure.interval_minutes: intervals of 7 minutes"),
            "{message}"
        );
        assert!(error("{ measured: {} }").contains("measured: unknown field `measured`"));
        assert!(error("{ measure: { folder: '', time_zone: 'UTC' } }").contains("no folder is named"));
        assert!(parse("o.json5", "{ /* all off */ }").unwrap().measure.is_none());
        assert!(read(Some("no-such-file.json5")).unwrap_err().to_string().contains("cannot be read"));
    }
}
