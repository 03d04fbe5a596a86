//! Bootstrap of the control group: the disk identities of the first members, and the first epoch record.
//!
//! The disk identities of the seeds are derived from their addresses, so all seeds start from the same epoch record
//! without communication. Every other disk gets a random identity and has to be added to the group.

use crate::hash::fnv1a;
use pebblepost_messages::{DiskId, Member};
use pebblepost_replication::record::EpochRecord;
use pebblepost_settings::Settings;
use std::net::SocketAddr;

/// Returns the identity of a seed's disk, derived from the seed's address.
pub fn bootstrap_disk(seed: SocketAddr) -> DiskId {
    DiskId(fnv1a(&[seed.to_string().as_bytes()]))
}

/// Returns the identity with which the disk of this machine is formatted if it is empty: that of a seed, or `None`
/// for a random one.
pub fn identity_to_format(settings: &Settings) -> Option<DiskId> {
    let own = settings.control_address?;
    (settings.bootstrap && settings.seeds.contains(&own)).then(|| bootstrap_disk(own))
}

/// Returns the epoch record from which all seeds start. It names no primary, and all seeds as in-sync replicas and
/// witnesses. The names and zones of the members are not known at this point and are left empty.
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
