//! A TCP proxy that injects link faults.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hyper::{Method, StatusCode};
use pico_args::Arguments;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::http::{self, Answer, RunResult, WholeRequest};

const CHUNK_BYTES: usize = 16 << 10;
/// Chunks in transit per direction under `delay`; a full queue stops the reader.
const QUEUE_CHUNKS: usize = 1_024;
const REBIND_PAUSE: Duration = Duration::from_millis(10);
const EFFECT_LIMIT: Duration = Duration::from_secs(1);

/// What a link does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkMode {
    /// It passes everything on.
    Pass,
    /// It resets connections and refuses new ones.
    Cut,
    /// It passes everything on late.
    Delay,
    /// It keeps everything until it passes again.
    Freeze,
    /// It swallows what comes on connections that are open.
    SilenceExisting,
    /// It swallows what the target sends.
    OneWay,
    /// It answers requests in place of the target with a head that never ends, as fast as it can.
    FloodHead,
    /// The same, a few bytes at a time.
    DripHead,
}

impl LinkMode {
    /// What is sent in place of the target's bytes, and how often.
    fn junk(self) -> Option<(&'static [u8], Duration)> {
        match self {
            Self::FloodHead => Some((&FLOOD, Duration::from_millis(1))),
            Self::DripHead => Some((b"x", Duration::from_millis(100))),
            _ => None,
        }
    }
}

/// Part of a header line that has no end.
const FLOOD: [u8; 8 << 10] = [b'x'; 8 << 10];

/// How an answer begins whose head has no end.
const ENDLESS_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nx-more: ";

#[derive(Debug, Clone, Copy)]
#[derive(Serialize, Deserialize)]
struct LinkState {
    mode: LinkMode,
    #[serde(default)]
    delay_ms: u64,
    /// Counts the changes, so that a connection can tell whether it is older than the last one.
    #[serde(skip)]
    change: u64,
}

impl LinkState {
    fn passing() -> Self {
        Self {
            mode: LinkMode::Pass,
            delay_ms: 0,
            change: 0,
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToTarget,
    ToCaller,
}

/// A proxy within this process, until it is dropped.
pub struct LinkProxy {
    address: SocketAddr,
    state: watch::Sender<LinkState>,
    server: JoinHandle<()>,
}

impl LinkProxy {
    /// Starts a proxy before a target.
    ///
    /// # Errors
    /// If no port is free.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (sender, state) = watch::channel(LinkState::passing());
        let (in_effect, _) = watch::channel(0);
        let server = tokio::spawn(async move {
            // It ends when the sender is dropped.
            let _ = accept_connections(listener, address, target, state, in_effect).await;
        });
        Ok(Self {
            address,
            state: sender,
            server,
        })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what it does. `delay` counts for [`LinkMode::Delay`].
    pub fn set_mode(&self, mode: LinkMode, delay: Duration) {
        self.state.send_modify(|state| {
            *state = LinkState {
                mode,
                delay_ms: u64::try_from(delay.as_millis()).unwrap_or(u64::MAX),
                change: state.change + 1,
            };
        });
    }
}

impl Drop for LinkProxy {
    fn drop(&mut self) {
        self.server.abort();
    }
}

/// Runs the proxy.
///
/// # Errors
/// If an option is wrong or an address cannot be bound.
pub fn run(mut arguments: Arguments) -> RunResult {
    let listen = http::listen_option(&mut arguments)?;
    let target: SocketAddr = arguments.value_from_str("--to")?;
    let control: SocketAddr = arguments.value_from_str("--control")?;
    http::finish_options(arguments)?;
    http::run_until_terminated(async move {
        let (sender, state) = watch::channel(LinkState::passing());
        let control = TcpListener::bind(control).await?;
        let listener = TcpListener::bind(listen).await?;
        let listen = listener.local_addr()?;
        let (in_effect, effects) = watch::channel(0);
        tokio::spawn(http::serve(control, move |request| {
            let answer = set_mode(&sender, &request);
            let change = sender.borrow().change;
            let effects = effects.clone();
            async move {
                wait_for_effect(effects, change).await;
                answer
            }
        }));
        http::announce(listen)?;
        accept_connections(listener, listen, target, state, in_effect).await
    })
}

fn set_mode(sender: &watch::Sender<LinkState>, request: &WholeRequest) -> Answer {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/control/mode") => http::json(StatusCode::OK, &*sender.borrow()),
        (&Method::POST, "/control/mode") => http::with_json(request.body(), |wanted: LinkState| {
            sender.send_modify(|state| {
                let change = state.change + 1;
                *state = LinkState { change, ..wanted };
            });
            http::done()
        }),
        _ => http::not_found(),
    }
}

/// Waits until the listener follows a change. Without it, a caller that connects right after the
/// answer to `cut` may still be accepted. The wait is bounded, because a listener whose target is
/// gone follows no change until the target is back.
async fn wait_for_effect(mut effects: watch::Receiver<u64>, change: u64) {
    let wait = effects.wait_for(|in_effect| *in_effect >= change);
    let _ = tokio::time::timeout(EFFECT_LIMIT, wait).await;
}

/// Accepts connections. During `cut`, and while the target refuses connections, the listener is
/// closed, so that callers are refused as they would be without the proxy.
async fn accept_connections(
    mut listener: TcpListener,
    listen: SocketAddr,
    target: SocketAddr,
    mut state: watch::Receiver<LinkState>,
    in_effect: watch::Sender<u64>,
) -> RunResult {
    let (refused, mut refusals) = mpsc::channel(1);
    loop {
        let current = *state.borrow_and_update();
        if current.mode == LinkMode::Cut {
            drop(listener);
            in_effect.send_replace(current.change);
            state.wait_for(|state| state.mode != LinkMode::Cut).await?;
            listener = rebind(listen).await;
            continue;
        }
        in_effect.send_replace(current.change);
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    let connection = relay_connection(stream, target, state.clone(), refused.clone());
                    tokio::spawn(connection);
                }
            }
            Some(()) = refusals.recv() => {
                drop(listener);
                wait_for_target(target, &mut state, &in_effect).await?;
                listener = rebind(listen).await;
                // Refusals of connections that were accepted before are out of date.
                while refusals.try_recv().is_ok() {}
            }
            changed = state.changed() => changed?,
        }
    }
}

