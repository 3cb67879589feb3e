//! Continuous batching without clock or I/O: each call of [`Batch::step`] is one engine step.

use std::collections::{BTreeMap, BTreeSet};

use crate::engine::cache::{BLOCK_TOKENS, CacheChange, KvMemory};

/// Fraction (1/100) of the memory that admission keeps free while other streams run, so that these
/// can grow for a few steps before a preemption. vLLM uses the same value.
const WATERMARK_DIVISOR: u64 = 100;

/// Limits of the batch.
#[derive(Debug, Clone, Copy)]
pub struct BatchOptions {
    /// KV cache size in tokens, for prompts and outputs together.
    pub memory_tokens: u64,
    /// Maximum number of running streams.
    pub max_streams: usize,
    /// Maximum number of prompt tokens computed in one step.
    pub prefill_chunk: u32,
}

/// One generation as the scheduler sees it.
#[derive(Debug, Clone)]
pub struct StreamRequest {
    /// Lower values are admitted first and preempted last.
    pub priority: i32,
    /// Number of input tokens; at least 1.
    pub prompt_tokens: u32,
    /// Number of tokens to generate; at least 1.
    pub output_tokens: u32,
    /// Prefix hashes of the whole blocks of the input, see
    /// [`prefix_hashes`](crate::engine::cache::prefix_hashes).
    pub block_hashes: Vec<u64>,
    /// Whether the engine process exits when the stream starts to run.
    pub poison: bool,
}

/// Result of one step. Streams are given by their ids.
#[derive(Debug, Default)]
pub struct StepOutcome {
    /// Streams that generated a token.
    pub emitted: Vec<u64>,
    /// Streams that generated their last token.
    pub finished: Vec<u64>,
    /// Streams that ended because they do not fit in the memory even alone.
    pub failed: Vec<u64>,
    /// Streams that lost their memory and wait to be computed again.
    pub preempted: Vec<u64>,
    /// Number of prompt tokens computed.
    pub prefilled: u32,
    /// Number of these that were computed again after a preemption.
    pub recomputed: u32,
    /// An admitted stream with the poison word, on which the engine process has to exit.
    pub poisoned: Option<u64>,
}

impl StepOutcome {
    fn clear(&mut self) {
        self.emitted.clear();
        self.finished.clear();
        self.failed.clear();
        self.preempted.clear();
        self.prefilled = 0;
        self.recomputed = 0;
        self.poisoned = None;
    }
}

#[derive(Debug)]
struct BatchStream {
    request: StreamRequest,
    produced_tokens: u32,
    /// Reserved tokens that are not in shared blocks.
    private_tokens: u64,
    /// Number of leading blocks of the input that the stream has pinned.
    pinned_blocks: usize,
    /// Tokens to compute before the next output token.
    prefill_remaining: u32,
    /// Whether the stream has been preempted and its tokens are computed again.
    is_recompute: bool,
}

/// Scheduler of running and waiting streams. Stream ids grow with arrival, so a greater id is a
/// younger stream. Both queues are ordered by priority, then id.
#[derive(Debug)]
pub struct Batch {
    options: BatchOptions,
    memory: KvMemory,
    streams: BTreeMap<u64, BatchStream>,
    waiting: BTreeSet<(i32, u64)>,
    running: BTreeSet<(i32, u64)>,
    admission_paused: bool,
}

impl Batch {
    /// Creates a batch without streams.
    #[must_use]
    pub fn new(options: BatchOptions) -> Self {
        Self {
            options,
            memory: KvMemory::new(options.memory_tokens),
            streams: BTreeMap::new(),
            waiting: BTreeSet::new(),
            running: BTreeSet::new(),
            admission_paused: false,
        }
    }

    /// Adds a stream to the waiting queue. `stream_id` must be greater than all ids before it.
    pub fn submit(&mut self, stream_id: u64, request: StreamRequest) {
        self.waiting.insert((request.priority, stream_id));
        let stream = BatchStream {
            request,
            produced_tokens: 0,
            private_tokens: 0,
            pinned_blocks: 0,
            prefill_remaining: 0,
            is_recompute: false,
        };
        self.streams.insert(stream_id, stream);
    }

    /// Removes a stream and releases its memory. Returns false if it has already ended.
    pub fn cancel(&mut self, stream_id: u64) -> bool {
        let Some(stream) = self.streams.get(&stream_id) else {
            return false;
        };
        let queue_key = (stream.request.priority, stream_id);
        self.waiting.remove(&queue_key);
        self.release(stream_id);
        self.running.remove(&queue_key);
        self.streams.remove(&stream_id);
        true
    }

    /// Whether no stream runs or waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Number of running streams.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of waiting streams, the preempted ones included.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// The KV cache of the engine.
    #[must_use]
    pub fn memory(&self) -> &KvMemory {
        &self.memory
    }

    /// Takes the cache changes since the last call.
    pub fn take_cache_changes(&mut self) -> Vec<CacheChange> {
        self.memory.take_changes()
    }

    /// Runs one step: admits waiting streams, computes prompt tokens, then generates one token for
    /// each stream whose prompt is complete.
    pub fn step(&mut self, outcome: &mut StepOutcome) {
        outcome.clear();
        if !self.admission_paused {
            self.admit(outcome);
        }
        self.prefill(outcome);
        self.decode(outcome);
        // Pauses admission for one step after a preemption. Otherwise the preempted stream would be
        // admitted at once and take the memory back that was just freed.
        self.admission_paused = !outcome.preempted.is_empty();
    }

