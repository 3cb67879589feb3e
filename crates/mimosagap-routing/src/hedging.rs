//! When a request that may run twice is sent to a second target before the first has responded.
//!
//! Load pattern: each target of a plain service slows down 2.5-fold for 15% of the time, 600 ms at
//! a time, and 1% of the calls take five times longer. Such calls decide the 99th percentile, and
//! nothing tells them from ordinary ones when they are sent. A second target asked once the first
//! is late answers most of them in the time of an ordinary call.
//!
//! The delay is a high percentile of the response times of the route and size, chosen such that the
//! expected number of late requests fits the operators' limit. A delay that is a constant is too
//! late at a fast service and sends everything twice at a slow one.
//!
//! A hedge costs a target as much as a request. While the service lacks capacity or the targets as
//! a whole are slow, all requests are late and hedges would only lengthen the queue, so none is
//! sent. The operators limit hedges to a fraction of the requests of the service; a host saves this
//! up as credit and starts without any, so restarts add nothing.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use mimosagap_types::prelude::*;

use crate::placement::place_call;
use crate::residency::{PermittedTarget, ResidencyPolicy};
use crate::targets::{Locality, TargetKey, TargetTable};

/// Fraction of the latency objective after which a request is late even if its response times are
/// not known, or are longer. The slowest calls of a healthy target take less.
const OBJECTIVE_FRACTION: f64 = 0.75;

/// Hedges that a host can save up: two bursts of slow responses at one target, which take about ten
/// each.
const MAX_SAVED_HEDGES: f64 = 20.0;

/// Hedges by which a host may exceed its credit for requests that wait for [`OBJECTIVE_FRACTION`]
/// of their objective, whose target may never respond.
const MAX_HEDGE_DEBT: f64 = 5.0;

/// Bounds on the share of requests that the delay makes late. Above the upper one, the second
/// response is rarely the first to arrive; below the lower one, few samples decide the percentile.
const LATE_SHARE_RANGE: (f64, f64) = (0.005, 0.15);

/// Late requests per hedge that the limit allows. Some late requests are denied, and without them
/// the limit would not be used: in the replay, 0.3% of 3% stayed unused.
const LATE_PER_HEDGE: f64 = 1.12;

/// Response times that must be known before their percentile is used.
const MIN_SAMPLES: u32 = 60;

/// Response times that are remembered: when twice as many are counted, all counts are halved.
const REMEMBERED_SAMPLES: u32 = 2000;

/// Ratio between the bounds of a bucket of response times; the error of a percentile is below it.
const BUCKET_RATIO: f64 = 1.05;

/// Number of buckets, from 1 ms to 4 minutes.
const BUCKET_COUNT: usize = 256;

/// Multiple of the median from which a response counts as slow for the target. A 2.5-fold slow
/// target exceeds it with three of four responses, a healthy one with one of eight.
const SLOW_FACTOR: f64 = 1.8;

/// Weight of the newest response in the share of slow responses of a target.
const SLOW_WEIGHT: f64 = 0.4;

/// Share of slow responses from which a target counts as slow: two in a row after fast ones.
const SLOW_SHARE: f64 = 0.5;

/// Time after which a target's responses say nothing of its present speed: the length of the bursts
/// in which targets are slow.
const SPEED_TTL: Duration = Duration::from_millis(600);

/// Targets that must have responded lately to judge the service as a whole, if it has as many. With
/// three, hedges were denied in bursts of two targets.
const MIN_OBSERVED_TARGETS: u32 = 4;

/// Time after a rejection by a target in which the service counts as short of capacity.
const REJECTION_TTL: Duration = Duration::from_secs(1);

/// Fraction of the service's slots from which it counts as short of capacity.
const BUSY_FRACTION: f64 = 0.7;

/// Fraction of the most retries that a host can hold, which hedges leave to failed requests.
const RETRY_RESERVE: f64 = 0.25;

