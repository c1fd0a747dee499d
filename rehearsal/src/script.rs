//! Scripts: the description of a rehearsal in JSON5, with the simulated world and a timeline of events. Unknown keys
//! are errors, and every error names file, position and key, so that a misspelt script is never run with defaults.

use std::path::Path;

use serde::Deserialize;
use settings::{key, FileError, PathSegment};

/// Maximum for all durations in a script.
const MAX_DURATION_SECONDS: f64 = 24.0 * 3600.0;

/// Time that a node drains if the event has no `drain`.
pub const DEFAULT_DRAIN_SECONDS: f64 = 8.0;
/// Time that a processor or controller is down if the event has no `down`.
pub const DEFAULT_DOWN_SECONDS: f64 = 1.0;

/// Defines a number type whose range is checked during parsing, so that errors carry the position in the file.
macro_rules! checked_number {
    ($(#[$doc:meta])* $name:ident, $test:expr, $text:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Deserialize)]
        #[serde(try_from = "f64")]
        pub struct $name(pub f64);

        impl TryFrom<f64> for $name {
            type Error = String;
            fn try_from(value: f64) -> Result<$name, String> {
                let test: fn(f64) -> bool = $test;
                if test(value) { Ok($name(value)) } else { Err(format!(concat!("{} is ", $text), value)) }
            }
        }
    };
}

checked_number!(
    /// A duration or a time in seconds, from 0 to one day.
    Seconds, |v| (0.0..=MAX_DURATION_SECONDS).contains(&v), "not between 0 and 86400 seconds"
);
checked_number!(
    /// A share of a whole, above 0 and at most 1.
    Share, |v| v > 0.0 && v <= 1.0, "no share: must be above 0 and at most 1"
);
checked_number!(
    /// A factor above 0.
    Factor, |v| v > 0.0 && v <= 1e6, "no factor: must be above 0 and at most 1000000"
);
checked_number!(
    /// A number that is 0 or above.
    Amount, |v| (0.0..=1e9).contains(&v), "not between 0 and 1000000000"
);

/// A class of calls.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name of the class in messages: letters, digits, `-` and `_`.
    pub name: String,
    /// Share of this class in all calls, relative to the shares of the other classes.
    pub share: Factor,
    /// Worth of a call that stands in time and is not cut.
    pub worth: Amount,
    /// Mean duration of a call in seconds (exponentially distributed).
    pub hold: Factor,
    /// Time in seconds from the first try within which a call is to stand.
    #[serde(default = "default_aim")]
    pub aim: Factor,
    /// Time in seconds from the first try after which the caller gives up.
    #[serde(default = "default_deadline")]
    pub deadline: Factor,
    /// Share of its worth that a call earns if it stands later than `aim`.
    #[serde(default = "default_late_worth")]
    pub late_worth: Amount,
    /// Number of circuits that a call takes on each trunk group.
    #[serde(default = "default_width")]
    pub width: u32,
}

fn default_aim() -> Factor {
    Factor(1.2)
}
fn default_deadline() -> Factor {
    Factor(9.0)
}
fn default_late_worth() -> Amount {
    Amount(0.25)
}
fn default_width() -> u32 {
    1
}

