//! The parts of a control process, and what other modules may ask it.

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

/// Time without a message after which another primary counts as failed, and requests are not redirected to it: a caller
/// would wait for a second there. Twice the pause between its messages.
const PRIMARY_TIMEOUT: Duration = Duration::from_millis(600);

/// A control process without I/O.
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
    /// Number of proxies that the primary's feed published last.
    pub(super) proxy_count: u32,
    pub(super) primary: Option<Primary>,
    /// Link addresses of control processes that were advertised last.
    pub(super) advertised: Vec<String>,
    /// When periodic checks are due.
    pub(super) housekeeping_at: Duration,
    pub(super) outputs: Vec<Output>,
}

impl ControlNode {
    /// A process with the records recovered from its disk.
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
            housekeeping_at: now,
            outputs: Vec::new(),
            settings,
        };
        if let Some(record) = bootstrap.filter(|_| is_first_start) {
            node.group.persist_bootstrap(record, &mut node.outputs);
        }
        node
    }

    /// Takes the pending outputs, in order.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// When [`Input::Tick`](super::Input::Tick) is needed earlier than usual.
    pub fn due_at(&self) -> Option<Duration> {
        self.primary.as_ref().and_then(|primary| primary.feed.due_at())
    }

    /// Whether this process is primary and its lease is valid.
    pub fn is_acting(&self, now: Duration) -> bool {
        self.primary.is_some() && self.group.is_acting(now)
    }

    /// Whether this process is primary, with a valid lease or without.
    pub fn is_primary(&self) -> bool {
        self.primary.is_some()
    }

    /// Whether this process acts as primary, or another primary is known to be live.
    pub fn is_primary_known(&self, now: Duration) -> bool {
        self.is_acting(now) || self.live_primary(now).is_some()
    }

    /// The replicated state, as far as it is committed here.
    pub fn state(&self) -> &ControlState {
        self.group.state()
    }

    /// The newest epoch record known here.
    pub fn record(&self) -> &EpochRecord {
        self.group.record()
    }

    /// The registrations known here.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// The records that replace the disk's log; `None` while it must not be replaced.
    pub fn checkpoint(&self) -> Option<Vec<ControlRecord>> {
        self.group.checkpoint()
    }

    /// The primary, if it is another process.
    pub(super) fn other_primary(&self) -> Option<&Member> {
        let record = self.group.record();
        let primary = record.primary;
        if primary == DiskId::default() || primary == self.settings.me.disk {
            return None;
        }
        members_of(record).find(|member| member.disk == primary)
    }

    /// The primary, if it is another process that has sent something lately.
    pub(super) fn live_primary(&self, now: Duration) -> Option<&Member> {
        let primary = self.other_primary()?;
        (self.peers.last_message_age(now, primary.disk)? < PRIMARY_TIMEOUT).then_some(primary)
    }
}
