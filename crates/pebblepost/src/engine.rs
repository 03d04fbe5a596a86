//! The core: requests, delivery attempts and outcomes around the [`Dispatcher`].
//!
//! It knows no wire, opens no socket and reads no clock: a turn takes everything that has happened
//! and returns what is to be done. Whatever the decisions ask for, it holds on its own to these:
//! one final answer for each request, no more attempts than the settings allow, no repeat that the class of
//! the request does not allow, nothing to a worker that was told to be draining or gone, nothing after a
//! request's end or its client's. These hold when an attempt is decided on and, where its connection has to
//! come up first, again when its first byte goes out.

use pebblepost_dispatch::api::*;
use pebblepost_dispatch::{Action, Dispatcher, Event};
use pebblepost_fleet::heartbeat::RequestCounts;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// What the core is told of a request; the front keeps the rest.
#[derive(Clone, Debug)]
pub struct Request {
    /// Index of its class.
    pub class: ClassId,
    /// How long its client will wait.
    pub time_left: Duration,
    /// A client's repeat.
    pub repeat: bool,
    /// Slots it takes.
    pub slots: f32,
    /// Memory units it takes.
    pub memory: f32,
    /// Hint of its work.
    pub work: Option<Duration>,
    /// What it is about, as a number; 0: nothing.
    pub key: u64,
    /// Whose it is.
    pub tenant: TenantId,
}

/// One attempt to deliver a request to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct DeliveryAttempt {
    /// The request.
    pub id: RequestId,
    /// Its number among the attempts of the request.
    pub no: AttemptNo,
}

/// What happened, as fronts, workers and discovery tell it.
#[derive(Debug)]
pub enum Input {
    /// A request came; its id was never used before.
    Request(RequestId, Request),
    /// The client of a request is gone.
    ClientGone(RequestId),
    /// The list of workers changed.
    Members(ListKind, Vec<Entry>),
    /// The connection that an attempt had to wait for is up, and nothing has been sent on it.
    Connected(DeliveryAttempt),
    /// The job of an attempt has started.
    Started(DeliveryAttempt),
    /// The job of an attempt has progressed.
    Progress(DeliveryAttempt, f32),
    /// An attempt ended; with the answer's body if it was served.
    Ended(DeliveryAttempt, Status, Report, Vec<u8>),
    /// A worker said that the request itself is wrong: no other would take it either, and it is not to blame.
    Invalid(DeliveryAttempt),
    /// A probe ended.
    Probed(WorkerId, Status, Duration, Report),
    /// A deadline that the core had set is due.
    Due(Due),
}

/// A deadline that the core sets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Due {
    /// A timer of the decisions.
    Timer(TimerToken),
    /// An attempt's time-out.
    Attempt(DeliveryAttempt),
    /// The client of this request gives up now.
    Client(RequestId),
}

/// A final answer.
#[derive(Debug, PartialEq)]
pub enum Answer {
    /// What the worker made.
    Served(Vec<u8>),
    /// Rejected: trying again is harmless, best after this long.
    Rejected(Duration),
    /// Nothing is promised.
    Failed,
}

/// What is to be done.
#[derive(Debug, PartialEq)]
pub enum Output {
    /// Deliver the request to the worker; `Duration`: until its client gives up.
    Deliver(DeliveryAttempt, WorkerId, Duration),
    /// Send what was to be delivered on the connection that has come up; `Duration`: until its client gives up.
    Transmit(DeliveryAttempt, Duration),
    /// The attempt has been given up: end it on the wire, nothing more is to be said of it.
    GiveUp(DeliveryAttempt),
    /// Probe the worker.
    Probe(WorkerId),
    /// Close the idle connections to the worker.
    CloseIdle(WorkerId),
    /// Subscribe to changes of the list.
    Watch,
    /// Fetch the whole list once.
    Fetch,
    /// Set a deadline.
    Set(Time, Due),
    /// The one final answer.
    Answer(RequestId, Answer),
}

#[derive(Debug)]
struct Attempt {
    worker: WorkerId,
    sent: Time,
    open: bool,
    /// It has ended, and not in a way that proves that it never ran.
    may_have_run: bool,
}

#[derive(Debug)]
struct Tracked {
    class: ClassId,
    deadline: Time,
    answered: bool,
    attempts: Vec<Attempt>,
}

impl Tracked {
    fn open(&self) -> bool {
        self.attempts.iter().any(|a| a.open)
    }
}

