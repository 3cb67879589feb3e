//! Model of each engine's prefix cache, built from the engine's cache events and this daemon's own
//! placements.

use std::collections::{HashSet, VecDeque};
use std::hash::{BuildHasherDefault, Hasher};

/// Blocks kept for each engine. Shared prefixes are few, and the limit keeps the sets of 1,600
/// engines within a daemon's memory.
pub const MAX_BLOCKS: usize = 1_024;

/// Hasher for keys that are already hashes.
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
        // The multiplication spreads low-entropy hashes over the high bits, which the hash set
        // uses.
        self.0 = value.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    }
}

/// Bounded set of block hashes; evicts in order of insertion.
#[derive(Debug, Clone, Default)]
pub struct PrefixCache {
    blocks: HashSet<u64, BuildHasherDefault<BlockHasher>>,
    insertion_order: VecDeque<u64>,
}

impl PrefixCache {
    /// Adds blocks, and evicts the oldest above [`MAX_BLOCKS`].
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

    /// Removes blocks that the engine evicted.
    pub fn remove(&mut self, blocks: &[u64]) {
        for block in blocks {
            self.blocks.remove(block);
        }
        if self.insertion_order.len() > 2 * self.blocks.len() {
            let cached = &self.blocks;
            self.insertion_order.retain(|block| cached.contains(block));
        }
    }

    /// Removes all blocks.
    pub fn clear(&mut self) {
        self.blocks.clear();
        self.insertion_order.clear();
    }

    /// Number of leading blocks of `prefix` that are cached, up to the first one missing.
    #[must_use]
    pub fn matching_blocks(&self, prefix: &[u64]) -> usize {
        prefix
            .iter()
            .take_while(|block| self.blocks.contains(block))
            .count()
    }

    /// Number of cached blocks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether no block is cached.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }
}