/// Defines a section of a script in which all keys have defaults.
macro_rules! section {
    ($(#[$doc:meta])* $name:ident { $($(#[$field_doc:meta])* $field:ident: $type:ty = $default:expr,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize)]
        #[serde(deny_unknown_fields, default)]
        pub struct $name { $($(#[$field_doc])* pub $field: $type,)* }

        impl Default for $name {
            fn default() -> $name {
                $name { $($field: $default,)* }
            }
        }
    };
}

section! {
    /// Behaviour of callers.
    Callers {
        /// Maximum number of further tries after a failed first try.
        redials: u32 = 3,
        /// Time in seconds before a caller redials, unless it follows retry advice.
        pause: Seconds = Seconds(1.1),
        /// Share of callers that follow retry advice; the others redial after `pause`.
        heed: Amount = Amount(0.65),
        /// Timeout of a single try, as a share of the class's `deadline`.
        patience: Share = Share(0.35),
        /// Share of callers that set up a call again, once, after it was cut.
        cut_again: Amount = Amount(0.0),
        /// Number of connections that the callers of an exchange share to its controller.
        connections: u32 = 4,
        /// Share of callers that use a connection of their own and shut down its sending direction after the set-up.
        half_close: Amount = Amount(0.0),
        /// Share of callers that use a connection of their own and send the set-up in pieces.
        pieces: Amount = Amount(0.0),
    }
}

section! {
    /// The processor of a node, with a single FIFO queue. Work is measured in set-ups.
    Processor {
        /// Utilization at the planned load if all calls are direct.
        use_at_plan: Share = Share(0.85),
        /// Work of examining a call, also if it is refused.
        look: Amount = Amount(0.22),
        /// Work of rejecting a set-up.
        refusal: Amount = Amount(0.2),
        /// Work of a retransmitted set-up.
        repeat: Amount = Amount(0.45),
        /// Work of an answer, and of a release.
        answer: Amount = Amount(0.37),
        /// Set-ups are rejected while the queueing delay is longer than this, in seconds.
        turn_away: Factor = Factor(3.0),
        /// Time in seconds after which an unprocessed set-up is first retransmitted; the interval then doubles each
        /// time. 0 disables retransmission.
        repeat_after: Seconds = Seconds(0.5),
        /// Capacity just after a start, as a share of the full capacity.
        cold_from: Share = Share(0.34),
        /// Time in seconds until the capacity has grown to the full one.
        cold_for: Seconds = Seconds(15.0),
        /// A cold processor fails and stays down when the set-ups received exceed this multiple of its capacity, over
        /// a window of `falls_within`.
        falls_past: Factor = Factor(2.0),
        /// Length in seconds of the window for `falls_past`.
        falls_within: Factor = Factor(2.0),
    }
}

section! {
    /// The trunk groups, whose circuits are shared by both ends.
    Groups {
        /// Variation of the planned traffic between pairs of nodes (coefficient of variation).
        pair_spread: Amount = Amount(0.5),
        /// Deviation of the actual from the planned traffic of each pair (coefficient of variation).
        missed: Amount = Amount(0.5),
        /// Circuits of a group beyond its planned load in erlang, in square roots of that load.
        spare_roots: Amount = Amount(2.0),
        /// Drift of the traffic distribution over destinations (coefficient of variation).
        drift: Amount = Amount(0.45),
        /// Interval in seconds at which a new drift is drawn.
        drift_every: Factor = Factor(13.5),
        /// Traffic inside a region, as a multiple of that between regions.
        local: Factor = Factor(1.8),
        /// Whether nodes carry calls in transit; otherwise they turn them back at once.
        transit: bool = true,
        /// Time in seconds from the cancellation of a set-up until its circuits are free.
        frees_after: Seconds = Seconds(0.15),
    }
}

section! {
    /// One-way delays between nodes, in seconds.
    Network {
        /// Within a region.
        same: Seconds = Seconds(0.0055),
        /// Between regions.
        cross: Seconds = Seconds(0.019),
        /// Standard deviation of a delay, as a share of the delay.
        jitter: Amount = Amount(0.24),
    }
}

section! {
    /// The journal services, one for each controller.
    Journal {
        /// Range of the delay in seconds until it reports an announced drain or stop.
        notice: [Seconds; 2] = [Seconds(0.63), Seconds(4.4)],
        /// Range of the delay in seconds until it reports a node that failed without notice.
        silent: [Seconds; 2] = [Seconds(5.7), Seconds(14.0)],
        /// Range of the delay in seconds until it reports a node that has started.
        start: [Seconds; 2] = [Seconds(0.48), Seconds(2.2)],
    }
}

section! {
    /// The centre's route advice: the tandem with the most free circuits.
    Advice {
        /// Whether set-ups carry the advice.
        given: bool = true,
        /// Range of the age in seconds of the snapshot that the advice is based on.
        age: [Seconds; 2] = [Seconds(1.5), Seconds(4.0)],
    }
}

section! {
    /// Limits and settings of the controllers.
    Controllers {
        /// Memory limit in MB.
        memory_mb: u32 = 32,
        /// File descriptor limit.
        sockets: u32 = 1024,
        /// Maximum number of attempts per call.
        attempts: u32 = 5,
        /// Minimum time between two turns, in seconds.
        tick: Factor = Factor(0.005),
        /// Maximum wait in seconds that callers can be advised before they retry; 0 disables retry advice.
        longest_advice: Seconds = Seconds(2.0),
    }
}

/// Kind of an event: what happens to the affected nodes and to their connections, services and callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    /// The processor stops, which cuts its calls, and starts again cold with the same id after `down` seconds.
    RestartCold,
    /// The node drains for `drain` seconds and stops; after `down` seconds a new one with a new id replaces it, cold.
    Replace,
    /// The node drains for `drain` seconds and stops; when the event ends it is back, cold and with a new id.
    Drain,
    /// The node accepts set-ups and answers none.
    Hang,
    /// The processor pauses for `length` seconds, every `every` seconds.
    Pauses,
    /// The processor takes `factor` times as long for all work.
    Slow,
    /// The node stops without notice and its connections fall silent; when the event ends a new one replaces it, cold.
    Vanish,
    /// The process ends without notice `dies_after` seconds later, and another one takes over its address after `down` seconds.
    Takeover,
    /// Trunk groups between the affected regions and the others keep the share `kept` of their circuits; calls on the
    /// lost circuits are cut.
    LoseCircuits,
    /// Open connections to the affected nodes stay open, but carry nothing any more.
    SilentConnections,
    /// Open connections to the affected nodes are reset; set-ups on them may or may not have been read.
    ResetConnections,
    /// The journal service closes its connections and refuses new ones.
    JournalBroken,
    /// The journal service accepts requests and answers none.
    JournalSilent,
    /// The controller is killed and started again after `down` seconds.
    ControllerKilled,
    /// The controller is shut down with SIGTERM, and started again when it has exited.
    ControllerRestarted,
    /// Callers offer `times` as many calls.
    Demand,
    /// Callers ignore retry advice.
    IgnoreAdvice,
    /// The node's controller reloads its configuration (SIGHUP).
    ControllerReloaded,
    /// The network to the node is partitioned: bytes on open connections are held back until the end, new connections
    /// time out, and calls keep standing.
    CutOff,
    /// New connections to the node time out; open ones work.
    NoNewConnections,
    /// The journal service of the node's controller delays its answers by `length` seconds.
    JournalSlow,
    /// The node truncates some answers, which makes their connection unusable, and sends some answers twice.
    SpoiltAnswers,
    /// Clients that violate the protocol connect to the node's controller, one every `every` seconds.
    BadCallers,
}

impl EventKind {
    /// Returns the name in scripts.
    pub fn name(self) -> &'static str {
        match self {
            EventKind::RestartCold => "restart-cold",
            EventKind::Replace => "replace",
            EventKind::Drain => "drain",
            EventKind::Hang => "hang",
            EventKind::Pauses => "pauses",
            EventKind::Slow => "slow",
            EventKind::Vanish => "vanish",
            EventKind::Takeover => "takeover",
            EventKind::LoseCircuits => "lose-circuits",
            EventKind::SilentConnections => "silent-connections",
            EventKind::ResetConnections => "reset-connections",
            EventKind::JournalBroken => "journal-broken",
            EventKind::JournalSilent => "journal-silent",
            EventKind::ControllerKilled => "controller-killed",
            EventKind::ControllerRestarted => "controller-restarted",
            EventKind::Demand => "demand",
            EventKind::IgnoreAdvice => "ignore-advice",
            EventKind::ControllerReloaded => "controller-reloaded",
            EventKind::CutOff => "cut-off",
            EventKind::NoNewConnections => "no-new-connections",
            EventKind::JournalSlow => "journal-slow",
            EventKind::SpoiltAnswers => "spoilt-answers",
            EventKind::BadCallers => "bad-callers",
        }
    }

    /// Returns the keys of this kind beside `at`, `kind`, `nodes`, `regions` and `share`: the required, then the
    /// optional ones.
    fn allowed_keys(self) -> (&'static [&'static str], &'static [&'static str]) {
        match self {
            EventKind::RestartCold => (&[], &["down", "stagger"]),
            EventKind::Replace => (&[], &["drain", "down", "same_address", "stagger"]),
            EventKind::Drain => (&["for"], &["drain"]),
            EventKind::Takeover => (
                &["listed_after"],
                &[
                    "dies_after",
                    "down",
                    "boots_after",
                    "gone_after",
                    "under_way",
                    "others",
                    "vanishes",
                    "same_id",
                ],
            ),
            EventKind::Hang
            | EventKind::Vanish
            | EventKind::JournalBroken
            | EventKind::JournalSilent
            | EventKind::IgnoreAdvice
            | EventKind::CutOff
            | EventKind::SpoiltAnswers
            | EventKind::NoNewConnections => (&["for"], &[]),
            EventKind::JournalSlow => (&["for", "length"], &[]),
            EventKind::BadCallers => (&["for", "every"], &[]),
            EventKind::Pauses => (&["for", "every", "length"], &[]),
            EventKind::Slow => (&["for", "factor"], &[]),
            EventKind::LoseCircuits => (&["for", "kept"], &[]),
            EventKind::SilentConnections | EventKind::ResetConnections => (&[], &[]),
            EventKind::ControllerKilled => (&[], &["down", "stagger"]),
            EventKind::ControllerRestarted | EventKind::ControllerReloaded => (&[], &["stagger"]),
            EventKind::Demand => (&["for", "times"], &[]),
        }
    }
}

