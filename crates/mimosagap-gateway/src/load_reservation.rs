//! Work of this host at a target, taken off when it ends however it ends.

use std::rc::Rc;
use std::time::Duration;

use mimosagap_routing::placement::GenerationDemand;
use mimosagap_routing::targets::{TargetKey, TargetOutcome};

use crate::state::{Gateway, SharedGateway};

/// A request at a target.
pub struct LoadClaim {
    gateway: SharedGateway,
    /// The target.
    pub target: TargetKey,
    rank: usize,
    tokens: u32,
    unread: u32,
    /// Prompt tokens that were to be read before this request's.
    pub ahead: u32,
    begun: Duration,
}

impl LoadClaim {
    /// Counts a plain call.
    pub fn call(gateway: &SharedGateway, target: TargetKey) -> Self {
        Self::new(gateway, target, 0, 0, 0)
    }

    /// Counts a generation of which `unread` prompt tokens are still to be read.
    pub fn stream(
        gateway: &SharedGateway,
        target: TargetKey,
        need: &GenerationDemand,
        unread: u32,
    ) -> Self {
        Self::new(
            gateway,
            target,
            need.mean_kv_tokens(),
            unread,
            need.priority_level,
        )
    }

    fn new(
        gateway: &SharedGateway,
        target: TargetKey,
        tokens: u32,
        unread: u32,
        rank: usize,
    ) -> Self {
        let now = gateway.now();
        let ahead = gateway.with_state(|state| {
            let known = state.targets.get(target);
            let ahead = known.map_or(0, |known| known.pending_prefill_tokens(now));
            state.targets.add_request(target, tokens, unread, rank);
            ahead
        });
        if tokens > 0 {
            gateway.peer_update_due.notify_one();
        }
        Self {
            gateway: Rc::clone(gateway),
            target,
            rank,
            tokens,
            unread,
            ahead,
            begun: now,
        }
    }

    /// The prompt was read: the first event is there. Returns the time since the send.
    pub fn prompt_read(&mut self) -> Duration {
        let took = self.gateway.now().saturating_sub(self.begun);
        let (target, unread, rank, ahead) = (self.target, self.unread, self.rank, self.ahead);
        self.gateway.with_state(|state| {
            let targets = &mut state.targets;
            targets.finish_prefill(target, unread, rank, ahead, took);
        });
        self.unread = 0;
        self.gateway.peer_update_due.notify_one();
        took
    }

    /// The memory that it needs turns out to be more.
    pub fn resize(&mut self, tokens: u32) {
        let (target, old) = (self.target, self.tokens);
        self.gateway
            .with_state(|state| state.targets.resize_request(target, old, tokens));
        self.tokens = tokens;
    }

    /// Counts how it ended.
    pub fn outcome(&self, outcome: TargetOutcome) {
        count_outcome(&self.gateway, self.target, outcome);
    }
}

/// Counts how a request at a target ended.
pub fn count_outcome(gateway: &Gateway, target: TargetKey, outcome: TargetOutcome) {
    let now = gateway.now();
    gateway.with_state(|state| state.targets.record_outcome(target, outcome, now));
}

impl Drop for LoadClaim {
    fn drop(&mut self) {
        let (target, tokens, unread, rank) = (self.target, self.tokens, self.unread, self.rank);
        self.gateway
            .with_state(|state| state.targets.remove_request(target, tokens, unread, rank));
        if tokens > 0 {
            self.gateway.peer_update_due.notify_one();
        }
        self.gateway.capacity_freed.notify_waiters();
    }
}
