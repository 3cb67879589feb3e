//! TCP proxy that injects network faults between a caller and a target.

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

use crate::http::{self, BufferedRequest, HandlerResult, RunResult};

const CHUNK_BYTES: usize = 16 << 10;
/// Maximum number of delayed chunks per direction; a full queue stops the reader.
const MAX_QUEUED_CHUNKS: usize = 1_024;
const REBIND_RETRY_DELAY: Duration = Duration::from_millis(10);
const APPLY_TIMEOUT: Duration = Duration::from_secs(1);

/// Fault mode of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkMode {
    /// Forwards all data.
    Pass,
    /// Resets open connections and refuses new ones.
    Cut,
    /// Forwards all data after a delay, in each direction.
    Delay,
    /// Holds back all data, and new connections to the target, until the mode changes. Open
    /// connections stay open.
    Freeze,
    /// Discards all data on connections that are open when the mode is set, also after the mode
    /// changes. New connections work.
    SilenceExisting,
    /// Forwards data to the target and discards all data from it.
    OneWay,
    /// Discards requests and responds in place of the target with an HTTP response head that never
    /// ends, 8 KiB every millisecond.
    FloodHead,
    /// Like [`LinkMode::FloodHead`], but with one byte every 100 milliseconds.
    DripHead,
    /// Forwards all data, and writes a refusal ahead of each response but the first of a connection.
    RepeatRefusals,
}

impl LinkMode {
    /// The bytes sent in place of the target's response, and the interval between them. `None` if
    /// the mode sends none.
    fn endless_head_chunk(self) -> Option<(&'static [u8], Duration)> {
        match self {
            Self::FloodHead => Some((&FLOOD_CHUNK, Duration::from_millis(1))),
            Self::DripHead => Some((b"x", Duration::from_millis(100))),
            _ => None,
        }
    }
}

/// Part of an endless header line.
const FLOOD_CHUNK: [u8; 8 << 10] = [b'x'; 8 << 10];

/// A refusal that belongs to no request.
const REFUSAL: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n";

/// Start of a response whose head never ends.
const ENDLESS_HEAD_START: &[u8] = b"HTTP/1.1 200 OK\r\nx-more: ";

/// Fault mode of the proxy, and the body of `/control/mode`.
#[derive(Debug, Clone, Copy)]
#[derive(Serialize, Deserialize)]
struct LinkState {
    mode: LinkMode,
    #[serde(default)]
    delay_ms: u64,
    /// Number of mode changes, by which a connection tells whether it is older than the last one.
    #[serde(skip)]
    change_count: u64,
}

