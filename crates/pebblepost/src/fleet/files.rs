//! Backups, and files of the old store.

use super::error::{FleetError, Result};
use crate::kept;
use pebblepost_fleet::{Operation, Snapshot};
use serde_json::Value as Json;
use std::path::Path;

pub(super) fn read_backup(path: &Path) -> Result<Snapshot> {
    let wrong = |what: &dyn std::fmt::Display| FleetError::Usage(format!("{}: {what}", path.display()));
    let body = kept::read(path).map_err(|e| wrong(&e))?;
    serde_json::from_str(&body).map_err(|e| wrong(&format!("no backup: {e}")))
}

/// The drains and settings in a file of the old store: a checksum, then registers as JSON.
pub(super) fn old_store(path: &Path) -> Result<Vec<Operation>> {
    let wrong = |what: &dyn std::fmt::Display| FleetError::Usage(format!("{}: {what}", path.display()));
    let body = kept::read(path).map_err(|e| wrong(&e))?;
    let json: Json = serde_json::from_str(&body).map_err(|e| wrong(&e))?;
    let registers = json.get("registers").and_then(Json::as_object).ok_or_else(|| wrong(&"no registers"))?;
    let mut ops = Vec::new();
    for (key, register) in registers {
        // [VALUE, COUNTER, NODE]
        let value = register.get(0).unwrap_or(&Json::Null);
        match key.split_once('/') {
            Some(("drain", worker)) if value == true => {
                ops.push(Operation::Drain(worker.parse().map_err(|e| wrong(&e))?));
            }
            Some(("setting", name)) if value.is_number() => {
                let name = name.parse().map_err(|e| wrong(&e))?;
                ops.push(Operation::SetSetting(name, value.as_f64().unwrap_or(f64::NAN)));
            }
            _ => {}
        }
    }
    Ok(ops)
}
