//! Rejections: why a request is answered without being forwarded.

/// Why a request is rejected. It has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Rejection {
    /// 400.
    #[error("malformed request")]
    Malformed,
    /// 404.
    #[error("no route")]
    NoRoute,
    /// 413.
    #[error("body too large")]
    BodyTooLarge,
    /// 431.
    #[error("head too large")]
    HeadTooLarge,
    /// 503: no memory for its body.
    #[error("no memory for the body")]
    NoMemory,
    /// 503: no configuration has come yet.
    #[error("no configuration yet")]
    NotConfigured,
}
