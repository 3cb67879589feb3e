//! Checks at the targets that the fleet keeps to the rate limits that they name.
//!
//! A target names the requests per second that it accepts from all gateways together. Each gateway
//! that knows the limit counts, whether a response of the target or another gateway told it.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Time in which all gateways must have learned of a limit; also the time for which a gateway is
/// excused after it was restarted, suspended or cut off.
pub const NOTICE_LIMIT: Duration = Duration::from_secs(4);

/// Length of the sliding window in which requests are counted.
pub const RATE_WINDOW: Duration = Duration::from_secs(4);

/// A gateway that received the limit in a response counts this long after the response.
pub const RESPONSE_SLACK: Duration = Duration::from_millis(500);

/// Requests that a window may have: this multiple of what the limit allows, and
/// [`RATE_SLACK_REQUESTS`] more.
pub const RATE_TOLERANCE: f64 = 1.5;

/// Requests that a window may have beyond the multiple of what the limit allows.
pub const RATE_SLACK_REQUESTS: f64 = 5.0;

/// Time after the first naming from which the limit is expected to be used.
pub const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Shortest time over which the use of a limit is measured.
const MIN_USE_TIME: Duration = Duration::from_secs(6);

/// How far a limit was used that did not change while all gateways ran undisturbed.
#[derive(Debug, Clone, PartialEq)]
pub struct RateUsage {
    /// The target that named it.
    pub target: String,
    /// The limit in requests per second.
    pub limit: f64,
    /// Requests per second from all gateways, from [`SETTLE_TIME`] after the first naming.
    pub used: f64,
    /// Most requests in any window of [`RATE_WINDOW`] in that time.
    pub worst_window: usize,
}

/// A target that names a limit.
#[derive(Debug)]
struct LimitedTarget {
    /// The start of the time that all gateways get to learn of the limit.
    known_from: Instant,
    /// Each limit in requests per second and when the target began to name it, oldest first.
    limits: Vec<(Instant, f64)>,
    /// Arrivals of the last window, with their gateways.
    arrivals: VecDeque<(Instant, usize)>,
    /// When each gateway first received the limit in a response.
    told_at: HashMap<usize, Instant>,
    named_at: Instant,
    /// All arrivals from [`SETTLE_TIME`] after the first naming.
    settled_arrivals: Vec<Instant>,
    /// Whether a gateway or the way to the target was disturbed.
    is_disturbed: bool,
}

impl LimitedTarget {
    fn usage(&self, target: &str, now: Instant) -> Option<RateUsage> {
        let settled_for = now
            .duration_since(self.named_at)
            .checked_sub(SETTLE_TIME)
            .filter(|elapsed| *elapsed >= MIN_USE_TIME && !self.is_disturbed)?;
        let [(_, limit)] = self.limits[..] else {
            return None;
        };
        let arrivals = &self.settled_arrivals;
        let count = u32::try_from(arrivals.len()).ok()?;
        let in_window_from = |index: usize| {
            let end = arrivals[index] + RATE_WINDOW;
            arrivals[index..].partition_point(|at| *at <= end)
        };
        Some(RateUsage {
            target: target.to_owned(),
            limit,
            used: f64::from(count) / settled_for.as_secs_f64(),
            worst_window: (0..arrivals.len()).map(in_window_from).max().unwrap_or(0),
        })
    }

    /// The highest limit that gateways may still believe at some moment of the window that ends
    /// now.
    fn highest_limit(&self, now: Instant) -> f64 {
        let span = RATE_WINDOW + NOTICE_LIMIT;
        let is_old = |(at, _): &&(Instant, f64)| now.duration_since(*at) > span;
        let in_force = self.limits.iter().rfind(is_old);
        let recent = self.limits.iter().filter(|limit| !is_old(limit));
        recent
            .chain(in_force)
            .map(|(_, rate)| *rate)
            .fold(0.0, f64::max)
    }
}

