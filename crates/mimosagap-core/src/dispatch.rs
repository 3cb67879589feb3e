//! The way of a request to its target: queue, trial, dispatch.

use std::time::{Duration, Instant};

use mimosagap_types::prelude::*;

use crate::effect::Effect;
use crate::event::{SuspectState, TrialAnswer, WorkKind};
use crate::forecast::{AdmissionBound, DEFAULT_RATE, StreamSize, stream_change, stream_need};
use crate::placement::{Candidate, choose_engine, choose_service, shared_tokens};
use crate::queue::QueueLevel;
use crate::reducer::DaemonReducer;
use crate::requests::{Attempt, Phase, Request, RequestKey, Suspicion};
use crate::targets::{GroupIndex, TargetKey};

/// A trial that another daemon or engine has is asked for again after this time.
const TRIAL_RETRY: Duration = Duration::from_secs(1);

impl DaemonReducer {
    /// Sends a generation to an engine, or lets it wait for one.
    pub(crate) fn seek_engine(&mut self, now: Instant, key: RequestKey, effects: &mut Vec<Effect>) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let group = request.group;
        match self.suspicion_of(now, &request.submission) {
            Some(SuspectState::Blocked) => {
                let digest = request.submission.digest;
                let refusal = self.quarantine_refusal(now, &digest);
                self.refuse(key, refusal, effects);
                return;
            }
            Some(_) => {
                let digest = request.submission.digest;
                let ask_at = self.quarantine.trial_from(&digest, now);
                self.await_trial(now, key, now, ask_at, effects);
                return;
            }
            None => {}
        }
        if !self.may_find_target(now, group) {
            self.give_up(key, RefusalCause::NoTarget, effects);
            return;
        }
        let is_new = request.attempts == 0;
        let is_full = self.waiting >= self.rules.queue().length as usize;
        self.enqueue(now, key);
        self.pump(now, group, effects);
        if is_new && is_full && self.is_queued(key) {
            self.refuse_overloaded(key, effects);
        }
    }

    fn is_queued(&self, key: RequestKey) -> bool {
        self.requests
            .get(key)
            .is_some_and(|request| matches!(request.phase, Phase::Queued { .. }))
    }

    fn enqueue(&mut self, now: Instant, key: RequestKey) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.phase = Phase::Queued { since: now };
        let (prompt, most) = request.size();
        let cost = f64::from(prompt) + self.lengths.expected_rest(request.lengths, 0, most);
        let team = &request.submission.team;
        let weight = self.rules.share(team);
        let queue = &mut self.targets.group_mut(request.group).queue;
        queue.push(key, request.priority, team, weight, cost, now);
        self.wait_order.push(now, key);
        self.waiting += 1;
    }

    /// Refuses a request that the admission queue cannot hold, naming the rule if one is behind.
    pub(crate) fn refuse_overloaded(&mut self, key: RequestKey, effects: &mut Vec<Effect>) {
        let rule = self.rules.queue().rule.clone();
        let refusal = self.refusal(RefusalCause::Overloaded).with_rule(rule);
        self.refuse(key, refusal, effects);
    }

    /// Sends waiting requests to engines until the next one in order does not fit.
    pub(crate) fn pump(&mut self, now: Instant, group: GroupIndex, effects: &mut Vec<Effect>) {
        if self.contact.is_isolated(now) || !self.rules_found {
            return;
        }
        while let Some((level, key)) = self.targets.group(group).queue.head() {
            let Some(request) = self.requests.get(key) else {
                self.targets.group_mut(group).queue.pop(level);
                continue;
            };
            // The quarantine may have changed while the request waited.
            if self.suspicion_of(now, &request.submission).is_some() {
                self.leave_queue(key);
                self.seek_engine(now, key, effects);
                continue;
            }
            let is_sent = self.send_waiting(now, group, (level, key), effects);
            if !is_sent && !self.send_bypass(now, group, effects) {
                return;
            }
        }
    }

    fn send_bypass(&mut self, now: Instant, group: GroupIndex, effects: &mut Vec<Effect>) -> bool {
        let bypass = self.targets.group_mut(group).queue.bypass(now);
        bypass.is_some_and(|head| self.send_waiting(now, group, head, effects))
    }

    /// Sends the first request of a queue level to an engine; false if none has room.
    fn send_waiting(
        &mut self,
        now: Instant,
        group: GroupIndex,
        (level, key): (QueueLevel, RequestKey),
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(target) = self.find_engine(now, key, false) else {
            return false;
        };
        self.observe_wait(now, key, effects);
        self.targets.group_mut(group).queue.pop(level);
        self.waiting -= 1;
        self.dispatch(now, key, target, false, effects);
        true
    }

    /// Takes a request out of the admission queue.
    pub(crate) fn leave_queue(&mut self, key: RequestKey) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        if !matches!(request.phase, Phase::Queued { .. }) {
            return;
        }
        request.phase = Phase::Idle;
        let queue = &mut self.targets.group_mut(request.group).queue;
        if queue.remove(key, request.priority, &request.submission.team) {
            self.waiting -= 1;
        }
    }

    fn observe_wait(&self, now: Instant, key: RequestKey, effects: &mut Vec<Effect>) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        if let Phase::Queued { since } = request.phase {
            effects.push(Effect::ObserveQueueWait {
                team: request.submission.team.clone(),
                class: request.submission.class.clone(),
                wait: now.saturating_duration_since(since),
            });
        }
    }

    fn find_engine(&mut self, now: Instant, key: RequestKey, suspect: bool) -> Option<TargetKey> {
        let request = self.requests.get(key)?;
        let WorkKind::Generation { model, prefix, .. } = &request.submission.work else {
            return None;
        };
        let size = stream_size(request, 0);
        let candidate = Candidate {
            need: stream_need(&self.lengths, size, DEFAULT_RATE),
            prefix,
            avoid: &request.avoid,
            kept: self.rules.kept_region(model).map(|(region, _)| region),
            suspect,
        };
        let group = self.targets.group(request.group);
        let policy = self.rules.policy(model);
        let (ceiling, weights) = (self.rules.ceiling().0, self.rules.weights());
        let bound = AdmissionBound::new(ceiling, weights, request.priority);
        let random = &mut self.random;
        let chosen = choose_engine(&self.targets, group, policy, bound, &candidate, random, now);
        let group = self.targets.group_mut(request.group);
        group.turn = group.turn.wrapping_add(1);
        chosen
    }

    /// Sends a repeatable call to a target; calls do not wait.
    pub(crate) fn seek_service(
        &mut self,
        now: Instant,
        key: RequestKey,
        effects: &mut Vec<Effect>,
    ) {
        match self.find_service(now, key) {
            Some(target) => self.dispatch(now, key, target, false, effects),
            None => self.give_up(key, RefusalCause::NoTarget, effects),
        }
    }

    pub(crate) fn find_service(&self, now: Instant, key: RequestKey) -> Option<TargetKey> {
        let request = self.requests.get(key)?;
        let group = self.targets.group(request.group);
        choose_service(&self.targets, group, &request.avoid, now)
    }

    /// Starts the next attempt. The first one adds the request's share to the retry budget.
    pub(crate) fn dispatch(
        &mut self,
        now: Instant,
        key: RequestKey,
        target_key: TargetKey,
        trial: bool,
        effects: &mut Vec<Effect>,
    ) {
        let (Some(request), Some(target)) =
            (self.requests.get_mut(key), self.targets.get_mut(target_key))
        else {
            return;
        };
        if request.attempts == 0 {
            self.budget.deposit(self.rules.retry_fraction());
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
        let mut held = 0;
        let change = if is_generation {
            let mut blocks = 0;
            if let WorkKind::Generation { prefix, .. } = &request.submission.work {
                blocks = target.cache.matching(prefix);
                target.cache.store(prefix);
            }
            held = request.size().0.saturating_sub(shared_tokens(blocks));
            target.held.add(u64::from(held), now);
            stream_change(&self.lengths, stream_size(request, 0), target.rate)
        } else {
            [0.0; 3]
        };
        if trial {
            target.trial = Some(key);
        }
        request.phase = Phase::Running(Attempt {
            target: target_key,
            incarnation: target.incarnation,
            accepted: false,
            trial,
            held,
            tokens: 0,
            progressed_at: now,
            change,
            suspicion: Suspicion::Absent,
        });
        let group = request.group;
        if is_generation {
            self.targets.add_change(target_key, group, change, 1.0);
            self.targets.group_mut(group).streams += 1;
        }
    }

    /// Takes the attempt of a request off its target.
    pub(crate) fn detach(&mut self, key: RequestKey) -> Option<Attempt> {
        let now = self.last?;
        let request = self.requests.get_mut(key)?;
        request.attempt()?;
        let Phase::Running(attempt) = std::mem::replace(&mut request.phase, Phase::Idle) else {
            return None;
        };
        let group = request.group;
        let is_generation = request.is_generation();
        if is_generation {
            self.targets
                .add_change(attempt.target, group, attempt.change, -1.0);
            let group = self.targets.group_mut(group);
            group.streams -= 1;
            if group.streams == 0 {
                // Sums of rounded figures drift; an empty sum is exact.
                group.change = [0.0; 3];
            }
        }
        if let Some(target) = self.targets.get_mut(attempt.target) {
            target.requests.remove(&key);
            if is_generation {
                let held = u64::from(attempt.held) + u64::from(attempt.tokens);
                target.held.remove(held, now);
            }
            if target.requests.is_empty() {
                target.change = [0.0; 3];
            }
            if target.trial == Some(key) {
                target.trial = None;
            }
        }
        Some(attempt)
    }

    /// Lets a suspect wait until an engine without a trial can take it.
    fn await_trial(
        &mut self,
        now: Instant,
        key: RequestKey,
        since: Instant,
        ask_at: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let most = self.rules.queue().length as usize;
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        if self.trials.len() >= most {
            self.refuse_overloaded(key, effects);
            return;
        }
        request.phase = Phase::AwaitingTrial { since, ask_at };
        self.trials.push(key);
        self.start_trial(now, key, effects);
    }

    /// Asks the store for the trials of waiting suspects, where an engine is free.
    pub(crate) fn start_trials(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        for key in self.trials.clone() {
            self.start_trial(now, key, effects);
        }
    }

    fn start_trial(&mut self, now: Instant, key: RequestKey, effects: &mut Vec<Effect>) {
        let Some(request) = self.requests.get(key) else {
            self.trials.retain(|waiting| *waiting != key);
            return;
        };
        let Phase::AwaitingTrial { since, ask_at } = request.phase else {
            self.trials.retain(|waiting| *waiting != key);
            return;
        };
        let (ticket, digest, group) = (request.ticket, request.submission.digest, request.group);
        let suspicion = self.suspicion_of(now, &request.submission);
        if suspicion.is_none_or(|state| state == SuspectState::Blocked) {
            // Unblocked, cleared or blocked in the meantime.
            self.trials.retain(|waiting| *waiting != key);
            self.seek_engine(now, key, effects);
            return;
        }
        if !self.contact.is_store_up(now) {
            self.trials.retain(|waiting| *waiting != key);
            self.give_up(key, RefusalCause::StoreUnavailable, effects);
            return;
        }
        if !self.may_find_target(now, group) {
            self.trials.retain(|waiting| *waiting != key);
            self.give_up(key, RefusalCause::NoTarget, effects);
            return;
        }
        if now.saturating_duration_since(since) >= self.rules.queue().wait {
            self.trials.retain(|waiting| *waiting != key);
            self.refuse_overloaded(key, effects);
            return;
        }
        if now < ask_at {
            return;
        }
        let Some(target_key) = self.find_engine(now, key, true) else {
            return;
        };
        let (Some(request), Some(target)) =
            (self.requests.get_mut(key), self.targets.get_mut(target_key))
        else {
            return;
        };
        self.trials.retain(|waiting| *waiting != key);
        target.trial = Some(key);
        request.phase = Phase::TakingTrial {
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
        let Phase::TakingTrial { since, target } = request.phase else {
            return;
        };
        request.phase = Phase::Idle;
        let digest = request.submission.digest;
        let caller_left = request.caller_left;
        let is_usable = self.targets.get_mut(target).is_some_and(|engine| {
            engine.trial = None;
            engine.is_usable(now)
        });
        match answer {
            TrialAnswer::Acquired if is_usable && !caller_left => {
                self.quarantine.hear(digest, SuspectState::OnTrial, now);
                self.dispatch(now, key, target, true, effects);
            }
            TrialAnswer::Acquired => {
                self.end_trial(now, digest, SuspectState::Suspect, effects);
                if caller_left {
                    self.give_up(key, RefusalCause::Cancelled, effects);
                } else {
                    self.await_trial(now, key, since, now + TRIAL_RETRY, effects);
                }
            }
            _ if caller_left => self.give_up(key, RefusalCause::Cancelled, effects),
            TrialAnswer::Busy => self.await_trial(now, key, since, now + TRIAL_RETRY, effects),
            TrialAnswer::Cleared => {
                self.quarantine.set(digest, SuspectState::Cleared, now);
                self.seek_engine(now, key, effects);
            }
            TrialAnswer::Blocked => {
                self.quarantine.set(digest, SuspectState::Blocked, now);
                self.seek_engine(now, key, effects);
            }
            TrialAnswer::Unavailable => {
                self.give_up(key, RefusalCause::StoreUnavailable, effects);
            }
        }
    }

    /// Records how a trial ended. `Suspect` means without a result: another trial is needed.
    pub(crate) fn end_trial(
        &mut self,
        now: Instant,
        digest: RequestDigest,
        state: SuspectState,
        effects: &mut Vec<Effect>,
    ) {
        if self.quarantine.set(digest, state, now) {
            let change = crate::effect::StateChange::Quarantine { digest, state };
            effects.push(Effect::Log(change));
        }
        effects.push(Effect::EndTrial { digest, state });
    }

    pub(crate) fn progress(&mut self, now: Instant, key: RequestKey, tokens: u32) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let group = request.group;
        let size = stream_size(request, tokens);
        let Some(attempt) = request.attempt_mut() else {
            return;
        };
        if tokens <= attempt.tokens {
            return;
        }
        let target_key = attempt.target;
        let Some(target) = self.targets.get_mut(target_key) else {
            return;
        };
        if attempt.tokens > 0 {
            let time = now.saturating_duration_since(attempt.progressed_at);
            target.measure_rate(tokens - attempt.tokens, time);
        }
        target.held.grow(u64::from(tokens - attempt.tokens), now);
        let change = stream_change(&self.lengths, size, target.rate);
        let before = std::mem::replace(&mut attempt.change, change);
        attempt.tokens = tokens;
        attempt.progressed_at = now;
        self.targets.add_change(target_key, group, before, -1.0);
        self.targets.add_change(target_key, group, change, 1.0);
    }
}

/// The stream of a request after some output tokens.
pub(crate) fn stream_size(request: &Request, tokens: u32) -> StreamSize {
    let (prompt, most) = request.size();
    StreamSize {
        lengths: request.lengths,
        prompt,
        tokens,
        most,
    }
}
