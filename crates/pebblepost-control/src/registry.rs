//! Registrations of transcribers: which incarnations exist, and in which state.
//!
//! Soft state. The primary keeps it by announcements, standbys keep a copy by the feed. An
//! incarnation that is gone never comes back.

use crate::state::shutdowns::ShutdownPhase;
use pebblepost_messages::feed::{Instance, InstanceState};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

/// Incarnations that are gone and remembered.
const MOST_GONE: usize = 4096;
/// Incarnations that ended last, which newcomers of the feed are told of.
const MOST_LATELY_GONE: usize = 64;
/// Heartbeats that may be missed before an incarnation is taken to have ended. That is for good,
/// so it must outlast cuts between machines that pass.
const HEARTBEATS_UNTIL_GONE: u32 = 12;
/// Least silence before an incarnation is taken to have ended.
const LEAST_SILENCE: Duration = Duration::from_secs(15);

/// What an announcement changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RegistryChange {
    /// The incarnations that changed, as they are now.
    pub instances: Vec<Instance>,
    /// One of them drains or is gone now and did not before.
    pub drains: bool,
}

#[derive(Clone, Debug)]
struct Registration {
    instance: Instance,
    heard: Duration,
}

/// The registrations.
#[derive(Clone, Debug)]
pub struct Registry {
    heartbeat: Duration,
    live: BTreeMap<String, Registration>,
    by_address: HashMap<String, String>,
    gone: BTreeMap<String, Instance>,
    gone_order: VecDeque<String>,
    nothing_ends_before: Duration,
}

impl Registry {
    /// An empty registry for transcribers that announce themselves once in `heartbeat`.
    pub fn new(heartbeat: Duration) -> Registry {
        Registry {
            heartbeat,
            live: BTreeMap::new(),
            by_address: HashMap::new(),
            gone: BTreeMap::new(),
            gone_order: VecDeque::new(),
            nothing_ends_before: Duration::ZERO,
        }
    }

    /// Starts the clock of every incarnation anew: this process begins to hear announcements.
    pub fn restart_clocks(&mut self, now: Duration) {
        for registration in self.live.values_mut() {
            registration.heard = now;
        }
        self.nothing_ends_before = now + self.longest_silence();
    }

    /// When the clocks count again after their new start: whoever has not been heard by then has
    /// ended.
    pub fn grace_ends(&self) -> Duration {
        self.nothing_ends_before
    }

    /// The incarnations that ended last.
    pub fn lately_gone(&self) -> impl Iterator<Item = &Instance> {
        self.gone_order.iter().rev().take(MOST_LATELY_GONE).filter_map(|id| self.gone.get(id))
    }

    /// Incarnations that are not gone.
    pub fn live(&self) -> impl Iterator<Item = &Instance> {
        self.live.values().map(|registration| &registration.instance)
    }

    /// An incarnation, also one that is gone.
    pub fn instance(&self, id: &str) -> Option<&Instance> {
        self.live.get(id).map(|registration| &registration.instance).or_else(|| self.gone.get(id))
    }

    /// An announcement came.
    pub fn announce(&mut self, now: Duration, announced: Instance) -> RegistryChange {
        if self.gone.contains_key(&announced.id) {
            return RegistryChange::default();
        }
        if let Some(registration) = self.live.get_mut(&announced.id) {
            registration.heard = now;
            if announced.sequence <= registration.instance.sequence {
                return RegistryChange::default();
            }
        }
        self.take_in(now, announced)
    }

    /// An incarnation ended, by its own word.
    pub fn remove(&mut self, id: &str) -> RegistryChange {
        if self.gone.contains_key(id) {
            return RegistryChange::default();
        }
        let known = self.live.get(id).map(|registration| registration.instance.clone());
        let ended = known.unwrap_or_else(|| Instance { id: id.into(), ..Instance::default() });
        RegistryChange { instances: vec![self.end(ended)], drains: true }
    }

    /// An incarnation is known to leave; the control state remembers it.
    pub fn depart(&mut self, id: &str, phase: ShutdownPhase) {
        match phase {
            ShutdownPhase::Terminated => {
                self.remove(id);
            }
            ShutdownPhase::Draining => {
                if let Some(registration) = self.live.get_mut(id) {
                    registration.instance.state = InstanceState::Draining;
                }
            }
        }
    }

