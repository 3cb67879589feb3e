//! Keeps configuration, targets, hosts and suspects up to date from the store.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use mimosagap_platform::store::{ChangeBatch, StoreCall, StoreChange, StoreStatusError};
use mimosagap_platform::{config, entry, names, store};
use mimosagap_routing::change_source::{ChangeSource, ReaderHost, SourceSelector};
use mimosagap_routing::hosts::{self, HostCapacity, HostRecord};
use mimosagap_routing::quarantine::{CRASH_RETENTION, CrashFingerprint, RequestFingerprint};
use mimosagap_routing::targets;
use rand::Rng;

use crate::change_feed::{FeedAnswer, FeedClient, FeedError};
use crate::log::LogEvent;
use crate::state::{Gateway, STORE_UNREACHABLE, SharedGateway};
use crate::store::{StoreClient, StoreError};

/// Everything in the store: configuration, targets, hosts and suspects take one watch.
const ALL_KEYS: &str = "";

/// Store keys of hosts.
const HOSTS_PREFIX: &str = "mimosagap/hosts/";

/// Store keys of requests that were at a crash.
const SUSPECTS_PREFIX: &str = "mimosagap/suspects/";

/// A watch waits for a change this long. Its answer is also the proof that nothing changed, which
/// has to be a few times younger than the bound on revoked keys.
const WATCH_WAIT: Duration = Duration::from_millis(700);

/// Pause between two questions, so that a call brings the changes of several targets.
const POLL_PAUSE: Duration = Duration::from_millis(80);

/// Pause after everything was read: many hosts may start at once, and their records would be one
/// change each.
const FIRST_PAUSE: Duration = Duration::from_millis(600);

/// Pause between two questions to the reader of the region.
const READER_PAUSE: Duration = Duration::from_millis(20);

/// Pause before a reader is asked that failed, as all others did: a few questions a second notice
/// the end of an outage as soon as the reader does.
const FAILED_READER_PAUSE: Duration = Duration::from_millis(300);

/// Pauses after a failed call, first and longest.
const FAILURE_PAUSE: (Duration, Duration) = (Duration::from_millis(150), Duration::from_secs(1));

/// Time to live of this host's record. A host that is killed is listed for this long.
const HOST_TTL: Duration = Duration::from_secs(6);

/// The record is renewed at this interval, so that one lost renewal does not end it.
const RENEWAL: Duration = Duration::from_millis(2700);

/// While the store is away, the record is renewed at this interval, so that the end of an outage
/// is noticed even if this host's readers do not tell it.
const AWAY_RETRY: Duration = Duration::from_secs(4);

/// Targets that are gone are kept for this long, for the log and for requests in flight.
const KEEP_GONE: Duration = Duration::from_secs(10);

/// Follows the store for ever, by itself or through a reader of its region.
pub async fn follow(gateway: SharedGateway, client: StoreClient) {
    let mut follower = Follower {
        gateway,
        client,
        feed: FeedClient::default(),
        choice: SourceSelector::default(),
        revision: None,
        failures: 0,
        is_reachable: true,
    };
    loop {
        follower.step().await;
    }
}

struct Follower {
    gateway: SharedGateway,
    client: StoreClient,
    feed: FeedClient,
    choice: SourceSelector,
    /// Up to which revision everything is known.
    revision: Option<u64>,
    failures: u32,
    is_reachable: bool,
}

impl Follower {
    async fn step(&mut self) {
        let now = self.gateway.now();
        let settings = &self.gateway.settings;
        let source = self.gateway.with_state(|state| {
            let hosts = &state.hosts;
            self.choice
                .select(hosts, &settings.host, &settings.region, now)
        });
        match (source, self.revision) {
            (ChangeSource::Reader(reader), Some(after)) => self.ask_reader(&reader, after).await,
            _ => self.ask_store().await,
        }
    }

    async fn ask_reader(&mut self, reader: &ReaderHost, after: u64) {
        if reader.recently_failed {
            tokio::time::sleep(FAILED_READER_PAUSE).await;
        }
        let asked_at = self.gateway.now();
        match self.feed.ask(&self.gateway, reader.address, after).await {
            Ok(answer) => {
                self.revision = Some(answer.revision);
                take_answer(&self.gateway, &answer, asked_at);
                tokio::time::sleep(READER_PAUSE.max(answer.pause)).await;
            }
            Err(error) => {
                if matches!(error, FeedError::Unknown) {
                    self.revision = None;
                }
                let what = "changes of the region's reader";
                let cause = error.to_string();
                self.gateway.log.event(&LogEvent::Trouble { what, cause });
                let now = self.gateway.now();
                self.choice
                    .record_reader_failure(&reader.name, error.failure(), now);
            }
        }
    }

