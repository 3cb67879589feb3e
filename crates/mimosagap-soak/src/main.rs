//! The command line of the soak, for runs of any seed or of a stored plan.
#![deny(unsafe_code, missing_docs)]

use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use mimosagap_soak::crash_check::CrashOutcome;
use mimosagap_soak::isolation_check::{IsolationOutcome, ServedCount};
use mimosagap_soak::plan::{FaultPlan, GATEWAY_COUNT};
use mimosagap_soak::run::{RunOptions, RunOutcome, run_soak};
use mimosagap_soak::version_check::{AttemptCount, VersionOutcome};
use pico_args::Arguments;

const HELP: &str = "\
mimosagap-soak: run real gateways under injected faults and check their guarantees

Usage: mimosagap-soak [--seed N] [--count N] [--seconds N] [--shrink] [OPTIONS]
       mimosagap-soak --plan FILE [--shrink] [OPTIONS]

  --seed N        first seed (default 1); a seed determines faults and requests
  --count N       number of consecutive seeds to run, one after the other (default 1)
  --limit N       no drawn faults: a service and an engine name N thousandths of a request per second
                  for all gateways together, and half of it
  --crashing-part no drawn faults: requests with one part of a prompt crash the targets that answer them
  --versions      no drawn faults: engines get other versions of the software, all gateways are killed, and
                  clients resume the streams that broke
  --gateways N    number of gateways, from 1 to 300 (default 3)
  --seconds N     how long faults are injected (default 12)
  --plan FILE     run a stored plan; a failed run writes its plan.json into its folder
  --shrink        after a failure, remove steps and print the smallest plan that still fails
  --program FILE  the gateway's program (default target/release/mimosagapd)
  --earlier FILE  the program of another build, which all gateways run until their first restart
  --folder DIR    where settings and logs of each seed are written (default target/soak)
  --port N        first port of the gateways (default 21000)

Exit codes: 0 all runs passed, 1 a run failed or could not be made, 2 wrong options.
";

/// Most gateways of a run; each is a process.
const MAX_GATEWAYS: usize = 300;

/// The parsed command line.
struct SoakOptions {
    plans: Vec<FaultPlan>,
    shrink: bool,
    program: PathBuf,
    earlier_program: Option<PathBuf>,
    directory: PathBuf,
    base_port: u16,
}

fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    match parse_options(arguments) {
        Ok(options) => run_plans(&options),
        Err(error) => {
            eprintln!("mimosagap-soak: {error}; see mimosagap-soak --help");
            ExitCode::from(2)
        }
    }
}

fn parse_options(mut arguments: Arguments) -> Result<SoakOptions, Box<dyn Error>> {
    let first_seed = arguments.opt_value_from_str("--seed")?.unwrap_or(1);
    let count: u64 = arguments.opt_value_from_str("--count")?.unwrap_or(1);
    let seconds = arguments.opt_value_from_str("--seconds")?.unwrap_or(12);
    let gateways = arguments.opt_value_from_str("--gateways")?;
    let gateways = gateways.unwrap_or(GATEWAY_COUNT);
    if !(1..=MAX_GATEWAYS).contains(&gateways) {
        return Err(format!("--gateways {gateways} is not from 1 to {MAX_GATEWAYS}").into());
    }
    let plan_file: Option<PathBuf> = arguments.opt_value_from_str("--plan")?;
    let limit: Option<u32> = arguments.opt_value_from_str("--limit")?;
    let has_crashing_part = arguments.contains("--crashing-part");
    let has_versions = arguments.contains("--versions");
    let shrink = arguments.contains("--shrink");
    let program: Option<PathBuf> = arguments.opt_value_from_str("--program")?;
    let earlier_program: Option<PathBuf> = arguments.opt_value_from_str("--earlier")?;
    let directory: Option<PathBuf> = arguments.opt_value_from_str("--folder")?;
    let base_port = arguments.opt_value_from_str("--port")?.unwrap_or(21_000);
    let rest = arguments.finish();
    if !rest.is_empty() {
        return Err(format!("unknown arguments: {rest:?}").into());
    }
    let length = Duration::from_secs(seconds);
    if usize::from(plan_file.is_some())
        + usize::from(limit.is_some())
        + usize::from(has_crashing_part)
        + usize::from(has_versions)
        > 1
    {
        return Err("--plan, --limit, --crashing-part and --versions exclude each other".into());
    }
    let plans = match (plan_file, limit) {
        _ if has_crashing_part => vec![FaultPlan::with_crashing_part(first_seed, length, gateways)],
        _ if has_versions => vec![FaultPlan::with_versions(first_seed, length, gateways)],
        (Some(path), _) => vec![serde_json::from_str(&std::fs::read_to_string(path)?)?],
        (None, Some(limit)) => vec![FaultPlan::with_rate_limits(
            first_seed, length, gateways, limit,
        )],
        (None, None) => (first_seed..first_seed + count)
            .map(|seed| FaultPlan::with_gateways(seed, length, gateways))
            .collect(),
    };
    Ok(SoakOptions {
        plans,
        shrink,
        program: program.unwrap_or_else(|| PathBuf::from("target/release/mimosagapd")),
        earlier_program,
        directory: directory.unwrap_or_else(|| PathBuf::from("target/soak")),
        base_port,
    })
}

