//! Table of the targets of all services: their store entries, their load and their recent failures.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use mimosagap_types::prelude::*;
use slotmap::{SlotMap, new_key_type};

use crate::cold_rate::{ColdBound, ColdClaim, ColdSpec, ColdState};
use crate::config::EngineSpec;
use crate::drain_time::DrainTimes;
use crate::rate_keeper::RateKeeper;
use crate::rate_limit::{RateChange, RateStatement, TargetRate};
use crate::region_contention::RegionContention;
use crate::residency::{ResidencyPolicy, UNRESTRICTED};
use crate::target_backoff::TargetBackoff;
use crate::target_suspicion::TargetSuspicion;
use crate::version_registry::{RegistryStep, VersionRegistry};

new_key_type! {
    /// Key of a target in a [`TargetTable`]; not reused after the target is deleted.
    pub struct TargetKey;
}

/// Number of priority levels that the load of a target distinguishes; less urgent ones share the
/// last.
pub const PRIORITY_LEVELS: usize = 4;

/// Prefill rate of an engine before its first sample, in prompt tokens per millisecond beside its
/// other work: 112 tokens in a step of 15 ms.
const INITIAL_PREFILL_RATE: f64 = 7.0;

/// Bounds on a sample of the prefill rate, so that one outlier does not dominate the average.
const PREFILL_RATE_RANGE: (f64, f64) = (0.2, 200.0);

/// Weight of a new sample in the average of the prefill rate.
const PREFILL_RATE_WEIGHT: f64 = 0.15;

/// Weight of a new outcome in the failure rate.
const FAILURE_WEIGHT: f64 = 0.15;

/// Weight of a response in the failure rate of a plain service, whose healthy targets respond to
/// some requests with an error.
const RESPONSE_WEIGHT: f64 = 0.08;

/// Time without outcomes in which a failure rate halves, so that the target is tried again.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(4);

/// First pause after a target was unreachable or its response exceeded the limits; each further
/// pause is twice as long, up to [`MAX_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(400);

/// Longest pause after a target was unreachable or its response exceeded the limits.
const MAX_PAUSE: Duration = Duration::from_secs(3);

/// Time after which the load reported by another host no longer counts.
const PEER_LOAD_TTL: Duration = Duration::from_millis(2500);

/// Fraction of the drain timeout for which draining engines are used, because hosts learn of a
/// notice late.
const DRAIN_USE_FRACTION: f64 = 0.5;

/// Time after which a reservation no longer counts: a little more than the interval between two
/// load reports of a host of another region.
const RESERVATION_TTL: Duration = Duration::from_millis(700);

/// Time after the end of a store outage for which a target counts as live whose entry vanished
/// around the outage. The platform restores the entries of live targets within two seconds.
pub const OUTAGE_GRACE: Duration = Duration::from_millis(2200);

/// The store entry of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetEntry {
    /// Unique id of the target, also among targets that used the same address.
    pub instance: String,
    /// The service that it belongs to.
    pub service: DeploymentName,
    /// Where it listens.
    pub address: SocketAddr,
    /// The availability zone of the target.
    pub zone: ZoneName,
    /// Version of its software; versions have no order.
    pub version: SoftwareVersion,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it has announced its termination.
    pub is_draining: bool,
    /// When its process started, in milliseconds since the Unix epoch; 0 if the entry has no time.
    pub started_unix_ms: u64,
    /// For how long it says that it stays cold.
    pub cold: ColdClaim,
}

/// Network distance of a target, nearest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Locality {
    /// In the same zone.
    SameZone,
    /// In another zone of the same region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

/// Work in flight at a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetLoad {
    /// Requests in flight.
    pub requests: u32,
    /// Expected KV cache size of these requests, in tokens.
    pub kv_tokens: u32,
    /// Prompt tokens that are not yet prefilled, by priority level.
    pub pending_prefill: [u32; PRIORITY_LEVELS],
}

