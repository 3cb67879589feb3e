//! The table of targets and target groups: what the host list, load reports, peers and this
//! daemon's own attempts tell about each target.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::{Duration, Instant};

use mimosagap_types::prelude::*;
use slotmap::{SlotMap, new_key_type};

use crate::event::{ListedTarget, LoadReport, TargetKind};
use crate::forecast::{DEFAULT_TOKENS_PER_SECOND, MemoryChange};
use crate::memory_history::MemoryHistory;
use crate::prefix_cache::PrefixCache;
use crate::queue::GroupQueue;
use crate::report_lag::{CANDIDATE_COUNT, LagEstimator};
use crate::requests::RequestKey;

new_key_type! {
    /// Key of a target in the table.
    pub struct TargetKey;
}

/// An engine whose last report is older gets no new work. Equals six missed reports.
pub const REPORT_TTL: Duration = Duration::from_secs(3);

/// Time for which a target gets no new work after a failed connection, or a rejection that names no
/// delay.
pub const FAILURE_BACKOFF: Duration = Duration::from_secs(1);

/// Delay until a placement shows in the engine's own figures.
const PLACEMENT_DELAY: Duration = Duration::from_millis(50);

/// Lifetime of placements reported by peers. By then the engine's reports, fetched every 500 ms,
/// include them.
const PEER_PLACEMENT_TTL: Duration = Duration::from_secs(1);

/// A service that refused a connection is tried again after this time: services send no reports
/// that would show its return. It is probed every 500 ms.
const SERVICE_RETRY_DELAY: Duration = Duration::from_secs(2);

/// A target of unknown incarnation that was announced as leaving takes new work again after this
/// time if the host list still shows it as live. The list lags by seconds, not minutes.
const LEAVING_TTL: Duration = Duration::from_mins(1);

/// Upper bound on the delay of a report; fetches end well before. Incarnations have no order, so
/// for this long it is open which of two is the later one, and a target gets no new work if either
/// is leaving.
const MAX_REPORT_DELAY: Duration = Duration::from_secs(3);

/// Ended or leaving incarnations remembered for each target.
const MAX_INCARNATIONS: usize = 8;

/// Weight of the newest measurement in the moving average of the token rate.
const RATE_SMOOTHING: f64 = 0.1;

/// Identifies a group of interchangeable targets: the engines of a model, or the instances of a
/// service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct GroupIndex(pub(crate) usize);

/// Distance from this daemon to a target, nearest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum TargetDistance {
    /// In the daemon's zone.
    SameZone,
    /// In another zone of the daemon's region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

/// State of a target on the host list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ListingState {
    Live,
    Leaving,
    Absent,
}

/// Whether a target gets new work, and if not, why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetState {
    /// Listed, but no report has arrived yet.
    Unknown,
    /// Gets new work.
    Up,
    /// Finishes its work and gets no more.
    Leaving,
    /// Refuses connections or does not report.
    Down,
    /// No longer on the host list.
    Unlisted,
}

/// Result of comparing a reported incarnation with the known one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IncarnationChange {
    /// The report comes from the known incarnation.
    Same,
    /// The first incarnation seen.
    First,
    /// A new process; the contained incarnation has ended.
    Replaced(Incarnation),
    /// An incarnation that ended before: the report is late.
    Outdated,
}

/// The last report of a target.
#[derive(Debug, Clone)]
pub struct TargetLoad {
    /// Load as the target stated it.
    pub report: LoadReport,
    /// When the figures were taken.
    pub measured_at: Instant,
    /// When the report arrived.
    pub received_at: Instant,
    /// Tokens of this daemon's streams that are included in the figures.
    pub own_tokens: u64,
}

impl TargetLoad {
    /// KV cache in use, in tokens.
    #[must_use]
    pub fn used_tokens(&self) -> f64 {
        self.report.memory_usage * self.capacity()
    }

    /// Capacity of the KV cache, in tokens.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        reason = "memories are far below 2^52 tokens"
    )]
    pub fn capacity(&self) -> f64 {
        self.report.kv_capacity_tokens as f64
    }
}

