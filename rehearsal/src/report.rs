//! Statistics that are collected while a rehearsal is played, and the report that is made of them.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use pitchgw::interface::Nanos;
use serde::{Deserialize, Serialize};

use crate::audit::WorstDelays;
use crate::script::Script;

/// The outcome of a caller's call, all its redials included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// It stood within the delay target (`aim`) and ended normally.
    Stood,
    /// It stood, but later than the delay target.
    Late,
    /// Its last try was refused.
    Refused,
    /// Its last try failed, or the caller gave up.
    Failed,
    /// It stood and was cut before its normal end.
    Cut,
}

/// Counts of calls by outcome. A call and its redials count as one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Calls {
    /// Calls offered.
    pub offered: u64,
    /// Calls that stood within the delay target (`aim`) and ended normally.
    pub stood: u64,
    /// Calls that stood later than the delay target.
    pub late: u64,
    /// Calls whose last try was refused.
    pub refused: u64,
    /// Calls whose last try failed, or whose caller gave up.
    pub failed: u64,
    /// Calls that stood and were cut.
    pub cut: u64,
    /// Redials of all calls.
    pub redials: u64,
}

/// Worth of the calls that were first offered within one second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Window {
    /// Worth offered.
    pub offered: f64,
    /// Worth earned.
    pub earned: f64,
}

/// The result of one class.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassReport {
    /// Share of the class's offered worth that was earned.
    pub service_worth: f64,
    /// Calls of the class.
    pub calls: Calls,
}

/// The load of one node, second by second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeReport {
    /// The node's name.
    pub name: String,
    /// Longest wait at the node's processor in each second, in seconds.
    pub wait: Vec<f64>,
    /// Samples while the processor is cold: time in seconds, set-ups that arrived within the window, and the budget.
    pub cold: Vec<(f64, f64, f64)>,
    /// Set-ups that the node's full processor rejected.
    pub turned_away: u64,
}

/// The time span of an incident, drawn as a band in plots.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Band {
    /// The kind of event.
    pub kind: String,
    /// Start, in seconds from the start of the rehearsal.
    pub from: f64,
    /// End, in seconds.
    pub to: f64,
}

/// Set-up times of the calls that stood, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SetUpTimes {
    /// Median.
    pub median: f64,
    /// 99th percentile.
    pub p99: f64,
}

/// A lost call, to be examined with `--trace`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LostCall {
    /// The id of its last try.
    pub call: String,
    /// The controller that handled it.
    pub controller: String,
    /// The call's class.
    pub class: String,
    /// Seconds from the start of the rehearsal to the first try.
    pub at: f64,
    /// The call's outcome.
    pub how: String,
}

/// Lost calls that a report lists in full.
const MAX_LISTED_LOST_CALLS: usize = 200;

/// The calls of one class and their worth.
#[derive(Clone, Default)]
struct ClassStatistics {
    calls: Calls,
    worth_offered: f64,
    worth_earned: f64,
}

/// Counts and samples that the simulated world collects during a run.
pub struct RunStatistics {
    windows: Vec<Window>,
    /// By class.
    classes: Vec<ClassStatistics>,
    /// By class: the worth of one call.
    class_worth: Vec<f64>,
    nodes: Vec<NodeReport>,
    redials: u64,
    lost: Vec<LostCall>,
    /// Microseconds from a try to its answer.
    set_up_times_us: Histogram<u64>,
    /// State changes of machines, in the order in which they happened: the machine, its new state and its boot time.
    /// The journal services learn of them later.
    pub machine_changes: Vec<(usize, &'static str, Option<Nanos>)>,
}

impl RunStatistics {
    /// Makes empty statistics for a run in which calls are offered for this time.
    pub fn new(script: &Script, offering_time: Nanos) -> RunStatistics {
        let seconds = offering_time.div_ceil(1_000_000_000) as usize;
        let node = |name| NodeReport { name, wait: vec![0.0; seconds], ..NodeReport::default() };
        RunStatistics {
            windows: vec![Window::default(); seconds],
            classes: vec![ClassStatistics::default(); script.classes.len()],
            class_worth: script.classes.iter().map(|c| c.worth.0).collect(),
            nodes: script.node_names().map(node).collect(),
            redials: 0,
            lost: Vec::new(),
            // Three significant digits up to an hour, the longest that a caller can wait.
            set_up_times_us: Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("valid constant bounds"),
            machine_changes: Vec::new(),
        }
    }

