//! Invariants of the actions under random orders of events and varied settings.
//!
//! 1. Each request gets exactly one answer, at the latest `answer_slack` after its deadline. It gets the answer at once
//!    if its last attempt has ended and no further attempt is allowed. Nothing is sent for it after the answer.
//! 2. A job that may have run is sent again only where and when its idempotency allows that. It is refused only if a
//!    retry by the client is harmless. Its attempts overlap only if hedging is enabled.
//! 3. Jobs and probes go only to ready workers. Jobs go only to the zones and kinds that their class permits.
//! 4. A warming worker has at most `max(1, ceil(slots * min(1, 3 * capacity)))` jobs of this dispatcher in flight.
//!    `capacity` is the fraction of its full capacity that it has reached. Jobs sent before its start do not count.
//!
//! The dispatcher must also send at most `max_attempts` attempts of a request, set `retry_after` exactly if that is
//! enabled and, if `close_idle_within` is set, close the idle connections to a draining worker.

use crate::node::{START, settings};
use pebblepost_dispatch::Dispatcher;
use pebblepost_dispatch::api::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

#[derive(Clone, Debug)]
enum Step {
    Request { class: u8, left_ms: u16, repeat: bool },
    AnswerProbe { pick: u16, status: u8, free: u8, queue: u8 },
    AnswerAttempt { pick: u16, status: u8 },
    Progress { pick: u16, done: f32 },
    AdvanceClock { ms: u16 },
    UpdateWorker { worker: u8, state: u8, restarted: bool },
    FailDiscovery,
    ClientGone { pick: u16 },
    UnknownIds { id: u32 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..4u8, 1..6000u16, prop::bool::weighted(0.2))
            .prop_map(|(class, left_ms, repeat)| Step::Request { class, left_ms, repeat }),
        10 => (any::<u16>(), 0..8u8, 0..4u8, 0..4u8)
            .prop_map(|(pick, status, free, queue)| Step::AnswerProbe { pick, status, free, queue }),
        5 => (any::<u16>(), 0..8u8).prop_map(|(pick, status)| Step::AnswerAttempt { pick, status }),
        1 => (any::<u16>(), 0.0..1.0f32).prop_map(|(pick, done)| Step::Progress { pick, done }),
        4 => prop_oneof![0..20u16, 0..600u16].prop_map(|ms| Step::AdvanceClock { ms }),
        2 => (0..4u8, prop_oneof![3 => Just(1u8), 2 => 0..3u8], any::<bool>())
            .prop_map(|(worker, state, restarted)| Step::UpdateWorker { worker, state, restarted }),
        1 => Just(Step::FailDiscovery),
        1 => any::<u16>().prop_map(|pick| Step::ClientGone { pick }),
        1 => any::<u32>().prop_map(|id| Step::UnknownIds { id }),
    ]
}

const STATUSES: [Status; 8] = [
    Status::Error,
    Status::Ok,
    Status::Full,
    Status::Timeout,
    Status::ConnectFailed,
    Status::Reset,
    Status::Cancelled,
    Status::Moot,
];

#[derive(Debug)]
struct PendingRequest {
    class: usize,
    deadline: Time,
    ended: bool,
    /// Worker, time of the send and outcome of each attempt.
    attempts: Vec<(u32, Time, Option<Status>)>,
}

/// Clients, workers and discovery around one dispatcher. Checks the invariants on each of its actions.
struct Harness {
    node: Dispatcher,
    settings: Settings,
    now: Time,
    timers: Vec<(Time, TimerToken)>,
    pending: BTreeMap<u32, PendingRequest>,
    /// State and announced start of each worker.
    workers: HashMap<u32, (WorkerState, Option<Time>)>,
    /// Workers of the unanswered probes.
    probes: Vec<u32>,
    /// Draining workers to which a connection may have become idle.
    unclosed_workers: Vec<u32>,
    next_id: u32,
    actions: Vec<Action>,
}

