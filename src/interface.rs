//! Input and output types of the decision module ([`crate::controller`]).
//!
//! Times are nanoseconds of one monotonic clock. The program that embeds the module assigns the ids of
//! exchanges, calls and dialled numbers; the module only compares them. An [`ExchangeId`] names a machine;
//! the `number` of an [`Entry`] names the exchange (or pool), whichever machine serves it.

use std::fmt;

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;
/// Id of the machine of an exchange. A replacement machine has another id.
pub type ExchangeId = u32;
/// Id of a call at this exchange.
pub type CallId = u64;
/// Id of a dialled number.
pub type NumberId = u64;

/// Converts nanoseconds to seconds.
pub fn nanos_to_secs(nanos: Nanos) -> f64 {
    nanos as f64 * 1e-9
}

/// Converts seconds to nanoseconds.
pub fn secs_to_nanos(secs: f64) -> Nanos {
    (secs * 1e9) as Nanos
}

/// Topology of the network.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topology {
    /// Trunk groups between pairs of exchanges; a call may pass through one tandem.
    Mesh,
    /// Pools of agents, shared by all controllers; no call is in transit.
    Pools,
}

/// When exchanges report the load of their processors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReporting {
    /// With every answer and every probe result.
    AnswersAndProbes,
    /// With probe results only.
    ProbesOnly,
    /// Never.
    Never,
}

/// A class of calls.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// A call that stands within this time of the caller's first try is on time and earns its full worth.
    pub delay_target: Nanos,
    /// How long a caller keeps trying, from its first try.
    pub deadline: Nanos,
    /// Worth of a call that stands on time and is not cut.
    pub worth: f64,
    /// Share of the worth that a late call earns.
    pub late_worth_share: f64,
    /// Circuits that a call seizes on each trunk group.
    pub width: u32,
    /// Mean duration of a call.
    pub mean_duration: Nanos,
    /// With pools: the pools that can serve this class (empty: all).
    pub pools: Vec<u32>,
    /// Whether an attempt that may have run can be repeated without harm.
    pub idempotent: bool,
}

impl Class {
    /// Circuit-seconds that a call takes on each trunk group.
    pub fn circuit_seconds(&self) -> f64 {
        f64::from(self.width) * nanos_to_secs(self.mean_duration).max(1e-3)
    }
}

/// Parameters of the cold-start budget. An exchange that has just started fails when it is sent more than
/// `overload_factor` times its present capacity for `overload_window`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStartRule {
    /// Least share of its full capacity that an exchange has when it starts.
    pub initial_capacity_share: f64,
    /// Time after which an exchange is warm at the latest.
    pub max_duration: Nanos,
    /// Load that makes a cold exchange fail, as a multiple of its present capacity.
    pub overload_factor: f64,
    /// How long that load has to last.
    pub overload_window: Nanos,
}

/// Settings of one controller.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of controllers in the network.
    pub controller_count: u32,
    /// Index of this controller, from 0.
    pub controller_index: u32,
    /// Number of the own exchange, if there is one.
    pub home_exchange: Option<u32>,
    /// Topology of the network.
    pub topology: Topology,
    /// Index of the own zone.
    pub zone: u32,
    /// The call classes.
    pub classes: Vec<Class>,
    /// When exchanges report their load.
    pub load_reporting: LoadReporting,
    /// Maximum number of attempts per call.
    pub max_attempts: u32,
    /// Whether exchanges may be probed.
    pub may_probe: bool,
    /// Whether an attempt may be cancelled.
    pub may_cancel: bool,
    /// Upper limit of the retry-after time in a refusal; `None`: callers cannot be given one.
    pub max_retry_after: Option<Nanos>,
    /// Whether the list of exchanges is sent on request only.
    pub list_on_request: bool,
    /// A controller that has not requested the list for this long is taken to know the list of that time.
    pub max_list_age: Nanos,
    /// For this long after an attempt timed out, was cut or was cancelled, its resources may still be in use.
    pub release_wait: Nanos,
    /// An unanswered set-up is retransmitted after this time and then at doubling intervals (0: never).
    pub retransmit_interval: Nanos,
    /// No set-up may be sent to an exchange later than this after a list update has it as draining or gone.
    pub drain_grace: Nanos,
    /// How long after the caller's deadline a final answer is still valid.
    pub answer_slack: Nanos,
    /// The cold-start budget.
    pub cold_start: ColdStartRule,
    /// Minimum interval between deliveries of events.
    pub tick: Nanos,
    /// Penalty for a call that fails after its delay target, as a share of its worth.
    pub late_failure_penalty: f64,
    /// Penalty for each probe, per call.
    pub probe_penalty: f64,
}

