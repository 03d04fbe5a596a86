//! Assembles feed batches: updates shared by several subscribers arrive in separate messages before their batch.

use crate::decode::decode;
use crate::error::FrameError;
use pebblepost_feed::compression::{DecompressError, decompress};
use pebblepost_messages::control::FromControl;
use pebblepost_messages::feed::{CompressedUpdates, FeedBatch, FeedUpdate};

/// Shared updates could not be decoded. The link has to be closed, because later batches build on them.
#[derive(Debug, thiserror::Error)]
pub enum AssembleError {
    /// The updates could not be decompressed.
    #[error("shared updates cannot be decompressed: {0}")]
    Decompress(#[from] DecompressError),
    /// The decompressed bytes could not be decoded as updates.
    #[error("shared updates cannot be decoded: {0}")]
    Decode(#[from] FrameError),
}

/// Assembles the feed batches of one connection.
#[derive(Debug, Default)]
pub struct FeedAssembler {
    /// Shared updates received since the last batch.
    shared_updates: Vec<FeedUpdate>,
}

impl FeedAssembler {
    /// Processes a received message. Returns the message to handle, where a feed batch contains its shared updates,
    /// or `None` if the message only carries shared updates for the next batch.
    ///
    /// # Errors
    ///
    /// Fails if shared updates cannot be decompressed or decoded.
    pub fn receive(&mut self, message: FromControl) -> Result<Option<FromControl>, AssembleError> {
        match message {
            FromControl::SharedUpdates(updates) => {
                self.shared_updates.extend(decode_updates(&updates)?);
                Ok(None)
            }
            FromControl::Feed(FeedBatch { sequence, updates }) => {
                let mut all = std::mem::take(&mut self.shared_updates);
                all.extend(updates);
                Ok(Some(FromControl::Feed(FeedBatch { sequence, updates: all })))
            }
            FromControl::Redirect { .. } => {
                // The sender drops its queue for a redirect, which may have contained the batch of these updates.
                self.shared_updates.clear();
                Ok(Some(message))
            }
            other => Ok(Some(other)),
        }
    }
}

fn decode_updates(updates: &CompressedUpdates) -> Result<Vec<FeedUpdate>, AssembleError> {
    let encoded = decompress(updates.uncompressed_bytes, &updates.compressed)?;
    Ok(decode(&encoded)?)
}
