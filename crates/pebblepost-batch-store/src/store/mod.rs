//! A storage machine without I/O or clock: it replicates groups of batch jobs and leases their items.
//!
//! The caller passes messages, completed writes and the time since an arbitrary start of its monotonic
//! clock, calls [`Store::take_outputs`] once per turn, and carries out the outputs in order.
//!
//! * `state`: types of one concern each: `Group` (the replica of a group, its proposals and pending reads),
//!   `Membership` (assignments of groups to machines), `EpochChanges` (requests to the control plane),
//!   `Connections` (links), `DeferredMessages` (what arrived before a term as primary), `VersionLags`,
//!   `Maintenance` and `Outbox`. The [`Scheduler`] decides on leases.
//! * `handlers`: methods of [`Store`], a file for each kind of input.
//! * This file: [`Store`] itself, which joins the state and passes messages to the handlers.

mod handlers;
mod state;

pub use state::outbox::{GroupRecord, LinkId, StoreOutput};
pub use state::recovery::RecoveryError;

use nanoserde::SerBin;
use pebblepost_batch::admission::MemoryBudget;
use pebblepost_batch::scheduler::{LeaseReference, ProxyId, Scheduler};
use pebblepost_batch::state::{BatchState, Retention};
use pebblepost_messages::Member;
use pebblepost_messages::batch::{STORE_GROUPS, ToStore};
use pebblepost_messages::control::ToControl;
use pebblepost_replication::replica::{DiskRecord, Replica, ReplicaSettings};
use state::connections::{Connections, RemoteProgram};
use state::deferred::DeferredMessages;
use state::epoch_changes::EpochChanges;
use state::group::{Group, PendingRead};
use state::lease_outcomes::LeaseOutcomes;
use state::membership::Membership;
use state::outbox::Outbox;
use state::periodic::Maintenance;
use state::proposals::Caller;
use state::recovery;
use state::version_lags::VersionLags;
use std::collections::BTreeMap;
use std::time::Duration;

/// Longest time that a read waits for a result, in milliseconds.
const MAX_READ_WAIT_MS: u64 = 10_000;

/// Settings of a store.
#[derive(Clone, Debug)]
pub struct StoreSettings {
    /// This machine and its disk.
    pub member: Member,
    /// The disk was empty and this is the first start of the whole system.
    pub bootstrap: bool,
    /// Timing and limits of the replicas.
    pub replica: ReplicaSettings,
    /// How long jobs are stored.
    pub retention: Retention,
    /// Limit on the memory of jobs.
    pub budget: MemoryBudget,
}

/// A storage machine.
#[derive(Debug)]
pub struct Store {
    settings: StoreSettings,
    groups: BTreeMap<u32, Group>,
    scheduler: Scheduler,
    membership: Membership,
    connections: Connections,
    deferred: DeferredMessages,
    epoch_changes: EpochChanges,
    version_lags: VersionLags,
    maintenance: Maintenance,
    outbox: Outbox,
    /// Replicas created so far.
    last_incarnation: u64,
    is_shutting_down: bool,
}

impl Store {
    /// A store with the records that its disk held, in the order written.
    ///
    /// # Errors
    ///
    /// If a record is not in this program's format.
    pub fn new(now: Duration, settings: StoreSettings, records: &[Vec<u8>]) -> Result<Store, RecoveryError> {
        let recovered = recovery::read_records(records)?;
        let mut store = Store {
            membership: Membership::new(settings.member.clone()),
            settings,
            groups: BTreeMap::new(),
            scheduler: Scheduler::default(),
            connections: Connections::default(),
            deferred: DeferredMessages::default(),
            epoch_changes: EpochChanges::default(),
            version_lags: VersionLags::default(),
            maintenance: Maintenance::default(),
            outbox: Outbox::default(),
            last_incarnation: 0,
            is_shutting_down: false,
        };
        for (group_id, records) in recovered {
            store.open_group(now, group_id, records);
        }
        Ok(store)
    }

    /// This machine and its disk.
    pub fn member(&self) -> &Member {
        &self.settings.member
    }

    /// First message on each new connection to the control plane, after the subscription.
    pub fn announcement(&self) -> ToControl {
        ToControl::StoreHello { member: self.settings.member.clone(), bootstrap: self.settings.bootstrap }
    }

    /// Another program opened a link to this store.
    pub fn handle_link_opened(&mut self, link: LinkId) {
        self.connections.insert(link, RemoteProgram::Unidentified);
    }

    /// A link that was opened to this store is lost.
    pub fn handle_link_closed(&mut self, link: LinkId) {
        if let Some(RemoteProgram::Proxy(node)) = self.connections.remove(link) {
            log::info!("proxy disconnected node={node}");
            self.scheduler.mark_proxy_disconnected(ProxyId(link.0));
        }
        self.deferred.remove_link(link);
        for group in self.groups.values_mut() {
            group.pending_reads.retain(|read| read.caller.link != link);
        }
    }

    /// A message arrived over a link that was opened to this store.
    pub fn handle_message(&mut self, now: Duration, link: LinkId, message: ToStore) {
        match (message, self.connections.get(link)) {
            (ToStore::KeepAlive, _) | (_, None) => {}
            (ToStore::Status, _) => self.reply_status(now, link),
            (ToStore::ProxyHello { node, zone }, _) => self.proxy_connected(link, node, &zone),
            (ToStore::PeerHello { member }, _) => self.peer_connected(now, link, member),
            (ToStore::Replication { to, store_group, message }, Some(RemoteProgram::Peer(peer))) => {
                let peer = peer.clone();
                if to == self.settings.member.disk {
                    self.receive_replication(now, store_group, &peer, &message);
                }
            }
            (ToStore::ShuttingDown, Some(RemoteProgram::Peer(peer))) => {
                let disk = peer.disk;
                self.peer_shutting_down(now, disk);
            }
            (message, Some(RemoteProgram::Proxy(_))) => self.receive_from_proxy(now, link, message),
            (_, Some(_)) => log::warn!("message over a link without a matching hello link={}", link.0),
        }
    }

