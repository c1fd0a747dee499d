//! Watches exchanges on which calls stand: checks those that are silent, and ends the calls of those that have
//! vanished or have lost their calls while they were out of reach.

use pitchgw::interface::{ExchangeId, Nanos};

use super::close_reason::CloseReason;
use super::failure_detector::{Verdict, CHECK_TIMEOUT, LOOK_AGAIN};
use super::{ConnId, Engine, Peer};
use crate::call::{Deadline, EngineDeadline};
use crate::clock::MS;
use crate::session::exchange::ExchangeSession;

/// Time from an exchange's first word on its group until the calls are compared with it. What it has to say of calls
/// that ended while it was out of reach comes meanwhile.
const COMPARE_AFTER: Nanos = 600 * MS;
/// The same, until the comparison is exact: releases wait in line at a busy exchange, behind the circuits that they
/// free.
const COMPARE_EXACTLY_AFTER: Nanos = 3_000 * MS;
/// The state of a group may have left the exchange so long ago: younger calls need not be in it.
const REPORT_LAG: Nanos = 1_000 * MS;
/// An exchange that has not told the state of its group so long after it could be reached again does not tell it.
const TOLD_WITHIN: Nanos = 2_000 * MS;

/// A connection on which nothing came for so long, though calls stand, is replaced even if the exchange lives: it may
/// have fallen silent, and what the exchange says there is lost. It says it again on the next connection; callers have
/// to be told within 8 s.
const REPLACE_AFTER: Nanos = 5_000 * MS;

/// A connection that only checks whether an exchange lives. No set-up is sent on it; what the exchange says there is
/// heard like anything else.
pub struct Check {
    pub exchange: ExchangeId,
    pub session: ExchangeSession,
    up_at: Nanos,
}

impl Engine {
    /// Calls stand on an exchange: it is watched from now on, for as long as they do.
    pub(super) fn watch(&mut self, id: ExchangeId) {
        let Some(link) = self.links.get_mut(&id) else { return };
        if !std::mem::replace(&mut link.detector.watching, true) {
            // A call was answered just now, by way of this link or of another one to the same address.
            link.detector.heard(self.now);
            self.liveness_due(id);
        }
    }

    /// Looks at an exchange on which calls stand, or stood at the last look.
    pub(super) fn liveness_due(&mut self, id: ExchangeId) {
        let standing = self.calls.standing_calls_at(id);
        let Some(link) = self.links.get_mut(&id) else { return };
        if standing == 0 {
            link.detector.watching = false;
            return self.end_check(id);
        }
        let replace_at = link.heard_at + REPLACE_AFTER;
        match link.detector.verdict(self.now) {
            Verdict::Alive(look_at) => {
                self.replace_silent(id);
                self.look_again(id, look_at.min(replace_at).max(self.now + LOOK_AGAIN));
            }
            Verdict::Suspect(look_at) => {
                self.check(id);
                self.look_again(id, look_at);
            }
            Verdict::Dead => {
                link.detector.watching = false;
                self.vanished(id);
            }
        }
    }

    fn look_again(&mut self, id: ExchangeId, at: Nanos) {
        self.calls.deadlines.add(at, Deadline::Engine(EngineDeadline::LivenessCheck(id)));
    }

    /// Dials a connection that checks an exchange, unless one is being dialled or the link itself is.
    fn check(&mut self, id: ExchangeId) {
        let Some(link) = self.links.get(&id) else { return };
        let (address, conn, check) = (link.address, link.conn, link.check);
        if !conn.is_some_and(|conn| self.is_up(conn)) || check.is_some_and(|check| !self.is_up(check)) {
            return;
        }
        // An exchange repeats on the next connection what it could not say: one that goes ends first.
        self.end_check(id);
        let check = Check { exchange: id, session: ExchangeSession::default(), up_at: 0 };
        let conn = self.dial_within(address, Peer::Check(check), CHECK_TIMEOUT);
        tracing::debug!(exchange = id, conn, "exchange is silent: checked");
        if let Some(link) = self.links.get_mut(&id) {
            link.check = conn;
        }
    }

    /// Closes the connection that checks an exchange, if there is one.
    pub(super) fn end_check(&mut self, id: ExchangeId) {
        let check = self.links.get_mut(&id).and_then(|link| link.check.take());
        if let Some(conn) = check {
            self.forget(conn);
        }
    }

