//! What targets say of themselves in their answers, and how the other hosts hear of it.

use std::cell::RefCell;
use std::time::Duration;

use http::{HeaderMap, StatusCode};
use mimosagap_platform::engine::{is_leaving, retry_after_delay};
use mimosagap_routing::targets::TargetKey;
use serde::{Deserialize, Serialize};

use crate::log::LogEvent;
use crate::state::{Gateway, millis};

/// News are told this often after the first time, because datagrams get lost.
const REPEATS: u32 = 2;

/// What one host tells the others of a target.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct TargetNotice {
    instance: String,
    /// Tells the lives of an instance apart.
    started_unix_ms: u64,
    wish: TargetWish,
}

#[derive(Debug, Clone, Copy)]
#[derive(Serialize, Deserialize)]
enum TargetWish {
    /// It leaves.
    Leaves,
    /// It wants nothing from the host that tells it, for this long.
    Pauses(Duration),
}

/// News that are still to be told.
#[derive(Default)]
pub struct NoticeQueue {
    fresh: RefCell<Vec<TargetNotice>>,
    told: RefCell<Vec<(TargetNotice, u32)>>,
}

impl NoticeQueue {
    fn put(&self, news: TargetNotice) {
        self.fresh.borrow_mut().push(news);
    }

    /// What was not told yet.
    pub fn take_new(&self) -> Vec<TargetNotice> {
        let fresh = self.fresh.take();
        let again = fresh.iter().cloned().map(|news| (news, REPEATS));
        self.told.borrow_mut().extend(again);
        fresh
    }

    /// What is told once more.
    pub fn take_repeats(&self) -> Vec<TargetNotice> {
        let mut told = self.told.borrow_mut();
        let again = told.iter().map(|(news, _)| news.clone()).collect();
        told.retain_mut(|(_, left)| {
            *left -= 1;
            *left > 0
        });
        again
    }
}

/// Takes what a target says of itself in the head of its answer.
pub fn take_head(gateway: &Gateway, key: TargetKey, status: StatusCode, headers: &HeaderMap) {
    // This answer is another target's, at the same address.
    if status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    take_leaving(gateway, key, headers);
    if let Some(wish) = retry_after_delay(status, headers) {
        let now = gateway.now();
        let is_news = gateway.with_state(|state| {
            let restraint = state.targets.backoff_mut(key);
            restraint.is_some_and(|restraint| restraint.record_request(wish, now))
        });
        if is_news {
            log_pause(gateway, key, wish, "answer");
            tell(gateway, key, TargetWish::Pauses(wish));
        }
    }
}

/// Takes only whether a target leaves. An engine that refuses a copy speaks of another engine's
/// room, not of its own.
pub fn take_leaving(gateway: &Gateway, key: TargetKey, headers: &HeaderMap) {
    if is_leaving(headers) {
        leaves(gateway, key, "answer");
    }
}

/// A target leaves, as its answers showed.
pub fn leaves(gateway: &Gateway, key: TargetKey, source: &str) {
    if mark_leaving(gateway, key, source) {
        tell(gateway, key, TargetWish::Leaves);
    }
}

/// Takes what another host tells of a target.
pub fn apply_notice(gateway: &Gateway, news: &TargetNotice) {
    let now = gateway.now();
    let key = gateway.with_state(|state| {
        let key = state.targets.find_instance(&news.instance)?;
        let entry = &state.targets.get(key)?.entry;
        (entry.started_unix_ms == news.started_unix_ms).then_some(key)
    });
    let Some(key) = key else {
        return;
    };
    match news.wish {
        TargetWish::Leaves => {
            mark_leaving(gateway, key, "host");
        }
        TargetWish::Pauses(wish) => {
            gateway.with_state(|state| {
                if let Some(restraint) = state.targets.backoff_mut(key) {
                    restraint.record_peer_request(wish, now);
                }
            });
            log_pause(gateway, key, wish, "host");
        }
    }
}

/// Returns whether that is news.
fn mark_leaving(gateway: &Gateway, key: TargetKey, source: &str) -> bool {
    let now = gateway.now();
    let is_news = gateway.with_state(|state| state.targets.mark_draining(key, now));
    if is_news {
        gateway.log.event(&LogEvent::TargetLeaving {
            target: &gateway.instance(key),
            source,
        });
        gateway.target_leaving.notify_waiters();
    }
    is_news
}

fn log_pause(gateway: &Gateway, key: TargetKey, wish: Duration, source: &str) {
    gateway.log.event(&LogEvent::TargetPauses {
        target: &gateway.instance(key),
        source,
        for_ms: millis(wish),
    });
}

fn tell(gateway: &Gateway, key: TargetKey, wish: TargetWish) {
    let entry = gateway.with_state(|state| state.targets.get(key).map(|known| known.entry.clone()));
    if let Some(entry) = entry {
        gateway.target_notices.put(TargetNotice {
            instance: entry.instance,
            started_unix_ms: entry.started_unix_ms,
            wish,
        });
        gateway.peer_update_due.notify_one();
    }
}
