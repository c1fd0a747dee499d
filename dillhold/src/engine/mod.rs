//! A whole call controller without a socket and without the system's clock.
//!
//! [`Engine`] is fed the time and what happened to connections, which it knows as numbers, and gives out what is
//! to be done with sockets as [`Output`]s. Everything about connections is settled here: who is let in and who
//! makes room, what silence and half messages mean, when an exchange is dialled again and the journal asked, how
//! far an attempt had come when its connection failed, who is shed when memory is short, and the order of the
//! end. Bytes are read straight into the sessions' buffers ([`Engine::read_buffer`], [`Engine::bytes_read`]) and written
//! straight from them ([`Engine::pending_bytes`], [`Engine::bytes_written`]).
//!
//! One turn of whoever embeds it:
//!
//! 1. [`Engine::begin_turn`] with the time; then what happened, each by its own call;
//! 2. [`Engine::handle_deadlines`], for what is due;
//! 3. until [`Engine::is_turn_complete`]: [`Engine::run_commands`], then all of [`Engine::poll_output`], then for each of
//!    [`Engine::poll_write`] what can be written, and [`Engine::flushed`];
//! 4. [`Engine::end_turn`].

mod callers;
mod close_reason;
mod discovery;
mod exchanges;
mod failure_detector;
mod journal;
mod leave;
mod liveness;
mod shutdown;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::panic::{catch_unwind, AssertUnwindSafe};

use measured::calendar::Calendar;
use measured::record::Interval;
use pitchgw::interface::{ExchangeId, Nanos};

use crate::call::{AttemptProgress, CallerNotification, Calls, Command, Deadline, EngineDeadline};
use crate::clock::MS;
use crate::counters::Counters;
use crate::directory::{Bounds, Config, ControllerSettings, Directory};
use crate::session::caller::CallerSession;
use crate::session::journal::JournalSession;
use crate::session::{ReadBuffer, WriteBuffer};
use callers::Callers;
use close_reason::CloseReason;
use exchanges::Link;
use journal::Feed;
use liveness::Check;
use shutdown::{Phase, Shutdown};

/// A connection whose writing side was closed is read on for so long at the most, so that what was written arrives.
const FINISH_WITHIN: Nanos = 1_000 * MS;
/// Bytes that may wait for one connection: past the first no caller is read from, past the second it is closed.
/// All callers together stay within the memory that the program may have.
const SLOW: [usize; 2] = [32 * 1024, 256 * 1024];

/// A connection. Numbers are never used again.
pub type ConnId = u64;
/// The first number of a connection; those below are free for whoever embeds the engine.
pub const FIRST_CONN_ID: ConnId = 16;

/// What is to be done with sockets, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Connect. [`Engine::connected`] or [`Engine::connect_failed`] tells what came of it.
    Connect {
        /// The number that the connection has from now on.
        conn: ConnId,
        /// Where to.
        to: SocketAddr,
    },
    /// Close at once; nothing more is told of this connection.
    Close(ConnId),
    /// Close the writing side. [`Engine::read_closed`] tells when the other side has closed too.
    ShutdownWrite(ConnId),
    /// Take callers at this address, and no more at another one.
    Listen(SocketAddr),
    /// Take in the callers that wait, and no more after these.
    StopListening,
    /// The end: nothing is left to be done.
    Stop,
}

/// What a connection is to be watched for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Interest {
    /// What comes is read.
    pub readable: bool,
    /// Something waits to be written.
    pub writable: bool,
}

/// Who is at the other end.
enum Peer {
    /// Callers.
    Caller(CallerSession),
    /// An exchange; its session is with its link.
    Exchange(ExchangeId),
    /// An exchange, on a connection that only checks whether it lives.
    Check(Check),
    /// The journal service.
    Journal(JournalSession),
}

struct Conn {
    peer: Peer,
    /// It is not up yet.
    connecting: bool,
    /// The other side writes no more.
    ended: bool,
    /// What it sends cannot be read on: it is closed once what it was answered has been written.
    unreadable: bool,
    /// Its writing side is closed; what still comes is dropped.
    finishing: bool,
    /// When it was opened, and when bytes last came.
    opened: Nanos,
    read: Nanos,
    /// Bytes that its buffers take, as last counted.
    held: usize,
}

/// A call controller. See the module's description for how it is driven.
pub struct Engine {
    now: Nanos,
    calls: Calls,
    bounds: Bounds,
    conns: BTreeMap<ConnId, Conn>,
    next_conn: ConnId,
    /// Connections that may have something to write, or are to be watched for something else.
    touched: BTreeSet<ConnId>,
    outputs: VecDeque<Output>,
    /// Bytes that the buffers of all connections take.
    held: usize,
    callers: Callers,
    links: BTreeMap<ExchangeId, Link>,
    feed: Feed,
    listen: SocketAddr,
    shutdown: Shutdown,
}

