//! The watch: a call to discovery that is kept open from the start on.
//!
//! A change has to be in force 6 s after discovery had it and could be reached, whatever became of the calls. The times
//! below follow from that: a silent watch is noticed within 3 s, and two calls that fail as late as discovery lets them
//! (2 s each), with the backoff between them, leave time for a third.

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

/// A watch brings something every 2 s; silent for this long, and at most [`MAX_SILENCE_JITTER`] longer, it has failed.
const MAX_SILENCE: Duration = Duration::from_millis(2400);
/// Watches of many dispatchers may fall silent at one moment; they are not all reopened at once.
const MAX_SILENCE_JITTER: Duration = Duration::from_millis(600);
/// After this discovery's machine does not answer at all, and waiting longer is pointless.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Discovery itself ends calls that waited for 2 to 3 s; one that brings nothing for longer has failed.
const CALL_TIMEOUT: Duration = Duration::from_millis(3250);
/// The longest backoff after a failed call; half of it is drawn, as many dispatchers may be refused at once.
const MAX_BACKOFF: Duration = Duration::from_millis(900);
/// The first call is delayed by up to this for each dispatcher of the fleet, at most [`MAX_FIRST_CALL_JITTER`]: all may
/// have started, or lost their watches, at once.
const FIRST_CALL_JITTER_PER_NODE: Duration = Duration::from_millis(2);
const MAX_FIRST_CALL_JITTER: Duration = Duration::from_millis(600);
/// Where lists are pushed, an agent on this machine answers at once or not at all, and a call costs it nothing. What it
/// has is in force at once.
const AGENT_TIMEOUT: Duration = Duration::from_millis(400);
const AGENT_BACKOFF: Duration = Duration::from_millis(50);
/// An agent that has begun to answer is not down: without an update, its first line comes after 2 s.
const AGENT_MAX_SILENCE: Duration = Duration::from_millis(2200);
/// A watch that ended sooner counts as a failed call.
const MIN_WATCH_TIME: Duration = Duration::from_secs(1);
/// After this many failed calls in a row, a new process goes by the list that it was given at its start.
const FAILURES_BEFORE_KNOWN_LIST: u32 = 2;
/// Longest object of discovery, in bytes.
const MAX_OBJECT_BYTES: usize = 768 * 1024;

/// Why a call to discovery has failed.
#[derive(Debug, Error)]
enum CallError {
    #[error("discovery responded with status {0}")]
    Status(u16),
    #[error(transparent)]
    Malformed(#[from] Malformed),
    #[error("the response ended inside an object")]
    Truncated,
    #[error("an object of more than {MAX_OBJECT_BYTES} bytes")]
    TooLong,
    #[error("an object that is no list of endpoints")]
    NoList,
}

/// What is called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// Discovery itself.
    Discovery,
    /// An agent on this machine to which lists are pushed.
    Agent,
}

/// The watch. It is kept up whatever the decision module asks for.
#[derive(Debug)]
pub struct Watch {
    address: Option<SocketAddr>,
    source: Source,
    current: Option<ConnectionKey>,
    /// The watch at the previous address, until the one at the new address brings something.
    previous: Option<ConnectionKey>,
    /// The present address, which may count its versions in its own way, has brought nothing yet.
    unconfirmed_address: bool,
    healthy: bool,
    /// Calls in a row that brought nothing.
    failures: u32,
    next_call: Option<TimerHandle>,
    first_call_jitter: Duration,
    rng: StdRng,
}

impl Watch {
    /// A watch that calls nobody yet. Without an address it never will.
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
            unconfirmed_address: false,
            healthy: true,
            failures: 0,
            next_call: None,
            first_call_jitter: (FIRST_CALL_JITTER_PER_NODE * settings.nodes).min(MAX_FIRST_CALL_JITTER),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Schedules the next call, unless there is a watch or a call is scheduled already.
    pub fn schedule_call(&mut self, context: &mut Context) {
        if self.address.is_none() || self.current.is_some() || self.next_call.is_some() {
            return;
        }
        let drawn = self.rng.random_range(0.0..1.0);
        let delay = match (self.source, self.failures) {
            (Source::Agent, 0) => Duration::ZERO,
            (Source::Agent, _) => AGENT_BACKOFF,
            (Source::Discovery, 0) => self.first_call_jitter.mul_f64(drawn),
            (Source::Discovery, _) => MAX_BACKOFF.mul_f64(0.5 + 0.5 * drawn),
        };
        let at = context.net.now + delay;
        self.next_call = Some(context.net.timers.schedule(at, Timer::DiscoveryCall));
    }

    /// The timer of the next call is due.
    pub fn on_call_timer(&mut self, context: &mut Context) {
        self.next_call = None;
        self.call(context);
    }

    /// Goes over to discovery at another address at once. The old watch counts until the new one brings something.
    pub fn switch_address(&mut self, context: &mut Context, address: SocketAddr) {
        let Some(old) = self.address.replace(address) else {
            // Without an address the decision module was told at the start that workers come by other ways.
            self.address = None;
            return (context.log)("discovery: there was none at the start, so none is taken up");
        };
        if old == address {
            return;
        }
        (context.log)(&format!("discovery: from {old} to {address}"));
        self.unconfirmed_address = true;
        if let Some(key) = self.current.take() {
            if is_confirmed(context, key) {
                self.previous = Some(key);
            } else {
                context.net.close(key);
            }
        }
        self.call(context);
    }

    /// The call's connection was established.
    pub fn on_connected(&mut self, context: &mut Context, key: ConnectionKey) {
        context.net.set_deadline(key, Some(self.agent_or(AGENT_TIMEOUT, CALL_TIMEOUT)));
    }

