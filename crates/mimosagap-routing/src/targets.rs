//! The targets of all services: what the store lists, what this host sends there, and how it ends.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use mimosagap_types::prelude::*;
use slotmap::{SlotMap, new_key_type};

use crate::config::EngineSpec;
use crate::drain_time::DrainTimes;
use crate::target_backoff::TargetBackoff;

new_key_type! {
    /// A target in the arena.
    pub struct TargetKey;
}

/// Ranks that are told apart in the load of a target; less urgent ones share the last.
pub const PRIORITY_LEVELS: usize = 4;

/// Prompt tokens that an engine reads in a millisecond beside its other work, before any was
/// measured. From the deployment sheets: 112 tokens in a step of 15 ms.
const INITIAL_READ_RATE: f64 = 7.0;

/// Bounds on the measured rate, so that one odd answer does not decide.
const READ_RATE_RANGE: (f64, f64) = (0.2, 200.0);

/// Weight of a new measurement of the read rate.
const READ_RATE_WEIGHT: f64 = 0.15;

/// Weight of a new outcome in the failure rate.
const FAILURE_WEIGHT: f64 = 0.15;

/// Weight of an answer in the failure rate of a plain service, whose sound targets answer some
/// requests with an error.
const ANSWER_WEIGHT: f64 = 0.08;

/// A failure rate halves in this time without outcomes, so that a target is tried again.
const FORGIVENESS: Duration = Duration::from_secs(4);

/// First pause after a target could not be reached or sent bytes without end; doubles up to [`MAX_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(400);

/// Longest pause after a target could not be reached.
const MAX_PAUSE: Duration = Duration::from_secs(3);

/// What another host said of its load counts for this long.
const PEER_LOAD_LIFE: Duration = Duration::from_millis(2500);

/// Part of the bound on engines that leave for which they are used: hosts hear of a notice late.
const DRAIN_PART: f64 = 0.5;

/// A promise counts for this long: until the next report of a host of another region, and a little
/// longer.
const PROMISE_LIFE: Duration = Duration::from_millis(700);

/// An entry that vanished around an outage of the store counts as live for this long after the
/// store is back. The platform brings back live entries within two seconds.
pub const OUTAGE_GRACE: Duration = Duration::from_millis(2200);

/// A target as the store lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetEntry {
    /// Names this target and no other one at its address.
    pub instance: String,
    /// Its service.
    pub service: DeploymentName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub is_draining: bool,
    /// When its process started, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
}

/// How far away a target is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Locality {
    /// In this host's zone.
    SameZone,
    /// In another zone of its region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

/// Work at a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetLoad {
    /// Requests in flight.
    pub requests: u32,
    /// Memory that these requests are expected to need in the end, in tokens.
    pub kv_tokens: u32,
    /// Prompt tokens that are still to be read, by rank.
    pub pending_prefill: [u32; PRIORITY_LEVELS],
}

impl TargetLoad {
    /// The work of one request. Less urgent ranks than the last share it.
    #[must_use]
    pub fn for_request(kv_tokens: u32, prompt: u32, rank: usize) -> Self {
        let mut pending_prefill = [0; PRIORITY_LEVELS];
        pending_prefill[rank.min(PRIORITY_LEVELS - 1)] = prompt;
        Self {
            requests: 1,
            kv_tokens,
            pending_prefill,
        }
    }

    fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.kv_tokens += other.kv_tokens;
        for (sum, part) in self.pending_prefill.iter_mut().zip(other.pending_prefill) {
            *sum += part;
        }
    }
}

/// How a request at a target ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetOutcome {
    /// It answered.
    Completed,
    /// A plain service answered with a success.
    Succeeded,
    /// A plain service answered with an error.
    ReturnedError,
    /// It broke off or kept silent, or an engine answered with an error.
    Failed,
    /// It sent bytes without end that are no answer.
    EndlessResponse,
    /// It turned the request away unrun.
    Rejected,
    /// No connection could be made.
    Unreachable,
}

/// One target.
#[derive(Debug, Clone)]
pub struct Target {
    /// As the store lists it.
    pub entry: TargetEntry,
    /// How far away it is.
    pub locality: Locality,
    /// When this host learned of it.
    pub listed_at: Duration,
    /// When this host learned that it leaves.
    pub draining_since: Option<Duration>,
    /// From when on its entry counts as gone.
    pub removed_at: Option<Duration>,
    /// Work that this host sent.
    pub local_load: TargetLoad,
    peers: HashMap<u64, (Duration, TargetLoad)>,
    /// Work that other hosts are about to send, and until when it counts.
    promises: Vec<(Duration, u64, TargetLoad)>,
    read_rate: f64,
    failure_rate: f64,
    failure_at: Duration,
    paused_until: Duration,
    pause: Duration,
    /// What it asked for when it turned requests away.
    pub backoff: TargetBackoff,
}

