//! What a call controller measures of its trunk groups, interval by interval, and the form it is kept in.
//!
//! - [`calendar`]: where intervals begin and end, by the wall clock of the operator's time zone.
//! - [`meter`]: counts what happens in an interval; bounded, whatever there is to count.
//! - [`record`]: a closed interval as a file: whole, or known not to be.
//!
//! Nothing here does I/O or reads a clock.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod calendar;
pub mod meter;
pub mod record;
