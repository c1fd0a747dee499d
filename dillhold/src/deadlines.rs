//! The timer queue that holds all deadlines of the process. Expired ones are taken out once per turn.

use std::collections::BTreeMap;

use pitchgw::interface::Nanos;

/// Deadlines, sorted by time, with a value for each.
#[derive(Debug)]
pub struct Deadlines<T> {
    /// Values by time and sequence number.
    sorted: BTreeMap<(Nanos, u64), T>,
    next_sequence: u64,
}

impl<T> Default for Deadlines<T> {
    fn default() -> Self {
        Deadlines { sorted: BTreeMap::new(), next_sequence: 0 }
    }
}

impl<T> Deadlines<T> {
    /// Adds a deadline. Deadlines at the same time expire in the order they were added.
    pub fn add(&mut self, at: Nanos, value: T) {
        self.sorted.insert((at, self.next_sequence), value);
        self.next_sequence += 1;
    }

    /// When the earliest deadline expires.
    pub fn earliest(&self) -> Option<Nanos> {
        self.sorted.first_key_value().map(|((at, _), _)| *at)
    }

    /// Takes out all deadlines that have expired. Deadlines added while these are handled wait for the next
    /// turn, even if they expire immediately: the decision module relies on timers not firing in the turn
    /// that set them.
    pub fn take_expired(&mut self, now: Nanos) -> Vec<T> {
        let remaining = self.sorted.split_off(&(now + 1, 0));
        std::mem::replace(&mut self.sorted, remaining).into_values().collect()
    }

    /// Number of deadlines.
    pub fn len(&self) -> usize {
        self.sorted.len()
    }

    /// Whether there are no deadlines.
    pub fn is_empty(&self) -> bool {
        self.sorted.is_empty()
    }
}
