//! Versions are admitted before a stream begins there, so that a host without memory knows at which
//! versions streams can have begun.

#[path = "support/options.rs"]
mod options;
mod support;

use std::time::Duration;

use mimosagap_routing::placement::place_generation;
use mimosagap_routing::targets::{Locality, TargetEntry, TargetKey, TargetTable};
use mimosagap_routing::version_registry::{
    ADMISSION_DELAY, RegistryStep, START_HOLD, ServiceVersion, VERSION_RETENTION, VersionRegistry,
};
use mimosagap_types::prelude::*;
use options::long_generation_options;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use support::{NOW, engines, entry, service};

/// When the host of the tests starts.
const STARTED_AT: Duration = NOW;

/// Shortly before `at`.
fn before(at: Duration) -> Duration {
    at.saturating_sub(Duration::from_millis(1))
}

fn version(name: &str) -> ServiceVersion {
    (service(), SoftwareVersion::new(name))
}

/// A table of a host that has just started, with one engine for each version.
fn engines_with(versions: &[&str]) -> (TargetTable, Vec<TargetKey>) {
    let (mut targets, _) = engines(&[]);
    *targets.versions_mut() = VersionRegistry::new(STARTED_AT);
    let keys = (0..)
        .zip(versions)
        .map(|(number, version)| list(&mut targets, number, version, STARTED_AT));
    let keys = keys.collect();
    (targets, keys)
}

fn list(targets: &mut TargetTable, number: u16, version: &str, now: Duration) -> TargetKey {
    let entry = TargetEntry {
        version: SoftwareVersion::new(version),
        ..entry(number, "a")
    };
    targets.upsert(entry, Locality::SameZone, now).0
}

/// The versions that are due to be stored at `now`.
fn due(targets: &mut TargetTable, now: Duration) -> Vec<ServiceVersion> {
    let steps = targets.update_versions(now).into_iter();
    steps
        .filter_map(|step| match step {
            RegistryStep::Store(version, _) => Some(version),
            RegistryStep::Retire(_) => None,
        })
        .collect()
}

/// The first start of all hosts, with an empty store.
#[test]
fn the_first_versions_of_a_service_do_not_wait() {
    let (mut targets, _) = engines_with(&["v1", "v2"]);
    assert_eq!(
        due(&mut targets, STARTED_AT),
        [version("v1"), version("v2")]
    );
    assert_eq!(targets.versions().sole_version(&service()), None);
}

/// A stream must not begin at a version that a host without memory would not know of.
#[test]
fn a_new_stream_is_not_placed_at_a_version_that_is_not_admitted() {
    let (mut targets, keys) = engines_with(&["v2", "v1"]);
    targets.versions_mut().admit(version("v1"), STARTED_AT);
    let (service, home_zone) = (service(), ZoneName::new("a"));
    let options = long_generation_options(&service, &home_zone);
    let place = |targets: &TargetTable| {
        let mut random = SmallRng::seed_from_u64(1);
        let placement = place_generation(targets, &options, |_, _| true, NOW, &mut random);
        placement.map(|placement| placement.target.key())
    };
    assert_eq!(place(&targets), Some(keys[1]));
    targets.mark_draining(keys[1], NOW);
    assert_eq!(place(&targets), None);
    targets.versions_mut().admit(version("v2"), STARTED_AT);
    assert_eq!(place(&targets), Some(keys[0]));
}

/// Streams of the old version are recorded before the first one of the new version begins, so that a
/// kill of all hosts in that moment leaves no doubt about any of them.
#[test]
fn a_further_version_waits_until_running_streams_are_recorded() {
    let (mut targets, _) = engines_with(&["v1"]);
    targets.versions_mut().admit(version("v1"), STARTED_AT);
    let listed_at = STARTED_AT + START_HOLD;
    assert_eq!(due(&mut targets, listed_at), []);
    assert!(!targets.versions().is_mixed(&service()));
    list(&mut targets, 1, "v2", listed_at);
    assert_eq!(due(&mut targets, listed_at), []);
    assert!(targets.versions().is_mixed(&service()));
    let sole_version = targets.versions().sole_version(&service());
    assert_eq!(sole_version, Some(&SoftwareVersion::new("v1")));
    let due_at = listed_at + ADMISSION_DELAY;
    assert_eq!(due(&mut targets, before(due_at)), []);
    assert_eq!(due(&mut targets, due_at), [version("v2")]);
}

