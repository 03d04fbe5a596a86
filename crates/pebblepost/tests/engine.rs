//! Checks the rules that the engine itself enforces, under random events that may be late, repeated or out of order.

mod common;

use pebblepost::config::read_settings;
use pebblepost::engine::{AttemptId, Engine, EngineTimer, FinalResponse, Input, Output, Request};
use pebblepost_dispatch::api::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

#[derive(Clone, Debug)]
enum Step {
    Request,
    ClientDisconnected(usize),
    Membership(u32, u8, bool),
    AttemptEnded(usize, u8),
    Probed(u8, f32),
    TimePassed(u64),
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => Just(Step::Request),
        1 => any::<usize>().prop_map(Step::ClientDisconnected),
        1 => (0_u32..4, 0_u8..3, any::<bool>()).prop_map(|(worker, state, is_full)| Step::Membership(worker, state, is_full)),
        4 => (any::<usize>(), 0_u8..8).prop_map(|(index, status)| Step::AttemptEnded(index, status)),
        6 => (0_u8..8, 0_f32..5.0).prop_map(|(status, free)| Step::Probed(status, free)),
        4 => (0_u64..900).prop_map(Step::TimePassed),
    ]
}

fn status(n: u8) -> Status {
    use Status::*;
    [Ok, Error, Full, Timeout, ConnectFailed, Reset, Cancelled, Moot][usize::from(n) % 8]
}

/// Applies inputs to an engine and checks each output against what the engine is allowed to do.
#[derive(Default)]
struct EngineObserver {
    now: u64,
    deadlines: BTreeMap<(Time, usize), EngineTimer>,
    states: HashMap<WorkerId, WorkerState>,
    responses: HashMap<RequestId, u32>,
    disconnected: HashSet<RequestId>,
    attempts: Vec<AttemptId>,
    probes: Vec<WorkerId>,
}

impl EngineObserver {
    fn turn(&mut self, engine: &mut Engine, input: Input) {
        let (mut inputs, mut out) = (vec![input], Vec::new());
        engine.process_inputs(Time(self.now), &mut inputs, &mut out);
        for output in out {
            match output {
                Output::Deliver { attempt, worker, time_left: left } => {
                    assert_eq!(
                        self.states.get(&worker),
                        Some(&WorkerState::Ready),
                        "attempt sent to a worker that is not ready"
                    );
                    assert!(
                        !self.responses.contains_key(&attempt.request),
                        "attempt sent after the final response"
                    );
                    assert!(
                        !self.disconnected.contains(&attempt.request),
                        "attempt sent after the client disconnected"
                    );
                    assert!(!left.is_zero(), "attempt sent after the deadline");
                    let before =
                        self.attempts.iter().filter(|other| other.request == attempt.request).count();
                    assert!(before < 3, "more than 3 attempts of one request");
                    self.attempts.push(attempt);
                }
                // It follows `Input::Connected` only, which these steps do not generate.
                Output::Transmit { .. } => unreachable!(),
                Output::Respond(id, answer) => {
                    assert!(!self.disconnected.contains(&id), "response to a client that has disconnected");
                    *self.responses.entry(id).or_default() += 1;
                    assert_eq!(self.responses[&id], 1, "more than one final response");
                    if let FinalResponse::Rejected(after) = answer {
                        assert!(!after.is_zero(), "rejection without a retry delay");
                    }
                }
                Output::SetTimer(at, due) => {
                    self.deadlines.insert((at, self.deadlines.len() + self.responses.len()), due);
                }
                Output::Probe(worker) => self.probes.push(worker),
                Output::Abandon(attempt) => assert!(self.attempts.contains(&attempt)),
                Output::CloseIdle(_) | Output::Watch | Output::Fetch => {}
            }
        }
    }

