//! Grants the requests of all hosts to one target that names a rate limit.
//!
//! A target in need accepts a few requests per second from a fleet of up to hundreds of hosts. Equal
//! shares would give each host one request in a minute, whether its callers need it or not, and a
//! first request of each host would already be too many. So one host, the keeper of the target, says
//! for each request when it may be sent. Requests get consecutive slots, one interval apart; unused
//! slots add up to [`BURST_TIME`], so that the rate is used although hosts ask at random moments.
//!
//! A host whose request cannot be sent in time is told when to ask again. That time is inverse to
//! its share of the demand, so that a busy host is served in proportion, and all hosts together ask
//! [`ASKS_PER_SLOT`] times per slot, however many they are.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Time for which unused slots are kept. At low rates one slot is kept, however long it takes.
pub const BURST_TIME: Duration = Duration::from_millis(500);

/// Longest time that a slot is granted ahead, whatever a request could wait.
pub const MAX_WAIT: Duration = Duration::from_secs(1);

/// Expected number of times that all hosts together ask for each slot.
const ASKS_PER_SLOT: f64 = 3.0;

/// Longest time after which a host that was denied asks again.
const MAX_HOLD: Duration = Duration::from_secs(2);

/// Time for which the demand that a host stated counts.
const DEMAND_TTL: Duration = Duration::from_secs(4);

/// Lowest demand of a host that asks, in requests per second.
const MIN_DEMAND: f64 = 0.2;

/// Why a request is to be sent, which decides who goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum PermitClass {
    /// A generation that runs goes on, or is copied.
    Continuation,
    /// A request is sent for the first time; 0 is the most urgent priority level.
    First(u8),
    /// A request is sent once more, or a call that nobody waits for. It gets only slots that would
    /// stay unused.
    Spare,
}

/// A host asks to send one request to a target.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PermitAsk {
    /// Hash of the name of the host that asks.
    pub host_hash: u64,
    /// Why the request is sent.
    pub class: PermitClass,
    /// How long the request can wait for its slot.
    pub max_wait: Duration,
    /// Requests per second of the service at the host.
    pub demand: f64,
}

/// The keeper's decision on a [`PermitAsk`].
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum PermitDecision {
    /// The request may be sent after this time, and not much later.
    Granted(Duration),
    /// No slot is free in time.
    Denied {
        /// When the host may ask again.
        ask_in: Duration,
        /// Demand of all hosts that ask, as a multiple of the rate.
        overload: f64,
    },
}

/// The slots of one target.
#[derive(Debug, Clone)]
pub struct RateKeeper {
    /// Start of the next free slot; in the past if slots were left unused.
    next_slot: Duration,
    interval: Duration,
    demands: HashMap<u64, (Duration, f64)>,
    /// Time for which unused slots are kept; at least one interval.
    burst: Duration,
    /// Longest time that a slot is granted ahead.
    max_wait: Duration,
}

impl RateKeeper {
    /// Creates the slots of a target that accepts `rate` requests per second, which must be
    /// positive. The first one starts after one interval, because another keeper may just have
    /// granted one, or requests arrived before the limit was known.
    #[must_use]
    pub fn new(rate: f64, now: Duration) -> Self {
        let interval = Duration::from_secs_f64(1.0 / rate);
        Self {
            next_slot: now + interval,
            interval,
            demands: HashMap::new(),
            burst: BURST_TIME,
            max_wait: MAX_WAIT,
        }
    }

    /// Creates the slots of a target that must not get a burst, granted at most `max_wait` ahead.
    /// The first one starts after `max_wait`, up to which another keeper may have granted.
    #[must_use]
    pub fn without_burst(rate: f64, max_wait: Duration, now: Duration) -> Self {
        let keeper = Self::new(rate, now);
        Self {
            next_slot: keeper.next_slot.max(now + max_wait),
            burst: Duration::ZERO,
            max_wait,
            ..keeper
        }
    }

    /// Decides on a request at the rate that now holds, which must be positive.
    pub fn decide(&mut self, ask: &PermitAsk, rate: f64, now: Duration) -> PermitDecision {
        self.set_rate(rate, now);
        self.demands
            .retain(|_, (stated_at, _)| now < *stated_at + DEMAND_TTL);
        let demand = ask.demand.clamp(MIN_DEMAND, f64::from(u32::MAX));
        self.demands.insert(ask.host_hash, (now, demand));
        let burst = self.burst.max(self.interval);
        let slot = self.next_slot.max(now.saturating_sub(burst));
        let wait = slot.saturating_sub(now);
        let (is_admitted, max_wait) = match ask.class {
            PermitClass::Continuation => (true, ask.max_wait),
            PermitClass::First(level) => (true, ask.max_wait / (u32::from(level) + 1)),
            PermitClass::Spare => (slot + burst / 2 <= now, Duration::ZERO),
        };
        let max_wait = max_wait.min(self.max_wait);
        if is_admitted && wait <= max_wait {
            self.next_slot = slot + self.interval;
            return PermitDecision::Granted(wait);
        }
        let total_demand: f64 = self.demands.values().map(|(_, demand)| demand).sum();
        let hold_secs = total_demand / demand * self.interval.as_secs_f64() / ASKS_PER_SLOT;
        let hold = Duration::from_secs_f64(hold_secs.min(MAX_HOLD.as_secs_f64()));
        PermitDecision::Denied {
            ask_in: hold.max(wait.saturating_sub(max_wait).min(MAX_HOLD)),
            overload: total_demand * self.interval.as_secs_f64(),
        }
    }

    /// Adapts the slots that are granted ahead, or left unused, to a new rate.
    fn set_rate(&mut self, rate: f64, now: Duration) {
        let interval = Duration::from_secs_f64(1.0 / rate);
        if interval == self.interval {
            return;
        }
        let factor = interval.as_secs_f64() / self.interval.as_secs_f64().max(f64::MIN_POSITIVE);
        let ahead = self.next_slot.saturating_sub(now);
        // A lower rate does not stretch what is granted ahead: the next request waits one interval.
        self.next_slot = if ahead.is_zero() {
            self.next_slot
        } else if factor < 1.0 {
            now + ahead.mul_f64(factor)
        } else {
            now + ahead.max(interval)
        };
        self.interval = interval;
    }
}
