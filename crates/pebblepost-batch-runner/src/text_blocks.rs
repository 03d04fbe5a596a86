//! Text of a job's field, held in blocks, so that a long one is neither moved while it grows nor copied when it is encoded.

/// Size of a block. A text up to this size is one block.
const BLOCK_BYTES: usize = 64 * 1024;
/// Smallest capacity of a block that is not empty.
const MIN_CAPACITY_BYTES: usize = 64;

/// A text in blocks.
#[derive(Debug, Default)]
pub(crate) struct TextBlocks {
    /// Blocks that are full.
    full: Vec<Vec<u8>>,
    last: Vec<u8>,
}

impl TextBlocks {
    /// Returns the length of the text.
    pub(crate) fn len(&self) -> usize {
        self.full.iter().map(Vec::len).sum::<usize>() + self.last.len()
    }

    /// Appends bytes.
    pub(crate) fn push(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let room = BLOCK_BYTES - self.last.len();
            let (fitting, rest) = bytes.split_at(room.min(bytes.len()));
            self.grow_last(fitting.len());
            self.last.extend_from_slice(fitting);
            bytes = rest;
            if self.last.len() == BLOCK_BYTES {
                self.full.push(std::mem::take(&mut self.last));
            }
        }
    }

    /// Returns the blocks in order.
    pub(crate) fn into_blocks(self) -> impl Iterator<Item = Vec<u8>> {
        self.full.into_iter().chain(Some(self.last).filter(|last| !last.is_empty()))
    }

    /// Makes room for more bytes of the last block, which never has more than [`BLOCK_BYTES`].
    fn grow_last(&mut self, additional: usize) {
        let wanted = self.last.len() + additional;
        if wanted > self.last.capacity() {
            let capacity = wanted.next_power_of_two().clamp(MIN_CAPACITY_BYTES, BLOCK_BYTES);
            self.last.reserve_exact(capacity - self.last.len());
        }
    }
}
