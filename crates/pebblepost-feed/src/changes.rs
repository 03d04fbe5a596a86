//! What an update changed.

/// What an update, or several, changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FeedChanges {
    /// A newer configuration was applied.
    pub configuration: bool,
    /// Ids of transcribers that are new or changed in any way.
    pub instances: Vec<String>,
    /// Groups of batch jobs with a newer epoch or assignment.
    pub store_groups: Vec<u32>,
    /// A newer version of a model was named.
    pub named_versions: bool,
    /// The update was a patch on another configuration than the current one, or was damaged: the receiver must
    /// subscribe again to get the full configuration.
    pub resync_needed: bool,
}

impl FeedChanges {
    /// Whether anything changed.
    pub fn any(&self) -> bool {
        *self != FeedChanges::default()
    }

    /// Adds the changes of a later update.
    pub fn merge(&mut self, mut later: FeedChanges) {
        self.configuration |= later.configuration;
        self.named_versions |= later.named_versions;
        self.resync_needed |= later.resync_needed;
        self.instances.append(&mut later.instances);
        self.store_groups.append(&mut later.store_groups);
    }
}
