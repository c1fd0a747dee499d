//! Erlang's loss formula (A. K. Erlang 1917; ITU-T E.520): the share of calls that find all circuits busy, for
//! Poisson arrivals. It holds for any distribution of the holding time (B. A. Sevastyanov 1957), so none is asked
//! for.
//!
//! The recursion B(n) = A B(n-1) / (n + A B(n-1)) neither overflows nor cancels: all terms are positive, and a
//! relative error is multiplied by n / (n + A B) < 1 in each step. For circuits that are not whole, Fortet's
//! integral 1/B(x, A) = ∫₀^∞ e^(-u) (1 + u/A)^x du starts the recursion between 0 and 1 circuits.

use crate::InvalidInput;

/// The highest load that is taken, in erlang.
pub const MAX_LOAD_ERLANG: f64 = 1e6;
/// The most circuits that are taken.
pub const MAX_CIRCUITS: f64 = 1e7;

/// Points of the quadrature on each side of its middle, and their distance.
const POINTS: i32 = 104;
const STEP: f64 = 1.0 / 24.0;

pub(crate) fn check_load(load: f64) -> Result<(), InvalidInput> {
    (0.0..=MAX_LOAD_ERLANG).contains(&load).then_some(()).ok_or(InvalidInput::Load(load))
}

pub(crate) fn check_loss(loss: f64) -> Result<(), InvalidInput> {
    (loss > 0.0 && loss < 1.0).then_some(()).ok_or(InvalidInput::Loss(loss))
}

pub(crate) fn check_circuits(circuits: f64) -> Result<(), InvalidInput> {
    (0.0..=MAX_CIRCUITS).contains(&circuits).then_some(()).ok_or(InvalidInput::Circuits(circuits))
}

/// 1/B between 0 and 1 circuits, by Fortet's integral. With u = exp(π/2 sinh t) the integrand falls off doubly
/// exponentially at both ends, and the trapezoidal rule converges as fast (Takahasi and Mori 1974).
fn inverse_below_one(load: f64, part: f64) -> f64 {
    let half_pi = std::f64::consts::FRAC_PI_2;
    let term = |k: i32| {
        let t = f64::from(k) * STEP;
        let u = (half_pi * t.sinh()).exp();
        // ln of the integrand, for neither factor may overflow alone.
        let ln = part * (u / load).ln_1p() - u + half_pi * t.sinh();
        ln.exp() * half_pi * t.cosh()
    };
    STEP * (-POINTS..=POINTS).map(term).filter(|v| v.is_finite()).sum::<f64>()
}

/// Goes on from the loss at `from` circuits to that at `to`, a whole number of circuits later.
fn recur(load: f64, from: f64, loss: f64, steps: u64) -> f64 {
    let (mut b, mut n) = (loss, from);
    for _ in 0..steps {
        n += 1.0;
        let ab = load * b;
        b = ab / (n + ab);
    }
    b
}

/// The loss at the part of a circuit below one that the recursion starts from.
fn start(load: f64, part: f64) -> f64 {
    if part == 0.0 {
        1.0
    } else {
        1.0 / inverse_below_one(load, part)
    }
}

/// The share of calls lost that offer `load` erlang to so many circuits. Exact to about 1e-13 of itself, down to
/// the smallest numbers that a float can hold; 0 below that.
pub fn loss(load: f64, circuits: f64) -> Result<f64, InvalidInput> {
    check_load(load)?;
    check_circuits(circuits)?;
    Ok(loss_unchecked(load, circuits))
}

pub(crate) fn loss_unchecked(load: f64, circuits: f64) -> f64 {
    if load == 0.0 {
        return if circuits == 0.0 { 1.0 } else { 0.0 };
    }
    let (whole, part) = (circuits.floor(), circuits.fract());
    recur(load, part, start(load, part), whole as u64)
}

/// The natural logarithm of the loss: for losses that no float can hold.
pub fn ln_loss(load: f64, circuits: f64) -> Result<f64, InvalidInput> {
    check_load(load)?;
    check_circuits(circuits)?;
    if load == 0.0 {
        return Ok(if circuits == 0.0 { 0.0 } else { f64::NEG_INFINITY });
    }
    let mut n = circuits.fract();
    let mut ln = start(load, n).ln();
    while n + 0.5 < circuits {
        n += 1.0;
        let ln_ab = load.ln() + ln;
        // ln(ab / (n + ab)) without forming ab where it would vanish.
        ln = ln_ab - n.ln() - (ln_ab - n.ln()).exp().ln_1p();
    }
    Ok(ln)
}

