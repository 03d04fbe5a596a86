//! Stand-in workers on sockets: HTTP/1.1 as the platform's transcribers speak it, around a [`Machine`] each. A
//! dispatcher reaches each worker at an address of its own, so that the record can tell who sent what.

use crate::checker::result_for;
use crate::machine::{Machine, Note, Taken, Ticket};
use crate::record::{End, Record, Seen, Told};
use crate::scenario::{Fault, Plan, WorkerSpec};
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
enum Word {
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

struct Inside {
    handshakes: u64,
    open: usize,
    most_open: usize,
    machine: Machine,
    jobs: HashMap<Ticket, mpsc::UnboundedSender<Word>>,
    /// Reports that are not visible yet, and the one that is: free slots, busy part, errors a second.
    coming: VecDeque<(f64, [f64; 3])>,
    report: [f64; 3],
    refreshed: f64,
    fails: f64,
    draining: bool,
    rng: Pcg64Mcg,
}

/// One worker.
pub struct StandIn {
    number: usize,
    inside: Mutex<Inside>,
    /// What it is at, and how often it has broken all its connections.
    mode: watch::Sender<(Mode, u32)>,
}

/// The whole fleet, and what is known of the clients' requests.
pub struct Fleet {
    /// The plan.
    pub plan: Arc<Plan>,
    /// Where all is written down.
    pub record: Arc<Record>,
    workers: Vec<Arc<StandIn>>,
    tickets: AtomicU64,
    /// Attempts of each arrival so far: each has a work of its own.
    attempts: Vec<AtomicUsize>,
    /// What has changed at a worker: discovery learns of it later.
    pub changes: mpsc::UnboundedSender<(usize, Told)>,
}

/// The body of a stand-in's answer.
pub type Body = BoxBody<Bytes, Infallible>;

/// An answer that is whole at once.
pub fn plain(status: u16, headers: &[(&'static str, &str)], body: String) -> Response<Body> {
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

impl Fleet {
    /// A fleet that has not begun.
    pub fn new(
        plan: Arc<Plan>, record: Arc<Record>, changes: mpsc::UnboundedSender<(usize, Told)>,
    ) -> Arc<Self> {
        let inside = |(i, spec): (usize, &WorkerSpec)| Inside {
            handshakes: 0,
            open: 0,
            most_open: 0,
            machine: Machine::new(spec.clone(), plan.store.1),
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
            Arc::new(StandIn { number: i, inside: Mutex::new(inside((i, spec))), mode })
        };
        let workers = plan.workers.iter().enumerate().map(worker).collect();
        let attempts = plan.arrivals.iter().map(|_| AtomicUsize::new(0)).collect();
        Arc::new(Self { plan, record, workers, tickets: AtomicU64::new(0), attempts, changes })
    }

    /// What was counted so far.
    pub fn counts(&self) -> Counts {
        let of = |worker: &Arc<StandIn>| {
            let inside = lock(&worker.inside);
            Counts { handshakes: inside.handshakes, worst_worker_connections: inside.most_open }
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
        let mut faults: VecDeque<_> = self.plan.troubles.iter().copied().collect();
        let mut ends: Vec<(f64, usize, Fault)> = Vec::new();
        loop {
            ticks.tick().await;
            let now = self.record.now();
            while let Some(t) = faults.pop_front_if(|t| t.at <= now) {
                self.begin_fault(t.worker, t.what);
                let (Fault::Drain(s) | Fault::Silent(s) | Fault::Restart(s) | Fault::Errors(s, _)) = t.what;
                ends.push((now + s, t.worker, t.what));
            }
            for (_, worker, what) in ends.extract_if(.., |(at, ..)| *at <= now) {
                self.end_fault(worker, what);
            }
            let fetching: usize = self.workers.iter().map(|w| lock(&w.inside).machine.fetching()).sum();
            let share = (self.plan.store.0 / fetching.max(1) as f64).min(1.0);
            for worker in &self.workers {
                if worker.mode.borrow().0 == Mode::Up {
                    self.step(worker, now, share);
                }
            }
        }
    }

    fn step(&self, worker: &StandIn, now: f64, share: f64) {
        let mut inside = lock(&worker.inside);
        let inside = &mut *inside;
        let mut notes = Vec::new();
        inside.machine.advance(now, share, &mut notes);
        for note in notes {
            match note {
                Note::Started(ticket) => {
                    if let Some(job) = inside.jobs.get(&ticket) {
                        let _ = job.send(Word::Started);
                    }
                }
                Note::Done(ticket) => {
                    let failed = inside.fails > 0.0 && inside.rng.random_bool(inside.fails);
                    if let Some(job) = inside.jobs.remove(&ticket) {
                        let _ = job.send(if failed { Word::Failed } else { Word::Done });
                    }
                }
            }
        }
        if let Some(press) = inside.machine.pressed() {
            self.record.note(Seen::Pressed { worker: worker.number, press });
        }
        if let Some((since, sent)) = inside.machine.fallen() {
            self.record.note(Seen::Fell { worker: worker.number, since, sent });
            self.crash(worker, inside, now);
        }
        let spec = inside.machine.spec();
        let (refresh, delay, noise) = (spec.refresh_s, spec.delay_s, spec.noise);
        if now >= inside.refreshed + refresh {
            inside.refreshed = now;
            let (free, busy, _) = inside.machine.load();
            let off = Normal::new(1.0, noise).map_or(1.0, |n| n.sample(&mut inside.rng));
            let free = if inside.draining { 0.0 } else { f64::from(free) * off };
            inside.coming.push_back((now + delay, [free.max(0.0), busy, inside.fails]));
        }
        while let Some((_, report)) = inside.coming.pop_front_if(|(at, _)| *at <= now) {
            inside.report = report;
        }
    }

    /// All connections break, and all work is lost.
    fn crash(&self, worker: &StandIn, inside: &mut Inside, now: f64) {
        inside.machine.restart(now);
        inside.jobs.clear();
        inside.coming.clear();
        worker.mode.send_modify(|mode| mode.1 += 1);
    }

    fn begin_fault(&self, worker: usize, what: Fault) {
        let Some(worker) = self.workers.get(worker) else { return };
        let mut inside = lock(&worker.inside);
        match what {
            Fault::Drain(_) => {
                inside.draining = true;
                for ticket in inside.machine.hand_back() {
                    if let Some(job) = inside.jobs.remove(&ticket) {
                        let _ = job.send(Word::Returned);
                    }
                }
                let _ = self.changes.send((worker.number, Told::Draining));
            }
            Fault::Silent(_) => {
                worker.mode.send_modify(|mode| mode.0 = Mode::Silent);
                let _ = self.changes.send((worker.number, Told::Gone));
            }
            Fault::Restart(_) => {
                worker.mode.send_modify(|mode| mode.0 = Mode::Down);
                let now = self.record.now();
                self.crash(worker, &mut inside, now);
            }
            Fault::Errors(_, share) => inside.fails = share,
        }
    }

    fn end_fault(&self, worker: usize, what: Fault) {
        let Some(worker) = self.workers.get(worker) else { return };
        let mut inside = lock(&worker.inside);
        match what {
            Fault::Errors(..) => inside.fails = 0.0,
            Fault::Drain(_) => {
                inside.draining = false;
                let _ = self.changes.send((worker.number, Told::Ready { cold: false }));
            }
            Fault::Silent(_) | Fault::Restart(_) => {
                let now = self.record.now();
                self.crash(worker, &mut inside, now);
                worker.mode.send_modify(|mode| mode.0 = Mode::Up);
                let _ = self.changes.send((worker.number, Told::Ready { cold: true }));
            }
        }
    }

    async fn answer(
        self: Arc<Self>, worker: Arc<StandIn>, dispatcher: usize, request: Request<Incoming>,
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
            (&Method::GET, "/health") => return Ok(plain(200, &[], String::new())),
            (&Method::GET, "/status/load") => {
                let mut inside = lock(&worker.inside);
                inside.machine.charge(dispatcher, PROBE_WORK);
                let [free, util, eps] = inside.report;
                let report = serde_json::json!({"util": util, "eps": eps, "x0": free});
                return Ok(plain(200, &[("content-type", "application/json")], report.to_string()));
            }
            (&Method::POST, _) if !txn.is_empty() => {}
            _ => return Ok(plain(404, &[], String::new())),
        }
        if request.into_body().collect().await.is_err() {
            return Ok(plain(400, &[], String::new()));
        }
        let arrival = arrival_of(&txn).and_then(|i| Some((i, self.plan.arrivals.get(i)?)));
        let Some((index, arrival)) = arrival else {
            self.record.note(Seen::Stranger { txn });
            return Ok(plain(400, &[], String::new()));
        };
        let number = worker.number;
        self.record.note(Seen::Arrived { txn: txn.clone(), key, dispatcher, worker: number });
        let attempt = self.attempts[index].fetch_add(1, Ordering::Relaxed);
        let work = arrival.work * arrival.noise[attempt % arrival.noise.len()];
        let ticket = self.tickets.fetch_add(1, Ordering::Relaxed);
        let (tell, words) = mpsc::unbounded_channel();
        {
            let mut inside = lock(&worker.inside);
            let taken = inside.machine.submit(dispatcher, ticket, arrival.slots, work, arrival.key);
            if taken == Taken::Away || inside.draining {
                drop(inside);
                self.record.note(Seen::Ended { txn, worker: number, end: End::Unseen });
                return Ok(plain(503, &[("x-turned-away", "1")], String::new()));
            }
            inside.jobs.insert(ticket, tell);
        }
        let (lines, body) = mpsc::unbounded_channel();
        tokio::spawn(speak(self, number, txn, work, words, lines));
        let body = StreamBody::new(UnboundedReceiverStream::new(body)).boxed();
        Ok(Response::new(body))
    }
}

type Line = Result<Frame<Bytes>, Infallible>;

/// Turns what happens to a job into the lines of its answer, and into the record whether or not anyone listens.
async fn speak(
    fleet: Arc<Fleet>, worker: usize, txn: String, work: f64, mut words: mpsc::UnboundedReceiver<Word>,
    lines: mpsc::UnboundedSender<Line>,
) {
    let host = &fleet.plan.workers[worker].host;
    let say = |state: &str, extra: serde_json::Value| {
        let mut line = serde_json::json!({"id": txn, "from": host, "state": state});
        if let (Some(line), serde_json::Value::Object(extra)) = (line.as_object_mut(), extra) {
            line.extend(extra);
        }
        let _ = lines.send(Ok(Frame::data(Bytes::from(format!("{line}\n")))));
    };
    let none = serde_json::Value::Null;
    let mut started: Option<f64> = None;
    loop {
        let word = tokio::time::timeout(PROGRESS, words.recv()).await;
        let end = match word {
            Err(_) => {
                if let Some(at) = started {
                    let share = ((fleet.record.now() - at) / work.max(0.001)).min(0.99);
                    say("running", serde_json::json!({"share": share}));
                }
                continue;
            }
            Ok(Some(Word::Started)) => {
                started = Some(fleet.record.now());
                say("started", none.clone());
                continue;
            }
            // The worker died with it; its connections break on their own.
            Ok(None) => End::Broken,
            Ok(Some(Word::Failed)) => End::Broken,
            Ok(Some(Word::Returned)) => End::Unseen,
            Ok(Some(Word::Done)) => End::Done,
        };
        // Written down first: the dispatcher may be quicker than this thread.
        fleet.record.note(Seen::Ended { txn: txn.clone(), worker, end });
        match word {
            Ok(Some(Word::Done)) => say("done", serde_json::json!({"result": result_for(&txn)})),
            Ok(Some(Word::Failed)) => say("failed", none),
            Ok(Some(Word::Returned)) => say("returned", none),
            _ => {}
        }
        return;
    }
}

async fn listen(fleet: Arc<Fleet>, worker: Arc<StandIn>, dispatcher: usize, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve(fleet.clone(), worker.clone(), dispatcher, stream));
    }
}

async fn serve(fleet: Arc<Fleet>, worker: Arc<StandIn>, dispatcher: usize, stream: TcpStream) {
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
            let mut inside = lock(&worker.inside);
            inside.machine.charge(dispatcher, CONNECTION_WORK);
            inside.handshakes += 1;
            inside.open += 1;
            inside.most_open = inside.most_open.max(inside.open);
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
        lock(&worker.inside).open -= 1;
    }
}
