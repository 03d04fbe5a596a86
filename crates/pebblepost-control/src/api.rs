//! The HTTP interface without I/O: calls, answers, and what a call asks for.

use crate::state::RetirementState;
pub mod registration;

use crate::state::command::{ChangeError, ChangeMethod, ConfigurationChange, RetirementError};
use pebblepost_messages::feed::Instance;
use simd_json::prelude::{ValueAsScalar, ValueObjectAccess, ValueObjectAccessAsScalar};
use std::net::SocketAddr;

/// Largest body that is taken: a configuration may have 32 MiB.
pub const MOST_BODY_BYTES: usize = 33 * 1024 * 1024;

/// A call as it came.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Call {
    /// Method.
    pub method: String,
    /// Path without its query.
    pub path: String,
    /// The header `If-Match`.
    pub if_match: Option<String>,
    /// Body.
    pub body: Vec<u8>,
}

/// An answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// Status.
    pub status: u16,
    /// The header `Location`.
    pub location: Option<String>,
    /// Body, JSON; may be empty.
    pub body: Vec<u8>,
}

/// What a call asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Change the configuration.
    ChangeConfiguration(ConfigurationChange),
    /// Read the configuration.
    ReadConfiguration,
    /// Name a version of a model's weights.
    NameVersion {
        /// The model.
        model: String,
        /// The version.
        generation: u64,
    },
    /// A transcriber announces itself.
    Announce(Instance),
    /// A transcriber ends.
    Remove {
        /// Its id.
        id: String,
    },
    /// Empty a storage machine.
    Retire {
        /// Its name.
        node: String,
    },
    /// How far the emptying of a storage machine is.
    ReadRetirement {
        /// Its name.
        node: String,
    },
}

impl Request {
    /// Reads a call; the error is the answer to it.
    pub fn read(call: &Call) -> Result<Request, Answer> {
        let path = call.path.trim_start_matches('/');
        let (first, rest) = path.split_once('/').unwrap_or((path, ""));
        match (call.method.as_str(), first, rest) {
            ("PUT", "config", "") => change(call, ChangeMethod::Replace),
            ("PATCH", "config", "") => change(call, ChangeMethod::Patch),
            ("GET", "config", "") => Ok(Request::ReadConfiguration),
            ("POST", "version-put", "") => version(call),
            ("PUT", "instances", id) if is_name(id) => registration::parse(id, &call.body)
                .map(Request::Announce)
                .map_err(|error| Answer::invalid(&error.to_string())),
            ("DELETE", "instances", id) if is_name(id) => Ok(Request::Remove { id: id.into() }),
            ("POST", "retire", node) if is_name(node) => Ok(Request::Retire { node: node.into() }),
            ("GET", "retire", node) if is_name(node) => Ok(Request::ReadRetirement { node: node.into() }),
            _ => Err(Answer::error(404, "no such interface")),
        }
    }
}

fn is_name(text: &str) -> bool {
    const MOST_BYTES: usize = 256;
    !text.is_empty() && text.len() <= MOST_BYTES && !text.contains('/')
}

fn change(call: &Call, method: ChangeMethod) -> Result<Request, Answer> {
    let missing = || Answer::invalid("If-Match: missing, or not a version");
    let if_match = call.if_match.as_deref().ok_or_else(missing)?;
    let base = if_match.trim().trim_matches('"').parse().map_err(|_| missing())?;
    Ok(Request::ChangeConfiguration(ConfigurationChange { base, method, body: call.body.clone() }))
}

fn version(call: &Call) -> Result<Request, Answer> {
    let mut bytes = call.body.clone();
    let invalid = || Answer::invalid("model or generation: missing or not of its type");
    let value = simd_json::to_borrowed_value(&mut bytes).map_err(|_| invalid())?;
    let model = value.get_str("model").ok_or_else(invalid)?.to_string();
    let generation = value.get("generation").and_then(|number| number.as_u64()).ok_or_else(invalid)?;
    Ok(Request::NameVersion { model, generation })
}

impl Answer {
    /// Taken; nothing more to say.
    pub fn acknowledged() -> Answer {
        Answer { status: 200, location: None, body: b"{}".to_vec() }
    }

    /// An announcement was taken; later ones go to `primary`.
    pub fn announced(primary: SocketAddr) -> Answer {
        let body = format!("{{\"heartbeat_url\":\"{primary}\"}}").into_bytes();
        Answer { status: 200, location: None, body }
    }

    /// The configuration.
    pub fn configuration(document: &[u8]) -> Answer {
        Answer { status: 200, location: None, body: document.to_vec() }
    }

    /// How far an emptying is.
    pub fn retirement(state: RetirementState) -> Answer {
        let body: &[u8] = match state {
            RetirementState::Running => b"{\"state\":\"running\"}",
            RetirementState::Completed => b"{\"state\":\"completed\"}",
        };
        Answer { status: 200, location: None, body: body.to_vec() }
    }

    /// The call can't be read or breaks a rule.
    pub fn invalid(reason: &str) -> Answer {
        Answer::error(400, reason)
    }

    /// The primary is elsewhere.
    pub fn redirect(primary: SocketAddr, path: &str) -> Answer {
        Answer { status: 307, location: Some(format!("http://{primary}{path}")), body: Vec::new() }
    }

    /// Nobody can answer now, or what became of the call is not known.
    pub fn unavailable(reason: &str) -> Answer {
        Answer::error(503, reason)
    }

    /// A failure with a sentence.
    pub fn error(status: u16, reason: &str) -> Answer {
        let plain = |character: char| match character {
            '"' | '\\' => '\'',
            other if other.is_control() => ' ',
            other => other,
        };
        let reason: String = reason.chars().map(plain).collect();
        Answer { status, location: None, body: format!("{{\"error\":\"{reason}\"}}").into_bytes() }
    }

    /// A change of the configuration was not taken.
    pub fn change_refused(refusal: &ChangeError) -> Answer {
        match refusal {
            ChangeError::VersionMismatch { .. } => Answer::error(412, &refusal.to_string()),
            _ => Answer::invalid(&refusal.to_string()),
        }
    }

    /// A machine is not emptied.
    pub fn retire_refused(refusal: RetirementError) -> Answer {
        match refusal {
            RetirementError::UnknownNode => Answer::error(404, "no such storage machine"),
            RetirementError::TooFewRemaining => Answer::error(409, "too few storage machines would remain"),
        }
    }
}
