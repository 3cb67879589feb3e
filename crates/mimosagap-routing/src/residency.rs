//! Decides in which regions a request may be served.
//!
//! A route and a team may each name the regions in which their requests may be served. Requests
//! reach hosts of all regions, and a target or another host is chosen in many places: for first
//! attempts, retries, hedges, copies of KV caches, handovers, restarts and relays. Every send takes
//! a [`PermittedTarget`] or a [`PermittedHost`], which only this module constructs, so that a new
//! place that chooses cannot leave out the check.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use mimosagap_types::prelude::*;

use crate::hosts::HostRecord;
use crate::targets::{Target, TargetKey, TargetTable};

/// Feature in the record of a host that observes restrictions.
pub const RESIDENCY_FEATURE: &str = "residency";

/// The policy of a request without restrictions.
pub static UNRESTRICTED: ResidencyPolicy = ResidencyPolicy {
    named: AllowedRegions::Any,
    allowed: AllowedRegions::Any,
};

/// The regions that a list of the configuration allows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub enum AllowedRegions {
    /// There is no list.
    #[default]
    Any,
    /// These regions only. An empty set, as from two lists without a common region, allows none.
    Only(Arc<BTreeSet<RegionName>>),
}

impl AllowedRegions {
    /// Reads a list of the configuration, which restricts nothing if it is empty.
    #[must_use]
    pub fn from_list(regions: impl IntoIterator<Item = RegionName>) -> Self {
        let regions: BTreeSet<RegionName> = regions.into_iter().collect();
        if regions.is_empty() {
            Self::Any
        } else {
            Self::Only(Arc::new(regions))
        }
    }

    /// Allows only these regions, none if there are none.
    #[must_use]
    pub fn only(regions: impl IntoIterator<Item = RegionName>) -> Self {
        Self::Only(Arc::new(regions.into_iter().collect()))
    }

    /// The regions that both allow.
    #[must_use]
    pub fn intersection(&self, other: &Self) -> Self {
        match (self, other) {
            (Self::Any, regions) | (regions, Self::Any) => regions.clone(),
            (Self::Only(first), Self::Only(second)) => {
                Self::only(first.intersection(second).cloned())
            }
        }
    }

    /// Whether a list restricts the regions.
    #[must_use]
    pub fn is_restricted(&self) -> bool {
        matches!(self, Self::Only(_))
    }

    /// Whether a region is allowed. An unknown one is allowed only without restrictions.
    #[must_use]
    pub fn contains(&self, region: Option<&RegionName>) -> bool {
        match self {
            Self::Any => true,
            Self::Only(regions) => region.is_some_and(|region| regions.contains(region)),
        }
    }

    /// The regions of the list in the order of their names; none if there is no list.
    pub fn names(&self) -> impl Iterator<Item = &RegionName> {
        match self {
            Self::Any => None,
            Self::Only(regions) => Some(regions.iter()),
        }
        .into_iter()
        .flatten()
    }
}

impl fmt::Display for AllowedRegions {
    /// Writes the names with commas between them, or `*` without a restriction.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.is_restricted() {
            return f.write_str("*");
        }
        for (index, region) in self.names().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(f, "{separator}{region}")?;
        }
        Ok(())
    }
}

/// Regions of a hostname that a list of addresses prefers: those that all of its restricted routes
/// allow or, if there are none, those that any of them allows.
#[must_use]
pub fn preferred_regions<'a>(
    lists: impl Iterator<Item = &'a AllowedRegions> + Clone,
) -> AllowedRegions {
    let common = lists.clone().fold(AllowedRegions::Any, |common, list| {
        common.intersection(list)
    });
    if common.is_restricted() && common.names().next().is_none() {
        AllowedRegions::only(lists.flat_map(AllowedRegions::names).cloned())
    } else {
        common
    }
}

/// Where one request may be served.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResidencyPolicy {
    /// The regions that all lists name, for log lines.
    named: AllowedRegions,
    /// Those of them that are known. An unknown region allows nothing.
    allowed: AllowedRegions,
}

