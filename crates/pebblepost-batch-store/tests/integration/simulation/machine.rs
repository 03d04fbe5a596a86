//! A simulated storage machine: its process, its disk and its links.

use super::disk::Disk;
use pebblepost_batch_store::store::Store;
use pebblepost_messages::{DiskId, Member};
use std::collections::BTreeMap;

/// A storage machine.
#[derive(Debug)]
pub struct Machine {
    pub member: Member,
    pub(super) disk: Disk,
    pub(super) store: Option<Store>,
    pub(super) incarnation: u64,
    /// Time at which the running process was started. The monotonic clock of the process counts from then on.
    pub(super) started_at: u64,
    pub(super) frozen_until: u64,
    pub(super) is_partitioned: bool,
    pub(super) is_connected_to_control: bool,
    /// Links that proxies opened to this machine.
    pub(super) proxies: BTreeMap<u64, usize>,
    /// Links that other machines opened to this one, by machine and incarnation.
    pub(super) peers: BTreeMap<(usize, u64), u64>,
}

impl Machine {
    /// Creates a machine with an empty disk, whose process does not run.
    pub(super) fn new(index: usize, disk: DiskId) -> Machine {
        Machine {
            member: Member {
                disk,
                node: format!("store-{index}"),
                address: format!("10.0.{index}.1:7301"),
                zone: format!("zone-{index}"),
                region: "region".to_owned(),
            },
            disk: Disk::default(),
            store: None,
            incarnation: 0,
            started_at: 0,
            frozen_until: 0,
            is_partitioned: false,
            is_connected_to_control: false,
            proxies: BTreeMap::new(),
            peers: BTreeMap::new(),
        }
    }
}
