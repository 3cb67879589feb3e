//! Scheduling of the batch: exact memory accounting and preemption by priority, without which
//! measurements would not reflect real engines.

use mimosagap_standins::engine::batch::{Batch, BatchOptions, StepOutcome, StreamRequest};
use mimosagap_standins::engine::cache::{CacheChange, prefix_hashes};

fn batch(memory_tokens: u64) -> Batch {
    Batch::new(BatchOptions {
        memory_tokens,
        max_streams: 16,
        prefill_chunk: 512,
    })
}

fn request(priority: i32, prompt_tokens: u32, output_tokens: u32) -> StreamRequest {
    StreamRequest {
        priority,
        prompt_tokens,
        output_tokens,
        block_hashes: Vec::new(),
        poison: false,
    }
}

fn request_with_blocks(input: &[u8], output_tokens: u32) -> StreamRequest {
    StreamRequest {
        block_hashes: prefix_hashes("quotes", input),
        ..request(0, u32::try_from(input.len()).unwrap() / 4, output_tokens)
    }
}

#[test]
fn each_running_stream_generates_one_token_per_step() {
    let mut batch = batch(1_000);
    let mut outcome = StepOutcome::default();
    batch.submit(1, request(0, 10, 3));
    batch.submit(2, request(0, 10, 2));
    batch.step(&mut outcome);
    assert_eq!(outcome.emitted, [1, 2]);
    assert_eq!(batch.memory().in_use(), 22);
    batch.step(&mut outcome);
    assert_eq!(outcome.finished, [2]);
    batch.step(&mut outcome);
    assert_eq!(outcome.finished, [1]);
    assert!(batch.is_empty());
    assert_eq!(batch.memory().in_use(), 0);
}

#[test]
fn long_prompt_is_computed_in_chunks() {
    let mut batch = batch(4_000);
    let mut outcome = StepOutcome::default();
    batch.submit(1, request(0, 1_100, 1));
    for expected in [512, 512, 76] {
        assert!(outcome.finished.is_empty());
        batch.step(&mut outcome);
        assert_eq!(outcome.prefilled, expected);
    }
    assert_eq!(outcome.finished, [1]);
}

#[test]
fn full_memory_preempts_the_least_urgent_youngest_stream_and_recomputes_it() {
    let mut batch = batch(100);
    let mut outcome = StepOutcome::default();
    batch.submit(1, request(10, 30, 30));
    batch.submit(2, request(10, 30, 30));
    batch.submit(3, request(0, 30, 12));
    let mut preempted: Vec<u64> = Vec::new();
    let mut finished: Vec<u64> = Vec::new();
    let mut recomputed = 0;
    let mut tokens = [0; 4];
    for _ in 0..200 {
        batch.step(&mut outcome);
        for stream_id in &outcome.emitted {
            tokens[usize::try_from(*stream_id).unwrap()] += 1;
        }
        preempted.extend(&outcome.preempted);
        finished.extend(&outcome.finished);
        recomputed += outcome.recomputed;
        assert!(batch.memory().in_use() <= 100);
    }
    assert_eq!(preempted.first(), Some(&2));
    assert!(!preempted.contains(&3));
    assert_eq!(finished[0], 3);
    assert_eq!(tokens, [0, 30, 30, 12]);
    assert!(recomputed > 30);
    assert_eq!(batch.memory().in_use(), 0);
}

#[test]
fn urgent_streams_are_admitted_first() {
    let mut batch = Batch::new(BatchOptions {
        memory_tokens: 1_000,
        max_streams: 1,
        prefill_chunk: 512,
    });
    let mut outcome = StepOutcome::default();
    batch.submit(1, request(20, 10, 2));
    batch.submit(2, request(0, 10, 2));
    batch.step(&mut outcome);
    assert_eq!(outcome.emitted, [2]);
    assert_eq!((batch.running(), batch.waiting()), (1, 1));
}

#[test]
fn stream_larger_than_the_memory_fails_without_blocking_others() {
    let mut batch = batch(100);
    let mut outcome = StepOutcome::default();
    batch.submit(1, request(0, 200, 1));
    batch.submit(2, request(0, 90, 50));
    batch.step(&mut outcome);
    assert_eq!(outcome.failed, [1]);
    for _ in 0..10 {
        batch.step(&mut outcome);
    }
    assert_eq!(outcome.failed, [2]);
    assert_eq!(batch.memory().in_use(), 0);
}

#[test]
fn cached_prefix_is_shared_and_evicted_when_memory_is_needed() {
    let mut batch = batch(300);
    let mut outcome = StepOutcome::default();
    let input = vec![b'x'; 256 * 3];
    batch.submit(1, request_with_blocks(&input, 1));
    batch.step(&mut outcome);
    assert_eq!(outcome.prefilled, 192);
    assert_eq!(batch.take_cache_changes().len(), 3);
    assert_eq!(batch.memory().in_use(), 0);

    batch.submit(2, request_with_blocks(&input, 1));
    batch.step(&mut outcome);
    assert_eq!(outcome.prefilled, 1);

    batch.submit(3, request(0, 250, 1));
    batch.step(&mut outcome);
    let changes = batch.take_cache_changes();
    let hashes = prefix_hashes("quotes", &input);
    assert_eq!(changes[0], CacheChange::Removed(hashes[2]));
    assert!(changes.len() >= 2);
}

#[test]
fn cancel_frees_the_memory_of_waiting_and_running_streams() {
    let mut batch = batch(2_000);
    let mut outcome = StepOutcome::default();
    let input = vec![b'x'; 4 * 700];
    batch.submit(1, request_with_blocks(&input, 50));
    batch.submit(2, request_with_blocks(&input, 50));
    assert!(batch.cancel(2));
    batch.step(&mut outcome);
    assert!(batch.cancel(1));
    assert!(!batch.cancel(1));
    assert_eq!(batch.memory().in_use(), 0);
    assert!(batch.is_empty());
}

#[test]
fn block_hashes_depend_on_the_model_and_all_preceding_input() {
    let base_hashes = prefix_hashes("a", &[b'x'; 512]);
    let other_model = prefix_hashes("b", &[b'x'; 512]);
    let mut changed = [b'x'; 512];
    changed[0] = b'y';
    let other_input = prefix_hashes("a", &changed);
    assert_eq!(base_hashes.len(), 2);
    assert_ne!(base_hashes[1], other_model[1]);
    assert_ne!(base_hashes[1], other_input[1]);
    assert_eq!(prefix_hashes("a", &[b'x'; 300])[0], base_hashes[0]);
}
