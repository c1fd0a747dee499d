//! The call controller without I/O: it uses neither sockets nor the system clock.
//!
//! [`Engine`] is given the time and connection events, and returns socket operations as [`Output`]s; connections
//! are identified by [`ConnId`]. All connection policy is here: admission and eviction of callers, timeouts for
//! missing replies, quiet connections and incomplete messages, reconnects to exchanges, requests to the journal, how
//! far an attempt had progressed when its connection failed, closing connections when memory is short, and the
//! shutdown sequence.
//! Bytes are read directly into the sessions' buffers ([`Engine::read_buffer`], [`Engine::bytes_read`]) and written
//! directly from them ([`Engine::pending_bytes`], [`Engine::bytes_written`]).
//!
//! The driver runs turns:
//!
//! 1. [`Engine::begin_turn`] with the time, then one call for each event;
//! 2. [`Engine::handle_deadlines`];
//! 3. until [`Engine::is_turn_complete`]: [`Engine::run_commands`], then [`Engine::poll_output`] until it is empty,
//!    then for each connection of [`Engine::poll_write`] write what the socket accepts and call [`Engine::flushed`];
//! 4. [`Engine::end_turn`].

mod caller_close;
mod callers;
mod close_reason;
mod discovery;
mod exchanges;
mod failure_detector;
mod input_budget;
mod journal;
mod leave;
mod liveness;
mod lost_connections;
mod release_delivery;
mod shutdown;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::panic::{catch_unwind, AssertUnwindSafe};

use measured::calendar::Calendar;
use measured::record::Interval;
use pitchgw::interface::{ExchangeId, Nanos};

use crate::call::{CallerNotification, Calls, Command, Deadline, DeadlineOwner, EngineDeadline};
use crate::clock::MS;
use crate::counters::{Counters, TableSizes};
use crate::directory::{Bounds, Config, ControllerSettings, Directory};
use crate::session::caller::CallerSession;
use crate::session::journal::JournalSession;
use crate::session::{ReadBuffer, WriteBuffer};
use callers::Callers;
use close_reason::CloseReason;
use exchanges::ExchangeLink;
use input_budget::InputBudget;
use journal::JournalClient;
use liveness::LivenessCheck;
use release_delivery::ReleaseQueue;
use shutdown::{Phase, Shutdown};

/// How long a connection is still read after its writing side was closed, so that the last bytes written arrive.
const WRITE_SHUTDOWN_TIMEOUT: Nanos = 1_000 * MS;
/// Unsent bytes above which a caller's connection is not read any more.
const PAUSE_READ_BYTES: usize = 32 * 1024;
/// Unsent bytes above which a connection is closed at once, whoever is at its other end. All callers together are limited
/// by the memory bound.
const MAX_UNSENT_BYTES: usize = 256 * 1024;

/// Identifies a connection. Ids are never reused.
pub type ConnId = u64;
/// The first connection id; the driver may use lower numbers for its own purposes.
pub const FIRST_CONN_ID: ConnId = 16;

/// A socket operation for the driver. Operations are carried out in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Open a connection; the result is reported by [`Engine::connected`] or [`Engine::connect_failed`].
    Connect {
        /// The id of the new connection.
        conn: ConnId,
        /// The remote address.
        to: SocketAddr,
    },
    /// Close the connection at once. No further events are reported for it.
    Close(ConnId),
    /// Close the writing side. [`Engine::read_closed`] reports when the peer has closed its side too.
    ShutdownWrite(ConnId),
    /// Accept callers at this address, and at no other.
    Listen(SocketAddr),
    /// Accept the callers in the backlog, then close the listener.
    StopListening,
    /// Leave the event loop: the shutdown is complete.
    Stop,
}

/// The readiness events that a connection needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Interest {
    /// The connection is to be read.
    pub readable: bool,
    /// Bytes are waiting to be written.
    pub writable: bool,
}

