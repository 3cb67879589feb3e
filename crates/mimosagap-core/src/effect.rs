//! The outputs of the reducer.

use std::time::Duration;

use mimosagap_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::event::SuspectState;

/// A change that is broadcast to all daemons, ahead of the slower path through store or list.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Notice {
    /// A target is shutting down.
    TargetLeaving {
        /// Address of the target.
        address: TargetAddress,
        /// Incarnation that is shutting down; later ones are not. `None` if it is not known.
        incarnation: Option<Incarnation>,
    },
    /// A daemon is shutting down.
    DaemonLeaving {
        /// Id of the daemon.
        daemon: DaemonId,
    },
    /// The quarantine state of a request changed.
    Suspect {
        /// Digest of the request.
        digest: RequestDigest,
        /// State from now on; `Cleared` if the record is deleted.
        state: SuspectState,
    },
}

/// A state change for the log.
#[derive(Debug, Clone, PartialEq)]
pub enum StateChange {
    /// A revision of the rules was activated.
    RulesActivated {
        /// Revision that is active now.
        revision: RulesRevision,
    },
    /// A target became usable.
    TargetUp {
        /// Address of the target.
        address: TargetAddress,
    },
    /// A target is leaving: it finishes its work and gets no more.
    TargetLeaving {
        /// Address of the target.
        address: TargetAddress,
        /// Rule that drains the target; `None` if the target leaves for another reason.
        rule: Option<RuleReference>,
    },
    /// A target no longer reports, refuses connections or left the host list.
    TargetDown {
        /// Address of the target.
        address: TargetAddress,
    },
    /// The quarantine state of a request changed.
    Quarantine {
        /// Digest of the request.
        digest: RequestDigest,
        /// State from now on; `Cleared` if the record is deleted.
        state: SuspectState,
    },
    /// The daemon lost or regained contact with both the store and its peers.
    Isolated {
        /// Whether contact is lost.
        isolated: bool,
    },
    /// The store became reachable or unreachable.
    Store {
        /// Whether the store is reachable.
        reachable: bool,
    },
    /// The daemon began to shut down.
    Draining,
}

/// An output of the reducer, carried out by the daemon.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Start an attempt. It supersedes any earlier attempt of the same request.
    Dispatch {
        /// Request that the attempt belongs to.
        ticket: RequestTicket,
        /// Number of the attempt, counted from 1.
        attempt: u32,
        /// Address of the target.
        target: TargetAddress,
        /// Value for the priority field of the engine's request.
        priority: i32,
    },
    /// Refuse the request. This is its final response.
    Refuse {
        /// Request to refuse.
        ticket: RequestTicket,
        /// Refusal for the caller.
        refusal: Refusal,
    },
    /// Respond to the order with its recorded result. This is its final response.
    RespondFromRecord {
        /// Request of the order.
        ticket: RequestTicket,
    },
    /// Cancel an attempt and notify its target.
    CancelAttempt {
        /// Request that the attempt belongs to.
        ticket: RequestTicket,
        /// Number of the attempt, counted from 1.
        attempt: u32,
    },
    /// Claim an order in the store, then report `ClaimAnswered`.
    Claim {
        /// Request of the order.
        ticket: RequestTicket,
        /// Key of the claim.
        key: OrderKey,
        /// Digest of the request, which detects a different body under the same key.
        digest: RequestDigest,
    },
    /// Record in the order's claim that it did not run, because no byte of it was sent.
    RecordNotRun {
        /// Request of the order.
        ticket: RequestTicket,
        /// Key of the claim.
        key: OrderKey,
    },
    /// Record the order's response, which the daemon has received, in its claim.
    RecordResult {
        /// Request of the order.
        ticket: RequestTicket,
        /// Key of the claim.
        key: OrderKey,
    },
    /// Record suspicions in the store and notify the peers, then report `SuspicionRecorded` for
    /// every request, after 300 ms at the latest.
    RecordSuspicions {
        /// Requests in flight on the dead target, with their digests.
        suspects: Vec<(RequestTicket, RequestDigest)>,
        /// Address of the dead target.
        target: TargetAddress,
        /// Incarnation that ended; `None` if it is not known.
        incarnation: Option<Incarnation>,
    },
    /// Acquire the trial of a suspect by compare-and-swap, then report `TrialAnswered`.
    AcquireTrial {
        /// Request of the suspect.
        ticket: RequestTicket,
        /// Digest of the request.
        digest: RequestDigest,
        /// Address of the engine that is to run the trial.
        target: TargetAddress,
    },
    /// Record how a trial ended.
    EndTrial {
        /// Digest of the request.
        digest: RequestDigest,
        /// `Cleared`, `Blocked`, or `Suspect` if the trial had no result.
        state: SuspectState,
    },
    /// Broadcast a notice to all peers.
    Broadcast(Notice),
    /// Request credit for a team from the daemon that holds the team's lender slot.
    RequestCredit {
        /// Id of the holder.
        holder: DaemonId,
        /// Team whose limit the credit counts against.
        team: TeamName,
        /// Credit wanted, in requests.
        wanted: u32,
    },
    /// Answer a peer's credit request.
    AnswerCredit {
        /// Id of the credit request.
        request_id: u64,
        /// Team whose limit the credit counts against.
        team: TeamName,
        /// Credit granted, in requests; may be 0.
        granted: u32,
    },
    /// Stop accepting connections after a delay, and exit when the last request has its final
    /// response.
    StopAccepting {
        /// Delay; covers callers that still use a cached address list.
        after: Duration,
    },
    /// Log a state change.
    Log(StateChange),
    /// Record a time spent in the admission queue in the metrics.
    ObserveQueueWait {
        /// Team of the request.
        team: TeamName,
        /// Class of the request.
        class: ClassName,
        /// Time spent in the queue.
        wait: Duration,
    },
}
