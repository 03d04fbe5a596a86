//! The rules that the engine itself enforces, under random events: late, repeated and out of order.

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
    Gone(usize),
    Members(u32, u8, bool),
    Ended(usize, u8),
    Probed(u8, f32),
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => Just(Step::Request),
        1 => any::<usize>().prop_map(Step::Gone),
        1 => (0_u32..4, 0_u8..3, any::<bool>()).prop_map(|(worker, state, whole)| Step::Members(worker, state, whole)),
        4 => (any::<usize>(), 0_u8..8).prop_map(|(index, status)| Step::Ended(index, status)),
        6 => (0_u8..8, 0_f32..5.0).prop_map(|(status, free)| Step::Probed(status, free)),
        4 => (0_u64..900).prop_map(Step::Pass),
    ]
}

fn status(n: u8) -> Status {
    use Status::*;
    [Ok, Error, Full, Timeout, ConnectFailed, Reset, Cancelled, Moot][usize::from(n) % 8]
}

/// Checks from outside what the engine is allowed to do.
#[derive(Default)]
struct EngineObserver {
    now: u64,
    deadlines: BTreeMap<(Time, usize), EngineTimer>,
    states: HashMap<WorkerId, WorkerState>,
    answers: HashMap<RequestId, u32>,
    left: HashSet<RequestId>,
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
                    assert_eq!(self.states.get(&worker), Some(&WorkerState::Ready), "sent to one not ready");
                    assert!(!self.answers.contains_key(&attempt.request), "sent after the answer");
                    assert!(!self.left.contains(&attempt.request), "sent after the client left");
                    assert!(!left.is_zero(), "sent after the deadline");
                    let before =
                        self.attempts.iter().filter(|other| other.request == attempt.request).count();
                    assert!(before < 3, "more attempts than allowed");
                    self.attempts.push(attempt);
                }
                // Only after `Input::Connected`, which these steps do not make.
                Output::Transmit { .. } => unreachable!(),
                Output::Respond(id, answer) => {
                    assert!(!self.left.contains(&id), "an answer to nobody");
                    *self.answers.entry(id).or_default() += 1;
                    assert_eq!(self.answers[&id], 1, "one final answer");
                    if let FinalResponse::Rejected(after) = answer {
                        assert!(!after.is_zero(), "a refusal says when to come back");
                    }
                }
                Output::SetTimer(at, due) => {
                    self.deadlines.insert((at, self.deadlines.len() + self.answers.len()), due);
                }
                Output::Probe(worker) => self.probes.push(worker),
                Output::Abandon(attempt) => assert!(self.attempts.contains(&attempt)),
                Output::CloseIdle(_) | Output::Watch | Output::Fetch => {}
            }
        }
    }

    fn pass(&mut self, engine: &mut Engine, millis: u64) {
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
    fn one_answer_each_and_nothing_to_whom_it_must_not_go(steps in prop::collection::vec(step(), 0..150)) {
        let settings = read_settings("test", &common::settings()).expect("sound settings");
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
                Step::Gone(i) if !requests.is_empty() => {
                    let id = requests[i % requests.len()];
                    if !observer.answers.contains_key(&id) {
                        observer.left.insert(id);
                    }
                    observer.turn(&mut engine, Input::ClientDisconnected(id));
                }
                Step::Members(n, state, whole) => {
                    let state = [WorkerState::Ready, WorkerState::Draining, WorkerState::Gone][usize::from(state)];
                    if whole {
                        observer.states.clear();
                    }
                    observer.states.insert(WorkerId(n), state);
                    let kind = if whole { ListKind::Full } else { ListKind::Delta };
                    observer.turn(&mut engine, Input::Membership(kind, vec![entry(n, state)]));
                }
                Step::Ended(index, ended) if !observer.attempts.is_empty() => {
                    let attempt = observer.attempts[index % observer.attempts.len()];
                    observer.turn(&mut engine, Input::attempt_failed(attempt, status(ended)));
                }
                Step::Probed(probed, free) => {
                    if let Some(worker) = observer.probes.pop() {
                        let (status, report) = (status(probed / 4), vec![0.0, 0.0, free]);
                        observer.turn(&mut engine, Input::Probed { worker, status, latency: Duration::from_millis(1), report });
                    }
                }
                Step::Pass(millis) => observer.pass(&mut engine, millis),
                Step::Gone(_) | Step::Ended(..) => {}
            }
        }
        observer.pass(&mut engine, 4_000);
        for id in requests {
            prop_assert!(observer.answers.contains_key(&id) != observer.left.contains(&id), "{id:?} is answered unless its client left");
        }
        prop_assert_eq!(engine.unanswered_requests(), 0);
    }
}

