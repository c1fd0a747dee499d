//! Calls: who is owed what. Events of the protocols become the module's [`Event`]s, its [`Action`]s become
//! commands that name no wire format; a second protocol goes through here too.
//!
//! Nothing is decided here, but the rules that the module cannot see are enforced: one attempt out at a time,
//! the attempts' cap, the wait after an attempt that may have left something behind, the destinations a call
//! may go to, and exactly one final answer before the caller gives up.

mod attempts;
mod memory;
mod standing;
mod words;

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::panic::{catch_unwind, AssertUnwindSafe};

use measured::calendar::Calendar;
use measured::meter::Meter;
use measured::record::Interval;
use pitchgw::interface::*;
use pitchgw::Controller;

use crate::clock::MS;
use crate::counters::Counters;
use crate::deadlines::Deadlines;
use crate::directory::{Bounds, Directory, News, Told};
use memory::{EndedCalls, Numbers};
pub use standing::GroupState;
pub use words::*;

/// A caller that would wait for longer than so many of its class's deadlines is not served.
const MOST_DEADLINES: u64 = 2;
/// How long after the journal said that a machine is gone its own releases may still come. A machine that
/// stops after a drain may say nothing and leave its connections open; the journal tells up to 7 s late, and
/// 8 s after their end its calls have to be released towards their callers.
const LAST_WORDS: Nanos = 250 * MS;
/// The call was cut (Q.850 41, temporary failure).
const CUT: u8 = 41;

#[derive(Clone, Copy, Debug)]
struct Out {
    exchange: ExchangeId,
    attempt: u32,
    sent: Nanos,
}

#[derive(Debug)]
struct Call {
    handle: CallId,
    /// Where the set-up came from.
    link: CallerLink,
    /// Bytes of what came with it.
    size: usize,
    class: usize,
    number: Vec<u8>,
    /// The module's handle for the number.
    dialled: Option<NumberId>,
    description: Vec<u8>,
    destination: u32,
    /// Circuits that it takes on each group.
    width: u32,
    transit: bool,
    deadline: Nanos,
    attempts: u32,
    out: Option<Out>,
    /// Set once the call stands, with the time.
    stands: Option<Out>,
    stood_at: Nanos,
    /// The caller is owed a final answer.
    owed: bool,
    not_before: Nanos,
}

impl Call {
    fn measured(&self) -> measured::meter::Call {
        let (class, destination, transit) = (self.class, self.destination, self.transit);
        measured::meter::Call { class, destination, transit }
    }
}

fn unix_ms(time: Nanos) -> i64 {
    (time / MS) as i64
}

/// The calls of one connection from callers.
#[derive(Debug, Default)]
struct ConnectionCalls {
    /// Set-ups that are owed an answer on it.
    open: BTreeSet<u64>,
    /// Calls that stand and were set up on it.
    standing: usize,
}

/// The call table with the module.
pub struct Calls {
    module: Controller,
    set: Settings,
    told: Told,
    /// The list of exchanges.
    pub directory: Directory,
    table: HashMap<u64, Call>,
    ids: HashMap<CallId, u64>,
    /// The calls of each connection from callers; connections without any are not here.
    by_connection: HashMap<CallerLink, ConnectionCalls>,
    ended_calls: EndedCalls,
    forgetting: bool,
    numbers: Numbers,
    /// Counts for the operator, if he has asked for it.
    meter: Option<Meter>,
    /// Closed intervals that were not fetched yet.
    pub intervals: VecDeque<Interval>,
    next_call: CallId,
    open: usize,
    /// Calls that stand, by exchange; exchanges without any are not here.
    standing_at: HashMap<ExchangeId, usize>,
    /// After the signal to end: every set-up has its final answer by then.
    answer_by: Option<Nanos>,
    /// New set-ups are refused, for the process leaves.
    refusing: bool,
    /// The states of groups as exchanges first told them since their connections came up.
    groups: HashMap<ExchangeId, GroupState>,
    /// Bytes of the set-ups that are owed an answer.
    held: usize,
    bounds: Bounds,
    later: VecDeque<Event>,
    /// All deadlines of the program.
    pub deadlines: Deadlines<Due>,
    /// What is to be sent, in order.
    pub commands: VecDeque<Command>,
    /// All counts of the program.
    pub counters: Counters,
}

