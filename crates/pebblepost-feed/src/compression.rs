//! Compression of whole configurations on their way: hundreds of routes for each of a fleet's agents would fill the link
//! of the control primary for most of a second after a restart of all.

use pebblepost_messages::feed::ConfigurationUpdate;
use std::fmt;

/// Compression level: on configurations, higher ones cost several times the processor time for a few bytes in a hundred.
const LEVEL: u8 = 3;
/// Largest document that is unpacked.
const MOST_BYTES: usize = 256 * 1024 * 1024;

/// A packed document that can't be unpacked to the length that it tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DecompressError;

impl fmt::Display for DecompressError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("its packed document is damaged")
    }
}

impl std::error::Error for DecompressError {}

/// A whole configuration, compressed.
pub fn compress(generation: u64, document: &[u8]) -> ConfigurationUpdate {
    let packed = miniz_oxide::deflate::compress_to_vec(document, LEVEL);
    ConfigurationUpdate::Compressed {
        generation,
        uncompressed_bytes: document.len() as u64,
        compressed: packed,
    }
}

/// The document of a packed configuration.
pub fn decompress(bytes: u64, packed: &[u8]) -> Result<Vec<u8>, DecompressError> {
    let expected = usize::try_from(bytes).ok().filter(|bytes| *bytes <= MOST_BYTES).ok_or(DecompressError)?;
    let document =
        miniz_oxide::inflate::decompress_to_vec_with_limit(packed, expected).map_err(|_| DecompressError)?;
    if document.len() == expected { Ok(document) } else { Err(DecompressError) }
}
