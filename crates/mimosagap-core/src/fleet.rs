//! Handles what host list, load reports, peers, store and rules say about targets and daemons, and
//! the periodic timer.

use std::sync::Arc;
use std::time::Instant;

use mimosagap_rules::RuleSet;
use mimosagap_types::prelude::*;

use crate::connectivity::ConnectivityChange;
use crate::effect::{Effect, Notice, StateChange};
use crate::event::{ListedTarget, LoadReport, SuspectState};
use crate::reducer::DaemonReducer;
use crate::targets::{GroupIndex, IncarnationChange, Target, TargetKey, TargetState};

impl DaemonReducer {
    pub(crate) fn targets_listed(
        &mut self,
        now: Instant,
        list: &[ListedTarget],
        effects: &mut Vec<Effect>,
    ) {
        let Self {
            targets, options, ..
        } = self;
        let leaving = targets.apply_list(list, &options.zone, &options.region, now);
        self.apply_drain_rules();
        for key in leaving {
            self.announce_leaving(now, key, effects);
        }
        self.log_target_changes(now, effects);
        self.refuse_without_target(now, effects);
        self.dispatch_all_queued(now, effects);
    }

    pub(crate) fn target_reported(
        &mut self,
        now: Instant,
        address: &TargetAddress,
        mut report: LoadReport,
        effects: &mut Vec<Effect>,
    ) {
        let Some(key) = self.targets.key_of(address) else {
            return;
        };
        let is_engine = self.targets.get(key).is_some_and(Target::is_engine);
        if is_engine
            && self.observe_incarnation(now, key, report.incarnation, effects)
                == IncarnationChange::Outdated
        {
            return;
        }
        let report_age = self.targets.report_lag.estimate();
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        let was_leaving = target.is_announced_leaving();
        let memory_changes = target.compare_memory(&report, now);
        if report.age.is_zero() && is_engine {
            report.age = report_age;
        }
        target.apply_report(report, now);
        if !was_leaving && target.is_announced_leaving() {
            self.announce_leaving(now, key, effects);
        }
        if let Some((reported_change, own_changes)) = memory_changes {
            self.targets
                .report_lag
                .observe(reported_change, own_changes);
        }
        self.log_target_change(now, key, effects);
        self.dispatch_queued_for_target(now, key, effects);
    }

    /// Updates the incarnation of a target. If it replaces another one, that one has died.
    pub(crate) fn observe_incarnation(
        &mut self,
        now: Instant,
        key: TargetKey,
        incarnation: Incarnation,
        effects: &mut Vec<Effect>,
    ) -> IncarnationChange {
        let Some(target) = self.targets.get_mut(key) else {
            return IncarnationChange::Outdated;
        };
        let change = target.observe_incarnation(incarnation, now);
        if let IncarnationChange::Replaced(ended) = change {
            self.target_died(now, key, Some(ended), None, effects);
        }
        change
    }

    pub(crate) fn target_unreachable(
        &mut self,
        now: Instant,
        address: &TargetAddress,
        refused: bool,
        effects: &mut Vec<Effect>,
    ) {
        let Some(key) = self.targets.key_of(address) else {
            return;
        };
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        if refused {
            let ended_incarnation = target.incarnation;
            target.mark_refused(now);
            self.target_died(now, key, ended_incarnation, None, effects);
        }
        self.log_target_change(now, key, effects);
    }

    pub(crate) fn cache_changed(
        &mut self,
        address: &TargetAddress,
        stored: &[u64],
        removed: &[u64],
        gap: bool,
    ) {
        let key = self.targets.key_of(address);
        let Some(target) = key.and_then(|key| self.targets.get_mut(key)) else {
            return;
        };
        if gap {
            target.cache.clear();
        }
        target.cache.remove(removed);
        target.cache.insert(stored);
    }

    /// Broadcasts and logs that a target is leaving.
    pub(crate) fn announce_leaving(
        &mut self,
        now: Instant,
        key: TargetKey,
        effects: &mut Vec<Effect>,
    ) {
        let Some(target) = self.targets.get(key) else {
            return;
        };
        effects.push(Effect::Broadcast(Notice::TargetLeaving {
            address: target.address,
            incarnation: target.incarnation,
        }));
        self.log_target_change(now, key, effects);
    }

    pub(crate) fn notice_received(
        &mut self,
        now: Instant,
        notice: Notice,
        effects: &mut Vec<Effect>,
    ) {
        match notice {
            Notice::TargetLeaving {
                address,
                incarnation,
            } => {
                let Some(key) = self.targets.key_of(&address) else {
                    return;
                };
                if let Some(target) = self.targets.get_mut(key) {
                    target.mark_leaving(incarnation, now);
                }
                self.log_target_change(now, key, effects);
            }
            Notice::DaemonLeaving { daemon } => {
                if let Some(member) = self.members.iter_mut().find(|member| member.id == daemon) {
                    member.leaving = true;
                }
                if !self.leaving_daemons.contains(&daemon) {
                    self.leaving_daemons.push(daemon);
                }
            }
            Notice::Suspect { digest, state } => {
                if self.quarantine.apply_notice(digest, state, now) {
                    effects.push(Effect::Log(StateChange::Quarantine { digest, state }));
                }
            }
        }
    }

