//! Bad callers: they connect where callers do and send what cannot be served, half of it, or nothing. Each is owed an
//! answer or a close within some seconds.

use dillhold::codec::binary::{self, kind, param};
use pitchgw::interface::Nanos;
use rand::Rng;

use super::{seconds_to_nanos, Act, Due, Party, WireId, World, SEC};
use crate::audit::Observation;

/// A bad caller has to be told something, or to be closed, within this time.
const TOLD_WITHIN: Nanos = 3 * SEC;

/// What a bad caller does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Manner {
    Silent,
    Noise,
    HalfAMessage,
    /// A set-up of a class that does not exist.
    Unservable,
    /// The same, and the writing side is closed behind it.
    UnservableThenEnd,
    /// A set-up without any time left.
    NoTime,
}

const MANNERS: [Manner; 6] = [
    Manner::Silent,
    Manner::Noise,
    Manner::HalfAMessage,
    Manner::Unservable,
    Manner::UnservableThenEnd,
    Manner::NoTime,
];

fn set_up(id: u64, class: &str, wait: &[u8]) -> Vec<u8> {
    let mut message = Vec::new();
    let parameters = [
        (param::CLASS, class.as_bytes()),
        (param::TIMEOUT_MS, wait),
        (param::CALLED_NUMBER, b"77"),
        (param::ATTRIBUTES, b"dest:1;width:1;via:-1"),
        (param::DESCRIPTION, b"d"),
    ];
    binary::write(&mut message, kind::SET_UP, id, &parameters);
    message
}

impl World {
    /// A bad caller connects, and the next one is on its way for as long as the event lasts.
    pub(super) fn bad_caller(&mut self, event: usize, controller: usize) {
        let (every, ends) = {
            let event = &self.script.events[event];
            (event.every.map_or(1.0, |every| every.0), event.end_seconds())
        };
        if self.seconds() >= ends {
            return;
        }
        self.later(seconds_to_nanos(every), Due::BadCaller(event, controller));
        if !self.running[controller] || !self.fronted[controller] {
            return;
        }
        let manner = MANNERS[self.rng.random_range(0..MANNERS.len())];
        let id: u64 = self.rng.random::<u64>().max(1);
        let class = self.script.classes[0].name.clone();
        let bytes = match manner {
            Manner::Silent => Vec::new(),
            Manner::Noise => vec![0, 3, 1, 2, 3],
            Manner::HalfAMessage => set_up(id, &class, b"900")[..20].to_vec(),
            Manner::Unservable | Manner::UnservableThenEnd => set_up(id, "none", b"900"),
            Manner::NoTime => set_up(id, &class, b"0"),
        };
        let wire = self.new_wire(controller, Party::BadCaller, false);
        self.bad_callers.insert(wire, false);
        self.acts.push_back(Act::Connect(wire, controller));
        self.send(wire, &bytes);
        if manner == Manner::UnservableThenEnd {
            self.acts.push_back(Act::Finish(wire, controller));
        }
        self.later(TOLD_WITHIN, Due::EndBadCaller(wire));
    }

    /// A bad caller that is still there must have been told something by now; then it leaves.
    pub(super) fn bad_caller_due(&mut self, wire: WireId) {
        let Some(told) = self.bad_callers.remove(&wire) else { return };
        let Some(controller) = self.wires.get(&wire).filter(|w| w.up).map(|w| w.controller) else { return };
        if !told && self.terminated[controller].is_none() {
            self.auditor.observe(self.now, Observation::BadCallerIgnored { controller });
        }
        self.hang_up(wire);
    }
}
