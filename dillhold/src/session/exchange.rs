//! The link to one exchange, in SIP. It outlives its connections: releases that were not heard are said again
//! on the next one.

use std::collections::BTreeMap;

use pitchgw::interface::{Cause, ExchangeId, LoadReport, Nanos, Outcome};

use crate::call::{Calls, ExchangeEvent, ExchangeRequest};
use crate::clock::MS;
use crate::codec::sip::{self, Message, StartLine};
use crate::codec::{attributes, parse_call_id, Unreadable};
use crate::session::{drain, ReadBuffer, WriteBuffer};

/// Bytes that wait for an exchange at the most; past that its set-ups are not sent.
const WAITING: usize = 128 * 1024;
/// Releases not yet heard that are kept; the oldest goes first. All are said again at once on a new
/// connection, which is closed when more than 256 KiB wait there.
const UNHEARD_KEPT: usize = 1024;

/// The state of one link.
#[derive(Debug, Default)]
pub struct ExchangeSession {
    /// What came.
    pub read_buffer: ReadBuffer,
    /// What is to be written on the present connection, or on the next one.
    pub write_buffer: WriteBuffer,
    /// Since when the message that has begun to come has not become whole.
    pub incomplete_since: Option<Nanos>,
    /// Something was asked of the exchange on the present connection, or will be on the next one.
    pub has_requests: bool,
    /// Releases said and not heard yet: by call the cause.
    unheard: BTreeMap<u64, u8>,
}

impl ExchangeSession {
    /// Takes in what is in the read_buffer. An error means that the connection has to be closed.
    pub fn process_input(
        &mut self,
        now: Nanos,
        from: ExchangeId,
        calls: &mut Calls,
    ) -> Result<(), Unreadable> {
        let (out, unheard) = (&mut self.write_buffer, &mut self.unheard);
        let (before, mut whole) = (self.incomplete_since, false);
        drain(&mut self.read_buffer, |rest| {
            let Some((message, taken)) = sip::parse(rest)? else { return Ok(None) };
            match message.start_line {
                StartLine::Request(method) => request(now, from, method, &message, out.buffer(), calls),
                StartLine::Response(code) => {
                    let sequence = message.cseq();
                    match (message.call_id(), sequence) {
                        (Some(id), Some((number, b"INVITE"))) => {
                            invited(now, from, code, (id, number), &message, out.buffer(), calls);
                        }
                        (Some(id), Some((_, b"BYE"))) if code >= 200 => {
                            unheard.remove(&id);
                        }
                        (Some(_), Some(_)) => {}
                        // What answers nobody knows what is spoilt, and so may be what follows it.
                        _ => return Err(Unreadable::Malformed),
                    }
                }
            }
            whole = true;
            Ok(Some(taken))
        })?;
        let since = before.filter(|_| !whole).unwrap_or(now);
        self.incomplete_since = Some(since).filter(|_| !self.read_buffer.unread().is_empty());
        Ok(())
    }

    /// Writes what the exchange is told. False: a set-up that does not go out.
    pub fn send(&mut self, id: u64, say: &ExchangeRequest) -> bool {
        self.has_requests = true;
        match say {
            ExchangeRequest::SetUp { attempt, timeout, class, called_number, description } => {
                if self.write_buffer.pending().len() > WAITING {
                    return false;
                }
                // A release of an earlier attempt, said again, would end this one.
                self.unheard.remove(&id);
                let (class, number) =
                    (String::from_utf8_lossy(class), String::from_utf8_lossy(called_number));
                let (uri, wait) = (format!("sip:{number}@net"), timeout / MS);
                self.write_buffer.append_tracked((id, *attempt), |out| {
                    let further = format_args!("X-Service: {class}\r\nX-Setup-Ms: {wait}\r\n");
                    request_line(out, "INVITE", &uri, id, attempt + 1, further, description);
                });
            }
            ExchangeRequest::CancelAttempt { attempt } => {
                // A set-up that has not begun to leave is taken back: sent late it would cross the next one.
                if self.write_buffer.withdraw(|m| m == (id, *attempt)).is_empty() {
                    let out = self.write_buffer.buffer();
                    request_line(out, "CANCEL", "sip:call@net", id, attempt + 1, format_args!(""), b"");
                }
            }
            // Anybody can name calls that do not exist: what is said of them must not crowd out the rest.
            ExchangeRequest::ReleaseUnknown(_) if self.write_buffer.pending().len() > WAITING / 2 => {}
            ExchangeRequest::ReleaseUnknown(cause) => self.write_release(id, *cause),
            ExchangeRequest::Release(cause) => {
                self.write_release(id, *cause);
                if self.unheard.len() >= UNHEARD_KEPT {
                    self.unheard.pop_first();
                }
                self.unheard.insert(id, *cause);
            }
        }
        true
    }

