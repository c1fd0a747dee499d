//! Links to exchanges, across their connections.

use std::collections::btree_map::Entry;
use std::net::SocketAddr;

use pitchgw::interface::{ExchangeId, ExchangeState, Nanos};

use super::close_reason::CloseReason;
use super::failure_detector::FailureDetector;
use super::{ConnId, Engine, Peer};
use crate::call::{AttemptProgress, Deadline, EngineDeadline, ExchangeRequest};
use crate::clock::MS;
use crate::session::exchange::ExchangeSession;

/// Pause before an exchange is connected to again after it could not be reached.
const REDIAL: Nanos = 250 * MS;
/// So many refused connections in a row tell that the process has ended. One alone could be a restart of the
/// listener; the calls that stand there are worth the wait.
const REFUSALS: u32 = 3;

/// A message that does not become whole for so long never will, and nothing that follows it can be read.
const HALF: Nanos = 500 * MS;

/// A connection on which nothing at all comes for so long after a set-up is dead, however open it looks: an
/// exchange tells the state of the group at once, even while its processor answers nothing. Each time that a
/// new connection stays as silent the next one is given twice as long, for then it is the exchange.
const SILENT: Nanos = 200 * MS;
/// So many times at the most.
const PATIENCE: u32 = 4;

/// The link to an exchange, across its connections.
pub struct Link {
    pub session: ExchangeSession,
    pub(super) address: SocketAddr,
    pub(super) conn: Option<ConnId>,
    /// A connection that checks whether the exchange lives.
    pub(super) check: Option<ConnId>,
    pub(super) detector: FailureDetector,
    /// Refusals in a row, and when the last was counted.
    refused: u32,
    refused_at: Nanos,
    /// When a connection last came up, and when something last came on one.
    up_at: Nanos,
    pub(super) heard_at: Nanos,
    /// A redial is among the deadlines.
    redial: bool,
    /// When the first set-up was sent since anything came, and connections in a row that stayed silent.
    unheard_since: Option<Nanos>,
    silent: u32,
}

impl Link {
    /// Something came.
    fn heard(&mut self, now: Nanos) {
        self.unheard_since = None;
        self.silent = 0;
        self.heard_at = now;
        if self.session.has_requests {
            self.detector.heard(now);
        } else {
            self.detector.heard_unasked(now, self.up_at);
        }
    }

    /// Counts a refused connection; true if the process at the other end has ended. Set-ups dial too: refusals of
    /// one moment count once.
    pub(super) fn count_refusal(&mut self, now: Nanos) -> bool {
        if now >= self.refused_at + REDIAL {
            self.refused += 1;
            self.refused_at = now;
        }
        self.refused >= REFUSALS
    }
}

impl Engine {
    /// Brings the links in step with the list.
    pub(super) fn listed(&mut self) {
        let home = self.calls.settings().module.home_exchange;
        let wanted = self.calls.directory.machines().filter(|(_, m)| Some(m.number) != home);
        let wanted: Vec<_> = wanted.map(|(id, m)| (id, m.address, m.standing)).collect();
        for (id, address, standing) in wanted {
            let link = self.links.get(&id);
            if standing == ExchangeState::Gone {
                continue;
            }
            if link.is_some_and(|l| l.address != address) {
                self.drop_link(id);
            }
            if let Entry::Vacant(place) = self.links.entry(id) {
                let session = ExchangeSession::default();
                place.insert(Link {
                    session,
                    address,
                    conn: None,
                    check: None,
                    detector: FailureDetector::new(self.now),
                    refused: 0,
                    refused_at: 0,
                    up_at: 0,
                    heard_at: self.now,
                    redial: false,
                    unheard_since: None,
                    silent: 0,
                });
                self.connect(id);
                if self.calls.standing_calls_at(id) > 0 {
                    self.watch(id);
                }
            }
        }
    }

    pub(super) fn drop_link(&mut self, id: ExchangeId) {
        self.end_check(id);
        if let Some(link) = self.links.remove(&id) {
            link.conn.and_then(|token| self.forget(token));
            self.calls.exchange_disconnected(self.now, id, &[]);
        }
    }

    fn connect(&mut self, id: ExchangeId) {
        let Some(link) = self.links.get(&id).filter(|l| l.conn.is_none()) else { return };
        let dialled = self.dial(link.address, Peer::Exchange(id));
        match (dialled, self.links.get_mut(&id)) {
            (Some(token), Some(link)) => link.conn = Some(token),
            _ => self.link_lost(id, true, false),
        }
    }

