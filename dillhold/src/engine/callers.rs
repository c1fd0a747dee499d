//! Connections from callers: who is let in, who has to make room, and by which of them a call's end is told.

use pitchgw::interface::Nanos;

use super::close_reason::CloseReason;
use super::{ConnId, Engine, Peer};
use crate::call::{CallerConnId, CallerNotification, Deadline, EngineDeadline};
use crate::clock::MS;
use crate::session::caller::CallerSession;

/// A connection that was told nothing within this time is closed, unless a set-up is open on it: whoever sends
/// nothing, or nothing that can be answered, is owed a word or a close within 3 s.
const NO_WORD: Nanos = 2_500 * MS;
/// A message that does not become whole for so long never will.
const HALF: Nanos = 2_500 * MS;
/// A connection on which no call is open or stands is closed after so long. Callers close such connections
/// after 4 s themselves; those that never do would take all descriptors in time.
const IDLE: Nanos = 5_000 * MS;
/// So many connections are kept however idle they are: on one of them the end of a call of before the start may have
/// to be told, by a program that knows nothing of that call.
const IDLE_KEPT: usize = 8;
/// Time between two looks at a connection.
const LOOK: Nanos = 500 * MS;
/// A release waits so long for a connection that is known to have a caller at its other end. Towards the caller
/// it is due within a second.
const FOR_A_CALLER: Nanos = 400 * MS;

/// A release for which no such connection came is told to so many others at once.
const TOLD_AT_ONCE: usize = 16;

/// The books on connections from callers.
#[derive(Default)]
pub struct Callers {
    /// How many there are.
    pub count: usize,
    /// Releases that wait for a connection: since when, the call and the cause.
    undelivered: Vec<(Nanos, u64, u8)>,
}

impl Engine {
    /// A caller connects. Tells the number of its connection, or that there is no room for it.
    pub fn accepted(&mut self) -> Option<ConnId> {
        let full =
            self.callers.count >= self.bounds.max_callers || self.conns.len() >= self.bounds.max_connections;
        if full && !self.make_room() {
            self.calls.counters.increment("errors callers over the limit");
            return None;
        }
        let token = self.add(Peer::Caller(CallerSession::default()), false);
        self.callers.count += 1;
        self.calls.counters.increment("taken caller connections");
        self.calls.deadlines.add(self.now + NO_WORD, Deadline::Engine(EngineDeadline::CallerCheck(token)));
        self.touched.insert(token);
        self.deliver(None);
        Some(token)
    }

    /// Closes the connection that is of least use: the oldest of those never told that a call stands, else the
    /// one that has been quiet for longest. One that has a call, or has an answer still to be written, stays:
    /// closing it once cost callers their answers, and their releases went to strangers.
    fn make_room(&mut self) -> bool {
        // What was decided in this turn is written first: a connection may look idle with its answer on the way.
        self.run_commands();
        let free = |token: &u64| !self.calls.has_calls(*token) && self.pending_bytes(*token).is_empty();
        let callers = self.conns.iter().filter_map(|(token, conn)| match &conn.peer {
            Peer::Caller(caller) => {
                Some((caller.confirmed, if caller.confirmed { caller.last_message_at } else { 0 }, *token))
            }
            _ => None,
        });
        let least = callers.filter(|(.., token)| free(token)).min();
        if let Some((.., token)) = least {
            self.close(token, CloseReason::MakeRoom);
        }
        least.is_some()
    }

    /// Looks at a connection from callers; one that is of no use is closed.
    pub(super) fn caller_due(&mut self, token: ConnId) {
        // An answer that was decided in this turn is a word too.
        self.run_commands();
        let Some(conn) = self.conns.get(&token) else { return };
        let Peer::Caller(caller) = &conn.peer else { return };
        let since = |at: Nanos| self.now.saturating_sub(at);
        let half = !caller.read_buffer.unread().is_empty() && since(conn.read) >= HALF;
        let no_word = !caller.notified && !self.calls.has_open_set_ups(token);
        let quiet = since(caller.last_message_at.max(conn.opened)) >= IDLE;
        let idle = quiet && !self.calls.has_calls(token) && self.callers.count > IDLE_KEPT;
        let reason = match (half, no_word, idle) {
            (true, _, _) => Some(CloseReason::CallerMessageIncomplete),
            (_, true, _) => Some(CloseReason::CallerUnanswered),
            (_, _, true) => Some(CloseReason::CallerIdle),
            _ => None,
        };
        if let Some(reason) = reason {
            return self.close(token, reason);
        }
        self.calls.deadlines.add(self.now + LOOK, Deadline::Engine(EngineDeadline::CallerCheck(token)));
    }

