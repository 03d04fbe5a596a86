//! The wire protocol of a simulated worker: the HTTP/1.1 protocol of the platform's transcribers. The response to a job is a
//! stream of JSON lines.

use super::model::Admission;
use super::pool::WorkerPool;
use super::simulated::{ConnectionMode, JobUpdate, SimulatedWorker};
use crate::attempt_id::arrival_index;
use crate::checker::rules::result_body;
use crate::event_log::{AttemptEnd, Event};
use crate::sync::lock;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, StreamBody, combinators::BoxBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_stream::wrappers::UnboundedReceiverStream;

/// Work of a load report, in seconds at speed 1: the middle of the range that the site specifies.
const LOAD_REPORT_WORK_S: f64 = 0.000_034;
/// Work of a new connection, in seconds at speed 1: the middle of the range that the site specifies.
const CONNECTION_WORK_S: f64 = 0.002;
/// Interval between two progress updates of a running job.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);

/// The response body of a simulated service.
pub type Body = BoxBody<Bytes, Infallible>;

/// A line of a streamed response body.
pub type StreamedLine = Result<Frame<Bytes>, Infallible>;

/// Builds a response whose body is not streamed.
pub fn complete_response(status: u16, headers: &[(&'static str, &str)], body: String) -> Response<Body> {
    let mut builder = Response::builder().status(status);
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    builder.body(Full::new(Bytes::from(body)).boxed()).unwrap_or_default()
}

fn empty_response(status: u16) -> Response<Body> {
    complete_response(status, &[], String::new())
}

/// Opens a listener at every worker for one more dispatcher and returns the addresses in the order of the workers.
///
/// Each dispatcher has its own address at each worker, so that the log can name the dispatcher that sent an attempt.
///
/// # Errors
///
/// Returns an error if a listener can not be bound.
pub async fn listen(pool: &Arc<WorkerPool>, dispatcher: usize) -> std::io::Result<Vec<SocketAddr>> {
    let mut addresses = Vec::new();
    for worker in pool.workers() {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        addresses.push(listener.local_addr()?);
        tokio::spawn(accept_connections(pool.clone(), worker.clone(), dispatcher, listener));
    }
    Ok(addresses)
}

/// Accepts and serves the connections from one dispatcher to one worker.
async fn accept_connections(
    pool: Arc<WorkerPool>, worker: Arc<SimulatedWorker>, dispatcher: usize, listener: TcpListener,
) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve_connection(pool.clone(), worker.clone(), dispatcher, stream));
    }
}

async fn serve_connection(
    pool: Arc<WorkerPool>, worker: Arc<SimulatedWorker>, dispatcher: usize, stream: TcpStream,
) {
    // With a linger time of zero a dropped connection is reset, as after a crash.
    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    let _ = stream.set_nodelay(true);
    let mut connections = worker.connections.subscribe();
    let initial = *connections.borrow_and_update();
    match initial.mode {
        ConnectionMode::Down => return,
        // A silent worker on a real network would not complete the handshake, so the connection is not counted.
        ConnectionMode::Silent => {}
        ConnectionMode::Up => {
            let mut state = lock(&worker.state);
            state.model.add_overhead(dispatcher, CONNECTION_WORK_S);
            state.connection_opened();
        }
    }
    let service = service_fn({
        let worker = worker.clone();
        move |request| {
            let (pool, worker) = (pool.clone(), worker.clone());
            async move { Ok::<_, Infallible>(answer(pool, worker, dispatcher, request).await) }
        }
    });
    let connection =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ = connection => {}
        _ = connections.wait_for(|now| now.mode == ConnectionMode::Down || now.resets != initial.resets) => {}
    }
    if initial.mode == ConnectionMode::Up {
        lock(&worker.state).connection_closed();
    }
}

async fn answer(
    pool: Arc<WorkerPool>, worker: Arc<SimulatedWorker>, dispatcher: usize, request: Request<Incoming>,
) -> Response<Body> {
    if worker.mode() == ConnectionMode::Silent {
        std::future::pending::<()>().await;
    }
    let header = |name| {
        let value = request.headers().get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let (txn, key) = (header("x-txn"), header("idempotency-key"));
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/health") => return empty_response(200),
        (&Method::GET, "/status/load") => return report_load(&worker, dispatcher),
        (&Method::POST, _) if !txn.is_empty() => {}
        _ => return empty_response(404),
    }
    if request.into_body().collect().await.is_err() {
        return empty_response(400);
    }
    let Some(arrival) = arrival_index(&txn).filter(|arrival| *arrival < pool.plan.arrivals.len()) else {
        pool.log.append(Event::UnknownRequest { txn });
        return empty_response(400);
    };
    let number = worker.number;
    pool.log.append(Event::AttemptArrived { txn: txn.clone(), key, dispatcher, worker: number });
    submit(pool, &worker, dispatcher, txn, arrival)
}

