//! A simulated discovery service. It publishes changes of workers with a delay, sends them to the open watches and logs every
//! update that it sends.

use crate::dispatcher::ZONES;
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

/// Interval at which each watch receives an empty line as a heartbeat.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum time for which a call waits in the queue. A call that would wait for longer is rejected.
const MAX_QUEUE_DELAY: Duration = Duration::from_secs(2);

/// The listed state of a worker.
#[derive(Clone, Copy, Debug)]
struct Listing {
    availability: Availability,
    /// Unix time of its last restart, in milliseconds; 0 if it has not restarted during the run.
    started_ms: u64,
}

/// An open watch of a dispatcher.
struct Watch {
    dispatcher: usize,
    lines: mpsc::UnboundedSender<StreamedLine>,
}

/// The listed workers and the watches that receive changes.
struct WorkerList {
    /// Sequence number of the last change.
    sequence: u64,
    listings: Vec<Listing>,
    watches: Vec<Watch>,
}

/// The discovery service. If the plan limits its rate, it answers calls one after another.
pub struct Discovery {
    plan: Arc<Plan>,
    log: Arc<EventLog>,
    list: Mutex<WorkerList>,
    /// The addresses of the workers by dispatcher and worker.
    worker_addresses: Mutex<Vec<Vec<SocketAddr>>>,
    calls: AtomicU64,
    /// Time at which all queued calls will have been answered.
    busy_until: Mutex<tokio::time::Instant>,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}

impl Discovery {
    /// Creates a service that lists all workers as ready and warm.
    pub fn new(plan: Arc<Plan>, log: Arc<EventLog>) -> Arc<Self> {
        let listing = Listing { availability: Availability::Ready { cold: false }, started_ms: 0 };
        let listings = vec![listing; plan.workers.len()];
        let list = WorkerList { sequence: 1, listings, watches: Vec::new() };
        Arc::new(Self {
            plan,
            log,
            list: Mutex::new(list),
            worker_addresses: Mutex::default(),
            calls: AtomicU64::new(0),
            busy_until: Mutex::new(tokio::time::Instant::now()),
        })
    }

