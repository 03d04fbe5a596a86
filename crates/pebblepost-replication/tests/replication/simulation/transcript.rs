//! Digests of all outputs of the processes of a simulated run.

use nanoserde::SerBin;
use pebblepost_replication::register::RegisterOutput;
use pebblepost_replication::replica::ReplicaOutput;
use pebblepost_stable_hash::Fnv1a;
use std::collections::BTreeMap;

/// Count and digest of one kind of message or record, identified by the tag that it starts with.
#[derive(Clone, Copy, Debug, Default)]
pub struct Variant {
    pub count: u64,
    pub digest: Fnv1a,
}

/// Digest of all outputs of a run in order, and of each message or record variant separately.
#[derive(Clone, Debug, Default)]
pub struct Transcript {
    pub outputs: u64,
    pub digest: Fnv1a,
    pub variants: BTreeMap<(&'static str, u16), Variant>,
}

impl Transcript {
    pub fn register(&mut self, now: u64, slot: usize, output: &RegisterOutput) {
        match output {
            RegisterOutput::Send { to, message } => {
                self.variant("register message", message);
                self.output(now, slot, 0, &[to.disk.0], message);
            }
            RegisterOutput::Persist { token, state } => {
                self.output(now, slot, 1, &[*token], &state.serialize_bin());
            }
            RegisterOutput::Chosen(record) => self.output(now, slot, 2, &[], &record.serialize_bin()),
            RegisterOutput::Rejected { epoch } => self.output(now, slot, 3, &[*epoch], &[]),
        }
    }

    pub fn replica(&mut self, now: u64, slot: usize, output: &ReplicaOutput) {
        match output {
            ReplicaOutput::Send { to, message } => {
                self.variant("replica message", message);
                self.output(now, slot, 10, &[to.disk.0], message);
            }
            ReplicaOutput::Persist { token, records } => {
                for record in records {
                    let bytes = record.serialize_bin();
                    self.variant("disk record", &bytes);
                    self.output(now, slot, 11, &[*token], &bytes);
                }
            }
            ReplicaOutput::ChangeEpoch { expected, record } => {
                self.output(now, slot, 12, &[*expected], &record.serialize_bin());
            }
            ReplicaOutput::Committed { index } => self.output(now, slot, 13, &[*index], &[]),
            ReplicaOutput::BecamePrimary { epoch } => self.output(now, slot, 14, &[*epoch], &[]),
            ReplicaOutput::SteppedDown => self.output(now, slot, 15, &[], &[]),
        }
    }

    fn variant(&mut self, kind: &'static str, bytes: &[u8]) {
        let tag = u16::from_le_bytes([bytes[0], bytes[1]]);
        let variant = self.variants.entry((kind, tag)).or_default();
        variant.count += 1;
        variant.digest.bytes(bytes);
    }

    fn output(&mut self, now: u64, slot: usize, kind: u64, numbers: &[u64], bytes: &[u8]) {
        self.outputs += 1;
        for number in [now, slot as u64, kind].iter().chain(numbers) {
            self.digest.number(*number);
        }
        self.digest.bytes(bytes);
    }
}
