//! The state, and the one place where it changes.
//!
//! Each command that changes something makes the next *revision*; each key carries the revision at which it was changed
//! last. The last changes stay in a bounded log, so that a follower goes on where it was; one that is further behind
//! takes a [`Snapshot`].

mod leases;
mod members;
mod permits;
mod releases;
mod restore;
mod value;

pub use value::{Change, Entry, Member, Presence, Snapshot, Value};

use crate::command::{Act, Answer, Card, Command, Done, Expect, Op, Refusal, RequestId, Worker};
use crate::lease::Lease;
use crate::name::{Key, Kind, Name, Subject, Text};
use crate::setting;
use crate::sight::{Different, Seen};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Most keys of each kind.
pub const MAX_WORKERS: usize = 20_000;
/// See [`MAX_WORKERS`].
pub const MAX_DRAINS: usize = 20_000;
/// See [`MAX_WORKERS`].
pub const MAX_MEMBERS: usize = 5_000;
/// See [`MAX_WORKERS`].
pub const MAX_PERMITS: usize = 5_000;
/// See [`MAX_WORKERS`].
pub const MAX_LEASES: usize = 20_000;
/// Most waves of a release.
pub const MAX_WAVES: usize = 32;
/// Most numbers of keepers, those that were left out among them.
pub const MAX_KEEPERS: usize = 1_024;
/// Most changes in one command.
pub const MAX_OPS: usize = 1_024;
/// Most changed keys in the log; the oldest changes go first.
pub const MAX_LOGGED: usize = 16_384;
/// Answers kept, so that a request asked again gets the same one.
pub const MAX_ANSWERS: usize = 8_192;
/// A restored state goes on this far behind the larger of its own revision and the backup's: whoever follows may have seen
/// revisions that the backup has not.
pub const RESTORE_JUMP: u64 = 1 << 20;
/// Lives of a member that are remembered, so that an old process does not take its name back.
const MAX_LIVES: usize = 8;

/// The agreed state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    revision: u64,
    entries: BTreeMap<Key, Entry>,
    log: VecDeque<Change>,
    logged: usize,
    /// Revision of the newest change that the log no longer has.
    compacted: u64,
    answers: VecDeque<(RequestId, Answer)>,
    /// The disk of each keeper that there ever was, by number.
    #[serde(default)]
    keepers: BTreeMap<u64, u64>,
}

/// What a command makes of the keys it touches.
type Items = Vec<(Key, Option<Value>)>;

impl State {
    /// A state that goes on from a snapshot, without the history before it.
    pub fn of(snapshot: Snapshot) -> Self {
        let Snapshot { revision, entries } = snapshot;
        Self { revision, entries, compacted: revision, ..Self::default() }
    }

    /// Takes in a command. This is where all rules are checked.
    pub fn apply(&mut self, command: &Command) -> Answer {
        if let Some((_, answer)) = self.answers.iter().rev().find(|(id, _)| *id == command.id) {
            return answer.clone();
        }
        let answer = self.carry_out(command);
        self.answered(command.id, &answer);
        answer
    }

    /// Either all of it happens or nothing.
    fn carry_out(&mut self, command: &Command) -> Answer {
        match &command.act {
            Act::Change { ops, expect, why } => {
                expect.iter().try_for_each(|e| self.holds(e))?;
                let items = self.change(command, ops, why)?;
                Ok(self.commit(command, items, why.clone()))
            }
            Act::Restore(backup) => self.restore(command, backup),
            Act::Join { member, life, card } => {
                let items = self.join(member, *life, card)?;
                let done = self.commit(command, items, Text::default());
                Ok(Done { session: Some(done.revision), ..done })
            }
            Act::Report { member, session, number, ready } => {
                let now = self.in_session(member, *session)?;
                let mut items = Vec::new();
                if *number > now.reports {
                    let card = Card { ready: *ready, ..now.card.clone() };
                    let value = Value::Member(Member { card, reports: *number, ..now.clone() });
                    items.push((Key::Member(member.clone()), Some(value)));
                }
                Ok(self.commit(command, items, Text::default()))
            }
            Act::Leave { member, session } => {
                let mut items = self.end(member, *session, Presence::Left)?;
                items.extend(self.free(member, *session));
                Ok(self.commit(command, items, Text::default()))
            }
            Act::Expire { member, session } => {
                // Counted conservatively on both sides: whoever had the session relies on it no more.
                let mut items = self.end(member, *session, Presence::Lost)?;
                items.extend(self.free(member, *session));
                Ok(self.commit(command, items, Text::default()))
            }
            Act::Acquire { member, session, tasks } => {
                let items = self.acquire(member, *session, tasks)?;
                Ok(self.commit(command, items, Text::default()))
            }
            Act::GiveBack { member, session, task, to } => {
                let items = self.give_back(member, *session, task, to.as_ref());
                Ok(self.commit(command, items, Text::default()))
            }
            Act::Lapse { member, session } => {
                if self.in_session(member, *session).is_ok() {
                    let what = format!("session {session} of {member} goes on");
                    return Err(Refusal::Invalid { what });
                }
                let items = self.free(member, *session);
                Ok(self.commit(command, items, Text::default()))
            }
            Act::Sighted { workers } => {
                let items = self.sighted(workers)?;
                Ok(self.commit(command, items, Text::default()))
            }
            Act::Admit { keeper, disk } => self.admit(*keeper, *disk),
        }
    }

