//! The key-value service: a subset of the etcd v3 JSON gateway with faults.

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

use crate::http::{self, Answer, ChannelBody, RunResult, WholeRequest};
use fault::{Fault, FaultAction};
use keyspace::{KeySpace, StoreError};
use meter::{CallKind, CallMeter, RateLimits};
use wire::{LeaseRequest, WatchLine, WatchRequest};

const DEFAULT_WRITES_PER_SECOND: u32 = 500;
const DEFAULT_READS_PER_SECOND: u32 = 2_000;
/// How late a lease may expire.
const LEASE_CHECK_PERIOD: Duration = Duration::from_millis(5);
/// The contract is one line per second; half of it leaves room for a busy machine.
const PROGRESS_PERIOD: Duration = Duration::from_millis(500);

struct Store {
    keys: Mutex<KeySpace>,
    meter: Mutex<CallMeter>,
    fault: watch::Sender<Fault>,
    revision: watch::Sender<u64>,
}

/// Runs the store.
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
    http::finish_options(arguments)?;
    http::run_until_terminated(async move {
        let store = Arc::new(Store::new(limits));
        tokio::spawn(expire_leases(Arc::clone(&store)));
        let listener = http::bind(listen).await?;
        http::serve(listener, move |request| answer(Arc::clone(&store), request)).await
    })
}

/// Leases expire during every fault, as their time is the store's own.
async fn expire_leases(store: Arc<Store>) {
    let mut ticks = tokio::time::interval(LEASE_CHECK_PERIOD);
    loop {
        ticks.tick().await;
        store.change(|keys| keys.expire(Instant::now()));
    }
}

async fn answer(store: Arc<Store>, request: WholeRequest) -> Answer {
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
    match store.take_fault(|fault| fault.before(request.body())) {
        FaultAction::None | FaultAction::LoseAnswer => {}
        FaultAction::Refuse => return Err(http::close_without_answer()),
        FaultAction::Delay(delay) => {
            // A caller that stops waiting does not stop its call, which takes effect late.
            let call = tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                Store::carry_out(&store, kind, request.body()).answer
            });
            return call.await.map_err(io::Error::other)?;
        }
    }
    let carried_out = Store::carry_out(&store, kind, request.body());
    if carried_out.had_effect
        && let FaultAction::LoseAnswer = store.take_fault(|fault| fault.after(request.body()))
    {
        return Err(http::close_without_answer());
    }
    carried_out.answer
}

