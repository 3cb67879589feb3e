//! Measures the cost of a daemon's control tasks in a fleet of a given size.
//!
//! `control_cost --store IP:PORT --daemons N [--seconds S] [--changes-per-minute C]
//! [--rules-lines L]` starts N child processes, each with the control tasks of one daemon, against a
//! running store (`mimosagap-standins store --listen IP:PORT`). It prints the mean of their counters
//! per second as JSON. Byte counts cover the payload, without TCP and IP headers.

use std::error::Error;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use mimosagap_daemon::control::{ControlHandle, ControlOptions};
use mimosagap_daemon::driver::EventSender;
use mimosagap_rules::RulesDelta;
use mimosagap_settings::Settings;
use mimosagap_store::rules::ApplyOptions;
use mimosagap_store::{StoreClient, StoreOptions};
use mimosagap_types::prelude::*;
use serde_json::{Map, Value, json};

/// Time before the measurement in which the daemons register and find each other.
const WARM_UP: Duration = Duration::from_secs(10);
/// Clock ticks per second in `/proc/self/stat`; the same on all Linux platforms.
const TICKS_PER_SECOND: f64 = 100.0;

type AnyResult<T> = Result<T, Box<dyn Error>>;

fn main() -> AnyResult<()> {
    let mut arguments = pico_args::Arguments::from_env();
    let store: SocketAddr = arguments.value_from_str("--store")?;
    let seconds: u64 = arguments.opt_value_from_str("--seconds")?.unwrap_or(30);
    let daemons: u32 = arguments.value_from_str("--daemons")?;
    let duration = Duration::from_secs(seconds);
    if let Some(number) = arguments.opt_value_from_str("--child")? {
        return run_child(store, number, daemons, duration);
    }
    let change_rate: u32 = arguments
        .opt_value_from_str("--changes-per-minute")?
        .unwrap_or(0);
    let rules_lines: u32 = arguments.opt_value_from_str("--rules-lines")?.unwrap_or(0);
    let children = (1..=daemons)
        .map(|number| start_child(store, number, daemons, seconds))
        .collect::<AnyResult<Vec<Child>>>()?;
    if change_rate > 0 {
        thread::spawn(move || change_rules(store, change_rate, rules_lines, duration + WARM_UP));
    }
    let reports = children
        .into_iter()
        .map(read_report)
        .collect::<AnyResult<Vec<_>>>()?;
    println!("{}", mean_report(&reports));
    Ok(())
}

fn start_child(store: SocketAddr, number: u32, daemons: u32, seconds: u64) -> AnyResult<Child> {
    let child = Command::new(std::env::current_exe()?)
        .args(["--store", &store.to_string()])
        .args(["--child", &number.to_string()])
        .args(["--daemons", &daemons.to_string()])
        .args(["--seconds", &seconds.to_string()])
        .stdout(Stdio::piped())
        .spawn()?;
    Ok(child)
}

fn read_report(child: Child) -> AnyResult<Map<String, Value>> {
    let output = child.wait_with_output()?;
    Ok(serde_json::from_slice(&output.stdout)?)
}

fn mean_report(reports: &[Map<String, Value>]) -> Value {
    let mut means = Map::new();
    let count = f64::from(u32::try_from(reports.len()).unwrap_or(u32::MAX));
    for name in reports.first().into_iter().flat_map(Map::keys) {
        let values = reports.iter().filter_map(|report| report[name].as_f64());
        let mean = values.sum::<f64>() / count;
        if mean != 0.0 {
            means.insert(name.clone(), json!((mean * 1e4).round() / 1e4));
        }
    }
    Value::Object(means)
}

