//! Checks at the targets that the fleet stops sending requests with a part of a prompt that crashes
//! targets, and that it still serves the requests which share their other parts.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Crashes under one part after which the fleet must have recognized it.
pub const MAX_CRASHES: usize = 5;

/// Time after the last tolerated crash in which all gateways must have learned of the part; also the
/// time for which a gateway is excused after it was restarted, suspended or cut off.
pub const NOTICE_LIMIT: Duration = Duration::from_secs(4);

/// Requests with the part that may still arrive at targets after that.
pub const MAX_LATE_ARRIVALS: usize = 3;

/// Time after the last tolerated crash from which sound requests must be served as before.
pub const SETTLE_TIME: Duration = Duration::from_secs(8);

/// Fewest sound requests during and outside a series of crashing ones that can be compared.
const MIN_SOUND_REQUESTS: usize = 20;

/// Part of the sound requests that must be served during a series, compared to those outside it.
const MIN_SERVED_RATIO: f64 = 0.5;

/// A series of requests with the same crashing part.
#[derive(Debug)]
struct CrashSeries {
    started_at: Instant,
    ended_at: Option<Instant>,
    crashes: Vec<Instant>,
    /// Arrivals after the fleet had to know the part.
    late_arrivals: usize,
}

impl CrashSeries {
    /// The crash after which the fleet had to know the part, or the last one if there are fewer.
    fn decisive_crash(&self) -> Option<Instant> {
        let last = self.crashes.len().min(MAX_CRASHES).checked_sub(1)?;
        Some(self.crashes[last])
    }
}

/// How a series of requests with a crashing part went.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashOutcome {
    /// The part in the prompts.
    pub part: String,
    /// Targets that crashed under it.
    pub crashes: usize,
    /// Arrivals after the fleet had to know the part.
    pub late_arrivals: usize,
    /// Time from the first crash to the last.
    pub crash_time: Duration,
    /// Sound requests that were served while the part was known, and how many there were.
    pub sound_during: (usize, usize),
    /// Sound requests that were served outside the series, and how many there were.
    pub sound_outside: (usize, usize),
}

/// The crashes under parts of prompts, and the sound requests beside them.
#[derive(Debug, Default)]
pub struct CrashChecker {
    series: HashMap<String, CrashSeries>,
    /// When each sound request was sent, and whether its response began.
    sound_requests: Vec<(Instant, bool)>,
    /// Gateways that may not know what others know, until this time.
    excused_until: HashMap<usize, Instant>,
}

impl CrashChecker {
    /// Records that clients start to send requests with a crashing part.
    pub fn start_series(&mut self, part: &str, now: Instant) {
        self.series
            .entry(part.to_owned())
            .or_insert_with(|| CrashSeries {
                started_at: now,
                ended_at: None,
                crashes: Vec::new(),
                late_arrivals: 0,
            });
    }

    /// Records that clients send no more requests with a crashing part.
    pub fn end_series(&mut self, part: &str, now: Instant) {
        if let Some(series) = self.series.get_mut(part) {
            series.ended_at = Some(now);
        }
    }

    /// Records that a target crashes under a request with a part.
    pub fn record_crash(&mut self, part: &str, now: Instant) {
        if let Some(series) = self.series.get_mut(part) {
            series.crashes.push(now);
        }
    }

    /// Excuses a gateway that was restarted, suspended or cut off until now.
    pub fn excuse_gateway(&mut self, gateway: usize, now: Instant) {
        self.excused_until.insert(gateway, now + NOTICE_LIMIT);
    }

    /// Records that a request with a part arrives at a target. `were_hosts_connected` tells whether
    /// the store and the hosts ran undisturbed for long enough before a moment. Returns the text of
    /// a violation for the first arrival that is too many.
    pub fn record_arrival(
        &mut self,
        part: &str,
        gateway: usize,
        now: Instant,
        were_hosts_connected: impl Fn(Instant) -> bool,
    ) -> Option<String> {
        let series = self.series.get_mut(part)?;
        let known_at = *series.crashes.get(MAX_CRASHES - 1)? + NOTICE_LIMIT;
        let excused_until = self.excused_until.get(&gateway);
        if now <= known_at
            || excused_until.is_some_and(|until| now < *until)
            || !were_hosts_connected(now)
        {
            return None;
        }
        series.late_arrivals += 1;
        (series.late_arrivals == MAX_LATE_ARRIVALS + 1).then(|| {
            format!(
                "more than {MAX_LATE_ARRIVALS} requests with part {part}, under which {} targets \
                 had crashed, arrived at targets later than {NOTICE_LIMIT:?} after the crash \
                 {MAX_CRASHES}",
                series.crashes.len()
            )
        })
    }

    /// Records a sound request of the route, with the same first part and API key as the crashing
    /// ones, and whether its response began at its first attempt.
    pub fn record_sound_request(&mut self, sent_at: Instant, has_begun: bool) {
        self.sound_requests.push((sent_at, has_begun));
    }

    /// How each series went, with the sound requests that `is_undisturbed` accepts.
    pub fn outcomes(&self, is_undisturbed: impl Fn(Instant) -> bool) -> Vec<CrashOutcome> {
        let is_in_any_series = |at: Instant| {
            let mut series = self.series.values();
            series.any(|series| {
                let end = series.ended_at.map(|end| end + SETTLE_TIME);
                at >= series.started_at && end.is_none_or(|end| at <= end)
            })
        };
        let count = |may_count: &dyn Fn(Instant) -> bool| {
            let counted = self
                .sound_requests
                .iter()
                .filter(|(at, _)| may_count(*at) && is_undisturbed(*at));
            counted.fold((0, 0), |(served, sent), (_, has_begun)| {
                (served + usize::from(*has_begun), sent + 1)
            })
        };
        let outside = count(&|at| !is_in_any_series(at));
        let outcome = |(part, series): (&String, &CrashSeries)| {
            let known_from = series.decisive_crash().map(|at| at + SETTLE_TIME);
            let is_during = |at: Instant| {
                known_from.is_some_and(|from| at >= from)
                    && series.ended_at.is_none_or(|end| at <= end)
            };
            let crash_time = match (series.crashes.first(), series.crashes.last()) {
                (Some(first), Some(last)) => last.duration_since(*first),
                _ => Duration::ZERO,
            };
            CrashOutcome {
                part: part.clone(),
                crashes: series.crashes.len(),
                late_arrivals: series.late_arrivals,
                crash_time,
                sound_during: count(&is_during),
                sound_outside: outside,
            }
        };
        self.series.iter().map(outcome).collect()
    }
}

impl CrashOutcome {
    /// The text of a violation if sound requests were served much less than outside the series.
    #[must_use]
    pub fn sound_violation(&self) -> Option<String> {
        let (served_during, sent_during) = self.sound_during;
        let (served_outside, sent_outside) = self.sound_outside;
        if sent_during < MIN_SOUND_REQUESTS || sent_outside < MIN_SOUND_REQUESTS {
            return None;
        }
        let (product_during, product_outside) =
            (served_during * sent_outside, served_outside * sent_during);
        #[expect(clippy::cast_precision_loss, reason = "counts of requests are small")]
        let is_low = (product_during as f64) < MIN_SERVED_RATIO * product_outside as f64;
        is_low.then(|| {
            format!(
                "{served_during} of {sent_during} sound requests began while part {} was known to \
                 crash targets, outside that {served_outside} of {sent_outside}",
                self.part
            )
        })
    }
}