    /// A transcriber surely holds a version now.
    pub fn holds(&mut self, id: &str, model: &str, generation: u64) -> RegistryChange {
        let Some(registration) = self.live.get_mut(id) else { return RegistryChange::default() };
        let models = &mut registration.instance.models;
        let Some(held) = models.iter_mut().find(|held| held.model == model) else {
            return RegistryChange::default();
        };
        if held.generation >= generation {
            return RegistryChange::default();
        }
        held.generation = generation;
        RegistryChange { instances: vec![registration.instance.clone()], drains: false }
    }

    fn longest_silence(&self) -> Duration {
        (self.heartbeat * HEARTBEATS_UNTIL_GONE).max(LEAST_SILENCE)
    }

    /// Ends the incarnations that were silent for too long.
    pub fn expire(&mut self, now: Duration) -> RegistryChange {
        if now < self.nothing_ends_before {
            return RegistryChange::default();
        }
        let silence = self.longest_silence();
        let silent = |registration: &&Registration| now.saturating_sub(registration.heard) > silence;
        let ended: Vec<Instance> =
            self.live.values().filter(silent).map(|registration| registration.instance.clone()).collect();
        let drains = !ended.is_empty();
        RegistryChange { instances: ended.into_iter().map(|instance| self.end(instance)).collect(), drains }
    }

    /// Takes in what the primary's feed says (standbys).
    pub fn copy(&mut self, now: Duration, whole: bool, instances: &[Instance]) {
        if whole {
            let kept: std::collections::HashSet<&str> =
                instances.iter().map(|instance| instance.id.as_str()).collect();
            let missing = |id: &&String| !kept.contains(id.as_str());
            let ended: Vec<String> = self.live.keys().filter(missing).cloned().collect();
            for id in ended {
                self.remove(&id);
            }
        }
        for instance in instances {
            self.copy_one(now, instance);
        }
    }

    fn copy_one(&mut self, now: Duration, instance: &Instance) {
        if self.gone.contains_key(&instance.id) {
            return;
        }
        if instance.state == InstanceState::Gone {
            self.end(instance.clone());
            return;
        }
        self.take_in(now, instance.clone());
    }

    fn take_in(&mut self, now: Duration, announced: Instance) -> RegistryChange {
        let mut change = self.end_former_at(&announced);
        let known = self.live.get(&announced.id).map(|registration| registration.instance.clone());
        let merged =
            known.as_ref().map_or_else(|| announced.clone(), |known| merge(known, announced.clone()));
        change.drains |= merged.state == InstanceState::Draining
            && known.as_ref().is_none_or(|known| known.state != InstanceState::Draining);
        if known.as_ref().is_none_or(|known| differs(known, &merged)) {
            change.instances.push(merged.clone());
        }
        if let Some(known) = known.filter(|known| known.address != merged.address) {
            self.by_address.remove(&known.address);
        }
        self.by_address.insert(merged.address.clone(), merged.id.clone());
        self.live.insert(merged.id.clone(), Registration { instance: merged, heard: now });
        change
    }

    fn end_former_at(&mut self, announced: &Instance) -> RegistryChange {
        let former = self.by_address.get(&announced.address).filter(|id| **id != announced.id).cloned();
        former.map_or_else(RegistryChange::default, |id| self.remove(&id))
    }

    fn end(&mut self, mut instance: Instance) -> Instance {
        instance.state = InstanceState::Gone;
        self.live.remove(&instance.id);
        if self.by_address.get(&instance.address) == Some(&instance.id) {
            self.by_address.remove(&instance.address);
        }
        self.gone.insert(instance.id.clone(), instance.clone());
        self.gone_order.push_back(instance.id.clone());
        if self.gone_order.len() > MOST_GONE
            && let Some(oldest) = self.gone_order.pop_front()
        {
            self.gone.remove(&oldest);
        }
        instance
    }
}

/// A later announcement on top of an earlier one: draining stays, versions only rise.
fn merge(known: &Instance, mut announced: Instance) -> Instance {
    if known.state == InstanceState::Draining {
        announced.state = InstanceState::Draining;
    }
    for model in &mut announced.models {
        let held = known.models.iter().find(|held| held.model == model.model);
        model.generation = model.generation.max(held.map_or(0, |held| held.generation));
    }
    announced
}

/// Whether receivers have to hear of it. The time that a transcriber stays slow counts down by
/// itself at the receivers; only its end is told.
fn differs(known: &Instance, merged: &Instance) -> bool {
    let told = |instance: &Instance| Instance {
        sequence: 0,
        warm_up_remaining_ms: u32::from(instance.warm_up_remaining_ms > 0),
        ..instance.clone()
    };
    told(known) != told(merged)
}
