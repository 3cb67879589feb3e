//! Messages between daemons. They are encoded with `bincode`, so the order of their variants and
//! fields is the wire format.

use std::net::SocketAddr;

use mimosagap_core::{Member, Notice};
use mimosagap_rules::RulesDelta;
use mimosagap_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Addresses and location of a daemon, as it reports them itself.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PeerMember {
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for other daemons.
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

impl PeerMember {
    /// Adds the daemon's id, which the signature of the message authenticates.
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

/// State of a daemon, which it sends to some random peers every second.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StateDigest {
    /// Addresses and location of the sender.
    pub member: PeerMember,
    /// Revision of the active rules at the sender.
    pub revision: RulesRevision,
    /// Tokens that the sender recently placed on each engine.
    pub placements: Vec<(TargetAddress, u64)>,
    /// Milliseconds since the sender's last contact with the store; `None` if it had none.
    pub store_contact_age_ms: Option<u64>,
}

/// Notice that is forwarded from daemon to daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct NoticeMessage {
    /// Random id of the notice, by which daemons drop duplicates.
    pub id: u128,
    /// Number of times the notice was forwarded; 0 from its origin.
    pub hops: u8,
    /// Content of the notice.
    pub notice: Notice,
}

/// First message of an exchange.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Request {
    /// Asks for the id of the daemon at an address; the first exchange of every connection.
    Hello,
    /// Reports the state of the sender.
    Digest(StateDigest),
    /// Forwards a notice.
    Notice(NoticeMessage),
    /// Requests rules that are newer than a revision.
    PullRules {
        /// Active revision at the sender; 0 requests the full text.
        known_revision: RulesRevision,
    },
    /// Requests credit from the holder of a team's lender slot.
    RequestCredit {
        /// Team whose limit the credit counts against.
        team: TeamName,
        /// Credit wanted, in requests.
        wanted: u32,
    },
}

/// Answer to [`Request::PullRules`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RulesAnswer {
    /// The replying daemon has no newer revision.
    UpToDate,
    /// Deltas from the requested revision to the current one, in order.
    Deltas(Vec<RulesDelta>),
    /// Full text of the current revision.
    FullText {
        /// Revision of the text.
        revision: RulesRevision,
        /// Text of the rules file.
        text: String,
    },
}

/// Second message of an exchange.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Reply {
    /// Answers [`Request::Hello`]; the envelope contains the id of the sender.
    Hello,
    /// Answers [`Request::Digest`].
    Digest {
        /// Revision of the active rules at the replying daemon.
        revision: RulesRevision,
    },
    /// Answers [`Request::Notice`]: the notice arrived.
    Acknowledged,
    /// Answers [`Request::PullRules`].
    Rules(RulesAnswer),
    /// Answers [`Request::RequestCredit`].
    Credit {
        /// Credit granted, in requests; may be 0.
        granted: u32,
    },
}
