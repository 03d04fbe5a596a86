//! Compression of the updates that are sent to many subscribers.
//!
//! Updates with hundreds of routes or transcribers go to every agent of a fleet. Uncompressed, they would occupy the
//! network link of the control primary for most of a second.

use nanoserde::SerBin;
use pebblepost_messages::feed::{CompressedUpdates, ConfigurationUpdate, FeedUpdate};

/// Deflate level. On configurations, higher levels take several times the processor time and save only a few percent
/// of the size.
const COMPRESSION_LEVEL: u8 = 3;
/// Encoded updates that are shorter than this are not compressed.
const MIN_COMPRESSED_BYTES: usize = 512;
/// Upper bound on the length of a decompressed document. It limits the memory that a damaged or malicious length can
/// make a receiver allocate.
const MAX_DOCUMENT_BYTES: usize = 256 * 1024 * 1024;

/// Why a compressed document cannot be decompressed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecompressError {
    /// The announced length exceeds the limit of 256 MiB.
    #[error(
        "the announced length of {uncompressed_bytes} bytes exceeds the limit of {} bytes",
        MAX_DOCUMENT_BYTES
    )]
    TooLarge {
        /// Announced length of the document, in bytes.
        uncompressed_bytes: u64,
    },
    /// The bytes are not a complete deflate stream, or decompress to more than the announced length.
    #[error("the compressed document is damaged, or decompresses to more than the announced length")]
    Corrupted,
    /// The document is shorter than the announced length.
    #[error("the document has {actual_bytes} bytes, but {expected_bytes} were announced")]
    LengthMismatch {
        /// Announced length, in bytes.
        expected_bytes: usize,
        /// Length of the decompressed document, in bytes.
        actual_bytes: usize,
    },
}

/// Returns a full configuration as a compressed update.
pub fn compress_configuration(generation: u64, document: &[u8]) -> ConfigurationUpdate {
    ConfigurationUpdate::Compressed {
        generation,
        uncompressed_bytes: document.len() as u64,
        compressed: miniz_oxide::deflate::compress_to_vec(document, COMPRESSION_LEVEL),
    }
}

/// Compresses updates once for all subscribers.
///
/// Returns `None` if their encoded form has less than 512 bytes, where compression does not pay off.
pub fn compress_updates(updates: &[FeedUpdate]) -> Option<CompressedUpdates> {
    let encoded = SerBin::serialize_bin(&updates.to_vec());
    if encoded.len() < MIN_COMPRESSED_BYTES {
        return None;
    }
    Some(CompressedUpdates {
        uncompressed_bytes: encoded.len() as u64,
        compressed: miniz_oxide::deflate::compress_to_vec(&encoded, COMPRESSION_LEVEL),
    })
}

/// Decompresses a document, or updates in their encoded form.
///
/// # Errors
///
/// Fails if the announced length exceeds the limit or is not that of the document, or if the bytes are damaged.
pub fn decompress(uncompressed_bytes: u64, compressed: &[u8]) -> Result<Vec<u8>, DecompressError> {
    let expected_bytes = usize::try_from(uncompressed_bytes)
        .ok()
        .filter(|bytes| *bytes <= MAX_DOCUMENT_BYTES)
        .ok_or(DecompressError::TooLarge { uncompressed_bytes })?;
    let document = miniz_oxide::inflate::decompress_to_vec_with_limit(compressed, expected_bytes)
        .map_err(|_| DecompressError::Corrupted)?;
    if document.len() == expected_bytes {
        Ok(document)
    } else {
        Err(DecompressError::LengthMismatch { expected_bytes, actual_bytes: document.len() })
    }
}
