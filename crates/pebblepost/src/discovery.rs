//! Discovery: the watch, and the registry that it keeps up to date.

use crate::buffer::Buffer;
use crate::clock::Clock;
use crate::engine::Input;
use crate::http::{self, Body, Head, StreamItem};
use crate::name_hash::hash_name;
use crate::net::{ConnKey, Due, Role, Shared};
use crate::sight::Mute;
use crate::timer_queue::TimerHandle;
use pebblepost_dispatch::api::{
    CellId, Entry, KindId, ListKind, Settings, Time, WorkerId, WorkerState, ZoneId,
};
use pebblepost_fleet::value::{WorkerObservation, WorkerStatus};
use pebblepost_fleet::{Name, Text};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::Value;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

/// A change counts as told 6 s after discovery had it and could be reached, whatever became of the calls. All times
/// here come from that: a watch that falls silent is noticed by 3 s, and two calls that fail as late as discovery lets
/// them (2 s each) with the pauses between them leave time for a third.
///
/// A watch says something every 2 s; quiet for so long, and at most [`QUIET_SPREAD`] longer, it is broken.
const QUIET: Duration = Duration::from_millis(2400);
/// Watches of many dispatchers may fall silent at one moment: they are not all opened anew at one.
const QUIET_SPREAD: Duration = Duration::from_millis(600);
/// Discovery's machine does not answer at all: there is no point in waiting for longer.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Discovery itself ends calls that waited for 2 to 3 s; one that brings nothing for longer has failed.
const CALL_TIMEOUT: Duration = Duration::from_millis(3250);
/// The pause after a call that failed; half of it is drawn. Many dispatchers may be refused at once.
const PAUSE: Duration = Duration::from_millis(900);
/// The first call waits so long for each dispatcher of the fleet, at most [`MOST_SPREAD`], in part drawn: all may have
/// started, or lost their watches, at once.
const SPREAD_EACH: Duration = Duration::from_millis(2);
const MOST_SPREAD: Duration = Duration::from_millis(600);
/// Where lists are pushed the agent stands on this machine, a call costs it nothing, and it answers at once or not at
/// all. What it has then counts as told at once.
const AGENT_TIMEOUT: Duration = Duration::from_millis(400);
const AGENT_PAUSE: Duration = Duration::from_millis(50);
/// Once it has begun to answer it is not down: if it has no news, its first line comes after 2 s.
const AGENT_QUIET: Duration = Duration::from_millis(2200);
/// A watch that ended sooner was none: the next one waits as after a call that failed.
const SHORT: Duration = Duration::from_secs(1);
/// So many calls in a row have to fail before a new process goes by the list that it was given at the start.
const FAILURES_TO_RELY_ON_KNOWN: u32 = 2;
/// Longest object of discovery.
const MAX_OBJECT: usize = 768 * 1024;

/// What is known of a worker.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Its name, the same at every dispatcher.
    pub host: String,
    /// Where it is reached by HTTP; `None`: by another front.
    pub dial: Option<SocketAddr>,
    born_ms: u64,
    entry: Entry,
    /// Discovery has told of it.
    heard: bool,
}

/// Discovery's list, and how each worker on it is reached.
#[derive(Debug, Default)]
pub struct Registry {
    by_host: HashMap<String, WorkerId>,
    endpoints: Vec<Endpoint>,
    zones: Vec<String>,
    kinds: Vec<String>,
    drained: HashSet<String>,
    seq: u64,
    /// Discovery's workers are not told of yet: what is known of them may be out of date.
    held_back: bool,
}

/// A list or its changes, as discovery words it.
#[derive(Debug)]
struct List {
    seq: u64,
    whole: bool,
    hosts: Vec<Host>,
}

#[derive(Debug)]
struct Host {
    name: String,
    dial: Option<SocketAddr>,
    zone: Value,
    kind: Value,
    cell: u16,
    state: WorkerState,
    born_ms: u64,
}

impl List {
    fn read(json: &Value) -> Option<Self> {
        let hosts = json.get("hosts")?.as_array()?;
        Some(Self {
            seq: json.get("seq")?.as_u64()?,
            whole: json.get("whole")?.as_bool()?,
            hosts: hosts.iter().map(Host::read).collect::<Option<_>>()?,
        })
    }
}

