//! Test harness of one node: a [`Dispatcher`] with a manual clock, its timers and the actions that it returned.

use pebblepost_dispatch::Dispatcher;
use pebblepost_dispatch::api::*;
use std::collections::BTreeMap;
use std::time::Duration;

pub const START: Time = Time(1_000_000_000_000);
/// Indices of the classes in [`settings`], by their idempotency.
pub const IDEMPOTENT: usize = 0;
pub const DEDUPLICATED: usize = 1;
pub const NON_IDEMPOTENT: usize = 2;

/// Settings of a node in zone 0 with one class for each kind of idempotency.
pub fn settings() -> Settings {
    let class = |idempotency| Class {
        latency_target: Duration::from_millis(250),
        deadline: Duration::from_secs(5),
        idempotency,
        value: 1.0,
        late_value: 0.0,
        latency_stretch: 1.25,
        kind: None,
        only_kinds: None,
        only_zones: None,
        priority: 0,
        streamed: false,
    };
    Settings {
        nodes: 4,
        zone: ZoneId(0),
        classes: vec![
            class(Idempotency::Idempotent),
            class(Idempotency::Deduplicated {
                scope: DeduplicationScope::Zone,
                window: Duration::from_secs(7),
            }),
            class(Idempotency::NonIdempotent),
        ],
        tenants: vec![],
        over_quota_value: 1.0,
        discovery: Discovery::Push,
        probing_enabled: true,
        cancelling_enabled: true,
        hedging_enabled: false,
        retry_after_enabled: true,
        max_retry_after: Duration::from_secs(2),
        max_attempts: 3,
        keepalive: Duration::from_secs(10),
        report_fields: vec![ReportField::FreeSlots, ReportField::Queue],
        report_source: ReportSource::Probe,
        progress: Some(Duration::from_secs(1)),
        start_reported: false,
        drain_grace: Duration::from_millis(500),
        close_idle_within: None,
        full_may_have_run: false,
        answer_slack: Duration::from_millis(8),
        max_discovery_interval: Duration::from_secs(10),
        cold_capacity: 0.3,
        warm_up_time: Duration::from_secs(20),
        overload_multiple: 2.5,
        overload_time: Duration::from_secs(2),
        prices: Prices::default(),
        tick: Duration::from_millis(2),
        queues_in_order: true,
        reservations: Default::default(),
    }
}

pub struct Node {
    pub dispatcher: Dispatcher,
    pub now: Time,
    /// Actions since the last call that cleared them.
    pub actions: Vec<Action>,
    /// Number of attempts of each request.
    pub attempts: BTreeMap<u32, u8>,
    /// Free slots in the last report of each worker.
    pub last_free: BTreeMap<u32, f32>,
    pub last_final_answer_at: Time,
    timers: Vec<(Time, TimerToken)>,
}

impl Node {
    /// Creates a node with `workers` ready workers. Those with an even number are in the node's zone, the others in
    /// zone 1.
    pub fn new(settings: Settings, workers: u32) -> Self {
        Self::seeded(settings, workers, 7)
    }

    pub fn seeded(settings: Settings, workers: u32, seed: u64) -> Self {
        let mut node = Self {
            dispatcher: Dispatcher::new(settings, seed, START),
            now: START,
            actions: vec![],
            attempts: BTreeMap::new(),
            last_free: BTreeMap::new(),
            last_final_answer_at: Time(0),
            timers: vec![],
        };
        let all: Vec<_> = (0..workers).map(|worker| (worker, WorkerState::Ready, None)).collect();
        node.apply_member_list(ListKind::Cached, &all);
        node
    }

    pub fn handle(&mut self, event: Event) {
        let mut new_actions = vec![];
        self.dispatcher.handle(self.now, event, &mut new_actions);
        for action in &new_actions {
            match action {
                Action::SetTimer { at, token } => self.timers.push((*at, *token)),
                Action::Send { id, .. } => *self.attempts.entry(id.0).or_default() += 1,
                Action::Refuse { .. } | Action::Fail { .. } => self.last_final_answer_at = self.now,
                _ => {}
            }
        }
        self.actions.extend(new_actions);
    }

    pub fn apply_member_list(&mut self, kind: ListKind, workers: &[(u32, WorkerState, Option<Time>)]) {
        let entry = |&(worker, state, started): &(u32, WorkerState, Option<Time>)| Entry {
            worker: WorkerId(worker),
            zone: ZoneId((worker % 2) as u16),
            kind: KindId(0),
            cell: CellId((worker % 4) as u16),
            state,
            name: worker.into(),
            started,
        };
        self.handle(Event::Members { kind, entries: workers.iter().map(entry).collect() });
    }

    pub fn request(&mut self, id: u32, class: usize) {
        self.request_with_key(id, class, 0);
    }

    pub fn request_with_key(&mut self, id: u32, class: usize, key: u64) {
        self.request_with_tenant(id, class, key, 0);
    }

    pub fn request_with_tenant(&mut self, id: u32, class: usize, key: u64, tenant: u16) {
        self.handle(Event::Request {
            id: RequestId(id),
            class: ClassId(class as u16),
            tenant: TenantId(tenant),
            time_left: Duration::from_secs(5),
            repeat: false,
            slots: 1.0,
            memory: 1.0,
            work: None,
            key,
        });
    }

