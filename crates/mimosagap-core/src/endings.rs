//! Ends of attempts, deaths of targets and what follows for the requests.

use std::time::Instant;

use mimosagap_types::prelude::*;

use crate::effect::{Effect, Notice, StateChange};
use crate::event::{AttemptEnd, SuspectState, WorkKind};
use crate::reducer::DaemonReducer;
use crate::refusals::{message, retry_wait};
use crate::requests::{Attempt, Phase, RequestKey, Suspicion};
use crate::targets::{AVOID_TIME, GroupIndex, TargetKey};

/// Attempts of one request at most. Together with the retry budget it keeps a request that
/// fails everywhere from using up the budget of the others.
pub const MAX_ATTEMPTS: u32 = 3;

impl DaemonReducer {
    /// A refusal with the usual message and a randomized time for the next try.
    pub(crate) fn refusal(&mut self, cause: RefusalCause) -> Refusal {
        let mut refusal = Refusal::new(cause, message(cause));
        refusal.retry_after = retry_wait(cause, &mut self.random);
        refusal
    }

    /// Gives the final answer for a cause; the outcome follows from what the request has done.
    pub(crate) fn give_up(
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

    /// The rule without which a group would have a target.
    fn blocking_rule(&self, group: GroupIndex) -> Option<RuleReference> {
        let kept = self.kept_region(group).map(|(_, rule)| rule);
        self.targets.draining_rule(group).or(kept).cloned()
    }

    /// The region which requests for a group must not leave, if a rule keeps them there.
    fn kept_region(&self, group: GroupIndex) -> Option<&(RegionName, RuleReference)> {
        let model = self.targets.group(group).model.as_ref()?;
        self.rules.kept_region(model)
    }

    /// Whether a request of the group may find a target now or soon.
    pub(crate) fn may_find_target(&self, now: Instant, group: GroupIndex) -> bool {
        let region = self.kept_region(group).map(|(region, _)| region);
        self.targets.may_find_target(group, region, now)
    }

    /// Gives the final answer.
    pub(crate) fn refuse(&mut self, key: RequestKey, refusal: Refusal, effects: &mut Vec<Effect>) {
        self.leave_queue(key);
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let outcome = request.outcome();
        let mut refusal = refusal.with_outcome(outcome);
        if let Some(wait) = request
            .retry_after
            .filter(|_| refusal.retry_after.is_some())
        {
            refusal.retry_after = refusal.retry_after.max(Some(wait));
        }
        let ticket = request.ticket;
        if matches!(request.phase, Phase::AwaitingCredit) {
            self.lending.forget(&request.submission.team, key);
        }
        effects.push(Effect::Refuse { ticket, refusal });
        self.remove(key);
    }

    /// Forgets a request which has its final answer.
    pub(crate) fn remove(&mut self, key: RequestKey) {
        self.detach(key);
        self.requests.remove(key);
    }

    pub(crate) fn accepted(&mut self, key: RequestKey, incarnation: Option<Incarnation>) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.may_have_run = true;
        let Some(attempt) = request.attempt_mut() else {
            return;
        };
        attempt.accepted = true;
        // The target's reports alone say which life is the present one.
        attempt.incarnation = incarnation.or(attempt.incarnation);
    }

    pub(crate) fn attempt_ended(
        &mut self,
        now: Instant,
        ticket: RequestTicket,
        number: u32,
        end: &AttemptEnd,
        effects: &mut Vec<Effect>,
    ) {
        let Some(key) = self.requests.key_of_attempt(ticket, number) else {
            return;
        };
        self.learn_from_end(now, key, end, effects);
        // The death of its engine may have ended the attempt already.
        if self.requests.key_of_attempt(ticket, number).is_none() {
            return;
        }
        let Some(attempt) = self.detach(key) else {
            return;
        };
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let group = request.group;
        if request.order_key().is_some() {
            self.order_ended(now, key, &attempt, end, effects);
        } else {
            self.repeatable_ended(now, key, &attempt, end, effects);
        }
        self.pump(now, group, effects);
    }

