//! Runs a daemon within the test process, with a scripted reducer and targets on loopback addresses.
#![allow(dead_code)] // Each test file uses a part of this module.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use mimosagap_core::{AttemptEnd, Effect, Event, StateChange, WorkKind};
use mimosagap_daemon::daemon::RunningDaemon;
use mimosagap_daemon::snapshot::{EventReducer, ReducerSnapshot};
use mimosagap_rules::RuleSet;
use mimosagap_settings::Settings;
use mimosagap_types::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

pub const TOKEN: &str = "token-of-quotes";
pub const OTHER_TOKEN: &str = "token-of-proofs";
pub const TEST_TIMEOUT: Duration = Duration::from_secs(15);

static LAST_OCTET: AtomicU8 = AtomicU8::new(1);
static NEXT_PORT: AtomicU16 = AtomicU16::new(20_000);

/// Returns an unused loopback address. The address range depends on the process id, so that test
/// processes do not collide.
pub fn unused_address() -> SocketAddr {
    let process_id = std::process::id().to_be_bytes();
    let host = LAST_OCTET.load(Ordering::Relaxed);
    let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
    SocketAddr::from(([127, 64 + process_id[2] % 64, process_id[3], host], port))
}

/// The events that the reducer has received.
#[derive(Debug, Default)]
pub struct ObservedEvents {
    pub attempt_ends: Vec<AttemptEnd>,
    pub departed_callers: Vec<RequestTicket>,
    pub submission_count: usize,
    pub progress_count: usize,
}

/// A reducer that dispatches each request to the targets in order and refuses it after the last one.
/// Every order may run; its response is recorded.
pub struct TestReducer {
    pub targets: Vec<SocketAddr>,
    pub observed: Arc<Mutex<ObservedEvents>>,
    pub refusal: Option<Refusal>,
    pub holds_submissions: bool,
    pub drain_delay: Duration,
    pub rules: Arc<RuleSet>,
    pub attempts: HashMap<RequestTicket, u32>,
    pub orders: HashMap<RequestTicket, OrderKey>,
}

impl EventReducer for TestReducer {
    fn reduce(&mut self, _: Instant, event: Event, effects: &mut Vec<Effect>) {
        self.handle_event(event, effects);
    }

    fn rules(&self) -> Arc<RuleSet> {
        Arc::clone(&self.rules)
    }

    fn placements(&self) -> Vec<(TargetAddress, u64)> {
        Vec::new()
    }

    fn snapshot(&self, _: Instant) -> ReducerSnapshot {
        ReducerSnapshot::default()
    }
}

impl TestReducer {
    pub fn new(targets: &[SocketAddr]) -> Self {
        Self {
            targets: targets.to_vec(),
            observed: Arc::default(),
            refusal: None,
            holds_submissions: false,
            drain_delay: Duration::from_millis(300),
            rules: Arc::new(RuleSet::empty()),
            attempts: HashMap::new(),
            orders: HashMap::new(),
        }
    }

    fn handle_event(&mut self, event: Event, effects: &mut Vec<Effect>) {
        let observed = Arc::clone(&self.observed);
        let mut observed = observed.lock().unwrap();
        match event {
            Event::RulesReceived(set) => {
                let revision = set.revision;
                self.rules = set;
                effects.push(Effect::Log(StateChange::RulesActivated { revision }));
            }
            Event::Submitted { ticket, submission } => {
                observed.submission_count += 1;
                if let Some(refusal) = &self.refusal {
                    let refusal = refusal.clone();
                    return effects.push(Effect::Refuse { ticket, refusal });
                }
                if let WorkKind::Order { key, .. } = submission.work {
                    self.orders.insert(ticket, key);
                }
                if !self.holds_submissions {
                    self.dispatch_next(ticket, effects);
                }
            }
            Event::AttemptEnded { ticket, end, .. } => {
                let is_retryable = matches!(
                    end,
                    AttemptEnd::NotSent
                        | AttemptEnd::Rejected { .. }
                        | AttemptEnd::Lost {
                            delivered_tokens: 0,
                            ..
                        }
                );
                let is_order = self.orders.contains_key(&ticket);
                match &end {
                    AttemptEnd::Completed { .. } => {
                        if let Some(key) = self.orders.remove(&ticket) {
                            effects.push(Effect::RecordResult { ticket, key });
                        }
                    }
                    AttemptEnd::Cancelled => {}
                    AttemptEnd::Lost { .. } if is_order => effects.push(Effect::Refuse {
                        ticket,
                        refusal: Refusal::new(
                            RefusalCause::TargetSilent,
                            "the target did not respond",
                        )
                        .with_outcome(RunOutcome::Unknown),
                    }),
                    _ if is_retryable => self.dispatch_next(ticket, effects),
                    _ => effects.push(Effect::Refuse {
                        ticket,
                        refusal: Refusal::new(RefusalCause::GenerationLost, "lost")
                            .with_outcome(RunOutcome::Unknown),
                    }),
                }
                observed.attempt_ends.push(end);
            }
            Event::CallerLeft { ticket } => {
                observed.departed_callers.push(ticket);
                let attempt = self.attempts.get(&ticket).copied().unwrap_or(0);
                effects.push(Effect::CancelAttempt { ticket, attempt });
            }
            Event::Progress { .. } => observed.progress_count += 1,
            Event::DrainRequested => effects.push(Effect::StopAccepting {
                after: self.drain_delay,
            }),
            _ => {}
        }
    }

