//! The judgement of what clients of the agreed store saw.

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
fn accepts_what_a_single_copy_would_answer() {
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
    // A change whose outcome is unknown may be seen or not, also much later.
    for found in [None, Some("a")] {
        let verdict = check_consistency(&[drain(0.0, None), read(9.0, 9.1, found)], &drained(true));
        assert_eq!((verdict.lost, verdict.stale_reads, verdict.linearizable), (0, 0, true));
    }
}

#[test]
fn finds_lost_changes_stale_reads_and_orders_that_no_copy_explains() {
    let lost = check_consistency(&[drain(0.0, Some(1.0))], &drained(false));
    assert_eq!((lost.lost, lost.linearizable), (1, true));
    let undone = check_consistency(
        &[drain(0.0, Some(1.0)), operation(OperationKind::Undrain, 2.0, Some((3.0, None)))],
        &drained(true),
    );
    assert_eq!(undone.lost, 1);
    let stale = check_consistency(&[drain(0.0, Some(1.0)), read(1.5, 1.6, None)], &drained(true));
    assert_eq!((stale.stale_reads, stale.linearizable), (1, false));
    // Two concurrent changes: the order of their requests is not that of their effects.
    let both = [
        drain(0.0, Some(2.0)),
        operation(OperationKind::Undrain, 1.0, Some((1.5, None))),
        read(3.0, 4.0, Some("a")),
    ];
    assert_eq!(check_consistency(&both, &drained(true)).stale_reads, 0);
    // Seen, then not seen, while the change is still open: neither read is stale by itself.
    let back = [drain(0.0, Some(9.0)), read(1.0, 2.0, Some("a")), read(3.0, 4.0, None)];
    let back = check_consistency(&back, &drained(true));
    assert_eq!((back.stale_reads, back.linearizable), (0, false));
}
