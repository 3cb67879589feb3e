//! Migration of generations off engines that end two seconds after their termination notice.

mod support;

use std::time::Duration;

use mimosagap_routing::migration::{
    GenerationState, KvCopy, MigrationStep, choose_destination, next_step,
};
use mimosagap_routing::placement::GenerationDemand;
use mimosagap_routing::residency::{PermittedTarget, UNRESTRICTED};
use mimosagap_routing::targets::{TargetKey, TargetTable};
use mimosagap_routing::token_time::TokenTimeEstimator;
use support::{KV_CAPACITY_TOKENS, LONG_GENERATION, NOW, engines, service};

/// The destination of a generation on the first engine, and all engines. `kv_load` and
/// `prefill_load` list engines with the tokens that they hold or have to prefill.
fn chosen_destination(
    zones: &[&str],
    kv_load: &[(usize, u32)],
    prefill_load: &[(usize, u32)],
) -> (Option<TargetKey>, Vec<TargetKey>) {
    let (mut targets, keys) = engines(zones);
    for (index, tokens) in kv_load {
        targets.add_request(keys[*index], *tokens, 0, 1);
    }
    for (index, tokens) in prefill_load {
        targets.add_request(keys[*index], *tokens, *tokens, 1);
    }
    let source = targets.get(keys[0]).unwrap();
    let key = choose_destination(
        &targets,
        &service(),
        source,
        LONG_GENERATION.mean_kv_tokens(),
        &[keys[0]],
        &UNRESTRICTED,
        NOW,
    )
    .map(PermittedTarget::key);
    (key, keys)
}

/// A generation on the first engine, without a copy.
fn draining_generation(
    keys: &[TargetKey],
    generated_tokens: u32,
    expected_tokens: u32,
) -> GenerationState {
    GenerationState {
        source: keys[0],
        generated_tokens,
        expected_tokens,
        time_per_token: Duration::from_millis(11),
        kv_copy: None,
        is_copying: false,
        is_handed_over: false,
    }
}

/// Two engines of one zone, of which the first is draining.
fn draining_engine() -> (TargetTable, Vec<TargetKey>) {
    let (mut targets, keys) = engines(&["a", "a"]);
    targets.mark_draining(keys[0], NOW);
    (targets, keys)
}

fn step(targets: &TargetTable, generation: &GenerationState) -> MigrationStep {
    next_step(targets, &service(), generation, NOW)
}

#[test]
fn a_generation_that_ends_in_time_is_not_migrated() {
    let (targets, keys) = draining_engine();
    let step = |generated_tokens, expected_tokens| {
        step(
            &targets,
            &draining_generation(&keys, generated_tokens, expected_tokens),
        )
    };
    assert_eq!(step(40, 100), MigrationStep::Stay);
    assert_eq!(step(200, 230), MigrationStep::Stay);
    assert_eq!(step(100, 800), MigrationStep::Copy(None));
    // A generation that exceeds its expected length may continue for long.
    assert_eq!(step(900, 800), MigrationStep::Copy(None));
}

/// Length hints are often too short, so a generation near its expected length may continue for as
/// long as others. A copy that starts only after the expected length comes too late for the link.
#[test]
fn a_long_generation_near_its_expected_length_is_copied() {
    let (targets, keys) = draining_engine();
    let generation = draining_generation(&keys, 580, 600);
    assert_eq!(step(&targets, &generation), MigrationStep::Copy(None));
}

/// An engine that generates tokens four times as fast completes in time what others cannot.
#[test]
fn a_generation_on_a_fast_engine_is_not_migrated() {
    let (targets, keys) = draining_engine();
    let mut estimator = TokenTimeEstimator::default();
    for _ in 0..40 {
        estimator.record(500, Duration::from_millis(1500));
    }
    let generation = GenerationState {
        time_per_token: estimator.time_per_token(),
        ..draining_generation(&keys, 200, 400)
    };
    assert_eq!(step(&targets, &generation), MigrationStep::Stay);
    let generation_at_default_speed = draining_generation(&keys, 200, 400);
    assert_eq!(
        step(&targets, &generation_at_default_speed),
        MigrationStep::Copy(None)
    );
}

#[test]
fn a_generation_on_an_available_engine_is_not_migrated() {
    let (targets, keys) = engines(&["a", "a"]);
    let generation = draining_generation(&keys, 100, 800);
    assert_eq!(step(&targets, &generation), MigrationStep::Stay);
}