    async fn ask_store(&mut self) {
        let is_first = self.revision.is_none();
        let result = match self.revision {
            None => read_all(&self.gateway, &self.client).await,
            Some(after) => read_changes(&self.gateway, &self.client, after).await,
        };
        match result {
            Ok(at) => {
                self.revision = Some(at);
                self.failures = 0;
                self.choice.record_store_success();
                self.set_reachable(true, String::new());
                let pause = if is_first { FIRST_PAUSE } else { POLL_PAUSE };
                tokio::time::sleep(pause).await;
            }
            Err(StoreError::Refused(StoreStatusError::HistoryGone)) => self.revision = None,
            Err(error) => {
                self.choice.record_store_failure(self.gateway.now());
                self.set_reachable(false, error.to_string());
                // What vanishes from now on may only have lapsed; see `settle`.
                self.gateway
                    .with_state(|state| state.store_recovered_at = Some(STORE_UNREACHABLE));
                // Hosts that ask this one look for another reader.
                self.gateway.store_changed.notify_waiters();
                self.failures += 1;
                tokio::time::sleep(failure_pause(&self.gateway, self.failures)).await;
            }
        }
    }

    fn set_reachable(&mut self, reachable: bool, cause: String) {
        if self.is_reachable != reachable {
            self.is_reachable = reachable;
            self.gateway
                .log
                .event(&LogEvent::Store { reachable, cause });
        }
    }
}

/// Takes what a reader answered to a question of `asked_at`.
fn take_answer(gateway: &SharedGateway, answer: &FeedAnswer, asked_at: Duration) {
    let now = gateway.now();
    let returned = answer.returned.map(|since| now.saturating_sub(since));
    gateway.with_state(|state| state.store_recovered_at = returned);
    if answer.is_whole {
        take_all(gateway, &answer.changes, answer.revision);
    } else {
        take_changes(gateway, &answer.changes, answer.revision);
    }
    // The reader had asked this long before it answered. It got the question after it was sent and
    // answered no sooner than it says.
    let heard = (asked_at + answer.held).saturating_sub(answer.age);
    gateway.with_state(|state| state.config.confirm_by_watch(heard));
}

fn take_changes(gateway: &SharedGateway, changes: &[StoreChange], revision: u64) {
    apply(gateway, changes);
    gateway.with_state(|state| state.mirror.apply(changes, revision));
    gateway.store_changed.notify_waiters();
}

fn take_all(gateway: &SharedGateway, items: &[StoreChange], revision: u64) {
    let keys: HashSet<String> = items.iter().map(|change| change.key.clone()).collect();
    apply(gateway, items);
    remove_unlisted(gateway, &keys);
    gateway.with_state(|state| state.mirror.reset(items, revision));
    gateway.store_changed.notify_waiters();
}

/// The pause after a number of failures in a row, spread over hosts.
fn failure_pause(gateway: &Gateway, failures: u32) -> Duration {
    let (first, longest) = FAILURE_PAUSE;
    let pause = (first * 2_u32.saturating_pow(failures - 1)).min(longest);
    gateway.with_state(|state| pause.mul_f64(state.rng.random_range(0.7..1.3)))
}

/// Reads everything. Returns the revision from which changes follow.
async fn read_all(gateway: &SharedGateway, client: &StoreClient) -> Result<u64, StoreError> {
    let asked_at = gateway.now();
    let mut after = String::new();
    let mut first_revision = None;
    let mut listed = Vec::new();
    loop {
        let call = StoreCall::Range {
            prefix: ALL_KEYS.to_owned(),
            after,
        };
        let page = decode(&client.call(&call).await?)?;
        first_revision.get_or_insert(page.revision);
        let last = page.changes.last().map(|change| change.key.clone());
        listed.extend(page.changes);
        match last {
            Some(last) if page.has_more => after = last,
            _ => break,
        }
    }
    let revision = first_revision.unwrap_or(0);
    settle(gateway);
    take_all(gateway, &listed, revision);
    gateway.with_state(|state| state.config.confirm_by_read(asked_at));
    Ok(revision)
}

