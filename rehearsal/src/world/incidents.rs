//! Carries out the events of a script. Each leaves its mark where it strikes and takes it away at its end, so
//! that events may overlap in any order: factors multiply, and what stops something stops it until its own end.

use std::collections::BTreeSet;

use pitchgw::interface::Nanos;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use super::nodes::Machine;
use super::{seconds_to_nanos, Act, Due, Reach, Signal, World, MS};
use crate::script::{EventKind, Script, ScriptEvent, DEFAULT_DOWN_SECONDS, DEFAULT_DRAIN_SECONDS};

/// Further signals come so long after SIGTERM, by turns SIGTERM, SIGINT and SIGHUP.
const MORE_SIGNALS: [(Nanos, Signal); 3] =
    [(100 * MS, Signal::Terminate), (650 * MS, Signal::Reload), (900 * MS, Signal::Interrupt)];

/// A moment in the course of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    Begin,
    /// What was announced comes to pass.
    Stop,
    /// What was stopped starts again.
    Start,
    /// A pause is over.
    Move,
    End,
}

/// The nodes that each event strikes.
pub(super) fn struck(script: &Script, mut rng: ChaCha8Rng) -> Vec<Vec<usize>> {
    let all: Vec<usize> = (0..script.nodes as usize).collect();
    let mut draw = |event: &ScriptEvent| -> Vec<usize> {
        if let Some(names) = &event.nodes {
            return all.iter().copied().filter(|n| names.contains(&format!("n{n}"))).collect();
        }
        if let Some(names) = &event.regions {
            let inside = |n: &usize| names.contains(&script.regions[script.region(*n)]);
            return all.iter().copied().filter(inside).collect();
        }
        let Some(share) = event.share else { return all.clone() };
        let mut drawn = all.clone();
        drawn.shuffle(&mut rng);
        drawn.truncate(((all.len() as f64 * share.0).round() as usize).max(1));
        drawn.sort_unstable();
        drawn
    };
    script.events.iter().map(&mut draw).collect()
}

impl World {
    pub(super) fn schedule_events(&mut self) {
        for (number, event) in self.script.events.clone().into_iter().enumerate() {
            let at = self.base + seconds_to_nanos(event.at.0);
            if at >= self.offers_until {
                continue; // the short form ends before
            }
            let stagger = seconds_to_nanos(event.stagger.map_or(0.0, |s| s.0));
            let nodes = match event.kind {
                EventKind::LoseCircuits | EventKind::IgnoreAdvice => vec![0],
                _ => self.struck[number].clone(),
            };
            for (i, node) in nodes.into_iter().enumerate() {
                self.at(at + stagger * i as Nanos, Due::Event(number, node, Phase::Begin));
                if let Some(lasts) = event.lasts {
                    self.at(at + seconds_to_nanos(lasts.0), Due::Event(number, node, Phase::End));
                }
            }
        }
    }