impl Calls {
    /// An empty table.
    pub fn new(told: Told, bounds: Bounds, directory: Directory) -> Result<Calls, SettingsError> {
        let longest = told.module.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
        Ok(Calls {
            module: Controller::new(told.module.clone(), told.seed)?,
            set: told.module.clone(),
            told,
            directory,
            table: HashMap::new(),
            ids: HashMap::new(),
            by_connection: HashMap::new(),
            ended_calls: EndedCalls::new(bounds.standing),
            forgetting: false,
            // A caller that dials again does so within the longest deadline.
            numbers: Numbers::new(longest, bounds.standing),
            meter: None,
            intervals: VecDeque::new(),
            next_call: 0,
            open: 0,
            standing_at: HashMap::new(),
            answer_by: None,
            refusing: false,
            groups: HashMap::new(),
            held: 0,
            bounds,
            later: VecDeque::new(),
            deadlines: Deadlines::default(),
            commands: VecDeque::new(),
            counters: Counters::default(),
        })
    }

    /// Counts calls and groups from now on, interval by interval.
    pub fn measure(&mut self, now: Nanos, calendar: Calendar) {
        let widths = self.set.classes.iter().map(|c| c.width);
        let class = |(name, width): (&String, u32)| measured::meter::Class { name: name.clone(), width };
        let classes = self.told.classes.iter().zip(widths).map(class).collect();
        let persists = self.set.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
        let home = self.set.home.unwrap_or(self.set.own_number);
        let meter = Meter::new(home, classes, calendar, unix_ms(persists), unix_ms(now));
        self.deadlines.add(meter.ends() as Nanos * MS, Due::Measured);
        self.meter = Some(meter);
    }

    /// Closes the intervals that are over; `running`: the present one too, for the program ends.
    pub fn close_intervals(&mut self, now: Nanos, running: bool) {
        let Some(meter) = &mut self.meter else { return };
        while let Some(interval) = meter.roll(unix_ms(now)) {
            self.intervals.push_back(interval);
        }
        if running {
            self.intervals.extend(meter.cut(unix_ms(now)));
            self.meter = None;
        } else {
            self.deadlines.add(meter.ends() as Nanos * MS, Due::Measured);
        }
    }

    /// Whether these settings can take the place of the present ones while calls are open and stand: they are of
    /// the same exchange, in the same layout, with the same classes.
    pub fn admits(&self, told: &Told) -> bool {
        let same = |s: &Settings| (s.home, s.own_number, s.zone, s.shape);
        same(&told.module) == same(&self.told.module) && told.classes == self.told.classes
    }

    /// Goes on with other settings, which [`Calls::admits`] has let through.
    pub fn reconfigure(&mut self, told: Told, bounds: Bounds, settings: &serde_json::Value) {
        self.module.reconfigure(told.module.clone());
        self.directory.rezone(settings);
        self.ended_calls.bound(bounds.standing);
        (self.set, self.told, self.bounds) = (told.module.clone(), told, bounds);
    }

    /// After the signal to end: every set-up, open or new, has its final answer by this time.
    pub fn answer_all_by(&mut self, answer_by: Nanos) {
        self.answer_by = Some(answer_by);
        let guard = answer_by.saturating_sub(self.set.tick / 2);
        let mut open: Vec<(u64, CallId)> = Vec::new();
        for (id, call) in self.table.iter_mut().filter(|(_, c)| c.owed && c.deadline > answer_by) {
            call.deadline = answer_by;
            open.push((*id, call.handle));
        }
        open.sort_unstable();
        for (id, handle) in open {
            self.deadlines.add(guard, Due::Answer(id, handle));
        }
    }

    /// While the process leaves, new set-ups are refused at once.
    pub fn refuse_new(&mut self) {
        self.refusing = true;
    }

    /// What the settings say to the connections.
    pub fn told(&self) -> &Told {
        &self.told
    }

    /// Set-ups that are owed an answer.
    pub fn open(&self) -> usize {
        self.open
    }

    /// Whether a set-up that came on this connection is owed an answer.
    pub fn open_on(&self, link: CallerLink) -> bool {
        self.by_connection.get(&link).is_some_and(|b| !b.open.is_empty())
    }

