//! The call table: which calls are open, which stand, and who awaits an answer. Protocol messages become
//! [`Event`]s of the decision module, and its [`Action`]s become [`Command`]s that are independent of any
//! wire format.
//!
//! The decision module chooses routes and answers. The table enforces these rules independently of the
//! module: one pending attempt per call, the maximum number of attempts, the wait after an attempt that may
//! still hold circuits, no attempt to an exchange that drains or is gone or that the call must not go to, and
//! exactly one final answer before the caller's timeout.

mod answering_process;
mod attempts;
mod ended_processes;
mod messages;
mod recent;
mod response_matcher;
mod set_ups;
mod standing;
mod unknown_releases;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
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
use answering_process::AnsweringProcesses;
pub use answering_process::{ExchangeConnId, ProcessTest, TestNumber};
pub use messages::*;
use recent::{EndedCall, EndedCalls, NumberHandles};
use response_matcher::ResponseMatcher;
use set_ups::Rejection;
pub use standing::GroupState;
use unknown_releases::{CallerRelease, ReleaseSender, UnknownReleases};

/// Q.850 cause 41, temporary failure: a set-up failed, or a standing call was cut.
pub const CAUSE_TEMPORARY_FAILURE: u8 = 41;

/// An attempt that was sent to an exchange.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    exchange: ExchangeId,
    /// Number of the attempt within its call, from 0.
    number: u32,
    /// The number that identifies its request.
    sequence: u32,
    sent_at: Nanos,
}

#[derive(Debug)]
struct Call {
    /// The decision module's handle for the call.
    handle: CallId,
    /// The connection that the set-up came on.
    caller_conn: CallerConnId,
    /// Memory that the set-up takes while it is open.
    set_up_bytes: usize,
    /// Index of the class.
    class: usize,
    /// The number called; cleared once the call stands.
    called_number: Vec<u8>,
    /// The decision module's handle for the called number.
    number_handle: Option<NumberId>,
    /// The caller's session description; cleared once the call stands.
    description: Vec<u8>,
    /// Number of the destination exchange.
    destination: u32,
    /// Circuits seized on each group.
    width: u32,
    in_transit: bool,
    /// When the final answer is due.
    deadline: Nanos,
    /// Attempts that the decision module has requested, including those that were not allowed.
    attempt_count: u32,
    /// The numbers of the requests of attempts that have ended.
    ended_sequences: Vec<u32>,
    pending_attempt: Option<Attempt>,
    /// Whether a set-up was passed on to the connections to an exchange.
    sent_on: bool,
    /// The attempt that was answered; set while the call stands.
    answered_attempt: Option<Attempt>,
    /// The connection that brought the answer: it tells which process answered.
    answered_on: ExchangeConnId,
    stands_since: Nanos,
    /// Whether the caller still awaits a final answer.
    awaits_final_answer: bool,
    /// No attempt may be sent before this time.
    next_attempt_at: Nanos,
}

impl Call {
    /// The call as recorded by the meter.
    fn metered(&self) -> measured::meter::Call {
        let (class, destination, transit) = (self.class, self.destination, self.in_transit);
        measured::meter::Call { class, destination, transit }
    }
}

fn unix_ms(time: Nanos) -> i64 {
    (time / MS) as i64
}

/// The calls of one connection from callers.
#[derive(Debug, Default)]
struct ConnectionCalls {
    /// Ids of the set-ups that await a final answer on it.
    open_set_ups: BTreeSet<u64>,
    /// Number of standing calls that were set up on it.
    standing_count: usize,
}

