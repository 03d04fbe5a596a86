//! Front end for the platform's clients: HTTP/1.1 with one request at a time per connection.
//!
//! Owns each request until its final response. Input that a client sends ahead stays buffered until the current request has
//! been answered.

pub(crate) mod client;
mod request;

pub use request::tenant_id;

use crate::buffer::Buffer;
use crate::config::RequestClass;
use crate::connection_role::ConnectionRole;
use crate::context::Context;
use crate::engine::{FinalResponse, Input};
use crate::http::{self, Body, Head, Malformed};
use crate::net::{Connection, ConnectionKey};
use crate::workers::WorkerRequest;
use client::{ClientState, IncompleteRequest};
use pebblepost_dispatch::api::RequestId;
use request::{build_forwarded_head, parse_request};
use std::collections::HashMap;
use std::time::Duration;

/// Time within which a request must arrive completely, and a new connection must send its first bytes. It limits how long an
/// incomplete request can hold a descriptor.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// An idle connection is closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// The parts of a request that are kept while it may be sent to a worker.
#[derive(Debug)]
struct PendingRequest {
    client: ConnectionKey,
    keep_alive: bool,
    /// The client's request id, from the header `X-Txn`.
    id: String,
    /// The head as sent to a worker, without the remaining time, which is added for each attempt.
    head: String,
    body: Vec<u8>,
}

/// Front end for the platform's clients.
#[derive(Debug)]
pub struct Platform {
    classes: Vec<RequestClass>,
    tenants: Vec<String>,
    requests: HashMap<RequestId, PendingRequest>,
}

impl Platform {
    /// Creates the front end, without requests.
    pub fn new(classes: Vec<RequestClass>, tenants: Vec<String>) -> Self {
        Self { classes, tenants, requests: HashMap::new() }
    }

    /// Handles a new connection.
    pub fn on_open(&mut self, context: &mut Context, key: ConnectionKey) {
        context.net.set_deadline(key, Some(REQUEST_TIMEOUT));
    }

    /// Handles received bytes, including those buffered while a response was pending.
    pub fn on_data(&mut self, context: &mut Context, key: ConnectionKey) {
        loop {
            match self.read_element(context, key) {
                Ok(true) => {}
                Ok(false) => break,
                Err(Malformed(status)) => {
                    // The framing is lost, so the start of the next request is unknown.
                    context.net.send(key, &http::encode_response(status, "", b"", false));
                    context.net.close_gracefully(key);
                    return;
                }
            }
        }
        close_if_input_was_dropped(context, key);
        context.net.update_interest(key);
    }

    /// Returns the request as sent to a worker, with the time left to its client; `None` if this front end does not own it.
    pub fn worker_request(&self, id: RequestId, time_left: Duration) -> Option<WorkerRequest> {
        let request = self.requests.get(&id)?;
        let head = format!("{}X-Remaining-Ms: {}\r\n\r\n", request.head, time_left.as_millis());
        Some(WorkerRequest { id: request.id.clone(), bytes: [head.as_bytes(), &request.body].concat() })
    }

    /// Sends the final response to the client; returns `false` if this front end does not own the request.
    pub fn respond(&mut self, context: &mut Context, id: RequestId, response: &FinalResponse) -> bool {
        let Some(request) = self.requests.remove(&id) else { return false };
        let keep_alive = request.keep_alive && !context.is_draining();
        let bytes = match response {
            FinalResponse::Served(body) => http::encode_response(200, "", body, keep_alive),
            FinalResponse::Rejected(after) => {
                http::encode_response(503, &http::retry_after_header(*after), b"", keep_alive)
            }
            FinalResponse::Failed => http::encode_response(502, "", b"", keep_alive),
        };
        send_response(context, request.client, &bytes, keep_alive);
        self.on_data(context, request.client); // The next request may already be buffered.
        true
    }

    /// Handles the end of a client's connection. A pending request is reported to the engine as disconnected.
    pub fn on_closed(&mut self, context: &mut Context, key: ConnectionKey) {
        if let Some(ConnectionRole::Client(ClientState::AwaitingResponse(id))) = context.net.close(key) {
            self.requests.remove(&id);
            context.inputs.push(Input::ClientDisconnected(id));
        }
    }

    /// Handles an expired deadline: closes an idle connection, and answers an incomplete request with status 408 first.
    pub fn on_deadline(&mut self, context: &mut Context, key: ConnectionKey) {
        let Some(connection) = context.net.get(key) else { return };
        let idle = matches!(connection.role, ConnectionRole::Client(ClientState::Head))
            && connection.input.is_empty();
        if !idle {
            context.net.send(key, &http::encode_response(408, "", b"", false));
        }
        context.net.close_gracefully(key);
    }

    /// Closes connections that are between requests, except those with unread input.
    pub fn close_idle(&mut self, context: &mut Context) {
        for key in context.net.keys() {
            let is_idle = |connection: &mut Connection| {
                matches!(connection.role, ConnectionRole::Client(ClientState::Head))
                    && connection.is_quiescent()
            };
            if context.net.get(key).is_some_and(is_idle) {
                context.net.close_gracefully(key);
            }
        }
    }

