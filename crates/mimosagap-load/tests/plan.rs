//! Policies are comparable only under the same load, so equal seeds must give equal plans. Rates
//! and lengths must follow the workload.

use std::path::Path;
use std::time::Duration;

use mimosagap_load::engines::schedule_faults;
use mimosagap_load::plan::{PlannedRequest, generate_plan};
use mimosagap_load::workload::{LengthDistribution, Workload};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

fn workload(name: &str, variant: Option<&str>) -> Workload {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../workloads");
    Workload::read(&directory.join(name), variant).unwrap()
}

#[rstest]
#[case("brandao.json")]
#[case("port-of-spain.json")]
fn equal_seeds_give_equal_plans(#[case] name: &str) {
    let workload = workload(name, None);
    let plan = generate_plan(&workload, 7);
    assert_eq!(plan, generate_plan(&workload, 7));
    assert_ne!(plan, generate_plan(&workload, 8));
    assert!(plan.is_sorted_by_key(|request| request.at));
}

#[test]
fn arrival_rate_holds_within_and_outside_bursts() {
    let mut workload = workload("brandao.json", None);
    workload.seconds = 2_000.0;
    let plan = generate_plan(&workload, 1);
    let is_in_burst = |request: &&PlannedRequest| request.at.as_secs_f64() % 20.0 < 3.0;
    let burst_arrivals = plan.iter().filter(is_in_burst).count();
    let rate = workload.arrivals.requests_per_second;
    let expected_arrivals = [rate * 1_700.0, rate * 1.5 * 300.0];
    for (found, expected) in [plan.len() - burst_arrivals, burst_arrivals]
        .into_iter()
        .zip(expected_arrivals)
    {
        let found = f64::from(u32::try_from(found).unwrap());
        assert!(
            (found / expected - 1.0).abs() < 0.05,
            "{found} of {expected}"
        );
    }
}

#[test]
fn bodies_have_the_planned_length_and_share_prefixes() {
    let workload = workload("brandao.json", None);
    let plan = generate_plan(&workload, 3);
    let class = &workload.classes[0];
    let quotes: Vec<_> = plan
        .iter()
        .filter(|request| request.class_index == 0 && request.prefix_index == Some(1))
        .collect();
    let inputs: Vec<String> = quotes
        .iter()
        .map(|quote| quote.body(class, 3)["input"].as_str().unwrap().to_owned())
        .collect();
    for (quote, input) in quotes.iter().zip(&inputs) {
        assert_eq!(input.len(), quote.prompt_tokens as usize * 4);
        let shared = input.len().min(1_024);
        assert_eq!(
            input[..shared],
            inputs[0].repeat(2)[..shared.min(inputs[0].len())]
        );
    }
    assert_ne!(inputs[0], inputs[1]);
}

#[rstest]
#[case(LengthDistribution::Lognormal { median: 250.0, sigma: 1.0, max: 4_000 }, 250)]
#[case(LengthDistribution::Pareto { scale: 80.0, shape: 1.2, max: 4_000 }, 142)]
fn heavy_tailed_lengths_are_sampled(#[case] lengths: LengthDistribution, #[case] median: u32) {
    let mut rng = SmallRng::seed_from_u64(5);
    let mut samples: Vec<u32> = (0..20_000).map(|_| lengths.sample(&mut rng)).collect();
    samples.sort_unstable();
    let found_median = samples[10_000];
    assert!(
        found_median.abs_diff(median) <= median / 10,
        "median {found_median}"
    );
    assert!(samples[19_800] > 6 * median);
    assert!(*samples.last().unwrap() <= 4_000);
}

#[test]
fn repeated_fault_is_injected_at_the_engines_in_turn() {
    let workload = workload("brandao.json", Some("reclaimed"));
    let faults = schedule_faults(&workload.faults, 9, Duration::from_secs(150));
    let engines: Vec<_> = faults.iter().map(|fault| fault.engines.clone()).collect();
    assert_eq!(engines, [[1], [2], [3]]);
}

#[test]
fn error_names_the_remedy() {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../workloads");
    let error = Workload::read(&directory.join("brandao.json"), Some("none")).unwrap_err();
    assert_eq!(
        error.to_string(),
        "no variant none in the workload file; add it"
    );
}
