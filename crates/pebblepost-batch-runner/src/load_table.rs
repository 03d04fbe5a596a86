//! Known load of each transcriber, computed from its reports, which lag behind, and from this proxy's own requests,
//! which are known immediately.
//!
//! The table stores the reports, the own requests in flight, ejections, and when each transcriber last sent bytes.
//! It performs no I/O and does not read the clock: the current time is an argument.

use pebblepost_transcriber::Load;
use std::cell::Cell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Age of the state that a report shows when it arrives.
pub const REPORT_LAG: Duration = Duration::from_millis(300);
/// Age at which an observed load is no longer used and the transcriber is probed again.
pub const REPORT_MAX_AGE: Duration = Duration::from_millis(200);
/// Age at which the versions in a report are no longer used, even while the load is known from responses to
/// requests.
pub const VERSIONS_MAX_AGE: Duration = Duration::from_millis(1000);
/// Time for which a service whose transcribers report no load is not probed again.
pub const SERVICE_WITHOUT_REPORTS_TTL: Duration = Duration::from_secs(30);

/// Time at which a transcriber last sent bytes. Clones share the time.
#[derive(Clone, Debug, Default)]
pub struct LastActivity(Rc<Cell<Option<Instant>>>);

impl LastActivity {
    /// Records that the transcriber sent bytes.
    pub fn record(&self, now: Instant) {
        self.0.set(Some(now));
    }

    /// Returns whether the transcriber sent bytes within the last `time`.
    pub fn is_within(&self, time: Duration, now: Instant) -> bool {
        self.0.get().is_some_and(|last| now < last + time)
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
    /// Start times of the requests in flight.
    in_flight: Vec<Instant>,
    /// Requests that ended recently enough for a lagging report to still count them.
    ended: VecDeque<EndedRequest>,
}

impl OwnRequests {
    fn in_flight_count(&self) -> u32 {
        u32::try_from(self.in_flight.len()).unwrap_or(u32::MAX)
    }

    /// Returns how many requests were in flight at an earlier time.
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

/// A load that the transcriber stated in a report or in a response.
#[derive(Clone, Copy, Debug)]
struct Observation {
    /// Time of the state that the observation shows.
    as_of: Instant,
    received: Instant,
    outstanding: u32,
}

#[derive(Debug, Default)]
struct TranscriberLoad {
    own: OwnRequests,
    observation: Option<Observation>,
    reported_at: Option<Instant>,
    is_executing_load_order: bool,
    versions: Vec<(String, u64)>,
    ejected_until: Option<Instant>,
    last_activity: LastActivity,
}

/// Load of all transcribers, keyed by instance id.
#[derive(Debug, Default)]
pub struct LoadTable {
    transcribers: HashMap<String, TranscriberLoad>,
    /// Services whose transcribers report no load, with the time until which they are not probed.
    services_without_reports: HashMap<String, Instant>,
}

impl LoadTable {
    /// Records the start of an own request at a transcriber.
    pub fn start_request(&mut self, id: &str, now: Instant) {
        self.entry(id).own.in_flight.push(now);
    }

    /// Records the end of the own request that started at `started`.
    pub fn end_request(&mut self, id: &str, started: Instant, now: Instant) {
        if let Some(transcriber) = self.transcribers.get_mut(id) {
            transcriber.own.end(started, now);
        }
    }

    /// Records the load report that answers a probe.
    pub fn record_report(&mut self, id: &str, load: &Load, now: Instant) {
        let transcriber = self.entry(id);
        let as_of = now.checked_sub(REPORT_LAG).unwrap_or(now);
        transcriber.observation =
            Some(Observation { as_of, received: now, outstanding: outstanding_requests(load) });
        transcriber.reported_at = Some(now);
        transcriber.last_activity.record(now);
        transcriber.is_executing_load_order = load.load_order_in_progress;
        transcriber.versions.clone_from(&load.models);
    }

