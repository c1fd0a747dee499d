//! Trunk dimensioning: how many circuits a group needs for the load that was measured.
//!
//! Loads are in erlang, losses are shares between 0 and 1, circuits are numbers that need not be whole where a
//! method asks for parts of one. Nothing here does I/O or reads a clock.
//!
//! - [`erlang`]: Erlang's loss formula and its inverses.
//! - [`widths`]: calls of several widths on one group, with trunk reservation.
//! - [`overflow`]: overflow traffic, which is peaked, and groups that are offered it.
//! - [`offered`]: the load that was offered, from what controllers measured.
//! - [`busy`]: the load to dimension for: the busy hour by kind of day.
//! - [`plan`]: circuits for a chosen loss, and the best use of those there are.
//! - [`network`]: groups with tandem alternatives as a fixed point, and the second one where there is one.
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

/// A figure that a formula cannot be asked about.
#[derive(Clone, Debug, PartialEq)]
pub enum InvalidInput {
    /// A load that is negative, no number, or above [`erlang::MAX_LOAD_ERLANG`].
    Load(f64),
    /// A loss that is not above 0 and below 1.
    Loss(f64),
    /// Circuits that are negative, no number or more than a group can have.
    Circuits(f64),
    /// A peakedness that is not above 0.
    Peakedness(f64),
    /// A width of zero.
    Width,
    /// A group, node or class that there is not.
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
