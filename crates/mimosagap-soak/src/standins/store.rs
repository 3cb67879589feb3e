//! A stand-in for the platform's key-value store, with leases, watches and faults.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use crate::http::{FullBody, read_body, serve};
use crate::run::take_due;
use crate::standins::target::TargetContext;

/// How the store treats requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum StoreMode {
    /// Handles requests correctly.
    Well,
    /// Rejects every request with status 503.
    Busy,
    /// Neither applies requests nor responds.
    Silent,
    /// Handles every request after this delay.
    Slow(Duration),
    /// Applies writes without responding, and responds to reads.
    LosesAnswers,
}

/// A copy of what the store holds, from which it can come back.
#[derive(Debug, Clone)]
struct StoreCopy {
    taken_at: Instant,
    revision: u64,
    items: BTreeMap<String, StoredItem>,
    /// TTLs of the leases by id.
    leases: HashMap<u64, Duration>,
    next_lease: u64,
}

/// Interval of the copies, and for how long they are kept.
const COPY_INTERVAL: Duration = Duration::from_millis(250);
const COPY_RETENTION: Duration = Duration::from_secs(15);

/// Time within which operators and targets write again what a copy lacks.
const REWRITE_TIME: Duration = Duration::from_millis(1500);

#[derive(Debug, Clone)]
struct StoredItem {
    value: Vec<u8>,
    /// The revision that wrote it.
    revision: u64,
    /// The lease that it expires with, or 0.
    lease: u64,
}

/// Number of changes that are kept for watches.
const MAX_HISTORY: usize = 400;

/// The store, which holds all keys in memory.
pub struct StoreStandin {
    mode: Cell<StoreMode>,
    revision: Cell<u64>,
    items: RefCell<BTreeMap<String, StoredItem>>,
    /// Changes as watches receive them, oldest first.
    history: RefCell<Vec<Value>>,
    /// The newest revision that is no longer in the history; older watches get status 410.
    compacted_revision: Cell<u64>,
    /// When each lease was last renewed, and its TTL.
    leases: RefCell<HashMap<u64, (Instant, Duration)>>,
    next_lease: Cell<u64>,
    /// How often the store came back from a copy.
    era: Cell<u64>,
    copies: RefCell<VecDeque<StoreCopy>>,
    /// What operators and targets wrote last; what is not in here they removed.
    authored: RefCell<BTreeMap<String, Vec<u8>>>,
    /// Keys that operators and targets write again after the store came back, and when.
    pending_rewrites: RefCell<Vec<(Instant, String)>>,
    change_notify: Notify,
}

impl Default for StoreStandin {
    fn default() -> Self {
        Self {
            mode: Cell::new(StoreMode::Well),
            revision: Cell::new(1),
            items: RefCell::default(),
            history: RefCell::default(),
            compacted_revision: Cell::new(0),
            leases: RefCell::default(),
            next_lease: Cell::new(1),
            era: Cell::new(1),
            copies: RefCell::default(),
            authored: RefCell::default(),
            pending_rewrites: RefCell::default(),
            change_notify: Notify::new(),
        }
    }
}

impl StoreStandin {
    /// Serves the store's HTTP API until the returned task is aborted.
    pub fn serve(self: &Rc<Self>, listener: TcpListener) -> JoinHandle<()> {
        let store = Rc::clone(self);
        serve(listener, move |request| {
            let store = Rc::clone(&store);
            async move { store.handle_request(request, |_| {}).await }
        })
    }

    /// Serves gateways that reach the targets by detours.
    pub fn serve_detoured(
        self: &Rc<Self>,
        listener: TcpListener,
        context: &Rc<TargetContext>,
    ) -> JoinHandle<()> {
        let (store, context) = (Rc::clone(self), Rc::clone(context));
        serve(listener, move |request| {
            let (store, context) = (Rc::clone(&store), Rc::clone(&context));
            async move {
                let rewrite = |response: &mut Value| context.detours.rewrite(response);
                store.handle_request(request, rewrite).await
            }
        })
    }

