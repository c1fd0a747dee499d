//! Codec of the line protocol between a host and the decision module: JSON arrays, one a line.
//!
//! It turns lines into [`Event`]s and [`Action`]s into lines, and gives out the numbers by which the module
//! knows exchanges, calls and dialled numbers. Nothing is decided here.

use std::collections::BTreeMap;
use std::fmt;

use serde::Deserialize;
use serde_json::{json, Map, Value};

use crate::interface::*;

/// A line that cannot be taken: which event, which field, what was expected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireError {
    /// Name of the event, or what stands in its place.
    pub event: String,
    /// Name of the field.
    pub field: String,
    /// What was expected there.
    pub expected: String,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // One plain line, whatever the input held.
        let text = format!("{}: {}: expected {}", self.event, self.field, self.expected);
        f.write_str(&text.replace(|c: char| c.is_control(), " "))
    }
}

impl std::error::Error for WireError {}

fn error(event: &str, field: &str, expected: impl Into<String>) -> WireError {
    WireError { event: event.into(), field: field.into(), expected: expected.into() }
}

/// One message: its name and its values by position.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// The name.
    pub name: String,
    values: Vec<Value>,
}

impl Message {
    /// Reads one line.
    pub fn parse(line: &str) -> Result<Message, WireError> {
        let value: Value =
            serde_json::from_str(line).map_err(|e| error("line", "JSON", format!("an array ({e})")))?;
        let Value::Array(mut values) = value else {
            return Err(error("line", "JSON", "an array"));
        };
        if values.is_empty() || !values[0].is_string() {
            return Err(error("line", "name", "a text"));
        }
        let Value::String(name) = values.remove(0) else { unreachable!("checked above") };
        Ok(Message { name, values })
    }

    fn at(&self, i: usize) -> &Value {
        self.values.get(i).unwrap_or(&Value::Null)
    }

    fn need<T>(&self, field: &str, expected: &str, got: Option<T>) -> Result<T, WireError> {
        got.ok_or_else(|| error(&self.name, field, expected))
    }

    fn maybe<T>(
        &self,
        i: usize,
        field: &str,
        expected: &str,
        read: fn(&Value) -> Option<T>,
    ) -> Result<Option<T>, WireError> {
        match self.at(i) {
            Value::Null => Ok(None),
            v => self.need(field, expected, read(v)).map(Some),
        }
    }

    /// A required text.
    pub fn text(&self, i: usize, field: &str) -> Result<&str, WireError> {
        self.need(field, "a text", self.at(i).as_str())
    }

    /// A required whole number, zero or above.
    pub fn whole(&self, i: usize, field: &str) -> Result<u64, WireError> {
        self.need(field, "a whole number, 0 or above", as_whole(self.at(i)))
    }

    fn truth(&self, i: usize, field: &str) -> Result<bool, WireError> {
        Ok(self.maybe(i, field, "true or false", Value::as_bool)?.unwrap_or(false))
    }

    fn table(&self, i: usize, field: &str) -> Result<Option<&Map<String, Value>>, WireError> {
        match self.at(i) {
            Value::Null => Ok(None),
            v => self.need(field, "an object", v.as_object()).map(Some),
        }
    }
}

fn as_whole(v: &Value) -> Option<u64> {
    v.as_u64()
        .or_else(|| v.as_f64().filter(|f| f.fract() == 0.0 && (0.0..1.8e19).contains(f)).map(|f| f as u64))
}

fn as_number(v: &Value) -> Option<f64> {
    v.as_f64().filter(|f| f.is_finite())
}

/// Null is how the wire says absent, in the settings too.
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

/// The start-up settings as they stand on the wire. Keys not named here are ignored.
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

/// What the codec keeps of a call: its handle and whether the wire may still speak of it.
#[derive(Debug)]
struct CallName {
    handle: CallId,
    sends: u32,
    out: u32,
    open: bool,
}

/// The names of one instance: what the wire calls things and what the module calls them.
#[derive(Debug, Default)]
pub struct NameTable {
    grades: Vec<String>,
    zones: Vec<String>,
    exchanges: BTreeMap<String, ExchangeId>,
    exchange_names: Vec<String>,
    calls: BTreeMap<String, CallName>,
    call_ids: BTreeMap<CallId, String>,
    numbers: BTreeMap<String, NumberId>,
    next_call: CallId,
    next_number: NumberId,
}

/// How many dialled numbers keep their handle; past that the table starts anew (a handle is never reused).
const NUMBERS_KEPT: usize = 100_000;

