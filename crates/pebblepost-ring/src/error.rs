//! Errors of opening, reading and writing a ring.

use std::{fmt, io, path::PathBuf};

/// Operation of the journal during which its storage failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Listing, opening, reading or syncing files when an existing ring is opened.
    Recovery,
    /// Creating the first files of a ring.
    Formatting,
    /// Creating or reopening a segment file.
    Preparing,
    /// Writing frames.
    Writing,
    /// Syncing written frames.
    Syncing,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Step::Recovery => "recovering the ring",
            Step::Formatting => "formatting the ring",
            Step::Preparing => "preparing a segment",
            Step::Writing => "writing frames",
            Step::Syncing => "syncing a segment",
        })
    }
}

/// Failure of opening, reading or writing a ring.
#[derive(Debug, thiserror::Error)]
pub enum RingError {
    /// The storage failed. The caller may retry the same call.
    #[error("{step} failed: {source}")]
    Storage {
        /// Operation that failed.
        step: Step,
        /// Error of the storage.
        source: io::Error,
    },
    /// The records don't fit until a checkpoint frees the space of older ones.
    #[error("ring full: {needed} bytes needed, {available} available before a checkpoint")]
    Full {
        /// Bytes needed.
        needed: u64,
        /// Bytes that may be written before the next checkpoint.
        available: u64,
    },
    /// Segments exist, but no complete journal can be read from them.
    #[error("no complete journal found in the ring's segments")]
    Damaged,
    /// The size limit allows fewer than the minimum of 8 segments, which a journal and a checkpoint need
    /// between them.
    #[error("size limit of {max_bytes} bytes is less than the 8 segments that a ring needs")]
    TooSmall {
        /// Size limit of the ring, in bytes.
        max_bytes: u64,
    },
    /// The writer thread could not be started.
    #[error("cannot start the disk writer thread")]
    Thread {
        /// Error of the operating system.
        source: io::Error,
    },
}

impl RingError {
    /// Returns a function, for `map_err`, that wraps a storage error with the `step` that failed.
    pub fn storage(step: Step) -> impl FnOnce(io::Error) -> RingError {
        move |source| RingError::Storage { step, source }
    }
}

/// Failure of opening a ring in a folder.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The folder could not be created or opened.
    #[error("cannot open {}", folder.display())]
    Folder {
        /// The folder.
        folder: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The ring in the folder could not be opened or formatted.
    #[error("cannot open the ring in {}", folder.display())]
    Ring {
        /// The folder.
        folder: PathBuf,
        /// Error of the ring.
        source: RingError,
    },
}
