//! Connections to workers by HTTP, which carry attempts and load probes, and the pool of idle ones.
//!
//! This module maps attempts to connections. The engine decides whether a request is sent and to which worker.

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

/// The HTTP request of a load probe.
const PROBE_REQUEST: &[u8] = b"GET /status/load HTTP/1.1\r\nHost: api.internal\r\n\r\n";
/// Time limit for the response to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time limit for the end of a response after its outcome is known. A connection that exceeds it is closed instead of
/// reused.
const RESPONSE_END_TIMEOUT: Duration = Duration::from_millis(500);
/// Limit for decoded, unprocessed bytes of a response, and so for a line: enough for a result of 64 KiB in which every byte
/// is escaped.
const MAX_RESPONSE_LINE_BYTES: usize = 512 * 1024;
/// Keep-alive time of an idle connection if the settings have none.
const DEFAULT_KEEPALIVE: Duration = Duration::from_secs(30);
/// Fraction of the keep-alive time after which this side closes an idle connection. It is less than 1 because a request is lost
/// if it is sent on a connection that the worker is about to close.
const IDLE_TIMEOUT_PER_KEEPALIVE: f64 = 0.9;

/// A request in the form that is sent to a worker.
#[derive(Debug)]
pub struct WorkerRequest {
    /// The id, which each line of the response repeats.
    pub id: String,
    /// The HTTP head and body.
    pub bytes: Vec<u8>,
}

/// All connections to workers that are reached by HTTP.
#[derive(Debug)]
pub struct WorkerConnections {
    /// Idle connections, the one used last at the end. Some may have been closed since.
    idle: HashMap<WorkerId, Vec<ConnectionKey>>,
    attempts: HashMap<AttemptId, ConnectionKey>,
    connect_timeout: Duration,
    idle_timeout: Duration,
    report_names: ReportNames,
}

impl WorkerConnections {
    /// Creates the state without connections. `report_names` are the names of the values of a load report, in order.
    pub fn new(settings: &Settings, connect_timeout: Duration, report_names: Vec<String>) -> Self {
        let keepalive = if settings.keepalive.is_zero() { DEFAULT_KEEPALIVE } else { settings.keepalive };
        Self {
            idle: HashMap::new(),
            attempts: HashMap::new(),
            connect_timeout,
            idle_timeout: keepalive.mul_f64(IDLE_TIMEOUT_PER_KEEPALIVE),
            report_names: ReportNames(report_names),
        }
    }