    fn advance_time(&mut self, engine: &mut Engine, millis: u64) {
        let until = self.now + millis * 1_000_000;
        while let Some(first) = self.deadlines.first_entry().filter(|entry| entry.key().0.0 <= until) {
            self.now = self.now.max(first.key().0.0);
            let due = first.remove();
            self.turn(engine, Input::TimerDue(due));
        }
        self.now = until;
    }
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..Config::with_cases(200) })]

    #[test]
    fn each_request_gets_one_response_and_only_ready_workers_get_attempts(steps in prop::collection::vec(any_step(), 0..150)) {
        let settings = read_settings("test", &common::platform_settings()).expect("valid settings");
        let mut engine = Engine::new(settings, 1, Time(1));
        let mut observer = EngineObserver { now: 1, ..EngineObserver::default() };
        let entry = |n: u32, state| Entry {
            worker: WorkerId(n), zone: ZoneId(0), kind: KindId(0), cell: CellId(0), state, name: 0, started: None,
        };
        observer.states.extend((0..3).map(|n| (WorkerId(n), WorkerState::Ready)));
        let all = (0..3).map(|n| entry(n, WorkerState::Ready)).collect();
        observer.turn(&mut engine, Input::Membership(ListKind::Cached, all));
        let mut requests = Vec::new();
        for step in steps {
            match step {
                Step::Request => {
                    let id = RequestId(requests.len() as u32);
                    requests.push(id);
                    let (class, time_left) = (ClassId(0), Duration::from_secs(3));
                    let request = Request { class, time_left, repeat: false, slots: 1.0, memory: 0.0, work: None, key: 0, tenant: TenantId(0) };
                    observer.turn(&mut engine, Input::Request(id, request));
                }
                Step::ClientDisconnected(i) if !requests.is_empty() => {
                    let id = requests[i % requests.len()];
                    if !observer.responses.contains_key(&id) {
                        observer.disconnected.insert(id);
                    }
                    observer.turn(&mut engine, Input::ClientDisconnected(id));
                }
                Step::Membership(n, state, is_full) => {
                    let state = [WorkerState::Ready, WorkerState::Draining, WorkerState::Gone][usize::from(state)];
                    if is_full {
                        observer.states.clear();
                    }
                    observer.states.insert(WorkerId(n), state);
                    let kind = if is_full { ListKind::Full } else { ListKind::Delta };
                    observer.turn(&mut engine, Input::Membership(kind, vec![entry(n, state)]));
                }
                Step::AttemptEnded(index, ended) if !observer.attempts.is_empty() => {
                    let attempt = observer.attempts[index % observer.attempts.len()];
                    observer.turn(&mut engine, Input::attempt_failed(attempt, status(ended)));
                }
                Step::Probed(probed, free) => {
                    if let Some(worker) = observer.probes.pop() {
                        let (status, report) = (status(probed / 4), vec![0.0, 0.0, free]);
                        observer.turn(&mut engine, Input::Probed { worker, status, latency: Duration::from_millis(1), report });
                    }
                }
                Step::TimePassed(millis) => observer.advance_time(&mut engine, millis),
                Step::ClientDisconnected(_) | Step::AttemptEnded(..) => {}
            }
        }
        observer.advance_time(&mut engine, 4_000);
        for id in requests {
            prop_assert!(observer.responses.contains_key(&id) != observer.disconnected.contains(&id), "{id:?} must get a response exactly if its client has not disconnected");
        }
        prop_assert_eq!(engine.unanswered_requests(), 0);
    }
}

/// An engine with three workers, each in a cell of its own: 0 and 1 in one zone, 2 in another.
struct EngineFixture {
    engine: Engine,
    now: Time,
    probes: Vec<WorkerId>,
    delivered: Vec<(AttemptId, WorkerId)>,
    transmitted: Vec<AttemptId>,
    abandoned: Vec<AttemptId>,
    responses: Vec<FinalResponse>,
}

const REQUEST_ID: RequestId = RequestId(1);

