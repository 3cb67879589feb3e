//! Derives why a request failed from the log record that ends it.

use mimosagap_routing::refusal::RefusalReason;

use crate::records::LogRecord;

/// Whether a failed request may have been executed by a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MayHaveRun {
    /// It was not executed and will not be.
    No,
    /// Only the target can tell.
    Unknown,
    /// It was executed, at least in part.
    Yes,
}

impl MayHaveRun {
    /// The word for reports and their JSON form.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Unknown => "unknown",
            Self::Yes => "yes",
        }
    }
}

/// The cause of a failed request, with what an operator needs to act on it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FailureCause {
    /// A fixed name: the refusal's reason, or one derived from the event.
    pub name: String,
    /// What happened; "it" stands for the request.
    pub description: String,
    /// Whether the request may have been executed.
    pub may_have_run: MayHaveRun,
    /// What to check or do next.
    pub next_step: &'static str,
}

impl FailureCause {
    /// The cause that a record states; `None` if the record does not end a request or the request
    /// succeeded.
    #[must_use]
    pub fn of(record: &LogRecord) -> Option<Self> {
        match record.event.as_str() {
            "refused" => Some(refusal_cause(record)),
            "answered" => failed_response_cause(record),
            "stream_ended" => failed_stream_cause(record),
            "caller_left" => Some(Self {
                name: "caller_left".to_owned(),
                description: "the caller closed its connection before it received a response"
                    .to_owned(),
                may_have_run: MayHaveRun::Unknown,
                next_step: "compare the wait with the caller's timeout; a `sent` line shows that \
                            a target was sent the request",
            }),
            _ => None,
        }
    }
}

/// Whether a record ends a request, successfully or not.
pub fn is_terminal(record: &LogRecord) -> bool {
    matches!(
        record.event.as_str(),
        "refused" | "answered" | "stream_ended" | "caller_left"
    )
}

fn refusal_cause(record: &LogRecord) -> FailureCause {
    let name = record.text_field("reason").unwrap_or_default().to_owned();
    let (description, may_have_run, next_step) = match RefusalReason::parse(&name) {
        Some(reason) => (
            describe_refusal(reason).to_owned(),
            refusal_may_have_run(reason),
            refusal_next_step(reason),
        ),
        None => (
            format!(
                "the gateway refused it for the reason \"{name}\", which this version does not know"
            ),
            MayHaveRun::Unknown,
            "use the version of this tool that belongs to the gateway",
        ),
    };
    FailureCause {
        name,
        description,
        may_have_run,
        next_step,
    }
}

fn refusal_may_have_run(reason: RefusalReason) -> MayHaveRun {
    match reason {
        RefusalReason::DeadlineAfterSend
        | RefusalReason::TargetAborted
        | RefusalReason::QuarantinedAfterSend
        | RefusalReason::VersionUnknownAfterSend => MayHaveRun::Unknown,
        _ => MayHaveRun::No,
    }
}

fn describe_refusal(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::NoConfig => "the host had not loaded a configuration yet",
        RefusalReason::StaleConfig => {
            "the host could not prove that its configuration is recent enough to accept a key or \
             to deny a route"
        }
        RefusalReason::NoRoute => "no route of the configuration matches the host name and path",
        RefusalReason::UnknownKey => "the API key is missing or not in the configuration",
        RefusalReason::Malformed => "the request is malformed or incomplete",
        RefusalReason::BodyTooLong => "the body is longer than the configured limit",
        RefusalReason::NoTarget => "the service had no usable target",
        RefusalReason::Overload => "the targets were full for longer than the request can wait",
        RefusalReason::RateLimited => {
            "the targets name rate limits for all hosts together, which left no room for it"
        }
        RefusalReason::TargetsRejected => {
            "every target that was tried rejected it without executing it"
        }
        RefusalReason::DeadlineBeforeSend => "its deadline passed before it was sent to a target",
        RefusalReason::DeadlineAfterSend => {
            "its deadline passed while a target may have been executing it"
        }
        RefusalReason::TargetAborted => {
            "the exchange with a target failed; the target may have executed it"
        }
        RefusalReason::Quarantined | RefusalReason::QuarantinedAfterSend => {
            "several targets crashed under it or under a part of its prompt"
        }
        RefusalReason::VersionUnknown | RefusalReason::VersionUnknownAfterSend => {
            "it resumes a stream, and the host could not tell which software version began it"
        }
        RefusalReason::VersionGone => {
            "it resumes a stream, and no engine of the software version that began it was available"
        }
        RefusalReason::ShuttingDown => "the host was shutting down and could not have finished it",
        RefusalReason::RequestMemory => {
            "the host had no memory left for its body, or evicted it because it made no progress"
        }
    }
}

