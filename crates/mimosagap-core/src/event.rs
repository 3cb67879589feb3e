//! Everything that can happen to a daemon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mimosagap_rules::RuleSet;
use mimosagap_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::effect::Notice;

/// What a request asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum WorkKind {
    /// A generation by a model.
    Generation {
        /// The model.
        model: ModelName,
        /// Length of the input in tokens, estimated from its bytes.
        prompt_tokens: u32,
        /// The caller's bound on the output, in tokens.
        max_tokens: Option<u32>,
        /// Rolling hashes of the input's leading blocks, for prefix affinity.
        prefix: Vec<u64>,
        /// Whether the caller gets the answer whole, so that nothing is delivered until its end.
        is_buffered: bool,
    },
    /// A call to a plain service which may run any number of times.
    IdempotentCall {
        /// The service's deployment.
        service: DeploymentName,
    },
    /// A call to a plain service which must run at most once.
    Order {
        /// The service's deployment.
        service: DeploymentName,
        /// The name under which the order is claimed.
        key: OrderKey,
        /// Whether the caller says that no earlier send of the key may have run. Otherwise only
        /// the claim tells whether the order was carried out before.
        is_first_send: bool,
    },
}

/// A request of an authenticated caller.
#[derive(Debug, Clone, PartialEq)]
pub struct Submission {
    /// The caller's team.
    pub team: TeamName,
    /// The request's class.
    pub class: ClassName,
    /// Hash over team, target group and body; names the request in the quarantine and detects
    /// another body under the same idempotency key.
    pub digest: RequestDigest,
    /// What it asks for.
    pub work: WorkKind,
}

impl Submission {
    /// Whether it is an order that an earlier send, perhaps through another daemon, may have
    /// carried out; only the claim tells.
    #[must_use]
    pub fn may_be_resend(&self) -> bool {
        matches!(
            self.work,
            WorkKind::Order {
                is_first_send: false,
                ..
            }
        )
    }
}

/// How an attempt at a target ended.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptEnd {
    /// The target gave its whole answer; for a generation with the number of output tokens.
    Completed {
        /// Output tokens; 0 for calls.
        tokens: u32,
    },
    /// No byte of the work left this daemon: the connection could not be made.
    NotSent,
    /// The target said that it did not run the work and will not.
    Rejected {
        /// When the target wants to be asked again.
        retry_after: Option<Duration>,
        /// Whether the target said that it is leaving.
        leaving: bool,
    },
    /// The work was sent, and its fate is not known: no answer in time, or a broken connection.
    Lost {
        /// Tokens that the caller already has.
        delivered: u32,
        /// Whether the target is known to have died (refused connections or a new incarnation).
        target_died: bool,
    },
    /// The target answered with an error of its own.
    Failed {
        /// Tokens that the caller already has.
        delivered: u32,
    },
    /// The caller cancelled the request or left, and the target was told.
    Cancelled,
}

/// The store's answer to a claim.
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimAnswer {
    /// This daemon alone may send the order, once.
    Acquired,
    /// The order ran; the recorded result goes to the caller.
    AlreadyRan,
    /// Another claim exists without a result.
    InProgress,
    /// The key was claimed for another body.
    BodyMismatch,
    /// The claim was not written: the store did not take it, and will not.
    Unavailable,
    /// Whether the claim was written is not known.
    Uncertain,
}

/// The store's answer to an attempt to take a suspect's trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialAnswer {
    /// This daemon may run the suspect, alone on the named engine.
    Acquired,
    /// Another daemon runs the trial.
    Busy,
    /// The record is gone: the request is no longer a suspect.
    Cleared,
    /// The request is blocked.
    Blocked,
    /// The store could not be reached.
    Unavailable,
}

/// What a target is.
#[derive(Debug, Clone, PartialEq)]
pub enum TargetKind {
    /// A model engine and the models that it serves.
    Engine {
        /// The models.
        models: Vec<ModelName>,
    },
    /// A plain service.
    Service,
}

/// A target on the host list.
#[derive(Debug, Clone, PartialEq)]
pub struct ListedTarget {
    /// Its address.
    pub address: TargetAddress,
    /// Its deployment.
    pub deployment: DeploymentName,
    /// What it is, from the deployment's settings.
    pub kind: TargetKind,
    /// Its zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// Whether the list shows it as leaving.
    pub leaving: bool,
}

/// A target's own report.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadReport {
    /// The life of the process.
    pub incarnation: Incarnation,
    /// Running streams.
    pub running: u32,
    /// Streams waiting in the engine.
    pub waiting: u32,
    /// Part of the memory in use, 0 to 1.
    pub memory_usage: f64,
    /// The memory, in tokens.
    pub memory_tokens: u64,
    /// Preemptions since the process started.
    pub preemptions: u64,
    /// Whether the target is leaving.
    pub leaving: bool,
    /// How old the figures are, if the target says so.
    pub age: Duration,
}

