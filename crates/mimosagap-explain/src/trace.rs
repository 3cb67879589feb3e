//! The lines that concern a request, in order.

use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use crate::cause::{FailureCause, is_end};
use crate::records::{LogRecord, LogSet};

/// How a story is told.
#[derive(Debug, Clone, Copy)]
pub struct ExplainOptions {
    /// What happened to a target or host this long before the request is told too.
    pub before: Duration,
    /// A try of the same request that begins this long after a failed one is taken as its repeat.
    pub repeat_within: Duration,
}

impl Default for ExplainOptions {
    fn default() -> Self {
        Self {
            // The longest time that a target serves on after its notice.
            before: Duration::from_secs(10),
            // Longer than any time to come back that a refusal names.
            repeat_within: Duration::from_secs(10),
        }
    }
}

/// Why there is no story.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExplainError {
    /// No line has the id.
    NotFound {
        /// The id.
        id: String,
        /// Lines of requests that hosts left out because there were too many.
        left_out: u64,
    },
}

impl fmt::Display for ExplainError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotFound { id, left_out: 0 } => write!(
                f,
                "no line has the id \"{id}\"; give the logs of all hosts and the id of a single try"
            ),
            Self::NotFound { id, left_out } => write!(
                f,
                "no line has the id \"{id}\"; give the logs of all hosts. The hosts left out \
                 {left_out} lines, so look at the metrics of that time"
            ),
        }
    }
}

impl std::error::Error for ExplainError {}

/// What the logs say of a request.
#[derive(Debug, Clone)]
pub struct RequestReport {
    /// The tries of the request, the one that was asked for among them.
    pub attempts: Vec<AttemptTrace>,
    /// What happened meanwhile to the targets and hosts that the tries met.
    pub related_records: Vec<LogRecord>,
    /// Why the story may be incomplete or out of order.
    pub warnings: Vec<String>,
}

/// One try.
#[derive(Debug, Clone)]
pub struct AttemptTrace {
    /// Its id.
    pub id: String,
    /// Its lines in order.
    pub records: Vec<LogRecord>,
}

impl AttemptTrace {
    /// Why it failed; `None` if it was served or has no end.
    #[must_use]
    pub fn cause(&self) -> Option<FailureCause> {
        self.terminal_record().and_then(FailureCause::of)
    }

    /// The line of its end.
    #[must_use]
    pub fn terminal_record(&self) -> Option<&LogRecord> {
        self.records.iter().rfind(|record| is_end(record))
    }

    fn begins(&self) -> Duration {
        self.records
            .first()
            .map_or(Duration::ZERO, |line| line.timestamp)
    }

    fn ends(&self) -> Duration {
        self.records
            .last()
            .map_or(Duration::ZERO, |line| line.timestamp)
    }

    fn mark(&self) -> Option<&str> {
        self.records
            .iter()
            .filter_map(|line| line.text_field("request"))
            .find(|mark| !mark.is_empty())
    }
}

/// Tells the story of a request.
///
/// # Errors
/// If no line has its id.
pub fn explain(
    logs: &LogSet,
    id: &str,
    options: ExplainOptions,
) -> Result<RequestReport, ExplainError> {
    let asked = story(logs, id);
    if asked.records.is_empty() {
        let left_out = logs
            .records()
            .iter()
            .filter(|record| record.event == "lines_left_out");
        return Err(ExplainError::NotFound {
            id: id.to_owned(),
            left_out: left_out
                .filter_map(|record| record.number_field("count"))
                .sum(),
        });
    }
    let tries = tries(logs, asked, options);
    let meanwhile = meanwhile(logs, &tries, options);
    let cautions = cautions(logs, &tries, &meanwhile);
    Ok(RequestReport {
        attempts: tries,
        related_records: meanwhile,
        warnings: cautions,
    })
}

fn story(logs: &LogSet, id: &str) -> AttemptTrace {
    let lines = logs.records().iter();
    let mut lines: Vec<LogRecord> = lines
        .filter(|record| record.id() == Some(id))
        .cloned()
        .collect();
    lines.sort_by_key(|record| record.timestamp);
    AttemptTrace {
        id: id.to_owned(),
        records: lines,
    }
}

