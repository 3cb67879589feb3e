//! A daemon in this process with a placement of its own, and targets on loopback addresses.
#![allow(dead_code)] // Each test file uses a part.

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
pub const LIMIT: Duration = Duration::from_secs(15);

static HOSTS: AtomicU8 = AtomicU8::new(1);
static PORTS: AtomicU16 = AtomicU16::new(20_000);

/// An unused loopback address; each test process uses its own range by its id.
pub fn address() -> SocketAddr {
    let process = std::process::id().to_be_bytes();
    let host = HOSTS.load(Ordering::Relaxed);
    let port = PORTS.fetch_add(1, Ordering::Relaxed);
    SocketAddr::from(([127, 64 + process[2] % 64, process[3], host], port))
}

/// What the placement was told.
#[derive(Debug, Default)]
pub struct Seen {
    pub ends: Vec<AttemptEnd>,
    pub left: Vec<RequestTicket>,
    pub submitted: usize,
    pub progress: usize,
}

/// Places every request on the targets in order, refuses after the last, and claims every order.
pub struct Placement {
    pub targets: Vec<SocketAddr>,
    pub seen: Arc<Mutex<Seen>>,
    pub refusal: Option<Refusal>,
    pub hold: bool,
    pub drain: Duration,
    pub rules: Arc<RuleSet>,
    pub attempts: HashMap<RequestTicket, u32>,
    pub orders: HashMap<RequestTicket, OrderKey>,
}

impl EventReducer for Placement {
    fn reduce(&mut self, _: Instant, event: Event, effects: &mut Vec<Effect>) {
        self.decide(event, effects);
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

impl Placement {
    pub fn new(targets: &[SocketAddr]) -> Self {
        Self {
            targets: targets.to_vec(),
            seen: Arc::default(),
            refusal: None,
            hold: false,
            drain: Duration::from_millis(300),
            rules: Arc::new(RuleSet::empty()),
            attempts: HashMap::new(),
            orders: HashMap::new(),
        }
    }

    fn decide(&mut self, event: Event, effects: &mut Vec<Effect>) {
        let seen = Arc::clone(&self.seen);
        let mut seen = seen.lock().unwrap();
        match event {
            Event::RulesReceived(set) => {
                let revision = set.revision;
                self.rules = set;
                effects.push(Effect::Log(StateChange::RulesInForce { revision }));
            }
            Event::Submitted { ticket, submission } => {
                seen.submitted += 1;
                if let Some(refusal) = &self.refusal {
                    let refusal = refusal.clone();
                    return effects.push(Effect::Refuse { ticket, refusal });
                }
                if let WorkKind::Order { key, .. } = submission.work {
                    self.orders.insert(ticket, key);
                }
                if !self.hold {
                    self.place(ticket, effects);
                }
            }
            Event::AttemptEnded { ticket, end, .. } => {
                let again = matches!(
                    end,
                    AttemptEnd::NotSent
                        | AttemptEnd::Rejected { .. }
                        | AttemptEnd::Lost { delivered: 0, .. }
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
                        refusal: Refusal::new(RefusalCause::TargetSilent, "no answer")
                            .with_outcome(RunOutcome::Unknown),
                    }),
                    _ if again => self.place(ticket, effects),
                    _ => effects.push(Effect::Refuse {
                        ticket,
                        refusal: Refusal::new(RefusalCause::GenerationLost, "lost")
                            .with_outcome(RunOutcome::Unknown),
                    }),
                }
                seen.ends.push(end);
            }
            Event::CallerLeft { ticket } => {
                seen.left.push(ticket);
                let attempt = self.attempts.get(&ticket).copied().unwrap_or(0);
                effects.push(Effect::CancelAttempt { ticket, attempt });
            }
            Event::Progress { .. } => seen.progress += 1,
            Event::DrainRequested => effects.push(Effect::StopAccepting { after: self.drain }),
            _ => {}
        }
    }

