//! A processor with one line: work in the order in which it came, at a speed that cold starts, slowdowns, pauses and
//! hangs change.

use std::collections::{BTreeMap, VecDeque};

use pitchgw::interface::Nanos;

use super::callers::describe;
use super::nodes::State;
use super::{seconds_to_nanos, Due, World};
use crate::script::Script;

/// What a cold node may be sent beyond its budget, for chance: so many set-ups.
const CHANCE: f64 = 3.0;

/// Seconds that a warm processor takes for one set-up, so that it is as busy as planned at the planned load.
pub(super) fn unit(script: &Script) -> f64 {
    let p = &script.processor;
    // Each call costs its own node a look, and both nodes a set-up, an answer and a release.
    let work = p.look.0 + 2.0 * (1.0 + 2.0 * p.answer.0);
    p.use_at_plan.0 * f64::from(script.nodes) / script.planned_calls.0 / work
}

/// What a job is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum What {
    /// A set-up at the node it starts from, at the node it is for, or at a tandem.
    OwnSetUp(u64),
    FarSetUp(u64),
    Transit(u64),
    /// The answer at the node that gives it, and at the one that gets it.
    FarAnswer(u64),
    OwnAnswer(u64),
    Other,
}

/// Work in a processor's line.
pub(super) struct Job {
    work: f64,
    what: What,
}

/// A processor.
pub(super) struct Node {
    unit: f64,
    pub alive: bool,
    /// It was pushed over and stays down.
    pub fallen: bool,
    /// Events that hang it, and that make it stand still; by event how many times as long things take.
    pub hung: u32,
    pub paused: u32,
    pub slow: BTreeMap<usize, f64>,
    pub cold_since: Option<Nanos>,
    pub line: VecDeque<u64>,
    /// The job in work: since when, and at what speed.
    working: Option<(u64, Nanos, f64)>,
    run: u64,
    pub pending: f64,
    /// Set-ups that came lately while it was cold, by the controller that sent them.
    pub lately: VecDeque<(Nanos, usize)>,
}

impl Node {
    pub fn new(unit: f64) -> Node {
        Node {
            unit,
            alive: true,
            fallen: false,
            hung: 0,
            paused: 0,
            slow: BTreeMap::new(),
            cold_since: None,
            line: VecDeque::new(),
            working: None,
            run: 0,
            pending: 0.0,
            lately: VecDeque::new(),
        }
    }

    /// Share of its capacity that a processor has.
    fn warmth(&self, now: Nanos, script: &Script) -> f64 {
        let p = &script.processor;
        let since = self.cold_since.map(|s| (now - s) as f64 * 1e-9).filter(|s| *s < p.cold_for.0);
        since.map_or(1.0, |s| p.cold_from.0 + (1.0 - p.cold_from.0) * s / p.cold_for.0)
    }

    /// Set-ups a second that it works off, standing still left out.
    fn pace(&self, now: Nanos, script: &Script) -> f64 {
        self.warmth(now, script) / self.slow.values().product::<f64>() / self.unit
    }

    /// Seconds of work in its line, at its full speed.
    pub fn wait(&self) -> f64 {
        self.pending * self.unit * self.slow.values().product::<f64>()
    }

    /// While it is cold: set-ups that came within the window, and how many may.
    pub fn cold_state(&self, now: Nanos, script: &Script) -> Option<(f64, f64)> {
        let p = &script.processor;
        self.cold_since.filter(|s| self.alive && (now - s) as f64 * 1e-9 < p.cold_for.0)?;
        let from = now.saturating_sub(seconds_to_nanos(p.falls_within.0));
        let came = self.lately.iter().filter(|(at, _)| *at > from).count() as f64;
        Some((came, p.falls_past.0 * self.warmth(now, script) / self.unit * p.falls_within.0))
    }
}

impl World {
    /// Adds work to a node's line.
    pub(super) fn job(&mut self, node: usize, work: f64, what: What) {
        if !self.nodes[node].alive {
            return;
        }
        let id = self.next_job;
        self.next_job += 1;
        self.jobs.insert(id, Job { work, what });
        self.nodes[node].line.push_back(id);
        self.nodes[node].pending += work;
        self.work_on(node);
    }

