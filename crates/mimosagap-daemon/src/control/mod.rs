//! What keeps a daemon in step with the store and the other daemons: leases and membership, the
//! rules, order claims, suspect records, lender slots and peers.
//!
//! Its findings reach the reducer as events; the reducer's wishes come in through
//! [`ControlHandle::carry_out`].

use std::sync::Arc;

use mimosagap_core::{Effect, Member};
use mimosagap_settings::Settings;
use mimosagap_types::prelude::*;

use crate::driver::EventSender;

/// What the control tasks need.
#[derive(Clone)]
pub struct ControlOptions {
    /// The daemon's settings.
    pub settings: Arc<Settings>,
    /// The identity of this process.
    pub daemon: DaemonId,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Where findings go.
    pub events: EventSender,
}

/// The answer of a service to an order, as kept in the order's claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordedAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The `Content-Type` header, if there was one.
    pub content_type: Option<String>,
    /// The body; `None` if it was longer than the record may hold.
    pub body: Option<Vec<u8>>,
}

/// Access to the control tasks. Cheap to clone; no call blocks.
#[derive(Clone)]
pub struct ControlHandle {
    options: Arc<ControlOptions>,
}

impl ControlHandle {
    /// Starts the control tasks on the current runtime.
    #[must_use]
    pub fn start(options: ControlOptions) -> Self {
        Self {
            options: Arc::new(options),
        }
    }

    /// Carries out an effect which concerns the store or the peers: `Claim`, `RecordNotRun`,
    /// `RecordSuspicions`, `TakeTrial`, `EndTrial`, `Spread`, `AskCredit` and `AnswerCredit`.
    pub fn carry_out(&self, _effect: Effect) {
        let _ = &self.options;
    }

    /// Records the answer of an order in its claim.
    pub fn record_result(&self, _key: OrderKey, _answer: RecordedAnswer) {}

    /// The recorded answer of an order for which `ClaimAnswer::Ran` was reported.
    #[must_use]
    pub fn take_recorded(&self, _ticket: RequestTicket) -> Option<RecordedAnswer> {
        None
    }

    /// The members known last.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        Vec::new()
    }

    /// Marks this daemon as leaving in its membership record and tells the peers.
    pub fn set_leaving(&self) {}

    /// Gives the peers' next digests the tokens placed lately on each engine.
    pub fn set_placements(&self, _placements: Vec<(TargetAddress, u64)>) {}

    /// Gives up the lease, so that the membership record goes at once. Called last.
    pub fn stop(&self) {}
}