/// The rate limits in force, and the arrivals at the targets that named them.
#[derive(Debug, Default)]
pub struct RateChecker {
    targets: HashMap<String, LimitedTarget>,
    /// Gateways that may not know what others know, until this time.
    excused_until: HashMap<usize, Instant>,
    usages: Vec<RateUsage>,
}

impl RateChecker {
    /// Records that a response of a target to a gateway names a limit, in requests per second.
    pub fn record_limit(&mut self, target: &str, gateway: usize, rate: f64, now: Instant) {
        let limited = self
            .targets
            .entry(target.to_owned())
            .or_insert_with(|| LimitedTarget {
                known_from: now,
                limits: Vec::new(),
                arrivals: VecDeque::new(),
                told_at: HashMap::new(),
                named_at: now,
                settled_arrivals: Vec::new(),
                is_disturbed: false,
            });
        let last = limited.limits.last();
        if last.is_none_or(|(_, last)| last.total_cmp(&rate).is_ne()) {
            limited.limits.push((now, rate));
        }
        limited.told_at.entry(gateway).or_insert(now);
    }

    /// Records that a target names no limit any more.
    pub fn end_limit(&mut self, target: &str, now: Instant) {
        let limited = self.targets.remove(target);
        let usage = limited.and_then(|limited| limited.usage(target, now));
        self.usages.extend(usage);
    }

    /// How far the limits that have ended were used.
    #[must_use]
    pub fn usages(&self) -> &[RateUsage] {
        &self.usages
    }

    /// Records that a gateway was restarted, suspended or cut off, and forgets what it was told.
    pub fn excuse_gateway(&mut self, gateway: usize, now: Instant) {
        self.excused_until.insert(gateway, now + NOTICE_LIMIT);
        for limited in self.targets.values_mut() {
            limited.told_at.remove(&gateway);
            limited.is_disturbed = true;
        }
    }

    /// Records that responses of a target may fail to reach the gateways until this time. Requests
    /// that are held up on the way may arrive together at its end.
    pub fn excuse_target(&mut self, target: &str, until: Instant) {
        if let Some(limited) = self.targets.get_mut(target) {
            limited.known_from = limited.known_from.max(until);
            limited.arrivals.clear();
            limited.told_at.clear();
            limited.is_disturbed = true;
        }
    }

    /// Records a request that reached a target. Returns the violation if the gateways that know the
    /// limit have sent too many.
    pub fn record_arrival(&mut self, target: &str, gateway: usize, now: Instant) -> Option<String> {
        let limited = self.targets.get_mut(target)?;
        if now >= limited.named_at + SETTLE_TIME {
            limited.settled_arrivals.push(now);
        }
        let is_told = limited
            .told_at
            .get(&gateway)
            .is_some_and(|at| now > *at + RESPONSE_SLACK);
        let excused_until = self.excused_until.get(&gateway);
        let is_excused = excused_until.is_some_and(|until| now < *until);
        let all_know = now >= limited.known_from + NOTICE_LIMIT;
        if is_told || (all_know && !is_excused) {
            limited.arrivals.push_back((now, gateway));
        }
        let is_expired = |at: Instant| now.duration_since(at) > RATE_WINDOW;
        while limited
            .arrivals
            .front()
            .is_some_and(|(at, _)| is_expired(*at))
        {
            limited.arrivals.pop_front();
        }
        if now < limited.known_from + NOTICE_LIMIT + RATE_WINDOW {
            return None;
        }
        let count = limited.arrivals.len();
        let rate = limited.highest_limit(now);
        let allowed = RATE_TOLERANCE * rate * RATE_WINDOW.as_secs_f64() + RATE_SLACK_REQUESTS;
        if u32::try_from(count).is_ok_and(|count| f64::from(count) <= allowed) {
            return None;
        }
        // The next violation needs a full window again, so that one fault is reported once.
        limited.arrivals.clear();
        Some(format!(
            "{target} named a limit of {rate} requests a second and got {count} in \
             {RATE_WINDOW:?} from gateways that knew it, allowed are {allowed}"
        ))
    }
}
