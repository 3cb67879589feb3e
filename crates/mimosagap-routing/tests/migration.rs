//! Engines that are taken away two seconds after their notice.

mod support;

use std::time::Duration;

use mimosagap_routing::migration::{
    GenerationState, KvCopy, MigrationStep, choose_destination, next_step,
};
use mimosagap_routing::placement::GenerationDemand;
use mimosagap_routing::targets::{TargetKey, TargetTable};
use mimosagap_routing::token_time::TokenTimeEstimator;
use support::{MEMORY, NOW, QUOTE, engines, service};

fn chosen(
    zones: &[&str],
    fill: &[(usize, u32)],
    unread: &[(usize, u32)],
) -> (Option<TargetKey>, Vec<TargetKey>) {
    let (mut targets, keys) = engines(zones);
    for (index, tokens) in fill {
        targets.add_request(keys[*index], *tokens, 0, 1);
    }
    for (index, tokens) in unread {
        targets.add_request(keys[*index], *tokens, *tokens, 1);
    }
    let source = targets.get(keys[0]).unwrap();
    let key = choose_destination(
        &targets,
        &service(),
        source,
        QUOTE.mean_kv_tokens(),
        &[keys[0]],
        NOW,
    );
    (key, keys)
}

/// A run that has made some of its expected tokens on an engine that leaves.
fn leaving_run(keys: &[TargetKey], generated_tokens: u32, expected_tokens: u32) -> GenerationState {
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

/// Two engines, of which the first leaves.
fn leaving_engine() -> (TargetTable, Vec<TargetKey>) {
    let (mut targets, keys) = engines(&["a", "a"]);
    targets.mark_draining(keys[0], NOW);
    (targets, keys)
}

fn step(targets: &TargetTable, run: &GenerationState) -> MigrationStep {
    next_step(targets, &service(), run, NOW)
}

#[test]
fn a_generation_that_ends_in_time_stays() {
    let (targets, keys) = leaving_engine();
    let step = |made, expected| step(&targets, &leaving_run(&keys, made, expected));
    assert_eq!(step(40, 100), MigrationStep::Stay);
    assert_eq!(step(200, 230), MigrationStep::Stay);
    assert_eq!(step(100, 800), MigrationStep::Copy(None));
    // One that is longer than expected may go on for long.
    assert_eq!(step(900, 800), MigrationStep::Copy(None));
}

/// Load pattern: callers' estimates are often too short, so a generation that is about as long as
/// expected goes on for as long as many others. It got its copy only after it had passed the
/// estimate, too late for the link.
#[test]
fn a_long_generation_near_its_expected_length_is_moved() {
    let (targets, keys) = leaving_engine();
    let run = leaving_run(&keys, 580, 600);
    assert_eq!(step(&targets, &run), MigrationStep::Copy(None));
}

/// Load pattern: engines that make tokens four times as fast end in time what others do not.
#[test]
fn a_generation_on_a_fast_engine_ends_in_time() {
    let (targets, keys) = leaving_engine();
    let mut pace = TokenTimeEstimator::default();
    for _ in 0..40 {
        pace.record(500, Duration::from_millis(1500));
    }
    let run = GenerationState {
        time_per_token: pace.time_per_token(),
        ..leaving_run(&keys, 200, 400)
    };
    assert_eq!(step(&targets, &run), MigrationStep::Stay);
    let usual = leaving_run(&keys, 200, 400);
    assert_eq!(step(&targets, &usual), MigrationStep::Copy(None));
}

#[test]
fn a_generation_on_an_engine_that_stays_is_not_moved() {
    let (targets, keys) = engines(&["a", "a"]);
    let run = leaving_run(&keys, 100, 800);
    assert_eq!(step(&targets, &run), MigrationStep::Stay);
}

/// Load pattern: copies were used when their engine ended, and waited for up to 300 ms behind a
/// prompt that the other engine had just begun to read.
#[test]
fn a_run_is_handed_over_when_no_prompt_is_being_read() {
    let (mut targets, keys) = leaving_engine();
    let copy = KvCopy {
        target: keys[1],
        completed_at: NOW,
    };
    let run = GenerationState {
        kv_copy: Some(copy),
        ..leaving_run(&keys, 100, 800)
    };
    targets.add_request(keys[1], 3400, 3000, 1);
    assert_eq!(step(&targets, &run), MigrationStep::Await(keys[1]));
    targets.finish_prefill(keys[1], 3000, 1, 0, Duration::from_millis(400));
    assert_eq!(step(&targets, &run), MigrationStep::HandOver(keys[1]));
}

/// Load pattern: engines with 27,000 tokens of memory are two thirds full. Each run that was handed
/// over was copied once more meanwhile, and these copies kept new prompts waiting for seconds.
#[test]
fn a_run_that_is_handed_over_is_not_copied_again() {
    let (targets, keys) = leaving_engine();
    let run = GenerationState {
        is_handed_over: true,
        ..leaving_run(&keys, 100, 800)
    };
    assert_eq!(step(&targets, &run), MigrationStep::Stay);
}

#[test]
fn a_run_has_one_copy_in_progress() {
    let (targets, keys) = leaving_engine();
    let run = GenerationState {
        is_copying: true,
        ..leaving_run(&keys, 100, 800)
    };
    assert_eq!(step(&targets, &run), MigrationStep::Stay);
}

#[test]
fn a_copy_that_is_about_to_lapse_is_renewed_at_its_engine() {
    let (targets, keys) = leaving_engine();
    let completed_at = NOW.saturating_sub(Duration::from_secs(4));
    let copy = KvCopy {
        target: keys[1],
        completed_at,
    };
    let run = GenerationState {
        kv_copy: Some(copy),
        ..leaving_run(&keys, 100, 800)
    };
    assert_eq!(step(&targets, &run), MigrationStep::Copy(Some(keys[1])));
}

/// A run that has made most of its tokens fills more memory than a new one of that length.
#[test]
fn a_copy_counts_with_what_its_run_has_made() {
    let late = GenerationDemand {
        generated_tokens: 700,
        ..QUOTE
    };
    assert_eq!(QUOTE.mean_kv_tokens(), 3400);
    assert_eq!(late.mean_kv_tokens(), 3750);
}

/// Load pattern: two engines of a zone of four are taken away at once, and what the others cannot
/// hold was copied to another region first, which held up all other copies until the engine ended.
#[test]
fn a_copy_to_another_region_waits_for_the_near_ones() {
    let (mut targets, keys) = engines(&["a", "c"]);
    targets.mark_draining(keys[0], NOW);
    let choose = |after_ms| {
        let source = targets.get(keys[0]).unwrap();
        let now = NOW + Duration::from_millis(after_ms);
        choose_destination(
            &targets,
            &service(),
            source,
            QUOTE.mean_kv_tokens(),
            &keys[..1],
            now,
        )
    };
    assert_eq!(choose(0), None);
    assert_eq!(choose(650), None);
    assert_eq!(choose(750), Some(keys[1]));
}

/// The copy goes to another zone of the region even if it is nearly full.
#[test]
fn a_copy_to_another_region_is_the_last_resort() {
    let (mut targets, keys) = engines(&["a", "c", "b"]);
    targets.mark_draining(keys[0], NOW);
    targets.add_request(keys[2], MEMORY - 2 * QUOTE.mean_kv_tokens(), 0, 1);
    let source = targets.get(keys[0]).unwrap();
    let late = NOW + Duration::from_secs(1);
    let key = choose_destination(
        &targets,
        &service(),
        source,
        QUOTE.mean_kv_tokens(),
        &keys[..1],
        late,
    );
    assert_eq!(key, Some(keys[2]));
}

#[test]
fn a_copy_stays_within_the_zone_while_it_has_room() {
    let (key, keys) = chosen(&["a", "b", "a"], &[(2, 9000)], &[]);
    assert_eq!(key, Some(keys[2]));
}

#[test]
fn a_copy_leaves_a_zone_that_is_full() {
    let (key, keys) = chosen(&["a", "b", "a"], &[(2, MEMORY)], &[]);
    assert_eq!(key, Some(keys[1]));
}

#[test]
fn an_engine_with_unread_prompts_is_avoided() {
    let (key, keys) = chosen(&["a", "a", "a"], &[(2, 9000)], &[(1, 3000)]);
    assert_eq!(key, Some(keys[2]));
}
