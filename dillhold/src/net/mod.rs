//! The driver: sockets, epoll and nothing else. It reads into the sessions' buffers, writes what they hold, and
//! keeps connections up; what is said and when is settled elsewhere.

mod conn;

use std::collections::btree_map::{BTreeMap, Entry};
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::os::unix::net::UnixStream;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::time::Duration;

use pitchgw::interface::{ExchangeId, Nanos, Standing};
use rustix::buffer::spare_capacity;
use rustix::event::{epoll, Timespec};
use signal_hook::consts::{SIGINT, SIGTERM, SIGUSR1};

use crate::call::{CallerLink, Calls, Came, Command, Due, LinkDue, ToCaller, ToExchange};
use crate::clock::{Clock, MS};
use crate::directory::{self, Directory};
use crate::session::caller::Caller;
use crate::session::exchange::Exchange;
use crate::session::journal::{Journal, HOLD_MS};
use conn::{Conn, Peer};

/// Tokens of what is no connection; those of connections come after.
const LISTENER: u64 = 0;
const SIGNAL_END: u64 = 1;
const SIGNAL_PRINT: u64 = 2;
const FIRST_CONN: u64 = 16;

/// Pause before an exchange is connected to again after it could not be reached.
const REDIAL: Nanos = 250 * MS;
/// So many refused connections in a row tell that the process has ended. One alone could be a restart of the
/// listener; the calls that stand there are worth the wait.
const REFUSALS: u32 = 3;
/// Pause before the journal is asked again after a bad answer or a lost connection.
const ASK_AGAIN: Nanos = 200 * MS;
/// After the signal to end, new connections and set-ups keep coming for so long.
const STILL_COMING: Nanos = 700 * MS;
/// After the signal to end, nothing is waited for longer than the longest deadline of the classes, counted as
/// the first of these where it is longer, and the second more.
const LEAVE_AFTER: [Nanos; 2] = [3_000 * MS, 600 * MS];
/// Turns are no further apart than this on account of the tick, whatever the settings say.
const MOST_TICK: Nanos = 10 * MS;
/// Bytes that may wait for one connection: past the first no caller is read from, past the second it is closed.
/// All callers together stay within the memory that the program may have.
const SLOW: [usize; 2] = [32 * 1024, 256 * 1024];
/// Releases that wait for a caller connection at the most.
const UNDELIVERED: usize = 20_000;

/// The link to an exchange, across its connections.
struct Link {
    session: Exchange,
    address: SocketAddr,
    conn: Option<u64>,
    /// Refusals in a row, and when the last was counted.
    refused: u32,
    refused_at: Nanos,
    /// When a connection last came up.
    up_at: Nanos,
    /// A redial is among the deadlines.
    redial: bool,
}

/// How long it is too early for the next turn. The module is promised that events come no more often than once
/// a tick, and its round trips are those of a controller that looks once a tick. Measured against turns as
/// events come, one fleet day gained 0.02 of the simulator's result and another lost 0.01.
fn early(last: Nanos, tick: Nanos, now: Nanos) -> Nanos {
    (last + tick.min(MOST_TICK)).saturating_sub(now)
}

/// All sockets with the call table.
pub struct Driver {
    epoll: std::os::fd::OwnedFd,
    listener: Option<TcpListener>,
    signals: [UnixStream; 2],
    clock: Clock,
    now: Nanos,
    tick: Nanos,
    calls: Calls,
    conns: BTreeMap<u64, Conn>,
    next_conn: u64,
    callers: usize,
    most_callers: usize,
    most_conns: usize,
    links: BTreeMap<ExchangeId, Link>,
    journal: SocketAddr,
    journal_conn: Option<u64>,
    /// When the journal was last asked, and whether its answer is still to come.
    asked: Nanos,
    asking: bool,
    undelivered: Vec<(u64, u8)>,
    ending: bool,
    leave: bool,
}

fn text(what: &'static str) -> impl Fn(io::Error) -> String {
    move |e| format!("{what}: {e}")
}

