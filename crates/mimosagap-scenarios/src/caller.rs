//! Callers that send requests to daemons and verify the responses as they arrive.

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

use crate::record::{ScenarioRecorder, SendState};
use crate::sse::EventParser;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Daemons and engines send a keepalive on a stream every second. Three lost ones plus some slack
/// mean that the connection is broken.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(5);
/// The limit for a response that is not streamed, which has no keepalives.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);
/// The delay before a retry if the response names none.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Sends of one request before the caller gives up.
const MAX_SENDS: usize = 60;

/// A process to call.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// The name of the process in the script.
    pub name: String,
    /// The address on which it serves callers.
    pub address: SocketAddr,
}

/// The retry policy and credentials of a caller.
#[derive(Debug, Clone)]
pub struct CallerOptions {
    /// Processes to call, in rotation: each send goes to the next one.
    pub endpoints: Vec<Endpoint>,
    /// The bearer token of the caller's team.
    pub token: String,
    /// How long the caller retries a generation after refusals that name a retry time, and an order
    /// after refusals and failed sends. Failed sends of a generation are retried regardless.
    pub retry_timeout: Duration,
    /// Whether an order that may have been executed is sent again with its key.
    pub resend_unknown: bool,
}

/// A generation to request.
#[derive(Debug, Clone)]
pub struct GenerationRequest {
    /// The name of the request in the script and in the records.
    pub name: String,
    /// The model to request, sent as `model`.
    pub model: String,
    /// The prompt, sent as `input`.
    pub input: String,
    /// The output length, in tokens.
    pub tokens: u64,
    /// Whether tokens are streamed.
    pub stream: bool,
    /// The request class, sent as `metadata.class`; `None` sends no class.
    pub class: Option<String>,
}

/// An order to send: a request to a plain service with an idempotency key.
#[derive(Debug, Clone)]
pub struct OrderRequest {
    /// The name of the request in the script and in the records.
    pub name: String,
    /// The deployment name of the service.
    pub service: String,
    /// The HTTP method.
    pub method: Method,
    /// The path within the service.
    pub path: String,
    /// The idempotency key; sends with the same key belong to one order.
    pub key: String,
    /// The request body; the response must repeat it.
    pub body: String,
}

/// Sends requests, verifies the responses and records both.
#[derive(Debug, Clone)]
pub struct Caller {
    options: CallerOptions,
    recorder: ScenarioRecorder,
}

/// The progress of a stream over all connections that carried it.
#[derive(Debug, Default)]
struct StreamProgress {
    response_id: Option<String>,
    last_sequence: u64,
    last_token_at: Option<Instant>,
}

impl Caller {
    /// A caller that adds its sends to `recorder`.
    #[must_use]
    pub fn new(options: CallerOptions, recorder: ScenarioRecorder) -> Self {
        Self { options, recorder }
    }

    fn endpoint(&self, attempt: usize) -> &Endpoint {
        &self.options.endpoints[attempt % self.options.endpoints.len()]
    }

    /// Sends a generation. When the connection breaks, resumes the stream at the next endpoint.
    pub async fn send_generation_with_retries(&self, request: GenerationRequest) {
        let start = Instant::now();
        let mut progress = StreamProgress::default();
        for attempt in 0..MAX_SENDS {
            let endpoint = self.endpoint(attempt);
            let is_resume = progress.response_id.is_some();
            let send_index = self
                .recorder
                .begin_send(&request.name, &endpoint.name, is_resume);
            let state = self
                .send_generation(endpoint, &request, &mut progress)
                .await;
            self.recorder.end_send(&request.name, send_index, &state);
            let delay = match &state {
                SendState::Refused {
                    outcome,
                    retry_after: Some(retry_after),
                    ..
                } if outcome == "not_run" || progress.last_sequence == 0 => {
                    // A refusal as `not_run` keeps the response id, so that a resume is tried
                    // again. After any other refusal the request starts anew.
                    if outcome != "not_run" {
                        progress.response_id = None;
                    }
                    *retry_after
                }
                SendState::Open | SendState::Answered { .. } | SendState::Refused { .. } => return,
                SendState::Unreachable | SendState::Broken(_) => RETRY_DELAY,
            };
            let is_refused = matches!(state, SendState::Refused { .. });
            if is_refused && start.elapsed() + delay > self.options.retry_timeout {
                return;
            }
            tokio::time::sleep(delay).await;
        }
    }