    pub(super) fn say_caller(&mut self, link: Option<CallerConnId>, id: u64, say: &CallerNotification) {
        let own = link.filter(|token| self.is_caller(*token));
        let token = match say {
            // What ends a call that stands may go to any caller, by the connection of its set-up first. To be
            // known as a caller's a connection must have been told of a call that stands: whoever only tests
            // or says nothing will hardly listen.
            CallerNotification::Released(_) => {
                let proven = |token: &u64| self.can_hear(*token, true);
                own.filter(|t| self.can_hear(*t, false))
                    .or_else(|| self.conns.keys().rev().copied().find(proven))
            }
            _ => own,
        };
        match (token, say) {
            (Some(token), say) => self.write_caller(token, id, say),
            (None, CallerNotification::Released(cause))
                if self.callers.undelivered.len() < self.bounds.max_standing_calls =>
            {
                self.callers.undelivered.push((self.now, id, *cause));
                self.calls
                    .deadlines
                    .add(self.now + FOR_A_CALLER, Deadline::Engine(EngineDeadline::DeliverReleases));
            }
            _ => self.calls.counters.increment("errors answers without a connection"),
        }
    }

    /// Whether a caller's connection can still be written to, and is known to be one if that is asked for.
    fn can_hear(&self, token: ConnId, proven: bool) -> bool {
        let conn = self.conns.get(&token).filter(|c| !c.ended && !c.unreadable && !c.finishing);
        conn.is_some_and(|c| matches!(&c.peer, Peer::Caller(caller) if caller.confirmed || !proven))
    }

    fn write_caller(&mut self, token: ConnId, id: u64, say: &CallerNotification) {
        let Some(Peer::Caller(caller)) = self.conns.get_mut(&token).map(|c| &mut c.peer) else { return };
        let first = !caller.confirmed;
        caller.send(self.now, id, say);
        self.touched.insert(token);
        if first && matches!(say, CallerNotification::Answer(_)) {
            self.deliver(Some(token));
        }
    }

    /// Says the releases that waited for a connection: on this one, which is known to have a caller at its
    /// other end; those that have waited for long on any.
    pub(super) fn deliver(&mut self, proven: Option<ConnId>) {
        if self.callers.undelivered.is_empty() {
            return;
        }
        let to = proven.map_or_else(|| self.may_be_callers(), |token| vec![token]);
        if to.is_empty() {
            return;
        }
        let until = self.now;
        let waits = |since: Nanos| proven.is_none() && until < since + FOR_A_CALLER;
        let waiting = std::mem::take(&mut self.callers.undelivered);
        for (since, id, cause) in waiting {
            if waits(since) {
                self.callers.undelivered.push((since, id, cause));
            } else {
                tracing::debug!(
                    call = format_args!("{id:016x}"),
                    cause,
                    ?to,
                    "release told on other connections"
                );
                to.iter()
                    .for_each(|token| self.write_caller(*token, id, &CallerNotification::Released(cause)));
            }
        }
    }

    /// The newest connections at whose other ends callers may be. None of them is known to have one, and strangers
    /// connect too: what ends a call is told to several.
    fn may_be_callers(&self) -> Vec<ConnId> {
        let sound = |token: &ConnId| match self.conns.get(token).map(|c| &c.peer) {
            Some(Peer::Caller(caller)) => self.can_hear(*token, false) && caller.is_well_behaved(),
            _ => false,
        };
        self.conns.keys().rev().copied().filter(sound).take(TOLD_AT_ONCE).collect()
    }
}
