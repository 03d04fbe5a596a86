//! Service registry of transcribers: which incarnations exist, and in which state.
//!
//! Soft state, never stored: the primary maintains it from heartbeats, standbys replicate it from the primary's feed.
//! A terminated incarnation never becomes live again.

use crate::state::shutdowns::ShutdownPhase;
use pebblepost_messages::feed::{Instance, InstanceState};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::time::Duration;

/// Terminated incarnations that are remembered.
const MAX_TERMINATED: usize = 4096;
/// The incarnations terminated last that a new primary publishes.
const MAX_RECENTLY_TERMINATED: usize = 64;
/// Heartbeats that an incarnation may miss before it counts as terminated. That is final, so the limit has to outlast
/// temporary network partitions.
const MISSED_HEARTBEATS_LIMIT: u32 = 12;
/// Lower bound of the time without heartbeats after which an incarnation counts as terminated.
const MIN_TIME_TO_LIVE: Duration = Duration::from_secs(15);

/// What an operation on the registry changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RegistryChange {
    /// The incarnations that changed, as they are now.
    pub instances: Vec<Instance>,
    /// Whether one of them has begun to drain or has terminated: proxies have to know at once.
    pub has_shutdown: bool,
}

#[derive(Clone, Debug)]
struct Registration {
    instance: Instance,
    last_heartbeat: Duration,
}

/// The registry.
#[derive(Clone, Debug)]
pub struct Registry {
    heartbeat_interval: Duration,
    live: BTreeMap<String, Registration>,
    /// Identities of live incarnations by address.
    by_address: HashMap<String, String>,
    terminated: BTreeMap<String, Instance>,
    /// Identities of terminated incarnations, oldest first.
    terminated_order: VecDeque<String>,
    /// No incarnation expires before this time.
    grace_period_end: Duration,
}

impl Registry {
    /// An empty registry for transcribers that send a heartbeat each `heartbeat_interval`.
    pub fn new(heartbeat_interval: Duration) -> Registry {
        Registry {
            heartbeat_interval,
            live: BTreeMap::new(),
            by_address: HashMap::new(),
            terminated: BTreeMap::new(),
            terminated_order: VecDeque::new(),
            grace_period_end: Duration::ZERO,
        }
    }

    /// Resets the time of each incarnation's last heartbeat: this process only begins to receive them.
    pub fn start_grace_period(&mut self, now: Duration) {
        for registration in self.live.values_mut() {
            registration.last_heartbeat = now;
        }
        self.grace_period_end = now + self.time_to_live();
    }

    /// End of the grace period: an incarnation without a heartbeat until then has terminated.
    pub fn grace_period_end(&self) -> Duration {
        self.grace_period_end
    }

    /// The incarnations terminated last, newest first.
    pub fn recently_terminated(&self) -> impl Iterator<Item = &Instance> {
        let newest = self.terminated_order.iter().rev().take(MAX_RECENTLY_TERMINATED);
        newest.filter_map(|id| self.terminated.get(id))
    }

    /// Incarnations that have not terminated.
    pub fn live(&self) -> impl Iterator<Item = &Instance> {
        self.live.values().map(|registration| &registration.instance)
    }

    /// An incarnation, live or terminated.
    pub fn instance(&self, id: &str) -> Option<&Instance> {
        self.live.get(id).map(|registration| &registration.instance).or_else(|| self.terminated.get(id))
    }

    /// Processes a registration or heartbeat. One that is not newer than the last only counts as a sign of life.
    pub fn register(&mut self, now: Duration, instance: Instance) -> RegistryChange {
        if self.terminated.contains_key(&instance.id) {
            return RegistryChange::default();
        }
        if let Some(registration) = self.live.get_mut(&instance.id) {
            registration.last_heartbeat = now;
            if instance.sequence <= registration.instance.sequence {
                return RegistryChange::default();
            }
        }
        self.upsert(now, instance)
    }

    /// Terminates an incarnation. An unknown one is recorded too: its registration may arrive later.
    pub fn deregister(&mut self, id: &str) -> RegistryChange {
        if self.terminated.contains_key(id) {
            return RegistryChange::default();
        }
        let known = self.live.get(id).map(|registration| registration.instance.clone());
        let instance = known.unwrap_or_else(|| Instance { id: id.into(), ..Instance::default() });
        RegistryChange { instances: vec![self.terminate(instance)], has_shutdown: true }
    }

    /// Applies a graceful shutdown from the replicated state.
    pub fn apply_shutdown(&mut self, id: &str, phase: ShutdownPhase) {
        match phase {
            ShutdownPhase::Terminated => {
                self.deregister(id);
            }
            ShutdownPhase::Draining => {
                if let Some(registration) = self.live.get_mut(id) {
                    registration.instance.state = InstanceState::Draining;
                }
            }
        }
    }