    fn window(&mut self, seconds: f64) -> &mut Window {
        let last = self.windows.len() - 1;
        &mut self.windows[(seconds as usize).min(last)]
    }

    /// A call was offered for the first time.
    pub fn record_offered(&mut self, class: usize, seconds: f64) {
        let worth = self.class_worth[class];
        self.window(seconds).offered += worth;
        let class = &mut self.classes[class];
        class.calls.offered += 1;
        class.worth_offered += worth;
    }

    /// A call that was first offered at this time has its outcome.
    pub fn record_outcome(&mut self, class: usize, seconds: f64, outcome: CallOutcome, worth: f64) {
        self.window(seconds).earned += worth;
        let class = &mut self.classes[class];
        class.worth_earned += worth;
        let calls = &mut class.calls;
        match outcome {
            CallOutcome::Stood => calls.stood += 1,
            CallOutcome::Late => calls.late += 1,
            CallOutcome::Refused => calls.refused += 1,
            CallOutcome::Failed => calls.failed += 1,
            CallOutcome::Cut => calls.cut += 1,
        }
    }

    /// A call was lost. Only the first ones are kept.
    pub fn record_lost_call(&mut self, lost: impl FnOnce() -> LostCall) {
        if self.lost.len() < MAX_LISTED_LOST_CALLS {
            self.lost.push(lost());
        }
    }

    /// A try was answered after this time.
    pub fn record_set_up_time(&mut self, set_up_time: Nanos) {
        self.set_up_times_us.saturating_record(set_up_time / 1_000);
    }

    /// A caller redials.
    pub fn record_redial(&mut self) {
        self.redials += 1;
    }

    /// A node's full processor rejected a set-up.
    pub fn record_turned_away(&mut self, node: usize) {
        self.nodes[node].turned_away += 1;
    }

    /// Samples a node's wait, in seconds, and while it is cold the set-ups within the window and their budget.
    pub fn sample_node(&mut self, seconds: f64, node: usize, wait: f64, cold: Option<(f64, f64)>) {
        let report = &mut self.nodes[node];
        if let Some(longest) = report.wait.get_mut(seconds as usize) {
            *longest = longest.max((wait * 1000.0).round() / 1000.0);
        }
        if let Some((arrived, budget)) = cold {
            report.cold.push((seconds, arrived, (budget * 100.0).round() / 100.0));
        }
    }
}

/// The report of one run: a script played with one seed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunReport {
    /// The seed.
    pub seed: u64,
    /// Share of the offered worth that was earned.
    pub service_worth: f64,
    /// The lowest such share within any ten seconds.
    pub worst_ten_seconds: f64,
    /// Results by class.
    pub classes: BTreeMap<String, ClassReport>,
    /// Calls of all classes.
    pub calls: Calls,
    /// Set-up times.
    pub set_up_ms: SetUpTimes,
    /// How often each rule was broken.
    pub rules_broken: BTreeMap<String, u64>,
    /// The first breaches, in full.
    pub breaches: Vec<serde_json::Value>,
    /// The longest delay against each time limit.
    #[serde(default)]
    pub worst: WorstDelays,
    /// How many calls controllers released although they stood at their node.
    #[serde(default)]
    pub live_calls_cut: u64,
    /// The first calls that were lost.
    pub lost: Vec<LostCall>,
    /// Worth by the second.
    pub windows: Vec<Window>,
    /// Load by node.
    pub nodes: Vec<NodeReport>,
    /// Hash over all messages of the run and their times.
    pub digest: String,
}

/// The report of a rehearsal: one run, or several with consecutive seeds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// Name of the script.
    pub script: String,
    /// `virtual` or `wall`.
    pub clock: String,
    /// Seconds in which calls were offered.
    pub seconds: f64,
    /// Share of the offered worth that was earned, the mean over the runs.
    pub service_worth: f64,
    /// The same by class.
    pub classes: BTreeMap<String, f64>,
    /// Calls of all runs.
    pub calls: Calls,
    /// How often each rule was broken, over all runs.
    pub rules_broken: BTreeMap<String, u64>,
    /// Worth per second, summed over the runs.
    pub windows: Vec<Window>,
    /// Hash over the runs' digests.
    pub digest: String,
    /// Time spans of the incidents.
    pub bands: Vec<Band>,
    /// Reports of the runs.
    pub runs: Vec<RunReport>,
}

