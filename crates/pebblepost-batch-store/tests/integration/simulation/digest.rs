//! A digest of what stores put out in a whole run: times, machines, bytes and their order.

use nanoserde::SerBin;
use pebblepost_batch_store::store::StoreOutput;

/// FNV-1a over 64 bits.
#[derive(Debug)]
pub struct Digest(u64);

impl Default for Digest {
    fn default() -> Digest {
        Digest(0xcbf2_9ce4_8422_2325)
    }
}

impl Digest {
    /// Adds an output of a machine.
    pub fn output(&mut self, now: u64, machine: usize, output: &StoreOutput) {
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
        self.number(bytes.len() as u64);
        bytes.iter().for_each(|byte| self.byte(*byte));
    }

    /// Adds a number.
    pub fn number(&mut self, number: u64) {
        number.to_le_bytes().into_iter().for_each(|byte| self.byte(byte));
    }

    /// The digest so far, in hexadecimal.
    pub fn hex(&self) -> String {
        format!("{:016x}", self.0)
    }

    fn byte(&mut self, byte: u8) {
        self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }
}