impl EngineFixture {
    fn new(effect: Idempotency, hedging_enabled: bool) -> Self {
        let mut settings = read_settings("test", &common::platform_settings()).expect("valid settings");
        settings.classes[0].idempotency = effect;
        settings.hedging_enabled = hedging_enabled;
        settings.zone = ZoneId(0);
        let mut fixture = Self {
            engine: Engine::new(settings, 1, Time(1)),
            now: Time(1),
            probes: Vec::new(),
            delivered: Vec::new(),
            transmitted: Vec::new(),
            abandoned: Vec::new(),
            responses: Vec::new(),
        };
        let all = [0, 0, 1].into_iter().zip(0..).map(|(zone, n)| list_entry(n, zone, WorkerState::Ready));
        fixture.turn(vec![Input::Membership(ListKind::Cached, all.collect())]);
        fixture
    }

    fn turn(&mut self, mut inputs: Vec<Input>) {
        let mut out = Vec::new();
        self.engine.process_inputs(self.now, &mut inputs, &mut out);
        for output in out {
            match output {
                Output::Deliver { attempt, worker, .. } => self.delivered.push((attempt, worker)),
                Output::Transmit { attempt, .. } => self.transmitted.push(attempt),
                Output::Abandon(attempt) => self.abandoned.push(attempt),
                Output::Probe(worker) => self.probes.push(worker),
                Output::Respond(_, answer) => self.responses.push(answer),
                _ => {}
            }
        }
    }

    fn submit_request(&mut self, millis: u64) {
        let time_left = Duration::from_millis(millis);
        let request = Request {
            class: ClassId(0),
            time_left,
            repeat: false,
            slots: 1.0,
            memory: 0.0,
            work: None,
            key: 0,
            tenant: TenantId(0),
        };
        self.turn(vec![Input::Request(REQUEST_ID, request)]);
    }

    /// Answers pending probes with free capacity until one more attempt is sent or no probe is left.
    fn answer_probes(&mut self) {
        let before = self.delivered.len();
        for _ in 0..8 {
            if let Some(worker) = self.probes.pop().filter(|_| self.delivered.len() == before) {
                let report = vec![0.0, 0.0, 4.0];
                self.turn(vec![Input::Probed {
                    worker,
                    status: Status::Ok,
                    latency: Duration::from_millis(1),
                    report,
                }]);
            }
        }
        self.probes.clear();
    }
}

fn list_entry(n: u32, zone: u16, state: WorkerState) -> Entry {
    let (worker, cell) = (WorkerId(n), CellId(n as u16));
    Entry { worker, zone: ZoneId(zone), kind: KindId(0), cell, state, name: u64::from(n), started: None }
}

/// Checks the idempotency rule of the protocol for each class and outcome of the first attempt: to which workers a retry may
/// go, and whether the request may be rejected.
#[test]
fn retries_and_rejections_follow_the_idempotency_of_the_class() {
    let window = Duration::from_secs(10);
    let keyed = |group| Idempotency::Deduplicated { scope: group, window };
    let (all, zone, cell) =
        (keyed(DeduplicationScope::All), keyed(DeduplicationScope::Zone), keyed(DeduplicationScope::Cell));
    let never_ran_statuses = [Status::Full, Status::ConnectFailed];
    let may_have_run_statuses = [Status::Error, Status::Reset, Status::Timeout, Status::Cancelled];
    for effect in [Idempotency::Idempotent, all, zone, cell, Idempotency::NonIdempotent] {
        for hedging in [true, false] {
            for status in never_ran_statuses.into_iter().chain(may_have_run_statuses) {
                let never_ran = never_ran_statuses.contains(&status);
                let mut retries = 0;
                let what = format!("{effect:?}, {status:?}, hedging: {hedging}");
                let mut fixture = EngineFixture::new(effect, hedging);
                fixture.submit_request(3_000);
                fixture.answer_probes();
                let (first, at) = fixture.delivered[0];
                fixture.turn(vec![Input::attempt_failed(first, status)]);
                fixture.answer_probes();
                if let Some((_, to)) = fixture.delivered.get(1) {
                    retries += 1;
                    let same_zone = (at.0 == 2) == (to.0 == 2);
                    let allowed = never_ran
                        || match effect {
                            Idempotency::Idempotent
                            | Idempotency::Deduplicated { scope: DeduplicationScope::All, .. } => true,
                            Idempotency::Deduplicated { scope: DeduplicationScope::Zone, .. } => same_zone,
                            Idempotency::Deduplicated { scope: DeduplicationScope::Cell, .. } => to == &at,
                            Idempotency::NonIdempotent => false,
                        };
                    assert!(allowed, "{what}: from {at:?} to {to:?}");
                }
                assert!(
                    retries == 1 || effect != Idempotency::Idempotent || fixture.responses.len() == 1,
                    "{what}: neither retried nor responded to"
                );
                let rejected =
                    fixture.responses.iter().any(|answer| matches!(answer, FinalResponse::Rejected(_)));
                let harmless = never_ran || matches!(effect, Idempotency::Idempotent) || effect == all;
                assert!(harmless || !rejected, "{what}: rejected though it may have run");
            }
        }
    }
}

