//! A short seeded soak for CI, and every seed that ever failed.

use std::path::PathBuf;
use std::time::Duration;

use mimosagap_soak::plan::plan;
use mimosagap_soak::run::{Options, run};
use rstest::rstest;

const LENGTH: Duration = Duration::from_secs(8);

/// Length of the runs by hand, whose plans a shorter run would not repeat.
const HAND_LENGTH: Duration = Duration::from_secs(12);

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
    soak(seed, base_port, LENGTH);
}

/// Seeds that failed by hand, each with its cause.
#[rstest]
// A target left while the store was silent; the check held hosts to the bound although none of
// them could have heard of it.
#[case::left_in_an_outage(107, 22_300)]
// The test of recovery drew the revoked key for 11 of its 40 requests, which were refused with 401.
#[case::revoked_key_after_the_faults(530, 22_400)]
#[case::revoked_key_again(536, 22_500)]
fn a_seed_that_failed_stays_clean(#[case] seed: u64, #[case] base_port: u16) {
    soak(seed, base_port, HAND_LENGTH);
}

fn soak(seed: u64, base_port: u16, length: Duration) {
    let folder = std::env::temp_dir().join(format!("mimosagap-soak-{seed}-{}", std::process::id()));
    let options = Options {
        seed,
        length,
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
        plan(seed, length),
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
