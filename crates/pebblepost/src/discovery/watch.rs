//! The watch on discovery: a call that is opened at the start and reopened whenever it ends.
//!
//! Requirement: a change takes effect at most 6 s after discovery had it and was reachable, even if calls fail in between. The
//! time-outs below are derived from this. A silent watch is detected within 3 s. Two calls that fail as late as discovery
//! allows (2 s each), with the backoff between them, leave time for a third call.

use super::call::WatchCall;
use crate::connection_role::ConnectionRole;
use crate::context::Context;
use crate::http::{self, Body, Malformed, StreamItem};
use crate::net::ConnectionKey;
use crate::timer::Timer;
use crate::timer_queue::TimerHandle;
use pebblepost_dispatch::api::{Discovery, Settings, WorkerId};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// A watch has failed if it delivers nothing for this time plus a random part of [`SILENCE_TIMEOUT_JITTER_MAX`]. Discovery
/// sends a change or an empty line at least every 2 s.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2400);
/// The watches of many dispatchers may fall silent at the same time. The jitter spreads their reconnects.
const SILENCE_TIMEOUT_JITTER_MAX: Duration = Duration::from_millis(600);
/// Time limit for establishing the connection. A machine that has not answered by then is taken for unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for the first item on an established connection. Discovery itself ends calls that have waited for 2 to 3 s, so a
/// call that delivers nothing for longer has failed.
const CALL_TIMEOUT: Duration = Duration::from_millis(3250);
/// The longest backoff after a failed call. The backoff is drawn at random between half of this and all of it, because
/// discovery may refuse many dispatchers at the same time.
const RECONNECT_BACKOFF_MAX: Duration = Duration::from_millis(900);
/// The random delay before the first call is at most this time multiplied by the number of dispatchers in the fleet, limited by
/// [`FIRST_CALL_JITTER_MAX`]. It spreads the load when all dispatchers start, or lose their watches, at the same time.
const FIRST_CALL_JITTER_PER_NODE: Duration = Duration::from_millis(2);
/// Limit of the random delay before the first call.
const FIRST_CALL_JITTER_MAX: Duration = Duration::from_millis(600);
/// Time limit for a call to an agent, first for connecting and then for the head of the response. With pushed lists, an agent on
/// this machine answers immediately or not at all, calls to it are cheap, and its lists take effect immediately.
const AGENT_CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Backoff after a failed call to an agent.
const AGENT_RECONNECT_BACKOFF: Duration = Duration::from_millis(50);
/// Time limit for the first line after the head of an agent's response. The head shows that the agent is up; if it has no
/// update, its first line comes after 2 s.
const AGENT_SILENCE_TIMEOUT: Duration = Duration::from_millis(2200);
/// A watch that ends sooner after it was opened counts as a failed call.
const MIN_WATCH_DURATION: Duration = Duration::from_secs(1);
/// After this many consecutive failed calls, a new process uses the list that it was given at its start.
const FAILED_CALLS_BEFORE_CACHED_LIST: u32 = 2;
/// Longest object in a response of discovery, in bytes.
const MAX_OBJECT_BYTES: usize = 768 * 1024;

/// The reason why a call to discovery failed.
#[derive(Debug, Error)]
enum CallError {
    #[error("discovery responded with status {0}, expected 200")]
    Status(u16),
    #[error(transparent)]
    Malformed(#[from] Malformed),
    #[error("the response of discovery ended before an object was complete")]
    Truncated,
    #[error("an object in the response of discovery exceeds {MAX_OBJECT_BYTES} bytes")]
    ObjectTooLong,
    #[error("an object in the response of discovery is not a valid list of endpoints")]
    NotEndpointList,
}

/// The kind of server that the watch calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// Discovery itself.
    Discovery,
    /// An agent on this machine, to which discovery pushes its lists.
    Agent,
}

/// The watch on discovery. It is kept open regardless of what the decision module asks for.
#[derive(Debug)]
pub struct Watch {
    /// Where discovery or the agent is reached; `None` if workers are not taken from discovery.
    address: Option<SocketAddr>,
    source: Source,
    /// The call at the present address, from its connection attempt on.
    current: Option<ConnectionKey>,
    /// The watch at the previous address. It stays in use until the call at the new address delivers something.
    previous: Option<ConnectionKey>,
    /// Whether the present address has delivered nothing yet. Its list versions may not be comparable with those of the previous
    /// address, so the call asks for changes from version 0.
    address_unconfirmed: bool,
    /// Whether no call has failed since the last one that delivered something.
    healthy: bool,
    /// Number of consecutive calls that failed.
    consecutive_failures: u32,
    next_call: Option<TimerHandle>,
    first_call_jitter: Duration,
    rng: StdRng,
}

