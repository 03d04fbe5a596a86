//! The datagrams and outputs of seeded simulated runs match approved digests.
//!
//! Members of different program versions exchange datagrams, so no refactoring may change their bytes. It must not
//! change the draws of the random generator either, as these decide the course of the runs.

use crate::common::{Network, PERIOD, Transcript};
use pebblepost_membership::Settings;
use std::fmt::Write;

/// Runs a network in which members join, one leaves, one dies and restarts, one freezes, datagrams are lost, and a
/// partition forms and heals.
fn run(size: usize, seed: u64) -> Transcript {
    let mut network = Network::new(size, seed, Settings::default());
    network.transcript = Some(Transcript::default());
    network.run_for(PERIOD * 15);
    network.leave(size - 1);
    network.kill(size - 2);
    network.loss = 0.1;
    network.run_for(PERIOD * 20);
    network.loss = 0.0;
    network.restart(size - 2);
    network.freeze(1);
    network.run_for(PERIOD * 4);
    network.thaw(1);
    network.nodes[..size / 3].iter_mut().for_each(|node| node.partition = 1);
    network.run_for(PERIOD * 30);
    network.nodes.iter_mut().for_each(|node| node.partition = 0);
    network.run_for(PERIOD * 30);
    network.transcript.take().expect("a transcript")
}

#[test]
fn seeded_runs_match_the_approved_digests() {
    let mut text = String::new();
    for (size, seed) in [(5, 0), (5, 1), (20, 0), (20, 1), (20, 2), (120, 0)] {
        let transcript = run(size, seed);
        let (outputs, digest) = (transcript.outputs, transcript.digest.finish());
        writeln!(text, "run {size} {seed}: {outputs} {digest:016x}")
            .expect("writing to a string cannot fail");
        for (kind, (count, digest)) in transcript.kinds {
            let digest = digest.finish();
            writeln!(text, "  kind {kind}: {count} {digest:016x}").expect("writing to a string cannot fail");
        }
    }
    assert_eq!(text, include_str!("../approved/runs.txt"));
}