/// The tries before and after one, as far as each begins soon after the failed end of the other.
/// Equal requests of one team cannot be told apart, so those that overlap are no repeats, and a
/// request after a success is a new one.
fn tries(logs: &LogSet, asked: AttemptTrace, options: ExplainOptions) -> Vec<AttemptTrace> {
    let Some(mark) = asked.mark().map(ToOwned::to_owned) else {
        return vec![asked];
    };
    let others: BTreeSet<&str> = logs
        .records()
        .iter()
        .filter(|record| record.text_field("request") == Some(&mark))
        .filter_map(LogRecord::id)
        .filter(|id| *id != asked.id)
        .collect();
    let mut others: Vec<AttemptTrace> = others.into_iter().map(|id| story(logs, id)).collect();
    let follows = |first: &AttemptTrace, second: &AttemptTrace| {
        first.cause().is_some() && second.begins() <= first.ends() + options.repeat_within
    };
    let mut chain = vec![asked];
    while let Some(at) = position(
        &others,
        |one| one.ends() <= chain[0].begins(),
        AttemptTrace::ends,
    ) && follows(&others[at], &chain[0])
    {
        chain.insert(0, others.remove(at));
    }
    let later = |one: &AttemptTrace| std::cmp::Reverse(one.begins());
    while let Some(last) = chain.last()
        && let Some(at) = position(&others, |one| one.begins() >= last.ends(), later)
        && follows(last, &others[at])
    {
        chain.push(others.remove(at));
    }
    chain
}

/// The story with the greatest key among those that satisfy a condition.
fn position<K: Ord>(
    stories: &[AttemptTrace],
    condition: impl Fn(&AttemptTrace) -> bool,
    key: impl Fn(&AttemptTrace) -> K,
) -> Option<usize> {
    let fitting = stories.iter().enumerate();
    let fitting = fitting.filter(|(_, story)| condition(story));
    fitting
        .max_by_key(|(_, story)| key(story))
        .map(|(at, _)| at)
}

/// Lines on the targets and hosts of the tries, and failures of other requests at these targets.
/// What many hosts say of a target is told once, by the first of them.
fn meanwhile(logs: &LogSet, tries: &[AttemptTrace], options: ExplainOptions) -> Vec<LogRecord> {
    let begins = tries.first().map_or(Duration::ZERO, AttemptTrace::begins);
    let ends = tries
        .iter()
        .map(AttemptTrace::ends)
        .max()
        .unwrap_or_default();
    let window = begins.saturating_sub(options.before)..=ends + options.before / 2;
    let lines = || tries.iter().flat_map(|story| &story.records);
    let targets: BTreeSet<&str> = lines()
        .flat_map(|line| ["target", "from", "to"].map(|name| line.text_field(name)))
        .flatten()
        .collect();
    let hosts: BTreeSet<&str> = lines().map(|line| line.host.as_str()).collect();
    let mut found: Vec<LogRecord> = logs
        .records()
        .iter()
        .filter(|record| window.contains(&record.timestamp))
        .filter(|record| tries.iter().all(|story| record.id() != Some(&story.id)))
        .filter(|record| match record.event.as_str() {
            "target_listed" | "target_leaving" | "target_crashed" | "attempt_failed"
            | "stream_broke" => record
                .text_field("target")
                .is_some_and(|target| targets.contains(target)),
            "host" | "entry_unreadable" => false,
            _ if record.id().is_some() => false,
            _ => hosts.contains(record.host.as_str()),
        })
        .cloned()
        .collect();
    found.sort_by_key(|record| record.timestamp);
    let mut told = BTreeSet::new();
    found.retain(|record| {
        let target = record.text_field("target").map(ToOwned::to_owned);
        target.is_none_or(|target| told.insert((record.event.clone(), target)))
    });
    found
}

fn cautions(logs: &LogSet, tries: &[AttemptTrace], meanwhile: &[LogRecord]) -> Vec<String> {
    let mut cautions = Vec::new();
    for story in tries
        .iter()
        .filter(|story| story.terminal_record().is_none())
    {
        cautions.push(format!(
            "try {} has no end: it still runs, its host was killed, or lines were left out",
            story.id
        ));
    }
    let left_out: u64 = meanwhile
        .iter()
        .filter(|record| record.event == "lines_left_out")
        .filter_map(|record| record.number_field("count"))
        .sum();
    if left_out > 0 {
        cautions.push(format!("its hosts left out {left_out} lines at that time"));
    }
    let hosts: BTreeSet<&str> = tries
        .iter()
        .flat_map(|story| &story.records)
        .map(|line| line.host.as_str())
        .collect();
    for host in hosts.into_iter().filter(|host| logs.has_stepped(host)) {
        cautions.push(format!(
            "the wall clock of {host} was stepped; its lines are placed by its boot clock"
        ));
    }
    if logs.unreadable() > 0 {
        cautions.push(format!("{} lines are no log lines", logs.unreadable()));
    }
    cautions
}
