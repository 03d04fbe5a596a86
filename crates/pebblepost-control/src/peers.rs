//! Which control processes exist, and which addresses are dialed to find them.

use crate::witnesses::Standing;
use nanoserde::{DeBin, SerBin};
use pebblepost_messages::{DiskId, Member};
use pebblepost_replication::record::EpochRecord;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Silence after which a process that holds nothing is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);
/// Silence after which a process is taken to be out of reach; longer than the pause between signs of life.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(1100);
/// Most addresses that are dialed beside those of the epoch record and the settings.
const MOST_LEARNED: usize = 64;

/// Part of the replication library that a message belongs to.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum PeerPart {
    /// Epoch register.
    Register(Vec<u8>),
    /// Replica.
    Replica(Vec<u8>),
}

/// What travels between control processes inside `ToControl::Replication`. It names its receiver's
/// disk: a machine that lost its disk takes nothing that was meant for its predecessor.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct PeerMessage {
    /// Disk of the receiver.
    pub to: DiskId,
    /// The message.
    pub part: PeerPart,
}

#[derive(Clone, Debug)]
struct Known {
    member: Member,
    heard: Duration,
}

/// The control processes known here.
#[derive(Clone, Debug)]
pub struct Peers {
    me: Member,
    seeds: BTreeSet<String>,
    learned: BTreeSet<String>,
    known: BTreeMap<DiskId, Known>,
    started: Duration,
}

impl Peers {
    /// Nobody is known but the seeds' internal addresses.
    pub fn new(now: Duration, me: Member, seeds: impl IntoIterator<Item = String>) -> Peers {
        Peers {
            me,
            seeds: seeds.into_iter().collect(),
            learned: BTreeSet::new(),
            known: BTreeMap::new(),
            started: now,
        }
    }

    /// The settings name other seeds now.
    pub fn set_seeds(&mut self, seeds: impl IntoIterator<Item = String>) {
        self.seeds = seeds.into_iter().collect();
    }

    /// A process said who it is, or said anything.
    pub fn heard(&mut self, now: Duration, member: &Member) {
        if member.disk == self.me.disk {
            return;
        }
        match self.known.get_mut(&member.disk) {
            Some(known) => {
                known.heard = now;
                if known.member != *member {
                    known.member = member.clone();
                }
            }
            None => {
                self.known.insert(member.disk, Known { member: member.clone(), heard: now });
            }
        }
    }

    /// Another process told of addresses.
    pub fn learn(&mut self, addresses: &[String]) {
        for address in addresses {
            let own = *address == self.me.address;
            if !own && self.learned.len() < MOST_LEARNED && address.parse::<std::net::SocketAddr>().is_ok() {
                self.learned.insert(address.clone());
            }
        }
    }

    /// Forgets processes that were silent for long and are in no record, and addresses learned
    /// from others that nobody answers at.
    pub fn forget(&mut self, now: Duration, record: &EpochRecord) {
        let named = |disk: &DiskId| members_of(record).any(|member| member.disk == *disk);
        self.known.retain(|disk, known| now.saturating_sub(known.heard) < FORGET_AFTER || named(disk));
        if now.saturating_sub(self.started) < FORGET_AFTER {
            return;
        }
        let answered: BTreeSet<&String> = self.known.values().map(|known| &known.member.address).collect();
        self.learned.retain(|address| answered.contains(address));
    }

    /// This process and all others with their silence. Those never heard count from the start.
    pub fn standings(&self, now: Duration) -> Vec<Standing> {
        let mut standings = vec![Standing { member: self.me.clone(), silence: Duration::ZERO }];
        standings.extend(self.known.values().map(|known| Standing {
            member: known.member.clone(),
            silence: now.saturating_sub(known.heard),
        }));
        standings
    }

    /// Disks of the processes that were heard lately.
    pub fn reachable(&self, now: Duration) -> BTreeSet<DiskId> {
        let heard =
            self.known.iter().filter(|(_, known)| now.saturating_sub(known.heard) < UNREACHABLE_AFTER);
        heard.map(|(disk, _)| *disk).collect()
    }

    /// Internal addresses to keep links to: seeds, members of the record, whoever was heard.
    pub fn addresses(&self, record: &EpochRecord) -> BTreeSet<String> {
        let known = self.known.values().map(|known| &known.member.address);
        let named = members_of(record).map(|member| &member.address);
        let all = self.seeds.iter().chain(&self.learned).chain(known).chain(named);
        all.filter(|address| **address != self.me.address).cloned().collect()
    }

    /// Internal addresses to tell others of: members of the record and whoever was heard lately.
    pub fn told(&self, now: Duration, record: &EpochRecord) -> Vec<String> {
        let lately = self.known.values().filter(|known| now.saturating_sub(known.heard) < FORGET_AFTER / 6);
        let heard = lately.map(|known| known.member.address.clone());
        let named = members_of(record).map(|member| member.address.clone());
        let mut told: BTreeSet<String> = heard.chain(named).collect();
        told.insert(self.me.address.clone());
        told.into_iter().collect()
    }
}

/// All machines that a record names.
pub fn members_of(record: &EpochRecord) -> impl Iterator<Item = &Member> {
    record.in_sync.iter().chain(&record.witnesses).chain(&record.former_witnesses)
}
