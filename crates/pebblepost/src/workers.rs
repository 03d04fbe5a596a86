//! Workers reached by HTTP: delivery attempts, probes, and the pool of idle links.

use crate::buffer::Buffer;
use crate::engine::{AttemptId, Input};
use crate::http::{self, Body, Head};
use crate::net::{Conn, ConnKey, Role, Shared};
use pebblepost_dispatch::api::{Report, Settings, Status, Time, WorkerId};
use serde_json::Value;
use std::collections::HashMap;
use std::time::Duration;

/// A probe without an answer by then has timed out.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// An answer's end must follow its last line within this time, or its link is not used again.
const TAIL: Duration = Duration::from_millis(500);
/// Longest line of a worker: a result of 64 KiB, each byte escaped.
const MAX_LINE: usize = 512 * 1024;

/// What a link is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Task {
    /// An attempt.
    Attempt(AttemptId),
    /// A probe, sent at that time.
    Probe(Time),
    /// The rest of an answer that has told all it had to.
    Tail,
    /// Nothing.
    Idle,
}

/// A connection to a worker, which carries one request at a time.
#[derive(Debug)]
pub struct Link {
    worker: WorkerId,
    task: Task,
    /// It was opened for an attempt whose request has yet to be put on it.
    unsent: bool,
    /// The id of the attempt's request: what another one's line says counts for nobody.
    id: String,
    head: Option<(Head, Body)>,
    lines: Buffer,
    /// Its answer went wrong after what is in `lines`, which still counts.
    spoilt: bool,
}

/// How a task went.
enum Verdict {
    Ended(Status, Report, Vec<u8>),
    Started,
    Progress(f32),
    Invalid,
}

/// A request as a worker gets it.
#[derive(Debug)]
pub struct Request {
    /// Its id, which each line of the answer repeats.
    pub id: String,
    /// All of it.
    pub bytes: Vec<u8>,
}

/// All links.
#[derive(Debug)]
pub struct Workers {
    idle: HashMap<WorkerId, Vec<ConnKey>>,
    attempts: HashMap<AttemptId, ConnKey>,
    connect_timeout: Duration,
    idle_limit: Duration,
    fields: Vec<String>,
}

impl Workers {
    /// No links yet. `fields`: names of the values of a load report, in order.
    pub fn new(settings: &Settings, connect_timeout: Duration, fields: Vec<String>) -> Self {
        // A link that the worker's machine is about to close must not be used: a request on it is lost.
        let keepalive =
            if settings.keepalive.is_zero() { Duration::from_secs(30) } else { settings.keepalive };
        let idle_limit = keepalive.mul_f64(0.9);
        Self { idle: HashMap::new(), attempts: HashMap::new(), connect_timeout, idle_limit, fields }
    }

    /// Delivers a request, at once if there is an idle link. A new one may come up late; by then it may no longer be
    /// right to send, so the core is asked again ([`Input::Connected`]) before the first byte goes out.
    pub fn deliver(&mut self, s: &mut Shared, attempt: AttemptId, worker: WorkerId, request: &Request) {
        let task = Task::Attempt(attempt);
        let started = match self.idle_link(s, worker, task) {
            Some(key) => {
                self.put(s, key, request);
                Some(key)
            }
            None => self.new_link(s, worker, task),
        };
        match started {
            Some(key) => {
                self.attempts.insert(attempt, key);
            }
            None => {
                s.inputs.push(Input::attempt_failed(attempt, Status::ConnectFailed));
            }
        }
    }

    /// Puts the request on the link that came up for it.
    pub fn transmit(&mut self, s: &mut Shared, attempt: AttemptId, request: &Request) {
        if let Some(key) = self.attempts.get(&attempt) {
            self.put(s, *key, request);
        }
    }

    fn put(&self, s: &mut Shared, key: ConnKey, request: &Request) {
        if let Some(Role::Worker(link)) = s.net.get(key).map(|c| &mut c.role) {
            link.unsent = false;
            request.id.clone_into(&mut link.id);
        }
        s.net.send(key, &request.bytes);
    }

