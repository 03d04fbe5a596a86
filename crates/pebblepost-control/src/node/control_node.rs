//! The components of a control node, and queries of its state.

use super::control_group::ControlGroup;
use super::deferred::DeferredRequests;
use super::events::Output;
use super::inbound_links::InboundLinks;
use super::peer_links::PeerLinks;
use super::pending_requests::PendingRequests;
use super::primary::Primary;
use super::settings::NodeSettings;
use crate::membership::bootstrap::bootstrap_record;
use crate::membership::{Peers, members_of};
use crate::registry::Registry;
use crate::state::ControlState;
use crate::state::disk_record::{ControlRecord, RecoveredState};
use pebblepost_messages::{DiskId, Member};
use pebblepost_replication::record::EpochRecord;
use std::time::Duration;

/// Time without a message after which another primary counts as failed and requests are no longer redirected to it,
/// because a caller would wait there for its time-out of one second. Twice the interval between a primary's
/// messages.
const PRIMARY_TIMEOUT: Duration = Duration::from_millis(600);

/// A control node without I/O.
#[derive(Debug)]
pub struct ControlNode {
    pub(super) settings: NodeSettings,
    pub(super) group: ControlGroup,
    pub(super) peers: Peers,
    pub(super) peer_links: PeerLinks,
    pub(super) inbound: InboundLinks,
    pub(super) deferred: DeferredRequests,
    pub(super) pending: PendingRequests,
    pub(super) registry: Registry,
    /// Number of proxies that the primary's feed published most recently.
    pub(super) proxy_count: u32,
    pub(super) primary: Option<Primary>,
    /// Link addresses of control nodes as they were last advertised.
    pub(super) advertised: Vec<String>,
    /// Time at which the periodic checks are due.
    pub(super) next_periodic_checks: Duration,
    pub(super) outputs: Vec<Output>,
}

impl ControlNode {
    /// Creates a node from the records recovered from its disk.
    pub fn new(now: Duration, settings: NodeSettings, recovered: RecoveredState) -> ControlNode {
        let is_first_start = settings.may_bootstrap && recovered.bootstrap.is_none();
        let derived =
            || settings.may_bootstrap.then(|| bootstrap_record(&settings.seeds, settings.link_port));
        let bootstrap = recovered.bootstrap.clone().or_else(derived);
        let mut node = ControlNode {
            group: ControlGroup::new(now, &settings, recovered, bootstrap.clone()),
            peers: Peers::new(now, settings.me.clone(), settings.seed_links()),
            peer_links: PeerLinks::default(),
            inbound: InboundLinks::default(),
            deferred: DeferredRequests::default(),
            pending: PendingRequests::default(),
            registry: Registry::new(settings.heartbeat_interval),
            proxy_count: 0,
            primary: None,
            advertised: Vec::new(),
            next_periodic_checks: now,
            outputs: Vec::new(),
            settings,
        };
        if let Some(record) = bootstrap.filter(|_| is_first_start) {
            node.group.persist_bootstrap(record, &mut node.outputs);
        }
        node
    }

    /// Removes and returns the pending outputs, in the order in which they have to be carried out.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Returns the time at which an [`Input::Tick`](super::Input::Tick) is needed in addition to the periodic ones.
    pub fn due_at(&self) -> Option<Duration> {
        self.primary.as_ref().and_then(|primary| primary.feed.due_at())
    }

    /// Returns whether this node is primary and its lease is valid.
    pub fn is_acting(&self, now: Duration) -> bool {
        self.primary.is_some() && self.group.is_acting(now)
    }

    /// Returns whether this node is primary, regardless of its lease.
    pub fn is_primary(&self) -> bool {
        self.primary.is_some()
    }

    /// Returns whether this node is the acting primary, or another primary is known to be live.
    pub fn is_primary_known(&self, now: Duration) -> bool {
        self.is_acting(now) || self.live_primary(now).is_some()
    }

    /// Returns the replicated state with all entries applied that are known here to be committed.
    pub fn state(&self) -> &ControlState {
        self.group.state()
    }

    /// Returns the newest epoch record known to this node.
    pub fn record(&self) -> &EpochRecord {
        self.group.record()
    }

    /// Returns the registry of instances known to this node.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Returns the records that replace the log on disk, or `None` while the log must not be replaced.
    pub fn checkpoint(&self) -> Option<Vec<ControlRecord>> {
        self.group.checkpoint()
    }

    /// Returns the primary of the newest epoch record, if it is another node.
    pub(super) fn other_primary(&self) -> Option<&Member> {
        let record = self.group.record();
        let primary = record.primary;
        if primary == DiskId::default() || primary == self.settings.me.disk {
            return None;
        }
        members_of(record).find(|member| member.disk == primary)
    }

    /// Returns the primary if it is another node from which a message arrived within [`PRIMARY_TIMEOUT`].
    pub(super) fn live_primary(&self, now: Duration) -> Option<&Member> {
        let primary = self.other_primary()?;
        (self.peers.last_message_age(now, primary.disk)? < PRIMARY_TIMEOUT).then_some(primary)
    }
}
