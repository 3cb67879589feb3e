//! Drives three reducers that share a store and targets through random interleavings of events and
//! faults, and checks the invariants after every step.
//!
//! `MIMOSAGAP_INTERLEAVINGS` sets the number of interleavings, `MIMOSAGAP_SEED` the seed.

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

const DAEMON_COUNT: usize = 3;
const ENGINE_COUNT: u8 = 3;
const SERVICE_COUNT: u8 = 2;

/// A larger retry budget than the default, so that more retries run.
const RULES: &str = "retry budget 50% # manager: test";

type Action = (u8, u16, u16);

/// Progress of an attempt in the simulated relay.
#[derive(Debug, Clone, Copy, PartialEq)]
enum AttemptStage {
    Open,
    Ended,
    /// Cancelled by the reducer.
    Cancelled,
}

/// One attempt as its target sees it.
#[derive(Debug, Clone)]
struct SentAttempt {
    target: SocketAddr,
    incarnation: u64,
    accepted: bool,
    stage: AttemptStage,
    /// Whether the target may have run it or may still do so.
    may_run: bool,
}

#[derive(Debug)]
struct RequestTrack {
    submission: Submission,
    sent: Vec<SentAttempt>,
    final_effects: u32,
    /// Whether the suspicion is recorded; `None` until a record is requested.
    recorded: Option<bool>,
}

struct SimulatedDaemon {
    reducer: DaemonReducer,
    inbox: Vec<Event>,
    /// Reports in transit, with the time of sending. A fetch ends within 3 s.
    reports: Vec<(Instant, Event)>,
    tracks: BTreeMap<RequestTicket, RequestTrack>,
    paused: bool,
    revision: u64,
    /// Leaving incarnations that events announced to the reducer, and when.
    known_leaving: BTreeMap<(SocketAddr, u64), Instant>,
    attempts: u32,
    first_attempts: u32,
}

struct FleetSimulation {
    now: Instant,
    daemons: Vec<SimulatedDaemon>,
    tickets: u64,
    store_reachable: bool,
    claims: BTreeSet<OrderKey>,
    order_runs: BTreeMap<OrderKey, u32>,
    incarnations: BTreeMap<SocketAddr, u64>,
    leaving: BTreeSet<(SocketAddr, u64)>,
    newest_revision: u64,
    reached: ReachedCounts,
}

/// How often the interleavings reached each state that the test must cover.
type ReachedCounts = [u32; 6];
const RETRIES: usize = 0;
const SUSPICIONS: usize = 1;
const TRIALS: usize = 2;
const BLOCKED: usize = 3;
const ORDERS_RAN: usize = 4;
const ORDERS_NOT_RUN: usize = 5;

fn pick_item<T>(list: &[T], number: u16) -> Option<&T> {
    list.get(usize::from(number).checked_rem(list.len())?)
}

impl FleetSimulation {
    fn new() -> Self {
        let mut simulation = Self {
            now: Instant::now(),
            daemons: Vec::new(),
            tickets: 0,
            store_reachable: true,
            claims: BTreeSet::new(),
            order_runs: BTreeMap::new(),
            incarnations: (1..=ENGINE_COUNT).map(|n| (engine(n), 1)).collect(),
            leaving: BTreeSet::new(),
            newest_revision: 1,
            reached: [0; 6],
        };
        simulation
            .incarnations
            .extend((1..=SERVICE_COUNT).map(|n| (service(n), 1)));
        for name in ["a", "b", "c"] {
            simulation.daemons.push(SimulatedDaemon {
                reducer: DaemonReducer::new(options(name)),
                inbox: Vec::new(),
                reports: Vec::new(),
                tracks: BTreeMap::new(),
                paused: false,
                revision: 0,
                known_leaving: BTreeMap::new(),
                attempts: 0,
                first_attempts: 0,
            });
        }
        for index in 0..DAEMON_COUNT {
            simulation.step(index, Event::StoreReached);
            simulation.step(index, Event::RulesReceived(rules(1, RULES)));
            simulation.step(index, Event::TargetsListed(simulation.list()));
            for number in 1..=ENGINE_COUNT {
                let report = load_report(1);
                let address = engine(number);
                simulation.step(index, Event::TargetReported { address, report });
            }
        }
        simulation
    }

