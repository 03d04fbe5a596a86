//! The protocol: probing, suspicion, refutation, joining and leaving.

use crate::{
    gossip::Gossip,
    member::{MOST_NAME_BYTES, MOST_PAYLOAD_BYTES, Member, MemberState, Update},
    message::Message,
    output::Output,
    probe::{Probe, Relays, Rotation},
    settings::Settings,
    table::Table,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng, seq::IteratorRandom};
use std::{net::SocketAddrV4, time::Duration};

/// More updates than this don't fit into a page.
const MOST_PAGE: usize = 80;
/// Answers in a row from members that know more, before the whole list is read.
const MOST_BEHIND: u32 = 3;
/// Members told directly when leaving.
const FAREWELLS: usize = 5;

/// The view of one member.
pub struct Membership {
    me: Member,
    settings: Settings,
    random: SmallRng,
    table: Table,
    gossip: Gossip,
    rotation: Rotation,
    probe: Option<Probe>,
    relays: Relays,
    next_sequence: u64,
    next_period: Duration,
    last_tick: Option<Duration>,
    periods: u32,
    /// Where the exchange of the member list goes on.
    page_after: String,
    /// The member list is read to its end without pause.
    whole_pass: bool,
    /// Answers in a row from members that know more members.
    behind: u32,
    left: bool,
    outputs: Vec<Output>,
}

impl Membership {
    /// A member that knows nobody but its seeds. `me.incarnation` must be higher than in any
    /// earlier life, for instance the time of day in milliseconds. Too long names and payloads are
    /// cut.
    pub fn new(mut me: Member, settings: Settings, seed: u64) -> Membership {
        let name_end = me.name.floor_char_boundary(MOST_NAME_BYTES);
        me.name.truncate(name_end);
        me.payload.truncate(MOST_PAYLOAD_BYTES);
        let mut random = SmallRng::seed_from_u64(seed);
        let next_sequence = random.random();
        let mut gossip = Gossip::default();
        gossip.push(Update { member: me.clone(), state: MemberState::Alive });
        Membership {
            me,
            settings,
            random,
            table: Table::default(),
            gossip,
            rotation: Rotation::default(),
            probe: None,
            relays: Relays::default(),
            next_sequence,
            next_period: Duration::ZERO,
            last_tick: None,
            periods: 0,
            page_after: String::new(),
            whole_pass: false,
            behind: 0,
            left: false,
            outputs: Vec::new(),
        }
    }

    /// Oneself, with the current incarnation.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// All other members known, also those remembered as dead or departed.
    pub fn members(&self) -> impl Iterator<Item = (&Member, MemberState)> {
        self.table.entries().map(|entry| (&entry.update.member, entry.update.state))
    }

    /// What is to be done since the last call.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// When [`Membership::tick`] should be called next.
    pub fn next_tick(&self) -> Duration {
        let ask_others_at = self.probe.as_ref().and_then(|probe| probe.ask_others_at);
        ask_others_at.map_or(self.next_period, |at| at.min(self.next_period))
    }

    /// Carries out what is due.
    pub fn tick(&mut self, now: Duration) {
        if self.left {
            return;
        }
        self.allow_for_freeze(now);
        if self.probe.as_ref().is_some_and(|probe| probe.ask_others_at.is_some_and(|at| at <= now)) {
            self.ask_others();
        }
        if self.next_period <= now {
            self.expire(now);
            self.end_period(now);
            self.begin_period(now);
        }
    }

    /// Takes a datagram. Anything that isn't one is ignored.
    pub fn receive(&mut self, now: Duration, from: SocketAddrV4, datagram: &[u8]) {
        if self.left {
            return;
        }
        let Some((message, news)) = Message::decode(datagram) else { return };
        let last_name = news.last().map(|update| update.member.name.clone());
        let known_before = self.table.len();
        for update in news {
            self.apply(now, update);
        }
        let brought_members = self.table.len() > known_before;
        match message {
            Message::Ping { sequence, name } => {
                if name.is_empty() || name == self.me.name {
                    let members = self.present_count();
                    self.send_to(from, &Message::Ack { sequence, members });
                }
            }
            Message::Ack { sequence, members } => self.acknowledged(sequence, members),
            Message::PingRequest { sequence, name, address } => {
                let relayed = self.draw_sequence();
                self.relays.push(relayed, from, sequence);
                self.send_to(address, &Message::Ping { sequence: relayed, name });
            }
            Message::PageRequest { after } => self.send_page(from, &after),
            Message::Page { last } => self.page_received(from, last, last_name, brought_members),
            Message::News => {}
        }
    }

