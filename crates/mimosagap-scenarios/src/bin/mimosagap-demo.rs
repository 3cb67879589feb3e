//! Demonstrates mimosagap with real processes: stand-ins of the store, the host list and the targets,
//! two daemons and the command-line tool. It streams a generation, sends one order twice and shows a
//! refusal.

use std::fs;
use std::io::{self, BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use mimosagap_scenarios::cluster::{Cluster, MODEL, TargetKind, TargetOptions, team_token};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

const TEAM: &str = "porto";
const ZONES: [&str; 2] = ["norte-a1", "lisboa-a1"];
const OUTPUT_TOKENS: &str = "40";
const READY_TIMEOUT: Duration = Duration::from_secs(15);

type DemoResult<T = ()> = Result<T, String>;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mimosagap-demo: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> DemoResult {
    let mut cluster = Cluster::new("demo")?;
    start_processes(&mut cluster)?;
    apply_rules(&cluster)?;
    let daemon = cluster.endpoint("d1")?.address;
    wait_until_ready(daemon)?;
    show_addresses(daemon)?;
    let input = fs::read_to_string(demo_file_path("quote-request.txt")).map_err(error_text)?;
    stream_generation(daemon, &input)?;
    send_order_twice(daemon, cluster.endpoint("d2")?.address)?;
    show_refusal(daemon)?;
    fs::remove_dir_all(cluster.directory()).map_err(error_text)
}

fn start_processes(cluster: &mut Cluster) -> DemoResult {
    println!("Starting the store, the host list, 2 engines, 1 service and 2 daemons.");
    cluster.start_store(&[])?;
    cluster.start_host_list()?;
    for (name, kind, zone, arguments) in [
        ("e1", TargetKind::Engine, ZONES[0], &["--step-ms", "25"][..]),
        ("e2", TargetKind::Engine, ZONES[1], &["--step-ms", "25"][..]),
        ("s1", TargetKind::Service, ZONES[0], &[][..]),
    ] {
        cluster.start_target(TargetOptions {
            name: name.to_owned(),
            kind,
            zone: zone.to_owned(),
            arguments: arguments.iter().map(ToString::to_string).collect(),
        })?;
    }
    cluster.start_daemon("d1", ZONES[0])?;
    cluster.start_daemon("d2", ZONES[1])
}

fn apply_rules(cluster: &Cluster) -> DemoResult {
    let digest = format!("{:x}", Sha256::digest(team_token(TEAM).as_bytes()));
    let template = fs::read_to_string(demo_file_path("rules.txt")).map_err(error_text)?;
    let path = cluster.directory().join("rules.txt");
    fs::write(&path, template.replace("@DIGEST@", &digest)).map_err(error_text)?;
    let store = cluster.store_address()?.to_string();
    let path = path.display().to_string();
    println!("\n$ mimosagap rules apply rules.txt --store {store}");
    println!(
        "{}",
        cluster.run_tool(&["rules", "apply", &path, "--store", &store])?
    );
    Ok(())
}

/// Sends generations until one is served: the daemon then has the rules and has discovered an
/// engine.
fn wait_until_ready(daemon: SocketAddr) -> DemoResult {
    let deadline = Instant::now() + READY_TIMEOUT;
    loop {
        let (status, body) = generate(daemon, "ready?", "1", false)?;
        if status == 200 {
            return Ok(());
        }
        if Instant::now() > deadline {
            return Err(format!(
                "the daemon at {daemon} did not become ready within {READY_TIMEOUT:?}; its last response: {body}"
            ));
        }
        std::thread::sleep(Duration::from_millis(100));
    }
}

fn show_addresses(daemon: SocketAddr) -> DemoResult {
    let url = format!("http://{daemon}/v1/addresses?zone={}", ZONES[0]);
    println!("$ curl {url}");
    let mut response = http_agent().get(&url).call().map_err(error_text)?;
    println!(
        "{}\n",
        response.body_mut().read_to_string().map_err(error_text)?
    );
    Ok(())
}

fn stream_generation(daemon: SocketAddr, input: &str) -> DemoResult {
    println!(
        "A streamed generation (each token of the stand-in engine is its generation id and number):"
    );
    let started = Instant::now();
    let response = post_generation(daemon, input, OUTPUT_TOKENS, true)?;
    let reader = BufReader::new(response.into_body().into_reader());
    let mut tokens = 0;
    for line in reader.lines() {
        let line = line.map_err(error_text)?;
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        let event: Value = serde_json::from_str(data).map_err(error_text)?;
        if let Some(delta) = event["delta"].as_str() {
            tokens += 1;
            print!("{delta}");
            io::stdout().flush().map_err(error_text)?;
        }
    }
    println!(
        "\n{tokens} tokens in {} ms\n",
        started.elapsed().as_millis()
    );
    if tokens.to_string() == OUTPUT_TOKENS {
        Ok(())
    } else {
        Err(format!(
            "received {tokens} tokens instead of {OUTPUT_TOKENS}"
        ))
    }
}

fn send_order_twice(first: SocketAddr, second: SocketAddr) -> DemoResult {
    println!("One order with the idempotency key visit-7, sent to both daemons:");
    for daemon in [first, second] {
        let mut response = http_agent()
            .post(format!("http://{daemon}/v1/services/agenda/bookings"))
            .header("authorization", format!("Bearer {}", team_token(TEAM)))
            .header("idempotency-key", "visit-7")
            .send_json(json!({"flat": "Rua das Flores", "day": "2026-12-10"}))
            .map_err(error_text)?;
        let status = response.status().as_u16();
        let body = response.body_mut().read_to_string().map_err(error_text)?;
        println!("{daemon}: {status} {body}");
        if status != 200 {
            return Err(format!(
                "the response to the order has status {status} instead of 200"
            ));
        }
    }
    Ok(())
}

fn show_refusal(daemon: SocketAddr) -> DemoResult {
    println!("\nA request with a bearer token that no rule admits:");
    let mut response = http_agent()
        .post(format!("http://{daemon}/v1/responses"))
        .header("authorization", "Bearer unknown")
        .send_json(json!({"model": MODEL, "input": "hello"}))
        .map_err(error_text)?;
    println!(
        "{}",
        response.body_mut().read_to_string().map_err(error_text)?
    );
    Ok(())
}

fn generate(
    daemon: SocketAddr,
    input: &str,
    tokens: &str,
    stream: bool,
) -> DemoResult<(u16, String)> {
    let mut response = post_generation(daemon, input, tokens, stream)?;
    let body = response.body_mut().read_to_string().map_err(error_text)?;
    Ok((response.status().as_u16(), body))
}

fn post_generation(
    daemon: SocketAddr,
    input: &str,
    tokens: &str,
    stream: bool,
) -> DemoResult<ureq::http::Response<ureq::Body>> {
    http_agent()
        .post(format!("http://{daemon}/v1/responses"))
        .header("authorization", format!("Bearer {}", team_token(TEAM)))
        .send_json(json!({
            "model": MODEL,
            "input": input,
            "stream": stream,
            "metadata": {"output_tokens": tokens},
        }))
        .map_err(error_text)
}

fn http_agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .new_agent()
}

fn demo_file_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../demo")
        .join(name)
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "used as a function for map_err"
)]
fn error_text(error: impl ToString) -> String {
    error.to_string()
}