    /// Changes how the store treats requests from now on.
    pub fn set_mode(&self, mode: StoreMode) {
        self.mode.set(mode);
    }

    /// Drops the history, so that watches of earlier revisions get status 410.
    pub fn compact(&self) {
        self.compacted_revision.set(self.revision.get());
        self.history.borrow_mut().clear();
    }

    /// Writes a key without a lease, whatever the mode.
    pub fn put(&self, key: &str, value: &Value) {
        self.put_bytes(key, value.to_string().into_bytes());
    }

    /// Like [`Self::put`], with any bytes.
    pub fn put_bytes(&self, key: &str, value: Vec<u8>) {
        let mut authored = self.authored.borrow_mut();
        authored.insert(key.to_owned(), value.clone());
        drop(authored);
        self.write(key, value, 0);
    }

    fn write(&self, key: &str, value: Vec<u8>, lease: u64) {
        let revision = self.revision.get() + 1;
        self.revision.set(revision);
        let item = StoredItem {
            value,
            revision,
            lease,
        };
        self.push_change(item_json(key, &item));
        self.items.borrow_mut().insert(key.to_owned(), item);
    }

    /// Writes a key of which no watch hears, as a watch of the platform may miss changes for a while.
    pub fn put_unwatched(&self, key: &str, value: &Value) {
        let item = StoredItem {
            value: value.to_string().into_bytes(),
            revision: self.revision.get(),
            lease: 0,
        };
        self.items.borrow_mut().insert(key.to_owned(), item);
    }

    /// Whether a key has a value.
    pub fn has_key(&self, key: &str) -> bool {
        self.items.borrow().contains_key(key)
    }

    /// Deletes a key that was written with [`Self::put`], whatever the mode.
    pub fn remove(&self, key: &str) {
        self.authored.borrow_mut().remove(key);
        self.delete(key);
    }

    fn delete(&self, key: &str) {
        if self.items.borrow_mut().remove(key).is_some() {
            let revision = self.revision.get() + 1;
            self.revision.set(revision);
            self.push_change(json!({"key": key, "revision": revision, "deleted": true}));
        }
    }

    fn push_change(&self, change: Value) {
        let mut history = self.history.borrow_mut();
        history.push(change);
        if history.len() > MAX_HISTORY {
            let dropped = history.remove(0);
            self.compacted_revision
                .set(dropped["revision"].as_u64().unwrap_or(0));
        }
        drop(history);
        self.change_notify.notify_waiters();
    }

    /// Revokes the leases that were not renewed within their TTL, deletes their keys, and does other
    /// work that is due.
    pub fn expire_leases(&self) {
        self.do_due_work();
        let now = Instant::now();
        let expired: Vec<u64> = self
            .leases
            .borrow()
            .iter()
            .filter(|(_, (renewed, ttl))| now > *renewed + *ttl)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in expired {
            self.revoke_lease(lease);
        }
    }