impl Engine {
    /// A controller at its start: asks to listen, dials the exchanges that are known and asks the journal.
    pub fn new(now: Nanos, config: Config, told: ControllerSettings) -> Result<Engine, String> {
        let bounds = config.limits.bounds();
        let list = Directory::new(&config.settings);
        let mut calls =
            Calls::new(told, bounds, list).map_err(|e| format!("configuration: settings: {e}"))?;
        let known = calls.directory.apply(config.known);
        calls.apply_directory_update(now, known.unwrap_or_else(|missing| missing.0));
        let mut engine = Engine {
            now,
            calls,
            bounds,
            conns: BTreeMap::new(),
            next_conn: FIRST_CONN_ID,
            touched: BTreeSet::new(),
            outputs: VecDeque::from([Output::Listen(config.listen)]),
            held: 0,
            callers: Callers::default(),
            links: BTreeMap::new(),
            feed: Feed::new(config.journal),
            listen: config.listen,
            shutdown: Shutdown::new(),
        };
        engine.ask_journal();
        engine.run_commands();
        Ok(engine)
    }

    // -----------------------------------------------------------------------------------------------------
    // The turn
    // -----------------------------------------------------------------------------------------------------

    /// A turn begins. All that happens within it happens at this time.
    pub fn begin_turn(&mut self, now: Nanos) {
        self.now = now;
    }

    /// Turns that are closer together than this tell the module more often than it was promised.
    pub fn tick(&self) -> Nanos {
        self.calls.settings().module.tick
    }

    /// When something is due next.
    pub fn next_deadline(&self) -> Option<Nanos> {
        self.calls.deadlines.earliest()
    }

    /// Carries out what is due. What has come in is told before: after a pause of this process an answer must
    /// not lose against a time-out that only looks overdue.
    pub fn handle_deadlines(&mut self) {
        for due in self.calls.deadlines.take_expired(self.now) {
            match due {
                Deadline::Engine(due) => self.link_due(due),
                due => self.calls.handle_deadline(self.now, due),
            }
        }
    }

    /// The next thing to be done with a socket.
    pub fn poll_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// The next connection that may have something to write. [`Engine::flushed`] has to follow.
    pub fn poll_write(&mut self) -> Option<ConnId> {
        self.touched.pop_first()
    }

    /// Whether nothing is left to be done in this turn. What the writing has failed is carried out and written
    /// in the same turn too: nothing else may wake it.
    pub fn is_turn_complete(&self) -> bool {
        self.calls.is_idle() && self.outputs.is_empty() && self.touched.is_empty()
    }

    /// A turn ends. After the signal to end the last one gives [`Output::Stop`].
    pub fn end_turn(&mut self) {
        if self.has_left() {
            self.stop();
        }
    }

    /// Whether this configuration can take the place of the present one while calls are open and stand.
    pub fn can_reconfigure(&self, told: &ControllerSettings) -> bool {
        self.calls.can_reconfigure(told)
    }

    /// Goes on with another configuration, which [`Engine::can_reconfigure`] has let through. Calls and connections stay.
    pub fn reconfigure(&mut self, config: Config, told: ControllerSettings) {
        let listening = matches!(self.shutdown.phase(), Phase::Serving | Phase::Draining);
        if config.listen != self.listen && listening {
            self.listen = config.listen;
            self.outputs.push_back(Output::Listen(config.listen));
        }
        self.bounds = config.limits.bounds();
        self.calls.reconfigure(told, self.bounds, &config.settings);
        let known = self.calls.directory.apply(config.known);
        self.calls.apply_directory_update(self.now, known.unwrap_or_else(|missing| missing.0));
        self.move_journal(config.journal);
        tracing::info!("configuration applied");
        self.calls.counters.increment("taken configurations");
    }

    /// Measures trunk groups from now on, as the operator has it.
    pub fn start_measuring(&mut self, calendar: Calendar) {
        self.calls.start_measuring(self.now, calendar);
    }

    /// Closes the running interval before it is over, and measures no more.
    pub fn close_interval(&mut self) {
        self.calls.close_intervals(self.now, true);
    }

    /// The next closed interval of the measuring.
    pub fn poll_interval(&mut self) -> Option<Interval> {
        self.calls.intervals.pop_front()
    }

    /// All counts so far.
    pub fn counters(&self) -> &Counters {
        &self.calls.counters
    }