impl LinkState {
    fn passing() -> Self {
        Self {
            mode: LinkMode::Pass,
            delay_ms: 0,
            change_count: 0,
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToTarget,
    ToCaller,
}

/// A proxy inside this process. Dropping it stops accepting connections.
pub struct LinkProxy {
    address: SocketAddr,
    state: watch::Sender<LinkState>,
    accept_task: JoinHandle<()>,
}

impl LinkProxy {
    /// Starts a proxy in front of a target, on a free loopback port.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (sender, state) = watch::channel(LinkState::passing());
        let (applied_change, _) = watch::channel(0);
        let accept_task = tokio::spawn(async move {
            // Fails only when the sender is dropped, which ends the proxy.
            let _ = accept_connections(listener, address, target, state, applied_change).await;
        });
        Ok(Self {
            address,
            state: sender,
            accept_task,
        })
    }

    /// The address on which the proxy listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the fault mode. `delay` applies only to [`LinkMode::Delay`].
    pub fn set_mode(&self, mode: LinkMode, delay: Duration) {
        self.state.send_modify(|state| {
            *state = LinkState {
                mode,
                delay_ms: u64::try_from(delay.as_millis()).unwrap_or(u64::MAX),
                change_count: state.change_count + 1,
            };
        });
    }
}

impl Drop for LinkProxy {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

/// Runs the proxy and its control interface until SIGTERM.
///
/// # Errors
/// If an option is wrong or an address cannot be bound.
pub fn run(mut arguments: Arguments) -> RunResult {
    let listen_address = http::listen_option(&mut arguments)?;
    let target: SocketAddr = arguments.value_from_str("--to")?;
    let control: SocketAddr = arguments.value_from_str("--control")?;
    http::reject_unknown_options(arguments)?;
    http::run_until_sigterm(async move {
        let (sender, state) = watch::channel(LinkState::passing());
        let control = TcpListener::bind(control).await?;
        let listener = TcpListener::bind(listen_address).await?;
        let listen_address = listener.local_addr()?;
        let (applied_change, applied_changes) = watch::channel(0);
        tokio::spawn(http::serve(control, move |request| {
            let response = set_mode(&sender, &request);
            let change_count = sender.borrow().change_count;
            let applied_changes = applied_changes.clone();
            async move {
                wait_until_applied(applied_changes, change_count).await;
                response
            }
        }));
        http::announce(listen_address)?;
        accept_connections(listener, listen_address, target, state, applied_change).await
    })
}

fn set_mode(sender: &watch::Sender<LinkState>, request: &BufferedRequest) -> HandlerResult {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/control/mode") => http::json(StatusCode::OK, &*sender.borrow()),
        (&Method::POST, "/control/mode") => {
            http::handle_json(request.body(), |requested: LinkState| {
                sender.send_modify(|state| {
                    let change_count = state.change_count + 1;
                    *state = LinkState {
                        change_count,
                        ..requested
                    };
                });
                http::empty_object()
            })
        }
        _ => http::not_found(),
    }
}

/// Waits until the accept loop has applied a mode change. Without it, a caller that connects right
/// after the response to `cut` may still be accepted. The wait is bounded, because the accept loop
/// applies no change while it connects to a target that is down or rebinds its port.
async fn wait_until_applied(mut applied_changes: watch::Receiver<u64>, change_count: u64) {
    let wait = applied_changes.wait_for(|applied_change| *applied_change >= change_count);
    let _ = tokio::time::timeout(APPLY_TIMEOUT, wait).await;
}

/// Accepts connections. The listener is closed in mode `cut` and while the target refuses
/// connections, so that callers are refused as they would be without the proxy.
async fn accept_connections(
    mut listener: TcpListener,
    listen_address: SocketAddr,
    target: SocketAddr,
    mut state: watch::Receiver<LinkState>,
    applied_change: watch::Sender<u64>,
) -> RunResult {
    let (refused_sender, mut refusals) = mpsc::channel(1);
    loop {
        let current = *state.borrow_and_update();
        if current.mode == LinkMode::Cut {
            drop(listener);
            applied_change.send_replace(current.change_count);
            state.wait_for(|state| state.mode != LinkMode::Cut).await?;
            listener = rebind(listen_address).await;
            continue;
        }
        applied_change.send_replace(current.change_count);
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    let connection = relay_connection(stream, target, state.clone(), refused_sender.clone());
                    tokio::spawn(connection);
                }
            }
            Some(()) = refusals.recv() => {
                drop(listener);
                wait_for_target(target, &mut state, &applied_change).await?;
                listener = rebind(listen_address).await;
                // Discards refusals of connections accepted before the target came back.
                while refusals.try_recv().is_ok() {}
            }
            changed = state.changed() => changed?,
        }
    }
}

/// Waits until the target accepts connections. Mode changes count as applied at once, because the
/// listener is closed.
async fn wait_for_target(
    target: SocketAddr,
    state: &mut watch::Receiver<LinkState>,
    applied_change: &watch::Sender<u64>,
) -> Result<(), watch::error::RecvError> {
    while TcpStream::connect(target).await.is_err() {
        tokio::select! {
            () = tokio::time::sleep(REBIND_RETRY_DELAY) => {}
            changed = state.changed() => {
                changed?;
                applied_change.send_replace(state.borrow_and_update().change_count);
            }
        }
    }
    Ok(())
}

async fn rebind(listen_address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(listen_address).await {
            Ok(listener) => return listener,
            Err(_) => tokio::time::sleep(REBIND_RETRY_DELAY).await,
        }
    }
}

