//! A stand-in discovery: late, and only when asked. It learns of a change some time after it happened and writes it
//! to the watches that are open; what it wrote, and when, goes into the record.

use crate::event_log::{Availability, Event, EventLog};
use crate::sync::lock;
use crate::worker::http::{Body, StreamedLine, complete_response};
use crate::workload::plan::Plan;
use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_stream::wrappers::UnboundedReceiverStream;

/// While nothing changes, an empty line this often.
const HEARTBEAT: Duration = Duration::from_secs(2);
/// A call that would wait for longer in turn fails.
const LONGEST_WAIT: Duration = Duration::from_secs(2);

struct Watch {
    dispatcher: usize,
    lines: mpsc::UnboundedSender<StreamedLine>,
}

struct List {
    seq: u64,
    states: Vec<(Availability, u64)>,
    watches: Vec<Watch>,
}

/// The service.
pub struct Discovery {
    plan: Arc<Plan>,
    log: Arc<EventLog>,
    list: Mutex<List>,
    /// Each dispatcher's addresses of the workers.
    dials: Mutex<Vec<Vec<SocketAddr>>>,
    calls: AtomicU64,
    /// When the calls that wait in turn will have been answered.
    busy_until: Mutex<tokio::time::Instant>,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}

impl Discovery {
    /// All workers are ready and have been for long.
    pub fn new(plan: Arc<Plan>, log: Arc<EventLog>) -> Arc<Self> {
        let states = vec![(Availability::Ready { cold: false }, 0); plan.workers.len()];
        let list = List { seq: 1, states, watches: Vec::new() };
        Arc::new(Self {
            plan,
            log,
            list: Mutex::new(list),
            dials: Mutex::default(),
            calls: AtomicU64::new(0),
            busy_until: Mutex::new(tokio::time::Instant::now()),
        })
    }

