//! The planner: handles events and returns the actions that the caller must carry out.

use crate::message::{LoadMode, LoadOrder, OrderOutcome, PlanOutput, TranscriberReport};
use crate::named_versions::NamedVersions;
use crate::pending_order::PendingOrder;
use crate::placement::{Placement, PlacementState};
use crate::transcriber::Transcriber;
use crate::version_lag::VersionLags;
use pebblepost_messages::feed::{Instance, InstanceState};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after which a newly announced transcriber counts towards the limit on concurrent loads. It may replace an
/// instance that has crashed and is still registered; counting both would raise the limit.
const NEW_TRANSCRIBER_GRACE: Duration = Duration::from_secs(3);

/// Largest fleet, in transcribers, in which every event is followed by a decision at once.
const MAX_TRANSCRIBERS_FOR_IMMEDIATE_DECISIONS: usize = 64;
/// Minimum interval between two decisions in a larger fleet, for each transcriber above that number. One decision
/// handles all events of the interval. This bounds the load: a decision scans all transcribers, and each of the
/// hundreds that may be loading causes several events per second.
const DECISION_DELAY_PER_TRANSCRIBER: Duration = Duration::from_micros(20);
/// Upper bound on the orders of one decision, because placing each order scans all transcribers.
const MAX_ORDERS_PER_DECISION: usize = 32;

/// Number of pending orders up to which the polls of a transcriber are not slowed down.
const MAX_ORDERS_POLLED_UNTHROTTLED: usize = 64;
/// With more pending orders, two polls of a transcriber are at least this far apart for each order above that number.
/// This bounds the number of polls per second over all transcribers.
const POLL_PERIOD_PER_EXCESS_ORDER: Duration = Duration::from_millis(2);

/// The roll-out planner of one lease holder.
///
/// It brings the transcribers that have loaded a model to the newest named version of that model:
///
/// * A transcriber has at most one order pending, and at most a third of a service's transcribers (rounded up) load
///   concurrently.
/// * No order is sent for a version that is not the newest named one.
/// * Where the batch jobs of a model allow a version lag, transcribers may skip versions as long as their loaded
///   version still serves those jobs.
/// * Where more than two models share the transcribers of a service, only some of them serve each model.
/// * After an order without a definite answer, the planner polls reports before it sends another order.
#[derive(Debug, Default)]
pub struct Planner {
    /// Time before which no order is sent.
    not_before: Duration,
    /// Time at which the first transcriber was announced.
    first_announced_at: Option<Duration>,
    versions: NamedVersions,
    lags: VersionLags,
    transcribers: BTreeMap<String, Transcriber>,
    /// Time of the last decision.
    decided_at: Option<Duration>,
    outputs: Vec<PlanOutput>,
}

impl Planner {
    /// Creates a planner that sends no order before `not_before`.
    ///
    /// The caller must choose it so that any order of a former lease holder is at least `lease_ms` old by then.
    pub fn new(not_before: Duration) -> Planner {
        Planner { not_before, ..Planner::default() }
    }

    /// Records a version of a model that the configuration names. A version older than the newest one is ignored.
    ///
    /// `single_version` says whether each text must be generated under a single version.
    pub fn set_named_version(&mut self, now: Duration, model: &str, generation: u64, single_version: bool) {
        if self.versions.insert(now, model, generation, single_version) {
            self.tick(now);
        }
    }

    /// Records that a batch job was accepted that allows its model to lag by this many versions behind the newest
    /// named one.
    pub fn observe_version_lag(&mut self, now: Duration, model: &str, lag: u64) {
        self.lags.observe(model, lag);
        self.decide_unless_recent(now);
    }

    /// Handles the announcement, the change or the termination of a transcriber.
    pub fn handle_instance_update(&mut self, now: Duration, instance: &Instance) {
        if instance.state == InstanceState::Terminated {
            self.transcribers.remove(&instance.id);
        } else if let Some(transcriber) = self.transcribers.get_mut(&instance.id) {
            transcriber.apply_announcement(instance);
        } else {
            let mut transcriber = Transcriber::new(self.counts_from(now));
            transcriber.apply_announcement(instance);
            self.transcribers.insert(instance.id.clone(), transcriber);
        }
        self.decide_unless_recent(now);
    }

    /// Sets the number of running requests of a transcriber, if the caller knows it from another source than reports.
    ///
    /// Of transcribers that rank equally by lag and zone, the one with the fewest running requests loads first.
    pub fn set_running_requests(&mut self, instance: &str, running: u32) {
        if let Some(transcriber) = self.transcribers.get_mut(instance) {
            transcriber.running_requests = running;
        }
    }

    /// Handles the outcome of an order, including [`OrderOutcome::Unknown`] for a call that failed.
    pub fn handle_order_outcome(&mut self, now: Duration, order: &LoadOrder, outcome: OrderOutcome) {
        if let Some(transcriber) = self.transcribers.get_mut(&order.instance)
            && transcriber.apply_order_outcome(now, order, outcome)
        {
            self.outputs.push(version_loaded(&order.instance, order.model.clone(), order.generation));
        }
        self.decide_unless_recent(now);
    }

