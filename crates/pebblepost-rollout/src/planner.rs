//! The planner: takes in what happens, and puts out what the caller must do.

use crate::message::{LoadMode, LoadOrder, OrderOutcome, PlanOutput, TranscriberReport};
use crate::named_versions::NamedVersions;
use crate::pending_order::PendingOrder;
use crate::placement::{Placement, PlacementState};
use crate::transcriber::Transcriber;
use crate::version_lag::VersionLags;
use pebblepost_messages::feed::{Instance, InstanceState};
use std::collections::BTreeMap;
use std::time::Duration;

/// A new transcriber counts towards the limit on concurrent loads after this time: the incarnation that it
/// replaces may have crashed, and still be known.
const COUNTED_AFTER: Duration = Duration::from_secs(3);

/// Up to so many transcribers everything is decided anew after each event.
const SMALL_FLEET: usize = 64;
/// With more of them, events are handled together that arrive within this time for each further one: a decision looks at
/// all transcribers, and each of hundreds that load is heard several times a second.
const DECISION_DELAY_PER_TRANSCRIBER: Duration = Duration::from_micros(20);
/// Most orders decided at a time, for the same reason.
const MAX_ORDERS_PER_DECISION: usize = 32;

/// Up to so many transcribers that load are polled as often as each wants.
const FREELY_POLLED: usize = 64;
/// With more of them, time between two polls of one of them for each further one, which bounds the polls a second.
const POLL_PERIOD_PER_TRANSCRIBER: Duration = Duration::from_millis(2);

/// The planner of one lease holder.
///
/// It brings the transcribers that have loaded a model to its newest named version: one order at a time
/// for each transcriber, a third of a service's transcribers at a time, and never a version that is no
/// longer the newest. Where the batch jobs of a model allow a version lag, as many transcribers skip a
/// version as still serve those jobs; where more than two models share the transcribers, each is served by
/// a part of them. An order without a clear answer is looked into by reports before another one is sent.
#[derive(Debug, Default)]
pub struct Planner {
    not_before: Duration,
    /// When the first transcriber was announced.
    first_announced_at: Option<Duration>,
    versions: NamedVersions,
    lags: VersionLags,
    transcribers: BTreeMap<String, Transcriber>,
    /// When it was last decided what is due.
    decided_at: Option<Duration>,
    outputs: Vec<PlanOutput>,
}

impl Planner {
    /// A planner that may send its first order at `not_before`: orders of a former lease holder must be
    /// `lease_ms` old by then.
    pub fn new(not_before: Duration) -> Planner {
        Planner { not_before, ..Planner::default() }
    }

    /// The configuration names a version of a model, and says whether a text must be made under a single
    /// version. Older versions than the newest are ignored.
    pub fn set_named_version(&mut self, now: Duration, model: &str, generation: u64, single_version: bool) {
        if self.versions.insert(now, model, generation, single_version) {
            self.tick(now);
        }
    }

    /// A batch job of a model was accepted that allows this many versions behind the newest named one.
    pub fn observe_version_lag(&mut self, now: Duration, model: &str, lag: u64) {
        self.lags.observe(model, lag);
        self.decide_soon(now);
    }

    /// A transcriber was announced, has changed or has ended.
    pub fn handle_instance_update(&mut self, now: Duration, instance: &Instance) {
        if instance.state == InstanceState::Terminated {
            self.transcribers.remove(&instance.id);
        } else if let Some(transcriber) = self.transcribers.get_mut(&instance.id) {
            transcriber.announced(instance);
        } else {
            let mut transcriber = Transcriber::new(self.counted_from(now));
            transcriber.announced(instance);
            self.transcribers.insert(instance.id.clone(), transcriber);
        }
        self.decide_soon(now);
    }

    /// Number of running requests of a transcriber, where the caller learns it by other means than
    /// reports. Of transcribers that lag equally, the one with the fewest is ordered first.
    pub fn set_running_requests(&mut self, instance: &str, running: u32) {
        if let Some(transcriber) = self.transcribers.get_mut(instance) {
            transcriber.running_requests = running;
        }
    }

    /// An order was answered, or its call has failed.
    pub fn handle_order_outcome(&mut self, now: Duration, order: &LoadOrder, answer: OrderOutcome) {
        if let Some(transcriber) = self.transcribers.get_mut(&order.instance)
            && transcriber.order_answered(now, order, answer)
        {
            self.outputs.push(loaded(&order.instance, order.model.clone(), order.generation));
        }
        self.decide_soon(now);
    }

    /// A report was fetched; `None` if the call has failed.
    pub fn handle_report(&mut self, now: Duration, instance: &str, report: Option<TranscriberReport>) {
        if let Some(transcriber) = self.transcribers.get_mut(instance) {
            let newly_loaded = transcriber.reported(now, report).into_iter();
            let outputs = newly_loaded.map(|(model, generation)| loaded(instance, model, generation));
            self.outputs.extend(outputs);
        }
        self.decide_soon(now);
    }

    /// Time has passed; to be called every 50 ms or so, or when [`Planner::next_wake`] says.
    pub fn tick(&mut self, now: Duration) {
        self.decided_at = Some(now);
        self.poll_reports(now);
        self.send_orders(now);
    }

    /// When [`Planner::tick`] next has something to do, if nothing else happens before; `None` if nothing
    /// is left to do.
    pub fn next_wake(&self, now: Duration) -> Option<Duration> {
        self.transcribers.values().filter_map(|transcriber| self.wake_of(now, transcriber)).min()
    }

    /// Takes what the caller must do, in order.
    pub fn take_outputs(&mut self) -> Vec<PlanOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// Decides what follows from an event, together with others where the fleet is large; the next [`Planner::tick`]
    /// decides the rest.
    fn decide_soon(&mut self, now: Duration) {
        let further = u32::try_from(self.transcribers.len().saturating_sub(SMALL_FLEET)).unwrap_or(u32::MAX);
        let delay = DECISION_DELAY_PER_TRANSCRIBER.saturating_mul(further);
        if self.decided_at.is_none_or(|decided_at| now >= decided_at + delay) {
            self.tick(now);
        }
    }

    /// From when on a transcriber that is announced now counts towards the limit on concurrent loads:
    /// at once if it was there when the planner started.
    fn counted_from(&mut self, now: Duration) -> Duration {
        let first_announced_at = *self.first_announced_at.get_or_insert(now);
        if now < first_announced_at + COUNTED_AFTER { now } else { now + COUNTED_AFTER }
    }

    fn wake_of(&self, now: Duration, transcriber: &Transcriber) -> Option<Duration> {
        if let Some(pending) = &transcriber.pending_order {
            return Some(pending.next_wake(now));
        }
        let mut models = transcriber.loaded.iter();
        let is_behind = models.any(|(model, loaded)| self.versions.newer_than(model, *loaded).is_some());
        let starts_at = transcriber.not_before.max(self.not_before);
        (transcriber.is_ready && is_behind && starts_at > now).then_some(starts_at)
    }

    /// Shortest time between two polls of a transcriber: the more of them load, the longer.
    fn min_poll_period(&self) -> Duration {
        let pending = self.transcribers.values().filter(|transcriber| transcriber.pending_order.is_some());
        let further = pending.count().saturating_sub(FREELY_POLLED);
        POLL_PERIOD_PER_TRANSCRIBER.saturating_mul(u32::try_from(further).unwrap_or(u32::MAX))
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

    /// Sends the orders for which there are free slots.
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

fn loaded(instance: &str, model: String, generation: u64) -> PlanOutput {
    PlanOutput::VersionLoaded { instance: instance.to_owned(), model, generation }
}
