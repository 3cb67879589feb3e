//! A small HTTP server and client for the stand-ins.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};

/// A whole body.
pub type WholeBody = Full<Bytes>;

/// Serves until the handle is aborted; then all connections break.
pub fn serve<B, H, F>(listener: TcpListener, handler: H) -> JoinHandle<()>
where
    B: hyper::body::Body<Data = Bytes> + 'static,
    B::Error: std::error::Error + Send + Sync,
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<B>> + 'static,
{
    let handler = Rc::new(handler);
    tokio::task::spawn_local(async move {
        let mut connections = JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            let handler = Rc::clone(&handler);
            connections.spawn_local(async move {
                let service = service_fn(move |request| {
                    let answer = handler(request);
                    async move { Ok::<_, Infallible>(answer.await) }
                });
                // A broken connection is part of the soak.
                let _ = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    })
}

/// A client connection.
pub struct WebLink {
    sender: SendRequest<WholeBody>,
    driver: JoinHandle<()>,
}

impl Drop for WebLink {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl WebLink {
    /// Connects within a second.
    pub async fn open(address: SocketAddr) -> Option<Self> {
        let connect = tokio::time::timeout(Duration::from_secs(1), TcpStream::connect(address));
        let stream = connect.await.ok()?.ok()?;
        let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .ok()?;
        let driver = tokio::task::spawn_local(async move {
            // The error reaches whoever waits for the answer.
            let _ = connection.await;
        });
        Some(Self { sender, driver })
    }

    /// Sends a request; `None` if the connection broke before the head of an answer.
    pub async fn send(&mut self, request: Request<WholeBody>) -> Option<Response<Incoming>> {
        self.sender.ready().await.ok()?;
        self.sender.send_request(request).await.ok()
    }
}

/// Reads a whole body; `None` if it broke off.
pub async fn read(body: Incoming) -> Option<Bytes> {
    Some(body.collect().await.ok()?.to_bytes())
}