    /// Sends an order, and again with the same key until its outcome is known or the retry timeout
    /// has passed.
    pub async fn send_order_with_retries(&self, request: OrderRequest) {
        let start = Instant::now();
        for attempt in 0..MAX_SENDS {
            let endpoint = self.endpoint(attempt);
            let send_index = self
                .recorder
                .begin_send(&request.name, &endpoint.name, false);
            let is_first = !self.recorder.other_send_may_have_been_executed(
                &request.key,
                &request.name,
                send_index,
            );
            let state = self.send_order(endpoint, &request, is_first).await;
            self.recorder.end_send(&request.name, send_index, &state);
            let delay = match &state {
                SendState::Open | SendState::Answered { .. } => return,
                SendState::Refused { retry_after, .. } => retry_after.unwrap_or(RETRY_DELAY),
                SendState::Unreachable | SendState::Broken(_) => RETRY_DELAY,
            };
            if state.may_have_been_executed() && !self.options.resend_unknown {
                return;
            }
            if start.elapsed() + delay > self.options.retry_timeout {
                return;
            }
            tokio::time::sleep(delay).await;
        }
    }

    fn request_builder(
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
        progress: &mut StreamProgress,
    ) -> SendState {
        let message = match &progress.response_id {
            Some(response_id) => {
                let path = format!(
                    "/v1/responses/{response_id}?stream=true&starting_after={}",
                    progress.last_sequence
                );
                self.request_builder(Method::GET, endpoint.address, &path)
                    .body(Full::default())
            }
            None => self
                .request_builder(Method::POST, endpoint.address, "/v1/responses")
                .header("content-type", "application/json")
                .body(Full::from(request.to_json().to_string())),
        };
        let message = message.expect("the request has valid parts");
        let response = match send(endpoint.address, message).await {
            Ok(response) => response,
            Err(state) => return state,
        };
        if response.status() != StatusCode::OK {
            return self.read_refusal(&request.name, response).await;
        }
        if request.stream {
            self.read_stream(request, response, progress).await
        } else {
            self.read_whole_generation(request, response).await
        }
    }

    async fn read_stream(
        &self,
        request: &GenerationRequest,
        response: Response<Incoming>,
        progress: &mut StreamProgress,
    ) -> SendState {
        let mut parser = EventParser::default();
        let mut body = response.into_body();
        loop {
            let frame = match timeout(SILENCE_TIMEOUT, body.frame()).await {
                Err(_) => return SendState::Broken(format!("no data for {SILENCE_TIMEOUT:?}")),
                Ok(None) => return SendState::Broken("ended without a final event".to_owned()),
                Ok(Some(Err(error))) => return SendState::Broken(error.to_string()),
                Ok(Some(Ok(frame))) => frame,
            };
            let bytes = frame.into_data().unwrap_or_default();
            let events = match parser.push(&bytes) {
                Ok(events) => events,
                Err(cause) => {
                    self.record_violation(&request.name, format!("malformed stream: {cause}"));
                    return SendState::Broken(cause);
                }
            };
            for event in events {
                if let Some(state) = self.handle_event(request, &event, progress) {
                    return state;
                }
            }
        }
    }

    /// Verifies one event. Returns the state of the send if it is the last event of the stream.
    fn handle_event(
        &self,
        request: &GenerationRequest,
        event: &Value,
        progress: &mut StreamProgress,
    ) -> Option<SendState> {
        let sequence = event["sequence_number"].as_u64();
        match event["type"].as_str().unwrap_or_default() {
            "response.created" => {
                let response_id = event["response"]["id"].as_str().map(str::to_owned);
                let echo = event["response"]["metadata"]["request"].as_str();
                if echo.is_some_and(|echo| echo != request.name) {
                    self.record_violation(
                        &request.name,
                        format!("received the stream of request {echo:?}"),
                    );
                }
                progress.response_id = response_id;
                None
            }
            "response.output_text.delta" => {
                if sequence != Some(progress.last_sequence + 1) {
                    let text = format!("sequence {sequence:?} follows {}", progress.last_sequence);
                    self.record_violation(&request.name, text);
                }
                progress.last_sequence = sequence.unwrap_or(progress.last_sequence);
                let text = event["delta"].as_str().unwrap_or_default();
                self.record_token(&request.name, text, progress);
                None
            }
            "response.completed" => {
                self.record_completion(request, progress.last_sequence);
                Some(SendState::Answered { status: 200 })
            }
            "response.failed" | "response.cancelled" => {
                let error = match &event["error"] {
                    Value::Null => &event["response"]["error"],
                    error => error,
                };
                Some(parse_refusal(error))
            }
            _ => None,
        }
    }

