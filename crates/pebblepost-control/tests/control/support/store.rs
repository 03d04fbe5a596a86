//! A minimal storage node that changes the replicas of its groups to the targets set by the control plane.

use super::cluster::Cluster;
use pebblepost_messages::control::{FromControl, GroupEpoch, SubscriberRole, ToControl};
use pebblepost_messages::feed::{FeedReply, FeedUpdate, StoreGroup};
use pebblepost_messages::{DiskId, Member};
use std::collections::BTreeMap;

pub struct Store {
    pub client: usize,
    pub member: Member,
    pub groups: BTreeMap<u32, StoreGroup>,
    /// Whether this is the first start of the whole system. Only then does the node take part in the initial assignment.
    bootstrap: bool,
    last_request: u64,
}

impl Store {
    /// Starts a storage node that takes part in the initial assignment of groups, and connects it to the primary.
    pub fn start_for_bootstrap(cluster: &mut Cluster, number: u64) -> Store {
        Store::start(cluster, number, true)
    }

    /// Starts a storage node that is added to a running system, and connects it to the primary.
    pub fn start_added(cluster: &mut Cluster, number: u64) -> Store {
        Store::start(cluster, number, false)
    }

    fn start(cluster: &mut Cluster, number: u64, bootstrap: bool) -> Store {
        let member = Member {
            disk: DiskId(0xd000 + number),
            node: format!("storage-{number}"),
            address: format!("10.1.0.{number}:7301"),
            zone: format!("zone-{}", number % 3),
            region: "region".into(),
        };
        let primary = cluster.primary();
        let client = cluster.connect(primary);
        let store = Store { client, member, groups: BTreeMap::new(), bootstrap, last_request: 0 };
        store.introduce(cluster);
        store
    }

    /// Starts the same node with a new, empty disk and connects it to the primary.
    pub fn start_wiped(&self, cluster: &mut Cluster) -> Store {
        let member = Member { disk: DiskId(self.member.disk.0 + 0x100), ..self.member.clone() };
        let primary = cluster.primary();
        let client = cluster.connect(primary);
        let store = Store { client, member, groups: BTreeMap::new(), bootstrap: false, last_request: 0 };
        store.introduce(cluster);
        store
    }

    /// Reconnects the node to the primary and introduces it again.
    pub fn reconnect(&self, cluster: &mut Cluster) {
        let primary = cluster.primary();
        cluster.reconnect(self.client, primary);
        self.introduce(cluster);
    }

    fn introduce(&self, cluster: &mut Cluster) {
        let subscribe = ToControl::Subscribe {
            node: self.member.node.clone(),
            zone: self.member.zone.clone(),
            role: SubscriberRole::Store,
            generation: 0,
        };
        cluster.send(self.client, subscribe);
        let hello = ToControl::StoreHello { member: self.member.clone(), bootstrap: self.bootstrap };
        cluster.send(self.client, hello);
    }

    /// Applies the feed and proposes the next change for each group of which this node is primary and whose replicas in
    /// sync differ from the targets.
    pub fn act(&mut self, cluster: &mut Cluster) {
        for message in cluster.received(self.client) {
            if let FromControl::Feed(batch) = message {
                for update in batch.updates {
                    if let FeedUpdate::StoreGroups(groups) = update {
                        self.groups.extend(groups.into_iter().map(|group| (group.group, group)));
                    }
                }
                let reply = FeedReply::Acknowledge { sequence: batch.sequence, generation: 0 };
                cluster.send(self.client, ToControl::Reply(reply));
            }
        }
        cluster.send(self.client, ToControl::KeepAlive);
        let unfinished: Vec<StoreGroup> =
            self.groups.values().filter(|group| self.needs_change(group)).cloned().collect();
        for group in unfinished {
            self.last_request += 1;
            let message = self.next_change(&group);
            cluster.send(self.client, message);
        }
    }

    fn needs_change(&self, group: &StoreGroup) -> bool {
        group.primary.disk == self.member.disk && disks(&group.in_sync) != disks(&group.targets)
    }

    fn next_change(&self, group: &StoreGroup) -> ToControl {
        let targets = disks(&group.targets);
        // A primary that is not a target first adds the targets, and then hands over to one of them.
        let mut in_sync = targets.clone();
        let is_target = targets.contains(&self.member.disk);
        let are_targets_in_sync = targets.iter().all(|disk| disks(&group.in_sync).contains(disk));
        let mut primary = self.member.disk;
        if !is_target && !are_targets_in_sync {
            in_sync.push(primary);
        } else if !is_target {
            primary = targets[0];
        }
        ToControl::ChangeGroup {
            request: self.last_request,
            group: group.group,
            expected_epoch: group.epoch,
            proposed: GroupEpoch { epoch: group.epoch + 1, primary, in_sync },
        }
    }
}

fn disks(members: &[Member]) -> Vec<DiskId> {
    let mut disks: Vec<DiskId> = members.iter().map(|member| member.disk).collect();
    disks.sort();
    disks
}
