//! What lists, reports, peers and rules say about targets and daemons.

use std::sync::Arc;
use std::time::Instant;

use mimosagap_rules::RuleSet;
use mimosagap_types::prelude::*;

use crate::contact::ContactChange;
use crate::effect::{Effect, Notice, StateChange};
use crate::event::{ListedTarget, LoadReport, SuspectState};
use crate::reducer::DaemonReducer;
use crate::targets::{GroupIndex, LifeChange, Target, TargetKey, TargetState};

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
        let leaving = targets.list(list, &options.zone, &options.region, now);
        self.apply_drains();
        for key in leaving {
            self.announce_leaving(now, key, effects);
        }
        self.refresh_targets(now, effects);
        self.refuse_without_target(now, effects);
        self.pump_all(now, effects);
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
            && self.observe_life(now, key, report.incarnation, effects) == LifeChange::Outdated
        {
            return;
        }
        let lag = self.targets.lag.estimate();
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        let before = target.announces_leaving();
        let compared = target.compare_memory(&report, now);
        if report.age.is_zero() && is_engine {
            report.age = lag;
        }
        target.report(report, now);
        if !before && target.announces_leaving() {
            self.announce_leaving(now, key, effects);
        }
        if let Some((reported, own)) = compared {
            self.targets.lag.observe(reported, own);
        }
        self.refresh_target(now, key, effects);
        self.pump_target(now, key, effects);
    }

    /// Takes note of the life of a target; if it replaced another one, that one has died.
    pub(crate) fn observe_life(
        &mut self,
        now: Instant,
        key: TargetKey,
        life: Incarnation,
        effects: &mut Vec<Effect>,
    ) -> LifeChange {
        let Some(target) = self.targets.get_mut(key) else {
            return LifeChange::Outdated;
        };
        let change = target.observe_life(life, now);
        if let LifeChange::Replaced(ended) = change {
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
            let life = target.incarnation;
            target.refuse_connections(now);
            self.target_died(now, key, life, None, effects);
        }
        self.refresh_target(now, key, effects);
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
        target.cache.store(stored);
    }

    /// Tells log and peers that a target is leaving.
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
        self.refresh_target(now, key, effects);
    }

    pub(crate) fn notice_heard(&mut self, now: Instant, notice: Notice, effects: &mut Vec<Effect>) {
        match notice {
            Notice::TargetLeaving {
                address,
                incarnation,
            } => {
                let Some(key) = self.targets.key_of(&address) else {
                    return;
                };
                if let Some(target) = self.targets.get_mut(key) {
                    target.leave(incarnation, now);
                }
                self.refresh_target(now, key, effects);
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
                if self.quarantine.hear(digest, state, now) {
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
            if self.quarantine.set(digest, state, now) {
                effects.push(Effect::Log(StateChange::Quarantine { digest, state }));
            }
        }
        self.start_trials(now, effects);
    }

    /// Adopts a revision of the rules, if it is newer than the one in force.
    pub(crate) fn rules_found(
        &mut self,
        now: Instant,
        rules: Arc<RuleSet>,
        effects: &mut Vec<Effect>,
    ) {
        if self.rules_found && rules.revision <= self.rules.revision {
            return;
        }
        let revision = rules.revision;
        self.rules = rules;
        self.rules_found = true;
        effects.push(Effect::Log(StateChange::RulesInForce { revision }));
        self.apply_drains();
        self.refresh_targets(now, effects);
        self.refuse_waiting_by_rule(effects);
        self.start_trials(now, effects);
        self.pump_all(now, effects);
    }

    fn apply_drains(&mut self) {
        for key in self.targets.keys() {
            if let Some(target) = self.targets.get_mut(key) {
                target.drained = self.rules.drained(&target.address).cloned();
            }
        }
    }

    fn refuse_waiting_by_rule(&mut self, effects: &mut Vec<Effect>) {
        for key in self.waiting_keys() {
            let Some(request) = self.requests.get(key) else {
                continue;
            };
            if let Some(rule) = self.rules.refused(&request.submission.team).cloned() {
                let refusal = self
                    .refusal(RefusalCause::RefusedByRule)
                    .with_rule(Some(rule));
                self.refuse(key, refusal, effects);
            }
        }
    }

    fn waiting_keys(&self) -> Vec<crate::requests::RequestKey> {
        self.targets
            .groups()
            .flat_map(|(_, group)| group.queue.keys())
            .chain(self.trials.iter().copied())
            .collect()
    }

    /// Refuses the requests that wait for a group whose last target is gone.
    fn refuse_without_target(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        for index in self.waiting_groups() {
            if self.may_find_target(now, index) {
                continue;
            }
            for key in self.targets.group(index).queue.keys() {
                self.give_up(key, RefusalCause::NoTarget, effects);
            }
        }
    }

    fn waiting_groups(&self) -> Vec<GroupIndex> {
        self.targets
            .groups()
            .filter(|(_, group)| !group.queue.is_empty())
            .map(|(index, _)| index)
            .collect()
    }

    pub(crate) fn pump_all(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        for index in self.waiting_groups() {
            self.pump(now, index, effects);
        }
    }

    fn pump_target(&mut self, now: Instant, key: TargetKey, effects: &mut Vec<Effect>) {
        let groups = match self.targets.get(key) {
            Some(target) => target.groups.clone(),
            None => return,
        };
        for index in groups {
            self.pump(now, index, effects);
        }
    }

    fn refresh_targets(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        for key in self.targets.keys() {
            self.refresh_target(now, key, effects);
        }
    }

    /// Logs a target's change of state.
    fn refresh_target(&mut self, now: Instant, key: TargetKey, effects: &mut Vec<Effect>) {
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        let state = target.state(now);
        if std::mem::replace(&mut target.logged, state) == state {
            return;
        }
        let address = target.address;
        let change = match state {
            TargetState::Up => StateChange::TargetUp { address },
            TargetState::Leaving => StateChange::TargetLeaving {
                address,
                rule: target.drained.clone(),
            },
            TargetState::Down | TargetState::Unlisted => StateChange::TargetDown { address },
            TargetState::Unknown => return,
        };
        effects.push(Effect::Log(change));
    }

    pub(crate) fn refresh_contact(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        for change in self.contact.refresh(now) {
            match change {
                ContactChange::Store(reachable) => {
                    effects.push(Effect::Log(StateChange::Store { reachable }));
                }
                ContactChange::Isolated(isolated) => {
                    effects.push(Effect::Log(StateChange::Isolated { isolated }));
                    if isolated {
                        self.refuse_waiting_isolated(effects);
                    }
                }
            }
        }
    }

    /// Refuses the requests that no target has seen: the rules in force are no longer known.
    fn refuse_waiting_isolated(&mut self, effects: &mut Vec<Effect>) {
        for key in self.waiting_keys() {
            self.give_up(key, RefusalCause::Isolated, effects);
        }
        self.trials.clear();
    }

    pub(crate) fn tick(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        for team in self.lending.overdue(now) {
            self.credit_failed(&team, effects);
        }
        self.expire_waiting(now, effects);
        self.targets.expire_peer_placements(now);
        self.quarantine.expire(now);
        self.refresh_targets(now, effects);
        self.refuse_without_target(now, effects);
        self.start_trials(now, effects);
        self.pump_all(now, effects);
    }

    fn expire_waiting(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let Some(limit) = now.checked_sub(self.rules.queue().wait) else {
            return;
        };
        while let Some((since, key)) = self.wait_order.pop_before(limit) {
            let still_waits = self.requests.get(key).is_some_and(|request| {
                matches!(request.phase, crate::requests::Phase::Queued { since: at } if at == since)
            });
            if still_waits {
                self.refuse_overloaded(key, effects);
            }
        }
    }
}
