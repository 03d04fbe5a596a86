//! Judges what the clients saw: nothing acknowledged is lost, no read is old, and each worker's mark behaves as if there
//! were one copy of it (linearizability, by `stateright`'s checker).

use super::history::{Operation, OperationKind};
use serde::Serialize;
use stateright::semantics::{ConsistencyTester, LinearizabilityTester, SequentialSpec};
use std::collections::BTreeMap;

/// One worker's drain mark, as if there were one copy.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct DrainMark(Option<String>);

impl SequentialSpec for DrainMark {
    type Op = OperationKind;
    /// What a read found; other operations find nothing.
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

/// What the operations show.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Verdict {
    /// Changes that were acknowledged.
    pub committed: usize,
    /// Those of them that the final state contradicts.
    pub lost: usize,
    /// Reads that did not see what was acknowledged before they were sent.
    pub stale_reads: usize,
    /// Each history can be explained by one copy.
    pub linearizable: bool,
    /// What was found, in words.
    #[serde(skip)]
    pub found: Vec<String>,
}

/// Whether a worker must be drained at the end; `None`: its history leaves that open.
fn expected(history: &[&Operation]) -> Option<bool> {
    // Known only if no outcome is unknown and the changes came one after another.
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

/// Number of reads that contradict the last change acknowledged before them, with no other change open meanwhile.
fn stale(history: &[&Operation]) -> usize {
    let changes: Vec<&&Operation> =
        history.iter().filter(|operation| operation.kind != OperationKind::Read).collect();
    let reads = history.iter().filter(|operation| operation.kind == OperationKind::Read);
    let contradicts = |read: &&&Operation| {
        let Some((answer, found)) = &read.answer else { return false };
        // Every change but those over before the read, or begun after it, may or may not be seen.
        let open = changes.iter().any(|change| {
            change.requested_at < *answer
                && change.answer.as_ref().is_none_or(|(end, _)| *end > read.requested_at)
        });
        let end = |change: &Operation| change.answer.as_ref().map_or(f64::INFINITY, |(end, _)| *end);
        let before = || changes.iter().filter(|change| end(change) <= read.requested_at);
        let last = before().max_by(|left, right| left.requested_at.total_cmp(&right.requested_at));
        // Of two that were out at the same time either may have been the last.
        let clear = last.is_none_or(|last| {
            before()
                .all(|change| change.requested_at >= last.requested_at || end(change) <= last.requested_at)
        });
        let drained = last.is_some_and(|change| matches!(change.kind, OperationKind::Drain(_)));
        !open && clear && found.is_some() != drained
    };
    reads.filter(contradicts).count()
}

fn linearizable(history: &[&Operation]) -> bool {
    // Each operation is a thread of its own, so that those whose outcome is unknown stay open.
    let mut events: Vec<(f64, bool, usize)> = Vec::new();
    for (i, operation) in history.iter().enumerate() {
        events.push((operation.requested_at, false, i));
        events.extend(operation.answer.as_ref().map(|(at, _)| (*at, true, i)));
    }
    events.sort_by(|left, right| left.0.total_cmp(&right.0).then(left.1.cmp(&right.1)));
    let mut tester = LinearizabilityTester::new(DrainMark(None));
    for (_, ends, i) in events {
        let operation = history[i];
        // A read without an answer shows nothing.
        if operation.kind == OperationKind::Read && operation.answer.is_none() {
            continue;
        }
        let accepted = match &operation.answer {
            Some((_, found)) if ends => tester.on_return(i, found.clone()).is_ok(),
            _ => tester.on_invoke(i, operation.kind.clone()).is_ok(),
        };
        debug_assert!(accepted, "each operation is asked and answered once");
    }
    tester.is_consistent()
}

/// Judges the operations. `end`: the tag of each worker that is drained at the end, read once all faults were over.
pub fn judge(operations: &[Operation], end: &BTreeMap<String, String>) -> Verdict {
    let mut verdict = Verdict { linearizable: true, ..Verdict::default() };
    let mut by_worker: BTreeMap<&str, Vec<&Operation>> = BTreeMap::new();
    for operation in operations {
        by_worker.entry(&operation.worker).or_default().push(operation);
        verdict.committed += usize::from(operation.kind != OperationKind::Read && operation.answer.is_some());
    }
    for (worker, history) in &mut by_worker {
        history.sort_by(|left, right| left.requested_at.total_cmp(&right.requested_at));
        if let Some(expected) = expected(history)
            && expected != end.contains_key(*worker)
        {
            verdict.lost += 1;
            verdict.found.push(format!("{worker}: acknowledged as drained {expected}, not so at the end"));
        }
        let stale = stale(history);
        if stale > 0 {
            verdict.stale_reads += stale;
            verdict.found.push(format!("{worker}: {stale} reads older than what was acknowledged"));
        }
        if !linearizable(history) {
            verdict.linearizable = false;
            verdict.found.push(format!("{worker}: no order of {history:?} explains what was seen"));
        }
    }
    verdict
}