impl Settings {
    /// The longest delay target of the classes, in seconds.
    pub fn longest_target_secs(&self) -> f64 {
        self.classes.iter().map(|c| nanos_to_secs(c.delay_target)).fold(0.0, f64::max)
    }

    /// Checks the settings for consistency.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        for (index, class) in self.classes.iter().enumerate() {
            if class.delay_target == 0 {
                return Err(SettingsError::ZeroDelayTarget(index));
            }
            if class.width == 0 {
                return Err(SettingsError::ZeroWidth(index));
            }
            if !class.worth.is_finite() || class.worth < 0.0 {
                return Err(SettingsError::InvalidWorth(index));
            }
        }
        if self.controller_index >= self.controller_count {
            return Err(SettingsError::ControllerIndexOutOfRange {
                index: self.controller_index,
                count: self.controller_count,
            });
        }
        if self.topology == Topology::Mesh && self.home_exchange.is_none() {
            return Err(SettingsError::NoHomeExchange);
        }
        if self.max_attempts == 0 {
            return Err(SettingsError::NoAttemptsAllowed);
        }
        Ok(())
    }
}

/// Why settings are invalid. Class errors carry the index of the class.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// There are no call classes.
    NoClasses,
    /// The delay target of a class is zero.
    ZeroDelayTarget(usize),
    /// The width of a class is zero.
    ZeroWidth(usize),
    /// The worth of a class is negative or not finite.
    InvalidWorth(usize),
    /// The controller index is not below the number of controllers.
    ControllerIndexOutOfRange {
        /// Index of the controller.
        index: u32,
        /// Number of controllers.
        count: u32,
    },
    /// A mesh without an own exchange.
    NoHomeExchange,
    /// The maximum number of attempts is zero.
    NoAttemptsAllowed,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoClasses => write!(f, "no call classes (grades)"),
            Self::ZeroDelayTarget(class) => write!(f, "class {class}: the aim is zero"),
            Self::ZeroWidth(class) => write!(f, "class {class}: the width is zero"),
            Self::InvalidWorth(class) => write!(f, "class {class}: the worth is negative or not finite"),
            Self::ControllerIndexOutOfRange { index, count } => {
                write!(f, "controller index {index} (my-number) is not below {count} (instances)")
            }
            Self::NoHomeExchange => write!(f, "a mesh needs the number of the own exchange (home-no)"),
            Self::NoAttemptsAllowed => write!(f, "the maximum number of attempts (attempts-cap) is zero"),
        }
    }
}

impl std::error::Error for SettingsError {}

/// State of an exchange in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeState {
    /// In service.
    Up,
    /// Completes its present calls; no new set-up may be sent to it.
    Draining,
    /// Removed from service.
    Gone,
}

/// An entry of the list of exchanges.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The machine.
    pub exchange: ExchangeId,
    /// Number of the exchange or pool, by which calls are routed.
    pub number: u32,
    /// Index of its zone.
    pub zone: u32,
    /// When it last started; `None`: long ago.
    pub since: Option<Nanos>,
    /// Its state.
    pub standing: ExchangeState,
}

/// Kind of a list update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// Only the entries that changed.
    Changes,
    /// The whole list; exchanges that are not on it are gone.
    Whole,
    /// The whole list as last known, possibly out of date.
    Restored,
    /// The request failed; the present list stays in force.
    Unavailable,
}

