//! Replays calls of a plain service whose targets slow down in bursts, without a network.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use mimosagap_routing::cold_rate::ColdClaim;
use mimosagap_routing::hedging::{
    HedgeConditions, HedgeLimits, HedgePlan, HedgePlanner, HedgeTrigger, ServiceUse, SizeClass,
};
use mimosagap_routing::placement::place_call;
use mimosagap_routing::residency::UNRESTRICTED;
use mimosagap_routing::retry_budget::{RetryBounds, RetryBudget, RetryPurpose, capacity};
use mimosagap_routing::targets::{Locality, TargetEntry, TargetKey, TargetTable};
use mimosagap_types::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const TARGET_COUNT: u16 = 6;
const SLOTS: u32 = 6;
const MEDIAN_SERVICE_MS: f64 = 30.0;
/// Standard deviation of the logarithm of the service time.
const SPREAD: f64 = 0.5;
const OUTLIER_SHARE: f64 = 0.01;
const OUTLIER_FACTOR: f64 = 5.0;
const SLOW_FACTOR: f64 = 2.5;
const SLOW_SHARE: f64 = 0.15;
const SLOW_MS: f64 = 600.0;
/// One way between a host and a target of the same region.
const LINK_MS: f64 = 1.0;
const SIZE: SizeClass = SizeClass::new(100);
const OBJECTIVE: Duration = Duration::from_millis(300);

/// When a second target is asked.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum HedgePolicy {
    None,
    /// After a fixed time, without a limit.
    Fixed(Duration),
    /// As [`HedgePlanner`] decides, with this limit.
    Learned(f64),
    /// Two requests at once; the target that begins one cancels the other, which takes one trip.
    Tied,
}

/// The calls of all hosts.
#[derive(Debug, Clone, Copy)]
pub struct HedgeLoad {
    pub hosts: usize,
    pub calls_per_second: f64,
    pub idempotent_share: f64,
    /// Time in which the planners learn, in seconds; calls before it are not counted.
    pub warm_up_seconds: f64,
    /// Length of the replay after the warm-up, in seconds.
    pub seconds: f64,
    pub seed: u64,
}

impl HedgeLoad {
    fn warm_up_ms(&self) -> f64 {
        self.warm_up_seconds * 1000.0
    }
}

/// What a replay shows, of the calls after the warm-up.
#[derive(Debug, Clone, Default)]
pub struct HedgeReport {
    /// Response times of idempotent calls in milliseconds, sorted.
    pub idempotent_ms: Vec<f64>,
    /// Response times of the other calls in milliseconds, sorted.
    pub other_ms: Vec<f64>,
    /// Second attempts that a target began to run.
    pub extra_runs: usize,
    pub new_connections: usize,
    /// Longest queue at a target.
    pub longest_queue: u32,
    pub denials: std::collections::BTreeMap<&'static str, usize>,
}

#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a replay has fewer than a million calls"
)]
pub fn percentile(sorted: &[f64], share: f64) -> f64 {
    sorted[((sorted.len() as f64) * share) as usize]
}

impl HedgeReport {
    pub fn calls(&self) -> usize {
        self.idempotent_ms.len() + self.other_ms.len()
    }

    /// Extra runs per call of the service.
    #[expect(clippy::cast_precision_loss, reason = "counts are small")]
    pub fn extra_ratio(&self) -> f64 {
        self.extra_runs as f64 / self.calls() as f64
    }

    pub fn max_queue(&self) -> f64 {
        f64::from(self.longest_queue)
    }

