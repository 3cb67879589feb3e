//! Watches the waits of this host's generations for engines that hang, and shares with the other
//! hosts which engines are suspected.
//!
//! The host that reports an engine renews the report while its request waits, and tells all hosts
//! when it hears from the engine. A host that heard from a reported engine replies only to the host
//! that reported it, so that a busy engine does not cause a notice of each host that uses it.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mimosagap_routing::target_suspicion::{
    ClearedSuspicion, EventWait, HangEvidence, LifeSign, ReportEffect, Standing, WaitVerdict,
    last_contact_with_others,
};
use mimosagap_routing::targets::TargetKey;
use mimosagap_types::prelude::*;
use rand::Rng;
use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::log::LogEvent;
use crate::state::{Gateway, SharedGateway, millis};

/// Interval at which a wait that is overdue, or that has nothing to wait for, is judged again.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Longest wait for a connection to another target, which shows that this host's link works. A
/// round trip between regions takes 60 ms.
const LINK_CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// What one host tells another of a target that may hang.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HangNotice {
    instance: String,
    /// Start time of the target; a restarted instance has another one.
    started_unix_ms: u64,
    signal: HangSignal,
}

/// In a datagram, ages stand for the times.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
enum HangSignal {
    /// A host found evidence that the target hangs.
    Suspected(HangEvidence, Duration),
    /// A host heard from the target.
    Heard(LifeSign, Duration),
}

impl HangNotice {
    /// The notice as it is sent, with ages instead of times.
    pub fn to_ages(&self, now: Duration) -> Self {
        let signal = match self.signal {
            HangSignal::Suspected(evidence, at) => {
                HangSignal::Suspected(evidence, now.saturating_sub(at))
            }
            HangSignal::Heard(sign, at) => HangSignal::Heard(sign, now.saturating_sub(at)),
        };
        Self {
            signal,
            ..self.clone()
        }
    }
}

/// Whether this deployment enables the suspicion of targets.
fn is_enabled(gateway: &Gateway) -> bool {
    gateway.has_unreliable_targets()
}

/// Watches the wait of one generation for events of its engine, until it is dropped.
pub struct HangWatch {
    wait: Rc<Cell<Option<EventWait>>>,
    task: AbortHandle,
}

impl HangWatch {
    /// Starts to watch a wait. `None` if the deployment does not enable it.
    pub fn start(
        gateway: &SharedGateway,
        target: TargetKey,
        service: &DeploymentName,
        wait: EventWait,
    ) -> Option<Self> {
        if !is_enabled(gateway) {
            return None;
        }
        let wait = Rc::new(Cell::new(Some(wait)));
        let watcher = Watcher {
            gateway: Rc::clone(gateway),
            target,
            service: service.clone(),
            wait: Rc::clone(&wait),
        };
        let task = tokio::task::spawn_local(watcher.run()).abort_handle();
        Some(Self { wait, task })
    }

    /// Replaces the wait; `None` while the generation does not wait for its engine.
    pub fn set_wait(&self, wait: Option<EventWait>) {
        self.wait.set(wait);
    }
}

impl Drop for HangWatch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Watcher {
    gateway: SharedGateway,
    target: TargetKey,
    service: DeploymentName,
    wait: Rc<Cell<Option<EventWait>>>,
}

impl Watcher {
    async fn run(self) {
        let mut link_checked_at = Duration::ZERO;
        let mut is_withheld = false;
        loop {
            let now = self.gateway.now();
            let Some((wait, verdict)) = self.judge(link_checked_at, now) else {
                tokio::time::sleep(CHECK_INTERVAL).await;
                continue;
            };
            match verdict {
                WaitVerdict::WaitUntil(due_at) => {
                    tokio::time::sleep(due_at.saturating_sub(now)).await;
                }
                WaitVerdict::CheckLink if self.reaches_another_target().await => {
                    link_checked_at = self.gateway.now();
                    is_withheld = false;
                }
                WaitVerdict::CheckLink => {
                    if !std::mem::replace(&mut is_withheld, true) {
                        self.log_withheld(wait);
                    }
                    tokio::time::sleep(CHECK_INTERVAL).await;
                }
                WaitVerdict::Suspect(evidence) => {
                    report(&self.gateway, self.target, evidence, wait);
                    tokio::time::sleep(CHECK_INTERVAL).await;
                }
            }
        }
    }

