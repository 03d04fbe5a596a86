//! Reads and writes the identity file, which marks a fully formatted ring.

use crate::{
    error::{RingError, Step},
    format::{Checksum, IDENTITY_BYTES, Identity},
    segments::{prepare_file, slot_of},
    storage::Storage,
};
use std::io;

const IDENTITY_FILE: &str = "identity";
/// Name under which the file is written and synced before it is renamed.
const NEW_IDENTITY_FILE: &str = "identity.new";

/// Reads the identity of the ring in the storage; `None` if there is no identity file.
///
/// # Errors
///
/// Fails if the file is damaged or the storage fails.
pub(crate) fn read_identity<S: Storage>(
    storage: &mut S, checksum: Checksum,
) -> Result<Option<Identity>, RingError> {
    read_file(storage, checksum).map_err(RingError::storage(Step::Recovery))
}

/// Removes all ring files from the storage and formats a new ring. The identity file is written last: a
/// ring without it is formatted anew at the next opening.
pub(crate) fn format_ring<S: Storage>(
    storage: &mut S, identity: Identity, checksum: Checksum,
) -> Result<(), RingError> {
    remove_ring_files(storage).map_err(RingError::storage(Step::Formatting))?;
    prepare_file(storage, 0, identity.segment_bytes, false)?;
    write_file(storage, &identity.encode(checksum)).map_err(RingError::storage(Step::Formatting))
}

fn read_file<S: Storage>(storage: &mut S, checksum: Checksum) -> io::Result<Option<Identity>> {
    if !storage.list()?.iter().any(|name| name == IDENTITY_FILE) {
        return Ok(None);
    }
    let mut file = storage.open(IDENTITY_FILE)?;
    let mut bytes = [0; IDENTITY_BYTES];
    let count = storage.read_at(&mut file, 0, &mut bytes)?;
    match Identity::decode(&bytes[..count], checksum) {
        Some(identity) => Ok(Some(identity)),
        // The file gets its final name only after it is durable. An invalid one is therefore damage,
        // and formatting over it would lose the ring's records.
        None => Err(io::Error::new(io::ErrorKind::InvalidData, "identity file is damaged")),
    }
}

fn remove_ring_files<S: Storage>(storage: &mut S) -> io::Result<()> {
    let names = storage.list()?;
    let is_ring_file =
        |name: &&String| *name == IDENTITY_FILE || *name == NEW_IDENTITY_FILE || slot_of(name).is_some();
    let ring_files: Vec<&String> = names.iter().filter(is_ring_file).collect();
    if ring_files.is_empty() {
        return Ok(());
    }
    for name in ring_files {
        storage.remove(name)?;
    }
    storage.sync_folder()
}

fn write_file<S: Storage>(storage: &mut S, bytes: &[u8]) -> io::Result<()> {
    let mut file = storage.create(NEW_IDENTITY_FILE)?;
    storage.write_at(&mut file, 0, bytes)?;
    storage.sync_all(&mut file)?;
    storage.rename(NEW_IDENTITY_FILE, IDENTITY_FILE)?;
    storage.sync_folder()
}
