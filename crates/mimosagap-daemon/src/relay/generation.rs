//! Relays one generation from an engine to a caller.
//!
//! The relay reconnects to the engine when a connection fails, so that the caller receives each
//! event once and in order. It never joins the output of two generations in one stream.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::http::response::Parts;
use hyper::{Method, Request, StatusCode};
use mimosagap_core::{AttemptEnd, Event};
use mimosagap_types::prelude::*;
use mimosagap_types::resume::ResumeToken;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use super::IDLE_TIMEOUT;
use super::buffered_response::BufferedResponse;
use super::connection::{ReadError, SendError, TargetResponse, header_text, send_request};
use super::idle_timer::IdleTimer;
use super::output_buffer::OutputBuffer;
use super::sse::{EventHeader, EventKind, EventScanner, MalformedEvent, event_data};
use crate::frontend::response::refusal_json;
use crate::metrics::StreamMetrics;
use crate::requests::{OpenRequest, RequestCommand};
use crate::shared::SharedState;

/// Minimum time between two `Progress` events of a stream.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(250);

/// How long the relay tries to reconnect to a generation before it counts as lost.
const RESUME_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay before the second reconnect attempt; doubles with each further one.
const INITIAL_RESUME_DELAY: Duration = Duration::from_millis(50);

/// Consecutive connections without a new event after which the generation counts as lost.
const MAX_CONNECTIONS_WITHOUT_PROGRESS: u32 = 5;

/// Written into resume tokens of engines that do not report their incarnation.
const UNKNOWN_INCARNATION: Incarnation = Incarnation(0);

const MAX_ENGINE_ERROR_BYTES: usize = 16 << 10;

/// Maximum size of the response to a cancel request, in bytes.
const MAX_CANCEL_RESPONSE_BYTES: usize = 1 << 20;

/// Where the relay delivers the events.
pub enum ResponseSink {
    /// To the caller as they arrive.
    Stream(Arc<OutputBuffer>),
    /// Into a single response after the last event.
    Buffered(BufferedResponse),
}

/// The request for an engine: the caller's request object, in which the relay sets `stream` and
/// `priority`.
#[derive(Debug, Clone)]
pub struct GenerationRequest {
    /// The caller's request object.
    pub fields: serde_json::Map<String, Value>,
}

impl GenerationRequest {
    fn encode(&self, priority: i32) -> Bytes {
        let mut fields = self.fields.clone();
        fields.insert("stream".to_owned(), json!(true));
        fields.insert("priority".to_owned(), json!(priority));
        Bytes::from(Value::Object(fields).to_string())
    }
}

/// The generation as its engine identifies it. Both ids are empty until `response.created` arrives.
#[derive(Debug, Clone)]
struct EngineGeneration {
    target: TargetAddress,
    incarnation: Option<Incarnation>,
    response_id: String,
    /// The signed resume token, which callers use as the response id.
    caller_response_id: String,
}

/// How relaying over one connection ended.
enum RelayOutcome {
    Finished(AttemptEnd),
    ConnectionFailed,
}

/// The engine no longer has the generation, so it cannot be continued.
struct EngineLost {
    target_died: bool,
}

/// The relay of one generation.
pub struct GenerationRelay {
    shared: Arc<SharedState>,
    team: TeamName,
    metrics: StreamMetrics,
    sink: ResponseSink,
    started_at: Instant,
    /// `None` until an engine accepts an attempt.
    engine: Option<EngineGeneration>,
    /// The sequence number of the last handled event.
    last_sequence: Option<u64>,
    token_count: u32,
    last_token_at: Option<Instant>,
    last_progress_at: Option<Instant>,
    /// The encoded `response.created` until the first token; empty afterwards.
    held_created_event: Vec<u8>,
    incarnation: Option<Incarnation>,
    /// `None` while resuming, since a resume is not submitted to the reducer.
    ticket: Option<RequestTicket>,
    /// `None` between attempts.
    attempt: Option<u32>,
    is_cancelled: bool,
    /// Set if an engine rejects the request itself.
    engine_rejection: Option<Refusal>,
    is_finished: bool,
}

