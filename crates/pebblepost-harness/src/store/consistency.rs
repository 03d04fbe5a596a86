//! Checks what clients observed: no acknowledged change is lost, no read is stale, and the drain mark of each worker
//! is linearizable (checked by `stateright`).

use super::history::{Operation, OperationKind};
use serde::Serialize;
use stateright::semantics::{ConsistencyTester, LinearizabilityTester, SequentialSpec};
use std::collections::BTreeMap;

/// Sequential specification of one worker's drain mark: a register that holds the tag of the drain.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct DrainRegister(Option<String>);

impl SequentialSpec for DrainRegister {
    type Op = OperationKind;
    /// What a read returns. Other operations return `None`.
    type Ret = Option<String>;

    fn invoke(&mut self, op: &OperationKind) -> Option<String> {
        match op {
            OperationKind::Drain(tag) => {
                self.0.get_or_insert_with(|| tag.clone());
                None
            }
            OperationKind::Undrain => {
                self.0 = None;
                None
            }
            OperationKind::Read => self.0.clone(),
        }
    }
}

/// Result of the check.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Verdict {
    /// Number of acknowledged changes.
    pub committed: usize,
    /// Number of workers whose final state contradicts the acknowledged changes.
    pub lost: usize,
    /// Number of reads that did not return what had been acknowledged before they were sent.
    pub stale_reads: usize,
    /// Whether the history of each worker is linearizable.
    pub linearizable: bool,
    /// Description of each violation.
    #[serde(skip)]
    pub found: Vec<String>,
}

/// Whether a worker must be drained at the end; `None` if its history does not determine that.
fn expected_drained_at_end(history: &[&Operation]) -> Option<bool> {
    // The outcome is determined only if all changes were acknowledged and none of them overlap.
    let changes: Vec<&&Operation> =
        history.iter().filter(|operation| operation.kind != OperationKind::Read).collect();
    let mut last = f64::NEG_INFINITY;
    for change in &changes {
        let (answer, _) = change.answer.as_ref()?;
        if change.requested_at < last {
            return None;
        }
        last = *answer;
    }
    changes.last().map(|change| matches!(change.kind, OperationKind::Drain(_)))
}

/// Counts the reads that contradict the last change acknowledged before them while no other change overlaps the read.
fn count_stale_reads(history: &[&Operation]) -> usize {
    let changes: Vec<&&Operation> =
        history.iter().filter(|operation| operation.kind != OperationKind::Read).collect();
    let reads = history.iter().filter(|operation| operation.kind == OperationKind::Read);
    let contradicts = |read: &&&Operation| {
        let Some((answer, found)) = &read.answer else { return false };
        // A change that overlaps the read may or may not be visible to it.
        let overlaps_change = changes.iter().any(|change| {
            change.requested_at < *answer
                && change.answer.as_ref().is_none_or(|(end, _)| *end > read.requested_at)
        });
        let end = |change: &Operation| change.answer.as_ref().map_or(f64::INFINITY, |(end, _)| *end);
        let before = || changes.iter().filter(|change| end(change) <= read.requested_at);
        let last = before().max_by(|left, right| left.requested_at.total_cmp(&right.requested_at));
        // If two acknowledged changes overlapped, either may have taken effect last.
        let last_is_unambiguous = last.is_none_or(|last| {
            before()
                .all(|change| change.requested_at >= last.requested_at || end(change) <= last.requested_at)
        });
        let drained = last.is_some_and(|change| matches!(change.kind, OperationKind::Drain(_)));
        !overlaps_change && last_is_unambiguous && found.is_some() != drained
    };
    reads.filter(contradicts).count()
}

fn is_linearizable(history: &[&Operation]) -> bool {
    // Each operation is a thread of its own, so that operations with unknown outcomes stay open.
    let mut events: Vec<(f64, bool, usize)> = Vec::new();
    for (i, operation) in history.iter().enumerate() {
        events.push((operation.requested_at, false, i));
        events.extend(operation.answer.as_ref().map(|(at, _)| (*at, true, i)));
    }
    events.sort_by(|left, right| left.0.total_cmp(&right.0).then(left.1.cmp(&right.1)));
    let mut tester = LinearizabilityTester::new(DrainRegister(None));
    for (_, ends, i) in events {
        let operation = history[i];
        // A read without an answer gives no information.
        if operation.kind == OperationKind::Read && operation.answer.is_none() {
            continue;
        }
        let accepted = match &operation.answer {
            Some((_, found)) if ends => tester.on_return(i, found.clone()).is_ok(),
            _ => tester.on_invoke(i, operation.kind.clone()).is_ok(),
        };
        debug_assert!(accepted, "each operation is invoked once and returns at most once");
    }
    tester.is_consistent()
}

/// Checks the operations of all clients. `final_drains` holds the tag of each worker that is drained at the end, read
/// once all faults are over.
pub fn check_consistency(operations: &[Operation], final_drains: &BTreeMap<String, String>) -> Verdict {
    let mut verdict = Verdict { linearizable: true, ..Verdict::default() };
    let mut by_worker: BTreeMap<&str, Vec<&Operation>> = BTreeMap::new();
    for operation in operations {
        by_worker.entry(&operation.worker).or_default().push(operation);
        verdict.committed += usize::from(operation.kind != OperationKind::Read && operation.answer.is_some());
    }
    for (worker, history) in &mut by_worker {
        history.sort_by(|left, right| left.requested_at.total_cmp(&right.requested_at));
        if let Some(expected) = expected_drained_at_end(history)
            && expected != final_drains.contains_key(*worker)
        {
            verdict.lost += 1;
            verdict.found.push(format!(
                "{worker}: final state contradicts the acknowledged changes: expected drained = {expected}"
            ));
        }
        let stale = count_stale_reads(history);
        if stale > 0 {
            verdict.stale_reads += stale;
            verdict.found.push(format!("{worker}: {stale} stale reads"));
        }
        if !is_linearizable(history) {
            verdict.linearizable = false;
            verdict.found.push(format!("{worker}: history is not linearizable: {history:?}"));
        }
    }
    verdict
}
