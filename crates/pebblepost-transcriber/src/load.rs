//! Load of a transcriber: the `Instance-Load` header and the body of `GET /report`.

use simd_json::BorrowedValue;
use simd_json::prelude::{ValueAsArray, ValueAsObject, ValueAsScalar, ValueObjectAccess};

/// Load of a transcriber, as reported in `Instance-Load` or by `GET /report`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests in execution.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
    /// Requests that it runs concurrently, if reported.
    pub slots: Option<u32>,
    /// An order is being carried out.
    pub load_order_in_progress: bool,
    /// Number of orders accepted.
    pub accepted_load_orders: u64,
    /// Names of the loaded models, with the versions of their weights.
    pub models: Vec<(String, u64)>,
}

/// Parses `Instance-Load`: running requests, waiting requests and slots, separated by commas. `None` if one of the
/// first two is missing or not a number.
pub fn parse_instance_load(value: &str) -> Option<Load> {
    let mut numbers = value.split(',').map(|number| number.trim().parse::<u32>().ok());
    let running = numbers.next()??;
    let waiting = numbers.next()??;
    let slots = numbers.next().flatten();
    Some(Load { running, waiting, slots, ..Load::default() })
}

/// Whether a body is a load report.
pub(crate) fn is_load_report(body: &[u8]) -> bool {
    let mut buffer = body.to_vec();
    let Ok(value) = simd_json::to_borrowed_value(&mut buffer) else { return false };
    ["running", "waiting"].iter().all(|name| value.get(*name).is_some())
}

/// Parses the body of `GET /report`. Missing fields count as 0, false or empty; `None` if the body is not a JSON
/// object.
pub fn parse_load_report(body: &[u8]) -> Option<Load> {
    let mut buffer = body.to_vec();
    let report = simd_json::to_borrowed_value(&mut buffer).ok()?;
    report.as_object()?;
    let number = |name: &str| report.get(name).and_then(|value| value.as_u64());
    let small_number = |name: &str| number(name).map(|value| u32::try_from(value).unwrap_or(u32::MAX));
    Some(Load {
        running: small_number("running").unwrap_or(0),
        waiting: small_number("waiting").unwrap_or(0),
        slots: small_number("slots"),
        load_order_in_progress: report.get("busy").and_then(|busy| busy.as_bool()).unwrap_or(false),
        accepted_load_orders: number("sequence").unwrap_or(0),
        models: parse_models(&report),
    })
}

/// Entries without a name or a version are ignored.
fn parse_models(report: &BorrowedValue<'_>) -> Vec<(String, u64)> {
    let Some(models) = report.get("models").and_then(|models| models.as_array()) else { return Vec::new() };
    models
        .iter()
        .filter_map(|model| {
            let name = model.get("name")?.as_str()?;
            let generation = model.get("generation")?.as_u64()?;
            Some((name.to_owned(), generation))
        })
        .collect()
}
