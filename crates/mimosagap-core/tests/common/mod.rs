//! A reducer with a clock under the test's control, and builders for events.
#![allow(dead_code, reason = "each test file uses a part")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mimosagap_core::*;
use mimosagap_rules::RuleSet;
use mimosagap_types::prelude::*;

pub const MODEL: &str = "quotes";
pub const SERVICE: &str = "agenda";

pub struct ReducerHarness {
    pub reducer: DaemonReducer,
    pub now: Instant,
    tickets: u64,
}

pub fn engine(number: u8) -> SocketAddr {
    SocketAddr::from(([127, 1, 0, number], 8000))
}

pub fn service(number: u8) -> SocketAddr {
    SocketAddr::from(([127, 2, 0, number], 8000))
}

pub fn digest(seed: u8) -> RequestDigest {
    RequestDigest([seed; 32])
}

pub fn rules(revision: u64, text: &str) -> Arc<RuleSet> {
    Arc::new(RuleSet::compile(RulesRevision(revision), text).expect("test rules compile"))
}

pub fn options(daemon: &str) -> ReducerOptions {
    ReducerOptions {
        daemon: DaemonId::new(daemon),
        zone: ZoneName::new("norte-a1"),
        region: RegionName::new("norte-a"),
        seed: 7,
    }
}

pub fn listed(address: SocketAddr, leaving: bool) -> ListedTarget {
    let is_engine = address.ip().to_string().starts_with("127.1.");
    ListedTarget {
        address,
        deployment: DeploymentName::new(if is_engine { "assistant" } else { SERVICE }),
        kind: if is_engine {
            TargetKind::Engine {
                models: vec![ModelName::new(MODEL)],
            }
        } else {
            TargetKind::Service
        },
        zone: ZoneName::new("norte-a1"),
        region: RegionName::new("norte-a"),
        leaving,
    }
}

pub fn load_report(incarnation: u64) -> LoadReport {
    LoadReport {
        incarnation: Incarnation(incarnation),
        running: 0,
        waiting: 0,
        memory_usage: 0.0,
        kv_capacity_tokens: 100_000,
        preemptions: 0,
        leaving: false,
        age: Duration::ZERO,
    }
}

pub fn generation(seed: u8, is_buffered: bool) -> Submission {
    Submission {
        team: TeamName::new("floors"),
        class: ClassName::new("quote"),
        digest: digest(seed),
        work: WorkKind::Generation {
            model: ModelName::new(MODEL),
            prompt_tokens: 100,
            max_tokens: None,
            prefix: Vec::new(),
            is_buffered,
        },
    }
}

pub fn order(seed: u8) -> Submission {
    Submission {
        work: WorkKind::Order {
            service: DeploymentName::new(SERVICE),
            key: OrderKey {
                team: TeamName::new("floors"),
                key: digest(seed),
            },
            is_first_send: true,
        },
        ..generation(seed, true)
    }
}

/// The order of [`order`], from a caller that may have sent it before.
pub fn resent_order(seed: u8) -> Submission {
    let mut submission = order(seed);
    if let WorkKind::Order { is_first_send, .. } = &mut submission.work {
        *is_first_send = false;
    }
    submission
}

pub fn call(seed: u8) -> Submission {
    Submission {
        work: WorkKind::IdempotentCall {
            service: DeploymentName::new(SERVICE),
        },
        ..generation(seed, true)
    }
}

impl ReducerHarness {
    /// Creates a reducer with rules and contact to the store, but without targets.
    pub fn new(text: &str) -> Self {
        let mut harness = Self {
            reducer: DaemonReducer::new(options("a")),
            now: Instant::now(),
            tickets: 0,
        };
        harness.step(Event::StoreReached);
        harness.step(Event::RulesReceived(rules(1, text)));
        harness
    }

    /// The same with usable engines and service targets, numbered from 1.
    pub fn with_targets(text: &str, engines: u8, services: u8) -> Self {
        let mut harness = Self::new(text);
        harness.list(engines, services);
        for number in 1..=engines {
            harness.report(number, load_report(1));
        }
        harness
    }

    pub fn list(&mut self, engines: u8, services: u8) -> Vec<Effect> {
        let engines = (1..=engines).map(engine);
        let addresses = engines.chain((1..=services).map(service));
        let list = addresses.map(|address| listed(address, false)).collect();
        self.step(Event::TargetsListed(list))
    }