fn zone(worker: u32) -> u32 {
    worker % 2
}

fn kind(worker: u32) -> u32 {
    worker / 2 % 2
}

fn cell(worker: u32) -> u32 {
    worker % 4
}

impl Harness {
    fn new(settings: Settings, seed: u64) -> Self {
        let node = Dispatcher::new(settings.clone(), seed, START);
        let worker_count = if seed.is_multiple_of(2) { 2 } else { 6 };
        let workers = (0..worker_count).map(|worker| (worker, (WorkerState::Ready, None))).collect();
        let mut harness = Harness {
            node,
            settings,
            now: START,
            timers: vec![],
            pending: BTreeMap::new(),
            workers,
            probes: vec![],
            unclosed_workers: vec![],
            next_id: 0,
            actions: vec![],
        };
        let entries = (0..worker_count).map(|worker| harness.entry(worker)).collect();
        harness.handle(Event::Members { kind: ListKind::Cached, entries });
        harness
    }

    fn entry(&self, worker: u32) -> Entry {
        let (state, started) = self.workers[&worker];
        Entry {
            worker: WorkerId(worker),
            zone: ZoneId(zone(worker) as u16),
            kind: KindId(kind(worker) as u16),
            cell: CellId(cell(worker) as u16),
            state,
            name: 0,
            started,
        }
    }

    /// Passes an event to the dispatcher and checks its actions.
    fn handle(&mut self, event: Event) {
        let mut actions = vec![];
        self.node.handle(self.now, event.clone(), &mut actions);
        let touched = match event {
            Event::Outcome { worker, .. } | Event::Probed { worker, .. } => vec![worker.0],
            Event::Members { entries, .. } => entries.iter().map(|entry| entry.worker.0).collect(),
            _ => vec![],
        };
        let draining = |worker: &u32| self.workers[worker].0 == WorkerState::Draining;
        self.unclosed_workers = touched.into_iter().filter(draining).collect();
        for action in &actions {
            self.check_action(action);
        }
        let must_close = self.settings.close_idle_within.is_some();
        assert!(
            !must_close || self.unclosed_workers.is_empty(),
            "idle connections to the draining workers {:?} were not closed",
            self.unclosed_workers
        );
        self.actions.extend(actions);
    }

    fn check_action(&mut self, action: &Action) {
        match *action {
            Action::Send { id, worker, .. } => self.check_send(id.0, worker.0),
            Action::Refuse { id, retry_after } => {
                assert_eq!(
                    retry_after.is_some(),
                    self.settings.retry_after_enabled,
                    "retry_after is set exactly if enabled"
                );
                let idempotency = self.settings.classes[self.pending[&id.0].class].idempotency;
                let request = self.pending.get_mut(&id.0).expect("a refused request is known");
                let never_ran =
                    |outcome: &Option<Status>| outcome.is_some_and(|status| self.settings.never_ran(status));
                let is_harmless = match idempotency {
                    Idempotency::Idempotent
                    | Idempotency::Deduplicated { scope: DeduplicationScope::All, .. } => true,
                    _ => request.attempts.iter().all(|(.., outcome)| never_ran(outcome)),
                };
                assert!(
                    is_harmless,
                    "invariant 2: refused {id:?}, which may have run: {:?}",
                    request.attempts
                );
                assert!(!request.ended, "invariant 1: two answers for {id:?}");
                request.ended = true;
            }
            Action::Fail { id } => {
                let request = self.pending.get_mut(&id.0).expect("a failed request is known");
                assert!(!request.ended, "invariant 1: two answers for {id:?}");
                request.ended = true;
            }
            Action::Cancel { id, attempt } => {
                assert!(usize::from(attempt.0) < self.pending[&id.0].attempts.len());
            }
            Action::SetTimer { at, token } => self.timers.push((at, token)),
            Action::Probe { worker } => {
                assert_eq!(
                    self.workers[&worker.0].0,
                    WorkerState::Ready,
                    "invariant 3: probe of worker {}, which is not ready",
                    worker.0
                );
                self.probes.push(worker.0);
            }
            Action::CloseIdle { worker } => self.unclosed_workers.retain(|closing| *closing != worker.0),
            Action::Watch | Action::Fetch => {}
        }
    }