/// An event of the timeline.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScriptEvent {
    /// Start of the event, in seconds from the start of the run.
    pub at: Seconds,
    /// Duration in seconds.
    #[serde(rename = "for")]
    pub lasts: Option<Seconds>,
    /// What happens.
    pub kind: EventKind,
    /// The affected nodes, by name. At most one of `nodes`, `regions` and `share` is allowed; without any, all nodes
    /// are affected.
    pub nodes: Option<Vec<String>>,
    /// All nodes of these regions are affected.
    pub regions: Option<Vec<String>>,
    /// This share of the nodes is affected, at least one node, drawn at random from the seed.
    pub share: Option<Share>,
    /// `slow`: factor by which all work takes longer.
    pub factor: Option<Factor>,
    /// `lose-circuits`: share of the circuits that stay in service.
    pub kept: Option<Share>,
    /// `pauses`, `bad-callers`: time in seconds from one pause or client to the next.
    pub every: Option<Factor>,
    /// `pauses`: duration of a pause in seconds. `journal-slow`: delay of an answer in seconds.
    pub length: Option<Factor>,
    /// `replace`, `drain`: time in seconds that the node drains.
    pub drain: Option<Seconds>,
    /// `restart-cold`, `replace`, `controller-killed`: time in seconds from the stop to the next start.
    pub down: Option<Seconds>,
    /// `replace`: whether the new node has the address of the old one.
    pub same_address: Option<bool>,
    /// `takeover`: time in seconds from the start of the event to the end of the process.
    pub dies_after: Option<Seconds>,
    /// `takeover`: the same to the start that the journal reports of the new process; without it, the journal knows none.
    pub boots_after: Option<Seconds>,
    /// `takeover`: the same to when the journal learns that the old machine is gone; without it, it never does.
    pub gone_after: Option<Seconds>,
    /// `takeover`: the same to when the journal learns of the new process.
    pub listed_after: Option<Seconds>,
    /// `takeover`: how long what the process sends in its last moments is under way, in seconds.
    pub under_way: Option<Seconds>,
    /// `takeover`: circuits that others use at the new process, of each trunk group.
    pub others: Option<Amount>,
    /// `takeover`: whether the connections of the process fall silent in place of being reset.
    pub vanishes: Option<bool>,
    /// `takeover`: whether the new process has the id of the old one.
    pub same_id: Option<bool>,
    /// Time in seconds from the start of the event at one affected node to that at the next.
    pub stagger: Option<Seconds>,
    /// `demand`: factor by which more calls are offered.
    pub times: Option<Factor>,
}

