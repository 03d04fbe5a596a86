//! Classification of transcribers' responses: final, to be retried, or unusable.

use http::header::{CONTENT_ENCODING, HeaderName};
use http::{HeaderMap, StatusCode};
use pebblepost_transcriber::ResponseHead;

const RESPONSE_SEAL: HeaderName = HeaderName::from_static("response-seal");

/// What a response means for its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResponseClass {
    /// Forwarded to the client.
    Final,
    /// The request has not run at this transcriber.
    NotExecuted,
    /// The request ran and failed; the response may be forwarded if no attempt succeeds.
    Failed,
    /// The request may have run, and the response must not be forwarded.
    Unusable,
}

/// Classifies a response by its head.
pub(super) fn classify(head: &ResponseHead) -> ResponseClass {
    if head.not_executed {
        return ResponseClass::NotExecuted;
    }
    match head.status {
        status if status.is_success() && !is_sealed(&head.headers) => ResponseClass::Unusable,
        status if status.is_success() => ResponseClass::Final,
        status if promises_not_executed(status) => ResponseClass::Unusable,
        status if status.is_server_error() || status == StatusCode::NOT_FOUND => ResponseClass::Failed,
        _ => ResponseClass::Final,
    }
}

/// A success needs its seal, and requests ask for bodies without content encoding.
fn is_sealed(headers: &HeaderMap) -> bool {
    headers.contains_key(RESPONSE_SEAL) && !headers.contains_key(CONTENT_ENCODING)
}

/// Statuses that tell a client that its request has not run: without `Not-Executed` there is no
/// proof of it, so that they must not be forwarded.
fn promises_not_executed(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}
