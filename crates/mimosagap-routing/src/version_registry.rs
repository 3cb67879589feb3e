//! The software versions at which streams of each service may have begun.
//!
//! Engines of several versions serve side by side, versions come and go, and all hosts may be killed
//! at any moment. So that a host without memory still knows at which versions streams began, a
//! version is admitted first: a stream begins there only after the store holds the version. With one
//! admitted version every stream is of that one and nothing is recorded of streams. With several,
//! hosts record which stream began where; see [`stream_origins`](crate::stream_origins).
//!
//! A new version waits for a moment if engines of an admitted one are available: hosts that see it
//! listed record the streams that they run, and callers return whose hosts were killed before they
//! saw it.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use mimosagap_types::prelude::*;

use crate::targets::TargetTable;

/// Time from the first sight of a version until it is admitted, if engines of another one are
/// available.
pub const ADMISSION_DELAY: Duration = Duration::from_secs(1);

/// Time from its own start for which a host admits no further version, if engines of another one are
/// available.
pub const START_HOLD: Duration = Duration::from_secs(5);

/// Time after its last engine for which a version stays admitted; longer than any stream.
pub const VERSION_RETENTION: Duration = Duration::from_mins(2);

/// Name of a version of a service.
pub type ServiceVersion = (DeploymentName, SoftwareVersion);

/// What is known of an admitted version.
#[derive(Debug, Clone, Copy)]
struct AdmittedVersion {
    /// Since when the store does not hold it; `None` if it does, as far as this host knows.
    missing_since: Option<Duration>,
    /// Whether a full read of the store lacked it: it may have come back from a copy.
    is_lost: bool,
    /// When an engine of it was last listed.
    listed_at: Duration,
}

/// A change of the registry that is due, and since when.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RegistryStep {
    /// Write a version to the store; it is admitted once the store holds it.
    Store(ServiceVersion, Duration),
    /// Delete a version from the store, of which no engine is left and no stream can run.
    Retire(ServiceVersion),
}

/// The admitted versions of all services.
#[derive(Debug, Clone, Default)]
pub struct VersionRegistry {
    started_at: Duration,
    admitted: HashMap<DeploymentName, BTreeMap<SoftwareVersion, AdmittedVersion>>,
    /// Listed versions that are not admitted, and when they were first seen.
    pending: BTreeMap<ServiceVersion, Duration>,
}

