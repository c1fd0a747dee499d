//! Exchange nodes: the machines that serve them, their SIP side, and the legs of calls between nodes.

use std::collections::BTreeMap;

use dillhold::codec::sip::{self, Message, StartLine};
use dillhold::session::ReadBuffer;
use pitchgw::interface::Nanos;
use rand::Rng;

use super::callers::CallOwner;
use super::processor::JobKind;
use super::{
    seconds_to_nanos, ConnectOutcome, Endpoint, Event, SimConnectionId, World, CAUSE_TEMPORARY_FAILURE, MS,
};
use crate::audit::Observation;

/// How long an ended leg is kept, for messages that cross its end.
const LEG_RETENTION: Nanos = 5_000 * MS;

/// Probability that an answer is truncated or duplicated while such a fault is active.
const ANSWER_FAULT_PROBABILITY: f64 = 0.3;
/// Delay of the second copy of a duplicated answer.
const DUPLICATE_ANSWER_DELAY: Nanos = 5 * MS;

/// A machine that serves a node now, or served it earlier.
pub(super) struct Machine {
    pub node: usize,
    pub uid: String,
    /// `None` if it was running before the simulation began.
    pub started_at: Option<Nanos>,
    /// Result of connecting to this machine.
    pub connect_outcome: ConnectOutcome,
    /// Index of the machine whose address it uses: its own, or that of the machine it replaced.
    pub address_owner: usize,
    /// Whether connections to the address reach it, or reached it until another machine took over.
    pub holds_address: bool,
    /// How long what it sends is under way, beside the delay of the network.
    pub send_delay: Nanos,
    /// Open connections, by controller.
    connections: BTreeMap<usize, Vec<SimConnectionId>>,
    /// Releases that could not be sent, by controller: call id and Q.850 cause.
    unsent_releases: BTreeMap<usize, Vec<(u64, u8)>>,
    /// Releases sent and not yet acknowledged, by call id: connection and Q.850 cause.
    unacknowledged_releases: BTreeMap<u64, (SimConnectionId, u8)>,
}

impl Machine {
    pub fn first(node: usize) -> Machine {
        Machine::new(node, node, node, None)
    }

    pub fn new(index: usize, node: usize, address_owner: usize, started_at: Option<Nanos>) -> Machine {
        Machine {
            node,
            uid: format!("s-{index:08x}"),
            started_at,
            connect_outcome: ConnectOutcome::Accepted,
            address_owner,
            holds_address: true,
            send_delay: 0,
            connections: BTreeMap::new(),
            unsent_releases: BTreeMap::new(),
            unacknowledged_releases: BTreeMap::new(),
        }
    }
}

impl Machine {
    /// The open connections of all controllers.
    pub fn all_connections(&self) -> impl Iterator<Item = SimConnectionId> + '_ {
        self.connections.values().flatten().copied()
    }
}

/// State of a leg.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LegState {
    SettingUp,
    Stands,
    Ended,
}

/// A call leg: a set-up from a controller to a machine, and the standing call that results from it.
pub(super) struct Leg {
    pub call_id: u64,
    pub controller: usize,
    pub machine: usize,
    /// Node that the set-up was sent to: the destination or a tandem.
    pub target_node: usize,
    pub state: LegState,
    /// Node that the call is for.
    destination: usize,
    class: usize,
    width: u32,
    connection_id: SimConnectionId,
    sequence: u32,
    called_number: String,
    description: Vec<u8>,
    pub answer: Vec<u8>,
    deadline: Nanos,
    holds_circuits: bool,
    /// The target node has processed the set-up.
    processed_at_target: bool,
    /// The leg that brought this call to its controller, for a call in transit.
    pub parent_leg: Option<u64>,
    /// Id of the call in transit that the target node offered to its own controller.
    transit_call_id: Option<u64>,
    /// The latest leg of that call in transit.
    child_leg: Option<u64>,
    refusal_cause: &'static str,
}

/// Writes a SIP message of a call.
fn write_sip(
    output: &mut Vec<u8>,
    start_line: std::fmt::Arguments<'_>,
    call_id: u64,
    sequence: (u32, &str),
    extra_headers: &str,
    body: &[u8],
) {
    sip::write(
        output,
        start_line,
        format!("{call_id:016x}").as_bytes(),
        sequence,
        format_args!("{extra_headers}"),
        body,
    );
}

