//! `dillholdctl soak`: runs drawn from seeds, or one plan from a file.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use rehearsal::script::Script;
use rehearsal::soak::{self, plan, SoakOptions};

use crate::{write_json, RULE_BROKEN};

/// What is asked for.
#[derive(Args)]
pub struct Soak {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// How many seeds, from the first one on.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=100_000))]
    seeds: u64,
    /// Runs that are played at once. Each has up to six processes.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=64))]
    jobs: u64,
    /// Print the plan of the first seed, as a script, and play nothing.
    #[arg(long)]
    print_plan: bool,
    /// Play this plan, with the first seed, instead of drawing one.
    #[arg(long, value_name = "FILE", conflicts_with = "seeds")]
    plan: Option<PathBuf>,
    /// Keep the controllers' structured logs of runs that broke a rule in this folder.
    #[arg(long, value_name = "DIR")]
    logs: Option<PathBuf>,
    /// Write the report here.
    #[arg(long, value_name = "OUT")]
    json: Option<PathBuf>,
    /// The program that is played.
    #[arg(long, value_name = "PROGRAM", default_value = "target/release/dillhold")]
    program: PathBuf,
}

impl Soak {
    fn plans(&self) -> Result<Vec<(u64, Script)>, String> {
        if let Some(file) = &self.plan {
            return Ok(vec![(self.first, Script::load(file).map_err(|e| e.to_string())?)]);
        }
        let drawn = |seed: u64| {
            let script = Script::parse(&format!("plan of seed {seed}"), &plan::generate(seed));
            script.map(|script| (seed, script)).map_err(|e| e.to_string())
        };
        (self.first..self.first + self.seeds).map(drawn).collect()
    }
}

/// Plays what is asked for and prints what it came to.
pub fn run(asked: &Soak) -> Result<ExitCode, String> {
    if asked.print_plan {
        print!("{}", plan::generate(asked.first));
        return Ok(ExitCode::SUCCESS);
    }
    let played = soak::play(&SoakOptions {
        plans: asked.plans()?,
        jobs: asked.jobs as usize,
        program: asked.program.clone(),
        logs: asked.logs.clone(),
    })?;
    println!("runs            {}, of which {} late: {:?}", played.runs, played.late.len(), played.late);
    println!("crashes         {}", played.crashes);
    for (rule, broken) in played.rules_broken.iter().filter(|(_, n)| **n > 0) {
        println!("RULE BROKEN     {}: {broken} times", rule.name());
    }
    let worst = &played.worst;
    println!(
        "worst           told {} s after an end, {} s after a release",
        worst.told_after_end_s, worst.told_after_release_s
    );
    println!(
        "                set-up {} s after a drain, answer {} s after a deadline",
        worst.set_up_after_drain_s, worst.answer_after_deadline_s
    );
    for breach in &played.breaches {
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
    if let Some(path) = &asked.json {
        write_json(path, &played)?;
    }
    Ok(if played.has_breaches() { ExitCode::from(RULE_BROKEN) } else { ExitCode::SUCCESS })
}
