//! Why a request ended as it did.

use mimosagap_routing::refusal::RefusalReason;

use crate::records::LogRecord;

/// Whether a failed request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MayHaveRun {
    /// It has not run and will not.
    No,
    /// Nobody but the target knows.
    Unknown,
    /// It ran, at least in part.
    Yes,
}

impl MayHaveRun {
    /// A word for reports.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Unknown => "unknown",
            Self::Yes => "yes",
        }
    }
}

/// The cause of a failed request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FailureCause {
    /// A fixed name.
    pub name: String,
    /// What happened.
    pub description: String,
    /// Whether it may have run.
    pub may_have_run: MayHaveRun,
    /// What to look at or do next.
    pub next_step: &'static str,
}

impl FailureCause {
    /// The cause that a line names; `None` if the line is no failed end of a request.
    #[must_use]
    pub fn of(record: &LogRecord) -> Option<Self> {
        match record.event.as_str() {
            "refused" => Some(refusal(record)),
            "answered" => failed_answer(record),
            "stream_ended" => broken_stream(record),
            "caller_left" => Some(Self {
                name: "caller_left".to_owned(),
                description: "the caller closed its connection before it had an answer".to_owned(),
                may_have_run: MayHaveRun::Unknown,
                next_step: "compare the wait with the caller's patience; `sent` says whether a target had it",
            }),
            _ => None,
        }
    }
}

/// Whether a line is the end of a request, failed or not.
pub fn is_end(record: &LogRecord) -> bool {
    matches!(
        record.event.as_str(),
        "refused" | "answered" | "stream_ended" | "caller_left"
    )
}

fn refusal(record: &LogRecord) -> FailureCause {
    let name = record.text_field("reason").unwrap_or_default().to_owned();
    let (what, may_have_run, next) = match RefusalReason::parse(&name) {
        Some(reason) => (what(reason).to_owned(), may_have_run(reason), next(reason)),
        None => (
            format!("the gateway refused it for \"{name}\", which this version does not know"),
            MayHaveRun::Unknown,
            "use the version of this tool that belongs to the gateway",
        ),
    };
    FailureCause {
        name,
        description: what,
        may_have_run,
        next_step: next,
    }
}

fn may_have_run(reason: RefusalReason) -> MayHaveRun {
    match reason {
        RefusalReason::DeadlineAfterSend | RefusalReason::TargetAborted => MayHaveRun::Unknown,
        _ => MayHaveRun::No,
    }
}

fn what(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::NoConfig => "the host had not read a configuration yet",
        RefusalReason::StaleConfig => {
            "the host could not prove that its configuration is recent enough to accept a key or \
             to deny a route"
        }
        RefusalReason::NoRoute => "no route of the configuration matches host name and path",
        RefusalReason::UnknownKey => "the key is missing or not in the configuration",
        RefusalReason::Malformed => "the request could not be read to its end",
        RefusalReason::BodyTooLong => "the body is longer than the configured limit",
        RefusalReason::NoTarget => "the service had no usable target",
        RefusalReason::Overload => "the targets were full for longer than the request can wait",
        RefusalReason::TargetsRejected => {
            "every target that was asked turned it away without running it"
        }
        RefusalReason::DeadlineBeforeSend => "its time ended before it was sent to a target",
        RefusalReason::DeadlineAfterSend => "its time ended while a target may have been at work",
        RefusalReason::TargetAborted => "a target broke off; it may have run",
        RefusalReason::Quarantined => "it was present at several crashes of targets",
        RefusalReason::ShuttingDown => "the host shuts down and could not have finished it",
    }
}

fn next(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::NoConfig => "see `started` and `store` of the host",
        RefusalReason::StaleConfig => {
            "see `store` of the host: one host means its way to the store, all hosts mean the store"
        }
        RefusalReason::NoRoute | RefusalReason::UnknownKey => {
            "compare `config_version` with the version that has the route or key"
        }
        RefusalReason::Malformed | RefusalReason::BodyTooLong => "ask the caller's developers",
        RefusalReason::NoTarget => "see `target_leaving` and `target_crashed` of the service",
        RefusalReason::Overload | RefusalReason::DeadlineBeforeSend => {
            "see `mimosagap_in_flight` and the load in `sent` lines: more targets or fewer requests"
        }
        RefusalReason::TargetsRejected => {
            "see `attempt_failed`: a target that always refuses is sick"
        }
        RefusalReason::DeadlineAfterSend => {
            "ask the service by the id; see other requests at that target"
        }
        RefusalReason::TargetAborted => {
            "ask the service by the id before it is sent again; `target_leaving` and \
             `target_crashed` say why the target ended"
        }
        RefusalReason::Quarantined => "read the request: it ends the targets that run it",
        RefusalReason::ShuttingDown => "nothing: another host takes the next try",
    }
}

fn failed_answer(record: &LogRecord) -> Option<FailureCause> {
    const FIRST_FAILURE: u64 = 400;
    let status = record.number_field("status")?;
    (status >= FIRST_FAILURE).then(|| FailureCause {
        name: "target_answered".to_owned(),
        description: format!(
            "target {} answered {status} itself",
            record.text_field("target").unwrap_or_default()
        ),
        may_have_run: MayHaveRun::Yes,
        next_step: "look for the id in the service's own logs",
    })
}

fn broken_stream(record: &LogRecord) -> Option<FailureCause> {
    let how = record.text_field("how")?;
    let last = record.number_field("last_event").unwrap_or(0);
    let (what, next) = match how {
        "complete" => return None,
        "caller_left" => (
            format!("the caller left after event {last}"),
            "see `longest_gap_ms`: callers leave after a long pause",
        ),
        "deadline" => (
            format!("its time ended after event {last}"),
            "see `first_event` and `longest_gap_ms` for where the time went",
        ),
        "out_of_order" => (
            format!("the engine's events after {last} do not follow"),
            "read the engine's own log: it made wrong events",
        ),
        _ => (
            format!("its engine ended after event {last} and no other could go on"),
            "`target_leaving` and `target_crashed` say why the engine ended, `move` lines what \
             became of copies",
        ),
    };
    Some(FailureCause {
        name: format!("stream_{how}"),
        description: what,
        may_have_run: MayHaveRun::Yes,
        next_step: next,
    })
}
