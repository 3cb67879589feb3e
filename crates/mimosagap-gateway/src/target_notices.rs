//! Signals of targets in their responses: that they leave, or request a backoff.
//!
//! Each signal is passed on to the other hosts as a notice.

use std::time::Duration;

use http::{HeaderMap, StatusCode};
use mimosagap_platform::engine::{cold_claim, is_leaving, named_rate_limit, retry_after_delay};
use mimosagap_platform::names::{COLD_MS, RATE_LIMIT};
use mimosagap_routing::cold_rate::ColdClaim;
use mimosagap_routing::keeper_selection::is_keeper;
use mimosagap_routing::rate_limit::{RateChange, RateStatement};
use mimosagap_routing::targets::TargetKey;
use serde::{Deserialize, Serialize};

use crate::header_audit;
use crate::log::LogEvent;
use crate::state::{Gateway, millis};

/// A target's signal as one host passes it on to the others.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct TargetNotice {
    instance: String,
    /// Start time of the target; a restarted instance has another one.
    started_unix_ms: u64,
    signal: TargetSignal,
}

#[derive(Debug, Clone, Copy)]
#[derive(Serialize, Deserialize)]
enum TargetSignal {
    Leaving,
    /// The target wants no requests for this long from the host that sends the notice.
    Backoff(Duration),
    /// The target names a rate limit for all hosts, or names none any more. In a datagram, ages
    /// stand for the times.
    Rate(RateStatement),
}

impl TargetNotice {
    /// The notice as it is sent, with ages instead of times.
    pub fn to_ages(&self, now: Duration) -> Self {
        let signal = match self.signal {
            TargetSignal::Rate(statement) => TargetSignal::Rate(statement.to_ages(now)),
            signal => signal,
        };
        Self {
            signal,
            ..self.clone()
        }
    }
}

/// Reads a target's signals from the head of its response to a request sent at `asked_at`.
pub fn observe_head(
    gateway: &Gateway,
    key: TargetKey,
    status: StatusCode,
    headers: &HeaderMap,
    asked_at: Duration,
) {
    // The response comes from another target at the same address.
    if status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    header_audit::observe_unknown_headers(gateway, key, headers);
    observe_leaving(gateway, key, headers);
    observe_rate_limit(gateway, key, headers, asked_at);
    observe_cold(gateway, key, headers);
    if let Some(retry_after) = retry_after_delay(status, headers) {
        let now = gateway.now();
        let is_new = gateway.with_state(|state| {
            let backoff = state.targets.backoff_mut(key);
            backoff.is_some_and(|backoff| backoff.record_request(retry_after, now))
        });
        if is_new {
            log_backoff(gateway, key, retry_after, "answer");
            queue_notice(gateway, key, TargetSignal::Backoff(retry_after));
        }
    }
}

/// Reads only the signal that a target leaves. An engine that refuses a copy reports the capacity
/// of the destination, not its own.
pub fn observe_leaving(gateway: &Gateway, key: TargetKey, headers: &HeaderMap) {
    if is_leaving(headers) {
        report_leaving(gateway, key, "answer");
    }
}

/// Records for how long a target says that it stays cold.
pub fn observe_cold(gateway: &Gateway, key: TargetKey, headers: &HeaderMap) {
    let claim = cold_claim(headers);
    if claim != ColdClaim::Unstated {
        record_cold_claim(gateway, key, claim, "answer");
    }
}

/// Records for how long a target says that it stays cold, and logs when it becomes cold. A value
/// that cannot be used is logged once per target.
pub fn record_cold_claim(gateway: &Gateway, key: TargetKey, claim: ColdClaim, source: &str) {
    let now = gateway.now();
    let recorded = gateway.with_state(|state| {
        let target = state.targets.get_mut(key)?;
        let spec = target.cold.spec?;
        let (_, is_corrected) = claim.cold_time(&spec);
        Some((target.cold.record_claim(claim, now), is_corrected))
    });
    let Some((is_new, is_corrected)) = recorded else {
        return;
    };
    if is_corrected {
        let cause = "the time for which the target stays cold is taken as that after a start";
        header_audit::report_unreadable(gateway, key, COLD_MS, cause);
    }
    if is_new {
        log_cold(gateway, key, source);
    }
}

/// Logs that an engine counts as cold.
pub fn log_cold(gateway: &Gateway, key: TargetKey, source: &str) {
    let now = gateway.now();
    let cold = gateway.with_state(|state| Some(state.targets.get(key)?.cold));
    if let Some(cold) = cold.filter(|cold| cold.is_cold(now)) {
        gateway.log.event(&LogEvent::TargetCold {
            target: &gateway.instance(key),
            source,
            remaining_ms: millis(cold.remaining(now)),
            per_second: cold.per_second().unwrap_or_default(),
        });
    }
}

