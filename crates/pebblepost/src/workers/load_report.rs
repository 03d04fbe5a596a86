//! Load reports of workers: in a header or as text, or as JSON.

use crate::http::Head;
use pebblepost_dispatch::api::Report;
use serde_json::Value;
use std::collections::HashMap;

/// The header of a response that carries a report.
const REPORT_HEADER: &str = "x-pressure";
/// What a report in text form may begin with.
const TEXT_PREFIX: &str = "TEXT";

/// Names of a report's values, in the order of the settings.
#[derive(Debug)]
pub(super) struct ReportNames(pub(super) Vec<String>);

impl ReportNames {
    /// Reads a report value by value; empty unless all values are there and finite.
    pub(super) fn read(&self, value: impl Fn(&str) -> Option<f64>) -> Report {
        let read =
            |name: &String| value(name).or_else(|| value(alias(name))).filter(|value| value.is_finite());
        let values = self.0.iter().map(|name| read(name).map(|value| value as f32));
        values.collect::<Option<_>>().unwrap_or_default()
    }

    /// The report in a response's header; empty if there is none.
    pub(super) fn read_header(&self, head: &Head) -> Report {
        head.header(REPORT_HEADER).map(|text| self.read_text(text)).unwrap_or_default()
    }

    /// The report in a response's body, as JSON or as text; empty if there is none.
    pub(super) fn read_body(&self, body: &[u8]) -> Report {
        match serde_json::from_slice::<Value>(body) {
            Ok(json) => {
                let load = json.get("load").unwrap_or(&json);
                self.read(|name| load.get(name)?.as_f64())
            }
            Err(_) => std::str::from_utf8(body).map(|text| self.read_text(text)).unwrap_or_default(),
        }
    }

    /// Reads pairs `name=value` with commas between.
    fn read_text(&self, text: &str) -> Report {
        let text = text.trim();
        let text = text.strip_prefix(TEXT_PREFIX).unwrap_or(text);
        let pairs = text.split(',').filter_map(|pair| pair.split_once('='));
        let pairs: HashMap<&str, &str> = pairs.map(|(name, value)| (name.trim(), value.trim())).collect();
        self.read(|name| pairs.get(name)?.parse().ok())
    }
}

/// Another name that a value of a report goes by.
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
