//! The core's own guards, under random events: late, repeated and out of order.

mod common;

use pebblepost::config::read_settings;
use pebblepost::engine::{Answer, DeliveryAttempt, Due, Engine, Input, Output, Request};
use pebblewind::api::*;
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
        1 => (0_u32..4, 0_u8..3, any::<bool>()).prop_map(|(w, s, whole)| Step::Members(w, s, whole)),
        4 => (any::<usize>(), 0_u8..8).prop_map(|(i, s)| Step::Ended(i, s)),
        6 => (0_u8..8, 0_f32..5.0).prop_map(|(s, free)| Step::Probed(s, free)),
        4 => (0_u64..900).prop_map(Step::Pass),
    ]
}

fn status(n: u8) -> Status {
    use Status::*;
    [Ok, Error, Full, Timeout, ConnectFailed, Reset, Cancelled, Moot][usize::from(n) % 8]
}

/// What the core is allowed, seen from outside.
#[derive(Default)]
struct Watcher {
    now: u64,
    deadlines: BTreeMap<(Time, usize), Due>,
    states: HashMap<WorkerId, WorkerState>,
    answers: HashMap<RequestId, u32>,
    left: HashSet<RequestId>,
    attempts: Vec<DeliveryAttempt>,
    probes: Vec<WorkerId>,
}

impl Watcher {
    fn turn(&mut self, engine: &mut Engine, input: Input) {
        let (mut inputs, mut out) = (vec![input], Vec::new());
        engine.turn(Time(self.now), &mut inputs, &mut out);
        for output in out {
            match output {
                Output::Deliver(attempt, worker, left) => {
                    assert_eq!(self.states.get(&worker), Some(&WorkerState::Ready), "sent to one not ready");
                    assert!(!self.answers.contains_key(&attempt.id), "sent after the answer");
                    assert!(!self.left.contains(&attempt.id), "sent after the client left");
                    assert!(!left.is_zero(), "sent after the deadline");
                    let before = self.attempts.iter().filter(|a| a.id == attempt.id).count();
                    assert!(before < 3, "more attempts than allowed");
                    self.attempts.push(attempt);
                }
                // Only after `Input::Connected`, which these steps do not make.
                Output::Transmit(..) => unreachable!(),
                Output::Answer(id, answer) => {
                    assert!(!self.left.contains(&id), "an answer to nobody");
                    *self.answers.entry(id).or_default() += 1;
                    assert_eq!(self.answers[&id], 1, "one final answer");
                    if let Answer::Rejected(after) = answer {
                        assert!(!after.is_zero(), "a refusal says when to come back");
                    }
                }
                Output::Set(at, due) => {
                    self.deadlines.insert((at, self.deadlines.len() + self.answers.len()), due);
                }
                Output::Probe(worker) => self.probes.push(worker),
                Output::GiveUp(attempt) => assert!(self.attempts.contains(&attempt)),
                Output::CloseIdle(_) | Output::Watch | Output::Fetch => {}
            }
        }
    }

    fn pass(&mut self, engine: &mut Engine, millis: u64) {
        let until = self.now + millis * 1_000_000;
        while let Some(first) = self.deadlines.first_entry().filter(|e| e.key().0.0 <= until) {
            self.now = self.now.max(first.key().0.0);
            let due = first.remove();
            self.turn(engine, Input::Due(due));
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
        let mut w = Watcher { now: 1, ..Watcher::default() };
        let entry = |n: u32, state| Entry {
            worker: WorkerId(n), zone: ZoneId(0), kind: KindId(0), cell: CellId(0), state, name: 0, started: None,
        };
        w.states.extend((0..3).map(|n| (WorkerId(n), WorkerState::Ready)));
        let all = (0..3).map(|n| entry(n, WorkerState::Ready)).collect();
        w.turn(&mut engine, Input::Members(ListKind::Cached, all));
        let mut requests = Vec::new();
        for step in steps {
            match step {
                Step::Request => {
                    let id = RequestId(requests.len() as u32);
                    requests.push(id);
                    let (class, time_left) = (ClassId(0), Duration::from_secs(3));
                    let request = Request { class, time_left, repeat: false, slots: 1.0, memory: 0.0, work: None, key: 0, tenant: TenantId(0) };
                    w.turn(&mut engine, Input::Request(id, request));
                }
                Step::Gone(i) if !requests.is_empty() => {
                    let id = requests[i % requests.len()];
                    if !w.answers.contains_key(&id) {
                        w.left.insert(id);
                    }
                    w.turn(&mut engine, Input::ClientGone(id));
                }
                Step::Members(n, state, whole) => {
                    let state = [WorkerState::Ready, WorkerState::Draining, WorkerState::Gone][usize::from(state)];
                    if whole {
                        w.states.clear();
                    }
                    w.states.insert(WorkerId(n), state);
                    let kind = if whole { ListKind::Full } else { ListKind::Delta };
                    w.turn(&mut engine, Input::Members(kind, vec![entry(n, state)]));
                }
                Step::Ended(i, s) if !w.attempts.is_empty() => {
                    let attempt = w.attempts[i % w.attempts.len()];
                    w.turn(&mut engine, Input::Ended(attempt, status(s), Vec::new(), Vec::new()));
                }
                Step::Probed(s, free) => {
                    if let Some(worker) = w.probes.pop() {
                        let (status, report) = (status(s / 4), vec![0.0, 0.0, free]);
                        w.turn(&mut engine, Input::Probed(worker, status, Duration::from_millis(1), report));
                    }
                }
                Step::Pass(millis) => w.pass(&mut engine, millis),
                Step::Gone(_) | Step::Ended(..) => {}
            }
        }
        w.pass(&mut engine, 4_000);
        for id in requests {
            prop_assert!(w.answers.contains_key(&id) != w.left.contains(&id), "{id:?} is answered unless its client left");
        }
        prop_assert_eq!(engine.unanswered(), 0);
    }
}
