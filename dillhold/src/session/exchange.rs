//! Session of the link to one exchange, which uses SIP. It outlives single connections: unacknowledged
//! releases are repeated on the next one.

use std::collections::{BTreeMap, VecDeque};

use pitchgw::interface::{Cause, LoadReport, Nanos, Outcome};

use crate::call::{Calls, ExchangeEvent, ExchangeRequest, MessageSource, TestNumber};
use crate::clock::MS;
use crate::codec::sip::{self, Message, StartLine};
use crate::codec::{parse_attributes, parse_call_id, ParseError};
use crate::session::{incomplete_message_since, process_messages, ReadBuffer, WriteBuffer};

/// The number of a release in `CSeq`, above that of any set-up: a request with a lower number than an earlier one of its call
/// is out of order.
pub(crate) const RELEASE_SEQUENCE: u32 = i32::MAX as u32;

/// Set-ups are not sent while more bytes than this are pending.
const MAX_PENDING_BYTES: usize = 128 * 1024;
/// Unacknowledged releases that are kept; the one with the lowest call id is evicted first. All of them are
/// repeated at once on a new connection, which is closed when more than 256 KiB are pending on it.
const MAX_UNACKED_RELEASES: usize = 1024;
/// The same for releases of calls that this process does not know; the oldest is evicted first.
const MAX_UNACKED_UNKNOWN_RELEASES: usize = 256;
/// Releases of an exchange whose acknowledgement is held; others are acknowledged at once.
const MAX_HELD_ACKNOWLEDGEMENTS: usize = 1024;
/// How long such a release is repeated. An exchange at which the call does not stand need not acknowledge it.
const UNKNOWN_RELEASE_RETENTION: Nanos = 10_000 * MS;

/// State of one link.
#[derive(Debug, Default)]
pub struct ExchangeSession {
    /// Received bytes.
    pub read_buffer: ReadBuffer,
    /// Bytes to be written on the current connection, or on the next one.
    pub write_buffer: WriteBuffer,
    /// Since when the message being received has been incomplete.
    pub incomplete_since: Option<Nanos>,
    /// Whether a request was written for the current connection, or for the next one.
    pub has_requests: bool,
    /// Releases of the exchange that are acknowledged once a caller was told of them.
    held_acks: HeldAcknowledgements,
    /// Causes of the releases that the exchange has not acknowledged, by call id.
    unacked_releases: BTreeMap<u64, u8>,
    /// The same for releases of calls that this process does not know, oldest first.
    unacked_unknown_releases: VecDeque<UnknownRelease>,
}

#[derive(Debug)]
struct UnknownRelease {
    sent_at: Nanos,
    call_id: u64,
    cause: u8,
}

/// Releases of calls from before this process started, each with the number of its `CSeq`. An exchange sends a release that
/// was not acknowledged on the next connection too, so that one which still waits for a caller outlives this process.
#[derive(Debug, Default)]
struct HeldAcknowledgements {
    cseq_by_call: BTreeMap<u64, u32>,
}

impl HeldAcknowledgements {
    /// Holds an acknowledgement. Returns false if too many are held.
    fn hold(&mut self, call_id: u64, cseq_number: u32) -> bool {
        let has_room = self.cseq_by_call.len() < MAX_HELD_ACKNOWLEDGEMENTS;
        if has_room {
            self.cseq_by_call.insert(call_id, cseq_number);
        }
        has_room
    }
}

impl ExchangeSession {
    /// Acknowledges the release of a call from before this process started. Returns whether it was held until now.
    pub fn acknowledge_release(&mut self, call_id: u64) -> bool {
        let Some(cseq_number) = self.held_acks.cseq_by_call.remove(&call_id) else { return false };
        let id = format!("{call_id:016x}");
        write_ok_response(id.as_bytes(), (cseq_number, "BYE"), self.write_buffer.buffer());
        true
    }

