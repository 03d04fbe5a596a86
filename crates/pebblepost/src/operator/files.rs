//! Readers for backups and for files of the fleet store's predecessor.

use super::error::{FileProblem, FleetError, Result};
use crate::checksummed_file;
use pebblepost_fleet::{Operation, Snapshot};
use serde_json::Value as Json;
use std::path::Path;

/// Reads a backup of the replicated state.
pub(super) fn read_backup(path: &Path) -> Result<Snapshot> {
    let body = checksummed_file::read(path).map_err(|error| FleetError::input(path, error))?;
    serde_json::from_str(&body).map_err(|error| FleetError::input(path, FileProblem::NotBackup(error)))
}

/// Reads the drains and settings from a file of the predecessor, which holds a checksum and then registers as JSON.
pub(super) fn read_predecessor_store(path: &Path) -> Result<Vec<Operation>> {
    let body = checksummed_file::read(path).map_err(|error| FleetError::input(path, error))?;
    parse_registers(&body).map_err(|problem| FleetError::input(path, problem))
}

fn parse_registers(body: &str) -> std::result::Result<Vec<Operation>, FileProblem> {
    let json: Json = serde_json::from_str(body)?;
    let registers = json.get("registers").and_then(Json::as_object).ok_or(FileProblem::RegistersMissing)?;
    let mut operations = Vec::new();
    for (key, register) in registers {
        // A register is the list `[VALUE, COUNTER, NODE]`.
        let value = register.get(0).unwrap_or(&Json::Null);
        match key.split_once('/') {
            Some(("drain", worker)) if value == true => operations.push(Operation::Drain(worker.parse()?)),
            Some(("setting", name)) if value.is_number() => {
                let value = value.as_f64().unwrap_or(f64::NAN);
                operations.push(Operation::SetSetting(name.parse()?, value));
            }
            _ => {}
        }
    }
    Ok(operations)
}
