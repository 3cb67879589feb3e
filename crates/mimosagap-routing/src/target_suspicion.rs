//! Suspicion of engines that hang, shared between hosts.
//!
//! Load pattern: an engine accepts connections, reports healthy and answers nothing. Callers of
//! generations that must not run twice lose them at their deadline. Six engines lost 32 generations
//! of up to 8 hosts within 4.9 s of the first, because each host found out alone.
//!
//! An engine prefills prompts one after the other, so the time to the first event is known at the
//! send, and an engine that is only busy keeps sending events to some host. A host whose first event
//! is overdue, or whose stream is silent, therefore reports the engine to all hosts; a host that
//! hears from it contradicts the report. A sound engine may fall silent for a second, so a suspected
//! engine is only avoided while others have capacity, and any sign of life ends the suspicion.
//!
//! A host that hears from no target may have lost its own link, and reports nothing. If half of a
//! service is suspected, the suspicion is ignored, because the other half could not carry the load.

use std::time::Duration;

use mimosagap_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::placement::GenerationDemand;
use crate::targets::{Target, TargetKey, TargetTable};

/// Multiple of the expected time to the first event after which it is overdue. The expectation is
/// based on load reports that are up to half a second old and a prefill rate that varies.
const FIRST_EVENT_FACTOR: f64 = 1.5;

/// Time beyond [`FIRST_EVENT_FACTOR`] after which a first event is overdue.
const FIRST_EVENT_SLACK: Duration = Duration::from_millis(500);

/// Time without progress in the pending prefill of an engine after which a first event is overdue
/// although more prompts were ahead: the second for which a sound engine may stall, and some time
/// for a prompt.
const PREFILL_SILENCE: Duration = Duration::from_millis(1200);

/// Silence of a running stream after which its engine is suspected: longer than the second for
/// which a sound engine may stall.
pub const STREAM_SILENCE: Duration = Duration::from_millis(1100);

/// An event at most this long before a report of silence contradicts it. Events are at most 180 ms
/// apart and take up to 30 ms.
const EVENT_FRESHNESS: Duration = Duration::from_millis(400);

/// A first event at most this long before a report of an overdue one contradicts it. A busy engine
/// prefills a prompt of 3,000 tokens in at most 430 ms beside its other work, and its first events
/// are about as far apart.
const ANSWER_FRESHNESS: Duration = Duration::from_millis(600);

/// Time for which a report counts. The host that made it renews it while its request waits.
pub const SUSPICION_TTL: Duration = Duration::from_secs(5);

/// A report is renewed this long before it lapses.
const RENEWAL_LEAD: Duration = Duration::from_secs(1);

/// Longest time after a suspicion that lapsed without a sign of life, in which the engine is tried
/// with one generation at a time, of the work that loses least.
const TRIAL_TIME: Duration = Duration::from_secs(15);

/// Age up to which a sign of life of another target proves that the host's own link works.
const LINK_PROOF_AGE: Duration = Duration::from_millis(250);

/// Expected output tokens up to which a generation is short, so that little is lost with it.
const MAX_TRIAL_TOKENS: u32 = 256;

/// Cost of a suspected engine: more than all other costs together, so that it is the last choice.
const SUSPICION_COST: Duration = Duration::from_secs(30);

/// Bytes a second that a host may send in notices: half of what it may send in control messages.
const NOTICE_BYTES_PER_SECOND: f64 = 4000.0;

/// Bytes of a report and its withdrawal to one host: 75 bytes in each of three datagrams.
const BYTES_PER_HOST: f64 = 450.0;

/// Reports that a host may send at once.
const MAX_NOTICE_CREDIT: f64 = 3.0;

/// Why an engine is suspected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum HangEvidence {
    /// A running stream stopped; an event of any stream contradicts it.
    Silent,
    /// A first event is overdue; a response or first event of any request contradicts it. Streams
    /// that began before may go on at an engine that takes no new work.
    Unanswered,
}

impl HangEvidence {
    /// Stable name for logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::Unanswered => "unanswered",
        }
    }

    /// The sign of life that contradicts the evidence.
    #[must_use]
    pub fn contradicting_sign(self) -> LifeSign {
        match self {
            Self::Silent => LifeSign::Event,
            Self::Unanswered => LifeSign::Answer,
        }
    }

    /// Time before a report for which a sign of life contradicts it.
    fn freshness(self) -> Duration {
        match self {
            Self::Silent => EVENT_FRESHNESS,
            Self::Unanswered => ANSWER_FRESHNESS,
        }
    }
}

/// What was heard from an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum LifeSign {
    /// An event of a running stream.
    Event,
    /// A response or the first event of a stream: the engine takes new work.
    Answer,
}

/// Whether an engine may be given work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It is not suspected.
    Trusted,
    /// A suspicion lapsed without a sign of life.
    OnTrial,
    /// It is suspected of hanging.
    Suspected,
}

/// What a report changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportEffect {
    /// The engine is suspected from now on.
    Suspected,
    /// The engine was suspected already.
    Renewed,
    /// This host heard from the engine around the report or since.
    Contradicted,
    /// Another host heard from the engine around the report or since.
    Outdated,
}

