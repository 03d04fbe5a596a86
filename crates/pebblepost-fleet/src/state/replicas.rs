//! The disks of the Raft group's replicas.

use super::{CommandResult, MAX_REPLICA_NUMBERS, Outcome, Rejection, State, invalid};

impl State {
    /// Registers the disks of the group's replicas, as its membership lists them.
    pub fn register_replicas(&mut self, disks: impl IntoIterator<Item = (u64, u64)>) {
        for (replica, disk) in disks {
            self.replica_disks.entry(replica).or_insert(disk);
        }
    }

    /// A replica's number belongs for ever to the first disk that had it: with another disk the replica has
    /// forgotten what it voted for and acknowledged, and the process with the old one may still run.
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
