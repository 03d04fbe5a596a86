//! Log replication at the primary: sending appends and handling the replies.

use super::core::Replica;
use super::log::LogEntry;
use super::message::{MAX_PAYLOAD_BYTES, ReplicaMessage};
use super::progress::SendState;
use super::state_machine::StateMachine;
use crate::codec::{Blob, Sequence};
use pebblepost_messages::DiskId;

impl<S: StateMachine> Replica<S> {
    /// Appends a proposed entry and returns its index.
    pub(super) fn append_as_primary(&mut self, entry: Vec<u8>) -> u64 {
        let (now, last_index) = (self.now, self.log.last_index());
        if let Some(primary) = self.primary_mut() {
            primary.progress.on_append(last_index, now);
        }
        self.append_to_log(LogEntry { epoch: self.record.epoch, data: Blob::from(entry) })
    }

    /// Handles the acknowledgement that a replica holds the log on disk up to `index`.
    pub(super) fn on_appended(&mut self, from: DiskId, index: u64) {
        let now = self.now;
        if index > self.log.last_index() {
            return;
        }
        let Some(progress) = self.progress_mut(from) else { return };
        progress.on_appended(index, now);
        self.commit_as_primary();
    }

    /// Handles the persisted index in a heartbeat acknowledgement, which makes up for a lost
    /// acknowledgement of entries.
    pub(super) fn on_persisted_report(&mut self, from: DiskId, index: u64) {
        let is_higher = self.progress_mut(from).is_some_and(|progress| index > progress.matched.unwrap_or(0));
        if is_higher {
            self.on_appended(from, index);
        }
    }

    /// Handles the rejection of an append because the replica lacks the entry before it. Probes from an
    /// earlier index, or starts a snapshot if the entries are no longer kept.
    pub(super) fn on_append_rejected(
        &mut self, from: DiskId, previous_index: u64, hint_index: u64, hint_epoch: u64,
    ) {
        let agreed = self.log.last_index_at_most(hint_index, hint_epoch);
        let Some(progress) = self.progress_mut(from) else { return };
        let is_stale = progress.is_probing() && previous_index + 1 != progress.next_index;
        if is_stale || progress.snapshot().is_some() {
            return;
        }
        match agreed.max(progress.matched) {
            Some(index) => progress.probe_from(index + 1),
            None => self.start_snapshot(from),
        }
    }

    /// Sends the messages that are due to a tracked replica: a probe, a snapshot chunk or a window of
    /// appends.
    pub(super) fn send_due(&mut self, disk: DiskId) {
        let base_index = self.log.base_index();
        let Some(progress) = self.progress_mut(disk) else { return };
        if progress.snapshot().is_none() && progress.next_index <= base_index {
            self.start_snapshot(disk);
        }
        let Some(progress) = self.progress_mut(disk) else { return };
        match progress.state {
            SendState::Snapshot(_) => self.send_snapshot_chunk(disk),
            SendState::Probe => {
                if std::mem::take(&mut progress.is_send_due) {
                    self.send_append(disk);
                }
            }
            SendState::Replicate => self.send_window(disk),
        }
    }

    fn send_window(&mut self, disk: DiskId) {
        loop {
            let last_index = self.log.last_index();
            let Some(progress) = self.progress_mut(disk) else { return };
            if progress.next_index > last_index || !progress.has_window() {
                return;
            }
            let (sent_to, payload_bytes) = self.send_append(disk);
            let Some(progress) = self.progress_mut(disk) else { return };
            progress.on_append_sent(sent_to, payload_bytes);
        }
    }

    /// Sends as many entries as fit into one message, from the replica's next index. Returns the index of the
    /// last one and the payload.
    fn send_append(&mut self, disk: DiskId) -> (u64, usize) {
        let Some(progress) = self.progress_mut(disk) else { return (0, 0) };
        let (member, previous_index) = (progress.member.clone(), progress.next_index - 1);
        let mut payload_bytes = 0;
        let mut entries = Vec::new();
        for (_, entry) in self.log.entries_from(previous_index + 1) {
            let with_entry = payload_bytes + entry.data.len();
            if with_entry > MAX_PAYLOAD_BYTES && !entries.is_empty() {
                break;
            }
            payload_bytes = with_entry;
            entries.push(entry.clone());
        }
        let sent_to = previous_index + entries.len() as u64;
        let append = ReplicaMessage::Append {
            epoch: self.record.epoch,
            previous_index,
            previous_epoch: self.log.epoch_at(previous_index).unwrap_or(0),
            commit_index: self.commit_index,
            entries: Sequence(entries),
        };
        self.send(member, &append);
        (sent_to, payload_bytes)
    }
}
