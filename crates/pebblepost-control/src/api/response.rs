//! HTTP responses.

use crate::state::RetirementState;
use crate::state::command::{ChangeError, RetirementError};
use std::net::SocketAddr;

/// Delay, in seconds, after which a client should retry a request that was rejected for lack of memory.
const OVERLOAD_RETRY_S: u32 = 1;

/// An HTTP response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HttpResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of the header `Location`.
    pub location: Option<String>,
    /// Value of the header `Retry-After`, in seconds.
    pub retry_after_s: Option<u32>,
    /// Response body, JSON. It may be empty.
    pub body: Vec<u8>,
}

impl HttpResponse {
    /// Creates a 200 response without further content.
    pub fn ok() -> HttpResponse {
        HttpResponse { status: 200, body: b"{}".to_vec(), ..HttpResponse::default() }
    }

    /// Creates the 200 response to a registration or deregistration. Further ones should be sent to `primary`.
    pub fn registered(primary: SocketAddr) -> HttpResponse {
        let body = format!("{{\"heartbeat_url\":\"{primary}\"}}").into_bytes();
        HttpResponse { status: 200, body, ..HttpResponse::default() }
    }

    /// Creates a 200 response with the configuration.
    pub fn configuration(document: &[u8]) -> HttpResponse {
        HttpResponse { status: 200, body: document.to_vec(), ..HttpResponse::default() }
    }

    /// Creates a 200 response with the progress of a retirement.
    pub fn retirement(state: RetirementState) -> HttpResponse {
        let body: &[u8] = match state {
            RetirementState::Running => b"{\"state\":\"running\"}",
            RetirementState::Completed => b"{\"state\":\"completed\"}",
        };
        HttpResponse { status: 200, body: body.to_vec(), ..HttpResponse::default() }
    }

    /// Creates a 307 redirect to the primary.
    pub fn redirect(primary: SocketAddr, path: &str) -> HttpResponse {
        let location = Some(format!("http://{primary}{path}"));
        HttpResponse { status: 307, location, ..HttpResponse::default() }
    }

    /// Creates a 400 response to a malformed or invalid request.
    pub fn bad_request(reason: &str) -> HttpResponse {
        HttpResponse::error(400, reason)
    }

    /// Creates a 503 response: there is no primary, or the outcome of the request is unknown.
    pub fn unavailable(reason: &str) -> HttpResponse {
        HttpResponse::error(503, reason)
    }

    /// Creates a 503 response to a request that was not processed for lack of memory.
    pub fn overloaded() -> HttpResponse {
        let response = HttpResponse::unavailable("too many requests with large bodies");
        HttpResponse { retry_after_s: Some(OVERLOAD_RETRY_S), ..response }
    }

    /// Creates the response to a configuration change that was rejected, or whose outcome is unknown because it is
    /// based on a version that was evicted from the change history.
    pub fn change_rejected(error: &ChangeError) -> HttpResponse {
        let status = match error {
            ChangeError::VersionMismatch { .. } => 412,
            ChangeError::HistoryEvicted { .. } => 503,
            ChangeError::InvalidDocument(_)
            | ChangeError::NothingToPatch
            | ChangeError::StaleGeneration { .. } => 400,
        };
        HttpResponse::error(status, &error.to_string())
    }

    /// Creates the response to a rejected retirement.
    pub fn retirement_rejected(error: RetirementError) -> HttpResponse {
        let status = match error {
            RetirementError::UnknownNode => 404,
            RetirementError::TooFewRemaining => 409,
        };
        HttpResponse::error(status, &error.to_string())
    }

    /// Creates an error response with its reason. Characters that would have to be escaped in JSON are replaced.
    pub fn error(status: u16, reason: &str) -> HttpResponse {
        let plain = |character: char| match character {
            '"' | '\\' => '\'',
            other if other.is_control() => ' ',
            other => other,
        };
        let reason: String = reason.chars().map(plain).collect();
        let body = format!("{{\"error\":\"{reason}\"}}").into_bytes();
        HttpResponse { status, body, ..HttpResponse::default() }
    }
}
