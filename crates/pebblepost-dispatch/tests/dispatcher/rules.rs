//! Random event orders under varied settings: rules 1 to 3 and the cold part of rule 4, judged
//! from the actions alone.

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
    Note { pick: u16, done: f32 },
    Pass { ms: u16 },
    List { worker: u8, state: u8, fresh: bool },
    FailedCall,
    Leave { pick: u16 },
    Nonsense { id: u32 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..4u8, 1..6000u16, prop::bool::weighted(0.2))
            .prop_map(|(class, left_ms, repeat)| Step::Request { class, left_ms, repeat }),
        10 => (any::<u16>(), 0..8u8, 0..4u8, 0..4u8)
            .prop_map(|(pick, status, free, queue)| Step::AnswerProbe { pick, status, free, queue }),
        5 => (any::<u16>(), 0..8u8).prop_map(|(pick, status)| Step::AnswerAttempt { pick, status }),
        1 => (any::<u16>(), 0.0..1.0f32).prop_map(|(pick, done)| Step::Note { pick, done }),
        4 => prop_oneof![0..20u16, 0..600u16].prop_map(|ms| Step::Pass { ms }),
        2 => (0..4u8, prop_oneof![3 => Just(1u8), 2 => 0..3u8], any::<bool>())
            .prop_map(|(worker, state, fresh)| Step::List { worker, state, fresh }),
        1 => Just(Step::FailedCall),
        1 => any::<u16>().prop_map(|pick| Step::Leave { pick }),
        1 => any::<u32>().prop_map(|id| Step::Nonsense { id }),
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
    /// Attempts: worker, sent, outcome.
    attempts: Vec<(u32, Time, Option<Status>)>,
}

/// The world as the bench would judge it.
struct World {
    node: Dispatcher,
    settings: Settings,
    now: Time,
    timers: Vec<(Time, TimerToken)>,
    pending: BTreeMap<u32, PendingRequest>,
    states: HashMap<u32, (WorkerState, Option<Time>)>,
    probes: Vec<u32>,
    /// Draining workers to which connections may have become idle.
    to_close: Vec<u32>,
    next_id: u32,
    log: Vec<Action>,
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

impl World {
    fn new(settings: Settings, seed: u64) -> Self {
        let node = Dispatcher::new(settings.clone(), seed, START);
        let workers = if seed.is_multiple_of(2) { 2 } else { 6 };
        let states = (0..workers).map(|worker| (worker, (WorkerState::Ready, None))).collect();
        let mut world = World {
            node,
            settings,
            now: START,
            timers: vec![],
            pending: BTreeMap::new(),
            states,
            probes: vec![],
            to_close: vec![],
            next_id: 0,
            log: vec![],
        };
        let entries = (0..workers).map(|worker| world.entry(worker)).collect();
        world.event(Event::Members { kind: ListKind::Cached, entries });
        world
    }