/// The call table, together with the decision module.
pub struct Calls {
    decision_module: Controller,
    /// Settings of the decision module.
    module_settings: Settings,
    settings: ControllerSettings,
    /// The list of exchanges.
    pub directory: Directory,
    /// Open and standing calls, by the id that callers and exchanges use.
    calls_by_id: HashMap<u64, Call>,
    /// Ids of the calls, by the decision module's handle.
    ids_by_handle: HashMap<CallId, u64>,
    /// Calls by connection from callers; a connection without calls has no entry.
    calls_by_connection: HashMap<CallerConnId, ConnectionCalls>,
    ended_calls: EndedCalls,
    /// Whether [`Deadline::ForgetEndedCalls`] is scheduled.
    forget_scheduled: bool,
    unknown_releases: UnknownReleases,
    number_handles: NumberHandles,
    /// Measures calls and groups, if the operator has enabled it.
    meter: Option<Meter>,
    /// Closed measurement intervals that have not been fetched yet.
    pub intervals: VecDeque<Interval>,
    next_handle: CallId,
    response_matcher: ResponseMatcher,
    /// Number of set-ups that await a final answer.
    open_set_ups: usize,
    /// Number of standing calls by exchange; an exchange without any has no entry.
    standing_by_exchange: HashMap<ExchangeId, usize>,
    /// Set during shutdown: every set-up has its final answer by this time.
    answer_by: Option<Nanos>,
    /// Whether new set-ups are refused because the process is shutting down.
    refuses_set_ups: bool,
    /// The same by the connection that brought the answer.
    standing_by_connection: HashMap<ExchangeConnId, usize>,
    /// The first group state that each exchange reported since its connection was established.
    group_states: HashMap<ExchangeId, GroupState>,
    processes: AnsweringProcesses,
    /// Machines that have left the list and are being removed, with the time until which releases may wait there.
    machine_removals: BTreeMap<ExchangeId, Nanos>,
    /// Memory of the set-ups that await a final answer.
    open_bytes: usize,
    bounds: Bounds,
    /// Events for the decision module that result from its own actions.
    queued_events: VecDeque<Event>,
    /// All deadlines of the process.
    pub deadlines: Deadlines<Deadline>,
    /// Commands to be carried out, in order.
    pub commands: VecDeque<Command>,
    /// All counters of the process.
    pub counters: Counters,
}

impl Calls {
    /// Creates an empty table.
    pub fn new(
        settings: ControllerSettings,
        bounds: Bounds,
        directory: Directory,
    ) -> Result<Calls, SettingsError> {
        let longest_deadline = settings.module.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
        Ok(Calls {
            decision_module: Controller::new(settings.module.clone(), settings.seed)?,
            module_settings: settings.module.clone(),
            settings,
            directory,
            calls_by_id: HashMap::new(),
            ids_by_handle: HashMap::new(),
            calls_by_connection: HashMap::new(),
            ended_calls: EndedCalls::new(bounds.max_standing_calls),
            forget_scheduled: false,
            unknown_releases: UnknownReleases::new(bounds.max_standing_calls),
            // A caller that redials does so within the longest deadline.
            number_handles: NumberHandles::new(longest_deadline, bounds.max_standing_calls),
            meter: None,
            intervals: VecDeque::new(),
            next_handle: 0,
            response_matcher: ResponseMatcher::default(),
            open_set_ups: 0,
            standing_by_exchange: HashMap::new(),
            standing_by_connection: HashMap::new(),
            answer_by: None,
            refuses_set_ups: false,
            group_states: HashMap::new(),
            processes: AnsweringProcesses::default(),
            machine_removals: BTreeMap::new(),
            open_bytes: 0,
            bounds,
            queued_events: VecDeque::new(),
            deadlines: Deadlines::default(),
            commands: VecDeque::new(),
            counters: Counters::default(),
        })
    }

    /// Starts measuring calls and groups, interval by interval.
    pub fn start_measuring(&mut self, now: Nanos, calendar: Calendar) {
        let widths = self.module_settings.classes.iter().map(|c| c.width);
        let class = |(name, width): (&String, u32)| measured::meter::Class { name: name.clone(), width };
        let classes = self.settings.classes.iter().zip(widths).map(class).collect();
        let longest_deadline = self.module_settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
        let home = self.module_settings.home_exchange.unwrap_or(self.module_settings.controller_index);
        let meter = Meter::new(home, classes, calendar, unix_ms(longest_deadline), unix_ms(now));
        self.deadlines.add(meter.interval_end() as Nanos * MS, Deadline::IntervalEnd);
        self.meter = Some(meter);
    }

