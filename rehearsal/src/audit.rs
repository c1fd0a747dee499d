//! The invariant checker. It observes the messages on the wires and the updates that the journal services sent,
//! knows nothing of any controller's inner state, and checks every [`Rule`]. A [`Breach`] names the call, the time
//! and the messages that show it.
//!
//! A node is an exchange, by its number; a machine is one of the machines that serve or served as that exchange.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use dillhold::directory::SOCKET_DELAY_ALLOWANCE;
use pitchgw::interface::Nanos;
use serde::{Deserialize, Serialize};

use crate::script::Script;
use crate::world::{MS, SEC};

/// How long after the caller's deadline a final answer is still accepted.
pub const ANSWER_GRACE: Nanos = 20 * MS + SOCKET_DELAY_ALLOWANCE;
/// How long a controller may go on sending set-ups to a node after the node's drain or end counts as known to
/// it.
const DRAIN_GRACE: Nanos = 500 * MS + SOCKET_DELAY_ALLOWANCE;
/// A journal update counts as known to the controller this long after it became available, even if the controller
/// never received it.
const UPDATE_KNOWN_AFTER: Nanos = 7 * SEC;
/// As [`UPDATE_KNOWN_AFTER`], if requests to the journal service failed, were refused or timed out; counted from the
/// recovery of the service.
const UPDATE_KNOWN_AFTER_OUTAGE: Nanos = 6 * SEC;
/// How long a call must not be sent again after an attempt whose resources at the node may still be held.
const RELEASE_WAIT: Nanos = 300 * MS;
/// How soon after the node's BYE the controller has to release the call towards its caller.
const RELEASE_LIMIT_AFTER_BYE: Nanos = SEC + SOCKET_DELAY_ALLOWANCE;
/// As [`RELEASE_LIMIT_AFTER_BYE`], if the node could not send a BYE; counted from the end of the call. The controller
/// has to detect the end by itself, even before the journal reports the machine as gone.
const RELEASE_LIMIT_WITHOUT_BYE: Nanos = 8 * SEC + SOCKET_DELAY_ALLOWANCE;
/// A set-up that arrives later than this after SIGTERM needs its final answer before SIGKILL.
const LATE_SET_UP_AFTER_SIGTERM: Nanos = 700 * MS;
/// How long the record of an ended call is kept past its deadline, for messages that cross the call's end.
const ENDED_CALL_RETENTION: Nanos = 20 * SEC;
/// Breaches that are reported in full; further ones are only counted.
const MAX_REPORTED_BREACHES: usize = 50;
/// Messages that are kept of each call, the latest ones.
const MAX_MESSAGES_PER_CALL: usize = 60;

/// An invariant that every controller has to keep. The names are those in reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Each call has one final answer, and no second one.
    OneFinalAnswer,
    /// The final answer comes before the caller gives up.
    AnswerInTime,
    /// A call has at most one pending attempt at a time.
    OneAttemptOut,
    /// A call makes no more attempts than the script allows.
    AttemptsCapped,
    /// No set-up is sent for a call that has its final answer or whose caller gave up.
    NothingAfterTheEnd,
    /// No set-up is sent to a node that drains or is gone.
    DrainKept,
    /// A call is sent again only after the wait that follows a time-out, a lost connection or a CANCEL.
    ReleaseWaited,
    /// Controllers that know of a cold processor do not make it fail by their set-ups.
    ColdBudget,
    /// A call in transit is sent to its destination only, and no call to the controller's own exchange.
    Transit,
    /// A call that stood and has ended is released towards its caller in time.
    ReleasePassed,
    /// Ids, classes, numbers and descriptions pass unchanged, and answers are those that an exchange gave.
    Unchanged,
    /// A controller's output can be parsed.
    Readable,
    /// A controller's process runs until the rehearsal terminates or kills it.
    RunsOn,
    /// A controller accepts connections in time after its start.
    ReadyInTime,
    /// A controller stays within its limits of memory and file descriptors.
    WithinLimits,
    /// A bad caller gets a response or is disconnected in time.
    BadCallerTold,
}