    /// Processes the messages in the read buffer. After an error the connection has to be closed.
    pub fn process_input(
        &mut self,
        now: Nanos,
        from: MessageSource,
        calls: &mut Calls,
    ) -> Result<(), ParseError> {
        let (out, unacked_releases) = (&mut self.write_buffer, &mut self.unacked_releases);
        let unacked_unknown_releases = &mut self.unacked_unknown_releases;
        let held_acks = &mut self.held_acks;
        let (incomplete_since, mut completed) = (self.incomplete_since, false);
        process_messages(&mut self.read_buffer, |unread| {
            let Some((message, consumed)) = sip::parse(unread)? else { return Ok(None) };
            match message.start_line {
                StartLine::Request(method) => {
                    handle_request(now, from, method, &message, out.buffer(), held_acks, calls)
                }
                StartLine::Response(code) => {
                    let cseq = message.cseq();
                    match (message.call_id(), cseq) {
                        (Some(id), Some((number, b"INVITE"))) => {
                            handle_set_up_response(
                                now,
                                from,
                                code,
                                (id, number),
                                &message,
                                out.buffer(),
                                calls,
                            );
                        }
                        (Some(id), Some((_, b"BYE"))) if code >= 200 => {
                            if unacked_releases.remove(&id).is_none() {
                                unacked_unknown_releases.retain(|release| release.call_id != id);
                            }
                        }
                        (Some(number), Some((_, b"OPTIONS"))) => calls.handle_test_response(from, number),
                        (Some(_), Some(_)) => {}
                        // A response that cannot be matched to a request is corrupt, and the bytes after it
                        // may be too.
                        _ => return Err(ParseError::Malformed),
                    }
                }
            }
            completed = true;
            Ok(Some(consumed))
        })?;
        self.incomplete_since =
            incomplete_message_since(&self.read_buffer, incomplete_since.filter(|_| !completed), now);
        Ok(())
    }

    /// Writes a request. Returns false for a set-up that is not sent because too many bytes are pending.
    pub fn send(&mut self, now: Nanos, id: u64, request: &ExchangeRequest) -> bool {
        self.has_requests = true;
        match request {
            ExchangeRequest::SetUp { attempt, sequence, timeout, class, called_number, description } => {
                if self.write_buffer.pending().len() > MAX_PENDING_BYTES {
                    return false;
                }
                // Repeating the release of an earlier attempt would end this one.
                self.unacked_releases.remove(&id);
                let (class, called_number) =
                    (String::from_utf8_lossy(class), String::from_utf8_lossy(called_number));
                let (uri, timeout_ms) = (format!("sip:{called_number}@net"), timeout / MS);
                self.write_buffer.append_tracked((id, *attempt), |out| {
                    let headers = format_args!("X-Service: {class}\r\nX-Setup-Ms: {timeout_ms}\r\n");
                    write_request(out, "INVITE", &uri, id, *sequence, headers, description);
                });
            }
            ExchangeRequest::CancelAttempt { attempt, sequence } => {
                // A set-up that has not begun to be written is withdrawn: sent late, it would cross the next
                // one.
                if self.write_buffer.withdraw(|tracked| tracked == (id, *attempt)).is_empty() {
                    let out = self.write_buffer.buffer();
                    write_request(out, "CANCEL", "sip:call@net", id, *sequence, format_args!(""), b"");
                }
            }
            ExchangeRequest::ReleaseUnknown(cause) => self.send_unknown_release(now, id, *cause),
            ExchangeRequest::Release(cause) => {
                self.write_release(id, *cause);
                if self.unacked_releases.len() >= MAX_UNACKED_RELEASES {
                    self.unacked_releases.pop_first();
                }
                self.unacked_releases.insert(id, *cause);
            }
        }
        true
    }

