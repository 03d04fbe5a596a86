//! The changes that feed updates made to the state.

/// The changes that one or several updates made to a [`FeedState`](crate::FeedState).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FeedChanges {
    /// Whether a newer configuration was applied.
    pub configuration: bool,
    /// Ids of the instances that are new or changed in any way.
    pub instances: Vec<String>,
    /// Numbers of the store groups that are new, or that have another assignment under the same or a newer epoch.
    pub store_groups: Vec<u32>,
    /// Whether a newer version of a model was named.
    pub named_versions: bool,
    /// Whether a configuration update could not be applied, because it was a patch for another generation than the
    /// current one or because it was damaged. The receiver must subscribe again to get the full configuration.
    pub resync_needed: bool,
}

impl FeedChanges {
    /// Whether anything changed or a resync is needed.
    pub fn any(&self) -> bool {
        *self != FeedChanges::default()
    }

    /// Adds the changes that a later update made.
    pub fn merge(&mut self, mut later: FeedChanges) {
        self.configuration |= later.configuration;
        self.named_versions |= later.named_versions;
        self.resync_needed |= later.resync_needed;
        self.instances.append(&mut later.instances);
        self.store_groups.append(&mut later.store_groups);
    }
}
