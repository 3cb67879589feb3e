//! Accounting of the load that this host's requests put on targets.

use std::rc::Rc;
use std::time::Duration;

use mimosagap_routing::placement::GenerationDemand;
use mimosagap_routing::targets::{TargetKey, TargetOutcome};

use crate::reach;
use crate::state::{Gateway, SharedGateway};

/// Load of one request on its target, counted until dropped.
pub struct LoadReservation {
    gateway: SharedGateway,
    /// Target that the request is sent to.
    pub target: TargetKey,
    priority_level: usize,
    kv_tokens: u32,
    pending_prefill: u32,
    /// Prompt tokens of other requests that the engine still had to read at the time of the send.
    pub prefill_ahead: u32,
    sent_at: Duration,
}

impl LoadReservation {
    /// Counts a call of a plain service, which needs no KV memory.
    pub fn for_call(gateway: &SharedGateway, target: TargetKey) -> Self {
        Self::new(gateway, target, 0, 0, 0)
    }

    /// Counts a generation of which the engine has to read `pending_prefill` prompt tokens.
    pub fn for_stream(
        gateway: &SharedGateway,
        target: TargetKey,
        demand: &GenerationDemand,
        pending_prefill: u32,
    ) -> Self {
        Self::new(
            gateway,
            target,
            demand.mean_kv_tokens(),
            pending_prefill,
            demand.priority_level,
        )
    }

    fn new(
        gateway: &SharedGateway,
        target: TargetKey,
        kv_tokens: u32,
        pending_prefill: u32,
        priority_level: usize,
    ) -> Self {
        let now = gateway.now();
        let prefill_ahead = gateway.with_state(|state| {
            let target_state = state.targets.get(target);
            let prefill_ahead =
                target_state.map_or(0, |target_state| target_state.pending_prefill_tokens(now));
            state
                .targets
                .add_request(target, kv_tokens, pending_prefill, priority_level);
            prefill_ahead
        });
        if kv_tokens > 0 {
            gateway.peer_update_due.notify_one();
        }
        Self {
            gateway: Rc::clone(gateway),
            target,
            priority_level,
            kv_tokens,
            pending_prefill,
            prefill_ahead,
            sent_at: now,
        }
    }

    /// Records that the engine has read the prompt, as the first event shows. Returns the time
    /// since the send.
    pub fn finish_prefill(&mut self) -> Duration {
        let latency = self.gateway.now().saturating_sub(self.sent_at);
        let (target, pending_prefill, priority_level, prefill_ahead) = (
            self.target,
            self.pending_prefill,
            self.priority_level,
            self.prefill_ahead,
        );
        self.gateway.with_state(|state| {
            let targets = &mut state.targets;
            targets.finish_prefill(
                target,
                pending_prefill,
                priority_level,
                prefill_ahead,
                latency,
            );
        });
        self.pending_prefill = 0;
        self.gateway.peer_update_due.notify_one();
        latency
    }

    /// Updates the KV memory that the generation needs, in tokens.
    pub fn resize(&mut self, kv_tokens: u32) {
        let (target, old_tokens) = (self.target, self.kv_tokens);
        self.gateway
            .with_state(|state| state.targets.resize_request(target, old_tokens, kv_tokens));
        self.kv_tokens = kv_tokens;
    }

    /// Records how the request ended at the target.
    pub fn record_outcome(&self, outcome: TargetOutcome) {
        record_outcome(&self.gateway, self.target, outcome);
    }
}

/// Records how a request ended at a target.
pub fn record_outcome(gateway: &Gateway, target: TargetKey, outcome: TargetOutcome) {
    let now = gateway.now();
    gateway.with_state(|state| state.targets.record_outcome(target, outcome, now));
    reach::record_outcome(gateway, target, outcome);
}

impl Drop for LoadReservation {
    fn drop(&mut self) {
        let (target, tokens, prefill, level) = (
            self.target,
            self.kv_tokens,
            self.pending_prefill,
            self.priority_level,
        );
        self.gateway
            .with_state(|state| state.targets.remove_request(target, tokens, prefill, level));
        if tokens > 0 {
            self.gateway.peer_update_due.notify_one();
        }
        self.gateway.capacity_freed.notify_waiters();
    }
}
