//! Calls of several widths on one group: Kaufman's and Roberts' recursion (1981), with trunk reservation as
//! Roberts (1983) approximates it. Without reservation it is exact, and like Erlang's formula it holds for any
//! distribution of the holding times.

use serde::{Deserialize, Serialize};

use crate::erlang::{check_circuits, check_load};
use crate::InvalidInput;

/// The recursion is scaled down when it passes this, so that it never overflows.
const SCALE: f64 = 1e250;

/// One class of call on a group.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Its calls offered, in erlang (calls a second times mean holding time).
    pub load: f64,
    /// Circuits that one call takes.
    pub width: u32,
    /// Circuits that have to stay free beside those that it takes, or it is turned away.
    pub reserve: u32,
}

/// How a group with so many circuits is used.
#[derive(Clone, Debug, PartialEq)]
pub struct Usage {
    /// Share of the time that just so many circuits are in use.
    pub in_use: Vec<f64>,
    /// The share of each class that is turned away.
    pub loss: Vec<f64>,
}

/// Reckons how a group is used.
pub fn usage(classes: &[Class], circuits: u32) -> Result<Usage, InvalidInput> {
    check_circuits(f64::from(circuits))?;
    for class in classes {
        check_load(class.load)?;
        if class.width == 0 {
            return Err(InvalidInput::Width);
        }
    }
    let size = circuits as usize;
    let mut q = vec![0.0; size + 1];
    q[0] = 1.0;
    for n in 1..=size {
        let mut sum = 0.0;
        for class in classes {
            let width = class.width as usize;
            // A call that brings the group to n circuits in use must leave its reserve free.
            if width <= n && n + class.reserve as usize <= size {
                sum += class.load * class.width as f64 * q[n - width];
            }
        }
        q[n] = sum / n as f64;
        if q[n] > SCALE {
            q[..=n].iter_mut().for_each(|v| *v /= SCALE);
        }
    }
    let total: f64 = q.iter().sum();
    q.iter_mut().for_each(|v| *v /= total);
    let loss = classes.iter().map(|class| {
        let needs = class.width as usize + class.reserve as usize;
        if needs > size {
            return 1.0;
        }
        // From the small end, so that little is not lost in much.
        q[size + 1 - needs..].iter().rev().sum::<f64>().min(1.0)
    });
    Ok(Usage { loss: loss.collect(), in_use: q })
}

/// The fewest circuits at which no class loses more than its share, up to `most`; `None`: even that is too few.
pub fn circuits(classes: &[Class], most_loss: &[f64], most: u32) -> Result<Option<u32>, InvalidInput> {
    for loss in most_loss {
        crate::erlang::check_loss(*loss)?;
    }
    if most_loss.len() != classes.len() {
        return Err(InvalidInput::Unknown("class", most_loss.len()));
    }
    let fits = |n: u32| -> Result<bool, InvalidInput> {
        let usage = usage(classes, n)?;
        Ok(usage.loss.iter().zip(most_loss).zip(classes).all(|((b, most), c)| c.load == 0.0 || b <= most))
    };
    // The loss of a wide class need not fall with every single circuit, so the last that does not fit is sought
    // downwards from one that fits, over the widest call and its reserve.
    let step = classes.iter().map(|c| c.width + c.reserve).max().unwrap_or(1).max(1);
    let mean: f64 = classes.iter().map(|c| c.load * f64::from(c.width)).sum();
    let mut high = (mean.ceil() as u32).max(step).min(most);
    while !fits(high)? {
        if high == most {
            return Ok(None);
        }
        high = high.saturating_mul(2).min(most);
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
