//! A connection from callers, in binary messages.

use std::collections::VecDeque;

use pitchgw::interface::Nanos;

use crate::call::{CallerConnId, CallerNotification, CallerRequest, Calls, SetUp};
use crate::clock::MS;
use crate::codec::binary::{self, kind, param, Message};
use crate::codec::{attributes, Unreadable, MAX_MESSAGE_BYTES};
use crate::session::{drain, ReadBuffer, WriteBuffer};

/// Refused for want of room on the way (Q.850 42, switching equipment congestion): trying again is harmless.
const REFUSED: u8 = 42;
/// Failed (Q.850 41, temporary failure).
const FAILED: u8 = 41;
/// Releases not known to be heard that are kept, and for how long.
const UNHEARD_KEPT: usize = 1024;
const UNHEARD_FOR: Nanos = 1_000 * MS;

/// Messages that cannot be served after which a connection is closed. Soon after a start callers release
/// calls of before it, which are not known here either.
const MOST_FAULTS: u32 = 250;
/// Longest number called; bytes that a set-up takes in SIP beside number and description.
const MOST_NUMBER: usize = 128;
const SIP_HEAD: usize = 512;
/// Circuits that one call can take at the most.
const MOST_WIDTH: u32 = 1024;

/// The state of one connection.
#[derive(Debug, Default)]
pub struct CallerSession {
    /// It was told that a call stands: there is a caller at its other end, and not just anybody.
    pub confirmed: bool,
    /// It was told anything of a call.
    pub notified: bool,
    /// When a whole message last came.
    pub last_message_at: Nanos,
    faults: u32,
    /// Releases said here and not heard yet, in order.
    unheard: VecDeque<(Nanos, u64, u8)>,
    /// What came.
    pub read_buffer: ReadBuffer,
    /// What is to be written.
    pub write_buffer: WriteBuffer,
}

impl CallerSession {
    /// Takes in what is in the read_buffer. An error means that the connection has to be closed.
    pub fn process_input(
        &mut self,
        now: Nanos,
        link: CallerConnId,
        calls: &mut Calls,
    ) -> Result<(), Unreadable> {
        let (out, unheard) = (&mut self.write_buffer, &mut self.unheard);
        let (heard, faults) = (&mut self.last_message_at, &mut self.faults);
        drain(&mut self.read_buffer, |rest| {
            let Some((message, taken)) = binary::parse(rest)? else { return Ok(None) };
            *heard = now;
            match message.kind {
                kind::SET_UP => {
                    let said = set_up(&message);
                    let served = calls.handle_caller_request(now, link, said);
                    *faults += u32::from(!served);
                }
                kind::RELEASE => {
                    let (call_id, cause) = (message.call_id, message.cause().unwrap_or(16));
                    let known =
                        calls.handle_caller_request(now, link, CallerRequest::Release { call_id, cause });
                    *faults += u32::from(!known);
                }
                kind::TEST => {
                    calls.counters.increment("answered tests");
                    binary::write(
                        out.buffer(),
                        kind::TEST_RESPONSE,
                        message.call_id,
                        &[(param::CAUSE, &[1])],
                    );
                }
                kind::RELEASE_ACK => unheard.retain(|(_, id, _)| *id != message.call_id),
                _ => {
                    calls.counters.increment("taken messages skipped");
                    *faults += 1;
                }
            }
            // Whoever sends nothing but what cannot be served, again and again, takes turns from the others.
            if *faults > MOST_FAULTS {
                return Err(Unreadable::Malformed);
            }
            Ok(Some(taken))
        })
    }

    /// Whether nothing that could not be served has come, and no half message waits.
    pub fn is_well_behaved(&self) -> bool {
        self.faults == 0 && self.read_buffer.unread().is_empty()
    }

    /// All that was written arrives: the connection is closed in order.
    pub fn acknowledge_releases(&mut self) {
        self.unheard.clear();
    }

