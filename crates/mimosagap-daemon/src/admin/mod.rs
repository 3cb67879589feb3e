//! The administration API. It only reads; behaviour changes through the rules file alone.

mod pages;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::Sender;

use rouille::{Request, Response, Server};

use crate::shared::SharedState;

/// Threads that answer operators.
const THREADS: usize = 2;

const PAGES: &str = "pages: /admin/v1/ with health, daemons, targets, leaving, rules, limits or \
                     quarantine; /metrics\n";

/// A running administration API; ends when dropped.
pub struct AdminServer {
    address: SocketAddr,
    stop: Sender<()>,
}

impl AdminServer {
    /// Binds the address and starts to answer.
    ///
    /// # Errors
    /// If the address is in use or not of this host.
    pub fn start(
        shared: Arc<SharedState>,
        address: SocketAddr,
    ) -> Result<Self, Box<dyn std::error::Error + Send + Sync>> {
        let server = Server::new(address, move |request| answer(&shared, request))?;
        let server = server.pool_size(THREADS);
        let address = server.server_addr();
        let (_thread, stop) = server.stoppable();
        Ok(Self { address, stop })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for AdminServer {
    fn drop(&mut self) {
        // The thread looks for this once a second.
        let _ = self.stop.send(());
    }
}

fn answer(shared: &SharedState, request: &Request) -> Response {
    if request.method() != "GET" {
        return Response::text("this API only reads; change the rules file instead\n")
            .with_status_code(405);
    }
    let url = request.url();
    if url == "/metrics" {
        let kind = "text/plain; version=0.0.4; charset=utf-8";
        return Response::from_data(kind, pages::metrics(shared));
    }
    let page = url.strip_prefix("/admin/v1/").unwrap_or_default();
    match page {
        "daemons" => return Response::json(&pages::daemons(shared)),
        "rules" => return Response::json(&pages::rules(shared)),
        _ => {}
    }
    let Some(snapshot) = shared.snapshots.take() else {
        return Response::text("the daemon is stopping\n").with_status_code(503);
    };
    match page {
        "health" => Response::json(&pages::health(shared, &snapshot)),
        "targets" => Response::json(&pages::targets(&snapshot, false)),
        "leaving" => Response::json(&pages::targets(&snapshot, true)),
        "limits" => Response::json(&pages::limits(&snapshot)),
        "quarantine" => Response::json(&pages::quarantine(shared, &snapshot)),
        _ => Response::text(PAGES).with_status_code(404),
    }
}
