//! Keeps configuration, targets, hosts and suspicions up to date from the store.
//!
//! One task follows the changes, either at the store itself or through a host of the region that
//! does (a reader).

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use mimosagap_platform::store::{ChangeBatch, StoreCall, StoreChange, StoreStatusError};
use mimosagap_platform::{config, entry, names, store};
use mimosagap_routing::change_source::{ChangeSource, ReaderHost, SourceSelector};
use mimosagap_routing::hosts::{self, HostRecord};
use mimosagap_routing::store_revision::{EraObservation, StoreEra, StoreRevision};
use mimosagap_routing::targets;
use rand::Rng;

use crate::change_feed::{FeedClient, FeedError, FeedResponse};
use crate::evacuation;
use crate::log::LogEvent;
use crate::mirror::KEPT_VALUE_REVISION;
use crate::residency;
use crate::state::{Gateway, STORE_UNREACHABLE, SharedGateway};
use crate::store::{StoreClient, StoreError};
use crate::store_era::{
    adopt_newer_config, call_store, is_restored_entry, listed_peers, observe_era,
    recheck_restored_entries,
};
use crate::stream_records::{self, STREAMS_PREFIX};
use crate::suspicion::{self, SUSPICIONS_PREFIX};
use crate::target_notices;
use crate::version_admission::{self, VERSIONS_ERA_KEY, VERSIONS_PREFIX};

/// Prefix of all keys: one watch covers configuration, targets, hosts and suspicions.
const ALL_KEYS_PREFIX: &str = "";

/// Key prefix of the records of hosts.
pub const HOSTS_PREFIX: &str = "mimosagap/hosts/";

/// Longest wait of a watch for a change. The response also proves that nothing changed, and that
/// proof has to be several times more recent than the bound on revoked keys.
const WATCH_WAIT: Duration = Duration::from_millis(700);

/// Delay between two watches, so that one call returns the changes of several targets.
const WATCH_DELAY: Duration = Duration::from_millis(80);

/// Delay between two watches if the first one returned only records of streams, which come several
/// times a second while engines of two versions serve.
const RECORDS_WATCH_DELAY: Duration = Duration::from_millis(250);

/// Number of changes from which a batch may be one of several, so that the next watch does not wait.
const FULL_BATCH_CHANGES: usize = 16;

/// Delay after a full read. Many hosts may start at once, and each of their records would otherwise
/// cost a watch of its own.
const FULL_READ_DELAY: Duration = Duration::from_millis(600);

/// Shortest delay between two requests to the reader of the region.
const READER_POLL_DELAY: Duration = Duration::from_millis(20);

/// Delay before a request to a reader that failed while all others failed, too. A few requests a
/// second detect the end of an outage as soon as the reader does.
const FAILED_READER_DELAY: Duration = Duration::from_millis(300);

/// First and longest delay of the backoff after failed calls.
const FAILURE_BACKOFF: (Duration, Duration) = (Duration::from_millis(150), Duration::from_secs(1));

/// Time for which removed targets are kept, for the log, for requests in flight, and to recognize
/// them in a store that comes back from a copy in which they are still listed.
const REMOVED_TARGET_RETENTION: Duration = Duration::from_secs(30);

/// Longest time for which a host that starts looks for a newer configuration at other hosts.
const MAX_CONFIG_SEARCH: Duration = Duration::from_millis(500);

/// Follows the store until the process ends, directly or through a reader of its region.
pub async fn follow_store(gateway: SharedGateway, client: StoreClient) {
    let mut follower = StoreFollower {
        gateway,
        client,
        feed_client: FeedClient::default(),
        source_selector: SourceSelector::default(),
        revision: None,
        consecutive_failures: 0,
        is_store_reachable: true,
    };
    loop {
        follower.sync_once().await;
    }
}

/// State of the task that follows the store.
struct StoreFollower {
    gateway: SharedGateway,
    client: StoreClient,
    feed_client: FeedClient,
    source_selector: SourceSelector,
    /// Revision up to which all changes are applied; `None` requires a full read.
    revision: Option<StoreRevision>,
    consecutive_failures: u32,
    is_store_reachable: bool,
}

