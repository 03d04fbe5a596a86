//! The replicated state of one replica. It applies the log entries in order and creates snapshots.
//!
//! The state is held in memory. The disk holds the last snapshot and the log entries after it.

use crate::raft_types::{EntryResult, LogId, Membership, TypeConfig};
use crate::storage::{AccessError, Disk, SnapshotMeta, StoredSnapshot, raft_cause};
use openraft::storage::{RaftSnapshotBuilder, RaftStateMachine, Snapshot};
use openraft::{Entry, EntryPayload, OptionalSend, StorageError, StorageIOError};
use pebblepost_fleet::State;
use std::io::Cursor;
use std::sync::{Arc, PoisonError, RwLock, RwLockReadGuard};
use tokio::sync::watch;

type RaftResult<T> = Result<T, StorageError<u64>>;

/// The state, the last log entry that was applied to it, and the group's membership at that entry.
#[derive(Debug, Default)]
struct AppliedState {
    state: State,
    last_applied: Option<LogId>,
    membership: Membership,
}

impl AppliedState {
    fn apply(&mut self, entry: Entry<TypeConfig>) -> EntryResult {
        self.last_applied = Some(entry.log_id);
        match entry.payload {
            EntryPayload::Blank => EntryResult(None),
            EntryPayload::Normal(command) => EntryResult(Some(self.state.apply(&command))),
            EntryPayload::Membership(membership) => {
                self.state.register_replicas(membership.nodes().map(|(id, peer)| (*id, peer.disk)));
                self.membership = Membership::new(Some(entry.log_id), membership);
                EntryResult(None)
            }
        }
    }
}

/// The state machine of a replica. Clones share the same state.
#[derive(Clone, Debug)]
pub struct StateMachine {
    applied: Arc<RwLock<AppliedState>>,
    /// The newest revision. Watches wait for its changes.
    revision_sender: Arc<watch::Sender<u64>>,
    disk: Disk,
}

/// A read lock on the state. No entry can be applied while it is held, so it must be dropped soon and must
/// not be held across an `await`.
pub struct StateGuard<'a>(RwLockReadGuard<'a, AppliedState>);

impl std::ops::Deref for StateGuard<'_> {
    type Target = State;

    fn deref(&self) -> &State {
        &self.0.state
    }
}

impl StateMachine {
    /// Restores the state machine from the last snapshot on the disk, or creates an empty one.
    ///
    /// # Errors
    ///
    /// Returns an error if the snapshot cannot be read.
    pub fn open(disk: Disk) -> Result<Self, AccessError> {
        let applied = match disk.snapshot()? {
            Some(snapshot) => AppliedState {
                state: serde_json::from_str(&snapshot.data)?,
                last_applied: snapshot.meta.last_log_id,
                membership: snapshot.meta.last_membership,
            },
            None => AppliedState::default(),
        };
        let revision_sender = Arc::new(watch::Sender::new(applied.state.revision()));
        Ok(Self { applied: Arc::new(RwLock::new(applied)), revision_sender, disk })
    }

    /// Locks the current state for reading.
    pub fn read(&self) -> StateGuard<'_> {
        StateGuard(self.read_applied())
    }

    /// Returns a receiver that is notified of each new revision.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.revision_sender.subscribe()
    }

    fn read_applied(&self) -> RwLockReadGuard<'_, AppliedState> {
        self.applied.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the state under the write lock and publishes its revision.
    fn write_applied<T>(&self, change: impl FnOnce(&mut AppliedState) -> T) -> T {
        let mut applied = self.applied.write().unwrap_or_else(PoisonError::into_inner);
        let result = change(&mut applied);
        self.revision_sender.send_replace(applied.state.revision());
        result
    }
}

impl RaftSnapshotBuilder<TypeConfig> for StateMachine {
    async fn build_snapshot(&mut self) -> RaftResult<Snapshot<TypeConfig>> {
        // The state is cloned so that entries can be applied while the snapshot is written.
        let (state, last_applied, membership) = {
            let applied = self.read_applied();
            (applied.state.clone(), applied.last_applied, applied.membership.clone())
        };
        let failed = |error: &dyn std::fmt::Display| {
            StorageIOError::write_snapshot(None, raft_cause(&self.disk, error))
        };
        let text = tokio::task::spawn_blocking(move || serde_json::to_string(&state)).await;
        let data = text.map_err(|error| failed(&error))?.map_err(|error| failed(&error))?;
        let snapshot_id =
            last_applied.map_or_else(|| "0".to_owned(), |id| format!("{}-{}", id.leader_id, id.index));
        let meta = SnapshotMeta { last_log_id: last_applied, last_membership: membership, snapshot_id };
        let stored = StoredSnapshot { meta: meta.clone(), data: data.clone() };
        self.disk.save_snapshot(stored).await.map_err(|error| failed(&error))?;
        Ok(Snapshot { meta, snapshot: Box::new(Cursor::new(data.into_bytes())) })
    }
}

impl RaftStateMachine<TypeConfig> for StateMachine {
    type SnapshotBuilder = Self;

    async fn applied_state(&mut self) -> RaftResult<(Option<LogId>, Membership)> {
        let applied = self.read_applied();
        Ok((applied.last_applied, applied.membership.clone()))
    }

    async fn apply<I>(&mut self, entries: I) -> RaftResult<Vec<EntryResult>>
    where
        I: IntoIterator<Item = Entry<TypeConfig>> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        Ok(self.write_applied(|applied| entries.into_iter().map(|entry| applied.apply(entry)).collect()))
    }

    async fn get_snapshot_builder(&mut self) -> Self {
        self.clone()
    }

    async fn begin_receiving_snapshot(&mut self) -> RaftResult<Box<Cursor<Vec<u8>>>> {
        Ok(Box::default())
    }

    async fn install_snapshot(
        &mut self, meta: &SnapshotMeta, snapshot: Box<Cursor<Vec<u8>>>,
    ) -> RaftResult<()> {
        let failed = |error: &dyn std::fmt::Display| {
            StorageIOError::write_snapshot(Some(meta.signature()), raft_cause(&self.disk, error))
        };
        let data = String::from_utf8(snapshot.into_inner()).map_err(|error| failed(&error))?;
        let state: State = serde_json::from_str(&data).map_err(|error| failed(&error))?;
        let stored = StoredSnapshot { meta: meta.clone(), data };
        self.disk.save_snapshot(stored).await.map_err(|error| failed(&error))?;
        self.write_applied(|applied| {
            *applied = AppliedState {
                state,
                last_applied: meta.last_log_id,
                membership: meta.last_membership.clone(),
            };
        });
        Ok(())
    }

    async fn get_current_snapshot(&mut self) -> RaftResult<Option<Snapshot<TypeConfig>>> {
        let stored = self.disk.snapshot();
        let stored =
            stored.map_err(|error| StorageIOError::read_snapshot(None, raft_cause(&self.disk, &error)))?;
        Ok(stored.map(|stored| {
            let snapshot = Box::new(Cursor::new(stored.data.into_bytes()));
            Snapshot { meta: stored.meta, snapshot }
        }))
    }
}
