//! Memory budget for requests whose bodies are read whole before they are sent to a target.
//!
//! Load pattern: clients that respect no limits send many large bodies at once, whole, in pieces or
//! in tiny chunks, most of them stop shortly before the end and stay connected. Each body is within
//! the limit, but their sum exceeds the memory of the host.
//!
//! A request is charged before its bytes are read: for its head, for its body by the declared
//! length or as chunks arrive, and for what the kernel may hold of it. When the budget runs short,
//! the request without progress for the longest time is evicted first, then new large bodies are
//! refused. A part of the budget is reserved for small requests, and no team and no address may use
//! more than a share. Only requests whose body is incomplete are evicted; no target has any of them.

use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

use mimosagap_types::prelude::*;

/// The default capacity is the memory of the host divided by this. Connections may use another
/// sixth, buffered responses an eighth, and the rest is left to control work.
const MEMORY_DIVISOR: usize = 5;

/// The part of the capacity that only small requests may use is the capacity divided by this.
const SMALL_RESERVE_DIVISOR: usize = 4;

/// Charge for a request besides its body, in bytes: the headers, which keep the read buffer of their
/// connection alive, and the state of the request.
pub const REQUEST_OVERHEAD_BYTES: usize = 16 << 10;

/// Receive buffer of a connection in the kernel, in bytes. At 60 ms per round trip it allows 17
/// Mbit/s, more than the link of the slowest host has.
pub const RECEIVE_BUFFER_BYTES: usize = 128 << 10;

/// First and largest step in which a body of unknown length is charged, in bytes. The steps double
/// in between.
const MIN_GROWTH_BYTES: usize = 4 << 10;
const MAX_GROWTH_BYTES: usize = 64 << 10;

/// Bytes that a body has to receive within the stall time in order to count as slow and not as
/// stalled.
const PROGRESS_BYTES: usize = 4 << 10;

/// Default time without progress after which a body counts as stalled.
const DEFAULT_STALL_TIME: Duration = Duration::from_secs(1);

/// Default length up to which a body is small, in bytes. Prompts of 3,000 tokens take about 12 KB.
const DEFAULT_SMALL_BODY_BYTES: usize = 64 << 10;

/// Default share of the capacity that one team or one address may use, in percent.
const DEFAULT_HOLDER_PERCENT: u32 = 50;

/// Length of the intervals over which released bytes are counted.
const RELEASE_INTERVAL: Duration = Duration::from_secs(5);

/// Shortest and longest time after which a refused caller is asked to return.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(500);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Limits of a [`RequestBudget`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetLimits {
    /// Bytes that all requests together may hold.
    pub capacity_bytes: usize,
    /// Share of the capacity that one team or one address may use, in percent.
    pub holder_percent: u32,
    /// Length up to which a body is small, in bytes.
    pub small_body_bytes: usize,
    /// Time without progress after which a body counts as stalled.
    pub stall_time: Duration,
}

impl BudgetLimits {
    /// The default limits of a host with this much memory in bytes.
    #[must_use]
    pub fn with_memory(memory_bytes: usize) -> Self {
        Self {
            capacity_bytes: memory_bytes / MEMORY_DIVISOR,
            holder_percent: DEFAULT_HOLDER_PERCENT,
            small_body_bytes: DEFAULT_SMALL_BODY_BYTES,
            stall_time: DEFAULT_STALL_TIME,
        }
    }

    fn large_bytes(&self) -> usize {
        self.capacity_bytes - self.capacity_bytes / SMALL_RESERVE_DIVISOR
    }

    /// Bytes that one team or one address may use for large bodies, or for all its requests
    /// together if `is_small`. The second limit is half of what the first one leaves higher, so that
    /// small requests are admitted beside the large bodies of the same client.
    fn holder_bytes(&self, is_small: bool) -> usize {
        let percent = usize::try_from(self.holder_percent.min(100)).unwrap_or(100);
        let percent = if is_small {
            usize::midpoint(percent, 100)
        } else {
            percent
        };
        self.capacity_bytes / 100 * percent
    }
}

/// Identifies a request in the budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestKey(u64);

/// On whose behalf a request holds memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHolder {
    /// Address of the client.
    pub address: IpAddr,
    /// Team of the API key; `None` if the request needs no key.
    pub team: Option<TeamName>,
}

impl RequestHolder {
    fn shares_with(&self, other: &Self) -> bool {
        self.address == other.address || (self.team.is_some() && self.team == other.team)
    }
}

/// Why the budget admits no more bytes of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BudgetRefusal {
    /// The budget is used up, and nothing that may be evicted is left.
    Exhausted,
    /// The team or the address of the request uses its whole share.
    HolderShare,
    /// The request was evicted before.
    Evicted,
}