    /// Probes a worker.
    pub fn probe(&mut self, s: &mut Shared, worker: WorkerId) {
        const PROBE: &[u8] = b"GET /status/load HTTP/1.1\r\nHost: api.internal\r\n\r\n";
        let task = Task::Probe(s.net.now);
        let Some(key) = self.idle_link(s, worker, task).or_else(|| self.new_link(s, worker, task)) else {
            s.inputs.push(Input::Probed {
                worker,
                status: Status::ConnectFailed,
                latency: Duration::ZERO,
                report: Vec::new(),
            });
            return;
        };
        s.net.send(key, PROBE);
        if s.net.get(key).is_some_and(|c| c.connected) {
            s.net.set_deadline(key, Some(PROBE_TIMEOUT));
        }
    }

    /// Puts a task on the link used last. One on which something lies unread (a late second answer, the worker's end)
    /// is of no use any more.
    fn idle_link(&mut self, s: &mut Shared, worker: WorkerId, task: Task) -> Option<ConnKey> {
        let pool = self.idle.entry(worker).or_default();
        while let Some(key) = pool.pop() {
            let Some(conn) = s.net.get(key) else { continue };
            let quiet = conn.is_quiet();
            let Role::Worker(link) = &mut conn.role else { continue };
            if link.task != Task::Idle {
                continue;
            }
            if !quiet {
                s.net.close(key);
                continue;
            }
            link.task = task;
            conn.idle_since = None;
            s.net.set_deadline(key, None);
            return Some(key);
        }
        None
    }

    fn new_link(&mut self, s: &mut Shared, worker: WorkerId, task: Task) -> Option<ConnKey> {
        let unsent = matches!(task, Task::Attempt(_));
        let link = Link {
            worker,
            task,
            unsent,
            id: String::new(),
            head: None,
            lines: Buffer::default(),
            spoilt: false,
        };
        let key = s.net.connect(s.dial(worker)?, Role::Worker(link)).ok()?;
        s.net.set_deadline(key, Some(self.connect_timeout));
        Some(key)
    }

    /// Ends an attempt that has been given up, by closing its link. Late events of it find nobody.
    pub fn give_up(&mut self, s: &mut Shared, attempt: AttemptId) {
        if let Some(key) = self.attempts.remove(&attempt) {
            s.net.close(key);
        }
    }

    /// Closes the idle links to a worker.
    pub fn close_idle(&mut self, s: &mut Shared, worker: WorkerId) {
        for key in self.idle.remove(&worker).unwrap_or_default() {
            let idle = |c: &mut Conn| matches!(&c.role, Role::Worker(l) if l.task == Task::Idle);
            if s.net.get(key).is_some_and(idle) {
                s.net.close(key);
            }
        }
    }

    /// A link came up: the time for that no longer counts.
    pub fn on_up(&mut self, s: &mut Shared, key: ConnKey) {
        let Some(Role::Worker(link)) = s.net.get(key).map(|c| &c.role) else { return };
        let task = link.task;
        s.net.set_deadline(key, matches!(task, Task::Probe(_)).then_some(PROBE_TIMEOUT));
        if let Task::Attempt(attempt) = task {
            s.inputs.push(Input::Connected(attempt));
        }
    }

    /// Bytes have come.
    pub fn on_data(&mut self, s: &mut Shared, key: ConnKey) {
        while self.read_on(s, key) {}
        s.net.sync(key);
    }

