//! Calls: who is owed what. Events of the protocols become the module's [`Event`]s, its [`Action`]s become
//! commands that name no wire format; a second protocol goes through here too.
//!
//! Nothing is decided here, but the rules that the module cannot see are enforced: one attempt out at a time,
//! the attempts' cap, the wait after an attempt that may have left something behind, the destinations a call
//! may go to, and exactly one final answer before the caller gives up.

use std::collections::{HashMap, VecDeque};
use std::panic::{catch_unwind, AssertUnwindSafe};

use pitchgw::interface::*;
use pitchgw::Controller;

use crate::clock::MS;
use crate::counters::Counters;
use crate::deadlines::Deadlines;
use crate::directory::{Directory, News, Told};

/// A connection from callers. Numbers are never used again.
pub type CallerLink = u64;

/// Numbers dialled that keep their handle; past that the table starts anew (a handle is never used again).
const NUMBERS_KEPT: usize = 100_000;
/// Calls that stand at the most, and calls that are over and remembered.
const STANDING_KEPT: usize = 20_000;
/// How long after the journal said that a machine is gone its own releases may still come. A machine that
/// stops after a drain may say nothing and leave its connections open; the journal tells up to 7 s late, and
/// 8 s after their end its calls have to be released towards their callers.
const LAST_WORDS: Nanos = 250 * MS;
/// How long a call that is over is remembered, for what crosses its end on the way.
const REMEMBERED: Nanos = 5_000 * MS;

/// A set-up as a caller sends it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SetUp<'a> {
    /// The call's id.
    pub id: u64,
    /// Name of the class.
    pub class: &'a [u8],
    /// How long the caller waits.
    pub wait: Nanos,
    /// The number called.
    pub number: &'a [u8],
    /// Number of the destination's exchange.
    pub destination: u32,
    /// Circuits seized on each group; `None`: as the class has it.
    pub width: Option<u32>,
    /// The advised tandem.
    pub advised: Option<u32>,
    /// Whether the call is in transit here.
    pub transit: bool,
    /// Whether it was cut and comes again.
    pub again: bool,
    /// The description, byte for byte.
    pub description: &'a [u8],
}

/// What callers say.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FromCaller<'a> {
    /// A set-up.
    SetUp(SetUp<'a>),
    /// A set-up that lacks what it needs to be served.
    Unservable(u64),
    /// A set-up given up, or a call released.
    Release {
        /// The call.
        id: u64,
        /// Why.
        cause: u8,
    },
}

/// What exchanges say.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FromExchange<'a> {
    /// The call stands.
    Answered {
        /// The call.
        id: u64,
        /// Which attempt.
        attempt: u32,
        /// The exchange's description.
        description: &'a [u8],
    },
    /// The attempt came to nothing.
    Ended {
        /// The call.
        id: u64,
        /// Which attempt.
        attempt: u32,
        /// How.
        outcome: Outcome,
        /// Why.
        cause: Cause,
        /// The group's state, where it is told.
        report: Report,
    },
    /// A call that stood is over.
    Released {
        /// The call.
        id: u64,
        /// Why.
        cause: u8,
    },
    /// The state of the group.
    Group(Report),
}

/// How far an attempt had come when its connection failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Came {
    /// Its set-up never left.
    NeverSent,
    /// Its set-up may have arrived.
    Sent,
}

/// What is to be sent.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// To a caller.
    Caller {
        /// The connection meant; `None`: any.
        link: Option<CallerLink>,
        /// The call.
        id: u64,
        /// What to say.
        say: ToCaller,
    },
    /// To an exchange.
    Exchange {
        /// Which.
        to: ExchangeId,
        /// The call.
        id: u64,
        /// What to say.
        say: ToExchange,
    },
    /// What has not left yet for an exchange must not leave any more.
    Withhold(ExchangeId),
    /// The list of exchanges has changed.
    Listed,
    /// This machine is gone for good.
    Ended(ExchangeId),
}

/// What callers are told.
#[derive(Clone, Debug, PartialEq)]
pub enum ToCaller {
    /// The call stands; the exchange's description.
    Answer(Vec<u8>),
    /// Refused; stay away for so long (0: nothing said).
    Refused(Nanos),
    /// Failed.
    Failed,
    /// A call that stood is over.
    Released(u8),
}

