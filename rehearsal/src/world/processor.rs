//! The processor of a node: a FIFO queue with a single server, whose rate depends on cold starts, slowdowns, pauses
//! and hangs. Work is measured in set-ups.

use std::collections::{BTreeMap, VecDeque};

use pitchgw::interface::Nanos;

use super::callers::session_description;
use super::nodes::LegState;
use super::{seconds_to_nanos, Event, World};
use crate::script::Script;

/// Set-ups that a cold node tolerates beyond its budget, to allow for random variation.
const COLD_BUDGET_MARGIN: f64 = 3.0;

/// Returns the time that a warm processor takes for one set-up, chosen so that its utilization at the planned load
/// is as planned.
pub(super) fn seconds_per_set_up(script: &Script) -> f64 {
    let config = &script.processor;
    // A call costs its origin node one examination (`look`), and both nodes a set-up, an answer and a release.
    let work = config.look.0 + 2.0 * (1.0 + 2.0 * config.answer.0);
    config.use_at_plan.0 * f64::from(script.nodes) / script.planned_calls.0 / work
}

/// Purpose of a job; for legs of calls with the leg id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum JobKind {
    /// A set-up at the node that sends it.
    OriginSetUp(u64),
    /// A set-up at the node that the call is for.
    DestinationSetUp(u64),
    /// A set-up at a tandem.
    TandemSetUp(u64),
    /// An answer at the node that sends it.
    DestinationAnswer(u64),
    /// An answer at the node that receives it.
    OriginAnswer(u64),
    Other,
}

/// Work in a processor's queue.
pub(super) struct Job {
    /// Remaining work, in set-ups.
    work: f64,
    kind: JobKind,
}

/// State of a node's processor.
pub(super) struct Processor {
    seconds_per_set_up: f64,
    pub alive: bool,
    /// It failed because it was overloaded while cold, and stays down.
    pub failed_cold: bool,
    /// Number of active script events in which it hangs.
    pub hang_events: u32,
    /// Number of active script events in which it is paused.
    pub pause_events: u32,
    /// Slowdown factors of active script events, by event.
    pub slowdowns: BTreeMap<usize, f64>,
    pub cold_since: Option<Nanos>,
    pub queue: VecDeque<u64>,
    /// The job in progress: its id, its start time and its rate in set-ups per second.
    current_job: Option<(u64, Nanos, f64)>,
    /// Incremented whenever a job starts or is suspended, so that outdated completion events are ignored.
    job_generation: u64,
    /// Work of all jobs in the queue and in progress, in set-ups.
    pub queued_work: f64,
    /// Set-ups received recently while it was cold: arrival time and sending controller.
    pub recent_cold_set_ups: VecDeque<(Nanos, usize)>,
}

impl Processor {
    pub fn new(seconds_per_set_up: f64) -> Processor {
        Processor {
            seconds_per_set_up,
            alive: true,
            failed_cold: false,
            hang_events: 0,
            pause_events: 0,
            slowdowns: BTreeMap::new(),
            cold_since: None,
            queue: VecDeque::new(),
            current_job: None,
            job_generation: 0,
            queued_work: 0.0,
            recent_cold_set_ups: VecDeque::new(),
        }
    }

    /// Returns the share of the full capacity that is available, which grows linearly while the processor warms up.
    fn capacity_share(&self, now: Nanos, script: &Script) -> f64 {
        let config = &script.processor;
        let cold_seconds =
            self.cold_since.map(|s| (now - s) as f64 * 1e-9).filter(|s| *s < config.cold_for.0);
        cold_seconds.map_or(1.0, |s| config.cold_from.0 + (1.0 - config.cold_from.0) * s / config.cold_for.0)
    }

    /// Returns the processing rate in set-ups per second, ignoring pauses and hangs.
    fn set_ups_per_second(&self, now: Nanos, script: &Script) -> f64 {
        self.capacity_share(now, script) / self.slowdowns.values().product::<f64>() / self.seconds_per_set_up
    }

    /// Returns the time to process all queued work once warm, in seconds.
    pub fn queue_wait_seconds(&self) -> f64 {
        self.queued_work * self.seconds_per_set_up * self.slowdowns.values().product::<f64>()
    }

    /// Returns the number of set-ups within the overload window and the budget for it, or `None` if the processor is
    /// not cold.
    pub fn cold_load(&self, now: Nanos, script: &Script) -> Option<(f64, f64)> {
        let config = &script.processor;
        self.cold_since.filter(|s| self.alive && (now - s) as f64 * 1e-9 < config.cold_for.0)?;
        let window_start = now.saturating_sub(seconds_to_nanos(config.falls_within.0));
        let arrived = self.recent_cold_set_ups.iter().filter(|(at, _)| *at > window_start).count() as f64;
        Some((
            arrived,
            config.falls_past.0 * self.capacity_share(now, script) / self.seconds_per_set_up
                * config.falls_within.0,
        ))
    }
}

impl World {
    /// Adds a job to a node's queue.
    pub(super) fn enqueue_job(&mut self, node: usize, work: f64, kind: JobKind) {
        if !self.processors[node].alive {
            return;
        }
        let id = self.next_job;
        self.next_job += 1;
        self.jobs.insert(id, Job { work, kind });
        self.processors[node].queue.push_back(id);
        self.processors[node].queued_work += work;
        self.start_next_job(node);
    }

