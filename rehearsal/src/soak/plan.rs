//! Generates the script of a soak run from a seed: a few seconds in which faults overlap.

use std::collections::BTreeSet;
use std::fmt::Write;

use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// How long calls are offered, in seconds.
const OFFERING_SECONDS: std::ops::RangeInclusive<u32> = 10..=15;
/// How long open calls have after that to end, in seconds.
const RUN_OUT_SECONDS: u32 = 10;
/// Number of nodes, each with a controller.
const NODES: std::ops::RangeInclusive<u32> = 3..=6;
/// Number of faults in a run.
const FAULTS: std::ops::RangeInclusive<u32> = 4..=8;
/// Deadlines of calls, in seconds. SIGKILL follows SIGTERM after the longest deadline, so short ones make it come soon.
const DEADLINES_SECONDS: [f64; 4] = [1.0, 2.0, 3.0, 9.0];
/// The earliest start of a fault, in seconds.
const FIRST_FAULT_SECONDS: f64 = 2.0;

/// The stream of random numbers for processes that are taken over. With a stream of its own, these events are added to the
/// faults of a seed and change none of them.
const TAKEOVER_STREAM: u64 = 1;
/// Number of nodes whose processes are taken over, and how often in a row.
const TAKEOVER_NODES: std::ops::RangeInclusive<usize> = 1..=2;
const TAKEOVERS_IN_A_ROW: std::ops::RangeInclusive<u32> = 1..=3;
/// Time in seconds from one takeover of a node to the next.
const TAKEOVER_GAP_SECONDS: [f64; 2] = [1.2, 4.0];
/// The last start of a takeover before the end of the offering, in seconds.
const LAST_TAKEOVER_SECONDS: f64 = 2.0;

/// Generates the events of a script.
struct EventGenerator {
    rng: ChaCha8Rng,
    nodes: u32,
    /// How long calls are offered.
    seconds: f64,
    /// Nodes whose machine is stopped or cut off by a fault.
    stopped_nodes: BTreeSet<u32>,
}

impl EventGenerator {
    /// A random number in this range, rounded to two decimals.
    fn between(&mut self, from: f64, to: f64) -> f64 {
        (self.rng.random_range(from..=to) * 100.0).round() / 100.0
    }

    /// The `nodes` key with one random node.
    fn node(&mut self) -> String {
        nodes_key(&[self.rng.random_range(0..self.nodes)])
    }

    /// The `nodes` key with one random node, whose machine is stopped.
    fn stopped_node(&mut self) -> String {
        let node = self.rng.random_range(0..self.nodes);
        self.stopped_nodes.insert(node);
        nodes_key(&[node])
    }

    fn draw_some_nodes(&mut self) -> Vec<u32> {
        let first = self.rng.random_range(0..self.nodes);
        let second = self.rng.random_range(0..self.nodes);
        if first == second || self.rng.random_bool(0.5) {
            return vec![first];
        }
        vec![first, second]
    }

    /// The `nodes` key with one or two random nodes.
    fn some_nodes(&mut self) -> String {
        nodes_key(&self.draw_some_nodes())
    }

    /// An event with the keys `rest` that starts at this time. Its random duration is cut at the end of the offering.
    fn timed_event(&mut self, at: f64, duration_range: [f64; 2], rest: &str) -> String {
        let duration = self.between(duration_range[0], duration_range[1]).min(self.seconds - at).max(0.1);
        format!("{{ at: {at:.2}, for: {duration:.2}, {rest} }}")
    }

