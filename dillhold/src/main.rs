//! Starts the call controller: reads `EDGE_CONFIG` and serves until it is told to end.
#![forbid(unsafe_code)]

use std::process::ExitCode;

use clap::Parser;
use dillhold::net::{read_config, Driver};
use dillhold::operator;
use tracing_subscriber::EnvFilter;

/// A call controller for a private voice network.
///
/// The configuration file is named by EDGE_CONFIG. Structured logs go to standard error, a JSON object a line,
/// as DILLHOLD_LOG asks for them (off, error, warn, info, debug, or by part: dillhold::engine=debug); they are
/// off by default.
#[derive(Parser)]
#[command(name = "dillhold", version)]
struct Cli {
    /// Check a configuration file, say what it holds or what is wrong with it, and start nothing.
    #[arg(long, value_name = "CONFIG")]
    check: Option<String>,
    /// The operator's own file (JSON5): what is new is switched on there. Without this, deploy/dillhold.json5 is
    /// read if it is there.
    #[arg(long, value_name = "FILE")]
    operator: Option<String>,
}

fn check(path: &str, cli: &Cli) -> Result<(), String> {
    let (config, told) = read_config(path).map_err(|e| format!("{path}: {e}"))?;
    let known = config.known.entries.len();
    let settings = &told.module;
    println!(
        "{path}: sound: exchange {} of {}, {} classes ({}), listens on {}, {known} journal events known",
        settings.home_exchange.map_or("-".into(), |n| n.to_string()),
        settings.controller_count,
        told.classes.len(),
        told.classes.join(", "),
        config.listen,
    );
    let operator = operator::read(cli.operator.as_deref()).map_err(|e| e.to_string())?;
    match operator.measure {
        Some(m) => {
            println!("measuring: {} minutes, {}, to {}", m.interval_minutes, m.time_zone, m.folder.display())
        }
        None => println!("measuring: off"),
    }
    Ok(())
}

fn serve(cli: &Cli) -> Result<(), String> {
    let path = std::env::var("EDGE_CONFIG").map_err(|_| "EDGE_CONFIG is not set".to_string())?;
    let wanted = std::env::var("DILLHOLD_LOG").unwrap_or_else(|_| "off".into());
    let filter = EnvFilter::try_new(&wanted).map_err(|e| format!("DILLHOLD_LOG: {wanted}: {e}"))?;
    tracing_subscriber::fmt().json().with_env_filter(filter).with_writer(std::io::stderr).init();
    let operator = operator::read(cli.operator.as_deref()).map_err(|e| e.to_string())?;
    Driver::start(path, &operator)?.run()
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    match cli.check.as_ref().map_or_else(|| serve(&cli), |path| check(path, &cli)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("dillhold: {}", text.replace(char::is_control, " "));
            ExitCode::FAILURE
        }
    }
}
