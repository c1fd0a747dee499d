//! Two reports side by side: two builds, or two settings. With the same seeds the runs are compared pair by
//! pair, and a difference counts only beyond the noise of the seeds.

use std::fmt;

use serde::Serialize;
use statrs::distribution::{ContinuousCDF, StudentsT};

use crate::report::{Report, RunReport};

/// The level at which a difference is held to be beyond the noise.
const LEVEL: f64 = 0.95;

/// One figure of two reports.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// What it is.
    pub figure: String,
    /// Its mean in the first report.
    pub a: f64,
    /// Its mean in the second.
    pub b: f64,
    /// The second less the first.
    pub difference: f64,
    /// Half the width of the confidence interval of the difference; `None`: too few runs to tell.
    pub noise: Option<f64>,
}

impl Line {
    /// Whether the difference is beyond the noise, where that is known.
    pub fn beyond(&self) -> Option<bool> {
        self.noise.map(|noise| self.difference.abs() > noise)
    }
}

/// Two reports side by side.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    /// Whether the runs were compared pair by pair, seed by seed.
    pub paired: bool,
    /// The figures.
    pub lines: Vec<Line>,
    /// Rules with their breaches in either.
    pub rules: Vec<(String, u64, u64)>,
}

fn mean(of: &[f64]) -> f64 {
    of.iter().sum::<f64>() / of.len().max(1) as f64
}

/// The variance of the mean.
fn variance(of: &[f64]) -> f64 {
    let (m, n) = (mean(of), of.len() as f64);
    of.iter().map(|x| (x - m) * (x - m)).sum::<f64>() / (n - 1.0) / n
}

fn quantile(freedom: f64) -> Option<f64> {
    Some(StudentsT::new(0.0, 1.0, freedom).ok()?.inverse_cdf(0.5 + LEVEL / 2.0))
}

/// Half the width of the confidence interval of the difference of two means: Student's for pairs, Welch's else.
fn noise(a: &[f64], b: &[f64], paired: bool) -> Option<f64> {
    if a.len().min(b.len()) < 2 {
        return None;
    }
    if paired {
        let differences: Vec<f64> = a.iter().zip(b).map(|(a, b)| b - a).collect();
        return Some(quantile(a.len() as f64 - 1.0)? * variance(&differences).sqrt());
    }
    let (va, vb) = (variance(a), variance(b));
    if va + vb <= 0.0 {
        return Some(0.0);
    }
    // Welch and Satterthwaite's degrees of freedom.
    let freedom =
        (va + vb).powi(2) / (va.powi(2) / (a.len() as f64 - 1.0) + vb.powi(2) / (b.len() as f64 - 1.0));
    Some(quantile(freedom)? * (va + vb).sqrt())
}

/// Puts two reports side by side; the error says why they cannot be compared.
pub fn compare(a: &Report, b: &Report) -> Result<Comparison, String> {
    if a.runs.is_empty() || b.runs.is_empty() {
        return Err("a report has no runs".into());
    }
    if a.script != b.script || a.seconds != b.seconds {
        let of = |r: &Report| format!("'{}' of {} s", r.script, r.seconds);
        return Err(format!("the reports are of different rehearsals: {} and {}", of(a), of(b)));
    }
    let seeds = |r: &Report| r.runs.iter().map(|r| r.seed).collect::<Vec<_>>();
    let paired = seeds(a) == seeds(b);
    let line = |figure: &str, get: &dyn Fn(&RunReport) -> f64| {
        let values = |r: &Report| r.runs.iter().map(get).collect::<Vec<_>>();
        let (x, y) = (values(a), values(b));
        let (ma, mb) = (mean(&x), mean(&y));
        Line { figure: figure.into(), a: ma, b: mb, difference: mb - ma, noise: noise(&x, &y, paired) }
    };
    let per = |part: u64, run: &RunReport| part as f64 / run.calls.offered.max(1) as f64;
    let mut lines = vec![
        line("service_worth", &|r| r.service_worth),
        line("worst_ten_seconds", &|r| r.worst_ten_seconds),
    ];
    for name in a.classes.keys().filter(|name| b.classes.contains_key(*name)) {
        let get = |r: &RunReport| r.classes.get(name).map_or(0.0, |c| c.service_worth);
        lines.push(line(&format!("worth of {name}"), &get));
    }
    lines.push(line("late, share", &|r| per(r.calls.late, r)));
    lines.push(line("refused, share", &|r| per(r.calls.refused, r)));
    lines.push(line("failed, share", &|r| per(r.calls.failed, r)));
    lines.push(line("cut, share", &|r| per(r.calls.cut, r)));
    lines.push(line("redials per call", &|r| per(r.calls.redials, r)));
    let broken = |r: &Report, rule: &str| r.rules_broken.get(rule).copied().unwrap_or(0);
    let rules = a.rules_broken.keys().map(|rule| (rule.clone(), broken(a, rule), broken(b, rule)));
    Ok(Comparison { paired, lines, rules: rules.filter(|(_, x, y)| x + y > 0).collect() })
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:24} {:>8} {:>8} {:>9} {:>8}  verdict", "figure", "A", "B", "B - A", "noise")?;
        for l in &self.lines {
            let noise = l.noise.map_or("-".into(), |n| format!("{n:.4}"));
            let verdict = match l.beyond() {
                Some(true) => "beyond the noise",
                Some(false) => "within the noise",
                None => "one run: not known",
            };
            let (a, b, d) = (l.a, l.b, l.difference);
            writeln!(f, "{:24} {a:>8.4} {b:>8.4} {d:>+9.4} {noise:>8}  {verdict}", l.figure)?;
        }
        for (rule, a, b) in &self.rules {
            writeln!(f, "rule {rule} broken: {a} times in A, {b} in B")?;
        }
        let how = if self.paired { "pair by pair, the same seeds" } else { "different seeds" };
        write!(f, "({how}; noise is half the {:.0}% confidence interval)", LEVEL * 100.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn pairs_take_out_what_the_seeds_share_and_tell_small_differences() {
        let a = [0.70, 0.80, 0.90, 0.60];
        let b = [0.71, 0.81, 0.92, 0.61];
        let (paired, apart) = (noise(&a, &b, true).unwrap(), noise(&a, &b, false).unwrap());
        // By hand: differences .01 .01 .02 .01, their mean's deviation 0.0025, t(3) = 3.182.
        assert!((paired - 3.182 * 0.0025).abs() < 1e-4, "{paired}");
        assert!(apart > 0.2, "the seeds differ far more than the builds: {apart}");
        assert_eq!(noise(&a[..1], &b[..1], true), None, "one run tells no noise");
    }
}