/// A handover during a prefill at the engine with the copy waits for up to 300 ms for the prompt of
/// another request.
#[test]
fn a_generation_is_handed_over_when_no_prefill_is_pending() {
    let (mut targets, keys) = draining_engine();
    let kv_copy = KvCopy {
        target: keys[1],
        completed_at: NOW,
    };
    let generation = GenerationState {
        kv_copy: Some(kv_copy),
        ..draining_generation(&keys, 100, 800)
    };
    targets.add_request(keys[1], 3400, 3000, 1);
    assert_eq!(step(&targets, &generation), MigrationStep::Await(keys[1]));
    targets.finish_prefill(keys[1], 3000, 1, 0, Duration::from_millis(400));
    assert_eq!(
        step(&targets, &generation),
        MigrationStep::HandOver(keys[1])
    );
}

/// Further copies of generations that were already handed over occupied engines with a KV capacity
/// of 27,000 tokens that were two thirds full, and new prompts waited there for seconds.
#[test]
fn a_generation_that_is_handed_over_is_not_copied_again() {
    let (targets, keys) = draining_engine();
    let generation = GenerationState {
        is_handed_over: true,
        ..draining_generation(&keys, 100, 800)
    };
    assert_eq!(step(&targets, &generation), MigrationStep::Stay);
}

#[test]
fn a_generation_has_at_most_one_copy_in_progress() {
    let (targets, keys) = draining_engine();
    let generation = GenerationState {
        is_copying: true,
        ..draining_generation(&keys, 100, 800)
    };
    assert_eq!(step(&targets, &generation), MigrationStep::Stay);
}

#[test]
fn a_copy_that_is_about_to_expire_is_renewed_at_its_engine() {
    let (targets, keys) = draining_engine();
    let completed_at = NOW.saturating_sub(Duration::from_secs(4));
    let kv_copy = KvCopy {
        target: keys[1],
        completed_at,
    };
    let generation = GenerationState {
        kv_copy: Some(kv_copy),
        ..draining_generation(&keys, 100, 800)
    };
    assert_eq!(
        step(&targets, &generation),
        MigrationStep::Copy(Some(keys[1]))
    );
}

/// A generation near its end occupies more KV cache than a new one of the same length.
#[test]
fn the_expected_kv_size_includes_the_generated_tokens() {
    let nearly_complete = GenerationDemand {
        generated_tokens: 700,
        ..LONG_GENERATION
    };
    assert_eq!(LONG_GENERATION.mean_kv_tokens(), 3400);
    assert_eq!(nearly_complete.mean_kv_tokens(), 3750);
}

/// Two of the four engines of a zone end at once, and the others cannot hold all of their
/// generations. Copies to another region that start first delay all others until the engine ends.
#[test]
fn copies_to_another_region_start_after_a_delay() {
    let (mut targets, keys) = engines(&["a", "c"]);
    targets.mark_draining(keys[0], NOW);
    let choose = |elapsed_ms| {
        let source = targets.get(keys[0]).unwrap();
        let now = NOW + Duration::from_millis(elapsed_ms);
        choose_destination(
            &targets,
            &service(),
            source,
            LONG_GENERATION.mean_kv_tokens(),
            &keys[..1],
            &UNRESTRICTED,
            now,
        )
        .map(PermittedTarget::key)
    };
    assert_eq!(choose(0), None);
    assert_eq!(choose(650), None);
    assert_eq!(choose(750), Some(keys[1]));
}

/// An engine in another zone of the region is preferred even if it is nearly full.
#[test]
fn another_zone_is_preferred_to_another_region() {
    let (mut targets, keys) = engines(&["a", "c", "b"]);
    targets.mark_draining(keys[0], NOW);
    targets.add_request(
        keys[2],
        KV_CAPACITY_TOKENS - 2 * LONG_GENERATION.mean_kv_tokens(),
        0,
        1,
    );
    let source = targets.get(keys[0]).unwrap();
    let now = NOW + Duration::from_secs(1);
    let key = choose_destination(
        &targets,
        &service(),
        source,
        LONG_GENERATION.mean_kv_tokens(),
        &keys[..1],
        &UNRESTRICTED,
        now,
    )
    .map(PermittedTarget::key);
    assert_eq!(key, Some(keys[2]));
}

#[test]
fn an_engine_of_the_zone_is_preferred_while_it_has_capacity() {
    let (key, keys) = chosen_destination(&["a", "b", "a"], &[(2, 9000)], &[]);
    assert_eq!(key, Some(keys[2]));
}

#[test]
fn another_zone_is_used_when_the_zone_is_full() {
    let (key, keys) = chosen_destination(&["a", "b", "a"], &[(2, KV_CAPACITY_TOKENS)], &[]);
    assert_eq!(key, Some(keys[1]));
}

#[test]
fn an_engine_with_pending_prefill_is_avoided() {
    let (key, keys) = chosen_destination(&["a", "a", "a"], &[(2, 9000)], &[(1, 3000)]);
    assert_eq!(key, Some(keys[2]));
}
