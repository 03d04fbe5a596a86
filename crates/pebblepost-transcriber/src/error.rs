//! What a failed exchange means.

/// Why a call returned no response of the transcriber.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClientError {
    /// No connection was established, or it was closed before a byte of the request was written: the request did not
    /// run.
    #[error("the request was not sent")]
    NotSent,
    /// The connection broke after bytes were written, or the response is invalid: the request may have run.
    #[error("the response was lost or invalid")]
    MayHaveRun,
    /// No response arrived by the deadline: the request may have run.
    #[error("no response by the deadline")]
    TimedOut,
}