impl TargetLoad {
    /// The load of one request. Levels beyond the last count as the last.
    #[must_use]
    pub fn for_request(kv_tokens: u32, prompt_tokens: u32, priority_level: usize) -> Self {
        let mut pending_prefill = [0; PRIORITY_LEVELS];
        pending_prefill[priority_level.min(PRIORITY_LEVELS - 1)] = prompt_tokens;
        Self {
            requests: 1,
            kv_tokens,
            pending_prefill,
        }
    }

    fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.kv_tokens += other.kv_tokens;
        for (sum, tokens) in self.pending_prefill.iter_mut().zip(other.pending_prefill) {
            *sum += tokens;
        }
    }
}

/// How a request at a target ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetOutcome {
    /// An engine completed the generation.
    Completed,
    /// A plain service responded with success.
    Succeeded,
    /// A plain service responded with an error.
    ReturnedError,
    /// The connection failed or the target timed out, or an engine responded with an error.
    Failed,
    /// The response exceeded the limits on its size or time.
    LimitExceeded,
    /// The target rejected the request without running it.
    Rejected,
    /// No connection could be established.
    Unreachable,
}

/// A target with what this host knows of it.
#[derive(Debug, Clone)]
pub struct Target {
    /// Its newest store entry.
    pub entry: TargetEntry,
    /// Distance from this host.
    pub locality: Locality,
    /// When this host learned of it.
    pub listed_at: Duration,
    /// When this host learned that it is draining.
    pub draining_since: Option<Duration>,
    /// Time from which it counts as removed, if its entry has vanished.
    pub removed_at: Option<Duration>,
    /// Whether operators evacuated its zone.
    pub is_evacuated: bool,
    /// Load caused by this host.
    pub local_load: TargetLoad,
    peer_loads: HashMap<u64, (Duration, TargetLoad)>,
    /// Load that other hosts are about to cause: expiry, hash of the host, and load.
    reservations: Vec<(Duration, u64, TargetLoad)>,
    prefill_rate: f64,
    failure_rate: f64,
    outcome_at: Duration,
    paused_until: Duration,
    next_pause: Duration,
    /// Backoff periods that it requested.
    pub backoff: TargetBackoff,
    /// The rate limit that it names for all hosts together.
    pub rate: TargetRate,
    /// The rate at which it may be sent requests because it may be cold.
    pub cold: ColdState,
    /// Whether it is suspected of hanging.
    pub suspicion: TargetSuspicion,
    /// Slots that this host grants for it, if hosts ask this one.
    pub keeper: Option<Box<RateKeeper>>,
}

impl Target {
    fn new(entry: TargetEntry, locality: Locality, now: Duration) -> Self {
        Self {
            entry,
            locality,
            listed_at: now,
            draining_since: None,
            removed_at: None,
            is_evacuated: false,
            local_load: TargetLoad::default(),
            peer_loads: HashMap::new(),
            reservations: Vec::new(),
            prefill_rate: INITIAL_PREFILL_RATE,
            failure_rate: 0.0,
            outcome_at: Duration::ZERO,
            paused_until: Duration::ZERO,
            next_pause: FIRST_PAUSE,
            backoff: TargetBackoff::default(),
            rate: TargetRate::default(),
            cold: ColdState::default(),
            suspicion: TargetSuspicion::default(),
            keeper: None,
        }
    }

    /// Whether it can continue a stream that an engine of this version began.
    #[must_use]
    pub fn has_version(&self, version: &SoftwareVersion) -> bool {
        self.entry.version == *version
    }

    /// Whether new requests may be sent to it.
    #[must_use]
    pub fn is_available(&self, now: Duration) -> bool {
        self.is_available_within(Duration::ZERO, now)
    }

