//! A soak: short, dense runs of real processes on the wall's clock, each with a plan that is drawn from a seed.

pub mod plan;

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

use serde::Serialize;
use serde_json::Value;

use crate::audit::{Rule, Worst};
use crate::report::RunReport;
use crate::script::Script;
use crate::wall_clock::{self, Lateness};

/// What a soak is asked to play.
#[derive(Clone, Debug)]
pub struct Asked {
    /// Seeds and their plans.
    pub plans: Vec<(u64, Script)>,
    /// Runs that are played at once.
    pub jobs: usize,
    /// The program.
    pub program: PathBuf,
    /// Where the logs of the controllers go; those of runs that broke a rule are kept.
    pub logs: Option<PathBuf>,
}

/// What a soak came to.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Soak {
    /// Runs that were played.
    pub runs: usize,
    /// Seeds of runs in which this machine fell behind; they are played, and not counted as passed.
    pub late: Vec<u64>,
    /// Controllers that ended of their own accord.
    pub crashes: u64,
    /// How often each rule was broken, in runs that were not late.
    pub rules_broken: BTreeMap<Rule, u64>,
    /// What came closest to a limit, or went furthest past it.
    pub worst: Worst,
    /// Rules that were broken, each with its seed, time, call and the events of that call.
    pub breaches: Vec<Value>,
}

impl Soak {
    /// Whether a rule was broken, or a run could not be judged.
    pub fn failed(&self) -> bool {
        self.rules_broken.values().any(|n| *n > 0)
    }
}

/// Plays all plans and judges them.
pub fn play(asked: &Asked) -> Result<Soak, String> {
    let next = AtomicUsize::new(0);
    let done = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..asked.jobs.clamp(1, asked.plans.len().max(1)) {
            scope.spawn(|| {
                while let Some((seed, script)) = asked.plans.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let played = play_one(asked, *seed, script);
                    done.lock().expect("no holder panics").push((*seed, played));
                }
            });
        }
    });
    let mut done = done.into_inner().expect("no holder panics");
    done.sort_by_key(|(seed, _)| *seed);
    let mut soak = Soak { rules_broken: Rule::ALL.iter().map(|r| (*r, 0)).collect(), ..Soak::default() };
    for (seed, played) in done {
        let (run, lateness) = played?;
        soak.add(seed, &run, lateness);
    }
    Ok(soak)
}

fn play_one(asked: &Asked, seed: u64, script: &Script) -> Result<(RunReport, Lateness), String> {
    let logs = asked.logs.as_ref().map(|folder| folder.join(format!("seed-{seed}")));
    let options = wall_clock::RunOptions { short: false, trace: None, logs: logs.clone() };
    let played = wall_clock::rehearse_once(script, seed, &asked.program, &options)?;
    let kept = played.run.rules_broken.values().all(|n| *n == 0);
    if let Some(folder) = logs.filter(|_| kept) {
        remove(&folder)?;
    }
    Ok((played.run, played.lateness))
}

fn remove(folder: &Path) -> Result<(), String> {
    std::fs::remove_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))
}

impl Soak {
    fn add(&mut self, seed: u64, run: &RunReport, lateness: Lateness) {
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
        for breach in &run.breaches {
            let mut breach = breach.clone();
            breach["seed"] = seed.into();
            self.breaches.push(breach);
        }
    }
}
