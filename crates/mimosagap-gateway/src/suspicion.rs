//! Shares with the other hosts what is known of requests that crash targets.
//!
//! Each notice travels in datagrams, which arrive in milliseconds, and crashes and verdicts also as
//! records of the store, for hosts that are cut off from the others or start later.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use mimosagap_routing::hashing::stable_hash;
use mimosagap_routing::keeper_selection::is_keeper;
use mimosagap_routing::quarantine::{
    Admission, BlockedTrait, CRASH_RETENTION, CrashReport, RequestTrait, RequestTraits, Verdict,
};
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::log::LogEvent;
use crate::notice_queue::NoticeQueue;
use crate::request::RoutedRequest;
use crate::state::{Gateway, GatewayState, SharedGateway};

/// Prefix of the store keys of notices.
pub const SUSPICIONS_PREFIX: &str = "mimosagap/suspicions/";

/// Time to live of the notices in the store, as long as the crashes are kept.
pub const RECORD_TTL: Duration = CRASH_RETENTION;

/// Many hosts may know that a part is sound. Each waits for a random time up to this one, and longer
/// for each host of the fleet, and only those tell the others that have not heard it meanwhile.
const MIN_PROOF_SPREAD: Duration = Duration::from_millis(100);
const PROOF_SPREAD_PER_HOST: Duration = Duration::from_millis(2);

/// Time for which a proof that all hosts heard is not told again.
const PROOF_INTERVAL: Duration = Duration::from_secs(5);

/// Most records that wait to be written to the store; more would only repeat the verdicts.
const MAX_PENDING_RECORDS: usize = 64;

/// Most proofs whose last announcement is remembered.
const MAX_ANNOUNCED_PROOFS: usize = 256;

/// What one host tells the others of requests that crash targets.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum SuspicionNotice {
    /// A target crashed under a request.
    Crash(CrashReport),
    /// Requests are refused from now on.
    Blocked {
        /// What is refused.
        blocked: BlockedTrait,
        /// Crashes that led to the verdict.
        crashes: usize,
    },
    /// A suspected trait was proved sound.
    Sound(RequestTrait),
}

impl SuspicionNotice {
    /// Key of its record in the store.
    fn record_key(&self, host_hash: u64) -> String {
        let (kind, id) = match self {
            Self::Crash(report) => {
                let (crash, request) = (report.crash.0, report.request.fingerprint);
                let key = format!("crash/{crash:016x}/{request}/{host_hash:016x}");
                return format!("{SUSPICIONS_PREFIX}{key}");
            }
            Self::Blocked { blocked, .. } => ("blocked", encode(blocked)),
            Self::Sound(proved) => ("sound", encode(proved)),
        };
        format!("{SUSPICIONS_PREFIX}{kind}/{:016x}", stable_hash(&[&id]))
    }
}

/// Encodes a message; encoding into memory does not fail.
fn encode(message: &impl Serialize) -> Vec<u8> {
    bincode::serde::encode_to_vec(message, bincode::config::standard()).unwrap_or_default()
}

/// A notice with the time of what it tells, on the clock of this host.
#[derive(Debug, Clone)]
pub struct TimedNotice {
    notice: SuspicionNotice,
    at: Duration,
}

/// A notice as it is sent: an age stands for the time.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct AgedNotice {
    notice: SuspicionNotice,
    age: Duration,
}

impl TimedNotice {
    /// The notice as it is sent at `now`.
    pub fn to_ages(&self, now: Duration) -> AgedNotice {
        AgedNotice {
            notice: self.notice.clone(),
            age: now.saturating_sub(self.at),
        }
    }
}

/// A notice to be written to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspicionRecord {
    /// Key in full.
    pub key: String,
    /// The encoded notice.
    pub value: Vec<u8>,
}

/// Notices that this host still has to send or to write.
#[derive(Default)]
pub struct SuspicionExchange {
    /// Notices to the other hosts.
    pub notices: NoticeQueue<TimedNotice>,
    /// Records to be written to the store.
    pub pending_records: RefCell<Vec<SuspicionRecord>>,
    /// Records that this host wrote or is to write, and since when; for a store that lost them.
    own_records: RefCell<VecDeque<(Duration, SuspicionRecord)>>,
    /// When each proof was last told to all hosts.
    announced_proofs: RefCell<HashMap<RequestTrait, Duration>>,
}