    /// Whether new requests may be sent to it that can wait this long for its rate limit.
    #[must_use]
    pub fn is_available_within(&self, max_wait: Duration, now: Duration) -> bool {
        self.draining_since.is_none()
            && !self.is_evacuated
            && self.removed_at.is_none_or(|at| now < at)
            && now >= self.paused_until
            && !self.backoff.is_active(now)
            && self.hold_time(now) <= max_wait
    }

    /// Whether it is draining and new requests may be sent to it otherwise.
    #[must_use]
    pub fn is_available_while_draining(&self, now: Duration) -> bool {
        self.draining_since.is_some()
            && !self.is_evacuated
            && self.removed_at.is_none()
            && now >= self.paused_until
            && !self.backoff.is_active(now)
            && self.hold_time(now).is_zero()
    }

    /// Requests per second that all hosts together may send; `None` if there is no limit.
    #[must_use]
    pub fn permit_rate(&self, now: Duration) -> Option<f64> {
        let named = self.rate.per_second(now);
        let cold = self.cold.per_second().filter(|_| self.cold.is_cold(now));
        named.into_iter().chain(cold).reduce(f64::min)
    }

    /// Time until this host may ask for a permit; zero if it may ask now or needs none.
    #[must_use]
    pub fn hold_time(&self, now: Duration) -> Duration {
        self.rate.hold_time(now).max(self.cold.hold_time(now))
    }

    /// Records that no permit was given and the next one may be asked for after `ask_in`.
    pub fn hold(&mut self, ask_in: Duration, overload: f64, now: Duration) {
        if self.rate.per_second(now).is_some() {
            self.rate.hold(ask_in, overload, now);
        }
        self.cold.hold(ask_in, overload, now);
    }

    /// Sets the rate of its service while it is cold. Slots that were granted without it are void.
    fn set_cold_spec(&mut self, spec: Option<ColdSpec>, bound: &ColdBound) {
        if self.cold.set_spec(spec, bound) {
            self.keeper = None;
            self.cold.record_start(self.listed_at);
        }
    }

    /// Whether its entry has vanished.
    #[must_use]
    pub fn is_removed(&self, now: Duration) -> bool {
        self.removed_at.is_some_and(|at| now >= at)
    }

    /// Whether it is draining or removed.
    #[must_use]
    pub fn is_leaving(&self, now: Duration) -> bool {
        self.draining_since.is_some() || self.is_removed(now)
    }

    /// Load caused by all hosts, as far as this host knows.
    #[must_use]
    pub fn load(&self, now: Duration) -> TargetLoad {
        let mut total_load = self.local_load;
        for (reported_at, load) in self.peer_loads.values() {
            if now.saturating_sub(*reported_at) < PEER_LOAD_TTL {
                total_load.add(load);
            }
        }
        for (expires_at, _, load) in &self.reservations {
            if now < *expires_at {
                total_load.add(load);
            }
        }
        total_load
    }

    /// Average of recent failures, from 0 to 1; decays while there are no outcomes.
    #[must_use]
    pub fn failure_rate(&self, now: Duration) -> f64 {
        let idle_secs = now.saturating_sub(self.outcome_at).as_secs_f64();
        self.failure_rate * 0.5_f64.powf(idle_secs / FAILURE_HALF_LIFE.as_secs_f64())
    }

    /// Prompt tokens that are not yet prefilled, summed over all priority levels: an engine
    /// prefills admitted prompts in order of arrival, whatever their priority.
    #[must_use]
    pub fn pending_prefill_tokens(&self, now: Duration) -> u32 {
        self.load(now).pending_prefill.iter().sum()
    }

    /// Expected time until the pending prefill is done; zero if there is none.
    #[must_use]
    pub fn prefill_queue_time(&self, now: Duration) -> Duration {
        self.prefill_time(0, now)
    }