    pub fn summary(&self) -> String {
        format!(
            "p50 {:.0} p99 {:.0} p99.9 {:.0} ms, others p99 {:.0} ms, extra runs {:.2}%, new \
             connections {} of {} calls, longest queue {}, denied {:?}",
            percentile(&self.idempotent_ms, 0.5),
            percentile(&self.idempotent_ms, 0.99),
            percentile(&self.idempotent_ms, 0.999),
            percentile(&self.other_ms, 0.99),
            100.0 * self.extra_ratio(),
            self.new_connections,
            self.calls(),
            self.longest_queue,
            self.denials,
        )
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum EventKind {
    Arrival,
    Reach(usize),
    Finish(usize),
    Respond(usize),
    Hedge(usize),
    Cancel(usize),
}

struct SimulatedCall {
    host: usize,
    arrived_ms: f64,
    is_idempotent: bool,
    attempts: Vec<usize>,
    tried: Vec<TargetKey>,
    plan: Option<HedgePlan>,
    is_done: bool,
}

struct SimulatedAttempt {
    call: usize,
    target: usize,
    sent_ms: f64,
    has_begun: bool,
    is_over: bool,
}

struct SimulatedTarget {
    running: u32,
    queue: VecDeque<usize>,
    /// Begin of each slow period.
    slow_from_ms: Vec<f64>,
}

impl SimulatedTarget {
    /// When a job that takes `work_ms` at full speed ends.
    fn end_of(&self, now_ms: f64, mut work_ms: f64) -> f64 {
        let mut at = now_ms;
        let first = self
            .slow_from_ms
            .partition_point(|from| from + SLOW_MS <= now_ms);
        for from in &self.slow_from_ms[first..] {
            let fast_ms = (from - at).max(0.0);
            if work_ms <= fast_ms {
                return at + work_ms;
            }
            at += fast_ms;
            work_ms -= fast_ms;
            let slow_ms = from + SLOW_MS - at;
            if work_ms * SLOW_FACTOR <= slow_ms {
                return at + work_ms * SLOW_FACTOR;
            }
            at += slow_ms;
            work_ms -= slow_ms / SLOW_FACTOR;
        }
        at + work_ms
    }
}

/// What one host knows.
struct SimulatedHost {
    targets: TargetTable,
    planner: HedgePlanner,
    retry_budget: RetryBudget,
    /// Idle connections per target.
    idle: Vec<u32>,
}

struct Replay {
    policy: HedgePolicy,
    load: HedgeLoad,
    limits: HedgeLimits,
    /// Route of the idempotent calls, and of the others.
    route: ClassName,
    other_route: ClassName,
    random: SmallRng,
    keys: Vec<TargetKey>,
    hosts: Vec<SimulatedHost>,
    targets: Vec<SimulatedTarget>,
    calls: Vec<SimulatedCall>,
    attempts: Vec<SimulatedAttempt>,
    /// Event by time in microseconds and order of insertion.
    events: BinaryHeap<Reverse<(u64, usize, EventKind)>>,
    event_count: usize,
    report: HedgeReport,
}

fn service() -> DeploymentName {
    DeploymentName::new("plain")
}

const RETRY_BOUNDS: RetryBounds = RetryBounds {
    ratio: 0.2,
    window: Duration::from_secs(10),
    slack: 276.0,
};

fn at(now_ms: f64) -> Duration {
    Duration::from_secs_f64(now_ms / 1000.0)
}

fn normal(random: &mut SmallRng) -> f64 {
    let (u, v): (f64, f64) = (random.random(), random.random());
    (-2.0 * (1.0 - u).ln()).sqrt() * (std::f64::consts::TAU * v).cos()
}

fn exponential(random: &mut SmallRng, mean: f64) -> f64 {
    -mean * (1.0 - random.random::<f64>()).ln()
}

/// Replays a load with a policy.
pub fn replay(policy: HedgePolicy, load: HedgeLoad) -> HedgeReport {
    let mut random = SmallRng::seed_from_u64(load.seed);
    let end_ms = (load.warm_up_seconds + load.seconds) * 1000.0;
    let targets = (0..TARGET_COUNT).map(|_| slow_periods(&mut random, end_ms));
    let targets: Vec<_> = targets.collect();
    let mut keys = Vec::new();
    let hosts = (0..load.hosts)
        .map(|host| {
            let mut table = TargetTable::default();
            keys = (0..TARGET_COUNT)
                .map(|number| {
                    let is_near = usize::from(number) == host % usize::from(TARGET_COUNT);
                    let locality = if is_near || load.hosts == 1 {
                        Locality::SameZone
                    } else {
                        Locality::SameRegion
                    };
                    table.upsert(entry(number), locality, Duration::ZERO).0
                })
                .collect();
            SimulatedHost {
                targets: table,
                planner: HedgePlanner::default(),
                retry_budget: RetryBudget::new(Duration::ZERO),
                idle: vec![0; usize::from(TARGET_COUNT)],
            }
        })
        .collect();
    let limits = HedgeLimits {
        max_extra_ratio: match policy {
            HedgePolicy::Learned(ratio) => ratio,
            _ => 0.0,
        },
        ..HedgeLimits::default()
    };
    let mut replay = Replay {
        policy,
        load,
        limits,
        route: ClassName::new("lookup"),
        other_route: ClassName::new("order"),
        random,
        keys,
        hosts,
        targets,
        calls: Vec::new(),
        attempts: Vec::new(),
        events: BinaryHeap::new(),
        event_count: 0,
        report: HedgeReport::default(),
    };
    replay.schedule(0.0, EventKind::Arrival);
    replay.run(end_ms);
    let mut report = replay.report;
    report.idempotent_ms.sort_by(f64::total_cmp);
    report.other_ms.sort_by(f64::total_cmp);
    report
}

fn slow_periods(random: &mut SmallRng, end_ms: f64) -> SimulatedTarget {
    let mean_fast_ms = SLOW_MS * (1.0 - SLOW_SHARE) / SLOW_SHARE;
    let mut slow_from_ms = Vec::new();
    let mut from = exponential(random, mean_fast_ms);
    while from < end_ms {
        slow_from_ms.push(from);
        from += SLOW_MS + exponential(random, mean_fast_ms);
    }
    SimulatedTarget {
        running: 0,
        queue: VecDeque::new(),
        slow_from_ms,
    }
}

fn entry(number: u16) -> TargetEntry {
    TargetEntry {
        instance: format!("p-{number}"),
        service: service(),
        address: ([10, 0, 0, 2], 9000 + number).into(),
        zone: ZoneName::new("a"),
        version: SoftwareVersion::new("v1"),
        slots: SLOTS,
        is_draining: false,
        started_unix_ms: 1,
        cold: ColdClaim::Unstated,
    }
}

impl Replay {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "times of a replay are positive and below an hour"
    )]
    fn schedule(&mut self, at_ms: f64, kind: EventKind) {
        self.event_count += 1;
        let time = (at_ms * 1000.0) as u64;
        self.events.push(Reverse((time, self.event_count, kind)));
    }

