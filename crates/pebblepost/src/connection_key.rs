//! Keys of connections.

const SLOT_BITS: u32 = 32;
const SLOT_MASK: usize = 0xffff_ffff;
/// Bits 24 and up of the generation would collide with the poll keys of listeners.
const GENERATION_MASK: u32 = 0xff_ffff;

/// Identifies a connection; never a later one in the same slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionKey(usize);

impl ConnectionKey {
    pub(crate) fn new(generation: Generation, slot: usize) -> Self {
        Self((generation.0 as usize) << SLOT_BITS | slot)
    }

    /// The key by which the poller knows the connection.
    pub(crate) fn poll_key(self) -> usize {
        self.0
    }

    /// The connection that the poller knows by this key.
    pub(crate) fn from_poll_key(key: usize) -> Self {
        Self(key)
    }

    /// The connection's place in the table.
    pub(crate) fn slot(self) -> usize {
        self.0 & SLOT_MASK
    }

    /// Whether it names the connection of that generation.
    pub(crate) fn is_of(self, generation: Generation) -> bool {
        generation.0 as usize == self.0 >> SLOT_BITS
    }
}

/// Counts the connections, so that a key of an earlier one in the same slot is recognized.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Generation(u32);

impl Generation {
    pub(crate) fn next(self) -> Self {
        Self((self.0 + 1) & GENERATION_MASK)
    }
}