impl BudgetRefusal {
    /// Stable name for logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Exhausted => "exhausted",
            Self::HolderShare => "holder_share",
            Self::Evicted => "evicted",
        }
    }
}

/// A request that has to release its memory without having been sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Eviction {
    /// The evicted request.
    pub key: RequestKey,
    /// Bytes that were charged to it.
    pub held_bytes: usize,
    /// Bytes of its body that had arrived.
    pub received_bytes: usize,
    /// Time since its last progress.
    pub stalled_for: Duration,
}

/// Decision on a request, or on further bytes of one. The evictions hold in either case.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BudgetDecision {
    /// The request if it is admitted, or why it is not.
    pub result: Result<RequestKey, BudgetRefusal>,
    /// Requests that are evicted in favour of this one.
    pub evictions: Vec<Eviction>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyState {
    Reading,
    /// The request may have been sent to a target.
    Complete,
}

#[derive(Debug, Clone)]
struct Holding {
    holder: RequestHolder,
    state: BodyState,
    charged_bytes: usize,
    is_small: bool,
    received_bytes: usize,
    /// Value of `received_bytes` at the last progress.
    marked_bytes: usize,
    progressed_at: Duration,
}

/// Bytes that requests hold, by the state of their bodies.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BudgetUsage {
    /// Held by requests whose body is incomplete.
    pub reading_bytes: usize,
    /// Held by requests whose body is complete, which wait or were sent to a target.
    pub complete_bytes: usize,
}

/// Memory that the requests of a host hold.
#[derive(Debug, Clone)]
pub struct RequestBudget {
    limits: BudgetLimits,
    requests: HashMap<RequestKey, Holding>,
    next_key: u64,
    used_bytes: usize,
    /// Part of `used_bytes` that is not held by small requests.
    large_bytes: usize,
    interval_started_at: Duration,
    released_bytes: usize,
    released_before_bytes: usize,
}

/// Charge for a body of which this much is declared or has arrived.
fn charge(body_bytes: usize) -> usize {
    REQUEST_OVERHEAD_BYTES
        .saturating_add(body_bytes)
        .saturating_add(body_bytes.min(RECEIVE_BUFFER_BYTES))
}

/// The next step of a body of unknown length that has received this much.
fn round_up(received_bytes: usize) -> usize {
    if received_bytes <= MAX_GROWTH_BYTES {
        received_bytes.next_power_of_two().max(MIN_GROWTH_BYTES)
    } else {
        received_bytes
            .div_ceil(MAX_GROWTH_BYTES)
            .saturating_mul(MAX_GROWTH_BYTES)
    }
}

impl RequestBudget {
    /// Creates an empty budget.
    #[must_use]
    pub fn new(limits: BudgetLimits) -> Self {
        Self {
            limits,
            requests: HashMap::new(),
            next_key: 0,
            used_bytes: 0,
            large_bytes: 0,
            interval_started_at: Duration::ZERO,
            released_bytes: 0,
            released_before_bytes: 0,
        }
    }

    /// The limits of the budget.
    #[must_use]
    pub fn limits(&self) -> &BudgetLimits {
        &self.limits
    }

    /// Decides on a new request before any of its body is read. `declared_bytes` is the length of
    /// the body, or `None` if it is sent in chunks.
    pub fn admit(
        &mut self,
        holder: RequestHolder,
        declared_bytes: Option<usize>,
        now: Duration,
    ) -> BudgetDecision {
        let body_bytes = declared_bytes.unwrap_or(0);
        let needed_bytes = charge(body_bytes);
        let is_small = body_bytes <= self.limits.small_body_bytes;
        let mut evictions = Vec::new();
        let room = self.make_room(&holder, None, needed_bytes, is_small, now, &mut evictions);
        let result = room.map(|()| {
            let key = RequestKey(self.next_key);
            self.next_key += 1;
            let holding = Holding {
                holder,
                state: BodyState::Reading,
                charged_bytes: 0,
                is_small,
                received_bytes: 0,
                marked_bytes: 0,
                progressed_at: now,
            };
            self.requests.insert(key, holding);
            self.set_charge(key, needed_bytes);
            key
        });
        BudgetDecision { result, evictions }
    }

    /// Decides on further bytes of a body before they are kept, and records the progress.
    pub fn receive(&mut self, key: RequestKey, bytes: usize, now: Duration) -> BudgetDecision {
        let mut evictions = Vec::new();
        let result = self.try_receive(key, bytes, now, &mut evictions);
        BudgetDecision {
            result: result.map(|()| key),
            evictions,
        }
    }

