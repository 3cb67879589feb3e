//! State of the engine and the operations on it.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use tokio::sync::Notify;

use crate::engine::batch::{Batch, StepOutcome, StreamRequest};
use crate::engine::cache;
use crate::engine::cache_events::CachePublisher;
use crate::engine::commands::ServedSet;
use crate::engine::generation::{Generation, GenerationEnd};
use crate::engine::load_report::{LoadFigures, ReportHistory, metrics_text};
use crate::engine::options::EngineOptions;
use crate::engine::stats::{EngineStats, unix_millis};

/// An input that contains this word makes the process exit when its generation runs.
const POISON_WORD: &[u8] = b"POISON";

/// Incarnations stay below 2^48, so that metrics hold them exactly as floating-point numbers.
const INCARNATION_BITS: u32 = 48;

/// Range of the random output length, in tokens, of requests that set none.
const DEFAULT_OUTPUT_TOKENS: std::ops::RangeInclusive<u32> = 16..=512;

/// A validated request for a generation.
#[derive(Debug)]
pub(crate) struct GenerationRequest {
    pub(crate) model: String,
    pub(crate) input: Vec<u8>,
    pub(crate) output_tokens: Option<u32>,
    pub(crate) max_output_tokens: Option<u32>,
    pub(crate) priority: i32,
    pub(crate) metadata: BTreeMap<String, String>,
}

/// State of the engine, protected by the lock in [`SharedEngine`].
#[derive(Debug)]
pub(crate) struct EngineState {
    options: EngineOptions,
    incarnation: u64,
    batch: Batch,
    generations: BTreeMap<u64, Arc<Generation>>,
    next_stream_id: u64,
    rng: SmallRng,
    speed: f64,
    leaving: bool,
    pub(crate) served: ServedSet,
    pub(crate) stats: EngineStats,
    pub(crate) publisher: CachePublisher,
    pub(crate) reports: ReportHistory,
}

/// The engine state with the notifications from the HTTP handlers to the step loop.
#[derive(Debug)]
pub(crate) struct SharedEngine {
    state: Mutex<EngineState>,
    work_available: Notify,
    reclaim: Notify,
    pub(crate) incarnation: u64,
}

impl SharedEngine {
    pub(crate) fn new(options: EngineOptions) -> Self {
        // Independent of the seed, because a restarted engine must report another incarnation.
        let incarnation = rand::random::<u64>() >> (u64::BITS - INCARNATION_BITS);
        Self {
            state: Mutex::new(EngineState::new(options, incarnation)),
            work_available: Notify::new(),
            reclaim: Notify::new(),
            incarnation,
        }
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn submit(&self, request: GenerationRequest) -> Arc<Generation> {
        let generation = self.state().submit(request);
        self.work_available.notify_one();
        generation
    }

    pub(crate) async fn wait_for_work(&self) {
        self.work_available.notified().await;
    }

    /// Makes the process exit, as when its host is reclaimed.
    pub(crate) fn reclaim(&self) {
        self.reclaim.notify_one();
    }

    pub(crate) async fn wait_for_reclaim(&self) {
        self.reclaim.notified().await;
    }
}

impl EngineState {
    fn new(options: EngineOptions, incarnation: u64) -> Self {
        Self {
            incarnation,
            batch: Batch::new(options.batch),
            generations: BTreeMap::new(),
            next_stream_id: 1,
            rng: SmallRng::seed_from_u64(options.seed),
            speed: 1.0,
            leaving: false,
            served: ServedSet::new(options.fencing, &options.models),
            stats: EngineStats::new(),
            publisher: CachePublisher::new(options.cache_lag),
            reports: ReportHistory::default(),
            options,
        }
    }

    fn submit(&mut self, request: GenerationRequest) -> Arc<Generation> {
        let stream_id = self.next_stream_id;
        self.next_stream_id += 1;
        let id = format!("resp_{:012x}_{stream_id}", self.incarnation);
        let prompt_tokens = cache::prompt_tokens(&request.input);
        let output_tokens = request
            .output_tokens
            .unwrap_or_else(|| self.rng.random_range(DEFAULT_OUTPUT_TOKENS))
            .min(request.max_output_tokens.unwrap_or(u32::MAX))
            .max(1);
        let stream = StreamRequest {
            priority: request.priority,
            prompt_tokens,
            output_tokens,
            block_hashes: cache::prefix_hashes(&request.model, &request.input),
            poison: request
                .input
                .windows(POISON_WORD.len())
                .any(|w| w == POISON_WORD),
        };
        self.stats
            .record_start(&id, request.metadata.get("request").cloned());
        let generation = Generation::new(
            stream_id,
            id,
            request.model,
            prompt_tokens,
            request.metadata,
        );
        let generation = Arc::new(generation);
        self.generations.insert(stream_id, Arc::clone(&generation));
        self.batch.submit(stream_id, stream);
        generation
    }

    /// Finds a generation by response id. `None` if the id is unknown or of another incarnation.
    pub(crate) fn find(&self, id: &str) -> Option<Arc<Generation>> {
        let stream_id = id.rsplit('_').next()?.parse().ok()?;
        let generation = self.generations.get(&stream_id)?;
        (generation.id == id).then(|| Arc::clone(generation))
    }