    /// Counts an error of the sockets'.
    pub fn count_error(&mut self, name: &'static str) {
        self.calls.counters.increment(name);
    }

    // -----------------------------------------------------------------------------------------------------
    // What happens to connections
    // -----------------------------------------------------------------------------------------------------

    fn add(&mut self, peer: Peer, connecting: bool) -> ConnId {
        let token = self.next_conn;
        self.next_conn += 1;
        let (opened, read) = (self.now, self.now);
        let (ended, unreadable, finishing, held) = (false, false, false, 0);
        self.conns.insert(token, Conn { peer, connecting, ended, unreadable, finishing, opened, read, held });
        token
    }

    /// Starts a connection, if there is room for one more.
    fn dial(&mut self, to: SocketAddr, peer: Peer) -> Option<ConnId> {
        self.dial_within(to, peer, self.calls.settings().connect_timeout)
    }

    /// The same, with a time of its own to come up.
    fn dial_within(&mut self, to: SocketAddr, peer: Peer, timeout: Nanos) -> Option<ConnId> {
        if self.conns.len() >= self.bounds.max_connections {
            self.calls.counters.increment("errors connections over the limit");
            return None;
        }
        let conn = self.add(peer, true);
        self.outputs.push_back(Output::Connect { conn, to });
        self.calls.deadlines.add(self.now + timeout, Deadline::Engine(EngineDeadline::ConnectTimeout(conn)));
        Some(conn)
    }

    fn is_caller(&self, token: ConnId) -> bool {
        self.conns.get(&token).is_some_and(|c| matches!(c.peer, Peer::Caller(_)))
    }

    fn is_up(&self, token: ConnId) -> bool {
        self.conns.get(&token).is_some_and(|c| !c.connecting)
    }

    /// The buffers of a connection.
    fn buffers(&mut self, token: ConnId) -> Option<(&mut ReadBuffer, &mut WriteBuffer)> {
        Some(match &mut self.conns.get_mut(&token)?.peer {
            Peer::Caller(caller) => (&mut caller.read_buffer, &mut caller.write_buffer),
            Peer::Journal(journal) => (&mut journal.read_buffer, &mut journal.write_buffer),
            Peer::Check(check) => (&mut check.session.read_buffer, &mut check.session.write_buffer),
            Peer::Exchange(id) => {
                let session = &mut self.links.get_mut(id)?.session;
                (&mut session.read_buffer, &mut session.write_buffer)
            }
        })
    }

    /// A connection that was dialled is up.
    pub fn connected(&mut self, token: ConnId) {
        let Some(conn) = self.conns.get_mut(&token) else { return };
        conn.connecting = false;
        self.touched.insert(token);
        match conn.peer {
            Peer::Exchange(id) => self.exchange_up(id),
            Peer::Check(_) => self.check_up(token),
            Peer::Caller(_) | Peer::Journal(_) => {}
        }
    }

    /// A connection that was dialled did not come up. `refused`: nothing listens there, so nothing ran.
    pub fn connect_failed(&mut self, token: ConnId, refused: bool) {
        self.fail(token, true, refused);
    }

    /// Closes a connection of the engine's own accord.
    fn close(&mut self, token: ConnId, reason: CloseReason) {
        tracing::info!(conn = token, ?reason, "connection closed");
        if let Some(name) = reason.counter() {
            self.calls.counters.increment(name);
        }
        self.connection_lost(token);
    }

    /// A connection is gone.
    pub fn connection_lost(&mut self, token: ConnId) {
        self.fail(token, false, false);
    }

    /// Both directions of a connection are closed. One that only waited to be written to is gone.
    pub fn peer_closed(&mut self, token: ConnId) {
        if self.conns.get(&token).is_some_and(|c| c.ended) {
            self.connection_lost(token);
        }
    }

    /// A connection can be written to again.
    pub fn writable(&mut self, token: ConnId) {
        if self.is_up(token) {
            self.touched.insert(token);
        }
    }

    /// Where the next bytes that come on a connection go; `None`: it is not read from any more.
    pub fn read_buffer(&mut self, token: ConnId) -> Option<&mut [u8]> {
        self.conns.get(&token).filter(|c| !c.ended && !c.unreadable && !c.connecting)?;
        Some(self.buffers(token)?.0.unfilled())
    }