    fn try_receive(
        &mut self,
        key: RequestKey,
        bytes: usize,
        now: Duration,
        evictions: &mut Vec<Eviction>,
    ) -> Result<(), BudgetRefusal> {
        let Some(holding) = self.requests.get_mut(&key) else {
            return Err(BudgetRefusal::Evicted);
        };
        let received_bytes = holding.received_bytes.saturating_add(bytes);
        if received_bytes >= holding.marked_bytes + PROGRESS_BYTES {
            holding.marked_bytes = received_bytes;
            holding.progressed_at = now;
        }
        if charge(received_bytes) > holding.charged_bytes {
            let charged_bytes = charge(round_up(received_bytes));
            let added_bytes = charged_bytes - holding.charged_bytes;
            let is_small = received_bytes <= self.limits.small_body_bytes;
            let holder = holding.holder.clone();
            // A body that becomes large leaves the reserve with all that it holds.
            self.set_size(key, is_small);
            self.make_room(&holder, Some(key), added_bytes, is_small, now, evictions)?;
            self.set_charge(key, charged_bytes);
        }
        if let Some(holding) = self.requests.get_mut(&key) {
            holding.received_bytes = received_bytes;
        }
        Ok(())
    }

    /// The body is complete, so that the request may be sent and is never evicted. The kernel holds
    /// nothing of it any more.
    pub fn complete(&mut self, key: RequestKey) {
        let Some(holding) = self.requests.get_mut(&key) else {
            return;
        };
        holding.state = BodyState::Complete;
        let needed_bytes = REQUEST_OVERHEAD_BYTES.saturating_add(holding.received_bytes);
        let freed_bytes = holding.charged_bytes.saturating_sub(needed_bytes);
        holding.charged_bytes -= freed_bytes;
        self.used_bytes -= freed_bytes;
        if !holding.is_small {
            self.large_bytes -= freed_bytes;
        }
    }

    /// Releases everything that a request holds. Does nothing if it was evicted before.
    pub fn release(&mut self, key: RequestKey, now: Duration) {
        self.remove(key, now);
    }

    /// Evicts the request that has been stalled for the longest time, as its connection is needed.
    pub fn evict_stalled(&mut self, now: Duration) -> Option<Eviction> {
        let key = self.most_stalled(None, None, false, now)?;
        self.evict(key, now)
    }

    /// Time after which a refused caller should return: until a fourth of the capacity is released
    /// at the current rate.
    #[must_use]
    pub fn retry_delay(&self, now: Duration) -> Duration {
        let elapsed = now.saturating_sub(self.interval_started_at);
        let released_bytes = self.released_bytes + self.released_before_bytes;
        if released_bytes == 0 || elapsed > RELEASE_INTERVAL * 2 {
            return MAX_RETRY_DELAY;
        }
        let window = (RELEASE_INTERVAL + elapsed).as_millis();
        let needed_bytes = u128::try_from(self.limits.capacity_bytes / SMALL_RESERVE_DIVISOR);
        let released_bytes = u128::try_from(released_bytes).unwrap_or(1);
        let delay_ms = window * needed_bytes.unwrap_or(0) / released_bytes;
        Duration::from_millis(u64::try_from(delay_ms).unwrap_or(u64::MAX))
            .clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
    }

    /// Bytes that are held now.
    #[must_use]
    pub fn usage(&self) -> BudgetUsage {
        let mut usage = BudgetUsage::default();
        for holding in self.requests.values() {
            match holding.state {
                BodyState::Reading => usage.reading_bytes += holding.charged_bytes,
                BodyState::Complete => usage.complete_bytes += holding.charged_bytes,
            }
        }
        usage
    }

    /// Bytes that all requests together hold.
    #[must_use]
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    /// Evicts requests until `needed_bytes` are free for a request of `holder`, which is not evicted
    /// itself.
    fn make_room(
        &mut self,
        holder: &RequestHolder,
        own_key: Option<RequestKey>,
        needed_bytes: usize,
        is_small: bool,
        now: Duration,
        evictions: &mut Vec<Eviction>,
    ) -> Result<(), BudgetRefusal> {
        let holder_bytes = self.limits.holder_bytes(is_small);
        while self.held_by(holder, is_small).saturating_add(needed_bytes) > holder_bytes {
            self.evict_one(own_key, Some(holder), is_small, now, evictions)
                .ok_or(BudgetRefusal::HolderShare)?;
        }
        while !self.has_room(needed_bytes, is_small) {
            self.evict_one(own_key, None, is_small, now, evictions)
                .ok_or(BudgetRefusal::Exhausted)?;
        }
        Ok(())
    }

    /// Evicts the most stalled request, or for a small request the newest large body; of `holder`
    /// only, if one is given. `None` if there is none.
    fn evict_one(
        &mut self,
        own_key: Option<RequestKey>,
        holder: Option<&RequestHolder>,
        is_small: bool,
        now: Duration,
        evictions: &mut Vec<Eviction>,
    ) -> Option<()> {
        let victim = match self.most_stalled(own_key, holder, !is_small, now) {
            None if is_small => self.newest_large(own_key, holder),
            stalled => stalled,
        };
        evictions.push(self.evict(victim?, now)?);
        Some(())
    }