    /// The events of one random fault; some faults combine several events.
    fn fault(&mut self) -> Vec<String> {
        let at = self.between(FIRST_FAULT_SECONDS, self.seconds - 1.5);
        match self.rng.random_range(0..18) {
            0 => self.shutdowns(at),
            1 => self.shutdowns_while_exchanges_hang(at),
            2 => self.vanish_during_journal_outage(at),
            3 => self.drain_before_journal_recovery(at),
            4 => self.reloads(at),
            5 => {
                let node = self.node();
                vec![self.timed_event(at, [2.0, 6.0], &format!("kind: 'bad-callers', every: 0.1, {node}"))]
            }
            6 => {
                // What ends while a node is cut off could not be told if its process ended as well.
                let cut_off = self.draw_some_nodes();
                self.stopped_nodes.extend(&cut_off);
                let nodes = nodes_key(&cut_off);
                vec![self.timed_event(at, [0.5, 6.0], &format!("kind: 'cut-off', {nodes}"))]
            }
            7 => {
                let nodes = self.some_nodes();
                vec![self.timed_event(at, [0.3, 1.0], &format!("kind: 'no-new-connections', {nodes}"))]
            }
            8 => vec![format!("{{ at: {at:.2}, kind: 'silent-connections', {} }}", self.some_nodes())],
            9 => vec![format!("{{ at: {at:.2}, kind: 'reset-connections', {} }}", self.some_nodes())],
            10 => {
                let nodes = self.some_nodes();
                vec![self.timed_event(at, [1.0, 8.0], &format!("kind: 'hang', {nodes}"))]
            }
            11 => vec![format!("{{ at: {at:.2}, kind: 'controller-killed', down: 0.3, {} }}", self.node())],
            12 => {
                let down = self.between(0.5, 4.0);
                vec![format!(
                    "{{ at: {at:.2}, kind: 'restart-cold', down: {down}, {} }}",
                    self.stopped_node()
                )]
            }
            13 => vec![self.replacement(at)],
            14 => {
                let node = self.node();
                vec![self.timed_event(at, [1.0, 4.0], &format!("kind: 'demand', times: 4, {node}"))]
            }
            15 => {
                let nodes = self.some_nodes();
                vec![self.timed_event(at, [1.0, 6.0], &format!("kind: 'spoilt-answers', {nodes}"))]
            }
            16 => {
                let length = self.between(0.2, 3.0);
                vec![self.timed_event(at, [2.0, 8.0], &format!("kind: 'journal-slow', length: {length}"))]
            }
            _ => vec![self.timed_event(at, [1.0, 5.0], "kind: 'ignore-advice'")],
        }
    }

    /// The replacement of a node's machine, at the same or at a new address.
    fn replacement(&mut self, at: f64) -> String {
        let (drain, same_address) = (self.between(0.5, 3.0), self.rng.random_bool(0.5));
        let node = self.stopped_node();
        format!("{{ at: {at:.2}, kind: 'replace', drain: {drain}, down: 0.3, same_address: {same_address}, {node} }}")
    }

    /// Shutdowns of several controllers, one after another.
    fn shutdowns(&mut self, at: f64) -> Vec<String> {
        let (count, gap) = (self.rng.random_range(1..=self.nodes), self.between(0.0, 1.5));
        let first = self.rng.random_range(0..self.nodes);
        let node = |i: u32| (first + i) % self.nodes;
        let shutdowns = (0..count).map(|i| (at + f64::from(i) * gap, node(i)));
        let in_time = shutdowns.filter(|(at, _)| *at < self.seconds);
        in_time
            .map(|(at, n)| format!("{{ at: {at:.2}, kind: 'controller-restarted', nodes: ['n{n}'] }}"))
            .collect()
    }

    /// Shutdowns of controllers while some exchanges hang.
    fn shutdowns_while_exchanges_hang(&mut self, at: f64) -> Vec<String> {
        let nodes = self.some_nodes();
        let mut events = self.shutdowns(at);
        events.push(self.timed_event((at - 0.5).max(0.0), [4.0, 8.0], &format!("kind: 'hang', {nodes}")));
        events
    }