async fn read_changes(
    gateway: &SharedGateway,
    client: &StoreClient,
    after: u64,
) -> Result<u64, StoreError> {
    let asked_at = gateway.now();
    let call = StoreCall::Watch {
        prefix: ALL_KEYS.to_owned(),
        after,
        wait: WATCH_WAIT,
    };
    let changes = decode(&client.call(&call).await?)?;
    let revision = changes.revision.max(after);
    settle(gateway);
    take_changes(gateway, &changes.changes, revision);
    gateway.with_state(|state| state.config.confirm_by_watch(asked_at));
    Ok(revision)
}

fn decode(body: &[u8]) -> Result<ChangeBatch, StoreError> {
    store::decode_changes(body).map_err(StoreError::Decode)
}

/// The store answered: from now on entries that lapsed have a short time to come back.
fn settle(gateway: &Gateway) {
    let now = gateway.now();
    gateway.with_state(|state| {
        if state.store_recovered_at == Some(STORE_UNREACHABLE) {
            state.store_recovered_at = Some(now);
        }
    });
}

/// When an entry that has just vanished counts as gone.
fn gone_at(gateway: &Gateway, grace: Duration) -> Duration {
    let now = gateway.now();
    let returned = gateway.with_state(|state| state.store_recovered_at);
    returned.map_or(now, |at| now.max(at.saturating_add(grace)))
}