impl World {
    pub(super) fn delay(&mut self, from: usize, to: usize) -> Nanos {
        self.network.delay(&self.script, &mut self.rng, from, to)
    }

    /// Returns the machine that currently uses an address.
    pub(super) fn machine_at_address(&self, address_owner: usize) -> usize {
        let latest_machine =
            self.machines.iter().rposition(|m| m.address_owner == address_owner && m.holds_address);
        latest_machine.unwrap_or(address_owner)
    }

    pub(super) fn accept_machine_connection(
        &mut self,
        controller: usize,
        address_owner: usize,
        connection_id: SimConnectionId,
    ) {
        let machine = self.machine_at_address(address_owner);
        if let Some(connection) = self.connections.get_mut(&connection_id) {
            connection.endpoint = Endpoint::Machine(machine);
        }
        let machine_state = &mut self.machines[machine];
        machine_state.connections.entry(controller).or_default().push(connection_id);
        let unsent_releases = machine_state.unsent_releases.remove(&controller).unwrap_or_default();
        let node = machine_state.node;
        self.notify_group(controller, node);
        for (id, cause) in unsent_releases {
            self.send_release(controller, machine, id, cause);
        }
    }

    pub(super) fn machine_connection_closed(
        &mut self,
        controller: usize,
        machine: usize,
        connection_id: SimConnectionId,
    ) {
        if let Some(connections) = self.machines[machine].connections.get_mut(&controller) {
            connections.retain(|id| *id != connection_id);
        }
        // A release that may not have arrived is sent again on another connection, or on the next one.
        let mut lost_releases: Vec<(u64, u8)> = Vec::new();
        self.machines[machine].unacknowledged_releases.retain(|id, (on, cause)| {
            if *on == connection_id {
                lost_releases.push((*id, *cause));
            }
            *on != connection_id
        });
        if self.machines[machine].connect_outcome == ConnectOutcome::Accepted {
            for (id, cause) in lost_releases {
                self.send_release(controller, machine, id, cause);
            }
        }
        // On a silenced connection the controller received no response to its attempts, not even their end.
        let legs_on_connection: Vec<u64> = self
            .legs
            .iter()
            .filter(|(_, leg)| leg.connection_id == connection_id)
            .map(|(id, _)| *id)
            .collect();
        for leg_id in legs_on_connection {
            let call_id = self.legs[&leg_id].call_id;
            // The connection of an earlier attempt says nothing about the latest one.
            if self.latest_leg.get(&(controller, call_id)) == Some(&leg_id) {
                self.auditor
                    .observe(self.now, Observation::AttemptConnectionLost { controller, id: call_id });
            }
            if self.legs[&leg_id].state == LegState::SettingUp {
                self.cancel_leg(leg_id);
            }
        }
    }

    /// Handles SIP messages from a controller. Returns false if they cannot be parsed.
    pub(super) fn handle_sip_messages(
        &mut self,
        controller: usize,
        machine: usize,
        connection_id: SimConnectionId,
        read_buffer: &mut ReadBuffer,
    ) -> bool {
        loop {
            let (message, consumed) = match sip::parse(read_buffer.unread()) {
                Err(_) => return false,
                Ok(None) => return true,
                Ok(Some(found)) => found,
            };
            let Some((id, (sequence, _))) = message.call_id().zip(message.cseq()) else { return false };
            let mut output = Vec::new();
            match message.start_line {
                StartLine::Request(b"INVITE") => {
                    self.handle_invite(controller, machine, connection_id, (id, sequence), &message);
                }
                StartLine::Request(b"CANCEL") => {
                    self.auditor.observe(self.now, Observation::CancelToNode { controller, id });
                    write_sip(&mut output, format_args!("SIP/2.0 200 OK"), id, (sequence, "CANCEL"), "", b"");
                    self.send(connection_id, &output);
                    let leg_id = self.latest_leg.get(&(controller, id)).copied();
                    let is_setting_up =
                        |leg: &u64| self.legs.get(leg).is_some_and(|leg| leg.state == LegState::SettingUp);
                    if let Some(leg_id) = leg_id.filter(is_setting_up) {
                        self.cancel_leg(leg_id);
                    }
                }
                StartLine::Request(b"BYE") => {
                    self.auditor.observe(self.now, Observation::ByeFromController { controller, id });
                    write_sip(&mut output, format_args!("SIP/2.0 200 OK"), id, (sequence, "BYE"), "", b"");
                    self.send(connection_id, &output);
                    self.handle_controller_release(controller, id);
                }
                StartLine::Request(b"OPTIONS") => {
                    write_sip(
                        &mut output,
                        format_args!("SIP/2.0 200 OK"),
                        id,
                        (sequence, "OPTIONS"),
                        "",
                        b"",
                    );
                    self.send(connection_id, &output);
                }
                StartLine::Response(_) => {
                    self.machines[machine].unacknowledged_releases.remove(&id);
                }
                _ => {}
            }
            read_buffer.consume(consumed);
        }
    }

