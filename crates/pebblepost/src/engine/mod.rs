//! The engine: requests, attempts and outcomes around the decision module ([`Dispatcher`]).
//!
//! It owns the requests in flight and the state of the workers. It knows no protocol, opens no socket and reads no clock:
//! a turn takes everything that has happened and returns what is to be done.
//!
//! Whatever the decision module asks for, the engine itself guarantees: one final response for each request, no more
//! attempts than the settings allow, no retry that the request's class does not allow, nothing to a worker that is known
//! to be draining or gone, and nothing after a request's final response or its client's disconnection. These rules are
//! checked when an attempt is decided on and, if its connection has to be established first, again before its first
//! byte is sent.

mod delivery_rules;
mod messages;
mod request_table;

pub use messages::{AttemptId, EngineTimer, FinalResponse, Input, Output, Request};

use delivery_rules::{WorkerEntries, may_deliver};
use pebblepost_dispatch::api::{
    AttemptNo, Entry, ListKind, Report, RequestId, Settings, Status, Time, WorkerId, WorkerState,
};
use pebblepost_dispatch::{Action, Dispatcher, Event};
use pebblepost_fleet::heartbeat::RequestCounts;
use request_table::RequestTable;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Most attempts of a request that an [`AttemptNo`] can number.
const MAX_ATTEMPT_NUMBER: u32 = 255;

/// Requests and attempts around the decision module.
#[derive(Debug)]
pub struct Engine {
    dispatcher: Dispatcher,
    settings: Settings,
    requests: RequestTable,
    workers: WorkerEntries,
    actions: Vec<Action>,
    /// Outcomes that the engine itself produced, reported to the decision module after the actions in hand.
    pending_events: Vec<Event>,
    /// Receives each event and action of the decision module but timers, if tracing is on.
    trace: Option<fn(&str)>,
}

impl Engine {
    /// An engine without requests and workers.
    pub fn new(settings: Settings, seed: u64, now: Time) -> Self {
        Self {
            dispatcher: Dispatcher::new(settings.clone(), seed, now),
            settings,
            requests: RequestTable::default(),
            workers: HashMap::new(),
            actions: Vec::new(),
            pending_events: Vec::new(),
            trace: None,
        }
    }

    /// Writes each event and action but timers to `log` (environment variable `PEBBLEPOST_TRACE`).
    pub fn with_trace(mut self, log: Option<fn(&str)>) -> Self {
        self.trace = log;
        self
    }

    /// The settings in force.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Requests that have no final response yet.
    pub fn unanswered_requests(&self) -> usize {
        self.requests.unanswered()
    }

    /// Workers that accept requests, as far as this dispatcher knows.
    pub fn ready_worker_count(&self) -> usize {
        self.workers.values().filter(|entry| entry.state == WorkerState::Ready).count()
    }

    /// Responses given so far.
    pub fn request_counts(&self) -> RequestCounts {
        self.requests.counts()
    }

    /// Which of these workers have attempts in flight.
    pub fn workers_with_attempts_in_flight(&self, among: &HashSet<WorkerId>) -> HashSet<WorkerId> {
        self.requests.workers_with_open_attempts(among)
    }

    /// Hands all that happened to the decision module and returns what is to be done, in order.
    ///
    /// Disconnections come first: nothing of the same turn, such as a probe's result or a timer, may still send a request
    /// whose client is gone.
    pub fn process_inputs(&mut self, now: Time, inputs: &mut Vec<Input>, outputs: &mut Vec<Output>) {
        let disconnected = inputs
            .iter()
            .filter_map(|i| if let Input::ClientDisconnected(id) = i { Some(*id) } else { None });
        let disconnected: HashSet<RequestId> = disconnected.collect();
        let known: Vec<RequestId> =
            disconnected.iter().copied().filter(|id| self.requests.contains(*id)).collect();
        for id in known {
            self.on_client_disconnected(now, id);
            self.run_actions(now, outputs);
        }
        for input in inputs.drain(..) {
            // A client that connected and disconnected within the turn is ignored.
            if matches!(&input, Input::Request(id, _) | Input::ClientDisconnected(id) if disconnected.contains(id))
            {
                continue;
            }
            self.on_input(now, input, outputs);
            self.run_actions(now, outputs);
        }
    }

