//! A stand-in of the platform's store.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
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

use crate::http::{WholeBody, read, serve};

/// How the store behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum StoreMode {
    /// As it should.
    Well,
    /// It answers 503 and does nothing.
    Busy,
    /// It does not answer.
    Silent,
    /// It answers late.
    Slow(Duration),
    /// It does what it is asked, and does not say so.
    LosesAnswers,
}

#[derive(Debug, Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    lease: u64,
}

/// Changes that are kept.
const HISTORY: usize = 400;

/// The store.
pub struct StoreStandin {
    mode: Cell<StoreMode>,
    revision: Cell<u64>,
    items: RefCell<BTreeMap<String, Item>>,
    history: RefCell<Vec<Value>>,
    floor: Cell<u64>,
    leases: RefCell<HashMap<u64, (Instant, Duration)>>,
    next_lease: Cell<u64>,
    changed: Notify,
}

impl Default for StoreStandin {
    fn default() -> Self {
        Self {
            mode: Cell::new(StoreMode::Well),
            revision: Cell::new(1),
            items: RefCell::default(),
            history: RefCell::default(),
            floor: Cell::new(0),
            leases: RefCell::default(),
            next_lease: Cell::new(1),
            changed: Notify::new(),
        }
    }
}

impl StoreStandin {
    /// Serves the store.
    pub fn serve(self: &Rc<Self>, listener: TcpListener) -> JoinHandle<()> {
        let store = Rc::clone(self);
        serve(listener, move |request| {
            let store = Rc::clone(&store);
            async move { store.answer(request).await }
        })
    }

    /// Changes how the store behaves.
    pub fn set_mode(&self, mode: StoreMode) {
        self.mode.set(mode);
    }

    /// Drops the history.
    pub fn compact(&self) {
        self.floor.set(self.revision.get());
        self.history.borrow_mut().clear();
    }

    /// Writes a key.
    pub fn put(&self, key: &str, value: &Value) {
        self.write(key, value.to_string().into_bytes(), 0);
    }

    fn write(&self, key: &str, value: Vec<u8>, lease: u64) {
        let revision = self.revision.get() + 1;
        self.revision.set(revision);
        let item = Item {
            value,
            revision,
            lease,
        };
        self.remember(item_json(key, &item));
        self.items.borrow_mut().insert(key.to_owned(), item);
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        if self.items.borrow_mut().remove(key).is_some() {
            let revision = self.revision.get() + 1;
            self.revision.set(revision);
            self.remember(json!({"key": key, "revision": revision, "deleted": true}));
        }
    }

    fn remember(&self, event: Value) {
        let mut history = self.history.borrow_mut();
        history.push(event);
        if history.len() > HISTORY {
            let dropped = history.remove(0);
            self.floor.set(dropped["revision"].as_u64().unwrap_or(0));
        }
        drop(history);
        self.changed.notify_waiters();
    }

    /// Ends leases that ran out.
    pub fn expire(&self) {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .borrow()
            .iter()
            .filter(|(_, (renewed, ttl))| now > *renewed + *ttl)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&self, lease: u64) {
        self.leases.borrow_mut().remove(&lease);
        let keys: Vec<String> = self
            .items
            .borrow()
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<WholeBody> {
        match self.mode.get() {
            StoreMode::Well | StoreMode::LosesAnswers => {}
            StoreMode::Busy => return respond(StatusCode::SERVICE_UNAVAILABLE, &Value::Null),
            StoreMode::Silent => std::future::pending().await,
            StoreMode::Slow(time) => tokio::time::sleep(time).await,
        }
        let (head, body) = request.into_parts();
        let body = read(body).await.unwrap_or_default();
        let query: HashMap<String, String> = head
            .uri
            .query()
            .unwrap_or_default()
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .collect();
        let is_write = head.method != hyper::Method::GET;
        let (status, value) = self.call(head.uri.path(), &query, &body).await;
        if is_write && self.mode.get() == StoreMode::LosesAnswers {
            std::future::pending::<()>().await;
        }
        respond(status, &value)
    }

    async fn call(
        &self,
        path: &str,
        query: &HashMap<String, String>,
        body: &Bytes,
    ) -> (StatusCode, Value) {
        let prefix = query.get("path_prefix").map_or("", String::as_str);
        let document: Value = serde_json::from_slice(body).unwrap_or_default();
        let (name, lease) = path.rsplit_once('/').unwrap_or((path, ""));
        let lease: u64 = lease.parse().unwrap_or(0);
        match (path, name) {
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
            ("/kv-txn", _) => self.put_all(&document),
            (_, "/kv-keep") => match self.leases.borrow_mut().get_mut(&lease) {
                Some((renewed, ttl)) => {
                    *renewed = Instant::now();
                    (StatusCode::OK, json!({"ttl_ms": ttl.as_millis()}))
                }
                None => (StatusCode::NOT_FOUND, Value::Null),
            },
            (_, "/kv-lease-end") => {
                self.end_lease(lease);
                (StatusCode::OK, json!({}))
            }
            _ => (StatusCode::NOT_FOUND, Value::Null),
        }
    }

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

    async fn watch(&self, prefix: &str, query: &HashMap<String, String>) -> (StatusCode, Value) {
        let number = |name: &str| query.get(name).and_then(|value| value.parse().ok());
        let after = number("after").unwrap_or(0);
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            if after < self.floor.get() {
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
                let answer = json!({"events": events, "at": self.revision.get()});
                return (StatusCode::OK, answer);
            }
            let _ = tokio::time::timeout_at(deadline, changed).await;
        }
    }

    fn put_all(&self, document: &Value) -> (StatusCode, Value) {
        for put in document["set_keys"].as_array().into_iter().flatten() {
            let lease = put["lease"].as_u64().unwrap_or(0);
            if lease != 0 && !self.leases.borrow().contains_key(&lease) {
                return (StatusCode::NOT_FOUND, Value::Null);
            }
            let key = put["key"].as_str().unwrap_or_default();
            let value = STANDARD.decode(put["value"].as_str().unwrap_or_default());
            self.write(key, value.unwrap_or_default(), lease);
        }
        (StatusCode::OK, json!({"revision": self.revision.get()}))
    }
}

fn item_json(key: &str, item: &Item) -> Value {
    json!({
        "key": key,
        "value": STANDARD.encode(&item.value),
        "revision": item.revision,
        "lease": item.lease,
    })
}

fn respond(status: StatusCode, value: &Value) -> Response<WholeBody> {
    let mut response = Response::new(Full::new(Bytes::from(value.to_string())));
    *response.status_mut() = status;
    response
}