/// The operators' limit on hedges.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct HedgeLimits {
    /// Hedges per request of the service; 0 turns learned hedging off.
    pub max_extra_ratio: f64,
    /// Limits of single routes, in place of [`HedgeLimits::max_extra_ratio`].
    pub route_ratios: BTreeMap<ClassName, f64>,
}

impl HedgeLimits {
    /// Hedges per request of the service that a route may cause.
    #[must_use]
    pub fn ratio(&self, route: &ClassName) -> f64 {
        let own_ratio = self.route_ratios.get(route).copied();
        own_ratio.unwrap_or(self.max_extra_ratio)
    }

    /// Whether the hedges of a route are timed and limited by this module.
    #[must_use]
    pub fn is_enabled(&self, route: &ClassName) -> bool {
        self.ratio(route) > 0.0
    }

    /// Whether this holds for any route.
    #[must_use]
    pub fn is_any_enabled(&self) -> bool {
        self.max_extra_ratio > 0.0 || self.route_ratios.values().any(|ratio| *ratio > 0.0)
    }
}

/// Requests of about the same size: up to four times as large as the smallest one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct SizeClass(u32);

impl SizeClass {
    /// The class of a size, in bytes of a body or tokens of a prompt.
    #[must_use]
    pub const fn new(size: usize) -> Self {
        let bits = usize::BITS - size.leading_zeros();
        Self(bits.div_ceil(2))
    }
}

/// What makes a request late.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HedgeTrigger {
    /// It takes longer than the learned percentile.
    Percentile,
    /// It has used up most of its latency objective.
    Objective,
}

impl HedgeTrigger {
    /// Stable name for logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Percentile => "percentile",
            Self::Objective => "objective",
        }
    }
}

/// When a request is hedged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HedgePlan {
    /// Time after the first send at which a second target is asked.
    pub delay: Duration,
    /// What the delay is derived from.
    pub trigger: HedgeTrigger,
}

impl HedgePlan {
    /// The plan for a request whose response times are not known, or whose first hedge was denied.
    #[must_use]
    pub fn for_objective(latency_objective: Duration) -> Self {
        Self {
            delay: latency_objective.mul_f64(OBJECTIVE_FRACTION),
            trigger: HedgeTrigger::Objective,
        }
    }
}

/// Why a late request is not hedged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HedgeDenial {
    /// Requests wait for the service, its slots are nearly full, or a target rejected a request.
    NoCapacity,
    /// Most of the targets respond slowly.
    TargetsSlow,
    /// The retry budget is needed for failed requests.
    RetryBudget,
    /// The operators' limit is reached.
    ExtraLimit,
    /// The rate limit of the second target leaves no room, so nothing was sent.
    RateLimited,
    /// No other target may run the request.
    NoTarget,
}

impl HedgeDenial {
    /// Stable name for logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::NoCapacity => "no_capacity",
            Self::TargetsSlow => "targets_slow",
            Self::RetryBudget => "retry_budget",
            Self::ExtraLimit => "extra_limit",
            Self::RateLimited => "rate_limited",
            Self::NoTarget => "no_target",
        }
    }
}

/// What the decision on one hedge depends on, besides what [`HedgePlanner`] has learned.
#[derive(Debug, Clone, Copy)]
pub struct HedgeConditions<'a> {
    /// Route of the request.
    pub route: &'a ClassName,
    /// What makes the request late.
    pub trigger: HedgeTrigger,
    /// Whether a request waits for the service at this host.
    pub has_queue: bool,
    /// The available targets of the service that the request may use.
    pub service_use: ServiceUse,
    /// Retries that this host may still spend.
    pub retry_credit: f64,
    /// The most retries that it can hold.
    pub retry_capacity: f64,
}

/// The available targets of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServiceUse {
    /// Number of targets.
    pub target_count: u32,
    /// Requests in flight at them.
    pub used_slots: u32,
    /// Requests that they run concurrently.
    pub total_slots: u32,
}

