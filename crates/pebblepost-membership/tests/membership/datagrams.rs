//! Robustness against datagrams of any content, and the limit on the number of members.

use crate::common::address;
use pebblepost_membership::{Member, Membership, Output, Settings};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::time::Duration;

fn member(node: usize) -> Membership {
    let settings = Settings { seeds: vec![address(0), address(1)], ..Settings::default() };
    let local = Member {
        name: crate::common::name(node),
        address: address(node),
        payload: vec![7; 64],
        incarnation: 1,
    };
    Membership::new(local, settings, node as u64)
}

fn take_sent_datagrams(membership: &mut Membership) -> Vec<Vec<u8>> {
    let outputs = membership.take_outputs().into_iter();
    outputs
        .filter_map(|output| match output {
            Output::Send { datagram, .. } => Some(datagram),
            Output::MemberChanged { .. } => None,
        })
        .collect()
}

#[test]
fn random_and_altered_datagrams_do_not_panic() {
    let mut random = SmallRng::seed_from_u64(9);
    let mut receiver = member(0);
    let mut sender = member(1);
    sender.tick(Duration::ZERO);
    let valid = take_sent_datagrams(&mut sender);
    assert!(!valid.is_empty());
    for round in 0..200_000_u64 {
        let mut datagram = if random.random_bool(0.5) {
            valid[round as usize % valid.len()].clone()
        } else {
            let length = random.random_range(0..1_300);
            (0..length).map(|_| random.random()).collect()
        };
        for _ in 0..random.random_range(0..4) {
            if !datagram.is_empty() {
                let index = random.random_range(0..datagram.len());
                datagram[index] = random.random();
            }
        }
        datagram.truncate(random.random_range(0..=datagram.len()));
        let now = Duration::from_millis(round);
        receiver.receive(now, address(1), &datagram);
        if receiver.next_tick() <= now {
            receiver.tick(now);
        }
        assert!(take_sent_datagrams(&mut receiver).iter().all(|datagram| datagram.len() <= 1_200));
    }
    assert!(receiver.members().count() <= Settings::default().max_members);
}

#[test]
fn members_beyond_the_limit_are_ignored() {
    let local =
        Member { name: crate::common::name(0), address: address(0), payload: Vec::new(), incarnation: 1 };
    let mut receiver = Membership::new(local, Settings { max_members: 10, ..Settings::default() }, 1);
    for node in 1..100 {
        let mut sender = member(node);
        sender.tick(Duration::ZERO);
        for datagram in take_sent_datagrams(&mut sender) {
            receiver.receive(Duration::ZERO, address(node), &datagram);
        }
    }
    assert_eq!(receiver.members().count(), 10);
}
