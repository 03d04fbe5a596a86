//! Callers of the control plane as the operators' protocol describes them: they follow two redirects, and after a
//! failure, a 5xx or a second of silence they go to another process, with pauses that grow.

use super::cluster::Cluster;
use super::http_request;
use super::random::Random;
use std::time::Duration;

/// Silence after which a caller goes elsewhere.
const SILENCE: Duration = Duration::from_secs(1);
/// Pause after the first failure; doubled with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// Pause between an acknowledgement and the next order.
const PAUSE_BETWEEN_ORDERS: Duration = Duration::from_millis(50);
const MAX_REDIRECTS: u32 = 2;
const MACHINES: usize = 3;

#[derive(Clone, Copy)]
enum Call {
    /// Nothing is under way; the next call goes to this machine at this time.
    Pausing { node: usize, until: Duration },
    /// A call waits for its response.
    Waiting { node: usize, request: Option<u64>, silent_at: Duration, redirects: u32 },
}

/// One caller, with one order at a time: to name the next version of a model of its own.
pub struct Caller {
    model: String,
    generation: u64,
    call: Call,
    failures: u32,
}

impl Caller {
    pub fn new(number: usize, now: Duration) -> Caller {
        let call = Call::Pausing { node: number % MACHINES, until: now };
        Caller { model: format!("model-{number}"), generation: 2, call, failures: 0 }
    }

    /// Does what is due. Whether its order was acknowledged now.
    pub fn act(&mut self, cluster: &mut Cluster, random: &mut Random) -> bool {
        match self.call {
            Call::Pausing { node, until } if cluster.now >= until => {
                self.send(cluster, random, node, 0);
                false
            }
            Call::Pausing { .. } => false,
            Call::Waiting { node, request, silent_at, redirects } => {
                let response = request.and_then(|request| cluster.response(request).cloned());
                match response {
                    Some(response) if response.status == 200 => {
                        self.acknowledged(cluster.now, random);
                        return true;
                    }
                    Some(response) if response.status == 307 && redirects < MAX_REDIRECTS => {
                        let location = response.location.unwrap_or_default();
                        let next = cluster.node_at_control_address(&location).expect("a known address");
                        self.send(cluster, random, next, redirects + 1);
                    }
                    Some(_) => self.failed(cluster.now, random, node),
                    // Its connection was reset.
                    None if cluster.refuses(node) => self.failed(cluster.now, random, node),
                    None if cluster.now >= silent_at => self.failed(cluster.now, random, node),
                    None => {}
                }
                false
            }
        }
    }

    fn send(&mut self, cluster: &mut Cluster, random: &mut Random, node: usize, redirects: u32) {
        if cluster.refuses(node) {
            return self.failed(cluster.now, random, node);
        }
        let body = format!("{{\"model\":\"{}\",\"generation\":{}}}", self.model, self.generation);
        let order = http_request("POST", "/version-put", None, body.into_bytes());
        let request = (!cluster.is_silent(node)).then(|| cluster.send_request(node, order));
        let silent_at = cluster.now + SILENCE;
        self.call = Call::Waiting { node, request, silent_at, redirects };
    }

    /// The next order goes to any process.
    fn acknowledged(&mut self, now: Duration, random: &mut Random) {
        let node = random.below(MACHINES as u64) as usize;
        self.generation += 1;
        self.failures = 0;
        self.call = Call::Pausing { node, until: now + PAUSE_BETWEEN_ORDERS };
    }

    fn failed(&mut self, now: Duration, random: &mut Random, node: usize) {
        let others = MACHINES as u64 - 1;
        let next = (node + 1 + random.below(others) as usize) % MACHINES;
        let pause = (FIRST_PAUSE * 2_u32.saturating_pow(self.failures)).min(LONGEST_PAUSE);
        self.failures += 1;
        self.call = Call::Pausing { node: next, until: now + pause };
    }
}