impl ServiceUse {
    /// Sums up the available targets of a service that `policy` allows.
    #[must_use]
    pub fn of(
        targets: &TargetTable,
        service: &DeploymentName,
        policy: &ResidencyPolicy,
        now: Duration,
    ) -> Self {
        let mut sum = Self::default();
        for (_, target) in targets.of_service(service) {
            if target.is_available(now) && policy.allows(targets, target) {
                sum.target_count += 1;
                sum.used_slots += target.load(now).requests;
                sum.total_slots += target.entry.slots.max(1);
            }
        }
        sum
    }

    fn is_busy(self) -> bool {
        f64::from(self.used_slots) > f64::from(self.total_slots) * BUSY_FRACTION
    }
}

/// Histogram of response times that forgets old ones.
#[derive(Debug, Clone)]
struct ResponseTimes {
    counts: Vec<u32>,
    total: u32,
}

impl Default for ResponseTimes {
    fn default() -> Self {
        Self {
            counts: vec![0; BUCKET_COUNT],
            total: 0,
        }
    }
}

impl ResponseTimes {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the cast saturates at 0, and the index is limited"
    )]
    fn record(&mut self, elapsed: Duration) {
        let milliseconds = elapsed.as_secs_f64() * 1000.0;
        let bucket = (milliseconds.ln() / BUCKET_RATIO.ln()).ceil() as usize;
        self.counts[bucket.min(BUCKET_COUNT - 1)] += 1;
        self.total += 1;
        if self.total >= 2 * REMEMBERED_SAMPLES {
            for count in &mut self.counts {
                *count /= 2;
            }
            self.total = self.counts.iter().sum();
        }
    }

    /// The time that this share of the responses exceeds; `None` while too few are known.
    fn exceeded_by(&self, share: f64) -> Option<Duration> {
        if self.total < MIN_SAMPLES {
            return None;
        }
        let max_above = share * f64::from(self.total);
        let mut above = 0;
        let last_bucket = self.counts.iter().enumerate().rev().find(|(_, count)| {
            above += **count;
            f64::from(above) > max_above
        });
        let bucket = u32::try_from(last_bucket?.0).ok()?;
        let milliseconds = BUCKET_RATIO.powf(f64::from(bucket));
        Some(Duration::from_secs_f64(milliseconds / 1000.0))
    }
}

/// Response times of one route.
#[derive(Debug, Clone, Default)]
struct RouteTimes {
    all: ResponseTimes,
    by_size: BTreeMap<SizeClass, ResponseTimes>,
}

impl RouteTimes {
    /// The time that this share of the responses exceeds, of the same size if enough are known.
    fn exceeded_by(&self, size: SizeClass, share: f64) -> Option<Duration> {
        let same_size = self.by_size.get(&size);
        same_size
            .and_then(|times| times.exceeded_by(share))
            .or_else(|| self.all.exceeded_by(share))
    }
}

/// How fast a target responded lately.
#[derive(Debug, Clone, Copy, Default)]
struct TargetSpeed {
    slow_share: f64,
    updated_at: Duration,
}

impl TargetSpeed {
    fn is_current(&self, now: Duration) -> bool {
        now.saturating_sub(self.updated_at) < SPEED_TTL
    }

    fn is_slow(&self, now: Duration) -> bool {
        self.is_current(now) && self.slow_share >= SLOW_SHARE
    }
}

/// Requests of the service and those that may be hedged, to turn the limit into a share of these.
#[derive(Debug, Clone, Copy, Default)]
struct RequestCounts {
    all: f64,
    hedgeable: f64,
}

/// When this host hedges the requests of one service, and how many hedges it may still send.
#[derive(Debug, Clone, Default)]
pub struct HedgePlanner {
    times: HashMap<ClassName, RouteTimes>,
    speeds: HashMap<TargetKey, TargetSpeed>,
    counts: RequestCounts,
    /// Credit of the routes without a limit of their own, which share one.
    shared_credit: f64,
    /// Credit of the routes with a limit of their own.
    route_credits: BTreeMap<ClassName, f64>,
    rejected_at: Option<Duration>,
}