    /// All appends up to this ticket are on disk.
    pub fn handle_synced(&mut self, now: Duration, ticket: u64) {
        for write in self.outbox.take_synced(ticket) {
            let group = self.groups.get_mut(&write.group_id);
            if let Some(group) = group.filter(|group| group.incarnation == write.incarnation) {
                group.replica.persisted(now, write.token);
            }
            self.process_replica_outputs(now, write.group_id);
        }
    }

    /// Time has passed; to be called every 50 ms or so while [`Store::has_replicas`], else now and then.
    pub fn tick(&mut self, now: Duration) {
        for group_id in self.group_ids() {
            if let Some(group) = self.groups.get_mut(&group_id) {
                group.replica.tick(now);
            }
            self.process_replica_outputs(now, group_id);
            self.answer_overdue_reads(now, group_id);
        }
        self.drop_unassigned_replicas(now);
        self.time_out_epoch_changes(now);
        self.run_maintenance(now);
    }

    /// Whether the store has a replica of any group, and needs frequent ticks.
    pub fn has_replicas(&self) -> bool {
        !self.groups.is_empty()
    }

    /// Ends a turn: proposes the results that arrived in it; the outputs.
    pub fn take_outputs(&mut self, now: Duration) -> Vec<StoreOutput> {
        for group_id in self.group_ids() {
            if let Some(group) = self.groups.get_mut(&group_id) {
                group.propose_results(now);
            }
            self.process_replica_outputs(now, group_id);
        }
        self.notify_idle_proxies(now);
        self.outbox.take_outputs()
    }

    /// Puts out a checkpoint: all that the disk has to contain now. None while the state of a group is
    /// damaged, as its records on disk must be preserved.
    pub fn checkpoint(&mut self) {
        let mut records = Vec::new();
        for (group_id, group) in &self.groups {
            let Some(checkpoint) = group.replica.checkpoint() else { return };
            let encoded =
                checkpoint.into_iter().map(|record| GroupRecord { group: *group_id, record: Some(record) });
            records.extend(encoded.map(|record| record.serialize_bin()));
        }
        self.outbox.checkpoint(records);
    }

    fn receive_from_proxy(&mut self, now: Duration, link: LinkId, message: ToStore) {
        let caller = |call: u64| Caller { link, call };
        match message {
            ToStore::Submit { call, store_group, job } => self.submit(now, caller(call), store_group, job),
            ToStore::Read { call, store_group, job, start, wait_ms } => {
                let deadline = now + Duration::from_millis(wait_ms.min(MAX_READ_WAIT_MS));
                let read = PendingRead { caller: caller(call), job, start, deadline };
                self.read_results(now, store_group, read);
            }
            ToStore::ItemBody { call, store_group, job, item } => {
                self.read_body(now, caller(call), store_group, &job, &item);
            }
            ToStore::End { call, store_group, job } => self.end_job(now, caller(call), store_group, job),
            ToStore::RequestWork { max_items } => self.lease_work(now, link, max_items),
            ToStore::Outcomes { store_group, job, lease, outcomes } => {
                let lease = LeaseReference { proxy: ProxyId(link.0), number: lease };
                self.process_outcomes(now, LeaseOutcomes { lease, group_id: store_group, job, outcomes });
            }
            ToStore::ActiveLeases(leases) => self.process_lease_report(now, link, leases),
            _ => log::warn!("message that proxies do not send link={}", link.0),
        }
    }

    fn receive_replication(&mut self, now: Duration, group_id: u32, peer: &Member, message: &[u8]) {
        if group_id >= STORE_GROUPS {
            return;
        }
        if !self.groups.contains_key(&group_id) {
            self.open_group(now, group_id, Vec::new());
        }
        let is_assigned = self.membership.is_assigned(group_id);
        if let Some(group) = self.groups.get_mut(&group_id) {
            group.last_message_at = now;
            if !is_assigned {
                group.replica.set_targets(now, Vec::new());
            }
            group.replica.receive(now, peer, message);
        }
        self.process_replica_outputs(now, group_id);
    }

    /// Creates the replica of a group, with the records that the disk held of it.
    fn open_group(&mut self, now: Duration, group_id: u32, recovered: Vec<DiskRecord>) {
        let local = self.settings.member.clone();
        let replica = Replica::new(local, self.settings.replica, BatchState::default(), recovered, now);
        self.last_incarnation += 1;
        self.groups.insert(group_id, Group::new(now, replica, self.last_incarnation));
        self.configure_group(now, group_id);
    }

    fn proxy_connected(&mut self, link: LinkId, node: String, zone: &str) {
        log::info!("proxy connected node={node} zone={zone}");
        self.connections.insert(link, RemoteProgram::Proxy(node));
        self.scheduler.mark_proxy_connected(ProxyId(link.0));
    }

    fn peer_connected(&mut self, now: Duration, link: LinkId, member: Member) {
        log::info!("storage machine connected node={}", member.node);
        if self.membership.stop_draining(member.disk) {
            self.reconfigure_groups(now);
        }
        self.membership.add_member(member.clone());
        self.connections.insert(link, RemoteProgram::Peer(member));
    }

    /// The group, if this machine is its acting primary.
    fn acting_group(&mut self, now: Duration, group_id: u32) -> Option<&mut Group> {
        self.groups.get_mut(&group_id).filter(|group| group.is_acting(now))
    }

    fn group_ids(&self) -> Vec<u32> {
        self.groups.keys().copied().collect()
    }
}
