//! Application of updates about members, expiry of their states, and refutation of suspicions about the local member.

use crate::{
    member::{MemberState, Update},
    membership::Membership,
    output::Output,
};
use std::time::Duration;

impl Membership {
    /// Applies an update if it supersedes what is known, and queues it for dissemination.
    pub(crate) fn apply_update(&mut self, now: Duration, update: Update) {
        if update.member.name == self.local.name {
            self.refute(&update);
            return;
        }
        let known = self.table.get(&update.member.name);
        let is_newer = match known {
            Some(entry) => update.supersedes(&entry.update),
            // No member needs to know of the death or departure of a member that it never knew.
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
        self.outputs.push(Output::MemberChanged { member: update.member.clone(), state: update.state });
        self.table.insert(update.clone(), deadline);
        self.gossip.push(update);
    }

    /// Declares members dead whose suspicion has timed out, and removes members whose retention has ended.
    pub(crate) fn expire_members(&mut self, now: Duration) {
        for update in self.table.expired_updates(now) {
            match update.state {
                MemberState::Suspect => {
                    self.apply_update(now, Update { state: MemberState::Dead, ..update });
                }
                _ => self.table.remove(&update.member.name),
            }
        }
    }

    /// Refutes an update about the local member by raising its incarnation above that of the update.
    ///
    /// An update is refuted if it says that the local member is not alive, or if it has a higher incarnation than the
    /// local member.
    fn refute(&mut self, update: &Update) {
        let is_suspected =
            update.state != MemberState::Alive && update.member.incarnation >= self.local.incarnation;
        let has_higher_incarnation = update.member.incarnation > self.local.incarnation;
        if self.settings.refutes_suspicions && (is_suspected || has_higher_incarnation) {
            self.local.incarnation = update.member.incarnation.saturating_add(1);
            self.gossip.push(self.local_update());
        }
    }

    /// Returns how long a member stays suspected. The time is logarithmic in the number of members.
    fn suspicion_timeout(&self) -> Duration {
        let size = f64::from(self.present_count());
        self.settings
            .probe_period
            .mul_f64(f64::from(self.settings.suspicion_multiplier) * size.log10().max(1.0))
    }
}
