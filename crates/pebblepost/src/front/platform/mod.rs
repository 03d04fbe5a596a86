//! The platform's front: HTTP/1.1 from its clients, one request at a time on a connection.
//!
//! Owns the requests of its clients until their final response. What a client sends after a request waits until that is
//! answered.

pub(crate) mod client;
mod request;

pub use request::tenant;

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
use request::{forwarded_head, parse};
use std::collections::HashMap;
use std::time::Duration;

/// A request has to be complete by then, and a new connection has to have sent something; others do not hold a descriptor
/// for longer.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// An idle connection is closed after this.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// What is kept of a request for as long as it may be sent to a worker.
#[derive(Debug)]
struct PendingRequest {
    client: ConnectionKey,
    keep_alive: bool,
    id: String,
    /// The head as a worker gets it, up to the time that its client waits.
    head: String,
    body: Vec<u8>,
}

/// Requests of the platform's clients.
#[derive(Debug)]
pub struct Platform {
    classes: Vec<RequestClass>,
    tenants: Vec<String>,
    requests: HashMap<RequestId, PendingRequest>,
}

impl Platform {
    /// A front without requests.
    pub fn new(classes: Vec<RequestClass>, tenants: Vec<String>) -> Self {
        Self { classes, tenants, requests: HashMap::new() }
    }

    /// A client connected.
    pub fn on_open(&mut self, context: &mut Context, key: ConnectionKey) {
        context.net.set_deadline(key, Some(REQUEST_TIMEOUT));
    }

    /// Processes received bytes, or those that waited for a response.
    pub fn on_data(&mut self, context: &mut Context, key: ConnectionKey) {
        loop {
            match self.read_element(context, key) {
                Ok(true) => {}
                Ok(false) => break,
                Err(Malformed(status)) => {
                    // Where the next request begins is unknown.
                    context.net.send(key, &http::response(status, "", b"", false));
                    context.net.close_gracefully(key);
                    return;
                }
            }
        }
        close_if_bytes_were_dropped(context, key);
        context.net.update_interest(key);
    }

    /// The request as a worker gets it, if it is one of this front.
    pub fn worker_request(&self, id: RequestId, time_left: Duration) -> Option<WorkerRequest> {
        let request = self.requests.get(&id)?;
        let head = format!("{}X-Remaining-Ms: {}\r\n\r\n", request.head, time_left.as_millis());
        Some(WorkerRequest { id: request.id.clone(), bytes: [head.as_bytes(), &request.body].concat() })
    }

    /// Gives the final response; `false` if the request is not one of this front.
    pub fn respond(&mut self, context: &mut Context, id: RequestId, response: &FinalResponse) -> bool {
        let Some(request) = self.requests.remove(&id) else { return false };
        let keep_alive = request.keep_alive && !context.is_draining();
        let bytes = match response {
            FinalResponse::Served(body) => http::response(200, "", body, keep_alive),
            FinalResponse::Rejected(after) => {
                http::response(503, &http::retry_after(*after), b"", keep_alive)
            }
            FinalResponse::Failed => http::response(502, "", b"", keep_alive),
        };
        send_response(context, request.client, &bytes, keep_alive);
        self.on_data(context, request.client); // The next request may have arrived already.
        true
    }

    /// The client's connection ended.
    pub fn on_closed(&mut self, context: &mut Context, key: ConnectionKey) {
        if let Some(ConnectionRole::Client(ClientState::AwaitingResponse(id))) = context.net.close(key) {
            self.requests.remove(&id);
            context.inputs.push(Input::ClientDisconnected(id));
        }
    }

    /// The connection was idle for too long, or a request arrived too slowly.
    pub fn on_deadline(&mut self, context: &mut Context, key: ConnectionKey) {
        let Some(connection) = context.net.get(key) else { return };
        let idle = matches!(connection.role, ConnectionRole::Client(ClientState::Head))
            && connection.input.is_empty();
        if !idle {
            context.net.send(key, &http::response(408, "", b"", false));
        }
        context.net.close_gracefully(key);
    }

    /// Closes the connections between requests, but for those with unread input.
    pub fn close_idle(&mut self, context: &mut Context) {
        for key in context.net.keys() {
            let is_idle = |connection: &mut Connection| {
                matches!(connection.role, ConnectionRole::Client(ClientState::Head)) && connection.is_quiet()
            };
            if context.net.get(key).is_some_and(is_idle) {
                context.net.close_gracefully(key);
            }
        }
    }

    /// Processes a head, or a part of a body; `true` if there may be more.
    fn read_element(&mut self, context: &mut Context, key: ConnectionKey) -> Result<bool, Malformed> {
        let Some(connection) = context.net.get(key) else { return Ok(false) };
        let ConnectionRole::Client(state) = &mut connection.role else { return Ok(false) };
        match state {
            ClientState::AwaitingResponse(_) => Ok(false),
            ClientState::Head => match http::request_head(&mut connection.input)? {
                Some(head) => {
                    on_head(context, key, head);
                    Ok(true)
                }
                None if connection.input.is_empty() => Ok(false),
                None => {
                    // Counts from the head's first byte: more of it does not extend the time.
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

    /// A complete request has arrived.
    fn on_request(&mut self, context: &mut Context, key: ConnectionKey, head: &Head, body: Vec<u8>) {
        let path = head.target.split('?').next().unwrap_or_default();
        let is_health = matches!(path, "/ready" | "/health");
        if is_health && matches!(head.method.as_str(), "GET" | "HEAD") {
            let healthy = context.ready || path == "/health" && !context.is_stopping();
            return respond_empty(context, key, head, if healthy { 200 } else { 503 }, "");
        }
        if is_health {
            return respond_empty(context, key, head, 405, "Allow: GET, HEAD\r\n");
        }
        if path != "/api" && !path.starts_with("/api/") {
            return respond_empty(context, key, head, 404, "");
        }
        if head.method != "POST" {
            return respond_empty(context, key, head, 405, "Allow: POST\r\n");
        }
        let Some(parsed) = parse(&self.classes, &self.tenants, head) else {
            return respond_empty(context, key, head, 400, "");
        };
        let forwarded = forwarded_head(head, &parsed.id, body.len());
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

/// The head of a request has arrived.
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

/// Limits the time that a request may take to arrive; counts from its first byte.
fn limit_request_time(context: &mut Context, key: ConnectionKey) {
    let in_body = matches!(context.net.role(key), Some(ConnectionRole::Client(ClientState::Body(_))));
    if !in_body || !context.net.has_deadline(key) {
        context.net.set_deadline(key, Some(REQUEST_TIMEOUT));
    }
}

/// What followed the dropped bytes cannot be read any more once the pending request is answered.
fn close_if_bytes_were_dropped(context: &mut Context, key: ConnectionKey) {
    let Some(connection) = context.net.get(key).filter(|connection| connection.dropped_bytes > 0) else {
        return;
    };
    if matches!(connection.role, ConnectionRole::Client(ClientState::Head | ClientState::Body(_))) {
        context.net.close_gracefully(key);
    }
}

/// Responds to a request that the engine does not see. The framing is intact, so the connection persists.
fn respond_empty(context: &mut Context, key: ConnectionKey, head: &Head, status: u16, extra_headers: &str) {
    let keep_alive = head.keep_alive && !context.is_draining();
    send_response(context, key, &http::response(status, extra_headers, b"", keep_alive), keep_alive);
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
