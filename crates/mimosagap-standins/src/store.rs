//! Stand-in for the key-value store: a subset of the etcd v3 JSON gateway with rate limits and
//! fault injection.

mod fault;
mod keyspace;
mod meter;
mod wire;

use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::{Method, Response, StatusCode};
use pico_args::Arguments;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::{mpsc, watch};

use crate::http::{self, BufferedRequest, ChannelBody, HandlerResult, RunResult};
use fault::{Fault, FaultAction};
use keyspace::{KeySpace, StoreError};
use meter::{CallKind, CallMeter, RateLimits};
use wire::{LeaseRequest, WatchLine, WatchRequest};

const DEFAULT_WRITES_PER_SECOND: u32 = 500;
const DEFAULT_READS_PER_SECOND: u32 = 2_000;
/// Period of the lease expiry check, by which a lease may expire late.
const LEASE_EXPIRY_PERIOD: Duration = Duration::from_millis(5);
/// Period of progress lines on a watch. Clients rely on one line per second; half of that leaves
/// room for a busy machine.
const PROGRESS_PERIOD: Duration = Duration::from_millis(500);

struct Store {
    key_space: Mutex<KeySpace>,
    meter: Mutex<CallMeter>,
    fault: watch::Sender<Fault>,
    revision: watch::Sender<u64>,
}

/// Runs the store until SIGTERM.
///
/// # Errors
/// If an option is wrong or the address cannot be bound.
pub fn run(mut arguments: Arguments) -> RunResult {
    let listen = http::listen_option(&mut arguments)?;
    let limits = RateLimits {
        writes: arguments
            .opt_value_from_str("--writes-per-second")?
            .unwrap_or(DEFAULT_WRITES_PER_SECOND),
        reads: arguments
            .opt_value_from_str("--reads-per-second")?
            .unwrap_or(DEFAULT_READS_PER_SECOND),
    };
    http::reject_unknown_options(arguments)?;
    http::run_until_sigterm(async move {
        let store = Arc::new(Store::new(limits));
        tokio::spawn(expire_leases(Arc::clone(&store)));
        let listener = http::bind(listen).await?;
        http::serve(listener, move |request| {
            handle_request(Arc::clone(&store), request)
        })
        .await
    })
}

/// Expires leases periodically. Faults do not stop this: a lease expires by the clock of the store,
/// also during an outage.
async fn expire_leases(store: Arc<Store>) {
    let mut ticks = tokio::time::interval(LEASE_EXPIRY_PERIOD);
    loop {
        ticks.tick().await;
        store.modify(|key_space| key_space.expire(Instant::now()));
    }
}

async fn handle_request(store: Arc<Store>, request: BufferedRequest) -> HandlerResult {
    let path = request.uri().path();
    if let Some(name) = path.strip_prefix("/control/") {
        return store.control(request.method(), name, request.body());
    }
    let Some(kind) = CallKind::of(path, request.body()) else {
        return http::not_found();
    };
    if request.method() != Method::POST {
        return http::not_found();
    }
    if !lock(&store.meter).admit(kind, Instant::now()) {
        let body = wire::ErrorBody::new(8, "the store's call rate is exceeded");
        return http::json(StatusCode::TOO_MANY_REQUESTS, &body);
    }
    match store.next_fault_action(|fault| fault.on_request(request.body())) {
        FaultAction::None | FaultAction::DropResponse => {}
        FaultAction::Refuse => return Err(http::close_without_response()),
        FaultAction::Delay(delay) => {
            // Runs as a task of its own: the call takes effect even if its caller gives up.
            let call = tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                Store::execute(&store, kind, request.body()).response
            });
            return call.await.map_err(io::Error::other)?;
        }
    }
    let outcome = Store::execute(&store, kind, request.body());
    if outcome.changed_store
        && let FaultAction::DropResponse =
            store.next_fault_action(|fault| fault.on_response(request.body()))
    {
        return Err(http::close_without_response());
    }
    outcome.response
}

