//! Plays scripted incidents against whole dillhold controllers, reproducibly from a seed.
//!
//! A [`script::Script`] describes the network and the events of a rehearsal. [`world::World`] simulates callers, trunk
//! groups, nodes and the journal services as discrete events. It is driven by a virtual clock ([`virtual_clock`]), with
//! the controllers in this process, or by the wall clock ([`wall_clock`]), with real processes on loopback sockets.
//! [`audit::Auditor`] checks every rule against the messages on the wires, and [`report::Report`] holds the results.
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

/// How long calls are offered, in the script's full or short form.
pub fn offering_seconds(script: &Script, short: bool) -> f64 {
    let full = script.seconds.0;
    script.short_seconds.filter(|_| short).map_or(full, |s| s.0)
}

/// Plays a script once on the virtual clock; returns the report and the messages of the call `trace`.
pub fn rehearse_once(
    script: &Script,
    seed: u64,
    short: bool,
    trace: Option<u64>,
    make: ControllerFactory<'_>,
) -> Result<(RunReport, Vec<String>), String> {
    let offering_time = seconds_to_nanos(offering_seconds(script, short));
    let addresses = Box::new(virtual_clock::endpoint_address);
    let mut world = World::new(script.clone(), seed, virtual_clock::START_TIME, offering_time, addresses);
    trace.into_iter().for_each(|call| world.auditor.trace_call(call));
    let (world, _) = virtual_clock::run(world, make)?;
    Ok((
        RunReport::new(script, seed, &world.statistics, &world.auditor, world.digest()),
        world.auditor.trace_lines().to_vec(),
    ))
}

/// The loads that controllers measured in a rehearsal, and those that were offered.
pub struct MeasuredRehearsal {
    /// The report of the run.
    pub run: RunReport,
    /// The intervals that all controllers measured.
    pub intervals: Vec<Interval>,
    /// The load offered by first tries, in erlang of calls; by class and the two ends of a group, the lower first.
    pub offered: BTreeMap<(String, (u32, u32)), f64>,
}

/// Plays a script once on the virtual clock, with controllers that measure in the intervals of this calendar.
pub fn rehearse_measured(
    script: &Script,
    seed: u64,
    calendar: &Calendar,
) -> Result<MeasuredRehearsal, String> {
    let offering_time = seconds_to_nanos(script.seconds.0);
    let addresses = Box::new(virtual_clock::endpoint_address);
    let world = World::new(script.clone(), seed, virtual_clock::START_TIME, offering_time, addresses);
    let offered = world.offered_load();
    let (world, intervals) =
        virtual_clock::run(world, &mut virtual_clock::new_measuring_engine(calendar.clone()))?;
    let run = RunReport::new(script, seed, &world.statistics, &world.auditor, world.digest());
    Ok(MeasuredRehearsal { run, intervals, offered })
}

/// Plays a script `runs` times on the virtual clock, with consecutive seeds. The report doesn't depend on the number
/// of threads.
pub fn rehearse(
    script: &Script,
    seed: u64,
    runs: usize,
    threads: usize,
    short: bool,
) -> Result<Report, String> {
    let (next_run, results) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, runs.max(1)) {
            scope.spawn(|| loop {
                let run = next_run.fetch_add(1, Ordering::Relaxed);
                if run >= runs {
                    return;
                }
                let result =
                    rehearse_once(script, seed + run as u64, short, None, &mut virtual_clock::new_engine);
                results.lock().expect("no thread panics while it holds the lock").push((run, result));
            });
        }
    });
    let mut results = results.into_inner().expect("no thread panics while it holds the lock");
    results.sort_by_key(|(run, _)| *run);
    let runs: Result<Vec<RunReport>, String> =
        results.into_iter().map(|(_, r)| r.map(|(run, _)| run)).collect();
    Ok(Report::new(script, "virtual", offering_seconds(script, short), runs?))
}