/// A target with its last report, its cached prefixes and this daemon's use of it.
#[derive(Debug)]
pub struct Target {
    /// Address of the target; identifies it.
    pub address: TargetAddress,
    /// Deployment that the target belongs to.
    pub deployment: DeploymentName,
    /// Engine or service.
    pub kind: TargetKind,
    /// Zone of the target's host.
    pub zone: ZoneName,
    /// Region of that zone.
    pub region: RegionName,
    /// Distance from this daemon.
    pub distance: TargetDistance,
    /// Groups that the target belongs to: one for each model, or one for the service.
    pub groups: Vec<GroupIndex>,
    /// The last report; `None` before the first one of the current incarnation.
    pub load: Option<TargetLoad>,
    /// Incarnation of the target's process; `None` until it is reported.
    pub incarnation: Option<Incarnation>,
    /// Prefix blocks believed to be cached.
    pub cache: PrefixCache,
    /// Moving average of the tokens per second of one stream.
    pub tokens_per_second: f64,
    /// Expected change of KV cache use through this daemon's streams, summed.
    pub memory_change: MemoryChange,
    /// Requests of this daemon in flight at the target.
    pub requests: BTreeSet<RequestKey>,
    /// KV cache use of this daemon's streams at the target.
    pub memory_history: MemoryHistory,
    /// Suspect whose trial runs here or is being acquired.
    pub trial: Option<RequestKey>,
    /// Rule that drains the target; `None` if none does.
    pub drain_rule: Option<RuleReference>,
    /// State that was logged last.
    pub logged_state: TargetState,
    listing: ListingState,
    leaving_incarnations: Vec<Incarnation>,
    /// When the target was last announced as leaving while its incarnation was unknown.
    leaving_since: Option<Instant>,
    /// When an incarnation other than the known one was last announced as leaving, or replaced one
    /// that was.
    ambiguous_since: Option<Instant>,
    ended_incarnations: Vec<(Incarnation, Instant)>,
    connection_refused_at: Option<Instant>,
    avoid_until: Option<Instant>,
    peer_placed_tokens: u64,
}

fn remember_incarnation(incarnations: &mut Vec<Incarnation>, incarnation: Incarnation) -> bool {
    if incarnations.contains(&incarnation) {
        return false;
    }
    if incarnations.len() == MAX_INCARNATIONS {
        incarnations.remove(0);
    }
    incarnations.push(incarnation);
    true
}

impl Target {
    fn new(listed: &ListedTarget) -> Self {
        Self {
            address: listed.address,
            deployment: listed.deployment.clone(),
            kind: listed.kind.clone(),
            zone: listed.zone.clone(),
            region: listed.region.clone(),
            distance: TargetDistance::OtherRegion,
            groups: Vec::new(),
            load: None,
            incarnation: None,
            cache: PrefixCache::default(),
            tokens_per_second: DEFAULT_TOKENS_PER_SECOND,
            memory_change: [0.0; 3],
            requests: BTreeSet::new(),
            trial: None,
            drain_rule: None,
            logged_state: TargetState::Unknown,
            listing: ListingState::Live,
            leaving_incarnations: Vec::new(),
            leaving_since: None,
            ambiguous_since: None,
            ended_incarnations: Vec::new(),
            connection_refused_at: None,
            avoid_until: None,
            memory_history: MemoryHistory::default(),
            peer_placed_tokens: 0,
        }
    }

    /// Whether the target is a model engine.
    #[must_use]
    pub fn is_engine(&self) -> bool {
        matches!(self.kind, TargetKind::Engine { .. })
    }

