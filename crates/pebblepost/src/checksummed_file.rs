//! Text files with a checksum, by which a truncated or damaged file is detected.
//!
//! The first line is the SHA-256 of the body in hexadecimal, the second line is the body. The fleet agent's snapshots of the agreed
//! state, backups of the fleet store and files of its predecessor have this format. The caller interprets the body.

use sha2::{Digest, Sha256};
use std::fs::File;
use std::io::{self, ErrorKind, Write};
use std::path::Path;

/// Extension of the temporary file that is written before it replaces the old one.
const TEMPORARY_EXTENSION: &str = "new";

/// Creates a file with this body and synchronizes it to disk.
///
/// # Errors
///
/// If the file exists already, or cannot be written or synchronized.
pub fn create(path: &Path, body: &str) -> io::Result<()> {
    write(File::create_new(path)?, body)
}

/// Replaces the body of a file atomically. After a crash the file has either the old or the new content.
///
/// # Errors
///
/// If the new file cannot be written, synchronized or renamed.
pub fn replace(path: &Path, body: &str) -> io::Result<()> {
    let temporary = path.with_extension(TEMPORARY_EXTENSION);
    write(File::create(&temporary)?, body)?;
    std::fs::rename(&temporary, path)?;
    // The rename is durable only after the folder is synchronized.
    let folder = path.parent().filter(|parent| !parent.as_os_str().is_empty()).unwrap_or(Path::new("."));
    File::open(folder)?.sync_all()
}

/// Reads the body of a file and verifies its checksum.
///
/// # Errors
///
/// If the file cannot be read. The error is of the kind [`ErrorKind::InvalidData`] if the checksum does not match the body.
pub fn read(path: &Path) -> io::Result<String> {
    let text = std::fs::read_to_string(path)?;
    match text.trim_end().split_once('\n') {
        Some((sum, body)) if sum == checksum(body) => Ok(body.to_owned()),
        _ => Err(io::Error::new(
            ErrorKind::InvalidData,
            "file is truncated, damaged or of another format: SHA-256 checksum does not match the body",
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
