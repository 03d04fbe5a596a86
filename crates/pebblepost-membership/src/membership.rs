//! The view that the local member has of all members, and the operations that the other modules share.

use crate::{
    exchange_state::ExchangeState,
    gossip::GossipQueue,
    member::{MAX_NAME_BYTES, MAX_PAYLOAD_BYTES, Member, MemberState, Update},
    member_table::MemberTable,
    message::Message,
    output::Output,
    probe_state::{Probe, ProbeOrder, RelayedPings},
    settings::Settings,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::{net::SocketAddrV4, time::Duration};

/// The membership as the local member knows it.
///
/// The caller drives it with [`Membership::tick`] and [`Membership::receive`], and carries out the outputs that
/// [`Membership::take_outputs`] returns.
pub struct Membership {
    pub(crate) local: Member,
    pub(crate) settings: Settings,
    pub(crate) random: SmallRng,
    pub(crate) table: MemberTable,
    pub(crate) gossip: GossipQueue,
    pub(crate) probe_order: ProbeOrder,
    /// The probe of the current period.
    pub(crate) probe: Option<Probe>,
    pub(crate) relayed_pings: RelayedPings,
    pub(crate) exchange: ExchangeState,
    pub(crate) next_period: Duration,
    pub(crate) last_tick: Option<Duration>,
    /// Number of protocol periods since the start.
    pub(crate) period_count: u32,
    pub(crate) has_left: bool,
    pub(crate) outputs: Vec<Output>,
    last_sequence: u64,
}

impl Membership {
    /// Creates a membership that knows no other member. It joins through the seeds of the settings.
    ///
    /// `local.incarnation` must be higher than in any earlier run of the process, for instance the time of day in
    /// milliseconds. A name or payload that is too long is truncated. `seed` initializes the random generator.
    pub fn new(mut local: Member, settings: Settings, seed: u64) -> Membership {
        let name_end = local.name.floor_char_boundary(MAX_NAME_BYTES);
        local.name.truncate(name_end);
        local.payload.truncate(MAX_PAYLOAD_BYTES);
        let mut random = SmallRng::seed_from_u64(seed);
        let last_sequence = random.random();
        let mut gossip = GossipQueue::default();
        gossip.push(Update { member: local.clone(), state: MemberState::Alive });
        Membership {
            local,
            settings,
            random,
            table: MemberTable::default(),
            gossip,
            probe_order: ProbeOrder::default(),
            probe: None,
            relayed_pings: RelayedPings::default(),
            exchange: ExchangeState::default(),
            next_period: Duration::ZERO,
            last_tick: None,
            period_count: 0,
            has_left: false,
            outputs: Vec::new(),
            last_sequence,
        }
    }

    /// Returns the local member with its current incarnation.
    pub fn local(&self) -> &Member {
        &self.local
    }

    /// Iterates over all other known members, including those that are dead or have left and are still kept.
    pub fn members(&self) -> impl Iterator<Item = (&Member, MemberState)> {
        self.table.entries().map(|entry| (&entry.update.member, entry.update.state))
    }

    /// Takes the outputs that have accumulated since the last call.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Returns the time at which [`Membership::tick`] should be called next.
    pub fn next_tick(&self) -> Duration {
        let indirect_at = self.probe.as_ref().and_then(|probe| probe.indirect_at);
        indirect_at.map_or(self.next_period, |at| at.min(self.next_period))
    }

    /// Returns the update that the local member is alive.
    pub(crate) fn local_update(&self) -> Update {
        Update { member: self.local.clone(), state: MemberState::Alive }
    }

    /// Returns the number of members that are alive or suspected, including the local one.
    pub(crate) fn present_count(&self) -> u32 {
        self.table.present_members().count() as u32 + 1
    }

    /// Sends a message with piggybacked updates.
    ///
    /// If the receiver is known as suspected, dead or having left, the update that says so comes first, so that the
    /// receiver can refute it.
    pub(crate) fn send_to(&mut self, to: SocketAddrV4, message: &Message) {
        let entry = self.table.find_by_address(to).map(|entry| &entry.update);
        let suspicion = entry.filter(|update| update.state != MemberState::Alive);
        let (datagram, count) = message.encode(suspicion.into_iter().chain(self.gossip.updates()));
        let gossip_count = count.saturating_sub(usize::from(suspicion.is_some()));
        let limit = self.retransmission_limit();
        self.gossip.on_sent(gossip_count, limit);
        self.outputs.push(Output::Send { to, datagram });
    }

    /// Returns the next sequence number for a ping.
    pub(crate) fn next_sequence(&mut self) -> u64 {
        self.last_sequence = self.last_sequence.wrapping_add(1);
        self.last_sequence
    }

    /// Returns how often an update is sent. The number is logarithmic in the number of members.
    fn retransmission_limit(&self) -> u32 {
        let size = self.present_count() + 1;
        self.settings.retransmit_multiplier * (u32::BITS - size.leading_zeros())
    }
}