impl Target {
    fn new(entry: TargetEntry, locality: Locality, now: Duration) -> Self {
        Self {
            entry,
            locality,
            listed_at: now,
            draining_since: None,
            removed_at: None,
            local_load: TargetLoad::default(),
            peers: HashMap::new(),
            promises: Vec::new(),
            read_rate: INITIAL_READ_RATE,
            failure_rate: 0.0,
            failure_at: Duration::ZERO,
            paused_until: Duration::ZERO,
            pause: FIRST_PAUSE,
            backoff: TargetBackoff::default(),
        }
    }

    /// Whether new requests may be sent to it.
    #[must_use]
    pub fn is_available(&self, now: Duration) -> bool {
        self.draining_since.is_none()
            && self.removed_at.is_none_or(|at| now < at)
            && now >= self.paused_until
            && !self.backoff.is_active(now)
    }

    /// Whether it has had its notice, and may still be sent to otherwise.
    #[must_use]
    pub fn is_available_while_draining(&self, now: Duration) -> bool {
        self.draining_since.is_some()
            && self.removed_at.is_none()
            && now >= self.paused_until
            && !self.backoff.is_active(now)
    }

    /// Whether it leaves or is gone.
    #[must_use]
    pub fn is_leaving(&self, now: Duration) -> bool {
        self.draining_since.is_some() || self.removed_at.is_some_and(|at| now >= at)
    }

    /// The work of all hosts, as far as it is known.
    #[must_use]
    pub fn load(&self, now: Duration) -> TargetLoad {
        let mut sum = self.local_load;
        for (heard_at, load) in self.peers.values() {
            if now.saturating_sub(*heard_at) < PEER_LOAD_LIFE {
                sum.add(load);
            }
        }
        for (until, _, work) in &self.promises {
            if now < *until {
                sum.add(work);
            }
        }
        sum
    }

    /// Recent part of requests that failed, 0 to 1.
    #[must_use]
    pub fn failure_rate(&self, now: Duration) -> f64 {
        let quiet = now.saturating_sub(self.failure_at).as_secs_f64();
        self.failure_rate * 0.5_f64.powf(quiet / FORGIVENESS.as_secs_f64())
    }

    /// Prompt tokens to be read. An engine reads the prompts that it has admitted in the order of
    /// their arrival, whatever their rank.
    #[must_use]
    pub fn pending_prefill_tokens(&self, now: Duration) -> u32 {
        self.load(now).pending_prefill.iter().sum()
    }

    /// Time until the prompts that were sent here are read; none at an engine without any.
    #[must_use]
    pub fn prefill_queue_time(&self, now: Duration) -> Duration {
        self.prefill_time(0, now)
    }

    /// Time until a prompt of this length is read, behind all others.
    #[must_use]
    pub fn prefill_time(&self, prompt: u32, now: Duration) -> Duration {
        let milliseconds = f64::from(self.pending_prefill_tokens(now) + prompt) / self.read_rate;
        Duration::from_secs_f64(milliseconds / 1000.0)
    }
}

/// All targets.
#[derive(Debug, Clone, Default)]
pub struct TargetTable {
    regions: BTreeMap<ZoneName, RegionName>,
    arena: SlotMap<TargetKey, Target>,
    by_instance: HashMap<String, TargetKey>,
    by_service: HashMap<DeploymentName, Vec<TargetKey>>,
    engines: HashMap<DeploymentName, EngineSpec>,
    notices: HashMap<DeploymentName, DrainTimes>,
    /// An engine that leaves is used no longer than this after its notice.
    last_use: Duration,
}

impl TargetTable {
    /// No targets yet, in the zones of these regions.
    #[must_use]
    pub fn with_regions(regions: BTreeMap<ZoneName, RegionName>) -> Self {
        Self {
            regions,
            ..Self::default()
        }
    }

    /// How far two zones are from each other.
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

