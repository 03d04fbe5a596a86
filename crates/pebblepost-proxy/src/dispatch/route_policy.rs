//! Forwarding policy of a route.

use super::request_class::RequestClass;
use pebblepost_configuration::{Route, RouteKind};
use std::time::Duration;

/// Mode in which a response is delivered to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Delivery {
    /// The complete response at once.
    Buffered,
    /// A stream of events.
    Streaming,
    /// A stream of events that may be resumed at another transcriber.
    ResumableStream,
}

/// Rules for forwarding the requests of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RoutePolicy {
    /// Whether a request may run more than once.
    pub(super) idempotent: bool,
    /// How responses are delivered to the client.
    pub(super) delivery: Delivery,
    /// Whether requests with the same prompt prefix are sent to the same transcribers.
    pub(super) has_affinity: bool,
    /// Maximum number of attempts of a request, at least one. An attempt of which no byte was sent
    /// does not count.
    pub(super) max_attempts: usize,
    /// Maximum time until the response.
    pub(super) timeout: Duration,
    /// Time within which a response has its full value.
    pub(super) target_latency: Duration,
    /// Priority; 0 is the highest.
    pub(super) priority: u32,
}

impl RoutePolicy {
    /// Derives the policy from a configured route.
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
            has_affinity: route.sticky,
            max_attempts: usize::try_from(route.max_attempts).unwrap_or(usize::MAX).max(1),
            timeout: route.timeout,
            target_latency: route.target_latency,
            priority: route.priority,
        }
    }

    /// Returns whether the response is a stream.
    pub(super) fn is_streaming(&self) -> bool {
        self.delivery != Delivery::Buffered
    }

    /// Returns whether a broken stream may be resumed at another transcriber.
    pub(super) fn is_resumable(&self) -> bool {
        self.delivery == Delivery::ResumableStream
    }

    /// Returns the class of the route's requests.
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