    /// Writes what a caller is told.
    pub fn send(&mut self, now: Nanos, id: u64, say: &CallerNotification) {
        self.notified = true;
        let out = self.write_buffer.buffer();
        match say {
            CallerNotification::Answer(description) => {
                self.confirmed = true;
                let parameters = [(param::DESCRIPTION, &description[..])];
                self.write_buffer
                    .append_tracked((id, 0), |out| binary::write(out, kind::ANSWER, id, &parameters));
            }
            CallerNotification::Refused(0) => {
                binary::write(out, kind::RELEASE, id, &[(param::CAUSE, &[REFUSED])])
            }
            CallerNotification::Refused(pause) => {
                let pause = pause.div_ceil(MS).to_string();
                let parameters = [(param::CAUSE, &[REFUSED][..]), (param::RETRY_AFTER_MS, pause.as_bytes())];
                binary::write(out, kind::RELEASE, id, &parameters);
            }
            CallerNotification::Failed => binary::write(out, kind::RELEASE, id, &[(param::CAUSE, &[FAILED])]),
            CallerNotification::Released(cause) => {
                self.unheard.push_back((now, id, *cause));
                while self.unheard.len() > UNHEARD_KEPT {
                    self.unheard.pop_front();
                }
                binary::write(out, kind::RELEASE, id, &[(param::CAUSE, &[*cause])]);
            }
        }
    }
}

/// What a lost connection leaves behind.
#[derive(Debug)]
pub struct Undelivered {
    /// Calls whose answer has not left whole.
    pub answers: Vec<u64>,
    /// Releases that may not have arrived. A caller need not tell that it heard one, so those of long ago are
    /// not among them.
    pub releases: Vec<(u64, u8)>,
}

impl CallerSession {
    /// The connection is gone.
    pub fn into_undelivered(mut self, now: Nanos) -> Undelivered {
        let lately = self.unheard.iter().filter(|(at, ..)| now < at + UNHEARD_FOR);
        Undelivered {
            releases: lately.map(|(_, id, cause)| (*id, *cause)).collect(),
            answers: self.write_buffer.clear().into_iter().map(|(id, _)| id).collect(),
        }
    }
}

/// A whole number in text, zero or above.
fn number<T: std::str::FromStr>(text: &[u8]) -> Option<T> {
    std::str::from_utf8(text).ok().and_then(|t| t.trim().parse().ok())
}

fn set_up<'a>(message: &Message<'a>) -> CallerRequest<'a> {
    let mut s = SetUp {
        call_id: message.call_id,
        class: message.parameter(param::CLASS).unwrap_or_default(),
        timeout: 0,
        called_number: message.parameter(param::CALLED_NUMBER).unwrap_or_default(),
        destination: u32::MAX,
        width: None,
        advised_tandem: None,
        in_transit: false,
        is_redial: false,
        description: message.parameter(param::DESCRIPTION).unwrap_or_default(),
    };
    // A figure that is no number, or that no call can have, is not taken for one that was left out.
    let mut sound = true;
    let mut read = |value, least: i64, most: i64| {
        let found: Option<i64> = number(value).filter(|n| (least..=most).contains(n));
        sound &= found.is_some();
        found.and_then(|n| u32::try_from(n).ok())
    };
    for (name, value) in attributes(message.parameter(param::ATTRIBUTES).unwrap_or_default()) {
        match name {
            b"dest" => s.destination = read(value, 0, i64::from(u32::MAX) - 1).unwrap_or(u32::MAX),
            b"width" => s.width = read(value, 1, i64::from(MOST_WIDTH)),
            b"via" => s.advised_tandem = read(value, -1, i64::from(u32::MAX) - 1),
            b"transit" => s.in_transit = read(value, 0, 1) == Some(1),
            b"again" => s.is_redial = read(value, 0, 1) == Some(1),
            _ => {}
        }
    }
    let wait: Option<u32> = message.parameter(param::TIMEOUT_MS).and_then(number).filter(|ms| *ms > 0);
    s.timeout = Nanos::from(wait.unwrap_or(0)) * MS;
    // What goes into a line of text must not break it, and what goes to an exchange must fit in a message: an
    // exchange closes the connection on what it cannot read, with the calls of others open on it.
    let clean = |b: &u8| b.is_ascii_alphanumeric() || b"-_.+*#!~$&=,;/".contains(b);
    let dialled = (1..=MOST_NUMBER).contains(&s.called_number.len()) && s.called_number.iter().all(clean);
    let fits = SIP_HEAD + s.called_number.len() + s.class.len() + s.description.len() <= MAX_MESSAGE_BYTES;
    let described = message.parameter(param::DESCRIPTION).is_some();
    let named = s.call_id != 0 && s.destination != u32::MAX;
    if sound && named && dialled && described && fits && wait.is_some() {
        CallerRequest::SetUp(s)
    } else {
        CallerRequest::InvalidSetUp(s.call_id)
    }
}