impl GenerationRelay {
    /// Creates the relay of a generation that is not dispatched yet.
    #[must_use]
    pub fn new(
        shared: Arc<SharedState>,
        team: TeamName,
        class: &ClassName,
        sink: ResponseSink,
    ) -> Self {
        let metrics = shared.metrics.stream_metrics(team.as_str(), class.as_str());
        let now = Instant::now();
        Self {
            shared,
            team,
            metrics,
            sink,
            started_at: now,
            engine: None,
            last_sequence: None,
            token_count: 0,
            last_token_at: None,
            last_progress_at: None,
            held_created_event: Vec::new(),
            incarnation: None,
            ticket: None,
            attempt: None,
            is_cancelled: false,
            engine_rejection: None,
            is_finished: false,
        }
    }

    /// Serves a new request until it has its final response.
    ///
    /// # Errors
    /// The refusal that is the caller's final response.
    pub async fn serve(
        &mut self,
        request: &mut OpenRequest,
        generation_request: &GenerationRequest,
    ) -> Result<(), Refusal> {
        self.ticket = Some(request.ticket);
        let result = self.serve_attempts(request, generation_request).await;
        self.is_finished = true;
        result
    }

    async fn serve_attempts(
        &mut self,
        request: &mut OpenRequest,
        generation_request: &GenerationRequest,
    ) -> Result<(), Refusal> {
        let mut command = request.next_command().await;
        loop {
            command = match command {
                RequestCommand::Refuse(refusal) => return Err(refusal),
                RequestCommand::Cancel { .. } | RequestCommand::RespondFromRecord(_) => {
                    request.next_command().await
                }
                RequestCommand::Dispatch {
                    attempt,
                    target,
                    priority,
                } => {
                    self.attempt = Some(attempt);
                    let body = generation_request.encode(priority);
                    let run =
                        run_until_interrupted(self.run_attempt(target, body), request, attempt)
                            .await;
                    self.attempt = None;
                    let is_final = matches!(
                        run,
                        AttemptRun::Ended(AttemptEnd::Completed { .. } | AttemptEnd::Cancelled)
                    );
                    let (end, next_command) = match run {
                        AttemptRun::Ended(end) => (end, None),
                        AttemptRun::Interrupted(command) => (AttemptEnd::Cancelled, command),
                    };
                    if !is_final {
                        self.cancel_engine();
                    }
                    self.shared.events.send(Event::AttemptEnded {
                        ticket: request.ticket,
                        attempt,
                        end,
                    });
                    if is_final {
                        return self.engine_rejection.take().map_or(Ok(()), Err);
                    }
                    match next_command {
                        Some(command) => command,
                        None => request.next_command().await,
                    }
                }
            };
        }
    }

    /// Continues a generation after the event `last_sequence`, or from its first event with `None`.
    ///
    /// # Errors
    /// The refusal that is the caller's final response.
    pub async fn resume(
        &mut self,
        resume_token: ResumeToken,
        caller_response_id: &str,
        last_sequence: Option<u64>,
    ) -> Result<(), Refusal> {
        self.engine = Some(EngineGeneration {
            target: resume_token.target,
            incarnation: Some(resume_token.incarnation)
                .filter(|found| *found != UNKNOWN_INCARNATION),
            response_id: resume_token.response_id,
            caller_response_id: caller_response_id.to_owned(),
        });
        self.last_sequence = last_sequence;
        self.token_count = last_sequence.map_or(0, tokens_up_to);
        let end = match self.reconnect().await {
            Ok(response) => self.relay_until_end(response).await,
            Err(EngineLost { target_died }) => self.lost_end(target_died),
        };
        self.is_finished = true;
        match end {
            AttemptEnd::Completed { .. } | AttemptEnd::Cancelled => Ok(()),
            AttemptEnd::Failed { .. } => Err(Refusal::new(
                RefusalCause::TargetFailed,
                "the engine ended the generation with an error; send the request again",
            )
            .with_outcome(RunOutcome::Unknown)),
            _ => Err(generation_lost_refusal()),
        }
    }