/// A daemon as the store's membership records show it.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// The daemon.
    pub id: DaemonId,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where daemons connect.
    pub peer_address: SocketAddr,
    /// Where the administration API listens.
    pub admin_address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// Whether it is shutting down.
    pub leaving: bool,
}

/// An input of the reducer.
#[derive(Debug, Clone)]
pub enum Event {
    /// A caller sent a request.
    Submitted {
        /// Names the request from here on.
        ticket: RequestTicket,
        /// The request.
        submission: Submission,
    },
    /// The caller cancelled the request or its connection broke.
    CallerLeft {
        /// The request.
        ticket: RequestTicket,
    },
    /// The target accepted an attempt; from here on the work may run.
    AttemptAccepted {
        /// The request.
        ticket: RequestTicket,
        /// The attempt.
        attempt: u32,
        /// The life of the target which accepted it, if it told.
        incarnation: Option<Incarnation>,
    },
    /// Tokens produced so far, at most every 250 ms for each stream.
    Progress {
        /// The request.
        ticket: RequestTicket,
        /// The attempt.
        attempt: u32,
        /// Output tokens since the start of the generation.
        tokens: u32,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        ticket: RequestTicket,
        /// The attempt.
        attempt: u32,
        /// How.
        end: AttemptEnd,
    },
    /// The store answered a claim.
    ClaimAnswered {
        /// The request.
        ticket: RequestTicket,
        /// The answer.
        answer: ClaimAnswer,
    },
    /// The store answered an attempt to take a trial.
    TrialAnswered {
        /// The request.
        ticket: RequestTicket,
        /// The answer.
        answer: TrialAnswer,
    },
    /// The suspicions of a lost request are recorded, so its caller may be told.
    SuspicionRecorded {
        /// The request.
        ticket: RequestTicket,
    },
    /// The whole host list, as fetched.
    TargetsListed(Vec<ListedTarget>),
    /// A target's report.
    TargetReported {
        /// The target.
        address: TargetAddress,
        /// The report.
        report: LoadReport,
    },
    /// A target's report could not be fetched.
    TargetUnreachable {
        /// The target.
        address: TargetAddress,
        /// Whether its host refused the connection, so that the process is gone.
        refused: bool,
    },
    /// An engine's cache gained and lost prefix blocks.
    CacheChanged {
        /// The engine.
        address: TargetAddress,
        /// Blocks now cached.
        stored: Vec<u64>,
        /// Blocks no longer cached.
        removed: Vec<u64>,
        /// Whether events in between are missing.
        gap: bool,
    },
    /// A revision of the rules was found, in the store or with a peer.
    RulesReceived(Arc<RuleSet>),
    /// The daemon reached the store.
    StoreReached,
    /// A peer answered or sent something.
    PeerReached {
        /// The peer.
        daemon: DaemonId,
    },
    /// The membership records changed.
    MembersChanged(Vec<Member>),
    /// A peer's placements, from its digest.
    PeerPlacements {
        /// The peer.
        daemon: DaemonId,
        /// For each engine the tokens placed there lately which its report may not show yet.
        placements: Vec<(TargetAddress, u64)>,
    },
    /// A peer's notice arrived.
    NoticeReceived(Notice),
    /// The suspect records in the store changed.
    SuspectsChanged(Vec<(RequestDigest, SuspectState)>),
    /// Which daemons hold the lender slots; `None` for a free slot.
    SlotHoldersChanged(Vec<Option<DaemonId>>),
    /// This daemon acquired lender slots or renewed their lease.
    LenderSlotsHeld {
        /// The slots held, by number.
        slots: Vec<u16>,
        /// Until when, by the monotonic clock, with the safety margin taken off.
        until: Instant,
    },
    /// A peer asks for credit of a team whose slot this daemon may hold.
    CreditRequested {
        /// Names the question in the answer.
        request_id: u64,
        /// The team.
        team: TeamName,
        /// Requests wanted.
        wanted: u32,
    },
    /// A lender answered a question of this daemon.
    CreditGranted {
        /// The team.
        team: TeamName,
        /// Requests granted.
        granted: u32,
        /// When the question was sent; the credit's life counts from there.
        requested_at: Instant,
    },
    /// A lender did not answer.
    CreditFailed {
        /// The team.
        team: TeamName,
    },
    /// The operating system asked the daemon to shut down.
    DrainRequested,
    /// Time passed; sent every 50 ms.
    Tick,
}

/// What the records say of a suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum SuspectState {
    /// Was in flight on a target which died.
    Suspect,
    /// Runs a trial.
    OnTrial,
    /// Killed a target in its trial.
    Blocked,
    /// Ended a trial well; the record is gone.
    Cleared,
}
