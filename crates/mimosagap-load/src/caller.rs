//! Simulated callers. Each sends a request, reads and checks its response, and resumes a broken
//! stream.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use mimosagap_types::prelude::RunOutcome;
use serde_json::Value;

use crate::check::{ErrorResponse, EventKind, StreamChecker};
use crate::plan::{PlannedRequest, team_token};
use crate::route::Route;
use crate::workload::Workload;

/// HTTP client that all callers of a run share.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Maximum number of attempts to resume the stream of one request.
const MAX_RESUME_ATTEMPTS: u32 = 3;

/// Delay before each attempt to resume a stream.
const RESUME_DELAY: Duration = Duration::from_millis(100);

/// Creates a client with keep-alive connections and a connect timeout of 2 s.
#[must_use]
pub fn http_client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(Duration::from_secs(2)));
    Client::builder(TokioExecutor::new()).build(connector)
}

/// Creates an empty request body.
#[must_use]
pub fn empty_body() -> Full<Bytes> {
    Full::new(Bytes::new())
}

/// Result of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestResult {
    /// The response is complete.
    Completed,
    /// The request was refused or failed with an error object.
    Refused {
        /// Code of the error object; the event type or `failed` if the error has none.
        code: String,
        /// Whether the request was executed; `None` if the error does not say so.
        outcome: Option<RunOutcome>,
    },
    /// The connection broke and the stream could not be resumed; holds the cause.
    Broken(String),
    /// The response was incomplete at the deadline of the run.
    Unfinished,
}

/// Measurements of one request.
#[derive(Debug)]
pub struct RequestRecord {
    /// Request as planned.
    pub planned: PlannedRequest,
    /// Index of its route in the run options.
    pub route_index: usize,
    /// How the request ended.
    pub result: RequestResult,
    /// Time at which the request ended, from the start of the run.
    pub ended_at: Duration,
    /// Time from the planned arrival to the first token; `None` if no token was received.
    pub time_to_first_token: Option<Duration>,
    /// Times between successive tokens, in microseconds.
    pub token_gaps_us: Vec<u32>,
    /// Number of tokens received.
    pub tokens: u32,
    /// Number of attempts to resume the stream.
    pub resumes: u32,
    /// Violations found by [`StreamChecker`].
    pub violations: Vec<String>,
}

/// State that all callers of a run share.
#[derive(Debug)]
pub struct CallerContext {
    /// Workload that is run.
    pub workload: Workload,
    /// Seed of the run.
    pub seed: u64,
    /// Shared HTTP client.
    pub client: HttpClient,
    /// Start of the run.
    pub started_at: Instant,
}

struct ActiveRequest<'c> {
    context: &'c CallerContext,
    route: &'c Route,
    record: RequestRecord,
    checker: StreamChecker,
    last_token_at: Option<Instant>,
    is_open: bool,
}

/// Sends a request and reads its response. Always returns a record; if the deadline passes first,
/// its result is [`RequestResult::Unfinished`].
pub async fn send_request(
    context: Arc<CallerContext>,
    route: Arc<Route>,
    route_number: usize,
    planned: PlannedRequest,
    deadline: Instant,
) -> RequestRecord {
    let record = RequestRecord {
        planned,
        route_index: route_number,
        result: RequestResult::Unfinished,
        ended_at: Duration::ZERO,
        time_to_first_token: None,
        token_gaps_us: Vec::new(),
        tokens: 0,
        resumes: 0,
        violations: Vec::new(),
    };
    let mut request = ActiveRequest {
        context: &context,
        route: &route,
        record,
        checker: StreamChecker::default(),
        last_token_at: None,
        is_open: false,
    };
    if let Ok(result) = tokio::time::timeout_at(deadline.into(), request.execute()).await {
        request.record.result = result;
    }
    request.into_record()
}

