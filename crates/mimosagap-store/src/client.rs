//! The blocking HTTP client.

use std::io::BufReader;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::{Agent, Body};

use crate::counters::{CallCounters, CallCounts, CallKind};
use crate::error::{CallError, NotApplied, UnknownFate};

/// Bounds an answer against a store that sends without end: the initial read returns all records.
const MAX_ANSWER_BYTES: u64 = 64 << 20;
const MAX_ERROR_BYTES: u64 = 256;
const MAX_IDLE_CONNECTIONS: usize = 4;
/// The store or a device in between may drop a connection that was idle for longer.
const MAX_IDLE_AGE: Duration = Duration::from_secs(5);

/// How to reach the store.
#[derive(Debug, Clone, Copy)]
pub struct StoreOptions {
    /// The store's address.
    pub address: SocketAddr,
    /// How long a call may take, including the connection.
    pub timeout: Duration,
}

/// A blocking client. Cheap to clone; clones share connections and counters.
#[derive(Debug, Clone)]
pub struct StoreClient {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    options: StoreOptions,
    agent: Mutex<Agent>,
    counters: CallCounters,
    health: Mutex<StoreHealth>,
}

/// How the latest calls went.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreHealth {
    /// When the store answered last, whatever it said.
    pub last_response: Option<Instant>,
    /// Calls since then that showed the store as unreachable.
    pub consecutive_failures: u32,
}

impl StoreClient {
    /// A client that connects with its first call.
    #[must_use]
    pub fn new(options: StoreOptions) -> Self {
        Self {
            shared: Arc::new(Shared {
                options,
                agent: Mutex::new(call_agent(&options)),
                counters: CallCounters::default(),
                health: Mutex::default(),
            }),
        }
    }

    /// How often each kind of call was made.
    #[must_use]
    pub fn counts(&self) -> CallCounts {
        self.shared.counters.snapshot()
    }

    /// How the latest calls of all clones went.
    #[must_use]
    pub fn health(&self) -> StoreHealth {
        *self.lock_health()
    }

    fn lock_health(&self) -> MutexGuard<'_, StoreHealth> {
        let health = self.shared.health.lock();
        health.unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn note_answer(&self) {
        *self.lock_health() = StoreHealth {
            last_response: Some(Instant::now()),
            consecutive_failures: 0,
        };
    }

    fn note_failure(&self, error: &CallError) {
        if error.is_unreachable() {
            let mut health = self.lock_health();
            health.consecutive_failures = health.consecutive_failures.saturating_add(1);
        } else {
            self.note_answer();
        }
    }

    pub(crate) fn call<Q, A>(&self, kind: CallKind, request: &Q) -> Result<A, CallError>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let agent = self.agent();
        self.shared.counters.called(kind);
        self.send(&agent, kind, request)
            .and_then(|body| self.parse(body))
            .inspect(|_| self.note_answer())
            .inspect_err(|error| {
                self.shared.counters.failed(kind, error);
                self.note_failure(error);
                self.discard_connections(error);
            })
    }

    fn parse<A: DeserializeOwned>(&self, mut body: Body) -> Result<A, CallError> {
        let bytes = body
            .with_config()
            .limit(MAX_ANSWER_BYTES)
            .read_to_vec()
            .map_err(|error| CallError::from_transport(&error))?;
        self.note_received(bytes.len());
        serde_json::from_slice(&bytes).map_err(|_| CallError::Unknown(UnknownFate::BadAnswer))
    }

    pub(crate) fn note_received(&self, bytes: usize) {
        self.shared.counters.received(bytes);
    }

    /// Starts a streamed answer in which every read may take `silence`.
    pub(crate) fn stream<Q: Serialize>(
        &self,
        request: &Q,
        silence: Duration,
    ) -> Result<BufReader<ureq::BodyReader<'static>>, CallError> {
        let kind = CallKind::Watch;
        let agent = stream_agent(&self.shared.options, silence);
        self.shared.counters.called(kind);
        self.send(&agent, kind, request)
            .map(|body| BufReader::new(body.into_with_config().limit(u64::MAX).reader()))
            .inspect(|_| self.note_answer())
            .inspect_err(|error| {
                self.shared.counters.failed(kind, error);
                self.note_failure(error);
            })
    }

    fn send<Q: Serialize>(
        &self,
        agent: &Agent,
        kind: CallKind,
        request: &Q,
    ) -> Result<Body, CallError> {
        let url = format!("http://{}{}", self.shared.options.address, kind.path());
        let bytes = serde_json::to_vec(request).expect("requests have only types of JSON");
        self.shared.counters.sent(bytes.len());
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
                let config = body.with_config().limit(MAX_ERROR_BYTES).lossy_utf8(true);
                let text = config.read_to_string().unwrap_or_default();
                Err(CallError::NotApplied(NotApplied::Rejected { status, text }))
            }
            _ => Err(CallError::Unknown(UnknownFate::Failed { status })),
        }
    }

    fn agent(&self) -> Agent {
        let agent = self.shared.agent.lock();
        agent.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Drops all idle connections after a call without an answer: when one open connection went
    /// silent, the others may have gone silent with it, while new ones work.
    fn discard_connections(&self, error: &CallError) {
        if matches!(error, CallError::Unknown(_)) {
            let agent = self.shared.agent.lock();
            *agent.unwrap_or_else(PoisonError::into_inner) = call_agent(&self.shared.options);
        }
    }
}

/// Connecting gets less time than the whole call, so that a timeout tells which of the two it
/// ended.
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
        .max_idle_age(MAX_IDLE_AGE)
        .build()
        .into()
}

fn stream_agent(options: &StoreOptions, silence: Duration) -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .max_redirects(0)
        .timeout_connect(Some(connect_timeout(options)))
        .timeout_per_read(Some(silence))
        .timeout_per_write(Some(silence))
        .max_idle_connections(0)
        .build()
        .into()
}
