//! Counts of what was taken in, sent and answered, and of errors by kind.

use std::collections::BTreeMap;
use std::fmt;

/// All counts by name. A name stands for one place in the program, so their number is bounded.
#[derive(Debug, Default)]
pub struct Counters(BTreeMap<&'static str, u64>);

impl Counters {
    /// Counts one more.
    pub fn increment(&mut self, name: &'static str) {
        *self.0.entry(name).or_insert(0) += 1;
    }

    /// The count so far.
    pub fn get(&self, name: &str) -> u64 {
        self.0.get(name).copied().unwrap_or(0)
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|(name, count)| writeln!(f, "counter {name} {count}"))
    }
}
