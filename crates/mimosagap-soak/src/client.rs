//! Clients of the gateways: they send requests over connections that they keep open, and check
//! every response.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::checker::{InvariantChecker, RequestKind};
use crate::http::{FullBody, HttpConnection, read_body};
use crate::plan::CRASHING_REQUEST_PART;
use crate::standins::target::{TOKENS_PER_EVENT, TargetContext};
use crate::transcript::StreamTranscript;

/// The `hostname` of all routes, sent as the `host` header.
pub const ROUTE_HOSTNAME: &str = "soak.example";

/// An API key that is never revoked, and one that a fault may revoke.
pub const API_KEYS: [&str; 2] = ["lasting-key", "revoked-key"];

/// Clients for each gateway of the fleet, and the most clients of a run.
pub const CLIENTS_PER_GATEWAY: usize = 4;

/// Most concurrent clients of a run.
pub const MAX_CLIENTS: usize = 48;

/// How long a client waits for a response, and the deadline that it sends with a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);

/// One request in this many, on average, is preceded by a probe of the configuration in force.
const REQUESTS_PER_PROBE: u32 = 12;

/// The client disconnects from one stream in this many, on average.
const STREAMS_PER_DISCONNECT: u32 = 10;

/// Body frames that a client reads before it disconnects from a stream.
const FRAMES_BEFORE_DISCONNECT: usize = 5;

/// Pause between two repetitions of a crashing request. Targets are back by then.
const REPETITION_PAUSE: Duration = Duration::from_millis(2500);

/// Longest pause between two requests with a crashing part.
const CRASHING_REQUEST_INTERVAL: Duration = Duration::from_millis(600);

/// Events of a stream, and of one that its client resumes if it breaks.
const STREAM_EVENTS: u64 = 40;
const RESUMABLE_EVENTS: u64 = 60;

/// Longest pause before a client resumes a stream.
const MAX_RESUME_PAUSE: Duration = Duration::from_secs(9);

/// How often a client that pauses looks whether the run ends.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How long a client waits for a stream that it resumes, over all attempts.
const RESUMABLE_TIMEOUT: Duration = Duration::from_secs(12);

/// The first part of the prompt of all streams, and the parts that some of them share.
const SHARED_PART: &str = "c0ffee01";
const GROUP_PARTS: [&str; 3] = ["9a0001", "9a0002", "9a0003"];

/// What all clients of a run share.
pub struct ClientContext {
    /// Records requests and responses.
    pub checker: Rc<InvariantChecker>,
    /// Where the gateways accept client connections.
    pub gateway_addresses: Vec<SocketAddr>,
    /// How often each gateway was restarted.
    pub restart_counts: RefCell<Vec<u32>>,
    /// Set at the end of a run: clients send no further requests.
    pub is_stopping: Cell<bool>,
    next_id: Cell<u64>,
}

impl ClientContext {
    /// The context of a run whose gateways were started once.
    #[must_use]
    pub fn new(checker: Rc<InvariantChecker>, gateway_addresses: Vec<SocketAddr>) -> Self {
        Self {
            checker,
            restart_counts: RefCell::new(vec![0; gateway_addresses.len()]),
            gateway_addresses,
            is_stopping: Cell::new(false),
            next_id: Cell::new(1),
        }
    }
}

impl ClientContext {
    fn new_request_id(&self) -> String {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        format!("{id:08x}")
    }
}

/// Sends requests until [`ClientContext::is_stopping`] is set. The seed determines the requests.
pub async fn run_client(context: Rc<ClientContext>, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut kept_connection = None;
    while !context.is_stopping.get() {
        let kind = match rng.random_range(0..8) {
            0 | 1 => RequestKind::Idempotent,
            2 => RequestKind::Stream,
            3 => RequestKind::ResumableStream,
            _ => RequestKind::AtMostOnce,
        };
        if rng.random_range(0..REQUESTS_PER_PROBE) == 0 {
            probe_config(&context, &mut rng).await;
        }
        let api_key = API_KEYS[usize::from(rng.random_range(0..8) == 0)];
        let disconnects =
            kind == RequestKind::Stream && rng.random_range(0..STREAMS_PER_DISCONNECT) == 0;
        let spec = RequestSpec {
            kind,
            api_key,
            disconnects,
            crashing_part: None,
        };
        send_request(&context, &mut rng, &mut kept_connection, spec).await;
        // With more gateways than clients, kept connections would leave most gateways idle.
        if context.gateway_addresses.len() > MAX_CLIENTS {
            kept_connection = None;
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(5..60))).await;
    }
}