    #[expect(clippy::cast_precision_loss, reason = "times are below an hour")]
    fn run(&mut self, end_ms: f64) {
        while let Some(Reverse((time, _, kind))) = self.events.pop() {
            let now_ms = time as f64 / 1000.0;
            match kind {
                EventKind::Arrival if now_ms < end_ms => self.arrive(now_ms),
                EventKind::Arrival => {}
                EventKind::Reach(attempt) => self.reach(attempt, now_ms),
                EventKind::Finish(attempt) => self.finish(attempt, now_ms),
                EventKind::Respond(attempt) => self.respond(attempt, now_ms),
                EventKind::Hedge(call) => self.hedge(call, now_ms),
                EventKind::Cancel(attempt) => self.cancel(attempt, now_ms),
            }
        }
    }

    fn arrive(&mut self, now_ms: f64) {
        let gap_ms = exponential(&mut self.random, 1000.0 / self.load.calls_per_second);
        self.schedule(now_ms + gap_ms, EventKind::Arrival);
        let host = self.random.random_range(0..self.load.hosts);
        let is_idempotent = self.random.random_bool(self.load.idempotent_share);
        let call = self.calls.len();
        let now = at(now_ms);
        let known = &mut self.hosts[host];
        known.planner.record_request(&self.limits);
        let sharing_hosts = Some(self.load.hosts);
        let budget = &mut known.retry_budget;
        budget.record_request(now, &RETRY_BOUNDS, sharing_hosts);
        let plan = match self.policy {
            _ if !is_idempotent => None,
            HedgePolicy::None | HedgePolicy::Tied => None,
            HedgePolicy::Fixed(delay) => Some(HedgePlan {
                delay,
                trigger: HedgeTrigger::Percentile,
            }),
            HedgePolicy::Learned(_) => {
                let planner = &mut known.planner;
                Some(planner.plan(&self.limits, &self.route, SIZE, OBJECTIVE))
            }
        };
        self.calls.push(SimulatedCall {
            host,
            arrived_ms: now_ms,
            is_idempotent,
            attempts: Vec::new(),
            tried: Vec::new(),
            plan,
            is_done: false,
        });
        self.send(call, now_ms);
        if let Some(plan) = plan {
            let delay_ms = plan.delay.as_secs_f64() * 1000.0;
            self.schedule(now_ms + delay_ms, EventKind::Hedge(call));
        } else if is_idempotent && self.policy == HedgePolicy::Tied {
            self.send(call, now_ms);
        }
    }

