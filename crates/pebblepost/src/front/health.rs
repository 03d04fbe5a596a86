//! Health checks for load balancers: HTTP checks on a separate listener, and the agent check of HAProxy and compatible load
//! balancers (one line on connect, then the connection is closed).
//!
//! Both only report the state of this node.

use crate::connection_role::ConnectionRole;
use crate::context::Context;
use crate::http::{self, Framing, Head};
use crate::net::ConnectionKey;
use std::time::Duration;

/// A connection to the health listener is closed if no request completes within this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The node's current state, as reported to load balancers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeStatus {
    /// Whether a stop signal was received.
    pub stopping: bool,
    /// Number of workers that accept requests.
    pub ready_workers: usize,
    /// Number of open connections.
    pub connections: usize,
    /// Maximum number of connections that the descriptor budget allows.
    pub max_connections: usize,
}

impl NodeStatus {
    /// Returns whether load balancers should send new clients here.
    pub fn is_ready(&self) -> bool {
        !self.stopping && self.ready_workers > 0
    }

    /// Returns the reply to an agent check.
    ///
    /// The weight after `up ready` is the free share of the connections, at least 1 %. `ready` clears an earlier `drain` or
    /// `maint`.
    pub fn agent_check_line(&self) -> String {
        if self.stopping {
            return "drain\n".to_owned();
        }
        if self.ready_workers == 0 {
            return "maint\n".to_owned();
        }
        let free = self.max_connections.saturating_sub(self.connections);
        let free_percent = 100 * free / self.max_connections.max(1);
        format!("up ready {}%\n", free_percent.clamp(1, 100))
    }
}

/// Sends the reply to an agent check and closes the connection.
pub fn answer_agent_check(context: &mut Context, key: ConnectionKey, status: NodeStatus) {
    context.net.send(key, status.agent_check_line().as_bytes());
    context.net.close_gracefully(key);
}

/// Handles a new connection to the health listener.
pub fn on_open(context: &mut Context, key: ConnectionKey) {
    context.net.set_deadline(key, Some(IDLE_TIMEOUT));
}

/// Handles bytes received on the health listener. `fleet_status` is the body of 200 and 503 responses to `GET`.
pub fn on_data(context: &mut Context, key: ConnectionKey, fleet_status: &str) {
    while let Some(connection) = context.net.get(key)
        && matches!(connection.role, ConnectionRole::Health)
    {
        let mut body = "";
        let (status, keep_alive) = match http::take_request_head(&mut connection.input) {
            Ok(None) => break,
            Err(http::Malformed(status)) => (status, false),
            Ok(Some(head)) => {
                let status = check_status(context, &head);
                if head.method == "GET" && matches!(status, 200 | 503) {
                    body = fleet_status;
                }
                let has_no_body = head.framing == Framing::Length(0);
                (status, head.keep_alive && has_no_body && !context.is_draining())
            }
        };
        context.net.send(key, &http::encode_response(status, "", body.as_bytes(), keep_alive));
        if keep_alive {
            context.net.set_deadline(key, Some(IDLE_TIMEOUT));
        } else {
            context.net.close_gracefully(key);
        }
    }
    context.net.update_interest(key);
}

fn check_status(context: &Context, head: &Head) -> u16 {
    let path = head.target.split('?').next().unwrap_or_default();
    match (head.method.as_str(), path) {
        ("GET" | "HEAD", "/" | "/health") if !context.is_stopping() => 200,
        ("GET" | "HEAD", "/ready") if context.ready => 200,
        ("GET" | "HEAD", "/" | "/health" | "/ready") => 503,
        (_, "/" | "/health" | "/ready") => 405,
        _ => 404,
    }
}
