//! Shows the whole path: stand-ins, two daemons and the operators' tool as processes of their own,
//! a streamed generation, an order that is sent twice, and a refusal.

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
const TOKENS: &str = "40";
const READY_LIMIT: Duration = Duration::from_secs(15);

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
    start(&mut cluster)?;
    apply_rules(&cluster)?;
    let daemon = cluster.endpoint("d1")?.address;
    await_ready(daemon)?;
    show_addresses(daemon)?;
    let input = fs::read_to_string(demo_file("quote-request.txt")).map_err(text)?;
    stream_quote(daemon, &input)?;
    book_twice(daemon, cluster.endpoint("d2")?.address)?;
    refuse_stranger(daemon)?;
    fs::remove_dir_all(cluster.directory()).map_err(text)
}

fn start(cluster: &mut Cluster) -> DemoResult {
    println!("Starting the store, the host list, 2 engines, 1 service and 2 daemons.");
    cluster.start_store(&[])?;
    cluster.start_host_list()?;
    for (name, kind, zone, options) in [
        ("e1", TargetKind::Engine, ZONES[0], &["--step-ms", "25"][..]),
        ("e2", TargetKind::Engine, ZONES[1], &["--step-ms", "25"][..]),
        ("s1", TargetKind::Service, ZONES[0], &[][..]),
    ] {
        cluster.start_target(TargetOptions {
            name: name.to_owned(),
            kind,
            zone: zone.to_owned(),
            options: options.iter().map(ToString::to_string).collect(),
        })?;
    }
    cluster.start_daemon("d1", ZONES[0])?;
    cluster.start_daemon("d2", ZONES[1])
}

fn apply_rules(cluster: &Cluster) -> DemoResult {
    let digest = format!("{:x}", Sha256::digest(team_token(TEAM).as_bytes()));
    let template = fs::read_to_string(demo_file("rules.txt")).map_err(text)?;
    let path = cluster.directory().join("rules.txt");
    fs::write(&path, template.replace("@DIGEST@", &digest)).map_err(text)?;
    let store = cluster.store_address()?.to_string();
    let path = path.display().to_string();
    println!("\n$ mimosagap rules apply rules.txt --store {store}");
    println!(
        "{}",
        cluster.run_tool(&["rules", "apply", &path, "--store", &store])?
    );
    Ok(())
}

/// Waits until the daemon knows the rules and an engine.
fn await_ready(daemon: SocketAddr) -> DemoResult {
    let deadline = Instant::now() + READY_LIMIT;
    loop {
        let (status, answer) = generate(daemon, "ready?", "1", false)?;
        if status == 200 {
            return Ok(());
        }
        if Instant::now() > deadline {
            return Err(format!(
                "the daemon at {daemon} does not become ready: {answer}"
            ));
        }
        std::thread::sleep(Duration::from_millis(100));
    }
}

fn show_addresses(daemon: SocketAddr) -> DemoResult {
    let url = format!("http://{daemon}/v1/addresses?zone={}", ZONES[0]);
    println!("$ curl {url}");
    let mut response = agent().get(&url).call().map_err(text)?;
    println!("{}\n", response.body_mut().read_to_string().map_err(text)?);
    Ok(())
}

fn stream_quote(daemon: SocketAddr, input: &str) -> DemoResult {
    println!("A quote, streamed (the stand-in engine's tokens name their generation and number):");
    let started = Instant::now();
    let response = post_generation(daemon, input, TOKENS, true)?;
    let reader = BufReader::new(response.into_body().into_reader());
    let mut tokens = 0;
    for line in reader.lines() {
        let line = line.map_err(text)?;
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        let event: Value = serde_json::from_str(data).map_err(text)?;
        if let Some(delta) = event["delta"].as_str() {
            tokens += 1;
            print!("{delta}");
            io::stdout().flush().map_err(text)?;
        }
    }
    println!(
        "\n{tokens} tokens in {} ms\n",
        started.elapsed().as_millis()
    );
    if tokens.to_string() == TOKENS {
        Ok(())
    } else {
        Err(format!("{tokens} tokens arrived instead of {TOKENS}"))
    }
}

fn book_twice(first: SocketAddr, second: SocketAddr) -> DemoResult {
    println!("A booking with the idempotency key visit-7, sent to both daemons:");
    for daemon in [first, second] {
        let mut response = agent()
            .post(format!("http://{daemon}/v1/services/agenda/bookings"))
            .header("authorization", format!("Bearer {}", team_token(TEAM)))
            .header("idempotency-key", "visit-7")
            .send_json(json!({"flat": "Rua das Flores", "day": "2026-12-10"}))
            .map_err(text)?;
        let status = response.status().as_u16();
        let body = response.body_mut().read_to_string().map_err(text)?;
        println!("{daemon}: {status} {body}");
        if status != 200 {
            return Err(format!("the booking was answered with {status}"));
        }
    }
    Ok(())
}

fn refuse_stranger(daemon: SocketAddr) -> DemoResult {
    println!("\nA caller with a token that no rule names:");
    let mut response = agent()
        .post(format!("http://{daemon}/v1/responses"))
        .header("authorization", "Bearer unknown")
        .send_json(json!({"model": MODEL, "input": "hello"}))
        .map_err(text)?;
    println!("{}", response.body_mut().read_to_string().map_err(text)?);
    Ok(())
}

fn generate(
    daemon: SocketAddr,
    input: &str,
    tokens: &str,
    stream: bool,
) -> DemoResult<(u16, String)> {
    let mut response = post_generation(daemon, input, tokens, stream)?;
    let body = response.body_mut().read_to_string().map_err(text)?;
    Ok((response.status().as_u16(), body))
}

fn post_generation(
    daemon: SocketAddr,
    input: &str,
    tokens: &str,
    stream: bool,
) -> DemoResult<ureq::http::Response<ureq::Body>> {
    agent()
        .post(format!("http://{daemon}/v1/responses"))
        .header("authorization", format!("Bearer {}", team_token(TEAM)))
        .send_json(json!({
            "model": MODEL,
            "input": input,
            "stream": stream,
            "metadata": {"output_tokens": tokens},
        }))
        .map_err(text)
}

fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .new_agent()
}

fn demo_file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../demo")
        .join(name)
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "used as a function for map_err"
)]
fn text(error: impl ToString) -> String {
    error.to_string()
}
