//! Puts the parts of a batch of the feed together: shared updates come in messages of their own before it.

use crate::decode::decode;
use crate::error::FrameError;
use pebblepost_feed::compression::{DecompressError, decompress};
use pebblepost_messages::control::FromControl;
use pebblepost_messages::feed::{CompressedUpdates, FeedBatch, FeedUpdate};

/// Shared updates that can't be read. The link has to be closed: what follows builds on them.
#[derive(Debug, thiserror::Error)]
pub enum AssembleError {
    /// The bytes can't be decompressed.
    #[error("shared updates can't be decompressed: {0}")]
    Decompress(#[from] DecompressError),
    /// The decompressed bytes are no updates.
    #[error("shared updates can't be decoded: {0}")]
    Decode(#[from] FrameError),
}

/// Assembles the batches of one connection.
#[derive(Debug, Default)]
pub struct FeedAssembler {
    shared: Vec<FeedUpdate>,
}

impl FeedAssembler {
    /// A message arrived; the message to handle, with all updates of its batch, unless it is only a part of one.
    ///
    /// # Errors
    ///
    /// Shared updates can't be read.
    pub fn receive(&mut self, message: FromControl) -> Result<Option<FromControl>, AssembleError> {
        match message {
            FromControl::SharedUpdates(updates) => {
                self.shared.extend(read(&updates)?);
                Ok(None)
            }
            FromControl::Feed(FeedBatch { sequence, updates }) => {
                let mut all = std::mem::take(&mut self.shared);
                all.extend(updates);
                Ok(Some(FromControl::Feed(FeedBatch { sequence, updates: all })))
            }
            FromControl::Redirect { .. } => {
                // It went out in the place of what waited, maybe of the batch that these updates belong to.
                self.shared.clear();
                Ok(Some(message))
            }
            other => Ok(Some(other)),
        }
    }
}

fn read(updates: &CompressedUpdates) -> Result<Vec<FeedUpdate>, AssembleError> {
    let encoded = decompress(updates.uncompressed_bytes, &updates.compressed)?;
    Ok(decode(&encoded)?)
}
