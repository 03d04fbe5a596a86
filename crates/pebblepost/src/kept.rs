//! Small files that must be whole or not there: a checksum on the first line, the body on the second. Copies of the
//! agreed state, backups and the old store's file are such.

use sha2::{Digest, Sha256};
use std::fs::File;
use std::io::{self, ErrorKind, Write};
use std::path::Path;

fn checksum(body: &str) -> String {
    Sha256::digest(body.as_bytes()).iter().map(|b| format!("{b:02x}")).collect()
}

fn write(mut file: File, body: &str) -> io::Result<()> {
    file.write_all(format!("{}\n{body}\n", checksum(body)).as_bytes())?;
    file.sync_all()
}

/// Writes a file that must not exist.
pub fn create(path: &Path, body: &str) -> io::Result<()> {
    write(File::create_new(path)?, body)
}

/// Replaces a file, so that a crash leaves the old one or the new one, whole.
pub fn replace(path: &Path, body: &str) -> io::Result<()> {
    let fresh = path.with_extension("new");
    write(File::create(&fresh)?, body)?;
    std::fs::rename(&fresh, path)?;
    // The rename itself has to last as well.
    let folder = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
    File::open(folder)?.sync_all()
}

/// The body of a file. One that is not what was written is an error of the kind `InvalidData`.
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