    /// Calls so far.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Opens it to one more dispatcher, which reaches the workers at `dials`.
    pub async fn open(self: &Arc<Self>, dials: Vec<SocketAddr>) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let dispatcher = {
            let mut all = lock(&self.dials);
            all.push(dials);
            all.len() - 1
        };
        let this = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let this = this.clone();
                let service = service_fn(move |request| {
                    let this = this.clone();
                    async move { Ok::<_, Infallible>(this.in_turn(dispatcher, &request).await) }
                });
                let http = hyper::server::conn::http1::Builder::new();
                tokio::spawn(async move { http.serve_connection(TokioIo::new(stream), service).await });
            }
        });
        Ok(address)
    }

    fn host(&self, dispatcher: usize, worker: usize, state: (Availability, u64)) -> Value {
        let spec = &self.plan.workers[worker];
        let health = match state.0 {
            Availability::Ready { .. } => "ready",
            Availability::Draining => "draining",
            Availability::Gone => "gone",
        };
        let site = ["honkan", "bekkan", "soko"][spec.zone % 3];
        json!({"host": spec.host, "dial": lock(&self.dials)[dispatcher][worker].to_string(),
               "site": site, "class": spec.kind, "block": worker / 8,
               "health": health, "share": 1.0, "born_ms": state.1})
    }

    fn whole(&self, dispatcher: usize, list: &List) -> String {
        let there = list.states.iter().enumerate().filter(|(_, state)| state.0 != Availability::Gone);
        let hosts: Vec<Value> = there.map(|(worker, state)| self.host(dispatcher, worker, *state)).collect();
        for (worker, state) in list.states.iter().enumerate() {
            self.log.append(Event::Notified { dispatcher, worker, what: state.0 });
        }
        format!("{}\n", json!({"seq": list.seq, "whole": true, "hosts": hosts}))
    }

    /// The list as JSON for a dispatcher's configuration.
    pub fn known(&self, dispatcher: usize) -> Value {
        serde_json::from_str(&self.whole(dispatcher, &lock(&self.list))).unwrap_or_default()
    }

    /// Answers calls one after another, as fast as the scenario's capacity lets it.
    async fn in_turn(&self, dispatcher: usize, request: &Request<Incoming>) -> Response<Body> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        if let Some(rate) = self.plan.discovery_rate {
            let now = tokio::time::Instant::now();
            let turn = {
                let mut busy = lock(&self.busy_until);
                let turn = (*busy).max(now) + Duration::from_secs_f64(1.0 / rate);
                if turn <= now + LONGEST_WAIT {
                    *busy = turn;
                }
                turn
            };
            tokio::time::sleep_until(turn.min(now + LONGEST_WAIT)).await;
            if turn > now + LONGEST_WAIT {
                return complete_response(503, &[], String::new());
            }
        }
        self.answer(dispatcher, request)
    }

    fn answer(&self, dispatcher: usize, request: &Request<Incoming>) -> Response<Body> {
        if request.uri().path() != "/v1/endpoints" {
            return complete_response(404, &[], String::new());
        }
        let mut list = lock(&self.list);
        let whole = self.whole(dispatcher, &list);
        if !request
            .uri()
            .query()
            .is_some_and(|query| query.split('&').any(|parameter| parameter == "watch=1"))
        {
            return complete_response(200, &[], whole);
        }
        let (lines, body) = mpsc::unbounded_channel();
        let _ = lines.send(Ok(Frame::data(Bytes::from(whole))));
        list.watches.push(Watch { dispatcher, lines });
        Response::new(StreamBody::new(UnboundedReceiverStream::new(body)).boxed())
    }

    fn publish(&self, worker: usize, what: Availability) {
        let mut list = lock(&self.list);
        let born =
            if what == (Availability::Ready { cold: true }) { unix_ms() } else { list.states[worker].1 };
        list.seq += 1;
        list.states[worker] = (what, born);
        self.log.append(Event::Published { worker, what });
        let (seq, state) = (list.seq, list.states[worker]);
        list.watches.retain(|watch| {
            let host = self.host(watch.dispatcher, worker, state);
            let line = format!("{}\n", json!({"seq": seq, "whole": false, "hosts": [host]}));
            let open = watch.lines.send(Ok(Frame::data(Bytes::from(line)))).is_ok();
            if open {
                self.log.append(Event::Notified { dispatcher: watch.dispatcher, worker, what });
            }
            open
        });
    }

    /// Takes what changes at the workers, and tells it late, for as long as it is polled.
    pub async fn run(self: Arc<Self>, mut changes: mpsc::UnboundedReceiver<(usize, Availability)>) {
        let mut rng = Pcg64Mcg::seed_from_u64(self.plan.seed ^ 0xd15c);
        let mut heartbeat = tokio::time::interval(HEARTBEAT);
        let mut latest = vec![0_u64; self.plan.workers.len()];
        let (due, mut ready) = mpsc::unbounded_channel();
        loop {
            tokio::select! {
                Some((worker, what)) = changes.recv() => {
                    // A silent process is noticed by its absence only; what it said of itself comes sooner.
                    let late = match what {
                        Availability::Draining => rng.random_range(1.1..4.1),
                        Availability::Gone => rng.random_range(7.4..14.0),
                        Availability::Ready { .. } => rng.random_range(0.47..2.0),
                    };
                    latest[worker] += 1;
                    let (due, number) = (due.clone(), latest[worker]);
                    tokio::spawn(async move {
                        tokio::time::sleep(Duration::from_secs_f64(late)).await;
                        let _ = due.send((worker, what, number));
                    });
                }
                Some((worker, what, number)) = ready.recv() => {
                    if number == latest[worker] {
                        self.publish(worker, what);
                    }
                }
                _ = heartbeat.tick() => {
                    let beat = || Ok(Frame::data(Bytes::from_static(b"\n")));
                    lock(&self.list).watches.retain(|watch| watch.lines.send(beat()).is_ok());
                }
            }
        }
    }
}
