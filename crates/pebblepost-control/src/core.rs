//! The control process without I/O: everything that happens comes in as an [`Input`], everything
//! that has to be done goes out as an [`Output`].
//!
//! * `calls`: calls over HTTP.
//! * `early`: links and calls that come before there is a primary.
//! * `links`: subscribers, storage machines and other control processes.
//! * `group`: the epoch register and the replica of the control state.
//! * `primary`: what only the acting primary does.

mod calls;
mod early;
mod group;
mod links;
mod primary;
mod status;

use crate::api::{HttpRequest, HttpResponse};
use crate::feed::ConnectionId;
use crate::membership::Peers;
use crate::membership::bootstrap::bootstrap_record;
use crate::registry::Registry;
use crate::state::ControlState;
use crate::state::disk_record::{ControlRecord, RecoveredState};
use calls::Waiting;
use group::Group;
use links::{Connection, PeerLink};
use pebblepost_messages::control::{FromControl, ToControl};
use pebblepost_messages::{DiskId, Member};
use pebblepost_replication::record::{EpochRecord, Tolerance};
use pebblepost_rollout::{Order, OrderAnswer, Reported};
use pebblepost_settings::Settings;
use primary::Primary;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Number of a call of this process.
pub type RequestId = u64;

/// How often links, registrations and peers are looked over.
const LOOK_OVER: Duration = Duration::from_millis(250);

/// Something that happened.
#[derive(Debug)]
pub enum Input {
    /// A call over HTTP.
    Request {
        /// Its number.
        id: RequestId,
        /// The call.
        request: HttpRequest,
    },
    /// A message on a link that another program opened.
    Message {
        /// The link.
        connection: ConnectionId,
        /// The message.
        message: ToControl,
    },
    /// A link that another program opened has ended.
    Closed {
        /// The link.
        connection: ConnectionId,
    },
    /// The link to another control process is up.
    PeerUp {
        /// Its address, as it was dialed.
        address: String,
    },
    /// A message on the link to another control process.
    PeerMessage {
        /// Its address, as it was dialed.
        address: String,
        /// The message.
        message: FromControl,
    },
    /// The link to another control process has ended.
    PeerDown {
        /// Its address, as it was dialed.
        address: String,
    },
    /// Records are on disk, up to this write.
    Written {
        /// Number of the write.
        write: u64,
    },
    /// An order was answered.
    OrderAnswered {
        /// The order.
        order: Order,
        /// The answer.
        answer: OrderAnswer,
    },
    /// A report came, or failed.
    Reported {
        /// Identity of the transcriber.
        instance: String,
        /// The report.
        report: Option<Reported>,
    },
    /// The settings name other seeds now.
    Seeds(Vec<SocketAddr>),
    /// This process is to end: a primary hands over.
    Terminate,
    /// Time passed.
    Tick,
}

/// Something that has to be done.
#[derive(Debug, PartialEq)]
pub enum Output {
    /// Respond to a request.
    Respond {
        /// Number of the call.
        id: RequestId,
        /// The answer.
        response: HttpResponse,
    },
    /// Send on a link that another program opened.
    Send {
        /// The link.
        connection: ConnectionId,
        /// The message.
        message: FromControl,
    },
    /// Close a link that another program opened, after what was sent on it.
    Close {
        /// The link.
        connection: ConnectionId,
    },
    /// Send on the link to another control process, if it is up.
    SendPeer {
        /// Its address.
        address: String,
        /// The message.
        message: ToControl,
    },
    /// Keep links to these addresses, and to no others.
    Dial(BTreeSet<String>),
    /// Open the link to this address now, if it is wanted and not up: the process there has just been heard.
    DialNow(String),
    /// Append records to the disk; answer with [`Input::Written`].
    Append {
        /// Number of the write; rises.
        write: u64,
        /// The records.
        records: Vec<ControlRecord>,
    },
    /// Send an order to a transcriber; answer with [`Input::OrderAnswered`].
    SendOrder {
        /// The order.
        order: Order,
        /// Its body, JSON.
        body: Vec<u8>,
        /// The time by which the lease was looked at.
        decided: Duration,
    },
    /// Ask a transcriber for its report; answer with [`Input::Reported`].
    AskReport {
        /// Identity of the transcriber.
        instance: String,
        /// Its address.
        address: String,
    },
}

/// What a control process has to know of its machine and its deployment.
#[derive(Clone, Debug)]
pub struct CoreSettings {
    /// This machine and its disk.
    pub me: Member,
    /// Where this process takes calls. The port is the same on all machines.
    pub control: SocketAddr,
    /// Port of links between programs.
    pub link_port: u16,
    /// Control addresses of the seeds.
    pub seeds: Vec<SocketAddr>,
    /// This disk may found the group if it holds nothing.
    pub founder: bool,
    /// What must be borne.
    pub tolerance: Tolerance,
    /// Pause between a transcriber's announcements.
    pub heartbeat: Duration,
    /// Orders of two holders are this far apart.
    pub order_lease: Duration,
    /// Seed of the random numbers.
    pub random: u64,
}

