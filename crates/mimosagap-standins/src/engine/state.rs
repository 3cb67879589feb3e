//! The engine's state and what changes it.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use tokio::sync::Notify;

use crate::engine::batch::{Batch, StepOutcome, StreamRequest};
use crate::engine::cache;
use crate::engine::commands::ServedSet;
use crate::engine::generation::{Generation, GenerationEnd};
use crate::engine::options::EngineOptions;
use crate::engine::publish::CachePublisher;
use crate::engine::report::{LoadFigures, ReportLog, metrics_text};
use crate::engine::stats::{EngineStats, wall_ms};

/// The word in an input that ends the process.
const POISON: &[u8] = b"POISON";

/// Incarnations stay below 2^48, because metrics are read as floating-point numbers.
const INCARNATION_BITS: u32 = 48;

/// Output lengths when the request names none.
const DEFAULT_OUTPUT: std::ops::RangeInclusive<u32> = 16..=512;

/// A checked request.
#[derive(Debug)]
pub(crate) struct GenerationRequest {
    pub(crate) model: String,
    pub(crate) input: Vec<u8>,
    pub(crate) output_tokens: Option<u32>,
    pub(crate) max_output_tokens: Option<u32>,
    pub(crate) priority: i32,
    pub(crate) metadata: BTreeMap<String, String>,
}

/// The state behind one lock.
#[derive(Debug)]
pub(crate) struct EngineState {
    options: EngineOptions,
    incarnation: u64,
    batch: Batch,
    generations: BTreeMap<u64, Arc<Generation>>,
    next_number: u64,
    rng: SmallRng,
    speed: f64,
    leaving: bool,
    pub(crate) served: ServedSet,
    pub(crate) stats: EngineStats,
    pub(crate) publisher: CachePublisher,
    pub(crate) reports: ReportLog,
}

/// The state, and the signals between HTTP and the step loop.
#[derive(Debug)]
pub(crate) struct Shared {
    state: Mutex<EngineState>,
    work: Notify,
    reclaim: Notify,
    pub(crate) incarnation: u64,
}

impl Shared {
    pub(crate) fn new(options: EngineOptions) -> Self {
        // Not from the seed: a restarted engine must report another incarnation.
        let incarnation = rand::random::<u64>() >> (u64::BITS - INCARNATION_BITS);
        Self {
            state: Mutex::new(EngineState::new(options, incarnation)),
            work: Notify::new(),
            reclaim: Notify::new(),
            incarnation,
        }
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn submit(&self, request: GenerationRequest) -> Arc<Generation> {
        let generation = self.state().submit(request);
        self.work.notify_one();
        generation
    }

    pub(crate) async fn work_arrived(&self) {
        self.work.notified().await;
    }

    /// Ends the process, as when its host is taken away.
    pub(crate) fn reclaim(&self) {
        self.reclaim.notify_one();
    }

    pub(crate) async fn reclaimed(&self) {
        self.reclaim.notified().await;
    }
}

impl EngineState {
    fn new(options: EngineOptions, incarnation: u64) -> Self {
        Self {
            incarnation,
            batch: Batch::new(options.batch),
            generations: BTreeMap::new(),
            next_number: 1,
            rng: SmallRng::seed_from_u64(options.seed),
            speed: 1.0,
            leaving: false,
            served: ServedSet::new(options.fencing, &options.models),
            stats: EngineStats::new(),
            publisher: CachePublisher::new(options.cache_lag),
            reports: ReportLog::default(),
            options,
        }
    }

    fn submit(&mut self, request: GenerationRequest) -> Arc<Generation> {
        let number = self.next_number;
        self.next_number += 1;
        let id = format!("resp_{:012x}_{number}", self.incarnation);
        let prompt = cache::prompt_tokens(&request.input);
        let output = request
            .output_tokens
            .unwrap_or_else(|| self.rng.random_range(DEFAULT_OUTPUT))
            .min(request.max_output_tokens.unwrap_or(u32::MAX))
            .max(1);
        let stream = StreamRequest {
            priority: request.priority,
            prompt,
            output,
            blocks: cache::prefix_hashes(&request.model, &request.input),
            poison: request.input.windows(POISON.len()).any(|w| w == POISON),
        };
        self.stats
            .record_start(&id, request.metadata.get("request").cloned());
        let generation = Generation::new(number, id, request.model, prompt, request.metadata);
        let generation = Arc::new(generation);
        self.generations.insert(number, Arc::clone(&generation));
        self.batch.submit(number, stream);
        generation
    }

