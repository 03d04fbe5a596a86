//! What balancers ask: health by HTTP on a port of its own, and the agent-check of HAProxy and those
//! that speak the same (one line of words on connect, then the end).

use crate::http;
use crate::net::{ConnKey, Role, Shared};
use std::time::Duration;

/// An asker that says nothing for so long is let go.
const PATIENCE: Duration = Duration::from_secs(10);

/// A balancer's connection.
#[derive(Debug, Default)]
pub struct Asker;

/// What this node can take, from its real state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Condition {
    /// SIGTERM came.
    pub stopping: bool,
    /// Workers that take work.
    pub ready_workers: usize,
    /// Descriptors in use, and the most there may be.
    pub descriptors: (usize, usize),
}

impl Condition {
    /// Whether new clients should come.
    pub fn ready(&self) -> bool {
        !self.stopping && self.ready_workers > 0
    }

    /// The line of the agent-check. `ready` takes back an earlier `drain` or `maint`.
    pub fn agent_line(&self) -> String {
        if self.stopping {
            return "drain\n".to_owned();
        }
        if self.ready_workers == 0 {
            return "maint\n".to_owned();
        }
        let (used, most) = self.descriptors;
        let free = 100 * most.saturating_sub(used) / most.max(1);
        format!("up ready {}%\n", free.clamp(1, 100))
    }
}

/// Answers an agent-check.
pub fn agent(s: &mut Shared, key: ConnKey, condition: Condition) {
    s.net.send(key, condition.agent_line().as_bytes());
    s.net.close_gently(key);
}

/// Somebody connected to the health port.
pub fn on_open(s: &mut Shared, key: ConnKey) {
    s.net.set_deadline(key, Some(PATIENCE));
}

/// Bytes have come on the health port. `fleet`: what is known of the fleet and how old that is, for the answer's body.
pub fn on_data(s: &mut Shared, key: ConnKey, fleet: &str) {
    while let Some(conn) = s.net.get(key)
        && matches!(conn.role, Role::Health(_))
    {
        let mut body = "";
        let (status, keep) = match http::request_head(&mut conn.input) {
            Ok(None) => break,
            Err(http::Malformed(status)) => (status, false),
            Ok(Some(head)) => {
                let path = head.target.split('?').next().unwrap_or_default();
                let status = match (head.method.as_str(), path) {
                    ("GET" | "HEAD", "/" | "/health") if !s.stopping => 200,
                    ("GET" | "HEAD", "/ready") if s.ready => 200,
                    ("GET" | "HEAD", "/" | "/health" | "/ready") => 503,
                    (_, "/" | "/health" | "/ready") => 405,
                    _ => 404,
                };
                if head.method == "GET" && matches!(status, 200 | 503) {
                    body = fleet;
                }
                (status, head.keep_alive && head.framing == http::Framing::Length(0) && !s.last_calls)
            }
        };
        s.net.send(key, &http::response(status, "", body.as_bytes(), keep));
        if keep {
            s.net.set_deadline(key, Some(PATIENCE));
        } else {
            s.net.close_gently(key);
        }
    }
    s.net.sync(key);
}
