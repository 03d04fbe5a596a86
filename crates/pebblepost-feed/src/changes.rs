//! The changes that feed updates made to the state.

/// The changes that one or several updates made to a [`FeedState`](crate::FeedState).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FeedChanges {
    /// Whether a newer configuration was applied.
    pub configuration_changed: bool,
    /// Ids of the instances that are new or changed in any way.
    pub changed_instances: Vec<String>,
    /// Numbers of the store groups that are new, or that changed under the same or a newer epoch.
    pub changed_store_groups: Vec<u32>,
    /// Whether a newer version of a model was named.
    pub named_versions_changed: bool,
    /// Whether a configuration update could not be applied, because it was a patch for another generation than the
    /// current one or because it was damaged. The receiver must subscribe again to get the full configuration.
    pub resync_needed: bool,
}

impl FeedChanges {
    /// Returns whether anything changed or a resync is needed.
    pub fn has_changes(&self) -> bool {
        *self != FeedChanges::default()
    }

    /// Adds the changes that a later update made.
    pub fn merge(&mut self, mut later: FeedChanges) {
        self.configuration_changed |= later.configuration_changed;
        self.named_versions_changed |= later.named_versions_changed;
        self.resync_needed |= later.resync_needed;
        self.changed_instances.append(&mut later.changed_instances);
        self.changed_store_groups.append(&mut later.changed_store_groups);
    }
}
