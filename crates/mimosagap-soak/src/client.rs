//! Callers: they keep connections open, send again what was refused, and check every answer.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::checker::{CallKind, RunLedger};
use crate::http::{WebLink, WholeBody, read};
use crate::standins::target::EVENTS;

/// The host name of all routes.
pub const HOST: &str = "soak.example";

/// A key that is never revoked, and one that may be.
pub const KEYS: [&str; 2] = ["lasting-key", "revoked-key"];

/// How long a caller waits for an answer.
const PATIENCE: Duration = Duration::from_secs(4);

/// One request in this many is preceded by a test of the configuration in force.
const PROBE_EVERY: u32 = 12;

/// One stream in this many is left by its caller, after this many events.
const LEAVE_EVERY: u32 = 10;
const LEAVE_AFTER: usize = 5;

/// What a caller needs.
pub struct CallerContext {
    /// Where requests and runs are noted.
    pub ledger: Rc<RunLedger>,
    /// The gateways.
    pub gateways: Vec<SocketAddr>,
    /// How often each gateway was started.
    pub lives: RefCell<Vec<u32>>,
    /// Whether callers stop.
    pub is_over: Cell<bool>,
    next_id: Cell<u64>,
}

impl CallerContext {
    /// The context of a run.
    #[must_use]
    pub fn new(ledger: Rc<RunLedger>, gateways: Vec<SocketAddr>) -> Self {
        Self {
            ledger,
            lives: RefCell::new(vec![0; gateways.len()]),
            gateways,
            is_over: Cell::new(false),
            next_id: Cell::new(1),
        }
    }
}

impl CallerContext {
    fn new_id(&self) -> String {
        let number = self.next_id.get();
        self.next_id.set(number + 1);
        format!("{number:08x}")
    }
}

/// Sends requests until the run is over.
pub async fn call_until_over(context: Rc<CallerContext>, seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut link = None;
    while !context.is_over.get() {
        let kind = match random.random_range(0..4) {
            0 => CallKind::Repeatable,
            1 => CallKind::Stream,
            _ => CallKind::Once,
        };
        if random.random_range(0..PROBE_EVERY) == 0 {
            probe(&context, &mut random).await;
        }
        let key = KEYS[usize::from(random.random_range(0..8) == 0)];
        let leaves = kind == CallKind::Stream && random.random_range(0..LEAVE_EVERY) == 0;
        let plan = CallPlan { kind, key, leaves };
        call(&context, &mut random, &mut link, plan).await;
        tokio::time::sleep(Duration::from_millis(random.random_range(5..60))).await;
    }
}

/// One request as its caller makes it.
#[derive(Debug, Clone, Copy)]
pub struct CallPlan {
    /// Its kind.
    pub kind: CallKind,
    /// Its key.
    pub key: &'static str,
    /// Whether the caller leaves in the middle of the stream.
    pub leaves: bool,
}

/// An open connection of a caller.
pub struct CallerLink {
    /// The number of the gateway that it leads to.
    gateway: usize,
    link: WebLink,
}

/// Sends one request; returns whether it was served.
pub async fn call(
    context: &CallerContext,
    random: &mut SmallRng,
    link: &mut Option<CallerLink>,
    plan: CallPlan,
) -> bool {
    let CallPlan { kind, key, leaves } = plan;
    let number = random.random_range(0..context.gateways.len());
    let mut open = match link.take() {
        Some(open) => open,
        None => match WebLink::open(context.gateways[number]).await {
            Some(link) => CallerLink {
                gateway: number,
                link,
            },
            None => return false,
        },
    };
    let id = context.new_id();
    context.ledger.sent(&id, kind, key);
    context.ledger.sent_to(&id, open.gateway);
    let exchange = async {
        let response = open.link.send(message(&id, kind, key)).await?;
        if leaves && response.status() == 200 {
            leave(context, &id, response.into_body()).await;
            return None;
        }
        check(context, &id, kind, response).await
    };
    match tokio::time::timeout(PATIENCE, exchange).await {
        Ok(Some(status)) => {
            *link = Some(open);
            status == 200
        }
        // The connection is closed and not used again.
        Ok(None) | Err(_) => false,
    }
}

