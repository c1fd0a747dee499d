//! Compares two reports, of two builds or two settings. With the same seeds the runs are compared pair by pair. A
//! difference counts only where it exceeds the noise between seeds.

use std::fmt;

use serde::Serialize;
use statrs::distribution::{ContinuousCDF, StudentsT};

use crate::report::{Report, RunReport};

/// The confidence level of a difference's interval.
const CONFIDENCE_LEVEL: f64 = 0.95;

/// One figure in two reports.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FigureComparison {
    /// Name of the figure.
    pub figure: String,
    /// Mean over the runs of the first report.
    pub a: f64,
    /// Mean over the runs of the second report.
    pub b: f64,
    /// The second mean minus the first.
    pub difference: f64,
    /// Half the width of the difference's confidence interval; `None` with fewer than two runs in a report.
    pub noise: Option<f64>,
}

impl FigureComparison {
    /// Whether the difference exceeds the noise; `None` if the noise is unknown.
    pub fn exceeds_noise(&self) -> Option<bool> {
        self.noise.map(|noise| self.difference.abs() > noise)
    }
}

/// The comparison of two reports.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    /// Whether the runs were compared pair by pair, because the seeds are the same.
    pub paired: bool,
    /// The figures that are compared.
    pub lines: Vec<FigureComparison>,
    /// Rules that were broken, with the number of breaches in the first and in the second report.
    pub rules: Vec<(String, u64, u64)>,
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// The squared standard error of the mean.
fn variance_of_mean(values: &[f64]) -> f64 {
    let (mean, n) = (mean(values), values.len() as f64);
    values.iter().map(|x| (x - mean) * (x - mean)).sum::<f64>() / (n - 1.0) / n
}

/// Student's t for the two-sided confidence interval.
fn t_quantile(degrees_of_freedom: f64) -> Option<f64> {
    Some(StudentsT::new(0.0, 1.0, degrees_of_freedom).ok()?.inverse_cdf(0.5 + CONFIDENCE_LEVEL / 2.0))
}

/// Half the width of the confidence interval of the difference of two means: Student's for pairs, otherwise Welch's.
fn noise(a: &[f64], b: &[f64], paired: bool) -> Option<f64> {
    if a.len().min(b.len()) < 2 {
        return None;
    }
    if paired {
        let differences: Vec<f64> = a.iter().zip(b).map(|(a, b)| b - a).collect();
        return Some(t_quantile(a.len() as f64 - 1.0)? * variance_of_mean(&differences).sqrt());
    }
    let (variance_a, variance_b) = (variance_of_mean(a), variance_of_mean(b));
    if variance_a + variance_b <= 0.0 {
        return Some(0.0);
    }
    // The Welch-Satterthwaite equation.
    let degrees_of_freedom = (variance_a + variance_b).powi(2)
        / (variance_a.powi(2) / (a.len() as f64 - 1.0) + variance_b.powi(2) / (b.len() as f64 - 1.0));
    Some(t_quantile(degrees_of_freedom)? * (variance_a + variance_b).sqrt())
}

/// Compares two reports of the same script; the error says why they cannot be compared.
pub fn compare(a: &Report, b: &Report) -> Result<Comparison, String> {
    if a.runs.is_empty() || b.runs.is_empty() {
        return Err("a report has no runs".into());
    }
    if a.script != b.script || a.seconds != b.seconds {
        let describe = |r: &Report| format!("'{}' of {} s", r.script, r.seconds);
        return Err(format!("the reports are of different rehearsals: {} and {}", describe(a), describe(b)));
    }
    let seeds = |r: &Report| r.runs.iter().map(|r| r.seed).collect::<Vec<_>>();
    let paired = seeds(a) == seeds(b);
    let line = |figure: &str, get: &dyn Fn(&RunReport) -> f64| {
        let values = |r: &Report| r.runs.iter().map(get).collect::<Vec<_>>();
        let (values_a, values_b) = (values(a), values(b));
        let (mean_a, mean_b) = (mean(&values_a), mean(&values_b));
        FigureComparison {
            figure: figure.into(),
            a: mean_a,
            b: mean_b,
            difference: mean_b - mean_a,
            noise: noise(&values_a, &values_b, paired),
        }
    };
    let per_call = |count: u64, run: &RunReport| count as f64 / run.calls.offered.max(1) as f64;
    let mut lines = vec![
        line("service_worth", &|r| r.service_worth),
        line("worst_ten_seconds", &|r| r.worst_ten_seconds),
    ];
    for name in a.classes.keys().filter(|name| b.classes.contains_key(*name)) {
        let get = |r: &RunReport| r.classes.get(name).map_or(0.0, |c| c.service_worth);
        lines.push(line(&format!("worth of {name}"), &get));
    }
    lines.push(line("late, share", &|r| per_call(r.calls.late, r)));
    lines.push(line("refused, share", &|r| per_call(r.calls.refused, r)));
    lines.push(line("failed, share", &|r| per_call(r.calls.failed, r)));
    lines.push(line("cut, share", &|r| per_call(r.calls.cut, r)));
    lines.push(line("redials per call", &|r| per_call(r.calls.redials, r)));
    let broken = |r: &Report, rule: &str| r.rules_broken.get(rule).copied().unwrap_or(0);
    let rules = a.rules_broken.keys().map(|rule| (rule.clone(), broken(a, rule), broken(b, rule)));
    Ok(Comparison { paired, lines, rules: rules.filter(|(_, x, y)| x + y > 0).collect() })
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:24} {:>8} {:>8} {:>9} {:>8}  verdict", "figure", "A", "B", "B - A", "noise")?;
        for line in &self.lines {
            let noise = line.noise.map_or("-".into(), |n| format!("{n:.4}"));
            let verdict = match line.exceeds_noise() {
                Some(true) => "beyond the noise",
                Some(false) => "within the noise",
                None => "one run: noise unknown",
            };
            let (a, b, difference) = (line.a, line.b, line.difference);
            writeln!(f, "{:24} {a:>8.4} {b:>8.4} {difference:>+9.4} {noise:>8}  {verdict}", line.figure)?;
        }
        for (rule, a, b) in &self.rules {
            writeln!(f, "rule {rule} broken: {a} times in A, {b} in B")?;
        }
        let how = if self.paired { "pair by pair, the same seeds" } else { "different seeds" };
        write!(f, "({how}; noise is half the {:.0}% confidence interval)", CONFIDENCE_LEVEL * 100.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn paired_comparison_detects_small_differences_between_builds() {
        let a = [0.70, 0.80, 0.90, 0.60];
        let b = [0.71, 0.81, 0.92, 0.61];
        let (paired, unpaired) = (noise(&a, &b, true).unwrap(), noise(&a, &b, false).unwrap());
        // Worked out by hand: differences .01 .01 .02 .01, standard error of their mean 0.0025, t(3) = 3.182.
        assert!((paired - 3.182 * 0.0025).abs() < 1e-4, "{paired}");
        assert!(unpaired > 0.2, "the seeds differ far more than the builds: {unpaired}");
        assert_eq!(noise(&a[..1], &b[..1], true), None, "no noise can be estimated from one run");
    }
}
