//! A fleet of hosts that send requests to one target which names a rate limit, without any I/O.
//!
//! Hosts exchange datagrams that are delayed, lost or cut, ask the keeper that each of them selects
//! by its own view of the store, and are killed and suspended. Everything that arrives at the target
//! is recorded.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::time::Duration;

use mimosagap_routing::hosts::{HostCapacity, HostRecord, HostTable};
use mimosagap_routing::keeper_selection::{KeeperSelector, rate_fraction};
use mimosagap_routing::rate_keeper::{PermitAsk, PermitClass, PermitDecision, RateKeeper};
use mimosagap_routing::rate_limit::{RateChange, RateStatement, TargetRate};
use mimosagap_routing::store_revision::{StoreEra, StoreRevision};
use mimosagap_types::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Time after which an ask is sent again, and the number of times that it is sent.
const ASK_TIMEOUT: (Duration, u32) = (Duration::from_millis(60), 2);

/// Time for which a permit counts after the start of its slot.
const PERMIT_TTL: Duration = Duration::from_millis(250);

const FAILURE_HOLD: Duration = Duration::from_millis(100);

/// Time in which the target executes a request.
const EXECUTION_TIME: Duration = Duration::from_millis(30);

/// Time until the store removes the record of a host without power.
const LEASE_TTL: Duration = Duration::from_secs(6);

/// Times at which a notice is repeated.
const NOTICE_REPEATS: [Duration; 2] = [Duration::from_millis(500), Duration::from_secs(1)];

/// Time within which the platform gives up excuses for a host.
pub const EXCUSE_TIME: Duration = Duration::from_secs(4);

/// What a simulation starts with.
#[derive(Debug, Clone)]
pub struct SimulationOptions {
    pub seed: u64,
    pub host_count: usize,
    /// Requests per second at each host, from the times on which they hold.
    pub demands: Vec<(Duration, Vec<f64>)>,
    /// Limits that the target names, from the times on which it names them.
    pub limits: Vec<(Duration, Option<f64>)>,
    /// Fraction of the datagrams that are lost.
    pub loss: f64,
    /// Longest delay of a datagram or a request.
    pub max_latency: Duration,
    pub faults: Vec<(Duration, SimFault)>,
    pub length: Duration,
}

#[derive(Debug, Clone, Copy)]
pub enum SimFault {
    /// Kills a host, which starts again after the duration; a killed host that never starts again
    /// stays listed until its lease ends.
    Kill(usize, Option<Duration>),
    /// Suspends a host.
    Freeze(usize, Duration),
    /// Cuts the hosts below this index from all others.
    Cut(usize, Duration),
    /// Keeps a host from the store and from all hosts; it still reaches the target.
    Isolate(usize, Duration),
    /// Keeps all hosts from the store.
    StoreOutage(Duration),
}

/// A request that reached the target.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    pub at: Duration,
    pub host: usize,
    /// Whether its host was restarted, suspended or cut off shortly before.
    pub is_excused: bool,
    /// Whether a response of the target had told its host of the limit half a second before.
    pub is_told: bool,
}

#[derive(Debug, Clone, Copy)]
enum Message {
    Ask(u64, PermitAsk, RateStatement),
    Answer(u64, Option<PermitDecision>, RateStatement),
    Notice(RateStatement),
}

#[derive(Debug, Clone, Copy)]
enum Event {
    Demand(usize),
    Deliver {
        from: usize,
        to: usize,
        message: Message,
    },
    AskTimeout(usize, u64),
    Send(usize, Duration),
    Arrive(usize, Duration),
    Respond(usize, RateStatement),
    RepeatNotice(usize, RateStatement),
    /// A host learns that another one was registered in a revision, or removed.
    Listing(usize, usize, Option<u64>),
    Start(usize),
    Fault(SimFault),
}

impl Event {
    /// The host that has to run for the event to happen.
    fn host(&self) -> Option<usize> {
        match *self {
            Self::Demand(host)
            | Self::AskTimeout(host, _)
            | Self::Send(host, _)
            | Self::Respond(host, _)
            | Self::RepeatNotice(host, _)
            | Self::Listing(host, ..)
            | Self::Deliver { to: host, .. } => Some(host),
            Self::Arrive(..) | Self::Start(_) | Self::Fault(_) => None,
        }
    }
}

