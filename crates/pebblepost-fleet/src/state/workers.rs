//! The workers in the state, as a majority of the dispatchers observes them.

use super::{KeyChanges, MAX_OPERATIONS_PER_COMMAND, MAX_WORKERS, Rejection, State, invalid};
use crate::name::{Key, Name};
use crate::value::{Value, Worker, WorkerDiff, WorkerObservation};

impl State {
    /// Returns the record of a worker.
    pub fn worker(&self, name: &Name) -> Option<&Worker> {
        match &self.entries.get(&Key::Worker(name.clone()))?.value {
            Value::Worker(worker) => Some(worker),
            _ => None,
        }
    }

    /// Returns the number of workers.
    pub fn worker_count(&self) -> usize {
        self.count_keys(|key| matches!(key, Key::Worker(_)))
    }

    /// Applies observations. Fields of a worker that were not observed keep their values. A worker that is
    /// gone is removed, but its drain mark and permit stay.
    pub(super) fn update_workers(&self, workers: &WorkerDiff) -> Result<KeyChanges, Rejection> {
        if workers.len() > MAX_OPERATIONS_PER_COMMAND {
            let count = workers.len();
            return invalid(format!(
                "at most {MAX_OPERATIONS_PER_COMMAND} workers in one command, not {count}"
            ));
        }
        let mut changes = KeyChanges::new();
        for (name, observation) in workers {
            let current = self.worker(name);
            let new = observation.clone().map(|observation| {
                let WorkerObservation { zone, machine_type, status } = observation;
                Worker { zone, machine_type, status: Some(status), ..current.cloned().unwrap_or_default() }
            });
            if current != new.as_ref() {
                changes.push((Key::Worker(name.clone()), new.map(Value::Worker)));
            }
        }
        self.check_capacity(&changes, |key| matches!(key, Key::Worker(_)), "workers", MAX_WORKERS)?;
        Ok(changes)
    }
}