    pub(super) fn event(&mut self, number: usize, node: usize, phase: Phase) {
        let event = self.script.events[number].clone();
        let span = |s: Option<crate::script::Seconds>, usual| seconds_to_nanos(s.map_or(usual, |s| s.0));
        match (event.kind, phase) {
            (EventKind::RestartCold, Phase::Begin) => {
                if self.nodes[node].alive {
                    self.stop_node(node, Reach::Refused);
                    self.later(
                        span(event.down, DEFAULT_DOWN_SECONDS),
                        Due::Event(number, node, Phase::Start),
                    );
                }
            }
            (EventKind::RestartCold, _) => {
                let machine = self.serving[node];
                self.start_node(node, machine);
            }
            // What does not run has nothing to drain.
            (EventKind::Replace | EventKind::Drain, Phase::Begin) if !self.nodes[node].alive => {}
            (EventKind::Replace | EventKind::Drain, Phase::Begin) => {
                let (machine, late) = (self.serving[node], self.script.journal.notice);
                self.tell_journals(machine, "DRAINING", late);
                self.later(span(event.drain, DEFAULT_DRAIN_SECONDS), Due::Event(number, node, Phase::Stop));
            }
            (EventKind::Replace | EventKind::Drain, Phase::Stop) => {
                let (machine, late) = (self.serving[node], self.script.journal.notice);
                self.stop_node(node, Reach::Refused);
                self.tell_journals(machine, "DELETED", late);
                if event.kind == EventKind::Replace {
                    self.later(
                        span(event.down, DEFAULT_DOWN_SECONDS),
                        Due::Event(number, node, Phase::Start),
                    );
                }
            }
            (EventKind::Drain | EventKind::Vanish, Phase::End) => self.new_machine(node, false),
            (EventKind::Replace | EventKind::Drain, _) => {
                self.new_machine(node, event.same_address == Some(true))
            }
            (EventKind::Vanish, _) => {
                if self.nodes[node].alive {
                    let (machine, late) = (self.serving[node], self.script.journal.silent);
                    self.stop_node(node, Reach::Never);
                    self.tell_journals(machine, "DELETED", late);
                }
            }
            (EventKind::Hang, _) => {
                self.book_work(node);
                let hung = &mut self.nodes[node].hung;
                *hung = if phase == Phase::Begin { *hung + 1 } else { hung.saturating_sub(1) };
                self.work_on(node);
            }
            (EventKind::Pauses, _) => self.pauses(number, node, phase, &event),
            (EventKind::Slow, _) => {
                self.book_work(node);
                match (phase, event.factor) {
                    (Phase::Begin, Some(factor)) => self.nodes[node].slow.insert(number, factor.0),
                    _ => self.nodes[node].slow.remove(&number),
                };
                self.work_on(node);
            }
            (EventKind::LoseCircuits, _) => self.circuits(),
            (EventKind::SilentConnections, _) => {
                for wire in self.wires_to(node) {
                    if let Some(w) = self.wires.get_mut(&wire) {
                        w.mute = true;
                    }
                }
            }
            (EventKind::ResetConnections, _) => {
                self.wires_to(node).into_iter().for_each(|wire| self.hang_up(wire));
            }
            (EventKind::JournalBroken, Phase::Begin) => {
                self.services[node].broken += 1;
                self.journal_breaks(node);
            }
            (EventKind::JournalBroken, _) => {
                self.services[node].broken -= 1;
                self.journal_back(node);
            }
            (EventKind::JournalSilent, Phase::Begin) => self.services[node].silent += 1,
            (EventKind::JournalSilent, _) => {
                self.services[node].silent -= 1;
                self.journal_back(node);
            }
            (EventKind::ControllerKilled, Phase::Begin) => {
                if self.running[node] {
                    self.kill(node);
                    self.later(
                        span(event.down, DEFAULT_DOWN_SECONDS),
                        Due::Event(number, node, Phase::Start),
                    );
                }
            }
            (EventKind::ControllerKilled, _) if self.running[node] => {}
            (EventKind::ControllerKilled, _) => self.start_controller(node),
            (EventKind::ControllerRestarted, Phase::Begin) => {
                self.terminate(node);
                for (after, _) in MORE_SIGNALS {
                    self.later(after, Due::Event(number, node, Phase::Move));
                }
                self.later(self.kill_after(), Due::Event(number, node, Phase::Stop));
            }
            (EventKind::ControllerRestarted, Phase::Move) => self.signal_again(node),
            (EventKind::ControllerRestarted, _) => self.kill_terminated(node),
            (EventKind::ControllerReloaded, _) => {
                if self.running[node] {
                    self.acts.push_back(Act::Signal(node, Signal::Reload));
                }
            }
            (EventKind::CutOff, Phase::Begin) => {
                self.cut_off[node] += 1;
                self.hold_wires(node);
            }
            (EventKind::CutOff, _) => {
                self.cut_off[node] -= 1;
                self.release_wires(node);
            }
            (EventKind::NoNewConnections, Phase::Begin) => self.unreachable[node] += 1,
            (EventKind::NoNewConnections, _) => self.unreachable[node] -= 1,
            (EventKind::JournalSlow, Phase::Begin) => {
                let takes = event.length.map_or(0.0, |length| length.0);
                self.services[node].slow.insert(number, takes);
            }
            (EventKind::JournalSlow, _) => {
                self.services[node].slow.remove(&number);
            }
            (EventKind::SpoiltAnswers, Phase::Begin) => self.spoils[node] += 1,
            (EventKind::SpoiltAnswers, _) => self.spoils[node] -= 1,
            (EventKind::BadCallers, Phase::Begin) => self.bad_caller(number, node),
            (EventKind::BadCallers, _) => {}
            (EventKind::Demand, _) => {
                let demand = &mut self.callers.demand[node];
                match (phase, event.times) {
                    (Phase::Begin, Some(times)) => demand.insert(number, times.0),
                    _ => demand.remove(&number),
                };
            }
            (EventKind::IgnoreAdvice, _) => {
                let ignoring = &mut self.callers.ignoring;
                *ignoring = if phase == Phase::Begin { *ignoring + 1 } else { ignoring.saturating_sub(1) };
            }
        }
    }