/// The remote end of a connection.
enum Peer {
    /// Callers; several may share one connection.
    Caller(CallerSession),
    /// An exchange. The session is kept in its [`ExchangeLink`], which outlives the connection.
    Exchange(ExchangeId),
    /// An exchange, on a connection that is only used for liveness checks.
    Check(LivenessCheck),
    /// The journal service.
    Journal(JournalSession),
}

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disconnect {
    /// It could not be established. `refused`: the port is closed, so no process was listening.
    ConnectFailed { refused: bool },
    /// The peer or the network ended it.
    Lost,
    /// This process closed it.
    Closed,
}

impl Disconnect {
    fn is_connect_failure(self) -> bool {
        matches!(self, Disconnect::ConnectFailed { .. })
    }

    fn is_refusal(self) -> bool {
        self == Disconnect::ConnectFailed { refused: true }
    }
}

struct Conn {
    peer: Peer,
    /// Not established yet.
    connecting: bool,
    /// The peer has closed its writing side.
    read_closed: bool,
    /// Why a caller's connection is not read any more. It is closed once it may be.
    reading_stopped: Option<CloseReason>,
    /// Our writing side is closed; further input is discarded.
    write_closed: bool,
    opened_at: Nanos,
    last_read_at: Nanos,
    /// Since when bytes have been unsent without the socket accepting any.
    unsent_since: Option<Nanos>,
    /// Size of its buffers, as last counted.
    buffer_bytes: usize,
}

impl Conn {
    /// Whether input is read. Once the writing side is closed, it is read only to be discarded.
    fn is_read(&self) -> bool {
        !self.connecting && !self.read_closed && (self.reading_stopped.is_none() || self.write_closed)
    }

    /// Whether requests of a caller wait in its read buffer for a later turn.
    fn has_deferred_input(&self) -> bool {
        matches!(&self.peer, Peer::Caller(caller) if caller.deferred)
    }
}

/// The call controller; the module documentation describes how to drive it.
pub struct Engine {
    now: Nanos,
    calls: Calls,
    bounds: Bounds,
    conns: BTreeMap<ConnId, Conn>,
    next_conn_id: ConnId,
    /// Connections that may have bytes to write or whose [`Interest`] may have changed.
    needs_flush: BTreeSet<ConnId>,
    outputs: VecDeque<Output>,
    /// Size of the buffers of all connections.
    buffer_bytes: usize,
    input_budget: InputBudget,
    callers: Callers,
    release_queue: ReleaseQueue,
    links: BTreeMap<ExchangeId, ExchangeLink>,
    journal_client: JournalClient,
    listen_address: SocketAddr,
    shutdown: Shutdown,
}

impl Engine {
    /// Creates the controller: starts listening, connects to the known exchanges and requests the journal.
    pub fn new(now: Nanos, config: Config, settings: ControllerSettings) -> Result<Engine, String> {
        let bounds = config.limits.bounds();
        let directory = Directory::new(&config.settings);
        let mut calls =
            Calls::new(settings, bounds, directory).map_err(|e| format!("configuration: settings: {e}"))?;
        let known = calls.directory.apply(config.known);
        calls.apply_directory_update(now, known.unwrap_or_else(|missing| missing.0));
        let mut engine = Engine {
            now,
            calls,
            bounds,
            conns: BTreeMap::new(),
            next_conn_id: FIRST_CONN_ID,
            needs_flush: BTreeSet::new(),
            outputs: VecDeque::from([Output::Listen(config.listen)]),
            buffer_bytes: 0,
            input_budget: InputBudget::default(),
            callers: Callers::default(),
            release_queue: ReleaseQueue::default(),
            links: BTreeMap::new(),
            journal_client: JournalClient::new(config.journal),
            listen_address: config.listen,
            shutdown: Shutdown::new(),
        };
        engine.poll_journal();
        engine.run_commands();
        Ok(engine)
    }

    /// Begins a turn. Everything in it happens at time `now`.
    pub fn begin_turn(&mut self, now: Nanos) {
        self.now = now;
        self.process_deferred_input();
    }

    /// The shortest interval between turns that the decision module is promised.
    pub fn tick(&self) -> Nanos {
        self.calls.settings().module.tick
    }

