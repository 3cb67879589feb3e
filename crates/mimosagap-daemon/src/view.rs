//! What the daemon knows, for answers to callers and operators. Only the driver changes it.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock};

use mimosagap_core::{Effect, Event, ListedTarget, LoadReport, Notice, StateChange, SuspectState};
use mimosagap_rules::RuleSet;
use mimosagap_types::prelude::*;

use crate::requests::lock;

/// Rules found and not yet in force; the reducer adopts at most the newest.
const MAX_CANDIDATES: usize = 8;

/// A target and what is known of it.
#[derive(Debug, Clone)]
pub struct TargetView {
    /// Its entry on the host list.
    pub listed: ListedTarget,
    /// Its last report.
    pub report: Option<LoadReport>,
    /// Whether its last report could be fetched; services without reports count as reachable.
    pub reachable: bool,
    /// Whether the reducer treats it as leaving.
    pub leaving: bool,
    /// The rule that drains it, if one does.
    pub rule: Option<RuleReference>,
}

/// How much of a team's limit is used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LimitUse {
    /// Requests accepted by this daemon since it started.
    pub submitted: u64,
    /// Requests refused because the limit was used up.
    pub refused: u64,
}

/// A consistent copy of the parts that change.
#[derive(Debug, Clone, Default)]
pub struct ViewState {
    /// The targets.
    pub targets: HashMap<TargetAddress, TargetView>,
    /// Requests under suspicion or condemned.
    pub quarantine: HashMap<RequestDigest, SuspectState>,
    /// Use of the teams' limits.
    pub limits: HashMap<TeamName, LimitUse>,
    /// Whether the store answers; `None` before the first contact.
    pub store_reachable: Option<bool>,
    /// Whether neither store nor peers can be reached.
    pub isolated: bool,
    teams: HashMap<RequestTicket, TeamName>,
    candidates: Vec<Arc<RuleSet>>,
}

/// What the daemon knows.
#[derive(Debug)]
pub struct View {
    rules: RwLock<Arc<RuleSet>>,
    state: Mutex<ViewState>,
    draining: AtomicBool,
}

impl Default for View {
    fn default() -> Self {
        Self {
            rules: RwLock::new(Arc::new(RuleSet::empty())),
            state: Mutex::default(),
            draining: AtomicBool::new(false),
        }
    }
}

