//! The operations of [`Action::Change`](crate::Action::Change): the new value that each gives its key, and
//! the reasons to reject it.

use super::{
    Command, KeyChanges, MAX_DRAINS, MAX_OPERATIONS_PER_COMMAND, MAX_PERMITS, MAX_WORKERS, Operation,
    Presence, Rejection, State, invalid,
};
use crate::name::{Key, Name, Subject, SubjectKind, Text};
use crate::setting;
use crate::value::{Lease, Value};
use std::collections::BTreeSet;

impl State {
    pub(super) fn change(
        &self, command: &Command, operations: &[Operation], reason: &Text,
    ) -> Result<KeyChanges, Rejection> {
        if operations.is_empty() || operations.len() > MAX_OPERATIONS_PER_COMMAND {
            let count = operations.len();
            return invalid(format!("1 to {MAX_OPERATIONS_PER_COMMAND} changes in one command, not {count}"));
        }
        let mut changed_keys = BTreeSet::new();
        let mut changes = KeyChanges::new();
        for operation in operations {
            if !changed_keys.insert(operation.key()) {
                return invalid(format!("{} is changed twice in one command", operation.key()));
            }
            changes.extend(self.change_one(command, operation, reason)?);
        }
        self.check_capacity(&changes, |key| matches!(key, Key::Worker(_)), "workers", MAX_WORKERS)?;
        self.check_capacity(&changes, |key| matches!(key, Key::Drain(_)), "drain marks", MAX_DRAINS)?;
        self.check_capacity(&changes, |key| matches!(key, Key::Permit(_)), "permits", MAX_PERMITS)?;
        changes.retain(|(key, new)| self.has_effect(key, new.as_ref()));
        Ok(changes)
    }

    /// Returns whether a new value differs from the present one. A drain mark or halt that is set again keeps
    /// its first issuer, time and reason.
    fn has_effect(&self, key: &Key, new: Option<&Value>) -> bool {
        match (self.entries.get(key).map(|entry| &entry.value), new) {
            (None, None)
            | (Some(Value::Drain { .. }), Some(Value::Drain { .. }))
            | (Some(Value::Halt { .. }), Some(Value::Halt { .. })) => false,
            (old, new) => old != new,
        }
    }

    fn change_one(
        &self, command: &Command, operation: &Operation, reason: &Text,
    ) -> Result<KeyChanges, Rejection> {
        let (set_by, set_at_ms) = (&command.issued_by, command.issued_at_ms);
        let value = match operation {
            Operation::Drain(_) => {
                Some(Value::Drain { set_by: set_by.clone(), set_at_ms, reason: reason.clone() })
            }
            Operation::Halt(_) => {
                Some(Value::Halt { set_by: set_by.clone(), set_at_ms, reason: reason.clone() })
            }
            Operation::PutWorker(_, worker) => Some(Value::Worker(worker.clone())),
            Operation::SetSetting(name, value) => Some(setting_value(name, *value)?),
            Operation::SetBudget(_, budget) if budget.is_valid() => Some(Value::Budget(*budget)),
            Operation::SetBudget(..) => return invalid("a budget's share is not within 0 and 1"),
            Operation::RevokeLease { task, fencing_token, successor } => {
                Some(self.revoked_lease(task, *fencing_token, successor.as_ref())?)
            }
            Operation::RemoveMember(name) => {
                self.check_removable(name)?;
                None
            }
            Operation::Undrain(name) => {
                self.check_undrainable(name)?;
                None
            }
            Operation::UnsetSetting(_)
            | Operation::RemoveWorker(_)
            | Operation::RemoveBudget(_)
            | Operation::Resume(_) => None,
            Operation::RequestPermit { .. }
            | Operation::WithdrawPermit(_)
            | Operation::CompletePermit(..)
            | Operation::ForceCompletePermit(_) => return self.change_permit(command, operation, reason),
            Operation::BeginRelease { .. }
            | Operation::RollBack(_)
            | Operation::AdvanceWave(_)
            | Operation::EndRelease => return self.change_release(command, operation, reason),
        };
        Ok(vec![(operation.key(), value)])
    }

    fn revoked_lease(
        &self, task: &Name, fencing_token: u64, successor: Option<&Name>,
    ) -> Result<Value, Rejection> {
        let is_held_by_grant = |lease: &&Lease| {
            lease.holder.as_ref().is_some_and(|holder| holder.fencing_token == fencing_token)
        };
        match self.lease(task).filter(is_held_by_grant) {
            Some(lease) => {
                Ok(Value::Lease(Lease { revoked: true, successor: successor.cloned(), ..lease.clone() }))
            }
            None => invalid(format!("nobody has {task} by a grant of revision {fencing_token}")),
        }
    }

    fn check_removable(&self, member: &Name) -> Result<(), Rejection> {
        if self.member(member).is_some_and(|found| found.presence == Presence::Present) {
            return invalid(format!("{member} is there; only a member that left or is lost is dismissed"));
        }
        let subject = Subject { kind: SubjectKind::Dispatcher, name: member.clone() };
        if self.permit(&subject).is_some() {
            return invalid(format!("{member} has a permit: withdraw or force that first"));
        }
        Ok(())
    }

    fn check_undrainable(&self, worker: &Name) -> Result<(), Rejection> {
        let subject = Subject { kind: SubjectKind::Worker, name: worker.clone() };
        if self.permit(&subject).is_some_and(|permit| permit.is_granted()) {
            return invalid(format!("{worker} is out by a permit: that ends it, by back or force"));
        }
        Ok(())
    }
}

fn setting_value(name: &Name, value: f64) -> Result<Value, Rejection> {
    let Some(setting) = setting::find(name.as_str()) else {
        return invalid(format!("no setting {name} that may change"));
    };
    if !setting.accepts(value) {
        let (min, max, unit) = (setting.min, setting.max, setting.unit);
        return invalid(format!("{name} takes {min} to {max} {unit}, not {value}"));
    }
    Ok(Value::Setting(value))
}