impl Host {
    fn read(json: &Value) -> Option<Self> {
        let state = match json.get("health")?.as_str()? {
            "ready" => WorkerState::Ready,
            "draining" => WorkerState::Draining,
            "gone" => WorkerState::Gone,
            _ => return None,
        };
        let dial = match json.get("dial").and_then(Value::as_str).map(str::parse) {
            Some(Ok(address)) => Some(address),
            Some(Err(_)) => return None,
            // Of one that is gone the address does not matter.
            None if state == WorkerState::Gone => None,
            None => return None,
        };
        Some(Self {
            name: json.get("host")?.as_str()?.to_owned(),
            dial,
            zone: json.get("site").cloned().unwrap_or_default(),
            kind: json.get("class").cloned().unwrap_or_default(),
            cell: json.get("block").and_then(Value::as_u64).and_then(|b| u16::try_from(b).ok()).unwrap_or(0),
            state,
            born_ms: json.get("born_ms").and_then(Value::as_u64).unwrap_or(0),
        })
    }
}

/// The index of a name, or of a number; a name never heard of gets an index of its own.
fn index(names: &mut Vec<String>, value: &Value) -> u16 {
    if let Some(n) = value.as_u64() {
        return u16::try_from(n).unwrap_or(u16::MAX);
    }
    let name = value.as_str().unwrap_or("");
    let at = names.iter().position(|n| n == name).unwrap_or_else(|| {
        names.push(name.to_owned());
        names.len() - 1
    });
    u16::try_from(at).unwrap_or(u16::MAX)
}

impl Registry {
    /// Knows the names of zones and kinds and no worker.
    pub fn new(zones: Vec<String>, kinds: Vec<String>) -> Self {
        Self { zones, kinds, ..Self::default() }
    }

    /// What is known of a worker.
    pub fn get(&self, worker: WorkerId) -> Option<&Endpoint> {
        self.endpoints.get(worker.0 as usize)
    }

    /// The worker of that name.
    pub fn by_host(&self, host: &str) -> Option<WorkerId> {
        self.by_host.get(host).copied()
    }

    /// Enters a worker that another front reaches, or changes its state.
    pub fn enter(&mut self, host: &str, kind: KindId, state: WorkerState) -> WorkerId {
        let id = self.place(host);
        let t = &mut self.endpoints[id.0 as usize];
        (t.entry.kind, t.entry.state) = (kind, state);
        id
    }

    /// The name in the operator's drain mark for the worker: its own, or that of the process of which it is a queue.
    pub fn mark_of(&self, worker: WorkerId) -> Option<&str> {
        let host = self.get(worker)?.host.as_str();
        [host, host.split('/').next().unwrap_or_default()]
            .into_iter()
            .find(|name| self.drained.contains(*name))
    }

    /// Whether an operator's drain mark names the worker.
    pub fn is_marked(&self, worker: WorkerId) -> bool {
        self.mark_of(worker).is_some()
    }

    /// The workers on discovery's list as this dispatcher sees them; `None`: it has no list yet.
    pub fn seen(
        &self, now: Time, warm_up: Duration, mute: &Mute,
    ) -> Option<BTreeMap<Name, WorkerObservation>> {
        let name = |names: &[String], at: u16| -> Text {
            let name = names.get(usize::from(at)).cloned().unwrap_or_else(|| at.to_string());
            name.parse().unwrap_or_default()
        };
        let listed = self.endpoints.iter().filter(|t| t.dial.is_some() && t.entry.state != WorkerState::Gone);
        let seen = listed.filter_map(|t| {
            let cold = t.entry.started.is_some_and(|start| now < start + warm_up);
            let sight = match t.entry.state {
                WorkerState::Ready if mute.is_mute(now, t.entry.worker) => WorkerStatus::Unavailable,
                WorkerState::Ready if cold => WorkerStatus::WarmingUp,
                WorkerState::Ready => WorkerStatus::Ready,
                _ => WorkerStatus::Unavailable,
            };
            let zone = name(&self.zones, t.entry.zone.0);
            let kind = name(&self.kinds, t.entry.kind.0);
            Some((t.host.parse().ok()?, WorkerObservation { zone, machine_type: kind, status: sight }))
        });
        self.endpoints.iter().any(|t| t.heard && t.dial.is_some()).then(|| seen.collect())
    }

    /// All workers that an operator's drain mark names.
    pub fn all_marked(&self) -> HashSet<WorkerId> {
        let all = (0..self.endpoints.len()).map(|i| WorkerId(i as u32));
        if self.drained.is_empty() { HashSet::new() } else { all.filter(|id| self.is_marked(*id)).collect() }
    }

