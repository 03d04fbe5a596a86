//! Which items of one job wait, which are leased and which are finished.

use crate::clock::{GroupClock, whole_millis};
use crate::job::StoredJob;
use pebblepost_messages::batch::PartialText;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// Groups of samples begun beyond those that the trainer waits for, as a spare for stragglers.
pub const SURPLUS_MARGIN: usize = 2;
/// Share of the time until the results are due after which the surplus is begun, in hundredths.
const SURPLUS_AFTER_PERCENT: i64 = 60;

/// Place of a job in the order in which items are leased.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct OrderKey {
    /// When its results are due, in milliseconds of the steady clock.
    due_at_ms: i64,
    priority: u32,
    pub(super) group: u32,
    pub(super) job: String,
}

/// What is known of an item that is not finished.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ItemProgress {
    /// Failed attempts of the text.
    pub failed_attempts: u32,
    /// Failed attempts of the scorer's call.
    pub failed_scorer_attempts: u32,
    /// Text so far.
    pub partial: PartialText,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ItemState {
    Waiting,
    Leased(u64),
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
    waiting: usize,
    is_begun: bool,
}

/// Which items of one job wait, which are leased and which are finished.
#[derive(Debug)]
pub(super) struct JobSchedule {
    key: OrderKey,
    /// It was there before this machine became primary: proxies may hold leases of it.
    pub(super) is_taken_over: bool,
    desired: usize,
    surplus_at_ms: i64,
    expires_at_ms: i64,
    items: Vec<ItemSlot>,
    sample_groups: Vec<SampleGroup>,
    /// Groups that are begun and have items that wait.
    unfinished: BTreeSet<usize>,
    /// Groups that are not begun.
    untouched: BTreeSet<usize>,
}

impl JobSchedule {
    pub(super) fn new(now: Duration, group: u32, clock: &GroupClock, job: &StoredJob) -> JobSchedule {
        let age_ms = clock.now_ms(now).saturating_sub(job.submitted_at_ms());
        let taken_at_ms = signed(whole_millis(now)) - signed(age_ms);
        let terms = &job.job().terms;
        let run_deadline_ms = signed(terms.run_deadline_ms);
        let due_at_ms = taken_at_ms.saturating_add(run_deadline_ms);
        let key = OrderKey { due_at_ms, priority: terms.priority, group, job: job.id().to_owned() };
        let mut schedule = JobSchedule {
            key,
            is_taken_over: false,
            desired: usize::try_from(job.job().desired_groups).unwrap_or(usize::MAX),
            surplus_at_ms: taken_at_ms.saturating_add(run_deadline_ms / 100 * SURPLUS_AFTER_PERCENT),
            expires_at_ms: taken_at_ms.saturating_add(signed(terms.queue_ttl_ms)),
            items: Vec::new(),
            sample_groups: Vec::new(),
            unfinished: BTreeSet::new(),
            untouched: BTreeSet::new(),
        };
        schedule.add_items(job);
        schedule
    }

    pub(super) fn order_key(&self) -> &OrderKey {
        &self.key
    }

    pub(super) fn group(&self) -> u32 {
        self.key.group
    }

    /// Milliseconds until the results are due.
    pub(super) fn due_in_ms(&self, now: Duration) -> u64 {
        millis_until(now, self.key.due_at_ms)
    }

    /// Milliseconds until items may be given up.
    pub(super) fn expires_in_ms(&self, now: Duration) -> u64 {
        millis_until(now, self.expires_at_ms)
    }

    /// Whether items may be given up.
    pub(super) fn has_expired(&self, now: Duration) -> bool {
        self.expires_in_ms(now) == 0
    }

    /// The next group of samples to lease items of: one that is begun, or else the first that is
    /// not, if enough groups for the trainer are not in sight yet or `with_surplus` allows more.
    pub(super) fn next_sample_group(&self, now: Duration, with_surplus: bool) -> Option<usize> {
        if let Some(begun) = self.unfinished.first() {
            return Some(*begun);
        }
        let begun = self.sample_groups.len() - self.untouched.len();
        let is_surplus = self.desired > 0 && begun >= self.desired.saturating_add(SURPLUS_MARGIN);
        let surplus_allowed = with_surplus && signed(whole_millis(now)) >= self.surplus_at_ms;
        if is_surplus && !surplus_allowed {
            return None;
        }
        self.untouched.first().copied()
    }

