//! Reads the operator's JSON5 files, with errors that name file, line, column and key. This is the reader only: the
//! controller's settings are defined in `pitchgw`.
//!
//! The JSON5 parser reports a position for syntax errors, but not for values that a type rejects later. To locate a
//! rejected value, the text is parsed a second time along the value's path with a visitor that fails at the value, and
//! the parser adds the position to that error.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

use std::fmt;
use std::path::Path;

use serde::de::{DeserializeOwned, DeserializeSeed, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};

/// An error in a file, with its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileError {
    /// Name of the file.
    pub file: String,
    /// Line and column, from 1, if known.
    pub position: Option<(usize, usize)>,
    /// Path of the key from the top level; empty for the whole file.
    pub key: String,
    /// Description of the error.
    pub message: String,
}

impl fmt::Display for FileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if let Some((line, column)) = self.position {
            write!(f, ":{line}:{column}")?;
        }
        if !self.key.is_empty() && self.key != "." {
            write!(f, ": {}", self.key)?;
        }
        write!(f, ": {}", self.message)
    }
}

impl std::error::Error for FileError {}

/// One segment of the path to a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PathSegment {
    /// A key of an object.
    Key(String),
    /// An index into an array, from 0.
    Index(usize),
}

/// Returns the path segment of a key.
pub fn key(key: &str) -> PathSegment {
    PathSegment::Key(key.into())
}

/// Deserializes the text of a file; `file` is its name in errors.
pub fn parse<T: DeserializeOwned>(file: &str, text: &str) -> Result<T, FileError> {
    let result = serde_path_to_error::deserialize(&mut json5::Deserializer::from_str(text));
    result.map_err(|e| {
        use serde_path_to_error::Segment;
        let path = e.path().iter().filter_map(|segment| match segment {
            Segment::Seq { index } => Some(PathSegment::Index(*index)),
            Segment::Map { key } => Some(PathSegment::Key(key.clone())),
            _ => None,
        });
        let path: Vec<PathSegment> = path.collect();
        // A syntax error carries its own position; for a rejected value the value is located.
        let is_syntax_error = e.inner().code().is_some() || path.is_empty();
        let value_position = if is_syntax_error { None } else { locate(text, &path) };
        let message = e.inner().to_string();
        FileError {
            file: file.into(),
            position: value_position.or_else(|| error_position(e.inner())),
            key: e.path().to_string(),
            message: message.split(" at line ").next().unwrap_or_default().into(),
        }
    })
}

/// Reads a file as text.
pub fn read_text(path: &Path) -> Result<String, FileError> {
    std::fs::read_to_string(path).map_err(|e| FileError {
        file: path.display().to_string(),
        position: None,
        key: String::new(),
        message: format!("cannot be read: {e}"),
    })
}

/// Creates the error for a value that has the right type but is invalid, located by its path.
pub fn invalid_value(file: &str, text: &str, path: &[PathSegment], message: String) -> FileError {
    let mut key = String::new();
    for segment in path {
        match segment {
            PathSegment::Key(k) => key.push_str(&format!("{}{k}", if key.is_empty() { "" } else { "." })),
            PathSegment::Index(i) => key.push_str(&format!("[{i}]")),
        }
    }
    FileError { file: file.into(), position: locate(text, path), key, message }
}

/// Line and column of a parser error, from 1.
fn error_position(e: &json5::Error) -> Option<(usize, usize)> {
    e.position().map(|p| (p.line + 1, p.column + 1))
}

/// Line and column of the value at a path, from 1.
fn locate(text: &str, path: &[PathSegment]) -> Option<(usize, usize)> {
    let error = ValueLocator(path).deserialize(&mut json5::Deserializer::from_str(text)).err();
    error.as_ref().and_then(error_position)
}

/// A visitor that descends to the value at a path and fails there, so that the parser reports its position.
struct ValueLocator<'a>(&'a [PathSegment]);

impl<'de> DeserializeSeed<'de> for ValueLocator<'_> {
    type Value = ();
    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl ValueLocator<'_> {
    /// Fails if this is the value at the end of the path.
    fn fail_at_target<E: serde::de::Error>(&self) -> Result<(), E> {
        if self.0.is_empty() {
            return Err(E::custom("value located"));
        }
        Ok(())
    }
}

impl<'de> Visitor<'de> for ValueLocator<'_> {
    type Value = ();
    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a value")
    }
    fn visit_bool<E: serde::de::Error>(self, _: bool) -> Result<(), E> {
        self.fail_at_target()
    }
    fn visit_i64<E: serde::de::Error>(self, _: i64) -> Result<(), E> {
        self.fail_at_target()
    }
    fn visit_u64<E: serde::de::Error>(self, _: u64) -> Result<(), E> {
        self.fail_at_target()
    }
    fn visit_f64<E: serde::de::Error>(self, _: f64) -> Result<(), E> {
        self.fail_at_target()
    }
    fn visit_str<E: serde::de::Error>(self, _: &str) -> Result<(), E> {
        self.fail_at_target()
    }
    fn visit_unit<E: serde::de::Error>(self) -> Result<(), E> {
        self.fail_at_target()
    }
    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        self.fail_at_target()?;
        while let Some(key) = map.next_key::<String>()? {
            if self.0[0] == PathSegment::Key(key) {
                map.next_value_seed(ValueLocator(&self.0[1..]))?;
            } else {
                map.next_value::<IgnoredAny>()?;
            }
        }
        Ok(())
    }
    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<(), A::Error> {
        self.fail_at_target()?;
        for index in 0.. {
            let has_element = if self.0[0] == PathSegment::Index(index) {
                seq.next_element_seed(ValueLocator(&self.0[1..]))?.is_some()
            } else {
                seq.next_element::<IgnoredAny>()?.is_some()
            };
            if !has_element {
                break;
            }
        }
        Ok(())
    }
}
