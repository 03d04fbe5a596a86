//! Tests of the consistency check on histories of clients of the replicated store.

use pebblepost_harness::store::consistency::{Verdict, check_consistency};
use pebblepost_harness::store::history::{Operation, OperationKind};
use std::collections::BTreeMap;

fn operation(kind: OperationKind, requested_at: f64, answer: Option<(f64, Option<&str>)>) -> Operation {
    let answer = answer.map(|(at, found)| (at, found.map(str::to_owned)));
    Operation { worker: "w".to_owned(), kind, requested_at, answer }
}

fn drain(requested_at: f64, answer: Option<f64>) -> Operation {
    operation(OperationKind::Drain("a".to_owned()), requested_at, answer.map(|at| (at, None)))
}

fn read(requested_at: f64, answer: f64, found: Option<&str>) -> Operation {
    operation(OperationKind::Read, requested_at, Some((answer, found)))
}

fn drained(there: bool) -> BTreeMap<String, String> {
    there.then(|| ("w".to_owned(), "a".to_owned())).into_iter().collect()
}

#[test]
fn accepts_linearizable_histories() {
    let history = [
        drain(0.0, Some(1.0)),
        read(0.5, 0.9, None),
        read(1.1, 1.2, Some("a")),
        operation(OperationKind::Undrain, 2.0, Some((3.0, None))),
        read(2.5, 2.6, None),
        read(3.1, 3.2, None),
    ];
    let verdict = check_consistency(&history, &drained(false));
    assert_eq!(verdict, Verdict { committed: 2, linearizable: true, ..Verdict::default() });
    // A change with an unknown outcome may take effect or not, even much later.
    for found in [None, Some("a")] {
        let verdict = check_consistency(&[drain(0.0, None), read(9.0, 9.1, found)], &drained(true));
        assert_eq!((verdict.lost, verdict.stale_reads, verdict.linearizable), (0, 0, true));
    }
}

#[test]
fn reports_lost_changes_stale_reads_and_histories_that_are_not_linearizable() {
    let lost = check_consistency(&[drain(0.0, Some(1.0))], &drained(false));
    assert_eq!((lost.lost, lost.linearizable), (1, true));
    let undone = check_consistency(
        &[drain(0.0, Some(1.0)), operation(OperationKind::Undrain, 2.0, Some((3.0, None)))],
        &drained(true),
    );
    assert_eq!(undone.lost, 1);
    let stale = check_consistency(&[drain(0.0, Some(1.0)), read(1.5, 1.6, None)], &drained(true));
    assert_eq!((stale.stale_reads, stale.linearizable), (1, false));
    // Two concurrent changes may take effect in another order than they were requested.
    let concurrent = [
        drain(0.0, Some(2.0)),
        operation(OperationKind::Undrain, 1.0, Some((1.5, None))),
        read(3.0, 4.0, Some("a")),
    ];
    assert_eq!(check_consistency(&concurrent, &drained(true)).stale_reads, 0);
    // While the change is pending, one read returns it and a later one does not. Neither read alone is stale, but together they
    // are not linearizable.
    let reverted = [drain(0.0, Some(9.0)), read(1.0, 2.0, Some("a")), read(3.0, 4.0, None)];
    let reverted = check_consistency(&reverted, &drained(true));
    assert_eq!((reverted.stale_reads, reverted.linearizable), (0, false));
}
