//! Polls one target for its load report and cache events, or probes its port.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use mimosagap_core::{Event, ListedTarget, LoadReport, TargetKind};
use mimosagap_types::prelude::*;
use tokio::time::{MissedTickBehavior, interval};

use super::client::TargetClient;
use super::report::{self, CacheEvent, CacheEventKind};
use crate::relay::connection::{SendError, connect};
use crate::shared::SharedState;

/// The interval of report fetches and probes.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Watches a target. Never returns.
pub async fn watch(shared: Arc<SharedState>, target: ListedTarget) {
    let mut watcher = TargetWatcher {
        client: TargetClient::new(target.address),
        address: target.address,
        incarnation: None,
        preemptions: 0,
        cache_sequence: 0,
        shared,
    };
    let mut ticks = interval(REPORT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        match target.kind {
            TargetKind::Engine { .. } => watcher.fetch_report().await,
            TargetKind::Service => watcher.probe().await,
        }
    }
}

struct TargetWatcher {
    shared: Arc<SharedState>,
    client: TargetClient,
    address: TargetAddress,
    incarnation: Option<Incarnation>,
    preemptions: u64,
    cache_sequence: u64,
}

impl TargetWatcher {
    async fn fetch_report(&mut self) {
        let response = match self.client.get("/metrics").await {
            Ok(response) => response,
            Err(error) => return self.report_unreachable(error),
        };
        let text = std::str::from_utf8(&response.body).unwrap_or_default();
        let Some(report) = report::parse(text).filter(|_| response.status.is_success()) else {
            return self.report_unreachable(SendError::Failed);
        };
        self.update_counters(&report);
        let address = self.address;
        self.shared
            .events
            .send(Event::TargetReported { address, report });
        self.fetch_cache_events().await;
    }

    /// Services publish no load report, so a successful connection counts as one.
    async fn probe(&self) {
        match connect(self.address).await {
            Ok(_) => self.shared.events.send(Event::TargetReported {
                address: self.address,
                report: empty_report(),
            }),
            Err(error) => self.report_unreachable(error),
        }
    }

    fn report_unreachable(&self, error: SendError) {
        self.shared.events.send(Event::TargetUnreachable {
            address: self.address,
            refused: error == SendError::NotConnected { refused: true },
        });
    }

    /// Counts new preemptions. After a restart of the process, its counters begin again at 0.
    fn update_counters(&mut self, report: &LoadReport) {
        if self.incarnation != Some(report.incarnation) {
            self.incarnation = Some(report.incarnation);
            self.preemptions = 0;
            self.cache_sequence = 0;
        }
        let new_preemptions = report.preemptions.saturating_sub(self.preemptions);
        self.preemptions = report.preemptions;
        let address = self.address.to_string();
        let counter = &self.shared.metrics.preemptions;
        counter
            .with_label_values(&[&address])
            .inc_by(new_preemptions);
    }

    async fn fetch_cache_events(&mut self) {
        let path = format!("/kv_events?since={}", self.cache_sequence);
        let Ok(response) = self.client.get(&path).await else {
            return;
        };
        let Ok(events) = serde_json::from_slice::<Vec<CacheEvent>>(&response.body) else {
            return;
        };
        let Some(last) = events.last() else { return };
        let last_sequence = last.sequence;
        let event = self.summarize(&events);
        self.cache_sequence = last_sequence;
        self.shared.events.send(event);
    }

    /// Merges events into one change. The last event of a block decides whether it is cached.
    fn summarize(&self, events: &[CacheEvent]) -> Event {
        let (mut stored, mut removed) = (HashSet::new(), HashSet::new());
        let mut expected_sequence = self.cache_sequence + 1;
        let mut gap = false;
        for event in events {
            gap |= event.sequence != expected_sequence;
            expected_sequence = event.sequence + 1;
            let (added_to, removed_from) = match event.kind {
                CacheEventKind::Stored => (&mut stored, &mut removed),
                CacheEventKind::Removed => (&mut removed, &mut stored),
            };
            for hash in &event.block_hashes {
                added_to.insert(*hash);
                removed_from.remove(hash);
            }
        }
        Event::CacheChanged {
            address: self.address,
            stored: stored.into_iter().collect(),
            removed: removed.into_iter().collect(),
            gap,
        }
    }
}

fn empty_report() -> LoadReport {
    LoadReport {
        incarnation: Incarnation(0),
        running: 0,
        waiting: 0,
        memory_usage: 0.0,
        kv_capacity_tokens: 0,
        preemptions: 0,
        leaving: false,
        age: Duration::ZERO,
    }
}
