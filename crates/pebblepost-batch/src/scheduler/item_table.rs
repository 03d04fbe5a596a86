//! The state of each item of one job, by sample group.
//!
//! Owns which items are pending, leased and finished, and which sample groups have been started. It knows
//! no time and no proxies.

use crate::job::StoredJob;
use pebblepost_messages::batch::PartialText;
use std::collections::{BTreeSet, HashMap};

/// What earlier leases of an unfinished item achieved.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ItemProgress {
    /// Failed attempts at the text.
    pub failed_attempts: u32,
    /// Failed attempts at the scorer's call.
    pub failed_scorer_attempts: u32,
    /// Text so far.
    pub partial: PartialText,
}

/// State of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ItemState {
    /// It has no result, and no proxy runs it.
    Pending,
    /// It is under the lease with this number.
    Leased(u64),
    /// A result was proposed or committed.
    Finished,
}

#[derive(Debug)]
struct ItemSlot {
    state: ItemState,
    sample_group: usize,
    progress: Option<Box<ItemProgress>>,
}

/// Items that share their prompt.
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
    /// Sample groups that were started and have pending items.
    started: BTreeSet<usize>,
    /// Sample groups of which no item was ever leased or finished.
    not_started: BTreeSet<usize>,
}

impl ItemTable {
    /// The items of a job. Those with one group name form a sample group; an item without a group name
    /// forms one of its own.
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

    /// The first sample group that was started and has pending items.
    pub(super) fn first_started(&self) -> Option<usize> {
        self.started.first().copied()
    }

    /// The first sample group that was not started.
    pub(super) fn first_not_started(&self) -> Option<usize> {
        self.not_started.first().copied()
    }

    /// Number of sample groups that were started.
    pub(super) fn started_count(&self) -> usize {
        self.sample_groups.len() - self.not_started.len()
    }

    /// Leases the pending items of a sample group, at most `max_items`; their indices.
    pub(super) fn lease_sample_group(
        &mut self, sample_group: usize, lease: u64, max_items: usize,
    ) -> Vec<usize> {
        let items = &self.items;
        let is_pending = |index: &usize| items[*index].state == ItemState::Pending;
        let pending = self.sample_groups[sample_group].items.iter().copied().filter(is_pending);
        let indices: Vec<usize> = pending.take(max_items).collect();
        for index in &indices {
            self.set_state(*index, ItemState::Leased(lease));
        }
        indices
    }

    /// What is known of an item.
    pub(super) fn progress(&self, item: usize) -> ItemProgress {
        let progress = self.items.get(item).and_then(|slot| slot.progress.as_deref());
        progress.cloned().unwrap_or_default()
    }

    pub(super) fn set_progress(&mut self, item: usize, progress: ItemProgress) {
        if let Some(slot) = self.items.get_mut(item) {
            slot.progress = Some(Box::new(progress));
        }
    }

    /// Number of the lease that an item is under.
    pub(super) fn lease_of(&self, item: usize) -> Option<u64> {
        match self.items.get(item)?.state {
            ItemState::Leased(lease) => Some(lease),
            ItemState::Pending | ItemState::Finished => None,
        }
    }

    /// Makes an item pending again, if it is under this lease.
    pub(super) fn release(&mut self, item: usize, lease: u64) {
        if self.lease_of(item) == Some(lease) {
            self.set_state(item, ItemState::Pending);
        }
    }

    /// Puts an item that is not finished under a lease; whether it did.
    pub(super) fn assign(&mut self, item: usize, lease: u64) -> bool {
        let is_open = self.items.get(item).is_some_and(|slot| slot.state != ItemState::Finished);
        if is_open {
            self.set_state(item, ItemState::Leased(lease));
        }
        is_open
    }

    /// Finishes an item; the state that it had, `None` for an index without an item.
    pub(super) fn finish(&mut self, item: usize) -> Option<ItemState> {
        let slot = self.items.get_mut(item)?;
        let former = slot.state;
        if former != ItemState::Finished {
            slot.progress = None;
            self.set_state(item, ItemState::Finished);
        }
        Some(former)
    }

    /// Finishes all pending items; their indices.
    pub(super) fn finish_pending(&mut self) -> Vec<usize> {
        let is_pending = |index: &usize| self.items[*index].state == ItemState::Pending;
        let pending: Vec<usize> = (0..self.items.len()).filter(is_pending).collect();
        for index in &pending {
            self.set_state(*index, ItemState::Finished);
        }
        pending
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

    /// Brings the sets of started and not started groups up to date with a sample group.
    fn index_sample_group(&mut self, sample_group: usize) {
        let group = &self.sample_groups[sample_group];
        let (is_started, has_pending) = (group.is_started, group.pending_items > 0);
        set_member(&mut self.not_started, sample_group, !is_started);
        set_member(&mut self.started, sample_group, is_started && has_pending);
    }
}

fn set_member(set: &mut BTreeSet<usize>, member: usize, is_member: bool) {
    if is_member {
        set.insert(member);
    } else {
        set.remove(&member);
    }
}
