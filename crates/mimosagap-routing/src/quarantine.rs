//! Blocks requests that crash the targets which run them.
//!
//! A request may crash every engine that begins to answer it, while its caller repeats it at any
//! host. Or one part of a prompt does, whatever else the prompt holds: then no two requests are
//! alike, and sound requests share the caller and all other parts.
//!
//! Hosts tell each other which requests a target had not proved sound when it crashed, so all of
//! them judge the same evidence:
//!
//! * A request is blocked after [`MAX_CRASHES`] crashes, unless it was answered meanwhile. Many
//!   callers may repeat one that is sound, so that it is in flight at most crashes.
//! * Parts are blocked after crashes at [`MAX_CRASHES`] different moments. Targets that end within
//!   [`SAME_MOMENT`], such as those of a rack, count as one.
//! * Requests whose answer had begun are suspects only if none had not, and a crash under a request
//!   that is blocked speaks against no other part.
//! * A request that was answered, and a part under which an answer was begun and went on, are sound.
//!   Crashes in the [`SOUNDNESS_MEMORY`] after that do not speak against them, nor do those before.
//! * If several parts of a request have so many crashes, they are blocked together: only a request
//!   with all of them is refused. A sound request with some of them runs and clears these.
//!
//! A verdict lasts for [`VERDICT_RETENTION`] after the last crash. Meanwhile one host of the fleet
//! lets a request through from time to time, which ends a verdict that is wrong and renews one that
//! is right.

use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::hash::Hash;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::hashing::stable_hash;
use crate::prompt::{PromptPart, describe_parts};

/// Number of crashes, or of moments with crashes, from which on a request or a part is blocked.
pub const MAX_CRASHES: usize = 3;

/// Time for which a crash is kept.
pub const CRASH_RETENTION: Duration = Duration::from_mins(2);

/// Crashes within this time count as one for the parts of prompts: targets that lose their power
/// together say nothing about what they ran. Reports of hosts differ by the 60 ms that a crash and
/// its report take between regions.
pub const SAME_MOMENT: Duration = Duration::from_millis(80);

/// Time for which a part that was proved sound is not suspected. It covers the restart of engines,
/// during which few answers are begun.
pub const SOUNDNESS_MEMORY: Duration = Duration::from_secs(15);

/// Time for which an answer must go on after its first event to prove that its request is sound.
/// Engines end within some 100 ms of the beginning.
pub const PROOF_TIME: Duration = Duration::from_millis(250);

/// Number of moments with crashes from which on a host blocks parts that started less than
/// [`SOUNDNESS_MEMORY`] ago, because it has seen few proofs.
pub const MAX_CRASHES_AFTER_START: usize = 4;

/// Time after the last crash for which a verdict is kept; longer than the time between two trials.
pub const VERDICT_RETENTION: Duration = Duration::from_mins(10);

/// Time after the last crash of a verdict until a request may run on trial; each trial doubles it.
pub const TRIAL_DELAY: Duration = Duration::from_mins(1);

/// Longest time between two trials.
const MAX_TRIAL_DELAY: Duration = Duration::from_mins(8);

/// Limits that bound the memory, whatever callers send. The oldest entries are dropped.
const MAX_KEPT_CRASHES: usize = 128;
const MAX_REQUESTS_PER_CRASH: usize = 16;
const MAX_PARTS_PER_REQUEST: usize = 16;
const MAX_VERDICTS: usize = 64;
const MAX_SOUND_TRAITS: usize = 4096;

/// Identifies a request by its content, so that its repetitions are recognized.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct RequestFingerprint(pub u64);

