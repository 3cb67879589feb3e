//! The reducer and its state.

use std::sync::Arc;
use std::time::Instant;

use mimosagap_rules::RuleSet;
use mimosagap_types::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::connectivity::ConnectivityMonitor;
use crate::drain::DrainState;
use crate::effect::{Effect, Notice, StateChange};
use crate::event::{Event, Member};
use crate::output_lengths::LengthEstimator;
use crate::quarantine::QuarantineTable;
use crate::queue::ArrivalOrder;
use crate::rate_limit::RateLimiter;
use crate::requests::{RequestKey, RequestTable};
use crate::retry_budget::RetryBudget;
use crate::targets::TargetTable;

/// What a reducer knows from its daemon's settings.
#[derive(Debug, Clone)]
pub struct ReducerOptions {
    /// This daemon.
    pub daemon: DaemonId,
    /// Its zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// Seed of the random choices, so that a run can be repeated.
    pub seed: u64,
}

/// The decisions of one daemon.
#[derive(Debug)]
pub struct DaemonReducer {
    pub(crate) options: ReducerOptions,
    pub(crate) rng: SmallRng,
    pub(crate) rules: Arc<RuleSet>,
    pub(crate) has_rules: bool,
    pub(crate) requests: RequestTable,
    pub(crate) targets: TargetTable,
    pub(crate) length_estimator: LengthEstimator,
    pub(crate) limiter: RateLimiter,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) quarantine: QuarantineTable,
    pub(crate) connectivity: ConnectivityMonitor,
    pub(crate) drain: DrainState,
    pub(crate) members: Vec<Member>,
    pub(crate) leaving_daemons: Vec<DaemonId>,
    /// Requests in the admission queues of all groups.
    pub(crate) queued_requests: usize,
    pub(crate) arrival_order: ArrivalOrder,
    /// Suspects which wait for a trial.
    pub(crate) trial_queue: Vec<RequestKey>,
    /// The time of the event in hand.
    pub(crate) last_event_at: Option<Instant>,
}

impl DaemonReducer {
    /// A reducer without rules, targets or members.
    #[must_use]
    pub fn new(options: ReducerOptions) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(options.seed),
            options,
            rules: Arc::new(RuleSet::empty()),
            has_rules: false,
            requests: RequestTable::default(),
            targets: TargetTable::default(),
            length_estimator: LengthEstimator::new(),
            limiter: RateLimiter::default(),
            retry_budget: RetryBudget::new(),
            quarantine: QuarantineTable::default(),
            connectivity: ConnectivityMonitor::default(),
            drain: DrainState::default(),
            members: Vec::new(),
            leaving_daemons: Vec::new(),
            queued_requests: 0,
            arrival_order: ArrivalOrder::default(),
            trial_queue: Vec::new(),
            last_event_at: None,
        }
    }

    /// Takes one event and appends what is to be done to `effects`.
    ///
    /// `now` never goes back: an earlier time than in the last call is taken as that time.
    pub fn reduce(&mut self, now: Instant, event: Event, effects: &mut Vec<Effect>) {
        let now = self.last_event_at.map_or(now, |last| last.max(now));
        self.last_event_at = Some(now);
        match event {
            Event::StoreReached => self.connectivity.store_reached(now),
            Event::PeerReached { .. } => self.connectivity.peer_reached(now),
            _ => {}
        }
        self.refresh_connectivity(now, effects);
        match event {
            Event::Submitted { ticket, submission } => {
                self.submitted(now, ticket, submission, effects);
            }
            Event::CallerLeft { ticket } => self.caller_left(now, ticket, effects),
            Event::AttemptAccepted {
                ticket,
                attempt,
                incarnation,
            } => {
                if let Some(key) = self.requests.key_of_attempt(ticket, attempt) {
                    self.attempt_accepted(key, incarnation);
                }
            }
            Event::Progress {
                ticket,
                attempt,
                tokens,
            } => {
                if let Some(key) = self.requests.key_of_attempt(ticket, attempt) {
                    self.attempt_progressed(now, key, tokens);
                }
            }
            Event::AttemptEnded {
                ticket,
                attempt,
                end,
            } => self.attempt_ended(now, ticket, attempt, &end, effects),
            Event::ClaimAnswered { ticket, answer } => {
                self.claim_answered(now, ticket, &answer, effects);
            }
            Event::TrialAnswered { ticket, answer } => {
                self.trial_answered(now, ticket, answer, effects);
            }
            Event::SuspicionRecorded { ticket } => self.suspicion_recorded(now, ticket, effects),
            other => self.reduce_fleet(now, other, effects),
        }
    }

    /// Takes an event that does not belong to one request.
    fn reduce_fleet(&mut self, now: Instant, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::TargetsListed(list) => self.targets_listed(now, &list, effects),
            Event::TargetReported { address, report } => {
                self.target_reported(now, &address, report, effects);
            }
            Event::TargetUnreachable { address, refused } => {
                self.target_unreachable(now, &address, refused, effects);
            }
            Event::CacheChanged {
                address,
                stored,
                removed,
                gap,
            } => self.cache_changed(&address, &stored, &removed, gap),
            Event::RulesReceived(rules) => self.rules_received(now, rules, effects),
            Event::MembersChanged(members) => self.members_changed(members),
            Event::PeerPlacements { daemon, placements } => {
                self.targets.set_peer_placements(daemon, &placements, now);
            }
            Event::NoticeReceived(notice) => self.notice_received(now, notice, effects),
            Event::SuspectsChanged(changes) => self.suspects_changed(now, changes, effects),
            Event::SlotHoldersChanged(holders) => self.limiter.set_holders(holders),
            Event::LenderSlotsHeld { slots, until } => self.limiter.hold_slots(&slots, until, now),
            Event::CreditRequested {
                request_id,
                team,
                wanted,
            } => self.credit_requested(now, request_id, team, wanted, effects),
            Event::CreditGranted {
                team,
                granted,
                requested_at,
            } => self.credit_granted(now, &team, granted, requested_at, effects),
            Event::CreditFailed { team } => self.credit_failed(&team, effects),
            Event::DrainRequested => self.drain_requested(now, effects),
            Event::Tick => self.tick(now, effects),
            _ => {}
        }
    }

    fn members_changed(&mut self, mut members: Vec<Member>) {
        for member in &mut members {
            member.leaving |= self.leaving_daemons.contains(&member.id);
        }
        // A daemon without a record is gone and does not come back under its id.
        self.leaving_daemons
            .retain(|daemon| members.iter().any(|member| member.id == *daemon));
        self.members = members;
    }

    fn drain_requested(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let Some(after) = self.drain.begin(now, self.rules.address_lifetime()) else {
            return;
        };
        let daemon = self.options.daemon.clone();
        effects.push(Effect::Log(StateChange::Draining));
        effects.push(Effect::Broadcast(Notice::DaemonLeaving { daemon }));
        effects.push(Effect::StopAccepting { after });
    }
}
