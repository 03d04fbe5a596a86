//! The engine, which tracks requests and attempts and consults the decision module ([`Dispatcher`]).
//!
//! The engine owns the requests in flight and the state of the workers. It is independent of protocols and does no I/O: each
//! call of [`Engine::process_inputs`] takes the time and the events so far and returns the operations to perform.
//!
//! The engine enforces these rules itself, regardless of what the decision module asks for:
//!
//! - A request gets exactly one final response, or none if its client disconnects first.
//! - A request has no more attempts than the settings allow.
//! - A request is retried only if its class allows it.
//! - No attempt is sent to a worker that is known to be draining or gone.
//! - No attempt is sent after the final response or the client's disconnection.
//!
//! The rules for attempts are checked when an attempt is started. If its connection has to be established first, they are
//! checked again before the first byte is sent.

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

/// Upper limit of attempts per request, which [`AttemptNo`] numbers with 8 bits.
const MAX_ATTEMPTS_PER_REQUEST: u32 = 255;

/// Tracks requests and attempts, and carries out the decisions of the decision module.
#[derive(Debug)]
pub struct Engine {
    dispatcher: Dispatcher,
    settings: Settings,
    requests: RequestTable,
    workers: WorkerEntries,
    /// Actions of the decision module that are not executed yet.
    actions: Vec<Action>,
    /// Outcomes of attempts that the engine itself cancelled or rejected. They are reported to the decision module after the
    /// current batch of actions.
    pending_events: Vec<Event>,
    /// Receives a line for each event and action of the decision module except timers; `None` if tracing is off.
    trace: Option<fn(&str)>,
}

impl Engine {
    /// Creates an engine without requests or workers.
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

    /// Sets the log that receives each event and action except timers. The environment variable `PEBBLEPOST_TRACE` turns
    /// tracing on.
    pub fn with_trace(mut self, log: Option<fn(&str)>) -> Self {
        self.trace = log;
        self
    }

    /// Returns the settings that the engine was created with.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the number of requests without a final response.
    pub fn unanswered_requests(&self) -> usize {
        self.requests.unanswered()
    }

    /// Returns the number of workers whose last reported state is ready.
    pub fn ready_worker_count(&self) -> usize {
        self.workers.values().filter(|entry| entry.state == WorkerState::Ready).count()
    }

    /// Returns the counts of final responses since the start.
    pub fn request_counts(&self) -> RequestCounts {
        self.requests.counts()
    }

    /// Returns those of the given workers that have attempts in flight.
    pub fn workers_with_attempts_in_flight(&self, among: &HashSet<WorkerId>) -> HashSet<WorkerId> {
        self.requests.workers_with_attempts_in_flight(among)
    }

    /// Processes all inputs and appends the operations to perform to `outputs`, in order. Drains `inputs`.
    ///
    /// Client disconnections are processed first. Otherwise another input of the same batch, such as a probe's result or a
    /// timer, could still send a request whose client is gone.
    pub fn process_inputs(&mut self, now: Time, inputs: &mut Vec<Input>, outputs: &mut Vec<Output>) {
        let disconnected = inputs
            .iter()
            .filter_map(|i| if let Input::ClientDisconnected(id) = i { Some(*id) } else { None });
        let disconnected: HashSet<RequestId> = disconnected.collect();
        let known: Vec<RequestId> =
            disconnected.iter().copied().filter(|id| self.requests.contains(*id)).collect();
        for id in known {
            self.on_client_gone(now, id);
            self.execute_actions(now, outputs);
        }
        for input in inputs.drain(..) {
            // A request whose client disconnected in the same batch is never started.
            if matches!(&input, Input::Request(id, _) | Input::ClientDisconnected(id) if disconnected.contains(id))
            {
                continue;
            }
            self.on_input(now, input, outputs);
            self.execute_actions(now, outputs);
        }
    }

