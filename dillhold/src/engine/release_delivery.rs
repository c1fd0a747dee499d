//! On which connections a caller is told that its call was released.
//!
//! A release is sent on the connection of the call's set-up, otherwise on the newest connection with a confirmed caller:
//! one that was sent an answer for a standing call. After a start nobody is confirmed at first. A release of a call
//! from before then waits [`RELEASE_DELIVERY_INTERVAL`] for a confirmed caller. Without one it is sent on connections that
//! may have a caller, the likeliest first, and again on others at every interval, until a caller is confirmed, it was
//! sent on [`MAX_RELEASE_RECIPIENTS`] or [`RELEASE_DELIVERY_SPAN`] is over. One that was sent on none goes on waiting.

use pitchgw::interface::Nanos;

use super::{ConnId, Engine, Peer};
use crate::call::{CallerConnId, CallerNotification, Deadline, EngineDeadline};
use crate::clock::MS;

/// How long a release waits for a confirmed caller, and for further connections after that. It must reach the caller
/// within a second.
const RELEASE_DELIVERY_INTERVAL: Nanos = 400 * MS;
/// How long a release is sent on further connections after it was sent on the first ones.
const RELEASE_DELIVERY_SPAN: Nanos = 8_000 * MS;
/// The number of connections that a release is sent on at each interval.
const MAX_RECIPIENTS_PER_INTERVAL: usize = 16;
/// The number of unconfirmed connections that a release is sent on in all.
const MAX_RELEASE_RECIPIENTS: usize = 64;

/// Releases that were not sent to a confirmed caller yet.
#[derive(Default)]
pub struct ReleaseQueue {
    waiting: Vec<WaitingRelease>,
    /// Whether [`EngineDeadline::DeliverReleases`] is scheduled.
    delivery_scheduled: bool,
}

struct WaitingRelease {
    call_id: u64,
    cause: u8,
    first_sent_at: Option<Nanos>,
    /// When it is sent on further connections.
    next_delivery_at: Nanos,
    /// The connections that it was sent on.
    recipients: Vec<ConnId>,
}

impl WaitingRelease {
    fn is_done(&self, now: Nanos) -> bool {
        let over = self.first_sent_at.is_some_and(|at| now >= at + RELEASE_DELIVERY_SPAN);
        over || self.recipients.len() >= MAX_RELEASE_RECIPIENTS
    }
}

impl ReleaseQueue {
    /// Number of releases that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
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

    /// Keeps a release until there is somebody to send it to. Returns false if too many wait already.
    pub(super) fn queue_release(&mut self, call_id: u64, cause: u8) -> bool {
        if self.release_queue.waiting.len() >= self.bounds.max_standing_calls {
            return false;
        }
        self.release_queue.waiting.push(WaitingRelease {
            call_id,
            cause,
            first_sent_at: None,
            next_delivery_at: self.now + RELEASE_DELIVERY_INTERVAL,
            recipients: Vec::new(),
        });
        self.schedule_release_delivery();
        true
    }

    fn schedule_release_delivery(&mut self) {
        let earliest = self.release_queue.waiting.iter().map(|release| release.next_delivery_at).min();
        if let (Some(at), false) = (earliest, self.release_queue.delivery_scheduled) {
            self.release_queue.delivery_scheduled = true;
            self.calls.deadlines.add(at, Deadline::Engine(EngineDeadline::DeliverReleases));
        }
    }

    /// Sends the waiting releases to a caller that was just confirmed.
    pub(super) fn deliver_releases_to(&mut self, confirmed: ConnId) {
        for release in std::mem::take(&mut self.release_queue.waiting) {
            if !release.recipients.contains(&confirmed) {
                self.send_release(confirmed, release.call_id, release.cause);
            }
        }
    }

    /// Sends the releases that have waited for long enough on further connections that may have a caller.
    pub(super) fn deliver_waiting_releases(&mut self) {
        self.release_queue.delivery_scheduled = false;
        let possible_callers = self.possible_callers();
        for mut release in std::mem::take(&mut self.release_queue.waiting) {
            if release.next_delivery_at <= self.now {
                release.next_delivery_at = self.now + RELEASE_DELIVERY_INTERVAL;
                self.deliver_release(&mut release, &possible_callers);
            }
            if !release.is_done(self.now) {
                self.release_queue.waiting.push(release);
            }
        }
        self.schedule_release_delivery();
    }

    fn deliver_release(&mut self, release: &mut WaitingRelease, possible_callers: &[ConnId]) {
        let is_new = |conn_id: &&ConnId| !release.recipients.contains(conn_id);
        let to: Vec<ConnId> =
            possible_callers.iter().filter(is_new).copied().take(MAX_RECIPIENTS_PER_INTERVAL).collect();
        if to.is_empty() {
            return;
        }
        let call = format_args!("{:016x}", release.call_id);
        tracing::debug!(call, cause = release.cause, ?to, "release sent on other connections");
        for conn_id in &to {
            self.send_release(*conn_id, release.call_id, release.cause);
        }
        release.first_sent_at = release.first_sent_at.or(Some(self.now));
        release.recipients.extend(to);
    }

    fn send_release(&mut self, conn_id: ConnId, call_id: u64, cause: u8) {
        self.write_caller(conn_id, call_id, &CallerNotification::Released(cause));
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
