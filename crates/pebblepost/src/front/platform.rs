//! The platform's front: HTTP/1.1 from its clients. One request at a time on a connection; what comes
//! after it waits.

use crate::buffer::Buffer;
use crate::config::RequestClass;
use crate::engine::{FinalResponse, Input, Request};
use crate::http::{self, Body, Head, Malformed};
use crate::name_hash::hash_name;
use crate::net::{Conn, ConnKey, Role, Shared};
use crate::workers;
use pebblepost_dispatch::api::{ClassId, RequestId, TenantId};
use std::collections::HashMap;
use std::fmt::Write;
use std::time::Duration;

/// A request must be in whole by then, and a new connection must have sent something; others do not hold a
/// descriptor for longer.
const SLOW: Duration = Duration::from_millis(2500);
/// An idle connection is closed after this.
const IDLE: Duration = Duration::from_secs(120);
/// Headers that go on to the worker beside those the protocol demands.
const PASSED_ON: [&str; 8] =
    ["x-txn", "idempotency-key", "x-lane", "x-estimate", "x-labels", "x-resent", "cookie", "content-type"];

/// The client of a connection.
#[derive(Debug, Default)]
pub enum ClientState {
    /// Between requests, or within a head.
    #[default]
    Head,
    /// Within a body.
    Body(Box<(Head, Body, Buffer)>),
    /// The core has the request.
    Waiting(RequestId),
}

/// What is kept of a request for as long as it may be sent to a worker.
#[derive(Debug)]
struct Job {
    client: ConnKey,
    keep_alive: bool,
    txn: String,
    /// The request as a worker gets it, but for how long its client will wait.
    line_and_headers: String,
    body: Vec<u8>,
}

/// Whose a request is. One that the settings do not name counts as the first, as where there are none.
pub fn tenant(names: &[String], named: Option<&str>) -> TenantId {
    let at = named.and_then(|named| names.iter().position(|name| name == named));
    TenantId(at.and_then(|at| u16::try_from(at).ok()).unwrap_or(0))
}

/// Requests of the platform's clients.
#[derive(Debug)]
pub struct Platform {
    classes: Vec<RequestClass>,
    tenants: Vec<String>,
    jobs: HashMap<RequestId, Job>,
}

impl Platform {
    /// Nobody has asked yet.
    pub fn new(classes: Vec<RequestClass>, tenants: Vec<String>) -> Self {
        Self { classes, tenants, jobs: HashMap::new() }
    }

    /// A client connected.
    pub fn on_open(&mut self, s: &mut Shared, key: ConnKey) {
        s.net.set_deadline(key, Some(SLOW));
    }

    /// Bytes have come, or an answer made room for the next request.
    pub fn on_data(&mut self, s: &mut Shared, key: ConnKey) {
        loop {
            match self.read_on(s, key) {
                Ok(true) => {}
                Ok(false) => break,
                Err(Malformed(status)) => {
                    // Where the next request begins is lost.
                    s.net.send(key, &http::response(status, "", b"", false));
                    s.net.close_gently(key);
                    return;
                }
            }
        }
        self.end_if_spilled(s, key);
        s.net.sync(key);
    }

    /// What came after what was kept is lost, so nothing more can be read once that is answered.
    fn end_if_spilled(&mut self, s: &mut Shared, key: ConnKey) {
        let Some(conn) = s.net.get(key).filter(|c| c.spilled > 0) else { return };
        if matches!(conn.role, Role::Client(ClientState::Head | ClientState::Body(_))) {
            s.net.close_gently(key);
        }
    }

