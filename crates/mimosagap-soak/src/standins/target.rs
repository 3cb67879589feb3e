//! A stand-in of a target: it answers calls and streams, and may crash, leave or misbehave.

use std::cell::Cell;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{Full, StreamBody};
use hyper::body::{Body, Frame, Incoming};
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use mimosagap_standins::proxy::LinkProxy;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::checker::RunLedger;
use crate::http::{read, serve};
use crate::standins::generations::CopyTable;
use crate::standins::store::StoreStandin;

/// Work of a plain call.
const WORK: Duration = Duration::from_millis(15);

/// Pause between events of a stream.
const GAP: Duration = Duration::from_millis(20);

/// Events of a stream.
pub const EVENTS: u64 = 40;

/// Time to copy a generation.
const COPY_TIME: Duration = Duration::from_millis(60);

/// How a target treats its work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum TargetMode {
    /// As it should.
    Well,
    /// It runs requests and does not answer.
    Hangs,
    /// It runs requests and does not answer two of three.
    HangsOften,
    /// It turns all requests away unrun.
    Sheds,
    /// It runs requests and breaks off half of the answer.
    BreaksOff,
    /// It turns all requests away unrun and wants none for [`PAUSE`].
    Pauses,
    /// It says in its answers that it leaves, and nowhere else.
    SaysLeaving,
    /// It runs requests and sends bodies without end, as fast as it can.
    FloodsBody,
    /// It runs requests and sends bodies without end, a few bytes at a time.
    DripsBody,
}

/// For how long a target that turns requests away wants none.
pub const PAUSE: Duration = Duration::from_secs(2);

/// A part of a body without end, and the pause before the next one.
type JunkPace = (&'static [u8], Duration);

const FLOOD: JunkPace = (&[b'x'; 8 << 10], Duration::from_millis(1));
const DRIP: JunkPace = (b"x", Duration::from_millis(100));

/// What the targets of a run share.
#[derive(Debug, Default)]
pub struct TargetShared {
    /// What they ran.
    pub ledger: Rc<RunLedger>,
    /// Generations and their copies.
    pub copies: CopyTable,
}

/// One life of a target.
pub struct TargetStandin {
    /// Its name.
    pub instance: String,
    service: String,
    /// The link to it; entries name its address.
    pub link: LinkProxy,
    mode: Cell<TargetMode>,
    /// Requests that it ran.
    runs: Cell<u64>,
    server: JoinHandle<()>,
}

type TargetBody = Pin<Box<dyn Body<Data = Bytes, Error = Infallible>>>;

impl TargetStandin {
    /// Starts a life and writes its entry.
    ///
    /// # Errors
    /// If no port is free.
    pub async fn start(
        instance: String,
        service: &str,
        shared: &Rc<TargetShared>,
        store: &StoreStandin,
    ) -> std::io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let link = LinkProxy::start(listener.local_addr()?).await?;
        let target = Rc::new_cyclic(|weak: &std::rc::Weak<Self>| {
            let (weak, shared) = (weak.clone(), Rc::clone(shared));
            let server = serve(listener, move |request| {
                let (target, shared) = (weak.upgrade(), Rc::clone(&shared));
                async move {
                    match target {
                        Some(target) => target.answer(&shared, request).await,
                        None => status(StatusCode::INTERNAL_SERVER_ERROR, "", Bytes::new()),
                    }
                }
            });
            Self {
                instance,
                service: service.to_owned(),
                link,
                mode: Cell::new(TargetMode::Well),
                runs: Cell::new(0),
                server,
            }
        });
        target.write_entry(store, "ready");
        Ok(target)
    }

    fn key(&self) -> String {
        format!("servers/{}", self.instance)
    }

    fn write_entry(&self, store: &StoreStandin, state: &str) {
        let entry = json!({
            "service": self.service, "address": self.link.address().to_string(), "zone": "z1",
            "slots": 8, "state": state, "sequence": 1, "born": 1,
        });
        store.put(&self.key(), &entry);
    }

    /// Changes how it treats its work.
    pub fn set_mode(&self, mode: TargetMode) {
        self.mode.set(mode);
    }

    /// Ends at once; the entry stays until the store drops it.
    pub fn crash(&self) {
        self.server.abort();
    }

    /// Tells the store that it leaves.
    pub fn drain(&self, store: &StoreStandin, ledger: &RunLedger) {
        self.write_entry(store, "draining");
        ledger.leaves(&self.instance);
    }

    /// Removes the entry and ends.
    pub fn leave(&self, store: &StoreStandin) {
        store.remove(&self.key());
        self.server.abort();
    }

    async fn answer(
        &self,
        shared: &Rc<TargetShared>,
        request: Request<Incoming>,
    ) -> Response<TargetBody> {
        let ledger = &shared.ledger;
        let (head, body) = request.into_parts();
        let text = |name: &str| header(&head.headers, name);
        let id = text("x-attempt-id").unwrap_or_default();
        let Some(body) = read(body).await else {
            return status(StatusCode::BAD_REQUEST, &id, Bytes::new());
        };
        let path = head.uri.path();
        if path == "/kv-move" {
            return self.copy(shared, &body).await;
        }
        if let Some(name) = path.strip_prefix("/kv-handle/")
            && head.method == Method::DELETE
        {
            shared.copies.free(name);
            return status(StatusCode::OK, "", Bytes::new());
        }
        if text("x-expect-instance").is_some_and(|expected| expected != self.instance) {
            return status(StatusCode::MISDIRECTED_REQUEST, &id, Bytes::new());
        }
        ledger.arrived(&id, &self.instance);
        match self.mode.get() {
            TargetMode::Sheds => return not_run(&id),
            TargetMode::Pauses => {
                ledger.paused(&id, &self.instance);
                let mut response = not_run(&id);
                let wish = hyper::header::HeaderValue::from(PAUSE.as_secs());
                response.headers_mut().insert("retry-after", wish);
                return response;
            }
            _ => {}
        }
        let last = text("last-event-id").and_then(|last| last.parse().ok());
        if let Some(copy) = text("kv-from") {
            let name = copy.split_once('/').map_or("", |(_, name)| name);
            let address = self.link.address().to_string();
            if !shared.copies.take(name, &id, &address) {
                return not_run(&id);
            }
            ledger.went_on(&id, &self.instance);
            return self.stream(shared, &id, last.unwrap_or(0));
        }
        let has_key = head.headers.contains_key("authorization");
        ledger.ran(&id, &self.instance, text("x-tenant").as_deref(), has_key);
        let number = self.runs.replace(self.runs.get() + 1);
        let hangs = match self.mode.get() {
            TargetMode::Hangs => true,
            TargetMode::HangsOften => !number.is_multiple_of(3),
            _ => false,
        };
        if hangs {
            std::future::pending::<()>().await;
        }
        match self.mode.get() {
            TargetMode::FloodsBody => return endless(&id, FLOOD),
            TargetMode::DripsBody => return endless(&id, DRIP),
            _ => {}
        }
        if text("x-model").is_some() {
            return self.says_leaving(ledger, &id, self.stream(shared, &id, last.unwrap_or(0)));
        }
        tokio::time::sleep(WORK).await;
        if self.mode.get() == TargetMode::BreaksOff {
            return Self::broken_off(&id);
        }
        let answer = status(StatusCode::OK, &id, Bytes::from(format!("answer to {id}")));
        self.says_leaving(ledger, &id, answer)
    }

    /// Adds to an answer that the target leaves, if it says so.
    fn says_leaving(
        &self,
        ledger: &RunLedger,
        id: &str,
        mut response: Response<TargetBody>,
    ) -> Response<TargetBody> {
        if self.mode.get() == TargetMode::SaysLeaving {
            ledger.said_leaving(id, &self.instance);
            let value = hyper::header::HeaderValue::from_static("1");
            response.headers_mut().insert("server-leaving", value);
        }
        response
    }

    fn broken_off(id: &str) -> Response<TargetBody> {
        let mut response = status(StatusCode::OK, id, Bytes::from_static(b"ans"));
        let length = hyper::header::HeaderValue::from_static("30");
        response.headers_mut().insert("content-length", length);
        response
    }

    /// Copies a running generation to another engine while it goes on.
    async fn copy(&self, shared: &TargetShared, body: &Bytes) -> Response<TargetBody> {
        let order: Value = serde_json::from_slice(body).unwrap_or_default();
        let text = |name: &str| order[name].as_str().unwrap_or_default().to_owned();
        let (id, holder) = (text("id"), text("target"));
        tokio::time::sleep(COPY_TIME).await;
        if !shared.copies.is_running(&id, &self.instance) {
            return status(StatusCode::NOT_FOUND, "", Bytes::new());
        }
        let handle = shared.copies.copied(&id, &holder);
        let answer = json!({"handle": handle, "created": 1}).to_string();
        status(StatusCode::OK, "", Bytes::from(answer))
    }

    fn stream(&self, shared: &Rc<TargetShared>, id: &str, last: u64) -> Response<TargetBody> {
        let run = RunGuard::new(shared, id, &self.instance);
        let events = stream::unfold((run, last + 1), |(run, number)| async move {
            if number > EVENTS {
                return None;
            }
            tokio::time::sleep(GAP).await;
            run.shared.ledger.works_on(&run.id, &run.instance);
            let event = format!("id: {number}\ndata: {}\n\n", run.id);
            let frame = Ok::<_, Infallible>(Frame::data(Bytes::from(event)));
            Some((frame, (run, number + 1)))
        });
        let body: TargetBody = Box::pin(StreamBody::new(events));
        status(StatusCode::OK, id, Bytes::new()).map(|_| body)
    }
}

