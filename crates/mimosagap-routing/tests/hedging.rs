//! When a late request may be sent to a second target, and after which time it is late.

use std::collections::BTreeMap;
use std::time::Duration;

use mimosagap_routing::cold_rate::ColdClaim;
use mimosagap_routing::hedging::{
    HedgeConditions, HedgeDenial, HedgeLimits, HedgePlanner, HedgeTrigger, ServiceUse, SizeClass,
};
use mimosagap_routing::residency::{
    AllowedRegions, PermittedTarget, ResidencyPolicy, UNRESTRICTED,
};
use mimosagap_routing::targets::{Locality, TargetEntry, TargetKey, TargetTable};
use mimosagap_types::prelude::*;
use rstest::rstest;

const NOW: Duration = Duration::from_secs(1000);
const OBJECTIVE: Duration = Duration::from_millis(300);
const SIZE: SizeClass = SizeClass::new(100);

fn service() -> DeploymentName {
    DeploymentName::new("plain")
}

fn entry(number: u16, zone: &str) -> TargetEntry {
    TargetEntry {
        instance: format!("p-{number}"),
        service: service(),
        address: ([10, 0, 0, 2], 9000 + number).into(),
        zone: ZoneName::new(zone),
        version: SoftwareVersion::new("v1"),
        slots: 6,
        is_draining: false,
        started_unix_ms: 1,
        cold: ColdClaim::Unstated,
    }
}

/// A table with idle targets of one zone.
fn idle_targets(count: u16) -> (TargetTable, Vec<TargetKey>) {
    let mut targets = TargetTable::default();
    let mut insert = |number| {
        let locality = Locality::SameZone;
        targets
            .upsert(entry(number, "a"), locality, Duration::ZERO)
            .0
    };
    let keys = (0..count).map(&mut insert).collect();
    (targets, keys)
}

fn route() -> ClassName {
    ClassName::new("lookup")
}

fn limits(max_extra_ratio: f64) -> HedgeLimits {
    HedgeLimits {
        max_extra_ratio,
        ..HedgeLimits::default()
    }
}

fn conditions(route: &ClassName) -> HedgeConditions<'_> {
    HedgeConditions {
        route,
        trigger: HedgeTrigger::Percentile,
        has_queue: false,
        service_use: ServiceUse {
            target_count: 6,
            used_slots: 10,
            total_slots: 36,
        },
        retry_credit: 10.0,
        retry_capacity: 10.0,
    }
}

/// A planner that has seen 1,000 requests with response times of 11 to 110 ms, of which the last ones
/// from these targets took `last_ms`.
fn planner(keys: &[TargetKey], last_ms: u64) -> HedgePlanner {
    let (limits, route) = (limits(0.03), route());
    let mut planner = HedgePlanner::default();
    for number in 0..1000 {
        planner.record_request(&limits);
        planner.plan(&limits, &route, SIZE, OBJECTIVE);
        let elapsed = Duration::from_millis(11 + number % 100);
        planner.record_response(&route, SIZE, TargetKey::default(), elapsed, Duration::ZERO);
    }
    for key in keys.iter().chain(keys) {
        planner.record_speed(&route, SIZE, *key, Duration::from_millis(last_ms), NOW);
    }
    planner
}

/// Guards against hedges in each of the states in which they do harm.
#[rstest]
#[case::queue(|conditions: &mut HedgeConditions<'_>| conditions.has_queue = true, HedgeDenial::NoCapacity)]
#[case::slots(|conditions: &mut HedgeConditions<'_>| conditions.service_use.used_slots = 26, HedgeDenial::NoCapacity)]
#[case::retries(|conditions: &mut HedgeConditions<'_>| conditions.retry_credit = 2.0, HedgeDenial::RetryBudget)]
#[case::one_retry(|conditions: &mut HedgeConditions<'_>| (conditions.retry_credit, conditions.retry_capacity) = (0.9, 1.0), HedgeDenial::RetryBudget)]
fn the_state_of_the_service_denies_hedges(
    #[case] change: fn(&mut HedgeConditions<'_>),
    #[case] denial: HedgeDenial,
) {
    let (route, mut planner) = (route(), planner(&[], 0));
    let mut conditions = conditions(&route);
    assert_eq!(planner.try_hedge(&limits(0.03), &conditions, NOW), Ok(()));
    change(&mut conditions);
    assert_eq!(
        planner.try_hedge(&limits(0.03), &conditions, NOW),
        Err(denial)
    );
}

