//! Whether a host still reaches the targets of a service.
//!
//! A host can lose its links to all targets while callers, the store and the other hosts reach it.
//! Each attempt then fails on its own, after a timeout if the links are silent. A host that keeps
//! trying one target after the other refuses what other hosts could serve. Failures of several
//! targets without a sign of life from any of them in between mean that the host is cut off, or that
//! the targets are gone; in both cases another host is asked. A sign of life ends the belief at once.

use std::time::Duration;

use crate::targets::TargetKey;

/// Targets in a row whose failures show that the host is cut off. Fewer suffice if the service has
/// fewer.
const FAILED_TARGETS: usize = 3;

/// Time after which a failure no longer counts.
const FAILURE_TTL: Duration = Duration::from_secs(5);

/// What a host knows of its links to the targets of one service.
#[derive(Debug, Clone, Default)]
pub struct TargetReach {
    /// Targets that failed since one last responded, and when.
    failures: Vec<(TargetKey, Duration)>,
    /// Since when the host believes that it is cut off.
    isolated_since: Option<Duration>,
}

/// A change of the belief that the host is cut off from the targets of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReachChange {
    /// The host is cut off.
    Lost,
    /// A target responded again, after the host was cut off for this long.
    Regained(Duration),
}

impl TargetReach {
    /// Records that a target responded or accepted a connection.
    pub fn record_contact(&mut self, now: Duration) -> Option<ReachChange> {
        self.failures.clear();
        let since = self.isolated_since.take()?;
        Some(ReachChange::Regained(now.saturating_sub(since)))
    }

    /// Records that a target could not be reached or did not respond. `target_count` is the number
    /// of targets that the host knows.
    pub fn record_failure(
        &mut self,
        target: TargetKey,
        target_count: usize,
        now: Duration,
    ) -> Option<ReachChange> {
        self.failures
            .retain(|(key, at)| *key != target && now.saturating_sub(*at) < FAILURE_TTL);
        self.failures.push((target, now));
        let required = FAILED_TARGETS.min(target_count).max(1);
        if self.isolated_since.is_some() || self.failures.len() < required {
            return None;
        }
        self.isolated_since = Some(now);
        Some(ReachChange::Lost)
    }

    /// Whether the host believes that it is cut off.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        self.isolated_since.is_some()
    }
}
