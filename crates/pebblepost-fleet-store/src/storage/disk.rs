//! The open `redb` file of a replica, with its integrity check, its identity, its log and its named values.

use super::{AccessError, DiskError, faults};
use crate::raft_types::{LogId, TypeConfig};
use openraft::{Entry, RaftLogId};
use redb::{
    Builder, Database, DatabaseError, ReadableDatabase, ReadableTable, TableDefinition, WriteTransaction,
};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::io::ErrorKind;
use std::ops::{Bound, RangeBounds};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// The table of log entries by index.
pub(super) const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
/// The table of single values by name.
const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
/// The name of the [`DiskIdentity`].
const IDENTITY: &str = "identity";
/// The name of the Raft vote.
pub(super) const VOTE: &str = "vote";
/// The name of the id of the last purged log entry.
pub(super) const PURGED: &str = "purged";
/// The name of the file in the replica's data directory.
pub const FILE_NAME: &str = "keeper.redb";
const CACHE_BYTES: usize = 16 * 1024 * 1024;

/// The replica that a disk belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DiskIdentity {
    /// The name of the group.
    pub group: String,
    /// The replica's number.
    pub id: u64,
    /// The random id that the disk got when it was initialized.
    pub disk: u64,
}

impl DiskIdentity {
    /// Returns whether both disks belong to the same replica.
    fn is_same_replica(&self, other: &Self) -> bool {
        self.group == other.group && self.id == other.id
    }

    /// Formats the replica's number and group for error messages.
    fn replica_name(&self) -> String {
        format!("{} of group {:?}", self.id, self.group)
    }
}

/// An open disk. Clones share the same file.
#[derive(Clone, Debug)]
pub struct Disk {
    database: Arc<Database>,
    path: PathBuf,
    identity: DiskIdentity,
}

impl Disk {
    /// Opens and checks the disk in a directory, or initializes it if there is none. A new disk gets the id
    /// `new_disk_id`.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or written, is damaged, or belongs to another replica.
    pub fn open(data_dir: &Path, group: &str, id: u64, new_disk_id: u64) -> Result<Self, DiskError> {
        let path = data_dir.join(FILE_NAME);
        let io_error =
            |cause: &dyn std::fmt::Display| DiskError::Io { path: path.clone(), cause: cause.to_string() };
        let damaged =
            |error: AccessError| DiskError::Damaged { path: path.clone(), cause: error.to_string() };
        std::fs::create_dir_all(data_dir).map_err(|error| io_error(&error))?;
        let database = open_database(&path)?;
        let expected = DiskIdentity { group: group.to_owned(), id, disk: new_disk_id };
        let identity = match get::<DiskIdentity>(&database, IDENTITY).map_err(damaged)? {
            Some(found) if found.is_same_replica(&expected) => found,
            Some(found) => {
                let (found, expected) = (found.replica_name(), expected.replica_name());
                return Err(DiskError::WrongReplica { path, found, expected });
            }
            None => {
                initialize(&database, &expected).map_err(|error| io_error(&error))?;
                expected
            }
        };
        let disk = Self { database: Arc::new(database), path: path.clone(), identity };
        disk.check_entries().map_err(damaged)?;
        Ok(disk)
    }

    /// Returns the identity of the replica that the disk belongs to.
    pub fn identity(&self) -> &DiskIdentity {
        &self.identity
    }

    /// Returns the path of the file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Reads the value stored under a name. Returns `None` if there is none.
    ///
    /// # Errors
    ///
    /// Returns an error if the disk cannot be read or the value is not valid JSON of type `T`.
    pub fn get<T: DeserializeOwned>(&self, name: &str) -> Result<Option<T>, AccessError> {
        get(&self.database, name)
    }

