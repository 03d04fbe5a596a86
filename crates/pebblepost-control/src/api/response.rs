//! Responses.

use crate::state::RetirementState;
use crate::state::command::{ChangeError, RetirementError};
use std::net::SocketAddr;

/// An HTTP response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HttpResponse {
    /// Status code.
    pub status: u16,
    /// The header `Location`.
    pub location: Option<String>,
    /// Body, JSON; may be empty.
    pub body: Vec<u8>,
}

impl HttpResponse {
    /// 200 without further content.
    pub fn ok() -> HttpResponse {
        HttpResponse { status: 200, location: None, body: b"{}".to_vec() }
    }

    /// 200 for a registration or deregistration; further ones should be sent to `primary`.
    pub fn registered(primary: SocketAddr) -> HttpResponse {
        let body = format!("{{\"heartbeat_url\":\"{primary}\"}}").into_bytes();
        HttpResponse { status: 200, location: None, body }
    }

    /// 200 with the configuration.
    pub fn configuration(document: &[u8]) -> HttpResponse {
        HttpResponse { status: 200, location: None, body: document.to_vec() }
    }

    /// 200 with the progress of a retirement.
    pub fn retirement(state: RetirementState) -> HttpResponse {
        let body: &[u8] = match state {
            RetirementState::Running => b"{\"state\":\"running\"}",
            RetirementState::Completed => b"{\"state\":\"completed\"}",
        };
        HttpResponse { status: 200, location: None, body: body.to_vec() }
    }

    /// 307 to the primary.
    pub fn redirect(primary: SocketAddr, path: &str) -> HttpResponse {
        HttpResponse { status: 307, location: Some(format!("http://{primary}{path}")), body: Vec::new() }
    }

    /// 400: the request is malformed or invalid.
    pub fn bad_request(reason: &str) -> HttpResponse {
        HttpResponse::error(400, reason)
    }

    /// 503: there is no primary, or the outcome of the request is unknown.
    pub fn unavailable(reason: &str) -> HttpResponse {
        HttpResponse::error(503, reason)
    }

    /// A configuration change was rejected, or is too old for that.
    pub fn change_rejected(error: &ChangeError) -> HttpResponse {
        let status = match error {
            ChangeError::VersionMismatch { .. } => 412,
            ChangeError::Forgotten { .. } => 503,
            ChangeError::InvalidDocument(_)
            | ChangeError::NothingToPatch
            | ChangeError::StaleGeneration { .. } => 400,
        };
        HttpResponse::error(status, &error.to_string())
    }

    /// A retirement was rejected.
    pub fn retirement_rejected(error: RetirementError) -> HttpResponse {
        let status = match error {
            RetirementError::UnknownNode => 404,
            RetirementError::TooFewRemaining => 409,
        };
        HttpResponse::error(status, &error.to_string())
    }

    /// An error with its reason. Characters that would have to be escaped in JSON are replaced.
    pub fn error(status: u16, reason: &str) -> HttpResponse {
        let plain = |character: char| match character {
            '"' | '\\' => '\'',
            other if other.is_control() => ' ',
            other => other,
        };
        let reason: String = reason.chars().map(plain).collect();
        HttpResponse { status, location: None, body: format!("{{\"error\":\"{reason}\"}}").into_bytes() }
    }
}
