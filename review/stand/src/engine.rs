//! Model engines and plain services, and what they ran.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Head};
use crate::json::{self, Json};
use crate::record::Record;
use crate::store::Store;

/// A run of a request at an engine.
#[derive(Debug, Clone)]
pub struct Run {
    pub engine: String,
    pub version: String,
    pub attempt: String,
    pub tenant: String,
    pub began: f64,
    pub ended: f64,
    pub is_complete: bool,
}

/// All runs of all engines.
#[derive(Clone, Default)]
pub struct Runs(Arc<Mutex<Vec<Run>>>, Copies);

/// Copies of runs at other engines: the address of the source and the handle, and the engine that holds
/// the copy. A copy is used once.
type Copies = Arc<Mutex<Vec<(String, SocketAddr)>>>;

impl Runs {
    pub fn all(&self) -> Vec<Run> {
        self.0.lock().unwrap().clone()
    }

    pub fn of(&self, attempt: &str) -> Vec<Run> {
        let mut runs = self.all();
        runs.retain(|run| run.attempt == attempt);
        runs
    }
}

#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub service: String,
    pub version: String,
    pub address: SocketAddr,
    slots: u32,
    born: u128,
    pub is_leaving: Arc<AtomicBool>,
    /// The engine sends nothing before this moment.
    silent_until: Arc<Mutex<Option<Instant>>>,
    /// Whether the engine goes on with a run whose connection was closed. Most engines drop it.
    keeps_runs: Arc<AtomicBool>,
}