    fn processing_rate(&self, node: usize) -> f64 {
        let processor = &self.processors[node];
        if !processor.alive || processor.hang_events > 0 || processor.pause_events > 0 {
            return 0.0;
        }
        processor.set_ups_per_second(self.now, &self.script)
    }

    /// Starts the next job if the processor is idle and not stopped. Also called after its rate has changed.
    pub(super) fn start_next_job(&mut self, node: usize) {
        let rate = self.processing_rate(node);
        while rate > 0.0 && self.processors[node].current_job.is_none() {
            let Some(id) = self.processors[node].queue.pop_front() else { return };
            let Some(job) = self.jobs.get(&id) else { continue };
            // Drop set-ups that were given up in the meantime.
            let leg_id = match job.kind {
                JobKind::OriginSetUp(leg_id)
                | JobKind::DestinationSetUp(leg_id)
                | JobKind::TandemSetUp(leg_id) => Some(leg_id),
                _ => None,
            };
            if leg_id.is_some_and(|leg| self.legs.get(&leg).is_none_or(|leg| leg.state == LegState::Ended)) {
                self.processors[node].queued_work = (self.processors[node].queued_work - job.work).max(0.0);
                self.jobs.remove(&id);
                continue;
            }
            let duration = seconds_to_nanos(job.work / rate);
            let processor = &mut self.processors[node];
            processor.job_generation += 1;
            processor.current_job = Some((id, self.now, rate));
            let job_generation = processor.job_generation;
            self.schedule_in(duration, Event::JobCompleted { node, job_generation });
        }
    }

    /// Accounts for the work done on the current job and puts the job back at the front of the queue. To be called
    /// before anything changes that affects the processing rate.
    pub(super) fn suspend_current_job(&mut self, node: usize) {
        let processor = &mut self.processors[node];
        processor.job_generation += 1;
        if let Some((id, since, rate)) = processor.current_job.take() {
            let work_done = (self.now - since) as f64 * 1e-9 * rate;
            if let Some(job) = self.jobs.get_mut(&id) {
                let work_done = work_done.min(job.work);
                job.work -= work_done;
                processor.queued_work = (processor.queued_work - work_done).max(0.0);
            }
            processor.queue.push_front(id);
        }
    }

    pub(super) fn complete_job(&mut self, node: usize, job_generation: u64) {
        if self.processors[node].job_generation != job_generation {
            return;
        }
        let Some((id, ..)) = self.processors[node].current_job.take() else { return };
        let Some(job) = self.jobs.remove(&id) else { return };
        self.processors[node].queued_work = (self.processors[node].queued_work - job.work).max(0.0);
        match job.kind {
            JobKind::OriginSetUp(leg_id) => {
                let to = self.legs[&leg_id].target_node;
                let delay = self.delay(node, to);
                self.schedule_in(delay, Event::SetUpArrives { leg_id });
            }
            JobKind::DestinationSetUp(leg_id) => {
                self.mark_processed(leg_id);
                self.enqueue_job(node, self.script.processor.answer.0, JobKind::DestinationAnswer(leg_id));
            }
            JobKind::DestinationAnswer(leg_id) => {
                if let Some(leg) = self.legs.get_mut(&leg_id) {
                    leg.answer = session_description(leg.call_id ^ 0x5a5a);
                    let origin = leg.controller;
                    let delay = self.delay(node, origin);
                    self.schedule_in(delay, Event::AnswerArrives { leg_id });
                }
            }
            JobKind::OriginAnswer(leg_id) => self.complete_set_up(leg_id),
            JobKind::TandemSetUp(leg_id) => self.offer_in_transit(leg_id),
            JobKind::Other => {}
        }
        self.start_next_job(node);
    }

    /// Whether a node rejects a set-up because its queue is too long. Rejecting costs work, too. A hanging node rejects
    /// nothing.
    pub(super) fn reject_if_overloaded(&mut self, node: usize) -> bool {
        let processor = &self.processors[node];
        let wait = processor.queued_work / processor.set_ups_per_second(self.now, &self.script);
        let overloaded = processor.hang_events == 0 && wait > self.script.processor.turn_away.0;
        if overloaded {
            self.statistics.record_turned_away(node);
            self.enqueue_job(node, self.script.processor.refusal.0, JobKind::Other);
        }
        overloaded
    }

    /// Records a set-up if the processor is cold. Returns whether the set-up overloads it.
    pub(super) fn record_cold_set_up(&mut self, node: usize, from: usize) -> bool {
        let processor = &mut self.processors[node];
        if processor.cold_load(self.now, &self.script).is_none() {
            return false;
        }
        processor.recent_cold_set_ups.push_back((self.now, from));
        let window_start = self.now.saturating_sub(seconds_to_nanos(self.script.processor.falls_within.0));
        while processor.recent_cold_set_ups.front().is_some_and(|(at, _)| *at < window_start) {
            processor.recent_cold_set_ups.pop_front();
        }
        processor
            .cold_load(self.now, &self.script)
            .is_some_and(|(arrived, budget)| arrived > budget + COLD_BUDGET_MARGIN)
    }
}
