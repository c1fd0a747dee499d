//! The call controller: serves the decision module `pitchgw` to callers, exchanges and the journal over sockets.
//!
//! ARCHITECTURE.md at the repository root describes the path of a request and the responsibilities of each module.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod call;
pub mod clock;
pub mod codec;
pub mod counters;
pub mod deadlines;
pub mod directory;
pub mod engine;
pub mod net;
pub mod operator;
pub mod session;
