//! Detects pauses of this process. A timer of its own, the watch, expires in short intervals while calls are
//! offered: one that is overdue when an event is handled shows that the process stood still since it was due.
//!
//! The timers of calls are not used for this. They are dropped with their call, so that their number is
//! bounded by the calls that are open.

use crate::interface::{nanos_to_secs, secs_to_nanos, Nanos};

/// A watch overdue by more than this shows a pause.
const PAUSE_DETECTION_SECS: f64 = 0.1;
/// Interval of the watch.
const WATCH_INTERVAL_SECS: f64 = 0.1;
/// The watch ends this long after the last call was offered.
const WATCH_SPAN_SECS: f64 = 10.0;

/// The watch, and the pauses found so far.
#[derive(Debug, Default)]
pub struct PauseDetector {
    /// When the watch that is set expires.
    watch_due: Option<Nanos>,
    last_call_at: Option<Nanos>,
    total_pause: Nanos,
    last_pause_ended_at: Nanos,
}

impl PauseDetector {
    /// Records that an event is handled now.
    pub fn event_at(&mut self, now: Nanos) {
        let Some(due) = self.watch_due.filter(|due| *due <= now) else { return };
        if nanos_to_secs(now - due) > PAUSE_DETECTION_SECS {
            self.total_pause += now - due;
            self.last_pause_ended_at = now;
            self.watch_due = Some(now);
        }
    }

    /// Records that the watch has expired.
    pub fn watch_expired(&mut self) {
        self.watch_due = None;
    }

    /// Records that a call is offered.
    pub fn call_offered_at(&mut self, now: Nanos) {
        self.last_call_at = Some(now);
    }

    /// When the next watch has to expire; `None` if one is set already or none is needed.
    pub fn set_watch(&mut self, now: Nanos) -> Option<Nanos> {
        let watching = self.last_call_at.is_some_and(|at| nanos_to_secs(now - at) < WATCH_SPAN_SECS);
        if !watching || self.watch_due.is_some() {
            return None;
        }
        self.watch_due = Some(now + secs_to_nanos(WATCH_INTERVAL_SECS));
        self.watch_due
    }

    /// The time without the pauses of this process, which are no delay of a route.
    pub fn time_without_pauses(&self, now: Nanos) -> Nanos {
        now - self.total_pause
    }

    /// Whether a pause ended at this moment.
    pub fn pause_ended_at(&self, now: Nanos) -> bool {
        now == self.last_pause_ended_at
    }
}
