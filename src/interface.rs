//! The types between the decision module ([`crate::controller`]) and whatever embeds it.
//!
//! Times are nanoseconds on one clock that only advances. Exchanges and calls are known by numbers that the
//! embedder gives out; the module reads nothing into them beyond equality and order.

use std::fmt;

/// A moment or a span, in nanoseconds.
pub type Nanos = u64;
/// The embedder's handle for one exchange's machine (a machine that replaces it has another).
pub type ExchangeId = u32;
/// The embedder's handle for one call at this exchange.
pub type CallId = u64;
/// The embedder's handle for a dialled number.
pub type NumberId = u64;

/// A span in seconds.
pub fn secs(t: Nanos) -> f64 {
    t as f64 * 1e-9
}

/// A span of so many seconds.
pub fn nanos(s: f64) -> Nanos {
    (s * 1e9) as Nanos
}

/// How the network is laid out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topology {
    /// Exchanges joined in pairs by trunk groups; calls may pass through one tandem.
    Mesh,
    /// Pools of agents shared by all call agents; no call is in transit.
    Pools,
}

/// How far processors' load becomes known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reports {
    /// With every answer and probe.
    Answers,
    /// With probes only.
    Probes,
    /// Not at all.
    None,
}

/// One class of call.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// A call that stands within this time of its first try earns its full worth.
    pub aim: Nanos,
    /// How long a caller persists, from the first try.
    pub deadline: Nanos,
    /// Worth of a call that stands in time and holds to its end.
    pub worth: f64,
    /// Share of the worth earned by standing after the aim.
    pub late_worth: f64,
    /// Circuits that a call seizes on each trunk group.
    pub width: u32,
    /// Mean duration of a call.
    pub hold: Nanos,
    /// In pools: the pools that can serve this class (empty: all).
    pub pools: Vec<u32>,
    /// Whether an attempt that may have run can be repeated without harm.
    pub repeatable: bool,
}

impl Class {
    /// Circuit-seconds that a call takes of each group.
    pub fn circuit_seconds(&self) -> f64 {
        f64::from(self.width) * secs(self.hold).max(1e-3)
    }
}

/// The figures of the rule on cold exchanges.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRule {
    /// An exchange starts at this share of its capacity or above.
    pub from: f64,
    /// It is warm after this time at most.
    pub lasts: Nanos,
    /// Sent more than this multiple of its present capacity ...
    pub multiple: f64,
    /// ... for this time, it falls over.
    pub window: Nanos,
}

/// What one instance is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How many call agents there are.
    pub controller_count: u32,
    /// Number of this agent among them, from 0.
    pub controller_index: u32,
    /// Number of the own exchange, where there is one.
    pub home_exchange: Option<u32>,
    /// Layout of the network.
    pub topology: Topology,
    /// Index of the own zone.
    pub zone: u32,
    /// The classes of call.
    pub classes: Vec<Class>,
    /// How load reports come.
    pub reports: Reports,
    /// Attempts allowed for one call.
    pub max_attempts: u32,
    /// Whether exchanges may be probed.
    pub may_probe: bool,
    /// Whether an attempt may be called off.
    pub may_cancel: bool,
    /// The longest pause that a caller can be asked to keep after a refusal, if any.
    pub max_retry_after: Option<Nanos>,
    /// Whether the list of exchanges comes only when asked for.
    pub list_on_request: bool,
    /// An agent that has not asked for this long counts as told of the list as it stood that long ago.
    pub ask_within: Nanos,
    /// After an attempt timed out, was cut or called off, what it held may stay taken for this long.
    pub release_wait: Nanos,
    /// A waiting set-up is repeated after this time and then at doubling gaps (0: never).
    pub resend: Nanos,
    /// New work to a draining or gone exchange must stop within this time of the news.
    pub drain_grace: Nanos,
    /// How long after the caller's deadline a final answer still counts.
    pub answer_slack: Nanos,
    /// The rule on cold exchanges.
    pub cold: ColdRule,
    /// Events arrive no more often than this.
    pub tick: Nanos,
    /// Points lost for worth that fails after its aim, as a share of that worth.
    pub late_fail_price: f64,
    /// Points lost for each probe, per call.
    pub probe_price: f64,
}