    /// Records the load stated in a response, which shows the current state and does not lag.
    pub fn record_answer(&mut self, id: &str, load: &Load, now: Instant) {
        self.entry(id).observation =
            Some(Observation { as_of: now, received: now, outstanding: outstanding_requests(load) });
    }

    /// Records that a transcriber of a service answered a probe without stating a load.
    pub fn record_service_without_reports(&mut self, service: &str, now: Instant) {
        self.services_without_reports.insert(service.to_owned(), now + SERVICE_WITHOUT_REPORTS_TTL);
    }

    /// Returns whether a probe of this service's transcribers is expected to return no load.
    pub fn is_service_without_reports(&self, service: &str, now: Instant) -> bool {
        self.services_without_reports.get(service).is_some_and(|until| now < *until)
    }

    /// Discards the last observation, which has proved stale.
    pub fn invalidate_report(&mut self, id: &str) {
        let transcriber = self.entry(id);
        transcriber.observation = None;
        transcriber.reported_at = None;
    }

    /// Ejects a failed transcriber: it is not a candidate until `until`.
    pub fn eject(&mut self, id: &str, until: Instant) {
        self.entry(id).ejected_until = Some(until);
    }

    /// Returns whether a transcriber is ejected at `now`.
    pub fn is_ejected(&self, id: &str, now: Instant) -> bool {
        self.transcribers.get(id).and_then(|entry| entry.ejected_until).is_some_and(|until| now < until)
    }

    /// Returns whether the known load can be used without another probe.
    ///
    /// If the versions matter, they must also have been reported within [`VERSIONS_MAX_AGE`].
    pub fn is_fresh(&self, id: &str, versions_matter: bool, now: Instant) -> bool {
        let Some(transcriber) = self.transcribers.get(id) else { return false };
        let is_within = |time: Option<Instant>, limit: Duration| time.is_some_and(|time| now < time + limit);
        let versions_are_fresh = !versions_matter || is_within(transcriber.reported_at, VERSIONS_MAX_AGE);
        let observed_at = transcriber.observation.map(|observation| observation.received);
        versions_are_fresh && is_within(observed_at, REPORT_MAX_AGE)
    }

    /// Returns the time at which a transcriber last sent bytes. The result shares its state with the table.
    pub fn last_activity(&mut self, id: &str) -> LastActivity {
        self.entry(id).last_activity.clone()
    }

    /// Returns the requests at a transcriber, both running and queued: the last observed requests of other clients
    /// plus the current own ones.
    pub fn outstanding_requests(&self, id: &str) -> u32 {
        let Some(transcriber) = self.transcribers.get(id) else { return 0 };
        let own = transcriber.own.in_flight_count();
        let Some(observation) = transcriber.observation else { return own };
        let own_when_observed = transcriber.own.in_flight_count_at(observation.as_of);
        observation.outstanding.saturating_sub(own_when_observed).saturating_add(own)
    }

    /// Returns the version of a model that the transcriber last reported.
    pub fn version(&self, id: &str, model: &str) -> Option<u64> {
        let versions = &self.transcribers.get(id)?.versions;
        versions.iter().find(|(name, _)| name == model).map(|(_, version)| *version)
    }

    /// Returns whether the transcriber was executing a load order (a change of its weights) at its last report.
    pub fn is_executing_load_order(&self, id: &str) -> bool {
        self.transcribers.get(id).is_some_and(|transcriber| transcriber.is_executing_load_order)
    }

    /// Removes transcribers that are no longer present and have no own requests in flight, and expired entries of
    /// services.
    pub fn retain(&mut self, is_present: impl Fn(&str) -> bool, now: Instant) {
        self.transcribers.retain(|id, entry| is_present(id) || !entry.own.in_flight.is_empty());
        self.services_without_reports.retain(|_, until| now < *until);
    }

    fn entry(&mut self, id: &str) -> &mut TranscriberLoad {
        self.transcribers.entry(id.to_owned()).or_default()
    }
}

fn outstanding_requests(load: &Load) -> u32 {
    load.running.saturating_add(load.waiting)
}
