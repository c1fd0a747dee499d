//! Test harness that drives one controller: delivers events and collects its actions.
#![allow(dead_code)]

use std::collections::BTreeSet;

use pitchgw::interface::*;
use pitchgw::Controller;

pub const MS: Nanos = 1_000_000;
pub const SEC: Nanos = 1_000_000_000;

pub fn class(delay_target: Nanos, worth: f64) -> Class {
    Class {
        delay_target,
        deadline: 9 * SEC,
        worth,
        late_worth_share: 0.1,
        width: 1,
        mean_duration: 10 * SEC,
        pools: Vec::new(),
        idempotent: true,
    }
}

/// Settings of a mesh with four controllers; this one is at exchange 0.
pub fn settings() -> Settings {
    Settings {
        controller_count: 4,
        controller_index: 0,
        home_exchange: Some(0),
        topology: Topology::Mesh,
        zone: 0,
        classes: vec![class(2 * SEC, 1.0), class(SEC, 8.0)],
        load_reporting: LoadReporting::Never,
        max_attempts: 4,
        may_probe: false,
        may_cancel: true,
        max_retry_after: None,
        list_on_request: false,
        max_list_age: 10 * SEC,
        release_wait: 300 * MS,
        retransmit_interval: 0,
        drain_grace: SEC,
        answer_slack: 20 * MS,
        cold_start: ColdStartRule {
            initial_capacity_share: 0.3,
            max_duration: 14 * SEC,
            overload_factor: 2.0,
            overload_window: 2 * SEC,
        },
        tick: 5 * MS,
        late_failure_penalty: 0.05,
        probe_penalty: 0.0,
    }
}

/// A set-up that the controller sent.
#[derive(Clone, Copy, Debug)]
pub struct SentSetUp {
    pub at: Nanos,
    pub call: CallId,
    pub exchange: ExchangeId,
}

/// Drives one controller on a simulated clock.
pub struct Harness {
    pub controller: Controller,
    pub now: Nanos,
    next_call: CallId,
    /// Timers that are set: when they are due, and their tokens.
    timers: BTreeSet<(Nanos, u64)>,
    /// Set-ups sent so far, except those that the test has drained.
    pub sent: Vec<SentSetUp>,
}

impl Harness {
    /// Starts with a list of exchanges 0 to 3 (ids equal numbers) and 20 free circuits to each.
    pub fn new(settings: Settings) -> Harness {
        Harness::with_seed(settings, 7)
    }

    pub fn with_seed(settings: Settings, seed: u64) -> Harness {
        let mut harness = Harness {
            controller: Controller::new(settings, seed).unwrap(),
            now: 100 * SEC,
            next_call: 0,
            timers: BTreeSet::new(),
            sent: Vec::new(),
        };
        let entries = (0..4).map(in_service).collect();
        harness.deliver(Event::ListUpdated(ListUpdate::Restored, entries));
        for exchange in 1..4 {
            harness.report_circuits(exchange, 20.0, 20.0);
        }
        harness
    }

    /// Delivers one event and returns the resulting actions.
    pub fn deliver(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Event::CallStands { call, .. } | Event::CallerGaveUp(call) = event {
            self.drop_timers(call);
        }
        self.controller.handle_event(self.now, event, &mut actions);
        self.timers.extend(actions.iter().filter_map(|a| match a {
            Action::SetTimer(token, at) => Some((*at, *token)),
            _ => None,
        }));
        let now = self.now;
        self.sent.extend(actions.iter().filter_map(|a| match a {
            Action::SendSetUp { call, exchange, .. } => {
                Some(SentSetUp { at: now, call: *call, exchange: *exchange })
            }
            _ => None,
        }));
        for action in &actions {
            if let Action::Refuse { call, .. } | Action::Fail(call) = action {
                self.drop_timers(*call);
            }
        }
        actions
    }

    /// Drops the timers of a call, as the controller's host does once no final answer is due.
    fn drop_timers(&mut self, call: CallId) {
        self.timers.retain(|(_, token)| *token != call);
    }