    fn list(&self) -> Vec<ListedTarget> {
        self.incarnations
            .iter()
            .map(|(address, incarnation)| {
                listed(*address, self.leaving.contains(&(*address, *incarnation)))
            })
            .collect()
    }

    /// Passes an event to a reducer and carries out the effects.
    fn step(&mut self, index: usize, event: Event) {
        let daemon = &mut self.daemons[index];
        daemon.observe_event(&event, &self.incarnations, &self.leaving, self.now);
        let mut effects = Vec::new();
        daemon.reducer.reduce(self.now, event, &mut effects);
        for effect in effects {
            self.carry_out(index, effect);
        }
        self.check(index);
    }

    fn check(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        let final_effects: Vec<u32> = daemon
            .tracks
            .values()
            .map(|track| track.final_effects)
            .collect();
        let open_count = final_effects.iter().filter(|count| **count == 0).count();
        assert_eq!(
            open_count,
            daemon.reducer.request_count(),
            "a final effect is lost"
        );
        assert!(
            final_effects.iter().all(|count| *count <= 1),
            "two final effects"
        );
        assert!(
            self.order_runs.values().all(|runs| *runs <= 1),
            "an order ran twice"
        );
        let revision = daemon.reducer.rules_revision().map_or(0, |found| found.0);
        assert!(
            revision >= daemon.revision,
            "the rules reverted to an older revision"
        );
        daemon.revision = revision;
        // The budget adds half an attempt for each request that reached a target.
        let (attempts, first) = (daemon.attempts, daemon.first_attempts);
        assert!(
            2 * attempts <= 3 * first,
            "{attempts} attempts exceed the retry budget of {first} requests"
        );
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
                let incarnation = self.incarnations[&target];
                self.reached[RETRIES] += u32::from(attempt > 1);
                daemon.record_dispatch(ticket, attempt, target, incarnation);
            }
            Effect::RecordNotRun { .. } => self.reached[ORDERS_NOT_RUN] += 1,
            Effect::RecordResult { .. } => self.reached[ORDERS_RAN] += 1,
            Effect::Refuse { ticket, refusal } => {
                daemon.record_refusal(ticket, &refusal);
                let submission = &daemon.track(ticket).submission;
                if let WorkKind::Order { key, .. } = &submission.work
                    && submission.may_have_run_before()
                    && refusal.outcome == RunOutcome::NotRun
                {
                    assert!(
                        !self.order_runs.contains_key(key),
                        "the order ran before: {refusal:?}"
                    );
                }
            }
            Effect::RespondFromRecord { ticket } => daemon.track(ticket).final_effects += 1,
            Effect::CancelAttempt { ticket, attempt } => {
                let sent = &mut daemon.track(ticket).sent[attempt as usize - 1];
                sent.stage = AttemptStage::Cancelled;
            }
            Effect::Claim { ticket, key, .. } => {
                let answer = if !self.store_reachable {
                    ClaimAnswer::Unavailable
                } else if !self.claims.insert(key.clone()) {
                    let answers = [ClaimAnswer::InProgress, ClaimAnswer::AlreadyRan];
                    answers[usize::from(self.order_runs.contains_key(&key))].clone()
                } else if self.tickets.is_multiple_of(5) {
                    ClaimAnswer::Uncertain
                } else {
                    ClaimAnswer::Acquired
                };
                daemon.inbox.push(Event::ClaimAnswered { ticket, answer });
            }
            Effect::RecordSuspicions { suspects, .. } => {
                for (ticket, _) in suspects {
                    self.reached[SUSPICIONS] += 1;
                    daemon.track(ticket).recorded = Some(false);
                    daemon.inbox.push(Event::SuspicionRecorded { ticket });
                }
            }
            Effect::AcquireTrial { ticket, .. } => {
                self.reached[TRIALS] += 1;
                let answer = match (self.store_reachable, self.tickets % 8) {
                    (false, _) => TrialAnswer::Unavailable,
                    (true, 0) => TrialAnswer::Busy,
                    (true, 1) => TrialAnswer::Cleared,
                    (true, _) => TrialAnswer::Acquired,
                };
                daemon.inbox.push(Event::TrialAnswered { ticket, answer });
            }
            Effect::EndTrial { digest, state } => {
                self.reached[BLOCKED] += u32::from(state == SuspectState::Blocked);
                let event = Event::SuspectsChanged(vec![(digest, state)]);
                (0..DAEMON_COUNT).for_each(|other| self.send(other, event.clone()));
            }
            Effect::Broadcast(notice) => {
                let event = Event::NoticeReceived(notice);
                (0..DAEMON_COUNT).for_each(|other| self.send(other, event.clone()));
            }
            _ => {}
        }
    }

    fn send(&mut self, index: usize, event: Event) {
        self.daemons[index].inbox.push(event);
    }

    fn submit(&mut self, index: usize, submission: Submission) {
        self.tickets += 1;
        let ticket = RequestTicket(self.tickets);
        let track = RequestTrack {
            submission: submission.clone(),
            sent: Vec::new(),
            final_effects: 0,
            recorded: None,
        };
        self.daemons[index].tracks.insert(ticket, track);
        self.step(index, Event::Submitted { ticket, submission });
    }

    /// Advances an open attempt by an acceptance, progress or its end.
    fn advance_attempt(&mut self, index: usize, choice: u16, variant: u16) {
        let open_attempts: Vec<(RequestTicket, usize)> = self.daemons[index].open_attempts();
        let Some((ticket, position)) = pick_item(&open_attempts, choice).copied() else {
            return;
        };
        let incarnations = &self.incarnations;
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
        let delivered_tokens = if is_stream {
            u32::from(variant / 16 % 2)
        } else {
            0
        };
        let sent = &mut track.sent[position];
        let attempt = u32::try_from(position).expect("few attempts") + 1;
        let target_died = incarnations[&sent.target] != sent.incarnation;
        let end = match variant % 8 {
            0 if !target_died => {
                sent.accepted = true;
                let incarnation = Some(Incarnation(sent.incarnation));
                daemon.inbox.push(accepted(ticket, attempt, incarnation));
                return;
            }
            1 => {
                let tokens = u32::from(variant);
                daemon.inbox.push(progress(ticket, attempt, tokens));
                return;
            }
            2 if !sent.accepted => AttemptEnd::NotSent,
            3 if !sent.accepted => rejected(false),
            4 => AttemptEnd::Failed { delivered_tokens },
            5 | 6 => lost(delivered_tokens, target_died),
            _ if target_died => lost(delivered_tokens, true),
            _ => AttemptEnd::Completed { tokens: 40 },
        };
        sent.stage = AttemptStage::Ended;
        sent.may_run = !matches!(end, AttemptEnd::NotSent | AttemptEnd::Rejected { .. });
        // An order whose response is lost ran in a third of the cases.
        let has_run = matches!(
            end,
            AttemptEnd::Completed { .. } | AttemptEnd::Failed { .. }
        ) || (matches!(end, AttemptEnd::Lost { .. }) && variant.is_multiple_of(3));
        if let Some(order) = order.filter(|_| has_run) {
            *self.order_runs.entry(order).or_default() += 1;
        }
        daemon.inbox.push(ended(ticket, attempt, end));
    }

    fn deliver(&mut self, index: usize, choice: u16, is_duplicate: bool) {
        let daemon = &mut self.daemons[index];
        let inbox = &mut daemon.inbox;
        if inbox.is_empty() || daemon.paused {
            return;
        }
        let position = usize::from(choice) % inbox.len();
        let event = if is_duplicate {
            inbox[position].clone()
        } else {
            inbox.remove(position)
        };
        self.step(index, event);
    }

    fn deliver_report(&mut self, index: usize, choice: u16) {
        let reports = &mut self.daemons[index].reports;
        let oldest = self.now.checked_sub(Duration::from_secs(3));
        reports.retain(|(sent_at, _)| oldest.is_none_or(|oldest| *sent_at > oldest));
        if let Some((_, event)) = pick_item(reports, choice).cloned() {
            self.step(index, event);
        }
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
        for index in 0..DAEMON_COUNT {
            if self.daemons[index].paused {
                continue;
            }
            if self.store_reachable {
                self.step(index, Event::StoreReached);
            }
            self.step(index, Event::Tick);
        }
    }

    fn apply_action(&mut self, (action, first, second): Action) {
        let index = usize::from(first) % DAEMON_COUNT;
        let paused = self.daemons[index].paused;
        let seed = u8::try_from(second % 6).expect("below 6");
        let addresses: Vec<SocketAddr> = self.incarnations.keys().copied().collect();
        let address = *pick_item(&addresses, second).expect("there are targets");
        let incarnation = self.incarnations[&address];
        match action % 32 {
            0..=4 if !paused => self.submit(index, generation(seed % 2, second.is_multiple_of(4))),
            5 if !paused => self.submit(index, resent_order(seed)),
            6 | 7 if !paused => self.submit(index, order(seed)),
            8 if !paused => self.submit(index, call(seed)),
            9..=13 => self.advance_attempt(index, second, first / 3),
            14..=18 => self.deliver(index, second, false),
            19 => self.deliver(index, second, true),
            20 => self.advance(Duration::from_millis(u64::from(second % 500))),
            21 => self.advance(Duration::from_millis(u64::from(second % 6_000))),
            22 => self.daemons[index].paused = !paused && second.is_multiple_of(2),
            23 => {
                // A crash: the new process has another incarnation and is not leaving.
                self.incarnations.insert(address, incarnation + 1);
                let event = unreachable(address, true);
                self.send(index, event);
            }
            24 if address.ip().to_string().starts_with("127.1.") => {
                let mut report = load_report(incarnation);
                report.leaving = self.leaving.contains(&(address, incarnation));
                let event = Event::TargetReported { address, report };
                self.daemons[index].reports.push((self.now, event));
            }
            25 if !paused => self.deliver_report(index, second),
            26 if first.is_multiple_of(3) => {
                self.leaving.insert((address, incarnation));
                let incarnation = Some(Incarnation(incarnation));
                self.send(index, leaving_notice(address, incarnation));
            }
            26 => {
                // A crash of a target that has work.
                let open_attempts = self.daemons[index].open_attempts();
                if let Some((ticket, position)) = pick_item(&open_attempts, second) {
                    let address = self.daemons[index].tracks[ticket].sent[*position].target;
                    *self.incarnations.get_mut(&address).expect("a target") += 1;
                }
            }
            27 if !paused => self.step(index, Event::TargetsListed(self.list())),
            28 => {
                self.newest_revision += u64::from(second % 2);
                let revision =
                    self.newest_revision - u64::from(first) % self.newest_revision.min(3);
                let event = Event::RulesReceived(rules(revision, RULES));
                self.send(index, event);
            }
            29 => self.store_reachable = !second.is_multiple_of(3),
            30 => {
                let tickets: Vec<_> = self.daemons[index].tracks.keys().copied().collect();
                if let Some(ticket) = pick_item(&tickets, second) {
                    let event = Event::CallerLeft { ticket: *ticket };
                    self.send(index, event);
                }
            }
            31 if second.is_multiple_of(8) => self.send(index, Event::DrainRequested),
            _ => {}
        }
    }

    /// Completes all open work; every request must get its final effect.
    fn run_to_completion(&mut self) {
        self.store_reachable = true;
        for round in 0..200 {
            for index in 0..DAEMON_COUNT {
                self.daemons[index].paused = false;
                while !self.daemons[index].inbox.is_empty() {
                    self.deliver(index, 0, false);
                }
                for _ in 0..self.daemons[index].open_attempts().len() {
                    self.advance_attempt(index, 0, 7);
                }
            }
            self.advance(Duration::from_millis(500));
            let request_counts = self
                .daemons
                .iter()
                .map(|daemon| daemon.reducer.request_count());
            if request_counts.sum::<usize>() == 0 && round > 100 {
                return;
            }
        }
        panic!("requests without a final effect at the end");
    }
}

