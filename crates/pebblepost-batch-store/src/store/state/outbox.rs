//! Outputs that the caller of a store must execute in order, and the writes that are not yet on disk.

use nanoserde::{DeBin, SerBin};
use pebblepost_messages::Member;
use pebblepost_messages::batch::{FromStore, ToStore};
use pebblepost_messages::control::ToControl;
use pebblepost_replication::replica::DiskRecord;
use std::collections::VecDeque;

/// Identifies a link that another program opened to this store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// A record of one store group on the ring. The binary form is stored: fields must keep their order.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct GroupRecord {
    /// Store group of the record.
    pub group: u32,
    /// The record, or `None` if this machine dropped its replica of the store group, which voids the earlier
    /// records.
    pub record: Option<DiskRecord>,
}

/// A write of one replica that is not yet on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReplicaWrite {
    pub(crate) group_id: u32,
    /// Incarnation of the replica, as the store group may be dropped and opened again.
    pub(crate) incarnation: u64,
    /// Token by which the replica identifies this write.
    pub(crate) token: u64,
}

/// An output of the store. The caller must execute outputs in order.
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
    /// Append records to the ring, then call `Store::handle_synced` with the ticket once they are on disk.
    Append {
        /// Number of the append. Tickets ascend.
        ticket: u64,
        /// Encoded records.
        records: Vec<Vec<u8>>,
    },
    /// Replace all records on the ring.
    Checkpoint {
        /// Encoded records.
        records: Vec<Vec<u8>>,
    },
}

/// An append whose writes are not yet on disk.
#[derive(Debug)]
struct PendingAppend {
    ticket: u64,
    writes: Vec<ReplicaWrite>,
}

/// Queued outputs. The records of one turn are combined into one append.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    outputs: Vec<StoreOutput>,
    /// Encoded records of this turn.
    turn_records: Vec<Vec<u8>>,
    turn_writes: Vec<ReplicaWrite>,
    pending_appends: VecDeque<PendingAppend>,
    last_ticket: u64,
}

impl Outbox {
    pub(crate) fn reply(&mut self, link: LinkId, message: FromStore) {
        self.outputs.push(StoreOutput::Reply { link, message });
    }

    pub(crate) fn send_to_peer(&mut self, peer: Member, message: ToStore) {
        self.outputs.push(StoreOutput::ToPeer { peer, message });
    }

    pub(crate) fn send_to_control(&mut self, message: ToControl) {
        self.outputs.push(StoreOutput::ToControl(message));
    }

    /// Adds the records of a replica's write to the append of this turn.
    pub(crate) fn persist(&mut self, write: ReplicaWrite, records: Vec<DiskRecord>) {
        let group = write.group_id;
        let encoded =
            records.into_iter().map(|record| GroupRecord { group, record: Some(record) }.serialize_bin());
        self.turn_records.extend(encoded);
        self.turn_writes.push(write);
    }

    /// Voids the records of a store group whose replica is dropped.
    pub(crate) fn void_records(&mut self, group: u32) {
        self.turn_records.push(GroupRecord { group, record: None }.serialize_bin());
    }

    /// Queues a checkpoint, which replaces all records on disk.
    ///
    /// The append of this turn is queued before it, so that its ticket is still reported as synced.
    pub(crate) fn checkpoint(&mut self, records: Vec<Vec<u8>>) {
        self.queue_turn_append();
        self.outputs.push(StoreOutput::Checkpoint { records });
    }

    /// Removes and returns the writes of all appends up to a ticket, which are on disk.
    pub(crate) fn take_synced(&mut self, ticket: u64) -> Vec<ReplicaWrite> {
        let mut synced = Vec::new();
        while let Some(append) = self.pending_appends.pop_front_if(|append| append.ticket <= ticket) {
            synced.extend(append.writes);
        }
        synced
    }

    /// Ends the turn and returns the queued outputs.
    pub(crate) fn take_outputs(&mut self) -> Vec<StoreOutput> {
        self.queue_turn_append();
        std::mem::take(&mut self.outputs)
    }

    fn queue_turn_append(&mut self) {
        if self.turn_records.is_empty() && self.turn_writes.is_empty() {
            return;
        }
        self.last_ticket += 1;
        let records = std::mem::take(&mut self.turn_records);
        let writes = std::mem::take(&mut self.turn_writes);
        self.pending_appends.push_back(PendingAppend { ticket: self.last_ticket, writes });
        self.outputs.push(StoreOutput::Append { ticket: self.last_ticket, records });
    }
}
