//! Fault injection: runs the events of a script.
//!
//! Each event adds its effect to the state of the nodes it affects and removes it at its end, so that events may
//! overlap in any order: factors multiply, and a node that several events stop runs only after the last has ended.

use std::collections::BTreeSet;

use pitchgw::interface::Nanos;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use super::nodes::Machine;
use super::{seconds_to_nanos, Action, ConnectOutcome, Event, Signal, World, MS, SEC};
use crate::script::{EventKind, Script, ScriptEvent, DEFAULT_DOWN_SECONDS, DEFAULT_DRAIN_SECONDS};

/// Further signals sent to a terminating controller, with their time after the first SIGTERM.
const REPEATED_SIGNALS: [(Nanos, Signal); 3] =
    [(100 * MS, Signal::Terminate), (650 * MS, Signal::Reload), (900 * MS, Signal::Interrupt)];

/// A controller gets no SIGHUP earlier after its start.
const MIN_AGE_AT_RELOAD: Nanos = SEC;

/// Phase of a script event at one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    Begin,
    /// The announced stop takes place.
    Stop,
    /// What was stopped starts again.
    Start,
    /// A pause is over, or a repeated signal is due.
    Continue,
    End,
}

/// Returns the nodes affected by each script event, in the order of the events.
pub(super) fn draw_affected_nodes(script: &Script, mut rng: ChaCha8Rng) -> Vec<Vec<usize>> {
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
        for (event_index, event) in self.script.events.clone().into_iter().enumerate() {
            let at = self.start_time + seconds_to_nanos(event.at.0);
            if at >= self.arrivals_end {
                continue; // after the end of the short form
            }
            let stagger = seconds_to_nanos(event.stagger.map_or(0.0, |s| s.0));
            let nodes = match event.kind {
                EventKind::LoseCircuits | EventKind::IgnoreAdvice => vec![0],
                _ => self.affected_nodes[event_index].clone(),
            };
            for (i, node) in nodes.into_iter().enumerate() {
                self.schedule_at(
                    at + stagger * i as Nanos,
                    Event::ScriptEventPhase { event_index, node, phase: Phase::Begin },
                );
                if let Some(lasts) = event.lasts {
                    self.schedule_at(
                        at + seconds_to_nanos(lasts.0),
                        Event::ScriptEventPhase { event_index, node, phase: Phase::End },
                    );
                }
            }
        }
    }

    pub(super) fn run_script_event(&mut self, event_index: usize, node: usize, phase: Phase) {
        let event = self.script.events[event_index].clone();
        let nanos_or_default =
            |s: Option<crate::script::Seconds>, default| seconds_to_nanos(s.map_or(default, |s| s.0));
        match (event.kind, phase) {
            (EventKind::RestartCold, Phase::Begin) => {
                if self.processors[node].alive {
                    self.stop_node(node, ConnectOutcome::Refused);
                    self.schedule_in(
                        nanos_or_default(event.down, DEFAULT_DOWN_SECONDS),
                        Event::ScriptEventPhase { event_index, node, phase: Phase::Start },
                    );
                }
            }
            (EventKind::RestartCold, _) => {
                let machine = self.machine_of_node[node];
                self.start_node(node, machine);
            }
            // A stopped node has nothing to drain.
            (EventKind::Replace | EventKind::Drain, Phase::Begin) if !self.processors[node].alive => {}
            (EventKind::Replace | EventKind::Drain, Phase::Begin) => {
                let (machine, delay_range) = (self.machine_of_node[node], self.script.journal.notice);
                self.publish_machine_state(machine, "DRAINING", delay_range);
                self.schedule_in(
                    nanos_or_default(event.drain, DEFAULT_DRAIN_SECONDS),
                    Event::ScriptEventPhase { event_index, node, phase: Phase::Stop },
                );
            }
            (EventKind::Replace | EventKind::Drain, Phase::Stop) => {
                let (machine, delay_range) = (self.machine_of_node[node], self.script.journal.notice);
                self.stop_node(node, ConnectOutcome::Refused);
                self.publish_machine_state(machine, "DELETED", delay_range);
                if event.kind == EventKind::Replace {
                    self.schedule_in(
                        nanos_or_default(event.down, DEFAULT_DOWN_SECONDS),
                        Event::ScriptEventPhase { event_index, node, phase: Phase::Start },
                    );
                }
            }
            (EventKind::Drain | EventKind::Vanish, Phase::End) => self.replace_machine(node, false),
            (EventKind::Replace | EventKind::Drain, _) => {
                self.replace_machine(node, event.same_address == Some(true))
            }
            (EventKind::Vanish, _) => {
                if self.processors[node].alive {
                    let (machine, delay_range) = (self.machine_of_node[node], self.script.journal.silent);
                    self.stop_node(node, ConnectOutcome::TimesOut);
                    self.publish_machine_state(machine, "DELETED", delay_range);
                }
            }
            (EventKind::Takeover, _) => self.begin_takeover(node, &event),
            (EventKind::Hang, _) => {
                self.suspend_current_job(node);
                let hang_events = &mut self.processors[node].hang_events;
                *hang_events =
                    if phase == Phase::Begin { *hang_events + 1 } else { hang_events.saturating_sub(1) };
                self.start_next_job(node);
            }
            (EventKind::Pauses, _) => self.run_pauses(event_index, node, phase, &event),
            (EventKind::Slow, _) => {
                self.suspend_current_job(node);
                match (phase, event.factor) {
                    (Phase::Begin, Some(factor)) => {
                        self.processors[node].slowdowns.insert(event_index, factor.0)
                    }
                    _ => self.processors[node].slowdowns.remove(&event_index),
                };
                self.start_next_job(node);
            }
            (EventKind::LoseCircuits, _) => self.apply_circuit_losses(),
            (EventKind::SilentConnections, _) => {
                for connection_id in self.connections_to(node) {
                    if let Some(connection) = self.connections.get_mut(&connection_id) {
                        connection.silenced = true;
                    }
                }
            }
            (EventKind::ResetConnections, _) => {
                self.connections_to(node)
                    .into_iter()
                    .for_each(|connection_id| self.close_connection(connection_id));
            }
            (EventKind::JournalBroken, Phase::Begin) => {
                self.journal_services[node].broken_events += 1;
                self.close_journal_connections(node);
            }
            (EventKind::JournalBroken, _) => {
                self.journal_services[node].broken_events -= 1;
                self.resume_journal(node);
            }
            (EventKind::JournalSilent, Phase::Begin) => self.journal_services[node].silent_events += 1,
            (EventKind::JournalSilent, _) => {
                self.journal_services[node].silent_events -= 1;
                self.resume_journal(node);
            }
            (EventKind::ControllerKilled, Phase::Begin) => {
                if self.running[node] {
                    self.kill(node);
                    self.schedule_in(
                        nanos_or_default(event.down, DEFAULT_DOWN_SECONDS),
                        Event::ScriptEventPhase { event_index, node, phase: Phase::Start },
                    );
                }
            }
            (EventKind::ControllerKilled, _) if self.running[node] => {}
            (EventKind::ControllerKilled, _) => self.start_controller(node),
            (EventKind::ControllerRestarted, Phase::Begin) => {
                self.terminate(node);
                for (after, _) in REPEATED_SIGNALS {
                    self.schedule_in(
                        after,
                        Event::ScriptEventPhase { event_index, node, phase: Phase::Continue },
                    );
                }
                self.schedule_in(
                    self.kill_after(),
                    Event::ScriptEventPhase { event_index, node, phase: Phase::Stop },
                );
            }
            (EventKind::ControllerRestarted, Phase::Continue) => self.send_repeated_signal(node),
            (EventKind::ControllerRestarted, _) => self.kill_terminating(node),
            (EventKind::ControllerReloaded, _) => {
                let earliest = self.controller_starts[node].at + MIN_AGE_AT_RELOAD;
                if self.now < earliest {
                    let event = Event::ScriptEventPhase { event_index, node, phase: Phase::Continue };
                    self.schedule_in(earliest - self.now, event);
                } else if self.running[node] {
                    self.actions
                        .push_back(Action::SignalController { controller: node, signal: Signal::Reload });
                }
            }
            (EventKind::CutOff, Phase::Begin) => {
                self.active_partitions[node] += 1;
                self.partition_node(node);
            }
            (EventKind::CutOff, _) => {
                self.active_partitions[node] -= 1;
                self.heal_partition(node);
            }
            (EventKind::NoNewConnections, Phase::Begin) => self.active_connect_blocks[node] += 1,
            (EventKind::NoNewConnections, _) => self.active_connect_blocks[node] -= 1,
            (EventKind::JournalSlow, Phase::Begin) => {
                let answer_seconds = event.length.map_or(0.0, |length| length.0);
                self.journal_services[node].slow_events.insert(event_index, answer_seconds);
            }
            (EventKind::JournalSlow, _) => {
                self.journal_services[node].slow_events.remove(&event_index);
            }
            (EventKind::SpoiltAnswers, Phase::Begin) => self.active_answer_faults[node] += 1,
            (EventKind::SpoiltAnswers, _) => self.active_answer_faults[node] -= 1,
            (EventKind::BadCallers, Phase::Begin) => self.connect_bad_caller(event_index, node),
            (EventKind::BadCallers, _) => {}
            (EventKind::Demand, _) => {
                let demand_factors = &mut self.callers.demand_factors[node];
                match (phase, event.times) {
                    (Phase::Begin, Some(times)) => demand_factors.insert(event_index, times.0),
                    _ => demand_factors.remove(&event_index),
                };
            }
            (EventKind::IgnoreAdvice, _) => {
                let ignore_advice_events = &mut self.callers.ignore_advice_events;
                *ignore_advice_events = if phase == Phase::Begin {
                    *ignore_advice_events + 1
                } else {
                    ignore_advice_events.saturating_sub(1)
                };
            }
        }
    }

    /// Sends a further signal to a controller that is terminating.
    fn send_repeated_signal(&mut self, node: usize) {
        let Some(at) = self.terminated_at[node].filter(|_| self.running[node]) else { return };
        let latest = REPEATED_SIGNALS.iter().rev().find(|(after, _)| self.now >= at + after);
        if let Some((_, signal)) = latest {
            self.actions.push_back(Action::SignalController { controller: node, signal: *signal });
        }
    }

    /// Starts a network partition: bytes on open connections to the node are held back until it ends.
    fn partition_node(&mut self, node: usize) {
        for connection_id in self.connections_to(node) {
            if let Some(connection) = self.connections.get_mut(&connection_id) {
                connection.partition_buffer.get_or_insert_with(Default::default);
            }
        }
    }

    /// Ends a network partition and delivers the bytes held back, unless another partition is still active.
    fn heal_partition(&mut self, node: usize) {
        if self.active_partitions[node] > 0 {
            return;
        }
        for connection_id in self.connections_to(node) {
            let Some(held) = self
                .connections
                .get_mut(&connection_id)
                .and_then(|connection| connection.partition_buffer.take())
            else {
                continue;
            };
            self.bytes_received(self.now, connection_id, &held.from_controller);
            self.send(connection_id, &held.to_controller);
        }
        self.send_unsent_releases(self.machine_of_node[node]);
    }

    fn run_pauses(&mut self, event_index: usize, node: usize, phase: Phase, event: &ScriptEvent) {
        let Some((every, length)) = event.every.zip(event.length) else { return };
        match phase {
            Phase::Begin if self.elapsed_seconds() < event.end_seconds() => {
                self.suspend_current_job(node);
                self.processors[node].pause_events += 1;
                self.schedule_in(
                    seconds_to_nanos(length.0),
                    Event::ScriptEventPhase { event_index, node, phase: Phase::Continue },
                );
                self.schedule_in(
                    seconds_to_nanos(every.0),
                    Event::ScriptEventPhase { event_index, node, phase: Phase::Begin },
                );
            }
            Phase::Continue => {
                self.processors[node].pause_events = self.processors[node].pause_events.saturating_sub(1);
                self.start_next_job(node);
            }
            _ => {}
        }
    }

    fn start_node(&mut self, node: usize, machine: usize) {
        let processor = &mut self.processors[node];
        if processor.alive || processor.failed_cold && self.machine_of_node[node] == machine {
            return; // it is running, or failed while cold and stays down
        }
        (processor.alive, processor.failed_cold, processor.cold_since) = (true, false, Some(self.now));
        self.machine_of_node[node] = machine;
        let machine_state = &mut self.machines[machine];
        (machine_state.connect_outcome, machine_state.started_at) =
            (ConnectOutcome::Accepted, Some(self.now));
        self.auditor.machine_started(self.now, machine);
        let delay_range = self.script.journal.start;
        self.publish_machine_state(machine, "SERVING", delay_range);
        self.start_next_job(node);
    }

    /// Starts a new machine in place of a stopped node.
    fn replace_machine(&mut self, node: usize, same_address: bool) {
        if self.processors[node].alive {
            return;
        }
        let machine = self.machines.len();
        let address_owner =
            if same_address { self.machines[self.machine_of_node[node]].address_owner } else { machine };
        self.machines.push(Machine::new(machine, node, address_owner, Some(self.now)));
        self.start_node(node, machine);
    }

    /// Sets the circuits in service according to all active losses, whose shares multiply, and cuts calls on groups
    /// that have too few circuits left.
    fn apply_circuit_losses(&mut self) {
        let now = self.elapsed_seconds();
        let is_active = |e: &ScriptEvent| {
            e.kind == EventKind::LoseCircuits && e.at.0 <= now && now < e.end_seconds() - 1e-9
        };
        let losses = self.script.events.iter().zip(&self.affected_nodes);
        let losses: Vec<(f64, BTreeSet<usize>)> = losses
            .filter(|(e, _)| is_active(e))
            .map(|(e, nodes)| (e.kept.map_or(1.0, |k| k.0), nodes.iter().copied().collect()))
            .collect();
        let nodes = self.processors.len();
        for a in 0..nodes {
            for b in a + 1..nodes {
                let affects_group =
                    |s: &BTreeSet<usize>| s.len() == nodes || s.contains(&a) != s.contains(&b);
                let share: f64 =
                    losses.iter().filter(|(_, s)| affects_group(s)).map(|(kept, _)| kept).product();
                let previous = self.network.group(a, b).in_service;
                let excess_circuits = self.network.set_in_service_share(a, b, share);
                if excess_circuits > 0 {
                    let mut legs = self.standing_legs_between(a, b);
                    legs.shuffle(&mut self.rng);
                    for leg_id in legs {
                        let group = self.network.group(a, b);
                        if group.in_use <= group.in_service {
                            break;
                        }
                        self.cut_call(leg_id);
                    }
                }
                if self.network.group(a, b).in_service != previous {
                    self.notify_group(a, b);
                    self.notify_group(b, a);
                }
            }
        }
    }
}