/// The response to a call, and whether the call changed keys or leases.
struct CallOutcome {
    response: HandlerResult,
    changed_store: bool,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Store {
    fn new(limits: RateLimits) -> Self {
        let key_space = KeySpace::new();
        let (revision, _) = watch::channel(key_space.revision());
        let (fault, _) = watch::channel(Fault::default());
        Self {
            key_space: Mutex::new(key_space),
            meter: Mutex::new(CallMeter::new(limits, Instant::now())),
            fault,
            revision,
        }
    }

    fn next_fault_action(&self, select: impl FnOnce(&mut Fault) -> FaultAction) -> FaultAction {
        let mut action = FaultAction::None;
        self.fault.send_if_modified(|fault| {
            let previous_kind = fault.kind;
            action = select(fault);
            previous_kind != fault.kind
        });
        action
    }

    /// Runs an operation on the key space and wakes the watches if the revision changed.
    fn modify<T>(&self, operation: impl FnOnce(&mut KeySpace) -> T) -> T {
        let mut key_space = lock(&self.key_space);
        let result = operation(&mut key_space);
        self.revision.send_if_modified(|revision| {
            let changed = *revision != key_space.revision();
            *revision = key_space.revision();
            changed
        });
        result
    }

    fn control(&self, method: &Method, name: &str, body: &[u8]) -> HandlerResult {
        match (method, name) {
            (&Method::POST, "fault") => http::handle_json(body, |fault| {
                self.fault.send_replace(fault);
                http::empty_object()
            }),
            (&Method::GET, "fault") => {
                let hits = self.fault.borrow().hits();
                http::json(StatusCode::OK, &serde_json::json!({ "hits": hits }))
            }
            (&Method::GET, "calls") => http::json(StatusCode::OK, &lock(&self.meter).report()),
            (&Method::GET, "dump") => {
                let dump = self.modify(|key_space| key_space.dump(Instant::now()));
                http::json(StatusCode::OK, &dump)
            }
            _ => http::not_found(),
        }
    }

    fn execute(store: &Arc<Self>, kind: CallKind, body: &Bytes) -> CallOutcome {
        let now = Instant::now();
        let mut outcome = match kind {
            CallKind::Range => {
                store.execute_json(body, |key_space, request| key_space.range(&request))
            }
            CallKind::Put => store.execute_json(body, KeySpace::put),
            CallKind::DeleteRange => store.execute_json(body, |key_space, request| {
                Ok(key_space.delete_range(&request))
            }),
            CallKind::TxnRead | CallKind::TxnWrite => store.execute_json(body, KeySpace::txn),
            CallKind::LeaseGrant => store.execute_json(body, |key_space, request: LeaseRequest| {
                key_space.grant(now, request.id, request.ttl)
            }),
            CallKind::LeaseKeepalive => {
                store.execute_json(body, |key_space, request: LeaseRequest| {
                    Ok(serde_json::json!({ "result": key_space.keep_alive(now, request.id) }))
                })
            }
            CallKind::LeaseRevoke => store
                .execute_json(body, |key_space, request: LeaseRequest| {
                    key_space.revoke(request.id)
                }),
            CallKind::Watch => CallOutcome {
                response: http::handle_json(body, |request: WatchRequest| {
                    Ok(Self::watch(store, request))
                }),
                changed_store: false,
            },
        };
        // Lease calls have an effect without a new revision.
        outcome.changed_store |= kind.is_lease();
        outcome
    }

    fn execute_json<Q: DeserializeOwned, R: Serialize>(
        &self,
        body: &[u8],
        operation: impl FnOnce(&mut KeySpace, Q) -> Result<R, StoreError>,
    ) -> CallOutcome {
        let mut changed_store = false;
        let response = http::handle_json(body, |request| {
            let result = self.modify(|key_space| {
                key_space.expire(Instant::now());
                let previous_revision = key_space.revision();
                let result = operation(key_space, request);
                changed_store = key_space.revision() != previous_revision;
                result
            });
            match result {
                Ok(response) => http::json(StatusCode::OK, &response),
                Err(error) => http::json(error.status(), &error.body()),
            }
        });
        CallOutcome {
            response,
            changed_store,
        }
    }

    fn watch(store: &Arc<Self>, request: WatchRequest) -> Response<http::ResponseBody> {
        let (sender, body) = ChannelBody::open();
        let store = Arc::clone(store);
        tokio::spawn(async move {
            lock(&store.meter).watches_open += 1;
            store.run_watch(request, sender).await;
            lock(&store.meter).watches_open -= 1;
        });
        Response::new(body)
    }

    async fn run_watch(&self, request: WatchRequest, sender: mpsc::Sender<io::Result<Bytes>>) {
        let mut revision = self.revision.subscribe();
        let mut fault = self.fault.subscribe();
        let mut progress_ticks = tokio::time::interval(PROGRESS_PERIOD);
        let create = request.create_request;
        let current_revision = lock(&self.key_space).revision();
        let mut next_revision = match create.start_revision {
            0 => current_revision + 1,
            start => start,
        };
        let mut lines = vec![WatchLine::created(current_revision)];
        loop {
            if fault.borrow_and_update().is_down() {
                let _ = sender.send(Err(http::close_without_response())).await;
                return;
            }
            revision.borrow_and_update();
            let watch_events = lock(&self.key_space).watch_events_from(next_revision, &create);
            let canceled = match watch_events {
                Ok((events, last)) => {
                    next_revision = last + 1;
                    if !events.is_empty() {
                        lines.push(WatchLine::events(last, &events));
                    }
                    false
                }
                Err(compacted) => {
                    lines.push(WatchLine::compacted(
                        covered_revision(next_revision),
                        compacted,
                    ));
                    true
                }
            };
            for line in lines.drain(..) {
                if sender.send(Ok(line.into_bytes())).await.is_err() {
                    return;
                }
            }
            if canceled {
                return;
            }
            tokio::select! {
                result = revision.changed() => if result.is_err() { return },
                result = fault.changed() => if result.is_err() { return },
                () = sender.closed() => return,
                _ = progress_ticks.tick() => lines.push(WatchLine::progress(covered_revision(next_revision))),
            }
        }
    }
}

fn covered_revision(next_revision: u64) -> u64 {
    next_revision.saturating_sub(1)
}