    /// Delivers a request, immediately if there is an idle connection.
    ///
    /// Otherwise a connection is opened. Because the attempt may not be allowed any more when it is established, the engine
    /// is asked again with [`Input::Connected`] before the first byte is sent. If no connection can be opened, the attempt
    /// ends with [`Status::ConnectFailed`].
    pub fn deliver(
        &mut self, context: &mut Context, attempt: AttemptId, worker: WorkerId, request: &WorkerRequest,
    ) {
        let task = Task::Attempt(attempt);
        let connection = match self.take_idle(context, worker, task) {
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

    /// Sends the request on the new connection of the attempt.
    pub fn transmit(&mut self, context: &mut Context, attempt: AttemptId, request: &WorkerRequest) {
        if let Some(key) = self.attempts.get(&attempt) {
            send_request(context, *key, request);
        }
    }

    /// Sends a load probe to a worker. The result is reported as [`Input::Probed`].
    pub fn probe(&mut self, context: &mut Context, worker: WorkerId) {
        let task = Task::Probe(context.net.now);
        let connection =
            self.take_idle(context, worker, task).or_else(|| self.connect(context, worker, task));
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

    /// Abandons an attempt by closing its connection.
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

    /// Handles the establishment of a connection, which ends the connect time-out.
    pub fn on_connected(&mut self, context: &mut Context, key: ConnectionKey) {
        let Some(ConnectionRole::Worker(worker)) = context.net.role(key) else { return };
        let task = worker.task;
        context.net.set_deadline(key, matches!(task, Task::Probe(_)).then_some(PROBE_TIMEOUT));
        if let Task::Attempt(attempt) = task {
            context.inputs.push(Input::Connected(attempt));
        }
    }

    /// Processes the bytes received on a connection.
    pub fn on_data(&mut self, context: &mut Context, key: ConnectionKey) {
        while self.read_response(context, key) {}
        context.net.update_interest(key);
    }

    /// Handles a connection that was closed by the worker, broke or could not be established.
    pub fn on_closed(&mut self, context: &mut Context, key: ConnectionKey) {
        let Some(connection) = context.net.get(key) else { return };
        let ConnectionRole::Worker(worker) = &connection.role else {
            context.net.close(key);
            return;
        };
        // A worker cannot have run a request whose last byte was not written.
        let never_sent = worker.request_unsent || !connection.connected || !connection.is_flushed();
        let update = match &worker.response {
            // The end of the connection marks the end of this response.
            Some((head, body))
                if head.framing == Framing::UntilClose && !body.is_complete() && head.status != 200 =>
            {
                TaskUpdate::from_status(&self.report_names, head)
            }
            _ if never_sent => TaskUpdate::ended(Status::ConnectFailed),
            _ => TaskUpdate::ended(Status::Reset),
        };
        self.close_and_end(context, key, update);
    }

    /// Handles the connection's deadline: the time-out for connecting, for a probe's response, for the end of a response or for
    /// an idle connection.
    pub fn on_deadline(&mut self, context: &mut Context, key: ConnectionKey) {
        let Some(connection) = context.net.get(key) else { return };
        let status = if connection.connected { Status::Timeout } else { Status::ConnectFailed };
        self.close_and_end(context, key, TaskUpdate::ended(status));
    }

    /// Takes the most recently used idle connection for a task. Connections with unread input, such as a second response or
    /// the end of the stream, cannot be reused and are closed.
    fn take_idle(&mut self, context: &mut Context, worker: WorkerId, task: Task) -> Option<ConnectionKey> {
        let pool = self.idle.entry(worker).or_default();
        while let Some(key) = pool.pop() {
            let Some(connection) = context.net.get(key) else { continue };
            let quiet = connection.is_quiescent();
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

    /// Opens a connection for a task; `None` if the worker has no address or the connection cannot be opened.
    fn connect(&mut self, context: &mut Context, worker: WorkerId, task: Task) -> Option<ConnectionKey> {
        let role = ConnectionRole::Worker(WorkerConnection::new(worker, task));
        let key = context.net.connect(context.worker_address(worker)?, role).ok()?;
        context.net.set_deadline(key, Some(self.connect_timeout));
        Some(key)
    }

    /// Processes one element of a response. Returns `true` if more may be available in the received bytes.
    fn read_response(&mut self, context: &mut Context, key: ConnectionKey) -> bool {
        let Some(connection) = context.net.get(key) else { return false };
        let ConnectionRole::Worker(worker) = &mut connection.role else { return false };
        if worker.task == Task::Idle {
            if !connection.input.is_empty() {
                context.net.close(key); // The worker sent a response without a request.
            }
            return false;
        }
        if worker.response.is_none() {
            match http::take_response_head(&mut connection.input) {
                Ok(Some(head)) => {
                    let body = Body::new(head.framing);
                    worker.response = Some((head, body));
                }
                Ok(None) => return false,
                Err(_) => return self.abort_malformed(context, key),
            }
        }
        let Some((_, body)) = &mut worker.response else { return false };
        let decoded = body.decode(&mut connection.input, &mut worker.decoded_body);
        worker.malformed = worker.malformed || decoded.is_err();
        let (complete, malformed) = (body.is_complete(), worker.malformed);
        if worker.decoded_body.len() > MAX_RESPONSE_LINE_BYTES {
            return self.abort_malformed(context, key);
        }
        let task = worker.task;
        match self.take_element(worker) {
            BodyElement::Malformed => self.abort_malformed(context, key),
            BodyElement::EmptyLine => true,
            BodyElement::Update(update) => {
                self.on_update(context, key, task, update);
                true
            }
            BodyElement::None if malformed => self.abort_malformed(context, key),
            BodyElement::None => {
                if task == Task::ResponseEnd && complete {
                    self.return_to_pool(context, key);
                }
                false
            }
        }
    }

    /// Takes the next element from the decoded body.
    fn take_element(&self, worker: &mut WorkerConnection) -> BodyElement {
        let Some((head, body)) = &worker.response else { return BodyElement::None };
        let names = &self.report_names;
        match worker.task {
            Task::ResponseEnd => {
                worker.decoded_body.consume(worker.decoded_body.len());
                BodyElement::None
            }
            Task::Probe(_) if body.is_complete() => {
                let status = probe_status(head.status);
                let in_body = names.read_body(worker.decoded_body.data());
                let report = if in_body.is_empty() { names.read_header(head) } else { in_body };
                worker.decoded_body.consume(worker.decoded_body.len());
                BodyElement::Update(TaskUpdate::Ended { status, report, body: Vec::new() })
            }
            Task::Attempt(_) if head.status == 200 => match http::take_trimmed_line(&mut worker.decoded_body)
            {
                Some(line) if line.is_empty() => BodyElement::EmptyLine,
                Some(line) => TaskUpdate::from_line(names, &worker.request_id, &line)
                    .map_or(BodyElement::Malformed, BodyElement::Update),
                None if body.is_complete() => BodyElement::Update(TaskUpdate::ended(Status::Reset)),
                None => BodyElement::None,
            },
            Task::Attempt(_) if body.is_complete() => {
                worker.decoded_body.consume(worker.decoded_body.len());
                BodyElement::Update(TaskUpdate::from_status(names, head))
            }
            _ => BodyElement::None,
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

    /// Returns a connection to the pool after the end of a response. Closes it instead if it is not persistent, or has unread
    /// input or unwritten output.
    fn return_to_pool(&mut self, context: &mut Context, key: ConnectionKey) {
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
        pool.retain(|key| context.net.get(*key).is_some()); // Drop connections that were closed since.
        pool.push(key);
    }

    /// Ends the task with an error and closes the connection, because the response is malformed. Always returns `false`, as
    /// nothing more is to be read.
    fn abort_malformed(&mut self, context: &mut Context, key: ConnectionKey) -> bool {
        if let Some(ConnectionRole::Worker(worker)) = context.net.abort(key) {
            self.end_task(context, worker.worker, worker.task, TaskUpdate::ended(Status::Error));
        }
        false
    }

    /// Closes a connection and reports the update as the end of its task.
    fn close_and_end(&mut self, context: &mut Context, key: ConnectionKey, update: TaskUpdate) {
        if let Some(ConnectionRole::Worker(worker)) = context.net.close(key) {
            self.end_task(context, worker.worker, worker.task, update);
        }
    }

    /// Reports the end of a task to the engine. Tasks that the engine does not track are ignored.
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

/// The next element in the body of a response.
enum BodyElement {
    /// There is no complete element yet.
    None,
    /// An empty line.
    EmptyLine,
    /// An update of the task.
    Update(TaskUpdate),
    /// A line that is not a valid update for the task.
    Malformed,
}

/// Sends a request on an established connection and records its id.
fn send_request(context: &mut Context, key: ConnectionKey, request: &WorkerRequest) {
    if let Some(ConnectionRole::Worker(worker)) = context.net.role(key) {
        worker.request_unsent = false;
        request.id.clone_into(&mut worker.request_id);
    }
    context.net.send(key, &request.bytes);
}
