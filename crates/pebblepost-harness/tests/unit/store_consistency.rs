//! The judgement of what clients of the agreed store saw.

use pebblepost_harness::store::consistency::{Verdict, judge};
use pebblepost_harness::store::history::{Operation, OperationKind};
use std::collections::BTreeMap;

fn op(kind: OperationKind, asked: f64, answered: Option<(f64, Option<&str>)>) -> Operation {
    let answered = answered.map(|(at, found)| (at, found.map(str::to_owned)));
    Operation { worker: "w".to_owned(), kind, asked, answered }
}

fn drain(asked: f64, answered: Option<f64>) -> Operation {
    op(OperationKind::Drain("a".to_owned()), asked, answered.map(|at| (at, None)))
}

fn read(asked: f64, answered: f64, found: Option<&str>) -> Operation {
    op(OperationKind::Read, asked, Some((answered, found)))
}

fn marks(there: bool) -> BTreeMap<String, String> {
    there.then(|| ("w".to_owned(), "a".to_owned())).into_iter().collect()
}

#[test]
fn what_one_copy_would_do_is_no_fault() {
    let history = [
        drain(0.0, Some(1.0)),
        read(0.5, 0.9, None),
        read(1.1, 1.2, Some("a")),
        op(OperationKind::Undrain, 2.0, Some((3.0, None))),
        read(2.5, 2.6, None),
        read(3.1, 3.2, None),
    ];
    let verdict = judge(&history, &marks(false));
    assert_eq!(verdict, Verdict { committed: 2, linearizable: true, ..Verdict::default() });
    // One whose outcome is unknown may be seen or not, also much later.
    for found in [None, Some("a")] {
        let verdict = judge(&[drain(0.0, None), read(9.0, 9.1, found)], &marks(true));
        assert_eq!((verdict.lost, verdict.stale_reads, verdict.linearizable), (0, 0, true));
    }
}

#[test]
fn each_fault_is_found() {
    let lost = judge(&[drain(0.0, Some(1.0))], &marks(false));
    assert_eq!((lost.lost, lost.linearizable), (1, true));
    let undone =
        judge(&[drain(0.0, Some(1.0)), op(OperationKind::Undrain, 2.0, Some((3.0, None)))], &marks(true));
    assert_eq!(undone.lost, 1);
    let stale = judge(&[drain(0.0, Some(1.0)), read(1.5, 1.6, None)], &marks(true));
    assert_eq!((stale.stale_reads, stale.linearizable), (1, false));
    // Two changes that were out together: the order in which they were asked is not theirs.
    let both = [
        drain(0.0, Some(2.0)),
        op(OperationKind::Undrain, 1.0, Some((1.5, None))),
        read(3.0, 4.0, Some("a")),
    ];
    assert_eq!(judge(&both, &marks(true)).stale_reads, 0);
    // Operation, then not seen, while the change is still open: neither read is old by itself.
    let back = [drain(0.0, Some(9.0)), read(1.0, 2.0, Some("a")), read(3.0, 4.0, None)];
    let back = judge(&back, &marks(true));
    assert_eq!((back.stale_reads, back.linearizable), (0, false));
}
