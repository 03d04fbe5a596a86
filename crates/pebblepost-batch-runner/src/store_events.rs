//! Handles events of store links and changes of primaries: leases are announced, outcomes are sent again, and new
//! leases are passed to execution.
//!
//! This module has no state; it connects the store links with leases, outbox, capacity and execution.

use crate::capacity::Capacity;
use crate::change_signal::ChangeSignal;
use crate::execution::blocked_items::BlockedItems;
use crate::execution::lease::LeaseExecutor;
use crate::lease_table::LeaseTable;
use crate::store::link::{LinkEvents, StoreLink};
use crate::store::links::StoreLinks;
use crate::store::outbox::Outbox;
use pebblepost_feed::FeedState;
use pebblepost_messages::batch::{FromStore, ToStore, WorkLease};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Delays, one after the other, after which leases are announced again to a new primary, because the primary may
/// learn of its epoch later than this proxy.
const REANNOUNCEMENT_DELAYS: [Duration; 2] = [Duration::from_millis(150), Duration::from_millis(250)];

/// Handles the events of store links.
pub(crate) struct StoreEvents {
    pub(crate) links: Rc<StoreLinks>,
    pub(crate) leases: Rc<RefCell<LeaseTable>>,
    pub(crate) outbox: Rc<Outbox>,
    pub(crate) capacity: Rc<Capacity>,
    pub(crate) executor: Rc<LeaseExecutor>,
    pub(crate) blocked: Rc<BlockedItems>,
    pub(crate) changes: Rc<ChangeSignal>,
}

impl StoreEvents {
    /// Applies the primaries that the feed names: starts and closes links, sends outcomes of the changed store
    /// groups again, and announces leases to their primaries.
    pub(crate) fn apply_feed_change(self: &Rc<Self>, feed: &FeedState) {
        let changed = self.links.update_primaries(feed);
        if changed.is_empty() {
            return;
        }
        log::debug!("store primaries changed groups={}", changed.len());
        self.blocked.clear();
        self.links.reconcile(self);
        self.outbox.resend(|group| changed.contains(&group));
        for link in self.links.all() {
            let is_primary_of_changed =
                changed.iter().any(|group| self.links.is_primary(*group, link.address));
            if link.is_up() && is_primary_of_changed {
                self.announce_leases(&link);
                self.spawn_reannouncements(link);
            }
        }
    }

    fn spawn_reannouncements(self: &Rc<Self>, link: Rc<StoreLink>) {
        let events = self.clone();
        tokio::task::spawn_local(async move {
            for delay in REANNOUNCEMENT_DELAYS {
                sleep(delay).await;
                if link.is_up() {
                    events.announce_leases(&link);
                }
            }
        });
    }

    /// Announces the leases of all store groups that the machine is primary of, so that it renews them.
    fn announce_leases(&self, link: &StoreLink) {
        let mut announced = Vec::new();
        {
            let mut leases = self.leases.borrow_mut();
            for group in self.links.groups_of(link.address) {
                announced.extend(leases.announce(group.store_group, group.epoch));
            }
        }
        link.send(&ToStore::ActiveLeases(announced));
    }

    fn receive_leases(&self, link: &StoreLink, leases: Vec<WorkLease>) {
        let items: usize = leases.iter().map(|lease| lease.items.len()).sum();
        let is_exhausted = link.take_work_request().is_some_and(|request| {
            // The request may have left out items that have become sendable since.
            let is_complete = request.releases == self.blocked.releases();
            is_complete && items < usize::try_from(request.items).unwrap_or(usize::MAX)
        });
        if is_exhausted {
            link.may_have_work.set(false);
        }
        self.executor.accept(leases);
        self.capacity.wake();
    }

    fn renew_leases(&self, groups: Vec<(u32, u64)>) {
        let now = Instant::now();
        let mut leases = self.leases.borrow_mut();
        for (store_group, epoch) in groups {
            leases.renew(store_group, epoch, now);
        }
        drop(leases);
        self.changes.notify();
    }

    fn cancel_jobs(&self, jobs: &[String]) {
        log::debug!("jobs cancelled count={}", jobs.len());
        self.leases.borrow_mut().cancel(jobs, Instant::now());
        self.blocked.cancel(jobs);
        self.changes.notify();
    }
}

impl LinkEvents for StoreEvents {
    fn link_up(&self, link: &StoreLink) {
        log::info!("store link up address={}", link.address);
        self.outbox.resend(|group| self.links.is_primary(group, link.address));
        self.outbox.flush(&self.links);
        self.announce_leases(link);
        self.blocked.clear();
        link.may_have_work.set(true);
        self.capacity.wake();
        self.changes.notify();
    }

    fn link_down(&self, link: &StoreLink) {
        log::info!("store link down address={}", link.address);
        self.capacity.wake();
        self.changes.notify();
    }

    /// Removes abandoned leases, and announces the leases again if the renewal of one is overdue.
    fn keep_alive_sent(&self, link: &StoreLink) {
        let now = Instant::now();
        let is_overdue = {
            let mut leases = self.leases.borrow_mut();
            let abandoned = leases.remove_abandoned(now);
            if abandoned > 0 {
                log::debug!("leases abandoned count={abandoned}");
            }
            let groups = self.links.groups_of(link.address);
            groups.iter().any(|group| leases.is_renewal_overdue(group.store_group, now))
        };
        if is_overdue {
            self.announce_leases(link);
        }
    }

    fn message_received(&self, link: &StoreLink, message: FromStore) {
        match message {
            FromStore::WorkAvailable => {
                link.may_have_work.set(true);
                self.capacity.wake();
            }
            FromStore::Work(leases) => self.receive_leases(link, leases),
            FromStore::Cancel { jobs } => self.cancel_jobs(&jobs),
            FromStore::Renew { groups } => self.renew_leases(groups),
            _ => {}
        }
    }
}
