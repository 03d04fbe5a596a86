//! The instances of transcribers, as their announcements describe them.

use pebblepost_messages::feed::{Instance, InstanceState, ModelVersion};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Number of the newest tombstones that are kept. With its tombstone, an instance that has terminated is not revived
/// by a late announcement.
const MAX_TOMBSTONES: usize = 4096;

/// All known instances. The newest of the terminated ones are kept as tombstones.
#[derive(Clone, Debug, Default)]
pub(crate) struct InstanceTable {
    by_id: BTreeMap<String, Instance>,
    /// Ids of the tombstones, oldest first.
    tombstones: VecDeque<String>,
}

impl InstanceTable {
    /// Returns an instance, which may be a tombstone.
    pub(crate) fn get(&self, id: &str) -> Option<&Instance> {
        self.by_id.get(id)
    }

    /// Iterates over all instances, including the tombstones, by id.
    pub(crate) fn all(&self) -> impl Iterator<Item = &Instance> {
        self.by_id.values()
    }

    /// Iterates over the instances that have not terminated, by id.
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

    /// Marks all live instances that are not among `ids` as terminated. Returns their ids.
    pub(crate) fn terminate_absent(&mut self, ids: &BTreeSet<&str>) -> Vec<String> {
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

/// Returns the instance after an announcement, or `None` if it has terminated.
fn merge(current: &Instance, announcement: &Instance) -> Option<Instance> {
    if current.state == InstanceState::Terminated {
        return None;
    }
    // An instance never returns to an earlier state, in whatever order the announcements arrive.
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

/// Raises the versions of `models` to those in `current`, so that no version decreases under one sequence number.
fn keep_newer_versions(models: &mut [ModelVersion], current: &[ModelVersion]) {
    for model in models {
        if let Some(known) = current.iter().find(|known| known.model == model.model) {
            model.generation = model.generation.max(known.generation);
        }
    }
}
