//! The platform's store: keys with revisions, leases, ranges, watches and transactions.

use std::collections::{BTreeMap, HashMap};
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::wire::{
    Json, Message, decode_base64, encode_base64, read_request, unescape, write_response,
};

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Event {
    revision: u64,
    key: String,
    /// The item as JSON, or that it was deleted.
    text: String,
}

struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    /// When each lease ends, and its time to live.
    leases: HashMap<u64, (Instant, Duration)>,
    next_lease: u64,
    /// Watches from an earlier revision get status 410.
    floor: u64,
    /// How often the store came back from a copy, and one.
    era: u64,
    /// Whether all calls get status 503.
    is_away: bool,
}

/// What the store holds, from which it can come back.
pub struct StoreCopy {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: HashMap<u64, Duration>,
    next_lease: u64,
}

/// The store, shared by all its listeners.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

/// One way to the store, which can be closed for the machine that uses it.
pub struct StoreDoor {
    pub address: SocketAddr,
    /// While this is set, calls get no response.
    pub is_silent: Arc<AtomicBool>,
}

fn item_text(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        encode_base64(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        let text = item_text(key, &item);
        self.items.insert(key.to_owned(), item);
        let (revision, key) = (self.revision, key.to_owned());
        self.events.push(Event {
            revision,
            key,
            text,
        });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let revision = self.revision;
            let text = format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}");
            let key = key.to_owned();
            self.events.push(Event {
                revision,
                key,
                text,
            });
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }
}

