//! Scripts: an incident written down in JSON5. Unknown keys are refused, and every error names the file, the
//! place and the key, so that a script is never played as something else than it says.

use std::path::Path;

use serde::Deserialize;
use settings::{key, Misread, Step};

/// A script is played no longer than this, in seconds.
const LONGEST: f64 = 24.0 * 3600.0;

/// Seconds that a node drains, and that a processor or controller is down, where the script does not say.
pub const DRAIN: f64 = 8.0;
/// See [`DRAIN`].
pub const DOWN: f64 = 1.0;

/// A number of a stated kind, checked where it is read so that the error has its place.
macro_rules! figure {
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

figure!(
    /// A span or a moment in seconds, zero or above and no longer than a day.
    Seconds, |v| (0.0..=LONGEST).contains(&v), "not between 0 and 86400 seconds"
);
figure!(
    /// A part of a whole: above 0, at most 1.
    Share, |v| v > 0.0 && v <= 1.0, "no share: above 0 and at most 1 is needed"
);
figure!(
    /// A factor above zero.
    Factor, |v| v > 0.0 && v <= 1e6, "no factor: above 0 and at most 1000000 is needed"
);
figure!(
    /// A figure that is zero or above.
    Amount, |v| (0.0..=1e9).contains(&v), "negative or no number"
);

/// One class of call.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name on the wire.
    pub name: String,
    /// Its part of the calls, against the other classes'.
    pub share: Factor,
    /// Worth of a call that stands in time and holds to its end.
    pub worth: Amount,
    /// Mean length of a call, in seconds (exponential).
    pub hold: Factor,
    /// Wanted to stand within so many seconds of the first try.
    #[serde(default = "aim")]
    pub aim: Factor,
    /// Given up by its caller so many seconds after the first try.
    #[serde(default = "deadline")]
    pub deadline: Factor,
    /// Share of the worth that a call earns that stands after the aim.
    #[serde(default = "late_worth")]
    pub late_worth: Amount,
    /// Circuits that a call takes of each group.
    #[serde(default = "one")]
    pub width: u32,
}

fn aim() -> Factor {
    Factor(1.2)
}
fn deadline() -> Factor {
    Factor(9.0)
}
fn late_worth() -> Amount {
    Amount(0.25)
}
fn one() -> u32 {
    1
}

