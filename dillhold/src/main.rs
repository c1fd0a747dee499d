//! Runs the call controller with the configuration file `EDGE_CONFIG` until a shutdown signal.
#![forbid(unsafe_code)]

use std::process::ExitCode;

use clap::Parser;
use dillhold::net::{read_config, Driver, Signals};
use dillhold::operator;
use tracing_subscriber::EnvFilter;

/// A call controller for a private voice network.
///
/// EDGE_CONFIG names the configuration file. Structured logs go to standard error, one JSON object per line.
/// DILLHOLD_LOG sets their level (off, error, warn, info, debug) or filters them by module, as in
/// dillhold::engine=debug; the default is off.
#[derive(Parser)]
#[command(name = "dillhold", version)]
struct Cli {
    /// Check a configuration file and print a summary or the error, without starting the controller.
    #[arg(long, value_name = "CONFIG")]
    check: Option<String>,
    /// The operator's file (JSON5), which enables optional features. The default is deploy/dillhold.json5, if it
    /// exists.
    #[arg(long, value_name = "FILE")]
    operator: Option<String>,
}

fn check(path: &str, cli: &Cli) -> Result<(), String> {
    let (config, settings) = read_config(path).map_err(|e| format!("{path}: {e}"))?;
    let known_events = config.known.entries.len();
    let module_settings = &settings.module;
    println!(
        "{path}: sound: exchange {} of {}, {} classes ({}), listens on {}, {known_events} journal events known",
        module_settings.home_exchange.map_or("-".into(), |n| n.to_string()),
        module_settings.controller_count,
        settings.classes.len(),
        settings.classes.join(", "),
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
    let signals = Signals::install()?;
    let path = std::env::var("EDGE_CONFIG").map_err(|_| "EDGE_CONFIG is not set".to_string())?;
    let log_filter = std::env::var("DILLHOLD_LOG").unwrap_or_else(|_| "off".into());
    let filter = EnvFilter::try_new(&log_filter).map_err(|e| format!("DILLHOLD_LOG: {log_filter}: {e}"))?;
    tracing_subscriber::fmt().json().with_env_filter(filter).with_writer(std::io::stderr).init();
    let operator = operator::read(cli.operator.as_deref()).map_err(|e| e.to_string())?;
    match Driver::start(path, &operator, signals)? {
        Some(driver) => driver.run(),
        None => Ok(()),
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    match cli.check.as_ref().map_or_else(|| serve(&cli), |path| check(path, &cli)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dillhold: {}", error.replace(char::is_control, " "));
            ExitCode::FAILURE
        }
    }
}
