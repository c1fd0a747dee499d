//! Reasons for which the engine closes a connection.

/// A reason. The variants are logged by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// An unused connection from callers, closed for a new one.
    MakeRoom,
    /// A caller's message stayed incomplete.
    CallerMessageIncomplete,
    /// Nothing was sent to the caller since it connected, and no set-up is open on its connection.
    CallerUnanswered,
    /// The caller's connection has no call and no recent message.
    CallerIdle,
    /// The buffers of all connections exceed the memory bound, and those of this one their share of it.
    OutOfMemory,
    /// Too many bytes are waiting to be written.
    SlowReader,
    /// The exchange sent nothing within the reply timeout after a set-up.
    ExchangeSilent,
    /// The connection has had no input for too long, although calls stand at the exchange.
    ExchangeQuiet,
    /// An exchange's message stayed incomplete.
    ExchangeMessageIncomplete,
    /// The end of a process was reported at the exchange's address, and the one behind the connection passed no test.
    ExchangeUnproven,
    /// The exchange gave no sign of life and is considered dead.
    ExchangeVanished,
    /// The journal service did not answer in time.
    JournalSilent,
    /// The input cannot be parsed.
    Unreadable,
    /// The process is shutting down, and the connection is unused.
    Leaving,
    /// The caller has closed its writing side, and the connection may be closed.
    Finished,
}

impl CloseReason {
    /// The counter of this reason, if it has one.
    pub fn counter(self) -> Option<&'static str> {
        Some(match self {
            CloseReason::MakeRoom => "closed callers to make room",
            CloseReason::CallerMessageIncomplete => "closed callers with half a message",
            CloseReason::CallerUnanswered => "closed callers without a word",
            CloseReason::CallerIdle => "closed callers idle",
            CloseReason::OutOfMemory => "errors callers over the memory",
            CloseReason::SlowReader => "errors slow readers",
            CloseReason::ExchangeSilent => "closed exchanges that stayed silent",
            CloseReason::ExchangeQuiet => "closed exchanges that were quiet",
            CloseReason::ExchangeMessageIncomplete => "closed exchanges with half a message",
            CloseReason::ExchangeUnproven => "closed exchanges without a passed test",
            CloseReason::JournalSilent => "errors journal silent",
            CloseReason::Unreadable => "errors unreadable",
            CloseReason::ExchangeVanished | CloseReason::Leaving | CloseReason::Finished => return None,
        })
    }
}
