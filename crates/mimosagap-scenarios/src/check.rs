//! Checks the invariants of docs/design.md, section 1.2, as far as they can be observed from outside
//! the processes.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::{Duration, Instant, SystemTime};

use crate::cluster::{TargetKind, TargetStats};
use crate::poller::RevisionSample;
use crate::record::{RequestKind, RequestRecord, SendRecord, SendState};

/// The limit for a daemon to act on a leave notice or on new rules.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(3);

/// A leave notice that was given to a target.
#[derive(Debug, Clone)]
pub struct LeaveNotice {
    /// The name of the target.
    pub target: String,
    /// When the notice was given.
    pub given_at: SystemTime,
    /// How long the notice stays invisible to daemons. An engine reports its state itself, so its lag
    /// is zero. A plain service reports nothing, so its notice shows in the host list only.
    pub visibility_lag: Duration,
}

impl LeaveNotice {
    /// A notice given now.
    #[must_use]
    pub fn new(target: &str, visibility_lag: Duration) -> Self {
        Self {
            target: target.to_owned(),
            given_at: SystemTime::now(),
            visibility_lag,
        }
    }
}

/// A graceful shutdown of a daemon.
#[derive(Debug, Clone)]
pub struct DaemonDrain {
    /// The name of the daemon.
    pub daemon: String,
    /// When SIGTERM was sent.
    pub start: Instant,
    /// When the process had exited; `None` while it drains.
    pub end: Option<Instant>,
}

impl DaemonDrain {
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

/// A period in which a process did not work because of an injected fault.
#[derive(Debug, Clone)]
pub struct Outage {
    /// The daemon or target, or `store`.
    pub name: String,
    /// When the fault was injected.
    pub start: Instant,
    /// When the fault was removed; `None` while it lasts.
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

/// A revision of the rules that the store accepted.
#[derive(Debug, Clone, Copy)]
pub struct AppliedRules {
    /// The revision that the store assigned.
    pub revision: u64,
    /// When the command-line tool had reported success.
    pub accepted_at: Instant,
}

/// The observations of a scenario that the checks work on.
#[derive(Debug, Default)]
pub struct CheckInput {
    /// All requests with their sends.
    pub requests: Vec<RequestRecord>,
    /// Statistics that the targets reported.
    pub target_stats: TargetStats,
    /// Leave notices that targets were given.
    pub leave_notices: Vec<LeaveNotice>,
    /// Graceful shutdowns of daemons.
    pub drains: Vec<DaemonDrain>,
    /// Periods in which daemons were killed or suspended, or links to targets were faulty.
    pub outages: Vec<Outage>,
    /// Periods in which a fault of the store was injected.
    pub store_outages: Vec<Outage>,
    /// Revisions of the rules that the store accepted.
    pub applied_rules: Vec<AppliedRules>,
    /// Samples of the rules revision, by run of a daemon (`NAME#NUMBER`).
    pub revision_samples: BTreeMap<String, Vec<RevisionSample>>,
    /// Runs that must have the newest rules at the end.
    pub running_daemons: BTreeSet<String>,
}

/// A violation of an invariant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// The number of the invariant in docs/design.md, section 1.2.
    pub invariant: u8,
    /// What was observed.
    pub text: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invariant {}: {}", self.invariant, self.text)
    }
}

/// Checks all invariants and returns every violation.
#[must_use]
pub fn check_invariants(input: &CheckInput) -> Vec<Violation> {
    let mut violations = Vec::new();
    check_responses(input, &mut violations);
    check_generations(input, &mut violations);
    check_orders(input, &mut violations);
    check_retry_times(input, &mut violations);
    check_leave_notices(input, &mut violations);
    check_connections(input, &mut violations);
    check_rules(input, &mut violations);
    violations
}

fn add_violation(violations: &mut Vec<Violation>, invariant: u8, text: String) {
    violations.push(Violation { invariant, text });
}

/// Invariants 1 and 2: violations that the callers found, and requests that never ended.
fn check_responses(input: &CheckInput, violations: &mut Vec<Violation>) {
    for request in &input.requests {
        for text in &request.violations {
            let invariant = match request.kind {
                RequestKind::Generation { .. } => 1,
                RequestKind::Order { .. } => 2,
            };
            add_violation(violations, invariant, format!("{}: {text}", request.name));
        }
        if request.last_state() == SendState::Open {
            let text = format!("{}: no response by the end of the scenario", request.name);
            add_violation(violations, 2, text);
        }
    }
}

