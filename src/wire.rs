//! Codec of the simulator's line protocol: one JSON array per line.
//!
//! Parses lines into [`Event`]s, formats [`Action`]s as lines, and assigns the ids by which the decision
//! module knows exchanges, calls and dialled numbers. Makes no decisions.

use std::collections::BTreeMap;
use std::fmt;

use serde::Deserialize;
use serde_json::{json, Map, Value};

use crate::interface::*;

/// A line that cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireError {
    /// Name of the event, or `line` if it could not be read.
    pub event: String,
    /// Name of the field.
    pub field: String,
    /// What was expected in this field.
    pub expected: String,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // A single line, even if the input contains control characters.
        let text = format!("{}: {}: expected {}", self.event, self.field, self.expected);
        f.write_str(&text.replace(|c: char| c.is_control(), " "))
    }
}

impl std::error::Error for WireError {}

fn wire_error(event: &str, field: &str, expected: impl Into<String>) -> WireError {
    WireError { event: event.into(), field: field.into(), expected: expected.into() }
}

/// A message: its name and its positional values.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// Name of the message.
    pub name: String,
    values: Vec<Value>,
}

impl Message {
    /// Parses one line.
    pub fn parse(line: &str) -> Result<Message, WireError> {
        let value: Value =
            serde_json::from_str(line).map_err(|e| wire_error("line", "JSON", format!("an array ({e})")))?;
        let Value::Array(mut values) = value else {
            return Err(wire_error("line", "JSON", "an array"));
        };
        if values.is_empty() || !values[0].is_string() {
            return Err(wire_error("line", "name", "a string"));
        }
        let Value::String(name) = values.remove(0) else { unreachable!("checked above") };
        Ok(Message { name, values })
    }

    fn value(&self, index: usize) -> &Value {
        self.values.get(index).unwrap_or(&Value::Null)
    }

    fn require<T>(&self, field: &str, expected: &str, parsed: Option<T>) -> Result<T, WireError> {
        parsed.ok_or_else(|| wire_error(&self.name, field, expected))
    }

    fn optional<T>(
        &self,
        index: usize,
        field: &str,
        expected: &str,
        parse: fn(&Value) -> Option<T>,
    ) -> Result<Option<T>, WireError> {
        match self.value(index) {
            Value::Null => Ok(None),
            v => self.require(field, expected, parse(v)).map(Some),
        }
    }

    /// Returns a required string.
    pub fn text(&self, index: usize, field: &str) -> Result<&str, WireError> {
        self.require(field, "a string", self.value(index).as_str())
    }

    /// Returns a required non-negative integer.
    pub fn integer(&self, index: usize, field: &str) -> Result<u64, WireError> {
        self.require(field, "a non-negative integer", as_integer(self.value(index)))
    }

    fn boolean(&self, index: usize, field: &str) -> Result<bool, WireError> {
        Ok(self.optional(index, field, "true or false", Value::as_bool)?.unwrap_or(false))
    }

    fn object(&self, index: usize, field: &str) -> Result<Option<&Map<String, Value>>, WireError> {
        match self.value(index) {
            Value::Null => Ok(None),
            v => self.require(field, "an object", v.as_object()).map(Some),
        }
    }
}

/// Reads a non-negative integer, also one written as a float.
fn as_integer(v: &Value) -> Option<u64> {
    v.as_u64()
        .or_else(|| v.as_f64().filter(|f| f.fract() == 0.0 && (0.0..1.8e19).contains(f)).map(|f| f as u64))
}

/// Reads a finite number.
fn as_number(v: &Value) -> Option<f64> {
    v.as_f64().filter(|f| f.is_finite())
}

/// Removes object members that are null, which means absent on this protocol.
fn without_nulls(v: &Value) -> Value {
    match v {
        Value::Object(o) => {
            let kept = o.iter().filter(|(_, v)| !v.is_null());
            kept.map(|(k, v)| (k.clone(), without_nulls(v))).collect::<Map<_, _>>().into()
        }
        Value::Array(a) => a.iter().map(without_nulls).collect::<Vec<_>>().into(),
        v => v.clone(),
    }
}