    /// Tells some members that this one leaves. It takes no part afterwards.
    pub fn leave(&mut self) {
        if self.left {
            return;
        }
        let farewell = Update { member: self.me.clone(), state: MemberState::Left };
        let (datagram, _) = Message::News.encode([&farewell]);
        let addresses: Vec<SocketAddrV4> = self.table.present().map(|member| member.address).collect();
        for to in addresses.into_iter().sample(&mut self.random, FAREWELLS) {
            self.outputs.push(Output::Send { to, datagram: datagram.clone() });
        }
        self.left = true;
    }

    /// After a freeze, the silence was one's own: nothing is concluded from it.
    fn allow_for_freeze(&mut self, now: Duration) {
        let since = now.saturating_sub(self.last_tick.unwrap_or(now));
        self.last_tick = Some(now);
        if since > self.settings.period * 2 {
            self.probe = None;
            self.table.delay(since);
        }
    }

    fn begin_period(&mut self, now: Duration) {
        self.next_period = now + self.settings.period;
        self.periods = self.periods.wrapping_add(1);
        if let Some(member) = self.next_target() {
            let sequence = self.draw_sequence();
            let ping = Message::Ping { sequence, name: member.name.clone() };
            self.send_to(member.address, &ping);
            let ask_others_at = Some(now + self.settings.direct_timeout);
            self.probe = Some(Probe { member, sequence, ask_others_at, answered: false });
        }
        let alone = self.table.present().next().is_none();
        if alone || self.periods.is_multiple_of(self.settings.reconnect_periods.max(1)) {
            self.reconnect(alone);
        }
        if self.behind >= MOST_BEHIND {
            self.behind = 0;
            self.whole_pass = true;
            self.page_after.clear();
            self.exchange();
        } else if self.periods.is_multiple_of(self.settings.exchange_periods.max(1)) {
            self.exchange();
        }
    }

    fn end_period(&mut self, now: Duration) {
        let Some(probe) = self.probe.take() else { return };
        if !probe.answered {
            self.apply(now, Update { member: probe.member, state: MemberState::Suspect });
        }
    }

    fn next_target(&mut self) -> Option<Member> {
        for _ in 0..2 {
            while let Some(name) = self.rotation.pop() {
                let entry = self.table.get(&name);
                if let Some(entry) = entry.filter(|entry| entry.update.state.is_present()) {
                    return Some(entry.update.member.clone());
                }
            }
            let names = self.table.present().map(|member| member.name.clone()).collect();
            self.rotation.refill(names, &mut self.random);
        }
        None
    }

    fn ask_others(&mut self) {
        let Some(probe) = &mut self.probe else { return };
        probe.ask_others_at = None;
        let (name, address) = (probe.member.name.clone(), probe.member.address);
        let request = Message::PingRequest { sequence: probe.sequence, name, address };
        let others = self.table.present().map(|member| member.address).filter(|other| *other != address);
        let helpers = others.sample(&mut self.random, self.settings.indirect_probes);
        for to in helpers {
            self.send_to(to, &request);
        }
    }

