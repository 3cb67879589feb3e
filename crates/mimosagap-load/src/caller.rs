//! One caller's request: send, read, resume, check.

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

use crate::check::{ErrorAnswer, EventMeaning, StreamCheck};
use crate::plan::{PlannedRequest, team_token};
use crate::route::Route;
use crate::workload::Workload;

/// The client that all callers of a run share.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// How often a broken stream is resumed.
const MAX_RESUMES: u32 = 3;

/// Pause before a resume, as a caller makes it.
const RESUME_PAUSE: Duration = Duration::from_millis(100);

/// A client that keeps idle connections.
#[must_use]
pub fn http_client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(Duration::from_secs(2)));
    Client::builder(TokioExecutor::new()).build(connector)
}

/// A request body without content.
#[must_use]
pub fn empty() -> Full<Bytes> {
    Full::new(Bytes::new())
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestEnd {
    /// The whole answer came.
    Completed,
    /// The system refused or gave up.
    Refused {
        /// The cause.
        code: String,
        /// What happened to the work.
        outcome: Option<RunOutcome>,
    },
    /// The connection broke and could not be resumed.
    Broken(String),
    /// The run ended first.
    Unfinished,
}

/// The measurements of one request.
#[derive(Debug)]
pub struct RequestRecord {
    /// The request.
    pub planned: PlannedRequest,
    /// The position of its route.
    pub route: usize,
    /// How it ended.
    pub end: RequestEnd,
    /// When it ended, from the start of the run.
    pub ended_at: Duration,
    /// From the planned arrival to the first token.
    pub first_token: Option<Duration>,
    /// Times between tokens, in microseconds.
    pub gaps_us: Vec<u32>,
    /// Tokens received.
    pub tokens: u32,
    /// Resumes.
    pub resumes: u32,
    /// Broken promises.
    pub violations: Vec<String>,
}

/// What all callers of a run share.
#[derive(Debug)]
pub struct CallerContext {
    /// The workload.
    pub workload: Workload,
    /// The run's seed.
    pub seed: u64,
    /// The client.
    pub client: HttpClient,
    /// When the run started.
    pub started: Instant,
}

struct Call<'c> {
    context: &'c CallerContext,
    route: &'c Route,
    record: RequestRecord,
    check: StreamCheck,
    last_token: Option<Instant>,
    is_open: bool,
}

/// Sends a request and reads its answer. A record is always returned; at the deadline it says
/// that the request is unfinished.
pub async fn call(
    context: Arc<CallerContext>,
    route: Arc<Route>,
    route_number: usize,
    planned: PlannedRequest,
    deadline: Instant,
) -> RequestRecord {
    let record = RequestRecord {
        planned,
        route: route_number,
        end: RequestEnd::Unfinished,
        ended_at: Duration::ZERO,
        first_token: None,
        gaps_us: Vec::new(),
        tokens: 0,
        resumes: 0,
        violations: Vec::new(),
    };
    let mut call = Call {
        context: &context,
        route: &route,
        record,
        check: StreamCheck::default(),
        last_token: None,
        is_open: false,
    };
    if let Ok(end) = tokio::time::timeout_at(deadline.into(), call.perform()).await {
        call.record.end = end;
    }
    call.finish()
}

