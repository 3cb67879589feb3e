//! The engine's memory: private tokens of streams and shared prefix blocks.

use std::collections::{BTreeSet, HashMap};

/// Tokens of one prefix block.
pub const BLOCK_TOKENS: u32 = 64;

/// Bytes of input that make one token.
pub const TOKEN_BYTES: usize = 4;

const BLOCK_BYTES: usize = BLOCK_TOKENS as usize * TOKEN_BYTES;
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The length of an input in tokens; at least one.
#[must_use]
pub fn prompt_tokens(input: &[u8]) -> u32 {
    u32::try_from(input.len().div_ceil(TOKEN_BYTES).max(1)).unwrap_or(u32::MAX)
}

/// Hashes of the leading blocks of an input: FNV-1a (64 bits) over the model's name, a zero byte
/// and the input, read after each whole block of 256 bytes. Each hash covers all bytes before it.
#[must_use]
pub fn prefix_hashes(model: &str, input: &[u8]) -> Vec<u64> {
    let mut hash = fnv(FNV_OFFSET, model.as_bytes());
    hash = fnv(hash, &[0]);
    input
        .chunks_exact(BLOCK_BYTES)
        .map(|block| {
            hash = fnv(hash, block);
            hash
        })
        .collect()
}

fn fnv(seed: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(seed, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    })
}

/// A change of the cached blocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheChange {
    /// The block is now cached.
    Stored(u64),
    /// The block was evicted.
    Removed(u64),
}

#[derive(Debug)]
struct Block {
    pins: u32,
    last_used: u64,
}

/// Memory of a fixed number of tokens. Blocks without a pin stay until the room is needed.
#[derive(Debug)]
pub struct Memory {
    capacity: u64,
    private: u64,
    blocks: HashMap<u64, Block>,
    idle: BTreeSet<(u64, u64)>,
    clock: u64,
    changes: Vec<CacheChange>,
}

impl Memory {
    /// Empty memory.
    #[must_use]
    pub fn new(capacity: u64) -> Self {
        Self {
            capacity,
            private: 0,
            blocks: HashMap::new(),
            idle: BTreeSet::new(),
            clock: 0,
            changes: Vec::new(),
        }
    }

    /// The size in tokens.
    #[must_use]
    pub fn capacity(&self) -> u64 {
        self.capacity
    }

    /// Tokens that cannot be evicted.
    #[must_use]
    pub fn in_use(&self) -> u64 {
        self.private + block_tokens(self.blocks.len() - self.idle.len())
    }

    /// Takes private tokens and evicts idle blocks where needed; false if they do not fit.
    pub fn reserve(&mut self, tokens: u64) -> bool {
        if self.in_use() + tokens > self.capacity {
            return false;
        }
        while self.private + block_tokens(self.blocks.len()) + tokens > self.capacity {
            self.evict();
        }
        self.private += tokens;
        true
    }

    /// Gives private tokens back.
    pub fn release(&mut self, tokens: u64) {
        self.private -= tokens;
    }

    /// Whether a block is cached.
    #[must_use]
    pub fn contains(&self, hash: u64) -> bool {
        self.blocks.contains_key(&hash)
    }

    /// Pins a cached block; false if it is not cached.
    pub fn pin(&mut self, hash: u64) -> bool {
        let Some(block) = self.blocks.get_mut(&hash) else {
            return false;
        };
        if block.pins == 0 {
            self.idle.remove(&(block.last_used, hash));
        }
        block.pins += 1;
        true
    }

    /// Turns a block's worth of private tokens into a pinned cached block.
    pub fn adopt(&mut self, hash: u64) {
        self.private -= u64::from(BLOCK_TOKENS);
        if !self.pin(hash) {
            let block = Block {
                pins: 1,
                last_used: 0,
            };
            self.blocks.insert(hash, block);
            self.changes.push(CacheChange::Stored(hash));
        }
    }

    /// Gives up a pin.
    pub fn unpin(&mut self, hash: u64) {
        self.clock += 1;
        if let Some(block) = self.blocks.get_mut(&hash) {
            block.pins -= 1;
            if block.pins == 0 {
                block.last_used = self.clock;
                self.idle.insert((self.clock, hash));
            }
        }
    }

    /// The changes since the last call.
    pub fn take_changes(&mut self) -> Vec<CacheChange> {
        std::mem::take(&mut self.changes)
    }

    fn evict(&mut self) {
        if let Some((_, hash)) = self.idle.pop_first() {
            self.blocks.remove(&hash);
            self.changes.push(CacheChange::Removed(hash));
        }
    }
}

fn block_tokens(blocks: usize) -> u64 {
    blocks as u64 * u64::from(BLOCK_TOKENS)
}