    fn entry(&self, worker: u32) -> Entry {
        let (state, started) = self.states[&worker];
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

    fn event(&mut self, event: Event) {
        let mut out = vec![];
        self.node.handle(self.now, event.clone(), &mut out);
        let touched = match event {
            Event::Outcome { worker, .. } | Event::Probed { worker, .. } => vec![worker.0],
            Event::Members { entries, .. } => entries.iter().map(|entry| entry.worker.0).collect(),
            _ => vec![],
        };
        let draining = |worker: &u32| self.states[worker].0 == WorkerState::Draining;
        self.to_close = touched.into_iter().filter(draining).collect();
        for action in &out {
            self.judge(action);
        }
        let closes = self.settings.close_idle_within.is_some();
        assert!(!closes || self.to_close.is_empty(), "idle connections to {:?}", self.to_close);
        self.log.extend(out);
    }

    fn judge(&mut self, action: &Action) {
        match *action {
            Action::Send { id, worker, .. } => self.judge_send(id.0, worker.0),
            Action::Refuse { id, retry_after } => {
                assert_eq!(retry_after.is_some(), self.settings.retry_after_enabled, "when to come back");
                let effect = self.settings.classes[self.pending[&id.0].class].idempotency;
                let request = self.pending.get_mut(&id.0).expect("refused a request it does not have");
                let never =
                    |outcome: &Option<Status>| outcome.is_some_and(|status| self.settings.never_ran(status));
                let harmless = match effect {
                    Idempotency::Idempotent
                    | Idempotency::Deduplicated { scope: DeduplicationScope::All, .. } => true,
                    _ => request.attempts.iter().all(|(.., outcome)| never(outcome)),
                };
                assert!(harmless, "rule 2: refused {id:?} though it may have run: {:?}", request.attempts);
                assert!(!request.ended, "rule 1: two answers for {id:?}");
                request.ended = true;
            }
            Action::Fail { id } => {
                let request = self.pending.get_mut(&id.0).expect("failed a request it does not have");
                assert!(!request.ended, "rule 1: two answers for {id:?}");
                request.ended = true;
            }
            Action::Cancel { id, attempt } => {
                assert!(usize::from(attempt.0) < self.pending[&id.0].attempts.len());
            }
            Action::SetTimer { at, token } => self.timers.push((at, token)),
            Action::Probe { worker } => {
                assert_eq!(self.states[&worker.0].0, WorkerState::Ready, "probe opens a connection");
                self.probes.push(worker.0);
            }
            Action::CloseIdle { worker } => self.to_close.retain(|closing| *closing != worker.0),
            Action::Watch | Action::Fetch => {}
        }
    }

    /// A request for which no attempt can be made any more is answered in the same step.
    fn judge_promptness(&self, id: u32) {
        let request = &self.pending[&id];
        let open = request.attempts.iter().any(|(.., outcome)| outcome.is_none());
        let ran = |(.., outcome): &&(u32, Time, Option<Status>)| {
            outcome.is_some_and(|status| !self.settings.never_ran(status))
        };
        let barred =
            match (self.settings.classes[request.class].idempotency, request.attempts.iter().find(ran)) {
                (Idempotency::Idempotent, _) | (_, None) => false,
                (Idempotency::NonIdempotent, Some(_)) => true,
                (Idempotency::Deduplicated { window, .. }, Some((_, at, _))) => self.now >= *at + window,
            };
        let used_up = request.attempts.len() as u32 >= self.settings.max_attempts;
        assert!(
            request.ended || open || !(barred || used_up),
            "not answered: {id} after {:?}",
            request.attempts
        );
    }

    fn judge_send(&mut self, id: u32, worker: u32) {
        let now = self.now;
        let (state, _) = self.states[&worker];
        assert_eq!(state, WorkerState::Ready, "rule 3: sent to {worker}");
        let class = &self.settings.classes[self.pending[&id].class];
        let open = |zones: &Vec<ZoneId>| zones.contains(&ZoneId(zone(worker) as u16));
        assert!(class.only_zones.as_ref().is_none_or(open), "placement: zone of {worker}");
        let open = |kinds: &Vec<KindId>| kinds.contains(&KindId(kind(worker) as u16));
        assert!(class.only_kinds.as_ref().is_none_or(open), "placement: kind of {worker}");
        let request = self.pending.get_mut(&id).expect("sent a request it does not have");
        assert!(!request.ended, "rule 1: sent after the end");
        let open = request.attempts.iter().any(|(.., outcome)| outcome.is_none());
        assert!(self.settings.hedging_enabled || !open, "rule 2: overlapping attempts");
        assert!((request.attempts.len() as u32) < self.settings.max_attempts);
        let settings = &self.settings;
        let may_have_run = |(.., outcome): &&(u32, Time, Option<Status>)| {
            outcome.is_none_or(|status| !settings.never_ran(status))
        };
        if let Some((first, at, _)) = request.attempts.iter().find(may_have_run) {
            match self.settings.classes[request.class].idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => panic!("rule 2: an unsafe job sent twice"),
                Idempotency::Deduplicated { scope: group, window } => {
                    assert!(now < *at + window, "rule 2: after the window");
                    match group {
                        DeduplicationScope::All => {}
                        DeduplicationScope::Zone => {
                            assert_eq!(zone(*first), zone(worker), "rule 2: outside the zone")
                        }
                        DeduplicationScope::Cell => {
                            assert_eq!(cell(*first), cell(worker), "rule 2: outside the cell")
                        }
                    }
                }
            }
        }
        request.attempts.push((worker, now, None));
        // Rule 4: a cold worker never holds more of this node's jobs than three times its part of its slots,
        // which are three at the most here, or one.
        let (_, started) = self.states[&worker];
        if started.is_some_and(|start| now < start + self.settings.warm_up_time) {
            let here = |request: &PendingRequest| {
                let recent = |(at_worker, at, outcome): &&(u32, Time, Option<Status>)| {
                    *at_worker == worker && outcome.is_none() && started.is_some_and(|start| *at >= start)
                };
                request.attempts.iter().filter(recent).count()
            };
            let out: usize = self.pending.values().map(here).sum();
            let age = started.map_or(0.0, |start| now.since(start).as_secs_f64());
            let cold_from = self.settings.cold_capacity;
            let capacity = cold_from + (1.0 - cold_from) * age / self.settings.warm_up_time.as_secs_f64();
            let share = (3.0 * (3.0 * capacity).min(1.0)).ceil().max(1.0);
            assert!(
                out as f64 <= share,
                "rule 4: {out} jobs out at a worker of three slots, {capacity} warm"
            );
        }
    }