    /// Reads on; `true`: there may be more to read.
    fn read_on(&mut self, s: &mut Shared, key: ConnKey) -> Result<bool, Malformed> {
        let Some(conn) = s.net.get(key) else { return Ok(false) };
        let Role::Client(side) = &mut conn.role else { return Ok(false) };
        match side {
            ClientState::Waiting(_) => Ok(false),
            ClientState::Head => match http::request_head(&mut conn.input)? {
                Some(head) => {
                    if head.header("expect").is_some_and(|e| e.eq_ignore_ascii_case("100-continue"))
                        && conn.input.is_empty()
                    {
                        s.net.send(key, b"HTTP/1.1 100 Continue\r\n\r\n");
                    }
                    let body = Body::new(head.framing);
                    if let Some(conn) = s.net.get(key) {
                        conn.role =
                            Role::Client(ClientState::Body(Box::new((head, body, Buffer::default()))));
                        conn.idle_since = None;
                    }
                    self.bound(s, key);
                    Ok(true)
                }
                None if conn.input.is_empty() => Ok(false),
                None => {
                    // Counts from the head's first byte: more of it does not set it anew.
                    if conn.idle_since.take().is_some() {
                        self.bound(s, key);
                    }
                    Ok(false)
                }
            },
            ClientState::Body(parts) => {
                let (_, body, bytes) = &mut **parts;
                body.decode(&mut conn.input, bytes)?;
                if bytes.len() > http::MAX_BODY_BYTES {
                    return Err(Malformed(413));
                }
                if !body.is_complete() {
                    return Ok(false);
                }
                if let ClientState::Body(parts) = std::mem::take(side) {
                    let (head, _, bytes) = *parts;
                    s.net.set_deadline(key, None);
                    self.take(s, key, &head, bytes.data().to_vec());
                }
                Ok(true)
            }
        }
    }

    /// Bounds the time that a request may take to come in; counts from its first byte.
    fn bound(&mut self, s: &mut Shared, key: ConnKey) {
        let started = matches!(s.net.get(key).map(|c| &c.role), Some(Role::Client(ClientState::Body(_))));
        if !started || !s.net.has_deadline(key) {
            s.net.set_deadline(key, Some(SLOW));
        }
    }