    pub fn report(&mut self, number: u8, report: LoadReport) -> Vec<Effect> {
        let address = engine(number);
        self.step(Event::TargetReported { address, report })
    }

    pub fn step(&mut self, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.reducer.reduce(self.now, event, &mut effects);
        effects
    }

    /// Advances the clock with the store reachable, then ticks.
    pub fn advance(&mut self, time: Duration) -> Vec<Effect> {
        self.now += time;
        let mut effects = self.step(Event::StoreReached);
        effects.extend(self.step(Event::Tick));
        effects
    }

    pub fn submit(&mut self, submission: Submission) -> (RequestTicket, Vec<Effect>) {
        self.tickets += 1;
        let ticket = RequestTicket(self.tickets);
        let effects = self.step(Event::Submitted { ticket, submission });
        (ticket, effects)
    }

    pub fn accept(&mut self, ticket: RequestTicket, attempt: u32) -> Vec<Effect> {
        self.step(accepted(ticket, attempt, None))
    }

    pub fn end(&mut self, ticket: RequestTicket, attempt: u32, end: AttemptEnd) -> Vec<Effect> {
        self.step(ended(ticket, attempt, end))
    }

    pub fn claim(&mut self, ticket: RequestTicket, answer: ClaimAnswer) -> Vec<Effect> {
        self.step(Event::ClaimAnswered { ticket, answer })
    }

    pub fn reach_peer(&mut self) -> Vec<Effect> {
        let daemon = DaemonId::new("b");
        self.step(Event::PeerReached { daemon })
    }

    pub fn answer_trial(&mut self, ticket: RequestTicket, answer: TrialAnswer) -> Vec<Effect> {
        self.step(Event::TrialAnswered { ticket, answer })
    }

    /// Completes requests until the retry budget holds `retries`.
    pub fn fill_retry_budget(&mut self, retries: f64) {
        while self.reducer.retry_budget() < retries {
            let (ticket, effects) = self.submit(generation(255, true));
            assert!(dispatched(&effects).is_some(), "{effects:?}");
            self.end(ticket, 1, AttemptEnd::Completed { tokens: 10 });
        }
    }
}

/// Attempt number and target of the first dispatch.
pub fn dispatched(effects: &[Effect]) -> Option<(u32, SocketAddr)> {
    effects.iter().find_map(|effect| match effect {
        Effect::Dispatch {
            attempt, target, ..
        } => Some((*attempt, *target)),
        _ => None,
    })
}

/// The first refusal.
pub fn refused(effects: &[Effect]) -> Option<&Refusal> {
    effects.iter().find_map(|effect| match effect {
        Effect::Refuse { refusal, .. } => Some(refusal),
        _ => None,
    })
}

pub fn lost(delivered_tokens: u32, target_died: bool) -> AttemptEnd {
    AttemptEnd::Lost {
        delivered_tokens,
        target_died,
    }
}

pub fn rejected(leaving: bool) -> AttemptEnd {
    AttemptEnd::Rejected {
        retry_after: None,
        leaving,
    }
}

pub fn unreachable(address: SocketAddr, refused: bool) -> Event {
    Event::TargetUnreachable { address, refused }
}

pub fn leaving_notice(address: SocketAddr, incarnation: Option<Incarnation>) -> Event {
    Event::NoticeReceived(Notice::TargetLeaving {
        address,
        incarnation,
    })
}

pub fn accepted(ticket: RequestTicket, attempt: u32, incarnation: Option<Incarnation>) -> Event {
    Event::AttemptAccepted {
        ticket,
        attempt,
        incarnation,
    }
}

pub fn progress(ticket: RequestTicket, attempt: u32, tokens: u32) -> Event {
    Event::Progress {
        ticket,
        attempt,
        tokens,
    }
}

pub fn ended(ticket: RequestTicket, attempt: u32, end: AttemptEnd) -> Event {
    Event::AttemptEnded {
        ticket,
        attempt,
        end,
    }
}

/// A generation with this prompt length, limit and prefix.
pub fn sized_generation(prompt_tokens: u32, max_tokens: Option<u32>, prefix: &[u64]) -> Submission {
    Submission {
        work: WorkKind::Generation {
            model: ModelName::new(MODEL),
            prompt_tokens,
            max_tokens,
            prefix: prefix.to_vec(),
            is_buffered: true,
        },
        ..generation(1, true)
    }
}
