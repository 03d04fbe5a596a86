//! Errors of the ring.

use std::{fmt, io, path::PathBuf};

/// What the journal was doing when its storage failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Listing, reading or opening files when the ring is opened.
    Recovery,
    /// Creating the first files of a ring.
    Formatting,
    /// Creating or reopening a segment file.
    Preparing,
    /// Writing frames.
    Writing,
    /// Making written frames durable.
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

/// Why the journal could not do what it was asked for.
#[derive(Debug, thiserror::Error)]
pub enum RingError {
    /// The storage failed; the same call may succeed later.
    #[error("{step}: {source}")]
    Storage {
        /// What was being done.
        step: Step,
        /// The storage's own error.
        source: io::Error,
    },
    /// The records don't fit until a checkpoint frees older ones.
    #[error("ring full: {needed} bytes needed, {available} available before a checkpoint")]
    Full {
        /// Bytes needed.
        needed: u64,
        /// Bytes that may still be written.
        available: u64,
    },
    /// Segments exist, but no complete journal can be read from them.
    #[error("no whole journal found in the segments")]
    Damaged,
    /// The ring is too small to hold a journal and a checkpoint.
    #[error("{max_bytes} bytes are too few for a ring")]
    TooSmall {
        /// The size asked for.
        max_bytes: u64,
    },
    /// The thread that writes could not be started.
    #[error("starting the disk's thread")]
    Thread {
        /// The system's error.
        source: io::Error,
    },
}

impl RingError {
    /// Wraps an error of the storage with the step at which it arose.
    pub fn storage(step: Step) -> impl FnOnce(io::Error) -> RingError {
        move |source| RingError::Storage { step, source }
    }
}

/// Why a ring in a folder could not be opened.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The folder could not be created or opened.
    #[error("opening {}", folder.display())]
    Folder {
        /// The folder.
        folder: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The ring in the folder could not be opened or formatted.
    #[error("opening the ring in {}", folder.display())]
    Ring {
        /// The folder.
        folder: PathBuf,
        /// Why.
        source: RingError,
    },
}
