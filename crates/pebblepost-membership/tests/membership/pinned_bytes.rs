//! Datagrams and whole simulated runs are those that were approved.
//!
//! Members of different versions talk to one another: no renaming may change a byte or a draw.

use crate::common::{Network, PERIOD, Transcript};
use pebblepost_membership::Settings;
use std::fmt::Write;

/// Members join, one leaves, one dies and restarts, one freezes, datagrams are lost, a partition heals.
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
fn seeded_runs_send_and_report_as_before() {
    let mut text = String::new();
    for (size, seed) in [(5, 0), (5, 1), (20, 0), (20, 1), (20, 2), (120, 0)] {
        let transcript = run(size, seed);
        let (outputs, digest) = (transcript.outputs, transcript.digest.finish());
        writeln!(text, "run {size} {seed}: {outputs} {digest:016x}").expect("a string takes it");
        for (kind, (count, digest)) in transcript.kinds {
            let digest = digest.finish();
            writeln!(text, "  kind {kind}: {count} {digest:016x}").expect("a string takes it");
        }
    }
    assert_eq!(text, include_str!("../approved/runs.txt"));
}