    fn dispatch_next(&mut self, ticket: RequestTicket, effects: &mut Vec<Effect>) {
        let attempt = self.attempts.entry(ticket).or_default();
        *attempt += 1;
        match self.targets.get(*attempt as usize - 1) {
            Some(target) => effects.push(Effect::Dispatch {
                ticket,
                attempt: *attempt,
                target: *target,
                priority: 10,
            }),
            None => effects.push(Effect::Refuse {
                ticket,
                refusal: Refusal::new(RefusalCause::NoTarget, "no target can take it")
                    .with_retry_after(Duration::from_millis(1_200)),
            }),
        }
    }
}

/// A running daemon with its addresses and the events of its reducer.
pub struct TestDaemon {
    pub caller_address: SocketAddr,
    pub admin_address: SocketAddr,
    pub daemon: RunningDaemon,
    pub observed: Arc<Mutex<ObservedEvents>>,
}

pub fn test_settings(bounds: &str) -> Settings {
    let text = format!(
        r#"{{
            "location": {{"zone": "norte-a1", "region": "norte-a"}},
            "listen": {{"callers": "{}", "peers": "{}", "admin": "{}"}},
            "store": {{"address": "{}"}},
            "host_list": "{}",
            "fleet_keys": ["bWltb3NhZ2FwLXRlc3Qta2V5LTAwMQ=="],
            "deployments": [
                {{"name": "assistant", "kind": "engine", "models": ["quotes"]}},
                {{"name": "agenda", "kind": "service", "repeatable": ["GET /visits"],
                  "first_byte_timeout_ms": 500}}
            ],
            "bounds": {{{bounds}}}
        }}"#,
        unused_address(),
        unused_address(),
        unused_address(),
        unused_address(),
        unused_address()
    );
    Settings::parse(&text).unwrap()
}

pub fn test_rules(revision: u64) -> RuleSet {
    use sha2::{Digest, Sha256};
    let hex = |token: &str| RequestDigest(Sha256::digest(token).into()).to_string();
    let text = format!(
        "team quotes token sha256:{} # manager: first team\n\
         team proofs token sha256:{} # manager: second team\n\
         limit team quotes 100 requests/s burst 50 # insurer: bounded load\n\
         address lifetime 7 s # manager: quick changes\n",
        hex(TOKEN),
        hex(OTHER_TOKEN)
    );
    RuleSet::compile(RulesRevision(revision), &text).unwrap()
}

/// Starts a daemon with default settings and returns once the test rules are active.
pub async fn start_daemon(reducer: TestReducer) -> TestDaemon {
    start_daemon_with(reducer, test_settings("")).await
}

pub async fn start_daemon_with(reducer: TestReducer, settings: Settings) -> TestDaemon {
    let settings = Arc::new(settings);
    let observed = Arc::clone(&reducer.observed);
    let (caller_address, admin_address) = (settings.listen.callers, settings.listen.admin);
    let daemon = RunningDaemon::start(settings, DaemonId::new("test"), Box::new(reducer)).unwrap();
    let events = &daemon.shared().events;
    events.send(Event::RulesReceived(Arc::new(test_rules(41))));
    while daemon.shared().view.rules().revision != RulesRevision(41) {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    TestDaemon {
        caller_address,
        admin_address,
        daemon,
        observed,
    }
}

/// One HTTP response as text.
#[derive(Debug)]
pub struct TestResponse {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl TestResponse {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(": ")?;
            key.eq_ignore_ascii_case(name).then_some(value)
        })
    }

    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body)
            .unwrap_or_else(|_| panic!("the body is not JSON: {self:?}"))
    }

    pub fn error(&self, field: &str) -> serde_json::Value {
        self.json()["error"][field].clone()
    }
}

