//! The disks of the replicas of the Raft group.

use super::{CommandResult, MAX_REPLICA_NUMBERS, Outcome, Rejection, State, invalid};

impl State {
    /// Registers the disks of the replicas in the group's membership. A number that is registered already
    /// keeps its disk.
    pub fn register_replicas(&mut self, disks: impl IntoIterator<Item = (u64, u64)>) {
        for (replica, disk) in disks {
            self.replica_disks.entry(replica).or_insert(disk);
        }
    }

    /// Registers the disk of a replica number, which permanently belongs to the first disk registered with
    /// it. With another disk the replica would have lost its votes and the entries that it acknowledged, and
    /// a process with the old disk may still be running.
    pub(super) fn admit_replica(&mut self, replica: u64, disk: u64) -> CommandResult {
        match self.replica_disks.get(&replica) {
            Some(known) if *known != disk => {
                return invalid(format!(
                    "keeper {replica} has been in the group with another disk; a new disk takes a new number"
                ));
            }
            None if self.replica_disks.len() >= MAX_REPLICA_NUMBERS => {
                let resource = "numbers of keepers".to_owned();
                return Err(Rejection::Full { resource, capacity: MAX_REPLICA_NUMBERS });
            }
            _ => {}
        }
        self.replica_disks.insert(replica, disk);
        Ok(Outcome { revision: self.revision, session: None })
    }
}
