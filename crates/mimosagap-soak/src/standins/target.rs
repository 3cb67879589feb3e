//! A stand-in for a target: it serves plain requests and streams, and can crash, drain or
//! misbehave.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body, Frame, Incoming};
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use mimosagap_standins::proxy::{LinkMode, LinkProxy};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::checker::InvariantChecker;
use crate::http::{read_body, serve};
use crate::plan::CRASHING_REQUEST_PART;
use crate::standins::detours::TargetDetours;
use crate::standins::generations::GenerationTable;
use crate::standins::store::StoreStandin;

/// Services of the targets: model engines, which stream, and plain targets.
pub const ENGINE_SERVICE: &str = "model";
/// See [`ENGINE_SERVICE`].
pub const PLAIN_SERVICE: &str = "plain";

/// Time to execute a plain request.
const CALL_DURATION: Duration = Duration::from_millis(15);

/// Time to read a prompt under which the target crashes.
const PREFILL_TIME: Duration = Duration::from_millis(80);

const EVENT_INTERVAL: Duration = Duration::from_millis(20);

/// Tokens in one event of a stream, which has as many events as its length hint asks for.
pub const TOKENS_PER_EVENT: u64 = 4;

/// Time to copy the KV cache of a generation to another engine.
const KV_COPY_TIME: Duration = Duration::from_millis(60);

/// How a target treats requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum TargetMode {
    /// Executes requests and responds correctly.
    Well,
    /// Executes requests and never responds.
    Hangs,
    /// Executes requests and never responds to two of three.
    HangsOften,
    /// Rejects all requests without executing them.
    Sheds,
    /// Executes requests and truncates the responses to plain ones.
    BreaksOff,
    /// Rejects all requests without executing them and asks for none within [`BACKOFF`].
    Pauses,
    /// Announces in its responses that it drains, but not in the store.
    SaysLeaving,
    /// Executes requests and names in its responses a limit on the requests of all gateways
    /// together, in thousandths of a request per second.
    LimitsRate(u32),
    /// Executes requests and sends endless bodies, 8 KiB each millisecond.
    FloodsBody,
    /// Executes requests and sends endless bodies, one byte each 100 ms.
    DripsBody,
    /// Goes on with streams whose connection was closed, until it is asked to stop them.
    KeepsRuns,
    /// Serves new streams, and answers with an empty stream to those that go on from a copy.
    EmptiesMovedStreams,
    /// Serves new streams, and answers with the text of an error in place of the events to those
    /// that go on from a copy.
    SpoilsMovedStreams,
}

/// For how long a target in [`TargetMode::Pauses`] asks for no requests.
pub const BACKOFF: Duration = Duration::from_secs(2);

/// The chunk that an endless body repeats, and the time before each.
type BodyPacing = (&'static [u8], Duration);

const FLOOD_PACING: BodyPacing = (&[b'x'; 8 << 10], Duration::from_millis(1));
const DRIP_PACING: BodyPacing = (b"x", Duration::from_millis(100));

/// What all targets of a run share.
#[derive(Debug, Default)]
pub struct TargetContext {
    /// Records what they execute.
    pub checker: Rc<InvariantChecker>,
    /// Their running generations, and the copies of these.
    pub generations: GenerationTable,
    /// Parts of prompts that crash each target which begins to write an answer to them.
    pub crashing_parts: RefCell<Vec<&'static str>>,
    /// Links of some gateways to the targets.
    pub detours: TargetDetours,
    /// Engines that serve and do not drain, with the version of their software.
    serving_engines: RefCell<HashMap<String, String>>,
}

impl TargetContext {
    /// Number of engines that serve a version of the software and do not drain.
    pub fn count_serving(&self, version: &str) -> usize {
        let engines = self.serving_engines.borrow();
        engines.values().filter(|other| *other == version).count()
    }

    /// The crashing part of a prompt, given as the value of its header. The last part belongs to the
    /// request alone; only that of the request which crashes targets by its whole content counts.
    fn crashing_part(&self, prompt_parts: &str) -> Option<&'static str> {
        if prompt_parts.split(':').next() == Some(CRASHING_REQUEST_PART) {
            return Some(CRASHING_REQUEST_PART);
        }
        let (shared_parts, _) = prompt_parts.rsplit_once(',')?;
        let mut ids = shared_parts
            .split(',')
            .map(|entry| entry.split(':').next().unwrap_or(entry));
        let crashing_parts = self.crashing_parts.borrow();
        ids.find_map(|id| crashing_parts.iter().copied().find(|part| *part == id))
    }
}

