//! The incarnations of transcribers, folded from their announcements.

use pebblepost_messages::feed::{Instance, InstanceState, ModelVersion};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Tombstones kept, the newest: a late announcement must not revive an ended incarnation.
const MAX_TOMBSTONES: usize = 4096;

/// All known incarnations, the newest of the ended ones among them as tombstones.
#[derive(Clone, Debug, Default)]
pub(crate) struct InstanceTable {
    by_id: BTreeMap<String, Instance>,
    /// Ids of the tombstones, oldest first.
    tombstones: VecDeque<String>,
}

impl InstanceTable {
    /// An incarnation, possibly a tombstone.
    pub(crate) fn get(&self, id: &str) -> Option<&Instance> {
        self.by_id.get(id)
    }

    /// All incarnations with the tombstones, by id.
    pub(crate) fn all(&self) -> impl Iterator<Item = &Instance> {
        self.by_id.values()
    }

    /// The incarnations that have not ended, by id.
    pub(crate) fn live(&self) -> impl Iterator<Item = &Instance> {
        self.all().filter(|instance| instance.state != InstanceState::Terminated)
    }

    /// Applies an announcement. Returns whether it changed anything.
    pub(crate) fn apply(&mut self, announcement: &Instance) -> bool {
        let Some(current) = self.by_id.get(&announcement.id) else {
            self.insert(announcement.clone());
            return true;
        };
        let Some(merged) = merge(current, announcement) else { return false };
        if merged == *current {
            return false;
        }
        self.insert(merged);
        true
    }

    /// Ends all live incarnations that are not among `ids`. Returns the ids of the ended ones.
    pub(crate) fn retain(&mut self, ids: &BTreeSet<&str>) -> Vec<String> {
        let absent: Vec<String> = self
            .live()
            .filter(|instance| !ids.contains(instance.id.as_str()))
            .map(|instance| instance.id.clone())
            .collect();
        for id in &absent {
            if let Some(instance) = self.by_id.get(id) {
                self.insert(Instance { state: InstanceState::Terminated, ..instance.clone() });
            }
        }
        absent
    }

    fn insert(&mut self, instance: Instance) {
        if instance.state == InstanceState::Terminated {
            self.tombstones.push_back(instance.id.clone());
        }
        self.by_id.insert(instance.id.clone(), instance);
        while self.tombstones.len() > MAX_TOMBSTONES {
            if let Some(oldest) = self.tombstones.pop_front() {
                self.by_id.remove(&oldest);
            }
        }
    }
}

/// The incarnation after an announcement; `None` if it has ended.
fn merge(current: &Instance, announcement: &Instance) -> Option<Instance> {
    if current.state == InstanceState::Terminated {
        return None;
    }
    // Draining and gone are final, in whatever order the announcements arrive.
    let state = current.state.max(announcement.state);
    if announcement.sequence < current.sequence {
        return Some(Instance { state, ..current.clone() });
    }
    let mut merged = Instance { state, ..announcement.clone() };
    if announcement.sequence == current.sequence {
        keep_newer_versions(&mut merged.models, &current.models);
    }
    Some(merged)
}

/// Under the same sequence number, the version of a model does not go back.
fn keep_newer_versions(models: &mut [ModelVersion], current: &[ModelVersion]) {
    for model in models {
        if let Some(known) = current.iter().find(|known| known.model == model.model) {
            model.generation = model.generation.max(known.generation);
        }
    }
}
