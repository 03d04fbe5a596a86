//! Messages whose end is held in blocks that are written from where they are, without a copy.

use crate::frame::LENGTH_FIELD_BYTES;
use std::fmt::Debug;
use std::rc::Rc;

/// End of a message, in blocks. The link holds it, and so whatever it owns besides the blocks, until the message is
/// written or dropped.
pub trait MessageTail: Debug {
    /// Returns the blocks in order.
    fn blocks(&self) -> &[Vec<u8>];
}

/// Frame of a message with a tail.
#[derive(Debug)]
pub(crate) struct TailFrame {
    /// Length field and beginning of the message.
    head: Vec<u8>,
    tail: Rc<dyn MessageTail>,
    bytes: usize,
}

impl TailFrame {
    /// Creates the frame of the message that consists of `head` and `tail`. Returns `None` if the message is longer than
    /// `max_bytes`.
    pub(crate) fn new(head: &[u8], tail: Rc<dyn MessageTail>, max_bytes: usize) -> Option<TailFrame> {
        let tail_bytes: usize = tail.blocks().iter().map(Vec::len).sum();
        let message_bytes = head.len() + tail_bytes;
        let length = u32::try_from(message_bytes).ok().filter(|_| message_bytes <= max_bytes)?;
        let mut framed = Vec::with_capacity(LENGTH_FIELD_BYTES + head.len());
        framed.extend_from_slice(&length.to_le_bytes());
        framed.extend_from_slice(head);
        Some(TailFrame { head: framed, tail, bytes: LENGTH_FIELD_BYTES + message_bytes })
    }

    /// Returns the length of the frame.
    pub(crate) fn len(&self) -> usize {
        self.bytes
    }

    /// Returns the parts of the frame in order.
    pub(crate) fn parts(&self) -> impl Iterator<Item = &[u8]> {
        std::iter::once(self.head.as_slice()).chain(self.tail.blocks().iter().map(Vec::as_slice))
    }
}