    fn speed(&self, node: usize) -> f64 {
        let n = &self.nodes[node];
        if !n.alive || n.hung > 0 || n.paused > 0 {
            return 0.0;
        }
        n.pace(self.now, &self.script)
    }

    /// Takes the next job up, if the processor is free and moves; to be called when its speed has changed, too.
    pub(super) fn work_on(&mut self, node: usize) {
        let speed = self.speed(node);
        while speed > 0.0 && self.nodes[node].working.is_none() {
            let Some(id) = self.nodes[node].line.pop_front() else { return };
            let Some(job) = self.jobs.get(&id) else { continue };
            // A set-up that was given up meanwhile is dropped.
            let leg = match job.what {
                What::OwnSetUp(leg) | What::FarSetUp(leg) | What::Transit(leg) => Some(leg),
                _ => None,
            };
            if leg.is_some_and(|l| self.legs.get(&l).is_none_or(|l| l.state == State::Over)) {
                self.nodes[node].pending = (self.nodes[node].pending - job.work).max(0.0);
                self.jobs.remove(&id);
                continue;
            }
            let takes = seconds_to_nanos(job.work / speed);
            let n = &mut self.nodes[node];
            n.run += 1;
            n.working = Some((id, self.now, speed));
            let run = n.run;
            self.later(takes, Due::JobDone(node, run));
        }
    }

    /// Something that decides the speed is about to change: what is done so far is booked first.
    pub(super) fn book_work(&mut self, node: usize) {
        let n = &mut self.nodes[node];
        n.run += 1;
        if let Some((id, since, speed)) = n.working.take() {
            let done = (self.now - since) as f64 * 1e-9 * speed;
            if let Some(job) = self.jobs.get_mut(&id) {
                let done = done.min(job.work);
                job.work -= done;
                n.pending = (n.pending - done).max(0.0);
            }
            n.line.push_front(id);
        }
    }

    pub(super) fn job_done(&mut self, node: usize, run: u64) {
        if self.nodes[node].run != run {
            return;
        }
        let Some((id, ..)) = self.nodes[node].working.take() else { return };
        let Some(job) = self.jobs.remove(&id) else { return };
        self.nodes[node].pending = (self.nodes[node].pending - job.work).max(0.0);
        match job.what {
            What::OwnSetUp(leg) => {
                let to = self.legs[&leg].to;
                let delay = self.delay(node, to);
                self.later(delay, Due::Arrive(leg));
            }
            What::FarSetUp(leg) => {
                self.reached(leg);
                self.job(node, self.script.processor.answer.0, What::FarAnswer(leg));
            }
            What::FarAnswer(leg) => {
                if let Some(l) = self.legs.get_mut(&leg) {
                    l.answer = describe(l.call ^ 0x5a5a);
                    let own = l.controller;
                    let delay = self.delay(node, own);
                    self.later(delay, Due::Answered(leg));
                }
            }
            What::OwnAnswer(leg) => self.stands(leg),
            What::Transit(leg) => self.hand_over(leg),
            What::Other => {}
        }
        self.work_on(node);
    }

    /// Whether a node turns set-ups away; that is work too. One that hangs takes them.
    pub(super) fn full(&mut self, node: usize) -> bool {
        let n = &self.nodes[node];
        let wait = n.pending / n.pace(self.now, &self.script);
        let full = n.hung == 0 && wait > self.script.processor.turn_away.0;
        if full {
            self.statistics.record_turned_away(node);
            self.job(node, self.script.processor.refusal.0, What::Other);
        }
        full
    }

    /// Books a set-up that reaches a cold processor; whether that pushes it over.
    pub(super) fn cold_set_up(&mut self, node: usize, from: usize) -> bool {
        let n = &mut self.nodes[node];
        if n.cold_state(self.now, &self.script).is_none() {
            return false;
        }
        n.lately.push_back((self.now, from));
        let oldest = self.now.saturating_sub(seconds_to_nanos(self.script.processor.falls_within.0));
        while n.lately.front().is_some_and(|(at, _)| *at < oldest) {
            n.lately.pop_front();
        }
        n.cold_state(self.now, &self.script).is_some_and(|(came, budget)| came > budget + CHANCE)
    }
}