struct PendingAsk {
    keeper: usize,
    ask: PermitAsk,
    sends: u32,
}

struct SimHost {
    incarnation: u32,
    is_running: bool,
    frozen_until: Duration,
    isolated_until: Duration,
    excused_until: Duration,
    told_at: Option<Duration>,
    rate: TargetRate,
    keeper: Option<RateKeeper>,
    selector: KeeperSelector,
    hosts: HostTable,
    pending: HashMap<u64, PendingAsk>,
    next_id: u64,
}

pub struct Simulation {
    options: SimulationOptions,
    rng: SmallRng,
    now: Duration,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: BTreeMap<u64, (u32, Event)>,
    next_event: u64,
    hosts: Vec<SimHost>,
    revision: u64,
    cut: (usize, Duration),
    outage_until: Duration,
    pub arrivals: Vec<Arrival>,
    /// Datagrams that hosts sent, except notices.
    pub datagrams: u64,
}

fn host_name(index: usize) -> String {
    format!("h{index}")
}

fn host_record(index: usize) -> HostRecord {
    let octets = u16::try_from(index).expect("few hosts").to_be_bytes();
    HostRecord {
        caller_address: ([10, 0, octets[0], octets[1]], 8740).into(),
        peer_address: ([10, 0, octets[0], octets[1]], 7200).into(),
        zone: ZoneName::new("a"),
        capacity: HostCapacity::default(),
        features: Vec::new(),
        region: RegionName::new("a"),
    }
}

fn host_index(name: &str) -> usize {
    name[1..].parse().expect("names of hosts are numbered")
}

impl Simulation {
    pub fn new(options: SimulationOptions) -> Self {
        let mut all_hosts = HostTable::default();
        for index in 0..options.host_count {
            all_hosts.upsert(
                &host_name(index),
                host_record(index),
                store_revision(index as u64 + 1),
            );
        }
        let hosts = (0..options.host_count).map(|_| SimHost {
            incarnation: 0,
            is_running: true,
            frozen_until: Duration::ZERO,
            isolated_until: Duration::ZERO,
            excused_until: Duration::ZERO,
            told_at: None,
            rate: TargetRate::default(),
            keeper: None,
            selector: KeeperSelector::default(),
            hosts: all_hosts.clone(),
            pending: HashMap::new(),
            next_id: 0,
        });
        let mut simulation = Self {
            rng: SmallRng::seed_from_u64(options.seed),
            now: Duration::ZERO,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            hosts: hosts.collect(),
            revision: options.host_count as u64 + 1,
            cut: (0, Duration::ZERO),
            outage_until: Duration::ZERO,
            arrivals: Vec::new(),
            datagrams: 0,
            options,
        };
        for (at, fault) in simulation.options.faults.clone() {
            simulation.schedule(at, Event::Fault(fault));
        }
        for host in 0..simulation.hosts.len() {
            simulation.schedule_demand(host);
        }
        simulation
    }