    /// Whether a call of this connection is open or stands.
    pub fn has_calls(&self, link: CallerLink) -> bool {
        self.by_connection.contains_key(&link)
    }

    fn update_connection(&mut self, link: CallerLink, change: impl FnOnce(&mut ConnectionCalls)) {
        let calls = self.by_connection.entry(link).or_default();
        change(calls);
        if calls.open.is_empty() && calls.standing == 0 {
            self.by_connection.remove(&link);
        }
    }

    // -----------------------------------------------------------------------------------------------------
    // From callers
    // -----------------------------------------------------------------------------------------------------

    /// Takes in what a caller said on a connection. False: a set-up that is not one to be served, or a release
    /// of a call that is not known.
    pub fn from_caller(&mut self, now: Nanos, link: CallerLink, said: FromCaller<'_>) -> bool {
        match said {
            FromCaller::SetUp(set_up) => self.set_up(now, link, &set_up),
            FromCaller::Unservable(id) => {
                self.counters.up("taken set-ups");
                if !self.twice(now, link, id) {
                    self.unservable(link, id);
                }
                false
            }
            FromCaller::Release { id, cause } => self.released_by_caller(now, id, cause),
        }
    }

    fn unservable(&mut self, link: CallerLink, id: u64) {
        tracing::info!(call = format_args!("{id:016x}"), conn = link, "failed: set-up cannot be served");
        self.counters.up("taken set-ups unservable");
        self.say(Some(link), id, ToCaller::Failed);
    }

    /// Answers a set-up with the id of a call that is open or stands. On the call's own connection nobody can
    /// tell which of the two an answer would be for: the call is ended, and that one answer serves both.
    fn twice(&mut self, now: Nanos, link: CallerLink, id: u64) -> bool {
        let Some(known) = self.table.get(&id).map(|c| (c.link == link, c.owed, c.stands)) else {
            return false;
        };
        self.counters.up("taken set-ups twice");
        self.say(Some(link), id, ToCaller::Failed);
        match known {
            (true, true, _) => self.abandon(now, id, true),
            (true, false, Some(stood)) => {
                self.say_exchange(stood.exchange, id, ToExchange::Release(16));
                self.over_standing(now, id, Outcome::CalledOff);
            }
            _ => {}
        }
        true
    }

    fn set_up(&mut self, now: Nanos, link: CallerLink, s: &SetUp<'_>) -> bool {
        self.counters.up("taken set-ups");
        if self.twice(now, link, s.id) {
            return false;
        }
        let class = self.told.classes.iter().position(|c| c.as_bytes() == s.class);
        let fits = |c: &usize| s.wait <= MOST_DEADLINES * self.set.classes[*c].deadline;
        // A late word on a call that had this id would be taken for one on the new call.
        let (Some(class), false) = (class.filter(fits), self.ended_calls.answered(s.id)) else {
            self.unservable(link, s.id);
            return false;
        };
        let deadline = self.answer_by.map_or(now + s.wait, |by| by.min(now + s.wait));
        if self.refusing || deadline <= now + self.set.tick {
            self.counters.up("answered refused while leaving");
            self.say(Some(link), s.id, ToCaller::Refused(self.set.max_pause.unwrap_or(0)));
            return true;
        }
        let size = s.number.len() + s.description.len();
        let standing = self.table.len() - self.open;
        let room = self.open < self.told.max_open
            && self.held + size <= self.bounds.open_bytes
            && standing < self.bounds.standing;
        if !room {
            let (open, held) = (self.open, self.held);
            tracing::info!(call = format_args!("{:016x}", s.id), open, held, standing, "refused: no room");
            self.counters.up("answered refused for want of room");
            self.say(Some(link), s.id, ToCaller::Refused(self.set.max_pause.unwrap_or(0)));
            return true;
        }
        let handle = self.next_call;
        self.next_call += 1;
        let width = s.width.unwrap_or(self.set.classes[class].width);
        self.ids.insert(handle, s.id);
        self.table.insert(
            s.id,
            Call {
                handle,
                link,
                size,
                class,
                number: s.number.to_vec(),
                dialled: None,
                description: s.description.to_vec(),
                destination: s.destination,
                width,
                transit: s.transit,
                deadline,
                attempts: 0,
                out: None,
                stands: None,
                stood_at: now,
                owed: true,
                not_before: now,
            },
        );
        (self.open, self.held) = (self.open + 1, self.held + size);
        self.update_connection(link, |b| {
            b.open.insert(s.id);
        });
        // The module answers two ticks before the caller gives up. A call that has no answer by half a tick
        // before is failed here, whatever keeps the module from it; no sooner, or it takes the module's place.
        self.deadlines.add(deadline.saturating_sub(self.set.tick / 2), Due::Answer(s.id, handle));
        let dialled = Some(s.number).filter(|n| !n.is_empty()).map(|n| self.numbers.handle(now, n));
        if let (Some(meter), Some(call)) = (&mut self.meter, self.table.get_mut(&s.id)) {
            call.dialled = dialled;
            meter.offered(unix_ms(now), call.measured(), dialled, s.again);
        }
        self.tell(
            now,
            Event::Call(NewCall {
                call: handle,
                class,
                dialled,
                deadline,
                destination: s.destination,
                width,
                advised: s.advised,
                transit: s.transit,
                cut: s.again,
            }),
        );
        true
    }

