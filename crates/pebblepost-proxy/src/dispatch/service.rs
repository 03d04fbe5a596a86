//! One service: its decisions, driven with events, and what they ask for.

use super::attempts::Attempts;
use super::policy::{ClassKey, RoutePolicy, WARM_UP, settings};
use super::ticket::{Command, Commands, Ticket};
use super::workers::Workers;
use log::debug;
use pebblepost_dispatch::Dispatcher;
use pebblepost_dispatch::api::{
    Action, AttemptNo, ClassId, Event, ListKind, Report, RequestId, Status, TenantId, Time, TimerToken,
    WorkerId,
};
use pebblepost_messages::feed::Instance;
use pebblepost_transcriber::{Client, Load, Target};
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A probe that got no answer by then has failed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// A request that never was: it carries a report that no probe asked for.
const NO_REQUEST: RequestId = RequestId(u32::MAX);

/// A service with the decisions for it.
#[derive(Debug)]
pub(crate) struct Service {
    name: String,
    client: Client,
    started: Instant,
    state: RefCell<State>,
    timers_changed: Notify,
}

#[derive(Debug)]
struct State {
    dispatcher: Dispatcher,
    classes: Vec<ClassKey>,
    workers: Workers,
    requests: HashMap<RequestId, Rc<Commands>>,
    timers: BinaryHeap<Reverse<(Time, u64)>>,
    next_request: u32,
    /// Kept between events, so that none needs a new one.
    actions: Vec<Action>,
}

impl Service {
    /// A service without transcribers, and its timer's task (`spawn_local`). `first`: one of the
    /// routes that it serves; `seed`: of the decisions' random draws.
    pub(crate) fn start(
        name: &str, first: &RoutePolicy, zone: &str, nodes: u32, seed: u64, client: Client,
    ) -> Rc<Service> {
        let class = first.class();
        let state = State {
            dispatcher: Dispatcher::new(settings(class, nodes), seed, Time(0)),
            classes: vec![class],
            workers: Workers::new(zone),
            requests: HashMap::new(),
            timers: BinaryHeap::new(),
            next_request: 0,
            actions: Vec::new(),
        };
        let service = Rc::new(Service {
            name: name.to_owned(),
            client,
            started: Instant::now(),
            state: RefCell::new(state),
            timers_changed: Notify::new(),
        });
        tokio::task::spawn_local(run_timers(service.clone()));
        service
    }

    fn now(&self) -> Time {
        Time(u64::try_from(self.started.elapsed().as_nanos()).unwrap_or(u64::MAX))
    }

    /// Takes an announcement of one of its transcribers in.
    pub(crate) fn update(self: &Rc<Self>, instance: &Instance) {
        let now = self.now();
        let change = self.state.borrow_mut().workers.update(instance, now, WARM_UP);
        let Some(change) = change else { return };
        debug!("{}: transcriber {} is {:?}", self.name, instance.id, change.entry.state);
        self.tell(Event::Members { kind: ListKind::Delta, entries: vec![change.entry] });
        if let Some(slots) = change.new_with_slots {
            self.tell_slots(change.entry.worker, slots);
        }
    }

    /// A report of free slots only, so that the decisions know how many there are.
    fn tell_slots(self: &Rc<Self>, worker: WorkerId, slots: u32) {
        self.tell(Event::Outcome {
            id: NO_REQUEST,
            attempt: AttemptNo(0),
            worker,
            status: Status::Moot,
            latency: Duration::ZERO,
            closed: true,
            report: vec![slots as f32, 0.0],
        });
    }

    /// Tells how many proxies there are.
    pub(crate) fn set_nodes(&self, nodes: u32) {
        self.state.borrow_mut().dispatcher.set_nodes(nodes);
    }

    /// Whether any of its transcribers takes requests.
    pub(crate) fn any_ready(&self) -> bool {
        self.state.borrow().workers.all_ready().next().is_some()
    }

    /// Whether a transcriber takes requests to which none of these attempts went.
    pub(super) fn any_ready_but(&self, attempts: &Attempts) -> bool {
        self.state.borrow().workers.all_ready().any(|worker| !attempts.was_sent_to(worker))
    }

    /// A transcriber, if it takes requests at this moment.
    pub(super) fn ready(&self, worker: WorkerId) -> Option<Target> {
        self.state.borrow().workers.ready(worker).cloned()
    }

    /// The client that reaches its transcribers.
    pub(super) fn client(&self) -> &Client {
        &self.client
    }

    /// Hands a request to the decisions. `None` if they can't tell its class apart.
    pub(super) fn admit(
        self: &Rc<Self>, policy: &RoutePolicy, time_left: Duration, key: u64,
    ) -> Option<Ticket> {
        let commands = Rc::new(Commands::default());
        let (id, class) = {
            let mut state = self.state.borrow_mut();
            let class = state.class(policy.class())?;
            let id = state.new_request();
            state.requests.insert(id, commands.clone());
            (id, class)
        };
        let ticket = Ticket::new(self.clone(), id, commands);
        self.tell(Event::Request {
            id,
            class,
            tenant: TenantId(0),
            time_left,
            repeat: false,
            slots: 1.0,
            memory: 0.0,
            work: None,
            key,
        });
        Some(ticket)
    }

    /// A request has ended.
    pub(super) fn forget(&self, id: RequestId) {
        let mut state = self.state.borrow_mut();
        state.requests.remove(&id);
        // All timers are those of requests.
        if state.requests.is_empty() && !state.timers.is_empty() {
            state.timers.clear();
            self.timers_changed.notify_one();
        }
    }