impl StoreFollower {
    async fn sync_once(&mut self) {
        let now = self.gateway.now();
        let settings = &self.gateway.settings;
        let source = self.gateway.with_state(|state| {
            let hosts = &state.hosts;
            self.source_selector
                .select(hosts, &settings.host, &settings.region, now)
        });
        match (source, self.revision) {
            (ChangeSource::Reader(reader), Some(after)) => self.poll_reader(&reader, after).await,
            _ => self.poll_store().await,
        }
        recheck_restored_entries(&self.gateway);
        evacuation::end_holds(&self.gateway);
    }

    async fn poll_reader(&mut self, reader: &ReaderHost, after: StoreRevision) {
        if reader.recently_failed {
            tokio::time::sleep(FAILED_READER_DELAY).await;
        }
        let requested_at = self.gateway.now();
        let response = self
            .feed_client
            .poll(&self.gateway, reader.address, after)
            .await;
        let response = response.and_then(|response| {
            let era = Some(response.revision.era);
            match observe_era(&self.gateway, era, requested_at) {
                EraObservation::Outdated => Err(FeedError::Stale),
                EraObservation::Changed { .. } if !response.is_snapshot => {
                    Err(FeedError::UnknownBase)
                }
                _ => Ok(response),
            }
        });
        match response {
            Ok(response) => {
                self.revision = Some(response.revision);
                apply_feed_response(&self.gateway, &response, requested_at);
                tokio::time::sleep(READER_POLL_DELAY.max(response.next_poll_delay)).await;
            }
            Err(error) => {
                if matches!(error, FeedError::UnknownBase) {
                    self.revision = None;
                }
                let what = "changes of the store cannot be read from another host";
                let cause = error.to_string();
                self.gateway.log.event(&LogEvent::Trouble { what, cause });
                let now = self.gateway.now();
                self.source_selector
                    .record_reader_failure(&reader.name, error.failure(), now);
            }
        }
    }

    async fn poll_store(&mut self) {
        let era = self.gateway.with_state(|state| state.store_era.current());
        let known_revision = self.revision.filter(|revision| revision.era == era);
        let result = match known_revision {
            None => read_all_keys(&self.gateway, &self.client)
                .await
                .map(|revision| (revision, FULL_READ_DELAY)),
            Some(after) => watch_changes(&self.gateway, &self.client, after).await,
        };
        match result {
            Ok((revision, delay)) => {
                self.revision = Some(revision);
                self.consecutive_failures = 0;
                self.source_selector.record_store_success();
                self.set_reachable(true, String::new());
                tokio::time::sleep(delay).await;
            }
            Err(StoreError::Rejected(StoreStatusError::HistoryGone) | StoreError::NewEra) => {
                self.revision = None;
            }
            Err(error) => {
                self.source_selector
                    .record_store_failure(self.gateway.now());
                self.set_reachable(false, error.to_string());
                // Entries that vanish from now on may merely have lost their lease; see
                // `end_outage`.
                self.gateway
                    .with_state(|state| state.store_recovered_at = Some(STORE_UNREACHABLE));
                // Hosts that use this one as their reader have to choose another.
                self.gateway.store_changed.notify_waiters();
                self.consecutive_failures += 1;
                tokio::time::sleep(failure_backoff(&self.gateway, self.consecutive_failures)).await;
            }
        }
    }

    fn set_reachable(&mut self, reachable: bool, cause: String) {
        if self.is_store_reachable != reachable {
            self.is_store_reachable = reachable;
            self.gateway
                .log
                .event(&LogEvent::Store { reachable, cause });
        }
    }
}

/// Applies the response of a reader to a request sent at `requested_at`.
fn apply_feed_response(gateway: &SharedGateway, response: &FeedResponse, requested_at: Duration) {
    let now = gateway.now();
    let recovered_at = response
        .since_recovery
        .map(|elapsed| now.saturating_sub(elapsed));
    gateway.with_state(|state| state.store_recovered_at = recovered_at);
    if response.is_snapshot {
        apply_full_read(gateway, &response.changes, response.revision);
    } else {
        apply_changes(gateway, &response.changes, response.revision);
    }
    // The reader responded at `requested_at + held` at the earliest, and had polled the store `age`
    // before that. The sum is a lower bound on the time of that poll.
    let polled_at = (requested_at + response.held).saturating_sub(response.age);
    gateway.with_state(|state| state.config.confirm_by_watch(polled_at));
}

