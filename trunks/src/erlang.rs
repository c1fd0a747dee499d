//! Erlang's loss formula B(N, A) (A. K. Erlang 1917; ITU-T E.520): the share of calls that find all N circuits busy
//! when A erlang of Poisson traffic are offered. It holds for any distribution of the holding time
//! (B. A. Sevastyanov 1957), so none is a parameter.
//!
//! The recursion B(n) = A B(n-1) / (n + A B(n-1)) has neither overflow nor cancellation: all terms are positive, and
//! each step multiplies the relative error by n / (n + A B) < 1. For a fractional number of circuits, the recursion
//! starts between 0 and 1 circuits from Fortet's integral 1/B(x, A) = ∫₀^∞ e^(-u) (1 + u/A)^x du.

use crate::InvalidInput;

/// Maximum load, in erlang.
pub const MAX_LOAD_ERLANG: f64 = 1e6;
/// Maximum number of circuits.
pub const MAX_CIRCUITS: f64 = 1e7;

/// Quadrature points on each side of the centre.
const QUADRATURE_POINTS: i32 = 104;
/// Distance between quadrature points.
const QUADRATURE_STEP: f64 = 1.0 / 24.0;

pub(crate) fn check_load(load: f64) -> Result<(), InvalidInput> {
    (0.0..=MAX_LOAD_ERLANG).contains(&load).then_some(()).ok_or(InvalidInput::Load(load))
}

pub(crate) fn check_loss(loss: f64) -> Result<(), InvalidInput> {
    (loss > 0.0 && loss < 1.0).then_some(()).ok_or(InvalidInput::Loss(loss))
}

pub(crate) fn check_circuits(circuits: f64) -> Result<(), InvalidInput> {
    (0.0..=MAX_CIRCUITS).contains(&circuits).then_some(()).ok_or(InvalidInput::Circuits(circuits))
}

/// 1/B between 0 and 1 circuits, by Fortet's integral. With the substitution u = exp(π/2 sinh t) the integrand decays
/// double-exponentially at both ends, so the trapezoidal rule converges fast (Takahasi and Mori 1974).
fn inverse_below_one(load: f64, fraction: f64) -> f64 {
    let half_pi = std::f64::consts::FRAC_PI_2;
    let term = |k: i32| {
        let t = f64::from(k) * QUADRATURE_STEP;
        let u = (half_pi * t.sinh()).exp();
        // The integrand is formed as a logarithm because either factor alone may overflow.
        let ln_integrand = fraction * (u / load).ln_1p() - u + half_pi * t.sinh();
        ln_integrand.exp() * half_pi * t.cosh()
    };
    QUADRATURE_STEP
        * (-QUADRATURE_POINTS..=QUADRATURE_POINTS).map(term).filter(|v| v.is_finite()).sum::<f64>()
}

/// Continues the recursion from the loss at `circuits` for `steps` further circuits.
fn recur(load: f64, circuits: f64, loss: f64, steps: u64) -> f64 {
    let (mut b, mut n) = (loss, circuits);
    for _ in 0..steps {
        n += 1.0;
        let ab = load * b;
        b = ab / (n + ab);
    }
    b
}

/// The loss at the fraction of a circuit from which the recursion starts.
fn initial_loss(load: f64, fraction: f64) -> f64 {
    if fraction == 0.0 {
        1.0
    } else {
        1.0 / inverse_below_one(load, fraction)
    }
}

/// Erlang's loss formula: the share of calls lost when `load` erlang are offered to `circuits`. The relative error is
/// about 1e-13 down to the smallest positive `f64`; below that the result is 0.
pub fn loss(load: f64, circuits: f64) -> Result<f64, InvalidInput> {
    check_load(load)?;
    check_circuits(circuits)?;
    Ok(loss_unchecked(load, circuits))
}

pub(crate) fn loss_unchecked(load: f64, circuits: f64) -> f64 {
    if load == 0.0 {
        return if circuits == 0.0 { 1.0 } else { 0.0 };
    }
    let (whole, fraction) = (circuits.floor(), circuits.fract());
    recur(load, fraction, initial_loss(load, fraction), whole as u64)
}

/// The natural logarithm of the loss, for losses below the smallest positive `f64`.
pub fn ln_loss(load: f64, circuits: f64) -> Result<f64, InvalidInput> {
    check_load(load)?;
    check_circuits(circuits)?;
    if load == 0.0 {
        return Ok(if circuits == 0.0 { 0.0 } else { f64::NEG_INFINITY });
    }
    let mut n = circuits.fract();
    let mut ln_loss = initial_loss(load, n).ln();
    while n + 0.5 < circuits {
        n += 1.0;
        let ln_ab = load.ln() + ln_loss;
        // ln(ab / (n + ab)) without forming ab, which may underflow.
        ln_loss = ln_ab - n.ln() - (ln_ab - n.ln()).exp().ln_1p();
    }
    Ok(ln_loss)
}

