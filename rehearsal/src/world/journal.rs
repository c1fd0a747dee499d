//! The journal services, one for each controller. Each learns of changes to the nodes after a delay and serves them
//! over HTTP by long polling.

use std::collections::BTreeMap;

use dillhold::session::ReadBuffer;
use pitchgw::interface::Nanos;
use rand::Rng;
use serde_json::{json, Value};

use super::{seconds_to_nanos, Endpoint, Event, SimConnectionId, World, MS};
use crate::audit::Observation;
use crate::script::Seconds;

/// All journal services learn of a change within this time of each other.
const UPDATE_SPREAD_SECONDS: f64 = 0.2;
/// Maximum time that a long poll is held open.
const MAX_LONG_POLL_MS: u64 = 5_000;

/// A pending request for updates.
struct LongPoll {
    connection_id: SimConnectionId,
    poll_number: u64,
    /// The journal position that the controller has seen.
    position: u64,
    slow_answer: SlowAnswer,
}

/// Progress of a slow service with its answer.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SlowAnswer {
    NotStarted,
    InProgress,
    Done,
}

/// The journal service of one controller.
#[derive(Default)]
pub(super) struct JournalService {
    /// Journal entries since the controller started; the first holds the complete list of machines.
    entries: Vec<Value>,
    /// By machine: its state, its start time, and the index of the change that reported them.
    known_states: BTreeMap<usize, (&'static str, Option<Nanos>, usize)>,
    /// Entries not sent yet, by position: machine and state.
    undelivered: BTreeMap<u64, (usize, &'static str)>,
    poll: Option<LongPoll>,
    poll_count: u64,
    /// Number of active script events in which it refuses connections.
    pub broken_events: u32,
    /// Number of active script events in which it sends no answers.
    pub silent_events: u32,
    /// Active script events in which it is slow, with the seconds that an answer takes.
    pub slow_events: BTreeMap<usize, f64>,
}

impl JournalService {
    /// Resets the journal for a new start of its controller.
    pub fn restart(&mut self) {
        self.entries.clear();
        self.undelivered.clear();
        self.poll = None;
    }

    pub fn connection_closed(&mut self, connection_id: SimConnectionId) {
        if self.poll.as_ref().is_some_and(|p| p.connection_id == connection_id) {
            self.poll = None;
        }
    }

    fn is_healthy(&self) -> bool {
        self.broken_events == 0 && self.silent_events == 0
    }
}

impl World {
    fn target_entry(
        &mut self,
        controller: usize,
        machine: usize,
        state: &str,
        started_at: Option<Nanos>,
    ) -> Value {
        let (address_owner, node) = (self.machines[machine].address_owner, self.machines[machine].node);
        let endpoint = (self.addresses)(controller, Endpoint::Machine(address_owner));
        let zone = &self.script.regions[self.script.region(node)];
        json!({"uid": self.machines[machine].uid, "endpoint": endpoint, "az": zone, "model": "std-1",
               "pod_group": node, "state": state, "capacity_hint": 1, "boot_ms": started_at.map_or(0, |b| b / MS)})
    }

    /// Returns the journal content for a controller's configuration: one entry with all known machines.
    pub(super) fn initial_entries(&mut self, controller: usize) -> Value {
        if self.journal_services[controller].known_states.is_empty() {
            let initial_states = (0..self.processors.len()).map(|m| (m, ("SERVING", None, 0)));
            self.journal_services[controller].known_states = initial_states.collect();
        }
        let known_states: Vec<_> =
            self.journal_services[controller].known_states.iter().map(|(m, k)| (*m, *k)).collect();
        let mut targets = Vec::new();
        for (machine, (state, started_at, _)) in known_states {
            if state != "DELETED" {
                targets.push(self.target_entry(controller, machine, state, started_at));
            }
            self.auditor.observe(self.now, Observation::JournalUpdateSent { controller, machine, state });
        }
        let entry = json!({"pos": 1, "hosts": {"rev": 1, "all": true, "targets": targets}});
        self.journal_services[controller].entries.push(entry.clone());
        json!({"pos": 1, "entries": [entry]})
    }

    /// Records the new state of a machine, of which the journal services learn after a delay within the range.
    pub(super) fn publish_machine_state(
        &mut self,
        machine: usize,
        state: &'static str,
        delay_range: [Seconds; 2],
    ) {
        let started_at = self.machines[machine].started_at;
        self.statistics.machine_changes.push((machine, state, started_at));
        let change_index = self.statistics.machine_changes.len() - 1;
        let delay = delay_range[0].0 + (delay_range[1].0 - delay_range[0].0) * self.rng.random::<f64>();
        for controller in 0..self.processors.len() {
            let spread = UPDATE_SPREAD_SECONDS * self.rng.random::<f64>();
            self.schedule_in(
                seconds_to_nanos(delay + spread),
                Event::JournalUpdate { controller, change_index },
            );
        }
    }

    pub(super) fn update_journal(&mut self, controller: usize, change_index: usize) {
        let (machine, state, started_at) = self.statistics.machine_changes[change_index];
        // Changes of one machine may arrive out of order; ignore those that are already superseded.
        if self.journal_services[controller].known_states.get(&machine).is_some_and(|k| k.2 > change_index) {
            return;
        }
        let target = self.target_entry(controller, machine, state, started_at);
        let service = &mut self.journal_services[controller];
        service.known_states.insert(machine, (state, started_at, change_index));
        let pos = service.entries.len() as u64 + 1;
        service.entries.push(json!({"pos": pos, "hosts": {"rev": pos, "all": false, "targets": [target]}}));
        if !self.running[controller] {
            return;
        }
        self.journal_services[controller].undelivered.insert(pos, (machine, state));
        if self.journal_services[controller].is_healthy() {
            self.auditor.observe(
                self.now,
                Observation::JournalUpdateAvailable { controller, machine, state, after_outage: false },
            );
        }
        self.answer_poll(controller, false);
    }

    /// Announces undelivered updates and answers a pending poll, if the service works again.
    pub(super) fn resume_journal(&mut self, controller: usize) {
        if self.journal_services[controller].is_healthy() {
            let undelivered: Vec<_> =
                self.journal_services[controller].undelivered.values().copied().collect();
            for (machine, state) in undelivered {
                self.auditor.observe(
                    self.now,
                    Observation::JournalUpdateAvailable { controller, machine, state, after_outage: true },
                );
            }
            self.answer_poll(controller, false);
        }
    }

    /// Closes all connections to a controller's journal service.
    pub(super) fn close_journal_connections(&mut self, controller: usize) {
        let is_journal_connection = |connection: &super::SimConnection| {
            connection.controller == controller && connection.endpoint == Endpoint::Journal
        };
        let connections: Vec<SimConnectionId> = self
            .connections
            .iter()
            .filter(|(_, connection)| is_journal_connection(connection))
            .map(|(id, _)| *id)
            .collect();
        connections.into_iter().for_each(|id| self.close_connection(id));
    }

    /// Handles a long-poll request. Returns false if it cannot be parsed.
    pub(super) fn handle_journal_request(
        &mut self,
        controller: usize,
        connection_id: SimConnectionId,
        read_buffer: &mut ReadBuffer,
    ) -> bool {
        let Some(end) = read_buffer.unread().windows(4).position(|window| window == b"\r\n\r\n") else {
            return true;
        };
        let head = String::from_utf8_lossy(&read_buffer.unread()[..end]).into_owned();
        read_buffer.consume(end + 4);
        let request_line = head.lines().next().unwrap_or_default();
        let Some(query) =
            request_line.strip_prefix("GET /journal?").and_then(|l| l.strip_suffix(" HTTP/1.1"))
        else {
            return false;
        };
        let parse_number = |name: &str| {
            let value = query.split('&').find_map(|part| part.strip_prefix(name)?.strip_prefix('='));
            value.and_then(|v| v.parse::<u64>().ok())
        };
        let Some((position, wait)) = parse_number("tail").zip(parse_number("max_wait")) else { return false };
        let service = &mut self.journal_services[controller];
        service.poll_count += 1;
        let poll_number = service.poll_count;
        service.poll =
            Some(LongPoll { connection_id, poll_number, position, slow_answer: SlowAnswer::NotStarted });
        self.schedule_in(
            wait.min(MAX_LONG_POLL_MS) * MS,
            Event::PollTimeout { controller, connection_id, poll_number },
        );
        self.answer_poll(controller, false);
        true
    }

    pub(super) fn expire_poll(
        &mut self,
        controller: usize,
        connection_id: SimConnectionId,
        poll_number: u64,
    ) {
        let poll = self.journal_services[controller].poll.as_ref();
        if poll.is_some_and(|p| p.connection_id == connection_id && p.poll_number == poll_number) {
            self.answer_poll(controller, true);
        }
    }

    /// Sends the answer of a slow service after its delay.
    pub(super) fn finish_slow_answer(&mut self, controller: usize, poll_number: u64) {
        if let Some(poll) =
            self.journal_services[controller].poll.as_mut().filter(|p| p.poll_number == poll_number)
        {
            poll.slow_answer = SlowAnswer::Done;
            self.answer_poll(controller, true);
        }
    }

    /// Answers the pending poll if there are updates or it has timed out, unless the service is down.
    fn answer_poll(&mut self, controller: usize, timed_out: bool) {
        let service = &mut self.journal_services[controller];
        let (last, is_healthy) = (service.entries.len() as u64, service.is_healthy());
        let Some(poll) = service.poll.take_if(|p| is_healthy && (timed_out || p.position < last)) else {
            return;
        };
        let updates = &service.entries[(poll.position.min(last)) as usize..];
        let body = json!({"pos": last, "entries": updates}).to_string();
        let answer_seconds = service.slow_events.values().copied().fold(0.0, f64::max);
        if answer_seconds > 0.0 && poll.slow_answer != SlowAnswer::Done {
            let poll_number = poll.poll_number;
            if poll.slow_answer == SlowAnswer::NotStarted {
                self.schedule_in(
                    seconds_to_nanos(answer_seconds),
                    Event::SlowAnswerReady { controller, poll_number },
                );
            }
            self.journal_services[controller].poll =
                Some(LongPoll { slow_answer: SlowAnswer::InProgress, ..poll });
            return;
        }
        let delivered = std::mem::take(&mut service.undelivered);
        for (machine, state) in delivered.into_values() {
            self.auditor.observe(self.now, Observation::JournalUpdateSent { controller, machine, state });
        }
        let head =
            format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}", body.len());
        self.send(poll.connection_id, format!("{head}\r\n\r\n{body}").as_bytes());
    }
}