    /// Closes the intervals that have ended. With `stop`, also cuts the current one and stops measuring.
    pub fn close_intervals(&mut self, now: Nanos, stop: bool) {
        let Some(meter) = &mut self.meter else { return };
        while let Some(interval) = meter.close_elapsed(unix_ms(now)) {
            self.intervals.push_back(interval);
        }
        if stop {
            self.intervals.extend(meter.close_partial(unix_ms(now)));
            self.meter = None;
        } else {
            self.deadlines.add(meter.interval_end() as Nanos * MS, Deadline::IntervalEnd);
        }
    }

    /// Whether these settings can replace the current ones while calls are open or stand: the exchange, the
    /// layout of the network and the classes have to be the same.
    pub fn can_reconfigure(&self, settings: &ControllerSettings) -> bool {
        let identity = |s: &Settings| (s.home_exchange, s.controller_index, s.zone, s.topology);
        identity(&settings.module) == identity(&self.settings.module)
            && settings.classes == self.settings.classes
    }

    /// Replaces the settings. [`Calls::can_reconfigure`] must have accepted them.
    pub fn reconfigure(
        &mut self,
        settings: ControllerSettings,
        bounds: Bounds,
        raw_settings: &serde_json::Value,
    ) {
        self.decision_module.reconfigure(settings.module.clone());
        self.directory.update_zones(raw_settings);
        self.ended_calls.set_max_calls(bounds.max_standing_calls);
        self.unknown_releases.set_max_queued(bounds.max_standing_calls);
        (self.module_settings, self.settings, self.bounds) = (settings.module.clone(), settings, bounds);
    }

    /// Shutdown: every set-up, open or new, has its final answer by this time.
    pub fn answer_all_by(&mut self, answer_by: Nanos) {
        self.answer_by = Some(answer_by);
        let fail_at = answer_by.saturating_sub(self.module_settings.tick / 2);
        let mut open: Vec<(u64, CallId)> = Vec::new();
        for (id, call) in
            self.calls_by_id.iter_mut().filter(|(_, c)| c.awaits_final_answer && c.deadline > answer_by)
        {
            call.deadline = answer_by;
            open.push((*id, call.handle));
        }
        open.sort_unstable();
        for (id, handle) in open {
            self.deadlines.replace(fail_at, Deadline::FinalAnswer(id, handle));
        }
    }

    /// Shutdown: refuses new set-ups immediately from now on.
    pub fn refuse_new_set_ups(&mut self) {
        self.refuses_set_ups = true;
    }

    /// The settings in force.
    pub fn settings(&self) -> &ControllerSettings {
        &self.settings
    }

    /// Number of set-ups that await a final answer.
    pub fn open_set_ups(&self) -> usize {
        self.open_set_ups
    }

    /// Sizes of the tables that grow with traffic, by name.
    pub fn table_sizes(&self) -> Vec<(&'static str, usize)> {
        let module = self.decision_module.table_sizes();
        vec![
            ("deadlines", self.deadlines.len()),
            ("open set-ups", self.open_set_ups),
            ("standing calls", self.standing_count()),
            ("ended calls", self.ended_calls.len()),
            ("commands", self.commands.len()),
            ("releases of unknown calls", self.unknown_releases.len()),
            ("connections to exchanges", self.processes.len()),
            ("dialled numbers", self.number_handles.len()),
            ("calls in the module", module.calls),
            ("routes in the module", module.routes),
            ("destinations in the module", module.destinations),
            ("dialled numbers in the module", module.dialled_numbers),
        ]
    }

    /// Whether a set-up that came on this connection awaits a final answer.
    pub fn has_open_set_ups(&self, conn: CallerConnId) -> bool {
        self.calls_by_connection.get(&conn).is_some_and(|calls| !calls.open_set_ups.is_empty())
    }

    /// The most calls that may stand at a time.
    pub fn max_standing_calls(&self) -> usize {
        self.bounds.max_standing_calls
    }

    /// Whether a call of this connection is open or stands.
    pub fn has_calls(&self, conn: CallerConnId) -> bool {
        self.calls_by_connection.contains_key(&conn)
    }