/// Applies a new rules revision at the given rate until `duration` has passed.
fn change_rules(store: SocketAddr, changes_per_minute: u32, rules_lines: u32, duration: Duration) {
    let client = StoreClient::new(StoreOptions {
        address: store,
        timeout: Duration::from_secs(1),
    });
    let started_at = Instant::now();
    while started_at.elapsed() < duration {
        let base = client.read_rules().expect("the store responds");
        let revision = base.record.revision.0 + 1;
        let limit_lines = (0..rules_lines).map(|line| {
            format!("limit team team-{line} {revision} requests/s burst 100 # manager: measured\n")
        });
        // Only the first line changes, so that the delta has one line.
        let text: String = limit_lines
            .enumerate()
            .map(|(line, text)| {
                if line == 0 {
                    text
                } else {
                    text.replace(&format!(" {revision} "), " 100 ")
                }
            })
            .collect();
        let delta = RulesDelta::between(base.record.revision, &base.record.text, &text);
        let options = ApplyOptions {
            base_mod_revision: base.mod_revision,
            base: base.record.revision,
            text,
            delta: serde_json::to_string(&delta).expect("a delta is JSON"),
        };
        client.apply_rules(&options).expect("the store responds");
        thread::sleep(Duration::from_mins(1) / changes_per_minute);
    }
}

fn daemon_address(number: u32, port: u16) -> SocketAddr {
    let [_, _, high, low] = number.to_be_bytes();
    SocketAddr::from(([127, 41, high, low], port))
}

fn run_child(store: SocketAddr, number: u32, daemons: u32, duration: Duration) -> AnyResult<()> {
    let peers: Vec<SocketAddr> = (1..=daemons.min(9))
        .filter(|other| *other != number)
        .map(|other| daemon_address(other, 7_001))
        .collect();
    let settings = json!({
        "location": {"zone": "norte-a1", "region": "norte-a"},
        "listen": {
            "callers": daemon_address(number, 7_000), "peers": daemon_address(number, 7_001),
            "admin": daemon_address(number, 7_002),
        },
        "store": {"address": store}, "host_list": "127.41.255.1:2380", "peers": peers,
        "fleet_keys": ["bWltb3NhZ2FwLXRlc3Qta2V5LTAwMQ=="], "deployments": [],
    });
    let settings = Settings::parse(&settings.to_string())
        .map_err(|errors| errors.first().map(ToString::to_string).unwrap_or_default())?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    let report = runtime.block_on(measure(settings, number, duration));
    println!("{report}");
    Ok(())
}

async fn measure(settings: Settings, number: u32, duration: Duration) -> Value {
    let (events, mut receiver) = EventSender::new();
    let control = ControlHandle::start(ControlOptions {
        settings: Arc::new(settings),
        daemon_id: DaemonId::new(&format!("daemon-{number:04}")),
        clock: Arc::new(SystemClock),
        events,
    });
    // A daemon under load publishes the placements of about 8 engines.
    let placements = (1..=8).map(|engine| (daemon_address(engine, 9_000), 4_096));
    control.set_placements(placements.collect());
    tokio::spawn(async move { while receiver.recv().await.is_some() {} });
    tokio::time::sleep(WARM_UP).await;
    let (counters_before, cpu_before) = (control.counts(), cpu_seconds());
    tokio::time::sleep(duration).await;
    let (counters_after, cpu_after) = (control.counts(), cpu_seconds());
    let mut report = Map::new();
    let seconds = duration.as_secs_f64();
    let pairs = counters_before
        .entries()
        .into_iter()
        .zip(counters_after.entries());
    for ((name, old), (_, new)) in pairs {
        let difference = u32::try_from(new - old).unwrap_or(u32::MAX);
        report.insert(name, json!(f64::from(difference) / seconds));
    }
    let cpu_percent = 100.0 * (cpu_after - cpu_before) / seconds;
    report.insert("cpu_percent_of_a_core".to_owned(), json!(cpu_percent));
    report.insert("resident_mb".to_owned(), json!(resident_mb()));
    report.insert("members".to_owned(), json!(control.members().len()));
    control.stop();
    control.wait_until_stopped().await;
    Value::Object(report)
}

/// Processor time of this process in user and system mode.
fn cpu_seconds() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat.rsplit(") ").next().unwrap_or_default();
    let user_and_system = fields.split(' ').skip(11).take(2);
    user_and_system
        .filter_map(|ticks| ticks.parse::<f64>().ok())
        .sum::<f64>()
        / TICKS_PER_SECOND
}

fn resident_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB")?.parse::<f64>().ok());
    kilobytes.unwrap_or_default() / 1_024.0
}
