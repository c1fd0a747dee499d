//! What passes between the call table and the connections: words that name no wire format. A second protocol
//! needs a session that speaks these.

use pitchgw::interface::{CallId, Cause, ExchangeId, Nanos, Outcome, Report};

/// A connection from callers. Numbers are never used again.
pub type CallerLink = u64;

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
        report: Report,
    },
    /// A call that stood is over.
    Released {
        /// The call.
        id: u64,
        /// Why.
        cause: u8,
    },
    /// The state of the group.
    Group(Report),
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
    Caller {
        /// The connection meant; `None`: any.
        link: Option<CallerLink>,
        /// The call.
        id: u64,
        /// What to say.
        say: ToCaller,
    },
    /// To an exchange.
    Exchange {
        /// Which.
        to: ExchangeId,
        /// The call.
        id: u64,
        /// What to say.
        say: ToExchange,
    },
    /// What has not left yet for an exchange must not leave any more.
    Withhold(ExchangeId),
    /// The list of exchanges has changed.
    Listed,
    /// Calls stand on this exchange: it is to be watched while they do.
    Watch(ExchangeId),
    /// This machine is gone for good.
    Ended(ExchangeId),
}

/// What callers are told.
#[derive(Clone, Debug, PartialEq)]
pub enum ToCaller {
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
pub enum ToExchange {
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
pub enum Due {
    /// A timer of the module.
    Module(u64),
    /// An attempt's time is up.
    Attempt(u64, CallId, u32),
    /// A call's last moment for an answer.
    Answer(u64, CallId),
    /// A machine that is gone has had its last words.
    Gone(ExchangeId),
    /// An interval of the measuring is over.
    Measured,
    /// The ids of calls that ended before are forgotten.
    Forget,
    /// Something of the connections'.
    Link(LinkDue),
}

/// What can be due of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkDue {
    /// A connection must be up by now.
    Connect(u64),
    /// A message that came half on this connection of an exchange must be whole.
    Half(ExchangeId, u64),
    /// Something must have come on this connection of an exchange since a set-up was sent there.
    Silent(ExchangeId, u64),
    /// An exchange is connected to again.
    Redial(ExchangeId),
    /// An exchange on which calls stand is looked at: whether it still lives.
    Liveness(ExchangeId),
    /// The calls that stand on an exchange are compared with the circuits that it says are in use.
    Compare {
        /// Which.
        exchange: ExchangeId,
        /// When it could be reached again; calls that stood before are in doubt.
        since: Nanos,
    },
    /// The journal is asked again.
    Ask,
    /// The journal must have answered on this connection.
    Journal(u64),
    /// A connection from callers is looked at: whether it is of use to anybody.
    Caller(u64),
    /// Releases that wait for a caller wait no longer for one that is known to be one.
    Releases,
    /// After the signal to end: callers stop coming.
    StopListening,
    /// While leaving: connections from callers on which nothing is left are closed.
    CloseUnused,
    /// A connection whose writing side was closed is closed altogether.
    Finished(u64),
    /// After the signal to end: whatever is still open is left.
    Leave,
}
