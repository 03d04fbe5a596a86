//! Links from this node to other control nodes, and the subscription to the primary's feed on one of them.

use super::events::Output;
use pebblepost_messages::Member;
use pebblepost_messages::control::{SubscriberRole, ToControl};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time without an outgoing message after which a standby sends a keep-alive on a link.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(700);
/// Time without an outgoing message after which a primary sends a keep-alive on a link. It is shorter because other
/// nodes have to detect the failure of a primary soon, including those without a replica, which get no replication
/// heartbeats.
const PRIMARY_KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(200);
/// Backoff after a node rejected a subscription because it is not the primary.
const SUBSCRIBE_BACKOFF: Duration = Duration::from_millis(300);

#[derive(Debug, Default)]
struct PeerLink {
    is_subscribed: bool,
    /// Time before which no subscription is attempted.
    subscribe_at: Duration,
    last_sent: Duration,
}

/// All links to other control nodes.
#[derive(Debug, Default)]
pub(super) struct PeerLinks {
    /// Links that are up, by address.
    links: BTreeMap<String, PeerLink>,
    /// Addresses to which links are maintained.
    link_addresses: BTreeSet<String>,
}

impl PeerLinks {
    /// Adds a link that is up, and identifies this node on it.
    pub(super) fn add(&mut self, now: Duration, address: &str, me: &Member, outputs: &mut Vec<Output>) {
        let message = ToControl::PeerHello { member: me.clone() };
        outputs.push(Output::SendPeer { address: address.to_owned(), message });
        self.links.insert(address.to_owned(), PeerLink { last_sent: now, ..PeerLink::default() });
    }

    pub(super) fn remove(&mut self, address: &str) {
        self.links.remove(address);
    }

    /// Returns whether the link to `address` is up.
    pub(super) fn is_connected(&self, address: &str) -> bool {
        self.links.contains_key(address)
    }

    /// Subscribes to the feed of the primary at `address`, if the link is up and not subscribed.
    pub(super) fn subscribe(&mut self, now: Duration, address: &str, me: &Member, outputs: &mut Vec<Output>) {
        let Some(link) = self.links.get_mut(address) else { return };
        if link.is_subscribed || now < link.subscribe_at {
            return;
        }
        link.is_subscribed = true;
        link.last_sent = now;
        let message = ToControl::Subscribe {
            node: me.node.clone(),
            zone: me.zone.clone(),
            role: SubscriberRole::Standby,
            // The highest version asks for no configuration: a standby receives it by replication.
            generation: u64::MAX,
        };
        outputs.push(Output::SendPeer { address: address.to_owned(), message });
    }

    /// Records that the node at `address` rejected the subscription because it is not the primary. The next attempt
    /// follows after a backoff.
    pub(super) fn record_rejected_subscription(&mut self, now: Duration, address: &str) {
        if let Some(link) = self.links.get_mut(address) {
            link.is_subscribed = false;
            link.subscribe_at = now + SUBSCRIBE_BACKOFF;
        }
    }

    pub(super) fn send(
        &mut self, now: Duration, address: &str, message: ToControl, outputs: &mut Vec<Output>,
    ) {
        outputs.push(Output::SendPeer { address: address.to_owned(), message });
        if let Some(link) = self.links.get_mut(address) {
            link.last_sent = now;
        }
    }

    /// Sends keep-alives on idle links.
    pub(super) fn send_keep_alives(&mut self, now: Duration, is_primary: bool, outputs: &mut Vec<Output>) {
        let interval = if is_primary { PRIMARY_KEEP_ALIVE_INTERVAL } else { KEEP_ALIVE_INTERVAL };
        for (address, link) in &mut self.links {
            if now.saturating_sub(link.last_sent) >= interval {
                link.last_sent = now;
                outputs.push(Output::SendPeer { address: address.clone(), message: ToControl::KeepAlive });
            }
        }
    }

    /// Sets the addresses to which links are maintained, and requests the change if they differ from the current ones.
    pub(super) fn set_addresses(&mut self, addresses: BTreeSet<String>, outputs: &mut Vec<Output>) {
        if addresses != self.link_addresses {
            self.link_addresses.clone_from(&addresses);
            outputs.push(Output::DialPeers(addresses));
        }
    }
}