    async fn run_attempt(&mut self, target: TargetAddress, body: Bytes) -> AttemptEnd {
        if self.delivered_tokens() > 0 {
            // The caller has tokens of another generation, and two must not be joined.
            return self.lost_end(false);
        }
        self.reset_stream();
        let request = build_engine_request(Method::POST, target, "/v1/responses", body);
        match send_request(target, request, IDLE_TIMEOUT).await {
            Ok(response) if response.head.status == StatusCode::OK => {
                self.incarnation = self.incarnation_of(&response.head, target);
                self.report_accepted();
                self.engine = Some(EngineGeneration {
                    target,
                    incarnation: self.incarnation,
                    response_id: String::new(),
                    caller_response_id: String::new(),
                });
                self.relay_until_end(response).await
            }
            Ok(response) if response.is_not_run() => AttemptEnd::Rejected {
                retry_after: response.retry_after(),
                leaving: response.is_leaving(),
            },
            Ok(response) => self.handle_engine_error(response).await,
            Err(SendError::NotConnected { refused }) => {
                self.report_unreachable(target, refused);
                AttemptEnd::NotSent
            }
            Err(SendError::TimedOut) => self.lost_end(false),
            Err(SendError::Failed) => {
                let incarnation = self.shared.view.incarnation(&target);
                self.lost_end(self.has_process_ended(target, incarnation).await)
            }
        }
    }

    /// Whether the process with the incarnation `expected` has ended: its host refuses connections,
    /// or a process with another incarnation responds.
    async fn has_process_ended(
        &self,
        target: TargetAddress,
        expected: Option<Incarnation>,
    ) -> bool {
        let request = build_engine_request(Method::GET, target, "/metrics", Bytes::new());
        match send_request(target, request, IDLE_TIMEOUT).await {
            Ok(response) => {
                let found = reported_incarnation(&response.head);
                expected.is_some() && found.is_some() && found != expected
            }
            Err(SendError::NotConnected { refused: true }) => {
                self.report_unreachable(target, true);
                true
            }
            Err(_) => false,
        }
    }

    /// Maps an error response to the attempt's end. An error in the request itself is final, because
    /// every other engine would reject the request too.
    async fn handle_engine_error(&mut self, response: TargetResponse) -> AttemptEnd {
        let is_request_error = matches!(
            response.head.status,
            StatusCode::BAD_REQUEST
                | StatusCode::PAYLOAD_TOO_LARGE
                | StatusCode::UNPROCESSABLE_ENTITY
        );
        if !is_request_error {
            return AttemptEnd::Failed {
                delivered_tokens: 0,
            };
        }
        let body = response
            .read_body(MAX_ENGINE_ERROR_BYTES, IDLE_TIMEOUT)
            .await;
        let body: Value = serde_json::from_slice(&body.unwrap_or_default()).unwrap_or_default();
        let message = body["error"]["message"]
            .as_str()
            .unwrap_or("the engine does not accept the request; correct it");
        self.engine_rejection = Some(Refusal::new(RefusalCause::BadRequest, message));
        AttemptEnd::Cancelled
    }

    fn reset_stream(&mut self) {
        self.engine = None;
        self.last_sequence = None;
        self.token_count = 0;
        self.last_token_at = None;
        self.last_progress_at = None;
        self.held_created_event.clear();
        if let ResponseSink::Buffered(buffered) = &mut self.sink {
            *buffered = BufferedResponse::default();
        }
    }

    fn report_accepted(&self) {
        if let (Some(ticket), Some(attempt)) = (self.ticket, self.attempt) {
            self.shared.events.send(Event::AttemptAccepted {
                ticket,
                attempt,
                incarnation: self.incarnation,
            });
        }
    }

