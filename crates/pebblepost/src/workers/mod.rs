//! Workers reached by HTTP: attempts, load probes, and the pool of idle connections.
//!
//! Owns which connection carries which attempt. Whether and where a request goes is decided by the engine.

pub(crate) mod connection;
mod load_report;
mod response;

use crate::connection_role::ConnectionRole;
use crate::context::Context;
use crate::engine::{AttemptId, Input};
use crate::http::{self, Body, Framing};
use crate::net::ConnectionKey;
use connection::{Task, WorkerConnection};
use load_report::ReportNames;
use pebblepost_dispatch::api::{Settings, Status, WorkerId};
use response::{TaskUpdate, probe_status};
use std::collections::HashMap;
use std::time::Duration;

/// The request of a load probe.
const PROBE_REQUEST: &[u8] = b"GET /status/load HTTP/1.1\r\nHost: api.internal\r\n\r\n";
/// A probe without a response by then has timed out.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// A response has to end within this time of its last line, or its connection is not used again.
const RESPONSE_END_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest line of a response, in bytes: a result of 64 KiB with each byte escaped.
const MAX_LINE_BYTES: usize = 512 * 1024;
/// How long an idle connection lives if the settings say nothing.
const DEFAULT_KEEPALIVE: Duration = Duration::from_secs(30);
/// Share of its lifetime after which an idle connection is closed here: a request on one that the worker's machine is
/// about to close is lost.
const KEEPALIVE_SHARE: f64 = 0.9;

/// A request as a worker gets it.
#[derive(Debug)]
pub struct WorkerRequest {
    /// Its id, which each line of the response repeats.
    pub id: String,
    /// Its head and body.
    pub bytes: Vec<u8>,
}

/// All connections to workers.
#[derive(Debug)]
pub struct WorkerConnections {
    idle: HashMap<WorkerId, Vec<ConnectionKey>>,
    attempts: HashMap<AttemptId, ConnectionKey>,
    connect_timeout: Duration,
    idle_timeout: Duration,
    report_names: ReportNames,
}

impl WorkerConnections {
    /// No connections yet. `report_names` are the names of the values of a load report, in order.
    pub fn new(settings: &Settings, connect_timeout: Duration, report_names: Vec<String>) -> Self {
        let keepalive = if settings.keepalive.is_zero() { DEFAULT_KEEPALIVE } else { settings.keepalive };
        Self {
            idle: HashMap::new(),
            attempts: HashMap::new(),
            connect_timeout,
            idle_timeout: keepalive.mul_f64(KEEPALIVE_SHARE),
            report_names: ReportNames(report_names),
        }
    }

    /// Delivers a request, at once if there is an idle connection.
    ///
    /// A new connection may be established late, when sending may not be allowed any more: the engine is asked again
    /// ([`Input::Connected`]) before the first byte goes out.
    pub fn deliver(
        &mut self, context: &mut Context, attempt: AttemptId, worker: WorkerId, request: &WorkerRequest,
    ) {
        let task = Task::Attempt(attempt);
        let connection = match self.reuse(context, worker, task) {
            Some(key) => {
                send_request(context, key, request);
                Some(key)
            }
            None => self.connect(context, worker, task),
        };
        match connection {
            Some(key) => {
                self.attempts.insert(attempt, key);
            }
            None => context.inputs.push(Input::attempt_failed(attempt, Status::ConnectFailed)),
        }
    }

    /// Sends the request on the connection that was established for the attempt.
    pub fn transmit(&mut self, context: &mut Context, attempt: AttemptId, request: &WorkerRequest) {
        if let Some(key) = self.attempts.get(&attempt) {
            send_request(context, *key, request);
        }
    }

    /// Probes a worker's load.
    pub fn probe(&mut self, context: &mut Context, worker: WorkerId) {
        let task = Task::Probe(context.net.now);
        let connection = self.reuse(context, worker, task).or_else(|| self.connect(context, worker, task));
        let Some(key) = connection else {
            let (status, latency, report) = (Status::ConnectFailed, Duration::ZERO, Vec::new());
            context.inputs.push(Input::Probed { worker, status, latency, report });
            return;
        };
        context.net.send(key, PROBE_REQUEST);
        if context.net.get(key).is_some_and(|connection| connection.connected) {
            context.net.set_deadline(key, Some(PROBE_TIMEOUT));
        }
    }

    /// Ends an attempt that was abandoned by closing its connection.
    pub fn abandon(&mut self, context: &mut Context, attempt: AttemptId) {
        if let Some(key) = self.attempts.remove(&attempt) {
            context.net.close(key);
        }
    }

    /// Closes the idle connections to a worker.
    pub fn close_idle(&mut self, context: &mut Context, worker: WorkerId) {
        for key in self.idle.remove(&worker).unwrap_or_default() {
            let is_idle = |role: &mut ConnectionRole| matches!(role, ConnectionRole::Worker(worker) if worker.task == Task::Idle);
            if context.net.role(key).is_some_and(is_idle) {
                context.net.close(key);
            }
        }
    }

