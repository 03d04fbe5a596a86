//! Updates of the feed in the form in which they are written, encoded once for all subscribers that are sent the same.

use crate::feed::SharedUpdates;
use pebblepost_feed::compression::compress_updates;
use pebblepost_link::EncodedMessage;
use pebblepost_messages::control::FromControl;
use std::collections::VecDeque;
use std::rc::Rc;

/// Updates remembered: those of a flush and of snapshots, each with and without the configuration.
const MAX_REMEMBERED: usize = 6;

#[derive(Debug)]
struct Encoded {
    updates: SharedUpdates,
    message: Option<EncodedMessage>,
}

/// The updates encoded last, newest first.
#[derive(Debug, Default)]
pub(super) struct EncodedUpdates {
    remembered: VecDeque<Encoded>,
}

impl EncodedUpdates {
    /// The message that carries these updates for all subscribers; `None` if they are so few that each batch carries
    /// them itself.
    pub(super) fn message(&mut self, updates: &SharedUpdates) -> Option<EncodedMessage> {
        let known = self.remembered.iter().find(|encoded| Rc::ptr_eq(&encoded.updates, updates));
        if let Some(encoded) = known {
            return encoded.message.clone();
        }
        let message = encode(updates);
        self.remembered.truncate(MAX_REMEMBERED - 1);
        self.remembered.push_front(Encoded { updates: Rc::clone(updates), message: message.clone() });
        message
    }
}

fn encode(updates: &SharedUpdates) -> Option<EncodedMessage> {
    let compressed = compress_updates(updates)?;
    EncodedMessage::new(&FromControl::SharedUpdates(compressed))
}