    /// What the end of an attempt says about its target.
    fn learn_from_end(
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
            AttemptEnd::NotSent => target.avoid(now, AVOID_TIME),
            AttemptEnd::Rejected {
                retry_after,
                leaving,
            } => {
                target.avoid(now, retry_after.unwrap_or(AVOID_TIME));
                if *leaving && target.leave(incarnation, now) {
                    self.announce_leaving(now, target_key, effects);
                }
            }
            AttemptEnd::Lost {
                target_died: true, ..
            } => {
                if target.incarnation == incarnation {
                    target.refuse_connections(now);
                }
                self.target_died(now, target_key, incarnation, Some(key), effects);
            }
            _ => {}
        }
    }

    /// Ends an attempt of a generation or of a repeatable call.
    fn repeatable_ended(
        &mut self,
        now: Instant,
        key: RequestKey,
        attempt: &Attempt,
        end: &AttemptEnd,
        effects: &mut Vec<Effect>,
    ) {
        self.settle_suspicion(now, key, attempt, end, effects);
        if attempt.suspicion == Suspicion::Pending && !matches!(end, AttemptEnd::Completed { .. }) {
            self.await_record(key, attempt, end, effects);
            return;
        }
        match end {
            AttemptEnd::Completed { tokens } => self.completed(now, key, *tokens),
            AttemptEnd::NotSent | AttemptEnd::Rejected { .. } => {
                self.retry(now, key, attempt, RefusalCause::NoTarget, effects);
            }
            AttemptEnd::Cancelled => self.give_up(key, RefusalCause::Cancelled, effects),
            AttemptEnd::Failed { delivered } => {
                let cause = RefusalCause::TargetFailed;
                self.lost(now, key, attempt, *delivered, cause, effects);
            }
            AttemptEnd::Lost { delivered, .. } => {
                let cause = self.loss_cause(key);
                self.lost(now, key, attempt, *delivered, cause, effects);
            }
        }
    }

    /// Lets the caller of an attempt whose engine died wait until the suspicion is recorded.
    fn await_record(
        &mut self,
        key: RequestKey,
        attempt: &Attempt,
        end: &AttemptEnd,
        effects: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let delivered = match end {
            AttemptEnd::Lost { delivered, .. } | AttemptEnd::Failed { delivered } => *delivered,
            _ => 0,
        };
        let ran = !never_ran(attempt, end);
        request.caller_left |= *end == AttemptEnd::Cancelled;
        request.avoid.push(attempt.target);
        request.phase = Phase::AwaitingSuspicion {
            delivered,
            blocked: attempt.trial && ran,
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

    /// Records how a trial ended. A suspicion against another attempt stays, whatever its end:
    /// only a trial clears it.
    fn settle_suspicion(
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
        let has_died = attempt.suspicion != Suspicion::Absent;
        if !attempt.trial {
            return;
        }
        let outcome = match end {
            AttemptEnd::Completed { .. } => SuspectState::Cleared,
            AttemptEnd::Failed { .. } if !has_died => SuspectState::Cleared,
            // It cannot have killed an engine which it never reached.
            _ if has_died && !never_ran(attempt, end) => SuspectState::Blocked,
            _ => SuspectState::Suspect,
        };
        if outcome == SuspectState::Blocked {
            self.block(now, digest, effects);
        } else {
            self.end_trial(now, digest, outcome, effects);
        }
    }

    /// Blocks a request whose trial ended with the death of its engine.
    fn block(&mut self, now: Instant, digest: RequestDigest, effects: &mut Vec<Effect>) {
        let state = SuspectState::Blocked;
        if self.quarantine.state(&digest, now) == Some(state) {
            return;
        }
        self.end_trial(now, digest, state, effects);
        effects.push(Effect::Broadcast(Notice::Suspect { digest, state }));
    }

    fn completed(&mut self, now: Instant, key: RequestKey, tokens: u32) {
        if let Some(request) = self.requests.get(key)
            && request.is_generation()
        {
            self.lengths.observe(request.lengths, tokens, now);
        }
        self.remove(key);
    }

    /// Ends an attempt that may have run.
    fn lost(
        &mut self,
        now: Instant,
        key: RequestKey,
        attempt: &Attempt,
        delivered: u32,
        cause: RefusalCause,
        effects: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        if attempt.trial && attempt.suspicion == Suspicion::Recorded {
            let digest = request.submission.digest;
            let refusal = self.quarantine_refusal(now, &digest);
            self.refuse(key, refusal, effects);
        } else if delivered > 0 {
            self.give_up(key, cause, effects);
        } else {
            effects.push(Effect::CancelAttempt {
                ticket: request.ticket,
                attempt: request.attempts,
            });
            self.retry(now, key, attempt, cause, effects);
        }
    }

    /// Starts a request again elsewhere, if the budget allows it.
    fn retry(
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
        request.avoid.push(attempt.target);
        self.start_again(now, key, cause, effects);
    }

    fn start_again(
        &mut self,
        now: Instant,
        key: RequestKey,
        cause: RefusalCause,
        effects: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.phase = Phase::Idle;
        let is_generation = request.is_generation();
        if request.caller_left {
            self.give_up(key, RefusalCause::Cancelled, effects);
        } else if !self.may_go_on(now, key) {
            self.give_up(key, cause, effects);
        } else if !self.may_start_attempt(key) {
            self.give_up(key, RefusalCause::RetryBudgetSpent, effects);
        } else if is_generation {
            self.seek_engine(now, key, effects);
        } else {
            self.seek_service(now, key, effects);
        }
    }

    /// Whether the request may start one more attempt; takes it from the retry budget.
    pub(crate) fn may_start_attempt(&mut self, key: RequestKey) -> bool {
        let attempts = self.requests.get(key).map_or(0, |request| request.attempts);
        attempts == 0 || (attempts < MAX_ATTEMPTS && self.budget.try_spend())
    }

    /// Whether another attempt makes sense at present. A shutdown does not prevent it, because
    /// it interrupts no request.
    fn may_go_on(&self, now: Instant, key: RequestKey) -> bool {
        let Some(request) = self.requests.get(key) else {
            return false;
        };
        let has_target = if request.is_generation() {
            self.may_find_target(now, request.group)
        } else {
            self.find_service(now, key).is_some()
        };
        has_target && !self.contact.is_isolated(now)
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
        // The target may be about to accept the attempt, so `not run` could be untrue.
        request.may_have_run |= request.attempt().is_some();
        let (group, number) = (request.group, request.attempts);
        let is_order = request.order_key().is_some();
        let digest = request.submission.digest;
        match &request.phase {
            Phase::Claiming | Phase::TakingTrial { .. } | Phase::AwaitingSuspicion { .. } => return,
            // An order goes on, so that its result is recorded.
            Phase::Running(_) if is_order => return,
            Phase::Running(attempt) if attempt.suspicion == Suspicion::Pending => {
                let (delivered, blocked) = (attempt.tokens, attempt.trial);
                let is_open_trial = attempt.trial && !attempt.accepted;
                effects.push(Effect::CancelAttempt {
                    ticket,
                    attempt: number,
                });
                self.detach(key);
                if let Some(request) = self.requests.get_mut(key) {
                    request.phase = Phase::AwaitingSuspicion { delivered, blocked };
                }
                if is_open_trial {
                    self.end_trial(now, digest, SuspectState::Suspect, effects);
                }
                return;
            }
            Phase::Running(attempt) => {
                let is_blocked = attempt.accepted && attempt.suspicion != Suspicion::Absent;
                let is_open_trial = attempt.trial && !is_blocked;
                effects.push(Effect::CancelAttempt {
                    ticket,
                    attempt: number,
                });
                if is_open_trial {
                    self.end_trial(now, digest, SuspectState::Suspect, effects);
                }
            }
            _ => {}
        }
        self.give_up(key, RefusalCause::Cancelled, effects);
        self.pump(now, group, effects);
    }

    /// Records suspicions against the requests that were in flight on a life of an engine which
    /// ended. A whole answer is ended here; a stream ends when the relay says what it delivered.
    pub(crate) fn target_died(
        &mut self,
        now: Instant,
        target_key: TargetKey,
        life: Option<Incarnation>,
        reporter: Option<RequestKey>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(target) = self.targets.get(target_key) else {
            return;
        };
        if !target.is_engine() {
            return;
        }
        let (address, incarnation) = (target.address, life.or(target.incarnation));
        let mut suspects = Vec::new();
        let mut blocked = Vec::new();
        let mut whole = Vec::new();
        for key in target.requests.clone() {
            let Some(request) = self.requests.get_mut(key) else {
                continue;
            };
            let (ticket, digest) = (request.ticket, request.submission.digest);
            let is_whole = matches!(
                request.submission.work,
                WorkKind::Generation {
                    is_buffered: true,
                    ..
                }
            );
            let Some(attempt) = request.attempt_mut() else {
                continue;
            };
            let was_there = attempt.incarnation.is_none()
                || life.is_none()
                || attempt.incarnation == life
                || reporter == Some(key);
            if attempt.suspicion != Suspicion::Absent || !was_there {
                continue;
            }
            attempt.suspicion = Suspicion::Pending;
            suspects.push((ticket, digest));
            if attempt.trial {
                // Without an acceptance the end of the attempt tells whether it ran there.
                if attempt.accepted {
                    blocked.push(digest);
                }
            } else if self.quarantine.hear(digest, SuspectState::Suspect, now) {
                effects.push(Effect::Log(StateChange::Quarantine {
                    digest,
                    state: SuspectState::Suspect,
                }));
            }
            if is_whole && attempt.accepted && reporter != Some(key) {
                whole.push(key);
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
            self.block(now, digest, effects);
        }
        for key in whole {
            self.end_whole(now, key, effects);
        }
    }

    /// Ends the attempt of a whole answer, of which the caller has nothing, on a dead engine.
    fn end_whole(&mut self, now: Instant, key: RequestKey, effects: &mut Vec<Effect>) {
        let Some(attempt) = self.detach(key) else {
            return;
        };
        let end = AttemptEnd::Lost {
            delivered: 0,
            target_died: true,
        };
        self.repeatable_ended(now, key, &attempt, &end, effects);
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
            if attempt.suspicion == Suspicion::Pending {
                attempt.suspicion = Suspicion::Recorded;
            }
            return;
        }
        let Phase::AwaitingSuspicion { delivered, blocked } = request.phase else {
            return;
        };
        request.phase = Phase::Idle;
        let (digest, caller_left) = (request.submission.digest, request.caller_left);
        if caller_left {
            self.give_up(key, RefusalCause::Cancelled, effects);
        } else if blocked {
            let refusal = self.quarantine_refusal(now, &digest);
            self.refuse(key, refusal, effects);
        } else if delivered > 0 {
            self.give_up(key, RefusalCause::GenerationLost, effects);
        } else {
            self.start_again(now, key, RefusalCause::GenerationLost, effects);
        }
    }
}

/// Whether nothing of an attempt can have run at its target.
fn never_ran(attempt: &Attempt, end: &AttemptEnd) -> bool {
    !attempt.accepted && matches!(end, AttemptEnd::NotSent | AttemptEnd::Rejected { .. })
}