fn apply(gateway: &SharedGateway, changes: &[StoreChange]) {
    for change in changes {
        if change.key == names::CONFIG_KEY {
            apply_config(gateway, change);
        } else if let Some(instance) = entry::instance_from_key(&change.key) {
            apply_target(gateway, instance, change.value.as_deref());
        } else if let Some(name) = change.key.strip_prefix(HOSTS_PREFIX) {
            apply_host(gateway, name, change.value.as_deref());
        } else if let Some(marks) = change.key.strip_prefix(SUSPECTS_PREFIX) {
            apply_suspect(gateway, marks);
        }
    }
    let now = gateway.now();
    gateway.with_state(|state| {
        state.hosts.purge_removed(now);
        state.targets.purge_removed(now, KEEP_GONE);
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
}

fn apply_config(gateway: &SharedGateway, change: &StoreChange) {
    let Some(value) = &change.value else {
        return;
    };
    let revision = change.revision;
    if gateway.with_state(|state| state.config.revision()) >= revision {
        return;
    }
    match config::decode(value) {
        Ok(fleet) => {
            let version = fleet.version;
            let engines: HashMap<_, _> = fleet
                .services()
                .filter_map(|service| service.engine.map(|engine| (service.name.clone(), engine)))
                .collect();
            let is_new = gateway.with_state(|state| {
                let is_new = state.config.apply(revision, fleet);
                if is_new {
                    state.targets.set_engine_specs(engines);
                }
                is_new
            });
            if is_new {
                gateway
                    .metrics
                    .config_version
                    .set(i64::try_from(version).unwrap_or(i64::MAX));
                gateway
                    .log
                    .event(&LogEvent::ConfigInForce { version, revision });
            }
        }
        Err(error) => gateway.log.event(&LogEvent::ConfigUnreadable {
            revision,
            cause: error.to_string(),
        }),
    }
}

fn apply_target(gateway: &SharedGateway, instance: &str, value: Option<&[u8]>) {
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
    let (is_draining, address) = (entry.is_draining, entry.address);
    let (_, is_news) = gateway.with_state(|state| {
        let targets = &mut state.targets;
        let distance = targets.locality_between(&gateway.settings.zone, &entry.zone);
        targets.upsert(entry, distance, now)
    });
    if !is_news {
        return;
    }
    if is_draining {
        leaves(gateway, instance, "draining");
    } else {
        gateway.log.event(&LogEvent::TargetListed {
            target: instance,
            address: address.to_string(),
        });
        gateway.capacity_freed.notify_waiters();
    }
}

fn remove_target(gateway: &SharedGateway, instance: &str) {
    let gone_at = gone_at(gateway, targets::OUTAGE_GRACE);
    let key = gateway.with_state(|state| state.targets.mark_removed(instance, gone_at));
    if key.is_some() {
        leaves(gateway, instance, "removed");
    }
}

fn leaves(gateway: &SharedGateway, target: &str, source: &str) {
    gateway
        .log
        .event(&LogEvent::TargetLeaving { target, source });
    gateway.target_leaving.notify_waiters();
}

fn apply_host(gateway: &SharedGateway, name: &str, value: Option<&[u8]>) {
    let record = value.and_then(|value| serde_json::from_slice::<HostRecord>(value).ok());
    let gone_at = gone_at(gateway, hosts::OUTAGE_GRACE);
    let listed = record.is_some();
    gateway.with_state(|state| match record {
        Some(record) => state.hosts.upsert(name, record),
        None => state.hosts.mark_removed(name, gone_at),
    });
    gateway.log.event(&LogEvent::Host { name, listed });
}

fn apply_suspect(gateway: &SharedGateway, marks: &str) {
    let parse = |text: &str| u64::from_str_radix(text, 16).ok();
    let marks = marks
        .split_once('/')
        .and_then(|(request, crash)| Some((parse(request)?, parse(crash)?)));
    if let Some((request, crash)) = marks {
        let now = gateway.now();
        gateway.with_state(|state| {
            let quarantine = &mut state.quarantine;
            quarantine.record_crash(RequestFingerprint(request), CrashFingerprint(crash), now);
        });
    }
}

/// After everything was read: what is known but not listed has vanished.
fn remove_unlisted(gateway: &SharedGateway, keys: &HashSet<String>) {
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
        apply_host(gateway, &host, None);
    }
}

/// Keeps this host's record in the store until the process stops, and writes suspicions.
pub async fn register(gateway: SharedGateway, client: StoreClient) {
    let settings = &gateway.settings;
    let record = HostRecord {
        caller_address: settings.caller_address,
        peer_address: std::net::SocketAddr::new(settings.ip, settings.peer_port),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        capacity: HostCapacity {
            cpu_millicores: settings.cpu_permille,
            link_mbps: settings.link_mbps,
        },
    };
    let value = serde_json::to_vec(&record).unwrap_or_default();
    let key = format!("{HOSTS_PREFIX}{}", settings.host);
    let mut lease = None;
    let mut failures = 0;
    loop {
        if gateway.is_stopping() {
            if let Some(lease) = lease.take() {
                // The lease ends by itself if the store does not hear of it.
                let _ = client.call(&StoreCall::RevokeLease { lease }).await;
            }
            return;
        }
        match renew(&client, lease, &key, &value).await {
            Ok(renewed) => {
                lease = Some(renewed);
                failures = 0;
                write_suspicions(&gateway, &client).await;
                let stop_or_news = gateway.registration_wakeup.notified();
                let _ = tokio::time::timeout(RENEWAL, stop_or_news).await;
            }
            Err(error) => {
                if matches!(error, StoreError::Refused(StoreStatusError::NotFound)) {
                    lease = None;
                    continue;
                }
                failures += 1;
                tokio::time::sleep(failure_pause(&gateway, failures)).await;
                let _ = tokio::time::timeout(AWAY_RETRY, store_returns(&gateway)).await;
            }
        }
    }
}

/// Waits while the store is away, as far as this host has heard.
async fn store_returns(gateway: &SharedGateway) {
    loop {
        let news = gateway.store_changed.notified();
        if gateway.with_state(|state| state.store_recovered_at) != Some(STORE_UNREACHABLE) {
            return;
        }
        news.await;
    }
}

async fn renew(
    client: &StoreClient,
    lease: Option<u64>,
    key: &str,
    value: &[u8],
) -> Result<u64, StoreError> {
    if let Some(lease) = lease {
        client.call(&StoreCall::KeepAlive { lease }).await?;
        return Ok(lease);
    }
    let body = client
        .call(&StoreCall::GrantLease { ttl: HOST_TTL })
        .await?;
    let lease = store::decode_lease(&body).map_err(StoreError::Decode)?;
    let put = StoreCall::Put {
        key: key.to_owned(),
        value: value.to_vec(),
        lease,
    };
    client.call(&put).await?;
    Ok(lease)
}

async fn write_suspicions(gateway: &Rc<Gateway>, client: &StoreClient) {
    let records = std::mem::take(&mut *gateway.pending_suspects.borrow_mut());
    if records.is_empty() {
        return;
    }
    let result = try_write_suspicions(client, &records).await;
    if let Err(error) = result {
        gateway.log.event(&LogEvent::Trouble {
            what: "suspicions are not in the store yet",
            cause: error.to_string(),
        });
        gateway.pending_suspects.borrow_mut().extend(records);
    }
}

async fn try_write_suspicions(client: &StoreClient, records: &[String]) -> Result<(), StoreError> {
    let body = client
        .call(&StoreCall::GrantLease {
            ttl: CRASH_RETENTION,
        })
        .await?;
    let lease = store::decode_lease(&body).map_err(StoreError::Decode)?;
    for record in records {
        let put = StoreCall::Put {
            key: format!("{SUSPECTS_PREFIX}{record}"),
            value: Vec::new(),
            lease,
        };
        client.call(&put).await?;
    }
    Ok(())
}
