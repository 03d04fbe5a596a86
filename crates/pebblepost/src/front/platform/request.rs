//! Parses the request properties that the engine needs from a head, and builds the head forwarded to a worker.

use crate::config::RequestClass;
use crate::engine::Request;
use crate::http::Head;
use crate::name_hash::hash_name;
use pebblepost_dispatch::api::{ClassId, TenantId};
use std::fmt::Write;
use std::time::Duration;

/// Headers that are forwarded to the worker, besides those that the protocol requires.
const FORWARDED_HEADERS: [&str; 8] =
    ["x-txn", "idempotency-key", "x-lane", "x-estimate", "x-labels", "x-resent", "cookie", "content-type"];
/// Upper bound of the time that a client may wait. It keeps sums of times within range.
const MAX_TIME_LEFT: Duration = Duration::from_secs(86_400);
/// The `Host` forwarded for requests without one.
const DEFAULT_HOST: &str = "api.internal";
/// Name of the cookie that carries a request's affinity key, with its equals sign.
const AFFINITY_COOKIE_PREFIX: &str = "k=";

/// A request as parsed from its head.
pub(super) struct ParsedRequest {
    /// The client's request id, from the header `X-Txn`.
    pub(super) id: String,
    pub(super) request: Request,
}

/// Returns the id of the tenant `name`.
///
/// A missing name, or one that is not in the settings, maps to the first tenant.
pub fn tenant_id(names: &[String], name: Option<&str>) -> TenantId {
    let index = name.and_then(|wanted| names.iter().position(|name| name == wanted));
    TenantId(index.and_then(|index| u16::try_from(index).ok()).unwrap_or(0))
}

/// Parses the request properties that the engine needs; `None` if a number or name is missing or malformed.
pub(super) fn parse_request(
    classes: &[RequestClass], tenants: &[String], head: &Head,
) -> Option<ParsedRequest> {
    let is_valid_id = |id: &&str| !id.is_empty() && id.bytes().all(|byte| byte.is_ascii_graphic());
    let id = head.header("x-txn").filter(is_valid_id)?;
    let lane = head.header("x-lane")?;
    let class = classes.iter().position(|class| class.name == lane)?;
    let time_left = match head.header("x-remaining-ms") {
        Some(text) => Duration::from_millis(text.parse().ok()?),
        None => classes[class].deadline,
    };
    let work = match head.header("x-estimate") {
        Some(text) => Some(parse_estimate(text)?),
        None => None,
    };
    let demand = Demand::parse(head.header("x-labels").unwrap_or(""))?;
    let class = ClassId(u16::try_from(class).ok()?);
    let cookies = head.header("cookie").unwrap_or("").split(';').map(str::trim);
    let affinity = cookies.filter_map(|cookie| cookie.strip_prefix(AFFINITY_COOKIE_PREFIX)).next();
    let request = Request {
        class,
        time_left: time_left.min(MAX_TIME_LEFT),
        repeat: head.header("x-resent") == Some("1"),
        slots: demand.slots,
        memory: demand.memory,
        work,
        key: affinity.map_or(0, hash_name),
        tenant: tenant_id(tenants, head.header("x-org")),
    };
    Some(ParsedRequest { id: id.to_owned(), request })
}

/// Parses an estimated execution time, given in microseconds.
fn parse_estimate(text: &str) -> Option<Duration> {
    let micros = text.parse::<f64>().ok().filter(|micros| micros.is_finite() && *micros >= 0.0)?;
    Duration::try_from_secs_f64(micros / 1e6).ok()
}

/// Resources that a request occupies on a worker: 1 slot and no memory unless its labels say otherwise.
struct Demand {
    slots: f32,
    memory: f32,
}

impl Demand {
    /// Parses comma-separated `name=value` labels; unknown names are ignored. Returns `None` if one is malformed.
    fn parse(labels: &str) -> Option<Self> {
        let mut demand = Self { slots: 1.0, memory: 0.0 };
        for label in labels.split(',').map(str::trim).filter(|label| !label.is_empty()) {
            let (name, value) = label.split_once('=')?;
            let number =
                || value.trim().parse::<f32>().ok().filter(|number| number.is_finite() && *number >= 0.0);
            match name.trim() {
                "slots" | "coresNeeded" => demand.slots = number()?,
                "memory" | "mem" => demand.memory = number()?,
                _ => {}
            }
        }
        Some(demand)
    }
}

/// Builds the head that is sent to a worker, without the header for the remaining time and the empty line at the end.
pub(super) fn build_forwarded_head(head: &Head, id: &str, body_bytes: usize) -> String {
    let mut forwarded = format!("POST {} HTTP/1.1\r\nX-Txn: {id}\r\n", head.target);
    let host = head.header("host").unwrap_or(DEFAULT_HOST);
    let _ = write!(forwarded, "Host: {host}\r\nContent-Length: {body_bytes}\r\n");
    let is_forwarded = |name: &str| name != "x-txn" && FORWARDED_HEADERS.contains(&name);
    for (name, value) in head.headers.iter().filter(|(name, _)| is_forwarded(name)) {
        let _ = write!(forwarded, "{name}: {value}\r\n");
    }
    forwarded
}