    fn on_input(&mut self, now: Time, input: Input, outputs: &mut Vec<Output>) {
        match input {
            Input::Request(id, request) => self.on_request(now, id, request, outputs),
            Input::ClientDisconnected(id) => self.on_client_disconnected(now, id),
            Input::Membership(kind, entries) => self.on_membership(now, kind, entries),
            Input::Connected(attempt) => self.on_connected(now, attempt, outputs),
            Input::Started(attempt) => {
                if self.requests.is_open(attempt) {
                    self.decide(now, Event::Started { id: attempt.request, attempt: attempt.number });
                }
            }
            Input::Progress(attempt, done) => {
                if self.requests.is_open(attempt) {
                    self.decide(now, Event::Progress { id: attempt.request, attempt: attempt.number, done });
                }
            }
            Input::AttemptEnded { attempt, status, report, body } => {
                if let Some(event) = self.end_attempt(now, attempt, status, report, body, outputs) {
                    self.decide(now, event);
                }
            }
            Input::RequestInvalid(attempt) => {
                // Answered here, as a served request is: nothing is left to decide.
                if self.requests.is_open(attempt) {
                    self.requests.respond(attempt.request, FinalResponse::Failed, outputs);
                }
                if let Some(event) = self.end_without_report(now, attempt, Status::Cancelled, outputs) {
                    self.decide(now, event);
                }
            }
            Input::Probed { worker, status, latency, report } => {
                self.decide(now, Event::Probed { worker, status, latency, report });
            }
            Input::TimerDue(EngineTimer::Decision(token)) => self.decide(now, Event::TimerDue { token }),
            Input::TimerDue(EngineTimer::AttemptTimeout(attempt)) => self.time_out(now, attempt, outputs),
            Input::TimerDue(EngineTimer::ClientDeadline(id)) => self.on_client_deadline(now, id, outputs),
        }
    }

    fn on_request(&mut self, now: Time, id: RequestId, request: Request, outputs: &mut Vec<Output>) {
        let deadline = now + request.time_left;
        self.requests.insert(id, request.class, deadline);
        let Request { class, time_left, repeat, slots, memory, work, key, tenant } = request;
        self.decide(now, Event::Request { id, class, tenant, time_left, repeat, slots, memory, work, key });
        // Set after the decision module's own timers, so that these come first at equal times.
        outputs.push(Output::SetTimer(deadline, EngineTimer::ClientDeadline(id)));
    }

