//! Dispatch: chooses a backend for a request, sends the request to the workers that the backend's
//! dispatcher selects, retries it, and resumes its stream.
//!
//! `worker_table`, `request_table`, `request_class`, `timers`, `command_queue` and `retry` hold
//! state. `backend` drives the decision module (`pebblepost-dispatch`). `admission` and `attempt`
//! make one attempt. `forwarding` and `stream_relay` run through the attempts of one request.
//! This module never builds responses for clients: it returns a [`DispatchOutcome`].

mod admission;
mod affinity;
mod attempt;
mod backend;
mod backends;
mod classification;
mod command_queue;
mod dispatcher_settings;
mod event_body;
mod forwarding;
mod load_report;
mod request_class;
mod request_table;
mod retry;
mod route_policy;
mod stream_relay;
mod timers;
mod worker_table;

pub(crate) use backends::Backends;
pub(crate) use event_body::EventBody;
pub(crate) use forwarding::ClientRequest;
pub(crate) use stream_relay::BrokenStream;

use crate::metrics::Metrics;
use affinity::{NO_AFFINITY, affinity_key};
use forwarding::{Forwarded, Forwarding};
use http::StatusCode;
use pebblepost_configuration::Route;
use pebblepost_transcriber::{BufferedResponse, ResponseHead};
use retry::Failure;
use route_policy::RoutePolicy;
use std::rc::Rc;
use std::time::Duration;

/// Result of dispatching a request.
#[derive(Debug)]
pub(crate) enum DispatchOutcome {
    /// A transcriber returned a complete response, which may report a failure.
    Response(BufferedResponse),
    /// A transcriber returned the head of a stream; the events follow.
    Stream(ResponseHead, EventBody),
    /// No transcriber has executed the request, and none will.
    NotExecuted {
        /// Delay after which the client may retry.
        retry_after: Duration,
    },
    /// A transcriber may have executed the request; the client gets this status, 502 or 504.
    Indeterminate(StatusCode),
}

/// Forwards a request to one of its route's backends.
///
/// Dropping the future closes the connection of the attempt in flight.
pub(crate) async fn dispatch(
    backends: &Backends, metrics: &Rc<Metrics>, route: &Route, request: ClientRequest,
) -> DispatchOutcome {
    let policy = RoutePolicy::new(route);
    let Some(backend) = backends.choose(route) else {
        return DispatchOutcome::NotExecuted { retry_after: policy.target_latency };
    };
    let affinity = if policy.has_affinity { affinity_key(&request.head.headers) } else { NO_AFFINITY };
    let mut forwarding = Forwarding::new(backend, policy, request, affinity);
    match forwarding.run().await {
        Forwarded::Response(response) | Forwarded::Failed(Failure::Response(response)) => {
            DispatchOutcome::Response(response)
        }
        Forwarded::Stream(stream) => {
            let head = stream.head.clone();
            DispatchOutcome::Stream(head, EventBody::new(forwarding, stream, metrics.clone()))
        }
        Forwarded::Failed(Failure::NotExecuted { retry_after }) => {
            DispatchOutcome::NotExecuted { retry_after }
        }
        Forwarded::Failed(Failure::Indeterminate(status)) => DispatchOutcome::Indeterminate(status),
    }
}