    /// Judges the current wait; `None` if there is none or the target is gone.
    fn judge(&self, link_checked_at: Duration, now: Duration) -> Option<(EventWait, WaitVerdict)> {
        let wait = self.wait.get()?;
        self.gateway.with_state(|state| {
            let targets = &state.targets;
            let target = targets.get(self.target)?;
            let contact = last_contact_with_others(targets, &self.service, self.target);
            let link_proved_at = contact.max(link_checked_at);
            Some((wait, wait.judge(&target.suspicion, link_proved_at, now)))
        })
    }

    /// Whether another target of the service accepts a connection.
    async fn reaches_another_target(&self) -> bool {
        let address = self.gateway.with_state(|state| {
            let others: Vec<SocketAddr> = state
                .targets
                .of_service(&self.service)
                .filter(|(key, target)| *key != self.target && target.removed_at.is_none())
                .map(|(_, target)| target.entry.address)
                .collect();
            (!others.is_empty()).then(|| others[state.rng.random_range(0..others.len())])
        });
        let Some(address) = address else {
            return false;
        };
        let connection = timeout(LINK_CHECK_TIMEOUT, TcpStream::connect(address)).await;
        matches!(connection, Ok(Ok(_)))
    }

    fn log_withheld(&self, wait: EventWait) {
        count_step(&self.gateway, "withheld");
        self.gateway.log.event(&LogEvent::SuspicionWithheld {
            target: &self.gateway.instance(self.target),
            waited_ms: waited_ms(&self.gateway, wait),
        });
    }
}

/// Records a sign of life of a target.
pub fn record_sign(gateway: &Gateway, key: TargetKey, sign: LifeSign) {
    if !is_enabled(gateway) {
        return;
    }
    let now = gateway.now();
    let cleared = gateway.with_state(|state| {
        let target = state.targets.get_mut(key)?;
        target.suspicion.record_sign(sign, now)
    });
    if let Some(cleared) = cleared {
        let source = match sign {
            LifeSign::Event => "event",
            LifeSign::Answer => "answer",
        };
        note_cleared(gateway, key, cleared, source);
        if cleared.is_reporter {
            queue_notice(gateway, key, HangSignal::Heard(sign, now));
        }
    }
}

/// Applies notices of another host. Returns the replies to that host.
pub fn apply_notices(gateway: &Gateway, notices: &[HangNotice]) -> Vec<HangNotice> {
    if !is_enabled(gateway) {
        return Vec::new();
    }
    let replies = notices.iter();
    replies
        .filter_map(|notice| apply_notice(gateway, notice))
        .collect()
}

/// Applies a notice, and returns a reply if this host heard from the target that it reports. A
/// notice of an unknown or restarted target is ignored.
fn apply_notice(gateway: &Gateway, notice: &HangNotice) -> Option<HangNotice> {
    let now = gateway.now();
    let key = gateway.with_state(|state| {
        let key = state.targets.find_instance(&notice.instance)?;
        let entry = &state.targets.get(key)?.entry;
        (entry.started_unix_ms == notice.started_unix_ms).then_some(key)
    })?;
    match notice.signal {
        HangSignal::Suspected(evidence, age) => {
            let reported_at = now.saturating_sub(age);
            let sign = evidence.contradicting_sign();
            let (effect, heard_at) = gateway.with_state(|state| {
                let suspicion = &mut state.targets.get_mut(key)?.suspicion;
                let effect = suspicion.record_report(evidence, reported_at, false, now);
                Some((effect, suspicion.heard_here_at(sign)))
            })?;
            note_report(gateway, key, evidence, effect, "host", age);
            (effect == ReportEffect::Contradicted).then(|| HangNotice {
                signal: HangSignal::Heard(sign, now.saturating_sub(heard_at)),
                ..notice.clone()
            })
        }
        HangSignal::Heard(sign, age) => {
            let heard_at = now.saturating_sub(age);
            let cleared = gateway.with_state(|state| {
                let target = state.targets.get_mut(key)?;
                target.suspicion.record_peer_sign(sign, heard_at, now)
            })?;
            note_cleared(gateway, key, cleared, "host");
            if cleared.is_reporter {
                queue_notice(gateway, key, HangSignal::Heard(sign, heard_at));
            }
            None
        }
    }
}

