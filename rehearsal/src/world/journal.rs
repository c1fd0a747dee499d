//! The node register: each controller has a journal service that learns of changes late and tells them over HTTP
//! to whoever asks and waits.

use std::collections::BTreeMap;

use dillhold::session::ReadBuffer;
use pitchgw::interface::Nanos;
use rand::Rng;
use serde_json::{json, Value};

use super::{seconds_to_nanos, Due, Party, WireId, World, MS};
use crate::audit::Observation;
use crate::script::Seconds;

/// News reach all services of one change within so many seconds of each other.
const SPREAD: f64 = 0.2;
/// A service may be asked to wait no longer than this.
const LONGEST_WAIT: u64 = 5_000;

/// A request that waits for news.
struct Poll {
    wire: WireId,
    number: u64,
    after: u64,
    /// A slow service works on its answer; or has done so for long enough.
    slow: Slow,
}

/// How far a slow service has come with an answer.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Slow {
    NotBegun,
    Working,
    Done,
}

/// The journal service of one controller.
#[derive(Default)]
pub(super) struct Service {
    /// Events since the controller started; the first has the whole list.
    entries: Vec<Value>,
    /// What it knows of each machine, and of which event.
    known: BTreeMap<usize, (&'static str, Option<Nanos>, usize)>,
    /// Machine and state of the events that were not told yet, by number.
    untold: BTreeMap<u64, (usize, &'static str)>,
    poll: Option<Poll>,
    polls: u64,
    /// Events that break it off, and that make it silent.
    pub broken: u32,
    pub silent: u32,
    /// Events that make it slow, with the seconds that each answer takes.
    pub slow: BTreeMap<usize, f64>,
}

impl Service {
    /// The controller starts anew.
    pub fn restart(&mut self) {
        self.entries.clear();
        self.untold.clear();
        self.poll = None;
    }

    pub fn wire_gone(&mut self, wire: WireId) {
        if self.poll.as_ref().is_some_and(|p| p.wire == wire) {
            self.poll = None;
        }
    }

    fn sound(&self) -> bool {
        self.broken == 0 && self.silent == 0
    }
}

impl World {
    fn target(&mut self, controller: usize, machine: usize, state: &str, boot: Option<Nanos>) -> Value {
        let (address_of, node) = (self.machines[machine].address_of, self.machines[machine].node);
        let endpoint = (self.addresses)(controller, Party::Machine(address_of));
        let zone = &self.script.regions[self.script.region(node)];
        json!({"uid": self.machines[machine].uid, "endpoint": endpoint, "az": zone, "model": "std-1",
               "pod_group": node, "state": state, "capacity_hint": 1, "boot_ms": boot.map_or(0, |b| b / MS)})
    }

    /// The events that a controller is told at its start: the whole list.
    pub(super) fn known(&mut self, controller: usize) -> Value {
        if self.services[controller].known.is_empty() {
            let first = (0..self.nodes.len()).map(|m| (m, ("SERVING", None, 0)));
            self.services[controller].known = first.collect();
        }
        let known: Vec<_> = self.services[controller].known.iter().map(|(m, k)| (*m, *k)).collect();
        let mut targets = Vec::new();
        for (machine, (state, boot, _)) in known {
            if state != "DELETED" {
                targets.push(self.target(controller, machine, state, boot));
            }
            self.auditor.observe(self.now, Observation::JournalUpdateSent { controller, machine, state });
        }
        let entry = json!({"pos": 1, "hosts": {"rev": 1, "all": true, "targets": targets}});
        self.services[controller].entries.push(entry.clone());
        json!({"pos": 1, "entries": [entry]})
    }

    /// Something happened to a machine: the services learn of it within this time.
    pub(super) fn tell_journals(&mut self, machine: usize, state: &'static str, late: [Seconds; 2]) {
        let boot = self.machines[machine].boot;
        self.statistics.machine_changes.push((machine, state, boot));
        let event = self.statistics.machine_changes.len() - 1;
        let late = late[0].0 + (late[1].0 - late[0].0) * self.rng.random::<f64>();
        for controller in 0..self.nodes.len() {
            let more = SPREAD * self.rng.random::<f64>();
            self.later(seconds_to_nanos(late + more), Due::Told(controller, event));
        }
    }

    pub(super) fn journal_learns(&mut self, controller: usize, event: usize) {
        let (machine, state, boot) = self.statistics.machine_changes[event];
        // News of one machine may overtake each other; what is known to be past is not told any more.
        if self.services[controller].known.get(&machine).is_some_and(|k| k.2 > event) {
            return;
        }
        let target = self.target(controller, machine, state, boot);
        let service = &mut self.services[controller];
        service.known.insert(machine, (state, boot, event));
        let pos = service.entries.len() as u64 + 1;
        service.entries.push(json!({"pos": pos, "hosts": {"rev": pos, "all": false, "targets": [target]}}));
        if !self.running[controller] {
            return;
        }
        self.services[controller].untold.insert(pos, (machine, state));
        if self.services[controller].sound() {
            self.auditor.observe(
                self.now,
                Observation::JournalUpdateAvailable { controller, machine, state, after_outage: false },
            );
        }
        self.answer_poll(controller, false);
    }

    /// The service is sound again.
    pub(super) fn journal_back(&mut self, controller: usize) {
        if self.services[controller].sound() {
            let untold: Vec<_> = self.services[controller].untold.values().copied().collect();
            for (machine, state) in untold {
                self.auditor.observe(
                    self.now,
                    Observation::JournalUpdateAvailable { controller, machine, state, after_outage: true },
                );
            }
            self.answer_poll(controller, false);
        }
    }

    /// The service breaks off what is open.
    pub(super) fn journal_breaks(&mut self, controller: usize) {
        let own = |w: &super::Wire| w.controller == controller && w.party == Party::Journal;
        let wires: Vec<WireId> = self.wires.iter().filter(|(_, w)| own(w)).map(|(id, _)| *id).collect();
        wires.into_iter().for_each(|w| self.hang_up(w));
    }

    /// Takes in a request; false: it cannot be read.
    pub(super) fn journal_asked(&mut self, controller: usize, wire: WireId, inbox: &mut ReadBuffer) -> bool {
        let Some(end) = inbox.unread().windows(4).position(|w| w == b"\r\n\r\n") else { return true };
        let head = String::from_utf8_lossy(&inbox.unread()[..end]).into_owned();
        inbox.consume(end + 4);
        let line = head.lines().next().unwrap_or_default();
        let Some(query) = line.strip_prefix("GET /journal?").and_then(|l| l.strip_suffix(" HTTP/1.1")) else {
            return false;
        };
        let figure = |name: &str| {
            let value = query.split('&').find_map(|part| part.strip_prefix(name)?.strip_prefix('='));
            value.and_then(|v| v.parse::<u64>().ok())
        };
        let Some((after, wait)) = figure("tail").zip(figure("max_wait")) else { return false };
        let service = &mut self.services[controller];
        service.polls += 1;
        let number = service.polls;
        service.poll = Some(Poll { wire, number, after, slow: Slow::NotBegun });
        self.later(wait.min(LONGEST_WAIT) * MS, Due::PollEnds(controller, wire, number));
        self.answer_poll(controller, false);
        true
    }

    pub(super) fn poll_ends(&mut self, controller: usize, wire: WireId, number: u64) {
        let poll = self.services[controller].poll.as_ref();
        if poll.is_some_and(|p| p.wire == wire && p.number == number) {
            self.answer_poll(controller, true);
        }
    }

    /// A slow service has worked on an answer for long enough.
    pub(super) fn poll_worked(&mut self, controller: usize, number: u64) {
        if let Some(poll) = self.services[controller].poll.as_mut().filter(|p| p.number == number) {
            poll.slow = Slow::Done;
            self.answer_poll(controller, true);
        }
    }

    /// Answers the request that waits, if there is news or its time is up.
    fn answer_poll(&mut self, controller: usize, time_is_up: bool) {
        let service = &mut self.services[controller];
        let (last, sound) = (service.entries.len() as u64, service.sound());
        let Some(poll) = service.poll.take_if(|p| sound && (time_is_up || p.after < last)) else { return };
        let news = &service.entries[(poll.after.min(last)) as usize..];
        let body = json!({"pos": last, "entries": news}).to_string();
        let takes = service.slow.values().copied().fold(0.0, f64::max);
        if takes > 0.0 && poll.slow != Slow::Done {
            let number = poll.number;
            if poll.slow == Slow::NotBegun {
                self.later(seconds_to_nanos(takes), Due::PollWorked(controller, number));
            }
            self.services[controller].poll = Some(Poll { slow: Slow::Working, ..poll });
            return;
        }
        let told = std::mem::take(&mut service.untold);
        for (machine, state) in told.into_values() {
            self.auditor.observe(self.now, Observation::JournalUpdateSent { controller, machine, state });
        }
        let head =
            format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}", body.len());
        self.send(poll.wire, format!("{head}\r\n\r\n{body}").as_bytes());
    }
}