/// Reads the beginning of a stream whose caller then closes the connection.
async fn leave(context: &CallerContext, id: &str, mut body: Incoming) {
    for _ in 0..LEAVE_AFTER {
        if body.frame().await.is_none() {
            return;
        }
    }
    context.ledger.left(id);
}

/// Asks a gateway for the route that the newest version of the configuration added.
async fn probe(context: &CallerContext, random: &mut SmallRng) {
    let number = random.random_range(0..context.gateways.len());
    let version = context.ledger.newest_version();
    let life = context.lives.borrow()[number];
    let sent_at = Instant::now();
    let id = context.new_id();
    context.ledger.sent(&id, CallKind::Repeatable, KEYS[0]);
    context.ledger.sent_to(&id, number);
    let mut request = message(&id, CallKind::Repeatable, KEYS[0]);
    *request.uri_mut() = format!("/v{version}/x").parse().unwrap_or_default();
    let exchange = async {
        let mut link = WebLink::open(context.gateways[number]).await?;
        Some(link.send(request).await?.status().as_u16())
    };
    let status = tokio::time::timeout(PATIENCE, exchange).await;
    let is_same_life = context.lives.borrow()[number] == life;
    if let Ok(Some(status @ (200 | 404))) = status
        && is_same_life
    {
        let ledger = &context.ledger;
        ledger.probed((number, life), version, status == 200, sent_at);
    }
}

fn message(id: &str, kind: CallKind, key: &str) -> Request<WholeBody> {
    let (method, path) = match kind {
        CallKind::Repeatable => ("GET", "/safe/x"),
        CallKind::Once => ("POST", "/once/x"),
        CallKind::Stream => ("POST", "/stream/x"),
    };
    let mut builder = Request::builder()
        .method(method)
        .uri(path)
        .header("host", HOST)
        .header("x-attempt-id", id)
        .header("x-deadline-ms", PATIENCE.as_millis().to_string())
        .header("authorization", format!("Bearer {key}"));
    if kind == CallKind::Stream {
        builder = builder
            .header("x-model", "m")
            .header("x-token-usage", "100,400")
            .header("x-length-hint", "160")
            .header("x-prefix-hash", "1:100");
    }
    let body = if kind == CallKind::Repeatable {
        Bytes::new()
    } else {
        Bytes::from(format!("body of {id}"))
    };
    builder.body(Full::new(body)).unwrap_or_default()
}

/// Checks an answer; `None` if it broke off.
async fn check(
    context: &CallerContext,
    id: &str,
    kind: CallKind,
    response: Response<Incoming>,
) -> Option<u16> {
    let status = response.status().as_u16();
    let echoed = response.headers().get("x-attempt-id").cloned();
    let is_signed = response.headers().contains_key("x-server-signature");
    if status != 200 {
        context.ledger.answered(id, status);
        read(response.into_body()).await?;
        return Some(status);
    }
    if !is_signed || echoed.is_none_or(|echoed| echoed != id) {
        let text = format!("the success of request {id} is not its target's");
        context.ledger.violation(text);
    }
    if kind == CallKind::Stream {
        read_stream(context, id, response.into_body()).await?;
    } else {
        let body = read(response.into_body()).await?;
        if body != format!("answer to {id}") {
            let text = format!("request {id} got the body {body:?}");
            context.ledger.violation(text);
        }
    }
    context.ledger.answered(id, status);
    Some(status)
}

async fn read_stream(context: &CallerContext, id: &str, mut body: Incoming) -> Option<()> {
    let mut text = String::new();
    loop {
        match body.frame().await {
            Some(Ok(frame)) => {
                if let Some(bytes) = frame.data_ref() {
                    text.push_str(&String::from_utf8_lossy(bytes));
                }
            }
            Some(Err(_)) => return None,
            None => break,
        }
    }
    let events: Vec<String> = (1..=EVENTS)
        .map(|number| format!("id: {number}\ndata: {id}\n\n"))
        .collect();
    let expected = events.concat();
    if text != expected {
        let text = format!("the stream of request {id} looks complete and is {text:?}");
        context.ledger.violation(text);
    }
    Some(())
}
