//! The lives of controllers: started, told to end, killed, and started again.

use pitchgw::interface::Nanos;

use super::{seconds_to_nanos, Act, Due, Signal, Start, WireId, World, MS, RECONNECT, SEC};
use crate::audit::Observation;

/// After a controller was told to end callers open new connections to it for so long. On open ones they go on.
const FRONT_NOTICES: Nanos = 300 * MS;
/// The longest deadline is counted as this where it is longer.
const LONGEST_DEADLINE: Nanos = 3 * SEC;
/// SIGKILL follows SIGTERM after the longest deadline and this.
const KILL_AFTER_DEADLINE: Nanos = 700 * MS;
/// A controller has to be ready within this time after its start.
const READY_WITHIN: Nanos = 10 * SEC;

impl World {
    pub(super) fn start_controller(&mut self, controller: usize) {
        self.running[controller] = true;
        self.fronted[controller] = true;
        self.terminated[controller] = None;
        self.starts[controller] = Start { at: self.now, reached: false, missed: false };
        self.services[controller].restart();
        let config = self.configuration(controller);
        self.later(RECONNECT, Due::Reconnect(controller));
        self.later(READY_WITHIN, Due::Ready(controller, self.now));
        self.acts.push_back(Act::Start(controller, config));
    }

    /// A controller must be ready by now, if anybody wanted to connect to it.
    pub(super) fn ready_due(&mut self, controller: usize, started: Nanos) {
        let start = self.starts[controller];
        if start.at == started && start.missed && !start.reached {
            self.auditor.observe(self.now, Observation::ControllerNotReady { controller });
        }
    }

    /// A controller gets SIGTERM: the front notices soon, and SIGKILL comes as early as it may.
    pub(super) fn terminate(&mut self, controller: usize) {
        if !self.running[controller] || self.terminated[controller].is_some() {
            return;
        }
        self.terminated[controller] = Some(self.now);
        self.acts.push_back(Act::Signal(controller, Signal::Terminate));
        self.later(FRONT_NOTICES, Due::Front(controller));
    }

    /// The time from SIGTERM to SIGKILL.
    pub(super) fn kill_after(&self) -> Nanos {
        let longest = self.script.classes.iter().map(|c| seconds_to_nanos(c.deadline.0)).max().unwrap_or(0);
        longest.min(LONGEST_DEADLINE) + KILL_AFTER_DEADLINE
    }

    /// SIGKILL for a controller that was told to end and still runs.
    pub(super) fn kill_terminated(&mut self, controller: usize) {
        let due = |at: Nanos| self.now >= at + self.kill_after();
        if self.running[controller] && self.terminated[controller].is_some_and(due) {
            self.kill(controller);
            self.start_controller(controller);
        }
    }

    /// A controller is killed.
    pub(super) fn kill(&mut self, controller: usize) {
        self.running[controller] = false;
        self.fronted[controller] = false;
        self.acts.push_back(Act::Kill(controller));
        let terminated = self.terminated[controller];
        self.auditor
            .observe(self.now, Observation::ControllerKilled { controller, terminated_at: terminated });
        self.hang_up_all(controller);
    }

    /// A controller that was told to end has ended. What it had taken and not answered is lost.
    pub fn stopped(&mut self, now: Nanos, controller: usize) {
        self.advance(now);
        self.running[controller] = false;
        self.hang_up_all(controller);
        self.auditor.observe(self.now, Observation::ControllerExited { controller });
        self.start_controller(controller);
    }

    /// A controller has ended of its own accord.
    pub fn crashed(&mut self, now: Nanos, controller: usize, how: &str) {
        self.advance(now);
        self.auditor.observe(self.now, Observation::ControllerCrashed { controller, exit_status: how });
        self.running[controller] = false;
        self.auditor.observe(self.now, Observation::ControllerKilled { controller, terminated_at: None });
        self.hang_up_all(controller);
        self.start_controller(controller);
    }

    /// What a controller takes of the machine, as it was just read.
    pub fn uses(&mut self, now: Nanos, controller: usize, memory_mb: u64, descriptors: u64) {
        self.advance(now);
        let limits = &self.script.controllers;
        if memory_mb > u64::from(limits.memory_mb) || descriptors > u64::from(limits.sockets) {
            self.auditor
                .observe(self.now, Observation::ControllerOverLimit { controller, memory_mb, descriptors });
        }
    }

    fn hang_up_all(&mut self, controller: usize) {
        let wires: Vec<_> = self.wires.iter().filter(|(_, w)| w.controller == controller).collect();
        let wires: Vec<WireId> = wires.into_iter().map(|(id, _)| *id).collect();
        wires.into_iter().for_each(|wire| self.wire_gone(wire));
    }
}
