//! Checks when a worker counts as unresponsive, from the outcomes of its probes.

use pebblepost::unanswered_probes::UnansweredProbes;
use pebblepost_dispatch::api::{Status, Time, WorkerId};

#[test]
fn a_worker_is_unresponsive_from_repeated_probe_failures_until_a_probe_succeeds() {
    let (mut probes, worker, at) =
        (UnansweredProbes::default(), WorkerId(1), |seconds: u64| Time(seconds * 1_000_000_000));
    probes.record(at(1), worker, Status::ConnectFailed);
    assert!(!probes.is_unresponsive(at(2), worker), "unresponsive after a single failure");
    probes.record(at(3), worker, Status::Timeout);
    assert!(probes.is_unresponsive(at(3), worker) && !probes.is_unresponsive(at(3), WorkerId(2)));
    probes.record(at(4), worker, Status::Ok);
    assert!(!probes.is_unresponsive(at(9), worker));
}
