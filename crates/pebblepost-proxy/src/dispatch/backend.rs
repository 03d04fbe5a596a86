//! One backend: its dispatcher, fed with events, and the actions that the dispatcher orders.
//!
//! Owns the dispatcher, the worker table, the request table and the timers. It sends no requests of
//! clients itself: it queues commands for the requests' tasks. Probes for load it sends itself.

use super::command_queue::{Command, CommandQueue};
use super::dispatcher_settings::{WARM_UP, dispatcher_settings};
use super::load_report;
use super::request_class::ClassTable;
use super::request_table::{NO_REQUEST, RequestTable};
use super::retry::Attempts;
use super::route_policy::RoutePolicy;
use super::timers::Timers;
use super::worker_table::WorkerTable;
use log::debug;
use pebblepost_dispatch::Dispatcher;
use pebblepost_dispatch::api::{
    Action, AttemptNo, Event, ListKind, Report, RequestId, Status, TenantId, Time, WorkerId,
};
use pebblepost_messages::feed::Instance;
use pebblepost_transcriber::{Client, ClientError, Load, Target};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// A probe without a response within this time has failed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// What a backend is started with.
#[derive(Clone, Copy, Debug)]
pub(super) struct BackendParameters<'a> {
    /// Name in the configuration.
    pub(super) name: &'a str,
    /// One of the routes that lead to it.
    pub(super) first_route: &'a RoutePolicy,
    /// Zone of this machine.
    pub(super) zone: &'a str,
    /// Proxies that share the backend.
    pub(super) proxy_count: u32,
    /// Seed of the dispatcher's random draws.
    pub(super) seed: u64,
}

/// A backend and its dispatcher.
#[derive(Debug)]
pub(super) struct Backend {
    name: String,
    client: Client,
    started: Instant,
    state: RefCell<State>,
    timers: Timers,
}

#[derive(Debug)]
struct State {
    dispatcher: Dispatcher,
    classes: ClassTable,
    workers: WorkerTable,
    requests: RequestTable,
    /// Buffer that is kept between events, so that none allocates.
    actions: Vec<Action>,
}

impl Backend {
    /// Starts a backend without workers, and the task of its timers (`spawn_local`).
    pub(super) fn start(parameters: BackendParameters<'_>, client: Client) -> Rc<Backend> {
        let BackendParameters { name, first_route, zone, proxy_count, seed } = parameters;
        let class = first_route.class();
        let state = State {
            dispatcher: Dispatcher::new(dispatcher_settings(class, proxy_count), seed, Time(0)),
            classes: ClassTable::new(class),
            workers: WorkerTable::new(zone),
            requests: RequestTable::default(),
            actions: Vec::new(),
        };
        let backend = Rc::new(Backend {
            name: name.to_owned(),
            client,
            started: Instant::now(),
            state: RefCell::new(state),
            timers: Timers::default(),
        });
        tokio::task::spawn_local(run_timers(backend.clone()));
        backend
    }

    fn now(&self) -> Time {
        Time(u64::try_from(self.started.elapsed().as_nanos()).unwrap_or(u64::MAX))
    }

    /// Takes over the state of one of its instances.
    pub(super) fn update_instance(self: &Rc<Self>, instance: &Instance) {
        let now = self.now();
        let change = self.state.borrow_mut().workers.update(instance, now, WARM_UP);
        let Some(change) = change else { return };
        debug!(
            "transcriber updated backend={} transcriber={} state={:?}",
            self.name, instance.id, change.entry.state
        );
        self.handle(Event::Members { kind: ListKind::Delta, entries: vec![change.entry] });
        if let Some(slots) = change.new_with_slots {
            self.report_slots(change.entry.worker, slots);
        }
    }

    /// Reports a new worker's slots as free, so that the dispatcher knows how many it has.
    fn report_slots(self: &Rc<Self>, worker: WorkerId, slots: u32) {
        self.handle(Event::Outcome {
            id: NO_REQUEST,
            attempt: AttemptNo(0),
            worker,
            status: Status::Moot,
            latency: Duration::ZERO,
            closed: true,
            report: load_report::unloaded(slots),
        });
    }

    /// Takes over the number of proxies that share the backend.
    pub(super) fn set_proxy_count(&self, proxy_count: u32) {
        self.state.borrow_mut().dispatcher.set_nodes(proxy_count);
    }

    /// Whether any worker takes requests.
    pub(super) fn has_ready_worker(&self) -> bool {
        self.state.borrow().workers.all_ready().next().is_some()
    }

    /// Whether a worker takes requests to which none of these attempts was sent.
    pub(super) fn has_untried_worker(&self, attempts: &Attempts) -> bool {
        self.state.borrow().workers.all_ready().any(|worker| !attempts.includes(worker))
    }

    /// A worker, if it takes requests now.
    pub(super) fn ready(&self, worker: WorkerId) -> Option<Target> {
        self.state.borrow().workers.ready(worker).cloned()
    }

