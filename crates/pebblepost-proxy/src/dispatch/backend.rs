//! One backend: passes events to its dispatcher and executes the actions that it returns.
//!
//! A backend owns the dispatcher, the worker table, the request table and the timers. It sends load
//! probes itself. Client requests are sent by their own tasks, for which it queues commands.

use super::command_queue::{Command, CommandQueue};
use super::dispatcher_settings::{WARM_UP_TIME, dispatcher_settings};
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

/// A probe fails if no response arrives within this time.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// Parameters with which a backend is started.
#[derive(Clone, Copy, Debug)]
pub(super) struct BackendParameters<'a> {
    /// Name of the backend in the configuration.
    pub(super) name: &'a str,
    /// Policy of one of the routes to the backend; its class is registered first.
    pub(super) first_route: &'a RoutePolicy,
    /// Zone of this machine.
    pub(super) zone: &'a str,
    /// Number of proxies that share the backend.
    pub(super) proxy_count: u32,
    /// Seed of the dispatcher's random number generator.
    pub(super) seed: u64,
}

/// A backend and its dispatcher.
#[derive(Debug)]
pub(super) struct Backend {
    name: String,
    client: Client,
    started: Instant,
    state: RefCell<BackendState>,
    timers: Timers,
}

#[derive(Debug)]
struct BackendState {
    dispatcher: Dispatcher,
    classes: ClassTable,
    workers: WorkerTable,
    requests: RequestTable,
    /// Buffer for the actions of one event. It is reused to avoid an allocation per event.
    actions: Vec<Action>,
}

impl Backend {
    /// Creates a backend without workers and spawns its timer task on the caller's `LocalSet`.
    pub(super) fn start(parameters: BackendParameters<'_>, client: Client) -> Rc<Backend> {
        let BackendParameters { name, first_route, zone, proxy_count, seed } = parameters;
        let class = first_route.class();
        let state = BackendState {
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

    /// Applies the state of one of the backend's instances.
    pub(super) fn update_instance(self: &Rc<Self>, instance: &Instance) {
        let now = self.now();
        let change = self.state.borrow_mut().workers.update(instance, now, WARM_UP_TIME);
        let Some(change) = change else { return };
        debug!(
            "transcriber updated backend={} transcriber={} state={:?}",
            self.name, instance.id, change.entry.state
        );
        self.handle(Event::Members { kind: ListKind::Delta, entries: vec![change.entry] });
        if let Some(slots) = change.initial_slots {
            self.report_slots(change.entry.worker, slots);
        }
    }

    /// Reports all slots of a new worker as free, so that the dispatcher knows their number.
    fn report_slots(self: &Rc<Self>, worker: WorkerId, slots: u32) {
        self.handle(Event::Outcome {
            id: NO_REQUEST,
            attempt: AttemptNo(0),
            worker,
            status: Status::Moot,
            latency: Duration::ZERO,
            closed: true,
            report: load_report::idle(slots),
        });
    }

    /// Sets the number of proxies that share the backend.
    pub(super) fn set_proxy_count(&self, proxy_count: u32) {
        self.state.borrow_mut().dispatcher.set_nodes(proxy_count);
    }

    /// Returns whether any worker accepts requests.
    pub(super) fn has_ready_worker(&self) -> bool {
        self.state.borrow().workers.ready_workers().next().is_some()
    }

    /// Returns whether a worker accepts requests to which none of `attempts` was sent.
    pub(super) fn has_untried_worker(&self, attempts: &Attempts) -> bool {
        self.state.borrow().workers.ready_workers().any(|worker| !attempts.contains(worker))
    }

    /// Returns the target of a worker if the worker accepts requests.
    pub(super) fn ready_target(&self, worker: WorkerId) -> Option<Target> {
        self.state.borrow().workers.ready_target(worker).cloned()
    }

    /// Returns the client that sends requests to the workers.
    pub(super) fn client(&self) -> &Client {
        &self.client
    }

    /// Passes a request to the dispatcher, whose commands for it are pushed to `commands`. Returns
    /// `None` if the dispatcher accepts no further request class.
    ///
    /// The caller must call [`Backend::end_request`] when the request has ended.
    pub(super) fn begin_request(
        self: &Rc<Self>, policy: &RoutePolicy, time_left: Duration, affinity_key: u64,
        commands: Rc<CommandQueue>,
    ) -> Option<RequestId> {
        let (id, class) = {
            let BackendState { dispatcher, classes, requests, .. } = &mut *self.state.borrow_mut();
            let class = classes.find_or_add(policy.class(), dispatcher)?;
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
            // The dispatcher sets timers only for requests.
            self.timers.clear();
        }
    }

    /// Passes an event to the dispatcher and executes the actions that it returns.
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
            Action::Send { id, worker, .. } => self.queue_command(id, Command::Send(worker)),
            Action::Refuse { id, retry_after } => self.queue_command(id, Command::GiveUp { retry_after }),
            Action::Fail { id } => self.queue_command(id, Command::GiveUp { retry_after: None }),
            Action::Probe { worker } => {
                tokio::task::spawn_local(probe(self.clone(), worker));
            }
            Action::SetTimer { at, token } => self.timers.set(at, token),
            // Nothing to do: attempts end by themselves, the client closes its idle connections, and
            // the feed delivers the membership without a request.
            Action::Cancel { .. } | Action::CloseIdle { .. } | Action::Watch | Action::Fetch => {}
        }
    }

    fn queue_command(&self, id: RequestId, command: Command) {
        self.state.borrow().requests.push_command(id, command);
    }

    /// Converts the load that a worker reported to a report for the dispatcher.
    pub(super) fn load_report(&self, worker: WorkerId, load: &Load) -> Report {
        load_report::from_load(load, || self.state.borrow().workers.slots(worker))
    }

    /// Estimates the load report of a worker that reports no load.
    fn in_flight_report(&self, worker: WorkerId) -> Report {
        let workers = &self.state.borrow().workers;
        load_report::from_in_flight(workers.slots(worker), workers.in_flight(worker))
    }

    /// Counts an attempt that starts at a worker.
    pub(super) fn record_attempt_start(&self, worker: WorkerId) {
        self.state.borrow_mut().workers.record_attempt_start(worker);
    }

    /// Counts an attempt that ended at a worker.
    pub(super) fn record_attempt_end(&self, worker: WorkerId) {
        self.state.borrow_mut().workers.record_attempt_end(worker);
    }
}

/// Probes a worker for its load and passes the result to the dispatcher.
async fn probe(backend: Rc<Backend>, worker: WorkerId) {
    let sent = Instant::now();
    let result = match backend.ready_target(worker) {
        Some(target) => {
            backend.client.request_load_report(&target, PROBE_TIMEOUT).await.map_err(status_of_error)
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

/// Converts the error of a call to the dispatcher's status.
pub(super) fn status_of_error(error: ClientError) -> Status {
    match error {
        ClientError::NotSent => Status::ConnectFailed,
        ClientError::MayHaveRun => Status::Reset,
        ClientError::TimedOut => Status::Timeout,
    }
}

/// Passes timers that are due to the dispatcher and sleeps until the next one.
async fn run_timers(backend: Rc<Backend>) {
    loop {
        let changed = backend.timers.wait_for_change();
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