impl Settings {
    /// The longest aim of the classes, in seconds.
    pub fn longest_aim(&self) -> f64 {
        self.classes.iter().map(|c| secs(c.aim)).fold(0.0, f64::max)
    }

    /// Whether the settings make sense.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        for (i, c) in self.classes.iter().enumerate() {
            if c.aim == 0 {
                return Err(SettingsError::ZeroAim(i));
            }
            if c.width == 0 {
                return Err(SettingsError::ZeroWidth(i));
            }
            if !c.worth.is_finite() || c.worth < 0.0 {
                return Err(SettingsError::BadWorth(i));
            }
        }
        if self.controller_index >= self.controller_count {
            return Err(SettingsError::OwnNumber {
                own: self.controller_index,
                agents: self.controller_count,
            });
        }
        if self.topology == Topology::Mesh && self.home_exchange.is_none() {
            return Err(SettingsError::NoHome);
        }
        if self.max_attempts == 0 {
            return Err(SettingsError::NoAttempts);
        }
        Ok(())
    }
}

/// Settings that make no sense.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// There is no class of call.
    NoClasses,
    /// The class of this index has no aim.
    ZeroAim(usize),
    /// The class of this index has a width of zero.
    ZeroWidth(usize),
    /// The class of this index has a worth that is negative or no number.
    BadWorth(usize),
    /// The own number is not below the number of agents.
    OwnNumber {
        /// The own number.
        own: u32,
        /// The number of agents.
        agents: u32,
    },
    /// A mesh needs an own exchange.
    NoHome,
    /// No attempt is allowed.
    NoAttempts,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoClasses => write!(f, "no class of call"),
            Self::ZeroAim(i) => write!(f, "class {i}: the aim is zero"),
            Self::ZeroWidth(i) => write!(f, "class {i}: the width is zero"),
            Self::BadWorth(i) => write!(f, "class {i}: the worth is negative or no number"),
            Self::OwnNumber { own, agents } => write!(f, "own number {own} is not below {agents} agents"),
            Self::NoHome => write!(f, "a mesh needs an own exchange"),
            Self::NoAttempts => write!(f, "no attempt is allowed"),
        }
    }
}

impl std::error::Error for SettingsError {}

/// What discovery says of an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeState {
    /// In service.
    Up,
    /// Finishing what it has; nothing new may be sent.
    Draining,
    /// Withdrawn.
    Gone,
}

/// One line of the list of exchanges.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The machine.
    pub exchange: ExchangeId,
    /// The exchange's (or pool's) number: what calls are routed by.
    pub number: u32,
    /// Index of its zone.
    pub zone: u32,
    /// When it last started; `None` means long ago.
    pub since: Option<Nanos>,
    /// Its state.
    pub standing: ExchangeState,
}

/// What a list event is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// Changed entries only.
    Changes,
    /// The whole list; who is not on it is gone.
    Whole,
    /// The whole list as it was last held, perhaps out of date.
    Restored,
    /// Asking failed; the list in hand stays in force.
    Unavailable,
}

