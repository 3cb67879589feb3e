//! The invariants of section 1.2 of the design page, as far as they can be observed from outside.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::{Duration, Instant, SystemTime};

use crate::cluster::{TargetEvidence, TargetKind};
use crate::observer::RevisionSample;
use crate::record::{RequestKind, RequestRecord, SendEnd, SendRecord};

/// How long a daemon may take to learn of a leave notice or of new rules.
const NOTICE_LIMIT: Duration = Duration::from_secs(3);

/// A leave notice.
#[derive(Debug, Clone)]
pub struct Departure {
    /// The target.
    pub target: String,
    /// When it was given.
    pub noticed: SystemTime,
    /// How long it took until the system could see it. An engine reports its own state at once; a
    /// plain service has no report, so its notice is seen on the host list only.
    pub lag: Duration,
}

impl Departure {
    /// A notice given now.
    #[must_use]
    pub fn new(target: &str, lag: Duration) -> Self {
        Self {
            target: target.to_owned(),
            noticed: SystemTime::now(),
            lag,
        }
    }
}

/// A graceful shutdown.
#[derive(Debug, Clone)]
pub struct Drain {
    /// The daemon.
    pub daemon: String,
    /// When SIGTERM was sent.
    pub start: Instant,
    /// When the process had ended.
    pub end: Option<Instant>,
}

impl Drain {
    /// A shutdown that begins now.
    #[must_use]
    pub fn begin(daemon: &str) -> Self {
        Self {
            daemon: daemon.to_owned(),
            start: Instant::now(),
            end: None,
        }
    }
}

/// A time during which something did not work because of an injected fault.
#[derive(Debug, Clone)]
pub struct Outage {
    /// What did not work.
    pub name: String,
    /// Its beginning.
    pub start: Instant,
    /// Its end, if it has one.
    pub end: Option<Instant>,
}

impl Outage {
    /// An outage that begins now.
    #[must_use]
    pub fn begin(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            start: Instant::now(),
            end: None,
        }
    }

    fn overlaps(&self, from: Instant, to: Instant) -> bool {
        self.start <= to && self.end.is_none_or(|end| end >= from)
    }
}

/// Rules that were accepted.
#[derive(Debug, Clone, Copy)]
pub struct AppliedRules {
    /// Their revision.
    pub revision: u64,
    /// When the tool had reported success.
    pub at: Instant,
}

/// Everything that the checks look at.
#[derive(Debug, Default)]
pub struct Evidence {
    /// All requests.
    pub requests: Vec<RequestRecord>,
    /// What the targets know.
    pub targets: TargetEvidence,
    /// Leave notices.
    pub departures: Vec<Departure>,
    /// Graceful shutdowns.
    pub drains: Vec<Drain>,
    /// Times at which daemons were killed or paused.
    pub outages: Vec<Outage>,
    /// Times at which the store did not work.
    pub store_outages: Vec<Outage>,
    /// Accepted rules.
    pub applied: Vec<AppliedRules>,
    /// Readings of the revision by run of a daemon.
    pub samples: BTreeMap<String, Vec<RevisionSample>>,
    /// Runs that must know the newest rules at the end.
    pub running: BTreeSet<String>,
}

/// A broken invariant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// The number of the invariant in section 1.2.
    pub invariant: u8,
    /// What was seen.
    pub text: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invariant {}: {}", self.invariant, self.text)
    }
}

/// Checks all invariants.
#[must_use]
pub fn check(evidence: &Evidence) -> Vec<Violation> {
    let mut violations = Vec::new();
    check_answers(evidence, &mut violations);
    check_generations(evidence, &mut violations);
    check_orders(evidence, &mut violations);
    check_retry_times(evidence, &mut violations);
    check_departures(evidence, &mut violations);
    check_connections(evidence, &mut violations);
    check_rules(evidence, &mut violations);
    violations
}

fn report(violations: &mut Vec<Violation>, invariant: u8, text: String) {
    violations.push(Violation { invariant, text });
}

/// 1 and 2: what the callers themselves saw, and requests that never ended.
fn check_answers(evidence: &Evidence, violations: &mut Vec<Violation>) {
    for request in &evidence.requests {
        for text in &request.violations {
            let invariant = match request.kind {
                RequestKind::Generation { .. } => 1,
                RequestKind::Order { .. } => 2,
            };
            report(violations, invariant, format!("{}: {text}", request.name));
        }
        if request.last_end() == SendEnd::Open {
            let text = format!("{}: no answer until the end", request.name);
            report(violations, 2, text);
        }
    }
}