/// Report on the trunk group to an exchange (or on a pool) and on its processor. Each value may be missing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Free circuits of the group, or free agents of the pool.
    pub free_circuits: Option<f64>,
    /// Size of the group or pool.
    pub group_size: Option<f64>,
    /// Utilization of the processor, from 0 to 1.
    pub processor_load: Option<f64>,
    /// Messages in the processor's queue.
    pub queue_length: Option<f64>,
    /// Waiting time in that queue.
    pub queue_wait_ms: Option<f64>,
    /// Messages being processed.
    pub messages_in_progress: Option<f64>,
    /// New set-ups per second that it can take from all senders together.
    pub allowed_set_ups_per_sec: Option<f64>,
    /// Share of new set-ups that each sender is asked to hold back.
    pub throttled_share: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The call stood and ended normally.
    Completed,
    /// All lines of the number were engaged, or signalling failed.
    Failed,
    /// Not set up: turned back by a tandem, or a processor or pool was full.
    Rejected,
    /// No answer within the timeout.
    TimedOut,
    /// The exchange could not be reached; the set-up never ran.
    Unreachable,
    /// The set-up, or the call that stood, was cut.
    Cut,
    /// The attempt was cancelled.
    CalledOff,
    /// Never sent.
    NotSent,
}

/// Why a set-up failed, if known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// No cause was given.
    Untold,
    /// No free circuit or agent.
    NoCircuit,
    /// Turned back by the tandem.
    TurnedBack,
    /// Turned back by the tandem because the processor of the destination was full.
    FullBeyond,
    /// The processor was full, with its stated waiting time, if any. With [`Outcome::NotSent`]: the own
    /// processor is down.
    ProcessorFull(Option<Nanos>),
    /// All lines of the number were engaged.
    NumberBusy,
}

/// A call offered to this exchange.
#[derive(Clone, Debug, PartialEq)]
pub struct NewCall {
    /// The call.
    pub call: CallId,
    /// Index of its class.
    pub class: usize,
    /// The dialled number, if known.
    pub dialled: Option<NumberId>,
    /// When the caller gives up this try.
    pub deadline: Nanos,
    /// Number of the destination exchange, or of the first-choice pool.
    pub destination: u32,
    /// Circuits that it seizes on each trunk group.
    pub width: u32,
    /// Advice: the tandem or pool that had the most room when the network centre last checked.
    pub advised_route: Option<u32>,
    /// Whether this exchange is the tandem of the call.
    pub in_transit: bool,
    /// Whether the caller redials because its call was cut.
    pub after_cut: bool,
}

/// Input of a controller.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The list of exchanges changed.
    ListUpdated(ListUpdate, Vec<Entry>),
    /// A call is offered.
    CallOffered(NewCall),
    /// The call of an attempt stands.
    CallStands {
        /// The call.
        call: CallId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// Time since the set-up was sent.
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
        /// Why it failed, if known.
        cause: Cause,
        /// Time since the set-up was sent.
        elapsed: Nanos,
        /// Whether no final answer to the caller is due any more: it was given, or the caller gave up.
        call_over: bool,
        /// The report received with it.
        report: LoadReport,
    },
    /// The caller gave up, or its final answer is overdue or was given without the module.
    CallerGaveUp(CallId),
    /// A timer set by [`Action::SetTimer`] expired; carries its token.
    TimerExpired(u64),
    /// The result of a probe, or (with `elapsed` zero) an unsolicited report of free circuits.
    LoadReported {
        /// The exchange.
        exchange: ExchangeId,
        /// Whether the exchange answered.
        answered: bool,
        /// Time since the probe was sent.
        elapsed: Nanos,
        /// The report.
        report: LoadReport,
    },
}

/// Output of a controller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a set-up to an exchange.
    SendSetUp {
        /// The call.
        call: CallId,
        /// The exchange.
        exchange: ExchangeId,
        /// How long to wait for the answer.
        timeout: Nanos,
    },
    /// Cancel an attempt.
    CancelAttempt {
        /// The call.
        call: CallId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Final answer: refused.
    Refuse {
        /// The call.
        call: CallId,
        /// How long the caller is asked to wait before it redials (0: not given).
        retry_after: Nanos,
    },
    /// Final answer: failed.
    Fail(CallId),
    /// Request an [`Event::TimerExpired`] with this token at this time. A token that is the id of a call is not wanted
    /// any more once the call has its final answer or stands: the host may drop the timer or deliver it.
    SetTimer(u64, Nanos),
    /// Probe an exchange for a load report.
    Probe(ExchangeId),
    /// Subscribe to updates of the list of exchanges.
    Subscribe,
    /// Request the whole list once.
    FetchList,
    /// A line for the operator's report.
    Note(String),
}
