//! Soak tests: short runs of real processes on the wall clock, with many overlapping faults. Each run plays a script
//! that is generated from a seed.

pub mod plan;

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

use serde::Serialize;
use serde_json::Value;

use crate::audit::{Rule, WorstDelays};
use crate::report::RunReport;
use crate::script::Script;
use crate::wall_clock::{self, Lateness};

/// Options of a soak.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Seeds, each with its script.
    pub plans: Vec<(u64, Script)>,
    /// Number of runs that are played at the same time.
    pub jobs: usize,
    /// The controller's executable.
    pub program: PathBuf,
    /// Folder for the controllers' logs. Those of runs without a breach are removed.
    pub logs: Option<PathBuf>,
}

/// The results of a soak.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SoakReport {
    /// Number of runs that were played.
    pub runs: usize,
    /// Seeds of unreliable runs, in which the driver fell behind real time. These runs count in `runs` only.
    pub late: Vec<u64>,
    /// How often a controller's process ended without having been terminated or killed by the rehearsal.
    pub crashes: u64,
    /// How often each rule was broken, without the unreliable runs.
    pub rules_broken: BTreeMap<Rule, u64>,
    /// The longest delay against each time limit.
    pub worst: WorstDelays,
    /// How many calls controllers released although they stood at their node, as it was not known whether they do.
    pub live_calls_cut: u64,
    /// The breaches, each with its seed, time, call and the messages of that call.
    pub breaches: Vec<Value>,
}

impl SoakReport {
    /// Whether a rule was broken, unreliable runs excluded.
    pub fn has_breaches(&self) -> bool {
        self.rules_broken.values().any(|n| *n > 0)
    }
}

/// Plays all scripts and combines their results.
pub fn run(options: &SoakOptions) -> Result<SoakReport, String> {
    let next_plan = AtomicUsize::new(0);
    let results = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..options.jobs.clamp(1, options.plans.len().max(1)) {
            scope.spawn(|| {
                while let Some((seed, script)) = options.plans.get(next_plan.fetch_add(1, Ordering::Relaxed))
                {
                    let played = run_one(options, *seed, script);
                    results.lock().expect("no thread panics while it holds the lock").push((*seed, played));
                }
            });
        }
    });
    let mut results = results.into_inner().expect("no thread panics while it holds the lock");
    results.sort_by_key(|(seed, _)| *seed);
    let mut report =
        SoakReport { rules_broken: Rule::ALL.iter().map(|r| (*r, 0)).collect(), ..SoakReport::default() };
    for (seed, played) in results {
        let (run, lateness) = played?;
        report.add_run(seed, &run, lateness);
    }
    Ok(report)
}

fn run_one(options: &SoakOptions, seed: u64, script: &Script) -> Result<(RunReport, Lateness), String> {
    let logs = options.logs.as_ref().map(|folder| folder.join(format!("seed-{seed}")));
    let run_options = wall_clock::RunOptions { short: false, trace: None, logs: logs.clone() };
    let played = wall_clock::rehearse_once(script, seed, &options.program, &run_options)?;
    let no_breaches = played.run.rules_broken.values().all(|n| *n == 0);
    if let Some(folder) = logs.filter(|_| no_breaches) {
        remove_folder(&folder)?;
    }
    Ok((played.run, played.lateness))
}

fn remove_folder(folder: &Path) -> Result<(), String> {
    std::fs::remove_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))
}

impl SoakReport {
    fn add_run(&mut self, seed: u64, run: &RunReport, lateness: Lateness) {
        self.runs += 1;
        if lateness.is_unreliable() {
            return self.late.push(seed);
        }
        for rule in Rule::ALL {
            let broken = run.rules_broken.get(&rule.name()).copied().unwrap_or(0);
            *self.rules_broken.entry(rule).or_insert(0) += broken;
            if rule == Rule::RunsOn {
                self.crashes += broken;
            }
        }
        self.worst.add(&run.worst);
        self.live_calls_cut += run.live_calls_cut;
        for breach in &run.breaches {
            let mut breach = breach.clone();
            breach["seed"] = seed.into();
            self.breaches.push(breach);
        }
    }
}
