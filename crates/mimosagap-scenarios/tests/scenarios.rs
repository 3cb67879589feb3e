//! Runs every script in `scenarios/` against real processes.

use std::path::{Path, PathBuf};

use mimosagap_scenarios::script::{check_script, run_scenario};
use rstest::rstest;

fn run(path: &Path) {
    let name = path.file_stem().expect("a file name").to_string_lossy();
    let input = std::fs::read_to_string(path).expect("the script is readable");
    if let Err(report) = run_scenario(&name, &input) {
        panic!("{report}");
    }
}

/// Guards against any broken invariant under the faults that the script injects.
#[rstest]
fn scenario(#[files("scenarios/*.txt")] path: PathBuf) {
    run(&path);
}

/// Scenarios that fail because of a fault listed in KNOWN-RED.txt. A script moves to `scenarios/`
/// when its fault is corrected.
#[rstest]
fn known_red_scenario(#[files("scenarios/known_red/*.txt")] path: PathBuf) {
    run(&path);
}

/// Guards against a mistyped step that is noticed only after a long part of its scenario.
#[rstest]
fn script_is_well_formed(#[files("scenarios/**/*.txt")] path: PathBuf) {
    let input = std::fs::read_to_string(&path).expect("the script is readable");
    check_script(&input).expect("every step is understood");
}
