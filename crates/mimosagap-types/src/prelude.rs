//! Re-exports of the types that most modules use.

pub use crate::clock::{BootClock, Clock, SystemClock};
pub use crate::ids::{
    ClassName, DaemonId, DeploymentName, Incarnation, ModelName, OrderKey, RegionName,
    RequestDigest, RequestTicket, RulesRevision, SoftwareVersion, TargetAddress, TeamName,
    ZoneName,
};
pub use crate::outcome::RunOutcome;
pub use crate::refusal::{Refusal, RefusalCause, RuleReference};
