//! The rate of requests to engines that may be cold.
//!
//! Load pattern: an engine that has just started under traffic sustains a few requests per second
//! from all hosts together and crashes well above that. All engines of a zone may return cold at
//! once, empty and therefore the cheapest choice of every host. An engine counts as cold after it was
//! listed, after its zone is back in service, and for as long as its entry or a response says so. One
//! that becomes cold while it serves is told within an interval of its entry; until then it gets what
//! a loaded engine gets, a tenth of its rate at the load of the deployments. Permits for warm engines
//! were measured and cost more than they protect: a round trip for each request, and a whole region
//! without its keeper.
//!
//! One host per region, the keeper, grants the slots of an engine, one interval apart and without a
//! burst. At 79 hosts and more an equal share of the rate is less than one request per second and
//! host, and the first requests of all hosts together already exceed the bound, so that shares
//! without communication cannot keep it. Only the keeper and the first host after it grant, see
//! [`keeper_fraction`]. A host that reaches neither of them may use a warm engine in few, random
//! seconds, see [`LocalShare`]; a cold engine it does not use.

use std::time::Duration;

use mimosagap_types::prelude::*;

use crate::hashing::stable_hash;
use crate::hosts::HostTable;
use crate::keeper_selection::{MAX_PROOF_AGE, duty_rank};
use crate::rate_limit::MAX_RATE;

/// Feature in the record of a host that grants slots of engines without a named limit. Hosts of
/// earlier builds answer that they cannot, so that an upgrade from the youngest host on would leave
/// the upgraded ones without permits.
pub const COLD_PERMIT_FEATURE: &str = "cold_permits";

/// Longest time that a slot of a cold engine is granted ahead. A new keeper grants nothing for this
/// long, because the one before may have granted these slots.
pub const MAX_COLD_WAIT: Duration = Duration::from_millis(250);

/// Time after the ask and the wait for its slot from which a permit is void. Covers a round trip to
/// another region.
pub const COLD_PERMIT_TTL: Duration = Duration::from_millis(100);

/// Number of hosts after the keeper that may grant.
pub const DEPUTY_COUNT: usize = 1;

/// Fraction of the rate that a host grants which may not be the only one.
pub const COLD_DEPUTY_FRACTION: f64 = 0.2;

/// Time by which late permits and slow links shorten the distance between requests: the life of a
/// permit and one trip between regions, in seconds.
const BUNCHING_SECS: f64 = 0.13;

/// Hosts that may grant at the same time: the keeper, a former one that cannot prove its duty, and a
/// deputy. Each may grant one slot at once.
const GRANTING_HOSTS: f64 = 3.0;

/// Lowest rate that is kept: one request in about eleven days. The interval of a lower one may exceed
/// the range of a duration.
const LOWEST_RATE: f64 = 1e-6;

/// Lowest rate of a cold engine, per second; what an invalid setting is read as.
const MIN_COLD_RATE: f64 = 1.0;

/// Time for which an engine is cold if its service names none.
const DEFAULT_COLD_TIME: Duration = Duration::from_secs(30);

/// Least time for which an engine counts as cold after its zone is back in service: two intervals at
/// which engines renew their entries, and some time for a late one.
const MIN_RETURN_TIME: Duration = Duration::from_secs(3);

/// Longest time for which an engine is cold after its start.
const MAX_COLD_TIME: Duration = Duration::from_hours(1);

/// Time by which a stated remaining time may exceed the time after a start.
const MAX_STATED_EXCESS: Duration = Duration::from_mins(1);

/// Length of the seconds of local shares.
const SHARE_PERIOD: Duration = Duration::from_secs(1);

/// Part of the rate that all hosts which reach no keeper use together.
const LOCAL_FRACTION: f64 = 0.1;

/// Periods that are searched for the next one in which a host has a local share.
const MAX_SEARCHED_PERIODS: u64 = 8;

/// The rate and time of cold engines of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdSpec {
    /// Requests per second that a cold engine sustains from all hosts together.
    pub per_second: f64,
    /// Time for which an engine is cold after it was listed.
    pub cold_time: Duration,
}