    fn write_release(&mut self, id: u64, cause: u8) {
        let further = format_args!("Reason: Q.850;cause={cause}\r\n");
        request_line(self.write_buffer.buffer(), "BYE", "sip:call@net", id, 1000, further, b"");
    }

    /// The connection is gone, or never came up. Tells the attempts whose set-up had not left whole.
    pub fn connection_lost(&mut self) -> Vec<(u64, u32)> {
        (self.read_buffer, self.incomplete_since) = (ReadBuffer::default(), None);
        let unsent = self.write_buffer.clear();
        self.has_requests = !self.unheard.is_empty();
        for (id, cause) in std::mem::take(&mut self.unheard) {
            self.write_release(id, cause);
            self.unheard.insert(id, cause);
        }
        unsent
    }

    /// Takes back the set-ups that have not begun to leave.
    pub fn withdraw_set_ups(&mut self) -> Vec<(u64, u32)> {
        self.write_buffer.withdraw(|_| true)
    }

    /// Whether set-ups wait to be written.
    pub fn has_unsent_set_ups(&self) -> bool {
        self.write_buffer.has_unsent()
    }
}

fn request_line(
    out: &mut Vec<u8>,
    method: &str,
    uri: &str,
    id: u64,
    number: u32,
    further: std::fmt::Arguments<'_>,
    body: &[u8],
) {
    let call = format!("{id:016x}");
    let line = format_args!("{method} {uri} SIP/2.0");
    sip::write(out, line, call.as_bytes(), (number, method), further, body);
}

fn request(
    now: Nanos,
    from: ExchangeId,
    method: &[u8],
    message: &Message<'_>,
    out: &mut Vec<u8>,
    calls: &mut Calls,
) {
    match method {
        b"BYE" => {
            respond(message, "BYE", out);
            if let Some(call_id) = parse_call_id(message.raw_call_id()) {
                let cause = message.cause().unwrap_or(16);
                calls.handle_exchange_event(now, from, ExchangeEvent::Released { call_id, cause });
            }
        }
        b"OPTIONS" => {
            calls.counters.increment("answered tests");
            respond(message, "OPTIONS", out);
        }
        b"NOTIFY" => {
            let report = report(message, calls);
            calls.handle_exchange_event(now, from, ExchangeEvent::GroupReport(report));
        }
        _ => calls.counters.increment("taken messages skipped"),
    }
}

fn respond(message: &Message<'_>, method: &str, out: &mut Vec<u8>) {
    let number = message.cseq().map_or(1, |(number, _)| number);
    let line = format_args!("SIP/2.0 200 OK");
    sip::write(out, line, message.raw_call_id(), (number, method), format_args!(""), b"");
}

/// A response to a set-up. Which attempt it speaks of is not told: exchanges give the number of `CSeq` as
/// they like.
fn invited(
    now: Nanos,
    from: ExchangeId,
    code: u16,
    (call_id, number): (u64, u32),
    message: &Message<'_>,
    out: &mut Vec<u8>,
    calls: &mut Calls,
) {
    if code < 200 {
        return; // progress means nothing
    }
    request_line(out, "ACK", "sip:call@net", call_id, number, format_args!(""), b"");
    let said = if code < 300 {
        ExchangeEvent::Answered { call_id, description: message.body }
    } else {
        let (outcome, cause) = ending(code, message);
        ExchangeEvent::AttemptEnded { call_id, outcome, cause, report: report(message, calls) }
    };
    calls.handle_exchange_event(now, from, said);
}

fn ending(code: u16, message: &Message<'_>) -> (Outcome, Cause) {
    let wait = || {
        let ms = message.header("X-Queue-Ms").and_then(|v| std::str::from_utf8(v).ok());
        ms.and_then(|v| v.parse::<u32>().ok()).filter(|ms| *ms > 0).map(|ms| Nanos::from(ms) * MS)
    };
    let cause = match message.header("X-Cause").unwrap_or_default() {
        b"no_circuit" => Cause::NoCircuit,
        b"turned_back" => Cause::TurnedBack,
        b"far_overload" => Cause::FullBeyond,
        b"overload" => Cause::ProcessorFull(wait()),
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

/// The state of the group, where it is told: `X-Group: spare:81;total:81`, with the names of the settings.
fn report(message: &Message<'_>, calls: &Calls) -> LoadReport {
    let text = message.header("X-Group").unwrap_or_default();
    let [free, size] = &calls.settings().report;
    let get = |name: &str| {
        let (_, value) = attributes(text).find(|(n, _)| *n == name.as_bytes())?;
        let value: f64 = std::str::from_utf8(value).ok()?.parse().ok()?;
        Some(value).filter(|f| f.is_finite() && *f >= 0.0)
    };
    LoadReport { free_circuits: get(free), group_size: get(size), ..LoadReport::default() }
}