impl ScriptEvent {
    /// Returns the end of the event in seconds from the start of the run. Without `for` it is the start of the event.
    pub fn end_seconds(&self) -> f64 {
        self.at.0 + self.lasts.map_or(0.0, |s| s.0)
    }

    fn given_keys(&self) -> [(&'static str, bool); 18] {
        [
            ("for", self.lasts.is_some()),
            ("factor", self.factor.is_some()),
            ("kept", self.kept.is_some()),
            ("every", self.every.is_some()),
            ("length", self.length.is_some()),
            ("drain", self.drain.is_some()),
            ("down", self.down.is_some()),
            ("same_address", self.same_address.is_some()),
            ("stagger", self.stagger.is_some()),
            ("times", self.times.is_some()),
            ("dies_after", self.dies_after.is_some()),
            ("boots_after", self.boots_after.is_some()),
            ("gone_after", self.gone_after.is_some()),
            ("listed_after", self.listed_after.is_some()),
            ("under_way", self.under_way.is_some()),
            ("others", self.others.is_some()),
            ("vanishes", self.vanishes.is_some()),
            ("same_id", self.same_id.is_some()),
        ]
    }
}

/// A script.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// Name in reports.
    pub name: String,
    /// Purpose of the script.
    #[serde(default)]
    pub about: String,
    /// Time in seconds during which calls are offered.
    pub seconds: Factor,
    /// The same for the short form (`--short`), which cuts off the timeline at this time.
    pub short_seconds: Option<Factor>,
    /// Time in seconds after that during which the run goes on, so that open and standing calls can end.
    #[serde(default = "default_run_out")]
    pub run_out: Seconds,
    /// Number of nodes, each with its controller. They are named `n0`, `n1` and so on, and assigned to the regions in
    /// turn.
    #[serde(default = "default_nodes")]
    pub nodes: u32,
    /// The regions.
    #[serde(default = "default_regions")]
    pub regions: Vec<String>,
    /// Fresh calls per second that the network was planned for, over all nodes.
    #[serde(default = "default_planned_calls")]
    pub planned_calls: Factor,
    /// Calls offered, as a multiple of `planned_calls`.
    #[serde(default = "default_load")]
    pub load: Factor,
    /// Load profile: points of time in seconds and load factor, with linear interpolation. The first factor holds
    /// before the first point, and the last after the last point.
    #[serde(default)]
    pub profile: Vec<[Amount; 2]>,
    /// The classes of call.
    #[serde(default = "default_classes")]
    pub classes: Vec<Class>,
    /// Behaviour of callers.
    #[serde(default)]
    pub callers: Callers,
    /// The nodes' processors.
    #[serde(default)]
    pub processor: Processor,
    /// The trunk groups.
    #[serde(default)]
    pub groups: Groups,
    /// Delays between nodes.
    #[serde(default)]
    pub network: Network,
    /// The journal services.
    #[serde(default)]
    pub journal: Journal,
    /// The centre's route advice.
    #[serde(default)]
    pub advice: Advice,
    /// The controllers.
    #[serde(default)]
    pub controllers: Controllers,
    /// The timeline of events.
    #[serde(default)]
    pub events: Vec<ScriptEvent>,
}

