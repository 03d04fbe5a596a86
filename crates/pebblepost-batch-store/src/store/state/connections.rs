//! The links that other programs opened to this store, and the programs at the other end.

use super::outbox::LinkId;
use pebblepost_messages::Member;
use std::collections::BTreeMap;

/// The program at the other end of a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RemoteProgram {
    /// The program has not sent a hello message.
    Unidentified,
    /// A proxy with the name of its machine.
    Proxy(String),
    /// Another storage machine.
    Peer(Member),
}

/// Open links.
#[derive(Debug, Default)]
pub(crate) struct Connections {
    links: BTreeMap<LinkId, RemoteProgram>,
}

impl Connections {
    /// Adds a link, or sets the program at the other end of a known one.
    pub(crate) fn insert(&mut self, link: LinkId, remote: RemoteProgram) {
        self.links.insert(link, remote);
    }

    pub(crate) fn remove(&mut self, link: LinkId) -> Option<RemoteProgram> {
        self.links.remove(&link)
    }

    /// Returns the program at the other end of an open link.
    pub(crate) fn get(&self, link: LinkId) -> Option<&RemoteProgram> {
        self.links.get(&link)
    }

    /// Returns the links of all proxies.
    pub(crate) fn proxy_links(&self) -> Vec<LinkId> {
        let is_proxy = |remote: &RemoteProgram| matches!(remote, RemoteProgram::Proxy(_));
        self.links.iter().filter(|(_, remote)| is_proxy(remote)).map(|(link, _)| *link).collect()
    }

    /// Returns the number of links that other storage machines opened.
    pub(crate) fn peer_count(&self) -> usize {
        self.links.values().filter(|remote| matches!(remote, RemoteProgram::Peer(_))).count()
    }
}
