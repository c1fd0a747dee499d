//! Set-ups and releases of callers: which set-ups are entered in the table, and how one ends other than by the decision
//! module.

use std::collections::BTreeSet;

use pitchgw::interface::{Event, ExchangeId, Nanos, NewCall, Outcome};

use super::recent::EndedCall;
use super::unknown_releases::{CallerRelease, ReleaseSender};
use super::{
    unix_ms, Call, CallerConnId, CallerNotification, Calls, Conduct, Deadline, ExchangeRequest, SetUp,
};

/// Largest timeout accepted in a set-up, as a multiple of the deadline of its class.
const MAX_TIMEOUT_IN_DEADLINES: u64 = 2;

/// A set-up that may be entered in the table.
struct Admission {
    /// Index of the class.
    class: usize,
    /// When the final answer is due.
    deadline: Nanos,
}

/// Why a set-up is not entered in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Rejection {
    /// Its parameters are invalid, or its id is that of a call that ended.
    Invalid,
    /// Its caller waits for too short a time, or this process is shutting down.
    TooLate,
    /// The table is full.
    TableFull,
}

/// Memory that an open set-up takes beside its number and description: its entries in the tables of this process and of
/// the decision module, and its deadlines.
const OPEN_SET_UP_BYTES: usize = 3 * 1024;

/// Memory that a set-up takes while it is open.
fn bytes_of(set_up: &SetUp<'_>) -> usize {
    OPEN_SET_UP_BYTES + set_up.called_number.len() + set_up.description.len()
}

impl Calls {
    pub(super) fn handle_set_up(&mut self, now: Nanos, conn: CallerConnId, set_up: &SetUp<'_>) -> Conduct {
        self.counters.increment("taken set-ups");
        if self.reject_duplicate_id(now, conn, set_up.call_id) {
            return Conduct::Bad;
        }
        match self.check_set_up(now, set_up) {
            Ok(admission) => {
                self.enter_set_up(now, conn, set_up, &admission);
                Conduct::Sound
            }
            Err(rejection) => self.reject_set_up(now, conn, set_up.call_id, rejection),
        }
    }

    fn check_set_up(&self, now: Nanos, set_up: &SetUp<'_>) -> Result<Admission, Rejection> {
        let class = self.settings.classes.iter().position(|c| c.as_bytes() == set_up.class);
        let class = class.ok_or(Rejection::Invalid)?;
        let max_timeout = MAX_TIMEOUT_IN_DEADLINES * self.module_settings.classes[class].deadline;
        // The id of an answered call is not reused: a late message for that call would be attributed to the
        // new one.
        if set_up.timeout > max_timeout || self.ended_calls.is_retired(set_up.call_id) {
            return Err(Rejection::Invalid);
        }
        let gives_up_at = now + set_up.timeout;
        let deadline = self.answer_by.map_or(gives_up_at, |by| by.min(gives_up_at));
        if self.refuses_set_ups || deadline <= now + self.module_settings.tick {
            return Err(Rejection::TooLate);
        }
        let has_capacity = self.open_set_ups < self.settings.max_open_set_ups
            && self.open_bytes + bytes_of(set_up) <= self.bounds.max_open_bytes
            && self.standing_count() < self.bounds.max_standing_calls;
        if has_capacity {
            Ok(Admission { class, deadline })
        } else {
            Err(Rejection::TableFull)
        }
    }

    /// Answers a set-up that is not entered in the table. Returns what it says about its client.
    pub(super) fn reject_set_up(
        &mut self,
        now: Nanos,
        conn: CallerConnId,
        id: u64,
        rejection: Rejection,
    ) -> Conduct {
        let (open, held, standing) = (self.open_set_ups, self.open_bytes, self.standing_count());
        let call = format_args!("{id:016x}");
        self.counters.increment(match rejection {
            Rejection::Invalid => {
                tracing::info!(call, conn, "set-up failed: invalid parameters or call id");
                "taken set-ups unservable"
            }
            Rejection::TooLate => "answered refused while leaving",
            Rejection::TableFull => {
                tracing::info!(call, open, held, standing, "set-up refused: call table is full");
                "answered refused for want of room"
            }
        });
        if rejection == Rejection::Invalid {
            self.answer_without_entry(now, conn, id, CallerNotification::Failed);
            return Conduct::Bad;
        }
        let retry_after = self.module_settings.max_retry_after.unwrap_or(0);
        self.answer_without_entry(now, conn, id, CallerNotification::Refused(retry_after));
        Conduct::Sound
    }

