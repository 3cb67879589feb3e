//! Engines are upgraded in place, one after the other, and are listed with their new version a
//! heartbeat after they start.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Record;
use crate::client::{Connection, Outcome};
use crate::config::{AUTHORIZATION, HOST, Route, config};
use crate::fleet::{Gateway, Place, reset};
use crate::quotes::QUOTES;
use crate::store::Store;
use crate::wire::{read_request, write_response};

/// Clients before the first engine starts again, and all.
const EARLY_CLIENTS: usize = 2;
const CLIENTS: usize = 18;
/// Time between two requests.
const SPACING: Duration = Duration::from_millis(30);

const EVENTS: u64 = 60;
const EVENT_INTERVAL: Duration = Duration::from_millis(50);

/// Time from the end of an engine's process until the next one accepts connections.
const DOWN_TIME: Duration = Duration::from_millis(300);

/// Time from there until the engine writes its entry; `heartbeat_ms` is 1,200.
const FIRST_HEARTBEAT: Duration = Duration::from_millis(1000);

/// The rule allows two streams from two versions.
const ALLOWED: usize = 2;

/// An engine that can start again under its id and address, with another version.
struct Engine {
    id: &'static str,
    address: SocketAddr,
    version: AtomicU32,
    starts: AtomicU32,
    is_down: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
    /// What it ran: attempt, version, and the event after which it began.
    runs: Mutex<Vec<(String, u32, u64)>>,
}

impl Engine {
    fn start(id: &'static str) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let engine = Arc::new(Self {
            id,
            address: listener.local_addr()?,
            version: AtomicU32::new(1),
            starts: AtomicU32::new(1),
            is_down: AtomicBool::new(false),
            streams: Mutex::default(),
            runs: Mutex::default(),
        });
        engine.accept(listener);
        Ok(engine)
    }

    fn accept(self: &Arc<Self>, listener: TcpListener) {
        let engine = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if engine.is_down.load(Ordering::SeqCst) {
                    // Without its listener, the address refuses connections.
                    return;
                }
                let own = Arc::clone(&engine);
                engine.streams.lock().unwrap().extend(stream.try_clone());
                thread::spawn(move || {
                    let _ = own.serve(stream);
                });
            }
        });
    }

    fn entry(&self) -> String {
        let version = self.version.load(Ordering::SeqCst);
        let starts = self.starts.load(Ordering::SeqCst);
        format!(
            "{{\"service\":\"{QUOTES}\",\"address\":\"{}\",\"zone\":\"z1\",\"version\":\"v{version}\",\
             \"slots\":24,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\
             \"born\":170000000{starts}000}}",
            self.address
        )
    }

    /// Ends the process and starts it again under the same id and address, with this version. The
    /// engine writes its entry with its first heartbeat.
    fn restart(self: &Arc<Self>, store: &Arc<Store>, version: u32) -> io::Result<()> {
        self.is_down.store(true, Ordering::SeqCst);
        drop(TcpStream::connect(self.address));
        for stream in self.streams.lock().unwrap().drain(..) {
            reset(&stream);
        }
        thread::sleep(DOWN_TIME);
        self.version.store(version, Ordering::SeqCst);
        self.starts.fetch_add(1, Ordering::SeqCst);
        let listener = TcpListener::bind(self.address)?;
        self.is_down.store(false, Ordering::SeqCst);
        self.accept(listener);
        let (engine, store) = (Arc::clone(self), Arc::clone(store));
        thread::spawn(move || {
            thread::sleep(FIRST_HEARTBEAT);
            store.write(&format!("servers/{}", engine.id), &engine.entry());
        });
        Ok(())
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader)? {
            let attempt = request.header("x-attempt-id").unwrap_or("");
            if request
                .header("x-expect-instance")
                .is_some_and(|id| id != self.id)
            {
                let headers = [("X-Instance-Id", self.id), ("X-Attempt-Id", attempt)];
                write_response(&mut writer, "421 Misdirected Request", &headers, b"")?;
                continue;
            }
            if attempt.is_empty() {
                write_response(
                    &mut writer,
                    "404 Not Found",
                    &[("X-Instance-Id", self.id)],
                    b"",
                )?;
                continue;
            }
            let version = self.version.load(Ordering::SeqCst);
            let after = request.header("last-event-id").unwrap_or("0");
            let after: u64 = after.parse().unwrap_or(0);
            let run = (attempt.to_owned(), version, after);
            self.runs.lock().unwrap().push(run);
            write!(
                writer,
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: {attempt}\r\n\
                 X-Server-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Weight-Versions: 1\r\n\
                 Transfer-Encoding: chunked\r\n\r\n"
            )?;
            for number in after + 1..=EVENTS {
                thread::sleep(EVENT_INTERVAL);
                let event = format!("id: {number}\ndata: words of software v{version}\n\n");
                write!(writer, "{:x}\r\n{event}\r\n", event.len())?;
            }
            writer.write_all(b"0\r\n\r\n")?;
        }
        Ok(())
    }
}

