//! A small exchange to drive the module with: events in, actions out.
#![allow(dead_code)]

use std::collections::BTreeSet;

use pitchgw::interface::*;
use pitchgw::Controller;

pub const MS: Nanos = 1_000_000;
pub const SEC: Nanos = 1_000_000_000;

pub fn class(aim: Nanos, worth: f64) -> Class {
    Class {
        aim,
        deadline: 9 * SEC,
        worth,
        late_worth: 0.1,
        width: 1,
        hold: 10 * SEC,
        pools: Vec::new(),
        repeatable: true,
    }
}

/// Four agents in a mesh; this one is exchange 0.
pub fn settings() -> Settings {
    Settings {
        controller_count: 4,
        controller_index: 0,
        home_exchange: Some(0),
        topology: Topology::Mesh,
        zone: 0,
        classes: vec![class(2 * SEC, 1.0), class(SEC, 8.0)],
        reports: Reports::None,
        max_attempts: 4,
        may_probe: false,
        may_cancel: true,
        max_retry_after: None,
        list_on_request: false,
        ask_within: 10 * SEC,
        release_wait: 300 * MS,
        resend: 0,
        drain_grace: SEC,
        answer_slack: 20 * MS,
        cold: ColdRule { from: 0.3, lasts: 14 * SEC, multiple: 2.0, window: 2 * SEC },
        tick: 5 * MS,
        late_fail_price: 0.05,
        probe_price: 0.0,
    }
}

pub struct Rig {
    pub controller: Controller,
    pub now: Nanos,
    next: CallId,
    timers: BTreeSet<(Nanos, u64)>,
    /// Set-ups sent and not yet looked at by the test.
    pub sent: Vec<(Nanos, CallId, ExchangeId)>,
}

impl Rig {
    /// A rig whose list names exchanges 0 to 3 (handles are the numbers), 20 circuits to each, all free.
    pub fn new(settings: Settings) -> Rig {
        Rig::seeded(settings, 7)
    }

    pub fn seeded(settings: Settings, seed: u64) -> Rig {
        let mut rig = Rig {
            controller: Controller::new(settings, seed).unwrap(),
            now: 100 * SEC,
            next: 0,
            timers: BTreeSet::new(),
            sent: Vec::new(),
        };
        let entries = (0..4).map(up).collect();
        rig.tell(Event::ListUpdated(ListUpdate::Restored, entries));
        for x in 1..4 {
            rig.circuits(x, 20.0, 20.0);
        }
        rig
    }

    pub fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.controller.handle_event(self.now, event, &mut actions);
        self.timers.extend(actions.iter().filter_map(|a| match a {
            Action::SetTimer(token, at) => Some((*at, *token)),
            _ => None,
        }));
        let now = self.now;
        self.sent.extend(actions.iter().filter_map(|a| match a {
            Action::SendSetUp { call, exchange, .. } => Some((now, *call, *exchange)),
            _ => None,
        }));
        actions
    }

    /// Lets time pass; timers come when they are due.
    pub fn wait(&mut self, time: Nanos) {
        let until = self.now + time;
        while let Some(timer) = self.timers.first().copied().filter(|t| t.0 < until) {
            self.timers.remove(&timer);
            self.now = self.now.max(timer.0);
            self.tell(Event::TimerExpired(timer.1));
        }
        self.now = until;
    }

    /// The agent stands still: nothing comes until it wakes.
    pub fn stand_still(&mut self, time: Nanos) {
        self.now += time;
    }

    pub fn circuits(&mut self, exchange: ExchangeId, free: f64, size: f64) -> Vec<Action> {
        let report =
            LoadReport { free_circuits: Some(free), group_size: Some(size), ..LoadReport::default() };
        self.tell(Event::LoadReported { exchange, answered: true, elapsed: 0, report })
    }

    pub fn fresh(&mut self, destination: u32) -> NewCall {
        self.next += 1;
        NewCall {
            call: self.next,
            class: 0,
            dialled: Some(1000 + self.next),
            deadline: self.now + 3 * SEC,
            destination,
            width: 1,
            advised_route: None,
            in_transit: false,
            after_cut: false,
        }
    }

    pub fn offer(&mut self, call: NewCall) -> Vec<Action> {
        self.tell(Event::CallOffered(call))
    }

    /// A call to `destination` in class 0.
    pub fn dial(&mut self, destination: u32) -> (CallId, Vec<Action>) {
        let call = self.fresh(destination);
        (call.call, self.offer(call))
    }

    pub fn stands(&mut self, call: CallId, attempt: u32, took: Nanos) -> Vec<Action> {
        self.tell(Event::CallStands { call, attempt, elapsed: took })
    }

    pub fn ended(
        &mut self,
        call: CallId,
        attempt: u32,
        to: ExchangeId,
        how: (Outcome, Cause),
    ) -> Vec<Action> {
        self.tell(Event::AttemptEnded {
            call,
            attempt,
            exchange: to,
            outcome: how.0,
            cause: how.1,
            elapsed: 100 * MS,
            call_over: how.0 == Outcome::Completed,
            report: LoadReport::default(),
        })
    }

    /// The standing call ends, and the group is free again.
    pub fn completed(&mut self, call: CallId, to: ExchangeId) {
        self.ended(call, 0, to, (Outcome::Completed, Cause::Untold));
        self.circuits(to, 20.0, 20.0);
    }

    /// A call to `destination` that stands after `took` and ends at once; leaves the route with that round trip.
    pub fn round_trip(&mut self, destination: u32, took: Nanos) {
        let (call, actions) = self.dial(destination);
        assert_eq!(sent_to(&actions), Some(destination), "the route is open");
        self.wait(took);
        self.stands(call, 0, took);
        self.completed(call, destination);
    }
}

pub fn up(number: u32) -> Entry {
    Entry { exchange: number, number, zone: 0, since: None, standing: ExchangeState::Up }
}

pub fn sent_to(actions: &[Action]) -> Option<ExchangeId> {
    actions.iter().find_map(|a| match a {
        Action::SendSetUp { exchange, .. } => Some(*exchange),
        _ => None,
    })
}

pub fn answers(actions: &[Action], call: CallId) -> usize {
    let of = |a: &&Action| matches!(a, Action::Refuse { call: c, .. } | Action::Fail(c) if *c == call);
    actions.iter().filter(of).count()
}