    /// When the next turn is due without further events.
    pub fn next_deadline(&self) -> Option<Nanos> {
        let deferred = Some(self.now).filter(|_| self.input_budget.has_waiting_connections());
        deferred.or(self.calls.deadlines.earliest())
    }

    /// Handles the deadlines that have passed. Input must be reported before: after this process was suspended, a
    /// reply that has arrived takes precedence over its expired timeout.
    pub fn handle_deadlines(&mut self) {
        for deadline in self.calls.deadlines.take_expired(self.now) {
            match deadline {
                Deadline::Engine(deadline) => self.handle_engine_deadline(deadline),
                deadline => self.calls.handle_deadline(self.now, deadline),
            }
        }
    }

    /// The next socket operation.
    pub fn poll_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// The next connection to write to. The driver must call [`Engine::flushed`] for it.
    pub fn poll_write(&mut self) -> Option<ConnId> {
        self.needs_flush.pop_first()
    }

    /// Whether nothing is left to do in this turn. Consequences of failed writes are handled in the same turn as
    /// well, since no later event may start another one.
    pub fn is_turn_complete(&self) -> bool {
        self.calls.is_idle() && self.outputs.is_empty() && self.needs_flush.is_empty()
    }

    /// Ends the turn. Emits [`Output::Stop`] once a shutdown is complete.
    pub fn end_turn(&mut self) {
        if self.can_finish_shutdown() {
            self.finish_shutdown();
        }
    }

    /// Whether this configuration can replace the current one while calls are open or stand.
    pub fn can_reconfigure(&self, settings: &ControllerSettings) -> bool {
        self.calls.can_reconfigure(settings)
    }

    /// Applies a configuration that [`Engine::can_reconfigure`] accepts. Calls and connections are kept.
    pub fn reconfigure(&mut self, config: Config, settings: ControllerSettings) {
        let listening = matches!(self.shutdown.phase(), Phase::Serving | Phase::GracePeriod);
        if config.listen != self.listen_address && listening {
            self.listen_address = config.listen;
            self.outputs.push_back(Output::Listen(config.listen));
        }
        self.bounds = config.limits.bounds();
        self.calls.reconfigure(settings, self.bounds, &config.settings);
        let known = self.calls.directory.apply(config.known);
        self.calls.apply_directory_update(self.now, known.unwrap_or_else(|missing| missing.0));
        self.change_journal_address(config.journal);
        tracing::info!("configuration applied");
        self.calls.counters.increment("taken configurations");
    }

    /// Starts measuring trunk groups in the intervals of `calendar`.
    pub fn start_measuring(&mut self, calendar: Calendar) {
        self.calls.start_measuring(self.now, calendar);
    }

    /// Closes the current interval early and stops measuring.
    pub fn close_interval(&mut self) {
        self.calls.close_intervals(self.now, true);
    }

    /// The next closed measuring interval.
    pub fn poll_interval(&mut self) -> Option<Interval> {
        self.calls.intervals.pop_front()
    }

    /// All counters.
    pub fn counters(&self) -> &Counters {
        &self.calls.counters
    }

    /// Sizes of the tables that grow with traffic.
    pub fn table_sizes(&self) -> TableSizes {
        let mut sizes = self.calls.table_sizes();
        sizes.extend([
            ("releases that wait for a caller", self.release_queue.len()),
            ("connections", self.conns.len()),
            ("connections of callers", self.callers.count),
            ("bytes of buffers", self.buffer_bytes),
        ]);
        TableSizes(sizes)
    }

    /// Counts a socket error.
    pub fn count_error(&mut self, name: &'static str) {
        self.calls.counters.increment(name);
    }

    fn add_conn(&mut self, peer: Peer, connecting: bool) -> ConnId {
        let conn_id = self.next_conn_id;
        self.next_conn_id += 1;
        self.conns.insert(
            conn_id,
            Conn {
                peer,
                connecting,
                read_closed: false,
                reading_stopped: None,
                write_closed: false,
                opened_at: self.now,
                last_read_at: self.now,
                unsent_since: None,
                buffer_bytes: 0,
            },
        );
        conn_id
    }

