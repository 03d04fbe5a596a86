//! Compression of what many subscribers are sent: with hundreds of routes or transcribers for each agent of a fleet,
//! uncompressed updates would occupy the control primary's link for most of a second.

use nanoserde::SerBin;
use pebblepost_messages::feed::{CompressedUpdates, ConfigurationUpdate, FeedUpdate};

/// On configurations, higher levels cost several times the processor time and save a few percent.
const COMPRESSION_LEVEL: u8 = 3;
/// Shorter updates are not compressed.
const MIN_COMPRESSED_BYTES: usize = 512;
/// Limit on decompressed documents, against a damaged or hostile length.
const MAX_DOCUMENT_BYTES: usize = 256 * 1024 * 1024;

/// A compressed document cannot be decompressed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecompressError {
    /// The announced length is over the limit.
    #[error("a document of {uncompressed_bytes} bytes is over the limit")]
    TooLarge {
        /// Announced length of the document, in bytes.
        uncompressed_bytes: u64,
    },
    /// The bytes are not a complete deflate stream, or hold more than the announced length.
    #[error("the compressed document is damaged")]
    Corrupted,
    /// The document is shorter than announced.
    #[error("a document of {actual_bytes} bytes was announced with {expected_bytes}")]
    LengthMismatch {
        /// Announced length, in bytes.
        expected_bytes: usize,
        /// Length once decompressed, in bytes.
        actual_bytes: usize,
    },
}

/// A full configuration as a compressed update.
pub fn compress_configuration(generation: u64, document: &[u8]) -> ConfigurationUpdate {
    ConfigurationUpdate::Compressed {
        generation,
        uncompressed_bytes: document.len() as u64,
        compressed: miniz_oxide::deflate::compress_to_vec(document, COMPRESSION_LEVEL),
    }
}

/// Updates in the form that many subscribers share; `None` if they are so short that this is not worth it.
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

/// A decompressed document, or decompressed updates in their encoded form.
///
/// # Errors
///
/// The announced length is too large or wrong, or the bytes are damaged.
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