    /// A whole request is in.
    fn take(&mut self, s: &mut Shared, key: ConnKey, head: &Head, body: Vec<u8>) {
        let path = head.target.split('?').next().unwrap_or_default();
        match path {
            "/ready" | "/health" if matches!(head.method.as_str(), "GET" | "HEAD") => {
                let status = if s.ready || path == "/health" && !s.stopping { 200 } else { 503 };
                let keep = head.keep_alive && !s.last_calls;
                return self.reply(s, key, &http::response(status, "", b"", keep), keep);
            }
            "/ready" | "/health" => return self.reject(s, key, head, 405, "Allow: GET, HEAD\r\n"),
            _ if path != "/api" && !path.starts_with("/api/") => return self.reject(s, key, head, 404, ""),
            _ if head.method != "POST" => return self.reject(s, key, head, 405, "Allow: POST\r\n"),
            _ => {}
        }
        let Some((txn, request)) = self.read_request(head) else { return self.reject(s, key, head, 400, "") };
        let mut passed = format!("POST {} HTTP/1.1\r\nX-Txn: {txn}\r\n", head.target);
        let host = head.header("host").unwrap_or("api.internal");
        let _ = write!(passed, "Host: {host}\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in
            head.headers.iter().filter(|(n, _)| n != "x-txn" && PASSED_ON.contains(&n.as_str()))
        {
            let _ = write!(passed, "{name}: {value}\r\n");
        }
        let id = s.next_id();
        let job = Job { client: key, keep_alive: head.keep_alive, txn, line_and_headers: passed, body };
        self.jobs.insert(id, job);
        if let Some(conn) = s.net.get(key) {
            conn.role = Role::Client(ClientState::Waiting(id));
        }
        s.inputs.push(Input::Request(id, request));
    }

    /// Reads what the core is told; `None`: a figure or name is wrong or missing.
    fn read_request(&self, head: &Head) -> Option<(String, Request)> {
        let txn =
            head.header("x-txn").filter(|t| !t.is_empty() && t.bytes().all(|b| b.is_ascii_graphic()))?;
        let lane = head.header("x-lane")?;
        let class = self.classes.iter().position(|c| c.name == lane)?;
        let whole =
            |name| head.header(name).map(|text| text.parse::<u64>().ok()).map_or(Some(None), |n| n.map(Some));
        let time_left = whole("x-remaining-ms")?.map_or(self.classes[class].deadline, Duration::from_millis);
        let work = match head.header("x-estimate") {
            Some(text) => {
                let micros = text.parse::<f64>().ok().filter(|m| m.is_finite() && *m >= 0.0)?;
                Some(Duration::try_from_secs_f64(micros / 1e6).ok()?)
            }
            None => None,
        };
        let (mut slots, mut memory) = (1.0_f32, 0.0_f32);
        for label in head.header("x-labels").unwrap_or("").split(',').map(str::trim).filter(|l| !l.is_empty())
        {
            let (name, value) = label.split_once('=')?;
            let figure = || value.trim().parse::<f32>().ok().filter(|v| v.is_finite() && *v >= 0.0);
            match name.trim() {
                "slots" | "coresNeeded" => slots = figure()?,
                "memory" | "mem" => memory = figure()?,
                _ => {}
            }
        }
        let class = ClassId(u16::try_from(class).ok()?);
        // The subject of the request, if it has one.
        let cookies = head.header("cookie").unwrap_or("").split(';').map(str::trim);
        let key = cookies.filter_map(|c| c.strip_prefix("k=")).next().map_or(0, hash_name);
        let tenant = tenant(&self.tenants, head.header("x-org"));
        let repeat = head.header("x-resent") == Some("1");
        // A day is longer than any client waits, and keeps sums of times in range.
        let time_left = time_left.min(Duration::from_secs(86_400));
        Some((txn.to_owned(), Request { class, time_left, repeat, slots, memory, work, key, tenant }))
    }

    /// Answers a request that the core never saw; the framing is intact, so the connection goes on.
    fn reject(&mut self, s: &mut Shared, key: ConnKey, head: &Head, status: u16, extra: &str) {
        let keep = head.keep_alive && !s.last_calls;
        self.reply(s, key, &http::response(status, extra, b"", keep), keep);
    }

    fn reply(&mut self, s: &mut Shared, key: ConnKey, bytes: &[u8], keep_alive: bool) {
        s.net.send(key, bytes);
        if !keep_alive {
            return s.net.close_gently(key);
        }
        let now = s.net.now;
        if let Some(conn) = s.net.get(key) {
            conn.role = Role::Client(ClientState::Head);
            conn.idle_since = Some(now);
            s.net.set_deadline(key, Some(IDLE));
        }
    }

    /// The request as a worker gets it, if it is one of this front.
    pub fn request(&self, id: RequestId, time_left: Duration) -> Option<workers::Request> {
        let job = self.jobs.get(&id)?;
        let head = format!("{}X-Remaining-Ms: {}\r\n\r\n", job.line_and_headers, time_left.as_millis());
        Some(workers::Request { id: job.txn.clone(), bytes: [head.as_bytes(), &job.body].concat() })
    }

    /// Gives the final answer; `false`: the request is not of this front.
    pub fn answer(&mut self, s: &mut Shared, id: RequestId, answer: &FinalResponse) -> bool {
        let Some(job) = self.jobs.remove(&id) else { return false };
        let keep = job.keep_alive && !s.last_calls;
        let bytes = match answer {
            FinalResponse::Served(body) => http::response(200, "", body, keep),
            FinalResponse::Rejected(after) => http::response(503, &http::retry_after(*after), b"", keep),
            FinalResponse::Failed => http::response(502, "", b"", keep),
        };
        self.reply(s, job.client, &bytes, keep);
        self.on_data(s, job.client); // The next request may be there already.
        true
    }

    /// The client's connection ended.
    pub fn on_closed(&mut self, s: &mut Shared, key: ConnKey) {
        if let Some(Role::Client(ClientState::Waiting(id))) = s.net.close(key) {
            self.jobs.remove(&id);
            s.inputs.push(Input::ClientDisconnected(id));
        }
    }

    /// The connection was idle or a request came in too slowly.
    pub fn on_deadline(&mut self, s: &mut Shared, key: ConnKey) {
        let Some(conn) = s.net.get(key) else { return };
        let idle = matches!(conn.role, Role::Client(ClientState::Head)) && conn.input.is_empty();
        if !idle {
            s.net.send(key, &http::response(408, "", b"", false));
        }
        s.net.close_gently(key);
    }

    /// After the last calls: connections between requests are closed, but for those on which more lies unread.
    pub fn close_idle(&mut self, s: &mut Shared) {
        for key in s.net.keys() {
            let rests = |c: &mut Conn| matches!(c.role, Role::Client(ClientState::Head)) && c.is_quiet();
            if s.net.get(key).is_some_and(rests) {
                s.net.close_gently(key);
            }
        }
    }
}