async fn relay_connection(
    caller: TcpStream,
    target: SocketAddr,
    mut state: watch::Receiver<LinkState>,
    refused_sender: mpsc::Sender<()>,
) {
    let opened_at_change = state.borrow_and_update().change_count;
    // A frozen link also holds back the connection to the target.
    if state
        .wait_for(|state| state.mode != LinkMode::Freeze)
        .await
        .is_err()
    {
        return;
    }
    let Ok(target) = TcpStream::connect(target).await else {
        reset_on_drop(&caller);
        // A full channel means that the accept loop is already about to close the listener.
        let _ = refused_sender.try_send(());
        return;
    };
    if caller.set_nodelay(true).is_err() || target.set_nodelay(true).is_err() {
        return;
    }
    let silenced = Arc::new(AtomicBool::new(false));
    let request_seen = Arc::new(Notify::new());
    let has_answered = Arc::new(AtomicBool::new(false));
    let (mut caller, mut target) = (caller, target);
    let failed = {
        let (caller_read, caller_write) = caller.split();
        let (target_read, target_write) = target.split();
        let forward = RelayDirection::new(
            Direction::ToTarget,
            opened_at_change,
            &silenced,
            &request_seen,
            &has_answered,
            &state,
        );
        let backward = RelayDirection::new(
            Direction::ToCaller,
            opened_at_change,
            &silenced,
            &request_seen,
            &has_answered,
            &state,
        );
        tokio::select! {
            result = async {
                tokio::try_join!(
                    forward.run(caller_read, target_write),
                    backward.run(target_read, caller_write),
                )
            } => result.is_err(),
            _ = state.wait_for(|state| state.mode == LinkMode::Cut) => true,
        }
    };
    if failed {
        reset_on_drop(&caller);
        reset_on_drop(&target);
    }
}

/// Makes the kernel send a TCP reset when the stream is dropped.
fn reset_on_drop(stream: &TcpStream) {
    let _ = stream.set_zero_linger();
}

struct RelayDirection {
    direction: Direction,
    /// The change count when the connection was accepted.
    opened_at_change: u64,
    /// Whether the connection is discarded in both directions by `SilenceExisting`.
    silenced: Arc<AtomicBool>,
    /// Notified when the caller sends data in a mode that responds in place of the target.
    request_seen: Arc<Notify>,
    /// Whether the connection has carried a response.
    has_answered: Arc<AtomicBool>,
    state: watch::Receiver<LinkState>,
}

impl RelayDirection {
    fn new(
        direction: Direction,
        opened_at_change: u64,
        silenced: &Arc<AtomicBool>,
        request_seen: &Arc<Notify>,
        has_answered: &Arc<AtomicBool>,
        state: &watch::Receiver<LinkState>,
    ) -> Self {
        Self {
            direction,
            opened_at_change,
            silenced: Arc::clone(silenced),
            request_seen: Arc::clone(request_seen),
            has_answered: Arc::clone(has_answered),
            state: state.clone(),
        }
    }

    /// Relays one direction until its end. The end of a discarded direction is not forwarded
    /// either, so that the other side sees silence.
    async fn run(
        mut self,
        mut reader: impl AsyncRead + Unpin,
        writer: impl AsyncWrite + Unpin,
    ) -> io::Result<()> {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
        let write = write_chunks(receiver, writer);
        let (direction, state) = (self.direction, self.state.clone());
        let request_seen = Arc::clone(&self.request_seen);
        let read = async move {
            let mut buffer = vec![0; CHUNK_BYTES];
            loop {
                let chunk = tokio::select! {
                    chunk = self.read_chunk(&mut reader, &mut buffer) => chunk?,
                    () = request_seen.notified(), if direction == Direction::ToCaller => {
                        if state.borrow().mode != LinkMode::RepeatRefusals {
                            return send_endless_head(state, &sender).await;
                        }
                        // Fails only if the writer has ended; the reader then ends by itself.
                        let _ = sender.send((Instant::now(), REFUSAL.to_vec())).await;
                        continue;
                    }
                };
                let Some(count) = chunk else {
                    return discard_until_reset(&mut reader, &mut buffer).await;
                };
                if !self
                    .forward_chunk(buffer[..count].to_vec(), &sender)
                    .await?
                {
                    return discard_until_reset(&mut reader, &mut buffer).await;
                }
                if count == 0 {
                    return Ok(());
                }
            }
        };
        tokio::try_join!(read, write).map(|_| ())
    }

