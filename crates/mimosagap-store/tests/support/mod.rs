//! In-memory store for tests. It serves the subset of the etcd v3 JSON gateway that the client uses
//! and can simulate lost responses, rejected and unanswered calls, broken watches and outages.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use mimosagap_store::{StoreClient, StoreOptions};
use serde_json::{Value, json};

#[derive(Clone)]
struct StoredEntry {
    value: String,
    create_revision: u64,
    mod_revision: u64,
    lease: u64,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    entries: BTreeMap<Vec<u8>, StoredEntry>,
    /// TTL and deadline of each lease.
    leases: HashMap<u64, (Duration, Instant)>,
    /// Watch events with their revisions.
    events: Vec<(u64, Value)>,
}

#[derive(Default)]
struct SharedStore {
    state: Mutex<StoreState>,
    changed: Condvar,
    drop_responses: AtomicU32,
    reject_calls: AtomicU32,
    hang_calls: AtomicU32,
    watch_generation: AtomicU64,
    silent_watches: AtomicU64,
    down: AtomicBool,
    calls: Mutex<HashMap<String, u64>>,
}

/// Store that listens on a loopback address.
pub struct MemoryStore {
    pub address: SocketAddr,
    shared: Arc<SharedStore>,
}

impl MemoryStore {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let shared = Arc::new(SharedStore::default());
        let accept_shared = Arc::clone(&shared);
        thread::spawn(move || accept_all(listener, address, &accept_shared));
        Self { address, shared }
    }

    pub fn client(&self) -> StoreClient {
        StoreClient::new(StoreOptions {
            address: self.address,
            timeout: Duration::from_millis(300),
        })
    }

    /// Applies the next `count` calls, but closes their connections instead of responding.
    pub fn drop_responses(&self, count: u32) {
        self.shared.drop_responses.store(count, Ordering::SeqCst);
    }

    /// Rejects the next `count` calls with status 429.
    pub fn reject_calls(&self, count: u32) {
        self.shared.reject_calls.store(count, Ordering::SeqCst);
    }

    /// Leaves the next `count` calls unanswered and does not apply them; the connection stays open.
    pub fn hang_calls(&self, count: u32) {
        self.shared.hang_calls.store(count, Ordering::SeqCst);
    }

    /// Closes the connections of all open watches.
    pub fn close_watches(&self) {
        self.shared.watch_generation.fetch_add(1, Ordering::SeqCst);
        self.shared.changed.notify_all();
    }

    /// Whether watches send nothing from now on.
    pub fn set_watches_silent(&self, silent: bool) {
        self.shared
            .silent_watches
            .store(u64::from(silent), Ordering::SeqCst);
    }

    /// Refuses connections and closes open ones, or serves again.
    pub fn set_down(&self, down: bool) {
        self.shared.down.store(down, Ordering::SeqCst);
        self.close_watches();
        // The accepting thread checks `down` every 5 ms.
        thread::sleep(Duration::from_millis(30));
    }

    pub fn call_count(&self, path: &str) -> u64 {
        let calls = self.shared.calls.lock().unwrap();
        calls.get(path).copied().unwrap_or(0)
    }

    pub fn expire_all_leases(&self) {
        let mut state = self.shared.state.lock().unwrap();
        let leases: Vec<u64> = state.leases.keys().copied().collect();
        for lease in leases {
            state.revoke(lease);
        }
        self.shared.changed.notify_all();
    }
}

