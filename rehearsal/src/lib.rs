//! Incidents written down and played against whole dillhold controllers, the same every time.
//!
//! A [`script::Script`] says what the world is like and what happens in it. [`world::World`] plays callers, trunk
//! groups, results nodes and the node register in discrete events; it is driven by a virtual clock
//! ([`virtual_clock`]), with the controllers in this process, or by the wall's ([`wall_clock`]), with real
//! processes on loopback sockets. [`audit::Auditor`] checks every rule from what passed on the wires, and
//! [`report::Report`] says what it came to.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod audit;
pub mod compare;
pub mod plots;
pub mod report;
pub mod script;
pub mod soak;
pub mod virtual_clock;
pub mod wall_clock;
pub mod world;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

use measured::calendar::Calendar;
use measured::record::Interval;
use report::{Report, RunReport};
use script::Script;
use virtual_clock::ControllerFactory;
use world::{seconds_to_nanos, World};

/// Seconds in which calls are offered, in full or in the short form.
pub fn offering_seconds(script: &Script, short: bool) -> f64 {
    let full = script.seconds.0;
    script.short_seconds.filter(|_| short).map_or(full, |s| s.0)
}

/// Plays a script once on the virtual clock. `trace` is a call of which everything is written down.
pub fn rehearse_once(
    script: &Script,
    seed: u64,
    short: bool,
    trace: Option<u64>,
    make: ControllerFactory<'_>,
) -> Result<(RunReport, Vec<String>), String> {
    let offers = seconds_to_nanos(offering_seconds(script, short));
    let addresses = Box::new(virtual_clock::endpoint_address);
    let mut world = World::new(script.clone(), seed, virtual_clock::START_TIME, offers, addresses);
    trace.into_iter().for_each(|call| world.auditor.trace_call(call));
    let (world, _) = virtual_clock::run(world, make)?;
    Ok((
        RunReport::new(script, seed, &world.statistics, &world.auditor, world.digest()),
        world.auditor.trace_lines().to_vec(),
    ))
}

/// What controllers measured in a rehearsal, and what was truly offered.
pub struct Measured {
    /// The rehearsal's report.
    pub run: RunReport,
    /// The intervals of all controllers.
    pub intervals: Vec<Interval>,
    /// By class and the two ends of a group, the lower first: the load of fresh calls offered, in erlang of calls.
    pub offered: BTreeMap<(String, (u32, u32)), f64>,
}

/// Plays a script once on the virtual clock with controllers that measure by this calendar.
pub fn rehearse_measured(script: &Script, seed: u64, calendar: &Calendar) -> Result<Measured, String> {
    let offers = seconds_to_nanos(script.seconds.0);
    let addresses = Box::new(virtual_clock::endpoint_address);
    let world = World::new(script.clone(), seed, virtual_clock::START_TIME, offers, addresses);
    let offered = world.offered_load();
    let (world, intervals) =
        virtual_clock::run(world, &mut virtual_clock::new_measuring_engine(calendar.clone()))?;
    let run = RunReport::new(script, seed, &world.statistics, &world.auditor, world.digest());
    Ok(Measured { run, intervals, offered })
}

/// Plays a script with consecutive seeds on the virtual clock, in so many threads. The report is the same
/// whatever their number.
pub fn rehearse(
    script: &Script,
    seed: u64,
    runs: usize,
    threads: usize,
    short: bool,
) -> Result<Report, String> {
    let (next, done) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, runs.max(1)) {
            scope.spawn(|| loop {
                let run = next.fetch_add(1, Ordering::Relaxed);
                if run >= runs {
                    return;
                }
                let result =
                    rehearse_once(script, seed + run as u64, short, None, &mut virtual_clock::new_engine);
                done.lock().expect("no holder panics").push((run, result));
            });
        }
    });
    let mut done = done.into_inner().expect("no holder panics");
    done.sort_by_key(|(run, _)| *run);
    let runs: Result<Vec<RunReport>, String> = done.into_iter().map(|(_, r)| r.map(|(run, _)| run)).collect();
    Ok(Report::new(script, "virtual", offering_seconds(script, short), runs?))
}
