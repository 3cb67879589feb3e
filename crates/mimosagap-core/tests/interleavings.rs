//! Drives three reducers that share a store and targets through random interleavings of events
//! and faults, and checks the promises after every step.
//!
//! `MIMOSAGAP_INTERLEAVINGS` sets the number of interleavings, `MIMOSAGAP_SEED` another seed.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::*;
use mimosagap_core::*;
use mimosagap_types::prelude::*;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};

const DAEMONS: usize = 3;
const ENGINES: u8 = 3;
const SERVICES: u8 = 2;

/// More retries than by default, so that more of them are tried.
const RULES: &str = "retry budget 50% # manager: test";

type Action = (u8, u16, u16);

/// How far the relay is with an attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Stage {
    Open,
    Ended,
    /// The reducer gave it up.
    Cancelled,
}

/// One attempt as the targets see it.
#[derive(Debug, Clone)]
struct Sent {
    target: SocketAddr,
    life: u64,
    accepted: bool,
    stage: Stage,
    /// Whether the target may have run it or may still do so.
    may_run: bool,
}

#[derive(Debug)]
struct Track {
    submission: Submission,
    sent: Vec<Sent>,
    finals: u32,
    /// Whether the suspicion is recorded, once a record was asked for.
    recorded: Option<bool>,
}

struct Daemon {
    core: DaemonReducer,
    inbox: Vec<Event>,
    /// Reports on their way, and when they were sent: a fetch ends after less than 3 s.
    reports: Vec<(Instant, Event)>,
    tracks: BTreeMap<RequestTicket, Track>,
    paused: bool,
    revision: u64,
    /// Leaving lives of which the reducer was told, and when.
    told_leaving: BTreeMap<(SocketAddr, u64), Instant>,
    attempts: u32,
    first_attempts: u32,
}

struct World {
    now: Instant,
    daemons: Vec<Daemon>,
    tickets: u64,
    store_up: bool,
    claims: BTreeSet<OrderKey>,
    ran: BTreeMap<OrderKey, u32>,
    lives: BTreeMap<SocketAddr, u64>,
    leaving: BTreeSet<(SocketAddr, u64)>,
    newest: u64,
    seen: Seen,
}

/// How often the interleavings reached the states that matter.
type Seen = [u32; 6];
const FURTHER_ATTEMPTS: usize = 0;
const SUSPICIONS: usize = 1;
const TRIALS: usize = 2;
const BLOCKED: usize = 3;
const ORDERS_RAN: usize = 4;
const ORDERS_NOT_RUN: usize = 5;

