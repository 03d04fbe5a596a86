//! Properties of the protocol on a simulated network of 5 to 200 members.

use crate::common::{Network, PERIOD, states_seen};
use pebblepost_membership::{MemberState, Settings};
use rstest::rstest;
use std::time::Duration;

/// Time limit for all members to find one another.
const JOIN_TIMEOUT: Duration = Duration::from_secs(20);

fn converged_network(size: usize, seed: u64) -> Network {
    let mut network = Network::new(size, seed, Settings::default());
    let time = network.run_until_converged(JOIN_TIMEOUT);
    assert!(time.is_some(), "{size} members did not find one another");
    network
}

#[rstest]
#[case(5)]
#[case(30)]
#[case(200)]
fn members_find_one_another(#[case] size: usize) {
    for seed in 0..5 {
        let network = converged_network(size, seed);
        println!("{size} members: joined after {:?}", network.now);
        assert!(network.false_deaths().is_empty());
    }
}

#[rstest]
#[case(5, 12)]
#[case(20, 14)]
#[case(200, 24)]
fn dead_member_is_detected_by_all(#[case] size: usize, #[case] max_periods: u32) {
    for seed in 0..5 {
        let mut network = converged_network(size, seed);
        network.kill(size - 1);
        let time = network.run_until_dead(size - 1, PERIOD * max_periods);
        println!("{size} members: death known to all after {time:?}");
        assert!(time.is_some(), "{size} members, seed {seed}");
        assert!(network.false_deaths().is_empty());
    }
}

#[rstest]
#[case(5)]
#[case(40)]
fn datagram_loss_causes_no_false_deaths(#[case] size: usize) {
    for seed in 0..5 {
        let mut network = converged_network(size, seed);
        network.loss = 0.1;
        network.run_for(PERIOD * 200);
        assert!(network.false_deaths().is_empty(), "{:?}", network.false_deaths());
        network.loss = 0.0;
        assert!(network.run_until_converged(PERIOD * 20).is_some());
    }
}

#[test]
fn datagram_loss_causes_false_deaths_without_refutation() {
    let mut network = Network::new(40, 1, Settings { refutes_suspicions: false, ..Settings::default() });
    network.run_until_converged(JOIN_TIMEOUT).expect("the members find one another");
    network.loss = 0.1;
    network.run_for(PERIOD * 200);
    assert!(!network.false_deaths().is_empty());
}

#[test]
fn frozen_members_rejoin_and_declare_no_other_member_dead() {
    for seed in 0..5 {
        let mut network = converged_network(30, seed);
        network.freeze(4);
        network.freeze(5);
        network.run_for(PERIOD * 25);
        assert_eq!(network.state(9, 4).map(|known| known.0), Some(MemberState::Dead));
        network.thaw(4);
        network.thaw(5);
        assert!(network.run_until_converged(PERIOD * 20).is_some(), "seed {seed}");
        let false_deaths = network
            .seen
            .iter()
            .filter(|seen| seen.state == MemberState::Dead && seen.of != 4 && seen.of != 5);
        assert_eq!(false_deaths.count(), 0, "seed {seed}");
    }
}

#[test]
fn short_freeze_causes_no_deaths() {
    for seed in 0..10 {
        let mut network = converged_network(30, seed);
        network.freeze(4);
        network.run_for(PERIOD * 2);
        network.thaw(4);
        assert!(network.run_until_converged(PERIOD * 10).is_some(), "seed {seed}");
        assert!(network.false_deaths().is_empty());
    }
}

#[rstest]
#[case(6, 3)]
#[case(40, 15)]
fn healed_partition_converges(#[case] size: usize, #[case] isolated: usize) {
    for seed in 0..5 {
        let mut network = converged_network(size, seed);
        network.nodes[..isolated].iter_mut().for_each(|node| node.partition = 1);
        network.run_for(PERIOD * 40);
        assert_eq!(network.state(0, size - 1).map(|known| known.0), Some(MemberState::Dead));
        network.nodes.iter_mut().for_each(|node| node.partition = 0);
        let time = network.run_until_converged(PERIOD * 40);
        println!("{size} members: joined again after {time:?}");
        assert!(time.is_some(), "seed {seed}");
    }
}

