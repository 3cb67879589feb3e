//! Callers of the system, which check what they receive while they receive it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::record::{Journal, SendEnd};
use crate::sse::EventSplitter;

const CONNECT_LIMIT: Duration = Duration::from_secs(2);
/// Both sides send a keepalive every second; three lost ones and some slack mean a dead link.
const SILENCE_LIMIT: Duration = Duration::from_secs(5);
/// A whole answer has no keepalives.
const ANSWER_LIMIT: Duration = Duration::from_secs(30);
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Rounds over all addresses before a caller gives up.
const MAX_SENDS: usize = 60;

/// A process to call.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// Its name in the script.
    pub name: String,
    /// Its address for callers.
    pub address: SocketAddr,
}

/// How a caller behaves.
#[derive(Debug, Clone)]
pub struct CallerOptions {
    /// Processes to call, in this order; after the last the first follows.
    pub via: Vec<Endpoint>,
    /// The bearer token.
    pub token: String,
    /// How long the caller keeps sending after refusals that name a time for a new try, and after
    /// broken sends of an order.
    pub patience: Duration,
    /// Whether an order that may have run is sent again with its key.
    pub resend: bool,
}

/// A generation to request.
#[derive(Debug, Clone)]
pub struct GenerationRequest {
    /// The name in the script.
    pub name: String,
    /// The model.
    pub model: String,
    /// The prompt.
    pub input: String,
    /// The length of the output.
    pub tokens: u64,
    /// Whether tokens are streamed.
    pub stream: bool,
    /// The class, sent as `metadata.class`.
    pub class: Option<String>,
}

/// An order to place.
#[derive(Debug, Clone)]
pub struct OrderRequest {
    /// The name in the script.
    pub name: String,
    /// The service.
    pub service: String,
    /// The method.
    pub method: Method,
    /// The path within the service.
    pub path: String,
    /// The idempotency key.
    pub key: String,
    /// The body.
    pub body: String,
}

/// Sends requests and records what happens.
#[derive(Debug, Clone)]
pub struct Caller {
    options: CallerOptions,
    journal: Journal,
}

/// What a stream has delivered so far, over all connections.
#[derive(Debug, Default)]
struct StreamPosition {
    resume_key: Option<String>,
    last: u64,
    last_token: Option<Instant>,
}

impl Caller {
    /// A caller that records into `journal`.
    #[must_use]
    pub fn new(options: CallerOptions, journal: Journal) -> Self {
        Self { options, journal }
    }

    fn endpoint(&self, number: usize) -> &Endpoint {
        &self.options.via[number % self.options.via.len()]
    }

    /// Requests a generation; resumes it at the next address when the connection breaks.
    pub async fn generate(&self, request: GenerationRequest) {
        let start = Instant::now();
        let mut position = StreamPosition::default();
        for number in 0..MAX_SENDS {
            let endpoint = self.endpoint(number);
            let is_resume = position.resume_key.is_some();
            let send = self
                .journal
                .begin_send(&request.name, &endpoint.name, is_resume);
            let end = self
                .send_generation(endpoint, &request, &mut position)
                .await;
            self.journal.end_send(&request.name, send, &end);
            let pause = match &end {
                SendEnd::Refused {
                    outcome,
                    retry_after: Some(delay),
                    ..
                } if outcome == "not_run" || position.last == 0 => {
                    // A refused resume may be tried again; anything else is a new request.
                    if outcome != "not_run" {
                        position.resume_key = None;
                    }
                    *delay
                }
                SendEnd::Open | SendEnd::Answered { .. } | SendEnd::Refused { .. } => return,
                SendEnd::Unreachable | SendEnd::Broken(_) => RETRY_PAUSE,
            };
            let refused = matches!(end, SendEnd::Refused { .. });
            if refused && start.elapsed() + pause > self.options.patience {
                return;
            }
            tokio::time::sleep(pause).await;
        }
    }