    /// Opens a connection with the configured timeout; `None` at the connection limit.
    fn connect(&mut self, to: SocketAddr, peer: Peer) -> Option<ConnId> {
        self.connect_within(to, peer, self.calls.settings().connect_timeout)
    }

    /// Opens a connection with the given timeout; `None` at the connection limit.
    fn connect_within(&mut self, to: SocketAddr, peer: Peer, timeout: Nanos) -> Option<ConnId> {
        if self.conns.len() >= self.bounds.max_connections {
            self.calls.counters.increment("errors connections over the limit");
            return None;
        }
        let conn = self.add_conn(peer, true);
        self.outputs.push_back(Output::Connect { conn, to });
        self.calls.deadlines.add(self.now + timeout, Deadline::Engine(EngineDeadline::ConnectTimeout(conn)));
        Some(conn)
    }

    fn is_caller(&self, conn_id: ConnId) -> bool {
        self.conns.get(&conn_id).is_some_and(|c| matches!(c.peer, Peer::Caller(_)))
    }

    fn is_connected(&self, conn_id: ConnId) -> bool {
        self.conns.get(&conn_id).is_some_and(|c| !c.connecting)
    }

    /// The read and write buffers of a connection.
    fn buffers(&mut self, conn_id: ConnId) -> Option<(&mut ReadBuffer, &mut WriteBuffer)> {
        Some(match &mut self.conns.get_mut(&conn_id)?.peer {
            Peer::Caller(caller) => (&mut caller.read_buffer, &mut caller.write_buffer),
            Peer::Journal(journal) => (&mut journal.read_buffer, &mut journal.write_buffer),
            Peer::Check(check) => (&mut check.session.read_buffer, &mut check.session.write_buffer),
            Peer::Exchange(id) => {
                let session = &mut self.links.get_mut(id)?.session;
                (&mut session.read_buffer, &mut session.write_buffer)
            }
        })
    }

    /// Reports that an outgoing connection is established.
    pub fn connected(&mut self, conn_id: ConnId) {
        let Some(conn) = self.conns.get_mut(&conn_id) else { return };
        conn.connecting = false;
        self.needs_flush.insert(conn_id);
        let exchange = match &conn.peer {
            Peer::Exchange(id) => Some(*id),
            Peer::Check(check) => Some(check.exchange),
            Peer::Caller(_) | Peer::Journal(_) => None,
        };
        if let Some(link) = exchange.and_then(|id| self.links.get(&id)) {
            self.calls.exchange_connection_established(conn_id, link.address);
        }
        match conn.peer {
            Peer::Exchange(id) => self.exchange_connected(id),
            Peer::Check(_) => self.check_connected(conn_id),
            Peer::Caller(_) | Peer::Journal(_) => {}
        }
    }

    /// Reports that an outgoing connection could not be established. `refused`: the port is closed, so no process
    /// was listening.
    pub fn connect_failed(&mut self, conn_id: ConnId, refused: bool) {
        self.handle_disconnect(conn_id, Disconnect::ConnectFailed { refused });
    }

    /// Closes a connection on the engine's own decision.
    fn close(&mut self, conn_id: ConnId, reason: CloseReason) {
        tracing::info!(conn = conn_id, ?reason, "connection closed");
        self.count_close(reason);
        self.handle_disconnect(conn_id, Disconnect::Closed);
    }

    fn count_close(&mut self, reason: CloseReason) {
        if let Some(name) = reason.counter() {
            self.calls.counters.increment(name);
        }
    }

    /// Reports that a connection is lost.
    pub fn connection_lost(&mut self, conn_id: ConnId) {
        self.handle_disconnect(conn_id, Disconnect::Lost);
    }

    /// Reports that both directions of a connection are closed. If it was only kept to be written to, it is lost. What a
    /// caller sent before is still read, but nobody awaits the answers to its set-ups.
    pub fn peer_closed(&mut self, conn_id: ConnId) {
        let Some(conn) = self.conns.get_mut(&conn_id) else { return };
        if conn.read_closed || conn.reading_stopped.is_some() {
            return self.connection_lost(conn_id);
        }
        if let (Peer::Caller(caller), false) = (&mut conn.peer, conn.write_closed) {
            caller.client_left = true;
            self.calls.caller_disconnected(self.now, conn_id);
        }
    }