    fn report_unreachable(&self, address: TargetAddress, refused: bool) {
        self.shared
            .events
            .send(Event::TargetUnreachable { address, refused });
    }

    fn incarnation_of(&self, head: &Parts, target: TargetAddress) -> Option<Incarnation> {
        reported_incarnation(head).or_else(|| self.shared.view.incarnation(&target))
    }

    /// The number of tokens that the caller has received or that are in its output buffer.
    fn delivered_tokens(&self) -> u32 {
        match self.sink {
            ResponseSink::Stream(_) => self.token_count,
            ResponseSink::Buffered(_) => 0,
        }
    }

    fn lost_end(&self, target_died: bool) -> AttemptEnd {
        AttemptEnd::Lost {
            delivered_tokens: self.delivered_tokens(),
            target_died,
        }
    }

    /// Relays the generation to its end and reconnects whenever a connection fails.
    async fn relay_until_end(&mut self, mut response: TargetResponse) -> AttemptEnd {
        let mut connections_without_progress = 0;
        loop {
            let previous_sequence = self.last_sequence;
            match self.relay_connection(&mut response).await {
                RelayOutcome::Finished(end) => return end,
                RelayOutcome::ConnectionFailed => {}
            }
            connections_without_progress = if self.last_sequence == previous_sequence {
                connections_without_progress + 1
            } else {
                0
            };
            if connections_without_progress >= MAX_CONNECTIONS_WITHOUT_PROGRESS {
                return self.lost_end(false);
            }
            response = match self.reconnect().await {
                Ok(response) => response,
                Err(EngineLost { target_died }) => return self.lost_end(target_died),
            };
        }
    }

    /// Relays the generation over one connection.
    async fn relay_connection(&mut self, response: &mut TargetResponse) -> RelayOutcome {
        let mut scanner = EventScanner::default();
        let mut idle_timer = IdleTimer::new(IDLE_TIMEOUT);
        loop {
            let data = match response.next_data(&mut idle_timer).await {
                Ok(Some(data)) => data,
                Ok(None) | Err(ReadError::TimedOut | ReadError::Failed | ReadError::TooLong) => {
                    return RelayOutcome::ConnectionFailed;
                }
            };
            if scanner.push(&data).is_err() {
                return RelayOutcome::ConnectionFailed;
            }
            let now = Instant::now();
            while let Some(event) = scanner.next_event() {
                if let Some(outcome) = self.handle_event(event, now) {
                    return outcome;
                }
            }
            if let ResponseSink::Stream(output) = &self.sink {
                output.wait_for_space().await;
            }
        }
    }

    /// Handles one event; returns the outcome if this connection is no longer needed or usable.
    ///
    /// A repeated event is skipped, and a gap in the sequence numbers fails the connection.
    fn handle_event(&mut self, event: &[u8], now: Instant) -> Option<RelayOutcome> {
        let data = event_data(event)?;
        let Ok(header) = EventHeader::parse(data) else {
            return Some(RelayOutcome::ConnectionFailed);
        };
        let expected = self.last_sequence.map_or(0, |last| last + 1);
        if header.sequence_number < expected {
            return None;
        }
        if header.sequence_number > expected {
            return Some(RelayOutcome::ConnectionFailed);
        }
        let handled = match header.kind {
            EventKind::Created => self.handle_created(data),
            EventKind::Delta => self.handle_token(event, data, header.sequence_number, now),
            EventKind::Other => {
                self.forward(event);
                Ok(None)
            }
            EventKind::Completed => self.handle_final(
                data,
                AttemptEnd::Completed {
                    tokens: self.token_count,
                },
            ),
            EventKind::Cancelled => self.handle_final(data, AttemptEnd::Cancelled),
            EventKind::Failed => Ok(Some(AttemptEnd::Failed {
                delivered_tokens: self.delivered_tokens(),
            })),
        };
        match handled {
            Ok(end) => {
                self.last_sequence = Some(header.sequence_number);
                end.map(RelayOutcome::Finished)
            }
            Err(MalformedEvent) => Some(RelayOutcome::ConnectionFailed),
        }
    }

