//! Anti-entropy: exchange of pages of the member list, and reconnection to dead members and seeds.

use crate::{
    exchange_state::ReceivedPage, member::Update, membership::Membership, message::Message, output::Output,
};
use rand::seq::IteratorRandom;
use std::net::SocketAddrV4;

/// Upper bound on the updates in a page. More do not fit into a datagram.
const MAX_PAGE_UPDATES: usize = 80;

impl Membership {
    /// Pings a random one of the dead members and the seeds that are not known to be present.
    ///
    /// If `is_alone`, pings all these seeds instead and asks them for their member lists.
    pub(crate) fn reconnect(&mut self, is_alone: bool) {
        let is_present = |address: &SocketAddrV4| {
            *address == self.local.address
                || self.table.find_by_address(*address).is_some_and(|entry| entry.update.state.is_present())
        };
        let mut addresses: Vec<SocketAddrV4> =
            self.settings.seeds.iter().copied().filter(|address| !is_present(address)).collect();
        if !is_alone {
            addresses.extend(self.table.dead_members().map(|member| member.address));
            addresses = addresses.into_iter().sample(&mut self.random, 1);
        }
        for address in addresses {
            let local = self.local_update();
            let ping = Message::Ping { sequence: self.next_sequence(), name: String::new() };
            let known = self.table.find_by_address(address).map(|entry| &entry.update);
            let (datagram, _) = ping.encode([&local].into_iter().chain(known));
            self.outputs.push(Output::Send { to: address, datagram });
            if is_alone {
                self.send_to(address, &Message::PageRequest { after: String::new() });
            }
        }
    }

    /// Requests the next page of the member list from a random member.
    pub(crate) fn request_page(&mut self) {
        let target = self.table.present_members().map(|member| member.address).choose(&mut self.random);
        if let Some(to) = target {
            self.send_to(to, &Message::PageRequest { after: self.exchange.page_after().to_owned() });
        }
    }

    /// Sends the page of the member list that starts after the given name.
    pub(crate) fn send_page(&mut self, to: SocketAddrV4, after: &str) {
        let local = self.local_update();
        let entries: Vec<&Update> =
            self.table.entries_after(after).map(|entry| &entry.update).take(MAX_PAGE_UPDATES).collect();
        let updates = || [&local].into_iter().chain(entries.iter().copied());
        let (_, count) = Message::Page { is_last: false }.encode(updates());
        let (datagram, _) = Message::Page { is_last: count > entries.len() }.encode(updates());
        self.outputs.push(Output::Send { to, datagram });
    }

    /// Handles a received page. In a full pass, the next page is requested at once.
    pub(crate) fn on_page(&mut self, from: SocketAddrV4, page: ReceivedPage) {
        if self.exchange.on_page(page) {
            self.send_to(from, &Message::PageRequest { after: self.exchange.page_after().to_owned() });
        }
    }
}
