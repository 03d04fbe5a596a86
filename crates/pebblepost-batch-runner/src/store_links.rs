//! Links to all storage machines that are primary of a group of batch jobs.

use crate::shared::Shared;
use crate::store_link::StoreLink;
use pebblepost_messages::batch::ToStore;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// A new primary may learn of its epoch later than we do: our leases are announced to it again
/// after these times.
const ANNOUNCE_AGAIN: [Duration; 2] = [Duration::from_millis(150), Duration::from_millis(250)];

/// Who serves a group, as the feed told last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Primary {
    pub(crate) address: SocketAddr,
    pub(crate) epoch: u64,
}

/// Links to all storage machines that are primary of a group of batch jobs.
#[derive(Default)]
pub(crate) struct StoreLinks {
    primaries: RefCell<BTreeMap<u32, Primary>>,
    links: RefCell<BTreeMap<SocketAddr, Rc<StoreLink>>>,
    /// Rotates the order in which the links are asked for work.
    turn: Cell<usize>,
}

impl StoreLinks {
    /// Takes over who is primary of which group: links are opened and closed, leases announced.
    pub(crate) fn follow_feed(&self, shared: &Rc<Shared>) {
        let mut changed = Vec::new();
        {
            let feed = shared.feed.state();
            let mut primaries = self.primaries.borrow_mut();
            for group in feed.store_groups() {
                let Ok(address) = group.primary.address.parse() else { continue };
                let primary = Primary { address, epoch: group.epoch };
                if primaries.insert(group.group, primary) != Some(primary) {
                    changed.push(group.group);
                }
            }
        }
        if changed.is_empty() {
            return;
        }
        log::debug!("primaries of {} groups of batch jobs changed", changed.len());
        self.open_and_close(shared);
        shared.outbox.send_again(|group| changed.contains(&group));
        for link in self.all() {
            let serves_changed = changed.iter().any(|group| self.is_primary(*group, link.address));
            if link.is_up() && serves_changed {
                self.announce(shared, &link);
                self.announce_later(shared, &link);
            }
        }
    }

    /// The primary of a group, if any is known.
    pub(crate) fn primary(&self, group: u32) -> Option<Primary> {
        self.primaries.borrow().get(&group).copied()
    }

    /// The link to the primary of a group, if it is up.
    pub(crate) fn to_primary(&self, group: u32) -> Option<Rc<StoreLink>> {
        let address = self.primary(group)?.address;
        self.links.borrow().get(&address).filter(|link| link.is_up()).cloned()
    }

    /// All links, the next in turn first.
    pub(crate) fn in_turn(&self) -> Vec<Rc<StoreLink>> {
        let mut links = self.all();
        if !links.is_empty() {
            let turn = self.turn.get() % links.len();
            self.turn.set(turn + 1);
            links.rotate_left(turn);
        }
        links
    }

    /// All links.
    pub(crate) fn all(&self) -> Vec<Rc<StoreLink>> {
        self.links.borrow().values().cloned().collect()
    }

    /// A link is up: the machine is told what we hold, and asked for work.
    pub(crate) fn came_up(&self, shared: &Rc<Shared>, link: &Rc<StoreLink>) {
        log::info!("link to the store at {} is up", link.address);
        shared.outbox.send_again(|group| self.is_primary(group, link.address));
        shared.outbox.flush(shared);
        self.announce(shared, link);
        link.may_have_work.set(true);
        shared.room.wake();
        shared.changes.notify();
    }

    /// A link is lost.
    pub(crate) fn went_down(&self, shared: &Rc<Shared>, address: SocketAddr) {
        log::info!("link to the store at {address} is lost");
        shared.room.wake();
        shared.changes.notify();
    }

    /// Announces leases whose renewal is overdue.
    pub(crate) fn announce_unrenewed(&self, shared: &Rc<Shared>, link: &Rc<StoreLink>) {
        let now = Instant::now();
        let is_overdue = {
            let mut leases = shared.leases.borrow_mut();
            let abandoned = leases.remove_abandoned(now);
            if abandoned > 0 {
                log::debug!("{abandoned} leases were not renewed and are given up");
            }
            self.groups_of(link.address).iter().any(|(group, _)| leases.is_renewal_overdue(*group, now))
        };
        if is_overdue {
            self.announce(shared, link);
        }
    }

    fn announce_later(&self, shared: &Rc<Shared>, link: &Rc<StoreLink>) {
        let (shared, link) = (shared.clone(), link.clone());
        tokio::task::spawn_local(async move {
            for pause in ANNOUNCE_AGAIN {
                sleep(pause).await;
                if link.is_up() {
                    shared.links.announce(&shared, &link);
                }
            }
        });
    }

    /// Announces the leases of all groups that this machine is primary of.
    fn announce(&self, shared: &Rc<Shared>, link: &Rc<StoreLink>) {
        let mut held = Vec::new();
        {
            let mut leases = shared.leases.borrow_mut();
            for (group, epoch) in self.groups_of(link.address) {
                held.extend(leases.announce(group, epoch));
            }
        }
        link.send(&ToStore::ActiveLeases(held));
    }

    fn groups_of(&self, address: SocketAddr) -> Vec<(u32, u64)> {
        let primaries = self.primaries.borrow();
        let served = primaries.iter().filter(|(_, primary)| primary.address == address);
        served.map(|(group, primary)| (*group, primary.epoch)).collect()
    }

    fn is_primary(&self, group: u32, address: SocketAddr) -> bool {
        self.primary(group).is_some_and(|primary| primary.address == address)
    }

    fn open_and_close(&self, shared: &Rc<Shared>) {
        let wanted: Vec<SocketAddr> =
            self.primaries.borrow().values().map(|primary| primary.address).collect();
        let mut links = self.links.borrow_mut();
        links.retain(|address, link| {
            let keep = wanted.contains(address);
            if !keep {
                link.end();
            }
            keep
        });
        for address in wanted {
            links.entry(address).or_insert_with(|| StoreLink::start(address, shared));
        }
    }
}