    /// Reads the engine's response id and holds the event until the first token. A caller that has
    /// received no token may still be served by another engine, under another response id.
    fn handle_created(&mut self, data: &[u8]) -> Result<Option<AttemptEnd>, MalformedEvent> {
        let mut event: Value = serde_json::from_slice(data).map_err(|_| MalformedEvent)?;
        let engine = self.engine.as_mut().ok_or(MalformedEvent)?;
        let response_id = event["response"]["id"]
            .as_str()
            .ok_or(MalformedEvent)?
            .to_owned();
        let resume_token = ResumeToken {
            target: engine.target,
            incarnation: engine.incarnation.unwrap_or(UNKNOWN_INCARNATION),
            response_id: response_id.clone(),
            team: self.team.clone(),
            issued_unix_s: self.shared.unix_time_secs(),
        };
        if engine.response_id != response_id {
            engine.caller_response_id = resume_token.sign(&self.shared.fleet_keys);
            engine.response_id = response_id;
        }
        event["response"]["id"] = json!(engine.caller_response_id);
        self.held_created_event = encode_sse_event("response.created", &event);
        Ok(None)
    }

    fn handle_token(
        &mut self,
        event: &[u8],
        data: &[u8],
        sequence_number: u64,
        now: Instant,
    ) -> Result<Option<AttemptEnd>, MalformedEvent> {
        if let ResponseSink::Buffered(buffered) = &mut self.sink {
            buffered.append_delta(data)?;
        }
        self.forward(event);
        self.token_count = tokens_up_to(sequence_number);
        match self.last_token_at.replace(now) {
            Some(last) => self.metrics.observe_token_gap(now - last),
            None if self.ticket.is_some() => {
                let wait = now - self.started_at;
                self.metrics.first_token.observe(wait.as_secs_f64());
            }
            None => {}
        }
        // The first token is reported at once, because it decides whether the request may be
        // dispatched again.
        let is_due = self
            .last_progress_at
            .is_none_or(|last| now - last >= PROGRESS_INTERVAL);
        if let (Some(ticket), Some(attempt), true) = (self.ticket, self.attempt, is_due) {
            self.last_progress_at = Some(now);
            self.shared.events.send(Event::Progress {
                ticket,
                attempt,
                tokens: self.token_count,
            });
        }
        Ok(None)
    }

    fn handle_final(
        &mut self,
        data: &[u8],
        end: AttemptEnd,
    ) -> Result<Option<AttemptEnd>, MalformedEvent> {
        let engine = self.engine.as_ref().ok_or(MalformedEvent)?;
        if let ResponseSink::Buffered(buffered) = &mut self.sink {
            buffered.set_final_response(data)?;
            self.is_cancelled = end == AttemptEnd::Cancelled;
            return Ok(Some(end));
        }
        let mut event: Value = serde_json::from_slice(data).map_err(|_| MalformedEvent)?;
        event["response"]["id"] = json!(engine.caller_response_id);
        let kind = event["type"].as_str().unwrap_or_default().to_owned();
        self.forward(&encode_sse_event(&kind, &event));
        Ok(Some(end))
    }

    fn forward(&mut self, event: &[u8]) {
        if let ResponseSink::Stream(output) = &self.sink {
            if !self.held_created_event.is_empty() {
                output.push(&self.held_created_event);
                self.held_created_event = Vec::new();
            }
            output.push(event);
        }
    }

    /// Opens a new connection that continues after the last event, and counts the result.
    async fn reconnect(&mut self) -> Result<TargetResponse, EngineLost> {
        let result = self.reconnect_until_timeout().await;
        let label = if result.is_ok() { "found" } else { "lost" };
        self.shared
            .metrics
            .resumes
            .with_label_values(&[label])
            .inc();
        result
    }