/// All hosts were killed before they saw a new version. Their callers return in the first seconds,
/// and all of their streams are of the old version.
#[test]
fn a_host_that_has_just_started_admits_no_further_version() {
    let (mut targets, _) = engines_with(&["v1", "v2"]);
    targets.versions_mut().admit(version("v1"), STARTED_AT);
    let due_at = STARTED_AT + START_HOLD;
    assert_eq!(due(&mut targets, STARTED_AT), []);
    assert_eq!(due(&mut targets, before(due_at)), []);
    assert_eq!(due(&mut targets, due_at), [version("v2")]);
}

/// A release replaces all engines at once: new streams must not be refused for the wait.
#[test]
fn a_further_version_does_not_wait_if_no_other_engine_is_available() {
    let (mut targets, keys) = engines_with(&["v1", "v2"]);
    targets.versions_mut().admit(version("v1"), STARTED_AT);
    targets.mark_draining(keys[0], STARTED_AT);
    assert_eq!(due(&mut targets, STARTED_AT), [version("v2")]);
}

/// The engines of the old version have left, and callers still return with its streams.
#[test]
fn a_version_stays_admitted_after_its_last_engine() {
    let (mut targets, _) = engines_with(&["v1", "v2"]);
    for name in ["v1", "v2"] {
        targets.versions_mut().admit(version(name), STARTED_AT);
    }
    assert_eq!(targets.update_versions(STARTED_AT), []);
    targets.mark_removed("i-0", STARTED_AT);
    let retired_at = STARTED_AT + VERSION_RETENTION;
    assert_eq!(targets.update_versions(before(retired_at)), []);
    assert_eq!(targets.versions().sole_version(&service()), None);
    assert_eq!(
        targets.update_versions(retired_at),
        [RegistryStep::Retire(version("v1"))]
    );
    let sole_version = targets.versions().sole_version(&service());
    assert_eq!(sole_version, Some(&SoftwareVersion::new("v2")));
}

/// The store came back from a copy without a version at which streams run.
#[test]
fn a_version_that_the_store_lost_stays_admitted_and_is_stored_again() {
    let (mut targets, _) = engines_with(&["v1", "v2"]);
    for name in ["v1", "v2"] {
        targets.versions_mut().admit(version(name), STARTED_AT);
    }
    let lost_at = STARTED_AT + Duration::from_secs(9);
    targets.versions_mut().note_missing(&version("v2"), lost_at);
    assert!(targets.versions().is_admitted(&service(), &version("v2").1));
    assert_eq!(
        targets.update_versions(lost_at),
        [RegistryStep::Store(version("v2"), lost_at)]
    );
    targets.versions_mut().admit(version("v2"), lost_at);
    assert_eq!(targets.update_versions(lost_at), []);
}

/// The store came back from a copy without a version whose engines have left. Callers still return
/// with its streams, which a host that starts must not take for those of the version that is left.
#[test]
fn a_lost_version_without_engines_is_not_stored_again() {
    let (mut targets, _) = engines_with(&["v1"]);
    for name in ["v1", "v2"] {
        targets.versions_mut().admit(version(name), STARTED_AT);
    }
    let lost_at = STARTED_AT + Duration::from_secs(9);
    targets.versions_mut().note_lost(&version("v2"), lost_at);
    assert_eq!(
        targets.update_versions(lost_at),
        [RegistryStep::Store(version("v2"), lost_at)]
    );
}

/// Versions have no order: a service goes back to the version before.
#[test]
fn a_version_that_returns_is_the_same_one() {
    let (mut targets, _) = engines_with(&["v1", "v2"]);
    for name in ["v1", "v2"] {
        targets.versions_mut().admit(version(name), STARTED_AT);
    }
    targets.mark_removed("i-0", STARTED_AT);
    let now = STARTED_AT + VERSION_RETENTION / 2;
    assert_eq!(targets.update_versions(now), []);
    list(&mut targets, 2, "v1", now);
    assert_eq!(targets.update_versions(now + VERSION_RETENTION), []);
    assert!(targets.versions().is_admitted(&service(), &version("v1").1));
}

/// Plain services have no streams, and their versions cost no write.
#[test]
fn versions_of_plain_services_are_not_stored() {
    let (mut targets, _) = engines_with(&[]);
    let plain = TargetEntry {
        service: DeploymentName::new("plain"),
        ..entry(0, "a")
    };
    targets.upsert(plain, Locality::SameZone, STARTED_AT);
    assert_eq!(targets.update_versions(STARTED_AT), []);
}
