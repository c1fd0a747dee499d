//! The operators' command line for dillhold.
#![forbid(unsafe_code)]

mod dimension;
mod dimension_plots;
mod erlang;
mod soak;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand, ValueEnum};
use measured::calendar::Calendar;
use measured::record::encode;
use rehearsal::report::Report;
use rehearsal::script::Script;
use rehearsal::{compare, plots, virtual_clock, wall_clock};

/// Exit codes: a rule was broken, or the input is not to be used.
const RULE_BROKEN: u8 = 1;
const BAD_INPUT: u8 = 2;

#[derive(Parser)]
#[command(name = "dillholdctl", version, about = "The operators' command line for dillhold")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Clock {
    /// Whole controllers in this process; the same every time.
    Virtual,
    /// Real `dillhold` processes on loopback sockets, in real time.
    Wall,
}

#[derive(Subcommand)]
enum Command {
    /// Play an incident that is written down against whole controllers, and report what it came to.
    ///
    /// Exits with 0 if no rule was broken, with 1 if one was, and with 2 if the script cannot be played.
    Rehearse {
        /// The script (JSON5); docs/rehearsal.md tells how to write one.
        file: PathBuf,
        /// The clock it is played on.
        #[arg(long, value_enum, default_value = "virtual")]
        clock: Clock,
        /// Seed of everything that is drawn.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Runs with consecutive seeds, to know the noise of the seeds.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..=1000))]
        runs: u32,
        /// Threads for several runs on the virtual clock; the report is the same whatever their number.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..=256))]
        threads: u32,
        /// Play the script's short form.
        #[arg(long)]
        short: bool,
        /// Write the report here.
        #[arg(long, value_name = "OUT")]
        json: Option<PathBuf>,
        /// Draw the pictures (SVG) into this folder.
        #[arg(long, value_name = "DIR")]
        plots: Option<PathBuf>,
        /// Print all messages of this call (16 hex digits, as breaches name it).
        #[arg(long, value_name = "CALL", value_parser = call_id)]
        trace: Option<u64>,
        /// Write what the controllers measured of their groups here, in intervals of a minute, for `dimension`
        /// (virtual clock, one run, in full).
        #[arg(long, value_name = "DIR", conflicts_with_all = ["trace", "short"])]
        measure: Option<PathBuf>,
        /// The program that `--clock wall` starts.
        #[arg(long, value_name = "PROGRAM", default_value = "target/release/dillhold")]
        program: PathBuf,
    },
    /// Reckon the circuits that trunk groups need, from what controllers measured.
    ///
    /// Exits with 0, with 2 if nothing can be reckoned, and with 3 if files were skipped and the rest was used.
    Dimension(dimension::Dimension),
    /// Erlang's loss formula: circuits for a loss, or the loss on circuits, bare on the last line.
    Erlang(erlang::Erlang),
    /// Play short, dense runs of real processes, with faults drawn from seeds, and judge every rule.
    ///
    /// Exits with 0 if no rule was broken, with 1 if one was, and with 2 if nothing can be played.
    Soak(soak::Soak),
    /// Put two reports side by side: two builds, or two settings.
    Compare {
        /// The first report, as `rehearse --json` wrote it.
        a: PathBuf,
        /// The second.
        b: PathBuf,
    },
}

fn call_id(text: &str) -> Result<u64, String> {
    let digits = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    let id = u64::from_str_radix(text, 16).ok().filter(|_| digits);
    id.ok_or_else(|| "16 hex digits are needed".into())
}

fn read_report(path: &Path) -> Result<Report, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    serde_json::from_str(&text).map_err(|e| format!("{}: no report of a rehearsal: {e}", path.display()))
}

