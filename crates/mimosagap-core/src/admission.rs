//! Admission of new requests: rules, quarantine and the team's rate limit are checked before a
//! target is chosen.

use std::time::Instant;

use mimosagap_types::prelude::*;

use crate::effect::Effect;
use crate::event::{Submission, SuspectState, WorkKind};
use crate::rate_limit::{CreditRequest, LimitDecision};
use crate::reducer::DaemonReducer;
use crate::requests::{Request, RequestKey, RequestPhase};
use crate::targets::GroupIndex;

impl DaemonReducer {
    pub(crate) fn submitted(
        &mut self,
        now: Instant,
        ticket: RequestTicket,
        submission: Submission,
        effects: &mut Vec<Effect>,
    ) {
        if self.requests.key_of(ticket).is_some() {
            return;
        }
        let refusal = self.admission_refusal(now, &submission);
        let group = self.group_of(&submission.work);
        let (refusal, group) = match (refusal, group) {
            (None, Some(group)) => (None, group),
            (refusal, group) => {
                let refusal = refusal.unwrap_or_else(|| self.refusal(RefusalCause::NoTarget));
                (Some(refusal), group.unwrap_or(GroupIndex(0)))
            }
        };
        if let Some(mut refusal) = refusal {
            if submission.may_have_run_before() {
                refusal.outcome = RunOutcome::Unknown;
            }
            effects.push(Effect::Refuse { ticket, refusal });
            return;
        }
        let key = self.insert(ticket, submission, group);
        self.check_rate_limit(now, key, effects);
    }

    fn group_of(&mut self, work: &WorkKind) -> Option<GroupIndex> {
        match work {
            WorkKind::Generation { model, .. } => self.targets.model_group(model),
            WorkKind::IdempotentCall { service } | WorkKind::Order { service, .. } => {
                self.targets.service_group(service)
            }
        }
    }

    /// Reason to refuse a request at once, or `None` to admit it.
    fn admission_refusal(&mut self, now: Instant, submission: &Submission) -> Option<Refusal> {
        if !self.has_rules || self.connectivity.is_isolated(now) {
            return Some(self.refusal(RefusalCause::Isolated));
        }
        if !self.drain.accepts(now) {
            return Some(self.refusal(RefusalCause::Leaving));
        }
        if let Some(rule) = self.rules.refusal_rule(&submission.team) {
            let rule = Some(rule.clone());
            return Some(self.refusal(RefusalCause::RefusedByRule).with_rule(rule));
        }
        if self.quarantine_state(now, submission) == Some(SuspectState::Blocked) {
            return Some(self.quarantine_refusal(now, &submission.digest));
        }
        None
    }

    /// Quarantine state of a request; `None` if a rule unblocks it. Only generations are
    /// quarantined: a request can crash an engine through its input, whereas calls without a body
    /// all share one digest.
    pub(crate) fn quarantine_state(
        &self,
        now: Instant,
        submission: &Submission,
    ) -> Option<SuspectState> {
        if !matches!(submission.work, WorkKind::Generation { .. })
            || self.rules.is_unblocked(&submission.digest)
        {
            return None;
        }
        self.quarantine.state(&submission.digest, now)
    }

    /// Refusal for a blocked request. The retry delay is the time left in quarantine, because an
    /// earlier retry cannot succeed.
    pub(crate) fn quarantine_refusal(&mut self, now: Instant, digest: &RequestDigest) -> Refusal {
        let time_left = self.quarantine.time_left(digest, now);
        self.refusal(RefusalCause::Quarantined)
            .with_retry_after(time_left)
    }

    fn insert(
        &mut self,
        ticket: RequestTicket,
        submission: Submission,
        group: GroupIndex,
    ) -> RequestKey {
        let priority = self.rules.class_priority(&submission.class);
        let histogram = self
            .length_estimator
            .histogram_of(&submission.team, &submission.class);
        self.requests.insert(Request {
            ticket,
            submission,
            priority,
            group,
            histogram,
            attempts: 0,
            may_have_run: false,
            never_ran_before: false,
            caller_left: false,
            failed_targets: Vec::new(),
            retry_after: None,
            phase: RequestPhase::Idle,
        })
    }

    fn check_rate_limit(&mut self, now: Instant, key: RequestKey, effects: &mut Vec<Effect>) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let team = request.submission.team.clone();
        let Some(limit) = self.rules.team_limit(&team) else {
            self.route_admitted(now, key, effects);
            return;
        };
        let own_id = &self.options.daemon;
        let (decision, credit_request) = self.limiter.admit(&team, limit, key, own_id, now);
        if decision == LimitDecision::Waiting {
            request.phase = RequestPhase::AwaitingCredit;
        }
        push_credit_request(&team, credit_request, effects);
        match decision {
            LimitDecision::Admitted => self.route_admitted(now, key, effects),
            LimitDecision::Waiting => {}
            LimitDecision::Refused => self.refuse_over_limit(key, effects),
        }
    }

    /// Refuses a request that exceeds its team's rate limit.
    fn refuse_over_limit(&mut self, key: RequestKey, effects: &mut Vec<Effect>) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let rule = self
            .rules
            .team_limit(&request.submission.team)
            .map(|limit| limit.rule.clone());
        let refusal = self.refusal(RefusalCause::LimitReached).with_rule(rule);
        self.refuse(key, refusal, effects);
    }

    /// Routes a request that is within its team's rate limit.
    fn route_admitted(&mut self, now: Instant, key: RequestKey, effects: &mut Vec<Effect>) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.phase = RequestPhase::Idle;
        match request.submission.work {
            WorkKind::Generation { .. } => self.route_generation(now, key, effects),
            WorkKind::IdempotentCall { .. } => self.route_call(now, key, effects),
            WorkKind::Order { .. } => self.claim_order(now, key, effects),
        }
    }

    pub(crate) fn credit_granted(
        &mut self,
        now: Instant,
        team: &TeamName,
        granted: u32,
        requested_at: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let limit = self.rules.team_limit(team);
        let outcome = self
            .limiter
            .handle_grant(team, limit, granted, requested_at, now);
        push_credit_request(team, outcome.request, effects);
        for key in outcome.admitted {
            self.route_admitted(now, key, effects);
        }
        for key in outcome.refused {
            self.refuse_over_limit(key, effects);
        }
    }

    pub(crate) fn credit_failed(&mut self, team: &TeamName, effects: &mut Vec<Effect>) {
        for key in self.limiter.fail_open_request(team) {
            self.refuse_over_limit(key, effects);
        }
    }

    pub(crate) fn credit_requested(
        &mut self,
        now: Instant,
        request_id: u64,
        team: TeamName,
        wanted: u32,
        effects: &mut Vec<Effect>,
    ) {
        let granted = match self.rules.team_limit(&team) {
            Some(limit) => self.limiter.grant(&team, limit, wanted, now),
            None => 0,
        };
        effects.push(Effect::AnswerCredit {
            request_id,
            team,
            granted,
        });
    }
}

fn push_credit_request(
    team: &TeamName,
    credit_request: Option<CreditRequest>,
    effects: &mut Vec<Effect>,
) {
    if let Some(CreditRequest { holder, wanted }) = credit_request {
        effects.push(Effect::RequestCredit {
            holder,
            team: team.clone(),
            wanted,
        });
    }
}