/// An answer that is ready, and whether its call changed the store.
struct CarriedOut {
    answer: Answer,
    had_effect: bool,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Store {
    fn new(limits: RateLimits) -> Self {
        let keys = KeySpace::new();
        let (revision, _) = watch::channel(keys.revision());
        let (fault, _) = watch::channel(Fault::default());
        Self {
            keys: Mutex::new(keys),
            meter: Mutex::new(CallMeter::new(limits, Instant::now())),
            fault,
            revision,
        }
    }

    fn take_fault(&self, take: impl FnOnce(&mut Fault) -> FaultAction) -> FaultAction {
        let mut action = FaultAction::None;
        self.fault.send_if_modified(|fault| {
            let before = fault.kind;
            action = take(fault);
            before != fault.kind
        });
        action
    }

    /// Runs an operation on the keys and wakes the watches if it changed any.
    fn change<T>(&self, operation: impl FnOnce(&mut KeySpace) -> T) -> T {
        let mut keys = lock(&self.keys);
        let result = operation(&mut keys);
        self.revision.send_if_modified(|revision| {
            let changed = *revision != keys.revision();
            *revision = keys.revision();
            changed
        });
        result
    }

    fn control(&self, method: &Method, name: &str, body: &[u8]) -> Answer {
        match (method, name) {
            (&Method::POST, "fault") => http::with_json(body, |fault| {
                self.fault.send_replace(fault);
                http::done()
            }),
            (&Method::GET, "fault") => {
                let hits = self.fault.borrow().hits();
                http::json(StatusCode::OK, &serde_json::json!({ "hits": hits }))
            }
            (&Method::GET, "calls") => http::json(StatusCode::OK, &lock(&self.meter).report()),
            (&Method::GET, "dump") => {
                let dump = self.change(|keys| keys.dump(Instant::now()));
                http::json(StatusCode::OK, &dump)
            }
            _ => http::not_found(),
        }
    }

    fn carry_out(store: &Arc<Self>, kind: CallKind, body: &Bytes) -> CarriedOut {
        let now = Instant::now();
        let mut carried_out = match kind {
            CallKind::Range => store.call(body, |keys, request| keys.range(&request)),
            CallKind::Put => store.call(body, KeySpace::put),
            CallKind::DeleteRange => {
                store.call(body, |keys, request| Ok(keys.delete_range(&request)))
            }
            CallKind::TxnRead | CallKind::TxnWrite => store.call(body, KeySpace::txn),
            CallKind::LeaseGrant => store.call(body, |keys, request: LeaseRequest| {
                keys.grant(now, request.id, request.ttl)
            }),
            CallKind::LeaseKeepalive => store.call(body, |keys, request: LeaseRequest| {
                Ok(serde_json::json!({ "result": keys.keep_alive(now, request.id) }))
            }),
            CallKind::LeaseRevoke => {
                store.call(body, |keys, request: LeaseRequest| keys.revoke(request.id))
            }
            CallKind::Watch => CarriedOut {
                answer: http::with_json(body, |request: WatchRequest| {
                    Ok(Self::watch(store, request))
                }),
                had_effect: false,
            },
        };
        // A lease changes without a new revision.
        carried_out.had_effect |= kind.is_lease();
        carried_out
    }

    fn call<Q: DeserializeOwned, A: Serialize>(
        &self,
        body: &[u8],
        operation: impl FnOnce(&mut KeySpace, Q) -> Result<A, StoreError>,
    ) -> CarriedOut {
        let mut had_effect = false;
        let answer = http::with_json(body, |request| {
            let result = self.change(|keys| {
                keys.expire(Instant::now());
                let before = keys.revision();
                let result = operation(keys, request);
                had_effect = keys.revision() != before;
                result
            });
            match result {
                Ok(response) => http::json(StatusCode::OK, &response),
                Err(error) => http::json(error.status(), &error.body()),
            }
        });
        CarriedOut { answer, had_effect }
    }

    fn watch(store: &Arc<Self>, request: WatchRequest) -> Response<http::AnswerBody> {
        let (sender, body) = ChannelBody::open();
        let store = Arc::clone(store);
        tokio::spawn(async move {
            lock(&store.meter).watches_open += 1;
            store.feed_watch(request, sender).await;
            lock(&store.meter).watches_open -= 1;
        });
        Response::new(body)
    }

    async fn feed_watch(&self, request: WatchRequest, sender: mpsc::Sender<io::Result<Bytes>>) {
        let mut revision = self.revision.subscribe();
        let mut fault = self.fault.subscribe();
        let mut progress = tokio::time::interval(PROGRESS_PERIOD);
        let create = request.create_request;
        let current = lock(&self.keys).revision();
        let mut next = match create.start_revision {
            0 => current + 1,
            start => start,
        };
        let mut lines = vec![WatchLine::created(current)];
        loop {
            if fault.borrow_and_update().is_down() {
                let _ = sender.send(Err(http::close_without_answer())).await;
                return;
            }
            revision.borrow_and_update();
            let changes = lock(&self.keys).changes_from(next, &create);
            let canceled = match changes {
                Ok((events, last)) => {
                    next = last + 1;
                    if !events.is_empty() {
                        lines.push(WatchLine::events(last, &events));
                    }
                    false
                }
                Err(compacted) => {
                    lines.push(WatchLine::compacted(last_revision(next), compacted));
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
                _ = progress.tick() => lines.push(WatchLine::progress(last_revision(next))),
            }
        }
    }
}

fn last_revision(next: u64) -> u64 {
    next.saturating_sub(1)
}