    /// Stores a value under a name and syncs the disk. The write runs on a blocking thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the disk cannot be written.
    pub async fn put<T: Serialize + Send + 'static>(
        &self, name: &'static str, value: T,
    ) -> Result<(), AccessError> {
        self.write(move |transaction| put(transaction, name, &value)).await
    }

    /// Runs a write transaction on a blocking thread and syncs the disk.
    pub(super) async fn write<T: Send + 'static>(
        &self, write: impl FnOnce(&WriteTransaction) -> Result<T, AccessError> + Send + 'static,
    ) -> Result<T, AccessError> {
        let database = self.database.clone();
        tokio::task::spawn_blocking(move || {
            let mut transaction = begin_write(&database)?;
            faults::inject_into_write(&mut transaction)?;
            let result = write(&transaction)?;
            transaction.commit()?;
            Ok(result)
        })
        .await?
    }

    pub(super) fn entries(
        &self, range: impl RangeBounds<u64>,
    ) -> Result<Vec<Entry<TypeConfig>>, AccessError> {
        let owned = |bound: Bound<&u64>| bound.cloned();
        let range = (owned(range.start_bound()), owned(range.end_bound()));
        let transaction = self.database.begin_read()?;
        let mut entries = Vec::new();
        for item in transaction.open_table(LOG)?.range(range)? {
            entries.push(serde_json::from_slice(item?.1.value())?);
        }
        Ok(entries)
    }

    pub(super) fn last_entry(&self) -> Result<Option<LogId>, AccessError> {
        let transaction = self.database.begin_read()?;
        let table = transaction.open_table(LOG)?;
        let Some((_, bytes)) = table.last()? else { return Ok(None) };
        let entry: Entry<TypeConfig> = serde_json::from_slice(bytes.value())?;
        Ok(Some(*entry.get_log_id()))
    }

    /// Reads every log entry once, so that unreadable entries and gaps are found at the start and not later
    /// during operation.
    fn check_entries(&self) -> Result<(), AccessError> {
        let transaction = self.database.begin_read()?;
        let table = transaction.open_table(LOG)?;
        let mut expected_index = None;
        for item in table.iter()? {
            let (index, bytes) = item?;
            let index = index.value();
            serde_json::from_slice::<Entry<TypeConfig>>(bytes.value())?;
            if expected_index.is_some_and(|expected| expected != index) {
                return Err(AccessError::Gap { index });
            }
            expected_index = Some(index + 1);
        }
        Ok(())
    }
}

/// Opens or creates the database and checks the integrity of the whole file.
fn open_database(path: &Path) -> Result<Database, DiskError> {
    let io_error =
        |cause: &dyn std::fmt::Display| DiskError::Io { path: path.to_owned(), cause: cause.to_string() };
    let damaged = |cause: String| DiskError::Damaged { path: path.to_owned(), cause };
    // redb panics instead of returning an error on some kinds of damage, for example on a flipped bit in the
    // state of its page allocator. Such a panic is reported as a damaged file.
    let opened = std::panic::catch_unwind(|| {
        // An empty file is left by an interrupted initialization. Nothing was acknowledged from it, so it is
        // initialized again.
        let exists = std::fs::metadata(path).is_ok_and(|metadata| metadata.len() > 0);
        let mut builder = Builder::new();
        builder.set_cache_size(CACHE_BYTES);
        let mut database = faults::open(&builder, path, exists)?;
        let is_intact = database.check_integrity()?;
        Ok((database, is_intact))
    });
    let opened = opened.map_err(|_| damaged("invalid state of the page allocator".to_owned()))?;
    match opened {
        Ok((database, true)) => Ok(database),
        Ok((_, false)) => Err(damaged("checksum mismatch".to_owned())),
        Err(DatabaseError::DatabaseAlreadyOpen) => Err(io_error(&"the file is open in another process")),
        Err(DatabaseError::Storage(redb::StorageError::Io(error)))
            if !matches!(error.kind(), ErrorKind::InvalidData | ErrorKind::UnexpectedEof) =>
        {
            Err(io_error(&error))
        }
        Err(error) => Err(damaged(error.to_string())),
    }
}

fn initialize(database: &Database, identity: &DiskIdentity) -> Result<(), AccessError> {
    let transaction = begin_write(database)?;
    transaction.open_table(LOG)?;
    put(&transaction, IDENTITY, identity)?;
    transaction.commit()?;
    Ok(())
}

fn begin_write(database: &Database) -> Result<WriteTransaction, AccessError> {
    let mut transaction = database.begin_write()?;
    transaction.set_two_phase_commit(true);
    Ok(transaction)
}

pub(super) fn put<T: Serialize>(
    transaction: &WriteTransaction, name: &str, value: &T,
) -> Result<(), AccessError> {
    transaction.open_table(META)?.insert(name, serde_json::to_vec(value)?.as_slice())?;
    Ok(())
}

fn get<T: DeserializeOwned>(database: &Database, name: &str) -> Result<Option<T>, AccessError> {
    let transaction = database.begin_read()?;
    let table = match transaction.open_table(META) {
        Ok(table) => table,
        Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
        Err(error) => return Err(error.into()),
    };
    let value = table.get(name)?;
    Ok(value.map(|bytes| serde_json::from_slice(bytes.value())).transpose()?)
}