    /// Expected time until a new prompt of this length is prefilled, after all pending ones.
    #[must_use]
    pub fn prefill_time(&self, prompt_tokens: u32, now: Duration) -> Duration {
        let milliseconds =
            f64::from(self.pending_prefill_tokens(now) + prompt_tokens) / self.prefill_rate;
        Duration::from_secs_f64(milliseconds / 1000.0)
    }
}

/// All known targets, with indexes by instance and service.
#[derive(Debug, Clone, Default)]
pub struct TargetTable {
    regions: BTreeMap<ZoneName, RegionName>,
    targets: SlotMap<TargetKey, Target>,
    by_instance: HashMap<String, TargetKey>,
    by_service: HashMap<DeploymentName, Vec<TargetKey>>,
    engine_specs: HashMap<DeploymentName, EngineSpec>,
    drain_times: HashMap<DeploymentName, DrainTimes>,
    /// Time after its notice for which a draining engine is used at most.
    max_drain_use: Duration,
    /// Software versions at which streams may begin.
    versions: VersionRegistry,
    /// Regions in which restricted requests lack capacity.
    contention: RegionContention,
    /// Zones that operators evacuated.
    evacuated_zones: BTreeSet<ZoneName>,
    cold_specs: HashMap<DeploymentName, ColdSpec>,
    cold_bound: ColdBound,
}

impl TargetTable {
    /// Creates an empty table with the region of each zone.
    #[must_use]
    pub fn with_regions(regions: BTreeMap<ZoneName, RegionName>) -> Self {
        Self {
            regions,
            ..Self::default()
        }
    }

    /// Software versions at which streams may begin.
    #[must_use]
    pub fn versions(&self) -> &VersionRegistry {
        &self.versions
    }

    /// Software versions at which streams may begin, to change them.
    pub fn versions_mut(&mut self) -> &mut VersionRegistry {
        &mut self.versions
    }

    /// Regions in which restricted requests lack capacity.
    #[must_use]
    pub fn contention(&self) -> &RegionContention {
        &self.contention
    }

    /// Regions in which restricted requests lack capacity, to change them.
    pub fn contention_mut(&mut self) -> &mut RegionContention {
        &mut self.contention
    }

    /// The region of a zone; `None` if it is unknown.
    #[must_use]
    pub fn zone_region(&self, zone: &ZoneName) -> Option<&RegionName> {
        self.regions.get(zone)
    }

    /// Compares the admitted versions with the listed engines. Returns what is due.
    pub fn update_versions(&mut self, now: Duration) -> Vec<RegistryStep> {
        let mut versions = std::mem::take(&mut self.versions);
        let steps = versions.update(self, now);
        self.versions = versions;
        steps
    }

    /// Distance between two zones. A zone without a known region is in a region of its own.
    #[must_use]
    pub fn locality_between(&self, first: &ZoneName, second: &ZoneName) -> Locality {
        let region = |zone| self.regions.get(zone);
        if first == second {
            Locality::SameZone
        } else if region(first).is_some() && region(first) == region(second) {
            Locality::SameRegion
        } else {
            Locality::OtherRegion
        }
    }

    /// Inserts or updates a store entry. Returns the key of the target and whether it is new or has
    /// just started to drain.
    pub fn upsert(
        &mut self,
        entry: TargetEntry,
        locality: Locality,
        now: Duration,
    ) -> (TargetKey, bool) {
        if let Some(key) = self.by_instance.get(&entry.instance).copied() {
            let target = &mut self.targets[key];
            let is_same_process = target.entry.started_unix_ms == entry.started_unix_ms
                && target.entry.address == entry.address
                && target.entry.version == entry.version
                && target.entry.service == entry.service;
            if is_same_process {
                if target.is_removed(now) {
                    target.cold.record_start(now);
                }
                target.removed_at = None;
                // Draining is final for a process, so an entry that arrives late does not undo it.
                let starts_draining = entry.is_draining && target.draining_since.is_none();
                if starts_draining {
                    target.draining_since = Some(now);
                }
                target.is_evacuated = self.evacuated_zones.contains(&entry.zone);
                target.entry = entry;
                return (key, starts_draining);
            }
            self.delete(key);
        }
        let instance = entry.instance.clone();
        let service = entry.service.clone();
        let mut target = Target::new(entry, locality, now);
        target.is_evacuated = self.evacuated_zones.contains(&target.entry.zone);
        let cold_spec = self.cold_specs.get(&target.entry.service).copied();
        target.set_cold_spec(cold_spec, &self.cold_bound);
        if target.entry.is_draining {
            target.draining_since = Some(now);
        }
        let key = self.targets.insert(target);
        self.by_instance.insert(instance, key);
        self.by_service.entry(service).or_default().push(key);
        (key, true)
    }