/// Sends requests with a part that crashes targets for a time, no two alike, each to any gateway and
/// once more if it fails.
pub async fn run_crashing_client(
    context: Rc<ClientContext>,
    part: &'static str,
    duration: Duration,
    seed: u64,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let until = Instant::now() + duration;
    context.checker.start_crash_series(part);
    while Instant::now() < until && !context.is_stopping.get() {
        let spec = RequestSpec {
            kind: RequestKind::ResumableStream,
            api_key: API_KEYS[0],
            disconnects: false,
            crashing_part: Some(part),
        };
        for _ in 0..2 {
            if send_request(&context, &mut rng, &mut None, spec).await {
                break;
            }
        }
        tokio::time::sleep(CRASHING_REQUEST_INTERVAL.mul_f64(rng.random_range(0.2..1.0))).await;
    }
    context.checker.end_crash_series(part);
}

/// Sends one request, the content of which crashes targets, again and again for a time.
pub async fn run_repeating_client(context: Rc<ClientContext>, duration: Duration) {
    let mut rng = SmallRng::seed_from_u64(0);
    let until = Instant::now() + duration;
    context.checker.start_crash_series(CRASHING_REQUEST_PART);
    while Instant::now() < until && !context.is_stopping.get() {
        let spec = RequestSpec {
            kind: RequestKind::ResumableStream,
            api_key: API_KEYS[0],
            disconnects: false,
            crashing_part: Some(CRASHING_REQUEST_PART),
        };
        send_request(&context, &mut rng, &mut None, spec).await;
        tokio::time::sleep(REPETITION_PAUSE).await;
    }
    context.checker.end_crash_series(CRASHING_REQUEST_PART);
}

/// What a client sends, and how it reads the response.
#[derive(Debug, Clone, Copy)]
pub struct RequestSpec {
    /// Decides method, path and body.
    pub kind: RequestKind,
    /// The API key in its `authorization` header.
    pub api_key: &'static str,
    /// Whether the client disconnects in the middle of the stream.
    pub disconnects: bool,
    /// A part of its prompt that crashes targets; `None` for a sound request.
    pub crashing_part: Option<&'static str>,
}

/// An open connection of a client.
pub struct ClientConnection {
    /// The index of the gateway that it connects to.
    gateway: usize,
    http: HttpConnection,
}

/// Sends one request over `kept_connection`, or over a new connection to any gateway if there is
/// none. Keeps the connection if the response was complete. Returns whether the request succeeded.
pub async fn send_request(
    context: &ClientContext,
    rng: &mut SmallRng,
    kept_connection: &mut Option<ClientConnection>,
    spec: RequestSpec,
) -> bool {
    let RequestSpec {
        kind,
        api_key,
        disconnects,
        crashing_part,
    } = spec;
    let index = rng.random_range(0..context.gateway_addresses.len());
    let mut connection = match kept_connection.take() {
        Some(connection) => connection,
        None => match HttpConnection::connect(context.gateway_addresses[index]).await {
            Some(http) => ClientConnection {
                gateway: index,
                http,
            },
            None => return false,
        },
    };
    let id = context.new_request_id();
    context.checker.record_sent(&id, kind, api_key);
    context.checker.record_gateway(&id, connection.gateway);
    let sent_at = Instant::now();
    let has_begun = Cell::new(false);
    let exchange = async {
        let response = connection
            .http
            .send(build_request(&id, kind, api_key, crashing_part))
            .await?;
        has_begun.set(response.status() == 200);
        if disconnects && response.status() == 200 {
            read_then_disconnect(context, &id, response.into_body()).await;
            return None;
        }
        check_response(context, &id, kind, response).await
    };
    let result = tokio::time::timeout(REQUEST_TIMEOUT, exchange).await;
    if kind == RequestKind::ResumableStream
        && crashing_part.is_none()
        && !context.checker.is_revoked(api_key)
    {
        let checker = &context.checker;
        checker.record_sound_request(sent_at, has_begun.get());
    }
    match result {
        Ok(Some(status)) => {
            *kept_connection = Some(connection);
            status == 200
        }
        // The connection is not kept, which closes it.
        Ok(None) => {
            if !disconnects {
                context.checker.record_cut(&id);
            }
            false
        }
        Err(_) => false,
    }
}

/// Reads the beginning of a stream whose connection the client then closes. A disconnect is
/// recorded only if the stream did not end before.
async fn read_then_disconnect(context: &ClientContext, id: &str, mut body: Incoming) {
    for _ in 0..FRAMES_BEFORE_DISCONNECT {
        if body.frame().await.is_none() {
            return;
        }
    }
    context.checker.record_disconnect(id);
}

