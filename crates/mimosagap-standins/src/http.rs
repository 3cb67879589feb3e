//! The HTTP server shared by the stand-ins.

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

/// The largest request body that is read. A store value of 1 MB has 1.4 MB in base64.
const MAX_BODY_BYTES: usize = 16 << 20;

/// The result of a subcommand.
pub type RunResult = Result<(), Box<dyn Error + Send + Sync>>;

/// The body of an answer.
pub type AnswerBody = BoxBody<Bytes, io::Error>;

/// An answer, or an error after which the connection is closed without one.
pub type Answer = Result<Response<AnswerBody>, io::Error>;

/// A request whose body has been read.
pub type WholeRequest = Request<Bytes>;

/// The error that closes the connection without an answer.
#[must_use]
pub fn close_without_answer() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionAborted, "closed without an answer")
}

/// An answer with a JSON body.
///
/// # Errors
/// Never; the type is that of a handler.
///
/// # Panics
/// If `value` cannot be written as JSON.
pub fn json<T: Serialize + ?Sized>(status: StatusCode, value: &T) -> Answer {
    let text = serde_json::to_vec(value).expect("the stand-ins' answers can be written as JSON");
    let mut response = Response::new(whole(text));
    *response.status_mut() = status;
    response.headers_mut().insert(
        CONTENT_TYPE,
        hyper::header::HeaderValue::from_static("application/json"),
    );
    Ok(response)
}

/// The empty JSON object with status 200.
///
/// # Errors
/// Never; the type is that of a handler.
pub fn done() -> Answer {
    json(StatusCode::OK, &serde_json::json!({}))
}

/// The answer to an unknown path.
///
/// # Errors
/// Never; the type is that of a handler.
pub fn not_found() -> Answer {
    json(
        StatusCode::NOT_FOUND,
        &serde_json::json!({"error": "no such path; see docs/design.md, section 10"}),
    )
}

/// Reads a JSON body and answers it with `operation`, or with status 400 if it is malformed.
///
/// # Errors
/// Those of `operation`.
pub fn with_json<T, F>(body: &[u8], operation: F) -> Answer
where
    T: DeserializeOwned,
    F: FnOnce(T) -> Answer,
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

/// A body that is known as a whole.
pub fn whole(bytes: impl Into<Bytes>) -> AnswerBody {
    Full::new(bytes.into())
        .map_err(|never: Infallible| match never {})
        .boxed()
}

/// A body whose parts arrive over a channel. An error part breaks the connection.
pub struct ChannelBody(mpsc::Receiver<io::Result<Bytes>>);

impl ChannelBody {
    /// A body and the sender of its parts.
    #[must_use]
    pub fn open() -> (mpsc::Sender<io::Result<Bytes>>, AnswerBody) {
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
            .map(|part| part.map(|result| result.map(Frame::data)))
    }
}

/// Runs a subcommand until it ends or the process receives SIGTERM.
///
/// # Errors
/// Whatever `task` reports.
pub fn run_until_terminated<F>(task: F) -> RunResult
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

/// The value of `--listen`.
///
/// # Errors
/// If the option is absent or is not an address.
pub fn listen_option(arguments: &mut Arguments) -> Result<SocketAddr, pico_args::Error> {
    arguments.value_from_str("--listen")
}

/// Refuses options that no one has read.
///
/// # Errors
/// Names the options.
pub fn finish_options(arguments: Arguments) -> RunResult {
    let rest = arguments.finish();
    if rest.is_empty() {
        Ok(())
    } else {
        Err(format!("unknown options {rest:?}; see docs/design.md, section 10").into())
    }
}

/// Binds a listener and announces it on standard output.
///
/// # Errors
/// If the address cannot be bound.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address).await?;
    announce(listener.local_addr()?)?;
    Ok(listener)
}

/// Tells the starter of the process that it is ready.
///
/// # Errors
/// If standard output is closed.
pub fn announce(address: SocketAddr) -> io::Result<()> {
    let mut output = io::stdout().lock();
    writeln!(output, "listening on {address}")?;
    output.flush()
}

/// Serves requests with whole bodies.
///
/// # Errors
/// Never in practice; a connection that fails ends alone.
pub async fn serve<H, F>(listener: TcpListener, handler: H) -> RunResult
where
    H: Fn(WholeRequest) -> F + Send + Sync + 'static,
    F: Future<Output = Answer> + Send + 'static,
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
    H: Fn(WholeRequest) -> F + Send + Sync + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(move |request| {
        let handler = Arc::clone(&handler);
        async move { handler(read_whole(request).await?).await }
    });
    // A broken connection is an expected event in tests with faults.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn read_whole(request: Request<Incoming>) -> io::Result<WholeRequest> {
    let (head, body) = request.into_parts();
    let body = Limited::new(body, MAX_BODY_BYTES)
        .collect()
        .await
        .map_err(io::Error::other)?;
    Ok(Request::from_parts(head, body.to_bytes()))
}
