//! The scheduling state of the items of one job, by sample group.
//!
//! The table records which items are pending, leased or finished, and which sample groups have been
//! started. It does not depend on time or on proxies.

use crate::job::StoredJob;
use pebblepost_messages::batch::PartialText;
use std::collections::{BTreeSet, HashMap};

/// Progress that earlier item attempts made on an unfinished item.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ItemProgress {
    /// Number of failed attempts to generate the text.
    pub failed_attempts: u32,
    /// Number of failed calls to the scorer.
    pub failed_scorer_attempts: u32,
    /// Text generated so far.
    pub partial: PartialText,
}

/// Scheduling state of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ItemState {
    /// The item has no result and is not leased.
    Pending,
    /// The item is leased under this lease number.
    Leased(u64),
    /// A result of the item was proposed or committed.
    Finished,
}

#[derive(Debug)]
struct ItemSlot {
    state: ItemState,
    sample_group: usize,
    progress: Option<Box<ItemProgress>>,
}

/// A set of items that share a prompt.
#[derive(Debug, Default)]
struct SampleGroup {
    items: Vec<usize>,
    pending_items: usize,
    is_started: bool,
}

/// The items of one job, by index.
#[derive(Debug, Default)]
pub(super) struct ItemTable {
    items: Vec<ItemSlot>,
    sample_groups: Vec<SampleGroup>,
    /// Started sample groups with pending items.
    started: BTreeSet<usize>,
    /// Sample groups none of whose items was ever leased or finished.
    not_started: BTreeSet<usize>,
}

impl ItemTable {
    /// Creates the table of a job's items.
    ///
    /// Items with the same group name form a sample group. An item with an empty group name forms a
    /// sample group of its own.
    pub(super) fn new(job: &StoredJob) -> ItemTable {
        let mut table = ItemTable::default();
        let mut by_name: HashMap<&str, usize> = HashMap::new();
        for (index, item) in job.job().items.iter().enumerate() {
            let known = by_name.get(item.group.as_str()).copied().filter(|_| !item.group.is_empty());
            let sample_group = known.unwrap_or(table.sample_groups.len());
            if known.is_none() {
                table.sample_groups.push(SampleGroup::default());
                by_name.insert(&item.group, sample_group);
            }
            let is_pending = job.pending_item(index).is_some();
            let state = if is_pending { ItemState::Pending } else { ItemState::Finished };
            table.items.push(ItemSlot { state, sample_group, progress: None });
            let group = &mut table.sample_groups[sample_group];
            group.items.push(index);
            group.pending_items += usize::from(is_pending);
            group.is_started |= !is_pending;
        }
        for sample_group in 0..table.sample_groups.len() {
            table.index_sample_group(sample_group);
        }
        table
    }

    /// Returns the first started sample group with a pending item that is sendable.
    pub(super) fn first_started(&self, is_sendable: &impl Fn(usize) -> bool) -> Option<usize> {
        self.started.iter().copied().find(|group| self.has_sendable_item(*group, is_sendable))
    }

    /// Returns the first sample group with a sendable item that was not started.
    pub(super) fn first_not_started(&self, is_sendable: &impl Fn(usize) -> bool) -> Option<usize> {
        self.not_started.iter().copied().find(|group| self.has_sendable_item(*group, is_sendable))
    }

    /// Returns the number of started sample groups.
    pub(super) fn started_count(&self) -> usize {
        self.sample_groups.len() - self.not_started.len()
    }

    /// Returns the indices of the pending items of a sample group that are sendable.
    pub(super) fn sendable_items(
        &self, sample_group: usize, is_sendable: &impl Fn(usize) -> bool,
    ) -> Vec<usize> {
        self.pending_items(sample_group).filter(|index| is_sendable(*index)).collect()
    }

    /// Leases pending items.
    pub(super) fn lease(&mut self, items: &[usize], lease: u64) {
        for item in items {
            self.set_state(*item, ItemState::Leased(lease));
        }
    }

