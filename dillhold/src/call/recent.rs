//! What is remembered for a while only: calls that ended lately, and numbers dialled.

use std::collections::{HashMap, VecDeque};

use pitchgw::interface::{Nanos, NumberId};

use crate::clock::MS;

/// How long a call that is over is remembered, for what crosses its end on the way. An exchange says what it could
/// not say on its next connection, which may come up late; what is not remembered is taken for a call of before the
/// start, and its release is passed on. At five seconds a caller was once told twice.
const REMEMBERED: Nanos = 30_000 * MS;

/// Calls that lately.
#[derive(Debug)]
pub struct EndedCalls {
    most: usize,
    order: VecDeque<(Nanos, u64)>,
    /// By id, whether the call had its final answer; otherwise its caller went away and may ask again.
    ids: HashMap<u64, bool>,
}

impl EndedCalls {
    /// Remembers so many calls at the most; the oldest goes first.
    pub fn new(most: usize) -> EndedCalls {
        EndedCalls { most, order: VecDeque::new(), ids: HashMap::new() }
    }

    /// From now on so many calls are remembered at the most.
    pub fn bound(&mut self, most: usize) {
        self.most = most;
    }

    /// A call is over.
    pub fn remember(&mut self, now: Nanos, id: u64, answered: bool) {
        while self.order.len() >= self.most {
            self.order.pop_front().and_then(|(_, id)| self.ids.remove(&id));
        }
        if self.ids.insert(id, answered).is_none() {
            self.order.push_back((now, id));
        }
    }

    /// Whether this call lately.
    pub fn knows(&self, id: u64) -> bool {
        self.ids.contains_key(&id)
    }

    /// Whether this call ended lately with a final answer: a set-up must not use its id again.
    pub fn answered(&self, id: u64) -> bool {
        self.ids.get(&id).is_some_and(|answered| *answered)
    }

    /// When the oldest is to be forgotten.
    pub fn due(&self) -> Option<Nanos> {
        self.order.front().map(|(at, _)| at + REMEMBERED)
    }

    /// Forgets what has been remembered for long enough.
    pub fn forget(&mut self, now: Nanos) {
        while self.due().is_some_and(|due| due <= now) {
            self.order.pop_front().and_then(|(_, id)| self.ids.remove(&id));
        }
    }
}

/// Handles of the numbers dialled. A handle is never used again; a number that was not dialled for a whole
/// span is forgotten, or a long day would keep every number that was ever dialled.
#[derive(Debug)]
pub struct Numbers {
    span: Nanos,
    most: usize,
    /// When the present span began, and the numbers dialled in it and in the one before.
    since: Nanos,
    present: HashMap<Vec<u8>, NumberId>,
    before: HashMap<Vec<u8>, NumberId>,
    next: NumberId,
}

impl Numbers {
    /// Remembers a number for one span at least, but no more of them than `most` a span.
    pub fn new(span: Nanos, most: usize) -> Numbers {
        Numbers { span, most, since: 0, present: HashMap::new(), before: HashMap::new(), next: 0 }
    }

    /// The handle of a number.
    pub fn handle(&mut self, now: Nanos, number: &[u8]) -> NumberId {
        if now >= self.since + self.span || self.present.len() >= self.most {
            self.before = std::mem::take(&mut self.present);
            self.since = now;
        }
        if let Some(id) = self.present.get(number) {
            return *id;
        }
        let id = self.before.remove(number).unwrap_or_else(|| {
            self.next += 1;
            self.next
        });
        self.present.insert(number.to_vec(), id);
        id
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_number_keeps_its_handle_while_it_is_dialled_and_is_forgotten_after() {
        let mut numbers = Numbers::new(10, 100);
        let first = numbers.handle(100, b"7");
        assert_eq!([numbers.handle(109, b"7"), numbers.handle(111, b"7")], [first; 2]);
        (0..50).for_each(|n| assert_ne!(numbers.handle(130 + 10 * n, b"8"), first));
        assert_eq!(numbers.present.len() + numbers.before.len(), 1, "7 is kept no longer");
        assert_ne!(numbers.handle(900, b"7"), first, "a handle is never used again");
    }

    #[test]
    fn calls_that_are_over_are_forgotten_in_time_and_beyond_the_bound() {
        let mut ended = EndedCalls::new(2);
        for (now, id) in [(1, 1), (2, 2), (3, 3)] {
            ended.remember(now, id, id == 3);
        }
        assert_eq!(
            [ended.knows(1), ended.knows(2), ended.answered(2), ended.answered(3)],
            [false, true, false, true]
        );
        ended.forget(2 + REMEMBERED);
        assert_eq!((ended.knows(2), ended.due()), (false, Some(3 + REMEMBERED)));
    }
}