    /// Sends a call to the target that its host prefers.
    fn send(&mut self, call: usize, now_ms: f64) {
        let now = at(now_ms);
        let state = &mut self.calls[call];
        let known = &mut self.hosts[state.host];
        let chosen = match self.policy {
            HedgePolicy::Learned(_) => {
                let planner = &known.planner;
                planner.choose_target(&known.targets, &service(), &state.tried, &UNRESTRICTED, now)
            }
            _ => place_call(&known.targets, &service(), &state.tried, &UNRESTRICTED, now),
        };
        let key = chosen.expect("six targets are available").key();
        let target = self.keys.iter().position(|other| *other == key).unwrap();
        known.targets.add_request(key, 0, 0, 0);
        let is_counted = now_ms >= self.load.warm_up_ms();
        if known.idle[target] > 0 {
            known.idle[target] -= 1;
        } else if is_counted {
            self.report.new_connections += 1;
        }
        state.tried.push(key);
        let attempt = self.attempts.len();
        state.attempts.push(attempt);
        self.attempts.push(SimulatedAttempt {
            call,
            target,
            sent_ms: now_ms,
            has_begun: false,
            is_over: false,
        });
        self.schedule(now_ms + LINK_MS, EventKind::Reach(attempt));
    }

    fn reach(&mut self, attempt: usize, now_ms: f64) {
        if self.attempts[attempt].is_over {
            return;
        }
        let target = &mut self.targets[self.attempts[attempt].target];
        target.queue.push_back(attempt);
        let queue_length = u32::try_from(target.queue.len()).unwrap();
        self.start_queued(self.attempts[attempt].target, now_ms);
        if now_ms >= self.load.warm_up_ms() {
            self.report.longest_queue = self.report.longest_queue.max(queue_length);
        }
    }

    fn start_queued(&mut self, target: usize, now_ms: f64) {
        while self.targets[target].running < SLOTS {
            let Some(attempt) = self.targets[target].queue.pop_front() else {
                return;
            };
            self.targets[target].running += 1;
            self.attempts[attempt].has_begun = true;
            let call = &self.calls[self.attempts[attempt].call];
            let begun = call
                .attempts
                .iter()
                .filter(|a| self.attempts[**a].has_begun);
            if begun.count() > 1 && call.arrived_ms >= self.load.warm_up_ms() {
                self.report.extra_runs += 1;
            }
            if self.policy == HedgePolicy::Tied {
                for other in call.attempts.clone() {
                    if other != attempt {
                        self.schedule(now_ms + LINK_MS, EventKind::Cancel(other));
                    }
                }
            }
            let mut work_ms = MEDIAN_SERVICE_MS * (SPREAD * normal(&mut self.random)).exp();
            if self.random.random_bool(OUTLIER_SHARE) {
                work_ms *= OUTLIER_FACTOR;
            }
            let end_ms = self.targets[target].end_of(now_ms, work_ms);
            self.schedule(end_ms, EventKind::Finish(attempt));
        }
    }