    async fn reconnect_until_timeout(&self) -> Result<TargetResponse, EngineLost> {
        let engine = self
            .engine
            .as_ref()
            .ok_or(EngineLost { target_died: false })?;
        if engine.response_id.is_empty() {
            // The connection failed before the engine sent a response id, so the generation cannot
            // be addressed.
            let target_died = self
                .has_process_ended(engine.target, engine.incarnation)
                .await;
            return Err(EngineLost { target_died });
        }
        let after = self
            .last_sequence
            .map_or_else(String::new, |last| format!("&starting_after={last}"));
        let path = format!("/v1/responses/{}?stream=true{after}", engine.response_id);
        let started_at = Instant::now();
        let mut delay = INITIAL_RESUME_DELAY;
        loop {
            let request = build_engine_request(Method::GET, engine.target, &path, Bytes::new());
            match send_request(engine.target, request, IDLE_TIMEOUT).await {
                Ok(response) => {
                    let found = self.incarnation_of(&response.head, engine.target);
                    if engine.incarnation.is_some() && found != engine.incarnation {
                        return Err(EngineLost { target_died: true });
                    }
                    match response.head.status {
                        StatusCode::OK => return Ok(response),
                        StatusCode::NOT_FOUND => return Err(EngineLost { target_died: false }),
                        _ => {}
                    }
                }
                Err(SendError::NotConnected { refused: true }) => {
                    self.report_unreachable(engine.target, true);
                    return Err(EngineLost { target_died: true });
                }
                Err(_) => {}
            }
            if started_at.elapsed() + delay > RESUME_TIMEOUT {
                return Err(EngineLost { target_died: false });
            }
            sleep(delay).await;
            delay *= 2;
        }
    }

    /// Sends the engine a cancel request without waiting for the result.
    fn cancel_engine(&self) {
        if let Some(engine) = &self.engine
            && !engine.response_id.is_empty()
        {
            let (target, response_id) = (engine.target, engine.response_id.clone());
            tokio::spawn(async move {
                // If the cancel fails, the engine ends the generation after its linger time.
                let _ = cancel_generation(target, &response_id).await;
            });
        }
    }

    /// Encodes the event that ends a started stream with a refusal, with the next sequence number.
    #[must_use]
    pub fn failed_event(&self, refusal: &Refusal) -> Vec<u8> {
        let sequence_number = match self.last_sequence {
            Some(last) if self.held_created_event.is_empty() => last + 1,
            _ => 0,
        };
        let id = self
            .engine
            .as_ref()
            .map(|engine| engine.caller_response_id.as_str());
        failed_event(refusal, sequence_number, id)
    }

    /// Returns the response object of a completed generation; null for a streamed one.
    ///
    /// # Errors
    /// If the generation was cancelled.
    pub fn into_response_json(mut self) -> Result<Value, Refusal> {
        if self.is_cancelled {
            let message = "the generation was cancelled";
            let refusal = Refusal::new(RefusalCause::Cancelled, message);
            return Err(refusal.with_outcome(RunOutcome::Unknown));
        }
        let caller_response_id = self
            .engine
            .as_ref()
            .map_or("", |engine| &engine.caller_response_id)
            .to_owned();
        match std::mem::replace(
            &mut self.sink,
            ResponseSink::Buffered(BufferedResponse::default()),
        ) {
            ResponseSink::Buffered(buffered) => Ok(buffered.into_json(&caller_response_id)),
            ResponseSink::Stream(_) => Ok(Value::Null),
        }
    }

    /// Whether the caller has received its response id, so that it can resume the stream.
    fn is_resumable(&self) -> bool {
        matches!(self.sink, ResponseSink::Stream(_)) && self.token_count > 0
    }
}

