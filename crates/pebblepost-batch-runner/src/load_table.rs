//! The known load of each transcriber: its reports, which lag, and this proxy's own requests, which are
//! known at once.
//!
//! Owns reports, own requests in flight, ejections and when each transcriber was last heard from. Sends nothing and reads
//! no clock: the time is an argument.

use pebblepost_transcriber::Load;
use std::cell::Cell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How old the state is that a report shows.
pub const REPORT_LAG: Duration = Duration::from_millis(300);
/// How long a report is used instead of another probe.
pub const REPORT_REUSE: Duration = Duration::from_millis(200);
/// How long the versions of a report are used while answers carry the load.
pub const VERSIONS_REUSE: Duration = Duration::from_millis(1000);
/// How long a service whose transcribers report no load is not probed again.
pub const UNREPORTED_SERVICE_REUSE: Duration = Duration::from_secs(30);

/// When a transcriber was last heard from; clones share the time.
#[derive(Clone, Debug, Default)]
pub struct LastHeard(Rc<Cell<Option<Instant>>>);

impl LastHeard {
    /// Records that bytes came from the transcriber.
    pub fn record(&self, now: Instant) {
        self.0.set(Some(now));
    }

    /// Whether the transcriber was heard from within this time.
    pub fn is_within(&self, time: Duration, now: Instant) -> bool {
        self.0.get().is_some_and(|heard| now < heard + time)
    }
}

/// An own request that has ended.
#[derive(Clone, Copy, Debug)]
struct EndedRequest {
    started: Instant,
    ended: Instant,
}

/// This proxy's requests at one transcriber.
#[derive(Debug, Default)]
struct OwnRequests {
    /// Start times of those in flight.
    in_flight: Vec<Instant>,
    /// Those that ended recently enough for a report to count them still.
    ended: VecDeque<EndedRequest>,
}

impl OwnRequests {
    fn in_flight_count(&self) -> u32 {
        u32::try_from(self.in_flight.len()).unwrap_or(u32::MAX)
    }

    /// How many were in flight at an earlier time.
    fn in_flight_count_at(&self, time: Instant) -> u32 {
        let still_in_flight = self.in_flight.iter().filter(|started| **started <= time).count();
        let since_ended =
            self.ended.iter().filter(|request| request.started <= time && time < request.ended).count();
        u32::try_from(still_in_flight + since_ended).unwrap_or(u32::MAX)
    }

    fn end(&mut self, started: Instant, now: Instant) {
        if let Some(index) = self.in_flight.iter().position(|start| *start == started) {
            self.in_flight.swap_remove(index);
        }
        self.ended.push_back(EndedRequest { started, ended: now });
        while self.ended.front().is_some_and(|request| request.ended + 2 * REPORT_LAG < now) {
            self.ended.pop_front();
        }
    }
}

/// A load that the transcriber stated, in a report or beside an answer.
#[derive(Clone, Copy, Debug)]
struct Observation {
    /// Time of the state that it shows.
    as_of: Instant,
    received: Instant,
    busy: u32,
}

#[derive(Debug, Default)]
struct TranscriberLoad {
    own: OwnRequests,
    observation: Option<Observation>,
    reported_at: Option<Instant>,
    is_executing_order: bool,
    versions: Vec<(String, u64)>,
    ejected_until: Option<Instant>,
    last_heard: LastHeard,
}

/// Load of all transcribers, by instance id.
#[derive(Debug, Default)]
pub struct LoadTable {
    transcribers: HashMap<String, TranscriberLoad>,
    /// Services whose transcribers report no load, and until when they are not probed.
    unreported_services: HashMap<String, Instant>,
}

impl LoadTable {
    /// Counts an own request that goes to a transcriber.
    pub fn start_request(&mut self, id: &str, now: Instant) {
        self.entry(id).own.in_flight.push(now);
    }

    /// Counts the end of the own request that started at this time.
    pub fn end_request(&mut self, id: &str, started: Instant, now: Instant) {
        if let Some(transcriber) = self.transcribers.get_mut(id) {
            transcriber.own.end(started, now);
        }
    }