    fn fire(&mut self) {
        loop {
            self.timers.sort_by_key(|(at, _)| *at);
            match self.timers.first() {
                Some((at, _)) if *at <= self.now => {
                    let (_, token) = self.timers.remove(0);
                    self.event(Event::TimerDue { token });
                }
                _ => return,
            }
        }
    }

    fn pass(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        while self.now < end {
            self.now = self.now + self.settings.tick;
            self.fire();
            let late = |request: &PendingRequest| {
                !request.ended && self.now > request.deadline + self.settings.answer_slack
            };
            let overdue = self.pending.iter().find(|(_, request)| late(request));
            assert!(overdue.is_none(), "rule 1: no answer in time: {overdue:?}");
        }
    }

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
        self.event(Event::Request {
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
        self.event(Event::Probed { worker: WorkerId(worker), status, latency, report });
    }

    fn answer_attempt(&mut self, pick: usize, status: Status) {
        let open = self.open_attempts();
        if open.is_empty() {
            return;
        }
        let (id, no) = open[pick % open.len()];
        let request = self.pending.get_mut(&id).expect("pending");
        let (worker, sent, outcome) = &mut request.attempts[no];
        *outcome = Some(status);
        let (worker, latency) = (WorkerId(*worker), self.now.since(*sent));
        request.ended |= status == Status::Ok;
        let closed = request.ended;
        let attempt = AttemptNo(no as u8);
        let id = RequestId(id);
        let report = Report::new();
        self.event(Event::Outcome { id, attempt, worker, status, latency, closed, report });
        self.judge_promptness(id.0);
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Request { class, left_ms, repeat } => self.request(class.into(), left_ms, repeat),
            Step::AnswerProbe { pick, status, free, queue } => {
                // Most probes are answered well.
                let status = if pick % 4 == 0 { STATUSES[usize::from(status)] } else { Status::Ok };
                self.answer_probe(pick.into(), status, vec![free.into(), queue.into()]);
            }
            Step::AnswerAttempt { pick, status } => {
                self.answer_attempt(pick.into(), STATUSES[usize::from(status)]);
            }
            Step::Note { pick, done } => {
                let open = self.open_attempts();
                if let Some(&(id, no)) = open.get(usize::from(pick) % open.len().max(1)) {
                    let (id, attempt) = (RequestId(id), AttemptNo(no as u8));
                    self.event(Event::Started { id, attempt });
                    self.event(Event::Progress { id, attempt, done });
                }
            }
            Step::Pass { ms } => self.pass(ms.into()),
            Step::List { worker, state, fresh } => {
                let state =
                    [WorkerState::Gone, WorkerState::Ready, WorkerState::Draining][usize::from(state)];
                let worker = u32::from(worker);
                let was = self.states.get(&worker).and_then(|(_, started)| *started);
                self.states.insert(worker, (state, if fresh { Some(self.now) } else { was }));
                let entries = vec![self.entry(worker)];
                self.event(Event::Members { kind: ListKind::Delta, entries });
            }
            Step::FailedCall => self.event(Event::Members { kind: ListKind::Failed, entries: vec![] }),
            Step::Leave { pick } => {
                let ids: Vec<u32> =
                    self.pending.iter().filter(|(_, request)| !request.ended).map(|(id, _)| *id).collect();
                if let Some(id) = ids.get(usize::from(pick) % ids.len().max(1)) {
                    self.pending.get_mut(id).expect("pending").ended = true;
                    self.event(Event::ClientGone { id: RequestId(*id) });
                }
            }
            Step::Nonsense { id } => {
                let id = id | 1 << 31;
                self.event(Event::ClientGone { id: RequestId(id) });
                self.event(Event::TimerDue { token: TimerToken(u64::from(id) << 24 | 3) });
                self.event(Event::Started { id: RequestId(id), attempt: AttemptNo(200) });
            }
        }
    }
}

fn varied() -> impl Strategy<Value = Settings> {
    let group = prop_oneof![
        Just(DeduplicationScope::All),
        Just(DeduplicationScope::Zone),
        Just(DeduplicationScope::Cell)
    ];
    (any::<[bool; 12]>(), group, 1..6u32, 50..1500u64).prop_map(|(flags, group, max_attempts, window)| {
        let mut settings = settings();
        settings.hedging_enabled = flags[0];
        settings.start_reported = flags[1];
        settings.progress = flags[2].then_some(Duration::from_millis(300));
        settings.discovery = if flags[3] { Discovery::Poll } else { Discovery::Push };
        settings.prices.handshake = f64::from(u8::from(flags[4])) * 0.1;
        settings.prices.cross_zone = f64::from(u8::from(flags[5])) * 0.1;
        settings.max_attempts = max_attempts;
        // Long aims leave time for several rounds.
        for class in settings.classes.iter_mut().filter(|_| flags[6]) {
            class.latency_target = Duration::from_secs(2);
        }
        settings.classes[1].idempotency =
            Idempotency::Deduplicated { scope: group, window: Duration::from_millis(window) };
        settings.classes[0].late_value = 0.5;
        settings.full_may_have_run = flags[9];
        settings.retry_after_enabled = flags[11];
        settings.close_idle_within = flags[10].then_some(Duration::from_secs(1));
        settings.classes[0].only_zones = flags[7].then(|| vec![ZoneId(1)]);
        settings.classes[1].only_kinds = flags[8].then(|| vec![KindId(0), KindId(7)]);
        settings
    })
}

fn play(settings: Settings, seed: u64, steps: &[Step]) -> Vec<Action> {
    let mut world = World::new(settings, seed);
    for step in steps {
        world.step(step);
    }
    world.pass(7000); // All deadlines pass: everything is answered.
    world.log
}

fn runner(cases: u32) -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    TestRunner::new_with_rng(Config { cases, failure_persistence: None, ..Config::default() }, rng)
}

