//! Callers of the control plane that behave as the operators' protocol describes: they follow at most two redirects.
//! After a failed connection, a 5xx response or one second without a response they retry at another process, with
//! exponential backoff.

use super::cluster::Cluster;
use super::http_request;
use super::random::Random;
use std::time::Duration;

/// Time without a response after which a caller retries at another process.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Backoff after the first failure; each further consecutive failure doubles it.
const RETRY_BACKOFF_MIN: Duration = Duration::from_millis(100);
const RETRY_BACKOFF_MAX: Duration = Duration::from_millis(800);
/// Pause between an acknowledgement and the next request.
const PAUSE_BETWEEN_REQUESTS: Duration = Duration::from_millis(50);
const MAX_REDIRECTS: u32 = 2;
const CONTROL_PROCESSES: usize = 3;

#[derive(Clone, Copy)]
enum Call {
    /// No call is in flight; the next one goes to this node at this time.
    Idle { node: usize, until: Duration },
    /// A call is in flight. `request` is `None` if it went to an unresponsive node.
    Waiting { node: usize, request: Option<u64>, timeout_at: Duration, redirects: u32 },
}

/// A caller that names the next version of its own model, with one request in flight at a time.
pub struct Caller {
    model: String,
    generation: u64,
    call: Call,
    consecutive_failures: u32,
}

impl Caller {
    pub fn new(number: usize, now: Duration) -> Caller {
        let call = Call::Idle { node: number % CONTROL_PROCESSES, until: now };
        Caller { model: format!("model-{number}"), generation: 2, call, consecutive_failures: 0 }
    }

    /// Processes the response in flight or sends the next request if it is due. Returns whether a request was
    /// acknowledged in this step.
    pub fn act(&mut self, cluster: &mut Cluster, random: &mut Random) -> bool {
        match self.call {
            Call::Idle { node, until } if cluster.now >= until => {
                self.send(cluster, random, node, 0);
                false
            }
            Call::Idle { .. } => false,
            Call::Waiting { node, request, timeout_at, redirects } => {
                let response = request.and_then(|request| cluster.response(request).cloned());
                match response {
                    Some(response) if response.status == 200 => {
                        self.record_acknowledgement(cluster.now, random);
                        return true;
                    }
                    Some(response) if response.status == 307 && redirects < MAX_REDIRECTS => {
                        let location = response.location.unwrap_or_default();
                        let next = cluster.node_at_control_address(&location).expect("a known address");
                        self.send(cluster, random, next, redirects + 1);
                    }
                    Some(_) => self.record_failure(cluster.now, random, node),
                    // The connection was reset.
                    None if cluster.refuses_connections(node) => {
                        self.record_failure(cluster.now, random, node)
                    }
                    None if cluster.now >= timeout_at => self.record_failure(cluster.now, random, node),
                    None => {}
                }
                false
            }
        }
    }

    fn send(&mut self, cluster: &mut Cluster, random: &mut Random, node: usize, redirects: u32) {
        if cluster.refuses_connections(node) {
            return self.record_failure(cluster.now, random, node);
        }
        let body = format!("{{\"model\":\"{}\",\"generation\":{}}}", self.model, self.generation);
        let version_put = http_request("POST", "/version-put", None, body.into_bytes());
        let request = (!cluster.is_unresponsive(node)).then(|| cluster.send_request(node, version_put));
        let timeout_at = cluster.now + RESPONSE_TIMEOUT;
        self.call = Call::Waiting { node, request, timeout_at, redirects };
    }

    /// Schedules the next request, at a random process.
    fn record_acknowledgement(&mut self, now: Duration, random: &mut Random) {
        let node = random.below(CONTROL_PROCESSES as u64) as usize;
        self.generation += 1;
        self.consecutive_failures = 0;
        self.call = Call::Idle { node, until: now + PAUSE_BETWEEN_REQUESTS };
    }

    fn record_failure(&mut self, now: Duration, random: &mut Random, node: usize) {
        let others = CONTROL_PROCESSES as u64 - 1;
        let next = (node + 1 + random.below(others) as usize) % CONTROL_PROCESSES;
        let backoff =
            (RETRY_BACKOFF_MIN * 2_u32.saturating_pow(self.consecutive_failures)).min(RETRY_BACKOFF_MAX);
        self.consecutive_failures += 1;
        self.call = Call::Idle { node: next, until: now + backoff };
    }
}
