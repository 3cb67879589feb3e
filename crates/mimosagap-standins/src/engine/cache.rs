//! The KV cache of the engine: private tokens of running streams and shared prefix blocks.

use std::collections::{BTreeSet, HashMap};

/// Number of tokens in a prefix block.
pub const BLOCK_TOKENS: u32 = 64;

/// Number of input bytes that count as one token.
pub const TOKEN_BYTES: usize = 4;

const BLOCK_BYTES: usize = BLOCK_TOKENS as usize * TOKEN_BYTES;
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Length of an input in tokens, rounded up; at least 1.
#[must_use]
pub fn prompt_tokens(input: &[u8]) -> u32 {
    u32::try_from(input.len().div_ceil(TOKEN_BYTES).max(1)).unwrap_or(u32::MAX)
}

/// Hashes of the whole blocks of an input: 64-bit FNV-1a over the model name, a zero byte and the
/// input, taken after each block of 256 bytes. Each hash covers the input up to the block's end.
#[must_use]
pub fn prefix_hashes(model: &str, input: &[u8]) -> Vec<u64> {
    let mut hash = fnv1a(FNV_OFFSET, model.as_bytes());
    hash = fnv1a(hash, &[0]);
    input
        .chunks_exact(BLOCK_BYTES)
        .map(|block| {
            hash = fnv1a(hash, block);
            hash
        })
        .collect()
}

fn fnv1a(state: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(state, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    })
}

/// A change to the set of cached blocks, with the hash of the block.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheChange {
    /// The block was added to the cache.
    Stored(u64),
    /// The block was evicted.
    Removed(u64),
}

#[derive(Debug)]
struct CachedBlock {
    pin_count: u32,
    /// Value of `use_counter` when the last pin was removed.
    last_used: u64,
}

/// KV cache of a fixed number of tokens. Blocks without pins stay cached until their memory is
/// needed, and are evicted in the order in which they were last used.
#[derive(Debug)]
pub struct KvMemory {
    capacity: u64,
    private_tokens: u64,
    blocks: HashMap<u64, CachedBlock>,
    /// Blocks without pins as (`last_used`, hash), in the order of eviction.
    idle_blocks: BTreeSet<(u64, u64)>,
    use_counter: u64,
    changes: Vec<CacheChange>,
}

impl KvMemory {
    /// Creates an empty cache for `capacity` tokens.
    #[must_use]
    pub fn new(capacity: u64) -> Self {
        Self {
            capacity,
            private_tokens: 0,
            blocks: HashMap::new(),
            idle_blocks: BTreeSet::new(),
            use_counter: 0,
            changes: Vec::new(),
        }
    }

    /// Capacity in tokens.
    #[must_use]
    pub fn capacity(&self) -> u64 {
        self.capacity
    }

    /// Number of tokens that cannot be evicted: private tokens and pinned blocks.
    #[must_use]
    pub fn in_use(&self) -> u64 {
        self.private_tokens + tokens_in_blocks(self.blocks.len() - self.idle_blocks.len())
    }

    /// Reserves private tokens, evicting idle blocks as needed. Returns false if they do not fit.
    pub fn reserve(&mut self, tokens: u64) -> bool {
        if self.in_use() + tokens > self.capacity {
            return false;
        }
        while self.private_tokens + tokens_in_blocks(self.blocks.len()) + tokens > self.capacity {
            self.evict();
        }
        self.private_tokens += tokens;
        true
    }

    /// Releases private tokens.
    pub fn release(&mut self, tokens: u64) {
        self.private_tokens -= tokens;
    }

    /// Whether the block with this hash is cached, pinned or idle.
    #[must_use]
    pub fn contains(&self, hash: u64) -> bool {
        self.blocks.contains_key(&hash)
    }

    /// Protects a cached block from eviction. Returns false if it is not cached.
    pub fn pin(&mut self, hash: u64) -> bool {
        let Some(block) = self.blocks.get_mut(&hash) else {
            return false;
        };
        if block.pin_count == 0 {
            self.idle_blocks.remove(&(block.last_used, hash));
        }
        block.pin_count += 1;
        true
    }

    /// Converts private tokens of one block into a pinned cached block. If the block is cached
    /// already, the private copy is released.
    pub fn share_block(&mut self, hash: u64) {
        self.private_tokens -= u64::from(BLOCK_TOKENS);
        if !self.pin(hash) {
            let block = CachedBlock {
                pin_count: 1,
                last_used: 0,
            };
            self.blocks.insert(hash, block);
            self.changes.push(CacheChange::Stored(hash));
        }
    }

    /// Removes one pin; a block without pins becomes idle.
    pub fn unpin(&mut self, hash: u64) {
        self.use_counter += 1;
        if let Some(block) = self.blocks.get_mut(&hash) {
            block.pin_count -= 1;
            if block.pin_count == 0 {
                block.last_used = self.use_counter;
                self.idle_blocks.insert((self.use_counter, hash));
            }
        }
    }

    /// Takes the changes since the last call, oldest first.
    pub fn take_changes(&mut self) -> Vec<CacheChange> {
        std::mem::take(&mut self.changes)
    }

    fn evict(&mut self) {
        if let Some((_, hash)) = self.idle_blocks.pop_first() {
            self.blocks.remove(&hash);
            self.changes.push(CacheChange::Removed(hash));
        }
    }
}

fn tokens_in_blocks(blocks: usize) -> u64 {
    blocks as u64 * u64::from(BLOCK_TOKENS)
}
