//! What the caller of a store must do, in order, and the writes that are not on disk yet.

use nanoserde::{DeBin, SerBin};
use pebblepost_messages::Member;
use pebblepost_messages::batch::{FromStore, ToStore};
use pebblepost_messages::control::ToControl;
use pebblepost_replication::replica::DiskRecord;
use std::collections::VecDeque;

/// Number of a link that another program opened to this store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// A record on the ring: of one group of batch jobs. The binary form is stored: fields keep their order.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct GroupRecord {
    /// The group.
    pub group: u32,
    /// The record. `None`: this machine dropped its replica of the group, and earlier records are void.
    pub record: Option<DiskRecord>,
}

/// A write of one replica that is not on disk yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReplicaWrite {
    pub(crate) group_id: u32,
    /// Incarnation of the replica; a group may be dropped and opened again.
    pub(crate) incarnation: u64,
    /// Token of the replica for this write.
    pub(crate) token: u64,
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
    /// Append records to the ring, then call `Store::handle_synced` with the ticket.
    Append {
        /// Number of the append, in ascending order.
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

/// An append whose writes are not on disk yet.
#[derive(Debug)]
struct PendingAppend {
    ticket: u64,
    writes: Vec<ReplicaWrite>,
}

/// Outputs that wait to be taken. The records of one turn are appended together.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    outputs: Vec<StoreOutput>,
    /// Records and writes of this turn.
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

    /// Adds the records of a write to the append of this turn.
    pub(crate) fn persist(&mut self, write: ReplicaWrite, records: Vec<DiskRecord>) {
        let group = write.group_id;
        let encoded =
            records.into_iter().map(|record| GroupRecord { group, record: Some(record) }.serialize_bin());
        self.turn_records.extend(encoded);
        self.turn_writes.push(write);
    }

    /// Voids the records of a group whose replica is dropped.
    pub(crate) fn void_records(&mut self, group: u32) {
        self.turn_records.push(GroupRecord { group, record: None }.serialize_bin());
    }

    /// Replaces all that is on disk. The append of this turn goes first, so that its ticket comes back.
    pub(crate) fn checkpoint(&mut self, records: Vec<Vec<u8>>) {
        self.append_turn();
        self.outputs.push(StoreOutput::Checkpoint { records });
    }

    /// Removes the writes that are on disk: those of all appends up to this ticket.
    pub(crate) fn take_synced(&mut self, ticket: u64) -> Vec<ReplicaWrite> {
        let mut synced = Vec::new();
        while let Some(append) = self.pending_appends.pop_front_if(|append| append.ticket <= ticket) {
            synced.extend(append.writes);
        }
        synced
    }

    /// Ends the turn; the outputs.
    pub(crate) fn take_outputs(&mut self) -> Vec<StoreOutput> {
        self.append_turn();
        std::mem::take(&mut self.outputs)
    }

    fn append_turn(&mut self) {
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