    /// A caller gives its set-up up, or releases a call that stands.
    fn released_by_caller(&mut self, now: Nanos, id: u64, cause: u8) -> bool {
        let Some(call) = self.table.get(&id) else {
            // A call of before this program started, which some exchange still holds. What only crosses the
            // end of a call here is known and goes nowhere.
            let unknown = !self.ended_calls.knows(id);
            if unknown {
                self.counters.up("taken releases of unknown calls");
                self.remember(now, id, true);
                let to: Vec<ExchangeId> = self.directory.machines().map(|(id, _)| id).collect();
                to.into_iter().for_each(|to| self.say_exchange(to, id, ToExchange::ReleaseUnknown(cause)));
            }
            return !unknown;
        };
        if call.owed {
            self.counters.up("taken set-ups given up");
            self.abandon(now, id, true);
        } else if let Some(stood) = call.stands {
            self.counters.up("taken releases from callers");
            self.say_exchange(stood.exchange, id, ToExchange::Release(cause));
            self.over_standing(now, id, Outcome::CalledOff);
        }
        true
    }

    /// The caller has left, or the answer is given without the module. `for_good`: the id may not come again.
    fn abandon(&mut self, now: Nanos, id: u64, for_good: bool) {
        if let Some(handle) = self.answered(id) {
            self.tell(now, Event::HungUp(handle));
            self.give_up(now, id, Outcome::CalledOff);
            self.forget(now, id, for_good);
        }
    }

    /// A caller's connection has ended: its open set-ups are given up.
    pub fn caller_lost(&mut self, now: Nanos, link: CallerLink) {
        let lost = self.by_connection.get(&link).map(|b| b.open.clone());
        for id in lost.unwrap_or_default() {
            self.counters.up("errors set-ups lost with their caller");
            // A set-up that crossed the close may come again on another connection.
            self.abandon(now, id, false);
        }
    }

    // -----------------------------------------------------------------------------------------------------
    // From exchanges
    // -----------------------------------------------------------------------------------------------------

    /// Takes in what an exchange said.
    pub fn from_exchange(&mut self, now: Nanos, exchange: ExchangeId, said: FromExchange<'_>) {
        match said {
            FromExchange::Answered { id, description } => self.answer(now, exchange, id, description),
            FromExchange::Ended { id, outcome, cause, report } => match self.out_at(id, exchange) {
                Some(out) => self.ended(now, id, out, (outcome, cause, report)),
                None => self.counters.up("taken endings too late"),
            },
            FromExchange::Released { id, cause } => self.released(now, exchange, id, cause),
            FromExchange::Group(report) => {
                self.counters.up("taken group states");
                let number = self.directory.machine(exchange).map(|m| m.number);
                if let Some((free, size)) = report.free.zip(report.size) {
                    let in_use = (size - free).max(0.0);
                    self.groups.entry(exchange).or_insert(GroupState { at: now, in_use });
                }
                let known = number.zip(report.free).zip(report.size);
                if let (Some(meter), Some(((number, free), size))) = (&mut self.meter, known) {
                    meter.state(unix_ms(now), number, free, size);
                }
                self.tell(now, Event::Probed { exchange, answered: true, took: 0, report });
            }
        }
    }