    fn on_input(&mut self, now: Time, input: Input, outputs: &mut Vec<Output>) {
        match input {
            Input::Request(id, request) => self.on_request(now, id, request, outputs),
            Input::ClientDisconnected(id) => self.on_client_gone(now, id),
            Input::Membership(kind, entries) => self.on_membership(now, kind, entries),
            Input::Connected(attempt) => self.on_connected(now, attempt, outputs),
            Input::Started(attempt) => {
                if self.requests.is_in_flight(attempt) {
                    self.notify_dispatcher(
                        now,
                        Event::Started { id: attempt.request, attempt: attempt.number },
                    );
                }
            }
            Input::Progress(attempt, done) => {
                if self.requests.is_in_flight(attempt) {
                    self.notify_dispatcher(
                        now,
                        Event::Progress { id: attempt.request, attempt: attempt.number, done },
                    );
                }
            }
            Input::AttemptEnded { attempt, status, report, body } => {
                if let Some(event) = self.end_attempt(now, attempt, status, report, body, outputs) {
                    self.notify_dispatcher(now, event);
                }
            }
            Input::RequestInvalid(attempt) => {
                // The response is final and needs no decision, as for a request that was served.
                if self.requests.is_in_flight(attempt) {
                    self.requests.respond(attempt.request, FinalResponse::Failed, outputs);
                }
                if let Some(event) = self.end_attempt_without_report(now, attempt, Status::Cancelled, outputs)
                {
                    self.notify_dispatcher(now, event);
                }
            }
            Input::Probed { worker, status, latency, report } => {
                self.notify_dispatcher(now, Event::Probed { worker, status, latency, report });
            }
            Input::TimerDue(EngineTimer::Decision(token)) => {
                self.notify_dispatcher(now, Event::TimerDue { token })
            }
            Input::TimerDue(EngineTimer::AttemptTimeout(attempt)) => {
                self.time_out_attempt(now, attempt, outputs)
            }
            Input::TimerDue(EngineTimer::ClientDeadline(id)) => self.on_client_deadline(now, id, outputs),
        }
    }

    fn on_request(&mut self, now: Time, id: RequestId, request: Request, outputs: &mut Vec<Output>) {
        let deadline = now + request.time_left;
        self.requests.insert(id, request.class, deadline);
        let Request { class, time_left, repeat, slots, memory, work, key, tenant } = request;
        self.notify_dispatcher(
            now,
            Event::Request { id, class, tenant, time_left, repeat, slots, memory, work, key },
        );
        // This timer is set before those of the decision module, whose actions are executed after this function returns. Timers
        // that are due at the same time fire in the order in which they were set, so the client's deadline fires first.
        outputs.push(Output::SetTimer(deadline, EngineTimer::ClientDeadline(id)));
    }