/// Records the rate limit that a target names in the response to a request sent at `asked_at`. A
/// limit that cannot be read does not replace the one before.
pub fn observe_rate_limit(
    gateway: &Gateway,
    key: TargetKey,
    headers: &HeaderMap,
    asked_at: Duration,
) {
    match named_rate_limit(headers) {
        Ok(per_second) => {
            let statement = RateStatement {
                per_second,
                asked_at,
                heard_at: gateway.now(),
            };
            let change = record_statement(gateway, key, statement, "answer");
            if change.concerns_other_hosts() {
                queue_notice(gateway, key, TargetSignal::Rate(statement));
            }
        }
        Err(error) => {
            let cause = error.to_string();
            header_audit::report_unreadable(gateway, key, RATE_LIMIT, &cause);
        }
    }
}

/// Records what a target said of its rate limit, to this host or another one.
pub fn record_statement(
    gateway: &Gateway,
    key: TargetKey,
    statement: RateStatement,
    source: &str,
) -> RateChange {
    let now = gateway.now();
    let change = gateway.with_state(|state| state.targets.record_rate(key, statement, now));
    if change == RateChange::Unchanged {
        return change;
    }
    let target = gateway.instance(key);
    let changes = &gateway.metrics.target_signals.limit_changes;
    changes.with_label_values(&[source]).inc();
    gateway.log.event(&LogEvent::TargetRateLimit {
        target: &target,
        source,
        per_second: statement.per_second,
    });
    if change == RateChange::Ended {
        gateway.capacity_freed.notify_waiters();
    }
    change
}

/// Tells the other hosts the limits that this host keeps, because one of them has just started.
pub fn announce_rate_limits(gateway: &Gateway) {
    let now = gateway.now();
    let limited: Vec<(TargetKey, RateStatement)> = gateway.with_state(|state| {
        let limited = state.targets.iter().filter_map(|(key, target)| {
            target.rate.named_for(now)?;
            let region = state.targets.region_of(key);
            let host = &gateway.settings.host;
            is_keeper(&state.hosts, region, host).then_some(())?;
            Some((key, target.rate.newest()?))
        });
        limited.collect()
    });
    for (key, statement) in limited {
        queue_notice(gateway, key, TargetSignal::Rate(statement));
    }
}

/// Marks a target as leaving because of its response, and notifies the other hosts if that is new.
pub fn report_leaving(gateway: &Gateway, key: TargetKey, source: &str) {
    if mark_leaving(gateway, key, source) {
        queue_notice(gateway, key, TargetSignal::Leaving);
    }
}

/// Applies a notice from another host. It is ignored if the target is unknown or was restarted.
pub fn apply_notice(gateway: &Gateway, notice: &TargetNotice) {
    let now = gateway.now();
    let key = gateway.with_state(|state| {
        let key = state.targets.find_instance(&notice.instance)?;
        let entry = &state.targets.get(key)?.entry;
        (entry.started_unix_ms == notice.started_unix_ms).then_some(key)
    });
    let Some(key) = key else {
        return;
    };
    match notice.signal {
        TargetSignal::Leaving => {
            mark_leaving(gateway, key, "host");
        }
        TargetSignal::Backoff(retry_after) => {
            gateway.with_state(|state| {
                if let Some(backoff) = state.targets.backoff_mut(key) {
                    backoff.record_peer_request(retry_after, now);
                }
            });
            log_backoff(gateway, key, retry_after, "host");
        }
        TargetSignal::Rate(statement) => {
            record_statement(gateway, key, statement.from_ages(now), "host");
        }
    }
}

/// Marks a target as leaving and returns whether it was not marked before.
fn mark_leaving(gateway: &Gateway, key: TargetKey, source: &str) -> bool {
    let now = gateway.now();
    let is_new = gateway.with_state(|state| state.targets.mark_draining(key, now));
    if is_new {
        gateway.log.event(&LogEvent::TargetLeaving {
            target: &gateway.instance(key),
            source,
        });
        gateway.target_leaving.notify_waiters();
    }
    is_new
}

fn log_backoff(gateway: &Gateway, key: TargetKey, retry_after: Duration, source: &str) {
    gateway.log.event(&LogEvent::TargetPauses {
        target: &gateway.instance(key),
        source,
        for_ms: millis(retry_after),
    });
}

fn queue_notice(gateway: &Gateway, key: TargetKey, signal: TargetSignal) {
    let entry =
        gateway.with_state(|state| state.targets.get(key).map(|target| target.entry.clone()));
    if let Some(entry) = entry {
        let notice = TargetNotice {
            instance: entry.instance,
            started_unix_ms: entry.started_unix_ms,
            signal,
        };
        let replaced_rate =
            matches!(signal, TargetSignal::Rate(_)).then(|| notice.instance.clone());
        gateway.target_notices.push(notice, |other| {
            replaced_rate.as_ref() == Some(&other.instance)
                && matches!(other.signal, TargetSignal::Rate(_))
        });
        gateway.peer_update_due.notify_one();
    }
}
