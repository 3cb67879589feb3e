//! Replays engines that hang or stall, without a network: each host has its own table of targets,
//! and load reports and notices arrive late or not at all.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use mimosagap_routing::placement::{
    GenerationDemand, PlacementOptions, cost_jitter, place_generation,
};
use mimosagap_routing::residency::UNRESTRICTED;
use mimosagap_routing::target_suspicion::{
    EventWait, HangEvidence, LifeSign, NoticeBudget, ReportEffect, Standing, WaitVerdict,
    last_contact_with_others,
};
use mimosagap_routing::targets::{Locality, Target, TargetKey};
use mimosagap_types::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::support::{LONG_GENERATION, NOW, engines, service};

const ENGINES: usize = 45;
const ENGINE_TOKENS_PER_MS: f64 = 14.0;
/// Generations a second: 22 long and 24.5 short ones.
const RATE: f64 = 46.5;
const LONG_DEADLINE: Duration = Duration::from_secs(39);
const SHORT_DEADLINE: Duration = Duration::from_secs(6);
const EVENT_GAP: Duration = Duration::from_millis(40);
const ZONES: [&str; 3] = ["a", "b", "c"];

/// What is replayed. Faults begin two seconds after the start.
#[derive(Debug, Clone, Copy)]
pub struct Replay {
    pub hosts: usize,
    pub has_part: bool,
    /// Engines that fall silent, and for how long.
    pub silent_engines: usize,
    pub silence: Duration,
    /// Whether streams that began before go on.
    pub streams_go_on: bool,
    /// Hosts that send at the same moment.
    pub burst: usize,
    pub load: f64,
    /// Host whose links to the engines are cut, while its datagrams pass.
    pub cut_host: Option<usize>,
    pub seed: u64,
}

/// What was counted in the 8 s after the fault began.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Generations sent to a silent engine that had no answer at the end.
    pub lost: usize,
    /// Generations for which no engine had capacity.
    pub unplaced: usize,
    pub suspicions: usize,
    /// Suspicions of any host that last at the end.
    pub open_suspicions: usize,
    /// Most generations placed on one engine that was not silent.
    pub most_placed: usize,
    pub datagrams: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrive,
    Event {
        id: usize,
        number: u32,
    },
    Check {
        id: usize,
    },
    Expire {
        id: usize,
    },
    Load {
        id: usize,
        to: usize,
        state: u8,
    },
    Report {
        from: usize,
        to: usize,
        engine: usize,
        at: Duration,
        is_strong: bool,
    },
    Heard {
        to: usize,
        engine: usize,
        at: Duration,
        is_answer: bool,
    },
}

struct Generation {
    host: usize,
    engine: usize,
    demand: GenerationDemand,
    wait: EventWait,
    ahead: u32,
    sent_at: Duration,
    is_answered: bool,
}

type Host = (mimosagap_routing::targets::TargetTable, Vec<TargetKey>);

struct Simulation {
    replay: Replay,
    now: Duration,
    fault_at: Duration,
    steps: BinaryHeap<Reverse<(Duration, usize, Step)>>,
    count: usize,
    hosts: Vec<Host>,
    budgets: Vec<NoticeBudget>,
    generations: Vec<Generation>,
    free_at: Vec<Duration>,
    placed: Vec<usize>,
    random: SmallRng,
    outcome: Outcome,
}

/// Runs a replay.
pub fn run(replay: Replay) -> Outcome {
    let zones: Vec<&str> = (0..ENGINES).map(|engine| ZONES[engine % 3]).collect();
    let mut simulation = Simulation {
        replay,
        now: NOW,
        fault_at: NOW + Duration::from_secs(2),
        steps: BinaryHeap::new(),
        count: 0,
        hosts: (0..replay.hosts).map(|_| engines(&zones)).collect(),
        budgets: vec![NoticeBudget::default(); replay.hosts],
        generations: Vec::new(),
        free_at: vec![NOW; ENGINES],
        placed: vec![0; ENGINES],
        random: SmallRng::seed_from_u64(replay.seed),
        outcome: Outcome::default(),
    };
    for host in 0..replay.hosts {
        let (targets, keys) = &mut simulation.hosts[host];
        for (engine, key) in keys.iter().enumerate() {
            let target = targets.get_mut(*key).unwrap();
            target.locality = locality(host, engine);
        }
    }
    simulation.push(Duration::ZERO, Step::Arrive);
    let end = simulation.fault_at + Duration::from_secs(8);
    while let Some(Reverse((at, _, step))) = simulation.steps.pop()
        && at < end
    {
        simulation.now = at;
        simulation.apply(step);
    }
    simulation.finish(end)
}

