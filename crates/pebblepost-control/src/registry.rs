//! Service registry: the known instances of transcribers and their states.
//!
//! The registry is soft state and never stored. The primary maintains it from heartbeats, and standbys replicate it
//! from the primary's feed. A terminated instance never becomes live again.

use crate::state::shutdowns::ShutdownPhase;
use pebblepost_messages::feed::{Instance, InstanceState};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::time::Duration;

/// Limit on the terminated instances kept in the registry. The oldest ones are evicted.
const MAX_TERMINATED_INSTANCES: usize = 4096;
/// Number of the most recently terminated instances that a new primary publishes.
const MAX_PUBLISHED_TERMINATED_INSTANCES: usize = 64;
/// Number of heartbeats that an instance may miss before it counts as terminated. Termination is final, so this time
/// has to be longer than temporary network partitions.
const MAX_MISSED_HEARTBEATS: u32 = 12;
/// Lower bound on the time without heartbeats after which an instance counts as terminated.
const MIN_TIME_TO_LIVE: Duration = Duration::from_secs(15);

/// The changes that an operation made to the registry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RegistryChange {
    /// The changed instances in their new state.
    pub instances: Vec<Instance>,
    /// Whether one of them started to drain or terminated, which proxies have to know immediately.
    pub has_shutdown: bool,
}

#[derive(Clone, Debug)]
struct Registration {
    instance: Instance,
    last_heartbeat: Duration,
}

/// The service registry.
#[derive(Clone, Debug)]
pub struct Registry {
    heartbeat_interval: Duration,
    live: BTreeMap<String, Registration>,
    /// Identities of live instances by address.
    by_address: HashMap<String, String>,
    terminated: BTreeMap<String, Instance>,
    /// Identities of terminated instances, oldest first.
    terminated_order: VecDeque<String>,
    /// No instance expires before this time.
    grace_period_end: Duration,
}

impl Registry {
    /// Creates an empty registry for instances that send a heartbeat every `heartbeat_interval`.
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

    /// Starts the grace period of a new primary. It resets the time of each instance's last heartbeat, because this
    /// node received no heartbeats before.
    pub fn start_grace_period(&mut self, now: Duration) {
        for registration in self.live.values_mut() {
            registration.last_heartbeat = now;
        }
        self.grace_period_end = now + self.time_to_live();
    }

    /// Returns the end of the grace period. An instance that sends no heartbeat until then counts as terminated.
    pub fn grace_period_end(&self) -> Duration {
        self.grace_period_end
    }

    /// Returns the most recently terminated instances, newest first.
    pub fn recently_terminated(&self) -> impl Iterator<Item = &Instance> {
        let newest = self.terminated_order.iter().rev().take(MAX_PUBLISHED_TERMINATED_INSTANCES);
        newest.filter_map(|id| self.terminated.get(id))
    }

    /// Returns the instances that have not terminated.
    pub fn live(&self) -> impl Iterator<Item = &Instance> {
        self.live.values().map(|registration| &registration.instance)
    }

    /// Returns an instance, live or terminated.
    pub fn instance(&self, id: &str) -> Option<&Instance> {
        self.live.get(id).map(|registration| &registration.instance).or_else(|| self.terminated.get(id))
    }

    /// Processes a registration or heartbeat. One whose sequence number is not above the last one only renews the
    /// time to live.
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

    /// Terminates an instance. An unknown instance is recorded as well, because its registration may arrive later.
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

    /// Records that an instance has loaded a version of a model. Unknown models and older versions are ignored.
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

    /// Terminates the instances whose time to live has passed without a heartbeat. No instance expires during the grace
    /// period.
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

    /// Applies an update of the primary's feed. Live instances that are absent from a `complete` list are terminated.
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
            self.replicate_instance(now, instance);
        }
    }

    fn replicate_instance(&mut self, now: Duration, instance: &Instance) {
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
        (self.heartbeat_interval * MAX_MISSED_HEARTBEATS).max(MIN_TIME_TO_LIVE)
    }

    fn upsert(&mut self, now: Duration, instance: Instance) -> RegistryChange {
        let mut change = self.terminate_former_at_address(&instance);
        let known = self.live.get(&instance.id).map(|registration| registration.instance.clone());
        let merged = known.as_ref().map_or_else(|| instance.clone(), |known| merge(known, instance.clone()));
        change.has_shutdown |= merged.state == InstanceState::Draining
            && known.as_ref().is_none_or(|known| known.state != InstanceState::Draining);
        if known.as_ref().is_none_or(|known| needs_publication(known, &merged)) {
            change.instances.push(merged.clone());
        }
        if let Some(known) = known.filter(|known| known.address != merged.address) {
            self.by_address.remove(&known.address);
        }
        self.by_address.insert(merged.address.clone(), merged.id.clone());
        self.live.insert(merged.id.clone(), Registration { instance: merged, last_heartbeat: now });
        change
    }

    /// Terminates the former instance at the address of a new one, because an address is used by one instance at a
    /// time.
    fn terminate_former_at_address(&mut self, instance: &Instance) -> RegistryChange {
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
        if self.terminated_order.len() > MAX_TERMINATED_INSTANCES
            && let Some(oldest) = self.terminated_order.pop_front()
        {
            self.terminated.remove(&oldest);
        }
        instance
    }
}

/// Merges a newer registration into the known one. An instance that drains stays so, and model versions never decrease.
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

/// Returns whether the difference has to be published. Subscribers count down the remaining warm-up time themselves, so
/// only its end is published.
fn needs_publication(known: &Instance, merged: &Instance) -> bool {
    let published = |instance: &Instance| Instance {
        sequence: 0,
        slow_start_remaining_ms: u32::from(instance.slow_start_remaining_ms > 0),
        ..instance.clone()
    };
    published(known) != published(merged)
}