    /// A controller that was told to end gets a further signal.
    fn signal_again(&mut self, node: usize) {
        let Some(at) = self.terminated[node].filter(|_| self.running[node]) else { return };
        let latest = MORE_SIGNALS.iter().rev().find(|(after, _)| self.now >= at + after);
        if let Some((_, signal)) = latest {
            self.acts.push_back(Act::Signal(node, *signal));
        }
    }

    /// The network to a node is cut: what passes on open connections waits for the end of the cut.
    fn hold_wires(&mut self, node: usize) {
        for wire in self.wires_to(node) {
            if let Some(w) = self.wires.get_mut(&wire) {
                w.held.get_or_insert_with(Default::default);
            }
        }
    }

    /// The cut is over: what waited passes.
    fn release_wires(&mut self, node: usize) {
        if self.cut_off[node] > 0 {
            return;
        }
        for wire in self.wires_to(node) {
            let Some(held) = self.wires.get_mut(&wire).and_then(|w| w.held.take()) else { continue };
            self.received(self.now, wire, &held.from_controller);
            self.send(wire, &held.to_controller);
        }
        self.say_what_was_unsaid(self.serving[node]);
    }

    fn pauses(&mut self, number: usize, node: usize, phase: Phase, event: &ScriptEvent) {
        let Some((every, length)) = event.every.zip(event.length) else { return };
        match phase {
            Phase::Begin if self.seconds() < event.end_seconds() => {
                self.book_work(node);
                self.nodes[node].paused += 1;
                self.later(seconds_to_nanos(length.0), Due::Event(number, node, Phase::Move));
                self.later(seconds_to_nanos(every.0), Due::Event(number, node, Phase::Begin));
            }
            Phase::Move => {
                self.nodes[node].paused = self.nodes[node].paused.saturating_sub(1);
                self.work_on(node);
            }
            _ => {}
        }
    }

    fn start_node(&mut self, node: usize, machine: usize) {
        let n = &mut self.nodes[node];
        if n.alive || n.fallen && self.serving[node] == machine {
            return; // it runs, or was pushed over and stays down
        }
        (n.alive, n.fallen, n.cold_since) = (true, false, Some(self.now));
        self.serving[node] = machine;
        let m = &mut self.machines[machine];
        (m.reach, m.boot) = (Reach::Up, Some(self.now));
        self.auditor.machine_started(self.now, machine);
        let late = self.script.journal.start;
        self.tell_journals(machine, "SERVING", late);
        self.work_on(node);
    }

    /// Another machine takes a node's place.
    fn new_machine(&mut self, node: usize, same_address: bool) {
        if self.nodes[node].alive {
            return;
        }
        let number = self.machines.len();
        let address_of = if same_address { self.machines[self.serving[node]].address_of } else { number };
        self.machines.push(Machine::new(number, node, address_of, Some(self.now)));
        self.start_node(node, number);
    }

    /// Circuits that are left after all losses that hold now; the shares of several multiply.
    fn circuits(&mut self) {
        let now = self.seconds();
        let holds = |e: &ScriptEvent| {
            e.kind == EventKind::LoseCircuits && e.at.0 <= now && now < e.end_seconds() - 1e-9
        };
        let losses = self.script.events.iter().zip(&self.struck);
        let losses: Vec<(f64, BTreeSet<usize>)> = losses
            .filter(|(e, _)| holds(e))
            .map(|(e, nodes)| (e.kept.map_or(1.0, |k| k.0), nodes.iter().copied().collect()))
            .collect();
        let nodes = self.nodes.len();
        for a in 0..nodes {
            for b in a + 1..nodes {
                let hit = |s: &BTreeSet<usize>| s.len() == nodes || s.contains(&a) != s.contains(&b);
                let share: f64 = losses.iter().filter(|(_, s)| hit(s)).map(|(kept, _)| kept).product();
                let before = self.network.group(a, b).kept;
                let over = self.network.keep(a, b, share);
                if over > 0 {
                    let mut legs = self.standing_between(a, b);
                    legs.shuffle(&mut self.rng);
                    for leg in legs {
                        let group = self.network.group(a, b);
                        if group.used <= group.kept {
                            break;
                        }
                        self.cut(leg);
                    }
                }
                if self.network.group(a, b).kept != before {
                    self.tell_group(a, b);
                    self.tell_group(b, a);
                }
            }
        }
    }
}