fn share(earned: f64, offered: f64) -> f64 {
    if offered > 0.0 {
        earned / offered
    } else {
        1.0
    }
}

fn add_calls(sum: &mut Calls, calls: &Calls) {
    sum.offered += calls.offered;
    sum.stood += calls.stood;
    sum.late += calls.late;
    sum.refused += calls.refused;
    sum.failed += calls.failed;
    sum.cut += calls.cut;
    sum.redials += calls.redials;
}

impl RunReport {
    /// Makes the report of one run from its statistics and its audit.
    pub fn new(
        script: &Script,
        seed: u64,
        statistics: &RunStatistics,
        auditor: &crate::audit::Auditor,
        digest: String,
    ) -> RunReport {
        let classes = script.classes.iter().zip(&statistics.classes).map(|(class, result)| {
            (
                class.name.clone(),
                ClassReport {
                    service_worth: share(result.worth_earned, result.worth_offered),
                    calls: result.calls.clone(),
                },
            )
        });
        let mut calls = Calls { redials: statistics.redials, ..Calls::default() };
        statistics.classes.iter().for_each(|c| add_calls(&mut calls, &c.calls));
        let share_earned = |windows: &[Window]| {
            let earned: f64 = windows.iter().map(|w| w.earned).sum();
            share(earned, windows.iter().map(|w| w.offered).sum())
        };
        let ten_second_shares =
            statistics.windows.windows(10.min(statistics.windows.len())).map(share_earned);
        let rules = auditor.counts().into_iter().map(|(rule, n)| (rule.name(), n));
        let breaches = auditor.breaches().iter().filter_map(|b| serde_json::to_value(b).ok());
        RunReport {
            seed,
            service_worth: share_earned(&statistics.windows),
            worst_ten_seconds: ten_second_shares.fold(1.0, f64::min),
            classes: classes.collect(),
            calls,
            set_up_ms: SetUpTimes {
                median: statistics.set_up_times_us.value_at_quantile(0.5) as f64 / 1e3,
                p99: statistics.set_up_times_us.value_at_quantile(0.99) as f64 / 1e3,
            },
            rules_broken: rules.collect(),
            breaches: breaches.collect(),
            worst: auditor.worst(),
            live_calls_cut: auditor.live_calls_cut(),
            lost: statistics.lost.clone(),
            windows: statistics.windows.clone(),
            nodes: statistics.nodes.clone(),
            digest,
        }
    }
}

impl Report {
    /// Combines the runs of one script.
    pub fn new(script: &Script, clock: &str, seconds: f64, runs: Vec<RunReport>) -> Report {
        let count = runs.len().max(1) as f64;
        let mut classes = BTreeMap::new();
        let (mut calls, mut rules) = (Calls::default(), BTreeMap::new());
        let mut windows = vec![Window::default(); runs.first().map_or(0, |r| r.windows.len())];
        let mut hash = blake3::Hasher::new();
        for run in &runs {
            add_calls(&mut calls, &run.calls);
            for (name, class) in &run.classes {
                *classes.entry(name.clone()).or_insert(0.0) += class.service_worth / count;
            }
            for (name, broken) in &run.rules_broken {
                *rules.entry(name.clone()).or_insert(0) += broken;
            }
            for (sum, window) in windows.iter_mut().zip(&run.windows) {
                sum.offered += window.offered;
                sum.earned += window.earned;
            }
            hash.update(run.digest.as_bytes());
        }
        let bands = script.events.iter().filter(|e| e.at.0 < seconds).map(|e| {
            let to = if e.lasts.is_some() { e.end_seconds() } else { e.at.0 + script.recovery_seconds(e) };
            Band { kind: e.kind.name().into(), from: e.at.0, to: to.min(seconds) }
        });
        Report {
            script: script.name.clone(),
            clock: clock.into(),
            seconds,
            service_worth: runs.iter().map(|r| r.service_worth).sum::<f64>() / count,
            classes,
            calls,
            rules_broken: rules,
            windows,
            digest: hash.finalize().to_hex().to_string(),
            bands: bands.collect(),
            runs,
        }
    }

    /// Whether a rule was broken in any run.
    pub fn has_breaches(&self) -> bool {
        self.rules_broken.values().any(|n| *n > 0)
    }
}