    fn handle_invite(
        &mut self,
        controller: usize,
        machine: usize,
        connection_id: SimConnectionId,
        (call_id, sequence): (u64, u32),
        message: &Message<'_>,
    ) {
        let header_text =
            |name| String::from_utf8_lossy(message.header(name).unwrap_or_default()).into_owned();
        let node = self.machines[machine].node;
        let number = message.uri().and_then(|u| u.strip_prefix(b"sip:")?.strip_suffix(b"@net"));
        let called_number = String::from_utf8_lossy(number.unwrap_or_default()).into_owned();
        let (class, timeout) =
            (header_text("X-Service"), header_text("X-Setup-Ms").parse::<u64>().unwrap_or(0) * MS);
        let observation = Observation::InviteToNode {
            controller,
            node,
            machine,
            id: call_id,
            class: &class,
            number: &called_number,
            description: message.body,
        };
        self.auditor.observe(self.now, observation);
        let Some(call) = self.callers.offered_calls.get(&(controller, call_id)) else { return };
        let (owner, destination, class) = (call.owner, call.destination, call.class);
        let leg_id = self.next_leg;
        self.next_leg += 1;
        let parent_leg = match owner {
            CallOwner::Transit(parent) => Some(parent),
            CallOwner::Caller(_) => None,
        };
        let width = self.script.classes[class].width;
        let leg = Leg {
            call_id,
            controller,
            machine,
            target_node: node,
            state: LegState::SettingUp,
            destination,
            class,
            width,
            connection_id,
            sequence,
            called_number,
            description: message.body.to_vec(),
            answer: Vec::new(),
            deadline: self.now + timeout,
            holds_circuits: false,
            processed_at_target: false,
            parent_leg,
            transit_call_id: None,
            child_leg: None,
            refusal_cause: "",
        };
        self.legs.insert(leg_id, leg);
        self.latest_leg.insert((controller, call_id), leg_id);
        if let Some(parent) = parent_leg.and_then(|p| self.legs.get_mut(&p)) {
            parent.child_leg = Some(leg_id);
        }
        if !self.processors[controller].alive {
            return self.respond(leg_id, 480, "overload");
        }
        if node != destination && !self.script.groups.transit {
            return self.respond(leg_id, 503, "turned_back");
        }
        if node == controller || self.network.group(controller, node).free() < width {
            return self.respond(leg_id, 480, "no_circuit");
        }
        self.network.group_mut(controller, node).in_use += width;
        if let Some(leg) = self.legs.get_mut(&leg_id) {
            leg.holds_circuits = true;
        }
        self.notify_group_to_both_ends(controller, node);
        if self.reject_if_overloaded(controller) {
            return self.respond(leg_id, 503, "overload");
        }
        self.enqueue_job(controller, 1.0, JobKind::OriginSetUp(leg_id));
        let interval = seconds_to_nanos(self.script.processor.repeat_after.0);
        if interval > 0 {
            self.schedule_in(interval, Event::RetransmitSetUp { leg_id, next_interval: 2 * interval });
        }
    }

    /// Retransmits an unprocessed set-up, which costs the target node work, and schedules the next retransmission.
    pub(super) fn retransmit_set_up(&mut self, leg_id: u64, interval: Nanos) {
        let Some(leg) =
            self.legs.get(&leg_id).filter(|leg| leg.state == LegState::SettingUp && !leg.processed_at_target)
        else {
            return;
        };
        if self.now >= leg.deadline {
            return;
        }
        let to = leg.target_node;
        self.enqueue_job(to, self.script.processor.repeat.0, JobKind::Other);
        self.schedule_in(interval, Event::RetransmitSetUp { leg_id, next_interval: 2 * interval });
    }

    pub(super) fn mark_processed(&mut self, leg_id: u64) {
        if let Some(leg) = self.legs.get_mut(&leg_id) {
            leg.processed_at_target = true;
        }
    }