    /// Number of standing calls.
    pub(super) fn standing_count(&self) -> usize {
        self.calls_by_id.len() - self.open_set_ups
    }

    /// Answers a set-up that is not entered in the table. Its id is remembered like that of any set-up that was answered:
    /// the caller may give it up at the same moment.
    fn answer_without_entry(&mut self, now: Nanos, conn: CallerConnId, id: u64, answer: CallerNotification) {
        self.notify_caller(Some(conn), id, answer);
        if !self.ended_calls.contains(id) {
            self.remember_ended_call(now, id, EndedCall { retired: false, sent_on: false });
        }
    }

    /// Fails a set-up with the id of a call that is open or stands. If it came on the connection of that
    /// call, the caller cannot tell which of the two an answer is for, so the existing call is ended too, and
    /// the one failure answers both set-ups.
    pub(super) fn reject_duplicate_id(&mut self, now: Nanos, conn: CallerConnId, id: u64) -> bool {
        let Some(known) = self
            .calls_by_id
            .get(&id)
            .map(|c| (c.caller_conn == conn, c.awaits_final_answer, c.answered_attempt))
        else {
            return false;
        };
        self.counters.increment("taken set-ups twice");
        self.notify_caller(Some(conn), id, CallerNotification::Failed);
        match known {
            (true, true, _) => self.end_open_set_up(now, id, true),
            (true, false, Some(attempt)) => {
                self.request_exchange(attempt.exchange, id, ExchangeRequest::Release(16));
                self.end_standing_call(now, id, Outcome::CalledOff);
            }
            _ => {}
        }
        true
    }

    /// Enters a set-up in the table and passes it to the decision module.
    fn enter_set_up(&mut self, now: Nanos, conn: CallerConnId, set_up: &SetUp<'_>, admission: &Admission) {
        let (class, deadline, set_up_bytes) = (admission.class, admission.deadline, bytes_of(set_up));
        let handle = self.next_handle;
        self.next_handle += 1;
        let width = set_up.width.unwrap_or(self.module_settings.classes[class].width);
        self.ids_by_handle.insert(handle, set_up.call_id);
        self.calls_by_id.insert(
            set_up.call_id,
            Call {
                handle,
                caller_conn: conn,
                set_up_bytes,
                class,
                called_number: set_up.called_number.to_vec(),
                number_handle: None,
                description: set_up.description.to_vec(),
                destination: set_up.destination,
                width,
                in_transit: set_up.in_transit,
                deadline,
                attempt_count: 0,
                ended_sequences: Vec::new(),
                pending_attempt: None,
                sent_on: false,
                answered_attempt: None,
                answered_on: 0,
                stands_since: now,
                awaits_final_answer: true,
                next_attempt_at: now,
            },
        );
        (self.open_set_ups, self.open_bytes) = (self.open_set_ups + 1, self.open_bytes + set_up_bytes);
        self.update_connection(conn, |calls| {
            calls.open_set_ups.insert(set_up.call_id);
        });
        // The decision module answers two ticks before the deadline. If there is no answer half a tick before
        // it, the call is failed here whatever the reason; any earlier would pre-empt the module.
        self.deadlines.add(
            deadline.saturating_sub(self.module_settings.tick / 2),
            Deadline::FinalAnswer(set_up.call_id, handle),
        );
        let dialled =
            Some(set_up.called_number).filter(|n| !n.is_empty()).map(|n| self.number_handles.handle(now, n));
        if let (Some(meter), Some(call)) = (&mut self.meter, self.calls_by_id.get_mut(&set_up.call_id)) {
            call.number_handle = dialled;
            meter.record_offered(unix_ms(now), call.metered(), dialled, set_up.after_cut);
        }
        self.dispatch_event(
            now,
            Event::CallOffered(NewCall {
                call: handle,
                class,
                dialled,
                deadline,
                destination: set_up.destination,
                width,
                advised_route: set_up.advised_tandem,
                in_transit: set_up.in_transit,
                after_cut: set_up.after_cut,
            }),
        );
    }

