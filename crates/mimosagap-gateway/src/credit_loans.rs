//! Loans of retry credit between hosts, by datagram.
//!
//! The selection of lenders is in `mimosagap_routing::credit_lending`.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use mimosagap_routing::credit_lending::{LenderSelector, MAX_LENDERS};
use mimosagap_types::prelude::*;
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::log::LogEvent;
use crate::peers::PeerMessage;
use crate::pending_responses::PendingResponses;
use crate::state::{Gateway, SharedGateway};

/// Time for the response of a host of the same region, whose round trip takes a millisecond or two.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(25);

/// Asks another host for the credit of one retry.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct LoanRequest {
    id: u64,
    service: DeploymentName,
}

/// The response to a [`LoanRequest`].
#[derive(Debug, Clone, Copy)]
#[derive(Serialize, Deserialize)]
pub struct LoanResponse {
    id: u64,
    is_granted: bool,
}

/// Sends requests for loans and matches responses to them.
pub struct LoanClient {
    pending: PendingResponses<bool>,
    selector: RefCell<LenderSelector>,
}

impl LoanClient {
    /// Creates a client that was started at a time since boot. A process that is restarted uses
    /// other ids than the one before, so that a late response is not taken for one of its own.
    pub fn new(started_at: Duration) -> Self {
        let first_id = u64::try_from(started_at.as_nanos()).unwrap_or_default();
        Self {
            pending: PendingResponses::new(first_id),
            selector: RefCell::default(),
        }
    }

    /// Passes a response to the request that waits for it.
    pub fn complete(&self, response: LoanResponse) {
        self.pending.complete(response.id, response.is_granted);
    }
}

/// Answers a request for a loan, and gives the credit if this host holds enough.
pub fn handle_request(gateway: &Gateway, request: &LoanRequest) -> LoanResponse {
    LoanResponse {
        id: request.id,
        is_granted: gateway.has_unreliable_targets() && gateway.try_lend_retry(&request.service),
    }
}

/// Borrows the credit of one retry in the background and wakes the streams that wait for it.
pub fn start_borrowing(gateway: &SharedGateway, service: &DeploymentName) {
    let (gateway, service) = (Rc::clone(gateway), service.clone());
    tokio::task::spawn_local(async move {
        if borrow(&gateway, &service).await {
            gateway.target_leaving.notify_waiters();
        }
    });
}

/// Asks hosts of the region in turn for the credit of one retry at a service. Returns whether one
/// lent it.
pub async fn borrow(gateway: &SharedGateway, service: &DeploymentName) -> bool {
    for _ in 0..MAX_LENDERS {
        let now = gateway.now();
        let client = &gateway.loan_client;
        let settings = &gateway.settings;
        let lender = gateway.with_state(|state| {
            let selector = client.selector.borrow();
            let (name, record) = selector.choose(
                &state.hosts,
                &settings.host,
                &settings.region,
                now,
                &mut state.rng,
            )?;
            Some((name.to_owned(), record.peer_address))
        });
        let Some((name, address)) = lender else {
            return false;
        };
        let is_granted = ask(gateway, service, address).await;
        gateway.log.event(&LogEvent::RetryLoan {
            service: service.as_str(),
            lender: &name,
            granted: is_granted,
        });
        let label = if is_granted { "granted" } else { "declined" };
        let loans = &gateway.metrics.retries.loans;
        loans.with_label_values(&[label]).inc();
        if is_granted {
            gateway.add_retry_loan(service);
            return true;
        }
        let mut selector = client.selector.borrow_mut();
        selector.record_declined(&name, gateway.now());
    }
    false
}

async fn ask(
    gateway: &SharedGateway,
    service: &DeploymentName,
    lender: std::net::SocketAddr,
) -> bool {
    let mut pending = gateway.loan_client.pending.add();
    let request = LoanRequest {
        id: pending.id,
        service: service.clone(),
    };
    let response = async {
        let socket = gateway.placer_rpc.socket()?;
        let bytes = PeerMessage::LoanRequest(request).encode()?;
        socket.send_to(&bytes, lender).await.ok()?;
        pending.receive().await
    };
    matches!(timeout(RESPONSE_TIMEOUT, response).await, Ok(Some(true)))
}
