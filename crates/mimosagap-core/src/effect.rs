//! Everything that the reducer asks a daemon to do.

use std::time::Duration;

use mimosagap_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::event::SuspectState;

/// News which every daemon must hear soon.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Notice {
    /// A target is leaving.
    TargetLeaving {
        /// The target.
        address: TargetAddress,
        /// The life of the process which is leaving; a later one is not.
        incarnation: Option<Incarnation>,
    },
    /// A daemon is leaving.
    DaemonLeaving {
        /// The daemon.
        daemon: DaemonId,
    },
    /// A request is suspected of killing targets, or no longer.
    Suspect {
        /// The request.
        digest: RequestDigest,
        /// Its state.
        state: SuspectState,
    },
}

/// A change of state which is logged.
#[derive(Debug, Clone, PartialEq)]
pub enum StateChange {
    /// A revision of the rules is in force.
    RulesInForce {
        /// The revision.
        revision: RulesRevision,
    },
    /// A target became usable.
    TargetUp {
        /// The target.
        address: TargetAddress,
    },
    /// A target is leaving.
    TargetLeaving {
        /// The target.
        address: TargetAddress,
        /// The rule behind it, if one is.
        rule: Option<RuleReference>,
    },
    /// A target is gone.
    TargetDown {
        /// The target.
        address: TargetAddress,
    },
    /// A request's quarantine state changed.
    Quarantine {
        /// The request.
        digest: RequestDigest,
        /// Its state.
        state: SuspectState,
    },
    /// The daemon lost or regained all contact with store and peers.
    Isolated {
        /// Whether contact is lost.
        isolated: bool,
    },
    /// The store became reachable or unreachable.
    Store {
        /// Whether it is reachable.
        reachable: bool,
    },
    /// The daemon began to drain.
    Draining,
}

/// An output of the reducer.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Start an attempt. A later attempt of the same ticket makes the earlier one void.
    Dispatch {
        /// The request.
        ticket: RequestTicket,
        /// The attempt, counted from 1.
        attempt: u32,
        /// The target.
        target: TargetAddress,
        /// The engine's priority field.
        priority: i32,
    },
    /// Give the caller its final answer. The request is over.
    Refuse {
        /// The request.
        ticket: RequestTicket,
        /// The answer.
        refusal: Refusal,
    },
    /// Give the caller the recorded result of its order. The request is over.
    AnswerFromRecord {
        /// The request.
        ticket: RequestTicket,
    },
    /// Stop an attempt and tell its target.
    CancelAttempt {
        /// The request.
        ticket: RequestTicket,
        /// The attempt.
        attempt: u32,
    },
    /// Claim an order in the store.
    Claim {
        /// The request.
        ticket: RequestTicket,
        /// The order.
        key: OrderKey,
        /// The digest of its body.
        digest: RequestDigest,
    },
    /// Record in the order's claim that it was not run, because no byte of it was sent.
    RecordNotRun {
        /// The request.
        ticket: RequestTicket,
        /// The order.
        key: OrderKey,
    },
    /// Record the order's answer, which the daemon has at hand, in its claim.
    RecordResult {
        /// The request.
        ticket: RequestTicket,
        /// The order.
        key: OrderKey,
    },
    /// Record suspicions in the store and with the peers, then report `SuspicionRecorded` for
    /// every ticket, after 300 ms at the latest.
    RecordSuspicions {
        /// The requests that were in flight on a target which died, with their digests.
        suspects: Vec<(RequestTicket, RequestDigest)>,
        /// The target which died.
        target: TargetAddress,
        /// The life that ended, if it is known.
        incarnation: Option<Incarnation>,
    },
    /// Take the trial of a suspect by compare-and-swap, then report `TrialAnswered`.
    AcquireTrial {
        /// The request.
        ticket: RequestTicket,
        /// Its digest.
        digest: RequestDigest,
        /// The engine which would run it.
        target: TargetAddress,
    },
    /// Record how a trial ended.
    EndTrial {
        /// The request's digest.
        digest: RequestDigest,
        /// `Cleared` or `Blocked`.
        state: SuspectState,
    },
    /// Send news to the peers.
    Broadcast(Notice),
    /// Ask the holder of a team's lender slot for credit.
    RequestCredit {
        /// The holder.
        holder: DaemonId,
        /// The team.
        team: TeamName,
        /// Requests wanted.
        wanted: u32,
    },
    /// Answer a peer's question for credit.
    AnswerCredit {
        /// The question.
        request_id: u64,
        /// The team.
        team: TeamName,
        /// Requests granted; may be 0.
        granted: u32,
    },
    /// The daemon stops accepting connections after this time and ends with its last request.
    StopAccepting {
        /// Time left for callers which still hold an address answer.
        after: Duration,
    },
    /// Log a change of state.
    Log(StateChange),
    /// Count a time in the admission queue for the metrics.
    ObserveQueueWait {
        /// The team.
        team: TeamName,
        /// The class.
        class: ClassName,
        /// The wait.
        wait: Duration,
    },
}
