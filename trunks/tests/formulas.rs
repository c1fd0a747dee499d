//! Checks the loss formulas against exact sums in rational arithmetic, published tables and each other.

use num_bigint::BigInt;
use num_rational::BigRational;
use num_traits::{One, ToPrimitive, Zero};
use proptest::prelude::*;
use trunks::overflow::Stream;
use trunks::widths::{usage, Class};
use trunks::{erlang, overflow, widths, InvalidInput};

fn ratio(a: i64, b: i64) -> BigRational {
    BigRational::new(BigInt::from(a), BigInt::from(b))
}

/// Converts a ratio to `f64`, even if its numerator or denominator exceeds the range of `f64`.
fn to_float(r: &BigRational) -> f64 {
    if r.is_zero() {
        return 0.0;
    }
    let bits = |v: &BigInt| v.bits() as i64;
    let (n, d) = (r.numer(), r.denom());
    let (shift_n, shift_d) = ((bits(n) - 120).max(0), (bits(d) - 120).max(0));
    let (n, d) = (n >> shift_n as usize, d >> shift_d as usize);
    n.to_f64().unwrap() / d.to_f64().unwrap() * 2f64.powi((shift_n - shift_d) as i32)
}

fn is_close(a: f64, b: f64, relative: f64) -> bool {
    (a - b).abs() <= relative * b.abs()
}

/// Losses at 0 to `max_circuits` circuits, by Erlang's sum.
fn exact_losses(load: &BigRational, max_circuits: usize) -> Vec<BigRational> {
    let (mut term, mut sum, mut losses) = (BigRational::one(), BigRational::zero(), Vec::new());
    for n in 0..=max_circuits {
        if n > 0 {
            term = term * load / ratio(n as i64, 1);
        }
        sum += &term;
        losses.push(&term / &sum);
    }
    losses
}

#[test]
fn loss_agrees_with_exact_sums() {
    let (mut points, mut max_error) = (0, 0.0f64);
    for (p, q) in (1..=40).map(|k| (k * k, 16)).chain([(1, 1000), (7, 3), (200, 1), (1000, 7)]) {
        let losses = exact_losses(&ratio(p, q), 60);
        let load = p as f64 / q as f64;
        for (n, loss) in losses.iter().enumerate() {
            let (computed, exact) = (erlang::loss(load, n as f64).unwrap(), to_float(loss));
            max_error = max_error.max((computed / exact - 1.0).abs());
            let ln_loss = erlang::ln_loss(load, n as f64).unwrap();
            assert!((ln_loss - exact.ln()).abs() <= 1e-11 * exact.ln().abs().max(1.0), "{load} on {n}");
            points += 1;
        }
    }
    assert!(points >= 2_000 && max_error < 1e-12, "{points} points, maximum relative error {max_error:e}");
}

#[test]
fn circuits_is_minimal_and_load_inverts_loss() {
    let mut points = 0;
    for k in 1..=30 {
        let losses = exact_losses(&ratio(k * k, 9), 150);
        let load = (k * k) as f64 / 9.0;
        for (p, q) in [(1, 2), (1, 10), (1, 20), (1, 100), (1, 1000), (1, 1_000_000)] {
            let needed = losses.iter().position(|b| *b <= ratio(p, q)).unwrap() as u64;
            let loss = p as f64 / q as f64;
            assert_eq!(erlang::circuits(load, loss), Ok(needed), "{load} E at {loss}");
            let real = erlang::fractional_circuits(load, loss).unwrap();
            assert!(real <= needed as f64 && real > needed as f64 - 1.0);
            assert!(is_close(erlang::loss(load, real).unwrap(), loss, 1e-11), "{load} on {real}");
            let inverted = erlang::load(real, loss).unwrap();
            assert!(is_close(inverted, load, 1e-11), "{load} E inverted to {inverted}");
            points += 1;
        }
    }
    assert_eq!(points, 180);
}

/// Published Erlang B tables, to their printed digits.
#[test]
fn load_agrees_with_published_tables() {
    for (circuits, loss, load, digits) in [
        (1.0, 0.01, 0.0101, 4),
        (2.0, 0.01, 0.1526, 4),
        (3.0, 0.01, 0.4555, 4),
        (5.0, 0.01, 1.3608, 4),
        (10.0, 0.01, 4.4612, 4),
        (20.0, 0.01, 12.031, 3),
        (30.0, 0.01, 20.337, 3),
        (50.0, 0.01, 37.901, 3),
        (100.0, 0.01, 84.064, 3),
        (10.0, 0.001, 3.0920, 4),
        (20.0, 0.001, 9.4115, 4),
        (10.0, 0.05, 6.2157, 4),
        (20.0, 0.05, 15.249, 3),
    ] {
        let computed = erlang::load(circuits, loss).unwrap();
        let last_digit = 10f64.powi(-digits);
        assert!(
            (computed - load).abs() <= 0.51 * last_digit,
            "{circuits} circuits at {loss}: {computed}, printed {load}"
        );
    }
}

