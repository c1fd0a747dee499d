//! Starts the call controller: reads `EDGE_CONFIG` and serves until it is told to end.
#![forbid(unsafe_code)]

use std::process::ExitCode;

use dillhold::net::Driver;

fn run() -> Result<(), String> {
    let path = std::env::var("EDGE_CONFIG").map_err(|_| "EDGE_CONFIG is not set".to_string())?;
    Driver::start(path)?.run()
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("dillhold: {}", text.replace(char::is_control, " "));
            ExitCode::FAILURE
        }
    }
}