    /// Records that the entry of an instance vanished or is invalid; the target counts as removed
    /// from `removed_at` on. Returns its key, or `None` if it is unknown.
    pub fn mark_removed(&mut self, instance: &str, removed_at: Duration) -> Option<TargetKey> {
        let key = *self.by_instance.get(instance)?;
        let target = &mut self.targets[key];
        if let Some(since) = target.draining_since
            && target.removed_at.is_none()
        {
            let drain_times = self.drain_times.entry(target.entry.service.clone());
            let drain_time = removed_at.saturating_sub(since);
            drain_times.or_default().record(drain_time);
        }
        target.removed_at.get_or_insert(removed_at);
        Some(key)
    }

    /// Instances of all targets in the table.
    pub fn instances(&self) -> impl Iterator<Item = &str> {
        self.by_instance.keys().map(String::as_str)
    }

    /// Marks a target as draining because its response or another host said so. Returns whether
    /// this is new.
    pub fn mark_draining(&mut self, key: TargetKey, now: Duration) -> bool {
        let Some(target) = self.targets.get_mut(key) else {
            return false;
        };
        let is_new = target.draining_since.is_none();
        target.draining_since.get_or_insert(now);
        is_new
    }

    /// The backoff periods of a target; `None` if the target is unknown.
    pub fn backoff_mut(&mut self, key: TargetKey) -> Option<&mut TargetBackoff> {
        self.targets.get_mut(key).map(|target| &mut target.backoff)
    }

    /// Ends the pauses of the targets of a service, because this host reaches them again.
    pub fn end_pauses(&mut self, service: &DeploymentName, now: Duration) {
        for key in self.by_service.get(service).into_iter().flatten() {
            let target = &mut self.targets[*key];
            target.paused_until = target.paused_until.min(now);
            target.next_pause = FIRST_PAUSE;
        }
    }

    /// Records what a target said of its rate limit, to this host or another one.
    pub fn record_rate(
        &mut self,
        key: TargetKey,
        statement: RateStatement,
        now: Duration,
    ) -> RateChange {
        let Some(target) = self.targets.get_mut(key) else {
            return RateChange::Unchanged;
        };
        let change = target.rate.record(statement, now);
        if change == RateChange::Started {
            target.keeper = None;
        }
        change
    }

    /// The target with this key, to change its limit or the permits for it; `None` if it was
    /// deleted.
    pub fn get_mut(&mut self, key: TargetKey) -> Option<&mut Target> {
        self.targets.get_mut(key)
    }

    /// Whether a target of a service that may serve the request and does not leave cannot be used
    /// now because of its rate limit.
    #[must_use]
    pub fn is_held_back(
        &self,
        service: &DeploymentName,
        policy: &ResidencyPolicy,
        now: Duration,
    ) -> bool {
        self.of_service(service)
            .filter(|(_, target)| policy.allows(self, target))
            .filter(|(_, target)| !target.is_leaving(now) && !target.is_evacuated)
            .any(|(_, target)| !target.hold_time(now).is_zero())
    }