/// The longest delay observed against each time limit, in seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorstDelays {
    /// From the end of a call whose node could not send a BYE until its caller was notified.
    pub told_after_end_s: f64,
    /// From a node's BYE until the caller was notified.
    pub told_after_release_s: f64,
    /// From when a node's drain or end counts as known to a controller until its last set-up to that node.
    pub set_up_after_drain_s: f64,
    /// From a caller's deadline until its final answer, where that came late.
    pub answer_after_deadline_s: f64,
}

impl WorstDelays {
    /// Raises each delay to that of another run, where that is longer.
    pub fn add(&mut self, other: &WorstDelays) {
        raise(&mut self.told_after_end_s, other.told_after_end_s);
        raise(&mut self.told_after_release_s, other.told_after_release_s);
        raise(&mut self.set_up_after_drain_s, other.set_up_after_drain_s);
        raise(&mut self.answer_after_deadline_s, other.answer_after_deadline_s);
    }
}

fn raise(longest: &mut f64, seconds: f64) {
    *longest = longest.max(seconds);
}

fn to_seconds(span: Nanos) -> f64 {
    (span / MS) as f64 / 1_000.0
}

impl Rule {
    /// The rule's name in reports.
    pub fn name(self) -> String {
        serde_json::to_value(self).ok().and_then(|v| v.as_str().map(String::from)).unwrap_or_default()
    }

    /// All rules.
    pub const ALL: [Rule; 16] = [
        Rule::OneFinalAnswer,
        Rule::AnswerInTime,
        Rule::OneAttemptOut,
        Rule::AttemptsCapped,
        Rule::NothingAfterTheEnd,
        Rule::DrainKept,
        Rule::ReleaseWaited,
        Rule::ColdBudget,
        Rule::Transit,
        Rule::ReleasePassed,
        Rule::Unchanged,
        Rule::Readable,
        Rule::RunsOn,
        Rule::ReadyInTime,
        Rule::WithinLimits,
        Rule::BadCallerTold,
    ];
}

