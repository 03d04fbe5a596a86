//! Errors of the ring.

use std::{error::Error, fmt, io};

/// What the journal was doing when its storage failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Listing, reading or opening files when the ring is opened.
    Recovery,
    /// Making the first files of a ring.
    Formatting,
    /// Making or reopening a segment file.
    Preparing,
    /// Writing frames.
    Writing,
    /// Making written frames durable.
    Syncing,
}

impl fmt::Display for Step {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Step::Recovery => "recovering the ring",
            Step::Formatting => "formatting the ring",
            Step::Preparing => "preparing a segment",
            Step::Writing => "writing frames",
            Step::Syncing => "syncing a segment",
        })
    }
}

/// Why the journal could not do what it was asked for.
#[derive(Debug)]
pub enum RingError {
    /// The storage failed; the same call may pass later.
    Storage {
        /// What was being done.
        step: Step,
        /// The storage's own error.
        source: io::Error,
    },
    /// The records don't fit until a checkpoint frees older ones.
    Full {
        /// Bytes needed.
        needed: u64,
        /// Bytes that may still be written.
        available: u64,
    },
    /// Segments exist, but no whole journal can be read from them.
    Damaged,
    /// The ring is too small to hold a journal and a checkpoint.
    TooSmall {
        /// The size asked for.
        most_bytes: u64,
    },
}

impl RingError {
    /// Wraps an error of the storage with the step at which it arose.
    pub fn storage(step: Step) -> impl FnOnce(io::Error) -> RingError {
        move |source| RingError::Storage { step, source }
    }
}

impl fmt::Display for RingError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RingError::Storage { step, source } => write!(formatter, "{step}: {source}"),
            RingError::Full { needed, available } => {
                write!(
                    formatter,
                    "ring full: {needed} bytes needed, {available} available before a checkpoint"
                )
            }
            RingError::Damaged => formatter.write_str("no whole journal found in the segments"),
            RingError::TooSmall { most_bytes } => {
                write!(formatter, "{most_bytes} bytes are too few for a ring")
            }
        }
    }
}

impl Error for RingError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            RingError::Storage { source, .. } => Some(source),
            _ => None,
        }
    }
}