/// A suspicion that a sign of life ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClearedSuspicion {
    /// Whether this host reported the engine, so that it tells the others.
    pub is_reporter: bool,
    /// Time since the engine was suspected.
    pub duration: Duration,
}

/// What a host knows of the suspicion of one target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetSuspicion {
    /// Last sign of life that this host heard itself.
    heard_here_at: Duration,
    /// Last response or first event that this host heard itself.
    answered_here_at: Duration,
    /// Last event of any kind, heard by any host.
    event_at: Duration,
    /// Last response or first event, heard by any host.
    answer_at: Duration,
    /// Last time that the pending prefill was seen to shrink, at any host.
    progress_at: Duration,
    evidence: Option<HangEvidence>,
    since: Duration,
    until: Duration,
    is_reporter: bool,
}

impl TargetSuspicion {
    /// Whether the target may be given work.
    #[must_use]
    pub fn standing(&self, now: Duration) -> Standing {
        match self.evidence {
            Some(_) if now < self.until => Standing::Suspected,
            Some(_) if now < self.until + TRIAL_TIME => Standing::OnTrial,
            Some(_) | None => Standing::Trusted,
        }
    }

    /// When this host itself last heard a sign from the target; zero if never.
    #[must_use]
    pub fn heard_here_at(&self, sign: LifeSign) -> Duration {
        match sign {
            LifeSign::Event => self.heard_here_at,
            LifeSign::Answer => self.answered_here_at,
        }
    }

    /// Whether evidence of this host is worth a report: nobody reported the target, or the report
    /// is about to lapse.
    #[must_use]
    pub fn is_report_due(&self, evidence: HangEvidence, now: Duration) -> bool {
        let is_stronger =
            self.evidence == Some(HangEvidence::Silent) && evidence == HangEvidence::Unanswered;
        is_stronger || now + RENEWAL_LEAD >= self.until
    }

    /// Records a sign of life that this host heard. Returns the suspicion that it ends.
    pub fn record_sign(&mut self, sign: LifeSign, now: Duration) -> Option<ClearedSuspicion> {
        self.heard_here_at = now;
        if sign == LifeSign::Answer {
            self.answered_here_at = now;
        }
        self.record_peer_sign(sign, now, now)
    }

    /// Records a sign of life that another host heard at `heard_at`. Returns the suspicion that it
    /// ends.
    pub fn record_peer_sign(
        &mut self,
        sign: LifeSign,
        heard_at: Duration,
        now: Duration,
    ) -> Option<ClearedSuspicion> {
        self.event_at = self.event_at.max(heard_at);
        if sign == LifeSign::Answer {
            self.answer_at = self.answer_at.max(heard_at);
        }
        let is_refuted = self
            .evidence
            .is_some_and(|evidence| self.contradicts(evidence, self.since));
        if !is_refuted {
            return None;
        }
        let was_suspected = self.standing(now) != Standing::Trusted;
        self.evidence = None;
        self.until = Duration::ZERO;
        let is_reporter = std::mem::take(&mut self.is_reporter);
        was_suspected.then(|| ClearedSuspicion {
            is_reporter,
            duration: now.saturating_sub(self.since),
        })
    }

    /// Records that a host's pending prefill at the target shrank, as its load report shows.
    pub fn record_progress(&mut self, now: Duration) {
        self.progress_at = now;
    }

    /// Records that a host, maybe this one, found evidence at `reported_at`.
    pub fn record_report(
        &mut self,
        evidence: HangEvidence,
        reported_at: Duration,
        is_own: bool,
        now: Duration,
    ) -> ReportEffect {
        if self.contradicts(evidence, reported_at) {
            let heard_here_at = match evidence {
                HangEvidence::Silent => self.heard_here_at,
                HangEvidence::Unanswered => self.answered_here_at,
            };
            return if heard_here_at + evidence.freshness() >= reported_at {
                ReportEffect::Contradicted
            } else {
                ReportEffect::Outdated
            };
        }
        let until = reported_at + SUSPICION_TTL;
        if until <= now {
            return ReportEffect::Outdated;
        }
        let effect = match self.standing(now) {
            Standing::Suspected => ReportEffect::Renewed,
            Standing::OnTrial | Standing::Trusted => ReportEffect::Suspected,
        };
        if effect == ReportEffect::Suspected {
            self.since = reported_at;
            self.evidence = Some(evidence);
            self.is_reporter = false;
        } else if evidence == HangEvidence::Unanswered {
            self.evidence = Some(evidence);
        }
        self.is_reporter |= is_own;
        self.until = self.until.max(until);
        effect
    }

    /// Whether a sign of life contradicts evidence found at `found_at`.
    fn contradicts(&self, evidence: HangEvidence, found_at: Duration) -> bool {
        let heard_at = match evidence {
            HangEvidence::Silent => self.event_at,
            HangEvidence::Unanswered => self.answer_at,
        };
        heard_at + evidence.freshness() >= found_at
    }
}

