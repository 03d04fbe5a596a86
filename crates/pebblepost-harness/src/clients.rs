//! Open-loop clients: each request goes out at its time, whether or not earlier ones have been answered, and is retried after
//! a rejection or a failure.

use crate::attempt_id::attempt_id;
use crate::event_log::{Event, EventLog};
use crate::sync::lock;
use crate::workload::arrivals::Arrival;
use crate::workload::latency_target::DEADLINE_S;
use crate::workload::plan::Plan;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::TokioExecutor;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// Served, so many seconds after its first attempt.
    Served(f64),
    /// Rejected or failed at each attempt.
    Rejected,
    /// No answer in time, or the connection was closed.
    Lost,
    /// The client disconnected.
    Cancelled,
}

/// How one request went.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestResult {
    /// Its number in the plan.
    pub arrival: usize,
    /// How it ended.
    pub outcome: Outcome,
    /// Attempts.
    pub attempts: u32,
    /// Seconds until its first rejection, if any.
    pub first_rejection_after_s: Option<f64>,
}

/// No attempt begins with less time than this to the deadline.
const LEAST_TIME_LEFT: Duration = Duration::from_millis(20);
/// Answers are still read for so long after the deadline.
const LAST_ANSWER_GRACE: Duration = Duration::from_millis(50);

type Http = Client<HttpConnector, Full<Bytes>>;

/// The clients of all dispatchers.
pub struct Clients {
    plan: Arc<Plan>,
    log: Arc<EventLog>,
    /// A pool of connections for each dispatcher.
    dispatchers: Vec<(Http, SocketAddr)>,
    results: Mutex<Vec<RequestResult>>,
}

/// How one attempt ended.
enum Reply {
    Served,
    Rejected,
    Lost,
    Cancelled,
}

impl Clients {
    /// Clients of the dispatchers at these addresses.
    pub fn new(plan: Arc<Plan>, log: Arc<EventLog>, dispatchers: &[SocketAddr]) -> Arc<Self> {
        let connect = |address: &SocketAddr| {
            let mut connector = HttpConnector::new();
            connector.set_nodelay(true);
            (Client::builder(TokioExecutor::new()).build(connector), *address)
        };
        let dispatchers = dispatchers.iter().map(connect).collect();
        Arc::new(Self { plan, log, dispatchers, results: Mutex::default() })
    }

    /// Sends all requests from now on; returns how each went, once the last has ended.
    pub async fn play(self: Arc<Self>) -> Vec<RequestResult> {
        let start = Instant::now();
        let mut out = tokio::task::JoinSet::new();
        for index in 0..self.plan.arrivals.len() {
            sleep_until(start + Duration::from_secs_f64(self.plan.arrivals[index].at)).await;
            let this = self.clone();
            out.spawn(async move { this.request(index).await });
        }
        while out.join_next().await.is_some() {}
        std::mem::take(&mut *lock(&self.results))
    }

    async fn request(&self, index: usize) {
        let arrival = &self.plan.arrivals[index];
        let began = Instant::now();
        let deadline = began + Duration::from_secs_f64(DEADLINE_S);
        let cancels_after_s = arrival.cancels_after_s.map(|after| began + Duration::from_secs_f64(after));
        let (mut attempts, mut first_rejection_after_s, mut outcome) = (0, None, Outcome::Rejected);
        while attempts <= arrival.retries {
            let sent = Instant::now();
            if sent + LEAST_TIME_LEFT >= deadline {
                break;
            }
            attempts += 1;
            match self.attempt(index, arrival, attempts - 1, deadline, cancels_after_s).await {
                Reply::Served => {
                    outcome = Outcome::Served(began.elapsed().as_secs_f64());
                    break;
                }
                Reply::Lost => {
                    outcome = Outcome::Lost;
                    break;
                }
                Reply::Cancelled => {
                    outcome = Outcome::Cancelled;
                    break;
                }
                Reply::Rejected => {
                    first_rejection_after_s.get_or_insert(sent.elapsed().as_secs_f64());
                    sleep(Duration::from_secs_f64(arrival.backoff)).await;
                }
            }
        }
        lock(&self.results).push(RequestResult {
            arrival: index,
            outcome,
            attempts,
            first_rejection_after_s,
        });
    }

    async fn attempt(
        &self, index: usize, arrival: &Arrival, attempt: u32, deadline: Instant,
        cancels_after_s: Option<Instant>,
    ) -> Reply {
        let (http, address) = &self.dispatchers[arrival.dispatcher % self.dispatchers.len()];
        let (txn, key) = (attempt_id(index, attempt), format!("job-{index:08x}"));
        let waits = (deadline - Instant::now()).as_secs_f64();
        let mut request = Request::post(format!("http://{address}/api/segments"))
            .header("x-txn", &txn)
            .header("x-lane", "segment")
            .header("x-remaining-ms", (waits * 1e3).floor().max(1.0).to_string())
            .header("idempotency-key", &key)
            .header("x-labels", format!("slots={}", arrival.slots));
        if arrival.key != 0 {
            request = request.header("cookie", format!("k={:016x}", arrival.key));
        }
        if let Some(hint) = arrival.hint {
            request = request.header("x-estimate", ((hint * 1e6) as u64).to_string());
        }
        let Ok(request) = request.body(Full::new(Bytes::from_static(b"audio"))) else { return Reply::Lost };
        self.log.append(Event::Requested { txn: txn.clone(), key, dispatcher: arrival.dispatcher, waits });
        let answer = async {
            let response = http.request(request).await.ok()?;
            let status = response.status().as_u16();
            let body = response.into_body().collect().await.ok()?.to_bytes();
            Some((status, String::from_utf8_lossy(&body).into_owned()))
        };
        // An answer at the last moment may still be on its way. A client that cancels closes the connection.
        let until = cancels_after_s.unwrap_or(deadline + LAST_ANSWER_GRACE);
        let event = timeout_at(until, answer).await;
        let (reply, event) = match event {
            Ok(Some((200, body))) => (Reply::Served, Event::Responded { txn, status: 200, body }),
            Ok(Some((status, body))) => (Reply::Rejected, Event::Responded { txn, status, body }),
            Ok(None) => (Reply::Lost, Event::ConnectionClosed { txn }),
            Err(_) if cancels_after_s.is_some() => (Reply::Cancelled, Event::ClientCancelled { txn }),
            Err(_) => (Reply::Lost, Event::TimedOut { txn }),
        };
        self.log.append(event);
        reply
    }
}
