//! What a storage machine does, without I/O or clock.
//!
//! The caller hands in messages, completed writes and the time since an arbitrary start of its
//! steady clock, calls [`Store::take_outputs`] once per turn, and carries the outputs out.

mod calls;
mod commits;
mod configuration;
mod early;
mod epoch_changes;
mod group;
mod leave;
mod outbox;
mod status;
mod version_slack;
mod work;

pub use outbox::{GroupRecord, LinkId, StoreOutput};

use early::Early;
use epoch_changes::EpochChanges;
use group::Group;
use nanoserde::{DeBin, DeBinErr, SerBin};
use outbox::Outbox;
use pebblepost_batch::admission::Budget;
use pebblepost_batch::scheduler::{ProxyId, ProxyLease, Scheduler};
use pebblepost_batch::state::{BatchState, Retention};
use pebblepost_messages::batch::{FromStore, STORE_GROUPS, ToStore};
use pebblepost_messages::control::ToControl;
use pebblepost_messages::feed::StoreGroup;
use pebblepost_messages::{DiskId, Member};
use pebblepost_replication::replica::{DiskRecord, Replica, ReplicaSettings};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use version_slack::VersionSlack;

/// Settings of a store.
#[derive(Clone, Debug)]
pub struct StoreSettings {
    /// This machine and its disk.
    pub me: Member,
    /// The disk was empty and this is the first start of the whole system.
    pub founding: bool,
    /// Timing and limits of the replicas.
    pub replica: ReplicaSettings,
    /// How long jobs are kept.
    pub retention: Retention,
    /// Bytes that jobs may take.
    pub budget: Budget,
}

/// What is at the other end of a link that was opened to this store.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Caller {
    /// It has not said yet.
    Unknown,
    /// A proxy, by the name of its machine.
    Proxy(String),
    /// Another storage machine.
    Peer(Member),
}

/// Periodic work: when it was done last.
#[derive(Debug, Default)]
struct LastDone {
    renewal: Duration,
    forgetting: Duration,
}

/// A storage machine.
#[derive(Debug)]
pub struct Store {
    settings: StoreSettings,
    groups: BTreeMap<u32, Group>,
    scheduler: Scheduler,
    /// Who serves each group, as last heard from the control plane.
    assignments: BTreeMap<u32, StoreGroup>,
    /// All machines heard of.
    members: BTreeMap<DiskId, Member>,
    callers: BTreeMap<LinkId, Caller>,
    early: Early,
    changes: EpochChanges,
    versions: VersionSlack,
    outbox: Outbox,
    last_done: LastDone,
    /// Replicas made so far.
    incarnations: u64,
    /// This machine is about to stop.
    is_leaving: bool,
    /// Other storage machines that are about to stop.
    leaving: BTreeSet<DiskId>,
}

impl Store {
    /// A store with what its disk held, in the order written. An error: a record is not in this program's format,
    /// and without it the store might lead with less than it acknowledged.
    pub fn new(now: Duration, settings: StoreSettings, records: &[Vec<u8>]) -> Result<Store, DeBinErr> {
        let mut recovered: BTreeMap<u32, Vec<DiskRecord>> = BTreeMap::new();
        for bytes in records {
            let GroupRecord { group, record } = GroupRecord::deserialize_bin(bytes)?;
            match record {
                Some(record) => recovered.entry(group).or_default().push(record),
                None => drop(recovered.remove(&group)),
            }
        }
        let mut store = Store {
            members: BTreeMap::from([(settings.me.disk, settings.me.clone())]),
            settings,
            groups: BTreeMap::new(),
            scheduler: Scheduler::default(),
            assignments: BTreeMap::new(),
            callers: BTreeMap::new(),
            early: Early::default(),
            changes: EpochChanges::default(),
            versions: VersionSlack::default(),
            outbox: Outbox::default(),
            last_done: LastDone::default(),
            incarnations: 0,
            is_leaving: false,
            leaving: BTreeSet::new(),
        };
        for (group, records) in recovered {
            store.open_group(now, group, records);
        }
        Ok(store)
    }