    /// Cancels an open set-up or releases a standing call at the caller's request. An open set-up is cancelled only on the
    /// connection that it came on.
    pub(super) fn handle_caller_release(
        &mut self,
        now: Nanos,
        from: ReleaseSender,
        release: CallerRelease,
    ) -> Conduct {
        let CallerRelease { call_id: id, cause } = release;
        let Some(call) = self.calls_by_id.get(&id) else {
            // The id of a call that ended recently only crossed its end and is ignored.
            if self.ended_calls.contains(id) {
                return Conduct::Sound;
            }
            self.queue_unknown_release(now, from, release);
            return Conduct::UnknownRelease;
        };
        if call.awaits_final_answer {
            // No connection owns a call that stands, but an open set-up belongs to the one that awaits its answer.
            if call.caller_conn != from.conn {
                self.counters.increment("taken releases of foreign set-ups");
                return Conduct::Bad;
            }
            self.counters.increment("taken set-ups given up");
            self.end_open_set_up(now, id, true);
        } else if let Some(attempt) = call.answered_attempt {
            self.counters.increment("taken releases from callers");
            self.request_exchange(attempt.exchange, id, ExchangeRequest::Release(cause));
            self.end_standing_call(now, id, Outcome::CalledOff);
        }
        Conduct::Sound
    }

    /// Releases a call that this process does not know. It may be from before its start and stand at any exchange.
    fn queue_unknown_release(&mut self, now: Nanos, from: ReleaseSender, release: CallerRelease) {
        self.counters.increment("taken releases of unknown calls");
        self.remember_ended_call(now, release.call_id, EndedCall { retired: true, sent_on: false });
        if let Some(dropped) = self.unknown_releases.push(from, release) {
            // If its caller repeats it, it is not taken for one that crossed the end of its call.
            self.ended_calls.forget(dropped.call_id);
            self.counters.increment("errors releases of unknown calls dropped");
            tracing::debug!(
                call = format_args!("{:016x}", dropped.call_id),
                "release of an unknown call dropped"
            );
        }
        if !self.unknown_releases.send_scheduled {
            self.send_unknown_releases(now);
        }
    }

    /// Sends the releases of unknown calls that can be sent now, each to all exchanges.
    pub(super) fn send_unknown_releases(&mut self, now: Nanos) {
        while let Some(CallerRelease { call_id, cause }) = self.unknown_releases.pop(now) {
            let exchanges: Vec<ExchangeId> = self.directory.machines().map(|(id, _)| id).collect();
            for exchange in exchanges {
                self.request_exchange(exchange, call_id, ExchangeRequest::ReleaseUnknown(cause));
            }
        }
        self.unknown_releases.send_scheduled = self.unknown_releases.len() > 0;
        if self.unknown_releases.send_scheduled {
            self.deadlines.add(self.unknown_releases.next_send_at(), Deadline::ReleaseUnknownCalls);
        }
    }

    /// Removes an open set-up after its caller gave up, or after it was answered without the decision
    /// module. With `retire_id`, the id is not accepted again for a while.
    pub(super) fn end_open_set_up(&mut self, now: Nanos, id: u64, retire_id: bool) {
        if let Some(handle) = self.mark_final_answer_given(id) {
            self.dispatch_event(now, Event::CallerGaveUp(handle));
            self.cancel_attempt(now, id, Outcome::CalledOff);
            self.remove_call(now, id, retire_id);
        }
    }

    /// The ids of the set-ups on a caller's connection that await a final answer.
    fn open_set_ups_on(&self, conn: CallerConnId) -> BTreeSet<u64> {
        let calls = self.calls_by_connection.get(&conn);
        calls.map(|calls| calls.open_set_ups.clone()).unwrap_or_default()
    }

    /// Ends the open set-ups of a caller's connection that was closed. The id of one that was sent on is not accepted again,
    /// as it may have run; one that was not may be sent again on another connection.
    pub fn caller_disconnected(&mut self, now: Nanos, conn: CallerConnId) {
        for id in self.open_set_ups_on(conn) {
            self.counters.increment("errors set-ups lost with their caller");
            let sent_on = self.calls_by_id.get(&id).is_some_and(|call| call.sent_on);
            self.end_open_set_up(now, id, sent_on);
        }
    }

    /// Fails the open set-ups of a caller's connection whose memory is needed.
    pub fn fail_open_set_ups(&mut self, now: Nanos, conn: CallerConnId) {
        for id in self.open_set_ups_on(conn) {
            self.counters.increment("errors set-ups failed for want of memory");
            self.fail_set_up(now, id);
        }
    }

    /// Gives an open set-up its final answer without the decision module: it failed.
    pub(super) fn fail_set_up(&mut self, now: Nanos, id: u64) {
        let Some(call) = self.calls_by_id.get(&id).filter(|call| call.awaits_final_answer) else { return };
        let conn = call.caller_conn;
        self.notify_caller(Some(conn), id, CallerNotification::Failed);
        self.end_open_set_up(now, id, true);
    }
}
