//! Links to the storage machines that are primary of a store group (a group of batch jobs).
//!
//! This module stores the links and the primary of each store group. It makes no decisions about leases or outcomes.

use crate::identity::ProxyIdentity;
use crate::random::Random;
use crate::store::link::{LinkEvents, StoreLink};
use pebblepost_feed::FeedState;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// Primary of a store group, as last reported by the feed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Primary {
    address: SocketAddr,
    epoch: u64,
}

/// A store group with the epoch of its primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct GroupEpoch {
    pub(crate) store_group: u32,
    pub(crate) epoch: u64,
}

/// Links to all primaries of store groups.
pub(crate) struct StoreLinks {
    identity: Rc<ProxyIdentity>,
    random: Rc<Random>,
    primaries: RefCell<BTreeMap<u32, Primary>>,
    links: RefCell<BTreeMap<SocketAddr, Rc<StoreLink>>>,
    /// Start of the order in which the stores are next asked for work.
    next_rotation: Cell<usize>,
}

impl StoreLinks {
    pub(crate) fn new(identity: Rc<ProxyIdentity>, random: Rc<Random>) -> StoreLinks {
        StoreLinks {
            identity,
            random,
            primaries: RefCell::default(),
            links: RefCell::default(),
            next_rotation: Cell::default(),
        }
    }

    /// Stores the primaries that the feed names, and returns the store groups whose primary or epoch has changed. A
    /// primary with an invalid address is ignored.
    pub(crate) fn update_primaries(&self, feed: &FeedState) -> Vec<u32> {
        let mut changed = Vec::new();
        let mut primaries = self.primaries.borrow_mut();
        for group in feed.store_groups() {
            let Ok(address) = group.primary.address.parse() else { continue };
            let primary = Primary { address, epoch: group.epoch };
            if primaries.insert(group.group, primary) != Some(primary) {
                changed.push(group.group);
            }
        }
        changed
    }

    /// Closes links to machines that are no longer primary of any group, and starts links to new primaries.
    pub(crate) fn reconcile<E: LinkEvents>(&self, events: &Rc<E>) {
        let wanted: Vec<SocketAddr> =
            self.primaries.borrow().values().map(|primary| primary.address).collect();
        let mut links = self.links.borrow_mut();
        links.retain(|address, link| {
            let retained = wanted.contains(address);
            if !retained {
                link.close();
            }
            retained
        });
        for address in wanted {
            links.entry(address).or_insert_with(|| {
                StoreLink::start(address, self.identity.clone(), self.random.clone(), events.clone())
            });
        }
    }

    /// Returns the link to the primary of a group, if the link is up.
    pub(crate) fn primary_link(&self, group: u32) -> Option<Rc<StoreLink>> {
        let address = self.primary(group)?.address;
        self.links.borrow().get(&address).filter(|link| link.is_up()).cloned()
    }

    /// Returns all links, with the start rotated by one on each call.
    pub(crate) fn rotated(&self) -> Vec<Rc<StoreLink>> {
        let mut links = self.all();
        if !links.is_empty() {
            let rotation = self.next_rotation.get() % links.len();
            self.next_rotation.set(rotation + 1);
            links.rotate_left(rotation);
        }
        links
    }

    /// Returns all links, ordered by address.
    pub(crate) fn all(&self) -> Vec<Rc<StoreLink>> {
        self.links.borrow().values().cloned().collect()
    }

    /// Assumes that each store has work, so that it is asked.
    pub(crate) fn expect_work(&self) {
        for link in self.links.borrow().values().filter(|link| link.is_up()) {
            link.may_have_work.set(true);
        }
    }

    /// Returns the groups that the machine at an address is primary of.
    pub(crate) fn groups_of(&self, address: SocketAddr) -> Vec<GroupEpoch> {
        let primaries = self.primaries.borrow();
        let of_address = primaries.iter().filter(|(_, primary)| primary.address == address);
        of_address.map(|(group, primary)| GroupEpoch { store_group: *group, epoch: primary.epoch }).collect()
    }

    /// Returns whether the machine at an address is primary of a group.
    pub(crate) fn is_primary(&self, group: u32, address: SocketAddr) -> bool {
        self.primary(group).is_some_and(|primary| primary.address == address)
    }

    fn primary(&self, group: u32) -> Option<Primary> {
        self.primaries.borrow().get(&group).copied()
    }
}
