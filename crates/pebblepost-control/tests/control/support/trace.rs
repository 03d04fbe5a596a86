//! Digest of all outputs of the control processes in a run: times, numbers and encoded bytes in their order. It
//! contains no identifiers of the code, so renaming these does not change it.

use nanoserde::SerBin;
use pebblepost_control::node::Output;
use pebblepost_control::state::disk_record::ControlRecord;
use pebblepost_messages::control::FromControl;
use pebblepost_messages::feed::FeedBatch;
use pebblepost_stable_hash::Fnv1a;
use std::time::Duration;

/// An FNV-1a hash of outputs, and their number.
#[derive(Clone, Copy, Debug, Default)]
pub struct Trace {
    hash: Fnv1a,
    outputs: u64,
}

impl Trace {
    /// Formats the digest as in the approved transcripts.
    pub fn summary(&self) -> String {
        format!("{:016x} after {} outputs", self.hash.finish(), self.outputs)
    }

    /// Adds bytes and their length to the hash.
    pub fn bytes(&mut self, bytes: &[u8]) {
        self.hash.bytes(bytes);
    }

    /// Adds a number to the hash.
    pub fn number(&mut self, number: u64) {
        self.hash.number(number);
    }

    /// Adds an output that a process produced at this time to the hash.
    pub fn output(&mut self, now: Duration, node: usize, output: &Output) {
        self.outputs += 1;
        self.number(now.as_micros() as u64);
        self.number(node as u64);
        match output {
            Output::Respond { id, response, send_by } => {
                self.number(1);
                self.number(*id);
                self.number(u64::from(response.status));
                self.bytes(response.location.as_deref().unwrap_or_default().as_bytes());
                self.bytes(&response.body);
                self.number(send_by.map_or(0, |send_by| send_by.as_micros() as u64));
            }
            Output::Send { connection, message } => {
                self.number(2);
                self.number(*connection);
                self.bytes(&message.serialize_bin());
            }
            Output::SendFeed { connection, sequence, updates } => {
                let batch = FeedBatch { sequence: *sequence, updates: updates.to_vec() };
                self.number(2);
                self.number(*connection);
                self.bytes(&FromControl::Feed(batch).serialize_bin());
            }
            Output::Disconnect { connection } => {
                self.number(3);
                self.number(*connection);
            }
            Output::SendPeer { address, message } => {
                self.number(4);
                self.bytes(address.as_bytes());
                self.bytes(&message.serialize_bin());
            }
            Output::DialPeers(addresses) => {
                self.number(5);
                addresses.iter().for_each(|address| self.bytes(address.as_bytes()));
            }
            Output::DialPeerNow(address) => {
                self.number(6);
                self.bytes(address.as_bytes());
            }
            Output::Append { write, records } => {
                self.number(7);
                self.number(*write);
                records.iter().map(ControlRecord::encode).for_each(|record| self.bytes(&record));
            }
            Output::SendOrder { order, body, send_by } => {
                self.number(8);
                self.bytes(order.instance.as_bytes());
                self.bytes(order.address.as_bytes());
                self.bytes(body);
                self.number(send_by.as_micros() as u64);
            }
            Output::FetchLoadReport { instance, address } => {
                self.number(9);
                self.bytes(instance.as_bytes());
                self.bytes(address.as_bytes());
            }
        }
    }
}
