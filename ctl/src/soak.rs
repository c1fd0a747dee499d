//! `dillholdctl soak`: runs that are generated from seeds, or one script from a file.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use rehearsal::script::Script;
use rehearsal::soak::{self, plan, SoakOptions};

use crate::{write_json, RULE_BROKEN_EXIT_CODE};

/// Arguments of `soak`.
#[derive(Args)]
pub struct Soak {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// Number of consecutive seeds.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=100_000))]
    seeds: u64,
    /// Number of runs that are played at the same time. Each run has up to six processes.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=64))]
    jobs: u64,
    /// Print the script of the first seed and play nothing.
    #[arg(long)]
    print_plan: bool,
    /// Play this script with the first seed, instead of generated ones.
    #[arg(long, value_name = "FILE", conflicts_with = "seeds")]
    plan: Option<PathBuf>,
    /// Keep the controllers' structured logs of runs with a breach in this folder.
    #[arg(long, value_name = "DIR")]
    logs: Option<PathBuf>,
    /// Write the report to this file, as JSON.
    #[arg(long, value_name = "OUT")]
    json: Option<PathBuf>,
    /// The controller's executable.
    #[arg(long, value_name = "PROGRAM", default_value = "target/release/dillhold")]
    program: PathBuf,
}

impl Soak {
    fn plans(&self) -> Result<Vec<(u64, Script)>, String> {
        if let Some(file) = &self.plan {
            return Ok(vec![(self.first, Script::load(file).map_err(|e| e.to_string())?)]);
        }
        let generated = |seed: u64| {
            let script = Script::parse(&format!("script of seed {seed}"), &plan::generate(seed));
            script.map(|script| (seed, script)).map_err(|e| e.to_string())
        };
        (self.first..self.first + self.seeds).map(generated).collect()
    }
}

/// Plays the runs and prints the results.
pub fn run(arguments: &Soak) -> Result<ExitCode, String> {
    if arguments.print_plan {
        print!("{}", plan::generate(arguments.first));
        return Ok(ExitCode::SUCCESS);
    }
    let report = soak::run(&SoakOptions {
        plans: arguments.plans()?,
        jobs: arguments.jobs as usize,
        program: arguments.program.clone(),
        logs: arguments.logs.clone(),
    })?;
    println!("runs            {}, of which {} late: {:?}", report.runs, report.late.len(), report.late);
    println!("crashes         {}", report.crashes);
    for (rule, broken) in report.rules_broken.iter().filter(|(_, n)| **n > 0) {
        println!("RULE BROKEN     {}: {broken} times", rule.name());
    }
    let worst = &report.worst;
    println!(
        "longest delay   caller told {} s after an end, {} s after a BYE",
        worst.told_after_end_s, worst.told_after_release_s
    );
    println!(
        "                set-up {} s after a drain, answer {} s after a deadline",
        worst.set_up_after_drain_s, worst.answer_after_deadline_s
    );
    println!("live calls cut  {}", report.live_calls_cut);
    for breach in &report.breaches {
        let text = |key: &str| breach[key].as_str().unwrap_or("-").to_string();
        let (at, seed) = (&breach["at"], &breach["seed"]);
        println!(
            "  seed {seed}, {at:.3} s, {}, call {}: {}: {}",
            text("controller"),
            text("call"),
            text("rule"),
            text("what")
        );
    }
    if let Some(path) = &arguments.json {
        write_json(path, &report)?;
    }
    Ok(if report.has_breaches() { ExitCode::from(RULE_BROKEN_EXIT_CODE) } else { ExitCode::SUCCESS })
}
