//! The auditor. It sees what passes on the wires and what the node register has told, knows nothing of any
//! controller's inner state, and checks every rule. A breach is named with the call, the time and the messages
//! that show it.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use dillhold::directory::SOCKET_DELAY_ALLOWANCE;
use pitchgw::interface::Nanos;
use serde::{Deserialize, Serialize};

use crate::script::Script;
use crate::world::{MS, SEC};

/// After the caller's deadline a final answer still counts for so long.
pub const ANSWER_GRACE: Nanos = 20 * MS + SOCKET_DELAY_ALLOWANCE;
/// Nothing new goes to a node that drains or is gone, later than this after it was told.
const DRAIN_GRACE: Nanos = 500 * MS + SOCKET_DELAY_ALLOWANCE;
/// What the register holds counts as told after this at the latest, whether it arrived or not.
const TOLD_AT_LATEST: Nanos = 7 * SEC;
/// The same where a call to the register has failed, was refused or given up: from when it could be reached.
const TOLD_AFTER_FAILURE: Nanos = 6 * SEC;
/// After an attempt that may have left something behind the call is not sent for so long.
const RELEASE_WAIT: Nanos = 300 * MS;
/// A call that is over is released towards its caller within this time after its exchange said so.
const RELEASED_AFTER_BYE: Nanos = SEC + SOCKET_DELAY_ALLOWANCE;
/// The same where its exchange could not say so, counted from the end of the call. A controller has to find out
/// by itself: that the node register knew nothing yet is no excuse.
const RELEASED_AFTER_END: Nanos = 8 * SEC + SOCKET_DELAY_ALLOWANCE;
/// A set-up that comes later than this after SIGTERM has to be answered before SIGKILL.
const TAKEN_LATE: Nanos = 700 * MS;
/// What is over is remembered for so long, for what crosses its end.
const REMEMBERED: Nanos = 20 * SEC;
/// Breaches that are written out in full; the others are counted.
const WRITTEN_OUT: usize = 50;

/// Messages of one call that are kept to show a breach.
const MESSAGES: usize = 60;

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Each call has one final answer, and no second one.
    OneFinalAnswer,
    /// It comes before the caller gives up.
    AnswerInTime,
    /// One attempt is out at a time.
    OneAttemptOut,
    /// Attempts are capped.
    AttemptsCapped,
    /// A call that has its final answer, or was given up, is not sent.
    NothingAfterTheEnd,
    /// Nothing new to a node that drains or is gone.
    DrainKept,
    /// The wait after a time-out, a reset or a cancel.
    ReleaseWaited,
    /// No cold processor is pushed over.
    ColdBudget,
    /// A call in transit goes to its destination only, and none to the own exchange.
    Transit,
    /// What stood and is over is released towards its caller in time.
    ReleasePassed,
    /// Ids, classes, numbers and descriptions pass unchanged, and answers are those of an exchange.
    Unchanged,
    /// What a controller writes can be read.
    Readable,
    /// A controller ends when it is told to, and not before.
    RunsOn,
    /// It is ready in time after its start.
    ReadyInTime,
    /// It keeps within its memory and its descriptors.
    WithinLimits,
    /// A bad caller is told something or closed in time.
    BadCallerTold,
}

/// What came closest to a limit, or went furthest past it, in seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Worst {
    /// From the end of a call, of which its exchange could say nothing, until its caller was told.
    pub told_after_end_s: f64,
    /// From an exchange's release until the caller was told.
    pub told_after_release_s: f64,
    /// From when a drain or an end counts as told until a set-up still went there.
    pub set_up_after_drain_s: f64,
    /// From a caller's deadline until its final answer.
    pub answer_after_deadline_s: f64,
}

impl Worst {
    /// Takes in what another run came to.
    pub fn add(&mut self, other: &Worst) {
        raise(&mut self.told_after_end_s, other.told_after_end_s);
        raise(&mut self.told_after_release_s, other.told_after_release_s);
        raise(&mut self.set_up_after_drain_s, other.set_up_after_drain_s);
        raise(&mut self.answer_after_deadline_s, other.answer_after_deadline_s);
    }
}

fn raise(worst: &mut f64, seconds: f64) {
    *worst = worst.max(seconds);
}

fn seconds(span: Nanos) -> f64 {
    (span / MS) as f64 / 1_000.0
}