    fn answer(&mut self, now: Nanos, exchange: ExchangeId, id: u64, description: &[u8]) {
        let Some(out) = self.out_at(id, exchange) else {
            self.counters.up("taken answers too late");
            // The answer crossed the end of its attempt: what stands there must not be left standing. But one
            // more answer where the call stands already would have it released, and one under an id that was
            // never sent from here is dropped, for nothing stands for it.
            let call = self.table.get(&id);
            let copy = call.and_then(|c| c.stands).is_some_and(|s| self.speaks_for(exchange, s.exchange));
            if !copy && (call.is_some() || self.ended_calls.knows(id)) {
                self.say_exchange(exchange, id, ToExchange::Release(16));
            }
            return;
        };
        self.counters.up("taken answers");
        let Some(call) = self.table.get_mut(&id) else { return };
        (call.out, call.stands, call.stood_at) = (None, Some(out), now);
        if let Some(meter) = &mut self.meter {
            let by = self.directory.machine(out.exchange).map_or(call.destination, |m| m.number);
            meter.stood(call.measured(), by, call.dialled);
        }
        (call.number, call.description) = (Vec::new(), Vec::new());
        let (handle, link) = (call.handle, call.link);
        self.answered(id);
        self.update_connection(link, |b| b.standing += 1);
        let standing = self.standing_at.entry(out.exchange).or_default();
        *standing += 1;
        if *standing == 1 {
            self.commands.push_back(Command::Watch(out.exchange));
        }
        self.counters.up("answered stands");
        self.say(Some(link), id, ToCaller::Answer(description.to_vec()));
        self.tell(now, Event::Stands { call: handle, attempt: out.attempt, took: now - out.sent });
    }

    // -----------------------------------------------------------------------------------------------------
    // From the journal and the deadlines
    // -----------------------------------------------------------------------------------------------------

    /// Takes in what the journal changed.
    pub fn news(&mut self, now: Nanos, news: News) {
        for (kind, entries) in news.lists {
            tracing::info!(?kind, ?entries, "list of exchanges");
            self.counters.up("taken lists");
            for e in entries.iter().filter(|e| e.standing != Standing::Up) {
                self.commands.push_back(Command::Withhold(e.exchange));
            }
            self.tell(now, Event::List(kind, entries));
        }
        for exchange in news.ended {
            self.commands.push_back(Command::Withhold(exchange));
            self.deadlines.add(now + LAST_WORDS, Due::Gone(exchange));
        }
        self.commands.push_back(Command::Listed);
    }

    /// Something is due.
    pub fn due(&mut self, now: Nanos, due: Due) {
        match due {
            Due::Module(token) => self.tell(now, Event::Timer(token)),
            Due::Attempt(id, handle, attempt) => {
                let call = self.table.get(&id).filter(|c| c.handle == handle);
                if call.and_then(|c| c.out).is_some_and(|o| o.attempt == attempt) {
                    self.counters.up("errors attempts timed out");
                    self.give_up(now, id, Outcome::TimedOut);
                }
            }
            Due::Answer(id, handle) => {
                if self.table.get(&id).is_some_and(|c| c.owed && c.handle == handle) {
                    self.counters.up("errors answers overdue");
                    let link = self.table[&id].link;
                    self.say(Some(link), id, ToCaller::Failed);
                    self.abandon(now, id, true);
                }
            }
            Due::Gone(exchange) => {
                let machine = self.directory.machine(exchange);
                let lives = machine.filter(|m| m.standing != Standing::Gone);
                let before = lives.map_or(Nanos::MAX, |m| m.since.unwrap_or(0));
                self.exchange_ended(now, exchange, before);
                if before == Nanos::MAX {
                    self.commands.push_back(Command::Ended(exchange));
                }
            }
            Due::Measured => self.close_intervals(now, false),
            Due::Forget => {
                self.forgetting = false;
                self.ended_calls.forget(now);
                self.remind();
            }
            Due::Link(_) => {}
        }
    }