    pub(super) fn set_up_arrives(&mut self, leg_id: u64) {
        let Some(leg) = self.legs.get(&leg_id).filter(|leg| leg.state == LegState::SettingUp) else { return };
        let (to, from, machine) = (leg.target_node, leg.controller, leg.machine);
        if !self.processors[to].alive
            || self.machine_of_node[to] != machine
                && self.machines[machine].connect_outcome != ConnectOutcome::Accepted
        {
            return; // the set-up is lost
        }
        if self.record_cold_set_up(to, from) {
            return self.fail_cold_node(to);
        }
        if self.reject_if_overloaded(to) {
            let delay = self.delay(to, from);
            return self.schedule_in(delay, Event::RefusalArrives { leg_id, cause: "overload", code: 503 });
        }
        let leg = &self.legs[&leg_id];
        if leg.destination == to {
            self.enqueue_job(to, 1.0, JobKind::DestinationSetUp(leg_id));
        } else {
            self.enqueue_job(to, self.script.processor.look.0, JobKind::TandemSetUp(leg_id));
        }
    }

    fn fail_cold_node(&mut self, node: usize) {
        let machine = self.machine_of_node[node];
        let senders: Vec<usize> = self.processors[node].recent_cold_set_ups.iter().map(|(_, c)| *c).collect();
        self.auditor.cold_processor_failed(self.now, machine, node, &senders);
        self.processors[node].failed_cold = true;
        self.stop_node(node, ConnectOutcome::Refused);
        let delay_range = self.script.journal.silent;
        self.publish_machine_state(machine, "DELETED", delay_range);
    }

    /// Offers a call in transit to the tandem's own controller.
    pub(super) fn offer_in_transit(&mut self, leg_id: u64) {
        let leg = &self.legs[&leg_id];
        let (node, deadline) = (leg.target_node, leg.deadline);
        if !self.running[node] || !self.is_reachable_by_callers(node) || self.now >= deadline {
            return self.turn_back(leg_id);
        }
        let transit_call_id = self.rng.random::<u64>().max(1);
        let leg = self.legs.get_mut(&leg_id).expect("known above");
        (leg.transit_call_id, leg.processed_at_target) = (Some(transit_call_id), true);
        let leg = &self.legs[&leg_id];
        let attributes =
            format!("dest:{};width:{};via:{};transit:1", leg.destination, leg.width, leg.controller);
        let (number, description) = (leg.called_number.clone(), leg.description.clone());
        let routing = (leg.class, leg.destination, deadline - self.now);
        self.offer_call(
            node,
            transit_call_id,
            CallOwner::Transit(leg_id),
            routing,
            &number,
            &attributes,
            &description,
        );
    }

    fn turn_back(&mut self, leg_id: u64) {
        self.schedule_in(0, Event::RefusalArrives { leg_id, cause: "turned_back", code: 503 });
    }

    /// Handles the answer of a tandem's controller to a call in transit.
    pub(super) fn transit_call_answered(&mut self, leg_id: u64, description: &[u8]) {
        let Some(leg) = self.legs.get_mut(&leg_id).filter(|leg| leg.state == LegState::SettingUp) else {
            return;
        };
        leg.answer = description.to_vec();
        let (from, to) = (leg.target_node, leg.controller);
        let delay = self.delay(from, to);
        self.schedule_in(delay, Event::AnswerArrives { leg_id });
    }

    /// Handles a refusal by a tandem's controller: the call is turned back.
    pub(super) fn transit_call_refused(&mut self, leg_id: u64) {
        let Some(leg) = self.legs.get(&leg_id) else { return };
        let overloaded =
            leg.child_leg.and_then(|c| self.legs.get(&c)).is_some_and(|c| c.refusal_cause == "overload");
        let (from, to) = (leg.target_node, leg.controller);
        let delay = self.delay(from, to);
        self.schedule_in(
            delay,
            Event::RefusalArrives {
                leg_id,
                cause: if overloaded { "far_overload" } else { "turned_back" },
                code: 503,
            },
        );
    }

    /// Handles the loss of a call in transit with the connection to the tandem's controller.
    pub(super) fn transit_call_lost(&mut self, leg_id: u64) {
        if let Some(leg) = self.legs.get(&leg_id) {
            let (from, to) = (leg.target_node, leg.controller);
            let delay = self.delay(from, to);
            self.schedule_in(delay, Event::RefusalArrives { leg_id, cause: "", code: 504 });
        }
    }