    fn record_token(&self, name: &str, text: &str, progress: &mut StreamProgress) {
        let now = Instant::now();
        let gap = progress.last_token_at.map(|last| now - last);
        progress.last_token_at = Some(now);
        let parts = text.trim_end().rsplit_once(':');
        self.recorder.update(name, |record| {
            record.received_tokens += 1;
            record.longest_token_gap = record.longest_token_gap.max(gap.unwrap_or_default());
            let Some((id, number)) = parts else {
                record.violations.push(format!(
                    "token text {text:?} has no generation id and number"
                ));
                return;
            };
            if number.parse() != Ok(progress.last_sequence) {
                let line = format!("token {number} at position {}", progress.last_sequence);
                record.violations.push(line);
            }
            match &record.generation_id {
                Some(first) if first != id => {
                    let line = format!("tokens of {first} and {id} in one response");
                    record.violations.push(line);
                }
                Some(_) => {}
                None => record.generation_id = Some(id.to_owned()),
            }
        });
    }

    fn record_completion(&self, request: &GenerationRequest, received: u64) {
        if received != request.tokens {
            let text = format!("completed after {received} of {} tokens", request.tokens);
            self.record_violation(&request.name, text);
        }
        self.recorder
            .update(&request.name, |record| record.is_complete = true);
    }

    /// Reads and verifies a generation that is not streamed.
    async fn read_whole_generation(
        &self,
        request: &GenerationRequest,
        response: Response<Incoming>,
    ) -> SendState {
        let response_json = match read_body(response).await {
            Ok(bytes) => serde_json::from_slice::<Value>(&bytes).unwrap_or_default(),
            Err(state) => return state,
        };
        if response_json["error"].is_object() {
            return parse_refusal(&response_json["error"]);
        }
        let text = response_json["output"][0]["content"][0]["text"].as_str();
        let mut progress = StreamProgress::default();
        for token in text.unwrap_or_default().split_inclusive(' ') {
            progress.last_sequence += 1;
            self.record_token(&request.name, token, &mut progress);
        }
        let echo = response_json["metadata"]["request"].as_str();
        if echo.is_some_and(|echo| echo != request.name) {
            self.record_violation(
                &request.name,
                format!("received the response to request {echo:?}"),
            );
        }
        self.record_completion(request, progress.last_sequence);
        SendState::Answered { status: 200 }
    }

    /// Sends an order once. `is_first` is `true` if no earlier send of the key may have been
    /// executed; the service API requires callers to say so in `x-first-send`.
    async fn send_order(
        &self,
        endpoint: &Endpoint,
        request: &OrderRequest,
        is_first: bool,
    ) -> SendState {
        let path = format!("/v1/services/{}/{}", request.service, request.path);
        let message = self
            .request_builder(request.method.clone(), endpoint.address, &path)
            .header("idempotency-key", &request.key)
            .header("x-first-send", if is_first { "true" } else { "false" })
            .header("content-type", "text/plain")
            .body(Full::from(request.body.clone()))
            .expect("the request has valid parts");
        let response = match send(endpoint.address, message).await {
            Ok(response) => response,
            Err(state) => return state,
        };
        let status = response.status().as_u16();
        let outcome = header_value(&response, "x-outcome");
        let response_json = match read_body(response).await {
            Ok(bytes) => serde_json::from_slice::<Value>(&bytes).unwrap_or_default(),
            Err(state) => return state,
        };
        if response_json["error"].is_object() {
            self.check_refusal(&request.name, &response_json["error"], outcome.as_deref());
            return parse_refusal(&response_json["error"]);
        }
        if response_json["body"] != json!(request.body)
            || response_json["key"] != json!(request.key)
        {
            let text = format!(
                "response {response_json} does not match the order with key {}",
                request.key
            );
            self.record_violation(&request.name, text);
        }
        self.recorder
            .update(&request.name, |record| record.is_complete = true);
        SendState::Answered { status }
    }

