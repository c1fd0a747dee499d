//! What passes between the call table and the connections: words that name no wire format. A second protocol
//! needs a session that speaks these.

use pitchgw::interface::{CallId, Cause, ExchangeId, LoadReport, Nanos, Outcome};

/// A connection from callers. Numbers are never used again.
pub type CallerConnId = u64;

/// A set-up as a caller sends it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SetUp<'a> {
    /// The call's id.
    pub id: u64,
    /// Name of the class.
    pub class: &'a [u8],
    /// How long the caller waits.
    pub wait: Nanos,
    /// The number called.
    pub number: &'a [u8],
    /// Number of the destination's exchange.
    pub destination: u32,
    /// Circuits seized on each group; `None`: as the class has it.
    pub width: Option<u32>,
    /// The advised tandem.
    pub advised: Option<u32>,
    /// Whether the call is in transit here.
    pub transit: bool,
    /// Whether it was cut and comes again.
    pub again: bool,
    /// The description, byte for byte.
    pub description: &'a [u8],
}

/// What callers say.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FromCaller<'a> {
    /// A set-up.
    SetUp(SetUp<'a>),
    /// A set-up that lacks what it needs to be served.
    Unservable(u64),
    /// A set-up given up, or a call released.
    Release {
        /// The call.
        id: u64,
        /// Why.
        cause: u8,
    },
}

/// What exchanges say.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FromExchange<'a> {
    /// The call stands.
    Answered {
        /// The call.
        id: u64,
        /// The exchange's description.
        description: &'a [u8],
    },
    /// The attempt came to nothing.
    Ended {
        /// The call.
        id: u64,
        /// How.
        outcome: Outcome,
        /// Why.
        cause: Cause,
        /// The group's state, where it is told.
        report: LoadReport,
    },
    /// A call that stood is over.
    Released {
        /// The call.
        id: u64,
        /// Why.
        cause: u8,
    },
    /// The state of the group.
    Group(LoadReport),
}

/// How far an attempt had come when its connection failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptProgress {
    /// Its set-up never left.
    NeverSent,
    /// Its set-up may have arrived.
    Sent,
}

/// What is to be sent.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// To a caller.
    NotifyCaller {
        /// The connection meant; `None`: any.
        conn: Option<CallerConnId>,
        /// The call.
        call_id: u64,
        /// What to say.
        notification: CallerNotification,
    },
    /// To an exchange.
    RequestExchange {
        /// Which.
        to: ExchangeId,
        /// The call.
        call_id: u64,
        /// What to say.
        request: ExchangeRequest,
    },
    /// What has not left yet for an exchange must not leave any more.
    WithdrawSetUps(ExchangeId),
    /// The list of exchanges has changed.
    UpdateLinks,
    /// Calls stand on this exchange: it is to be watched while they do.
    StartLivenessChecks(ExchangeId),
    /// This machine is gone for good.
    RemoveExchange(ExchangeId),
}

/// What callers are told.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerNotification {
    /// The call stands; the exchange's description.
    Answer(Vec<u8>),
    /// Refused; stay away for so long (0: nothing said).
    Refused(Nanos),
    /// Failed.
    Failed,
    /// A call that stood is over.
    Released(u8),
}

/// What exchanges are told.
#[derive(Clone, Debug, PartialEq)]
pub enum ExchangeRequest {
    /// Set the call up.
    SetUp {
        /// Number of the attempt.
        attempt: u32,
        /// How long it is waited for.
        wait: Nanos,
        /// Name of the class.
        class: Vec<u8>,
        /// The number called.
        number: Vec<u8>,
        /// The description.
        description: Vec<u8>,
    },
    /// The attempt is given up.
    GiveUp {
        /// Number of the attempt.
        attempt: u32,
    },
    /// The call that stands is released.
    Release(u8),
    /// A call that this program does not know is released, if it stands there.
    ReleaseUnknown(u8),
}

/// What can be due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deadline {
    /// A timer of the module.
    ModuleTimer(u64),
    /// An attempt's time is up.
    AttemptTimeout(u64, CallId, u32),
    /// A call's last moment for an answer.
    FinalAnswer(u64, CallId),
    /// A machine that is gone has had its last words.
    ExchangeRemoval(ExchangeId),
    /// An interval of the measuring is over.
    IntervalEnd,
    /// The ids of calls that ended before are forgotten.
    ForgetEndedCalls,
    /// Something of the connections'.
    Engine(EngineDeadline),
}

/// What can be due of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineDeadline {
    /// A connection must be up by now.
    ConnectTimeout(u64),
    /// A message that came half on this connection of an exchange must be whole.
    IncompleteMessage(ExchangeId, u64),
    /// Something must have come on this connection of an exchange since a set-up was sent there.
    SilenceTimeout(ExchangeId, u64),
    /// An exchange is connected to again.
    Reconnect(ExchangeId),
    /// An exchange on which calls stand is looked at: whether it still lives.
    LivenessCheck(ExchangeId),
    /// The calls that stand on an exchange are compared with the circuits that it says are in use.
    CompareCircuits {
        /// Which.
        exchange: ExchangeId,
        /// When it could be reached again; calls that stood before are in doubt.
        since: Nanos,
    },
    /// The journal is asked again.
    PollJournal,
    /// The journal must have answered on this connection.
    JournalTimeout(u64),
    /// A connection from callers is looked at: whether it is of use to anybody.
    CallerCheck(u64),
    /// Releases that wait for a caller wait no longer for one that is known to be one.
    DeliverReleases,
    /// After the signal to end: callers stop coming.
    StopListening,
    /// While leaving: connections from callers on which nothing is left are closed.
    CloseUnused,
    /// A connection whose writing side was closed is closed altogether.
    FinishTimeout(u64),
    /// After the signal to end: whatever is still open is left.
    ForcedExit,
}
