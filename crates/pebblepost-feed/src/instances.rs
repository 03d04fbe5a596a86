//! Transcribers, folded from their announcements.

use pebblepost_messages::feed::{Instance, InstanceState, ModelVersion};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Ids of ended transcribers that are remembered; the newest.
const MOST_GONE: usize = 4096;

/// All transcribers known, those that are gone among them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Instances {
    by_id: BTreeMap<String, Instance>,
    gone: VecDeque<String>,
}

impl Instances {
    /// A transcriber, also one that is gone.
    pub(crate) fn get(&self, id: &str) -> Option<&Instance> {
        self.by_id.get(id)
    }

    /// All transcribers, also those that are gone.
    pub(crate) fn all(&self) -> impl Iterator<Item = &Instance> {
        self.by_id.values()
    }

    /// Those that are not gone.
    pub(crate) fn present(&self) -> impl Iterator<Item = &Instance> {
        self.all().filter(|instance| instance.state != InstanceState::Gone)
    }

    /// Takes an announcement in. True if it changed anything.
    pub(crate) fn announce(&mut self, announced: &Instance) -> bool {
        let Some(known) = self.by_id.get(&announced.id) else {
            self.put(announced.clone());
            return true;
        };
        let Some(merged) = merge(known, announced) else { return false };
        if merged == *known {
            return false;
        }
        self.put(merged);
        true
    }

    /// Marks all others as gone; returns their ids.
    pub(crate) fn retain(&mut self, ids: &BTreeSet<&str>) -> Vec<String> {
        let absent: Vec<String> = self
            .present()
            .filter(|instance| !ids.contains(instance.id.as_str()))
            .map(|instance| instance.id.clone())
            .collect();
        for id in &absent {
            if let Some(instance) = self.by_id.get(id) {
                self.put(Instance { state: InstanceState::Gone, ..instance.clone() });
            }
        }
        absent
    }

    fn put(&mut self, instance: Instance) {
        if instance.state == InstanceState::Gone {
            self.gone.push_back(instance.id.clone());
        }
        self.by_id.insert(instance.id.clone(), instance);
        while self.gone.len() > MOST_GONE {
            if let Some(oldest) = self.gone.pop_front() {
                self.by_id.remove(&oldest);
            }
        }
    }
}

/// What is known after an announcement; nothing if it says nothing new.
fn merge(known: &Instance, announced: &Instance) -> Option<Instance> {
    if known.state == InstanceState::Gone {
        return None;
    }
    // An incarnation that drains or is gone stays so, in whatever order it is told.
    let state = known.state.max(announced.state);
    if announced.sequence < known.sequence {
        return Some(Instance { state, ..known.clone() });
    }
    let mut merged = Instance { state, ..announced.clone() };
    if announced.sequence == known.sequence {
        keep_newer_versions(&mut merged.models, &known.models);
    }
    Some(merged)
}

/// Without a newer announcement, the version that a transcriber holds doesn't go back.
fn keep_newer_versions(models: &mut [ModelVersion], known: &[ModelVersion]) {
    for model in models {
        if let Some(held) = known.iter().find(|held| held.model == model.model) {
            model.generation = model.generation.max(held.generation);
        }
    }
}