fn pick<T>(list: &[T], number: u16) -> Option<&T> {
    list.get(usize::from(number).checked_rem(list.len())?)
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            now: Instant::now(),
            daemons: Vec::new(),
            tickets: 0,
            store_up: true,
            claims: BTreeSet::new(),
            ran: BTreeMap::new(),
            lives: (1..=ENGINES).map(|n| (engine(n), 1)).collect(),
            leaving: BTreeSet::new(),
            newest: 1,
            seen: [0; 6],
        };
        world.lives.extend((1..=SERVICES).map(|n| (service(n), 1)));
        for name in ["a", "b", "c"] {
            world.daemons.push(Daemon {
                core: DaemonReducer::new(options(name)),
                inbox: Vec::new(),
                reports: Vec::new(),
                tracks: BTreeMap::new(),
                paused: false,
                revision: 0,
                told_leaving: BTreeMap::new(),
                attempts: 0,
                first_attempts: 0,
            });
        }
        for index in 0..DAEMONS {
            world.step(index, Event::StoreReached);
            world.step(index, Event::RulesReceived(rules(1, RULES)));
            world.step(index, Event::TargetsListed(world.list()));
            for number in 1..=ENGINES {
                let report = load(1);
                let address = engine(number);
                world.step(index, Event::TargetReported { address, report });
            }
        }
        world
    }

    fn list(&self) -> Vec<ListedTarget> {
        self.lives
            .iter()
            .map(|(address, life)| listed(*address, self.leaving.contains(&(*address, *life))))
            .collect()
    }

    /// Gives an event to a reducer and carries out the effects.
    fn step(&mut self, index: usize, event: Event) {
        let daemon = &mut self.daemons[index];
        daemon.see(&event, &self.lives, &self.leaving, self.now);
        let mut effects = Vec::new();
        daemon.core.reduce(self.now, event, &mut effects);
        for effect in effects {
            self.carry_out(index, effect);
        }
        self.check(index);
    }

    fn check(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        let finals: Vec<u32> = daemon.tracks.values().map(|track| track.finals).collect();
        let open = finals.iter().filter(|count| **count == 0).count();
        assert_eq!(open, daemon.core.request_count(), "a final effect is lost");
        assert!(finals.iter().all(|count| *count <= 1), "two final effects");
        assert!(
            self.ran.values().all(|runs| *runs <= 1),
            "an order ran twice"
        );
        let revision = daemon.core.rules_revision().map_or(0, |found| found.0);
        assert!(revision >= daemon.revision, "the rules went back");
        daemon.revision = revision;
        // The budget adds half an attempt for each request that reached a target.
        let (attempts, first) = (daemon.attempts, daemon.first_attempts);
        assert!(2 * attempts <= 3 * first, "{attempts} for {first} requests");
    }

    fn carry_out(&mut self, index: usize, effect: Effect) {
        let daemon = &mut self.daemons[index];
        match effect {
            Effect::Dispatch {
                ticket,
                attempt,
                target,
                ..
            } => {
                let life = self.lives[&target];
                self.seen[FURTHER_ATTEMPTS] += u32::from(attempt > 1);
                daemon.sent(ticket, attempt, target, life);
            }
            Effect::RecordNotRun { .. } => self.seen[ORDERS_NOT_RUN] += 1,
            Effect::RecordResult { .. } => self.seen[ORDERS_RAN] += 1,
            Effect::Refuse { ticket, refusal } => {
                daemon.refused(ticket, &refusal);
                let submission = &daemon.track(ticket).submission;
                if let WorkKind::Order { key, .. } = &submission.work
                    && submission.may_be_resend()
                    && refusal.outcome == RunOutcome::NotRun
                {
                    assert!(
                        !self.ran.contains_key(key),
                        "the order ran before: {refusal:?}"
                    );
                }
            }
            Effect::AnswerFromRecord { ticket } => daemon.track(ticket).finals += 1,
            Effect::CancelAttempt { ticket, attempt } => {
                let sent = &mut daemon.track(ticket).sent[attempt as usize - 1];
                sent.stage = Stage::Cancelled;
            }
            Effect::Claim { ticket, key, .. } => {
                let answer = if !self.store_up {
                    ClaimAnswer::Unavailable
                } else if !self.claims.insert(key.clone()) {
                    let answers = [ClaimAnswer::InProgress, ClaimAnswer::AlreadyRan];
                    answers[usize::from(self.ran.contains_key(&key))].clone()
                } else if self.tickets.is_multiple_of(5) {
                    ClaimAnswer::Uncertain
                } else {
                    ClaimAnswer::Acquired
                };
                daemon.inbox.push(Event::ClaimAnswered { ticket, answer });
            }
            Effect::RecordSuspicions { suspects, .. } => {
                for (ticket, _) in suspects {
                    self.seen[SUSPICIONS] += 1;
                    daemon.track(ticket).recorded = Some(false);
                    daemon.inbox.push(Event::SuspicionRecorded { ticket });
                }
            }
            Effect::AcquireTrial { ticket, .. } => {
                self.seen[TRIALS] += 1;
                let answer = match (self.store_up, self.tickets % 8) {
                    (false, _) => TrialAnswer::Unavailable,
                    (true, 0) => TrialAnswer::Busy,
                    (true, 1) => TrialAnswer::Cleared,
                    (true, _) => TrialAnswer::Acquired,
                };
                daemon.inbox.push(Event::TrialAnswered { ticket, answer });
            }
            Effect::EndTrial { digest, state } => {
                self.seen[BLOCKED] += u32::from(state == SuspectState::Blocked);
                let event = Event::SuspectsChanged(vec![(digest, state)]);
                (0..DAEMONS).for_each(|other| self.mail(other, event.clone()));
            }
            Effect::Broadcast(notice) => {
                let event = Event::NoticeReceived(notice);
                (0..DAEMONS).for_each(|other| self.mail(other, event.clone()));
            }
            _ => {}
        }
    }

    fn mail(&mut self, index: usize, event: Event) {
        self.daemons[index].inbox.push(event);
    }

    fn submit(&mut self, index: usize, submission: Submission) {
        self.tickets += 1;
        let ticket = RequestTicket(self.tickets);
        let track = Track {
            submission: submission.clone(),
            sent: Vec::new(),
            finals: 0,
            recorded: None,
        };
        self.daemons[index].tracks.insert(ticket, track);
        self.step(index, Event::Submitted { ticket, submission });
    }

    /// Lets an open attempt go on: acceptance, progress or an end.
    fn go_on(&mut self, index: usize, which: u16, how: u16) {
        let open: Vec<(RequestTicket, usize)> = self.daemons[index].open_attempts();
        let Some((ticket, position)) = pick(&open, which).copied() else {
            return;
        };
        let lives = &self.lives;
        let daemon = &mut self.daemons[index];
        let track = daemon.track(ticket);
        let order = match &track.submission.work {
            WorkKind::Order { key, .. } => Some(key.clone()),
            _ => None,
        };
        let is_stream = matches!(
            track.submission.work,
            WorkKind::Generation {
                is_buffered: false,
                ..
            }
        );
        let delivered = if is_stream {
            u32::from(how / 16 % 2)
        } else {
            0
        };
        let sent = &mut track.sent[position];
        let attempt = u32::try_from(position).expect("few attempts") + 1;
        let has_died = lives[&sent.target] != sent.life;
        let end = match how % 8 {
            0 if !has_died => {
                sent.accepted = true;
                let incarnation = Some(Incarnation(sent.life));
                daemon.inbox.push(accepted(ticket, attempt, incarnation));
                return;
            }
            1 => {
                let tokens = u32::from(how);
                daemon.inbox.push(progress(ticket, attempt, tokens));
                return;
            }
            2 if !sent.accepted => AttemptEnd::NotSent,
            3 if !sent.accepted => rejected(false),
            4 => AttemptEnd::Failed { delivered },
            5 | 6 => lost(delivered, has_died),
            _ if has_died => lost(delivered, true),
            _ => AttemptEnd::Completed { tokens: 40 },
        };
        sent.stage = Stage::Ended;
        sent.may_run = !matches!(end, AttemptEnd::NotSent | AttemptEnd::Rejected { .. });
        // An order whose answer is lost ran in a third of the cases.
        let has_run = matches!(
            end,
            AttemptEnd::Completed { .. } | AttemptEnd::Failed { .. }
        ) || (matches!(end, AttemptEnd::Lost { .. }) && how.is_multiple_of(3));
        if let Some(order) = order.filter(|_| has_run) {
            *self.ran.entry(order).or_default() += 1;
        }
        daemon.inbox.push(ended(ticket, attempt, end));
    }

    fn deliver(&mut self, index: usize, which: u16, keep: bool) {
        let daemon = &mut self.daemons[index];
        let inbox = &mut daemon.inbox;
        if inbox.is_empty() || daemon.paused {
            return;
        }
        let position = usize::from(which) % inbox.len();
        let event = if keep {
            inbox[position].clone()
        } else {
            inbox.remove(position)
        };
        self.step(index, event);
    }

    fn deliver_report(&mut self, index: usize, which: u16) {
        let reports = &mut self.daemons[index].reports;
        let oldest = self.now.checked_sub(Duration::from_secs(3));
        reports.retain(|(sent_at, _)| oldest.is_none_or(|oldest| *sent_at > oldest));
        if let Some((_, event)) = pick(reports, which).cloned() {
            self.step(index, event);
        }
    }

    fn pass(&mut self, time: Duration) {
        self.now += time;
        for index in 0..DAEMONS {
            if self.daemons[index].paused {
                continue;
            }
            if self.store_up {
                self.step(index, Event::StoreReached);
            }
            self.step(index, Event::Tick);
        }
    }

    fn act(&mut self, (action, first, second): Action) {
        let index = usize::from(first) % DAEMONS;
        let paused = self.daemons[index].paused;
        let seed = u8::try_from(second % 6).expect("below 6");
        let addresses: Vec<SocketAddr> = self.lives.keys().copied().collect();
        let address = *pick(&addresses, second).expect("there are targets");
        let life = self.lives[&address];
        match action % 32 {
            0..=4 if !paused => self.submit(index, generation(seed % 2, second.is_multiple_of(4))),
            5 if !paused => self.submit(index, resent_order(seed)),
            6 | 7 if !paused => self.submit(index, order(seed)),
            8 if !paused => self.submit(index, call(seed)),
            9..=13 => self.go_on(index, second, first / 3),
            14..=18 => self.deliver(index, second, false),
            19 => self.deliver(index, second, true),
            20 => self.pass(Duration::from_millis(u64::from(second % 500))),
            21 => self.pass(Duration::from_millis(u64::from(second % 6_000))),
            22 => self.daemons[index].paused = !paused && second.is_multiple_of(2),
            23 => {
                // A crash: the new process has another incarnation and is not leaving.
                self.lives.insert(address, life + 1);
                let event = unreachable(address, true);
                self.mail(index, event);
            }
            24 if address.ip().to_string().starts_with("127.1.") => {
                let mut report = load(life);
                report.leaving = self.leaving.contains(&(address, life));
                let event = Event::TargetReported { address, report };
                self.daemons[index].reports.push((self.now, event));
            }
            25 if !paused => self.deliver_report(index, second),
            26 if first.is_multiple_of(3) => {
                self.leaving.insert((address, life));
                let incarnation = Some(Incarnation(life));
                self.mail(index, leaving_notice(address, incarnation));
            }
            26 => {
                // A crash of a target with work.
                let open = self.daemons[index].open_attempts();
                if let Some((ticket, position)) = pick(&open, second) {
                    let address = self.daemons[index].tracks[ticket].sent[*position].target;
                    *self.lives.get_mut(&address).expect("a target") += 1;
                }
            }
            27 if !paused => self.step(index, Event::TargetsListed(self.list())),
            28 => {
                self.newest += u64::from(second % 2);
                let revision = self.newest - u64::from(first) % self.newest.min(3);
                let event = Event::RulesReceived(rules(revision, RULES));
                self.mail(index, event);
            }
            29 => self.store_up = !second.is_multiple_of(3),
            30 => {
                let tickets: Vec<_> = self.daemons[index].tracks.keys().copied().collect();
                if let Some(ticket) = pick(&tickets, second) {
                    let event = Event::CallerLeft { ticket: *ticket };
                    self.mail(index, event);
                }
            }
            31 if second.is_multiple_of(8) => self.mail(index, Event::DrainRequested),
            _ => {}
        }
    }

    /// Lets everything come to its end: every request must get its final effect.
    fn settle(&mut self) {
        self.store_up = true;
        for round in 0..200 {
            for index in 0..DAEMONS {
                self.daemons[index].paused = false;
                while !self.daemons[index].inbox.is_empty() {
                    self.deliver(index, 0, false);
                }
                for _ in 0..self.daemons[index].open_attempts().len() {
                    self.go_on(index, 0, 7);
                }
            }
            self.pass(Duration::from_millis(500));
            let left = self
                .daemons
                .iter()
                .map(|daemon| daemon.core.request_count());
            if left.sum::<usize>() == 0 && round > 100 {
                return;
            }
        }
        panic!("requests without a final effect at the end");
    }
}

