//! The engine's HTTP interface.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tokio::net::TcpListener;

use crate::engine::commands::{CommandError, CommandKind};
use crate::engine::generation::{EventBody, ReaderHandle};
use crate::engine::state::{GenerationRequest, Shared};

const MAX_BODY_BYTES: usize = 4 << 20;

/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The header that names the life of the process.
const INCARNATION_HEADER: &str = "x-engine-incarnation";

/// A whole answer or an event stream.
enum AnswerBody {
    Whole(Full<Bytes>),
    Events(EventBody),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match self.get_mut() {
            Self::Whole(body) => Pin::new(body).poll_frame(context),
            Self::Events(body) => Pin::new(body).poll_frame(context),
        }
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Events(body) => body.size_hint(),
        }
    }
}

type Answer = Response<AnswerBody>;

/// A request that is refused before anything ran.
struct Rejection {
    status: StatusCode,
    code: &'static str,
    message: String,
}

impl Rejection {
    fn new(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
        }
    }

    fn bad_request(message: impl Into<String>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, "bad_request", message)
    }

    fn into_answer(self) -> Answer {
        let body = json!({"error": {
            "code": self.code,
            "message": self.message,
            "outcome": "not_run",
        }});
        let mut answer = whole(self.status, &body);
        answer
            .headers_mut()
            .insert("x-outcome", HeaderValue::from_static("not_run"));
        answer
    }
}

#[derive(Deserialize)]
struct ResponsesBody {
    model: String,
    input: Value,
    #[serde(default)]
    stream: bool,
    max_output_tokens: Option<u32>,
    #[serde(default)]
    priority: i32,
    #[serde(default)]
    metadata: BTreeMap<String, String>,
}

#[derive(Deserialize)]
struct CommandBody {
    #[serde(alias = "lora_name", alias = "model", alias = "role")]
    name: String,
}

#[derive(Deserialize)]
struct SpeedBody {
    factor: f64,
}

#[derive(Deserialize)]
struct LagBody {
    ms: u64,
}

#[derive(Deserialize)]
struct LossBody {
    fraction: f64,
}

#[derive(Default)]
#[derive(Deserialize)]
struct LeaveBody {
    /// Ends the process after this time, as when the host is reclaimed.
    exit_after_ms: Option<u64>,
}

/// Accepts connections for ever.
pub(crate) async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            let service = service_fn(|request| answer(request, Arc::clone(&shared)));
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            // A broken connection concerns only its caller.
            let _ = connection.await;
        });
    }
}

async fn answer(request: Request<Incoming>, shared: Arc<Shared>) -> Result<Answer, Infallible> {
    let result = route(request, &shared).await;
    let mut answer = result.unwrap_or_else(Rejection::into_answer);
    answer
        .headers_mut()
        .insert(INCARNATION_HEADER, HeaderValue::from(shared.incarnation));
    Ok(answer)
}

async fn route(request: Request<Incoming>, shared: &Arc<Shared>) -> Result<Answer, Rejection> {
    let path = request.uri().path().to_owned();
    let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
    let post = request.method() == Method::POST;
    if !post && request.method() != Method::GET {
        let status = StatusCode::METHOD_NOT_ALLOWED;
        return Err(Rejection::new(status, "bad_request", "use GET or POST"));
    }
    match (post, segments.as_slice()) {
        (true, ["v1", "responses"]) => create(request, shared).await,
        (false, ["v1", "responses", id]) => resume(id, request.uri().query(), shared),
        (true, ["v1", "responses", id, "cancel"]) => cancel(id, shared),
        (true, ["v1", "load_model"]) => command(CommandKind::LoadModel, request, shared).await,
        (true, ["v1", "load_lora_adapter"]) => {
            command(CommandKind::LoadAdapter, request, shared).await
        }
        (true, ["v1", "unload_lora_adapter"]) => {
            command(CommandKind::UnloadAdapter, request, shared).await
        }
        (true, ["v1", "role"]) => command(CommandKind::Role, request, shared).await,
        (false, ["metrics"]) => Ok(metrics(shared)),
        (false, ["kv_events"]) => Ok(cache_events(request.uri().query(), shared)),
        (false, ["control", "stats"]) => Ok(ok(&shared.state().statistics())),
        (true, ["control", name]) => control(name, request, shared).await,
        _ => Err(not_found("no such path")),
    }
}

async fn create(request: Request<Incoming>, shared: &Arc<Shared>) -> Result<Answer, Rejection> {
    let body: ResponsesBody = read_json(request).await?;
    if !shared.state().served.names().contains(&body.model) {
        let message = format!("model {} is not served here", body.model);
        return Err(not_found(message));
    }
    let output_tokens = body
        .metadata
        .get("output_tokens")
        .map(|text| text.parse().map_err(|_| bad_length(text)))
        .transpose()?;
    let input = match body.input {
        Value::String(text) => text.into_bytes(),
        other => other.to_string().into_bytes(),
    };
    let generation = shared.submit(GenerationRequest {
        model: body.model,
        input,
        output_tokens,
        max_output_tokens: body.max_output_tokens,
        priority: body.priority,
        metadata: body.metadata,
    });
    if body.stream {
        Ok(events(EventBody::new(generation, 0)))
    } else {
        Ok(ok(&ReaderHandle::new(generation).whole().await))
    }
}

fn bad_length(text: &str) -> Rejection {
    Rejection::bad_request(format!("metadata.output_tokens \"{text}\" is not a number"))
}

