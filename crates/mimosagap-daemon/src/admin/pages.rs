//! The JSON pages and the metrics page of the administration API.

use mimosagap_core::{LimitView, SuspectState, TargetState, TargetView};
use mimosagap_types::prelude::*;
use serde::Serialize;

use crate::shared::SharedState;
use crate::snapshot::ReducerSnapshot;

#[derive(Serialize)]
pub(super) struct HealthPage {
    id: DaemonId,
    status: &'static str,
    rules_revision: RulesRevision,
    store_reachable: bool,
    requests: usize,
    queued: usize,
    retry_budget: f64,
}

#[derive(Serialize)]
pub(super) struct DaemonEntry {
    id: DaemonId,
    caller_address: String,
    peer_address: String,
    admin_address: String,
    zone: ZoneName,
    region: RegionName,
    leaving: bool,
}

#[derive(Serialize)]
pub(super) struct TargetEntry {
    address: String,
    deployment: DeploymentName,
    zone: ZoneName,
    region: RegionName,
    state: &'static str,
    rule: Option<RuleReference>,
    incarnation: Option<Incarnation>,
    outstanding: u32,
    running: u32,
    waiting: u32,
    preemptions: u64,
    memory_tokens: u64,
    report_age_ms: Option<u128>,
    /// Forecast of the tokens in memory: now and in 2, 5 and 10 s.
    forecast_tokens: Vec<f64>,
}

#[derive(Serialize)]
pub(super) struct RulesPage {
    revision: RulesRevision,
    text: String,
}

#[derive(Serialize)]
pub(super) struct LimitEntry {
    team: TeamName,
    requests_per_second: f64,
    burst: u32,
    rule: RuleReference,
    slot: u16,
    lender: Option<DaemonId>,
    bucket: Option<f64>,
    credit: u32,
    waiting: usize,
    admitted: u64,
}

#[derive(Serialize)]
pub(super) struct QuarantineEntry {
    digest: String,
    state: &'static str,
    unblocked: bool,
}

pub(super) fn health_page(shared: &SharedState, snapshot: &ReducerSnapshot) -> HealthPage {
    let revision = shared.view.rules().revision;
    let status = if shared.view.is_draining() {
        "draining"
    } else if snapshot.isolated || revision == RulesRevision(0) {
        "isolated"
    } else {
        "ok"
    };
    HealthPage {
        id: shared.daemon_id.clone(),
        status,
        rules_revision: revision,
        store_reachable: snapshot.store_reachable,
        requests: shared.requests.open_count(),
        queued: snapshot.queues.iter().map(|queue| queue.length).sum(),
        retry_budget: snapshot.retry_budget,
    }
}

pub(super) fn daemons_page(shared: &SharedState) -> Vec<DaemonEntry> {
    let mut members = shared.control.members();
    members.sort_by(|left, right| left.id.cmp(&right.id));
    let entries = members.into_iter().map(|member| DaemonEntry {
        id: member.id,
        caller_address: member.caller_address.to_string(),
        peer_address: member.peer_address.to_string(),
        admin_address: member.admin_address.to_string(),
        zone: member.zone,
        region: member.region,
        leaving: member.leaving,
    });
    entries.collect()
}

pub(super) fn targets_page(snapshot: &ReducerSnapshot, only_leaving: bool) -> Vec<TargetEntry> {
    let mut targets: Vec<&TargetView> = snapshot
        .targets
        .iter()
        .filter(|target| !only_leaving || target.state == TargetState::Leaving)
        .collect();
    targets.sort_by_key(|target| target.address);
    targets.into_iter().map(target_entry).collect()
}

fn target_entry(target: &TargetView) -> TargetEntry {
    TargetEntry {
        address: target.address.to_string(),
        deployment: target.deployment.clone(),
        zone: target.zone.clone(),
        region: target.region.clone(),
        state: match target.state {
            TargetState::Unknown => "unknown",
            TargetState::Up => "up",
            TargetState::Leaving => "leaving",
            TargetState::Down => "down",
            TargetState::Unlisted => "unlisted",
        },
        rule: target.rule.clone(),
        incarnation: target.incarnation,
        outstanding: target.outstanding,
        running: target.running,
        waiting: target.waiting,
        preemptions: target.preemptions,
        memory_tokens: target.kv_capacity_tokens,
        report_age_ms: target.report_age.map(|age| age.as_millis()),
        forecast_tokens: target.forecast.to_vec(),
    }
}

pub(super) fn rules_page(shared: &SharedState) -> RulesPage {
    let rules = shared.view.rules();
    RulesPage {
        revision: rules.revision,
        text: rules.text.to_string(),
    }
}

pub(super) fn limits_page(snapshot: &ReducerSnapshot) -> Vec<LimitEntry> {
    snapshot.limits.iter().map(limit_entry).collect()
}

fn limit_entry(limit: &LimitView) -> LimitEntry {
    LimitEntry {
        team: limit.team.clone(),
        requests_per_second: limit.rate,
        burst: limit.burst,
        rule: limit.rule.clone(),
        slot: limit.usage.slot,
        lender: limit.usage.holder.clone(),
        bucket: limit.usage.bucket_tokens,
        credit: limit.usage.credit,
        waiting: limit.usage.waiting,
        admitted: limit.usage.admitted,
    }
}

pub(super) fn quarantine_page(
    shared: &SharedState,
    snapshot: &ReducerSnapshot,
) -> Vec<QuarantineEntry> {
    let rules = shared.view.rules();
    let mut entries: Vec<QuarantineEntry> = snapshot
        .quarantine
        .iter()
        .map(|(digest, state)| QuarantineEntry {
            digest: digest.to_string(),
            state: match state {
                SuspectState::Suspect => "suspect",
                SuspectState::OnTrial => "on_trial",
                SuspectState::Blocked => "blocked",
                SuspectState::Cleared => "cleared",
            },
            unblocked: rules.is_unblocked(digest),
        })
        .collect();
    entries.sort_by(|left, right| left.digest.cmp(&right.digest));
    entries
}

pub(super) fn metrics_page(shared: &SharedState) -> String {
    let request_count = i64::try_from(shared.requests.open_count()).unwrap_or(i64::MAX);
    shared.metrics.requests.set(request_count);
    shared.metrics.encode_text()
}
