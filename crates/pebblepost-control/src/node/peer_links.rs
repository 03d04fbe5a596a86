//! Links from this process to other control processes, and the subscription to the primary's feed on one of them.

use super::events::Output;
use pebblepost_messages::Member;
use pebblepost_messages::control::{SubscriberRole, ToControl};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A link on which nothing was sent for this long gets a keep-alive.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(700);
/// The same for a primary: the others must know soon that it has failed, also those that hold no replica and so get no
/// heartbeats of the replication.
const PRIMARY_KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(200);
/// Backoff after a process that seemed to be the primary rejected the subscription.
const SUBSCRIBE_BACKOFF: Duration = Duration::from_millis(300);

#[derive(Debug, Default)]
struct PeerLink {
    is_subscribed: bool,
    /// No subscription before this time.
    subscribe_at: Duration,
    last_sent: Duration,
}

/// All links to other control processes.
#[derive(Debug, Default)]
pub(super) struct PeerLinks {
    /// Links that are up, by address.
    links: BTreeMap<String, PeerLink>,
    /// Addresses to keep links to.
    dialed: BTreeSet<String>,
}

impl PeerLinks {
    /// A link is up; introduces this process.
    pub(super) fn connected(&mut self, now: Duration, address: &str, me: &Member, outputs: &mut Vec<Output>) {
        let message = ToControl::PeerHello { member: me.clone() };
        outputs.push(Output::SendPeer { address: address.to_owned(), message });
        self.links.insert(address.to_owned(), PeerLink { last_sent: now, ..PeerLink::default() });
    }

    pub(super) fn disconnected(&mut self, address: &str) {
        self.links.remove(address);
    }

    /// Whether a link is up.
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
            // The configuration comes by replication.
            generation: u64::MAX,
        };
        outputs.push(Output::SendPeer { address: address.to_owned(), message });
    }

    /// The process at `address` is not primary; subscribes again after a backoff if it still seems to be.
    pub(super) fn subscription_rejected(&mut self, now: Duration, address: &str) {
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

    /// Changes the addresses to keep links to, if they differ.
    pub(super) fn dial(&mut self, addresses: BTreeSet<String>, outputs: &mut Vec<Output>) {
        if addresses != self.dialed {
            self.dialed.clone_from(&addresses);
            outputs.push(Output::DialPeers(addresses));
        }
    }
}
