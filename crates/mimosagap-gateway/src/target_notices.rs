//! Signals of targets in their responses: that they leave, or request a backoff.
//!
//! Each signal is passed on to the other hosts as a notice.

use std::cell::RefCell;
use std::time::Duration;

use http::{HeaderMap, StatusCode};
use mimosagap_platform::engine::{is_leaving, named_rate_limit, retry_after_delay};
use mimosagap_routing::targets::TargetKey;
use serde::{Deserialize, Serialize};

use crate::log::LogEvent;
use crate::state::{Gateway, millis};

/// How often a notice is sent again after the first time, because datagrams get lost.
const REPEAT_COUNT: u32 = 2;

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
}

/// Notices that are still to be sent to the other hosts.
#[derive(Default)]
pub struct NoticeQueue {
    unsent: RefCell<Vec<TargetNotice>>,
    repeats: RefCell<Vec<(TargetNotice, u32)>>,
}

impl NoticeQueue {
    fn push(&self, notice: TargetNotice) {
        self.unsent.borrow_mut().push(notice);
    }

    /// Removes the notices that were not sent yet, and schedules them to be repeated.
    pub fn take_new(&self) -> Vec<TargetNotice> {
        let unsent = self.unsent.take();
        let due = unsent.iter().cloned().map(|notice| (notice, REPEAT_COUNT));
        self.repeats.borrow_mut().extend(due);
        unsent
    }

    /// Notices that are due to be sent again; each call counts as one repeat.
    pub fn take_repeats(&self) -> Vec<TargetNotice> {
        let mut repeats = self.repeats.borrow_mut();
        let due = repeats.iter().map(|(notice, _)| notice.clone()).collect();
        repeats.retain_mut(|(_, repeats_left)| {
            *repeats_left -= 1;
            *repeats_left > 0
        });
        due
    }
}

/// Reads a target's signals from its response head.
pub fn observe_head(gateway: &Gateway, key: TargetKey, status: StatusCode, headers: &HeaderMap) {
    // The response comes from another target at the same address.
    if status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    observe_leaving(gateway, key, headers);
    observe_rate_limit(gateway, key, headers);
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

/// Records the rate limit that a target names. A limit that cannot be read does not replace the one
/// before.
fn observe_rate_limit(gateway: &Gateway, key: TargetKey, headers: &HeaderMap) {
    match named_rate_limit(headers) {
        Ok(named_rate) => {
            if gateway.with_state(|state| state.targets.record_named_rate(key, named_rate)) {
                let source = "answer";
                gateway
                    .metrics
                    .rate_limit_changes
                    .with_label_values(&[source])
                    .inc();
                gateway.log.event(&LogEvent::TargetRateLimit {
                    target: &gateway.instance(key),
                    source,
                    per_second: named_rate,
                });
            }
        }
        Err(error) => gateway.log.event(&LogEvent::Trouble {
            what: "the rate limit of a target cannot be read; the one before stays in force",
            cause: error.to_string(),
        }),
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
        gateway.target_notices.push(TargetNotice {
            instance: entry.instance,
            started_unix_ms: entry.started_unix_ms,
            signal,
        });
        gateway.peer_update_due.notify_one();
    }
}