    /// So many bytes came and were put there.
    pub fn bytes_read(&mut self, token: ConnId, count: usize) {
        let now = self.now;
        let Some((read_buffer, _)) = self.buffers(token) else { return };
        read_buffer.advance(count);
        if let Some(conn) = self.conns.get_mut(&token) {
            conn.read = now;
            if conn.finishing {
                return self.drop_input(token);
            }
        }
        self.touched.insert(token);
        // A panic costs the connection that it came from. What a caller was answered before goes out first; to
        // an exchange that is not understood any more nothing new is sent.
        if catch_unwind(AssertUnwindSafe(|| self.take_in(token))).unwrap_or(false) {
            return;
        }
        match self.conns.get_mut(&token) {
            Some(conn) if matches!(conn.peer, Peer::Caller(_)) => {
                conn.unreadable = true;
                tracing::info!(conn = token, "caller cannot be read: closed once it is answered");
                self.calls.counters.increment("errors unreadable");
            }
            _ => self.close(token, CloseReason::Unreadable),
        }
    }

    /// Lets a session take in what was read; false if its connection has to be closed.
    fn take_in(&mut self, token: ConnId) -> bool {
        let Some(conn) = self.conns.get_mut(&token) else { return true };
        match &mut conn.peer {
            Peer::Caller(caller) => caller.process_input(self.now, token, &mut self.calls).is_ok(),
            Peer::Exchange(id) => {
                let id = *id;
                self.exchange_said(id, token)
            }
            Peer::Check(_) => self.check_said(token),
            Peer::Journal(journal) => match journal.process_input() {
                Ok(None) => true,
                Ok(Some((answer, kept))) => {
                    self.journal_answered(answer, kept);
                    true
                }
                Err(_) => false,
            },
        }
    }

    /// The other side writes no more. A caller may still read the answers it is owed, those that follow in this
    /// turn from what it wrote before included.
    pub fn read_closed(&mut self, token: ConnId) {
        match self.conns.get_mut(&token) {
            Some(conn) if matches!(conn.peer, Peer::Caller(_)) && !conn.finishing => {
                conn.ended = true;
                self.touched.insert(token);
            }
            _ => self.connection_lost(token),
        }
    }

    /// Closes the writing side of a caller's connection, on which nothing is left. It is read on until the caller
    /// closes too: closed with bytes unread, it would be reset, and what was written last might not arrive.
    fn finish(&mut self, token: ConnId, reason: CloseReason) {
        let Some(conn) = self.conns.get_mut(&token) else { return };
        tracing::info!(conn = token, ?reason, "connection finished");
        conn.finishing = true;
        if let Peer::Caller(caller) = &mut conn.peer {
            caller.acknowledge_releases();
        }
        self.outputs.push_back(Output::ShutdownWrite(token));
        self.calls
            .deadlines
            .add(self.now + FINISH_WITHIN, Deadline::Engine(EngineDeadline::FinishTimeout(token)));
    }

    /// Drops what came on a connection that is finishing.
    fn drop_input(&mut self, token: ConnId) {
        if let Some((read_buffer, _)) = self.buffers(token) {
            let count = read_buffer.unread().len();
            read_buffer.consume(count);
        }
    }

    fn fail(&mut self, token: ConnId, connect_failed: bool, refused: bool) {
        let Some(conn) = self.forget(token) else { return };
        match conn.peer {
            Peer::Caller(caller) => {
                self.callers.count -= 1;
                self.calls.caller_disconnected(self.now, token);
                let unfinished = caller.into_undelivered(self.now);
                for id in unfinished.answers {
                    self.calls.answer_lost(self.now, id);
                }
                // A release that crossed the close is said again on another connection.
                for (call_id, cause) in unfinished.releases {
                    let notification = CallerNotification::Released(cause);
                    self.calls.commands.push_back(Command::NotifyCaller {
                        conn: None,
                        call_id,
                        notification,
                    });
                }
            }
            Peer::Journal(_) => {
                tracing::warn!(conn = token, connect_failed, "journal connection lost");
                self.calls.counters.increment("errors journal connections lost");
                self.journal_lost(connect_failed);
            }
            Peer::Exchange(id) => {
                tracing::warn!(
                    conn = token,
                    exchange = id,
                    connect_failed,
                    refused,
                    "exchange connection lost"
                );
                self.calls.counters.increment(match connect_failed {
                    true => "errors exchange connections unmade",
                    false => "errors exchange connections lost",
                });
                self.link_lost(id, connect_failed, refused);
            }
            Peer::Check(check) => self.check_lost(check.exchange, refused),
        }
    }

    /// Takes a connection out of the books and has its socket closed.
    fn forget(&mut self, token: ConnId) -> Option<Conn> {
        let conn = self.conns.remove(&token)?;
        self.held -= conn.held;
        self.touched.remove(&token);
        self.outputs.push_back(Output::Close(token));
        Some(conn)
    }

    // -----------------------------------------------------------------------------------------------------
    // Writing
    // -----------------------------------------------------------------------------------------------------

