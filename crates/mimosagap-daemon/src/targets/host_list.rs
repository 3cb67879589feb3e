//! The host list in the Prometheus HTTP service discovery format.

use mimosagap_core::{ListedTarget, TargetKind};
use mimosagap_settings::{DeploymentKind, Settings};
use mimosagap_types::prelude::*;
use serde::Deserialize;

#[derive(Deserialize)]
struct TargetGroup {
    targets: Vec<TargetAddress>,
    labels: GroupLabels,
}

#[derive(Deserialize)]
struct GroupLabels {
    deployment: DeploymentName,
    zone: ZoneName,
    region: RegionName,
    #[serde(default)]
    state: String,
}

/// Parses a host list. Groups of deployments that the settings do not contain are skipped.
///
/// # Errors
/// If the list is malformed.
pub fn parse(text: &[u8], settings: &Settings) -> Result<Vec<ListedTarget>, serde_json::Error> {
    let groups: Vec<TargetGroup> = serde_json::from_slice(text)?;
    let mut listed_targets = Vec::new();
    for TargetGroup { targets, labels } in groups {
        let Some(deployment) = settings.deployment(&labels.deployment) else {
            continue;
        };
        let kind = match deployment.kind {
            DeploymentKind::Engine => TargetKind::Engine {
                models: deployment.models.clone(),
            },
            DeploymentKind::Service => TargetKind::Service,
        };
        listed_targets.extend(targets.into_iter().map(|address| ListedTarget {
            address,
            deployment: labels.deployment.clone(),
            kind: kind.clone(),
            zone: labels.zone.clone(),
            region: labels.region.clone(),
            leaving: labels.state == "leaving",
        }));
    }
    Ok(listed_targets)
}
