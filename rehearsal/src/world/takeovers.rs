//! Processes of a node that end without notice, while another one takes over their address. The journal may report either
//! earlier or later than it happens, the new process may have booted before the old one ended, answers may be under way
//! then, and the new one has calls of others.

use pitchgw::interface::Nanos;

use super::nodes::Machine;
use super::{seconds_to_nanos, ConnectOutcome, Event, SimConnectionId, World, MS};
use crate::script::{ScriptEvent, Seconds, DEFAULT_DOWN_SECONDS};

/// Time from the delivery of what was sent last until the connections end.
const CLOSE_DELAY: Nanos = MS;

/// What happens in a takeover, at a time of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TakeoverStep {
    /// The old process ends.
    Death,
    /// The connections of the old process end: nothing is under way on them any more.
    Close,
    /// The new process accepts connections.
    Listen,
    /// The journal learns that the old machine is gone.
    GoneListed,
    /// The journal learns of the new process.
    SuccessorListed,
}

/// A takeover, identified by its machines.
#[derive(Clone, Copy, Debug)]
pub(super) struct Takeover {
    node: usize,
    old: usize,
    /// The same as `old` if the new process has its id.
    successor: usize,
    vanishes: bool,
    boots_at: Option<Nanos>,
    /// Circuits that others use at the new process, by trunk group.
    others: u32,
}

fn nanos(seconds: Option<Seconds>) -> Nanos {
    seconds.map_or(0, |seconds| seconds_to_nanos(seconds.0))
}

impl World {
    pub(super) fn begin_takeover(&mut self, node: usize, event: &ScriptEvent) {
        if !self.processors[node].alive {
            return;
        }
        let (old, vanishes) = (self.machine_of_node[node], event.vanishes == Some(true));
        let boots_at = event.boots_after.map(|after| self.now + seconds_to_nanos(after.0));
        let has_same_id = event.same_id == Some(true);
        let successor = if has_same_id { old } else { self.add_successor(node, old, boots_at) };
        let others = event.others.map_or(0, |circuits| circuits.0 as u32);
        let takeover = Takeover { node, old, successor, vanishes, boots_at, others };
        self.machines[old].send_delay = nanos(event.under_way);
        let death = nanos(event.dies_after);
        let down = seconds_to_nanos(event.down.map_or(DEFAULT_DOWN_SECONDS, |down| down.0));
        let mut schedule = |after: Nanos, step| self.schedule_in(after, Event::Takeover { takeover, step });
        schedule(death, TakeoverStep::Death);
        schedule(death + down, TakeoverStep::Listen);
        schedule(nanos(event.listed_after), TakeoverStep::SuccessorListed);
        if !vanishes {
            schedule(death + nanos(event.under_way) + CLOSE_DELAY, TakeoverStep::Close);
        }
        if let (Some(gone_after), false) = (event.gone_after, has_same_id) {
            schedule(seconds_to_nanos(gone_after.0), TakeoverStep::GoneListed);
        }
    }

    /// Adds a machine that gets the address of another one once it listens there.
    fn add_successor(&mut self, node: usize, old: usize, boots_at: Option<Nanos>) -> usize {
        let (successor, address_owner) = (self.machines.len(), self.machines[old].address_owner);
        let mut machine = Machine::new(successor, node, address_owner, boots_at);
        (machine.holds_address, machine.connect_outcome) = (false, ConnectOutcome::Refused);
        self.machines.push(machine);
        successor
    }

    pub(super) fn run_takeover(&mut self, takeover: Takeover, step: TakeoverStep) {
        match step {
            TakeoverStep::Death => self.end_process(takeover),
            TakeoverStep::Close => self.close_silenced_connections(takeover.old),
            TakeoverStep::Listen => self.start_successor(takeover),
            TakeoverStep::GoneListed => self.publish_now(takeover.old, "DELETED"),
            TakeoverStep::SuccessorListed => {
                self.machines[takeover.successor].started_at = takeover.boots_at;
                self.publish_now(takeover.successor, "SERVING");
            }
        }
    }

    fn publish_now(&mut self, machine: usize, state: &'static str) {
        self.publish_machine_state(machine, state, [Seconds(0.0), Seconds(0.0)]);
    }

    fn end_process(&mut self, takeover: Takeover) {
        let Takeover { node, old, vanishes, .. } = takeover;
        if !self.processors[node].alive || self.machine_of_node[node] != old {
            return; // another fault has ended it
        }
        // What was sent before is still delivered, and nothing else.
        self.stop_node(node, ConnectOutcome::TimesOut);
        let machine = &mut self.machines[old];
        machine.send_delay = 0;
        if !vanishes {
            machine.connect_outcome = ConnectOutcome::Refused;
        }
    }

    fn close_silenced_connections(&mut self, machine: usize) {
        let connections: Vec<SimConnectionId> = self.machines[machine].all_connections().collect();
        for connection_id in connections {
            if self.connections.get(&connection_id).is_some_and(|connection| connection.silenced) {
                self.close_connection(connection_id);
            }
        }
    }

    fn start_successor(&mut self, takeover: Takeover) {
        let Takeover { node, successor, others, .. } = takeover;
        if self.processors[node].alive {
            return;
        }
        let processor = &mut self.processors[node];
        (processor.alive, processor.failed_cold, processor.cold_since) = (true, false, None);
        self.machine_of_node[node] = successor;
        let machine = &mut self.machines[successor];
        (machine.holds_address, machine.connect_outcome) = (true, ConnectOutcome::Accepted);
        self.auditor.machine_started(self.now, successor);
        for other in (0..self.processors.len()).filter(|other| *other != node) {
            let group = self.network.group_mut(other, node);
            group.in_use += others.min(group.free() / 2);
        }
        self.start_next_job(node);
    }
}
