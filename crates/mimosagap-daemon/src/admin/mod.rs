//! The administration API over HTTP. It is read-only: behaviour changes only through the rules
//! file.

mod pages;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::Sender;

use rouille::{Request, Response, Server};

use crate::shared::SharedState;

/// Threads that serve requests of operators.
const SERVER_THREADS: usize = 2;

const PAGE_LIST: &str = "pages: /admin/v1/ with health, daemons, targets, leaving, rules, limits or \
                     quarantine; /metrics\n";

/// The running HTTP server of the administration API; stops when dropped.
pub struct AdminServer {
    address: SocketAddr,
    stop: Sender<()>,
}

impl AdminServer {
    /// Binds the address and starts to serve requests.
    ///
    /// # Errors
    /// If the address is in use or does not belong to this host.
    pub fn start(
        shared: Arc<SharedState>,
        address: SocketAddr,
    ) -> Result<Self, Box<dyn std::error::Error + Send + Sync>> {
        let server = Server::new(address, move |request| handle_request(&shared, request))?;
        let server = server.pool_size(SERVER_THREADS);
        let address = server.server_addr();
        let (_thread, stop) = server.stoppable();
        Ok(Self { address, stop })
    }

    /// Returns the address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for AdminServer {
    fn drop(&mut self) {
        // The server thread checks for this once per second.
        let _ = self.stop.send(());
    }
}

fn handle_request(shared: &SharedState, request: &Request) -> Response {
    if request.method() != "GET" {
        return Response::text("this API only reads; change the rules file instead\n")
            .with_status_code(405);
    }
    let url = request.url();
    if url == "/metrics" {
        let content_type = "text/plain; version=0.0.4; charset=utf-8";
        return Response::from_data(content_type, pages::metrics_page(shared));
    }
    let page = url.strip_prefix("/admin/v1/").unwrap_or_default();
    match page {
        "daemons" => return Response::json(&pages::daemons_page(shared)),
        "rules" => return Response::json(&pages::rules_page(shared)),
        _ => {}
    }
    let Some(snapshot) = shared.snapshots.fetch() else {
        return Response::text("the daemon is stopping\n").with_status_code(503);
    };
    match page {
        "health" => Response::json(&pages::health_page(shared, &snapshot)),
        "targets" => Response::json(&pages::targets_page(&snapshot, false)),
        "leaving" => Response::json(&pages::targets_page(&snapshot, true)),
        "limits" => Response::json(&pages::limits_page(&snapshot)),
        "quarantine" => Response::json(&pages::quarantine_page(shared, &snapshot)),
        _ => Response::text(PAGE_LIST).with_status_code(404),
    }
}