    /// Nodes vanish while the journal services are down, so that the controllers have to detect it by themselves.
    fn vanish_during_journal_outage(&mut self, at: f64) -> Vec<String> {
        let vanishing = self.draw_some_nodes();
        self.stopped_nodes.extend(&vanishing);
        let (nodes, kind) = (nodes_key(&vanishing), self.journal_outage());
        let (down_at, at) = ((at - 1.0).max(0.0), at.min(self.seconds - 1.0));
        vec![
            self.timed_event(down_at, [3.0, 12.0], &format!("kind: '{kind}'")),
            self.timed_event(at, [3.0, 10.0], &format!("kind: 'vanish', {nodes}")),
        ]
    }

    /// A node is drained and replaced within a second before the journal services recover.
    fn drain_before_journal_recovery(&mut self, at: f64) -> Vec<String> {
        let kind = self.journal_outage();
        let down = self.between(1.0, 5.0).min(self.seconds - at);
        let drain_at = (at + down - self.between(0.0, 1.0)).max(at);
        vec![
            format!("{{ at: {at:.2}, for: {down:.2}, kind: '{kind}' }}"),
            self.replacement(drain_at.min(self.seconds)),
        ]
    }

    /// Processes that end without notice and are replaced at their address, at nodes that no other fault stops or cuts off.
    fn takeovers(&mut self) -> Vec<String> {
        let mut free_nodes: Vec<u32> =
            (0..self.nodes).filter(|node| !self.stopped_nodes.contains(node)).collect();
        free_nodes.shuffle(&mut self.rng);
        free_nodes.truncate(self.rng.random_range(TAKEOVER_NODES));
        free_nodes.into_iter().flat_map(|node| self.takeovers_of_node(node)).collect()
    }

    fn takeovers_of_node(&mut self, node: u32) -> Vec<String> {
        let latest = self.seconds - LAST_TAKEOVER_SECONDS;
        let mut at = self.between(FIRST_FAULT_SECONDS, latest);
        let mut events = Vec::new();
        for _ in 0..self.rng.random_range(TAKEOVERS_IN_A_ROW) {
            if at > latest {
                break;
            }
            if self.rng.random_bool(0.4) {
                let lost_at = (at - self.between(0.2, 1.5)).max(0.0);
                events.push(format!("{{ at: {lost_at:.2}, kind: 'reset-connections', nodes: ['n{node}'] }}"));
            }
            events.push(self.takeover(at, node));
            at += self.between(TAKEOVER_GAP_SECONDS[0], TAKEOVER_GAP_SECONDS[1]);
        }
        events
    }

    /// A takeover. The new process may have booted before the old one ends, and the journal may tell of it early or late.
    fn takeover(&mut self, at: f64, node: u32) -> String {
        let dies_after = self.between(0.3, 0.8);
        let (same_id, vanishes) = (self.rng.random_bool(0.25), self.rng.random_bool(0.3));
        let boots_after = match self.rng.random_range(0..10) {
            0..5 => Some(self.between((dies_after - 0.5).max(0.0), dies_after)),
            5..8 => Some(self.between(dies_after, dies_after + 0.5)),
            _ if same_id => Some(dies_after),
            _ => None,
        };
        let gone_after = self.report_time(dies_after);
        let listed_after = if self.rng.random_bool(0.6) { gone_after } else { self.report_time(dies_after) };
        let under_way = if self.rng.random_bool(0.5) { self.between(0.01, 0.1) } else { 0.0 };
        let others = if self.rng.random_bool(0.6) { self.rng.random_range(1..40) } else { 0 };
        let down = self.between(0.0, 0.3);
        let boots = boots_after.map_or(String::new(), |after| format!("boots_after: {after:.2}, "));
        format!(
            "{{ at: {at:.2}, kind: 'takeover', dies_after: {dies_after:.2}, down: {down:.2}, {boots}\
             gone_after: {gone_after:.2}, listed_after: {listed_after:.2}, under_way: {under_way:.2}, \
             others: {others}, vanishes: {vanishes}, same_id: {same_id}, nodes: ['n{node}'] }}"
        )
    }

