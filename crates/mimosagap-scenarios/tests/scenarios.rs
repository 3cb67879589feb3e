//! Runs every script in `scenarios/` against real processes.

use std::path::PathBuf;

use mimosagap_scenarios::script::{check_script, run_scenario};
use rstest::rstest;

/// Guards against any broken invariant under the faults that the script injects.
#[rstest]
fn scenario(#[files("scenarios/*.txt")] path: PathBuf) {
    let name = path.file_stem().expect("a file name").to_string_lossy();
    let input = std::fs::read_to_string(&path).expect("the script is readable");
    if let Err(report) = run_scenario(&name, &input) {
        panic!("{report}");
    }
}

/// Guards against a mistyped step that is noticed only after a long part of its scenario.
#[rstest]
fn script_is_well_formed(#[files("scenarios/*.txt")] path: PathBuf) {
    let input = std::fs::read_to_string(&path).expect("the script is readable");
    check_script(&input).expect("every step is understood");
}