/// A generation that runs until this is dropped.
struct RunGuard {
    shared: Rc<TargetShared>,
    id: String,
    instance: String,
}

impl RunGuard {
    fn new(shared: &Rc<TargetShared>, id: &str, instance: &str) -> Self {
        shared.copies.runs(id, instance);
        Self {
            shared: Rc::clone(shared),
            id: id.to_owned(),
            instance: instance.to_owned(),
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.shared.copies.ends(&self.id, &self.instance);
    }
}

/// An answer whose body never ends.
fn endless(id: &str, (part, pause): JunkPace) -> Response<TargetBody> {
    let parts = stream::unfold((), move |()| async move {
        tokio::time::sleep(pause).await;
        let frame = Ok::<_, Infallible>(Frame::data(Bytes::from_static(part)));
        Some((frame, ()))
    });
    let body: TargetBody = Box::pin(StreamBody::new(parts));
    status(StatusCode::OK, id, Bytes::new()).map(|_| body)
}

fn not_run(id: &str) -> Response<TargetBody> {
    let mut response = status(StatusCode::SERVICE_UNAVAILABLE, id, Bytes::new());
    let value = hyper::header::HeaderValue::from_static("1");
    response.headers_mut().insert("x-not-executed", value);
    response
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

fn status(status: StatusCode, id: &str, body: Bytes) -> Response<TargetBody> {
    let mut response = Response::<TargetBody>::new(Box::pin(Full::new(body)));
    *response.status_mut() = status;
    for (name, value) in [("x-attempt-id", id), ("x-server-signature", "signed")] {
        if let Ok(value) = hyper::header::HeaderValue::from_str(value) {
            response.headers_mut().insert(name, value);
        }
    }
    response
}