/// Declares a part of a script whose keys all have defaults.
macro_rules! part {
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

part! {
    /// How callers behave.
    Callers {
        /// Further tries after the first that came to nothing.
        redials: u32 = 3,
        /// Seconds before a caller dials again.
        pause: Seconds = Seconds(1.1),
        /// Share of callers that heed "come back after"; the others dial again as they like.
        heed: Amount = Amount(0.65),
        /// A try is given up after this share of its class's give-up time.
        patience: Share = Share(0.35),
        /// Share of callers whose call was cut that set it up again.
        cut_again: Amount = Amount(0.0),
        /// Connections that the callers of one exchange keep to its controller.
        connections: u32 = 4,
        /// Share of callers that come on a connection of their own and close its writing side behind the set-up.
        half_close: Amount = Amount(0.0),
        /// Share of callers that come on a connection of their own and write the set-up in pieces.
        pieces: Amount = Amount(0.0),
    }
}

part! {
    /// The processor of a results node: one line. Work is in set-ups.
    Processor {
        /// Share of the time that it is busy at the planned load, all calls direct.
        use_at_plan: Share = Share(0.85),
        /// Work of looking at a call, also when it is refused.
        look: Amount = Amount(0.22),
        /// Work of turning a set-up away.
        refusal: Amount = Amount(0.2),
        /// Work of a repeated set-up.
        repeat: Amount = Amount(0.45),
        /// Work of an answer, and of a release.
        answer: Amount = Amount(0.37),
        /// Set-ups are turned away once the wait passes this, in seconds.
        turn_away: Factor = Factor(3.0),
        /// A set-up that waits is repeated after this, then at gaps that double; 0: never.
        repeat_after: Seconds = Seconds(0.5),
        /// Capacity of a processor just started, as a share of the full one.
        cold_from: Share = Share(0.34),
        /// Seconds until it is warm.
        cold_for: Seconds = Seconds(15.0),
        /// Past this multiple of what it can do ...
        falls_past: Factor = Factor(2.0),
        /// ... for this time in seconds, a cold processor falls over and stays down.
        falls_within: Factor = Factor(2.0),
    }
}

part! {
    /// The trunk groups, each shared by both ends.
    Groups {
        /// Spread of the traffic between the pairs (coefficient of variation).
        pair_spread: Amount = Amount(0.5),
        /// How far the plan missed the traffic, pair by pair.
        missed: Amount = Amount(0.5),
        /// Circuits beyond a group's planned load, in square roots of it.
        spare_roots: Amount = Amount(2.0),
        /// Where calls go drifts by so much ...
        drift: Amount = Amount(0.45),
        /// ... from one such span of seconds to the next.
        drift_every: Factor = Factor(13.5),
        /// Traffic inside a region, as a multiple of that between regions.
        local: Factor = Factor(1.8),
        /// Whether nodes carry calls in transit; if not, they turn them back at once.
        transit: bool = true,
        /// Seconds after a set-up was called off until its circuits are free.
        frees_after: Seconds = Seconds(0.15),
    }
}

part! {
    /// Delays between nodes, one way, in seconds.
    Network {
        /// Within a region.
        same: Seconds = Seconds(0.0055),
        /// Between regions.
        cross: Seconds = Seconds(0.019),
        /// Spread of a delay, as a share of it.
        jitter: Amount = Amount(0.24),
    }
}

part! {
    /// The node register, as a journal service to each controller.
    Journal {
        /// Seconds, from and to, until it tells of a drain or an end that was announced.
        notice: [Seconds; 2] = [Seconds(0.63), Seconds(4.4)],
        /// Seconds, from and to, until it tells of a node that vanished without a word.
        silent: [Seconds; 2] = [Seconds(5.7), Seconds(14.0)],
        /// Seconds, from and to, until it tells of a node that has started.
        start: [Seconds; 2] = [Seconds(0.48), Seconds(2.2)],
    }
}

part! {
    /// The centre's advice: the tandem with most room.
    Advice {
        /// Whether calls carry it.
        given: bool = true,
        /// Age of its last look in seconds, from and to.
        age: [Seconds; 2] = [Seconds(1.5), Seconds(4.0)],
    }
}

part! {
    /// What a controller may use, and what it is told.
    Controllers {
        /// Memory, in MB.
        memory_mb: u32 = 32,
        /// File descriptors.
        sockets: u32 = 1024,
        /// Attempts for one call.
        attempts: u32 = 5,
        /// The shortest time between two turns, in seconds.
        tick: Factor = Factor(0.005),
        /// The longest wait that callers can be told to keep, in seconds.
        longest_advice: Seconds = Seconds(2.0),
    }
}

/// What happens to the nodes, connections, services and callers that an event strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    /// The processor stops (its calls are cut), and starts again cold under the same id after `down` seconds.
    RestartCold,
    /// The node drains for `drain` seconds and goes; a new one under a new id takes its place, cold.
    Replace,
    /// The node drains for `drain` seconds and goes; it is back, cold and under a new id, when the event ends.
    Drain,
    /// Set-ups are taken and none is answered.
    Hang,
    /// The processor stands still for `length` seconds in every `every`.
    Pauses,
    /// The processor takes `factor` times as long.
    Slow,
    /// The node is cut off and says nothing; when the event ends a new one is in its place, cold.
    Vanish,
    /// Groups between the regions struck and the others keep `kept` of their circuits; calls on the others are
    /// cut.
    LoseCircuits,
    /// Open connections to the nodes struck stay open and say nothing more.
    SilentConnections,
    /// Open connections to the nodes struck are reset; set-ups on them may have been read or not.
    ResetConnections,
    /// The journal service breaks off and refuses connections.
    JournalBroken,
    /// The journal service takes requests and answers none.
    JournalSilent,
    /// The controller is killed, and started again after `down` seconds.
    ControllerKilled,
    /// The controller is told to end, and started again when it has.
    ControllerRestarted,
    /// Callers offer `times` as many calls.
    Demand,
    /// Callers heed no advice on when to come back.
    IgnoreAdvice,
    /// The node's controller reads its configuration again (SIGHUP).
    ControllerReloaded,
    /// The network to the node is cut: what passes on open connections waits, new ones never come up, calls stand on.
    CutOff,
    /// New connections to the node never come up; open ones work.
    NoNewConnections,
    /// The journal service of the node's controller answers `length` seconds late.
    JournalSlow,
    /// The node breaks some answers off in the middle, after which their connection is of no use, and gives some twice.
    SpoiltAnswers,
    /// Callers that keep to no protocol connect to the node's controller, one in every `every` seconds.
    BadCallers,
}

