//! Load of a transcriber: the `Instance-Load` header and the body of `GET /report`.

use crate::Load;
use simd_json::prelude::{ValueAsArray, ValueAsObject, ValueAsScalar, ValueObjectAccess};

/// Reads `Instance-Load`: requests running, requests waiting and slots, separated by commas.
pub fn parse_instance_load(value: &str) -> Option<Load> {
    let mut numbers = value.split(',').map(|number| number.trim().parse::<u32>().ok());
    let running = numbers.next()??;
    let waiting = numbers.next()??;
    let slots = numbers.next().flatten();
    Some(Load { running, waiting, slots, ..Load::default() })
}

/// Whether a body is that of a report with the load in it.
pub(crate) fn is_report(body: &[u8]) -> bool {
    let mut buffer = body.to_vec();
    let Ok(value) = simd_json::to_borrowed_value(&mut buffer) else { return false };
    ["running", "waiting"].iter().all(|name| value.get(*name).is_some())
}

/// Reads the body of `GET /report`. Fields that are missing count as 0, absent or empty; `None`
/// if the body is no JSON object.
pub fn parse_load_report(body: &[u8]) -> Option<Load> {
    let mut buffer = body.to_vec();
    let report = simd_json::to_borrowed_value(&mut buffer).ok()?;
    report.as_object()?;
    let number = |name: &str| report.get(name).and_then(|value| value.as_u64());
    let small = |name: &str| number(name).map(|value| u32::try_from(value).unwrap_or(u32::MAX));
    let models = report.get("models").and_then(|models| models.as_array()).map(|models| {
        models
            .iter()
            .filter_map(|model| {
                let name = model.get("name")?.as_str()?;
                let generation = model.get("generation")?.as_u64()?;
                Some((name.to_owned(), generation))
            })
            .collect()
    });
    Some(Load {
        running: small("running").unwrap_or(0),
        waiting: small("waiting").unwrap_or(0),
        slots: small("slots"),
        order_in_progress: report.get("busy").and_then(|busy| busy.as_bool()).unwrap_or(false),
        sequence: number("sequence").unwrap_or(0),
        models: models.unwrap_or_default(),
    })
}
