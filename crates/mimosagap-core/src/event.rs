//! The inputs of the reducer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mimosagap_rules::RuleSet;
use mimosagap_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::effect::Notice;

/// The work that a request asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum WorkKind {
    /// Text generation by a model engine.
    Generation {
        /// Model that must serve the request.
        model: ModelName,
        /// Input length in tokens, estimated from the input's size in bytes.
        prompt_tokens: u32,
        /// The caller's limit on the output, in tokens; `None` for no limit.
        max_tokens: Option<u32>,
        /// Rolling hashes of the input's leading blocks, for prefix affinity.
        prefix: Vec<u64>,
        /// Whether the response is sent as one body instead of a stream. Nothing is delivered
        /// before it is complete.
        is_buffered: bool,
    },
    /// A call to a plain service that may safely run more than once.
    IdempotentCall {
        /// Deployment of the service.
        service: DeploymentName,
    },
    /// A call to a plain service that must run at most once.
    Order {
        /// Deployment of the service.
        service: DeploymentName,
        /// Key of the order's claim in the store.
        key: OrderKey,
        /// Whether the caller states that this is the first send of the key. Otherwise an earlier
        /// send may have run, and only the claim tells.
        is_first_send: bool,
    },
}

/// A request of an authenticated caller.
#[derive(Debug, Clone, PartialEq)]
pub struct Submission {
    /// Team of the caller; rate limits and fair shares apply to it.
    pub team: TeamName,
    /// Class named by the caller; the rules derive the priority from it.
    pub class: ClassName,
    /// Hash over team, target group and body. It identifies the request in the quarantine and
    /// detects a different body under the same idempotency key.
    pub digest: RequestDigest,
    /// The work asked for.
    pub work: WorkKind,
}

impl Submission {
    /// Whether this is an order that an earlier send, perhaps through another daemon, may have run.
    /// Only the claim tells.
    #[must_use]
    pub fn may_have_run_before(&self) -> bool {
        matches!(
            self.work,
            WorkKind::Order {
                is_first_send: false,
                ..
            }
        )
    }
}

/// The end of one attempt at a target.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptEnd {
    /// The target sent its complete response.
    Completed {
        /// Output tokens of a generation; 0 for calls.
        tokens: u32,
    },
    /// The connection could not be made, so no byte of the work left this daemon.
    NotSent,
    /// The target refused the work: it did not run it and will not.
    Rejected {
        /// Delay that the target asks for before the next attempt; `None` if it named none.
        retry_after: Option<Duration>,
        /// Whether the target said that it is shutting down.
        leaving: bool,
    },
    /// The work was sent, but the response timed out or the connection broke, so it may have run.
    Lost {
        /// Output tokens that the caller already received.
        delivered_tokens: u32,
        /// Whether the target is known to have died: it refuses connections or has a new
        /// incarnation.
        target_died: bool,
    },
    /// The target responded with an error of its own.
    Failed {
        /// Output tokens that the caller already received.
        delivered_tokens: u32,
    },
    /// The caller cancelled the request or disconnected, and the target was notified.
    Cancelled,
}

/// The store's answer to the claim of an order.
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimAnswer {
    /// This daemon holds the claim and may send the order, once.
    Acquired,
    /// The order ran before; the caller gets the recorded result.
    AlreadyRan,
    /// Another send holds the claim and has recorded no result yet.
    InProgress,
    /// The key was claimed with a different body.
    BodyMismatch,
    /// The claim was not written, and will not be.
    Unavailable,
    /// The write may or may not have been applied.
    Uncertain,
}

/// The store's answer to an attempt to acquire the trial of a suspect.
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

/// The kind of a target.
#[derive(Debug, Clone, PartialEq)]
pub enum TargetKind {
    /// A model engine.
    Engine {
        /// Models that the engine serves.
        models: Vec<ModelName>,
    },
    /// A plain service instance.
    Service,
}

/// A target on the host list.
#[derive(Debug, Clone, PartialEq)]
pub struct ListedTarget {
    /// Address of the target; identifies it.
    pub address: TargetAddress,
    /// Deployment that the target belongs to.
    pub deployment: DeploymentName,
    /// Kind of the target, from the deployment's settings.
    pub kind: TargetKind,
    /// Zone of the target's host.
    pub zone: ZoneName,
    /// Region of that zone.
    pub region: RegionName,
    /// Whether the list marks the target as leaving.
    pub leaving: bool,
}

/// Load figures that a target reports about itself.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadReport {
    /// Incarnation of the target's process; a restart changes it.
    pub incarnation: Incarnation,
    /// Streams that the engine runs.
    pub running: u32,
    /// Requests that wait in the engine's own queue.
    pub waiting: u32,
    /// Fraction of the KV cache in use, 0 to 1.
    pub memory_usage: f64,
    /// Capacity of the KV cache, in tokens.
    pub kv_capacity_tokens: u64,
    /// Preemptions since the process started.
    pub preemptions: u64,
    /// Whether the target says that it is shutting down.
    pub leaving: bool,
    /// Age of the figures when they were sent; zero if the target does not state it.
    pub age: Duration,
}

/// A daemon as its membership record in the store describes it.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Unique id of the daemon.
    pub id: DaemonId,
    /// Address that callers connect to.
    pub caller_address: SocketAddr,
    /// Address that other daemons connect to.
    pub peer_address: SocketAddr,
    /// Address of the administration API.
    pub admin_address: SocketAddr,
    /// Zone of the daemon's host.
    pub zone: ZoneName,
    /// Region of that zone.
    pub region: RegionName,
    /// Whether the daemon is shutting down.
    pub leaving: bool,
}