/// Sends a request for the route that the newest version of the configuration added, to any
/// gateway. The response counts only if the gateway was not restarted meanwhile.
async fn probe_config(context: &ClientContext, rng: &mut SmallRng) {
    let index = rng.random_range(0..context.gateway_addresses.len());
    let version = context.checker.newest_config_version();
    let restart_count = context.restart_counts.borrow()[index];
    let sent_at = Instant::now();
    let id = context.new_request_id();
    context
        .checker
        .record_sent(&id, RequestKind::Idempotent, API_KEYS[0]);
    context.checker.record_gateway(&id, index);
    let mut request = build_request(&id, RequestKind::Idempotent, API_KEYS[0], None);
    *request.uri_mut() = format!("/v{version}/x").parse().unwrap_or_default();
    let exchange = async {
        let mut connection = HttpConnection::connect(context.gateway_addresses[index]).await?;
        Some(connection.send(request).await?.status().as_u16())
    };
    let status = tokio::time::timeout(REQUEST_TIMEOUT, exchange).await;
    let is_same_process = context.restart_counts.borrow()[index] == restart_count;
    if let Ok(Some(status @ (200 | 404))) = status
        && is_same_process
    {
        let checker = &context.checker;
        checker.record_probe((index, restart_count), version, status == 200, sent_at);
    }
}

fn build_request(
    id: &str,
    kind: RequestKind,
    api_key: &str,
    crashing_part: Option<&str>,
) -> Request<FullBody> {
    let (method, path) = match kind {
        RequestKind::Idempotent => ("GET", "/safe/x"),
        RequestKind::AtMostOnce => ("POST", "/once/x"),
        RequestKind::Stream => ("POST", "/stream/x"),
        RequestKind::ResumableStream => ("POST", "/resumable/x"),
    };
    let mut builder = Request::builder()
        .method(method)
        .uri(path)
        .header("host", ROUTE_HOSTNAME)
        .header("x-attempt-id", id)
        .header("x-deadline-ms", REQUEST_TIMEOUT.as_millis().to_string())
        .header("authorization", format!("Bearer {api_key}"));
    if kind.is_stream() {
        builder = builder
            .header("x-model", "m")
            .header("x-token-usage", "100,400")
            .header("x-length-hint", STREAM_EVENTS * TOKENS_PER_EVENT);
    }
    if kind.is_stream() && crashing_part != Some(CRASHING_REQUEST_PART) {
        let group = id.bytes().last().map_or(0, usize::from) % GROUP_PARTS.len();
        let middle_part = crashing_part.unwrap_or(GROUP_PARTS[group]);
        let parts = format!("{SHARED_PART}:60,{middle_part}:20,{id}:20");
        builder = builder.header("x-prefix-hash", parts);
    }
    if crashing_part == Some(CRASHING_REQUEST_PART) {
        let body = Bytes::from_static(b"always the same");
        let builder = builder.header("x-prefix-hash", format!("{CRASHING_REQUEST_PART}:100"));
        return builder.body(Full::new(body)).unwrap_or_default();
    }
    let body = if kind == RequestKind::Idempotent {
        Bytes::new()
    } else {
        Bytes::from(format!("body of {id}"))
    };
    builder.body(Full::new(body)).unwrap_or_default()
}

/// Reads and checks a response; `None` if its body was truncated. A success must be the target's
/// own response to this request.
async fn check_response(
    context: &ClientContext,
    id: &str,
    kind: RequestKind,
    response: Response<Incoming>,
) -> Option<u16> {
    let status = response.status().as_u16();
    let echoed_id = response.headers().get("x-attempt-id").cloned();
    let is_signed = response.headers().contains_key("x-server-signature");
    if status != 200 {
        context.checker.record_response(id, status);
        read_body(response.into_body()).await?;
        return Some(status);
    }
    if !is_signed || echoed_id.is_none_or(|echoed_id| echoed_id != id) {
        let text = format!(
            "request {id} succeeded with a response that is not signed by a target for this request"
        );
        context.checker.record_violation(text);
    }
    if kind.is_stream() {
        check_stream(context, id, response.into_body()).await?;
    } else {
        let body = read_body(response.into_body()).await?;
        if body != format!("answer to {id}") {
            let text = format!("request {id} succeeded with the wrong body {body:?}");
            context.checker.record_violation(text);
        }
    }
    context.checker.record_response(id, status);
    Some(status)
}