    fn update_connection(&mut self, conn: CallerConnId, update: impl FnOnce(&mut ConnectionCalls)) {
        let calls = self.calls_by_connection.entry(conn).or_default();
        update(calls);
        if calls.open_set_ups.is_empty() && calls.standing_count == 0 {
            self.calls_by_connection.remove(&conn);
        }
    }

    /// Handles a request from a caller. Returns what it says about the client.
    pub fn handle_caller_request(
        &mut self,
        now: Nanos,
        conn: CallerConnId,
        request: CallerRequest<'_>,
    ) -> Conduct {
        match request {
            CallerRequest::SetUp(set_up) => self.handle_set_up(now, conn, &set_up),
            CallerRequest::InvalidSetUp(id) => {
                self.counters.increment("taken set-ups");
                if self.reject_duplicate_id(now, conn, id) {
                    return Conduct::Bad;
                }
                self.reject_set_up(now, conn, id, Rejection::Invalid)
            }
            CallerRequest::Release { call_id, cause, confirmed_caller } => {
                let from = ReleaseSender { conn, is_confirmed: confirmed_caller };
                self.handle_caller_release(now, from, CallerRelease { call_id, cause })
            }
        }
    }

    /// Handles an event reported by an exchange.
    pub fn handle_exchange_event(&mut self, now: Nanos, from: MessageSource, event: ExchangeEvent<'_>) {
        let exchange = from.exchange;
        match event {
            ExchangeEvent::Answered { call_id, description } => {
                self.handle_answer(now, from, call_id, description)
            }
            ExchangeEvent::AttemptEnded { call_id, outcome, cause, report } => {
                match self.pending_attempt_at(call_id, exchange) {
                    Some(attempt) => self.end_attempt(now, call_id, attempt, (outcome, cause, report)),
                    None => self.counters.increment("taken endings too late"),
                }
            }
            ExchangeEvent::Released { call_id, cause } => {
                self.handle_exchange_release(now, exchange, call_id, cause)
            }
            ExchangeEvent::GroupReport(report) => {
                self.counters.increment("taken group states");
                let exchange = self.listed_exchange(from);
                let number = self.directory.machine(exchange).map(|m| m.number);
                if let Some((free, size)) = report.free_circuits.zip(report.group_size) {
                    let in_use = (size - free).max(0.0);
                    self.group_states.entry(exchange).or_insert(GroupState { received_at: now, in_use });
                }
                let measurable = number.zip(report.free_circuits).zip(report.group_size);
                if let (Some(meter), Some(((number, free), size))) = (&mut self.meter, measurable) {
                    meter.record_group_state(unix_ms(now), number, free, size);
                }
                self.dispatch_event(
                    now,
                    Event::LoadReported { exchange, answered: true, elapsed: 0, report },
                );
            }
        }
    }

    fn handle_answer(&mut self, now: Nanos, from: MessageSource, id: u64, description: &[u8]) {
        let exchange = from.exchange;
        let Some(attempt) = self.pending_attempt_at(id, exchange) else {
            self.counters.increment("taken answers too late");
            // The answer crossed the end of its attempt: the call stands at the exchange and has to be
            // released there. A duplicate answer is ignored, as the release would end the standing call, and
            // so is an answer with an id that was never sent, as no call stands for it.
            let call = self.calls_by_id.get(&id);
            let is_duplicate = call
                .and_then(|c| c.answered_attempt)
                .is_some_and(|a| self.is_same_endpoint(exchange, a.exchange));
            if !is_duplicate && (call.is_some() || self.ended_calls.contains(id)) {
                self.request_exchange(exchange, id, ExchangeRequest::Release(16));
            }
            return;
        };
        self.counters.increment("taken answers");
        let Some(call) = self.calls_by_id.get_mut(&id) else { return };
        (call.pending_attempt, call.answered_attempt, call.stands_since) = (None, Some(attempt), now);
        call.answered_on = from.conn;
        if let Some(meter) = &mut self.meter {
            let route = self.directory.machine(attempt.exchange).map_or(call.destination, |m| m.number);
            meter.record_standing(call.metered(), route, call.number_handle);
        }
        let (call_id, exchange, conn) = (format_args!("{id:016x}"), attempt.exchange, from.conn);
        tracing::debug!(call = call_id, exchange, conn, "call stands");
        (call.called_number, call.description) = (Vec::new(), Vec::new());
        let (handle, conn) = (call.handle, call.caller_conn);
        self.mark_final_answer_given(id);
        self.update_connection(conn, |calls| calls.standing_count += 1);
        self.increment_standing_calls(attempt.exchange, from.conn);
        self.counters.increment("answered stands");
        self.notify_caller(Some(conn), id, CallerNotification::Answer(description.to_vec()));
        self.dispatch_event(
            now,
            Event::CallStands { call: handle, attempt: attempt.number, elapsed: now - attempt.sent_at },
        );
    }

