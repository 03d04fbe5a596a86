//! Request classes, by which the dispatcher distinguishes requests.

use pebblepost_dispatch::Dispatcher;
use pebblepost_dispatch::api::{Class, ClassId, Idempotency};
use std::time::Duration;

/// Value of a response after the latency target, as a fraction of its full value.
const LATE_RESPONSE_VALUE: f64 = 0.25;

/// Properties that define a request class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RequestClass {
    /// Whether a request may run more than once.
    pub(super) idempotent: bool,
    /// Whether the response is a stream.
    pub(super) streaming: bool,
    /// Maximum time until the response.
    pub(super) timeout: Duration,
    /// Time within which a response has its full value.
    pub(super) target_latency: Duration,
    /// Priority; 0 is the highest.
    pub(super) priority: u32,
}

impl RequestClass {
    /// Converts the class to the dispatcher's type.
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

/// Classes registered with a dispatcher. The index of a class is its id.
#[derive(Debug)]
pub(super) struct ClassTable(Vec<RequestClass>);

impl ClassTable {
    /// Creates the table of a dispatcher that was created with one class.
    pub(super) fn new(first: RequestClass) -> ClassTable {
        ClassTable(vec![first])
    }

    /// Returns the id of a class, and adds the class to the dispatcher if it is new. Returns `None` if
    /// the dispatcher accepts no more classes.
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
