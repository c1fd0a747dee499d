//! Results nodes: the machines that bear them, and the legs of calls that pass through.

use std::collections::BTreeMap;

use dillhold::codec::sip::{self, Message, StartLine};
use dillhold::session::ReadBuffer;
use pitchgw::interface::Nanos;
use rand::Rng;

use super::callers::Owner;
use super::processor::What;
use super::{seconds_to_nanos, Due, Party, Reach, WireId, World, MS};
use crate::audit::Observation;

/// A leg that is over is known for so long.
const FORGOTTEN_AFTER: Nanos = 5_000 * MS;

/// Share of the answers that a node spoils, or gives twice, while it does so at all.
const SPOILT: f64 = 0.3;
/// A second copy of an answer comes so much later.
const SECOND_COPY: Nanos = 5 * MS;

/// A machine that bears, or bore, a node.
pub(super) struct Machine {
    pub node: usize,
    pub uid: String,
    /// When it started; `None`: long ago.
    pub boot: Option<Nanos>,
    pub reach: Reach,
    /// The machine whose address it has, itself or an earlier one.
    pub address_of: usize,
    /// Connections from each controller.
    wires: BTreeMap<usize, Vec<WireId>>,
    /// Releases for a controller that has no connection.
    unsaid: BTreeMap<usize, Vec<(u64, u8)>>,
    /// Releases that were said and not answered yet, by call: the wire and the cause.
    unanswered: BTreeMap<u64, (WireId, u8)>,
}

impl Machine {
    pub fn first(node: usize) -> Machine {
        Machine::new(node, node, node, None)
    }

    pub fn new(number: usize, node: usize, address_of: usize, boot: Option<Nanos>) -> Machine {
        Machine {
            node,
            uid: format!("s-{number:08x}"),
            boot,
            reach: Reach::Up,
            address_of,
            wires: BTreeMap::new(),
            unsaid: BTreeMap::new(),
            unanswered: BTreeMap::new(),
        }
    }
}

/// How far a leg has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    Setting,
    Stands,
    Over,
}

/// A set-up from a controller to a machine, and the call that stands by it.
pub(super) struct Leg {
    pub call: u64,
    pub controller: usize,
    pub machine: usize,
    pub to: usize,
    pub state: State,
    destination: usize,
    class: usize,
    width: u32,
    wire: WireId,
    sequence: u32,
    number: String,
    description: Vec<u8>,
    pub answer: Vec<u8>,
    until: Nanos,
    seized: bool,
    /// Its set-up has been worked on where it was for.
    reached: bool,
    pub parent: Option<u64>,
    /// The call in transit that it became, and the newest leg of that.
    transit: Option<u64>,
    child: Option<u64>,
    refused_by: &'static str,
}

fn say(
    out: &mut Vec<u8>,
    line: std::fmt::Arguments<'_>,
    id: u64,
    sequence: (u32, &str),
    further: &str,
    body: &[u8],
) {
    sip::write(out, line, format!("{id:016x}").as_bytes(), sequence, format_args!("{further}"), body);
}

impl World {
    pub(super) fn delay(&mut self, a: usize, b: usize) -> Nanos {
        self.network.delay(&self.script, &mut self.rng, a, b)
    }

    // -----------------------------------------------------------------------------------------------------
    // What controllers say
    // -----------------------------------------------------------------------------------------------------

    /// The machine that has an address now.
    pub(super) fn bears(&self, address_of: usize) -> usize {
        let borne = self.machines.iter().rposition(|m| m.address_of == address_of);
        borne.unwrap_or(address_of)
    }

    pub(super) fn machine_connected(&mut self, controller: usize, address_of: usize, wire: WireId) {
        let machine = self.bears(address_of);
        if let Some(w) = self.wires.get_mut(&wire) {
            w.party = Party::Machine(machine);
        }
        let m = &mut self.machines[machine];
        m.wires.entry(controller).or_default().push(wire);
        let unsaid = m.unsaid.remove(&controller).unwrap_or_default();
        let node = m.node;
        self.tell_group(controller, node);
        for (id, cause) in unsaid {
            self.say_release(controller, machine, id, cause);
        }
    }

