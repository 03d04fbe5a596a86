//! Files that are either complete or absent: the SHA-256 of the body in hexadecimal on the first line, the body on the second.
//!
//! The fleet agent's snapshot of the agreed state, backups and the predecessor of the fleet store use this form. What the body
//! means is up to the caller.

use sha2::{Digest, Sha256};
use std::fs::File;
use std::io::{self, ErrorKind, Write};
use std::path::Path;

/// Extension of the file that is written before it replaces the old one.
const TEMPORARY_EXTENSION: &str = "new";

/// Writes a file that does not exist yet.
///
/// # Errors
///
/// If the file exists, or cannot be written or synchronized.
pub fn create(path: &Path, body: &str) -> io::Result<()> {
    write(File::create_new(path)?, body)
}

/// Replaces a file atomically: after a crash either the old or the new content is there.
///
/// # Errors
///
/// If the new file cannot be written, synchronized or renamed.
pub fn replace(path: &Path, body: &str) -> io::Result<()> {
    let temporary = path.with_extension(TEMPORARY_EXTENSION);
    write(File::create(&temporary)?, body)?;
    std::fs::rename(&temporary, path)?;
    // The folder's entry has to be durable as well.
    let folder = path.parent().filter(|parent| !parent.as_os_str().is_empty()).unwrap_or(Path::new("."));
    File::open(folder)?.sync_all()
}

/// Reads the body of a file.
///
/// # Errors
///
/// If the file cannot be read; of the kind [`ErrorKind::InvalidData`] if its checksum is not that of its body.
pub fn read(path: &Path) -> io::Result<String> {
    let text = std::fs::read_to_string(path)?;
    match text.trim_end().split_once('\n') {
        Some((sum, body)) if sum == checksum(body) => Ok(body.to_owned()),
        _ => Err(io::Error::new(
            ErrorKind::InvalidData,
            "torn, or not such a file: its checksum is not its body's",
        )),
    }
}

fn checksum(body: &str) -> String {
    Sha256::digest(body.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

fn write(mut file: File, body: &str) -> io::Result<()> {
    file.write_all(format!("{}\n{body}\n", checksum(body)).as_bytes())?;
    file.sync_all()
}
