//! A later invocation adds to the results of earlier ones, so a repeated run must replace its
//! predecessor. The table must show the spread over the seeds.

use std::collections::BTreeMap;
use std::path::Path;

use mimosagap_load::engines::FleetStatistics;
use mimosagap_load::experiment::{ExperimentResults, ExperimentRun, SeedSpread};
use mimosagap_load::fleet::experiment_rules;
use mimosagap_load::plot;
use mimosagap_load::summary::{GroupSummary, RunSummary};
use mimosagap_load::workload::Workload;
use rstest::rstest;

fn experiment_run(policy: &str, seed: u64, preemptions: u64) -> ExperimentRun {
    ExperimentRun {
        policy: policy.to_owned(),
        variant: None,
        summary: RunSummary {
            workload: "test".to_owned(),
            seed,
            total: GroupSummary::default(),
            classes: BTreeMap::new(),
            engines: Some(FleetStatistics {
                preemptions,
                ..FleetStatistics::default()
            }),
        },
    }
}

fn results() -> ExperimentResults {
    let mut results = ExperimentResults::default();
    results.add(experiment_run("forecast", 1, 99));
    results.add(experiment_run("forecast", 1, 2));
    results.add(experiment_run("forecast", 2, 4));
    results.add(experiment_run("two-choices", 1, 30));
    results
}

#[test]
fn repeated_run_replaces_the_earlier_one() {
    let results = results();
    assert_eq!(results.runs.len(), 3);
    let preemptions = |run: &RunSummary| {
        let statistics = run.engines.clone().unwrap_or_default();
        f64::from(u32::try_from(statistics.preemptions).unwrap())
    };
    let expected = SeedSpread {
        mean: 3.0,
        min: 2.0,
        max: 4.0,
    };
    assert_eq!(results.spread(preemptions)["forecast"], expected);
}

#[test]
fn table_has_a_column_for_each_policy() {
    let table = results().table();
    assert!(table.starts_with("| figure | forecast | two-choices |"));
    assert!(table.contains("| preemptions | 3.0 (2.0–4.0) | 30.0 (30.0–30.0) |"));
}

#[test]
fn plot_is_an_svg_with_the_policies() {
    let path = std::env::temp_dir().join(format!("mimosagap-plot-{}.svg", std::process::id()));
    plot::draw_charts(&results(), &path).unwrap();
    let text = std::fs::read_to_string(&path).unwrap();
    std::fs::remove_file(&path).unwrap();
    assert!(text.starts_with("<svg"));
    assert!(text.contains("two-choices"));
}

#[rstest]
#[case("brandao.json")]
#[case("port-of-spain.json")]
fn rules_of_an_experiment_are_valid(#[case] name: &str) {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../workloads");
    let workload = Workload::read(&directory.join(name), None).unwrap();
    let text = experiment_rules(&workload, "least-outstanding");
    let lines = mimosagap_rules::parse_rules(&text).unwrap();
    assert_eq!(lines.len(), 10 + 2 + 1 + 1);
}

/// Guards against taking a results file that cannot be read for a missing one, and overwriting the
/// results of earlier seeds.
#[test]
fn an_unreadable_results_file_is_an_error() {
    let directory = std::env::temp_dir();
    let error = ExperimentResults::read(&directory).expect_err("a directory holds no results");
    assert!(error.to_string().contains("cannot be read"), "{error}");
    let missing = directory.join(format!("mimosagap-no-results-{}.json", std::process::id()));
    let results = ExperimentResults::read(&missing).expect("a missing file means no results yet");
    assert!(results.runs.is_empty());
}
