//! Records kept for a limited time: recently ended calls and recently dialled numbers.

use std::collections::{HashMap, VecDeque};

use pitchgw::interface::{Nanos, NumberId};

use crate::clock::MS;

/// How long an ended call is remembered, so that messages which cross its end are recognized. An exchange
/// repeats unacknowledged releases on its next connection, which may be established late. A release of a call
/// that is no longer remembered is taken for one of a call from before this process started and passed on to
/// a caller: with 5 s, a caller was notified twice.
const ENDED_CALL_RETENTION: Nanos = 30_000 * MS;

/// Share of the remembered calls that were not sent on: 1 for this many that were.
const SENT_ON_PER_NEVER_SENT: usize = 4;

/// What is remembered of an ended call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedCall {
    /// Whether a set-up with its id is rejected; false if it was never entered in the table, or if the caller's
    /// connection was lost before it was sent on, as the caller may send the set-up again.
    pub retired: bool,
    /// Whether a set-up was sent to an exchange, which may still say something about the call.
    pub sent_on: bool,
}

/// Ids of recently ended calls. Those that were sent on and the others have a maximum each: a client whose set-ups are
/// refused does not displace the calls that an exchange may still answer.
#[derive(Debug)]
pub struct EndedCalls {
    sent_on: RecentIds,
    never_sent: RecentIds,
}

impl EndedCalls {
    /// Creates an empty record of at most `max_calls` calls that were sent on, and a share of that of others; the oldest
    /// are evicted first.
    pub fn new(max_calls: usize) -> EndedCalls {
        let mut ended_calls = EndedCalls { sent_on: RecentIds::default(), never_sent: RecentIds::default() };
        ended_calls.set_max_calls(max_calls);
        ended_calls
    }

    /// Sets the largest number of calls to remember. Takes effect with the next insertion.
    pub fn set_max_calls(&mut self, max_calls: usize) {
        self.sent_on.max_ids = max_calls;
        self.never_sent.max_ids = max_calls.div_ceil(SENT_ON_PER_NEVER_SENT);
    }

    /// Records the end of a call.
    pub fn insert(&mut self, now: Nanos, call_id: u64, ended_call: EndedCall) {
        let ids = if ended_call.sent_on { &mut self.sent_on } else { &mut self.never_sent };
        ids.insert(now, call_id, ended_call.retired);
    }

    /// Forgets a call that was not sent on.
    pub fn forget(&mut self, call_id: u64) {
        self.never_sent.retired_by_id.remove(&call_id);
    }

    /// Whether this call ended recently.
    pub fn contains(&self, call_id: u64) -> bool {
        [&self.sent_on, &self.never_sent].iter().any(|ids| ids.retired_by_id.contains_key(&call_id))
    }

    /// Whether this call ended recently and a set-up must not reuse its id.
    pub fn is_retired(&self, call_id: u64) -> bool {
        let is_retired = |ids: &RecentIds| ids.retired_by_id.get(&call_id).is_some_and(|retired| *retired);
        is_retired(&self.sent_on) || is_retired(&self.never_sent)
    }

    /// Number of calls that are remembered.
    pub fn len(&self) -> usize {
        self.sent_on.by_age.len() + self.never_sent.by_age.len()
    }

    /// When the oldest entry expires.
    pub fn next_expiry(&self) -> Option<Nanos> {
        self.sent_on.next_expiry().into_iter().chain(self.never_sent.next_expiry()).min()
    }

    /// Removes expired entries.
    pub fn remove_expired(&mut self, now: Nanos) {
        self.sent_on.remove_expired(now);
        self.never_sent.remove_expired(now);
    }
}

/// Ids, each kept for [`ENDED_CALL_RETENTION`], up to a maximum.
#[derive(Debug, Default)]
struct RecentIds {
    max_ids: usize,
    /// When each id was added, and the id, oldest first.
    by_age: VecDeque<(Nanos, u64)>,
    retired_by_id: HashMap<u64, bool>,
}

