//! Destinations of requests: engines directly, or the daemons that the system announces.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use http_body_util::BodyExt;
use hyper::Request;
use serde::Deserialize;

use crate::caller::{HttpClient, empty_body};

/// Timeout for fetching the list of daemon addresses.
const ADDRESS_TIMEOUT: Duration = Duration::from_secs(2);

/// Body of a response to `GET /v1/addresses`.
#[derive(Deserialize)]
struct AddressResponse {
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
struct CachedAddresses {
    addresses: Vec<AddressEntry>,
    valid_until: Instant,
}

/// Daemon addresses that one simulated caller program has cached.
#[derive(Debug)]
pub struct AddressCache {
    zone: String,
    bootstrap_addresses: Vec<SocketAddr>,
    cached: Mutex<Option<CachedAddresses>>,
}

impl AddressCache {
    /// Creates the cache of a caller in `zone` that initially knows the bootstrap addresses.
    #[must_use]
    pub fn new(zone: impl Into<String>, bootstrap_addresses: Vec<SocketAddr>) -> Self {
        Self {
            zone: zone.into(),
            bootstrap_addresses,
            cached: Mutex::new(None),
        }
    }

    /// Returns the addresses in order of preference, those of the caller's zone first. These are
    /// rotated by `rotation_seed` to spread the load; if the zone has none, all addresses are.
    async fn addresses(
        &self,
        client: &HttpClient,
        token: &str,
        rotation_seed: u64,
    ) -> Vec<SocketAddr> {
        let cached = self.lock_cached().clone();
        let current = match cached {
            Some(current) if Instant::now() < current.valid_until => current,
            cached => match self.refresh(client, token, cached.as_ref()).await {
                Some(refreshed) => {
                    *self.lock_cached() = Some(refreshed.clone());
                    refreshed
                }
                // Without a response from any daemon, expired addresses remain in use.
                None => match cached {
                    Some(expired) => expired,
                    None => return rotate(self.bootstrap_addresses.clone(), rotation_seed),
                },
            },
        };
        let (same_zone, other_zones): (Vec<_>, Vec<_>) = current
            .addresses
            .into_iter()
            .partition(|entry| entry.zone == self.zone);
        let address = |entry: AddressEntry| entry.address;
        let same_zone = rotate(same_zone.into_iter().map(address).collect(), rotation_seed);
        let other_zones = other_zones.into_iter().map(address).collect();
        if same_zone.is_empty() {
            rotate(other_zones, rotation_seed)
        } else {
            [same_zone, other_zones].concat()
        }
    }

    async fn refresh(
        &self,
        client: &HttpClient,
        token: &str,
        cached: Option<&CachedAddresses>,
    ) -> Option<CachedAddresses> {
        let known_addresses = cached.map_or_else(
            || self.bootstrap_addresses.clone(),
            |cached| cached.addresses.iter().map(|entry| entry.address).collect(),
        );
        for address in known_addresses {
            let requested_at = Instant::now();
            let fetch = self.fetch_from(client, token, address);
            if let Ok(Some(response)) = tokio::time::timeout(ADDRESS_TIMEOUT, fetch).await
                && !response.addresses.is_empty()
            {
                return Some(CachedAddresses {
                    valid_until: requested_at + Duration::from_millis(response.lifetime_ms),
                    addresses: response.addresses,
                });
            }
        }
        None
    }

    async fn fetch_from(
        &self,
        client: &HttpClient,
        token: &str,
        address: SocketAddr,
    ) -> Option<AddressResponse> {
        let request = Request::get(format!("http://{address}/v1/addresses?zone={}", self.zone))
            .header("authorization", format!("Bearer {token}"))
            .body(empty_body())
            .ok()?;
        let response = client.request(request).await.ok()?;
        let bytes = response.into_body().collect().await.ok()?.to_bytes();
        serde_json::from_slice(&bytes).ok()
    }

    fn lock_cached(&self) -> std::sync::MutexGuard<'_, Option<CachedAddresses>> {
        self.cached.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn rotate(mut addresses: Vec<SocketAddr>, rotation_seed: u64) -> Vec<SocketAddr> {
    if !addresses.is_empty() {
        let length = addresses.len() as u64;
        addresses.rotate_left(usize::try_from(rotation_seed % length).unwrap_or(0));
    }
    addresses
}

/// Destinations of a route.
#[derive(Debug)]
pub enum RouteKind {
    /// Requests go to these engines in turn.
    Engines(Vec<SocketAddr>),
    /// Requests go to the daemons. The simulated caller programs, each with its own cache, send
    /// them in turn.
    Daemons(Vec<AddressCache>),
}

/// A route of requests, with counters that can be read during the run.
#[derive(Debug)]
pub struct Route {
    /// Name in reports.
    pub name: String,
    /// Destinations of its requests.
    pub kind: RouteKind,
    /// Number of tokens received.
    pub tokens: AtomicU64,
    /// Number of streams that have received their first event and have not ended.
    pub open_streams: AtomicU64,
    request_count: AtomicU64,
}

impl Route {
    /// Creates a route with counters at 0.
    #[must_use]
    pub fn new(name: impl Into<String>, kind: RouteKind) -> Self {
        Self {
            name: name.into(),
            kind,
            tokens: AtomicU64::new(0),
            open_streams: AtomicU64::new(0),
            request_count: AtomicU64::new(0),
        }
    }

    /// Returns the addresses for the next request, in order of preference.
    pub async fn addresses(
        &self,
        client: &HttpClient,
        token: &str,
        rotation_seed: u64,
    ) -> Vec<SocketAddr> {
        match &self.kind {
            RouteKind::Engines(engines) => {
                let request_number = self.request_count.fetch_add(1, Ordering::Relaxed);
                rotate(engines.clone(), request_number)
            }
            RouteKind::Daemons(caches) => {
                let request_number = self.request_count.fetch_add(1, Ordering::Relaxed);
                let count = caches.len().max(1) as u64;
                match caches.get(usize::try_from(request_number % count).unwrap_or(0)) {
                    Some(cache) => cache.addresses(client, token, rotation_seed).await,
                    None => Vec::new(),
                }
            }
        }
    }

    /// Whether a broken stream can be resumed at another address. Only daemons support that.
    #[must_use]
    pub fn can_resume(&self) -> bool {
        matches!(self.kind, RouteKind::Daemons(_))
    }
}
