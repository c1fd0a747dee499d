//! Calls: who is owed what. Events of the protocols become the module's [`Event`]s, its [`Action`]s become
//! commands that name no wire format; a second protocol goes through here too.
//!
//! Nothing is decided here, but the rules that the module cannot see are enforced: one attempt out at a time,
//! the attempts' cap, the wait after an attempt that may have left something behind, the destinations a call
//! may go to, and exactly one final answer before the caller gives up.

mod attempts;
mod messages;
mod recent;
mod standing;

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
use crate::directory::{Bounds, ControllerSettings, Directory, DirectoryUpdate};
pub use messages::*;
use recent::{EndedCalls, Numbers};
pub use standing::GroupState;

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
    link: CallerConnId,
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
    told: ControllerSettings,
    /// The list of exchanges.
    pub directory: Directory,
    table: HashMap<u64, Call>,
    ids: HashMap<CallId, u64>,
    /// The calls of each connection from callers; connections without any are not here.
    by_connection: HashMap<CallerConnId, ConnectionCalls>,
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
    pub deadlines: Deadlines<Deadline>,
    /// What is to be sent, in order.
    pub commands: VecDeque<Command>,
    /// All counts of the program.
    pub counters: Counters,
}

impl Calls {
    /// An empty table.
    pub fn new(
        told: ControllerSettings,
        bounds: Bounds,
        directory: Directory,
    ) -> Result<Calls, SettingsError> {
        let longest = told.module.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
        Ok(Calls {
            module: Controller::new(told.module.clone(), told.seed)?,
            set: told.module.clone(),
            told,
            directory,
            table: HashMap::new(),
            ids: HashMap::new(),
            by_connection: HashMap::new(),
            ended_calls: EndedCalls::new(bounds.max_standing_calls),
            forgetting: false,
            // A caller that dials again does so within the longest deadline.
            numbers: Numbers::new(longest, bounds.max_standing_calls),
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
    pub fn start_measuring(&mut self, now: Nanos, calendar: Calendar) {
        let widths = self.set.classes.iter().map(|c| c.width);
        let class = |(name, width): (&String, u32)| measured::meter::Class { name: name.clone(), width };
        let classes = self.told.classes.iter().zip(widths).map(class).collect();
        let persists = self.set.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
        let home = self.set.home_exchange.unwrap_or(self.set.controller_index);
        let meter = Meter::new(home, classes, calendar, unix_ms(persists), unix_ms(now));
        self.deadlines.add(meter.ends() as Nanos * MS, Deadline::IntervalEnd);
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
            self.deadlines.add(meter.ends() as Nanos * MS, Deadline::IntervalEnd);
        }
    }

    /// Whether these settings can take the place of the present ones while calls are open and stand: they are of
    /// the same exchange, in the same layout, with the same classes.
    pub fn can_reconfigure(&self, told: &ControllerSettings) -> bool {
        let same = |s: &Settings| (s.home_exchange, s.controller_index, s.zone, s.topology);
        same(&told.module) == same(&self.told.module) && told.classes == self.told.classes
    }

    /// Goes on with other settings, which [`Calls::can_reconfigure`] has let through.
    pub fn reconfigure(&mut self, told: ControllerSettings, bounds: Bounds, settings: &serde_json::Value) {
        self.module.reconfigure(told.module.clone());
        self.directory.update_zones(settings);
        self.ended_calls.bound(bounds.max_standing_calls);
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
            self.deadlines.add(guard, Deadline::FinalAnswer(id, handle));
        }
    }

    /// While the process leaves, new set-ups are refused at once.
    pub fn refuse_new_set_ups(&mut self) {
        self.refusing = true;
    }

    /// What the settings say to the connections.
    pub fn settings(&self) -> &ControllerSettings {
        &self.told
    }

    /// Set-ups that are owed an answer.
    pub fn open_set_ups(&self) -> usize {
        self.open
    }

    /// Whether a set-up that came on this connection is owed an answer.
    pub fn has_open_set_ups(&self, link: CallerConnId) -> bool {
        self.by_connection.get(&link).is_some_and(|b| !b.open.is_empty())
    }

    /// Whether a call of this connection is open or stands.
    pub fn has_calls(&self, link: CallerConnId) -> bool {
        self.by_connection.contains_key(&link)
    }

    fn update_connection(&mut self, link: CallerConnId, change: impl FnOnce(&mut ConnectionCalls)) {
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
    pub fn from_caller(&mut self, now: Nanos, link: CallerConnId, said: FromCaller<'_>) -> bool {
        match said {
            FromCaller::SetUp(set_up) => self.set_up(now, link, &set_up),
            FromCaller::Unservable(id) => {
                self.counters.increment("taken set-ups");
                if !self.twice(now, link, id) {
                    self.unservable(link, id);
                }
                false
            }
            FromCaller::Release { id, cause } => self.released_by_caller(now, id, cause),
        }
    }

    fn unservable(&mut self, link: CallerConnId, id: u64) {
        tracing::info!(call = format_args!("{id:016x}"), conn = link, "failed: set-up cannot be served");
        self.counters.increment("taken set-ups unservable");
        self.notify_caller(Some(link), id, CallerNotification::Failed);
    }

    /// Answers a set-up with the id of a call that is open or stands. On the call's own connection nobody can
    /// tell which of the two an answer would be for: the call is ended, and that one answer serves both.
    fn twice(&mut self, now: Nanos, link: CallerConnId, id: u64) -> bool {
        let Some(known) = self.table.get(&id).map(|c| (c.link == link, c.owed, c.stands)) else {
            return false;
        };
        self.counters.increment("taken set-ups twice");
        self.notify_caller(Some(link), id, CallerNotification::Failed);
        match known {
            (true, true, _) => self.abandon(now, id, true),
            (true, false, Some(stood)) => {
                self.request_exchange(stood.exchange, id, ExchangeRequest::Release(16));
                self.over_standing(now, id, Outcome::CalledOff);
            }
            _ => {}
        }
        true
    }

    fn set_up(&mut self, now: Nanos, link: CallerConnId, s: &SetUp<'_>) -> bool {
        self.counters.increment("taken set-ups");
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
            self.counters.increment("answered refused while leaving");
            self.notify_caller(
                Some(link),
                s.id,
                CallerNotification::Refused(self.set.max_retry_after.unwrap_or(0)),
            );
            return true;
        }
        let size = s.number.len() + s.description.len();
        let standing = self.table.len() - self.open;
        let room = self.open < self.told.max_open
            && self.held + size <= self.bounds.max_open_bytes
            && standing < self.bounds.max_standing_calls;
        if !room {
            let (open, held) = (self.open, self.held);
            tracing::info!(call = format_args!("{:016x}", s.id), open, held, standing, "refused: no room");
            self.counters.increment("answered refused for want of room");
            self.notify_caller(
                Some(link),
                s.id,
                CallerNotification::Refused(self.set.max_retry_after.unwrap_or(0)),
            );
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
        self.deadlines.add(deadline.saturating_sub(self.set.tick / 2), Deadline::FinalAnswer(s.id, handle));
        let dialled = Some(s.number).filter(|n| !n.is_empty()).map(|n| self.numbers.handle(now, n));
        if let (Some(meter), Some(call)) = (&mut self.meter, self.table.get_mut(&s.id)) {
            call.dialled = dialled;
            meter.offered(unix_ms(now), call.measured(), dialled, s.again);
        }
        self.tell(
            now,
            Event::CallOffered(NewCall {
                call: handle,
                class,
                dialled,
                deadline,
                destination: s.destination,
                width,
                advised_route: s.advised,
                in_transit: s.transit,
                after_cut: s.again,
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
                self.counters.increment("taken releases of unknown calls");
                self.remember(now, id, true);
                let to: Vec<ExchangeId> = self.directory.machines().map(|(id, _)| id).collect();
                to.into_iter()
                    .for_each(|to| self.request_exchange(to, id, ExchangeRequest::ReleaseUnknown(cause)));
            }
            return !unknown;
        };
        if call.owed {
            self.counters.increment("taken set-ups given up");
            self.abandon(now, id, true);
        } else if let Some(stood) = call.stands {
            self.counters.increment("taken releases from callers");
            self.request_exchange(stood.exchange, id, ExchangeRequest::Release(cause));
            self.over_standing(now, id, Outcome::CalledOff);
        }
        true
    }

    /// The caller has left, or the answer is given without the module. `for_good`: the id may not come again.
    fn abandon(&mut self, now: Nanos, id: u64, for_good: bool) {
        if let Some(handle) = self.answered(id) {
            self.tell(now, Event::CallerHungUp(handle));
            self.give_up(now, id, Outcome::CalledOff);
            self.forget(now, id, for_good);
        }
    }

    /// A caller's connection has ended: its open set-ups are given up.
    pub fn caller_disconnected(&mut self, now: Nanos, link: CallerConnId) {
        let lost = self.by_connection.get(&link).map(|b| b.open.clone());
        for id in lost.unwrap_or_default() {
            self.counters.increment("errors set-ups lost with their caller");
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
                None => self.counters.increment("taken endings too late"),
            },
            FromExchange::Released { id, cause } => self.released(now, exchange, id, cause),
            FromExchange::Group(report) => {
                self.counters.increment("taken group states");
                let number = self.directory.machine(exchange).map(|m| m.number);
                if let Some((free, size)) = report.free_circuits.zip(report.group_size) {
                    let in_use = (size - free).max(0.0);
                    self.groups.entry(exchange).or_insert(GroupState { at: now, in_use });
                }
                let known = number.zip(report.free_circuits).zip(report.group_size);
                if let (Some(meter), Some(((number, free), size))) = (&mut self.meter, known) {
                    meter.state(unix_ms(now), number, free, size);
                }
                self.tell(now, Event::LoadReported { exchange, answered: true, elapsed: 0, report });
            }
        }
    }

    fn answer(&mut self, now: Nanos, exchange: ExchangeId, id: u64, description: &[u8]) {
        let Some(out) = self.out_at(id, exchange) else {
            self.counters.increment("taken answers too late");
            // The answer crossed the end of its attempt: what stands there must not be left standing. But one
            // more answer where the call stands already would have it released, and one under an id that was
            // never sent from here is dropped, for nothing stands for it.
            let call = self.table.get(&id);
            let copy = call.and_then(|c| c.stands).is_some_and(|s| self.speaks_for(exchange, s.exchange));
            if !copy && (call.is_some() || self.ended_calls.knows(id)) {
                self.request_exchange(exchange, id, ExchangeRequest::Release(16));
            }
            return;
        };
        self.counters.increment("taken answers");
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
            self.commands.push_back(Command::StartLivenessChecks(out.exchange));
        }
        self.counters.increment("answered stands");
        self.notify_caller(Some(link), id, CallerNotification::Answer(description.to_vec()));
        self.tell(now, Event::CallStands { call: handle, attempt: out.attempt, elapsed: now - out.sent });
    }

    // -----------------------------------------------------------------------------------------------------
    // From the journal and the deadlines
    // -----------------------------------------------------------------------------------------------------

    /// Takes in what the journal changed.
    pub fn apply_directory_update(&mut self, now: Nanos, news: DirectoryUpdate) {
        for (kind, entries) in news.lists {
            tracing::info!(?kind, ?entries, "list of exchanges");
            self.counters.increment("taken lists");
            for e in entries.iter().filter(|e| e.standing != ExchangeState::Up) {
                self.commands.push_back(Command::WithdrawSetUps(e.exchange));
            }
            self.tell(now, Event::ListUpdated(kind, entries));
        }
        for exchange in news.ended_exchanges {
            self.commands.push_back(Command::WithdrawSetUps(exchange));
            self.deadlines.add(now + LAST_WORDS, Deadline::ExchangeRemoval(exchange));
        }
        self.commands.push_back(Command::UpdateLinks);
    }

    /// Something is due.
    pub fn handle_deadline(&mut self, now: Nanos, due: Deadline) {
        match due {
            Deadline::ModuleTimer(token) => self.tell(now, Event::TimerExpired(token)),
            Deadline::AttemptTimeout(id, handle, attempt) => {
                let call = self.table.get(&id).filter(|c| c.handle == handle);
                if call.and_then(|c| c.out).is_some_and(|o| o.attempt == attempt) {
                    self.counters.increment("errors attempts timed out");
                    self.give_up(now, id, Outcome::TimedOut);
                }
            }
            Deadline::FinalAnswer(id, handle) => {
                if self.table.get(&id).is_some_and(|c| c.owed && c.handle == handle) {
                    self.counters.increment("errors answers overdue");
                    let link = self.table[&id].link;
                    self.notify_caller(Some(link), id, CallerNotification::Failed);
                    self.abandon(now, id, true);
                }
            }
            Deadline::ExchangeRemoval(exchange) => {
                let machine = self.directory.machine(exchange);
                let lives = machine.filter(|m| m.standing != ExchangeState::Gone);
                let before = lives.map_or(Nanos::MAX, |m| m.since.unwrap_or(0));
                self.exchange_ended(now, exchange, before);
                if before == Nanos::MAX {
                    self.commands.push_back(Command::RemoveExchange(exchange));
                }
            }
            Deadline::IntervalEnd => self.close_intervals(now, false),
            Deadline::ForgetEndedCalls => {
                self.forgetting = false;
                self.ended_calls.forget(now);
                self.remind();
            }
            Deadline::Engine(_) => {}
        }
    }

    /// Whether nothing is left to be told to the module or to be carried out.
    pub fn is_idle(&self) -> bool {
        self.later.is_empty() && self.commands.is_empty()
    }

    /// Tells the module what came of its last actions, until nothing more does.
    pub fn dispatch_queued_events(&mut self, now: Nanos) {
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
        if catch_unwind(AssertUnwindSafe(|| module.handle_event(now, event, &mut actions))).is_err() {
            self.counters.increment("errors panics in the module");
        }
        for action in actions {
            self.act(now, action);
        }
    }

    fn act(&mut self, now: Nanos, action: Action) {
        match action {
            Action::SendSetUp { call, exchange, timeout } => self.send(now, call, exchange, timeout),
            Action::CancelAttempt { call, attempt } => {
                if let Some(id) = self.ids.get(&call).copied() {
                    if self.table.get(&id).and_then(|c| c.out).is_some_and(|o| o.attempt == attempt) {
                        self.give_up(now, id, Outcome::CalledOff);
                    }
                }
            }
            Action::Refuse { call, retry_after } => {
                self.final_answer(now, call, CallerNotification::Refused(retry_after))
            }
            Action::Fail(call) => self.final_answer(now, call, CallerNotification::Failed),
            Action::SetTimer(token, at) => self.deadlines.add(at, Deadline::ModuleTimer(token)),
            Action::Note(text) => tracing::info!(text, "note of the module"),
            // Probes are not allowed, and the journal is followed unasked.
            Action::Probe(_) | Action::Subscribe | Action::FetchList => {}
        }
    }

    fn final_answer(&mut self, now: Nanos, handle: CallId, say: CallerNotification) {
        let Some(id) = self.ids.get(&handle).copied() else { return };
        let Some(link) = self.table.get(&id).filter(|c| c.owed).map(|c| c.link) else { return };
        tracing::debug!(call = format_args!("{id:016x}"), answer = ?say, "final answer");
        self.counters.increment(if say == CallerNotification::Failed {
            "answered failed"
        } else {
            "answered refused"
        });
        self.notify_caller(Some(link), id, say);
        self.answered(id);
        self.give_up(now, id, Outcome::CalledOff);
        self.forget(now, id, true);
    }

    // -----------------------------------------------------------------------------------------------------
    // Ends
    // -----------------------------------------------------------------------------------------------------

    fn notify_caller(&mut self, conn: Option<CallerConnId>, call_id: u64, notification: CallerNotification) {
        self.commands.push_back(Command::NotifyCaller { conn, call_id, notification });
    }

    fn request_exchange(&mut self, to: ExchangeId, call_id: u64, request: ExchangeRequest) {
        self.commands.push_back(Command::RequestExchange { to, call_id, request });
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
            self.deadlines.add(due, Deadline::ForgetEndedCalls);
        }
    }
}
