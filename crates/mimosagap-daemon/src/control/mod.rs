//! What keeps a daemon in step with the store and the other daemons: leases and membership, the
//! rules, order claims, suspect records, lender slots and peers.
//!
//! Its findings reach the reducer as events; the reducer's wishes come in through
//! [`ControlHandle::carry_out`].

mod backoff;
mod bounded;
mod claims;
mod counters;
mod credit;
mod digests;
mod fleet;
mod lenders;
mod membership;
mod notices;
mod peers;
mod results;
mod rules;
mod shared;
mod slots;
mod store;
mod suspects;
mod watch;

use std::sync::Arc;
use std::sync::atomic::Ordering;

use mimosagap_core::{Effect, Member, Notice};
use mimosagap_settings::Settings;
use mimosagap_store::suspects::TargetDeath;
use mimosagap_types::prelude::*;

use crate::driver::EventSender;
use shared::Control;

pub use counters::ControlCounts;

/// What the control tasks need.
#[derive(Clone)]
pub struct ControlOptions {
    /// The daemon's settings.
    pub settings: Arc<Settings>,
    /// The identity of this process.
    pub daemon_id: DaemonId,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Where findings go.
    pub events: EventSender,
}

/// The answer of a service to an order, as kept in the order's claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordedResponse {
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
    control: Arc<Control>,
}

impl ControlHandle {
    /// Starts the control tasks on the current runtime.
    #[must_use]
    pub fn start(options: ControlOptions) -> Self {
        let (control, jobs) = Control::new(options);
        membership::start(&control);
        watch::start(&control);
        lenders::start(&control);
        claims::start(&control, jobs.claims);
        results::start(&control, jobs.results);
        suspects::start(&control);
        peers::start(&control);
        digests::start(&control);
        Self { control }
    }

    /// Carries out an effect which concerns the store or the peers: `Claim`, `RecordNotRun`,
    /// `RecordSuspicions`, `AcquireTrial`, `EndTrial`, `Broadcast`, `RequestCredit` and `AnswerCredit`.
    pub fn carry_out(&self, effect: Effect) {
        let control = &self.control;
        match effect {
            Effect::Claim {
                ticket,
                key,
                digest,
            } => claims::claim(control, ticket, key, digest),
            Effect::RecordNotRun { key, .. } => results::record_not_run(control, key),
            Effect::RecordSuspicions {
                suspects,
                target,
                incarnation,
            } => {
                let death = TargetDeath {
                    target,
                    incarnation,
                };
                suspects::record(control, suspects, death);
            }
            Effect::AcquireTrial {
                ticket,
                digest,
                target,
            } => suspects::take_trial(control, ticket, digest, target),
            Effect::EndTrial { digest, state } => suspects::end_trial(control, digest, state),
            Effect::Broadcast(notice) => notices::spread(control, notice),
            Effect::RequestCredit {
                holder,
                team,
                wanted,
            } => credit::ask(control, holder, team, wanted),
            Effect::AnswerCredit {
                request_id,
                granted,
                ..
            } => credit::answer(control, request_id, granted),
            _ => {}
        }
    }

    /// Records the answer of an order in its claim.
    pub fn record_result(&self, key: OrderKey, answer: RecordedResponse) {
        results::record_result(&self.control, key, answer);
    }

    /// The recorded answer of an order for which `ClaimAnswer::AlreadyRan` was reported.
    #[must_use]
    pub fn take_recorded(&self, ticket: RequestTicket) -> Option<RecordedResponse> {
        self.control.claims.take_recorded(ticket)
    }

    /// The members known last.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        self.control.fleet().members()
    }

    /// Marks this daemon as leaving in its membership record and tells the peers.
    pub fn set_leaving(&self) {
        if self.control.leaving.swap(true, Ordering::SeqCst) {
            return;
        }
        self.control.membership_stale();
        let daemon = self.control.options.daemon_id.clone();
        notices::spread(&self.control, Notice::DaemonLeaving { daemon });
    }

    /// Gives the peers' next digests the tokens placed lately on each engine.
    pub fn set_placements(&self, placements: Vec<(TargetAddress, u64)>) {
        self.control.set_placements(placements);
    }

    /// What the control tasks did so far.
    #[must_use]
    pub fn counts(&self) -> ControlCounts {
        self.control.counts()
    }

    /// Gives up the lease, so that the membership record goes at once. Called last.
    pub fn stop(&self) {
        self.control.stop.send_replace(true);
    }

    /// Waits after [`Self::stop`] until the lease is given up and the last results are written,
    /// 1 s at most.
    pub async fn wait_until_stopped(&self) {
        membership::stopped(&self.control).await;
    }
}