/// A report on the trunk group towards an exchange (or a pool) and on its processor. Anything may be missing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Free circuits of the group (free agents of a pool).
    pub free_circuits: Option<f64>,
    /// Size of the group.
    pub group_size: Option<f64>,
    /// Share of the processor that is busy.
    pub busy: Option<f64>,
    /// Messages waiting at the processor.
    pub queue: Option<f64>,
    /// The wait at the processor, in milliseconds.
    pub wait_ms: Option<f64>,
    /// Messages being worked on.
    pub working: Option<f64>,
    /// New set-ups a second that it can take from all senders.
    pub allowed: Option<f64>,
    /// Share of new set-ups that it asks each sender to hold back.
    pub hold_back: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The call stood and came to its natural end.
    Completed,
    /// All lines of the number engaged, or a signalling fault.
    Failed,
    /// Not set up: turned back, or a processor or pool was full.
    Rejected,
    /// No answer in time.
    TimedOut,
    /// The exchange could not be reached; the set-up never ran.
    Unreachable,
    /// The set-up or the standing call was cut.
    Cut,
    /// Called off.
    CalledOff,
    /// Never sent.
    NotSent,
}

/// Why a set-up did not go through, where it is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// No cause was given.
    Untold,
    /// No circuit, or no agent.
    NoCircuit,
    /// The tandem turned it back.
    TurnedBack,
    /// The tandem turned it back because the processor beyond was full.
    FullBeyond,
    /// The processor was full (not sent: the own one is down), with the wait it states, if any.
    ProcessorFull(Option<Nanos>),
    /// All lines of the number are engaged.
    NumberBusy,
}

/// A call as it is handed to this exchange.
#[derive(Clone, Debug, PartialEq)]
pub struct NewCall {
    /// The call.
    pub call: CallId,
    /// Index of its class.
    pub class: usize,
    /// The number dialled, where it is told.
    pub dialled: Option<NumberId>,
    /// When the caller gives up this try.
    pub deadline: Nanos,
    /// Number of the exchange (or of the pool of first choice) it is for.
    pub destination: u32,
    /// Circuits it seizes on each group.
    pub width: u32,
    /// The tandem or pool that had most room at the centre's last look.
    pub advised_route: Option<u32>,
    /// Whether it is in transit here.
    pub in_transit: bool,
    /// Whether it was cut and comes again.
    pub after_cut: bool,
}

/// What an instance is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the list of exchanges.
    ListUpdated(ListUpdate, Vec<Entry>),
    /// A call to decide.
    CallOffered(NewCall),
    /// An attempt's call stands.
    CallStands {
        /// The call.
        call: CallId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// Time since it was sent.
        elapsed: Nanos,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The call.
        call: CallId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// The exchange it was sent to.
        exchange: ExchangeId,
        /// How it ended.
        outcome: Outcome,
        /// Why, where it is told.
        cause: Cause,
        /// Time since it was sent.
        elapsed: Nanos,
        /// Whether the call is over with this, or was before.
        call_over: bool,
        /// The report that came with it.
        report: LoadReport,
    },
    /// The caller has left, or the answer is overdue.
    CallerHungUp(CallId),
    /// A timer that the module asked for.
    TimerExpired(u64),
    /// An answer to a probe, or (with `elapsed` zero) unasked news of free circuits.
    LoadReported {
        /// The exchange.
        exchange: ExchangeId,
        /// Whether it answered.
        answered: bool,
        /// Time since the probe was sent.
        elapsed: Nanos,
        /// The report.
        report: LoadReport,
    },
}

/// What an instance does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a set-up towards an exchange, to end within `timeout`.
    SendSetUp {
        /// The call.
        call: CallId,
        /// Where to.
        exchange: ExchangeId,
        /// How long to wait for it.
        timeout: Nanos,
    },
    /// Call off an attempt.
    CancelAttempt {
        /// The call.
        call: CallId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Final answer: refused; the caller is asked to pause so long (0: nothing said).
    Refuse {
        /// The call.
        call: CallId,
        /// The pause.
        retry_after: Nanos,
    },
    /// Final answer: failed.
    Fail(CallId),
    /// Ask for an [`Event::TimerExpired`] with this token at this time.
    SetTimer(u64, Nanos),
    /// Ask an exchange how it is.
    Probe(ExchangeId),
    /// Ask for changes of the list from now on.
    Subscribe,
    /// Ask for the whole list once.
    FetchList,
    /// A line for the operators' report.
    Note(String),
}
