//! Releases of calls that this process does not know, on their way to the exchanges.
//!
//! Such a call may be from before the start and stand at any exchange, so that one small message of a client becomes a
//! request to every exchange. The releases are therefore sent at a limited rate, and wait in bounded queues until then.
//! Those of confirmed callers are sent before all others, and the connections of each kind take turns. If too many wait,
//! the newest one of the connection with the most of them is dropped, and one of a confirmed caller only if no others wait.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use pitchgw::interface::Nanos;

use super::CallerConnId;
use crate::clock::MS;

/// Releases that can be sent at once after a pause.
const BURST: u64 = 400;
/// The time after which one more release can be sent.
const SEND_INTERVAL: Nanos = 5 * MS;

/// The release of a call by a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerRelease {
    /// Id of the call.
    pub call_id: u64,
    /// Q.850 cause.
    pub cause: u8,
}

/// The connection that a release came on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReleaseSender {
    /// The connection.
    pub conn: CallerConnId,
    /// Whether it is confirmed to be a caller's.
    pub is_confirmed: bool,
}

/// A queue for each connection. The connections take turns.
#[derive(Debug, Default)]
struct FairQueue {
    by_connection: BTreeMap<CallerConnId, VecDeque<CallerRelease>>,
    /// The connections by the number of their releases.
    by_length: BTreeSet<(usize, CallerConnId)>,
    /// The connection whose release was taken last.
    last_served: CallerConnId,
    len: usize,
}

impl FairQueue {
    fn push(&mut self, conn: CallerConnId, release: CallerRelease) {
        self.update(conn, |queue| {
            queue.push_back(release);
            None
        });
    }

    /// Takes the oldest release of the connection whose turn it is.
    fn pop(&mut self) -> Option<CallerRelease> {
        let after_last = self.by_connection.range(self.last_served + 1..).next();
        let (conn, _) = after_last.or_else(|| self.by_connection.first_key_value())?;
        self.last_served = *conn;
        self.update(self.last_served, VecDeque::pop_front)
    }

    /// Drops the newest release of the connection with the most releases.
    fn drop_from_longest(&mut self) -> Option<CallerRelease> {
        let (_, conn) = *self.by_length.last()?;
        self.update(conn, VecDeque::pop_back)
    }

    fn update(
        &mut self,
        conn: CallerConnId,
        change: impl FnOnce(&mut VecDeque<CallerRelease>) -> Option<CallerRelease>,
    ) -> Option<CallerRelease> {
        let queue = self.by_connection.entry(conn).or_default();
        let length_before = queue.len();
        let removed = change(queue);
        let length = queue.len();
        self.by_length.remove(&(length_before, conn));
        if length == 0 {
            self.by_connection.remove(&conn);
        } else {
            self.by_length.insert((length, conn));
        }
        self.len = self.len - length_before + length;
        removed
    }
}

/// The queues, and the rate at which they are emptied.
#[derive(Debug)]
pub struct UnknownReleases {
    of_confirmed_callers: FairQueue,
    of_others: FairQueue,
    max_queued: usize,
    /// The time at which the whole burst can be sent again.
    replenished_at: Nanos,
    /// Whether [`super::Deadline::ReleaseUnknownCalls`] is scheduled.
    pub send_scheduled: bool,
}

impl UnknownReleases {
    /// Creates empty queues for at most `max_queued` releases.
    pub fn new(max_queued: usize) -> UnknownReleases {
        UnknownReleases {
            of_confirmed_callers: FairQueue::default(),
            of_others: FairQueue::default(),
            max_queued,
            replenished_at: 0,
            send_scheduled: false,
        }
    }

    /// Sets the largest number of releases that wait. Takes effect with the next one.
    pub fn set_max_queued(&mut self, max_queued: usize) {
        self.max_queued = max_queued;
    }

    /// Number of releases that wait.
    pub fn len(&self) -> usize {
        self.of_confirmed_callers.len + self.of_others.len
    }

    /// Queues a release. Returns the one that is dropped for it if too many wait.
    pub fn push(&mut self, from: ReleaseSender, release: CallerRelease) -> Option<CallerRelease> {
        let queue = if from.is_confirmed { &mut self.of_confirmed_callers } else { &mut self.of_others };
        queue.push(from.conn, release);
        if self.len() <= self.max_queued {
            return None;
        }
        self.of_others.drop_from_longest().or_else(|| self.of_confirmed_callers.drop_from_longest())
    }

    /// Takes the next release that can be sent now.
    pub fn pop(&mut self, now: Nanos) -> Option<CallerRelease> {
        if self.next_send_at() > now {
            return None;
        }
        let release = self.of_confirmed_callers.pop().or_else(|| self.of_others.pop())?;
        self.replenished_at = self.replenished_at.max(now) + SEND_INTERVAL;
        Some(release)
    }

    /// The earliest time at which a release can be sent.
    pub fn next_send_at(&self) -> Nanos {
        (self.replenished_at + SEND_INTERVAL).saturating_sub(BURST * SEND_INTERVAL)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn release(call_id: u64) -> CallerRelease {
        CallerRelease { call_id, cause: 16 }
    }

    fn sender(conn: CallerConnId, is_confirmed: bool) -> ReleaseSender {
        ReleaseSender { conn, is_confirmed }
    }

    fn pop_all(releases: &mut UnknownReleases, now: Nanos) -> Vec<u64> {
        std::iter::from_fn(|| releases.pop(now)).map(|release| release.call_id).collect()
    }

    #[test]
    fn sends_a_burst_at_once_and_then_at_the_rate() {
        const START: Nanos = 1_000_000 * MS;
        let mut releases = UnknownReleases::new(1_000);
        for call_id in 0..1_000 {
            releases.push(sender(1, false), release(call_id));
        }
        assert_eq!(pop_all(&mut releases, START).len(), BURST as usize);
        assert_eq!(releases.next_send_at(), START + SEND_INTERVAL);
        assert_eq!(pop_all(&mut releases, START + 10 * SEND_INTERVAL).len(), 10);
        assert_eq!(pop_all(&mut releases, START + 10_000 * SEND_INTERVAL).len(), BURST as usize);
    }

    /// Guards against a client whose releases keep those of a caller from the exchanges.
    #[test]
    fn confirmed_callers_come_first_and_other_connections_take_turns() {
        let mut releases = UnknownReleases::new(100);
        for (conn, call_id) in [(1, 10), (1, 11), (1, 12), (2, 20)] {
            releases.push(sender(conn, false), release(call_id));
        }
        releases.push(sender(3, true), release(30));
        assert_eq!(pop_all(&mut releases, 0), [30, 10, 20, 11, 12]);
    }

    /// Guards against dropping the only release of a caller for those of a client that sends many.
    #[test]
    fn drops_newest_release_of_longest_queue_and_those_of_confirmed_callers_last() {
        let mut releases = UnknownReleases::new(4);
        for (conn, call_id, confirmed_caller) in
            [(3, 30, true), (3, 31, true), (1, 10, false), (2, 20, false)]
        {
            assert_eq!(releases.push(sender(conn, confirmed_caller), release(call_id)), None);
        }
        assert_eq!(releases.push(sender(1, false), release(11)), Some(release(11)));
        assert_eq!(releases.push(sender(3, true), release(32)), Some(release(20)));
        assert_eq!(releases.push(sender(3, true), release(33)), Some(release(10)));
        assert_eq!(releases.push(sender(3, true), release(34)), Some(release(34)));
        assert_eq!(releases.len(), 4);
    }
}
