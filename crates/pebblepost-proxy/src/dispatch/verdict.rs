//! What an answer of a transcriber means for the request.

use http::header::{CONTENT_ENCODING, HeaderName};
use http::{HeaderMap, StatusCode};
use pebblepost_transcriber::ResponseHead;

const RESPONSE_SEAL: HeaderName = HeaderName::from_static("response-seal");

/// What an answer means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// It is the answer.
    Final,
    /// The request has not run there.
    NotExecuted,
    /// It ran and failed; the answer may be passed on unchanged.
    Failed,
    /// It may have run, and the answer must not be passed on.
    Unusable,
}

/// Judges an answer by its head.
pub(super) fn judge(head: &ResponseHead) -> Verdict {
    if head.not_executed {
        return Verdict::NotExecuted;
    }
    match head.status {
        status if status.is_success() && !is_stamped(&head.headers) => Verdict::Unusable,
        status if status.is_success() => Verdict::Final,
        status if is_promise(status) => Verdict::Unusable,
        status if status.is_server_error() || status == StatusCode::NOT_FOUND => Verdict::Failed,
        _ => Verdict::Final,
    }
}

/// A success counts with its stamp only, and bodies are asked for without encoding.
fn is_stamped(headers: &HeaderMap) -> bool {
    headers.contains_key(RESPONSE_SEAL) && !headers.contains_key(CONTENT_ENCODING)
}

/// Statuses that promise that a request has not run; only `Not-Executed` proves it.
fn is_promise(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}