impl SimulatedDaemon {
    fn track(&mut self, ticket: RequestTicket) -> &mut RequestTrack {
        self.tracks.get_mut(&ticket).expect("a known ticket")
    }

    fn open_attempts(&self) -> Vec<(RequestTicket, usize)> {
        let attempts = self.tracks.iter().flat_map(|(ticket, track)| {
            let sent = track.sent.iter().enumerate();
            sent.map(move |(position, sent)| (*ticket, position, sent.stage))
        });
        attempts
            .filter(|(_, _, stage)| *stage == AttemptStage::Open)
            .map(|(ticket, position, _)| (ticket, position))
            .collect()
    }

    /// Records the completed requests, records and leaving targets that an event reports.
    fn observe_event(
        &mut self,
        event: &Event,
        incarnations: &BTreeMap<SocketAddr, u64>,
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
                let is_current = current.is_some_and(|sent| sent.stage != AttemptStage::Cancelled);
                if is_current {
                    track.final_effects = 1;
                }
            }
            Event::SuspicionRecorded { ticket } => self.track(*ticket).recorded = Some(true),
            Event::TargetsListed(list) => {
                for target in list.iter().filter(|target| target.leaving) {
                    let incarnation = incarnations[&target.address];
                    self.known_leaving
                        .insert((target.address, incarnation), now);
                }
            }
            Event::TargetReported { address, report } if report.leaving => {
                self.known_leaving
                    .insert((*address, report.incarnation.0), now);
            }
            // A report of another incarnation that was fetched later shows that the leaving one has
            // ended.
            Event::TargetReported { address, report } => {
                let is_over = |known_at: &Instant| now >= *known_at + Duration::from_secs(3);
                self.known_leaving.retain(|(other, incarnation), known_at| {
                    other != address || *incarnation == report.incarnation.0 || !is_over(known_at)
                });
            }
            Event::NoticeReceived(Notice::TargetLeaving {
                address,
                incarnation: Some(incarnation),
            }) if leaving.contains(&(*address, incarnation.0)) => {
                self.known_leaving.insert((*address, incarnation.0), now);
            }
            _ => {}
        }
    }

    fn record_dispatch(
        &mut self,
        ticket: RequestTicket,
        attempt: u32,
        target: SocketAddr,
        incarnation: u64,
    ) {
        let is_leaving = self.known_leaving.contains_key(&(target, incarnation));
        assert!(!is_leaving, "{target} is leaving and gets new work");
        self.attempts += 1;
        self.first_attempts += u32::from(attempt == 1);
        let track = self.track(ticket);
        assert_eq!(track.final_effects, 0, "sent after the final effect");
        assert!(
            track.recorded != Some(false),
            "sent before the suspicion was recorded"
        );
        assert_eq!(track.sent.len() + 1, attempt as usize);
        let mut open_attempts = track
            .sent
            .iter()
            .filter(|sent| sent.stage == AttemptStage::Open);
        assert!(open_attempts.next().is_none(), "two attempts at once");
        if matches!(track.submission.work, WorkKind::Order { .. }) {
            let may_run = track.sent.iter().any(|sent| sent.may_run);
            assert!(!may_run, "an order that may have run is sent again");
        }
        track.recorded = None;
        track.sent.push(SentAttempt {
            target,
            incarnation,
            accepted: false,
            stage: AttemptStage::Open,
            may_run: true,
        });
    }

    fn record_refusal(&mut self, ticket: RequestTicket, refusal: &Refusal) {
        let track = self.track(ticket);
        track.final_effects += 1;
        assert!(
            track.recorded != Some(false),
            "answered before the suspicion was recorded"
        );
        let may_run = track.sent.iter().any(|sent| sent.may_run);
        let is_not_run = refusal.outcome == RunOutcome::NotRun;
        assert!(
            !is_not_run || !may_run,
            "an attempt may have run: {refusal:?}"
        );
    }
}

fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |text| text.parse().expect("an unsigned integer"))
}

fn run_actions(actions: &[Action]) -> ReachedCounts {
    let mut simulation = FleetSimulation::new();
    for action in actions {
        simulation.apply_action(*action);
    }
    simulation.run_to_completion();
    simulation.reached
}

/// Fails if an interleaving of crashes, pauses, lost responses, clock jumps, duplicate and late
/// events violates an invariant.
#[test]
fn invariants_hold_in_all_interleavings() {
    let cases = env_number("MIMOSAGAP_INTERLEAVINGS", 300);
    let seed = env_number("MIMOSAGAP_SEED", 1);
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
        let reached = run_actions(&actions);
        let mut total = total.borrow_mut();
        let counts = total.iter_mut().zip(reached);
        counts.for_each(|(sum, count)| *sum += count);
        Ok(())
    });
    let total = total.into_inner();
    println!(
        "{cases} interleavings, seed {seed}: {total:?} (retries, suspicions, trials, \
         blocked, orders run, orders not run)"
    );
    match result {
        Ok(()) => assert!(!total.contains(&0), "a state was never reached"),
        Err(TestError::Fail(reason, actions)) => panic!("seed {seed}, {actions:?}: {reason}"),
        Err(TestError::Abort(reason)) => panic!("seed {seed}: {reason}"),
    }
}