impl NameTable {
    /// Reads the settings of a `LAUNCH` and starts the names of that instance.
    pub fn from_launch(m: &Message) -> Result<(NameTable, Settings, u64), WireError> {
        let seed = m.whole(1, "seed")?;
        m.table(2, "boot-info")?;
        let info = BootInfo::deserialize(without_nulls(m.at(2)))
            .map_err(|e| error(&m.name, "boot-info", e.to_string()))?;
        let family = info.family_info;
        let names = NameTable {
            grades: info.grades.iter().map(|g| g.name.clone()).collect(),
            zones: info.dcs,
            ..NameTable::default()
        };
        let pick = |key: &str| info.charges.get(key).and_then(as_number).unwrap_or(0.0);
        let settings = Settings {
            controller_count: info.instances,
            controller_index: info.my_number,
            home_exchange: family.home_no.and_then(|n| u32::try_from(n).ok()),
            topology: if family.shape.as_deref() == Some("groups") {
                Topology::Pools
            } else {
                Topology::Mesh
            },
            zone: names.zone(info.az.as_deref()),
            classes: (info.grades.iter().enumerate())
                .map(|(i, g)| Class {
                    aim: g.aim,
                    deadline: g.deadline,
                    worth: g.worth,
                    late_worth: g.late_worth,
                    width: family.circuits_by_class.get(i).copied().flatten().unwrap_or(1),
                    hold: family.mean_hold.get(i).copied().flatten().unwrap_or(0),
                    pools: family.class_cells.get(i).cloned().flatten().unwrap_or_default(),
                    repeatable: g.idempotency.as_deref().unwrap_or("safe") == "safe",
                })
                .collect(),
            reports: match info.report.how.as_deref() {
                Some("answers") => Reports::Answers,
                Some("probe") => Reports::Probes,
                _ => Reports::None,
            },
            max_attempts: info.permissions.attempts_cap.unwrap_or(1),
            may_probe: info.permissions.may_probe,
            may_cancel: info.permissions.cancel,
            max_retry_after: Some(info.permissions.max_retry_after).filter(|_| info.permissions.retry_after),
            list_on_request: info.registry_mode.as_deref() == Some("on_request"),
            ask_within: info.rules.ask_within,
            release_wait: family.release,
            resend: family.resend,
            drain_grace: info.rules.drain_grace,
            answer_slack: info.rules.answer_slack,
            cold: ColdRule {
                from: info.rules.cold_from,
                lasts: info.rules.cold,
                multiple: info.rules.overload_factor,
                window: info.rules.overload_for,
            },
            tick: info.tick,
            late_fail_price: pick("late-fail"),
            probe_price: pick("probe"),
        };
        Ok((names, settings, seed))
    }

    fn zone(&self, name: Option<&str>) -> u32 {
        // A zone that the settings did not name is one more.
        let found = name.and_then(|n| self.zones.iter().position(|z| z == n));
        found.unwrap_or(self.zones.len()) as u32
    }

    fn exchange(&mut self, name: &str) -> ExchangeId {
        if let Some(&id) = self.exchanges.get(name) {
            return id;
        }
        let id = self.exchange_names.len() as ExchangeId;
        self.exchange_names.push(name.to_string());
        self.exchanges.insert(name.to_string(), id);
        id
    }

    fn number(&mut self, name: &str) -> NumberId {
        if let Some(&id) = self.numbers.get(name) {
            return id;
        }
        if self.numbers.len() >= NUMBERS_KEPT {
            self.numbers.clear();
        }
        self.next_number += 1;
        self.numbers.insert(name.to_string(), self.next_number);
        self.next_number
    }

    fn forget_if_over(&mut self, id: &str) {
        if let Some(c) = self.calls.get(id) {
            if !c.open && c.out == 0 {
                self.call_ids.remove(&c.handle);
                self.calls.remove(id);
            }
        }
    }