    /// Records the answer to a probe.
    pub fn record_report(&mut self, id: &str, load: &Load, now: Instant) {
        let transcriber = self.entry(id);
        let as_of = now.checked_sub(REPORT_LAG).unwrap_or(now);
        transcriber.observation = Some(Observation { as_of, received: now, busy: busy(load) });
        transcriber.reported_at = Some(now);
        transcriber.last_heard.record(now);
        transcriber.is_executing_order = load.order_in_progress;
        transcriber.versions.clone_from(&load.models);
    }

    /// Records the load beside an answer, which is that of the moment.
    pub fn record_answer(&mut self, id: &str, load: &Load, now: Instant) {
        self.entry(id).observation = Some(Observation { as_of: now, received: now, busy: busy(load) });
    }

    /// Records that a transcriber of a service answered a probe without a load.
    pub fn record_unreported_service(&mut self, service: &str, now: Instant) {
        self.unreported_services.insert(service.to_owned(), now + UNREPORTED_SERVICE_REUSE);
    }

    /// Whether a probe of this service's transcribers would bring no load.
    pub fn is_unreported_service(&self, service: &str, now: Instant) -> bool {
        self.unreported_services.get(service).is_some_and(|until| now < *until)
    }

    /// Drops the last observation, which has turned out stale.
    pub fn invalidate_report(&mut self, id: &str) {
        let transcriber = self.entry(id);
        transcriber.observation = None;
        transcriber.reported_at = None;
    }

    /// Ejects a transcriber that failed: it is no candidate until then.
    pub fn eject(&mut self, id: &str, until: Instant) {
        self.entry(id).ejected_until = Some(until);
    }

    /// Whether a transcriber is ejected.
    pub fn is_ejected(&self, id: &str, now: Instant) -> bool {
        self.transcribers.get(id).and_then(|entry| entry.ejected_until).is_some_and(|until| now < until)
    }

    /// Whether the known load can be used without another probe. Where the versions matter, they must
    /// have been reported within [`VERSIONS_REUSE`], too.
    pub fn is_fresh(&self, id: &str, versions_matter: bool, now: Instant) -> bool {
        let Some(transcriber) = self.transcribers.get(id) else { return false };
        let is_within = |time: Option<Instant>, limit: Duration| time.is_some_and(|time| now < time + limit);
        let versions_are_fresh = !versions_matter || is_within(transcriber.reported_at, VERSIONS_REUSE);
        let observed_at = transcriber.observation.map(|observation| observation.received);
        versions_are_fresh && is_within(observed_at, REPORT_REUSE)
    }

    /// When a transcriber was last heard from, shared with those who read from it.
    pub fn last_heard(&mut self, id: &str) -> LastHeard {
        self.entry(id).last_heard.clone()
    }

    /// Requests that a transcriber has, running and waiting: those of others as last observed, and our
    /// own as they are now.
    pub fn busy(&self, id: &str) -> u32 {
        let Some(transcriber) = self.transcribers.get(id) else { return 0 };
        let own = transcriber.own.in_flight_count();
        let Some(observation) = transcriber.observation else { return own };
        let own_when_observed = transcriber.own.in_flight_count_at(observation.as_of);
        observation.busy.saturating_sub(own_when_observed).saturating_add(own)
    }

    /// Version of a model that a transcriber reported last.
    pub fn version(&self, id: &str, model: &str) -> Option<u64> {
        let versions = &self.transcribers.get(id)?.versions;
        versions.iter().find(|(name, _)| name == model).map(|(_, version)| *version)
    }

    /// Whether a transcriber executed an order (a change of its weights) at its last report.
    pub fn is_executing_order(&self, id: &str) -> bool {
        self.transcribers.get(id).is_some_and(|transcriber| transcriber.is_executing_order)
    }

    /// Removes transcribers that are gone and have none of our requests in flight, and what is outdated about services.
    pub fn retain(&mut self, is_present: impl Fn(&str) -> bool, now: Instant) {
        self.transcribers.retain(|id, entry| is_present(id) || !entry.own.in_flight.is_empty());
        self.unreported_services.retain(|_, until| now < *until);
    }

    fn entry(&mut self, id: &str) -> &mut TranscriberLoad {
        self.transcribers.entry(id.to_owned()).or_default()
    }
}

fn busy(load: &Load) -> u32 {
    load.running.saturating_add(load.waiting)
}