    /// The generation of a response id; `None` if it is unknown or of another incarnation.
    pub(crate) fn find(&self, id: &str) -> Option<Arc<Generation>> {
        let number = id.rsplit('_').next()?.parse().ok()?;
        let generation = self.generations.get(&number)?;
        (generation.id == id).then(|| Arc::clone(generation))
    }

    pub(crate) fn id_of(&self, number: u64) -> String {
        let generation = self.generations.get(&number);
        generation.map_or_else(String::new, |generation| generation.id.clone())
    }

    /// Cancels a generation; one that has ended stays as it is.
    pub(crate) fn cancel(&mut self, number: u64) {
        if self.batch.cancel(number) {
            self.stats.cancelled += 1;
            self.finish(number, GenerationEnd::Cancelled, Instant::now());
        }
    }

    /// Computes a step and returns its duration; `None` if there is nothing to do.
    pub(crate) fn step(&mut self, outcome: &mut StepOutcome) -> Option<Duration> {
        if self.batch.is_empty() {
            return None;
        }
        self.batch.step(outcome);
        let streams = u32::try_from(outcome.emitted.len()).unwrap_or(u32::MAX);
        let cost = self.options.cost.of(streams, outcome.prefilled);
        Some(cost.div_f64(self.speed))
    }

    /// Makes a step's tokens visible.
    pub(crate) fn publish(&mut self, outcome: &StepOutcome, now: Instant) {
        self.stats.steps += 1;
        self.stats.tokens += outcome.emitted.len() as u64;
        self.stats.preemptions += outcome.preempted.len() as u64;
        self.stats.prefilled_tokens += u64::from(outcome.prefilled);
        self.stats.recomputed_tokens += u64::from(outcome.recomputed);
        self.stats.memory_peak = self.stats.memory_peak.max(self.batch.memory().in_use());
        for number in &outcome.emitted {
            self.publish_token(*number, now);
        }
        for number in &outcome.finished {
            self.stats.completed += 1;
            self.finish(*number, GenerationEnd::Completed, now);
        }
        for number in &outcome.failed {
            self.stats.failed += 1;
            self.finish(*number, GenerationEnd::Failed, now);
        }
        let changes = self.batch.take_cache_changes();
        self.publisher.publish(&changes, now, &mut self.rng);
    }

    fn publish_token(&mut self, number: u64, now: Instant) {
        let Some(generation) = self.generations.get(&number) else {
            return;
        };
        let mut progress = generation.progress();
        if progress.end.is_some() {
            return;
        }
        progress.produced += 1;
        if let Some(last) = progress.last_token.replace(now) {
            self.stats.record_gap(now.duration_since(last));
        }
        progress.wake();
    }

    fn finish(&self, number: u64, end: GenerationEnd, now: Instant) {
        if let Some(generation) = self.generations.get(&number) {
            let mut progress = generation.progress();
            progress.end = Some(end);
            progress.ended_at = Some(now);
            progress.wake();
        }
    }

    pub(crate) fn housekeep(&mut self, now: Instant) {
        let figures = self.figures();
        self.reports.record(now, figures);
        self.stats.memory_sum += figures.memory_used;
        self.stats.memory_samples += 1;
        let mut abandoned = Vec::new();
        let (linger, keep) = (self.options.linger, self.options.keep);
        self.generations.retain(|number, generation| {
            let mut progress = generation.progress();
            progress.wake_silent(now);
            let unread = progress
                .unread_since
                .is_some_and(|since| now.duration_since(since) >= linger);
            if progress.end.is_none() && unread {
                abandoned.push(*number);
            }
            progress
                .ended_at
                .is_none_or(|at| now.duration_since(at) < keep)
        });
        for number in abandoned {
            self.cancel(number);
        }
    }

    pub(crate) fn leave(&mut self) {
        self.leaving = true;
        self.stats.left_at_ms.get_or_insert_with(wall_ms);
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