    /// Whether the target gets no new work because it is announced as leaving or drained by a rule.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.drain_rule.is_some() || self.is_announced_leaving()
    }

    /// Whether the target itself, the host list or a peer says that it is leaving.
    #[must_use]
    pub fn is_announced_leaving(&self) -> bool {
        self.listing == ListingState::Leaving
            || self.leaving_since.is_some()
            || self.ambiguous_since.is_some()
            || self
                .incarnation
                .is_some_and(|incarnation| self.leaving_incarnations.contains(&incarnation))
    }

    /// State at `now`.
    #[must_use]
    pub fn state(&self, now: Instant) -> TargetState {
        if self.listing == ListingState::Absent {
            return TargetState::Unlisted;
        }
        if self.is_leaving() {
            return TargetState::Leaving;
        }
        let is_refused = |at: Instant| {
            self.is_engine() || now.saturating_duration_since(at) < SERVICE_RETRY_DELAY
        };
        if self.connection_refused_at.is_some_and(is_refused) {
            return TargetState::Down;
        }
        if !self.is_engine() {
            return TargetState::Up;
        }
        match &self.load {
            None => TargetState::Unknown,
            Some(load) if now.saturating_duration_since(load.received_at) < REPORT_TTL => {
                TargetState::Up
            }
            Some(_) => TargetState::Down,
        }
    }

    /// Whether the target may get new work at `now`.
    #[must_use]
    pub fn is_usable(&self, now: Instant) -> bool {
        self.avoid_until.is_none_or(|until| now >= until) && self.state(now) == TargetState::Up
    }

    /// Requests of this daemon in flight at the target.
    #[must_use]
    #[expect(clippy::cast_possible_truncation, reason = "far below 2^32")]
    pub fn outstanding(&self) -> u32 {
        self.requests.len() as u32
    }

    /// Streams of all daemons at the engine: the reported number, or that of this daemon if larger.
    #[must_use]
    pub fn streams(&self) -> u32 {
        let reported = self.load.as_ref().map_or(0, |load| load.report.running);
        reported.max(self.outstanding())
    }

    /// Tokens by which this daemon's streams use more now than the last report includes; negative
    /// if streams ended since.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "far below 2^52 tokens")]
    pub fn unreported_change(&self) -> f64 {
        let included = self.load.as_ref().map_or(0, |load| load.own_tokens);
        self.memory_history.tokens() as f64 - included as f64
    }

    /// As [`Self::unreported_change`], but 0 instead of negative: digests report additions only.
    #[must_use]
    pub fn unreported_tokens(&self) -> u64 {
        let included = self.load.as_ref().map_or(0, |load| load.own_tokens);
        self.memory_history.tokens().saturating_sub(included)
    }

    /// Tokens that peers placed here and that the last report does not include.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "far below 2^52 tokens")]
    pub fn peer_tokens(&self) -> f64 {
        self.peer_placed_tokens as f64
    }

    /// Change of the engine's memory since the last report, and that of this daemon's streams here
    /// at each candidate age of the figures, in tokens. `None` before the first report.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "far below 2^52 tokens")]
    pub fn compare_memory(
        &self,
        report: &LoadReport,
        now: Instant,
    ) -> Option<(f64, [f64; CANDIDATE_COUNT])> {
        let load = self.load.as_ref()?;
        let reported_change = (report.memory_usage - load.report.memory_usage) * load.capacity();
        let held_tokens_before = |time: Instant, lag: Duration| {
            let at = time.checked_sub(lag + PLACEMENT_DELAY);
            at.map_or(0.0, |at| self.memory_history.tokens_at(at) as f64)
        };
        let own_changes = LagEstimator::candidate_ages()
            .map(|lag| held_tokens_before(now, lag) - held_tokens_before(load.received_at, lag));
        Some((reported_change, own_changes))
    }

    /// Updates the incarnation from a report; late reports change nothing. An ended incarnation
    /// that still reports after `MAX_REPORT_DELAY` is alive: the report that seemed to replace it
    /// was the late one.
    pub fn observe_incarnation(
        &mut self,
        incarnation: Incarnation,
        now: Instant,
    ) -> IncarnationChange {
        if self.incarnation == Some(incarnation) {
            return IncarnationChange::Same;
        }
        if self.has_ended(incarnation, now) {
            return IncarnationChange::Outdated;
        }
        self.ended_incarnations
            .retain(|(ended, _)| *ended != incarnation);
        if self.leaving_since.take().is_some() {
            remember_incarnation(&mut self.leaving_incarnations, incarnation);
        }
        let was_leaving = self.is_announced_leaving();
        let Some(ended) = self.incarnation.replace(incarnation) else {
            return IncarnationChange::First;
        };
        if was_leaving {
            // For `MAX_REPORT_DELAY`, this may be a late report of an earlier process.
            self.ambiguous_since = Some(now);
        }
        if self.ended_incarnations.len() == MAX_INCARNATIONS {
            self.ended_incarnations.remove(0);
        }
        self.ended_incarnations.push((ended, now));
        self.cache.clear();
        self.connection_refused_at = None;
        self.load = None;
        IncarnationChange::Replaced(ended)
    }

    fn has_ended(&self, incarnation: Incarnation, now: Instant) -> bool {
        self.ended_incarnations.iter().any(|(ended, at)| {
            *ended == incarnation && now.saturating_duration_since(*at) < MAX_REPORT_DELAY
        })
    }

    /// Applies a report of the current incarnation.
    pub fn apply_report(&mut self, report: LoadReport, now: Instant) {
        let measured_at = now.checked_sub(report.age).unwrap_or(now);
        let included_until = measured_at.checked_sub(PLACEMENT_DELAY);
        let own_tokens = included_until.map_or(0, |at| self.memory_history.tokens_at(at));
        self.connection_refused_at = None;
        self.avoid_until = None;
        let is_resolved = |since: Instant| now.saturating_duration_since(since) >= MAX_REPORT_DELAY;
        if self.ambiguous_since.is_some_and(is_resolved) {
            self.ambiguous_since = None;
        }
        if report.leaving {
            self.mark_leaving(Some(report.incarnation), now);
        }
        self.load = Some(TargetLoad {
            report,
            measured_at,
            received_at: now,
            own_tokens,
        });
    }

    /// Marks an incarnation as leaving; `None` means the current one. Returns whether the target is
    /// newly announced as leaving. A leaving incarnation never takes work again.
    pub fn mark_leaving(&mut self, incarnation: Option<Incarnation>, now: Instant) -> bool {
        let was_leaving = self.is_announced_leaving();
        // Services do not report an incarnation.
        let incarnation = incarnation
            .or(self.incarnation)
            .filter(|_| self.is_engine());
        match incarnation {
            Some(incarnation) if self.has_ended(incarnation, now) => {}
            Some(incarnation) => {
                remember_incarnation(&mut self.leaving_incarnations, incarnation);
                if self.incarnation != Some(incarnation) {
                    // It may be later than the known one: incarnations have no order.
                    self.ambiguous_since = Some(now);
                }
            }
            None => self.leaving_since = Some(now),
        }
        !was_leaving && self.is_announced_leaving()
    }

    /// Clears a leaving mark that belongs to no known incarnation, once the host list has caught up
    /// and shows the target as live again, or after [`LEAVING_TTL`].
    fn clear_stale_leaving(&mut self, listed: &ListedTarget, now: Instant) {
        let is_listed_again = self.listing != ListingState::Live;
        let is_expired =
            |since: Instant| is_listed_again || now.saturating_duration_since(since) >= LEAVING_TTL;
        if !listed.leaving && self.leaving_since.is_some_and(is_expired) {
            self.leaving_since = None;
        }
        if !listed.leaving && self.ambiguous_since.is_some_and(is_expired) {
            self.ambiguous_since = None;
        }
    }

    /// Records that the host refused a connection: the process has ended.
    pub fn mark_refused(&mut self, now: Instant) {
        self.connection_refused_at = Some(now);
    }

    /// Gives the target no new work for a while.
    pub fn back_off(&mut self, now: Instant, time: Duration) {
        self.avoid_until = Some(now + time);
    }

    /// Updates the token rate from the progress of one stream.
    pub fn measure_rate(&mut self, tokens: u32, time: Duration) {
        if time >= Duration::from_millis(100) {
            let measured = f64::from(tokens) / time.as_secs_f64();
            self.tokens_per_second += RATE_SMOOTHING * (measured - self.tokens_per_second);
        }
    }
}

