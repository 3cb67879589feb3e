//! Engines that are taken away two seconds after their notice.

mod support;

use std::time::Duration;

use mimosagap_routing::backup::choose_backup;
use mimosagap_routing::moves::{can_take_over, destination, is_worth_moving};
use mimosagap_routing::placement::StreamNeed;
use mimosagap_routing::targets::TargetKey;
use support::{MEMORY, NOW, QUOTE, engines, service};

fn chosen(
    zones: &[&str],
    fill: &[(usize, u32)],
    unread: &[(usize, u32)],
) -> (Option<TargetKey>, Vec<TargetKey>) {
    let (mut targets, keys) = engines(zones);
    for (index, tokens) in fill {
        targets.begin(keys[*index], *tokens, 0, 1);
    }
    for (index, tokens) in unread {
        targets.begin(keys[*index], *tokens, *tokens, 1);
    }
    let source = targets.get(keys[0]).unwrap();
    let key = destination(
        &targets,
        &service(),
        source,
        QUOTE.tokens(),
        &[keys[0]],
        NOW,
    );
    (key, keys)
}

#[test]
fn a_generation_that_ends_in_time_stays() {
    assert!(!is_worth_moving(40, 100));
    assert!(!is_worth_moving(200, 230));
    assert!(is_worth_moving(100, 800));
    // One that is longer than expected may go on for long.
    assert!(is_worth_moving(900, 800));
}

/// Load pattern: callers' estimates are often too short, so a generation that is about as long as
/// expected goes on for as long as many others. It got its copy only after it had passed the
/// estimate, too late for the link.
#[test]
fn a_long_generation_near_its_expected_length_is_moved() {
    assert!(is_worth_moving(580, 600));
}

/// Load pattern: two engines of a zone of four are taken away at once, and what the others cannot
/// hold was copied to another region first, which held up all other copies until the engine ended.
#[test]
fn a_copy_to_another_region_waits_for_the_near_ones() {
    let (mut targets, keys) = engines(&["a", "c"]);
    targets.leaves(keys[0], NOW);
    let choose = |after_ms| {
        let source = targets.get(keys[0]).unwrap();
        let now = NOW + Duration::from_millis(after_ms);
        destination(
            &targets,
            &service(),
            source,
            QUOTE.tokens(),
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
    targets.leaves(keys[0], NOW);
    targets.begin(keys[2], MEMORY - 2 * QUOTE.tokens(), 0, 1);
    let source = targets.get(keys[0]).unwrap();
    let late = NOW + Duration::from_secs(1);
    let key = destination(
        &targets,
        &service(),
        source,
        QUOTE.tokens(),
        &keys[..1],
        late,
    );
    assert_eq!(key, Some(keys[2]));
}

/// Load pattern: copies were used when their engine ended, and waited for up to 300 ms behind a
/// prompt that the other engine had just begun to read.
#[test]
fn a_run_is_handed_over_when_no_prompt_is_being_read() {
    let (mut targets, keys) = engines(&["a"]);
    assert!(can_take_over(targets.get(keys[0]).unwrap(), NOW));
    targets.begin(keys[0], 3400, 3000, 1);
    assert!(!can_take_over(targets.get(keys[0]).unwrap(), NOW));
    targets.prompt_read(keys[0], 3000, 1, 0, Duration::from_millis(400));
    assert!(can_take_over(targets.get(keys[0]).unwrap(), NOW));
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

#[test]
fn copies_from_the_start_use_only_free_memory() {
    let (mut targets, keys) = engines(&["a", "a"]);
    let backup = |targets: &_| choose_backup(targets, &service(), keys[0], QUOTE, NOW);
    assert_eq!(backup(&targets), Some(keys[1]));
    targets.begin(keys[1], MEMORY / 2, 0, 1);
    assert_eq!(backup(&targets), None);
}

/// Load pattern: engines are taken away while the others fill; the ones that are empty now take the
/// next requests.
#[test]
fn a_loaded_fleet_makes_no_copies_from_the_start_on_its_last_free_engine() {
    let (mut targets, keys) = engines(&["a", "a", "a"]);
    let backup = |targets: &_| choose_backup(targets, &service(), keys[0], QUOTE, NOW);
    targets.begin(keys[0], MEMORY / 2, 0, 1);
    assert_eq!(backup(&targets), Some(keys[1]));
    targets.begin(keys[1], MEMORY / 2, 0, 1);
    assert_eq!(backup(&targets), None);
}

#[test]
fn a_short_answer_gets_no_copy_from_the_start() {
    let (targets, keys) = engines(&["a", "a"]);
    let short = StreamNeed {
        output: 20,
        ..QUOTE
    };
    assert_eq!(
        choose_backup(&targets, &service(), keys[0], short, NOW),
        None
    );
}
