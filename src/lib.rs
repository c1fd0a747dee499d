#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod controller;
pub mod interface;
pub mod pause_detector;
pub mod wire;

pub use controller::Controller;