    /// The connection to an exchange is up.
    pub(super) fn exchange_up(&mut self, id: ExchangeId) {
        if let Some(link) = self.links.get_mut(&id) {
            link.refused = 0;
            link.up_at = self.now;
            link.heard_at = self.now;
            link.detector.connected(self.now);
            if link.session.has_unsent_set_ups() {
                self.listen_for(id);
            }
            self.reachable_again(id);
        }
        tracing::info!(exchange = id, "exchange connected");
        self.calls.counters.increment("sent exchange connections");
    }

    /// Bytes came from an exchange; false if they cannot be read.
    pub(super) fn exchange_said(&mut self, id: ExchangeId, token: ConnId) -> bool {
        let Some(link) = self.links.get_mut(&id) else { return false };
        link.heard(self.now);
        let before = link.session.incomplete_since;
        let readable = link.session.process_input(self.now, id, &mut self.calls).is_ok();
        if link.session.incomplete_since.is_some() && link.session.incomplete_since != before {
            self.calls
                .deadlines
                .add(self.now + HALF, Deadline::Engine(EngineDeadline::IncompleteMessage(id, token)));
        }
        readable
    }

    pub(super) fn redial_due(&mut self, id: ExchangeId) {
        if let Some(link) = self.links.get_mut(&id) {
            link.redial = false;
            self.connect(id);
        }
    }

    pub(super) fn link_lost(&mut self, id: ExchangeId, connect_failed: bool, refused: bool) {
        let Some(link) = self.links.get_mut(&id) else { return };
        (link.conn, link.unheard_since) = (None, None);
        let unsent = link.session.connection_lost();
        let ended = refused && link.count_refusal(self.now);
        if !refused {
            link.refused = 0;
        }
        if !link.redial {
            // A connection that was up is made again at once, for what the exchange has to say meanwhile; one
            // that ended as soon as it was up is not, or the two would keep each other busy.
            link.redial = true;
            let pause = if connect_failed || self.now < link.up_at + REDIAL { REDIAL } else { 0 };
            self.calls.deadlines.add(self.now + pause, Deadline::Engine(EngineDeadline::Reconnect(id)));
        }
        self.calls.exchange_disconnected(self.now, id, &unsent);
        if ended {
            self.calls.exchange_ended(self.now, id, Nanos::MAX);
        }
    }

    /// A set-up goes out on a connection that is up: something has to come back.
    fn listen_for(&mut self, id: ExchangeId) {
        let Some(link) = self.links.get_mut(&id) else { return };
        if let (Some(token), None) = (link.conn, link.unheard_since) {
            link.unheard_since = Some(self.now);
            let due = Deadline::Engine(EngineDeadline::SilenceTimeout(id, token));
            self.calls.deadlines.add(self.now + (SILENT << link.silent), due);
        }
    }

    pub(super) fn silent_due(&mut self, id: ExchangeId, token: ConnId) {
        let Some(link) = self.links.get_mut(&id).filter(|l| l.conn == Some(token)) else { return };
        if link.unheard_since.is_some_and(|since| self.now >= since + (SILENT << link.silent)) {
            link.silent = (link.silent + 1).min(PATIENCE);
            self.close(token, CloseReason::ExchangeSilent);
        }
    }

    pub(super) fn half_due(&mut self, id: ExchangeId, token: ConnId) {
        let link = self.links.get(&id).filter(|l| l.conn == Some(token));
        if link.and_then(|l| l.session.incomplete_since).is_some_and(|since| self.now >= since + HALF) {
            self.close(token, CloseReason::ExchangeMessageIncomplete);
        }
    }

    pub(super) fn say_exchange(&mut self, to: ExchangeId, id: u64, say: &ExchangeRequest) {
        let Some(link) = self.links.get_mut(&to) else {
            if let ExchangeRequest::SetUp { attempt, .. } = say {
                self.calls.attempt_lost(self.now, id, *attempt, AttemptProgress::NeverSent);
            }
            return;
        };
        let goes = link.session.send(id, say);
        let conn = link.conn;
        if let (ExchangeRequest::SetUp { attempt, .. }, false) = (say, goes) {
            self.calls.attempt_lost(self.now, id, *attempt, AttemptProgress::NeverSent);
        }
        match conn {
            Some(token) => {
                self.touched.insert(token);
                if matches!(say, ExchangeRequest::SetUp { .. }) && self.is_up(token) {
                    self.listen_for(to);
                }
            }
            None => self.connect(to),
        }
    }
}