#[test]
fn loss_handles_range_limits_and_rejects_invalid_input() {
    assert_eq!(erlang::loss(0.0, 0.0), Ok(1.0));
    assert_eq!(erlang::loss(0.0, 5.0), Ok(0.0));
    assert_eq!(erlang::loss(7.0, 0.0), Ok(1.0));
    assert_eq!(erlang::circuits(0.0, 0.01), Ok(0));
    let needed = erlang::circuits(100_000.0, 0.01).unwrap() as f64;
    let (at, below) = (erlang::loss(1e5, needed).unwrap(), erlang::loss(1e5, needed - 1.0).unwrap());
    assert!(at <= 0.01 && below > 0.01);
    // Under heavy load, the loss is slightly above the lower bound 1 - N/A (J. M. Karlsson's bound).
    let heavy = erlang::loss(1e5, 5e4).unwrap();
    assert!(heavy > 0.5 && heavy < 0.50002, "{heavy}");
    let tiny_ln_loss = erlang::ln_loss(10.0, 400.0).unwrap();
    assert_eq!(erlang::loss(10.0, 400.0), Ok(0.0), "the loss is below the smallest positive f64");
    // ln of A^N/N! e^-A, which equals the loss to a relative 1e-300.
    let ln_poisson = 400.0 * 10f64.ln() - (1..=400).map(|k| f64::from(k).ln()).sum::<f64>() - 10.0;
    assert!((tiny_ln_loss - ln_poisson).abs() < 1e-9 * ln_poisson.abs());
    assert!(matches!(erlang::loss(-1.0, 3.0), Err(InvalidInput::Load(_))));
    assert!(matches!(erlang::loss(f64::NAN, 3.0), Err(InvalidInput::Load(_))));
    assert!(matches!(erlang::circuits(1.0, 1.0), Err(InvalidInput::Loss(_))));
    assert!(matches!(erlang::loss(1.0, f64::INFINITY), Err(InvalidInput::Circuits(_))));
}

#[test]
fn fractional_circuits_interpolate_between_whole_ones() {
    for load in [0.01, 0.5, 3.0, 40.0, 2_000.0] {
        for whole in [0.0, 1.0, 7.0] {
            let at = |n: f64| erlang::loss(load, n).unwrap();
            assert!(
                is_close(at(whole + 1e-9), at(whole), 1e-6)
                    && is_close(at(whole + 1.0 - 1e-9), at(whole + 1.0), 1e-6)
            );
            // B(x) satisfies the recursion for any x.
            let (x, b) = (whole + 0.37, at(whole + 0.37));
            assert!(is_close(at(x + 1.0), load * b / (x + 1.0 + load * b), 1e-13));
            assert!(at(whole) > b && b > at(whole + 1.0));
        }
    }
    // ∫ e^-u (1 + u/A)^(1/2) du for A = 1 is 1 + e √π/2 erfc(1).
    let exact =
        1.0 / (1.0 + std::f64::consts::E * std::f64::consts::PI.sqrt() / 2.0 * 0.157_299_207_050_285_13);
    assert!(is_close(erlang::loss(1.0, 0.5).unwrap(), exact, 1e-12));
}

/// Losses of two classes (four times the load, and the width, of each) on a small group, by summing over all states.
fn exact_two_class_losses(a: [(i64, usize); 2], size: usize) -> [f64; 2] {
    let power = |load: i64, n: usize| {
        (1..=n).fold(BigRational::one(), |p, k| p * ratio(load, 4) / ratio(k as i64, 1))
    };
    let (mut total, mut lost) = (BigRational::zero(), [BigRational::zero(), BigRational::zero()]);
    for n in 0..=size / a[0].1 {
        for m in 0..=(size - n * a[0].1) / a[1].1 {
            let (p, used) = (power(a[0].0, n) * power(a[1].0, m), n * a[0].1 + m * a[1].1);
            for (lost, class) in lost.iter_mut().zip(&a) {
                if used + class.1 > size {
                    *lost += &p;
                }
            }
            total += p;
        }
    }
    lost.map(|l| to_float(&(l / &total)))
}

#[test]
fn usage_agrees_with_sum_over_all_states() {
    for (a, size) in
        [([(8, 1), (3, 2)], 6), ([(20, 1), (2, 8)], 10), ([(5, 3), (4, 4)], 21), ([(1, 1), (9, 5)], 4)]
    {
        let classes =
            a.map(|(load, width)| Class { load: load as f64 / 4.0, width: width as u32, reserve: 0 });
        let computed = usage(&classes, size as u32).unwrap();
        for (loss, exact) in computed.loss.iter().zip(exact_two_class_losses(a, size)) {
            assert!(is_close(*loss, exact, 1e-12), "{a:?} on {size}: {loss} for {exact}");
        }
    }
    assert_eq!(usage(&[Class { load: 1.0, width: 0, reserve: 0 }], 5), Err(InvalidInput::Width));
}

