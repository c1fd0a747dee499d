//! Trunk dimensioning: the number of circuits that a group needs for its measured load.
//!
//! Loads are in erlang and losses are shares between 0 and 1. Numbers of circuits are fractional where a method
//! requires it. This crate does no I/O and reads no clock.
//!
//! - [`erlang`]: Erlang's loss formula and its inverses.
//! - [`widths`]: groups with calls of several widths (multirate traffic) and trunk reservation.
//! - [`overflow`]: peaked overflow traffic and groups that are offered it.
//! - [`offered`]: estimates the offered load from the controllers' measurements.
//! - [`busy`]: finds the busy hour of each kind of day, whose load a group is sized for.
//! - [`plan`]: the circuits for a target loss, and the best distribution of the present circuits.
//! - [`network`]: the fixed points of a network of groups with tandem alternatives.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod busy;
pub mod erlang;
pub mod network;
pub mod offered;
pub mod overflow;
pub mod plan;
pub mod widths;

use std::fmt;

/// An argument outside the domain of a formula.
#[derive(Clone, Debug, PartialEq)]
pub enum InvalidInput {
    /// A load that is negative, NaN or above [`erlang::MAX_LOAD_ERLANG`].
    Load(f64),
    /// A loss outside the open interval from 0 to 1.
    Loss(f64),
    /// A number of circuits that is negative, NaN or above [`erlang::MAX_CIRCUITS`].
    Circuits(f64),
    /// A peakedness outside the supported range, above 0 and at most 100.
    Peakedness(f64),
    /// A width of zero.
    Width,
    /// What does not exist (a node or a class), and its index.
    Unknown(&'static str, usize),
}

impl fmt::Display for InvalidInput {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Load(a) => {
                write!(f, "a load of {a} E: between 0 and {} is needed", erlang::MAX_LOAD_ERLANG)
            }
            Self::Loss(b) => write!(f, "a loss of {b}: above 0 and below 1 is needed"),
            Self::Circuits(n) => write!(f, "{n} circuits: between 0 and {} is needed", erlang::MAX_CIRCUITS),
            Self::Peakedness(z) => write!(f, "a peakedness of {z}: above 0 and at most 100 is needed"),
            Self::Width => write!(f, "a width of 0: a call takes one circuit at least"),
            Self::Unknown(what, number) => write!(f, "there is no {what} {number}"),
        }
    }
}

impl std::error::Error for InvalidInput {}