/// Suspects a target because of a request of this host, and tells the other hosts if they do not
/// know.
fn report(gateway: &Gateway, key: TargetKey, evidence: HangEvidence, wait: EventWait) {
    let now = gateway.now();
    let effect = gateway.with_state(|state| {
        let suspicion = &mut state.targets.get_mut(key)?.suspicion;
        let is_due = suspicion.is_report_due(evidence, now);
        let may_send = is_due
            && gateway
                .hang_budget
                .borrow_mut()
                .try_spend(state.hosts.len(), now);
        // Without credit the suspicion holds for this host alone, until it lapses.
        (may_send || suspicion.standing(now) == Standing::Trusted).then(|| {
            (
                suspicion.record_report(evidence, now, may_send, now),
                may_send,
            )
        })
    });
    let Some((effect, may_send)) = effect else {
        return;
    };
    let waited = Duration::from_millis(waited_ms(gateway, wait));
    note_report(gateway, key, evidence, effect, "wait", waited);
    match effect {
        ReportEffect::Suspected | ReportEffect::Renewed if may_send => {
            queue_notice(gateway, key, HangSignal::Suspected(evidence, now));
        }
        ReportEffect::Suspected
        | ReportEffect::Renewed
        | ReportEffect::Contradicted
        | ReportEffect::Outdated => {}
    }
}

fn note_report(
    gateway: &Gateway,
    key: TargetKey,
    evidence: HangEvidence,
    effect: ReportEffect,
    source: &str,
    waited: Duration,
) {
    let step = match effect {
        ReportEffect::Suspected => "suspected",
        ReportEffect::Renewed => "renewed",
        ReportEffect::Contradicted => "contradicted",
        ReportEffect::Outdated => return,
    };
    count_step(gateway, step);
    if effect != ReportEffect::Renewed {
        gateway.log.event(&LogEvent::TargetSuspected {
            target: &gateway.instance(key),
            source,
            evidence: evidence.name(),
            step,
            waited_ms: millis(waited),
        });
    }
}

fn note_cleared(gateway: &Gateway, key: TargetKey, cleared: ClearedSuspicion, source: &str) {
    count_step(gateway, "cleared");
    gateway.log.event(&LogEvent::SuspicionCleared {
        target: &gateway.instance(key),
        source,
        after_ms: millis(cleared.duration),
    });
    gateway.capacity_freed.notify_waiters();
}

fn count_step(gateway: &Gateway, step: &str) {
    let steps = &gateway.metrics.target_signals.suspicions;
    steps.with_label_values(&[step]).inc();
}

fn waited_ms(gateway: &Gateway, wait: EventWait) -> u64 {
    let since = match wait {
        EventWait::First { sent_at, .. } => sent_at,
        EventWait::Next { since } => since,
    };
    millis(gateway.now().saturating_sub(since))
}

/// Queues a notice for all hosts in place of an unsent one of the same target.
fn queue_notice(gateway: &Gateway, key: TargetKey, signal: HangSignal) {
    let entry =
        gateway.with_state(|state| state.targets.get(key).map(|target| target.entry.clone()));
    if let Some(entry) = entry {
        let notice = HangNotice {
            instance: entry.instance,
            started_unix_ms: entry.started_unix_ms,
            signal,
        };
        let instance = notice.instance.clone();
        let notices = &gateway.hang_notices;
        notices.push(notice, |other| other.instance == instance);
        gateway.peer_update_due.notify_one();
    }
}
