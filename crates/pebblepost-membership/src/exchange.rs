//! Anti-entropy: pages of the member list are exchanged, dead members and seeds contacted again.

use crate::{
    exchange_state::ReceivedPage, member::Update, membership::Membership, message::Message, output::Output,
};
use rand::seq::IteratorRandom;
use std::net::SocketAddrV4;

/// More updates than this don't fit into a page.
const MAX_PAGE_UPDATES: usize = 80;

impl Membership {
    /// Pings a member that is known as dead, or a seed that is not known to be present. `is_alone`:
    /// all seeds, and asks them for their member list.
    pub(crate) fn reconnect(&mut self, is_alone: bool) {
        let is_present = |address: &SocketAddrV4| {
            *address == self.local.address
                || self.table.at_address(*address).is_some_and(|entry| entry.update.state.is_present())
        };
        let mut addresses: Vec<SocketAddrV4> =
            self.settings.seeds.iter().copied().filter(|address| !is_present(address)).collect();
        if !is_alone {
            addresses.extend(self.table.dead().map(|member| member.address));
            addresses = addresses.into_iter().sample(&mut self.random, 1);
        }
        for address in addresses {
            let local = self.local_update();
            let ping = Message::Ping { sequence: self.next_sequence(), name: String::new() };
            let known = self.table.at_address(address).map(|entry| &entry.update);
            let (datagram, _) = ping.encode([&local].into_iter().chain(known));
            self.outputs.push(Output::Send { to: address, datagram });
            if is_alone {
                self.send_to(address, &Message::PageRequest { after: String::new() });
            }
        }
    }

    /// Asks a random member for the next page of its list.
    pub(crate) fn request_page(&mut self) {
        let target = self.table.present().map(|member| member.address).choose(&mut self.random);
        if let Some(to) = target {
            self.send_to(to, &Message::PageRequest { after: self.exchange.page_after().to_owned() });
        }
    }

    /// Sends the page of the member list that starts after a name.
    pub(crate) fn send_page(&mut self, to: SocketAddrV4, after: &str) {
        let local = self.local_update();
        let entries: Vec<&Update> =
            self.table.after(after).map(|entry| &entry.update).take(MAX_PAGE_UPDATES).collect();
        let updates = || [&local].into_iter().chain(entries.iter().copied());
        let (_, count) = Message::Page { last: false }.encode(updates());
        let (datagram, _) = Message::Page { last: count > entries.len() }.encode(updates());
        self.outputs.push(Output::Send { to, datagram });
    }

    /// A page has arrived: in a full pass, the next one is requested at once.
    pub(crate) fn on_page(&mut self, from: SocketAddrV4, page: ReceivedPage) {
        if self.exchange.on_page(page) {
            self.send_to(from, &Message::PageRequest { after: self.exchange.page_after().to_owned() });
        }
    }
}
