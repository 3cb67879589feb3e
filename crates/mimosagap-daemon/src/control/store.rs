//! Access to the store from asynchronous tasks.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use mimosagap_core::Event;
use mimosagap_store::{StoreClient, StoreOptions};
use tokio::sync::Semaphore;

use crate::driver::EventSender;

/// Blocking calls at a time. Each task has one call under way, so more can only pile up.
const MAX_CALLS: usize = 16;
/// One failed call may be a single lost answer; after two in a row the store counts as
/// unreachable until a lease renewal or the watch reaches it.
const FAILURES_UNTIL_CLOSED: u32 = 2;
const REPORT_PERIOD: Duration = Duration::from_millis(200);

/// The store as the control tasks use it.
pub(super) struct StoreAccess {
    client: StoreClient,
    permits: Semaphore,
    events: EventSender,
    reported: Mutex<Option<Instant>>,
}

impl StoreAccess {
    pub(super) fn new(options: StoreOptions, events: EventSender) -> Self {
        Self {
            client: StoreClient::new(options),
            permits: Semaphore::new(MAX_CALLS),
            events,
            reported: Mutex::new(None),
        }
    }

    pub(super) fn client(&self) -> &StoreClient {
        &self.client
    }

    /// Whether work for the store is worth a call now.
    pub(super) fn is_available(&self) -> bool {
        let health = self.client.health();
        health.last_response.is_some() && health.consecutive_failures < FAILURES_UNTIL_CLOSED
    }

    /// Time since the store answered last.
    pub(super) fn age(&self) -> Option<Duration> {
        Some(self.client.health().last_response?.elapsed())
    }

    /// Runs a blocking operation.
    pub(super) async fn call<T: Send + 'static>(
        &self,
        operation: impl FnOnce(&StoreClient) -> T + Send + 'static,
    ) -> T {
        let permit = self.permits.acquire().await;
        let client = self.client.clone();
        let result = tokio::task::spawn_blocking(move || operation(&client)).await;
        drop(permit);
        self.report();
        result.expect("store operations do not panic")
    }

    /// Tells the reducer that the store was reached, if it was since the last report.
    pub(super) fn report(&self) {
        let Some(answered) = self.client.health().last_response else {
            return;
        };
        let mut reported = super::shared::lock(&self.reported);
        if reported.is_none_or(|last| answered >= last + REPORT_PERIOD) {
            *reported = Some(answered);
            self.events.send(Event::StoreReached);
        }
    }
}
