//! Reasons for which the proxy rejects a request.

/// Reason for which a request is rejected before dispatch. No transcriber has executed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Rejection {
    /// 400: the head or the body is invalid or incomplete.
    #[error("request is malformed or incomplete")]
    Malformed,
    /// 404: no route matches.
    #[error("no route matches the request")]
    NoRoute,
    /// 413: the body exceeds the limit.
    #[error("request body exceeds the size limit")]
    BodyTooLarge,
    /// 431: the headers exceed the limit.
    #[error("request headers exceed the size limit")]
    HeadTooLarge,
    /// 503: the memory budget does not allow the body.
    #[error("memory budget of request bodies is exhausted")]
    NoMemory,
    /// 503: no configuration has been received yet.
    #[error("no configuration received yet")]
    NotConfigured,
}
