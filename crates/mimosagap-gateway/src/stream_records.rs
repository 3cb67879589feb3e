//! Records in the store at which version each stream began, while several versions serve.

use std::time::Duration;

use mimosagap_platform::store::{StoreCall, StoreStatusError};
use mimosagap_routing::stream_origins::{SegmentWrite, StreamRecord};
use rand::Rng;
use tokio::time::timeout;

use crate::lease::{HeldLease, grant_lease, renew_lease};
use crate::log::LogEvent;
use crate::state::SharedGateway;
use crate::store::{StoreClient, StoreError};
use crate::store_era::call_store;
use crate::store_sync::failure_backoff;

/// Key prefix of the records of streams.
pub const STREAMS_PREFIX: &str = "mimosagap/streams/";

/// Shortest interval between two writes; streams that are sent meanwhile share the next one.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);

/// Time to live of the records: they stay for at least two thirds of it after their host was killed.
const RECORD_TTL: Duration = Duration::from_secs(90);

/// Interval of lease renewals while records are needed.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(30);

/// The task that writes the records of this host.
struct RecordWriter {
    gateway: SharedGateway,
    client: StoreClient,
    /// Prefix of the keys of this process. Records of an earlier process of the host stay.
    prefix: String,
    lease: Option<(HeldLease, Duration)>,
    consecutive_failures: u32,
}

/// Writes records until the process ends.
pub async fn maintain_records(gateway: SharedGateway, client: StoreClient) {
    let incarnation: u32 = gateway.with_state(|state| state.rng.random());
    let prefix = format!(
        "{STREAMS_PREFIX}{:016x}-{incarnation:08x}/",
        gateway.host_hash
    );
    let mut writer = RecordWriter {
        gateway,
        client,
        prefix,
        lease: None,
        consecutive_failures: 0,
    };
    loop {
        writer.wait_until_due().await;
        if let Err(error) = writer.write_due().await {
            writer.note_failure(&error).await;
        }
        tokio::time::sleep(WRITE_INTERVAL).await;
    }
}

impl RecordWriter {
    /// Waits until segments are to be written or the lease is to be renewed.
    async fn wait_until_due(&self) {
        let gateway = &self.gateway;
        loop {
            let records_due = gateway.records_due.notified();
            let (has_writes, next_record_at) = gateway.with_state(|state| {
                let origins = &mut state.stream_origins;
                origins.record_due(gateway.now());
                (origins.has_writes(), origins.next_record_at())
            });
            if has_writes {
                return;
            }
            let wait =
                next_record_at.map_or(RENEWAL_INTERVAL, |at| at.saturating_sub(gateway.now()));
            if timeout(wait, records_due).await.is_err() && next_record_at.is_none() {
                return;
            }
        }
    }

    /// Keeps the lease while records are needed, and writes the segments that changed.
    async fn write_due(&mut self) -> Result<(), StoreError> {
        let now = self.gateway.now();
        let (has_writes, has_records) = self.gateway.with_state(|state| {
            let origins = &state.stream_origins;
            (origins.has_writes(), origins.has_live_records(now))
        });
        if !has_writes && !has_records {
            // The lease ends by itself, and the records with it.
            self.lease = None;
            return Ok(());
        }
        let lease = self.current_lease().await?;
        loop {
            let writes = self.gateway.with_state(|state| {
                let now = self.gateway.now();
                state.stream_origins.take_writes(now)
            });
            if writes.is_empty() {
                return Ok(());
            }
            let result =
                call_store(&self.gateway, &self.client, &self.encode(&writes, lease)).await;
            let label = result.as_ref().map_or_else(StoreError::name, |_| "ok");
            let records = &self.gateway.metrics.resumptions.records;
            records
                .with_label_values(&[label])
                .inc_by(writes.len() as u64);
            self.gateway.with_state(|state| match &result {
                Ok(_) => state.stream_origins.confirm_writes(&writes),
                Err(_) => state.stream_origins.fail_writes(&writes),
            });
            result?;
            self.consecutive_failures = 0;
            self.gateway.records_written.notify_waiters();
        }
    }

    /// The lease of the records, renewed if it is due. All records are written again under a new one.
    async fn current_lease(&mut self) -> Result<HeldLease, StoreError> {
        let now = self.gateway.now();
        if let Some((lease, renewed_at)) = self
            .lease
            .filter(|(held, _)| held.is_current(&self.gateway))
        {
            if now >= renewed_at + RENEWAL_INTERVAL {
                renew_lease(&self.gateway, &self.client, lease).await?;
                self.lease = Some((lease, now));
            }
            return Ok(lease);
        }
        let lease = grant_lease(&self.gateway, &self.client, RECORD_TTL).await?;
        self.lease = Some((lease, now));
        self.gateway
            .with_state(|state| state.stream_origins.mark_all_dirty());
        Ok(lease)
    }

    fn encode(&self, writes: &[SegmentWrite], lease: HeldLease) -> StoreCall {
        let key = |write: &SegmentWrite| format!("{}{}", self.prefix, write.segment);
        let puts = writes.iter().filter_map(|write| {
            let record = write.record.as_ref()?;
            let value = bincode::serde::encode_to_vec(record, bincode::config::standard());
            // Encoding into memory does not fail.
            Some((key(write), value.unwrap_or_default()))
        });
        let removed = writes.iter().filter(|write| write.record.is_none());
        StoreCall::Write {
            puts: puts.collect(),
            removals: removed.map(key).collect(),
            lease: lease.id,
        }
    }

    async fn note_failure(&mut self, error: &StoreError) {
        if matches!(
            error,
            StoreError::Rejected(StoreStatusError::NotFound) | StoreError::NewEra
        ) {
            self.lease = None;
        }
        self.gateway.log.event(&LogEvent::Trouble {
            what: "records of streams cannot be written to the store; they are written again",
            cause: error.to_string(),
        });
        self.consecutive_failures += 1;
        let backoff = failure_backoff(&self.gateway, self.consecutive_failures);
        tokio::time::sleep(backoff).await;
        self.gateway.records_due.notify_one();
    }
}

/// Learns the streams in a record of another host.
pub fn apply_record(gateway: &SharedGateway, value: &[u8]) {
    let record = bincode::serde::decode_from_slice::<StreamRecord, _>(
        value,
        bincode::config::standard().with_limit::<MAX_RECORD_BYTES>(),
    );
    match record {
        Ok((record, _)) => {
            let now = gateway.now();
            gateway.with_state(|state| state.stream_origins.learn(&record, now));
        }
        Err(error) => gateway.log.event(&LogEvent::Trouble {
            what: "a record of streams cannot be decoded",
            cause: error.to_string(),
        }),
    }
}

/// Limit on the memory that decoding one record may claim.
const MAX_RECORD_BYTES: usize = 64 << 10;