    /// A connection that checks an exchange is up.
    pub(super) fn check_up(&mut self, token: ConnId) {
        let now = self.now;
        let Some(Peer::Check(check)) = self.conns.get_mut(&token).map(|c| &mut c.peer) else { return };
        check.up_at = now;
        let id = check.exchange;
        if let Some(link) = self.links.get_mut(&id) {
            link.detector.connected(now);
        }
        self.reachable_again(id);
    }

    /// Bytes came on a connection that checks an exchange; false if they cannot be read.
    pub(super) fn check_said(&mut self, token: ConnId) -> bool {
        let Some(Peer::Check(check)) = self.conns.get_mut(&token).map(|c| &mut c.peer) else { return true };
        let id = check.exchange;
        if let Some(link) = self.links.get_mut(&id) {
            link.detector.heard_unasked(self.now, check.up_at);
        }
        check.session.process_input(self.now, id, &mut self.calls).is_ok()
    }

    /// Replaces the connection to an exchange that lives, if nothing came on it for long. Not while attempts are out,
    /// and not where the exchange greets no connection: the checks of such a one go on for as long as it is quiet.
    fn replace_silent(&mut self, id: ExchangeId) {
        let Some(link) = self.links.get(&id) else { return };
        let Some(conn) = link.conn.filter(|conn| self.is_up(*conn)) else { return };
        let quiet = link.detector.greets() && self.now >= link.heard_at + REPLACE_AFTER;
        if quiet && !self.calls.has_pending_attempts(id) {
            self.close(conn, CloseReason::ExchangeQuiet);
        }
    }

    /// A connection that checks an exchange is gone, or did not come up.
    pub(super) fn check_lost(&mut self, id: ExchangeId, refused: bool) {
        tracing::debug!(exchange = id, refused, "check of an exchange came to nothing");
        let now = self.now;
        let Some(link) = self.links.get_mut(&id) else { return };
        link.check = None;
        if refused && link.count_refusal(now) {
            self.calls.exchange_ended(now, id, Nanos::MAX);
        }
    }

    /// An exchange has given no sign of life for too long: its calls are over as far as anybody here can tell.
    fn vanished(&mut self, id: ExchangeId) {
        let Some(link) = self.links.get(&id) else { return };
        let (conn, silent) = (link.conn, link.detector.silent_for(self.now));
        tracing::warn!(exchange = id, silent_ms = silent / MS, "exchange vanished: its calls are over");
        self.calls.counters.increment("errors exchanges vanished");
        self.calls.exchange_vanished(self.now, id);
        self.end_check(id);
        if let Some(conn) = conn {
            self.close(conn, CloseReason::ExchangeVanished);
        }
    }

    /// The connection to an exchange is up again. The exchange may have been out of reach, and then its calls stand,
    /// or have started anew without them: the circuits that it says are in use tell which.
    pub(super) fn reachable_again(&mut self, id: ExchangeId) {
        self.calls.clear_group_state(id);
        if self.calls.standing_calls_at(id) > 0 {
            let due = EngineDeadline::CompareCircuits { exchange: id, since: self.now };
            self.calls.deadlines.add(self.now + COMPARE_AFTER, Deadline::Engine(due));
        }
    }

    /// Compares the calls that stand here since before an exchange could be reached again with the circuits that were
    /// in use by its first word. Those that stand to this day were among them.
    pub(super) fn compare_due(&mut self, id: ExchangeId, since: Nanos) {
        if !self.links.contains_key(&id) {
            return;
        }
        let due = Deadline::Engine(EngineDeadline::CompareCircuits { exchange: id, since });
        let Some(group) = self.calls.group_state(id) else {
            if self.now < since + TOLD_WITHIN {
                self.calls.deadlines.add(self.now + COMPARE_AFTER, due);
            }
            return;
        };
        if self.now < group.received_at + COMPARE_AFTER {
            return self.calls.deadlines.add(group.received_at + COMPARE_AFTER, due);
        }
        let counted_before = since.saturating_sub(REPORT_LAG);
        let standing = f64::from(self.calls.circuits_of_standing_calls(id, counted_before));
        let exact = self.now >= group.received_at + COMPARE_EXACTLY_AFTER;
        if !exact && group.in_use < standing {
            self.calls.deadlines.add(group.received_at + COMPARE_EXACTLY_AFTER, due);
        }
        let explained = if exact { group.in_use } else { 2.0 * group.in_use };
        if explained < standing {
            tracing::warn!(exchange = id, standing, in_use = group.in_use, "exchange lost its calls");
            self.calls.counters.increment("errors exchanges without their calls");
            self.calls.exchange_ended(self.now, id, since);
        }
    }
}
