//! The state of one watch call to discovery.

use crate::buffer::Buffer;
use crate::http::{Body, Head};
use pebblepost_dispatch::api::Time;

/// A call to discovery that watches the list of workers.
#[derive(Debug)]
pub struct WatchCall {
    /// The head and the body decoder of the response, once the head was received.
    pub(super) response: Option<(Head, Body)>,
    /// The decoded part of the body that has not been processed yet.
    pub(super) decoded_body: Buffer,
    /// When the connection was opened.
    pub(super) opened_at: Time,
    /// Whether the call has delivered a list, a change or an empty keep-alive line.
    pub(super) confirmed: bool,
}

impl WatchCall {
    pub(super) fn new(now: Time) -> Self {
        Self { response: None, decoded_body: Buffer::default(), opened_at: now, confirmed: false }
    }
}