    /// Reads an event for this instance. `None`: it speaks of a call that is over, or of nothing used here.
    pub fn event(&mut self, m: &Message, pages: &Pages) -> Result<Option<Event>, WireError> {
        Ok(match m.name.as_str() {
            "MEMBERS" => self.list(m, pages)?,
            "KNOCK" => Some(Event::CallOffered(self.knock(m)?)),
            "ESTABLISHED" => {
                let (id, attempt) = (m.text(1, "op-id")?, m.whole(2, "send-no")? as u32);
                let elapsed = m.whole(4, "wait-time")?;
                self.calls.get(id).map(|c| Event::CallStands { call: c.handle, attempt, elapsed })
            }
            "DONE" => self.done(m)?,
            "HANGUP" => {
                let id = m.text(1, "op-id")?;
                let handle = self.calls.get_mut(id).map(|c| {
                    c.open = false;
                    c.handle
                });
                self.forget_if_over(id);
                handle.map(Event::CallerHungUp)
            }
            "BELL" => {
                let token = m.text(1, "cookie")?;
                Some(Event::TimerExpired(
                    token.parse().map_err(|_| error(&m.name, "cookie", "a token set here"))?,
                ))
            }
            "CHECK_RESULT" => {
                let exchange = self.exchange(m.text(1, "exchange")?);
                let answered = m.text(2, "result")? == "success";
                let elapsed = m.maybe(3, "wait-time", "a whole number, 0 or above", as_whole)?.unwrap_or(0);
                Some(Event::LoadReported { exchange, answered, elapsed, report: report(m, 4)? })
            }
            "INBOX" => None,
            _ => return Err(error(&m.name, "name", "an event of the protocol")),
        })
    }

    fn list(&mut self, m: &Message, pages: &Pages) -> Result<Option<Event>, WireError> {
        let kind = match m.text(1, "mode")? {
            "update" => ListUpdate::Changes,
            "replace" => ListUpdate::Whole,
            "restored" => ListUpdate::Restored,
            "unavailable" => return Ok(Some(Event::ListUpdated(ListUpdate::Unavailable, Vec::new()))),
            _ => return Err(error(&m.name, "mode", "update, replace, restored or unavailable")),
        };
        let slot = m.whole(3, "slot")?;
        let page = pages.0.get(&slot).ok_or_else(|| error(&m.name, "slot", "a page sent before"))?;
        let entries = (page.iter())
            .map(|e| Entry {
                exchange: self.exchange(&e.exchange),
                number: e.number,
                zone: self.zone(e.zone.as_deref()),
                since: e.since,
                standing: e.standing,
            })
            .collect();
        Ok(Some(Event::ListUpdated(kind, entries)))
    }

    fn knock(&mut self, m: &Message) -> Result<NewCall, WireError> {
        let id = m.text(1, "op-id")?.to_string();
        let grade = m.text(2, "priority")?;
        let class = self.grades.iter().position(|g| g == grade);
        let class = class.ok_or_else(|| error(&m.name, "priority", "a class of the settings"))?;
        let key = m.maybe(4, "path-key", "a text", |v| v.as_str().map(String::from))?;
        let deadline = m.whole(5, "deadline")?;
        let number = |v: &Value| as_whole(v).and_then(|n| u32::try_from(n).ok());
        let destination = m
            .maybe(7, "far-end", "a number of an exchange", number)?
            .ok_or_else(|| error(&m.name, "far-end", "a number of an exchange"))?;
        let width = m.maybe(8, "circuits", "a whole number of circuits", number)?.unwrap_or(1);
        let advised = m.maybe(9, "advised-route", "a number", as_number)?;
        let bits = m.maybe(10, "bitmap", "a sum of bit values", as_whole)?.unwrap_or(0);
        let handle = self.next_call;
        self.next_call += 1;
        self.calls.insert(id.clone(), CallName { handle, sends: 0, out: 0, open: true });
        self.call_ids.insert(handle, id);
        Ok(NewCall {
            call: handle,
            class,
            dialled: key.map(|k| self.number(&k)),
            deadline,
            destination,
            width,
            advised_route: advised.filter(|a| *a >= 0.0).map(|a| a as u32),
            in_transit: bits & 8 != 0,
            after_cut: bits & 16 != 0,
        })
    }