    /// When the journal learns of a takeover: shortly before the end of the process, at once, or seconds later.
    fn report_time(&mut self, dies_after: f64) -> f64 {
        match self.rng.random_range(0..10) {
            0..2 => self.between((dies_after - 0.3).max(0.0), dies_after),
            2..6 => self.between(dies_after, dies_after + 0.5),
            _ => self.between(dies_after + 0.5, dies_after + 5.0),
        }
    }

    fn journal_outage(&mut self) -> &'static str {
        ["journal-broken", "journal-silent"].choose(&mut self.rng).copied().unwrap_or("journal-broken")
    }

    /// Five reloads of one controller's configuration, 0.15 s apart.
    fn reloads(&mut self, at: f64) -> Vec<String> {
        let node = self.node();
        let times = (0..5).map(|i| at + 0.15 * f64::from(i));
        times.map(|at| format!("{{ at: {at:.2}, kind: 'controller-reloaded', {node} }}")).collect()
    }
}

/// The `nodes` key of an event.
fn nodes_key(nodes: &[u32]) -> String {
    let names: Vec<String> = nodes.iter().map(|node| format!("'n{node}'")).collect();
    format!("nodes: [{}]", names.join(", "))
}

/// Generates the script of a seed, as JSON5 text.
pub fn generate(seed: u64) -> String {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (nodes, seconds) = (rng.random_range(NODES), f64::from(rng.random_range(OFFERING_SECONDS)));
    let deadline = DEADLINES_SECONDS.choose(&mut rng).copied().unwrap_or(DEADLINES_SECONDS[0]);
    let many_connections = rng.random_bool(0.2);
    let mut generator = EventGenerator { rng, nodes, seconds, stopped_nodes: BTreeSet::new() };
    let aim = (0.6 * deadline).min(1.2);
    let (hold, load, patience) =
        (generator.between(1.5, 8.0), generator.between(0.4, 0.9), generator.between(0.35, 1.0));
    let connections = if many_connections { 60 } else { 4 };
    let mut text = String::new();
    // Writing to a String cannot fail.
    let _ = writeln!(text, "// Generated from seed {seed}.");
    let _ = writeln!(
        text,
        "{{\n  name: 'soak-{seed}', seconds: {seconds}, run_out: {RUN_OUT_SECONDS}, nodes: {nodes},"
    );
    let _ = writeln!(text, "  planned_calls: {}, load: {load},", 10 * nodes);
    let _ = writeln!(
        text,
        "  classes: [{{ name: 'view', share: 1, worth: 1, hold: {hold}, aim: {aim}, deadline: {deadline} }}],"
    );
    let (half_close, pieces) = (generator.between(0.0, 0.2), generator.between(0.0, 0.2));
    let _ = writeln!(text, "  callers: {{ patience: {patience}, pause: 0.3, connections: {connections},");
    let _ = writeln!(text, "             half_close: {half_close}, pieces: {pieces} }},");
    let _ =
        writeln!(text, "  journal: {{ notice: [0.2, 2], silent: [2, 6], start: [0.2, 1] }},\n  events: [");
    let faults = generator.rng.random_range(FAULTS);
    for event in (0..faults).flat_map(|_| generator.fault()) {
        let _ = writeln!(text, "    {event},");
    }
    generator.rng = ChaCha8Rng::seed_from_u64(seed);
    generator.rng.set_stream(TAKEOVER_STREAM);
    for event in generator.takeovers() {
        let _ = writeln!(text, "    {event},");
    }
    text.push_str("  ],\n}\n");
    text
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::script::Script;

    #[test]
    fn generates_valid_and_reproducible_scripts() {
        for seed in 0..500 {
            let text = generate(seed);
            let script = Script::parse("plan", &text).unwrap_or_else(|e| panic!("{e}\n{text}"));
            assert!(script.events.len() >= 4 && text == generate(seed), "{text}");
        }
        let with_takeover = (0..500).filter(|seed| generate(*seed).contains("'takeover'")).count();
        assert!(with_takeover > 400, "{with_takeover} of 500");
        assert_ne!(generate(1), generate(2));
    }
}
