//! A connection from callers, in binary messages.

use std::collections::VecDeque;

use pitchgw::interface::Nanos;

use crate::call::{CallerLink, Calls, FromCaller, SetUp, ToCaller};
use crate::clock::MS;
use crate::codec::binary::{self, kind, param, Message};
use crate::codec::{figures, Unreadable, MESSAGE_CAP};
use crate::session::{drain, Inbox, Outbox};

/// Refused for want of room on the way (Q.850 42, switching equipment congestion): trying again is harmless.
const REFUSED: u8 = 42;
/// Failed (Q.850 41, temporary failure).
const FAILED: u8 = 41;
/// Releases not known to be heard that are kept, and for how long.
const UNHEARD_KEPT: usize = 1024;
const UNHEARD_FOR: Nanos = 1_000 * MS;

/// Messages that cannot be served after which a connection is closed. Soon after a start callers release calls
/// of before it, which are not known here either.
const MOST_FAULTS: u32 = 250;
/// Longest number called; bytes that a set-up takes in SIP beside number and description.
const MOST_NUMBER: usize = 128;
const SIP_HEAD: usize = 512;
/// Circuits that one call can take at the most.
const MOST_WIDTH: u32 = 1024;

/// The state of one connection.
#[derive(Debug, Default)]
pub struct Caller {
    /// It was told that a call stands: there is a caller at its other end, and not just anybody.
    pub proven: bool,
    /// It was told anything of a call.
    pub answered: bool,
    /// When a whole message last came.
    pub heard: Nanos,
    faults: u32,
    /// Releases said here and not heard yet, in order.
    unheard: VecDeque<(Nanos, u64, u8)>,
    /// What came.
    pub inbox: Inbox,
    /// What is to be written.
    pub outbox: Outbox,
}

impl Caller {
    /// Takes in what is in the inbox. An error means that the connection has to be closed.
    pub fn feed(&mut self, now: Nanos, link: CallerLink, calls: &mut Calls) -> Result<(), Unreadable> {
        let (out, unheard) = (&mut self.outbox, &mut self.unheard);
        let (heard, faults) = (&mut self.heard, &mut self.faults);
        drain(&mut self.inbox, |rest| {
            let Some((message, taken)) = binary::parse(rest)? else { return Ok(None) };
            *heard = now;
            match message.kind {
                kind::SET_UP => {
                    let said = set_up(&message);
                    let served = calls.from_caller(now, link, said);
                    *faults += u32::from(!served);
                }
                kind::RELEASE => {
                    let (id, cause) = (message.call, message.cause().unwrap_or(16));
                    let known = calls.from_caller(now, link, FromCaller::Release { id, cause });
                    *faults += u32::from(!known);
                }
                kind::TEST => {
                    calls.counters.up("answered tests");
                    binary::write(out.buffer(), kind::TESTED, message.call, &[(param::CAUSE, &[1])]);
                }
                kind::RELEASE_HEARD => unheard.retain(|(_, id, _)| *id != message.call),
                _ => {
                    calls.counters.up("taken messages skipped");
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
    pub fn is_sound(&self) -> bool {
        self.faults == 0 && self.inbox.rest().is_empty()
    }

    /// All that was written arrives: the connection is closed in order.
    pub fn heard_all(&mut self) {
        self.unheard.clear();
    }

    /// Writes what a caller is told.
    pub fn say(&mut self, now: Nanos, id: u64, say: &ToCaller) {
        self.answered = true;
        let out = self.outbox.buffer();
        match say {
            ToCaller::Answer(description) => {
                self.proven = true;
                let parameters = [(param::DESCRIPTION, &description[..])];
                self.outbox.mark((id, 0), |out| binary::write(out, kind::ANSWER, id, &parameters));
            }
            ToCaller::Refused(0) => binary::write(out, kind::RELEASE, id, &[(param::CAUSE, &[REFUSED])]),
            ToCaller::Refused(pause) => {
                let pause = pause.div_ceil(MS).to_string();
                let parameters = [(param::CAUSE, &[REFUSED][..]), (param::PAUSE, pause.as_bytes())];
                binary::write(out, kind::RELEASE, id, &parameters);
            }
            ToCaller::Failed => binary::write(out, kind::RELEASE, id, &[(param::CAUSE, &[FAILED])]),
            ToCaller::Released(cause) => {
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
pub struct Unfinished {
    /// Calls whose answer has not left whole.
    pub answers: Vec<u64>,
    /// Releases that may not have arrived. A caller need not tell that it heard one, so those of long ago are
    /// not among them.
    pub releases: Vec<(u64, u8)>,
}

impl Caller {
    /// The connection is gone.
    pub fn lost(mut self, now: Nanos) -> Unfinished {
        let lately = self.unheard.iter().filter(|(at, ..)| now < at + UNHEARD_FOR);
        Unfinished {
            releases: lately.map(|(_, id, cause)| (*id, *cause)).collect(),
            answers: self.outbox.clear().into_iter().map(|(id, _)| id).collect(),
        }
    }
}

/// A whole number in text, zero or above.
fn number<T: std::str::FromStr>(text: &[u8]) -> Option<T> {
    std::str::from_utf8(text).ok().and_then(|t| t.trim().parse().ok())
}

fn set_up<'a>(message: &Message<'a>) -> FromCaller<'a> {
    let mut s = SetUp {
        id: message.call,
        class: message.parameter(param::CLASS).unwrap_or_default(),
        wait: 0,
        number: message.parameter(param::NUMBER).unwrap_or_default(),
        destination: u32::MAX,
        width: None,
        advised: None,
        transit: false,
        again: false,
        description: message.parameter(param::DESCRIPTION).unwrap_or_default(),
    };
    // A figure that is no number, or that no call can have, is not taken for one that was left out.
    let mut sound = true;
    let mut read = |value, least: i64, most: i64| {
        let found: Option<i64> = number(value).filter(|n| (least..=most).contains(n));
        sound &= found.is_some();
        found.and_then(|n| u32::try_from(n).ok())
    };
    for (name, value) in figures(message.parameter(param::FIGURES).unwrap_or_default()) {
        match name {
            b"dest" => s.destination = read(value, 0, i64::from(u32::MAX) - 1).unwrap_or(u32::MAX),
            b"width" => s.width = read(value, 1, i64::from(MOST_WIDTH)),
            b"via" => s.advised = read(value, -1, i64::from(u32::MAX) - 1),
            b"transit" => s.transit = read(value, 0, 1) == Some(1),
            b"again" => s.again = read(value, 0, 1) == Some(1),
            _ => {}
        }
    }
    let wait: Option<u32> = message.parameter(param::WAIT).and_then(number).filter(|ms| *ms > 0);
    s.wait = Nanos::from(wait.unwrap_or(0)) * MS;
    // What goes into a line of text must not break it, and what goes to an exchange must fit in a message: an
    // exchange closes the connection on what it cannot read, with the calls of others open on it.
    let clean = |b: &u8| b.is_ascii_alphanumeric() || b"-_.+*#!~$&=,;/".contains(b);
    let dialled = (1..=MOST_NUMBER).contains(&s.number.len()) && s.number.iter().all(clean);
    let fits = SIP_HEAD + s.number.len() + s.class.len() + s.description.len() <= MESSAGE_CAP;
    let described = message.parameter(param::DESCRIPTION).is_some();
    let named = s.id != 0 && s.destination != u32::MAX;
    if sound && named && dialled && described && fits && wait.is_some() {
        FromCaller::SetUp(s)
    } else {
        FromCaller::Unservable(s.id)
    }
}
