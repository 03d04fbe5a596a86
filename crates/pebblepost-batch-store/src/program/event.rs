//! What the tasks of the links tell the event loop.

use crate::store::LinkId;
use pebblepost_link::Sender;
use pebblepost_messages::batch::ToStore;

/// What the tasks of the links tell the event loop.
#[derive(Debug)]
pub(super) enum Event {
    /// Another program opened a link.
    Opened(LinkId, Sender),
    /// A message came over such a link.
    Received(LinkId, ToStore),
    /// Such a link is lost.
    Closed(LinkId),
}
