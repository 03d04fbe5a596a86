//! A minimal storage node that moves its groups to their targets.

use super::cluster::Cluster;
use pebblepost_messages::control::{FromControl, GroupEpoch, SubscriberRole, ToControl};
use pebblepost_messages::feed::{FeedReply, FeedUpdate, StoreGroup};
use pebblepost_messages::{DiskId, Member};
use std::collections::BTreeMap;

/// A storage node.
pub struct Store {
    pub program: usize,
    pub member: Member,
    pub groups: BTreeMap<u32, StoreGroup>,
    bootstrap: bool,
    requests: u64,
}

impl Store {
    /// A node with a disk, connected to the primary.
    pub fn start(cluster: &mut Cluster, number: u64, bootstrap: bool) -> Store {
        let member = Member {
            disk: DiskId(0xd000 + number),
            node: format!("storage-{number}"),
            address: format!("10.1.0.{number}:7301"),
            zone: format!("zone-{}", number % 3),
            region: "region".into(),
        };
        let primary = cluster.primary();
        let program = cluster.connect(primary);
        let store = Store { program, member, groups: BTreeMap::new(), bootstrap, requests: 0 };
        store.introduce(cluster);
        store
    }

    /// The same node with an empty disk, connected to the primary.
    pub fn start_wiped(&self, cluster: &mut Cluster) -> Store {
        let member = Member { disk: DiskId(self.member.disk.0 + 0x100), ..self.member.clone() };
        let primary = cluster.primary();
        let program = cluster.connect(primary);
        let store = Store { program, member, groups: BTreeMap::new(), bootstrap: false, requests: 0 };
        store.introduce(cluster);
        store
    }

    /// Reconnects to the primary.
    pub fn reconnect(&self, cluster: &mut Cluster) {
        let primary = cluster.primary();
        cluster.reconnect(self.program, primary);
        self.introduce(cluster);
    }

    fn introduce(&self, cluster: &mut Cluster) {
        let subscribe = ToControl::Subscribe {
            node: self.member.node.clone(),
            zone: self.member.zone.clone(),
            role: SubscriberRole::Store,
            generation: 0,
        };
        cluster.send(self.program, subscribe);
        let hello = ToControl::StoreHello { member: self.member.clone(), bootstrap: self.bootstrap };
        cluster.send(self.program, hello);
    }

    /// Applies the feed, and moves the groups that it is primary of to their targets.
    pub fn act(&mut self, cluster: &mut Cluster) {
        for message in cluster.received(self.program) {
            if let FromControl::Feed(batch) = message {
                for update in batch.updates {
                    if let FeedUpdate::StoreGroups(groups) = update {
                        self.groups.extend(groups.into_iter().map(|group| (group.group, group)));
                    }
                }
                let reply = FeedReply::Acknowledge { sequence: batch.sequence, generation: 0 };
                cluster.send(self.program, ToControl::Reply(reply));
            }
        }
        cluster.send(self.program, ToControl::KeepAlive);
        let moves: Vec<StoreGroup> =
            self.groups.values().filter(|group| self.moves(group)).cloned().collect();
        for group in moves {
            self.requests += 1;
            let message = self.change(&group);
            cluster.send(self.program, message);
        }
    }

    fn moves(&self, group: &StoreGroup) -> bool {
        group.primary.disk == self.member.disk && disks(&group.in_sync) != disks(&group.targets)
    }

    fn change(&self, group: &StoreGroup) -> ToControl {
        let targets = disks(&group.targets);
        // A primary that is no target hands over to a replica that was added before.
        let mut in_sync = targets.clone();
        let stays = targets.contains(&self.member.disk);
        let added = targets.iter().all(|disk| disks(&group.in_sync).contains(disk));
        let mut primary = self.member.disk;
        if !stays && !added {
            in_sync.push(primary);
        } else if !stays {
            primary = targets[0];
        }
        ToControl::ChangeGroup {
            request: self.requests,
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
