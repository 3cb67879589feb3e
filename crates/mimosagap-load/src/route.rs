//! Where requests go: to engines directly, or to the daemons that the system names.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use http_body_util::BodyExt;
use hyper::Request;
use serde::Deserialize;

use crate::caller::{HttpClient, empty};

/// How long a caller waits for an address answer.
const ADDRESS_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Deserialize)]
struct AddressAnswer {
    addresses: Vec<AddressEntry>,
    lifetime_ms: u64,
}

#[derive(Debug, Clone)]
#[derive(Deserialize)]
struct AddressEntry {
    address: SocketAddr,
    zone: String,
}

#[derive(Debug, Clone)]
struct KeptAnswer {
    addresses: Vec<AddressEntry>,
    until: Instant,
}

/// The addresses that one caller program knows.
#[derive(Debug)]
pub struct AddressBook {
    zone: String,
    first: Vec<SocketAddr>,
    kept: Mutex<Option<KeptAnswer>>,
}

impl AddressBook {
    /// A caller in a zone that knows some daemons at its start.
    #[must_use]
    pub fn new(zone: impl Into<String>, first: Vec<SocketAddr>) -> Self {
        Self {
            zone: zone.into(),
            first,
            kept: Mutex::new(None),
        }
    }

    /// The addresses in order of preference. Those of the caller's zone are rotated by `salt`, so
    /// that the load spreads over them; so are all of them if the zone has none.
    async fn addresses(&self, client: &HttpClient, token: &str, salt: u64) -> Vec<SocketAddr> {
        let kept = self.kept().clone();
        let answer = match kept {
            Some(answer) if Instant::now() < answer.until => answer,
            kept => match self.ask(client, token, kept.as_ref()).await {
                Some(answer) => {
                    *self.kept() = Some(answer.clone());
                    answer
                }
                // Callers go on with what they know when nobody answers.
                None => match kept {
                    Some(answer) => answer,
                    None => return rotated(self.first.clone(), salt),
                },
            },
        };
        let (near, far): (Vec<_>, Vec<_>) = answer
            .addresses
            .into_iter()
            .partition(|entry| entry.zone == self.zone);
        let address = |entry: AddressEntry| entry.address;
        let near = rotated(near.into_iter().map(address).collect(), salt);
        let far = far.into_iter().map(address).collect();
        if near.is_empty() {
            rotated(far, salt)
        } else {
            [near, far].concat()
        }
    }

    async fn ask(
        &self,
        client: &HttpClient,
        token: &str,
        kept: Option<&KeptAnswer>,
    ) -> Option<KeptAnswer> {
        let known = kept.map_or_else(
            || self.first.clone(),
            |kept| kept.addresses.iter().map(|entry| entry.address).collect(),
        );
        for address in known {
            let asked_at = Instant::now();
            let asking = self.ask_one(client, token, address);
            if let Ok(Some(answer)) = tokio::time::timeout(ADDRESS_TIMEOUT, asking).await
                && !answer.addresses.is_empty()
            {
                return Some(KeptAnswer {
                    until: asked_at + Duration::from_millis(answer.lifetime_ms),
                    addresses: answer.addresses,
                });
            }
        }
        None
    }

    async fn ask_one(
        &self,
        client: &HttpClient,
        token: &str,
        address: SocketAddr,
    ) -> Option<AddressAnswer> {
        let request = Request::get(format!("http://{address}/v1/addresses?zone={}", self.zone))
            .header("authorization", format!("Bearer {token}"))
            .body(empty())
            .ok()?;
        let answer = client.request(request).await.ok()?;
        let bytes = answer.into_body().collect().await.ok()?.to_bytes();
        serde_json::from_slice(&bytes).ok()
    }

    fn kept(&self) -> std::sync::MutexGuard<'_, Option<KeptAnswer>> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn rotated(mut addresses: Vec<SocketAddr>, salt: u64) -> Vec<SocketAddr> {
    if !addresses.is_empty() {
        let length = addresses.len() as u64;
        addresses.rotate_left(usize::try_from(salt % length).unwrap_or(0));
    }
    addresses
}

/// Where the requests of a run go.
#[derive(Debug)]
pub enum RouteKind {
    /// To these engines in turn.
    Engines(Vec<SocketAddr>),
    /// Each request to the caller program at its number modulo the length.
    Daemons(Vec<AddressBook>),
}

/// A route with counters that can be read during the run.
#[derive(Debug)]
pub struct Route {
    /// The name in reports.
    pub name: String,
    /// Where it leads.
    pub kind: RouteKind,
    /// Tokens received.
    pub tokens: AtomicU64,
    /// Streams that got their first event and have not ended.
    pub open: AtomicU64,
    next: AtomicU64,
}

impl Route {
    /// A route.
    #[must_use]
    pub fn new(name: impl Into<String>, kind: RouteKind) -> Self {
        Self {
            name: name.into(),
            kind,
            tokens: AtomicU64::new(0),
            open: AtomicU64::new(0),
            next: AtomicU64::new(0),
        }
    }

    /// The addresses for one request, in order of preference.
    pub async fn addresses(&self, client: &HttpClient, token: &str, salt: u64) -> Vec<SocketAddr> {
        match &self.kind {
            RouteKind::Engines(engines) => {
                let turn = self.next.fetch_add(1, Ordering::Relaxed);
                rotated(engines.clone(), turn)
            }
            RouteKind::Daemons(books) => {
                let turn = self.next.fetch_add(1, Ordering::Relaxed);
                let count = books.len().max(1) as u64;
                match books.get(usize::try_from(turn % count).unwrap_or(0)) {
                    Some(book) => book.addresses(client, token, salt).await,
                    None => Vec::new(),
                }
            }
        }
    }

    /// Whether a broken stream may be resumed at another address.
    #[must_use]
    pub fn resumes_elsewhere(&self) -> bool {
        matches!(self.kind, RouteKind::Daemons(_))
    }
}