    /// Applies the changes from the journal to routing and links.
    pub fn apply_directory_update(&mut self, now: Nanos, update: DirectoryUpdate) {
        for (kind, entries) in update.lists {
            tracing::info!(?kind, ?entries, "list of exchanges");
            self.counters.increment("taken lists");
            // Set-ups that wait to be written are not sent to an exchange that drains or is gone.
            for entry in entries.iter().filter(|e| e.standing != ExchangeState::Up) {
                self.commands.push_back(Command::WithdrawSetUps(entry.exchange));
            }
            self.dispatch_event(now, Event::ListUpdated(kind, entries));
        }
        for exchange in update.ended_machines {
            self.commands.push_back(Command::WithdrawSetUps(exchange));
            self.handle_reported_end(now, exchange);
        }
        self.commands.push_back(Command::UpdateLinks);
    }

    /// Handles a deadline that has expired.
    pub fn handle_deadline(&mut self, now: Nanos, deadline: Deadline) {
        match deadline {
            Deadline::ModuleTimer(token) => self.dispatch_event(now, Event::TimerExpired(token)),
            Deadline::AttemptTimeout(id, handle, attempt) => {
                let call = self.calls_by_id.get(&id).filter(|c| c.handle == handle);
                if call.and_then(|c| c.pending_attempt).is_some_and(|pending| pending.number == attempt) {
                    self.counters.increment("errors attempts timed out");
                    self.cancel_attempt(now, id, Outcome::TimedOut);
                }
            }
            Deadline::FinalAnswer(id, handle) => {
                if self.calls_by_id.get(&id).is_some_and(|c| c.awaits_final_answer && c.handle == handle) {
                    self.counters.increment("errors answers overdue");
                    self.fail_set_up(now, id);
                }
            }
            Deadline::RetestProcesses(address) => self.retest_processes(now, address),
            Deadline::ReviewProcesses(address) => self.review_processes(now, address),
            Deadline::MachineRemoval(exchange) => self.commands.push_back(Command::RemoveExchange(exchange)),
            Deadline::IntervalEnd => self.close_intervals(now, false),
            Deadline::ForgetEndedCalls => {
                self.forget_scheduled = false;
                self.ended_calls.remove_expired(now);
                self.schedule_forget();
            }
            Deadline::ReleaseUnknownCalls => self.send_unknown_releases(now),
            Deadline::Engine(_) => {}
        }
    }

    /// Whether no event waits for the decision module and no command waits to be carried out.
    pub fn is_idle(&self) -> bool {
        self.queued_events.is_empty() && self.commands.is_empty()
    }

    /// Dispatches the events that resulted from the decision module's actions, until none is left.
    pub fn dispatch_queued_events(&mut self, now: Nanos) {
        while let Some(event) = self.queued_events.pop_front() {
            self.dispatch_event(now, event);
        }
    }

    /// Passes an event to the decision module and executes the actions it returns.
    fn dispatch_event(&mut self, now: Nanos, event: Event) {
        let mut actions = Vec::new();
        let module = &mut self.decision_module;
        // A panic in the decision module costs the handling of this event, not the process. A call left
        // without an answer is failed by its `FinalAnswer` deadline.
        if catch_unwind(AssertUnwindSafe(|| module.handle_event(now, event, &mut actions))).is_err() {
            self.counters.increment("errors panics in the module");
        }
        for action in actions {
            self.execute(now, action);
        }
    }

