//! HTTP interface of the engine stand-in: resuming, cancelling, leaving and fencing. The daemon is
//! tested against this interface.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

const BINARY: &str = env!("CARGO_BIN_EXE_mimosagap-standins");

struct EngineProcess {
    process: Child,
    address: SocketAddr,
    agent: ureq::Agent,
}

impl EngineProcess {
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

    fn stream(&self, tokens: u32) -> EventReader {
        let body = json!({"model": "quotes", "input": "a floor", "stream": true,
            "metadata": {"output_tokens": tokens.to_string()}});
        EventReader::new(self.post("/v1/responses", &body))
    }

    fn resume(&self, id: &str, after: u32) -> EventReader {
        let path = format!("/v1/responses/{id}?stream=true&starting_after={after}");
        EventReader::new(self.get(&path))
    }

    fn wait_for_exit(&mut self) -> ExitStatus {
        let deadline = Instant::now() + Duration::from_secs(10);
        loop {
            if let Some(status) = self.process.try_wait().unwrap() {
                return status;
            }
            assert!(
                Instant::now() < deadline,
                "the engine did not exit within 10 s"
            );
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for EngineProcess {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

struct EventReader {
    lines: BufReader<Box<dyn Read>>,
}

impl EventReader {
    fn new(response: ureq::http::Response<ureq::Body>) -> Self {
        assert_eq!(response.status(), 200);
        assert!(response.headers().contains_key("x-engine-incarnation"));
        Self {
            lines: BufReader::new(Box::new(response.into_body().into_reader())),
        }
    }

    fn next_line(&mut self) -> Option<String> {
        let mut line = String::new();
        match self.lines.read_line(&mut line) {
            Ok(0) | Err(_) => None,
            Ok(_) => Some(line.trim_end().to_owned()),
        }
    }

    fn next_event(&mut self) -> Option<Value> {
        loop {
            let line = self.next_line()?;
            if let Some(data) = line.strip_prefix("data: ") {
                return Some(serde_json::from_str(data).unwrap());
            }
        }
    }

    fn remaining_events(mut self) -> Vec<Value> {
        std::iter::from_fn(|| self.next_event()).collect()
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
fn stream_is_complete_and_in_order() {
    let engine = EngineProcess::start(&["--step-ms", "2"]);
    let events = engine.stream(20).remaining_events();
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
fn response_without_streaming_has_all_tokens() {
    let engine = EngineProcess::start(&["--step-ms", "2"]);
    let body = json!({"model": "quotes", "input": "a floor", "max_output_tokens": 3,
        "metadata": {"output_tokens": "5"}});
    let response: Value = engine
        .post("/v1/responses", &body)
        .body_mut()
        .read_json()
        .unwrap();
    let id = response["id"].as_str().unwrap();
    assert_eq!(
        response["output"][0]["content"][0]["text"],
        format!("{id}:1 {id}:2 {id}:3 ")
    );
}

#[test]
fn stream_resumes_during_and_after_the_generation() {
    let engine = EngineProcess::start(&["--step-ms", "10"]);
    let mut stream = engine.stream(50);
    let id = stream.next_event().unwrap()["response"]["id"].clone();
    let id = id.as_str().unwrap();
    for _ in 0..5 {
        stream.next_event();
    }
    drop(stream);
    for _ in 0..2 {
        let events = engine.resume(id, 5).remaining_events();
        assert_eq!(events.len(), 46);
        assert_tokens(&events[..45], id, 6);
        assert_eq!(events[45]["type"], "response.completed");
    }
    assert_eq!(engine.stats()["started"], 1);
}

#[test]
fn unknown_response_id_is_not_found() {
    let engine = EngineProcess::start(&[]);
    let response = engine.get("/v1/responses/resp_000000000000_1?stream=true");
    assert_eq!(response.status(), 404);
    assert!(response.headers().contains_key("x-engine-incarnation"));
}

#[test]
fn cancel_ends_the_stream_and_frees_its_memory() {
    let engine = EngineProcess::start(&["--step-ms", "10"]);
    let mut stream = engine.stream(10_000);
    let id = stream.next_event().unwrap()["response"]["id"].clone();
    stream.next_event();
    let path = format!("/v1/responses/{}/cancel", id.as_str().unwrap());
    let response: Value = engine
        .post(&path, &json!({}))
        .body_mut()
        .read_json()
        .unwrap();
    assert_eq!(response["status"], "cancelled");
    let last = stream.remaining_events().pop().unwrap();
    assert_eq!(last["type"], "response.cancelled");
    assert_eq!(engine.stats()["memory_now"], 0);
    assert_eq!(engine.stats()["cancelled"], 1);
}

#[test]
fn generation_without_readers_is_cancelled_after_the_timeout() {
    let engine = EngineProcess::start(&["--step-ms", "10", "--linger-ms", "300"]);
    let mut stream = engine.stream(10_000);
    stream.next_event();
    drop(stream);
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(engine.stats()["cancelled"], 0);
    std::thread::sleep(Duration::from_millis(700));
    assert_eq!(engine.stats()["cancelled"], 1);
}

#[test]
fn idle_streams_send_keepalives() {
    let engine = EngineProcess::start(&["--step-ms", "2500"]);
    let started = Instant::now();
    let mut stream = engine.stream(2);
    stream.next_event();
    let mut comments = 0;
    while let Some(line) = stream.next_line() {
        comments += u32::from(line == ": keepalive");
        if line.starts_with("data: ") {
            break;
        }
    }
    assert!(
        (2..=3).contains(&comments),
        "received {comments} keepalive comments"
    );
    assert!(started.elapsed() >= Duration::from_millis(2_400));
}

#[test]
fn poison_word_makes_the_process_exit_with_an_error() {
    let mut engine = EngineProcess::start(&["--step-ms", "2"]);
    let body = json!({"model": "quotes", "input": "a POISON floor", "stream": true});
    let mut response = engine.post("/v1/responses", &body);
    let _ = response.body_mut().read_to_string();
    assert!(!engine.wait_for_exit().success());
}

#[test]
fn leave_is_reported_and_reclaim_makes_the_process_exit() {
    let mut engine = EngineProcess::start(&[]);
    let before_leave = engine.get("/metrics").body_mut().read_to_string().unwrap();
    assert!(before_leave.contains("engine_state{state=\"leaving\"} 0"));
    assert!(before_leave.contains("engine_kv_capacity_tokens 100000"));
    engine.post("/control/leave", &json!({}));
    let leaving = engine.get("/metrics").body_mut().read_to_string().unwrap();
    assert!(leaving.contains("engine_state{state=\"leaving\"} 1"));
    assert!(engine.stats()["left_at_ms"].is_u64());
    engine.post("/control/leave", &json!({"exit_after_ms": 50}));
    assert!(engine.wait_for_exit().success());
}

#[test]
fn load_report_is_delayed_by_the_set_lag() {
    let engine = EngineProcess::start(&["--step-ms", "10"]);
    engine.post("/control/report_lag", &json!({"ms": 1_000}));
    let _stream = engine.stream(1_000);
    let running = |engine: &EngineProcess| {
        let text = engine.get("/metrics").body_mut().read_to_string().unwrap();
        text.contains("vllm:num_requests_running 1")
    };
    std::thread::sleep(Duration::from_millis(300));
    assert!(!running(&engine));
    std::thread::sleep(Duration::from_millis(1_200));
    assert!(running(&engine));
}

#[test]
fn speed_factor_lengthens_steps() {
    let engine = EngineProcess::start(&["--step-ms", "10"]);
    engine.post("/control/speed", &json!({"factor": 0.2}));
    let started = Instant::now();
    engine.stream(10).remaining_events();
    assert!(started.elapsed() >= Duration::from_millis(500));
}

#[test]
fn cache_events_are_delayed_and_lost_ones_leave_gaps() {
    let engine = EngineProcess::start(&["--step-ms", "2", "--cache-lag-ms", "400"]);
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
    let sequences: Vec<u64> = all
        .as_array()
        .unwrap()
        .iter()
        .map(|event| event["sequence"].as_u64().unwrap())
        .collect();
    assert_eq!(sequences, [1, 3]);
    assert_eq!(all[0]["type"], "stored");
    assert_eq!(all[0]["block_hashes"].as_array().unwrap().len(), 2);
    assert_eq!(events(1).as_array().unwrap().len(), 1);
}

fn send_command(
    engine: &EngineProcess,
    path: &str,
    body: &Value,
    fencing_number: Option<u64>,
) -> u16 {
    let mut request = engine.agent.post(engine.url(path));
    if let Some(fencing_number) = fencing_number {
        request = request.header("X-Fencing-Number", fencing_number.to_string());
    }
    request.send_json(body).unwrap().status().as_u16()
}

#[test]
fn stale_fencing_number_is_refused() {
    let engine = EngineProcess::start(&["--fencing", "check"]);
    let adapter = json!({"lora_name": "oak"});
    let load = "/v1/load_lora_adapter";
    assert_eq!(send_command(&engine, load, &adapter, None), 400);
    assert_eq!(send_command(&engine, load, &adapter, Some(7)), 200);
    assert_eq!(send_command(&engine, load, &adapter, Some(6)), 409);
    let body = json!({"role": "decode"});
    assert_eq!(send_command(&engine, "/v1/role", &body, Some(8)), 200);
    let unload = "/v1/unload_lora_adapter";
    assert_eq!(send_command(&engine, unload, &adapter, Some(7)), 409);
    assert_eq!(engine.stats()["served"], json!(["oak", "quotes"]));
    assert_eq!(engine.stats()["role"], "decode");
}

#[test]
fn fencing_numbers_are_ignored_if_configured() {
    let engine = EngineProcess::start(&["--fencing", "ignore"]);
    let model = json!({"model": "proofs"});
    assert_eq!(
        send_command(&engine, "/v1/load_model", &model, Some(7)),
        200
    );
    assert_eq!(
        send_command(&engine, "/v1/load_model", &model, Some(6)),
        200
    );
    assert_eq!(send_command(&engine, "/v1/load_model", &model, None), 200);
}
