//! State of one call to discovery.

use crate::buffer::Buffer;
use crate::http::{Body, Head};
use pebblepost_dispatch::api::Time;

/// A call to discovery that subscribes to changes.
#[derive(Debug)]
pub struct WatchCall {
    pub(super) response: Option<(Head, Body)>,
    /// Decoded body that was not processed yet.
    pub(super) objects: Buffer,
    pub(super) opened: Time,
    /// Whether it has brought a list, a change or a sign of life.
    pub(super) confirmed: bool,
}

impl WatchCall {
    pub(super) fn new(now: Time) -> Self {
        Self { response: None, objects: Buffer::default(), opened: now, confirmed: false }
    }
}
