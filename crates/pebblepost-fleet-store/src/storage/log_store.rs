//! Implements openraft's storage of the log and the vote on the disk.

use super::disk::{Disk, LOG, PURGED, VOTE, put};
use super::{AccessError, raft_cause};
use crate::raft_types::{LogId, TypeConfig};
use openraft::storage::{LogFlushed, LogState, RaftLogReader, RaftLogStorage};
use openraft::{Entry, OptionalSend, RaftLogId, StorageError, StorageIOError, Vote};
use redb::WriteTransaction;
use std::fmt::Debug;
use std::ops::RangeBounds;

type RaftResult<T> = Result<T, StorageError<u64>>;

impl RaftLogReader<TypeConfig> for Disk {
    async fn try_get_log_entries<RB: RangeBounds<u64> + Clone + Debug + OptionalSend>(
        &mut self, range: RB,
    ) -> RaftResult<Vec<Entry<TypeConfig>>> {
        self.entries(range).map_err(|error| StorageIOError::read_logs(raft_cause(self, &error)).into())
    }
}

impl RaftLogStorage<TypeConfig> for Disk {
    type LogReader = Self;

    async fn get_log_state(&mut self) -> RaftResult<LogState<TypeConfig>> {
        self.log_state().map_err(|error| StorageIOError::read_logs(raft_cause(self, &error)).into())
    }

    async fn get_log_reader(&mut self) -> Self {
        self.clone()
    }

    async fn save_vote(&mut self, vote: &Vote<u64>) -> RaftResult<()> {
        let saved = self.put(VOTE, *vote).await;
        saved.map_err(|error| StorageIOError::write_vote(raft_cause(self, &error)).into())
    }

    /// Reads the vote, with a vote for this replica marked as not committed. openraft calls this only at the
    /// start.
    ///
    /// With a committed vote for itself, a restarted leader would resume as leader at once, without a new
    /// entry in the log. It would not know the commit index, and it has responded to reads from a state that
    /// lacked acknowledged changes. With a vote that is not committed, it has to win an election first. The
    /// entry that a new leader commits at the start of its term tells it the commit index before it responds
    /// to any read.
    ///
    /// With the feature `faults`, `PEBBLEPOST_FAULT_RESUME` disables this protection.
    async fn read_vote(&mut self) -> RaftResult<Option<Vote<u64>>> {
        let vote: Option<Vote<u64>> =
            self.get(VOTE).map_err(|error| StorageIOError::read_vote(raft_cause(self, &error)))?;
        let may_resume = cfg!(feature = "faults") && std::env::var_os("PEBBLEPOST_FAULT_RESUME").is_some();
        Ok(vote.map(|vote| match vote.leader_id.voted_for() {
            Some(candidate) if candidate == self.identity().id && !may_resume => {
                Vote { committed: false, ..vote }
            }
            _ => vote,
        }))
    }

    async fn append<I>(&mut self, entries: I, callback: LogFlushed<TypeConfig>) -> RaftResult<()>
    where
        I: IntoIterator<Item = Entry<TypeConfig>> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let rows: Result<Vec<(u64, Vec<u8>)>, serde_json::Error> = entries
            .into_iter()
            .map(|entry| Ok((entry.get_log_id().index, serde_json::to_vec(&entry)?)))
            .collect();
        let rows = rows.map_err(|error| StorageIOError::write_logs(raft_cause(self, &error)))?;
        let insert = move |transaction: &WriteTransaction| {
            let mut table = transaction.open_table(LOG)?;
            for (index, bytes) in &rows {
                table.insert(*index, bytes.as_slice())?;
            }
            Ok(())
        };
        match self.write(insert).await {
            Ok(()) => {
                callback.log_io_completed(Ok(()));
                Ok(())
            }
            Err(error) => {
                let error = raft_cause(self, &error);
                callback.log_io_completed(Err(std::io::Error::other(error.to_string())));
                Err(StorageIOError::write_logs(error).into())
            }
        }
    }

    async fn truncate(&mut self, log_id: LogId) -> RaftResult<()> {
        let remove = move |transaction: &WriteTransaction| {
            transaction.open_table(LOG)?.retain_in(log_id.index.., |_, _| false)?;
            Ok(())
        };
        let removed = self.write(remove).await;
        removed.map_err(|error| StorageIOError::write_logs(raft_cause(self, &error)).into())
    }

    async fn purge(&mut self, log_id: LogId) -> RaftResult<()> {
        let remove = move |transaction: &WriteTransaction| {
            put(transaction, PURGED, &log_id)?;
            transaction.open_table(LOG)?.retain_in(..=log_id.index, |_, _| false)?;
            Ok(())
        };
        let removed = self.write(remove).await;
        removed.map_err(|error| StorageIOError::write_logs(raft_cause(self, &error)).into())
    }
}

impl Disk {
    fn log_state(&self) -> Result<LogState<TypeConfig>, AccessError> {
        let purged: Option<LogId> = self.get(PURGED)?;
        Ok(LogState { last_purged_log_id: purged, last_log_id: self.last_entry()?.or(purged) })
    }
}