    fn place(&mut self, host: &str) -> WorkerId {
        if let Some(id) = self.by_host.get(host) {
            return *id;
        }
        let id = WorkerId(self.endpoints.len() as u32);
        let entry = Entry {
            worker: id,
            zone: ZoneId(0),
            kind: KindId(0),
            cell: CellId(0),
            state: WorkerState::Gone,
            name: hash_name(host),
            started: None,
        };
        self.by_host.insert(host.to_owned(), id);
        self.endpoints.push(Endpoint { host: host.to_owned(), dial: None, born_ms: 0, entry, heard: false });
        id
    }

    /// Keeps discovery's workers from the core until discovery has spoken or has shown that it does not: what a new
    /// process was given at the start may be older than what counts as told.
    pub fn hold_back(&mut self) {
        self.held_back = true;
    }

    /// Goes by what is known, if that was held back; what the core is told.
    pub fn rely_on_known(&mut self) -> Option<Input> {
        std::mem::take(&mut self.held_back).then(|| self.whole())
    }

    /// Takes in a list of discovery. Returns what the core is told, and the workers that are gone or have
    /// moved, whose links are of no use any more. `None`: it is no such list.
    pub fn apply(
        &mut self, json: &Value, kind: Option<ListKind>, clock: &Clock,
    ) -> Option<(Input, Vec<WorkerId>)> {
        let list = List::read(json)?;
        let mut stale = Vec::new();
        let mut entries = Vec::new();
        if list.whole {
            let listed: HashSet<&str> = list.hosts.iter().map(|h| h.name.as_str()).collect();
            for t in
                self.endpoints.iter_mut().filter(|t| t.dial.is_some() && !listed.contains(t.host.as_str()))
            {
                t.entry.state = WorkerState::Gone;
                stale.push(t.entry.worker);
            }
            // Those that another front brought are on the whole list as well.
            let others = self.endpoints.iter().filter(|t| t.dial.is_none()).map(|t| t.entry.worker);
            entries.extend(others.map(|id| self.marked(id)).filter(|e| e.state != WorkerState::Gone));
        }
        // An older version does not know of a drain told since, and must not take it back: only a newer one may, or a
        // new start of the worker. Discovery that has gone back itself counts on from where it is.
        let older = list.seq < self.seq;
        for host in list.hosts {
            let id = self.place(&host.name);
            let (zone, kind) = (index(&mut self.zones, &host.zone), index(&mut self.kinds, &host.kind));
            let t = &mut self.endpoints[id.0 as usize];
            if host.dial.is_some() && t.dial != host.dial || host.state == WorkerState::Gone {
                stale.push(id);
            }
            t.dial = host.dial.or(t.dial);
            (t.entry.zone, t.entry.kind, t.entry.cell) = (ZoneId(zone), KindId(kind), CellId(host.cell));
            if !(older && t.heard && host.state == WorkerState::Ready && host.born_ms <= t.born_ms) {
                t.entry.state = host.state;
            }
            t.heard = true;
            // Reckoned once for each start: were it done anew with each list, jitter of the clocks would look
            // like one restart after another.
            if host.born_ms != t.born_ms {
                t.born_ms = host.born_ms;
                t.entry.started = (host.born_ms != 0).then(|| clock.from_unix_ms(host.born_ms));
            }
            entries.push(self.marked(id));
        }
        self.seq = list.seq;
        if let Some(whole) = self.rely_on_known() {
            return Some((whole, stale));
        }
        let kind = kind.unwrap_or(if list.whole { ListKind::Full } else { ListKind::Delta });
        Some((Input::Membership(kind, entries), stale))
    }

    /// The entry as the core sees it: an operator's drain mark drains a ready worker.
    fn marked(&self, id: WorkerId) -> Entry {
        let t = &self.endpoints[id.0 as usize];
        let drains = t.entry.state == WorkerState::Ready && self.is_marked(id);
        Entry { state: if drains { WorkerState::Draining } else { t.entry.state }, ..t.entry }
    }

    /// Replaces the operators' drain marks; what the core is told if that changes anything.
    pub fn mark(&mut self, drained: HashSet<String>) -> Option<Input> {
        if drained == self.drained {
            return None;
        }
        self.drained = drained;
        Some(self.whole())
    }