/// 1 and 2: a generation's text comes from an engine that ran this request.
fn check_generations(evidence: &Evidence, violations: &mut Vec<Violation>) {
    let mut owners = BTreeMap::new();
    for stats in evidence.stats_of(TargetKind::Engine) {
        for generation in stats["generations"].as_array().into_iter().flatten() {
            if let (Some(id), Some(request)) =
                (generation["id"].as_str(), generation["request"].as_str())
            {
                owners.insert(id, request);
            }
        }
    }
    for request in &evidence.requests {
        let owner = request
            .generation
            .as_ref()
            .and_then(|id| owners.get(id.as_str()));
        if let Some(owner) = owner
            && *owner != request.name
        {
            let text = format!("{} received the generation of {owner}", request.name);
            report(violations, 2, text);
        }
    }
}

/// 3 and 4: the ledger against what the callers were told.
fn check_orders(evidence: &Evidence, violations: &mut Vec<Violation>) {
    let mut ledger: BTreeMap<&str, u64> = BTreeMap::new();
    for stats in evidence.stats_of(TargetKind::Service) {
        for (key, count) in stats["ledger"].as_object().into_iter().flatten() {
            *ledger.entry(key).or_default() += count.as_u64().unwrap_or_default();
        }
    }
    for (key, count) in &ledger {
        if !key.is_empty() && *count > 1 {
            report(violations, 4, format!("order {key} ran {count} times"));
        }
    }
    let mut sends: BTreeMap<&str, Vec<&SendRecord>> = BTreeMap::new();
    for request in &evidence.requests {
        if let RequestKind::Order { key } = &request.kind {
            sends.entry(key).or_default().extend(&request.sends);
        }
    }
    for (key, sends) in sends {
        let ran = ledger.get(key).is_some_and(|count| *count > 0);
        check_order(key, &sends, ran, evidence, violations);
    }
}

fn check_order(
    key: &str,
    sends: &[&SendRecord],
    ran: bool,
    evidence: &Evidence,
    violations: &mut Vec<Violation>,
) {
    let may_have_run = |send: &SendRecord| match &send.end {
        SendEnd::Refused { outcome, .. } => outcome != "not_run",
        SendEnd::Unreachable => false,
        SendEnd::Open | SendEnd::Answered { .. } | SendEnd::Broken(_) => true,
    };
    for refused in sends.iter().filter(|send| says_not_run(send)) {
        // A send that was open during the refusal or came later may have run the order since.
        let is_excused = sends.iter().any(|send| {
            may_have_run(send) && send.ended.is_none_or(|ended| ended > refused.started)
        });
        if ran && !is_excused {
            let text = format!("order {key} had run when {} said not run", refused.to);
            report(violations, 3, text);
        }
    }
    if ran && sends.iter().all(|send| send.end == SendEnd::Unreachable) {
        report(violations, 3, format!("order {key} ran without being sent"));
    }
    let told_ran = sends.iter().any(|send| match &send.end {
        SendEnd::Answered { .. } => true,
        SendEnd::Refused { outcome, .. } => outcome == "ran",
        _ => false,
    });
    if told_ran && !ran && evidence.targets.missing.is_empty() {
        report(
            violations,
            3,
            format!("order {key} did not run, but was answered"),
        );
    }
}

/// Whether a refusal is about the key's own order. An order with another body under the same key is
/// another order, which is refused as not run.
fn says_not_run(send: &SendRecord) -> bool {
    matches!(&send.end, SendEnd::Refused { code, outcome, .. }
        if outcome == "not_run" && code != "key_reused")
}

/// A refusal that is worth a new try names the time for it.
fn check_retry_times(evidence: &Evidence, violations: &mut Vec<Violation>) {
    const TEMPORARY: [&str; 8] = [
        "limit_reached",
        "overloaded",
        "no_target",
        "retry_budget_spent",
        "store_unavailable",
        "isolated",
        "leaving",
        "order_in_progress",
    ];
    for (request, send) in evidence.sends() {
        if let SendEnd::Refused {
            code,
            retry_after: None,
            ..
        } = &send.end
            && TEMPORARY.contains(&code.as_str())
        {
            let text = format!("{}: {code} without a retry time", request.name);
            report(violations, 3, text);
        }
    }
}

