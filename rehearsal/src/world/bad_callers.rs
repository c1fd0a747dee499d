//! Bad callers: clients that connect to the callers' address and send invalid or incomplete messages, or nothing. The
//! controller has to answer or disconnect each of them in time.

use dillhold::codec::binary::{self, kind, param};
use pitchgw::interface::Nanos;
use rand::Rng;

use super::{seconds_to_nanos, Action, Endpoint, Event, SimConnectionId, World, SEC};
use crate::audit::Observation;

/// Time within which a controller has to answer or disconnect a bad caller.
const RESPONSE_TIMEOUT: Nanos = 3 * SEC;

/// How a bad caller violates the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Misbehaviour {
    Silent,
    Garbage,
    TruncatedMessage,
    /// Sends a set-up of a class that does not exist.
    UnknownClass,
    /// As [`Misbehaviour::UnknownClass`], and shuts down the sending direction after it.
    UnknownClassHalfClosed,
    /// Sends a set-up with a timeout of 0.
    ZeroWait,
}

const MISBEHAVIOURS: [Misbehaviour; 6] = [
    Misbehaviour::Silent,
    Misbehaviour::Garbage,
    Misbehaviour::TruncatedMessage,
    Misbehaviour::UnknownClass,
    Misbehaviour::UnknownClassHalfClosed,
    Misbehaviour::ZeroWait,
];

fn encode_set_up(id: u64, class: &str, wait: &[u8]) -> Vec<u8> {
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
    /// Connects a bad caller and schedules the next one, until the script event ends.
    pub(super) fn connect_bad_caller(&mut self, event_index: usize, controller: usize) {
        let (every, ends) = {
            let event = &self.script.events[event_index];
            (event.every.map_or(1.0, |every| every.0), event.end_seconds())
        };
        if self.elapsed_seconds() >= ends {
            return;
        }
        self.schedule_in(seconds_to_nanos(every), Event::BadCallerConnects { event_index, controller });
        if !self.running[controller] || !self.in_rotation[controller] {
            return;
        }
        let misbehaviour = MISBEHAVIOURS[self.rng.random_range(0..MISBEHAVIOURS.len())];
        let id: u64 = self.rng.random::<u64>().max(1);
        let class = self.script.classes[0].name.clone();
        let bytes = match misbehaviour {
            Misbehaviour::Silent => Vec::new(),
            Misbehaviour::Garbage => vec![0, 3, 1, 2, 3],
            Misbehaviour::TruncatedMessage => encode_set_up(id, &class, b"900")[..20].to_vec(),
            Misbehaviour::UnknownClass | Misbehaviour::UnknownClassHalfClosed => {
                encode_set_up(id, "none", b"900")
            }
            Misbehaviour::ZeroWait => encode_set_up(id, &class, b"0"),
        };
        let connection_id = self.new_connection(controller, Endpoint::BadCaller, false);
        self.bad_callers.insert(connection_id, false);
        self.actions.push_back(Action::Connect { connection_id, controller });
        self.send(connection_id, &bytes);
        if misbehaviour == Misbehaviour::UnknownClassHalfClosed {
            self.actions.push_back(Action::ShutdownWrite { connection_id, controller });
        }
        self.schedule_in(RESPONSE_TIMEOUT, Event::BadCallerDeadline { connection_id });
    }

    /// Disconnects a bad caller at its deadline and reports it to the auditor if the controller has ignored it.
    pub(super) fn check_bad_caller_answered(&mut self, connection_id: SimConnectionId) {
        let Some(answered) = self.bad_callers.remove(&connection_id) else { return };
        let Some(controller) = self
            .connections
            .get(&connection_id)
            .filter(|connection| connection.established)
            .map(|connection| connection.controller)
        else {
            return;
        };
        if !answered && self.terminated_at[controller].is_none() {
            self.auditor.observe(self.now, Observation::BadCallerIgnored { controller });
        }
        self.close_connection(connection_id);
    }
}
