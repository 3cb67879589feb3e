//! The daemon's traffic with the store and the other daemons: leases and membership, rules, order
//! claims, suspect records, lender slots and peer messages.
//!
//! The tasks report to the reducer with events. The reducer's effects come in through
//! [`ControlHandle::execute_effect`].

mod backoff;
mod bounded_map;
mod claim_results;
mod claims;
mod context;
mod counters;
mod credit;
mod digests;
mod fleet;
mod membership;
mod notices;
mod peers;
mod rules;
mod slot_balancer;
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
use context::ControlContext;

pub use counters::ControlCounts;

/// Options to start the control tasks.
#[derive(Clone)]
pub struct ControlOptions {
    /// The daemon's settings.
    pub settings: Arc<Settings>,
    /// The identity of this process.
    pub daemon_id: DaemonId,
    /// Source of the monotonic and the wall-clock time.
    pub clock: Arc<dyn Clock>,
    /// Receives the events for the reducer.
    pub events: EventSender,
}

/// The response of a service to an order, as recorded in the order's claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordedResponse {
    /// HTTP status that the service sent.
    pub status: u16,
    /// The value of the `Content-Type` header; `None` if the response had none.
    pub content_type: Option<String>,
    /// The body; `None` if it exceeds the size limit of a record.
    pub body: Option<Vec<u8>>,
}

/// Handle to the control tasks. Cheap to clone; no call blocks.
#[derive(Clone)]
pub struct ControlHandle {
    context: Arc<ControlContext>,
}

impl ControlHandle {
    /// Starts the control tasks on the current runtime.
    #[must_use]
    pub fn start(options: ControlOptions) -> Self {
        let (context, receivers) = ControlContext::new(options);
        membership::start(&context);
        watch::start(&context);
        slot_balancer::start(&context);
        claims::start(&context, receivers.claims);
        claim_results::start(&context, receivers.results);
        suspects::start(&context);
        peers::start(&context);
        digests::start(&context);
        Self { context }
    }

    /// Executes an effect that concerns the store or the peers: `Claim`, `RecordNotRun`,
    /// `RecordSuspicions`, `AcquireTrial`, `EndTrial`, `Broadcast`, `RequestCredit` and
    /// `AnswerCredit`. Other effects are ignored.
    pub fn execute_effect(&self, effect: Effect) {
        let context = &self.context;
        match effect {
            Effect::Claim {
                ticket,
                key,
                digest,
            } => claims::queue_claim(context, ticket, key, digest),
            Effect::RecordNotRun { key, .. } => claim_results::record_not_run(context, key),
            Effect::RecordSuspicions {
                suspects,
                target,
                incarnation,
            } => {
                let death = TargetDeath {
                    target,
                    incarnation,
                };
                suspects::record_suspicions(context, suspects, death);
            }
            Effect::AcquireTrial {
                ticket,
                digest,
                target,
            } => suspects::request_trial(context, ticket, digest, target),
            Effect::EndTrial { digest, state } => suspects::end_trial(context, digest, state),
            Effect::Broadcast(notice) => notices::broadcast(context, notice),
            Effect::RequestCredit {
                holder,
                team,
                wanted,
            } => credit::request_credit(context, holder, team, wanted),
            Effect::AnswerCredit {
                request_id,
                granted,
                ..
            } => credit::send_answer(context, request_id, granted),
            _ => {}
        }
    }

    /// Queues the response of an order for recording in its claim.
    pub fn record_result(&self, key: OrderKey, response: RecordedResponse) {
        claim_results::record_result(&self.context, key, response);
    }

    /// Takes the recorded response of an order for which `ClaimAnswer::AlreadyRan` was reported.
    #[must_use]
    pub fn take_recorded_response(&self, ticket: RequestTicket) -> Option<RecordedResponse> {
        self.context.claims.take_recorded_response(ticket)
    }

    /// Returns the members of the fleet as last reported to the reducer.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        self.context.fleet().members()
    }

    /// Marks this daemon as leaving in its membership record, and notifies the peers.
    pub fn set_leaving(&self) {
        if self.context.leaving.swap(true, Ordering::SeqCst) {
            return;
        }
        self.context.refresh_member_record();
        let daemon = self.context.options.daemon_id.clone();
        notices::broadcast(&self.context, Notice::DaemonLeaving { daemon });
    }

    /// Sets the recently placed tokens of each engine, which the next digests send to peers.
    pub fn set_placements(&self, placements: Vec<(TargetAddress, u64)>) {
        self.context.set_placements(placements);
    }

    /// Returns a copy of all counters.
    #[must_use]
    pub fn counts(&self) -> ControlCounts {
        self.context.counts()
    }

    /// Stops the tasks and revokes the lease, which removes the membership record at once. To be
    /// called last.
    pub fn stop(&self) {
        self.context.stop.send_replace(true);
    }

    /// Waits after [`Self::stop`] until the lease is revoked and the last results are written, for
    /// at most 1 s.
    pub async fn wait_until_stopped(&self) {
        membership::wait_until_stopped(&self.context).await;
    }
}