impl RequestFingerprint {
    /// Computes the fingerprint from what is equal in all repetitions of a request.
    #[must_use]
    pub fn new(path: &str, team: &str, body: &[u8]) -> Self {
        Self(stable_hash(&[path.as_bytes(), team.as_bytes(), body]))
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identifies one crash by the target process that ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct CrashFingerprint(pub u64);

impl CrashFingerprint {
    /// Computes the fingerprint from the instance and the start time of its process.
    #[must_use]
    pub fn new(instance: &str, started_unix_ms: u64) -> Self {
        Self(stable_hash(&[
            instance.as_bytes(),
            &started_unix_ms.to_be_bytes(),
        ]))
    }
}

/// What a request is recognized by: its whole content, and the parts of its prompt that other
/// requests may have too.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RequestTraits {
    /// Identifies the whole content.
    pub fingerprint: RequestFingerprint,
    /// Parts of the prompt in the order of their ids, each once.
    pub shared_parts: Vec<PromptPart>,
}

impl RequestTraits {
    /// Collects the traits of a request. The last part of a prompt belongs to the request or its
    /// session alone and is left out; of a prompt with very many parts, the first ones count.
    #[must_use]
    pub fn new(fingerprint: RequestFingerprint, prompt_parts: &[PromptPart]) -> Self {
        let shared_parts = prompt_parts.split_last().map_or(&[][..], |(_, rest)| rest);
        let counted = shared_parts.len().min(MAX_PARTS_PER_REQUEST);
        let mut shared_parts = shared_parts[..counted].to_vec();
        shared_parts.sort_unstable();
        shared_parts.dedup();
        Self {
            fingerprint,
            shared_parts,
        }
    }
}

/// A crash of a target as one host saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CrashReport {
    /// The target process that ended.
    pub crash: CrashFingerprint,
    /// A request of the host that the target had not proved sound.
    pub request: RequestTraits,
    /// Whether the target had sent an event for it. A request that crashes targets ends most of them
    /// before that.
    pub has_begun: bool,
}

/// One trait of a request that a proof of soundness is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum RequestTrait {
    /// The whole content.
    Request(RequestFingerprint),
    /// One part of the prompt.
    Part(PromptPart),
}

impl fmt::Display for RequestTrait {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(fingerprint) => write!(f, "request {fingerprint}"),
            Self::Part(part) => write!(f, "part {part}"),
        }
    }
}

/// What requests are blocked for.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum BlockedTrait {
    /// The whole content.
    Request(RequestFingerprint),
    /// All of these parts, in the order of their ids.
    Parts(Vec<PromptPart>),
}

impl BlockedTrait {
    fn matches(&self, traits: &RequestTraits) -> bool {
        match self {
            Self::Request(fingerprint) => traits.fingerprint == *fingerprint,
            Self::Parts(parts) => includes(&traits.shared_parts, parts),
        }
    }
}

impl fmt::Display for BlockedTrait {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(fingerprint) => write!(f, "request {fingerprint}"),
            Self::Parts(parts) => write!(f, "parts {}", describe_parts(parts)),
        }
    }
}

/// Whether all of `parts` are among `all_parts`; both are sorted.
fn includes(all_parts: &[PromptPart], parts: &[PromptPart]) -> bool {
    parts
        .iter()
        .all(|part| all_parts.binary_search(part).is_ok())
}

/// A decision to refuse requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Verdict {
    /// What is refused.
    pub blocked: BlockedTrait,
    /// Crashes, or moments with crashes, that led to it.
    pub crashes: usize,
    last_crash_at: Duration,
    /// Trials that this host made.
    trials: u32,
    last_trial_at: Option<Duration>,
}

impl Verdict {
    /// Time since the last crash.
    #[must_use]
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.last_crash_at)
    }

    fn trial_is_due(&self, now: Duration) -> bool {
        let factor = 2_u32.saturating_pow(self.trials);
        let delay = TRIAL_DELAY.saturating_mul(factor).min(MAX_TRIAL_DELAY);
        let since = self
            .last_crash_at
            .max(self.last_trial_at.unwrap_or_default());
        now.saturating_sub(since) >= delay
    }
}

/// Whether a request may run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// It may run.
    Admitted,
    /// It may run to find out whether a verdict still holds.
    OnTrial(BlockedTrait),
    /// It must not run.
    Refused(BlockedTrait),
}

#[derive(Debug, Clone)]
struct CrashRecord {
    crash: CrashFingerprint,
    at: Duration,
    requests: Vec<RequestTraits>,
    /// Requests for which the target had sent an event. They are suspects only if it crashed under no
    /// other request.
    begun_requests: Vec<RequestTraits>,
}

impl CrashRecord {
    fn suspects(&self) -> &[RequestTraits] {
        if self.requests.is_empty() {
            &self.begun_requests
        } else {
            &self.requests
        }
    }
}

/// When an answer last proved each of the traits of one kind sound. The oldest half is dropped at
/// [`MAX_SOUND_TRAITS`].
#[derive(Debug, Clone)]
struct ProofMemory<K>(HashMap<K, Duration>);

