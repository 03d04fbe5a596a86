//! HTTP requests and the operations that they request.

use super::registration;
use super::response::HttpResponse;
use crate::state::command::{ChangeMethod, ConfigurationChange};
use pebblepost_configuration::is_nested_too_deeply;
use pebblepost_messages::feed::Instance;
use simd_json::prelude::{ValueAsScalar, ValueObjectAccess, ValueObjectAccessAsScalar};

/// Limit on the size of a request body. A configuration may have 32 MiB.
pub const MAX_BODY_BYTES: usize = 33 * 1024 * 1024;
/// Limit on the length of an identity or node name in a path, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// An HTTP request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HttpRequest {
    /// HTTP method.
    pub method: String,
    /// Path without its query.
    pub path: String,
    /// Value of the header `If-Match`.
    pub if_match: Option<String>,
    /// Request body.
    pub body: Vec<u8>,
}

impl HttpRequest {
    /// Returns whether this is a registration or heartbeat, which an instance repeats regularly.
    pub fn is_registration(&self) -> bool {
        self.method == "PUT" && self.path.starts_with("/instances/")
    }
}

/// Operation that a request asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// `PUT /config`, `PATCH /config`: change the configuration.
    ChangeConfiguration(ConfigurationChange),
    /// `GET /config`: read the configuration.
    ReadConfiguration,
    /// `POST /version-put`: name a version of a model's weights.
    NameVersion {
        /// The model.
        model: String,
        /// The version.
        generation: u64,
    },
    /// `PUT /instances/ID`: register an instance of a transcriber, or renew its registration by a heartbeat.
    Register(Instance),
    /// `DELETE /instances/ID`: deregister an instance of a transcriber.
    Deregister {
        /// Identity of the instance.
        id: String,
    },
    /// `POST /retire/NODE`: retire a storage node.
    Retire {
        /// Name of the storage node.
        node: String,
    },
    /// `GET /retire/NODE`: read the progress of a retirement.
    ReadRetirement {
        /// Name of the storage node.
        node: String,
    },
}

impl Operation {
    /// Parses a request.
    ///
    /// # Errors
    /// If the path is unknown (404) or the request is invalid (400). The error is the response to send.
    pub fn parse(request: &HttpRequest) -> Result<Operation, HttpResponse> {
        let path = request.path.trim_start_matches('/');
        let (resource, name) = path.split_once('/').unwrap_or((path, ""));
        match (request.method.as_str(), resource, name) {
            ("PUT", "config", "") => parse_change(request, ChangeMethod::Replace),
            ("PATCH", "config", "") => parse_change(request, ChangeMethod::Patch),
            ("GET", "config", "") => Ok(Operation::ReadConfiguration),
            ("POST", "version-put", "") => parse_version(request),
            ("PUT", "instances", id) if is_name(id) => parse_registration(id, request),
            ("DELETE", "instances", id) if is_name(id) => Ok(Operation::Deregister { id: id.into() }),
            ("POST", "retire", node) if is_name(node) => Ok(Operation::Retire { node: node.into() }),
            ("GET", "retire", node) if is_name(node) => Ok(Operation::ReadRetirement { node: node.into() }),
            _ => Err(HttpResponse::error(404, "no such interface")),
        }
    }
}

fn is_name(text: &str) -> bool {
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && !text.contains('/')
}

fn parse_change(request: &HttpRequest, method: ChangeMethod) -> Result<Operation, HttpResponse> {
    let missing = || HttpResponse::bad_request("If-Match: missing, or not a version");
    let if_match = request.if_match.as_deref().ok_or_else(missing)?;
    let base = if_match.trim().trim_matches('"').parse().map_err(|_| missing())?;
    Ok(Operation::ChangeConfiguration(ConfigurationChange { base, method, body: request.body.clone() }))
}

fn parse_version(request: &HttpRequest) -> Result<Operation, HttpResponse> {
    let invalid = || HttpResponse::bad_request("model or generation: missing or not of its type");
    if is_nested_too_deeply(&request.body) {
        return Err(invalid());
    }
    let mut bytes = request.body.clone();
    let value = simd_json::to_borrowed_value(&mut bytes).map_err(|_| invalid())?;
    let model = value.get_str("model").ok_or_else(invalid)?.to_string();
    let generation = value.get("generation").and_then(|number| number.as_u64()).ok_or_else(invalid)?;
    Ok(Operation::NameVersion { model, generation })
}

fn parse_registration(id: &str, request: &HttpRequest) -> Result<Operation, HttpResponse> {
    let instance = registration::parse(id, &request.body);
    instance.map(Operation::Register).map_err(|error| HttpResponse::bad_request(&error.to_string()))
}