    fn execute(&mut self, now: Nanos, action: Action) {
        match action {
            Action::SendSetUp { call, exchange, timeout } => self.send_attempt(now, call, exchange, timeout),
            Action::CancelAttempt { call, attempt } => {
                if let Some(id) = self.ids_by_handle.get(&call).copied() {
                    if self
                        .calls_by_id
                        .get(&id)
                        .and_then(|c| c.pending_attempt)
                        .is_some_and(|pending| pending.number == attempt)
                    {
                        self.cancel_attempt(now, id, Outcome::CalledOff);
                    }
                }
            }
            Action::Refuse { call, retry_after } => {
                self.give_final_answer(now, call, CallerNotification::Refused(retry_after))
            }
            Action::Fail(call) => self.give_final_answer(now, call, CallerNotification::Failed),
            Action::SetTimer(token, at) => self.deadlines.add(at, Deadline::ModuleTimer(token)),
            Action::Note(text) => tracing::info!(text, "note from the decision module"),
            // Probes are not permitted, and journal events arrive without a request from the module.
            Action::Probe(_) | Action::Subscribe | Action::FetchList => {}
        }
    }

    fn give_final_answer(&mut self, now: Nanos, handle: CallId, answer: CallerNotification) {
        let Some(id) = self.ids_by_handle.get(&handle).copied() else { return };
        let Some(conn) = self.calls_by_id.get(&id).filter(|c| c.awaits_final_answer).map(|c| c.caller_conn)
        else {
            return;
        };
        tracing::debug!(call = format_args!("{id:016x}"), answer = ?answer, "final answer");
        self.counters.increment(if answer == CallerNotification::Failed {
            "answered failed"
        } else {
            "answered refused"
        });
        self.notify_caller(Some(conn), id, answer);
        self.mark_final_answer_given(id);
        self.cancel_attempt(now, id, Outcome::CalledOff);
        self.remove_call(now, id, true);
    }

    fn notify_caller(&mut self, conn: Option<CallerConnId>, call_id: u64, notification: CallerNotification) {
        self.commands.push_back(Command::NotifyCaller { conn, call_id, notification });
    }

    fn request_exchange(&mut self, to: ExchangeId, call_id: u64, request: ExchangeRequest) {
        self.commands.push_back(Command::RequestExchange { to, call_id, request });
    }

    /// Marks a call as no longer awaiting a final answer: every deadline of its set-up ends here. Returns its handle if
    /// it did until now.
    fn mark_final_answer_given(&mut self, id: u64) -> Option<CallId> {
        let call = self.calls_by_id.get_mut(&id).filter(|c| c.awaits_final_answer)?;
        call.awaits_final_answer = false;
        let (conn, handle) = (call.caller_conn, call.handle);
        self.open_set_ups -= 1;
        self.open_bytes -= call.set_up_bytes;
        self.deadlines.drop_owned_by(DeadlineOwner::SetUp(handle));
        self.update_connection(conn, |calls| {
            calls.open_set_ups.remove(&id);
        });
        Some(handle)
    }

    fn remove_call(&mut self, now: Nanos, id: u64, retire_id: bool) {
        if let Some(call) = self.calls_by_id.remove(&id) {
            if let (Some(meter), None) = (&mut self.meter, call.answered_attempt) {
                meter.record_lost(call.metered());
            }
            self.ids_by_handle.remove(&call.handle);
            if let Some(attempt) = call.answered_attempt {
                self.update_connection(call.caller_conn, |calls| calls.standing_count -= 1);
                self.decrement_standing_calls(attempt.exchange, call.answered_on);
            }
            self.remember_ended_call(now, id, EndedCall { retired: retire_id, sent_on: call.sent_on });
        }
    }

    fn remember_ended_call(&mut self, now: Nanos, id: u64, ended_call: EndedCall) {
        self.ended_calls.insert(now, id, ended_call);
        self.schedule_forget();
    }

    fn schedule_forget(&mut self) {
        if let (Some(expiry), false) = (self.ended_calls.next_expiry(), self.forget_scheduled) {
            self.forget_scheduled = true;
            self.deadlines.add(expiry, Deadline::ForgetEndedCalls);
        }
    }
}