impl Driver {
    /// Reads the configuration and opens the listener.
    pub fn start(config: &str) -> Result<Driver, String> {
        let config = directory::read_config(config)?;
        let told = directory::read_settings(&config)?;
        let tick = told.module.tick;
        let list = Directory::new(&config.settings);
        let mut calls = Calls::new(told, list).map_err(|e| format!("configuration: settings: {e}"))?;
        let mut clock = Clock::start();
        let now = clock.read();
        let known = calls.directory.take(config.known);
        calls.news(now, known.unwrap_or_else(|missing| missing.0));

        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC).map_err(|e| format!("epoll: {e}"))?;
        let listener = TcpListener::bind(config.listen).map_err(text("listen"))?;
        listener.set_nonblocking(true).map_err(text("listen"))?;
        let watch = |fd: std::os::fd::BorrowedFd<'_>, token| {
            let data = epoll::EventData::new_u64(token);
            epoll::add(&epoll, fd, data, epoll::EventFlags::IN).map_err(|e| format!("epoll: {e}"))
        };
        use std::os::fd::AsFd;
        watch(listener.as_fd(), LISTENER)?;
        let mut ends = Vec::new();
        for (token, signals) in [(SIGNAL_END, &[SIGTERM, SIGINT][..]), (SIGNAL_PRINT, &[SIGUSR1])] {
            let (ours, theirs) = UnixStream::pair().map_err(text("signals"))?;
            ours.set_nonblocking(true).map_err(text("signals"))?;
            for signal in signals {
                let end = theirs.try_clone().map_err(text("signals"))?;
                signal_hook::low_level::pipe::register(*signal, end).map_err(text("signals"))?;
            }
            watch(ours.as_fd(), token)?;
            ends.push(ours);
        }
        let signals = ends.try_into().map_err(|_| "signals")?;
        let sockets = config.limits.sockets.max(64);
        let mut driver = Driver {
            epoll,
            listener: Some(listener),
            signals,
            clock,
            now,
            tick,
            calls,
            conns: BTreeMap::new(),
            next_conn: FIRST_CONN,
            callers: 0,
            most_callers: sockets / 2,
            most_conns: sockets - 32,
            links: BTreeMap::new(),
            journal: config.journal,
            journal_conn: None,
            asked: 0,
            asking: false,
            undelivered: Vec::new(),
            ending: false,
            leave: false,
        };
        driver.ask_journal();
        driver.carry_out();
        Ok(driver)
    }

    /// Serves until the end.
    pub fn run(mut self) -> Result<(), String> {
        let mut events = Vec::with_capacity(1024);
        while !self.leave {
            self.turn(&mut events)?;
        }
        for conn in self.conns.values() {
            // What was written must arrive; a close with bytes unread would cut it off.
            let _ = conn.stream.shutdown(Shutdown::Write);
        }
        std::thread::sleep(Duration::from_millis(50));
        self.print();
        Ok(())
    }

    fn print(&self) {
        eprint!("{}", self.calls.counters);
    }

    fn turn(&mut self, events: &mut Vec<epoll::Event>) -> Result<(), String> {
        events.clear();
        std::thread::sleep(Duration::from_nanos(early(self.now, self.tick, self.clock.read())));
        // Reckoned after that sleep, or a deadline within it would come late by as much again.
        let first = self.calls.deadlines.first();
        let wait = first.map_or(1_000 * MS, |at| at.saturating_sub(self.clock.read()));
        let timeout =
            Timespec { tv_sec: (wait / 1_000_000_000) as i64, tv_nsec: (wait % 1_000_000_000) as i64 };
        match epoll::wait(&self.epoll, spare_capacity(events), Some(&timeout)) {
            Ok(_) | Err(rustix::io::Errno::INTR) => {}
            Err(e) => return Err(format!("epoll: {e}")),
        }
        // One time for all of a turn. What has come in is told before what is due: after a pause of this
        // process an answer must not lose against a time-out that only looks overdue.
        self.now = self.clock.read();
        for event in events.iter() {
            let flags = event.flags;
            match event.data.u64() {
                LISTENER => self.accept(),
                SIGNAL_END => self.end(),
                SIGNAL_PRINT => {
                    conn::swallow(&self.signals[1]);
                    self.print();
                }
                token => self.ready(token, flags),
            }
        }
        for due in self.calls.deadlines.sweep(self.now) {
            match due {
                Due::Link(due) => self.link_due(due),
                due => self.calls.due(self.now, due),
            }
        }
        // What the writing has failed is carried out and written in this turn too: nothing else may wake it.
        loop {
            self.carry_out();
            let up = self.conns.iter().filter(|(_, c)| !c.connecting).map(|(token, _)| *token);
            up.collect::<Vec<_>>().into_iter().for_each(|token| self.flush(token));
            if self.calls.settled() {
                break;
            }
        }
        let written = || self.conns.keys().all(|t| self.pending(*t) == 0 || !self.caller(*t));
        self.leave |= self.ending && self.listener.is_none() && self.calls.open() == 0 && written();
        Ok(())
    }

    // -----------------------------------------------------------------------------------------------------
    // Connections
    // -----------------------------------------------------------------------------------------------------

    fn accept(&mut self) {
        while let Some(listener) = &self.listener {
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(_) => {
                    // Of descriptors run out, say: the next turn tries again, a tick later.
                    self.calls.counters.up("errors accepting");
                    return;
                }
            };
            if self.callers >= self.most_callers || self.conns.len() >= self.most_conns {
                // The oldest connection that no set-up is open on makes room.
                let idle = |t: &&u64| self.caller(**t) && !self.calls.open_on(**t);
                match self.conns.keys().find(idle).copied() {
                    Some(token) => self.close(token),
                    None => {
                        self.calls.counters.up("errors callers over the limit");
                        continue;
                    }
                }
            }
            if let Some(token) = self.add(stream.into(), Peer::Caller(Caller::default()), false) {
                self.callers += 1;
                self.calls.counters.up("taken caller connections");
                let waiting = std::mem::take(&mut self.undelivered);
                for (id, cause) in waiting {
                    self.say_caller(Some(token), id, &ToCaller::Released(cause));
                }
            }
        }
    }

    fn add(&mut self, stream: std::os::fd::OwnedFd, peer: Peer, connecting: bool) -> Option<u64> {
        let token = self.next_conn;
        match Conn::new(&self.epoll, stream, token, peer, connecting) {
            Ok(conn) => {
                self.next_conn += 1;
                self.conns.insert(token, conn);
                Some(token)
            }
            Err(_) => {
                self.calls.counters.up("errors opening");
                None
            }
        }
    }

    /// Starts a connection. The error tells whether it was refused at once.
    fn dial(&mut self, address: SocketAddr, peer: Peer) -> Result<u64, bool> {
        if self.conns.len() >= self.most_conns {
            self.calls.counters.up("errors connections over the limit");
            return Err(false);
        }
        let stream = conn::connect(address).map_err(|e| e.kind() == io::ErrorKind::ConnectionRefused)?;
        let token = self.add(stream, peer, true).ok_or(false)?;
        let until = self.now + self.calls.told().connect_timeout;
        self.calls.deadlines.add(until, Due::Link(LinkDue::Connect(token)));
        Ok(token)
    }

    fn caller(&self, token: u64) -> bool {
        self.conns.get(&token).is_some_and(|c| matches!(c.peer, Peer::Caller(_)))
    }

    fn pending(&self, token: u64) -> usize {
        match self.conns.get(&token).map(|c| &c.peer) {
            Some(Peer::Caller(caller)) => caller.outbox.pending().len(),
            Some(Peer::Journal(journal)) => journal.outbox.pending().len(),
            Some(Peer::Exchange(id)) => self.links.get(id).map_or(0, |l| l.session.outbox.pending().len()),
            None => 0,
        }
    }

    fn ready(&mut self, token: u64, flags: epoll::EventFlags) {
        let Some(conn) = self.conns.get_mut(&token) else { return };
        if conn.connecting {
            return match conn.connected() {
                Ok(()) => self.up(token),
                Err(_) => self.lost(token, true),
            };
        }
        if conn.ended && flags.intersects(epoll::EventFlags::HUP | epoll::EventFlags::ERR) {
            return self.close(token); // nobody reads there any more
        }
        if flags.intersects(epoll::EventFlags::IN | epoll::EventFlags::HUP | epoll::EventFlags::ERR) {
            self.read(token);
        }
    }

    fn up(&mut self, token: u64) {
        if let Some(Peer::Exchange(id)) = self.conns.get(&token).map(|c| &c.peer) {
            if let Some(link) = self.links.get_mut(id) {
                (link.refused, link.up_at) = (0, self.now);
            }
            self.calls.counters.up("sent exchange connections");
        }
    }

    fn read(&mut self, token: u64) {
        // A bounded number of reads: epoll tells again of what is left.
        for _ in 0..16 {
            let Some(conn) = self.conns.get_mut(&token).filter(|c| !c.ended) else { return };
            let inbox = match &mut conn.peer {
                Peer::Caller(caller) => &mut caller.inbox,
                Peer::Journal(journal) => &mut journal.inbox,
                Peer::Exchange(id) => match self.links.get_mut(id) {
                    Some(link) => &mut link.session.inbox,
                    None => return self.close(token),
                },
            };
            match io::Read::read(&mut conn.stream, inbox.room()) {
                Ok(0) => return self.read_ended(token),
                Ok(count) => inbox.filled(count),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(_) => return self.lost(token, false),
            }
            // A panic costs the connection that it came from.
            if !catch_unwind(AssertUnwindSafe(|| self.feed(token))).unwrap_or(false) {
                self.calls.counters.up("errors unreadable");
                return self.lost(token, false);
            }
        }
    }

    /// Lets a session take in what was read; false if its connection has to be closed.
    fn feed(&mut self, token: u64) -> bool {
        let Some(conn) = self.conns.get_mut(&token) else { return true };
        match &mut conn.peer {
            Peer::Caller(caller) => caller.feed(self.now, token, &mut self.calls).is_ok(),
            Peer::Exchange(id) => match self.links.get_mut(id) {
                Some(link) => link.session.feed(self.now, *id, &mut self.calls).is_ok(),
                None => false,
            },
            Peer::Journal(journal) => match journal.feed() {
                Ok(None) => true,
                Ok(Some((answer, kept))) => {
                    self.journal_answered(answer, kept);
                    true
                }
                Err(_) => false,
            },
        }
    }

    /// The other side writes no more. A caller may still read the answers it is owed.
    fn read_ended(&mut self, token: u64) {
        let owed = self.calls.open_on(token) || self.pending(token) > 0;
        match self.conns.get_mut(&token) {
            Some(conn) if matches!(conn.peer, Peer::Caller(_)) && owed => conn.ended = true,
            _ => self.lost(token, false),
        }
    }

    /// A connection is gone; `unmade`: it never came up.
    fn lost(&mut self, token: u64, unmade: bool) {
        let Some(conn) = self.conns.remove(&token) else { return };
        match conn.peer {
            Peer::Caller(caller) => {
                self.callers -= 1;
                self.calls.caller_lost(self.now, token);
                let unfinished = caller.lost(self.now);
                for id in unfinished.answers {
                    self.calls.answer_lost(self.now, id);
                }
                // A release that crossed the close is said again on another connection.
                for (id, cause) in unfinished.releases {
                    let say = ToCaller::Released(cause);
                    self.calls.commands.push_back(Command::Caller { link: None, id, say });
                }
            }
            Peer::Journal(_) => {
                self.calls.counters.up("errors journal connections lost");
                (self.journal_conn, self.asking) = (None, false);
                self.calls.deadlines.add(self.now + ASK_AGAIN, Due::Link(LinkDue::Ask));
            }
            Peer::Exchange(id) => {
                self.calls.counters.up(match unmade {
                    true => "errors exchange connections unmade",
                    false => "errors exchange connections lost",
                });
                self.link_lost(id, unmade, conn.refused);
            }
        }
    }

    fn close(&mut self, token: u64) {
        self.lost(token, false);
    }

    fn flush(&mut self, token: u64) {
        let Some(conn) = self.conns.get_mut(&token) else { return };
        let outbox = match &mut conn.peer {
            Peer::Caller(caller) => &mut caller.outbox,
            Peer::Journal(journal) => &mut journal.outbox,
            Peer::Exchange(id) => match self.links.get_mut(id) {
                Some(link) => &mut link.session.outbox,
                None => return self.close(token),
            },
        };
        while !outbox.pending().is_empty() {
            match io::Write::write(&mut conn.stream, outbox.pending()) {
                Ok(count) => outbox.wrote(count),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(_) => return self.lost(token, false),
            }
        }
        let left = outbox.pending().len();
        let caller = matches!(conn.peer, Peer::Caller(_));
        let reads = !(conn.ended || caller && left > SLOW[0]);
        if conn.watch(&self.epoll, token, reads, left > 0).is_err() || left > SLOW[1] {
            self.calls.counters.up("errors slow readers");
            return self.close(token);
        }
        if conn.ended && left == 0 && !self.calls.open_on(token) {
            self.close(token);
        }
    }

    // -----------------------------------------------------------------------------------------------------
    // Exchanges
    // -----------------------------------------------------------------------------------------------------

    /// Brings the links in step with the list.
    fn listed(&mut self) {
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

    fn drop_link(&mut self, id: ExchangeId) {
        if let Some(link) = self.links.remove(&id) {
            link.conn.and_then(|token| self.conns.remove(&token));
            self.calls.exchange_lost(self.now, id, &[]);
        }
    }

    fn connect(&mut self, id: ExchangeId) {
        let Some(link) = self.links.get(&id).filter(|l| l.conn.is_none()) else { return };
        let dialled = self.dial(link.address, Peer::Exchange(id));
        match (dialled, self.links.get_mut(&id)) {
            (Ok(token), Some(link)) => link.conn = Some(token),
            (failed, _) => self.link_lost(id, true, failed == Err(true)),
        }
    }

    fn link_lost(&mut self, id: ExchangeId, unmade: bool, refused: bool) {
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

    // -----------------------------------------------------------------------------------------------------
    // Journal
    // -----------------------------------------------------------------------------------------------------

    fn ask_journal(&mut self) {
        if self.asking {
            return; // a second question would never be caught up with
        }
        if self.journal_conn.is_none() {
            self.journal_conn = self.dial(self.journal, Peer::Journal(Journal::default())).ok();
        }
        let (after, host, now) = (self.calls.directory.position, self.journal, self.now);
        let conn = self.journal_conn.and_then(|token| self.conns.get_mut(&token));
        let Some((token, Peer::Journal(journal))) = self.journal_conn.zip(conn.map(|c| &mut c.peer)) else {
            return self.calls.deadlines.add(now + ASK_AGAIN, Due::Link(LinkDue::Ask));
        };
        journal.ask(after, host);
        (self.asked, self.asking) = (now, true);
        let until = now + (HOLD_MS + 1_000) * MS;
        self.calls.deadlines.add(until, Due::Link(LinkDue::Journal(token)));
    }

    fn journal_answered(&mut self, answer: directory::Answer, kept: bool) {
        self.calls.counters.up("taken journal answers");
        self.asking = false;
        // An answer with nothing in it comes after the time asked for. One that comes sooner is not asked for
        // again at once, or the two would keep each other busy.
        let mut hasty = answer.entries.is_empty() && self.now < self.asked + HOLD_MS * MS / 2;
        let news = self.calls.directory.take(answer).unwrap_or_else(|missing| {
            self.calls.counters.up("errors journal events missing");
            hasty = true;
            missing.0
        });
        self.calls.news(self.now, news);
        if !kept {
            let token = self.journal_conn.take();
            token.and_then(|token| self.conns.remove(&token));
        }
        let pause = if hasty { ASK_AGAIN } else { 0 };
        self.calls.deadlines.add(self.now + pause, Due::Link(LinkDue::Ask));
    }

    // -----------------------------------------------------------------------------------------------------
    // Deadlines, commands, signals
    // -----------------------------------------------------------------------------------------------------

    fn link_due(&mut self, due: LinkDue) {
        match due {
            LinkDue::Connect(token) => {
                if self.conns.get(&token).is_some_and(|c| c.connecting) {
                    self.lost(token, true);
                }
            }
            LinkDue::Redial(id) => {
                if let Some(link) = self.links.get_mut(&id) {
                    link.redial = false;
                    self.connect(id);
                }
            }
            LinkDue::Ask => self.ask_journal(),
            LinkDue::Journal(token) => {
                let overdue = self.now >= self.asked + (HOLD_MS + 1_000) * MS;
                if overdue && self.conns.contains_key(&token) {
                    self.calls.counters.up("errors journal silent");
                    self.lost(token, false);
                }
            }
            LinkDue::StopListening => {
                self.accept();
                self.listener = None;
            }
            LinkDue::Leave => self.leave = true,
        }
    }

    fn carry_out(&mut self) {
        self.calls.settle(self.now);
        while let Some(command) = self.calls.commands.pop_front() {
            match command {
                Command::Caller { link, id, say } => self.say_caller(link, id, &say),
                Command::Exchange { to, id, say } => self.say_exchange(to, id, &say),
                Command::Withhold(id) => {
                    let back = self.links.get_mut(&id).map(|l| l.session.withhold()).unwrap_or_default();
                    for (call, attempt) in back {
                        self.calls.attempt_lost(self.now, call, attempt, Came::NeverSent);
                    }
                }
                Command::Listed => self.listed(),
                Command::Ended(id) => {
                    self.drop_link(id);
                    self.calls.directory.drop_gone(id);
                }
            }
            self.calls.settle(self.now);
        }
    }

    fn say_caller(&mut self, link: Option<CallerLink>, id: u64, say: &ToCaller) {
        let open = |t: &u64| self.conns.get(t).is_some_and(|c| matches!(c.peer, Peer::Caller(_)) && !c.ended);
        let own = link.filter(|t| self.caller(*t));
        let token = match say {
            // What ends a call that stands may go on any connection, the one of its set-up first.
            ToCaller::Released(_) => {
                own.filter(open).or_else(|| self.conns.keys().rev().copied().find(open)).or(own)
            }
            _ => own,
        };
        let conn = token.and_then(|token| self.conns.get_mut(&token));
        match (conn.map(|c| &mut c.peer), say) {
            (Some(Peer::Caller(caller)), say) => caller.say(self.now, id, say),
            (_, ToCaller::Released(cause)) if self.undelivered.len() < UNDELIVERED => {
                self.undelivered.push((id, *cause));
            }
            _ => self.calls.counters.up("errors answers without a connection"),
        }
    }

    fn say_exchange(&mut self, to: ExchangeId, id: u64, say: &ToExchange) {
        let Some(link) = self.links.get_mut(&to) else {
            if let ToExchange::SetUp { attempt, .. } = say {
                self.calls.attempt_lost(self.now, id, *attempt, Came::NeverSent);
            }
            return;
        };
        let goes = link.session.say(id, say);
        let unconnected = link.conn.is_none();
        if let (ToExchange::SetUp { attempt, .. }, false) = (say, goes) {
            self.calls.attempt_lost(self.now, id, *attempt, Came::NeverSent);
        }
        if unconnected {
            self.connect(to);
        }
    }

    fn end(&mut self) {
        conn::swallow(&self.signals[0]);
        if !self.ending {
            self.ending = true;
            self.calls.deadlines.add(self.now + STILL_COMING, Due::Link(LinkDue::StopListening));
            let longest = self.calls.told().module.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
            let leave = self.now + longest.min(LEAVE_AFTER[0]) + LEAVE_AFTER[1];
            self.calls.deadlines.add(leave, Due::Link(LinkDue::Leave));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn turns_are_a_tick_apart_and_no_turn_waits_for_longer() {
        let at = |now| early(100 * MS, 5 * MS, now);
        assert_eq!([at(100 * MS), at(103 * MS), at(105 * MS), at(900 * MS)], [5 * MS, 2 * MS, 0, 0]);
        assert_eq!(early(100 * MS, 900 * MS, 100 * MS), MOST_TICK);
    }
}
