//! The state, and the one place where it changes.
//!
//! Each command that changes something makes the next *revision*; each key carries the revision at which it was changed
//! last. The last changes stay in a bounded log, so that a follower goes on where it was; one that is further behind
//! takes a [`Snapshot`].

use crate::command::{Act, Answer, Card, Command, Done, Expect, Op, Refusal, RequestId, Worker};
use crate::name::{Key, Name, Text};
use crate::setting;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Most keys of each kind.
pub const MAX_WORKERS: usize = 20_000;
/// See [`MAX_WORKERS`].
pub const MAX_DRAINS: usize = 20_000;
/// See [`MAX_WORKERS`].
pub const MAX_MEMBERS: usize = 5_000;
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

/// What stands at a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Value {
    /// A drain mark: who set it, when by that one's clock, and why.
    Drain {
        /// Who.
        by: Name,
        /// Unix time in milliseconds.
        at_ms: u64,
        /// Why.
        why: Text,
    },
    /// A worker.
    Worker(Worker),
    /// A setting's value.
    Setting(f64),
    /// A member.
    Member(Member),
}

/// A member of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Member {
    /// What it says of itself.
    pub card: Card,
    /// Counts its lives, from 1.
    pub incarnation: u64,
    /// Its session: a number that no session had before.
    pub session: u64,
    /// Whether that goes on.
    pub presence: Presence,
    /// The present life, and those before it, the last first.
    lives: VecDeque<RequestId>,
}

/// Whether a member is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Presence {
    /// Its session goes on.
    Here,
    /// It ended its session.
    Left,
    /// It was not heard for too long.
    Lost,
}

/// A value and the revision at which it was set.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Entry {
    /// The value.
    pub value: Value,
    /// The revision.
    pub revision: u64,
}

/// What one command changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The revision that it made.
    pub revision: u64,
    /// Who asked for it.
    pub by: Name,
    /// When, by that one's clock.
    pub at_ms: u64,
    /// Why.
    pub why: Text,
    /// The keys, and what stands there now; `None`: nothing.
    pub items: Vec<(Key, Option<Value>)>,
}

/// The whole state at a revision, for a follower.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Snapshot {
    /// The revision.
    pub revision: u64,
    /// All keys.
    pub entries: BTreeMap<Key, Entry>,
}

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
            Act::Leave { member, session } => {
                let items = self.end(member, *session, Presence::Left)?;
                Ok(self.commit(command, items, Text::default()))
            }
            Act::Expire { member, session } => {
                let items = self.end(member, *session, Presence::Lost)?;
                Ok(self.commit(command, items, Text::default()))
            }
            Act::Admit { keeper, disk } => self.admit(*keeper, *disk),
        }
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

    fn restore(&mut self, command: &Command, backup: &Snapshot) -> Answer {
        for (key, entry) in &backup.entries {
            let fits = match (key, &entry.value) {
                (Key::Drain(_), Value::Drain { .. })
                | (Key::Worker(_), Value::Worker(_))
                | (Key::Member(_), Value::Member(_)) => true,
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
        self.entries.retain(|key, _| matches!(key, Key::Member(_)));
        for (key, entry) in &backup.entries {
            let value = match &entry.value {
                Value::Member(_) if self.entries.contains_key(key) => continue,
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
                Op::Undrain(_) | Op::Unset(_) | Op::Forget(_) | Op::Dismiss(_) => None,
            };
            items.push((op.key(), value));
        }
        self.fits(&items, |key| matches!(key, Key::Worker(_)), "workers", MAX_WORKERS)?;
        self.fits(&items, |key| matches!(key, Key::Drain(_)), "drain marks", MAX_DRAINS)?;
        // What is already so changes nothing: a mark set twice keeps its first author and time.
        items.retain(|(key, new)| match (self.entries.get(key).map(|e| &e.value), new) {
            (None, None) | (Some(Value::Drain { .. }), Some(Value::Drain { .. })) => false,
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

    fn join(&self, name: &Name, life: RequestId, card: &Card) -> Result<Items, Refusal> {
        let session = self.revision + 1;
        let key = Key::Member(name.clone());
        let member = match self.member(name) {
            None => {
                if self.count(|key| matches!(key, Key::Member(_))) >= MAX_MEMBERS {
                    return Err(Refusal::Full { what: "members".to_owned(), most: MAX_MEMBERS });
                }
                let lives = VecDeque::from([life]);
                Member { card: card.clone(), incarnation: 1, session, presence: Presence::Here, lives }
            }
            Some(old) => {
                let mut member = Member { card: card.clone(), session, ..old.clone() };
                member.presence = Presence::Here;
                if member.lives.front() != Some(&life) {
                    // A process that was replaced and has woken up must not take the name back.
                    if member.lives.contains(&life) {
                        return Err(Refusal::Superseded {
                            member: name.clone(),
                            incarnation: old.incarnation,
                        });
                    }
                    member.lives.push_front(life);
                    member.lives.truncate(MAX_LIVES);
                    member.incarnation += 1;
                }
                member
            }
        };
        Ok(vec![(key, Some(Value::Member(member)))])
    }

    fn end(&self, name: &Name, session: u64, presence: Presence) -> Result<Items, Refusal> {
        let key = Key::Member(name.clone());
        match self.member(name) {
            Some(m) if m.session == session && m.presence == Presence::Here => {
                Ok(vec![(key, Some(Value::Member(Member { presence, ..m.clone() })))])
            }
            _ => Err(Refusal::Ended { member: name.clone(), session }),
        }
    }

    /// Makes the next revision of what is changed; of nothing none.
    fn commit(&mut self, command: &Command, items: Items, why: Text) -> Done {
        if items.is_empty() {
            return Done { revision: self.revision, session: None };
        }
        self.revision += 1;
        let revision = self.revision;
        for (key, value) in &items {
            match value {
                Some(value) => {
                    self.entries.insert(key.clone(), Entry { value: value.clone(), revision });
                }
                None => {
                    self.entries.remove(key);
                }
            }
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

    /// A member.
    pub fn member(&self, name: &Name) -> Option<&Member> {
        match &self.entries.get(&Key::Member(name.clone()))?.value {
            Value::Member(member) => Some(member),
            _ => None,
        }
    }

    /// All members.
    pub fn members(&self) -> impl Iterator<Item = (&Name, &Member)> {
        self.entries.iter().filter_map(|(key, entry)| match (key, &entry.value) {
            (Key::Member(name), Value::Member(member)) => Some((name, member)),
            _ => None,
        })
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
