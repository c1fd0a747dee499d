//! Trunk groups, traffic between the pairs, delays and what the centre advises.

use pitchgw::interface::Nanos;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal, StandardNormal};

use super::seconds_to_nanos;
use crate::script::Script;

/// One group of circuits between two nodes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Group {
    /// Circuits that there are.
    pub size: u32,
    /// Circuits that are left of them, after losses.
    pub kept: u32,
    /// Circuits in use.
    pub used: u32,
}

impl Group {
    /// Free circuits.
    pub fn free(&self) -> u32 {
        self.kept.saturating_sub(self.used)
    }
}

/// Groups, traffic and delays.
pub struct Network {
    nodes: usize,
    region: Vec<usize>,
    groups: Vec<Group>,
    /// True weight of the traffic of each ordered pair; each row sums to 1.
    traffic: Vec<f64>,
    drifted: Vec<f64>,
    /// Free circuits at the centre's last look, and at the one before, which is what is advised by.
    looks: [Vec<u32>; 2],
    rng: ChaCha8Rng,
}

/// A factor of mean 1 with this coefficient of variation.
fn spread(rng: &mut ChaCha8Rng, cv: f64) -> f64 {
    let sigma2 = (1.0 + cv * cv).ln();
    LogNormal::new(-sigma2 / 2.0, sigma2.sqrt()).map_or(1.0, |d| d.sample(rng))
}

fn rows(nodes: usize, weights: &mut [f64]) {
    for row in weights.chunks_mut(nodes) {
        let sum: f64 = row.iter().sum();
        row.iter_mut().for_each(|w| *w /= sum);
    }
}

impl Network {
    /// Draws the traffic and sizes the groups for the plan, which the traffic does not quite follow.
    pub fn new(script: &Script, mut rng: ChaCha8Rng) -> Network {
        let nodes = script.nodes as usize;
        let region: Vec<usize> = (0..nodes).map(|n| script.region(n)).collect();
        let (mut plan, mut traffic) = (vec![0.0; nodes * nodes], vec![0.0; nodes * nodes]);
        for a in 0..nodes {
            for b in (0..nodes).filter(|b| *b != a) {
                let local = if region[a] == region[b] { script.groups.local.0 } else { 1.0 };
                let planned = local * spread(&mut rng, script.groups.pair_spread.0);
                plan[a * nodes + b] = planned;
                traffic[a * nodes + b] = planned * spread(&mut rng, script.groups.missed.0);
            }
        }
        rows(nodes, &mut plan);
        rows(nodes, &mut traffic);
        let shares: f64 = script.classes.iter().map(|c| c.share.0).sum();
        let hold = script.classes.iter().map(|c| c.share.0 * c.hold.0 * f64::from(c.width)).sum::<f64>();
        let erlangs = script.planned_calls.0 / nodes as f64 * hold / shares;
        let mut groups = vec![Group::default(); nodes * nodes];
        for a in 0..nodes {
            for b in a + 1..nodes {
                let load = erlangs * (plan[a * nodes + b] + plan[b * nodes + a]);
                let size = (load + script.groups.spare_roots.0 * load.sqrt()).ceil() as u32;
                groups[a * nodes + b] = Group { size, kept: size, used: 0 };
            }
        }
        let drifted = traffic.clone();
        let free: Vec<u32> = groups.iter().map(Group::free).collect();
        Network { nodes, region, groups, traffic, drifted, looks: [free.clone(), free], rng }
    }

    fn place(&self, a: usize, b: usize) -> usize {
        a.min(b) * self.nodes + a.max(b)
    }

    /// The group between two nodes.
    pub fn group(&self, a: usize, b: usize) -> Group {
        self.groups[self.place(a, b)]
    }

    /// The same, to be changed.
    pub fn group_mut(&mut self, a: usize, b: usize) -> &mut Group {
        let place = self.place(a, b);
        &mut self.groups[place]
    }

    /// Where calls go shifts.
    pub fn drift(&mut self, script: &Script) {
        for (i, w) in self.drifted.iter_mut().enumerate() {
            *w = self.traffic[i] * spread(&mut self.rng, script.groups.drift.0);
        }
        rows(self.nodes, &mut self.drifted);
    }

    /// The part of a node's calls that goes to another, drift left out.
    pub fn share(&self, from: usize, to: usize) -> f64 {
        self.traffic[from * self.nodes + to]
    }

    /// Draws where a call from a node goes, by a number between 0 and 1.
    pub fn destination(&self, from: usize, draw: f64) -> usize {
        let row = &self.drifted[from * self.nodes..][..self.nodes];
        let mut left = draw;
        let fits = |(_, w): &(usize, &f64)| {
            left -= **w;
            left < 0.0
        };
        let found = row.iter().enumerate().find(fits).map(|(n, _)| n);
        found.filter(|n| *n != from).unwrap_or(if from + 1 == self.nodes { 0 } else { self.nodes - 1 })
    }

    /// The time that a message takes from one node to another.
    pub fn delay(&self, script: &Script, rng: &mut ChaCha8Rng, a: usize, b: usize) -> Nanos {
        let net = &script.network;
        let mean = if self.region[a] == self.region[b] { net.same.0 } else { net.cross.0 };
        let normal: f64 = StandardNormal.sample(rng);
        seconds_to_nanos(mean * (1.0 + net.jitter.0 * normal).clamp(0.2, 3.0))
    }

    /// The centre looks at all groups; its look before this one is what it advises by from now on.
    pub fn look(&mut self) {
        let free = self.groups.iter().map(Group::free).collect();
        self.looks = [std::mem::take(&mut self.looks[1]), free];
    }

    /// The tandem between two nodes that had most room at the look that is advised by.
    pub fn advice(&self, a: usize, b: usize) -> Option<usize> {
        let room = |t: usize| self.looks[0][self.place(a, t)].min(self.looks[0][self.place(t, b)]);
        let tandems = (0..self.nodes).filter(|t| *t != a && *t != b);
        tandems.max_by_key(|t| (room(*t), std::cmp::Reverse(*t))).filter(|t| room(*t) > 0)
    }

    /// Takes circuits out of service between two nodes; tells how many calls too many are on it.
    pub fn keep(&mut self, a: usize, b: usize, share: f64) -> u32 {
        let group = self.group_mut(a, b);
        group.kept = (f64::from(group.size) * share).round() as u32;
        group.used.saturating_sub(group.kept)
    }
}