    fn revoke_lease(&self, lease: u64) {
        self.leases.borrow_mut().remove(&lease);
        let keys: Vec<String> = self
            .items
            .borrow()
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.delete(&key);
        }
    }

    /// Comes back from the newest copy that is at least `age` old: what was written since is gone,
    /// leases too, and revisions and lease ids are given out again. Operators and targets write
    /// theirs again within [`REWRITE_TIME`].
    pub fn restore(&self, age: Duration) {
        let now = Instant::now();
        let copies = self.copies.borrow();
        let is_old = |copy: &&StoreCopy| now.duration_since(copy.taken_at) >= age;
        let Some(copy) = copies.iter().rfind(is_old).or(copies.front()).cloned() else {
            return;
        };
        drop(copies);
        self.copies.borrow_mut().clear();
        self.revision.set(copy.revision);
        self.next_lease.set(copy.next_lease);
        let leases = copy.leases.iter().map(|(lease, ttl)| (*lease, (now, *ttl)));
        *self.leases.borrow_mut() = leases.collect();
        *self.items.borrow_mut() = copy.items;
        self.era.set(self.era.get() + 1);
        self.compact();
        self.schedule_rewrites(now);
        self.change_notify.notify_waiters();
    }

    /// Schedules what operators and targets write again, one key after the other.
    fn schedule_rewrites(&self, now: Instant) {
        let items = self.items.borrow();
        let authored = self.authored.borrow();
        let is_lost = |key: &&String| items.get(*key).map(|item| &item.value) != authored.get(*key);
        let is_removed = |key: &&String| {
            let is_own = key.starts_with("op/") || key.starts_with("servers/");
            is_own && !authored.contains_key(*key)
        };
        let lost = authored.keys().filter(is_lost);
        let keys: Vec<String> = lost
            .chain(items.keys().filter(is_removed))
            .cloned()
            .collect();
        let count = u32::try_from(keys.len()).unwrap_or(u32::MAX).max(1);
        let times = (1..).map(|number| now + REWRITE_TIME * number / count);
        *self.pending_rewrites.borrow_mut() = times.zip(keys).collect();
    }

    /// Does what is due: takes copies, and writes again what operators and targets had written.
    fn do_due_work(&self) {
        let now = Instant::now();
        let due = take_due(&mut self.pending_rewrites.borrow_mut(), now);
        for key in due {
            let value = self.authored.borrow().get(&key).cloned();
            match value {
                Some(value) => self.write(&key, value, 0),
                None => self.delete(&key),
            }
        }
        let mut copies = self.copies.borrow_mut();
        let is_recent = |copy: &StoreCopy| now.duration_since(copy.taken_at) < COPY_INTERVAL;
        if self.mode.get() != StoreMode::Well || copies.back().is_some_and(is_recent) {
            return;
        }
        copies.retain(|copy| now.duration_since(copy.taken_at) < COPY_RETENTION);
        let leases = self.leases.borrow();
        copies.push_back(StoreCopy {
            taken_at: now,
            revision: self.revision.get(),
            items: self.items.borrow().clone(),
            leases: leases
                .iter()
                .map(|(lease, (_, ttl))| (*lease, *ttl))
                .collect(),
            next_lease: self.next_lease.get(),
        });
    }

    /// Handles a request according to the mode, and changes the response for its reader.
    async fn handle_request(
        &self,
        request: Request<Incoming>,
        rewrite: impl Fn(&mut Value),
    ) -> Response<FullBody> {
        match self.mode.get() {
            StoreMode::Well | StoreMode::LosesAnswers => {}
            StoreMode::Busy => return json_response(StatusCode::SERVICE_UNAVAILABLE, &Value::Null),
            StoreMode::Silent => std::future::pending().await,
            StoreMode::Slow(delay) => tokio::time::sleep(delay).await,
        }
        let (head, body) = request.into_parts();
        let body = read_body(body).await.unwrap_or_default();
        let query: HashMap<String, String> = head
            .uri
            .query()
            .unwrap_or_default()
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .collect();
        let is_write = head.method != hyper::Method::GET;
        let era = self.era.get();
        let (status, mut value) = self.dispatch(head.uri.path(), &query, &body).await;
        rewrite(&mut value);
        if is_write && self.mode.get() == StoreMode::LosesAnswers {
            std::future::pending::<()>().await;
        }
        let mut response = json_response(status, &value);
        response.headers_mut().insert("store-era", era.into());
        response
    }

    /// Executes one call of the API. Paths with a lease have the form `/kv-keep/LEASE`.
    async fn dispatch(
        &self,
        path: &str,
        query: &HashMap<String, String>,
        body: &Bytes,
    ) -> (StatusCode, Value) {
        let prefix = query.get("path_prefix").map_or("", String::as_str);
        let document: Value = serde_json::from_slice(body).unwrap_or_default();
        let (operation, lease) = path.rsplit_once('/').unwrap_or((path, ""));
        let lease: u64 = lease.parse().unwrap_or(0);
        match (path, operation) {
            ("/kv-range", _) => (StatusCode::OK, self.range(prefix)),
            ("/kv-watch", _) => self.watch(prefix, query).await,
            ("/kv-lease", _) => {
                let lease = self.next_lease.get();
                self.next_lease.set(lease + 1);
                let ttl = Duration::from_millis(document["ttl_ms"].as_u64().unwrap_or(1000));
                self.leases
                    .borrow_mut()
                    .insert(lease, (Instant::now(), ttl));
                (
                    StatusCode::OK,
                    json!({"lease": lease, "ttl_ms": document["ttl_ms"]}),
                )
            }
            ("/kv-txn", _) => self.commit_puts(&document),
            (_, "/kv-keep") => match self.leases.borrow_mut().get_mut(&lease) {
                Some((renewed, ttl)) => {
                    *renewed = Instant::now();
                    (StatusCode::OK, json!({"ttl_ms": ttl.as_millis()}))
                }
                None => (StatusCode::NOT_FOUND, Value::Null),
            },
            (_, "/kv-lease-end") => {
                self.revoke_lease(lease);
                (StatusCode::OK, json!({}))
            }
            _ => (StatusCode::NOT_FOUND, Value::Null),
        }
    }

    /// Returns all items under a prefix.
    fn range(&self, prefix: &str) -> Value {
        let items: Vec<Value> = self
            .items
            .borrow()
            .iter()
            .filter(|(key, _)| key.starts_with(prefix))
            .map(|(key, item)| item_json(key, item))
            .collect();
        json!({"items": items, "has_more": false, "at": self.revision.get()})
    }

    /// Returns the changes under a prefix after a revision, and waits for the first one for
    /// `wait_ms` at most.
    async fn watch(&self, prefix: &str, query: &HashMap<String, String>) -> (StatusCode, Value) {
        let number = |name: &str| query.get(name).and_then(|value| value.parse().ok());
        let after = number("after").unwrap_or(0);
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let notified = self.change_notify.notified();
            if after < self.compacted_revision.get() || after > self.revision.get() {
                return (StatusCode::GONE, Value::Null);
            }
            let events: Vec<Value> = self
                .history
                .borrow()
                .iter()
                .filter(|event| event["revision"].as_u64() > Some(after))
                .filter(|event| {
                    event["key"]
                        .as_str()
                        .is_some_and(|key| key.starts_with(prefix))
                })
                .cloned()
                .collect();
            let timed_out = tokio::time::Instant::now() >= deadline;
            if !events.is_empty() || timed_out {
                let response = json!({"events": events, "at": self.revision.get()});
                return (StatusCode::OK, response);
            }
            let _ = tokio::time::timeout_at(deadline, notified).await;
        }
    }

    /// Writes the keys of a transaction in order, until one names an unknown lease, and removes others.
    fn commit_puts(&self, document: &Value) -> (StatusCode, Value) {
        for put in document["set_keys"].as_array().into_iter().flatten() {
            let lease = put["lease"].as_u64().unwrap_or(0);
            if lease != 0 && !self.leases.borrow().contains_key(&lease) {
                return (StatusCode::NOT_FOUND, Value::Null);
            }
            let key = put["key"].as_str().unwrap_or_default();
            let value = STANDARD.decode(put["value"].as_str().unwrap_or_default());
            self.write(key, value.unwrap_or_default(), lease);
        }
        for key in document["remove"].as_array().into_iter().flatten() {
            self.delete(key.as_str().unwrap_or_default());
        }
        (StatusCode::OK, json!({"revision": self.revision.get()}))
    }
}

fn item_json(key: &str, item: &StoredItem) -> Value {
    json!({
        "key": key,
        "value": STANDARD.encode(&item.value),
        "revision": item.revision,
        "lease": item.lease,
    })
}

fn json_response(status: StatusCode, value: &Value) -> Response<FullBody> {
    let mut response = Response::new(Full::new(Bytes::from(value.to_string())));
    *response.status_mut() = status;
    response
}
