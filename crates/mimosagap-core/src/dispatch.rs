//! Dispatch of requests to targets: the admission queue, the trials of suspects and the start of
//! attempts.

use std::time::{Duration, Instant};

use mimosagap_types::prelude::*;

use crate::effect::Effect;
use crate::event::{SuspectState, TrialAnswer, WorkKind};
use crate::forecast::{
    AdmissionBound, DEFAULT_TOKENS_PER_SECOND, StreamSize, stream_change, stream_need,
};
use crate::placement::{EngineRequirements, cached_tokens, choose_engine, choose_service};
use crate::queue::QueueLevel;
use crate::reducer::DaemonReducer;
use crate::requests::{Attempt, Request, RequestKey, RequestPhase, SuspicionState};
use crate::targets::{GroupIndex, TargetKey};

/// Delay before a trial that another daemon holds, or whose engine became unusable, is requested
/// again.
const TRIAL_BACKOFF: Duration = Duration::from_secs(1);

impl DaemonReducer {
    /// Sends a generation to an engine, or queues it until one has room. Suspects wait for a trial
    /// instead, and blocked requests are refused.
    pub(crate) fn route_generation(
        &mut self,
        now: Instant,
        key: RequestKey,
        effects: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let group = request.group;
        match self.quarantine_state(now, &request.submission) {
            Some(SuspectState::Blocked) => {
                let digest = request.submission.digest;
                let refusal = self.quarantine_refusal(now, &digest);
                self.refuse(key, refusal, effects);
                return;
            }
            Some(_) => {
                let digest = request.submission.digest;
                let not_before = self.quarantine.earliest_trial(&digest, now);
                self.await_trial(now, key, now, not_before, effects);
                return;
            }
            None => {}
        }
        if !self.may_find_target(now, group) {
            self.refuse_with_cause(key, RefusalCause::NoTarget, effects);
            return;
        }
        let is_new = request.attempts == 0;
        let is_queue_full = self.queued_requests >= self.rules.queue_limit().max_length as usize;
        self.enqueue(now, key);
        self.dispatch_queued(now, group, effects);
        if is_new && is_queue_full && self.is_queued(key) {
            self.refuse_overloaded(key, effects);
        }
    }

    fn is_queued(&self, key: RequestKey) -> bool {
        self.requests
            .get(key)
            .is_some_and(|request| matches!(request.phase, RequestPhase::Queued { .. }))
    }

