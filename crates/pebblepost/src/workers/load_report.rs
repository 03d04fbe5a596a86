//! Parsing of the load reports of workers, which come as text in a header or body, or as JSON.

use crate::http::Head;
use pebblepost_dispatch::api::Report;
use serde_json::Value;
use std::collections::HashMap;

/// The response header that carries a report.
const REPORT_HEADER: &str = "x-pressure";
/// Optional prefix of a report in text form.
const TEXT_PREFIX: &str = "TEXT";

/// Names of the values of a report, in the order in which the settings list them.
#[derive(Debug)]
pub(super) struct ReportNames(pub(super) Vec<String>);

impl ReportNames {
    /// Builds a report from the values that `lookup` returns, by name or by its alias. The report is empty unless every value
    /// is present and finite.
    pub(super) fn read(&self, lookup: impl Fn(&str) -> Option<f64>) -> Report {
        let read =
            |name: &String| lookup(name).or_else(|| lookup(alias(name))).filter(|value| value.is_finite());
        let values = self.0.iter().map(|name| read(name).map(|value| value as f32));
        values.collect::<Option<_>>().unwrap_or_default()
    }

    /// Reads the report in a response's header; empty if there is none or it is incomplete.
    pub(super) fn read_header(&self, head: &Head) -> Report {
        head.header(REPORT_HEADER).map(|text| self.read_text(text)).unwrap_or_default()
    }

    /// Reads the report in a response's body, as JSON or as text; empty if there is none or it is incomplete. In JSON the values
    /// are the members of the object `load`, or of the whole body if it has no such object.
    pub(super) fn read_body(&self, body: &[u8]) -> Report {
        match serde_json::from_slice::<Value>(body) {
            Ok(json) => {
                let load = json.get("load").unwrap_or(&json);
                self.read(|name| load.get(name)?.as_f64())
            }
            Err(_) => std::str::from_utf8(body).map(|text| self.read_text(text)).unwrap_or_default(),
        }
    }

    /// Reads a report of comma-separated pairs `name=value`.
    fn read_text(&self, text: &str) -> Report {
        let text = text.trim();
        let text = text.strip_prefix(TEXT_PREFIX).unwrap_or(text);
        let pairs = text.split(',').filter_map(|pair| pair.split_once('='));
        let pairs: HashMap<&str, &str> = pairs.map(|(name, value)| (name.trim(), value.trim())).collect();
        self.read(|name| pairs.get(name)?.parse().ok())
    }
}

/// Returns the alternative name for a value of a report, or the name itself if it has none.
fn alias(name: &str) -> &str {
    match name {
        "cpu" => "util",
        "err_rps" => "eps",
        "active" => "inflight",
        "waiting" => "queue",
        "avg_ms" => "latency_ms",
        "rps" => "qps",
        other => other,
    }
}
