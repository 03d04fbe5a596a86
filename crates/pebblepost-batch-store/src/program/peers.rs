//! Links that this machine opens to other storage machines, one to each.

use super::links::{CONNECT, MOST_FRAME_BYTES, SILENCE};
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
    max_frame_bytes: MOST_FRAME_BYTES,
    max_queued_bytes: 64 * 1024 * 1024,
    connect_timeout: CONNECT,
    read_timeout: SILENCE,
};
/// Pause after a failure before the next connection is opened.
const PAUSE: Duration = Duration::from_millis(200);

/// Messages that wait for a link that is being opened; later ones are dropped.
const MOST_WAITING: usize = 32;

#[derive(Debug)]
enum State {
    /// Messages wait for the link.
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
    /// Something was sent since the last keep-alive was due.
    is_used: bool,
}

type SharedPeers = Rc<RefCell<BTreeMap<DiskId, Peer>>>;

/// Links to other storage machines.
#[derive(Debug)]
pub(super) struct Peers {
    me: Member,
    peers: SharedPeers,
}

impl Peers {
    pub(super) fn new(me: Member) -> Peers {
        Peers { me, peers: SharedPeers::default() }
    }

    /// Sends a message, or opens a link if there is none: the first messages wait for it, others are
    /// dropped, as senders try again.
    pub(super) fn send(&self, member: &Member, message: &ToStore) {
        let mut peers = self.peers.borrow_mut();
        let new = || Peer {
            address: member.address.clone(),
            state: State::Down { retry_at: Instant::now() },
            is_used: false,
        };
        let peer = peers.entry(member.disk).or_insert_with(new);
        if let State::Up(sender) = &peer.state
            && peer.address == member.address
            && sender.send(message)
        {
            peer.is_used = true;
            return;
        }
        let may_connect = match &mut peer.state {
            State::Connecting(waiting) => {
                if waiting.len() < MOST_WAITING && peer.address == member.address {
                    waiting.push(message.clone());
                }
                false
            }
            State::Up(_) => true,
            State::Down { retry_at } => Instant::now() >= *retry_at,
        };
        if may_connect {
            peer.address.clone_from(&member.address);
            peer.state = State::Connecting(vec![message.clone()]);
            spawn_local(run(Rc::clone(&self.peers), self.me.clone(), member.clone()));
        }
    }

    /// Sends a sign of life over links that were not used lately.
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

/// Opens a link and keeps it until it ends.
async fn run(peers: SharedPeers, me: Member, member: Member) {
    let ended = match open(&me, &member).await {
        Ok((sender, receiver)) => {
            set_state(&peers, &member, State::Up(sender));
            read(receiver).await
        }
        Err(error) => error,
    };
    log::debug!("storage machine {}: {ended:#}", member.node);
    set_state(&peers, &member, State::Down { retry_at: Instant::now() + PAUSE });
}

async fn open(me: &Member, member: &Member) -> Result<(Sender, Receiver)> {
    let address: SocketAddr =
        member.address.parse().wrap_err_with(|| format!("reading the address {:?}", member.address))?;
    let (sender, receiver) = connect(address, LIMITS).await?;
    sender.send(&ToStore::PeerHello { member: me.clone() });
    Ok((sender, receiver))
}

/// Reads the signs of life until the link ends; why it did.
async fn read(mut receiver: Receiver) -> eyre::Report {
    loop {
        if let Err(error) = receiver.receive::<FromStore>().await {
            return error.into();
        }
    }
}

/// Notes the state of a link, unless the machine has moved to another address meanwhile.
fn set_state(peers: &SharedPeers, member: &Member, state: State) {
    if let Some(peer) = peers.borrow_mut().get_mut(&member.disk)
        && peer.address == member.address
    {
        let former = std::mem::replace(&mut peer.state, state);
        if let (State::Connecting(waiting), State::Up(sender)) = (former, &peer.state) {
            for message in &waiting {
                sender.send(message);
            }
        }
    }
}