    /// Checks that a request that allows no further attempt has been answered at once.
    fn check_answered_at_once(&self, id: u32) {
        let request = &self.pending[&id];
        let open = request.attempts.iter().any(|(.., outcome)| outcome.is_none());
        let ran = |(.., outcome): &&(u32, Time, Option<Status>)| {
            outcome.is_some_and(|status| !self.settings.never_ran(status))
        };
        let is_retry_forbidden =
            match (self.settings.classes[request.class].idempotency, request.attempts.iter().find(ran)) {
                (Idempotency::Idempotent, _) | (_, None) => false,
                (Idempotency::NonIdempotent, Some(_)) => true,
                (Idempotency::Deduplicated { window, .. }, Some((_, at, _))) => self.now >= *at + window,
            };
        let attempts_exhausted = request.attempts.len() as u32 >= self.settings.max_attempts;
        assert!(
            request.ended || open || !(is_retry_forbidden || attempts_exhausted),
            "invariant 1: request {id} not answered after its last attempt {:?}",
            request.attempts
        );
    }

    fn check_send(&mut self, id: u32, worker: u32) {
        let now = self.now;
        let (state, _) = self.workers[&worker];
        assert_eq!(state, WorkerState::Ready, "invariant 3: sent to worker {worker}, which is not ready");
        let class = &self.settings.classes[self.pending[&id].class];
        let permitted = |zones: &Vec<ZoneId>| zones.contains(&ZoneId(zone(worker) as u16));
        assert!(
            class.only_zones.as_ref().is_none_or(permitted),
            "invariant 3: zone of worker {worker} is not permitted"
        );
        let permitted = |kinds: &Vec<KindId>| kinds.contains(&KindId(kind(worker) as u16));
        assert!(
            class.only_kinds.as_ref().is_none_or(permitted),
            "invariant 3: kind of worker {worker} is not permitted"
        );
        let request = self.pending.get_mut(&id).expect("a sent request is known");
        assert!(!request.ended, "invariant 1: request {id} sent after its answer");
        let open = request.attempts.iter().any(|(.., outcome)| outcome.is_none());
        assert!(
            self.settings.hedging_enabled || !open,
            "invariant 2: request {id} has overlapping attempts without hedging"
        );
        assert!((request.attempts.len() as u32) < self.settings.max_attempts);
        let settings = &self.settings;
        let may_have_run = |(.., outcome): &&(u32, Time, Option<Status>)| {
            outcome.is_none_or(|status| !settings.never_ran(status))
        };
        if let Some((first, at, _)) = request.attempts.iter().find(may_have_run) {
            match self.settings.classes[request.class].idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => {
                    panic!("invariant 2: non-idempotent request {id} sent again after it may have run")
                }
                Idempotency::Deduplicated { scope, window } => {
                    assert!(now < *at + window, "invariant 2: retry after the deduplication window");
                    match scope {
                        DeduplicationScope::All => {}
                        DeduplicationScope::Zone => {
                            assert_eq!(zone(*first), zone(worker), "invariant 2: retry outside the zone")
                        }
                        DeduplicationScope::Cell => {
                            assert_eq!(cell(*first), cell(worker), "invariant 2: retry outside the cell")
                        }
                    }
                }
            }
        }
        request.attempts.push((worker, now, None));
        // Checks invariant 4. Workers report at most three slots in this test.
        let (_, started) = self.workers[&worker];
        if started.is_some_and(|start| now < start + self.settings.warm_up_time) {
            let jobs_in_flight = |request: &PendingRequest| {
                let recent = |(at_worker, at, outcome): &&(u32, Time, Option<Status>)| {
                    *at_worker == worker && outcome.is_none() && started.is_some_and(|start| *at >= start)
                };
                request.attempts.iter().filter(recent).count()
            };
            let in_flight: usize = self.pending.values().map(jobs_in_flight).sum();
            let age = started.map_or(0.0, |start| now.since(start).as_secs_f64());
            let cold_capacity = self.settings.cold_capacity;
            let capacity =
                cold_capacity + (1.0 - cold_capacity) * age / self.settings.warm_up_time.as_secs_f64();
            let max_in_flight = (3.0 * (3.0 * capacity).min(1.0)).ceil().max(1.0);
            assert!(
                in_flight as f64 <= max_in_flight,
                "invariant 4: {in_flight} jobs in flight at a worker of three slots with {capacity} of its capacity, \
                 limit {max_in_flight}"
            );
        }
    }

    /// Fires all timers that are due, in order.
    fn fire_timers(&mut self) {
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

    /// Advances the clock in ticks, fires timers and checks that no answer is overdue.
    fn advance_clock(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        while self.now < end {
            self.now = self.now + self.settings.tick;
            self.fire_timers();
            let is_overdue = |request: &PendingRequest| {
                !request.ended && self.now > request.deadline + self.settings.answer_slack
            };
            let overdue = self.pending.iter().find(|(_, request)| is_overdue(request));
            assert!(
                overdue.is_none(),
                "invariant 1: no answer within answer_slack after the deadline: {overdue:?}"
            );
        }
    }

    /// Returns the request and the number of each attempt without an outcome.
    fn open_attempts(&self) -> Vec<(u32, usize)> {
        let open = |(id, request): (&u32, &PendingRequest)| {
            let id = *id;
            let numbered = request.attempts.iter().enumerate();
            numbered
                .filter(|(_, (.., outcome))| outcome.is_none())
                .map(move |(no, _)| (id, no))
                .collect::<Vec<_>>()
        };
        self.pending.iter().flat_map(open).collect()
    }

    fn request(&mut self, class: usize, left_ms: u16, repeat: bool) {
        let (id, class) = (self.next_id, class % self.settings.classes.len());
        self.next_id += 1;
        let time_left = Duration::from_millis(left_ms.into());
        let deadline = self.now + time_left;
        self.pending.insert(id, PendingRequest { class, deadline, ended: false, attempts: vec![] });
        self.handle(Event::Request {
            id: RequestId(id),
            class: ClassId(class as u16),
            tenant: TenantId(0),
            time_left,
            repeat,
            slots: 1.0,
            memory: 0.0,
            work: None,
            key: 0,
        });
    }

    fn answer_probe(&mut self, pick: usize, status: Status, report: Report) {
        if self.probes.is_empty() {
            return;
        }
        let worker = self.probes.remove(pick % self.probes.len());
        let report = if status == Status::Ok { report } else { Report::new() };
        let latency = Duration::from_millis(1);
        self.handle(Event::Probed { worker: WorkerId(worker), status, latency, report });
    }

    fn answer_attempt(&mut self, pick: usize, status: Status) {
        let open = self.open_attempts();
        if open.is_empty() {
            return;
        }
        let (id, no) = open[pick % open.len()];
        let request = self.pending.get_mut(&id).expect("a pending request");
        let (worker, sent, outcome) = &mut request.attempts[no];
        *outcome = Some(status);
        let (worker, latency) = (WorkerId(*worker), self.now.since(*sent));
        request.ended |= status == Status::Ok;
        let closed = request.ended;
        let attempt = AttemptNo(no as u8);
        let id = RequestId(id);
        let report = Report::new();
        self.handle(Event::Outcome { id, attempt, worker, status, latency, closed, report });
        self.check_answered_at_once(id.0);
    }

    fn run_step(&mut self, step: &Step) {
        match *step {
            Step::Request { class, left_ms, repeat } => self.request(class.into(), left_ms, repeat),
            Step::AnswerProbe { pick, status, free, queue } => {
                // Three quarters of the probes succeed.
                let status = if pick % 4 == 0 { STATUSES[usize::from(status)] } else { Status::Ok };
                self.answer_probe(pick.into(), status, vec![free.into(), queue.into()]);
            }
            Step::AnswerAttempt { pick, status } => {
                self.answer_attempt(pick.into(), STATUSES[usize::from(status)]);
            }
            Step::Progress { pick, done } => {
                let open = self.open_attempts();
                if let Some(&(id, no)) = open.get(usize::from(pick) % open.len().max(1)) {
                    let (id, attempt) = (RequestId(id), AttemptNo(no as u8));
                    self.handle(Event::Started { id, attempt });
                    self.handle(Event::Progress { id, attempt, done });
                }
            }
            Step::AdvanceClock { ms } => self.advance_clock(ms.into()),
            Step::UpdateWorker { worker, state, restarted } => {
                let state =
                    [WorkerState::Gone, WorkerState::Ready, WorkerState::Draining][usize::from(state)];
                let worker = u32::from(worker);
                let last_start = self.workers.get(&worker).and_then(|(_, started)| *started);
                self.workers.insert(worker, (state, if restarted { Some(self.now) } else { last_start }));
                let entries = vec![self.entry(worker)];
                self.handle(Event::Members { kind: ListKind::Delta, entries });
            }
            Step::FailDiscovery => self.handle(Event::Members { kind: ListKind::Failed, entries: vec![] }),
            Step::ClientGone { pick } => {
                let ids: Vec<u32> =
                    self.pending.iter().filter(|(_, request)| !request.ended).map(|(id, _)| *id).collect();
                if let Some(id) = ids.get(usize::from(pick) % ids.len().max(1)) {
                    self.pending.get_mut(id).expect("a pending request").ended = true;
                    self.handle(Event::ClientGone { id: RequestId(*id) });
                }
            }
            Step::UnknownIds { id } => {
                // Requests have low numbers, so none has this bit.
                let id = id | 1 << 31;
                self.handle(Event::ClientGone { id: RequestId(id) });
                self.handle(Event::TimerDue { token: TimerToken(u64::from(id) << 24 | 3) });
                self.handle(Event::Started { id: RequestId(id), attempt: AttemptNo(200) });
            }
        }
    }
}