    fn enqueue(&mut self, now: Instant, key: RequestKey) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.phase = RequestPhase::Queued { since: now };
        let (prompt_tokens, max_tokens) = request.size();
        let cost = f64::from(prompt_tokens)
            + self
                .length_estimator
                .expected_remaining(request.histogram, 0, max_tokens);
        let team = &request.submission.team;
        let weight = self.rules.team_weight(team);
        let queue = &mut self.targets.group_mut(request.group).queue;
        queue.push(key, request.priority, team, weight, cost, now);
        self.arrival_order.push(now, key);
        self.queued_requests += 1;
    }

    /// Refuses a request that the admission queue cannot hold. The refusal names the rule that sets
    /// the queue's limits, if there is one.
    pub(crate) fn refuse_overloaded(&mut self, key: RequestKey, effects: &mut Vec<Effect>) {
        let rule = self.rules.queue_limit().rule.clone();
        let refusal = self.refusal(RefusalCause::Overloaded).with_rule(rule);
        self.refuse(key, refusal, effects);
    }

    /// Dispatches queued requests of a group until the next one fits on no engine.
    pub(crate) fn dispatch_queued(
        &mut self,
        now: Instant,
        group: GroupIndex,
        effects: &mut Vec<Effect>,
    ) {
        if self.connectivity.is_isolated(now) || !self.has_rules {
            return;
        }
        while let Some((level, key)) = self.targets.group(group).queue.head() {
            let Some(request) = self.requests.get(key) else {
                self.targets.group_mut(group).queue.pop(level);
                continue;
            };
            // The quarantine state may have changed while the request waited.
            if self.quarantine_state(now, &request.submission).is_some() {
                self.dequeue(key);
                self.route_generation(now, key, effects);
                continue;
            }
            let is_sent = self.dispatch_head(now, group, (level, key), effects);
            if !is_sent && !self.dispatch_bypass(now, group, effects) {
                return;
            }
        }
    }

    fn dispatch_bypass(
        &mut self,
        now: Instant,
        group: GroupIndex,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let bypass_head = self.targets.group_mut(group).queue.bypass(now);
        bypass_head.is_some_and(|head| self.dispatch_head(now, group, head, effects))
    }

    /// Dispatches the head of a queue level. Returns false if no engine has room for it.
    fn dispatch_head(
        &mut self,
        now: Instant,
        group: GroupIndex,
        (level, key): (QueueLevel, RequestKey),
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(target) = self.select_engine(now, key, false) else {
            return false;
        };
        self.observe_queue_wait(now, key, effects);
        self.targets.group_mut(group).queue.pop(level);
        self.queued_requests -= 1;
        self.dispatch(now, key, target, false, effects);
        true
    }

    /// Removes a request from the admission queue, if it waits there.
    pub(crate) fn dequeue(&mut self, key: RequestKey) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        if !matches!(request.phase, RequestPhase::Queued { .. }) {
            return;
        }
        request.phase = RequestPhase::Idle;
        let queue = &mut self.targets.group_mut(request.group).queue;
        if queue.remove(key, request.priority, &request.submission.team) {
            self.queued_requests -= 1;
        }
    }

    fn observe_queue_wait(&self, now: Instant, key: RequestKey, effects: &mut Vec<Effect>) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        if let RequestPhase::Queued { since } = request.phase {
            effects.push(Effect::ObserveQueueWait {
                team: request.submission.team.clone(),
                class: request.submission.class.clone(),
                wait: now.saturating_duration_since(since),
            });
        }
    }

    fn select_engine(
        &mut self,
        now: Instant,
        key: RequestKey,
        is_suspect: bool,
    ) -> Option<TargetKey> {
        let request = self.requests.get(key)?;
        let WorkKind::Generation { model, prefix, .. } = &request.submission.work else {
            return None;
        };
        let size = stream_size(request, 0);
        let requirements = EngineRequirements {
            need: stream_need(&self.length_estimator, size, DEFAULT_TOKENS_PER_SECOND),
            prefix,
            failed_targets: &request.failed_targets,
            required_region: self.rules.required_region(model).map(|(region, _)| region),
            is_suspect,
        };
        let group = self.targets.group(request.group);
        let policy = self.rules.route_policy(model);
        let (ceiling, weights) = (
            self.rules.memory_ceiling().0,
            self.rules.placement_weights(),
        );
        let bound = AdmissionBound::new(ceiling, weights, request.priority);
        let rng = &mut self.rng;
        let target_key =
            choose_engine(&self.targets, group, policy, bound, &requirements, rng, now);
        let group = self.targets.group_mut(request.group);
        group.round_robin_next = group.round_robin_next.wrapping_add(1);
        target_key
    }

    /// Sends an idempotent call to a target; calls are never queued.
    pub(crate) fn route_call(&mut self, now: Instant, key: RequestKey, effects: &mut Vec<Effect>) {
        match self.select_service(now, key) {
            Some(target) => self.dispatch(now, key, target, false, effects),
            None => self.refuse_with_cause(key, RefusalCause::NoTarget, effects),
        }
    }

    pub(crate) fn select_service(&self, now: Instant, key: RequestKey) -> Option<TargetKey> {
        let request = self.requests.get(key)?;
        let group = self.targets.group(request.group);
        choose_service(&self.targets, group, &request.failed_targets, now)
    }

    /// Starts the next attempt. The first attempt of a request deposits its share in the retry
    /// budget.
    pub(crate) fn dispatch(
        &mut self,
        now: Instant,
        key: RequestKey,
        target_key: TargetKey,
        is_trial: bool,
        effects: &mut Vec<Effect>,
    ) {
        let (Some(request), Some(target)) =
            (self.requests.get_mut(key), self.targets.get_mut(target_key))
        else {
            return;
        };
        if request.attempts == 0 {
            self.retry_budget.deposit(self.rules.retry_fraction());
        }
        request.attempts += 1;
        effects.push(Effect::Dispatch {
            ticket: request.ticket,
            attempt: request.attempts,
            target: target.address,
            priority: request.priority.engine_value(),
        });
        target.requests.insert(key);
        let is_generation = request.is_generation();
        let mut uncached_tokens = 0;
        let memory_change = if is_generation {
            let mut cached_blocks = 0;
            if let WorkKind::Generation { prefix, .. } = &request.submission.work {
                cached_blocks = target.cache.matching_blocks(prefix);
                target.cache.insert(prefix);
            }
            uncached_tokens = request
                .size()
                .0
                .saturating_sub(cached_tokens(cached_blocks));
            target.memory_history.add(u64::from(uncached_tokens), now);
            stream_change(
                &self.length_estimator,
                stream_size(request, 0),
                target.tokens_per_second,
            )
        } else {
            [0.0; 3]
        };
        if is_trial {
            target.trial = Some(key);
        }
        request.phase = RequestPhase::Running(Attempt {
            target: target_key,
            incarnation: target.incarnation,
            is_accepted: false,
            is_trial,
            uncached_tokens,
            output_tokens: 0,
            progressed_at: now,
            memory_change,
            suspicion: SuspicionState::Absent,
        });
        let group = request.group;
        if is_generation {
            self.targets
                .add_memory_change(target_key, group, memory_change, 1.0);
            self.targets.group_mut(group).streams += 1;
        }
    }

    /// Removes a request's attempt from its target and the memory forecasts, and returns it.
    pub(crate) fn detach_attempt(&mut self, key: RequestKey) -> Option<Attempt> {
        let now = self.last_event_at?;
        let request = self.requests.get_mut(key)?;
        request.attempt()?;
        let RequestPhase::Running(attempt) =
            std::mem::replace(&mut request.phase, RequestPhase::Idle)
        else {
            return None;
        };
        let group = request.group;
        let is_generation = request.is_generation();
        if is_generation {
            self.targets
                .add_memory_change(attempt.target, group, attempt.memory_change, -1.0);
            let group = self.targets.group_mut(group);
            group.streams -= 1;
            if group.streams == 0 {
                // Resets the rounding errors of the running sum.
                group.memory_change = [0.0; 3];
            }
        }
        if let Some(target) = self.targets.get_mut(attempt.target) {
            target.requests.remove(&key);
            if is_generation {
                let held_tokens =
                    u64::from(attempt.uncached_tokens) + u64::from(attempt.output_tokens);
                target.memory_history.remove(held_tokens, now);
            }
            if target.requests.is_empty() {
                target.memory_change = [0.0; 3];
            }
            if target.trial == Some(key) {
                target.trial = None;
            }
        }
        Some(attempt)
    }

    /// Queues a suspect until an engine without another trial can run it.
    fn await_trial(
        &mut self,
        now: Instant,
        key: RequestKey,
        since: Instant,
        not_before: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let max_waiting = self.rules.queue_limit().max_length as usize;
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        if self.trial_queue.len() >= max_waiting {
            self.refuse_overloaded(key, effects);
            return;
        }
        request.phase = RequestPhase::AwaitingTrial { since, not_before };
        self.trial_queue.push(key);
        self.request_trial(now, key, effects);
    }

    /// Requests trials for the queued suspects for which an engine is free.
    pub(crate) fn request_trials(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        for key in self.trial_queue.clone() {
            self.request_trial(now, key, effects);
        }
    }

    fn request_trial(&mut self, now: Instant, key: RequestKey, effects: &mut Vec<Effect>) {
        let Some(request) = self.requests.get(key) else {
            self.trial_queue.retain(|waiting| *waiting != key);
            return;
        };
        let RequestPhase::AwaitingTrial { since, not_before } = request.phase else {
            self.trial_queue.retain(|waiting| *waiting != key);
            return;
        };
        let (ticket, digest, group) = (request.ticket, request.submission.digest, request.group);
        let suspicion = self.quarantine_state(now, &request.submission);
        if suspicion.is_none_or(|state| state == SuspectState::Blocked) {
            // Unblocked, cleared or blocked while it waited.
            self.trial_queue.retain(|waiting| *waiting != key);
            self.route_generation(now, key, effects);
            return;
        }
        if !self.connectivity.is_store_reachable(now) {
            self.trial_queue.retain(|waiting| *waiting != key);
            self.refuse_with_cause(key, RefusalCause::StoreUnavailable, effects);
            return;
        }
        if !self.may_find_target(now, group) {
            self.trial_queue.retain(|waiting| *waiting != key);
            self.refuse_with_cause(key, RefusalCause::NoTarget, effects);
            return;
        }
        if now.saturating_duration_since(since) >= self.rules.queue_limit().max_wait {
            self.trial_queue.retain(|waiting| *waiting != key);
            self.refuse_overloaded(key, effects);
            return;
        }
        if now < not_before {
            return;
        }
        let Some(target_key) = self.select_engine(now, key, true) else {
            return;
        };
        let (Some(request), Some(target)) =
            (self.requests.get_mut(key), self.targets.get_mut(target_key))
        else {
            return;
        };
        self.trial_queue.retain(|waiting| *waiting != key);
        target.trial = Some(key);
        request.phase = RequestPhase::AcquiringTrial {
            since,
            target: target_key,
        };
        effects.push(Effect::AcquireTrial {
            ticket,
            digest,
            target: target.address,
        });
    }

    pub(crate) fn trial_answered(
        &mut self,
        now: Instant,
        ticket: RequestTicket,
        answer: TrialAnswer,
        effects: &mut Vec<Effect>,
    ) {
        let Some(key) = self.requests.key_of(ticket) else {
            return;
        };
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let RequestPhase::AcquiringTrial { since, target } = request.phase else {
            return;
        };
        request.phase = RequestPhase::Idle;
        let digest = request.submission.digest;
        let caller_left = request.caller_left;
        let is_usable = self.targets.get_mut(target).is_some_and(|engine| {
            engine.trial = None;
            engine.is_usable(now)
        });
        match answer {
            TrialAnswer::Acquired if is_usable && !caller_left => {
                self.quarantine
                    .apply_notice(digest, SuspectState::OnTrial, now);
                self.dispatch(now, key, target, true, effects);
            }
            TrialAnswer::Acquired => {
                self.end_trial(now, digest, SuspectState::Suspect, effects);
                if caller_left {
                    self.refuse_with_cause(key, RefusalCause::Cancelled, effects);
                } else {
                    self.await_trial(now, key, since, now + TRIAL_BACKOFF, effects);
                }
            }
            _ if caller_left => self.refuse_with_cause(key, RefusalCause::Cancelled, effects),
            TrialAnswer::Busy => self.await_trial(now, key, since, now + TRIAL_BACKOFF, effects),
            TrialAnswer::Cleared => {
                self.quarantine
                    .apply_record(digest, SuspectState::Cleared, now);
                self.route_generation(now, key, effects);
            }
            TrialAnswer::Blocked => {
                self.quarantine
                    .apply_record(digest, SuspectState::Blocked, now);
                self.route_generation(now, key, effects);
            }
            TrialAnswer::Unavailable => {
                self.refuse_with_cause(key, RefusalCause::StoreUnavailable, effects);
            }
        }
    }

    /// Records how a trial ended. `Suspect` means that it had no result and another trial is
    /// needed.
    pub(crate) fn end_trial(
        &mut self,
        now: Instant,
        digest: RequestDigest,
        state: SuspectState,
        effects: &mut Vec<Effect>,
    ) {
        if self.quarantine.apply_record(digest, state, now) {
            let change = crate::effect::StateChange::Quarantine { digest, state };
            effects.push(Effect::Log(change));
        }
        effects.push(Effect::EndTrial { digest, state });
    }

    pub(crate) fn attempt_progressed(&mut self, now: Instant, key: RequestKey, tokens: u32) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let group = request.group;
        let size = stream_size(request, tokens);
        let Some(attempt) = request.attempt_mut() else {
            return;
        };
        if tokens <= attempt.output_tokens {
            return;
        }
        let target_key = attempt.target;
        let Some(target) = self.targets.get_mut(target_key) else {
            return;
        };
        if attempt.output_tokens > 0 {
            let time = now.saturating_duration_since(attempt.progressed_at);
            target.measure_rate(tokens - attempt.output_tokens, time);
        }
        target
            .memory_history
            .grow(u64::from(tokens - attempt.output_tokens), now);
        let memory_change = stream_change(&self.length_estimator, size, target.tokens_per_second);
        let previous_change = std::mem::replace(&mut attempt.memory_change, memory_change);
        attempt.output_tokens = tokens;
        attempt.progressed_at = now;
        self.targets
            .add_memory_change(target_key, group, previous_change, -1.0);
        self.targets
            .add_memory_change(target_key, group, memory_change, 1.0);
    }
}

/// Token counts of a request's stream after `output_tokens` tokens.
pub(crate) fn stream_size(request: &Request, output_tokens: u32) -> StreamSize {
    let (prompt_tokens, max_tokens) = request.size();
    StreamSize {
        histogram: request.histogram,
        prompt_tokens,
        output_tokens,
        max_tokens,
    }
}
