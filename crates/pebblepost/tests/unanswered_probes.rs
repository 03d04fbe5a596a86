//! When a worker counts as unresponsive, by its probes.

use pebblepost::unanswered_probes::UnansweredProbes;
use pebblepost_dispatch::api::{Status, Time, WorkerId};

#[test]
fn a_worker_is_unresponsive_after_failures_for_a_while_and_until_one_probe_is_answered() {
    let (mut probes, worker, at) =
        (UnansweredProbes::default(), WorkerId(1), |seconds: u64| Time(seconds * 1_000_000_000));
    probes.record(at(1), worker, Status::ConnectFailed);
    assert!(!probes.is_unresponsive(at(2), worker), "once is nothing yet");
    probes.record(at(3), worker, Status::Timeout);
    assert!(probes.is_unresponsive(at(3), worker) && !probes.is_unresponsive(at(3), WorkerId(2)));
    probes.record(at(4), worker, Status::Ok);
    assert!(!probes.is_unresponsive(at(9), worker));
}