impl RecentIds {
    fn insert(&mut self, now: Nanos, id: u64, retired: bool) {
        while self.by_age.len() >= self.max_ids {
            self.remove_oldest();
        }
        if self.retired_by_id.insert(id, retired).is_none() {
            self.by_age.push_back((now, id));
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((_, id)) = self.by_age.pop_front() {
            self.retired_by_id.remove(&id);
        }
    }

    fn next_expiry(&self) -> Option<Nanos> {
        self.by_age.front().map(|(added_at, _)| added_at + ENDED_CALL_RETENTION)
    }

    fn remove_expired(&mut self, now: Nanos) {
        while self.next_expiry().is_some_and(|expiry| expiry <= now) {
            self.remove_oldest();
        }
    }
}

/// Assigns handles to dialled numbers. Handles are never reused. A number that was not dialled for a whole
/// period is discarded, so that memory does not grow with every number ever dialled.
#[derive(Debug)]
pub struct NumberHandles {
    period: Nanos,
    max_per_period: usize,
    period_start: Nanos,
    /// Numbers dialled in the current period.
    current: HashMap<Vec<u8>, NumberId>,
    /// Numbers last dialled in the previous period.
    previous: HashMap<Vec<u8>, NumberId>,
    last_handle: NumberId,
}

impl NumberHandles {
    /// Keeps each number for at least one period. A period ends early once it has `max_per_period` numbers.
    pub fn new(period: Nanos, max_per_period: usize) -> NumberHandles {
        NumberHandles {
            period,
            max_per_period,
            period_start: 0,
            current: HashMap::new(),
            previous: HashMap::new(),
            last_handle: 0,
        }
    }

    /// Number of numbers that are kept.
    pub fn len(&self) -> usize {
        self.current.len() + self.previous.len()
    }

    /// The handle of a number; assigns a new one to an unknown number.
    pub fn handle(&mut self, now: Nanos, number: &[u8]) -> NumberId {
        if now >= self.period_start + self.period || self.current.len() >= self.max_per_period {
            self.previous = std::mem::take(&mut self.current);
            self.period_start = now;
        }
        if let Some(handle) = self.current.get(number) {
            return *handle;
        }
        let handle = self.previous.remove(number).unwrap_or_else(|| {
            self.last_handle += 1;
            self.last_handle
        });
        self.current.insert(number.to_vec(), handle);
        handle
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn number_keeps_its_handle_until_not_dialled_for_a_period() {
        let mut numbers = NumberHandles::new(10, 100);
        let first = numbers.handle(100, b"7");
        assert_eq!([numbers.handle(109, b"7"), numbers.handle(111, b"7")], [first; 2]);
        (0..50).for_each(|n| assert_ne!(numbers.handle(130 + 10 * n, b"8"), first));
        assert_eq!(numbers.current.len() + numbers.previous.len(), 1, "number 7 is discarded");
        assert_ne!(numbers.handle(900, b"7"), first, "a handle is never reused");
    }

    #[test]
    fn ended_calls_are_removed_on_expiry_and_beyond_the_maximum() {
        let mut ended_calls = EndedCalls::new(2);
        for (now, call_id) in [(1, 1), (2, 2), (3, 3)] {
            ended_calls.insert(now, call_id, EndedCall { retired: call_id == 3, sent_on: true });
        }
        assert_eq!(
            [
                ended_calls.contains(1),
                ended_calls.contains(2),
                ended_calls.is_retired(2),
                ended_calls.is_retired(3)
            ],
            [false, true, false, true]
        );
        ended_calls.remove_expired(2 + ENDED_CALL_RETENTION);
        assert_eq!(
            (ended_calls.contains(2), ended_calls.next_expiry()),
            (false, Some(3 + ENDED_CALL_RETENTION))
        );
    }

    /// Refused set-ups once displaced the calls that exchanges may still answer.
    #[test]
    fn calls_never_sent_on_do_not_displace_others() {
        let mut ended_calls = EndedCalls::new(8);
        ended_calls.insert(1, 1, EndedCall { retired: true, sent_on: true });
        for call_id in 100..200 {
            ended_calls.insert(2, call_id, EndedCall { retired: false, sent_on: false });
        }
        assert!(ended_calls.is_retired(1) && ended_calls.contains(199) && !ended_calls.contains(100));
        assert_eq!(ended_calls.len(), 3);
    }
}
