//! Overflow traffic: what a full group turns away comes in clumps, and a group that is offered it loses more than
//! Erlang's formula says of its mean. It is told by its peakedness z, variance over mean; Poisson traffic has 1.

use serde::{Deserialize, Serialize};

use crate::erlang::{check_circuits, check_loss, loss_unchecked, MAX_CIRCUITS};
use crate::InvalidInput;

/// Mean and variance of the circuits that a stream would take of a group without end.
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

    /// A stream of this mean and peakedness.
    pub fn peaked(mean: f64, peakedness: f64) -> Stream {
        Stream { mean, variance: mean * peakedness }
    }

    /// Variance over mean; 1 for nothing.
    pub fn peakedness(&self) -> f64 {
        if self.mean > 0.0 {
            self.variance / self.mean
        } else {
            1.0
        }
    }

    /// Two streams that do not depend on each other, offered together.
    pub fn combined_with(self, other: Stream) -> Stream {
        Stream { mean: self.mean + other.mean, variance: self.variance + other.variance }
    }

    fn check(&self) -> Result<(), InvalidInput> {
        crate::erlang::check_load(self.mean)?;
        let z = self.peakedness();
        (z > 0.0 && z <= 100.0).then_some(()).ok_or(InvalidInput::Peakedness(z))
    }
}

/// What so many circuits turn away of `load` erlang of Poisson traffic (Kosten 1937, Riordan in Wilkinson 1956).
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

/// Load and circuits whose overflow has this mean and variance: Wilkinson's equivalent random group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EquivalentGroup {
    /// Its load, in erlang.
    pub load: f64,
    /// Its circuits, parts of one included.
    pub circuits: f64,
}

/// Finds the equivalent random group of a peaked stream, exactly: Rapp's approximation (1964) starts it, and the
/// load is then moved until the overflow has the mean. For each load the circuits follow from the variance, for
/// v/m = 1 - m + A / (N + 1 + m - A) has one N.
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
    // The overflow's mean, over the wanted one, as the load grows along that line; it falls.
    let gap = |load: f64| (load * loss_unchecked(load, circuits(load).max(0.0)) / m).ln();
    let least = (m + 1.0) * (m + z - 1.0) / (m + z); // no circuits
    let mut high = (stream.variance + 3.0 * z * (z - 1.0)).max(least) * 1.5;
    while gap(high) > 0.0 && circuits(high) < MAX_CIRCUITS {
        high *= 1.5;
    }
    let load = crate::erlang::bracketed(least, high, gap);
    Ok(EquivalentGroup { load, circuits: circuits(load).max(0.0) })
}

/// The share of a stream that is lost on so many circuits: for peaked traffic by the equivalent random group, for
/// smooth traffic by Hayward's approximation, for Poisson traffic Erlang's formula itself.
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
    let e = equivalent_group(stream)?;
    Ok((e.load * loss_unchecked(e.load, e.circuits + circuits) / stream.mean).min(1.0))
}

/// The same by Hayward's approximation (Fredericks 1980): a stream of peakedness z on N circuits is lost as a
/// Poisson stream of 1/z of its mean on N/z circuits.
pub fn hayward(stream: Stream, circuits: f64) -> Result<f64, InvalidInput> {
    stream.check()?;
    check_circuits(circuits)?;
    Ok(hayward_unchecked(stream, circuits))
}

fn hayward_unchecked(stream: Stream, circuits: f64) -> f64 {
    let z = stream.peakedness();
    loss_unchecked(stream.mean / z, circuits / z)
}

/// What such a group turns away in its turn.
pub fn overflow_of(stream: Stream, circuits: f64) -> Result<Stream, InvalidInput> {
    if stream.peakedness() < 1.0 {
        let mean = stream.mean * loss(stream, circuits)?;
        return Ok(Stream::poisson(mean));
    }
    let e = equivalent_group(stream)?;
    overflow(e.load, e.circuits + circuits)
}

/// The fewest circuits at which a stream loses no more than this share.
pub fn circuits(stream: Stream, most_loss: f64) -> Result<u64, InvalidInput> {
    stream.check()?;
    check_loss(most_loss)?;
    if stream.mean == 0.0 {
        return Ok(0);
    }
    let z = stream.peakedness();
    if z == 1.0 {
        return crate::erlang::circuits(stream.mean, most_loss);
    }
    // By doubling and halving: each loss costs a recursion.
    let fits = |n: u64| loss(stream, n as f64).map(|b| b <= most_loss);
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
