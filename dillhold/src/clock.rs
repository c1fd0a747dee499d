//! A monotonic clock of Unix time in nanoseconds.

use std::time::{SystemTime, UNIX_EPOCH};

use pitchgw::interface::Nanos;

/// Nanoseconds in a millisecond.
pub const MS: Nanos = 1_000_000;

/// Unix time made monotonic. The journal's `boot_ms` has the same epoch.
#[derive(Debug)]
pub struct Clock {
    last_system_time: Nanos,
    now: Nanos,
}

impl Clock {
    /// Creates a clock that starts at the current system time.
    pub fn start() -> Clock {
        let last_system_time = system_time();
        Clock { last_system_time, now: last_system_time }
    }

    /// Reads the time. When the system clock is set back, this one continues from its last value.
    pub fn read(&mut self) -> Nanos {
        self.advance(system_time())
    }

    fn advance(&mut self, system_time: Nanos) -> Nanos {
        self.now += system_time.saturating_sub(self.last_system_time);
        self.last_system_time = system_time;
        self.now
    }
}

fn system_time() -> Nanos {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_nanos() as Nanos)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn continues_from_last_value_when_system_clock_is_set_back() {
        let mut clock = Clock { last_system_time: 1000, now: 1000 };
        assert_eq!([clock.advance(1500), clock.advance(700), clock.advance(750)], [1500, 1500, 1550]);
    }
}