    /// What was known of a worker besides stays; one that is no more is forgotten, but for its drain mark and its permit.
    fn sighted(&self, workers: &Different) -> Result<Items, Refusal> {
        if workers.len() > MAX_OPS {
            let what = format!("at most {MAX_OPS} workers in one command, not {}", workers.len());
            return Err(Refusal::Invalid { what });
        }
        let mut items = Items::new();
        for (name, seen) in workers {
            let now = self.worker(name);
            let new = seen.clone().map(|Seen { zone, kind, sight }| {
                let known = now.cloned().unwrap_or_default();
                Worker { zone, kind, sight: Some(sight), ..known }
            });
            if now != new.as_ref() {
                items.push((Key::Worker(name.clone()), new.map(Value::Worker)));
            }
        }
        self.fits(&items, |key| matches!(key, Key::Worker(_)), "workers", MAX_WORKERS)?;
        Ok(items)
    }

    /// A keeper's number belongs to the first disk that had it, for ever: with another one it has forgotten what it
    /// voted for and acknowledged, and the old one may still run.
    fn admit(&mut self, keeper: u64, disk: u64) -> Answer {
        match self.keepers.get(&keeper) {
            Some(known) if *known != disk => Err(Refusal::Invalid {
                what: format!(
                    "keeper {keeper} has been in the group with another disk; a new disk takes a new number"
                ),
            }),
            None if self.keepers.len() >= MAX_KEEPERS => {
                Err(Refusal::Full { what: "numbers of keepers".to_owned(), most: MAX_KEEPERS })
            }
            _ => {
                self.keepers.insert(keeper, disk);
                Ok(Done { revision: self.revision, session: None })
            }
        }
    }

    /// The group has these keepers, each with its disk.
    pub fn seat(&mut self, keepers: impl IntoIterator<Item = (u64, u64)>) {
        for (keeper, disk) in keepers {
            self.keepers.entry(keeper).or_insert(disk);
        }
    }

    fn answered(&mut self, id: RequestId, answer: &Answer) {
        self.answers.push_back((id, answer.clone()));
        if self.answers.len() > MAX_ANSWERS {
            self.answers.pop_front();
        }
    }

    fn holds(&self, expect: &Expect) -> Result<(), Refusal> {
        let found = self.entries.get(&expect.key).map_or(0, |e| e.revision);
        if found == expect.revision {
            return Ok(());
        }
        Err(Refusal::Conflict {
            key: expect.key.clone(),
            expected: expect.revision,
            found,
            at: self.revision,
        })
    }

    fn change(&self, command: &Command, ops: &[Op], why: &Text) -> Result<Items, Refusal> {
        let invalid = |what: &str| Err(Refusal::Invalid { what: what.to_owned() });
        if ops.is_empty() || ops.len() > MAX_OPS {
            return invalid(&format!("1 to {MAX_OPS} changes in one command, not {}", ops.len()));
        }
        let mut touched = BTreeSet::new();
        let mut items = Vec::new();
        for op in ops {
            if !touched.insert(op.key()) {
                return invalid(&format!("{} is changed twice in one command", op.key()));
            }
            let value = match op {
                Op::Drain(_) => {
                    Some(Value::Drain { by: command.by.clone(), at_ms: command.at_ms, why: why.clone() })
                }
                Op::Know(_, worker) => Some(Value::Worker(worker.clone())),
                Op::Set(name, value) => {
                    let Some(setting) = setting::find(name.as_str()) else {
                        return invalid(&format!("no setting {name} that may change"));
                    };
                    if !setting.takes(*value) {
                        let (least, most, unit) = (setting.least, setting.most, setting.unit);
                        return invalid(&format!("{name} takes {least} to {most} {unit}, not {value}"));
                    }
                    Some(Value::Setting(*value))
                }
                Op::Dismiss(name) if self.member(name).is_some_and(|m| m.presence == Presence::Here) => {
                    return invalid(&format!(
                        "{name} is there; only a member that left or is lost is dismissed"
                    ));
                }
                Op::Dismiss(name)
                    if self.permit(&Subject { kind: Kind::Dispatcher, name: name.clone() }).is_some() =>
                {
                    return invalid(&format!("{name} has a permit: withdraw or force that first"));
                }
                Op::Undrain(name)
                    if self
                        .permit(&Subject { kind: Kind::Worker, name: name.clone() })
                        .is_some_and(|p| p.granted.is_some()) =>
                {
                    return invalid(&format!("{name} is out by a permit: that ends it, by back or force"));
                }
                Op::Budget(_, budget) => {
                    if !budget.is_sound() {
                        return invalid("a budget's share is not within 0 and 1");
                    }
                    Some(Value::Budget(*budget))
                }
                Op::Halt(_) => {
                    Some(Value::Halt { by: command.by.clone(), at_ms: command.at_ms, why: why.clone() })
                }
                Op::Revoke { task, fence, to } => match self.lease(task) {
                    Some(lease) if lease.holder.as_ref().is_some_and(|h| h.fence == *fence) => {
                        Some(Value::Lease(Lease { ends: true, next: to.clone(), ..lease.clone() }))
                    }
                    _ => return invalid(&format!("nobody has {task} by a grant of revision {fence}")),
                },
                Op::Ask { .. } | Op::Withdraw(_) | Op::Back(..) | Op::Force(_) => {
                    items.extend(self.change_permit(command, op, why)?);
                    continue;
                }
                Op::Release { .. } | Op::GoBack(_) | Op::Advance(_) | Op::EndRelease => {
                    items.extend(self.change_release(command, op, why)?);
                    continue;
                }
                Op::Undrain(_)
                | Op::Unset(_)
                | Op::Forget(_)
                | Op::Dismiss(_)
                | Op::Unbudget(_)
                | Op::Resume(_) => None,
            };
            items.push((op.key(), value));
        }
        self.fits(&items, |key| matches!(key, Key::Worker(_)), "workers", MAX_WORKERS)?;
        self.fits(&items, |key| matches!(key, Key::Drain(_)), "drain marks", MAX_DRAINS)?;
        self.fits(&items, |key| matches!(key, Key::Permit(_)), "permits", MAX_PERMITS)?;
        // What is already so changes nothing: a mark set twice keeps its first author and time.
        items.retain(|(key, new)| match (self.entries.get(key).map(|e| &e.value), new) {
            (None, None)
            | (Some(Value::Drain { .. }), Some(Value::Drain { .. }))
            | (Some(Value::Halt { .. }), Some(Value::Halt { .. })) => false,
            (old, new) => old != new.as_ref(),
        });
        Ok(items)
    }

