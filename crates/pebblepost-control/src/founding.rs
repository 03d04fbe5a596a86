//! Founding: identities of the first disks and the first epoch record.
//!
//! The disks of the seeds have identities derived from the seeds' addresses, so that all of them
//! know the same first record without having agreed on it. Every other disk draws its identity at
//! random and has to be added.

use crate::hash::fnv1a;
use pebblepost_messages::{DiskId, Member};
use pebblepost_replication::record::EpochRecord;
use pebblepost_settings::Settings;
use std::net::SocketAddr;

/// Identity of a founder's disk.
pub fn founder_disk(seed: SocketAddr) -> DiskId {
    DiskId(fnv1a(&[seed.to_string().as_bytes()]))
}

/// Identity with which this machine's disk is formatted if it is empty: a founder's, or a random
/// one (`None`).
pub fn identity_to_format(settings: &Settings) -> Option<DiskId> {
    let own = settings.listen_control?;
    (settings.bootstrap && settings.seeds.contains(&own)).then(|| founder_disk(own))
}

/// The record that all founders start from: no primary yet, all of them in sync and witnesses.
/// Only the disks and addresses of the others are known, so nothing else is named.
pub fn founding_record(seeds: &[SocketAddr], control_link_port: u16) -> EpochRecord {
    let member = |seed: &SocketAddr| Member {
        disk: founder_disk(*seed),
        address: SocketAddr::new(seed.ip(), control_link_port).to_string(),
        ..Member::default()
    };
    let mut members: Vec<Member> = seeds.iter().map(member).collect();
    members.sort_by_key(|member| member.disk);
    members.dedup();
    EpochRecord {
        epoch: 0,
        primary: DiskId(0),
        in_sync: members.clone(),
        witnesses: members,
        former_witnesses: Vec::new(),
    }
}
