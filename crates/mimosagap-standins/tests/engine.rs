//! The engine's HTTP interface must keep what the design page says about resuming, cancelling,
//! leaving and fencing, because the daemon is tested against it.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

const BINARY: &str = env!("CARGO_BIN_EXE_mimosagap-standins");

struct Engine {
    process: Child,
    address: SocketAddr,
    agent: ureq::Agent,
}

impl Engine {
    fn start(options: &[&str]) -> Self {
        let mut process = Command::new(BINARY)
            .args(["engine", "--listen", "127.0.0.1:0", "--model", "quotes"])
            .args(options)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        let output = process.stdout.take().unwrap();
        BufReader::new(output).read_line(&mut line).unwrap();
        let address = line.trim().strip_prefix("listening on ").unwrap();
        let agent = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(Duration::from_secs(20)))
            .build()
            .new_agent();
        Self {
            process,
            address: address.parse().unwrap(),
            agent,
        }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    fn post(&self, path: &str, body: &Value) -> ureq::http::Response<ureq::Body> {
        self.agent.post(self.url(path)).send_json(body).unwrap()
    }

    fn get(&self, path: &str) -> ureq::http::Response<ureq::Body> {
        self.agent.get(self.url(path)).call().unwrap()
    }

    fn stats(&self) -> Value {
        self.get("/control/stats").body_mut().read_json().unwrap()
    }

    fn stream(&self, tokens: u32) -> Events {
        let body = json!({"model": "quotes", "input": "a floor", "stream": true,
            "metadata": {"output_tokens": tokens.to_string()}});
        Events::new(self.post("/v1/responses", &body))
    }

    fn resume(&self, id: &str, after: u32) -> Events {
        let path = format!("/v1/responses/{id}?stream=true&starting_after={after}");
        Events::new(self.get(&path))
    }

