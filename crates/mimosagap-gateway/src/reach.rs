//! Keeps track of whether this host reaches the targets of each service.

use std::rc::Rc;
use std::time::Duration;

use mimosagap_routing::target_reach::{ReachChange, TargetReach};
use mimosagap_routing::targets::{TargetKey, TargetOutcome};
use mimosagap_types::prelude::*;
use rand::Rng;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::log::LogEvent;
use crate::state::{Gateway, SharedGateway, millis};

/// Interval at which a host that is cut off tries to connect to a target, and the time it waits.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// Records what the outcome of a request says of the links to targets.
pub fn record_outcome(gateway: &Gateway, key: TargetKey, outcome: TargetOutcome) {
    let now = gateway.now();
    let changed = gateway.with_state(|state| {
        let service = state.targets.get(key)?.entry.service.clone();
        let target_count = state.targets.of_service(&service).count();
        let reach = state.target_reach.entry(service.clone()).or_default();
        let change = match outcome {
            TargetOutcome::Unreachable => reach.record_failure(key, target_count, now),
            // A response that broke off says nothing of the link: the target may have closed it.
            TargetOutcome::Failed => None,
            TargetOutcome::Completed
            | TargetOutcome::Succeeded
            | TargetOutcome::ReturnedError
            | TargetOutcome::LimitExceeded
            | TargetOutcome::Rejected => reach.record_contact(now),
        };
        Some((service, change?))
    });
    if let Some((service, change)) = changed {
        log_change(gateway, &service, change);
        if change == ReachChange::Lost {
            gateway.reach_lost.notify_one();
        }
    }
}

/// Records that a target of a service sent something.
pub fn record_contact(gateway: &Gateway, service: &DeploymentName) {
    let now = gateway.now();
    let change = gateway.with_state(|state| {
        let reach = state.target_reach.get_mut(service)?;
        reach.record_contact(now)
    });
    if let Some(change) = change {
        log_change(gateway, service, change);
    }
}

/// Whether this host believes that it is cut off from the targets of a service.
pub fn is_isolated(gateway: &Gateway, service: &DeploymentName) -> bool {
    gateway.with_state(|state| {
        let reach = state.target_reach.get(service);
        reach.is_some_and(TargetReach::is_isolated)
    })
}

/// Connects to a target of each service that this host is cut off from, until one accepts.
pub async fn probe_isolated(gateway: SharedGateway) {
    loop {
        let lost = gateway.reach_lost.notified();
        let isolated: Vec<DeploymentName> = gateway.with_state(|state| {
            let services = state.target_reach.iter();
            services
                .filter(|(_, reach)| reach.is_isolated())
                .map(|(service, _)| service.clone())
                .collect()
        });
        if isolated.is_empty() {
            lost.await;
        }
        for service in isolated {
            tokio::task::spawn_local(probe_service(Rc::clone(&gateway), service));
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}

async fn probe_service(gateway: SharedGateway, service: DeploymentName) {
    let address = gateway.with_state(|state| {
        let targets = state.targets.of_service(&service);
        let addresses: Vec<_> = targets.map(|(_, target)| target.entry.address).collect();
        let index = (!addresses.is_empty()).then(|| state.rng.random_range(0..addresses.len()));
        index.map(|index| addresses[index])
    });
    if let Some(address) = address
        && let Ok(Ok(_)) = timeout(PROBE_INTERVAL, TcpStream::connect(address)).await
    {
        let now = gateway.now();
        gateway.with_state(|state| state.targets.end_pauses(&service, now));
        record_contact(&gateway, &service);
        gateway.capacity_freed.notify_waiters();
    }
}

fn log_change(gateway: &Gateway, service: &DeploymentName, change: ReachChange) {
    let (reachable, after) = match change {
        ReachChange::Lost => (false, Duration::ZERO),
        ReachChange::Regained(after) => (true, after),
    };
    gateway.log.event(&LogEvent::TargetsReachable {
        service: service.as_str(),
        reachable,
        after_ms: millis(after),
    });
}