fn varied_settings() -> impl Strategy<Value = Settings> {
    let scope = prop_oneof![
        Just(DeduplicationScope::All),
        Just(DeduplicationScope::Zone),
        Just(DeduplicationScope::Cell)
    ];
    (any::<[bool; 12]>(), scope, 1..6u32, 50..1500u64).prop_map(|(flags, scope, max_attempts, window)| {
        let mut settings = settings();
        settings.hedging_enabled = flags[0];
        settings.start_reported = flags[1];
        settings.progress = flags[2].then_some(Duration::from_millis(300));
        settings.discovery = if flags[3] { Discovery::Poll } else { Discovery::Push };
        settings.prices.handshake = f64::from(u8::from(flags[4])) * 0.1;
        settings.prices.cross_zone = f64::from(u8::from(flags[5])) * 0.1;
        settings.max_attempts = max_attempts;
        // Long latency targets leave time for several rounds of probes.
        for class in settings.classes.iter_mut().filter(|_| flags[6]) {
            class.latency_target = Duration::from_secs(2);
        }
        settings.classes[1].idempotency =
            Idempotency::Deduplicated { scope, window: Duration::from_millis(window) };
        settings.classes[0].late_value = 0.5;
        settings.full_may_have_run = flags[9];
        settings.retry_after_enabled = flags[11];
        settings.close_idle_within = flags[10].then_some(Duration::from_secs(1));
        settings.classes[0].only_zones = flags[7].then(|| vec![ZoneId(1)]);
        settings.classes[1].only_kinds = flags[8].then(|| vec![KindId(0), KindId(7)]);
        settings
    })
}

