//! HTTP interface of the engine: the Responses API, commands, load reports and test controls.

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
use crate::engine::state::{GenerationRequest, SharedEngine};

const MAX_BODY_BYTES: usize = 4 << 20;

/// Delay after a failed `accept`, for example when the process has no file descriptors left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Response header with the incarnation, a random number that identifies one run of the process.
const INCARNATION_HEADER: &str = "x-engine-incarnation";

/// A complete response body or an event stream.
enum ResponseBody {
    Full(Full<Bytes>),
    EventStream(EventBody),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match self.get_mut() {
            Self::Full(body) => Pin::new(body).poll_frame(context),
            Self::EventStream(body) => Pin::new(body).poll_frame(context),
        }
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        match self {
            Self::Full(body) => body.size_hint(),
            Self::EventStream(body) => body.size_hint(),
        }
    }
}

type EngineResponse = Response<ResponseBody>;

/// A refusal of a request that had no effect; the response carries `x-outcome: not_run`.
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

    fn into_response(self) -> EngineResponse {
        let body = json!({"error": {
            "code": self.code,
            "message": self.message,
            "outcome": "not_run",
        }});
        let mut response = json_response(self.status, &body);
        response
            .headers_mut()
            .insert("x-outcome", HeaderValue::from_static("not_run"));
        response
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
    /// Time in milliseconds until the process exits, as when the host is reclaimed.
    exit_after_ms: Option<u64>,
}

/// Accepts connections until the runtime ends.
pub(crate) async fn accept(listener: TcpListener, engine: Arc<SharedEngine>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let engine = Arc::clone(&engine);
        tokio::spawn(async move {
            let service = service_fn(|request| handle_request(request, Arc::clone(&engine)));
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            // A connection error affects only this caller.
            let _ = connection.await;
        });
    }
}

async fn handle_request(
    request: Request<Incoming>,
    engine: Arc<SharedEngine>,
) -> Result<EngineResponse, Infallible> {
    let result = route(request, &engine).await;
    let mut response = result.unwrap_or_else(Rejection::into_response);
    response
        .headers_mut()
        .insert(INCARNATION_HEADER, HeaderValue::from(engine.incarnation));
    Ok(response)
}

async fn route(
    request: Request<Incoming>,
    engine: &Arc<SharedEngine>,
) -> Result<EngineResponse, Rejection> {
    let path = request.uri().path().to_owned();
    let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
    let post = request.method() == Method::POST;
    if !post && request.method() != Method::GET {
        let status = StatusCode::METHOD_NOT_ALLOWED;
        return Err(Rejection::new(status, "bad_request", "use GET or POST"));
    }
    match (post, segments.as_slice()) {
        (true, ["v1", "responses"]) => create_response(request, engine).await,
        (false, ["v1", "responses", id]) => resume_response(id, request.uri().query(), engine),
        (true, ["v1", "responses", id, "cancel"]) => cancel_response(id, engine),
        (true, ["v1", "load_model"]) => run_command(CommandKind::LoadModel, request, engine).await,
        (true, ["v1", "load_lora_adapter"]) => {
            run_command(CommandKind::LoadAdapter, request, engine).await
        }
        (true, ["v1", "unload_lora_adapter"]) => {
            run_command(CommandKind::UnloadAdapter, request, engine).await
        }
        (true, ["v1", "role"]) => run_command(CommandKind::Role, request, engine).await,
        (false, ["metrics"]) => Ok(metrics_response(engine)),
        (false, ["kv_events"]) => Ok(cache_events_response(request.uri().query(), engine)),
        (false, ["control", "stats"]) => Ok(ok_json(&engine.state().statistics())),
        (true, ["control", name]) => run_control(name, request, engine).await,
        _ => Err(not_found("no such path")),
    }
}

async fn create_response(
    request: Request<Incoming>,
    engine: &Arc<SharedEngine>,
) -> Result<EngineResponse, Rejection> {
    let body: ResponsesBody = read_json(request).await?;
    if !engine.state().served.names().contains(&body.model) {
        let message = format!("model {} is not served here", body.model);
        return Err(not_found(message));
    }
    let output_tokens = body
        .metadata
        .get("output_tokens")
        .map(|text| text.parse().map_err(|_| invalid_output_tokens(text)))
        .transpose()?;
    let input = match body.input {
        Value::String(text) => text.into_bytes(),
        other => other.to_string().into_bytes(),
    };
    let generation = engine.submit(GenerationRequest {
        model: body.model,
        input,
        output_tokens,
        max_output_tokens: body.max_output_tokens,
        priority: body.priority,
        metadata: body.metadata,
    });
    if body.stream {
        Ok(event_stream(EventBody::new(generation, 0)))
    } else {
        Ok(ok_json(&ReaderHandle::new(generation).wait_for_end().await))
    }
}

fn invalid_output_tokens(text: &str) -> Rejection {
    Rejection::bad_request(format!("metadata.output_tokens \"{text}\" is not a number"))
}

