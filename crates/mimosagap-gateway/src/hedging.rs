//! Hedges of late requests: what [`HedgePlanner`] is asked and told, and the record of each outcome.

use std::rc::Rc;
use std::time::Duration;

use mimosagap_routing::hedging::{
    HedgeConditions, HedgeDenial, HedgePlan, HedgePlanner, HedgeTrigger, ServiceUse, SizeClass,
};
use mimosagap_routing::placement::place_call;
use mimosagap_routing::residency::PermittedTarget;
use mimosagap_routing::retry_budget::{RetryBudget, capacity};
use mimosagap_routing::targets::TargetKey;

use crate::log::LogEvent;
use crate::request::RoutedRequest;
use crate::residency;
use crate::state::{Gateway, GatewayState, SharedGateway, millis};

/// Whether the operators' limit allows hedges of the request's route.
pub fn is_enabled(gateway: &Gateway, request: &RoutedRequest) -> bool {
    gateway.settings.hedging.is_enabled(&request.route.name)
}

/// Size of a request: its prompt if it is a generation, otherwise its body.
fn size_class(request: &RoutedRequest) -> SizeClass {
    SizeClass::new(if request.route.kind.is_stream() {
        usize::try_from(request.head.prompt_tokens).unwrap_or(usize::MAX)
    } else {
        request.body.len()
    })
}

fn planner<'a>(state: &'a mut GatewayState, request: &RoutedRequest) -> &'a mut HedgePlanner {
    let planner = state.hedge_planners.entry(request.service.clone());
    planner.or_default()
}

/// Plans the hedge of a request that is sent first; `None` if it must not be hedged by the
/// operators' limit, its route's kind or its attempts.
pub fn plan(gateway: &Gateway, request: &RoutedRequest) -> Option<HedgePlan> {
    let route = &request.route;
    let may_hedge =
        is_enabled(gateway, request) && route.kind.is_idempotent() && route.max_attempts > 1;
    if !may_hedge {
        return None;
    }
    let limits = &gateway.settings.hedging;
    let size = size_class(request);
    let plan = gateway.with_state(|state| {
        planner(state, request).plan(limits, &route.name, size, route.latency_objective)
    });
    gateway
        .metrics
        .set_hedge_delay(route.name.as_str(), plan.delay);
    Some(plan)
}

/// Chooses a target for a call. If its route may be hedged, targets that respond slowly are avoided.
pub fn choose_call_target(
    gateway: &Gateway,
    request: &RoutedRequest,
    tried: &[TargetKey],
) -> Option<PermittedTarget> {
    let now = gateway.now();
    let policy = residency::policy(gateway, request);
    let service = &request.service;
    gateway.with_state(|state| match state.hedge_planners.get(service) {
        Some(planner) if is_enabled(gateway, request) => {
            planner.choose_target(&state.targets, service, tried, &policy, now)
        }
        _ => place_call(&state.targets, service, tried, &policy, now),
    })
}

/// Records how long an attempt took until its response, or until it was cancelled.
pub fn record_response(
    gateway: &Gateway,
    request: &RoutedRequest,
    target: TargetKey,
    attempt: u32,
    elapsed: Duration,
) {
    if !is_enabled(gateway, request) {
        return;
    }
    let (now, size, route) = (gateway.now(), size_class(request), &request.route.name);
    gateway.with_state(|state| {
        let planner = planner(state, request);
        if attempt == 1 {
            planner.record_response(route, size, target, elapsed, now);
        } else {
            planner.record_speed(route, size, target, elapsed, now);
        }
    });
}

/// Records that a target rejected a request.
pub fn record_rejection(gateway: &Gateway, request: &RoutedRequest) {
    if is_enabled(gateway, request) {
        let now = gateway.now();
        gateway.with_state(|state| planner(state, request).record_rejection(now));
    }
}

