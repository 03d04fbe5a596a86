//! A backup taken back into the state.

use super::{
    Change, Entry, MAX_DRAINS, MAX_MEMBERS, MAX_WORKERS, Member, Presence, RESTORE_JUMP, Snapshot, State,
    Value,
};
use crate::command::{Answer, Command, Done, Refusal};
use crate::name::{Key, Kind, Name, Subject};
use crate::permit::Permit;
use crate::setting;
use std::collections::BTreeSet;

impl State {
    pub(super) fn restore(&mut self, command: &Command, backup: &Snapshot) -> Answer {
        for (key, entry) in &backup.entries {
            let fits = match (key, &entry.value) {
                (Key::Drain(_), Value::Drain { .. })
                | (Key::Worker(_), Value::Worker(_))
                | (Key::Member(_), Value::Member(_))
                | (Key::Halt(_), Value::Halt { .. })
                | (Key::Release(_), Value::Release(_))
                | (Key::Lease(_), Value::Lease(_))
                | (Key::Permit(_), Value::Permit(_)) => true,
                (Key::Budget(_), Value::Budget(b)) => b.is_sound(),
                (Key::Setting(name), Value::Setting(v)) => {
                    setting::find(name.as_str()).is_some_and(|s| s.takes(*v))
                }
                _ => false,
            };
            if !fits {
                return Err(Refusal::Invalid { what: format!("{key} in the backup holds no such value") });
            }
        }
        let fits = |kind: fn(&Key) -> bool, what: &str, most: usize| {
            let count = backup.entries.keys().filter(|k| kind(k)).count();
            if count > most { Err(Refusal::Full { what: what.to_owned(), most }) } else { Ok(()) }
        };
        fits(|k| matches!(k, Key::Worker(_)), "workers", MAX_WORKERS)?;
        fits(|k| matches!(k, Key::Drain(_)), "drain marks", MAX_DRAINS)?;
        fits(|k| matches!(k, Key::Member(_)), "members", MAX_MEMBERS / 2)?;
        let revision = self.revision.max(backup.revision).saturating_add(RESTORE_JUMP);
        // Who is out, and that nothing more may go, are facts of now.
        let out = |(s, p): (&Subject, &Permit)| {
            (s.kind == Kind::Worker && p.granted.is_some()).then(|| s.name.clone())
        };
        let out: BTreeSet<Name> = self.permits().filter_map(out).collect();
        self.entries.retain(|key, _| match key {
            Key::Drain(worker) => out.contains(worker),
            _ => matches!(
                key,
                Key::Member(_) | Key::Lease(_) | Key::Permit(_) | Key::Halt(_) | Key::Release(_)
            ),
        });
        for (key, entry) in &backup.entries {
            let value = match &entry.value {
                Value::Permit(_) | Value::Lease(_) | Value::Release(_) => continue,
                Value::Member(_) | Value::Halt { .. } if self.entries.contains_key(key) => continue,
                Value::Member(m) => Value::Member(Member { presence: Presence::Lost, ..m.clone() }),
                other => other.clone(),
            };
            self.entries.insert(key.clone(), Entry { value, revision });
        }
        self.revision = revision;
        // Whoever follows takes the whole state; the history tells that there was a restore.
        self.log.clear();
        (self.logged, self.compacted) = (0, revision);
        let why = format!("restored from revision {}", backup.revision).parse().unwrap_or_default();
        let (by, at_ms, items) = (command.by.clone(), command.at_ms, Vec::new());
        self.log.push_back(Change { revision, by, at_ms, why, items });
        Ok(Done { revision, session: None })
    }
}
