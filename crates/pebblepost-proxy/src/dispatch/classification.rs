//! Classifies the responses of transcribers as final, retryable, or unusable.

use http::header::{CONTENT_ENCODING, HeaderName};
use http::{HeaderMap, StatusCode};
use pebblepost_transcriber::ResponseHead;

const RESPONSE_SEAL: HeaderName = HeaderName::from_static("response-seal");

/// Effect of a response on its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResponseClass {
    /// The response is forwarded to the client.
    Final,
    /// The transcriber has not executed the request.
    NotExecuted,
    /// The request ran and failed. The response may be forwarded if no attempt succeeds.
    Failed,
    /// The request may have run, but the response must not be forwarded.
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

/// Returns whether a successful response may be forwarded: it must have a `Response-Seal`, and no
/// content encoding, because requests ask for none.
fn is_sealed(headers: &HeaderMap) -> bool {
    headers.contains_key(RESPONSE_SEAL) && !headers.contains_key(CONTENT_ENCODING)
}

/// Returns whether a status tells the client that its request has not run. Without the
/// `Not-Executed` header nothing proves that, so such a response must not be forwarded.
fn promises_not_executed(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}