/// The smallest number of circuits at which the loss of `load` erlang is at most `max_loss`.
pub fn circuits(load: f64, max_loss: f64) -> Result<u64, InvalidInput> {
    check_load(load)?;
    check_loss(max_loss)?;
    if load == 0.0 {
        return Ok(0); // no calls are offered, so none are lost
    }
    let (mut b, mut n) = (1.0, 0u64);
    while b > max_loss {
        n += 1;
        let ab = load * b;
        b = ab / (n as f64 + ab);
    }
    Ok(n)
}

/// The fractional number of circuits at which the loss of `load` erlang equals `target_loss`.
pub fn fractional_circuits(load: f64, target_loss: f64) -> Result<f64, InvalidInput> {
    let needed = circuits(load, target_loss)? as f64;
    if needed == 0.0 || load == 0.0 {
        return Ok(0.0);
    }
    // The loss decreases monotonically with the circuits, so the solution lies in the last whole step.
    let ln_target = target_loss.ln();
    let excess = |n: f64| loss_unchecked(load, n).ln() - ln_target;
    Ok(find_root(needed - 1.0, needed, excess))
}

/// The load whose loss on `circuits` equals `target_loss`.
pub fn load(circuits: f64, target_loss: f64) -> Result<f64, InvalidInput> {
    check_circuits(circuits)?;
    check_loss(target_loss)?;
    if circuits == 0.0 {
        return Ok(0.0); // without circuits, every positive load is lost entirely
    }
    // At least A - N of A erlang are lost, so B >= 1 - N/A bounds the load from above.
    let (mut low, mut high) = (0.0, circuits / (1.0 - target_loss));
    let mut a = (circuits * target_loss.sqrt()).clamp(high * 1e-9, high);
    for _ in 0..200 {
        let b = loss_unchecked(a, circuits);
        if b > target_loss {
            high = a;
        } else {
            low = a;
        }
        // Newton's method on ln B over ln A, which is nearly linear: d ln B / d ln A = N - A + A B.
        let slope = circuits - a + a * b;
        let next = a * ((target_loss / b).ln() / slope).exp();
        let next = if next > low && next < high { next } else { 0.5 * (low + high) };
        if (next - a).abs() <= 1e-15 * a || high - low <= f64::EPSILON * high {
            return Ok(next);
        }
        a = next;
    }
    Ok(a)
}

/// The root of a decreasing function between two points, by regula falsi (Illinois variant) with bisection as fallback.
pub(crate) fn find_root(low: f64, high: f64, function: impl Fn(f64) -> f64) -> f64 {
    let (mut a, mut b) = (low, high);
    let (mut fa, mut fb) = (function(a), function(b));
    if fa == 0.0 || !(fa > 0.0 && fb < 0.0) {
        return if fa.abs() <= fb.abs() { a } else { b };
    }
    // Which end moved last: 1 for the left end, -1 for the right end.
    let mut last_moved = 0;
    for _ in 0..200 {
        let estimate = (fa * b - fb * a) / (fa - fb);
        let m = if estimate > a && estimate < b { estimate } else { 0.5 * (a + b) };
        let fm = function(m);
        if fm == 0.0 || b - a <= 1e-14 * b.abs().max(1.0) {
            return m;
        }
        if fm > 0.0 {
            (a, fa) = (m, fm);
            if last_moved == 1 {
                fb *= 0.5;
            }
            last_moved = 1;
        } else {
            (b, fb) = (m, fm);
            if last_moved == -1 {
                fa *= 0.5;
            }
            last_moved = -1;
        }
    }
    0.5 * (a + b)
}

/// The additional load that one more circuit carries: Moe's improvement function F(N) = A (B(N) - B(N+1)).
pub fn improvement(load: f64, circuits: f64) -> Result<f64, InvalidInput> {
    let b = loss(load, circuits)?;
    if load == 0.0 {
        return Ok(0.0);
    }
    // B(N) - B(N+1) = B (N+1 - A + A B) / (N+1 + A B): this form avoids cancellation between the two losses.
    let ab = load * b;
    Ok(ab * (circuits + 1.0 - load + ab) / (circuits + 1.0 + ab))
}
