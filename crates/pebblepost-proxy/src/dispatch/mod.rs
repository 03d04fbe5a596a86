//! Dispatch: chooses a backend for a request, forwards it by the orders of the backend's
//! dispatcher, retries it and resumes its stream.
//!
//! State lies in `worker_table`, `request_table`, `request_class`, `timers`, `command_queue` and
//! `retry`; `backend` drives the decision module with it; `admission` and `attempt` carry one
//! attempt; `forwarding` and `stream_relay` go through the attempts of one request. It never builds
//! responses for clients: it returns a [`DispatchOutcome`].

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

/// What became of a dispatched request.
#[derive(Debug)]
pub(crate) enum DispatchOutcome {
    /// A transcriber's buffered response, a success or a failure.
    Response(BufferedResponse),
    /// A transcriber's stream has begun.
    Stream(ResponseHead, EventBody),
    /// The request has not run and never will.
    NotExecuted {
        /// When the client may retry.
        retry_after: Duration,
    },
    /// The request may have run; the status for the client is 502 or 504.
    Indeterminate(StatusCode),
}

/// Forwards a request of a route to one of the route's backends.
pub(crate) async fn dispatch(
    backends: &Backends, metrics: &Rc<Metrics>, route: &Route, request: ClientRequest,
) -> DispatchOutcome {
    let policy = RoutePolicy::new(route);
    let Some(backend) = backends.choose(route) else {
        return DispatchOutcome::NotExecuted { retry_after: policy.target_latency };
    };
    let affinity = if policy.affinity { affinity_key(&request.head.headers) } else { NO_AFFINITY };
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
