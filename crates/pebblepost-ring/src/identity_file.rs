//! The identity file: read at each opening, written last when a ring is formatted.

use crate::{
    error::{RingError, Step},
    format::{Checksum, IDENTITY_BYTES, Identity},
    segments::{prepare, slot_of},
    storage::Storage,
};
use std::io;

const IDENTITY_FILE: &str = "identity";
const NEW_IDENTITY_FILE: &str = "identity.new";

/// Reads the identity of the ring in the storage; `None` if there is none.
pub(crate) fn read_identity<S: Storage>(
    storage: &mut S, checksum: Checksum,
) -> Result<Option<Identity>, RingError> {
    read(storage, checksum).map_err(RingError::storage(Step::Recovery))
}

/// Creates a ring in place of whatever is there. The identity file comes last: without it, the ring
/// doesn't exist.
pub(crate) fn format<S: Storage>(
    storage: &mut S, identity: Identity, checksum: Checksum,
) -> Result<(), RingError> {
    remove_leftovers(storage).map_err(RingError::storage(Step::Formatting))?;
    prepare(storage, 0, identity.segment_bytes, false)?;
    write(storage, &identity.encode(checksum)).map_err(RingError::storage(Step::Formatting))
}

fn read<S: Storage>(storage: &mut S, checksum: Checksum) -> io::Result<Option<Identity>> {
    if !storage.list()?.iter().any(|name| name == IDENTITY_FILE) {
        return Ok(None);
    }
    let mut file = storage.open(IDENTITY_FILE)?;
    let mut bytes = [0; IDENTITY_BYTES];
    let count = storage.read_at(&mut file, 0, &mut bytes)?;
    match Identity::decode(&bytes[..count], checksum) {
        Some(identity) => Ok(Some(identity)),
        // The file is renamed to its name only once it is durable: this disk is damaged, not new.
        None => Err(io::Error::new(io::ErrorKind::InvalidData, "the identity file is damaged")),
    }
}

fn remove_leftovers<S: Storage>(storage: &mut S) -> io::Result<()> {
    let names = storage.list()?;
    let is_of_a_ring =
        |name: &&String| *name == IDENTITY_FILE || *name == NEW_IDENTITY_FILE || slot_of(name).is_some();
    let leftovers: Vec<&String> = names.iter().filter(is_of_a_ring).collect();
    if leftovers.is_empty() {
        return Ok(());
    }
    for name in leftovers {
        storage.remove(name)?;
    }
    storage.sync_folder()
}

fn write<S: Storage>(storage: &mut S, bytes: &[u8]) -> io::Result<()> {
    let mut file = storage.create(NEW_IDENTITY_FILE)?;
    storage.write_at(&mut file, 0, bytes)?;
    storage.sync_all(&mut file)?;
    storage.rename(NEW_IDENTITY_FILE, IDENTITY_FILE)?;
    storage.sync_folder()
}
