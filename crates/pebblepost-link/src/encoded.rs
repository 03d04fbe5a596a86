//! Messages that are encoded once and sent on many links.

use crate::frame;
use nanoserde::SerBin;
use std::rc::Rc;

/// A message encoded as a frame. All links that send it share the bytes; cloning is cheap.
#[derive(Clone, Debug)]
pub struct EncodedMessage {
    frame: Rc<[u8]>,
}

impl EncodedMessage {
    /// Encodes a message. Returns `None` if its length does not fit into the 4 bytes of a frame header.
    pub fn new<M: SerBin>(message: &M) -> Option<EncodedMessage> {
        let mut bytes = Vec::new();
        let is_encoded = frame::append_frame(message, &mut bytes, u32::MAX as usize);
        is_encoded.then(|| EncodedMessage { frame: bytes.into() })
    }

    /// Returns the length of the message without its frame header, in bytes.
    pub fn message_bytes(&self) -> usize {
        self.frame.len() - frame::LENGTH_FIELD_BYTES
    }

    pub(crate) fn frame(&self) -> &Rc<[u8]> {
        &self.frame
    }
}