    /// Returns the number of calls so far, including the rejected ones.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Opens a listener for one more dispatcher, which reaches the workers at `worker_addresses`, and returns the listener's
    /// address.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener can not be bound.
    pub async fn listen(self: &Arc<Self>, worker_addresses: Vec<SocketAddr>) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let dispatcher = {
            let mut all = lock(&self.worker_addresses);
            all.push(worker_addresses);
            all.len() - 1
        };
        let this = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let this = this.clone();
                let service = service_fn(move |request| {
                    let this = this.clone();
                    async move { Ok::<_, Infallible>(this.answer_queued(dispatcher, &request).await) }
                });
                let http = hyper::server::conn::http1::Builder::new();
                tokio::spawn(async move { http.serve_connection(TokioIo::new(stream), service).await });
            }
        });
        Ok(address)
    }

    /// Returns the JSON of one worker as this dispatcher sees it.
    fn endpoint_json(&self, dispatcher: usize, worker: usize, listing: Listing) -> Value {
        let spec = &self.plan.workers[worker];
        let health = match listing.availability {
            Availability::Ready { .. } => "ready",
            Availability::Draining => "draining",
            Availability::Gone => "gone",
        };
        let site = ZONES[spec.zone % ZONES.len()];
        json!({"host": spec.host, "dial": lock(&self.worker_addresses)[dispatcher][worker].to_string(),
               "site": site, "class": spec.kind, "block": worker / 8,
               "health": health, "share": 1.0, "born_ms": listing.started_ms})
    }

    /// Returns the line with the complete list for a dispatcher, and logs a notification for every worker.
    fn complete_list_line(&self, dispatcher: usize, list: &WorkerList) -> String {
        let listed = list
            .listings
            .iter()
            .enumerate()
            .filter(|(_, listing)| listing.availability != Availability::Gone);
        let hosts: Vec<Value> =
            listed.map(|(worker, listing)| self.endpoint_json(dispatcher, worker, *listing)).collect();
        for (worker, listing) in list.listings.iter().enumerate() {
            self.log.append(Event::Notified { dispatcher, worker, availability: listing.availability });
        }
        format!("{}\n", json!({"seq": list.sequence, "whole": true, "hosts": hosts}))
    }

    /// Returns the complete list as JSON, for the configuration of a dispatcher. It logs a notification for every worker, as the
    /// dispatcher starts with this list.
    pub fn known_workers(&self, dispatcher: usize) -> Value {
        serde_json::from_str(&self.complete_list_line(dispatcher, &lock(&self.list))).unwrap_or_default()
    }

    /// Answers a call after those before it, at the rate of the plan. A call that would wait for longer than [`MAX_QUEUE_DELAY`]
    /// gets status 503 after that delay.
    async fn answer_queued(&self, dispatcher: usize, request: &Request<Incoming>) -> Response<Body> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        if let Some(rate) = self.plan.discovery_rate {
            let now = tokio::time::Instant::now();
            let turn = {
                let mut busy = lock(&self.busy_until);
                let turn = (*busy).max(now) + Duration::from_secs_f64(1.0 / rate);
                if turn <= now + MAX_QUEUE_DELAY {
                    *busy = turn;
                }
                turn
            };
            tokio::time::sleep_until(turn.min(now + MAX_QUEUE_DELAY)).await;
            if turn > now + MAX_QUEUE_DELAY {
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
        let complete = self.complete_list_line(dispatcher, &list);
        if !request
            .uri()
            .query()
            .is_some_and(|query| query.split('&').any(|parameter| parameter == "watch=1"))
        {
            return complete_response(200, &[], complete);
        }
        let (lines, body) = mpsc::unbounded_channel();
        let _ = lines.send(Ok(Frame::data(Bytes::from(complete))));
        list.watches.push(Watch { dispatcher, lines });
        Response::new(StreamBody::new(UnboundedReceiverStream::new(body)).boxed())
    }

    /// Changes the listed availability of a worker, and sends the change to the open watches.
    fn publish(&self, worker: usize, availability: Availability) {
        let mut list = lock(&self.list);
        let has_restarted = availability == (Availability::Ready { cold: true });
        let started_ms = if has_restarted { unix_ms() } else { list.listings[worker].started_ms };
        let listing = Listing { availability, started_ms };
        list.sequence += 1;
        list.listings[worker] = listing;
        self.log.append(Event::Published { worker, availability });
        let sequence = list.sequence;
        list.watches.retain(|watch| {
            let host = self.endpoint_json(watch.dispatcher, worker, listing);
            let line = format!("{}\n", json!({"seq": sequence, "whole": false, "hosts": [host]}));
            let is_open = watch.lines.send(Ok(Frame::data(Bytes::from(line)))).is_ok();
            if is_open {
                self.log.append(Event::Notified { dispatcher: watch.dispatcher, worker, availability });
            }
            is_open
        });
    }

    /// Publishes the changes of the workers, each with a random delay, for as long as it is polled. If several changes of one
    /// worker are pending, only the latest is published.
    pub async fn run(self: Arc<Self>, mut changes: mpsc::UnboundedReceiver<(usize, Availability)>) {
        let mut rng = Pcg64Mcg::seed_from_u64(self.plan.seed ^ 0xd15c);
        let mut heartbeat = tokio::time::interval(HEARTBEAT_INTERVAL);
        let mut latest = vec![0_u64; self.plan.workers.len()];
        let (due, mut ready) = mpsc::unbounded_channel();
        loop {
            tokio::select! {
                Some((worker, availability)) = changes.recv() => {
                    // A silent process is detected only by missing heartbeats, which takes longer than a change that the worker
                    // announces itself.
                    let delay_s = match availability {
                        Availability::Draining => rng.random_range(1.1..4.1),
                        Availability::Gone => rng.random_range(7.4..14.0),
                        Availability::Ready { .. } => rng.random_range(0.47..2.0),
                    };
                    latest[worker] += 1;
                    let (due, number) = (due.clone(), latest[worker]);
                    tokio::spawn(async move {
                        tokio::time::sleep(Duration::from_secs_f64(delay_s)).await;
                        let _ = due.send((worker, availability, number));
                    });
                }
                Some((worker, availability, number)) = ready.recv() => {
                    if number == latest[worker] {
                        self.publish(worker, availability);
                    }
                }
                _ = heartbeat.tick() => {
                    let heartbeat = || Ok(Frame::data(Bytes::from_static(b"\n")));
                    lock(&self.list).watches.retain(|watch| watch.lines.send(heartbeat()).is_ok());
                }
            }
        }
    }
}
