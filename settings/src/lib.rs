//! Files that operators write in JSON5, read with errors that name file, line, column and key.
//!
//! The reader of JSON5 places what is no JSON5, but not a value that a type refuses later. So a refused value's path
//! is walked a second time, and the walk fails at the value: there the reader adds the place.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

use std::fmt;
use std::path::Path;

use serde::de::{DeserializeOwned, DeserializeSeed, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};

/// What is wrong with a file, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileError {
    /// The file.
    pub file: String,
    /// Line and column, from 1, where they are known.
    pub place: Option<(usize, usize)>,
    /// The key, as a path from the top; empty for the whole.
    pub key: String,
    /// What is wrong there.
    pub what: String,
}

impl fmt::Display for FileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if let Some((line, column)) = self.place {
            write!(f, ":{line}:{column}")?;
        }
        if !self.key.is_empty() && self.key != "." {
            write!(f, ": {}", self.key)?;
        }
        write!(f, ": {}", self.what)
    }
}

impl std::error::Error for FileError {}

/// One step of the path to a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PathSegment {
    /// A key of an object.
    Key(String),
    /// A place in an array, from 0.
    Index(usize),
}

/// The step to a key.
pub fn key(key: &str) -> PathSegment {
    PathSegment::Key(key.into())
}

/// Reads the text of a file; `file` is only named in errors.
pub fn parse<T: DeserializeOwned>(file: &str, text: &str) -> Result<T, FileError> {
    let read = serde_path_to_error::deserialize(&mut json5::Deserializer::from_str(text));
    read.map_err(|e| {
        use serde_path_to_error::Segment;
        let path = e.path().iter().filter_map(|s| match s {
            Segment::Seq { index } => Some(PathSegment::Index(*index)),
            Segment::Map { key } => Some(PathSegment::Key(key.clone())),
            _ => None,
        });
        let path: Vec<PathSegment> = path.collect();
        // What is no JSON5 has a place of its own; else the place is that of the value.
        let syntax = e.inner().code().is_some() || path.is_empty();
        let found = if syntax { None } else { locate(text, &path) };
        let what = e.inner().to_string();
        FileError {
            file: file.into(),
            place: found.or_else(|| place(e.inner())),
            key: e.path().to_string(),
            what: what.split(" at line ").next().unwrap_or_default().into(),
        }
    })
}

/// Reads a whole file as text.
pub fn read_text(path: &Path) -> Result<String, FileError> {
    std::fs::read_to_string(path).map_err(|e| FileError {
        file: path.display().to_string(),
        place: None,
        key: String::new(),
        what: format!("cannot be read: {e}"),
    })
}

/// Says that the value at a path is refused, for a reason that its type alone cannot know.
pub fn invalid_value(file: &str, text: &str, path: &[PathSegment], what: String) -> FileError {
    let mut key = String::new();
    for step in path {
        match step {
            PathSegment::Key(k) => key.push_str(&format!("{}{k}", if key.is_empty() { "" } else { "." })),
            PathSegment::Index(i) => key.push_str(&format!("[{i}]")),
        }
    }
    FileError { file: file.into(), place: locate(text, path), key, what }
}

fn place(e: &json5::Error) -> Option<(usize, usize)> {
    e.position().map(|p| (p.line + 1, p.column + 1))
}

/// Line and column of the value at a path.
fn locate(text: &str, path: &[PathSegment]) -> Option<(usize, usize)> {
    let found = Locate(path).deserialize(&mut json5::Deserializer::from_str(text)).err();
    found.as_ref().and_then(place)
}

/// Walks to the value of a path and fails there: the reader adds the place.
struct Locate<'a>(&'a [PathSegment]);

impl<'de> DeserializeSeed<'de> for Locate<'_> {
    type Value = ();
    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl Locate<'_> {
    fn found<E: serde::de::Error>(&self) -> Result<(), E> {
        if self.0.is_empty() {
            return Err(E::custom("here"));
        }
        Ok(())
    }
}

impl<'de> Visitor<'de> for Locate<'_> {
    type Value = ();
    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a value")
    }
    fn visit_bool<E: serde::de::Error>(self, _: bool) -> Result<(), E> {
        self.found()
    }
    fn visit_i64<E: serde::de::Error>(self, _: i64) -> Result<(), E> {
        self.found()
    }
    fn visit_u64<E: serde::de::Error>(self, _: u64) -> Result<(), E> {
        self.found()
    }
    fn visit_f64<E: serde::de::Error>(self, _: f64) -> Result<(), E> {
        self.found()
    }
    fn visit_str<E: serde::de::Error>(self, _: &str) -> Result<(), E> {
        self.found()
    }
    fn visit_unit<E: serde::de::Error>(self) -> Result<(), E> {
        self.found()
    }
    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        self.found()?;
        while let Some(name) = map.next_key::<String>()? {
            if self.0[0] == PathSegment::Key(name) {
                map.next_value_seed(Locate(&self.0[1..]))?;
            } else {
                map.next_value::<IgnoredAny>()?;
            }
        }
        Ok(())
    }
    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<(), A::Error> {
        self.found()?;
        for index in 0.. {
            let found = if self.0[0] == PathSegment::Index(index) {
                seq.next_element_seed(Locate(&self.0[1..]))?.is_some()
            } else {
                seq.next_element::<IgnoredAny>()?.is_some()
            };
            if !found {
                break;
            }
        }
        Ok(())
    }
}
