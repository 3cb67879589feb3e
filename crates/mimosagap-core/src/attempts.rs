//! Ends of attempts: retries, refusals, and the handling of a target's death.

use std::time::Instant;

use mimosagap_types::prelude::*;

use crate::effect::{Effect, Notice, StateChange};
use crate::event::{AttemptEnd, SuspectState, WorkKind};
use crate::reducer::DaemonReducer;
use crate::refusals::{refusal_message, retry_delay};
use crate::requests::{Attempt, RequestKey, RequestPhase, SuspicionState};
use crate::targets::{FAILURE_BACKOFF, GroupIndex, TargetKey};

/// Limit on the attempts of one request. With the retry budget, it keeps a request that fails
/// everywhere from spending the budget of all others.
pub const MAX_ATTEMPTS: u32 = 3;

impl DaemonReducer {
    /// Builds a refusal with the standard message and a randomized retry delay.
    pub(crate) fn refusal(&mut self, cause: RefusalCause) -> Refusal {
        let mut refusal = Refusal::new(cause, refusal_message(cause));
        refusal.retry_after = retry_delay(cause, &mut self.rng);
        refusal
    }

    /// Refuses a request for `cause`. The reported outcome follows from what its attempts did.
    pub(crate) fn refuse_with_cause(
        &mut self,
        key: RequestKey,
        cause: RefusalCause,
        effects: &mut Vec<Effect>,
    ) {
        let mut refusal = self.refusal(cause);
        if cause == RefusalCause::NoTarget
            && let Some(request) = self.requests.get(key)
        {
            refusal.rule = self.blocking_rule(request.group);
        }
        self.refuse(key, refusal, effects);
    }

    /// The rule without which the group would have a usable target.
    fn blocking_rule(&self, group: GroupIndex) -> Option<RuleReference> {
        let region_rule = self.required_region(group).map(|(_, rule)| rule);
        self.targets.draining_rule(group).or(region_rule).cloned()
    }

    /// The region that requests for a group must stay in, and the rule that says so.
    fn required_region(&self, group: GroupIndex) -> Option<&(RegionName, RuleReference)> {
        let model = self.targets.group(group).model.as_ref()?;
        self.rules.required_region(model)
    }

    /// Whether the group has a target that takes work now or may do so soon.
    pub(crate) fn may_find_target(&self, now: Instant, group: GroupIndex) -> bool {
        let region = self.required_region(group).map(|(region, _)| region);
        self.targets.may_find_target(group, region, now)
    }

    /// Sends a refusal as the final response.
    pub(crate) fn refuse(&mut self, key: RequestKey, refusal: Refusal, effects: &mut Vec<Effect>) {
        self.dequeue(key);
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let outcome = request.outcome();
        let mut refusal = refusal.with_outcome(outcome);
        if let Some(delay) = request
            .retry_after
            .filter(|_| refusal.retry_after.is_some())
        {
            refusal.retry_after = refusal.retry_after.max(Some(delay));
        }
        let ticket = request.ticket;
        if matches!(request.phase, RequestPhase::AwaitingCredit) {
            self.limiter.remove_waiting(&request.submission.team, key);
        }
        effects.push(Effect::Refuse { ticket, refusal });
        self.remove(key);
    }

    /// Deletes a request that has its final response.
    pub(crate) fn remove(&mut self, key: RequestKey) {
        self.detach_attempt(key);
        self.requests.remove(key);
    }

