//! Links that this machine opens to other storage machines, one to each.

use super::inbound_links::{CONNECT_TIMEOUT, MAX_FRAME_BYTES, READ_TIMEOUT};
use eyre::{Result, WrapErr};
use pebblepost_link::{LinkLimits, Receiver, Sender, connect};
use pebblepost_messages::batch::{FromStore, ToStore};
use pebblepost_messages::{DiskId, Member};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// Limits of links to other storage machines.
const LIMITS: LinkLimits = LinkLimits {
    max_frame_bytes: MAX_FRAME_BYTES,
    max_queued_bytes: 64 * 1024 * 1024,
    connect_timeout: CONNECT_TIMEOUT,
    read_timeout: READ_TIMEOUT,
};
/// Delay after a failure before the next connection is opened.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);

/// Most messages queued for a link that is being opened; later ones are dropped.
const MAX_QUEUED_MESSAGES: usize = 32;

#[derive(Debug)]
enum State {
    /// Messages are queued until the link is up.
    Connecting(Vec<ToStore>),
    Up(Sender),
    Down {
        retry_at: Instant,
    },
}

#[derive(Debug)]
struct Peer {
    address: String,
    state: State,
    /// Something was sent since keep-alives were due last.
    is_used: bool,
}

type SharedPeerLinks = Rc<RefCell<BTreeMap<DiskId, Peer>>>;

/// Links to other storage machines.
#[derive(Debug)]
pub(super) struct PeerLinks {
    local: Member,
    peers: SharedPeerLinks,
}

impl PeerLinks {
    pub(super) fn new(local: Member) -> PeerLinks {
        PeerLinks { local, peers: SharedPeerLinks::default() }
    }

    /// Sends a message, or opens a link if there is none: the first messages are queued until it is up,
    /// others are dropped, as senders retry.
    pub(super) fn send(&self, member: &Member, message: &ToStore) {
        let mut peers = self.peers.borrow_mut();
        let disconnected = || Peer {
            address: member.address.clone(),
            state: State::Down { retry_at: Instant::now() },
            is_used: false,
        };
        let peer = peers.entry(member.disk).or_insert_with(disconnected);
        if let State::Up(sender) = &peer.state
            && peer.address == member.address
            && sender.send(message)
        {
            peer.is_used = true;
            return;
        }
        let may_connect = match &mut peer.state {
            State::Connecting(queued) => {
                if queued.len() < MAX_QUEUED_MESSAGES && peer.address == member.address {
                    queued.push(message.clone());
                }
                false
            }
            State::Up(_) => true,
            State::Down { retry_at } => Instant::now() >= *retry_at,
        };
        if may_connect {
            peer.address.clone_from(&member.address);
            peer.state = State::Connecting(vec![message.clone()]);
            spawn_local(run(Rc::clone(&self.peers), self.local.clone(), member.clone()));
        }
    }

    /// Sends a keep-alive over each link that was not used since the last call.
    pub(super) fn keep_alive(&self) {
        for peer in self.peers.borrow_mut().values_mut() {
            let is_used = std::mem::take(&mut peer.is_used);
            if let State::Up(sender) = &peer.state
                && !is_used
            {
                sender.send(&ToStore::KeepAlive);
            }
        }
    }
}

/// Opens a link and serves it until it is lost.
async fn run(peers: SharedPeerLinks, local: Member, member: Member) {
    let reason = match open(&local, &member).await {
        Ok((sender, receiver)) => {
            set_state(&peers, &member, State::Up(sender));
            read(receiver).await
        }
        Err(error) => error,
    };
    log::debug!("link to storage machine lost node={} reason={reason:#}", member.node);
    set_state(&peers, &member, State::Down { retry_at: Instant::now() + RECONNECT_DELAY });
}

async fn open(local: &Member, member: &Member) -> Result<(Sender, Receiver)> {
    let address: SocketAddr =
        member.address.parse().wrap_err_with(|| format!("reading the address {:?}", member.address))?;
    let (sender, receiver) = connect(address, LIMITS).await?;
    sender.send(&ToStore::PeerHello { member: local.clone() });
    Ok((sender, receiver))
}

/// Reads keep-alives until the link is lost; the reason.
async fn read(mut receiver: Receiver) -> eyre::Report {
    loop {
        if let Err(error) = receiver.receive::<FromStore>().await {
            return error.into();
        }
    }
}

/// Sets the state of a link, unless the machine has moved to another address meanwhile.
fn set_state(peers: &SharedPeerLinks, member: &Member, state: State) {
    if let Some(peer) = peers.borrow_mut().get_mut(&member.disk)
        && peer.address == member.address
    {
        let former = std::mem::replace(&mut peer.state, state);
        if let (State::Connecting(queued), State::Up(sender)) = (former, &peer.state) {
            for message in &queued {
                sender.send(message);
            }
        }
    }
}