/// Sends bytes on a new connection and reads until the connection closes.
pub async fn send_raw(address: SocketAddr, bytes: &[u8]) -> TestResponse {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let _ = stream.write_all(bytes).await;
    read_response(&mut stream).await
}

pub async fn read_response(stream: &mut TcpStream) -> TestResponse {
    let mut received = Vec::new();
    let read = stream.read_to_end(&mut received);
    // A reset after the response does not discard the bytes that were read before it.
    let _ = tokio::time::timeout(TEST_TIMEOUT, read)
        .await
        .expect("the connection is still open");
    parse_response(&String::from_utf8_lossy(&received))
}

pub fn parse_response(text: &str) -> TestResponse {
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((text, ""));
    let status = head.split(' ').nth(1).and_then(|text| text.parse().ok());
    let is_chunked = head.contains("transfer-encoding: chunked");
    TestResponse {
        status: status.unwrap_or(0),
        head: head.to_owned(),
        body: if is_chunked {
            decode_chunks(body)
        } else {
            body.to_owned()
        },
    }
}

fn decode_chunks(mut text: &str) -> String {
    let mut decoded = String::new();
    while let Some((size, rest)) = text.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).unwrap_or(0);
        if size == 0 || rest.len() < size {
            break;
        }
        decoded.push_str(&rest[..size]);
        text = rest[size..].strip_prefix("\r\n").unwrap_or("");
    }
    decoded
}

/// Encodes a request that closes its connection. Each line of `extra_headers` ends with CRLF.
pub fn encode_request(
    method: &str,
    path: &str,
    token: &str,
    extra_headers: &str,
    body: &str,
) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: test\r\nauthorization: Bearer {token}\r\n\
         connection: close\r\ncontent-length: {}\r\n{extra_headers}\r\n{body}",
        body.len()
    )
    .into_bytes()
}

