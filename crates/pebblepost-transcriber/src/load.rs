//! Parsing of the load of a transcriber, from the `Instance-Load` header or the body of `GET /report`.

use pebblepost_configuration::is_nested_too_deeply;
use simd_json::BorrowedValue;
use simd_json::prelude::{ValueAsArray, ValueAsObject, ValueAsScalar, ValueObjectAccess};

/// Maximum size of a load report. A larger one is not parsed, because values may take many times their text.
const MAX_LOAD_REPORT_BYTES: usize = 256 * 1024;

/// Load of a transcriber, as reported in `Instance-Load` or by `GET /report`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of requests in execution.
    pub running: u32,
    /// Number of requests in its queue.
    pub waiting: u32,
    /// Maximum number of requests that it runs concurrently, if reported.
    pub slots: Option<u32>,
    /// Whether the transcriber is executing a load order.
    pub load_order_in_progress: bool,
    /// Number of load orders that the transcriber has accepted.
    pub accepted_load_orders: u64,
    /// Loaded models: name and weight version.
    pub models: Vec<(String, u64)>,
}

/// Parses the value of `Instance-Load`: running requests, waiting requests and slots, separated by commas.
///
/// Returns `None` if one of the first two is missing or not a number.
pub fn parse_instance_load(value: &str) -> Option<Load> {
    let mut numbers = value.split(',').map(|number| number.trim().parse::<u32>().ok());
    let running = numbers.next()??;
    let waiting = numbers.next()??;
    let slots = numbers.next().flatten();
    Some(Load { running, waiting, slots, ..Load::default() })
}

/// Returns whether a body is a load report: JSON with the fields `running` and `waiting`.
pub(crate) fn is_load_report(body: &[u8]) -> bool {
    let Some(mut buffer) = parse_buffer(body) else { return false };
    let Ok(value) = simd_json::to_borrowed_value(&mut buffer) else { return false };
    ["running", "waiting"].iter().all(|name| value.get(*name).is_some())
}

/// Parses the body of `GET /report`.
///
/// A field that is missing or of another type counts as 0, false or empty, and missing slots as not reported. Returns
/// `None` if the body is not a JSON object, or too large or too deeply nested to be a report.
pub fn parse_load_report(body: &[u8]) -> Option<Load> {
    let mut buffer = parse_buffer(body)?;
    let report = simd_json::to_borrowed_value(&mut buffer).ok()?;
    report.as_object()?;
    let u64_field = |name: &str| report.get(name).and_then(|value| value.as_u64());
    let u32_field = |name: &str| u64_field(name).map(|value| u32::try_from(value).unwrap_or(u32::MAX));
    Some(Load {
        running: u32_field("running").unwrap_or(0),
        waiting: u32_field("waiting").unwrap_or(0),
        slots: u32_field("slots"),
        load_order_in_progress: report.get("busy").and_then(|busy| busy.as_bool()).unwrap_or(false),
        accepted_load_orders: u64_field("sequence").unwrap_or(0),
        models: parse_models(&report),
    })
}

/// Returns a copy of a report, which the parser modifies, or `None` if parsing it could take too much memory or stack.
fn parse_buffer(body: &[u8]) -> Option<Vec<u8>> {
    let is_acceptable = body.len() <= MAX_LOAD_REPORT_BYTES && !is_nested_too_deeply(body);
    is_acceptable.then(|| body.to_vec())
}

/// Parses the list of loaded models. Entries without a name or a weight version are ignored.
fn parse_models(report: &BorrowedValue<'_>) -> Vec<(String, u64)> {
    let Some(models) = report.get("models").and_then(|models| models.as_array()) else { return Vec::new() };
    models
        .iter()
        .filter_map(|model| {
            let name = model.get("name")?.as_str()?;
            let weight_version = model.get("generation")?.as_u64()?;
            Some((name.to_owned(), weight_version))
        })
        .collect()
}