/// An input of the reducer.
#[derive(Debug, Clone)]
pub enum Event {
    /// A caller sent a request.
    Submitted {
        /// Identifies the request in later events and effects.
        ticket: RequestTicket,
        /// The request as parsed.
        submission: Submission,
    },
    /// The caller cancelled the request, or its connection broke.
    CallerLeft {
        /// Request of the caller.
        ticket: RequestTicket,
    },
    /// A target accepted an attempt; from here on the work may run.
    AttemptAccepted {
        /// Request that the attempt belongs to.
        ticket: RequestTicket,
        /// Number of the attempt, counted from 1.
        attempt: u32,
        /// Incarnation of the target that accepted it; `None` if the target did not state it.
        incarnation: Option<Incarnation>,
    },
    /// A stream produced tokens; sent at most every 250 ms for each stream.
    Progress {
        /// Request that the attempt belongs to.
        ticket: RequestTicket,
        /// Number of the attempt, counted from 1.
        attempt: u32,
        /// Output tokens since the start of the generation.
        tokens: u32,
    },
    /// An attempt at a target ended, with or without a response.
    AttemptEnded {
        /// Request that the attempt belongs to.
        ticket: RequestTicket,
        /// Number of the attempt, counted from 1.
        attempt: u32,
        /// How it ended.
        end: AttemptEnd,
    },
    /// The store answered a claim.
    ClaimAnswered {
        /// Request whose order was claimed.
        ticket: RequestTicket,
        /// The store's answer.
        answer: ClaimAnswer,
    },
    /// The store answered an attempt to acquire a trial.
    TrialAnswered {
        /// Request of the suspect.
        ticket: RequestTicket,
        /// The store's answer.
        answer: TrialAnswer,
    },
    /// The suspicion against a request on a dead engine is recorded, so its caller may get a
    /// response.
    SuspicionRecorded {
        /// Request under suspicion.
        ticket: RequestTicket,
    },
    /// The complete host list, as fetched.
    TargetsListed(Vec<ListedTarget>),
    /// A target reported its load.
    TargetReported {
        /// Address of the target.
        address: TargetAddress,
        /// Load and incarnation as the target stated them.
        report: LoadReport,
    },
    /// A target could not be reached for its report.
    TargetUnreachable {
        /// Address of the target.
        address: TargetAddress,
        /// Whether the host refused the connection, which means that the process has ended.
        refused: bool,
    },
    /// The prefix cache of an engine changed.
    CacheChanged {
        /// Address of the engine.
        address: TargetAddress,
        /// Hashes of blocks added to the cache.
        stored: Vec<u64>,
        /// Hashes of blocks evicted from the cache.
        removed: Vec<u64>,
        /// Whether earlier changes were missed.
        gap: bool,
    },
    /// A revision of the rules was read from the store or received from a peer.
    RulesReceived(Arc<RuleSet>),
    /// The daemon reached the store.
    StoreReached,
    /// A peer answered or sent a message.
    PeerReached {
        /// Id of the peer.
        daemon: DaemonId,
    },
    /// The membership records changed; holds all of them.
    MembersChanged(Vec<Member>),
    /// A peer reported its recent placements in a digest.
    PeerPlacements {
        /// Id of the peer.
        daemon: DaemonId,
        /// For each engine, the tokens placed recently that its load report may not include yet.
        placements: Vec<(TargetAddress, u64)>,
    },
    /// A peer broadcast a notice.
    NoticeReceived(Notice),
    /// Suspect records in the store changed.
    SuspectsChanged(Vec<(RequestDigest, SuspectState)>),
    /// Holder of each lender slot, by slot number; `None` for a free slot.
    SlotHoldersChanged(Vec<Option<DaemonId>>),
    /// This daemon acquired lender slots or renewed their lease.
    LenderSlotsHeld {
        /// Numbers of the slots held.
        slots: Vec<u16>,
        /// End of the lease by the local monotonic clock, less the safety margin.
        until: Instant,
    },
    /// A peer requests credit for a team whose lender slot this daemon may hold.
    CreditRequested {
        /// Identifies the request in the answer.
        request_id: u64,
        /// Team whose limit the credit counts against.
        team: TeamName,
        /// Credit wanted, in requests.
        wanted: u32,
    },
    /// A lender answered a credit request of this daemon.
    CreditGranted {
        /// Team whose limit the credit counts against.
        team: TeamName,
        /// Credit granted, in requests; may be 0.
        granted: u32,
        /// When the request was sent; the credit's lifetime counts from there.
        requested_at: Instant,
    },
    /// A credit request could not be delivered or was not answered.
    CreditFailed {
        /// Team whose limit the credit counts against.
        team: TeamName,
    },
    /// The operating system asked the daemon to shut down.
    DrainRequested,
    /// Periodic timer, every 50 ms.
    Tick,
}

/// State of a suspect in the store's records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum SuspectState {
    /// The request was in flight on a target that died.
    Suspect,
    /// A daemon runs the request's trial.
    OnTrial,
    /// The request's trial ended with the death of the target.
    Blocked,
    /// A trial ended without the death of the target; the record is deleted.
    Cleared,
}