/// What a request of this host waits for at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventWait {
    /// The first event of a generation.
    First {
        /// When the generation was sent.
        sent_at: Duration,
        /// Expected time to the first event, with the prefill pending ahead.
        expected: Duration,
    },
    /// The next event of a running stream.
    Next {
        /// Since when the host reads from the stream without an event.
        since: Duration,
    },
}

/// What to do about a request that waits for an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitVerdict {
    /// The event is not overdue before this time.
    WaitUntil(Duration),
    /// The event is overdue, but the host's own link may be at fault.
    CheckLink,
    /// The event is overdue.
    Suspect(HangEvidence),
}

impl EventWait {
    /// Judges the wait. `link_proved_at` is when another target was last reached.
    #[must_use]
    pub fn judge(
        &self,
        suspicion: &TargetSuspicion,
        link_proved_at: Duration,
        now: Duration,
    ) -> WaitVerdict {
        let (evidence, due_at) = match *self {
            Self::First { sent_at, expected } => (
                HangEvidence::Unanswered,
                (sent_at + expected.mul_f64(FIRST_EVENT_FACTOR) + FIRST_EVENT_SLACK)
                    .min(sent_at.max(suspicion.progress_at) + PREFILL_SILENCE)
                    .max(suspicion.answer_at + ANSWER_FRESHNESS),
            ),
            Self::Next { since } => (
                HangEvidence::Silent,
                since.max(suspicion.event_at) + STREAM_SILENCE,
            ),
        };
        if now <= due_at {
            return WaitVerdict::WaitUntil(due_at + Duration::from_millis(1));
        }
        if link_proved_at + LINK_PROOF_AGE >= now {
            WaitVerdict::Suspect(evidence)
        } else {
            WaitVerdict::CheckLink
        }
    }
}

/// Limits the notices of one host, which each go to all hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NoticeBudget {
    credit: f64,
    updated_at: Duration,
}

impl Default for NoticeBudget {
    fn default() -> Self {
        Self {
            credit: MAX_NOTICE_CREDIT,
            updated_at: Duration::ZERO,
        }
    }
}

impl NoticeBudget {
    /// Takes a report and its later withdrawal from the budget. Returns whether it allows them.
    pub fn try_spend(&mut self, host_count: usize, now: Duration) -> bool {
        let hosts = u32::try_from(host_count.max(1)).unwrap_or(u32::MAX);
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = now;
        let gained = elapsed * NOTICE_BYTES_PER_SECOND / (BYTES_PER_HOST * f64::from(hosts));
        self.credit = (self.credit + gained).min(MAX_NOTICE_CREDIT);
        let is_allowed = self.credit >= 1.0;
        if is_allowed {
            self.credit -= 1.0;
        }
        is_allowed
    }
}

/// When this host last heard from a target of a service other than `key`; zero if never.
#[must_use]
pub fn last_contact_with_others(
    targets: &TargetTable,
    service: &DeploymentName,
    key: TargetKey,
) -> Duration {
    targets
        .of_service(service)
        .filter(|(other, _)| *other != key)
        .map(|(_, target)| target.suspicion.heard_here_at(LifeSign::Event))
        .max()
        .unwrap_or_default()
}

/// How suspicion affects the placement of one generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuspicionPolicy {
    is_ignored: bool,
    /// Whether little is lost if the generation hangs: it is short or may run again.
    is_trial_work: bool,
    now: Duration,
}

impl SuspicionPolicy {
    /// Creates the policy for a generation of a service. Suspicion is ignored while half of the
    /// service's targets are suspected.
    #[must_use]
    pub fn new(
        targets: &TargetTable,
        service: &DeploymentName,
        demand: &GenerationDemand,
        may_repeat: bool,
        now: Duration,
    ) -> Self {
        let (mut usable, mut suspected) = (0_usize, 0_usize);
        for (_, target) in targets.of_service(service) {
            if !target.is_leaving(now) {
                usable += 1;
                let standing = target.suspicion.standing(now);
                suspected += usize::from(standing == Standing::Suspected);
            }
        }
        Self {
            is_ignored: 2 * suspected >= usable,
            is_trial_work: may_repeat || demand.expected_tokens <= MAX_TRIAL_TOKENS,
            now,
        }
    }

    /// Whether the generation may be placed on a target at all. A suspected one is given nothing
    /// while a prompt waits there, whose first event would show that it goes on.
    #[must_use]
    pub fn admits(&self, target: &Target) -> bool {
        self.is_ignored
            || target.suspicion.standing(self.now) != Standing::Suspected
            || self.is_trial(target)
    }

    fn is_trial(&self, target: &Target) -> bool {
        self.is_trial_work && target.pending_prefill_tokens(self.now) == 0
    }

    /// Cost that keeps the generation away from a target while others have capacity.
    #[must_use]
    pub fn cost(&self, target: &Target) -> Duration {
        match target.suspicion.standing(self.now) {
            Standing::Suspected if !self.is_ignored => SUSPICION_COST,
            Standing::OnTrial if !self.is_ignored && !self.is_trial(target) => SUSPICION_COST,
            Standing::Trusted | Standing::OnTrial | Standing::Suspected => Duration::ZERO,
        }
    }
}