#[test]
fn usage_of_large_group_keeps_precision_without_overflow() {
    let single = usage(&[Class { load: 4_000.0, width: 1, reserve: 0 }], 4_100).unwrap();
    assert!(is_close(single.loss[0], erlang::loss(4_000.0, 4_100.0).unwrap(), 1e-9));
    let both = [Class { load: 900.0, width: 1, reserve: 7 }, Class { load: 20.0, width: 8, reserve: 0 }];
    let needed = widths::circuits(&both, &[0.01, 0.01], 5_000).unwrap().unwrap();
    let fits = |n| usage(&both, n).unwrap().loss.iter().all(|b| *b <= 0.01);
    assert!(fits(needed) && !fits(needed - 1), "{needed}");
    assert_eq!(widths::circuits(&both, &[0.01, 0.01], 500).unwrap(), None);
}

#[test]
fn equivalent_group_inverts_overflow() {
    for (load, circuits) in [(10.0, 8.0), (120.0, 130.0), (35.5, 20.25), (1_000.0, 1_020.0), (2.0, 3.0)] {
        let stream = overflow::overflow(load, circuits).unwrap();
        assert!(stream.peakedness() > 1.0);
        let found = overflow::equivalent_group(stream).unwrap();
        assert!(
            is_close(found.load, load, 1e-7) && is_close(found.circuits, circuits, 1e-6),
            "{found:?} for {load}, {circuits}"
        );
        // The loss behind the group follows from Erlang's formula for both groups together.
        let loss = overflow::loss(stream, 5.0).unwrap();
        assert!(is_close(loss, load * erlang::loss(load, circuits + 5.0).unwrap() / stream.mean, 1e-7));
    }
}

#[test]
fn circuits_increase_with_peakedness() {
    let needed = |z| overflow::circuits(Stream::peaked(50.0, z), 0.01).unwrap();
    let poisson = erlang::circuits(50.0, 0.01).unwrap();
    assert_eq!(needed(1.0), poisson);
    assert!(needed(0.6) < poisson && needed(2.0) > poisson + 4 && needed(4.0) > needed(2.0));
    for z in [1.3, 2.0, 3.5] {
        let stream = Stream::peaked(50.0, z);
        let (equivalent_random, hayward) =
            (overflow::loss(stream, 65.0).unwrap(), overflow::hayward(stream, 65.0).unwrap());
        assert!(
            is_close(equivalent_random, hayward, 0.05),
            "the two methods agree within 5 %: {equivalent_random} {hayward}"
        );
    }
    assert!(matches!(overflow::loss(Stream::peaked(5.0, -1.0), 3.0), Err(InvalidInput::Peakedness(_))));
    let empty = Stream::poisson(0.0);
    assert_eq!((overflow::circuits(empty, 0.01), overflow::loss(empty, 0.0)), (Ok(0), Ok(0.0)));
}

#[test]
fn improvement_is_additional_carried_load() {
    for (load, circuits) in [(5.0, 3.0), (5.0, 9.0), (80.0, 100.0)] {
        let carried = |n| load * (1.0 - erlang::loss(load, n).unwrap());
        let improvement = erlang::improvement(load, circuits).unwrap();
        assert!(
            (improvement - (carried(circuits + 1.0) - carried(circuits))).abs() < 1e-11,
            "{load} on {circuits}"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn loss_decreases_with_circuits_and_increases_with_load(load in 0.01f64..500.0, n in 0.0f64..600.0, more in 0.01f64..9.0) {
        let at = |a, n| erlang::ln_loss(a, n).unwrap();
        prop_assert!(at(load, n + more) < at(load, n));
        prop_assert!(at(load + more, n) > at(load, n) || n == 0.0);
    }

    #[test]
    fn usage_of_single_width_agrees_with_erlang(load in 0.1f64..80.0, n in 0u32..90, width in 1u32..9) {
        let computed = usage(&[Class { load, width, reserve: 0 }], n).unwrap().loss[0];
        let erlang = erlang::loss(load, f64::from(n / width)).unwrap();
        prop_assert!(is_close(computed, erlang, 1e-10), "{computed} {erlang}");
    }

    #[test]
    fn reserve_increases_only_loss_of_its_class(
        a in 0.5f64..30.0, b in 0.5f64..30.0, n in 8u32..60, reserve in 1u32..6,
    ) {
        let losses = |reserve| {
            usage(&[Class { load: a, width: 1, reserve: 0 }, Class { load: b, width: 1, reserve }], n).unwrap().loss
        };
        let (unreserved, reserved) = (losses(0), losses(reserve));
        prop_assert!(reserved[0] <= unreserved[0] * (1.0 + 1e-12) && reserved[1] >= unreserved[1] * (1.0 - 1e-12));
    }
}
