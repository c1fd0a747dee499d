//! Links to exchanges, across their connections.

use std::collections::btree_map::Entry;
use std::net::SocketAddr;

use pitchgw::interface::{ExchangeId, Nanos, Standing};

use super::conn::Peer;
use super::Driver;
use crate::call::{Came, Due, LinkDue, ToExchange};
use crate::clock::MS;
use crate::session::exchange::Exchange;

/// Pause before an exchange is connected to again after it could not be reached.
const REDIAL: Nanos = 250 * MS;
/// So many refused connections in a row tell that the process has ended. One alone could be a restart of the
/// listener; the calls that stand there are worth the wait.
const REFUSALS: u32 = 3;

/// A message that does not become whole for so long never will, and nothing that follows it can be read.
pub const HALF: Nanos = 500 * MS;

/// The link to an exchange, across its connections.
pub struct Link {
    pub session: Exchange,
    address: SocketAddr,
    conn: Option<u64>,
    /// Refusals in a row, and when the last was counted.
    pub refused: u32,
    refused_at: Nanos,
    /// When a connection last came up.
    pub up_at: Nanos,
    /// A redial is among the deadlines.
    pub redial: bool,
}

impl Driver {
    /// Brings the links in step with the list.
    pub(super) fn listed(&mut self) {
        let home = self.calls.told().module.home;
        let wanted = self.calls.directory.machines().filter(|(_, m)| Some(m.number) != home);
        let wanted: Vec<_> = wanted.map(|(id, m)| (id, m.address, m.standing)).collect();
        for (id, address, standing) in wanted {
            let link = self.links.get(&id);
            if standing == Standing::Gone {
                continue;
            }
            if link.is_some_and(|l| l.address != address) {
                self.drop_link(id);
            }
            if let Entry::Vacant(place) = self.links.entry(id) {
                let session = Exchange::default();
                place.insert(Link {
                    session,
                    address,
                    conn: None,
                    refused: 0,
                    refused_at: 0,
                    up_at: 0,
                    redial: false,
                });
                self.connect(id);
            }
        }
    }

    pub(super) fn drop_link(&mut self, id: ExchangeId) {
        if let Some(link) = self.links.remove(&id) {
            link.conn.and_then(|token| self.forget(token));
            self.calls.exchange_lost(self.now, id, &[]);
        }
    }

    pub(super) fn connect(&mut self, id: ExchangeId) {
        let Some(link) = self.links.get(&id).filter(|l| l.conn.is_none()) else { return };
        let dialled = self.dial(link.address, Peer::Exchange(id));
        match (dialled, self.links.get_mut(&id)) {
            (Ok(token), Some(link)) => link.conn = Some(token),
            (failed, _) => self.link_lost(id, true, failed == Err(true)),
        }
    }

    pub(super) fn link_lost(&mut self, id: ExchangeId, unmade: bool, refused: bool) {
        let Some(link) = self.links.get_mut(&id) else { return };
        link.conn = None;
        let unsent = link.session.lost();
        if !refused {
            link.refused = 0;
        } else if self.now >= link.refused_at + REDIAL {
            // Set-ups dial too: refusals of one moment count once.
            (link.refused, link.refused_at) = (link.refused + 1, self.now);
        }
        if !link.redial {
            // A connection that was up is made again at once, for what the exchange has to say meanwhile; one
            // that ended as soon as it was up is not, or the two would keep each other busy.
            link.redial = true;
            let pause = if unmade || self.now < link.up_at + REDIAL { REDIAL } else { 0 };
            self.calls.deadlines.add(self.now + pause, Due::Link(LinkDue::Redial(id)));
        }
        let ended = link.refused >= REFUSALS;
        self.calls.exchange_lost(self.now, id, &unsent);
        if ended {
            self.calls.exchange_ended(self.now, id, Nanos::MAX);
        }
    }

    pub(super) fn half_due(&mut self, id: ExchangeId, token: u64) {
        let link = self.links.get(&id).filter(|l| l.conn == Some(token));
        if link.and_then(|l| l.session.half).is_some_and(|since| self.now >= since + HALF) {
            self.calls.counters.up("closed exchanges with half a message");
            self.close(token);
        }
    }

    pub(super) fn say_exchange(&mut self, to: ExchangeId, id: u64, say: &ToExchange) {
        let Some(link) = self.links.get_mut(&to) else {
            if let ToExchange::SetUp { attempt, .. } = say {
                self.calls.attempt_lost(self.now, id, *attempt, Came::NeverSent);
            }
            return;
        };
        let goes = link.session.say(id, say);
        let conn = link.conn;
        if let (ToExchange::SetUp { attempt, .. }, false) = (say, goes) {
            self.calls.attempt_lost(self.now, id, *attempt, Came::NeverSent);
        }
        match conn {
            Some(token) => {
                self.touched.insert(token);
            }
            None => self.connect(to),
        }
    }
}