/// Applies changes, adds them to the mirror and wakes the tasks that wait for changes. Records of
/// streams are not served to other hosts: those that need one read it from the store.
fn apply_changes(gateway: &SharedGateway, changes: &[StoreChange], revision: StoreRevision) {
    let outcome = dispatch_changes(gateway, changes, revision.era);
    if has_only_stream_records(changes) {
        return;
    }
    let mirrored = without_stream_records(changes);
    gateway.with_state(|state| {
        let kept = outcome.kept_config(state.mirror.value(names::CONFIG_KEY));
        state.mirror.apply(&mirrored, revision.number);
        if let Some(value) = kept {
            state.mirror.keep_value(names::CONFIG_KEY, value);
        }
    });
    gateway.store_changed.notify_waiters();
}

/// Replaces everything by a full listing of the store and wakes the tasks that wait for changes.
fn apply_full_read(gateway: &SharedGateway, items: &[StoreChange], revision: StoreRevision) {
    let keys: HashSet<String> = items.iter().map(|change| change.key.clone()).collect();
    let outcome = dispatch_changes(gateway, items, revision.era);
    remove_unlisted(gateway, &keys);
    evacuation::apply_listing(gateway, &keys, revision.era);
    gateway.with_state(|state| {
        let kept = outcome.kept_config(state.mirror.value(names::CONFIG_KEY));
        let mirrored = without_stream_records(items);
        state.mirror.reset(&mirrored, revision);
        if let Some(value) = kept {
            state.mirror.keep_value(names::CONFIG_KEY, value);
        }
    });
    gateway.store_changed.notify_waiters();
}

fn is_stream_record(change: &StoreChange) -> bool {
    change.key.starts_with(STREAMS_PREFIX)
}

/// Whether there are changes, and all of them are records of streams.
fn has_only_stream_records(changes: &[StoreChange]) -> bool {
    !changes.is_empty() && changes.iter().all(is_stream_record)
}

fn without_stream_records(changes: &[StoreChange]) -> Vec<StoreChange> {
    let others = changes.iter().filter(|change| !is_stream_record(change));
    others.cloned().collect()
}

/// What a batch of changes says about the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigOutcome {
    /// It is the one in force, or there is none among the changes.
    InForce,
    /// It is older than the one in force.
    Older,
}

impl ConfigOutcome {
    /// The value to keep in the mirror in place of an older one, so that other hosts get the
    /// configuration in force from this one.
    fn kept_config(self, mirrored: Option<&[u8]>) -> Option<Vec<u8>> {
        mirrored.filter(|_| self == Self::Older).map(<[u8]>::to_vec)
    }
}

/// Backoff after consecutive failures, with jitter so that hosts do not retry at the same time.
pub fn failure_backoff(gateway: &Gateway, consecutive_failures: u32) -> Duration {
    let (first, longest) = FAILURE_BACKOFF;
    let delay = (first * 2_u32.saturating_pow(consecutive_failures - 1)).min(longest);
    gateway.with_state(|state| delay.mul_f64(state.rng.random_range(0.7..1.3)))
}

/// Reads all items under a prefix. Returns them with the revision from which changes follow.
pub async fn read_range(
    gateway: &SharedGateway,
    client: &StoreClient,
    prefix: &str,
) -> Result<(Vec<StoreChange>, u64), StoreError> {
    let mut after = String::new();
    let mut first_revision = None;
    let mut items = Vec::new();
    loop {
        let call = StoreCall::Range {
            prefix: prefix.to_owned(),
            after,
        };
        let era = gateway.with_state(|state| state.store_era.current());
        let page = decode(&call_store(gateway, client, &call).await?)?;
        if era != gateway.with_state(|state| state.store_era.current()) && first_revision.is_some()
        {
            // The pages so far are those of another store.
            return Err(StoreError::NewEra);
        }
        first_revision.get_or_insert(page.revision);
        let last_key = page.changes.last().map(|change| change.key.clone());
        items.extend(page.changes);
        match last_key {
            Some(last_key) if page.has_more => after = last_key,
            _ => return Ok((items, first_revision.unwrap_or(0))),
        }
    }
}

