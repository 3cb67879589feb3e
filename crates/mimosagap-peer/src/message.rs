//! What daemons say to each other.

use std::net::SocketAddr;

use mimosagap_core::{Member, Notice};
use mimosagap_rules::RulesDelta;
use mimosagap_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The addresses and the place of a daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PeerMember {
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where daemons connect.
    pub peer_address: SocketAddr,
    /// Where the administration API listens.
    pub admin_address: SocketAddr,
    /// The daemon's zone.
    pub zone: ZoneName,
    /// The daemon's region.
    pub region: RegionName,
    /// Whether the daemon is shutting down.
    pub leaving: bool,
}

impl PeerMember {
    /// The member with the identity proved by its signature.
    #[must_use]
    pub fn into_member(self, id: DaemonId) -> Member {
        Member {
            id,
            caller_address: self.caller_address,
            peer_address: self.peer_address,
            admin_address: self.admin_address,
            zone: self.zone,
            region: self.region,
            leaving: self.leaving,
        }
    }
}

/// What each daemon tells some others every second.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StateDigest {
    /// The sender.
    pub member: PeerMember,
    /// The rules in force at the sender.
    pub revision: RulesRevision,
    /// For each engine the tokens placed there lately.
    pub placements: Vec<(TargetAddress, u64)>,
    /// Milliseconds since the sender reached the store last; `None` if it never did.
    pub store_contact_age_ms: Option<u64>,
}

/// A notice on its way through the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct NoticeMessage {
    /// Names the notice, so that a daemon which hears it again drops it.
    pub id: u128,
    /// How often it was passed on.
    pub hops: u8,
    /// The notice.
    pub notice: Notice,
}

/// The first message of an exchange.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Request {
    /// Asks who listens at an address; the first exchange of every connection.
    Hello,
    /// Tells the sender's state.
    Digest(StateDigest),
    /// Tells news.
    Notice(NoticeMessage),
    /// Asks for rules that are newer than this revision.
    PullRules {
        /// The revision in force at the sender.
        known_revision: RulesRevision,
    },
    /// Asks the holder of a team's lender slot for credit.
    RequestCredit {
        /// The team.
        team: TeamName,
        /// Requests wanted.
        wanted: u32,
    },
}

/// The answer to [`Request::PullRules`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RulesAnswer {
    /// The answerer has nothing newer.
    UpToDate,
    /// The deltas from the asker's revision to the answerer's, in order.
    Deltas(Vec<RulesDelta>),
    /// The whole text.
    FullText {
        /// The revision.
        revision: RulesRevision,
        /// The text.
        text: String,
    },
}

/// The second message of an exchange.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Reply {
    /// Answers [`Request::Hello`]; the envelope names the sender.
    Hello,
    /// Answers [`Request::Digest`].
    Digest {
        /// The rules in force at the answerer.
        revision: RulesRevision,
    },
    /// Answers [`Request::Notice`]: it was heard.
    Acknowledged,
    /// Answers [`Request::PullRules`].
    Rules(RulesAnswer),
    /// Answers [`Request::RequestCredit`].
    Credit {
        /// Requests granted; may be 0.
        granted: u32,
    },
}
