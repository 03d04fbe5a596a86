//! The logic of a storage machine, without I/O or clock: it replicates store groups of batch jobs and
//! leases their items to proxies.
//!
//! The caller passes messages, completed writes and the time since an arbitrary start of its monotonic
//! clock. It calls [`Store::take_outputs`] once per turn and executes the outputs in order.
//!
//! * `state`: types with one concern each: `Group` (the replica of a store group, its proposals and
//!   pending reads), `Membership` (assignments of store groups to machines), `EpochChanges` (requests to
//!   the control plane), `Connections` (links), `DeferredMessages` (messages that arrived before a term as
//!   primary), `VersionLags`, `Maintenance` and `Outbox`. The [`Scheduler`] decides on leases.
//! * `handlers`: methods of [`Store`], one file for each kind of input.
//! * This file: [`Store`] itself, which combines the state and dispatches messages to the handlers.

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
use state::reservations::{Reservation, Reservations};
use state::submissions::Submissions;
use state::version_lags::VersionLags;
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum time that a read waits for a result.
const MAX_READ_WAIT_MS: u64 = 10_000;

/// Settings of a store.
#[derive(Clone, Debug)]
pub struct StoreSettings {
    /// This machine, identified by its disk.
    pub member: Member,
    /// Whether the disk was empty and this is the first start of the whole system.
    pub bootstrap: bool,
    /// Timeouts and limits of the replicas.
    pub replica: ReplicaSettings,
    /// Retention periods of jobs.
    pub retention: Retention,
    /// Limit on the estimated memory of jobs.
    pub budget: MemoryBudget,
}

/// The state of a storage machine.
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
    reservations: Reservations,
    submissions: Submissions,
    outbox: Outbox,
    /// Number of replicas created so far.
    last_incarnation: u64,
    is_shutting_down: bool,
}

