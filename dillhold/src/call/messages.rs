//! Messages between the call table and the connections, independent of any wire format. A further protocol
//! needs a session that translates to and from these.

use std::net::SocketAddr;

use pitchgw::interface::{CallId, Cause, ExchangeId, LoadReport, Nanos, Outcome};

use super::answering_process::{ExchangeConnId, ProcessTest};
use crate::deadlines::Owned;

/// Identifies a connection from callers. Ids are never reused.
pub type CallerConnId = u64;

/// A set-up as sent by a caller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SetUp<'a> {
    /// Id of the call.
    pub call_id: u64,
    /// Name of the class.
    pub class: &'a [u8],
    /// How long the caller waits for a final answer.
    pub timeout: Nanos,
    /// The number called.
    pub called_number: &'a [u8],
    /// Number of the destination exchange.
    pub destination: u32,
    /// Circuits seized on each group; `None` uses the width of the class.
    pub width: Option<u32>,
    /// Number of the tandem that the caller was advised to use.
    pub advised_tandem: Option<u32>,
    /// Whether the call is in transit here.
    pub in_transit: bool,
    /// Whether the call was cut before and is set up again.
    pub after_cut: bool,
    /// The session description, passed on byte for byte.
    pub description: &'a [u8],
}

/// A request from a caller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallerRequest<'a> {
    /// A valid set-up.
    SetUp(SetUp<'a>),
    /// A set-up with missing or invalid parameters; holds the call id.
    InvalidSetUp(u64),
    /// Cancels an open set-up or releases a standing call.
    Release {
        /// Id of the call.
        call_id: u64,
        /// Q.850 cause.
        cause: u8,
        /// Whether the connection is confirmed to be a caller's.
        confirmed_caller: bool,
    },
}

/// What a request from a caller says about the client that sent it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Conduct {
    /// A caller sends such requests.
    Sound,
    /// The release of a call that this process does not know. After a start, callers release calls from before it.
    UnknownRelease,
    /// No caller sends such a request: it is invalid, or it has the id of another call or of another connection's set-up.
    Bad,
}

/// Where a message of an exchange came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageSource {
    /// The machine whose link the connection belongs to.
    pub exchange: ExchangeId,
    /// The connection.
    pub conn: ExchangeConnId,
}

/// An event reported by an exchange.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ExchangeEvent<'a> {
    /// The exchange answered: the call stands.
    Answered {
        /// Id of the call.
        call_id: u64,
        /// The session description of the exchange.
        description: &'a [u8],
    },
    /// An attempt ended without an answer.
    AttemptEnded {
        /// Id of the call.
        call_id: u64,
        /// How the attempt ended.
        outcome: Outcome,
        /// Why it ended, where stated.
        cause: Cause,
        /// State of the trunk group, where stated.
        report: LoadReport,
    },
    /// The exchange released a standing call.
    Released {
        /// Id of the call.
        call_id: u64,
        /// Q.850 cause.
        cause: u8,
    },
    /// State of the trunk group towards the exchange.
    GroupReport(LoadReport),
}

/// Whether the set-up of an attempt had been sent when its connection failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptProgress {
    /// The set-up was not sent, or not completely.
    NeverSent,
    /// The set-up may have arrived.
    Sent,
}

/// A command from the call table to the connections.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send a notification to a caller.
    NotifyCaller {
        /// The caller's connection; `None` for any.
        conn: Option<CallerConnId>,
        /// Id of the call.
        call_id: u64,
        /// The notification.
        notification: CallerNotification,
    },
    /// Send a request to an exchange.
    RequestExchange {
        /// The exchange.
        to: ExchangeId,
        /// Id of the call.
        call_id: u64,
        /// The request.
        request: ExchangeRequest,
    },
    /// Withdraw set-ups to this exchange that have not been sent yet.
    WithdrawSetUps(ExchangeId),
    /// The list of exchanges has changed: open and close links accordingly.
    UpdateLinks,
    /// The first call stands on this exchange: check its liveness while calls stand there.
    StartLivenessChecks(ExchangeId),
    /// Calls stand at the address of this exchange: compare them with the circuits that it reports.
    CompareCircuits(ExchangeId),
    /// Send a test on a connection to an exchange.
    SendTest(ProcessTest),
    /// Close a connection to an exchange on which a test was not answered.
    CloseUnprovenConnection(ExchangeConnId),
    /// This machine has left the list: close its link unless that is still needed.
    RemoveExchange(ExchangeId),
}

/// A notification to a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerNotification {
    /// The call stands; holds the session description of the exchange.
    Answer(Vec<u8>),
    /// The set-up is refused; holds how long the caller is asked to pause (0: no request).
    Refused(Nanos),
    /// The set-up failed.
    Failed,
    /// A standing call was released; holds the Q.850 cause.
    Released(u8),
}

