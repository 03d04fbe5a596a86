//! Stand-in workers on sockets: HTTP/1.1 as the platform's transcribers speak it, around a [`WorkerModel`] each. A
//! dispatcher reaches each worker at an address of its own, so that the record can tell who sent what.

use crate::checker::rules::result_for;
use crate::event_log::{AttemptEnd, Availability, Event, EventLog};
use crate::worker::model::{Admission, JobEvent, JobId, WorkerModel};
use crate::workload::{Fault, Plan, WorkerSpec};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, StreamBody, combinators::BoxBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Normal};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use std::collections::{HashMap, VecDeque};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio_stream::wrappers::UnboundedReceiverStream;

/// A probe's and a new connection's work, in seconds: the middle of what the site says.
const PROBE_WORK: f64 = 0.000_034;
const CONNECTION_WORK: f64 = 0.002;
/// A running job tells its progress this often.
const PROGRESS: Duration = Duration::from_secs(2);

/// A lock whose holder panicked still holds sound figures here.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    Up,
    Silent,
    Down,
}

/// What a worker's inside sends to the connection of a job.
#[derive(Clone, Copy, Debug)]
enum JobUpdate {
    Started,
    Done,
    Failed,
    Returned,
}

/// What is counted of a fleet's connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Counts {
    /// New connections.
    pub handshakes: u64,
    /// Most connections open at one worker at a time.
    pub worst_worker_connections: usize,
}

impl Counts {
    /// Both together: sums where they add up, the worst elsewhere.
    pub fn with(self, other: Self) -> Self {
        Self {
            handshakes: self.handshakes + other.handshakes,
            worst_worker_connections: self.worst_worker_connections.max(other.worst_worker_connections),
        }
    }
}

struct WorkerState {
    handshakes: u64,
    open: usize,
    most_open: usize,
    model: WorkerModel,
    jobs: HashMap<JobId, mpsc::UnboundedSender<JobUpdate>>,
    /// Reports that are not visible yet, and the one that is: free slots, busy part, errors a second.
    coming: VecDeque<(f64, [f64; 3])>,
    report: [f64; 3],
    refreshed: f64,
    fails: f64,
    draining: bool,
    rng: Pcg64Mcg,
}

/// One worker.
pub struct SimulatedWorker {
    number: usize,
    state: Mutex<WorkerState>,
    /// What it is at, and how often it has broken all its connections.
    mode: watch::Sender<(Mode, u32)>,
}

/// The whole fleet, and what is known of the clients' requests.
pub struct WorkerPool {
    /// The plan.
    pub plan: Arc<Plan>,
    /// Where all is written down.
    pub log: Arc<EventLog>,
    workers: Vec<Arc<SimulatedWorker>>,
    next_job_id: AtomicU64,
    /// Attempts of each arrival so far: each has a work of its own.
    attempts: Vec<AtomicUsize>,
    /// What has changed at a worker: discovery learns of it later.
    pub changes: mpsc::UnboundedSender<(usize, Availability)>,
}

/// The body of a stand-in's answer.
pub type Body = BoxBody<Bytes, Infallible>;

