//! Calls of several widths on one group (multirate traffic): the Kaufman-Roberts recursion (1981), with Roberts'
//! approximation for trunk reservation (1983). Without reservation the recursion is exact and, like Erlang's formula,
//! holds for any distribution of the holding times.

use serde::{Deserialize, Serialize};

use crate::erlang::{check_circuits, check_load};
use crate::InvalidInput;

/// The recursion is scaled down by this factor when a term exceeds it, so that it never overflows.
const RESCALE_LIMIT: f64 = 1e250;

/// One class of call on a group.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Offered calls, in erlang (calls per second times mean holding time).
    pub load: f64,
    /// Circuits that one call takes.
    pub width: u32,
    /// Trunk reservation: a call is rejected unless this many circuits stay free beside those that it takes.
    pub reserve: u32,
}

/// The state distribution and losses of a group.
#[derive(Clone, Debug, PartialEq)]
pub struct Usage {
    /// Probability that exactly n circuits are in use, indexed by n.
    pub in_use: Vec<f64>,
    /// The share of lost calls, by class.
    pub loss: Vec<f64>,
}

/// Computes the state distribution of a group and the loss of each class.
pub fn usage(classes: &[Class], circuits: u32) -> Result<Usage, InvalidInput> {
    check_circuits(f64::from(circuits))?;
    for class in classes {
        check_load(class.load)?;
        if class.width == 0 {
            return Err(InvalidInput::Width);
        }
    }
    let size = circuits as usize;
    let mut weights = vec![0.0; size + 1];
    weights[0] = 1.0;
    for n in 1..=size {
        let mut sum = 0.0;
        for class in classes {
            let width = class.width as usize;
            // A call that brings the group to n circuits in use must leave its reserve free.
            if width <= n && n + class.reserve as usize <= size {
                sum += class.load * class.width as f64 * weights[n - width];
            }
        }
        weights[n] = sum / n as f64;
        if weights[n] > RESCALE_LIMIT {
            weights[..=n].iter_mut().for_each(|v| *v /= RESCALE_LIMIT);
        }
    }
    let total: f64 = weights.iter().sum();
    weights.iter_mut().for_each(|v| *v /= total);
    let loss = classes.iter().map(|class| {
        let circuits_needed = class.width as usize + class.reserve as usize;
        if circuits_needed > size {
            return 1.0;
        }
        // Summed from the largest state down, where the terms are smallest, to keep their precision.
        weights[size + 1 - circuits_needed..].iter().rev().sum::<f64>().min(1.0)
    });
    Ok(Usage { loss: loss.collect(), in_use: weights })
}

/// The smallest number of circuits at which the loss of each class is at most its `max_loss`; `None` if that is above
/// `max_circuits`.
pub fn circuits(classes: &[Class], max_loss: &[f64], max_circuits: u32) -> Result<Option<u32>, InvalidInput> {
    for loss in max_loss {
        crate::erlang::check_loss(*loss)?;
    }
    if max_loss.len() != classes.len() {
        return Err(InvalidInput::Unknown("class", max_loss.len()));
    }
    let fits = |n: u32| -> Result<bool, InvalidInput> {
        let usage = usage(classes, n)?;
        Ok(usage
            .loss
            .iter()
            .zip(max_loss)
            .zip(classes)
            .all(|((loss, limit), class)| class.load == 0.0 || loss <= limit))
    };
    // The loss of a wide class need not decrease with every single circuit. The binary search therefore stops within
    // the width and reserve of the widest call, and the rest is searched downwards one circuit at a time.
    let step = classes.iter().map(|c| c.width + c.reserve).max().unwrap_or(1).max(1);
    let mean: f64 = classes.iter().map(|c| c.load * f64::from(c.width)).sum();
    let mut high = (mean.ceil() as u32).max(step).min(max_circuits);
    while !fits(high)? {
        if high == max_circuits {
            return Ok(None);
        }
        high = high.saturating_mul(2).min(max_circuits);
    }
    let mut low = 0;
    while high - low > step {
        let middle = low + (high - low) / 2;
        if fits(middle)? {
            high = middle;
        } else {
            low = middle;
        }
    }
    while high > 0 && fits(high - 1)? {
        high -= 1;
    }
    Ok(Some(high))
}