    async fn read_refusal(&self, name: &str, response: Response<Incoming>) -> SendState {
        let outcome = header_value(&response, "x-outcome");
        let status = response.status();
        let bytes = match read_body(response).await {
            Ok(bytes) => bytes,
            Err(state) => return state,
        };
        let response_json: Value = serde_json::from_slice(&bytes).unwrap_or_default();
        if !response_json["error"].is_object() {
            let text = format!("status {status} has no error object");
            self.record_violation(name, text);
        }
        self.check_refusal(name, &response_json["error"], outcome.as_deref());
        parse_refusal(&response_json["error"])
    }

    /// Verifies that the header and the body of a refusal agree, and that it has a message.
    fn check_refusal(&self, name: &str, error: &Value, outcome: Option<&str>) {
        if error["outcome"].as_str() != outcome {
            let text = format!("header x-outcome {outcome:?} differs from the body {error}");
            self.record_violation(name, text);
        }
        if error["message"].as_str().is_none_or(str::is_empty) {
            self.record_violation(name, format!("refusal has no message: {error}"));
        }
    }

    fn record_violation(&self, name: &str, text: String) {
        self.recorder.trace(format!("{name}: VIOLATION {text}"));
        self.recorder
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

/// The response to `GET /v1/addresses`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AddressResponse {
    /// The addresses of daemons, nearest first.
    pub addresses: Vec<SocketAddr>,
    /// How long callers may use the addresses.
    pub lifetime: Duration,
}

/// Fetches the addresses to use from a daemon; `None` if it does not respond or the response is
/// malformed.
pub async fn fetch_addresses(endpoint: &Endpoint, token: &str) -> Option<AddressResponse> {
    let message = Request::get("/v1/addresses")
        .header("host", endpoint.address.to_string())
        .header("authorization", format!("Bearer {token}"))
        .body(Full::default())
        .ok()?;
    let response = send(endpoint.address, message).await.ok()?;
    let bytes = read_body(response).await.ok()?;
    let response_json: Value = serde_json::from_slice(&bytes).ok()?;
    let addresses = response_json["addresses"].as_array()?.iter();
    Some(AddressResponse {
        addresses: addresses
            .filter_map(|entry| entry["address"].as_str()?.parse().ok())
            .collect(),
        lifetime: Duration::from_millis(response_json["lifetime_ms"].as_u64()?),
    })
}

fn parse_refusal(error: &Value) -> SendState {
    let text = |name: &str| error[name].as_str().unwrap_or("none").to_owned();
    SendState::Refused {
        code: text("code"),
        outcome: text("outcome"),
        retry_after: error["retry_after_ms"].as_u64().map(Duration::from_millis),
    }
}

fn header_value(response: &Response<Incoming>, name: &str) -> Option<String> {
    let value = response.headers().get(name)?;
    value.to_str().ok().map(str::to_owned)
}

async fn send(
    address: SocketAddr,
    message: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, SendState> {
    let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await else {
        return Err(SendState::Unreachable);
    };
    let broken = |error: &dyn std::fmt::Display| SendState::Broken(error.to_string());
    stream.set_nodelay(true).map_err(|error| broken(&error))?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| broken(&error))?;
    tokio::spawn(connection);
    match timeout(RESPONSE_TIMEOUT, sender.send_request(message)).await {
        Ok(result) => result.map_err(|error| broken(&error)),
        Err(_) => Err(SendState::Broken(format!(
            "no response for {RESPONSE_TIMEOUT:?}"
        ))),
    }
}

async fn read_body(response: Response<Incoming>) -> Result<Bytes, SendState> {
    match timeout(RESPONSE_TIMEOUT, response.into_body().collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) => Err(SendState::Broken(error.to_string())),
        Err(_) => Err(SendState::Broken(format!(
            "no body for {RESPONSE_TIMEOUT:?}"
        ))),
    }
}