    pub(super) fn machine_wire_gone(&mut self, controller: usize, machine: usize, wire: WireId) {
        if let Some(wires) = self.machines[machine].wires.get_mut(&controller) {
            wires.retain(|w| *w != wire);
        }
        // A release that may not have arrived is said again on another connection, or on the next one.
        let mut lost: Vec<(u64, u8)> = Vec::new();
        self.machines[machine].unanswered.retain(|id, (on, cause)| {
            if *on == wire {
                lost.push((*id, *cause));
            }
            *on != wire
        });
        if self.machines[machine].reach == Reach::Up {
            for (id, cause) in lost {
                self.say_release(controller, machine, id, cause);
            }
        }
        // What was said of an attempt on a silent connection, its end included, was not heard.
        let on: Vec<u64> = self.legs.iter().filter(|(_, l)| l.wire == wire).map(|(id, _)| *id).collect();
        for leg in on {
            self.auditor.observe(
                self.now,
                Observation::AttemptConnectionLost { controller, id: self.legs[&leg].call },
            );
            if self.legs[&leg].state == State::Setting {
                self.call_off(leg);
            }
        }
    }

    /// Takes in what a controller says to a machine; false: it cannot be read.
    pub(super) fn machine_hears(
        &mut self,
        controller: usize,
        machine: usize,
        wire: WireId,
        inbox: &mut ReadBuffer,
    ) -> bool {
        loop {
            let (message, taken) = match sip::parse(inbox.unread()) {
                Err(_) => return false,
                Ok(None) => return true,
                Ok(Some(found)) => found,
            };
            let Some((id, (sequence, _))) = message.call_id().zip(message.cseq()) else { return false };
            let mut out = Vec::new();
            match message.start_line {
                StartLine::Request(b"INVITE") => {
                    self.invited(controller, machine, wire, (id, sequence), &message);
                }
                StartLine::Request(b"CANCEL") => {
                    self.auditor.observe(self.now, Observation::CancelToNode { controller, id });
                    say(&mut out, format_args!("SIP/2.0 200 OK"), id, (sequence, "CANCEL"), "", b"");
                    self.send(wire, &out);
                    let leg = self.leg_of.get(&(controller, id)).copied();
                    let open = |l: &u64| self.legs.get(l).is_some_and(|l| l.state == State::Setting);
                    if let Some(leg) = leg.filter(open) {
                        self.call_off(leg);
                    }
                }
                StartLine::Request(b"BYE") => {
                    self.auditor.observe(self.now, Observation::ByeFromController { controller, id });
                    say(&mut out, format_args!("SIP/2.0 200 OK"), id, (sequence, "BYE"), "", b"");
                    self.send(wire, &out);
                    self.released_by_controller(controller, id);
                }
                StartLine::Response(_) => {
                    self.machines[machine].unanswered.remove(&id);
                }
                _ => {}
            }
            inbox.consume(taken);
        }
    }