#[test]
fn sides_of_a_long_partition_reconnect_through_the_seeds() {
    let mut network = converged_network(12, 3);
    network.nodes[..1].iter_mut().for_each(|node| node.partition = 1);
    network.run_for(PERIOD * 200);
    assert_eq!(network.state(5, 0), None);
    network.nodes.iter_mut().for_each(|node| node.partition = 0);
    assert!(network.run_until_converged(PERIOD * 60).is_some());
}

#[test]
fn restarted_member_is_known_by_its_new_incarnation() {
    let mut network = converged_network(20, 2);
    network.kill(7);
    network.run_for(PERIOD / 2);
    network.restart(7);
    network.run_for(PERIOD * 12);
    assert!(network.has_converged());
    for by in (0..20).filter(|by| *by != 7) {
        let known = network.state(by, 7);
        assert!(matches!(known, Some((MemberState::Alive, 2_000..))), "{known:?}");
    }
}

#[test]
fn member_can_restart_long_after_its_death() {
    let mut network = converged_network(20, 2);
    network.kill(1);
    network.run_for(PERIOD * 60);
    network.restart(1);
    assert!(network.run_until_converged(PERIOD * 20).is_some());
}

#[test]
fn member_that_leaves_is_not_declared_dead() {
    let mut network = converged_network(40, 5);
    network.leave(11);
    assert!(network.run_until_converged(PERIOD * 12).is_some());
    let seen = states_seen(&network, 11);
    assert_eq!(seen.get(&MemberState::Dead), None);
    assert_eq!(seen.get(&MemberState::Left), Some(&39));
}

#[test]
fn replaced_members_are_found() {
    let mut network = converged_network(30, 6);
    for node in [0, 1, 2, 20] {
        network.kill(node);
        network.run_for(PERIOD * 15);
        network.restart(node);
        assert!(network.run_until_converged(PERIOD * 20).is_some(), "node {node}");
    }
}

#[test]
fn load_per_member_does_not_grow_with_the_number_of_members() {
    let load = |size| {
        let mut network = converged_network(size, 1);
        // The updates about the joins are piggybacked for minutes, on datagrams that are sent anyway. They are not part
        // of the steady load.
        network.run_for(PERIOD * 300);
        network.reset_counts();
        network.run_for(PERIOD * 100);
        let datagrams: Vec<u64> = network.nodes.iter().map(|node| node.sent_datagrams).collect();
        let bytes: u64 = network.nodes.iter().map(|node| node.sent_bytes).sum();
        let mean = datagrams.iter().sum::<u64>() as f64 / size as f64 / 100.0;
        let max = datagrams.iter().max().copied().unwrap_or(0) as f64 / 100.0;
        println!(
            "{size} members: {mean:.2} datagrams per period, {max:.2} at most, {} bytes",
            bytes / size as u64 / 100
        );
        (mean, max, bytes as f64 / size as f64)
    };
    let (small, large) = (load(20), load(200));
    assert!(
        large.0 < small.0 * 1.15,
        "mean datagrams per period: {} with 20 members, {} with 200",
        small.0,
        large.0
    );
    assert!(
        large.1 < small.1 * 1.5,
        "maximum of datagrams per period: {} with 20 members, {} with 200",
        small.1,
        large.1
    );
    assert!(large.2 < small.2 * 1.3, "bytes per member: {} with 20 members, {} with 200", small.2, large.2);
}

#[test]
fn updates_about_many_joins_are_piggybacked_on_probe_datagrams() {
    let mut network = converged_network(200, 1);
    network.reset_counts();
    network.run_for(PERIOD * 60);
    let datagrams = network.nodes.iter().map(|node| node.sent_datagrams).max().unwrap_or(0);
    let bytes = network.nodes.iter().map(|node| node.sent_bytes).max().unwrap_or(0);
    println!("{} datagrams, {} bytes per period at most", datagrams as f64 / 60.0, bytes / 60);
    assert!(datagrams < 60 * 3, "{datagrams} datagrams in 60 periods");
    assert!(bytes < 60 * 3 * 1_200, "{bytes} bytes in 60 periods");
}