    /// Tells the decisions what happened and carries out what they ask for.
    pub(super) fn tell(self: &Rc<Self>, event: Event) {
        let now = self.now();
        let mut actions = {
            let state = &mut *self.state.borrow_mut();
            let mut actions = std::mem::take(&mut state.actions);
            state.dispatcher.handle(now, event, &mut actions);
            actions
        };
        for action in actions.drain(..) {
            self.carry_out(action);
        }
        self.state.borrow_mut().actions = actions;
    }

    fn carry_out(self: &Rc<Self>, action: Action) {
        match action {
            Action::Send { id, worker, .. } => self.command(id, Command::Send(worker)),
            Action::Refuse { id, retry_after } => self.command(id, Command::GiveUp(retry_after)),
            Action::Fail { id } => self.command(id, Command::GiveUp(None)),
            Action::Probe { worker } => {
                tokio::task::spawn_local(probe(self.clone(), worker));
            }
            Action::SetTimer { at, token } => self.set_timer(at, token),
            // Attempts end by themselves, connections are the client's, the list comes unasked.
            Action::Cancel { .. } | Action::CloseIdle { .. } | Action::Watch | Action::Fetch => {}
        }
    }

    fn command(&self, id: RequestId, command: Command) {
        if let Some(commands) = self.state.borrow().requests.get(&id) {
            commands.push(command);
        }
    }

    fn set_timer(&self, at: Time, token: TimerToken) {
        let mut state = self.state.borrow_mut();
        let earliest = state.timers.peek().is_none_or(|Reverse((next, _))| at < *next);
        state.timers.push(Reverse((at, token.0)));
        if earliest {
            self.timers_changed.notify_one();
        }
    }

    fn next_timer(&self) -> Option<Instant> {
        let state = self.state.borrow();
        state.timers.peek().map(|Reverse((at, _))| self.started + Duration::from_nanos(at.0))
    }

    fn take_due_timer(&self) -> Option<TimerToken> {
        let now = self.now();
        let timers = &mut self.state.borrow_mut().timers;
        timers.peek().filter(|Reverse((at, _))| *at <= now)?;
        timers.pop().map(|Reverse((_, token))| TimerToken(token))
    }

    /// A load report, in the order that the decisions' settings name.
    pub(super) fn report(&self, worker: WorkerId, load: &Load) -> Report {
        let slots = load.slots.unwrap_or_else(|| self.state.borrow().workers.slots(worker)).max(1);
        if load.order_in_progress {
            // Until its order is done, it turns away whatever has not begun.
            return vec![0.0, slots as f32];
        }
        vec![slots.saturating_sub(load.running) as f32, load.waiting as f32]
    }

    /// The report of a transcriber that tells no load: what this proxy has there.
    fn own_report(&self, worker: WorkerId) -> Report {
        let state = self.state.borrow();
        let slots = state.workers.slots(worker).max(1);
        vec![slots.saturating_sub(state.workers.in_flight(worker)) as f32, 0.0]
    }

    /// An attempt at a transcriber begins or ends.
    pub(super) fn count_in_flight(&self, worker: WorkerId, begins: bool) {
        self.state.borrow_mut().workers.count_in_flight(worker, begins);
    }
}

impl State {
    fn class(&mut self, key: ClassKey) -> Option<ClassId> {
        let known = self.classes.iter().position(|class| *class == key);
        if let Some(index) = known {
            return u16::try_from(index).ok().map(ClassId);
        }
        let id = self.dispatcher.add_class(key.to_class())?;
        self.classes.push(key);
        Some(id)
    }

    fn new_request(&mut self) -> RequestId {
        loop {
            let id = RequestId(self.next_request);
            self.next_request = self.next_request.wrapping_add(1);
            if id != NO_REQUEST && !self.requests.contains_key(&id) {
                return id;
            }
        }
    }
}

/// Asks a transcriber for its load and tells the decisions.
async fn probe(service: Rc<Service>, worker: WorkerId) {
    let sent = Instant::now();
    let result = match service.ready(worker) {
        Some(target) => service.client.load_report(&target, PROBE_TIMEOUT).await.map_err(probe_failure),
        None => Err(Status::ConnectFailed),
    };
    let (status, report) = match result {
        Ok(Some(load)) => (Status::Ok, service.report(worker, &load)),
        Ok(None) => (Status::Ok, service.own_report(worker)),
        Err(status) => (status, Report::new()),
    };
    service.tell(Event::Probed { worker, status, latency: sent.elapsed(), report });
}

fn probe_failure(failure: pebblepost_transcriber::ClientError) -> Status {
    use pebblepost_transcriber::ClientError;
    match failure {
        ClientError::NotSent => Status::ConnectFailed,
        ClientError::MayHaveRun => Status::Reset,
        ClientError::TimedOut => Status::Timeout,
    }
}

/// Tells the decisions of their timers, asleep until the next is due.
async fn run_timers(service: Rc<Service>) {
    loop {
        let changed = service.timers_changed.notified();
        match service.next_timer() {
            None => changed.await,
            Some(at) => tokio::select! {
                () = tokio::time::sleep_until(at) => {}
                () = changed => {}
            },
        }
        while let Some(token) = service.take_due_timer() {
            service.tell(Event::TimerDue { token });
        }
    }
}
