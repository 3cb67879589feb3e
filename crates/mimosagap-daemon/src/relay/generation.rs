//! A generation on its way from an engine to a caller.

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

use super::SILENCE;
use super::connection::{Link, ReadError, SendError, header, send};
use super::idle::IdleTimer;
use super::outbox::Outbox;
use super::scanner::{EventHead, EventKind, EventScanner, MalformedEvent, event_data};
use super::whole::WholeAnswer;
use crate::front::answer::refusal_json;
use crate::metrics::StreamMetrics;
use crate::requests::{Command, OpenRequest};
use crate::shared::SharedState;

/// The least time between two `Progress` events of a stream.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(250);

/// How long a broken stream is sought again before it counts as lost.
const RESUME_WINDOW: Duration = Duration::from_secs(10);

const FIRST_RESUME_PAUSE: Duration = Duration::from_millis(50);

/// Connections in a row that bring no new event before the generation counts as lost.
const MAX_FRUITLESS_LINKS: u32 = 5;

/// In resume keys of engines that do not tell their incarnation.
const UNKNOWN_INCARNATION: Incarnation = Incarnation(0);

/// Longest error of an engine, in bytes.
const MAX_ENGINE_ERROR: usize = 16 << 10;

/// Longest answer to a cancel request, in bytes.
const MAX_CANCEL_ANSWER: usize = 1 << 20;

/// Where the events go.
pub enum Sink {
    /// To the caller as they come.
    Stream(Arc<Outbox>),
    /// Into one answer.
    Whole(WholeAnswer),
}

/// What the engine is asked for; everything but the priority is the caller's.
#[derive(Debug, Clone)]
pub struct GenerationBody {
    /// The caller's request object.
    pub fields: serde_json::Map<String, Value>,
}

impl GenerationBody {
    fn encode(&self, priority: i32) -> Bytes {
        let mut fields = self.fields.clone();
        fields.insert("stream".to_owned(), json!(true));
        fields.insert("priority".to_owned(), json!(priority));
        Bytes::from(Value::Object(fields).to_string())
    }
}

/// The engine which runs the generation.
#[derive(Debug, Clone)]
struct EngineSide {
    target: TargetAddress,
    incarnation: Option<Incarnation>,
    response: String,
    /// The caller's response id.
    key: String,
}

/// What followed from one connection.
enum LinkEnd {
    Finished(AttemptEnd),
    Broken,
}

/// Why a generation cannot be continued.
struct LostEngine {
    died: bool,
}

/// The relay of one generation.
pub struct Generation {
    shared: Arc<SharedState>,
    team: TeamName,
    metrics: StreamMetrics,
    sink: Sink,
    started: Instant,
    engine: Option<EngineSide>,
    last: Option<u64>,
    tokens: u32,
    last_token: Option<Instant>,
    last_progress: Option<Instant>,
    held: Vec<u8>,
    incarnation: Option<Incarnation>,
    ticket: Option<RequestTicket>,
    attempt: Option<u32>,
    is_cancelled: bool,
    rejection: Option<Refusal>,
    finished: bool,
}

impl Generation {
    /// A generation that has not started.
    #[must_use]
    pub fn new(shared: Arc<SharedState>, team: TeamName, class: &ClassName, sink: Sink) -> Self {
        let metrics = shared.metrics.stream_metrics(team.as_str(), class.as_str());
        let now = Instant::now();
        Self {
            shared,
            team,
            metrics,
            sink,
            started: now,
            engine: None,
            last: None,
            tokens: 0,
            last_token: None,
            last_progress: None,
            held: Vec::new(),
            incarnation: None,
            ticket: None,
            attempt: None,
            is_cancelled: false,
            rejection: None,
            finished: false,
        }
    }

    /// Serves a new request until it is over.
    ///
    /// # Errors
    /// The refusal which is the caller's final answer.
    pub async fn serve(
        &mut self,
        request: &mut OpenRequest,
        body: &GenerationBody,
    ) -> Result<(), Refusal> {
        self.ticket = Some(request.ticket);
        let result = self.serve_attempts(request, body).await;
        self.finished = true;
        result
    }

