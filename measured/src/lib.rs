//! Traffic measurement of a call controller's trunk groups per interval, and its file format.
//!
//! - [`calendar`]: interval boundaries, aligned to the wall clock of the operator's time zone.
//! - [`meter`]: counts the events of an interval in bounded memory.
//! - [`record`]: encodes and decodes a closed interval, with a checksum that detects incomplete or changed files.
//!
//! This crate does no I/O and reads no clock.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod calendar;
pub mod meter;
pub mod record;