/// Decides whether a request may be sent to a second target because `late_target` has not responded
/// yet. A denial is logged and counted.
pub fn try_hedge(
    gateway: &SharedGateway,
    request: &RoutedRequest,
    plan: HedgePlan,
    late_target: TargetKey,
) -> Option<HedgeCredit> {
    let now = gateway.now();
    let route = &request.route.name;
    let bounds = gateway.retry_bounds();
    let limits = &gateway.settings.hedging;
    let size = size_class(request);
    let policy = residency::policy(gateway, request);
    let decision = gateway.with_state(|state| {
        let service = &request.service;
        let mut queues = state.wait_queues.iter();
        let retry_budget = state.retry_budgets.get(service);
        let conditions = HedgeConditions {
            route,
            trigger: plan.trigger,
            has_queue: queues.any(|((queued, _), queue)| queued == service && !queue.is_empty()),
            service_use: ServiceUse::of(&state.targets, service, &policy, now),
            retry_credit: retry_budget.map_or(0.0, RetryBudget::credit),
            retry_capacity: capacity(&bounds, state.sharing_hosts(now)),
        };
        let planner = planner(state, request);
        planner.record_speed(route, size, late_target, plan.delay, now);
        planner.try_hedge(limits, &conditions, now)
    });
    let credit = HedgeCredit {
        gateway: Rc::clone(gateway),
        plan,
        late_target,
    };
    match decision {
        Ok(()) => Some(credit),
        Err(denial) => {
            credit.log(request, late_target, "denied", denial.name());
            None
        }
    }
}

/// Permission to send one request to a second target.
pub struct HedgeCredit {
    gateway: SharedGateway,
    plan: HedgePlan,
    late_target: TargetKey,
}

impl HedgeCredit {
    /// Returns the credit, because the request was not sent to a second target.
    pub fn refund(self, request: &RoutedRequest, denial: HedgeDenial) {
        let limits = &self.gateway.settings.hedging;
        let route = &request.route.name;
        let gateway = &self.gateway;
        gateway.with_state(|state| planner(state, request).refund(limits, route));
        self.log(request, self.late_target, "denied", denial.name());
    }

    /// Uses the credit for a request that is sent to `target`.
    pub fn send_to(self, request: &RoutedRequest, target: TargetKey) -> HedgeRecord<'_> {
        HedgeRecord {
            credit: Some(self),
            request,
            target,
        }
    }

    fn log(&self, request: &RoutedRequest, target: TargetKey, outcome: &str, cause: &str) {
        let gateway = &self.gateway;
        let route = request.route.name.as_str();
        let label = if cause.is_empty() { outcome } else { cause };
        gateway.metrics.count_hedge(route, label);
        gateway.log.event(&LogEvent::Hedge {
            id: &request.head.attempt_id,
            route,
            target: &gateway.instance(target),
            outcome,
            cause,
            trigger: self.plan.trigger.name(),
            delay_ms: millis(self.plan.delay),
            after_ms: millis(gateway.now().saturating_sub(request.arrived_at)),
        });
    }
}

/// A second attempt that was sent. Its outcome is logged and counted once, also if the caller leaves.
pub struct HedgeRecord<'a> {
    credit: Option<HedgeCredit>,
    request: &'a RoutedRequest,
    /// Target of the second attempt.
    pub target: TargetKey,
}

impl HedgeRecord<'_> {
    /// Records that the caller gets the response of `winner`.
    pub fn finish(mut self, winner: TargetKey) {
        let outcome = if winner == self.target { "won" } else { "lost" };
        self.log(outcome);
    }

    /// Records that neither attempt brought a response.
    pub fn fail(mut self) {
        self.log("failed");
    }

    /// Records that the second attempt was not sent after all.
    pub fn refund(mut self, denial: HedgeDenial) {
        if let Some(credit) = self.credit.take() {
            credit.refund(self.request, denial);
        }
    }

    fn log(&mut self, outcome: &str) {
        if let Some(credit) = self.credit.take() {
            credit.log(self.request, self.target, outcome, "");
        }
    }
}

impl Drop for HedgeRecord<'_> {
    fn drop(&mut self) {
        let is_over = self.credit.as_ref().is_some_and(|credit| {
            let time_left = self.request.response_time_left(credit.gateway.now());
            time_left.is_zero()
        });
        self.log(if is_over { "failed" } else { "abandoned" });
    }
}

/// The plan after a hedge was denied: a request that waits for much longer is decided on again.
pub fn plan_after_denial(plan: HedgePlan, request: &RoutedRequest) -> Option<HedgePlan> {
    match plan.trigger {
        HedgeTrigger::Percentile => Some(HedgePlan::for_objective(request.route.latency_objective)),
        HedgeTrigger::Objective => None,
    }
}