    /// Clears the actions, then sends an idempotent request whose hinted work is `ms` milliseconds.
    pub fn request_with_hint(&mut self, id: u32, ms: u64, slots: f32) {
        self.actions.clear();
        self.handle(Event::Request {
            id: RequestId(id),
            class: ClassId(IDEMPOTENT as u16),
            tenant: TenantId(0),
            time_left: Duration::from_secs(5),
            repeat: false,
            slots,
            memory: 0.0,
            work: Some(Duration::from_millis(ms)),
            key: 0,
        });
    }

    pub fn report(&mut self, worker: u32, free: f32, queue: f32) {
        self.last_free.insert(worker, free);
        self.handle(Event::Probed {
            worker: WorkerId(worker),
            status: Status::Ok,
            latency: Duration::from_millis(1),
            report: vec![free, queue],
        });
    }

    /// Answers a probe with a report of free slots only.
    pub fn report_free(&mut self, worker: u32, free: f32) {
        let (worker, latency) = (WorkerId(worker), Duration::from_millis(1));
        self.handle(Event::Probed { worker, status: Status::Ok, latency, report: vec![free] });
    }

    pub fn probe_failed(&mut self, worker: u32) {
        self.handle(Event::Probed {
            worker: WorkerId(worker),
            status: Status::Timeout,
            latency: Duration::ZERO,
            report: vec![],
        });
    }

    pub fn outcome(&mut self, id: u32, attempt: u8, worker: u32, status: Status, closed: bool) {
        self.actions.clear();
        self.handle(Event::Outcome {
            id: RequestId(id),
            attempt: AttemptNo(attempt),
            worker: WorkerId(worker),
            status,
            latency: Duration::from_millis(100),
            closed,
            report: vec![],
        });
    }

    /// Makes a request and reports capacity at the first probed worker. Returns that worker, to which the request is
    /// sent.
    pub fn send_to_first_probed(&mut self, id: u32, class: usize) -> u32 {
        self.actions.clear();
        self.request(id, class);
        let worker = self.take_probes()[0];
        self.report(worker, 2.0, 0.0);
        assert_eq!(self.sends(), vec![(id, worker)]);
        self.actions.clear();
        worker
    }

    /// Sends three reports from each of 64 workers, so that the node knows their numbers of slots.
    pub fn report_all_workers(&mut self, free: f32) {
        let workers: Vec<u32> = (0..64).collect();
        for _ in 0..3 {
            for worker in &workers {
                self.report(*worker, free, 0.0);
            }
        }
        self.actions.clear();
    }

    /// Advances the clock without firing timers.
    pub fn advance_clock(&mut self, span: Duration) {
        self.now = self.now + span;
    }

    /// Fires all timers that are due, in order.
    pub fn fire_timers(&mut self) {
        loop {
            self.timers.sort_by_key(|(at, _)| *at);
            match self.timers.first() {
                Some((at, _)) if *at <= self.now => {
                    let (_, token) = self.timers.remove(0);
                    self.handle(Event::TimerDue { token });
                }
                _ => return,
            }
        }
    }

    /// Advances the clock in ticks and fires the timers that become due.
    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.advance_clock(Duration::from_millis(2));
            self.fire_timers();
        }
    }

    /// Advances the clock in ticks until an action matches. Returns its time, or `None` after `limit`.
    pub fn run_until(&mut self, matches: impl Fn(&Action) -> bool, limit: Duration) -> Option<Time> {
        let end = self.now + limit;
        while self.now < end {
            if self.actions.iter().any(&matches) {
                return Some(self.now);
            }
            self.advance_clock(Duration::from_millis(2));
            self.fire_timers();
        }
        None
    }

    /// Removes all probes from the actions and returns their workers.
    pub fn take_probes(&mut self) -> Vec<u32> {
        let probe =
            |action: &Action| if let Action::Probe { worker } = action { Some(worker.0) } else { None };
        let found = self.actions.iter().filter_map(probe).collect();
        self.actions.retain(|action| !matches!(action, Action::Probe { .. }));
        found
    }

    /// Returns the request and the worker of each send.
    pub fn sends(&self) -> Vec<(u32, u32)> {
        let send = |action: &Action| match action {
            Action::Send { id, worker, .. } => Some((id.0, worker.0)),
            _ => None,
        };
        self.actions.iter().filter_map(send).collect()
    }

    /// Returns the requests that were refused (`refuse`) or failed (`fail`).
    pub fn final_answers(&self) -> Vec<(u32, &'static str)> {
        let answer = |action: &Action| match action {
            Action::Refuse { id, .. } => Some((id.0, "refuse")),
            Action::Fail { id } => Some((id.0, "fail")),
            _ => None,
        };
        self.actions.iter().filter_map(answer).collect()
    }
}

/// Counts the actions that close idle connections.
pub fn count_idle_closes(node: &Node) -> usize {
    node.actions.iter().filter(|action| matches!(action, Action::CloseIdle { .. })).count()
}

/// Runs a job hinted at 100 ms at the first probed worker, where it takes `ms(worker)` milliseconds.
pub fn run_hinted_job(node: &mut Node, id: u32, ms: impl Fn(u32) -> u64) {
    node.request_with_hint(id, 100, 1.0);
    let worker = node.take_probes()[0];
    node.report(worker, 2.0, 0.0);
    node.handle(Event::Started { id: RequestId(id), attempt: AttemptNo(0) });
    node.advance_clock(Duration::from_millis(ms(worker)));
    node.outcome(id, 0, worker, Status::Ok, true);
}