    /// Sends a test, which an exchange answers at once. The number is repeated in the response.
    pub fn send_test(&mut self, number: TestNumber) {
        self.has_requests = true;
        let out = self.write_buffer.buffer();
        write_request(out, "OPTIONS", "sip:ping@net", number, 1, format_args!(""), b"");
    }

    /// Whether releases wait for an acknowledgement of the exchange.
    pub fn has_unacked_releases(&self) -> bool {
        !self.unacked_releases.is_empty()
    }

    /// Takes the releases that the exchange has not acknowledged: call ids and causes.
    pub fn take_unacked_releases(&mut self) -> BTreeMap<u64, u8> {
        std::mem::take(&mut self.unacked_releases)
    }

    /// Sends the release of a call that this process does not know. It is not written when much is pending: any client can
    /// send releases of calls that do not exist, and they must not crowd out other requests.
    fn send_unknown_release(&mut self, now: Nanos, call_id: u64, cause: u8) {
        if self.write_buffer.pending().len() <= MAX_PENDING_BYTES / 2 {
            self.write_release(call_id, cause);
        }
        if self.unacked_unknown_releases.len() >= MAX_UNACKED_UNKNOWN_RELEASES {
            self.unacked_unknown_releases.pop_front();
        }
        self.unacked_unknown_releases.push_back(UnknownRelease { sent_at: now, call_id, cause });
    }

    fn write_release(&mut self, id: u64, cause: u8) {
        let headers = format_args!("Reason: Q.850;cause={cause}\r\n");
        write_request(self.write_buffer.buffer(), "BYE", "sip:call@net", id, RELEASE_SEQUENCE, headers, b"");
    }

    /// Resets the session after its connection was lost or could not be established. Returns the call ids and
    /// attempt numbers of the set-ups that were not written completely.
    pub fn connection_lost(&mut self, now: Nanos) -> Vec<(u64, u32)> {
        (self.read_buffer, self.incomplete_since) = (ReadBuffer::default(), None);
        self.held_acks = HeldAcknowledgements::default();
        let unsent = self.write_buffer.clear();
        self.unacked_unknown_releases.retain(|release| now < release.sent_at + UNKNOWN_RELEASE_RETENTION);
        let known = self.unacked_releases.iter().map(|(id, cause)| (*id, *cause));
        let unknown = self.unacked_unknown_releases.iter().map(|release| (release.call_id, release.cause));
        let repeated: Vec<(u64, u8)> = known.chain(unknown).collect();
        self.has_requests = !repeated.is_empty();
        for (id, cause) in repeated {
            self.write_release(id, cause);
        }
        unsent
    }

    /// Withdraws the set-ups that have not begun to be written. Returns their call ids and attempt numbers.
    pub fn withdraw_set_ups(&mut self) -> Vec<(u64, u32)> {
        self.write_buffer.withdraw(|_| true)
    }

    /// Whether set-ups wait to be written.
    pub fn has_unsent_set_ups(&self) -> bool {
        self.write_buffer.has_unsent()
    }
}

fn write_request(
    out: &mut Vec<u8>,
    method: &str,
    uri: &str,
    id: u64,
    cseq_number: u32,
    headers: std::fmt::Arguments<'_>,
    body: &[u8],
) {
    let call_id = format!("{id:016x}");
    let start_line = format_args!("{method} {uri} SIP/2.0");
    sip::write(out, start_line, call_id.as_bytes(), (cseq_number, method), headers, body);
}

