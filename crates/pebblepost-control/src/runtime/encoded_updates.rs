//! Cache of encoded feed updates, so that updates for several subscribers are encoded only once.

use crate::feed::SharedUpdates;
use pebblepost_feed::compression::compress_updates;
use pebblepost_link::EncodedMessage;
use pebblepost_messages::control::FromControl;
use std::collections::VecDeque;
use std::rc::Rc;

/// Limit on the cached messages: those of a flush and of snapshots, each with and without the configuration.
const MAX_CACHED_MESSAGES: usize = 6;

#[derive(Debug)]
struct CachedMessage {
    updates: SharedUpdates,
    message: Option<EncodedMessage>,
}

/// The most recently encoded updates, newest first.
#[derive(Debug, Default)]
pub(super) struct EncodedUpdateCache {
    cached: VecDeque<CachedMessage>,
}

impl EncodedUpdateCache {
    /// Returns the message that contains these updates for all subscribers, from the cache if possible. Returns
    /// `None` if the updates are too few to be sent separately from the batches.
    pub(super) fn message(&mut self, updates: &SharedUpdates) -> Option<EncodedMessage> {
        let known = self.cached.iter().find(|encoded| Rc::ptr_eq(&encoded.updates, updates));
        if let Some(encoded) = known {
            return encoded.message.clone();
        }
        let message = encode(updates);
        self.cached.truncate(MAX_CACHED_MESSAGES - 1);
        self.cached.push_front(CachedMessage { updates: Rc::clone(updates), message: message.clone() });
        message
    }
}

fn encode(updates: &SharedUpdates) -> Option<EncodedMessage> {
    let compressed = compress_updates(updates)?;
    EncodedMessage::new(&FromControl::SharedUpdates(compressed))
}
