//! Session of a connection from callers, which uses the binary protocol.

use std::collections::VecDeque;

use pitchgw::interface::Nanos;

use crate::call::{
    CallerConnId, CallerNotification, CallerRequest, Calls, Conduct, SetUp, CAUSE_TEMPORARY_FAILURE,
};
use crate::clock::MS;
use crate::codec::binary::{self, kind, param, Message};
use crate::codec::{parse_attributes, ParseError, MAX_MESSAGE_BYTES};
use crate::session::{incomplete_message_since, process_messages, ReadBuffer, WriteBuffer};

/// Q.850 cause 42, switching equipment congestion: the set-up was refused, and the caller may redial.
const CAUSE_CONGESTION: u8 = 42;
/// Unacknowledged releases that are kept; the oldest are evicted first.
const MAX_UNACKED_RELEASES: usize = 1024;
/// How long a release may be repeated on another connection. Acknowledging a release is optional for callers.
const UNACKED_RELEASE_RETENTION: Nanos = 1_000 * MS;

/// A connection is not read any more after more bad messages than this.
const MAX_BAD_MESSAGES: u32 = 250;
/// Longest called number.
const MAX_CALLED_NUMBER_BYTES: usize = 128;
/// Size of a set-up in SIP without called number, class and description.
const SIP_OVERHEAD_BYTES: usize = 512;
/// Most circuits that one call can seize on a group.
const MAX_CALL_WIDTH: u32 = 1024;

/// The processing that input takes, in units of about a microsecond.
pub type Cost = u32;
/// Bytes of a message that cost one unit, beside the unit that each message costs.
const BYTES_PER_COST_UNIT: usize = 256;
/// What a set-up costs in addition: it is entered in the tables, routed and answered.
const SET_UP_COST: Cost = 8;

/// The cost of a message.
fn message_cost(message_kind: u8, message_bytes: usize) -> Cost {
    let for_bytes = 1 + (message_bytes / BYTES_PER_COST_UNIT) as Cost;
    match message_kind {
        kind::SET_UP => for_bytes + SET_UP_COST,
        _ => for_bytes,
    }
}

/// How likely it is that a connection has a caller, in ascending order. Other clients connect too.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallerLikelihood {
    /// Nothing but tests was received.
    Unknown,
    /// A release was received.
    Released,
    /// A set-up was received that a caller may send.
    SetUp,
    /// An answer for a standing call was sent. Only a real caller gets one.
    Confirmed,
}

/// What the messages of a connection say about its client.
#[derive(Debug, Default)]
struct ClientRecord {
    likelihood: Option<CallerLikelihood>,
    bad_messages: u32,
    unknown_releases: usize,
}

impl ClientRecord {
    fn raise_likelihood(&mut self, to: CallerLikelihood) {
        self.likelihood = self.likelihood.max(Some(to));
    }

    /// Records a request that makes the client look like a caller, unless it is bad.
    fn record(&mut self, conduct: Conduct, likelihood: CallerLikelihood, max_standing_calls: usize) {
        match conduct {
            Conduct::Sound => self.raise_likelihood(likelihood),
            // No more calls than that can be from before the start.
            Conduct::UnknownRelease if self.unknown_releases < max_standing_calls => {
                self.unknown_releases += 1;
                self.raise_likelihood(likelihood);
            }
            Conduct::UnknownRelease | Conduct::Bad => self.bad_messages += 1,
        }
    }
}

/// State of one connection.
#[derive(Debug, Default)]
pub struct CallerSession {
    client: ClientRecord,
    /// Whether any notification was sent on it.
    pub notified: bool,
    /// Whether a copy of a release that is kept elsewhere was sent on it.
    pub received_release_copies: bool,
    /// When the last complete message was received.
    pub last_message_at: Nanos,
    /// Since when the message being received has been incomplete.
    pub incomplete_since: Option<Nanos>,
    /// Whether the client has closed both directions: set-ups that it sent before are not carried out any more.
    pub client_left: bool,
    /// Whether input waits in the read buffer until it is the connection's turn.
    pub deferred: bool,
    /// When the whole allowance of the connection is available again.
    pub allowance_restored_at: Nanos,
    /// Releases that the caller has not acknowledged, oldest first: when they were sent, call id and cause.
    unacked_releases: VecDeque<(Nanos, u64, u8)>,
    /// Received bytes.
    pub read_buffer: ReadBuffer,
    /// Bytes to be written.
    pub write_buffer: WriteBuffer,
}