    fn has_room(&self, needed_bytes: usize, is_small: bool) -> bool {
        let fits = self.used_bytes.saturating_add(needed_bytes) <= self.limits.capacity_bytes;
        let fits_large = self.large_bytes.saturating_add(needed_bytes) <= self.limits.large_bytes();
        fits && (is_small || fits_large)
    }

    /// Bytes that are held on behalf of the team or the address of `holder`, the larger of both; by
    /// large bodies only, unless `with_small`.
    fn held_by(&self, holder: &RequestHolder, with_small: bool) -> usize {
        let (mut address_bytes, mut team_bytes) = (0, 0);
        for holding in self.requests.values() {
            if holding.is_small && !with_small {
                continue;
            }
            if holding.holder.address == holder.address {
                address_bytes += holding.charged_bytes;
            }
            if holder.team.is_some() && holding.holder.team == holder.team {
                team_bytes += holding.charged_bytes;
            }
        }
        address_bytes.max(team_bytes)
    }

    /// The request that has been without progress for the longest time, if that is longer than the
    /// stall time; among equals the one that holds most.
    fn most_stalled(
        &self,
        own_key: Option<RequestKey>,
        holder: Option<&RequestHolder>,
        only_large: bool,
        now: Duration,
    ) -> Option<RequestKey> {
        let stalled = self.evictable(own_key, holder).filter(|(_, holding)| {
            // A large body gains nothing from the reserve, which small requests use.
            let is_useful = !only_large || !holding.is_small;
            is_useful && now.saturating_sub(holding.progressed_at) >= self.limits.stall_time
        });
        let longest = stalled.min_by_key(|(key, holding)| {
            let held_bytes = std::cmp::Reverse(holding.charged_bytes);
            (holding.progressed_at, held_bytes, *key)
        });
        longest.map(|(key, _)| key)
    }

    /// The large body that was admitted last and is still incomplete.
    fn newest_large(
        &self,
        own_key: Option<RequestKey>,
        holder: Option<&RequestHolder>,
    ) -> Option<RequestKey> {
        let large = self
            .evictable(own_key, holder)
            .filter(|(_, holding)| !holding.is_small);
        large.map(|(key, _)| key).max()
    }

    /// Requests whose body is incomplete, other than `own_key`; of `holder` only, if one is given.
    fn evictable(
        &self,
        own_key: Option<RequestKey>,
        holder: Option<&RequestHolder>,
    ) -> impl Iterator<Item = (RequestKey, &Holding)> {
        let requests = self.requests.iter().map(|(key, holding)| (*key, holding));
        requests.filter(move |(key, holding)| {
            Some(*key) != own_key
                && holding.state == BodyState::Reading
                && holder.is_none_or(|holder| holding.holder.shares_with(holder))
        })
    }

    fn evict(&mut self, key: RequestKey, now: Duration) -> Option<Eviction> {
        let holding = self.remove(key, now)?;
        Some(Eviction {
            key,
            held_bytes: holding.charged_bytes,
            received_bytes: holding.received_bytes,
            stalled_for: now.saturating_sub(holding.progressed_at),
        })
    }

    fn remove(&mut self, key: RequestKey, now: Duration) -> Option<Holding> {
        let holding = self.requests.remove(&key)?;
        self.used_bytes -= holding.charged_bytes;
        if !holding.is_small {
            self.large_bytes -= holding.charged_bytes;
        }
        let elapsed = now.saturating_sub(self.interval_started_at);
        if elapsed >= RELEASE_INTERVAL {
            let is_next = elapsed < RELEASE_INTERVAL * 2;
            self.released_before_bytes = if is_next { self.released_bytes } else { 0 };
            self.released_bytes = 0;
            self.interval_started_at = now;
        }
        self.released_bytes += holding.charged_bytes;
        Some(holding)
    }

    fn set_size(&mut self, key: RequestKey, is_small: bool) {
        if let Some(holding) = self.requests.get_mut(&key) {
            if holding.is_small && !is_small {
                self.large_bytes += holding.charged_bytes;
            }
            holding.is_small &= is_small;
        }
    }

    fn set_charge(&mut self, key: RequestKey, charged_bytes: usize) {
        if let Some(holding) = self.requests.get_mut(&key) {
            let added_bytes = charged_bytes.saturating_sub(holding.charged_bytes);
            holding.charged_bytes += added_bytes;
            self.used_bytes += added_bytes;
            if !holding.is_small {
                self.large_bytes += added_bytes;
            }
        }
    }
}