/// Reads all keys. Returns the revision from which changes follow.
async fn read_all_keys(
    gateway: &SharedGateway,
    client: &StoreClient,
) -> Result<StoreRevision, StoreError> {
    let requested_at = gateway.now();
    let (items, first_revision) = read_range(gateway, client, ALL_KEYS_PREFIX).await?;
    let era = gateway.with_state(|state| state.store_era.current());
    let revision = StoreRevision::new(era, first_revision);
    end_outage(gateway);
    if gateway.config().is_none() {
        // The store may have come back from a copy just now, and other hosts know better.
        let peers = listed_peers(gateway, &items);
        let search = adopt_newer_config(gateway, peers, era);
        // Without an answer in time the store's configuration has to do.
        let _ = tokio::time::timeout(MAX_CONFIG_SEARCH, search).await;
    }
    apply_full_read(gateway, &items, revision);
    gateway.with_state(|state| state.config.confirm_by_read(requested_at));
    Ok(revision)
}

/// Waits for changes after a revision and applies them. Returns the revision that they reach, and the
/// delay before the next watch.
async fn watch_changes(
    gateway: &SharedGateway,
    client: &StoreClient,
    after: StoreRevision,
) -> Result<(StoreRevision, Duration), StoreError> {
    let requested_at = gateway.now();
    let call = StoreCall::Watch {
        prefix: ALL_KEYS_PREFIX.to_owned(),
        after: after.number,
        wait: WATCH_WAIT,
    };
    let changes = decode(&call_store(gateway, client, &call).await?)?;
    let era = gateway.with_state(|state| state.store_era.current());
    if era != after.era || changes.revision < after.number {
        // The numbers are those of another history, whether the store says so or not.
        return Err(StoreError::NewEra);
    }
    let revision = StoreRevision::new(era, changes.revision);
    end_outage(gateway);
    apply_changes(gateway, &changes.changes, revision);
    gateway.with_state(|state| state.config.confirm_by_watch(requested_at));
    let delay = if changes.changes.len() < FULL_BATCH_CHANGES
        && has_only_stream_records(&changes.changes)
    {
        RECORDS_WATCH_DELAY
    } else {
        WATCH_DELAY
    };
    Ok((revision, delay))
}

fn decode(body: &[u8]) -> Result<ChangeBatch, StoreError> {
    store::decode_changes(body).map_err(StoreError::Decode)
}

/// Notes that the store responds. Entries whose leases lapsed during an outage have a short time
/// from now on to be registered again.
fn end_outage(gateway: &Gateway) {
    let now = gateway.now();
    gateway.with_state(|state| {
        if state.store_recovered_at == Some(STORE_UNREACHABLE) {
            state.store_recovered_at = Some(now);
        }
    });
}

/// When an entry that has just vanished counts as removed: at once, or `grace` after the end of an
/// outage.
fn removal_time(gateway: &Gateway, grace: Duration) -> Duration {
    let now = gateway.now();
    let recovered_at = gateway.with_state(|state| state.store_recovered_at);
    recovered_at.map_or(now, |at| now.max(at.saturating_add(grace)))
}

