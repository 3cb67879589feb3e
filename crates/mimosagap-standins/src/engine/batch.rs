//! The batch scheduler, without time and I/O: one call is one step of the engine.

use std::collections::{BTreeMap, BTreeSet};

use crate::engine::cache::{BLOCK_TOKENS, CacheChange, Memory};

/// Part of the memory that stays free when a stream is admitted beside others, so that the
/// running streams can grow for a few steps; vLLM uses the same value.
const WATERMARK_DIVISOR: u64 = 100;

/// Bounds of the batch.
#[derive(Debug, Clone, Copy)]
pub struct BatchOptions {
    /// Memory for prompt and output tokens.
    pub memory_tokens: u64,
    /// Streams that run at once.
    pub max_streams: usize,
    /// Prompt tokens computed in one step.
    pub prefill_chunk: u32,
}

/// What a stream asks for.
#[derive(Debug, Clone)]
pub struct StreamRequest {
    /// Lower is more urgent.
    pub priority: i32,
    /// Input tokens; at least one.
    pub prompt: u32,
    /// Output tokens until the end; at least one.
    pub output: u32,
    /// Hashes of the input's leading blocks.
    pub blocks: Vec<u64>,
    /// Whether running the stream kills the engine.
    pub poison: bool,
}

/// What one step did.
#[derive(Debug, Default)]
pub struct StepOutcome {
    /// Streams that got a token.
    pub emitted: Vec<u64>,
    /// Streams that got their last token.
    pub finished: Vec<u64>,
    /// Streams that do not fit in the whole memory.
    pub failed: Vec<u64>,
    /// Streams whose memory was taken.
    pub preempted: Vec<u64>,
    /// Prompt tokens computed.
    pub prefilled: u32,
    /// Of these, tokens computed again after a preemption.
    pub recomputed: u32,
    /// A stream that kills the engine was about to run.
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
struct Stream {
    request: StreamRequest,
    produced: u32,
    private: u64,
    pinned: usize,
    to_prefill: u32,
    recomputes: bool,
}

/// Running and waiting streams. Stream numbers grow with arrival, so a greater one is younger.
#[derive(Debug)]
pub struct Batch {
    options: BatchOptions,
    memory: Memory,
    streams: BTreeMap<u64, Stream>,
    waiting: BTreeSet<(i32, u64)>,
    running: BTreeSet<(i32, u64)>,
    admission_paused: bool,
}

impl Batch {
    /// An empty batch.
    #[must_use]
    pub fn new(options: BatchOptions) -> Self {
        Self {
            options,
            memory: Memory::new(options.memory_tokens),
            streams: BTreeMap::new(),
            waiting: BTreeSet::new(),
            running: BTreeSet::new(),
            admission_paused: false,
        }
    }

    /// Queues a stream under a number greater than all before it.
    pub fn submit(&mut self, number: u64, request: StreamRequest) {
        self.waiting.insert((request.priority, number));
        let stream = Stream {
            request,
            produced: 0,
            private: 0,
            pinned: 0,
            to_prefill: 0,
            recomputes: false,
        };
        self.streams.insert(number, stream);
    }

    /// Removes a stream; false if it has ended.
    pub fn cancel(&mut self, number: u64) -> bool {
        let Some(stream) = self.streams.get(&number) else {
            return false;
        };
        let place = (stream.request.priority, number);
        self.waiting.remove(&place);
        self.release(number);
        self.running.remove(&place);
        self.streams.remove(&number);
        true
    }

    /// Whether no stream runs or waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Running streams.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Waiting streams.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// The memory.
    #[must_use]
    pub fn memory(&self) -> &Memory {
        &self.memory
    }

    /// Cache changes since the last call.
    pub fn take_cache_changes(&mut self) -> Vec<CacheChange> {
        self.memory.take_changes()
    }

    /// Runs one step: admits, computes prompts and gives each ready stream one token.
    pub fn step(&mut self, outcome: &mut StepOutcome) {
        outcome.clear();
        if !self.admission_paused {
            self.admit(outcome);
        }
        self.prefill(outcome);
        self.decode(outcome);
        // After a preemption one step passes without admissions, or the stream would take the
        // memory back that was just freed.
        self.admission_paused = !outcome.preempted.is_empty();
    }