    /// A connection was established: the connect time-out does not count any more.
    pub fn on_connected(&mut self, context: &mut Context, key: ConnectionKey) {
        let Some(ConnectionRole::Worker(worker)) = context.net.role(key) else { return };
        let task = worker.task;
        context.net.set_deadline(key, matches!(task, Task::Probe(_)).then_some(PROBE_TIMEOUT));
        if let Task::Attempt(attempt) = task {
            context.inputs.push(Input::Connected(attempt));
        }
    }

    /// Processes received bytes.
    pub fn on_data(&mut self, context: &mut Context, key: ConnectionKey) {
        while self.read_response(context, key) {}
        context.net.update_interest(key);
    }

    /// The connection broke or could not be established.
    pub fn on_closed(&mut self, context: &mut Context, key: ConnectionKey) {
        let Some(connection) = context.net.get(key) else { return };
        let ConnectionRole::Worker(worker) = &connection.role else {
            context.net.close(key);
            return;
        };
        // Before the request's last byte is written nothing can have run.
        let unsent = worker.unsent || !connection.connected || !connection.is_flushed();
        let update = match &worker.response {
            // Here the end of the connection is the end of the response.
            Some((head, body))
                if head.framing == Framing::UntilClose && !body.is_complete() && head.status != 200 =>
            {
                TaskUpdate::from_status(&self.report_names, head)
            }
            _ if unsent => TaskUpdate::ended(Status::ConnectFailed),
            _ => TaskUpdate::ended(Status::Reset),
        };
        self.close_and_end(context, key, update);
    }

    /// The connection's deadline: for establishing it, for a probe's response, for a response's end or for idleness.
    pub fn on_deadline(&mut self, context: &mut Context, key: ConnectionKey) {
        let Some(connection) = context.net.get(key) else { return };
        let status = if connection.connected { Status::Timeout } else { Status::ConnectFailed };
        self.close_and_end(context, key, TaskUpdate::ended(status));
    }

    /// Takes the idle connection that was used last for a task. One with unread input (a late second response, the worker's
    /// end) is of no use any more.
    fn reuse(&mut self, context: &mut Context, worker: WorkerId, task: Task) -> Option<ConnectionKey> {
        let pool = self.idle.entry(worker).or_default();
        while let Some(key) = pool.pop() {
            let Some(connection) = context.net.get(key) else { continue };
            let quiet = connection.is_quiet();
            let ConnectionRole::Worker(worker) = &mut connection.role else { continue };
            if worker.task != Task::Idle {
                continue;
            }
            if !quiet {
                context.net.close(key);
                continue;
            }
            worker.task = task;
            connection.idle_since = None;
            context.net.set_deadline(key, None);
            return Some(key);
        }
        None
    }

    fn connect(&mut self, context: &mut Context, worker: WorkerId, task: Task) -> Option<ConnectionKey> {
        let role = ConnectionRole::Worker(WorkerConnection::new(worker, task));
        let key = context.net.connect(context.worker_address(worker)?, role).ok()?;
        context.net.set_deadline(key, Some(self.connect_timeout));
        Some(key)
    }

    /// Processes one element of a response; `true` if there may be more.
    fn read_response(&mut self, context: &mut Context, key: ConnectionKey) -> bool {
        let Some(connection) = context.net.get(key) else { return false };
        let ConnectionRole::Worker(worker) = &mut connection.role else { return false };
        if worker.task == Task::Idle {
            if !connection.input.is_empty() {
                context.net.close(key); // A response without a request.
            }
            return false;
        }
        if worker.response.is_none() {
            match http::response_head(&mut connection.input) {
                Ok(Some(head)) => {
                    let body = Body::new(head.framing);
                    worker.response = Some((head, body));
                }
                Ok(None) => return false,
                Err(_) => return self.abort(context, key),
            }
        }
        let Some((_, body)) = &mut worker.response else { return false };
        let decoded = body.decode(&mut connection.input, &mut worker.lines);
        worker.malformed = worker.malformed || decoded.is_err();
        let (complete, malformed) = (body.is_complete(), worker.malformed);
        if worker.lines.len() > MAX_LINE_BYTES {
            return self.abort(context, key);
        }
        let task = worker.task;
        match self.next_element(worker) {
            Element::Malformed => self.abort(context, key),
            Element::EmptyLine => true,
            Element::Update(update) => {
                self.on_update(context, key, task, update);
                true
            }
            Element::None if malformed => self.abort(context, key),
            Element::None => {
                if task == Task::ResponseEnd && complete {
                    self.release(context, key);
                }
                false
            }
        }
    }