/// What exchanges are told.
#[derive(Clone, Debug, PartialEq)]
pub enum ToExchange {
    /// Set the call up.
    SetUp {
        /// Number of the attempt.
        attempt: u32,
        /// How long it is waited for.
        wait: Nanos,
        /// Name of the class.
        class: Vec<u8>,
        /// The number called.
        number: Vec<u8>,
        /// The description.
        description: Vec<u8>,
    },
    /// The attempt is given up.
    GiveUp {
        /// Number of the attempt.
        attempt: u32,
    },
    /// The call that stands is released.
    Release(u8),
}

/// What can be due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Due {
    /// A timer of the module.
    Module(u64),
    /// An attempt's time is up.
    Attempt(u64, u32),
    /// A call's last moment for an answer.
    Answer(u64, CallId),
    /// A machine that is gone has had its last words.
    Gone(ExchangeId),
    /// The ids of calls that ended before are forgotten.
    Forget,
    /// Something of the connections'.
    Link(LinkDue),
}

/// What can be due of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkDue {
    /// A connection must be up by now.
    Connect(u64),
    /// An exchange is connected to again.
    Redial(ExchangeId),
    /// The journal is asked again.
    Ask,
    /// The journal must have answered on this connection.
    Journal(u64),
    /// After the signal to end: callers stop coming.
    StopListening,
    /// After the signal to end: whatever is still open is left.
    Leave,
}

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
    class: usize,
    number: Vec<u8>,
    description: Vec<u8>,
    destination: u32,
    transit: bool,
    deadline: Nanos,
    attempts: u32,
    out: Option<Out>,
    /// Set once the call stands.
    stands: Option<Out>,
    /// The caller is owed a final answer.
    owed: bool,
    not_before: Nanos,
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
    /// Calls that ended lately, in order.
    over: VecDeque<(Nanos, u64)>,
    forgetting: bool,
    numbers: HashMap<Vec<u8>, NumberId>,
    next_number: NumberId,
    next_call: CallId,
    open: usize,
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
    pub fn new(told: Told, directory: Directory) -> Result<Calls, SettingsError> {
        Ok(Calls {
            module: Controller::new(told.module.clone(), told.seed)?,
            set: told.module.clone(),
            told,
            directory,
            table: HashMap::new(),
            ids: HashMap::new(),
            over: VecDeque::new(),
            forgetting: false,
            numbers: HashMap::new(),
            next_number: 0,
            next_call: 0,
            open: 0,
            later: VecDeque::new(),
            deadlines: Deadlines::default(),
            commands: VecDeque::new(),
            counters: Counters::default(),
        })
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
        self.table.values().any(|c| c.owed && c.link == link)
    }

    // -----------------------------------------------------------------------------------------------------
    // From callers
    // -----------------------------------------------------------------------------------------------------

    /// Takes in what a caller said on a connection.
    pub fn from_caller(&mut self, now: Nanos, link: CallerLink, said: FromCaller<'_>) {
        match said {
            FromCaller::SetUp(set_up) => self.set_up(now, link, &set_up),
            FromCaller::Unservable(id) => {
                self.counters.up("taken set-ups unservable");
                self.say(Some(link), id, ToCaller::Failed);
            }
            FromCaller::Release { id, cause } => self.let_go(now, id, cause),
        }
    }

    fn set_up(&mut self, now: Nanos, link: CallerLink, s: &SetUp<'_>) {
        self.counters.up("taken set-ups");
        if let Some(known) = self.table.get(&s.id) {
            // Its own set-up is answered in time; a second answer on its connection would be one too many.
            self.counters.up("taken set-ups twice");
            if known.link != link {
                self.say(Some(link), s.id, ToCaller::Failed);
            }
            return;
        }
        let class = self.told.classes.iter().position(|c| c.as_bytes() == s.class);
        let room = self.open < self.told.max_open && self.table.len() < self.told.max_open + STANDING_KEPT;
        let (Some(class), true) = (class, room) else {
            self.counters.up("taken set-ups unservable");
            return self.say(Some(link), s.id, ToCaller::Failed);
        };
        let handle = self.next_call;
        self.next_call += 1;
        let deadline = now + s.wait;
        self.ids.insert(handle, s.id);
        self.table.insert(
            s.id,
            Call {
                handle,
                link,
                class,
                number: s.number.to_vec(),
                description: s.description.to_vec(),
                destination: s.destination,
                transit: s.transit,
                deadline,
                attempts: 0,
                out: None,
                stands: None,
                owed: true,
                not_before: now,
            },
        );
        self.open += 1;
        // The module answers two ticks before the caller gives up. A call that has no answer by half a tick
        // before is failed here, whatever keeps the module from it; no sooner, or it takes the module's place.
        self.deadlines.add(deadline.saturating_sub(self.set.tick / 2), Due::Answer(s.id, handle));
        let dialled = Some(s.number).filter(|n| !n.is_empty()).map(|n| self.number(n));
        self.tell(
            now,
            Event::Call(NewCall {
                call: handle,
                class,
                dialled,
                deadline,
                destination: s.destination,
                width: s.width.unwrap_or(self.set.classes[class].width),
                advised: s.advised,
                transit: s.transit,
                cut: s.again,
            }),
        );
    }

    fn number(&mut self, number: &[u8]) -> NumberId {
        if let Some(id) = self.numbers.get(number) {
            return *id;
        }
        if self.numbers.len() >= NUMBERS_KEPT {
            self.numbers.clear();
        }
        self.next_number += 1;
        self.numbers.insert(number.to_vec(), self.next_number);
        self.next_number
    }

    /// A caller gives its set-up up, or releases a call that stands.
    fn let_go(&mut self, now: Nanos, id: u64, cause: u8) {
        let Some(call) = self.table.get(&id) else {
            // A call of before this program started, which some exchange still holds. What only crosses the
            // end of a call here is known and goes nowhere.
            if !self.over.iter().any(|(_, o)| *o == id) {
                self.counters.up("taken releases of unknown calls");
                self.release_everywhere(id, cause);
            }
            return;
        };
        if call.owed {
            self.counters.up("taken set-ups given up");
            self.hung_up(now, id);
        } else if let Some(stood) = call.stands {
            self.counters.up("taken releases from callers");
            self.say_exchange(stood.exchange, id, ToExchange::Release(cause));
            self.over_standing(now, id, Outcome::CalledOff);
        }
    }

    fn release_everywhere(&mut self, id: u64, cause: u8) {
        let to: Vec<ExchangeId> = self.directory.machines().map(|(id, _)| id).collect();
        to.into_iter().for_each(|to| self.say_exchange(to, id, ToExchange::Release(cause)));
    }

    fn hung_up(&mut self, now: Nanos, id: u64) {
        if let Some(handle) = self.answered(id) {
            self.tell(now, Event::HungUp(handle));
            self.give_up(now, id, Outcome::CalledOff);
            self.forget(now, id);
        }
    }

    /// A caller's connection has ended: its open set-ups are given up.
    pub fn caller_lost(&mut self, now: Nanos, link: CallerLink) {
        let lost = self.table.iter().filter(|(_, c)| c.owed && c.link == link).map(|(id, _)| *id);
        for id in lost.collect::<Vec<_>>() {
            self.counters.up("errors set-ups lost with their caller");
            self.hung_up(now, id);
        }
    }

    /// A call's answer could not be brought to its caller: what stands at the exchange serves nobody.
    pub fn answer_lost(&mut self, now: Nanos, id: u64) {
        if let Some(stood) = self.table.get(&id).and_then(|c| c.stands) {
            self.counters.up("errors answers lost with their caller");
            self.say_exchange(stood.exchange, id, ToExchange::Release(16));
            self.over_standing(now, id, Outcome::CalledOff);
        }
    }

    // -----------------------------------------------------------------------------------------------------
    // From exchanges
    // -----------------------------------------------------------------------------------------------------

    /// The attempt that is out for a call at this exchange, if it is that one. Late words on an earlier
    /// attempt with the same id must not count for the present one.
    fn out_at(&self, id: u64, exchange: ExchangeId, attempt: u32) -> Option<Out> {
        let out = self.table.get(&id)?.out?;
        Some(out).filter(|o| o.exchange == exchange && o.attempt == attempt)
    }

    /// Takes in what an exchange said.
    pub fn from_exchange(&mut self, now: Nanos, exchange: ExchangeId, said: FromExchange<'_>) {
        match said {
            FromExchange::Answered { id, attempt, description } => {
                self.answer(now, exchange, id, attempt, description)
            }
            FromExchange::Ended { id, attempt, outcome, cause, report } => {
                match self.out_at(id, exchange, attempt) {
                    Some(out) => self.ended(now, id, out, (outcome, cause, report)),
                    None => self.counters.up("taken endings too late"),
                }
            }
            FromExchange::Released { id, cause } => self.released(now, exchange, id, cause),
            FromExchange::Group(report) => {
                self.counters.up("taken group states");
                self.tell(now, Event::Probed { exchange, answered: true, took: 0, report });
            }
        }
    }

    fn answer(&mut self, now: Nanos, exchange: ExchangeId, id: u64, attempt: u32, description: &[u8]) {
        let Some(out) = self.out_at(id, exchange, attempt) else {
            let stood = self.table.get(&id).and_then(|c| c.stands);
            if !stood.is_some_and(|s| s.exchange == exchange && s.attempt == attempt) {
                // The answer crossed the end of its attempt: what stands there must not be left standing.
                self.counters.up("taken answers too late");
                self.say_exchange(exchange, id, ToExchange::Release(16));
            }
            return;
        };
        self.counters.up("taken answers");
        let Some(call) = self.table.get_mut(&id) else { return };
        (call.out, call.stands) = (None, Some(out));
        (call.number, call.description) = (Vec::new(), Vec::new());
        let (handle, link) = (call.handle, call.link);
        self.answered(id);
        self.counters.up("answered stands");
        self.say(Some(link), id, ToCaller::Answer(description.to_vec()));
        self.tell(now, Event::Stands { call: handle, attempt, took: now - out.sent });
    }

    fn released(&mut self, now: Nanos, exchange: ExchangeId, id: u64, cause: u8) {
        self.counters.up("taken releases from exchanges");
        let Some(call) = self.table.get(&id) else {
            // A call of before this program started: its caller still waits for the release.
            if !self.over.iter().any(|(_, o)| *o == id) {
                self.counters.up("taken releases of unknown calls");
                self.remember(now, id);
                self.say(None, id, ToCaller::Released(cause));
            }
            return;
        };
        if call.stands.is_some_and(|s| s.exchange == exchange) {
            let outcome = if cause == 16 { Outcome::Completed } else { Outcome::Cut };
            let link = call.link;
            self.say(Some(link), id, ToCaller::Released(cause));
            self.over_standing(now, id, outcome);
        }
    }

    /// The connection to an exchange is gone. `unsent` are the attempts whose set-up never left.
    pub fn exchange_lost(&mut self, now: Nanos, exchange: ExchangeId, unsent: &[(u64, u32)]) {
        let here = |c: &Call| c.out.filter(|o| o.exchange == exchange);
        let out = self.table.iter().filter_map(|(id, c)| here(c).map(|o| (*id, o)));
        for (id, out) in out.collect::<Vec<_>>() {
            let came = if unsent.contains(&(id, out.attempt)) { Came::NeverSent } else { Came::Sent };
            self.attempt_lost(now, id, out.attempt, came);
        }
    }

    /// An attempt's connection failed it.
    pub fn attempt_lost(&mut self, now: Nanos, id: u64, attempt: u32, came: Came) {
        let Some(out) = self.table.get(&id).and_then(|c| c.out).filter(|o| o.attempt == attempt) else {
            return;
        };
        let (outcome, name) = match came {
            Came::NeverSent => (Outcome::Unreachable, "errors attempts never sent"),
            Came::Sent => (Outcome::Cut, "errors attempts cut"),
        };
        self.counters.up(name);
        self.ended(now, id, out, (outcome, Cause::Untold, Report::default()));
    }

    /// The exchange's process has ended, and with it the calls that stood there and were sent before.
    pub fn exchange_ended(&mut self, now: Nanos, exchange: ExchangeId, before: Nanos) {
        let here = |c: &Call| c.stands.is_some_and(|s| s.exchange == exchange && s.sent < before);
        let stood = self.table.iter().filter(|(_, c)| here(c)).map(|(id, c)| (*id, c.link));
        for (id, link) in stood.collect::<Vec<_>>() {
            self.counters.up("errors calls cut with their exchange");
            self.say(Some(link), id, ToCaller::Released(41));
            self.over_standing(now, id, Outcome::Cut);
        }
    }

    // -----------------------------------------------------------------------------------------------------
    // From the journal and the deadlines
    // -----------------------------------------------------------------------------------------------------

    /// Takes in what the journal changed.
    pub fn news(&mut self, now: Nanos, news: News) {
        for (kind, entries) in news.lists {
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
            Due::Attempt(id, attempt) => {
                if self.table.get(&id).and_then(|c| c.out).is_some_and(|o| o.attempt == attempt) {
                    self.counters.up("errors attempts timed out");
                    self.give_up(now, id, Outcome::TimedOut);
                }
            }
            Due::Answer(id, handle) => {
                if self.table.get(&id).is_some_and(|c| c.owed && c.handle == handle) {
                    self.counters.up("errors answers overdue");
                    let link = self.table[&id].link;
                    self.say(Some(link), id, ToCaller::Failed);
                    self.hung_up(now, id);
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
            Due::Forget => {
                self.forgetting = false;
                let recent = self.over.partition_point(|(at, _)| at + REMEMBERED <= now);
                self.over.drain(..recent);
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
            Action::Note(text) => eprintln!("note {text}"),
            // Probes are not allowed, and the journal is followed unasked.
            Action::Probe(_) | Action::Subscribe | Action::FetchList => {}
        }
    }

    fn final_answer(&mut self, now: Nanos, handle: CallId, say: ToCaller) {
        let Some(id) = self.ids.get(&handle).copied() else { return };
        let Some(link) = self.table.get(&id).filter(|c| c.owed).map(|c| c.link) else { return };
        self.counters.up(if say == ToCaller::Failed { "answered failed" } else { "answered refused" });
        self.say(Some(link), id, say);
        self.answered(id);
        self.give_up(now, id, Outcome::CalledOff);
        self.forget(now, id);
    }

    fn send(&mut self, now: Nanos, handle: CallId, to: ExchangeId, timeout: Nanos) {
        let Some(id) = self.ids.get(&handle).copied() else { return };
        let machine = self.directory.machine(to).map(|m| (m.number, m.standing));
        let Some(call) = self.table.get_mut(&id) else { return };
        let attempt = call.attempts;
        call.attempts += 1;
        let (number, standing) = machine.unwrap_or((u32::MAX, Standing::Gone));
        let allowed = call.owed
            && call.out.is_none()
            && attempt < self.set.max_attempts
            && now >= call.not_before
            && now < call.deadline
            && standing == Standing::Up
            && Some(number) != self.set.home
            && (!call.transit || number == call.destination);
        if !allowed {
            self.counters.up("errors attempts not allowed");
            return self.later.push_back(Event::Ended {
                call: handle,
                attempt,
                exchange: to,
                outcome: Outcome::NotSent,
                cause: Cause::Untold,
                took: 0,
                settled: !call.owed,
                report: Report::default(),
            });
        }
        let until = now.saturating_add(timeout).min(call.deadline);
        call.out = Some(Out { exchange: to, attempt, sent: now });
        let say = ToExchange::SetUp {
            attempt,
            wait: until - now,
            class: self.told.classes[call.class].clone().into_bytes(),
            number: call.number.clone(),
            description: call.description.clone(),
        };
        self.counters.up("sent set-ups");
        self.deadlines.add(until, Due::Attempt(id, attempt));
        self.say_exchange(to, id, say);
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
        self.open -= 1;
        Some(call.handle)
    }

    /// Gives up the attempt that is out, if there is one.
    fn give_up(&mut self, now: Nanos, id: u64, outcome: Outcome) {
        let Some(out) = self.table.get(&id).and_then(|c| c.out) else { return };
        self.counters.up("sent set-ups given up");
        self.say_exchange(out.exchange, id, ToExchange::GiveUp { attempt: out.attempt });
        self.ended(now, id, out, (outcome, Cause::Untold, Report::default()));
    }

    fn ended(&mut self, now: Nanos, id: u64, out: Out, how: (Outcome, Cause, Report)) {
        let (outcome, cause, report) = how;
        self.counters.up("taken endings");
        let Some(call) = self.table.get_mut(&id) else { return };
        call.out = None;
        if matches!(outcome, Outcome::TimedOut | Outcome::Cut | Outcome::CalledOff) {
            call.not_before = now + self.set.release;
        }
        self.later.push_back(Event::Ended {
            call: call.handle,
            attempt: out.attempt,
            exchange: out.exchange,
            outcome,
            cause,
            took: now - out.sent,
            settled: !call.owed,
            report,
        });
    }

    fn over_standing(&mut self, now: Nanos, id: u64, outcome: Outcome) {
        let Some(stood) = self.table.get(&id).and_then(|c| c.stands) else { return };
        self.ended(now, id, stood, (outcome, Cause::Untold, Report::default()));
        self.forget(now, id);
    }

    fn forget(&mut self, now: Nanos, id: u64) {
        if let Some(call) = self.table.remove(&id) {
            self.ids.remove(&call.handle);
            self.remember(now, id);
        }
    }

    fn remember(&mut self, now: Nanos, id: u64) {
        if self.over.len() >= STANDING_KEPT {
            self.over.pop_front();
        }
        self.over.push_back((now, id));
        self.remind();
    }

    fn remind(&mut self) {
        if let (Some((at, _)), false) = (self.over.front(), self.forgetting) {
            self.forgetting = true;
            self.deadlines.add(at + REMEMBERED, Due::Forget);
        }
    }
}