    /// Returns the text that was generated of an item so far, if any is recorded.
    pub(super) fn partial(&self, item: usize) -> Option<&PartialText> {
        self.items.get(item)?.progress.as_deref().map(|progress| &progress.partial)
    }

    /// Returns the progress of an item; the default value if none is recorded.
    pub(super) fn progress(&self, item: usize) -> ItemProgress {
        let progress = self.items.get(item).and_then(|slot| slot.progress.as_deref());
        progress.cloned().unwrap_or_default()
    }

    pub(super) fn set_progress(&mut self, item: usize, progress: ItemProgress) {
        if let Some(slot) = self.items.get_mut(item) {
            slot.progress = Some(Box::new(progress));
        }
    }

    /// Returns the number of the lease that an item is under, if it is leased.
    pub(super) fn lease_of(&self, item: usize) -> Option<u64> {
        match self.items.get(item)?.state {
            ItemState::Leased(lease) => Some(lease),
            ItemState::Pending | ItemState::Finished => None,
        }
    }

    /// Makes an item pending again, unless it is no longer under this lease.
    pub(super) fn release(&mut self, item: usize, lease: u64) {
        if self.lease_of(item) == Some(lease) {
            self.set_state(item, ItemState::Pending);
        }
    }

    /// Assigns an unfinished item to a lease. Returns whether the item was assigned.
    pub(super) fn assign(&mut self, item: usize, lease: u64) -> bool {
        let is_unfinished = self.items.get(item).is_some_and(|slot| slot.state != ItemState::Finished);
        if is_unfinished {
            self.set_state(item, ItemState::Leased(lease));
        }
        is_unfinished
    }

    /// Finishes an item and returns its previous state, or `None` if the index is out of range.
    pub(super) fn finish(&mut self, item: usize) -> Option<ItemState> {
        let slot = self.items.get_mut(item)?;
        let previous = slot.state;
        if previous != ItemState::Finished {
            slot.progress = None;
            self.set_state(item, ItemState::Finished);
        }
        Some(previous)
    }

    /// Finishes all pending items and returns their indices.
    pub(super) fn finish_pending(&mut self) -> Vec<usize> {
        let is_pending = |index: &usize| self.items[*index].state == ItemState::Pending;
        let pending: Vec<usize> = (0..self.items.len()).filter(is_pending).collect();
        for index in &pending {
            self.set_state(*index, ItemState::Finished);
        }
        pending
    }

    fn pending_items(&self, sample_group: usize) -> impl Iterator<Item = usize> {
        let items = self.sample_groups[sample_group].items.iter().copied();
        items.filter(|index| self.items[*index].state == ItemState::Pending)
    }

    fn has_sendable_item(&self, sample_group: usize, is_sendable: &impl Fn(usize) -> bool) -> bool {
        self.pending_items(sample_group).any(is_sendable)
    }

    fn set_state(&mut self, index: usize, state: ItemState) {
        let slot = &mut self.items[index];
        let sample_group = slot.sample_group;
        let group = &mut self.sample_groups[sample_group];
        group.pending_items -= usize::from(slot.state == ItemState::Pending);
        group.pending_items += usize::from(state == ItemState::Pending);
        group.is_started |= state != ItemState::Pending;
        slot.state = state;
        self.index_sample_group(sample_group);
    }

    /// Updates the sets `started` and `not_started` for a sample group.
    fn index_sample_group(&mut self, sample_group: usize) {
        let group = &self.sample_groups[sample_group];
        let (is_started, has_pending) = (group.is_started, group.pending_items > 0);
        set_membership(&mut self.not_started, sample_group, !is_started);
        set_membership(&mut self.started, sample_group, is_started && has_pending);
    }
}

fn set_membership(set: &mut BTreeSet<usize>, member: usize, is_member: bool) {
    if is_member {
        set.insert(member);
    } else {
        set.remove(&member);
    }
}
