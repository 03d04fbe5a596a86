//! Per-connection state of the platform's clients.

use crate::buffer::Buffer;
use crate::http::{Body, Head};
use pebblepost_dispatch::api::RequestId;

/// A request whose head has been read and whose body is incomplete.
#[derive(Debug)]
pub struct IncompleteRequest {
    pub(super) head: Head,
    pub(super) body: Body,
    /// The part of the body decoded so far.
    pub(super) content: Buffer,
}

/// Protocol state of a client's connection.
#[derive(Debug, Default)]
pub enum ClientState {
    /// Between requests, or while a head is incomplete.
    #[default]
    Head,
    /// While a body is incomplete.
    Body(Box<IncompleteRequest>),
    /// The engine holds the request; its response is pending.
    AwaitingResponse(RequestId),
}
