//! Memory budgets, and buffers of received bytes whose memory is reserved from them.
//!
//! * [`MemoryBudget`] and [`MemoryReservation`]: how many bytes a part of a program may hold.
//! * [`BlockBuffer`]: received bytes in blocks, which are released one by one while they are read.
//!
//! The crate performs no I/O. A budget belongs to one thread; its clones share the limit.

mod block_buffer;
mod budget;

pub use block_buffer::{BLOCK_BYTES, BlockBuffer, BlockReader};
pub use budget::{MemoryBudget, MemoryReservation, OutOfMemory};
