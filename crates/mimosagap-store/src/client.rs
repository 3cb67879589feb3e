//! Blocking HTTP client of the store.

use std::io::BufReader;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::{Agent, Body};

use crate::counters::{CallCounters, CallCounts, CallKind};
use crate::error::{CallError, NotApplied, UnknownFate};

/// Bounds the memory for a response that never ends; the initial read returns all records.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;
const MAX_ERROR_TEXT_BYTES: u64 = 256;
const MAX_IDLE_CONNECTIONS: usize = 4;
/// The store or a network device in between may drop a connection that is idle for longer.
const IDLE_CONNECTION_TTL: Duration = Duration::from_secs(5);

/// Options of a [`StoreClient`].
#[derive(Debug, Clone, Copy)]
pub struct StoreOptions {
    /// Address of the store.
    pub address: SocketAddr,
    /// Timeout of a call, including the time to connect.
    pub timeout: Duration,
}

/// Blocking client of the store. Clones are cheap and share connections, counters and health.
#[derive(Debug, Clone)]
pub struct StoreClient {
    state: Arc<ClientState>,
}

#[derive(Debug)]
struct ClientState {
    options: StoreOptions,
    agent: Mutex<Agent>,
    counters: CallCounters,
    health: Mutex<StoreHealth>,
}

/// Reachability of the store, as seen by the latest calls.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreHealth {
    /// Time of the last response that showed the store as reachable, including rejected calls;
    /// `None` before the first one.
    pub last_response: Option<Instant>,
    /// Calls since the last response that found the store unreachable.
    pub consecutive_failures: u32,
}

impl StoreClient {
    /// Creates a client, which connects on its first call.
    #[must_use]
    pub fn new(options: StoreOptions) -> Self {
        Self {
            state: Arc::new(ClientState {
                options,
                agent: Mutex::new(call_agent(&options)),
                counters: CallCounters::default(),
                health: Mutex::default(),
            }),
        }
    }

    /// Number of calls, failures and bytes so far, for all clones together.
    #[must_use]
    pub fn counts(&self) -> CallCounts {
        self.state.counters.snapshot()
    }

    /// Reachability of the store, for all clones together.
    #[must_use]
    pub fn health(&self) -> StoreHealth {
        *self.lock_health()
    }

    fn lock_health(&self) -> MutexGuard<'_, StoreHealth> {
        let health = self.state.health.lock();
        health.unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn record_response(&self) {
        *self.lock_health() = StoreHealth {
            last_response: Some(Instant::now()),
            consecutive_failures: 0,
        };
    }

    fn record_failure(&self, error: &CallError) {
        if error.is_unreachable() {
            let mut health = self.lock_health();
            health.consecutive_failures = health.consecutive_failures.saturating_add(1);
        } else {
            self.record_response();
        }
    }

    pub(crate) fn call<Req, Resp>(&self, kind: CallKind, request: &Req) -> Result<Resp, CallError>
    where
        Req: Serialize,
        Resp: DeserializeOwned,
    {
        let agent = self.agent();
        self.state.counters.count_call(kind);
        self.send(&agent, kind, request)
            .and_then(|body| self.read_response(body))
            .inspect(|_| self.record_response())
            .inspect_err(|error| {
                self.state.counters.count_failure(kind, error);
                self.record_failure(error);
                self.close_idle_connections(error);
            })
    }

    fn read_response<Resp: DeserializeOwned>(&self, mut body: Body) -> Result<Resp, CallError> {
        let bytes = body
            .with_config()
            .limit(MAX_RESPONSE_BYTES)
            .read_to_vec()
            .map_err(|error| CallError::from_transport(&error))?;
        self.count_received_bytes(bytes.len());
        serde_json::from_slice(&bytes).map_err(|_| CallError::Unknown(UnknownFate::BadAnswer))
    }

    pub(crate) fn count_received_bytes(&self, bytes: usize) {
        self.state.counters.add_bytes_received(bytes);
    }

    /// Starts a call with a streamed response. Each read of the stream times out after
    /// `read_timeout`.
    pub(crate) fn open_stream<Req: Serialize>(
        &self,
        request: &Req,
        read_timeout: Duration,
    ) -> Result<BufReader<ureq::BodyReader<'static>>, CallError> {
        let kind = CallKind::Watch;
        let agent = stream_agent(&self.state.options, read_timeout);
        self.state.counters.count_call(kind);
        self.send(&agent, kind, request)
            .map(|body| BufReader::new(body.into_with_config().limit(u64::MAX).reader()))
            .inspect(|_| self.record_response())
            .inspect_err(|error| {
                self.state.counters.count_failure(kind, error);
                self.record_failure(error);
            })
    }

    fn send<Req: Serialize>(
        &self,
        agent: &Agent,
        kind: CallKind,
        request: &Req,
    ) -> Result<Body, CallError> {
        let url = format!("http://{}{}", self.state.options.address, kind.path());
        let bytes =
            serde_json::to_vec(request).expect("requests have only types that JSON can hold");
        self.state.counters.add_bytes_sent(bytes.len());
        let response = agent
            .post(url)
            .content_type("application/json")
            .send(bytes)
            .map_err(|error| CallError::from_transport(&error))?;
        let status = response.status().as_u16();
        let mut body = response.into_body();
        match status {
            200..=299 => Ok(body),
            429 => Err(CallError::NotApplied(NotApplied::TooManyCalls)),
            400..=499 => {
                let config = body
                    .with_config()
                    .limit(MAX_ERROR_TEXT_BYTES)
                    .lossy_utf8(true);
                let text = config.read_to_string().unwrap_or_default();
                Err(CallError::NotApplied(NotApplied::Rejected { status, text }))
            }
            _ => Err(CallError::Unknown(UnknownFate::Failed { status })),
        }
    }

    fn agent(&self) -> Agent {
        let agent = self.state.agent.lock();
        agent.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Closes all idle connections after a call without a valid response: if one connection stopped
    /// responding, the other open ones may have too, while new ones work.
    fn close_idle_connections(&self, error: &CallError) {
        if matches!(error, CallError::Unknown(_)) {
            let agent = self.state.agent.lock();
            *agent.unwrap_or_else(PoisonError::into_inner) = call_agent(&self.state.options);
        }
    }
}

/// Shorter than the timeout of the whole call, so that the error shows whether connecting or
/// waiting for the response timed out: only the former proves that the call was not applied.
fn connect_timeout(options: &StoreOptions) -> Duration {
    options.timeout.mul_f64(0.6)
}

fn call_agent(options: &StoreOptions) -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .max_redirects(0)
        .timeout_connect(Some(connect_timeout(options)))
        .timeout_global(Some(options.timeout))
        .max_idle_connections(MAX_IDLE_CONNECTIONS)
        .max_idle_connections_per_host(MAX_IDLE_CONNECTIONS)
        .max_idle_age(IDLE_CONNECTION_TTL)
        .build()
        .into()
}

fn stream_agent(options: &StoreOptions, read_timeout: Duration) -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .max_redirects(0)
        .timeout_connect(Some(connect_timeout(options)))
        .timeout_per_read(Some(read_timeout))
        .timeout_per_write(Some(read_timeout))
        .max_idle_connections(0)
        .build()
        .into()
}
