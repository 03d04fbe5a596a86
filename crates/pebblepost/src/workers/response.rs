//! Interpretation of the responses of workers.

use super::load_report::ReportNames;
use crate::http::Head;
use pebblepost_dispatch::api::{Report, Status};
use serde_json::Value;

/// The response header with which a worker declares that it rejected the request without running it.
const REJECTED_HEADER: &str = "x-turned-away";

/// What a response or one of its lines reports about a task.
pub(super) enum TaskUpdate {
    /// The task ended.
    Ended { status: Status, report: Report, body: Vec<u8> },
    /// The job started.
    Started,
    /// The job made progress, as a fraction of the whole.
    Progress(f32),
    /// The worker rejected the request as invalid.
    Invalid,
}

impl TaskUpdate {
    /// Creates the update for a task that ended without a load report or a body.
    pub(super) fn ended(status: Status) -> Self {
        Self::Ended { status, report: Vec::new(), body: Vec::new() }
    }

    /// Interprets a response to an attempt whose HTTP status is not 200.
    pub(super) fn from_status(names: &ReportNames, head: &Head) -> Self {
        let ended = |status| Self::Ended { status, report: names.read_header(head), body: Vec::new() };
        match head.status {
            503 | 504 if head.header(REJECTED_HEADER) == Some("1") => ended(Status::Full),
            // 408, 425 and 429 describe a temporary condition. All other statuses from 400 to 499 reject the request itself.
            400..=499 if !matches!(head.status, 408 | 425 | 429) => Self::Invalid,
            _ => ended(Status::Error),
        }
    }

    /// Parses a line of the response to an attempt; `None` if it is malformed or carries another request id.
    pub(super) fn from_line(names: &ReportNames, request_id: &str, line: &[u8]) -> Option<Self> {
        let line: Value = serde_json::from_slice(line).ok()?;
        if line.get("id")?.as_str()? != request_id {
            return None;
        }
        let report = line.get("load").map(|load| names.read(|name| load.get(name)?.as_f64()));
        let ended = |status, body| Some(Self::Ended { status, report: report.unwrap_or_default(), body });
        match line.get("state")?.as_str()? {
            "started" => Some(Self::Started),
            "running" => {
                let done = line.get("share").and_then(Value::as_f64).unwrap_or(0.0);
                Some(Self::Progress(done as f32))
            }
            "done" => match line.get("result") {
                Some(Value::String(text)) => ended(Status::Ok, text.clone().into_bytes()),
                Some(other) => ended(Status::Ok, other.to_string().into_bytes()),
                None => None,
            },
            "failed" => ended(Status::Error, Vec::new()),
            "returned" => ended(Status::Full, Vec::new()),
            "lost" => ended(Status::Reset, Vec::new()),
            _ => None,
        }
    }
}

/// Converts the HTTP status of a probe's response to the status of the probe.
pub(super) fn probe_status(status: u16) -> Status {
    match status {
        200 => Status::Ok,
        503 => Status::Full,
        _ => Status::Error,
    }
}