    /// Advances the clock; timers that become due expire on time.
    pub fn advance(&mut self, span: Nanos) {
        let until = self.now + span;
        while let Some(timer) = self.timers.first().copied().filter(|(due, _)| *due < until) {
            self.timers.remove(&timer);
            self.now = self.now.max(timer.0);
            self.deliver(Event::TimerExpired(timer.1));
        }
        self.now = until;
    }

    /// Advances the clock without delivering timers, as if the process were paused.
    pub fn pause_process(&mut self, span: Nanos) {
        self.now += span;
    }

    /// Delivers a report on the trunk group to an exchange.
    pub fn report_circuits(&mut self, exchange: ExchangeId, free: f64, size: f64) -> Vec<Action> {
        let report =
            LoadReport { free_circuits: Some(free), group_size: Some(size), ..LoadReport::default() };
        self.deliver(Event::LoadReported { exchange, answered: true, elapsed: 0, report })
    }

    /// A call of class 0 from a new caller.
    pub fn new_call(&mut self, destination: u32) -> NewCall {
        self.next_call += 1;
        NewCall {
            call: self.next_call,
            class: 0,
            dialled: Some(1000 + self.next_call),
            deadline: self.now + 3 * SEC,
            destination,
            width: 1,
            advised_route: None,
            in_transit: false,
            after_cut: false,
        }
    }

    pub fn offer_call(&mut self, call: NewCall) -> Vec<Action> {
        self.deliver(Event::CallOffered(call))
    }

    /// Offers a new call of class 0 to `destination`.
    pub fn dial(&mut self, destination: u32) -> (CallId, Vec<Action>) {
        let call = self.new_call(destination);
        (call.call, self.offer_call(call))
    }

    pub fn call_stands(&mut self, call: CallId, attempt: u32, elapsed: Nanos) -> Vec<Action> {
        self.deliver(Event::CallStands { call, attempt, elapsed })
    }

    pub fn attempt_ended(
        &mut self,
        call: CallId,
        attempt: u32,
        exchange: ExchangeId,
        (outcome, cause): (Outcome, Cause),
    ) -> Vec<Action> {
        self.deliver(Event::AttemptEnded {
            call,
            attempt,
            exchange,
            outcome,
            cause,
            elapsed: 100 * MS,
            call_over: outcome == Outcome::Completed,
            report: LoadReport::default(),
        })
    }

    /// The call that stands ends, and all circuits of the group are free again.
    pub fn call_completed(&mut self, call: CallId, exchange: ExchangeId) {
        self.attempt_ended(call, 0, exchange, (Outcome::Completed, Cause::Untold));
        self.report_circuits(exchange, 20.0, 20.0);
    }

    /// Leaves a round trip of `duration` on the route: a call that stands after it and ends at once.
    pub fn complete_round_trip(&mut self, destination: u32, duration: Nanos) {
        let (call, actions) = self.dial(destination);
        assert_eq!(sent_to(&actions), Some(destination), "the route is open");
        self.advance(duration);
        self.call_stands(call, 0, duration);
        self.call_completed(call, destination);
    }
}

/// List entry of an exchange in service whose id equals its number.
pub fn in_service(number: u32) -> Entry {
    Entry { exchange: number, number, zone: 0, since: None, standing: ExchangeState::Up }
}

/// The exchange of the first set-up among `actions`.
pub fn sent_to(actions: &[Action]) -> Option<ExchangeId> {
    actions.iter().find_map(|a| match a {
        Action::SendSetUp { exchange, .. } => Some(*exchange),
        _ => None,
    })
}

/// Number of final answers to a call among `actions`.
pub fn final_answers(actions: &[Action], call: CallId) -> usize {
    let is_answer = |a: &&Action| matches!(a, Action::Refuse { call: c, .. } | Action::Fail(c) if *c == call);
    actions.iter().filter(is_answer).count()
}
