//! Recompiles the tests when a script is added, because each script becomes a test case at compile
//! time.

fn main() {
    println!("cargo::rerun-if-changed=scenarios");
}