    /// Reads one thing off the input; `true`: there may be more.
    fn read_on(&mut self, s: &mut Shared, key: ConnKey) -> bool {
        let Some(conn) = s.net.get(key) else { return false };
        let Role::Worker(link) = &mut conn.role else { return false };
        let task = link.task;
        if task == Task::Idle {
            if !conn.input.is_empty() {
                s.net.close(key); // Nobody asked for this.
            }
            return false;
        }
        if link.head.is_none() {
            match http::response_head(&mut conn.input) {
                Ok(Some(head)) => {
                    let body = Body::new(head.framing);
                    link.head = Some((head, body));
                }
                Ok(None) => return false,
                Err(_) => return self.broken_answer(s, key),
            }
        }
        let Some((head, body)) = &mut link.head else { return false };
        link.spoilt = link.spoilt || body.decode(&mut conn.input, &mut link.lines).is_err();
        if link.lines.len() > MAX_LINE {
            return self.broken_answer(s, key);
        }
        let (done, spoilt) = (body.is_complete(), link.spoilt);
        let verdict = match task {
            Task::Tail => {
                link.lines.consume(link.lines.len());
                None
            }
            Task::Probe(_) if done => {
                let status = match head.status {
                    200 => Status::Ok,
                    503 => Status::Full,
                    _ => Status::Error,
                };
                let in_body = report_of_body(&self.fields, link.lines.data());
                let report = if in_body.is_empty() { report_of_header(&self.fields, head) } else { in_body };
                link.lines.consume(link.lines.len());
                Some(Verdict::Ended(status, report, Vec::new()))
            }
            Task::Attempt(_) if head.status == 200 => match http::take_json_line(&mut link.lines) {
                Some(line) if line.is_empty() => return true,
                Some(line) => match read_line(&self.fields, &link.id, &line) {
                    Some(verdict) => Some(verdict),
                    None => return self.broken_answer(s, key),
                },
                None if done => Some(Verdict::Ended(Status::Reset, Vec::new(), Vec::new())),
                None => None,
            },
            Task::Attempt(_) if done => {
                link.lines.consume(link.lines.len());
                Some(verdict_of(&self.fields, head))
            }
            _ => None,
        };
        let worker = link.worker;
        match (task, verdict) {
            (Task::Tail, _) if spoilt => self.broken_answer(s, key),
            (Task::Tail, _) => {
                if done {
                    self.rest(s, key);
                }
                false
            }
            (_, None) if spoilt => self.broken_answer(s, key),
            (_, None) => false,
            (Task::Attempt(attempt), Some(Verdict::Started)) => {
                s.inputs.push(Input::Started(attempt));
                true
            }
            (Task::Attempt(attempt), Some(Verdict::Progress(share))) => {
                s.inputs.push(Input::Progress(attempt, share));
                true
            }
            (task, Some(verdict)) => {
                link.task = Task::Tail;
                self.end(s, worker, task, verdict);
                s.net.set_deadline(key, Some(TAIL));
                true
            }
        }
    }

    /// An answer has been read to its end: the link is free again, if nothing speaks against it.
    fn rest(&mut self, s: &mut Shared, key: ConnKey) {
        let now = s.net.now;
        let Some(conn) = s.net.get(key) else { return };
        let clean = conn.input.is_empty() && conn.written();
        let Role::Worker(link) = &mut conn.role else { return };
        let kept = link.head.take().is_some_and(|(head, _)| head.keep_alive);
        if !clean || !kept {
            s.net.close(key);
            return;
        }
        link.task = Task::Idle;
        let worker = link.worker;
        conn.idle_since = Some(now);
        s.net.set_deadline(key, Some(self.idle_limit));
        let pool = self.idle.entry(worker).or_default();
        pool.retain(|k| s.net.get(*k).is_some()); // Those that ended meanwhile.
        pool.push(key);
    }

    /// Garbage came: this attempt or probe ends, and the link with it.
    fn broken_answer(&mut self, s: &mut Shared, key: ConnKey) -> bool {
        if let Some(Role::Worker(link)) = s.net.abort(key) {
            self.end(s, link.worker, link.task, ended(Status::Error));
        }
        false
    }

    /// The link broke or could not be had.
    pub fn on_closed(&mut self, s: &mut Shared, key: ConnKey) {
        let Some(conn) = s.net.get(key) else { return };
        // Before the request's last byte is written nothing can have run.
        let pending = matches!(&conn.role, Role::Worker(link) if link.unsent);
        let unsent = pending || !conn.connected || !conn.written();
        if let Role::Worker(Link { head: Some((head, body)), .. }) = &conn.role
            && head.framing == http::Framing::UntilClose
            && !body.is_complete()
            && head.status != 200
        {
            // The end of the connection is the end of such an answer.
            let verdict = verdict_of(&self.fields, head);
            if let Some(Role::Worker(link)) = s.net.close(key) {
                self.end(s, link.worker, link.task, verdict);
            }
            return;
        }
        if let Some(Role::Worker(link)) = s.net.close(key) {
            self.end(
                s,
                link.worker,
                link.task,
                ended(if unsent { Status::ConnectFailed } else { Status::Reset }),
            );
        }
    }

    fn end(&mut self, s: &mut Shared, worker: WorkerId, task: Task, verdict: Verdict) {
        match (task, verdict) {
            (Task::Attempt(attempt), Verdict::Ended(status, report, result)) => {
                self.attempts.remove(&attempt);
                s.inputs.push(Input::AttemptEnded { attempt, status, report, body: result });
            }
            (Task::Attempt(attempt), Verdict::Invalid) => {
                self.attempts.remove(&attempt);
                s.inputs.push(Input::RequestInvalid(attempt));
            }
            (Task::Probe(sent), verdict) => {
                let Verdict::Ended(status, report, _) = verdict else {
                    return self.end(s, worker, task, ended(Status::Error));
                };
                s.inputs.push(Input::Probed { worker, status, latency: s.net.now.since(sent), report });
            }
            _ => {}
        }
    }