    /// Takes an entry of the store's list. Returns the key and whether the target is new or has
    /// just begun to leave.
    pub fn upsert(
        &mut self,
        entry: TargetEntry,
        distance: Locality,
        now: Duration,
    ) -> (TargetKey, bool) {
        if let Some(key) = self.by_instance.get(&entry.instance).copied() {
            let target = &mut self.arena[key];
            let is_same_life = target.entry.started_unix_ms == entry.started_unix_ms
                && target.entry.address == entry.address
                && target.entry.service == entry.service;
            if is_same_life {
                target.removed_at = None;
                // A process which leaves does not come back, so an older entry cannot undo it.
                let begins_to_leave = entry.is_draining && target.draining_since.is_none();
                if begins_to_leave {
                    target.draining_since = Some(now);
                }
                target.entry = entry;
                return (key, begins_to_leave);
            }
            self.forget(key);
        }
        let instance = entry.instance.clone();
        let service = entry.service.clone();
        let mut target = Target::new(entry, distance, now);
        if target.entry.is_draining {
            target.draining_since = Some(now);
        }
        let key = self.arena.insert(target);
        self.by_instance.insert(instance, key);
        self.by_service.entry(service).or_default().push(key);
        (key, true)
    }

    /// An entry vanished or names no target any more; it counts as gone from `gone_at` on.
    pub fn mark_removed(&mut self, instance: &str, gone_at: Duration) -> Option<TargetKey> {
        let key = *self.by_instance.get(instance)?;
        let target = &mut self.arena[key];
        if let Some(since) = target.draining_since
            && target.removed_at.is_none()
        {
            let notices = self.notices.entry(target.entry.service.clone());
            let time = gone_at.saturating_sub(since);
            notices.or_default().record(time);
        }
        target.removed_at.get_or_insert(gone_at);
        Some(key)
    }

    /// Instances that are listed.
    pub fn instances(&self) -> impl Iterator<Item = &str> {
        self.by_instance.keys().map(String::as_str)
    }

    /// Marks a target as leaving, as its own answer or another host said. Returns whether that is
    /// news.
    pub fn mark_draining(&mut self, key: TargetKey, now: Duration) -> bool {
        let Some(target) = self.arena.get_mut(key) else {
            return false;
        };
        let is_news = target.draining_since.is_none();
        target.draining_since.get_or_insert(now);
        is_news
    }

    /// What a target asked for when it turned requests away.
    pub fn backoff_mut(&mut self, key: TargetKey) -> Option<&mut TargetBackoff> {
        self.arena.get_mut(key).map(|target| &mut target.backoff)
    }

    /// Time until the first target of a service that asked to be left alone takes requests again;
    /// `None` if one takes them now.
    #[must_use]
    pub fn time_until_available(
        &self,
        service: &DeploymentName,
        now: Duration,
    ) -> Option<Duration> {
        self.of_service(service)
            .filter(|(_, target)| !target.is_leaving(now))
            .map(|(_, target)| target.backoff.remaining(now))
            .min()
            .filter(|left| !left.is_zero())
    }

    /// Forgets targets that are gone for longer than `keep` and have no request of this host.
    pub fn purge_removed(&mut self, now: Duration, keep: Duration) {
        let old: Vec<TargetKey> = self
            .arena
            .iter()
            .filter(|(_, target)| {
                target.local_load.requests == 0
                    && target.removed_at.is_some_and(|at| now > at + keep)
            })
            .map(|(key, _)| key)
            .collect();
        for key in old {
            self.forget(key);
        }
    }

    fn forget(&mut self, key: TargetKey) {
        let Some(target) = self.arena.remove(key) else {
            return;
        };
        if self.by_instance.get(&target.entry.instance) == Some(&key) {
            self.by_instance.remove(&target.entry.instance);
        }
        if let Some(list) = self.by_service.get_mut(&target.entry.service) {
            list.retain(|other| *other != key);
        }
    }

    /// Sets the bound after which nothing may reach an engine that leaves.
    pub fn set_drain_timeout(&mut self, bound: Duration) {
        self.last_use = bound.mul_f64(DRAIN_PART);
    }

    /// Sets what the services' engines can do.
    pub fn set_engine_specs(&mut self, engines: HashMap<DeploymentName, EngineSpec>) {
        self.engines = engines;
    }

    /// What the engines of a service can do; `None` for a plain service.
    #[must_use]
    pub fn engine_spec(&self, service: &DeploymentName) -> Option<&EngineSpec> {
        self.engines.get(service)
    }

    /// A target.
    #[must_use]
    pub fn get(&self, key: TargetKey) -> Option<&Target> {
        self.arena.get(key)
    }

    /// Whether a target leaves, is gone or was forgotten.
    #[must_use]
    pub fn is_leaving(&self, key: TargetKey, now: Duration) -> bool {
        self.get(key).is_none_or(|target| target.is_leaving(now))
    }

    /// Until when an engine that leaves is expected to serve.
    #[must_use]
    pub fn serves_until(&self, target: &Target) -> Option<Duration> {
        let relied = self
            .notices
            .get(&target.entry.service)?
            .conservative_estimate();
        let relied = relied.min(self.last_use);
        Some(target.draining_since? + relied)
    }