    /// Places an order; sends it again with the same key until its fate is known or the patience
    /// ends.
    pub async fn order(&self, request: OrderRequest) {
        let start = Instant::now();
        for number in 0..MAX_SENDS {
            let endpoint = self.endpoint(number);
            let send = self
                .journal
                .begin_send(&request.name, &endpoint.name, false);
            let end = self.send_order(endpoint, &request).await;
            self.journal.end_send(&request.name, send, &end);
            let pause = match &end {
                SendEnd::Open | SendEnd::Answered { .. } => return,
                SendEnd::Refused { retry_after, .. } => retry_after.unwrap_or(RETRY_PAUSE),
                SendEnd::Unreachable | SendEnd::Broken(_) => RETRY_PAUSE,
            };
            let may_have_run = !matches!(end.word(), "not_run" | "unreachable");
            if may_have_run && !self.options.resend {
                return;
            }
            if start.elapsed() + pause > self.options.patience {
                return;
            }
            tokio::time::sleep(pause).await;
        }
    }

    fn request(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
    ) -> hyper::http::request::Builder {
        Request::builder()
            .method(method)
            .uri(path)
            .header("host", address.to_string())
            .header("authorization", format!("Bearer {}", self.options.token))
    }

    async fn send_generation(
        &self,
        endpoint: &Endpoint,
        request: &GenerationRequest,
        position: &mut StreamPosition,
    ) -> SendEnd {
        let message = match &position.resume_key {
            Some(key) => {
                let path = format!(
                    "/v1/responses/{key}?stream=true&starting_after={}",
                    position.last
                );
                self.request(Method::GET, endpoint.address, &path)
                    .body(Full::default())
            }
            None => self
                .request(Method::POST, endpoint.address, "/v1/responses")
                .header("content-type", "application/json")
                .body(Full::from(request.to_json().to_string())),
        };
        let message = message.expect("the request has valid parts");
        let response = match send(endpoint.address, message).await {
            Ok(response) => response,
            Err(end) => return end,
        };
        if response.status() != StatusCode::OK {
            return self.read_refusal(&request.name, response).await;
        }
        if request.stream {
            self.read_stream(request, response, position).await
        } else {
            self.read_generation(request, response).await
        }
    }

    async fn read_stream(
        &self,
        request: &GenerationRequest,
        response: Response<Incoming>,
        position: &mut StreamPosition,
    ) -> SendEnd {
        let mut splitter = EventSplitter::default();
        let mut body = response.into_body();
        loop {
            let frame = match timeout(SILENCE_LIMIT, body.frame()).await {
                Err(_) => return SendEnd::Broken(format!("silent for {SILENCE_LIMIT:?}")),
                Ok(None) => return SendEnd::Broken("ended without a last event".to_owned()),
                Ok(Some(Err(error))) => return SendEnd::Broken(error.to_string()),
                Ok(Some(Ok(frame))) => frame,
            };
            let bytes = frame.into_data().unwrap_or_default();
            let events = match splitter.push(&bytes) {
                Ok(events) => events,
                Err(cause) => {
                    self.violation(&request.name, format!("malformed stream: {cause}"));
                    return SendEnd::Broken(cause);
                }
            };
            for event in events {
                if let Some(end) = self.take_event(request, &event, position) {
                    return end;
                }
            }
        }
    }

    /// Checks one event; returns the end of the stream if it is the last.
    fn take_event(
        &self,
        request: &GenerationRequest,
        event: &Value,
        position: &mut StreamPosition,
    ) -> Option<SendEnd> {
        let sequence = event["sequence_number"].as_u64();
        match event["type"].as_str().unwrap_or_default() {
            "response.created" => {
                let key = event["response"]["id"].as_str().map(str::to_owned);
                let echo = event["response"]["metadata"]["request"].as_str();
                if echo.is_some_and(|echo| echo != request.name) {
                    self.violation(&request.name, format!("received the stream of {echo:?}"));
                }
                position.resume_key = key;
                None
            }
            "response.output_text.delta" => {
                if sequence != Some(position.last + 1) {
                    let text = format!("sequence {sequence:?} follows {}", position.last);
                    self.violation(&request.name, text);
                }
                position.last = sequence.unwrap_or(position.last);
                let text = event["delta"].as_str().unwrap_or_default();
                self.take_token(&request.name, text, position);
                None
            }
            "response.completed" => {
                self.complete(request, position.last);
                Some(SendEnd::Answered { status: 200 })
            }
            "response.failed" | "response.cancelled" => {
                let error = match &event["error"] {
                    Value::Null => &event["response"]["error"],
                    error => error,
                };
                Some(refusal(error))
            }
            _ => None,
        }
    }