impl Watch {
    /// Creates a watch without an open call. Without an address it never opens one.
    pub fn new(address: Option<SocketAddr>, settings: &Settings, seed: u64) -> Self {
        let source = match settings.discovery {
            Discovery::Push => Source::Agent,
            _ => Source::Discovery,
        };
        Self {
            address,
            source,
            current: None,
            previous: None,
            address_unconfirmed: false,
            healthy: true,
            consecutive_failures: 0,
            next_call: None,
            first_call_jitter: (FIRST_CALL_JITTER_PER_NODE * settings.nodes).min(FIRST_CALL_JITTER_MAX),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Schedules the next call, unless a call is open or scheduled already.
    pub fn schedule_call(&mut self, context: &mut Context) {
        if self.address.is_none() || self.current.is_some() || self.next_call.is_some() {
            return;
        }
        let random_fraction = self.rng.random_range(0.0..1.0);
        let delay = match (self.source, self.consecutive_failures) {
            (Source::Agent, 0) => Duration::ZERO,
            (Source::Agent, _) => AGENT_RECONNECT_BACKOFF,
            (Source::Discovery, 0) => self.first_call_jitter.mul_f64(random_fraction),
            (Source::Discovery, _) => RECONNECT_BACKOFF_MAX.mul_f64(0.5 + 0.5 * random_fraction),
        };
        let at = context.net.now + delay;
        self.next_call = Some(context.net.timers.schedule(at, Timer::DiscoveryCall));
    }

    /// Opens the call whose timer is due.
    pub fn on_call_timer(&mut self, context: &mut Context) {
        self.next_call = None;
        self.open_call(context);
    }

    /// Calls discovery at another address immediately. The old watch stays in use until the new one delivers something.
    ///
    /// Has no effect if the watch was created without an address.
    pub fn switch_address(&mut self, context: &mut Context, address: SocketAddr) {
        let Some(old) = self.address.replace(address) else {
            // Without an address, the decision module was told at the start that workers come from other sources.
            self.address = None;
            return (context.log)("discovery: no address was configured at the start; new address ignored");
        };
        if old == address {
            return;
        }
        (context.log)(&format!("discovery: address changed from {old} to {address}"));
        self.address_unconfirmed = true;
        if let Some(key) = self.current.take() {
            if is_confirmed(context, key) {
                self.previous = Some(key);
            } else {
                context.net.close(key);
            }
        }
        self.open_call(context);
    }

    /// Handles the establishment of a call's connection.
    pub fn on_connected(&mut self, context: &mut Context, key: ConnectionKey) {
        context.net.set_deadline(key, Some(self.timeout_for_source(AGENT_CALL_TIMEOUT, CALL_TIMEOUT)));
    }

    /// Handles the deadline of a call: it did not connect or deliver anything in time, or the watch fell silent.
    pub fn on_deadline(&mut self, context: &mut Context, key: ConnectionKey) {
        if !is_confirmed(context, key) || self.current != Some(key) {
            return self.on_closed(context, key);
        }
        // The time limit for changes that were missed runs since the watch fell silent, so it is reopened without a backoff.
        (context.log)("discovery: watch timed out; reopening it");
        context.net.close(key);
        self.current = None;
        self.open_call(context);
    }

    /// Handles a call that ended or whose response is malformed.
    pub fn on_closed(&mut self, context: &mut Context, key: ConnectionKey) {
        let now = context.net.now;
        let lasted = |call: &WatchCall| call.confirmed && now >= call.opened_at + MIN_WATCH_DURATION;
        let lasted = matches!(context.net.close(key), Some(ConnectionRole::Discovery(call)) if lasted(&call));
        self.previous.take_if(|previous| *previous == key);
        if self.current.take_if(|current| *current == key).is_none() {
            return;
        }
        if lasted {
            // The watch worked until now, so the next call is delayed like a first call and not like a retry.
            (context.log)("discovery: watch ended; reopening it");
            return self.schedule_call(context);
        }
        self.on_failure(context);
    }

    /// Processes the bytes received on a call. Returns the workers whose idle connections have to be closed.
    pub fn on_data(&mut self, context: &mut Context, key: ConnectionKey) -> Vec<WorkerId> {
        let mut stale = Vec::new();
        loop {
            match self.read_item(context, key) {
                Ok(Some(workers)) => stale.extend(workers),
                Ok(None) => break,
                Err(_) => {
                    self.on_closed(context, key);
                    return stale;
                }
            }
        }
        context.net.update_interest(key);
        stale
    }

    fn open_call(&mut self, context: &mut Context) {
        let Some(address) = self.address.filter(|_| self.current.is_none()) else { return };
        if let Some(next) = self.next_call.take() {
            context.net.timers.cancel(next);
        }
        let from = if self.address_unconfirmed { 0 } else { context.registry.version() };
        let role = ConnectionRole::Discovery(WatchCall::new(context.net.now));
        match context.net.connect(address, role) {
            Ok(key) => {
                let request =
                    format!("GET /v1/endpoints?watch=1&from={from} HTTP/1.1\r\nHost: discovery\r\n\r\n");
                context
                    .net
                    .set_deadline(key, Some(self.timeout_for_source(AGENT_CALL_TIMEOUT, CONNECT_TIMEOUT)));
                context.net.send(key, request.as_bytes());
                self.current = Some(key);
            }
            Err(_) => self.on_failure(context),
        }
    }

    fn on_failure(&mut self, context: &mut Context) {
        if std::mem::replace(&mut self.healthy, false) {
            (context.log)("discovery: call failed; retrying");
        }
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if self.consecutive_failures >= FAILED_CALLS_BEFORE_CACHED_LIST
            && let Some(known) = context.registry.end_withholding()
        {
            (context.log)("discovery: unreachable; using the list of workers given at the start");
            context.inputs.push(known);
        }
        self.schedule_call(context);
    }

    /// Processes the head or one item of a response and returns the stale workers; `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// If the response has a status other than 200, is malformed or truncated, or contains an object that is too long or not a
    /// list of endpoints.
    fn read_item(
        &mut self, context: &mut Context, key: ConnectionKey,
    ) -> Result<Option<Vec<WorkerId>>, CallError> {
        let Some(connection) = context.net.get(key) else { return Ok(None) };
        let ConnectionRole::Discovery(call) = &mut connection.role else { return Ok(None) };
        if call.response.is_none() {
            let Some(head) = http::take_response_head(&mut connection.input)? else { return Ok(None) };
            if head.status != 200 {
                return Err(CallError::Status(head.status));
            }
            let body = Body::new(head.framing);
            call.response = Some((head, body));
            if self.source == Source::Agent {
                context.net.set_deadline(key, Some(AGENT_SILENCE_TIMEOUT));
            }
            return Ok(Some(Vec::new()));
        }
        let Some((_, body)) = &mut call.response else { return Ok(None) };
        body.decode(&mut connection.input, &mut call.decoded_body)?;
        let complete = body.is_complete();
        let item = match http::take_json(&mut call.decoded_body)? {
            Some(item) => item,
            None if complete => return Err(CallError::Truncated),
            None if call.decoded_body.len() > MAX_OBJECT_BYTES => return Err(CallError::ObjectTooLong),
            None => return Ok(None),
        };
        let first = !std::mem::replace(&mut call.confirmed, true);
        self.on_item(context, key, first);
        match item {
            StreamItem::EmptyLine => {
                // An empty line means that nothing has changed, so the known list is up to date.
                context.inputs.extend(context.registry.end_withholding());
                Ok(Some(Vec::new()))
            }
            StreamItem::Object(json) => {
                let applied = context.registry.apply(&json, None, &context.clock);
                let applied = applied.ok_or(CallError::NotEndpointList)?;
                context.inputs.push(applied.input);
                Ok(Some(applied.stale_workers))
            }
        }
    }

    /// Handles an item on a call: a list, a change or an empty line. `first` tells whether it is the first of the call.
    fn on_item(&mut self, context: &mut Context, key: ConnectionKey, first: bool) {
        if first && self.current == Some(key) {
            self.address_unconfirmed = false;
            self.previous.take().map(|previous| context.net.close(previous));
        }
        self.consecutive_failures = 0;
        let silence_timeout =
            SILENCE_TIMEOUT + SILENCE_TIMEOUT_JITTER_MAX.mul_f64(self.rng.random_range(0.0..1.0));
        context.net.set_deadline(key, Some(silence_timeout));
        if !std::mem::replace(&mut self.healthy, true) {
            (context.log)("discovery: watch restored");
        }
    }

    /// Selects the time-out for the kind of server that is called.
    fn timeout_for_source(&self, agent: Duration, discovery: Duration) -> Duration {
        match self.source {
            Source::Agent => agent,
            Source::Discovery => discovery,
        }
    }
}

/// Returns whether the call has delivered anything.
fn is_confirmed(context: &mut Context, key: ConnectionKey) -> bool {
    matches!(context.net.role(key), Some(ConnectionRole::Discovery(call)) if call.confirmed)
}
