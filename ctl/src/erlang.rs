//! `dillholdctl erlang`: Erlang's loss formula and its inverse, one figure on the last line.

use std::process::ExitCode;

use clap::{ArgGroup, Args};
use trunks::overflow::{self, Stream};

/// What `erlang` is asked.
#[derive(Args)]
#[command(group(ArgGroup::new("wanted").required(true).args(["loss", "circuits"])))]
pub struct Erlang {
    /// Offered load, in erlang.
    #[arg(long)]
    offered: f64,
    /// Tell the fewest circuits that lose no more than this share.
    #[arg(long)]
    loss: Option<f64>,
    /// Tell the share lost on so many circuits, parts of one included.
    #[arg(long)]
    circuits: Option<f64>,
    /// Variance over mean of the offered traffic; 1 is Poisson, overflow has more.
    #[arg(long, default_value_t = 1.0)]
    peakedness: f64,
}

/// Runs the command.
pub fn run(asked: &Erlang) -> Result<ExitCode, String> {
    // What is not peaked by just 1 is told by its mean and variance; a load of 0 has no peakedness.
    if !(asked.peakedness > 0.0 && asked.peakedness <= 100.0) {
        return Err(trunks::BadFigure::Peakedness(asked.peakedness).to_string());
    }
    let stream = Stream::peaked(asked.offered, asked.peakedness);
    match (asked.loss, asked.circuits) {
        (Some(loss), _) => {
            let circuits = overflow::circuits(stream, loss).map_err(|e| e.to_string())?;
            println!("circuits at which {} E lose at most {loss}:", asked.offered);
            println!("{circuits}");
        }
        (None, Some(circuits)) => {
            let loss = overflow::loss(stream, circuits).map_err(|e| e.to_string())?;
            println!("share of {} E lost on {circuits} circuits:", asked.offered);
            println!("{loss:.15e}");
        }
        (None, None) => return Err("--loss or --circuits is needed".into()),
    }
    Ok(ExitCode::SUCCESS)
}
