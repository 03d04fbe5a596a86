//! Taking up a newer epoch.

use super::follower::Follower;
use super::{DiskRecord, Replica, Role, StateMachine, recovery};
use crate::record::EpochRecord;

impl<S: StateMachine> Replica<S> {
    /// Takes up a newer epoch, in whatever role it gives this replica.
    pub(super) fn enter_epoch(&mut self, record: EpochRecord) {
        let leads = record.primary == self.me.disk;
        let follows_directly = record.epoch == self.record.epoch + 1;
        let former = std::mem::replace(&mut self.record, record);
        self.lacks_history |= self.comes_empty_into_a_later_epoch(&former);
        self.term_from = recovery::term_after(self.term_from, &former, &self.record);
        self.disk.push(DiskRecord::Epoch(self.record.clone()));
        self.change.decided();
        self.succession.quiet_until = self.now + self.settings.grace;
        let was_primary = matches!(self.role, Role::Primary(_));
        if was_primary && leads && follows_directly {
            self.continue_as_primary(&former);
        } else if leads {
            self.stop_as_primary(&former);
            self.become_primary();
        } else {
            self.stop_as_primary(&former);
            self.role = Role::Follower(Follower::default());
        }
    }

    /// Whether this replica is counted as in sync without ever having been added as an empty one: its data may have
    /// been given up after it was proposed. In the first epoch all replicas are empty.
    fn comes_empty_into_a_later_epoch(&self, former: &EpochRecord) -> bool {
        const FIRST_EPOCH: u64 = 1;
        former.epoch == 0
            && self.log.last_index() == 0
            && self.record.epoch > FIRST_EPOCH
            && self.record.is_in_sync(self.me.disk)
    }
}
