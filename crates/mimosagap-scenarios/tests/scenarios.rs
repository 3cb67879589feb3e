//! Runs every script in `scenarios/` against real processes. Each script is a test case.

use std::path::PathBuf;

use mimosagap_scenarios::script::{run_scenario, validate_script};
use rstest::rstest;

/// Guards against violated invariants and unexpected results under the faults that the script
/// injects.
#[rstest]
fn scenario(#[files("scenarios/*.txt")] path: PathBuf) {
    let name = path.file_stem().expect("a file name").to_string_lossy();
    let input = std::fs::read_to_string(&path).expect("the script is readable");
    if let Err(report) = run_scenario(&name, &input) {
        panic!("{report}");
    }
}

/// Guards against a mistyped step that fails only after the long run of the steps before it.
#[rstest]
fn script_is_well_formed(#[files("scenarios/*.txt")] path: PathBuf) {
    let input = std::fs::read_to_string(&path).expect("the script is readable");
    validate_script(&input).expect("every step can be parsed");
}