impl HedgePlanner {
    /// Records the first send of any request of the service, which adds to the credit.
    pub fn record_request(&mut self, limits: &HedgeLimits) {
        self.counts.all += 1.0;
        if self.counts.all >= 2.0 * f64::from(REMEMBERED_SAMPLES) {
            self.counts.all /= 2.0;
            self.counts.hedgeable /= 2.0;
        }
        let gained = self.shared_credit + limits.max_extra_ratio;
        self.shared_credit = gained.min(MAX_SAVED_HEDGES);
        for (route, ratio) in &limits.route_ratios {
            let credit = self.route_credits.entry(route.clone()).or_default();
            *credit = (*credit + ratio).min(MAX_SAVED_HEDGES);
        }
    }

    /// Plans the hedge of a request whose route may be hedged, when it is sent first.
    pub fn plan(
        &mut self,
        limits: &HedgeLimits,
        route: &ClassName,
        size: SizeClass,
        latency_objective: Duration,
    ) -> HedgePlan {
        self.counts.hedgeable += 1.0;
        let late_plan = HedgePlan::for_objective(latency_objective);
        match self.learned_delay(limits, route, size) {
            Some(delay) if delay < late_plan.delay => HedgePlan {
                delay,
                trigger: HedgeTrigger::Percentile,
            },
            _ => late_plan,
        }
    }

    /// The response time of a route and size after which a request is late; `None` while too few
    /// are known.
    #[must_use]
    pub fn learned_delay(
        &self,
        limits: &HedgeLimits,
        route: &ClassName,
        size: SizeClass,
    ) -> Option<Duration> {
        let requests_per_hedgeable = self.counts.all.max(1.0) / self.counts.hedgeable.max(1.0);
        let (min_share, max_share) = LATE_SHARE_RANGE;
        let late_share = LATE_PER_HEDGE * limits.ratio(route) * requests_per_hedgeable;
        let late_share = late_share.clamp(min_share, max_share);
        self.times.get(route)?.exceeded_by(size, late_share)
    }

    /// Records the time until the response to a first attempt, or until it was cancelled: its
    /// response would have taken longer, and the share of late ones remains right.
    pub fn record_response(
        &mut self,
        route: &ClassName,
        size: SizeClass,
        target: TargetKey,
        elapsed: Duration,
        now: Duration,
    ) {
        if !self.times.contains_key(route) {
            self.times.insert(route.clone(), RouteTimes::default());
        }
        if let Some(times) = self.times.get_mut(route) {
            times.all.record(elapsed);
            times.by_size.entry(size).or_default().record(elapsed);
        }
        self.record_speed(route, size, target, elapsed, now);
    }

    /// Records how long a target took, or has taken so far, without counting a response.
    pub fn record_speed(
        &mut self,
        route: &ClassName,
        size: SizeClass,
        target: TargetKey,
        elapsed: Duration,
        now: Duration,
    ) {
        let median = self
            .times
            .get(route)
            .and_then(|times| times.exceeded_by(size, 0.5));
        let Some(median) = median else {
            return;
        };
        self.speeds.retain(|_, speed| speed.is_current(now));
        let is_slow = elapsed > median.mul_f64(SLOW_FACTOR);
        let sample = if is_slow { 1.0 } else { 0.0 };
        let speed = self.speeds.entry(target).or_default();
        speed.slow_share += SLOW_WEIGHT * (sample - speed.slow_share);
        speed.updated_at = now;
    }

    /// Records that a target rejected a request of the service.
    pub fn record_rejection(&mut self, now: Duration) {
        self.rejected_at = Some(now);
    }