/// A group of interchangeable targets.
#[derive(Debug)]
pub struct TargetGroup {
    /// Name of the model or service, for diagnostics.
    pub name: String,
    /// Model of a group of engines; `None` for a service.
    pub model: Option<ModelName>,
    /// Targets of the group: listed, or with requests of this daemon in flight.
    pub targets: Vec<TargetKey>,
    /// Requests that wait for a target of the group.
    pub queue: GroupQueue,
    /// Expected change of KV cache use through this daemon's streams, summed.
    pub memory_change: MemoryChange,
    /// Number of this daemon's streams.
    pub streams: u32,
    /// Next position of the round-robin policy.
    pub round_robin_next: usize,
}

impl TargetGroup {
    /// Mean expected change of KV cache use of one stream.
    #[must_use]
    pub fn mean_stream_change(&self) -> MemoryChange {
        if self.streams == 0 {
            return [0.0; 3];
        }
        self.memory_change.map(|sum| sum / f64::from(self.streams))
    }
}

/// All targets and groups.
#[derive(Debug, Default)]
pub struct TargetTable {
    arena: SlotMap<TargetKey, Target>,
    addresses: HashMap<TargetAddress, TargetKey>,
    groups: Vec<TargetGroup>,
    models: HashMap<ModelName, GroupIndex>,
    services: HashMap<DeploymentName, GroupIndex>,
    peer_placements: BTreeMap<DaemonId, (Instant, Vec<(TargetKey, u64)>)>,
    has_host_list: bool,
    /// Estimates the age of reports that do not state it.
    pub report_lag: LagEstimator,
}

impl TargetTable {
    /// Whether a host list has been received.
    #[must_use]
    pub fn has_host_list(&self) -> bool {
        self.has_host_list
    }