fn handle_request(
    now: Nanos,
    from: MessageSource,
    method: &[u8],
    message: &Message<'_>,
    out: &mut Vec<u8>,
    held_acks: &mut HeldAcknowledgements,
    calls: &mut Calls,
) {
    match method {
        b"BYE" => {
            let call_id = parse_call_id(message.raw_call_id());
            let cseq_number = message.cseq().map_or(1, |(number, _)| number);
            let is_held = call_id.is_some_and(|call_id| {
                calls.is_release_of_unknown_call(call_id) && held_acks.hold(call_id, cseq_number)
            });
            if !is_held {
                write_ok_response(message.raw_call_id(), (cseq_number, "BYE"), out);
            }
            if let Some(call_id) = call_id {
                let cause = message.cause().unwrap_or(16);
                calls.handle_exchange_event(now, from, ExchangeEvent::Released { call_id, cause });
            }
        }
        b"OPTIONS" => {
            calls.counters.increment("answered tests");
            let cseq_number = message.cseq().map_or(1, |(number, _)| number);
            write_ok_response(message.raw_call_id(), (cseq_number, "OPTIONS"), out);
        }
        b"NOTIFY" => {
            let report = parse_group_report(message, calls);
            calls.handle_exchange_event(now, from, ExchangeEvent::GroupReport(report));
        }
        _ => calls.counters.increment("taken messages skipped"),
    }
}

fn write_ok_response(call_id: &[u8], cseq: (u32, &str), out: &mut Vec<u8>) {
    sip::write(out, format_args!("SIP/2.0 200 OK"), call_id, cseq, format_args!(""), b"");
}

/// Handles a response to a set-up. Exchanges may choose the number of `CSeq` freely, so that it does not always identify the
/// attempt.
fn handle_set_up_response(
    now: Nanos,
    from: MessageSource,
    code: u16,
    (call_id, cseq_number): (u64, u32),
    message: &Message<'_>,
    out: &mut Vec<u8>,
    calls: &mut Calls,
) {
    if code < 200 {
        return; // provisional responses are ignored
    }
    write_request(out, "ACK", "sip:call@net", call_id, cseq_number, format_args!(""), b"");
    let is_repeated = calls.is_repeated_response(from.exchange, call_id, cseq_number);
    if is_repeated && code >= 300 {
        return calls.counters.increment("taken endings twice");
    }
    let event = if code < 300 {
        ExchangeEvent::Answered { call_id, description: message.body }
    } else {
        let (outcome, cause) = parse_failure(code, message);
        ExchangeEvent::AttemptEnded { call_id, outcome, cause, report: parse_group_report(message, calls) }
    };
    calls.handle_exchange_event(now, from, event);
}

/// The outcome and cause that a failure response to a set-up states.
fn parse_failure(code: u16, message: &Message<'_>) -> (Outcome, Cause) {
    let queue_wait = || {
        let ms = message.header("X-Queue-Ms").and_then(|v| std::str::from_utf8(v).ok());
        ms.and_then(|v| v.parse::<u32>().ok()).filter(|ms| *ms > 0).map(|ms| Nanos::from(ms) * MS)
    };
    let cause = match message.header("X-Cause").unwrap_or_default() {
        b"no_circuit" => Cause::NoCircuit,
        b"turned_back" => Cause::TurnedBack,
        b"far_overload" => Cause::FullBeyond,
        b"overload" => Cause::ProcessorFull(queue_wait()),
        b"lines_busy" => Cause::NumberBusy,
        _ => Cause::Untold,
    };
    let outcome = match code {
        503 => Outcome::Rejected,
        480 => Outcome::NotSent,
        504 => Outcome::Cut,
        _ => Outcome::Failed,
    };
    (outcome, cause)
}

/// The state of the group, if the message has one: `X-Group: spare:81;total:81`, with the field names from
/// the settings.
fn parse_group_report(message: &Message<'_>, calls: &Calls) -> LoadReport {
    let text = message.header("X-Group").unwrap_or_default();
    let [free_field, size_field] = &calls.settings().report_fields;
    let field = |field_name: &str| {
        let (_, value) = parse_attributes(text).find(|(name, _)| *name == field_name.as_bytes())?;
        let value: f64 = std::str::from_utf8(value).ok()?.parse().ok()?;
        Some(value).filter(|v| v.is_finite() && *v >= 0.0)
    };
    LoadReport { free_circuits: field(free_field), group_size: field(size_field), ..LoadReport::default() }
}
