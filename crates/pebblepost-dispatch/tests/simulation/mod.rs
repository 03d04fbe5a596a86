//! A seeded simulation of workers and discovery that responds to the actions of one or more dispatchers.
//!
//! Events and actions are records of the simulator's wire protocol. The trace is therefore a sequence of bytes that
//! does not depend on names in the code.

use pebblepost_dispatch::Dispatcher;
use pebblepost_dispatch::api::Time;
use pebblepost_dispatch::wire::{BATCH_HEADER_BYTES, BatchHeader, Message, Reply, parse_batch};
use pebblepost_stable_hash::Fnv1a;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};

const MICROSECOND: u64 = 1_000;
const MILLISECOND: u64 = 1_000_000;
const SECOND: u64 = 1_000_000_000;
const START: u64 = 1_000 * SECOND;

/// Record codes of the actions, in the order in which the approved file counts them.
pub const ACTION_CODES: [u8; 9] = [10, 20, 30, 40, 50, 60, 70, 110, 120];
const SEND: u8 = 10;
const REFUSE: u8 = 20;
const FAIL: u8 = 30;
const CANCEL: u8 = 40;
const SET_TIMER: u8 = 50;
const PROBE: u8 = 60;
const WATCH: u8 = 110;

const EVENT_TIMER_DUE: u8 = 10;
const EVENT_REQUEST: u8 = 20;
const EVENT_CLIENT_GONE: u8 = 40;
const EVENT_MEMBERS: u8 = 50;
const EVENT_PROBED: u8 = 60;
const EVENT_OUTCOME: u8 = 80;
const EVENT_LAUNCH: u8 = 90;
const EVENT_NOTE: u8 = 100;
const EVENT_STREAM_OPENED: u8 = 110;

const NOTE_STARTED: u8 = 1;
const NOTE_PROGRESS: u8 = 2;

const ERROR: u8 = 0;
const OK: u8 = 1;
const FULL: u8 = 2;
const TIMEOUT: u8 = 3;
const CONNECT_FAILED: u8 = 4;
const RESET: u8 = 5;
const CANCELLED: u8 = 6;
const MOOT: u8 = 7;

const GONE: u8 = 0;
const READY: u8 = 1;
const DRAINING: u8 = 2;

const LIST_DELTA: u8 = 0;
const LIST_FULL: u8 = 1;
const LIST_CACHED: u8 = 2;
const LIST_FAILED: u8 = 3;

/// Parameters of one simulated run.
#[derive(Clone, Copy, Debug)]
#[expect(clippy::struct_excessive_bools, reason = "each flag enables one feature of a scenario")]
pub struct Scenario {
    pub name: &'static str,
    /// Settings of the launch record in addition to those that all scenarios share.
    pub settings: &'static str,
    /// Fields of a load report: `f` free slots, `m` free memory, `w` waiting jobs, `a` active jobs, `c` CPU use.
    pub report_fields: &'static str,
    /// Outcomes carry load reports as well.
    pub piggybacked_reports: bool,
    pub nodes: usize,
    pub workers: u32,
    /// Slots of a worker with an even index. Those with an odd index have one more.
    pub slots: u32,
    pub zones: u16,
    pub kinds: u16,
    pub classes: u16,
    pub tenants: u16,
    /// Arrival rate over all nodes.
    pub requests_per_second: f64,
    pub seconds: u64,
    pub mean_work_ms: f64,
    /// Maximum queue length of a worker. Further jobs are rejected.
    pub max_queued_jobs: usize,
    /// Memory units of a worker. Each busy slot takes one.
    pub memory_units: u32,
    /// Maximum age of a load report.
    pub report_interval_ms: u64,
    /// Requests carry hints of their work.
    pub work_hints: bool,
    /// Some jobs take several slots or far more work than most.
    pub large_jobs: bool,
    /// Number of distinct job keys; 0 for jobs without keys.
    pub key_count: u64,
    /// Number of probes and attempts out of a thousand that are hit by a fault.
    pub faults_per_thousand: u32,
    /// Workers restart, drain, leave and return, and discovery fails.
    pub churn: bool,
    /// Mean time between two changes by `churn` or `class_hangs`.
    pub mean_change_interval_ms: u64,
    /// Workers hang on jobs of one class for a while.
    pub class_hangs: bool,
    /// Nodes restart and lose all learned state.
    pub node_restarts: bool,
    /// Nodes poll discovery instead of being subscribed from the start.
    pub polled_discovery: bool,
    pub streamed_responses: bool,
    pub starts_notified: bool,
}

