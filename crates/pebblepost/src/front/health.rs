//! What load balancers ask: health checks by HTTP on a listener of their own, and the agent check of HAProxy and those
//! that speak the same (one line on connect, then the end).
//!
//! Reports the state of this node and changes nothing.

use crate::connection_role::ConnectionRole;
use crate::context::Context;
use crate::http::{self, Framing, Head};
use crate::net::ConnectionKey;
use std::time::Duration;

/// A connection that sends nothing for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// What this node can take, from its actual state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeStatus {
    /// Whether a stop signal was received.
    pub stopping: bool,
    /// Number of workers that accept requests.
    pub ready_workers: usize,
    /// Number of open connections.
    pub connections: usize,
    /// The most connections that the descriptor budget allows.
    pub max_connections: usize,
}

impl NodeStatus {
    /// Whether new clients should come.
    pub fn is_ready(&self) -> bool {
        !self.stopping && self.ready_workers > 0
    }

    /// The line of the agent check. `ready` takes back an earlier `drain` or `maint`.
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

/// Answers an agent check.
pub fn answer_agent_check(context: &mut Context, key: ConnectionKey, status: NodeStatus) {
    context.net.send(key, status.agent_check_line().as_bytes());
    context.net.close_gracefully(key);
}

/// A load balancer connected to the health listener.
pub fn on_open(context: &mut Context, key: ConnectionKey) {
    context.net.set_deadline(key, Some(IDLE_TIMEOUT));
}

/// Processes bytes received on the health listener. `fleet_status` is the body of responses to `GET`.
pub fn on_data(context: &mut Context, key: ConnectionKey, fleet_status: &str) {
    while let Some(connection) = context.net.get(key)
        && matches!(connection.role, ConnectionRole::Health)
    {
        let mut body = "";
        let (status, keep_alive) = match http::request_head(&mut connection.input) {
            Ok(None) => break,
            Err(http::Malformed(status)) => (status, false),
            Ok(Some(head)) => {
                let status = status_code(context, &head);
                if head.method == "GET" && matches!(status, 200 | 503) {
                    body = fleet_status;
                }
                let bodiless = head.framing == Framing::Length(0);
                (status, head.keep_alive && bodiless && !context.is_draining())
            }
        };
        context.net.send(key, &http::response(status, "", body.as_bytes(), keep_alive));
        if keep_alive {
            context.net.set_deadline(key, Some(IDLE_TIMEOUT));
        } else {
            context.net.close_gracefully(key);
        }
    }
    context.net.update_interest(key);
}

fn status_code(context: &Context, head: &Head) -> u16 {
    let path = head.target.split('?').next().unwrap_or_default();
    match (head.method.as_str(), path) {
        ("GET" | "HEAD", "/" | "/health") if !context.is_stopping() => 200,
        ("GET" | "HEAD", "/ready") if context.ready => 200,
        ("GET" | "HEAD", "/" | "/health" | "/ready") => 503,
        (_, "/" | "/health" | "/ready") => 405,
        _ => 404,
    }
}
