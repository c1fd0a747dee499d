//! What a rehearsal comes to: books kept while it is played, and the report made of them.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use pitchgw::interface::Nanos;
use serde::{Deserialize, Serialize};

use crate::audit::Worst;
use crate::script::Script;

/// What became of a caller's call, over all its tries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// It stood in time and came to its natural end.
    Stood,
    /// It stood after its aim.
    Late,
    /// Its last try was refused.
    Refused,
    /// Its last try failed, or was given up.
    Failed,
    /// It stood and was cut.
    Cut,
}

/// Counts of calls, each with all its tries.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Calls {
    /// Calls offered.
    pub offered: u64,
    /// Those that stood in time, to their end.
    pub stood: u64,
    /// Those that stood after their aim.
    pub late: u64,
    /// Those that were refused in the end.
    pub refused: u64,
    /// Those that failed in the end.
    pub failed: u64,
    /// Those that stood and were cut.
    pub cut: u64,
    /// Further tries.
    pub redials: u64,
}

/// One second: of the calls first offered in it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Window {
    /// Worth offered.
    pub offered: f64,
    /// Worth earned.
    pub earned: f64,
}

/// One class.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassReport {
    /// Share of its offered worth that was earned.
    pub service_worth: f64,
    /// Its calls.
    pub calls: Calls,
}

/// One node, second by second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeReport {
    /// Its name.
    pub name: String,
    /// Longest wait at its processor, in seconds.
    pub wait: Vec<f64>,
    /// While it is cold: the second, the set-ups that came within the window, and how many may.
    pub cold: Vec<(f64, f64, f64)>,
    /// Set-ups that it turned away.
    pub turned_away: u64,
}

/// An incident's band, for plots.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Band {
    /// Its kind.
    pub kind: String,
    /// From, in seconds.
    pub from: f64,
    /// To.
    pub to: f64,
}

/// How long set-ups took that stood, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SetUpTimes {
    /// Half took no longer.
    pub median: f64,
    /// Ninety-nine of a hundred took no longer.
    pub p99: f64,
}

/// A call that was lost, to be looked into with `--trace`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LostCall {
    /// The id of its last try.
    pub call: String,
    /// The controller that had it.
    pub controller: String,
    /// Its class.
    pub class: String,
    /// When it was first offered, in seconds.
    pub at: f64,
    /// What became of it.
    pub how: String,
}

/// Lost calls that are named in a report.
const LOST_NAMED: usize = 200;

/// Books that the world keeps.
pub struct RunStatistics {
    windows: Vec<Window>,
    classes: Vec<(Calls, f64, f64)>,
    worth: Vec<f64>,
    nodes: Vec<NodeReport>,
    redials: u64,
    lost: Vec<LostCall>,
    /// Microseconds from a try to its answer.
    set_ups: Histogram<u64>,
    /// What truly happened to machines, as the register will learn it.
    pub machine_changes: Vec<(usize, &'static str, Option<Nanos>)>,
}

impl RunStatistics {
    /// Empty books.
    pub fn new(script: &Script, offers: Nanos) -> RunStatistics {
        let seconds = offers.div_ceil(1_000_000_000) as usize;
        let node = |name| NodeReport { name, wait: vec![0.0; seconds], ..NodeReport::default() };
        RunStatistics {
            windows: vec![Window::default(); seconds],
            classes: vec![Default::default(); script.classes.len()],
            worth: script.classes.iter().map(|c| c.worth.0).collect(),
            nodes: script.node_names().map(node).collect(),
            redials: 0,
            lost: Vec::new(),
            // Three digits up to the longest that a caller can wait: constants that the library takes.
            set_ups: Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("sound bounds"),
            machine_changes: Vec::new(),
        }
    }

    fn window(&mut self, seconds: f64) -> &mut Window {
        let last = self.windows.len() - 1;
        &mut self.windows[(seconds as usize).min(last)]
    }

    /// A call was offered.
    pub fn record_offered(&mut self, class: usize, seconds: f64) {
        let worth = self.worth[class];
        self.window(seconds).offered += worth;
        let (calls, offered, _) = &mut self.classes[class];
        calls.offered += 1;
        *offered += worth;
    }

    /// It is known what became of a call that was first offered at this time.
    pub fn record_outcome(&mut self, class: usize, seconds: f64, how: CallOutcome, worth: f64) {
        self.window(seconds).earned += worth;
        let (calls, _, earned) = &mut self.classes[class];
        *earned += worth;
        match how {
            CallOutcome::Stood => calls.stood += 1,
            CallOutcome::Late => calls.late += 1,
            CallOutcome::Refused => calls.refused += 1,
            CallOutcome::Failed => calls.failed += 1,
            CallOutcome::Cut => calls.cut += 1,
        }
    }

    /// A call was lost. The first ones are named.
    pub fn record_lost_call(&mut self, lost: impl FnOnce() -> LostCall) {
        if self.lost.len() < LOST_NAMED {
            self.lost.push(lost());
        }
    }

    /// A try was answered after this time.
    pub fn record_set_up_time(&mut self, took: Nanos) {
        self.set_ups.saturating_record(took / 1_000);
    }

    /// A caller dials again.
    pub fn record_redial(&mut self) {
        self.redials += 1;
    }

