//! The driver: sockets, epoll and nothing else. It reads into the sessions' buffers, writes what they hold, and
//! keeps connections up; what is said and when is settled elsewhere.

mod callers;
mod conn;
mod exchanges;
mod journal;

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::os::fd::AsFd;
use std::os::unix::net::UnixStream;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::time::Duration;

use pitchgw::interface::{ExchangeId, Nanos};
use rustix::buffer::spare_capacity;
use rustix::event::{epoll, Timespec};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};

use crate::call::{Calls, Came, Command, Due, LinkDue, ToCaller};
use crate::clock::{Clock, MS};
use crate::directory::{self, Bounds, Config, Directory, Told};
use callers::Callers;
use conn::{Conn, Peer};
use exchanges::Link;
use journal::Feed;

/// Tokens of what is no connection; those of connections come after.
const LISTENER: u64 = 0;
const SIGNAL_END: u64 = 1;
const SIGNAL_PRINT: u64 = 2;
const SIGNAL_RELOAD: u64 = 3;
const FIRST_CONN: u64 = 16;

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
/// Connections that wait to be let in; the system has a bound of its own. Past it the system drops what comes,
/// and a caller that meets a crowd tries again a second later, when its call is too late.
const BACKLOG: i32 = 4096;
/// Reads of one connection in a turn, by whether a caller is at its other end. Epoll tells again of what is left.
const READS: [usize; 2] = [16, 4];

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
    listen: SocketAddr,
    signals: [UnixStream; 3],
    /// Where the configuration is read from, again on SIGHUP.
    path: String,
    clock: Clock,
    now: Nanos,
    tick: Nanos,
    calls: Calls,
    bounds: Bounds,
    conns: BTreeMap<u64, Conn>,
    next_conn: u64,
    /// Connections that may have something to write, or are to be watched for something else.
    touched: BTreeSet<u64>,
    /// Bytes that the buffers of all connections take.
    held: usize,
    callers: Callers,
    links: BTreeMap<ExchangeId, Link>,
    feed: Feed,
    ending: bool,
    leave: bool,
}

fn text(what: &'static str) -> impl Fn(io::Error) -> String {
    move |e| format!("{what}: {e}")
}

fn read_config(path: &str) -> Result<(Config, Told), String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("configuration: {path}: {e}"))?;
    let config = directory::read_config(&text)?;
    let told = directory::read_settings(&config)?;
    Ok((config, told))
}

fn listen(epoll: &std::os::fd::OwnedFd, at: SocketAddr) -> Result<TcpListener, String> {
    let listener = TcpListener::bind(at).map_err(text("listen"))?;
    rustix::net::listen(&listener, BACKLOG).map_err(|e| format!("listen: {e}"))?;
    listener.set_nonblocking(true).map_err(text("listen"))?;
    watch(epoll, listener.as_fd(), LISTENER)?;
    Ok(listener)
}

fn watch(epoll: &std::os::fd::OwnedFd, fd: std::os::fd::BorrowedFd<'_>, token: u64) -> Result<(), String> {
    let data = epoll::EventData::new_u64(token);
    epoll::add(epoll, fd, data, epoll::EventFlags::IN).map_err(|e| format!("epoll: {e}"))
}