/// Applies each change by the prefix of its key, and purges targets and hosts whose retention after
/// their removal has ended.
fn dispatch_changes(
    gateway: &SharedGateway,
    changes: &[StoreChange],
    era: StoreEra,
) -> ConfigOutcome {
    let mut outcome = ConfigOutcome::InForce;
    for change in changes {
        if change.key == names::CONFIG_KEY {
            outcome = apply_config(gateway, change, era);
        } else if let Some(zone) = names::evacuated_zone(&change.key) {
            evacuation::apply_key(gateway, zone, change.value.is_some(), era);
        } else if let Some(instance) = entry::instance_from_key(&change.key) {
            apply_target(gateway, instance, change.value.as_deref());
        } else if let Some(name) = change.key.strip_prefix(HOSTS_PREFIX) {
            let revision = StoreRevision::new(era, change.revision);
            apply_host(gateway, name, change.value.as_deref(), revision);
        } else if change.key.starts_with(VERSIONS_PREFIX) {
            version_admission::apply_version(gateway, &change.key, change.value.as_deref());
        } else if change.key == VERSIONS_ERA_KEY {
            version_admission::apply_recorded_era(gateway, change.value.as_deref());
        } else if change.key.starts_with(STREAMS_PREFIX) {
            // A record that was removed or whose lease ended is needed no longer.
            if let Some(value) = &change.value {
                stream_records::apply_record(gateway, value);
            }
        } else if change.key.starts_with(SUSPICIONS_PREFIX)
            && let Some(value) = &change.value
        {
            suspicion::apply_record(gateway, value);
        }
    }
    let now = gateway.now();
    gateway.with_state(|state| {
        state.sharing_hosts(now);
        state.hosts.purge_removed(now);
        state.targets.purge_removed(now, REMOVED_TARGET_RETENTION);
        let targets = &state.targets;
        state
            .connection_pool
            .expire(now, |key| targets.get(key).is_some());
        let known = &gateway.metrics.known_members;
        let count = i64::try_from(targets.iter().count()).unwrap_or(i64::MAX);
        known.with_label_values(&["targets"]).set(count);
        let count = i64::try_from(state.hosts.len()).unwrap_or(i64::MAX);
        known.with_label_values(&["hosts"]).set(count);
    });
    outcome
}

/// Applies a configuration of the store, or one that another host has in force.
pub fn apply_config(gateway: &SharedGateway, change: &StoreChange, era: StoreEra) -> ConfigOutcome {
    let Some(value) = &change.value else {
        return ConfigOutcome::InForce;
    };
    let revision = StoreRevision::new(era, change.revision);
    let known_revision = gateway.with_state(|state| state.config.revision());
    if known_revision == revision && revision.number != KEPT_VALUE_REVISION {
        return ConfigOutcome::InForce;
    }
    match config::decode(value) {
        Ok(fleet_config) => {
            let version = fleet_config.version;
            let version_in_force = gateway.config().map(|config| config.version);
            if let Some(version_in_force) = version_in_force
                && version < version_in_force
            {
                gateway.log.event(&LogEvent::ConfigSkipped {
                    version,
                    revision: revision.number,
                    version_in_force,
                    revision_in_force: known_revision.number,
                });
                return ConfigOutcome::Older;
            }
            if revision.number == KEPT_VALUE_REVISION && version_in_force == Some(version) {
                return ConfigOutcome::InForce;
            }
            let engines: HashMap<_, _> = fleet_config
                .services()
                .filter_map(|service| service.engine.map(|engine| (service.name.clone(), engine)))
                .collect();
            // Plain targets do not become cold; a bound would slow them down for good.
            let cold_specs: HashMap<_, _> = fleet_config
                .services()
                .filter(|service| service.engine.is_some())
                .filter_map(|service| Some((service.name.clone(), service.cold?)))
                .collect();
            let is_new = gateway.with_state(|state| {
                let is_new = state.config.apply(revision, fleet_config);
                if is_new {
                    state.targets.set_engine_specs(engines);
                    state.targets.set_cold_specs(cold_specs);
                }
                is_new
            });
            if is_new {
                gateway
                    .metrics
                    .config_version
                    .set(i64::try_from(version).unwrap_or(i64::MAX));
                gateway.log.event(&LogEvent::ConfigInForce {
                    version,
                    revision: revision.number,
                });
                if version_in_force != Some(version)
                    && let Some(config) = gateway.config()
                {
                    residency::log_unknown_regions(gateway, &config);
                }
            }
            ConfigOutcome::InForce
        }
        Err(error) => {
            gateway.log.event(&LogEvent::ConfigUnreadable {
                revision: revision.number,
                cause: error.to_string(),
            });
            ConfigOutcome::InForce
        }
    }
}