    /// Demand of all hosts for the limited targets of a service, as a multiple of their rates; 1 if
    /// no target is limited.
    #[must_use]
    pub fn rate_overload(&self, service: &DeploymentName, now: Duration) -> f64 {
        self.of_service(service)
            .filter(|(_, target)| target.permit_rate(now).is_some())
            .map(|(_, target)| target.rate.overload().max(target.cold.overload()))
            .fold(1.0, f64::max)
    }

    /// The region of a target; `None` if the target or the region of its zone is unknown.
    #[must_use]
    pub fn region_of(&self, key: TargetKey) -> Option<&RegionName> {
        self.regions.get(&self.targets.get(key)?.entry.zone)
    }

    /// Time until the first backoff or hold of a service's targets ends; `None` if a target has none
    /// or no target is left.
    #[must_use]
    pub fn time_until_available(
        &self,
        service: &DeploymentName,
        now: Duration,
    ) -> Option<Duration> {
        self.time_until_permitted(service, &UNRESTRICTED, now)
    }

    /// Like [`Self::time_until_available`], for the targets that may serve a request.
    #[must_use]
    pub fn time_until_permitted(
        &self,
        service: &DeploymentName,
        policy: &ResidencyPolicy,
        now: Duration,
    ) -> Option<Duration> {
        self.of_service(service)
            .filter(|(_, target)| policy.allows(self, target))
            .filter(|(_, target)| !target.is_leaving(now) && !target.is_evacuated)
            .map(|(_, target)| target.backoff.remaining(now).max(target.hold_time(now)))
            .min()
            .filter(|remaining| !remaining.is_zero())
    }

    /// Deletes targets that were removed longer than `retention` ago and run no request of this
    /// host.
    pub fn purge_removed(&mut self, now: Duration, retention: Duration) {
        let expired_keys: Vec<TargetKey> = self
            .targets
            .iter()
            .filter(|(_, target)| {
                target.local_load.requests == 0
                    && target.removed_at.is_some_and(|at| now > at + retention)
            })
            .map(|(key, _)| key)
            .collect();
        for key in expired_keys {
            self.delete(key);
        }
    }

    fn delete(&mut self, key: TargetKey) {
        let Some(target) = self.targets.remove(key) else {
            return;
        };
        if self.by_instance.get(&target.entry.instance) == Some(&key) {
            self.by_instance.remove(&target.entry.instance);
        }
        if let Some(service_keys) = self.by_service.get_mut(&target.entry.service) {
            service_keys.retain(|other_key| *other_key != key);
        }
    }

    /// Sets the bound on requests that reach a cold engine.
    pub fn set_cold_bound(&mut self, bound: ColdBound) {
        self.cold_bound = bound;
    }

    /// Replaces the rates of cold engines of all services.
    pub fn set_cold_specs(&mut self, cold_specs: HashMap<DeploymentName, ColdSpec>) {
        for target in self.targets.values_mut() {
            let spec = cold_specs.get(&target.entry.service).copied();
            target.set_cold_spec(spec, &self.cold_bound);
        }
        self.cold_specs = cold_specs;
    }

    /// Replaces the zones whose targets receive nothing new.
    pub fn set_evacuated_zones(&mut self, zones: BTreeSet<ZoneName>, now: Duration) {
        for target in self.targets.values_mut() {
            let was_evacuated = target.is_evacuated;
            target.is_evacuated = zones.contains(&target.entry.zone);
            if was_evacuated && !target.is_evacuated {
                // It may come back cold, empty, and with an entry of before.
                target.cold.record_return(now);
            }
        }
        self.evacuated_zones = zones;
    }

    /// Whether a zone of the fleet has this name.
    #[must_use]
    pub fn has_zone(&self, zone: &ZoneName) -> bool {
        self.regions.contains_key(zone)
    }

    /// Whether operators evacuated the zone of a target.
    #[must_use]
    pub fn is_evacuated(&self, key: TargetKey) -> bool {
        self.get(key).is_some_and(|target| target.is_evacuated)
    }

