//! Events that the tasks serving inbound links send to the event loop.

use crate::store::LinkId;
use pebblepost_link::Sender;
use pebblepost_messages::batch::ToStore;

/// An event of an inbound link.
#[derive(Debug)]
pub(super) enum Event {
    /// A link was opened by another program.
    Opened(LinkId, Sender),
    /// A message was received over a link.
    Received(LinkId, ToStore),
    /// A link was lost.
    Closed(LinkId),
}
