//! Description of the simulated world for reports of violations.

use super::world::{Slot, World};
use pebblepost_messages::Member;

impl World {
    /// Describes the epoch record and the progress that each running machine knows.
    pub fn describe(&self) -> String {
        let describe = |slot: &Slot| {
            let process = slot.process.as_ref()?;
            let record = process.replica.record();
            let disks = |members: &[Member]| members.iter().map(|member| member.disk.0).collect::<Vec<_>>();
            Some(format!(
                "[{} epoch {} primary {} in sync {:?} witnesses {:?} former {:?} committed {} progress {:?}]",
                slot.member.disk.0,
                record.epoch,
                record.primary.0,
                disks(&record.in_sync),
                disks(&record.witnesses),
                disks(&record.former_witnesses),
                process.replica.commit_index(),
                process.replica.progress(),
            ))
        };
        self.slots.iter().filter_map(describe).collect()
    }
}
