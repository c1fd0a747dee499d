//! A connection from callers, in binary messages.

use std::collections::VecDeque;

use pitchgw::interface::Nanos;

use crate::call::{CallerLink, Calls, FromCaller, SetUp, ToCaller};
use crate::clock::MS;
use crate::codec::binary::{self, kind, param, Message};
use crate::codec::{figures, Unreadable};
use crate::session::{drain, Inbox, Outbox};

/// Refused for want of room on the way (Q.850 42, switching equipment congestion): trying again is harmless.
const REFUSED: u8 = 42;
/// Failed (Q.850 41, temporary failure).
const FAILED: u8 = 41;
/// Releases not known to be heard that are kept, and for how long.
const UNHEARD_KEPT: usize = 1024;
const UNHEARD_FOR: Nanos = 1_000 * MS;

/// The state of one connection.
#[derive(Debug, Default)]
pub struct Caller {
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
        drain(&mut self.inbox, |rest| {
            let Some((message, taken)) = binary::parse(rest)? else { return Ok(None) };
            match message.kind {
                kind::SET_UP => calls.from_caller(now, link, set_up(&message)),
                kind::RELEASE => {
                    let (id, cause) = (message.call, message.cause().unwrap_or(16));
                    calls.from_caller(now, link, FromCaller::Release { id, cause });
                }
                kind::TEST => {
                    calls.counters.up("answered tests");
                    binary::write(out.buffer(), kind::TESTED, message.call, &[(param::CAUSE, &[1])]);
                }
                kind::RELEASE_HEARD => unheard.retain(|(_, id, _)| *id != message.call),
                _ => calls.counters.up("taken messages skipped"),
            }
            Ok(Some(taken))
        })
    }

    /// Writes what a caller is told.
    pub fn say(&mut self, now: Nanos, id: u64, say: &ToCaller) {
        let out = self.outbox.buffer();
        match say {
            ToCaller::Answer(description) => {
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
    for (name, value) in figures(message.parameter(param::FIGURES).unwrap_or_default()) {
        match name {
            b"dest" => s.destination = number(value).unwrap_or(u32::MAX),
            b"width" => s.width = number(value),
            b"via" => s.advised = number(value),
            b"transit" => s.transit = value == b"1",
            b"again" => s.again = value == b"1",
            _ => {}
        }
    }
    let wait: Option<u32> = message.parameter(param::WAIT).and_then(number);
    s.wait = Nanos::from(wait.unwrap_or(0)) * MS;
    // What goes into a line of text must not break it.
    let clean = |text: &[u8]| !text.is_empty() && text.iter().all(|b| b.is_ascii_graphic());
    let servable = wait.is_some() && s.destination != u32::MAX && clean(s.number);
    if servable {
        FromCaller::SetUp(s)
    } else {
        FromCaller::Unservable(s.id)
    }
}