/// Requests and attempts around the decisions.
#[derive(Debug)]
pub struct Engine {
    dispatcher: Dispatcher,
    settings: Settings,
    requests: HashMap<RequestId, Tracked>,
    workers: HashMap<WorkerId, Entry>,
    unanswered: usize,
    counts: RequestCounts,
    actions: Vec<Action>,
    /// Outcomes that the core itself makes, told to the decisions after what is in hand.
    own: Vec<Event>,
    /// Where each event and action is written, for counting over a fleet; off unless asked for.
    trace: Option<fn(&str)>,
}

impl Engine {
    /// A core that knows its settings and nothing else.
    pub fn new(settings: Settings, seed: u64, now: Time) -> Self {
        Self {
            dispatcher: Dispatcher::new(settings.clone(), seed, now),
            settings,
            requests: HashMap::new(),
            workers: HashMap::new(),
            unanswered: 0,
            counts: RequestCounts::default(),
            actions: Vec::new(),
            own: Vec::new(),
            trace: None,
        }
    }

    /// Writes each event and action but timers to `log` (`PEBBLEPOST_TRACE`).
    pub fn tracing(mut self, log: Option<fn(&str)>) -> Self {
        self.trace = log;
        self
    }

    fn note(&self, now: Time, what: &dyn std::fmt::Debug) {
        if let Some(log) = self.trace {
            log(&format!("trace {:.3} {what:?}", now.0 as f64 / 1e9));
        }
    }

    /// The settings in force.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Requests that still need their answer.
    pub fn unanswered(&self) -> usize {
        self.unanswered
    }

    /// Workers that take work, by what this node was told.
    pub fn ready_workers(&self) -> usize {
        self.workers.values().filter(|entry| entry.state == WorkerState::Ready).count()
    }

    /// How its requests went.
    pub fn counts(&self) -> RequestCounts {
        self.counts
    }

    /// Which of these workers have attempts out.
    pub fn busy(&self, of: &HashSet<WorkerId>) -> HashSet<WorkerId> {
        let open = self.requests.values().flat_map(|r| r.attempts.iter().filter(|a| a.open));
        open.map(|a| a.worker).filter(|worker| of.contains(worker)).collect()
    }

    /// Hands all that happened to the decisions and returns what is to be done, in order. Clients that have gone come
    /// first: nothing of the same turn, a probe's answer or a timer, may still send what they asked for.
    pub fn turn(&mut self, now: Time, inputs: &mut Vec<Input>, out: &mut Vec<Output>) {
        let gone = inputs.iter().filter_map(|i| if let Input::ClientGone(id) = i { Some(*id) } else { None });
        let gone: HashSet<RequestId> = gone.collect();
        let known: Vec<RequestId> =
            gone.iter().copied().filter(|id| self.requests.contains_key(id)).collect();
        for id in known {
            self.client_gone(now, id);
            self.settle(now, out);
        }
        for input in inputs.drain(..) {
            // One that came and went within the turn is not taken up.
            if matches!(&input, Input::Request(id, _) | Input::ClientGone(id) if gone.contains(id)) {
                continue;
            }
            self.take(now, input, out);
            self.settle(now, out);
        }
    }

    /// Carries out the actions, and tells the decisions of the outcomes that this made.
    fn settle(&mut self, now: Time, out: &mut Vec<Output>) {
        loop {
            for action in std::mem::take(&mut self.actions) {
                self.act(now, action, out);
            }
            if self.own.is_empty() {
                return;
            }
            for event in std::mem::take(&mut self.own) {
                self.tell(now, event);
            }
        }
    }

    fn tell(&mut self, now: Time, event: Event) {
        if !matches!(event, Event::TimerDue { .. }) {
            self.note(now, &event);
        }
        self.dispatcher.handle(now, event, &mut self.actions);
    }