/// Reads a stream that starts with its first event, and checks that a complete one holds all events.
async fn check_stream(context: &ClientContext, id: &str, body: Incoming) -> Option<()> {
    let mut transcript = StreamTranscript::default();
    let is_ended = read_events(context, id, &mut transcript, body).await;
    if transcript.is_joined() {
        context.checker.record_joined_stream(id);
    }
    if is_ended && !transcript.is_complete(STREAM_EVENTS) {
        let text = format!("the stream of request {id} ended as complete with {transcript:?}");
        context.checker.record_violation(text);
    }
    is_ended.then_some(())
}

/// Adds the events of a response to the attempt `id` to a transcript. Returns whether the response
/// ended as complete.
async fn read_events(
    context: &ClientContext,
    id: &str,
    transcript: &mut StreamTranscript,
    mut body: Incoming,
) -> bool {
    loop {
        match body.frame().await {
            Some(Ok(frame)) => {
                let Some(bytes) = frame.data_ref() else {
                    continue;
                };
                if let Err(error) = transcript.push(id, bytes) {
                    let text = format!("the stream of request {id} holds {error}");
                    context.checker.record_violation(text);
                    return false;
                }
            }
            Some(Err(_)) => {
                transcript.discard_partial();
                return false;
            }
            None => return true,
        }
    }
}

/// Sends streams until [`ClientContext::is_stopping`] is set, and resumes each one that breaks after
/// a pause, at any gateway.
pub async fn run_resuming_client(
    context: Rc<ClientContext>,
    targets: Rc<TargetContext>,
    seed: u64,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    while !context.is_stopping.get() {
        let mut transcript = StreamTranscript::default();
        let deadline = Instant::now() + RESUMABLE_TIMEOUT;
        loop {
            let time_left = deadline.saturating_duration_since(Instant::now());
            if time_left.is_zero() || context.is_stopping.get() {
                break;
            }
            if attempt_stream(&context, &targets, &mut rng, &mut transcript, time_left).await {
                break;
            }
            let resumes_at = Instant::now() + MAX_RESUME_PAUSE.mul_f64(rng.random());
            while Instant::now() < resumes_at && !context.is_stopping.get() {
                tokio::time::sleep(STOP_POLL_INTERVAL).await;
            }
        }
        if let Some(id) = transcript.first_attempt()
            && transcript.is_joined()
        {
            context.checker.record_joined_stream(id);
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(5..60))).await;
    }
}

/// Makes one attempt at a stream, from the event after the last one received. Returns whether the
/// stream has ended.
async fn attempt_stream(
    context: &ClientContext,
    targets: &TargetContext,
    rng: &mut SmallRng,
    transcript: &mut StreamTranscript,
    time_left: Duration,
) -> bool {
    let gateway = rng.random_range(0..context.gateway_addresses.len());
    let address = context.gateway_addresses[gateway];
    let Some(mut connection) = HttpConnection::connect(address).await else {
        return false;
    };
    let (kind, api_key) = (RequestKind::ResumableStream, API_KEYS[0]);
    let id = context.new_request_id();
    let mut request = build_request(&id, kind, api_key, None);
    let headers = request.headers_mut();
    let deadline_ms = u32::try_from(time_left.as_millis()).unwrap_or(u32::MAX);
    headers.insert("x-deadline-ms", deadline_ms.into());
    headers.insert(
        "x-length-hint",
        (RESUMABLE_EVENTS * TOKENS_PER_EVENT).into(),
    );
    if let Some(first_attempt) = transcript.first_attempt() {
        headers.insert("last-event-id", transcript.last_event_id().into());
        if let Ok(first_attempt) = HeaderValue::from_str(first_attempt) {
            headers.insert("resumes", first_attempt);
        }
    }
    let serving_engines = transcript
        .version()
        .map(|version| targets.count_serving(version));
    let last_event_id = transcript.last_event_id();
    context.checker.record_sent(&id, kind, api_key);
    context.checker.record_gateway(&id, gateway);
    let sent_at = Instant::now();
    let exchange = async {
        let response = connection.send(request).await?;
        let status = response.status().as_u16();
        context.checker.record_response(&id, status);
        if status != 200 {
            return None;
        }
        Some(read_events(context, &id, transcript, response.into_body()).await)
    };
    let is_ended = tokio::time::timeout(time_left.min(REQUEST_TIMEOUT), exchange).await;
    let is_ended = matches!(is_ended, Ok(Some(true)));
    if is_ended && !transcript.is_complete(RESUMABLE_EVENTS) {
        let text = format!("the stream of request {id} ended as complete with {transcript:?}");
        context.checker.record_violation(text);
    }
    transcript.discard_partial();
    let has_event = is_ended || transcript.last_event_id() > last_event_id;
    let checker = &context.checker;
    checker.record_stream_attempt(sent_at, has_event, serving_engines);
    is_ended
}
