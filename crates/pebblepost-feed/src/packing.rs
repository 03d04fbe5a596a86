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
pub struct Damaged;

impl fmt::Display for Damaged {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("its packed document is damaged")
    }
}

impl std::error::Error for Damaged {}

/// A whole configuration, compressed.
pub fn pack(generation: u64, document: &[u8]) -> ConfigurationUpdate {
    let packed = miniz_oxide::deflate::compress_to_vec(document, LEVEL);
    ConfigurationUpdate::Packed { generation, bytes: document.len() as u64, packed }
}

/// The document of a packed configuration.
pub fn unpack(bytes: u64, packed: &[u8]) -> Result<Vec<u8>, Damaged> {
    let expected = usize::try_from(bytes).ok().filter(|bytes| *bytes <= MOST_BYTES).ok_or(Damaged)?;
    let document =
        miniz_oxide::inflate::decompress_to_vec_with_limit(packed, expected).map_err(|_| Damaged)?;
    if document.len() == expected { Ok(document) } else { Err(Damaged) }
}