    /// Reads the next chunk; 0 bytes mean the end. Returns `None` once the connection is silenced.
    async fn read_chunk(
        &mut self,
        reader: &mut (impl AsyncRead + Unpin),
        buffer: &mut [u8],
    ) -> io::Result<Option<usize>> {
        loop {
            if self.check_silenced() {
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

    fn check_silenced(&mut self) -> bool {
        let state = *self.state.borrow_and_update();
        if state.mode == LinkMode::SilenceExisting && state.change_count > self.opened_at_change {
            self.silenced.store(true, Ordering::Relaxed);
        }
        self.silenced.load(Ordering::Relaxed)
    }

    async fn wait_while_frozen(&mut self) {
        // Fails only when the proxy ends.
        let _ = self
            .state
            .wait_for(|state| state.mode != LinkMode::Freeze)
            .await;
    }

    /// Passes a chunk to the writer. Returns false if the direction is discarded from now on, and an
    /// error if the connection is to be reset.
    async fn forward_chunk(
        &mut self,
        chunk: Vec<u8>,
        sender: &mpsc::Sender<(Instant, Vec<u8>)>,
    ) -> io::Result<bool> {
        self.wait_while_frozen().await;
        let state = *self.state.borrow();
        let one_way = state.mode == LinkMode::OneWay && self.direction == Direction::ToCaller;
        if one_way || self.check_silenced() {
            return Ok(false);
        }
        if state.mode.endless_head_chunk().is_some() && self.direction == Direction::ToTarget {
            if chunk.is_empty() {
                // The target must not go on with a response that nobody reads.
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            self.request_seen.notify_one();
        }
        if state.mode.endless_head_chunk().is_some() {
            return Ok(false);
        }
        if !chunk.is_empty() {
            match self.direction {
                Direction::ToCaller => self.has_answered.store(true, Ordering::Relaxed),
                Direction::ToTarget
                    if state.mode == LinkMode::RepeatRefusals
                        && self.has_answered.load(Ordering::Relaxed) =>
                {
                    self.request_seen.notify_one();
                }
                Direction::ToTarget => {}
            }
        }
        let delay = match state.mode {
            LinkMode::Delay => Duration::from_millis(state.delay_ms),
            _ => Duration::ZERO,
        };
        // Fails only if the writer has ended; the reader then ends by itself.
        let _ = sender.send((Instant::now() + delay, chunk)).await;
        Ok(true)
    }
}

/// Discards everything until the connection is reset. A direction that lost bytes never forwards
/// any again, because TCP delivers no stream with a gap.
async fn discard_until_reset(
    reader: &mut (impl AsyncRead + Unpin),
    buffer: &mut [u8],
) -> io::Result<()> {
    while !matches!(reader.read(buffer).await, Ok(0) | Err(_)) {}
    std::future::pending().await
}

/// Sends a response head without an end until the caller closes the connection.
async fn send_endless_head(
    state: watch::Receiver<LinkState>,
    sender: &mpsc::Sender<(Instant, Vec<u8>)>,
) -> io::Result<()> {
    let mode = state.borrow().mode;
    let (endless_head_chunk, interval) = mode
        .endless_head_chunk()
        .unwrap_or((b"x", REBIND_RETRY_DELAY));
    let mut chunk = ENDLESS_HEAD_START;
    while sender.send((Instant::now(), chunk.to_vec())).await.is_ok() {
        chunk = endless_head_chunk;
        tokio::time::sleep(interval).await;
    }
    Ok(())
}

/// Writes each chunk when it is due. An empty chunk closes the write side.
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