    fn admit(&mut self, outcome: &mut StepOutcome) {
        while self.running.len() < self.options.max_streams {
            let Some(&(priority, stream_id)) = self.waiting.first() else {
                return;
            };
            if !self.allocate_prompt(stream_id) {
                if self.running.is_empty() {
                    self.end_stream(stream_id, &mut outcome.failed);
                    continue;
                }
                return;
            }
            self.waiting.remove(&(priority, stream_id));
            self.running.insert((priority, stream_id));
            if self.streams[&stream_id].request.poison {
                outcome.poisoned = Some(stream_id);
            }
        }
    }

    /// Pins the cached prefix of the stream and reserves memory for its other tokens. Returns false
    /// and pins nothing if these do not fit.
    fn allocate_prompt(&mut self, stream_id: u64) -> bool {
        let Some(stream) = self.streams.get_mut(&stream_id) else {
            return false;
        };
        let block_hashes = &stream.request.block_hashes;
        let hit_blocks = block_hashes
            .iter()
            .take_while(|hash| self.memory.pin(**hash))
            .count();
        let total_tokens = stream.request.prompt_tokens + stream.produced_tokens;
        let hit_tokens = u32::try_from(hit_blocks).unwrap_or(u32::MAX) * BLOCK_TOKENS;
        let uncached_tokens = total_tokens.saturating_sub(hit_tokens);
        let watermark = if self.running.is_empty() {
            0
        } else {
            self.memory.capacity() / WATERMARK_DIVISOR
        };
        let fits =
            self.memory.in_use() + u64::from(uncached_tokens) + watermark <= self.memory.capacity();
        if !fits || !self.memory.reserve(u64::from(uncached_tokens)) {
            for hash in block_hashes[..hit_blocks].iter().rev() {
                self.memory.unpin(*hash);
            }
            return false;
        }
        stream.pinned_blocks = hit_blocks;
        stream.private_tokens = u64::from(uncached_tokens);
        // The last prompt token is always computed, because it yields the first output token.
        stream.prefill_remaining = uncached_tokens.max(1);
        true
    }

    fn prefill(&mut self, outcome: &mut StepOutcome) {
        let mut budget = self.options.prefill_chunk;
        for &(_, stream_id) in &self.running {
            let Some(stream) = self.streams.get_mut(&stream_id) else {
                continue;
            };
            let tokens = stream.prefill_remaining.min(budget);
            if tokens == 0 {
                continue;
            }
            budget -= tokens;
            stream.prefill_remaining -= tokens;
            outcome.prefilled += tokens;
            if stream.is_recompute {
                outcome.recomputed += tokens;
            }
            if stream.prefill_remaining == 0 {
                for hash in &stream.request.block_hashes[stream.pinned_blocks..] {
                    self.memory.share_block(*hash);
                    stream.private_tokens -= u64::from(BLOCK_TOKENS);
                }
                stream.pinned_blocks = stream.request.block_hashes.len();
            }
        }
    }

    fn decode(&mut self, outcome: &mut StepOutcome) {
        let candidates: Vec<(i32, u64)> = self.running.iter().copied().collect();
        for queue_key in candidates {
            let stream_id = queue_key.1;
            if !self.running.contains(&queue_key) || self.streams[&stream_id].prefill_remaining > 0
            {
                continue;
            }
            if !self.reserve_output_token(queue_key, outcome) {
                continue;
            }
            let Some(stream) = self.streams.get_mut(&stream_id) else {
                continue;
            };
            stream.private_tokens += 1;
            stream.produced_tokens += 1;
            outcome.emitted.push(stream_id);
            if stream.produced_tokens >= stream.request.output_tokens {
                self.end_stream(stream_id, &mut outcome.finished);
            }
        }
    }

    /// Reserves memory for one output token. Preempts the least urgent, youngest streams until it
    /// fits; returns false if the stream itself was preempted or failed.
    fn reserve_output_token(&mut self, queue_key: (i32, u64), outcome: &mut StepOutcome) -> bool {
        while !self.memory.reserve(1) {
            let victim = *self.running.last().unwrap_or(&queue_key);
            if victim == queue_key && self.running.len() == 1 {
                self.end_stream(queue_key.1, &mut outcome.failed);
                return false;
            }
            self.preempt(victim);
            outcome.preempted.push(victim.1);
            if victim == queue_key {
                return false;
            }
        }
        true
    }

    fn preempt(&mut self, queue_key: (i32, u64)) {
        self.release(queue_key.1);
        self.running.remove(&queue_key);
        self.waiting.insert(queue_key);
        if let Some(stream) = self.streams.get_mut(&queue_key.1) {
            stream.is_recompute = true;
        }
    }

    fn release(&mut self, stream_id: u64) {
        let Some(stream) = self.streams.get_mut(&stream_id) else {
            return;
        };
        self.memory.release(stream.private_tokens);
        stream.private_tokens = 0;
        // Unpins the last block first, so that it is evicted before the blocks of its prefix.
        for hash in stream.request.block_hashes[..stream.pinned_blocks]
            .iter()
            .rev()
        {
            self.memory.unpin(*hash);
        }
        stream.pinned_blocks = 0;
    }

    /// Removes a stream and adds it to one of the lists of the step's outcome.
    fn end_stream(&mut self, stream_id: u64, ended_streams: &mut Vec<u64>) {
        self.cancel(stream_id);
        ended_streams.push(stream_id);
    }
}