    pub(super) fn refusal_arrives(&mut self, leg_id: u64, cause: &'static str, code: u16) {
        if self.legs.get(&leg_id).is_some_and(|leg| leg.state == LegState::SettingUp) {
            self.respond(leg_id, code, cause);
        }
    }

    pub(super) fn answer_arrives(&mut self, leg_id: u64) {
        let Some(leg) = self.legs.get(&leg_id).filter(|leg| leg.state == LegState::SettingUp) else { return };
        let origin = leg.controller;
        self.enqueue_job(origin, self.script.processor.answer.0, JobKind::OriginAnswer(leg_id));
    }

    /// Sends the final response to a failed set-up.
    fn respond(&mut self, leg_id: u64, code: u16, cause: &'static str) {
        let Some(leg) = self.legs.get_mut(&leg_id) else { return };
        (leg.state, leg.refusal_cause) = (LegState::Ended, cause);
        let (connection_id, call_id, sequence, controller) =
            (leg.connection_id, leg.call_id, leg.sequence, leg.controller);
        if self.delivers_eventually(connection_id) {
            self.auditor.observe(
                self.now,
                Observation::ResponseFromNode { controller, id: call_id, code, cause, description: b"" },
            );
        }
        let mut output = Vec::new();
        let extra_headers = if cause.is_empty() { String::new() } else { format!("X-Cause: {cause}\r\n") };
        write_sip(
            &mut output,
            format_args!("SIP/2.0 {code} No"),
            call_id,
            (sequence, "INVITE"),
            &extra_headers,
            b"",
        );
        self.send(connection_id, &output);
        self.free_circuits(leg_id);
    }

    pub(super) fn complete_set_up(&mut self, leg_id: u64) {
        let Some(leg) = self.legs.get_mut(&leg_id).filter(|leg| leg.state == LegState::SettingUp) else {
            return;
        };
        leg.state = LegState::Stands;
        let (connection_id, call_id, sequence, controller) =
            (leg.connection_id, leg.call_id, leg.sequence, leg.controller);
        let answer = std::mem::take(&mut leg.answer);
        let mut output = Vec::new();
        write_sip(&mut output, format_args!("SIP/2.0 200 OK"), call_id, (sequence, "INVITE"), "", &answer);
        let faulty = self.active_answer_faults[self.legs[&leg_id].target_node] > 0
            && self.rng.random_bool(ANSWER_FAULT_PROBABILITY);
        if faulty && self.rng.random_bool(0.5) {
            // The connection is unusable after half a message, so the call at the node is cancelled.
            output.truncate(output.len() / 2);
            self.send(connection_id, &output);
            if let Some(connection) = self.connections.get_mut(&connection_id) {
                connection.unreadable = true;
            }
            return self.cancel_leg(leg_id);
        }
        let observation = Observation::ResponseFromNode {
            controller,
            id: call_id,
            code: 200,
            cause: "",
            description: &answer,
        };
        if self.delivers_eventually(connection_id) {
            self.auditor.observe(self.now, observation);
        }
        self.send(connection_id, &output);
        if faulty {
            self.schedule_in(DUPLICATE_ANSWER_DELAY, Event::SendBytes { connection_id, bytes: output });
        }
    }

    /// Ends a leg in set-up: the target node receives a cancel, and the circuits become free after a delay.
    fn cancel_leg(&mut self, leg_id: u64) {
        let Some(leg) = self.legs.get_mut(&leg_id) else { return };
        leg.state = LegState::Ended;
        let (from, to) = (leg.controller, leg.target_node);
        let delay = self.delay(from, to);
        self.schedule_in(delay, Event::CancelArrives { leg_id });
        self.schedule_in(seconds_to_nanos(self.script.groups.frees_after.0), Event::FreeCircuits { leg_id });
    }

    pub(super) fn cancel_arrives(&mut self, leg_id: u64) {
        let Some((node, Some(id))) = self.legs.get(&leg_id).map(|leg| (leg.target_node, leg.transit_call_id))
        else {
            return;
        };
        self.release_transit(node, id);
    }