#[test]
fn a_rejection_denies_hedges_for_a_second() {
    let (route, mut planner) = (route(), planner(&[], 0));
    planner.record_rejection(NOW);
    let mut decide = |after_ms| {
        let now = NOW + Duration::from_millis(after_ms);
        planner.try_hedge(&limits(0.03), &conditions(&route), now)
    };
    assert_eq!(decide(900), Err(HedgeDenial::NoCapacity));
    assert_eq!(decide(1100), Ok(()));
}

/// Guards against hedges while all targets are slow, and against denials in a burst of two of six.
#[test]
fn hedges_are_denied_only_while_most_targets_are_slow() {
    let (_, keys) = idle_targets(6);
    let route = route();
    let decide = |slow_count: usize| {
        let mut planner = planner(&keys[..slow_count], 150);
        for key in &keys[slow_count..] {
            planner.record_speed(&route, SIZE, *key, Duration::from_millis(20), NOW);
        }
        planner.try_hedge(&limits(0.03), &conditions(&route), NOW)
    };
    assert_eq!(decide(2), Ok(()));
    assert_eq!(decide(5), Err(HedgeDenial::TargetsSlow));
}

/// Guards the operators' limit, with a ratio that has no rounding error: a host starts without credit, and a request that waits for most of
/// its objective, maybe at a target that never answers, may run a few hedges into debt.
#[test]
fn hedges_are_limited_by_the_requests_of_the_service() {
    let (limits, route) = (limits(0.125), route());
    let mut planner = HedgePlanner::default();
    let conditions = conditions(&route);
    let denied = Err(HedgeDenial::ExtraLimit);
    assert_eq!(planner.try_hedge(&limits, &conditions, NOW), denied);
    let mut allowed = 0;
    for _ in 0..1000 {
        planner.record_request(&limits);
        allowed += u32::from(planner.try_hedge(&limits, &conditions, NOW).is_ok());
    }
    assert_eq!(allowed, 125);
    let late = HedgeConditions {
        trigger: HedgeTrigger::Objective,
        ..conditions
    };
    let late_count = (0..20).filter(|_| planner.try_hedge(&limits, &late, NOW).is_ok());
    assert_eq!(late_count.count(), 5);
}

/// Guards against a route that uses up, or is given, the credit of others.
#[test]
fn a_route_with_its_own_limit_has_its_own_credit() {
    let (own, other) = (route(), ClassName::new("other"));
    let limits = HedgeLimits {
        max_extra_ratio: 0.0,
        route_ratios: [(own.clone(), 0.1)].into(),
    };
    let mut planner = HedgePlanner::default();
    for _ in 0..100 {
        planner.record_request(&limits);
    }
    let mut decide = |route: &ClassName| planner.try_hedge(&limits, &conditions(route), NOW);
    assert_eq!(decide(&own), Ok(()));
    assert_eq!(decide(&other), Err(HedgeDenial::ExtraLimit));
}