/// A request to an exchange.
#[derive(Clone, Debug, PartialEq)]
pub enum ExchangeRequest {
    /// Set up a call.
    SetUp {
        /// Number of the attempt, from 0.
        attempt: u32,
        /// The number that identifies the request; no other set-up of this process has it.
        sequence: u32,
        /// How long the attempt may take.
        timeout: Nanos,
        /// Name of the class.
        class: Vec<u8>,
        /// The number called.
        called_number: Vec<u8>,
        /// The session description.
        description: Vec<u8>,
    },
    /// Cancel an attempt.
    CancelAttempt {
        /// Number of the attempt, from 0.
        attempt: u32,
        /// The number of its request.
        sequence: u32,
    },
    /// Release a call; holds the Q.850 cause.
    Release(u8),
    /// Release a call that this process does not know, if it stands there; holds the Q.850 cause.
    ReleaseUnknown(u8),
}

/// What to do when a deadline expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deadline {
    /// Deliver a timer requested by the decision module; holds its token.
    ModuleTimer(u64),
    /// Cancel an attempt that is still pending; holds the call's id, its handle and the number of the
    /// attempt.
    AttemptTimeout(u64, CallId, u32),
    /// Fail a call that still awaits its final answer; holds the call's id and handle.
    FinalAnswer(u64, CallId),
    /// Test the processes at an address once more, as a report of their end may have been early.
    RetestProcesses(SocketAddr),
    /// End the calls at an address whose process may have ended: the time of the tests is over.
    ReviewProcesses(SocketAddr),
    /// Remove a machine that has left the list.
    MachineRemoval(ExchangeId),
    /// Close the measurement interval.
    IntervalEnd,
    /// Discard expired ids of ended calls.
    ForgetEndedCalls,
    /// Send queued releases of unknown calls to the exchanges.
    ReleaseUnknownCalls,
    /// A deadline of the engine.
    Engine(EngineDeadline),
}

/// What a deadline belongs to. When that ends, the deadline has no purpose any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DeadlineOwner {
    /// A set-up, until its final answer is given; holds the call's handle.
    SetUp(CallId),
    /// A connection.
    Connection(u64),
}

impl Owned for Deadline {
    type Owner = DeadlineOwner;

    fn owner(&self) -> Option<DeadlineOwner> {
        match self {
            // The token of a call's timer is its handle. Other tokens are those of no set-up.
            Deadline::ModuleTimer(handle)
            | Deadline::AttemptTimeout(_, handle, _)
            | Deadline::FinalAnswer(_, handle) => Some(DeadlineOwner::SetUp(*handle)),
            Deadline::Engine(deadline) => deadline.connection().map(DeadlineOwner::Connection),
            Deadline::RetestProcesses(_)
            | Deadline::ReviewProcesses(_)
            | Deadline::MachineRemoval(_)
            | Deadline::IntervalEnd
            | Deadline::ForgetEndedCalls
            | Deadline::ReleaseUnknownCalls => None,
        }
    }
}

/// What the engine has to do when a deadline expires. A `u64` is the id of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineDeadline {
    /// Give up a connection that is not established yet.
    ConnectTimeout(u64),
    /// Close this connection of an exchange if a message on it is still incomplete.
    IncompleteMessage(ExchangeId, u64),
    /// Close this connection of an exchange if nothing was received since a set-up was sent on it.
    ReplyTimeout(ExchangeId, u64),
    /// Connect to an exchange again.
    Reconnect(ExchangeId),
    /// Check the liveness of an exchange on which calls stand.
    LivenessCheck(ExchangeId),
    /// Compare the calls that stand on an exchange with the circuits it reports in use.
    CompareCircuits {
        /// The exchange.
        exchange: ExchangeId,
        /// When it became reachable again; calls set up before this time may have been lost.
        since: Nanos,
    },
    /// Review the calls that were answered on this connection, which has ended.
    ReviewLostConnection(u64),
    /// Poll the journal service.
    PollJournal,
    /// Close this connection to the journal service if its answer is overdue.
    JournalTimeout(u64),
    /// Check whether a connection from callers is still in use.
    CallerCheck(u64),
    /// Send pending releases on connections that are not confirmed to be a caller's.
    DeliverReleases,
    /// Shutdown: stop accepting connections from callers.
    StopListening,
    /// Shutdown: close unused connections from callers.
    CloseUnused,
    /// Close a connection whose writing side has been shut down.
    WriteShutdownTimeout(u64),
    /// Shutdown: exit although set-ups or calls are left.
    ForcedExit,
}

impl EngineDeadline {
    /// The connection that the deadline is about.
    fn connection(&self) -> Option<u64> {
        match self {
            EngineDeadline::ConnectTimeout(conn)
            | EngineDeadline::IncompleteMessage(_, conn)
            | EngineDeadline::ReplyTimeout(_, conn)
            | EngineDeadline::JournalTimeout(conn)
            | EngineDeadline::CallerCheck(conn)
            | EngineDeadline::WriteShutdownTimeout(conn) => Some(*conn),
            EngineDeadline::Reconnect(_)
            | EngineDeadline::LivenessCheck(_)
            | EngineDeadline::CompareCircuits { .. }
            | EngineDeadline::ReviewLostConnection(_)
            | EngineDeadline::PollJournal
            | EngineDeadline::DeliverReleases
            | EngineDeadline::StopListening
            | EngineDeadline::CloseUnused
            | EngineDeadline::ForcedExit => None,
        }
    }
}
