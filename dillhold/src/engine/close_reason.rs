//! Why the engine closes a connection of its own accord.

/// A reason, with the counter it is counted under.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// A caller made room for another one.
    MakeRoom,
    /// A caller's message stayed incomplete.
    CallerMessageIncomplete,
    /// A caller was told nothing and no set-up is open on its connection.
    CallerUnanswered,
    /// A caller has no call and has been quiet.
    CallerIdle,
    /// The buffers of all connections take too much memory, and this one more than its share.
    OutOfMemory,
    /// Too many bytes wait to be written.
    SlowReader,
    /// An exchange said nothing at all after a set-up.
    ExchangeSilent,
    /// Nothing came from an exchange for long on this connection, though calls stand there.
    ExchangeQuiet,
    /// An exchange's message stayed incomplete.
    ExchangeMessageIncomplete,
    /// An exchange gave no sign of life and is taken for dead.
    ExchangeVanished,
    /// The journal service did not answer in time.
    JournalSilent,
    /// What came cannot be read.
    Unreadable,
    /// The process leaves, and nothing is left on the connection.
    Leaving,
    /// The other side writes no more, or cannot be read on, and nothing is left to be written to it.
    Finished,
}

impl CloseReason {
    /// The counter, where there is one.
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
            CloseReason::JournalSilent => "errors journal silent",
            CloseReason::Unreadable => "errors unreadable",
            CloseReason::ExchangeVanished | CloseReason::Leaving | CloseReason::Finished => return None,
        })
    }
}