impl Store {
    /// Creates an empty store.
    pub fn new() -> Arc<Self> {
        let state = State {
            revision: 1,
            items: BTreeMap::new(),
            events: Vec::new(),
            leases: HashMap::new(),
            next_lease: 1,
            floor: 0,
            era: 1,
            is_away: false,
        };
        let store = Arc::new(Self {
            state: Mutex::new(state),
            changed: Condvar::new(),
        });
        let ending = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                let mut state = ending.state.lock().unwrap();
                let now = Instant::now();
                let ended = state
                    .leases
                    .iter()
                    .filter(|(_, (ends_at, _))| *ends_at <= now);
                let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
                for lease in ended {
                    state.end_lease(lease);
                    ending.changed.notify_all();
                }
            }
        });
        store
    }

    /// Writes a key without a lease, as the operator and the servers do.
    pub fn write(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.put(key, value.as_bytes().to_vec(), 0);
        self.changed.notify_all();
    }

    /// Copies what the store holds.
    pub fn copy(&self) -> StoreCopy {
        let state = self.state.lock().unwrap();
        let leases = state.leases.iter();
        StoreCopy {
            revision: state.revision,
            items: state.items.clone(),
            leases: leases.map(|(lease, (_, time))| (*lease, *time)).collect(),
            next_lease: state.next_lease,
        }
    }

    /// Takes the store away: all calls get status 503.
    pub fn leave(&self) {
        self.state.lock().unwrap().is_away = true;
        self.changed.notify_all();
    }

    /// Comes back from a copy, in the next era.
    pub fn come_back(&self, copy: StoreCopy) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        state.revision = copy.revision;
        state.floor = copy.revision;
        state.items = copy.items;
        state.events.clear();
        let leases = copy.leases.into_iter();
        state.leases = leases
            .map(|(lease, time)| (lease, (now + time, time)))
            .collect();
        state.next_lease = copy.next_lease;
        state.era += 1;
        state.is_away = false;
    }

    /// Opens a listener. `view` changes what readers there see of a value.
    pub fn open(
        self: &Arc<Self>,
        view: impl Fn(&str, &str) -> Option<String> + Send + Sync + 'static,
    ) -> StoreDoor {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("its address");
        let is_silent = Arc::new(AtomicBool::new(false));
        let (store, silent, view) = (Arc::clone(self), Arc::clone(&is_silent), Arc::new(view));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, silent, view) =
                    (Arc::clone(&store), Arc::clone(&silent), Arc::clone(&view));
                thread::spawn(move || {
                    let _ = store.serve(stream, &silent, view.as_ref());
                });
            }
        });
        StoreDoor { address, is_silent }
    }

    fn serve(
        &self,
        stream: TcpStream,
        silent: &AtomicBool,
        view: &(dyn Fn(&str, &str) -> Option<String> + Send + Sync),
    ) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader)? {
            if silent.load(Ordering::SeqCst) {
                // A connection that lost a response returns nothing further.
                while silent.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(20));
                }
                return Ok(());
            }
            let (status, body) = self.handle(&request, silent, view);
            if silent.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_secs(600));
            }
            let era = self.state.lock().unwrap().era.to_string();
            let headers = [
                ("Content-Type", "application/json"),
                ("Store-Era", era.as_str()),
            ];
            write_response(&mut writer, status, &headers, body.as_bytes())?;
        }
        Ok(())
    }

    fn handle(
        &self,
        request: &Message,
        silent: &AtomicBool,
        view: &(dyn Fn(&str, &str) -> Option<String> + Send + Sync),
    ) -> (&'static str, String) {
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let parameter = |name: &str| {
            let pair = query.split('&').filter_map(|pair| pair.split_once('='));
            let value = pair
                .filter(|(key, _)| *key == name)
                .map(|(_, value)| unescape(value));
            value.last().unwrap_or_default()
        };
        if self.state.lock().unwrap().is_away {
            return ("503 Service Unavailable", "{}".to_owned());
        }
        match (request.method(), path) {
            ("GET", "/kv-range") => {
                self.range(&parameter("path_prefix"), &parameter("after"), view)
            }
            ("GET", "/kv-watch") => {
                let after = parameter("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(parameter("wait_ms").parse().unwrap_or(0));
                self.watch(&parameter("path_prefix"), after, wait, silent, view)
            }
            ("POST", "/kv-lease") => {
                let ttl = Json::parse(&request.body).get("ttl_ms").number().max(1000);
                let mut state = self.state.lock().unwrap();
                let lease = state.next_lease;
                state.next_lease += 1;
                let time = Duration::from_millis(ttl);
                state.leases.insert(lease, (Instant::now() + time, time));
                ("200 OK", format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                let lease = path["/kv-keep/".len()..].parse().unwrap_or(0);
                let mut state = self.state.lock().unwrap();
                match state.leases.get_mut(&lease) {
                    Some((ends_at, time)) => {
                        *ends_at = Instant::now() + *time;
                        ("200 OK", format!("{{\"ttl_ms\":{}}}", time.as_millis()))
                    }
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                let lease = path["/kv-lease-end/".len()..].parse().unwrap_or(0);
                let mut state = self.state.lock().unwrap();
                let is_known = state.leases.contains_key(&lease);
                state.end_lease(lease);
                self.changed.notify_all();
                let status = if is_known { "200 OK" } else { "404 Not Found" };
                (status, "{}".to_owned())
            }
            ("POST", "/kv-txn") => self.transact(&Json::parse(&request.body)),
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn range(
        &self,
        prefix: &str,
        after: &str,
        view: &(dyn Fn(&str, &str) -> Option<String> + Send + Sync),
    ) -> (&'static str, String) {
        let state = self.state.lock().unwrap();
        let matching = state.items.iter().filter(|(key, _)| {
            key.starts_with(prefix) && (after.is_empty() || key.as_str() > after)
        });
        let texts: Vec<String> = matching
            .map(|(key, item)| {
                view(key, &item_text(key, item)).unwrap_or_else(|| item_text(key, item))
            })
            .collect();
        let body = format!(
            "{{\"items\":[{}],\"has_more\":false,\"at\":{}}}",
            texts.join(","),
            state.revision
        );
        ("200 OK", body)
    }

    fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
        silent: &AtomicBool,
        view: &(dyn Fn(&str, &str) -> Option<String> + Send + Sync),
    ) -> (&'static str, String) {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            if state.is_away {
                return ("503 Service Unavailable", "{}".to_owned());
            }
            if after > state.revision || after < state.floor {
                return ("410 Gone", "{}".to_owned());
            }
            let matching = state
                .events
                .iter()
                .filter(|event| event.revision > after && event.key.starts_with(prefix));
            let texts: Vec<String> = matching
                .map(|event| view(&event.key, &event.text).unwrap_or_else(|| event.text.clone()))
                .collect();
            let now = Instant::now();
            if !texts.is_empty() || now >= until || silent.load(Ordering::SeqCst) {
                let at = state.revision;
                return (
                    "200 OK",
                    format!("{{\"events\":[{}],\"at\":{at}}}", texts.join(",")),
                );
            }
            let step = (until - now).min(Duration::from_millis(100));
            state = self.changed.wait_timeout(state, step).unwrap().0;
        }
    }

    fn transact(&self, request: &Json) -> (&'static str, String) {
        let mut state = self.state.lock().unwrap();
        let holds = request.get("expected_revision").list().iter().all(|row| {
            let item = state.items.get(row.get("key").text());
            item.map_or(0, |item| item.revision) == row.get("revision").number()
        });
        if !holds {
            return ("412 Precondition Failed", "{\"items\":[]}".to_owned());
        }
        let puts = request.get("set_keys").list();
        let has_leases = puts.iter().all(|put| {
            let lease = put.get("lease").number();
            lease == 0 || state.leases.contains_key(&lease)
        });
        if !has_leases {
            return ("404 Not Found", "{}".to_owned());
        }
        state.revision += 1;
        for put in puts {
            let value = decode_base64(put.get("value").text());
            state.put(put.get("key").text(), value, put.get("lease").number());
        }
        for key in request.get("remove").list() {
            state.remove(key.text());
        }
        self.changed.notify_all();
        ("200 OK", format!("{{\"revision\":{}}}", state.revision))
    }
}