    pub(crate) fn suspects_changed(
        &mut self,
        now: Instant,
        changes: Vec<(RequestDigest, SuspectState)>,
        effects: &mut Vec<Effect>,
    ) {
        for (digest, state) in changes {
            if self.quarantine.apply_record(digest, state, now) {
                effects.push(Effect::Log(StateChange::Quarantine { digest, state }));
            }
        }
        self.request_trials(now, effects);
    }

    /// Activates a revision of the rules if it is newer than the active one.
    pub(crate) fn rules_received(
        &mut self,
        now: Instant,
        rules: Arc<RuleSet>,
        effects: &mut Vec<Effect>,
    ) {
        if self.has_rules && rules.revision <= self.rules.revision {
            return;
        }
        let revision = rules.revision;
        self.rules = rules;
        self.has_rules = true;
        effects.push(Effect::Log(StateChange::RulesActivated { revision }));
        self.apply_drain_rules();
        self.log_target_changes(now, effects);
        self.refuse_queued_by_rule(effects);
        self.request_trials(now, effects);
        self.dispatch_all_queued(now, effects);
    }

    fn apply_drain_rules(&mut self) {
        for key in self.targets.keys() {
            if let Some(target) = self.targets.get_mut(key) {
                target.drain_rule = self.rules.drain_rule(&target.address).cloned();
            }
        }
    }

    fn refuse_queued_by_rule(&mut self, effects: &mut Vec<Effect>) {
        for key in self.queued_keys() {
            let Some(request) = self.requests.get(key) else {
                continue;
            };
            if let Some(rule) = self.rules.refusal_rule(&request.submission.team).cloned() {
                let refusal = self
                    .refusal(RefusalCause::RefusedByRule)
                    .with_rule(Some(rule));
                self.refuse(key, refusal, effects);
            }
        }
    }

    fn queued_keys(&self) -> Vec<crate::requests::RequestKey> {
        self.targets
            .groups()
            .flat_map(|(_, group)| group.queue.keys())
            .chain(self.trial_queue.iter().copied())
            .collect()
    }

    /// Refuses the requests that wait for a group without any prospective target.
    fn refuse_without_target(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        for index in self.queued_groups() {
            if self.may_find_target(now, index) {
                continue;
            }
            for key in self.targets.group(index).queue.keys() {
                self.refuse_with_cause(key, RefusalCause::NoTarget, effects);
            }
        }
    }

    fn queued_groups(&self) -> Vec<GroupIndex> {
        self.targets
            .groups()
            .filter(|(_, group)| !group.queue.is_empty())
            .map(|(index, _)| index)
            .collect()
    }

    pub(crate) fn dispatch_all_queued(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        for index in self.queued_groups() {
            self.dispatch_queued(now, index, effects);
        }
    }

    fn dispatch_queued_for_target(
        &mut self,
        now: Instant,
        key: TargetKey,
        effects: &mut Vec<Effect>,
    ) {
        let groups = match self.targets.get(key) {
            Some(target) => target.groups.clone(),
            None => return,
        };
        for index in groups {
            self.dispatch_queued(now, index, effects);
        }
    }

    fn log_target_changes(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        for key in self.targets.keys() {
            self.log_target_change(now, key, effects);
        }
    }

    /// Logs a change of a target's state since the last call.
    fn log_target_change(&mut self, now: Instant, key: TargetKey, effects: &mut Vec<Effect>) {
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        let state = target.state(now);
        if std::mem::replace(&mut target.logged_state, state) == state {
            return;
        }
        let address = target.address;
        let change = match state {
            TargetState::Up => StateChange::TargetUp { address },
            TargetState::Leaving => StateChange::TargetLeaving {
                address,
                rule: target.drain_rule.clone(),
            },
            TargetState::Down | TargetState::Unlisted => StateChange::TargetDown { address },
            TargetState::Unknown => return,
        };
        effects.push(Effect::Log(change));
    }

    pub(crate) fn refresh_connectivity(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        for change in self.connectivity.refresh(now) {
            match change {
                ConnectivityChange::Store(reachable) => {
                    effects.push(Effect::Log(StateChange::Store { reachable }));
                }
                ConnectivityChange::Isolated(isolated) => {
                    effects.push(Effect::Log(StateChange::Isolated { isolated }));
                    if isolated {
                        self.refuse_queued_isolated(effects);
                    }
                }
            }
        }
    }

    /// Refuses the requests that no target has received: the active rules are no longer known.
    fn refuse_queued_isolated(&mut self, effects: &mut Vec<Effect>) {
        for key in self.queued_keys() {
            self.refuse_with_cause(key, RefusalCause::Isolated, effects);
        }
        self.trial_queue.clear();
    }

    pub(crate) fn tick(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        for team in self.limiter.timed_out_teams(now) {
            self.credit_failed(&team, effects);
        }
        self.expire_queued(now, effects);
        self.targets.expire_peer_placements(now);
        self.quarantine.expire(now);
        self.log_target_changes(now, effects);
        self.refuse_without_target(now, effects);
        self.request_trials(now, effects);
        self.dispatch_all_queued(now, effects);
    }

    fn expire_queued(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let Some(cutoff) = now.checked_sub(self.rules.queue_limit().max_wait) else {
            return;
        };
        while let Some((since, key)) = self.arrival_order.pop_expired(cutoff) {
            let is_still_queued = self.requests.get(key).is_some_and(|request| {
                matches!(
                    request.phase,
                    crate::requests::RequestPhase::Queued { since: at } if at == since
                )
            });
            if is_still_queued {
                self.refuse_overloaded(key, effects);
            }
        }
    }
}
