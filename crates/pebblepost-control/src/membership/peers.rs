//! The control nodes known to this node, and the addresses that it dials to find others.

use pebblepost_messages::{DiskId, Member};
use pebblepost_replication::record::EpochRecord;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Time without a message after which a node that is not in the epoch record is removed.
const PEER_EXPIRY_TIMEOUT: Duration = Duration::from_secs(60);
/// Time without a message after which a node is no longer advertised to others.
const ADVERTISEMENT_TIMEOUT: Duration = Duration::from_secs(10);
/// Time without a message after which a node counts as unreachable. It is longer than the keep-alive interval.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_millis(1100);
/// Limit on the addresses learned from other nodes that are dialed in addition to those of the epoch record and the
/// settings.
const MAX_CANDIDATE_ADDRESSES: usize = 64;

/// A control node as seen by this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerStatus {
    /// Identity of the node.
    pub member: Member,
    /// Time since the last message of the node.
    pub last_message_age: Duration,
}

#[derive(Clone, Debug)]
struct Peer {
    member: Member,
    last_message: Duration,
}

/// The control nodes known to this node.
#[derive(Clone, Debug)]
pub struct Peers {
    me: Member,
    /// Link addresses of the seeds.
    seeds: BTreeSet<String>,
    /// Link addresses that other nodes have advertised.
    candidates: BTreeSet<String>,
    known: BTreeMap<DiskId, Peer>,
    started_at: Duration,
}

impl Peers {
    /// Creates the state of a node that has just started and knows only the link addresses of the seeds.
    pub fn new(now: Duration, me: Member, seeds: impl IntoIterator<Item = String>) -> Peers {
        Peers {
            me,
            seeds: seeds.into_iter().collect(),
            candidates: BTreeSet::new(),
            known: BTreeMap::new(),
            started_at: now,
        }
    }

    /// Replaces the link addresses of the seeds.
    pub fn set_seeds(&mut self, seeds: impl IntoIterator<Item = String>) {
        self.seeds = seeds.into_iter().collect();
    }

    /// Records that a message arrived from a node, and its current identity.
    pub fn record_message(&mut self, now: Duration, member: &Member) {
        if member.disk == self.me.disk {
            return;
        }
        match self.known.get_mut(&member.disk) {
            Some(known) => {
                known.last_message = now;
                if known.member != *member {
                    known.member = member.clone();
                }
            }
            None => {
                self.known.insert(member.disk, Peer { member: member.clone(), last_message: now });
            }
        }
    }

    /// Adds link addresses that another node advertised. Invalid addresses and those beyond the limit are ignored.
    pub fn add_candidates(&mut self, addresses: &[String]) {
        for address in addresses {
            let is_own = *address == self.me.address;
            let has_capacity = self.candidates.len() < MAX_CANDIDATE_ADDRESSES;
            if !is_own && has_capacity && address.parse::<SocketAddr>().is_ok() {
                self.candidates.insert(address.clone());
            }
        }
    }

    /// Removes silent nodes that are not in the epoch record, and advertised addresses at which no known node is.
    pub fn expire(&mut self, now: Duration, record: &EpochRecord) {
        let is_member = |disk: &DiskId| members_of(record).any(|member| member.disk == *disk);
        self.known.retain(|disk, known| {
            now.saturating_sub(known.last_message) < PEER_EXPIRY_TIMEOUT || is_member(disk)
        });
        if now.saturating_sub(self.started_at) < PEER_EXPIRY_TIMEOUT {
            return;
        }
        let answered: BTreeSet<&String> = self.known.values().map(|known| &known.member.address).collect();
        self.candidates.retain(|address| answered.contains(address));
    }

    /// Returns the status of this node, then that of all known nodes ordered by disk.
    pub fn statuses(&self, now: Duration) -> Vec<PeerStatus> {
        let mut statuses = vec![PeerStatus { member: self.me.clone(), last_message_age: Duration::ZERO }];
        statuses.extend(self.known.values().map(|known| PeerStatus {
            member: known.member.clone(),
            last_message_age: now.saturating_sub(known.last_message),
        }));
        statuses
    }

    /// Returns the time since the last message of another node, or `None` if the node is not known.
    pub fn last_message_age(&self, now: Duration, disk: DiskId) -> Option<Duration> {
        self.known.get(&disk).map(|known| now.saturating_sub(known.last_message))
    }

    /// Returns the disks of the nodes that count as reachable.
    pub fn reachable(&self, now: Duration) -> BTreeSet<DiskId> {
        let is_reachable = |known: &Peer| now.saturating_sub(known.last_message) < UNREACHABLE_TIMEOUT;
        let reachable = self.known.iter().filter(|(_, known)| is_reachable(known));
        reachable.map(|(disk, _)| *disk).collect()
    }

    /// Returns the link addresses to dial: seeds, advertised addresses, known nodes and members of the epoch record.
    pub fn addresses_to_dial(&self, record: &EpochRecord) -> BTreeSet<String> {
        let known = self.known.values().map(|known| &known.member.address);
        let members = members_of(record).map(|member| &member.address);
        let all = self.seeds.iter().chain(&self.candidates).chain(known).chain(members);
        all.filter(|address| **address != self.me.address).cloned().collect()
    }

    /// Returns the link addresses to advertise to other programs: this node, members of the epoch record and live
    /// nodes.
    pub fn advertised(&self, now: Duration, record: &EpochRecord) -> Vec<String> {
        let is_live = |known: &&Peer| now.saturating_sub(known.last_message) < ADVERTISEMENT_TIMEOUT;
        let live = self.known.values().filter(is_live).map(|known| known.member.address.clone());
        let members = members_of(record).map(|member| member.address.clone());
        let mut advertised: BTreeSet<String> = live.chain(members).collect();
        advertised.insert(self.me.address.clone());
        advertised.into_iter().collect()
    }
}

/// Returns all members that an epoch record names. A member with several roles is repeated.
pub fn members_of(record: &EpochRecord) -> impl Iterator<Item = &Member> {
    record.in_sync.iter().chain(&record.witnesses).chain(&record.former_witnesses)
}