    /// This machine and its disk.
    pub fn member(&self) -> &Member {
        &self.settings.me
    }

    /// First message on each new connection to the control plane, after the subscription.
    pub fn announcement(&self) -> ToControl {
        ToControl::StoreHello { member: self.settings.me.clone(), bootstrap: self.settings.founding }
    }

    /// A link was opened to this store.
    pub fn link_opened(&mut self, link: LinkId) {
        self.callers.insert(link, Caller::Unknown);
    }

    /// A link that was opened to this store is lost.
    pub fn link_closed(&mut self, link: LinkId) {
        if let Some(Caller::Proxy(node)) = self.callers.remove(&link) {
            log::info!("the link from proxy {node} is lost");
            self.scheduler.disconnect_proxy(ProxyId(link.0));
        }
        self.early.forget(link);
        for group in self.groups.values_mut() {
            group.readers.retain(|reader| reader.caller.link != link);
        }
    }

    /// A message came over a link that was opened to this store.
    pub fn receive(&mut self, now: Duration, link: LinkId, message: ToStore) {
        match (message, self.callers.get(&link)) {
            (ToStore::KeepAlive, _) | (_, None) => {}
            (ToStore::Status, _) => self.answer_status(now, link),
            (ToStore::ProxyHello { node, zone }, _) => self.proxy_connected(link, node, &zone),
            (ToStore::PeerHello { member }, _) => self.peer_connected(now, link, member),
            (ToStore::Replication { to, store_group, message }, Some(Caller::Peer(peer))) => {
                let peer = peer.clone();
                if to == self.settings.me.disk {
                    self.replicate(now, store_group, &peer, &message);
                }
            }
            (ToStore::ShuttingDown, Some(Caller::Peer(peer))) => {
                let disk = peer.disk;
                self.peer_leaves(now, disk);
            }
            (message, Some(Caller::Proxy(_))) => self.receive_from_proxy(now, link, message),
            (_, Some(_)) => log::warn!("a message from a link that has not said what it is"),
        }
    }

    fn receive_from_proxy(&mut self, now: Duration, link: LinkId, message: ToStore) {
        let caller = |call: u64| group::Caller { link, call };
        match message {
            ToStore::Submit { call, store_group, job } => self.submit(now, caller(call), store_group, job),
            ToStore::Read { call, store_group, job, start, wait_ms } => {
                let reader =
                    group::Reader { caller: caller(call), job, start, until: wait_until(now, wait_ms) };
                self.read(now, store_group, reader);
            }
            ToStore::ItemBody { call, store_group, job, item } => {
                self.item_body(now, caller(call), store_group, &job, &item);
            }
            ToStore::End { call, store_group, job } => self.end(now, caller(call), store_group, job),
            ToStore::RequestWork { max_items } => self.take_work(now, link, max_items),
            ToStore::Outcomes { store_group, job, lease, outcomes } => {
                let lease = ProxyLease { proxy: ProxyId(link.0), number: lease };
                self.outcomes(now, lease, store_group, &job, outcomes);
            }
            ToStore::ActiveLeases(leases) => self.holding(now, link, leases),
            _ => log::warn!("a message from a proxy that is not one of a proxy"),
        }
    }

    /// All appends up to this ticket are on disk.
    pub fn synced(&mut self, now: Duration, ticket: u64) {
        for write in self.outbox.synced(ticket) {
            let group = self.groups.get_mut(&write.group);
            if let Some(group) = group.filter(|group| group.incarnation == write.incarnation) {
                group.replica.persisted(now, write.token);
            }
            self.settle(now, write.group);
        }
    }

    /// Time passed; to be called every 50 ms or so while [`Store::is_busy`], else now and then.
    pub fn tick(&mut self, now: Duration) {
        let numbers: Vec<u32> = self.groups.keys().copied().collect();
        for number in numbers {
            if let Some(group) = self.groups.get_mut(&number) {
                group.replica.tick(now);
            }
            self.settle(now, number);
            self.answer_late_readers(now, number);
        }
        self.drop_groups_of_others(now);
        self.give_up_overdue_changes(now);
        self.renew_leases(now);
        self.list_expired(now);
        self.forget_jobs(now);
    }