fn report_load(worker: &SimulatedWorker, dispatcher: usize) -> Response<Body> {
    let mut state = lock(&worker.state);
    state.model.add_overhead(dispatcher, LOAD_REPORT_WORK_S);
    let report = state.report;
    let body = json!({"util": report.utilization, "eps": report.failure_share, "x0": report.free_slots});
    complete_response(200, &[("content-type", "application/json")], body.to_string())
}

/// Submits a job to the worker and returns the stream of its updates, or a rejection.
fn submit(
    pool: Arc<WorkerPool>, worker: &SimulatedWorker, dispatcher: usize, txn: String, arrival: usize,
) -> Response<Body> {
    let work = pool.next_attempt_work(arrival);
    let job_id = pool.next_job_id();
    let spec = &pool.plan.arrivals[arrival];
    let (updates_in, updates) = mpsc::unbounded_channel();
    {
        let mut state = lock(&worker.state);
        let admission = state.model.submit(dispatcher, job_id, spec.slots, work, spec.key);
        if admission == Admission::Rejected || state.draining {
            drop(state);
            let end = AttemptEnd::NotRun;
            pool.log.append(Event::AttemptEnded { txn, worker: worker.number, end });
            return complete_response(503, &[("x-turned-away", "1")], String::new());
        }
        state.jobs.insert(job_id, updates_in);
    }
    let (lines, body) = mpsc::unbounded_channel();
    let job = StreamedJob { pool, worker: worker.number, txn, work, lines };
    tokio::spawn(job.run(updates));
    Response::new(StreamBody::new(UnboundedReceiverStream::new(body)).boxed())
}

/// A job whose updates are written to its response. Its end is logged even if the response is no longer read.
struct StreamedJob {
    pool: Arc<WorkerPool>,
    worker: usize,
    txn: String,
    /// Work of the attempt, in seconds at speed 1.
    work: f64,
    lines: mpsc::UnboundedSender<StreamedLine>,
}

impl StreamedJob {
    async fn run(self, mut updates: mpsc::UnboundedReceiver<JobUpdate>) {
        let mut started_at: Option<f64> = None;
        loop {
            match tokio::time::timeout(PROGRESS_INTERVAL, updates.recv()).await {
                Err(_) => {
                    if let Some(at) = started_at {
                        let share = ((self.pool.log.now() - at) / self.work.max(0.001)).min(0.99);
                        self.send_line("running", json!({"share": share}));
                    }
                }
                Ok(Some(JobUpdate::Started)) => {
                    started_at = Some(self.pool.log.now());
                    self.send_line("started", Value::Null);
                }
                Ok(Some(JobUpdate::Done)) => {
                    self.log_end(AttemptEnd::Done);
                    return self.send_line("done", json!({"result": result_body(&self.txn)}));
                }
                Ok(Some(JobUpdate::Failed)) => {
                    self.log_end(AttemptEnd::Failed);
                    return self.send_line("failed", Value::Null);
                }
                Ok(Some(JobUpdate::Returned)) => {
                    self.log_end(AttemptEnd::NotRun);
                    return self.send_line("returned", Value::Null);
                }
                // The sender was dropped because the worker crashed. The crash also resets the connections, so no line is sent.
                Ok(None) => return self.log_end(AttemptEnd::Failed),
            }
        }
    }

    /// Logs the end of the attempt. It must be called before the last line is sent; otherwise the log could show the
    /// dispatcher's answer before the end of the attempt.
    fn log_end(&self, end: AttemptEnd) {
        self.pool.log.append(Event::AttemptEnded { txn: self.txn.clone(), worker: self.worker, end });
    }

    fn send_line(&self, state: &str, extra: Value) {
        let host = &self.pool.plan.workers[self.worker].host;
        let mut line = json!({"id": self.txn, "from": host, "state": state});
        if let (Some(line), Value::Object(extra)) = (line.as_object_mut(), extra) {
            line.extend(extra);
        }
        // Sending fails if the dispatcher has closed the connection.
        let _ = self.lines.send(Ok(Frame::data(Bytes::from(format!("{line}\n")))));
    }
}