    fn invited(
        &mut self,
        controller: usize,
        machine: usize,
        wire: WireId,
        (call, sequence): (u64, u32),
        message: &Message<'_>,
    ) {
        let text = |name| String::from_utf8_lossy(message.header(name).unwrap_or_default()).into_owned();
        let node = self.machines[machine].node;
        let number = message.uri().and_then(|u| u.strip_prefix(b"sip:")?.strip_suffix(b"@net"));
        let number = String::from_utf8_lossy(number.unwrap_or_default()).into_owned();
        let (class, wait) = (text("X-Service"), text("X-Setup-Ms").parse::<u64>().unwrap_or(0) * MS);
        let seen = Observation::InviteToNode {
            controller,
            node,
            machine,
            id: call,
            class: &class,
            number: &number,
            description: message.body,
        };
        self.auditor.observe(self.now, seen);
        let Some(side) = self.callers.sides.get(&(controller, call)) else { return };
        let (owner, destination, class) = (side.owner, side.destination, side.class);
        let id = self.next_leg;
        self.next_leg += 1;
        let parent = match owner {
            Owner::Transit(parent) => Some(parent),
            Owner::Caller(_) => None,
        };
        let width = self.script.classes[class].width;
        let leg = Leg {
            call,
            controller,
            machine,
            to: node,
            state: State::Setting,
            destination,
            class,
            width,
            wire,
            sequence,
            number,
            description: message.body.to_vec(),
            answer: Vec::new(),
            until: self.now + wait,
            seized: false,
            reached: false,
            parent,
            transit: None,
            child: None,
            refused_by: "",
        };
        self.legs.insert(id, leg);
        self.leg_of.insert((controller, call), id);
        if let Some(parent) = parent.and_then(|p| self.legs.get_mut(&p)) {
            parent.child = Some(id);
        }
        if !self.nodes[controller].alive {
            return self.respond(id, 480, "overload");
        }
        if node != destination && !self.script.groups.transit {
            return self.respond(id, 503, "turned_back");
        }
        if node == controller || self.network.group(controller, node).free() < width {
            return self.respond(id, 480, "no_circuit");
        }
        self.network.group_mut(controller, node).used += width;
        if let Some(leg) = self.legs.get_mut(&id) {
            leg.seized = true;
        }
        self.tell_groups(controller, node);
        if self.full(controller) {
            return self.respond(id, 503, "overload");
        }
        self.job(controller, 1.0, What::OwnSetUp(id));
        let after = seconds_to_nanos(self.script.processor.repeat_after.0);
        if after > 0 {
            self.later(after, Due::Repeat(id, 2 * after));
        }
    }

    /// A set-up that waits is sent again by the network, and each repeat is work where it waits.
    pub(super) fn repeat(&mut self, leg: u64, gap: Nanos) {
        let Some(l) = self.legs.get(&leg).filter(|l| l.state == State::Setting && !l.reached) else { return };
        if self.now >= l.until {
            return;
        }
        let to = l.to;
        self.job(to, self.script.processor.repeat.0, What::Other);
        self.later(gap, Due::Repeat(leg, 2 * gap));
    }

    pub(super) fn reached(&mut self, leg: u64) {
        if let Some(l) = self.legs.get_mut(&leg) {
            l.reached = true;
        }
    }

    // -----------------------------------------------------------------------------------------------------
    // A set-up on its way
    // -----------------------------------------------------------------------------------------------------

    pub(super) fn leg_arrives(&mut self, leg: u64) {
        let Some(l) = self.legs.get(&leg).filter(|l| l.state == State::Setting) else { return };
        let (to, from, machine) = (l.to, l.controller, l.machine);
        if !self.nodes[to].alive || self.serving[to] != machine && self.machines[machine].reach != Reach::Up {
            return; // lost
        }
        if self.cold_set_up(to, from) {
            return self.fall_over(to);
        }
        if self.full(to) {
            let delay = self.delay(to, from);
            return self.later(delay, Due::Refused(leg, "overload", 503));
        }
        let l = &self.legs[&leg];
        if l.destination == to {
            self.job(to, 1.0, What::FarSetUp(leg));
        } else {
            self.job(to, self.script.processor.look.0, What::Transit(leg));
        }
    }

    fn fall_over(&mut self, node: usize) {
        let machine = self.serving[node];
        let from: Vec<usize> = self.nodes[node].lately.iter().map(|(_, c)| *c).collect();
        self.auditor.cold_processor_crashed(self.now, machine, node, &from);
        self.nodes[node].fallen = true;
        self.stop_node(node, Reach::Refused);
        let late = self.script.journal.silent;
        self.tell_journals(machine, "DELETED", late);
    }

