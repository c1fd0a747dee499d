//! On which connections a caller is told that its call was released.
//!
//! A release is sent on the connection of the call's set-up, otherwise on the newest connection with a confirmed caller:
//! one that was sent an answer for a standing call. After a start nobody is confirmed at first, and a release of a call
//! from before is queued. It stands in the queue once, and leaves it only when a confirmed caller was sent it, or when
//! [`RELEASE_DELIVERY_SPAN`] is over. Only then is it acknowledged to its exchange, which sends it again to the next process
//! otherwise.
//!
//! Meanwhile copies are sent on connections that may have a caller, the likeliest first, after
//! [`RELEASE_DELIVERY_INTERVAL`] and then on others at every interval, on [`MAX_COPIES`] open connections at most. A copy
//! proves nothing: any client may have received it. The span begins with the first copy, so that a release that finds
//! nobody goes on waiting.

use std::collections::{BTreeMap, BTreeSet};

use pitchgw::interface::Nanos;

use super::{ConnId, Engine, Peer};
use crate::call::{CallerConnId, Deadline, EngineDeadline};
use crate::clock::MS;

/// How long a release waits for a confirmed caller, and for further connections after that. It must reach the caller
/// within a second.
const RELEASE_DELIVERY_INTERVAL: Nanos = 400 * MS;
/// How long a release waits for a confirmed caller after its first copies were sent.
const RELEASE_DELIVERY_SPAN: Nanos = 8_000 * MS;
/// The number of connections that copies are sent on at each interval.
const MAX_COPIES_PER_INTERVAL: usize = 16;
/// The number of open connections that copies of a release were sent on.
const MAX_COPIES: usize = 64;

/// Releases that were not sent to a confirmed caller yet.
#[derive(Default)]
pub struct ReleaseQueue {
    /// The releases by call id.
    waiting: BTreeMap<u64, WaitingRelease>,
    /// Whether [`EngineDeadline::DeliverReleases`] is scheduled.
    delivery_scheduled: bool,
}

struct WaitingRelease {
    cause: u8,
    first_copy_at: Option<Nanos>,
    /// When copies are sent on further connections.
    next_copies_at: Nanos,
    /// The open connections that a copy was sent on.
    copied_to: BTreeSet<ConnId>,
}

impl WaitingRelease {
    fn is_over(&self, now: Nanos) -> bool {
        self.first_copy_at.is_some_and(|at| now >= at + RELEASE_DELIVERY_SPAN)
    }

    /// The connections that are sent the next copies.
    fn next_recipients(&self, possible_callers: &[ConnId]) -> Vec<ConnId> {
        let count = MAX_COPIES.saturating_sub(self.copied_to.len()).min(MAX_COPIES_PER_INTERVAL);
        if count == 0 {
            return Vec::new();
        }
        let others = possible_callers.iter().filter(|conn_id| !self.copied_to.contains(conn_id));
        others.copied().take(count).collect()
    }
}

impl ReleaseQueue {
    /// Number of releases that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Forgets a connection that was closed: what was sent on it may have reached nobody.
    pub fn connection_closed(&mut self, conn_id: ConnId) {
        for release in self.waiting.values_mut() {
            release.copied_to.remove(&conn_id);
        }
    }
}

impl Engine {
    /// The connection to send a release on: that of the call's set-up, or one with a confirmed caller.
    pub(super) fn release_recipient(&self, own_conn: Option<CallerConnId>) -> Option<ConnId> {
        let own_conn = own_conn.filter(|conn_id| self.can_write_to_caller(*conn_id));
        let is_confirmed = |conn_id: &ConnId| {
            let peer = self.conns.get(conn_id).map(|conn| &conn.peer);
            let confirmed = matches!(peer, Some(Peer::Caller(caller)) if caller.is_confirmed());
            confirmed && self.can_write_to_caller(*conn_id)
        };
        own_conn.or_else(|| self.conns.keys().rev().copied().find(is_confirmed))
    }

    /// Queues a release until a caller is confirmed. Returns false if too many wait already.
    pub(super) fn queue_release(&mut self, call_id: u64, cause: u8) -> bool {
        if self.release_queue.waiting.contains_key(&call_id) {
            return true;
        }
        if self.release_queue.waiting.len() >= self.bounds.max_standing_calls {
            return false;
        }
        let release = WaitingRelease {
            cause,
            first_copy_at: None,
            next_copies_at: self.now + RELEASE_DELIVERY_INTERVAL,
            copied_to: BTreeSet::new(),
        };
        self.release_queue.waiting.insert(call_id, release);
        self.schedule_release_delivery();
        true
    }

