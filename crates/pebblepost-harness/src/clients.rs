//! Open-loop clients: each request is sent at its planned time, whether or not earlier requests have been answered, and is
//! retried after a rejection or a failure.

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
    /// Served; the value is the time since its first attempt, in seconds.
    Served(f64),
    /// Every attempt was rejected or failed.
    Rejected,
    /// No answer by the deadline, or the connection was closed.
    Lost,
    /// The client disconnected before it had an answer.
    Cancelled,
}

/// The result of one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestResult {
    /// Index of its arrival in the plan.
    pub arrival: usize,
    /// How it ended.
    pub outcome: Outcome,
    /// Number of attempts that the client made.
    pub attempts: u32,
    /// Time from the start of the attempt that was rejected first to its rejection, in seconds; `None` if none was rejected.
    pub first_rejection_after_s: Option<f64>,
}

/// An attempt is not started with this time or less left until the deadline.
const MIN_TIME_TO_DEADLINE: Duration = Duration::from_millis(20);
/// Time after the deadline for which a client still reads an answer, because an answer that was sent at the last moment may
/// still be in transit.
const RESPONSE_READ_GRACE: Duration = Duration::from_millis(50);

type Http = Client<HttpConnector, Full<Bytes>>;

/// The clients of all dispatchers.
pub struct Clients {
    plan: Arc<Plan>,
    log: Arc<EventLog>,
    /// A connection pool and the address by dispatcher.
    dispatchers: Vec<(Http, SocketAddr)>,
    results: Mutex<Vec<RequestResult>>,
}

/// How one attempt ended.
enum AttemptOutcome {
    Served,
    Rejected,
    Lost,
    Cancelled,
}

impl Clients {
    /// Creates the clients of the dispatchers at these addresses.
    pub fn new(plan: Arc<Plan>, log: Arc<EventLog>, dispatchers: &[SocketAddr]) -> Arc<Self> {
        let connect = |address: &SocketAddr| {
            let mut connector = HttpConnector::new();
            connector.set_nodelay(true);
            (Client::builder(TokioExecutor::new()).build(connector), *address)
        };
        let dispatchers = dispatchers.iter().map(connect).collect();
        Arc::new(Self { plan, log, dispatchers, results: Mutex::default() })
    }

    /// Sends all requests of the plan at their times, relative to now, and returns their results once the last has ended.
    ///
    /// The results are in the order in which the requests ended.
    pub async fn run(self: Arc<Self>) -> Vec<RequestResult> {
        let start = Instant::now();
        let mut in_flight = tokio::task::JoinSet::new();
        for index in 0..self.plan.arrivals.len() {
            sleep_until(start + Duration::from_secs_f64(self.plan.arrivals[index].at)).await;
            let this = self.clone();
            in_flight.spawn(async move { this.send_request(index).await });
        }
        while in_flight.join_next().await.is_some() {}
        std::mem::take(&mut *lock(&self.results))
    }

    async fn send_request(&self, index: usize) {
        let arrival = &self.plan.arrivals[index];
        let started_at = Instant::now();
        let deadline = started_at + Duration::from_secs_f64(DEADLINE_S);
        let cancel_at = arrival.cancels_after_s.map(|after| started_at + Duration::from_secs_f64(after));
        let (mut attempts, mut first_rejection_after_s, mut outcome) = (0, None, Outcome::Rejected);
        while attempts <= arrival.retries {
            let sent_at = Instant::now();
            if sent_at + MIN_TIME_TO_DEADLINE >= deadline {
                break;
            }
            attempts += 1;
            match self.send_attempt(index, arrival, attempts - 1, deadline, cancel_at).await {
                AttemptOutcome::Served => {
                    outcome = Outcome::Served(started_at.elapsed().as_secs_f64());
                    break;
                }
                AttemptOutcome::Lost => {
                    outcome = Outcome::Lost;
                    break;
                }
                AttemptOutcome::Cancelled => {
                    outcome = Outcome::Cancelled;
                    break;
                }
                AttemptOutcome::Rejected => {
                    first_rejection_after_s.get_or_insert(sent_at.elapsed().as_secs_f64());
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

    async fn send_attempt(
        &self, index: usize, arrival: &Arrival, attempt: u32, deadline: Instant, cancel_at: Option<Instant>,
    ) -> AttemptOutcome {
        let (http, address) = &self.dispatchers[arrival.dispatcher % self.dispatchers.len()];
        let (txn, key) = (attempt_id(index, attempt), format!("job-{index:08x}"));
        let timeout_s = (deadline - Instant::now()).as_secs_f64();
        let mut request = Request::post(format!("http://{address}/api/segments"))
            .header("x-txn", &txn)
            .header("x-lane", "segment")
            .header("x-remaining-ms", (timeout_s * 1e3).floor().max(1.0).to_string())
            .header("idempotency-key", &key)
            .header("x-labels", format!("slots={}", arrival.slots));
        if arrival.key != 0 {
            request = request.header("cookie", format!("k={:016x}", arrival.key));
        }
        if let Some(hint) = arrival.hint {
            request = request.header("x-estimate", ((hint * 1e6) as u64).to_string());
        }
        let Ok(request) = request.body(Full::new(Bytes::from_static(b"audio"))) else {
            return AttemptOutcome::Lost;
        };
        self.log.append(Event::Requested {
            txn: txn.clone(),
            key,
            dispatcher: arrival.dispatcher,
            timeout_s,
        });
        let answer = async {
            let response = http.request(request).await.ok()?;
            let status = response.status().as_u16();
            let body = response.into_body().collect().await.ok()?.to_bytes();
            Some((status, String::from_utf8_lossy(&body).into_owned()))
        };
        // The grace period covers an answer in transit at the deadline. A client that cancels drops the call, which closes its
        // connection.
        let until = cancel_at.unwrap_or(deadline + RESPONSE_READ_GRACE);
        let event = timeout_at(until, answer).await;
        let (reply, event) = match event {
            Ok(Some((200, body))) => (AttemptOutcome::Served, Event::Responded { txn, status: 200, body }),
            Ok(Some((status, body))) => (AttemptOutcome::Rejected, Event::Responded { txn, status, body }),
            Ok(None) => (AttemptOutcome::Lost, Event::ConnectionClosed { txn }),
            Err(_) if cancel_at.is_some() => (AttemptOutcome::Cancelled, Event::ClientCancelled { txn }),
            Err(_) => (AttemptOutcome::Lost, Event::TimedOut { txn }),
        };
        self.log.append(event);
        reply
    }
}
