//! Updates about members: which are taken over, when they expire, how one's own are refuted.

use crate::{
    member::{MemberState, Update},
    membership::Membership,
    output::Output,
};
use std::time::Duration;

impl Membership {
    /// Takes an update over if it is newer than what is known.
    pub(crate) fn apply(&mut self, now: Duration, update: Update) {
        if update.member.name == self.local.name {
            self.refute(&update);
            return;
        }
        let known = self.table.get(&update.member.name);
        let is_newer = match known {
            Some(entry) => update.supersedes(&entry.update),
            // Nobody needs to know of the death of an unknown member.
            None => update.state.is_present() && self.table.len() < self.settings.max_members,
        };
        if !is_newer {
            return;
        }
        if known.is_none_or(|entry| !entry.update.state.is_present()) && update.state.is_present() {
            self.probe_order.insert(update.member.name.clone(), &mut self.random);
        }
        let deadline = match update.state {
            MemberState::Alive => None,
            MemberState::Suspect => Some(now + self.suspicion_timeout()),
            MemberState::Dead | MemberState::Left => Some(now + self.settings.dead_retention),
        };
        self.outputs.push(Output::Changed { member: update.member.clone(), state: update.state });
        self.table.insert(update.clone(), deadline);
        self.gossip.push(update);
    }

    /// Declares suspected members dead, and drops dead ones, once their time has passed.
    pub(crate) fn expire(&mut self, now: Duration) {
        for update in self.table.expired(now) {
            match update.state {
                MemberState::Suspect => {
                    self.apply(now, Update { state: MemberState::Dead, ..update });
                }
                _ => self.table.remove(&update.member.name),
            }
        }
    }

    /// Answers an update that the local member is not alive, or a higher incarnation of it, with a
    /// still higher incarnation.
    fn refute(&mut self, update: &Update) {
        let is_suspected =
            update.state != MemberState::Alive && update.member.incarnation >= self.local.incarnation;
        let is_outdated = update.member.incarnation > self.local.incarnation;
        if self.settings.refute && (is_suspected || is_outdated) {
            self.local.incarnation = update.member.incarnation.saturating_add(1);
            self.gossip.push(self.local_update());
        }
    }

    /// How long a member stays suspected: logarithmic in the number of members.
    fn suspicion_timeout(&self) -> Duration {
        let size = f64::from(self.present_count());
        self.settings.period.mul_f64(f64::from(self.settings.suspicion_periods) * size.log10().max(1.0))
    }
}
