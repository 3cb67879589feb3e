//! A fleet of hosts that send prompts to engines, some of which crash under a part of them, without
//! any I/O.
//!
//! Hosts tell each other crashes, proofs and verdicts in datagrams that are delayed, lost or cut,
//! and through a store that is slower and may be away. Engines also end for other reasons.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap};
use std::time::Duration;

use mimosagap_routing::prompt::PromptPart;
use mimosagap_routing::quarantine::{
    Admission, BlockedTrait, CrashFingerprint, CrashReport, PROOF_TIME, Quarantine,
    RequestFingerprint, RequestTrait, RequestTraits,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The part that crashes engines, the first part of all prompts, and those that some share.
pub const BAD: PromptPart = PromptPart(0xbad);
const COMMON: PromptPart = PromptPart(1);
const GROUPS: u64 = 12;

/// Time from the beginning of an answer until it crashes its engine.
const CRASH_DELAY: Duration = Duration::from_millis(60);

/// Time from the crash of an engine until it is back.
const RESTART_TIME: Duration = Duration::from_millis(3500);

/// Time of an answer from its beginning.
const ANSWER_TIME: Duration = Duration::from_millis(900);

/// Times at which a notice is repeated.
const NOTICE_REPEATS: [Duration; 2] = [Duration::from_millis(500), Duration::from_secs(1)];

/// Time that the platform gives all hosts to learn of something, and for which a host is excused.
pub const CONTACT_TIME: Duration = Duration::from_secs(4);

/// What a simulation starts with.
#[derive(Debug, Clone)]
pub struct SimulationOptions {
    pub seed: u64,
    pub hosts: usize,
    pub engines: usize,
    /// Sound and crashing requests per second.
    pub sound_rate: f64,
    pub bad_rate: f64,
    /// When crashing requests come.
    pub series: (Duration, Duration),
    /// Fraction of the datagrams that are lost.
    pub loss: f64,
    pub faults: Vec<(Duration, SimFault)>,
    pub length: Duration,
}

#[derive(Debug, Clone, Copy)]
pub enum SimFault {
    /// Kills a host, which starts again at once without what it knew.
    Restart(usize),
    /// Suspends a host; what it receives meanwhile arrives afterwards.
    Freeze(usize, Duration),
    /// Cuts a host from all others; it still reaches the store and the engines.
    Cut(usize, Duration),
    /// Keeps all hosts from the store.
    StoreOutage(Duration),
    /// Ends this many engines at the same moment, for a reason that has nothing to do with requests.
    EndEngines(usize),
}

/// What the engines saw.
#[derive(Debug, Clone, Default)]
pub struct SimulationOutcome {
    /// When engines crashed under the bad part.
    pub crashes: Vec<Duration>,
    /// When requests with the bad part were sent to engines by hosts that were in touch.
    pub bad_sends: Vec<Duration>,
    /// Sound requests: when they came, and whether their first attempt began.
    pub sound: Vec<(Duration, bool)>,
    /// Sound requests that were refused because of their parts. One under which three engines ended
    /// for other reasons is refused for its content.
    pub part_refusals: usize,
}

impl SimulationOutcome {
    /// Sends with the bad part when all hosts had to know it.
    pub fn late_sends(&self) -> usize {
        let Some(fifth) = self.crashes.get(4) else {
            return 0;
        };
        let known_at = *fifth + CONTACT_TIME;
        self.bad_sends.iter().filter(|at| **at > known_at).count()
    }

    /// Fraction of the sound requests of a time that began.
    pub fn sound_fraction(&self, from: Duration, to: Duration) -> f64 {
        let in_time = self.sound.iter().filter(|(at, _)| *at >= from && *at < to);
        let (begun, all) = in_time.fold((0.0, 0.0), |(begun, all), (_, has_begun)| {
            (begun + f64::from(u8::from(*has_begun)), all + 1.0)
        });
        begun / all
    }
}

#[derive(Debug, Clone)]
enum Notice {
    Crash(CrashReport),
    Blocked(BlockedTrait, usize),
    Sound(RequestTrait),
}

#[derive(Debug, Clone)]
struct Request {
    id: u64,
    host: usize,
    traits: RequestTraits,
    is_bad: bool,
    attempt: u32,
    /// Whether the caller repeated it.
    is_repeat: bool,
}

#[derive(Debug, Clone)]
enum Event {
    NextRequest {
        is_bad: bool,
    },
    /// An engine begins to answer.
    Begin(u64),
    Crash(u64),
    Prove(u64),
    End(u64),
    EngineStarts(usize),
    /// A host learns something, told at a time, from a datagram of another host or from the store.
    Hear {
        host: usize,
        notice: Notice,
        at: Duration,
    },
    AnnounceProofs(usize, Vec<RequestTrait>, Duration),
    Fault(SimFault),
}

struct Engine {
    is_running: bool,
    /// Increases with each crash.
    incarnation: u64,
    running: BTreeSet<u64>,
}

struct Host {
    quarantine: Quarantine,
    announced: HashMap<RequestTrait, Duration>,
    frozen_until: Duration,
    cut_until: Duration,
    excused_until: Duration,
}

struct RunningRequest {
    request: Request,
    engine: usize,
    incarnation: u64,
    has_begun: bool,
    is_proved: bool,
}

struct Simulation {
    options: SimulationOptions,
    rng: SmallRng,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    payloads: HashMap<u64, Event>,
    next_number: u64,
    hosts: Vec<Host>,
    engines: Vec<Engine>,
    running: HashMap<u64, RunningRequest>,
    store_back_at: Duration,
    outcome: SimulationOutcome,
}

/// Runs a simulation to its end.
pub fn simulate(options: SimulationOptions) -> SimulationOutcome {
    let host = |_| Host {
        quarantine: Quarantine::default(),
        announced: HashMap::new(),
        frozen_until: Duration::ZERO,
        cut_until: Duration::ZERO,
        excused_until: Duration::ZERO,
    };
    let engine = |_| Engine {
        is_running: true,
        incarnation: 0,
        running: BTreeSet::new(),
    };
    let mut simulation = Simulation {
        rng: SmallRng::seed_from_u64(options.seed),
        now: Duration::ZERO,
        events: BinaryHeap::new(),
        payloads: HashMap::new(),
        next_number: 0,
        hosts: (0..options.hosts).map(host).collect(),
        engines: (0..options.engines).map(engine).collect(),
        running: HashMap::new(),
        store_back_at: Duration::ZERO,
        outcome: SimulationOutcome::default(),
        options,
    };
    simulation.run();
    simulation.outcome
}

impl Simulation {
    fn run(&mut self) {
        self.schedule(Duration::ZERO, Event::NextRequest { is_bad: false });
        self.schedule(self.options.series.0, Event::NextRequest { is_bad: true });
        for (at, fault) in self.options.faults.clone() {
            self.schedule(at, Event::Fault(fault));
        }
        while let Some(Reverse((at, number))) = self.events.pop() {
            if at > self.options.length {
                return;
            }
            self.now = at;
            if let Some(event) = self.payloads.remove(&number) {
                self.handle(event);
            }
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.next_number += 1;
        self.payloads.insert(self.next_number, event);
        self.events.push(Reverse((at, self.next_number)));
    }

    fn millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::NextRequest { is_bad } => self.receive_request(is_bad),
            Event::Begin(id) => self.begin(id),
            Event::Crash(id) => self.crash(id),
            Event::Prove(id) => self.prove(id),
            Event::End(id) => {
                if let Some(ended) = self.running.remove(&id) {
                    self.engines[ended.engine].running.remove(&id);
                }
            }
            Event::EngineStarts(engine) => self.engines[engine].is_running = true,
            Event::Hear { host, notice, at } => self.hear(host, notice, at),
            Event::AnnounceProofs(host, proved, at) => self.announce_proofs(host, proved, at),
            Event::Fault(fault) => self.inject(fault),
        }
    }

    fn inject(&mut self, fault: SimFault) {
        match fault {
            SimFault::Restart(host) => {
                // It reads the verdicts from the store.
                let mut quarantine = Quarantine::new(self.now);
                for other in &self.hosts {
                    for verdict in other.quarantine.verdicts() {
                        let at = self.now.saturating_sub(verdict.age(self.now));
                        quarantine.apply_verdict(&verdict.blocked, verdict.crashes, at, self.now);
                    }
                }
                self.hosts[host].quarantine = quarantine;
                self.hosts[host].excused_until = self.now + CONTACT_TIME;
            }
            SimFault::Freeze(host, duration) => {
                self.hosts[host].frozen_until = self.now + duration;
                self.hosts[host].excused_until = self.now + duration + CONTACT_TIME;
            }
            SimFault::Cut(host, duration) => self.hosts[host].cut_until = self.now + duration,
            SimFault::StoreOutage(duration) => self.store_back_at = self.now + duration,
            SimFault::EndEngines(count) => {
                let running: Vec<usize> = (0..self.engines.len())
                    .filter(|engine| self.engines[*engine].is_running)
                    .collect();
                for engine in running.into_iter().take(count) {
                    self.end_engine(engine);
                }
            }
        }
    }

    fn receive_request(&mut self, is_bad: bool) {
        let (rate, until) = if is_bad {
            (self.options.bad_rate, self.options.series.1)
        } else {
            (self.options.sound_rate, self.options.length)
        };
        if rate <= 0.0 || self.now >= until {
            return;
        }
        let pause = Duration::from_secs_f64(self.rng.random_range(0.2..1.8) / rate);
        self.schedule(self.now + pause, Event::NextRequest { is_bad });
        let id = self.next_number;
        let host = self.rng.random_range(0..self.hosts.len());
        let group = PromptPart(100 + self.rng.random_range(0..GROUPS));
        let middle = if is_bad { BAD } else { group };
        let parts = [COMMON, middle, PromptPart(0x1_0000 + id)];
        let traits = RequestTraits::new(RequestFingerprint(id), &parts);
        let request = Request {
            id,
            host,
            traits,
            is_bad,
            attempt: 1,
            is_repeat: false,
        };
        self.send(request);
    }

    fn send(&mut self, request: Request) {
        let host = &mut self.hosts[request.host];
        if self.now < host.frozen_until {
            return;
        }
        let is_first_attempt = request.attempt == 1 && !request.is_repeat;
        let admission = host
            .quarantine
            .admit(&request.traits, || request.host == 0, self.now);
        if let Admission::Refused(blocked) = admission {
            if !request.is_bad {
                let is_for_part = matches!(blocked, BlockedTrait::Parts(_));
                self.outcome.part_refusals += usize::from(is_for_part);
                if is_first_attempt {
                    self.outcome.sound.push((self.now, false));
                }
            }
            return;
        }
        let is_excused = self.now < host.excused_until;
        let running: Vec<usize> = (0..self.engines.len())
            .filter(|engine| self.engines[*engine].is_running)
            .collect();
        if running.is_empty() {
            if !request.is_bad && is_first_attempt {
                self.outcome.sound.push((self.now, false));
            }
            return;
        }
        let engine = running[self.rng.random_range(0..running.len())];
        if request.is_bad && !is_excused {
            self.outcome.bad_sends.push(self.now);
        }
        self.next_number += 1;
        let id = self.next_number;
        self.engines[engine].running.insert(id);
        self.running.insert(
            id,
            RunningRequest {
                request,
                engine,
                incarnation: self.engines[engine].incarnation,
                has_begun: false,
                is_proved: false,
            },
        );
        let prefill = self.millis(150..500);
        self.schedule(self.now + prefill, Event::Begin(id));
    }

    fn begin(&mut self, id: u64) {
        let Some(running) = self.running.get_mut(&id) else {
            return;
        };
        running.has_begun = !running.request.is_bad;
        if running.request.is_bad {
            self.schedule(self.now + CRASH_DELAY, Event::Crash(id));
            return;
        }
        if running.request.attempt == 1 && !running.request.is_repeat {
            self.outcome.sound.push((self.now, true));
        }
        self.schedule(self.now + PROOF_TIME, Event::Prove(id));
        self.schedule(self.now + ANSWER_TIME, Event::End(id));
    }

    fn crash(&mut self, id: u64) {
        if let Some(running) = self.running.get(&id) {
            self.outcome.crashes.push(self.now);
            let engine = running.engine;
            self.end_engine(engine);
        }
    }

    fn prove(&mut self, id: u64) {
        let Some(running) = self.running.get_mut(&id) else {
            return;
        };
        running.is_proved = true;
        let (host, traits) = (running.request.host, running.request.traits.clone());
        let suspected = self.hosts[host].quarantine.record_sound(&traits, self.now);
        self.schedule_proofs(host, suspected, self.now);
    }

    /// Ends an engine. Hosts whose requests it had not proved sound report the crash, and send these
    /// requests again.
    fn end_engine(&mut self, engine: usize) {
        let ended = &mut self.engines[engine];
        ended.is_running = false;
        ended.incarnation += 1;
        let lost = std::mem::take(&mut ended.running);
        let crash = CrashFingerprint(u64::try_from(engine).unwrap_or(0) << 32 | ended.incarnation);
        self.schedule(self.now + RESTART_TIME, Event::EngineStarts(engine));
        for id in lost {
            let Some(lost) = self.running.remove(&id) else {
                continue;
            };
            debug_assert_eq!(lost.incarnation + 1, self.engines[engine].incarnation);
            let host = lost.request.host;
            if lost.is_proved || self.now < self.hosts[host].frozen_until {
                continue;
            }
            let report = CrashReport {
                crash,
                request: lost.request.traits.clone(),
                has_begun: lost.has_begun,
            };
            self.report_crash(host, report);
            self.repeat(lost.request);
        }
    }

    fn report_crash(&mut self, host: usize, report: CrashReport) {
        let verdict = self.hosts[host].quarantine.record_crash(&report, self.now);
        self.tell_all(host, &Notice::Crash(report));
        if let Some(verdict) = verdict {
            self.tell_all(host, &Notice::Blocked(verdict.blocked, verdict.crashes));
            self.cancel_blocked(host);
        }
    }

    /// Ends the requests of a host that are blocked before an engine began to answer them.
    fn cancel_blocked(&mut self, host: usize) {
        let quarantine = &self.hosts[host].quarantine;
        let blocked: Vec<u64> = self
            .running
            .iter()
            .filter(|(_, running)| running.request.host == host && !running.is_proved)
            .filter(|(_, running)| {
                quarantine
                    .blocking_verdict(&running.request.traits)
                    .is_some()
            })
            .map(|(id, _)| *id)
            .collect();
        for id in blocked {
            if let Some(running) = self.running.remove(&id) {
                self.engines[running.engine].running.remove(&id);
            }
        }
    }

    /// Sends a lost request again: once by its host, then once by its caller at any host.
    fn repeat(&mut self, request: Request) {
        let mut next = request;
        if next.attempt < 2 {
            next.attempt += 1;
        } else if next.is_repeat {
            return;
        } else {
            next.attempt = 1;
            next.is_repeat = true;
            next.host = self.rng.random_range(0..self.hosts.len());
        }
        next.id += 1;
        self.send(next);
    }

    fn hear(&mut self, host: usize, notice: Notice, at: Duration) {
        let frozen_until = self.hosts[host].frozen_until;
        if self.now < frozen_until {
            self.schedule(frozen_until, Event::Hear { host, notice, at });
            return;
        }
        let quarantine = &mut self.hosts[host].quarantine;
        match notice {
            Notice::Crash(report) => {
                quarantine.record_crash(&report, at);
                let proved = quarantine.proved_traits(&report.request, at).collect();
                self.schedule_proofs(host, proved, at);
            }
            Notice::Blocked(blocked, crashes) => {
                quarantine.apply_verdict(&blocked, crashes, at, self.now);
            }
            Notice::Sound(proved) => {
                quarantine.apply_sound(proved, at);
                self.hosts[host].announced.insert(proved, self.now);
            }
        }
        self.cancel_blocked(host);
    }

    fn schedule_proofs(&mut self, host: usize, proved: Vec<RequestTrait>, at: Duration) {
        if !proved.is_empty() {
            let spread = 100 + 2 * u64::try_from(self.hosts.len()).unwrap_or(0);
            let delay = self.millis(0..spread);
            let event = Event::AnnounceProofs(host, proved, at);
            self.schedule(self.now + delay, event);
        }
    }

    fn announce_proofs(&mut self, host: usize, proved: Vec<RequestTrait>, at: Duration) {
        for proved in proved {
            let announced = &mut self.hosts[host].announced;
            let last = announced.insert(proved, self.now);
            let is_recent = |last: Duration| self.now.saturating_sub(last) < Duration::from_secs(5);
            if !last.is_some_and(is_recent) {
                self.tell_all(host, &Notice::Sound(proved));
                // Datagrams carry the time of the proof.
                let _ = at;
            }
        }
    }

    /// Tells all other hosts, in datagrams and through the store.
    fn tell_all(&mut self, from: usize, notice: &Notice) {
        for host in (0..self.hosts.len()).filter(|host| *host != from) {
            let is_cut =
                self.now < self.hosts[from].cut_until || self.now < self.hosts[host].cut_until;
            for delay in std::iter::once(Duration::ZERO).chain(NOTICE_REPEATS) {
                if is_cut || self.rng.random_bool(self.options.loss) {
                    continue;
                }
                let transit = if from % 3 == host % 3 {
                    self.millis(10..16)
                } else {
                    self.millis(40..55)
                };
                let event = Event::Hear {
                    host,
                    notice: notice.clone(),
                    at: self.now,
                };
                self.schedule(self.now + delay + transit, event);
                break;
            }
            let through_store = self.millis(100..900);
            let at = self.now.max(self.store_back_at) + through_store;
            let event = Event::Hear {
                host,
                notice: notice.clone(),
                at,
            };
            self.schedule(at, event);
        }
    }
}