impl Rule {
    /// Its name in reports.
    pub fn name(self) -> String {
        serde_json::to_value(self).ok().and_then(|v| v.as_str().map(String::from)).unwrap_or_default()
    }

    /// All of them.
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

/// What passed on the wires, or was told.
#[allow(missing_docs)]
#[derive(Clone, Copy, Debug)]
pub enum Observation<'a> {
    /// A controller was killed, after it was told to end where that is said.
    ControllerKilled { controller: usize, terminated_at: Option<Nanos> },
    /// A controller that was told to end has ended.
    ControllerExited { controller: usize },
    /// A controller has ended of its own accord.
    ControllerCrashed { controller: usize, exit_status: &'a str },
    /// A controller was not ready in time.
    ControllerNotReady { controller: usize },
    /// A controller takes more of the machine than it may.
    ControllerOverLimit { controller: usize, memory_mb: u64, descriptors: u64 },
    /// A bad caller was neither told anything nor closed in time.
    BadCallerIgnored { controller: usize },
    /// A caller's set-up, or one in transit that came of another call.
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
    /// The caller waits no longer.
    CallerGaveUp { controller: usize, id: u64 },
    /// The caller's connection ended under its set-up.
    CallerDisconnected { controller: usize, id: u64 },
    /// The controller said that the call stands.
    AnswerToCaller { controller: usize, id: u64, description: &'a [u8] },
    /// The controller refused, failed or released it.
    ReleaseToCaller { controller: usize, id: u64, cause: u8, retry_after: Option<Nanos> },
    /// A set-up reached a node.
    InviteToNode {
        controller: usize,
        node: usize,
        machine: usize,
        id: u64,
        class: &'a str,
        number: &'a str,
        description: &'a [u8],
    },
    /// The controller gave the attempt up.
    CancelToNode { controller: usize, id: u64 },
    /// The connection that it was out on is gone.
    AttemptConnectionLost { controller: usize, id: u64 },
    /// The controller released what stands.
    ByeFromController { controller: usize, id: u64 },
    /// The node's final response.
    ResponseFromNode { controller: usize, id: u64, code: u16, cause: &'a str, description: &'a [u8] },
    /// The node released what stood.
    ByeFromNode { controller: usize, id: u64, cause: u8 },
    /// What stood at a node is over, whether it could say so or not.
    CallEndedAtNode { controller: usize, id: u64 },
    /// The register's service holds news of a machine. `after_outage`: it can be reached after calls to it had failed.
    JournalUpdateAvailable { controller: usize, machine: usize, state: &'static str, after_outage: bool },
    /// It has told them.
    JournalUpdateSent { controller: usize, machine: usize, state: &'static str },
}

impl Observation<'_> {
    fn call(&self) -> Option<(usize, u64)> {
        match *self {
            Observation::SetUpFromCaller { controller, id, .. }
            | Observation::CallerGaveUp { controller, id }
            | Observation::CallerDisconnected { controller, id }
            | Observation::AnswerToCaller { controller, id, .. }
            | Observation::ReleaseToCaller { controller, id, .. }
            | Observation::InviteToNode { controller, id, .. }
            | Observation::CancelToNode { controller, id }
            | Observation::AttemptConnectionLost { controller, id }
            | Observation::ByeFromController { controller, id }
            | Observation::ResponseFromNode { controller, id, .. }
            | Observation::ByeFromNode { controller, id, .. }
            | Observation::CallEndedAtNode { controller, id } => Some((controller, id)),
            _ => None,
        }
    }

    fn text(&self) -> String {
        match *self {
            Observation::SetUpFromCaller {
                class,
                number,
                timeout: wait,
                destination,
                parent_call: transit,
                ..
            } => {
                let from = transit.map_or(String::new(), |t| format!(", in transit for {t:016x}"));
                format!("set-up of {class} to n{destination}, number {number}, waits {} ms{from}", wait / MS)
            }
            Observation::CallerGaveUp { .. } => "given up by its caller".into(),
            Observation::CallerDisconnected { .. } => "its caller's connection ended".into(),
            Observation::AnswerToCaller { description, .. } => {
                format!("caller told: stands ({} bytes)", description.len())
            }
            Observation::ReleaseToCaller { cause, retry_after: pause, .. } => match pause {
                Some(pause) => format!("caller told: release {cause}, come back after {} ms", pause / MS),
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

/// A rule that was broken.
#[derive(Clone, Debug, Serialize)]
pub struct Breach {
    /// Which.
    pub rule: Rule,
    /// By which controller.
    pub controller: String,
    /// The call, where there is one.
    pub call: Option<String>,
    /// When, in seconds from the start.
    pub at: f64,
    /// What happened.
    pub what: String,
    /// The messages of the call up to then.
    pub messages: Vec<String>,
}

#[derive(Debug, Default)]
struct Record {
    class: String,
    number: String,
    description: Vec<u8>,
    sent: Nanos,
    deadline: Nanos,
    destination: usize,
    transit: bool,
    /// The final answer was given; the caller waits no longer; its set-up was lost with its controller.
    answered: bool,
    given_up: bool,
    stands: bool,
    out: bool,
    attempts: u32,
    /// When an attempt last ended that may have left something behind.
    waits_from: Option<Nanos>,
    /// Descriptions that exchanges answered with.
    answers: Vec<Vec<u8>>,
    /// The caller must be told that it is over by then.
    release_by: Option<Nanos>,
    /// When it was over, and when its exchange first said so.
    over_at: Option<Nanos>,
    released_at: Option<Nanos>,
    /// The controller that had it is no more: its successor knows only what it is told.
    orphaned: bool,
    ended: bool,
    messages: Vec<String>,
}

/// Sees everything and checks the rules.
pub struct Auditor {
    attempts: u32,
    base: Option<Nanos>,
    records: HashMap<(usize, u64), Record>,
    /// When the records are looked at again.
    due: BTreeSet<(Nanos, usize, u64)>,
    /// By controller and machine, since when it counts as told that nothing new may go there.
    closed: HashMap<(usize, usize), Nanos>,
    /// When machines started anew.
    started: HashMap<usize, Nanos>,
    /// Controllers that were told of a machine's latest start.
    told_start: BTreeSet<(usize, usize)>,
    counts: BTreeMap<Rule, u64>,
    breaches: Vec<Breach>,
    traced: BTreeSet<u64>,
    trace: Vec<String>,
    worst: Worst,
}

impl Auditor {
    /// An auditor of this script's rules.
    pub fn new(script: &Script) -> Auditor {
        Auditor {
            attempts: script.controllers.attempts,
            base: None,
            records: HashMap::new(),
            due: BTreeSet::new(),
            closed: HashMap::new(),
            started: HashMap::new(),
            told_start: BTreeSet::new(),
            counts: BTreeMap::new(),
            breaches: Vec::new(),
            traced: BTreeSet::new(),
            trace: Vec::new(),
            worst: Worst::default(),
        }
    }

    /// Writes down all that passes for a call, and for the calls in transit that come of it.
    pub fn trace_call(&mut self, call: u64) {
        self.traced.insert(call);
    }

    /// What was written down.
    pub fn trace_lines(&self) -> &[String] {
        &self.trace
    }

    /// How often each rule was broken.
    pub fn counts(&self) -> BTreeMap<Rule, u64> {
        Rule::ALL.iter().map(|r| (*r, self.counts.get(r).copied().unwrap_or(0))).collect()
    }

    /// What came closest to a limit.
    pub fn worst(&self) -> Worst {
        self.worst
    }

    /// The first breaches, in full.
    pub fn breaches(&self) -> &[Breach] {
        &self.breaches
    }

    fn seconds(&self, now: Nanos) -> f64 {
        now.saturating_sub(self.base.unwrap_or(now)) as f64 * 1e-9
    }

    fn breach(&mut self, now: Nanos, rule: Rule, (controller, id): (usize, Option<u64>), what: String) {
        *self.counts.entry(rule).or_insert(0) += 1;
        if self.breaches.len() < WRITTEN_OUT {
            let record = id.and_then(|id| self.records.get(&(controller, id)));
            self.breaches.push(Breach {
                rule,
                controller: format!("n{controller}"),
                call: id.map(|id| format!("{id:016x}")),
                at: self.seconds(now),
                what,
                messages: record.map(|r| r.messages.clone()).unwrap_or_default(),
            });
        }
    }

    /// A controller wrote what cannot be read.
    pub fn malformed_output(&mut self, now: Nanos, controller: usize) {
        self.breach(now, Rule::Readable, (controller, None), "bytes that are no message".into());
    }

    /// A machine has started: who was told of an earlier start does not know of this one.
    pub fn machine_started(&mut self, now: Nanos, machine: usize) {
        self.started.insert(machine, now);
        self.told_start.retain(|(_, m)| *m != machine);
    }

    /// A cold processor was pushed over by set-ups from these controllers. The rule is broken if two thirds of
    /// them knew of its start.
    pub fn cold_processor_crashed(&mut self, now: Nanos, machine: usize, node: usize, from: &[usize]) {
        let knew = from.iter().filter(|c| self.told_start.contains(&(**c, machine))).count();
        if 3 * knew >= 2 * from.len() {
            let what = format!("n{node} was pushed over: {} set-ups, {knew} by those who knew", from.len());
            self.breach(now, Rule::ColdBudget, (from.last().copied().unwrap_or(node), None), what);
        }
    }

    /// Lets time pass: what was due and has not come is a breach.
    pub fn advance(&mut self, now: Nanos) {
        while let Some(&(at, controller, id)) = self.due.first().filter(|d| d.0 < now) {
            self.due.remove(&(at, controller, id));
            let Some(record) = self.records.get_mut(&(controller, id)) else { continue };
            if record.release_by.is_some_and(|by| by <= at) {
                record.release_by = None;
                let what = "over, and its caller was not told in time".into();
                self.breach(at, Rule::ReleasePassed, (controller, Some(id)), what);
            } else if !record.answered && !record.given_up && record.deadline + ANSWER_GRACE <= at {
                record.given_up = true;
                let what = "no final answer before the caller gave up".into();
                self.breach(at, Rule::AnswerInTime, (controller, Some(id)), what);
            }
            let record = &self.records[&(controller, id)];
            if record.ended || record.given_up || record.answered && !record.stands {
                if at > record.deadline + REMEMBERED {
                    self.records.remove(&(controller, id));
                } else {
                    self.due.insert((at + REMEMBERED, controller, id));
                }
            }
        }
    }

    /// The rehearsal is over.
    pub fn finish(&mut self, now: Nanos) {
        self.advance(now);
    }

    /// Takes in what passed.
    pub fn observe(&mut self, now: Nanos, seen: Observation<'_>) {
        self.base.get_or_insert(now);
        let Some(key) = seen.call() else { return self.told(now, seen) };
        let line = || format!("{:9.4} n{} {:016x} {}", self.seconds(now), key.0, key.1, seen.text());
        let line = line();
        if let Observation::SetUpFromCaller { parent_call: Some(parent), id, .. } = seen {
            if self.traced.contains(&parent) {
                self.traced.insert(id);
            }
        }
        if self.traced.contains(&key.1) {
            self.trace.push(line.clone());
        }
        if let Some(record) = self.records.get_mut(&key) {
            // Of a call without end the last messages show as much.
            if record.messages.len() >= MESSAGES {
                record.messages.remove(0);
            }
            record.messages.push(line);
        } else if !matches!(seen, Observation::SetUpFromCaller { .. }) {
            return self.unknown(now, key, seen);
        }
        self.call(now, key, seen);
    }

    fn unknown(&mut self, now: Nanos, (controller, id): (usize, u64), seen: Observation<'_>) {
        let what = match seen {
            Observation::InviteToNode { .. } => "a set-up that no caller sent",
            Observation::AnswerToCaller { .. } => "an answer to a call that no caller made",
            _ => return,
        };
        self.breach(now, Rule::Unchanged, (controller, Some(id)), what.into());
    }

    fn told(&mut self, now: Nanos, seen: Observation<'_>) {
        match seen {
            Observation::ControllerKilled { controller, terminated_at: terminated } => {
                self.killed(now, controller, terminated)
            }
            Observation::ControllerExited { controller } => self.orphan(controller),
            Observation::ControllerCrashed { controller, exit_status: how } => {
                self.breach(now, Rule::RunsOn, (controller, None), format!("ended by itself: {how}"));
            }
            Observation::ControllerNotReady { controller } => {
                self.breach(now, Rule::ReadyInTime, (controller, None), "not ready in time".into());
            }
            Observation::ControllerOverLimit { controller, memory_mb, descriptors } => {
                let what = format!("takes {memory_mb} MB and {descriptors} descriptors");
                self.breach(now, Rule::WithinLimits, (controller, None), what);
            }
            Observation::BadCallerIgnored { controller } => {
                let what = "a bad caller was neither told anything nor closed".into();
                self.breach(now, Rule::BadCallerTold, (controller, None), what);
            }
            Observation::JournalUpdateAvailable { controller, machine, state, after_outage: again }
                if state != "SERVING" =>
            {
                let told = now + if again { TOLD_AFTER_FAILURE } else { TOLD_AT_LATEST };
                let at = self.closed.entry((controller, machine)).or_insert(told);
                *at = (*at).min(told);
            }
            Observation::JournalUpdateSent { controller, machine, state: "SERVING" } => {
                self.closed.remove(&(controller, machine));
                if self.started.contains_key(&machine) {
                    self.told_start.insert((controller, machine));
                }
            }
            Observation::JournalUpdateSent { controller, machine, .. } => {
                let at = self.closed.entry((controller, machine)).or_insert(now);
                *at = (*at).min(now);
            }
            _ => {}
        }
    }

    /// A controller was killed: what it had taken is lost with it, and what was said to it did not arrive. After
    /// SIGTERM, what came late and is unanswered should have been answered.
    fn killed(&mut self, now: Nanos, controller: usize, terminated: Option<Nanos>) {
        let late = |r: &Record| terminated.is_some_and(|at| r.sent > at + TAKEN_LATE);
        let open = self.records.iter().filter(|((c, _), r)| *c == controller && !r.answered && !r.given_up);
        let mut lost: Vec<u64> = open.filter(|(_, r)| late(r)).map(|((_, id), _)| *id).collect();
        lost.sort_unstable();
        for id in lost {
            let what = "taken late after SIGTERM, and not answered before SIGKILL".into();
            self.breach(now, Rule::OneFinalAnswer, (controller, Some(id)), what);
        }
        for ((c, _), record) in &mut self.records {
            if *c == controller {
                record.given_up |= !record.answered;
            }
        }
        self.orphan(controller);
    }

    /// A controller runs no more: its successor knows nothing of its calls, nor of what it was told.
    fn orphan(&mut self, controller: usize) {
        for ((c, _), record) in &mut self.records {
            if *c == controller {
                record.orphaned = true;
                record.release_by = None;
            }
        }
        self.closed.retain(|(c, _), _| *c != controller);
        self.told_start.retain(|(c, _)| *c != controller);
    }

    fn call(&mut self, now: Nanos, key: (usize, u64), seen: Observation<'_>) {
        let place = (key.0, Some(key.1));
        match seen {
            Observation::SetUpFromCaller {
                class,
                number,
                description,
                timeout: wait,
                destination,
                parent_call: transit,
                ..
            } => {
                let deadline = now + wait;
                let record = Record {
                    class: class.into(),
                    number: number.into(),
                    description: description.into(),
                    sent: now,
                    deadline,
                    destination,
                    transit: transit.is_some(),
                    messages: vec![format!(
                        "{:9.4} n{} {:016x} {}",
                        self.seconds(now),
                        key.0,
                        key.1,
                        seen.text()
                    )],
                    ..Record::default()
                };
                self.records.insert(key, record);
                self.due.insert((deadline + ANSWER_GRACE, key.0, key.1));
                return;
            }
            Observation::InviteToNode { node, machine, class, number, description, .. } => {
                return self.invite(now, key, (node, machine), (class, number, description));
            }
            _ => {}
        }
        let Some(record) = self.records.get_mut(&key) else { return };
        let mut broken = None;
        match seen {
            Observation::CallerGaveUp { .. } | Observation::CallerDisconnected { .. } => {
                let lost = matches!(seen, Observation::CallerDisconnected { .. })
                    && !record.answered
                    && !record.given_up;
                let late = now >= record.deadline + ANSWER_GRACE && !record.answered && !record.given_up;
                record.given_up = true;
                if late {
                    broken = Some((Rule::AnswerInTime, "no final answer before the caller gave up"));
                } else if lost {
                    broken = Some((Rule::OneFinalAnswer, "its connection was closed and no answer given"));
                }
            }
            Observation::AnswerToCaller { description, .. } => {
                if record.answered {
                    broken = Some((Rule::OneFinalAnswer, "a second final answer"));
                } else if record.given_up {
                    // It crossed the caller's giving up: nothing is owed, and nothing stands.
                } else if now > record.deadline + ANSWER_GRACE {
                    broken = Some((Rule::AnswerInTime, "the answer came after the caller gave up"));
                } else if !record.answers.iter().any(|a| a == description) {
                    broken = Some((Rule::Unchanged, "the answer is not one that an exchange gave"));
                }
                if !record.answered && !record.given_up && now > record.deadline {
                    raise(&mut self.worst.answer_after_deadline_s, seconds(now - record.deadline));
                }
                record.stands |= !record.answered && !record.given_up;
                record.answered = true;
            }
            // A successor passes on what it never saw; that its predecessor had failed the call it cannot know.
            Observation::ReleaseToCaller { .. } if record.stands || record.orphaned => {
                if !record.ended && !record.orphaned {
                    if let Some(at) = record.released_at {
                        raise(&mut self.worst.told_after_release_s, seconds(now - at));
                    } else if let Some(at) = record.over_at {
                        raise(&mut self.worst.told_after_end_s, seconds(now - at));
                    }
                }
                (record.ended, record.release_by) = (true, None);
            }
            Observation::ReleaseToCaller { .. } => {
                if record.answered {
                    broken = Some((Rule::OneFinalAnswer, "a second final answer"));
                } else if !record.given_up && now > record.deadline + ANSWER_GRACE {
                    broken = Some((Rule::AnswerInTime, "the answer came after the caller gave up"));
                }
                record.answered = true;
            }
            Observation::CancelToNode { .. } => (record.out, record.waits_from) = (false, Some(now)),
            Observation::AttemptConnectionLost { .. } if record.out => {
                (record.out, record.waits_from) = (false, Some(now))
            }
            Observation::ByeFromController { .. } => (record.ended, record.release_by) = (true, None),
            Observation::ResponseFromNode { code, description, .. } => {
                record.out = false;
                match code {
                    200 => record.answers.push(description.to_vec()),
                    504 => record.waits_from = Some(now),
                    _ => {}
                }
            }
            Observation::ByeFromNode { .. } | Observation::CallEndedAtNode { .. } => {
                let said = matches!(seen, Observation::ByeFromNode { .. });
                let first = if said { &mut record.released_at } else { &mut record.over_at };
                first.get_or_insert(now);
                let by = now + if said { RELEASED_AFTER_BYE } else { RELEASED_AFTER_END };
                if record.stands && !record.ended && (said || !record.orphaned) {
                    let by = record.release_by.map_or(by, |known| known.min(by));
                    record.release_by = Some(by);
                    self.due.insert((by, key.0, key.1));
                }
            }
            _ => {}
        }
        if let Some((rule, what)) = broken {
            self.breach(now, rule, place, what.into());
        }
    }

    fn invite(
        &mut self,
        now: Nanos,
        key: (usize, u64),
        (node, machine): (usize, usize),
        (class, number, description): (&str, &str, &[u8]),
    ) {
        let (cap, place) = (self.attempts, (key.0, Some(key.1)));
        let closed = self.closed.get(&(key.0, machine)).copied();
        let Some(record) = self.records.get_mut(&key) else { return };
        let mut broken = Vec::new();
        if (record.class.as_str(), record.number.as_str(), &record.description[..])
            != (class, number, description)
        {
            broken.push((Rule::Unchanged, "the set-up differs from the caller's"));
        }
        if record.answered || record.given_up {
            broken.push((Rule::NothingAfterTheEnd, "a set-up after the call's end"));
        }
        if record.out {
            broken.push((Rule::OneAttemptOut, "a second attempt while one is out"));
        }
        record.attempts += 1;
        if record.attempts > cap {
            broken.push((Rule::AttemptsCapped, "one attempt too many"));
        }
        if record.waits_from.is_some_and(|from| now < from + RELEASE_WAIT) {
            broken.push((Rule::ReleaseWaited, "sent again before what it held is surely free"));
        }
        if node == key.0 || record.transit && node != record.destination {
            broken.push((Rule::Transit, "sent where it may not go"));
        }
        if let Some(at) = closed.filter(|at| now > *at) {
            raise(&mut self.worst.set_up_after_drain_s, seconds(now - at));
        }
        if closed.is_some_and(|at| now > at + DRAIN_GRACE) {
            broken.push((Rule::DrainKept, "sent to a node told to drain or to be gone"));
        }
        record.out = true;
        for (rule, what) in broken {
            self.breach(now, rule, place, what.into());
        }
    }
}
