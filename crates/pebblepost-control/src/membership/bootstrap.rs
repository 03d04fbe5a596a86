//! Bootstrap: disk identities of the first members and the first epoch record.
//!
//! The disks of the seeds have identities derived from the seeds' addresses, so all of them know the same first record
//! without agreeing on it. Every other disk draws a random identity and has to be added to the group.

use crate::hash::fnv1a;
use pebblepost_messages::{DiskId, Member};
use pebblepost_replication::record::EpochRecord;
use pebblepost_settings::Settings;
use std::net::SocketAddr;

/// Identity of a seed's disk.
pub fn bootstrap_disk(seed: SocketAddr) -> DiskId {
    DiskId(fnv1a(&[seed.to_string().as_bytes()]))
}

/// Identity with which this machine's disk is formatted if it is empty: a seed's, or a random one (`None`).
pub fn identity_to_format(settings: &Settings) -> Option<DiskId> {
    let own = settings.control_address?;
    (settings.bootstrap && settings.seeds.contains(&own)).then(|| bootstrap_disk(own))
}

/// The record that all seeds start from: no primary yet, all of them in sync and witnesses. Names and zones of the
/// members are not known at this point and left empty.
pub fn bootstrap_record(seeds: &[SocketAddr], control_link_port: u16) -> EpochRecord {
    let member = |seed: &SocketAddr| Member {
        disk: bootstrap_disk(*seed),
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