impl SuspicionExchange {
    /// Adds a record to be written to the store. Returns whether there is room for it.
    fn push_record(&self, record: SuspicionRecord, now: Duration) -> bool {
        let mut pending = self.pending_records.borrow_mut();
        if pending.len() >= MAX_PENDING_RECORDS {
            return false;
        }
        let mut own = self.own_records.borrow_mut();
        own.retain(|(since, _)| now.saturating_sub(*since) < RECORD_TTL);
        if own.len() >= MAX_PENDING_RECORDS {
            own.pop_front();
        }
        own.push_back((now, record.clone()));
        pending.push(record);
        true
    }

    /// Schedules all records of this host to be written again, because the store lost them.
    pub fn rewrite_records(&self, now: Duration) {
        let own = self.own_records.borrow();
        let recent = own
            .iter()
            .filter(|(since, _)| now.saturating_sub(*since) < RECORD_TTL);
        let records = recent.map(|(_, record)| record.clone()).collect();
        *self.pending_records.borrow_mut() = records;
    }

    /// Notes that all hosts are told of a proof. Returns whether they were not told lately.
    fn note_announcement(&self, proved: RequestTrait, now: Duration) -> bool {
        let mut announced = self.announced_proofs.borrow_mut();
        announced.retain(|_, at| now.saturating_sub(*at) < PROOF_INTERVAL);
        if announced.len() >= MAX_ANNOUNCED_PROOFS {
            announced.clear();
        }
        announced.insert(proved, now).is_none()
    }
}

/// Decides whether a request may run, and logs a trial.
pub fn admit(gateway: &Gateway, id: &str, traits: &RequestTraits) -> Admission {
    let now = gateway.now();
    let admission = gateway.with_state(|state| {
        let GatewayState {
            quarantine, hosts, ..
        } = state;
        let is_trial_host = || is_keeper(hosts, None, &gateway.settings.host);
        quarantine.admit(traits, is_trial_host, now)
    });
    if let Admission::OnTrial(blocked) = &admission {
        gateway.log.event(&LogEvent::QuarantineTrial {
            id,
            what: blocked.to_string(),
        });
    }
    admission
}

/// Whether a request must not be sent any more because of a verdict that came after its admission.
pub fn is_blocked(gateway: &Gateway, request: &RoutedRequest) -> bool {
    !request.is_trial
        && gateway.with_state(|state| state.quarantine.blocking_verdict(&request.traits).is_some())
}

/// Waits until a verdict blocks a request.
pub async fn blocked(gateway: &Gateway, request: &RoutedRequest) {
    loop {
        let quarantine_changed = gateway.quarantine_changed.notified();
        if is_blocked(gateway, request) {
            return;
        }
        quarantine_changed.await;
    }
}

/// Records that a target crashed at `crashed_at` under a request of this host.
pub fn report_crash(gateway: &SharedGateway, report: CrashReport, crashed_at: Duration) {
    let verdict = record_crash(gateway, &report, crashed_at);
    let notice = SuspicionNotice::Crash(report);
    share(gateway, notice, crashed_at, true);
    // The other hosts judge by the same crashes. The verdict is for those that missed one, and one
    // host tells it: this one, which saw the last crash.
    if let Some(verdict) = verdict {
        share(gateway, verdict_notice(&verdict), crashed_at, true);
    }
}

/// Records that the answer to a request went on for long enough to prove it sound.
pub fn report_sound(gateway: &SharedGateway, traits: &RequestTraits) {
    let now = gateway.now();
    let suspected = gateway.with_state(|state| state.quarantine.record_sound(traits, now));
    announce_proofs(gateway, suspected, now);
}

/// Tells the other hosts the verdicts, because one of them has just started.
pub fn announce_verdicts(gateway: &Gateway) {
    let verdicts = gateway.with_state(|state| {
        let verdicts = state.quarantine.verdicts();
        let is_announcer =
            !verdicts.is_empty() && is_keeper(&state.hosts, None, &gateway.settings.host);
        if is_announcer {
            verdicts.to_vec()
        } else {
            Vec::new()
        }
    });
    let now = gateway.now();
    for verdict in verdicts {
        let crashed_at = now.saturating_sub(verdict.age(now));
        share(gateway, verdict_notice(&verdict), crashed_at, false);
    }
}

/// Applies a notice that another host sent.
pub fn apply_notice(gateway: &SharedGateway, notice: &AgedNotice) {
    let at = gateway.now().saturating_sub(notice.age);
    apply(gateway, &notice.notice, at);
}