    /// Reports that a connection can be written to again.
    pub fn writable(&mut self, conn_id: ConnId) {
        if self.is_connected(conn_id) {
            self.needs_flush.insert(conn_id);
        }
    }

    /// Whether a connection is to be read in this turn. What is not read stays in the socket.
    pub fn wants_input(&self, conn_id: ConnId) -> bool {
        self.conns.get(&conn_id).is_some_and(|conn| conn.is_read() && !conn.has_deferred_input())
    }

    /// The buffer for the next input of a connection; `None` if it is not to be read any more.
    pub fn read_buffer(&mut self, conn_id: ConnId) -> Option<&mut [u8]> {
        self.conns.get(&conn_id).filter(|c| c.is_read())?;
        Some(self.buffers(conn_id)?.0.unfilled())
    }

    /// Reports that `count` bytes were read into [`Engine::read_buffer`].
    pub fn bytes_read(&mut self, conn_id: ConnId, count: usize) {
        let now = self.now;
        let Some((read_buffer, _)) = self.buffers(conn_id) else { return };
        read_buffer.advance(count);
        if let Some(conn) = self.conns.get_mut(&conn_id) {
            conn.last_read_at = now;
            if let Peer::Caller(caller) = &mut conn.peer {
                if conn.write_closed {
                    return caller.discard_input();
                }
                if caller.deferred {
                    return;
                }
            }
        }
        self.process_input(conn_id);
    }

    /// Processes the input of a connection, which is closed if that is not possible.
    fn process_input(&mut self, conn_id: ConnId) {
        self.needs_flush.insert(conn_id);
        // A panic only closes the connection whose input caused it. A caller gets the answers to its set-ups before;
        // nothing more is sent to an exchange whose messages cannot be parsed.
        if catch_unwind(AssertUnwindSafe(|| self.pass_input_to_session(conn_id))).unwrap_or(false) {
            return;
        }
        if self.is_caller(conn_id) {
            self.stop_reading(conn_id, CloseReason::Unreadable);
        } else {
            self.close(conn_id, CloseReason::Unreadable);
        }
    }

    /// Passes input to its session. Returns false if the connection has to be closed.
    fn pass_input_to_session(&mut self, conn_id: ConnId) -> bool {
        let Some(conn) = self.conns.get_mut(&conn_id) else { return true };
        match &mut conn.peer {
            Peer::Caller(caller) => {
                self.input_budget.process(self.now, conn_id, caller, &mut self.calls).is_ok()
            }
            Peer::Exchange(id) => {
                let id = *id;
                self.process_exchange_input(id, conn_id)
            }
            Peer::Check(_) => self.process_check_input(conn_id),
            Peer::Journal(journal) => match journal.process_input() {
                Ok(None) => true,
                Ok(Some((answer, kept))) => {
                    self.handle_journal_answer(conn_id, answer, kept);
                    true
                }
                Err(_) => false,
            },
        }
    }

    /// Reports that the peer has closed its writing side. A caller may still read its final answers, including
    /// those that this turn produces from its earlier input.
    pub fn read_closed(&mut self, conn_id: ConnId) {
        match self.conns.get_mut(&conn_id) {
            Some(conn) if matches!(conn.peer, Peer::Caller(_)) && !conn.write_closed => {
                conn.read_closed = true;
                self.needs_flush.insert(conn_id);
            }
            _ => self.connection_lost(conn_id),
        }
    }