impl Drop for GenerationRelay {
    /// Reports that the caller disconnected. A generation that it can resume continues for the
    /// engine's linger time; any other is cancelled.
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        let Some(ticket) = self.ticket else { return };
        self.shared.events.send(Event::CallerLeft { ticket });
        if let Some(attempt) = self.attempt {
            self.shared.events.send(Event::AttemptEnded {
                ticket,
                attempt,
                end: AttemptEnd::Cancelled,
            });
        }
        if !self.is_resumable() {
            self.cancel_engine();
        }
    }
}

fn reported_incarnation(head: &Parts) -> Option<Incarnation> {
    let text = header_text(&head.headers, "x-engine-incarnation")?;
    text.parse().ok().map(Incarnation)
}

/// How running an attempt ended: by itself, or by a command, which is `None` for a cancel.
enum AttemptRun {
    Ended(AttemptEnd),
    Interrupted(Option<RequestCommand>),
}

/// Runs an attempt until it ends or the reducer sends another command.
async fn run_until_interrupted(
    attempt_run: impl Future<Output = AttemptEnd>,
    request: &mut OpenRequest,
    current_attempt: u32,
) -> AttemptRun {
    let mut attempt_run = std::pin::pin!(attempt_run);
    loop {
        tokio::select! {
            biased;
            end = &mut attempt_run => return AttemptRun::Ended(end),
            command = request.next_command() => match command {
                RequestCommand::Cancel { attempt } if attempt == current_attempt => {
                    return AttemptRun::Interrupted(None);
                }
                RequestCommand::Cancel { .. } | RequestCommand::RespondFromRecord(_) => {}
                command => return AttemptRun::Interrupted(Some(command)),
            },
        }
    }
}

/// Sends an engine a cancel request and returns the response head and body.
///
/// # Errors
/// If the complete response does not arrive within the timeouts.
pub async fn cancel_generation(
    target: TargetAddress,
    response_id: &str,
) -> Result<(Parts, Bytes), SendError> {
    let path = format!("/v1/responses/{response_id}/cancel");
    let request = build_engine_request(Method::POST, target, &path, Bytes::new());
    let response = send_request(target, request, IDLE_TIMEOUT).await?;
    let head = response.head.clone();
    let body = response
        .read_body(MAX_CANCEL_RESPONSE_BYTES, IDLE_TIMEOUT)
        .await;
    Ok((head, body.map_err(|_| SendError::Failed)?))
}

/// Returns the refusal for a generation that its engine no longer has.
#[must_use]
pub fn generation_lost_refusal() -> Refusal {
    Refusal::new(
        RefusalCause::GenerationLost,
        "the engine lost the generation; send the request again",
    )
    .with_outcome(RunOutcome::Unknown)
    .with_retry_after(Duration::from_secs(1))
}

/// Encodes a `response.failed` event with the refusal as its payload.
#[must_use]
pub fn failed_event(refusal: &Refusal, sequence_number: u64, id: Option<&str>) -> Vec<u8> {
    let error = refusal_json(refusal);
    let event = json!({
        "type": "response.failed",
        "sequence_number": sequence_number,
        "error": error,
        "response": {"id": id, "object": "response", "status": "failed", "error": error},
    });
    encode_sse_event("response.failed", &event)
}

fn encode_sse_event(kind: &str, event: &Value) -> Vec<u8> {
    format!("event: {kind}\ndata: {event}\n\n").into_bytes()
}

/// The number of tokens up to a sequence number: event 0 is `response.created`, and each later
/// event is a token.
fn tokens_up_to(sequence_number: u64) -> u32 {
    u32::try_from(sequence_number).unwrap_or(u32::MAX)
}

fn build_engine_request(
    method: Method,
    target: TargetAddress,
    path: &str,
    body: Bytes,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.uri_mut() = path.parse().unwrap_or_default();
    let headers = request.headers_mut();
    let host = target.to_string();
    if let Ok(host) = host.parse() {
        headers.insert(hyper::header::HOST, host);
    }
    headers.insert(
        hyper::header::CONTENT_TYPE,
        hyper::header::HeaderValue::from_static("application/json"),
    );
    request
}