impl EventKind {
    /// Its name in scripts.
    pub fn name(self) -> &'static str {
        match self {
            EventKind::RestartCold => "restart-cold",
            EventKind::Replace => "replace",
            EventKind::Drain => "drain",
            EventKind::Hang => "hang",
            EventKind::Pauses => "pauses",
            EventKind::Slow => "slow",
            EventKind::Vanish => "vanish",
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

    /// Keys beside `at`, `kind` and those that say what is struck: the required ones, then the others.
    fn keys(self) -> (&'static [&'static str], &'static [&'static str]) {
        match self {
            EventKind::RestartCold => (&[], &["down", "stagger"]),
            EventKind::Replace => (&[], &["drain", "down", "same_address", "stagger"]),
            EventKind::Drain => (&["for"], &["drain"]),
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

/// One event of the timeline.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScriptEvent {
    /// When it begins, in seconds from the start.
    pub at: Seconds,
    /// How long it lasts, in seconds.
    #[serde(rename = "for")]
    pub lasts: Option<Seconds>,
    /// What it is.
    pub kind: EventKind,
    /// The nodes struck, by name.
    pub nodes: Option<Vec<String>>,
    /// All nodes of these regions are struck.
    pub regions: Option<Vec<String>>,
    /// This share of the nodes is struck, drawn from the seed, one at least.
    pub share: Option<Share>,
    /// `slow`: how many times as long everything takes.
    pub factor: Option<Factor>,
    /// `lose-circuits`: share of the circuits that stays.
    pub kept: Option<Share>,
    /// `pauses`: seconds from one to the next.
    pub every: Option<Factor>,
    /// `pauses`: seconds that one lasts.
    pub length: Option<Factor>,
    /// `replace`, `drain`: seconds that the node drains.
    pub drain: Option<Seconds>,
    /// Seconds until what stopped starts again.
    pub down: Option<Seconds>,
    /// `replace`: the new node has the address of the old one.
    pub same_address: Option<bool>,
    /// Seconds from one node struck to the next.
    pub stagger: Option<Seconds>,
    /// `demand`: how many times the calls.
    pub times: Option<Factor>,
}

impl ScriptEvent {
    /// When it ends, in seconds from the start; with no `for`, as soon as it has begun.
    pub fn end_seconds(&self) -> f64 {
        self.at.0 + self.lasts.map_or(0.0, |s| s.0)
    }

    fn given(&self) -> [(&'static str, bool); 10] {
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
        ]
    }
}

/// A script as it is written down.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// What it is called in reports.
    pub name: String,
    /// What it is for.
    #[serde(default)]
    pub about: String,
    /// Seconds in which calls are offered; what is open after that is played to its end.
    pub seconds: Factor,
    /// Seconds of the short form (`--short`), in which the same timeline is cut off.
    pub short_seconds: Option<Factor>,
    /// Seconds after the last call was offered in which what is open and stands comes to its end.
    #[serde(default = "run_out")]
    pub run_out: Seconds,
    /// Results nodes, each with its controller: `n0`, `n1` and so on, by turns in the regions.
    #[serde(default = "six")]
    pub nodes: u32,
    /// The regions.
    #[serde(default = "regions")]
    pub regions: Vec<String>,
    /// Fresh calls a second that the network was planned for, in all.
    #[serde(default = "planned")]
    pub planned_calls: Factor,
    /// Calls offered, as a multiple of the plan.
    #[serde(default = "load")]
    pub load: Factor,
    /// Points of seconds and multiple of the load, joined by straight lines; before the first and after the
    /// last as these have it.
    #[serde(default)]
    pub profile: Vec<[Amount; 2]>,
    /// The classes of call.
    #[serde(default = "classes")]
    pub classes: Vec<Class>,
    /// How callers behave.
    #[serde(default)]
    pub callers: Callers,
    /// The nodes' processors.
    #[serde(default)]
    pub processor: Processor,
    /// The trunk groups.
    #[serde(default)]
    pub groups: Groups,
    /// Delays.
    #[serde(default)]
    pub network: Network,
    /// The node register.
    #[serde(default)]
    pub journal: Journal,
    /// The centre's advice.
    #[serde(default)]
    pub advice: Advice,
    /// The controllers.
    #[serde(default)]
    pub controllers: Controllers,
    /// The incident.
    #[serde(default)]
    pub events: Vec<ScriptEvent>,
}

