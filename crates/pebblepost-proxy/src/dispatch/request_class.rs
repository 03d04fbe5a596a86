//! Classes of requests, as the dispatcher tells them apart.

use pebblepost_dispatch::Dispatcher;
use pebblepost_dispatch::api::{Class, ClassId, Idempotency};
use std::time::Duration;

/// Fraction of its value that a response keeps after the latency target.
const LATE_RESPONSE_VALUE: f64 = 0.25;

/// What distinguishes two classes of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RequestClass {
    /// A request may run more than once.
    pub(super) idempotent: bool,
    /// The response is a stream.
    pub(super) streaming: bool,
    /// Longest time until the response.
    pub(super) timeout: Duration,
    /// Time within which a response has its full value.
    pub(super) target_latency: Duration,
    /// Priority, 0 highest.
    pub(super) priority: u32,
}

impl RequestClass {
    /// The class in the dispatcher's terms.
    pub(super) fn to_class(self) -> Class {
        Class {
            latency_target: self.target_latency,
            deadline: self.timeout,
            idempotency: if self.idempotent { Idempotency::Idempotent } else { Idempotency::NonIdempotent },
            value: 1.0,
            late_value: LATE_RESPONSE_VALUE,
            latency_stretch: 0.0,
            kind: None,
            only_kinds: None,
            only_zones: None,
            priority: i32::try_from(self.priority).unwrap_or(i32::MAX),
            streamed: self.streaming,
        }
    }
}

/// Classes that a dispatcher knows; a class's position is its id.
#[derive(Debug)]
pub(super) struct ClassTable(Vec<RequestClass>);

impl ClassTable {
    /// The class with which the dispatcher was created.
    pub(super) fn new(first: RequestClass) -> ClassTable {
        ClassTable(vec![first])
    }

    /// The id of a class, which is added to the dispatcher if it is new. `None`: the dispatcher
    /// takes no more classes.
    pub(super) fn find_or_add(
        &mut self, class: RequestClass, dispatcher: &mut Dispatcher,
    ) -> Option<ClassId> {
        if let Some(index) = self.0.iter().position(|known| *known == class) {
            return u16::try_from(index).ok().map(ClassId);
        }
        let id = dispatcher.add_class(class.to_class())?;
        self.0.push(class);
        Some(id)
    }
}