    /// Whether a service has targets that do not leave, all of them in evacuated zones.
    #[must_use]
    pub fn has_only_evacuated(&self, service: &DeploymentName, now: Duration) -> bool {
        let mut staying = self
            .of_service(service)
            .filter(|(_, target)| !target.is_leaving(now))
            .peekable();
        staying.peek().is_some() && staying.all(|(_, target)| target.is_evacuated)
    }

    /// Sets the time after its notice from which an engine must receive no more requests.
    pub fn set_drain_timeout(&mut self, drain_timeout: Duration) {
        self.max_drain_use = drain_timeout.mul_f64(DRAIN_USE_FRACTION);
    }

    /// Replaces the engine properties of all services.
    pub fn set_engine_specs(&mut self, engine_specs: HashMap<DeploymentName, EngineSpec>) {
        self.engine_specs = engine_specs;
    }

    /// The engine properties of a service; `None` for a plain service.
    #[must_use]
    pub fn engine_spec(&self, service: &DeploymentName) -> Option<&EngineSpec> {
        self.engine_specs.get(service)
    }

    /// The target with this key; `None` if it was deleted.
    #[must_use]
    pub fn get(&self, key: TargetKey) -> Option<&Target> {
        self.targets.get(key)
    }

    /// Whether a target is draining, removed or deleted.
    #[must_use]
    pub fn is_leaving(&self, key: TargetKey, now: Duration) -> bool {
        self.get(key).is_none_or(|target| target.is_leaving(now))
    }

    /// Time until which a draining engine is expected to serve; `None` if it is not draining or no
    /// drain time of its service is known.
    #[must_use]
    pub fn serves_until(&self, target: &Target) -> Option<Duration> {
        let drain_estimate = self
            .drain_times
            .get(&target.entry.service)?
            .conservative_estimate();
        let drain_estimate = drain_estimate.min(self.max_drain_use);
        Some(target.draining_since? + drain_estimate)
    }

    /// The key of an instance; `None` if it is unknown.
    #[must_use]
    pub fn find_instance(&self, instance: &str) -> Option<TargetKey> {
        self.by_instance.get(instance).copied()
    }

    /// All targets with their keys.
    pub fn iter(&self) -> impl Iterator<Item = (TargetKey, &Target)> {
        self.targets.iter()
    }

    /// The targets of a service.
    pub fn of_service(
        &self,
        service: &DeploymentName,
    ) -> impl Iterator<Item = (TargetKey, &Target)> {
        self.by_service
            .get(service)
            .into_iter()
            .flatten()
            .filter_map(|key| self.targets.get(*key).map(|target| (*key, target)))
    }

    /// Adds the load of a request that this host sends.
    pub fn add_request(
        &mut self,
        key: TargetKey,
        kv_tokens: u32,
        prompt_tokens: u32,
        priority_level: usize,
    ) {
        if let Some(target) = self.targets.get_mut(key) {
            target.local_load.add(&TargetLoad::for_request(
                kv_tokens,
                prompt_tokens,
                priority_level,
            ));
        }
    }

    /// Records that the prompt of a request of this host was prefilled. `tokens_ahead` is the
    /// prefill that was pending when the request was sent, `elapsed` the time since then.
    pub fn finish_prefill(
        &mut self,
        key: TargetKey,
        prompt_tokens: u32,
        priority_level: usize,
        tokens_ahead: u32,
        elapsed: Duration,
    ) {
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        let pending_prefill =
            &mut target.local_load.pending_prefill[priority_level.min(PRIORITY_LEVELS - 1)];
        *pending_prefill = pending_prefill.saturating_sub(prompt_tokens);
        let milliseconds = (elapsed.as_secs_f64() * 1000.0).max(1.0);
        let (min_rate, max_rate) = PREFILL_RATE_RANGE;
        let rate =
            (f64::from(tokens_ahead + prompt_tokens) / milliseconds).clamp(min_rate, max_rate);
        target.prefill_rate += PREFILL_RATE_WEIGHT * (rate - target.prefill_rate);
    }

