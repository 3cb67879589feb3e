//! The platform's store: keys, leases, watches, and a drill in which it comes back from a copy.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Head};
use crate::json::{self, Json, quote};

#[derive(Clone)]
struct Item {
    /// In base64, as it travels.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone, Copy)]
struct Lease {
    ttl: Duration,
    renewed: Instant,
}

#[derive(Clone)]
enum Change {
    Put(String, Item),
    Removed(String, u64),
}

impl Change {
    fn key(&self) -> &str {
        match self {
            Change::Put(key, _) | Change::Removed(key, _) => key,
        }
    }

    fn revision(&self) -> u64 {
        match self {
            Change::Put(_, item) => item.revision,
            Change::Removed(_, revision) => *revision,
        }
    }

    fn json(&self) -> String {
        match self {
            Change::Put(key, item) => item_json(key, item),
            Change::Removed(key, revision) => {
                format!(
                    "{{\"key\":{},\"revision\":{revision},\"deleted\":true}}",
                    quote(key)
                )
            }
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        quote(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

/// What the store holds at a moment.
#[derive(Clone)]
pub struct Copy {
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, Lease>,
    revision: u64,
    next_lease: u64,
}

struct State {
    data: Copy,
    history: Vec<Change>,
    /// Revisions up to this one are not in the history.
    floor: u64,
    era: u64,
    is_away: bool,
    /// What operator and engines wrote last; `None` for what they removed.
    authored: BTreeMap<String, Option<String>>,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

/// Most items of one page.
const PAGE_ITEMS: usize = 500;

impl Store {
    /// Starts the store on a free port.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port for the store");
        let address = listener.local_addr().unwrap();
        let state = State {
            data: Copy {
                items: BTreeMap::new(),
                leases: BTreeMap::new(),
                revision: 1,
                next_lease: 1,
            },
            history: Vec::new(),
            floor: 1,
            era: 1,
            is_away: false,
            authored: BTreeMap::new(),
        };
        let store = Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            address,
        };
        let server = store.clone();
        http::serve(listener, move |head, body, stream| {
            server.handle(head, &body, stream)
        });
        let leases = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(50));
                leases.expire_leases();
            }
        });
        store
    }