    /// A call in transit: the node's own controller gets it.
    pub(super) fn hand_over(&mut self, leg: u64) {
        let l = &self.legs[&leg];
        let (node, until) = (l.to, l.until);
        if !self.running[node] || !self.takes_callers(node) || self.now >= until {
            return self.turn_back(leg);
        }
        let id = self.rng.random::<u64>().max(1);
        let l = self.legs.get_mut(&leg).expect("known above");
        (l.transit, l.reached) = (Some(id), true);
        let l = &self.legs[&leg];
        let figures = format!("dest:{};width:{};via:{};transit:1", l.destination, l.width, l.controller);
        let (number, description) = (l.number.clone(), l.description.clone());
        let what = (l.class, l.destination, until - self.now);
        self.offer(node, id, Owner::Transit(leg), what, &number, &figures, &description);
    }

    fn turn_back(&mut self, leg: u64) {
        self.later(0, Due::Refused(leg, "turned_back", 503));
    }

    /// The controller of a tandem has answered the call in transit.
    pub(super) fn child_answered(&mut self, leg: u64, description: &[u8]) {
        let Some(l) = self.legs.get_mut(&leg).filter(|l| l.state == State::Setting) else { return };
        l.answer = description.to_vec();
        let (a, b) = (l.to, l.controller);
        let delay = self.delay(a, b);
        self.later(delay, Due::Answered(leg));
    }

    /// It has refused it: the call goes back.
    pub(super) fn child_refused(&mut self, leg: u64) {
        let Some(l) = self.legs.get(&leg) else { return };
        let full = l.child.and_then(|c| self.legs.get(&c)).is_some_and(|c| c.refused_by == "overload");
        let (a, b) = (l.to, l.controller);
        let delay = self.delay(a, b);
        self.later(delay, Due::Refused(leg, if full { "far_overload" } else { "turned_back" }, 503));
    }

    /// It has died: the set-up broke on its way.
    pub(super) fn child_broke(&mut self, leg: u64) {
        if let Some(l) = self.legs.get(&leg) {
            let (a, b) = (l.to, l.controller);
            let delay = self.delay(a, b);
            self.later(delay, Due::Refused(leg, "", 504));
        }
    }

    pub(super) fn leg_refused(&mut self, leg: u64, cause: &'static str, code: u16) {
        if self.legs.get(&leg).is_some_and(|l| l.state == State::Setting) {
            self.respond(leg, code, cause);
        }
    }

    pub(super) fn answer_comes_back(&mut self, leg: u64) {
        let Some(l) = self.legs.get(&leg).filter(|l| l.state == State::Setting) else { return };
        let own = l.controller;
        self.job(own, self.script.processor.answer.0, What::OwnAnswer(leg));
    }

    /// The final response to a set-up that does not stand.
    fn respond(&mut self, leg: u64, code: u16, cause: &'static str) {
        let Some(l) = self.legs.get_mut(&leg) else { return };
        (l.state, l.refused_by) = (State::Over, cause);
        let (wire, call, sequence, controller) = (l.wire, l.call, l.sequence, l.controller);
        if self.arrives(wire) {
            self.auditor.observe(
                self.now,
                Observation::ResponseFromNode { controller, id: call, code, cause, description: b"" },
            );
        }
        let mut out = Vec::new();
        let further = if cause.is_empty() { String::new() } else { format!("X-Cause: {cause}\r\n") };
        say(&mut out, format_args!("SIP/2.0 {code} No"), call, (sequence, "INVITE"), &further, b"");
        self.send(wire, &out);
        self.free_circuits(leg);
    }

    pub(super) fn stands(&mut self, leg: u64) {
        let Some(l) = self.legs.get_mut(&leg).filter(|l| l.state == State::Setting) else { return };
        l.state = State::Stands;
        let (wire, call, sequence, controller) = (l.wire, l.call, l.sequence, l.controller);
        let answer = std::mem::take(&mut l.answer);
        let mut out = Vec::new();
        say(&mut out, format_args!("SIP/2.0 200 OK"), call, (sequence, "INVITE"), "", &answer);
        let spoilt = self.spoils[self.legs[&leg].to] > 0 && self.rng.random_bool(SPOILT);
        if spoilt && self.rng.random_bool(0.5) {
            // It has run; what is left of it is nobody's.
            out.truncate(out.len() / 2);
            self.send(wire, &out);
            return self.call_off(leg);
        }
        let seen = Observation::ResponseFromNode {
            controller,
            id: call,
            code: 200,
            cause: "",
            description: &answer,
        };
        if self.arrives(wire) {
            self.auditor.observe(self.now, seen);
        }
        self.send(wire, &out);
        if spoilt {
            self.later(SECOND_COPY, Due::Bytes(wire, out));
        }
    }