/// An event that the simulated world reports to the auditor: a message on a wire, a change of a controller's
/// process, or a journal update. `id` is the call's.
#[allow(missing_docs)]
#[derive(Clone, Copy, Debug)]
pub enum Observation<'a> {
    /// A controller was killed. `terminated_at`: when it got SIGTERM before, if it did.
    ControllerKilled { controller: usize, terminated_at: Option<Nanos> },
    /// A controller exited after SIGTERM.
    ControllerExited { controller: usize },
    /// A controller's process ended, but the rehearsal neither terminated nor killed it.
    ControllerCrashed { controller: usize, exit_status: &'a str },
    /// A controller did not accept connections in time after its start.
    ControllerNotReady { controller: usize },
    /// A controller uses more memory or file descriptors than it may.
    ControllerOverLimit { controller: usize, memory_mb: u64, descriptors: u64 },
    /// A bad caller got neither a response nor a closed connection in time.
    BadCallerIgnored { controller: usize },
    /// A caller's set-up, or one in transit: the leg of a parent call that another controller sent on.
    SetUpFromCaller {
        controller: usize,
        id: u64,
        class: &'a str,
        number: &'a str,
        description: &'a [u8],
        timeout: Nanos,
        destination: usize,
        parent_call: Option<u64>,
    },
    /// The caller gave up its set-up.
    CallerGaveUp { controller: usize, id: u64 },
    /// The caller released a call that stands: it knows that the call is over.
    ReleaseFromCaller { controller: usize, id: u64 },
    /// The caller's connection ended before the final answer to its set-up.
    CallerDisconnected { controller: usize, id: u64 },
    /// The controller notified the caller that the call stands.
    AnswerToCaller { controller: usize, id: u64, description: &'a [u8] },
    /// The controller refused, failed or released the call.
    ReleaseToCaller { controller: usize, id: u64, cause: u8, retry_after: Option<Nanos> },
    /// A controller's set-up reached a node.
    InviteToNode {
        controller: usize,
        node: usize,
        machine: usize,
        id: u64,
        class: &'a str,
        number: &'a str,
        description: &'a [u8],
    },
    /// The controller cancelled the attempt.
    CancelToNode { controller: usize, id: u64 },
    /// The connection that carried the attempt is gone.
    AttemptConnectionLost { controller: usize, id: u64 },
    /// The controller released a call that stands.
    ByeFromController { controller: usize, id: u64 },
    /// The node's final response to a set-up.
    ResponseFromNode { controller: usize, id: u64, code: u16, cause: &'a str, description: &'a [u8] },
    /// The node released a call that stood.
    ByeFromNode { controller: usize, id: u64, cause: u8 },
    /// A call that stood at a node has ended there, whether or not the node could send a BYE.
    CallEndedAtNode { controller: usize, id: u64 },
    /// A controller's journal service has an update on a machine. `after_outage`: it had it before, and has just
    /// recovered from an outage.
    JournalUpdateAvailable { controller: usize, machine: usize, state: &'static str, after_outage: bool },
    /// The journal service sent the update to its controller.
    JournalUpdateSent { controller: usize, machine: usize, state: &'static str },
}

impl Observation<'_> {
    /// The call that a message belongs to.
    fn call_key(&self) -> Option<CallKey> {
        match *self {
            Observation::SetUpFromCaller { controller, id, .. }
            | Observation::CallerGaveUp { controller, id }
            | Observation::ReleaseFromCaller { controller, id }
            | Observation::CallerDisconnected { controller, id }
            | Observation::AnswerToCaller { controller, id, .. }
            | Observation::ReleaseToCaller { controller, id, .. }
            | Observation::InviteToNode { controller, id, .. }
            | Observation::CancelToNode { controller, id }
            | Observation::AttemptConnectionLost { controller, id }
            | Observation::ByeFromController { controller, id }
            | Observation::ResponseFromNode { controller, id, .. }
            | Observation::ByeFromNode { controller, id, .. }
            | Observation::CallEndedAtNode { controller, id } => Some(CallKey { controller, id }),
            _ => None,
        }
    }

    fn describe(&self) -> String {
        match *self {
            Observation::SetUpFromCaller { class, number, timeout, destination, parent_call, .. } => {
                let from = parent_call
                    .map_or(String::new(), |parent| format!(", in transit for call {parent:016x}"));
                format!(
                    "set-up of {class} to n{destination}, number {number}, waits {} ms{from}",
                    timeout / MS
                )
            }
            Observation::CallerGaveUp { .. } => "given up by its caller".into(),
            Observation::ReleaseFromCaller { .. } => "released by its caller".into(),
            Observation::CallerDisconnected { .. } => "its caller's connection ended".into(),
            Observation::AnswerToCaller { description, .. } => {
                format!("caller told: stands ({} bytes)", description.len())
            }
            Observation::ReleaseToCaller { cause, retry_after, .. } => match retry_after {
                Some(retry_after) => {
                    format!("caller told: release {cause}, retry after {} ms", retry_after / MS)
                }
                None => format!("caller told: release {cause}"),
            },
            Observation::InviteToNode { node, machine, .. } => {
                format!("INVITE to n{node} (machine {machine})")
            }
            Observation::CancelToNode { .. } => "CANCEL".into(),
            Observation::AttemptConnectionLost { .. } => "the connection of its attempt ended".into(),
            Observation::ByeFromController { .. } => "BYE from the controller".into(),
            Observation::ResponseFromNode { code, cause, .. } => {
                format!("response {code} {cause}").trim_end().into()
            }
            Observation::ByeFromNode { cause, .. } => format!("BYE from the node, cause {cause}"),
            Observation::CallEndedAtNode { .. } => "over at its node".into(),
            _ => String::new(),
        }
    }
}

/// One breach of a rule.
#[derive(Clone, Debug, Serialize)]
pub struct Breach {
    /// The rule.
    pub rule: Rule,
    /// The controller that broke it.
    pub controller: String,
    /// The call, where the breach concerns one.
    pub call: Option<String>,
    /// Seconds from the start of the rehearsal.
    pub at: f64,
    /// What happened.
    pub what: String,
    /// The call's messages up to then.
    pub messages: Vec<String>,
}

/// Identifies a call, or a leg in transit, at one controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct CallKey {
    controller: usize,
    id: u64,
}

/// What the auditor knows of one call at one controller.
#[derive(Debug, Default)]
struct CallRecord {
    class: String,
    number: String,
    description: Vec<u8>,
    set_up_at: Nanos,
    deadline: Nanos,
    destination: usize,
    in_transit: bool,
    /// The caller got its final answer.
    final_answer_given: bool,
    /// No final answer is due any more: the caller gave up or was disconnected, its controller was killed, or the
    /// missing answer has been recorded as a breach.
    given_up: bool,
    stands: bool,
    /// An attempt is pending.
    attempt_pending: bool,
    attempts: u32,
    /// When an attempt last ended whose resources at the node may still be held.
    release_wait_from: Option<Nanos>,
    /// Descriptions in the exchanges' answers.
    node_answers: Vec<Vec<u8>>,
    /// When the caller has to be notified of the call's end at the latest.
    release_by: Option<Nanos>,
    /// When the call ended at its node.
    ended_at: Option<Nanos>,
    /// When the node first sent a BYE.
    bye_at: Option<Nanos>,
    /// The controller that had the call is gone; its successor has not taken it over.
    orphaned: bool,
    /// The controller released the call, towards its caller or its node.
    released: bool,
    messages: Vec<String>,
}

/// Checks the rules against a stream of [`Observation`]s.
pub struct Auditor {
    max_attempts: u32,
    /// The time of the first observation.
    started_at: Option<Nanos>,
    records: HashMap<CallKey, CallRecord>,
    /// When each record is to be checked.
    deadlines: BTreeSet<(Nanos, CallKey)>,
    /// By controller and machine: from when the machine's drain or end counts as known to the controller.
    drain_known_since: HashMap<(usize, usize), Nanos>,
    /// When each machine last started.
    machine_starts: HashMap<usize, Nanos>,
    /// Controller and machine, where the journal service has reported the machine's latest start to the controller.
    knows_start: BTreeSet<(usize, usize)>,
    breach_counts: BTreeMap<Rule, u64>,
    breaches: Vec<Breach>,
    traced_calls: BTreeSet<u64>,
    trace_lines: Vec<String>,
    worst: WorstDelays,
    live_calls_cut: u64,
}

impl Auditor {
    /// Makes an auditor for a rehearsal of this script.
    pub fn new(script: &Script) -> Auditor {
        Auditor {
            max_attempts: script.controllers.attempts,
            started_at: None,
            records: HashMap::new(),
            deadlines: BTreeSet::new(),
            drain_known_since: HashMap::new(),
            machine_starts: HashMap::new(),
            knows_start: BTreeSet::new(),
            breach_counts: BTreeMap::new(),
            breaches: Vec::new(),
            traced_calls: BTreeSet::new(),
            trace_lines: Vec::new(),
            worst: WorstDelays::default(),
            live_calls_cut: 0,
        }
    }

    /// How many calls a controller released towards their caller although they stood at their node. No rule is broken by
    /// that: it may not be known whether they do.
    pub fn live_calls_cut(&self) -> u64 {
        self.live_calls_cut
    }

    /// Traces a call: all its messages are kept, and those of its legs in transit.
    pub fn trace_call(&mut self, call: u64) {
        self.traced_calls.insert(call);
    }

    /// The messages of the traced calls.
    pub fn trace_lines(&self) -> &[String] {
        &self.trace_lines
    }

    /// How often each rule was broken.
    pub fn counts(&self) -> BTreeMap<Rule, u64> {
        Rule::ALL.iter().map(|r| (*r, self.breach_counts.get(r).copied().unwrap_or(0))).collect()
    }

    /// The longest delay against each time limit.
    pub fn worst(&self) -> WorstDelays {
        self.worst
    }

    /// The first breaches in full; further ones are only counted.
    pub fn breaches(&self) -> &[Breach] {
        &self.breaches
    }

    fn seconds_since_start(&self, now: Nanos) -> f64 {
        now.saturating_sub(self.started_at.unwrap_or(now)) as f64 * 1e-9
    }

    fn record_breach(&mut self, now: Nanos, rule: Rule, controller: usize, call: Option<u64>, what: String) {
        *self.breach_counts.entry(rule).or_insert(0) += 1;
        if self.breaches.len() < MAX_REPORTED_BREACHES {
            let record = call.and_then(|id| self.records.get(&CallKey { controller, id }));
            self.breaches.push(Breach {
                rule,
                controller: format!("n{controller}"),
                call: call.map(|id| format!("{id:016x}")),
                at: self.seconds_since_start(now),
                what,
                messages: record.map(|r| r.messages.clone()).unwrap_or_default(),
            });
        }
    }

    /// A controller wrote bytes that cannot be parsed.
    pub fn malformed_output(&mut self, now: Nanos, controller: usize) {
        self.record_breach(now, Rule::Readable, controller, None, "output that cannot be parsed".into());
    }

    /// A machine has started. Controllers that know of an earlier start do not know of this one yet.
    pub fn machine_started(&mut self, now: Nanos, machine: usize) {
        self.machine_starts.insert(machine, now);
        self.knows_start.retain(|(_, m)| *m != machine);
    }

    /// A cold processor failed under set-ups, each from one of these controllers. The rule is broken if at least two
    /// thirds of the set-ups came from controllers that knew of its start.
    pub fn cold_processor_failed(&mut self, now: Nanos, machine: usize, node: usize, from: &[usize]) {
        let informed = from.iter().filter(|c| self.knows_start.contains(&(**c, machine))).count();
        if 3 * informed >= 2 * from.len() {
            let what = format!(
                "n{node} failed while cold: {} set-ups, {informed} from controllers that know of its start",
                from.len()
            );
            self.record_breach(now, Rule::ColdBudget, from.last().copied().unwrap_or(node), None, what);
        }
    }

    /// Advances the time: a message that was due and has not come is a breach.
    pub fn advance(&mut self, now: Nanos) {
        while let Some(&(at, key)) = self.deadlines.first().filter(|d| d.0 < now) {
            self.deadlines.remove(&(at, key));
            let Some(record) = self.records.get_mut(&key) else { continue };
            if record.release_by.is_some_and(|by| by <= at) {
                record.release_by = None;
                let what = "the call ended, and its caller was not notified in time".into();
                self.record_breach(at, Rule::ReleasePassed, key.controller, Some(key.id), what);
            } else if !record.final_answer_given && !record.given_up && record.deadline + ANSWER_GRACE <= at {
                record.given_up = true;
                let what = "no final answer before the caller gave up".into();
                self.record_breach(at, Rule::AnswerInTime, key.controller, Some(key.id), what);
            }
            let record = &self.records[&key];
            if record.released || record.given_up || record.final_answer_given && !record.stands {
                if at > record.deadline + ENDED_CALL_RETENTION {
                    self.records.remove(&key);
                } else {
                    self.deadlines.insert((at + ENDED_CALL_RETENTION, key));
                }
            }
        }
    }

    /// Ends the audit: checks all that was due by now.
    pub fn finish(&mut self, now: Nanos) {
        self.advance(now);
    }

    /// Checks an observation against the rules and updates the call's record.
    pub fn observe(&mut self, now: Nanos, observation: Observation<'_>) {
        self.started_at.get_or_insert(now);
        let Some(key) = observation.call_key() else {
            return self.observe_controller_or_journal(now, observation);
        };
        let line = || {
            format!(
                "{:9.4} n{} {:016x} {}",
                self.seconds_since_start(now),
                key.controller,
                key.id,
                observation.describe()
            )
        };
        let line = line();
        if let Observation::SetUpFromCaller { parent_call: Some(parent), id, .. } = observation {
            if self.traced_calls.contains(&parent) {
                self.traced_calls.insert(id);
            }
        }
        if self.traced_calls.contains(&key.id) {
            self.trace_lines.push(line.clone());
        }
        if let Some(record) = self.records.get_mut(&key) {
            // The latest messages are enough to show a breach.
            if record.messages.len() >= MAX_MESSAGES_PER_CALL {
                record.messages.remove(0);
            }
            record.messages.push(line);
        } else if !matches!(observation, Observation::SetUpFromCaller { .. }) {
            return self.observe_unknown_call(now, key, observation);
        }
        self.observe_call(now, key, observation);
    }

    fn observe_unknown_call(&mut self, now: Nanos, key: CallKey, observation: Observation<'_>) {
        let what = match observation {
            Observation::InviteToNode { .. } => "a set-up that no caller sent",
            Observation::AnswerToCaller { .. } => "an answer to a call that no caller made",
            _ => return,
        };
        self.record_breach(now, Rule::Unchanged, key.controller, Some(key.id), what.into());
    }

    fn observe_controller_or_journal(&mut self, now: Nanos, observation: Observation<'_>) {
        match observation {
            Observation::ControllerKilled { controller, terminated_at } => {
                self.controller_killed(now, controller, terminated_at)
            }
            Observation::ControllerExited { controller } => self.orphan_calls(controller),
            Observation::ControllerCrashed { controller, exit_status } => {
                self.record_breach(
                    now,
                    Rule::RunsOn,
                    controller,
                    None,
                    format!("the process ended unexpectedly: {exit_status}"),
                );
            }
            Observation::ControllerNotReady { controller } => {
                self.record_breach(
                    now,
                    Rule::ReadyInTime,
                    controller,
                    None,
                    "not ready in time after its start".into(),
                );
            }
            Observation::ControllerOverLimit { controller, memory_mb, descriptors } => {
                let what =
                    format!("uses {memory_mb} MB and {descriptors} file descriptors, more than allowed");
                self.record_breach(now, Rule::WithinLimits, controller, None, what);
            }
            Observation::BadCallerIgnored { controller } => {
                let what = "a bad caller was neither answered nor disconnected".into();
                self.record_breach(now, Rule::BadCallerTold, controller, None, what);
            }
            Observation::JournalUpdateAvailable { controller, machine, state, after_outage }
                if state != "SERVING" =>
            {
                let known_at =
                    now + if after_outage { UPDATE_KNOWN_AFTER_OUTAGE } else { UPDATE_KNOWN_AFTER };
                let at = self.drain_known_since.entry((controller, machine)).or_insert(known_at);
                *at = (*at).min(known_at);
            }
            Observation::JournalUpdateSent { controller, machine, state: "SERVING" } => {
                self.drain_known_since.remove(&(controller, machine));
                if self.machine_starts.contains_key(&machine) {
                    self.knows_start.insert((controller, machine));
                }
            }
            Observation::JournalUpdateSent { controller, machine, .. } => {
                let at = self.drain_known_since.entry((controller, machine)).or_insert(now);
                *at = (*at).min(now);
            }
            _ => {}
        }
    }

    /// A controller was killed: its set-ups without a final answer are lost with it. Those that arrived late after
    /// SIGTERM should have had their final answer before.
    fn controller_killed(&mut self, now: Nanos, controller: usize, terminated_at: Option<Nanos>) {
        let late =
            |r: &CallRecord| terminated_at.is_some_and(|at| r.set_up_at > at + LATE_SET_UP_AFTER_SIGTERM);
        let open = self
            .records
            .iter()
            .filter(|(key, r)| key.controller == controller && !r.final_answer_given && !r.given_up);
        let mut lost: Vec<u64> = open.filter(|(_, r)| late(r)).map(|(key, _)| key.id).collect();
        lost.sort_unstable();
        for id in lost {
            let what = "set-up arrived late after SIGTERM and was not answered before SIGKILL".into();
            self.record_breach(now, Rule::OneFinalAnswer, controller, Some(id), what);
        }
        for (key, record) in &mut self.records {
            if key.controller == controller {
                record.given_up |= !record.final_answer_given;
            }
        }
        self.orphan_calls(controller);
    }

    /// A controller's process is gone: its successor knows neither its calls nor the updates that it was sent.
    fn orphan_calls(&mut self, controller: usize) {
        for (key, record) in &mut self.records {
            if key.controller == controller {
                record.orphaned = true;
                record.release_by = None;
            }
        }
        self.drain_known_since.retain(|(c, _), _| *c != controller);
        self.knows_start.retain(|(c, _)| *c != controller);
    }

    fn observe_call(&mut self, now: Nanos, key: CallKey, observation: Observation<'_>) {
        match observation {
            Observation::SetUpFromCaller {
                class,
                number,
                description,
                timeout,
                destination,
                parent_call,
                ..
            } => {
                let deadline = now + timeout;
                let record = CallRecord {
                    class: class.into(),
                    number: number.into(),
                    description: description.into(),
                    set_up_at: now,
                    deadline,
                    destination,
                    in_transit: parent_call.is_some(),
                    messages: vec![format!(
                        "{:9.4} n{} {:016x} {}",
                        self.seconds_since_start(now),
                        key.controller,
                        key.id,
                        observation.describe()
                    )],
                    ..CallRecord::default()
                };
                self.records.insert(key, record);
                self.deadlines.insert((deadline + ANSWER_GRACE, key));
                return;
            }
            Observation::InviteToNode { node, machine, class, number, description, .. } => {
                return self.observe_invite(now, key, (node, machine), (class, number, description));
            }
            _ => {}
        }
        let Some(record) = self.records.get_mut(&key) else { return };
        let mut broken = None;
        match observation {
            Observation::CallerGaveUp { .. } | Observation::CallerDisconnected { .. } => {
                let lost = matches!(observation, Observation::CallerDisconnected { .. })
                    && !record.final_answer_given
                    && !record.given_up;
                let late =
                    now >= record.deadline + ANSWER_GRACE && !record.final_answer_given && !record.given_up;
                record.given_up = true;
                if late {
                    broken = Some((Rule::AnswerInTime, "no final answer before the caller gave up"));
                } else if lost {
                    broken = Some((Rule::OneFinalAnswer, "its connection was closed without a final answer"));
                }
            }
            Observation::AnswerToCaller { description, .. } => {
                if record.final_answer_given {
                    broken = Some((Rule::OneFinalAnswer, "a second final answer"));
                } else if record.given_up {
                    // The answer crossed the caller's release: no answer is due, and the call does not stand.
                } else if now > record.deadline + ANSWER_GRACE {
                    broken = Some((Rule::AnswerInTime, "the answer came after the caller gave up"));
                } else if !record.node_answers.iter().any(|a| a == description) {
                    broken = Some((Rule::Unchanged, "the answer is not one that an exchange gave"));
                }
                if !record.final_answer_given && !record.given_up && now > record.deadline {
                    raise(&mut self.worst.answer_after_deadline_s, to_seconds(now - record.deadline));
                }
                record.stands |= !record.final_answer_given && !record.given_up;
                record.final_answer_given = true;
                // The answer was under way when the call ended at its node.
                if let Some(ended_at) = record.ended_at.filter(|_| record.stands && !record.released) {
                    let by = ended_at + RELEASE_LIMIT_WITHOUT_BYE;
                    record.release_by = Some(record.release_by.map_or(by, |known| known.min(by)));
                    self.deadlines.insert((by, key));
                }
            }
            // A successor passes on the release of a call that it never saw: it cannot know that its predecessor had
            // already failed that call.
            Observation::ReleaseToCaller { .. } if record.stands || record.orphaned => {
                if !record.released && !record.orphaned {
                    if let Some(at) = record.bye_at {
                        raise(&mut self.worst.told_after_release_s, to_seconds(now - at));
                    } else if let Some(at) = record.ended_at {
                        raise(&mut self.worst.told_after_end_s, to_seconds(now - at));
                    }
                }
                let stands_at_node = record.ended_at.is_none() && record.bye_at.is_none();
                if stands_at_node && !record.released && !record.orphaned && !record.given_up {
                    self.live_calls_cut += 1;
                }
                (record.released, record.release_by) = (true, None);
            }
            Observation::ReleaseToCaller { .. } => {
                if record.final_answer_given {
                    broken = Some((Rule::OneFinalAnswer, "a second final answer"));
                } else if !record.given_up && now > record.deadline + ANSWER_GRACE {
                    broken = Some((Rule::AnswerInTime, "the answer came after the caller gave up"));
                }
                record.final_answer_given = true;
            }
            Observation::CancelToNode { .. } => {
                (record.attempt_pending, record.release_wait_from) = (false, Some(now))
            }
            Observation::AttemptConnectionLost { .. } if record.attempt_pending => {
                (record.attempt_pending, record.release_wait_from) = (false, Some(now))
            }
            Observation::ByeFromController { .. } | Observation::ReleaseFromCaller { .. } => {
                (record.released, record.release_by) = (true, None)
            }
            Observation::ResponseFromNode { code, description, .. } => {
                record.attempt_pending = false;
                match code {
                    200 => record.node_answers.push(description.to_vec()),
                    504 => record.release_wait_from = Some(now),
                    _ => {}
                }
            }
            Observation::ByeFromNode { .. } | Observation::CallEndedAtNode { .. } => {
                let has_bye = matches!(observation, Observation::ByeFromNode { .. });
                let first = if has_bye { &mut record.bye_at } else { &mut record.ended_at };
                first.get_or_insert(now);
                let by = now + if has_bye { RELEASE_LIMIT_AFTER_BYE } else { RELEASE_LIMIT_WITHOUT_BYE };
                if record.stands && !record.released && (has_bye || !record.orphaned) {
                    let by = record.release_by.map_or(by, |known| known.min(by));
                    record.release_by = Some(by);
                    self.deadlines.insert((by, key));
                }
            }
            _ => {}
        }
        if let Some((rule, what)) = broken {
            self.record_breach(now, rule, key.controller, Some(key.id), what.into());
        }
    }

    fn observe_invite(
        &mut self,
        now: Nanos,
        key: CallKey,
        (node, machine): (usize, usize),
        (class, number, description): (&str, &str, &[u8]),
    ) {
        let max_attempts = self.max_attempts;
        let drain_known = self.drain_known_since.get(&(key.controller, machine)).copied();
        let Some(record) = self.records.get_mut(&key) else { return };
        let mut broken = Vec::new();
        if (record.class.as_str(), record.number.as_str(), &record.description[..])
            != (class, number, description)
        {
            broken.push((Rule::Unchanged, "the set-up differs from the caller's"));
        }
        if record.final_answer_given || record.given_up {
            broken.push((
                Rule::NothingAfterTheEnd,
                "a set-up after the final answer or after the caller gave up",
            ));
        }
        if record.attempt_pending {
            broken.push((Rule::OneAttemptOut, "a second attempt while one is pending"));
        }
        record.attempts += 1;
        if record.attempts > max_attempts {
            broken.push((Rule::AttemptsCapped, "more attempts than allowed"));
        }
        if record.release_wait_from.is_some_and(|from| now < from + RELEASE_WAIT) {
            broken.push((Rule::ReleaseWaited, "sent again before the wait after an unclean end was over"));
        }
        if node == key.controller || record.in_transit && node != record.destination {
            broken.push((
                Rule::Transit,
                "sent to its own exchange, or in transit to a node that is not its destination",
            ));
        }
        if let Some(at) = drain_known.filter(|at| now > *at) {
            raise(&mut self.worst.set_up_after_drain_s, to_seconds(now - at));
        }
        if drain_known.is_some_and(|at| now > at + DRAIN_GRACE) {
            broken.push((
                Rule::DrainKept,
                "sent to a node whose drain or end counts as known to the controller",
            ));
        }
        record.attempt_pending = true;
        // What has ended is an earlier attempt.
        (record.ended_at, record.bye_at) = (None, None);
        for (rule, what) in broken {
            self.record_breach(now, rule, key.controller, Some(key.id), what.into());
        }
    }
}