    fn place(&mut self, ticket: RequestTicket, effects: &mut Vec<Effect>) {
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

/// A running daemon.
pub struct TestDaemon {
    pub callers: SocketAddr,
    pub admin: SocketAddr,
    pub daemon: RunningDaemon,
    pub seen: Arc<Mutex<Seen>>,
}

pub fn settings(bounds: &str) -> Settings {
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
        address(),
        address(),
        address(),
        address(),
        address()
    );
    Settings::parse(&text).unwrap()
}

pub fn rules(revision: u64) -> RuleSet {
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

/// Starts a daemon with rules in force.
pub async fn start(placement: Placement) -> TestDaemon {
    start_with(placement, settings("")).await
}

pub async fn start_with(placement: Placement, settings: Settings) -> TestDaemon {
    let settings = Arc::new(settings);
    let seen = Arc::clone(&placement.seen);
    let (callers, admin) = (settings.listen.callers, settings.listen.admin);
    let daemon =
        RunningDaemon::start(settings, DaemonId::new("test"), Box::new(placement)).unwrap();
    let events = &daemon.shared().events;
    events.send(Event::RulesReceived(Arc::new(rules(41))));
    while daemon.shared().view.rules().revision != RulesRevision(41) {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    TestDaemon {
        callers,
        admin,
        daemon,
        seen,
    }
}

/// One answer as text.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Reply {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(": ")?;
            key.eq_ignore_ascii_case(name).then_some(value)
        })
    }

    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap_or_else(|_| panic!("no JSON: {self:?}"))
    }

    pub fn error(&self, field: &str) -> serde_json::Value {
        self.json()["error"][field].clone()
    }
}

/// Sends raw bytes and reads until the connection closes.
pub async fn raw(address: SocketAddr, bytes: &[u8]) -> Reply {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let _ = stream.write_all(bytes).await;
    read_reply(&mut stream).await
}

pub async fn read_reply(stream: &mut TcpStream) -> Reply {
    let mut all = Vec::new();
    let read = stream.read_to_end(&mut all);
    // A reset after the answer still leaves the bytes read so far.
    let _ = tokio::time::timeout(LIMIT, read).await.expect("no end");
    reply(&String::from_utf8_lossy(&all))
}

pub fn reply(text: &str) -> Reply {
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((text, ""));
    let status = head.split(' ').nth(1).and_then(|text| text.parse().ok());
    let is_chunked = head.contains("transfer-encoding: chunked");
    Reply {
        status: status.unwrap_or(0),
        head: head.to_owned(),
        body: if is_chunked {
            dechunk(body)
        } else {
            body.to_owned()
        },
    }
}

fn dechunk(mut text: &str) -> String {
    let mut whole = String::new();
    while let Some((size, rest)) = text.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).unwrap_or(0);
        if size == 0 || rest.len() < size {
            break;
        }
        whole.push_str(&rest[..size]);
        text = rest[size..].strip_prefix("\r\n").unwrap_or("");
    }
    whole
}

/// A request which closes its connection.
pub fn request(method: &str, path: &str, token: &str, extra: &str, body: &str) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: test\r\nauthorization: Bearer {token}\r\n\
         connection: close\r\ncontent-length: {}\r\n{extra}\r\n{body}",
        body.len()
    )
    .into_bytes()
}

pub async fn call(address: SocketAddr, method: &str, path: &str, body: &str) -> Reply {
    raw(address, &request(method, path, TOKEN, "", body)).await
}