fn default_run_out() -> Seconds {
    Seconds(20.0)
}
fn default_nodes() -> u32 {
    6
}
fn default_regions() -> Vec<String> {
    ["praha", "brno", "ostrava"].map(String::from).to_vec()
}
fn default_planned_calls() -> Factor {
    Factor(57.0)
}
fn default_load() -> Factor {
    Factor(0.92)
}
fn default_classes() -> Vec<Class> {
    let class = |name: &str, share, worth, hold| Class {
        name: name.into(),
        share: Factor(share),
        worth: Amount(worth),
        hold: Factor(hold),
        aim: default_aim(),
        deadline: default_deadline(),
        late_worth: default_late_worth(),
        width: 1,
    };
    vec![class("result-view", 0.78, 1.0, 11.5), class("result-post", 0.22, 3.0, 9.2)]
}

impl Script {
    /// Reads a script from a file.
    pub fn load(path: &Path) -> Result<Script, FileError> {
        Script::parse(&path.display().to_string(), &settings::read_text(path)?)
    }

    /// Parses a script; `file` is its name in errors.
    pub fn parse(file: &str, text: &str) -> Result<Script, FileError> {
        let script: Script = settings::parse(file, text)?;
        script.validate().map_err(|(path, what)| settings::invalid_value(file, text, &path, what))?;
        Ok(script)
    }