/// Guards against a delay of another size, a delay from too few samples, and one beyond today's.
#[test]
fn the_delay_is_learned_by_size() {
    let (limits, route) = (limits(0.03), route());
    let mut planner = planner(&[], 0);
    let large = SizeClass::new(100_000);
    let delay_of = |planner: &mut HedgePlanner, size| {
        let plan = planner.plan(&limits, &route, size, OBJECTIVE);
        (plan.delay.as_millis(), plan.trigger)
    };
    let (delay, trigger) = delay_of(&mut planner, SIZE);
    assert!((100..=112).contains(&delay), "{delay}");
    assert_eq!(trigger, HedgeTrigger::Percentile);
    assert_eq!(delay_of(&mut planner, large).0, delay);
    for _ in 0..100 {
        let elapsed = Duration::from_millis(900);
        planner.record_response(&route, large, TargetKey::default(), elapsed, NOW);
    }
    let objective_delay = (225, HedgeTrigger::Objective);
    assert_eq!(delay_of(&mut planner, large), objective_delay);
    assert_eq!(
        delay_of(&mut HedgePlanner::default(), SIZE),
        objective_delay
    );
}

/// Guards against calls that follow each other to a slow target, and against a slow region being
/// left for a farther one.
#[test]
fn calls_avoid_slow_targets_of_the_region() {
    let (targets, keys) = idle_targets(2);
    let choose = |slow: &[TargetKey], now| {
        let planner = planner(slow, 150);
        let chosen = planner.choose_target(&targets, &service(), &[], &UNRESTRICTED, now);
        chosen.map(PermittedTarget::key)
    };
    assert_eq!(choose(&[], NOW), Some(keys[0]));
    assert_eq!(choose(&keys[..1], NOW), Some(keys[1]));
    assert_eq!(choose(&keys, NOW), Some(keys[0]));
    assert_eq!(
        choose(&keys[..1], NOW + Duration::from_millis(700)),
        Some(keys[0])
    );
}

/// Guards against a hedge outside the allowed regions because the targets within them are slow or
/// tried, and against the capacity of other regions counting for a restricted request.
#[test]
fn hedges_stay_in_the_allowed_regions() {
    let (near, far) = (RegionName::new("r1"), RegionName::new("r2"));
    let zone_regions = BTreeMap::from([
        (ZoneName::new("a"), near.clone()),
        (ZoneName::new("b"), far.clone()),
    ]);
    let mut targets = TargetTable::with_regions(zone_regions);
    let mut insert = |number: u16, zone: &str, locality| {
        targets
            .upsert(entry(number, zone), locality, Duration::ZERO)
            .0
    };
    let near_keys = [0, 1].map(|number| insert(number, "a", Locality::SameZone));
    let far_keys = [2, 3].map(|number| insert(number, "b", Locality::OtherRegion));
    for _ in 0..6 {
        targets.add_request(far_keys[0], 0, 0, 0);
    }
    let policy = |region: &RegionName| {
        let list = AllowedRegions::only([region.clone()]);
        ResidencyPolicy::new([&list], |_| true)
    };
    let choose = |slow: &[TargetKey], tried: &[TargetKey], policy: &ResidencyPolicy| {
        let planner = planner(slow, 150);
        let chosen = planner.choose_target(&targets, &service(), tried, policy, NOW);
        chosen.map(PermittedTarget::key)
    };
    let (near_policy, far_policy) = (policy(&near), policy(&far));
    assert_eq!(choose(&[], &near_keys, &near_policy), None);
    assert_eq!(choose(&[], &near_keys, &UNRESTRICTED), Some(far_keys[1]));
    assert_eq!(
        choose(&near_keys[1..], &near_keys[..1], &near_policy),
        Some(near_keys[1])
    );
    assert_eq!(choose(&[], &[], &far_policy), Some(far_keys[1]));
    assert_eq!(choose(&far_keys[1..], &[], &far_policy), Some(far_keys[1]));
    let service_use = |policy| {
        let sum = ServiceUse::of(&targets, &service(), policy, NOW);
        (sum.target_count, sum.used_slots, sum.total_slots)
    };
    assert_eq!(service_use(&UNRESTRICTED), (4, 6, 24));
    assert_eq!(service_use(&near_policy), (2, 0, 12));
    assert_eq!(service_use(&far_policy), (2, 6, 12));
}