pub fn generation(stream: bool) -> String {
    format!(r#"{{"model":"quotes","input":"sand the hall","stream":{stream}}}"#)
}

/// The sequence numbers and the JSON of all events of a stream.
pub fn events(body: &str) -> Vec<serde_json::Value> {
    body.split("\n\n")
        .filter_map(|event| {
            event
                .split('\n')
                .find_map(|line| line.strip_prefix("data: "))
        })
        .map(|data| serde_json::from_str(data).unwrap())
        .collect()
}

/// How a fake engine behaves.
#[derive(Debug, Clone)]
pub struct FakeEngine {
    pub tokens: u64,
    pub step: Duration,
    /// The connection breaks after each of these events, once each.
    pub cut_after: Arc<Mutex<Vec<u64>>>,
    /// The connection goes silent after each of these events, once each.
    pub silent_after: Arc<Mutex<Vec<u64>>>,
    /// Events sent twice, and events left out on the first connection.
    pub repeat: bool,
    pub skip: Arc<Mutex<Vec<u64>>>,
    pub incarnation: Arc<Mutex<u64>>,
    /// A cut is a restart: the incarnation changes.
    pub restart_on_cut: bool,
    pub requests: Arc<Mutex<Vec<String>>>,
    /// The first answer to a new generation, if not the stream.
    pub first_answer: Option<&'static str>,
}

impl FakeEngine {
    pub fn new(tokens: u64) -> Self {
        Self {
            tokens,
            step: Duration::from_millis(2),
            cut_after: Arc::default(),
            silent_after: Arc::default(),
            repeat: false,
            skip: Arc::default(),
            incarnation: Arc::new(Mutex::new(7)),
            restart_on_cut: false,
            requests: Arc::default(),
            first_answer: None,
        }
    }

    /// Requests that begin with `prefix`.
    pub fn count(&self, prefix: &str) -> usize {
        let requests = self.requests.lock().unwrap();
        requests
            .iter()
            .filter(|request| request.starts_with(prefix))
            .count()
    }

    pub async fn start(&self) -> SocketAddr {
        let address = address();
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
        self.requests.lock().unwrap().push(request.clone());
        let line = request.lines().next().unwrap_or_default().to_owned();
        if let (Some(answer), true) = (self.first_answer, line.starts_with("POST /v1/responses ")) {
            return stream.write_all(answer.as_bytes()).await;
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
        for number in after.map_or(0, |after| after + 1)..=self.tokens + 1 {
            if take(&self.skip, number) {
                continue;
            }
            let event = self.event(number, address);
            for _ in 0..=u8::from(self.repeat) {
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                stream.write_all(chunk.as_bytes()).await?;
            }
            if take(&self.cut_after, number) {
                *self.incarnation.lock().unwrap() += u64::from(self.restart_on_cut);
                return Ok(());
            }
            if take(&self.silent_after, number) {
                tokio::time::sleep(LIMIT).await;
            }
            if !self.step.is_zero() {
                tokio::time::sleep(self.step).await;
            }
        }
        stream.write_all(b"0\r\n\r\n").await
    }

    fn event(&self, number: u64, address: SocketAddr) -> String {
        let kind = match number {
            0 => "response.created",
            _ if number <= self.tokens => "response.output_text.delta",
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

fn take(list: &Mutex<Vec<u64>>, number: u64) -> bool {
    let mut list = list.lock().unwrap();
    let position = list.iter().position(|entry| *entry == number);
    position.map(|index| list.remove(index)).is_some()
}

/// Reads a request with its body.
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
        let is_whole = text
            .split_once("\r\n\r\n")
            .is_some_and(|(_, body)| body.len() >= length);
        if count == 0 || is_whole {
            return Ok(text);
        }
    }
}

/// A service that gives each connection the same answer; returns the requests that it saw.
pub async fn service(answer: &'static str) -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let address = address();
    let listener = TcpListener::bind(address).await.unwrap();
    let requests: Arc<Mutex<Vec<String>>> = Arc::default();
    let seen = Arc::clone(&requests);
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let request = read_request(&mut stream).await.unwrap_or_default();
            if !request.is_empty() {
                seen.lock().unwrap().push(request);
                let _ = stream.write_all(answer.as_bytes()).await;
            }
        }
    });
    (address, requests)
}