fn refusal_next_step(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::NoConfig => "check the `started` and `store` lines of the host",
        RefusalReason::StaleConfig => {
            "check the `store` lines: if one host is affected, its connection to the store failed; \
             if all are, the store did"
        }
        RefusalReason::NoRoute | RefusalReason::UnknownKey => {
            "compare `config_version` with the version that contains the route or key"
        }
        RefusalReason::Malformed | RefusalReason::BodyTooLong => {
            "report the request to the developers of the caller"
        }
        RefusalReason::NoTarget => {
            "check the `target_leaving` and `target_crashed` lines of the service"
        }
        RefusalReason::Overload | RefusalReason::DeadlineBeforeSend => {
            "check `mimosagap_in_flight` and the load in `sent` lines; add targets or send fewer \
             requests"
        }
        RefusalReason::RateLimited => {
            "check the `rate_permit` lines of the request and the `target_rate_limit` lines: a \
             target in need names how many requests a second it accepts"
        }
        RefusalReason::TargetsRejected => {
            "check the `attempt_failed` lines: a target that rejects every request is faulty"
        }
        RefusalReason::DeadlineAfterSend => {
            "look up the id in the service; check other requests at that target"
        }
        RefusalReason::TargetAborted => {
            "look up the id in the service before sending the request again; `target_leaving` and \
             `target_crashed` lines say why the target stopped"
        }
        RefusalReason::Quarantined | RefusalReason::QuarantinedAfterSend => {
            "`suspect` names the request or the parts; `quarantined` and `target_crashed` lines with \
             them show the crashes"
        }
        RefusalReason::VersionUnknown | RefusalReason::VersionUnknownAfterSend => {
            "check the `sent` lines of the attempt in `resumes`, the `store` lines of its host and \
             of this one, and `version_admitted`"
        }
        RefusalReason::VersionGone => {
            "check the `version` of the `target_listed` lines and the `target_leaving` lines; the \
             caller has to start the stream anew"
        }
        RefusalReason::ShuttingDown => "none: another host serves the next attempt",
        RefusalReason::RequestMemory => {
            "check the `request_memory` line of the request: `cause` says whether it was stalled, \
             its client held too much or the host was full"
        }
    }
}

fn failed_response_cause(record: &LogRecord) -> Option<FailureCause> {
    const FIRST_ERROR_STATUS: u64 = 400;
    let status = record.number_field("status")?;
    (status >= FIRST_ERROR_STATUS).then(|| FailureCause {
        name: "target_answered".to_owned(),
        description: format!(
            "target {} responded with status {status}",
            record.text_field("target").unwrap_or_default()
        ),
        may_have_run: MayHaveRun::Yes,
        next_step: "look for the id in the service's own logs",
    })
}

fn failed_stream_cause(record: &LogRecord) -> Option<FailureCause> {
    let how = record.text_field("how")?;
    let last_event = record.number_field("last_event").unwrap_or(0);
    let (description, next_step) = match how {
        "complete" => return None,
        "caller_left" => (
            format!("the caller disconnected after event {last_event}"),
            "check `longest_gap_ms`: callers disconnect after a long gap",
        ),
        "deadline" => (
            format!("its deadline passed after event {last_event}"),
            "check `first_event` and `longest_gap_ms` to see where the time was spent",
        ),
        "out_of_order" => (
            format!("the engine sent an event out of order after event {last_event}"),
            "check the engine's own log: it produced wrong events",
        ),
        _ => (
            format!("its engine failed after event {last_event} and no other could continue it"),
            "`target_leaving` and `target_crashed` lines say why the engine stopped, `move` lines \
             what happened to copies of the KV cache",
        ),
    };
    Some(FailureCause {
        name: format!("stream_{how}"),
        description,
        may_have_run: MayHaveRun::Yes,
        next_step,
    })
}