fn run_out() -> Seconds {
    Seconds(20.0)
}
fn six() -> u32 {
    6
}
fn regions() -> Vec<String> {
    ["praha", "brno", "ostrava"].map(String::from).to_vec()
}
fn planned() -> Factor {
    Factor(57.0)
}
fn load() -> Factor {
    Factor(0.92)
}
fn classes() -> Vec<Class> {
    let class = |name: &str, share, worth, hold| Class {
        name: name.into(),
        share: Factor(share),
        worth: Amount(worth),
        hold: Factor(hold),
        aim: aim(),
        deadline: deadline(),
        late_worth: late_worth(),
        width: 1,
    };
    vec![class("result-view", 0.78, 1.0, 11.5), class("result-post", 0.22, 3.0, 9.2)]
}

impl Script {
    /// Reads a script from a file.
    pub fn load(path: &Path) -> Result<Script, Misread> {
        Script::parse(&path.display().to_string(), &settings::text(path)?)
    }

    /// Reads a script from text; `file` is only named in errors.
    pub fn parse(file: &str, text: &str) -> Result<Script, Misread> {
        let script: Script = settings::parse(file, text)?;
        script.check().map_err(|(path, what)| settings::refuse(file, text, &path, what))?;
        Ok(script)
    }

    /// Seconds from the beginning of an event that has no `for` until what it struck is whole again, one node
    /// struck.
    pub fn recovery_seconds(&self, event: &ScriptEvent) -> f64 {
        let down = event.down.map_or(DOWN, |d| d.0);
        match event.kind {
            EventKind::RestartCold => down + self.processor.cold_for.0,
            EventKind::Replace => event.drain.map_or(DRAIN, |d| d.0) + down + self.processor.cold_for.0,
            EventKind::ControllerKilled => down,
            _ => 0.0,
        }
    }

    /// Names of the nodes.
    pub fn node_names(&self) -> impl Iterator<Item = String> {
        (0..self.nodes).map(|n| format!("n{n}"))
    }

    /// The region that a node is in.
    pub fn region(&self, node: usize) -> usize {
        node % self.regions.len()
    }

    /// The multiple of the load at a time, by the profile.
    pub fn profile_at(&self, seconds: f64) -> f64 {
        let Some(next) = self.profile.iter().position(|p| p[0].0 > seconds) else {
            return self.profile.last().map_or(1.0, |p| p[1].0);
        };
        if next == 0 {
            return self.profile[0][1].0;
        }
        let ([t0, m0], [t1, m1]) = (self.profile[next - 1], self.profile[next]);
        m0.0 + (m1.0 - m0.0) * (seconds - t0.0) / (t1.0 - t0.0)
    }

