//! Runs the soak by hand.
#![deny(unsafe_code, missing_docs)]

use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use mimosagap_soak::plan::Plan;
use mimosagap_soak::run::{Options, Outcome, run};
use pico_args::Arguments;

const HELP: &str = "\
mimosagap-soak: real gateways under injected faults

Usage: mimosagap-soak [--seed N] [--count N] [--seconds N] [--shrink] [OPTIONS]
       mimosagap-soak --plan FILE [--shrink] [OPTIONS]

  --seed N        first seed (default 1); a seed determines faults and requests
  --count N       seeds to run, one after the other (default 1)
  --seconds N     how long faults strike (default 12)
  --plan FILE     run a plan, as a failed run leaves it in its folder
  --shrink        after a failure, leave out steps and name the smallest plan that still fails
  --program FILE  the gateway (default target/release/mimosagapd)
  --folder DIR    settings and logs of each seed (default target/soak)
  --port N        first port of the gateways (default 21000)

Exit codes: 0 no promise was broken, 1 one was, 2 wrong options.
";

/// What is run, and where.
struct SoakOptions {
    plans: Vec<Plan>,
    shrink: bool,
    program: PathBuf,
    folder: PathBuf,
    base_port: u16,
}

fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    match read(arguments) {
        Ok(options) => soak(&options),
        Err(error) => {
            eprintln!("mimosagap-soak: {error}; see mimosagap-soak --help");
            ExitCode::from(2)
        }
    }
}

fn read(mut arguments: Arguments) -> Result<SoakOptions, Box<dyn Error>> {
    let first = arguments.opt_value_from_str("--seed")?.unwrap_or(1);
    let count: u64 = arguments.opt_value_from_str("--count")?.unwrap_or(1);
    let seconds = arguments.opt_value_from_str("--seconds")?.unwrap_or(12);
    let file: Option<PathBuf> = arguments.opt_value_from_str("--plan")?;
    let shrink = arguments.contains("--shrink");
    let program: Option<PathBuf> = arguments.opt_value_from_str("--program")?;
    let folder: Option<PathBuf> = arguments.opt_value_from_str("--folder")?;
    let base_port = arguments.opt_value_from_str("--port")?.unwrap_or(21_000);
    let rest = arguments.finish();
    if !rest.is_empty() {
        return Err(format!("not understood: {rest:?}").into());
    }
    let length = Duration::from_secs(seconds);
    let plans = match file {
        Some(file) => vec![serde_json::from_str(&std::fs::read_to_string(file)?)?],
        None => (first..first + count)
            .map(|seed| Plan::new(seed, length))
            .collect(),
    };
    Ok(SoakOptions {
        plans,
        shrink,
        program: program.unwrap_or_else(|| PathBuf::from("target/release/mimosagapd")),
        folder: folder.unwrap_or_else(|| PathBuf::from("target/soak")),
        base_port,
    })
}

fn soak(options: &SoakOptions) -> ExitCode {
    let mut is_clean = true;
    for plan in &options.plans {
        let name = plan.seed.to_string();
        let outcome = run_plan(options, plan, &name);
        report(plan, &outcome);
        let has_failed = outcome.is_err() || outcome.is_ok_and(|one| !one.violations.is_empty());
        is_clean &= !has_failed;
        if has_failed {
            let file = options.folder.join(&name).join("plan.json");
            match write_plan(plan, &file) {
                Ok(()) => println!("  plan and logs in {}", file.with_file_name("").display()),
                Err(error) => println!("  the plan could not be written: {error}"),
            }
            if options.shrink {
                shrink(options, plan, &name);
            }
        }
    }
    if is_clean {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn run_plan(options: &SoakOptions, plan: &Plan, name: &str) -> std::io::Result<Outcome> {
    let options = Options {
        plan: plan.clone(),
        program: options.program.clone(),
        folder: options.folder.join(name),
        base_port: options.base_port,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    tokio::task::LocalSet::new().block_on(&runtime, run(&options))
}

fn write_plan(plan: &Plan, file: &Path) -> Result<(), Box<dyn Error>> {
    std::fs::write(file, serde_json::to_string_pretty(plan)?)?;
    Ok(())
}

fn report(plan: &Plan, outcome: &std::io::Result<Outcome>) {
    let seed = plan.seed;
    match outcome {
        Ok(outcome) if outcome.violations.is_empty() => {
            let Outcome { served, sent, .. } = outcome;
            println!("seed {seed}: passed, {served} of {sent} requests served");
        }
        Ok(outcome) => {
            println!("seed {seed}: FAILED");
            for step in &plan.steps {
                println!("  {step:?}");
            }
            for violation in &outcome.violations {
                println!("  {violation}");
            }
        }
        Err(error) => println!("seed {seed}: not run: {error}"),
    }
}

/// Leaves out one step after the other for as long as the plan still fails.
fn shrink(options: &SoakOptions, plan: &Plan, name: &str) {
    let mut smallest = plan.clone();
    let mut step = 0;
    while step < smallest.steps.len() {
        let smaller = smallest.without(step);
        let outcome = run_plan(options, &smaller, &format!("{name}-shrunk"));
        if outcome.is_ok_and(|outcome| !outcome.violations.is_empty()) {
            smallest = smaller;
        } else {
            step += 1;
        }
    }
    println!("  the smallest plan that still fails:");
    for step in &smallest.steps {
        println!("    {step:?}");
    }
}