/// What a target registers besides its name and address.
#[derive(Debug, Clone)]
pub struct TargetPlace {
    /// The service of the target.
    pub service: &'static str,
    /// The availability zone of the target.
    pub zone: String,
    /// The version of its software.
    pub version: String,
}

/// One target: its server, and the proxy in front of it.
pub struct TargetStandin {
    /// Its name in the store and in the requests that are meant for it only.
    pub instance_id: String,
    place: TargetPlace,
    /// The proxy in front of it, whose address it registers.
    pub proxy: LinkProxy,
    mode: Cell<TargetMode>,
    /// The state in its registration.
    state: Cell<&'static str>,
    execution_count: Cell<u64>,
    has_crashed: Cell<bool>,
    server_task: JoinHandle<()>,
}

type TargetBody = Pin<Box<dyn Body<Data = Bytes, Error = io::Error>>>;

impl TargetStandin {
    /// Starts a target and registers it as ready.
    ///
    /// # Errors
    /// If no port is free.
    pub async fn start(
        instance_id: String,
        place: TargetPlace,
        context: &Rc<TargetContext>,
        store: &StoreStandin,
    ) -> std::io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let proxy = LinkProxy::start(listener.local_addr()?).await?;
        context.detours.add(proxy.address()).await?;
        let target = Rc::new_cyclic(|weak: &std::rc::Weak<Self>| {
            let (weak, context) = (weak.clone(), Rc::clone(context));
            let server_task = serve(listener, move |request| {
                let (target, context) = (weak.upgrade(), Rc::clone(&context));
                async move {
                    match target {
                        Some(target) => target.handle_request(&context, request).await,
                        None => build_response(StatusCode::INTERNAL_SERVER_ERROR, "", Bytes::new()),
                    }
                }
            });
            Self {
                instance_id,
                place,
                proxy,
                mode: Cell::new(TargetMode::Well),
                state: Cell::new("ready"),
                execution_count: Cell::new(0),
                has_crashed: Cell::new(false),
                server_task,
            }
        });
        target.register(store, "ready");
        if target.place.service == ENGINE_SERVICE {
            let version = target.place.version.clone();
            let mut engines = context.serving_engines.borrow_mut();
            engines.insert(target.instance_id.clone(), version);
        }
        Ok(target)
    }

    fn store_key(&self) -> String {
        format!("servers/{}", self.instance_id)
    }

    /// Writes the registration again after another writer replaced it.
    pub fn register_again(&self, store: &StoreStandin) {
        // An entry that was deleted, or is that of a draining target, stays as it is.
        if store.has_key(&self.store_key()) && !self.server_task.is_finished() {
            self.register(store, self.state.get());
        }
    }

    /// Replaces the registration by the bytes of another writer.
    pub fn overwrite_registration(&self, store: &StoreStandin, value: Vec<u8>) {
        store.put_bytes(&self.store_key(), value);
    }

    /// Writes the registration, with the state `ready` or `draining`.
    fn register(&self, store: &StoreStandin, state: &'static str) {
        self.state.set(state);
        let registration = json!({
            "service": self.place.service, "address": self.proxy.address().to_string(),
            "zone": self.place.zone, "version": self.place.version, "slots": 8, "state": state,
            "cold_remaining_ms": 0, "sequence": 1, "born": 1,
        });
        store.put(&self.store_key(), &registration);
    }

    /// Changes how the target treats requests from now on.
    pub fn set_mode(&self, mode: TargetMode) {
        self.mode.set(mode);
    }

    /// Stops at once; the registration stays.
    pub fn crash(&self, context: &TargetContext) {
        self.stop_serving(context);
        self.server_task.abort();
    }

    /// Counts the target no longer as one that serves its version.
    fn stop_serving(&self, context: &TargetContext) {
        let mut engines = context.serving_engines.borrow_mut();
        engines.remove(&self.instance_id);
    }

    /// Crashes under a request with a part: connections are reset and new ones refused.
    fn crash_under_request(&self, context: &TargetContext, part: &str) {
        if self.has_crashed.replace(true) {
            return;
        }
        context.checker.record_part_crash(part);
        self.stop_serving(context);
        self.proxy.set_mode(LinkMode::Cut, Duration::ZERO);
        self.server_task.abort();
    }

    /// Whether the target crashed under a request.
    pub fn has_crashed(&self) -> bool {
        self.has_crashed.get()
    }

    /// Registers the target as draining; it continues to serve requests.
    pub fn drain(&self, store: &StoreStandin, context: &TargetContext) {
        self.register(store, "draining");
        self.stop_serving(context);
        context.checker.record_drain(&self.instance_id);
    }

    /// Deletes the registration and stops.
    pub fn deregister(&self, store: &StoreStandin) {
        store.remove(&self.store_key());
        self.server_task.abort();
    }

    /// Handles a request and names the rate limit in the response, in [`TargetMode::LimitsRate`].
    async fn handle_request(
        self: &Rc<Self>,
        context: &Rc<TargetContext>,
        request: Request<Incoming>,
    ) -> Response<TargetBody> {
        let id = header_text(request.headers(), "x-attempt-id").unwrap_or_default();
        let mut response = self.execute_request(context, &id, request).await;
        if let TargetMode::LimitsRate(millirequests) = self.mode.get() {
            let rate = f64::from(millirequests) / 1000.0;
            context
                .checker
                .record_rate_limit(&id, &self.instance_id, rate);
            if let Ok(value) = hyper::header::HeaderValue::from_str(&rate.to_string()) {
                response.headers_mut().insert("server-limit", value);
            }
        }
        response
    }

    async fn execute_request(
        self: &Rc<Self>,
        context: &Rc<TargetContext>,
        id: &str,
        request: Request<Incoming>,
    ) -> Response<TargetBody> {
        let checker = &context.checker;
        let (head, body) = request.into_parts();
        let header = |name: &str| header_text(&head.headers, name);
        let Some(body) = read_body(body).await else {
            return build_response(StatusCode::BAD_REQUEST, id, Bytes::new());
        };
        let path = head.uri.path();
        if path == "/kv-move" {
            return self.copy_generation(context, &body).await;
        }
        if let Some(handle) = path.strip_prefix("/kv-handle/")
            && head.method == Method::DELETE
        {
            context.generations.remove_copy(handle);
            return build_response(StatusCode::OK, "", Bytes::new());
        }
        if header("x-expect-instance").is_some_and(|expected| expected != self.instance_id) {
            return build_response(StatusCode::MISDIRECTED_REQUEST, id, Bytes::new());
        }
        checker.record_arrival(id, &self.instance_id);
        let crashing_part = header("x-prefix-hash").and_then(|parts| context.crashing_part(&parts));
        if let Some(part) = crashing_part {
            checker.record_crashing_arrival(id, part);
        }
        match self.mode.get() {
            TargetMode::Sheds => return rejection(id),
            TargetMode::Pauses => {
                checker.record_backoff(id, &self.instance_id);
                let mut response = rejection(id);
                let retry_after = hyper::header::HeaderValue::from(BACKOFF.as_secs());
                response.headers_mut().insert("retry-after", retry_after);
                return response;
            }
            _ => {}
        }
        if let Some(copy) = header("kv-from") {
            let handle = copy.split_once('/').map_or("", |(_, handle)| handle);
            let address = self.proxy.address().to_string();
            if !context.generations.take_copy(handle, id, &address) {
                return rejection(id);
            }
            match self.mode.get() {
                TargetMode::EmptiesMovedStreams => {
                    return build_response(StatusCode::OK, id, Bytes::new());
                }
                TargetMode::SpoilsMovedStreams => {
                    let text = Bytes::from_static(b"error: the copy is damaged\n\n");
                    return build_response(StatusCode::OK, id, text);
                }
                _ => {}
            }
            checker.record_migration(id, &self.instance_id);
            return self.stream(context, id, &head.headers);
        }
        let has_api_key = head.headers.contains_key("authorization");
        checker.record_execution(
            id,
            &self.instance_id,
            header("x-tenant").as_deref(),
            has_api_key,
        );
        let execution = self.execution_count.replace(self.execution_count.get() + 1);
        let hangs = match self.mode.get() {
            TargetMode::Hangs => true,
            TargetMode::HangsOften => !execution.is_multiple_of(3),
            _ => false,
        };
        if hangs {
            std::future::pending::<()>().await;
        }
        match self.mode.get() {
            TargetMode::FloodsBody => return endless_response(id, FLOOD_PACING),
            TargetMode::DripsBody => return endless_response(id, DRIP_PACING),
            _ => {}
        }
        if let Some(part) = crashing_part {
            return self.crash_while_answering(context, id, part).await;
        }
        if header("x-model").is_some() {
            return self.add_drain_notice(checker, id, self.stream(context, id, &head.headers));
        }
        tokio::time::sleep(CALL_DURATION).await;
        if self.mode.get() == TargetMode::BreaksOff {
            return Self::truncated_response(id);
        }
        let response = build_response(StatusCode::OK, id, Bytes::from(format!("answer to {id}")));
        self.add_drain_notice(checker, id, response)
    }

    /// Reads a prompt and crashes as soon as the answer begins: before its head, after it, or within
    /// its first event.
    async fn crash_while_answering(
        self: &Rc<Self>,
        context: &Rc<TargetContext>,
        id: &str,
        part: &'static str,
    ) -> Response<TargetBody> {
        tokio::time::sleep(PREFILL_TIME).await;
        let beginning: &[u8] = match self.execution_count.get() % 3 {
            0 => {
                self.crash_under_request(context, part);
                return std::future::pending().await;
            }
            1 => b"",
            _ => b"id: 1\nda",
        };
        let crash = {
            let (target, context) = (Rc::clone(self), Rc::clone(context));
            async move {
                tokio::time::sleep(EVENT_INTERVAL).await;
                target.crash_under_request(&context, part);
                std::future::pending::<Option<_>>().await
            }
        };
        let first = Ok::<_, io::Error>(Frame::data(Bytes::from_static(beginning)));
        let frames = stream::once(async { first })
            .chain(stream::once(crash).filter_map(|item| async { item }));
        let body: TargetBody = Box::pin(StreamBody::new(Box::pin(frames)));
        build_response(StatusCode::OK, id, Bytes::new()).map(|_| body)
    }

    /// Adds the drain notice to a response, in [`TargetMode::SaysLeaving`].
    fn add_drain_notice(
        &self,
        checker: &InvariantChecker,
        id: &str,
        mut response: Response<TargetBody>,
    ) -> Response<TargetBody> {
        if self.mode.get() == TargetMode::SaysLeaving {
            checker.record_drain_notice(id, &self.instance_id);
            let value = hyper::header::HeaderValue::from_static("1");
            response.headers_mut().insert("server-leaving", value);
        }
        response
    }

    /// A response whose body is shorter than its `content-length`.
    fn truncated_response(id: &str) -> Response<TargetBody> {
        let mut response = build_response(StatusCode::OK, id, Bytes::from_static(b"ans"));
        let length = hyper::header::HeaderValue::from_static("30");
        response.headers_mut().insert("content-length", length);
        response
    }

    /// Copies the KV cache of a running generation to another engine, while the generation
    /// continues, or after it stopped if that is asked for.
    async fn copy_generation(&self, context: &TargetContext, body: &Bytes) -> Response<TargetBody> {
        let request: Value = serde_json::from_slice(body).unwrap_or_default();
        let text = |name: &str| request[name].as_str().unwrap_or_default().to_owned();
        let (request_id, engine_address) = (text("id"), text("target"));
        context
            .checker
            .record_engine_call(&request_id, &self.instance_id);
        let generations = &context.generations;
        let is_last = request["last"].as_bool().unwrap_or(false);
        if is_last && generations.is_running(&request_id, &self.instance_id) {
            generations.stop(&request_id, &self.instance_id);
        }
        tokio::time::sleep(KV_COPY_TIME).await;
        if !is_last && !generations.is_running(&request_id, &self.instance_id) {
            return build_response(StatusCode::NOT_FOUND, "", Bytes::new());
        }
        let handle = generations.add_copy(&request_id, &engine_address);
        let response = json!({"handle": handle, "created": 1}).to_string();
        build_response(StatusCode::OK, "", Bytes::from(response))
    }

    /// Streams the events after the last one that the caller has, as one generation.
    fn stream(
        &self,
        context: &Rc<TargetContext>,
        id: &str,
        headers: &HeaderMap,
    ) -> Response<TargetBody> {
        let number = |name| header_text(headers, name).and_then(|value| value.parse().ok());
        let last_event_id: u64 = number("last-event-id").unwrap_or(0);
        let event_count = number("x-length-hint").unwrap_or(0) / TOKENS_PER_EVENT;
        let guard = GenerationGuard::new(context, id, self);
        let is_kept = guard.is_kept;
        let first_event_id = last_event_id + 1;
        let events = stream::unfold((guard, first_event_id), move |(guard, number)| async move {
            if number > event_count {
                return None;
            }
            tokio::time::sleep(EVENT_INTERVAL).await;
            let frame = guard.next_event(number);
            // A stream that was stopped ends with an error, and so without its end.
            let next_number = if frame.is_ok() { number + 1 } else { u64::MAX };
            Some((frame, (guard, next_number)))
        });
        let body: TargetBody = if is_kept {
            let (frame_sender, frame_receiver) = mpsc::unbounded_channel();
            tokio::task::spawn_local(async move {
                let mut events = std::pin::pin!(events);
                while let Some(frame) = events.next().await {
                    // The connection may be closed.
                    let _ = frame_sender.send(frame);
                }
            });
            let frames = stream::unfold(frame_receiver, |mut receiver| async move {
                Some((receiver.recv().await?, receiver))
            });
            Box::pin(StreamBody::new(frames))
        } else {
            Box::pin(StreamBody::new(events))
        };
        build_response(StatusCode::OK, id, Bytes::new()).map(|_| body)
    }
}