    /// Whether the store holds anything, and needs ticks.
    pub fn is_busy(&self) -> bool {
        !self.groups.is_empty()
    }

    /// Ends a turn: proposes what was gathered in it; the outputs.
    pub fn take_outputs(&mut self, now: Duration) -> Vec<StoreOutput> {
        let numbers: Vec<u32> = self.groups.keys().copied().collect();
        for number in numbers {
            if let Some(group) = self.groups.get_mut(&number) {
                group.propose_gathered(now);
            }
            self.settle(now, number);
        }
        self.tell_idle_proxies(now);
        self.outbox.take()
    }

    /// Puts out a checkpoint: all that the disk has to hold now. None while a group is damaged: what the disk holds
    /// of it is to stay.
    pub fn checkpoint(&mut self) {
        let mut records = Vec::new();
        for (number, group) in &self.groups {
            let Some(checkpoint) = group.replica.checkpoint() else { return };
            let encoded =
                checkpoint.into_iter().map(|record| GroupRecord { group: *number, record: Some(record) });
            records.extend(encoded.map(|record| record.serialize_bin()));
        }
        self.outbox.checkpoint(records);
    }

    fn replicate(&mut self, now: Duration, number: u32, peer: &Member, message: &[u8]) {
        if number >= STORE_GROUPS {
            return;
        }
        if !self.groups.contains_key(&number) {
            self.open_group(now, number, Vec::new());
        }
        let is_assigned = self.is_assigned(number);
        if let Some(group) = self.groups.get_mut(&number) {
            group.used_at = now;
            if !is_assigned {
                group.replica.set_targets(now, Vec::new());
            }
            group.replica.receive(now, peer, message);
        }
        self.settle(now, number);
    }

    /// Begins to hold a group, with what the disk held of it.
    fn open_group(&mut self, now: Duration, number: u32, recovered: Vec<DiskRecord>) {
        let me = self.settings.me.clone();
        let replica = Replica::new(me, self.settings.replica, BatchState::default(), recovered, now);
        self.incarnations += 1;
        self.groups.insert(number, Group::new(now, replica, self.incarnations));
        self.configure_group(now, number);
    }

    fn proxy_connected(&mut self, link: LinkId, node: String, zone: &str) {
        log::info!("proxy {node} of zone {zone} is connected");
        self.callers.insert(link, Caller::Proxy(node));
        self.scheduler.connect_proxy(ProxyId(link.0));
    }

    fn peer_connected(&mut self, now: Duration, link: LinkId, member: Member) {
        log::info!("storage machine {} is connected", member.node);
        if self.leaving.remove(&member.disk) {
            self.set_targets_anew(now);
        }
        self.members.insert(member.disk, member.clone());
        self.callers.insert(link, Caller::Peer(member));
    }

    /// A group that this machine may answer for now.
    fn acting_group(&mut self, now: Duration, number: u32) -> Option<&mut Group> {
        self.groups.get_mut(&number).filter(|group| group.is_acting(now))
    }

    /// Links of all proxies.
    fn proxies(&self) -> Vec<LinkId> {
        let is_proxy = |caller: &Caller| matches!(caller, Caller::Proxy(_));
        self.callers.iter().filter(|(_, caller)| is_proxy(caller)).map(|(link, _)| *link).collect()
    }

    fn cancel_everywhere(&mut self, job: &str) {
        for link in self.proxies() {
            self.outbox.reply(link, FromStore::Cancel { jobs: vec![job.to_owned()] });
        }
    }
}

/// The end of a wait, bounded.
fn wait_until(now: Duration, wait_ms: u64) -> Duration {
    const MOST_WAIT_MS: u64 = 10_000;
    now + Duration::from_millis(wait_ms.min(MOST_WAIT_MS))
}