    /// What has to be written next on a connection.
    pub fn pending_bytes(&self, token: ConnId) -> &[u8] {
        match self.conns.get(&token).map(|c| &c.peer) {
            Some(Peer::Caller(caller)) => caller.write_buffer.pending(),
            Some(Peer::Journal(journal)) => journal.write_buffer.pending(),
            Some(Peer::Check(check)) => check.session.write_buffer.pending(),
            Some(Peer::Exchange(id)) => self.links.get(id).map_or(&[], |l| l.session.write_buffer.pending()),
            None => &[],
        }
    }

    /// So many bytes of it were written.
    pub fn bytes_written(&mut self, token: ConnId, count: usize) {
        if let Some((_, write_buffer)) = self.buffers(token) {
            write_buffer.mark_written(count);
        }
    }

    /// All that could be written on a connection was. Tells what it is to be watched for, unless it was closed
    /// or is not up yet.
    pub fn flushed(&mut self, token: ConnId) -> Option<Interest> {
        let (read_buffer, write_buffer) = self.buffers(token)?;
        let (left, held) =
            (write_buffer.pending().len(), read_buffer.capacity_bytes() + write_buffer.capacity_bytes());
        let bounds = self.bounds;
        let conn = self.conns.get_mut(&token).filter(|c| !c.connecting)?;
        self.held = self.held - conn.held + held;
        conn.held = held;
        let (caller, ended, unreadable) = (matches!(conn.peer, Peer::Caller(_)), conn.ended, conn.unreadable);
        // When memory is short, a caller that holds more than its share of it makes room.
        let over = caller
            && self.held > bounds.max_buffered_bytes
            && held > bounds.max_buffered_bytes / bounds.max_connections;
        if over || left > SLOW[1] {
            let reason = if over { CloseReason::OutOfMemory } else { CloseReason::SlowReader };
            self.close(token, reason);
            return None;
        }
        if unreadable || ended && left == 0 && !self.calls.has_open_set_ups(token) {
            self.close(token, CloseReason::Finished);
            return None;
        }
        Some(Interest { readable: !(ended || caller && left > SLOW[0]), writable: left > 0 })
    }

    // -----------------------------------------------------------------------------------------------------
    // Deadlines, commands
    // -----------------------------------------------------------------------------------------------------

    fn link_due(&mut self, due: EngineDeadline) {
        match due {
            EngineDeadline::ConnectTimeout(token) => {
                if self.conns.get(&token).is_some_and(|c| c.connecting) {
                    self.connect_failed(token, false);
                }
            }
            EngineDeadline::IncompleteMessage(id, token) => self.half_due(id, token),
            EngineDeadline::SilenceTimeout(id, token) => self.silent_due(id, token),
            EngineDeadline::Reconnect(id) => self.redial_due(id),
            EngineDeadline::LivenessCheck(id) => self.liveness_due(id),
            EngineDeadline::CompareCircuits { exchange, since } => self.compare_due(exchange, since),
            EngineDeadline::PollJournal => self.ask_journal(),
            EngineDeadline::JournalTimeout(token) => self.journal_due(token),
            EngineDeadline::CallerCheck(token) => self.caller_due(token),
            EngineDeadline::DeliverReleases => self.deliver(None),
            EngineDeadline::StopListening => self.stop_listening(),
            EngineDeadline::CloseUnused => self.close_unused(),
            EngineDeadline::FinishTimeout(token) => self.connection_lost(token),
            EngineDeadline::ForcedExit => self.stop(),
        }
    }

    /// Carries out what the call table commands, until nothing more follows from it.
    pub fn run_commands(&mut self) {
        self.calls.dispatch_queued_events(self.now);
        while let Some(command) = self.calls.commands.pop_front() {
            match command {
                Command::NotifyCaller { conn, call_id, notification } => {
                    self.say_caller(conn, call_id, &notification)
                }
                Command::RequestExchange { to, call_id, request } => self.say_exchange(to, call_id, &request),
                Command::WithdrawSetUps(id) => {
                    let back =
                        self.links.get_mut(&id).map(|l| l.session.withdraw_set_ups()).unwrap_or_default();
                    for (call, attempt) in back {
                        self.calls.attempt_lost(self.now, call, attempt, AttemptProgress::NeverSent);
                    }
                }
                Command::UpdateLinks => self.listed(),
                Command::StartLivenessChecks(id) => self.watch(id),
                Command::RemoveExchange(id) => {
                    self.drop_link(id);
                    self.calls.remove_exchange(id);
                }
            }
            self.calls.dispatch_queued_events(self.now);
        }
    }
}
