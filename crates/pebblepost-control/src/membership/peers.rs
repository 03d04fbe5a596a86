//! The control processes known to this one, and the addresses at which it looks for them.

use pebblepost_messages::{DiskId, Member};
use pebblepost_replication::record::EpochRecord;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Time without a message after which a process that is in no epoch record is forgotten.
const EXPIRE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time without a message after which a process is no longer advertised to others.
const ADVERTISE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time without a message after which a process counts as unreachable; longer than the keep-alive interval.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_millis(1100);
/// Most addresses dialed beside those of the epoch record and the settings.
const MAX_CANDIDATES: usize = 64;

/// A control process as seen from here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerStatus {
    /// The machine and its disk.
    pub member: Member,
    /// Time since its last message.
    pub last_message_age: Duration,
}

#[derive(Clone, Debug)]
struct Peer {
    member: Member,
    last_message: Duration,
}

/// The control processes known here.
#[derive(Clone, Debug)]
pub struct Peers {
    me: Member,
    /// Link addresses of the seeds.
    seeds: BTreeSet<String>,
    /// Link addresses that other processes advertised.
    candidates: BTreeSet<String>,
    known: BTreeMap<DiskId, Peer>,
    started_at: Duration,
}

impl Peers {
    /// At the start only the link addresses of the seeds are known.
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

    /// A message arrived from a process.
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

    /// Adds link addresses that another process advertised. Invalid ones and those beyond the limit are ignored.
    pub fn add_candidates(&mut self, addresses: &[String]) {
        for address in addresses {
            let is_own = *address == self.me.address;
            let has_capacity = self.candidates.len() < MAX_CANDIDATES;
            if !is_own && has_capacity && address.parse::<SocketAddr>().is_ok() {
                self.candidates.insert(address.clone());
            }
        }
    }

    /// Forgets processes that are in no record and were silent for long, and candidates at which nobody answered.
    pub fn expire(&mut self, now: Duration, record: &EpochRecord) {
        let is_member = |disk: &DiskId| members_of(record).any(|member| member.disk == *disk);
        self.known
            .retain(|disk, known| now.saturating_sub(known.last_message) < EXPIRE_TIMEOUT || is_member(disk));
        if now.saturating_sub(self.started_at) < EXPIRE_TIMEOUT {
            return;
        }
        let answered: BTreeSet<&String> = self.known.values().map(|known| &known.member.address).collect();
        self.candidates.retain(|address| answered.contains(address));
    }

    /// This process, then all known ones by disk.
    pub fn statuses(&self, now: Duration) -> Vec<PeerStatus> {
        let mut statuses = vec![PeerStatus { member: self.me.clone(), last_message_age: Duration::ZERO }];
        statuses.extend(self.known.values().map(|known| PeerStatus {
            member: known.member.clone(),
            last_message_age: now.saturating_sub(known.last_message),
        }));
        statuses
    }

    /// Time since the last message of another process; `None` if it is not known.
    pub fn last_message_age(&self, now: Duration, disk: DiskId) -> Option<Duration> {
        self.known.get(&disk).map(|known| now.saturating_sub(known.last_message))
    }

    /// Disks of the processes that sent something lately.
    pub fn reachable(&self, now: Duration) -> BTreeSet<DiskId> {
        let is_reachable = |known: &Peer| now.saturating_sub(known.last_message) < UNREACHABLE_TIMEOUT;
        let reachable = self.known.iter().filter(|(_, known)| is_reachable(known));
        reachable.map(|(disk, _)| *disk).collect()
    }

    /// Link addresses to dial: seeds, candidates, known processes and members of the record.
    pub fn addresses_to_dial(&self, record: &EpochRecord) -> BTreeSet<String> {
        let known = self.known.values().map(|known| &known.member.address);
        let members = members_of(record).map(|member| &member.address);
        let all = self.seeds.iter().chain(&self.candidates).chain(known).chain(members);
        all.filter(|address| **address != self.me.address).cloned().collect()
    }

    /// Link addresses to advertise to other programs: this process, members of the record and live processes.
    pub fn advertised(&self, now: Duration, record: &EpochRecord) -> Vec<String> {
        let is_live = |known: &&Peer| now.saturating_sub(known.last_message) < ADVERTISE_TIMEOUT;
        let live = self.known.values().filter(is_live).map(|known| known.member.address.clone());
        let members = members_of(record).map(|member| member.address.clone());
        let mut advertised: BTreeSet<String> = live.chain(members).collect();
        advertised.insert(self.me.address.clone());
        advertised.into_iter().collect()
    }
}

/// All members that an epoch record names; one with several roles is repeated.
pub fn members_of(record: &EpochRecord) -> impl Iterator<Item = &Member> {
    record.in_sync.iter().chain(&record.witnesses).chain(&record.former_witnesses)
}
