//! Starts the items of a lease: they are placed together where a transcriber has capacity, and each runs in its own
//! task.
//!
//! This module has no state. Leases and permits are stored by the modules below; [`super::item`] makes the attempts.

use crate::capacity::{Capacity, CapacityPermit};
use crate::execution::blocked_items::{BlockedItems, BlockedRequest};
use crate::execution::item::{ItemExecutor, ItemTask};
use crate::execution::outcomes::OutcomeReporter;
use crate::item_progress::ItemProgress;
use crate::lease_table::{LeaseKey, LeaseTable};
use crate::lease_terms::LeaseTerms;
use crate::metrics::{Metric, Metrics};
use crate::placement::placer::{MAX_PLACEMENT_WAIT, PlacementError, Placer};
use crate::placement::requirements::Requirements;
use crate::placement::reservation::Reservation;
use crate::shutdown::ShutdownFlag;
use pebblepost_messages::batch::{LeasedItem, WorkLease};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// If the first attempt of a group does not start within this time, the other items are placed again.
const FIRST_START_TIMEOUT: Duration = Duration::from_millis(250);

/// An item that waits to be placed.
struct PendingItem {
    leased: LeasedItem,
    permit: CapacityPermit,
}

/// Starts the execution of leases.
pub(crate) struct LeaseExecutor {
    pub(crate) leases: Rc<RefCell<LeaseTable>>,
    pub(crate) capacity: Rc<Capacity>,
    pub(crate) placer: Rc<Placer>,
    pub(crate) items: Rc<ItemExecutor>,
    pub(crate) blocked: Rc<BlockedItems>,
    pub(crate) outcomes: Rc<OutcomeReporter>,
    pub(crate) metrics: Rc<Metrics>,
    pub(crate) shutdown: Rc<ShutdownFlag>,
}

impl LeaseExecutor {
    /// Starts the execution of leases that a store granted. Items that cannot be sent, and during a shutdown all
    /// items, are returned immediately.
    pub(crate) fn accept(self: &Rc<Self>, leases: Vec<WorkLease>) {
        for lease in leases {
            self.accept_one(lease);
        }
    }

    fn accept_one(self: &Rc<Self>, lease: WorkLease) {
        let now = Instant::now();
        let terms = Rc::new(LeaseTerms::new(&lease, now));
        let progress =
            lease.items.iter().map(|leased| ItemProgress::from_leased(leased, terms.versions)).collect();
        let Some(key) = self.leases.borrow_mut().add(&lease, progress, now) else { return };
        let is_shutting_down = self.shutdown.is_set();
        let (unsendable, sendable): (Vec<_>, Vec<_>) = lease
            .items
            .into_iter()
            .partition(|leased| is_shutting_down || self.blocked.contains(&lease.job, &leased.item.path));
        for leased in unsendable {
            self.outcomes.return_item(key, &leased.item.id);
        }
        if sendable.is_empty() {
            return;
        }
        let admit = |leased| PendingItem { leased, permit: self.capacity.admit() };
        let pending = sendable.into_iter().map(admit).collect();
        let task = tokio::task::spawn_local(self.clone().place_items(key, terms, pending));
        self.leases.borrow_mut().set_placement_task(key, task.abort_handle());
    }

    /// Places the items of a lease, as many at a time as one transcriber has capacity for, and starts them.
    ///
    /// The first item of several is started alone: a transcriber that rejects it rejects one item and not all, and a
    /// transcriber that starts it has the common prompt in its prefix cache when the others arrive.
    async fn place_items(
        self: Rc<Self>, key: LeaseKey, terms: Rc<LeaseTerms>, mut pending: VecDeque<PendingItem>,
    ) {
        let mut give_up_at = Instant::now() + MAX_PLACEMENT_WAIT;
        while let Some(first) = pending.front() {
            let path = first.leased.item.path.clone();
            let requirements = Requirements::for_text(&terms, &path);
            let count = u32::try_from(pending.len()).unwrap_or(u32::MAX);
            let placed = match self.placer.place(&requirements, count, Some(give_up_at)).await {
                Ok(placed) => placed,
                Err(PlacementError::NoRoute(_) | PlacementError::NoPlace) => {
                    self.blocked.block(&terms, BlockedRequest::Placement { path });
                    self.return_blocked_items(key, &terms, &mut pending);
                    continue;
                }
                // Each item's task determines the outcome itself.
                Err(PlacementError::ShuttingDown | PlacementError::Expired) => Vec::new(),
            };
            give_up_at = Instant::now() + MAX_PLACEMENT_WAIT;
            let mut reservations = VecDeque::from(placed);
            let is_split = reservations.len() < pending.len();
            self.metrics.increment(if is_split { Metric::GroupsSplit } else { Metric::GroupsPlacedTogether });
            let batch =
                if reservations.is_empty() { pending.len() } else { reservations.len().min(pending.len()) };
            let first_start =
                reservations.front().filter(|_| reservations.len() > 1).map(Reservation::started);
            let Some(first_start) = first_start else {
                self.start_items(key, &terms, pending.drain(..batch), &mut reservations);
                continue;
            };
            self.start_items(key, &terms, pending.drain(..1), &mut reservations);
            if matches!(timeout(FIRST_START_TIMEOUT, first_start).await, Ok(Ok(()))) {
                self.start_items(key, &terms, pending.drain(..batch - 1), &mut reservations);
            }
        }
    }

    /// Returns the pending items that are blocked to their store.
    fn return_blocked_items(&self, key: LeaseKey, terms: &LeaseTerms, pending: &mut VecDeque<PendingItem>) {
        pending.retain(|item| {
            let is_blocked = self.blocked.contains(&terms.job_id, &item.leased.item.path);
            if is_blocked {
                self.outcomes.return_item(key, &item.leased.item.id);
            }
            !is_blocked
        });
    }

    /// Starts a task for each item, with a reservation as long as there are any left.
    fn start_items(
        &self, key: LeaseKey, terms: &Rc<LeaseTerms>, pending: impl Iterator<Item = PendingItem>,
        reservations: &mut VecDeque<Reservation>,
    ) {
        for PendingItem { leased, permit } in pending {
            self.start_item(key, terms, leased, reservations.pop_front(), permit);
        }
    }

    fn start_item(
        &self, key: LeaseKey, terms: &Rc<LeaseTerms>, leased: LeasedItem, reservation: Option<Reservation>,
        permit: CapacityPermit,
    ) {
        let id = leased.item.id.clone();
        let Some(progress) = self.leases.borrow().progress(key, &id) else { return };
        let task = ItemTask { key, terms: terms.clone(), item: leased.item, progress };
        let execution = self.items.clone().execute(task, reservation, permit);
        let task = tokio::task::spawn_local(execution);
        self.leases.borrow_mut().set_item_task(key, &id, task.abort_handle());
    }
}
