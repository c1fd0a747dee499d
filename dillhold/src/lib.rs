//! The call controller round the decision module `pitchgw`: callers, exchanges and the journal on sockets.
//!
//! ARCHITECTURE.md at the root tells the life of a request and who owns what.
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
