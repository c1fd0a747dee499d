//! Overflow traffic: the calls rejected by a full group arrive in bursts, and a group that is offered them loses more
//! than Erlang's formula gives for their mean. Such traffic is described by its mean and its peakedness z, the ratio
//! of variance to mean, which is 1 for Poisson traffic.

use serde::{Deserialize, Serialize};

use crate::erlang::{check_circuits, check_loss, loss_unchecked, MAX_CIRCUITS};
use crate::InvalidInput;

/// A traffic stream, described by the mean and variance of the circuits that it would occupy in an infinite group.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stream {
    /// Mean, in erlang.
    pub mean: f64,
    /// Variance.
    pub variance: f64,
}

impl Stream {
    /// Poisson traffic.
    pub fn poisson(load: f64) -> Stream {
        Stream { mean: load, variance: load }
    }

    /// Creates a stream with the given mean and peakedness.
    pub fn peaked(mean: f64, peakedness: f64) -> Stream {
        Stream { mean, variance: mean * peakedness }
    }

    /// Ratio of variance to mean; 1 for an empty stream.
    pub fn peakedness(&self) -> f64 {
        if self.mean > 0.0 {
            self.variance / self.mean
        } else {
            1.0
        }
    }

    /// The sum of two independent streams.
    pub fn combined_with(self, other: Stream) -> Stream {
        Stream { mean: self.mean + other.mean, variance: self.variance + other.variance }
    }

    fn check(&self) -> Result<(), InvalidInput> {
        crate::erlang::check_load(self.mean)?;
        let z = self.peakedness();
        (z > 0.0 && z <= 100.0).then_some(()).ok_or(InvalidInput::Peakedness(z))
    }
}

/// The overflow of `circuits` that are offered `load` erlang of Poisson traffic (Kosten 1937, Riordan in
/// Wilkinson 1956).
pub fn overflow(load: f64, circuits: f64) -> Result<Stream, InvalidInput> {
    crate::erlang::check_load(load)?;
    check_circuits(circuits)?;
    Ok(overflow_unchecked(load, circuits))
}

fn overflow_unchecked(load: f64, circuits: f64) -> Stream {
    let mean = load * loss_unchecked(load, circuits);
    let variance = mean * (1.0 - mean + load / (circuits + 1.0 + mean - load));
    Stream { mean, variance }
}

/// Wilkinson's equivalent random group: the Poisson load and the circuits whose overflow has the mean and variance of
/// a stream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EquivalentGroup {
    /// Load, in erlang.
    pub load: f64,
    /// Circuits, fractional.
    pub circuits: f64,
}

/// Finds the exact equivalent random group of a peaked stream. The search for the load whose overflow has the mean m
/// starts from Rapp's approximation (1964). The circuits N for each load A follow from the variance v, because
/// v/m = 1 - m + A / (N + 1 + m - A) has one solution N.
pub fn equivalent_group(stream: Stream) -> Result<EquivalentGroup, InvalidInput> {
    stream.check()?;
    let (m, z) = (stream.mean, stream.peakedness());
    if m == 0.0 || z <= 1.0 {
        return if z < 1.0 {
            Err(InvalidInput::Peakedness(z))
        } else {
            Ok(EquivalentGroup { load: m, circuits: 0.0 })
        };
    }
    let circuits = |load: f64| load * (m + z) / (m + z - 1.0) - m - 1.0;
    // Logarithm of the overflow's mean over the wanted mean; decreases with the load.
    let excess = |load: f64| (load * loss_unchecked(load, circuits(load).max(0.0)) / m).ln();
    let min_load = (m + 1.0) * (m + z - 1.0) / (m + z); // at 0 circuits
    let mut high = (stream.variance + 3.0 * z * (z - 1.0)).max(min_load) * 1.5;
    while excess(high) > 0.0 && circuits(high) < MAX_CIRCUITS {
        high *= 1.5;
    }
    let load = crate::erlang::find_root(min_load, high, excess);
    Ok(EquivalentGroup { load, circuits: circuits(load).max(0.0) })
}

/// The share of a stream that is lost on `circuits`: by the equivalent random group for peaked traffic, by Hayward's
/// approximation for smooth traffic (z < 1), and by Erlang's formula for Poisson traffic.
pub fn loss(stream: Stream, circuits: f64) -> Result<f64, InvalidInput> {
    stream.check()?;
    check_circuits(circuits)?;
    if stream.mean == 0.0 {
        return Ok(0.0);
    }
    let z = stream.peakedness();
    if z == 1.0 {
        return Ok(loss_unchecked(stream.mean, circuits));
    }
    if z < 1.0 {
        return Ok(hayward_unchecked(stream, circuits));
    }
    let equivalent = equivalent_group(stream)?;
    Ok((equivalent.load * loss_unchecked(equivalent.load, equivalent.circuits + circuits) / stream.mean)
        .min(1.0))
}

/// The lost share of a stream by Hayward's approximation (Fredericks 1980): the loss of a stream of peakedness z on N
/// circuits is that of a Poisson stream with 1/z of its mean on N/z circuits.
pub fn hayward(stream: Stream, circuits: f64) -> Result<f64, InvalidInput> {
    stream.check()?;
    check_circuits(circuits)?;
    Ok(hayward_unchecked(stream, circuits))
}

fn hayward_unchecked(stream: Stream, circuits: f64) -> f64 {
    let z = stream.peakedness();
    loss_unchecked(stream.mean / z, circuits / z)
}

/// The overflow of a group that is offered a stream.
pub fn overflow_of_stream(stream: Stream, circuits: f64) -> Result<Stream, InvalidInput> {
    if stream.peakedness() < 1.0 {
        let mean = stream.mean * loss(stream, circuits)?;
        return Ok(Stream::poisson(mean));
    }
    let equivalent = equivalent_group(stream)?;
    overflow(equivalent.load, equivalent.circuits + circuits)
}

/// The smallest number of circuits at which the loss of a stream is at most `max_loss`.
pub fn circuits(stream: Stream, max_loss: f64) -> Result<u64, InvalidInput> {
    stream.check()?;
    check_loss(max_loss)?;
    if stream.mean == 0.0 {
        return Ok(0);
    }
    let z = stream.peakedness();
    if z == 1.0 {
        return crate::erlang::circuits(stream.mean, max_loss);
    }
    // Doubling, then binary search: each evaluation of the loss costs a whole recursion.
    let fits = |n: u64| loss(stream, n as f64).map(|b| b <= max_loss);
    let (mut low, mut high) = (0, (stream.mean.ceil() as u64).max(1));
    while !fits(high)? {
        (low, high) = (high, high * 2);
    }
    if fits(low)? {
        return Ok(low);
    }
    while high - low > 1 {
        let middle = low + (high - low) / 2;
        if fits(middle)? {
            high = middle;
        } else {
            low = middle;
        }
    }
    Ok(high)
}