    /// Returns the time in seconds from the start of an event without `for` until an affected node works fully again.
    pub fn recovery_seconds(&self, event: &ScriptEvent) -> f64 {
        let down = event.down.map_or(DEFAULT_DOWN_SECONDS, |d| d.0);
        match event.kind {
            EventKind::RestartCold => down + self.processor.cold_for.0,
            EventKind::Replace => {
                event.drain.map_or(DEFAULT_DRAIN_SECONDS, |d| d.0) + down + self.processor.cold_for.0
            }
            EventKind::ControllerKilled => down,
            _ => 0.0,
        }
    }

    /// Returns the names of the nodes.
    pub fn node_names(&self) -> impl Iterator<Item = String> {
        (0..self.nodes).map(|n| format!("n{n}"))
    }

    /// Returns the index of the region that a node is in.
    pub fn region(&self, node: usize) -> usize {
        node % self.regions.len()
    }

    /// Returns the load factor of the profile at a time.
    pub fn profile_at(&self, seconds: f64) -> f64 {
        let Some(next) = self.profile.iter().position(|p| p[0].0 > seconds) else {
            return self.profile.last().map_or(1.0, |p| p[1].0);
        };
        if next == 0 {
            return self.profile[0][1].0;
        }
        let ([start_time, start_factor], [end_time, end_factor]) =
            (self.profile[next - 1], self.profile[next]);
        start_factor.0
            + (end_factor.0 - start_factor.0) * (seconds - start_time.0) / (end_time.0 - start_time.0)
    }