    async fn serve_attempts(
        &mut self,
        request: &mut OpenRequest,
        body: &GenerationBody,
    ) -> Result<(), Refusal> {
        let mut command = request.command().await;
        loop {
            command = match command {
                Command::Refuse(refusal) => return Err(refusal),
                Command::Cancel { .. } | Command::AnswerFromRecord(_) => request.command().await,
                Command::Dispatch {
                    attempt,
                    target,
                    priority,
                } => {
                    self.attempt = Some(attempt);
                    let body = body.encode(priority);
                    let run = interruptible(self.run(target, body), request, attempt).await;
                    self.attempt = None;
                    let is_final = matches!(
                        run,
                        AttemptRun::Ended(AttemptEnd::Completed { .. } | AttemptEnd::Cancelled)
                    );
                    let (end, next) = match run {
                        AttemptRun::Ended(end) => (end, None),
                        AttemptRun::Interrupted(next) => (AttemptEnd::Cancelled, next),
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
                        return self.rejection.take().map_or(Ok(()), Err);
                    }
                    match next {
                        Some(next) => next,
                        None => request.command().await,
                    }
                }
            };
        }
    }

    /// Continues a generation for a caller that has everything up to `last`, or nothing.
    ///
    /// # Errors
    /// The refusal which is the caller's final answer.
    pub async fn resume(
        &mut self,
        key: ResumeToken,
        text: &str,
        last: Option<u64>,
    ) -> Result<(), Refusal> {
        self.engine = Some(EngineSide {
            target: key.target,
            incarnation: Some(key.incarnation).filter(|found| *found != UNKNOWN_INCARNATION),
            response: key.response_id,
            key: text.to_owned(),
        });
        self.last = last;
        self.tokens = last.map_or(0, token_count);
        let end = match self.find_again().await {
            Ok(link) => self.follow_all(link).await,
            Err(LostEngine { died }) => self.lost(died),
        };
        self.finished = true;
        match end {
            AttemptEnd::Completed { .. } | AttemptEnd::Cancelled => Ok(()),
            AttemptEnd::Failed { .. } => Err(Refusal::new(
                RefusalCause::TargetFailed,
                "the engine ended the generation with an error; send the request again",
            )
            .with_outcome(RunOutcome::Unknown)),
            _ => Err(generation_lost()),
        }
    }

    /// Runs one attempt to its end.
    async fn run(&mut self, target: TargetAddress, body: Bytes) -> AttemptEnd {
        if self.delivered() > 0 {
            // Two generations are never joined.
            return self.lost(false);
        }
        self.reset();
        let request = engine_request(Method::POST, target, "/v1/responses", body);
        match send(target, request, SILENCE).await {
            Ok(link) if link.head.status == StatusCode::OK => {
                self.incarnation = self.incarnation_of(&link.head, target);
                self.report_accepted();
                self.engine = Some(EngineSide {
                    target,
                    incarnation: self.incarnation,
                    response: String::new(),
                    key: String::new(),
                });
                self.follow_all(link).await
            }
            Ok(link) if link.is_not_run() => AttemptEnd::Rejected {
                retry_after: link.retry_after(),
                leaving: link.is_leaving(),
            },
            Ok(link) => self.refused_by_engine(link).await,
            Err(SendError::NotConnected { refused }) => {
                self.report_unreachable(target, refused);
                AttemptEnd::NotSent
            }
            Err(SendError::Silent) => self.lost(false),
            Err(SendError::Broken) => {
                let life = self.shared.view.incarnation(&target);
                self.lost(self.is_gone(target, life).await)
            }
        }
    }

    /// Whether the process of this life is gone: its host refuses connections, or another life
    /// answers.
    async fn is_gone(&self, target: TargetAddress, life: Option<Incarnation>) -> bool {
        let request = engine_request(Method::GET, target, "/metrics", Bytes::new());
        match send(target, request, SILENCE).await {
            Ok(link) => {
                let found = own_incarnation(&link.head);
                life.is_some() && found.is_some() && found != life
            }
            Err(SendError::NotConnected { refused: true }) => {
                self.report_unreachable(target, true);
                true
            }
            Err(_) => false,
        }
    }

    /// An engine that finds the request itself wrong would be followed by others that do.
    async fn refused_by_engine(&mut self, link: Link) -> AttemptEnd {
        let is_callers_fault = matches!(
            link.head.status,
            StatusCode::BAD_REQUEST
                | StatusCode::PAYLOAD_TOO_LARGE
                | StatusCode::UNPROCESSABLE_ENTITY
        );
        if !is_callers_fault {
            return AttemptEnd::Failed { delivered: 0 };
        }
        let body = link.collect(MAX_ENGINE_ERROR, SILENCE).await;
        let body: Value = serde_json::from_slice(&body.unwrap_or_default()).unwrap_or_default();
        let message = body["error"]["message"]
            .as_str()
            .unwrap_or("the engine does not accept the request; correct it");
        self.rejection = Some(Refusal::new(RefusalCause::BadRequest, message));
        AttemptEnd::Cancelled
    }

