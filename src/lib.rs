#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod interface;
pub mod logic;
pub mod wire;

pub use logic::Controller;