    /// Checks the conditions that the types of the single values do not express.
    fn validate(&self) -> Result<(), (Vec<PathSegment>, String)> {
        use PathSegment::Index;
        let error = |path: Vec<PathSegment>, what: String| Err((path, what));
        if !(3..=200).contains(&self.nodes) {
            return error(vec![key("nodes")], format!("{}: must be between 3 and 200", self.nodes));
        }
        if self.regions.is_empty() || self.regions.len() > self.nodes as usize {
            let what = "there must be at least one region, and at most as many as nodes".into();
            return error(vec![key("regions")], what);
        }
        if self.seconds.0 > MAX_DURATION_SECONDS {
            return error(vec![key("seconds")], "must not be longer than a day".into());
        }
        if self.short_seconds.is_some_and(|s| s > self.seconds) {
            return error(vec![key("short_seconds")], "must not be longer than `seconds`".into());
        }
        if self.classes.is_empty() {
            return error(vec![key("classes")], "must contain at least one class".into());
        }
        for (i, class) in self.classes.iter().enumerate() {
            let path = |name| vec![key("classes"), Index(i), key(name)];
            let is_name_byte = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
            if class.name.is_empty() || !class.name.bytes().all(is_name_byte) {
                return error(path("name"), "must consist of letters, digits, - and _".into());
            }
            if self.classes[..i].iter().any(|c| c.name == class.name) {
                return error(path("name"), format!("duplicate class '{}'", class.name));
            }
            if class.aim > class.deadline {
                return error(path("aim"), "must not be longer than the deadline of the class".into());
            }
            if class.width == 0 {
                return error(path("width"), "must be at least 1".into());
            }
        }
        for (i, pair) in self.profile.windows(2).enumerate() {
            if pair[0][0] >= pair[1][0] {
                return error(vec![key("profile"), Index(i + 1)], "no later than the point before".into());
            }
        }
        if self.controllers.attempts == 0 || self.callers.connections == 0 {
            let name = if self.controllers.attempts == 0 { "attempts" } else { "connections" };
            let section = if name == "attempts" { "controllers" } else { "callers" };
            return error(vec![key(section), key(name)], "must be at least 1".into());
        }
        for (section, name, [from, to]) in [
            ("journal", "notice", self.journal.notice),
            ("journal", "silent", self.journal.silent),
            ("journal", "start", self.journal.start),
            ("advice", "age", self.advice.age),
        ] {
            if from > to {
                return error(vec![key(section), key(name)], "from is later than to".into());
            }
        }
        for (i, event) in self.events.iter().enumerate() {
            self.validate_event(event).map_err(|(name, what)| {
                let key_step = if name.is_empty() { None } else { Some(key(name)) };
                ([key("events"), Index(i)].into_iter().chain(key_step).collect(), what)
            })?;
        }
        Ok(())
    }

    fn validate_event(&self, event: &ScriptEvent) -> Result<(), (&'static str, String)> {
        let name = event.kind.name();
        let (required, optional) = event.kind.allowed_keys();
        for (key, is_given) in event.given_keys() {
            if is_given && !required.contains(&key) && !optional.contains(&key) {
                return Err((key, format!("'{name}' has no such key")));
            }
            if !is_given && required.contains(&key) {
                return Err(("", format!("'{name}' needs the key `{key}`")));
            }
        }
        if event.end_seconds() > self.seconds.0 {
            let key = if event.at.0 > self.seconds.0 { "at" } else { "for" };
            let end = self.seconds.0;
            return Err((key, format!("the event extends past the end of the script, {end} s")));
        }
        let selectors = [event.nodes.is_some(), event.regions.is_some(), event.share.is_some()];
        let selectors = selectors.into_iter().filter(|b| *b).count();
        if selectors > 1 {
            return Err(("", "only one of `nodes`, `regions` and `share` is allowed, not two".into()));
        }
        for node in event.nodes.iter().flatten() {
            if !self.node_names().any(|n| n == *node) {
                let last = self.nodes - 1;
                return Err(("nodes", format!("there is no node '{node}', only n0 to n{last}")));
            }
        }
        for region in event.regions.iter().flatten() {
            if !self.regions.contains(region) {
                let all = self.regions.join(", ");
                return Err(("regions", format!("there is no region '{region}', only {all}")));
            }
        }
        if event.kind == EventKind::LoseCircuits && event.nodes.is_some() {
            return Err(("nodes", "circuits are lost between regions: use `regions`".into()));
        }
        if event.every.is_some() && event.length > event.every {
            return Err(("length", "a pause must not be longer than the time from one to the next".into()));
        }
        Ok(())
    }
}