    fn acknowledged(&mut self, sequence: u64, members: u32) {
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.sequence == sequence) {
            probe.answered = true;
            probe.ask_others_at = None;
            self.compare_count(members);
        } else if let Some((requester, sequence)) = self.relays.take(sequence) {
            self.send_to(requester, &Message::Ack { sequence, members });
        }
    }

    /// Pings a member believed dead, or a seed not known to be there. `alone`: all seeds.
    fn reconnect(&mut self, alone: bool) {
        let known = |address: &SocketAddrV4| {
            *address == self.me.address
                || self.table.at_address(*address).is_some_and(|entry| entry.update.state.is_present())
        };
        let mut addresses: Vec<SocketAddrV4> =
            self.settings.seeds.iter().copied().filter(|address| !known(address)).collect();
        if !alone {
            addresses.extend(self.table.dead().map(|member| member.address));
            addresses = addresses.into_iter().sample(&mut self.random, 1);
        }
        for address in addresses {
            let me = Update { member: self.me.clone(), state: MemberState::Alive };
            let ping = Message::Ping { sequence: self.draw_sequence(), name: String::new() };
            let about = self.table.at_address(address).map(|entry| &entry.update);
            let (datagram, _) = ping.encode([&me].into_iter().chain(about));
            self.outputs.push(Output::Send { to: address, datagram });
            if alone {
                self.send_to(address, &Message::PageRequest { after: String::new() });
            }
        }
    }

    /// Asks a random member for a page of its list.
    fn exchange(&mut self) {
        let target = self.table.present().map(|member| member.address).choose(&mut self.random);
        if let Some(to) = target {
            self.send_to(to, &Message::PageRequest { after: self.page_after.clone() });
        }
    }

    fn send_page(&mut self, to: SocketAddrV4, after: &str) {
        let me = Update { member: self.me.clone(), state: MemberState::Alive };
        let entries: Vec<&Update> =
            self.table.after(after).map(|entry| &entry.update).take(MOST_PAGE).collect();
        let news = || [&me].into_iter().chain(entries.iter().copied());
        let (_, count) = Message::Page { last: false }.encode(news());
        let (datagram, _) = Message::Page { last: count > entries.len() }.encode(news());
        self.outputs.push(Output::Send { to, datagram });
    }

    /// Remembers where the exchange goes on: at once in a whole pass, which begins with the first
    /// page that brings a member not known before, and later otherwise.
    fn page_received(&mut self, from: SocketAddrV4, last: bool, last_name: Option<String>, brought: bool) {
        self.whole_pass |= brought;
        self.page_after = last_name.filter(|_| !last).unwrap_or_default();
        if self.page_after.is_empty() {
            self.whole_pass = false;
        } else if self.whole_pass {
            self.send_to(from, &Message::PageRequest { after: self.page_after.clone() });
        }
    }

    /// Compares the number of members with that of a member that has just answered. After several
    /// answers from members that know more, the whole list is read.
    fn compare_count(&mut self, theirs: u32) {
        self.behind = if theirs > self.present_count() { self.behind + 1 } else { 0 };
    }

    fn expire(&mut self, now: Duration) {
        for update in self.table.expired(now) {
            match update.state {
                MemberState::Suspect => {
                    self.apply(now, Update { state: MemberState::Dead, ..update });
                }
                _ => self.table.remove(&update.member.name),
            }
        }
    }

    /// Takes news in, if it is newer than what is known.
    fn apply(&mut self, now: Duration, update: Update) {
        if update.member.name == self.me.name {
            self.refute(&update);
            return;
        }
        let known = self.table.get(&update.member.name);
        let news = match known {
            Some(entry) => update.supersedes(&entry.update),
            // The death of somebody unknown is old news.
            None => update.state.is_present() && self.table.len() < self.settings.most_members,
        };
        if !news {
            return;
        }
        if known.is_none_or(|entry| !entry.update.state.is_present()) && update.state.is_present() {
            self.rotation.insert(update.member.name.clone(), &mut self.random);
        }
        let deadline = match update.state {
            MemberState::Alive => None,
            MemberState::Suspect => Some(now + self.suspicion()),
            MemberState::Dead | MemberState::Left => Some(now + self.settings.remember),
        };
        self.outputs.push(Output::Changed { member: update.member.clone(), state: update.state });
        self.table.insert(update.clone(), deadline);
        self.gossip.push(update);
    }

    /// Answers doubts about oneself with a higher incarnation.
    fn refute(&mut self, update: &Update) {
        let doubted = update.state != MemberState::Alive && update.member.incarnation >= self.me.incarnation;
        let outdone = update.member.incarnation > self.me.incarnation;
        if self.settings.refute && (doubted || outdone) {
            self.me.incarnation = update.member.incarnation.saturating_add(1);
            self.gossip.push(Update { member: self.me.clone(), state: MemberState::Alive });
        }
    }

    /// Number of members present, oneself included.
    fn present_count(&self) -> u32 {
        self.table.present().count() as u32 + 1
    }

    fn suspicion(&self) -> Duration {
        let size = f64::from(self.present_count());
        self.settings.period.mul_f64(f64::from(self.settings.suspicion_periods) * size.log10().max(1.0))
    }

    fn most_sent(&self) -> u32 {
        let size = self.present_count() + 1;
        self.settings.retransmissions * (u32::BITS - size.leading_zeros())
    }

    /// Sends a message with news; if the receiver is doubted, that comes first.
    fn send_to(&mut self, to: SocketAddrV4, message: &Message) {
        let entry = self.table.at_address(to).map(|entry| &entry.update);
        let doubts = entry.filter(|update| update.state != MemberState::Alive);
        let (datagram, count) = message.encode(doubts.into_iter().chain(self.gossip.updates()));
        let gossiped = count.saturating_sub(usize::from(doubts.is_some()));
        let most = self.most_sent();
        self.gossip.sent(gossiped, most);
        self.outputs.push(Output::Send { to, datagram });
    }

    fn draw_sequence(&mut self) -> u64 {
        self.next_sequence = self.next_sequence.wrapping_add(1);
        self.next_sequence
    }
}