impl CallerSession {
    /// Processes the messages in the read buffer as far as the allowance goes, and deducts their costs from it. After an
    /// error the connection has to be closed.
    pub fn process_input(
        &mut self,
        now: Nanos,
        conn: CallerConnId,
        calls: &mut Calls,
        allowance: &mut Cost,
    ) -> Result<(), ParseError> {
        let (out, unacked_releases) = (&mut self.write_buffer, &mut self.unacked_releases);
        let (last_message_at, client) = (&mut self.last_message_at, &mut self.client);
        let (incomplete_since, mut completed) = (self.incomplete_since, false);
        let (client_left, deferred) = (self.client_left, &mut self.deferred);
        *deferred = false;
        process_messages(&mut self.read_buffer, |unread| {
            let Some((message, consumed)) = binary::parse(unread)? else { return Ok(None) };
            if *allowance == 0 {
                *deferred = true;
                return Ok(None);
            }
            *allowance = allowance.saturating_sub(message_cost(message.kind, consumed));
            (*last_message_at, completed) = (now, true);
            match message.kind {
                kind::SET_UP if client_left => calls.counters.increment("taken set-ups of clients that left"),
                kind::SET_UP => {
                    let request = parse_set_up(&message);
                    let conduct = calls.handle_caller_request(now, conn, request);
                    client.record(conduct, CallerLikelihood::SetUp, calls.max_standing_calls());
                }
                kind::RELEASE => {
                    let (call_id, cause) = (message.call_id, message.cause().unwrap_or(16));
                    let confirmed_caller = client.likelihood == Some(CallerLikelihood::Confirmed);
                    let request = CallerRequest::Release { call_id, cause, confirmed_caller };
                    let conduct = calls.handle_caller_request(now, conn, request);
                    client.record(conduct, CallerLikelihood::Released, calls.max_standing_calls());
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
                kind::RELEASE_ACK => unacked_releases.retain(|(_, id, _)| *id != message.call_id),
                kind::PROGRESS => {}
                _ => {
                    calls.counters.increment("taken messages skipped");
                    client.bad_messages += 1;
                }
            }
            // A client that keeps sending messages which cannot be served takes processing time from the
            // others.
            if client.bad_messages > MAX_BAD_MESSAGES {
                return Err(ParseError::Malformed);
            }
            Ok(Some(consumed))
        })?;
        self.incomplete_since =
            incomplete_message_since(&self.read_buffer, incomplete_since.filter(|_| !completed), now)
                .filter(|_| !self.deferred);
        Ok(())
    }

    /// Discards the input that was not processed.
    pub fn discard_input(&mut self) {
        self.read_buffer.clear();
        self.deferred = false;
    }

    /// How likely it is that the connection has a caller; `None` if all that is known of its client is bad.
    pub fn likelihood(&self) -> Option<CallerLikelihood> {
        let unknown = Some(CallerLikelihood::Unknown).filter(|_| self.client.bad_messages == 0);
        self.client.likelihood.or(unknown)
    }

    /// Whether the connection has a caller for certain.
    pub fn is_confirmed(&self) -> bool {
        self.client.likelihood == Some(CallerLikelihood::Confirmed)
    }

    /// Discards the record of unacknowledged releases: the connection is closed in an orderly way, so
    /// everything written to it arrives.
    pub fn forget_unacked_releases(&mut self) {
        self.unacked_releases.clear();
    }

    /// Writes a notification.
    pub fn send(&mut self, now: Nanos, id: u64, notification: &CallerNotification) {
        self.notified = true;
        let out = self.write_buffer.buffer();
        match notification {
            CallerNotification::Answer(description) => {
                self.client.raise_likelihood(CallerLikelihood::Confirmed);
                let parameters = [(param::DESCRIPTION, &description[..])];
                self.write_buffer
                    .append_tracked((id, 0), |out| binary::write(out, kind::ANSWER, id, &parameters));
            }
            CallerNotification::Refused(0) => {
                binary::write(out, kind::RELEASE, id, &[(param::CAUSE, &[CAUSE_CONGESTION])])
            }
            CallerNotification::Refused(pause) => {
                let retry_after_ms = pause.div_ceil(MS).to_string();
                let parameters = [
                    (param::CAUSE, &[CAUSE_CONGESTION][..]),
                    (param::RETRY_AFTER_MS, retry_after_ms.as_bytes()),
                ];
                binary::write(out, kind::RELEASE, id, &parameters);
            }
            CallerNotification::Failed => {
                binary::write(out, kind::RELEASE, id, &[(param::CAUSE, &[CAUSE_TEMPORARY_FAILURE])])
            }
            CallerNotification::Released(cause) => self.send_release(now, id, *cause, false),
        }
    }

    /// Sends a release, and keeps it until it is acknowledged. It is not written again if a copy was sent before.
    pub fn send_release(&mut self, now: Nanos, id: u64, cause: u8, has_copy: bool) {
        self.unacked_releases.push_back((now, id, cause));
        while self.unacked_releases.len() > MAX_UNACKED_RELEASES {
            self.unacked_releases.pop_front();
        }
        if !has_copy {
            self.write_release(id, cause);
        }
    }

    /// Sends a copy of a release that is kept elsewhere.
    pub fn send_release_copy(&mut self, id: u64, cause: u8) {
        self.received_release_copies = true;
        self.write_release(id, cause);
    }

    fn write_release(&mut self, id: u64, cause: u8) {
        self.notified = true;
        binary::write(self.write_buffer.buffer(), kind::RELEASE, id, &[(param::CAUSE, &[cause])]);
    }
}

/// Notifications that a lost connection may not have delivered.
#[derive(Debug)]
pub struct UndeliveredNotifications {
    /// Ids of the calls whose answer was not written completely.
    pub answers: Vec<u64>,
    /// Call ids and causes of recent releases that were not acknowledged. Older ones are left out, as callers
    /// need not acknowledge a release.
    pub releases: Vec<(u64, u8)>,
}

impl CallerSession {
    /// Processes the messages of a connection that was lost and are still in the read buffer, as far as they need no
    /// answer.
    pub fn process_remaining_input(&mut self, now: Nanos, conn: CallerConnId, calls: &mut Calls) {
        self.client_left = true;
        // Nothing is left to be closed after an error.
        let _ = self.process_input(now, conn, calls, &mut { Cost::MAX });
    }

