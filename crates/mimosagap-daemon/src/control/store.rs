//! Asynchronous access to the blocking store client.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use mimosagap_core::Event;
use mimosagap_store::{StoreClient, StoreOptions};
use tokio::sync::Semaphore;

use crate::driver::EventSender;

/// Limit of concurrent blocking calls. Each task makes one call at a time, so more calls would only
/// queue up.
const MAX_CONCURRENT_CALLS: usize = 16;
/// One failed call may be a single lost response. After two in a row the store counts as
/// unreachable until a lease renewal or the watch reaches it.
const UNREACHABLE_AFTER_FAILURES: u32 = 2;
const REPORT_PERIOD: Duration = Duration::from_millis(200);

/// The store client of the control tasks, with a limit of concurrent calls.
pub(super) struct StoreAccess {
    client: StoreClient,
    permits: Semaphore,
    events: EventSender,
    last_reported: Mutex<Option<Instant>>,
}

impl StoreAccess {
    pub(super) fn new(options: StoreOptions, events: EventSender) -> Self {
        Self {
            client: StoreClient::new(options),
            permits: Semaphore::new(MAX_CONCURRENT_CALLS),
            events,
            last_reported: Mutex::new(None),
        }
    }

    pub(super) fn client(&self) -> &StoreClient {
        &self.client
    }

    /// Whether the store has answered and is not failing, so that a call is likely to succeed.
    pub(super) fn is_available(&self) -> bool {
        let health = self.client.health();
        health.last_response.is_some() && health.consecutive_failures < UNREACHABLE_AFTER_FAILURES
    }

    /// Returns the time since the store's last response; `None` before the first one.
    pub(super) fn response_age(&self) -> Option<Duration> {
        Some(self.client.health().last_response?.elapsed())
    }

    /// Runs a blocking operation of the client on a thread for blocking work.
    pub(super) async fn call<T: Send + 'static>(
        &self,
        operation: impl FnOnce(&StoreClient) -> T + Send + 'static,
    ) -> T {
        let permit = self.permits.acquire().await;
        let client = self.client.clone();
        let result = tokio::task::spawn_blocking(move || operation(&client)).await;
        drop(permit);
        self.report_reachable();
        result.expect("store operations do not panic")
    }

    /// Reports to the reducer that the store responded, at most once per `REPORT_PERIOD`.
    pub(super) fn report_reachable(&self) {
        let Some(answered) = self.client.health().last_response else {
            return;
        };
        let mut last_reported = super::context::lock(&self.last_reported);
        if last_reported.is_none_or(|last| answered >= last + REPORT_PERIOD) {
            *last_reported = Some(answered);
            self.events.send(Event::StoreReached);
        }
    }
}
