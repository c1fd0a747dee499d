//! The one sorted structure that holds all deadlines. It is swept once each turn.

use std::collections::BTreeMap;

use pitchgw::interface::Nanos;

/// Deadlines with what is due at each.
#[derive(Debug)]
pub struct Deadlines<T> {
    sorted: BTreeMap<(Nanos, u64), T>,
    next: u64,
}

impl<T> Default for Deadlines<T> {
    fn default() -> Self {
        Deadlines { sorted: BTreeMap::new(), next: 0 }
    }
}

impl<T> Deadlines<T> {
    /// Adds a deadline. Equal ones come due in the order they were added.
    pub fn add(&mut self, at: Nanos, what: T) {
        self.sorted.insert((at, self.next), what);
        self.next += 1;
    }

    /// When the earliest is due.
    pub fn earliest(&self) -> Option<Nanos> {
        self.sorted.first_key_value().map(|((at, _), _)| *at)
    }

    /// Takes out all that is due. What is added while these are worked on waits for the next turn, even if it
    /// is due at once: the module counts on a timer never coming within the turn that asked for it.
    pub fn take_expired(&mut self, now: Nanos) -> Vec<T> {
        let later = self.sorted.split_off(&(now + 1, 0));
        std::mem::replace(&mut self.sorted, later).into_values().collect()
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.sorted.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.sorted.is_empty()
    }
}
