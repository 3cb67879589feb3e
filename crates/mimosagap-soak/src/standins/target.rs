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
use hyper::{HeaderMap, Request, Response, StatusCode};
use mimosagap_standins::proxy::LinkProxy;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::ledger::RunLedger;
use crate::standins::store::StoreStandin;
use crate::web::{read, serve};

/// Work of a plain call.
const WORK: Duration = Duration::from_millis(15);

/// Pause between events of a stream.
const GAP: Duration = Duration::from_millis(20);

/// Events of a stream.
pub const EVENTS: u64 = 40;

/// How a target treats its work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum TargetMode {
    /// As it should.
    Well,
    /// It runs requests and does not answer.
    Hangs,
    /// It turns all requests away unrun.
    Sheds,
    /// It runs requests and breaks off half of the answer.
    BreaksOff,
}

/// One life of a target.
pub struct TargetStandin {
    /// Its name.
    pub instance: String,
    service: String,
    /// The link to it; entries name its address.
    pub link: LinkProxy,
    mode: Cell<TargetMode>,
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
        ledger: &Rc<RunLedger>,
        store: &StoreStandin,
    ) -> std::io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let link = LinkProxy::start(listener.local_addr()?).await?;
        let target = Rc::new_cyclic(|weak: &std::rc::Weak<Self>| {
            let (weak, ledger) = (weak.clone(), Rc::clone(ledger));
            let server = serve(listener, move |request| {
                let (target, ledger) = (weak.upgrade(), Rc::clone(&ledger));
                async move {
                    match target {
                        Some(target) => target.answer(&ledger, request).await,
                        None => status(StatusCode::INTERNAL_SERVER_ERROR, "", Bytes::new()),
                    }
                }
            });
            Self {
                instance,
                service: service.to_owned(),
                link,
                mode: Cell::new(TargetMode::Well),
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
        ledger: &Rc<RunLedger>,
        request: Request<Incoming>,
    ) -> Response<TargetBody> {
        let (head, body) = request.into_parts();
        let text = |name: &str| header(&head.headers, name);
        let id = text("x-attempt-id").unwrap_or_default();
        if read(body).await.is_none() {
            return status(StatusCode::BAD_REQUEST, &id, Bytes::new());
        }
        if text("x-expect-instance").is_some_and(|expected| expected != self.instance) {
            return status(StatusCode::MISDIRECTED_REQUEST, &id, Bytes::new());
        }
        ledger.arrived(&id);
        if self.mode.get() == TargetMode::Sheds {
            let mut response = status(StatusCode::SERVICE_UNAVAILABLE, &id, Bytes::new());
            let value = hyper::header::HeaderValue::from_static("1");
            response.headers_mut().insert("x-not-executed", value);
            return response;
        }
        let has_key = head.headers.contains_key("authorization");
        ledger.ran(&id, &self.instance, text("x-tenant").as_deref(), has_key);
        if self.mode.get() == TargetMode::Hangs {
            std::future::pending::<()>().await;
        }
        if text("x-model").is_some() {
            let first = text("last-event-id")
                .and_then(|last| last.parse().ok())
                .unwrap_or(0);
            return Self::stream(Rc::clone(ledger), &id, first);
        }
        tokio::time::sleep(WORK).await;
        if self.mode.get() == TargetMode::BreaksOff {
            return Self::broken_off(&id);
        }
        status(StatusCode::OK, &id, Bytes::from(format!("answer to {id}")))
    }

    fn broken_off(id: &str) -> Response<TargetBody> {
        let mut response = status(StatusCode::OK, id, Bytes::from_static(b"ans"));
        let length = hyper::header::HeaderValue::from_static("30");
        response.headers_mut().insert("content-length", length);
        response
    }

    fn stream(ledger: Rc<RunLedger>, id: &str, last: u64) -> Response<TargetBody> {
        let id = id.to_owned();
        let state = (ledger, last + 1, id.clone());
        let events = stream::unfold(state, |(ledger, number, id)| async move {
            if number > EVENTS {
                return None;
            }
            tokio::time::sleep(GAP).await;
            ledger.works_on(&id);
            let event = format!("id: {number}\ndata: {id}\n\n");
            let frame = Ok::<_, Infallible>(Frame::data(Bytes::from(event)));
            Some((frame, (ledger, number + 1, id)))
        });
        let body: TargetBody = Box::pin(StreamBody::new(events));
        status(StatusCode::OK, &id, Bytes::new()).map(|_| body)
    }
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
