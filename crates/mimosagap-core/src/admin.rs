//! Read-only views of the reducer's state, for the administration API and the digests sent to
//! peers.

use std::time::{Duration, Instant};

use mimosagap_rules::statement::Priority;
use mimosagap_types::prelude::*;

use crate::drain::DrainState;
use crate::event::{Member, SuspectState};
use crate::forecast::{MemoryForecast, engine_forecast};
use crate::rate_limit::LimitUsage;
use crate::reducer::DaemonReducer;
use crate::targets::{Target, TargetState};

/// State of one target.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetView {
    /// Address of the target; identifies it.
    pub address: TargetAddress,
    /// Deployment that the target belongs to.
    pub deployment: DeploymentName,
    /// Zone of the target's host.
    pub zone: ZoneName,
    /// Region of that zone.
    pub region: RegionName,
    /// Whether the target gets new work, and if not, why.
    pub state: TargetState,
    /// Rule that drains the target; `None` if none does.
    pub rule: Option<RuleReference>,
    /// Incarnation of the target's process; `None` until it is reported.
    pub incarnation: Option<Incarnation>,
    /// Requests of this daemon in flight at the target.
    pub outstanding: u32,
    /// Streams that the engine runs, from its last report.
    pub running: u32,
    /// Requests that wait in the engine's own queue, from its last report.
    pub waiting: u32,
    /// Preemptions since the engine started, from its last report.
    pub preemptions: u64,
    /// Capacity of the KV cache in tokens, from the last report; 0 if unknown.
    pub kv_capacity_tokens: u64,
    /// Age of the last report's figures; `None` before the first report.
    pub report_age: Option<Duration>,
    /// KV cache in use now and in 2, 5 and 10 s, in tokens.
    pub forecast: MemoryForecast,
}

/// Rate limit of a team and its use at this daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitView {
    /// Team that the limit applies to.
    pub team: TeamName,
    /// Sustained rate, in requests per second.
    pub rate: f64,
    /// Capacity of the token bucket, in requests.
    pub burst: u32,
    /// Rule that sets the limit.
    pub rule: RuleReference,
    /// Use of the limit at this daemon.
    pub usage: LimitUsage,
}

/// Admission queue of one model at one priority.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueView {
    /// Model of the group.
    pub model: ModelName,
    /// Priority of the requests counted here.
    pub priority: Priority,
    /// Number of requests that wait at this daemon; never 0, because empty queues are not listed.
    pub length: usize,
}

impl DaemonReducer {
    /// Id of this daemon.
    #[must_use]
    pub fn daemon_id(&self) -> &DaemonId {
        &self.options.daemon
    }

    /// Active rules; an empty set until a revision is received.
    #[must_use]
    pub fn rules(&self) -> &std::sync::Arc<mimosagap_rules::RuleSet> {
        &self.rules
    }

    /// Revision of the active rules; `None` until one is received.
    #[must_use]
    pub fn rules_revision(&self) -> Option<RulesRevision> {
        self.has_rules.then_some(self.rules.revision)
    }

    /// Whether the daemon refuses new work because it recently reached neither the store nor a
    /// peer.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        self.connectivity.was_isolated()
    }

    /// Whether the store was reached recently.
    #[must_use]
    pub fn is_store_reachable(&self) -> bool {
        self.connectivity.was_store_reachable()
    }

    /// Progress of a shutdown.
    #[must_use]
    pub fn drain_state(&self) -> DrainState {
        self.drain
    }

    /// Requests without a final response.
    #[must_use]
    pub fn request_count(&self) -> usize {
        self.requests.len()
    }

    /// Requests in the admission queues of all groups.
    #[must_use]
    pub fn queue_length(&self) -> usize {
        self.queued_requests
    }

    /// The non-empty admission queues, by model and priority.
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

    /// All targets that the reducer knows, in no particular order.
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
            kv_capacity_tokens: load.map_or(0, |load| load.report.kv_capacity_tokens),
            report_age: load.map(|load| now.saturating_duration_since(load.measured_at)),
            forecast: engine_forecast(target, mean_change, now),
        }
    }

    /// All team limits and their use at this daemon, sorted by team.
    #[must_use]
    pub fn limit_views(&self, now: Instant) -> Vec<LimitView> {
        let mut views: Vec<LimitView> = self
            .rules
            .team_limits()
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

    /// Requests in quarantine: suspects, suspects on trial and blocked ones.
    #[must_use]
    pub fn quarantined(&self) -> Vec<(RequestDigest, SuspectState)> {
        self.quarantine.iter().collect()
    }

    /// Retries that the retry budget allows at present.
    #[must_use]
    pub fn retry_budget(&self) -> f64 {
        self.retry_budget.available()
    }

    /// Tokens that this daemon placed on each engine and that the engine's last report may not
    /// include. Sent to peers in digests.
    #[must_use]
    pub fn placements(&self) -> Vec<(TargetAddress, u64)> {
        self.targets
            .iter()
            .filter(|(_, target)| target.unreported_tokens() > 0)
            .map(|(_, target)| (target.address, target.unreported_tokens()))
            .collect()
    }

    /// Daemons for callers in a zone: those of the zone first, then those of its region, then all
    /// others. Daemons that are shutting down are left out.
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
