//! Counters of received, sent and answered messages, and of errors by kind; sizes of the tables that grow with traffic.

use std::collections::BTreeMap;
use std::fmt;

/// All counters by name. Names are string literals in the code, so their number is bounded.
#[derive(Debug, Default)]
pub struct Counters(BTreeMap<&'static str, u64>);

impl Counters {
    /// Increments a counter.
    pub fn increment(&mut self, name: &'static str) {
        *self.0.entry(name).or_insert(0) += 1;
    }

    /// The value of a counter; 0 if it was never incremented.
    pub fn get(&self, name: &str) -> u64 {
        self.0.get(name).copied().unwrap_or(0)
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|(name, count)| writeln!(f, "counter {name} {count}"))
    }
}

/// Present sizes of the tables, by name. A table that goes on growing while the others do not is where memory goes.
#[derive(Debug)]
pub struct TableSizes(pub Vec<(&'static str, usize)>);

impl fmt::Display for TableSizes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|(name, size)| writeln!(f, "size {name} {size}"))
    }
}