    /// Closes the writing side of a caller's connection that is no longer used. It is read until the caller closes
    /// too: closing a socket with unread input sends a reset, which can discard the last bytes written.
    fn shut_down_write(&mut self, conn_id: ConnId, reason: CloseReason) {
        tracing::info!(conn = conn_id, ?reason, "writing side closed");
        self.count_close(reason);
        let Some(conn) = self.conns.get_mut(&conn_id) else { return };
        conn.write_closed = true;
        if let Peer::Caller(caller) = &mut conn.peer {
            caller.forget_unacked_releases();
        }
        self.outputs.push_back(Output::ShutdownWrite(conn_id));
        self.calls.deadlines.add(
            self.now + WRITE_SHUTDOWN_TIMEOUT,
            Deadline::Engine(EngineDeadline::WriteShutdownTimeout(conn_id)),
        );
    }

    fn handle_disconnect(&mut self, conn_id: ConnId, disconnect: Disconnect) {
        let (connect_failed, refused) = (disconnect.is_connect_failure(), disconnect.is_refusal());
        let Some(conn) = self.remove_conn(conn_id) else { return };
        match conn.peer {
            Peer::Caller(mut caller) => {
                self.callers.count -= 1;
                caller.process_remaining_input(self.now, conn_id, &mut self.calls);
                if caller.received_release_copies {
                    self.release_queue.connection_closed(conn_id);
                }
                self.calls.caller_disconnected(self.now, conn_id);
                let undelivered = caller.into_undelivered(self.now);
                for id in undelivered.answers {
                    self.calls.answer_lost(self.now, id);
                }
                // A release that crossed the close is sent again on another connection.
                for (call_id, cause) in undelivered.releases {
                    let notification = CallerNotification::Released(cause);
                    self.calls.commands.push_back(Command::NotifyCaller {
                        conn: None,
                        call_id,
                        notification,
                    });
                }
            }
            Peer::Journal(_) => {
                tracing::warn!(conn = conn_id, connect_failed, "journal connection lost");
                self.calls.counters.increment("errors journal connections lost");
                self.journal_disconnected(conn_id, connect_failed);
            }
            Peer::Exchange(id) => {
                tracing::warn!(
                    conn = conn_id,
                    exchange = id,
                    connect_failed,
                    refused,
                    "exchange connection lost"
                );
                self.calls.counters.increment(match connect_failed {
                    true => "errors exchange connections unmade",
                    false => "errors exchange connections lost",
                });
                self.connection_with_calls_ended(id, conn_id);
                self.exchange_disconnected(id, disconnect);
            }
            Peer::Check(check) => self.check_disconnected(check.exchange, refused),
        }
    }

    /// Removes a connection and has its socket closed.
    fn remove_conn(&mut self, conn_id: ConnId) -> Option<Conn> {
        let conn = self.conns.remove(&conn_id)?;
        self.calls.exchange_connection_closed(conn_id);
        self.buffer_bytes -= conn.buffer_bytes;
        self.needs_flush.remove(&conn_id);
        self.calls.deadlines.drop_owned_by(DeadlineOwner::Connection(conn_id));
        self.outputs.push_back(Output::Close(conn_id));
        Some(conn)
    }

    /// The bytes to write next on a connection.
    pub fn pending_bytes(&self, conn_id: ConnId) -> &[u8] {
        match self.conns.get(&conn_id).map(|c| &c.peer) {
            Some(Peer::Caller(caller)) => caller.write_buffer.pending(),
            Some(Peer::Journal(journal)) => journal.write_buffer.pending(),
            Some(Peer::Check(check)) => check.session.write_buffer.pending(),
            Some(Peer::Exchange(id)) => self.links.get(id).map_or(&[], |l| l.session.write_buffer.pending()),
            None => &[],
        }
    }

    /// Reports that `count` of the pending bytes were written.
    pub fn bytes_written(&mut self, conn_id: ConnId, count: usize) {
        if let Some((_, write_buffer)) = self.buffers(conn_id) {
            write_buffer.mark_written(count);
        }
        if let Some(conn) = self.conns.get_mut(&conn_id).filter(|_| count > 0) {
            conn.unsent_since = None;
        }
    }

