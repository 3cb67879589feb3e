//! A minimal HTTP/1.1 server for the stand-ins, and a client connection.

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

/// A body that is held in memory as a whole.
pub type FullBody = Full<Bytes>;

/// Serves until the returned task is aborted, which closes all connections.
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
                    let response = handler(request);
                    async move { Ok::<_, Infallible>(response.await) }
                });
                // Injected faults break connections, so errors are expected.
                let _ = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    })
}

/// A client connection, which is closed when it is dropped.
pub struct HttpConnection {
    sender: SendRequest<FullBody>,
    driver_task: JoinHandle<()>,
}

impl Drop for HttpConnection {
    fn drop(&mut self) {
        self.driver_task.abort();
    }
}

impl HttpConnection {
    /// Connects; `None` if this fails or takes longer than a second.
    pub async fn connect(address: SocketAddr) -> Option<Self> {
        let connect = tokio::time::timeout(Duration::from_secs(1), TcpStream::connect(address));
        let stream = connect.await.ok()?.ok()?;
        let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .ok()?;
        let driver_task = tokio::task::spawn_local(async move {
            // An error also reaches the task that waits for the response.
            let _ = connection.await;
        });
        Some(Self {
            sender,
            driver_task,
        })
    }

    /// Sends a request; `None` if the connection is closed before the head of a response.
    pub async fn send(&mut self, request: Request<FullBody>) -> Option<Response<Incoming>> {
        self.sender.ready().await.ok()?;
        self.sender.send_request(request).await.ok()
    }
}

/// Reads a body to its end; `None` if it is truncated.
pub async fn read_body(body: Incoming) -> Option<Bytes> {
    Some(body.collect().await.ok()?.to_bytes())
}
