//! The operator's own file, `deploy/dillhold.json5`: what is new is switched on here. Absent, everything new is off.

use std::path::{Path, PathBuf};

use measured::calendar::{BadCalendar, Calendar};
use serde::Deserialize;
use settings::{key, Misread};

/// Where the file is looked for, from where the program was started.
pub const USUAL_PLACE: &str = "deploy/dillhold.json5";

/// What the operator has switched on.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    /// Measuring of trunk groups.
    pub measure: Option<Measure>,
}

/// Measuring of trunk groups, interval by interval.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Measure {
    /// The folder that intervals are written to.
    pub folder: PathBuf,
    /// Minutes of an interval.
    #[serde(default = "quarter")]
    pub interval_minutes: u32,
    /// The time zone that intervals are aligned to.
    pub time_zone: String,
}

fn quarter() -> u32 {
    15
}

impl Measure {
    /// The intervals by the clock.
    pub fn calendar(&self) -> Result<Calendar, BadCalendar> {
        Calendar::new(&self.time_zone, self.interval_minutes)
    }
}

/// Reads the operator's file. One that is named must be there; the one at the usual place need not.
pub fn read(named: Option<&str>) -> Result<Operator, Misread> {
    let path = Path::new(named.unwrap_or(USUAL_PLACE));
    if named.is_none() && !path.exists() {
        return Ok(Operator::default());
    }
    parse(&path.display().to_string(), &settings::text(path)?)
}

/// Reads the text of one; `file` is only named in errors.
pub fn parse(file: &str, text: &str) -> Result<Operator, Misread> {
    let operator: Operator = settings::parse(file, text)?;
    if let Some(measure) = &operator.measure {
        measure.calendar().map_err(|e| {
            let which = match e {
                BadCalendar::Zone(_) => "time_zone",
                BadCalendar::Minutes(_) => "interval_minutes",
            };
            settings::refuse(file, text, &[key("measure"), key(which)], e.to_string())
        })?;
        if measure.folder.as_os_str().is_empty() {
            let path = [key("measure"), key("folder")];
            return Err(settings::refuse(file, text, &path, "no folder is named".into()));
        }
    }
    Ok(operator)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_wrong_is_named_with_its_place_and_key() {
        let error = |text: &str| parse("o.json5", text).unwrap_err().to_string();
        let bad = error("{ measure: { folder: 'x',\n  time_zone: 'Europe/Atlantis' } }");
        assert_eq!(
            bad,
            "o.json5:2:14: measure.time_zone: there is no time zone 'Europe/Atlantis' (one like Europe/Prague is \
             needed)"
        );
        let bad = error("{ measure: { folder: 'x', interval_minutes: 7, time_zone: 'UTC' } }");
        assert!(bad.starts_with("o.json5:1:45: measure.interval_minutes: intervals of 7 minutes"), "{bad}");
        assert!(error("{ measured: {} }").contains("measured: unknown field `measured`"));
        assert!(error("{ measure: { folder: '', time_zone: 'UTC' } }").contains("no folder is named"));
        assert!(parse("o.json5", "{ /* all off */ }").unwrap().measure.is_none());
        assert!(read(Some("no-such-file.json5")).unwrap_err().to_string().contains("cannot be read"));
    }
}