    /// The client that reaches the workers.
    pub(super) fn client(&self) -> &Client {
        &self.client
    }

    /// Hands a request to the dispatcher, whose commands for it go to `commands`. `None`: its class
    /// can't be added.
    pub(super) fn begin_request(
        self: &Rc<Self>, policy: &RoutePolicy, time_left: Duration, affinity_key: u64,
        commands: Rc<CommandQueue>,
    ) -> Option<RequestId> {
        let (id, class) = {
            let State { dispatcher, classes, requests, .. } = &mut *self.state.borrow_mut();
            let class = classes.id_of(policy.class(), dispatcher)?;
            (requests.insert(commands), class)
        };
        self.handle(Event::Request {
            id,
            class,
            tenant: TenantId(0),
            time_left,
            repeat: false,
            slots: 1.0,
            memory: 0.0,
            work: None,
            key: affinity_key,
        });
        Some(id)
    }

    /// Removes a request that has ended.
    pub(super) fn end_request(&self, id: RequestId) {
        let requests = &mut self.state.borrow_mut().requests;
        requests.remove(id);
        if requests.is_empty() {
            // All timers are those of requests.
            self.timers.clear();
        }
    }

    /// Hands an event to the dispatcher and executes the actions that it orders.
    pub(super) fn handle(self: &Rc<Self>, event: Event) {
        let now = self.now();
        let mut actions = {
            let state = &mut *self.state.borrow_mut();
            let mut actions = std::mem::take(&mut state.actions);
            state.dispatcher.handle(now, event, &mut actions);
            actions
        };
        for action in actions.drain(..) {
            self.execute(action);
        }
        self.state.borrow_mut().actions = actions;
    }

    fn execute(self: &Rc<Self>, action: Action) {
        match action {
            Action::Send { id, worker, .. } => self.command(id, Command::Send(worker)),
            Action::Refuse { id, retry_after } => self.command(id, Command::GiveUp { retry_after }),
            Action::Fail { id } => self.command(id, Command::GiveUp { retry_after: None }),
            Action::Probe { worker } => {
                tokio::task::spawn_local(probe(self.clone(), worker));
            }
            Action::SetTimer { at, token } => self.timers.set(at, token),
            // Attempts end by themselves, the client closes its idle connections, and the feed
            // brings the membership without being asked.
            Action::Cancel { .. } | Action::CloseIdle { .. } | Action::Watch | Action::Fetch => {}
        }
    }

    fn command(&self, id: RequestId, command: Command) {
        self.state.borrow().requests.push_command(id, command);
    }

    /// The load report of a worker that reported its load.
    pub(super) fn load_report(&self, worker: WorkerId, load: &Load) -> Report {
        load_report::from_load(load, || self.state.borrow().workers.slots(worker))
    }

    /// The load report of a worker that reports no load.
    fn in_flight_report(&self, worker: WorkerId) -> Report {
        let workers = &self.state.borrow().workers;
        load_report::from_in_flight(workers.slots(worker), workers.in_flight(worker))
    }

    /// Counts an attempt that begins at a worker.
    pub(super) fn attempt_begun(&self, worker: WorkerId) {
        self.state.borrow_mut().workers.attempt_begun(worker);
    }

    /// Counts an attempt that ended at a worker.
    pub(super) fn attempt_ended(&self, worker: WorkerId) {
        self.state.borrow_mut().workers.attempt_ended(worker);
    }
}

/// Probes a worker for its load and hands the result to the dispatcher.
async fn probe(backend: Rc<Backend>, worker: WorkerId) {
    let sent = Instant::now();
    let result = match backend.ready(worker) {
        Some(target) => {
            backend.client.request_load_report(&target, PROBE_TIMEOUT).await.map_err(failed_status)
        }
        None => Err(Status::ConnectFailed),
    };
    let (status, report) = match result {
        Ok(Some(load)) => (Status::Ok, backend.load_report(worker, &load)),
        Ok(None) => (Status::Ok, backend.in_flight_report(worker)),
        Err(status) => (status, Report::new()),
    };
    backend.handle(Event::Probed { worker, status, latency: sent.elapsed(), report });
}

/// A failed call in the dispatcher's terms.
pub(super) fn failed_status(error: ClientError) -> Status {
    match error {
        ClientError::NotSent => Status::ConnectFailed,
        ClientError::MayHaveRun => Status::Reset,
        ClientError::TimedOut => Status::Timeout,
    }
}

/// Hands timers that are due to the dispatcher, and sleeps until the next one.
async fn run_timers(backend: Rc<Backend>) {
    loop {
        let changed = backend.timers.changed();
        match backend.timers.next_due() {
            None => changed.await,
            Some(at) => tokio::select! {
                () = tokio::time::sleep_until(backend.started + Duration::from_nanos(at.0)) => {}
                () = changed => {}
            },
        }
        while let Some(token) = backend.timers.take_due(backend.now()) {
            backend.handle(Event::TimerDue { token });
        }
    }
}