    fn admit(&mut self, outcome: &mut StepOutcome) {
        while self.running.len() < self.options.max_streams {
            let Some(&(priority, number)) = self.waiting.first() else {
                return;
            };
            if !self.place(number) {
                if self.running.is_empty() {
                    self.end(number, &mut outcome.failed);
                    continue;
                }
                return;
            }
            self.waiting.remove(&(priority, number));
            self.running.insert((priority, number));
            if self.streams[&number].request.poison {
                outcome.poisoned = Some(number);
            }
        }
    }

    /// Pins the cached prefix and reserves the rest; false if it does not fit.
    fn place(&mut self, number: u64) -> bool {
        let Some(stream) = self.streams.get_mut(&number) else {
            return false;
        };
        let blocks = &stream.request.blocks;
        let hits = blocks
            .iter()
            .take_while(|hash| self.memory.pin(**hash))
            .count();
        let total = stream.request.prompt + stream.produced;
        let hit_tokens = u32::try_from(hits).unwrap_or(u32::MAX) * BLOCK_TOKENS;
        let rest = total.saturating_sub(hit_tokens);
        let spare = if self.running.is_empty() {
            0
        } else {
            self.memory.capacity() / WATERMARK_DIVISOR
        };
        let fits = self.memory.in_use() + u64::from(rest) + spare <= self.memory.capacity();
        if !fits || !self.memory.reserve(u64::from(rest)) {
            for hash in blocks[..hits].iter().rev() {
                self.memory.unpin(*hash);
            }
            return false;
        }
        stream.pinned = hits;
        stream.private = u64::from(rest);
        // The last token of the prompt is always computed, because it yields the first output.
        stream.to_prefill = rest.max(1);
        true
    }

    fn prefill(&mut self, outcome: &mut StepOutcome) {
        let mut budget = self.options.prefill_chunk;
        for &(_, number) in &self.running {
            let Some(stream) = self.streams.get_mut(&number) else {
                continue;
            };
            let tokens = stream.to_prefill.min(budget);
            if tokens == 0 {
                continue;
            }
            budget -= tokens;
            stream.to_prefill -= tokens;
            outcome.prefilled += tokens;
            if stream.recomputes {
                outcome.recomputed += tokens;
            }
            if stream.to_prefill == 0 {
                for hash in &stream.request.blocks[stream.pinned..] {
                    self.memory.adopt(*hash);
                    stream.private -= u64::from(BLOCK_TOKENS);
                }
                stream.pinned = stream.request.blocks.len();
            }
        }
    }

    fn decode(&mut self, outcome: &mut StepOutcome) {
        let ready: Vec<(i32, u64)> = self.running.iter().copied().collect();
        for place in ready {
            let number = place.1;
            if !self.running.contains(&place) || self.streams[&number].to_prefill > 0 {
                continue;
            }
            if !self.make_room(place, outcome) {
                continue;
            }
            let Some(stream) = self.streams.get_mut(&number) else {
                continue;
            };
            stream.private += 1;
            stream.produced += 1;
            outcome.emitted.push(number);
            if stream.produced >= stream.request.output {
                self.end(number, &mut outcome.finished);
            }
        }
    }

    /// Reserves one token, preempting the least urgent, youngest streams; false if that was the
    /// stream itself.
    fn make_room(&mut self, place: (i32, u64), outcome: &mut StepOutcome) -> bool {
        while !self.memory.reserve(1) {
            let victim = *self.running.last().unwrap_or(&place);
            if victim == place && self.running.len() == 1 {
                self.end(place.1, &mut outcome.failed);
                return false;
            }
            self.preempt(victim);
            outcome.preempted.push(victim.1);
            if victim == place {
                return false;
            }
        }
        true
    }

    fn preempt(&mut self, place: (i32, u64)) {
        self.release(place.1);
        self.running.remove(&place);
        self.waiting.insert(place);
        if let Some(stream) = self.streams.get_mut(&place.1) {
            stream.recomputes = true;
        }
    }

    fn release(&mut self, number: u64) {
        let Some(stream) = self.streams.get_mut(&number) else {
            return;
        };
        self.memory.release(stream.private);
        stream.private = 0;
        // Deep blocks become idle first, so that they are evicted before the blocks they need.
        for hash in stream.request.blocks[..stream.pinned].iter().rev() {
            self.memory.unpin(*hash);
        }
        stream.pinned = 0;
    }

    fn end(&mut self, number: u64, list: &mut Vec<u64>) {
        self.cancel(number);
        list.push(number);
    }
}