impl ResidencyPolicy {
    /// Combines the lists that apply to a request: a region must be in each of them and be known.
    #[must_use]
    pub fn new<'a>(
        lists: impl IntoIterator<Item = &'a AllowedRegions>,
        is_known: impl Fn(&RegionName) -> bool,
    ) -> Self {
        let named = lists
            .into_iter()
            .fold(AllowedRegions::Any, |named, list| named.intersection(list));
        let allowed = match &named {
            AllowedRegions::Any => AllowedRegions::Any,
            AllowedRegions::Only(regions) => {
                let known = regions.iter().filter(|region| is_known(region));
                AllowedRegions::only(known.cloned())
            }
        };
        Self { named, allowed }
    }

    /// The regions that all lists name.
    #[must_use]
    pub fn named(&self) -> &AllowedRegions {
        &self.named
    }

    /// The known regions in which the request may be served.
    #[must_use]
    pub fn allowed(&self) -> &AllowedRegions {
        &self.allowed
    }

    /// Whether the request is restricted to some regions.
    #[must_use]
    pub fn is_restricted(&self) -> bool {
        self.allowed.is_restricted()
    }

    /// Whether the request may be served by a target.
    #[must_use]
    pub fn allows(&self, targets: &TargetTable, target: &Target) -> bool {
        // The region is looked up only for restricted requests.
        !self.is_restricted()
            || self
                .allowed
                .contains(targets.zone_region(&target.entry.zone))
    }

    /// Whether a target that may serve the request is available, or will be within `max_wait`.
    #[must_use]
    pub fn has_target(
        &self,
        targets: &TargetTable,
        service: &DeploymentName,
        max_wait: Duration,
        now: Duration,
    ) -> bool {
        targets
            .of_service(service)
            .filter(|(_, target)| self.allows(targets, target))
            .any(|(_, target)| target.is_available_within(max_wait, now))
    }

    /// The share of one of `host_count` hosts in the requests that all of them run at the targets
    /// which a restricted request may use; 0 for one without restrictions. A host of another region
    /// runs few requests there itself, but capacity that any host frees may serve its request.
    #[must_use]
    pub fn fleet_share(
        &self,
        targets: &TargetTable,
        service: &DeploymentName,
        host_count: usize,
        now: Duration,
    ) -> u32 {
        if !self.is_restricted() {
            return 0;
        }
        let running: u32 = targets
            .of_service(service)
            .filter(|(_, target)| self.allows(targets, target))
            .map(|(_, target)| target.load(now).requests)
            .sum();
        running / u32::try_from(host_count.max(1)).unwrap_or(u32::MAX)
    }

    /// Permits to send the request to a target; `None` if it is in a region that is not allowed.
    /// A target that is not in the table is permitted only without restrictions.
    #[must_use]
    pub fn permit_target(&self, targets: &TargetTable, key: TargetKey) -> Option<PermittedTarget> {
        let is_allowed =
            !self.is_restricted() || targets.get(key).is_some_and(|t| self.allows(targets, t));
        is_allowed.then_some(PermittedTarget { key })
    }

    /// Whether the body of the request may be sent to another host. Hosts of earlier builds do not
    /// observe restrictions, so a restricted request needs one that lists [`RESIDENCY_FEATURE`].
    #[must_use]
    pub fn allows_host(&self, record: &HostRecord) -> bool {
        !self.is_restricted()
            || (self.allowed.contains(Some(&record.region))
                && record.has_feature(RESIDENCY_FEATURE))
    }

    /// Permits to send the request and its body to another host; `None` if it must not get them.
    #[must_use]
    pub fn permit_host(&self, name: &str, record: &HostRecord) -> Option<PermittedHost> {
        self.allows_host(record).then(|| PermittedHost {
            name: name.to_owned(),
            address: record.peer_address,
        })
    }
}

/// A target to which a request may be sent. Only [`ResidencyPolicy::permit_target`] constructs it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermittedTarget {
    key: TargetKey,
}

impl PermittedTarget {
    /// The key of the target.
    #[must_use]
    pub fn key(self) -> TargetKey {
        self.key
    }
}

/// A host to which a request and its body may be sent. Only [`ResidencyPolicy::permit_host`]
/// constructs it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PermittedHost {
    name: String,
    address: SocketAddr,
}

impl PermittedHost {
    /// The name of the host.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Where it accepts requests of other hosts.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}