impl Call<'_> {
    fn finish(mut self) -> RequestRecord {
        self.set_open(false);
        self.record.violations = self.check.violations;
        self.record.ended_at = self.context.started.elapsed();
        self.record
    }

    async fn perform(&mut self) -> RequestEnd {
        let mix = &self.context.workload.classes[self.record.planned.class];
        let token = team_token(&self.record.planned.team);
        let salt = self.record.planned.salt;
        let client = &self.context.client;
        let addresses = self.route.addresses(client, &token, salt).await;
        let body = self.record.planned.body(mix, self.context.seed).to_string();
        let answer = match self.submit(&addresses, &token, &body).await {
            Ok(answer) => answer,
            Err(end) => return end,
        };
        if !answer.status().is_success() {
            return refusal(answer).await;
        }
        if mix.streamed {
            self.read_and_resume(answer, &addresses, &token).await
        } else {
            self.read_whole(answer).await
        }
    }

    /// Tries the next address only when a connection could not be made.
    async fn submit(
        &self,
        addresses: &[SocketAddr],
        token: &str,
        body: &str,
    ) -> Result<Response<Incoming>, RequestEnd> {
        let mut cause = "no address".to_owned();
        for address in addresses {
            let request = Request::post(format!("http://{address}/v1/responses"))
                .header("authorization", format!("Bearer {token}"))
                .header("content-type", "application/json")
                .body(Full::new(Bytes::from(body.to_owned())))
                .map_err(|error| RequestEnd::Broken(error.to_string()))?;
            match self.context.client.request(request).await {
                Ok(answer) => return Ok(answer),
                Err(error) if error.is_connect() => "connection refused".clone_into(&mut cause),
                Err(error) => return Err(RequestEnd::Broken(root_cause(&error))),
            }
        }
        Err(RequestEnd::Broken(cause))
    }

    async fn read_and_resume(
        &mut self,
        answer: Response<Incoming>,
        addresses: &[SocketAddr],
        token: &str,
    ) -> RequestEnd {
        let mut answer = answer;
        loop {
            let cause = match self.read_events(answer).await {
                Ok(end) => return end,
                Err(cause) => cause,
            };
            let Some(next) = self.resume(addresses, token).await else {
                return RequestEnd::Broken(cause);
            };
            if !next.status().is_success() {
                return refusal(next).await;
            }
            answer = next;
        }
    }

    async fn resume(
        &mut self,
        addresses: &[SocketAddr],
        token: &str,
    ) -> Option<Response<Incoming>> {
        let id = self.check.id.clone()?;
        let last = self.check.last_sequence()?;
        while self.route.resumes_elsewhere() && self.record.resumes < MAX_RESUMES {
            self.record.resumes += 1;
            tokio::time::sleep(RESUME_PAUSE).await;
            let turn = self.record.resumes as usize % addresses.len().max(1);
            let address = addresses.get(turn)?;
            let path = format!("/v1/responses/{id}?stream=true&starting_after={last}");
            let request = Request::get(format!("http://{address}{path}"))
                .header("authorization", format!("Bearer {token}"))
                .body(empty())
                .ok()?;
            if let Ok(answer) = self.context.client.request(request).await {
                return Some(answer);
            }
        }
        None
    }

    /// Reads to the end of the answer; an error is a broken connection.
    async fn read_events(&mut self, answer: Response<Incoming>) -> Result<RequestEnd, String> {
        let mut events = answer.into_body().into_data_stream().eventsource();
        while let Some(event) = events.next().await {
            let event = event.map_err(|error| error.to_string())?;
            let meaning = self.check.apply(&event.data);
            match meaning.map_err(|error| error.to_string())? {
                EventMeaning::Created => self.set_open(true),
                EventMeaning::Token => self.record_token(Instant::now()),
                EventMeaning::Completed => {
                    let expected = self.record.planned.output_tokens;
                    self.check.check_length(self.record.tokens, expected);
                    return Ok(RequestEnd::Completed);
                }
                EventMeaning::Failed { code, outcome } => {
                    return Ok(RequestEnd::Refused { code, outcome });
                }
            }
        }
        Err("the stream ended without a last event".to_owned())
    }

    async fn read_whole(&mut self, answer: Response<Incoming>) -> RequestEnd {
        let body = match answer.into_body().collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) => return RequestEnd::Broken(error.to_string()),
        };
        let answer: Value = match serde_json::from_slice(&body) {
            Ok(answer) => answer,
            Err(error) => return RequestEnd::Broken(error.to_string()),
        };
        if answer["status"] != "completed" {
            let code = answer["error"]["code"].as_str().unwrap_or("failed");
            return RequestEnd::Refused {
                code: code.to_owned(),
                outcome: None,
            };
        }
        let text = answer["output"][0]["content"][0]["text"].as_str();
        self.record.tokens = self.check.apply_whole(text.unwrap_or_default());
        let expected = self.record.planned.output_tokens;
        self.check.check_length(self.record.tokens, expected);
        RequestEnd::Completed
    }

    fn record_token(&mut self, now: Instant) {
        self.route.tokens.fetch_add(1, Ordering::Relaxed);
        self.record.tokens += 1;
        match self.last_token.replace(now) {
            None => {
                let planned = self.context.started + self.record.planned.at;
                self.record.first_token = Some(now.saturating_duration_since(planned));
            }
            Some(last) => {
                let gap = now.duration_since(last).as_micros();
                let gap = u32::try_from(gap).unwrap_or(u32::MAX);
                self.record.gaps_us.push(gap);
            }
        }
    }

    fn set_open(&mut self, open: bool) {
        if self.is_open != open {
            self.is_open = open;
            if open {
                self.route.open.fetch_add(1, Ordering::Relaxed);
            } else {
                self.route.open.fetch_sub(1, Ordering::Relaxed);
            }
        }
    }
}

async fn refusal(answer: Response<Incoming>) -> RequestEnd {
    let status = answer.status().as_u16();
    let body = answer.into_body().collect().await;
    let error = body
        .ok()
        .and_then(|body| serde_json::from_slice::<ErrorAnswer>(&body.to_bytes()).ok());
    match error {
        Some(ErrorAnswer { error }) => RequestEnd::Refused {
            code: error.code,
            outcome: error.outcome,
        },
        None => RequestEnd::Broken(format!("status {status} without an error object")),
    }
}

fn root_cause(error: &dyn std::error::Error) -> String {
    let mut cause = error;
    while let Some(inner) = cause.source() {
        cause = inner;
    }
    cause.to_string()
}