impl<K> Default for ProofMemory<K> {
    fn default() -> Self {
        Self(HashMap::new())
    }
}

impl<K: Eq + Hash> ProofMemory<K> {
    fn note(&mut self, key: K, at: Duration) {
        let proved_at = self.0.entry(key).or_insert(at);
        *proved_at = (*proved_at).max(at);
        if self.0.len() > MAX_SOUND_TRAITS {
            self.0
                .retain(|_, proved_at| at.saturating_sub(*proved_at) < SOUNDNESS_MEMORY);
        }
        if self.0.len() > MAX_SOUND_TRAITS {
            let mut times: Vec<Duration> = self.0.values().copied().collect();
            let middle = times.len() / 2;
            let (_, median, _) = times.select_nth_unstable(middle);
            let median = *median;
            self.0.retain(|_, proved_at| *proved_at > median);
        }
    }

    fn proved_at(&self, key: &K) -> Option<Duration> {
        self.0.get(key).copied()
    }
}

/// The crashes that the fleet saw, the traits that were proved sound, and the verdicts.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    /// Oldest first.
    crashes: VecDeque<CrashRecord>,
    sound_parts: ProofMemory<PromptPart>,
    sound_requests: ProofMemory<RequestFingerprint>,
    verdicts: Vec<Verdict>,
    started_at: Duration,
}

impl Quarantine {
    /// Creates the quarantine of a host that started at `started_at`.
    #[must_use]
    pub fn new(started_at: Duration) -> Self {
        Self {
            started_at,
            ..Self::default()
        }
    }

    /// Records a crash that a host saw at `at`. Returns the new verdict, if it leads to one.
    pub fn record_crash(&mut self, report: &CrashReport, at: Duration) -> Option<Verdict> {
        self.expire(at);
        let known = self
            .crashes
            .iter()
            .position(|record| record.crash == report.crash);
        let index = known.unwrap_or_else(|| {
            if self.crashes.len() >= MAX_KEPT_CRASHES {
                self.crashes.pop_front();
            }
            self.crashes.push_back(CrashRecord {
                crash: report.crash,
                at,
                requests: Vec::new(),
                begun_requests: Vec::new(),
            });
            self.crashes.len() - 1
        });
        let record = &mut self.crashes[index];
        record.at = record.at.min(at);
        let requests = if report.has_begun {
            &mut record.begun_requests
        } else {
            &mut record.requests
        };
        if requests.contains(&report.request) || requests.len() >= MAX_REQUESTS_PER_CRASH {
            return None;
        }
        requests.push(report.request.clone());
        for verdict in &mut self.verdicts {
            if verdict.blocked.matches(&report.request) {
                verdict.last_crash_at = verdict.last_crash_at.max(at);
            }
        }
        if self.blocking_verdict(&report.request).is_some() {
            return None;
        }
        let (blocked, crashes) = self.judge(&report.request, at)?;
        let verdict = Verdict {
            blocked,
            crashes,
            last_crash_at: at,
            trials: 0,
            last_trial_at: None,
        };
        self.insert_verdict(verdict.clone());
        Some(verdict)
    }

    /// Takes over the verdict of another host, whose last crash was at `last_crash_at`. Parts that
    /// were proved sound since are left out. Returns whether it is new.
    pub fn apply_verdict(
        &mut self,
        blocked: &BlockedTrait,
        crashes: usize,
        last_crash_at: Duration,
        now: Duration,
    ) -> bool {
        self.expire(now);
        let is_suspect = |suspect| self.is_suspect(suspect, last_crash_at);
        let blocked = match blocked {
            BlockedTrait::Request(fingerprint) => {
                if !is_suspect(RequestTrait::Request(*fingerprint)) {
                    return false;
                }
                blocked.clone()
            }
            BlockedTrait::Parts(parts) => {
                let suspects = parts.iter().copied();
                let suspects = suspects.filter(|part| is_suspect(RequestTrait::Part(*part)));
                BlockedTrait::Parts(suspects.collect())
            }
        };
        if blocked == BlockedTrait::Parts(Vec::new()) {
            return false;
        }
        let known = self
            .verdicts
            .iter_mut()
            .find(|verdict| verdict.blocked == blocked);
        if let Some(verdict) = known {
            verdict.last_crash_at = verdict.last_crash_at.max(last_crash_at);
            return false;
        }
        self.insert_verdict(Verdict {
            blocked,
            crashes,
            last_crash_at,
            trials: 0,
            last_trial_at: None,
        });
        true
    }

