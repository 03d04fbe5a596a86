//! What the tasks that serve inbound links send to the event loop.

use crate::store::LinkId;
use pebblepost_link::Sender;
use pebblepost_messages::batch::ToStore;

/// An event of an inbound link.
#[derive(Debug)]
pub(super) enum Event {
    /// Another program opened a link.
    Opened(LinkId, Sender),
    /// A message arrived over a link.
    Received(LinkId, ToStore),
    /// A link is lost.
    Closed(LinkId),
}