    /// Ends the session of a connection that was lost.
    pub fn into_undelivered(mut self, now: Nanos) -> UndeliveredNotifications {
        let recent_releases =
            self.unacked_releases.iter().filter(|(sent_at, ..)| now < sent_at + UNACKED_RELEASE_RETENTION);
        UndeliveredNotifications {
            releases: recent_releases.map(|(_, id, cause)| (*id, *cause)).collect(),
            answers: self.write_buffer.clear().into_iter().map(|(id, _)| id).collect(),
        }
    }
}

/// Parses a decimal number in text.
fn parse_number<T: std::str::FromStr>(text: &[u8]) -> Option<T> {
    std::str::from_utf8(text).ok().and_then(|t| t.trim().parse().ok())
}

fn parse_set_up<'a>(message: &Message<'a>) -> CallerRequest<'a> {
    let mut set_up = SetUp {
        call_id: message.call_id,
        class: message.parameter(param::CLASS).unwrap_or_default(),
        timeout: 0,
        called_number: message.parameter(param::CALLED_NUMBER).unwrap_or_default(),
        destination: u32::MAX,
        width: None,
        advised_tandem: None,
        in_transit: false,
        after_cut: false,
        description: message.parameter(param::DESCRIPTION).unwrap_or_default(),
    };
    // An attribute that is malformed or out of range invalidates the set-up; it does not count as absent.
    let mut attributes_valid = true;
    let mut parse_attribute = |value, min: i64, max: i64| {
        let parsed: Option<i64> = parse_number(value).filter(|n| (min..=max).contains(n));
        attributes_valid &= parsed.is_some();
        parsed.and_then(|n| u32::try_from(n).ok())
    };
    for (name, value) in parse_attributes(message.parameter(param::ATTRIBUTES).unwrap_or_default()) {
        match name {
            b"dest" => {
                set_up.destination = parse_attribute(value, 0, i64::from(u32::MAX) - 1).unwrap_or(u32::MAX)
            }
            b"width" => set_up.width = parse_attribute(value, 1, i64::from(MAX_CALL_WIDTH)),
            b"via" => set_up.advised_tandem = parse_attribute(value, -1, i64::from(u32::MAX) - 1),
            b"transit" => set_up.in_transit = parse_attribute(value, 0, 1) == Some(1),
            b"again" => set_up.after_cut = parse_attribute(value, 0, 1) == Some(1),
            _ => {}
        }
    }
    let timeout_ms: Option<u32> =
        message.parameter(param::TIMEOUT_MS).and_then(parse_number).filter(|ms| *ms > 0);
    set_up.timeout = Nanos::from(timeout_ms.unwrap_or(0)) * MS;
    // The called number must not break the SIP lines it is written to, and the set-up must fit in one message
    // to an exchange. An exchange closes the connection on input it cannot parse, which affects the other
    // calls on it.
    let is_allowed = |b: &u8| b.is_ascii_alphanumeric() || b"-_.+*#!~$&=,;/".contains(b);
    let number_valid = (1..=MAX_CALLED_NUMBER_BYTES).contains(&set_up.called_number.len())
        && set_up.called_number.iter().all(is_allowed);
    let fits_in_message =
        SIP_OVERHEAD_BYTES + set_up.called_number.len() + set_up.class.len() + set_up.description.len()
            <= MAX_MESSAGE_BYTES;
    let has_description = message.parameter(param::DESCRIPTION).is_some();
    let has_ids = set_up.call_id != 0 && set_up.destination != u32::MAX;
    if attributes_valid
        && has_ids
        && number_valid
        && has_description
        && fits_in_message
        && timeout_ms.is_some()
    {
        CallerRequest::SetUp(set_up)
    } else {
        CallerRequest::InvalidSetUp(set_up.call_id)
    }
}