    /// The target with this key.
    #[must_use]
    pub fn get(&self, key: TargetKey) -> Option<&Target> {
        self.arena.get(key)
    }

    /// The target with this key.
    pub fn get_mut(&mut self, key: TargetKey) -> Option<&mut Target> {
        self.arena.get_mut(key)
    }

    /// Key of the target at an address.
    #[must_use]
    pub fn key_of(&self, address: &TargetAddress) -> Option<TargetKey> {
        self.addresses.get(address).copied()
    }

    /// All targets with their keys.
    pub fn iter(&self) -> impl Iterator<Item = (TargetKey, &Target)> {
        self.arena.iter()
    }

    /// Keys of all targets.
    #[must_use]
    pub fn keys(&self) -> Vec<TargetKey> {
        self.arena.keys().collect()
    }

    /// The group with this index.
    #[must_use]
    pub fn group(&self, index: GroupIndex) -> &TargetGroup {
        &self.groups[index.0]
    }

    /// The group with this index.
    pub fn group_mut(&mut self, index: GroupIndex) -> &mut TargetGroup {
        &mut self.groups[index.0]
    }

    /// All groups, in the order of their indexes.
    pub fn groups(&self) -> impl Iterator<Item = (GroupIndex, &TargetGroup)> {
        self.groups
            .iter()
            .enumerate()
            .map(|(index, group)| (GroupIndex(index), group))
    }

    /// Group of a model's engines. Before the first host list it is created for any model, because
    /// engines may still be listed.
    pub fn model_group(&mut self, model: &ModelName) -> Option<GroupIndex> {
        if let Some(index) = self.models.get(model) {
            return Some(*index);
        }
        (!self.has_host_list).then(|| self.add_model(model))
    }

    /// Group of a service's targets.
    #[must_use]
    pub fn service_group(&self, service: &DeploymentName) -> Option<GroupIndex> {
        self.services.get(service).copied()
    }

    fn add_model(&mut self, model: &ModelName) -> GroupIndex {
        let index = self.add_group(model.to_string(), Some(model.clone()));
        self.models.insert(model.clone(), index);
        index
    }

    fn add_group(&mut self, name: String, model: Option<ModelName>) -> GroupIndex {
        self.groups.push(TargetGroup {
            name,
            model,
            targets: Vec::new(),
            queue: GroupQueue::default(),
            memory_change: [0.0; 3],
            streams: 0,
            round_robin_next: 0,
        });
        GroupIndex(self.groups.len() - 1)
    }

    /// Applies a host list and returns the targets that it newly shows as leaving. An empty list is
    /// taken for a fault of the source and ignored if targets are known.
    pub fn apply_list(
        &mut self,
        list: &[ListedTarget],
        zone: &ZoneName,
        region: &RegionName,
        now: Instant,
    ) -> Vec<TargetKey> {
        if list.is_empty() && !self.arena.is_empty() {
            return Vec::new();
        }
        self.has_host_list = true;
        let mut leaving = Vec::new();
        let listed_addresses: HashSet<TargetAddress> =
            list.iter().map(|listed| listed.address).collect();
        for target in self.arena.values_mut() {
            if !listed_addresses.contains(&target.address) {
                target.listing = ListingState::Absent;
            }
        }
        for listed in list {
            let key = self.upsert(listed);
            let target = &mut self.arena[key];
            target.clear_stale_leaving(listed, now);
            let was_leaving = target.is_announced_leaving();
            target.listing = if listed.leaving {
                ListingState::Leaving
            } else {
                ListingState::Live
            };
            target.distance = if target.zone == *zone {
                TargetDistance::SameZone
            } else if target.region == *region {
                TargetDistance::SameRegion
            } else {
                TargetDistance::OtherRegion
            };
            if listed.leaving {
                if let Some(incarnation) = target.incarnation {
                    remember_incarnation(&mut target.leaving_incarnations, incarnation);
                }
                if !was_leaving {
                    leaving.push(key);
                }
            }
        }
        self.remove_unlisted();
        self.rebuild_groups();
        leaving
    }

    fn upsert(&mut self, listed: &ListedTarget) -> TargetKey {
        if let Some(key) = self.key_of(&listed.address) {
            let target = &mut self.arena[key];
            target.deployment = listed.deployment.clone();
            target.kind = listed.kind.clone();
            target.zone = listed.zone.clone();
            target.region = listed.region.clone();
            return key;
        }
        let key = self.arena.insert(Target::new(listed));
        self.addresses.insert(listed.address, key);
        key
    }

