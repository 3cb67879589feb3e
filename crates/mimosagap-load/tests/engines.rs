//! The figures over engines must show work that was done twice, refusals that were untrue, and
//! work for engines that were leaving.

use std::collections::BTreeSet;

use mimosagap_load::engines::{EngineStatistics, FleetFigures};
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
fn repeated_starts_and_untrue_refusals_are_counted() {
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
    let refused = BTreeSet::from(["7-2".to_owned(), "7-3".to_owned()]);
    let figures = FleetFigures::new(&engines, 7, &refused);
    assert_eq!(figures.started_again, 1);
    assert_eq!(figures.not_run_but_started, 1);
    assert_eq!((figures.engines, figures.silent_engines), (2, 1));
    assert_eq!(figures.preemptions, 6);
}

#[test]
fn the_last_start_after_leaving_is_found() {
    let generations = json!([generation("7-1", 1_000), generation("7-2", 3_500)]);
    let engines = [Some(statistics([0, 0], Some(2_000), &generations))];
    let figures = FleetFigures::new(&engines, 7, &BTreeSet::new());
    assert_eq!(figures.last_start_after_leave_ms, 1_500);
}

#[test]
fn the_mean_memory_is_that_between_two_readings() {
    let none = json!([]);
    let first = [Some(statistics([100, 10], None, &none)), None];
    let last = [
        Some(statistics([900, 20], None, &none)),
        Some(statistics([900, 20], None, &none)),
    ];
    let mut figures = FleetFigures::default();
    figures.set_memory_mean(&first, &last);
    assert!((figures.memory_mean - 0.8).abs() < 1e-9);
}
