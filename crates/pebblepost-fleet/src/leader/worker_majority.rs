//! The changes to the list of workers that a majority of the present dispatchers reports.

use super::Sessions;
use crate::command::Action;
use crate::name::Name;
use crate::state::{MAX_OPERATIONS_PER_COMMAND, MAX_WORKERS, State};
use crate::value::{Presence, Worker, WorkerDiff, WorkerObservation};
use std::collections::BTreeMap;

/// Returns the command that applies what a majority of the present dispatchers reports alike, or `None` if
/// nothing changes. Workers beyond [`MAX_WORKERS`] are not added.
pub fn majority_worker_update(state: &State, sessions: &Sessions) -> Option<Action> {
    let dispatchers =
        state.members().filter(|(_, member)| member.presence == Presence::Present && member.is_dispatcher());
    let mut votes: BTreeMap<(&Name, &Option<WorkerObservation>), usize> = BTreeMap::new();
    let mut voters = 0;
    for (name, member) in dispatchers {
        voters += 1;
        let report = sessions.report(name, member.session);
        for vote in report.into_iter().flat_map(|report| &report.worker_diff) {
            *votes.entry(vote).or_insert(0) += 1;
        }
    }
    // Dispatchers may still report a change that was committed meanwhile; it is not proposed again.
    let is_current = |name: &Name, observation: &Option<WorkerObservation>| {
        state.worker(name).and_then(Worker::observation) == *observation
    };
    let mut capacity = MAX_WORKERS.saturating_sub(state.worker_count());
    let mut workers = WorkerDiff::new();
    let majority = votes
        .into_iter()
        .filter(|((name, observation), count)| count * 2 > voters && !is_current(name, observation));
    for ((name, observation), _) in majority {
        if workers.len() >= MAX_OPERATIONS_PER_COMMAND {
            break;
        }
        if observation.is_some() && state.worker(name).is_none() {
            if capacity == 0 {
                continue;
            }
            capacity -= 1;
        }
        workers.insert(name.clone(), observation.clone());
    }
    (!workers.is_empty()).then_some(Action::UpdateWorkers { workers })
}