/// An engine with three workers: 0 and 1 in one zone, each in a cell of its own, 2 in another zone.
struct Bench {
    engine: Engine,
    now: Time,
    probes: Vec<WorkerId>,
    sent: Vec<(AttemptId, WorkerId)>,
    transmitted: Vec<AttemptId>,
    given_up: Vec<AttemptId>,
    answers: Vec<FinalResponse>,
}

const ID: RequestId = RequestId(1);

impl Bench {
    fn new(effect: Idempotency, second_copies: bool) -> Self {
        let mut settings = read_settings("test", &common::settings()).expect("sound settings");
        settings.classes[0].idempotency = effect;
        settings.hedging_enabled = second_copies;
        settings.zone = ZoneId(0);
        let mut bench = Self {
            engine: Engine::new(settings, 1, Time(1)),
            now: Time(1),
            probes: Vec::new(),
            sent: Vec::new(),
            transmitted: Vec::new(),
            given_up: Vec::new(),
            answers: Vec::new(),
        };
        let all = [0, 0, 1].into_iter().zip(0..).map(|(zone, n)| bench_entry(n, zone, WorkerState::Ready));
        bench.turn(vec![Input::Membership(ListKind::Cached, all.collect())]);
        bench
    }

    fn turn(&mut self, mut inputs: Vec<Input>) {
        let mut out = Vec::new();
        self.engine.process_inputs(self.now, &mut inputs, &mut out);
        for output in out {
            match output {
                Output::Deliver { attempt, worker, .. } => self.sent.push((attempt, worker)),
                Output::Transmit { attempt, .. } => self.transmitted.push(attempt),
                Output::Abandon(attempt) => self.given_up.push(attempt),
                Output::Probe(worker) => self.probes.push(worker),
                Output::Respond(_, answer) => self.answers.push(answer),
                _ => {}
            }
        }
    }

    fn ask(&mut self, millis: u64) {
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
        self.turn(vec![Input::Request(ID, request)]);
    }