pub const BASELINE: Scenario = Scenario {
    name: "calm",
    settings: "",
    report_fields: "fw",
    piggybacked_reports: false,
    nodes: 2,
    workers: 8,
    slots: 4,
    zones: 2,
    kinds: 1,
    classes: 3,
    tenants: 0,
    requests_per_second: 100.0,
    seconds: 12,
    mean_work_ms: 120.0,
    max_queued_jobs: 16,
    memory_units: 8,
    report_interval_ms: 0,
    work_hints: false,
    large_jobs: false,
    key_count: 0,
    faults_per_thousand: 0,
    churn: false,
    mean_change_interval_ms: 600,
    class_hangs: false,
    node_restarts: false,
    polled_discovery: false,
    streamed_responses: false,
    starts_notified: false,
};

#[derive(Clone, Copy, Debug)]
struct Job {
    node: usize,
    request: u32,
    attempt: u8,
    slots: u32,
    work_ns: u64,
    /// Identifies the job when it ends.
    serial: u64,
}

#[derive(Clone, Debug)]
struct Worker {
    zone: u16,
    kind: u16,
    state: u8,
    started: u64,
    slots: u32,
    running: Vec<Job>,
    waiting: VecDeque<Job>,
    /// Jobs accepted while their class hangs. They never start.
    hanging: Vec<Job>,
    /// Class that hangs and the time at which the hang ends.
    hung_class: Option<(u16, u64)>,
    connections_refused_until: u64,
    /// Values of the last load report and when it was taken.
    report: Vec<f32>,
    reported_at: u64,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    worker: u32,
    sent: u64,
    ended: bool,
}

#[derive(Clone, Debug)]
struct Request {
    class: u16,
    slots: u32,
    work_ns: u64,
    ended: bool,
    attempts: Vec<Attempt>,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Arrival,
    ProbeArrives { node: usize, worker: u32, sent: u64 },
    ProbeEnds { node: usize, worker: u32, sent: u64, status: u8 },
    JobArrives { node: usize, request: u32, attempt: u8 },
    JobEnds { worker: u32, serial: u64 },
    Outcome { node: usize, request: u32, attempt: u8, status: u8 },
    CancelArrives { node: usize, request: u32, attempt: u8 },
    Started { node: usize, request: u32, attempt: u8 },
    StreamOpened { node: usize, request: u32, attempt: u8 },
    ClientLeaves { node: usize, request: u32 },
    Timer { node: usize, token: u64, incarnation: u64 },
    List { node: usize, kind: u8 },
    Change,
    WorkerReturns { worker: u32 },
    NodeRestarts,
}

/// Record of a run: the digest of its actions, their number by kind, and the events.
#[derive(Clone, Debug)]
pub struct Trace {
    pub digest: Fnv1a,
    pub bytes: u64,
    pub counts: [u64; ACTION_CODES.len()],
    /// Encoded events in order, with their times.
    pub events: Vec<(u64, Vec<u8>)>,
}

pub struct Simulation {
    scenario: Scenario,
    random: Pcg64Mcg,
    now: u64,
    /// Future steps by time and serial number, which orders simultaneous steps.
    steps: BTreeMap<(u64, u64), Step>,
    serial: u64,
    nodes: Vec<Dispatcher>,
    /// Number of restarts of each node. Timers of an earlier incarnation are dropped.
    incarnations: Vec<u64>,
    subscribed: Vec<bool>,
    workers: Vec<Worker>,
    requests: BTreeMap<(usize, u32), Request>,
    next_request: u32,
    trace: Trace,
}

impl Worker {
    fn busy_slots(&self) -> u32 {
        self.running.iter().map(|job| job.slots).sum()
    }
}

fn encode_record(code: u8, parts: &[&[u8]]) -> Vec<u8> {
    let fields = parts.concat();
    [&[code][..], &(fields.len() as u32).to_le_bytes(), &fields].concat()
}

/// Decodes one record as the adapter does.
pub fn decode_record(now: u64, record: &[u8]) -> Message {
    let mut header = [0; BATCH_HEADER_BYTES];
    header[..8].copy_from_slice(&now.to_le_bytes());
    header[8..12].copy_from_slice(&(record.len() as u32).to_le_bytes());
    header[12..].copy_from_slice(&1_u32.to_le_bytes());
    let messages = parse_batch(&BatchHeader::parse(&header), record).expect("a valid record");
    messages.into_iter().next().expect("one message").1
}

