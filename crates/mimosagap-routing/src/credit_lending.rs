//! Selects the host that is asked to lend credit for a retry.
//!
//! Engines that leave in the same moment hold the generations of few hosts. In a large fleet each
//! host's share of the retry credit covers one or two moves, so some hosts run out of it and lose
//! generations whose copies are complete, while the others hold credit that they do not need. A host
//! that runs out asks others of its region for the credit of one retry, one after the other. Lending
//! moves credit between hosts and adds none, so the bound of the fleet holds as before; credit in a
//! lost datagram is not recovered.

use std::collections::HashMap;
use std::time::Duration;

use mimosagap_types::prelude::*;
use rand::Rng;
use rand::seq::IteratorRandom;

use crate::hosts::{HostRecord, HostTable};

/// Feature in the record of a host that lends credit. Hosts of earlier builds cannot decode a
/// request for a loan.
pub const LOAN_FEATURE: &str = "retry_loans";

/// Hosts that are asked for one loan. Two thirds of the hosts of a region held enough credit while
/// the others ran out, so more than this many in a row seldom decline.
pub const MAX_LENDERS: usize = 5;

/// Time for which a host that declined is not asked: about the time in which a host of a large fleet
/// gains the credit of one retry.
const DECLINE_TIME: Duration = Duration::from_secs(2);

/// Which hosts declined to lend lately.
#[derive(Debug, Clone, Default)]
pub struct LenderSelector {
    declined_at: HashMap<String, Duration>,
}

impl LenderSelector {
    /// Records that a host has no credit to lend, or did not respond.
    pub fn record_declined(&mut self, name: &str, now: Duration) {
        self.declined_at
            .retain(|_, at| now.saturating_sub(*at) < DECLINE_TIME);
        self.declined_at.insert(name.to_owned(), now);
    }

    /// Picks at random a host of `region` other than `own_host` that has not declined lately; `None`
    /// if there is none.
    pub fn choose<'a>(
        &self,
        hosts: &'a HostTable,
        own_host: &str,
        region: &RegionName,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Option<(&'a str, &'a HostRecord)> {
        let has_declined = |name: &str| {
            let declined_at = self.declined_at.get(name);
            declined_at.is_some_and(|at| now.saturating_sub(*at) < DECLINE_TIME)
        };
        hosts
            .live()
            .filter(|(name, record)| *name != own_host && record.region == *region)
            .filter(|(_, record)| record.has_feature(LOAN_FEATURE))
            .filter(|(name, _)| !has_declined(name))
            .choose(rng)
    }
}