/// Runs the steps, then lets all deadlines pass. Returns all actions.
fn run_steps(settings: Settings, seed: u64, steps: &[Step]) -> Vec<Action> {
    let mut harness = Harness::new(settings, seed);
    for step in steps {
        harness.run_step(step);
    }
    harness.advance_clock(7000); // Longer than every deadline, so that every request is answered.
    harness.actions
}

fn runner(cases: u32) -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    TestRunner::new_with_rng(Config { cases, failure_persistence: None, ..Config::default() }, rng)
}

#[test]
fn holds_the_invariants_under_random_event_orders() {
    let orders = (varied_settings(), any::<u64>(), prop::collection::vec(step(), 1..200));
    let kept = runner(300).run(&orders, |(settings, seed, steps)| {
        run_steps(settings, seed, &steps);
        Ok(())
    });
    kept.unwrap_or_else(|broken| panic!("{broken}"));
    // Guards against an idle run: these steps send jobs and retry them.
    let steps: Vec<Step> = (0..300)
        .flat_map(|i| {
            [
                Step::Request { class: 0, left_ms: 5000, repeat: false },
                Step::AnswerProbe { pick: 1, status: 1, free: 3, queue: 0 },
                Step::AnswerAttempt { pick: i, status: 2 },
                Step::AnswerProbe { pick: 1, status: 1, free: 3, queue: 0 },
            ]
        })
        .collect();
    let sends = run_steps(settings(), 1, &steps)
        .iter()
        .filter(|action| matches!(action, Action::Send { .. }))
        .count();
    assert!(sends > 100, "{sends} sends, expected more than 100");
}