    fn done(&mut self, m: &Message) -> Result<Option<Event>, WireError> {
        let (id, attempt) = (m.text(1, "op-id")?, m.whole(2, "send-no")? as u32);
        let exchange = self.exchange(m.text(3, "exchange")?);
        let outcome = match m.text(4, "result")? {
            "success" => Outcome::Completed,
            "failure" => Outcome::Failed,
            "overloaded" => Outcome::Rejected,
            "timed_out" => Outcome::TimedOut,
            "unreachable" => Outcome::Unreachable,
            "broken" => Outcome::Cut,
            "withdrawn" => Outcome::CalledOff,
            "void" => Outcome::NotSent,
            _ => return Err(error(&m.name, "result", "an ending of the protocol")),
        };
        let elapsed = m.maybe(5, "wait-time", "a whole number, 0 or above", as_whole)?.unwrap_or(0);
        let call_over = m.truth(6, "settled")?;
        let code = m.maybe(7, "clear-code", "a whole number, 0 or above", as_whole)?.unwrap_or(0);
        let cause = match (code % 16, code / 16) {
            (1, _) => Cause::NoCircuit,
            (2, 0) => Cause::TurnedBack,
            (2, _) => Cause::FullBeyond,
            (3, 0) => Cause::ProcessorFull(None),
            (3, wait) => Cause::ProcessorFull(Some(wait.saturating_mul(1_000_000))),
            (4, _) => Cause::NumberBusy,
            _ => Cause::Untold,
        };
        let report = report(m, 8)?;
        let handle = self.calls.get_mut(id).map(|c| {
            c.out = c.out.saturating_sub(1);
            c.open &= !call_over;
            c.handle
        });
        self.forget_if_over(id);
        Ok(handle.map(|call| Event::AttemptEnded {
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

    /// Writes an action of this instance as a line. `None`: it speaks of a call that is over.
    pub fn action(&mut self, instance: &str, action: &Action) -> Option<String> {
        let value = match action {
            Action::SendSetUp { call, exchange, timeout } => {
                let id = self.call_ids.get(call)?;
                let c = self.calls.get_mut(id)?;
                c.sends += 1;
                c.out += 1;
                json!(["SEND", instance, id, self.exchange_names.get(*exchange as usize)?, timeout])
            }
            Action::CancelAttempt { call, attempt } => {
                json!(["RETRACT", instance, self.call_ids.get(call)?, attempt])
            }
            Action::Refuse { call, retry_after } => {
                json!(["DECLINE", instance, self.answered(*call)?, retry_after])
            }
            Action::Fail(call) => json!(["LOSE", instance, self.answered(*call)?]),
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

    fn answered(&mut self, call: CallId) -> Option<String> {
        let id = self.call_ids.get(&call)?.clone();
        self.calls.get_mut(&id)?.open = false;
        self.forget_if_over(&id);
        Some(id)
    }
}

fn report(m: &Message, i: usize) -> Result<LoadReport, WireError> {
    let Some(table) = m.table(i, "usage")? else { return Ok(LoadReport::default()) };
    // Absent, negative and non-finite values all count as not reported.
    let get = |name: &str| table.get(name).and_then(as_number).filter(|f| *f >= 0.0);
    Ok(LoadReport {
        free_circuits: get("spare"),
        group_size: get("total"),
        busy: get("load_share"),
        queue: get("depth"),
        wait_ms: get("mean_ms"),
        working: get("concurrent"),
        allowed: get("allowed"),
        hold_back: get("cut_by"),
    })
}

#[derive(Clone, Debug)]
struct PageEntry {
    exchange: String,
    since: Option<Nanos>,
    zone: Option<String>,
    standing: ExchangeState,
    number: u32,
}

/// The numbered lists in force, shared by all instances of a host as they come on the wire.
#[derive(Debug, Default)]
pub struct Pages(BTreeMap<u64, Vec<PageEntry>>);

impl Pages {
    /// Takes in a `PAGE`.
    pub fn put(&mut self, m: &Message) -> Result<(), WireError> {
        let slot = m.whole(0, "slot")?;
        let entries = m.need("elements", "an array of entries", m.at(1).as_array())?;
        let mut page = Vec::with_capacity(entries.len());
        for e in entries {
            let e = Message {
                name: m.name.clone(),
                values: m.need("elements", "an array of arrays", e.as_array())?.clone(),
            };
            let number = |v: &Value| as_whole(v).and_then(|n| u32::try_from(n).ok());
            page.push(PageEntry {
                exchange: e.text(0, "exchange")?.to_string(),
                since: e.maybe(1, "online-since", "a clock time", as_whole)?.filter(|t| *t > 0),
                zone: e.maybe(2, "dc", "a text", |v| v.as_str().map(String::from))?,
                standing: match e.text(3, "lifecycle")? {
                    "IN" => ExchangeState::Up,
                    "LAME" => ExchangeState::Draining,
                    "OUT" => ExchangeState::Gone,
                    _ => return Err(error(&m.name, "lifecycle", "IN, LAME or OUT")),
                },
                number: e.maybe(6, "place-no", "a number", number)?.unwrap_or(u32::MAX),
            });
        }
        self.0.insert(slot, page);
        Ok(())
    }
}
