//! Errors of the client: whether a failed request may have run.

/// Reason for which a call returned no response; states whether the transcriber may have run the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClientError {
    /// No byte of the request was written, so it did not run.
    ///
    /// No connection was available or established in time, the connection was closed before the first byte, the
    /// transcriber was removed, or the request cannot be represented in HTTP.
    #[error("request was not sent to the transcriber")]
    NotSent,
    /// The connection broke after bytes may have been written, or the response is invalid: the request may have run.
    #[error("response was lost or is invalid; the request may have run")]
    MayHaveRun,
    /// Bytes of the request may have been written, but no complete response arrived by the deadline: the request may
    /// have run.
    ///
    /// For an event stream: no event was complete within the read timeout.
    #[error("transcriber did not respond by the deadline; the request may have run")]
    TimedOut,
}