fn resume(id: &str, query: Option<&str>, shared: &Arc<Shared>) -> Result<Answer, Rejection> {
    let generation = shared.state().find(id).ok_or_else(|| unknown(id))?;
    if parameter(query, "stream") != Some("true") {
        return Ok(ok(&generation.object(true)));
    }
    let next = match parameter(query, "starting_after") {
        None => 0,
        Some(text) => text
            .parse::<u32>()
            .map_err(|_| Rejection::bad_request("starting_after is not a number"))?
            .saturating_add(1),
    };
    Ok(events(EventBody::new(generation, next)))
}

fn cancel(id: &str, shared: &Arc<Shared>) -> Result<Answer, Rejection> {
    let generation = shared.state().find(id).ok_or_else(|| unknown(id))?;
    shared.state().cancel(generation.number);
    Ok(ok(&generation.object(false)))
}

fn unknown(id: &str) -> Rejection {
    not_found(format!("no response {id} in this incarnation"))
}

fn not_found(message: impl Into<String>) -> Rejection {
    Rejection::new(StatusCode::NOT_FOUND, "not_found", message)
}

async fn command(
    kind: CommandKind,
    request: Request<Incoming>,
    shared: &Arc<Shared>,
) -> Result<Answer, Rejection> {
    let number = match request.headers().get("x-fencing-number") {
        None => None,
        Some(value) => Some(
            value
                .to_str()
                .ok()
                .and_then(|text| text.parse().ok())
                .ok_or_else(|| Rejection::bad_request("X-Fencing-Number is not a number"))?,
        ),
    };
    let body: CommandBody = read_json(request).await?;
    let result = shared.state().served.apply(kind, body.name, number);
    match result {
        Ok(()) => Ok(ok(&json!({"status": "ok"}))),
        Err(CommandError::NoNumber) => {
            Err(Rejection::bad_request("this engine needs X-Fencing-Number"))
        }
        Err(CommandError::OldNumber { newest }) => Err(Rejection::new(
            StatusCode::CONFLICT,
            "old_fencing_number",
            format!("a command with fencing number {newest} was carried out before"),
        )),
        Err(CommandError::NotLoaded) => Err(not_found("the adapter is not loaded")),
    }
}

async fn control(
    name: &str,
    request: Request<Incoming>,
    shared: &Arc<Shared>,
) -> Result<Answer, Rejection> {
    match name {
        "leave" => {
            let body: LeaveBody = read_json_or_default(request).await?;
            shared.state().leave();
            if let Some(delay) = body.exit_after_ms {
                let shared = Arc::clone(shared);
                tokio::spawn(async move {
                    tokio::time::sleep(Duration::from_millis(delay)).await;
                    shared.reclaim();
                });
            }
        }
        "speed" => {
            let body: SpeedBody = read_json(request).await?;
            if !(0.001..=1_000.0).contains(&body.factor) {
                return Err(Rejection::bad_request("factor must be 0.001 to 1000"));
            }
            shared.state().set_speed(body.factor);
        }
        "report_lag" => {
            let body: LagBody = read_json(request).await?;
            let lag = Duration::from_millis(body.ms);
            shared.state().reports.set_lag(lag);
        }
        "cache_lag" => {
            let body: LagBody = read_json(request).await?;
            let lag = Duration::from_millis(body.ms);
            shared.state().publisher.set_lag(lag);
        }
        "cache_loss" => {
            let body: LossBody = read_json(request).await?;
            shared.state().publisher.set_loss(body.fraction);
        }
        _ => return Err(not_found("no such control")),
    }
    Ok(ok(&json!({"status": "ok"})))
}

fn metrics(shared: &Arc<Shared>) -> Answer {
    let text = shared.state().metrics(Instant::now());
    let body = AnswerBody::Whole(Full::new(Bytes::from(text)));
    with_type(Response::new(body), "text/plain; version=0.0.4")
}

fn cache_events(query: Option<&str>, shared: &Arc<Shared>) -> Answer {
    let since = parameter(query, "since")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let state = shared.state();
    let events = state.publisher.after(since, Instant::now());
    ok(&json!(events))
}

fn parameter<'q>(query: Option<&'q str>, name: &str) -> Option<&'q str> {
    query?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find_map(|(key, value)| (key == name).then_some(value))
}

async fn read_bytes(request: Request<Incoming>) -> Result<Bytes, Rejection> {
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES);
    match body.collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) => Err(Rejection::bad_request(error.to_string())),
    }
}

async fn read_json<T: DeserializeOwned>(request: Request<Incoming>) -> Result<T, Rejection> {
    let bytes = read_bytes(request).await?;
    serde_json::from_slice(&bytes).map_err(|error| Rejection::bad_request(error.to_string()))
}

async fn read_json_or_default<T: DeserializeOwned + Default>(
    request: Request<Incoming>,
) -> Result<T, Rejection> {
    let bytes = read_bytes(request).await?;
    if bytes.is_empty() {
        return Ok(T::default());
    }
    serde_json::from_slice(&bytes).map_err(|error| Rejection::bad_request(error.to_string()))
}

fn ok(body: &Value) -> Answer {
    whole(StatusCode::OK, body)
}

fn whole(status: StatusCode, body: &Value) -> Answer {
    let body = AnswerBody::Whole(Full::new(Bytes::from(body.to_string())));
    let mut answer = with_type(Response::new(body), "application/json");
    *answer.status_mut() = status;
    answer
}

fn events(body: EventBody) -> Answer {
    with_type(Response::new(AnswerBody::Events(body)), "text/event-stream")
}

fn with_type(mut answer: Answer, kind: &'static str) -> Answer {
    answer
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    answer
}
