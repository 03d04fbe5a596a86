//! What a route demands of the way its requests are forwarded.

use super::request_class::RequestClass;
use pebblepost_configuration::{Route, RouteKind};
use std::time::Duration;

/// How a response reaches the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Delivery {
    /// As a whole.
    Buffered,
    /// As a stream of events.
    Streaming,
    /// As a stream of events that may be resumed at another transcriber.
    ResumableStream,
}

/// What a route demands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RoutePolicy {
    /// A request may run more than once.
    pub(super) idempotent: bool,
    /// How responses reach the client.
    pub(super) delivery: Delivery,
    /// Requests with the same prompt prefix go to the same transcribers.
    pub(super) affinity: bool,
    /// Most transcribers to which a request may be sent.
    pub(super) max_attempts: usize,
    /// Longest time until the response.
    pub(super) timeout: Duration,
    /// Time within which a response has its full value.
    pub(super) target_latency: Duration,
    /// Priority, 0 highest.
    pub(super) priority: u32,
}

impl RoutePolicy {
    /// The policy of a route.
    pub(super) fn new(route: &Route) -> RoutePolicy {
        let delivery = match (route.streaming, route.resumable) {
            (false, _) => Delivery::Buffered,
            (true, false) => Delivery::Streaming,
            (true, true) => Delivery::ResumableStream,
        };
        let idempotent = match delivery {
            Delivery::Buffered => route.kind == RouteKind::Idempotent,
            Delivery::Streaming => false,
            Delivery::ResumableStream => true,
        };
        RoutePolicy {
            idempotent,
            delivery,
            affinity: route.sticky,
            max_attempts: usize::try_from(route.max_attempts).unwrap_or(usize::MAX).max(1),
            timeout: route.timeout,
            target_latency: route.target_latency,
            priority: route.priority,
        }
    }

    /// Whether the response is a stream.
    pub(super) fn is_streaming(&self) -> bool {
        self.delivery != Delivery::Buffered
    }

    /// Whether a broken stream may be resumed at another transcriber.
    pub(super) fn is_resumable(&self) -> bool {
        self.delivery == Delivery::ResumableStream
    }

    /// The class of the route's requests.
    pub(super) fn class(&self) -> RequestClass {
        RequestClass {
            idempotent: self.idempotent,
            streaming: self.is_streaming(),
            timeout: self.timeout,
            target_latency: self.target_latency,
            priority: self.priority,
        }
    }
}