    /// Records that the answer to a request went on for long enough to prove it sound. Returns the
    /// traits that were suspected, which the other hosts have to learn.
    pub fn record_sound(&mut self, traits: &RequestTraits, at: Duration) -> Vec<RequestTrait> {
        let parts = traits.shared_parts.iter().copied().map(RequestTrait::Part);
        let suspected = parts
            .chain([RequestTrait::Request(traits.fingerprint)])
            .filter(|proved| self.is_under_suspicion(*proved))
            .collect();
        for part in &traits.shared_parts {
            self.apply_sound(RequestTrait::Part(*part), at);
        }
        self.apply_sound(RequestTrait::Request(traits.fingerprint), at);
        suspected
    }

    /// Records that a trait was proved sound at `at`, by this host or another one.
    pub fn apply_sound(&mut self, proved: RequestTrait, at: Duration) {
        match proved {
            RequestTrait::Request(fingerprint) => {
                self.sound_requests.note(fingerprint, at);
                for record in &mut self.crashes {
                    for requests in [&mut record.requests, &mut record.begun_requests] {
                        requests.retain(|request| request.fingerprint != fingerprint);
                    }
                }
                self.verdicts
                    .retain(|verdict| verdict.blocked != BlockedTrait::Request(fingerprint));
            }
            RequestTrait::Part(part) => {
                self.sound_parts.note(part, at);
                for verdict in &mut self.verdicts {
                    if let BlockedTrait::Parts(blocked) = &mut verdict.blocked {
                        blocked.retain(|other| *other != part);
                    }
                }
                self.verdicts
                    .retain(|verdict| verdict.blocked != BlockedTrait::Parts(Vec::new()));
            }
        }
    }

    /// Decides whether a request may run. Trials are left to one host of the fleet;
    /// `is_trial_host` is asked only if one is due.
    pub fn admit(
        &mut self,
        traits: &RequestTraits,
        is_trial_host: impl FnOnce() -> bool,
        now: Duration,
    ) -> Admission {
        let verdict = self.verdicts.iter_mut().find(|verdict| {
            verdict.blocked.matches(traits) && verdict.age(now) < VERDICT_RETENTION
        });
        let Some(verdict) = verdict else {
            return Admission::Admitted;
        };
        if verdict.trial_is_due(now) && is_trial_host() {
            verdict.trials += 1;
            verdict.last_trial_at = Some(now);
            return Admission::OnTrial(verdict.blocked.clone());
        }
        Admission::Refused(verdict.blocked.clone())
    }

    /// The verdict against a request, whether a trial is due or not.
    #[must_use]
    pub fn blocking_verdict(&self, traits: &RequestTraits) -> Option<&Verdict> {
        self.verdicts
            .iter()
            .find(|verdict| verdict.blocked.matches(traits))
    }

    /// All verdicts, oldest first.
    #[must_use]
    pub fn verdicts(&self) -> &[Verdict] {
        &self.verdicts
    }

    /// The traits of a request that an answer proved sound not long before a crash at `crashed_at`,
    /// or after it.
    pub fn proved_traits(
        &self,
        request: &RequestTraits,
        crashed_at: Duration,
    ) -> impl Iterator<Item = RequestTrait> {
        let parts = request.shared_parts.iter().copied().map(RequestTrait::Part);
        let traits = parts.chain([RequestTrait::Request(request.fingerprint)]);
        traits.filter(move |proved| !self.is_suspect(*proved, crashed_at))
    }

    /// Number of crashes that are kept.
    #[must_use]
    pub fn crash_count(&self) -> usize {
        self.crashes.len()
    }

