//! Keeps configuration, targets, hosts and suspects up to date from the store.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use mimosagap_platform::store::{StoreCall, StoreChange, StoreChanges, StoreRefusal};
use mimosagap_platform::{config, entry, names, store};
use mimosagap_routing::belief::WATCH_SILENCE;
use mimosagap_routing::hosts::{self, HostRecord};
use mimosagap_routing::quarantine::{CrashMark, MEMORY, RequestMark};
use mimosagap_routing::targets::{self, Distance};
use mimosagap_types::prelude::*;
use rand::Rng;

use crate::log::LogEvent;
use crate::state::{Gateway, SharedGateway};
use crate::store::{StoreClient, StoreError};

/// Everything in the store: configuration, targets, hosts and suspects take one watch.
const ALL_KEYS: &str = "";

/// Store keys of hosts.
const HOSTS_PREFIX: &str = "mimosagap/hosts/";

/// Store keys of requests that were at a crash.
const SUSPECTS_PREFIX: &str = "mimosagap/suspects/";

/// A watch waits for a change this long. Entries are renewed every second, so it rarely does.
const WATCH_WAIT: Duration = Duration::from_millis(1000);

/// Pause between two questions, so that a call brings the changes of several targets. Engines are
/// taken away 1.5 s after their notice, and copies take most of that.
const POLL_PAUSE: Duration = Duration::from_millis(200);

/// Pauses after a failed call, first and longest.
const FAILURE_PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(500));

/// Time to live of this host's record. A host that is killed is listed for this long.
const HOST_TTL: Duration = Duration::from_millis(4000);

/// The record is renewed at this interval, so that one lost renewal does not end it.
const RENEWAL: Duration = Duration::from_millis(1300);

/// Targets that are gone are kept for this long, for the log and for requests in flight.
const KEEP_GONE: Duration = Duration::from_secs(10);

/// Follows the store for ever.
pub async fn follow(gateway: SharedGateway, client: StoreClient) {
    let mut failures = 0;
    let mut is_reachable = true;
    let mut revision = None;
    loop {
        let result = match revision {
            None => read_all(&gateway, &client).await,
            Some(after) => read_changes(&gateway, &client, after).await,
        };
        let result = result.inspect(|_| gateway.metrics.store_calls.with_label_values(&["ok"]).inc());
        match result {
            Ok(at) => {
                revision = Some(at);
                failures = 0;
                if !is_reachable {
                    is_reachable = true;
                    let cause = String::new();
                    gateway.log.event(&LogEvent::Store { reachable: true, cause });
                }
                tokio::time::sleep(POLL_PAUSE).await;
            }
            Err(error) => {
                gateway.metrics.store_calls.with_label_values(&[error.name()]).inc();
                if matches!(error, StoreError::Refused(StoreRefusal::HistoryGone)) {
                    revision = None;
                    continue;
                }
                gateway.with(|beliefs| beliefs.grace_until = None);
                if is_reachable {
                    is_reachable = false;
                    let cause = error.to_string();
                    gateway.log.event(&LogEvent::Store { reachable: false, cause });
                }
                failures += 1;
                tokio::time::sleep(failure_pause(&gateway, failures)).await;
            }
        }
        if !is_reachable {
            // What vanished in the meantime may only have lapsed; see `settle`.
            gateway.with(|beliefs| beliefs.grace_until = Some(Duration::MAX));
        }
    }
}

/// The pause after a number of failures in a row, spread over hosts.
fn failure_pause(gateway: &Gateway, failures: u32) -> Duration {
    let (first, longest) = FAILURE_PAUSE;
    let pause = (first * failures).min(longest);
    gateway.with(|beliefs| pause.mul_f64(beliefs.random.random_range(0.7..1.3)))
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
    let keys: HashSet<String> = listed.iter().map(|change| change.key.clone()).collect();
    settle(gateway);
    apply(gateway, listed);
    remove_unlisted(gateway, &keys);
    gateway.with(|beliefs| beliefs.config.prove(asked_at));
    Ok(first_revision.unwrap_or(0))
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
    settle(gateway);
    apply(gateway, changes.changes);
    let proven = asked_at.saturating_sub(WATCH_SILENCE);
    gateway.with(|beliefs| beliefs.config.prove(proven));
    Ok(changes.revision.max(after))
}

fn decode(body: &[u8]) -> Result<StoreChanges, StoreError> {
    store::decode_changes(body).map_err(StoreError::Decode)
}

/// The store answered: from now on entries that lapsed have a short time to come back.
fn settle(gateway: &Gateway) {
    let now = gateway.now();
    gateway.with(|beliefs| {
        if beliefs.grace_until == Some(Duration::MAX) {
            beliefs.grace_until = Some(now);
        }
    });
}

/// When an entry that has just vanished counts as gone.
fn gone_at(gateway: &Gateway, grace: Duration) -> Duration {
    let now = gateway.now();
    let returned = gateway.with(|beliefs| beliefs.grace_until);
    returned.map_or(now, |at| now.max(at + grace))
}

fn apply(gateway: &SharedGateway, changes: Vec<StoreChange>) {
    for change in changes {
        if change.key == names::CONFIG_KEY {
            apply_config(gateway, &change);
        } else if let Some(instance) = entry::instance(&change.key) {
            apply_target(gateway, instance, change.value.as_deref());
        } else if let Some(name) = change.key.strip_prefix(HOSTS_PREFIX) {
            apply_host(gateway, name, change.value.as_deref());
        } else if let Some(marks) = change.key.strip_prefix(SUSPECTS_PREFIX) {
            apply_suspect(gateway, marks);
        }
    }
    let now = gateway.now();
    gateway.with(|beliefs| {
        beliefs.hosts.expire(now);
        beliefs.targets.expire(now, KEEP_GONE);
        let targets = &beliefs.targets;
        beliefs.pool.expire(now, |key| targets.get(key).is_some());
        let known = &gateway.metrics.known;
        let count = i64::try_from(targets.iter().count()).unwrap_or(i64::MAX);
        known.with_label_values(&["targets"]).set(count);
        let count = i64::try_from(beliefs.hosts.len()).unwrap_or(i64::MAX);
        known.with_label_values(&["hosts"]).set(count);
    });
}