#[test]
fn keeps_the_rules_under_random_event_orders() {
    let orders = (varied(), any::<u64>(), prop::collection::vec(step(), 1..200));
    let kept = runner(300).run(&orders, |(settings, seed, steps)| {
        play(settings, seed, &steps);
        Ok(())
    });
    kept.unwrap_or_else(|broken| panic!("{broken}"));
    // The orders reach the interesting parts: jobs are sent, and sent again.
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
    let sends =
        play(settings(), 1, &steps).iter().filter(|action| matches!(action, Action::Send { .. })).count();
    assert!(sends > 100, "{sends} sends");
}

#[test]
fn gives_identical_actions_for_identical_events() {
    let orders = (varied(), any::<u64>(), prop::collection::vec(step(), 1..120));
    let same = runner(60).run(&orders, |(settings, seed, steps)| {
        prop_assert_eq!(play(settings.clone(), seed, &steps), play(settings, seed, &steps));
        Ok(())
    });
    same.unwrap_or_else(|broken| panic!("{broken}"));
}

/// Errors come at any time around the end of the window; repeats follow inside it only.
#[test]
fn retries_deduplicated_jobs_in_their_window_only() {
    let mut settings = settings();
    settings.classes[1].latency_target = Duration::from_secs(2);
    settings.classes[1].idempotency =
        Idempotency::Deduplicated { scope: DeduplicationScope::All, window: Duration::from_millis(300) };
    let orders = (any::<u64>(), prop::collection::vec((0..600u16, any::<u16>()), 1..30));
    let mut repeats = 0;
    let kept = runner(60).run(&orders, |(seed, times)| {
        let step = |&(ms, pick): &(u16, u16)| {
            let probe = Step::AnswerProbe { pick: pick | 1, status: 1, free: 3, queue: 0 };
            let request = Step::Request { class: 1, left_ms: 5000, repeat: false };
            let error = Step::AnswerAttempt { pick, status: 0 };
            vec![request, probe.clone(), Step::Pass { ms }, error, probe.clone(), probe]
        };
        play(settings.clone(), seed, &times.iter().flat_map(step).collect::<Vec<_>>());
        Ok(())
    });
    kept.unwrap_or_else(|broken| panic!("{broken}"));
    let order = [(50, 1), (20, 3), (10, 5)];
    for seed in 0..20 {
        let steps = order.iter().flat_map(|&(ms, pick)| {
            let probe = Step::AnswerProbe { pick, status: 1, free: 3, queue: 0 };
            let request = Step::Request { class: 1, left_ms: 5000, repeat: false };
            [request, probe.clone(), Step::Pass { ms }, Step::AnswerAttempt { pick, status: 0 }, probe]
        });
        let actions = play(settings.clone(), seed, &steps.collect::<Vec<_>>());
        repeats +=
            actions.iter().filter(|action| matches!(action, Action::Send { .. })).count().saturating_sub(3);
    }
    assert!(repeats > 0, "repeats are made at all");
}