    /// Records that a transcriber is known to have loaded a version of a model.
    pub fn version_loaded(&mut self, id: &str, model: &str, generation: u64) -> RegistryChange {
        let Some(registration) = self.live.get_mut(id) else { return RegistryChange::default() };
        let models = &mut registration.instance.models;
        let Some(loaded) = models.iter_mut().find(|loaded| loaded.model == model) else {
            return RegistryChange::default();
        };
        if loaded.generation >= generation {
            return RegistryChange::default();
        }
        loaded.generation = generation;
        RegistryChange { instances: vec![registration.instance.clone()], has_shutdown: false }
    }

    /// Terminates the incarnations whose time to live has passed without a heartbeat.
    pub fn expire(&mut self, now: Duration) -> RegistryChange {
        if now < self.grace_period_end {
            return RegistryChange::default();
        }
        let time_to_live = self.time_to_live();
        let expired =
            |registration: &&Registration| now.saturating_sub(registration.last_heartbeat) > time_to_live;
        let expired: Vec<Instance> =
            self.live.values().filter(expired).map(|registration| registration.instance.clone()).collect();
        let has_shutdown = !expired.is_empty();
        let instances = expired.into_iter().map(|instance| self.terminate(instance)).collect();
        RegistryChange { instances, has_shutdown }
    }

    /// Replicates what the primary's feed publishes. Live incarnations absent from a `complete` list have terminated.
    pub fn replicate(&mut self, now: Duration, complete: bool, instances: &[Instance]) {
        if complete {
            let listed: HashSet<&str> = instances.iter().map(|instance| instance.id.as_str()).collect();
            let missing = |id: &&String| !listed.contains(id.as_str());
            let terminated: Vec<String> = self.live.keys().filter(missing).cloned().collect();
            for id in terminated {
                self.deregister(&id);
            }
        }
        for instance in instances {
            self.replicate_one(now, instance);
        }
    }

    fn replicate_one(&mut self, now: Duration, instance: &Instance) {
        if self.terminated.contains_key(&instance.id) {
            return;
        }
        if instance.state == InstanceState::Terminated {
            self.terminate(instance.clone());
            return;
        }
        self.upsert(now, instance.clone());
    }

    fn time_to_live(&self) -> Duration {
        (self.heartbeat_interval * MISSED_HEARTBEATS_LIMIT).max(MIN_TIME_TO_LIVE)
    }

    fn upsert(&mut self, now: Duration, instance: Instance) -> RegistryChange {
        let mut change = self.terminate_former_at(&instance);
        let known = self.live.get(&instance.id).map(|registration| registration.instance.clone());
        let merged = known.as_ref().map_or_else(|| instance.clone(), |known| merge(known, instance.clone()));
        change.has_shutdown |= merged.state == InstanceState::Draining
            && known.as_ref().is_none_or(|known| known.state != InstanceState::Draining);
        if known.as_ref().is_none_or(|known| is_visible_change(known, &merged)) {
            change.instances.push(merged.clone());
        }
        if let Some(known) = known.filter(|known| known.address != merged.address) {
            self.by_address.remove(&known.address);
        }
        self.by_address.insert(merged.address.clone(), merged.id.clone());
        self.live.insert(merged.id.clone(), Registration { instance: merged, last_heartbeat: now });
        change
    }

    /// An address that is used by a new incarnation shows that the former one there has terminated.
    fn terminate_former_at(&mut self, instance: &Instance) -> RegistryChange {
        let former = self.by_address.get(&instance.address).filter(|id| **id != instance.id).cloned();
        former.map_or_else(RegistryChange::default, |id| self.deregister(&id))
    }

    fn terminate(&mut self, mut instance: Instance) -> Instance {
        instance.state = InstanceState::Terminated;
        self.live.remove(&instance.id);
        if self.by_address.get(&instance.address) == Some(&instance.id) {
            self.by_address.remove(&instance.address);
        }
        self.terminated.insert(instance.id.clone(), instance.clone());
        self.terminated_order.push_back(instance.id.clone());
        if self.terminated_order.len() > MAX_TERMINATED
            && let Some(oldest) = self.terminated_order.pop_front()
        {
            self.terminated.remove(&oldest);
        }
        instance
    }
}

/// Merges a newer registration into the known one: draining is final, versions only rise.
fn merge(known: &Instance, mut newer: Instance) -> Instance {
    if known.state == InstanceState::Draining {
        newer.state = InstanceState::Draining;
    }
    for model in &mut newer.models {
        let loaded = known.models.iter().find(|loaded| loaded.model == model.model);
        model.generation = model.generation.max(loaded.map_or(0, |loaded| loaded.generation));
    }
    newer
}

/// Whether subscribers need to be sent the difference. They count the remaining warm-up time down themselves, so only
/// its end is published.
fn is_visible_change(known: &Instance, merged: &Instance) -> bool {
    let published = |instance: &Instance| Instance {
        sequence: 0,
        warm_up_remaining_ms: u32::from(instance.warm_up_remaining_ms > 0),
        ..instance.clone()
    };
    published(known) != published(merged)
}
