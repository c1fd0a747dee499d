//! `dillholdctl erlang`: Erlang's loss formula and its inverse. The last line of the output is the plain number.

use std::process::ExitCode;

use clap::{ArgGroup, Args};
use trunks::overflow::{self, Stream};

/// Arguments of `erlang`.
#[derive(Args)]
#[command(group(ArgGroup::new("wanted").required(true).args(["loss", "circuits"])))]
pub struct Erlang {
    /// Offered load, in erlang.
    #[arg(long)]
    offered: f64,
    /// Print the smallest number of circuits that lose no more than this share of the calls.
    #[arg(long)]
    loss: Option<f64>,
    /// Print the share of the calls that is lost on this number of circuits; fractions are allowed.
    #[arg(long)]
    circuits: Option<f64>,
    /// Peakedness of the offered traffic (variance over mean): 1 for Poisson traffic, more for overflow.
    #[arg(long, default_value_t = 1.0)]
    peakedness: f64,
}

/// Runs the command.
pub fn run(arguments: &Erlang) -> Result<ExitCode, String> {
    // Checked here because a stream holds its mean and variance, which do not give the peakedness of a load of 0.
    if !(arguments.peakedness > 0.0 && arguments.peakedness <= 100.0) {
        return Err(trunks::InvalidInput::Peakedness(arguments.peakedness).to_string());
    }
    let stream = Stream::peaked(arguments.offered, arguments.peakedness);
    match (arguments.loss, arguments.circuits) {
        (Some(loss), _) => {
            let circuits = overflow::circuits(stream, loss).map_err(|e| e.to_string())?;
            println!("circuits at which {} E lose at most {loss}:", arguments.offered);
            println!("{circuits}");
        }
        (None, Some(circuits)) => {
            let loss = overflow::loss(stream, circuits).map_err(|e| e.to_string())?;
            println!("share of {} E lost on {circuits} circuits:", arguments.offered);
            println!("{loss:.15e}");
        }
        (None, None) => return Err("--loss or --circuits is needed".into()),
    }
    Ok(ExitCode::SUCCESS)
}