fn field_bytes<const N: usize>(fields: &[u8], from: usize) -> [u8; N] {
    fields[from..from + N].try_into().expect("a complete field")
}

impl Simulation {
    pub fn new(scenario: Scenario, seed: u64) -> Self {
        let mut simulation = Self {
            scenario,
            random: Pcg64Mcg::seed_from_u64(seed),
            now: START,
            steps: BTreeMap::new(),
            serial: 0,
            nodes: Vec::new(),
            incarnations: vec![0; scenario.nodes],
            subscribed: vec![!scenario.polled_discovery; scenario.nodes],
            workers: Vec::new(),
            requests: BTreeMap::new(),
            next_request: 0,
            trace: Trace { digest: Fnv1a::default(), bytes: 0, counts: [0; 9], events: Vec::new() },
        };
        for worker in 0..scenario.workers {
            simulation.workers.push(Worker {
                zone: (worker % u32::from(scenario.zones)) as u16,
                kind: (worker / 2 % u32::from(scenario.kinds)) as u16,
                state: READY,
                started: 0,
                slots: scenario.slots + worker % 2,
                running: Vec::new(),
                waiting: VecDeque::new(),
                hanging: Vec::new(),
                hung_class: None,
                connections_refused_until: 0,
                report: Vec::new(),
                reported_at: 0,
            });
        }
        for node in 0..scenario.nodes {
            let dispatcher = simulation.launch(node, seed * 1_000 + node as u64);
            simulation.nodes.push(dispatcher);
            simulation.schedule_after(0, Step::List { node, kind: LIST_CACHED });
        }
        simulation.schedule_after(10 * MILLISECOND, Step::Arrival);
        if scenario.churn || scenario.class_hangs {
            simulation.schedule_after(SECOND, Step::Change);
        }
        if scenario.node_restarts {
            simulation.schedule_after(4 * SECOND, Step::NodeRestarts);
        }
        simulation
    }

    /// Runs the scenario to its end and until no step is left.
    pub fn run(mut self) -> Trace {
        while let Some(((at, _), step)) = self.steps.pop_first() {
            self.now = at;
            self.run_step(step);
        }
        self.trace
    }

    fn launch(&mut self, node: usize, seed: u64) -> Dispatcher {
        let text = self.settings_text(node);
        let parts: [&[u8]; 4] = [
            &(node as u32).to_le_bytes(),
            &seed.to_le_bytes(),
            &(text.len() as u32).to_le_bytes(),
            text.as_bytes(),
        ];
        let bytes = encode_record(EVENT_LAUNCH, &parts);
        let message = decode_record(self.now, &bytes);
        self.trace.events.push((self.now, bytes));
        match message {
            Message::Launch(seed, settings) => Dispatcher::new(*settings, seed, Time(self.now)),
            other => panic!("expected a launch message, got {other:?}"),
        }
    }

    fn settings_text(&self, node: usize) -> String {
        let scenario = &self.scenario;
        let names: Vec<&str> = scenario.report_fields.chars().map(report_name).collect();
        let mut lines = vec![
            format!("instances={}", scenario.nodes),
            format!("locality={}", node % usize::from(scenario.zones)),
            format!("report.names={}", names.join(",")),
            format!("report.source={}", if scenario.piggybacked_reports { "piggyback" } else { "pull" }),
            format!("discovery={}", if scenario.polled_discovery { "ask" } else { "push" }),
            format!("domain.tellsStart={}", scenario.starts_notified),
            format!("classes.count={}", scenario.classes),
            format!("tenants.count={}", scenario.tenants),
            "domain.reportX0=free_slots\ndomain.reportX1=free_memory\ndomain.classStretch=1.25".to_owned(),
            "caps.probing=true\ncaps.cancelling=true\ncaps.retryAfter=true\ncaps.sendCap=3".to_owned(),
            "caps.maxRetryAfter=2000000000\ncaps.keepalive=10000000000\ntick=2000000".to_owned(),
            "invariants.stopSendingWithin=500000000\ninvariants.answerSlack=8000000".to_owned(),
            "invariants.askWithin=4000000000\ninvariants.coldFrom=0.2\ninvariants.warmUp=6000000000"
                .to_owned(),
            "invariants.tipMultiple=2.5\ninvariants.fall=2000000000".to_owned(),
        ];
        for tenant in 0..scenario.tenants {
            lines.push(format!("tenants.{tenant}.fraction={}", 1.0 / f64::from(scenario.tenants)));
            lines.push(format!("tenants.{tenant}.quotaRps=50"));
        }
        for class in 0..scenario.classes {
            let effect = ["read_like", "idempotency_key", "non_idempotent"][usize::from(class % 3)];
            let group = ["cell", "zone", "all"][usize::from(class / 3 % 3)];
            lines.push(format!("classes.{class}.effect={effect}\nclasses.{class}.group={group}"));
            lines.push(format!("classes.{class}.window=2500000000\nclasses.{class}.deadline=4000000000"));
            lines.push(format!("classes.{class}.onTime={}", 250_000_000 * (1 + u64::from(class))));
            lines.push(format!("classes.{class}.streamed={}", scenario.streamed_responses));
        }
        lines.push(scenario.settings.to_owned());
        lines.join("\n")
    }

