//! Restoring the state from a backup.

use super::{
    Command, CommandResult, KeyChanges, MAX_DRAINS, MAX_MEMBERS, MAX_WORKERS, Outcome, Presence,
    RESTORE_REVISION_GAP, Rejection, Snapshot, State, invalid,
};
use crate::name::{Key, Name, SubjectKind};
use crate::setting;
use crate::value::{Change, Entry, Member, Value};
use std::collections::BTreeSet;

impl State {
    pub(super) fn restore(&mut self, command: &Command, backup: &Snapshot) -> CommandResult {
        check_values(backup)?;
        check_counts(backup)?;
        let revision = self.revision.max(backup.revision).saturating_add(RESTORE_REVISION_GAP);
        self.remove_replaced_entries();
        for (key, entry) in &backup.entries {
            if let Some(value) = self.restored_value(key, &entry.value) {
                self.entries.insert(key.clone(), Entry { value, revision });
            }
        }
        self.revision = revision;
        self.restart_log(command, backup.revision);
        Ok(Outcome { revision, session: None })
    }

    /// Removes the entries that the backup replaces. Entries that tell which subjects are unavailable now,
    /// and halts, describe the present and stay.
    fn remove_replaced_entries(&mut self) {
        let permitted_workers: BTreeSet<Name> = self
            .permits()
            .filter(|(subject, permit)| subject.kind == SubjectKind::Worker && permit.is_granted())
            .map(|(subject, _)| subject.name.clone())
            .collect();
        self.entries.retain(|key, _| match key {
            Key::Drain(worker) => permitted_workers.contains(worker),
            Key::Member(_) | Key::Lease(_) | Key::Permit(_) | Key::Halt(_) | Key::Release(_) => true,
            Key::Worker(_) | Key::Setting(_) | Key::Budget(_) => false,
        });
    }

    /// Returns the value to restore for a value of the backup, or `None` if it is not restored.
    fn restored_value(&self, key: &Key, value: &Value) -> Option<Value> {
        match value {
            Value::Permit(_) | Value::Lease(_) | Value::Release(_) => None,
            Value::Member(_) | Value::Halt { .. } if self.entries.contains_key(key) => None,
            Value::Member(member) => {
                Some(Value::Member(Member { presence: Presence::Lost, ..member.clone() }))
            }
            other => Some(other.clone()),
        }
    }

    /// Empties the log, so that followers take a snapshot, and records the restore in the history.
    fn restart_log(&mut self, command: &Command, backup_revision: u64) {
        self.log.clear();
        (self.logged_keys, self.compacted_revision) = (0, self.revision);
        self.log.push_back(Change {
            revision: self.revision,
            issued_by: command.issued_by.clone(),
            issued_at_ms: command.issued_at_ms,
            reason: format!("restored from revision {backup_revision}").parse().unwrap_or_default(),
            items: KeyChanges::new(),
        });
    }
}

/// Checks that each key in the backup has a valid value of its kind.
fn check_values(backup: &Snapshot) -> Result<(), Rejection> {
    for (key, entry) in &backup.entries {
        let is_valid = match (key, &entry.value) {
            (Key::Drain(_), Value::Drain { .. })
            | (Key::Worker(_), Value::Worker(_))
            | (Key::Member(_), Value::Member(_))
            | (Key::Halt(_), Value::Halt { .. })
            | (Key::Release(_), Value::Release(_))
            | (Key::Lease(_), Value::Lease(_))
            | (Key::Permit(_), Value::Permit(_)) => true,
            (Key::Budget(_), Value::Budget(budget)) => budget.is_valid(),
            (Key::Setting(name), Value::Setting(value)) => {
                setting::find(name.as_str()).is_some_and(|setting| setting.accepts(*value))
            }
            _ => false,
        };
        if !is_valid {
            return invalid(format!("{key} in the backup holds no such value"));
        }
    }
    Ok(())
}

fn check_counts(backup: &Snapshot) -> Result<(), Rejection> {
    let check = |is_kind: fn(&Key) -> bool, resource: &str, capacity: usize| {
        if backup.entries.keys().filter(|key| is_kind(key)).count() > capacity {
            return Err(Rejection::Full { resource: resource.to_owned(), capacity });
        }
        Ok(())
    };
    check(|key| matches!(key, Key::Worker(_)), "workers", MAX_WORKERS)?;
    check(|key| matches!(key, Key::Drain(_)), "drain marks", MAX_DRAINS)?;
    check(|key| matches!(key, Key::Member(_)), "members", MAX_MEMBERS / 2)
}