impl CoreSettings {
    /// From the settings file, for a process whose disk has this identity.
    pub fn new(settings: &Settings, control: SocketAddr, disk: DiskId, founder: bool, random: u64) -> Self {
        let me = Member {
            disk,
            node: settings.node_name.clone(),
            address: SocketAddr::new(control.ip(), settings.control_link_port()).to_string(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
        };
        let tolerate = settings.tolerance;
        CoreSettings {
            me,
            control,
            link_port: settings.control_link_port(),
            seeds: settings.seeds.clone(),
            founder,
            tolerance: Tolerance {
                machines: tolerate.machines,
                zones: tolerate.zones,
                regions: tolerate.regions,
            },
            heartbeat: settings.heartbeat,
            order_lease: settings.bounds.lease,
            random,
        }
    }

    /// Witnesses that outvote what may be lost at once.
    pub(crate) fn wanted_witnesses(&self) -> usize {
        2 * self.tolerance.machines.max(self.tolerance.zones).max(self.tolerance.regions) + 1
    }

    fn seed_links(&self) -> impl Iterator<Item = String> + use<> {
        let port = self.link_port;
        let seeds = self.seeds.clone();
        seeds.into_iter().map(move |seed| SocketAddr::new(seed.ip(), port).to_string())
    }
}

/// A control process without I/O.
#[derive(Debug)]
pub struct Core {
    settings: CoreSettings,
    group: Group,
    peers: Peers,
    peer_links: BTreeMap<String, PeerLink>,
    connections: BTreeMap<ConnectionId, Connection>,
    early: early::Waiting,
    registry: Registry,
    proxy_count: u32,
    primary: Option<Primary>,
    waiting: BTreeMap<RequestId, Waiting>,
    dialed: BTreeSet<String>,
    told_members: Vec<String>,
    look_over_at: Duration,
    outputs: Vec<Output>,
}

impl Core {
    /// A process with what its disk held.
    pub fn new(now: Duration, settings: CoreSettings, recovered: RecoveredState) -> Core {
        let founding = recovered
            .bootstrap
            .clone()
            .or_else(|| settings.founder.then(|| bootstrap_record(&settings.seeds, settings.link_port)));
        let is_first_start = settings.founder && recovered.bootstrap.is_none();
        let peers = Peers::new(now, settings.me.clone(), settings.seed_links());
        let mut core = Core {
            group: Group::new(now, &settings, recovered, founding.clone()),
            peers,
            peer_links: BTreeMap::new(),
            connections: BTreeMap::new(),
            early: early::Waiting::default(),
            registry: Registry::new(settings.heartbeat),
            proxy_count: 0,
            primary: None,
            waiting: BTreeMap::new(),
            dialed: BTreeSet::new(),
            told_members: Vec::new(),
            look_over_at: now,
            outputs: Vec::new(),
            settings,
        };
        if let Some(record) = founding.filter(|_| is_first_start) {
            core.group.write_founding(record, &mut core.outputs);
        }
        core
    }

    /// Something happened.
    pub fn handle(&mut self, now: Duration, input: Input) {
        match input {
            Input::Request { id, request: call } => self.call(now, id, &call),
            Input::Message { connection, message } => self.message(now, connection, message),
            Input::Closed { connection } => self.closed(now, connection),
            Input::PeerUp { address } => self.peer_up(now, address),
            Input::PeerMessage { address, message } => self.peer_message(now, &address, message),
            Input::PeerDown { address } => self.peer_down(&address),
            Input::Written { write } => self.group.written(now, write),
            Input::OrderAnswered { order, answer } => self.order_answered(now, &order, answer),
            Input::Reported { instance, report } => self.reported(now, &instance, report),
            Input::Seeds(seeds) => self.change_seeds(seeds),
            Input::Terminate => self.group.hand_over(now),
            Input::Tick => self.tick(now),
        }
        self.settle(now);
    }

    /// Takes what has to be done, in its order.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// When [`Input::Tick`] is wanted earlier than usual.
    pub fn due_at(&self) -> Option<Duration> {
        self.primary.as_ref().and_then(|primary| primary.feed.due_at())
    }

    /// Whether this process is primary under a fresh lease.
    pub fn is_acting(&self, now: Duration) -> bool {
        self.primary.is_some() && self.group.replica.is_acting(now)
    }

    /// Whether this process is primary, with a lease or without.
    pub fn is_primary(&self) -> bool {
        self.primary.is_some()
    }

    /// Whether this process is primary under a fresh lease, or has heard another primary lately.
    pub fn knows_primary(&self, now: Duration) -> bool {
        self.is_acting(now) || self.live_primary(now).is_some()
    }

    /// The replicated state, as far as it is committed here.
    pub fn state(&self) -> &ControlState {
        self.group.replica.state()
    }

    /// Newest epoch record known here.
    pub fn record(&self) -> &EpochRecord {
        self.group.replica.record()
    }

    /// Registrations known here.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Records that say all that the disk has to hold now; `None` where what it holds must stay as it is.
    pub fn checkpoint(&self) -> Option<Vec<ControlRecord>> {
        self.group.checkpoint()
    }

    fn change_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.settings.seeds = seeds;
        self.peers.set_seeds(self.settings.seed_links());
    }

    fn tick(&mut self, now: Duration) {
        self.tick_group(now);
        self.tick_primary(now);
        self.give_up_calls(now);
        if now >= self.look_over_at {
            self.look_over_at = now + LOOK_OVER;
            self.look_over(now);
        }
    }

    fn tick_group(&mut self, now: Duration) {
        if self.primary.is_none() {
            self.group.replica.set_reachable(self.peers.reachable(now));
        }
        self.group.tick(now);
    }

    fn look_over(&mut self, now: Duration) {
        self.peers.expire(now, self.group.replica.record());
        self.keep_links_alive(now);
        self.tell_members(now);
        self.follow_primary(now);
        self.look_over_primary(now);
    }

    /// Carries out everything that follows from the last input.
    fn settle(&mut self, now: Duration) {
        self.settle_group(now);
        self.settle_early(now);
        self.settle_primary(now);
        self.settle_calls(now);
        self.dial();
    }

    fn dial(&mut self) {
        let wanted = self.peers.addresses_to_dial(self.group.replica.record());
        if wanted != self.dialed {
            self.dialed.clone_from(&wanted);
            self.outputs.push(Output::Dial(wanted));
        }
    }
}