fn resume_response(
    id: &str,
    query: Option<&str>,
    engine: &Arc<SharedEngine>,
) -> Result<EngineResponse, Rejection> {
    let generation = engine
        .state()
        .find(id)
        .ok_or_else(|| unknown_response_id(id))?;
    if query_parameter(query, "stream") != Some("true") {
        return Ok(ok_json(&generation.response_object(true)));
    }
    let next_sequence = match query_parameter(query, "starting_after") {
        None => 0,
        Some(text) => text
            .parse::<u32>()
            .map_err(|_| Rejection::bad_request("starting_after is not a number"))?
            .saturating_add(1),
    };
    Ok(event_stream(EventBody::new(generation, next_sequence)))
}

fn cancel_response(id: &str, engine: &Arc<SharedEngine>) -> Result<EngineResponse, Rejection> {
    let generation = engine
        .state()
        .find(id)
        .ok_or_else(|| unknown_response_id(id))?;
    engine.state().cancel(generation.stream_id);
    Ok(ok_json(&generation.response_object(false)))
}

fn unknown_response_id(id: &str) -> Rejection {
    not_found(format!("no response {id} in this incarnation"))
}

fn not_found(message: impl Into<String>) -> Rejection {
    Rejection::new(StatusCode::NOT_FOUND, "not_found", message)
}

async fn run_command(
    kind: CommandKind,
    request: Request<Incoming>,
    engine: &Arc<SharedEngine>,
) -> Result<EngineResponse, Rejection> {
    let fencing_number = match request.headers().get("x-fencing-number") {
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
    let result = engine.state().served.apply(kind, body.name, fencing_number);
    match result {
        Ok(()) => Ok(ok_json(&json!({"status": "ok"}))),
        Err(CommandError::MissingFencingNumber) => {
            Err(Rejection::bad_request("this engine needs X-Fencing-Number"))
        }
        Err(CommandError::StaleFencingNumber { newest_number }) => Err(Rejection::new(
            StatusCode::CONFLICT,
            "old_fencing_number",
            format!("a command with fencing number {newest_number} was carried out before"),
        )),
        Err(CommandError::NotLoaded) => Err(not_found("the adapter is not loaded")),
    }
}

async fn run_control(
    name: &str,
    request: Request<Incoming>,
    engine: &Arc<SharedEngine>,
) -> Result<EngineResponse, Rejection> {
    match name {
        "leave" => {
            let body: LeaveBody = read_json_or_default(request).await?;
            engine.state().leave();
            if let Some(delay) = body.exit_after_ms {
                let engine = Arc::clone(engine);
                tokio::spawn(async move {
                    tokio::time::sleep(Duration::from_millis(delay)).await;
                    engine.reclaim();
                });
            }
        }
        "speed" => {
            let body: SpeedBody = read_json(request).await?;
            if !(0.001..=1_000.0).contains(&body.factor) {
                return Err(Rejection::bad_request("factor must be 0.001 to 1000"));
            }
            engine.state().set_speed(body.factor);
        }
        "report_lag" => {
            let body: LagBody = read_json(request).await?;
            let lag = Duration::from_millis(body.ms);
            engine.state().reports.set_lag(lag);
        }
        "cache_lag" => {
            let body: LagBody = read_json(request).await?;
            let lag = Duration::from_millis(body.ms);
            engine.state().publisher.set_lag(lag);
        }
        "cache_loss" => {
            let body: LossBody = read_json(request).await?;
            engine.state().publisher.set_loss(body.fraction);
        }
        _ => return Err(not_found("no such control")),
    }
    Ok(ok_json(&json!({"status": "ok"})))
}

fn metrics_response(engine: &Arc<SharedEngine>) -> EngineResponse {
    let text = engine.state().metrics(Instant::now());
    let body = ResponseBody::Full(Full::new(Bytes::from(text)));
    with_content_type(Response::new(body), "text/plain; version=0.0.4")
}

fn cache_events_response(query: Option<&str>, engine: &Arc<SharedEngine>) -> EngineResponse {
    let since = query_parameter(query, "since")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let state = engine.state();
    let events = state.publisher.after(since, Instant::now());
    ok_json(&json!(events))
}

fn query_parameter<'q>(query: Option<&'q str>, name: &str) -> Option<&'q str> {
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

fn ok_json(body: &Value) -> EngineResponse {
    json_response(StatusCode::OK, body)
}

fn json_response(status: StatusCode, body: &Value) -> EngineResponse {
    let body = ResponseBody::Full(Full::new(Bytes::from(body.to_string())));
    let mut response = with_content_type(Response::new(body), "application/json");
    *response.status_mut() = status;
    response
}

fn event_stream(body: EventBody) -> EngineResponse {
    with_content_type(
        Response::new(ResponseBody::EventStream(body)),
        "text/event-stream",
    )
}

fn with_content_type(mut response: EngineResponse, content_type: &'static str) -> EngineResponse {
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
