//! Tests of the journal and the disk thread, on real files and on a simulated disk.

mod common;
mod disk;
mod pinned_bytes;
mod power_loss;