impl Driver {
    /// Reads the configuration and opens the listener.
    pub fn start(path: String) -> Result<Driver, String> {
        let (config, told) = read_config(&path)?;
        let tick = told.module.tick;
        let bounds = config.limits.bounds();
        let list = Directory::new(&config.settings);
        let calls = Calls::new(told, bounds, list);
        let mut calls = calls.map_err(|e| format!("configuration: settings: {e}"))?;
        let mut clock = Clock::start();
        let now = clock.read();
        let known = calls.directory.take(config.known);
        calls.news(now, known.unwrap_or_else(|missing| missing.0));

        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC).map_err(|e| format!("epoll: {e}"))?;
        let listener = listen(&epoll, config.listen)?;
        let mut ends = Vec::new();
        let signals =
            [(SIGNAL_END, &[SIGTERM, SIGINT][..]), (SIGNAL_PRINT, &[SIGUSR1]), (SIGNAL_RELOAD, &[SIGHUP])];
        for (token, signals) in signals {
            let (ours, theirs) = UnixStream::pair().map_err(text("signals"))?;
            ours.set_nonblocking(true).map_err(text("signals"))?;
            for signal in signals {
                let end = theirs.try_clone().map_err(text("signals"))?;
                signal_hook::low_level::pipe::register(*signal, end).map_err(text("signals"))?;
            }
            watch(&epoll, ours.as_fd(), token)?;
            ends.push(ours);
        }
        let signals = ends.try_into().map_err(|_| "signals")?;
        let mut driver = Driver {
            epoll,
            listener: Some(listener),
            listen: config.listen,
            signals,
            path,
            clock,
            now,
            tick,
            calls,
            bounds,
            conns: BTreeMap::new(),
            next_conn: FIRST_CONN,
            touched: BTreeSet::new(),
            held: 0,
            callers: Callers::default(),
            links: BTreeMap::new(),
            feed: Feed::new(config.journal),
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
                SIGNAL_RELOAD => {
                    conn::swallow(&self.signals[2]);
                    if let Err(text) = self.reload() {
                        eprintln!("dillhold: not applied: {}", text.replace(char::is_control, " "));
                    }
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
            while let Some(token) = self.touched.pop_first() {
                self.flush(token);
            }
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

    fn add(&mut self, stream: std::os::fd::OwnedFd, peer: Peer, connecting: bool) -> Option<u64> {
        let token = self.next_conn;
        match Conn::new(&self.epoll, stream, token, peer, connecting, self.now) {
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
        if self.conns.len() >= self.bounds.connections {
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

    fn is_up(&self, token: u64) -> bool {
        self.conns.get(&token).is_some_and(|c| !c.connecting)
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
        self.touched.insert(token);
        if flags.intersects(epoll::EventFlags::IN | epoll::EventFlags::HUP | epoll::EventFlags::ERR) {
            self.read(token);
        }
    }

    fn up(&mut self, token: u64) {
        self.touched.insert(token);
        if let Some(&Peer::Exchange(id)) = self.conns.get(&token).map(|c| &c.peer) {
            if let Some(link) = self.links.get_mut(&id) {
                (link.refused, link.up_at) = (0, self.now);
                if link.session.holds_set_ups() {
                    self.listen_for(id);
                }
            }
            self.calls.counters.up("sent exchange connections");
        }
    }

    fn read(&mut self, token: u64) {
        for _ in 0..READS[usize::from(self.caller(token))] {
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
            conn.read = self.now;
            // A panic costs the connection that it came from. What a caller was answered before goes out first;
            // to an exchange that is not understood any more nothing new is sent.
            if !catch_unwind(AssertUnwindSafe(|| self.feed(token))).unwrap_or(false) {
                self.calls.counters.up("errors unreadable");
                if self.caller(token) {
                    self.carry_out();
                    self.flush(token);
                }
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
                Some(link) => {
                    link.heard();
                    let before = link.session.half;
                    let readable = link.session.feed(self.now, *id, &mut self.calls).is_ok();
                    if link.session.half.is_some() && link.session.half != before {
                        let due = Due::Link(LinkDue::Half(*id, token));
                        self.calls.deadlines.add(self.now + exchanges::HALF, due);
                    }
                    readable
                }
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
        let Some(conn) = self.forget(token) else { return };
        match conn.peer {
            Peer::Caller(caller) => {
                self.callers.count -= 1;
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
                self.journal_lost();
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

    /// Takes a connection out of the books.
    fn forget(&mut self, token: u64) -> Option<Conn> {
        let conn = self.conns.remove(&token)?;
        self.held -= conn.held;
        Some(conn)
    }

    fn flush(&mut self, token: u64) {
        let Some(conn) = self.conns.get_mut(&token).filter(|c| !c.connecting) else { return };
        let caller = matches!(conn.peer, Peer::Caller(_));
        let (inbox, outbox) = match &mut conn.peer {
            Peer::Caller(caller) => (&caller.inbox, &mut caller.outbox),
            Peer::Journal(journal) => (&journal.inbox, &mut journal.outbox),
            Peer::Exchange(id) => match self.links.get_mut(id) {
                Some(link) => (&link.session.inbox, &mut link.session.outbox),
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
        let held = inbox.held() + outbox.held();
        self.held = self.held - conn.held + held;
        conn.held = held;
        // When memory is short, a caller that holds more than its share of it makes room.
        if caller && self.held > self.bounds.buffered && held > self.bounds.buffered / self.bounds.connections
        {
            self.calls.counters.up("errors callers over the memory");
            return self.close(token);
        }
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
    // Deadlines, commands, signals
    // -----------------------------------------------------------------------------------------------------

    fn link_due(&mut self, due: LinkDue) {
        match due {
            LinkDue::Connect(token) => {
                if self.conns.get(&token).is_some_and(|c| c.connecting) {
                    self.lost(token, true);
                }
            }
            LinkDue::Half(id, token) => self.half_due(id, token),
            LinkDue::Silent(id, token) => self.silent_due(id, token),
            LinkDue::Redial(id) => {
                if let Some(link) = self.links.get_mut(&id) {
                    link.redial = false;
                    self.connect(id);
                }
            }
            LinkDue::Ask => self.ask_journal(),
            LinkDue::Journal(token) => self.journal_due(token),
            LinkDue::Caller(token) => self.caller_due(token),
            LinkDue::Releases => self.deliver(None),
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

    /// Reads the configuration again and applies it whole, or not at all. Calls and connections stay.
    fn reload(&mut self) -> Result<(), String> {
        let (config, told) = read_config(&self.path)?;
        if !self.calls.admits(&told) {
            return Err("configuration: settings: own exchange, layout or classes differ: start anew".into());
        }
        if config.listen != self.listen && self.listener.is_some() {
            self.listener = Some(listen(&self.epoll, config.listen)?);
            self.listen = config.listen;
        }
        self.tick = told.module.tick;
        self.bounds = config.limits.bounds();
        self.calls.reconfigure(told, self.bounds, &config.settings);
        let known = self.calls.directory.take(config.known);
        self.calls.news(self.now, known.unwrap_or_else(|missing| missing.0));
        self.move_journal(config.journal);
        self.calls.counters.up("taken configurations");
        Ok(())
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