impl Engine {
    /// Starts an engine. A request's body says how long its answer is: `events=N gap_ms=N` for a
    /// stream, `work_ms=N` for a call.
    pub fn start(
        id: &str,
        service: &str,
        version: &str,
        slots: u32,
        record: &Record,
        runs: &Runs,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port for an engine");
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis();
        let engine = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            version: version.to_owned(),
            address: listener.local_addr().unwrap(),
            slots,
            born,
            is_leaving: Arc::default(),
            silent_until: Arc::default(),
            keeps_runs: Arc::default(),
        };
        let (server, record, runs) = (engine.clone(), record.clone(), runs.clone());
        http::serve(listener, move |head, body, stream| {
            server.handle(head, &body, stream, &record, &runs)
        });
        engine
    }

    /// The engine goes on with runs whose connection was closed.
    pub fn keep_runs(&self) {
        self.keeps_runs.store(true, Ordering::SeqCst);
    }

    /// Copies a run to another engine, as `POST /kv-move` without `last` asks.
    fn copy_run(&self, body: &[u8], stream: &mut TcpStream, record: &Record, runs: &Runs) -> bool {
        let document = json::parse(body).unwrap_or(Json::Null);
        let attempt = document.get("id").text();
        let is_running = runs
            .of(attempt)
            .iter()
            .any(|run| run.engine == self.id && run.ended == f64::MAX);
        let destination = document.get("target").text().parse();
        let (true, Ok(destination)) = (is_running, destination) else {
            return http::respond(stream, "404 Not Found", &[], b"{}").is_ok();
        };
        std::thread::sleep(Duration::from_millis(60));
        let handle = {
            let mut copies = runs.1.lock().unwrap();
            let handle = format!("h{}", copies.len() + 1);
            copies.push((format!("{}/{handle}", self.address), destination));
            handle
        };
        record.line(&format!(
            "{} copies {attempt} to {destination}: handle {handle}",
            self.id
        ));
        let answer = format!("{{\"handle\":\"{handle}\",\"created\":1}}");
        http::respond(
            stream,
            "200 OK",
            &[("Content-Type", "application/json")],
            answer.as_bytes(),
        )
        .is_ok()
    }

    /// The engine falls silent for a time and goes on then.
    pub fn fall_silent(&self, time: Duration) {
        *self.silent_until.lock().unwrap() = Some(Instant::now() + time);
    }

    /// Writes the engine's entry to the store.
    pub fn register(&self, store: &Store, zone: &str) {
        let state = if self.is_leaving.load(Ordering::SeqCst) {
            "draining"
        } else {
            "ready"
        };
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"{}\",\
             \"slots\":{},\"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":{}}}",
            self.service, self.address, self.version, self.slots, self.born
        );
        store.put(&format!("servers/{}", self.id), &entry);
    }

    fn handle(
        &self,
        head: &Head,
        body: &[u8],
        stream: &mut TcpStream,
        record: &Record,
        runs: &Runs,
    ) -> bool {
        let attempt = head.get("x-attempt-id").unwrap_or("").to_owned();
        if head.path() == "/report" {
            let text = format!(
                "{{\"stage\":\"both\",\"models\":[],\"busy\":false,\"sequence\":1,\"queued\":0,\
                 \"running\":0,\"kv_used\":0,\"kv_total\":34354,\"handles\":0,\"born\":{}}}",
                self.born
            );
            return http::respond(
                stream,
                "200 OK",
                &[("Content-Type", "application/json")],
                text.as_bytes(),
            )
            .is_ok();
        }
        if head.path() == "/kv-move" {
            return self.copy_run(body, stream, record, runs);
        }
        if head.path().starts_with("/kv-handle/") {
            return http::respond(stream, "200 OK", &[], b"{}").is_ok();
        }
        if head.path().starts_with("/kv-") || head.path().starts_with("/hold-") {
            return http::respond(stream, "404 Not Found", &[], b"{}").is_ok();
        }
        let mut headers: Vec<(&str, &str)> = vec![("X-Attempt-Id", &attempt)];
        if self.is_leaving.load(Ordering::SeqCst) {
            headers.push(("Server-Leaving", "1"));
        }
        if head
            .get("x-expect-instance")
            .is_some_and(|id| id != self.id)
        {
            headers.push(("X-Not-Executed", "1"));
            headers.push(("X-Instance-Id", &self.id));
            return http::respond(stream, "421 Misdirected Request", &headers, b"").is_ok();
        }
        if let Some(source) = head.get("kv-from") {
            let mut copies = runs.1.lock().unwrap();
            let copy = copies
                .iter()
                .position(|(name, holder)| name == source && *holder == self.address);
            let Some(copy) = copy else {
                headers.push(("X-Not-Executed", "1"));
                return http::respond(stream, "503 Service Unavailable", &headers, b"").is_ok();
            };
            // Used once. The entry stays, so that later handles differ.
            copies[copy].0.clear();
        }
        let text = String::from_utf8_lossy(&body[..body.len().min(200)]).into_owned();
        let number = |name: &str, default: u64| -> u64 {
            text.split_whitespace()
                .find_map(|word| word.strip_prefix(name)?.parse().ok())
                .unwrap_or(default)
        };
        let tenant = head.get("x-tenant").unwrap_or("").to_owned();
        record.line(&format!(
            "RUN begins at {} ({}): attempt={attempt} tenant={tenant} resumes={} last-event-id={} deadline-ms={} body={} bytes",
            self.id,
            self.version,
            head.get("resumes").unwrap_or("-"),
            head.get("last-event-id").unwrap_or("-"),
            head.get("x-deadline-ms").unwrap_or("-"),
            body.len()
        ));
        let index = {
            let mut all = runs.0.lock().unwrap();
            all.push(Run {
                engine: self.id.clone(),
                version: self.version.clone(),
                attempt: attempt.clone(),
                tenant,
                began: record.seconds(),
                ended: f64::MAX,
                is_complete: false,
            });
            all.len() - 1
        };
        let events = number("events=", 0);
        let signature = format!("{}.{attempt}", self.id);
        headers.push(("X-Server-Signature", &signature));
        let is_sent = if events == 0 {
            std::thread::sleep(Duration::from_millis(number("work_ms=", 30)));
            let silent_until = *self.silent_until.lock().unwrap();
            if let Some(at) = silent_until {
                std::thread::sleep(at.saturating_duration_since(Instant::now()));
            }
            let answer = format!("{{\"done\":\"{attempt}\"}}");
            http::respond(stream, "200 OK", &headers, answer.as_bytes()).is_ok()
        } else {
            let first = head
                .get("last-event-id")
                .and_then(|id| id.parse().ok())
                .unwrap_or(0)
                + 1;
            std::thread::sleep(Duration::from_millis(number("prefill_ms=", 150)));
            let gap = Duration::from_millis(number("gap_ms=", 40));
            self.stream_events(stream, &headers, first, events, gap)
                .is_ok()
        };
        let mut all = runs.0.lock().unwrap();
        all[index].ended = record.seconds();
        all[index].is_complete = is_sent;
        drop(all);
        let end = if is_sent {
            "is complete"
        } else {
            "is broken off by the gateway"
        };
        record.line(&format!("RUN of attempt={attempt} at {} {end}", self.id));
        is_sent
    }

    fn stream_events(
        &self,
        stream: &mut TcpStream,
        headers: &[(&str, &str)],
        first: u64,
        last: u64,
        gap: Duration,
    ) -> std::io::Result<()> {
        let mut head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n".to_owned();
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("X-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
        stream.write_all(head.as_bytes())?;
        let mut result = Ok(());
        for id in first..=last {
            let event = format!(
                "id: {id}\ndata: version={} engine={} of={last}\n\n",
                self.version, self.id
            );
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if result.is_ok() {
                result = stream.write_all(chunk.as_bytes());
            }
            if id < last && result.is_ok() {
                result = self.pause(stream, gap);
            } else if id < last {
                std::thread::sleep(gap);
            }
            if result.is_err() && !self.keeps_runs.load(Ordering::SeqCst) {
                return result;
            }
        }
        result?;
        stream.write_all(b"0\r\n\r\n")
    }

    /// Waits, and sees whether the caller closed the connection: most engines drop a request then.
    fn pause(&self, stream: &mut TcpStream, gap: Duration) -> std::io::Result<()> {
        stream.set_read_timeout(Some(gap))?;
        let mut byte = [0];
        let seen = stream.peek(&mut byte);
        stream.set_read_timeout(None)?;
        match seen {
            Ok(0) => Err(std::io::ErrorKind::ConnectionReset.into()),
            Err(error)
                if !matches!(
                    error.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                ) =>
            {
                Err(error)
            }
            _ => Ok(()),
        }
    }
}