/// Invariants 1 and 2: the text of a response comes from the generation of the same request.
fn check_generations(input: &CheckInput, violations: &mut Vec<Violation>) {
    let mut request_by_generation = BTreeMap::new();
    for stats in input.stats_of(TargetKind::Engine) {
        for generation in stats["generations"].as_array().into_iter().flatten() {
            if let (Some(id), Some(request)) =
                (generation["id"].as_str(), generation["request"].as_str())
            {
                request_by_generation.insert(id, request);
            }
        }
    }
    for request in &input.requests {
        let generated_for = request
            .generation_id
            .as_ref()
            .and_then(|id| request_by_generation.get(id.as_str()));
        if let Some(generated_for) = generated_for
            && *generated_for != request.name
        {
            let text = format!(
                "{} received the generation of {generated_for}",
                request.name
            );
            add_violation(violations, 2, text);
        }
    }
}

/// Invariants 3 and 4: the services' ledgers agree with the responses that callers received.
fn check_orders(input: &CheckInput, violations: &mut Vec<Violation>) {
    let mut ledger: BTreeMap<&str, u64> = BTreeMap::new();
    for stats in input.stats_of(TargetKind::Service) {
        for (key, count) in stats["ledger"].as_object().into_iter().flatten() {
            *ledger.entry(key).or_default() += count.as_u64().unwrap_or_default();
        }
    }
    for (key, count) in &ledger {
        if !key.is_empty() && *count > 1 {
            add_violation(
                violations,
                4,
                format!("order {key} was executed {count} times"),
            );
        }
    }
    let mut sends: BTreeMap<&str, Vec<&SendRecord>> = BTreeMap::new();
    for request in &input.requests {
        if let RequestKind::Order { key } = &request.kind {
            sends.entry(key).or_default().extend(&request.sends);
        }
    }
    for (key, sends) in sends {
        let was_executed = ledger.get(key).is_some_and(|count| *count > 0);
        check_order(key, &sends, was_executed, input, violations);
    }
}

/// Checks the sends of one order against the ledgers.
fn check_order(
    key: &str,
    sends: &[&SendRecord],
    was_executed: bool,
    input: &CheckInput,
    violations: &mut Vec<Violation>,
) {
    for refused in sends.iter().filter(|send| is_refused_as_not_run(send)) {
        // A send that was open during the refusal or followed it may have executed the order
        // after the refusal.
        let is_excused = sends.iter().any(|send| {
            send.state.may_have_been_executed()
                && send.ended.is_none_or(|ended| ended > refused.started)
        });
        if was_executed && !is_excused {
            let text = format!(
                "order {key} was executed, but {} refused it as not_run",
                refused.endpoint
            );
            add_violation(violations, 3, text);
        }
    }
    if was_executed
        && sends
            .iter()
            .all(|send| send.state == SendState::Unreachable)
    {
        add_violation(
            violations,
            3,
            format!("order {key} was executed, but no send reached a process"),
        );
    }
    let is_reported_executed = sends.iter().any(|send| match &send.state {
        SendState::Answered { .. } => true,
        SendState::Refused { outcome, .. } => outcome == "ran",
        _ => false,
    });
    if is_reported_executed && !was_executed && input.target_stats.missing.is_empty() {
        add_violation(
            violations,
            3,
            format!("order {key} was reported as executed, but is in no ledger"),
        );
    }
}

/// Whether a send was refused as `not_run`. A refusal as `key_reused` does not count: it refers to
/// an order with another body under the same key, which is a different order.
fn is_refused_as_not_run(send: &SendRecord) -> bool {
    matches!(&send.state, SendState::Refused { code, outcome, .. }
        if outcome == "not_run" && code != "key_reused")
}

/// Invariant 3: a refusal for a temporary cause carries a retry time.
fn check_retry_times(input: &CheckInput, violations: &mut Vec<Violation>) {
    const TEMPORARY_CODES: [&str; 8] = [
        "limit_reached",
        "overloaded",
        "no_target",
        "retry_budget_spent",
        "store_unavailable",
        "isolated",
        "leaving",
        "order_in_progress",
    ];
    for (request, send) in input.sends() {
        if let SendState::Refused {
            code,
            retry_after: None,
            ..
        } = &send.state
            && TEMPORARY_CODES.contains(&code.as_str())
        {
            let text = format!("{}: refusal {code} has no retry time", request.name);
            add_violation(violations, 3, text);
        }
    }
}

