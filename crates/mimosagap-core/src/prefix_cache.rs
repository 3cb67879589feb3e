//! The prefix blocks that an engine is believed to hold.

use std::collections::{HashSet, VecDeque};
use std::hash::{BuildHasherDefault, Hasher};

/// Blocks remembered for each engine. Shared prefixes are few; the bound keeps 1,600 engines
/// within a daemon's memory.
pub const MAX_BLOCKS: usize = 1_024;

/// Passes a block hash through: it is a hash already.
#[derive(Debug, Clone, Copy, Default)]
pub struct BlockHasher(u64);

impl Hasher for BlockHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(*byte);
        }
    }

    fn write_u64(&mut self, value: u64) {
        // The multiplication spreads low-entropy hashes over the high bits, which the set uses.
        self.0 = value.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    }
}

/// A bounded set of blocks; the oldest are forgotten first.
#[derive(Debug, Clone, Default)]
pub struct PrefixCache {
    blocks: HashSet<u64, BuildHasherDefault<BlockHasher>>,
    insertion_order: VecDeque<u64>,
}

impl PrefixCache {
    /// Adds blocks.
    pub fn insert(&mut self, blocks: &[u64]) {
        for block in blocks {
            if self.blocks.insert(*block) {
                self.insertion_order.push_back(*block);
            }
        }
        while self.insertion_order.len() > MAX_BLOCKS {
            if let Some(oldest) = self.insertion_order.pop_front() {
                self.blocks.remove(&oldest);
            }
        }
    }

    /// Removes blocks.
    pub fn remove(&mut self, blocks: &[u64]) {
        for block in blocks {
            self.blocks.remove(block);
        }
        if self.insertion_order.len() > 2 * self.blocks.len() {
            let cached = &self.blocks;
            self.insertion_order.retain(|block| cached.contains(block));
        }
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.blocks.clear();
        self.insertion_order.clear();
    }

    /// Leading blocks of `prefix` that are held, without a gap.
    #[must_use]
    pub fn matching_blocks(&self, prefix: &[u64]) -> usize {
        prefix
            .iter()
            .take_while(|block| self.blocks.contains(block))
            .count()
    }

    /// Blocks held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether no block is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }
}