/// Applies the entry of a target; without a value it was removed.
pub fn apply_target(gateway: &SharedGateway, instance: &str, value: Option<&[u8]>) {
    let Some(value) = value else {
        remove_target(gateway, instance);
        return;
    };
    let entry = match entry::decode(instance, value) {
        Ok(entry) => entry,
        Err(error) => {
            gateway.log.event(&LogEvent::EntryUnreadable {
                key: instance,
                cause: error.to_string(),
            });
            remove_target(gateway, instance);
            return;
        }
    };
    let now = gateway.now();
    if is_restored_entry(gateway, instance, entry.started_unix_ms) {
        gateway.with_state(|state| {
            let restored = &mut state.restored_entries;
            restored.insert(instance.to_owned(), value.to_vec());
        });
        return;
    }
    let (is_draining, address, cold) = (entry.is_draining, entry.address, entry.cold);
    let version = entry.version.clone();
    let (key, is_changed, is_new_claim) = gateway.with_state(|state| {
        let targets = &mut state.targets;
        // A renewed entry repeats what the target said before.
        let known = targets
            .find_instance(instance)
            .and_then(|key| targets.get(key));
        let is_new_claim = known.is_none_or(|known| known.entry.cold != cold);
        let locality = targets.locality_between(&gateway.settings.zone, &entry.zone);
        let (key, is_changed) = targets.upsert(entry, locality, now);
        (key, is_changed, is_new_claim)
    });
    if is_new_claim {
        target_notices::record_cold_claim(gateway, key, cold, "entry");
    }
    if !is_changed {
        return;
    }
    if !is_draining {
        target_notices::log_cold(gateway, key, "listed");
    }
    if is_draining {
        announce_leaving(gateway, instance, "draining");
    } else {
        gateway.log.event(&LogEvent::TargetListed {
            target: instance,
            address: address.to_string(),
            version: version.as_str(),
        });
        gateway.capacity_freed.notify_waiters();
    }
}

fn remove_target(gateway: &SharedGateway, instance: &str) {
    let removed_at = removal_time(gateway, targets::OUTAGE_GRACE);
    let key = gateway.with_state(|state| state.targets.mark_removed(instance, removed_at));
    if key.is_some() {
        announce_leaving(gateway, instance, "removed");
    }
}

/// Logs that a target leaves, and wakes the streams that may have to migrate.
fn announce_leaving(gateway: &SharedGateway, target: &str, source: &str) {
    gateway
        .log
        .event(&LogEvent::TargetLeaving { target, source });
    gateway.target_leaving.notify_waiters();
}

fn apply_host(gateway: &SharedGateway, name: &str, value: Option<&[u8]>, revision: StoreRevision) {
    let record = value.and_then(|value| serde_json::from_slice::<HostRecord>(value).ok());
    let removed_at = removal_time(gateway, hosts::OUTAGE_GRACE);
    let listed = record.is_some();
    gateway.with_state(|state| match record {
        Some(record) => {
            let now = gateway.now();
            state.host_liveness.record_listed(record.peer_address, now);
            state.hosts.upsert(name, record, revision);
        }
        None => state.hosts.mark_removed(name, removed_at),
    });
    gateway.log.event(&LogEvent::Host { name, listed });
    if listed && name != gateway.settings.host {
        target_notices::announce_rate_limits(gateway);
        suspicion::announce_verdicts(gateway);
        evacuation::announce_held(gateway);
    }
}

/// Removes the targets and hosts that a full read did not list.
fn remove_unlisted(gateway: &SharedGateway, keys: &HashSet<String>) {
    version_admission::note_unlisted(gateway, |key| keys.contains(key));
    let (instances, hosts) = gateway.with_state(|state| {
        let instances: Vec<String> = state
            .targets
            .instances()
            .filter(|instance| !keys.contains(&format!("{}{instance}", names::TARGETS_PREFIX)))
            .map(str::to_owned)
            .collect();
        let hosts: Vec<String> = state
            .hosts
            .live()
            .map(|(name, _)| name.to_owned())
            .filter(|name| !keys.contains(&format!("{HOSTS_PREFIX}{name}")))
            .collect();
        (instances, hosts)
    });
    for instance in instances {
        remove_target(gateway, &instance);
    }
    for host in hosts {
        apply_host(gateway, &host, None, StoreRevision::default());
    }
}