    /// Writes a key for the operator or an engine. The return is the acknowledgement.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        let value = base64(value.as_bytes());
        state.authored.insert(key.to_owned(), Some(value.clone()));
        state.put(key, value, 0);
        self.state.1.notify_all();
    }

    /// Removes a key of the operator or an engine.
    pub fn remove(&self, key: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.authored.insert(key.to_owned(), None);
        state.remove(key);
        self.state.1.notify_all();
    }

    pub fn keys(&self) -> Vec<String> {
        self.state
            .0
            .lock()
            .unwrap()
            .data
            .items
            .keys()
            .cloned()
            .collect()
    }

    /// A copy of what the store holds now.
    pub fn copy(&self) -> Copy {
        self.state.0.lock().unwrap().data.clone()
    }

    /// The store is away: calls get no answer and nothing is done.
    pub fn go_away(&self) {
        self.state.0.lock().unwrap().is_away = true;
        self.state.1.notify_all();
    }

    /// Comes back from a copy. Leases that it holds run anew from now on.
    pub fn come_back_from(&self, copy: Copy) {
        let mut state = self.state.0.lock().unwrap();
        state.data = copy;
        let now = Instant::now();
        for lease in state.data.leases.values_mut() {
            lease.renewed = now;
        }
        state.history.clear();
        state.floor = state.data.revision;
        state.era += 1;
        state.is_away = false;
        self.state.1.notify_all();
    }

    /// Operator and engines write again what the store lost of theirs.
    pub fn rewrite(&self, prefix: &str) {
        let mut state = self.state.0.lock().unwrap();
        let lost: Vec<(String, Option<String>)> = state
            .authored
            .iter()
            .filter(|(key, value)| {
                let held = state.data.items.get(*key).map(|item| &item.value);
                key.starts_with(prefix) && held != value.as_ref()
            })
            .map(|(key, value)| (key.clone(), value.clone()))
            .collect();
        for (key, value) in lost {
            match value {
                Some(value) => state.put(&key, value, 0),
                None => state.remove(&key),
            }
        }
        self.state.1.notify_all();
    }

    fn expire_leases(&self) {
        let mut state = self.state.0.lock().unwrap();
        if state.is_away {
            return;
        }
        let now = Instant::now();
        let ended: Vec<u64> = state
            .data
            .leases
            .iter()
            .filter(|(_, lease)| now > lease.renewed + lease.ttl)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            state.end_lease(id);
        }
        self.state.1.notify_all();
    }

    fn handle(&self, head: &Head, body: &[u8], stream: &mut TcpStream) -> bool {
        let (status, text, era) = match self.dispatch(head, body) {
            Some(answer) => answer,
            // Away: nothing was done, and the connection ends.
            None => return false,
        };
        std::thread::sleep(Duration::from_millis(2));
        let era = era.to_string();
        let headers = [
            ("Content-Type", "application/json"),
            ("Store-Era", era.as_str()),
        ];
        http::respond(stream, status, &headers, text.as_bytes()).is_ok()
    }

    fn dispatch(&self, head: &Head, body: &[u8]) -> Option<(&'static str, String, u64)> {
        let document = json::parse(body).unwrap_or(Json::Null);
        let mut state = self.state.0.lock().unwrap();
        if state.is_away {
            return None;
        }
        let path = head.path();
        let last = path.rsplit('/').next().unwrap_or("");
        let prefix = head.query("path_prefix").unwrap_or_default();
        if path == "/kv-watch" {
            let after = head
                .query("after")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0);
            let wait = head
                .query("wait_ms")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0);
            let deadline = Instant::now() + Duration::from_millis(wait);
            let era = state.era;
            loop {
                if state.is_away || state.era != era {
                    // A watch that waits is cut.
                    return None;
                }
                if after < state.floor || after > state.data.revision {
                    return Some(("410 Gone", "{}".to_owned(), state.era));
                }
                let events: Vec<String> = state
                    .history
                    .iter()
                    .filter(|change| change.revision() > after && change.key().starts_with(&prefix))
                    .map(Change::json)
                    .collect();
                let now = Instant::now();
                if !events.is_empty() || now >= deadline {
                    let text = format!(
                        "{{\"events\":[{}],\"at\":{}}}",
                        events.join(","),
                        state.data.revision
                    );
                    return Some(("200 OK", text, state.era));
                }
                state = self.state.1.wait_timeout(state, deadline - now).unwrap().0;
            }
        }
        let (status, text) = match path {
            "/kv-key" => {
                let key = head.query("key").unwrap_or_default();
                match state.data.items.get(&key) {
                    Some(item) => {
                        let text = item_json(&key, item);
                        let text = text.trim_end_matches('}');
                        ("200 OK", format!("{text},\"at\":{}}}", state.data.revision))
                    }
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            "/kv-range" => {
                let after = head.query("after").unwrap_or_default();
                let mut items: Vec<String> = state
                    .data
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                    .take(PAGE_ITEMS + 1)
                    .map(|(key, item)| item_json(key, item))
                    .collect();
                let has_more = items.len() > PAGE_ITEMS;
                items.truncate(PAGE_ITEMS);
                let text = format!(
                    "{{\"items\":[{}],\"has_more\":{has_more},\"at\":{}}}",
                    items.join(","),
                    state.data.revision
                );
                ("200 OK", text)
            }
            "/kv-lease" => {
                let ttl_ms = document
                    .get("ttl_ms")
                    .number()
                    .unwrap_or(1000)
                    .clamp(1000, 600_000);
                let id = state.data.next_lease;
                state.data.next_lease += 1;
                let lease = Lease {
                    ttl: Duration::from_millis(ttl_ms),
                    renewed: Instant::now(),
                };
                state.data.leases.insert(id, lease);
                ("200 OK", format!("{{\"lease\":{id},\"ttl_ms\":{ttl_ms}}}"))
            }
            "/kv-txn" => state.transact(&document),
            _ if path.starts_with("/kv-keep/") => {
                let id = last.parse().unwrap_or(0);
                match state.data.leases.get_mut(&id) {
                    Some(lease) => {
                        lease.renewed = Instant::now();
                        (
                            "200 OK",
                            format!("{{\"ttl_ms\":{}}}", lease.ttl.as_millis()),
                        )
                    }
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            _ if path.starts_with("/kv-lease-end/") => {
                state.end_lease(last.parse().unwrap_or(0));
                ("200 OK", "{}".to_owned())
            }
            _ => ("404 Not Found", "{}".to_owned()),
        };
        let era = state.era;
        drop(state);
        self.state.1.notify_all();
        Some((status, text, era))
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.data.revision += 1;
        let revision = self.data.revision;
        let created = self
            .data
            .items
            .get(key)
            .map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.data.items.insert(key.to_owned(), item.clone());
        self.history.push(Change::Put(key.to_owned(), item));
    }

    fn remove(&mut self, key: &str) {
        if self.data.items.remove(key).is_some() {
            self.data.revision += 1;
            self.history
                .push(Change::Removed(key.to_owned(), self.data.revision));
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.data.leases.remove(&id);
        let keys: Vec<String> = self
            .data
            .items
            .iter()
            .filter(|(_, item)| id != 0 && item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn transact(&mut self, document: &Json) -> (&'static str, String) {
        for row in document.get("expected_revision").list() {
            let key = row.get("key").text();
            let held = self.data.items.get(key).map_or(0, |item| item.revision);
            if row.get("revision").number() != Some(held) {
                return ("412 Precondition Failed", "{\"items\":[]}".to_owned());
            }
        }
        for put in document.get("set_keys").list() {
            let lease = put.get("lease").number().unwrap_or(0);
            if lease != 0 && !self.data.leases.contains_key(&lease) {
                return ("404 Not Found", "{}".to_owned());
            }
            let key = put.get("key").text();
            if key.starts_with("op/") || key.starts_with("servers/") {
                return ("403 Forbidden", "{}".to_owned());
            }
        }
        for put in document.get("set_keys").list() {
            let lease = put.get("lease").number().unwrap_or(0);
            self.put(
                put.get("key").text(),
                put.get("value").text().to_owned(),
                lease,
            );
        }
        for key in document.get("remove").list() {
            self.remove(key.text());
        }
        ("200 OK", format!("{{\"revision\":{}}}", self.data.revision))
    }
}

/// Standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let number = u32::from(group[0]) << 16
            | u32::from(*group.get(1).unwrap_or(&0)) << 8
            | u32::from(*group.get(2).unwrap_or(&0));
        for index in 0..4 {
            if index <= group.len() {
                out.push(DIGITS[(number >> (18 - 6 * index) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}