    /// Reports that a connection was written to as far as possible. Returns the readiness events it needs, or `None`
    /// if it is closed or not established yet.
    pub fn flushed(&mut self, conn_id: ConnId) -> Option<Interest> {
        let unsent = self.pending_bytes(conn_id).len();
        let now = self.now;
        let conn = self.conns.get_mut(&conn_id).filter(|c| !c.connecting)?;
        conn.unsent_since = conn.unsent_since.or(Some(now)).filter(|_| unsent > 0);
        self.count_buffers(conn_id);
        if unsent > MAX_UNSENT_BYTES {
            self.close(conn_id, CloseReason::SlowReader);
        } else {
            self.shed_buffers();
            self.close_finished_caller(conn_id);
        }
        let conn = self.conns.get(&conn_id)?;
        let paused =
            matches!(conn.peer, Peer::Caller(_)) && unsent > PAUSE_READ_BYTES || conn.has_deferred_input();
        Some(Interest { readable: conn.is_read() && !paused, writable: unsent > 0 })
    }

    /// Counts the buffers of a connection towards those of all connections.
    fn count_buffers(&mut self, conn_id: ConnId) {
        let Some((read_buffer, write_buffer)) = self.buffers(conn_id) else { return };
        let buffer_bytes = read_buffer.capacity_bytes() + write_buffer.capacity_bytes();
        let Some(conn) = self.conns.get_mut(&conn_id) else { return };
        self.buffer_bytes = self.buffer_bytes - conn.buffer_bytes + buffer_bytes;
        conn.buffer_bytes = buffer_bytes;
    }

    fn handle_engine_deadline(&mut self, deadline: EngineDeadline) {
        match deadline {
            EngineDeadline::ConnectTimeout(conn_id) => {
                if self.conns.get(&conn_id).is_some_and(|c| c.connecting) {
                    self.connect_failed(conn_id, false);
                }
            }
            EngineDeadline::IncompleteMessage(id, conn_id) => self.handle_incomplete_message(id, conn_id),
            EngineDeadline::ReplyTimeout(id, conn_id) => self.handle_reply_timeout(id, conn_id),
            EngineDeadline::Reconnect(id) => self.reconnect_exchange(id),
            EngineDeadline::LivenessCheck(id) => self.check_liveness(id),
            EngineDeadline::CompareCircuits { exchange, since } => {
                self.compare_calls_with_circuits(exchange, since)
            }
            EngineDeadline::ReviewLostConnection(conn_id) => self.review_lost_connection(conn_id),
            EngineDeadline::PollJournal => self.poll_journal(),
            EngineDeadline::JournalTimeout(conn_id) => self.handle_journal_timeout(conn_id),
            EngineDeadline::CallerCheck(conn_id) => self.check_caller(conn_id),
            EngineDeadline::DeliverReleases => self.deliver_waiting_releases(),
            EngineDeadline::StopListening => self.stop_listening(),
            EngineDeadline::CloseUnused => self.close_unused_callers(),
            EngineDeadline::WriteShutdownTimeout(conn_id) => self.connection_lost(conn_id),
            EngineDeadline::ForcedExit => self.finish_shutdown(),
        }
    }

    /// Carries out the commands of the call table until none is left.
    pub fn run_commands(&mut self) {
        self.calls.dispatch_queued_events(self.now);
        while let Some(command) = self.calls.commands.pop_front() {
            match command {
                Command::NotifyCaller { conn, call_id, notification } => {
                    self.notify_caller(conn, call_id, &notification)
                }
                Command::RequestExchange { to, call_id, request } => {
                    self.request_exchange(to, call_id, &request)
                }
                Command::WithdrawSetUps(id) => self.withdraw_set_ups(id),
                Command::UpdateLinks => self.update_links(),
                Command::StartLivenessChecks(id) => self.start_liveness_checks(id),
                Command::CompareCircuits(id) => self.compare_earlier_calls(id),
                Command::SendTest(test) => self.send_process_test(test),
                Command::CloseUnprovenConnection(conn_id) => {
                    self.close(conn_id, CloseReason::ExchangeUnproven)
                }
                Command::RemoveExchange(id) => self.remove_exchange(id),
            }
            self.calls.dispatch_queued_events(self.now);
        }
    }
}