impl View {
    /// The rules in force.
    #[must_use]
    pub fn rules(&self) -> Arc<RuleSet> {
        Arc::clone(&self.rules.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Whether the daemon drains.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// A copy of the state.
    #[must_use]
    pub fn snapshot(&self) -> ViewState {
        lock(&self.state).clone()
    }

    /// The life of a target process, from its last report.
    #[must_use]
    pub fn incarnation(&self, address: &TargetAddress) -> Option<Incarnation> {
        let state = lock(&self.state);
        let report = state.targets.get(address)?.report.as_ref()?;
        Some(report.incarnation)
    }

    /// Takes note of an event before the reducer sees it.
    pub fn note_event(&self, event: &Event) {
        match event {
            Event::DrainAsked => self.draining.store(true, Ordering::Relaxed),
            Event::Tick | Event::Progress { .. } => {}
            event => lock(&self.state).note_event(event),
        }
    }

    /// Takes note of an effect before it is carried out.
    pub fn note_effect(&self, effect: &Effect) {
        match effect {
            Effect::Log(StateChange::RulesInForce { revision }) => self.adopt(*revision),
            Effect::Log(change) => lock(&self.state).note_change(change),
            Effect::Refuse { ticket, refusal } => lock(&self.state).note_refusal(*ticket, refusal),
            Effect::AnswerFromRecord { ticket } => {
                lock(&self.state).teams.remove(ticket);
            }
            Effect::EndTrial { digest, state } => {
                lock(&self.state).note_suspect(*digest, *state);
            }
            _ => {}
        }
    }

    fn adopt(&self, revision: RulesRevision) {
        let mut state = lock(&self.state);
        let found = state
            .candidates
            .iter()
            .find(|set| set.revision == revision)
            .cloned();
        state.candidates.retain(|set| set.revision > revision);
        drop(state);
        let mut rules = self.rules.write().unwrap_or_else(PoisonError::into_inner);
        if let Some(set) = found.filter(|set| set.revision > rules.revision) {
            *rules = set;
        }
    }
}

impl ViewState {
    fn note_event(&mut self, event: &Event) {
        match event {
            Event::Submitted { ticket, submission } => {
                let team = submission.team.clone();
                self.limits.entry(team.clone()).or_default().submitted += 1;
                self.teams.insert(*ticket, team);
            }
            Event::CallerLeft { ticket } => {
                self.teams.remove(ticket);
            }
            Event::AttemptEnded { ticket, end, .. } => {
                if matches!(
                    end,
                    mimosagap_core::AttemptEnd::Completed { .. }
                        | mimosagap_core::AttemptEnd::Cancelled
                ) {
                    self.teams.remove(ticket);
                }
            }
            Event::RulesFound(set) => {
                self.candidates.push(Arc::clone(set));
                if self.candidates.len() > MAX_CANDIDATES {
                    self.candidates.sort_by_key(|set| set.revision);
                    self.candidates.remove(0);
                }
            }
            Event::TargetsListed(list) => self.note_list(list),
            Event::TargetReported { address, report } => {
                if let Some(target) = self.targets.get_mut(address) {
                    target.report = Some(report.clone());
                    target.reachable = true;
                }
            }
            Event::TargetUnreachable { address, .. } => {
                if let Some(target) = self.targets.get_mut(address) {
                    target.reachable = false;
                }
            }
            Event::SuspectsChanged(suspects) => {
                for (digest, state) in suspects {
                    self.note_suspect(*digest, *state);
                }
            }
            Event::NoticeHeard(Notice::Suspect { digest, state }) => {
                self.note_suspect(*digest, *state);
            }
            _ => {}
        }
    }

    fn note_list(&mut self, list: &[ListedTarget]) {
        let mut old = std::mem::take(&mut self.targets);
        for listed in list {
            let target = match old.remove(&listed.address) {
                Some(target) => TargetView {
                    listed: listed.clone(),
                    ..target
                },
                None => TargetView {
                    listed: listed.clone(),
                    report: None,
                    reachable: true,
                    leaving: listed.leaving,
                    rule: None,
                },
            };
            self.targets.insert(listed.address, target);
        }
    }

    fn note_change(&mut self, change: &StateChange) {
        match change {
            StateChange::TargetUp { address } => self.set_leaving(address, false, None),
            StateChange::TargetLeaving { address, rule } => {
                self.set_leaving(address, true, rule.clone());
            }
            StateChange::Quarantine { digest, state } => self.note_suspect(*digest, *state),
            StateChange::Isolated { isolated } => self.isolated = *isolated,
            StateChange::Store { reachable } => self.store_reachable = Some(*reachable),
            StateChange::TargetDown { .. }
            | StateChange::RulesInForce { .. }
            | StateChange::Draining => {}
        }
    }

    fn set_leaving(&mut self, address: &TargetAddress, leaving: bool, rule: Option<RuleReference>) {
        if let Some(target) = self.targets.get_mut(address) {
            target.leaving = leaving;
            target.rule = rule;
        }
    }

    fn note_suspect(&mut self, digest: RequestDigest, state: SuspectState) {
        if state == SuspectState::Cleared {
            self.quarantine.remove(&digest);
        } else {
            self.quarantine.insert(digest, state);
        }
    }

    fn note_refusal(&mut self, ticket: RequestTicket, refusal: &Refusal) {
        if let Some(team) = self.teams.remove(&ticket)
            && refusal.cause == RefusalCause::LimitReached
        {
            self.limits.entry(team).or_default().refused += 1;
        }
    }
}
