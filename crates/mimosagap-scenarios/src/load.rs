//! Background load from callers that fetch their daemon addresses from `/v1/addresses`.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hyper::Method;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::runtime::Runtime;
use tokio::task::JoinHandle;

use crate::caller::{
    AddressResponse, Caller, CallerOptions, Endpoint, GenerationRequest, OrderRequest,
    fetch_addresses,
};
use crate::cluster::{MODEL, SERVICE_DEPLOYMENT};
use crate::record::{RequestKind, RequestRecord, ScenarioRecorder};

/// How long a caller retries one request.
const RETRY_TIMEOUT: Duration = Duration::from_secs(10);
/// The time between the end of one request and the start of the next.
const REQUEST_PAUSE: Duration = Duration::from_millis(20);

/// The load of a group of callers, which each send one request at a time.
#[derive(Debug, Clone)]
pub struct LoadOptions {
    /// The prefix of the request names.
    pub name: String,
    /// Daemons that callers fetch addresses from. A send is recorded under the name of the daemon
    /// whose address it uses, if that is one of these.
    pub address_sources: Vec<Endpoint>,
    /// The bearer token of the team that the callers belong to.
    pub token: String,
    /// How long callers start new requests.
    pub duration: Duration,
    /// The number of callers that send generations.
    pub generation_callers: usize,
    /// The number of callers that send orders.
    pub order_callers: usize,
    /// Whether an order that may have been executed is sent again with its key.
    pub resend_unknown: bool,
    /// The largest output length, in tokens.
    pub max_tokens: u64,
    /// The seed of the random output lengths and address choices.
    pub seed: u64,
}

#[derive(Clone, Copy)]
enum LoadKind {
    Generations,
    Orders,
}

/// Spawns the callers and returns their tasks.
#[must_use]
pub fn spawn_load(
    runtime: &Runtime,
    options: &LoadOptions,
    recorder: &ScenarioRecorder,
) -> Vec<JoinHandle<()>> {
    let generations = (0..options.generation_callers).map(|number| (LoadKind::Generations, number));
    let orders = (0..options.order_callers).map(|number| (LoadKind::Orders, number));
    generations
        .chain(orders)
        .map(|(kind, number)| {
            let caller = LoadCaller::new(options, recorder, kind, number);
            runtime.spawn(caller.run())
        })
        .collect()
}

struct LoadCaller {
    options: LoadOptions,
    recorder: ScenarioRecorder,
    kind: LoadKind,
    name_prefix: String,
    rng: SmallRng,
    addresses: Vec<SocketAddr>,
    addresses_expire_at: Instant,
}

impl LoadCaller {
    fn new(
        options: &LoadOptions,
        recorder: &ScenarioRecorder,
        kind: LoadKind,
        number: usize,
    ) -> Self {
        let letter = match kind {
            LoadKind::Generations => 'g',
            LoadKind::Orders => 'o',
        };
        let name_prefix = format!("{}-{letter}{number}", options.name);
        let caller_bits = u64::from(u32::from(letter)) << 32 | number as u64;
        Self {
            rng: SmallRng::seed_from_u64(options.seed ^ caller_bits),
            options: options.clone(),
            recorder: recorder.clone(),
            kind,
            name_prefix,
            addresses: Vec::new(),
            addresses_expire_at: Instant::now(),
        }
    }

    async fn run(mut self) {
        let end = Instant::now() + self.options.duration;
        let mut number = 0;
        while Instant::now() < end {
            number += 1;
            let name = format!("{}-{number}", self.name_prefix);
            self.refresh_addresses().await;
            let caller = self.next_caller();
            match self.kind {
                LoadKind::Generations => self.send_generation(&caller, name).await,
                LoadKind::Orders => self.send_order(&caller, name).await,
            }
            tokio::time::sleep(REQUEST_PAUSE).await;
        }
    }

    /// Fetches addresses when the lifetime of the last ones has expired. Tries the sources from a
    /// random one on and keeps the old addresses if none responds.
    async fn refresh_addresses(&mut self) {
        if Instant::now() < self.addresses_expire_at {
            return;
        }
        let request_started = Instant::now();
        let first = self.rng.random_range(0..self.options.address_sources.len());
        for offset in 0..self.options.address_sources.len() {
            let source = &self.options.address_sources
                [(first + offset) % self.options.address_sources.len()];
            if let Some(AddressResponse {
                addresses,
                lifetime,
            }) = fetch_addresses(source, &self.options.token).await
                && !addresses.is_empty()
            {
                self.addresses = addresses;
                self.addresses_expire_at = request_started + lifetime;
                return;
            }
        }
    }

    /// A caller that starts at a random one of the fetched addresses, or of the sources if there are
    /// none.
    fn next_caller(&mut self) -> Caller {
        let mut endpoints: Vec<Endpoint> = self
            .addresses
            .iter()
            .map(|address| Endpoint {
                name: self.endpoint_name(*address),
                address: *address,
            })
            .collect();
        if endpoints.is_empty() {
            endpoints.clone_from(&self.options.address_sources);
        }
        let first = self.rng.random_range(0..endpoints.len());
        endpoints.rotate_left(first);
        let options = CallerOptions {
            endpoints,
            token: self.options.token.clone(),
            retry_timeout: RETRY_TIMEOUT,
            resend_unknown: self.options.resend_unknown,
        };
        Caller::new(options, self.recorder.clone())
    }

    fn endpoint_name(&self, address: SocketAddr) -> String {
        let sources = self.options.address_sources.iter();
        sources
            .filter(|source| source.address == address)
            .map(|source| source.name.clone())
            .next()
            .unwrap_or_else(|| address.to_string())
    }

    async fn send_generation(&mut self, caller: &Caller, name: String) {
        let tokens = self.rng.random_range(1..=self.options.max_tokens);
        let stream = self.rng.random_bool(0.75);
        let kind = RequestKind::Generation { tokens };
        if self
            .recorder
            .add_request(RequestRecord::new(&name, kind))
            .is_err()
        {
            return;
        }
        let request = GenerationRequest {
            model: MODEL.to_owned(),
            input: format!("quote for job {name}"),
            name,
            tokens,
            stream,
            class: None,
        };
        caller.send_generation_with_retries(request).await;
    }

    async fn send_order(&mut self, caller: &Caller, name: String) {
        let kind = RequestKind::Order { key: name.clone() };
        if self
            .recorder
            .add_request(RequestRecord::new(&name, kind))
            .is_err()
        {
            return;
        }
        let request = OrderRequest {
            service: SERVICE_DEPLOYMENT.to_owned(),
            method: Method::POST,
            path: "bookings".to_owned(),
            key: name.clone(),
            body: format!("booking {name}"),
            name,
        };
        caller.send_order_with_retries(request).await;
    }
}