/// The settings object of a `LAUNCH` message. Unknown keys are ignored.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct BootInfo {
    #[serde(default)]
    az: Option<String>,
    #[serde(default)]
    dcs: Vec<String>,
    #[serde(default)]
    charges: BTreeMap<String, Value>,
    #[serde(default)]
    family_info: FamilyInfo,
    grades: Vec<Grade>,
    instances: u32,
    #[serde(default)]
    my_number: u32,
    #[serde(default)]
    permissions: Permissions,
    #[serde(default)]
    registry_mode: Option<String>,
    #[serde(default)]
    report: ReportInfo,
    #[serde(default)]
    rules: Rules,
    #[serde(default)]
    tick: u64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Grade {
    name: String,
    aim: u64,
    deadline: u64,
    #[serde(default = "one")]
    worth: f64,
    #[serde(default)]
    late_worth: f64,
    #[serde(default)]
    idempotency: Option<String>,
}

fn one() -> f64 {
    1.0
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct FamilyInfo {
    shape: Option<String>,
    home_no: Option<i64>,
    release: u64,
    resend: u64,
    circuits_by_class: Vec<Option<u32>>,
    mean_hold: Vec<Option<u64>>,
    class_cells: Vec<Option<Vec<u32>>>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct Permissions {
    attempts_cap: Option<u32>,
    cancel: bool,
    may_probe: bool,
    retry_after: bool,
    max_retry_after: u64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct ReportInfo {
    how: Option<String>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct Rules {
    answer_slack: u64,
    ask_within: u64,
    cold: u64,
    cold_from: f64,
    drain_grace: u64,
    overload_factor: f64,
    overload_for: u64,
}

/// A call that messages may still refer to.
#[derive(Debug)]
struct CallEntry {
    call_id: CallId,
    attempts_sent: u32,
    pending_attempts: u32,
    /// The final answer is still due.
    open: bool,
}

/// Maps the names that one instance uses on the wire to the ids of the decision module, and back.
#[derive(Debug, Default)]
pub struct NameTable {
    class_names: Vec<String>,
    zone_names: Vec<String>,
    exchange_ids: BTreeMap<String, ExchangeId>,
    exchange_names: Vec<String>,
    calls: BTreeMap<String, CallEntry>,
    call_names: BTreeMap<CallId, String>,
    number_ids: BTreeMap<String, NumberId>,
    next_call: CallId,
    next_number: NumberId,
}

const NANOS_PER_MS: u64 = 1_000_000;
/// Capacity of the table of dialled numbers. When it is full, the table is cleared; ids are never reused.
const MAX_DIALLED_NUMBERS: usize = 100_000;
/// Bit of the call bitmap: the call is in transit.
const IN_TRANSIT_BIT: u64 = 8;
/// Bit of the call bitmap: the caller dials again after its call was cut.
const AFTER_CUT_BIT: u64 = 16;

impl NameTable {
    /// Reads a `LAUNCH` message: the name table of the new instance, its settings and its random seed.
    pub fn from_launch(message: &Message) -> Result<(NameTable, Settings, u64), WireError> {
        let seed = message.integer(1, "seed")?;
        message.object(2, "boot-info")?;
        let info = BootInfo::deserialize(without_nulls(message.value(2)))
            .map_err(|e| wire_error(&message.name, "boot-info", e.to_string()))?;
        let family = info.family_info;
        let names = NameTable {
            class_names: info.grades.iter().map(|g| g.name.clone()).collect(),
            zone_names: info.dcs,
            ..NameTable::default()
        };
        let charge = |key: &str| info.charges.get(key).and_then(as_number).unwrap_or(0.0);
        let settings = Settings {
            controller_count: info.instances,
            controller_index: info.my_number,
            home_exchange: family.home_no.and_then(|n| u32::try_from(n).ok()),
            topology: if family.shape.as_deref() == Some("groups") {
                Topology::Pools
            } else {
                Topology::Mesh
            },
            zone: names.zone_index(info.az.as_deref()),
            classes: (info.grades.iter().enumerate())
                .map(|(index, grade)| Class {
                    delay_target: grade.aim,
                    deadline: grade.deadline,
                    worth: grade.worth,
                    late_worth_share: grade.late_worth,
                    width: family.circuits_by_class.get(index).copied().flatten().unwrap_or(1),
                    mean_duration: family.mean_hold.get(index).copied().flatten().unwrap_or(0),
                    pools: family.class_cells.get(index).cloned().flatten().unwrap_or_default(),
                    idempotent: grade.idempotency.as_deref().unwrap_or("safe") == "safe",
                })
                .collect(),
            load_reporting: match info.report.how.as_deref() {
                Some("answers") => LoadReporting::AnswersAndProbes,
                Some("probe") => LoadReporting::ProbesOnly,
                _ => LoadReporting::Never,
            },
            max_attempts: info.permissions.attempts_cap.unwrap_or(1),
            may_probe: info.permissions.may_probe,
            may_cancel: info.permissions.cancel,
            max_retry_after: Some(info.permissions.max_retry_after).filter(|_| info.permissions.retry_after),
            list_on_request: info.registry_mode.as_deref() == Some("on_request"),
            max_list_age: info.rules.ask_within,
            release_wait: family.release,
            retransmit_interval: family.resend,
            drain_grace: info.rules.drain_grace,
            answer_slack: info.rules.answer_slack,
            cold_start: ColdStartRule {
                initial_capacity_share: info.rules.cold_from,
                max_duration: info.rules.cold,
                overload_factor: info.rules.overload_factor,
                overload_window: info.rules.overload_for,
            },
            tick: info.tick,
            late_failure_penalty: charge("late-fail"),
            probe_penalty: charge("probe"),
        };
        Ok((names, settings, seed))
    }

    fn zone_index(&self, name: Option<&str>) -> u32 {
        // All zones that the settings do not name share one further index.
        let found = name.and_then(|n| self.zone_names.iter().position(|z| z == n));
        found.unwrap_or(self.zone_names.len()) as u32
    }

    fn exchange_id(&mut self, name: &str) -> ExchangeId {
        if let Some(&id) = self.exchange_ids.get(name) {
            return id;
        }
        let id = self.exchange_names.len() as ExchangeId;
        self.exchange_names.push(name.to_string());
        self.exchange_ids.insert(name.to_string(), id);
        id
    }

    fn number_id(&mut self, name: &str) -> NumberId {
        if let Some(&id) = self.number_ids.get(name) {
            return id;
        }
        if self.number_ids.len() >= MAX_DIALLED_NUMBERS {
            self.number_ids.clear();
        }
        self.next_number += 1;
        self.number_ids.insert(name.to_string(), self.next_number);
        self.next_number
    }

    fn remove_if_ended(&mut self, id: &str) {
        if let Some(c) = self.calls.get(id) {
            if !c.open && c.pending_attempts == 0 {
                self.call_names.remove(&c.call_id);
                self.calls.remove(id);
            }
        }
    }

    /// Parses an event for this instance. `None` if it refers to an ended call or is not used.
    pub fn parse_event(&mut self, message: &Message, pages: &ListPages) -> Result<Option<Event>, WireError> {
        Ok(match message.name.as_str() {
            "MEMBERS" => self.parse_list_update(message, pages)?,
            "KNOCK" => Some(Event::CallOffered(self.parse_call_offer(message)?)),
            "ESTABLISHED" => {
                let (id, attempt) = (message.text(1, "op-id")?, message.integer(2, "send-no")? as u32);
                let elapsed = message.integer(4, "wait-time")?;
                self.calls.get(id).map(|c| Event::CallStands { call: c.call_id, attempt, elapsed })
            }
            "DONE" => self.parse_attempt_end(message)?,
            "HANGUP" => {
                let id = message.text(1, "op-id")?;
                let call = self.calls.get_mut(id).map(|c| {
                    c.open = false;
                    c.call_id
                });
                self.remove_if_ended(id);
                call.map(Event::CallerGaveUp)
            }
            "BELL" => {
                let token = message.text(1, "cookie")?;
                Some(Event::TimerExpired(
                    token
                        .parse()
                        .map_err(|_| wire_error(&message.name, "cookie", "a timer token of this instance"))?,
                ))
            }
            "CHECK_RESULT" => {
                let exchange = self.exchange_id(message.text(1, "exchange")?);
                let answered = message.text(2, "result")? == "success";
                let elapsed =
                    message.optional(3, "wait-time", "a non-negative integer", as_integer)?.unwrap_or(0);
                Some(Event::LoadReported {
                    exchange,
                    answered,
                    elapsed,
                    report: parse_load_report(message, 4)?,
                })
            }
            "INBOX" => None,
            _ => return Err(wire_error(&message.name, "name", "an event of the protocol")),
        })
    }

    fn parse_list_update(
        &mut self,
        message: &Message,
        pages: &ListPages,
    ) -> Result<Option<Event>, WireError> {
        let kind = match message.text(1, "mode")? {
            "update" => ListUpdate::Changes,
            "replace" => ListUpdate::Whole,
            "restored" => ListUpdate::Restored,
            "unavailable" => return Ok(Some(Event::ListUpdated(ListUpdate::Unavailable, Vec::new()))),
            _ => return Err(wire_error(&message.name, "mode", "update, replace, restored or unavailable")),
        };
        let slot = message.integer(3, "slot")?;
        let page = pages
            .0
            .get(&slot)
            .ok_or_else(|| wire_error(&message.name, "slot", "the slot of a page sent before"))?;
        let entries = (page.iter())
            .map(|e| Entry {
                exchange: self.exchange_id(&e.exchange),
                number: e.number,
                zone: self.zone_index(e.zone.as_deref()),
                since: e.since,
                standing: e.state,
            })
            .collect();
        Ok(Some(Event::ListUpdated(kind, entries)))
    }

    fn parse_call_offer(&mut self, message: &Message) -> Result<NewCall, WireError> {
        let id = message.text(1, "op-id")?.to_string();
        let class_name = message.text(2, "priority")?;
        let class = self.class_names.iter().position(|name| name == class_name);
        let class = class.ok_or_else(|| wire_error(&message.name, "priority", "a class of the settings"))?;
        let dialled = message.optional(4, "path-key", "a string", |v| v.as_str().map(String::from))?;
        let deadline = message.integer(5, "deadline")?;
        let number = |v: &Value| as_integer(v).and_then(|n| u32::try_from(n).ok());
        let destination = message
            .optional(7, "far-end", "a number of an exchange", number)?
            .ok_or_else(|| wire_error(&message.name, "far-end", "a number of an exchange"))?;
        let width = message.optional(8, "circuits", "a whole number of circuits", number)?.unwrap_or(1);
        let advised = message.optional(9, "advised-route", "a number", as_number)?;
        let bitmap = message.optional(10, "bitmap", "a bitmap", as_integer)?.unwrap_or(0);
        let call_id = self.next_call;
        self.next_call += 1;
        self.calls
            .insert(id.clone(), CallEntry { call_id, attempts_sent: 0, pending_attempts: 0, open: true });
        self.call_names.insert(call_id, id);
        Ok(NewCall {
            call: call_id,
            class,
            dialled: dialled.map(|number| self.number_id(&number)),
            deadline,
            destination,
            width,
            advised_route: advised.filter(|a| *a >= 0.0).map(|a| a as u32),
            in_transit: bitmap & IN_TRANSIT_BIT != 0,
            after_cut: bitmap & AFTER_CUT_BIT != 0,
        })
    }

    fn parse_attempt_end(&mut self, message: &Message) -> Result<Option<Event>, WireError> {
        let (id, attempt) = (message.text(1, "op-id")?, message.integer(2, "send-no")? as u32);
        let exchange = self.exchange_id(message.text(3, "exchange")?);
        let outcome = match message.text(4, "result")? {
            "success" => Outcome::Completed,
            "failure" => Outcome::Failed,
            "overloaded" => Outcome::Rejected,
            "timed_out" => Outcome::TimedOut,
            "unreachable" => Outcome::Unreachable,
            "broken" => Outcome::Cut,
            "withdrawn" => Outcome::CalledOff,
            "void" => Outcome::NotSent,
            _ => return Err(wire_error(&message.name, "result", "an outcome of the protocol")),
        };
        let elapsed = message.optional(5, "wait-time", "a non-negative integer", as_integer)?.unwrap_or(0);
        let call_over = message.boolean(6, "settled")?;
        let clear_code =
            message.optional(7, "clear-code", "a non-negative integer", as_integer)?.unwrap_or(0);
        // The low four bits are the cause. The rest qualifies it: destination full, or the wait in ms.
        let cause = match (clear_code % 16, clear_code / 16) {
            (1, _) => Cause::NoCircuit,
            (2, 0) => Cause::TurnedBack,
            (2, _) => Cause::FullBeyond,
            (3, 0) => Cause::ProcessorFull(None),
            (3, wait_ms) => Cause::ProcessorFull(Some(wait_ms.saturating_mul(NANOS_PER_MS))),
            (4, _) => Cause::NumberBusy,
            _ => Cause::Untold,
        };
        let report = parse_load_report(message, 8)?;
        let call = self.calls.get_mut(id).map(|c| {
            c.pending_attempts = c.pending_attempts.saturating_sub(1);
            c.open &= !call_over;
            c.call_id
        });
        self.remove_if_ended(id);
        Ok(call.map(|call| Event::AttemptEnded {
            call,
            attempt,
            exchange,
            outcome,
            cause,
            elapsed,
            call_over,
            report,
        }))
    }

    /// Formats an action of this instance as a line. `None` if it refers to an ended call.
    pub fn format_action(&mut self, instance: &str, action: &Action) -> Option<String> {
        let value = match action {
            Action::SendSetUp { call, exchange, timeout } => {
                let id = self.call_names.get(call)?;
                let c = self.calls.get_mut(id)?;
                c.attempts_sent += 1;
                c.pending_attempts += 1;
                json!(["SEND", instance, id, self.exchange_names.get(*exchange as usize)?, timeout])
            }
            Action::CancelAttempt { call, attempt } => {
                json!(["RETRACT", instance, self.call_names.get(call)?, attempt])
            }
            Action::Refuse { call, retry_after } => {
                json!(["DECLINE", instance, self.close_call(*call)?, retry_after])
            }
            Action::Fail(call) => json!(["LOSE", instance, self.close_call(*call)?]),
            Action::SetTimer(token, at) => json!(["AFTER", instance, token.to_string(), at]),
            Action::Probe(exchange) => {
                json!(["TOUCH", instance, self.exchange_names.get(*exchange as usize)?])
            }
            Action::Subscribe => json!(["KEEP_INFORMED", instance, true]),
            Action::FetchList => json!(["LOOKUP", instance]),
            Action::Note(text) => json!(["NOTE_DOWN", instance, text]),
        };
        Some(value.to_string())
    }

    /// Closes a call with its final answer and returns its name on the wire.
    fn close_call(&mut self, call: CallId) -> Option<String> {
        let id = self.call_names.get(&call)?.clone();
        self.calls.get_mut(&id)?.open = false;
        self.remove_if_ended(&id);
        Some(id)
    }
}

fn parse_load_report(message: &Message, index: usize) -> Result<LoadReport, WireError> {
    let Some(usage) = message.object(index, "usage")? else { return Ok(LoadReport::default()) };
    // Missing, negative and non-finite values count as not reported.
    let get = |name: &str| usage.get(name).and_then(as_number).filter(|f| *f >= 0.0);
    Ok(LoadReport {
        free_circuits: get("spare"),
        group_size: get("total"),
        processor_load: get("load_share"),
        queue_length: get("depth"),
        queue_wait_ms: get("mean_ms"),
        messages_in_progress: get("concurrent"),
        allowed_set_ups_per_sec: get("allowed"),
        throttled_share: get("cut_by"),
    })
}

#[derive(Clone, Debug)]
struct PageEntry {
    exchange: String,
    since: Option<Nanos>,
    zone: Option<String>,
    state: ExchangeState,
    number: u32,
}

/// The lists of exchanges received in `PAGE` messages, by slot; shared by all instances of a host.
#[derive(Debug, Default)]
pub struct ListPages(BTreeMap<u64, Vec<PageEntry>>);

impl ListPages {
    /// Stores the list of a `PAGE` message.
    pub fn insert(&mut self, message: &Message) -> Result<(), WireError> {
        let slot = message.integer(0, "slot")?;
        let entries = message.require("elements", "an array of entries", message.value(1).as_array())?;
        let mut page = Vec::with_capacity(entries.len());
        for entry in entries {
            let entry = Message {
                name: message.name.clone(),
                values: message.require("elements", "an array of arrays", entry.as_array())?.clone(),
            };
            let number = |v: &Value| as_integer(v).and_then(|n| u32::try_from(n).ok());
            page.push(PageEntry {
                exchange: entry.text(0, "exchange")?.to_string(),
                since: entry.optional(1, "online-since", "a time in ns", as_integer)?.filter(|t| *t > 0),
                zone: entry.optional(2, "dc", "a string", |v| v.as_str().map(String::from))?,
                state: match entry.text(3, "lifecycle")? {
                    "IN" => ExchangeState::Up,
                    "LAME" => ExchangeState::Draining,
                    "OUT" => ExchangeState::Gone,
                    _ => return Err(wire_error(&message.name, "lifecycle", "IN, LAME or OUT")),
                },
                number: entry.optional(6, "place-no", "a number", number)?.unwrap_or(u32::MAX),
            });
        }
        self.0.insert(slot, page);
        Ok(())
    }
}