    fn on_membership(&mut self, now: Time, kind: ListKind, entries: Vec<Entry>) {
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            // Entries are kept, because the zone and cell of an earlier attempt's worker restrict where retries may go.
            self.workers.values_mut().for_each(|entry| entry.state = WorkerState::Gone);
        }
        self.workers.extend(entries.iter().map(|entry| (entry.worker, *entry)));
        self.notify_dispatcher(now, Event::Members { kind, entries });
    }

    /// Handles the end of a client's interest in a request, by disconnection or deadline: no response is given from now on.
    fn on_client_gone(&mut self, now: Time, id: RequestId) {
        if !self.requests.mark_answered(id) {
            return;
        }
        self.notify_dispatcher(now, Event::ClientGone { id });
        self.requests.remove_if_finished(id);
    }

    fn on_client_deadline(&mut self, now: Time, id: RequestId, outputs: &mut Vec<Output>) {
        let attempts = self.requests.attempt_count(id);
        for number in 0..attempts {
            let attempt = AttemptId { request: id, number: AttemptNo(number as u8) };
            self.time_out_attempt(now, attempt, outputs);
        }
        self.execute_actions(now, outputs);
        // The decision module should have responded before the deadline. If it has not, the request fails here, so that the
        // client gets a response in any case.
        self.requests.respond(id, FinalResponse::Failed, outputs);
        self.on_client_gone(now, id);
    }

    /// Sends the request on the new connection of an attempt if the delivery rules still allow it. Otherwise the attempt ends
    /// with [`Status::ConnectFailed`], because it never ran.
    fn on_connected(&mut self, now: Time, attempt: AttemptId, outputs: &mut Vec<Output>) {
        let AttemptId { request: id, number } = attempt;
        let Some(request) = self.requests.get(id) else { return };
        let in_flight = request.attempts.get(usize::from(number.0)).filter(|attempt| attempt.in_flight);
        let Some(worker) = in_flight.map(|attempt| attempt.worker) else { return };
        if may_deliver(&self.settings, &self.workers, now, request, worker, Some(number)) {
            outputs.push(Output::Transmit { attempt, time_left: request.deadline.since(now) });
            return;
        }
        outputs.push(Output::Abandon(attempt));
        if let Some(event) = self.end_attempt_without_report(now, attempt, Status::ConnectFailed, outputs) {
            self.notify_dispatcher(now, event);
        }
    }

    fn time_out_attempt(&mut self, now: Time, attempt: AttemptId, outputs: &mut Vec<Output>) {
        if let Some(event) = self.end_attempt_without_report(now, attempt, Status::Timeout, outputs) {
            outputs.push(Output::Abandon(attempt));
            self.notify_dispatcher(now, event);
        }
    }

    fn end_attempt_without_report(
        &mut self, now: Time, attempt: AttemptId, status: Status, outputs: &mut Vec<Output>,
    ) -> Option<Event> {
        self.end_attempt(now, attempt, status, Vec::new(), Vec::new(), outputs)
    }

    /// Ends an attempt and returns the event for the decision module; `None` if the attempt is not in flight, in which case the
    /// input is ignored. The first attempt with [`Status::Ok`] determines the final response.
    fn end_attempt(
        &mut self, now: Time, attempt: AttemptId, status: Status, report: Report, body: Vec<u8>,
        outputs: &mut Vec<Output>,
    ) -> Option<Event> {
        let AttemptId { request: id, number } = attempt;
        let ended = self.requests.attempt_in_flight_mut(attempt)?;
        ended.in_flight = false;
        ended.may_have_run = !self.settings.never_ran(status);
        let (worker, latency) = (ended.worker, now.since(ended.sent_at));
        if status == Status::Ok {
            self.requests.respond(id, FinalResponse::Served(body), outputs);
        }
        let closed = self.requests.is_answered(id);
        self.requests.remove_if_finished(id);
        Some(Event::Outcome { id, attempt: number, worker, status, latency, closed, report })
    }

    /// Passes an event to the decision module, whose actions are appended to `self.actions`.
    fn notify_dispatcher(&mut self, now: Time, event: Event) {
        if !matches!(event, Event::TimerDue { .. }) {
            self.write_trace(now, &event);
        }
        self.dispatcher.handle(now, event, &mut self.actions);
    }

    /// Executes the decision module's actions and reports the resulting outcomes to it, until there are no more of either.
    fn execute_actions(&mut self, now: Time, outputs: &mut Vec<Output>) {
        loop {
            for action in std::mem::take(&mut self.actions) {
                self.execute_action(now, action, outputs);
            }
            if self.pending_events.is_empty() {
                return;
            }
            for event in std::mem::take(&mut self.pending_events) {
                self.notify_dispatcher(now, event);
            }
        }
    }

    fn execute_action(&mut self, now: Time, action: Action, outputs: &mut Vec<Output>) {
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
                if let Some(event) = self.end_attempt_without_report(now, attempt, Status::Cancelled, outputs)
                {
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

    /// Starts an attempt if the limit of attempts and the delivery rules allow it. Otherwise the decision module is told that
    /// the attempt was not sent.
    fn start_attempt(
        &mut self, now: Time, id: RequestId, worker: WorkerId, timeout: Option<Duration>,
        outputs: &mut Vec<Output>,
    ) {
        let max_attempts = self.settings.max_attempts.clamp(1, MAX_ATTEMPTS_PER_REQUEST) as usize;
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

    /// Records an attempt that is not sent, and reports it to the decision module with [`Status::Moot`].
    fn reject_attempt(&mut self, now: Time, id: RequestId, worker: WorkerId) {
        let attempt = self.requests.next_attempt_number(id);
        if let Some(request) = self.requests.get_mut(id) {
            // The decision module counts the attempt, so it has to occupy a number here as well.
            request.push_attempt(worker, now, false);
        }
        let closed = self.requests.is_answered(id);
        let (status, latency, report) = (Status::Moot, Duration::ZERO, Vec::new());
        self.pending_events.push(Event::Outcome { id, attempt, worker, status, latency, closed, report });
    }

    fn write_trace(&self, now: Time, event_or_action: &dyn std::fmt::Debug) {
        if let Some(log) = self.trace {
            log(&format!("trace {:.3} {event_or_action:?}", now.0 as f64 / 1e9));
        }
    }
}