    pub(crate) fn attempt_accepted(&mut self, key: RequestKey, incarnation: Option<Incarnation>) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.may_have_run = true;
        let Some(attempt) = request.attempt_mut() else {
            return;
        };
        attempt.is_accepted = true;
        // Sets only the attempt's incarnation; the target's is set by its load reports alone.
        attempt.incarnation = incarnation.or(attempt.incarnation);
    }

    pub(crate) fn attempt_ended(
        &mut self,
        now: Instant,
        ticket: RequestTicket,
        attempt_number: u32,
        end: &AttemptEnd,
        effects: &mut Vec<Effect>,
    ) {
        let Some(key) = self.requests.key_of_attempt(ticket, attempt_number) else {
            return;
        };
        self.update_target_from_end(now, key, end, effects);
        // The death of the engine may already have ended the attempt.
        if self
            .requests
            .key_of_attempt(ticket, attempt_number)
            .is_none()
        {
            return;
        }
        let Some(attempt) = self.detach_attempt(key) else {
            return;
        };
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let group = request.group;
        if request.order_key().is_some() {
            self.order_ended(now, key, &attempt, end, effects);
        } else {
            self.retryable_ended(now, key, &attempt, end, effects);
        }
        self.dispatch_queued(now, group, effects);
    }

    /// Updates the state of a target from the end of an attempt there.
    fn update_target_from_end(
        &mut self,
        now: Instant,
        key: RequestKey,
        end: &AttemptEnd,
        effects: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        if matches!(
            end,
            AttemptEnd::Lost { .. } | AttemptEnd::Failed { .. } | AttemptEnd::Completed { .. }
        ) {
            request.may_have_run = true;
        }
        if let AttemptEnd::Rejected { retry_after, .. } = end {
            request.retry_after = *retry_after;
        }
        let Some(Attempt {
            target: target_key,
            incarnation,
            ..
        }) = request.attempt().cloned()
        else {
            return;
        };
        let Some(target) = self.targets.get_mut(target_key) else {
            return;
        };
        match end {
            AttemptEnd::NotSent => target.back_off(now, FAILURE_BACKOFF),
            AttemptEnd::Rejected {
                retry_after,
                leaving,
            } => {
                target.back_off(now, retry_after.unwrap_or(FAILURE_BACKOFF));
                if *leaving && target.mark_leaving(incarnation, now) {
                    self.announce_leaving(now, target_key, effects);
                }
            }
            AttemptEnd::Lost {
                target_died: true, ..
            } => {
                if target.incarnation == incarnation {
                    target.mark_refused(now);
                }
                self.target_died(now, target_key, incarnation, Some(key), effects);
            }
            _ => {}
        }
    }

    /// Ends an attempt of a generation or an idempotent call, both of which may be retried.
    fn retryable_ended(
        &mut self,
        now: Instant,
        key: RequestKey,
        attempt: &Attempt,
        end: &AttemptEnd,
        effects: &mut Vec<Effect>,
    ) {
        self.resolve_trial(now, key, attempt, end, effects);
        if attempt.suspicion == SuspicionState::Pending
            && !matches!(end, AttemptEnd::Completed { .. })
        {
            self.await_suspicion_record(key, attempt, end, effects);
            return;
        }
        match end {
            AttemptEnd::Completed { tokens } => self.attempt_completed(now, key, *tokens),
            AttemptEnd::NotSent | AttemptEnd::Rejected { .. } => {
                self.retry_on_other_target(now, key, attempt, RefusalCause::NoTarget, effects);
            }
            AttemptEnd::Cancelled => self.refuse_with_cause(key, RefusalCause::Cancelled, effects),
            AttemptEnd::Failed { delivered_tokens } => {
                let cause = RefusalCause::TargetFailed;
                self.attempt_lost(now, key, attempt, *delivered_tokens, cause, effects);
            }
            AttemptEnd::Lost {
                delivered_tokens, ..
            } => {
                let cause = self.loss_cause(key);
                self.attempt_lost(now, key, attempt, *delivered_tokens, cause, effects);
            }
        }
    }

    /// Holds back the response to a caller whose engine died until the suspicion is recorded.
    fn await_suspicion_record(
        &mut self,
        key: RequestKey,
        attempt: &Attempt,
        end: &AttemptEnd,
        effects: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let delivered_tokens = match end {
            AttemptEnd::Lost {
                delivered_tokens, ..
            }
            | AttemptEnd::Failed { delivered_tokens } => *delivered_tokens,
            _ => 0,
        };
        let ran = !never_ran(attempt, end);
        request.caller_left |= *end == AttemptEnd::Cancelled;
        request.failed_targets.push(attempt.target);
        request.phase = RequestPhase::AwaitingSuspicionRecord {
            delivered_tokens,
            blocked: attempt.is_trial && ran,
        };
        if ran {
            effects.push(Effect::CancelAttempt {
                ticket: request.ticket,
                attempt: request.attempts,
            });
        }
    }

    fn loss_cause(&self, key: RequestKey) -> RefusalCause {
        match self.requests.get(key) {
            Some(request) if request.is_generation() => RefusalCause::GenerationLost,
            _ => RefusalCause::TargetSilent,
        }
    }

    /// Records the result of a trial. Suspicions from other attempts stay, however this one ended:
    /// only a trial clears them.
    fn resolve_trial(
        &mut self,
        now: Instant,
        key: RequestKey,
        attempt: &Attempt,
        end: &AttemptEnd,
        effects: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let digest = request.submission.digest;
        let target_died = attempt.suspicion != SuspicionState::Absent;
        if !attempt.is_trial {
            return;
        }
        let outcome = match end {
            AttemptEnd::Completed { .. } => SuspectState::Cleared,
            AttemptEnd::Failed { .. } if !target_died => SuspectState::Cleared,
            // The request cannot have crashed an engine that it never reached.
            _ if target_died && !never_ran(attempt, end) => SuspectState::Blocked,
            _ => SuspectState::Suspect,
        };
        if outcome == SuspectState::Blocked {
            self.block_request(now, digest, effects);
        } else {
            self.end_trial(now, digest, outcome, effects);
        }
    }

    /// Blocks a request whose engine died during its trial.
    fn block_request(&mut self, now: Instant, digest: RequestDigest, effects: &mut Vec<Effect>) {
        let state = SuspectState::Blocked;
        if self.quarantine.state(&digest, now) == Some(state) {
            return;
        }
        self.end_trial(now, digest, state, effects);
        effects.push(Effect::Broadcast(Notice::Suspect { digest, state }));
    }

    fn attempt_completed(&mut self, now: Instant, key: RequestKey, tokens: u32) {
        if let Some(request) = self.requests.get(key)
            && request.is_generation()
        {
            self.length_estimator
                .observe(request.histogram, tokens, now);
        }
        self.remove(key);
    }

    /// Ends an attempt that may have run, by a retry unless the caller already received tokens.
    fn attempt_lost(
        &mut self,
        now: Instant,
        key: RequestKey,
        attempt: &Attempt,
        delivered_tokens: u32,
        cause: RefusalCause,
        effects: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        if attempt.is_trial && attempt.suspicion == SuspicionState::Recorded {
            let digest = request.submission.digest;
            let refusal = self.quarantine_refusal(now, &digest);
            self.refuse(key, refusal, effects);
        } else if delivered_tokens > 0 {
            self.refuse_with_cause(key, cause, effects);
        } else {
            effects.push(Effect::CancelAttempt {
                ticket: request.ticket,
                attempt: request.attempts,
            });
            self.retry_on_other_target(now, key, attempt, cause, effects);
        }
    }

    /// Retries a request on another target, if the retry budget allows it.
    fn retry_on_other_target(
        &mut self,
        now: Instant,
        key: RequestKey,
        attempt: &Attempt,
        cause: RefusalCause,
        effects: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.failed_targets.push(attempt.target);
        self.restart_request(now, key, cause, effects);
    }

    fn restart_request(
        &mut self,
        now: Instant,
        key: RequestKey,
        cause: RefusalCause,
        effects: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.phase = RequestPhase::Idle;
        let is_generation = request.is_generation();
        if request.caller_left {
            self.refuse_with_cause(key, RefusalCause::Cancelled, effects);
        } else if !self.can_retry(now, key) {
            self.refuse_with_cause(key, cause, effects);
        } else if !self.try_start_attempt(key) {
            self.refuse_with_cause(key, RefusalCause::RetryBudgetSpent, effects);
        } else if is_generation {
            self.route_generation(now, key, effects);
        } else {
            self.route_call(now, key, effects);
        }
    }

    /// Whether the request may start one more attempt. Takes a retry from the budget.
    pub(crate) fn try_start_attempt(&mut self, key: RequestKey) -> bool {
        let attempts = self.requests.get(key).map_or(0, |request| request.attempts);
        attempts == 0 || (attempts < MAX_ATTEMPTS && self.retry_budget.try_spend())
    }

    /// Whether another attempt can succeed at present. A shutdown does not prevent it, because
    /// requests in progress are not interrupted.
    fn can_retry(&self, now: Instant, key: RequestKey) -> bool {
        let Some(request) = self.requests.get(key) else {
            return false;
        };
        let has_target = if request.is_generation() {
            self.may_find_target(now, request.group)
        } else {
            self.select_service(now, key).is_some()
        };
        has_target && !self.connectivity.is_isolated(now)
    }

    pub(crate) fn caller_left(
        &mut self,
        now: Instant,
        ticket: RequestTicket,
        effects: &mut Vec<Effect>,
    ) {
        let Some(key) = self.requests.key_of(ticket) else {
            return;
        };
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.caller_left = true;
        // The target may be about to accept the attempt, so `not run` might be untrue.
        request.may_have_run |= request.attempt().is_some();
        let (group, attempt_number) = (request.group, request.attempts);
        let is_order = request.order_key().is_some();
        let digest = request.submission.digest;
        match &request.phase {
            RequestPhase::Claiming
            | RequestPhase::AcquiringTrial { .. }
            | RequestPhase::AwaitingSuspicionRecord { .. } => return,
            // The order continues so that its result is recorded.
            RequestPhase::Running(_) if is_order => return,
            RequestPhase::Running(attempt) if attempt.suspicion == SuspicionState::Pending => {
                let (delivered_tokens, blocked) = (attempt.output_tokens, attempt.is_trial);
                let is_trial_open = attempt.is_trial && !attempt.is_accepted;
                effects.push(Effect::CancelAttempt {
                    ticket,
                    attempt: attempt_number,
                });
                self.detach_attempt(key);
                if let Some(request) = self.requests.get_mut(key) {
                    request.phase = RequestPhase::AwaitingSuspicionRecord {
                        delivered_tokens,
                        blocked,
                    };
                }
                if is_trial_open {
                    self.end_trial(now, digest, SuspectState::Suspect, effects);
                }
                return;
            }
            RequestPhase::Running(attempt) => {
                let is_blocked = attempt.is_accepted && attempt.suspicion != SuspicionState::Absent;
                let is_trial_open = attempt.is_trial && !is_blocked;
                effects.push(Effect::CancelAttempt {
                    ticket,
                    attempt: attempt_number,
                });
                if is_trial_open {
                    self.end_trial(now, digest, SuspectState::Suspect, effects);
                }
            }
            _ => {}
        }
        self.refuse_with_cause(key, RefusalCause::Cancelled, effects);
        self.dispatch_queued(now, group, effects);
    }

    /// Records suspicions against the requests in flight on an incarnation of an engine that ended.
    /// Buffered responses end here; streams end when the relay reports what it delivered.
    pub(crate) fn target_died(
        &mut self,
        now: Instant,
        target_key: TargetKey,
        ended_incarnation: Option<Incarnation>,
        reporter: Option<RequestKey>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(target) = self.targets.get(target_key) else {
            return;
        };
        if !target.is_engine() {
            return;
        }
        let (address, incarnation) = (target.address, ended_incarnation.or(target.incarnation));
        let mut suspects = Vec::new();
        let mut blocked = Vec::new();
        let mut buffered = Vec::new();
        for key in target.requests.clone() {
            let Some(request) = self.requests.get_mut(key) else {
                continue;
            };
            let (ticket, digest) = (request.ticket, request.submission.digest);
            let is_buffered = matches!(
                request.submission.work,
                WorkKind::Generation {
                    is_buffered: true,
                    ..
                }
            );
            let Some(attempt) = request.attempt_mut() else {
                continue;
            };
            let was_in_flight = attempt.incarnation.is_none()
                || ended_incarnation.is_none()
                || attempt.incarnation == ended_incarnation
                || reporter == Some(key);
            if attempt.suspicion != SuspicionState::Absent || !was_in_flight {
                continue;
            }
            attempt.suspicion = SuspicionState::Pending;
            suspects.push((ticket, digest));
            if attempt.is_trial {
                // Without an acceptance, the end of the attempt tells whether the request ran
                // there.
                if attempt.is_accepted {
                    blocked.push(digest);
                }
            } else if self
                .quarantine
                .apply_notice(digest, SuspectState::Suspect, now)
            {
                effects.push(Effect::Log(StateChange::Quarantine {
                    digest,
                    state: SuspectState::Suspect,
                }));
            }
            if is_buffered && attempt.is_accepted && reporter != Some(key) {
                buffered.push(key);
            }
        }
        if suspects.is_empty() {
            return;
        }
        effects.push(Effect::RecordSuspicions {
            suspects,
            target: address,
            incarnation,
        });
        for digest in blocked {
            self.block_request(now, digest, effects);
        }
        for key in buffered {
            self.end_buffered(now, key, effects);
        }
    }

    /// Ends a buffered response on a dead engine; the caller has received nothing of it.
    fn end_buffered(&mut self, now: Instant, key: RequestKey, effects: &mut Vec<Effect>) {
        let Some(attempt) = self.detach_attempt(key) else {
            return;
        };
        let end = AttemptEnd::Lost {
            delivered_tokens: 0,
            target_died: true,
        };
        self.retryable_ended(now, key, &attempt, &end, effects);
    }

    pub(crate) fn suspicion_recorded(
        &mut self,
        now: Instant,
        ticket: RequestTicket,
        effects: &mut Vec<Effect>,
    ) {
        let Some(key) = self.requests.key_of(ticket) else {
            return;
        };
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        if let Some(attempt) = request.attempt_mut() {
            if attempt.suspicion == SuspicionState::Pending {
                attempt.suspicion = SuspicionState::Recorded;
            }
            return;
        }
        let RequestPhase::AwaitingSuspicionRecord {
            delivered_tokens,
            blocked,
        } = request.phase
        else {
            return;
        };
        request.phase = RequestPhase::Idle;
        let (digest, caller_left) = (request.submission.digest, request.caller_left);
        if caller_left {
            self.refuse_with_cause(key, RefusalCause::Cancelled, effects);
        } else if blocked {
            let refusal = self.quarantine_refusal(now, &digest);
            self.refuse(key, refusal, effects);
        } else if delivered_tokens > 0 {
            self.refuse_with_cause(key, RefusalCause::GenerationLost, effects);
        } else {
            self.restart_request(now, key, RefusalCause::GenerationLost, effects);
        }
    }
}

/// Whether no part of an attempt can have run at its target.
fn never_ran(attempt: &Attempt, end: &AttemptEnd) -> bool {
    !attempt.is_accepted && matches!(end, AttemptEnd::NotSent | AttemptEnd::Rejected { .. })
}