impl ColdSpec {
    /// Interprets the settings of a service; `None` if it names no rate. Of the interpretations of
    /// an invalid value the one counts that sends less.
    #[must_use]
    pub fn new(per_second: f64, cold_secs: Option<f64>) -> Option<Self> {
        if per_second == 0.0 {
            return None;
        }
        let per_second = if per_second > 0.0 {
            per_second.clamp(LOWEST_RATE, MAX_RATE)
        } else {
            MIN_COLD_RATE
        };
        let cold_time = cold_secs.map_or(DEFAULT_COLD_TIME, |secs| {
            Duration::try_from_secs_f64(secs).map_or(MAX_COLD_TIME, |time| time.min(MAX_COLD_TIME))
        });
        Some(Self {
            per_second,
            cold_time,
        })
    }

    /// Requests per second that the keeper grants: the rate, unless the bound requires less.
    #[must_use]
    pub fn granted_rate(&self, bound: &ColdBound) -> f64 {
        let limit = self.per_second * bound.overshoot + bound.slack - GRANTING_HOSTS;
        let peak = (1.0 + 2.0 * COLD_DEPUTY_FRACTION) * (1.0 + BUNCHING_SECS);
        let lowest = MIN_COLD_RATE.min(self.per_second);
        if limit.is_finite() {
            (limit / peak).min(self.per_second).max(lowest)
        } else {
            // A bound that is not a number sends less.
            lowest
        }
    }
}

/// The operators' bound on requests that reach a cold engine within a second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBound {
    /// Factor on the rate of the engine.
    pub overshoot: f64,
    /// Requests beyond that.
    pub slack: f64,
}

impl Default for ColdBound {
    fn default() -> Self {
        Self {
            overshoot: 1.5,
            slack: 5.0,
        }
    }
}

/// What a target says of the time for which it stays cold.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ColdClaim {
    /// Nothing.
    #[default]
    Unstated,
    /// It stays cold for this long.
    Remaining(Duration),
    /// A value that is negative, not a number or out of range.
    Invalid,
}

impl ColdClaim {
    /// Reads a number of milliseconds.
    #[must_use]
    pub fn from_milliseconds(milliseconds: f64) -> Self {
        Duration::try_from_secs_f64(milliseconds / 1000.0).map_or(Self::Invalid, Self::Remaining)
    }

    /// The time for which the target counts as cold, and whether that is not what it said. An
    /// invalid or far too long time counts as that after a start.
    #[must_use]
    pub fn cold_time(self, spec: &ColdSpec) -> (Duration, bool) {
        match self {
            Self::Unstated => (Duration::ZERO, false),
            Self::Remaining(time) if time <= spec.cold_time + MAX_STATED_EXCESS => (time, false),
            Self::Remaining(_) | Self::Invalid => (spec.cold_time, true),
        }
    }
}

/// What a host knows of a target that may be cold.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ColdState {
    /// Rate and time of its service; `None` without a bound.
    pub spec: Option<ColdSpec>,
    /// Rate that its keeper grants.
    granted_rate: f64,
    cold_until: Duration,
    hold_until: Duration,
    overload: f64,
    /// The last period whose local share was used.
    used_period: Option<u64>,
}

impl ColdState {
    /// Sets rate and time of the service. Returns whether they changed.
    pub fn set_spec(&mut self, spec: Option<ColdSpec>, bound: &ColdBound) -> bool {
        let is_changed = self.spec != spec;
        self.spec = spec;
        self.granted_rate = spec.map_or(0.0, |spec| spec.granted_rate(bound));
        is_changed
    }

    /// Requests per second that hosts may send together; `None` without a bound.
    #[must_use]
    pub fn per_second(&self) -> Option<f64> {
        self.spec.map(|_| self.granted_rate)
    }

    /// Records that the target was listed or started.
    pub fn record_start(&mut self, now: Duration) {
        if let Some(spec) = self.spec {
            self.cold_until = self.cold_until.max(now + spec.cold_time);
        }
    }

    /// Records that the zone of the target is back in service.
    pub fn record_return(&mut self, now: Duration) {
        if let Some(spec) = self.spec {
            let cold_time = spec.cold_time.max(MIN_RETURN_TIME);
            self.cold_until = self.cold_until.max(now + cold_time);
        }
    }

    /// Records what the target said. Returns whether it was warm before and is cold now.
    pub fn record_claim(&mut self, claim: ColdClaim, now: Duration) -> bool {
        let Some(spec) = self.spec else {
            return false;
        };
        let (cold_time, _) = claim.cold_time(&spec);
        let was_cold = self.is_cold(now);
        self.cold_until = self.cold_until.max(now + cold_time);
        !was_cold && self.is_cold(now)
    }