    /// Handles a report that was fetched; `None` means that the call failed.
    pub fn handle_report(&mut self, now: Duration, instance: &str, report: Option<TranscriberReport>) {
        if let Some(transcriber) = self.transcribers.get_mut(instance) {
            let newly_loaded = transcriber.apply_report(now, report).into_iter();
            let outputs = newly_loaded.map(|(model, generation)| version_loaded(instance, model, generation));
            self.outputs.extend(outputs);
        }
        self.decide_unless_recent(now);
    }

    /// Requests the reports and sends the orders that are due.
    ///
    /// To be called about every 50 ms, or at the time that [`Planner::next_wake`] returns.
    pub fn tick(&mut self, now: Duration) {
        self.decided_at = Some(now);
        self.poll_reports(now);
        self.send_orders(now);
    }

    /// Returns the time at which [`Planner::tick`] has something to do, provided that no event comes before.
    ///
    /// `None` if no order is pending or waiting for a start time.
    pub fn next_wake(&self, now: Duration) -> Option<Duration> {
        self.transcribers.values().filter_map(|transcriber| self.transcriber_wake(now, transcriber)).min()
    }

    /// Takes the actions that the caller must carry out, in this order.
    pub fn take_outputs(&mut self) -> Vec<PlanOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// Decides what follows from an event, unless the fleet is large and the last decision is too recent. In that
    /// case the next event or [`Planner::tick`] decides.
    fn decide_unless_recent(&mut self, now: Duration) {
        let excess = self.transcribers.len().saturating_sub(MAX_TRANSCRIBERS_FOR_IMMEDIATE_DECISIONS);
        let delay = DECISION_DELAY_PER_TRANSCRIBER.saturating_mul(u32::try_from(excess).unwrap_or(u32::MAX));
        if self.decided_at.is_none_or(|decided_at| now >= decided_at + delay) {
            self.tick(now);
        }
    }

    /// Returns the time from which a transcriber that is announced now counts towards the limit on concurrent loads.
    ///
    /// One that is announced soon after the first is assumed to be older than the planner, and counts at once.
    fn counts_from(&mut self, now: Duration) -> Duration {
        let first_announced_at = *self.first_announced_at.get_or_insert(now);
        if now < first_announced_at + NEW_TRANSCRIBER_GRACE { now } else { now + NEW_TRANSCRIBER_GRACE }
    }

    fn transcriber_wake(&self, now: Duration, transcriber: &Transcriber) -> Option<Duration> {
        if let Some(pending) = &transcriber.pending_order {
            return Some(pending.next_wake(now));
        }
        let mut models = transcriber.loaded.iter();
        let is_behind = models.any(|(model, loaded)| self.versions.newer_than(model, *loaded).is_some());
        let starts_at = transcriber.not_before.max(self.not_before);
        (transcriber.is_ready && is_behind && starts_at > now).then_some(starts_at)
    }

    /// Returns the minimum time between two polls of a transcriber. It grows with the number of pending orders.
    fn min_poll_period(&self) -> Duration {
        let pending = self.transcribers.values().filter(|transcriber| transcriber.pending_order.is_some());
        let excess = pending.count().saturating_sub(MAX_ORDERS_POLLED_UNTHROTTLED);
        POLL_PERIOD_PER_EXCESS_ORDER.saturating_mul(u32::try_from(excess).unwrap_or(u32::MAX))
    }

    /// Requests the reports that are due.
    fn poll_reports(&mut self, now: Duration) {
        let min_period = self.min_poll_period();
        for (instance, transcriber) in &mut self.transcribers {
            let Some(pending) = &mut transcriber.pending_order else { continue };
            if pending.start_poll(now, min_period) {
                let address = transcriber.address.clone();
                self.outputs.push(PlanOutput::FetchLoadReport { instance: instance.clone(), address });
            }
        }
    }

    /// Sends orders while there are free slots, up to the limit of one decision.
    fn send_orders(&mut self, now: Duration) {
        if now < self.not_before {
            return;
        }
        for _ in 0..MAX_ORDERS_PER_DECISION {
            let Some(placement) = self.next_placement(now) else { return };
            self.send_order(now, &placement);
        }
    }

    fn next_placement(&self, now: Duration) -> Option<Placement> {
        let (versions, lags, transcribers) = (&self.versions, &self.lags, &self.transcribers);
        PlacementState { now, versions, lags, transcribers }.next_placement()
    }

    fn send_order(&mut self, now: Duration, placement: &Placement) {
        let Some(newest) = self.versions.get(&placement.model) else { return };
        let Some(transcriber) = self.transcribers.get_mut(&placement.instance) else { return };
        transcriber.pending_order = Some(PendingOrder::new(now, &placement.model, newest.generation));
        self.outputs.push(PlanOutput::SendOrder(LoadOrder {
            instance: placement.instance.clone(),
            address: transcriber.address.clone(),
            model: placement.model.clone(),
            generation: newest.generation,
            mode: if newest.single_version { LoadMode::Wait } else { LoadMode::Retain },
        }));
    }
}

fn version_loaded(instance: &str, model: String, generation: u64) -> PlanOutput {
    PlanOutput::VersionLoaded { instance: instance.to_owned(), model, generation }
}