impl Daemon {
    fn track(&mut self, ticket: RequestTicket) -> &mut Track {
        self.tracks.get_mut(&ticket).expect("a known ticket")
    }

    fn open_attempts(&self) -> Vec<(RequestTicket, usize)> {
        let attempts = self.tracks.iter().flat_map(|(ticket, track)| {
            let sent = track.sent.iter().enumerate();
            sent.map(move |(position, sent)| (*ticket, position, sent.stage))
        });
        attempts
            .filter(|(_, _, stage)| *stage == Stage::Open)
            .map(|(ticket, position, _)| (ticket, position))
            .collect()
    }

    /// Takes note of what an event tells the reducer.
    fn see(
        &mut self,
        event: &Event,
        lives: &BTreeMap<SocketAddr, u64>,
        leaving: &BTreeSet<(SocketAddr, u64)>,
        now: Instant,
    ) {
        match event {
            Event::AttemptEnded {
                ticket,
                attempt,
                end: AttemptEnd::Completed { .. },
            } => {
                let track = self.track(*ticket);
                let current = track
                    .sent
                    .last()
                    .filter(|_| track.sent.len() == *attempt as usize);
                let is_current = current.is_some_and(|sent| sent.stage != Stage::Cancelled);
                if is_current {
                    track.finals = 1;
                }
            }
            Event::SuspicionRecorded { ticket } => self.track(*ticket).recorded = Some(true),
            Event::TargetsListed(list) => {
                for target in list.iter().filter(|target| target.leaving) {
                    let life = lives[&target.address];
                    self.told_leaving.insert((target.address, life), now);
                }
            }
            Event::TargetReported { address, report } if report.leaving => {
                self.told_leaving
                    .insert((*address, report.incarnation.0), now);
            }
            // A report of another life, fetched later, says that the leaving one is over.
            Event::TargetReported { address, report } => {
                let is_over = |told: &Instant| now >= *told + Duration::from_secs(3);
                self.told_leaving.retain(|(other, life), told| {
                    other != address || *life == report.incarnation.0 || !is_over(told)
                });
            }
            Event::NoticeReceived(Notice::TargetLeaving {
                address,
                incarnation: Some(life),
            }) if leaving.contains(&(*address, life.0)) => {
                self.told_leaving.insert((*address, life.0), now);
            }
            _ => {}
        }
    }

