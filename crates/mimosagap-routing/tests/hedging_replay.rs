//! Calls of a plain service whose targets slow down 2.5-fold for 15% of the time, 600 ms at a time.
//! Run with `--nocapture` for the figures of docs/design/hedging.md.

#[path = "support/hedge_simulation.rs"]
mod hedge_simulation;

use std::time::Duration;

use hedge_simulation::{HedgeLoad, HedgePolicy, HedgeReport, percentile, replay};
use rstest::rstest;

/// The limit of the requirements, in hedges per call of the service.
const RATIO: f64 = 0.03;

const LEARNED: HedgePolicy = HedgePolicy::Learned(RATIO);

/// Seeds over which percentiles are averaged.
const SEEDS: std::ops::Range<u64> = 0..3;

/// The same for short replays.
const MANY_SEEDS: std::ops::Range<u64> = 0..40;

fn load(hosts: usize, calls_per_second: f64, idempotent_share: f64) -> HedgeLoad {
    HedgeLoad {
        hosts,
        calls_per_second,
        idempotent_share,
        // A host of a large fleet sees few calls, from which it learns slowly.
        warm_up_seconds: if hosts > 1 { 300.0 } else { 60.0 },
        seconds: 600.0,
        seed: 1,
    }
}

fn run(policy: HedgePolicy, load: HedgeLoad) -> Vec<HedgeReport> {
    run_seeds(policy, load, SEEDS)
}

fn run_seeds(
    policy: HedgePolicy,
    load: HedgeLoad,
    seeds: std::ops::Range<u64>,
) -> Vec<HedgeReport> {
    let reports: Vec<_> = seeds
        .map(|seed| replay(policy, HedgeLoad { seed, ..load }))
        .collect();
    println!(
        "{policy:?}, {} hosts, {} calls/s: mean p99 {:.0} ms, others {:.0} ms, extra {:.2}%, queue {:.0}; first seed: {}",
        load.hosts,
        load.calls_per_second,
        p99(&reports),
        others_p99(&reports),
        100.0 * mean(&reports, HedgeReport::extra_ratio),
        mean(&reports, HedgeReport::max_queue),
        reports[0].summary()
    );
    reports
}

fn mean(reports: &[HedgeReport], value: impl Fn(&HedgeReport) -> f64) -> f64 {
    let count = u32::try_from(reports.len()).unwrap();
    reports.iter().map(value).sum::<f64>() / f64::from(count)
}

fn p99(reports: &[HedgeReport]) -> f64 {
    mean(reports, |report| percentile(&report.idempotent_ms, 0.99))
}

fn others_p99(reports: &[HedgeReport]) -> f64 {
    mean(reports, |report| percentile(&report.other_ms, 0.99))
}

/// Guards the goal of the requirements where one process sees all calls: a third less at no more
/// than 3% extra runs, and no slower calls on other routes.
#[rstest]
#[case::first_deployment(131.4, 0.409)]
#[case::second_deployment(141.3, 0.285)]
#[case::light_load(100.0, 0.35)]
fn learned_hedges_cut_the_tail_by_a_third(#[case] rate: f64, #[case] share: f64) {
    let load = load(1, rate, share);
    let (none, learned) = (run(HedgePolicy::None, load), run(LEARNED, load));
    let reduction = 1.0 - p99(&learned) / p99(&none);
    assert!(reduction >= 1.0 / 3.0, "{reduction}");
    assert!(learned.iter().all(|report| report.extra_ratio() <= RATIO));
    assert!(others_p99(&learned) <= others_p99(&none));
}

/// Guards against hedging that needs more calls per host than large fleets have. Hosts learn
/// nothing from each other here, so the tail is cut by less than a third.
#[rstest]
#[case::few(6, 131.4, 0.409)]
#[case::first_deployment(79, 131.4, 0.409)]
#[case::second_deployment(106, 141.3, 0.285)]
fn hosts_of_a_fleet_cut_the_tail_within_the_limit(
    #[case] hosts: usize,
    #[case] rate: f64,
    #[case] share: f64,
) {
    let load = load(hosts, rate, share);
    let (none, learned) = (run(HedgePolicy::None, load), run(LEARNED, load));
    let reduction = 1.0 - p99(&learned) / p99(&none);
    assert!(reduction >= 0.2, "{reduction}");
    assert!(mean(&learned, HedgeReport::extra_ratio) <= RATIO);
}

/// Guards the choice of the learned percentile among the alternatives.
#[test]
fn alternatives_cost_more_or_gain_less() {
    let load = load(1, 131.4, 0.409);
    let learned = run(LEARNED, load);
    let today = run(HedgePolicy::Fixed(Duration::from_millis(225)), load);
    let fixed = run(HedgePolicy::Fixed(Duration::from_millis(100)), load);
    let tied = run(HedgePolicy::Tied, load);
    assert!(p99(&today) > 1.3 * p99(&learned));
    assert!(p99(&fixed) > 1.1 * p99(&learned));
    // Idle targets begin both requests of a pair before the cancellation arrives.
    assert!(mean(&tied, HedgeReport::extra_ratio) > 10.0 * RATIO);
}

/// Guards against hedges that lengthen the queue of an overloaded service for all.
#[test]
fn an_overloaded_service_is_not_hedged() {
    let load = HedgeLoad {
        seconds: 15.0,
        warm_up_seconds: 0.0,
        ..load(1, 880.0, 0.4)
    };
    let run = |policy| run_seeds(policy, load, MANY_SEEDS);
    let (none, learned) = (run(HedgePolicy::None), run(LEARNED));
    let fixed = run(HedgePolicy::Fixed(Duration::from_millis(100)));
    assert!(mean(&learned, HedgeReport::extra_ratio) < 0.002);
    assert!(mean(&fixed, HedgeReport::extra_ratio) > 0.02);
    let queue = |reports: &[HedgeReport]| mean(reports, HedgeReport::max_queue);
    assert!(queue(&fixed) > 1.2 * queue(&none));
    assert!(queue(&learned) < 1.05 * queue(&none));
    assert!(p99(&learned) < 1.05 * p99(&none));
    assert!(others_p99(&learned) < 1.05 * others_p99(&none));
}