    /// Whether the target counts as cold.
    #[must_use]
    pub fn is_cold(&self, now: Duration) -> bool {
        self.spec.is_some() && now < self.cold_until
    }

    /// Time for which it stays cold.
    #[must_use]
    pub fn remaining(&self, now: Duration) -> Duration {
        self.cold_until.saturating_sub(now)
    }

    /// Records that no permit was given and the next one may be asked for after `ask_in`. The
    /// `overload` is the demand of all hosts as a multiple of the rate.
    pub fn hold(&mut self, ask_in: Duration, overload: f64, now: Duration) {
        self.hold_until = now + ask_in;
        self.overload = overload;
    }

    /// Time until this host may ask for a permit; zero if it may ask now or needs none.
    #[must_use]
    pub fn hold_time(&self, now: Duration) -> Duration {
        if self.spec.is_none() {
            return Duration::ZERO;
        }
        self.hold_until.saturating_sub(now)
    }

    /// Demand of all hosts as a multiple of the rate, when a permit was last denied; at least 1.
    #[must_use]
    pub fn overload(&self) -> f64 {
        self.overload.max(1.0)
    }

    /// Uses the local share of this host. Returns the time until it has one; zero if it may send
    /// now, and `None` if it may not count on one soon.
    pub fn use_local_share(&mut self, share: &LocalShare, now: Duration) -> Option<Duration> {
        if self.spec.is_none() || self.is_cold(now) {
            return None;
        }
        let wait = share.next_wait(self.granted_rate, self.used_period, now)?;
        if wait.is_zero() {
            self.used_period = Some(now.as_secs() / SHARE_PERIOD.as_secs());
        }
        Some(wait)
    }
}

/// The share of the rate that a host uses while it reaches neither the keeper nor its deputy.
///
/// Each host may send one request in few of its seconds, which differ by host and target. Equal
/// shares with a pause after each request would let all hosts send their first one at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LocalShare {
    /// Hash of the host and the target.
    pair_hash: u64,
    host_count: usize,
}

impl LocalShare {
    /// The share of a host among `host_count` hosts.
    #[must_use]
    pub fn new(host_hash: u64, instance: &str, host_count: usize) -> Self {
        Self {
            pair_hash: stable_hash(&[&host_hash.to_be_bytes(), instance.as_bytes()]),
            host_count,
        }
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "the fraction needs no more than 52 bits"
    )]
    fn next_wait(
        &self,
        per_second: f64,
        used_period: Option<u64>,
        now: Duration,
    ) -> Option<Duration> {
        let probability = per_second * LOCAL_FRACTION / self.host_count.max(1) as f64;
        let current = now.as_secs() / SHARE_PERIOD.as_secs();
        let may_send = |period: u64| {
            let hash = stable_hash(&[&self.pair_hash.to_be_bytes(), &period.to_be_bytes()]);
            Some(period) != used_period && (hash as f64) < probability * u64::MAX as f64
        };
        let period = (current..current + MAX_SEARCHED_PERIODS).find(|period| may_send(*period))?;
        Some(Duration::from_secs(period * SHARE_PERIOD.as_secs()).saturating_sub(now))
    }
}

/// Fraction of the rate of a region's engines that a host may grant: the whole rate if the list of
/// the store, read `proof_age` ago, shows it as the keeper; [`COLD_DEPUTY_FRACTION`] if it is the
/// keeper or the first deputy without that proof; nothing otherwise. At most three hosts grant at
/// once: the keeper, a former keeper that is cut off, and a deputy.
#[must_use]
pub fn keeper_fraction(
    hosts: &HostTable,
    region: Option<&RegionName>,
    host_name: &str,
    proof_age: Option<Duration>,
) -> f64 {
    let is_proved = proof_age.is_some_and(|age| age <= MAX_PROOF_AGE);
    match duty_rank(hosts, region, COLD_PERMIT_FEATURE, host_name) {
        Some(0) if is_proved => 1.0,
        Some(rank) if rank <= DEPUTY_COUNT => COLD_DEPUTY_FRACTION,
        Some(_) | None => 0.0,
    }
}