    fn sent(&mut self, ticket: RequestTicket, attempt: u32, target: SocketAddr, life: u64) {
        let is_leaving = self.told_leaving.contains_key(&(target, life));
        assert!(!is_leaving, "{target} is leaving and gets new work");
        self.attempts += 1;
        self.first_attempts += u32::from(attempt == 1);
        let track = self.track(ticket);
        assert_eq!(track.finals, 0, "sent after the final effect");
        assert!(track.recorded != Some(false), "sent before the record");
        assert_eq!(track.sent.len() + 1, attempt as usize);
        let mut open = track.sent.iter().filter(|sent| sent.stage == Stage::Open);
        assert!(open.next().is_none(), "two attempts at once");
        if matches!(track.submission.work, WorkKind::Order { .. }) {
            let may_run = track.sent.iter().any(|sent| sent.may_run);
            assert!(!may_run, "an order that may have run is sent again");
        }
        track.recorded = None;
        track.sent.push(Sent {
            target,
            life,
            accepted: false,
            stage: Stage::Open,
            may_run: true,
        });
    }

    fn refused(&mut self, ticket: RequestTicket, refusal: &Refusal) {
        let track = self.track(ticket);
        track.finals += 1;
        assert!(track.recorded != Some(false), "told before the record");
        let may_run = track.sent.iter().any(|sent| sent.may_run);
        let is_not_run = refusal.outcome == RunOutcome::NotRun;
        assert!(!is_not_run || !may_run, "untrue: {refusal:?}");
    }
}

fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |text| text.parse().expect("a whole number"))
}

fn run(actions: &[Action]) -> Seen {
    let mut world = World::new();
    for action in actions {
        world.act(*action);
    }
    world.settle();
    world.seen
}

/// Fails if an interleaving of crashes, pauses, lost answers, clock jumps, duplicates and late
/// events breaks a promise.
#[test]
fn promises_hold_in_all_interleavings() {
    let cases = setting("MIMOSAGAP_INTERLEAVINGS", 300);
    let seed = setting("MIMOSAGAP_SEED", 1);
    let config = Config {
        cases: u32::try_from(cases).expect("fits"),
        failure_persistence: None,
        ..Config::default()
    };
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_be_bytes());
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(config, random);
    let actions = vec((any::<u8>(), any::<u16>(), any::<u16>()), 1..400);
    let total = std::cell::RefCell::new([0; 6]);
    let result = runner.run(&actions, |actions| {
        let reached = run(&actions);
        let mut total = total.borrow_mut();
        let counts = total.iter_mut().zip(reached);
        counts.for_each(|(sum, count)| *sum += count);
        Ok(())
    });
    let total = total.into_inner();
    println!(
        "{cases} interleavings, seed {seed}: {total:?} (further attempts, suspicions, trials, \
         blocked, orders run, orders not run)"
    );
    match result {
        Ok(()) => assert!(!total.contains(&0), "a state was never reached"),
        Err(TestError::Fail(reason, actions)) => panic!("seed {seed}, {actions:?}: {reason}"),
        Err(TestError::Abort(reason)) => panic!("seed {seed}: {reason}"),
    }
}