/// An answer that is whole at once.
pub fn complete_response(status: u16, headers: &[(&'static str, &str)], body: String) -> Response<Body> {
    let mut builder = Response::builder().status(status);
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    builder.body(Full::new(Bytes::from(body)).boxed()).unwrap_or_default()
}

/// The number of the arrival that a try's id speaks of.
pub fn arrival_of(txn: &str) -> Option<usize> {
    usize::from_str_radix(txn.get(2..10)?, 16).ok()
}

/// The id of a client's try.
pub fn txn(arrival: usize, try_no: u32) -> String {
    format!("tx{arrival:08x}{try_no:02x}")
}

impl WorkerPool {
    /// A fleet that has not begun.
    pub fn new(
        plan: Arc<Plan>, log: Arc<EventLog>, changes: mpsc::UnboundedSender<(usize, Availability)>,
    ) -> Arc<Self> {
        let state = |(i, spec): (usize, &WorkerSpec)| WorkerState {
            handshakes: 0,
            open: 0,
            most_open: 0,
            model: WorkerModel::new(spec.clone(), plan.store.1),
            jobs: HashMap::new(),
            coming: VecDeque::new(),
            report: [f64::from(spec.slots), 0.0, 0.0],
            refreshed: 0.0,
            fails: 0.0,
            draining: false,
            rng: Pcg64Mcg::seed_from_u64(plan.seed ^ (i as u64) << 32),
        };
        let worker = |(i, spec)| {
            let mode = watch::Sender::new((Mode::Up, 0));
            Arc::new(SimulatedWorker { number: i, state: Mutex::new(state((i, spec))), mode })
        };
        let workers = plan.workers.iter().enumerate().map(worker).collect();
        let attempts = plan.arrivals.iter().map(|_| AtomicUsize::new(0)).collect();
        Arc::new(Self { plan, log, workers, next_job_id: AtomicU64::new(0), attempts, changes })
    }

    /// What was counted so far.
    pub fn counts(&self) -> Counts {
        let of = |worker: &Arc<SimulatedWorker>| {
            let state = lock(&worker.state);
            Counts { handshakes: state.handshakes, worst_worker_connections: state.most_open }
        };
        self.workers.iter().map(of).fold(Counts::default(), Counts::with)
    }

    /// Opens every worker to one more dispatcher: the addresses it reaches them at.
    pub async fn open(self: &Arc<Self>, dispatcher: usize) -> std::io::Result<Vec<SocketAddr>> {
        let mut addresses = Vec::new();
        for worker in &self.workers {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            addresses.push(listener.local_addr()?);
            tokio::spawn(listen(self.clone(), worker.clone(), dispatcher, listener));
        }
        Ok(addresses)
    }

    /// Lets the machines work and the faults happen, for as long as it is polled.
    pub async fn drive(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(Duration::from_millis(1));
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        let mut faults: VecDeque<_> = self.plan.worker_faults.iter().copied().collect();
        let mut ends: Vec<(f64, usize, Fault)> = Vec::new();
        loop {
            ticks.tick().await;
            let now = self.log.now();
            while let Some(t) = faults.pop_front_if(|t| t.at <= now) {
                self.begin_fault(t.worker, t.what);
                let (Fault::Drain(s) | Fault::Silent(s) | Fault::Restart(s) | Fault::Errors(s, _)) = t.what;
                ends.push((now + s, t.worker, t.what));
            }
            for (_, worker, what) in ends.extract_if(.., |(at, ..)| *at <= now) {
                self.end_fault(worker, what);
            }
            let fetching: usize = self.workers.iter().map(|w| lock(&w.state).model.fetching()).sum();
            let share = (self.plan.store.0 / fetching.max(1) as f64).min(1.0);
            for worker in &self.workers {
                if worker.mode.borrow().0 == Mode::Up {
                    self.step(worker, now, share);
                }
            }
        }
    }

    fn step(&self, worker: &SimulatedWorker, now: f64, share: f64) {
        let mut state = lock(&worker.state);
        let state = &mut *state;
        let mut events = Vec::new();
        state.model.advance(now, share, &mut events);
        for event in events {
            match event {
                JobEvent::Started(job_id) => {
                    if let Some(job) = state.jobs.get(&job_id) {
                        let _ = job.send(JobUpdate::Started);
                    }
                }
                JobEvent::Done(job_id) => {
                    let failed = state.fails > 0.0 && state.rng.random_bool(state.fails);
                    if let Some(job) = state.jobs.remove(&job_id) {
                        let _ = job.send(if failed { JobUpdate::Failed } else { JobUpdate::Done });
                    }
                }
            }
        }
        if let Some(load) = state.model.take_cold_load_peak() {
            self.log.append(Event::ColdLoadPeak { worker: worker.number, load });
        }
        if let Some((since, sent)) = state.model.overload() {
            self.log.append(Event::Overloaded { worker: worker.number, since, sent });
            self.crash(worker, state, now);
        }
        let spec = state.model.spec();
        let (refresh, delay, noise) = (spec.refresh_s, spec.delay_s, spec.noise);
        if now >= state.refreshed + refresh {
            state.refreshed = now;
            let (free, busy, _) = state.model.load();
            let off = Normal::new(1.0, noise).map_or(1.0, |n| n.sample(&mut state.rng));
            let free = if state.draining { 0.0 } else { f64::from(free) * off };
            state.coming.push_back((now + delay, [free.max(0.0), busy, state.fails]));
        }
        while let Some((_, report)) = state.coming.pop_front_if(|(at, _)| *at <= now) {
            state.report = report;
        }
    }

    /// All connections break, and all work is lost.
    fn crash(&self, worker: &SimulatedWorker, state: &mut WorkerState, now: f64) {
        state.model.restart(now);
        state.jobs.clear();
        state.coming.clear();
        worker.mode.send_modify(|mode| mode.1 += 1);
    }

    fn begin_fault(&self, worker: usize, what: Fault) {
        let Some(worker) = self.workers.get(worker) else { return };
        let mut state = lock(&worker.state);
        match what {
            Fault::Drain(_) => {
                state.draining = true;
                for job_id in state.model.return_queued() {
                    if let Some(job) = state.jobs.remove(&job_id) {
                        let _ = job.send(JobUpdate::Returned);
                    }
                }
                let _ = self.changes.send((worker.number, Availability::Draining));
            }
            Fault::Silent(_) => {
                worker.mode.send_modify(|mode| mode.0 = Mode::Silent);
                let _ = self.changes.send((worker.number, Availability::Gone));
            }
            Fault::Restart(_) => {
                worker.mode.send_modify(|mode| mode.0 = Mode::Down);
                let now = self.log.now();
                self.crash(worker, &mut state, now);
            }
            Fault::Errors(_, share) => state.fails = share,
        }
    }

    fn end_fault(&self, worker: usize, what: Fault) {
        let Some(worker) = self.workers.get(worker) else { return };
        let mut state = lock(&worker.state);
        match what {
            Fault::Errors(..) => state.fails = 0.0,
            Fault::Drain(_) => {
                state.draining = false;
                let _ = self.changes.send((worker.number, Availability::Ready { cold: false }));
            }
            Fault::Silent(_) | Fault::Restart(_) => {
                let now = self.log.now();
                self.crash(worker, &mut state, now);
                worker.mode.send_modify(|mode| mode.0 = Mode::Up);
                let _ = self.changes.send((worker.number, Availability::Ready { cold: true }));
            }
        }
    }

    async fn answer(
        self: Arc<Self>, worker: Arc<SimulatedWorker>, dispatcher: usize, request: Request<Incoming>,
    ) -> Result<Response<Body>, Infallible> {
        if worker.mode.borrow().0 == Mode::Silent {
            std::future::pending::<()>().await;
        }
        let header = |name| {
            let value = request.headers().get(name).and_then(|v| v.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let (txn, key) = (header("x-txn"), header("idempotency-key"));
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/health") => return Ok(complete_response(200, &[], String::new())),
            (&Method::GET, "/status/load") => {
                let mut state = lock(&worker.state);
                state.model.add_overhead(dispatcher, PROBE_WORK);
                let [free, util, eps] = state.report;
                let report = serde_json::json!({"util": util, "eps": eps, "x0": free});
                return Ok(complete_response(
                    200,
                    &[("content-type", "application/json")],
                    report.to_string(),
                ));
            }
            (&Method::POST, _) if !txn.is_empty() => {}
            _ => return Ok(complete_response(404, &[], String::new())),
        }
        if request.into_body().collect().await.is_err() {
            return Ok(complete_response(400, &[], String::new()));
        }
        let arrival = arrival_of(&txn).and_then(|i| Some((i, self.plan.arrivals.get(i)?)));
        let Some((index, arrival)) = arrival else {
            self.log.append(Event::UnknownRequest { txn });
            return Ok(complete_response(400, &[], String::new()));
        };
        let number = worker.number;
        self.log.append(Event::AttemptArrived { txn: txn.clone(), key, dispatcher, worker: number });
        let attempt = self.attempts[index].fetch_add(1, Ordering::Relaxed);
        let work = arrival.work * arrival.noise[attempt % arrival.noise.len()];
        let job_id = self.next_job_id.fetch_add(1, Ordering::Relaxed);
        let (updates_in, updates) = mpsc::unbounded_channel();
        {
            let mut state = lock(&worker.state);
            let admission = state.model.submit(dispatcher, job_id, arrival.slots, work, arrival.key);
            if admission == Admission::Rejected || state.draining {
                drop(state);
                self.log.append(Event::AttemptEnded { txn, worker: number, end: AttemptEnd::NotRun });
                return Ok(complete_response(503, &[("x-turned-away", "1")], String::new()));
            }
            state.jobs.insert(job_id, updates_in);
        }
        let (lines, body) = mpsc::unbounded_channel();
        tokio::spawn(stream_job(self, number, txn, work, updates, lines));
        let body = StreamBody::new(UnboundedReceiverStream::new(body)).boxed();
        Ok(Response::new(body))
    }
}

type Line = Result<Frame<Bytes>, Infallible>;

/// Turns what happens to a job into the lines of its answer, and into the record whether or not anyone listens.
async fn stream_job(
    fleet: Arc<WorkerPool>, worker: usize, txn: String, work: f64,
    mut updates: mpsc::UnboundedReceiver<JobUpdate>, lines: mpsc::UnboundedSender<Line>,
) {
    let host = &fleet.plan.workers[worker].host;
    let send_line = |state: &str, extra: serde_json::Value| {
        let mut line = serde_json::json!({"id": txn, "from": host, "state": state});
        if let (Some(line), serde_json::Value::Object(extra)) = (line.as_object_mut(), extra) {
            line.extend(extra);
        }
        let _ = lines.send(Ok(Frame::data(Bytes::from(format!("{line}\n")))));
    };
    let none = serde_json::Value::Null;
    let mut started: Option<f64> = None;
    loop {
        let update = tokio::time::timeout(PROGRESS, updates.recv()).await;
        let end = match update {
            Err(_) => {
                if let Some(at) = started {
                    let share = ((fleet.log.now() - at) / work.max(0.001)).min(0.99);
                    send_line("running", serde_json::json!({"share": share}));
                }
                continue;
            }
            Ok(Some(JobUpdate::Started)) => {
                started = Some(fleet.log.now());
                send_line("started", none.clone());
                continue;
            }
            // The worker died with it; its connections break on their own.
            Ok(None) => AttemptEnd::Failed,
            Ok(Some(JobUpdate::Failed)) => AttemptEnd::Failed,
            Ok(Some(JobUpdate::Returned)) => AttemptEnd::NotRun,
            Ok(Some(JobUpdate::Done)) => AttemptEnd::Done,
        };
        // Written down first: the dispatcher may be quicker than this thread.
        fleet.log.append(Event::AttemptEnded { txn: txn.clone(), worker, end });
        match update {
            Ok(Some(JobUpdate::Done)) => send_line("done", serde_json::json!({"result": result_for(&txn)})),
            Ok(Some(JobUpdate::Failed)) => send_line("failed", none),
            Ok(Some(JobUpdate::Returned)) => send_line("returned", none),
            _ => {}
        }
        return;
    }
}

async fn listen(
    fleet: Arc<WorkerPool>, worker: Arc<SimulatedWorker>, dispatcher: usize, listener: TcpListener,
) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve(fleet.clone(), worker.clone(), dispatcher, stream));
    }
}

async fn serve(fleet: Arc<WorkerPool>, worker: Arc<SimulatedWorker>, dispatcher: usize, stream: TcpStream) {
    // A worker that dies resets its connections.
    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    let _ = stream.set_nodelay(true);
    let mut mode = worker.mode.subscribe();
    let (now, epoch) = *mode.borrow_and_update();
    match now {
        Mode::Down => return,
        // On a real network it would not come up: no handshake.
        Mode::Silent => {}
        Mode::Up => {
            let mut state = lock(&worker.state);
            state.model.add_overhead(dispatcher, CONNECTION_WORK);
            state.handshakes += 1;
            state.open += 1;
            state.most_open = state.most_open.max(state.open);
        }
    }
    let service = service_fn({
        let worker = worker.clone();
        move |request| fleet.clone().answer(worker.clone(), dispatcher, request)
    });
    let connection =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ = connection => {}
        _ = mode.wait_for(|(now, count)| *now == Mode::Down || *count != epoch) => {}
    }
    if now == Mode::Up {
        lock(&worker.state).open -= 1;
    }
}
