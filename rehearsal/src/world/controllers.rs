//! Lifecycle of the controllers: start, shutdown, kill and restart.

use pitchgw::interface::Nanos;

use super::{
    seconds_to_nanos, Action, ControllerStart, Event, Signal, SimConnectionId, World, MS, RECONNECT_DELAY,
    SEC,
};
use crate::audit::Observation;

/// Time after SIGTERM during which callers still open new connections to a controller. Open connections are used
/// beyond it.
const ROTATION_REMOVAL_DELAY: Nanos = 300 * MS;
/// Longer deadlines count as this one for the time from SIGTERM to SIGKILL.
const MAX_COUNTED_DEADLINE: Nanos = 3 * SEC;
/// SIGKILL follows SIGTERM after the longest deadline plus this time.
const KILL_DELAY_AFTER_DEADLINE: Nanos = 700 * MS;
/// Time after its start within which a controller has to accept connections.
const READY_TIMEOUT: Nanos = 10 * SEC;

impl World {
    pub(super) fn start_controller(&mut self, controller: usize) {
        self.running[controller] = true;
        self.in_rotation[controller] = true;
        self.terminated_at[controller] = None;
        self.controller_starts[controller] =
            ControllerStart { at: self.now, connected: false, connect_failed: false };
        self.journal_services[controller].restart();
        let config = self.configuration(controller);
        self.schedule_in(RECONNECT_DELAY, Event::Reconnect { controller });
        self.schedule_in(READY_TIMEOUT, Event::ReadyDeadline { controller, started_at: self.now });
        self.actions.push_back(Action::StartController { controller, config });
    }

    /// Reports a controller that has not become ready in time, if any caller tried to connect to it.
    pub(super) fn check_ready(&mut self, controller: usize, started_at: Nanos) {
        let start = self.controller_starts[controller];
        if start.at == started_at && start.connect_failed && !start.connected {
            self.auditor.observe(self.now, Observation::ControllerNotReady { controller });
        }
    }

    /// Sends SIGTERM to a controller. Callers stop opening new connections to it after a delay.
    pub(super) fn terminate(&mut self, controller: usize) {
        if !self.running[controller] || self.terminated_at[controller].is_some() {
            return;
        }
        self.terminated_at[controller] = Some(self.now);
        self.actions.push_back(Action::SignalController { controller, signal: Signal::Terminate });
        self.schedule_in(ROTATION_REMOVAL_DELAY, Event::LeaveRotation { controller });
    }

    /// Returns the time from SIGTERM to SIGKILL, the shortest that is allowed.
    pub(super) fn kill_after(&self) -> Nanos {
        let longest = self.script.classes.iter().map(|c| seconds_to_nanos(c.deadline.0)).max().unwrap_or(0);
        longest.min(MAX_COUNTED_DEADLINE) + KILL_DELAY_AFTER_DEADLINE
    }

    /// Kills and restarts a terminating controller that is still running after the allowed time.
    pub(super) fn kill_terminating(&mut self, controller: usize) {
        let is_due = |at: Nanos| self.now >= at + self.kill_after();
        if self.running[controller] && self.terminated_at[controller].is_some_and(is_due) {
            self.kill(controller);
            self.start_controller(controller);
        }
    }

    /// Kills a controller with SIGKILL.
    pub(super) fn kill(&mut self, controller: usize) {
        self.running[controller] = false;
        self.in_rotation[controller] = false;
        self.actions.push_back(Action::KillController { controller });
        let terminated_at = self.terminated_at[controller];
        self.auditor.observe(self.now, Observation::ControllerKilled { controller, terminated_at });
        self.close_all_connections(controller);
    }

    /// Handles the exit of a terminating controller, and restarts it. Calls that it had taken and not answered are lost.
    pub fn controller_stopped(&mut self, now: Nanos, controller: usize) {
        self.advance(now);
        self.running[controller] = false;
        self.close_all_connections(controller);
        self.auditor.observe(self.now, Observation::ControllerExited { controller });
        self.start_controller(controller);
    }

    /// Handles the unexpected exit of a controller, and restarts it.
    pub fn controller_crashed(&mut self, now: Nanos, controller: usize, exit_status: &str) {
        self.advance(now);
        self.auditor.observe(self.now, Observation::ControllerCrashed { controller, exit_status });
        self.running[controller] = false;
        self.auditor.observe(self.now, Observation::ControllerKilled { controller, terminated_at: None });
        self.close_all_connections(controller);
        self.start_controller(controller);
    }

    /// Checks the current memory and descriptor usage of a controller against its limits.
    pub fn report_resource_usage(&mut self, now: Nanos, controller: usize, memory_mb: u64, descriptors: u64) {
        self.advance(now);
        let limits = &self.script.controllers;
        if memory_mb > u64::from(limits.memory_mb) || descriptors > u64::from(limits.sockets) {
            self.auditor
                .observe(self.now, Observation::ControllerOverLimit { controller, memory_mb, descriptors });
        }
    }

    fn close_all_connections(&mut self, controller: usize) {
        let connections: Vec<_> =
            self.connections.iter().filter(|(_, connection)| connection.controller == controller).collect();
        let connections: Vec<SimConnectionId> = connections.into_iter().map(|(id, _)| *id).collect();
        connections.into_iter().for_each(|connection_id| self.remove_connection(connection_id));
    }
}