    fn schedule_release_delivery(&mut self) {
        let earliest = self.release_queue.waiting.values().map(|release| release.next_copies_at).min();
        if let (Some(at), false) = (earliest, self.release_queue.delivery_scheduled) {
            self.release_queue.delivery_scheduled = true;
            self.calls.deadlines.add(at, Deadline::Engine(EngineDeadline::DeliverReleases));
        }
    }

    /// Sends the waiting releases to a caller that was just confirmed.
    pub(super) fn deliver_releases_to(&mut self, confirmed: ConnId) {
        for (call_id, release) in std::mem::take(&mut self.release_queue.waiting) {
            let has_copy = release.copied_to.contains(&confirmed);
            let Some(Peer::Caller(caller)) = self.conns.get_mut(&confirmed).map(|c| &mut c.peer) else {
                return;
            };
            caller.send_release(self.now, call_id, release.cause, has_copy);
            self.acknowledge_release(call_id);
        }
        self.needs_flush.insert(confirmed);
    }

    /// Acknowledges a release of a call from before the start to the exchange that sent it: its wait has ended.
    pub(super) fn acknowledge_release(&mut self, call_id: u64) {
        for link in self.links.values_mut() {
            if link.session.acknowledge_release(call_id) {
                self.needs_flush.extend(link.conn);
            }
            let check_conn = link.check_conn.and_then(|conn_id| self.conns.get_mut(&conn_id));
            if let Some(Peer::Check(check)) = check_conn.map(|conn| &mut conn.peer) {
                if check.session.acknowledge_release(call_id) {
                    self.needs_flush.extend(link.check_conn);
                }
            }
        }
    }

    /// Sends further copies of the releases that have waited for long enough, and drops those whose time is over.
    pub(super) fn deliver_waiting_releases(&mut self) {
        self.release_queue.delivery_scheduled = false;
        let now = self.now;
        let possible_callers = self.possible_callers();
        let mut waiting = std::mem::take(&mut self.release_queue.waiting);
        for (call_id, release) in waiting.iter_mut().filter(|(_, release)| release.next_copies_at <= now) {
            release.next_copies_at = now + RELEASE_DELIVERY_INTERVAL;
            self.send_copies(*call_id, release, &possible_callers);
        }
        let (over, waiting) = waiting.into_iter().partition(|(_, release)| release.is_over(now));
        self.release_queue.waiting = waiting;
        for call_id in BTreeMap::into_keys(over) {
            self.calls.counters.increment("errors releases without a confirmed caller");
            self.acknowledge_release(call_id);
        }
        self.schedule_release_delivery();
    }

    fn send_copies(&mut self, call_id: u64, release: &mut WaitingRelease, possible_callers: &[ConnId]) {
        let to = release.next_recipients(possible_callers);
        if to.is_empty() {
            return;
        }
        let call = format_args!("{call_id:016x}");
        tracing::debug!(call, cause = release.cause, ?to, "copies of a release sent");
        for conn_id in &to {
            let Some(Peer::Caller(caller)) = self.conns.get_mut(conn_id).map(|c| &mut c.peer) else {
                continue;
            };
            caller.send_release_copy(call_id, release.cause);
            self.needs_flush.insert(*conn_id);
        }
        release.first_copy_at = release.first_copy_at.or(Some(self.now));
        release.copied_to.extend(to);
    }

    /// The connections that may have a caller, the likeliest first, and of those the newest.
    fn possible_callers(&self) -> Vec<ConnId> {
        let mut callers = Vec::new();
        for (conn_id, conn) in &self.conns {
            let Peer::Caller(caller) = &conn.peer else { continue };
            let likelihood = caller.likelihood().filter(|_| self.can_write_to_caller(*conn_id));
            callers.extend(likelihood.map(|likelihood| (likelihood, *conn_id)));
        }
        callers.sort_unstable_by(|a, b| b.cmp(a));
        callers.into_iter().map(|(_, conn_id)| conn_id).collect()
    }
}