    pub(super) fn free_circuits(&mut self, leg_id: u64) {
        let Some(leg) = self.legs.get_mut(&leg_id) else { return };
        if leg.holds_circuits {
            leg.holds_circuits = false;
            let (from, to, width) = (leg.controller, leg.target_node, leg.width);
            let group = self.network.group_mut(from, to);
            group.in_use = group.in_use.saturating_sub(width);
            self.notify_group_to_both_ends(from, to);
        }
        // Messages that cross the end of the leg still find it.
        if self.legs[&leg_id].state == LegState::Ended {
            self.schedule_in(LEG_RETENTION, Event::ExpireLeg { leg_id });
        }
    }

    /// Drops a leg after its retention time. On a silenced connection the controller learns of its end only by closing
    /// that, so the leg is kept until then.
    pub(super) fn expire_leg(&mut self, leg_id: u64) {
        let connection = self.legs.get(&leg_id).and_then(|leg| self.connections.get(&leg.connection_id));
        if connection.is_some_and(|connection| connection.silenced) {
            return self.schedule_in(LEG_RETENTION, Event::ExpireLeg { leg_id });
        }
        if let Some(leg) = self.legs.remove(&leg_id) {
            if self.latest_leg.get(&(leg.controller, leg.call_id)) == Some(&leg_id) {
                self.latest_leg.remove(&(leg.controller, leg.call_id));
            }
        }
    }

    fn notify_group_to_both_ends(&mut self, a: usize, b: usize) {
        self.notify_group(a, b);
        self.notify_group(b, a);
    }

    /// Sends a controller the state of its trunk group to a node.
    pub(super) fn notify_group(&mut self, controller: usize, node: usize) {
        let machine = self.machine_of_node[node];
        let Some(connection_id) =
            self.machines[machine].connections.get(&controller).and_then(|ids| ids.last()).copied()
        else {
            return;
        };
        let group = self.network.group(controller, node);
        let extra_headers = format!("X-Group: spare:{};total:{}\r\n", group.free(), group.size);
        let mut output = Vec::new();
        write_sip(
            &mut output,
            format_args!("NOTIFY sip:group@net SIP/2.0"),
            0,
            (1, "NOTIFY"),
            &extra_headers,
            b"",
        );
        self.send(connection_id, &output);
    }

    /// Sends the releases that a machine could not send while it was partitioned.
    pub(super) fn send_unsent_releases(&mut self, machine: usize) {
        for (controller, unsent_releases) in std::mem::take(&mut self.machines[machine].unsent_releases) {
            for (id, cause) in unsent_releases {
                self.send_release(controller, machine, id, cause);
            }
        }
    }

    fn send_release(&mut self, controller: usize, machine: usize, id: u64, cause: u8) {
        let connections = self.machines[machine].connections.get(&controller).map_or(&[][..], |ids| ids);
        let set_up_connection = self
            .latest_leg
            .get(&(controller, id))
            .and_then(|leg_id| self.legs.get(leg_id))
            .map(|leg| leg.connection_id);
        // Prefer the connection of the set-up, otherwise use the latest open one.
        let preferred =
            connections.iter().find(|id| Some(**id) == set_up_connection).or(connections.last()).copied();
        let Some(connection_id) = preferred.filter(|id| self.delivers_now(*id)) else {
            let machine_state = &mut self.machines[machine];
            return machine_state.unsent_releases.entry(controller).or_default().push((id, cause));
        };
        self.machines[machine].unacknowledged_releases.insert(id, (connection_id, cause));
        self.auditor.observe(self.now, Observation::ByeFromNode { controller, id, cause });
        let extra_headers = format!("Reason: Q.850;cause={cause}\r\n");
        let mut output = Vec::new();
        write_sip(&mut output, format_args!("BYE sip:call@net SIP/2.0"), id, (2, "BYE"), &extra_headers, b"");
        self.send(connection_id, &output);
    }

    fn first_leg(&self, mut leg_id: u64) -> u64 {
        while let Some(parent) = self.legs.get(&leg_id).and_then(|leg| leg.parent_leg) {
            leg_id = parent;
        }
        leg_id
    }