/// An attempt that is no longer allowed when its connection is established is not sent, and ends as one that never ran.
#[test]
fn an_attempt_is_checked_again_when_its_connection_is_established() {
    let window = Duration::from_millis(300);
    type Change = fn(&mut EngineFixture);
    let cases: [(&str, Change); 5] = [
        ("no change", |_| {}),
        ("the worker is draining", |fixture| {
            let worker = fixture.delivered.last().expect("an attempt").1;
            let zone = u16::from(worker.0 == 2);
            fixture.turn(vec![Input::Membership(
                ListKind::Delta,
                vec![list_entry(worker.0, zone, WorkerState::Draining)],
            )]);
        }),
        ("the worker is missing from a full list", |fixture| {
            fixture.turn(vec![Input::Membership(ListKind::Full, Vec::new())]);
        }),
        ("the client has disconnected", |fixture| fixture.turn(vec![Input::ClientDisconnected(REQUEST_ID)])),
        ("the deduplication window has ended", |fixture| {
            fixture.now = fixture.now + Duration::from_millis(301)
        }),
    ];
    for (what, apply_change) in cases {
        let mut fixture =
            EngineFixture::new(Idempotency::Deduplicated { scope: DeduplicationScope::All, window }, true);
        fixture.submit_request(3_000);
        fixture.answer_probes();
        let first = fixture.delivered[0].0;
        fixture.turn(vec![Input::Connected(first)]);
        assert_eq!(fixture.transmitted, [first], "the first attempt is sent");
        fixture.turn(vec![Input::attempt_failed(first, Status::Reset)]);
        fixture.answer_probes();
        let second = fixture.delivered.get(1).expect("a retry").0;
        apply_change(&mut fixture);
        fixture.turn(vec![Input::Connected(second)]);
        let is_sent = fixture.transmitted.contains(&second);
        assert_eq!(is_sent, what == "no change", "{what}");
        assert!(is_sent || fixture.abandoned.contains(&second), "{what}: the connection is abandoned");
    }
}

/// The probe response that would have the request sent comes in the same turn as the client's disconnection, in either order:
/// nothing is sent.
#[test]
fn a_client_disconnection_is_handled_before_other_inputs_of_the_same_turn() {
    for close_first in [true, false] {
        let mut fixture = EngineFixture::new(Idempotency::Idempotent, true);
        fixture.submit_request(3_000);
        let worker = fixture.probes.pop().expect("a probe");
        let answer = Input::Probed {
            worker,
            status: Status::Ok,
            latency: Duration::from_millis(1),
            report: vec![0.0, 0.0, 4.0],
        };
        let gone = Input::ClientDisconnected(REQUEST_ID);
        fixture.turn(if close_first { vec![gone, answer] } else { vec![answer, gone] });
        assert!(fixture.delivered.is_empty() && fixture.responses.is_empty());
        assert_eq!(fixture.engine.unanswered_requests(), 0);
    }
}