    /// Whether the keys of one kind stay within their bound.
    fn fits(&self, items: &Items, kind: fn(&Key) -> bool, what: &str, most: usize) -> Result<(), Refusal> {
        let new = items
            .iter()
            .filter(|(key, value)| value.is_some() && kind(key) && !self.entries.contains_key(key));
        match new.count() {
            0 => Ok(()),
            new if self.count(kind) + new <= most => Ok(()),
            _ => Err(Refusal::Full { what: what.to_owned(), most }),
        }
    }

    fn count(&self, hit: fn(&Key) -> bool) -> usize {
        self.entries.keys().filter(|key| hit(key)).count()
    }

    /// Puts values at their keys.
    fn put(&mut self, revision: u64, items: &Items) {
        for (key, value) in items {
            match value {
                Some(value) => {
                    self.entries.insert(key.clone(), Entry { value: value.clone(), revision });
                }
                None => {
                    self.entries.remove(key);
                }
            }
        }
    }

    /// Makes the next revision of what is changed; of nothing none.
    fn commit(&mut self, command: &Command, mut items: Items, why: Text) -> Done {
        if items.is_empty() {
            return Done { revision: self.revision, session: None };
        }
        self.revision += 1;
        let revision = self.revision;
        self.put(revision, &items);
        items.extend(self.settle_permits(revision));
        // Whoever came, went or is to go may have made one free, or may have one now.
        if items.iter().any(|(key, _)| matches!(key, Key::Member(_) | Key::Lease(_) | Key::Permit(_))) {
            items.extend(self.settle_leases(revision));
        }
        self.logged += items.len();
        let (by, at_ms) = (command.by.clone(), command.at_ms);
        self.log.push_back(Change { revision, by, at_ms, why, items });
        while self.logged > MAX_LOGGED
            && let Some(oldest) = self.log.pop_front()
        {
            self.logged -= oldest.items.len();
            self.compacted = oldest.revision;
        }
        Done { revision, session: None }
    }

    /// The revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// What stands at a key.
    pub fn get(&self, key: &Key) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// All keys in their order, and what stands there.
    pub fn entries(&self) -> impl Iterator<Item = (&Key, &Entry)> {
        self.entries.iter()
    }

    /// A worker.
    pub fn worker(&self, name: &Name) -> Option<&Worker> {
        match &self.entries.get(&Key::Worker(name.clone()))?.value {
            Value::Worker(worker) => Some(worker),
            _ => None,
        }
    }

    /// How many workers are known.
    pub fn workers(&self) -> usize {
        self.count(|key| matches!(key, Key::Worker(_)))
    }

    /// The changes after a revision, the oldest first, at most `most`; `None`: the log no longer has them all, or the
    /// revision is none of this state's, so that a snapshot is wanted.
    pub fn changes_after(&self, revision: u64, most: usize) -> Option<Vec<Change>> {
        if revision < self.compacted || revision > self.revision {
            return None;
        }
        let from = self.log.partition_point(|change| change.revision <= revision);
        Some(self.log.range(from..).take(most).cloned().collect())
    }

    /// The last changes, the newest last.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &Change> {
        self.log.iter()
    }

    /// All that a follower needs.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot { revision: self.revision, entries: self.entries.clone() }
    }
}