impl ActiveRequest<'_> {
    fn into_record(mut self) -> RequestRecord {
        self.set_open(false);
        self.record.violations = self.checker.violations;
        self.record.ended_at = self.context.started_at.elapsed();
        self.record
    }

    async fn execute(&mut self) -> RequestResult {
        let class = &self.context.workload.classes[self.record.planned.class_index];
        let token = team_token(&self.record.planned.team);
        let rotation_seed = self.record.planned.rotation_seed;
        let client = &self.context.client;
        let addresses = self.route.addresses(client, &token, rotation_seed).await;
        let body = self
            .record
            .planned
            .body(class, self.context.seed)
            .to_string();
        let response = match self.submit(&addresses, &token, &body).await {
            Ok(response) => response,
            Err(result) => return result,
        };
        if !response.status().is_success() {
            return refusal_result(response).await;
        }
        if class.streamed {
            self.read_with_resumes(response, &addresses, &token).await
        } else {
            self.read_unstreamed(response).await
        }
    }

    /// Sends the request to the first address that accepts a connection. After any other failure
    /// the request may have been executed, so no further address is tried.
    async fn submit(
        &self,
        addresses: &[SocketAddr],
        token: &str,
        body: &str,
    ) -> Result<Response<Incoming>, RequestResult> {
        let mut cause = "no address".to_owned();
        for address in addresses {
            let request = Request::post(format!("http://{address}/v1/responses"))
                .header("authorization", format!("Bearer {token}"))
                .header("content-type", "application/json")
                .body(Full::new(Bytes::from(body.to_owned())))
                .map_err(|error| RequestResult::Broken(error.to_string()))?;
            match self.context.client.request(request).await {
                Ok(response) => return Ok(response),
                Err(error) if error.is_connect() => "connection refused".clone_into(&mut cause),
                Err(error) => return Err(RequestResult::Broken(root_cause(&error))),
            }
        }
        Err(RequestResult::Broken(cause))
    }

    async fn read_with_resumes(
        &mut self,
        response: Response<Incoming>,
        addresses: &[SocketAddr],
        token: &str,
    ) -> RequestResult {
        let mut response = response;
        loop {
            let cause = match self.read_events(response).await {
                Ok(result) => return result,
                Err(cause) => cause,
            };
            let Some(next_response) = self.resume(addresses, token).await else {
                return RequestResult::Broken(cause);
            };
            if !next_response.status().is_success() {
                return refusal_result(next_response).await;
            }
            response = next_response;
        }
    }

    async fn resume(
        &mut self,
        addresses: &[SocketAddr],
        token: &str,
    ) -> Option<Response<Incoming>> {
        let response_id = self.checker.response_id.clone()?;
        let last_sequence = self.checker.last_sequence()?;
        while self.route.can_resume() && self.record.resumes < MAX_RESUME_ATTEMPTS {
            self.record.resumes += 1;
            tokio::time::sleep(RESUME_DELAY).await;
            let address_index = self.record.resumes as usize % addresses.len().max(1);
            let address = addresses.get(address_index)?;
            let path =
                format!("/v1/responses/{response_id}?stream=true&starting_after={last_sequence}");
            let request = Request::get(format!("http://{address}{path}"))
                .header("authorization", format!("Bearer {token}"))
                .body(empty_body())
                .ok()?;
            if let Ok(response) = self.context.client.request(request).await {
                return Some(response);
            }
        }
        None
    }

    /// Reads events up to the end of the response. An error means that the stream broke and may be
    /// resumed.
    async fn read_events(&mut self, response: Response<Incoming>) -> Result<RequestResult, String> {
        let mut events = response.into_body().into_data_stream().eventsource();
        while let Some(event) = events.next().await {
            let event = event.map_err(|error| error.to_string())?;
            let kind = self.checker.check_event(&event.data);
            match kind.map_err(|error| error.to_string())? {
                EventKind::Created => self.set_open(true),
                EventKind::Token => self.record_token(Instant::now()),
                EventKind::Completed => {
                    let expected = self.record.planned.output_tokens;
                    self.checker.check_token_count(self.record.tokens, expected);
                    return Ok(RequestResult::Completed);
                }
                EventKind::Failed { code, outcome } => {
                    return Ok(RequestResult::Refused { code, outcome });
                }
            }
        }
        Err("the stream ended without a last event".to_owned())
    }

    async fn read_unstreamed(&mut self, response: Response<Incoming>) -> RequestResult {
        let body = match response.into_body().collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) => return RequestResult::Broken(error.to_string()),
        };
        let response: Value = match serde_json::from_slice(&body) {
            Ok(response) => response,
            Err(error) => return RequestResult::Broken(error.to_string()),
        };
        if response["status"] != "completed" {
            let code = response["error"]["code"].as_str().unwrap_or("failed");
            return RequestResult::Refused {
                code: code.to_owned(),
                outcome: None,
            };
        }
        let text = response["output"][0]["content"][0]["text"].as_str();
        self.record.tokens = self.checker.check_text(text.unwrap_or_default());
        let expected = self.record.planned.output_tokens;
        self.checker.check_token_count(self.record.tokens, expected);
        RequestResult::Completed
    }

    fn record_token(&mut self, now: Instant) {
        self.route.tokens.fetch_add(1, Ordering::Relaxed);
        self.record.tokens += 1;
        match self.last_token_at.replace(now) {
            None => {
                let planned_at = self.context.started_at + self.record.planned.at;
                self.record.time_to_first_token = Some(now.saturating_duration_since(planned_at));
            }
            Some(last_token_at) => {
                let gap = now.duration_since(last_token_at).as_micros();
                let gap = u32::try_from(gap).unwrap_or(u32::MAX);
                self.record.token_gaps_us.push(gap);
            }
        }
    }

    fn set_open(&mut self, is_open: bool) {
        if self.is_open != is_open {
            self.is_open = is_open;
            if is_open {
                self.route.open_streams.fetch_add(1, Ordering::Relaxed);
            } else {
                self.route.open_streams.fetch_sub(1, Ordering::Relaxed);
            }
        }
    }
}

async fn refusal_result(response: Response<Incoming>) -> RequestResult {
    let status = response.status().as_u16();
    let body = response.into_body().collect().await;
    let error = body
        .ok()
        .and_then(|body| serde_json::from_slice::<ErrorResponse>(&body.to_bytes()).ok());
    match error {
        Some(ErrorResponse { error }) => RequestResult::Refused {
            code: error.code,
            outcome: error.outcome,
        },
        None => RequestResult::Broken(format!("status {status} without an error object")),
    }
}

fn root_cause(error: &dyn std::error::Error) -> String {
    let mut cause = error;
    while let Some(inner) = cause.source() {
        cause = inner;
    }
    cause.to_string()
}