fn apply_config(gateway: &SharedGateway, change: &StoreChange) {
    let Some(value) = &change.value else {
        return;
    };
    let revision = change.revision;
    if gateway.with(|beliefs| beliefs.config.revision()) >= revision {
        return;
    }
    match config::decode(value) {
        Ok(fleet) => {
            let version = fleet.version;
            let engines: HashMap<_, _> = fleet
                .services()
                .filter_map(|service| service.engine.map(|engine| (service.name.clone(), engine)))
                .collect();
            let is_new = gateway.with(|beliefs| {
                let is_new = beliefs.config.apply(revision, fleet);
                if is_new {
                    beliefs.targets.set_engines(engines);
                }
                is_new
            });
            if is_new {
                gateway.metrics.config_version.set(i64::try_from(version).unwrap_or(i64::MAX));
                gateway.log.event(&LogEvent::ConfigInForce { version, revision });
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
    let distance = distance(gateway, &entry.zone);
    let (is_draining, address) = (entry.is_draining, entry.address);
    let (_, is_news) = gateway.with(|beliefs| beliefs.targets.put(entry, distance, now));
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
        gateway.places.notify_waiters();
    }
}

fn remove_target(gateway: &SharedGateway, instance: &str) {
    let gone_at = gone_at(gateway, targets::RETURN_GRACE);
    let key = gateway.with(|beliefs| beliefs.targets.remove(instance, gone_at));
    if key.is_some() {
        leaves(gateway, instance, "removed");
    }
}

fn leaves(gateway: &SharedGateway, target: &str, source: &str) {
    gateway.log.event(&LogEvent::TargetLeaving { target, source });
    gateway.leaving.notify_waiters();
}

fn distance(gateway: &Gateway, zone: &ZoneName) -> Distance {
    let settings = &gateway.settings;
    if *zone == settings.zone {
        Distance::Zone
    } else if settings.regions.get(zone) == Some(&settings.region) {
        Distance::Region
    } else {
        Distance::Elsewhere
    }
}

fn apply_host(gateway: &SharedGateway, name: &str, value: Option<&[u8]>) {
    let record = value.and_then(|value| serde_json::from_slice::<HostRecord>(value).ok());
    let gone_at = gone_at(gateway, hosts::RETURN_GRACE);
    let listed = record.is_some();
    gateway.with(|beliefs| match record {
        Some(record) => beliefs.hosts.put(name, record),
        None => beliefs.hosts.remove(name, gone_at),
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
        gateway.with(|beliefs| {
            let quarantine = &mut beliefs.quarantine;
            quarantine.suspect(RequestMark(request), CrashMark(crash), now);
        });
    }
}

/// After everything was read: what is known but not listed has vanished.
fn remove_unlisted(gateway: &SharedGateway, keys: &HashSet<String>) {
    let (instances, hosts) = gateway.with(|beliefs| {
        let instances: Vec<String> = beliefs
            .targets
            .instances()
            .filter(|instance| !keys.contains(&format!("{}{instance}", names::TARGETS_PREFIX)))
            .map(str::to_owned)
            .collect();
        let hosts: Vec<String> = beliefs
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
        callers: settings.callers,
        peers: std::net::SocketAddr::new(settings.ip, settings.peer_port),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
    };
    let value = serde_json::to_vec(&record).unwrap_or_default();
    let key = format!("{HOSTS_PREFIX}{}", settings.host);
    let mut lease = None;
    let mut failures = 0;
    loop {
        if gateway.is_stopping() {
            if let Some(lease) = lease.take() {
                // The lease ends by itself if the store does not hear of it.
                let _ = client.call(&StoreCall::EndLease { lease }).await;
            }
            return;
        }
        match renew(&client, lease, &key, &value).await {
            Ok(renewed) => {
                lease = Some(renewed);
                failures = 0;
                write_suspicions(&gateway, &client).await;
                let stop_or_news = gateway.suspicions.notified();
                let _ = tokio::time::timeout(RENEWAL, stop_or_news).await;
            }
            Err(error) => {
                if matches!(error, StoreError::Refused(StoreRefusal::NotFound)) {
                    lease = None;
                    continue;
                }
                failures += 1;
                tokio::time::sleep(failure_pause(&gateway, failures)).await;
            }
        }
    }
}

async fn renew(
    client: &StoreClient,
    lease: Option<u64>,
    key: &str,
    value: &[u8],
) -> Result<u64, StoreError> {
    if let Some(lease) = lease {
        client.call(&StoreCall::Keep { lease }).await?;
        return Ok(lease);
    }
    let body = client.call(&StoreCall::Lease { ttl: HOST_TTL }).await?;
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
    let records = std::mem::take(&mut *gateway.pending_suspicions.borrow_mut());
    if records.is_empty() {
        return;
    }
    let result = try_write_suspicions(client, &records).await;
    if let Err(error) = result {
        gateway.log.event(&LogEvent::Trouble {
            what: "suspicions are not in the store yet",
            cause: error.to_string(),
        });
        gateway.pending_suspicions.borrow_mut().extend(records);
    }
}

async fn try_write_suspicions(client: &StoreClient, records: &[String]) -> Result<(), StoreError> {
    let body = client.call(&StoreCall::Lease { ttl: MEMORY }).await?;
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