impl StoreState {
    fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired = self
            .leases
            .iter()
            .filter(|(_, (_, deadline))| *deadline < now);
        let expired: Vec<u64> = expired.map(|(lease, _)| *lease).collect();
        for lease in expired {
            self.revoke(lease);
        }
    }

    fn revoke(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<Vec<u8>> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }

    fn remove(&mut self, key: &[u8]) {
        self.entries.remove(key);
        let event = json!({"type": "DELETE", "kv": {"key": STANDARD.encode(key)}});
        self.events.push((self.revision, event));
    }

    fn range(&self, request: &Value) -> Value {
        let kvs: Vec<Value> = self
            .matching_keys(request)
            .iter()
            .map(|key| self.entry_json(key))
            .collect();
        json!({"header": self.header(), "count": kvs.len().to_string(), "kvs": kvs})
    }

    fn matching_keys(&self, request: &Value) -> Vec<Vec<u8>> {
        let key = decode_bytes(&request["key"]);
        let end = request.get("range_end").map(decode_bytes);
        let keys = self.entries.keys();
        keys.filter(|found| match &end {
            Some(end) => **found >= key && *found < end,
            None => **found == key,
        })
        .cloned()
        .collect()
    }

    fn entry_json(&self, key: &[u8]) -> Value {
        let entry = &self.entries[key];
        json!({
            "key": STANDARD.encode(key), "value": entry.value, "lease": entry.lease.to_string(),
            "create_revision": entry.create_revision.to_string(),
            "mod_revision": entry.mod_revision.to_string(),
        })
    }

    fn header(&self) -> Value {
        json!({"revision": self.revision.to_string()})
    }

    fn put(&mut self, request: &Value) -> Value {
        let key = decode_bytes(&request["key"]);
        let create_revision = self
            .entries
            .get(&key)
            .map_or(self.revision, |entry| entry.create_revision);
        let entry = StoredEntry {
            value: request["value"].as_str().unwrap().to_owned(),
            create_revision,
            mod_revision: self.revision,
            lease: request.get("lease").map_or(0, decode_u64),
        };
        self.entries.insert(key.clone(), entry);
        let event = json!({"kv": self.entry_json(&key)});
        self.events.push((self.revision, event));
        json!({"header": self.header()})
    }

    fn delete(&mut self, request: &Value) -> Value {
        let keys = self.matching_keys(request);
        for key in &keys {
            self.remove(key);
        }
        json!({"header": self.header(), "deleted": keys.len().to_string()})
    }

    fn compare_holds(&self, compare: &Value) -> bool {
        let entry = self.entries.get(&decode_bytes(&compare["key"]));
        match compare["target"].as_str().unwrap() {
            "CREATE" => {
                entry.map_or(0, |entry| entry.create_revision)
                    == decode_u64(&compare["create_revision"])
            }
            "MOD" => {
                entry.map_or(0, |entry| entry.mod_revision) == decode_u64(&compare["mod_revision"])
            }
            other => panic!("unexpected compare target {other}"),
        }
    }

    fn txn(&mut self, request: &Value) -> Value {
        let compares = request["compare"].as_array().unwrap();
        let succeeded = compares.iter().all(|compare| self.compare_holds(compare));
        let branch = if succeeded { "success" } else { "failure" };
        let operations = request[branch].as_array().unwrap().clone();
        if operations
            .iter()
            .any(|operation| operation.get("request_range").is_none())
        {
            self.revision += 1;
        }
        let mut responses = Vec::new();
        for operation in operations {
            let (kind, body) = operation.as_object().unwrap().iter().next().unwrap();
            responses.push(match kind.as_str() {
                "request_range" => json!({"response_range": self.range(body)}),
                "request_put" => json!({"response_put": self.put(body)}),
                "request_delete_range" => json!({"response_delete_range": self.delete(body)}),
                other => panic!("unexpected operation {other}"),
            });
        }
        json!({"header": self.header(), "succeeded": succeeded, "responses": responses})
    }

    fn call(&mut self, path: &str, request: &Value) -> Value {
        self.expire_leases();
        match path {
            "/v3/kv/range" => self.range(request),
            "/v3/kv/put" => {
                self.revision += 1;
                self.put(request)
            }
            "/v3/kv/deleterange" => {
                self.revision += 1;
                self.delete(request)
            }
            "/v3/kv/txn" => self.txn(request),
            "/v3/lease/grant" => {
                let (id, ttl) = (
                    self.leases.len() as u64 + 7_000,
                    decode_u64(&request["TTL"]),
                );
                let duration = Duration::from_secs(ttl);
                self.leases
                    .insert(id, (duration, Instant::now() + duration));
                json!({"ID": id.to_string(), "TTL": ttl.to_string()})
            }
            "/v3/lease/keepalive" => {
                let id = decode_u64(&request["ID"]);
                let ttl = self.leases.get_mut(&id).map_or(0, |(ttl, deadline)| {
                    *deadline = Instant::now() + *ttl;
                    ttl.as_secs()
                });
                json!({"result": {"ID": id.to_string(), "TTL": ttl.to_string()}})
            }
            "/v3/lease/revoke" => {
                self.revoke(decode_u64(&request["ID"]));
                json!({})
            }
            other => panic!("unexpected path {other}"),
        }
    }
}