/// The fewest circuits at which `load` erlang lose no more than this share.
pub fn circuits(load: f64, most_loss: f64) -> Result<u64, InvalidInput> {
    check_load(load)?;
    check_loss(most_loss)?;
    if load == 0.0 {
        return Ok(0); // nothing is offered, so nothing is lost
    }
    let (mut b, mut n) = (1.0, 0u64);
    while b > most_loss {
        n += 1;
        let ab = load * b;
        b = ab / (n as f64 + ab);
    }
    Ok(n)
}

/// The circuits, parts of one included, at which `load` erlang lose just this share.
pub fn circuits_real(load: f64, just_loss: f64) -> Result<f64, InvalidInput> {
    let most = circuits(load, just_loss)? as f64;
    if most == 0.0 || load == 0.0 {
        return Ok(0.0);
    }
    // The loss falls steadily with the circuits: between the last whole number above it and this one.
    let ln = just_loss.ln();
    let gap = |n: f64| loss_unchecked(load, n).ln() - ln;
    Ok(bracketed(most - 1.0, most, gap))
}

/// The load that loses just this share on so many circuits.
pub fn load(circuits: f64, just_loss: f64) -> Result<f64, InvalidInput> {
    check_circuits(circuits)?;
    check_loss(just_loss)?;
    if circuits == 0.0 {
        return Ok(0.0); // whatever is offered to no circuits is lost; only nothing loses nothing
    }
    // More than A - N of A erlang cannot be carried, so B >= 1 - N/A bounds the load from above.
    let (mut low, mut high) = (0.0, circuits / (1.0 - just_loss));
    let mut a = (circuits * just_loss.sqrt()).clamp(high * 1e-9, high);
    for _ in 0..200 {
        let b = loss_unchecked(a, circuits);
        if b > just_loss {
            high = a;
        } else {
            low = a;
        }
        // Newton on ln B over ln A, which is nearly straight: d ln B / d ln A = N - A + A B.
        let slope = circuits - a + a * b;
        let next = a * ((just_loss / b).ln() / slope).exp();
        let next = if next > low && next < high { next } else { 0.5 * (low + high) };
        if (next - a).abs() <= 1e-15 * a || high - low <= f64::EPSILON * high {
            return Ok(next);
        }
        a = next;
    }
    Ok(a)
}

/// The zero of a falling function between two points, by bisection guarded regula falsi (Illinois).
pub(crate) fn bracketed(low: f64, high: f64, of: impl Fn(f64) -> f64) -> f64 {
    let (mut a, mut b) = (low, high);
    let (mut fa, mut fb) = (of(a), of(b));
    if fa == 0.0 || !(fa > 0.0 && fb < 0.0) {
        return if fa.abs() <= fb.abs() { a } else { b };
    }
    let mut side = 0;
    for _ in 0..200 {
        let middle = (fa * b - fb * a) / (fa - fb);
        let m = if middle > a && middle < b { middle } else { 0.5 * (a + b) };
        let fm = of(m);
        if fm == 0.0 || b - a <= 1e-14 * b.abs().max(1.0) {
            return m;
        }
        if fm > 0.0 {
            (a, fa) = (m, fm);
            if side == 1 {
                fb *= 0.5;
            }
            side = 1;
        } else {
            (b, fb) = (m, fm);
            if side == -1 {
                fa *= 0.5;
            }
            side = -1;
        }
    }
    0.5 * (a + b)
}

/// How much load one more circuit would carry: Moe's improvement function F(N) = A (B(N) - B(N+1)).
pub fn improvement(load: f64, circuits: f64) -> Result<f64, InvalidInput> {
    let b = loss(load, circuits)?;
    if load == 0.0 {
        return Ok(0.0);
    }
    // B(N) - B(N+1) = B (N+1 - A + A B) / (N+1 + A B): the difference is formed before anything cancels.
    let ab = load * b;
    Ok(ab * (circuits + 1.0 - load + ab) / (circuits + 1.0 + ab))
}