fn locality(host: usize, engine: usize) -> Locality {
    let regions = [0, 0, 1];
    if host % 3 == engine % 3 {
        Locality::SameZone
    } else if regions[host % 3] == regions[engine % 3] {
        Locality::SameRegion
    } else {
        Locality::OtherRegion
    }
}

/// The host that chooses engines for all hosts of a host's region.
fn placer(host: usize) -> usize {
    if host % 3 == 2 { 2 } else { 0 }
}

fn latency(host: usize, engine: usize) -> Duration {
    Duration::from_millis(if locality(host, engine) == Locality::OtherRegion {
        30
    } else {
        1
    })
}

impl Simulation {
    fn push(&mut self, delay: Duration, step: Step) {
        self.count += 1;
        self.steps
            .push(Reverse((self.now + delay, self.count, step)));
    }

    fn is_silent(&self, engine: usize, at: Duration) -> bool {
        engine < self.replay.silent_engines
            && at >= self.fault_at
            && at < self.fault_at + self.replay.silence
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Arrive => {
                let gap = -(1.0 - self.random.random::<f64>()).ln() / (RATE * self.replay.load);
                let burst = self.replay.burst;
                #[expect(clippy::cast_precision_loss, reason = "bursts are small")]
                self.push(Duration::from_secs_f64(gap * burst as f64), Step::Arrive);
                let first = self.random.random_range(0..self.replay.hosts);
                for number in 0..burst {
                    self.place((first + number) % self.replay.hosts);
                }
            }
            Step::Event { id, number } => self.receive_event(id, number),
            Step::Check { id } => self.check(id),
            Step::Expire { id } => {
                if !self.generations[id].is_answered {
                    self.generations[id].wait = EventWait::Next {
                        since: Duration::MAX / 2,
                    };
                    self.report_load(id, 3);
                }
            }
            Step::Load { id, to, state } => {
                let generation = &self.generations[id];
                let (targets, keys) = &mut self.hosts[to];
                let (key, demand) = (keys[generation.engine], generation.demand);
                // Reports of other hosts are modelled by the changes that they carry.
                match state {
                    0 => targets.add_request(key, demand.mean_kv_tokens(), demand.prompt_tokens, 1),
                    1 => {
                        let target = targets.get_mut(key).unwrap();
                        target.local_load.pending_prefill[1] -= demand.prompt_tokens;
                        target.suspicion.record_progress(self.now);
                    }
                    2 => targets.remove_request(key, demand.mean_kv_tokens(), 0, 1),
                    _ => {
                        let prompt_tokens = demand.prompt_tokens;
                        targets.remove_request(key, demand.mean_kv_tokens(), prompt_tokens, 1);
                    }
                }
            }
            Step::Report {
                from,
                to,
                engine,
                at,
                is_strong,
            } => {
                let evidence = if is_strong {
                    HangEvidence::Unanswered
                } else {
                    HangEvidence::Silent
                };
                let (targets, keys) = &mut self.hosts[to];
                let suspicion = &mut targets.get_mut(keys[engine]).unwrap().suspicion;
                let effect = suspicion.record_report(evidence, at, false, self.now);
                if effect == ReportEffect::Contradicted {
                    let at = suspicion.heard_here_at(evidence.contradicting_sign());
                    self.send(
                        to,
                        from,
                        Step::Heard {
                            to: from,
                            engine,
                            at,
                            is_answer: is_strong,
                        },
                    );
                }
            }
            Step::Heard {
                to,
                engine,
                at,
                is_answer,
            } => {
                let sign = if is_answer {
                    LifeSign::Answer
                } else {
                    LifeSign::Event
                };
                let (targets, keys) = &mut self.hosts[to];
                let suspicion = &mut targets.get_mut(keys[engine]).unwrap().suspicion;
                let cleared = suspicion.record_peer_sign(sign, at, self.now);
                if cleared.is_some_and(|cleared| cleared.is_reporter) {
                    self.broadcast(to, |to| Step::Heard {
                        to,
                        engine,
                        at,
                        is_answer,
                    });
                }
            }
        }
    }

    fn place(&mut self, host: usize) {
        let is_long = self.random.random_bool(22.0 / RATE);
        let demand = GenerationDemand {
            prompt_tokens: if is_long { 3000 } else { 2200 },
            expected_tokens: if is_long { 744 } else { 160 },
            ..LONG_GENERATION
        };
        let (service, home_zone) = (service(), ZoneName::new(ZONES[host % 3]));
        let options = PlacementOptions {
            service: &service,
            demand,
            version: None,
            home_zone: &home_zone,
            max_queue_time: Duration::from_millis(900),
            restart_time: None,
            cost_jitter: Duration::ZERO,
            remote_partition_host: None,
            residency: &UNRESTRICTED,
        };
        let remote_options = PlacementOptions {
            cost_jitter: cost_jitter(self.replay.hosts * 2 / 3),
            remote_partition_host: (self.replay.hosts > 16).then_some(host as u64),
            ..options
        };
        // The placer chooses in the region, and the host compares its choice with other regions.
        let mut choose = |chooser: usize, options, is_remote| {
            let (targets, keys) = &self.hosts[chooser];
            let may_use =
                |_, target: &Target| (target.locality == Locality::OtherRegion) == is_remote;
            place_generation(targets, options, may_use, self.now, &mut self.random).map(|chosen| {
                let engine = keys
                    .iter()
                    .position(|key| *key == chosen.target.key())
                    .unwrap();
                (chosen.cost, chosen.time_to_first_token, engine)
            })
        };
        let placed = choose(placer(host), &options, false)
            .into_iter()
            .chain(choose(host, &remote_options, true))
            .min();
        let Some((_, expected, engine)) = placed else {
            self.outcome.unplaced += 1;
            return;
        };
        let (targets, keys) = &self.hosts[host];
        let ahead = targets
            .get(keys[engine])
            .unwrap()
            .pending_prefill_tokens(self.now);
        let id = self.generations.len();
        let sent_at = self.now;
        self.generations.push(Generation {
            host,
            engine,
            demand,
            wait: EventWait::First { sent_at, expected },
            ahead,
            sent_at,
            is_answered: false,
        });
        self.placed[engine] += usize::from(self.now >= self.fault_at);
        self.report_load(id, 0);
        let starts_at = (self.now + latency(host, engine)).max(self.free_at[engine]);
        let prefill = f64::from(demand.prompt_tokens) / ENGINE_TOKENS_PER_MS / 1000.0;
        self.free_at[engine] =
            self.after_silence(engine, starts_at) + Duration::from_secs_f64(prefill);
        let first_event_at = self.after_silence(engine, self.free_at[engine]);
        let delay = (first_event_at + latency(host, engine)).saturating_sub(self.now);
        self.push(delay, Step::Event { id, number: 0 });
        self.push(Duration::ZERO, Step::Check { id });
        let deadline = if is_long {
            LONG_DEADLINE
        } else {
            SHORT_DEADLINE
        };
        self.push(deadline, Step::Expire { id });
    }

    fn after_silence(&self, engine: usize, at: Duration) -> Duration {
        if self.is_silent(engine, at) {
            self.fault_at + self.replay.silence
        } else {
            at
        }
    }

    /// Hosts of the region hear of a change after 11 ms, the others within half a second.
    fn report_load(&mut self, id: usize, state: u8) {
        let Generation { host, .. } = self.generations[id];
        self.apply(Step::Load {
            id,
            to: host,
            state,
        });
        for to in (0..self.replay.hosts).filter(|to| *to != host) {
            let is_near = locality(host, to) != Locality::OtherRegion || self.replay.hosts <= 16;
            let delay = match is_near {
                // The placer reserves the load of its choice at once.
                true if to == placer(host) && state == 0 => 0,
                true => 11,
                false => 280,
            };
            self.push(Duration::from_millis(delay), Step::Load { id, to, state });
        }
    }

    fn receive_event(&mut self, id: usize, number: u32) {
        let Generation {
            host,
            engine,
            demand,
            sent_at,
            ahead,
            ..
        } = self.generations[id];
        let goes_on = self.replay.streams_go_on && sent_at < self.fault_at && number > 0;
        if self.is_silent(engine, self.now) && !goes_on {
            let resumes_at = self.after_silence(engine, self.now);
            return self.push(
                resumes_at.saturating_sub(self.now),
                Step::Event { id, number },
            );
        }
        if self.is_cut(host) {
            return;
        }
        let (sign, is_answer) = if number == 0 {
            (LifeSign::Answer, true)
        } else {
            (LifeSign::Event, false)
        };
        if is_answer {
            self.generations[id].is_answered = true;
            let (targets, keys) = &mut self.hosts[host];
            let elapsed = self.now.saturating_sub(sent_at);
            targets.finish_prefill(keys[engine], 0, 1, ahead + demand.prompt_tokens, elapsed);
            self.report_load(id, 1);
        }
        self.generations[id].wait = EventWait::Next { since: self.now };
        if self.replay.has_part {
            let (targets, keys) = &mut self.hosts[host];
            let suspicion = &mut targets.get_mut(keys[engine]).unwrap().suspicion;
            let cleared = suspicion.record_sign(sign, self.now);
            if cleared.is_some_and(|cleared| cleared.is_reporter) {
                let at = self.now;
                self.broadcast(host, |to| Step::Heard {
                    to,
                    engine,
                    at,
                    is_answer,
                });
            }
        }
        if number * 8 < demand.expected_tokens {
            self.push(
                EVENT_GAP,
                Step::Event {
                    id,
                    number: number + 1,
                },
            );
        } else {
            self.generations[id].wait = EventWait::Next {
                since: Duration::MAX / 2,
            };
            self.report_load(id, 2);
        }
    }

    fn is_cut(&self, host: usize) -> bool {
        self.replay.cut_host == Some(host) && self.now >= self.fault_at
    }

    /// Judges the wait of a generation, as the task of the gateway does.
    fn check(&mut self, id: usize) {
        let Generation {
            host, engine, wait, ..
        } = self.generations[id];
        if !self.replay.has_part || matches!(wait, EventWait::Next { since } if since > self.now) {
            return;
        }
        let now = self.now;
        let is_cut = self.is_cut(host);
        let (targets, keys) = &mut self.hosts[host];
        let contact = last_contact_with_others(targets, &service(), keys[engine]);
        let suspicion = &mut targets.get_mut(keys[engine]).unwrap().suspicion;
        let mut verdict = wait.judge(suspicion, contact, now);
        if verdict == WaitVerdict::CheckLink && !is_cut {
            verdict = wait.judge(suspicion, now, now);
        }
        if let WaitVerdict::WaitUntil(due_at) = verdict {
            return self.push(due_at.saturating_sub(now), Step::Check { id });
        }
        let reported = match verdict {
            WaitVerdict::Suspect(evidence)
                if suspicion.is_report_due(evidence, now)
                    && self.budgets[host].try_spend(self.replay.hosts, now) =>
            {
                Some((evidence, suspicion.record_report(evidence, now, true, now)))
            }
            _ => None,
        };
        self.push(Duration::from_millis(500), Step::Check { id });
        if let Some((evidence, ReportEffect::Suspected | ReportEffect::Renewed)) = reported {
            self.outcome.suspicions += 1;
            let is_strong = evidence == HangEvidence::Unanswered;
            self.broadcast(host, |to| Step::Report {
                from: host,
                to,
                engine,
                at: now,
                is_strong,
            });
        }
    }

    /// Sends a notice to all hosts, and again after half a second and a second.
    fn broadcast(&mut self, from: usize, step: impl Fn(usize) -> Step) {
        for to in (0..self.replay.hosts).filter(|to| *to != from) {
            for repeat in 0..3 {
                self.send_after(Duration::from_millis(10 + 500 * repeat), from, to, step(to));
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, step: Step) {
        self.send_after(Duration::ZERO, from, to, step);
    }

    /// One datagram in ten is lost.
    fn send_after(&mut self, delay: Duration, from: usize, to: usize, step: Step) {
        self.outcome.datagrams += 1;
        if !self.random.random_bool(0.1) {
            self.push(delay + latency(from, to), step);
        }
    }

    fn finish(mut self, end: Duration) -> Outcome {
        let lost = self.generations.iter().filter(|generation| {
            self.is_silent(generation.engine, generation.sent_at) && !generation.is_answered
        });
        self.outcome.lost = lost.count();
        let open = self.hosts.iter().flat_map(|(targets, _)| targets.iter());
        self.outcome.open_suspicions = open
            .filter(|(_, target)| target.suspicion.standing(end) != Standing::Trusted)
            .count();
        let sound = &self.placed[self.replay.silent_engines..];
        self.outcome.most_placed = sound.iter().copied().max().unwrap_or(0);
        self.outcome
    }
}
