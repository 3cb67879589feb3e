//! What targets say of themselves in their answers, and how the other hosts hear of it.

use std::cell::RefCell;
use std::time::Duration;

use http::{HeaderMap, StatusCode};
use mimosagap_platform::engine::{busy_for, is_leaving};
use mimosagap_routing::targets::TargetKey;
use serde::{Deserialize, Serialize};

use crate::log::LogEvent;
use crate::state::{Gateway, millis};

/// News are told this often after the first time, because datagrams get lost.
const REPEATS: u32 = 2;

/// What one host tells the others of a target.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct TargetNews {
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
pub struct NewsBoard {
    fresh: RefCell<Vec<TargetNews>>,
    told: RefCell<Vec<(TargetNews, u32)>>,
}

impl NewsBoard {
    fn put(&self, news: TargetNews) {
        self.fresh.borrow_mut().push(news);
    }

    /// What was not told yet.
    pub fn take_fresh(&self) -> Vec<TargetNews> {
        let fresh = self.fresh.take();
        let again = fresh.iter().cloned().map(|news| (news, REPEATS));
        self.told.borrow_mut().extend(again);
        fresh
    }

    /// What is told once more.
    pub fn take_again(&self) -> Vec<TargetNews> {
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
    if let Some(wish) = busy_for(status, headers) {
        let now = gateway.now();
        let is_news = gateway.with(|beliefs| {
            let restraint = beliefs.targets.backoff_mut(key);
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
pub fn take_news(gateway: &Gateway, news: &TargetNews) {
    let now = gateway.now();
    let key = gateway.with(|beliefs| {
        let key = beliefs.targets.find_instance(&news.instance)?;
        let entry = &beliefs.targets.get(key)?.entry;
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
            gateway.with(|beliefs| {
                if let Some(restraint) = beliefs.targets.backoff_mut(key) {
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
    let is_news = gateway.with(|beliefs| beliefs.targets.mark_draining(key, now));
    if is_news {
        gateway.log.event(&LogEvent::TargetLeaving {
            target: &gateway.instance(key),
            source,
        });
        gateway.leaving.notify_waiters();
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
    let entry = gateway.with(|beliefs| beliefs.targets.get(key).map(|known| known.entry.clone()));
    if let Some(entry) = entry {
        gateway.target_news.put(TargetNews {
            instance: entry.instance,
            started_unix_ms: entry.started_unix_ms,
            wish,
        });
        gateway.loads.notify_one();
    }
}