    /// Answers all probes with free capacity until one more attempt is sent, if any.
    fn answer_probes(&mut self) {
        let before = self.sent.len();
        for _ in 0..8 {
            if let Some(worker) = self.probes.pop().filter(|_| self.sent.len() == before) {
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

fn bench_entry(n: u32, zone: u16, state: WorkerState) -> Entry {
    let (worker, cell) = (WorkerId(n), CellId(n as u16));
    Entry { worker, zone: ZoneId(zone), kind: KindId(0), cell, state, name: u64::from(n), started: None }
}

/// The protocol's rule on idempotency as a table: after an attempt that ended so, where may a retry go, and may the request
/// be rejected?
#[test]
fn a_request_is_sent_again_and_refused_as_its_class_allows() {
    let window = Duration::from_secs(10);
    let keyed = |group| Idempotency::Deduplicated { scope: group, window };
    let (all, zone, cell) =
        (keyed(DeduplicationScope::All), keyed(DeduplicationScope::Zone), keyed(DeduplicationScope::Cell));
    let proves = [Status::Full, Status::ConnectFailed];
    let unsure = [Status::Error, Status::Reset, Status::Timeout, Status::Cancelled];
    for effect in [Idempotency::Idempotent, all, zone, cell, Idempotency::NonIdempotent] {
        for copies in [true, false] {
            for status in proves.into_iter().chain(unsure) {
                let never_ran = proves.contains(&status);
                let mut again = 0;
                let what = format!("{effect:?}, {status:?}, second copies: {copies}");
                let mut bench = Bench::new(effect, copies);
                bench.ask(3_000);
                bench.answer_probes();
                let (first, at) = bench.sent[0];
                bench.turn(vec![Input::attempt_failed(first, status)]);
                bench.answer_probes();
                if let Some((_, to)) = bench.sent.get(1) {
                    again += 1;
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
                    again == 1 || effect != Idempotency::Idempotent || bench.answers.len() == 1,
                    "{what}: lost"
                );
                let refused = bench.answers.iter().any(|answer| matches!(answer, FinalResponse::Rejected(_)));
                let harmless = never_ran || matches!(effect, Idempotency::Idempotent) || effect == all;
                assert!(harmless || !refused, "{what}: refused though it may have run");
            }
        }
    }
}

/// An attempt's connection is established when the attempt is not allowed any more: it is not sent, and ends as one that
/// never ran.
#[test]
fn what_was_right_to_send_is_looked_at_again_when_the_connection_is_up() {
    let window = Duration::from_millis(300);
    type Happens = fn(&mut Bench);
    let late: [(&str, Happens); 5] = [
        ("all is as it was", |_| {}),
        ("its worker drains", |bench| {
            let worker = bench.sent.last().expect("an attempt").1;
            let zone = u16::from(worker.0 == 2);
            bench.turn(vec![Input::Membership(
                ListKind::Delta,
                vec![bench_entry(worker.0, zone, WorkerState::Draining)],
            )]);
        }),
        ("its worker has gone from a whole list", |bench| {
            bench.turn(vec![Input::Membership(ListKind::Full, Vec::new())]);
        }),
        ("its client has gone", |bench| bench.turn(vec![Input::ClientDisconnected(ID)])),
        ("the window for repeats has closed", |bench| bench.now = bench.now + Duration::from_millis(301)),
    ];
    for (what, happens) in late {
        let mut bench =
            Bench::new(Idempotency::Deduplicated { scope: DeduplicationScope::All, window }, true);
        bench.ask(3_000);
        bench.answer_probes();
        let first = bench.sent[0].0;
        bench.turn(vec![Input::Connected(first)]);
        assert_eq!(bench.transmitted, [first], "the first goes out");
        bench.turn(vec![Input::attempt_failed(first, Status::Reset)]);
        bench.answer_probes();
        let second = bench.sent.get(1).expect("a further attempt").0;
        happens(&mut bench);
        bench.turn(vec![Input::Connected(second)]);
        let goes = bench.transmitted.contains(&second);
        assert_eq!(goes, what == "all is as it was", "{what}");
        assert!(goes || bench.given_up.contains(&second), "{what}: its connection is ended");
    }
}

/// Everything that may come in one turn with a client's disconnection: nothing of it may send the client's request.
#[test]
fn a_client_that_has_gone_counts_before_all_else_in_its_turn() {
    for close_first in [true, false] {
        let mut bench = Bench::new(Idempotency::Idempotent, true);
        bench.ask(3_000);
        let worker = bench.probes.pop().expect("a probe");
        let answer = Input::Probed {
            worker,
            status: Status::Ok,
            latency: Duration::from_millis(1),
            report: vec![0.0, 0.0, 4.0],
        };
        let gone = Input::ClientDisconnected(ID);
        bench.turn(if close_first { vec![gone, answer] } else { vec![answer, gone] });
        assert!(bench.sent.is_empty() && bench.answers.is_empty());
        assert_eq!(bench.engine.unanswered_requests(), 0);
    }
}