    /// A set-up is given up: it is called off where it is, and its circuits are free a little later.
    fn call_off(&mut self, leg: u64) {
        let Some(l) = self.legs.get_mut(&leg) else { return };
        l.state = State::Over;
        let (a, b) = (l.controller, l.to);
        let delay = self.delay(a, b);
        self.later(delay, Due::Cancelled(leg));
        self.later(seconds_to_nanos(self.script.groups.frees_after.0), Due::Freed(leg));
    }

    pub(super) fn cancel_arrives(&mut self, leg: u64) {
        let Some((node, Some(id))) = self.legs.get(&leg).map(|l| (l.to, l.transit)) else { return };
        self.release_transit(node, id);
    }

    // -----------------------------------------------------------------------------------------------------
    // Circuits and ends
    // -----------------------------------------------------------------------------------------------------

    pub(super) fn free_circuits(&mut self, leg: u64) {
        let Some(l) = self.legs.get_mut(&leg) else { return };
        if l.seized {
            l.seized = false;
            let (a, b, width) = (l.controller, l.to, l.width);
            let group = self.network.group_mut(a, b);
            group.used = group.used.saturating_sub(width);
            self.tell_groups(a, b);
        }
        // What crosses its end on the way still finds it.
        if self.legs[&leg].state == State::Over {
            self.later(FORGOTTEN_AFTER, Due::Forget(leg));
        }
    }

    fn tell_groups(&mut self, a: usize, b: usize) {
        self.tell_group(a, b);
        self.tell_group(b, a);
    }

    /// Tells a controller the state of its group to a node.
    pub(super) fn tell_group(&mut self, controller: usize, node: usize) {
        let machine = self.serving[node];
        let Some(wire) = self.machines[machine].wires.get(&controller).and_then(|w| w.last()).copied() else {
            return;
        };
        let group = self.network.group(controller, node);
        let further = format!("X-Group: spare:{};total:{}\r\n", group.free(), group.size);
        let mut out = Vec::new();
        say(&mut out, format_args!("NOTIFY sip:group@net SIP/2.0"), 0, (1, "NOTIFY"), &further, b"");
        self.send(wire, &out);
    }

    /// Says the releases that a machine could not say while it was cut off.
    pub(super) fn say_what_was_unsaid(&mut self, machine: usize) {
        for (controller, unsaid) in std::mem::take(&mut self.machines[machine].unsaid) {
            for (id, cause) in unsaid {
                self.say_release(controller, machine, id, cause);
            }
        }
    }

    fn say_release(&mut self, controller: usize, machine: usize, id: u64, cause: u8) {
        let wires = self.machines[machine].wires.get(&controller).map_or(&[][..], |w| w);
        let set_up_on = self.leg_of.get(&(controller, id)).and_then(|leg| self.legs.get(leg)).map(|l| l.wire);
        // The connection of its set-up, or else any open one.
        let own = wires.iter().find(|w| Some(**w) == set_up_on).or(wires.last()).copied();
        let Some(wire) = own.filter(|w| self.passes(*w)) else {
            let m = &mut self.machines[machine];
            return m.unsaid.entry(controller).or_default().push((id, cause));
        };
        self.machines[machine].unanswered.insert(id, (wire, cause));
        self.auditor.observe(self.now, Observation::ByeFromNode { controller, id, cause });
        let further = format!("Reason: Q.850;cause={cause}\r\n");
        let mut out = Vec::new();
        say(&mut out, format_args!("BYE sip:call@net SIP/2.0"), id, (2, "BYE"), &further, b"");
        self.send(wire, &out);
    }

    fn root(&self, mut leg: u64) -> u64 {
        while let Some(parent) = self.legs.get(&leg).and_then(|l| l.parent) {
            leg = parent;
        }
        leg
    }