fn write_json(path: &Path, what: &impl serde::Serialize) -> Result<(), String> {
    let mut text = serde_json::to_string_pretty(what).map_err(|e| e.to_string())?;
    text.push('\n');
    std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

fn print(report: &Report) {
    let c = &report.calls;
    println!(
        "{} ({} clock, {} s, {} run(s))",
        report.script,
        report.clock,
        report.seconds,
        report.runs.len()
    );
    println!("service worth   {:.4}", report.service_worth);
    for (name, worth) in &report.classes {
        println!("  {name:13} {worth:.4}");
    }
    println!(
        "calls           {} offered: {} stood, {} late, {} refused, {} failed, {} cut; {} redials",
        c.offered, c.stood, c.late, c.refused, c.failed, c.cut, c.redials
    );
    for run in report.runs.iter().take(1) {
        let t = run.set_up_ms;
        println!(
            "set-up times    {:.1} ms the median, {:.1} ms the 99th of a hundred (seed {})",
            t.median, t.p99, run.seed
        );
    }
    for (rule, broken) in report.rules_broken.iter().filter(|(_, n)| **n > 0) {
        println!("RULE BROKEN     {rule}: {broken} times");
    }
    for breach in report.runs.iter().flat_map(|r| &r.breaches).take(5) {
        let text = |key: &str| breach[key].as_str().unwrap_or("-").to_string();
        println!(
            "  at {:.3} s, {}, call {}: {}",
            breach["at"],
            text("controller"),
            text("call"),
            text("what")
        );
        for message in breach["messages"].as_array().into_iter().flatten() {
            println!("      {}", message.as_str().unwrap_or_default());
        }
    }
    if let (Some(lost), false) = (report.runs.first().and_then(|r| r.lost.first()), report.has_breaches()) {
        let (class, at, how) = (&lost.class, lost.at, &lost.how);
        println!(
            "first lost      {} at {}: {class} of {at} s, {how} (see --trace)",
            lost.call, lost.controller
        );
    }
    println!("digest          {}", report.digest);
}

fn run(command: Command) -> Result<ExitCode, String> {
    match command {
        Command::Rehearse {
            file,
            clock,
            seed,
            runs,
            threads,
            short,
            json,
            plots,
            trace,
            measure,
            program,
        } => {
            let script = Script::load(&file).map_err(|e| e.to_string())?;
            if trace.is_some() && runs > 1 {
                return Err("--trace follows a call of one run: leave --runs out".into());
            }
            let seconds = rehearsal::offering_seconds(&script, short);
            if measure.is_some() && (runs > 1 || clock == Clock::Wall) {
                return Err("--measure is for one run on the virtual clock".into());
            }
            let report = match (clock, trace) {
                (Clock::Virtual, None) if measure.is_some() => {
                    let calendar = Calendar::new("UTC", 1).map_err(|e| e.to_string())?;
                    let found = rehearsal::rehearse_measured(&script, seed, &calendar)?;
                    let folder = measure.unwrap_or_default();
                    let said = |e: std::io::Error| format!("{}: {e}", folder.display());
                    std::fs::create_dir_all(&folder).map_err(said)?;
                    for interval in &found.intervals {
                        std::fs::write(folder.join(interval.file_name()), encode(interval)).map_err(said)?;
                    }
                    println!("{} intervals written to {}", found.intervals.len(), folder.display());
                    Report::new(&script, "virtual", seconds, vec![found.run])
                }
                (Clock::Virtual, None) => {
                    rehearsal::rehearse(&script, seed, runs as usize, threads as usize, short)?
                }
                (Clock::Virtual, trace) => {
                    let engine = &mut virtual_clock::new_engine;
                    let (run, lines) = rehearsal::rehearse_once(&script, seed, short, trace, engine)?;
                    lines.iter().for_each(|line| println!("{line}"));
                    Report::new(&script, "virtual", seconds, vec![run])
                }
                (Clock::Wall, trace) => {
                    let played = (0..u64::from(runs)).map(|run| {
                        let options = wall_clock::RunOptions { short, trace, logs: None };
                        let played = wall_clock::rehearse_once(&script, seed + run, &program, &options)?;
                        played.trace.iter().for_each(|line| println!("{line}"));
                        let late = played.lateness;
                        if late.is_unreliable() {
                            eprintln!("dillholdctl: this machine was too busy: {late:?}");
                        }
                        Ok(played.run)
                    });
                    Report::new(&script, "wall", seconds, played.collect::<Result<_, String>>()?)
                }
            };
            print(&report);
            if let Some(path) = json {
                write_json(&path, &report)?;
            }
            if let Some(folder) = plots {
                let files = plots::draw(&report, &folder);
                for file in files.map_err(|e| format!("{}: {e}", folder.display()))? {
                    println!("drawn           {}", file.display());
                }
            }
            Ok(if report.has_breaches() { ExitCode::from(RULE_BROKEN) } else { ExitCode::SUCCESS })
        }
        Command::Dimension(asked) => dimension::run(&asked),
        Command::Erlang(asked) => erlang::run(&asked),
        Command::Soak(asked) => soak::run(&asked),
        Command::Compare { a, b } => {
            println!("{}", compare::compare(&read_report(&a)?, &read_report(&b)?)?);
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn main() -> ExitCode {
    run(Cli::parse().command).unwrap_or_else(|text| {
        eprintln!("dillholdctl: {text}");
        ExitCode::from(BAD_INPUT)
    })
}