    /// The target of an instance.
    #[must_use]
    pub fn find_instance(&self, instance: &str) -> Option<TargetKey> {
        self.by_instance.get(instance).copied()
    }

    /// All targets.
    pub fn iter(&self) -> impl Iterator<Item = (TargetKey, &Target)> {
        self.arena.iter()
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
            .filter_map(|key| self.arena.get(*key).map(|target| (*key, target)))
    }

    /// Adds work of this host.
    pub fn add_request(&mut self, key: TargetKey, tokens: u32, prompt: u32, rank: usize) {
        if let Some(target) = self.arena.get_mut(key) {
            target
                .local_load
                .add(&TargetLoad::for_request(tokens, prompt, rank));
        }
    }

    /// A prompt of this host was read in `took`, with `ahead` tokens to read when it was sent.
    pub fn finish_prefill(
        &mut self,
        key: TargetKey,
        prompt: u32,
        rank: usize,
        ahead: u32,
        took: Duration,
    ) {
        let Some(target) = self.arena.get_mut(key) else {
            return;
        };
        let unread = &mut target.local_load.pending_prefill[rank.min(PRIORITY_LEVELS - 1)];
        *unread = unread.saturating_sub(prompt);
        let milliseconds = (took.as_secs_f64() * 1000.0).max(1.0);
        let (least, most) = READ_RATE_RANGE;
        let rate = (f64::from(ahead + prompt) / milliseconds).clamp(least, most);
        target.read_rate += READ_RATE_WEIGHT * (rate - target.read_rate);
    }

    /// Takes work of this host off. `unread` is what was not read yet.
    pub fn remove_request(&mut self, key: TargetKey, tokens: u32, unread: u32, rank: usize) {
        if let Some(target) = self.arena.get_mut(key) {
            let own = &mut target.local_load;
            own.requests = own.requests.saturating_sub(1);
            own.kv_tokens = own.kv_tokens.saturating_sub(tokens);
            let sum = &mut own.pending_prefill[rank.min(PRIORITY_LEVELS - 1)];
            *sum = sum.saturating_sub(unread);
        }
    }

    /// Changes the memory that a request is expected to need.
    pub fn resize_request(&mut self, key: TargetKey, old: u32, new: u32) {
        if let Some(target) = self.arena.get_mut(key) {
            target.local_load.kv_tokens = target.local_load.kv_tokens.saturating_sub(old) + new;
        }
    }

    /// Counts how a request ended.
    pub fn record_outcome(&mut self, key: TargetKey, outcome: TargetOutcome, now: Duration) {
        let Some(target) = self.arena.get_mut(key) else {
            return;
        };
        let (sample, weight) = match outcome {
            TargetOutcome::Completed => (0.0, FAILURE_WEIGHT),
            TargetOutcome::Succeeded => (0.0, ANSWER_WEIGHT),
            TargetOutcome::ReturnedError => (1.0, ANSWER_WEIGHT),
            TargetOutcome::Rejected => (0.5, FAILURE_WEIGHT),
            TargetOutcome::Failed | TargetOutcome::EndlessResponse | TargetOutcome::Unreachable => {
                (1.0, FAILURE_WEIGHT)
            }
        };
        let known = target.failure_rate(now);
        target.failure_rate = known + weight * (sample - known);
        target.failure_at = now;
        match outcome {
            TargetOutcome::Unreachable | TargetOutcome::EndlessResponse => {
                target.paused_until = now + target.pause;
                target.pause = (target.pause * 2).min(MAX_PAUSE);
            }
            TargetOutcome::Completed | TargetOutcome::Succeeded | TargetOutcome::ReturnedError => {
                target.pause = FIRST_PAUSE;
            }
            TargetOutcome::Failed | TargetOutcome::Rejected => {}
        }
    }

    /// Takes the load that another host reports for a target.
    pub fn record_peer_load(&mut self, instance: &str, peer: u64, load: TargetLoad, now: Duration) {
        if let Some(key) = self.find_instance(instance) {
            let target = &mut self.arena[key];
            target.peers.insert(peer, (now, load));
            target.promises.retain(|(_, host, _)| *host != peer);
        }
    }

    /// Counts work that another host is about to send, until it reports its load the next time.
    pub fn reserve(&mut self, key: TargetKey, peer: u64, work: TargetLoad, now: Duration) {
        if let Some(target) = self.arena.get_mut(key) {
            let promises = &mut target.promises;
            promises.retain(|(until, _, _)| now < *until);
            promises.push((now + PROMISE_LIFE, peer, work));
        }
    }
}
