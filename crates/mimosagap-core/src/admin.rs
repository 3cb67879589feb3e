//! Read-only views of the reducer's state for the administration API and the peers' digests.

use std::time::{Duration, Instant};

use mimosagap_rules::statement::Priority;
use mimosagap_types::prelude::*;

use crate::drain::DrainState;
use crate::event::{Member, SuspectState};
use crate::forecast::{MemoryForecast, engine_forecast};
use crate::rate_limit::LimitUsage;
use crate::reducer::DaemonReducer;
use crate::targets::{Target, TargetState};

/// One target as the administration API shows it.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetView {
    /// Its address.
    pub address: TargetAddress,
    /// Its deployment.
    pub deployment: DeploymentName,
    /// Its zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// Its state.
    pub state: TargetState,
    /// The rule that drains it, if one does.
    pub rule: Option<RuleReference>,
    /// The life of the process, if known.
    pub incarnation: Option<Incarnation>,
    /// Requests of this daemon at the target.
    pub outstanding: u32,
    /// Streams running, by its last report.
    pub running: u32,
    /// Streams waiting in the engine, by its last report.
    pub waiting: u32,
    /// Preemptions since its start, by its last report.
    pub preemptions: u64,
    /// Its memory, in tokens; 0 if unknown.
    pub memory_tokens: u64,
    /// Age of the report's figures.
    pub report_age: Option<Duration>,
    /// Memory now and in 2, 5 and 10 s, in tokens.
    pub forecast: MemoryForecast,
}

/// A team's limit and its use at this daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitView {
    /// The team.
    pub team: TeamName,
    /// Requests per second.
    pub rate: f64,
    /// Requests which may come at once.
    pub burst: u32,
    /// The rule behind it.
    pub rule: RuleReference,
    /// Its use.
    pub usage: LimitUsage,
}

/// The waiting requests of one model at one priority.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueView {
    /// The model.
    pub model: ModelName,
    /// The priority.
    pub priority: Priority,
    /// Requests waiting.
    pub length: usize,
}

impl DaemonReducer {
    /// This daemon.
    #[must_use]
    pub fn daemon_id(&self) -> &DaemonId {
        &self.options.daemon
    }

    /// The rules in force.
    #[must_use]
    pub fn rules(&self) -> &std::sync::Arc<mimosagap_rules::RuleSet> {
        &self.rules
    }

    /// The revision in force; `None` until rules were found.
    #[must_use]
    pub fn rules_revision(&self) -> Option<RulesRevision> {
        self.has_rules.then_some(self.rules.revision)
    }

    /// Whether the daemon refuses new work because it reached neither store nor peers lately.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        self.connectivity.was_isolated()
    }

    /// Whether the store was reached lately.
    #[must_use]
    pub fn is_store_reachable(&self) -> bool {
        self.connectivity.was_store_reachable()
    }

    /// How far a shutdown is.
    #[must_use]
    pub fn drain_state(&self) -> DrainState {
        self.drain
    }

    /// Requests without a final answer.
    #[must_use]
    pub fn request_count(&self) -> usize {
        self.requests.len()
    }

    /// Requests in the admission queues.
    #[must_use]
    pub fn queue_length(&self) -> usize {
        self.queued_requests
    }

    /// The admission queues that are not empty.
    #[must_use]
    pub fn queue_views(&self) -> Vec<QueueView> {
        let mut views = Vec::new();
        for (_, group) in self.targets.groups() {
            let Some(model) = &group.model else {
                continue;
            };
            for priority in Priority::ALL {
                let length = group.queue.len_at(priority);
                if length > 0 {
                    views.push(QueueView {
                        model: model.clone(),
                        priority,
                        length,
                    });
                }
            }
        }
        views
    }

    /// All targets.
    #[must_use]
    pub fn target_views(&self, now: Instant) -> Vec<TargetView> {
        self.targets
            .iter()
            .map(|(_, target)| self.target_view(target, now))
            .collect()
    }

    fn target_view(&self, target: &Target, now: Instant) -> TargetView {
        let mean_change = target.groups.first().map_or([0.0; 3], |index| {
            self.targets.group(*index).mean_stream_change()
        });
        let load = target.load.as_ref();
        TargetView {
            address: target.address,
            deployment: target.deployment.clone(),
            zone: target.zone.clone(),
            region: target.region.clone(),
            state: target.state(now),
            rule: target.drain_rule.clone(),
            incarnation: target.incarnation,
            outstanding: target.outstanding(),
            running: load.map_or(0, |load| load.report.running),
            waiting: load.map_or(0, |load| load.report.waiting),
            preemptions: load.map_or(0, |load| load.report.preemptions),
            memory_tokens: load.map_or(0, |load| load.report.memory_tokens),
            report_age: load.map(|load| now.saturating_duration_since(load.measured_at)),
            forecast: engine_forecast(target, mean_change, now),
        }
    }

    /// All team limits and their use at this daemon, by team.
    #[must_use]
    pub fn limit_views(&self, now: Instant) -> Vec<LimitView> {
        let mut views: Vec<LimitView> = self
            .rules
            .limits()
            .map(|(team, limit)| LimitView {
                team: team.clone(),
                rate: limit.rate,
                burst: limit.burst,
                rule: limit.rule.clone(),
                usage: self.limiter.usage(team, limit, now),
            })
            .collect();
        views.sort_by(|left, right| left.team.cmp(&right.team));
        views
    }

    /// Suspects and blocked requests.
    #[must_use]
    pub fn quarantined(&self) -> Vec<(RequestDigest, SuspectState)> {
        self.quarantine.iter().collect()
    }

    /// Further attempts saved in the retry budget.
    #[must_use]
    pub fn retry_budget(&self) -> f64 {
        self.retry_budget.available()
    }

    /// Tokens that this daemon placed lately on each engine and that its report may not show,
    /// for the peers' digests.
    #[must_use]
    pub fn placements(&self) -> Vec<(TargetAddress, u64)> {
        self.targets
            .iter()
            .filter(|(_, target)| target.unreported_tokens() > 0)
            .map(|(_, target)| (target.address, target.unreported_tokens()))
            .collect()
    }

    /// The daemons that callers in a zone may use: those in the zone first, then those in its
    /// region. Leaving daemons are left out.
    #[must_use]
    pub fn addresses(&self, zone: &ZoneName) -> Vec<&Member> {
        let region = self
            .members
            .iter()
            .find(|member| member.zone == *zone)
            .map(|member| &member.region);
        let mut members: Vec<&Member> = self
            .members
            .iter()
            .filter(|member| !member.leaving && !self.is_self_draining(member))
            .collect();
        members.sort_by_key(|member| (member.zone != *zone, Some(&member.region) != region));
        members
    }

    fn is_self_draining(&self, member: &Member) -> bool {
        member.id == self.options.daemon && self.drain != DrainState::Serving
    }
}