    /// The link's deadline: for coming up, for a probe's answer, for an answer's end or for idleness.
    pub fn on_deadline(&mut self, s: &mut Shared, key: ConnKey) {
        let Some(conn) = s.net.get(key) else { return };
        let status = if conn.connected { Status::Timeout } else { Status::ConnectFailed };
        if let Some(Role::Worker(link)) = s.net.close(key) {
            self.end(s, link.worker, link.task, ended(status));
        }
    }
}

/// The end of what brought neither a report nor a result.
fn ended(status: Status) -> Verdict {
    Verdict::Ended(status, Vec::new(), Vec::new())
}

/// What an answer other than 200 says of a job.
fn verdict_of(fields: &[String], head: &Head) -> Verdict {
    let report = || report_of_header(fields, head);
    match head.status {
        503 | 504 if head.header("x-turned-away") == Some("1") => {
            Verdict::Ended(Status::Full, report(), Vec::new())
        }
        // These three speak of the moment, all others of 400 to 499 of the request.
        400..=499 if !matches!(head.status, 408 | 425 | 429) => Verdict::Invalid,
        _ => Verdict::Ended(Status::Error, report(), Vec::new()),
    }
}

/// Reads a line of the answer to the job of that id.
fn read_line(fields: &[String], id: &str, line: &[u8]) -> Option<Verdict> {
    let line: Value = serde_json::from_slice(line).ok()?;
    if line.get("id")?.as_str()? != id {
        return None;
    }
    let report = line.get("load").map(|load| report_of(fields, |name| load.get(name)?.as_f64()));
    let ended = |status, result| Some(Verdict::Ended(status, report.unwrap_or_default(), result));
    match line.get("state")?.as_str()? {
        "started" => Some(Verdict::Started),
        "running" => Some(Verdict::Progress(line.get("share").and_then(Value::as_f64).unwrap_or(0.0) as f32)),
        "done" => match line.get("result") {
            Some(Value::String(text)) => ended(Status::Ok, text.clone().into_bytes()),
            Some(other) => ended(Status::Ok, other.to_string().into_bytes()),
            None => None,
        },
        "failed" => ended(Status::Error, Vec::new()),
        "returned" => ended(Status::Full, Vec::new()),
        "lost" => ended(Status::Reset, Vec::new()),
        _ => None,
    }
}

/// Other names that the values of a report go by.
fn alias(name: &str) -> &str {
    match name {
        "cpu" => "util",
        "err_rps" => "eps",
        "active" => "inflight",
        "waiting" => "queue",
        "avg_ms" => "latency_ms",
        "rps" => "qps",
        other => other,
    }
}

/// A report in the order of the settings; empty unless all of it is there and sound.
fn report_of(fields: &[String], value: impl Fn(&str) -> Option<f64>) -> Report {
    let read = |name: &String| value(name).or_else(|| value(alias(name))).filter(|v| v.is_finite());
    fields.iter().map(|name| read(name).map(|v| v as f32)).collect::<Option<_>>().unwrap_or_default()
}

fn report_of_text(fields: &[String], text: &str) -> Report {
    let text = text.trim();
    let text = text.strip_prefix("TEXT").unwrap_or(text);
    let pairs: HashMap<&str, &str> =
        text.split(',').filter_map(|p| p.split_once('=')).map(|(k, v)| (k.trim(), v.trim())).collect();
    report_of(fields, |name| pairs.get(name)?.parse().ok())
}

fn report_of_header(fields: &[String], head: &Head) -> Report {
    head.header("x-pressure").map(|text| report_of_text(fields, text)).unwrap_or_default()
}

fn report_of_body(fields: &[String], body: &[u8]) -> Report {
    match serde_json::from_slice::<Value>(body) {
        Ok(json) => {
            let load = json.get("load").unwrap_or(&json);
            report_of(fields, |name| load.get(name)?.as_f64())
        }
        Err(_) => std::str::from_utf8(body).map(|text| report_of_text(fields, text)).unwrap_or_default(),
    }
}
