//! A digest of all outputs of the stores in a schedule, which covers times, machines, bytes and their order.

use nanoserde::SerBin;
use pebblepost_batch_store::store::StoreOutput;
use pebblepost_stable_hash::Fnv1a;

/// Digest of store outputs.
#[derive(Debug, Default)]
pub struct Digest(Fnv1a);

impl Digest {
    /// Adds an output of a machine.
    pub fn add_output(&mut self, now: u64, machine: usize, output: &StoreOutput) {
        self.number(now);
        self.number(machine as u64);
        match output {
            StoreOutput::Reply { link, message } => {
                self.number(0);
                self.number(link.0);
                self.bytes(&message.serialize_bin());
            }
            StoreOutput::ToPeer { peer, message } => {
                self.number(1);
                self.bytes(&peer.serialize_bin());
                self.bytes(&message.serialize_bin());
            }
            StoreOutput::ToControl(message) => {
                self.number(2);
                self.bytes(&message.serialize_bin());
            }
            StoreOutput::Append { ticket, records } => {
                self.number(3);
                self.number(*ticket);
                records.iter().for_each(|record| self.bytes(record));
            }
            StoreOutput::Checkpoint { records } => {
                self.number(4);
                records.iter().for_each(|record| self.bytes(record));
            }
        }
    }

    /// Adds the length of some bytes and the bytes.
    pub fn bytes(&mut self, bytes: &[u8]) {
        self.0.bytes(bytes);
    }

    /// Adds a number.
    pub fn number(&mut self, number: u64) {
        self.0.number(number);
    }

    /// Returns the current digest in hexadecimal.
    pub fn hex(&self) -> String {
        format!("{:016x}", self.0.finish())
    }
}