impl VersionRegistry {
    /// Creates a registry without versions, for a host that starts at `now`.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            started_at: now,
            ..Self::default()
        }
    }

    /// Records that the store holds a version. Returns whether it was not admitted before.
    pub fn admit(&mut self, version: ServiceVersion, now: Duration) -> bool {
        self.pending.remove(&version);
        let (service, version) = version;
        let versions = self.admitted.entry(service).or_default();
        let is_new = !versions.contains_key(&version);
        let admitted = versions.entry(version).or_insert(AdmittedVersion {
            missing_since: None,
            is_lost: false,
            listed_at: now,
        });
        admitted.missing_since = None;
        admitted.is_lost = false;
        is_new
    }

    /// Records that a host removed a version from the store. It is stored again if an engine is
    /// listed.
    pub fn note_missing(&mut self, version: &ServiceVersion, now: Duration) {
        if let Some(admitted) = self.admitted_mut(version) {
            admitted.missing_since.get_or_insert(now);
        }
    }

    /// Records that a full read of the store lacked a version. It is stored again, because streams
    /// of it may be resumed although its engines have left.
    pub fn note_lost(&mut self, version: &ServiceVersion, now: Duration) {
        if let Some(admitted) = self.admitted_mut(version) {
            admitted.missing_since.get_or_insert(now);
            admitted.is_lost = true;
        }
    }

    fn admitted_mut(
        &mut self,
        (service, version): &ServiceVersion,
    ) -> Option<&mut AdmittedVersion> {
        self.admitted.get_mut(service)?.get_mut(version)
    }

    /// The versions that the store should hold.
    pub fn stored(&self) -> impl Iterator<Item = ServiceVersion> {
        self.admitted.iter().flat_map(|(service, versions)| {
            let stored = versions
                .iter()
                .filter(|(_, admitted)| admitted.missing_since.is_none());
            stored.map(|(version, _)| (service.clone(), version.clone()))
        })
    }

    /// Whether streams may begin at a version.
    #[must_use]
    pub fn is_admitted(&self, service: &DeploymentName, version: &SoftwareVersion) -> bool {
        let versions = self.admitted.get(service);
        versions.is_some_and(|versions| versions.contains_key(version))
    }

    /// The only version at which streams of a service can have begun; `None` if there are several or
    /// none is known.
    #[must_use]
    pub fn sole_version(&self, service: &DeploymentName) -> Option<&SoftwareVersion> {
        let mut versions = self.admitted.get(service)?.keys();
        versions.next().filter(|_| versions.next().is_none())
    }

    /// Whether streams of a service are recorded: several versions are admitted or listed.
    #[must_use]
    pub fn is_mixed(&self, service: &DeploymentName) -> bool {
        let admitted = self.admitted.get(service).map_or(0, BTreeMap::len);
        let pending = self.pending.keys().filter(|(other, _)| other == service);
        admitted + pending.count() > 1
    }

    /// Services of which a version is admitted.
    pub fn services(&self) -> impl Iterator<Item = &DeploymentName> {
        self.admitted.keys()
    }

    /// Services of which several versions are admitted or listed.
    pub fn mixed_services(&self) -> impl Iterator<Item = &DeploymentName> {
        self.services().filter(|service| self.is_mixed(service))
    }

    /// Whether a listed version waits to be admitted.
    #[must_use]
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Compares the registry with the listed engines. Returns what is due.
    pub fn update(&mut self, targets: &TargetTable, now: Duration) -> Vec<RegistryStep> {
        let mut available = BTreeMap::new();
        for (_, target) in targets.iter() {
            let service = &target.entry.service;
            let version = &target.entry.version;
            if targets.engine_spec(service).is_none() || target.is_removed(now) {
                continue;
            }
            let is_available = available
                .entry((service.clone(), version.clone()))
                .or_insert(false);
            *is_available |= target.is_available(now);
        }
        for listed in available.keys() {
            self.note_listed(listed, now);
        }
        self.pending
            .retain(|version, _| available.contains_key(version));
        let mut steps = self.due_admissions(&available, now);
        steps.extend(self.retire(&available, now));
        steps
    }

    fn note_listed(&mut self, version: &ServiceVersion, now: Duration) {
        match self.admitted_mut(version) {
            Some(admitted) => admitted.listed_at = now,
            None => {
                self.pending.entry(version.clone()).or_insert(now);
            }
        }
    }

    /// Versions that are to be stored: listed ones that waited for long enough or cannot wait, and
    /// admitted ones that the store has lost.
    fn due_admissions(
        &self,
        available: &BTreeMap<ServiceVersion, bool>,
        now: Duration,
    ) -> Vec<RegistryStep> {
        let has_available_admitted = |service: &DeploymentName| {
            available.iter().any(|((other, version), is_available)| {
                *is_available && other == service && self.is_admitted(service, version)
            })
        };
        let mut steps = Vec::new();
        for (version, first_seen_at) in &self.pending {
            let due_at = if has_available_admitted(&version.0) {
                (*first_seen_at + ADMISSION_DELAY).max(self.started_at + START_HOLD)
            } else {
                *first_seen_at
            };
            if now >= due_at {
                steps.push(RegistryStep::Store(version.clone(), due_at));
            }
        }
        for (service, versions) in &self.admitted {
            for (version, admitted) in versions {
                let version = (service.clone(), version.clone());
                if let Some(missing_since) = admitted.missing_since
                    && (admitted.is_lost || available.contains_key(&version))
                {
                    steps.push(RegistryStep::Store(version, missing_since));
                }
            }
        }
        steps
    }

    /// Removes versions of which no engine has been listed for long.
    fn retire(
        &mut self,
        available: &BTreeMap<ServiceVersion, bool>,
        now: Duration,
    ) -> Vec<RegistryStep> {
        let mut steps = Vec::new();
        for (service, versions) in &mut self.admitted {
            versions.retain(|version, admitted| {
                let version = (service.clone(), version.clone());
                let is_kept = available.contains_key(&version)
                    || now < admitted.listed_at + VERSION_RETENTION;
                if !is_kept && admitted.missing_since.is_none() {
                    steps.push(RegistryStep::Retire(version));
                }
                is_kept
            });
        }
        steps
    }
}
