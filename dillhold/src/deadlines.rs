//! The timer queue that holds all deadlines of the process. Expired ones are taken out once per turn.
//!
//! A deadline that belongs to something (a set-up, a connection) says so itself by [`Owned`], and is dropped when that
//! ends ([`Deadlines::drop_owned_by`]). The size of the queue is therefore bounded by what is open, not by what has been
//! opened within the longest deadline.

use std::collections::{BTreeMap, BTreeSet};

use pitchgw::interface::Nanos;

/// A value that may belong to something that ends.
pub trait Owned {
    /// Identifies what a value belongs to.
    type Owner: Copy + Ord;

    /// What the value belongs to; `None` if it is kept until it expires.
    fn owner(&self) -> Option<Self::Owner>;
}

/// When a deadline expires, and its sequence number.
type Position = (Nanos, u64);

/// Deadlines, sorted by time, with a value for each.
#[derive(Debug)]
pub struct Deadlines<T: Owned> {
    sorted: BTreeMap<Position, T>,
    by_owner: BTreeSet<(T::Owner, Position)>,
    next_sequence: u64,
}

impl<T: Owned> Default for Deadlines<T> {
    fn default() -> Self {
        Deadlines { sorted: BTreeMap::new(), by_owner: BTreeSet::new(), next_sequence: 0 }
    }
}

impl<T: Owned + PartialEq> Deadlines<T> {
    /// Adds a deadline in place of an equal one of the same owner, if there is one.
    pub fn replace(&mut self, at: Nanos, value: T) {
        if let Some(position) = value.owner().and_then(|owner| self.position_of(owner, &value)) {
            self.remove(position);
        }
        self.add(at, value);
    }

    fn position_of(&self, owner: T::Owner, value: &T) -> Option<Position> {
        self.positions_of(owner).into_iter().find(|position| self.sorted.get(position) == Some(value))
    }
}

impl<T: Owned> Deadlines<T> {
    /// Adds a deadline. Deadlines at the same time expire in the order they were added.
    pub fn add(&mut self, at: Nanos, value: T) {
        let position = (at, self.next_sequence);
        self.next_sequence += 1;
        if let Some(owner) = value.owner() {
            self.by_owner.insert((owner, position));
        }
        self.sorted.insert(position, value);
    }

    /// Drops the deadlines of something that has ended.
    pub fn drop_owned_by(&mut self, owner: T::Owner) {
        for position in self.positions_of(owner) {
            self.remove(position);
        }
    }

    fn positions_of(&self, owner: T::Owner) -> Vec<Position> {
        let owned = self.by_owner.range((owner, (0, 0))..=(owner, (Nanos::MAX, u64::MAX)));
        owned.map(|(_, position)| *position).collect()
    }

    fn remove(&mut self, position: Position) {
        if let Some(owner) = self.sorted.remove(&position).and_then(|value| value.owner()) {
            self.by_owner.remove(&(owner, position));
        }
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
        let expired = std::mem::replace(&mut self.sorted, remaining);
        for (position, value) in &expired {
            if let Some(owner) = value.owner() {
                self.by_owner.remove(&(owner, *position));
            }
        }
        expired.into_values().collect()
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
