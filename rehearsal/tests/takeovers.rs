//! The scripts of the soak on the virtual clock, the same on every run: no rule is broken. The environment variable
//! SOAK_SCRIPTS sets how many seeds are played beside those that once broke a rule.

use std::sync::atomic::{AtomicU64, Ordering};

use rehearsal::rehearse;
use rehearsal::script::{EventKind, Script};
use rehearsal::soak::plan;

/// Seeds with which calls were left standing while the fix of report 040f40 was made: at a connection that was lost before
/// the journal fell silent, and at one that fell silent with a pending attempt.
const SEEDS: [u64; 5] = [17, 860, 2969, 3335, 3373];
const DEFAULT_SCRIPTS: u64 = 120;

/// The script of a seed without what the virtual clock does not have.
fn script(seed: u64) -> Script {
    let mut script = Script::parse("script of the soak", &plan::generate(seed)).unwrap();
    (script.callers.half_close.0, script.callers.pieces.0) = (0.0, 0.0);
    script.events.retain(|event| event.kind != EventKind::BadCallers);
    script
}

#[test]
fn scripts_of_the_soak_break_no_rule_on_the_virtual_clock() {
    let scripts = std::env::var("SOAK_SCRIPTS").ok().and_then(|n| n.parse().ok()).unwrap_or(DEFAULT_SCRIPTS);
    let next = AtomicU64::new(0);
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let index = next.fetch_add(1, Ordering::Relaxed);
                let seed = match SEEDS.get(index as usize) {
                    Some(seed) => *seed,
                    None if index < SEEDS.len() as u64 + scripts => index - SEEDS.len() as u64,
                    None => return,
                };
                let report = rehearse(&script(seed), seed, 1, 1, false).unwrap();
                assert!(!report.has_breaches(), "seed {seed}: {:#?}", report.runs[0].breaches.first());
            });
        }
    });
}