fn run_plans(options: &SoakOptions) -> ExitCode {
    let mut is_clean = true;
    for plan in &options.plans {
        let name = plan.seed.to_string();
        let outcome = run_plan(options, plan, &name);
        print_outcome(plan, &outcome);
        let has_failed =
            outcome.is_err() || outcome.is_ok_and(|outcome| !outcome.violations.is_empty());
        is_clean &= !has_failed;
        if has_failed {
            let path = options.directory.join(&name).join("plan.json");
            match write_plan(plan, &path) {
                Ok(()) => println!("  plan and logs in {}", path.with_file_name("").display()),
                Err(error) => println!(
                    "  the plan could not be written: {error}; check the folder given by --folder"
                ),
            }
            if options.shrink {
                shrink_plan(options, plan, &name);
            }
        }
    }
    if is_clean {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn run_plan(options: &SoakOptions, plan: &FaultPlan, name: &str) -> std::io::Result<RunOutcome> {
    let options = RunOptions {
        plan: plan.clone(),
        program: options.program.clone(),
        earlier_program: options.earlier_program.clone(),
        directory: options.directory.join(name),
        base_port: options.base_port,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    tokio::task::LocalSet::new().block_on(&runtime, run_soak(&options))
}

fn write_plan(plan: &FaultPlan, path: &Path) -> Result<(), Box<dyn Error>> {
    std::fs::write(path, serde_json::to_string_pretty(plan)?)?;
    Ok(())
}

fn print_outcome(plan: &FaultPlan, outcome: &std::io::Result<RunOutcome>) {
    let seed = plan.seed;
    match outcome {
        Ok(outcome) if outcome.violations.is_empty() => {
            let RunOutcome {
                served,
                sent,
                rate_usages,
                crash_outcomes,
                version_outcome,
                isolation_outcome,
                ..
            } = outcome;
            println!("seed {seed}: passed, {served} of {sent} requests served");
            for usage in rate_usages {
                println!(
                    "  {} named {} requests a second and got {:.2}, in the worst 4 s {}",
                    usage.target, usage.limit, usage.used, usage.worst_window
                );
            }
            print_crash_outcomes(crash_outcomes);
            print_version_outcome(version_outcome);
            print_isolation_outcome(isolation_outcome);
        }
        Ok(outcome) => {
            println!("seed {seed}: FAILED");
            for step in &plan.steps {
                println!("  {step:?}");
            }
            for violation in &outcome.violations {
                println!("  {violation}");
            }
            print_crash_outcomes(&outcome.crash_outcomes);
            print_version_outcome(&outcome.version_outcome);
        }
        Err(error) => println!("seed {seed}: not run: {error}"),
    }
}

fn print_version_outcome(outcome: &VersionOutcome) {
    if outcome.all_resumed.sent == 0 && outcome.joined_streams.is_empty() {
        return;
    }
    let show = |count: AttemptCount| format!("{} of {}", count.served, count.sent);
    println!(
        "  streams joined from two versions: {}; resumed streams that went on: {}, of those with hosts \
         connected and two engines {}; new streams begun: {}",
        outcome.joined_streams.len(),
        show(outcome.all_resumed),
        show(outcome.resumed),
        show(outcome.new)
    );
}

fn print_isolation_outcome(outcome: &IsolationOutcome) {
    let show = |count: ServedCount| format!("{} of {}", count.served, count.sent);
    if outcome.isolated.sent > 0 {
        println!(
            "  gateways cut off from all targets served {}, the others {}",
            show(outcome.isolated),
            show(outcome.connected)
        );
    }
}

fn print_crash_outcomes(outcomes: &[CrashOutcome]) {
    for outcome in outcomes {
        let ((during, sent_during), (outside, sent_outside)) =
            (outcome.sound_during, outcome.sound_outside);
        println!(
            "  part {} crashed {} targets within {:.1} s, {} arrivals when it had to be known; sound \
             requests begun {during} of {sent_during}, outside the series {outside} of {sent_outside}",
            outcome.part,
            outcome.crashes,
            outcome.crash_time.as_secs_f64(),
            outcome.late_arrivals
        );
    }
}

/// Removes each step without which the plan still fails, and prints the plan that is left.
fn shrink_plan(options: &SoakOptions, plan: &FaultPlan, name: &str) {
    let mut smallest = plan.clone();
    let mut step = 0;
    while step < smallest.steps.len() {
        let smaller = smallest.without_step(step);
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