    /// What the crashes so far say about a request that took part in the last one.
    fn judge(&self, request: &RequestTraits, at: Duration) -> Option<(BlockedTrait, usize)> {
        let whole = RequestTrait::Request(request.fingerprint);
        let has_fingerprint = |record: &&CrashRecord| {
            let mut requests = record.requests.iter().chain(&record.begun_requests);
            requests.any(|other| other.fingerprint == request.fingerprint)
                && self.is_suspect(whole, record.at)
        };
        let repeats = self.crashes.iter().filter(has_fingerprint).count();
        if repeats >= MAX_CRASHES {
            return Some((BlockedTrait::Request(request.fingerprint), repeats));
        }
        let is_new_host = at.saturating_sub(self.started_at) < SOUNDNESS_MEMORY;
        let max_moments = if is_new_host {
            MAX_CRASHES_AFTER_START
        } else {
            MAX_CRASHES
        };
        let mut moments = usize::MAX;
        let mut blamed = request.shared_parts.clone();
        blamed.retain(|part| {
            let part_moments = self.crash_moments(*part);
            let is_blamed = part_moments >= max_moments;
            if is_blamed {
                moments = moments.min(part_moments);
            }
            is_blamed
        });
        (!blamed.is_empty()).then_some((BlockedTrait::Parts(blamed), moments))
    }

    /// Number of different moments at which targets crashed under a part, and under no request that
    /// is blocked for another one.
    fn crash_moments(&self, part: PromptPart) -> usize {
        let is_explained = |record: &&CrashRecord| {
            let mut verdicts = self.verdicts.iter();
            verdicts.any(|verdict| {
                matches!(&verdict.blocked, BlockedTrait::Parts(parts) if !parts.contains(&part))
                    && record
                        .suspects()
                        .iter()
                        .any(|request| verdict.blocked.matches(request))
            })
        };
        let is_against = |record: &&CrashRecord| {
            let mut suspects = record.suspects().iter();
            suspects.any(|request| self.is_suspect_in(part, request, record.at))
        };
        let mut times: Vec<Duration> = self
            .crashes
            .iter()
            .filter(is_against)
            .filter(|record| !is_explained(record))
            .map(|record| record.at)
            .collect();
        times.sort_unstable();
        let mut moments = 0;
        let mut last_moment: Option<Duration> = None;
        for at in times {
            if last_moment.is_none_or(|last| at.saturating_sub(last) >= SAME_MOMENT) {
                moments += 1;
                last_moment = Some(at);
            }
        }
        moments
    }

    fn suspect_requests(&self) -> impl Iterator<Item = (Duration, &RequestTraits)> {
        self.crashes.iter().flat_map(|record| {
            let requests = record.suspects().iter();
            requests.map(|request| (record.at, request))
        })
    }

    fn is_suspect_in(&self, part: PromptPart, request: &RequestTraits, at: Duration) -> bool {
        request.shared_parts.binary_search(&part).is_ok()
            && self.is_suspect(RequestTrait::Part(part), at)
    }

    /// Whether a crash at `crashed_at` speaks against a trait.
    fn is_suspect(&self, suspect: RequestTrait, crashed_at: Duration) -> bool {
        let proved_at = match suspect {
            RequestTrait::Request(fingerprint) => self.sound_requests.proved_at(&fingerprint),
            RequestTrait::Part(part) => self.sound_parts.proved_at(&part),
        };
        proved_at.is_none_or(|proved_at| proved_at + SOUNDNESS_MEMORY <= crashed_at)
    }

    /// Whether a crash or a verdict speaks against a trait.
    fn is_under_suspicion(&self, suspect: RequestTrait) -> bool {
        let mut requests = self.suspect_requests();
        match suspect {
            RequestTrait::Request(fingerprint) => {
                requests.any(|(_, request)| request.fingerprint == fingerprint)
            }
            RequestTrait::Part(part) => {
                let is_blocked = |verdict: &Verdict| matches!(&verdict.blocked, BlockedTrait::Parts(parts) if parts.contains(&part));
                requests.any(|(at, request)| self.is_suspect_in(part, request, at))
                    || self.verdicts.iter().any(is_blocked)
            }
        }
    }

    fn insert_verdict(&mut self, verdict: Verdict) {
        // A verdict on more parts is part of one on fewer.
        if let BlockedTrait::Parts(parts) = &verdict.blocked {
            self.verdicts.retain(|other| match &other.blocked {
                BlockedTrait::Parts(others) => !includes(others, parts),
                BlockedTrait::Request(_) => true,
            });
        }
        if self.verdicts.len() >= MAX_VERDICTS {
            self.verdicts.remove(0);
        }
        self.verdicts.push(verdict);
    }

    fn expire(&mut self, now: Duration) {
        self.crashes
            .retain(|record| now.saturating_sub(record.at) < CRASH_RETENTION);
        self.verdicts
            .retain(|verdict| verdict.age(now) < VERDICT_RETENTION);
    }
}