    /// A call that stands ends: all its legs are released, from one end to the other.
    pub(super) fn release_chain(&mut self, leg: u64, cause: u8) {
        let mut next = Some(self.root(leg));
        while let Some(id) = next {
            let Some(l) = self.legs.get_mut(&id) else { return };
            next = l.child;
            if l.state != State::Stands {
                if l.state == State::Setting {
                    self.call_off(id);
                }
                continue;
            }
            l.state = State::Over;
            let (own, to, machine, call, transit) = (l.controller, l.to, l.machine, l.call, l.transit);
            if let Some(transit) = transit {
                self.callers.sides.remove(&(to, transit));
            }
            for node in [own, to] {
                self.job(node, self.script.processor.answer.0, What::Other);
            }
            if self.machines[machine].reach == Reach::Up {
                self.say_release(own, machine, call, cause);
            }
            self.auditor.observe(self.now, Observation::CallEndedAtNode { controller: own, id: call });
            self.free_circuits(id);
        }
    }

    /// A call that stands is cut.
    pub(super) fn cut(&mut self, leg: u64) {
        let root = self.root(leg);
        let Some(l) = self.legs.get(&root) else { return };
        let side = (l.controller, l.call);
        self.release_chain(root, 41);
        if let Some(Owner::Caller(intent)) = self.callers.sides.get(&side).map(|s| s.owner) {
            if self.intents.get(&intent).is_some_and(|i| i.stood.is_some()) {
                self.call_cut(intent);
            }
        }
    }

    fn released_by_controller(&mut self, controller: usize, id: u64) {
        let Some(leg) = self.leg_of.get(&(controller, id)).copied() else { return };
        let Some(l) = self.legs.get_mut(&leg).filter(|l| l.state == State::Stands) else { return };
        l.state = State::Over;
        let (to, transit) = (l.to, l.transit);
        for node in [controller, to] {
            self.job(node, self.script.processor.answer.0, What::Other);
        }
        self.free_circuits(leg);
        if let Some(transit) = transit {
            self.release_transit(to, transit);
        }
    }

    /// Legs on a group that stand.
    pub(super) fn standing_between(&self, a: usize, b: usize) -> Vec<u64> {
        let here = |l: &Leg| {
            l.state == State::Stands && (l.controller, l.to) == (a, b) || (l.controller, l.to) == (b, a)
        };
        self.legs.iter().filter(|(_, l)| here(l) && l.state == State::Stands).map(|(id, _)| *id).collect()
    }

    /// A node's processor stops: its work is lost, its calls are cut, its connections end as `reach` says.
    pub(super) fn stop_node(&mut self, node: usize, reach: Reach) {
        self.book_work(node);
        let n = &mut self.nodes[node];
        n.alive = false;
        n.pending = 0.0;
        n.lately.clear();
        for job in std::mem::take(&mut n.line) {
            self.jobs.remove(&job);
        }
        let machine = self.serving[node];
        self.machines[machine].reach = reach;
        let touched: Vec<u64> = self
            .legs
            .iter()
            .filter(|(_, l)| l.controller == node || l.to == node)
            .map(|(id, _)| *id)
            .collect();
        for leg in touched {
            match self.legs.get(&leg).map(|l| (l.state, l.controller)) {
                Some((State::Stands, _)) => self.cut(leg),
                Some((State::Setting, own)) if own == node => self.respond(leg, 504, ""),
                _ => {}
            }
        }
        let wires: Vec<WireId> = self.machines[machine].wires.values().flatten().copied().collect();
        for wire in wires {
            if reach == Reach::Never {
                if let Some(w) = self.wires.get_mut(&wire) {
                    w.mute = true;
                }
            } else {
                self.hang_up(wire);
            }
        }
    }

    /// Open connections of controllers to a node.
    pub(super) fn wires_to(&self, node: usize) -> Vec<WireId> {
        self.machines[self.serving[node]].wires.values().flatten().copied().collect()
    }
}