    /// Leases the items of a group of samples that wait, at most `most`; their indices.
    pub(super) fn lease_sample_group(&mut self, sample_group: usize, lease: u64, most: usize) -> Vec<usize> {
        let items = &self.items;
        let waits = |index: &usize| items[*index].state == ItemState::Waiting;
        let waiting = self.sample_groups[sample_group].items.iter().copied().filter(waits);
        let indices: Vec<usize> = waiting.take(most).collect();
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

    pub(super) fn keep_progress(&mut self, item: usize, progress: ItemProgress) {
        if let Some(slot) = self.items.get_mut(item) {
            slot.progress = Some(Box::new(progress));
        }
    }

    /// Lease that an item is under.
    pub(super) fn lease_of(&self, item: usize) -> Option<u64> {
        match self.items.get(item)?.state {
            ItemState::Leased(lease) => Some(lease),
            ItemState::Waiting | ItemState::Finished => None,
        }
    }

    /// An item waits again, if it was under this lease.
    pub(super) fn release(&mut self, item: usize, lease: u64) {
        if self.lease_of(item) == Some(lease) {
            self.set_state(item, ItemState::Waiting);
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

    /// An item is finished: the lease it was under (0 for none), or `None` if it was finished.
    pub(super) fn finish(&mut self, item: usize) -> Option<u64> {
        let lease = match self.items.get(item)?.state {
            ItemState::Finished => return None,
            ItemState::Leased(lease) => lease,
            ItemState::Waiting => 0,
        };
        self.items[item].progress = None;
        self.set_state(item, ItemState::Finished);
        Some(lease)
    }

    /// Finishes the items that wait although their time to be given up has come; their indices.
    pub(super) fn take_expired(&mut self, now: Duration) -> Vec<usize> {
        if !self.has_expired(now) {
            return Vec::new();
        }
        let waits = |index: &usize| self.items[*index].state == ItemState::Waiting;
        let expired: Vec<usize> = (0..self.items.len()).filter(waits).collect();
        for index in &expired {
            self.set_state(*index, ItemState::Finished);
        }
        expired
    }

    /// Items of one name of a group belong together; an item without one stands alone.
    fn add_items(&mut self, job: &StoredJob) {
        let mut by_name: HashMap<&str, usize> = HashMap::new();
        for (index, item) in job.job().items.iter().enumerate() {
            let known = by_name.get(item.group.as_str()).copied().filter(|_| !item.group.is_empty());
            let sample_group = known.unwrap_or(self.sample_groups.len());
            if known.is_none() {
                self.sample_groups.push(SampleGroup::default());
                by_name.insert(&item.group, sample_group);
            }
            let waits = job.pending_item(index).is_some();
            let state = if waits { ItemState::Waiting } else { ItemState::Finished };
            self.items.push(ItemSlot { state, sample_group, progress: None });
            let group = &mut self.sample_groups[sample_group];
            group.items.push(index);
            group.waiting += usize::from(waits);
            group.is_begun |= !waits;
        }
        for sample_group in 0..self.sample_groups.len() {
            self.file(sample_group);
        }
    }

    fn set_state(&mut self, index: usize, state: ItemState) {
        let slot = &mut self.items[index];
        let sample_group = slot.sample_group;
        let group = &mut self.sample_groups[sample_group];
        group.waiting -= usize::from(slot.state == ItemState::Waiting);
        group.waiting += usize::from(state == ItemState::Waiting);
        group.is_begun |= state != ItemState::Waiting;
        slot.state = state;
        self.file(sample_group);
    }

    /// Files a group of samples under what it is now.
    fn file(&mut self, sample_group: usize) {
        let group = &self.sample_groups[sample_group];
        let (is_begun, waits) = (group.is_begun, group.waiting > 0);
        set_member(&mut self.untouched, sample_group, !is_begun);
        set_member(&mut self.unfinished, sample_group, is_begun && waits);
    }
}

fn set_member(set: &mut BTreeSet<usize>, member: usize, is_in: bool) {
    if is_in {
        set.insert(member);
    } else {
        set.remove(&member);
    }
}

fn signed(millis: u64) -> i64 {
    i64::try_from(millis).unwrap_or(i64::MAX)
}

fn millis_until(now: Duration, at_ms: i64) -> u64 {
    u64::try_from(at_ms.saturating_sub(signed(whole_millis(now)))).unwrap_or(0)
}