/// Waits until the target accepts connections. A change of mode is in effect at once, as no
/// connection is open.
async fn wait_for_target(
    target: SocketAddr,
    state: &mut watch::Receiver<LinkState>,
    in_effect: &watch::Sender<u64>,
) -> Result<(), watch::error::RecvError> {
    while TcpStream::connect(target).await.is_err() {
        tokio::select! {
            () = tokio::time::sleep(REBIND_PAUSE) => {}
            changed = state.changed() => {
                changed?;
                in_effect.send_replace(state.borrow_and_update().change);
            }
        }
    }
    Ok(())
}

async fn rebind(listen: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(listen).await {
            Ok(listener) => return listener,
            Err(_) => tokio::time::sleep(REBIND_PAUSE).await,
        }
    }
}

async fn relay_connection(
    caller: TcpStream,
    target: SocketAddr,
    mut state: watch::Receiver<LinkState>,
    refused: mpsc::Sender<()>,
) {
    let born = state.borrow_and_update().change;
    // A frozen link also holds the handshake with the target.
    if state
        .wait_for(|state| state.mode != LinkMode::Freeze)
        .await
        .is_err()
    {
        return;
    }
    let Ok(target) = TcpStream::connect(target).await else {
        reset(&caller);
        // A full channel means that the listener is about to be closed already.
        let _ = refused.try_send(());
        return;
    };
    if caller.set_nodelay(true).is_err() || target.set_nodelay(true).is_err() {
        return;
    }
    let silenced = Arc::new(AtomicBool::new(false));
    let asked = Arc::new(Notify::new());
    let (mut caller, mut target) = (caller, target);
    let broken = {
        let (caller_read, caller_write) = caller.split();
        let (target_read, target_write) = target.split();
        let forward = Pipe::new(Direction::ToTarget, born, &silenced, &asked, &state);
        let back = Pipe::new(Direction::ToCaller, born, &silenced, &asked, &state);
        tokio::select! {
            result = async {
                tokio::try_join!(
                    forward.run(caller_read, target_write),
                    back.run(target_read, caller_write),
                )
            } => result.is_err(),
            _ = state.wait_for(|state| state.mode == LinkMode::Cut) => true,
        }
    };
    if broken {
        reset(&caller);
        reset(&target);
    }
}

/// Makes the kernel send a reset when the stream is dropped.
fn reset(stream: &TcpStream) {
    let _ = stream.set_zero_linger();
}

struct Pipe {
    direction: Direction,
    born: u64,
    silenced: Arc<AtomicBool>,
    /// The caller sent something while the link makes up answers.
    asked: Arc<Notify>,
    state: watch::Receiver<LinkState>,
}

impl Pipe {
    fn new(
        direction: Direction,
        born: u64,
        silenced: &Arc<AtomicBool>,
        asked: &Arc<Notify>,
        state: &watch::Receiver<LinkState>,
    ) -> Self {
        Self {
            direction,
            born,
            silenced: Arc::clone(silenced),
            asked: Arc::clone(asked),
            state: state.clone(),
        }
    }

