//! Entry points of the protocol: ticks, received datagrams, and leaving.

use crate::{
    exchange_state::ReceivedPage,
    member::{MemberState, Update},
    membership::Membership,
    message::Message,
    output::Output,
};
use rand::seq::IteratorRandom;
use std::{net::SocketAddrV4, time::Duration};

/// Number of members that the local member notifies directly when it leaves.
const LEAVE_FANOUT: usize = 5;
/// A gap between two ticks of more than this many periods means that the local process was suspended.
const MAX_TICK_GAP_PERIODS: u32 = 2;

impl Membership {
    /// Carries out the actions that are due.
    ///
    /// To be called at the time that [`Membership::next_tick`] returns.
    pub fn tick(&mut self, now: Duration) {
        if self.has_left {
            return;
        }
        self.extend_deadlines_after_suspension(now);
        if self.probe.as_ref().is_some_and(|probe| probe.is_indirect_due(now)) {
            self.probe_indirectly();
        }
        if self.next_period <= now {
            self.expire_members(now);
            self.end_probe(now);
            self.begin_period(now);
        }
    }

    /// Handles a received datagram. A datagram that cannot be decoded is ignored.
    pub fn receive(&mut self, now: Duration, from: SocketAddrV4, datagram: &[u8]) {
        if self.has_left {
            return;
        }
        let Some((message, updates)) = Message::decode(datagram) else { return };
        let last_name = updates.last().map(|update| update.member.name.clone());
        let known_before = self.table.len();
        for update in updates {
            self.apply_update(now, update);
        }
        let has_new_members = self.table.len() > known_before;
        match message {
            Message::Ping { sequence, name } => self.on_ping(from, sequence, &name),
            Message::Ack { sequence, members } => self.on_ack(sequence, members),
            Message::PingRequest { sequence, name, address } => {
                self.on_ping_request(from, sequence, name, address);
            }
            Message::PageRequest { after } => self.send_page(from, &after),
            Message::Page { is_last } => {
                self.on_page(from, ReceivedPage { is_last, last_name, has_new_members });
            }
            Message::Gossip => {}
        }
    }

    /// Notifies some members that the local member leaves. Afterwards it neither probes nor answers.
    pub fn leave(&mut self) {
        if self.has_left {
            return;
        }
        let update = Update { member: self.local.clone(), state: MemberState::Left };
        let (datagram, _) = Message::Gossip.encode([&update]);
        let addresses: Vec<SocketAddrV4> =
            self.table.present_members().map(|member| member.address).collect();
        for to in addresses.into_iter().sample(&mut self.random, LEAVE_FANOUT) {
            self.outputs.push(Output::Send { to, datagram: datagram.clone() });
        }
        self.has_left = true;
    }

    /// Postpones all deadlines and drops the current probe if the local process was suspended.
    ///
    /// During a suspension no acknowledgement can be received, so its absence says nothing about the other members.
    fn extend_deadlines_after_suspension(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.last_tick.unwrap_or(now));
        self.last_tick = Some(now);
        if gap > self.settings.probe_period * MAX_TICK_GAP_PERIODS {
            self.probe = None;
            self.table.extend_deadlines(gap);
        }
    }

    fn begin_period(&mut self, now: Duration) {
        self.next_period = now + self.settings.probe_period;
        self.period_count = self.period_count.wrapping_add(1);
        self.begin_probe(now);
        let is_alone = self.table.present_members().next().is_none();
        if is_alone || self.period_count.is_multiple_of(self.settings.reconnect_interval_periods.max(1)) {
            self.reconnect(is_alone);
        }
        let is_exchange_due =
            self.period_count.is_multiple_of(self.settings.exchange_interval_periods.max(1));
        if self.exchange.start_full_pass_if_behind() || is_exchange_due {
            self.request_page();
        }
    }
}