fn decode_bytes(value: &Value) -> Vec<u8> {
    STANDARD.decode(value.as_str().unwrap()).unwrap()
}

fn decode_u64(value: &Value) -> u64 {
    value.as_str().unwrap().parse().unwrap()
}

fn accept_all(listener: TcpListener, address: SocketAddr, shared: &Arc<SharedStore>) {
    let mut listener = Some(listener);
    loop {
        if shared.down.load(Ordering::SeqCst) {
            listener = None;
        } else if listener.is_none() {
            listener = TcpListener::bind(address).ok();
        }
        if let Some(listener) = &listener {
            listener.set_nonblocking(true).unwrap();
            while let Ok((stream, _)) = listener.accept() {
                stream.set_nonblocking(false).unwrap();
                stream.set_nodelay(true).unwrap();
                let shared = Arc::clone(shared);
                thread::spawn(move || serve(&shared, stream));
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
}

fn serve(shared: &SharedStore, mut stream: TcpStream) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some((path, request)) = read_request(&mut reader) {
        if shared.down.load(Ordering::SeqCst) {
            return;
        }
        *shared
            .calls
            .lock()
            .unwrap()
            .entry(path.clone())
            .or_default() += 1;
        if path == "/v3/watch" {
            let _ = serve_watch(shared, &mut stream, &request);
            return;
        }
        if decrement_if_positive(&shared.reject_calls) {
            write!(stream, "HTTP/1.1 429 Too Many\r\nContent-Length: 0\r\n\r\n").unwrap();
            continue;
        }
        if decrement_if_positive(&shared.hang_calls) {
            thread::sleep(Duration::from_secs(2));
            return;
        }
        let response = shared
            .state
            .lock()
            .unwrap()
            .call(&path, &request)
            .to_string();
        shared.changed.notify_all();
        if decrement_if_positive(&shared.drop_responses) {
            return;
        }
        let length = response.len();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
        if stream.write_all((head + &response).as_bytes()).is_err() {
            return;
        }
    }
}

fn decrement_if_positive(counter: &AtomicU32) -> bool {
    let decrement = |count: u32| count.checked_sub(1);
    counter
        .fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement)
        .is_ok()
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<(String, Value)> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
    let path = line.split(' ').nth(1)?.to_owned();
    let mut length = 0;
    loop {
        line.clear();
        reader.read_line(&mut line).ok()?;
        match line.trim().to_ascii_lowercase().split_once(": ") {
            Some(("content-length", value)) => length = value.parse().ok()?,
            Some(_) => {}
            None => break,
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((path, serde_json::from_slice(&body).ok()?))
}

fn serve_watch(
    shared: &SharedStore,
    stream: &mut TcpStream,
    request: &Value,
) -> std::io::Result<()> {
    let request = &request["create_request"];
    let (key, end) = (
        decode_bytes(&request["key"]),
        decode_bytes(&request["range_end"]),
    );
    let mut next_revision = decode_u64(&request["start_revision"]);
    let generation = shared.watch_generation.load(Ordering::SeqCst);
    write!(stream, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")?;
    let mut state = shared.state.lock().unwrap();
    loop {
        state.expire_leases();
        if shared.watch_generation.load(Ordering::SeqCst) != generation {
            return Ok(());
        }
        let events = state.events.iter().filter(|(revision, event)| {
            let event_key = decode_bytes(&event["kv"]["key"]);
            *revision >= next_revision && event_key >= key && event_key < end
        });
        let events: Vec<Value> = events.map(|(_, event)| event.clone()).collect();
        next_revision = next_revision.max(state.revision + 1);
        if shared.silent_watches.load(Ordering::SeqCst) == 0 {
            let line = json!({"result": {"header": state.header(), "events": events}});
            writeln!(stream, "{line}")?;
        }
        state = shared
            .changed
            .wait_timeout(state, Duration::from_millis(200))
            .unwrap()
            .0;
    }
}