    /// A node turned a set-up away.
    pub fn record_turned_away(&mut self, node: usize) {
        self.nodes[node].turned_away += 1;
    }

    /// How a node is at this time.
    pub fn sample_node(&mut self, seconds: f64, node: usize, wait: f64, cold: Option<(f64, f64)>) {
        let n = &mut self.nodes[node];
        if let Some(at) = n.wait.get_mut(seconds as usize) {
            *at = at.max((wait * 1000.0).round() / 1000.0);
        }
        if let Some((came, budget)) = cold {
            n.cold.push((seconds, came, (budget * 100.0).round() / 100.0));
        }
    }
}

/// What one rehearsal with one seed came to.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunReport {
    /// Its seed.
    pub seed: u64,
    /// Share of the offered worth that was earned.
    pub service_worth: f64,
    /// The same in the worst ten seconds.
    pub worst_ten_seconds: f64,
    /// By class.
    pub classes: BTreeMap<String, ClassReport>,
    /// All calls.
    pub calls: Calls,
    /// How long set-ups took.
    pub set_up_ms: SetUpTimes,
    /// How often each rule was broken.
    pub rules_broken: BTreeMap<String, u64>,
    /// The first breaches, in full.
    pub breaches: Vec<serde_json::Value>,
    /// What came closest to a limit.
    #[serde(default)]
    pub worst: Worst,
    /// The first calls that were lost.
    pub lost: Vec<LostCall>,
    /// Per second.
    pub windows: Vec<Window>,
    /// Per node.
    pub nodes: Vec<NodeReport>,
    /// Hash over everything that passed.
    pub digest: String,
}

/// A report: one run, or several with consecutive seeds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// Name of the script.
    pub script: String,
    /// `virtual` or `wall`.
    pub clock: String,
    /// Seconds in which calls were offered.
    pub seconds: f64,
    /// Mean over the runs of the share of the offered worth that was earned.
    pub service_worth: f64,
    /// By class: the mean share.
    pub classes: BTreeMap<String, f64>,
    /// Calls of all runs.
    pub calls: Calls,
    /// How often each rule was broken, over all runs.
    pub rules_broken: BTreeMap<String, u64>,
    /// Worth per second, summed over the runs.
    pub windows: Vec<Window>,
    /// Hash over the runs' digests.
    pub digest: String,
    /// The incident.
    pub bands: Vec<Band>,
    /// The runs.
    pub runs: Vec<RunReport>,
}

fn share(earned: f64, offered: f64) -> f64 {
    if offered > 0.0 {
        earned / offered
    } else {
        1.0
    }
}

fn add(to: &mut Calls, calls: &Calls) {
    to.offered += calls.offered;
    to.stood += calls.stood;
    to.late += calls.late;
    to.refused += calls.refused;
    to.failed += calls.failed;
    to.cut += calls.cut;
    to.redials += calls.redials;
}

impl RunReport {
    /// Makes the report of one run.
    pub fn new(
        script: &Script,
        seed: u64,
        books: &RunStatistics,
        audit: &crate::audit::Auditor,
        digest: String,
    ) -> RunReport {
        let named = script.classes.iter().zip(&books.classes).map(|(class, (calls, offered, earned))| {
            (
                class.name.clone(),
                ClassReport { service_worth: share(*earned, *offered), calls: calls.clone() },
            )
        });
        let mut calls = Calls { redials: books.redials, ..Calls::default() };
        books.classes.iter().for_each(|(c, ..)| add(&mut calls, c));
        let sum = |of: &[Window]| {
            let earned: f64 = of.iter().map(|w| w.earned).sum();
            share(earned, of.iter().map(|w| w.offered).sum())
        };
        let tens = books.windows.windows(10.min(books.windows.len())).map(sum);
        let rules = audit.counts().into_iter().map(|(rule, n)| (rule.name(), n));
        let breaches = audit.breaches().iter().filter_map(|b| serde_json::to_value(b).ok());
        RunReport {
            seed,
            service_worth: sum(&books.windows),
            worst_ten_seconds: tens.fold(1.0, f64::min),
            classes: named.collect(),
            calls,
            set_up_ms: SetUpTimes {
                median: books.set_ups.value_at_quantile(0.5) as f64 / 1e3,
                p99: books.set_ups.value_at_quantile(0.99) as f64 / 1e3,
            },
            rules_broken: rules.collect(),
            breaches: breaches.collect(),
            worst: audit.worst(),
            lost: books.lost.clone(),
            windows: books.windows.clone(),
            nodes: books.nodes.clone(),
            digest,
        }
    }
}

impl Report {
    /// Puts runs of one script together.
    pub fn new(script: &Script, clock: &str, seconds: f64, runs: Vec<RunReport>) -> Report {
        let count = runs.len().max(1) as f64;
        let mut classes = BTreeMap::new();
        let (mut calls, mut rules) = (Calls::default(), BTreeMap::new());
        let mut windows = vec![Window::default(); runs.first().map_or(0, |r| r.windows.len())];
        let mut hash = blake3::Hasher::new();
        for run in &runs {
            add(&mut calls, &run.calls);
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

    /// Whether a rule was broken.
    pub fn broken(&self) -> bool {
        self.rules_broken.values().any(|n| *n > 0)
    }
}
