//! The fleet statistics must reveal requests that were executed twice, requests refused as
//! `not_run` that were started, and generations started on leaving engines.

use std::collections::BTreeSet;

use mimosagap_load::engines::{EngineStatistics, FleetStatistics};
use serde_json::{Value, json};

fn statistics(memory: [u64; 2], left_at_ms: Option<u64>, generations: &Value) -> EngineStatistics {
    let value = json!({
        "started": 2, "completed": 2, "cancelled": 0, "failed": 0, "tokens": 10,
        "preemptions": 3, "recomputed_tokens": 4, "prefilled_tokens": 5, "memory_peak": 50,
        "memory_sum": memory[0], "memory_samples": memory[1], "memory_tokens": 100,
        "left_at_ms": left_at_ms, "generations": generations,
    });
    serde_json::from_value(value).unwrap()
}

fn generation(request: &str, started_ms: u64) -> Value {
    json!({"id": "x", "request": request, "started_ms": started_ms})
}

#[test]
fn repeated_starts_and_wrong_refusals_are_counted() {
    let first = json!([generation("7-1", 0), generation("7-2", 0)]);
    let second = json!([
        generation("7-1", 0),
        generation("8-2", 0),
        generation("8-2", 0)
    ]);
    let engines = [
        Some(statistics([0, 0], None, &first)),
        Some(statistics([0, 0], None, &second)),
        None,
    ];
    let refused_requests = BTreeSet::from(["7-2".to_owned(), "7-3".to_owned()]);
    let totals = FleetStatistics::new(&engines, 7, &refused_requests);
    assert_eq!(totals.started_again, 1);
    assert_eq!(totals.not_run_but_started, 1);
    assert_eq!((totals.engines, totals.silent_engines), (2, 1));
    assert_eq!(totals.preemptions, 6);
}

#[test]
fn last_start_after_leave_is_found() {
    let generations = json!([generation("7-1", 1_000), generation("7-2", 3_500)]);
    let engines = [Some(statistics([0, 0], Some(2_000), &generations))];
    let totals = FleetStatistics::new(&engines, 7, &BTreeSet::new());
    assert_eq!(totals.last_start_after_leave_ms, 1_500);
}

#[test]
fn mean_memory_covers_the_time_between_two_samples() {
    let no_generations = json!([]);
    let first = [Some(statistics([100, 10], None, &no_generations)), None];
    let last = [
        Some(statistics([900, 20], None, &no_generations)),
        Some(statistics([900, 20], None, &no_generations)),
    ];
    let mut totals = FleetStatistics::default();
    totals.set_mean_memory(&first, &last);
    assert!((totals.memory_mean - 0.8).abs() < 1e-9);
}
