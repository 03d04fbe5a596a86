//! What is known of the load of each transcriber: reports, which lag, and our own requests, which
//! are known at once.

use pebblepost_transcriber::Load;
use std::cell::Cell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How old the state is that a report tells.
pub const REPORT_LAG: Duration = Duration::from_millis(300);
/// How long a report is used instead of another probe.
pub const REPORT_REUSE: Duration = Duration::from_millis(200);
/// How long the versions of a report are used while answers tell the load.
pub const VERSIONS_REUSE: Duration = Duration::from_millis(1000);
/// How long a service whose transcribers tell no load is not asked again.
pub const SILENT_SERVICE: Duration = Duration::from_secs(30);

/// When anything came from a transcriber last.
#[derive(Clone, Debug, Default)]
pub struct Heard(Rc<Cell<Option<Instant>>>);

impl Heard {
    /// Something came.
    pub fn note(&self, now: Instant) {
        self.0.set(Some(now));
    }

    /// Whether something came within this time.
    pub fn is_within(&self, time: Duration, now: Instant) -> bool {
        self.0.get().is_some_and(|at| now < at + time)
    }
}

/// Our own requests at one transcriber.
#[derive(Debug, Default)]
struct OwnRequests {
    /// Starts of those under way.
    started: Vec<Instant>,
    /// Start and end of those that ended lately.
    ended: VecDeque<(Instant, Instant)>,
}

impl OwnRequests {
    fn in_flight(&self) -> u32 {
        u32::try_from(self.started.len()).unwrap_or(u32::MAX)
    }

    /// Those that were under way at an earlier time.
    fn in_flight_at(&self, time: Instant) -> u32 {
        let running = self.started.iter().filter(|start| **start <= time).count();
        let ended = self.ended.iter().filter(|(start, end)| *start <= time && time < *end).count();
        u32::try_from(running + ended).unwrap_or(u32::MAX)
    }

    fn end(&mut self, started: Instant, now: Instant) {
        if let Some(index) = self.started.iter().position(|start| *start == started) {
            self.started.swap_remove(index);
        }
        self.ended.push_back((started, now));
        while self.ended.front().is_some_and(|(_, end)| *end + 2 * REPORT_LAG < now) {
            self.ended.pop_front();
        }
    }
}

/// A load that the transcriber told.
#[derive(Clone, Copy, Debug)]
struct Observation {
    /// Time of the state that it tells.
    as_of: Instant,
    received: Instant,
    busy: u32,
}

#[derive(Debug, Default)]
struct TranscriberLoad {
    own: OwnRequests,
    observation: Option<Observation>,
    reported: Option<Instant>,
    has_order: bool,
    versions: Vec<(String, u64)>,
    avoid_until: Option<Instant>,
    heard: Heard,
}

/// Load of all transcribers, by id.
#[derive(Debug, Default)]
pub struct LoadBook {
    transcribers: HashMap<String, TranscriberLoad>,
    /// Services whose transcribers tell no load, and until when they are not asked.
    silent_services: HashMap<String, Instant>,
}

impl LoadBook {
    /// A request goes to a transcriber.
    pub fn start(&mut self, id: &str, now: Instant) {
        self.entry(id).own.started.push(now);
    }

    /// The request that started then has ended.
    pub fn end(&mut self, id: &str, started: Instant, now: Instant) {
        if let Some(transcriber) = self.transcribers.get_mut(id) {
            transcriber.own.end(started, now);
        }
    }

    /// A report came.
    pub fn report(&mut self, id: &str, load: &Load, now: Instant) {
        let transcriber = self.entry(id);
        let as_of = now.checked_sub(REPORT_LAG).unwrap_or(now);
        let busy = load.running.saturating_add(load.waiting);
        transcriber.observation = Some(Observation { as_of, received: now, busy });
        transcriber.reported = Some(now);
        transcriber.heard.note(now);
        transcriber.has_order = load.order_in_progress;
        transcriber.versions.clone_from(&load.models);
    }

    /// An answer told the load of that moment.
    pub fn answer(&mut self, id: &str, load: &Load, now: Instant) {
        let busy = load.running.saturating_add(load.waiting);
        self.entry(id).observation = Some(Observation { as_of: now, received: now, busy });
    }

    /// A transcriber of a service answered a probe without any load.
    pub fn tells_no_load(&mut self, service: &str, now: Instant) {
        self.silent_services.insert(service.to_owned(), now + SILENT_SERVICE);
    }

    /// Whether a probe of this service's transcribers would tell nothing.
    pub fn is_silent(&self, service: &str, now: Instant) -> bool {
        self.silent_services.get(service).is_some_and(|until| now < *until)
    }

    /// What was reported does not hold any more.
    pub fn forget_report(&mut self, id: &str) {
        let transcriber = self.entry(id);
        transcriber.observation = None;
        transcriber.reported = None;
    }

    /// A transcriber failed: it is not chosen for a while.
    pub fn avoid(&mut self, id: &str, until: Instant) {
        self.entry(id).avoid_until = Some(until);
    }

    /// Whether a transcriber may be chosen.
    pub fn is_avoided(&self, id: &str, now: Instant) -> bool {
        self.transcribers.get(id).and_then(|entry| entry.avoid_until).is_some_and(|until| now < until)
    }

    /// Whether another probe is not needed yet. Where versions matter, they must have been
    /// reported lately.
    pub fn is_fresh(&self, id: &str, versions_matter: bool, now: Instant) -> bool {
        let Some(transcriber) = self.transcribers.get(id) else { return false };
        let within = |time: Option<Instant>, most: Duration| time.is_some_and(|time| now < time + most);
        let versions_known = !versions_matter || within(transcriber.reported, VERSIONS_REUSE);
        let observed = transcriber.observation.map(|observation| observation.received);
        versions_known && within(observed, REPORT_REUSE)
    }

    /// When anything came from a transcriber last, shared with those who hear it.
    pub fn heard(&mut self, id: &str) -> Heard {
        self.entry(id).heard.clone()
    }

    /// Requests that a transcriber has by now, others' as last told and our own.
    pub fn busy(&self, id: &str) -> u32 {
        let Some(transcriber) = self.transcribers.get(id) else { return 0 };
        let own = transcriber.own.in_flight();
        let Some(observation) = transcriber.observation else { return own };
        let own_then = transcriber.own.in_flight_at(observation.as_of);
        observation.busy.saturating_sub(own_then).saturating_add(own)
    }

    /// Version of a model that a transcriber reported last.
    pub fn version(&self, id: &str, model: &str) -> Option<u64> {
        let versions = &self.transcribers.get(id)?.versions;
        versions.iter().find(|(name, _)| name == model).map(|(_, version)| *version)
    }

    /// Whether the last report told of an order under way.
    pub fn has_order(&self, id: &str) -> bool {
        self.transcribers.get(id).is_some_and(|transcriber| transcriber.has_order)
    }

    /// Forgets transcribers that are gone and have none of our requests.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.transcribers.retain(|id, entry| is_known(id) || !entry.own.started.is_empty());
        self.silent_services.retain(|_, until| Instant::now() < *until);
    }

    fn entry(&mut self, id: &str) -> &mut TranscriberLoad {
        self.transcribers.entry(id.to_owned()).or_default()
    }
}
