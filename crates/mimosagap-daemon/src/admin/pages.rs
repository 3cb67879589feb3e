//! The pages of the administration API.

use mimosagap_core::TargetKind;
use mimosagap_types::prelude::*;
use serde::Serialize;

use crate::shared::Shared;
use crate::view::{LimitUse, TargetView};

#[derive(Serialize)]
pub(super) struct HealthPage {
    daemon: DaemonId,
    status: &'static str,
    rules_revision: RulesRevision,
    store_reachable: Option<bool>,
    requests: usize,
}

#[derive(Serialize)]
pub(super) struct DaemonEntry {
    id: DaemonId,
    callers: String,
    peers: String,
    admin: String,
    zone: ZoneName,
    region: RegionName,
    leaving: bool,
}

#[derive(Serialize)]
pub(super) struct TargetEntry {
    address: String,
    deployment: DeploymentName,
    kind: &'static str,
    models: Vec<ModelName>,
    zone: ZoneName,
    region: RegionName,
    reachable: bool,
    leaving: bool,
    rule: Option<RuleReference>,
    report: Option<ReportEntry>,
}

#[derive(Serialize)]
struct ReportEntry {
    incarnation: Incarnation,
    running: u32,
    waiting: u32,
    memory_used: f64,
    memory_tokens: u64,
    preemptions: u64,
}

#[derive(Serialize)]
pub(super) struct RulesPage {
    revision: RulesRevision,
    text: String,
}

#[derive(Serialize)]
pub(super) struct LimitEntry {
    team: TeamName,
    requests_per_second: Option<f64>,
    burst: Option<u32>,
    submitted: u64,
    refused: u64,
    rule: Option<RuleReference>,
}

#[derive(Serialize)]
pub(super) struct QuarantineEntry {
    digest: String,
    state: &'static str,
    pardoned: bool,
}

pub(super) fn health(shared: &Shared) -> HealthPage {
    let state = shared.view.snapshot();
    let revision = shared.view.rules().revision;
    let status = if shared.view.is_draining() {
        "draining"
    } else if state.isolated || revision == RulesRevision(0) {
        "isolated"
    } else {
        "ok"
    };
    HealthPage {
        daemon: shared.daemon.clone(),
        status,
        rules_revision: revision,
        store_reachable: state.store_reachable,
        requests: shared.requests.count(),
    }
}

pub(super) fn daemons(shared: &Shared) -> Vec<DaemonEntry> {
    let mut members = shared.control.members();
    members.sort_by(|one, other| one.id.cmp(&other.id));
    let entries = members.into_iter().map(|member| DaemonEntry {
        id: member.id,
        callers: member.caller_address.to_string(),
        peers: member.peer_address.to_string(),
        admin: member.admin_address.to_string(),
        zone: member.zone,
        region: member.region,
        leaving: member.leaving,
    });
    entries.collect()
}

pub(super) fn targets(shared: &Shared, filter: impl Fn(&TargetView) -> bool) -> Vec<TargetEntry> {
    let state = shared.view.snapshot();
    let mut targets: Vec<TargetView> = state.targets.into_values().filter(filter).collect();
    targets.sort_by_key(|target| target.listed.address);
    targets.into_iter().map(target_entry).collect()
}

fn target_entry(target: TargetView) -> TargetEntry {
    let listed = target.listed;
    let (kind, models) = match listed.kind {
        TargetKind::Engine { models } => ("engine", models),
        TargetKind::Service => ("service", Vec::new()),
    };
    TargetEntry {
        address: listed.address.to_string(),
        deployment: listed.deployment,
        kind,
        models,
        zone: listed.zone,
        region: listed.region,
        reachable: target.reachable,
        leaving: target.leaving,
        rule: target.rule,
        report: target.report.map(|report| ReportEntry {
            incarnation: report.incarnation,
            running: report.running,
            waiting: report.waiting,
            memory_used: report.memory_used,
            memory_tokens: report.memory_tokens,
            preemptions: report.preemptions,
        }),
    }
}

pub(super) fn rules(shared: &Shared) -> RulesPage {
    let rules = shared.view.rules();
    RulesPage {
        revision: rules.revision,
        text: rules.text.to_string(),
    }
}

/// All teams with a limit, and those without one that sent requests.
pub(super) fn limits(shared: &Shared) -> Vec<LimitEntry> {
    let rules = shared.view.rules();
    let mut used = shared.view.snapshot().limits;
    let mut entries: Vec<LimitEntry> = rules
        .limits()
        .map(|(team, limit)| {
            let LimitUse { submitted, refused } = used.remove(team).unwrap_or_default();
            LimitEntry {
                team: team.clone(),
                requests_per_second: Some(limit.rate),
                burst: Some(limit.burst),
                submitted,
                refused,
                rule: Some(limit.rule.clone()),
            }
        })
        .collect();
    entries.extend(used.into_iter().map(|(team, used)| LimitEntry {
        team,
        requests_per_second: None,
        burst: None,
        submitted: used.submitted,
        refused: used.refused,
        rule: None,
    }));
    entries.sort_by(|one, other| one.team.cmp(&other.team));
    entries
}

pub(super) fn quarantine(shared: &Shared) -> Vec<QuarantineEntry> {
    let rules = shared.view.rules();
    let state = shared.view.snapshot();
    let mut entries: Vec<QuarantineEntry> = state
        .quarantine
        .into_iter()
        .map(|(digest, state)| QuarantineEntry {
            digest: digest.to_string(),
            state: match state {
                mimosagap_core::SuspectState::Suspect => "suspect",
                mimosagap_core::SuspectState::OnTrial => "on_trial",
                mimosagap_core::SuspectState::Condemned => "condemned",
                mimosagap_core::SuspectState::Cleared => "cleared",
            },
            pardoned: rules.is_pardoned(&digest),
        })
        .collect();
    entries.sort_by(|one, other| one.digest.cmp(&other.digest));
    entries
}

pub(super) fn metrics(shared: &Shared) -> String {
    let requests = i64::try_from(shared.requests.count()).unwrap_or(i64::MAX);
    shared.metrics.requests.set(requests);
    shared.metrics.text()
}