pub async fn send_request(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> TestResponse {
    send_raw(address, &encode_request(method, path, TOKEN, "", body)).await
}

pub fn generation_request(stream: bool) -> String {
    format!(r#"{{"model":"quotes","input":"sand the hall","stream":{stream}}}"#)
}

/// Parses the JSON payloads of all events of a stream.
pub fn parse_events(body: &str) -> Vec<serde_json::Value> {
    body.split("\n\n")
        .filter_map(|event| {
            event
                .split('\n')
                .find_map(|line| line.strip_prefix("data: "))
        })
        .map(|data| serde_json::from_str(data).unwrap())
        .collect()
}

/// A fake engine and its configured faults. Clones share the lists and the incarnation.
#[derive(Debug, Clone)]
pub struct FakeEngine {
    pub token_count: u64,
    pub token_interval: Duration,
    /// Closes the connection after each of these events, once each.
    pub disconnect_after: Arc<Mutex<Vec<u64>>>,
    /// Stops sending for [`TEST_TIMEOUT`] after each of these events, once each.
    pub silent_after: Arc<Mutex<Vec<u64>>>,
    /// Sends each event twice.
    pub repeats_events: bool,
    /// Skips each of these events, once each.
    pub skipped_events: Arc<Mutex<Vec<u64>>>,
    pub incarnation: Arc<Mutex<u64>>,
    /// Changes the incarnation with each closed connection, as a restart does.
    pub restarts_on_disconnect: bool,
    pub received_requests: Arc<Mutex<Vec<String>>>,
    /// Replaces the response to requests that create a generation.
    pub create_response: Option<&'static str>,
}

impl FakeEngine {
    pub fn new(token_count: u64) -> Self {
        Self {
            token_count,
            token_interval: Duration::from_millis(2),
            disconnect_after: Arc::default(),
            silent_after: Arc::default(),
            repeats_events: false,
            skipped_events: Arc::default(),
            incarnation: Arc::new(Mutex::new(7)),
            restarts_on_disconnect: false,
            received_requests: Arc::default(),
            create_response: None,
        }
    }

    /// Counts the received requests that begin with `prefix`.
    pub fn count_requests(&self, prefix: &str) -> usize {
        let requests = self.received_requests.lock().unwrap();
        requests
            .iter()
            .filter(|request| request.starts_with(prefix))
            .count()
    }

    pub async fn start(&self) -> SocketAddr {
        let address = unused_address();
        let listener = TcpListener::bind(address).await.unwrap();
        let engine = self.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let engine = engine.clone();
                tokio::spawn(async move {
                    let _ = engine.serve(stream, address).await;
                });
            }
        });
        address
    }

    async fn serve(&self, mut stream: TcpStream, address: SocketAddr) -> std::io::Result<()> {
        let request = read_request(&mut stream).await?;
        self.received_requests.lock().unwrap().push(request.clone());
        let line = request.lines().next().unwrap_or_default().to_owned();
        if let (Some(response), true) = (
            self.create_response,
            line.starts_with("POST /v1/responses "),
        ) {
            return stream.write_all(response.as_bytes()).await;
        }
        if line.contains("/cancel") {
            let body = r#"{"id":"inner-1","status":"cancelled"}"#;
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
            return stream.write_all(format!("{head}{body}").as_bytes()).await;
        }
        let after = line.split_once("starting_after=").map(|(_, rest)| {
            let digits = rest.split(' ').next().unwrap_or_default();
            digits.parse::<u64>().unwrap()
        });
        let incarnation = *self.incarnation.lock().unwrap();
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
             x-engine-incarnation: {incarnation}\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await?;
        for number in after.map_or(0, |after| after + 1)..=self.token_count + 1 {
            if remove_number(&self.skipped_events, number) {
                continue;
            }
            let event = self.event(number, address);
            for _ in 0..=u8::from(self.repeats_events) {
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                stream.write_all(chunk.as_bytes()).await?;
            }
            if remove_number(&self.disconnect_after, number) {
                *self.incarnation.lock().unwrap() += u64::from(self.restarts_on_disconnect);
                return Ok(());
            }
            if remove_number(&self.silent_after, number) {
                tokio::time::sleep(TEST_TIMEOUT).await;
            }
            if !self.token_interval.is_zero() {
                tokio::time::sleep(self.token_interval).await;
            }
        }
        stream.write_all(b"0\r\n\r\n").await
    }

    fn event(&self, number: u64, address: SocketAddr) -> String {
        let kind = match number {
            0 => "response.created",
            _ if number <= self.token_count => "response.output_text.delta",
            _ => "response.completed",
        };
        let rest = if kind == "response.output_text.delta" {
            format!(r#""item_id":"x","delta":"{address}:{number} ""#)
        } else {
            r#""response":{"id":"inner-1","status":"s"}"#.to_owned()
        };
        format!(
            "event: {kind}\ndata: {{\"type\":\"{kind}\",\"sequence_number\":{number},{rest}}}\n\n"
        )
    }
}

fn remove_number(list: &Mutex<Vec<u64>>, number: u64) -> bool {
    let mut list = list.lock().unwrap();
    let position = list.iter().position(|entry| *entry == number);
    position.map(|index| list.remove(index)).is_some()
}

/// Reads a request with its body; returns early if the connection closes.
pub async fn read_request(stream: &mut TcpStream) -> std::io::Result<String> {
    let mut text = String::new();
    let mut buffer = [0; 4_096];
    loop {
        let count = stream.read(&mut buffer).await?;
        text += &String::from_utf8_lossy(&buffer[..count]);
        let length = text
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "))
            .and_then(|value| value.trim().parse::<usize>().ok())
            .unwrap_or(0);
        let is_complete = text
            .split_once("\r\n\r\n")
            .is_some_and(|(_, body)| body.len() >= length);
        if count == 0 || is_complete {
            return Ok(text);
        }
    }
}

/// Starts a service that sends the same response on each connection. Returns its address and the
/// requests that it received.
pub async fn start_service(response: &'static str) -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let address = unused_address();
    let listener = TcpListener::bind(address).await.unwrap();
    let requests: Arc<Mutex<Vec<String>>> = Arc::default();
    let received_requests = Arc::clone(&requests);
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let request = read_request(&mut stream).await.unwrap_or_default();
            if !request.is_empty() {
                received_requests.lock().unwrap().push(request);
                let _ = stream.write_all(response.as_bytes()).await;
            }
        }
    });
    (address, requests)
}