/// Applies a record of the store. What it tells was some moments ago at most, or happened before
/// this host read the store for the first time.
pub fn apply_record(gateway: &SharedGateway, value: &[u8]) {
    match bincode::serde::decode_from_slice(value, bincode::config::standard()) {
        Ok((notice, _)) => apply(gateway, &notice, gateway.now()),
        Err(error) => gateway.log.event(&LogEvent::Trouble {
            what: "a record of a crash cannot be decoded",
            cause: error.to_string(),
        }),
    }
}

fn apply(gateway: &SharedGateway, notice: &SuspicionNotice, at: Duration) {
    match notice {
        SuspicionNotice::Crash(report) => {
            record_crash(gateway, report, at);
            answer_with_proofs(gateway, &report.request, at);
        }
        SuspicionNotice::Blocked { blocked, crashes } => {
            let now = gateway.now();
            let is_new = gateway.with_state(|state| {
                let quarantine = &mut state.quarantine;
                quarantine.apply_verdict(blocked, *crashes, at, now)
            });
            if is_new {
                log_verdict(gateway, blocked, *crashes, "host");
            }
        }
        SuspicionNotice::Sound(proved) => {
            gateway.suspicions.note_announcement(*proved, gateway.now());
            gateway.with_state(|state| state.quarantine.apply_sound(*proved, at));
            log_proof(gateway, *proved, "host");
        }
    }
}

fn record_crash(gateway: &Gateway, report: &CrashReport, at: Duration) -> Option<Verdict> {
    let verdict = gateway.with_state(|state| state.quarantine.record_crash(report, at))?;
    log_verdict(gateway, &verdict.blocked, verdict.crashes, "crash");
    Some(verdict)
}

fn verdict_notice(verdict: &Verdict) -> SuspicionNotice {
    SuspicionNotice::Blocked {
        blocked: verdict.blocked.clone(),
        crashes: verdict.crashes,
    }
}

/// Tells the other hosts which traits of a suspected request this host knows to be sound.
fn answer_with_proofs(gateway: &SharedGateway, request: &RequestTraits, crashed_at: Duration) {
    let proved: Vec<RequestTrait> = gateway.with_state(|state| {
        let proved = state.quarantine.proved_traits(request, crashed_at);
        proved.collect()
    });
    announce_proofs(gateway, proved, crashed_at);
}

/// Tells the other hosts that traits were proved sound at `proved_at`, after a random delay and
/// unless they heard it lately.
fn announce_proofs(gateway: &SharedGateway, proved: Vec<RequestTrait>, proved_at: Duration) {
    if proved.is_empty() {
        return;
    }
    let delay = gateway.with_state(|state| {
        let host_count = u32::try_from(state.hosts.len()).unwrap_or(u32::MAX);
        let spread = MIN_PROOF_SPREAD + PROOF_SPREAD_PER_HOST.saturating_mul(host_count);
        spread.mul_f64(state.rng.random())
    });
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        tokio::time::sleep(delay).await;
        let now = gateway.now();
        for proved in proved {
            if gateway.suspicions.note_announcement(proved, now) {
                log_proof(&gateway, proved, "answer");
                share(&gateway, SuspicionNotice::Sound(proved), proved_at, true);
            }
        }
    });
}

/// Sends a notice to the other hosts, and writes it to the store if `is_lasting`.
fn share(gateway: &Gateway, notice: SuspicionNotice, at: Duration, is_lasting: bool) {
    if is_lasting {
        let record = SuspicionRecord {
            key: notice.record_key(gateway.host_hash),
            value: encode(&notice),
        };
        if gateway.suspicions.push_record(record, gateway.now()) {
            gateway.registration_wakeup.notify_one();
        }
    }
    let notices = &gateway.suspicions.notices;
    notices.push(TimedNotice { notice, at }, |_| false);
    gateway.peer_update_due.notify_one();
}

fn log_verdict(gateway: &Gateway, blocked: &BlockedTrait, crashes: usize, source: &str) {
    gateway.quarantine_changed.notify_waiters();
    let verdicts = &gateway.metrics.target_signals.quarantine_verdicts;
    verdicts.with_label_values(&[source]).inc();
    gateway.log.event(&LogEvent::Quarantined {
        what: blocked.to_string(),
        crashes,
        source,
    });
}

fn log_proof(gateway: &Gateway, proved: RequestTrait, source: &str) {
    gateway.log.event(&LogEvent::ProvedSound {
        what: proved.to_string(),
        source,
    });
}