    /// Whether a target responded slowly just now.
    #[must_use]
    pub fn is_slow(&self, target: TargetKey, now: Duration) -> bool {
        self.speeds
            .get(&target)
            .is_some_and(|speed| speed.is_slow(now))
    }

    /// Chooses the target of a call: the one that [`place_call`] prefers, or if that responds slowly
    /// another one that `policy` allows, that does not, is in the same region and has free slots.
    #[must_use]
    pub fn choose_target(
        &self,
        targets: &TargetTable,
        service: &DeploymentName,
        tried: &[TargetKey],
        policy: &ResidencyPolicy,
        now: Duration,
    ) -> Option<PermittedTarget> {
        let preferred = place_call(targets, service, tried, policy, now)?;
        if !self.is_slow(preferred.key(), now) {
            return Some(preferred);
        }
        let slow_targets = self
            .speeds
            .iter()
            .filter(|(_, speed)| speed.is_slow(now))
            .map(|(key, _)| *key);
        let excluded: Vec<TargetKey> = tried.iter().copied().chain(slow_targets).collect();
        let max_locality = targets
            .get(preferred.key())?
            .locality
            .max(Locality::SameRegion);
        place_call(targets, service, &excluded, policy, now)
            .filter(|other| {
                targets.get(other.key()).is_some_and(|target| {
                    let requests = f64::from(target.load(now).requests);
                    target.locality <= max_locality
                        && requests < BUSY_FRACTION * f64::from(target.entry.slots)
                })
            })
            .or(Some(preferred))
    }

    /// Decides whether a late request may be sent to a second target, and spends the credit for it.
    ///
    /// # Errors
    /// Why it may not.
    pub fn try_hedge(
        &mut self,
        limits: &HedgeLimits,
        conditions: &HedgeConditions<'_>,
        now: Duration,
    ) -> Result<(), HedgeDenial> {
        let was_rejected = self
            .rejected_at
            .is_some_and(|at| now.saturating_sub(at) < REJECTION_TTL);
        if conditions.has_queue || was_rejected || conditions.service_use.is_busy() {
            return Err(HedgeDenial::NoCapacity);
        }
        if self.are_targets_slow(conditions.service_use.target_count, now) {
            return Err(HedgeDenial::TargetsSlow);
        }
        let min_retry_credit = (RETRY_RESERVE * conditions.retry_capacity).max(1.0);
        if conditions.retry_credit < min_retry_credit {
            return Err(HedgeDenial::RetryBudget);
        }
        let min_credit = match conditions.trigger {
            HedgeTrigger::Percentile => 1.0,
            HedgeTrigger::Objective => 1.0 - MAX_HEDGE_DEBT,
        };
        let credit = self.credit_mut(limits, conditions.route);
        if *credit < min_credit {
            return Err(HedgeDenial::ExtraLimit);
        }
        *credit -= 1.0;
        Ok(())
    }

    /// Returns the credit of a hedge that was not sent after all.
    pub fn refund(&mut self, limits: &HedgeLimits, route: &ClassName) {
        *self.credit_mut(limits, route) += 1.0;
    }

    fn credit_mut(&mut self, limits: &HedgeLimits, route: &ClassName) -> &mut f64 {
        if limits.route_ratios.contains_key(route) {
            self.route_credits.entry(route.clone()).or_default()
        } else {
            &mut self.shared_credit
        }
    }

    /// Whether three quarters of the targets that responded just now did so slowly. One target, or two
    /// of many, are no evidence for the others.
    fn are_targets_slow(&self, target_count: u32, now: Duration) -> bool {
        let current = self.speeds.values().filter(|speed| speed.is_current(now));
        let (slow_count, count) = current.fold((0_u32, 0_u32), |(slow_count, count), speed| {
            (slow_count + u32::from(speed.is_slow(now)), count + 1)
        });
        count >= target_count.clamp(2, MIN_OBSERVED_TARGETS) && slow_count * 4 >= count * 3
    }
}