    /// What the types of the single figures cannot say.
    fn check(&self) -> Result<(), (Vec<Step>, String)> {
        use Step::Index;
        let fail = |path: Vec<Step>, what: String| Err((path, what));
        if !(3..=200).contains(&self.nodes) {
            return fail(vec![key("nodes")], format!("{}: between 3 and 200 nodes are needed", self.nodes));
        }
        if self.regions.is_empty() || self.regions.len() > self.nodes as usize {
            let what = "at least one region, and a node for each, are needed".into();
            return fail(vec![key("regions")], what);
        }
        if self.seconds.0 > LONGEST {
            return fail(vec![key("seconds")], "longer than a day".into());
        }
        if self.short_seconds.is_some_and(|s| s > self.seconds) {
            return fail(vec![key("short_seconds")], "longer than `seconds`".into());
        }
        if self.classes.is_empty() {
            return fail(vec![key("classes")], "at least one class is needed".into());
        }
        for (i, class) in self.classes.iter().enumerate() {
            let path = |name| vec![key("classes"), Index(i), key(name)];
            let token = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
            if class.name.is_empty() || !class.name.bytes().all(token) {
                return fail(path("name"), "letters, digits, - and _ are needed".into());
            }
            if self.classes[..i].iter().any(|c| c.name == class.name) {
                return fail(path("name"), format!("class '{}' is there twice", class.name));
            }
            if class.aim > class.deadline {
                return fail(path("aim"), "longer than the class's deadline".into());
            }
            if class.width == 0 {
                return fail(path("width"), "a call takes one circuit at least".into());
            }
        }
        for (i, pair) in self.profile.windows(2).enumerate() {
            if pair[0][0] >= pair[1][0] {
                return fail(vec![key("profile"), Index(i + 1)], "no later than the point before".into());
            }
        }
        if self.controllers.attempts == 0 || self.callers.connections == 0 {
            let name = if self.controllers.attempts == 0 { "attempts" } else { "connections" };
            let part = if name == "attempts" { "controllers" } else { "callers" };
            return fail(vec![key(part), key(name)], "one at least is needed".into());
        }
        for (part, name, [from, to]) in [
            ("journal", "notice", self.journal.notice),
            ("journal", "silent", self.journal.silent),
            ("journal", "start", self.journal.start),
            ("advice", "age", self.advice.age),
        ] {
            if from > to {
                return fail(vec![key(part), key(name)], "from is later than to".into());
            }
        }
        for (i, event) in self.events.iter().enumerate() {
            self.check_event(event).map_err(|(name, what)| {
                let tail = if name.is_empty() { None } else { Some(key(name)) };
                ([key("events"), Index(i)].into_iter().chain(tail).collect(), what)
            })?;
        }
        Ok(())
    }

    fn check_event(&self, event: &ScriptEvent) -> Result<(), (&'static str, String)> {
        let name = event.kind.name();
        let (required, others) = event.kind.keys();
        for (key, given) in event.given() {
            if given && !required.contains(&key) && !others.contains(&key) {
                return Err((key, format!("'{name}' has no such key")));
            }
            if !given && required.contains(&key) {
                return Err(("", format!("'{name}' needs the key `{key}`")));
            }
        }
        if event.end_seconds() > self.seconds.0 {
            let key = if event.at.0 > self.seconds.0 { "at" } else { "for" };
            let end = self.seconds.0;
            return Err((key, format!("the event goes on past the end of the script, {end} s")));
        }
        let by = [event.nodes.is_some(), event.regions.is_some(), event.share.is_some()];
        let by = by.into_iter().filter(|b| *b).count();
        if by > 1 {
            return Err(("", "one of `nodes`, `regions` and `share` says what is struck, not two".into()));
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
            return Err(("nodes", "groups are lost between regions: name `regions`".into()));
        }
        if event.every.is_some() && event.length > event.every {
            return Err(("length", "a pause is longer than the time from one to the next".into()));
        }
        Ok(())
    }
}
