//! Rebuilds the tests when a scenario is added, as each script is a test of its own.

fn main() {
    println!("cargo::rerun-if-changed=scenarios");
}