    /// Runs to the end and returns everything that arrived at the target.
    pub fn run(mut self) -> Self {
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > self.options.length {
                break;
            }
            self.now = at;
            let (incarnation, event) = self.events.remove(&number).expect("events are unique");
            if let Some(host) = event.host() {
                let state = &self.hosts[host];
                // What a killed process had scheduled is lost, and so is what reaches it.
                let is_lost = !state.is_running || state.incarnation != incarnation;
                let frozen_until = state.frozen_until;
                if matches!(event, Event::Demand(_)) {
                    self.schedule_demand(host);
                    if frozen_until > at {
                        continue;
                    }
                } else if frozen_until > at {
                    self.schedule(frozen_until, event);
                    continue;
                }
                if is_lost && !matches!(event, Event::Deliver { .. } | Event::Listing(..)) {
                    continue;
                }
                if !self.hosts[host].is_running {
                    continue;
                }
            }
            self.handle(event);
        }
        self
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        let number = self.next_event;
        self.next_event += 1;
        let incarnation = event.host().map_or(0, |host| self.hosts[host].incarnation);
        self.queue.push(Reverse((at, number)));
        self.events.insert(number, (incarnation, event));
    }

    fn schedule_demand(&mut self, host: usize) {
        let now = self.now;
        let in_force = |(at, _): &&(Duration, Vec<f64>)| *at <= now;
        let demand = self.options.demands.iter().rfind(in_force);
        let rate = demand.map_or(0.0, |(_, rates)| rates[host]);
        // Hosts without demand look again after a second.
        let wait = if rate > 0.0 {
            -(1.0 - self.rng.random::<f64>()).ln() / rate
        } else {
            f64::INFINITY
        };
        let at = self.now + Duration::from_secs_f64(wait.min(1.0));
        if wait > 1.0 {
            // The exponential distribution has no memory, so the rest is drawn anew.
            let number = self.next_event;
            self.next_event += 1;
            self.queue.push(Reverse((at, number)));
            self.events.insert(number, (u32::MAX, Event::Demand(host)));
        } else {
            self.schedule(at, Event::Demand(host));
        }
    }

    fn latency(&mut self) -> Duration {
        let longest = self.options.max_latency.as_secs_f64();
        Duration::from_secs_f64(self.rng.random_range(0.0005..longest))
    }

    fn is_isolated(&self, host: usize) -> bool {
        self.now < self.hosts[host].isolated_until
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let (first_side, until) = self.cut;
        let is_crossing = (from < first_side) != (to < first_side);
        (self.now < until && is_crossing) || self.is_isolated(from) || self.is_isolated(to)
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if !matches!(message, Message::Notice(_)) {
            self.datagrams += 1;
        }
        if self.is_cut(from, to) || self.rng.random_bool(self.options.loss) {
            return;
        }
        let at = self.now + self.latency();
        self.schedule(at, Event::Deliver { from, to, message });
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Demand(host) => self.start_request(host),
            Event::Deliver { from, to, message } => self.receive(from, to, message),
            Event::AskTimeout(host, id) => self.retry_ask(host, id),
            Event::Send(host, slot) => {
                if self.now < slot + PERMIT_TTL {
                    self.send_request(host);
                }
            }
            Event::Arrive(host, asked_at) => self.arrive(host, asked_at),
            Event::Respond(host, statement) => {
                if statement.per_second.is_some() {
                    self.hosts[host].told_at.get_or_insert(self.now);
                }
                let heard = RateStatement {
                    heard_at: self.now,
                    ..statement
                };
                self.learn(host, heard, true);
            }
            Event::RepeatNotice(host, statement) => self.broadcast(host, statement),
            Event::Listing(host, other, revision) => {
                let (name, now) = (host_name(other), self.now);
                let hosts = &mut self.hosts[host].hosts;
                match revision {
                    Some(revision) => {
                        hosts.upsert(&name, host_record(other), store_revision(revision));
                    }
                    None => hosts.mark_removed(&name, now),
                }
                hosts.purge_removed(now);
            }
            Event::Start(host) => self.start_host(host),
            Event::Fault(fault) => self.inject(fault),
        }
    }

    fn start_request(&mut self, host: usize) {
        let now = self.now;
        let state = &self.hosts[host];
        let Some(newest) = state
            .rate
            .newest()
            .filter(|_| state.rate.per_second(now).is_some())
        else {
            self.send_request(host);
            return;
        };
        if !state.rate.hold_time(now).is_zero() {
            return;
        }
        let region = RegionName::new("a");
        let selected = state.selector.select(&state.hosts, Some(&region), now);
        let Some(keeper) = selected.map(|(name, _)| host_index(name)) else {
            return;
        };
        let in_force = |(at, _): &&(Duration, Vec<f64>)| *at <= now;
        let demand = self.options.demands.iter().rfind(in_force);
        let ask = PermitAsk {
            host_hash: host as u64,
            class: PermitClass::First(1),
            max_wait: Duration::from_millis(50),
            demand: demand.map_or(0.0, |(_, rates)| rates[host]),
        };
        if keeper == host {
            let answer = self.decide(host, &ask, newest);
            self.apply_answer(host, keeper, answer, newest);
            return;
        }
        let state = &mut self.hosts[host];
        let id = (u64::from(state.incarnation) << 32) + state.next_id;
        state.next_id += 1;
        let pending = PendingAsk {
            keeper,
            ask,
            sends: 0,
        };
        state.pending.insert(id, pending);
        self.retry_ask(host, id);
    }

    fn retry_ask(&mut self, host: usize, id: u64) {
        let now = self.now;
        let state = &mut self.hosts[host];
        let Some(pending) = state.pending.get_mut(&id) else {
            return;
        };
        let keeper = pending.keeper;
        if pending.sends == ASK_TIMEOUT.1 {
            state.pending.remove(&id);
            state.selector.record_failure(&host_name(keeper), now);
            state.rate.hold(FAILURE_HOLD, 1.0, now);
            return;
        }
        pending.sends += 1;
        let ask = pending.ask;
        if let Some(newest) = state.rate.newest() {
            self.send(host, keeper, Message::Ask(id, ask, newest));
            self.schedule(now + ASK_TIMEOUT.0, Event::AskTimeout(host, id));
        }
    }

    /// The answer of a keeper or deputy; `None` if it knows that the limit has ended.
    fn decide(
        &mut self,
        host: usize,
        ask: &PermitAsk,
        statement: RateStatement,
    ) -> Option<PermitDecision> {
        self.learn(host, statement, false);
        let now = self.now;
        let is_cut_off = now < self.outage_until || self.is_isolated(host);
        let state = &mut self.hosts[host];
        let proof_age = (!is_cut_off).then_some(Duration::ZERO);
        let region = RegionName::new("a");
        let fraction = rate_fraction(&state.hosts, Some(&region), &host_name(host), proof_age);
        let rate = state.rate.per_second(now)? * fraction;
        let keeper = state
            .keeper
            .get_or_insert_with(|| RateKeeper::new(rate, now));
        Some(keeper.decide(ask, rate, now))
    }

    fn apply_answer(
        &mut self,
        host: usize,
        keeper: usize,
        answer: Option<PermitDecision>,
        statement: RateStatement,
    ) {
        let now = self.now;
        let jitter = self.rng.random_range(0.75..1.25);
        let state = &mut self.hosts[host];
        state.selector.record_response(&host_name(keeper));
        match answer {
            Some(PermitDecision::Granted(wait)) => {
                self.schedule(now + wait, Event::Send(host, now + wait));
            }
            Some(PermitDecision::Denied { ask_in, overload }) => {
                state.rate.hold(ask_in.mul_f64(jitter), overload, now);
            }
            None => {
                self.learn(host, statement, false);
                self.send_request(host);
            }
        }
    }

    fn receive(&mut self, from: usize, to: usize, message: Message) {
        match message {
            Message::Ask(id, ask, statement) => {
                let answer = self.decide(to, &ask, statement);
                if let Some(newest) = self.hosts[to].rate.newest() {
                    self.send(to, from, Message::Answer(id, answer, newest));
                }
            }
            Message::Answer(id, answer, statement) => {
                if self.hosts[to].pending.remove(&id).is_some() {
                    self.apply_answer(to, from, answer, statement);
                }
            }
            Message::Notice(statement) => self.learn(to, statement, false),
        }
    }

    fn learn(&mut self, host: usize, statement: RateStatement, is_own: bool) {
        let now = self.now;
        let state = &mut self.hosts[host];
        let change = state.rate.record(statement, now);
        if change == RateChange::Started {
            state.keeper = None;
        }
        if is_own && matches!(change, RateChange::Started | RateChange::Ended) {
            self.broadcast(host, statement);
            for delay in NOTICE_REPEATS {
                self.schedule(now + delay, Event::RepeatNotice(host, statement));
            }
        }
    }

    fn broadcast(&mut self, host: usize, statement: RateStatement) {
        for other in 0..self.hosts.len() {
            if other != host {
                self.send(host, other, Message::Notice(statement));
            }
        }
    }

    fn send_request(&mut self, host: usize) {
        let (now, latency) = (self.now, self.latency());
        self.schedule(now + latency, Event::Arrive(host, now));
    }

    fn arrive(&mut self, host: usize, asked_at: Duration) {
        let now = self.now;
        let half_second = Duration::from_millis(500);
        let state = &self.hosts[host];
        self.arrivals.push(Arrival {
            at: now,
            host,
            is_excused: now < state.excused_until,
            is_told: state.told_at.is_some_and(|at| now >= at + half_second),
        });
        let at = now + EXECUTION_TIME + self.latency();
        // The target makes its statement when it responds.
        let named_at = now + EXECUTION_TIME;
        let limits = self.options.limits.iter();
        let named = limits.rev().find(|(from, _)| *from <= named_at);
        let statement = RateStatement {
            per_second: named.and_then(|(_, rate)| *rate),
            asked_at,
            heard_at: at,
        };
        self.schedule(at, Event::Respond(host, statement));
    }

    /// Lets all hosts that reach the store learn of a listing, within a second.
    fn announce_listing(&mut self, host: usize, revision: Option<u64>, from: Duration) {
        for other in 0..self.hosts.len() {
            let delay = Duration::from_secs_f64(self.rng.random_range(0.02..0.8));
            let reachable_from = from
                .max(self.outage_until)
                .max(self.hosts[other].isolated_until);
            self.schedule(
                reachable_from + delay,
                Event::Listing(other, host, revision),
            );
        }
    }

    fn start_host(&mut self, host: usize) {
        self.revision += 1;
        let revision = self.revision;
        let hosts = self.hosts[usize::from(host == 0)].hosts.clone();
        let state = &mut self.hosts[host];
        state.is_running = true;
        state.told_at = None;
        state.rate = TargetRate::default();
        state.keeper = None;
        state.selector = KeeperSelector::default();
        state.pending.clear();
        state.hosts = hosts;
        state.excused_until = self.now + EXCUSE_TIME;
        let now = self.now;
        self.announce_listing(host, Some(revision), now);
    }

    fn inject(&mut self, fault: SimFault) {
        let now = self.now;
        match fault {
            SimFault::Kill(host, restart) => {
                let state = &mut self.hosts[host];
                state.is_running = false;
                state.incarnation += 1;
                match restart {
                    Some(delay) => self.schedule(now + delay, Event::Start(host)),
                    None => self.announce_listing(host, None, now + LEASE_TTL),
                }
            }
            SimFault::Freeze(host, duration) => {
                let state = &mut self.hosts[host];
                state.frozen_until = now + duration;
                state.excused_until = now + duration + EXCUSE_TIME;
            }
            SimFault::Cut(first_side, duration) => {
                self.cut = (first_side, now + duration);
            }
            SimFault::Isolate(host, duration) => {
                let state = &mut self.hosts[host];
                state.isolated_until = now + duration;
                state.excused_until = now + duration + EXCUSE_TIME;
                if duration > LEASE_TTL {
                    self.revision += 1;
                    let revision = self.revision;
                    self.announce_listing(host, None, now + LEASE_TTL);
                    self.announce_listing(host, Some(revision), now + duration);
                }
            }
            SimFault::StoreOutage(duration) => self.outage_until = now + duration,
        }
    }
}

/// Most arrivals in any window of 4 s that begins in a span, of those that `is_counted` admits.
pub fn worst_window(
    arrivals: &[Arrival],
    (from, until): (Duration, Duration),
    is_counted: impl Fn(&Arrival) -> bool,
) -> usize {
    let window = Duration::from_secs(4);
    let times: Vec<Duration> = arrivals
        .iter()
        .filter(|arrival| (from..until).contains(&arrival.at) && is_counted(arrival))
        .map(|arrival| arrival.at)
        .collect();
    let count_from = |index: usize| {
        let start = times[index];
        times[index..].partition_point(|at| *at <= start + window)
    };
    (0..times.len()).map(count_from).max().unwrap_or(0)
}

/// Arrivals per second in a span.
pub fn mean_rate(arrivals: &[Arrival], (from, until): (Duration, Duration)) -> f64 {
    let count = arrivals
        .iter()
        .filter(|arrival| (from..until).contains(&arrival.at))
        .count();
    count as f64 / until.saturating_sub(from).as_secs_f64()
}

fn store_revision(number: u64) -> StoreRevision {
    StoreRevision::new(StoreEra(1), number)
}
