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

/// Exit code: a rule was broken.
const RULE_BROKEN_EXIT_CODE: u8 = 1;
/// Exit code: the input cannot be used.
const BAD_INPUT_EXIT_CODE: u8 = 2;

#[derive(Parser)]
#[command(name = "dillholdctl", version, about = "The operators' command line for dillhold")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Clock {
    /// Whole controllers in this process, reproducible from the seed.
    Virtual,
    /// Real `dillhold` processes on loopback sockets, in real time.
    Wall,
}

#[derive(Subcommand)]
enum Command {
    /// Play a scripted incident against whole controllers and report the results.
    ///
    /// Exits with 0 if no rule was broken, with 1 if one was, and with 2 if the script cannot be played.
    Rehearse {
        /// The script (JSON5); docs/rehearsal.md describes the format.
        file: PathBuf,
        /// The clock that the script is played on.
        #[arg(long, value_enum, default_value = "virtual")]
        clock: Clock,
        /// Seed of all random numbers.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of runs with consecutive seeds, to estimate the noise between seeds.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..=1000))]
        runs: u32,
        /// Number of threads for runs on the virtual clock; the report does not depend on it.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..=256))]
        threads: u32,
        /// Play the short form of the script.
        #[arg(long)]
        short: bool,
        /// Write the report to this file, as JSON.
        #[arg(long, value_name = "OUT")]
        json: Option<PathBuf>,
        /// Draw the plots (SVG) into this folder.
        #[arg(long, value_name = "DIR")]
        plots: Option<PathBuf>,
        /// Print all messages of this call (16 hex digits, as in the report of a breach).
        #[arg(long, value_name = "CALL", value_parser = parse_call_id)]
        trace: Option<u64>,
        /// Write the loads that the controllers measured on their groups into this folder, in intervals of one minute,
        /// for `dimension` (virtual clock, one run, full form).
        #[arg(long, value_name = "DIR", conflicts_with_all = ["trace", "short"])]
        measure: Option<PathBuf>,
        /// The controller's executable, for `--clock wall`.
        #[arg(long, value_name = "PROGRAM", default_value = "target/release/dillhold")]
        program: PathBuf,
    },
    /// Calculate the circuits that trunk groups need from the loads that controllers measured.
    ///
    /// Exits with 0, with 2 if nothing can be calculated, and with 3 if files were skipped and the others were used.
    Dimension(dimension::Dimension),
    /// Erlang's loss formula: circuits for a loss, or the loss on circuits. The last line is the plain number.
    Erlang(erlang::Erlang),
    /// Play short runs of real processes with many random faults, generated from seeds, and check every rule.
    ///
    /// Exits with 0 if no rule was broken, with 1 if one was, and with 2 if nothing can be played.
    Soak(soak::Soak),
    /// Compare two reports, of two builds or two settings.
    Compare {
        /// The first report, as written by `rehearse --json`.
        a: PathBuf,
        /// The second report.
        b: PathBuf,
    },
}

fn parse_call_id(text: &str) -> Result<u64, String> {
    let digits = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    let id = u64::from_str_radix(text, 16).ok().filter(|_| digits);
    id.ok_or_else(|| "16 hex digits are needed".into())
}

fn read_report(path: &Path) -> Result<Report, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    serde_json::from_str(&text).map_err(|e| format!("{}: not a report of a rehearsal: {e}", path.display()))
}

fn write_json(path: &Path, value: &impl serde::Serialize) -> Result<(), String> {
    let mut text = serde_json::to_string_pretty(value).map_err(|e| e.to_string())?;
    text.push('\n');
    std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

fn print_report(report: &Report) {
    let calls = &report.calls;
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
        calls.offered, calls.stood, calls.late, calls.refused, calls.failed, calls.cut, calls.redials
    );
    for run in report.runs.iter().take(1) {
        let times = run.set_up_ms;
        println!(
            "set-up times    {:.1} ms median, {:.1} ms 99th percentile (seed {})",
            times.median, times.p99, run.seed
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
        let (class, at, outcome) = (&lost.class, lost.at, &lost.how);
        println!(
            "first lost      {} at {}: {class}, offered at {at} s, {outcome} (see --trace)",
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
                return Err("--trace prints a call of a single run: leave out --runs".into());
            }
            let seconds = rehearsal::offering_seconds(&script, short);
            if measure.is_some() && (runs > 1 || clock == Clock::Wall) {
                return Err("--measure is for one run on the virtual clock".into());
            }
            let report = match (clock, trace) {
                (Clock::Virtual, None) if measure.is_some() => {
                    let calendar = Calendar::new("UTC", 1).map_err(|e| e.to_string())?;
                    let measured = rehearsal::rehearse_measured(&script, seed, &calendar)?;
                    let folder = measure.unwrap_or_default();
                    let write_error = |e: std::io::Error| format!("{}: {e}", folder.display());
                    std::fs::create_dir_all(&folder).map_err(write_error)?;
                    for interval in &measured.intervals {
                        std::fs::write(folder.join(interval.file_name()), encode(interval))
                            .map_err(write_error)?;
                    }
                    println!("{} intervals written to {}", measured.intervals.len(), folder.display());
                    Report::new(&script, "virtual", seconds, vec![measured.run])
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
                        let lateness = played.lateness;
                        if lateness.is_unreliable() {
                            eprintln!("dillholdctl: this machine was too busy to keep up with real time: {lateness:?}");
                        }
                        Ok(played.run)
                    });
                    Report::new(&script, "wall", seconds, played.collect::<Result<_, String>>()?)
                }
            };
            print_report(&report);
            if let Some(path) = json {
                write_json(&path, &report)?;
            }
            if let Some(folder) = plots {
                let files = plots::draw(&report, &folder);
                for file in files.map_err(|e| format!("{}: {e}", folder.display()))? {
                    println!("plot            {}", file.display());
                }
            }
            Ok(if report.has_breaches() { ExitCode::from(RULE_BROKEN_EXIT_CODE) } else { ExitCode::SUCCESS })
        }
        Command::Dimension(arguments) => dimension::run(&arguments),
        Command::Erlang(arguments) => erlang::run(&arguments),
        Command::Soak(arguments) => soak::run(&arguments),
        Command::Compare { a, b } => {
            println!("{}", compare::compare(&read_report(&a)?, &read_report(&b)?)?);
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn main() -> ExitCode {
    run(Cli::parse().command).unwrap_or_else(|error| {
        eprintln!("dillholdctl: {error}");
        ExitCode::from(BAD_INPUT_EXIT_CODE)
    })
}
