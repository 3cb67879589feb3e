//! A short seeded soak for CI, and every seed that ever failed.

use std::path::PathBuf;
use std::time::Duration;

use mimosagap_soak::plan::plan;
use mimosagap_soak::run::{Options, run};
use rstest::rstest;

const LENGTH: Duration = Duration::from_secs(8);

/// The gateway that the test command built.
fn program() -> PathBuf {
    let mut folder = std::env::current_exe().expect("a test has a path");
    folder.pop();
    folder.pop();
    folder.join("mimosagapd")
}

#[rstest]
#[case::first(1, 22_000)]
#[case::second(2, 22_100)]
#[case::third(3, 22_200)]
fn no_promise_is_broken(#[case] seed: u64, #[case] base_port: u16) {
    let folder = std::env::temp_dir().join(format!("mimosagap-soak-{seed}-{}", std::process::id()));
    let options = Options {
        seed,
        length: LENGTH,
        program: program(),
        folder: folder.clone(),
        base_port,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime starts");
    let tasks = tokio::task::LocalSet::new();
    let outcome = tasks
        .block_on(&runtime, run(&options))
        .expect("the processes start");
    assert!(
        outcome.violations.is_empty(),
        "seed {seed}, logs in {}, plan {:#?}: {:#?}",
        folder.display(),
        plan(seed, LENGTH),
        outcome.violations
    );
    assert!(outcome.served > 100, "{} served", outcome.served);
    std::fs::remove_dir_all(folder).expect("the logs can be removed");
}

#[test]
fn a_seed_gives_the_same_plan() {
    assert_eq!(plan(7, LENGTH), plan(7, LENGTH));
    assert_ne!(plan(7, LENGTH), plan(8, LENGTH));
}