    fn on_membership(&mut self, now: Time, kind: ListKind, entries: Vec<Entry>) {
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            // They stay known by zone and cell: attempts that ran there restrict where retries may go.
            self.workers.values_mut().for_each(|entry| entry.state = WorkerState::Gone);
        }
        self.workers.extend(entries.iter().map(|entry| (entry.worker, *entry)));
        self.decide(now, Event::Members { kind, entries });
    }

    /// The client has disconnected or its deadline has passed: nothing more is owed to it.
    fn on_client_disconnected(&mut self, now: Time, id: RequestId) {
        if !self.requests.close(id) {
            return;
        }
        self.decide(now, Event::ClientGone { id });
        self.requests.remove_if_finished(id);
    }

    fn on_client_deadline(&mut self, now: Time, id: RequestId, outputs: &mut Vec<Output>) {
        let attempts = self.requests.attempt_count(id);
        for number in 0..attempts {
            let attempt = AttemptId { request: id, number: AttemptNo(number as u8) };
            self.time_out(now, attempt, outputs);
        }
        self.run_actions(now, outputs);
        // The decision module responds before this; should it not, the client still gets a response.
        self.requests.respond(id, FinalResponse::Failed, outputs);
        self.on_client_disconnected(now, id);
    }

    /// The connection of an attempt was established, maybe late: the request is sent if the rules still allow it; else the
    /// attempt never ran.
    fn on_connected(&mut self, now: Time, attempt: AttemptId, outputs: &mut Vec<Output>) {
        let AttemptId { request: id, number } = attempt;
        let Some(request) = self.requests.get(id) else { return };
        let open = request.attempts.get(usize::from(number.0)).filter(|attempt| attempt.open);
        let Some(worker) = open.map(|attempt| attempt.worker) else { return };
        if may_deliver(&self.settings, &self.workers, now, request, worker, Some(number)) {
            outputs.push(Output::Transmit { attempt, time_left: request.deadline.since(now) });
            return;
        }
        outputs.push(Output::Abandon(attempt));
        if let Some(event) = self.end_without_report(now, attempt, Status::ConnectFailed, outputs) {
            self.decide(now, event);
        }
    }

    fn time_out(&mut self, now: Time, attempt: AttemptId, outputs: &mut Vec<Output>) {
        if let Some(event) = self.end_without_report(now, attempt, Status::Timeout, outputs) {
            outputs.push(Output::Abandon(attempt));
            self.decide(now, event);
        }
    }

    fn end_without_report(
        &mut self, now: Time, attempt: AttemptId, status: Status, outputs: &mut Vec<Output>,
    ) -> Option<Event> {
        self.end_attempt(now, attempt, status, Vec::new(), Vec::new(), outputs)
    }

    /// Ends an attempt once; later events of it are dropped here. The first one that is served gives the response.
    fn end_attempt(
        &mut self, now: Time, attempt: AttemptId, status: Status, report: Report, body: Vec<u8>,
        outputs: &mut Vec<Output>,
    ) -> Option<Event> {
        let AttemptId { request: id, number } = attempt;
        let ended = self.requests.open_attempt_mut(attempt)?;
        ended.open = false;
        ended.may_have_run = !self.settings.never_ran(status);
        let (worker, latency) = (ended.worker, now.since(ended.sent));
        if status == Status::Ok {
            self.requests.respond(id, FinalResponse::Served(body), outputs);
        }
        let closed = self.requests.is_closed(id);
        self.requests.remove_if_finished(id);
        Some(Event::Outcome { id, attempt: number, worker, status, latency, closed, report })
    }

    fn decide(&mut self, now: Time, event: Event) {
        if !matches!(event, Event::TimerDue { .. }) {
            self.write_trace(now, &event);
        }
        self.dispatcher.handle(now, event, &mut self.actions);
    }

    /// Carries out the decision module's actions, and reports the outcomes that this produced to it.
    fn run_actions(&mut self, now: Time, outputs: &mut Vec<Output>) {
        loop {
            for action in std::mem::take(&mut self.actions) {
                self.run_action(now, action, outputs);
            }
            if self.pending_events.is_empty() {
                return;
            }
            for event in std::mem::take(&mut self.pending_events) {
                self.decide(now, event);
            }
        }
    }

    fn run_action(&mut self, now: Time, action: Action, outputs: &mut Vec<Output>) {
        if !matches!(action, Action::SetTimer { .. }) {
            self.write_trace(now, &action);
        }
        match action {
            Action::Send { id, worker, timeout } => self.start_attempt(now, id, worker, timeout, outputs),
            Action::Refuse { id, retry_after } => {
                let response = FinalResponse::Rejected(retry_after.unwrap_or_default());
                self.requests.respond(id, response, outputs);
            }
            Action::Fail { id } => self.requests.respond(id, FinalResponse::Failed, outputs),
            Action::Cancel { id, attempt } => {
                let attempt = AttemptId { request: id, number: attempt };
                if let Some(event) = self.end_without_report(now, attempt, Status::Cancelled, outputs) {
                    outputs.push(Output::Abandon(attempt));
                    self.pending_events.push(event);
                }
            }
            Action::Probe { worker } => outputs.push(Output::Probe(worker)),
            Action::CloseIdle { worker } => outputs.push(Output::CloseIdle(worker)),
            Action::SetTimer { at, token } => {
                outputs.push(Output::SetTimer(at, EngineTimer::Decision(token)));
            }
            Action::Watch => outputs.push(Output::Watch),
            Action::Fetch => outputs.push(Output::Fetch),
        }
    }

    /// Starts an attempt if every rule allows it; otherwise the decision module learns that it was not sent.
    fn start_attempt(
        &mut self, now: Time, id: RequestId, worker: WorkerId, timeout: Option<Duration>,
        outputs: &mut Vec<Output>,
    ) {
        let max_attempts = self.settings.max_attempts.clamp(1, MAX_ATTEMPT_NUMBER) as usize;
        let allowed = self.requests.get(id).is_some_and(|request| {
            request.attempts.len() < max_attempts
                && may_deliver(&self.settings, &self.workers, now, request, worker, None)
        });
        let Some(request) = self.requests.get_mut(id).filter(|_| allowed) else {
            self.reject_attempt(now, id, worker);
            return;
        };
        let attempt = AttemptId { request: id, number: AttemptNo(request.attempts.len() as u8) };
        request.push_attempt(worker, now, true);
        outputs.push(Output::Deliver { attempt, worker, time_left: request.deadline.since(now) });
        if let Some(at) = timeout.map(|timeout| now + timeout).filter(|at| *at < request.deadline) {
            outputs.push(Output::SetTimer(at, EngineTimer::AttemptTimeout(attempt)));
        }
    }

    fn reject_attempt(&mut self, now: Time, id: RequestId, worker: WorkerId) {
        let attempt = self.requests.next_attempt_number(id);
        if let Some(request) = self.requests.get_mut(id) {
            // It takes a number, as the decision module counts it.
            request.push_attempt(worker, now, false);
        }
        let closed = self.requests.is_closed(id);
        let (status, latency, report) = (Status::Moot, Duration::ZERO, Vec::new());
        self.pending_events.push(Event::Outcome { id, attempt, worker, status, latency, closed, report });
    }

    fn write_trace(&self, now: Time, what: &dyn std::fmt::Debug) {
        if let Some(log) = self.trace {
            log(&format!("trace {:.3} {what:?}", now.0 as f64 / 1e9));
        }
    }
}
