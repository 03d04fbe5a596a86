//! Messages that are encoded once and sent on many links.

use crate::frame;
use nanoserde::SerBin;
use std::rc::Rc;

/// A message in the form in which it is written, shared by all links that send it; cheap to clone.
#[derive(Clone, Debug)]
pub struct EncodedMessage {
    frame: Rc<[u8]>,
}

impl EncodedMessage {
    /// Encodes a message; `None` if it is too long for a frame of any link.
    pub fn new<M: SerBin>(message: &M) -> Option<EncodedMessage> {
        let mut bytes = Vec::new();
        let is_encoded = frame::append(message, &mut bytes, u32::MAX as usize);
        is_encoded.then(|| EncodedMessage { frame: bytes.into() })
    }

    /// Length of the message without its frame header, in bytes.
    pub fn message_bytes(&self) -> usize {
        self.frame.len() - frame::LENGTH_BYTES
    }

    pub(crate) fn frame(&self) -> &Rc<[u8]> {
        &self.frame
    }
}