    fn take(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Request(id, request) => {
                let deadline = now + request.time_left;
                let class = request.class;
                self.requests.insert(id, Tracked { class, deadline, answered: false, attempts: Vec::new() });
                self.unanswered += 1;
                let Request { class, time_left, repeat, slots, memory, work, key, tenant } = request;
                let event = Event::Request { id, class, tenant, time_left, repeat, slots, memory, work, key };
                self.tell(now, event);
                // Set after the decisions' own timer, so that these have the first word at equal times.
                out.push(Output::Set(deadline, Due::Client(id)));
            }
            Input::ClientGone(id) => self.client_gone(now, id),
            Input::Members(kind, entries) => {
                if matches!(kind, ListKind::Full | ListKind::Cached) {
                    // They stay known by zone and cell: attempts that ran there bind where repeats may go.
                    self.workers.values_mut().for_each(|entry| entry.state = WorkerState::Gone);
                }
                self.workers.extend(entries.iter().map(|e| (e.worker, *e)));
                self.tell(now, Event::Members { kind, entries });
            }
            Input::Connected(attempt) => self.connected(now, attempt, out),
            Input::Started(DeliveryAttempt { id, no }) => {
                if self.is_open(id, no) {
                    self.tell(now, Event::Started { id, attempt: no });
                }
            }
            Input::Progress(DeliveryAttempt { id, no }, done) => {
                if self.is_open(id, no) {
                    self.tell(now, Event::Progress { id, attempt: no, done });
                }
            }
            Input::Ended(attempt, status, report, body) => {
                if let Some(event) = self.end(now, attempt, status, report, body, out) {
                    self.tell(now, event);
                }
            }
            Input::Invalid(attempt) => {
                // Answered here, as what is served is: there is nothing left to decide.
                if self.is_open(attempt.id, attempt.no) {
                    self.answer(attempt.id, Answer::Failed, out);
                }
                let ended = self.end(now, attempt, Status::Cancelled, Vec::new(), Vec::new(), out);
                if let Some(event) = ended {
                    self.tell(now, event);
                }
            }
            Input::Probed(worker, status, latency, report) => {
                self.tell(now, Event::Probed { worker, status, latency, report });
            }
            Input::Due(Due::Timer(token)) => self.tell(now, Event::TimerDue { token }),
            Input::Due(Due::Attempt(attempt)) => self.time_out(now, attempt, out),
            Input::Due(Due::Client(id)) => {
                let open = self.requests.get(&id).map_or(0, |r| r.attempts.len());
                for no in 0..open {
                    self.time_out(now, DeliveryAttempt { id, no: AttemptNo(no as u8) }, out);
                }
                self.settle(now, out);
                // The decisions answer before this; should they not, the client still gets an answer.
                self.answer(id, Answer::Failed, out);
                self.client_gone(now, id);
            }
        }
    }

    fn time_out(&mut self, now: Time, attempt: DeliveryAttempt, out: &mut Vec<Output>) {
        if let Some(event) = self.end(now, attempt, Status::Timeout, Vec::new(), Vec::new(), out) {
            out.push(Output::GiveUp(attempt));
            self.tell(now, event);
        }
    }

    /// The client is gone or has its answer late: nothing more is owed.
    fn client_gone(&mut self, now: Time, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        if !std::mem::replace(&mut r.answered, true) {
            self.unanswered -= 1;
        }
        self.tell(now, Event::ClientGone { id });
        self.forget(id);
    }

    fn is_open(&self, id: RequestId, no: AttemptNo) -> bool {
        self.requests.get(&id).and_then(|r| r.attempts.get(usize::from(no.0))).is_some_and(|a| a.open)
    }

    /// Ends an attempt once; what comes later of it is dropped here. The first that is served answers.
    fn end(
        &mut self, now: Time, DeliveryAttempt { id, no }: DeliveryAttempt, status: Status, report: Report,
        body: Vec<u8>, out: &mut Vec<Output>,
    ) -> Option<Event> {
        let r = self.requests.get_mut(&id)?;
        let a = r.attempts.get_mut(usize::from(no.0)).filter(|a| a.open)?;
        a.open = false;
        a.may_have_run = !self.settings.never_ran(status);
        let (worker, latency) = (a.worker, now.since(a.sent));
        if status == Status::Ok {
            self.answer(id, Answer::Served(body), out);
        }
        let closed = self.requests.get(&id).is_none_or(|r| r.answered);
        self.forget(id);
        Some(Event::Outcome { id, attempt: no, worker, status, latency, closed, report })
    }

    /// Gives the final answer, unless it has been given.
    fn answer(&mut self, id: RequestId, answer: Answer, out: &mut Vec<Output>) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| !r.answered) else { return };
        r.answered = true;
        self.unanswered -= 1;
        self.counts.answered += 1;
        self.counts.succeeded += u64::from(matches!(answer, Answer::Served(_)));
        out.push(Output::Answer(id, answer));
        self.forget(id);
    }

    fn forget(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|r| r.answered && !r.open()) {
            self.requests.remove(&id);
        }
    }

    fn act(&mut self, now: Time, action: Action, out: &mut Vec<Output>) {
        if !matches!(action, Action::SetTimer { .. }) {
            self.note(now, &action);
        }
        match action {
            Action::Send { id, worker, timeout } => self.send(now, id, worker, timeout, out),
            Action::Refuse { id, retry_after } => {
                self.answer(id, Answer::Rejected(retry_after.unwrap_or_default()), out);
            }
            Action::Fail { id } => self.answer(id, Answer::Failed, out),
            Action::Cancel { id, attempt } => {
                let attempt = DeliveryAttempt { id, no: attempt };
                let ended = self.end(now, attempt, Status::Cancelled, Vec::new(), Vec::new(), out);
                if let Some(event) = ended {
                    out.push(Output::GiveUp(attempt));
                    self.own.push(event);
                }
            }
            Action::Probe { worker } => out.push(Output::Probe(worker)),
            Action::CloseIdle { worker } => out.push(Output::CloseIdle(worker)),
            Action::SetTimer { at, token } => out.push(Output::Set(at, Due::Timer(token))),
            Action::Watch => out.push(Output::Watch),
            Action::Fetch => out.push(Output::Fetch),
        }
    }

    /// Whether this request may go to this worker now, beside its other attempts than `this`.
    fn may_go(&self, now: Time, r: &Tracked, worker: WorkerId, this: Option<AttemptNo>) -> bool {
        let Some(to) = self.workers.get(&worker).filter(|entry| entry.state == WorkerState::Ready) else {
            return false;
        };
        let this = this.map(|no| usize::from(no.0));
        let others = || r.attempts.iter().enumerate().filter(|(no, _)| Some(*no) != this).map(|(_, a)| a);
        let first = others().filter(|a| a.open || a.may_have_run).min_by_key(|a| a.sent);
        let repeats = match (self.settings.classes.get(usize::from(r.class.0)).map(|c| c.idempotency), first)
        {
            (_, None) | (Some(Idempotency::Idempotent), _) => true,
            (None | Some(Idempotency::NonIdempotent), Some(_)) => false,
            (Some(Idempotency::Deduplicated { scope: group, window }), Some(first)) => {
                let same = |of: fn(&Entry) -> u16| self.workers.get(&first.worker).map(of) == Some(of(to));
                now < first.sent + window
                    && match group {
                        DeduplicationScope::All => true,
                        DeduplicationScope::Zone => same(|entry| entry.zone.0),
                        DeduplicationScope::Cell => same(|entry| entry.cell.0),
                    }
            }
        };
        let alone = self.settings.hedging_enabled || !others().any(|a| a.open);
        repeats && alone && !r.answered && now < r.deadline
    }

    /// The connection of an attempt came up, maybe late: it goes out if all still allows it, and else never ran.
    fn connected(&mut self, now: Time, attempt: DeliveryAttempt, out: &mut Vec<Output>) {
        let DeliveryAttempt { id, no } = attempt;
        let Some(r) = self.requests.get(&id) else { return };
        let Some(worker) = r.attempts.get(usize::from(no.0)).filter(|a| a.open).map(|a| a.worker) else {
            return;
        };
        if self.may_go(now, r, worker, Some(no)) {
            out.push(Output::Transmit(attempt, r.deadline.since(now)));
            return;
        }
        out.push(Output::GiveUp(attempt));
        let ended = self.end(now, attempt, Status::ConnectFailed, Vec::new(), Vec::new(), out);
        if let Some(event) = ended {
            self.tell(now, event);
        }
    }

    /// Starts an attempt if every guard allows it; otherwise the decisions learn that it was not sent.
    fn send(
        &mut self, now: Time, id: RequestId, worker: WorkerId, timeout: Option<Duration>,
        out: &mut Vec<Output>,
    ) {
        let most = self.settings.max_attempts.clamp(1, 255) as usize;
        let request = self.requests.get(&id);
        let allowed = request.is_some_and(|r| r.attempts.len() < most && self.may_go(now, r, worker, None));
        let Some(r) = self.requests.get_mut(&id).filter(|_| allowed) else {
            let attempt = AttemptNo(self.requests.get(&id).map_or(0, |r| r.attempts.len().min(255) as u8));
            if let Some(r) = self.requests.get_mut(&id) {
                let attempt = Attempt { worker, sent: now, open: false, may_have_run: false };
                r.attempts.push(attempt); // Numbers go on as the decisions count.
            }
            let closed = self.requests.get(&id).is_none_or(|r| r.answered);
            let (status, latency, report) = (Status::Moot, Duration::ZERO, Vec::new());
            self.own.push(Event::Outcome { id, attempt, worker, status, latency, closed, report });
            return;
        };
        let attempt = DeliveryAttempt { id, no: AttemptNo(r.attempts.len() as u8) };
        r.attempts.push(Attempt { worker, sent: now, open: true, may_have_run: false });
        out.push(Output::Deliver(attempt, worker, r.deadline.since(now)));
        if let Some(at) = timeout.map(|t| now + t).filter(|at| *at < r.deadline) {
            out.push(Output::Set(at, Due::Attempt(attempt)));
        }
    }
}
