//! Orders, which run at most once: an order is claimed in the store, sent to a target, and its
//! result recorded in the claim.

use std::time::Instant;

use mimosagap_types::prelude::*;

use crate::effect::Effect;
use crate::event::{AttemptEnd, ClaimAnswer};
use crate::reducer::DaemonReducer;
use crate::requests::{Attempt, RequestKey, RequestPhase};

impl DaemonReducer {
    /// Claims an order in the store, or refuses it if it certainly cannot run.
    pub(crate) fn claim_order(&mut self, now: Instant, key: RequestKey, effects: &mut Vec<Effect>) {
        if !self.connectivity.is_store_reachable(now) {
            self.refuse_with_cause(key, RefusalCause::StoreUnavailable, effects);
            return;
        }
        let may_have_run_before = self
            .requests
            .get(key)
            .is_some_and(|request| request.submission.may_have_run_before());
        // Only the claim tells whether an earlier send ran, so it is read even if no target is
        // usable.
        if !may_have_run_before && self.select_service(now, key).is_none() {
            self.refuse_with_cause(key, RefusalCause::NoTarget, effects);
            return;
        }
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let Some(order_key) = request.order_key().cloned() else {
            return;
        };
        request.phase = RequestPhase::Claiming;
        effects.push(Effect::Claim {
            ticket: request.ticket,
            key: order_key,
            digest: request.submission.digest,
        });
    }

    pub(crate) fn claim_answered(
        &mut self,
        now: Instant,
        ticket: RequestTicket,
        answer: &ClaimAnswer,
        effects: &mut Vec<Effect>,
    ) {
        let Some(key) = self.requests.key_of(ticket) else {
            return;
        };
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        if !matches!(request.phase, RequestPhase::Claiming) {
            return;
        }
        request.phase = RequestPhase::Idle;
        match answer {
            ClaimAnswer::Acquired => {
                request.never_ran_before = true;
                self.send_order(now, key, RefusalCause::NoTarget, effects);
            }
            ClaimAnswer::AlreadyRan => {
                effects.push(Effect::RespondFromRecord { ticket });
                self.remove(key);
            }
            ClaimAnswer::InProgress => {
                request.may_have_run = true;
                self.refuse_with_cause(key, RefusalCause::OrderInProgress, effects);
            }
            ClaimAnswer::BodyMismatch => {
                request.never_ran_before = true;
                self.refuse_with_cause(key, RefusalCause::KeyReused, effects);
            }
            ClaimAnswer::Unavailable => {
                self.refuse_with_cause(key, RefusalCause::StoreUnavailable, effects);
            }
            ClaimAnswer::Uncertain => {
                request.may_have_run = true;
                self.refuse_with_cause(key, RefusalCause::StoreUnavailable, effects);
            }
        }
    }

    /// Sends a claimed order that has not run to a target, or records it as not run and refuses it.
    fn send_order(
        &mut self,
        now: Instant,
        key: RequestKey,
        cause: RefusalCause,
        effects: &mut Vec<Effect>,
    ) {
        let caller_left = self
            .requests
            .get(key)
            .is_some_and(|request| request.caller_left);
        if caller_left {
            self.refuse_as_not_run(key, RefusalCause::Cancelled, effects);
            return;
        }
        match self.select_service(now, key) {
            Some(target) if self.try_start_attempt(key) => {
                self.dispatch(now, key, target, false, effects);
            }
            Some(_) => self.refuse_as_not_run(key, RefusalCause::RetryBudgetSpent, effects),
            None => self.refuse_as_not_run(key, cause, effects),
        }
    }

    fn refuse_as_not_run(
        &mut self,
        key: RequestKey,
        cause: RefusalCause,
        effects: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        if let Some(order_key) = request.order_key().cloned() {
            effects.push(Effect::RecordNotRun {
                ticket: request.ticket,
                key: order_key,
            });
        }
        self.refuse_with_cause(key, cause, effects);
    }

    /// Ends an attempt of an order. Once the target accepted it, only a complete response shows
    /// what happened.
    pub(crate) fn order_ended(
        &mut self,
        now: Instant,
        key: RequestKey,
        attempt: &Attempt,
        end: &AttemptEnd,
        effects: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        match end {
            AttemptEnd::Completed { .. } => {
                let ticket = request.ticket;
                if let Some(key) = request.order_key().cloned() {
                    effects.push(Effect::RecordResult { ticket, key });
                }
                self.remove(key);
            }
            AttemptEnd::NotSent | AttemptEnd::Rejected { .. } if !attempt.is_accepted => {
                request.failed_targets.push(attempt.target);
                self.send_order(now, key, RefusalCause::NoTarget, effects);
            }
            AttemptEnd::Failed { .. } => {
                self.refuse_as_unknown(key, RefusalCause::TargetFailed, effects);
            }
            AttemptEnd::Cancelled => self.refuse_as_unknown(key, RefusalCause::Cancelled, effects),
            AttemptEnd::NotSent | AttemptEnd::Rejected { .. } | AttemptEnd::Lost { .. } => {
                self.refuse_as_unknown(key, RefusalCause::TargetSilent, effects);
            }
        }
    }

    fn refuse_as_unknown(
        &mut self,
        key: RequestKey,
        cause: RefusalCause,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(request) = self.requests.get_mut(key) {
            request.may_have_run = true;
        }
        self.refuse_with_cause(key, cause, effects);
    }
}