#[test]
fn returns_identical_actions_for_identical_events() {
    let orders = (varied_settings(), any::<u64>(), prop::collection::vec(step(), 1..120));
    let same = runner(60).run(&orders, |(settings, seed, steps)| {
        prop_assert_eq!(run_steps(settings.clone(), seed, &steps), run_steps(settings, seed, &steps));
        Ok(())
    });
    same.unwrap_or_else(|broken| panic!("{broken}"));
}

/// Attempts fail at any time around the end of the deduplication window. Retries follow only within it.
#[test]
fn retries_deduplicated_jobs_only_in_their_window() {
    let mut settings = settings();
    settings.classes[1].latency_target = Duration::from_secs(2);
    settings.classes[1].idempotency =
        Idempotency::Deduplicated { scope: DeduplicationScope::All, window: Duration::from_millis(300) };
    let orders = (any::<u64>(), prop::collection::vec((0..600u16, any::<u16>()), 1..30));
    let mut retries = 0;
    let kept = runner(60).run(&orders, |(seed, times)| {
        let step = |&(ms, pick): &(u16, u16)| {
            let probe = Step::AnswerProbe { pick: pick | 1, status: 1, free: 3, queue: 0 };
            let request = Step::Request { class: 1, left_ms: 5000, repeat: false };
            let error = Step::AnswerAttempt { pick, status: 0 };
            vec![request, probe.clone(), Step::AdvanceClock { ms }, error, probe.clone(), probe]
        };
        run_steps(settings.clone(), seed, &times.iter().flat_map(step).collect::<Vec<_>>());
        Ok(())
    });
    kept.unwrap_or_else(|broken| panic!("{broken}"));
    let order = [(50, 1), (20, 3), (10, 5)];
    for seed in 0..20 {
        let steps = order.iter().flat_map(|&(ms, pick)| {
            let probe = Step::AnswerProbe { pick, status: 1, free: 3, queue: 0 };
            let request = Step::Request { class: 1, left_ms: 5000, repeat: false };
            [
                request,
                probe.clone(),
                Step::AdvanceClock { ms },
                Step::AnswerAttempt { pick, status: 0 },
                probe,
            ]
        });
        let actions = run_steps(settings.clone(), seed, &steps.collect::<Vec<_>>());
        retries +=
            actions.iter().filter(|action| matches!(action, Action::Send { .. })).count().saturating_sub(3);
    }
    assert!(retries > 0, "no job was retried within its window");
}
