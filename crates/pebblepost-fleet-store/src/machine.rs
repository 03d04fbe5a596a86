//! The agreed state at one keeper: entries of the log go in, in their order, and snapshots come out. The state lives in
//! memory; what is on disk is the last snapshot and the log after it.

use crate::disk::{Disk, cause};
use crate::group::{Applied, Group, LogId, Membership, Peer};
use openraft::storage::{RaftSnapshotBuilder, RaftStateMachine, Snapshot};
use openraft::{Entry, EntryPayload, OptionalSend, SnapshotMeta, StorageError, StorageIOError};
use pebblepost_fleet::State;
use serde::{Deserialize, Serialize};
use std::io::Cursor;
use std::sync::{Arc, PoisonError, RwLock, RwLockReadGuard};
use tokio::sync::watch;

type Meta = SnapshotMeta<u64, Peer>;

/// A snapshot as it is kept on disk and carried to other keepers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Kept {
    pub(crate) meta: Meta,
    data: String,
}

#[derive(Debug, Default)]
struct Inside {
    state: State,
    last: Option<LogId>,
    membership: Membership,
}

/// The state machine.
#[derive(Clone, Debug)]
pub struct Machine {
    inside: Arc<RwLock<Inside>>,
    /// The newest revision, for those who wait for a change.
    revision: Arc<watch::Sender<u64>>,
    disk: Disk,
}

/// The state, locked for reading: held for moments only.
pub struct Reading<'a>(RwLockReadGuard<'a, Inside>);

impl std::ops::Deref for Reading<'_> {
    type Target = State;
    fn deref(&self) -> &State {
        &self.0.state
    }
}

impl Machine {
    /// Goes on from the last snapshot on the disk.
    pub fn open(disk: Disk) -> Result<Self, Box<dyn std::error::Error + Send + Sync>> {
        let inside = match disk.get::<Kept>("snapshot")? {
            Some(kept) => Inside {
                state: serde_json::from_str(&kept.data)?,
                last: kept.meta.last_log_id,
                membership: kept.meta.last_membership,
            },
            None => Inside::default(),
        };
        let revision = Arc::new(watch::Sender::new(inside.state.revision()));
        Ok(Self { inside: Arc::new(RwLock::new(inside)), revision, disk })
    }

    /// The state now.
    pub fn read(&self) -> Reading<'_> {
        Reading(self.inside.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Tells of each new revision.
    pub fn changed(&self) -> watch::Receiver<u64> {
        self.revision.subscribe()
    }

    fn write<T>(&self, work: impl FnOnce(&mut Inside) -> T) -> T {
        let mut inside = self.inside.write().unwrap_or_else(PoisonError::into_inner);
        let result = work(&mut inside);
        self.revision.send_replace(inside.state.revision());
        result
    }
}

impl RaftSnapshotBuilder<Group> for Machine {
    async fn build_snapshot(&mut self) -> Result<Snapshot<Group>, StorageError<u64>> {
        // A copy, so that commands go on being applied while it is written down.
        let (state, last, membership) = {
            let inside = self.inside.read().unwrap_or_else(PoisonError::into_inner);
            (inside.state.clone(), inside.last, inside.membership.clone())
        };
        let failed = |e: &dyn std::fmt::Display| StorageIOError::write_snapshot(None, cause(&self.disk, e));
        let text = tokio::task::spawn_blocking(move || serde_json::to_string(&state)).await;
        let data = text.map_err(|e| failed(&e))?.map_err(|e| failed(&e))?;
        let snapshot_id = last.map_or_else(|| "0".to_owned(), |l| format!("{}-{}", l.leader_id, l.index));
        let meta = Meta { last_log_id: last, last_membership: membership, snapshot_id };
        let kept = Kept { meta: meta.clone(), data: data.clone() };
        self.disk.put("snapshot", kept).await.map_err(|e| failed(&e))?;
        Ok(Snapshot { meta, snapshot: Box::new(Cursor::new(data.into_bytes())) })
    }
}

impl RaftStateMachine<Group> for Machine {
    type SnapshotBuilder = Self;

    async fn applied_state(&mut self) -> Result<(Option<LogId>, Membership), StorageError<u64>> {
        let inside = self.inside.read().unwrap_or_else(PoisonError::into_inner);
        Ok((inside.last, inside.membership.clone()))
    }

    async fn apply<I>(&mut self, entries: I) -> Result<Vec<Applied>, StorageError<u64>>
    where
        I: IntoIterator<Item = Entry<Group>> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let apply = |inside: &mut Inside, entry: Entry<Group>| {
            inside.last = Some(entry.log_id);
            match entry.payload {
                EntryPayload::Blank => Applied(None),
                EntryPayload::Normal(command) => Applied(Some(inside.state.apply(&command))),
                EntryPayload::Membership(members) => {
                    inside.state.register_replicas(members.nodes().map(|(id, peer)| (*id, peer.disk)));
                    inside.membership = Membership::new(Some(entry.log_id), members);
                    Applied(None)
                }
            }
        };
        Ok(self.write(|inside| entries.into_iter().map(|entry| apply(inside, entry)).collect()))
    }

    async fn get_snapshot_builder(&mut self) -> Self {
        self.clone()
    }

    async fn begin_receiving_snapshot(&mut self) -> Result<Box<Cursor<Vec<u8>>>, StorageError<u64>> {
        Ok(Box::default())
    }

    async fn install_snapshot(
        &mut self, meta: &Meta, snapshot: Box<Cursor<Vec<u8>>>,
    ) -> Result<(), StorageError<u64>> {
        let failed = |e: &dyn std::fmt::Display| {
            StorageIOError::write_snapshot(Some(meta.signature()), cause(&self.disk, e))
        };
        let data = String::from_utf8(snapshot.into_inner()).map_err(|e| failed(&e))?;
        let state: State = serde_json::from_str(&data).map_err(|e| failed(&e))?;
        let kept = Kept { meta: meta.clone(), data };
        self.disk.put("snapshot", kept).await.map_err(|e| failed(&e))?;
        self.write(|inside| {
            *inside = Inside { state, last: meta.last_log_id, membership: meta.last_membership.clone() };
        });
        Ok(())
    }

    async fn get_current_snapshot(&mut self) -> Result<Option<Snapshot<Group>>, StorageError<u64>> {
        let kept = self.disk.get::<Kept>("snapshot");
        let kept = kept.map_err(|e| StorageIOError::read_snapshot(None, cause(&self.disk, &e)))?;
        Ok(kept.map(|k| Snapshot { meta: k.meta, snapshot: Box::new(Cursor::new(k.data.into_bytes())) }))
    }
}