    fn reset(&mut self) {
        self.engine = None;
        self.last = None;
        self.tokens = 0;
        self.last_token = None;
        self.last_progress = None;
        self.held.clear();
        if let Sink::Whole(answer) = &mut self.sink {
            *answer = WholeAnswer::default();
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
        own_incarnation(head).or_else(|| self.shared.view.incarnation(&target))
    }

    /// Tokens that the caller has or will get from the outbox.
    fn delivered(&self) -> u32 {
        match self.sink {
            Sink::Stream(_) => self.tokens,
            Sink::Whole(_) => 0,
        }
    }

    fn lost(&self, target_died: bool) -> AttemptEnd {
        AttemptEnd::Lost {
            delivered: self.delivered(),
            target_died,
        }
    }

    /// Follows the generation over as many connections as it takes.
    async fn follow_all(&mut self, mut link: Link) -> AttemptEnd {
        let mut fruitless = 0;
        loop {
            let before = self.last;
            match self.follow(&mut link).await {
                LinkEnd::Finished(end) => return end,
                LinkEnd::Broken => {}
            }
            fruitless = if self.last == before {
                fruitless + 1
            } else {
                0
            };
            if fruitless >= MAX_FRUITLESS_LINKS {
                return self.lost(false);
            }
            link = match self.find_again().await {
                Ok(link) => link,
                Err(LostEngine { died }) => return self.lost(died),
            };
        }
    }

    /// Follows the generation on one connection.
    async fn follow(&mut self, link: &mut Link) -> LinkEnd {
        let mut scanner = EventScanner::default();
        let mut idle = IdleTimer::new(SILENCE);
        loop {
            let data = match link.data(&mut idle).await {
                Ok(Some(data)) => data,
                Ok(None) | Err(ReadError::Silent | ReadError::Broken | ReadError::TooLong) => {
                    return LinkEnd::Broken;
                }
            };
            if scanner.push(&data).is_err() {
                return LinkEnd::Broken;
            }
            let now = Instant::now();
            while let Some(event) = scanner.next_event() {
                if let Some(end) = self.take_event(event, now) {
                    return end;
                }
            }
            if let Sink::Stream(outbox) = &self.sink {
                outbox.space().await;
            }
        }
    }

    /// Handles one event; returns how the connection's use ends if it does.
    fn take_event(&mut self, event: &[u8], now: Instant) -> Option<LinkEnd> {
        let data = event_data(event)?;
        let Ok(head) = EventHead::parse(data) else {
            return Some(LinkEnd::Broken);
        };
        let expected = self.last.map_or(0, |last| last + 1);
        if head.number < expected {
            return None;
        }
        if head.number > expected {
            return Some(LinkEnd::Broken);
        }
        let taken = match head.kind {
            EventKind::Created => self.take_created(data),
            EventKind::Delta => self.take_token(event, data, head.number, now),
            EventKind::Other => {
                self.forward(event);
                Ok(None)
            }
            EventKind::Completed => self.take_last(
                data,
                AttemptEnd::Completed {
                    tokens: self.tokens,
                },
            ),
            EventKind::Cancelled => self.take_last(data, AttemptEnd::Cancelled),
            EventKind::Failed => Ok(Some(AttemptEnd::Failed {
                delivered: self.delivered(),
            })),
        };
        match taken {
            Ok(end) => {
                self.last = Some(head.number);
                end.map(LinkEnd::Finished)
            }
            Err(MalformedEvent) => Some(LinkEnd::Broken),
        }
    }

    /// Reads the engine's response id and keeps the event back until the first token: a caller
    /// that has seen no token may still be served by another engine, under another id.
    fn take_created(&mut self, data: &[u8]) -> Result<Option<AttemptEnd>, MalformedEvent> {
        let mut event: Value = serde_json::from_slice(data).map_err(|_| MalformedEvent)?;
        let side = self.engine.as_mut().ok_or(MalformedEvent)?;
        let response = event["response"]["id"]
            .as_str()
            .ok_or(MalformedEvent)?
            .to_owned();
        let key = ResumeToken {
            target: side.target,
            incarnation: side.incarnation.unwrap_or(UNKNOWN_INCARNATION),
            response_id: response.clone(),
            team: self.team.clone(),
            issued_unix_s: self.shared.unix_time_secs(),
        };
        if side.response != response {
            side.key = key.sign(&self.shared.fleet_keys);
            side.response = response;
        }
        event["response"]["id"] = json!(side.key);
        self.held = encode_event("response.created", &event);
        Ok(None)
    }

    fn take_token(
        &mut self,
        event: &[u8],
        data: &[u8],
        number: u64,
        now: Instant,
    ) -> Result<Option<AttemptEnd>, MalformedEvent> {
        if let Sink::Whole(answer) = &mut self.sink {
            answer.add(data)?;
        }
        self.forward(event);
        self.tokens = token_count(number);
        match self.last_token.replace(now) {
            Some(last) => self.metrics.observe_token_gap(now - last),
            None if self.ticket.is_some() => {
                let wait = now - self.started;
                self.metrics.first_token.observe(wait.as_secs_f64());
            }
            None => {}
        }
        // The first token is reported at once, because it decides whether the work may be repeated.
        let is_due = self
            .last_progress
            .is_none_or(|last| now - last >= PROGRESS_INTERVAL);
        if let (Some(ticket), Some(attempt), true) = (self.ticket, self.attempt, is_due) {
            self.last_progress = Some(now);
            self.shared.events.send(Event::Progress {
                ticket,
                attempt,
                tokens: self.tokens,
            });
        }
        Ok(None)
    }

    fn take_last(
        &mut self,
        data: &[u8],
        end: AttemptEnd,
    ) -> Result<Option<AttemptEnd>, MalformedEvent> {
        let side = self.engine.as_ref().ok_or(MalformedEvent)?;
        if let Sink::Whole(answer) = &mut self.sink {
            answer.finish(data)?;
            self.is_cancelled = end == AttemptEnd::Cancelled;
            return Ok(Some(end));
        }
        let mut event: Value = serde_json::from_slice(data).map_err(|_| MalformedEvent)?;
        event["response"]["id"] = json!(side.key);
        let kind = event["type"].as_str().unwrap_or_default().to_owned();
        self.forward(&encode_event(&kind, &event));
        Ok(Some(end))
    }

    fn forward(&mut self, event: &[u8]) {
        if let Sink::Stream(outbox) = &self.sink {
            if !self.held.is_empty() {
                outbox.push(&self.held);
                self.held = Vec::new();
            }
            outbox.push(event);
        }
    }

    /// Opens a new connection to the engine from the last event on.
    async fn find_again(&mut self) -> Result<Link, LostEngine> {
        let result = self.seek().await;
        let label = if result.is_ok() { "found" } else { "lost" };
        self.shared
            .metrics
            .resumes
            .with_label_values(&[label])
            .inc();
        result
    }

    async fn seek(&self) -> Result<Link, LostEngine> {
        let side = self.engine.as_ref().ok_or(LostEngine { died: false })?;
        if side.response.is_empty() {
            // The link broke before the engine named the generation, so it cannot be found.
            let died = self.is_gone(side.target, side.incarnation).await;
            return Err(LostEngine { died });
        }
        let after = self
            .last
            .map_or_else(String::new, |last| format!("&starting_after={last}"));
        let path = format!("/v1/responses/{}?stream=true{after}", side.response);
        let begun = Instant::now();
        let mut pause = FIRST_RESUME_PAUSE;
        loop {
            let request = engine_request(Method::GET, side.target, &path, Bytes::new());
            match send(side.target, request, SILENCE).await {
                Ok(link) => {
                    let found = self.incarnation_of(&link.head, side.target);
                    if side.incarnation.is_some() && found != side.incarnation {
                        return Err(LostEngine { died: true });
                    }
                    match link.head.status {
                        StatusCode::OK => return Ok(link),
                        StatusCode::NOT_FOUND => return Err(LostEngine { died: false }),
                        _ => {}
                    }
                }
                Err(SendError::NotConnected { refused: true }) => {
                    self.report_unreachable(side.target, true);
                    return Err(LostEngine { died: true });
                }
                Err(_) => {}
            }
            if begun.elapsed() + pause > RESUME_WINDOW {
                return Err(LostEngine { died: false });
            }
            sleep(pause).await;
            pause *= 2;
        }
    }

    /// Tells the engine to stop, without waiting for it.
    fn cancel_engine(&self) {
        if let Some(side) = &self.engine
            && !side.response.is_empty()
        {
            let (target, response) = (side.target, side.response.clone());
            tokio::spawn(async move {
                // The engine's linger time ends the generation if the cancel does not reach it.
                let _ = cancel(target, &response).await;
            });
        }
    }

    /// The event that ends a started stream with a refusal.
    #[must_use]
    pub fn failure_event(&self, refusal: &Refusal) -> Vec<u8> {
        let number = match self.last {
            Some(last) if self.held.is_empty() => last + 1,
            _ => 0,
        };
        let id = self.engine.as_ref().map(|side| side.key.as_str());
        failure_event(refusal, number, id)
    }

    /// The whole answer of a completed generation.
    ///
    /// # Errors
    /// If the caller cancelled it.
    pub fn into_answer(mut self) -> Result<Value, Refusal> {
        if self.is_cancelled {
            let message = "the generation was cancelled";
            let refusal = Refusal::new(RefusalCause::Cancelled, message);
            return Err(refusal.with_outcome(RunOutcome::Unknown));
        }
        let key = self.engine.as_ref().map_or("", |side| &side.key).to_owned();
        match std::mem::replace(&mut self.sink, Sink::Whole(WholeAnswer::default())) {
            Sink::Whole(answer) => Ok(answer.into_json(&key)),
            Sink::Stream(_) => Ok(Value::Null),
        }
    }

    /// Whether the caller has been given its response id, so that it can resume.
    fn is_resumable(&self) -> bool {
        matches!(self.sink, Sink::Stream(_)) && self.tokens > 0
    }
}

impl Drop for Generation {
    /// The caller left. A stream that it can resume runs on until the engine's linger time ends.
    fn drop(&mut self) {
        if self.finished {
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

fn own_incarnation(head: &Parts) -> Option<Incarnation> {
    let text = header(&head.headers, "x-engine-incarnation")?;
    text.parse().ok().map(Incarnation)
}

/// How an attempt was left.
enum AttemptRun {
    Ended(AttemptEnd),
    Interrupted(Option<Command>),
}

/// Runs an attempt until it ends or the reducer wants something else.
async fn interruptible(
    run: impl Future<Output = AttemptEnd>,
    request: &mut OpenRequest,
    current: u32,
) -> AttemptRun {
    let mut run = std::pin::pin!(run);
    loop {
        tokio::select! {
            biased;
            end = &mut run => return AttemptRun::Ended(end),
            command = request.command() => match command {
                Command::Cancel { attempt } if attempt == current => {
                    return AttemptRun::Interrupted(None);
                }
                Command::Cancel { .. } | Command::AnswerFromRecord(_) => {}
                command => return AttemptRun::Interrupted(Some(command)),
            },
        }
    }
}

/// Asks an engine to cancel a generation; returns its answer.
///
/// # Errors
/// If there is no whole answer within the time limits.
pub async fn cancel(target: TargetAddress, response: &str) -> Result<(Parts, Bytes), SendError> {
    let path = format!("/v1/responses/{response}/cancel");
    let request = engine_request(Method::POST, target, &path, Bytes::new());
    let link = send(target, request, SILENCE).await?;
    let head = link.head.clone();
    let body = link.collect(MAX_CANCEL_ANSWER, SILENCE).await;
    Ok((head, body.map_err(|_| SendError::Broken)?))
}

/// The refusal of a generation whose engine lost it.
#[must_use]
pub fn generation_lost() -> Refusal {
    Refusal::new(
        RefusalCause::GenerationLost,
        "the engine lost the generation; send the request again",
    )
    .with_outcome(RunOutcome::Unknown)
    .with_retry_after(Duration::from_secs(1))
}

/// A `response.failed` event with the refusal as its payload.
#[must_use]
pub fn failure_event(refusal: &Refusal, number: u64, id: Option<&str>) -> Vec<u8> {
    let error = refusal_json(refusal);
    let event = json!({
        "type": "response.failed",
        "sequence_number": number,
        "error": error,
        "response": {"id": id, "object": "response", "status": "failed", "error": error},
    });
    encode_event("response.failed", &event)
}

fn encode_event(kind: &str, event: &Value) -> Vec<u8> {
    format!("event: {kind}\ndata: {event}\n\n").into_bytes()
}

/// Tokens up to a sequence number: event 0 is `response.created`, each later one is a token.
fn token_count(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

fn engine_request(
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