    /// Relays one direction until its end. The end of a swallowed direction is not passed on
    /// either: the other side sees silence.
    async fn run(
        mut self,
        mut reader: impl AsyncRead + Unpin,
        writer: impl AsyncWrite + Unpin,
    ) -> io::Result<()> {
        let (sender, receiver) = mpsc::channel(QUEUE_CHUNKS);
        let write = write_chunks(receiver, writer);
        let (direction, state) = (self.direction, self.state.clone());
        let asked = Arc::clone(&self.asked);
        let read = async move {
            let mut buffer = vec![0; CHUNK_BYTES];
            loop {
                let chunk = tokio::select! {
                    chunk = self.read_chunk(&mut reader, &mut buffer) => chunk?,
                    () = asked.notified(), if direction == Direction::ToCaller => {
                        return send_junk(state, &sender).await;
                    }
                };
                let Some(count) = chunk else {
                    return stay_silent(&mut reader, &mut buffer).await;
                };
                if !self.pass(buffer[..count].to_vec(), &sender).await {
                    return stay_silent(&mut reader, &mut buffer).await;
                }
                if count == 0 {
                    return Ok(());
                }
            }
        };
        tokio::try_join!(read, write).map(|_| ())
    }

    /// Reads, and returns `None` once the connection is silenced.
    async fn read_chunk(
        &mut self,
        reader: &mut (impl AsyncRead + Unpin),
        buffer: &mut [u8],
    ) -> io::Result<Option<usize>> {
        loop {
            if self.is_silenced() {
                return Ok(None);
            }
            tokio::select! {
                result = reader.read(buffer) => match result {
                    Ok(count) => return Ok(Some(count)),
                    Err(error) => {
                        self.wait_while_frozen().await;
                        return Err(error);
                    }
                },
                changed = self.state.changed() => changed.map_err(io::Error::other)?,
            }
        }
    }

    fn is_silenced(&mut self) -> bool {
        let state = *self.state.borrow_and_update();
        if state.mode == LinkMode::SilenceExisting && state.change > self.born {
            self.silenced.store(true, Ordering::Relaxed);
        }
        self.silenced.load(Ordering::Relaxed)
    }

    async fn wait_while_frozen(&mut self) {
        // The wait fails only when the proxy ends.
        let _ = self
            .state
            .wait_for(|state| state.mode != LinkMode::Freeze)
            .await;
    }

    /// Hands a chunk to the writer; `false` if the direction is swallowed from now on.
    async fn pass(&mut self, chunk: Vec<u8>, sender: &mpsc::Sender<(Instant, Vec<u8>)>) -> bool {
        self.wait_while_frozen().await;
        let state = *self.state.borrow();
        let one_way = state.mode == LinkMode::OneWay && self.direction == Direction::ToCaller;
        if one_way || self.is_silenced() {
            return false;
        }
        if state.mode.junk().is_some() {
            if self.direction == Direction::ToTarget && !chunk.is_empty() {
                self.asked.notify_one();
            }
            return false;
        }
        let delay = match state.mode {
            LinkMode::Delay => Duration::from_millis(state.delay_ms),
            _ => Duration::ZERO,
        };
        // A failed send means that the writer's side is closed; the reader ends by itself.
        let _ = sender.send((Instant::now() + delay, chunk)).await;
        true
    }
}

/// Swallows everything until the connection is cut. A direction that lost bytes never passes any
/// again, because TCP delivers no stream with a hole.
async fn stay_silent(reader: &mut (impl AsyncRead + Unpin), buffer: &mut [u8]) -> io::Result<()> {
    while !matches!(reader.read(buffer).await, Ok(0) | Err(_)) {}
    std::future::pending().await
}

/// Sends the beginning of an answer and no end, until the caller closes the connection.
async fn send_junk(
    state: watch::Receiver<LinkState>,
    sender: &mpsc::Sender<(Instant, Vec<u8>)>,
) -> io::Result<()> {
    let mode = state.borrow().mode;
    let (junk, pause) = mode.junk().unwrap_or((b"x", REBIND_PAUSE));
    let mut chunk = ENDLESS_HEAD;
    while sender.send((Instant::now(), chunk.to_vec())).await.is_ok() {
        chunk = junk;
        tokio::time::sleep(pause).await;
    }
    Ok(())
}

/// Writes chunks when they are due; an empty chunk ends the direction.
async fn write_chunks(
    mut chunks: mpsc::Receiver<(Instant, Vec<u8>)>,
    mut writer: impl AsyncWrite + Unpin,
) -> io::Result<()> {
    while let Some((due, chunk)) = chunks.recv().await {
        tokio::time::sleep_until(due).await;
        if chunk.is_empty() {
            return writer.shutdown().await;
        }
        writer.write_all(&chunk).await?;
    }
    Ok(())
}