    /// The whole map, told without claiming that discovery has spoken.
    pub fn whole(&self) -> Input {
        let told = self.endpoints.iter().filter(|e| !self.held_back || e.dial.is_none());
        let all = told.map(|e| self.marked(e.entry.worker));
        Input::Membership(ListKind::Cached, all.filter(|e| e.state != WorkerState::Gone).collect())
    }
}

/// A call to discovery: a watch.
#[derive(Debug)]
pub struct Call {
    head: Option<(Head, Body)>,
    objects: Buffer,
    opened: Time,
    confirmed: bool,
}

/// The watch, kept up from the start on whatever the decisions ask for.
#[derive(Debug)]
pub struct Discovery {
    address: Option<SocketAddr>,
    watching: Option<ConnKey>,
    /// The watch at an address that has been left, until the one at the new address speaks.
    leaving: Option<ConnKey>,
    /// Nothing has been heard from the present address, which may count its versions in its own way.
    unheard: bool,
    healthy: bool,
    /// Lists are pushed, by an agent on this machine.
    pushed: bool,
    /// Calls in a row that brought nothing, and when the next one is due.
    failures: u32,
    next: Option<TimerHandle>,
    /// What the first call is spread over.
    spread: Duration,
    rng: StdRng,
}

impl Discovery {
    /// No call is out. Without an address there will be none.
    pub fn new(address: Option<SocketAddr>, settings: &Settings, seed: u64) -> Self {
        let pushed = settings.discovery == pebblepost_dispatch::api::Discovery::Push;
        Self {
            address,
            watching: None,
            leaving: None,
            unheard: false,
            healthy: true,
            pushed,
            failures: 0,
            next: None,
            spread: (SPREAD_EACH * settings.nodes).min(MOST_SPREAD),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Takes up the watch a moment later, unless that is under way.
    pub fn keep_up(&mut self, s: &mut Shared) {
        if self.address.is_none() || self.watching.is_some() || self.next.is_some() {
            return;
        }
        let drawn = self.rng.random_range(0.0..1.0);
        let pause = match (self.pushed, self.failures) {
            (true, 0) => Duration::ZERO,
            (true, _) => AGENT_PAUSE,
            (false, 0) => self.spread.mul_f64(drawn),
            (false, _) => PAUSE.mul_f64(0.5 + 0.5 * drawn),
        };
        self.next = Some(s.net.timers.schedule(s.net.now + pause, Due::Watch));
    }

    /// The time for the next call has come.
    pub fn on_due(&mut self, s: &mut Shared) {
        self.next = None;
        self.watch(s);
    }

    fn watch(&mut self, s: &mut Shared) {
        let Some(address) = self.address.filter(|_| self.watching.is_none()) else { return };
        if let Some(next) = self.next.take() {
            s.net.timers.cancel(next);
        }
        let from = if self.unheard { 0 } else { s.registry.seq };
        let call = Call { head: None, objects: Buffer::default(), opened: s.net.now, confirmed: false };
        match s.net.connect(address, Role::Discovery(call)) {
            Ok(key) => {
                let request =
                    format!("GET /v1/endpoints?watch=1&from={from} HTTP/1.1\r\nHost: discovery\r\n\r\n");
                s.net.set_deadline(key, Some(if self.pushed { AGENT_TIMEOUT } else { CONNECT_TIMEOUT }));
                s.net.send(key, request.as_bytes());
                self.watching = Some(key);
            }
            Err(_) => self.failed(s),
        }
    }

    /// Goes over to discovery at another address, at once: what it has to tell counts as told soon, whether the
    /// decisions have asked or not. The old watch counts until the new one speaks.
    pub fn move_to(&mut self, s: &mut Shared, address: SocketAddr) {
        let Some(old) = self.address.replace(address) else {
            // Without an address the decisions were told at the start that workers come by other ways.
            self.address = None;
            return (s.log)("discovery: there was none at the start, so none is taken up");
        };
        if old == address {
            return;
        }
        (s.log)(&format!("discovery: from {old} to {address}"));
        self.unheard = true;
        if let Some(key) = self.watching.take() {
            if matches!(s.net.get(key).map(|c| &c.role), Some(Role::Discovery(call)) if call.confirmed) {
                self.leaving = Some(key);
            } else {
                s.net.close(key);
            }
        }
        self.watch(s);
    }

    fn failed(&mut self, s: &mut Shared) {
        if std::mem::replace(&mut self.healthy, false) {
            (s.log)("discovery: call failed");
        }
        self.failures = self.failures.saturating_add(1);
        if self.failures >= FAILURES_TO_RELY_ON_KNOWN
            && let Some(known) = s.registry.rely_on_known()
        {
            (s.log)("discovery: not to be had, going by the list known at the start");
            s.inputs.push(known);
        }
        self.keep_up(s);
    }

    /// The call's connection came up.
    pub fn on_up(&mut self, s: &mut Shared, key: ConnKey) {
        s.net.set_deadline(key, Some(if self.pushed { AGENT_TIMEOUT } else { CALL_TIMEOUT }));
    }

    /// The call took too long to come up or to bring anything, or the watch fell silent.
    pub fn on_deadline(&mut self, s: &mut Shared, key: ConnKey) {
        let spoke = matches!(s.net.get(key).map(|c| &c.role), Some(Role::Discovery(call)) if call.confirmed);
        if !spoke || self.watching != Some(key) {
            return self.on_closed(s, key);
        }
        // What it misses counts from when it fell silent, so there is no further pause.
        (s.log)("discovery: the watch fell silent");
        s.net.close(key);
        self.watching = None;
        self.watch(s);
    }

    /// The watch ended or brought garbage.
    pub fn on_closed(&mut self, s: &mut Shared, key: ConnKey) {
        let now = s.net.now;
        let lasted = |call: &Call| call.confirmed && now >= call.opened + SHORT;
        let lasted = matches!(s.net.close(key), Some(Role::Discovery(call)) if lasted(&call));
        self.leaving.take_if(|call| *call == key);
        if self.watching.take_if(|call| *call == key).is_none() {
            return;
        }
        if lasted {
            // It spoke until now: the first call after it is no repeat.
            (s.log)("discovery: the watch ended");
            return self.keep_up(s);
        }
        self.failed(s);
    }

    /// Bytes have come. Returns workers whose links are of no use any more.
    pub fn on_data(&mut self, s: &mut Shared, key: ConnKey) -> Vec<WorkerId> {
        let mut stale = Vec::new();
        loop {
            match self.read_on(s, key) {
                Ok(Some(workers)) => stale.extend(workers),
                Ok(None) => break,
                Err(()) => {
                    self.on_closed(s, key);
                    return stale;
                }
            }
        }
        s.net.sync(key);
        stale
    }

    /// Reads one object; `None`: more bytes are needed; an error: the call has failed.
    fn read_on(&mut self, s: &mut Shared, key: ConnKey) -> Result<Option<Vec<WorkerId>>, ()> {
        let Some(conn) = s.net.get(key) else { return Ok(None) };
        let Role::Discovery(call) = &mut conn.role else { return Ok(None) };
        if call.head.is_none() {
            match http::response_head(&mut conn.input) {
                Ok(Some(head)) if head.status == 200 => {
                    let body = Body::new(head.framing);
                    call.head = Some((head, body));
                    if self.pushed {
                        s.net.set_deadline(key, Some(AGENT_QUIET));
                    }
                    return Ok(Some(Vec::new()));
                }
                Ok(None) => return Ok(None),
                _ => return Err(()),
            }
        }
        let Some((_, body)) = &mut call.head else { return Ok(None) };
        body.decode(&mut conn.input, &mut call.objects).map_err(|_| ())?;
        let done = body.is_complete();
        let object = match http::take_json(&mut call.objects).map_err(|_| ())? {
            Some(object) => object,
            None if done || call.objects.len() > MAX_OBJECT => return Err(()),
            None => return Ok(None),
        };
        let first = !std::mem::replace(&mut call.confirmed, true);
        if first && self.watching == Some(key) {
            self.unheard = false;
            self.leaving.take().map(|key| s.net.close(key));
        }
        self.failures = 0;
        s.net.set_deadline(key, Some(QUIET + QUIET_SPREAD.mul_f64(self.rng.random_range(0.0..1.0))));
        if !std::mem::replace(&mut self.healthy, true) {
            (s.log)("discovery: watching again");
        }
        let StreamItem::Object(json) = object else {
            // An empty line. Nothing has changed: what is known is what discovery has.
            s.inputs.extend(s.registry.rely_on_known());
            return Ok(Some(Vec::new()));
        };
        let (input, stale) = s.registry.apply(&json, None, &s.clock).ok_or(())?;
        s.inputs.push(input);
        Ok(Some(stale))
    }
}