    /// Reads a head or part of a body from the input; returns `true` if there may be more to read.
    fn read_element(&mut self, context: &mut Context, key: ConnectionKey) -> Result<bool, Malformed> {
        let Some(connection) = context.net.get(key) else { return Ok(false) };
        let ConnectionRole::Client(state) = &mut connection.role else { return Ok(false) };
        match state {
            ClientState::AwaitingResponse(_) => Ok(false),
            ClientState::Head => match http::take_request_head(&mut connection.input)? {
                Some(head) => {
                    on_head(context, key, head);
                    Ok(true)
                }
                None if connection.input.is_empty() => Ok(false),
                None => {
                    // The time runs from the first byte of the head; later bytes do not extend it.
                    if connection.idle_since.take().is_some() {
                        limit_request_time(context, key);
                    }
                    Ok(false)
                }
            },
            ClientState::Body(request) => {
                request.body.decode(&mut connection.input, &mut request.content)?;
                if request.content.len() > http::MAX_BODY_BYTES {
                    return Err(Malformed(413));
                }
                if !request.body.is_complete() {
                    return Ok(false);
                }
                if let ClientState::Body(request) = std::mem::take(state) {
                    context.net.set_deadline(key, None);
                    self.on_request(context, key, &request.head, request.content.data().to_vec());
                }
                Ok(true)
            }
        }
    }

    /// Handles a complete request: answers it directly, or passes it to the engine.
    fn on_request(&mut self, context: &mut Context, key: ConnectionKey, head: &Head, body: Vec<u8>) {
        let path = head.target.split('?').next().unwrap_or_default();
        let is_health_check = matches!(path, "/ready" | "/health");
        if is_health_check && matches!(head.method.as_str(), "GET" | "HEAD") {
            let is_healthy = context.ready || path == "/health" && !context.is_stopping();
            return respond_empty(context, key, head, if is_healthy { 200 } else { 503 }, "");
        }
        if is_health_check {
            return respond_empty(context, key, head, 405, "Allow: GET, HEAD\r\n");
        }
        if path != "/api" && !path.starts_with("/api/") {
            return respond_empty(context, key, head, 404, "");
        }
        if head.method != "POST" {
            return respond_empty(context, key, head, 405, "Allow: POST\r\n");
        }
        let Some(parsed) = parse_request(&self.classes, &self.tenants, head) else {
            return respond_empty(context, key, head, 400, "");
        };
        let forwarded = build_forwarded_head(head, &parsed.id, body.len());
        let id = context.next_request_id();
        let request =
            PendingRequest { client: key, keep_alive: head.keep_alive, id: parsed.id, head: forwarded, body };
        self.requests.insert(id, request);
        if let Some(role) = context.net.role(key) {
            *role = ConnectionRole::Client(ClientState::AwaitingResponse(id));
        }
        context.inputs.push(Input::Request(id, parsed.request));
    }
}

/// Handles a request head: starts reading the body and confirms `Expect: 100-continue`.
fn on_head(context: &mut Context, key: ConnectionKey, head: Head) {
    let Some(connection) = context.net.get(key) else { return };
    let expects_continue =
        head.header("expect").is_some_and(|value| value.eq_ignore_ascii_case("100-continue"));
    if expects_continue && connection.input.is_empty() {
        context.net.send(key, b"HTTP/1.1 100 Continue\r\n\r\n");
    }
    let body = Body::new(head.framing);
    if let Some(connection) = context.net.get(key) {
        let request = IncompleteRequest { head, body, content: Buffer::default() };
        connection.role = ConnectionRole::Client(ClientState::Body(Box::new(request)));
        connection.idle_since = None;
    }
    limit_request_time(context, key);
}

/// Starts the time limit for a request to arrive.
///
/// Once the head is complete, a deadline that is already set is kept, so that the limit runs from the request's first byte.
fn limit_request_time(context: &mut Context, key: ConnectionKey) {
    let in_body = matches!(context.net.role(key), Some(ConnectionRole::Client(ClientState::Body(_))));
    if !in_body || !context.net.has_deadline(key) {
        context.net.set_deadline(key, Some(REQUEST_TIMEOUT));
    }
}

/// Closes a connection whose input was dropped, once no response is pending: the bytes that follow have no known framing.
fn close_if_input_was_dropped(context: &mut Context, key: ConnectionKey) {
    let Some(connection) = context.net.get(key).filter(|connection| connection.dropped_bytes > 0) else {
        return;
    };
    if matches!(connection.role, ConnectionRole::Client(ClientState::Head | ClientState::Body(_))) {
        context.net.close_gracefully(key);
    }
}

/// Responds, with an empty body, to a request that is not passed to the engine. The framing is intact, so the connection can
/// be kept alive.
fn respond_empty(context: &mut Context, key: ConnectionKey, head: &Head, status: u16, extra_headers: &str) {
    let keep_alive = head.keep_alive && !context.is_draining();
    send_response(context, key, &http::encode_response(status, extra_headers, b"", keep_alive), keep_alive);
}

fn send_response(context: &mut Context, key: ConnectionKey, bytes: &[u8], keep_alive: bool) {
    context.net.send(key, bytes);
    if !keep_alive {
        return context.net.close_gracefully(key);
    }
    let now = context.net.now;
    if let Some(connection) = context.net.get(key) {
        connection.role = ConnectionRole::Client(ClientState::Head);
        connection.idle_since = Some(now);
        context.net.set_deadline(key, Some(IDLE_TIMEOUT));
    }
}
