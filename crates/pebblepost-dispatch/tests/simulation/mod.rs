//! A seeded simulation of dispatchers and workers that answers the decision module's own actions.
//!
//! Events go in and actions come out as records of the bench's wire protocol, so that the trace is a sequence of
//! bytes that depends on no name in the code.

use pebblepost_dispatch::Dispatcher;
use pebblepost_dispatch::api::Time;
use pebblepost_dispatch::wire::{BATCH_HEADER, BatchHeader, Message, Reply, parse_batch};
use pebblepost_stable_hash::Fnv1a;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};

const MICROSECOND: u64 = 1_000;
const MILLISECOND: u64 = 1_000_000;
const SECOND: u64 = 1_000_000_000;
const START: u64 = 1_000 * SECOND;

/// Codes of the actions on the wire, in the order in which the approved file counts them.
pub const ACTION_CODES: [u8; 9] = [10, 20, 30, 40, 50, 60, 70, 110, 120];
const SEND: u8 = 10;
const REFUSE: u8 = 20;
const FAIL: u8 = 30;
const CANCEL: u8 = 40;
const SET_TIMER: u8 = 50;
const PROBE: u8 = 60;
const WATCH: u8 = 110;

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

/// What one simulated run is made of.
#[derive(Clone, Copy, Debug)]
#[expect(clippy::struct_excessive_bools, reason = "each turns one feature of a scenario on")]
pub struct Scenario {
    pub name: &'static str,
    /// Lines of the launch message, added to the usual ones.
    pub settings: &'static str,
    /// Values of a load report: `f` free slots, `m` free memory, `w` waiting, `a` active, `c` processor use.
    pub report: &'static str,
    /// Reports come with outcomes, too.
    pub piggyback: bool,
    pub nodes: usize,
    pub workers: u32,
    pub slots: u32,
    pub zones: u16,
    pub kinds: u16,
    pub classes: u16,
    pub tenants: u16,
    /// Requests a second over all nodes.
    pub rate: f64,
    pub seconds: u64,
    pub mean_work_ms: f64,
    /// Longest queue of a worker; who comes after is rejected.
    pub queue_limit: usize,
    /// Memory units of a worker; each busy slot takes one.
    pub memory_units: u32,
    /// Age that load reports may reach.
    pub report_every_ms: u64,
    pub hints: bool,
    /// Some jobs take several slots, or far more work than most.
    pub large_jobs: bool,
    /// Keys that jobs are about; 0: none.
    pub keys: u64,
    /// Faults of probes, connections and jobs, in a thousand.
    pub faults: u32,
    /// Workers restart, drain, come and go; discovery fails.
    pub churn: bool,
    /// Mean time between two changes.
    pub change_every_ms: u64,
    /// A worker hangs on jobs of one class for a while.
    pub hangs: bool,
    /// Nodes restart and lose what they have learned.
    pub node_restarts: bool,
    pub asked_discovery: bool,
    pub streamed: bool,
    pub starts_notified: bool,
}

pub const CALM: Scenario = Scenario {
    name: "calm",
    settings: "",
    report: "fw",
    piggyback: false,
    nodes: 2,
    workers: 8,
    slots: 4,
    zones: 2,
    kinds: 1,
    classes: 3,
    tenants: 0,
    rate: 100.0,
    seconds: 12,
    mean_work_ms: 120.0,
    queue_limit: 16,
    memory_units: 8,
    report_every_ms: 0,
    hints: false,
    large_jobs: false,
    keys: 0,
    faults: 0,
    churn: false,
    change_every_ms: 600,
    hangs: false,
    node_restarts: false,
    asked_discovery: false,
    streamed: false,
    starts_notified: false,
};

