//! State of a client's connection.

use crate::buffer::Buffer;
use crate::http::{Body, Head};
use pebblepost_dispatch::api::RequestId;

/// A request of which the head was read and the body was not yet.
#[derive(Debug)]
pub struct IncompleteRequest {
    pub(super) head: Head,
    pub(super) body: Body,
    /// The decoded part of the body.
    pub(super) content: Buffer,
}

/// What the connection of a client is at.
#[derive(Debug, Default)]
pub enum ClientState {
    /// Between requests, or within a head.
    #[default]
    Head,
    /// Within a body.
    Body(Box<IncompleteRequest>),
    /// The engine has the request.
    AwaitingResponse(RequestId),
}
