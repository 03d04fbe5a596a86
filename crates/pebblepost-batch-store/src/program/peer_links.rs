//! Links that this machine opens to the other storage machines, one to each.

use super::inbound_links::{CONNECT_TIMEOUT, MAX_FRAME_BYTES, READ_TIMEOUT};
use eyre::{Result, WrapErr};
use pebblepost_link::{LinkLimits, Receiver, SendOutcome, Sender, connect};
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
const PEER_LINK_LIMITS: LinkLimits = LinkLimits {
    max_frame_bytes: MAX_FRAME_BYTES,
    max_queued_bytes: 64 * 1024 * 1024,
    connect_timeout: CONNECT_TIMEOUT,
    read_timeout: READ_TIMEOUT,
};
/// Delay after a link is lost, or could not be opened, before it may be opened again.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);

/// Maximum number of messages queued while a link is being opened. Further messages are dropped.
const MAX_QUEUED_MESSAGES_PER_PEER: usize = 32;

#[derive(Debug)]
enum LinkState {
    /// The link is being opened; the messages are sent once it is open.
    Connecting(Vec<ToStore>),
    Connected(Sender),
    Disconnected {
        retry_at: Instant,
    },
}

#[derive(Debug)]
struct Peer {
    address: String,
    state: LinkState,
    /// Whether a message was sent since the last round of keep-alives.
    was_used: bool,
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

    /// Sends a message to another storage machine. Opens a link if there is none, at the earliest
    /// [`RECONNECT_DELAY`] after the last one was lost.
    ///
    /// While the link is being opened, up to [`MAX_QUEUED_MESSAGES_PER_PEER`] messages are queued.
    /// Messages that can be neither sent nor queued are dropped; the senders retry. So are messages for which
    /// the link has no room: large entries of several store groups together may exceed its limit, and closing
    /// it would lose the heartbeats of all groups.
    pub(super) fn send(&self, member: &Member, message: &ToStore) {
        let mut peers = self.peers.borrow_mut();
        let disconnected = || Peer {
            address: member.address.clone(),
            state: LinkState::Disconnected { retry_at: Instant::now() },
            was_used: false,
        };
        let peer = peers.entry(member.disk).or_insert_with(disconnected);
        if let LinkState::Connected(sender) = &peer.state
            && peer.address == member.address
            && sender.send_if_room(message) != SendOutcome::Closed
        {
            peer.was_used = true;
            return;
        }
        let may_connect = match &mut peer.state {
            LinkState::Connecting(queued) => {
                if queued.len() < MAX_QUEUED_MESSAGES_PER_PEER && peer.address == member.address {
                    queued.push(message.clone());
                }
                false
            }
            LinkState::Connected(_) => true,
            LinkState::Disconnected { retry_at } => Instant::now() >= *retry_at,
        };
        if may_connect {
            peer.address.clone_from(&member.address);
            peer.state = LinkState::Connecting(vec![message.clone()]);
            spawn_local(run_link(Rc::clone(&self.peers), self.local.clone(), member.clone()));
        }
    }

    /// Sends a keep-alive over each link that was not used since the last call.
    pub(super) fn send_keep_alives(&self) {
        for peer in self.peers.borrow_mut().values_mut() {
            let was_used = std::mem::take(&mut peer.was_used);
            if let LinkState::Connected(sender) = &peer.state
                && !was_used
            {
                sender.send(&ToStore::KeepAlive);
            }
        }
    }
}

/// Opens a link and keeps it open until it is lost.
async fn run_link(peers: SharedPeerLinks, local: Member, member: Member) {
    let reason = match open_link(&local, &member).await {
        Ok((sender, receiver)) => {
            set_state(&peers, &member, LinkState::Connected(sender));
            receive_until_lost(receiver).await
        }
        Err(error) => error,
    };
    log::debug!("link to storage machine lost or not opened node={} reason={reason:#}", member.node);
    set_state(&peers, &member, LinkState::Disconnected { retry_at: Instant::now() + RECONNECT_DELAY });
}

async fn open_link(local: &Member, member: &Member) -> Result<(Sender, Receiver)> {
    let address: SocketAddr =
        member.address.parse().wrap_err_with(|| format!("parsing the address {:?}", member.address))?;
    let (sender, receiver) = connect(address, PEER_LINK_LIMITS).await?;
    sender.send(&ToStore::PeerHello { member: local.clone() });
    Ok((sender, receiver))
}

/// Receives and discards messages, which keep the link alive. Returns the error when the link is lost.
async fn receive_until_lost(mut receiver: Receiver) -> eyre::Report {
    loop {
        if let Err(error) = receiver.receive::<FromStore>().await {
            return error.into();
        }
    }
}

/// Sets the state of a link and sends the queued messages if it is open now.
///
/// The call is ignored if the machine's address has changed since the link was opened.
fn set_state(peers: &SharedPeerLinks, member: &Member, state: LinkState) {
    if let Some(peer) = peers.borrow_mut().get_mut(&member.disk)
        && peer.address == member.address
    {
        let previous = std::mem::replace(&mut peer.state, state);
        if let (LinkState::Connecting(queued), LinkState::Connected(sender)) = (previous, &peer.state) {
            for message in &queued {
                sender.send_if_room(message);
            }
        }
    }
}
