//! Failure detection: in each period one member is probed, first directly and then through other members.

use crate::{
    member::{Member, MemberState, Update},
    membership::Membership,
    message::Message,
    probe_state::Probe,
};
use rand::seq::IteratorRandom;
use std::{net::SocketAddrV4, time::Duration};

impl Membership {
    /// Starts a probe: pings the next member of the round.
    pub(crate) fn begin_probe(&mut self, now: Duration) {
        let Some(member) = self.next_probe_target() else { return };
        let sequence = self.next_sequence();
        let ping = Message::Ping { sequence, name: member.name.clone() };
        self.send_to(member.address, &ping);
        let indirect_at = Some(now + self.settings.direct_probe_timeout);
        self.probe = Some(Probe { member, sequence, indirect_at, is_acknowledged: false });
    }

    /// Ends the probe of the period. The probed member is suspected unless it has acknowledged.
    pub(crate) fn end_probe(&mut self, now: Duration) {
        let Some(probe) = self.probe.take() else { return };
        if !probe.is_acknowledged {
            self.apply_update(now, Update { member: probe.member, state: MemberState::Suspect });
        }
    }

    /// Asks other members to ping the probed member.
    pub(crate) fn probe_indirectly(&mut self) {
        let Some(probe) = &mut self.probe else { return };
        probe.indirect_at = None;
        let (name, address) = (probe.member.name.clone(), probe.member.address);
        let request = Message::PingRequest { sequence: probe.sequence, name, address };
        let candidates =
            self.table.present_members().map(|member| member.address).filter(|other| *other != address);
        let relays = candidates.sample(&mut self.random, self.settings.indirect_probe_count);
        for to in relays {
            self.send_to(to, &request);
        }
    }

    /// Acknowledges a ping that names this member or no member at all.
    pub(crate) fn on_ping(&mut self, from: SocketAddrV4, sequence: u64, name: &str) {
        if name.is_empty() || name == self.local.name {
            let members = self.present_count();
            self.send_to(from, &Message::Ack { sequence, members });
        }
    }

    /// Pings a member on behalf of another member.
    pub(crate) fn on_ping_request(
        &mut self, from: SocketAddrV4, sequence: u64, name: String, address: SocketAddrV4,
    ) {
        let relayed_sequence = self.next_sequence();
        self.relayed_pings.push(relayed_sequence, from, sequence);
        self.send_to(address, &Message::Ping { sequence: relayed_sequence, name });
    }

    /// Handles the acknowledgement of the current probe, or forwards that of a relayed ping to its requester.
    pub(crate) fn on_ack(&mut self, sequence: u64, members: u32) {
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.sequence == sequence) {
            probe.is_acknowledged = true;
            probe.indirect_at = None;
            let own_count = self.present_count();
            self.exchange.compare_counts(own_count, members);
        } else if let Some(relayed) = self.relayed_pings.take(sequence) {
            let ack = Message::Ack { sequence: relayed.requester_sequence, members };
            self.send_to(relayed.requester, &ack);
        }
    }

    /// Returns the next present member in the probe order. Starts a new round at the end of the current one.
    fn next_probe_target(&mut self) -> Option<Member> {
        for _ in 0..2 {
            while let Some(name) = self.probe_order.pop() {
                let entry = self.table.get(&name);
                if let Some(entry) = entry.filter(|entry| entry.update.state.is_present()) {
                    return Some(entry.update.member.clone());
                }
            }
            let names = self.table.present_members().map(|member| member.name.clone()).collect();
            self.probe_order.refill(names, &mut self.random);
        }
        None
    }
}
