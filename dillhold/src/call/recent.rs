//! Records kept for a limited time: recently ended calls and recently dialled numbers.

use std::collections::{HashMap, VecDeque};

use pitchgw::interface::{Nanos, NumberId};

use crate::clock::MS;

/// How long an ended call is remembered, so that messages which cross its end are recognized. An exchange
/// repeats unacknowledged releases on its next connection, which may be established late. A release of a call
/// that is no longer remembered is taken for one of a call from before this process started and passed on to
/// a caller: with 5 s, a caller was notified twice.
const ENDED_CALL_RETENTION: Nanos = 30_000 * MS;

/// Ids of recently ended calls.
#[derive(Debug)]
pub struct EndedCalls {
    max_calls: usize,
    /// When each call ended and its id, oldest first.
    by_age: VecDeque<(Nanos, u64)>,
    /// Whether a set-up with this id is rejected; false only if the caller's connection was lost, as the
    /// caller may send the set-up again.
    retired_by_id: HashMap<u64, bool>,
}

impl EndedCalls {
    /// Creates an empty record of at most `max_calls` calls; the oldest are evicted first.
    pub fn new(max_calls: usize) -> EndedCalls {
        EndedCalls { max_calls, by_age: VecDeque::new(), retired_by_id: HashMap::new() }
    }

    /// Sets the largest number of calls to remember. Takes effect with the next insertion.
    pub fn set_max_calls(&mut self, max_calls: usize) {
        self.max_calls = max_calls;
    }

    /// Records the end of a call.
    pub fn insert(&mut self, now: Nanos, call_id: u64, retired: bool) {
        while self.by_age.len() >= self.max_calls {
            self.by_age.pop_front().and_then(|(_, call_id)| self.retired_by_id.remove(&call_id));
        }
        if self.retired_by_id.insert(call_id, retired).is_none() {
            self.by_age.push_back((now, call_id));
        }
    }

    /// Whether this call ended recently.
    pub fn contains(&self, call_id: u64) -> bool {
        self.retired_by_id.contains_key(&call_id)
    }

    /// Whether this call ended recently and a set-up must not reuse its id.
    pub fn is_retired(&self, call_id: u64) -> bool {
        self.retired_by_id.get(&call_id).is_some_and(|retired| *retired)
    }

    /// Number of calls that are remembered.
    pub fn len(&self) -> usize {
        self.by_age.len()
    }

    /// When the oldest entry expires.
    pub fn next_expiry(&self) -> Option<Nanos> {
        self.by_age.front().map(|(ended_at, _)| ended_at + ENDED_CALL_RETENTION)
    }

    /// Removes expired entries.
    pub fn remove_expired(&mut self, now: Nanos) {
        while self.next_expiry().is_some_and(|expiry| expiry <= now) {
            self.by_age.pop_front().and_then(|(_, call_id)| self.retired_by_id.remove(&call_id));
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
            ended_calls.insert(now, call_id, call_id == 3);
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
}