    /// Takes the next element off the decoded body.
    fn next_element(&self, worker: &mut WorkerConnection) -> Element {
        let Some((head, body)) = &worker.response else { return Element::None };
        let names = &self.report_names;
        match worker.task {
            Task::ResponseEnd => {
                worker.lines.consume(worker.lines.len());
                Element::None
            }
            Task::Probe(_) if body.is_complete() => {
                let status = probe_status(head.status);
                let in_body = names.read_body(worker.lines.data());
                let report = if in_body.is_empty() { names.read_header(head) } else { in_body };
                worker.lines.consume(worker.lines.len());
                Element::Update(TaskUpdate::Ended { status, report, body: Vec::new() })
            }
            Task::Attempt(_) if head.status == 200 => match http::take_json_line(&mut worker.lines) {
                Some(line) if line.is_empty() => Element::EmptyLine,
                Some(line) => TaskUpdate::from_line(names, &worker.request_id, &line)
                    .map_or(Element::Malformed, Element::Update),
                None if body.is_complete() => Element::Update(TaskUpdate::ended(Status::Reset)),
                None => Element::None,
            },
            Task::Attempt(_) if body.is_complete() => {
                worker.lines.consume(worker.lines.len());
                Element::Update(TaskUpdate::from_status(names, head))
            }
            _ => Element::None,
        }
    }

    fn on_update(&mut self, context: &mut Context, key: ConnectionKey, task: Task, update: TaskUpdate) {
        match (task, update) {
            (Task::Attempt(attempt), TaskUpdate::Started) => context.inputs.push(Input::Started(attempt)),
            (Task::Attempt(attempt), TaskUpdate::Progress(done)) => {
                context.inputs.push(Input::Progress(attempt, done));
            }
            (task, update) => {
                let Some(ConnectionRole::Worker(worker)) = context.net.role(key) else { return };
                worker.task = Task::ResponseEnd;
                let worker = worker.worker;
                self.end_task(context, worker, task, update);
                context.net.set_deadline(key, Some(RESPONSE_END_TIMEOUT));
            }
        }
    }

    /// A response was read to its end: the connection returns to the pool if it is clean and persists.
    fn release(&mut self, context: &mut Context, key: ConnectionKey) {
        let now = context.net.now;
        let Some(connection) = context.net.get(key) else { return };
        let clean = connection.input.is_empty() && connection.is_flushed();
        let ConnectionRole::Worker(worker) = &mut connection.role else { return };
        let persists = worker.response.take().is_some_and(|(head, _)| head.keep_alive);
        if !clean || !persists {
            context.net.close(key);
            return;
        }
        worker.task = Task::Idle;
        let worker = worker.worker;
        connection.idle_since = Some(now);
        context.net.set_deadline(key, Some(self.idle_timeout));
        let pool = self.idle.entry(worker).or_default();
        pool.retain(|key| context.net.get(*key).is_some()); // Others may have been closed meanwhile.
        pool.push(key);
    }

    /// The response is malformed: the task ends, and the connection with it. Always `false`: nothing more is read.
    fn abort(&mut self, context: &mut Context, key: ConnectionKey) -> bool {
        if let Some(ConnectionRole::Worker(worker)) = context.net.abort(key) {
            self.end_task(context, worker.worker, worker.task, TaskUpdate::ended(Status::Error));
        }
        false
    }

    fn close_and_end(&mut self, context: &mut Context, key: ConnectionKey, update: TaskUpdate) {
        if let Some(ConnectionRole::Worker(worker)) = context.net.close(key) {
            self.end_task(context, worker.worker, worker.task, update);
        }
    }

    /// Reports the end of a task to the engine.
    fn end_task(&mut self, context: &mut Context, worker: WorkerId, task: Task, update: TaskUpdate) {
        match (task, update) {
            (Task::Attempt(attempt), TaskUpdate::Ended { status, report, body }) => {
                self.attempts.remove(&attempt);
                context.inputs.push(Input::AttemptEnded { attempt, status, report, body });
            }
            (Task::Attempt(attempt), TaskUpdate::Invalid) => {
                self.attempts.remove(&attempt);
                context.inputs.push(Input::RequestInvalid(attempt));
            }
            (Task::Probe(sent), update) => {
                let (status, report) = match update {
                    TaskUpdate::Ended { status, report, .. } => (status, report),
                    _ => (Status::Error, Vec::new()),
                };
                let latency = context.net.now.since(sent);
                context.inputs.push(Input::Probed { worker, status, latency, report });
            }
            _ => {}
        }
    }
}

/// What was next in the body of a response.
enum Element {
    /// Nothing complete.
    None,
    /// An empty line.
    EmptyLine,
    /// An update of the task.
    Update(TaskUpdate),
    /// A line that makes no sense.
    Malformed,
}

fn send_request(context: &mut Context, key: ConnectionKey, request: &WorkerRequest) {
    if let Some(ConnectionRole::Worker(worker)) = context.net.role(key) {
        worker.unsent = false;
        request.id.clone_into(&mut worker.request_id);
    }
    context.net.send(key, &request.bytes);
}