impl Store {
    /// Creates a store from the records on its disk, in the order in which they were written.
    ///
    /// # Errors
    ///
    /// Returns an error if a record cannot be decoded.
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
            reservations: Reservations::default(),
            submissions: Submissions::default(),
            outbox: Outbox::default(),
            last_incarnation: 0,
            is_shutting_down: false,
        };
        for (group_id, records) in recovered {
            store.open_group(now, group_id, records);
        }
        Ok(store)
    }

    /// Returns this machine, identified by its disk.
    pub fn member(&self) -> &Member {
        &self.settings.member
    }

    /// Returns the message that follows the subscription on each new connection to the control plane.
    pub fn announcement(&self) -> ToControl {
        ToControl::StoreHello { member: self.settings.member.clone(), bootstrap: self.settings.bootstrap }
    }

    /// Handles a link that another program opened to this store.
    pub fn handle_link_opened(&mut self, link: LinkId) {
        self.connections.insert(link, RemoteProgram::Unidentified);
    }

    /// Handles the loss of a link that was opened to this store.
    ///
    /// Pending reads, deferred lease reports and announced jobs of the link are dropped.
    pub fn handle_link_closed(&mut self, link: LinkId) {
        if let Some(RemoteProgram::Proxy(node)) = self.connections.remove(link) {
            log::info!("proxy disconnected node={node}");
            self.scheduler.mark_proxy_disconnected(ProxyId(link.0));
        }
        self.deferred.remove_link(link);
        self.give_up_submissions_over(link);
        for group in self.groups.values_mut() {
            group.pending_reads.retain(|read| read.caller.link != link);
        }
    }

    /// Handles a message that arrived over a link that was opened to this store.
    ///
    /// Messages that the hello of the link does not permit are ignored.
    pub fn handle_message(&mut self, now: Duration, link: LinkId, message: ToStore) {
        match (message, self.connections.get(link)) {
            (ToStore::KeepAlive, _) | (_, None) => {}
            (ToStore::Status, _) => self.reply_status(now, link),
            (ToStore::ProxyHello { node, zone }, _) => self.handle_proxy_hello(link, node, &zone),
            (ToStore::PeerHello { member }, _) => self.handle_peer_hello(now, link, member),
            (message, Some(RemoteProgram::Peer(peer))) => {
                let peer = peer.clone();
                self.receive_from_peer(now, link, peer, message);
            }
            (message, Some(RemoteProgram::Proxy(_))) => self.receive_from_proxy(now, link, message),
            (_, Some(RemoteProgram::Unidentified)) => log_ignored(link),
        }
    }

    /// Handles the completion of all appends up to a ticket: their records are on disk.
    pub fn handle_synced(&mut self, now: Duration, ticket: u64) {
        for write in self.outbox.take_synced(ticket) {
            let group = self.groups.get_mut(&write.group_id);
            if let Some(group) = group.filter(|group| group.incarnation == write.incarnation) {
                group.replica.on_persisted(now, write.token);
            }
            self.process_replica_outputs(now, write.group_id);
        }
    }

    /// Runs the work that is due at `now`.
    ///
    /// Should be called about every 50 ms while [`Store::has_replicas`] returns true, and less often
    /// otherwise.
    pub fn tick(&mut self, now: Duration) {
        for group_id in self.group_ids() {
            if let Some(group) = self.groups.get_mut(&group_id) {
                group.replica.tick(now);
            }
            self.process_replica_outputs(now, group_id);
            self.answer_expired_reads(now, group_id);
        }
        self.drop_unassigned_replicas(now);
        self.time_out_epoch_changes(now);
        self.remove_ended_reservations(now);
        self.advance_submissions(now);
        self.run_maintenance(now);
    }

    /// Returns whether the store has a replica of any store group and needs frequent ticks.
    pub fn has_replicas(&self) -> bool {
        !self.groups.is_empty()
    }

    /// Ends a turn: proposes the results that arrived in it and returns the outputs.
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

    /// Adds a checkpoint to the outputs, which replaces all records on disk.
    ///
    /// There is no checkpoint while the state of a store group is damaged, as the records on disk must be
    /// preserved then.
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

    fn receive_from_peer(&mut self, now: Duration, link: LinkId, peer: Member, message: ToStore) {
        match message {
            ToStore::Replication { to, store_group, message } if to == self.settings.member.disk => {
                self.receive_replication(now, store_group, &peer, &message);
            }
            // Meant for a former disk of this machine.
            ToStore::Replication { .. } => {}
            ToStore::ReserveMemory { submission, store_group, job, bytes } => {
                let reservation = Reservation { group_id: store_group, job, bytes };
                self.handle_reserve_memory(now, peer, submission, reservation);
            }
            ToStore::ReserveMemoryResponse { submission, is_granted } => {
                self.handle_reserve_memory_response(now, peer.disk, submission, is_granted);
            }
            ToStore::ReleaseMemory { submission } => self.handle_release_memory(peer.disk, submission),
            ToStore::ShuttingDown => self.handle_peer_shutdown(now, peer.disk),
            _ => log_ignored(link),
        }
    }

    fn receive_from_proxy(&mut self, now: Duration, link: LinkId, message: ToStore) {
        let caller = |call: u64| Caller { link, call };
        match message {
            ToStore::Submit { call, store_group, job } => {
                self.submit_job(now, caller(call), store_group, job);
            }
            ToStore::AnnounceJob { call, store_group, job, bytes } => {
                self.announce_job(now, caller(call), store_group, job, bytes);
            }
            ToStore::Read { call, store_group, job, start, wait_ms } => {
                let deadline = now + Duration::from_millis(wait_ms.min(MAX_READ_WAIT_MS));
                let read = PendingRead { caller: caller(call), job, start, deadline };
                self.read_results(now, store_group, read);
            }
            ToStore::ItemBody { call, store_group, job, item } => {
                self.read_body(now, caller(call), store_group, &job, &item);
            }
            ToStore::End { call, store_group, job } => self.end_job(now, caller(call), store_group, job),
            ToStore::RequestWork { max_items } => self.lease_work(now, link, max_items, Vec::new()),
            ToStore::RequestSendableWork { max_items, unsendable } => {
                self.lease_work(now, link, max_items, unsendable);
            }
            ToStore::Outcomes { store_group, job, lease, outcomes } => {
                let lease = LeaseReference { proxy: ProxyId(link.0), number: lease };
                self.process_outcomes(now, LeaseOutcomes { lease, group_id: store_group, job, outcomes });
            }
            ToStore::ActiveLeases(leases) => self.process_lease_report(now, link, leases),
            _ => log_ignored(link),
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

    /// Creates the replica of a store group from its records on disk.
    fn open_group(&mut self, now: Duration, group_id: u32, recovered: Vec<DiskRecord>) {
        let local = self.settings.member.clone();
        let replica = Replica::new(local, self.settings.replica, BatchState::default(), recovered, now);
        self.last_incarnation += 1;
        self.groups.insert(group_id, Group::new(now, replica, self.last_incarnation));
        self.configure_group(now, group_id);
    }

    fn handle_proxy_hello(&mut self, link: LinkId, node: String, zone: &str) {
        log::info!("proxy connected node={node} zone={zone}");
        self.connections.insert(link, RemoteProgram::Proxy(node));
        self.scheduler.mark_proxy_connected(ProxyId(link.0));
    }

    fn handle_peer_hello(&mut self, now: Duration, link: LinkId, member: Member) {
        log::info!("storage machine connected node={}", member.node);
        if self.membership.stop_draining(member.disk) {
            self.reconfigure_groups(now);
        }
        self.membership.add_member(member.clone());
        self.connections.insert(link, RemoteProgram::Peer(member));
    }

    /// Returns the store group, if this machine is its acting primary.
    fn acting_group(&mut self, now: Duration, group_id: u32) -> Option<&mut Group> {
        self.groups.get_mut(&group_id).filter(|group| group.is_acting(now))
    }

    fn group_ids(&self) -> Vec<u32> {
        self.groups.keys().copied().collect()
    }
}

fn log_ignored(link: LinkId) {
    log::warn!("message ignored: does not match the hello of the sender link={}", link.0);
}
