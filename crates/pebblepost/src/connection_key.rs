//! Keys that identify connections.

/// The low bits of a key hold the slot, the bits above them the generation.
const SLOT_BITS: u32 = 32;
const SLOT_MASK: usize = 0xffff_ffff;
/// The generation has 24 bits. Higher bits would make keys collide with the poll keys of listeners.
const GENERATION_MASK: u32 = 0xff_ffff;

/// Identifies a connection. The generation in the key distinguishes it from other connections in the same slot of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionKey(usize);

impl ConnectionKey {
    pub(crate) fn new(generation: Generation, slot: usize) -> Self {
        Self((generation.0 as usize) << SLOT_BITS | slot)
    }

    /// Returns the key of the connection at the poller.
    pub(crate) fn poll_key(self) -> usize {
        self.0
    }

    /// Returns the connection with this key at the poller.
    pub(crate) fn from_poll_key(key: usize) -> Self {
        Self(key)
    }

    /// Returns the connection's slot in the table.
    pub(crate) fn slot(self) -> usize {
        self.0 & SLOT_MASK
    }

    /// Returns whether the key belongs to this generation of its slot.
    pub(crate) fn is_of(self, generation: Generation) -> bool {
        generation.0 as usize == self.0 >> SLOT_BITS
    }
}

/// A number that changes with each connection, so that keys of earlier connections in the same slot are recognized. It has 24 bits
/// and wraps around.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Generation(u32);

impl Generation {
    pub(crate) fn next(self) -> Self {
        Self((self.0 + 1) & GENERATION_MASK)
    }
}
