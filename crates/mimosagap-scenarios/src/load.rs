//! Load from callers that use the addresses which the system gives them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hyper::Method;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::runtime::Runtime;
use tokio::task::JoinHandle;

use crate::caller::{
    AddressAnswer, Caller, CallerOptions, Endpoint, GenerationRequest, OrderRequest, ask_addresses,
};
use crate::cluster::{MODEL, SERVICE_DEPLOYMENT};
use crate::record::{Journal, RequestKind, RequestRecord};

const PATIENCE: Duration = Duration::from_secs(10);
const PAUSE: Duration = Duration::from_millis(20);

/// What the callers do.
#[derive(Debug, Clone)]
pub struct LoadOptions {
    /// The prefix of the requests' names.
    pub name: String,
    /// Daemons that are asked for addresses. Their names appear in the records.
    pub seeds: Vec<Endpoint>,
    /// The bearer token.
    pub token: String,
    /// How long new requests are sent.
    pub duration: Duration,
    /// Callers that send generations.
    pub streams: usize,
    /// Callers that send orders.
    pub orders: usize,
    /// Whether an order that may have run is sent again with its key.
    pub resend: bool,
    /// The longest output in tokens.
    pub longest: u64,
    /// The seed of lengths and choices.
    pub seed: u64,
}

#[derive(Clone, Copy)]
enum LoadKind {
    Generations,
    Orders,
}

/// Starts the callers.
#[must_use]
pub fn run_load(
    runtime: &Runtime,
    options: &LoadOptions,
    journal: &Journal,
) -> Vec<JoinHandle<()>> {
    let generations = (0..options.streams).map(|number| (LoadKind::Generations, number));
    let orders = (0..options.orders).map(|number| (LoadKind::Orders, number));
    generations
        .chain(orders)
        .map(|(kind, number)| {
            let caller = LoadCaller::new(options, journal, kind, number);
            runtime.spawn(caller.run())
        })
        .collect()
}

struct LoadCaller {
    options: LoadOptions,
    journal: Journal,
    kind: LoadKind,
    prefix: String,
    random: SmallRng,
    addresses: Vec<SocketAddr>,
    valid_until: Instant,
}

impl LoadCaller {
    fn new(options: &LoadOptions, journal: &Journal, kind: LoadKind, number: usize) -> Self {
        let letter = match kind {
            LoadKind::Generations => 'g',
            LoadKind::Orders => 'o',
        };
        let prefix = format!("{}-{letter}{number}", options.name);
        let own = u64::from(u32::from(letter)) << 32 | number as u64;
        Self {
            random: SmallRng::seed_from_u64(options.seed ^ own),
            options: options.clone(),
            journal: journal.clone(),
            kind,
            prefix,
            addresses: Vec::new(),
            valid_until: Instant::now(),
        }
    }

    async fn run(mut self) {
        let end = Instant::now() + self.options.duration;
        let mut number = 0;
        while Instant::now() < end {
            number += 1;
            let name = format!("{}-{number}", self.prefix);
            self.refresh_addresses().await;
            let caller = self.caller();
            match self.kind {
                LoadKind::Generations => self.generate(&caller, name).await,
                LoadKind::Orders => self.order(&caller, name).await,
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Asks for addresses when the last answer's lifetime is over.
    async fn refresh_addresses(&mut self) {
        if Instant::now() < self.valid_until {
            return;
        }
        let asked = Instant::now();
        let first = self.random.random_range(0..self.options.seeds.len());
        for number in 0..self.options.seeds.len() {
            let seed = &self.options.seeds[(first + number) % self.options.seeds.len()];
            if let Some(AddressAnswer {
                addresses,
                lifetime,
            }) = ask_addresses(seed, &self.options.token).await
                && !addresses.is_empty()
            {
                self.addresses = addresses;
                self.valid_until = asked + lifetime;
                return;
            }
        }
    }

    /// A caller that begins at a random address of the last answer.
    fn caller(&mut self) -> Caller {
        let mut via: Vec<Endpoint> = self
            .addresses
            .iter()
            .map(|address| Endpoint {
                name: self.name_of(*address),
                address: *address,
            })
            .collect();
        if via.is_empty() {
            via.clone_from(&self.options.seeds);
        }
        let first = self.random.random_range(0..via.len());
        via.rotate_left(first);
        let options = CallerOptions {
            via,
            token: self.options.token.clone(),
            patience: PATIENCE,
            resend: self.options.resend,
        };
        Caller::new(options, self.journal.clone())
    }

    fn name_of(&self, address: SocketAddr) -> String {
        let seeds = self.options.seeds.iter();
        seeds
            .filter(|seed| seed.address == address)
            .map(|seed| seed.name.clone())
            .next()
            .unwrap_or_else(|| address.to_string())
    }

    async fn generate(&mut self, caller: &Caller, name: String) {
        let tokens = self.random.random_range(1..=self.options.longest);
        let stream = self.random.random_bool(0.75);
        let kind = RequestKind::Generation { tokens };
        if self.journal.open(RequestRecord::new(&name, kind)).is_err() {
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
        caller.generate(request).await;
    }

    async fn order(&mut self, caller: &Caller, name: String) {
        let kind = RequestKind::Order { key: name.clone() };
        if self.journal.open(RequestRecord::new(&name, kind)).is_err() {
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
        caller.order(request).await;
    }
}