    fn finish(&mut self, attempt: usize, now_ms: f64) {
        if self.attempts[attempt].is_over {
            return;
        }
        let target = self.attempts[attempt].target;
        self.attempts[attempt].is_over = true;
        self.targets[target].running -= 1;
        self.start_queued(target, now_ms);
        self.schedule(now_ms + LINK_MS, EventKind::Respond(attempt));
    }

    fn respond(&mut self, attempt: usize, now_ms: f64) {
        let (call, target) = (self.attempts[attempt].call, self.attempts[attempt].target);
        let state = &mut self.calls[call];
        if state.is_done {
            // The connection was closed when the other attempt won.
            return;
        }
        state.is_done = true;
        let attempts = state.attempts.clone();
        let (host, is_idempotent) = (state.host, state.is_idempotent);
        if state.arrived_ms >= self.load.warm_up_ms() {
            let elapsed_ms = now_ms - state.arrived_ms;
            if is_idempotent {
                self.report.idempotent_ms.push(elapsed_ms);
            } else {
                self.report.other_ms.push(elapsed_ms);
            }
        }
        self.hosts[host].idle[target] += 1;
        for other in attempts {
            let key = self.keys[self.attempts[other].target];
            let elapsed = at(now_ms - self.attempts[other].sent_ms);
            let known = &mut self.hosts[host];
            known.targets.remove_request(key, 0, 0, 0);
            if matches!(self.policy, HedgePolicy::Learned(_)) {
                let planner = &mut known.planner;
                let route = if is_idempotent {
                    &self.route
                } else {
                    &self.other_route
                };
                if self.calls[call].attempts[0] == other {
                    planner.record_response(route, SIZE, key, elapsed, at(now_ms));
                } else if other == attempt {
                    planner.record_speed(route, SIZE, key, elapsed, at(now_ms));
                }
            }
            if other != attempt {
                self.schedule(now_ms + LINK_MS, EventKind::Cancel(other));
            }
        }
    }

    /// The target notices that the connection of an attempt was closed.
    fn cancel(&mut self, attempt: usize, now_ms: f64) {
        let state = &mut self.attempts[attempt];
        if state.is_over || (self.policy == HedgePolicy::Tied && state.has_begun) {
            return;
        }
        state.is_over = true;
        let target = state.target;
        if state.has_begun {
            self.targets[target].running -= 1;
            self.start_queued(target, now_ms);
        } else {
            self.targets[target]
                .queue
                .retain(|queued| *queued != attempt);
        }
    }

    fn hedge(&mut self, call: usize, now_ms: f64) {
        let state = &self.calls[call];
        let Some(plan) = state.plan.filter(|_| !state.is_done) else {
            return;
        };
        let now = at(now_ms);
        let known = &mut self.hosts[state.host];
        let sharing_hosts = Some(self.load.hosts);
        if matches!(self.policy, HedgePolicy::Learned(_)) {
            let first = self.keys[self.attempts[state.attempts[0]].target];
            let planner = &mut known.planner;
            planner.record_speed(&self.route, SIZE, first, plan.delay, now);
            let conditions = HedgeConditions {
                route: &self.route,
                trigger: plan.trigger,
                has_queue: false,
                service_use: ServiceUse::of(&known.targets, &service(), &UNRESTRICTED, now),
                retry_credit: known.retry_budget.credit(),
                retry_capacity: capacity(&RETRY_BOUNDS, sharing_hosts),
            };
            if let Err(denial) = known.planner.try_hedge(&self.limits, &conditions, now) {
                if now_ms >= self.load.warm_up_ms() {
                    *self.report.denials.entry(denial.name()).or_default() += 1;
                }
                return;
            }
        }
        let purpose = RetryPurpose::Attempt;
        let budget = &mut known.retry_budget;
        if budget.try_spend(purpose, now, &RETRY_BOUNDS, sharing_hosts) {
            self.send(call, now_ms);
        }
    }
}