    /// Ends a standing call by releasing all its legs, beginning at the caller's end.
    pub(super) fn release_chain(&mut self, leg_id: u64, cause: u8) {
        let mut next = Some(self.first_leg(leg_id));
        while let Some(id) = next {
            let Some(leg) = self.legs.get_mut(&id) else { return };
            next = leg.child_leg;
            if leg.state != LegState::Stands {
                if leg.state == LegState::SettingUp {
                    self.cancel_leg(id);
                }
                continue;
            }
            leg.state = LegState::Ended;
            let (origin, to, machine, call_id, transit_call_id) =
                (leg.controller, leg.target_node, leg.machine, leg.call_id, leg.transit_call_id);
            if let Some(transit_call_id) = transit_call_id {
                self.callers.offered_calls.remove(&(to, transit_call_id));
            }
            for node in [origin, to] {
                self.enqueue_job(node, self.script.processor.answer.0, JobKind::Other);
            }
            if self.machines[machine].connect_outcome == ConnectOutcome::Accepted {
                self.send_release(origin, machine, call_id, cause);
            }
            self.auditor.observe(self.now, Observation::CallEndedAtNode { controller: origin, id: call_id });
            self.free_circuits(id);
        }
    }

    /// Cuts a standing call and reports the cut to its caller.
    pub(super) fn cut_call(&mut self, leg_id: u64) {
        let first_leg = self.first_leg(leg_id);
        let Some(leg) = self.legs.get(&first_leg) else { return };
        let call_key = (leg.controller, leg.call_id);
        self.release_chain(first_leg, CAUSE_TEMPORARY_FAILURE);
        if let Some(CallOwner::Caller(intent_id)) = self.callers.offered_calls.get(&call_key).map(|s| s.owner)
        {
            if self.intents.get(&intent_id).is_some_and(|intent| intent.stands_since.is_some()) {
                self.handle_cut_call(intent_id);
            }
        }
    }

    fn handle_controller_release(&mut self, controller: usize, id: u64) {
        let Some(leg_id) = self.latest_leg.get(&(controller, id)).copied() else { return };
        let Some(leg) = self.legs.get_mut(&leg_id).filter(|leg| leg.state == LegState::Stands) else {
            return;
        };
        leg.state = LegState::Ended;
        let (to, transit_call_id) = (leg.target_node, leg.transit_call_id);
        for node in [controller, to] {
            self.enqueue_job(node, self.script.processor.answer.0, JobKind::Other);
        }
        self.free_circuits(leg_id);
        if let Some(transit_call_id) = transit_call_id {
            self.release_transit(to, transit_call_id);
        }
    }

    /// Returns the standing legs on a trunk group.
    pub(super) fn standing_legs_between(&self, a: usize, b: usize) -> Vec<u64> {
        let on_group = |leg: &Leg| {
            leg.state == LegState::Stands && (leg.controller, leg.target_node) == (a, b)
                || (leg.controller, leg.target_node) == (b, a)
        };
        self.legs
            .iter()
            .filter(|(_, leg)| on_group(leg) && leg.state == LegState::Stands)
            .map(|(id, _)| *id)
            .collect()
    }

    /// Stops a node's processor: queued work is lost and calls are cut. Open connections are closed, or silenced if
    /// connecting now times out.
    pub(super) fn stop_node(&mut self, node: usize, connect_outcome: ConnectOutcome) {
        self.suspend_current_job(node);
        let processor = &mut self.processors[node];
        processor.alive = false;
        processor.queued_work = 0.0;
        processor.recent_cold_set_ups.clear();
        for job_id in std::mem::take(&mut processor.queue) {
            self.jobs.remove(&job_id);
        }
        let machine = self.machine_of_node[node];
        self.machines[machine].connect_outcome = connect_outcome;
        let affected_legs: Vec<u64> = self
            .legs
            .iter()
            .filter(|(_, leg)| leg.controller == node || leg.target_node == node)
            .map(|(id, _)| *id)
            .collect();
        for leg_id in affected_legs {
            match self.legs.get(&leg_id).map(|leg| (leg.state, leg.controller)) {
                Some((LegState::Stands, _)) => self.cut_call(leg_id),
                Some((LegState::SettingUp, origin)) if origin == node => self.respond(leg_id, 504, ""),
                _ => {}
            }
        }
        let connections: Vec<SimConnectionId> = self.machines[machine].all_connections().collect();
        for connection_id in connections {
            if connect_outcome == ConnectOutcome::TimesOut {
                if let Some(connection) = self.connections.get_mut(&connection_id) {
                    connection.silenced = true;
                }
            } else {
                self.close_connection(connection_id);
            }
        }
    }

    /// Returns the controllers' open connections to a node.
    pub(super) fn connections_to(&self, node: usize) -> Vec<SimConnectionId> {
        self.machines[self.machine_of_node[node]].all_connections().collect()
    }
}