/// Invariant 5: a target gets no new work later than 3 s after its leave notice is visible to
/// daemons.
fn check_leave_notices(input: &CheckInput, violations: &mut Vec<Violation>) {
    for notice in &input.leave_notices {
        let Some((kind, stats)) = input.target_stats.stats.get(&notice.target) else {
            continue;
        };
        let limit = notice.visibility_lag + PROPAGATION_LIMIT;
        let late = stats.iter().any(|stats| match kind {
            TargetKind::Engine => {
                let deadline_ms = unix_ms(notice.given_at + limit);
                let generations = stats["generations"].as_array();
                generations.into_iter().flatten().any(|generation| {
                    generation["started_ms"]
                        .as_u64()
                        .is_some_and(|started| started > deadline_ms)
                })
            }
            TargetKind::Service => stats["last_refused_after_ms"]
                .as_u64()
                .is_some_and(|after| after > duration_ms(limit)),
        });
        if late {
            let text = format!(
                "{} got new work later than {limit:?} after its leave notice",
                notice.target
            );
            add_violation(violations, 5, text);
        }
    }
}

/// Invariant 6: connections break only during an outage of the called process.
fn check_connections(input: &CheckInput, violations: &mut Vec<Violation>) {
    for (request, send) in input.sends() {
        let SendState::Broken(cause) = &send.state else {
            continue;
        };
        let ended = send.ended.unwrap_or_else(Instant::now);
        let is_excused = input
            .outages
            .iter()
            .any(|outage| outage.name == send.endpoint && outage.overlaps(send.started, ended));
        let is_draining = input.drains.iter().any(|drain| {
            drain.daemon == send.endpoint && drain.start <= ended && send.started >= drain.start
        });
        if !is_excused {
            let when = if is_draining {
                " during its graceful shutdown"
            } else {
                ""
            };
            let text = format!(
                "{}: {} broke the connection{when} ({cause})",
                request.name, send.endpoint
            );
            add_violation(violations, 6, text);
        }
    }
}

/// Invariant 7: every daemon has new rules in force 3 s after they were accepted, and no daemon goes
/// back to an older revision.
fn check_rules(input: &CheckInput, violations: &mut Vec<Violation>) {
    for (run, samples) in &input.revision_samples {
        for pair in samples.windows(2) {
            if pair[1].revision < pair[0].revision {
                let text = format!(
                    "{run} went back from rules revision {} to {}",
                    pair[0].revision, pair[1].revision
                );
                add_violation(violations, 7, text);
            }
        }
        for rules in &input.applied_rules {
            let Some(deadline) = input.rules_deadline(run, rules.accepted_at) else {
                continue;
            };
            let late = samples.iter().find(|sample| {
                sample.request_started > deadline && sample.revision < rules.revision
            });
            if let Some(sample) = late {
                let text = format!(
                    "{run} still had rules revision {} after the deadline for revision {}",
                    sample.revision, rules.revision
                );
                add_violation(violations, 7, text);
            }
        }
    }
    check_final_rules(input, violations);
}

/// Invariant 7: every running daemon has reported a rules revision by the end.
fn check_final_rules(input: &CheckInput, violations: &mut Vec<Violation>) {
    let Some(newest) = input
        .applied_rules
        .iter()
        .max_by_key(|rules| rules.revision)
    else {
        return;
    };
    if newest.accepted_at.elapsed() < PROPAGATION_LIMIT {
        return;
    }
    for run in &input.running_daemons {
        let last_sample = input
            .revision_samples
            .get(run)
            .and_then(|samples| samples.last());
        if last_sample.is_none() {
            add_violation(
                violations,
                7,
                format!("{run} never reported a rules revision"),
            );
        }
    }
}

fn unix_ms(time: SystemTime) -> u64 {
    let since_epoch = time.duration_since(SystemTime::UNIX_EPOCH);
    duration_ms(since_epoch.unwrap_or_default())
}

fn duration_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

impl CheckInput {
    fn stats_of(&self, kind: TargetKind) -> impl Iterator<Item = &serde_json::Value> {
        let stats = self.target_stats.stats.values();
        stats
            .filter(move |(target_kind, _)| *target_kind == kind)
            .flat_map(|(_, stats)| stats)
    }

    /// The time by which a run must have rules accepted at `accepted_at`: 3 s after their acceptance,
    /// and 3 s after every outage of the store or the daemon that overlaps this period. `None` if
    /// such an outage did not end.
    fn rules_deadline(&self, run: &str, accepted_at: Instant) -> Option<Instant> {
        let name = run.split('#').next().unwrap_or_default();
        let daemon_outages = self.outages.iter().filter(|outage| outage.name == name);
        let mut outages: Vec<&Outage> = self.store_outages.iter().chain(daemon_outages).collect();
        outages.sort_by_key(|outage| outage.start);
        let mut deadline = accepted_at + PROPAGATION_LIMIT;
        for outage in outages {
            if outage.overlaps(accepted_at, deadline) {
                deadline = deadline.max(outage.end? + PROPAGATION_LIMIT);
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