    /// Removes targets that left the list and have no work of this daemon.
    fn remove_unlisted(&mut self) {
        let addresses = &mut self.addresses;
        self.arena.retain(|_, target| {
            let is_kept = target.listing != ListingState::Absent
                || !target.requests.is_empty()
                || target.trial.is_some();
            if !is_kept {
                addresses.remove(&target.address);
            }
            is_kept
        });
    }

    fn rebuild_groups(&mut self) {
        for group in &mut self.groups {
            group.targets.clear();
        }
        for key in self.keys() {
            let groups = match self.arena[key].kind.clone() {
                TargetKind::Engine { models } => models
                    .iter()
                    .map(|model| match self.models.get(model) {
                        Some(index) => *index,
                        None => self.add_model(model),
                    })
                    .collect(),
                TargetKind::Service => {
                    let service = self.arena[key].deployment.clone();
                    let index = self.services.get(&service).copied().unwrap_or_else(|| {
                        let index = self.add_group(service.to_string(), None);
                        self.services.insert(service, index);
                        index
                    });
                    vec![index]
                }
            };
            for index in &groups {
                self.groups[index.0].targets.push(key);
            }
            self.arena[key].groups = groups;
        }
    }

    /// Whether the group has a target that takes work now or may do so soon; restricted to `region`
    /// if one is given.
    #[must_use]
    pub fn may_find_target(
        &self,
        index: GroupIndex,
        region: Option<&RegionName>,
        now: Instant,
    ) -> bool {
        !self.has_host_list
            || self.group_targets(index).any(|target| {
                let state = target.state(now);
                let is_in_region = region.is_none_or(|region| *region == target.region);
                is_in_region && matches!(state, TargetState::Up | TargetState::Unknown)
            })
    }

    /// A rule that drains a target of the group which would otherwise take work.
    #[must_use]
    pub fn draining_rule(&self, index: GroupIndex) -> Option<&RuleReference> {
        self.group_targets(index)
            .filter(|target| !target.is_announced_leaving())
            .find_map(|target| target.drain_rule.as_ref())
    }

    fn group_targets(&self, index: GroupIndex) -> impl Iterator<Item = &Target> {
        let keys = self.group(index).targets.iter();
        keys.filter_map(|key| self.arena.get(*key))
    }

    /// Replaces the recent placements of a peer.
    pub fn set_peer_placements(
        &mut self,
        peer: DaemonId,
        placements: &[(TargetAddress, u64)],
        now: Instant,
    ) {
        self.remove_peer(&peer);
        let mut known_placements = Vec::with_capacity(placements.len());
        for (address, tokens) in placements {
            if let Some(key) = self.key_of(address) {
                let target = &mut self.arena[key];
                target.peer_placed_tokens = target.peer_placed_tokens.saturating_add(*tokens);
                known_placements.push((key, *tokens));
            }
        }
        self.peer_placements.insert(peer, (now, known_placements));
    }

    fn remove_peer(&mut self, peer: &DaemonId) {
        let Some((_, placements)) = self.peer_placements.remove(peer) else {
            return;
        };
        for (key, tokens) in placements {
            if let Some(target) = self.arena.get_mut(key) {
                target.peer_placed_tokens = target.peer_placed_tokens.saturating_sub(tokens);
            }
        }
    }

    /// Drops placements that the engines' reports include by now.
    pub fn expire_peer_placements(&mut self, now: Instant) {
        let expired: Vec<DaemonId> = self
            .peer_placements
            .iter()
            .filter(|(_, (received_at, _))| {
                now.saturating_duration_since(*received_at) >= PEER_PLACEMENT_TTL
            })
            .map(|(peer, _)| peer.clone())
            .collect();
        for peer in expired {
            self.remove_peer(&peer);
        }
    }

    /// Adds a change, times `sign`, to the expected changes of an engine and its group.
    pub fn add_memory_change(
        &mut self,
        key: TargetKey,
        group: GroupIndex,
        change: MemoryChange,
        sign: f64,
    ) {
        if let Some(target) = self.arena.get_mut(key) {
            add_scaled(&mut target.memory_change, change, sign);
        }
        add_scaled(&mut self.groups[group.0].memory_change, change, sign);
    }
}

fn add_scaled(sum: &mut MemoryChange, change: MemoryChange, sign: f64) {
    for (sum, value) in sum.iter_mut().zip(change) {
        *sum += sign * value;
    }
}
