//! Trunk groups, traffic between pairs of nodes, message delays, and the routes that the centre advises.

use pitchgw::interface::Nanos;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal, StandardNormal};

use super::seconds_to_nanos;
use crate::script::Script;

/// A trunk group: the circuits between two nodes.
#[derive(Clone, Copy, Debug, Default)]
pub struct TrunkGroup {
    /// Circuits installed.
    pub size: u32,
    /// Circuits in service, after losses.
    pub in_service: u32,
    /// Circuits in use.
    pub in_use: u32,
}

impl TrunkGroup {
    /// Returns the number of free circuits.
    pub fn free(&self) -> u32 {
        self.in_service.saturating_sub(self.in_use)
    }
}

/// State of the trunk groups and of the traffic between the nodes.
pub struct Network {
    nodes: usize,
    /// By node.
    region: Vec<usize>,
    /// Matrix by node pair, of which only the entries with the lower node as the row are used.
    groups: Vec<TrunkGroup>,
    /// Matrix of traffic shares by origin (row) and destination; each row sums to 1.
    traffic: Vec<f64>,
    /// The same with the current drift.
    drifted_traffic: Vec<f64>,
    /// Free circuits by group at the centre's last two snapshots. Advice uses the older one, which is first.
    free_snapshots: [Vec<u32>; 2],
    rng: ChaCha8Rng,
}

/// Draws a log-normal factor with mean 1 and the given coefficient of variation.
fn log_normal_factor(rng: &mut ChaCha8Rng, variation: f64) -> f64 {
    let log_variance = (1.0 + variation * variation).ln();
    LogNormal::new(-log_variance / 2.0, log_variance.sqrt()).map_or(1.0, |d| d.sample(rng))
}

/// Scales each row of a square matrix to the sum 1.
fn normalize_rows(nodes: usize, weights: &mut [f64]) {
    for row in weights.chunks_mut(nodes) {
        let sum: f64 = row.iter().sum();
        row.iter_mut().for_each(|w| *w /= sum);
    }
}

impl Network {
    /// Draws planned and actual traffic, which differ, and sizes the trunk groups for the planned traffic.
    pub fn new(script: &Script, mut rng: ChaCha8Rng) -> Network {
        let nodes = script.nodes as usize;
        let region: Vec<usize> = (0..nodes).map(|n| script.region(n)).collect();
        let (mut plan, mut traffic) = (vec![0.0; nodes * nodes], vec![0.0; nodes * nodes]);
        for a in 0..nodes {
            for b in (0..nodes).filter(|b| *b != a) {
                let region_factor = if region[a] == region[b] { script.groups.local.0 } else { 1.0 };
                let planned = region_factor * log_normal_factor(&mut rng, script.groups.pair_spread.0);
                plan[a * nodes + b] = planned;
                traffic[a * nodes + b] = planned * log_normal_factor(&mut rng, script.groups.missed.0);
            }
        }
        normalize_rows(nodes, &mut plan);
        normalize_rows(nodes, &mut traffic);
        let shares: f64 = script.classes.iter().map(|c| c.share.0).sum();
        let circuit_seconds =
            script.classes.iter().map(|c| c.share.0 * c.hold.0 * f64::from(c.width)).sum::<f64>();
        let erlangs_per_node = script.planned_calls.0 / nodes as f64 * circuit_seconds / shares;
        let mut groups = vec![TrunkGroup::default(); nodes * nodes];
        for a in 0..nodes {
            for b in a + 1..nodes {
                let load = erlangs_per_node * (plan[a * nodes + b] + plan[b * nodes + a]);
                let size = (load + script.groups.spare_roots.0 * load.sqrt()).ceil() as u32;
                groups[a * nodes + b] = TrunkGroup { size, in_service: size, in_use: 0 };
            }
        }
        let drifted_traffic = traffic.clone();
        let free: Vec<u32> = groups.iter().map(TrunkGroup::free).collect();
        Network { nodes, region, groups, traffic, drifted_traffic, free_snapshots: [free.clone(), free], rng }
    }

    fn group_index(&self, a: usize, b: usize) -> usize {
        a.min(b) * self.nodes + a.max(b)
    }

    /// Returns the trunk group between two nodes.
    pub fn group(&self, a: usize, b: usize) -> TrunkGroup {
        self.groups[self.group_index(a, b)]
    }

    /// Returns the trunk group between two nodes for modification.
    pub fn group_mut(&mut self, a: usize, b: usize) -> &mut TrunkGroup {
        let index = self.group_index(a, b);
        &mut self.groups[index]
    }

    /// Draws a new drift of the traffic.
    pub fn drift(&mut self, script: &Script) {
        for (i, w) in self.drifted_traffic.iter_mut().enumerate() {
            *w = self.traffic[i] * log_normal_factor(&mut self.rng, script.groups.drift.0);
        }
        normalize_rows(self.nodes, &mut self.drifted_traffic);
    }

    /// Returns the share of a node's calls that go to another node, without drift.
    pub fn traffic_share(&self, from: usize, to: usize) -> f64 {
        self.traffic[from * self.nodes + to]
    }

    /// Returns the destination of a call from a node for a uniform random number between 0 and 1.
    pub fn draw_destination(&self, from: usize, draw: f64) -> usize {
        let row = &self.drifted_traffic[from * self.nodes..][..self.nodes];
        let mut remaining = draw;
        let covers_draw = |(_, w): &(usize, &f64)| {
            remaining -= **w;
            remaining < 0.0
        };
        let found = row.iter().enumerate().find(covers_draw).map(|(n, _)| n);
        found.filter(|n| *n != from).unwrap_or(if from + 1 == self.nodes { 0 } else { self.nodes - 1 })
    }

    /// Draws the delay of a message from one node to another.
    pub fn delay(&self, script: &Script, rng: &mut ChaCha8Rng, from: usize, to: usize) -> Nanos {
        let delays = &script.network;
        let mean = if self.region[from] == self.region[to] { delays.same.0 } else { delays.cross.0 };
        let normal: f64 = StandardNormal.sample(rng);
        seconds_to_nanos(mean * (1.0 + delays.jitter.0 * normal).clamp(0.2, 3.0))
    }

    /// Records the free circuits of all groups. Advice then uses the previous snapshot.
    pub fn take_snapshot(&mut self) {
        let free = self.groups.iter().map(TrunkGroup::free).collect();
        self.free_snapshots = [std::mem::take(&mut self.free_snapshots[1]), free];
    }

    /// Returns the tandem between two nodes with the most free circuits in the older snapshot, if any had some.
    pub fn advised_tandem(&self, a: usize, b: usize) -> Option<usize> {
        let free_circuits = |t: usize| {
            self.free_snapshots[0][self.group_index(a, t)].min(self.free_snapshots[0][self.group_index(t, b)])
        };
        let tandems = (0..self.nodes).filter(|t| *t != a && *t != b);
        tandems.max_by_key(|t| (free_circuits(*t), std::cmp::Reverse(*t))).filter(|t| free_circuits(*t) > 0)
    }

    /// Sets the share of a group's circuits that is in service. Returns by how many the circuits in use exceed it.
    pub fn set_in_service_share(&mut self, a: usize, b: usize, share: f64) -> u32 {
        let group = self.group_mut(a, b);
        group.in_service = (f64::from(group.size) * share).round() as u32;
        group.in_use.saturating_sub(group.in_service)
    }
}