    pub(crate) fn response_id(&self, stream_id: u64) -> String {
        let generation = self.generations.get(&stream_id);
        generation.map_or_else(String::new, |generation| generation.id.clone())
    }

    /// Cancels a generation; has no effect if it has ended.
    pub(crate) fn cancel(&mut self, stream_id: u64) {
        if self.batch.cancel(stream_id) {
            self.stats.cancelled += 1;
            self.finish(stream_id, GenerationEnd::Cancelled, Instant::now());
        }
    }

    /// Computes one step and returns its simulated duration. `None` if there are no streams.
    pub(crate) fn step(&mut self, outcome: &mut StepOutcome) -> Option<Duration> {
        if self.batch.is_empty() {
            return None;
        }
        self.batch.step(outcome);
        let streams = u32::try_from(outcome.emitted.len()).unwrap_or(u32::MAX);
        let duration = self
            .options
            .step_cost
            .step_duration(streams, outcome.prefilled);
        Some(duration.div_f64(self.speed))
    }

    /// Makes the tokens, ends and cache events of a step visible to readers.
    pub(crate) fn publish(&mut self, outcome: &StepOutcome, now: Instant) {
        self.stats.steps += 1;
        self.stats.tokens += outcome.emitted.len() as u64;
        self.stats.preemptions += outcome.preempted.len() as u64;
        self.stats.prefilled_tokens += u64::from(outcome.prefilled);
        self.stats.recomputed_tokens += u64::from(outcome.recomputed);
        self.stats.memory_peak = self.stats.memory_peak.max(self.batch.memory().in_use());
        for stream_id in &outcome.emitted {
            self.publish_token(*stream_id, now);
        }
        for stream_id in &outcome.finished {
            self.stats.completed += 1;
            self.finish(*stream_id, GenerationEnd::Completed, now);
        }
        for stream_id in &outcome.failed {
            self.stats.failed += 1;
            self.finish(*stream_id, GenerationEnd::Failed, now);
        }
        let changes = self.batch.take_cache_changes();
        self.publisher.publish(&changes, now, &mut self.rng);
    }

    fn publish_token(&mut self, stream_id: u64, now: Instant) {
        let Some(generation) = self.generations.get(&stream_id) else {
            return;
        };
        let mut progress = generation.progress();
        if progress.end.is_some() {
            return;
        }
        progress.produced += 1;
        if let Some(last) = progress.last_token_at.replace(now) {
            self.stats.record_token_gap(now.duration_since(last));
        }
        progress.wake_readers();
    }

    fn finish(&self, stream_id: u64, end: GenerationEnd, now: Instant) {
        if let Some(generation) = self.generations.get(&stream_id) {
            let mut progress = generation.progress();
            progress.end = Some(end);
            progress.ended_at = Some(now);
            progress.wake_readers();
        }
    }

    pub(crate) fn run_housekeeping(&mut self, now: Instant) {
        let figures = self.figures();
        self.reports.record(now, figures);
        self.stats.memory_sum += figures.memory_used;
        self.stats.memory_samples += 1;
        let mut abandoned = Vec::new();
        let (unread_timeout, ended_retention) =
            (self.options.unread_timeout, self.options.ended_retention);
        self.generations.retain(|stream_id, generation| {
            let mut progress = generation.progress();
            progress.wake_idle_readers(now);
            let unread = progress
                .unread_since
                .is_some_and(|since| now.duration_since(since) >= unread_timeout);
            if progress.end.is_none() && unread {
                abandoned.push(*stream_id);
            }
            progress
                .ended_at
                .is_none_or(|at| now.duration_since(at) < ended_retention)
        });
        for stream_id in abandoned {
            self.cancel(stream_id);
        }
    }

    pub(crate) fn leave(&mut self) {
        self.leaving = true;
        self.stats.left_at_ms.get_or_insert_with(unix_millis);
    }

    pub(crate) fn set_speed(&mut self, factor: f64) {
        self.speed = factor;
    }

    pub(crate) fn metrics(&self, now: Instant) -> String {
        let figures = self.reports.reported(now, self.figures());
        metrics_text(figures, self.leaving, self.incarnation)
    }

    pub(crate) fn statistics(&self) -> Value {
        let mut value = json!({
            "incarnation": self.incarnation,
            "memory_tokens": self.batch.memory().capacity(),
            "memory_now": self.batch.memory().in_use(),
            "running": self.batch.running(),
            "waiting": self.batch.waiting(),
            "served": self.served.names(),
            "role": self.served.role,
            "commands": self.served.records,
            "commands_refused": self.served.refused,
        });
        if let (Some(object), Ok(Value::Object(stats))) =
            (value.as_object_mut(), serde_json::to_value(&self.stats))
        {
            object.extend(stats);
        }
        value
    }

    fn figures(&self) -> LoadFigures {
        LoadFigures {
            running: self.batch.running(),
            waiting: self.batch.waiting(),
            memory_used: self.batch.memory().in_use(),
            memory_tokens: self.batch.memory().capacity(),
            preemptions: self.stats.preemptions,
        }
    }
}