    fn wait_exit(&mut self) -> ExitStatus {
        let deadline = Instant::now() + Duration::from_secs(10);
        loop {
            if let Some(status) = self.process.try_wait().unwrap() {
                return status;
            }
            assert!(Instant::now() < deadline, "the engine did not end");
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

struct Events {
    lines: BufReader<Box<dyn Read>>,
}

impl Events {
    fn new(answer: ureq::http::Response<ureq::Body>) -> Self {
        assert_eq!(answer.status(), 200);
        assert!(answer.headers().contains_key("x-engine-incarnation"));
        Self {
            lines: BufReader::new(Box::new(answer.into_body().into_reader())),
        }
    }

    fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        match self.lines.read_line(&mut line) {
            Ok(0) | Err(_) => None,
            Ok(_) => Some(line.trim_end().to_owned()),
        }
    }

    fn event(&mut self) -> Option<Value> {
        loop {
            let line = self.line()?;
            if let Some(data) = line.strip_prefix("data: ") {
                return Some(serde_json::from_str(data).unwrap());
            }
        }
    }

    fn rest(mut self) -> Vec<Value> {
        std::iter::from_fn(|| self.event()).collect()
    }
}

fn assert_tokens(events: &[Value], id: &str, first: u64) {
    for (sequence, event) in (first..).zip(events) {
        assert_eq!(event["type"], "response.output_text.delta");
        assert_eq!(event["sequence_number"], sequence);
        assert_eq!(event["delta"], format!("{id}:{sequence} "));
    }
}

#[test]
fn a_stream_is_whole_and_in_order() {
    let engine = Engine::start(&["--step-ms", "2"]);
    let events = engine.stream(20).rest();
    assert_eq!(events.len(), 22);
    assert_eq!(events[0]["type"], "response.created");
    assert_eq!(events[0]["sequence_number"], 0);
    let id = events[0]["response"]["id"].as_str().unwrap();
    assert_tokens(&events[1..21], id, 1);
    assert_eq!(events[21]["type"], "response.completed");
    assert_eq!(events[21]["sequence_number"], 21);
    assert_eq!(events[21]["response"]["usage"]["output_tokens"], 20);
}

#[test]
fn a_whole_answer_has_all_tokens() {
    let engine = Engine::start(&["--step-ms", "2"]);
    let body = json!({"model": "quotes", "input": "a floor", "max_output_tokens": 3,
        "metadata": {"output_tokens": "5"}});
    let answer: Value = engine
        .post("/v1/responses", &body)
        .body_mut()
        .read_json()
        .unwrap();
    let id = answer["id"].as_str().unwrap();
    assert_eq!(
        answer["output"][0]["content"][0]["text"],
        format!("{id}:1 {id}:2 {id}:3 ")
    );
}

#[test]
fn a_stream_resumes_while_it_runs_and_after_its_end() {
    let engine = Engine::start(&["--step-ms", "10"]);
    let mut stream = engine.stream(50);
    let id = stream.event().unwrap()["response"]["id"].clone();
    let id = id.as_str().unwrap();
    for _ in 0..5 {
        stream.event();
    }
    drop(stream);
    for _ in 0..2 {
        let events = engine.resume(id, 5).rest();
        assert_eq!(events.len(), 46);
        assert_tokens(&events[..45], id, 6);
        assert_eq!(events[45]["type"], "response.completed");
    }
    assert_eq!(engine.stats()["started"], 1);
}

#[test]
fn an_unknown_response_is_not_found() {
    let engine = Engine::start(&[]);
    let answer = engine.get("/v1/responses/resp_000000000000_1?stream=true");
    assert_eq!(answer.status(), 404);
    assert!(answer.headers().contains_key("x-engine-incarnation"));
}

#[test]
fn cancelling_ends_the_stream_and_frees_the_memory() {
    let engine = Engine::start(&["--step-ms", "10"]);
    let mut stream = engine.stream(10_000);
    let id = stream.event().unwrap()["response"]["id"].clone();
    stream.event();
    let path = format!("/v1/responses/{}/cancel", id.as_str().unwrap());
    let answer: Value = engine
        .post(&path, &json!({}))
        .body_mut()
        .read_json()
        .unwrap();
    assert_eq!(answer["status"], "cancelled");
    let last = stream.rest().pop().unwrap();
    assert_eq!(last["type"], "response.cancelled");
    assert_eq!(engine.stats()["memory_now"], 0);
    assert_eq!(engine.stats()["cancelled"], 1);
}

#[test]
fn a_stream_without_a_reader_lingers_and_is_then_cancelled() {
    let engine = Engine::start(&["--step-ms", "10", "--linger-ms", "300"]);
    let mut stream = engine.stream(10_000);
    stream.event();
    drop(stream);
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(engine.stats()["cancelled"], 0);
    std::thread::sleep(Duration::from_millis(700));
    assert_eq!(engine.stats()["cancelled"], 1);
}

#[test]
fn silent_streams_carry_keepalives() {
    let engine = Engine::start(&["--step-ms", "2500"]);
    let started = Instant::now();
    let mut stream = engine.stream(2);
    stream.event();
    let mut comments = 0;
    while let Some(line) = stream.line() {
        comments += u32::from(line == ": keepalive");
        if line.starts_with("data: ") {
            break;
        }
    }
    assert!((2..=3).contains(&comments), "{comments} comments");
    assert!(started.elapsed() >= Duration::from_millis(2_400));
}

#[test]
fn poison_ends_the_process_with_an_error() {
    let mut engine = Engine::start(&["--step-ms", "2"]);
    let body = json!({"model": "quotes", "input": "a POISON floor", "stream": true});
    let mut answer = engine.post("/v1/responses", &body);
    let _ = answer.body_mut().read_to_string();
    assert!(!engine.wait_exit().success());
}

#[test]
fn leaving_is_reported_and_reclaiming_ends_the_process() {
    let mut engine = Engine::start(&[]);
    let live = engine.get("/metrics").body_mut().read_to_string().unwrap();
    assert!(live.contains("engine_state{state=\"leaving\"} 0"));
    assert!(live.contains("engine_kv_capacity_tokens 100000"));
    engine.post("/control/leave", &json!({}));
    let left = engine.get("/metrics").body_mut().read_to_string().unwrap();
    assert!(left.contains("engine_state{state=\"leaving\"} 1"));
    assert!(engine.stats()["left_at_ms"].is_u64());
    engine.post("/control/leave", &json!({"exit_after_ms": 50}));
    assert!(engine.wait_exit().success());
}

#[test]
fn a_report_lags_as_told() {
    let engine = Engine::start(&["--step-ms", "10"]);
    engine.post("/control/report_lag", &json!({"ms": 1_000}));
    let _stream = engine.stream(1_000);
    let running = |engine: &Engine| {
        let text = engine.get("/metrics").body_mut().read_to_string().unwrap();
        text.contains("vllm:num_requests_running 1")
    };
    std::thread::sleep(Duration::from_millis(300));
    assert!(!running(&engine));
    std::thread::sleep(Duration::from_millis(1_200));
    assert!(running(&engine));
}

#[test]
fn a_slow_engine_takes_longer_steps() {
    let engine = Engine::start(&["--step-ms", "10"]);
    engine.post("/control/speed", &json!({"factor": 0.2}));
    let started = Instant::now();
    engine.stream(10).rest();
    assert!(started.elapsed() >= Duration::from_millis(500));
}

#[test]
fn cache_events_are_late_and_show_their_gaps() {
    let engine = Engine::start(&["--step-ms", "2", "--cache-lag-ms", "400"]);
    let send = |letter: &str| {
        let body = json!({"model": "quotes", "input": letter.repeat(512),
            "metadata": {"output_tokens": "1"}});
        engine.post("/v1/responses", &body);
    };
    let events = |since: u64| -> Value {
        let path = format!("/kv_events?since={since}");
        engine.get(&path).body_mut().read_json().unwrap()
    };
    send("a");
    assert_eq!(events(0), json!([]));
    engine.post("/control/cache_loss", &json!({"fraction": 1.0}));
    send("b");
    engine.post("/control/cache_loss", &json!({"fraction": 0.0}));
    send("c");
    std::thread::sleep(Duration::from_millis(500));
    let all = events(0);
    let numbers: Vec<u64> = all
        .as_array()
        .unwrap()
        .iter()
        .map(|event| event["sequence"].as_u64().unwrap())
        .collect();
    assert_eq!(numbers, [1, 3]);
    assert_eq!(all[0]["type"], "stored");
    assert_eq!(all[0]["block_hashes"].as_array().unwrap().len(), 2);
    assert_eq!(events(1).as_array().unwrap().len(), 1);
}

fn command(engine: &Engine, path: &str, body: &Value, number: Option<u64>) -> u16 {
    let mut request = engine.agent.post(engine.url(path));
    if let Some(number) = number {
        request = request.header("X-Fencing-Number", number.to_string());
    }
    request.send_json(body).unwrap().status().as_u16()
}

#[test]
fn an_old_fencing_number_is_refused_when_checked() {
    let engine = Engine::start(&["--fencing", "check"]);
    let adapter = json!({"lora_name": "oak"});
    let load = "/v1/load_lora_adapter";
    assert_eq!(command(&engine, load, &adapter, None), 400);
    assert_eq!(command(&engine, load, &adapter, Some(7)), 200);
    assert_eq!(command(&engine, load, &adapter, Some(6)), 409);
    let body = json!({"role": "decode"});
    assert_eq!(command(&engine, "/v1/role", &body, Some(8)), 200);
    let unload = "/v1/unload_lora_adapter";
    assert_eq!(command(&engine, unload, &adapter, Some(7)), 409);
    assert_eq!(engine.stats()["served"], json!(["oak", "quotes"]));
    assert_eq!(engine.stats()["role"], "decode");
}

#[test]
fn fencing_numbers_are_ignored_when_told() {
    let engine = Engine::start(&["--fencing", "ignore"]);
    let model = json!({"model": "proofs"});
    assert_eq!(command(&engine, "/v1/load_model", &model, Some(7)), 200);
    assert_eq!(command(&engine, "/v1/load_model", &model, Some(6)), 200);
    assert_eq!(command(&engine, "/v1/load_model", &model, None), 200);
}