    /// Whether nothing is left to be told to the module or to be carried out.
    pub fn settled(&self) -> bool {
        self.later.is_empty() && self.commands.is_empty()
    }

    /// Tells the module what came of its last actions, until nothing more does.
    pub fn settle(&mut self, now: Nanos) {
        while let Some(event) = self.later.pop_front() {
            self.tell(now, event);
        }
    }

    // -----------------------------------------------------------------------------------------------------
    // The module
    // -----------------------------------------------------------------------------------------------------

    fn tell(&mut self, now: Nanos, event: Event) {
        let mut actions = Vec::new();
        let module = &mut self.module;
        // A panic in the module costs what the event asked for, not the program; the guard on the final answer
        // serves a call that is left without one.
        if catch_unwind(AssertUnwindSafe(|| module.handle(now, event, &mut actions))).is_err() {
            self.counters.up("errors panics in the module");
        }
        for action in actions {
            self.act(now, action);
        }
    }

    fn act(&mut self, now: Nanos, action: Action) {
        match action {
            Action::Send { call, exchange, timeout } => self.send(now, call, exchange, timeout),
            Action::CallOff { call, attempt } => {
                if let Some(id) = self.ids.get(&call).copied() {
                    if self.table.get(&id).and_then(|c| c.out).is_some_and(|o| o.attempt == attempt) {
                        self.give_up(now, id, Outcome::CalledOff);
                    }
                }
            }
            Action::Refuse { call, pause } => self.final_answer(now, call, ToCaller::Refused(pause)),
            Action::Fail(call) => self.final_answer(now, call, ToCaller::Failed),
            Action::Timer(token, at) => self.deadlines.add(at, Due::Module(token)),
            Action::Note(text) => tracing::info!(text, "note of the module"),
            // Probes are not allowed, and the journal is followed unasked.
            Action::Probe(_) | Action::Subscribe | Action::FetchList => {}
        }
    }

    fn final_answer(&mut self, now: Nanos, handle: CallId, say: ToCaller) {
        let Some(id) = self.ids.get(&handle).copied() else { return };
        let Some(link) = self.table.get(&id).filter(|c| c.owed).map(|c| c.link) else { return };
        tracing::debug!(call = format_args!("{id:016x}"), answer = ?say, "final answer");
        self.counters.up(if say == ToCaller::Failed { "answered failed" } else { "answered refused" });
        self.say(Some(link), id, say);
        self.answered(id);
        self.give_up(now, id, Outcome::CalledOff);
        self.forget(now, id, true);
    }

    // -----------------------------------------------------------------------------------------------------
    // Ends
    // -----------------------------------------------------------------------------------------------------

    fn say(&mut self, link: Option<CallerLink>, id: u64, say: ToCaller) {
        self.commands.push_back(Command::Caller { link, id, say });
    }

    fn say_exchange(&mut self, to: ExchangeId, id: u64, say: ToExchange) {
        self.commands.push_back(Command::Exchange { to, id, say });
    }

    /// The final answer is given, or owed no more. Tells the module's handle if it was owed until now.
    fn answered(&mut self, id: u64) -> Option<CallId> {
        let call = self.table.get_mut(&id).filter(|c| c.owed)?;
        call.owed = false;
        let (link, handle) = (call.link, call.handle);
        self.open -= 1;
        self.held -= call.size;
        self.update_connection(link, |b| {
            b.open.remove(&id);
        });
        Some(handle)
    }

    fn forget(&mut self, now: Nanos, id: u64, for_good: bool) {
        if let Some(call) = self.table.remove(&id) {
            if let (Some(meter), None) = (&mut self.meter, call.stands) {
                meter.lost(call.measured());
            }
            self.ids.remove(&call.handle);
            if let Some(stood) = call.stands {
                self.update_connection(call.link, |b| b.standing -= 1);
                self.stands_no_more(stood.exchange);
            }
            self.remember(now, id, for_good);
        }
    }

    fn remember(&mut self, now: Nanos, id: u64, for_good: bool) {
        self.ended_calls.remember(now, id, for_good);
        self.remind();
    }

    fn remind(&mut self) {
        if let (Some(due), false) = (self.ended_calls.due(), self.forgetting) {
            self.forgetting = true;
            self.deadlines.add(due, Due::Forget);
        }
    }
}