    /// Subtracts the load of a request of this host that has ended. `pending_prefill` is the part
    /// of its prompt that was not prefilled.
    pub fn remove_request(
        &mut self,
        key: TargetKey,
        kv_tokens: u32,
        pending_prefill: u32,
        priority_level: usize,
    ) {
        if let Some(target) = self.targets.get_mut(key) {
            let local_load = &mut target.local_load;
            local_load.requests = local_load.requests.saturating_sub(1);
            local_load.kv_tokens = local_load.kv_tokens.saturating_sub(kv_tokens);
            let level_prefill =
                &mut local_load.pending_prefill[priority_level.min(PRIORITY_LEVELS - 1)];
            *level_prefill = level_prefill.saturating_sub(pending_prefill);
        }
    }

    /// Changes the expected KV cache size of a request of this host, in tokens.
    pub fn resize_request(&mut self, key: TargetKey, old_kv_tokens: u32, new_kv_tokens: u32) {
        if let Some(target) = self.targets.get_mut(key) {
            target.local_load.kv_tokens =
                target.local_load.kv_tokens.saturating_sub(old_kv_tokens) + new_kv_tokens;
        }
    }

    /// Records the outcome of a request in the failure rate, and pauses the target if needed.
    pub fn record_outcome(&mut self, key: TargetKey, outcome: TargetOutcome, now: Duration) {
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        let (sample, weight) = match outcome {
            TargetOutcome::Completed => (0.0, FAILURE_WEIGHT),
            TargetOutcome::Succeeded => (0.0, RESPONSE_WEIGHT),
            TargetOutcome::ReturnedError => (1.0, RESPONSE_WEIGHT),
            TargetOutcome::Rejected => (0.5, FAILURE_WEIGHT),
            TargetOutcome::Failed | TargetOutcome::LimitExceeded | TargetOutcome::Unreachable => {
                (1.0, FAILURE_WEIGHT)
            }
        };
        let failure_rate = target.failure_rate(now);
        target.failure_rate = failure_rate + weight * (sample - failure_rate);
        target.outcome_at = now;
        match outcome {
            TargetOutcome::Unreachable | TargetOutcome::LimitExceeded => {
                target.paused_until = now + target.next_pause;
                target.next_pause = (target.next_pause * 2).min(MAX_PAUSE);
            }
            TargetOutcome::Completed | TargetOutcome::Succeeded | TargetOutcome::ReturnedError => {
                target.next_pause = FIRST_PAUSE;
            }
            TargetOutcome::Failed | TargetOutcome::Rejected => {}
        }
    }

    /// Records the load that another host reports for a target, in place of its reservations there.
    pub fn record_peer_load(
        &mut self,
        instance: &str,
        host_hash: u64,
        load: TargetLoad,
        now: Duration,
    ) {
        if let Some(key) = self.find_instance(instance) {
            let target = &mut self.targets[key];
            let previous = target.peer_loads.insert(host_hash, (now, load));
            let pending = |load: &TargetLoad| load.pending_prefill.iter().sum::<u32>();
            if previous.is_some_and(|(_, previous)| pending(&load) < pending(&previous)) {
                target.suspicion.record_progress(now);
            }
            target
                .reservations
                .retain(|(_, reserving_host, _)| *reserving_host != host_hash);
        }
    }

    /// Reserves load that another host is about to cause, until its next load report.
    pub fn reserve(&mut self, key: TargetKey, host_hash: u64, load: TargetLoad, now: Duration) {
        if let Some(target) = self.targets.get_mut(key) {
            let reservations = &mut target.reservations;
            reservations.retain(|(expires_at, _, _)| now < *expires_at);
            reservations.push((now + RESERVATION_TTL, host_hash, load));
        }
    }
}
