//! The reducer: holds the state of one daemon and passes each event to the module that handles it.

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

/// Identity of the daemon and seed, from its settings.
#[derive(Debug, Clone)]
pub struct ReducerOptions {
    /// Unique id of the daemon in the fleet.
    pub daemon: DaemonId,
    /// Zone of the daemon's host; targets in it are preferred.
    pub zone: ZoneName,
    /// Region of that zone; targets in it come before those in other regions.
    pub region: RegionName,
    /// Seed of the random number generator; a fixed seed makes a run repeatable.
    pub seed: u64,
}

/// Decides for one daemon: where requests run, when they are retried and what callers are sent.
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
    /// Requests in the admission queues of all target groups.
    pub(crate) queued_requests: usize,
    pub(crate) arrival_order: ArrivalOrder,
    /// Suspects that wait until the store grants them a trial.
    pub(crate) trial_queue: Vec<RequestKey>,
    /// Time of the last event; `None` before the first one.
    pub(crate) last_event_at: Option<Instant>,
}

impl DaemonReducer {
    /// Creates a reducer without rules, targets or members.
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

    /// Handles one event and appends the resulting effects to `effects`.
    ///
    /// Time is monotonic: a `now` earlier than that of the previous call is replaced by it.
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
            fleet_event => self.reduce_fleet(now, fleet_event, effects),
        }
    }

    /// Handles an event that does not belong to a single request.
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
        // A daemon without a membership record has ended; its id is never reused.
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