    fn take_token(&self, name: &str, text: &str, position: &mut StreamPosition) {
        let now = Instant::now();
        let gap = position.last_token.map(|last| now - last);
        position.last_token = Some(now);
        let parts = text.trim_end().rsplit_once(':');
        self.journal.update(name, |record| {
            record.tokens += 1;
            record.longest_gap = record.longest_gap.max(gap.unwrap_or_default());
            let Some((id, number)) = parts else {
                record.violations.push(format!("token text {text:?}"));
                return;
            };
            if number.parse() != Ok(position.last) {
                let line = format!("token {number} at position {}", position.last);
                record.violations.push(line);
            }
            match &record.generation {
                Some(first) if first != id => {
                    let line = format!("tokens of {first} and {id} in one answer");
                    record.violations.push(line);
                }
                Some(_) => {}
                None => record.generation = Some(id.to_owned()),
            }
        });
    }

    fn complete(&self, request: &GenerationRequest, received: u64) {
        if received != request.tokens {
            let text = format!("completed after {received} of {} tokens", request.tokens);
            self.violation(&request.name, text);
        }
        self.journal
            .update(&request.name, |record| record.complete = true);
    }

    /// Reads a whole (non-streamed) generation.
    async fn read_generation(
        &self,
        request: &GenerationRequest,
        response: Response<Incoming>,
    ) -> SendEnd {
        let answer = match read_whole(response).await {
            Ok(bytes) => serde_json::from_slice::<Value>(&bytes).unwrap_or_default(),
            Err(end) => return end,
        };
        if answer["error"].is_object() {
            return refusal(&answer["error"]);
        }
        let text = answer["output"][0]["content"][0]["text"].as_str();
        let mut position = StreamPosition::default();
        for token in text.unwrap_or_default().split_inclusive(' ') {
            position.last += 1;
            self.take_token(&request.name, token, &mut position);
        }
        let echo = answer["metadata"]["request"].as_str();
        if echo.is_some_and(|echo| echo != request.name) {
            self.violation(&request.name, format!("received the answer of {echo:?}"));
        }
        self.complete(request, position.last);
        SendEnd::Answered { status: 200 }
    }

    async fn send_order(&self, endpoint: &Endpoint, request: &OrderRequest) -> SendEnd {
        let path = format!("/v1/services/{}/{}", request.service, request.path);
        let message = self
            .request(request.method.clone(), endpoint.address, &path)
            .header("idempotency-key", &request.key)
            .header("content-type", "text/plain")
            .body(Full::from(request.body.clone()))
            .expect("the request has valid parts");
        let response = match send(endpoint.address, message).await {
            Ok(response) => response,
            Err(end) => return end,
        };
        let status = response.status().as_u16();
        let outcome = header(&response, "x-outcome");
        let answer = match read_whole(response).await {
            Ok(bytes) => serde_json::from_slice::<Value>(&bytes).unwrap_or_default(),
            Err(end) => return end,
        };
        if answer["error"].is_object() {
            self.check_refusal(&request.name, &answer["error"], outcome.as_deref());
            return refusal(&answer["error"]);
        }
        if answer["body"] != json!(request.body) || answer["key"] != json!(request.key) {
            let text = format!("answer {answer} does not belong to key {}", request.key);
            self.violation(&request.name, text);
        }
        self.journal
            .update(&request.name, |record| record.complete = true);
        SendEnd::Answered { status }
    }