/// Records a generation as running until this is dropped.
struct GenerationGuard {
    context: Rc<TargetContext>,
    request_id: String,
    instance_id: String,
    version: String,
    /// Whether the generation goes on when its connection is closed.
    is_kept: bool,
}

impl GenerationGuard {
    fn new(context: &Rc<TargetContext>, request_id: &str, target: &TargetStandin) -> Self {
        context.generations.start(request_id, &target.instance_id);
        Self {
            context: Rc::clone(context),
            request_id: request_id.to_owned(),
            instance_id: target.instance_id.clone(),
            version: target.place.version.clone(),
            is_kept: target.mode.get() == TargetMode::KeepsRuns,
        }
    }
}

impl GenerationGuard {
    /// Generates an event, or an error if the engine was asked to stop the generation.
    fn next_event(&self, number: u64) -> io::Result<Frame<Bytes>> {
        let (id, instance_id) = (&self.request_id, &self.instance_id);
        if self.context.generations.is_stopped(id, instance_id) {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let checker = &self.context.checker;
        if self.is_kept {
            checker.record_kept_event(id, instance_id);
        } else {
            checker.record_stream_event(id, instance_id);
        }
        let event = format!("id: {number}\ndata: {id} {}\n\n", self.version);
        Ok(Frame::data(Bytes::from(event)))
    }
}

impl Drop for GenerationGuard {
    fn drop(&mut self) {
        self.context
            .generations
            .end(&self.request_id, &self.instance_id);
    }
}

/// A response whose body never ends.
fn endless_response(id: &str, (chunk, interval): BodyPacing) -> Response<TargetBody> {
    let frames = stream::unfold((), move |()| async move {
        tokio::time::sleep(interval).await;
        let frame = Ok::<_, io::Error>(Frame::data(Bytes::from_static(chunk)));
        Some((frame, ()))
    });
    let body: TargetBody = Box::pin(StreamBody::new(frames));
    build_response(StatusCode::OK, id, Bytes::new()).map(|_| body)
}

/// A response that says that the request was not executed.
fn rejection(id: &str) -> Response<TargetBody> {
    let mut response = build_response(StatusCode::SERVICE_UNAVAILABLE, id, Bytes::new());
    let value = hyper::header::HeaderValue::from_static("1");
    response.headers_mut().insert("x-not-executed", value);
    response
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

/// A response with the headers that prove that this target responds to the request `id`.
fn build_response(status: StatusCode, id: &str, body: Bytes) -> Response<TargetBody> {
    let body = Full::new(body).map_err(|never| match never {});
    let mut response = Response::<TargetBody>::new(Box::pin(body));
    *response.status_mut() = status;
    for (name, value) in [("x-attempt-id", id), ("x-server-signature", "signed")] {
        if let Ok(value) = hyper::header::HeaderValue::from_str(value) {
            response.headers_mut().insert(name, value);
        }
    }
    response
}