#[derive(Clone, Copy, Debug)]
struct Job {
    node: usize,
    request: u32,
    attempt: u8,
    slots: u32,
    work_ns: u64,
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
    hanging: Vec<Job>,
    hangs_on: Option<(u16, u64)>,
    refuses_until: u64,
    snapshot: Vec<f32>,
    snapshot_at: u64,
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

/// What a run leaves: the digest of its actions, and how many there were of each kind.
#[derive(Clone, Debug)]
pub struct Trace {
    pub digest: Fnv1a,
    pub bytes: u64,
    pub counts: [u64; ACTION_CODES.len()],
    /// Every record that went in, with its time.
    pub events: Vec<(u64, Vec<u8>)>,
}

pub struct Simulation {
    scenario: Scenario,
    random: Pcg64Mcg,
    now: u64,
    steps: BTreeMap<(u64, u64), Step>,
    serial: u64,
    nodes: Vec<Dispatcher>,
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

fn record(code: u8, parts: &[&[u8]]) -> Vec<u8> {
    let fields = parts.concat();
    [&[code][..], &(fields.len() as u32).to_le_bytes(), &fields].concat()
}

/// Reads one record as the adapter does.
pub fn parse_one(now: u64, record: &[u8]) -> Message {
    let mut header = [0; BATCH_HEADER];
    header[..8].copy_from_slice(&now.to_le_bytes());
    header[8..12].copy_from_slice(&(record.len() as u32).to_le_bytes());
    header[12..].copy_from_slice(&1_u32.to_le_bytes());
    let messages = parse_batch(&BatchHeader::parse(&header), record).expect("a valid record");
    messages.into_iter().next().expect("one message").1
}

fn number<const N: usize>(fields: &[u8], from: usize) -> [u8; N] {
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
            subscribed: vec![!scenario.asked_discovery; scenario.nodes],
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
                hangs_on: None,
                refuses_until: 0,
                snapshot: Vec::new(),
                snapshot_at: 0,
            });
        }
        for node in 0..scenario.nodes {
            let dispatcher = simulation.launch(node, seed * 1_000 + node as u64);
            simulation.nodes.push(dispatcher);
            simulation.after(0, Step::List { node, kind: LIST_CACHED });
        }
        simulation.after(10 * MILLISECOND, Step::Arrival);
        if scenario.churn || scenario.hangs {
            simulation.after(SECOND, Step::Change);
        }
        if scenario.node_restarts {
            simulation.after(4 * SECOND, Step::NodeRestarts);
        }
        simulation
    }

    /// Plays the scenario to its end and until every request is answered.
    pub fn run(mut self) -> Trace {
        while let Some(((at, _), step)) = self.steps.pop_first() {
            self.now = at;
            self.step(step);
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
        let bytes = record(90, &parts);
        let message = parse_one(self.now, &bytes);
        self.trace.events.push((self.now, bytes));
        match message {
            Message::Launch(seed, settings) => Dispatcher::new(*settings, seed, Time(self.now)),
            other => panic!("no launch: {other:?}"),
        }
    }

    fn settings_text(&self, node: usize) -> String {
        let scenario = &self.scenario;
        let names: Vec<&str> = scenario.report.chars().map(report_name).collect();
        let mut lines = vec![
            format!("instances={}", scenario.nodes),
            format!("locality={}", node % usize::from(scenario.zones)),
            format!("report.names={}", names.join(",")),
            format!("report.source={}", if scenario.piggyback { "piggyback" } else { "pull" }),
            format!("discovery={}", if scenario.asked_discovery { "ask" } else { "push" }),
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
            lines.push(format!("classes.{class}.streamed={}", scenario.streamed));
        }
        lines.push(scenario.settings.to_owned());
        lines.join("\n")
    }

    fn after(&mut self, delay: u64, step: Step) {
        self.serial += 1;
        self.steps.insert((self.now + delay, self.serial), step);
    }

    fn end(&self) -> u64 {
        START + self.scenario.seconds * SECOND
    }

    fn draw_exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.random.random_range(0.0..1.0_f64)).ln()
    }

    fn network_delay(&mut self) -> u64 {
        self.random.random_range(200..900) * MICROSECOND
    }

    fn fault(&mut self) -> bool {
        self.scenario.faults > 0 && self.random.random_range(0..1000) < self.scenario.faults
    }

    /// Hands one record to a node, notes what it does and carries it out.
    fn event(&mut self, node: usize, code: u8, fields: &[&[u8]]) {
        let instance = (node as u32).to_le_bytes();
        let parts: Vec<&[u8]> = [&instance[..]].into_iter().chain(fields.iter().copied()).collect();
        let bytes = record(code, &parts);
        let message = parse_one(self.now, &bytes);
        self.trace.events.push((self.now, bytes));
        let Message::Event(event) = message else { panic!("no event: {message:?}") };
        let mut actions = Vec::new();
        self.nodes[node].handle(Time(self.now), event, &mut actions);
        let mut reply = Reply::default();
        actions.iter().for_each(|action| reply.push(node as u32, action));
        let bytes = reply.take();
        self.trace.digest.update(&bytes);
        self.trace.bytes += bytes.len() as u64;
        let mut rest = &bytes[8..];
        while !rest.is_empty() {
            let size = u32::from_le_bytes(number(rest, 1)) as usize;
            self.carry_out(node, rest[0], &rest[9..5 + size]);
            rest = &rest[5 + size..];
        }
    }

    fn carry_out(&mut self, node: usize, code: u8, fields: &[u8]) {
        let kind = ACTION_CODES.iter().position(|known| *known == code).expect("a known action");
        self.trace.counts[kind] += 1;
        let delay = self.network_delay();
        match code {
            SEND => {
                let request = u32::from_le_bytes(number(fields, 0));
                let worker = u32::from_le_bytes(number(fields, 12));
                let sent = self.now;
                let known = self.requests.get_mut(&(node, request)).expect("a known request");
                known.attempts.push(Attempt { worker, sent, ended: false });
                let attempt = (known.attempts.len() - 1) as u8;
                self.after(delay, Step::JobArrives { node, request, attempt });
            }
            REFUSE | FAIL => {
                let request = u32::from_le_bytes(number(fields, 0));
                self.requests.get_mut(&(node, request)).expect("a known request").ended = true;
            }
            CANCEL => {
                let request = u32::from_le_bytes(number(fields, 0));
                self.after(delay, Step::CancelArrives { node, request, attempt: fields[4] });
            }
            SET_TIMER => {
                let at = u64::from_le_bytes(number(fields, 0)).max(self.now);
                let token = u64::from_le_bytes(number(fields, 8));
                let incarnation = self.incarnations[node];
                self.after(at - self.now, Step::Timer { node, token, incarnation });
            }
            PROBE => {
                let worker = u32::from_le_bytes(number(fields, 0));
                self.after(delay, Step::ProbeArrives { node, worker, sent: self.now });
            }
            WATCH => {
                let failed = self.random.random_bool(0.4);
                let kind = if failed { LIST_FAILED } else { LIST_FULL };
                self.after(100 * MILLISECOND, Step::List { node, kind });
            }
            _ => {}
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Arrival => self.arrival(),
            Step::ProbeArrives { node, worker, sent } => self.probe_arrives(node, worker, sent),
            Step::ProbeEnds { node, worker, sent, status } => {
                let report = if status == OK { self.report(worker) } else { vec![0] };
                let latency = (self.now - sent).to_le_bytes();
                self.event(node, 60, &[&worker.to_le_bytes(), &[status], &latency, &report]);
            }
            Step::JobArrives { node, request, attempt } => self.job_arrives(node, request, attempt),
            Step::JobEnds { worker, serial } => self.job_ends(worker, serial),
            Step::Outcome { node, request, attempt, status } => self.outcome(node, request, attempt, status),
            Step::CancelArrives { node, request, attempt } => self.cancel_arrives(node, request, attempt),
            Step::Started { node, request, attempt } => self.note(node, request, attempt),
            Step::StreamOpened { node, request, attempt } => {
                let Some(worker) = self.open_attempt(node, request, attempt) else { return };
                let fields: [&[u8]; 4] =
                    [&request.to_le_bytes(), &[attempt], &worker.to_le_bytes(), &5_u64.to_le_bytes()];
                self.event(node, 110, &fields);
            }
            Step::ClientLeaves { node, request } => {
                let Some(known) = self.requests.get_mut(&(node, request)) else { return };
                if !known.ended {
                    known.ended = true;
                    self.event(node, 40, &[&request.to_le_bytes()]);
                }
            }
            Step::Timer { node, token, incarnation } => {
                if self.incarnations[node] == incarnation {
                    self.event(node, 10, &[&token.to_le_bytes()]);
                }
            }
            Step::List { node, kind } => self.list(node, kind, None),
            Step::Change => self.change(),
            Step::WorkerReturns { worker } => self.worker_returns(worker),
            Step::NodeRestarts => self.node_restarts(),
        }
    }

    fn arrival(&mut self) {
        if self.now >= self.end() {
            return;
        }
        let gap = self.draw_exponential(1.0 / self.scenario.rate);
        self.after((gap * SECOND as f64) as u64, Step::Arrival);
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
        // Few keys are asked for often, many seldom.
        let key = if scenario.keys == 0 || self.random.random_bool(0.2) {
            0
        } else {
            let place: f64 = self.random.random_range(0.0..1.0);
            1 + (place * place * scenario.keys as f64) as u64
        };
        let tenant: u16 =
            if scenario.tenants > 0 { self.random.random_range(0..scenario.tenants) } else { 0 };
        let time_left = if self.random.random_bool(0.1) { SECOND / 2 } else { 4 * SECOND };
        let repeat = self.random.random_bool(0.1);
        let known = Request { class, slots, work_ns, ended: false, attempts: Vec::new() };
        self.requests.insert((node, request), known);
        let marks = u8::from(scenario.hints) | u8::from(repeat) << 1;
        // Hints are rough.
        let hint =
            if scenario.hints { (work_ns as f64 * self.random.random_range(0.7..1.3)) as u64 } else { 0 };
        let memory = if scenario.report.contains('m') { 1.0_f32 } else { 0.0 };
        let fields: [&[u8]; 9] = [
            &request.to_le_bytes(),
            &class.to_le_bytes(),
            &hint.to_le_bytes(),
            &key.to_le_bytes(),
            &tenant.to_le_bytes(),
            &time_left.to_le_bytes(),
            &[marks],
            &(slots as f32).to_le_bytes(),
            &memory.to_le_bytes(),
        ];
        if self.random.random_bool(0.03) {
            let delay = self.random.random_range(0..SECOND);
            self.after(delay, Step::ClientLeaves { node, request });
        }
        self.event(node, 20, &fields);
    }

    fn probe_arrives(&mut self, node: usize, worker: u32, sent: u64) {
        let delay = self.network_delay();
        let known = &self.workers[worker as usize];
        if known.state == GONE || self.now < known.refuses_until {
            return self.after(delay, Step::ProbeEnds { node, worker, sent, status: CONNECT_FAILED });
        }
        if !self.fault() {
            return self.after(delay, Step::ProbeEnds { node, worker, sent, status: OK });
        }
        let (status, delay) = [(TIMEOUT, 100 * MILLISECOND), (RESET, delay), (OK, 60 * MILLISECOND)]
            [self.random.random_range(0..3)];
        self.after(delay, Step::ProbeEnds { node, worker, sent, status });
    }

    fn report(&mut self, worker: u32) -> Vec<u8> {
        let now = self.now;
        let age = self.scenario.report_every_ms * MILLISECOND;
        let units = self.scenario.memory_units;
        let known = &mut self.workers[worker as usize];
        if known.snapshot.is_empty() || now >= known.snapshot_at + age {
            let busy = known.busy_slots();
            let value = |field: char| match field {
                'f' => known.slots.saturating_sub(busy) as f32,
                'm' => units.saturating_sub(busy) as f32,
                'w' => known.waiting.len() as f32,
                'a' => (known.running.len() + known.waiting.len()) as f32,
                _ => busy as f32 / known.slots as f32,
            };
            known.snapshot = self.scenario.report.chars().map(value).collect();
            known.snapshot_at = now;
        }
        let values = known.snapshot.iter().flat_map(|value| value.to_le_bytes());
        [known.snapshot.len() as u8].into_iter().chain(values).collect()
    }

    fn open_attempt(&self, node: usize, request: u32, attempt: u8) -> Option<u32> {
        let known = self.requests.get(&(node, request))?.attempts.get(usize::from(attempt))?;
        (!known.ended).then_some(known.worker)
    }

    fn job_arrives(&mut self, node: usize, request: u32, attempt: u8) {
        let Some(worker) = self.open_attempt(node, request, attempt) else { return };
        let delay = self.network_delay();
        let outcome = |status| Step::Outcome { node, request, attempt, status };
        let known = &self.workers[worker as usize];
        if known.state == GONE || self.now < known.refuses_until {
            return self.after(delay, outcome(CONNECT_FAILED));
        }
        if self.fault() {
            let faults = [
                (ERROR, 20 * MILLISECOND),
                (TIMEOUT, 900 * MILLISECOND),
                (RESET, 1_500 * MILLISECOND), // The connection was lost: nothing is heard until it breaks.
                (RESET, delay),
                (MOOT, delay),
            ];
            let (status, delay) = faults[self.random.random_range(0..faults.len())];
            return self.after(delay, outcome(status));
        }
        let Request { class, slots, work_ns, .. } = self.requests[&(node, request)];
        self.serial += 1;
        let job = Job { node, request, attempt, slots, work_ns, serial: self.serial };
        let limit = self.scenario.queue_limit;
        let known = &mut self.workers[worker as usize];
        if known.hangs_on.is_some_and(|(hung, until)| hung == class && self.now < until) {
            known.hanging.push(job);
        } else if slots > known.slots
            || known.waiting.len() >= limit && known.busy_slots() + slots > known.slots
        {
            self.after(delay, outcome(FULL));
        } else {
            known.waiting.push_back(job);
            self.start_jobs(worker);
        }
    }

    /// Starts the jobs that fit, in order.
    fn start_jobs(&mut self, worker: u32) {
        loop {
            let now = self.now;
            let known = &mut self.workers[worker as usize];
            let busy = known.busy_slots();
            let fits = known.waiting.front().is_some_and(|job| busy + job.slots <= known.slots);
            let Some(job) = known.waiting.pop_front().filter(|_| fits) else {
                return;
            };
            known.running.push(job);
            let age = (now - known.started) as f64 / (6 * SECOND) as f64;
            let warm = (0.2 + 0.8 * age).min(1.0);
            let speed = warm * (1.0 + 0.5 * f64::from(known.kind));
            let took = (job.work_ns as f64 / speed) as u64;
            let Job { node, request, attempt, serial, .. } = job;
            self.after(took, Step::JobEnds { worker, serial });
            let delay = self.network_delay();
            if self.scenario.starts_notified {
                self.after(delay, Step::Started { node, request, attempt });
            }
            if self.scenario.streamed && self.random.random_bool(0.5) {
                self.after(delay + MILLISECOND, Step::StreamOpened { node, request, attempt });
            }
        }
    }

    fn note(&mut self, node: usize, request: u32, attempt: u8) {
        let Some(worker) = self.open_attempt(node, request, attempt) else { return };
        for (note, done) in [(1_u8, 0.0_f32), (2, 0.25)] {
            let fields: [&[u8]; 5] =
                [&request.to_le_bytes(), &[attempt], &worker.to_le_bytes(), &[note], &done.to_le_bytes()];
            self.event(node, 100, &fields);
        }
    }

    fn job_ends(&mut self, worker: u32, serial: u64) {
        let known = &mut self.workers[worker as usize];
        let Some(at) = known.running.iter().position(|job| job.serial == serial) else { return };
        let job = known.running.remove(at);
        self.start_jobs(worker);
        let delay = self.network_delay();
        let Job { node, request, attempt, .. } = job;
        self.after(delay, Step::Outcome { node, request, attempt, status: OK });
    }

    fn outcome(&mut self, node: usize, request: u32, attempt: u8, status: u8) {
        let Some(worker) = self.open_attempt(node, request, attempt) else { return };
        let report = if self.scenario.piggyback && matches!(status, OK | ERROR | FULL) {
            self.report(worker)
        } else {
            vec![0]
        };
        let known = self.requests.get_mut(&(node, request)).expect("a known request");
        let ended = &mut known.attempts[usize::from(attempt)];
        ended.ended = true;
        let latency = (self.now - ended.sent).to_le_bytes();
        known.ended |= status == OK;
        let closed = u8::from(known.ended);
        let head: [&[u8]; 4] = [&request.to_le_bytes(), &[attempt], &latency, &[closed]];
        let tail: [&[u8]; 4] = [&worker.to_le_bytes(), &[status], &[0; 4], &report];
        self.event(node, 80, &[&head[..], &tail[..]].concat());
    }

    fn cancel_arrives(&mut self, node: usize, request: u32, attempt: u8) {
        let Some(worker) = self.open_attempt(node, request, attempt) else { return };
        let other = |job: &Job| (job.node, job.request, job.attempt) != (node, request, attempt);
        let known = &mut self.workers[worker as usize];
        known.running.retain(other);
        known.waiting.retain(other);
        known.hanging.retain(other);
        self.start_jobs(worker);
        let delay = self.network_delay();
        self.after(delay, Step::Outcome { node, request, attempt, status: CANCELLED });
    }

    fn list(&mut self, node: usize, kind: u8, only: Option<u32>) {
        if kind == LIST_FAILED {
            self.subscribed[node] = false;
        } else if kind == LIST_FULL {
            self.subscribed[node] = true;
        }
        let mut entries = Vec::new();
        let mut count = 0_u32;
        for (worker, known) in self.workers.iter().enumerate() {
            let skipped = only.is_some_and(|only| only as usize != worker);
            // Whoever is gone is not on complete lists.
            if kind == LIST_FAILED || skipped || (kind != LIST_DELTA && known.state == GONE) {
                continue;
            }
            count += 1;
            entries.extend((worker as u32).to_le_bytes());
            entries.extend(known.zone.to_le_bytes());
            entries.extend(known.kind.to_le_bytes());
            entries.extend(((worker % 4) as u16).to_le_bytes());
            entries.push(known.state);
            entries.extend(1_f32.to_le_bytes());
            entries.extend(known.started.to_le_bytes());
        }
        self.event(node, 50, &[&[kind], &1_u32.to_le_bytes(), &count.to_le_bytes(), &entries]);
    }

    fn lose_jobs(&mut self, worker: u32) {
        let known = &mut self.workers[worker as usize];
        let mut lost = std::mem::take(&mut known.running);
        lost.extend(known.waiting.drain(..));
        lost.append(&mut known.hanging);
        for Job { node, request, attempt, .. } in lost {
            let delay = self.network_delay();
            self.after(delay, Step::Outcome { node, request, attempt, status: RESET });
        }
    }

    /// Something happens to a worker or to discovery.
    fn change(&mut self) {
        if self.now >= self.end() {
            return;
        }
        let every = self.scenario.change_every_ms;
        let gap = self.random.random_range(every / 2..every * 3 / 2) * MILLISECOND;
        self.after(gap, Step::Change);
        let now = self.now;
        let worker = self.random.random_range(0..self.workers.len()) as u32;
        if self.scenario.hangs && self.random.random_bool(0.5) {
            let class = self.random.random_range(0..self.scenario.classes);
            let known = &mut self.workers[worker as usize];
            known.hangs_on = Some((class, now + 3 * SECOND));
            return;
        }
        if !self.scenario.churn {
            return;
        }
        let pause = self.random.random_range(every / 2..every * 6) * MILLISECOND;
        match self.random.random_range(0..6) {
            0 => {
                self.workers[worker as usize].state = DRAINING;
                self.after(pause, Step::WorkerReturns { worker });
            }
            1 => {
                self.workers[worker as usize].state = GONE;
                self.lose_jobs(worker);
                self.after(pause, Step::WorkerReturns { worker });
            }
            2 => {
                // A new process in the same place, of which the list says nothing.
                let known = &mut self.workers[worker as usize];
                (known.refuses_until, known.started) = (now + pause, now + pause);
                self.lose_jobs(worker);
                return;
            }
            3 => {
                let node = self.random.random_range(0..self.nodes.len());
                return self.list(node, LIST_FAILED, None);
            }
            _ => {
                self.workers[worker as usize].started = now;
                self.lose_jobs(worker);
            }
        }
        self.announce(worker);
    }

    fn announce(&mut self, worker: u32) {
        for node in 0..self.nodes.len() {
            if self.subscribed[node] {
                let complete = self.random.random_bool(0.2);
                let kind = if complete { LIST_FULL } else { LIST_DELTA };
                self.list(node, kind, (!complete).then_some(worker));
            }
        }
    }

    fn worker_returns(&mut self, worker: u32) {
        let now = self.now;
        let known = &mut self.workers[worker as usize];
        if known.state == GONE {
            known.started = now;
        }
        known.state = READY;
        self.announce(worker);
    }

    fn node_restarts(&mut self) {
        let node = self.random.random_range(0..self.nodes.len());
        self.incarnations[node] += 1;
        let own: Vec<u32> =
            self.requests.range((node, 0)..=(node, u32::MAX)).map(|((_, request), _)| *request).collect();
        for request in own {
            self.requests.remove(&(node, request));
        }
        for worker in &mut self.workers {
            worker.running.retain(|job| job.node != node);
            worker.waiting.retain(|job| job.node != node);
            worker.hanging.retain(|job| job.node != node);
        }
        self.subscribed[node] = !self.scenario.asked_discovery;
        let seed = self.random.random();
        self.nodes[node] = self.launch(node, seed);
        self.list(node, LIST_CACHED, None);
        if self.now + 4 * SECOND < self.end() {
            self.after(4 * SECOND, Step::NodeRestarts);
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