    async fn read_refusal(&self, name: &str, response: Response<Incoming>) -> SendEnd {
        let outcome = header(&response, "x-outcome");
        let status = response.status();
        let bytes = match read_whole(response).await {
            Ok(bytes) => bytes,
            Err(end) => return end,
        };
        let answer: Value = serde_json::from_slice(&bytes).unwrap_or_default();
        if !answer["error"].is_object() {
            let text = format!("status {status} without an error object");
            self.violation(name, text);
        }
        self.check_refusal(name, &answer["error"], outcome.as_deref());
        refusal(&answer["error"])
    }

    /// The header and the body of a refusal must agree.
    fn check_refusal(&self, name: &str, error: &Value, outcome: Option<&str>) {
        if error["outcome"].as_str() != outcome {
            let text = format!("X-Outcome {outcome:?} with body {error}");
            self.violation(name, text);
        }
        if error["message"].as_str().is_none_or(str::is_empty) {
            self.violation(name, format!("refusal without a message: {error}"));
        }
    }

    fn violation(&self, name: &str, text: String) {
        self.journal.trace(format!("{name}: VIOLATION {text}"));
        self.journal
            .update(name, |record| record.violations.push(text));
    }
}

impl GenerationRequest {
    fn to_json(&self) -> Value {
        let mut metadata = json!({
            "output_tokens": self.tokens.to_string(),
            "request": self.name,
        });
        if let Some(class) = &self.class {
            metadata["class"] = json!(class);
        }
        json!({
            "model": self.model,
            "input": self.input,
            "stream": self.stream,
            "metadata": metadata,
        })
    }
}

/// Addresses that callers may use for a while.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AddressAnswer {
    /// The addresses, nearest first.
    pub addresses: Vec<SocketAddr>,
    /// How long they may be used.
    pub lifetime: Duration,
}

/// Asks a daemon which addresses to use.
pub async fn ask_addresses(endpoint: &Endpoint, token: &str) -> Option<AddressAnswer> {
    let message = Request::get("/v1/addresses")
        .header("host", endpoint.address.to_string())
        .header("authorization", format!("Bearer {token}"))
        .body(Full::default())
        .ok()?;
    let response = send(endpoint.address, message).await.ok()?;
    let bytes = read_whole(response).await.ok()?;
    let answer: Value = serde_json::from_slice(&bytes).ok()?;
    let addresses = answer["addresses"].as_array()?.iter();
    Some(AddressAnswer {
        addresses: addresses
            .filter_map(|entry| entry["address"].as_str()?.parse().ok())
            .collect(),
        lifetime: Duration::from_millis(answer["lifetime_ms"].as_u64()?),
    })
}

fn refusal(error: &Value) -> SendEnd {
    let text = |name: &str| error[name].as_str().unwrap_or("none").to_owned();
    SendEnd::Refused {
        code: text("code"),
        outcome: text("outcome"),
        retry_after: error["retry_after_ms"].as_u64().map(Duration::from_millis),
    }
}

fn header(response: &Response<Incoming>, name: &str) -> Option<String> {
    let value = response.headers().get(name)?;
    value.to_str().ok().map(str::to_owned)
}

async fn send(
    address: SocketAddr,
    message: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, SendEnd> {
    let Ok(Ok(stream)) = timeout(CONNECT_LIMIT, TcpStream::connect(address)).await else {
        return Err(SendEnd::Unreachable);
    };
    let broken = |error: &dyn std::fmt::Display| SendEnd::Broken(error.to_string());
    stream.set_nodelay(true).map_err(|error| broken(&error))?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| broken(&error))?;
    tokio::spawn(connection);
    match timeout(ANSWER_LIMIT, sender.send_request(message)).await {
        Ok(result) => result.map_err(|error| broken(&error)),
        Err(_) => Err(SendEnd::Broken(format!("no answer for {ANSWER_LIMIT:?}"))),
    }
}

async fn read_whole(response: Response<Incoming>) -> Result<Bytes, SendEnd> {
    match timeout(ANSWER_LIMIT, response.into_body().collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) => Err(SendEnd::Broken(error.to_string())),
        Err(_) => Err(SendEnd::Broken(format!("no body for {ANSWER_LIMIT:?}"))),
    }
}
