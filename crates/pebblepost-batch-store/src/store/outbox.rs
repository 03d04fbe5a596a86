//! What the caller of a store must do.

use nanoserde::{DeBin, SerBin};
use pebblepost_messages::Member;
use pebblepost_messages::batch::{FromStore, ToStore};
use pebblepost_messages::control::ToControl;
use pebblepost_replication::replica::DiskRecord;
use std::collections::VecDeque;

/// Number of a link that another program opened to this store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// A record on the ring: of one group of batch jobs.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct GroupRecord {
    /// The group.
    pub group: u32,
    /// The record. `None`: the group is not held here any more, and its records so far are void.
    pub record: Option<DiskRecord>,
}

/// A write of one replica that is not on disk yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ReplicaWrite {
    pub(super) group: u32,
    /// Which of the replicas that this program has made; a group may be dropped and held again.
    pub(super) incarnation: u64,
    pub(super) token: u64,
}

/// Something the caller must do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreOutput {
    /// Send a message over a link that was opened to this store.
    Reply {
        /// The link.
        link: LinkId,
        /// The message.
        message: FromStore,
    },
    /// Send a message to another storage machine.
    ToPeer {
        /// The machine.
        peer: Member,
        /// The message.
        message: ToStore,
    },
    /// Send a message to the control primary, if there is a link to it.
    ToControl(ToControl),
    /// Append records to the ring, then call `Store::synced` with the ticket.
    Append {
        /// Comes back; rises.
        ticket: u64,
        /// Encoded records.
        records: Vec<Vec<u8>>,
    },
    /// Replace all that is on the ring.
    Checkpoint {
        /// Encoded records.
        records: Vec<Vec<u8>>,
    },
}

/// Outputs that wait to be taken, and the writes that are not on disk yet.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    outputs: Vec<StoreOutput>,
    unwritten: Vec<Vec<u8>>,
    writes: Vec<ReplicaWrite>,
    written: VecDeque<(u64, Vec<ReplicaWrite>)>,
    last_ticket: u64,
}

impl Outbox {
    pub(super) fn reply(&mut self, link: LinkId, message: FromStore) {
        self.outputs.push(StoreOutput::Reply { link, message });
    }

    pub(super) fn send_to_peer(&mut self, peer: Member, message: ToStore) {
        self.outputs.push(StoreOutput::ToPeer { peer, message });
    }

    pub(super) fn send_to_control(&mut self, message: ToControl) {
        self.outputs.push(StoreOutput::ToControl(message));
    }

    /// Queues records of a group to be written with all others of this turn.
    pub(super) fn persist(&mut self, write: ReplicaWrite, records: Vec<DiskRecord>) {
        let group = write.group;
        let encoded =
            records.into_iter().map(|record| GroupRecord { group, record: Some(record) }.serialize_bin());
        self.unwritten.extend(encoded);
        self.writes.push(write);
    }

    /// Voids the records of a group.
    pub(super) fn drop_group(&mut self, group: u32) {
        self.unwritten.push(GroupRecord { group, record: None }.serialize_bin());
    }

    /// Replaces all that is on disk. Writes that wait go first: their tokens come back after them.
    pub(super) fn checkpoint(&mut self, records: Vec<Vec<u8>>) {
        self.write();
        self.outputs.push(StoreOutput::Checkpoint { records });
    }

    /// Writes that are on disk now.
    pub(super) fn synced(&mut self, ticket: u64) -> Vec<ReplicaWrite> {
        let mut synced = Vec::new();
        while let Some((_, writes)) = self.written.pop_front_if(|(written, _)| *written <= ticket) {
            synced.extend(writes);
        }
        synced
    }

    pub(super) fn take(&mut self) -> Vec<StoreOutput> {
        self.write();
        std::mem::take(&mut self.outputs)
    }

    fn write(&mut self) {
        if self.unwritten.is_empty() && self.writes.is_empty() {
            return;
        }
        self.last_ticket += 1;
        let records = std::mem::take(&mut self.unwritten);
        self.written.push_back((self.last_ticket, std::mem::take(&mut self.writes)));
        self.outputs.push(StoreOutput::Append { ticket: self.last_ticket, records });
    }
}
