//! HTTP server and command-line helpers shared by the stand-ins.

use std::convert::Infallible;
use std::error::Error;
use std::future::Future;
use std::io::{self, Write as _};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Frame, Incoming};
use hyper::header::CONTENT_TYPE;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use pico_args::Arguments;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;

/// Maximum size of a request body. A store value of 1 MB takes 1.4 MB in base64.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Result of a subcommand; the error is printed on standard error.
pub type RunResult = Result<(), Box<dyn Error + Send + Sync>>;

/// Response body, either complete or streamed. An error closes the connection.
pub type ResponseBody = BoxBody<Bytes, io::Error>;

/// Result of a request handler. An error closes the connection without a response.
pub type HandlerResult = Result<Response<ResponseBody>, io::Error>;

/// A request whose body has been read completely.
pub type BufferedRequest = Request<Bytes>;

/// The error that makes the server close the connection without a response.
#[must_use]
pub fn close_without_response() -> io::Error {
    io::Error::new(
        io::ErrorKind::ConnectionAborted,
        "connection closed without a response",
    )
}

/// Returns a response with a JSON body.
///
/// # Errors
/// Never; the return type is that of a handler.
///
/// # Panics
/// If `value` cannot be written as JSON.
pub fn json<T: Serialize + ?Sized>(status: StatusCode, value: &T) -> HandlerResult {
    let encoded =
        serde_json::to_vec(value).expect("every response value can be serialized as JSON");
    let mut response = Response::new(full_body(encoded));
    *response.status_mut() = status;
    response.headers_mut().insert(
        CONTENT_TYPE,
        hyper::header::HeaderValue::from_static("application/json"),
    );
    Ok(response)
}

/// Returns an empty JSON object with status 200.
///
/// # Errors
/// Never; the return type is that of a handler.
pub fn empty_object() -> HandlerResult {
    json(StatusCode::OK, &serde_json::json!({}))
}

/// Returns the response to an unknown path, with status 404.
///
/// # Errors
/// Never; the return type is that of a handler.
pub fn not_found() -> HandlerResult {
    json(
        StatusCode::NOT_FOUND,
        &serde_json::json!({"error": "no such path; see docs/design.md, section 10"}),
    )
}

/// Parses a JSON body and passes it to `operation`. Returns status 400 if it is malformed.
///
/// # Errors
/// Those of `operation`.
pub fn handle_json<T, F>(body: &[u8], operation: F) -> HandlerResult
where
    T: DeserializeOwned,
    F: FnOnce(T) -> HandlerResult,
{
    match serde_json::from_slice(body) {
        Ok(value) => operation(value),
        Err(error) => {
            let message = error.to_string();
            let body = serde_json::json!({"error": message, "code": 3, "message": message});
            json(StatusCode::BAD_REQUEST, &body)
        }
    }
}

/// Creates a body from bytes that are complete.
pub fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into())
        .map_err(|never: Infallible| match never {})
        .boxed()
}

/// A streamed body whose chunks arrive over a channel. An error closes the connection.
pub struct ChannelBody(mpsc::Receiver<io::Result<Bytes>>);

impl ChannelBody {
    /// Creates a body and the sender of its chunks. Dropping the sender ends the body.
    #[must_use]
    pub fn open() -> (mpsc::Sender<io::Result<Bytes>>, ResponseBody) {
        let (sender, receiver) = mpsc::channel(16);
        (sender, Self(receiver).boxed())
    }
}

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        self.0
            .poll_recv(context)
            .map(|chunk| chunk.map(|result| result.map(Frame::data)))
    }
}

/// Runs a subcommand until it ends or the process receives SIGTERM.
///
/// # Errors
/// If `task` fails, or the runtime or the signal handler cannot be set up.
pub fn run_until_sigterm<F>(task: F) -> RunResult
where
    F: Future<Output = RunResult>,
{
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        tokio::select! {
            result = task => result,
            _ = terminate.recv() => Ok(()),
        }
    })?;
    runtime.shutdown_background();
    Ok(())
}

/// Reads the option `--listen`.
///
/// # Errors
/// If the option is absent or is not a socket address.
pub fn listen_option(arguments: &mut Arguments) -> Result<SocketAddr, pico_args::Error> {
    arguments.value_from_str("--listen")
}

/// Checks that all options have been read.
///
/// # Errors
/// If options are left; the error lists them.
pub fn reject_unknown_options(arguments: Arguments) -> RunResult {
    let unknown_options = arguments.finish();
    if unknown_options.is_empty() {
        Ok(())
    } else {
        Err(format!("unknown options {unknown_options:?}; see docs/design.md, section 10").into())
    }
}

/// Binds a listener and prints its address on standard output.
///
/// # Errors
/// If the address cannot be bound.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address).await?;
    announce(listener.local_addr()?)?;
    Ok(listener)
}

/// Prints the address on standard output, which tells the parent process that the stand-in accepts
/// connections.
///
/// # Errors
/// If standard output is closed.
pub fn announce(address: SocketAddr) -> io::Result<()> {
    let mut stdout = io::stdout().lock();
    writeln!(stdout, "listening on {address}")?;
    stdout.flush()
}

/// Accepts connections and passes each request to `handler` once its body has been read.
///
/// # Errors
/// Never; a connection error ends only that connection.
pub async fn serve<H, F>(listener: TcpListener, handler: H) -> RunResult
where
    H: Fn(BufferedRequest) -> F + Send + Sync + 'static,
    F: Future<Output = HandlerResult> + Send + 'static,
{
    let handler = Arc::new(handler);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        tokio::spawn(serve_connection(stream, Arc::clone(&handler)));
    }
}

async fn serve_connection<H, F>(stream: TcpStream, handler: Arc<H>)
where
    H: Fn(BufferedRequest) -> F + Send + Sync + 'static,
    F: Future<Output = HandlerResult> + Send + 'static,
{
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(move |request| {
        let handler = Arc::clone(&handler);
        async move { handler(read_full_request(request).await?).await }
    });
    // Connection errors are expected in tests that inject faults.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn read_full_request(request: Request<Incoming>) -> io::Result<BufferedRequest> {
    let (parts, body) = request.into_parts();
    let body = Limited::new(body, MAX_BODY_BYTES)
        .collect()
        .await
        .map_err(io::Error::other)?;
    Ok(Request::from_parts(parts, body.to_bytes()))
}