pub fn play(record: &mut Record) -> io::Result<bool> {
    let store = Store::new();
    let engines = [Engine::start("i-7f3a91c0")?, Engine::start("i-7f3a91c1")?];
    let route = Route {
        name: "r-tag",
        prefix: "/tag/",
        kind: "streaming",
        service: QUOTES,
        timeout_ms: 20_000,
        objective_ms: 1500,
        max_attempts: 2,
        is_public: false,
        is_resumable: true,
    };
    store.write("op/config", &config(3, &[route], &[QUOTES]));
    for engine in &engines {
        store.write(&format!("servers/{}", engine.id), &engine.entry());
    }
    let door = store.open(|_, _| None);
    let place = Place {
        name: "edge-z1-1",
        zone: "z1",
        region: "r1",
    };
    let gateway = Gateway::start(&record.directory, &place, door.address)?;
    thread::sleep(Duration::from_millis(5500));
    let started_at = Instant::now();
    let ms = || started_at.elapsed().as_millis();
    let next_version = if record.has_trouble { 2 } else { 1 };
    let mut clients = Vec::new();
    let mut start = |record: &mut Record, number: usize| {
        let address = gateway.callers;
        let attempt = format!("9c41d07be2a35f{number:02x}");
        record.add(format!("{} ms: {attempt}: sent to {address}", ms()));
        clients.push(thread::spawn(move || {
            ask(address, &attempt, number).unwrap_or_else(|error| Outcome::failed(&attempt, &error))
        }));
        thread::sleep(SPACING);
    };
    for number in 0..EARLY_CLIENTS {
        start(record, number);
    }
    thread::sleep(Duration::from_millis(200));
    let [last, first] = &engines;
    first.restart(&store, next_version)?;
    let version = next_version;
    record.add(format!(
        "{} ms: {} has started with v{version}",
        ms(),
        first.id
    ));
    for number in EARLY_CLIENTS..CLIENTS {
        start(record, number);
    }
    last.restart(&store, next_version)?;
    record.add(format!(
        "{} ms: {} has started with v{version}",
        ms(),
        last.id
    ));
    let mut joined = 0;
    for client in clients {
        let outcome = client.join().unwrap_or_default();
        record.add(outcome.line());
        for engine in &engines {
            for (attempt, version, after) in engine.runs.lock().unwrap().iter() {
                if *attempt == outcome.attempt {
                    record.add(format!(
                        "{attempt}: run by {} with v{version} after event {after}",
                        engine.id
                    ));
                }
            }
        }
        let body = String::from_utf8_lossy(&outcome.body);
        let is_joined = body.contains("software v1") && body.contains("software v2");
        joined += usize::from(is_joined);
    }
    record.add(format!(
        "{joined} of {CLIENTS} streams hold events of two versions; the rule allows {ALLOWED}"
    ));
    Ok(joined > ALLOWED)
}

fn ask(address: SocketAddr, attempt: &str, number: usize) -> io::Result<Outcome> {
    let mut connection = Connection::new(TcpStream::connect(address)?)?;
    let parts = format!("5c1e07a2:350,{:x}:50", 0x91bd_0000 + number);
    let headers = [
        ("Host", HOST),
        ("X-Attempt-Id", attempt),
        ("X-Deadline-Ms", "20000"),
        ("Authorization", AUTHORIZATION),
        ("X-Model", "m"),
        ("X-Token-Usage", "400,240"),
        ("X-Prefix-Hash", &parts),
    ];
    connection.send("POST /tag/2f", &headers, b"note")?;
    Ok(connection.receive(attempt, |_| {}))
}