/// 5: no new work 3 s after the leave notice.
fn check_departures(evidence: &Evidence, violations: &mut Vec<Violation>) {
    for departure in &evidence.departures {
        let Some((kind, stats)) = evidence.targets.stats.get(&departure.target) else {
            continue;
        };
        let limit = departure.lag + NOTICE_LIMIT;
        let late = stats.iter().any(|stats| match kind {
            TargetKind::Engine => {
                let noticed = unix_ms(departure.noticed + limit);
                let generations = stats["generations"].as_array();
                generations.into_iter().flatten().any(|generation| {
                    generation["started_ms"]
                        .as_u64()
                        .is_some_and(|started| started > noticed)
                })
            }
            TargetKind::Service => stats["last_refused_after_ms"]
                .as_u64()
                .is_some_and(|after| after > unsigned_ms(limit)),
        });
        if late {
            let text = format!("{} got work {limit:?} after its notice", departure.target);
            report(violations, 5, text);
        }
    }
}

/// 6: only a daemon that was killed or paused breaks a connection.
fn check_connections(evidence: &Evidence, violations: &mut Vec<Violation>) {
    for (request, send) in evidence.sends() {
        let SendEnd::Broken(cause) = &send.end else {
            continue;
        };
        let ended = send.ended.unwrap_or_else(Instant::now);
        let is_excused = evidence
            .outages
            .iter()
            .any(|outage| outage.name == send.to && outage.overlaps(send.started, ended));
        let drained = evidence.drains.iter().any(|drain| {
            drain.daemon == send.to && drain.start <= ended && send.started >= drain.start
        });
        if !is_excused {
            let when = if drained { " during its shutdown" } else { "" };
            let text = format!("{}: {} broke{when} ({cause})", request.name, send.to);
            report(violations, 6, text);
        }
    }
}

/// 7: rules are in force everywhere 3 s after they were accepted, and never revert.
fn check_rules(evidence: &Evidence, violations: &mut Vec<Violation>) {
    for (run, samples) in &evidence.samples {
        for pair in samples.windows(2) {
            if pair[1].revision < pair[0].revision {
                let text = format!(
                    "{run} went from rules revision {} to {}",
                    pair[0].revision, pair[1].revision
                );
                report(violations, 7, text);
            }
        }
        for rules in &evidence.applied {
            let Some(deadline) = evidence.rules_deadline(run, rules.at) else {
                continue;
            };
            let late = samples
                .iter()
                .find(|sample| sample.asked > deadline && sample.revision < rules.revision);
            if let Some(sample) = late {
                let text = format!(
                    "{run} had rules revision {} when {} had been in force for over 3 s",
                    sample.revision, rules.revision
                );
                report(violations, 7, text);
            }
        }
    }
    check_final_rules(evidence, violations);
}

fn check_final_rules(evidence: &Evidence, violations: &mut Vec<Violation>) {
    let Some(newest) = evidence.applied.iter().max_by_key(|rules| rules.revision) else {
        return;
    };
    if newest.at.elapsed() < NOTICE_LIMIT {
        return;
    }
    for run in &evidence.running {
        let last = evidence.samples.get(run).and_then(|samples| samples.last());
        if last.is_none() {
            report(
                violations,
                7,
                format!("{run} never showed a rules revision"),
            );
        }
    }
}

fn unix_ms(time: SystemTime) -> u64 {
    let since = time.duration_since(SystemTime::UNIX_EPOCH);
    unsigned_ms(since.unwrap_or_default())
}

fn unsigned_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

impl Evidence {
    fn stats_of(&self, kind: TargetKind) -> impl Iterator<Item = &serde_json::Value> {
        let stats = self.targets.stats.values();
        stats
            .filter(move |(each, _)| *each == kind)
            .flat_map(|(_, stats)| stats)
    }

    /// When a run must know rules accepted at `at`: 3 s after that and after every fault that
    /// began before; `None` if such a fault did not end.
    fn rules_deadline(&self, run: &str, at: Instant) -> Option<Instant> {
        let name = run.split('#').next().unwrap_or_default();
        let of_daemon = self.outages.iter().filter(|outage| outage.name == name);
        let mut outages: Vec<&Outage> = self.store_outages.iter().chain(of_daemon).collect();
        outages.sort_by_key(|outage| outage.start);
        let mut deadline = at + NOTICE_LIMIT;
        for outage in outages {
            if outage.overlaps(at, deadline) {
                deadline = deadline.max(outage.end? + NOTICE_LIMIT);
            }
        }
        Some(deadline)
    }

    fn sends(&self) -> impl Iterator<Item = (&RequestRecord, &SendRecord)> {
        self.requests
            .iter()
            .flat_map(|request| request.sends.iter().map(move |send| (request, send)))
    }
}