    /// The call took too long to connect or to bring anything, or the watch fell silent.
    pub fn on_deadline(&mut self, context: &mut Context, key: ConnectionKey) {
        if !is_confirmed(context, key) || self.current != Some(key) {
            return self.on_closed(context, key);
        }
        // What it misses counts from when it fell silent, so there is no further delay.
        (context.log)("discovery: watch timed out");
        context.net.close(key);
        self.current = None;
        self.call(context);
    }

    /// The watch ended or was malformed.
    pub fn on_closed(&mut self, context: &mut Context, key: ConnectionKey) {
        let now = context.net.now;
        let lasted = |call: &WatchCall| call.confirmed && now >= call.opened + MIN_WATCH_TIME;
        let lasted = matches!(context.net.close(key), Some(ConnectionRole::Discovery(call)) if lasted(&call));
        self.previous.take_if(|previous| *previous == key);
        if self.current.take_if(|current| *current == key).is_none() {
            return;
        }
        if lasted {
            // It worked until now: the first call after it is no retry.
            (context.log)("discovery: watch ended");
            return self.schedule_call(context);
        }
        self.on_failure(context);
    }

    /// Processes received bytes. Returns workers whose connections are of no use any more.
    pub fn on_data(&mut self, context: &mut Context, key: ConnectionKey) -> Vec<WorkerId> {
        let mut stale = Vec::new();
        loop {
            match self.read_object(context, key) {
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

    fn call(&mut self, context: &mut Context) {
        let Some(address) = self.address.filter(|_| self.current.is_none()) else { return };
        if let Some(next) = self.next_call.take() {
            context.net.timers.cancel(next);
        }
        let from = if self.unconfirmed_address { 0 } else { context.registry.version() };
        let role = ConnectionRole::Discovery(WatchCall::new(context.net.now));
        match context.net.connect(address, role) {
            Ok(key) => {
                let request =
                    format!("GET /v1/endpoints?watch=1&from={from} HTTP/1.1\r\nHost: discovery\r\n\r\n");
                context.net.set_deadline(key, Some(self.agent_or(AGENT_TIMEOUT, CONNECT_TIMEOUT)));
                context.net.send(key, request.as_bytes());
                self.current = Some(key);
            }
            Err(_) => self.on_failure(context),
        }
    }

    fn on_failure(&mut self, context: &mut Context) {
        if std::mem::replace(&mut self.healthy, false) {
            (context.log)("discovery: call failed");
        }
        self.failures = self.failures.saturating_add(1);
        if self.failures >= FAILURES_BEFORE_KNOWN_LIST
            && let Some(known) = context.registry.end_withholding()
        {
            (context.log)("discovery: unreachable, using the list known at the start");
            context.inputs.push(known);
        }
        self.schedule_call(context);
    }

    /// Processes one object and returns the stale workers; `None` if more bytes are needed.
    fn read_object(
        &mut self, context: &mut Context, key: ConnectionKey,
    ) -> Result<Option<Vec<WorkerId>>, CallError> {
        let Some(connection) = context.net.get(key) else { return Ok(None) };
        let ConnectionRole::Discovery(call) = &mut connection.role else { return Ok(None) };
        if call.response.is_none() {
            let Some(head) = http::response_head(&mut connection.input)? else { return Ok(None) };
            if head.status != 200 {
                return Err(CallError::Status(head.status));
            }
            let body = Body::new(head.framing);
            call.response = Some((head, body));
            if self.source == Source::Agent {
                context.net.set_deadline(key, Some(AGENT_MAX_SILENCE));
            }
            return Ok(Some(Vec::new()));
        }
        let Some((_, body)) = &mut call.response else { return Ok(None) };
        body.decode(&mut connection.input, &mut call.objects)?;
        let complete = body.is_complete();
        let item = match http::take_json(&mut call.objects)? {
            Some(item) => item,
            None if complete => return Err(CallError::Truncated),
            None if call.objects.len() > MAX_OBJECT_BYTES => return Err(CallError::TooLong),
            None => return Ok(None),
        };
        let first = !std::mem::replace(&mut call.confirmed, true);
        self.on_item(context, key, first);
        match item {
            StreamItem::EmptyLine => {
                // Nothing has changed: what is known is what discovery has.
                context.inputs.extend(context.registry.end_withholding());
                Ok(Some(Vec::new()))
            }
            StreamItem::Object(json) => {
                let applied = context.registry.apply(&json, None, &context.clock);
                let applied = applied.ok_or(CallError::NoList)?;
                context.inputs.push(applied.input);
                Ok(Some(applied.stale_workers))
            }
        }
    }

    /// A call has brought a list, a change or a sign of life.
    fn on_item(&mut self, context: &mut Context, key: ConnectionKey, first: bool) {
        if first && self.current == Some(key) {
            self.unconfirmed_address = false;
            self.previous.take().map(|previous| context.net.close(previous));
        }
        self.failures = 0;
        let max_silence = MAX_SILENCE + MAX_SILENCE_JITTER.mul_f64(self.rng.random_range(0.0..1.0));
        context.net.set_deadline(key, Some(max_silence));
        if !std::mem::replace(&mut self.healthy, true) {
            (context.log)("discovery: watching again");
        }
    }

    fn agent_or(&self, agent: Duration, discovery: Duration) -> Duration {
        match self.source {
            Source::Agent => agent,
            Source::Discovery => discovery,
        }
    }
}

fn is_confirmed(context: &mut Context, key: ConnectionKey) -> bool {
    matches!(context.net.role(key), Some(ConnectionRole::Discovery(call)) if call.confirmed)
}