    fn schedule_after(&mut self, delay: u64, step: Step) {
        self.serial += 1;
        self.steps.insert((self.now + delay, self.serial), step);
    }

    /// Returns the time after which no request arrives and no new change begins.
    fn end(&self) -> u64 {
        START + self.scenario.seconds * SECOND
    }

    fn draw_exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.random.random_range(0.0..1.0_f64)).ln()
    }

    fn network_delay(&mut self) -> u64 {
        self.random.random_range(200..900) * MICROSECOND
    }

    fn draw_fault(&mut self) -> bool {
        self.scenario.faults_per_thousand > 0
            && self.random.random_range(0..1000) < self.scenario.faults_per_thousand
    }

    /// Passes one event to a node, records its actions in the trace and executes them.
    fn handle_event(&mut self, node: usize, code: u8, fields: &[&[u8]]) {
        let instance = (node as u32).to_le_bytes();
        let parts: Vec<&[u8]> = [&instance[..]].into_iter().chain(fields.iter().copied()).collect();
        let bytes = encode_record(code, &parts);
        let message = decode_record(self.now, &bytes);
        self.trace.events.push((self.now, bytes));
        let Message::Event(event) = message else { panic!("expected an event, got {message:?}") };
        let mut actions = Vec::new();
        self.nodes[node].handle(Time(self.now), event, &mut actions);
        let mut reply = Reply::default();
        actions.iter().for_each(|action| reply.push(node as u32, action));
        let bytes = reply.take();
        self.trace.digest.update(&bytes);
        self.trace.bytes += bytes.len() as u64;
        let mut rest = &bytes[8..];
        while !rest.is_empty() {
            let size = u32::from_le_bytes(field_bytes(rest, 1)) as usize;
            self.execute_action(node, rest[0], &rest[9..5 + size]);
            rest = &rest[5 + size..];
        }
    }

    fn execute_action(&mut self, node: usize, code: u8, fields: &[u8]) {
        let kind = ACTION_CODES.iter().position(|known| *known == code).expect("a known action code");
        self.trace.counts[kind] += 1;
        let delay = self.network_delay();
        match code {
            SEND => {
                let request = u32::from_le_bytes(field_bytes(fields, 0));
                let worker = u32::from_le_bytes(field_bytes(fields, 12));
                let sent = self.now;
                let request_state = self.requests.get_mut(&(node, request)).expect("a known request");
                request_state.attempts.push(Attempt { worker, sent, ended: false });
                let attempt = (request_state.attempts.len() - 1) as u8;
                self.schedule_after(delay, Step::JobArrives { node, request, attempt });
            }
            REFUSE | FAIL => {
                let request = u32::from_le_bytes(field_bytes(fields, 0));
                self.requests.get_mut(&(node, request)).expect("a known request").ended = true;
            }
            CANCEL => {
                let request = u32::from_le_bytes(field_bytes(fields, 0));
                self.schedule_after(delay, Step::CancelArrives { node, request, attempt: fields[4] });
            }
            SET_TIMER => {
                let at = u64::from_le_bytes(field_bytes(fields, 0)).max(self.now);
                let token = u64::from_le_bytes(field_bytes(fields, 8));
                let incarnation = self.incarnations[node];
                self.schedule_after(at - self.now, Step::Timer { node, token, incarnation });
            }
            PROBE => {
                let worker = u32::from_le_bytes(field_bytes(fields, 0));
                self.schedule_after(delay, Step::ProbeArrives { node, worker, sent: self.now });
            }
            WATCH => {
                let failed = self.random.random_bool(0.4);
                let kind = if failed { LIST_FAILED } else { LIST_FULL };
                self.schedule_after(100 * MILLISECOND, Step::List { node, kind });
            }
            _ => {}
        }
    }

    fn run_step(&mut self, step: Step) {
        match step {
            Step::Arrival => self.request_arrives(),
            Step::ProbeArrives { node, worker, sent } => self.probe_arrives(node, worker, sent),
            Step::ProbeEnds { node, worker, sent, status } => {
                let report = if status == OK { self.encode_report(worker) } else { vec![0] };
                let latency = (self.now - sent).to_le_bytes();
                self.handle_event(node, EVENT_PROBED, &[&worker.to_le_bytes(), &[status], &latency, &report]);
            }
            Step::JobArrives { node, request, attempt } => self.job_arrives(node, request, attempt),
            Step::JobEnds { worker, serial } => self.job_ends(worker, serial),
            Step::Outcome { node, request, attempt, status } => self.outcome(node, request, attempt, status),
            Step::CancelArrives { node, request, attempt } => self.cancel_arrives(node, request, attempt),
            Step::Started { node, request, attempt } => self.report_progress(node, request, attempt),
            Step::StreamOpened { node, request, attempt } => {
                let Some(worker) = self.open_attempt(node, request, attempt) else { return };
                let fields: [&[u8]; 4] =
                    [&request.to_le_bytes(), &[attempt], &worker.to_le_bytes(), &5_u64.to_le_bytes()];
                self.handle_event(node, EVENT_STREAM_OPENED, &fields);
            }
            Step::ClientLeaves { node, request } => {
                let Some(request_state) = self.requests.get_mut(&(node, request)) else { return };
                if !request_state.ended {
                    request_state.ended = true;
                    self.handle_event(node, EVENT_CLIENT_GONE, &[&request.to_le_bytes()]);
                }
            }
            Step::Timer { node, token, incarnation } => {
                if self.incarnations[node] == incarnation {
                    self.handle_event(node, EVENT_TIMER_DUE, &[&token.to_le_bytes()]);
                }
            }
            Step::List { node, kind } => self.send_member_list(node, kind, None),
            Step::Change => self.apply_random_change(),
            Step::WorkerReturns { worker } => self.worker_returns(worker),
            Step::NodeRestarts => self.node_restarts(),
        }
    }

    fn request_arrives(&mut self) {
        if self.now >= self.end() {
            return;
        }
        let gap = self.draw_exponential(1.0 / self.scenario.requests_per_second);
        self.schedule_after((gap * SECOND as f64) as u64, Step::Arrival);
        let scenario = self.scenario;
        let node = self.random.random_range(0..scenario.nodes);
        let class = self.random.random_range(0..scenario.classes);
        let mut work = self.draw_exponential(scenario.mean_work_ms).max(1.0);
        let mut slots = 1;
        if scenario.large_jobs && self.random.random_bool(0.1) {
            if self.random.random_bool(0.5) {
                work *= 12.0;
            }
            slots = self.random.random_range(1..=scenario.slots + 2);
        }
        let work_ns = (work * MILLISECOND as f64) as u64;
        let request = self.next_request;
        self.next_request += 1;
        // A few keys are popular, most are rare.
        let key = if scenario.key_count == 0 || self.random.random_bool(0.2) {
            0
        } else {
            let uniform: f64 = self.random.random_range(0.0..1.0);
            1 + (uniform * uniform * scenario.key_count as f64) as u64
        };
        let tenant: u16 =
            if scenario.tenants > 0 { self.random.random_range(0..scenario.tenants) } else { 0 };
        let time_left = if self.random.random_bool(0.1) { SECOND / 2 } else { 4 * SECOND };
        let repeat = self.random.random_bool(0.1);
        let request_state = Request { class, slots, work_ns, ended: false, attempts: Vec::new() };
        self.requests.insert((node, request), request_state);
        let flags = u8::from(scenario.work_hints) | u8::from(repeat) << 1;
        // A hint is off by up to 30 %.
        let hint = if scenario.work_hints {
            (work_ns as f64 * self.random.random_range(0.7..1.3)) as u64
        } else {
            0
        };
        let memory = if scenario.report_fields.contains('m') { 1.0_f32 } else { 0.0 };
        let fields: [&[u8]; 9] = [
            &request.to_le_bytes(),
            &class.to_le_bytes(),
            &hint.to_le_bytes(),
            &key.to_le_bytes(),
            &tenant.to_le_bytes(),
            &time_left.to_le_bytes(),
            &[flags],
            &(slots as f32).to_le_bytes(),
            &memory.to_le_bytes(),
        ];
        if self.random.random_bool(0.03) {
            let delay = self.random.random_range(0..SECOND);
            self.schedule_after(delay, Step::ClientLeaves { node, request });
        }
        self.handle_event(node, EVENT_REQUEST, &fields);
    }

    fn probe_arrives(&mut self, node: usize, worker: u32, sent: u64) {
        let delay = self.network_delay();
        let worker_state = &self.workers[worker as usize];
        if worker_state.state == GONE || self.now < worker_state.connections_refused_until {
            return self
                .schedule_after(delay, Step::ProbeEnds { node, worker, sent, status: CONNECT_FAILED });
        }
        if !self.draw_fault() {
            return self.schedule_after(delay, Step::ProbeEnds { node, worker, sent, status: OK });
        }
        let (status, delay) = [(TIMEOUT, 100 * MILLISECOND), (RESET, delay), (OK, 60 * MILLISECOND)]
            [self.random.random_range(0..3)];
        self.schedule_after(delay, Step::ProbeEnds { node, worker, sent, status });
    }

    /// Encodes the load report of a worker, and takes a new one if the last is too old.
    fn encode_report(&mut self, worker: u32) -> Vec<u8> {
        let now = self.now;
        let max_age = self.scenario.report_interval_ms * MILLISECOND;
        let units = self.scenario.memory_units;
        let worker_state = &mut self.workers[worker as usize];
        if worker_state.report.is_empty() || now >= worker_state.reported_at + max_age {
            let busy = worker_state.busy_slots();
            let value = |field: char| match field {
                'f' => worker_state.slots.saturating_sub(busy) as f32,
                'm' => units.saturating_sub(busy) as f32,
                'w' => worker_state.waiting.len() as f32,
                'a' => (worker_state.running.len() + worker_state.waiting.len()) as f32,
                _ => busy as f32 / worker_state.slots as f32,
            };
            worker_state.report = self.scenario.report_fields.chars().map(value).collect();
            worker_state.reported_at = now;
        }
        let values = worker_state.report.iter().flat_map(|value| value.to_le_bytes());
        [worker_state.report.len() as u8].into_iter().chain(values).collect()
    }

    /// Returns the worker of an attempt without an outcome.
    fn open_attempt(&self, node: usize, request: u32, attempt: u8) -> Option<u32> {
        let attempt = self.requests.get(&(node, request))?.attempts.get(usize::from(attempt))?;
        (!attempt.ended).then_some(attempt.worker)
    }

    fn job_arrives(&mut self, node: usize, request: u32, attempt: u8) {
        let Some(worker) = self.open_attempt(node, request, attempt) else { return };
        let delay = self.network_delay();
        let outcome = |status| Step::Outcome { node, request, attempt, status };
        let worker_state = &self.workers[worker as usize];
        if worker_state.state == GONE || self.now < worker_state.connections_refused_until {
            return self.schedule_after(delay, outcome(CONNECT_FAILED));
        }
        if self.draw_fault() {
            let faults = [
                (ERROR, 20 * MILLISECOND),
                (TIMEOUT, 900 * MILLISECOND),
                (RESET, 1_500 * MILLISECOND), // A lost connection: no answer until the reset.
                (RESET, delay),
                (MOOT, delay),
            ];
            let (status, delay) = faults[self.random.random_range(0..faults.len())];
            return self.schedule_after(delay, outcome(status));
        }
        let Request { class, slots, work_ns, .. } = self.requests[&(node, request)];
        self.serial += 1;
        let job = Job { node, request, attempt, slots, work_ns, serial: self.serial };
        let limit = self.scenario.max_queued_jobs;
        let worker_state = &mut self.workers[worker as usize];
        if worker_state.hung_class.is_some_and(|(hung, until)| hung == class && self.now < until) {
            worker_state.hanging.push(job);
        } else if slots > worker_state.slots
            || worker_state.waiting.len() >= limit && worker_state.busy_slots() + slots > worker_state.slots
        {
            self.schedule_after(delay, outcome(FULL));
        } else {
            worker_state.waiting.push_back(job);
            self.start_jobs(worker);
        }
    }

    /// Starts queued jobs in order while the first one fits. A first job that does not fit is removed from the queue
    /// and gets no outcome.
    fn start_jobs(&mut self, worker: u32) {
        loop {
            let now = self.now;
            let worker_state = &mut self.workers[worker as usize];
            let busy = worker_state.busy_slots();
            let fits = worker_state.waiting.front().is_some_and(|job| busy + job.slots <= worker_state.slots);
            let Some(job) = worker_state.waiting.pop_front().filter(|_| fits) else {
                return;
            };
            worker_state.running.push(job);
            let age = (now - worker_state.started) as f64 / (6 * SECOND) as f64;
            let warm_capacity = (0.2 + 0.8 * age).min(1.0);
            let speed = warm_capacity * (1.0 + 0.5 * f64::from(worker_state.kind));
            let run_time_ns = (job.work_ns as f64 / speed) as u64;
            let Job { node, request, attempt, serial, .. } = job;
            self.schedule_after(run_time_ns, Step::JobEnds { worker, serial });
            let delay = self.network_delay();
            if self.scenario.starts_notified {
                self.schedule_after(delay, Step::Started { node, request, attempt });
            }
            if self.scenario.streamed_responses && self.random.random_bool(0.5) {
                self.schedule_after(delay + MILLISECOND, Step::StreamOpened { node, request, attempt });
            }
        }
    }

    fn report_progress(&mut self, node: usize, request: u32, attempt: u8) {
        let Some(worker) = self.open_attempt(node, request, attempt) else { return };
        for (note, done) in [(NOTE_STARTED, 0.0_f32), (NOTE_PROGRESS, 0.25)] {
            let fields: [&[u8]; 5] =
                [&request.to_le_bytes(), &[attempt], &worker.to_le_bytes(), &[note], &done.to_le_bytes()];
            self.handle_event(node, EVENT_NOTE, &fields);
        }
    }

    fn job_ends(&mut self, worker: u32, serial: u64) {
        let worker_state = &mut self.workers[worker as usize];
        let Some(at) = worker_state.running.iter().position(|job| job.serial == serial) else { return };
        let job = worker_state.running.remove(at);
        self.start_jobs(worker);
        let delay = self.network_delay();
        let Job { node, request, attempt, .. } = job;
        self.schedule_after(delay, Step::Outcome { node, request, attempt, status: OK });
    }

    fn outcome(&mut self, node: usize, request: u32, attempt: u8, status: u8) {
        let Some(worker) = self.open_attempt(node, request, attempt) else { return };
        let report = if self.scenario.piggybacked_reports && matches!(status, OK | ERROR | FULL) {
            self.encode_report(worker)
        } else {
            vec![0]
        };
        let request_state = self.requests.get_mut(&(node, request)).expect("a known request");
        let attempt_state = &mut request_state.attempts[usize::from(attempt)];
        attempt_state.ended = true;
        let latency = (self.now - attempt_state.sent).to_le_bytes();
        request_state.ended |= status == OK;
        let closed = u8::from(request_state.ended);
        let head: [&[u8]; 4] = [&request.to_le_bytes(), &[attempt], &latency, &[closed]];
        let tail: [&[u8]; 4] = [&worker.to_le_bytes(), &[status], &[0; 4], &report];
        self.handle_event(node, EVENT_OUTCOME, &[&head[..], &tail[..]].concat());
    }

    fn cancel_arrives(&mut self, node: usize, request: u32, attempt: u8) {
        let Some(worker) = self.open_attempt(node, request, attempt) else { return };
        let is_other = |job: &Job| (job.node, job.request, job.attempt) != (node, request, attempt);
        let worker_state = &mut self.workers[worker as usize];
        worker_state.running.retain(is_other);
        worker_state.waiting.retain(is_other);
        worker_state.hanging.retain(is_other);
        self.start_jobs(worker);
        let delay = self.network_delay();
        self.schedule_after(delay, Step::Outcome { node, request, attempt, status: CANCELLED });
    }

    /// Sends a member list of one worker, or of all of them if `only_worker` is `None`.
    fn send_member_list(&mut self, node: usize, kind: u8, only_worker: Option<u32>) {
        if kind == LIST_FAILED {
            self.subscribed[node] = false;
        } else if kind == LIST_FULL {
            self.subscribed[node] = true;
        }
        let mut entries = Vec::new();
        let mut count = 0_u32;
        for (worker, worker_state) in self.workers.iter().enumerate() {
            let skipped = only_worker.is_some_and(|only| only as usize != worker);
            // Complete lists leave out the workers that are gone.
            if kind == LIST_FAILED || skipped || (kind != LIST_DELTA && worker_state.state == GONE) {
                continue;
            }
            count += 1;
            entries.extend((worker as u32).to_le_bytes());
            entries.extend(worker_state.zone.to_le_bytes());
            entries.extend(worker_state.kind.to_le_bytes());
            entries.extend(((worker % 4) as u16).to_le_bytes());
            entries.push(worker_state.state);
            entries.extend(1_f32.to_le_bytes());
            entries.extend(worker_state.started.to_le_bytes());
        }
        self.handle_event(
            node,
            EVENT_MEMBERS,
            &[&[kind], &1_u32.to_le_bytes(), &count.to_le_bytes(), &entries],
        );
    }

    /// Resets the connections of all jobs at a worker.
    fn reset_jobs(&mut self, worker: u32) {
        let worker_state = &mut self.workers[worker as usize];
        let mut lost = std::mem::take(&mut worker_state.running);
        lost.extend(worker_state.waiting.drain(..));
        lost.append(&mut worker_state.hanging);
        for Job { node, request, attempt, .. } in lost {
            let delay = self.network_delay();
            self.schedule_after(delay, Step::Outcome { node, request, attempt, status: RESET });
        }
    }

    /// Applies one random change to a worker or to discovery.
    fn apply_random_change(&mut self) {
        if self.now >= self.end() {
            return;
        }
        let interval_ms = self.scenario.mean_change_interval_ms;
        let gap = self.random.random_range(interval_ms / 2..interval_ms * 3 / 2) * MILLISECOND;
        self.schedule_after(gap, Step::Change);
        let now = self.now;
        let worker = self.random.random_range(0..self.workers.len()) as u32;
        if self.scenario.class_hangs && self.random.random_bool(0.5) {
            let class = self.random.random_range(0..self.scenario.classes);
            let worker_state = &mut self.workers[worker as usize];
            worker_state.hung_class = Some((class, now + 3 * SECOND));
            return;
        }
        if !self.scenario.churn {
            return;
        }
        let downtime = self.random.random_range(interval_ms / 2..interval_ms * 6) * MILLISECOND;
        match self.random.random_range(0..6) {
            0 => {
                self.workers[worker as usize].state = DRAINING;
                self.schedule_after(downtime, Step::WorkerReturns { worker });
            }
            1 => {
                self.workers[worker as usize].state = GONE;
                self.reset_jobs(worker);
                self.schedule_after(downtime, Step::WorkerReturns { worker });
            }
            2 => {
                // The worker restarts, and no member list announces it.
                let worker_state = &mut self.workers[worker as usize];
                (worker_state.connections_refused_until, worker_state.started) =
                    (now + downtime, now + downtime);
                self.reset_jobs(worker);
                return;
            }
            3 => {
                let node = self.random.random_range(0..self.nodes.len());
                return self.send_member_list(node, LIST_FAILED, None);
            }
            _ => {
                self.workers[worker as usize].started = now;
                self.reset_jobs(worker);
            }
        }
        self.announce_worker(worker);
    }

    /// Announces a changed worker to the subscribed nodes.
    fn announce_worker(&mut self, worker: u32) {
        for node in 0..self.nodes.len() {
            if self.subscribed[node] {
                let complete = self.random.random_bool(0.2);
                let kind = if complete { LIST_FULL } else { LIST_DELTA };
                self.send_member_list(node, kind, (!complete).then_some(worker));
            }
        }
    }

    fn worker_returns(&mut self, worker: u32) {
        let now = self.now;
        let worker_state = &mut self.workers[worker as usize];
        if worker_state.state == GONE {
            worker_state.started = now;
        }
        worker_state.state = READY;
        self.announce_worker(worker);
    }

    fn node_restarts(&mut self) {
        let node = self.random.random_range(0..self.nodes.len());
        self.incarnations[node] += 1;
        let lost_requests: Vec<u32> =
            self.requests.range((node, 0)..=(node, u32::MAX)).map(|((_, request), _)| *request).collect();
        for request in lost_requests {
            self.requests.remove(&(node, request));
        }
        for worker in &mut self.workers {
            worker.running.retain(|job| job.node != node);
            worker.waiting.retain(|job| job.node != node);
            worker.hanging.retain(|job| job.node != node);
        }
        self.subscribed[node] = !self.scenario.polled_discovery;
        let seed = self.random.random();
        self.nodes[node] = self.launch(node, seed);
        self.send_member_list(node, LIST_CACHED, None);
        if self.now + 4 * SECOND < self.end() {
            self.schedule_after(4 * SECOND, Step::NodeRestarts);
        }
    }
}

fn report_name(field: char) -> &'static str {
    match field {
        'f' => "x0",
        'm' => "x1",
        'w' => "waiting",
        'a' => "active",
        _ => "cpu",
    }
}
